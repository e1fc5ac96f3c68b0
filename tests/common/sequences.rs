//! Random sequences of events for a dispatcher with a simulated gateway and simulated workers around it. The
//! actions depend on the seed only, so their digests tell whether two versions of the module decide alike.

use std::collections::{BTreeMap, BTreeSet};

use cresswheel::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;
use xxhash_rust::xxh3::Xxh3;

use super::{MS, S, class, settings};

const TICK: Micros = 2 * MS;
const LENGTH: Micros = 200 * S;
const WORKERS: u32 = 24;
const FUNCTIONS: u32 = 500;

/// Number of sequences.
pub const SEQUENCES: u64 = 10;

/// The actions of one sequence.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct SequenceResult {
    /// Digest of all actions with their times.
    pub digest: u64,
    /// Digest of all actions except [`Action::WakeAfter`].
    pub digest_without_wakes: u64,
    /// Number of actions of each kind.
    pub actions: BTreeMap<&'static str, usize>,
}

/// The settings of each sequence: with and without orders, a rate limit on orders, further gateways and slow
/// start.
fn settings_of(sequence: u64) -> Settings {
    let order_limit = Some(OrderRateLimit { window: 5 * S, base_orders: 4.0, per_request: 0.1 });
    let base = Settings { keep_alive: 3 * S, ..settings() };
    let miss = Settings { miss_policy: MissPolicy::Miss, ..base.clone() };
    let slow_start =
        ColdStart { initial_share: 0.1, warm_up: 20 * S, overload_multiple: 1.5, overload_window: 3 * S };
    match sequence {
        0 => base,
        1 => Settings { gateways: 3, ..base },
        2 => miss,
        3 => Settings { gateways: 40, order_rate_limit: order_limit, ..miss },
        4 => Settings { may_prewarm: false, ..base },
        5 => Settings { may_prewarm: false, must_subscribe: true, gateways: 12, ..miss },
        6 => Settings {
            order_rate_limit: order_limit,
            cold_start: slow_start,
            reports_in_flight: true,
            ..base
        },
        7 => Settings { gateways: 200, cold_start: slow_start, reports_in_flight: true, ..miss },
        8 => Settings { keep_alive: 500 * MS, retry_after: true, max_retry_after: 2 * S, ..base },
        _ => Settings { classes: vec![class("short", Effect::Safe)], keep_alive: 9 * S, gateways: 2, ..base },
    }
}

/// An event that is scheduled.
enum Scheduled {
    Wake,
    AttemptEnd { request: RequestId, attempt: usize, worker: WorkerId, outcome: Outcome, sent: Micros },
    OrderAnswer { worker: WorkerId, function: FunctionId, outcome: Outcome, loaded: u32, sent: Micros },
}

/// The simulated gateway and workers of one sequence.
struct Simulation {
    settings: Settings,
    module: Dispatcher,
    rng: Pcg32,
    now: Micros,
    /// By time, then in the order of scheduling.
    schedule: BTreeMap<(Micros, u64), Scheduled>,
    next_number: u64,
    worker_list: Vec<WorkerEntry>,
    workers_created: u32,
    /// Until when an instance stays loaded.
    loaded_until: BTreeMap<(WorkerId, FunctionId), Micros>,
    /// Attempts sent, by request.
    attempts: BTreeMap<RequestId, usize>,
    /// Requests without a final answer.
    open_requests: BTreeSet<RequestId>,
    all_actions: Xxh3,
    without_wakes: Xxh3,
    action_counts: BTreeMap<&'static str, usize>,
}

/// Simulates one sequence to its end.
pub fn simulate(sequence: u64) -> SequenceResult {
    let settings = settings_of(sequence);
    let mut simulation = Simulation {
        module: Dispatcher::new(settings.clone(), sequence).expect("valid settings"),
        settings,
        rng: Pcg32::new(sequence, 7),
        now: 0,
        schedule: BTreeMap::new(),
        next_number: 0,
        worker_list: Vec::new(),
        workers_created: 0,
        loaded_until: BTreeMap::new(),
        attempts: BTreeMap::new(),
        open_requests: BTreeSet::new(),
        all_actions: Xxh3::new(),
        without_wakes: Xxh3::new(),
        action_counts: BTreeMap::new(),
    };
    simulation.run();
    SequenceResult {
        digest: simulation.all_actions.digest(),
        digest_without_wakes: simulation.without_wakes.digest(),
        actions: simulation.action_counts,
    }
}

impl Simulation {
    /// A random number below `n`.
    fn below(&mut self, n: u32) -> u32 {
        self.rng.next_u32() % n
    }

    fn run(&mut self) {
        self.worker_list = (0..WORKERS).map(|_| self.new_worker()).collect();
        self.handle(Event::List(WorkerListUpdate::Complete(self.worker_list.clone())));
        while self.now < LENGTH {
            self.now += TICK;
            while let Some((_, scheduled)) = self.next_due() {
                let event = self.event(scheduled);
                event.into_iter().for_each(|event| self.handle(event));
            }
            // About 100 calls per second, with a quiet period in every 40 s.
            let quiet = (self.now / S) % 40 > 33;
            if self.below(if quiet { 60 } else { 5 }) == 0 {
                self.new_call();
            }
            if self.below(800) == 0 {
                self.update_list();
            }
            if self.below(1_500) == 0 {
                let (function, like) = (self.function(), self.function());
                let within = Micros::from(self.below(8_000)) * MS;
                self.handle(Event::CallsExpected { function, similar_to: like, within });
            }
        }
    }

    /// A random function, mostly of a small working set that moves on every 50 s, so that functions fall out
    /// of use.
    fn function(&mut self) -> FunctionId {
        let base = (self.now / (50 * S)) as u32 * 40;
        let count = [6, 6, 6, 40, 40, 40, 40, FUNCTIONS][self.below(8) as usize];
        let number = (base + self.below(count)) % FUNCTIONS;
        FunctionId::from(format!("f{number}").as_str())
    }

    fn new_call(&mut self) {
        self.next_number += 1;
        let (id, function) = (RequestId::from(format!("r{}", self.next_number).as_str()), self.function());
        let number: u32 = function.0[1..].parse().expect("a number");
        let request = Request {
            id: id.clone(),
            class: self.below(self.settings.classes.len() as u32) as usize,
            tenant: None,
            function,
            time_left: Micros::from(200 + self.below(4_800)) * MS,
            memory_mb: Some(f64::from(300 + number % 7 * 100)),
            concurrency: Some(1 + number % 4),
            load_time: number.is_multiple_of(5).then_some(900 * MS),
        };
        self.open_requests.insert(id.clone());
        self.handle(Event::Arrived(request));
        if self.below(60) == 0 && self.open_requests.remove(&id) {
            self.handle(Event::ClientLeft(id));
        }
    }

    fn new_worker(&mut self) -> WorkerEntry {
        self.workers_created += 1;
        WorkerEntry {
            started: (self.now > 0).then_some(self.now),
            ..super::worker(self.workers_created as usize)
        }
    }

    /// Changes a worker (drain, departure, replacement under a new name, restart) and sends an update of the
    /// list, or reports that the list was lost.
    fn update_list(&mut self) {
        let changed = self.below(WORKERS) as usize;
        match self.below(6) {
            0 => self.worker_list[changed].state = WorkerState::Draining,
            1 => self.worker_list[changed].state = WorkerState::OutOfService,
            2 => self.worker_list[changed] = self.new_worker(),
            3 => self.worker_list[changed].started = Some(self.now),
            _ => {}
        }
        // Another one returns, so that most workers stay listed.
        let returning = self.below(WORKERS) as usize;
        self.worker_list[returning].state = WorkerState::InService;
        let in_service =
            self.worker_list.iter().filter(|w| w.state == WorkerState::InService).cloned().collect();
        let changes = vec![self.worker_list[changed].clone(), self.worker_list[returning].clone()];
        let update = match self.below(5) {
            0 | 1 => WorkerListUpdate::Complete(in_service),
            2 => WorkerListUpdate::Unavailable,
            _ => WorkerListUpdate::Changes(changes),
        };
        self.handle(Event::List(update));
    }

    fn next_due(&mut self) -> Option<((Micros, u64), Scheduled)> {
        let (at, _) = *self.schedule.first_key_value()?.0;
        if at <= self.now { self.schedule.pop_first() } else { None }
    }

    fn event(&mut self, scheduled: Scheduled) -> Option<Event> {
        Some(match scheduled {
            Scheduled::Wake => Event::Wake,
            Scheduled::AttemptEnd { request, attempt, worker, outcome, sent } => {
                let answered = outcome == Outcome::Ok && self.open_requests.remove(&request);
                let crowd = (attempt == 0).then(|| self.below(3));
                let elapsed = self.now - sent;
                let load_failed = outcome == Outcome::Error && crowd == Some(0);
                Event::AttemptEnded {
                    request,
                    attempt,
                    worker,
                    outcome,
                    elapsed,
                    answered,
                    worker_in_flight: crowd,
                    load_failed,
                }
            }
            Scheduled::OrderAnswer { worker, function, outcome, loaded, sent } => Event::PrewarmEnded {
                worker,
                function,
                outcome,
                elapsed: self.now - sent,
                loaded_instances: loaded,
            },
        })
    }

    /// Passes an event to the module and executes the actions.
    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.module.handle(self.now, event, &mut actions);
        for action in actions {
            self.record(&action);
            self.execute(action);
        }
    }

    /// Adds an action to the digests and counts.
    fn record(&mut self, action: &Action) {
        let line = format!("{} {action:?}\n", self.now);
        self.all_actions.update(line.as_bytes());
        let kind = match action {
            Action::Send { .. } => "send",
            Action::Refuse { .. } => "refuse",
            Action::Fail { .. } => "fail",
            Action::Hold { .. } => "hold",
            Action::Drop { .. } => "drop",
            Action::Forget(_) => "forget",
            Action::WakeAfter(_) => "wake",
            _ => "other",
        };
        *self.action_counts.entry(kind).or_default() += 1;
        if kind != "wake" {
            self.without_wakes.update(line.as_bytes());
        }
    }

    fn schedule_after(&mut self, delay: Micros, event: Scheduled) {
        self.next_number += 1;
        self.schedule.insert((self.now + delay, self.next_number), event);
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::WakeAfter(delay) => self.schedule_after(delay, Scheduled::Wake),
            Action::Send { request, worker, timeout } => {
                let attempt = self.attempts.entry(request.clone()).or_default();
                *attempt += 1;
                let attempt = *attempt - 1;
                let (outcome, duration) = self.serve(&worker, timeout);
                let sent = self.now;
                self.schedule_after(
                    duration,
                    Scheduled::AttemptEnd { request, attempt, worker, outcome, sent },
                );
            }
            Action::Hold { worker, function, .. } => self.answer_order(worker, function),
            Action::Drop { worker, function } => {
                self.loaded_until.remove(&(worker, function));
            }
            Action::Refuse { request, .. } | Action::Fail { request } => {
                self.open_requests.remove(&request);
            }
            _ => {}
        }
    }

    /// The outcome of an attempt at a worker, and how long it takes.
    fn serve(&mut self, worker: &WorkerId, timeout: Micros) -> (Outcome, Micros) {
        let short = Micros::from(1 + self.below(40)) * MS;
        let long = Micros::from(100 + self.below(900)) * MS;
        let miss = self.settings.miss_policy == MissPolicy::Miss;
        // Some workers fail more often than others.
        let unreliable = worker.0.len().is_multiple_of(2);
        match self.below(if unreliable { 60 } else { 200 }) {
            0 => (Outcome::Error, short),
            1 => (Outcome::Full, short),
            2 => (Outcome::Timeout, timeout),
            3 => (Outcome::ConnectFailed, short),
            4 => (Outcome::Reset, short),
            5 => (Outcome::NotSent, 1),
            6..12 if miss => (Outcome::Miss, short),
            6..12 => (Outcome::Ok, long.min(timeout)),
            _ => (Outcome::Ok, short.min(timeout)),
        }
    }

    /// Schedules a worker's answer to a prewarm order.
    fn answer_order(&mut self, worker: WorkerId, function: FunctionId) {
        let (now, keep_alive) = (self.now, self.settings.keep_alive);
        let was_loaded =
            self.loaded_until.get(&(worker.clone(), function.clone())).is_some_and(|until| *until > now);
        let (outcome, loaded, duration) = match self.below(12) {
            0 => (Outcome::Full, u32::from(was_loaded), MS),
            1 => (Outcome::Error, 0, MS),
            2 if !was_loaded => (Outcome::Timeout, 0, S),
            3 if !was_loaded => (Outcome::ConnectFailed, 0, 30 * MS),
            _ if was_loaded => (Outcome::Ok, 1, 3 * MS),
            _ => (Outcome::Ok, 1, Micros::from(300 + self.below(900)) * MS),
        };
        if outcome == Outcome::Ok {
            self.loaded_until.insert((worker.clone(), function.clone()), now + duration + keep_alive);
        }
        self.schedule_after(
            duration,
            Scheduled::OrderAnswer { worker, function, outcome, loaded, sent: now },
        );
    }
}
