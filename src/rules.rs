//! All decisions of a gateway: which worker gets a request, which instances are loaded ahead of calls, and
//! when a request is refused. The types of its interface are in `interface.rs`.
//!
//! The normal path is the Tyche algorithm: a forecast from the last arrivals of each function orders an
//! instance at the function's home worker on the hash ring just before the next call, and releases it when
//! the next call is clearly overdue. Requests go first to a home where an instance is believed to be loaded.
//! Everything else enforces limits or handles failures. A gateway decides for its own part of the calls, one
//! in `settings.gateways`, so that the decisions of one or of hundreds of gateways add up to the same totals.

use std::collections::{BTreeMap, BTreeSet};

use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::idle::IdleQueue;
use crate::interface::*;
use crate::order_slots::OrderSlots;
use crate::ring::Ring;
use crate::state::*;
use crate::wanted::LoadTimeSource;

/// Arrivals in a function's forecast window (W in the Tyche paper): enough to smooth bursts, few enough to
/// follow a change within a few keep-alives.
const FORECAST_ARRIVALS: usize = 16;
/// Probability of a call by which an instance must be loaded (P_load, value of the Tyche paper).
const LOAD_PROBABILITY: f64 = 0.06;
/// Probability of a call by which, if none came, the forecast was wrong (P_offload, the paper's
/// value).
const RELEASE_PROBABILITY: f64 = 0.94;
/// Share of the keep-alive after which a loaded instance is renewed: leaves time for a slow or lost answer.
const RENEWAL_SHARE: f64 = 0.6;
/// Share of the keep-alive for which an instance that was seen counts as loaded: it may be evicted earlier to
/// make capacity for another load.
const KNOWN_LOADED_SHARE: f64 = 0.9;
/// Probability from which an instance is believed loaded without evidence of our own: how often one was,
/// times the square of the peers' share of calls, because the calls of few peers say less than our own.
const MIN_PEER_LOADED_PROBABILITY: f64 = 0.5;
/// Share of an instance's concurrency that is planned for a home: other functions share the worker's cores.
const PLANNED_CONCURRENCY_SHARE: f64 = 0.3;
/// Prewarm orders for each call, so that the orders of all gateways stay in proportion to the calls.
const PREWARM_TOKENS_PER_CALL: f64 = 0.5;
/// Limit of the token bucket of prewarm orders.
const MAX_PREWARM_TOKENS: f64 = 8.0;
/// Points of each worker on the hash ring: the parts of the ring then differ by about a tenth.
const RING_POINTS_PER_WORKER: u64 = 100;
/// Weight of a new sample in running means.
const MEAN_WEIGHT: f64 = 0.1;
/// Target of a worker's mean response time, as a share of the shortest latency objective; above it, the
/// requests in flight are limited. Response times are roughly exponential, so at half the objective most are
/// in time.
const TARGET_RESPONSE_SHARE: f64 = 0.5;
/// Workers after the homes in ring order that may replace them: keeps a function's requests on few workers.
const FALLBACK_WORKERS: usize = 3;
/// A failure adds one to a worker's failure score, a success leaves this share of it.
const SCORE_KEPT_ON_SUCCESS: f64 = 0.8;
/// Failure score from which a worker is excluded: two failures with at most one success between them.
const SUSPECT_SCORE: f64 = 1.75;
/// Share of the keep-alive for which a suspect is excluded, but at least one latency objective; then one
/// success clears it. By then its functions are loaded elsewhere, and few requests would have reached it
/// sooner.
const EXCLUSION_SHARE: f64 = 0.5;
/// Below this share of healthy workers, health is ignored: the fault is more likely in the network or in this
/// gateway.
const MIN_HEALTHY_SHARE: f64 = 0.34;
/// Timeout of an attempt that may be repeated, in expected times, but at least two latency objectives: a late
/// repeat is worth little.
const TIMEOUT_MULTIPLE: f64 = 8.0;
/// Share of the permitted load of a cold worker that is used; the rest allows for peers and random peaks.
const COLD_LOAD_SHARE: f64 = 0.6;
/// Retries of attempts that may have run, for each request: while calls fail, retries add at most a fifth.
const RETRY_TOKENS_PER_REQUEST: f64 = 0.2;
/// Limit of the token bucket of retries.
const MAX_RETRY_TOKENS: f64 = 8.0;
/// Keep-alives after which an uncalled function, or a worker that is out of service and has answered nothing,
/// is forgotten: its forecast and its instances have ended long before. A function of which no call ever
/// succeeded is forgotten after one.
const FORGET_AFTER_KEEP_ALIVES: u64 = 16;
/// Sweeps in one shortest latency objective; a sweep reviews prewarms and dispatches waiting requests.
const SWEEPS_PER_OBJECTIVE: u64 = 16;

impl Forecast {
    fn record_arrival(&mut self, now: Micros) {
        self.arrivals.push_back(now);
        if self.arrivals.len() > FORECAST_ARRIVALS {
            self.arrivals.pop_front();
        }
        let rate = self.rate();
        if rate > 0.0 {
            self.load_at = now.saturating_add((-(1.0 - LOAD_PROBABILITY).ln() / rate) as Micros);
            let release = now.saturating_add((-(1.0 - RELEASE_PROBABILITY).ln() / rate) as Micros);
            self.release_at = release.max(self.expected_until);
        }
    }

    /// A lower bound of the arrival rate: the count less its standard error, over the time until now. It is
    /// near zero for a few arrivals close together, and falls while no call comes.
    fn rate_lower_bound(&self, now: Micros) -> f64 {
        let gaps = self.arrivals.len().saturating_sub(1) as f64;
        let span = now.saturating_sub(self.arrivals.front().copied().unwrap_or(now));
        (gaps - gaps.sqrt()) / span.max(1) as f64
    }
}

impl Health {
    fn state(&self, now: Micros) -> HealthState {
        match self.suspect {
            false => HealthState::Healthy,
            true if now < self.excluded_until => HealthState::Excluded,
            true => HealthState::Probation,
        }
    }

    fn record_failure(&mut self, now: Micros, score: f64, exclusion: f64) {
        // Earlier failures count less with their age, and nothing after four exclusion times.
        let age = now.saturating_sub(std::mem::replace(&mut self.last_failure_at, now)) as f64;
        self.failure_score = self.failure_score * (1.0 - age / (4.0 * exclusion)).max(0.0) + score;
        let state = self.state(now);
        if state == HealthState::Probation
            || (state == HealthState::Healthy && self.failure_score >= SUSPECT_SCORE)
        {
            self.excluded_until = now.saturating_add(exclusion as Micros);
            self.suspect = true;
        }
    }

    fn record_success(&mut self, now: Micros) {
        self.last_success_at = now;
        self.failure_score *= if self.suspect { 0.0 } else { SCORE_KEPT_ON_SUCCESS };
        self.suspect = false;
    }
}

impl Worker {
    /// Whether one more request keeps the worker near the target response time. By Little's law, the limit in
    /// flight is the observed mean times the target over the observed response time, scaled by the class
    /// weight; a limit below one admits that share of the requests, by random draw. At least `floor` (an
    /// instance's concurrency over the gateways) is always admitted: slow responses from loads are not
    /// overload.
    fn accepts_another(&self, target: f64, class_weight: f64, floor: f64, random_draw: f64) -> bool {
        let limit =
            (self.mean_in_flight * target / self.mean_response_time.max(1.0) * class_weight).max(floor);
        let fraction = if limit < 1.0 { random_draw } else { 0.0 };
        self.mean_response_time <= target || f64::from(self.in_flight) + fraction < limit
    }

    /// The share of its capacity that a worker is sure to have at this time.
    fn capacity_share(&self, cold: &ColdStart, at: Micros) -> f64 {
        let warm_at = self.list_entry.started.map_or(0, |start| start.saturating_add(cold.warm_up));
        let remaining = warm_at.saturating_sub(at).min(cold.warm_up) as f64 / cold.warm_up.max(1) as f64;
        1.0 - (1.0 - cold.initial_share) * remaining
    }

    /// The number of the current half window since its start became known. The first one is shortened at
    /// random, so that the gateways are out of phase.
    fn half_window(&self, cold: &ColdStart, now: Micros) -> u64 {
        let length = (cold.overload_window / 2).max(1);
        (now.saturating_sub(self.slow_start.since) + self.slow_start.seed % length) / length
    }
}

/// The decisions of one gateway.
#[derive(Debug)]
pub struct Dispatcher {
    settings: Settings,
    rng: Pcg32,
    /// The shortest latency objective of all classes.
    min_objective: Micros,
    function_indices: BTreeMap<FunctionId, FunctionIndex>,
    pub(crate) functions: Vec<Function>,
    free_function_indices: Vec<FunctionIndex>,
    worker_indices: BTreeMap<WorkerId, WorkerIndex>,
    pub(crate) workers: Vec<Worker>,
    free_worker_indices: Vec<WorkerIndex>,
    pub(crate) ring: Ring,
    pub(crate) orders: LoadOrders,
    pub(crate) idle_functions: IdleQueue,
    requests: BTreeMap<RequestId, RequestRecord>,
    /// Functions with requests that wait at the gateway.
    functions_waiting: BTreeSet<FunctionIndex>,
    timers: BTreeSet<(Micros, Timer)>,
    /// The earliest wake-up that was asked for and is still to come.
    wake_at: Option<Micros>,
    /// Token bucket of retries of attempts that may have run.
    retry_tokens: f64,
    means: Means,
    fleet: Fleet,
    now: Micros,
    /// When the rate of warmed-up workers was last refreshed and unused records were forgotten.
    refreshed_at: Micros,
    actions: Vec<Action>,
}

impl Dispatcher {
    /// A gateway that knows only its settings. `seed` feeds a PCG-32 generator for random draws and ties.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let min_objective = settings.classes.iter().map(|class| class.latency_objective).min().unwrap_or(1);
        Ok(Self {
            rng: Pcg32::new(seed, 0x0a02_bdbf_7bb3_c0a7),
            min_objective,
            function_indices: BTreeMap::new(),
            functions: Vec::new(),
            free_function_indices: Vec::new(),
            worker_indices: BTreeMap::new(),
            workers: Vec::new(),
            free_worker_indices: Vec::new(),
            ring: Ring::new(RING_POINTS_PER_WORKER),
            orders: LoadOrders::default(),
            idle_functions: IdleQueue::default(),
            requests: BTreeMap::new(),
            functions_waiting: BTreeSet::new(),
            timers: BTreeSet::new(),
            wake_at: None,
            retry_tokens: MAX_RETRY_TOKENS / 2.0,
            means: Means::new(settings.classes.len()),
            fleet: Fleet::default(),
            now: 0,
            refreshed_at: 0,
            actions: Vec::new(),
            settings,
        })
    }

    /// Handles one event at the time `now` and appends the actions to carry out, in order.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.timers.is_empty() {
            self.refreshed_at = self.now;
            self.timers.insert((now, Timer::Sweep));
            self.actions.extend(self.settings.must_subscribe.then_some(Action::Follow));
        }
        match event {
            Event::Arrived(request) => self.request_arrived(request),
            Event::AttemptEnded {
                request,
                attempt,
                outcome,
                elapsed,
                answered,
                worker_in_flight: crowd,
                load_failed,
                ..
            } => {
                let worker_load = crowd.filter(|_| self.settings.reports_in_flight);
                self.attempt_ended(&request, attempt, outcome, elapsed, (answered, worker_load, load_failed));
            }
            Event::StreamStarted { request, .. } => {
                self.requests.entry(request).and_modify(|record| record.streaming = true);
            }
            Event::ClientLeft(request) => self.finish(&request),
            Event::FunctionUnneeded(function) => self.function_unneeded(&function),
            Event::List(news) => self.update_worker_list(news),
            Event::PrewarmEnded { worker, function, outcome, elapsed, loaded_instances: standing } => {
                self.load_ended(&worker, &function, outcome, elapsed, standing);
            }
            Event::Probed { .. } => {}
            Event::CallsExpected { function, similar_to: like, within } => {
                self.calls_expected(function, &like, within)
            }
            Event::Wake => self.wake_at = self.wake_at.filter(|at| *at > self.now),
        }
        while let Some((_, timer)) = self.timers.first().filter(|(at, _)| *at <= self.now).cloned() {
            self.timers.pop_first();
            match timer {
                Timer::Deadline(id) => self.refuse_or_fail(&id),
                Timer::Forecast(function) => self.forecast_due(function),
                Timer::Sweep => self.sweep(),
                Timer::SubscribeToList => self.actions.push(Action::Follow),
            }
        }
        let next = self.timers.first().map(|(at, _)| *at);
        if let Some(at) = next.filter(|at| self.wake_at.is_none_or(|wake| *at < wake)) {
            self.actions.push(Action::WakeAfter(at - self.now));
            self.wake_at = Some(at);
        }
        actions.append(&mut self.actions);
    }

    /// A random number in [0, 1).
    fn random_draw(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    fn update_worker_list(&mut self, news: WorkerListUpdate) {
        let mut changed = BTreeSet::new();
        let entries = match news {
            WorkerListUpdate::Unavailable => {
                if self.settings.must_subscribe {
                    self.timers.insert((
                        self.now + self.settings.list_poll_interval / 8 + self.min_objective,
                        Timer::SubscribeToList,
                    ));
                }
                return;
            }
            WorkerListUpdate::Complete(entries) => {
                let listed: BTreeSet<_> = entries.iter().map(|entry| &entry.id).collect();
                for (_, worker) in self.worker_indices.iter().filter(|(id, _)| !listed.contains(id)) {
                    self.workers[*worker].list_entry.state = WorkerState::OutOfService;
                    changed.insert(*worker);
                }
                entries
            }
            WorkerListUpdate::Changes(entries) => entries,
        };
        for entry in entries {
            let free_index = self.free_worker_indices.last().copied().unwrap_or(self.workers.len());
            let index = *self.worker_indices.entry(entry.id.clone()).or_insert(free_index);
            if self.free_worker_indices.last() == Some(&index) {
                self.free_worker_indices.pop();
            } else if index == self.workers.len() {
                self.workers.push(Worker::default());
            }
            if self.workers[index].list_entry.started != entry.started
                || self.workers[index].health.is_empty()
            {
                // A new process: nothing is loaded, it is cold, and failures of the old process don't count.
                let worker = &mut self.workers[index];
                worker.health = vec![Health::default(); self.settings.classes.len() + 1];
                worker.slow_start =
                    SlowStart { since: self.now, seed: self.rng.next_u64(), ..SlowStart::default() };
                worker.order_slots = OrderSlots::default();
                self.update_placements(index, Placement::clear);
            }
            if self.workers[index].list_entry.state != entry.state {
                changed.insert(index);
            }
            self.workers[index].list_entry = entry;
        }
        if !changed.is_empty() {
            self.ring.update(&changed, &self.workers);
            changed.into_iter().for_each(|worker| self.orders.prewarms.worker_changed(worker));
        }
        self.update_fleet();
        self.dispatch_all_waiting();
    }

    /// Changes what is known of each function at a worker.
    fn update_placements(&mut self, worker: WorkerIndex, change: fn(&mut Placement)) {
        for function in &self.workers[worker].functions {
            change(self.functions[*function].placements.entry(worker).or_default());
        }
    }

    fn update_fleet(&mut self) {
        self.fleet = Fleet::default();
        let (mut healthy, mut busy) = (0.0, 0.0);
        for worker in self.workers.iter().filter(|worker| worker.list_entry.state == WorkerState::InService) {
            self.fleet.in_service += 1.0;
            self.fleet.warmed_up +=
                f64::from(u8::from(worker.capacity_share(&self.settings.cold_start, self.now) >= 1.0));
            busy += f64::from(u8::from(
                worker.mean_response_time > self.min_objective as f64 * TARGET_RESPONSE_SHARE,
            ));
            healthy += f64::from(u8::from(
                worker.health.iter().all(|health| health.state(self.now) == HealthState::Healthy),
            ));
        }
        self.fleet.mostly_within_target = busy < 0.5 * self.fleet.in_service;
        self.fleet.ignore_health = healthy < MIN_HEALTHY_SHARE * self.fleet.in_service;
    }

    fn request_arrived(&mut self, request: Request) {
        if self.requests.contains_key(&request.id) {
            return;
        }
        self.retry_tokens = (self.retry_tokens + RETRY_TOKENS_PER_REQUEST).min(MAX_RETRY_TOKENS);
        self.orders.prewarm_tokens =
            (self.orders.prewarm_tokens + PREWARM_TOKENS_PER_CALL).min(MAX_PREWARM_TOKENS);
        let index = self.function_index(&request.function);
        let function = &mut self.functions[index];
        self.orders.prewarms.function_changing(index, function.forecast.release_at);
        function.forecast.record_arrival(self.now);
        function.last_call_at = self.now;
        function.concurrency = f64::from(request.concurrency.unwrap_or(1).max(1));
        function.memory_mb = request.memory_mb.unwrap_or(0.0);
        if let (Some(load_time), true) = (request.load_time, function.mean_load_time <= 0.0) {
            function.mean_load_time = load_time as f64;
        }
        if !function.forecast_timer_set && function.forecast.release_at > self.now {
            function.forecast_timer_set = true;
            self.timers.insert((function.forecast.load_at, Timer::Forecast(index)));
        }
        self.idle_functions.check_no_later_than(index, self.forgettable_from(index));
        let id = request.id.clone();
        let deadline = self.now.saturating_add(request.time_left);
        self.timers.insert((deadline, Timer::Deadline(id.clone())));
        let record =
            RequestRecord { random_draw: self.random_draw(), ..RequestRecord::new(request, index, self.now) };
        self.requests.insert(id.clone(), record);
        self.functions[index].requests += 1;
        self.dispatch(&id);
    }

    /// The index of a function; an unknown one is added.
    fn function_index(&mut self, name: &FunctionId) -> FunctionIndex {
        if let Some(index) = self.function_indices.get(name) {
            return *index;
        }
        let index = self.free_function_indices.pop().unwrap_or(self.functions.len());
        if index == self.functions.len() {
            self.functions.push(Function::default());
        }
        self.function_indices.insert(name.clone(), index);
        let (name, peer_loaded_share) = (name.clone(), self.means.peer_loaded_share);
        self.functions[index] = Function { name, peer_loaded_share, ..Function::default() };
        index
    }

    /// Frees the records of functions and workers that nothing refers to: the number of names that ever occur
    /// is unbounded.
    fn forget_unused(&mut self) {
        let mut workers_in_use = BTreeSet::new();
        for record in self.requests.values() {
            workers_in_use.extend(record.attempts.iter().map(|attempt| attempt.worker));
        }
        let mut unused = Vec::new();
        for index in self.idle_functions.take_due(self.now) {
            match self.forgettable_from(index) {
                from if from < self.now && !self.is_function_in_use(index) => unused.push(index),
                from => self.idle_functions.check_no_later_than(index, from.max(self.now)),
            }
        }
        unused.sort_by(|a, b| self.functions[*a].name.cmp(&self.functions[*b].name));
        unused.into_iter().for_each(|index| self.forget_function(index));
        let unused = |index: &WorkerIndex| {
            let worker = &self.workers[*index];
            let silent = self.now.saturating_sub(worker.last_success_at)
                > FORGET_AFTER_KEEP_ALIVES * self.settings.keep_alive;
            let ordered = |function: &FunctionIndex| {
                self.functions[*function]
                    .placements
                    .get(index)
                    .is_some_and(|placement| placement.ordered_at.is_some())
            };
            let referenced = workers_in_use.contains(index) || self.orders.prewarms.has_worker(*index);
            let gone = worker.list_entry.state == WorkerState::OutOfService && silent && !referenced;
            gone && !worker.functions.iter().any(ordered)
        };
        for index in self.worker_indices.values().copied().filter(unused).collect::<Vec<_>>() {
            let Worker { list_entry, functions, .. } = std::mem::take(&mut self.workers[index]);
            self.worker_indices.remove(&list_entry.id);
            self.free_worker_indices.push(index);
            functions.into_iter().for_each(|function| self.functions[function].forget_worker(index));
        }
    }

    /// Whether a request, a timer or an order refers to a function.
    fn is_function_in_use(&self, index: FunctionIndex) -> bool {
        let function = &self.functions[index];
        let ordered = function.placements.values().any(|placement| placement.ordered_at.is_some());
        let wanted = function.forecast_timer_set || ordered || self.orders.prewarms.has_function(index);
        wanted || function.requests > 0 || self.functions_waiting.contains(&index)
    }

    fn forget_function(&mut self, index: FunctionIndex) {
        let Function { name, placements, .. } = std::mem::take(&mut self.functions[index]);
        for worker in placements.into_keys() {
            self.workers[worker].functions.remove(&index);
        }
        self.idle_functions.remove(index);
        self.function_indices.remove(&name);
        self.free_function_indices.push(index);
        self.actions.push(Action::Forget(name));
    }

    /// Forgets a function that the caller has no use for, unless something refers to it.
    fn function_unneeded(&mut self, name: &FunctionId) {
        let Some(index) = self.function_indices.get(name).copied() else { return };
        if !self.is_function_in_use(index) {
            self.forget_function(index);
        }
    }

    /// When a function may be forgotten if nothing happens to it until then.
    fn forgettable_from(&self, index: FunctionIndex) -> Micros {
        let function = &self.functions[index];
        let keep_alives = if function.ever_succeeded { FORGET_AFTER_KEEP_ALIVES } else { 1 };
        function.idle_deadline(keep_alives * self.settings.keep_alive)
    }

    /// Prewarms a function as its forecast would, because calls of a similar function are to be moved to it.
    fn calls_expected(&mut self, name: FunctionId, similar: &FunctionId, within: Micros) {
        let index = self.function_index(&name);
        let similar = self.function_indices.get(similar).map(|similar| &self.functions[*similar]);
        let (concurrency, memory_mb, mean_load_time) = similar.map_or((1.0, 0.0, 0.0), |similar| {
            (similar.concurrency, similar.memory_mb, similar.mean_load_time)
        });
        let function = &mut self.functions[index];
        self.orders.prewarms.function_changing(index, function.forecast.release_at);
        if function.concurrency <= 0.0 {
            // Never called yet, so no calls of peers have kept it loaded either.
            (function.concurrency, function.memory_mb, function.mean_load_time, function.peer_loaded_share) =
                (concurrency, memory_mb, mean_load_time, 0.0);
        }
        let forecast = &mut function.forecast;
        forecast.expected_until = self.now.saturating_add(within);
        forecast.release_at = forecast.release_at.max(forecast.expected_until);
        if !std::mem::replace(&mut function.forecast_timer_set, true) {
            self.timers.insert((self.now, Timer::Forecast(index)));
        }
        self.idle_functions.check_no_later_than(index, self.forgettable_from(index));
    }

    /// Sends the next attempt of a request or orders a load for it; if neither is possible, it waits.
    fn dispatch(&mut self, id: &RequestId) {
        let Some(record) = self.requests.get(id) else { return };
        let function = record.function;
        let waiter = (record.deadline, id.clone());
        if record.attempts.len() >= self.settings.max_attempts || !self.may_send_again(record) {
            return self.refuse_or_fail(id);
        }
        let orders_loads = self.must_order_loads();
        // Where no order can be sent, an instance may still be loaded: the request itself is sent. The same
        // holds where peers may keep an instance loaded: a miss is answered quickly and proves that nothing
        // ran.
        let sent = self.choose_worker(id).is_some_and(|worker| {
            let ordered = orders_loads
                && self.known_absent(function, worker)
                && self.try_order(worker, function, true, 1);
            if !ordered {
                self.order_missing_instances(function, worker);
            }
            !ordered && self.try_send(id, worker)
        });
        if sent {
            self.functions[function].waiting.remove(&waiter);
        } else {
            self.functions[function].waiting.insert(waiter);
            self.functions_waiting.insert(function);
        }
    }

    /// Algorithm 1 of the Tyche paper, with the exceptions listed in docs/DESIGN.md.
    fn choose_worker(&mut self, id: &RequestId) -> Option<WorkerIndex> {
        let record = self.requests.get(id)?;
        let (index, class) = (record.function, record.request.class);
        let (class_weight, random_draw) = (self.class_weight(class), record.random_draw);
        let avoid: Vec<WorkerIndex> = record
            .attempts
            .iter()
            .filter(|attempt| attempt.avoid_worker)
            .map(|attempt| attempt.worker)
            .collect();
        let homes = self.home_count(index);
        let usable = |worker: &WorkerIndex| {
            !avoid.contains(worker)
                && self.has_capacity(index, *worker)
                && !self.lacks_order_slot(index, *worker)
                && self.admits_class(*worker, class)
        };
        let usable: Vec<WorkerIndex> =
            self.workers_in_ring_order(index).filter(usable).take(homes + FALLBACK_WORKERS).collect();
        let homes = homes.min(usable.len());

        let function = &self.functions[index];
        let target = self.min_objective as f64 * TARGET_RESPONSE_SHARE;
        let in_flight = |worker: WorkerIndex| {
            f64::from(function.placements.get(&worker).map_or(0, |placement| placement.in_flight))
        };
        let concurrency = |worker: WorkerIndex| self.concurrency_at(index, worker);
        let loaded = |worker: WorkerIndex| self.believed_loaded(index, worker);
        let floor = |worker: WorkerIndex| concurrency(worker) / f64::from(self.settings.gateways);
        let accepts = |worker: WorkerIndex| {
            self.workers[worker].accepts_another(target, class_weight, floor(worker), random_draw)
        };
        let has_free_slot = |worker: WorkerIndex| {
            loaded(worker) && accepts(worker) && in_flight(worker) < concurrency(worker)
        };
        // By Little's law, a worker's response time shows how many requests of peers are in flight there.
        let peer_in_flight = |worker: WorkerIndex| {
            self.peer_share() * self.workers[worker].mean_response_time / self.means.run_time.max(1.0)
        };
        let with_load = |worker: WorkerIndex| {
            (f64::from(self.workers[worker].in_flight) + peer_in_flight(worker), worker)
        };
        let (homes, fallbacks) = usable.split_at(homes);
        let free: Vec<_> =
            homes.iter().filter(|home| has_free_slot(**home)).map(|home| with_load(*home)).collect();
        if !free.is_empty() {
            return pick_least_loaded(&mut self.rng, &free);
        }
        // Exception: if no home has a free slot in a loaded instance, the next worker on the ring that has
        // one is used; one without evidence of our own that it is loaded, only if all homes are busy.
        let all_homes_busy = !homes.iter().any(|home| accepts(*home));
        let is_usable_fallback = |worker: &&WorkerIndex| {
            (all_homes_busy || self.known_loaded(index, **worker)) && has_free_slot(**worker)
        };
        if let Some(fallback) = fallbacks.iter().find(is_usable_fallback) {
            return Some(*fallback);
        }
        // Exception: a busy fleet loads further instances only of functions without any.
        let may_load = self.fleet.mostly_within_target || !homes.iter().any(|home| loaded(*home));
        let accepting = homes.iter().filter(|home| accepts(**home) && (may_load || loaded(**home)));
        let accepting: Vec<_> = accepting.map(|home| with_load(*home)).collect();
        pick_least_loaded(&mut self.rng, &accepting)
    }

    /// Whether a worker may get a request of this class: healthy or on probation, within its slow start.
    fn admits_class(&self, index: WorkerIndex, class: usize) -> bool {
        let worker = &self.workers[index];
        let healthy =
            match worker.health.get(class).or(worker.health.last()).map(|health| health.state(self.now)) {
                None | Some(HealthState::Healthy) => true,
                Some(HealthState::Probation) => worker.in_flight == 0,
                Some(HealthState::Excluded) => false,
            };
        (healthy || self.fleet.ignore_health) && self.slow_start_budget(index) >= 1.0
    }

    fn has_capacity(&self, function: FunctionIndex, worker: WorkerIndex) -> bool {
        self.functions[function]
            .placements
            .get(&worker)
            .is_none_or(|placement| placement.no_capacity_until <= self.now)
    }

    /// Whether the function must be loaded at the worker first and the order for it has no free slot.
    fn lacks_order_slot(&self, function: FunctionIndex, worker: WorkerIndex) -> bool {
        let is_ordered = |placement: &Placement| placement.ordered_at.is_some();
        self.must_order_loads()
            && !self.workers[worker].order_slots.is_available(self.now)
            && self.known_absent(function, worker)
            && !self.functions[function].placements.get(&worker).is_some_and(is_ordered)
    }

    /// Whether a function that is not loaded at a worker is loaded only by an order.
    fn must_order_loads(&self) -> bool {
        self.settings.miss_policy == MissPolicy::Miss && self.settings.may_prewarm
    }

    fn workers_in_ring_order(&self, function: FunctionIndex) -> impl Iterator<Item = WorkerIndex> {
        self.ring.order(&self.functions[function].name, self.workers.len())
    }

    /// Estimate of a function's calls in one microsecond at all gateways: our rate times the gateways or, if
    /// answers count the requests at homes, these over the run time. The lower one, as both err upwards.
    fn fleet_rate(&self, index: FunctionIndex) -> f64 {
        let function = &self.functions[index];
        let from_own_rate = function.forecast.rate_lower_bound(self.now) * f64::from(self.settings.gateways);
        match function.fleet_in_flight > 0.0 && function.mean_run_time > 0.0 {
            true => from_own_rate.min(function.fleet_in_flight / function.mean_run_time),
            false => from_own_rate,
        }
    }

    /// Number of home workers: one more than the requests that run at once need, by Little's law.
    fn home_count(&self, index: FunctionIndex) -> usize {
        let function = &self.functions[index];
        let running = self.fleet_rate(index) * function.mean_run_time;
        (running / (PLANNED_CONCURRENCY_SHARE * function.concurrency.max(1.0))).min(1e4) as usize + 1
    }

    /// Concurrency of the instances known to be loaded there, at most the planned number of them; of one
    /// instance if none is known.
    fn concurrency_at(&self, function: FunctionIndex, worker: WorkerIndex) -> f64 {
        let loaded = self.functions[function]
            .placements
            .get(&worker)
            .map_or(0, |placement| placement.loaded_instances);
        let several = loaded > 1 && self.known_loaded(function, worker);
        self.functions[function].concurrency
            * if several { f64::from(loaded.min(self.instances_per_home(function))) } else { 1.0 }
    }

    /// Instances planned for each home: more than one if more homes are planned than workers are in service.
    /// All gateways compute the same number, and a worker keeps the largest number ordered, not the sum.
    fn instances_per_home(&self, function: FunctionIndex) -> u32 {
        let workers = (self.fleet.in_service as usize).max(1);
        self.home_count(function).div_ceil(workers).clamp(1, self.settings.max_instances_per_order.max(1))
            as u32
    }

    /// Orders the missing instances of a home if our requests use all the concurrency there.
    fn order_missing_instances(&mut self, function: FunctionIndex, worker: WorkerIndex) {
        let wanted = self.instances_per_home(function);
        let placement = self.functions[function].placements.get(&worker);
        let (in_flight, loaded) =
            placement.map_or((0, 0), |placement| (placement.in_flight, placement.loaded_instances.max(1)));
        let saturated = f64::from(in_flight) >= self.concurrency_at(function, worker);
        if wanted > loaded
            && saturated
            && self.now >= self.workers[worker].full_until
            && self.known_loaded(function, worker)
        {
            self.try_order(worker, function, true, wanted);
        }
    }

    /// Whether an instance is probably loaded: by recent evidence of our own, or, if nothing shows the
    /// contrary, because calls of peers have usually kept the function loaded.
    fn believed_loaded(&self, function: FunctionIndex, worker: WorkerIndex) -> bool {
        self.known_loaded(function, worker)
            || (!self.known_absent(function, worker)
                && self.functions[function].peer_loaded_share * self.peer_share().powi(2)
                    >= MIN_PEER_LOADED_PROBABILITY)
    }

    fn known_loaded(&self, function: FunctionIndex, worker: WorkerIndex) -> bool {
        let max_age = (self.settings.keep_alive as f64 * KNOWN_LOADED_SHARE) as Micros;
        let seen_at =
            self.functions[function].placements.get(&worker).and_then(|placement| placement.loaded_seen_at);
        seen_at.is_some_and(|at| self.now.saturating_sub(at) < max_age)
    }

    /// Whether evidence shows that no instance is loaded: a miss or a process start within the last
    /// keep-alive, or no peer that could have loaded one.
    fn known_absent(&self, function: FunctionIndex, worker: WorkerIndex) -> bool {
        let placement = self.functions[function].placements.get(&worker);
        let since = self.now.saturating_sub(self.settings.keep_alive);
        let started = self.workers[worker].list_entry.started.is_some_and(|at| at > since);
        let missed = placement.and_then(|placement| placement.missed_at).is_some_and(|at| at > since);
        !self.known_loaded(function, worker) && (missed || started || self.settings.gateways == 1)
    }

    /// The peers' share of all calls.
    fn peer_share(&self) -> f64 {
        1.0 - 1.0 / f64::from(self.settings.gateways)
    }

    /// Worth relative to the best class; the square root keeps classes of low worth from starving.
    fn class_weight(&self, class: usize) -> f64 {
        let best = self.settings.classes.iter().map(|class| class.worth).fold(0.0, f64::max);
        let worth = self.settings.classes.get(class).map_or(0.0, |class| class.worth);
        if best > 0.0 { (worth / best).sqrt() } else { 1.0 }
    }

    fn effect(&self, class: usize) -> Effect {
        self.settings.classes.get(class).map_or(Effect::Unsafe, |class| class.effect)
    }

    fn expected_run_time(&self, function: FunctionIndex, class: usize) -> f64 {
        let class_run_time = self.means.class_run_time.get(class).copied().unwrap_or(0.0);
        let guess = self.min_objective as f64 / 4.0;
        [self.functions[function].mean_run_time, class_run_time, self.means.run_time, guess]
            .into_iter()
            .find(|time| *time > 0.0)
            .unwrap_or(1.0)
    }

    fn expected_load_time(&self, function: &Function) -> f64 {
        let guess = self.min_objective as f64;
        [function.mean_load_time, self.means.load_time, guess]
            .into_iter()
            .find(|time| *time > 0.0)
            .unwrap_or(guess)
    }

    /// Requests that a cold worker may still get in this half window: our part of the permitted multiple of
    /// its present capacity. The capacity is estimated from what a warmed-up worker answers this gateway, so
    /// that the parts of all gateways add up. Fractions are rounded by one random draw for each half window,
    /// however often the budget is computed; the unused rest expires.
    fn slow_start_budget(&self, index: WorkerIndex) -> f64 {
        let (cold, worker, slow_start) =
            (&self.settings.cold_start, &self.workers[index], &self.workers[index].slow_start);
        let share = worker.capacity_share(cold, self.now.saturating_sub(cold.overload_window));
        if share >= 1.0 {
            return 1.0;
        }
        let half_window = worker.half_window(cold, self.now);
        let one_core_rate = 1.0
            / self.means.run_time.max(self.min_objective as f64 / 8.0)
            / f64::from(self.settings.gateways);
        let rate =
            COLD_LOAD_SHARE * cold.overload_multiple * share * self.means.warm_worker_rate.max(one_core_rate);
        let random_draw =
            xxh3_64_with_seed(&half_window.to_le_bytes(), slow_start.seed) as f64 / u64::MAX as f64;
        if half_window == slow_start.half_window {
            slow_start.remaining
        } else {
            (rate * cold.overload_window as f64 / 2.0 + random_draw).floor()
        }
    }

    /// Whether a request may have another attempt at all; `try_send` checks the worker.
    fn may_send_again(&self, record: &RequestRecord) -> bool {
        let safe = self.effect(record.request.class) != Effect::Unsafe || record.never_ran();
        !record.finished && !record.streaming && safe
    }

    /// The only place that sends attempts. It enforces: unfinished requests only, the number of attempts, one
    /// attempt in flight, workers in service only, no repeated side effects, the slow-start budget.
    fn try_send(&mut self, id: &RequestId, index: WorkerIndex) -> bool {
        let Some(record) = self.requests.get(id) else { return false };
        let (function, class) = (record.function, record.request.class);
        let effect = self.effect(class);
        let time_left = record.deadline.saturating_sub(self.now);
        let allowed = self.may_send_again(record)
            && record.attempts.len() < self.settings.max_attempts
            && !record.has_attempt_in_flight()
            && self.workers[index].list_entry.state == WorkerState::InService
            && time_left > 0
            && self.repeats_are_dropped(record, effect, index)
            && self.slow_start_budget(index) >= 1.0;
        if !allowed {
            return false;
        }
        let (believed_loaded, known_loaded) =
            (self.believed_loaded(function, index), self.known_loaded(function, index));
        let load_time =
            if believed_loaded { 0.0 } else { self.expected_load_time(&self.functions[function]) };
        let capacity_share = self.workers[index].capacity_share(&self.settings.cold_start, self.now);
        let expected_time = (self.expected_run_time(function, class) + load_time) / capacity_share;
        let objective = self.settings.classes.get(class).map_or(time_left, |class| class.latency_objective);
        let repeatable = effect != Effect::Unsafe && record.attempts.len() + 1 < self.settings.max_attempts;
        let timeout = ((TIMEOUT_MULTIPLE * expected_time) as Micros).max(objective * 2);
        let timeout =
            if repeatable && timeout.saturating_add(objective / 4) < time_left { timeout } else { time_left };

        let (home_count, remaining) = (self.home_count(function) as f64, self.slow_start_budget(index) - 1.0);
        let worker = &mut self.workers[index];
        (worker.slow_start.half_window, worker.slow_start.remaining) =
            (worker.half_window(&self.settings.cold_start, self.now), remaining);
        worker.in_flight += 1;
        worker.functions.insert(function);
        self.functions[function].placements.entry(index).or_default().in_flight += 1;
        let worker_in_flight = f64::from(worker.in_flight);
        let request = id.clone();
        self.actions.push(Action::Send { request, worker: worker.list_entry.id.clone(), timeout });
        let attempt = Attempt {
            believed_loaded,
            known_loaded,
            home_count,
            expected_time,
            worker_in_flight,
            ..Attempt::new(index, self.now)
        };
        self.requests.entry(id.clone()).and_modify(|record| record.attempts.push(attempt));
        true
    }

    /// Whether a repeat at the worker would be dropped: a keyed request that may have run stays within the
    /// group of workers that remember its key, for as long as they do.
    fn repeats_are_dropped(&self, record: &RequestRecord, effect: Effect, to: WorkerIndex) -> bool {
        let Effect::Keyed { group, retention: memory } = effect else { return true };
        let to = &self.workers[to].list_entry;
        record.attempts.iter().filter(|attempt| attempt.state != AttemptState::NeverRan).all(|attempt| {
            let from = &self.workers[attempt.worker].list_entry;
            let same_group = match group {
                Group::All => true,
                Group::Zone => from.zone == to.zone,
                Group::Cell => from.cell == to.cell,
            };
            same_group && self.now.saturating_sub(attempt.sent_at) + self.settings.tick < memory
        })
    }

    fn attempt_ended(
        &mut self,
        id: &RequestId,
        number: usize,
        outcome: Outcome,
        elapsed: Micros,
        (answered, worker_load, load_failed): (bool, Option<u32>, bool),
    ) {
        let Some(record) = self.requests.get_mut(id) else { return };
        let Some(attempt) =
            record.attempts.get_mut(number).filter(|attempt| attempt.state == AttemptState::InFlight)
        else {
            return;
        };
        attempt.state = if outcome.never_ran() { AttemptState::NeverRan } else { AttemptState::MayHaveRun };
        // The next attempt goes to another worker if this one failed or was not sent; after a load or a miss
        // it need not.
        let failed = matches!(outcome, Outcome::Error | Outcome::ConnectFailed | Outcome::NotSent);
        attempt.avoid_worker = failed || (attempt.believed_loaded && outcome != Outcome::Miss);
        let attempt = attempt.clone();
        let (function_index, class, worker_index) = (record.function, record.request.class, attempt.worker);
        if outcome == Outcome::Ok && !record.finished && self.settings.order_rate_limit.is_some() {
            // Only served calls raise the order budget: nothing states that calls count which their clients
            // cancel at once, and there may be floods of those.
            let at = self.orders.call_times.partition_point(|arrived_at| *arrived_at <= record.arrived_at);
            self.orders.call_times.insert(at, record.arrived_at);
        }
        let response_time = elapsed as f64;
        self.workers[worker_index].in_flight = self.workers[worker_index].in_flight.saturating_sub(1);
        if let (Some(worker_load), Outcome::Ok | Outcome::Full) = (worker_load, outcome) {
            let fleet_in_flight = &mut self.functions[function_index].fleet_in_flight;
            update_mean(
                fleet_in_flight,
                (f64::from(worker_load) * attempt.home_count).max(1e-9),
                2.0 * MEAN_WEIGHT,
            );
        }
        let slow = response_time
            > self.expected_run_time(function_index, class)
                + self.expected_load_time(&self.functions[function_index]) / 2.0;
        let function = &mut self.functions[function_index];
        self.orders.prewarms.function_changing(function_index, function.forecast.release_at);
        function.ever_succeeded |= outcome == Outcome::Ok;
        let ever_succeeded = function.ever_succeeded;
        let placement = function.placements.entry(worker_index).or_default();
        placement.in_flight = placement.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Ok => {
                (placement.loaded_seen_at, placement.missed_at) = (Some(self.now), None);
                let worker = &mut self.workers[worker_index];
                let since_success = self.now.saturating_sub(worker.last_success_at) as f64;
                worker.last_success_at = self.now;
                worker.health.get_mut(class).into_iter().for_each(|health| health.record_success(self.now));
                self.means.warm_successes +=
                    f64::from(u8::from(worker.capacity_share(&self.settings.cold_start, self.now) >= 1.0));
                if attempt.believed_loaded {
                    // The longer ago the last sample, the more outdated is the mean.
                    let weight = MEAN_WEIGHT
                        .max(since_success / (since_success + 2.0 * self.settings.keep_alive as f64));
                    // Response times are capped at the objective: one wait for a load takes many objectives,
                    // but says less about the queue than ten answers in time.
                    update_mean(
                        &mut worker.mean_response_time,
                        response_time.min(self.min_objective as f64),
                        weight,
                    );
                    update_mean(&mut worker.mean_in_flight, attempt.worker_in_flight, weight);
                    // Where workers load on a call, response times may include a load. Slow ones count only
                    // until an instance that was known to be loaded has shown the run time.
                    let function = &mut self.functions[function_index];
                    let loads_on_call = self.settings.miss_policy == MissPolicy::Load;
                    if loads_on_call
                        && attempt.known_loaded
                        && !std::mem::replace(&mut function.run_time_confirmed, true)
                    {
                        function.mean_run_time = 0.0;
                    }
                    if attempt.known_loaded || !slow || !function.run_time_confirmed {
                        update_mean(&mut function.mean_run_time, response_time, MEAN_WEIGHT);
                    }
                    update_mean(&mut self.means.run_time, response_time, MEAN_WEIGHT);
                    let class_run_time = self.means.class_run_time.get_mut(class);
                    class_run_time.into_iter().for_each(|mean| update_mean(mean, response_time, MEAN_WEIGHT));
                }
            }
            // Until a call of it has succeeded, the function itself may be broken or missing.
            Outcome::Error if !load_failed && ever_succeeded => {
                self.record_worker_failure(worker_index, class, attempt.sent_at, 1.0)
            }
            Outcome::Timeout if response_time >= attempt.expected_time => {
                if attempt.believed_loaded && !attempt.known_loaded {
                    // Peers keep an instance loaded there, so the call was queued, and for longer than this.
                    update_mean(
                        &mut self.workers[worker_index].mean_response_time,
                        response_time.min(self.min_objective as f64),
                        MEAN_WEIGHT,
                    );
                }
                // The worker is at fault only if it has answered no call of the class since then.
                if self.workers[worker_index]
                    .health
                    .get(class)
                    .is_some_and(|health| health.last_success_at <= attempt.sent_at)
                {
                    self.record_worker_failure(worker_index, class, attempt.sent_at, SUSPECT_SCORE);
                }
            }
            // Only one connection broke if the worker has answered on others since.
            Outcome::Reset if self.workers[worker_index].last_success_at <= attempt.sent_at => {
                self.record_worker_failure(worker_index, class, attempt.sent_at, 1.0)
            }
            Outcome::ConnectFailed => {
                self.update_placements(worker_index, Placement::clear);
                self.record_worker_failure(worker_index, class, attempt.sent_at, SUSPECT_SCORE);
            }
            // Without an instance known to be loaded, the worker lacks the capacity to load one; with one,
            // only its queue is full.
            Outcome::Full if !attempt.known_loaded => {
                placement.no_capacity_until = self.now.saturating_add(attempt.expected_time as Micros);
            }
            Outcome::Miss => {
                (placement.loaded_seen_at, placement.loaded_instances, placement.missed_at) =
                    (None, 0, Some(self.now));
            }
            _ => {}
        }
        if !attempt.known_loaded && matches!(outcome, Outcome::Ok | Outcome::Miss) {
            // A quick answer shows that calls of peers had kept an instance loaded.
            let was_loaded = f64::from(u8::from(outcome == Outcome::Ok && !slow));
            self.functions[function_index].peer_loaded_share +=
                3.0 * MEAN_WEIGHT * (was_loaded - self.functions[function_index].peer_loaded_share);
            self.means.peer_loaded_share += MEAN_WEIGHT * (was_loaded - self.means.peer_loaded_share);
        }
        if answered || self.requests.get(id).is_none_or(|record| record.finished || record.streaming) {
            return self.finish(id);
        }
        let needs_retry_token = attempt.state == AttemptState::MayHaveRun;
        let function_may_be_broken = outcome == Outcome::Error && !ever_succeeded && number > 0;
        if needs_retry_token && (self.retry_tokens < 1.0 || function_may_be_broken) {
            return self.refuse_or_fail(id);
        }
        self.retry_tokens -= f64::from(u8::from(needs_retry_token));
        self.dispatch(id);
    }

    /// Records a failure against the worker for a class. If it suggests that the worker is gone, and the
    /// worker has answered no call since the attempt was sent, it also counts as one failure for each other
    /// class.
    fn record_worker_failure(&mut self, worker: WorkerIndex, class: usize, sent_at: Micros, score: f64) {
        let exclusion = (self.settings.keep_alive as f64 * EXCLUSION_SHARE).max(self.min_objective as f64);
        let worker = &mut self.workers[worker];
        let seems_gone = score >= SUSPECT_SCORE && worker.last_success_at <= sent_at;
        for (other, health) in worker.health.iter_mut().enumerate() {
            if other == class || seems_gone {
                let score = if other == class { score } else { score.min(1.0) };
                health.record_failure(self.now, score, exclusion);
            }
        }
    }

    /// Answers a request without a worker: refused if a further try does no harm, else failed.
    fn refuse_or_fail(&mut self, id: &RequestId) {
        let Some(record) = self.requests.get(id).filter(|record| !record.finished && !record.streaming)
        else {
            return;
        };
        let may_retry = self.may_refuse(record.request.class, record.never_ran());
        // Short, as a later try is worth little; random, so that clients don't all return at once.
        let retry_after = self.min_objective as f64 / 4.0 * (0.5 + record.random_draw);
        let retry_after = (retry_after as Micros).clamp(1, self.settings.max_retry_after.max(1));
        let request = id.clone();
        let retry_after = self.settings.retry_after.then_some(retry_after);
        let refusal = Action::Refuse { request: request.clone(), retry_after };
        self.actions.push(if may_retry { refusal } else { Action::Fail { request } });
        self.finish(id);
    }

    /// Whether a request of the class may be refused: a client's further try then has no second effect.
    pub fn may_refuse(&self, class: usize, never_ran: bool) -> bool {
        match self.effect(class) {
            Effect::Safe => true,
            Effect::Keyed { group: Group::All, .. } => {
                never_ran || self.settings.clients_retry_within_retention
            }
            Effect::Keyed { .. } | Effect::Unsafe => never_ran,
        }
    }

    /// Marks a request as finished; its record is removed once no attempt is in flight.
    fn finish(&mut self, id: &RequestId) {
        let Some(record) = self.requests.get_mut(id) else { return };
        record.finished = true;
        self.timers.remove(&(record.deadline, Timer::Deadline(id.clone())));
        let function = record.function;
        self.functions[function].waiting.remove(&(record.deadline, id.clone()));
        if !record.has_attempt_in_flight() {
            self.requests.remove(id);
            self.functions[function].requests -= 1;
        }
    }

    /// Loads or renews an instance at the function's home, or releases it once the forecast has ended.
    fn forecast_due(&mut self, index: FunctionIndex) {
        let usable = |worker: &WorkerIndex| {
            self.has_capacity(index, *worker)
                && self.workers[*worker]
                    .health
                    .iter()
                    .all(|health| health.state(self.now) != HealthState::Excluded)
        };
        let home = self.workers_in_ring_order(index).find(usable);
        let kept_by_peers = home
            .is_some_and(|worker| !self.known_loaded(index, worker) && self.believed_loaded(index, worker));
        let function = &mut self.functions[index];
        let (load_at, release_at) = (function.forecast.load_at, function.forecast.release_at);
        function.forecast_timer_set = self.now < release_at;
        if !function.forecast_timer_set {
            self.orders.prewarms.function_changing(index, release_at);
            if let Some((worker, loaded_at)) = function.loaded_by_own_order.take()
                && function.last_call_at < loaded_at
                && self.workers[worker].list_entry.state == WorkerState::InService
            {
                function.placements.entry(worker).or_default().loaded_seen_at = None;
                let (worker, function) = (self.workers[worker].list_entry.id.clone(), function.name.clone());
                self.actions.push(Action::Drop { worker, function });
            }
            return;
        }
        let renewal_time =
            ((self.settings.keep_alive as f64 * RENEWAL_SHARE) as Micros).max(self.settings.tick);
        let seen_at = home
            .and_then(|worker| function.placements.get(&worker))
            .and_then(|placement| placement.loaded_seen_at);
        let mut next = load_at.max(seen_at.map_or(0, |at| at + renewal_time));
        if next <= self.now {
            next = self.now + renewal_time / 4;
            // Calls of peers renew the instance as well as an order would.
            let wanted_at = home.filter(|_| !kept_by_peers && self.settings.may_prewarm);
            wanted_at.into_iter().for_each(|home| self.orders.prewarms.add((index, home)));
            self.order_prewarms();
        }
        let next = next.min(release_at).max(self.now + self.settings.tick);
        self.timers.insert((next, Timer::Forecast(index)));
    }

    /// Reviews the prewarms of which something has changed, then orders prewarms by priority as long as the
    /// budgets allow it.
    fn order_prewarms(&mut self) {
        for prewarm in self.orders.prewarms.take_changed(self.now) {
            self.review_prewarm(prewarm, false);
        }
        while self.order_budget_allows(false) {
            let priority = |function: FunctionIndex| {
                self.prewarm_priority(function, self.expected_load_time(&self.functions[function]))
            };
            let by_priority = |a: &(FunctionIndex, WorkerIndex), b: &(FunctionIndex, WorkerIndex)| {
                priority(b.0).total_cmp(&priority(a.0)).then_with(|| a.cmp(b))
            };
            let Some(prewarm) = self.orders.prewarms.highest_ranked().min_by(by_priority) else { return };
            self.review_prewarm(prewarm, true);
        }
    }

    /// Removes a prewarm that is no longer wanted. Otherwise orders it if `order` is set or an order is
    /// already in flight, and defers it if that fails; else updates its priority.
    fn review_prewarm(&mut self, (index, worker): (FunctionIndex, WorkerIndex), order: bool) {
        let function = &self.functions[index];
        let placement = function.placements.get(&worker);
        let renewal_time = (self.settings.keep_alive as f64 * RENEWAL_SHARE) as Micros;
        let loaded = placement
            .and_then(|placement| placement.loaded_seen_at)
            .is_some_and(|at| at + renewal_time > self.now);
        let order = order || placement.is_some_and(|placement| placement.ordered_at.is_some());
        let unwanted = loaded || self.now >= function.forecast.release_at;
        if unwanted || (order && self.try_order(worker, index, false, 1)) {
            self.orders.prewarms.remove((index, worker));
        } else if order {
            self.orders.prewarms.defer((index, worker), self.workers[worker].no_prewarm_until());
        } else {
            let own = self.functions[index].mean_load_time;
            let (source, load_time) =
                if own > 0.0 { (LoadTimeSource::Function, own) } else { (LoadTimeSource::Shared, 1.0) };
            self.orders.prewarms.rank((index, worker), source, self.prewarm_priority(index, load_time));
        }
    }

    /// Load time saved by keeping an instance loaded, for each MB of its memory.
    fn prewarm_priority(&self, function: FunctionIndex, load_time: f64) -> f64 {
        let function = &self.functions[function];
        function.forecast.rate() * self.settings.keep_alive as f64 * load_time / function.memory_mb.max(1.0)
    }

    /// Whether the budgets allow one more order. One that a waiting request needs takes no prewarm token.
    fn order_budget_allows(&mut self, needed: bool) -> bool {
        let orders = &mut self.orders;
        if !needed && orders.prewarm_tokens < 1.0 {
            return false;
        }
        let Some(budget) = &self.settings.order_rate_limit else { return true };
        // An order may wait for its connection. Orders therefore count for that time and a tick longer than
        // the window, and calls for less, so that the budget holds whenever the order leaves.
        let margin = self.settings.tick + self.settings.connect_timeout;
        orders.forget_before(self.now, budget.window, margin);
        (orders.order_times.len() + 1) as f64
            <= budget.base_orders + budget.per_request * orders.call_times.len() as f64
    }

    /// The only place that sends load orders; true if one is now in flight. It enforces: workers in service
    /// only, one order in flight for a function and worker, the limit on prewarm orders, free slots on the
    /// connections to the worker, the order budget.
    fn try_order(&mut self, worker: WorkerIndex, function: FunctionIndex, needed: bool, count: u32) -> bool {
        let worker_record = &self.workers[worker];
        if !self.settings.may_prewarm || worker_record.list_entry.state != WorkerState::InService {
            return false;
        }
        // At a worker without capacity, a prewarm would displace a load that is needed now, but a renewal
        // not.
        if !needed && self.now < worker_record.full_until && !self.known_loaded(function, worker) {
            return false;
        }
        if self.functions[function]
            .placements
            .get(&worker)
            .is_some_and(|placement| placement.ordered_at.is_some())
        {
            return true;
        }
        if !self.workers[worker].order_slots.is_available(self.now) || !self.order_budget_allows(needed) {
            return false;
        }
        if !needed {
            self.orders.prewarm_tokens -= 1.0;
        }
        if self.settings.order_rate_limit.is_some() {
            self.orders.order_times.push_back(self.now);
        }
        let retry_interval = self.sweep_interval();
        let (function_record, worker_record) = (&mut self.functions[function], &mut self.workers[worker]);
        worker_record.order_slots.take(self.now, retry_interval);
        self.orders.prewarms.function_changing(function, function_record.forecast.release_at);
        worker_record.functions.insert(function);
        function_record.placements.entry(worker).or_default().ordered_at = Some(self.now);
        let (worker, function) = (worker_record.list_entry.id.clone(), function_record.name.clone());
        self.actions.push(Action::Hold { worker, function, count });
        true
    }

    /// A load order ended; `loaded` is the number of instances that are loaded now.
    fn load_ended(&mut self, id: &WorkerId, name: &FunctionId, outcome: Outcome, took: Micros, loaded: u32) {
        let (Some(&worker_index), Some(&function_index)) =
            (self.worker_indices.get(id), self.function_indices.get(name))
        else {
            return;
        };
        let function = &mut self.functions[function_index];
        self.orders.prewarms.function_changing(function_index, function.forecast.release_at);
        let placement = function.placements.entry(worker_index).or_default();
        let Some(ordered_at) = placement.ordered_at.take() else { return };
        let response_time = took as f64;
        let order_class = self.settings.classes.len();
        if outcome != Outcome::NotSent {
            self.workers[worker_index].order_slots.release();
        }
        match outcome {
            Outcome::NotSent => self.order_not_sent(worker_index, ordered_at),
            Outcome::Ok if loaded > 0 => {
                (placement.loaded_seen_at, placement.missed_at, placement.no_capacity_until) =
                    (Some(self.now), None, 0);
                placement.loaded_instances = loaded;
                self.workers[worker_index]
                    .health
                    .last_mut()
                    .into_iter()
                    .for_each(|health| health.record_success(self.now));
                // It took longer than a round trip: the worker loaded the instance for this order.
                if response_time > (self.min_objective / SWEEPS_PER_OBJECTIVE) as f64 {
                    update_mean(&mut function.mean_load_time, response_time, MEAN_WEIGHT);
                    update_mean(&mut self.means.load_time, response_time, MEAN_WEIGHT);
                    function.loaded_by_own_order = Some((worker_index, self.now));
                }
            }
            Outcome::Full => {
                self.workers[worker_index].full_until = self.now + self.min_objective * 2;
                placement.loaded_instances = loaded;
                // A lack of capacity for more says nothing against the instances that are loaded.
                if loaded == 0 {
                    (placement.loaded_seen_at, placement.no_capacity_until) =
                        (None, self.workers[worker_index].full_until);
                }
            }
            // Without a pause, an order that fails at once would be repeated at the rate of its answers.
            Outcome::Error => placement.no_capacity_until = self.now + self.min_objective * 2,
            Outcome::ConnectFailed => {
                self.update_placements(worker_index, Placement::forget_instances);
                self.functions[function_index]
                    .placements
                    .entry(worker_index)
                    .or_default()
                    .no_capacity_until = self.now + self.min_objective * 2;
                self.record_worker_failure(worker_index, order_class, ordered_at, SUSPECT_SCORE);
            }
            Outcome::Reset | Outcome::Timeout if self.workers[worker_index].last_success_at <= ordered_at => {
                self.record_worker_failure(worker_index, order_class, ordered_at, 1.0);
            }
            _ => {}
        }
        self.dispatch_waiting(function_index);
    }

    /// An order found no free slot on the connections to its worker, or was withdrawn unsent. The worker
    /// isn't to blame, but gets no prewarms for a while, and other orders only as slots become free.
    fn order_not_sent(&mut self, worker: WorkerIndex, ordered_at: Micros) {
        let retry_interval = self.sweep_interval();
        let worker = &mut self.workers[worker];
        worker.full_until = self.now + self.min_objective * 2;
        worker.order_slots.record_exhausted(self.now, retry_interval);
        self.orders.remove_order(ordered_at);
    }

    fn sweep_interval(&self) -> Micros {
        (self.min_objective / SWEEPS_PER_OBJECTIVE).max(self.settings.tick)
    }

    fn sweep(&mut self) {
        let interval = self.sweep_interval();
        self.timers.insert((self.now + interval, Timer::Sweep));
        if self.now.saturating_sub(self.refreshed_at) >= self.min_objective {
            // The rate at which a warmed-up worker answers this gateway, averaged over about a warm-up time;
            // the slow-start budgets of cold workers derive from it.
            let span = self.now.saturating_sub(std::mem::replace(&mut self.refreshed_at, self.now)) as f64;
            let sample =
                std::mem::take(&mut self.means.warm_successes) / span / self.fleet.warmed_up.max(1.0);
            let weight = span / (self.settings.cold_start.warm_up as f64 + span);
            self.means.warm_worker_rate += (sample - self.means.warm_worker_rate) * weight;
            self.forget_unused();
            self.update_fleet();
        }
        self.order_prewarms();
        self.dispatch_all_waiting();
    }

    /// Tries again to dispatch the requests that wait at the gateway.
    fn dispatch_all_waiting(&mut self) {
        for function in std::mem::take(&mut self.functions_waiting) {
            self.dispatch_waiting(function);
        }
    }

    /// Dispatches a function's waiting requests in order of their deadlines until one has to wait. Those that
    /// can no longer meet their latency objective are then refused, unless they wait for a load: under
    /// overload, the capacity is worth more to later requests.
    fn dispatch_waiting(&mut self, function: FunctionIndex) {
        if self.functions[function].waiting.is_empty() {
            return;
        }
        let loading =
            self.functions[function].placements.values().any(|placement| placement.ordered_at.is_some());
        let mut dispatching = true;
        for (deadline, id) in self.functions[function].waiting.clone() {
            let objective = |record: &RequestRecord| {
                self.settings.classes.get(record.request.class).map_or(0, |class| class.latency_objective)
            };
            let due_at = self
                .requests
                .get(&id)
                .map_or(0, |record| record.arrived_at.saturating_add(objective(record)));
            if dispatching {
                self.dispatch(&id);
                dispatching = !self.functions[function].waiting.contains(&(deadline, id.clone()));
            }
            if !dispatching && !loading && self.now.saturating_add(self.means.run_time as Micros) > due_at {
                self.refuse_or_fail(&id);
            }
        }
    }
}

/// The worker with the lowest load; a random one among equals.
fn pick_least_loaded(rng: &mut Pcg32, candidates: &[(f64, WorkerIndex)]) -> Option<WorkerIndex> {
    let lowest = candidates.iter().map(|(load, _)| *load).fold(f64::INFINITY, f64::min);
    let ties: Vec<WorkerIndex> =
        candidates.iter().filter(|(load, _)| *load <= lowest).map(|(_, worker)| *worker).collect();
    let pick = if ties.len() > 1 { rng.next_u32() as usize % ties.len() } else { 0 };
    ties.get(pick).copied()
}
