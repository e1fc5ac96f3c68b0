//! What the decision module costs at a given size, by kind of event, in processor time.
//!
//! `cargo run --release -p cresswheel --example planned_size -- --workers 2000 --functions 18000`
//!
//! One `Dispatcher` is driven alone, on a simulated clock. Half of the calls go to a few hot functions, the
//! others are drawn evenly from the rest. Simulated workers load what they lack, keep it for the keep-alive and
//! answer everything. One worker leaves the list, and comes back restarted, by turns. Costs are measured with
//! the clock of the thread's processor time, less what reading that clock costs, over the last half of the run.

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
const RUN: Micros = 20 * MS;
const LOAD: Micros = 400 * MS;
const ROUND_TRIP: Micros = MS / 2;
/// No event may take longer.
const LONGEST: u64 = 2_000_000;
const KINDS: [&str; 5] = ["call", "end", "order's answer", "wake-up", "list change"];

#[derive(Clone, Copy)]
enum Kind {
    Call,
    End,
    Held,
    Wake,
    List,
}

/// What the command line asks for.
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
    room: usize,
    change_every: Micros,
    seed: u64,
    header: bool,
}

impl Options {
    fn read(mut words: impl Iterator<Item = String>) -> Result<Self, Box<dyn Error>> {
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
            room: usize::MAX,
            change_every: 5 * S,
            seed: 1,
            header: true,
        };
        while let Some(name) = words.next() {
            let value = words.next().ok_or(format!("{name} needs a value\n{USAGE}"))?;
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
                "--room" => options.room = value.parse()?,
                "--change-every-ms" => options.change_every = value.parse::<Micros>()? * MS,
                "--seed" => options.seed = value.parse()?,
                "--header" => options.header = value == "yes",
                _ => return Err(format!("unknown option {name}\n{USAGE}").into()),
            }
        }
        let enough = options.workers > 1 && options.functions > options.hot && options.hot > 0;
        if !enough || options.rate == 0 || options.seconds == 0 {
            return Err(format!("a size of zero, or no function beside the hot ones\n{USAGE}").into());
        }
        Ok(options)
    }

    fn settings(&self) -> Settings {
        let class = Class {
            name: "call".into(),
            aim: self.aim,
            give_up: 5 * S,
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
            may_order: self.orders,
            order_timeout: 10 * S,
            max_attempts: 5,
            cold: ColdStart { from: 0.2, warm_up: 10 * S, multiple: 2.0, window: 3 * S },
            ..Settings::default()
        }
    }
}

/// Processor time of this thread, in nanoseconds.
fn processor_time() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
}

/// What one reading of the clock adds to a span: the median of many.
fn clock_cost() -> u64 {
    let mut spans: Vec<u64> = (0..10_001)
        .map(|_| {
            let before = processor_time();
            processor_time() - before
        })
        .collect();
    spans.sort_unstable();
    spans[spans.len() / 2]
}

/// Resident memory of the process in bytes; 0 where the system doesn't tell.
fn resident() -> u64 {
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
    over: u64,
}

impl Costs {
    fn add(&mut self, cost: u64) {
        self.events += 1;
        self.total += cost;
        self.worst = self.worst.max(cost);
        self.over += u64::from(cost > LONGEST);
    }

    fn mean_us(&self) -> f64 {
        self.total as f64 / self.events.max(1) as f64 / 1e3
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Wake,
    Call,
    End { request: u64, worker: usize, sent: Micros },
    Held { function: usize, worker: usize, sent: Micros, stands: bool },
    List,
}

/// The module, its clock, and the simulated workers around it.
struct Probe {
    options: Options,
    module: Dispatcher,
    rng: Pcg32,
    now: Micros,
    /// Wake-ups before all else of their time, so that what is due is done, and counted, in them.
    due: BinaryHeap<Reverse<(Micros, bool, u64, Due)>>,
    made: u64,
    /// Requests under way: their function and the attempts sent.
    open: HashMap<u64, (usize, usize)>,
    /// Until when an instance stands, by function and worker.
    stands: HashMap<(usize, usize), Micros>,
    standing: Vec<usize>,
    functions: Vec<FunctionId>,
    workers: Vec<WorkerEntry>,
    function_of: HashMap<FunctionId, usize>,
    worker_of: HashMap<WorkerId, usize>,
    left: Option<usize>,
    /// Changes of the list so far, and after which of them each function was last called.
    changes: u32,
    called_after: Vec<u32>,
    clock_cost: u64,
    costs: [Costs; KINDS.len()],
    after_change: Costs,
    orders: u64,
    measuring: bool,
}

impl Probe {
    fn new(options: Options) -> Result<Self, SettingsError> {
        let name = |n: usize| FunctionId::from(format!("estate/function-{n}").as_str());
        let functions: Vec<FunctionId> = (0..options.functions).map(name).collect();
        let workers: Vec<WorkerEntry> = (0..options.workers).map(worker).collect();
        Ok(Self {
            module: Dispatcher::new(options.settings(), options.seed)?,
            rng: Pcg32::new(options.seed, 40),
            now: 0,
            due: BinaryHeap::with_capacity(1 << 16),
            made: 0,
            open: HashMap::with_capacity(1 << 12),
            stands: HashMap::with_capacity(1 << 16),
            standing: vec![0; options.workers],
            function_of: functions.iter().cloned().zip(0..).collect(),
            worker_of: workers.iter().map(|w| w.id.clone()).zip(0..).collect(),
            functions,
            workers,
            left: None,
            changes: 1,
            called_after: vec![0; options.functions],
            clock_cost: clock_cost(),
            costs: Default::default(),
            after_change: Costs::default(),
            orders: 0,
            measuring: false,
            options,
        })
    }

    fn later(&mut self, span: Micros, due: Due) {
        self.made += 1;
        let at = (self.now + span).next_multiple_of(TICK);
        self.due.push(Reverse((at, due != Due::Wake, self.made, due)));
    }

    fn give(&mut self, kind: Kind, event: Event) -> u64 {
        let mut actions = Vec::new();
        let before = processor_time();
        self.module.handle(self.now, event, &mut actions);
        let cost = (processor_time() - before).saturating_sub(self.clock_cost);
        if self.measuring {
            self.costs[kind as usize].add(cost);
        }
        for action in actions {
            self.carry_out(action);
        }
        cost
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::WakeAfter(span) => self.later(span, Due::Wake),
            Action::Send { request, worker, .. } => {
                let request = request.0.parse().unwrap_or(0);
                let worker = self.worker_of[&worker];
                let Some(open) = self.open.get_mut(&request) else { return };
                open.1 += 1;
                let function = open.0;
                let wait = if self.load(function, worker, true) { 0 } else { LOAD };
                let sent = self.now;
                self.later(wait + RUN, Due::End { request, worker, sent });
            }
            Action::Hold { worker, function, .. } => {
                self.orders += u64::from(self.measuring);
                let (worker, function) = (self.worker_of[&worker], self.function_of[&function]);
                let stood = self.load(function, worker, false);
                let stands = self.stands.contains_key(&(function, worker));
                let wait = if stood || !stands { ROUND_TRIP } else { LOAD };
                let sent = self.now;
                self.later(wait, Due::Held { function, worker, sent, stands });
            }
            Action::Refuse { request, .. } | Action::Fail { request } => {
                self.open.remove(&request.0.parse().unwrap_or(0));
            }
            _ => {}
        }
    }

    /// Has an instance stand at a worker; whether one stood. An order finds no room past `--room`.
    fn load(&mut self, function: usize, worker: usize, called: bool) -> bool {
        let (now, keep) = (self.now, self.options.keep_alive);
        if let Some(until) = self.stands.get_mut(&(function, worker)).filter(|until| **until > now) {
            *until = now + keep;
            return true;
        }
        if !called && self.standing[worker] >= self.options.room {
            self.stands.remove(&(function, worker));
            return false;
        }
        self.standing[worker] += 1;
        self.stands.insert((function, worker), now + LOAD + keep);
        false
    }

    /// Retires what has idled out; the map is looked over now and then.
    fn retire(&mut self) {
        let now = self.now;
        self.stands.retain(|_, until| *until > now);
        self.standing.fill(0);
        for (_, worker) in self.stands.keys() {
            self.standing[*worker] += 1;
        }
    }

    fn call(&mut self) {
        let hot = self.rng.next_u32().is_multiple_of(2);
        let (from, many) = if hot {
            (0, self.options.hot)
        } else {
            (self.options.hot, self.options.functions - self.options.hot)
        };
        let function = from + self.rng.next_u32() as usize % many;
        self.made += 1;
        let number = self.made;
        self.open.insert(number, (function, 0));
        let request = Request {
            id: RequestId::from(number.to_string().as_str()),
            class: 0,
            tenant: None,
            function: self.functions[function].clone(),
            time_left: 5 * S,
            memory_mb: Some(500.0 + (function % 97) as f64),
            lanes: Some(4),
            load_time: None,
        };
        let cost = self.give(Kind::Call, Event::Arrived(request));
        let known = self.called_after[function] > 0;
        let first = std::mem::replace(&mut self.called_after[function], self.changes) < self.changes;
        if self.measuring && known && first {
            self.after_change.add(cost);
        }
    }

    /// By turns a worker leaves the list, and comes back with a new process.
    fn change_list(&mut self) {
        let worker = match self.left.take() {
            Some(worker) => {
                self.workers[worker].state = WorkerState::In;
                self.workers[worker].started = Some(self.now);
                worker
            }
            None => {
                let worker = self.rng.next_u32() as usize % self.workers.len();
                self.workers[worker].state = WorkerState::Out;
                self.left = Some(worker);
                worker
            }
        };
        self.stands.retain(|(_, at), _| *at != worker);
        self.changes += 1;
        let entry = self.workers[worker].clone();
        self.give(Kind::List, Event::List(ListNews::Changes(vec![entry])));
    }

    fn step(&mut self, due: Due) {
        match due {
            Due::Wake => {
                self.give(Kind::Wake, Event::Wake);
            }
            Due::Call => {
                self.call();
                self.later(S / self.options.rate, Due::Call);
            }
            Due::End { request, worker, sent } => {
                let Some((_, attempts)) = self.open.remove(&request) else { return };
                let event = Event::Ended {
                    request: RequestId::from(request.to_string().as_str()),
                    attempt: attempts - 1,
                    worker: self.workers[worker].id.clone(),
                    outcome: Outcome::Ok,
                    elapsed: self.now - sent,
                    answered: true,
                    crowd: None,
                    load_failed: false,
                };
                self.give(Kind::End, event);
            }
            Due::Held { function, worker, sent, stands } => {
                let event = Event::Held {
                    worker: self.workers[worker].id.clone(),
                    function: self.functions[function].clone(),
                    outcome: if stands { Outcome::Ok } else { Outcome::Full },
                    elapsed: self.now - sent,
                    standing: u32::from(stands),
                };
                self.give(Kind::Held, event);
            }
            Due::List => {
                self.retire();
                self.change_list();
                self.later(self.options.change_every, Due::List);
            }
        }
    }

    /// Runs to the end; what the first list cost, which builds everything, comes back apart.
    fn run(&mut self) -> u64 {
        let first = self.give(Kind::List, Event::List(ListNews::Whole(self.workers.clone())));
        self.later(TICK, Due::Call);
        self.later(self.options.change_every, Due::List);
        let end = self.options.seconds * S;
        while let Some(Reverse((at, .., due))) = self.due.pop().filter(|Reverse((at, ..))| *at <= end) {
            self.now = self.now.max(at);
            self.measuring = self.now * 2 > end;
            self.step(due);
        }
        first
    }
}

fn worker(number: usize) -> WorkerEntry {
    WorkerEntry {
        id: WorkerId::from(format!("10.{}.{}.7:9000", number / 256, number % 256).as_str()),
        zone: format!("zone-{}", number % 5),
        kind: "std".into(),
        cell: number as u64 % 40,
        state: WorkerState::In,
        started: None,
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let options = Options::read(std::env::args().skip(1))?;
    let header = options.header;
    let mut probe = Probe::new(options)?;
    let before = resident();
    let first = probe.run();
    let grown = resident().saturating_sub(before);
    let options = &probe.options;
    let span = options.seconds as f64 * 1e9 / 2.0;
    let percent = |kind: usize| 100.0 * probe.costs[kind].total as f64 / span;
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
    for costs in &probe.costs {
        let rate = costs.events as f64 * 1e9 / span;
        let worst = costs.worst as f64 / 1e6;
        write!(out, " {rate:.1}, {:.1}, {worst:.2}, {} |", costs.mean_us(), costs.over)?;
    }
    writeln!(
        out,
        " {:.1} | {control:.2}% | {all:.2}% | {:.1} | {:.0} | {:.1} |",
        probe.after_change.mean_us(),
        first as f64 / 1e6,
        grown as f64 / 1e6,
        probe.orders as f64 * 1e9 / span
    )?;
    print!("{out}");
    Ok(())
}
