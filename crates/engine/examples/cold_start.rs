//! One gateway's part of a fleet in simulated time: where the time of a cold start goes, and what the gateway asks of
//! workers.
//!
//! `cargo run --release -p cresswheel-engine --example cold_start -- WORKERS FUNCTIONS LOAD_MS SECONDS SEED RARE RATION ZONE_AT`
//!
//! The engine and the decision module are the ones that run; workers and clients are simulated, so that times depend
//! on no machine. Simulated is: 191 calls a second, RARE of them on eight in nine functions, which stand loaded only where
//! this gateway ordered it, for the keep-alive of 10 s; the others on a ninth, which peers keep loaded. Where the whole
//! fleet of 680 gateways calls 16,000 functions once in two minutes each, RARE is 0.2. A load takes LOAD_MS (plus or minus a fifth), a call
//! 25 ms, a way 0.5 ms, a new connection a way there and back more.
//!
//! RATION is the load orders allowed for each call within 5 s, beside 6 free ones; 0: no ration. At the second ZONE_AT
//! (0: never) a fifth of the workers leaves the list, with all instances there. Until the longest load is over a
//! function then stands only where this gateway has called or ordered it; after that peers have loaded the often
//! called ones again.
//!
//! The time until the order leaves includes a first try at a worker that answered 'miss', where there was one.
//!
//! Prints the parts of each first answer after a load in ms, messages to workers a second with their bytes, and the
//! workers that had an attempt or order within 15 s. Processor time is of the engine and the module together.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Range;

use cresswheel::{Class, Effect, OrderRation, Settings, WhenAbsent, WorkerId};
use cresswheel_engine::{
    AdmissionLimits, AttemptEnd, Call, Client, Engine, EngineSettings, Input, OrderEnd, Output, ResultLimits,
};
use cresswheel_measure::thread_time;
use cresswheel_protocol::{Ending, Listed, Message, Shape, Standing, encode};

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
const START: u64 = 1_790_000_000 * S;
const GATEWAYS: u32 = 680;
/// Calls a second at one gateway: 130,000 over 680.
const RATE: f64 = 191.0;
/// One function in so many is called often.
const OFTEN: usize = 9;
const KEEP_ALIVE: u64 = 10 * S;
const WAY: u64 = 500;
const CALL: u64 = 25 * MS;
const ZONES: usize = 5;
/// A connection on which no attempt has been for so long is closed.
const CONNECTION_IDLE: u64 = 15 * S;
const AIM: u64 = 570 * MS;
/// Not counted.
const WARM_UP: u64 = 20 * S;

/// Numbers in [0, 1), by a linear congruence: the same on every machine.
struct Lots(u64);

impl Lots {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as f64 / (1u64 << 31) as f64
    }
}

/// What reaches the gateway, or is asked of it.
enum Arrival {
    Call,
    Ran { attempt: u64, worker: WorkerId, ending: Ending },
    Held { order: u64, worker: WorkerId, function: String, began: u64 },
}

/// When each part of a cold call was over.
#[derive(Default)]
struct Parts {
    arrived: u64,
    is_rare: bool,
    /// An order for its function left.
    ordered: Option<u64>,
    /// The order reached the worker: a connection stood by then.
    reached: Option<u64>,
    loaded: Option<u64>,
    /// The attempt that served it left.
    sent: Option<u64>,
}

/// What is simulated, as it stands on the command line.
struct Plan {
    workers: usize,
    functions: usize,
    load: u64,
    seconds: f64,
    seed: u64,
    /// Calls of rare functions a second.
    rare: f64,
    /// Load orders allowed for each call; 0: no ration.
    ration: f64,
    /// When a zone goes; `None`: never.
    zone_at: Option<u64>,
}

struct Simulation {
    plan: Plan,
    engine: Engine,
    lots: Lots,
    now: u64,
    asked: u64,
    queue: BTreeMap<(u64, u64), Arrival>,
    queued: u64,
    /// Until when an instance that this gateway ordered stands.
    stands: HashMap<(WorkerId, String), u64>,
    /// When a connection was last used by an attempt.
    used: HashMap<WorkerId, u64>,
    /// When the last order for a function left, reached its worker, was answered.
    orders: HashMap<String, (u64, u64, u64)>,
    open: HashMap<u64, Parts>,
    /// When each cold call came, and its parts.
    cold: Vec<(u64, [f64; 6])>,
    warm: u64,
    /// Not served: when each came, whether its function is a rare one, and the reason.
    lost: Vec<(u64, bool, &'static str)>,
    /// Calls of rare functions, by when they came.
    rare_calls: Vec<u64>,
    sent: BTreeMap<&'static str, (u64, u64)>,
    touched: BTreeSet<WorkerId>,
    touched_since: u64,
    touched_counts: Vec<usize>,
    zone_gone: Option<u64>,
}

fn settings(ration: f64) -> EngineSettings {
    let check = Class {
        name: "check".into(),
        aim: AIM,
        give_up: 5 * S,
        effect: Effect::Safe,
        streamed: false,
        worth: 1.0,
        late_worth: 0.3,
    };
    let module = Settings {
        gateways: GATEWAYS,
        classes: vec![check],
        keep_alive: KEEP_ALIVE,
        when_absent: WhenAbsent::Miss,
        may_order: true,
        most_instances: 1,
        may_cancel: true,
        may_probe: true,
        tells_crowd: true,
        max_attempts: 4,
        order_timeout: 10 * S,
        connect_timeout: 250 * MS,
        ration: (ration > 0.0).then_some(OrderRation { window: 5 * S, free: 6.0, per_request: ration }),
        ..Settings::default()
    };
    EngineSettings {
        module,
        admission: AdmissionLimits::default(),
        results: ResultLimits::default(),
        answer_margin: 10 * MS,
        most_time: 600 * S,
        deferred_time: 60 * S,
    }
}

fn worker(number: usize) -> Listed {
    Listed {
        id: format!("worker-{number:05}"),
        address: format!("10.120.{}.{}:7201", number / 250 % 250, number % 250),
        zone: format!("r1-z{}", number % ZONES),
        kind: "std-32".into(),
        cell: number as u64 / 40,
        standing: Standing::In,
        started: 0,
    }
}

fn length(message: &Message) -> u64 {
    let mut out = Vec::new();
    encode(message, &mut out);
    out.len() as u64
}

impl Simulation {
    fn new(plan: Plan) -> Self {
        let mut simulation = Self {
            engine: Engine::new(settings(plan.ration), plan.seed).expect("sound settings"),
            lots: Lots(plan.seed),
            now: START,
            asked: 0,
            queue: BTreeMap::new(),
            queued: 0,
            stands: HashMap::new(),
            used: HashMap::new(),
            orders: HashMap::new(),
            open: HashMap::new(),
            cold: Vec::new(),
            warm: 0,
            lost: Vec::new(),
            rare_calls: Vec::new(),
            sent: BTreeMap::new(),
            touched: BTreeSet::new(),
            touched_since: START,
            touched_counts: Vec::new(),
            zone_gone: None,
            plan,
        };
        let workers = (0..simulation.plan.workers).map(worker).collect();
        simulation.give(Input::List { whole: true, workers });
        simulation.push(START, Arrival::Call);
        simulation
    }

    fn push(&mut self, at: u64, arrival: Arrival) {
        self.queued += 1;
        self.queue.insert((at, self.queued), arrival);
    }

    fn give(&mut self, input: Input) {
        let mut outputs = Vec::new();
        self.engine.handle(self.now, input, &mut outputs);
        outputs.into_iter().for_each(|output| self.carry_out(output));
    }

    fn count(&mut self, message: &Message) {
        let (count, bytes) = self.sent.entry(message.kind()).or_default();
        *count += 1;
        *bytes += length(message);
    }

    /// The time until a frame for this worker is there.
    fn way_to(&mut self, worker: &WorkerId, attempt: bool) -> u64 {
        let stood = self.used.get(worker).is_some_and(|at| self.now < at + CONNECTION_IDLE);
        if attempt || !stood {
            self.used.insert(worker.clone(), self.now);
        }
        self.touched.insert(worker.clone());
        if stood { WAY } else { 3 * WAY }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Run(attempt) => self.run(attempt.number, attempt.worker, &attempt.call, &attempt.id),
            Output::Hold { worker, order, function, count, shape } => {
                let message = Message::Hold { order, function: function.to_string(), count, shape };
                self.count(&message);
                let reached = self.now + self.way_to(&worker, false);
                let function = function.to_string();
                let place = (worker.clone(), function.clone());
                let stood =
                    self.is_kept(&function) || self.stands.get(&place).is_some_and(|at| *at > reached);
                let spread = 0.8 + 0.4 * self.lots.next();
                let loaded = if stood { reached } else { reached + (self.plan.load as f64 * spread) as u64 };
                self.orders.insert(function.clone(), (self.now, reached, loaded + WAY));
                self.push(loaded + WAY, Arrival::Held { order, worker, function, began: loaded });
            }
            Output::Drop(worker, function) => {
                self.count(&Message::Drop { function: function.to_string() });
                self.stands.remove(&(worker, function.to_string()));
            }
            Output::Probe(_) => self.count(&Message::Probe { number: 0 }),
            Output::CancelRun(_, attempt) => self.count(&Message::CancelRun { attempt }),
            Output::Answer(client, answer) => self.answered(client.number, &answer),
            _ => {}
        }
    }

    fn run(&mut self, attempt: u64, worker: WorkerId, call: &Call, id: &str) {
        self.count(&Message::Run {
            attempt,
            trace: call.trace.clone(),
            before: 0,
            function: call.function.clone(),
            class: call.class.clone(),
            key: id.to_owned(),
            time_left: 0,
            shape: call.shape.clone(),
            body: Vec::new(),
        });
        let reached = self.now + self.way_to(&worker, true);
        let function = call.function.clone();
        let number = call.trace.parse().unwrap_or(0);
        let place = (worker.clone(), function.clone());
        let stands = self.is_kept(&function) || self.stands.get(&place).is_some_and(|until| *until > reached);
        let (ending, over) = if stands { (Ending::Ok, reached + CALL) } else { (Ending::Miss, reached) };
        if stands {
            self.stands.insert(place, over + KEEP_ALIVE);
            let ordered = self.orders.get(&function).copied();
            if let Some(parts) = self.open.get_mut(&number) {
                parts.sent = Some(self.now);
                // An order that was answered before the call came was a pre-load: no cold start.
                if let Some((ordered, reached, loaded)) =
                    ordered.filter(|(.., loaded)| *loaded > parts.arrived)
                {
                    (parts.ordered, parts.reached, parts.loaded) =
                        (Some(ordered), Some(reached), Some(loaded));
                }
            }
        }
        self.push(over + WAY, Arrival::Ran { attempt, worker, ending });
    }

    /// Peers keep an instance of it loaded wherever it is asked for.
    fn is_kept(&self, function: &str) -> bool {
        let again = |at: u64| at + self.plan.load + self.plan.load / 5;
        if self.zone_gone.is_some_and(|at| self.now < again(at)) {
            return false;
        }
        let number = function.strip_prefix("function-").and_then(|n| n.parse::<usize>().ok());
        number.is_some_and(|number| number < self.plan.functions / OFTEN)
    }

    fn answered(&mut self, number: u64, answer: &cresswheel_engine::Answer) {
        let Some(parts) = self.open.remove(&number) else { return };
        if answer.status != cresswheel_protocol::Status::Served {
            self.lost.push((parts.arrived, parts.is_rare, answer.reason));
            return;
        }
        let (Some(ordered), Some(reached), Some(loaded), Some(sent)) =
            (parts.ordered, parts.reached, parts.loaded, parts.sent)
        else {
            self.warm += 1;
            return;
        };
        let span = |from: u64, to: u64| to.saturating_sub(from) as f64 / 1e3;
        let spans = [
            span(parts.arrived, ordered),
            span(ordered, reached),
            span(reached, loaded),
            span(loaded, sent),
            span(sent, self.now),
            span(parts.arrived, self.now),
        ];
        self.cold.push((parts.arrived, spans));
    }

    fn ask(&mut self) {
        let often = self.plan.functions / OFTEN;
        let rare = self.plan.functions - often;
        let is_rare = self.lots.next() < self.plan.rare / RATE;
        let lot = self.lots.next();
        let number =
            if is_rare { often + (lot * rare as f64) as usize } else { (lot * often as f64) as usize };
        self.asked += 1;
        let call = Call {
            deferred: false,
            function: format!("function-{number:05}"),
            class: "check".into(),
            tenant: String::new(),
            key: String::new(),
            is_key_for_workers: false,
            trace: self.asked.to_string(),
            time_left: 0,
            shape: Shape { memory_mb: 500, lanes: 4, load_time: self.plan.load, work: CALL },
            body: Vec::new(),
            account: None,
            route: None,
        };
        let parts = Parts { arrived: self.now, is_rare, ..Parts::default() };
        if is_rare {
            self.rare_calls.push(self.now);
        }
        self.open.insert(self.asked, parts);
        self.give(Input::Call(Client { connection: self.asked % 100, number: self.asked }, call));
        let gap = (-(1.0 - self.lots.next()).ln() / RATE * 1e6) as u64;
        self.push(self.now + gap.max(1), Arrival::Call);
    }

    fn arrive(&mut self, arrival: Arrival) {
        match arrival {
            Arrival::Call => self.ask(),
            Arrival::Ran { attempt, worker, ending } => {
                self.used.insert(worker, self.now);
                self.give(Input::AttemptEnded(attempt, AttemptEnd::Answered(ending, 0), Vec::new(), None));
            }
            Arrival::Held { order, worker, function, began } => {
                self.stands.insert((worker, function), began + KEEP_ALIVE);
                self.give(Input::OrderEnded(order, OrderEnd::Answered(Ending::Ok), 1));
            }
        }
    }

    fn lose_zone(&mut self) {
        self.zone_gone = Some(self.now);
        let gone = (0..self.plan.workers).filter(|number| number % ZONES == 0);
        let workers: Vec<_> =
            gone.map(|number| Listed { standing: Standing::Out, ..worker(number) }).collect();
        let is_gone = |id: &WorkerId| workers.iter().any(|worker| worker.id == *id.0);
        self.stands.retain(|(id, _), _| !is_gone(id));
        self.give(Input::List { whole: false, workers });
    }

    fn run_until(&mut self, end: u64) {
        while self.now < end {
            let queued = self.queue.first_key_value().map(|((at, _), _)| *at);
            let wake = self.engine.wake_at();
            let Some(next) = queued.into_iter().chain(wake).min() else { return };
            self.now = self.now.max(next);
            if self.now >= self.touched_since + CONNECTION_IDLE {
                self.touched_since = self.now;
                self.touched_counts.push(std::mem::take(&mut self.touched).len());
            }
            if self.zone_gone.is_none() && self.plan.zone_at.is_some_and(|at| at <= self.now) {
                self.lose_zone();
            }
            if wake.is_some_and(|at| at <= self.now) {
                self.give(Input::Wake);
            }
            while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let arrival = entry.remove();
                self.arrive(arrival);
            }
        }
    }
}

fn quantile(sorted: &[f64], share: f64) -> f64 {
    sorted
        .get(((sorted.len() as f64 * share) as usize).min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0.0)
}

const PARTS: [&str; 6] = [
    "until the order leaves",
    "connection and way",
    "load",
    "until the attempt leaves",
    "first answer",
    "whole",
];

/// The parts of some cold calls, quantile by quantile.
fn print_cold(when: &str, cold: &[[f64; 6]]) {
    let late = cold.iter().filter(|parts| parts[5] > AIM as f64 / 1e3).count();
    println!("{when}: {} cold calls, {late} of them over 570 ms", cold.len());
    println!("  {:<26} {:>9} {:>9} {:>9} {:>9}", "ms", "p50", "p90", "p99", "max");
    for (at, name) in PARTS.iter().enumerate() {
        let mut values: Vec<f64> = cold.iter().map(|parts| parts[at]).collect();
        values.sort_by(f64::total_cmp);
        let at = |share| quantile(&values, share);
        println!("  {name:<26} {:>9.2} {:>9.2} {:>9.2} {:>9.2}", at(0.5), at(0.9), at(0.99), at(1.0));
    }
}

/// Calls that were not served, of rare functions and of those called often.
fn print_lost(when: &str, simulation: &Simulation, span: Range<u64>) {
    let rare = simulation.rare_calls.iter().filter(|came| span.contains(came)).count();
    let mut lost = BTreeMap::<(bool, &str), usize>::new();
    for (_, is_rare, reason) in simulation.lost.iter().filter(|(came, ..)| span.contains(came)) {
        *lost.entry((*is_rare, reason)).or_default() += 1;
    }
    println!("{when}: {rare} calls of rare functions");
    for ((is_rare, reason), count) in lost {
        println!(
            "  not served: {count} of {} functions, {reason}",
            if is_rare { "rare" } else { "often called" }
        );
    }
}

fn print(simulation: &Simulation, seconds: f64, used: f64) {
    let (warm, lost) = (simulation.warm, simulation.lost.len());
    println!("calls: {warm} warm, {} cold, {lost} not served", simulation.cold.len());
    let gone = simulation.zone_gone.unwrap_or(u64::MAX);
    // Until the module has met the often called functions all of them count as cold.
    let began = START + WARM_UP;
    let within = |from: u64, to: u64| -> Vec<[f64; 6]> {
        let cold = simulation.cold.iter().filter(|(came, _)| (from..to).contains(came));
        cold.map(|(_, parts)| *parts).collect()
    };
    print_cold("after the first 20 s", &within(began, gone));
    print_lost("after the first 20 s", simulation, began..gone);
    if simulation.zone_gone.is_some() {
        print_cold("within 10 s after the zone went", &within(gone, gone + 10 * S));
        print_lost("within 10 s after the zone went", simulation, gone..gone + 10 * S);
    }
    println!("sent to workers, a second");
    for (kind, (count, bytes)) in &simulation.sent {
        println!(
            "  {kind:<10} {:>8.3} messages {:>9.1} bytes",
            *count as f64 / seconds,
            *bytes as f64 / seconds
        );
    }
    println!("workers touched in each 15 s: {:?}", simulation.touched_counts);
    println!("engine and module, of a core: {:.2}%", used / seconds * 100.0);
}

fn main() {
    let arguments: Vec<f64> = std::env::args().skip(1).map(|word| word.parse().expect("a number")).collect();
    let [workers, functions, load, seconds, seed, rare, ration, zone_at] = arguments[..] else {
        panic!("wanted: WORKERS FUNCTIONS LOAD_MS SECONDS SEED RARE RATION ZONE_AT")
    };
    assert!(
        workers <= 5_000.0 && functions <= 18_000.0 && seconds <= 600.0,
        "beyond what this is bounded to"
    );
    let plan = Plan {
        workers: workers as usize,
        functions: functions as usize,
        load: load as u64 * MS,
        seconds,
        seed: seed as u64,
        rare,
        ration,
        zone_at: (zone_at > 0.0).then_some(START + zone_at as u64 * S),
    };
    let mut simulation = Simulation::new(plan);
    let began = thread_time();
    simulation.run_until(START + seconds as u64 * S);
    print(&simulation, simulation.plan.seconds, (thread_time() - began).as_secs_f64());
}
