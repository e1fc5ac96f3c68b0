//! Simulates one gateway of a fleet: the phases of a cold start, and the messages that the gateway sends to
//! workers.
//!
//! ```sh
//! cargo run --release -p cresswheel-engine --example cold_start -- \
//!     WORKERS FUNCTIONS LOAD_MS SECONDS SEED RARE ORDER_LIMIT ZONE_AT
//! ```
//!
//! Engine and dispatcher are the real ones; workers and clients are simulated, so that times don't depend on
//! the machine. There are 191 calls per second. RARE of them are of rare functions (eight in nine), which are
//! loaded only where this gateway ordered it, for the keep-alive of 10 s; the others are of popular functions
//! (one in nine), which peers keep loaded. RARE is 0.2 if the whole fleet of 680 gateways calls each of
//! 16,000 functions once in two minutes. A load takes LOAD_MS (plus or minus a fifth), a call 25 ms, a
//! message 0.5 ms one way, a new connection a round trip more.
//!
//! ORDER_LIMIT is the rate limit of prewarm orders: how many are allowed per call within 5 s, in addition to
//! 6 free ones; 0: no limit. At second ZONE_AT (0: never) a fifth of the workers leaves the list with all
//! their instances. Until the longest load is over, functions are then loaded only where this gateway called
//! or ordered them; after that, peers have loaded the popular ones again.
//!
//! The time until the order is sent includes an earlier attempt that a worker answered with 'miss', if there
//! was one.
//!
//! Prints the phases of each first answer after a load in ms, messages to workers per second with their
//! bytes, and the number of workers that got an attempt or order within 15 s. Processor time is of engine and
//! dispatcher together.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Range;

use cresswheel::{Class, Effect, MissPolicy, OrderRateLimit, Settings, WorkerId};
use cresswheel_engine::{
    AdmissionLimits, AttemptEnd, Call, Client, Engine, EngineSettings, Input, OrderEnd, Output, ResultLimits,
};
use cresswheel_measure::thread_cpu_time;
use cresswheel_protocol::{Ending, FunctionProfile, ListedWorker, MemberState, Message, encode};

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
const START: u64 = 1_790_000_000 * S;
const GATEWAYS: u32 = 680;
/// Calls per second at one gateway: 130,000 / 680.
const RATE: f64 = 191.0;
/// One function in this many is popular.
const FUNCTIONS_PER_POPULAR: usize = 9;
const KEEP_ALIVE: u64 = 10 * S;
/// Latency of a message to or from a worker.
const ONE_WAY: u64 = 500;
const CALL_TIME: u64 = 25 * MS;
const ZONES: usize = 5;
/// A connection without an attempt for this long is closed.
const CONNECTION_IDLE: u64 = 15 * S;
const LATENCY_OBJECTIVE: u64 = 570 * MS;
/// Calls during this time are left out of the statistics.
const WARM_UP: u64 = 20 * S;

/// A linear congruential generator of numbers in [0, 1): the same sequence on every machine.
struct RandomDraws(u64);

impl RandomDraws {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as f64 / (1u64 << 31) as f64
    }
}

/// A simulated event: a new call, or the answer of a worker.
enum Arrival {
    Call,
    AttemptAnswer { attempt: u64, worker: WorkerId, ending: Ending },
    OrderAnswer { order: u64, worker: WorkerId, function: String, began: u64 },
}

/// The times at which the phases of a cold call ended.
#[derive(Default)]
struct CallTimes {
    arrived: u64,
    is_rare: bool,
    /// When the order for its function was sent.
    ordered: Option<u64>,
    /// When the order reached the worker, over an established connection.
    reached: Option<u64>,
    loaded: Option<u64>,
    /// When the attempt that served it was sent.
    sent: Option<u64>,
}

/// Parameters of the simulation, from the command line.
struct Parameters {
    workers: usize,
    functions: usize,
    load: u64,
    seconds: f64,
    seed: u64,
    /// Calls of rare functions per second.
    rare: f64,
    /// Prewarm orders allowed per call; 0: no limit.
    order_limit: f64,
    /// When a zone fails; `None`: never.
    zone_at: Option<u64>,
}

struct Simulation {
    parameters: Parameters,
    engine: Engine,
    draws: RandomDraws,
    now: u64,
    calls_sent: u64,
    queue: BTreeMap<(u64, u64), Arrival>,
    queued: u64,
    /// Until when an instance that this gateway ordered is loaded.
    loaded_until: HashMap<(WorkerId, String), u64>,
    /// When an attempt last used the connection.
    connection_used_at: HashMap<WorkerId, u64>,
    /// When the last order for a function was sent, reached its worker and was answered.
    orders: HashMap<String, (u64, u64, u64)>,
    open: HashMap<u64, CallTimes>,
    /// When each cold call arrived, and the durations of its phases.
    cold: Vec<(u64, [f64; 6])>,
    warm: u64,
    /// Calls that were not served: arrival time, whether the function is rare, and the reason.
    unserved: Vec<(u64, bool, &'static str)>,
    /// Arrival times of calls of rare functions.
    rare_calls: Vec<u64>,
    sent: BTreeMap<&'static str, (u64, u64)>,
    contacted: BTreeSet<WorkerId>,
    contacted_since: u64,
    contacted_counts: Vec<usize>,
    zone_failed_at: Option<u64>,
}

fn settings(order_limit: f64) -> EngineSettings {
    let check = Class {
        name: "check".into(),
        latency_objective: LATENCY_OBJECTIVE,
        client_timeout: 5 * S,
        effect: Effect::Safe,
        streamed: false,
        worth: 1.0,
        late_worth: 0.3,
    };
    let module = Settings {
        gateways: GATEWAYS,
        classes: vec![check],
        keep_alive: KEEP_ALIVE,
        miss_policy: MissPolicy::Miss,
        may_prewarm: true,
        max_instances_per_order: 1,
        may_cancel: true,
        may_probe: true,
        reports_in_flight: true,
        max_attempts: 4,
        order_timeout: 10 * S,
        connect_timeout: 250 * MS,
        order_rate_limit: (order_limit > 0.0).then_some(OrderRateLimit {
            window: 5 * S,
            base_orders: 6.0,
            per_request: order_limit,
        }),
        ..Settings::default()
    };
    EngineSettings {
        dispatcher: module,
        admission: AdmissionLimits::default(),
        results: ResultLimits::default(),
        answer_margin: 10 * MS,
        max_time: 600 * S,
        deferred_time: 60 * S,
    }
}

fn worker(number: usize) -> ListedWorker {
    ListedWorker {
        id: format!("worker-{number:05}"),
        address: format!("10.120.{}.{}:7201", number / 250 % 250, number % 250),
        zone: format!("r1-z{}", number % ZONES),
        kind: "std-32".into(),
        cell: number as u64 / 40,
        standing: MemberState::Active,
        started: 0,
    }
}

fn length(message: &Message) -> u64 {
    let mut out = Vec::new();
    encode(message, &mut out);
    out.len() as u64
}

impl Simulation {
    fn new(parameters: Parameters) -> Self {
        let mut simulation = Self {
            engine: Engine::new(settings(parameters.order_limit), parameters.seed).expect("sound settings"),
            draws: RandomDraws(parameters.seed),
            now: START,
            calls_sent: 0,
            queue: BTreeMap::new(),
            queued: 0,
            loaded_until: HashMap::new(),
            connection_used_at: HashMap::new(),
            orders: HashMap::new(),
            open: HashMap::new(),
            cold: Vec::new(),
            warm: 0,
            unserved: Vec::new(),
            rare_calls: Vec::new(),
            sent: BTreeMap::new(),
            contacted: BTreeSet::new(),
            contacted_since: START,
            contacted_counts: Vec::new(),
            zone_failed_at: None,
            parameters,
        };
        let workers = (0..simulation.parameters.workers).map(worker).collect();
        simulation.handle(Input::List { whole: true, workers });
        simulation.push(START, Arrival::Call);
        simulation
    }

    fn push(&mut self, at: u64, arrival: Arrival) {
        self.queued += 1;
        self.queue.insert((at, self.queued), arrival);
    }

    fn handle(&mut self, input: Input) {
        let mut outputs = Vec::new();
        self.engine.handle(self.now, input, &mut outputs);
        outputs.into_iter().for_each(|output| self.execute(output));
    }

    fn count(&mut self, message: &Message) {
        let (count, bytes) = self.sent.entry(message.kind()).or_default();
        *count += 1;
        *bytes += length(message);
    }

    /// The time until a message to this worker arrives.
    fn delivery_time(&mut self, worker: &WorkerId, attempt: bool) -> u64 {
        let is_connected =
            self.connection_used_at.get(worker).is_some_and(|at| self.now < at + CONNECTION_IDLE);
        if attempt || !is_connected {
            self.connection_used_at.insert(worker.clone(), self.now);
        }
        self.contacted.insert(worker.clone());
        if is_connected { ONE_WAY } else { 3 * ONE_WAY }
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Run(attempt) => self.run(attempt.number, attempt.worker, &attempt.call, &attempt.id),
            Output::Prewarm { worker, order, function, count, shape } => {
                let message = Message::Hold { order, function: function.to_string(), count, shape };
                self.count(&message);
                let reached = self.now + self.delivery_time(&worker, false);
                let function = function.to_string();
                let instance = (worker.clone(), function.clone());
                let was_loaded = self.is_kept_loaded(&function)
                    || self.loaded_until.get(&instance).is_some_and(|at| *at > reached);
                let spread = 0.8 + 0.4 * self.draws.next();
                let loaded = if was_loaded {
                    reached
                } else {
                    reached + (self.parameters.load as f64 * spread) as u64
                };
                self.orders.insert(function.clone(), (self.now, reached, loaded + ONE_WAY));
                self.push(loaded + ONE_WAY, Arrival::OrderAnswer { order, worker, function, began: loaded });
            }
            Output::Unload(worker, function) => {
                self.count(&Message::Drop { function: function.to_string() });
                self.loaded_until.remove(&(worker, function.to_string()));
            }
            Output::Probe(_) => self.count(&Message::Probe { number: 0 }),
            Output::CancelAttempt(_, attempt) => self.count(&Message::CancelRun { attempt }),
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
        let reached = self.now + self.delivery_time(&worker, true);
        let function = call.function.clone();
        let number = call.trace.parse().unwrap_or(0);
        let instance = (worker.clone(), function.clone());
        let is_loaded = self.is_kept_loaded(&function)
            || self.loaded_until.get(&instance).is_some_and(|until| *until > reached);
        let (ending, over) =
            if is_loaded { (Ending::Ok, reached + CALL_TIME) } else { (Ending::Miss, reached) };
        if is_loaded {
            self.loaded_until.insert(instance, over + KEEP_ALIVE);
            let ordered = self.orders.get(&function).copied();
            if let Some(times) = self.open.get_mut(&number) {
                times.sent = Some(self.now);
                // If the order was answered before the call arrived, the call was no cold start.
                if let Some((ordered, reached, loaded)) =
                    ordered.filter(|(.., loaded)| *loaded > times.arrived)
                {
                    (times.ordered, times.reached, times.loaded) =
                        (Some(ordered), Some(reached), Some(loaded));
                }
            }
        }
        self.push(over + ONE_WAY, Arrival::AttemptAnswer { attempt, worker, ending });
    }

    /// Whether peers keep an instance of the function loaded on every worker that gets a call.
    fn is_kept_loaded(&self, function: &str) -> bool {
        let reloaded_at = |at: u64| at + self.parameters.load + self.parameters.load / 5;
        if self.zone_failed_at.is_some_and(|at| self.now < reloaded_at(at)) {
            return false;
        }
        let number = function.strip_prefix("function-").and_then(|n| n.parse::<usize>().ok());
        number.is_some_and(|number| number < self.parameters.functions / FUNCTIONS_PER_POPULAR)
    }

    fn answered(&mut self, number: u64, answer: &cresswheel_engine::Answer) {
        let Some(times) = self.open.remove(&number) else { return };
        if answer.status != cresswheel_protocol::Status::Served {
            self.unserved.push((times.arrived, times.is_rare, answer.reason));
            return;
        }
        let (Some(ordered), Some(reached), Some(loaded), Some(sent)) =
            (times.ordered, times.reached, times.loaded, times.sent)
        else {
            self.warm += 1;
            return;
        };
        let span = |from: u64, to: u64| to.saturating_sub(from) as f64 / 1e3;
        let spans = [
            span(times.arrived, ordered),
            span(ordered, reached),
            span(reached, loaded),
            span(loaded, sent),
            span(sent, self.now),
            span(times.arrived, self.now),
        ];
        self.cold.push((times.arrived, spans));
    }

    fn start_call(&mut self) {
        let popular = self.parameters.functions / FUNCTIONS_PER_POPULAR;
        let rare = self.parameters.functions - popular;
        let is_rare = self.draws.next() < self.parameters.rare / RATE;
        let draw = self.draws.next();
        let number =
            if is_rare { popular + (draw * rare as f64) as usize } else { (draw * popular as f64) as usize };
        self.calls_sent += 1;
        let call = Call {
            deferred: false,
            function: format!("function-{number:05}"),
            class: "check".into(),
            tenant: String::new(),
            key: String::new(),
            workers_deduplicate: false,
            trace: self.calls_sent.to_string(),
            timeout: 0,
            shape: FunctionProfile {
                memory_mb: 500,
                lanes: 4,
                load_time: self.parameters.load,
                work: CALL_TIME,
            },
            body: Vec::new(),
            account: None,
            route: None,
        };
        let times = CallTimes { arrived: self.now, is_rare, ..CallTimes::default() };
        if is_rare {
            self.rare_calls.push(self.now);
        }
        self.open.insert(self.calls_sent, times);
        self.handle(Input::Call(Client { connection: self.calls_sent % 100, number: self.calls_sent }, call));
        let gap = (-(1.0 - self.draws.next()).ln() / RATE * 1e6) as u64;
        self.push(self.now + gap.max(1), Arrival::Call);
    }

    fn handle_arrival(&mut self, arrival: Arrival) {
        match arrival {
            Arrival::Call => self.start_call(),
            Arrival::AttemptAnswer { attempt, worker, ending } => {
                self.connection_used_at.insert(worker, self.now);
                self.handle(Input::AttemptEnded(attempt, AttemptEnd::Answered(ending, 0), Vec::new(), None));
            }
            Arrival::OrderAnswer { order, worker, function, began } => {
                self.loaded_until.insert((worker, function), began + KEEP_ALIVE);
                self.handle(Input::OrderEnded(order, OrderEnd::Answered(Ending::Ok), 1));
            }
        }
    }

    fn fail_zone(&mut self) {
        self.zone_failed_at = Some(self.now);
        let failed = (0..self.parameters.workers).filter(|number| number % ZONES == 0);
        let workers: Vec<_> =
            failed.map(|number| ListedWorker { standing: MemberState::Removed, ..worker(number) }).collect();
        let is_gone = |id: &WorkerId| workers.iter().any(|worker| worker.id == *id.0);
        self.loaded_until.retain(|(id, _), _| !is_gone(id));
        self.handle(Input::List { whole: false, workers });
    }

    fn run_until(&mut self, end: u64) {
        while self.now < end {
            let queued = self.queue.first_key_value().map(|((at, _), _)| *at);
            let wake = self.engine.wake_at();
            let Some(next) = queued.into_iter().chain(wake).min() else { return };
            self.now = self.now.max(next);
            if self.now >= self.contacted_since + CONNECTION_IDLE {
                self.contacted_since = self.now;
                self.contacted_counts.push(std::mem::take(&mut self.contacted).len());
            }
            if self.zone_failed_at.is_none() && self.parameters.zone_at.is_some_and(|at| at <= self.now) {
                self.fail_zone();
            }
            if wake.is_some_and(|at| at <= self.now) {
                self.handle(Input::Wake);
            }
            while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let arrival = entry.remove();
                self.handle_arrival(arrival);
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

const PHASES: [&str; 6] = [
    "until the order is sent",
    "connection and latency",
    "load",
    "until the attempt is sent",
    "first answer",
    "whole",
];

/// Prints quantiles of the phases of cold calls.
fn print_cold(when: &str, cold: &[[f64; 6]]) {
    let late = cold.iter().filter(|phases| phases[5] > LATENCY_OBJECTIVE as f64 / 1e3).count();
    println!("{when}: {} cold calls, {late} of them over 570 ms", cold.len());
    println!("  {:<26} {:>9} {:>9} {:>9} {:>9}", "ms", "p50", "p90", "p99", "max");
    for (at, name) in PHASES.iter().enumerate() {
        let mut values: Vec<f64> = cold.iter().map(|phases| phases[at]).collect();
        values.sort_by(f64::total_cmp);
        let at = |share| quantile(&values, share);
        println!("  {name:<26} {:>9.2} {:>9.2} {:>9.2} {:>9.2}", at(0.5), at(0.9), at(0.99), at(1.0));
    }
}

/// Prints the number of calls that were not served, of rare and of popular functions.
fn print_unserved(when: &str, simulation: &Simulation, span: Range<u64>) {
    let rare = simulation.rare_calls.iter().filter(|arrived| span.contains(arrived)).count();
    let mut unserved = BTreeMap::<(bool, &str), usize>::new();
    for (_, is_rare, reason) in simulation.unserved.iter().filter(|(arrived, ..)| span.contains(arrived)) {
        *unserved.entry((*is_rare, reason)).or_default() += 1;
    }
    println!("{when}: {rare} calls of rare functions");
    for ((is_rare, reason), count) in unserved {
        println!("  not served: {count} of {} functions, {reason}", if is_rare { "rare" } else { "popular" });
    }
}

fn print(simulation: &Simulation, seconds: f64, processor_time: f64) {
    let (warm, unserved) = (simulation.warm, simulation.unserved.len());
    println!("calls: {warm} warm, {} cold, {unserved} not served", simulation.cold.len());
    let failed_at = simulation.zone_failed_at.unwrap_or(u64::MAX);
    // Popular functions count as cold as well until the dispatcher knows them.
    let began = START + WARM_UP;
    let within = |from: u64, to: u64| -> Vec<[f64; 6]> {
        let cold = simulation.cold.iter().filter(|(arrived, _)| (from..to).contains(arrived));
        cold.map(|(_, phases)| *phases).collect()
    };
    print_cold("after the first 20 s", &within(began, failed_at));
    print_unserved("after the first 20 s", simulation, began..failed_at);
    if simulation.zone_failed_at.is_some() {
        print_cold("within 10 s after the zone failed", &within(failed_at, failed_at + 10 * S));
        print_unserved("within 10 s after the zone failed", simulation, failed_at..failed_at + 10 * S);
    }
    println!("sent to workers per second");
    for (kind, (count, bytes)) in &simulation.sent {
        println!(
            "  {kind:<10} {:>8.3} messages {:>9.1} bytes",
            *count as f64 / seconds,
            *bytes as f64 / seconds
        );
    }
    println!("workers contacted in each 15 s: {:?}", simulation.contacted_counts);
    println!("processor time of engine and dispatcher: {:.2}% of a core", processor_time / seconds * 100.0);
}

fn main() {
    let arguments: Vec<f64> = std::env::args().skip(1).map(|word| word.parse().expect("a number")).collect();
    let [workers, functions, load, seconds, seed, rare, order_limit, zone_at] = arguments[..] else {
        panic!("usage: cold_start WORKERS FUNCTIONS LOAD_MS SECONDS SEED RARE ORDER_LIMIT ZONE_AT")
    };
    assert!(
        workers <= 5_000.0 && functions <= 18_000.0 && seconds <= 600.0,
        "limits: 5,000 workers, 18,000 functions, 600 seconds"
    );
    let parameters = Parameters {
        workers: workers as usize,
        functions: functions as usize,
        load: load as u64 * MS,
        seconds,
        seed: seed as u64,
        rare,
        order_limit,
        zone_at: (zone_at > 0.0).then_some(START + zone_at as u64 * S),
    };
    let mut simulation = Simulation::new(parameters);
    let began = thread_cpu_time();
    simulation.run_until(START + seconds as u64 * S);
    print(&simulation, simulation.parameters.seconds, (thread_cpu_time() - began).as_secs_f64());
}
