//! Memory of what the engine keeps: open calls, kept results with and without idempotency keys, ids of results that
//! are gone, the worker list; and the processor time of list news. The decision module runs inside the engine, and the
//! list is measured on it alone as well, so that its part can be told.
//!
//! `cargo run --release -p cresswheel-engine --example engine_state`
//!
//! Memory is resident bytes of a process of its own for each run; times are microseconds of the thread's processor
//! time. At most 400 MB and about a minute.

use std::hint::black_box;

use cresswheel::{
    Class, Dispatcher, Effect, Event, ListNews, Settings, WhenAbsent, WorkerEntry, WorkerState,
};
use cresswheel_engine::{
    AdmissionLimits, AttemptEnd, Call, Client, Engine, EngineSettings, Input, Output, ResultLimits,
};
use cresswheel_measure::{Series, Spread, resident_bytes, thread_time, value_of_child};
use cresswheel_protocol::{Ending, Listed, Shape, Standing};

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
const START: u64 = 1_790_000_000 * S;
const RUNS: usize = 5;
const WORKERS: [usize; 5] = [100, 500, 1_000, 2_000, 5_000];
const CALLS: [usize; 4] = [1_000, 4_000, 10_000, 20_000];
const RESULTS: [usize; 4] = [5_000, 20_000, 60_000, 120_000];
const IDS: [usize; 3] = [50_000, 200_000, 800_000];
/// List changes timed at once.
const CHANGES: usize = 20;

fn settings() -> EngineSettings {
    let check = Class {
        name: "check".into(),
        aim: 570 * MS,
        give_up: 5 * S,
        effect: Effect::Safe,
        streamed: false,
        worth: 1.0,
        late_worth: 0.3,
    };
    let module = Settings {
        gateways: 680,
        classes: vec![check],
        keep_alive: 10 * S,
        when_absent: WhenAbsent::Load,
        most_instances: 1,
        may_cancel: true,
        max_attempts: 4,
        order_timeout: 10 * S,
        ..Settings::default()
    };
    EngineSettings {
        module,
        admission: AdmissionLimits {
            open_calls: 100_000,
            open_bytes: 1 << 30,
            per_connection: usize::MAX,
            functions: 100_000,
        },
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
        zone: format!("r1-z{}", number % 5),
        kind: "std-32".into(),
        cell: number as u64 / 40,
        standing: Standing::In,
        started: 0,
    }
}

fn whole(workers: usize) -> Input {
    Input::List { whole: true, workers: (0..workers).map(worker).collect() }
}

/// An engine with workers, and what it has been asked so far.
struct Bed {
    engine: Engine,
    now: u64,
    asked: u64,
    out: Vec<Output>,
}

impl Bed {
    fn new(settings: EngineSettings, workers: usize) -> Self {
        let engine = Engine::new(settings, 7).expect("sound settings");
        let mut bed = Self { engine, now: START, asked: 0, out: Vec::new() };
        bed.give(whole(workers));
        bed
    }

    fn give(&mut self, input: Input) {
        self.out.clear();
        self.engine.handle(self.now, input, &mut self.out);
    }

    /// Asks for one call. Its id, key and class have usual lengths, its body none.
    fn call(&mut self, deferred: bool, key: &str) {
        self.asked += 1;
        let call = Call {
            deferred,
            function: format!("function-{:05}", self.asked % 50),
            class: "check".into(),
            tenant: "tenant-0123".into(),
            key: key.into(),
            is_key_for_workers: false,
            trace: format!("{:032x}", self.asked),
            time_left: 0,
            shape: Shape { memory_mb: 500, lanes: 4, load_time: 400 * MS, work: 25 * MS },
            body: Vec::new(),
            account: None,
            route: None,
        };
        let client = Client { connection: self.asked % 100, number: self.asked };
        self.give(Input::Call(client, call));
    }

    /// The attempt that the last input began, if it did.
    fn attempt(&self) -> Option<u64> {
        self.out.iter().find_map(|output| match output {
            Output::Run(attempt) => Some(attempt.number),
            _ => None,
        })
    }

    /// A call that is served at once, its result of so many bytes kept.
    fn served(&mut self, key: &str, body: usize) {
        self.call(true, key);
        let attempt = self.attempt().expect("an attempt");
        let end = AttemptEnd::Answered(Ending::Ok, 0);
        self.give(Input::AttemptEnded(attempt, end, vec![7; body], None));
    }
}

fn open_calls(count: usize) -> f64 {
    // Workers enough that all calls go out.
    let mut bed = Bed::new(settings(), 100);
    bed.call(false, "");
    let before = resident_bytes().expect("/proc");
    (0..count).for_each(|_| bed.call(false, ""));
    assert_eq!(bed.engine.open_calls(), count + 1);
    resident_bytes().expect("/proc") - before
}

fn results(count: usize, keyed: bool) -> f64 {
    let mut bed = Bed::new(settings(), 100);
    bed.served("", 0);
    let before = resident_bytes().expect("/proc");
    for number in 0..count {
        let key = if keyed { format!("{number:032x}") } else { String::new() };
        bed.served(&key, 0);
    }
    assert_eq!(bed.engine.result_bytes(), (count + 1) * 512, "all are kept");
    resident_bytes().expect("/proc") - before
}

/// Results that are dropped after 1 ms; only their ids are remembered.
fn ids(count: usize) -> f64 {
    let mut settings = settings();
    settings.results.keep = MS;
    let mut bed = Bed::new(settings, 100);
    let served = |bed: &mut Bed, count: usize| {
        for _ in 0..count {
            bed.served("", 0);
            bed.now += 2 * MS;
        }
    };
    served(&mut bed, 5_000);
    let before = resident_bytes().expect("/proc");
    served(&mut bed, count);
    resident_bytes().expect("/proc") - before
}

fn list_memory(workers: usize) -> f64 {
    let before = resident_bytes().expect("/proc");
    let bed = black_box(Bed::new(settings(), workers));
    let grown = resident_bytes().expect("/proc") - before;
    drop(bed);
    grown
}

fn time(mut work: impl FnMut(), times: usize) -> f64 {
    let began = thread_time();
    (0..times).for_each(|_| work());
    (thread_time() - began).as_secs_f64() * 1e6 / times as f64
}

/// News of the whole list to an engine that has it already.
fn whole_again(workers: usize) -> f64 {
    let mut bed = Bed::new(settings(), workers);
    let news = whole(workers);
    time(|| bed.give(news.clone()), 5)
}

/// News of one worker: it drains, and is in service again.
fn one_changed(workers: usize) -> f64 {
    let mut bed = Bed::new(settings(), workers);
    let mut number = 0;
    let change = || {
        number += 1;
        let standing = if number % 2 == 0 { Standing::In } else { Standing::Draining };
        let workers = vec![Listed { standing, ..worker(number / 2 % workers) }];
        bed.give(Input::List { whole: false, workers });
    };
    time(change, CHANGES)
}

/// The same, to the decision module alone.
fn one_changed_in_module(workers: usize) -> f64 {
    let entry = |number: usize, state: WorkerState| WorkerEntry {
        id: format!("worker-{number:05}").as_str().into(),
        zone: format!("r1-z{}", number % 5),
        kind: "std-32".into(),
        cell: number as u64 / 40,
        state,
        started: None,
    };
    let mut module = Dispatcher::new(settings().module, 7).expect("sound settings");
    let mut actions = Vec::new();
    let all = (0..workers).map(|number| entry(number, WorkerState::In)).collect();
    module.handle(START, Event::List(ListNews::Whole(all)), &mut actions);
    let mut number = 0;
    let change = || {
        number += 1;
        let state = if number % 2 == 0 { WorkerState::In } else { WorkerState::Draining };
        let news = ListNews::Changes(vec![entry(number / 2 % workers, state)]);
        module.handle(START, Event::List(news), &mut actions);
        actions.clear();
    };
    time(change, CHANGES)
}

/// What is measured in a process of its own, by the word that asks for it.
fn memory(what: &str, quantity: usize) -> f64 {
    match what {
        "open" => open_calls(quantity),
        "results" => results(quantity, false),
        "keyed" => results(quantity, true),
        "ids" => ids(quantity),
        "list" => list_memory(quantity),
        _ => panic!("{what}: nothing of this name is measured"),
    }
}

fn print_memory(what: &str, name: &str, quantity: &str, quantities: &[usize]) {
    let mut series = Series::new(name, "resident bytes", quantity);
    for count in quantities {
        let child = [what.to_owned(), count.to_string()];
        series.add(*count, (0..RUNS).map(|_| value_of_child(&child).expect("a child")).collect());
    }
    println!("{series}");
}

fn print_time(name: &str, measure: fn(usize) -> f64) -> Series {
    let mut series = Series::new(name, "us", "workers");
    for workers in WORKERS {
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
        "open calls without bodies, one attempt each, module included",
        "open calls",
        &CALLS,
    );
    print_memory("results", "kept results without bodies", "results", &RESULTS);
    print_memory("keyed", "kept results without bodies, with a key of 32 bytes each", "results", &RESULTS);
    print_memory("ids", "ids of results that are gone", "ids", &IDS);
    print_memory("list", "the worker list, module included", "workers", &WORKERS);
    print_time("news of the whole list, nothing changed, module included", whole_again);
    let engine = print_time("news of one worker, module included", one_changed);
    let module = print_time("news of one worker, the module alone", one_changed_in_module);
    let ratio = module.line().at(2_000.0) / engine.line().at(2_000.0).max(f64::MIN_POSITIVE);
    println!("at 2,000 workers the module's part is {}", Spread::of(&[ratio]).median);
}
