//! A network link with a delay, which can be cut and reset.

use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;

use cresswheel_protocol::Micros;
use cresswheel_transport::{Connection, Hub, HubLimits, Notice, Wire};

/// The start and end of a cut, and the time of a reset.
type Plan = (Option<(Micros, Micros)>, Option<Micros>);

/// A relay from its own address to another one.
pub struct Link {
    hub: Hub,
    address: SocketAddr,
    to: SocketAddr,
    delay: Micros,
    planned: Option<Plan>,
    /// Start and end of a time in which bytes are held back.
    cut: (Micros, Micros),
    /// All connections break then.
    reset: Option<Micros>,
    other: HashMap<Connection, Connection>,
    late: VecDeque<(Micros, Connection, Vec<u8>)>,
}

impl Link {
    /// Listens; what comes passes on to `to` after `delay`.
    pub fn start(at: SocketAddr, to: SocketAddr, delay: Micros) -> io::Result<Self> {
        let mut hub = Hub::new(HubLimits::default())?;
        let (_, address) = hub.listen(at, Wire::Raw)?;
        let (other, late) = (HashMap::new(), VecDeque::new());
        let (planned, cut, reset) = (None, (0, 0), None);
        Ok(Self { hub, address, to, delay, planned, cut, reset, other, late })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Plans a cut and a reset, in microseconds from the first bytes on that come.
    pub fn plan(&mut self, cut: Option<(Micros, Micros)>, reset: Option<Micros>) {
        self.planned = Some((cut, reset));
    }

    fn begin(&mut self) {
        let now = self.hub.clock().now();
        if let Some((cut, reset)) = self.planned.take() {
            self.cut = cut.map_or((0, 0), |(from, until)| (now + from, now + until));
            self.reset = reset.map(|at| now + at);
        }
    }

    /// Relays for this long.
    pub fn run(&mut self, span: Micros) -> io::Result<()> {
        let end = self.hub.clock().now() + span;
        loop {
            let now = self.hub.clock().now();
            if now >= end {
                return Ok(());
            }
            let cut = (self.cut.0..self.cut.1).contains(&now);
            let late = self.late.front().map(|(at, ..)| if cut { self.cut.1 } else { *at });
            self.hub.wait([Some(end), late, self.reset].into_iter().flatten().min())?;
            while let Some(notice) = self.hub.take_notice() {
                match notice {
                    Notice::Opened(connection, _) => {
                        let far = self.hub.connect(self.to, Wire::Raw, 1_000_000);
                        self.other.insert(connection, far);
                        self.other.insert(far, connection);
                    }
                    Notice::Bytes(connection, bytes) => {
                        self.begin();
                        if let Some(other) = self.other.get(&connection) {
                            self.late.push_back((self.hub.clock().now() + self.delay, *other, bytes));
                        }
                    }
                    Notice::Closed { connection, .. } => {
                        if let Some(other) = self.other.remove(&connection) {
                            self.other.remove(&other);
                            self.hub.finish(other);
                        }
                    }
                    _ => {}
                }
            }
            let now = self.hub.clock().now();
            if self.reset.is_some_and(|at| at <= now) {
                self.reset = None;
                self.late.clear();
                for connection in self.other.keys().copied().collect::<Vec<_>>() {
                    self.hub.close(connection, "reset on purpose");
                }
            }
            if !(self.cut.0..self.cut.1).contains(&now) {
                while self.late.front().is_some_and(|(at, ..)| *at <= now) {
                    let Some((_, to, bytes)) = self.late.pop_front() else { break };
                    self.hub.send_bytes(to, &bytes);
                }
            }
        }
    }
}
