//! The records that the dispatcher keeps. They hold data only: decisions and tuning constants are in
//! `rules.rs`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::interface::*;
use crate::order_slots::OrderSlots;
use crate::wanted::PrewarmQueue;

/// Positions in the dispatcher's tables of workers and functions. They stay small: a position is reused once
/// nothing refers to it any more.
pub type WorkerIndex = usize;
pub type FunctionIndex = usize;

/// What is known of a function.
#[derive(Debug, Default)]
pub struct Function {
    pub name: FunctionId,
    pub forecast: Forecast,
    /// Requests with a record: without a final answer, or with an attempt in flight.
    pub requests: u32,
    /// Concurrency of one instance.
    pub concurrency: f64,
    pub memory_mb: f64,
    pub mean_load_time: f64,
    pub mean_run_time: f64,
    /// Whether `mean_run_time` includes an answer from an instance that was known to be loaded.
    pub run_time_confirmed: bool,
    pub last_call_at: Micros,
    /// Whether a worker has ever answered a call of it successfully.
    pub ever_succeeded: bool,
    /// Requests in flight from all gateways, estimated from the counts in answers; 0 until an answer has one.
    pub fleet_in_flight: f64,
    /// How often calls of other gateways alone had kept an instance loaded, as seen by our own calls.
    pub peer_loaded_share: f64,
    /// Where and when an order of ours loaded an instance. It is dropped on release if no call came since.
    pub loaded_by_own_order: Option<(WorkerIndex, Micros)>,
    pub forecast_timer_set: bool,
    /// Requests that wait at the gateway, by deadline.
    pub waiting: BTreeSet<(Micros, RequestId)>,
    pub placements: BTreeMap<WorkerIndex, Placement>,
}

/// What this gateway knows of a function at one worker.
#[derive(Debug, Default)]
pub struct Placement {
    /// When an instance was last seen loaded there.
    pub loaded_seen_at: Option<Micros>,
    /// When the worker last answered that no instance was loaded.
    pub missed_at: Option<Micros>,
    /// When our load order was sent, while it is unanswered.
    pub ordered_at: Option<Micros>,
    /// Loaded instances in the last report.
    pub loaded_instances: u32,
    /// The worker has no capacity for an instance until then.
    pub no_capacity_until: Micros,
    /// Own requests in flight.
    pub in_flight: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    Healthy,
    /// May get one request at a time until one succeeds.
    Probation,
    Excluded,
}

/// A worker as this gateway sees it.
#[derive(Debug, Default)]
pub struct Worker {
    pub list_entry: WorkerEntry,
    /// One for each class, then one for load orders.
    pub health: Vec<Health>,
    pub last_success_at: Micros,
    /// It rejected a load order for lack of capacity, or an order found no free slot on the connections to
    /// it: it gets no prewarm orders until then.
    pub full_until: Micros,
    pub order_slots: OrderSlots,
    pub slow_start: SlowStart,
    /// Own requests in flight.
    pub in_flight: u32,
    pub mean_response_time: f64,
    /// Mean of own requests in flight at the time when the measured requests were sent.
    pub mean_in_flight: f64,
    /// Functions that have a placement for this worker.
    pub functions: BTreeSet<FunctionIndex>,
}

/// Limits what is sent to a cold worker, in half windows of [`ColdStart::overload_window`].
#[derive(Debug, Default)]
pub struct SlowStart {
    /// When the start of the process became known here.
    pub since: Micros,
    /// Seed of the random draws for this process.
    pub seed: u64,
    /// The half window of the last request sent to it.
    pub half_window: u64,
    /// Requests that may still be sent in that half window.
    pub remaining: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    InFlight,
    NeverRan,
    MayHaveRun,
}

/// An attempt of a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub worker: WorkerIndex,
    pub sent_at: Micros,
    /// An instance was believed to be loaded there when the attempt was sent.
    pub believed_loaded: bool,
    /// The same, from our own recent evidence.
    pub known_loaded: bool,
    /// It failed there: the next attempt goes to another worker.
    pub avoid_worker: bool,
    /// Number of home workers of the function when the attempt was sent.
    pub home_count: f64,
    pub expected_time: f64,
    /// Own requests in flight at the worker when the attempt was sent, this one included.
    pub worker_in_flight: f64,
    pub state: AttemptState,
}

/// A request; its record is kept after the answer while an attempt is in flight.
#[derive(Debug)]
pub struct RequestRecord {
    pub request: Request,
    pub function: FunctionIndex,
    /// Drawn once, from [0, 1): decides wherever only a share of the requests is admitted.
    pub random_draw: f64,
    pub arrived_at: Micros,
    pub deadline: Micros,
    pub attempts: Vec<Attempt>,
    pub finished: bool,
    pub streaming: bool,
}

impl Attempt {
    pub fn new(worker: WorkerIndex, sent_at: Micros) -> Self {
        let (expected_time, worker_in_flight, home_count) = (0.0, 0.0, 0.0);
        Self {
            worker,
            sent_at,
            believed_loaded: false,
            known_loaded: false,
            avoid_worker: false,
            home_count,
            expected_time,
            worker_in_flight,
            state: AttemptState::InFlight,
        }
    }
}

impl RequestRecord {
    pub fn new(request: Request, function: FunctionIndex, arrived_at: Micros) -> Self {
        let deadline = arrived_at.saturating_add(request.time_left);
        let attempts = Vec::new();
        Self {
            request,
            function,
            random_draw: 0.0,
            arrived_at,
            deadline,
            attempts,
            finished: false,
            streaming: false,
        }
    }

    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.state == AttemptState::InFlight)
    }

    pub fn never_ran(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.state == AttemptState::NeverRan)
    }
}

/// Timers due at the same time run in the order of the variants.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    Deadline(RequestId),
    Forecast(FunctionIndex),
    Sweep,
    SubscribeToList,
}

/// Counts over the workers in service, refreshed regularly and at each update of the worker list.
#[derive(Debug, Default)]
pub struct Fleet {
    pub in_service: f64,
    /// Workers past their cold start.
    pub warmed_up: f64,
    /// Fewer than half the workers are above the target response time.
    pub mostly_within_target: bool,
    /// Too few workers look healthy for the failures to be theirs: health is ignored.
    pub ignore_health: bool,
}

/// Running means of times and rates over all functions and workers.
#[derive(Debug, Default)]
pub struct Means {
    pub class_run_time: Vec<f64>,
    pub run_time: f64,
    pub load_time: f64,
    /// Successes on warmed-up workers since the last refresh of `warm_worker_rate`.
    pub warm_successes: f64,
    /// Successes of one warmed-up worker for this gateway, in one microsecond.
    pub warm_worker_rate: f64,
    /// How often calls of other gateways alone had kept an instance loaded, over all functions.
    pub peer_loaded_share: f64,
}

/// Predicts the next call of a function: exponential gaps at the rate of its last arrivals.
#[derive(Debug, Default)]
pub struct Forecast {
    pub arrivals: VecDeque<Micros>,
    pub load_at: Micros,
    pub release_at: Micros,
    /// Calls were announced for the time until then, so it isn't released earlier.
    pub expected_until: Micros,
}

/// The health of a worker for one class of requests or for load orders, from outcomes alone.
#[derive(Clone, Debug, Default)]
pub struct Health {
    pub failure_score: f64,
    pub last_failure_at: Micros,
    /// If suspect: excluded until then, on probation after.
    pub excluded_until: Micros,
    pub suspect: bool,
    pub last_success_at: Micros,
}

/// Load orders: the prewarms that wait to be ordered, and what the order budgets are counted from.
#[derive(Debug, Default)]
pub struct LoadOrders {
    pub prewarms: PrewarmQueue,
    /// Token bucket of prewarm orders.
    pub prewarm_tokens: f64,
    /// When the orders within the budget's window were sent.
    pub order_times: VecDeque<Micros>,
    /// When the served requests within the budget's window arrived.
    pub call_times: VecDeque<Micros>,
}

impl LoadOrders {
    /// Removes an order that was issued at that time and never sent: it doesn't count for the budget.
    pub fn remove_order(&mut self, issued_at: Micros) {
        if let Some(position) = self.order_times.iter().rposition(|at| *at == issued_at) {
            self.order_times.remove(position);
        }
    }

    /// Forgets orders older than the window plus the margin, and calls older than the window less the margin.
    pub fn forget_before(&mut self, now: Micros, window: Micros, margin: Micros) {
        while self.order_times.front().is_some_and(|at| at + window + margin < now) {
            self.order_times.pop_front();
        }
        while self.call_times.front().is_some_and(|at| at + window < now + margin) {
            self.call_times.pop_front();
        }
    }
}

impl Function {
    /// When it will have had neither calls nor a live forecast for `span`, if nothing happens until then.
    pub fn idle_deadline(&self, span: Micros) -> Micros {
        let idle = self.last_call_at.max(self.forecast.expected_until).saturating_add(span);
        if self.forecast_timer_set { idle.max(self.forecast.release_at) } else { idle }
    }

    /// Removes everything that refers to a worker.
    pub fn forget_worker(&mut self, worker: WorkerIndex) {
        self.placements.remove(&worker);
        self.loaded_by_own_order = self.loaded_by_own_order.filter(|(at, _)| *at != worker);
    }
}

impl Placement {
    /// Discards what was known of loaded instances and of capacity, as the worker's process may be a new one.
    pub fn clear(&mut self) {
        self.forget_instances();
        self.no_capacity_until = 0;
    }

    /// Discards what was known of loaded instances. A pause for lack of capacity stays.
    pub fn forget_instances(&mut self) {
        (self.loaded_seen_at, self.loaded_instances) = (None, 0);
    }
}

impl Worker {
    /// Until when it accepts no prewarm order.
    pub fn no_prewarm_until(&self) -> Micros {
        if self.list_entry.state == WorkerState::InService { self.full_until } else { Micros::MAX }
    }
}

impl Forecast {
    /// Arrivals in one microsecond; 0 until two arrivals differ in time.
    pub fn rate(&self) -> f64 {
        match (self.arrivals.front(), self.arrivals.back()) {
            (Some(first), Some(last)) if last > first => self.arrivals.len() as f64 / (last - first) as f64,
            _ => 0.0,
        }
    }
}

impl Means {
    pub fn new(classes: usize) -> Self {
        Self { class_run_time: vec![0.0; classes], peer_loaded_share: 1.0, ..Self::default() }
    }
}

/// Moves an exponential running mean towards a sample; the first sample becomes the mean.
pub fn update_mean(mean: &mut f64, sample: f64, weight: f64) {
    *mean = if *mean > 0.0 { *mean + weight * (sample - *mean) } else { sample };
}
