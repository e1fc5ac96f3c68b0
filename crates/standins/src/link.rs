//! A simulated network link with a delay, which can be cut and reset.

use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;

use cresswheel_protocol::Micros;
use cresswheel_transport::{Connection, EventLoop, EventLoopLimits, LoopEvent, Wire};

/// Start and end of a cut, and the time of a reset.
type Plan = (Option<(Micros, Micros)>, Option<Micros>);

/// A TCP relay from its own address to another one.
pub struct Link {
    hub: EventLoop,
    address: SocketAddr,
    to: SocketAddr,
    delay: Micros,
    planned: Option<Plan>,
    /// Start and end of the time in which bytes are held back.
    cut: (Micros, Micros),
    /// When all connections are closed.
    reset: Option<Micros>,
    /// The other side of each connection.
    peers: HashMap<Connection, Connection>,
    delayed: VecDeque<(Micros, Connection, Vec<u8>)>,
}

impl Link {
    /// Starts listening; received bytes are forwarded to `to` after `delay`.
    pub fn start(at: SocketAddr, to: SocketAddr, delay: Micros) -> io::Result<Self> {
        let mut hub = EventLoop::new(EventLoopLimits::default())?;
        let (_, address) = hub.listen(at, Wire::Raw)?;
        let (peers, delayed) = (HashMap::new(), VecDeque::new());
        let (planned, cut, reset) = (None, (0, 0), None);
        Ok(Self { hub, address, to, delay, planned, cut, reset, peers, delayed })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Plans a cut and a reset, in microseconds after the first received bytes.
    pub fn plan(&mut self, cut: Option<(Micros, Micros)>, reset: Option<Micros>) {
        self.planned = Some((cut, reset));
    }

    /// Starts the planned times at the first received bytes.
    fn start_plan(&mut self) {
        let now = self.hub.clock().now();
        if let Some((cut, reset)) = self.planned.take() {
            self.cut = cut.map_or((0, 0), |(from, until)| (now + from, now + until));
            self.reset = reset.map(|at| now + at);
        }
    }

    /// Relays for this time.
    pub fn run(&mut self, duration: Micros) -> io::Result<()> {
        let end = self.hub.clock().now() + duration;
        loop {
            let now = self.hub.clock().now();
            if now >= end {
                return Ok(());
            }
            let cut = (self.cut.0..self.cut.1).contains(&now);
            let delayed = self.delayed.front().map(|(at, ..)| if cut { self.cut.1 } else { *at });
            self.hub.wait([Some(end), delayed, self.reset].into_iter().flatten().min())?;
            while let Some(notice) = self.hub.next_event() {
                match notice {
                    LoopEvent::Opened(connection, _) => {
                        let upstream = self.hub.connect(self.to, Wire::Raw, 1_000_000);
                        self.peers.insert(connection, upstream);
                        self.peers.insert(upstream, connection);
                    }
                    LoopEvent::Bytes(connection, bytes) => {
                        self.start_plan();
                        if let Some(other) = self.peers.get(&connection) {
                            self.delayed.push_back((self.hub.clock().now() + self.delay, *other, bytes));
                        }
                    }
                    LoopEvent::Closed { connection, .. } => {
                        if let Some(other) = self.peers.remove(&connection) {
                            self.peers.remove(&other);
                            self.hub.finish(other);
                        }
                    }
                    _ => {}
                }
            }
            let now = self.hub.clock().now();
            if self.reset.is_some_and(|at| at <= now) {
                self.reset = None;
                self.delayed.clear();
                for connection in self.peers.keys().copied().collect::<Vec<_>>() {
                    self.hub.close(connection, "injected connection reset");
                }
            }
            if !(self.cut.0..self.cut.1).contains(&now) {
                while self.delayed.front().is_some_and(|(at, ..)| *at <= now) {
                    let Some((_, to, bytes)) = self.delayed.pop_front() else { break };
                    self.hub.send_bytes(to, &bytes);
                }
            }
        }
    }
}
