//! A simulated worker process: the worker model behind the main protocol, with faults on command.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use cresswheel_protocol::{Ending, ListedWorker, MemberState, Message, Micros, Origin, Role};
use cresswheel_transport::{Connection, EventLoop, EventLoopLimits, LoopEvent, Wire};
use rand_pcg::Pcg32;
use sha2::{Digest, Sha256};

use crate::control::Faults;
use crate::random::uniform;
use crate::records::{RecordedEvent, Recorder};
use crate::worker_model::{Effect, Job, Model, Profile};

/// Settings of a worker process.
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    /// Its id in the worker list; if empty, its address.
    pub id: String,
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The worker list service that it registers with.
    pub list: Option<SocketAddr>,
    /// The store that it fetches images from; without one a fetch only takes time.
    pub store: Option<SocketAddr>,
    /// Its zone.
    pub zone: String,
    /// Its kind.
    pub kind: String,
    /// Its cell.
    pub cell: u64,
    /// It has full capacity from the first call on, as if started long ago.
    pub warm: bool,
    /// The properties of the model.
    pub profile: Profile,
    /// The folder for records.
    pub records: Option<PathBuf>,
}

/// An attempt that the model has not ended yet.
struct PendingAttempt {
    connection: Connection,
    attempt: u64,
    trace: String,
    class: String,
    function: String,
}

/// The digest that a worker reports for a function: the hash of its name, since a simulated function has no
/// code.
pub fn digest(function: &str) -> String {
    let bytes = Sha256::digest(function.as_bytes());
    let hex = bytes.iter().map(|byte| format!("{byte:02x}"));
    format!("sha256:{}", hex.collect::<String>())
}

/// A worker process.
pub struct Worker {
    settings: WorkerSettings,
    hub: EventLoop,
    address: SocketAddr,
    started: Micros,
    model: Model,
    recorder: Recorder,
    rng: Pcg32,
    faults: Faults,
    draining: bool,
    /// Pause that begins with the next loop iteration, in milliseconds.
    paused: Option<u64>,
    /// Name and zone of the gateway by connection.
    gateways: HashMap<Connection, (String, String)>,
    list: Option<Connection>,
    list_retry: Option<Micros>,
    store: Option<Connection>,
    fetches: BTreeMap<u64, String>,
    local_fetches: BTreeSet<(Micros, u64)>,
    pending_attempts: HashMap<u64, PendingAttempt>,
    orders: HashMap<u64, (Connection, u64)>,
    next: u64,
    /// Memory use as last recorded, in MB.
    memory: u32,
    effects: Vec<Effect>,
}

const CONNECT_TIMEOUT: Micros = 500_000;
const LIST_RETRY_DELAY: Micros = 100_000;

impl Worker {
    /// Starts listening.
    pub fn start(mut settings: WorkerSettings) -> io::Result<Self> {
        let limits = EventLoopLimits { max_output: 256 << 20, ..EventLoopLimits::default() };
        let mut hub = EventLoop::new(limits)?;
        let (_, address) = hub.listen(settings.listen, Wire::Frames)?;
        if settings.id.is_empty() {
            settings.id = address.to_string();
        }
        let now = hub.clock().now();
        let mut recorder = Recorder::new(settings.records.as_deref(), &settings.id)?;
        let started = if settings.warm { 0 } else { now };
        let p = &settings.profile;
        let began = RecordedEvent::Started {
            started,
            zone: settings.zone.clone(),
            cell: settings.cell,
            power: f64::from(p.cores) * p.speed,
            fall_multiple: p.fall_multiple,
            fall_window: p.fall_window,
            cold_from: p.cold_from,
            warm_up: p.warm_up,
        };
        recorder.write(now, began);
        recorder.flush();
        Ok(Self {
            model: Model::new(settings.profile.clone(), started),
            rng: Pcg32::new(settings.profile.seed, 0xfa17),
            hub,
            address,
            started,
            recorder,
            faults: Faults::default(),
            draining: false,
            paused: None,
            gateways: HashMap::new(),
            list: None,
            list_retry: settings.list.map(|_| now),
            store: None,
            fetches: BTreeMap::new(),
            local_fetches: BTreeSet::new(),
            pending_attempts: HashMap::new(),
            orders: HashMap::new(),
            next: 0,
            memory: 0,
            effects: Vec::new(),
            settings,
        })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until a control message ends it.
    pub fn run(&mut self) -> io::Result<()> {
        loop {
            let now = self.hub.clock().now();
            let fetch = self.local_fetches.first().map(|(at, _)| *at);
            let fault = self.faults.next_end(now);
            let due = [self.model.next(), fetch, self.list_retry, fault];
            let mb = self.model.memory();
            if std::mem::replace(&mut self.memory, mb) != mb {
                self.recorder.write(now, RecordedEvent::Memory { mb });
            }
            // Records reach the kernel before the answers, so that a kill doesn't lose the record of a sent
            // answer.
            self.recorder.flush();
            self.hub.wait(due.into_iter().flatten().min())?;
            if let Some(ms) = self.paused.take() {
                std::thread::sleep(Duration::from_millis(ms));
            }
            while let Some(notice) = self.hub.next_event() {
                if !self.notice(notice) {
                    self.recorder.flush();
                    return Ok(());
                }
            }
            self.pass();
        }
    }

    fn pass(&mut self) {
        let now = self.hub.clock().now();
        self.model.slowness = self.faults.slowness(now);
        self.model.fail = self.faults.share(now, "fail");
        self.model.load_fail = self.faults.share(now, "load-fail");
        self.model.rejecting = self.draining || self.faults.get(now, "refuse").is_some();
        while let Some((_, fetch)) = self.local_fetches.first().filter(|(at, _)| *at <= now).copied() {
            self.local_fetches.pop_first();
            self.fetch_ended(fetch, true);
        }
        if self.list_retry.is_some_and(|at| at <= now) {
            self.list_retry = None;
            self.register();
        }
        let mut effects = std::mem::take(&mut self.effects);
        self.model.pass(now, &mut effects);
        self.effects = effects;
        self.apply_effects();
    }

    fn register(&mut self) {
        let Some(at) = self.settings.list else { return };
        let list = self.hub.connect(at, Wire::Frames, CONNECT_TIMEOUT);
        self.list = Some(list);
        let hello = self.hello();
        self.hub.send(list, &hello, None);
        let entry = ListedWorker {
            id: self.settings.id.clone(),
            address: self.address.to_string(),
            zone: self.settings.zone.clone(),
            kind: self.settings.kind.clone(),
            cell: self.settings.cell,
            standing: if self.draining { MemberState::Draining } else { MemberState::Active },
            started: self.started,
        };
        self.hub.send(list, &Message::Register { workers: vec![entry] }, None);
    }

    fn hello(&self) -> Message {
        let (name, zone) = (self.settings.id.clone(), self.settings.zone.clone());
        Message::Hello { role: Role::Worker, name, zone }
    }

    /// Handles a notice. Returns false when the process is to end.
    fn notice(&mut self, notice: LoopEvent) -> bool {
        match notice {
            LoopEvent::Message(connection, message) => return self.message(connection, message),
            LoopEvent::Closed { connection, .. } => {
                self.gateways.remove(&connection);
                if self.list == Some(connection) {
                    self.list = None;
                    self.list_retry = Some(self.hub.clock().now() + LIST_RETRY_DELAY);
                }
                if self.store == Some(connection) {
                    self.store = None;
                    for fetch in std::mem::take(&mut self.fetches).into_keys().collect::<Vec<_>>() {
                        self.fetch_ended(fetch, false);
                    }
                }
            }
            _ => {}
        }
        true
    }

    fn message(&mut self, connection: Connection, message: Message) -> bool {
        let now = self.hub.clock().now();
        let gateway = self.gateways.get(&connection).cloned();
        if let Some((_, zone)) = &gateway
            && self.faults.cuts(now, zone)
        {
            return true;
        }
        let name = gateway.map(|(name, _)| name).unwrap_or_default();
        let hangs = self.faults.get(now, "hang").is_some();
        match message {
            Message::Hello { role: Role::Gateway, name, zone } => {
                self.gateways.insert(connection, (name, zone));
            }
            Message::Run { attempt, trace, class, function, time_left, shape, .. } => {
                let work = Model::work(&shape);
                let (gateway, t, c, f) = (name, trace.clone(), class.clone(), function.clone());
                self.recorder.write(
                    now,
                    RecordedEvent::Run { gateway, trace: t, attempt, class: c, function: f, work },
                );
                if hangs {
                    return true;
                }
                self.next += 1;
                let pending =
                    PendingAttempt { connection, attempt, trace, class, function: function.clone() };
                self.pending_attempts.insert(self.next, pending);
                let job = Job { number: self.next, function, shape, deadline: now.saturating_add(time_left) };
                self.model.run(now, job, &mut self.effects);
            }
            Message::CancelRun { attempt } => {
                let here =
                    |(_, o): &(&u64, &PendingAttempt)| o.connection == connection && o.attempt == attempt;
                if let Some(number) = self.pending_attempts.iter().find(here).map(|(number, _)| *number) {
                    self.model.cancel(number, &mut self.effects);
                }
            }
            Message::Hold { order, function, count, shape } => {
                let f = function.clone();
                self.recorder.write(now, RecordedEvent::Hold { gateway: name, function: f, count });
                if hangs {
                    return true;
                }
                self.next += 1;
                self.orders.insert(self.next, (connection, order));
                self.model.hold(now, self.next, &function, count, shape, &mut self.effects);
            }
            Message::Drop { function } => self.model.drop_idle(&function),
            Message::Probe { number } if !hangs => {
                let (held, queued) = self.model.in_flight();
                self.hub.send(connection, &Message::Probed { number, held, queued }, None);
            }
            Message::Fetched { number, there } => self.fetch_ended(number, there),
            Message::Control { words } => return self.control(connection, &words),
            _ => {}
        }
        self.apply_effects();
        true
    }

    fn control(&mut self, connection: Connection, words: &str) -> bool {
        let now = self.hub.clock().now();
        self.recorder.write(now, RecordedEvent::Scene { words: words.into() });
        let mut wrong = String::new();
        match words {
            "stop" => return false,
            "flush" => self.model.flush(),
            "drain" | "undrain" => {
                self.draining = words == "drain";
                // Registers again with the new state, as a worker does in a deployment.
                self.list.take().into_iter().for_each(|list| self.hub.close(list, "registers again"));
                self.list_retry = None;
                self.register();
            }
            _ => match words.strip_prefix("pause ").map(str::parse::<u64>) {
                // Pauses the whole process, as a garbage collector or a frozen disk does; sockets fill
                // meanwhile.
                Some(Ok(ms)) if ms <= 10_000 => {
                    self.hub.send(connection, &Message::Controlled { wrong }, None);
                    self.paused = Some(ms);
                    return true;
                }
                _ => wrong = self.faults.begin(now, words).err().unwrap_or_default(),
            },
        }
        self.pass();
        self.hub.send(connection, &Message::Controlled { wrong }, None);
        true
    }

    fn fetch_ended(&mut self, fetch: u64, there: bool) {
        if let Some(name) = self.fetches.remove(&fetch) {
            self.model.fetched(self.hub.clock().now(), &name, there, &mut self.effects);
            self.apply_effects();
        }
    }

    /// A uniform random number in [0, 1).
    fn uniform(&mut self) -> f64 {
        uniform(&mut self.rng)
    }

    fn apply_effects(&mut self) {
        for effect in std::mem::take(&mut self.effects) {
            let now = self.hub.clock().now();
            match effect {
                Effect::Began(number) => {
                    if let Some(pending) = self.pending_attempts.get(&number) {
                        let (trace, class) = (pending.trace.clone(), pending.class.clone());
                        self.recorder.write(now, RecordedEvent::Began { trace, class });
                    }
                }
                Effect::Ended(number, ending, in_flight) => {
                    self.answer_attempt(now, number, ending, in_flight)
                }
                Effect::Held(number, ending, loaded) => {
                    if let Some((connection, order)) = self.orders.remove(&number)
                        && !self.is_cut_off(now, connection)
                    {
                        self.hub.send(connection, &Message::Held { order, ending, standing: loaded }, None);
                    }
                }
                Effect::Fetch(name, time) => self.fetch(now, name, time),
                Effect::Fell(sent, bearable) => {
                    tracing::warn!(sent, bearable, "collapsed under overload while cold");
                    self.recorder.write(now, RecordedEvent::Fell { sent, bearable });
                }
            }
        }
    }

    fn is_cut_off(&self, now: Micros, connection: Connection) -> bool {
        self.gateways.get(&connection).is_some_and(|(_, zone)| self.faults.cuts(now, zone))
            || self.faults.get(now, "hang").is_some()
    }

    fn answer_attempt(&mut self, now: Micros, number: u64, ending: Ending, in_flight: u32) {
        let Some(PendingAttempt { connection, attempt, trace, class, function }) =
            self.pending_attempts.remove(&number)
        else {
            return;
        };
        let bad = self.faults.version_share(now, &function);
        let ending =
            if ending == Ending::Ok && bad > 0.0 && self.uniform() < bad { Ending::Error } else { ending };
        // A worker with another function's image under this name reports that image's digest.
        let image = self.faults.swapped(now, &function).unwrap_or(&function).to_owned();
        let (lose, reset, twice) = (
            self.faults.share(now, "lose"),
            self.faults.share(now, "reset"),
            self.faults.share(now, "twice"),
        );
        // Draws random numbers only while a fault is active, so that other runs stay reproducible.
        let lose = lose.max(self.faults.class_share(now, &class));
        let lost = self.is_cut_off(now, connection) || (lose > 0.0 && self.uniform() < lose);
        let breaks = !lost && reset > 0.0 && self.uniform() < reset;
        let word = ending.as_str().into();
        let ran = RecordedEvent::Ran { trace, ending: word, lost: lost || breaks, image: image.clone() };
        self.recorder.write(now, ran);
        if breaks {
            return self.hub.close(connection, "injected connection reset");
        }
        if lost {
            return;
        }
        let body = self.settings.id.clone().into_bytes();
        let origin = Some(Origin { function, digest: digest(&image) });
        let answer = Message::Ran { attempt, ending, crowd: in_flight, body, origin };
        self.hub.send(connection, &answer, None);
        if twice > 0.0 && self.uniform() < twice {
            self.hub.send(connection, &answer, None);
        }
        if self.faults.get(now, "stray").is_some() {
            let (attempt, ending, body) = (attempt ^ 1 << 40, Ending::Ok, Vec::new());
            let stray = Message::Ran { attempt, ending, crowd: 0, body, origin: None };
            self.hub.send(connection, &stray, None);
        }
    }

    fn fetch(&mut self, now: Micros, function: String, time: Micros) {
        self.next += 1;
        let number = self.next;
        self.fetches.insert(number, function.clone());
        let Some(at) = self.settings.store else {
            self.local_fetches.insert((now + time, number));
            return;
        };
        let store = match self.store {
            Some(store) => store,
            None => {
                let store = self.hub.connect(at, Wire::Frames, CONNECT_TIMEOUT);
                let hello = self.hello();
                self.hub.send(store, &hello, None);
                self.store = Some(store);
                store
            }
        };
        self.hub.send(store, &Message::Fetch { number, function, time }, None);
    }
}
