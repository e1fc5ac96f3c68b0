//! Baselines for measurements: a worker that answers immediately, and a relay that forwards the same frames
//! as a gateway without its decisions.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;

use cresswheel_protocol::{Ending, Message, Role, Status};
use cresswheel_transport::{Connection, EventLoop, EventLoopLimits, LoopEvent, Wire};

use crate::records::{RecordedEvent, Recorder};

/// A worker that answers every call immediately, or never.
pub struct Echo {
    hub: EventLoop,
    address: SocketAddr,
    silent: bool,
    recorder: Recorder,
}

impl Echo {
    /// Starts listening. A silent worker answers only prewarm orders. Calls are recorded in the folder
    /// `records`.
    pub fn start(at: SocketAddr, silent: bool, records: Option<&Path>) -> io::Result<Self> {
        let mut hub = EventLoop::new(EventLoopLimits::default())?;
        let (_, address) = hub.listen(at, Wire::Frames)?;
        Ok(Self { hub, address, silent, recorder: Recorder::new(records, "echo")? })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until a control message ends it.
    pub fn run(&mut self) -> io::Result<()> {
        loop {
            self.recorder.flush();
            self.hub.wait(None)?;
            while let Some(notice) = self.hub.next_event() {
                let LoopEvent::Message(connection, message) = notice else { continue };
                match message {
                    Message::Run { attempt, body, trace, class, function, .. } if !self.silent => {
                        let at = self.hub.clock().now();
                        let (gateway, ending) = (String::new(), Ending::Ok.as_str().into());
                        let run = RecordedEvent::Run {
                            gateway,
                            trace: trace.clone(),
                            attempt,
                            class: class.clone(),
                            function,
                            work: 0,
                        };
                        self.recorder.write(at, run);
                        self.recorder.write(at, RecordedEvent::Began { trace: trace.clone(), class });
                        self.recorder.write(
                            at,
                            RecordedEvent::Ran { trace, ending, lost: false, image: String::new() },
                        );
                        let ran = Message::Ran { attempt, ending: Ending::Ok, crowd: 0, body, origin: None };
                        self.hub.send(connection, &ran, None);
                    }
                    Message::Hold { order, .. } => {
                        let held = Message::Held { order, ending: Ending::Ok, standing: 1 };
                        self.hub.send(connection, &held, None);
                    }
                    Message::Control { words } if words == "stop" => return Ok(()),
                    _ => {}
                }
            }
        }
    }
}

/// A gateway without an engine: it forwards each call to a single worker.
pub struct Relay {
    hub: EventLoop,
    address: SocketAddr,
    to: SocketAddr,
    worker: Option<Connection>,
    open: HashMap<u64, (Connection, u64)>,
    last_attempt: u64,
}

impl Relay {
    /// Starts listening; calls are forwarded to `to`.
    pub fn start(at: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let mut hub = EventLoop::new(EventLoopLimits::default())?;
        let (_, address) = hub.listen(at, Wire::Frames)?;
        Ok(Self { hub, address, to, worker: None, open: HashMap::new(), last_attempt: 0 })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Relays until a control message ends it.
    pub fn run(&mut self) -> io::Result<()> {
        loop {
            self.hub.wait(None)?;
            while let Some(notice) = self.hub.next_event() {
                let keep_running = match notice {
                    LoopEvent::Closed { connection, .. } => {
                        self.worker = self.worker.filter(|worker| *worker != connection);
                        true
                    }
                    LoopEvent::Message(connection, message) => self.message(connection, message),
                    _ => true,
                };
                if !keep_running {
                    return Ok(());
                }
            }
        }
    }

    fn message(&mut self, connection: Connection, message: Message) -> bool {
        match message {
            Message::Call { number, function, class, key, trace, time_left, shape, body, .. } => {
                let worker = match self.worker {
                    Some(worker) => worker,
                    None => {
                        let worker = self.hub.connect(self.to, Wire::Frames, 1_000_000);
                        let hello =
                            Message::Hello { role: Role::Gateway, name: "relay".into(), zone: String::new() };
                        self.hub.send(worker, &hello, None);
                        self.worker = Some(worker);
                        worker
                    }
                };
                self.last_attempt += 1;
                self.open.insert(self.last_attempt, (connection, number));
                let attempt = self.last_attempt;
                let run =
                    Message::Run { attempt, trace, before: 0, function, class, key, time_left, shape, body };
                self.hub.send(worker, &run, None);
            }
            Message::Ran { attempt, body, .. } => {
                if let Some((client, number)) = self.open.remove(&attempt) {
                    let (status, reason, retry_after) = (Status::Served, String::new(), 0);
                    let answer = Message::Answer { number, status, reason, retry_after, body, origin: None };
                    self.hub.send(client, &answer, None);
                }
            }
            Message::Control { words } if words == "stop" => return false,
            _ => {}
        }
        true
    }
}
