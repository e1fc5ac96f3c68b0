//! The worker list service: workers register, gateways subscribe. On command it is slow, frozen, disconnected
//! or wrong.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::path::Path;

use cresswheel_protocol::{ListedWorker, MemberState, Message, Micros};
use cresswheel_transport::{Connection, EventLoop, EventLoopLimits, LoopEvent, Wire};

use crate::records::{RecordedEvent, Recorder};

/// A process of the worker list service.
pub struct WorkerList {
    hub: EventLoop,
    address: SocketAddr,
    recorder: Recorder,
    entries: BTreeMap<String, ListedWorker>,
    version: u64,
    /// Worker id by the connection that registered it.
    registered: HashMap<Connection, String>,
    subscribers: HashMap<Connection, String>,
    names: HashMap<Connection, String>,
    /// Delay between a change and its publication.
    delay: Micros,
    frozen_until: Micros,
    /// How long a worker stays listed after its connection ended.
    removal_delay: Micros,
    /// Changes that are not yet published, with the time when each is due.
    changes: Vec<(Micros, ListedWorker)>,
}

impl WorkerList {
    /// Starts listening. Changes are published after `delay`; a worker whose connection ended is removed
    /// after `notice`.
    pub fn start(at: SocketAddr, records: Option<&Path>, delay: Micros, notice: Micros) -> io::Result<Self> {
        let mut hub = EventLoop::new(EventLoopLimits::default())?;
        let (_, address) = hub.listen(at, Wire::Frames)?;
        Ok(Self {
            hub,
            address,
            recorder: Recorder::new(records, "list")?,
            entries: BTreeMap::new(),
            version: 0,
            registered: HashMap::new(),
            subscribers: HashMap::new(),
            names: HashMap::new(),
            delay,
            frozen_until: 0,
            removal_delay: notice,
            changes: Vec::new(),
        })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until a control message ends it.
    pub fn run(&mut self) -> io::Result<()> {
        loop {
            let due = self.changes.iter().map(|(at, _)| *at).min().map(|at| at.max(self.frozen_until));
            self.recorder.flush();
            self.hub.wait(due)?;
            while let Some(notice) = self.hub.next_event() {
                let keep_running = match notice {
                    LoopEvent::Message(connection, message) => self.message(connection, message),
                    LoopEvent::Closed { connection, .. } => {
                        self.closed(connection);
                        true
                    }
                    _ => true,
                };
                if !keep_running {
                    return Ok(());
                }
            }
            self.publish_changes();
        }
    }

    fn message(&mut self, connection: Connection, message: Message) -> bool {
        let now = self.hub.clock().now();
        match message {
            Message::Hello { name, .. } => {
                self.names.insert(connection, name);
            }
            Message::Follow {} => {
                let name = self.names.get(&connection).cloned().unwrap_or_default();
                self.subscribers.insert(connection, name);
                let workers: Vec<ListedWorker> = self.entries.values().cloned().collect();
                self.send_list(connection, true, workers);
            }
            Message::Register { workers } => {
                for worker in workers {
                    self.registered.insert(connection, worker.id.clone());
                    // Discards pending removals of the worker's previous process.
                    self.changes.retain(|(_, w)| w.id != worker.id || w.standing != MemberState::Removed);
                    self.changes.push((now + self.delay, worker));
                }
            }
            Message::Control { words } => {
                if words == "stop" {
                    return false;
                }
                let wrong = self.control(now, &words).err().unwrap_or_default();
                self.hub.send(connection, &Message::Controlled { wrong }, None);
            }
            _ => {}
        }
        true
    }

    fn control(&mut self, now: Micros, words: &str) -> Result<(), String> {
        let ms = |text: &str| {
            let ms = text.parse::<u64>().map_err(|_| format!("{words}: {text} are no milliseconds"));
            ms.map(|ms| ms.saturating_mul(1_000))
        };
        match words.split_whitespace().collect::<Vec<_>>()[..] {
            ["delay", duration] => self.delay = ms(duration)?,
            ["notice", duration] => self.removal_delay = ms(duration)?,
            ["freeze", duration] => self.frozen_until = now + ms(duration)?,
            // Lists a worker that does not exist.
            ["ghost", id, address] => {
                let listed = ListedWorker {
                    id: id.into(),
                    address: address.into(),
                    zone: String::new(),
                    kind: String::new(),
                    cell: 0,
                    standing: MemberState::Active,
                    started: 0,
                };
                self.changes.push((now, listed));
            }
            ["hang-up"] => {
                for subscriber in self.subscribers.keys().copied().collect::<Vec<_>>() {
                    self.hub.close(subscriber, "closed by the command hang-up");
                }
            }
            _ => return Err(format!("{words}: no such command")),
        }
        Ok(())
    }

    fn closed(&mut self, connection: Connection) {
        self.names.remove(&connection);
        self.subscribers.remove(&connection);
        if let Some(id) = self.registered.remove(&connection)
            && !self.registered.values().any(|other| *other == id)
            && let Some(listed) = self.entries.get(&id)
        {
            let removed = ListedWorker { standing: MemberState::Removed, ..listed.clone() };
            self.changes.push((self.hub.clock().now() + self.removal_delay, removed));
        }
    }

    fn publish_changes(&mut self) {
        let now = self.hub.clock().now();
        if now < self.frozen_until {
            return;
        }
        let due: Vec<_> = self.changes.extract_if(.., |(at, _)| *at <= now).map(|(_, w)| w).collect();
        if due.is_empty() {
            return;
        }
        self.version += 1;
        for worker in &due {
            if worker.standing == MemberState::Removed {
                self.entries.remove(&worker.id);
            } else {
                self.entries.insert(worker.id.clone(), worker.clone());
            }
        }
        for subscriber in self.subscribers.keys().copied().collect::<Vec<_>>() {
            self.send_list(subscriber, false, due.clone());
        }
    }

    fn send_list(&mut self, subscriber: Connection, whole: bool, workers: Vec<ListedWorker>) {
        let now = self.hub.clock().now();
        let gateway = self.subscribers.get(&subscriber).cloned().unwrap_or_default();
        let states = workers.iter().map(|w| (w.id.clone(), w.standing.as_str().to_owned())).collect();
        self.recorder.write(now, RecordedEvent::Told { gateway, whole, workers: states });
        let version = self.version;
        self.hub.send(subscriber, &Message::List { whole, version, workers }, None);
    }
}
