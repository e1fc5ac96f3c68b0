//! Measures the memory of the engine's state (open calls, kept results with and without idempotency keys, ids
//! of dropped results, the worker list) and the processor time of list updates. The engine includes the
//! dispatcher; list updates are also measured on the dispatcher alone, to show its share.
//!
//! `cargo run --release -p cresswheel-engine --example engine_state`
//!
//! Memory is in resident bytes, each run in its own process; times are microseconds of the thread's processor
//! time. Needs at most 400 MB and about a minute.

use std::hint::black_box;

use cresswheel::{
    Class, Dispatcher, Effect, Event, MissPolicy, Settings, WorkerEntry, WorkerListUpdate, WorkerState,
};
use cresswheel_engine::{
    AdmissionLimits, AttemptEnd, Call, Client, Engine, EngineSettings, Input, Output, ResultLimits,
};
use cresswheel_measure::{Series, Spread, resident_bytes, run_child_for_value, thread_cpu_time};
use cresswheel_protocol::{Ending, FunctionProfile, ListedWorker, MemberState};

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
const START: u64 = 1_790_000_000 * S;
const RUNS: usize = 5;
const WORKER_COUNTS: [usize; 5] = [100, 500, 1_000, 2_000, 5_000];
const CALL_COUNTS: [usize; 4] = [1_000, 4_000, 10_000, 20_000];
const RESULT_COUNTS: [usize; 4] = [5_000, 20_000, 60_000, 120_000];
const ID_COUNTS: [usize; 3] = [50_000, 200_000, 800_000];
/// List changes per time measurement.
const CHANGES_PER_RUN: usize = 20;

fn settings() -> EngineSettings {
    let check = Class {
        name: "check".into(),
        latency_objective: 570 * MS,
        client_timeout: 5 * S,
        effect: Effect::Safe,
        streamed: false,
        worth: 1.0,
        late_worth: 0.3,
    };
    let module = Settings {
        gateways: 680,
        classes: vec![check],
        keep_alive: 10 * S,
        miss_policy: MissPolicy::Load,
        max_instances_per_order: 1,
        may_cancel: true,
        max_attempts: 4,
        order_timeout: 10 * S,
        ..Settings::default()
    };
    EngineSettings {
        dispatcher: module,
        admission: AdmissionLimits {
            open_calls: 100_000,
            open_bytes: 1 << 30,
            per_connection: usize::MAX,
            functions: 100_000,
        },
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
        zone: format!("r1-z{}", number % 5),
        kind: "std-32".into(),
        cell: number as u64 / 40,
        standing: MemberState::Active,
        started: 0,
    }
}

fn whole_list(workers: usize) -> Input {
    Input::List { whole: true, workers: (0..workers).map(worker).collect() }
}

/// An engine with workers, and the outputs of its last input.
struct Harness {
    engine: Engine,
    now: u64,
    calls_sent: u64,
    out: Vec<Output>,
}

impl Harness {
    fn new(settings: EngineSettings, workers: usize) -> Self {
        let engine = Engine::new(settings, 7).expect("sound settings");
        let mut harness = Self { engine, now: START, calls_sent: 0, out: Vec::new() };
        harness.handle(whole_list(workers));
        harness
    }

    fn handle(&mut self, input: Input) {
        self.out.clear();
        self.engine.handle(self.now, input, &mut self.out);
    }

    /// Sends one call. Its trace id, class and names have typical lengths; its body is empty.
    fn call(&mut self, deferred: bool, key: &str) {
        self.calls_sent += 1;
        let call = Call {
            deferred,
            function: format!("function-{:05}", self.calls_sent % 50),
            class: "check".into(),
            tenant: "tenant-0123".into(),
            key: key.into(),
            workers_deduplicate: false,
            trace: format!("{:032x}", self.calls_sent),
            timeout: 0,
            shape: FunctionProfile { memory_mb: 500, lanes: 4, load_time: 400 * MS, work: 25 * MS },
            body: Vec::new(),
            account: None,
            route: None,
        };
        let client = Client { connection: self.calls_sent % 100, number: self.calls_sent };
        self.handle(Input::Call(client, call));
    }

    /// The attempt that the last input started, if any.
    fn started_attempt(&self) -> Option<u64> {
        self.out.iter().find_map(|output| match output {
            Output::Run(attempt) => Some(attempt.number),
            _ => None,
        })
    }

    /// Sends a call and serves it at once; its result with a body of that size is kept.
    fn serve(&mut self, key: &str, body: usize) {
        self.call(true, key);
        let attempt = self.started_attempt().expect("an attempt");
        let end = AttemptEnd::Answered(Ending::Ok, 0);
        self.handle(Input::AttemptEnded(attempt, end, vec![7; body], None));
    }
}

fn open_calls(count: usize) -> f64 {
    // Enough workers for an attempt of every call.
    let mut harness = Harness::new(settings(), 100);
    harness.call(false, "");
    let before = resident_bytes().expect("/proc");
    (0..count).for_each(|_| harness.call(false, ""));
    assert_eq!(harness.engine.open_calls(), count + 1);
    resident_bytes().expect("/proc") - before
}

fn results(count: usize, keyed: bool) -> f64 {
    let mut harness = Harness::new(settings(), 100);
    harness.serve("", 0);
    let before = resident_bytes().expect("/proc");
    for number in 0..count {
        let key = if keyed { format!("{number:032x}") } else { String::new() };
        harness.serve(&key, 0);
    }
    assert_eq!(harness.engine.result_bytes(), (count + 1) * 512, "all are kept");
    resident_bytes().expect("/proc") - before
}

/// Results that expire after 1 ms, so that only their ids are remembered.
fn expired_ids(count: usize) -> f64 {
    let mut settings = settings();
    settings.results.keep = MS;
    let mut harness = Harness::new(settings, 100);
    let serve = |harness: &mut Harness, count: usize| {
        for _ in 0..count {
            harness.serve("", 0);
            harness.now += 2 * MS;
        }
    };
    serve(&mut harness, 5_000);
    let before = resident_bytes().expect("/proc");
    serve(&mut harness, count);
    resident_bytes().expect("/proc") - before
}

fn list_memory(workers: usize) -> f64 {
    let before = resident_bytes().expect("/proc");
    let harness = black_box(Harness::new(settings(), workers));
    let grown = resident_bytes().expect("/proc") - before;
    drop(harness);
    grown
}

fn time_per_run(mut work: impl FnMut(), times: usize) -> f64 {
    let began = thread_cpu_time();
    (0..times).for_each(|_| work());
    (thread_cpu_time() - began).as_secs_f64() * 1e6 / times as f64
}

/// The time of an update with the whole list, without a change.
fn whole_list_update(workers: usize) -> f64 {
    let mut harness = Harness::new(settings(), workers);
    let update = whole_list(workers);
    time_per_run(|| harness.handle(update.clone()), 5)
}

/// The time of an update of one worker: it starts to drain, or is in service again.
fn worker_update(workers: usize) -> f64 {
    let mut harness = Harness::new(settings(), workers);
    let mut number = 0;
    let change = || {
        number += 1;
        let standing = if number % 2 == 0 { MemberState::Active } else { MemberState::Draining };
        let workers = vec![ListedWorker { standing, ..worker(number / 2 % workers) }];
        harness.handle(Input::List { whole: false, workers });
    };
    time_per_run(change, CHANGES_PER_RUN)
}

/// The same, by the dispatcher alone.
fn worker_update_in_dispatcher(workers: usize) -> f64 {
    let entry = |number: usize, state: WorkerState| WorkerEntry {
        id: format!("worker-{number:05}").as_str().into(),
        zone: format!("r1-z{}", number % 5),
        kind: "std-32".into(),
        cell: number as u64 / 40,
        state,
        started: None,
    };
    let mut dispatcher = Dispatcher::new(settings().dispatcher, 7).expect("sound settings");
    let mut actions = Vec::new();
    let all = (0..workers).map(|number| entry(number, WorkerState::InService)).collect();
    dispatcher.handle(START, Event::List(WorkerListUpdate::Complete(all)), &mut actions);
    let mut number = 0;
    let change = || {
        number += 1;
        let state = if number % 2 == 0 { WorkerState::InService } else { WorkerState::Draining };
        let update = WorkerListUpdate::Changes(vec![entry(number / 2 % workers, state)]);
        dispatcher.handle(START, Event::List(update), &mut actions);
        actions.clear();
    };
    time_per_run(change, CHANGES_PER_RUN)
}

/// The memory measurements by name; each runs in its own process.
fn memory(what: &str, quantity: usize) -> f64 {
    match what {
        "open" => open_calls(quantity),
        "results" => results(quantity, false),
        "keyed" => results(quantity, true),
        "ids" => expired_ids(quantity),
        "list" => list_memory(quantity),
        _ => panic!("no measurement is named {what}"),
    }
}

fn print_memory(what: &str, name: &str, quantity: &str, quantities: &[usize]) {
    let mut series = Series::new(name, "resident bytes", quantity);
    for count in quantities {
        let child = [what.to_owned(), count.to_string()];
        series.add(*count, (0..RUNS).map(|_| run_child_for_value(&child).expect("a child")).collect());
    }
    println!("{series}");
}

fn print_time(name: &str, measure: fn(usize) -> f64) -> Series {
    let mut series = Series::new(name, "us", "workers");
    for workers in WORKER_COUNTS {
        series.add(workers, (0..RUNS).map(|_| measure(workers)).collect());
    }
    println!("{series}");
    series
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [what, quantity] = &arguments[..] {
        return println!("{}", memory(what, quantity.parse().expect("a quantity")));
    }
    print_memory(
        "open",
        "open calls without bodies, one attempt each, dispatcher included",
        "open calls",
        &CALL_COUNTS,
    );
    print_memory("results", "kept results without bodies", "results", &RESULT_COUNTS);
    print_memory(
        "keyed",
        "kept results without bodies, with a key of 32 bytes each",
        "results",
        &RESULT_COUNTS,
    );
    print_memory("ids", "ids of dropped results", "ids", &ID_COUNTS);
    print_memory("list", "the worker list, dispatcher included", "workers", &WORKER_COUNTS);
    print_time("update with the whole list, nothing changed, dispatcher included", whole_list_update);
    let engine = print_time("update of one worker, dispatcher included", worker_update);
    let dispatcher = print_time("update of one worker, the dispatcher alone", worker_update_in_dispatcher);
    let ratio = dispatcher.line().at(2_000.0) / engine.line().at(2_000.0).max(f64::MIN_POSITIVE);
    println!("at 2,000 workers the dispatcher's share is {}", Spread::of(&[ratio]).median);
}
