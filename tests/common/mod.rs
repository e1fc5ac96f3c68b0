//! Shared test helpers: settings, a small test harness, and a checker of the module's invariants.
#![allow(dead_code)]

pub mod sequences;

use std::collections::{BTreeMap, VecDeque};

use cresswheel::*;

/// One second.
pub const S: Micros = 1_000_000;
/// One millisecond.
pub const MS: Micros = 1_000;

pub fn class(name: &str, effect: Effect) -> Class {
    Class {
        name: name.into(),
        latency_objective: 600 * MS,
        client_timeout: 5 * S,
        effect,
        streamed: false,
        worth: 1.0,
        late_worth: 0.3,
    }
}

pub fn settings() -> Settings {
    Settings {
        gateways: 1,
        tick: 2 * MS,
        classes: vec![
            class("safe", Effect::Safe),
            class("unsafe", Effect::Unsafe),
            class("zone", Effect::Keyed { group: Group::Zone, retention: 2 * S }),
        ],
        keep_alive: 10 * S,
        miss_policy: MissPolicy::Load,
        may_prewarm: true,
        order_timeout: 10 * S,
        may_cancel: true,
        may_probe: true,
        max_attempts: 5,
        drain_grace: S,
        cold_start: ColdStart {
            initial_share: 0.2,
            warm_up: 10 * S,
            overload_multiple: 2.0,
            overload_window: 2 * S,
        },
        ..Settings::default()
    }
}

/// A worker in service, by its number.
pub fn worker(number: usize) -> WorkerEntry {
    WorkerEntry {
        id: WorkerId::from(format!("10.0.0.{number}:9000").as_str()),
        zone: ["a", "b"][number % 2].into(),
        kind: "std".into(),
        cell: number as u64 % 2,
        state: WorkerState::InService,
        started: None,
    }
}

/// A complete list of this many workers.
pub fn workers(count: usize) -> Event {
    Event::List(WorkerListUpdate::Complete((1..=count).map(worker).collect()))
}

/// A request with five seconds left, for a function of 500 MB with a concurrency of 4 per instance.
pub fn request(id: &str, class: usize, function: &str) -> Request {
    Request {
        id: id.into(),
        class,
        tenant: None,
        function: function.into(),
        time_left: 5 * S,
        memory_mb: Some(500.0),
        concurrency: Some(4),
        load_time: None,
    }
}

/// The end of an attempt after 100 ms.
pub fn ended(id: &str, attempt: usize, worker: &WorkerId, outcome: Outcome) -> Event {
    Event::AttemptEnded {
        request: id.into(),
        attempt,
        worker: worker.clone(),
        outcome,
        elapsed: 100 * MS,
        answered: outcome == Outcome::Ok,
        worker_in_flight: None,
        load_failed: false,
    }
}

/// The answer to a prewarm order of one instance.
pub fn prewarm_answer(worker: &WorkerId, function: &str, outcome: Outcome, elapsed: Micros) -> Event {
    let standing = u32::from(outcome == Outcome::Ok);
    Event::PrewarmEnded {
        worker: worker.clone(),
        function: function.into(),
        outcome,
        elapsed,
        loaded_instances: standing,
    }
}

/// A dispatcher with a simulated clock, and a checker of its events and actions.
pub struct Harness {
    pub dispatcher: Dispatcher,
    pub now: Micros,
    pub checker: Checker,
    wake: Option<Micros>,
}

impl Harness {
    pub fn new(settings: Settings) -> Self {
        Self::seeded(settings, 7)
    }

    pub fn seeded(settings: Settings, seed: u64) -> Self {
        let checker = Checker::new(settings.clone());
        let dispatcher = Dispatcher::new(settings, seed).expect("valid settings");
        Self { dispatcher, now: 0, checker, wake: None }
    }

    /// Passes an event to the dispatcher and returns its actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.checker.event(self.now, &event);
        self.dispatcher.handle(self.now, event, &mut actions);
        for action in &actions {
            self.checker.action(self.now, action);
            if let Action::WakeAfter(delay) = action {
                let at = self.now + delay;
                self.wake = Some(self.wake.map_or(at, |wake| wake.min(at)));
            }
        }
        actions
    }

    /// Advances the clock and fires the wake-ups that fall due.
    pub fn run_to(&mut self, until: Micros) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(at) = self.wake.filter(|at| *at <= until) {
            self.now = self.now.max(at) + self.checker.settings.tick;
            self.wake = None;
            actions.extend(self.handle(Event::Wake));
        }
        self.now = self.now.max(until);
        actions
    }
}

/// The attempts sent, as requests and workers.
pub fn sends(actions: &[Action]) -> Vec<(RequestId, WorkerId)> {
    let send = |a: &Action| match a {
        Action::Send { request, worker, .. } => Some((request.clone(), worker.clone())),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

/// The prewarm orders, as workers and functions.
pub fn prewarm_orders(actions: &[Action]) -> Vec<(WorkerId, FunctionId)> {
    let order = |a: &Action| match a {
        Action::Hold { worker, function, count } if *count > 0 => Some((worker.clone(), function.clone())),
        _ => None,
    };
    actions.iter().filter_map(order).collect()
}

struct RequestRecord {
    request: Request,
    deadline: Micros,
    finished: bool,
    /// The worker, the time of sending, and the outcome once there is one.
    attempts: Vec<(WorkerId, Micros, Option<Outcome>)>,
}

/// Checks the events and actions of one gateway against the invariants, and collects violations:
///
/// 1. Each request gets one final answer by its deadline.
/// 2. A request that may have run is not retried or refused unless its [`Effect`] allows that.
/// 3. No work and no prewarm order goes to a worker that drains or is not listed.
/// 4. A cold worker is not sent more work than slow start allows.
/// 5. Prewarm orders stay within their rate limit.
pub struct Checker {
    pub settings: Settings,
    pub violations: Vec<String>,
    requests: BTreeMap<RequestId, RequestRecord>,
    /// Since when a worker drains or is out of service.
    unavailable_since: BTreeMap<WorkerId, Micros>,
    listed: BTreeMap<WorkerId, WorkerEntry>,
    /// Prewarm orders, except those that were not sent, with the time of each.
    orders: Vec<(Micros, WorkerId, FunctionId)>,
    calls: VecDeque<Micros>,
    cold_sends: BTreeMap<WorkerId, VecDeque<Micros>>,
    /// Requests per second that one warm worker can handle, for the check of cold workers.
    pub worker_rate: f64,
}

impl Checker {
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            violations: Vec::new(),
            requests: BTreeMap::new(),
            unavailable_since: BTreeMap::new(),
            listed: BTreeMap::new(),
            orders: Vec::new(),
            calls: VecDeque::new(),
            cold_sends: BTreeMap::new(),
            worker_rate: 40.0,
        }
    }

    fn effect(&self, request: &Request) -> Effect {
        self.settings.classes.get(request.class).map_or(Effect::Unsafe, |c| c.effect)
    }

    /// Records an event.
    pub fn event(&mut self, now: Micros, event: &Event) {
        for (id, record) in &self.requests {
            if !record.finished && now > record.deadline + 8 * MS {
                self.violations.push(format!("no answer by the deadline: {id}"));
            }
        }
        self.requests.retain(|_, record| now <= record.deadline + 20 * S);
        match event {
            Event::Arrived(request) => {
                self.calls.push_back(now);
                let deadline = now + request.time_left;
                let record = RequestRecord {
                    request: request.clone(),
                    deadline,
                    finished: false,
                    attempts: Vec::new(),
                };
                self.requests.entry(request.id.clone()).or_insert(record);
            }
            Event::AttemptEnded { request, attempt, outcome, answered, .. } => {
                if let Some(record) = self.requests.get_mut(request) {
                    if let Some(attempt) = record.attempts.get_mut(*attempt) {
                        attempt.2.get_or_insert(*outcome);
                    }
                    record.finished |= answered;
                }
            }
            Event::PrewarmEnded { worker, function, outcome: Outcome::NotSent, .. } => {
                let is_same =
                    |order: &(Micros, WorkerId, FunctionId)| order.1 == *worker && order.2 == *function;
                if let Some(position) = self.orders.iter().rposition(is_same) {
                    self.orders.remove(position);
                }
            }
            Event::ClientLeft(request) => {
                self.requests.entry(request.clone()).and_modify(|record| record.finished = true);
            }
            Event::List(update) => {
                let (entries, complete) = match update {
                    WorkerListUpdate::Complete(entries) => (entries.clone(), true),
                    WorkerListUpdate::Changes(entries) => (entries.clone(), false),
                    WorkerListUpdate::Unavailable => return,
                };
                if complete {
                    for id in self.listed.keys() {
                        if !entries.iter().any(|e| e.id == *id) {
                            self.unavailable_since.entry(id.clone()).or_insert(now);
                        }
                    }
                }
                for entry in entries {
                    if entry.state == WorkerState::InService {
                        self.unavailable_since.remove(&entry.id);
                    } else {
                        self.unavailable_since.entry(entry.id.clone()).or_insert(now);
                    }
                    self.listed.insert(entry.id.clone(), entry);
                }
            }
            _ => {}
        }
    }

    /// Checks an action.
    pub fn action(&mut self, now: Micros, action: &Action) {
        let mut found = Vec::new();
        match action {
            Action::Send { request, worker, .. } => found.extend(self.send(now, request, worker)),
            Action::Refuse { request, .. } | Action::Fail { request } => {
                let refused = matches!(action, Action::Refuse { .. });
                match self.requests.get(request) {
                    None => found.push(format!("answers the unknown {request}")),
                    Some(record) if record.finished => found.push(format!("answers {request} twice")),
                    Some(record) => {
                        let may_retry = match self.effect(&record.request) {
                            Effect::Safe => true,
                            Effect::Keyed { group: Group::All, .. }
                                if self.settings.clients_retry_within_retention =>
                            {
                                true
                            }
                            _ => record.attempts.iter().all(|a| a.2.is_some_and(Outcome::never_ran)),
                        };
                        if refused && !may_retry {
                            found.push(format!("refuses {request}, which may have run"));
                        }
                    }
                }
                self.requests.entry(request.clone()).and_modify(|record| record.finished = true);
            }
            Action::Hold { worker, function, count } if *count > 0 => {
                if !self.listed.contains_key(worker) || self.is_unavailable(now, worker) {
                    found.push(format!("orders a load on {worker}, which drains or is gone"));
                }
                self.orders.push((now, worker.clone(), function.clone()));
                if let Some(limit) = &self.settings.order_rate_limit {
                    let since = now.saturating_sub(limit.window);
                    let orders = self.orders.iter().filter(|(at, ..)| *at >= since).count() as f64;
                    let calls = self.calls.iter().filter(|at| **at >= since).count() as f64;
                    if orders > limit.base_orders + limit.per_request * calls {
                        found.push("orders more loads than the rate limit".into());
                    }
                }
            }
            _ => {}
        }
        self.violations.extend(found);
    }

    fn is_unavailable(&self, now: Micros, worker: &WorkerId) -> bool {
        self.unavailable_since.get(worker).is_some_and(|at| now > at + self.settings.drain_grace)
    }

    /// Checks and records an attempt.
    fn send(&mut self, now: Micros, id: &RequestId, to: &WorkerId) -> Vec<String> {
        let mut found = Vec::new();
        if self.is_unavailable(now, to) || !self.listed.contains_key(to) {
            found.push(format!("sends to {to}, which drains or is gone"));
        }
        let Some(record) = self.requests.get(id) else { return vec![format!("sends the unknown {id}")] };
        if record.finished {
            found.push(format!("sends {id}, which is finished"));
        }
        if record.attempts.len() >= self.settings.max_attempts {
            found.push(format!("sends {id} too often"));
        }
        if !self.settings.may_hedge && record.attempts.iter().any(|a| a.2.is_none()) {
            found.push(format!("has two attempts of {id} in flight"));
        }
        for (worker, sent, outcome) in &record.attempts {
            if outcome.is_some_and(Outcome::never_ran) {
                continue;
            }
            match self.effect(&record.request) {
                Effect::Safe => {}
                Effect::Unsafe => found.push(format!("sends the unsafe {id} again")),
                Effect::Keyed { group, retention: memory } => {
                    let (from, to) = (&self.listed[worker], &self.listed[to]);
                    let same_group = match group {
                        Group::All => true,
                        Group::Zone => from.zone == to.zone,
                        Group::Cell => from.cell == to.cell,
                    };
                    if !same_group || now > sent + memory {
                        found.push(format!(
                            "sends the keyed {id} outside its group or after its deduplication time"
                        ));
                    }
                }
            }
        }
        self.requests.entry(id.clone()).and_modify(|record| record.attempts.push((to.clone(), now, None)));
        let cold = self.settings.cold_start;
        if let Some(start) = self.listed.get(to).and_then(|w| w.started)
            && now < start + cold.warm_up
        {
            let window = self.cold_sends.entry(to.clone()).or_default();
            window.push_back(now);
            while window.front().is_some_and(|at| at + cold.overload_window < now) {
                window.pop_front();
            }
            let age =
                now.saturating_sub(cold.overload_window).saturating_sub(start) as f64 / cold.warm_up as f64;
            let capacity =
                self.worker_rate * (cold.initial_share + (1.0 - cold.initial_share) * age.min(1.0));
            let budget = cold.overload_multiple * capacity * cold.overload_window as f64 / 1e6;
            if window.len() as f64 > budget / f64::from(self.settings.gateways) {
                found.push(format!("overloads the cold {to}"));
            }
        }
        found
    }
}

impl Checker {
    /// Whether the request has no final answer yet.
    pub fn is_open(&self, id: &RequestId) -> bool {
        self.requests.get(id).is_some_and(|record| !record.finished)
    }
}
