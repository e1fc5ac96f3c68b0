//! Many clients in one process: connections that are opened, idle, and wake on command.

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use cresswheel_protocol::{FunctionProfile, Message, Micros, Role, Status as Ending};
use cresswheel_standins::{RecordedEvent, Recorder};
use cresswheel_transport::{Connection, EventLoop, EventLoopLimits, LoopEvent, Wire};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;
use serde::{Deserialize, Serialize};

/// Settings of a crowd.
#[derive(Clone, Debug)]
pub struct CrowdSettings {
    /// Where it listens for commands.
    pub control: SocketAddr,
    /// Its gateway.
    pub to: SocketAddr,
    /// Its name in records, and the first part of its calls' traces.
    pub name: String,
    /// Where it writes down what passes.
    pub records: Option<PathBuf>,
    /// Its connections come from addresses 127.x.y.1 to .250 with this x and y.
    pub from: (u8, u8),
    /// Of its random draws.
    pub seed: u64,
    /// What its calls are.
    pub mix: Vec<Mix>,
}

/// A class among the calls.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Mix {
    /// Its name.
    pub class: String,
    /// Its share.
    pub share: f64,
    /// How long a client waits, in milliseconds.
    pub give_up_ms: u64,
}

/// The state of a crowd.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Connections asked for.
    pub wanted: usize,
    /// Connections that are established.
    pub established: usize,
    /// Connections that could not be made, or ended.
    pub lost: usize,
    /// Calls without their answer whose time is not over.
    pub open: usize,
    /// Calls that are still to be sent.
    pub scheduled: usize,
    /// Calls answered.
    pub answered: u64,
    /// Pings answered.
    pub pings: u64,
    /// Connections that were asked to leave.
    pub asked_to_leave: usize,
    /// When the last connection was made, on the machine's clock.
    pub last_made: Micros,
}

impl Status {
    /// Adds another crowd's status.
    pub fn add(&mut self, other: &Self) {
        self.wanted += other.wanted;
        self.established += other.established;
        self.lost += other.lost;
        self.open += other.open;
        self.scheduled += other.scheduled;
        self.answered += other.answered;
        self.pings += other.pings;
        self.asked_to_leave += other.asked_to_leave;
        self.last_made = self.last_made.max(other.last_made);
    }
}

/// Connection attempts under way at once.
const MAX_CONNECTING: usize = 128;
/// Source addresses used in turn.
const ADDRESSES: usize = 250;
/// Functions called, the same by all crowds.
const FUNCTIONS: u32 = 16;
/// How long after its deadline a call is still waited for, to detect late answers.
const GRACE: Micros = 500_000;
const CONNECT_WITHIN: Micros = 20_000_000;

struct Open {
    trace: String,
    connection: Connection,
    deadline: Micros,
}

/// Clients of a gateway.
pub struct Crowd {
    settings: CrowdSettings,
    hub: EventLoop,
    control: SocketAddr,
    recorder: Recorder,
    rng: Pcg32,
    status: Status,
    established: Vec<Connection>,
    connecting: usize,
    started: usize,
    /// Calls that are scheduled, the soonest last.
    scheduled: Vec<(Micros, Connection)>,
    open: HashMap<u64, Open>,
    mute: bool,
    wave: u32,
    next: u64,
    stopped: bool,
}

impl Crowd {
    /// Listens for commands.
    pub fn start(settings: CrowdSettings) -> io::Result<Self> {
        let mut hub = EventLoop::new(EventLoopLimits::default())?;
        let (_, control) = hub.listen(settings.control, Wire::Frames)?;
        Ok(Self {
            recorder: Recorder::new(settings.records.as_deref(), &settings.name)?,
            rng: Pcg32::new(settings.seed, 0xc20d),
            hub,
            control,
            status: Status::default(),
            established: Vec::new(),
            connecting: 0,
            started: 0,
            scheduled: Vec::new(),
            open: HashMap::new(),
            mute: false,
            wave: 0,
            next: 0,
            stopped: false,
            settings,
        })
    }

    /// Where it listens for commands.
    pub fn address(&self) -> SocketAddr {
        self.control
    }

    /// Serves until a command stops it.
    pub fn run(&mut self) -> io::Result<()> {
        while !self.stopped {
            self.open_connections();
            let now = self.hub.clock().now();
            while let Some((_, connection)) = self.scheduled.last().filter(|(at, _)| *at <= now).copied() {
                self.scheduled.pop();
                self.call(connection);
            }
            self.open.retain(|_, open| open.deadline + GRACE > now);
            self.recorder.flush();
            let soon = self.scheduled.last().map(|(at, _)| *at);
            let over = (!self.open.is_empty()).then_some(now + 50_000);
            self.hub.wait(soon.into_iter().chain(over).min())?;
            while let Some(notice) = self.hub.next_event() {
                self.notice(notice);
            }
        }
        Ok(())
    }

    fn open_connections(&mut self) {
        while self.connecting < MAX_CONNECTING && self.started < self.status.wanted {
            let (x, y) = self.settings.from;
            let last = (self.started % ADDRESSES) as u8 + 1;
            let from = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, x, y, last)), 0);
            self.started += 1;
            self.connecting += 1;
            let connection =
                self.hub.connect_from(Some(from), self.settings.to, Wire::Frames, CONNECT_WITHIN);
            let hello = Message::Hello { role: Role::Client, name: String::new(), zone: String::new() };
            self.hub.send(connection, &hello, None);
        }
    }

    fn notice(&mut self, notice: LoopEvent) {
        match notice {
            LoopEvent::Connected(connection) => {
                self.connecting -= 1;
                self.established.push(connection);
                self.status.established += 1;
                self.status.last_made = self.hub.clock().now();
                if self.mute {
                    self.hub.pause(connection, true);
                }
            }
            LoopEvent::Message(connection, message) => self.message(connection, message),
            LoopEvent::Closed { connection, is_inbound: false, never_stood, .. } => {
                self.status.lost += 1;
                if never_stood {
                    self.connecting -= 1;
                    return;
                }
                self.status.established -= 1;
                self.established.retain(|other| *other != connection);
                let now = self.hub.clock().now();
                let gone = self.open.extract_if(|_, open| open.connection == connection);
                for (_, open) in gone {
                    let trace = open.trace;
                    self.recorder.write(now, RecordedEvent::GatewayGone { trace, unreached: false });
                }
            }
            _ => {}
        }
    }

    fn message(&mut self, connection: Connection, message: Message) {
        match message {
            Message::Control { words } => {
                let wrong = self.run_command(&words).err().unwrap_or_default();
                self.hub.send(connection, &Message::Controlled { wrong }, None);
            }
            Message::Page { .. } => {
                let status =
                    Status { open: self.open.len(), scheduled: self.scheduled.len(), ..self.status.clone() };
                let json = serde_json::to_vec(&status).unwrap_or_default();
                self.hub.send(connection, &Message::Counts { json }, None);
            }
            Message::Probe { number } => {
                self.status.pings += 1;
                self.hub.send(connection, &Message::Probed { number, held: 0, queued: 0 }, None);
            }
            Message::GoingAway { .. } => {
                self.status.asked_to_leave += 1;
                self.hub.close(connection, "asked to leave");
            }
            Message::Answer { number, status, reason, .. } => {
                let Some(open) = self.open.remove(&number) else { return };
                self.status.answered += 1;
                let status = status.as_str().to_owned();
                debug_assert!(Ending::from_name(&status).is_some());
                let now = self.hub.clock().now();
                self.recorder.write(now, RecordedEvent::answered(open.trace, status, reason, None));
            }
            _ => {}
        }
    }

    /// Runs a control command: `open COUNT`, `wake SHARE MS`, `mute`, `half COUNT`, `leave`, `stop`.
    fn run_command(&mut self, words: &str) -> Result<(), String> {
        let parts: Vec<&str> = words.split(' ').collect();
        let number = |at: usize| -> Result<f64, String> {
            let part = parts.get(at).ok_or(format!("{words}: a number is missing"))?;
            part.parse().map_err(|_| format!("{words}: {part} is no number"))
        };
        match parts[0] {
            "open" => self.status.wanted = number(1)? as usize,
            "wake" => self.wake(number(1)?, number(2)?),
            // Clients that stop reading and answering, as after a network failure.
            "mute" => {
                self.mute = true;
                self.established.iter().for_each(|connection| self.hub.pause(*connection, true));
            }
            "half" => {
                let count = number(1)? as usize;
                for connection in self.established.iter().take(count) {
                    self.hub.send_bytes(*connection, &[0, 0, 1, 0, 1, 10, 7]);
                }
            }
            "leave" => {
                let all = std::mem::take(&mut self.established);
                all.iter().for_each(|connection| self.hub.close(*connection, "left"));
            }
            "stop" => self.stopped = true,
            other => return Err(format!("{other}: a crowd knows open, wake, mute, half, leave, stop")),
        }
        Ok(())
    }

    /// A share of the connections make one call each, at any time within a span.
    fn wake(&mut self, share: f64, ms: f64) {
        self.wave += 1;
        let now = self.hub.clock().now();
        let count = (self.established.len() as f64 * share.clamp(0.0, 1.0)).round() as usize;
        // The first of a shuffle are a fair draw.
        for at in 0..count {
            let other = at + self.rng.next_u32() as usize % (self.established.len() - at);
            self.established.swap(at, other);
            let after = (f64::from(self.rng.next_u32()) / f64::from(u32::MAX) * ms * 1e3) as Micros;
            self.scheduled.push((now + after, self.established[at]));
        }
        self.scheduled.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
    }

    fn call(&mut self, connection: Connection) {
        let mut drawn = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
        let picked = self.settings.mix.iter().find(|mix| {
            drawn -= mix.share;
            drawn <= 0.0
        });
        let Some(mix) = picked.or(self.settings.mix.last()) else { return };
        let (class, time_left) = (mix.class.clone(), mix.give_up_ms * 1_000);
        self.next += 1;
        let number = self.next;
        let function = format!("{class}/{}", self.rng.next_u32() % FUNCTIONS);
        let trace = format!("w{}-{}-{number}", self.wave, self.settings.name);
        let now = self.hub.clock().now();
        let deadline = now + time_left;
        let gateway = "gateway-0".to_owned();
        let asked = RecordedEvent::Asked {
            trace: trace.clone(),
            gateway,
            class: class.clone(),
            deferred: false,
            deadline,
        };
        self.recorder.write(now, asked);
        let message = Message::Call {
            number,
            deferred: false,
            function,
            class,
            tenant: String::new(),
            key: String::new(),
            trace: trace.clone(),
            time_left,
            shape: FunctionProfile { memory_mb: 10, lanes: 100_000, load_time: 0, work: 0 },
            body: vec![b'x'; 100],
            account: None,
        };
        if !self.hub.send(connection, &message, None) {
            return self.recorder.write(now, RecordedEvent::GatewayGone { trace, unreached: true });
        }
        self.open.insert(number, Open { trace, connection, deadline });
    }
}
