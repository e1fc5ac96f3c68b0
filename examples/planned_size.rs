//! CPU time of the decision module at a given size, by kind of event.
//!
//! `cargo run --release -p cresswheel --example planned_size -- --workers 2000 --functions 18000`
//!
//! A single `Dispatcher` runs on a simulated clock. Half of the calls go to a few hot functions, the others
//! are spread evenly over the rest. Simulated workers load functions on demand, keep them for the keep-alive
//! and answer every call. One worker after another leaves the list and returns restarted. Costs are thread
//! CPU time, less the cost of reading that clock, over the second half of the run.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::error::Error;
use std::fmt::Write as _;

use cresswheel::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;
use rustix::time::{ClockId, clock_gettime};

const USAGE: &str =
    "planned_size [--workers N] [--functions N] [--hot N] [--rate CALLS_A_SECOND] [--seconds N]
    [--orders on|off] [--gateways N] [--aim-ms N] [--keep-alive-ms N] [--room INSTANCES_A_WORKER]
    [--change-every-ms N] [--seed N] [--header yes|no]";
const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const TICK: Micros = MS;
const RUN_TIME: Micros = 20 * MS;
const LOAD_TIME: Micros = 400 * MS;
const ROUND_TRIP: Micros = MS / 2;
/// Events that take longer, in nanoseconds, are counted in their own column.
const SLOW_EVENT_NS: u64 = 2_000_000;
/// Names of the kinds of events in the output.
const KINDS: [&str; 5] = ["call", "end", "order's answer", "wake-up", "list change"];

/// A kind of event; its value is an index into [`KINDS`].
#[derive(Clone, Copy)]
enum Kind {
    Call,
    AttemptEnd,
    OrderAnswer,
    Wake,
    ListChange,
}

/// Command-line options.
struct Options {
    workers: usize,
    functions: usize,
    hot: usize,
    rate: u64,
    seconds: u64,
    orders: bool,
    gateways: u32,
    aim: Micros,
    keep_alive: Micros,
    /// Instances per worker above which prewarm orders are rejected.
    max_instances: usize,
    change_every: Micros,
    seed: u64,
    header: bool,
}

impl Options {
    fn parse(mut args: impl Iterator<Item = String>) -> Result<Self, Box<dyn Error>> {
        let mut options = Self {
            workers: 2_000,
            functions: 18_000,
            hot: 50,
            rate: 200,
            seconds: 150,
            orders: true,
            gateways: 1,
            aim: 100 * MS,
            keep_alive: 10 * S,
            max_instances: usize::MAX,
            change_every: 5 * S,
            seed: 1,
            header: true,
        };
        while let Some(name) = args.next() {
            let value = args.next().ok_or(format!("{name} needs a value\n{USAGE}"))?;
            match name.as_str() {
                "--workers" => options.workers = value.parse()?,
                "--functions" => options.functions = value.parse()?,
                "--hot" => options.hot = value.parse()?,
                "--rate" => options.rate = value.parse()?,
                "--seconds" => options.seconds = value.parse()?,
                "--orders" => options.orders = value == "on",
                "--gateways" => options.gateways = value.parse()?,
                "--aim-ms" => options.aim = value.parse::<Micros>()? * MS,
                "--keep-alive-ms" => options.keep_alive = value.parse::<Micros>()? * MS,
                "--room" => options.max_instances = value.parse()?,
                "--change-every-ms" => options.change_every = value.parse::<Micros>()? * MS,
                "--seed" => options.seed = value.parse()?,
                "--header" => options.header = value == "yes",
                _ => return Err(format!("unknown option {name}\n{USAGE}").into()),
            }
        }
        let valid = options.workers > 1 && options.functions > options.hot && options.hot > 0;
        if !valid || options.rate == 0 || options.seconds == 0 {
            return Err(format!("a size of zero, or no function beside the hot ones\n{USAGE}").into());
        }
        Ok(options)
    }

    fn settings(&self) -> Settings {
        let class = Class {
            name: "call".into(),
            latency_objective: self.aim,
            client_timeout: 5 * S,
            effect: Effect::Safe,
            streamed: false,
            worth: 1.0,
            late_worth: 0.3,
        };
        Settings {
            gateways: self.gateways,
            tick: TICK,
            classes: vec![class],
            keep_alive: self.keep_alive,
            may_prewarm: self.orders,
            order_timeout: 10 * S,
            max_attempts: 5,
            cold_start: ColdStart {
                initial_share: 0.2,
                warm_up: 10 * S,
                overload_multiple: 2.0,
                overload_window: 3 * S,
            },
            ..Settings::default()
        }
    }
}

/// CPU time of this thread, in nanoseconds.
fn thread_cpu_time() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
}

/// The time that one reading of the clock adds to a measurement, in nanoseconds: the median of many.
fn clock_cost() -> u64 {
    let mut times: Vec<u64> = (0..10_001)
        .map(|_| {
            let before = thread_cpu_time();
            thread_cpu_time() - before
        })
        .collect();
    times.sort_unstable();
    times[times.len() / 2]
}

/// Resident memory of the process in bytes; 0 if it can't be read.
fn resident_memory() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * rustix::param::page_size() as u64
}

/// Costs of the events of one kind, in nanoseconds.
#[derive(Clone, Default)]
struct Costs {
    events: u64,
    total: u64,
    worst: u64,
    /// Events that took longer than [`SLOW_EVENT_NS`].
    slow: u64,
}

impl Costs {
    fn add(&mut self, cost: u64) {
        self.events += 1;
        self.total += cost;
        self.worst = self.worst.max(cost);
        self.slow += u64::from(cost > SLOW_EVENT_NS);
    }

    fn mean_us(&self) -> f64 {
        self.total as f64 / self.events.max(1) as f64 / 1e3
    }
}

/// An event that is scheduled.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Scheduled {
    Wake,
    Call,
    AttemptEnd { request: u64, worker: usize, sent: Micros },
    OrderAnswer { function: usize, worker: usize, sent: Micros, loaded: bool },
    ListChange,
}

/// The module, its clock, and the simulated workers around it.
struct Simulation {
    options: Options,
    module: Dispatcher,
    rng: Pcg32,
    now: Micros,
    /// By time. Wake-ups come first at their time, so that the work that is due is done, and counted, in
    /// them.
    schedule: BinaryHeap<Reverse<(Micros, bool, u64, Scheduled)>>,
    next_number: u64,
    /// Requests in flight: their function and the number of attempts sent.
    in_flight: HashMap<u64, (usize, usize)>,
    /// Until when an instance stays loaded, by function and worker.
    loaded_until: HashMap<(usize, usize), Micros>,
    /// Loaded instances, by worker.
    loaded_instances: Vec<usize>,
    functions: Vec<FunctionId>,
    workers: Vec<WorkerEntry>,
    function_of: HashMap<FunctionId, usize>,
    worker_of: HashMap<WorkerId, usize>,
    /// The worker that has left the list.
    absent_worker: Option<usize>,
    list_changes: u32,
    /// The value of `list_changes` at the last call of each function.
    changes_at_last_call: Vec<u32>,
    clock_cost: u64,
    costs: [Costs; KINDS.len()],
    /// Costs of the first call of a function after a change of the list.
    first_call_after_change: Costs,
    orders: u64,
    measuring: bool,
}

impl Simulation {
    fn new(options: Options) -> Result<Self, SettingsError> {
        let name = |n: usize| FunctionId::from(format!("estate/function-{n}").as_str());
        let functions: Vec<FunctionId> = (0..options.functions).map(name).collect();
        let workers: Vec<WorkerEntry> = (0..options.workers).map(worker).collect();
        Ok(Self {
            module: Dispatcher::new(options.settings(), options.seed)?,
            rng: Pcg32::new(options.seed, 40),
            now: 0,
            schedule: BinaryHeap::with_capacity(1 << 16),
            next_number: 0,
            in_flight: HashMap::with_capacity(1 << 12),
            loaded_until: HashMap::with_capacity(1 << 16),
            loaded_instances: vec![0; options.workers],
            function_of: functions.iter().cloned().zip(0..).collect(),
            worker_of: workers.iter().map(|w| w.id.clone()).zip(0..).collect(),
            functions,
            workers,
            absent_worker: None,
            list_changes: 1,
            changes_at_last_call: vec![0; options.functions],
            clock_cost: clock_cost(),
            costs: Default::default(),
            first_call_after_change: Costs::default(),
            orders: 0,
            measuring: false,
            options,
        })
    }

    fn schedule_after(&mut self, delay: Micros, event: Scheduled) {
        self.next_number += 1;
        let at = (self.now + delay).next_multiple_of(TICK);
        self.schedule.push(Reverse((at, event != Scheduled::Wake, self.next_number, event)));
    }

    /// Passes an event to the module, executes the actions, and returns the cost.
    fn handle(&mut self, kind: Kind, event: Event) -> u64 {
        let mut actions = Vec::new();
        let before = thread_cpu_time();
        self.module.handle(self.now, event, &mut actions);
        let cost = (thread_cpu_time() - before).saturating_sub(self.clock_cost);
        if self.measuring {
            self.costs[kind as usize].add(cost);
        }
        for action in actions {
            self.execute(action);
        }
        cost
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::WakeAfter(delay) => self.schedule_after(delay, Scheduled::Wake),
            Action::Send { request, worker, .. } => {
                let request = request.0.parse().unwrap_or(0);
                let worker = self.worker_of[&worker];
                let Some(request_state) = self.in_flight.get_mut(&request) else { return };
                request_state.1 += 1;
                let function = request_state.0;
                let delay = if self.load(function, worker, true) { 0 } else { LOAD_TIME };
                let sent = self.now;
                self.schedule_after(delay + RUN_TIME, Scheduled::AttemptEnd { request, worker, sent });
            }
            Action::Hold { worker, function, .. } => {
                self.orders += u64::from(self.measuring);
                let (worker, function) = (self.worker_of[&worker], self.function_of[&function]);
                let was_loaded = self.load(function, worker, false);
                let loaded = self.loaded_until.contains_key(&(function, worker));
                let delay = if was_loaded || !loaded { ROUND_TRIP } else { LOAD_TIME };
                let sent = self.now;
                self.schedule_after(delay, Scheduled::OrderAnswer { function, worker, sent, loaded });
            }
            Action::Refuse { request, .. } | Action::Fail { request } => {
                self.in_flight.remove(&request.0.parse().unwrap_or(0));
            }
            _ => {}
        }
    }

    /// Loads an instance at a worker, or extends its keep-alive. Returns whether one was loaded before.
    /// Without a call, a prewarm order loads none if the worker has `max_instances`.
    fn load(&mut self, function: usize, worker: usize, called: bool) -> bool {
        let (now, keep_alive) = (self.now, self.options.keep_alive);
        if let Some(until) = self.loaded_until.get_mut(&(function, worker)).filter(|until| **until > now) {
            *until = now + keep_alive;
            return true;
        }
        if !called && self.loaded_instances[worker] >= self.options.max_instances {
            self.loaded_until.remove(&(function, worker));
            return false;
        }
        self.loaded_instances[worker] += 1;
        self.loaded_until.insert((function, worker), now + LOAD_TIME + keep_alive);
        false
    }

    /// Unloads the instances whose keep-alive has passed.
    fn unload_idle(&mut self) {
        let now = self.now;
        self.loaded_until.retain(|_, until| *until > now);
        self.loaded_instances.fill(0);
        for (_, worker) in self.loaded_until.keys() {
            self.loaded_instances[*worker] += 1;
        }
    }

    fn call(&mut self) {
        let hot = self.rng.next_u32().is_multiple_of(2);
        let (first, count) = if hot {
            (0, self.options.hot)
        } else {
            (self.options.hot, self.options.functions - self.options.hot)
        };
        let function = first + self.rng.next_u32() as usize % count;
        self.next_number += 1;
        let number = self.next_number;
        self.in_flight.insert(number, (function, 0));
        let request = Request {
            id: RequestId::from(number.to_string().as_str()),
            class: 0,
            tenant: None,
            function: self.functions[function].clone(),
            time_left: 5 * S,
            memory_mb: Some(500.0 + (function % 97) as f64),
            concurrency: Some(4),
            load_time: None,
        };
        let cost = self.handle(Kind::Call, Event::Arrived(request));
        let known = self.changes_at_last_call[function] > 0;
        let first_after_change =
            std::mem::replace(&mut self.changes_at_last_call[function], self.list_changes)
                < self.list_changes;
        if self.measuring && known && first_after_change {
            self.first_call_after_change.add(cost);
        }
    }

    /// Takes a worker off the list, or returns the one that has left with a new process.
    fn change_list(&mut self) {
        let worker = match self.absent_worker.take() {
            Some(worker) => {
                self.workers[worker].state = WorkerState::InService;
                self.workers[worker].started = Some(self.now);
                worker
            }
            None => {
                let worker = self.rng.next_u32() as usize % self.workers.len();
                self.workers[worker].state = WorkerState::OutOfService;
                self.absent_worker = Some(worker);
                worker
            }
        };
        self.loaded_until.retain(|(_, at), _| *at != worker);
        self.list_changes += 1;
        let entry = self.workers[worker].clone();
        self.handle(Kind::ListChange, Event::List(WorkerListUpdate::Changes(vec![entry])));
    }

    fn step(&mut self, event: Scheduled) {
        match event {
            Scheduled::Wake => {
                self.handle(Kind::Wake, Event::Wake);
            }
            Scheduled::Call => {
                self.call();
                self.schedule_after(S / self.options.rate, Scheduled::Call);
            }
            Scheduled::AttemptEnd { request, worker, sent } => {
                let Some((_, attempts)) = self.in_flight.remove(&request) else { return };
                let event = Event::AttemptEnded {
                    request: RequestId::from(request.to_string().as_str()),
                    attempt: attempts - 1,
                    worker: self.workers[worker].id.clone(),
                    outcome: Outcome::Ok,
                    elapsed: self.now - sent,
                    answered: true,
                    worker_in_flight: None,
                    load_failed: false,
                };
                self.handle(Kind::AttemptEnd, event);
            }
            Scheduled::OrderAnswer { function, worker, sent, loaded } => {
                let event = Event::PrewarmEnded {
                    worker: self.workers[worker].id.clone(),
                    function: self.functions[function].clone(),
                    outcome: if loaded { Outcome::Ok } else { Outcome::Full },
                    elapsed: self.now - sent,
                    loaded_instances: u32::from(loaded),
                };
                self.handle(Kind::OrderAnswer, event);
            }
            Scheduled::ListChange => {
                self.unload_idle();
                self.change_list();
                self.schedule_after(self.options.change_every, Scheduled::ListChange);
            }
        }
    }

    /// Runs to the end. Returns the cost of the first list, which builds all tables, separately.
    fn run(&mut self) -> u64 {
        let first_list_cost =
            self.handle(Kind::ListChange, Event::List(WorkerListUpdate::Complete(self.workers.clone())));
        self.schedule_after(TICK, Scheduled::Call);
        self.schedule_after(self.options.change_every, Scheduled::ListChange);
        let end = self.options.seconds * S;
        while let Some(Reverse((at, .., event))) = self.schedule.pop().filter(|Reverse((at, ..))| *at <= end)
        {
            self.now = self.now.max(at);
            self.measuring = self.now * 2 > end;
            self.step(event);
        }
        first_list_cost
    }
}

fn worker(number: usize) -> WorkerEntry {
    WorkerEntry {
        id: WorkerId::from(format!("10.{}.{}.7:9000", number / 256, number % 256).as_str()),
        zone: format!("zone-{}", number % 5),
        kind: "std".into(),
        cell: number as u64 % 40,
        state: WorkerState::InService,
        started: None,
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let options = Options::parse(std::env::args().skip(1))?;
    let header = options.header;
    let mut simulation = Simulation::new(options)?;
    let memory_before = resident_memory();
    let first_list_cost = simulation.run();
    let memory_growth = resident_memory().saturating_sub(memory_before);
    let options = &simulation.options;
    let measured_ns = options.seconds as f64 * 1e9 / 2.0;
    let percent = |kind: usize| 100.0 * simulation.costs[kind].total as f64 / measured_ns;
    let control: f64 = (0..KINDS.len()).filter(|kind| *kind != Kind::Call as usize).map(percent).sum();
    let all: f64 = (0..KINDS.len()).map(percent).sum();
    let mut out = String::new();
    if header {
        let kinds = KINDS.map(|kind| format!("{kind}: a second, us, worst ms, over 2 ms")).join(" | ");
        writeln!(
            out,
            "| workers x functions, orders | {kinds} | first call after a change, us | all but calls, of a core \
             | all | first list, ms | grown, MB | orders a second |"
        )?;
        writeln!(out, "|{}", " --- |".repeat(KINDS.len() + 7))?;
    }
    let orders = if options.orders { "on" } else { "off" };
    write!(out, "| {} x {}, {orders} |", options.workers, options.functions)?;
    for costs in &simulation.costs {
        let rate = costs.events as f64 * 1e9 / measured_ns;
        let worst = costs.worst as f64 / 1e6;
        write!(out, " {rate:.1}, {:.1}, {worst:.2}, {} |", costs.mean_us(), costs.slow)?;
    }
    writeln!(
        out,
        " {:.1} | {control:.2}% | {all:.2}% | {:.1} | {:.0} | {:.1} |",
        simulation.first_call_after_change.mean_us(),
        first_list_cost as f64 / 1e6,
        memory_growth as f64 / 1e6,
        simulation.orders as f64 * 1e9 / measured_ns
    )?;
    print!("{out}");
    Ok(())
}
