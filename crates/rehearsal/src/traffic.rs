//! The clients of a rehearsal: open-loop calls at times drawn ahead; one connection to each gateway.
//!
//! Each client's call has a trace of its own, by which the auditor finds it at the workers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::mpsc::Receiver;

use cresswheel_protocol::{FunctionProfile, Message, Micros, Role, Status};
use cresswheel_standins::{RecordedEvent, Recorder, uniform};
use cresswheel_transport::{Connection, EventLoop, EventLoopLimits, LoopEvent, Wire};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;

use crate::fleet::Fleet;
use crate::scene::{Event, Scene};

const MS: Micros = 1_000;
const CONNECT_WITHIN: Micros = 250 * MS;
const RETRY_CONNECT: Micros = 100 * MS;
/// How long after its deadline a call is still waited for, to detect late answers.
const GRACE: Micros = 500 * MS;

/// Accounts that calls are about, in turn.
const ACCOUNTS: u64 = 9_973;

/// A gateway, and the clients' connection to it.
struct GatewayConnection {
    at: SocketAddr,
    name: String,
    zone: String,
    connection: Option<Connection>,
    is_established: bool,
    retry_at: Micros,
    /// Clients think that it lives until then.
    believed_up_until: Micros,
}

struct Open {
    trace: String,
    callee: Callee,
    deadline: Micros,
    /// The call's id, once it was accepted.
    id: Option<String>,
    connection: Connection,
    tries_left: u32,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// An idle connection wakes.
    Wake(Connection),
    /// A hasty client leaves.
    Leave(u64),
    /// A call's deadline, with what is waited beyond it, has passed.
    Over(u64),
}

/// What is called.
#[derive(Clone, Copy)]
struct Callee {
    class: usize,
    /// Its number in the class, among the hot or the other functions.
    function: usize,
    hot: bool,
}

/// A share of the calls goes to a few new functions.
#[derive(Default)]
struct HotFunctions {
    share: f64,
    functions: usize,
    until: Micros,
}

/// A share of a class's calls takes several times its work.
#[derive(Default)]
struct HeavyCalls {
    class: usize,
    share: f64,
    times: f64,
    until: Micros,
}

/// A share of the clients gives up after a part of its time.
#[derive(Default)]
struct Impatience {
    share: f64,
    part: f64,
    until: Micros,
}

/// The clients.
pub struct Clients {
    scene: Scene,
    hub: EventLoop,
    recorder: Recorder,
    rng: Pcg32,
    gateways: Vec<GatewayConnection>,
    /// Connections that are idle, and whose.
    idle: BTreeMap<Connection, usize>,
    open: BTreeMap<u64, Open>,
    /// Calls that hasty clients left: an answer to one may have been on its way.
    left: BTreeSet<u64>,
    due: BTreeSet<(Micros, Due)>,
    next: u64,
    traces: u64,
    start: Micros,
    hot: HotFunctions,
    heavy: HeavyCalls,
    impatience: Impatience,
    /// Cumulated shares of classes, and of ranks in a class by its number of functions.
    class_shares: Vec<f64>,
    ranks: BTreeMap<usize, Vec<f64>>,
}

fn cumulated(weights: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    let sums: Vec<f64> = weights
        .map(|w| {
            sum += w;
            sum
        })
        .collect();
    sums.into_iter().map(|s| s / sum).collect()
}

impl Clients {
    /// Clients of these gateways, which write down what they see in `records`.
    pub fn new(scene: &Scene, gateways: &[SocketAddr], records: &Path) -> anyhow::Result<Self> {
        let hub = EventLoop::new(EventLoopLimits::default())?;
        let start = hub.clock().now();
        let gateway = |(n, at): (usize, &SocketAddr)| GatewayConnection {
            at: *at,
            name: Fleet::gateway_name(n),
            zone: scene.gateways[n].zone.clone(),
            connection: None,
            is_established: false,
            retry_at: start,
            believed_up_until: Micros::MAX,
        };
        let ranks = |class: &crate::ClassSpec| {
            let zipf = scene.traffic.zipf;
            (class.functions, cumulated((1..=class.functions).map(|rank| (rank as f64).powf(-zipf))))
        };
        Ok(Self {
            recorder: Recorder::new(Some(records), "clients")?,
            rng: Pcg32::new(scene.seed, 0xc11e),
            gateways: gateways.iter().enumerate().map(gateway).collect(),
            idle: BTreeMap::new(),
            open: BTreeMap::new(),
            left: BTreeSet::new(),
            due: BTreeSet::new(),
            next: 0,
            traces: 0,
            start,
            hot: HotFunctions::default(),
            heavy: HeavyCalls::default(),
            impatience: Impatience::default(),
            class_shares: cumulated(scene.classes.iter().map(|class| class.share)),
            ranks: scene.classes.iter().map(ranks).collect(),
            scene: scene.clone(),
            hub,
        })
    }

    /// A random number from 0 up to 1.
    fn uniform(&mut self) -> f64 {
        uniform(&mut self.rng)
    }

    /// Calls for the scene's length, then waits for what is open. Events for clients come over `events`.
    pub fn run(mut self, events: &Receiver<Event>) -> anyhow::Result<()> {
        // All connections first: a call before them would only tell of the start.
        let settled = self.hub.clock().now() + 2_000 * MS;
        while self.gateways.iter().any(|d| !d.is_established) && self.hub.clock().now() < settled {
            self.connect();
            self.step(Some(settled))?;
        }
        for gateway in 0..self.gateways.len() {
            for _ in 0..self.scene.traffic.crowd {
                let connection = self.open_connection(gateway);
                self.idle.insert(connection, gateway);
            }
        }
        self.start = self.hub.clock().now();
        let end = self.start + self.scene.length_ms * MS;
        let mut arrival = self.start;
        let mut drained = false;
        loop {
            while let Ok(event) = events.try_recv() {
                self.event(&event);
            }
            let now = self.hub.clock().now();
            while arrival <= now && arrival < end {
                self.call_next(arrival);
                arrival += self.gap(arrival);
            }
            self.connect();
            self.pass_due(now);
            if arrival >= end && self.open.is_empty() {
                drained = true;
            }
            self.recorder.flush();
            if drained {
                return Ok(());
            }
            let due = self.due.first().map(|(at, _)| *at);
            let again = self.gateways.iter().filter(|d| d.connection.is_none()).map(|d| d.retry_at).min();
            let next = (arrival < end).then_some(arrival);
            // Events come over a channel that wakes nobody: look every few milliseconds.
            let until = [due, again, next, Some(now + 20 * MS)].into_iter().flatten().min();
            self.step(until)?;
        }
    }

    fn gap(&mut self, at: Micros) -> Micros {
        let into = (at - self.start) / MS;
        let curve = &self.scene.traffic.curve;
        let factor = curve.iter().rev().find(|(from, _)| *from <= into).map_or(1.0, |(_, factor)| *factor);
        let rate = (self.scene.traffic.rate * factor).max(1e-3);
        let drawn = self.uniform();
        (-(1.0 - drawn).ln() / rate * 1e6) as Micros
    }

    fn event(&mut self, event: &Event) {
        let now = self.hub.clock().now();
        match event {
            Event::Hot { share, functions, ms } => {
                self.hot = HotFunctions { share: *share, functions: *functions, until: now + ms * MS };
            }
            Event::Heavy { class, share, times, ms } => {
                let until = now + ms * MS;
                self.heavy = HeavyCalls { class: *class, share: *share, times: *times, until };
            }
            Event::Wake { share, ms } => {
                let all: Vec<Connection> = self.idle.keys().copied().collect();
                for connection in all {
                    if self.uniform() < *share {
                        let after = (self.uniform() * (ms * MS) as f64) as Micros;
                        self.due.insert((now + after, Due::Wake(connection)));
                    }
                }
            }
            Event::GiveUp { share, part, ms } => {
                self.impatience = Impatience { share: *share, part: *part, until: now + ms * MS };
            }
            _ => {}
        }
    }

    fn open_connection(&mut self, gateway: usize) -> Connection {
        let gateway = &self.gateways[gateway];
        let connection = self.hub.connect(gateway.at, Wire::Frames, CONNECT_WITHIN);
        let hello = Message::Hello { role: Role::Client, name: "clients".into(), zone: gateway.zone.clone() };
        self.hub.send(connection, &hello, None);
        connection
    }

    fn connect(&mut self) {
        let now = self.hub.clock().now();
        for gateway in 0..self.gateways.len() {
            if self.gateways[gateway].connection.is_none() && self.gateways[gateway].retry_at <= now {
                self.gateways[gateway].connection = Some(self.open_connection(gateway));
            }
        }
    }

    fn step(&mut self, until: Option<Micros>) -> anyhow::Result<()> {
        self.hub.wait(until)?;
        while let Some(notice) = self.hub.next_event() {
            match notice {
                LoopEvent::Connected(connection) => {
                    if let Some(gateway) = self.gateways.iter_mut().find(|d| d.connection == Some(connection))
                    {
                        gateway.is_established = true;
                        gateway.believed_up_until = Micros::MAX;
                    }
                }
                LoopEvent::Closed { connection, unsent, .. } => self.closed(connection, &unsent),
                LoopEvent::Message(connection, Message::Probe { number }) => {
                    self.hub.send(connection, &Message::Probed { number, held: 0, queued: 0 }, None);
                }
                // One that is asked to leave does so, if it waits for nothing.
                LoopEvent::Message(connection, Message::GoingAway { .. })
                    if self.idle.contains_key(&connection)
                        && !self.open.values().any(|open| open.connection == connection) =>
                {
                    self.idle.remove(&connection);
                    self.hub.close(connection, "asked to leave");
                }
                LoopEvent::Message(_, message) => self.message(message),
                _ => {}
            }
        }
        Ok(())
    }

    fn closed(&mut self, connection: Connection, unsent: &[u64]) {
        let now = self.hub.clock().now();
        self.lose_calls(connection, unsent);
        self.idle.remove(&connection);
        let Some(at) = self.gateways.iter().position(|d| d.connection == Some(connection)) else { return };
        let notice = self.scene.traffic.front_notice_ms * MS;
        let gateway = &mut self.gateways[at];
        if gateway.is_established {
            gateway.believed_up_until = now + notice;
        }
        (gateway.connection, gateway.is_established, gateway.retry_at) = (None, false, now + RETRY_CONNECT);
    }

    fn lose_calls(&mut self, connection: Connection, unsent: &[u64]) {
        let now = self.hub.clock().now();
        let lost = self.open.iter().filter(|(_, open)| open.connection == connection);
        let lost: Vec<u64> = lost.map(|(number, _)| *number).collect();
        for number in lost {
            let Some(open) = self.open.remove(&number) else { continue };
            let unreached = unsent.contains(&number);
            self.recorder.write(now, RecordedEvent::GatewayGone { trace: open.trace.clone(), unreached });
            // What the gateway held is the client's to repeat, where a repeat does no harm.
            self.repeat(open, unreached);
        }
    }

    fn repeat(&mut self, open: Open, harmless: bool) {
        let safe = self.scene.classes[open.callee.class].effect == "safe";
        if open.tries_left > 0 && (safe || harmless) {
            self.call(open.callee, open.tries_left - 1);
        }
    }

    fn call_next(&mut self, at: Micros) {
        let callee = self.draw_callee(at);
        self.call(callee, self.scene.traffic.retries);
    }

    /// What is called next.
    fn draw_callee(&mut self, at: Micros) -> Callee {
        let drawn = self.uniform();
        let class = self.class_shares.iter().position(|sum| drawn < *sum).unwrap_or(0);
        let hot = at < self.hot.until && self.uniform() < self.hot.share;
        let function = if hot {
            self.rng.next_u32() as usize % self.hot.functions.max(1)
        } else {
            let drawn = self.uniform();
            let ranks = &self.ranks[&self.scene.classes[class].functions];
            ranks.iter().position(|sum| drawn < *sum).unwrap_or(0)
        };
        Callee { class, function, hot }
    }

    fn call(&mut self, callee: Callee, tries_left: u32) {
        let now = self.hub.clock().now();
        let candidates: Vec<usize> = self
            .gateways
            .iter()
            .enumerate()
            .filter(|(_, d)| now < d.believed_up_until)
            .map(|(n, _)| n)
            .collect();
        let pick = self.rng.next_u32() as usize;
        let gateway = match candidates.len() {
            0 => pick % self.gateways.len(),
            count => candidates[pick % count],
        };
        self.call_on(gateway, self.gateways[gateway].connection, callee, tries_left);
    }

    /// Sends a call on this connection, which is one to that gateway.
    fn call_on(&mut self, gateway: usize, connection: Option<Connection>, callee: Callee, tries_left: u32) {
        let Callee { class, function, hot } = callee;
        let now = self.hub.clock().now();
        self.traces += 1;
        let trace = format!("{}-{}", self.scene.seed, self.traces);
        let spec = self.scene.classes[class].clone();
        let short = now < self.impatience.until && self.uniform() < self.impatience.share;
        let part = self.scene.traffic.try_share * if short { self.impatience.part } else { 1.0 };
        let time = (spec.give_up_ms as f64 * part) as Micros * MS;
        let deferred = self.uniform() < self.scene.traffic.deferred;
        let hasty = !deferred && self.uniform() < self.scene.traffic.hasty;
        let leaves = hasty.then(|| (self.uniform() * time as f64) as Micros);
        let heavy = now < self.heavy.until && class == self.heavy.class && self.uniform() < self.heavy.share;
        let work = spec.work_ms * if heavy { self.heavy.times } else { 1.0 };
        let open = Open {
            trace: trace.clone(),
            callee,
            deadline: now + time,
            id: None,
            connection: connection.unwrap_or_default(),
            tries_left,
        };
        let asked = RecordedEvent::Asked {
            trace: trace.clone(),
            gateway: self.gateways[gateway].name.clone(),
            class: spec.name.clone(),
            deferred,
            deadline: open.deadline,
        };
        self.recorder.write(now, asked);
        let kind = if hot { "hot" } else { "f" };
        self.next += 1;
        let number = self.next;
        let message = Message::Call {
            number,
            deferred,
            function: format!("{}/{kind}{function}", spec.name),
            class: spec.name,
            tenant: String::new(),
            key: String::new(),
            trace: trace.clone(),
            time_left: time,
            shape: FunctionProfile {
                memory_mb: spec.memory_mb,
                lanes: spec.lanes,
                load_time: spec.load_ms * MS,
                work: (work * 1e3) as Micros,
            },
            account: Some(format!("account-{}", self.traces % ACCOUNTS)),
            body: trace.into_bytes(),
        };
        let sent = connection.is_some_and(|connection| self.hub.send(connection, &message, Some(number)));
        if !sent {
            self.recorder
                .write(now, RecordedEvent::GatewayGone { trace: open.trace.clone(), unreached: true });
            return self.repeat(open, true);
        }
        self.due.extend(leaves.map(|after| (now + after, Due::Leave(number))));
        self.due.insert((open.deadline + GRACE, Due::Over(number)));
        self.open.insert(number, open);
    }

    fn message(&mut self, message: Message) {
        let now = self.hub.clock().now();
        match message {
            Message::Accepted { number, id } => {
                let Some(open) = self.open.get_mut(&number) else { return };
                self.recorder.write(now, RecordedEvent::Accepted { trace: open.trace.clone() });
                open.id = Some(id.clone());
                let wait = open.deadline.saturating_sub(now);
                // The call's own number is free again: the answer to it was 'accepted'.
                self.hub.send(open.connection, &Message::Await { number, id, wait }, None);
            }
            Message::Answer { number, status, reason, origin, .. } => {
                if self.left.contains(&number) {
                    return;
                }
                let Some(open) = self.open.remove(&number) else {
                    // An answer to nothing: the auditor is to see it.
                    let trace = format!("number {number}");
                    let status = status.as_str().to_owned();
                    return self.recorder.write(now, RecordedEvent::answered(trace, status, reason, origin));
                };
                if status == Status::Pending && now < open.deadline + GRACE / 2 {
                    // The await ended with the deadline; the result is due now.
                    let (id, connection) = (open.id.clone().unwrap_or_default(), open.connection);
                    self.open.insert(number, open);
                    self.hub.send(connection, &Message::Await { number, id, wait: 20 * MS }, None);
                    return;
                }
                let word = status.as_str().to_owned();
                self.recorder.write(now, RecordedEvent::answered(open.trace.clone(), word, reason, origin));
                match status {
                    Status::Refused => self.repeat(open, true),
                    Status::Failed => self.repeat(open, false),
                    _ => {}
                }
            }
            _ => {}
        }
    }

    fn pass_due(&mut self, now: Micros) {
        while let Some((_, due)) = self.due.first().filter(|(at, _)| *at <= now).copied() {
            self.due.pop_first();
            match due {
                Due::Leave(number) => {
                    if let Some(open) = self.open.remove(&number) {
                        self.recorder.write(now, RecordedEvent::GaveUp { trace: open.trace });
                        self.left.insert(number);
                        self.hub.send(open.connection, &Message::Cancel { number }, None);
                    }
                }
                Due::Wake(connection) => {
                    if let Some(gateway) = self.idle.get(&connection).copied() {
                        let callee = self.draw_callee(now);
                        self.call_on(gateway, Some(connection), callee, self.scene.traffic.retries);
                    }
                }
                // Nothing came: the auditor sees a call without an answer.
                Due::Over(number) => _ = self.open.remove(&number),
            }
        }
    }
}
