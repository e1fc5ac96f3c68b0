//! The model store that all workers share: it slows down under load, rejects fetches above a limit, and can
//! be stopped.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;

use cresswheel_protocol::{Message, Micros};
use cresswheel_transport::{Connection, EventLoop, EventLoopLimits, LoopEvent, Wire};

/// A model store process.
pub struct Store {
    hub: EventLoop,
    address: SocketAddr,
    /// Concurrent fetches that are served at full speed.
    capacity: usize,
    /// Concurrent fetches that are accepted.
    max_fetches: usize,
    /// Functions that are reported as missing.
    missing: BTreeSet<String>,
    stopped_until: Micros,
    fetches: BTreeSet<(Micros, Connection, u64)>,
}

impl Store {
    /// Starts listening.
    pub fn start(at: SocketAddr, capacity: usize, max_fetches: usize) -> io::Result<Self> {
        let mut hub = EventLoop::new(EventLoopLimits::default())?;
        let (_, address) = hub.listen(at, Wire::Frames)?;
        Ok(Self {
            hub,
            address,
            capacity: capacity.max(1),
            max_fetches,
            stopped_until: 0,
            fetches: BTreeSet::new(),
            missing: BTreeSet::new(),
        })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until a control message ends it.
    pub fn run(&mut self) -> io::Result<()> {
        loop {
            self.hub.wait(self.fetches.first().map(|(at, ..)| *at))?;
            while let Some(notice) = self.hub.next_event() {
                let LoopEvent::Message(connection, message) = notice else { continue };
                let now = self.hub.clock().now();
                match message {
                    Message::Fetch { number, time, function } => {
                        let missing = self.missing.contains(&function);
                        if missing || now < self.stopped_until || self.fetches.len() >= self.max_fetches {
                            self.hub.send(connection, &Message::Fetched { number, there: false }, None);
                            continue;
                        }
                        let load = (self.fetches.len() + 1) as f64 / self.capacity as f64;
                        let time = (time as f64 * load.max(1.0)) as Micros;
                        self.fetches.insert((now + time, connection, number));
                    }
                    Message::Control { words } if words == "stop" => return Ok(()),
                    Message::Control { words } if words.starts_with("absent ") => {
                        self.missing.insert(words["absent ".len()..].into());
                        self.hub.send(connection, &Message::Controlled { wrong: String::new() }, None);
                    }
                    Message::Control { words } => {
                        let duration = words.strip_prefix("down ").and_then(|ms| ms.parse::<u64>().ok());
                        let wrong = match duration {
                            Some(ms) => {
                                self.stopped_until = now + ms * 1_000;
                                for (_, connection, number) in std::mem::take(&mut self.fetches) {
                                    let lost = Message::Fetched { number, there: false };
                                    self.hub.send(connection, &lost, None);
                                }
                                String::new()
                            }
                            None => format!("{words}: no such command"),
                        };
                        self.hub.send(connection, &Message::Controlled { wrong }, None);
                    }
                    _ => {}
                }
            }
            let now = self.hub.clock().now();
            while let Some((_, connection, number)) =
                self.fetches.first().filter(|(at, ..)| *at <= now).copied()
            {
                self.fetches.pop_first();
                self.hub.send(connection, &Message::Fetched { number, there: true }, None);
            }
        }
    }
}
