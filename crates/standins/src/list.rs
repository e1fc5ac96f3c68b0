//! The worker list: workers register, gateways follow. It can be slow, frozen, disconnected or wrong on command.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::path::Path;

use cresswheel_protocol::{Listed, Message, Micros, Standing};
use cresswheel_transport::{Connection, Hub, HubLimits, Notice, Wire};

use crate::records::{RecordedEvent, Recorder};

/// A worker list process.
pub struct WorkerList {
    hub: Hub,
    address: SocketAddr,
    recorder: Recorder,
    entries: BTreeMap<String, Listed>,
    version: u64,
    /// Which connection registered a worker.
    registered: HashMap<Connection, String>,
    followers: HashMap<Connection, String>,
    names: HashMap<Connection, String>,
    /// Delay between a change and its publication.
    delay: Micros,
    frozen_until: Micros,
    /// How long a worker stays listed after its connection ended.
    notice: Micros,
    changes: Vec<(Micros, Listed)>,
}

impl WorkerList {
    /// Listens.
    pub fn start(at: SocketAddr, records: Option<&Path>, delay: Micros, notice: Micros) -> io::Result<Self> {
        let mut hub = Hub::new(HubLimits::default())?;
        let (_, address) = hub.listen(at, Wire::Frames)?;
        Ok(Self {
            hub,
            address,
            recorder: Recorder::new(records, "list")?,
            entries: BTreeMap::new(),
            version: 0,
            registered: HashMap::new(),
            followers: HashMap::new(),
            names: HashMap::new(),
            delay,
            frozen_until: 0,
            notice,
            changes: Vec::new(),
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until a control message ends it.
    pub fn run(&mut self) -> io::Result<()> {
        loop {
            let due = self.changes.iter().map(|(at, _)| *at).min().map(|at| at.max(self.frozen_until));
            self.recorder.flush();
            self.hub.wait(due)?;
            while let Some(notice) = self.hub.take_notice() {
                let goes_on = match notice {
                    Notice::Message(connection, message) => self.message(connection, message),
                    Notice::Closed { connection, .. } => {
                        self.closed(connection);
                        true
                    }
                    _ => true,
                };
                if !goes_on {
                    return Ok(());
                }
            }
            self.tell_changes();
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
                self.followers.insert(connection, name);
                let workers: Vec<Listed> = self.entries.values().cloned().collect();
                self.tell(connection, true, workers);
            }
            Message::Register { workers } => {
                for worker in workers {
                    self.registered.insert(connection, worker.id.clone());
                    // Pending removals of its earlier process are void.
                    self.changes.retain(|(_, w)| w.id != worker.id || w.standing != Standing::Out);
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
            ["delay", span] => self.delay = ms(span)?,
            ["notice", span] => self.notice = ms(span)?,
            ["freeze", span] => self.frozen_until = now + ms(span)?,
            // A worker that does not exist.
            ["ghost", id, address] => {
                let listed = Listed {
                    id: id.into(),
                    address: address.into(),
                    zone: String::new(),
                    kind: String::new(),
                    cell: 0,
                    standing: Standing::In,
                    started: 0,
                };
                self.changes.push((now, listed));
            }
            ["hang-up"] => {
                for follower in self.followers.keys().copied().collect::<Vec<_>>() {
                    self.hub.close(follower, "hangs up on purpose");
                }
            }
            _ => return Err(format!("{words}: no such command")),
        }
        Ok(())
    }

    fn closed(&mut self, connection: Connection) {
        self.names.remove(&connection);
        self.followers.remove(&connection);
        if let Some(id) = self.registered.remove(&connection)
            && !self.registered.values().any(|other| *other == id)
            && let Some(listed) = self.entries.get(&id)
        {
            let gone = Listed { standing: Standing::Out, ..listed.clone() };
            self.changes.push((self.hub.clock().now() + self.notice, gone));
        }
    }

    fn tell_changes(&mut self) {
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
            if worker.standing == Standing::Out {
                self.entries.remove(&worker.id);
            } else {
                self.entries.insert(worker.id.clone(), worker.clone());
            }
        }
        for follower in self.followers.keys().copied().collect::<Vec<_>>() {
            self.tell(follower, false, due.clone());
        }
    }

    fn tell(&mut self, follower: Connection, whole: bool, workers: Vec<Listed>) {
        let now = self.hub.clock().now();
        let gateway = self.followers.get(&follower).cloned().unwrap_or_default();
        let said = workers.iter().map(|w| (w.id.clone(), w.standing.word().to_owned())).collect();
        self.recorder.write(now, RecordedEvent::Told { gateway, whole, workers: said });
        let version = self.version;
        self.hub.send(follower, &Message::List { whole, version, workers }, None);
    }
}
