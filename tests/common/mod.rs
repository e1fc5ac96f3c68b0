//! What the tests share: settings, a small stand-in for the host, and the checker of the five rules.
#![allow(dead_code)]

pub mod streams;

use std::collections::{BTreeMap, VecDeque};

use cresswheel::*;

pub const S: Micros = 1_000_000;
pub const MS: Micros = 1_000;

pub fn class(name: &str, effect: Effect) -> Class {
    Class {
        name: name.into(),
        aim: 600 * MS,
        give_up: 5 * S,
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
            class("zone", Effect::Keyed { group: Group::Zone, memory: 2 * S }),
        ],
        keep_alive: 10 * S,
        when_absent: WhenAbsent::Load,
        may_order: true,
        order_timeout: 10 * S,
        may_cancel: true,
        may_probe: true,
        max_attempts: 5,
        drain_grace: S,
        cold: ColdStart { from: 0.2, warm_up: 10 * S, multiple: 2.0, window: 2 * S },
        ..Settings::default()
    }
}

pub fn worker(number: usize) -> WorkerEntry {
    WorkerEntry {
        id: WorkerId::from(format!("10.0.0.{number}:9000").as_str()),
        zone: ["a", "b"][number % 2].into(),
        kind: "std".into(),
        cell: number as u64 % 2,
        state: WorkerState::In,
        started: None,
    }
}

pub fn workers(count: usize) -> Event {
    Event::List(ListNews::Whole((1..=count).map(worker).collect()))
}

pub fn request(id: &str, class: usize, function: &str) -> Request {
    Request {
        id: id.into(),
        class,
        tenant: None,
        function: function.into(),
        time_left: 5 * S,
        memory_mb: Some(500.0),
        lanes: Some(4),
        load_time: None,
    }
}

pub fn ended(id: &str, attempt: usize, worker: &WorkerId, outcome: Outcome) -> Event {
    Event::Ended {
        request: id.into(),
        attempt,
        worker: worker.clone(),
        outcome,
        elapsed: 100 * MS,
        answered: outcome == Outcome::Ok,
        crowd: None,
        load_failed: false,
    }
}

pub fn held(worker: &WorkerId, function: &str, outcome: Outcome, elapsed: Micros) -> Event {
    let standing = u32::from(outcome == Outcome::Ok);
    Event::Held { worker: worker.clone(), function: function.into(), outcome, elapsed, standing }
}

/// A dispatcher, its clock, and the checker watching both streams.
pub struct Bench {
    pub dispatcher: Dispatcher,
    pub now: Micros,
    pub checker: Checker,
    wake: Option<Micros>,
}

impl Bench {
    pub fn new(settings: Settings) -> Self {
        Self::seeded(settings, 7)
    }

    pub fn seeded(settings: Settings, seed: u64) -> Self {
        let checker = Checker::new(settings.clone());
        let dispatcher = Dispatcher::new(settings, seed).expect("sensible settings");
        Self { dispatcher, now: 0, checker, wake: None }
    }

    pub fn give(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.checker.event(self.now, &event);
        self.dispatcher.handle(self.now, event, &mut actions);
        for action in &actions {
            self.checker.action(self.now, action);
            if let Action::WakeAfter(span) = action {
                let at = self.now + span;
                self.wake = Some(self.wake.map_or(at, |wake| wake.min(at)));
            }
        }
        actions
    }

    /// Moves the clock, with the wake-ups on the way.
    pub fn run_to(&mut self, until: Micros) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(at) = self.wake.filter(|at| *at <= until) {
            self.now = self.now.max(at) + self.checker.settings.tick;
            self.wake = None;
            actions.extend(self.give(Event::Wake));
        }
        self.now = self.now.max(until);
        actions
    }
}

pub fn sends(actions: &[Action]) -> Vec<(RequestId, WorkerId)> {
    let send = |a: &Action| match a {
        Action::Send { request, worker, .. } => Some((request.clone(), worker.clone())),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

pub fn holds(actions: &[Action]) -> Vec<(WorkerId, FunctionId)> {
    let hold = |a: &Action| match a {
        Action::Hold { worker, function, count } if *count > 0 => Some((worker.clone(), function.clone())),
        _ => None,
    };
    actions.iter().filter_map(hold).collect()
}

struct Taken {
    request: Request,
    deadline: Micros,
    over: bool,
    attempts: Vec<(WorkerId, Micros, Option<Outcome>)>,
}

/// The five rules over one gateway's events and actions. What it finds is in `broken`.
pub struct Checker {
    pub settings: Settings,
    pub broken: Vec<String>,
    taken: BTreeMap<RequestId, Taken>,
    barred: BTreeMap<WorkerId, Micros>,
    listed: BTreeMap<WorkerId, WorkerEntry>,
    orders: VecDeque<Micros>,
    calls: VecDeque<Micros>,
    cold_sends: BTreeMap<WorkerId, VecDeque<Micros>>,
    /// Requests a second that one warm worker can do, for the fourth rule.
    pub worker_rate: f64,
}

impl Checker {
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            broken: Vec::new(),
            taken: BTreeMap::new(),
            barred: BTreeMap::new(),
            listed: BTreeMap::new(),
            orders: VecDeque::new(),
            calls: VecDeque::new(),
            cold_sends: BTreeMap::new(),
            worker_rate: 40.0,
        }
    }

    fn effect(&self, request: &Request) -> Effect {
        self.settings.classes.get(request.class).map_or(Effect::Unsafe, |c| c.effect)
    }

    pub fn event(&mut self, now: Micros, event: &Event) {
        for (id, taken) in &self.taken {
            if !taken.over && now > taken.deadline + 8 * MS {
                self.broken.push(format!("lost: {id}"));
            }
        }
        self.taken.retain(|_, t| now <= t.deadline + 20 * S);
        match event {
            Event::Arrived(request) => {
                self.calls.push_back(now);
                let deadline = now + request.time_left;
                let taken = Taken { request: request.clone(), deadline, over: false, attempts: Vec::new() };
                self.taken.entry(request.id.clone()).or_insert(taken);
            }
            Event::Ended { request, attempt, outcome, answered, .. } => {
                if let Some(taken) = self.taken.get_mut(request) {
                    if let Some(attempt) = taken.attempts.get_mut(*attempt) {
                        attempt.2.get_or_insert(*outcome);
                    }
                    taken.over |= answered;
                }
            }
            Event::Gone(request) => {
                self.taken.entry(request.clone()).and_modify(|t| t.over = true);
            }
            Event::List(news) => {
                let (entries, whole) = match news {
                    ListNews::Whole(entries) => (entries.clone(), true),
                    ListNews::Changes(entries) => (entries.clone(), false),
                    ListNews::Lost => return,
                };
                if whole {
                    for id in self.listed.keys() {
                        if !entries.iter().any(|e| e.id == *id) {
                            self.barred.entry(id.clone()).or_insert(now);
                        }
                    }
                }
                for entry in entries {
                    if entry.state == WorkerState::In {
                        self.barred.remove(&entry.id);
                    } else {
                        self.barred.entry(entry.id.clone()).or_insert(now);
                    }
                    self.listed.insert(entry.id.clone(), entry);
                }
            }
            _ => {}
        }
    }

    pub fn action(&mut self, now: Micros, action: &Action) {
        let mut found = Vec::new();
        match action {
            Action::Send { request, worker, .. } => found.extend(self.send(now, request, worker)),
            Action::Refuse { request, .. } | Action::Fail { request } => {
                let refused = matches!(action, Action::Refuse { .. });
                match self.taken.get(request) {
                    None => found.push(format!("answers the unknown {request}")),
                    Some(taken) if taken.over => found.push(format!("answers {request} twice")),
                    Some(taken) => {
                        let whole = match self.effect(&taken.request) {
                            Effect::Safe | Effect::Keyed { group: Group::All, .. } => true,
                            _ => taken.attempts.iter().all(|a| a.2.is_some_and(Outcome::never_ran)),
                        };
                        if refused && !whole {
                            found.push(format!("refuses {request}, which may have run"));
                        }
                    }
                }
                self.taken.entry(request.clone()).and_modify(|t| t.over = true);
            }
            Action::Hold { worker, count, .. } if *count > 0 => {
                if !self.listed.contains_key(worker) || self.is_barred(now, worker) {
                    found.push(format!("orders a load on {worker}, which drains or is gone"));
                }
                self.orders.push_back(now);
                if let Some(ration) = &self.settings.ration {
                    let since = now.saturating_sub(ration.window);
                    let orders = self.orders.iter().filter(|at| **at >= since).count() as f64;
                    let calls = self.calls.iter().filter(|at| **at >= since).count() as f64;
                    if orders > ration.free + ration.per_request * calls {
                        found.push("orders more loads than the ration".into());
                    }
                }
            }
            _ => {}
        }
        self.broken.extend(found);
    }

    fn is_barred(&self, now: Micros, worker: &WorkerId) -> bool {
        self.barred.get(worker).is_some_and(|at| now > at + self.settings.drain_grace)
    }

    fn send(&mut self, now: Micros, id: &RequestId, to: &WorkerId) -> Vec<String> {
        let mut found = Vec::new();
        if self.is_barred(now, to) || !self.listed.contains_key(to) {
            found.push(format!("sends to {to}, which drains or is gone"));
        }
        let Some(taken) = self.taken.get(id) else { return vec![format!("sends the unknown {id}")] };
        if taken.over {
            found.push(format!("sends {id}, which is over"));
        }
        if taken.attempts.len() >= self.settings.max_attempts {
            found.push(format!("sends {id} too often"));
        }
        if !self.settings.may_duplicate && taken.attempts.iter().any(|a| a.2.is_none()) {
            found.push(format!("has two attempts of {id} out"));
        }
        for (worker, sent, outcome) in &taken.attempts {
            if outcome.is_some_and(Outcome::never_ran) {
                continue;
            }
            match self.effect(&taken.request) {
                Effect::Safe => {}
                Effect::Unsafe => found.push(format!("sends the unsafe {id} again")),
                Effect::Keyed { group, memory } => {
                    let (from, to) = (&self.listed[worker], &self.listed[to]);
                    let near = match group {
                        Group::All => true,
                        Group::Zone => from.zone == to.zone,
                        Group::Cell => from.cell == to.cell,
                    };
                    if !near || now > sent + memory {
                        found.push(format!("sends the keyed {id} outside its group or its time"));
                    }
                }
            }
        }
        self.taken.entry(id.clone()).and_modify(|t| t.attempts.push((to.clone(), now, None)));
        let cold = self.settings.cold;
        if let Some(start) = self.listed.get(to).and_then(|w| w.started)
            && now < start + cold.warm_up
        {
            let window = self.cold_sends.entry(to.clone()).or_default();
            window.push_back(now);
            while window.front().is_some_and(|at| at + cold.window < now) {
                window.pop_front();
            }
            let age = now.saturating_sub(cold.window).saturating_sub(start) as f64 / cold.warm_up as f64;
            let capacity = self.worker_rate * (cold.from + (1.0 - cold.from) * age.min(1.0));
            let budget = cold.multiple * capacity * cold.window as f64 / 1e6;
            if window.len() as f64 > budget / f64::from(self.settings.gateways) {
                found.push(format!("pushes the cold {to} over"));
            }
        }
        found
    }
}

impl Checker {
    /// Whether the request still lacks its final answer.
    pub fn open(&self, id: &RequestId) -> bool {
        self.taken.get(id).is_some_and(|t| !t.over)
    }
}
