//! The engine: from inputs to the module's events, from its actions to outputs.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use cresswheel::{
    Action, Dispatcher, Effect, Event, FunctionId, Group, ListNews, Micros, Request, RequestId,
    SettingsError, WorkerEntry, WorkerId, WorkerState,
};
use cresswheel_protocol::{Ending, Listed, Origin, Shape, Standing, Status};
use foldhash::{HashMap, HashMapExt};

use crate::admission::Admission;
use crate::counters::{Counters, count};
use crate::departure::{Barred, Departure, Departures, ListAge, ListTerms, WaitFor};
use crate::keys::{Keys, Match};
use crate::results::Results;
use crate::{Answer, Attempt, AttemptEnd, Call, Client, EngineSettings, Input, OrderEnd, Output, Route};

/// Most workers that a list may name; what comes after is passed over.
const MOST_WORKERS: usize = 100_000;

/// A call without its final answer.
struct Open {
    call: Arc<Call>,
    class: usize,
    deadline: Micros,
    /// Who waits, each until a time of its own.
    waiters: BTreeMap<Client, Micros>,
    /// Its attempts, in the order of sending; those among them that ended are no longer in flight.
    attempts: Vec<u64>,
    /// When the first attempt was sent that is over and may have run; `None`: all that are over provably never ran.
    may_have_run: Option<Micros>,
    last: Option<(AttemptEnd, Arc<[u8]>)>,
    /// What ran, or else what it was given.
    origin: Option<Arc<Origin>>,
    /// An answer after this is late.
    aim: Micros,
    /// An attempt ended in an error, or ran something else.
    erred: bool,
}

/// An attempt that has not ended. It outlives its call: the module is told of each end.
struct Flight {
    id: RequestId,
    number: usize,
    worker: WorkerId,
    sent: Micros,
    due: Micros,
    /// It may leave until then.
    leave_by: Option<Micros>,
}

struct Order {
    worker: WorkerId,
    function: FunctionId,
    sent: Micros,
    due: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Attempt(u64),
    /// It may no longer leave if no byte of it has.
    Leave(u64),
    Order(u64),
    /// A waiter whose time ends before its call's.
    Waiter(Client),
    Module,
}

enum Waiting {
    Call(RequestId),
    Result(String),
}

/// What a client waits for, and until when if that ends before the call does.
struct Wait {
    on: Waiting,
    until: Option<Micros>,
}

/// One gateway, without sockets and clock.
pub struct Engine {
    settings: EngineSettings,
    module: Dispatcher,
    /// Makes this life's ids differ from those of all others.
    life: u64,
    classes: HashMap<String, usize>,
    tenants: HashMap<String, usize>,
    open: HashMap<RequestId, Open>,
    flights: HashMap<u64, Flight>,
    orders: HashMap<u64, Order>,
    shapes: HashMap<FunctionId, Shape>,
    results: Results,
    keys: Keys,
    admission: Admission,
    clients: BTreeMap<u64, BTreeMap<u64, Wait>>,
    /// Who waits for a deferred call's result.
    awaits: HashMap<String, BTreeSet<Client>>,
    due: BTreeSet<(Micros, Due)>,
    module_due: Option<Micros>,
    next: u64,
    draining: bool,
    listed: BTreeMap<String, Listed>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    counters: Counters,
    departures: Departures,
    now: Micros,
}

impl Engine {
    /// An engine with nothing but its settings. `life` must differ from start to start: ids are made from it,
    /// and it seeds the module's ties.
    pub fn new(settings: EngineSettings, life: u64) -> Result<Self, SettingsError> {
        let module = Dispatcher::new(settings.module.clone(), life)?;
        let classes = settings.module.classes.iter().enumerate().map(|(at, c)| (c.name.clone(), at));
        let tenants = settings.module.tenants.iter().enumerate().map(|(at, t)| (t.name.clone(), at));
        Ok(Self {
            module,
            life,
            classes: classes.collect(),
            tenants: tenants.collect(),
            open: HashMap::new(),
            flights: HashMap::new(),
            orders: HashMap::new(),
            shapes: HashMap::new(),
            results: Results::new(settings.results),
            keys: Keys::default(),
            admission: Admission::new(settings.admission),
            clients: BTreeMap::new(),
            awaits: HashMap::new(),
            due: BTreeSet::new(),
            module_due: None,
            next: 0,
            draining: false,
            listed: BTreeMap::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            counters: Counters::new(&settings.module.classes),
            departures: Departures::default(),
            now: 0,
            settings,
        })
    }

    /// Takes one input at the time `now` (microseconds since 1970) and appends what is to be done, in order.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::Call(client, call) => self.call(client, call, out),
            Input::Await(client, id, wait) => self.wait_for(client, id, wait, out),
            Input::Cancel(client) => self.cancel(client, out),
            Input::Left(connection) => {
                let held = self.clients.get(&connection).into_iter().flatten();
                for number in held.map(|(number, _)| *number).collect::<Vec<_>>() {
                    self.cancel(Client { connection, number }, out);
                }
            }
            Input::AttemptEnded(attempt, end, body, origin) => {
                self.attempt_ended(attempt, end, body.into(), origin, out);
            }
            Input::OrderEnded(order, end, standing) => self.order_ended(order, end, standing, out),
            Input::Expected(function, like, within) => {
                self.events.push_back(Event::Expected { function, like, within });
            }
            Input::Probed(worker) => {
                self.events.push_back(Event::Probed { worker, outcome: cresswheel::Outcome::Ok });
            }
            Input::WorkerSaid { worker, serves, asked } => self.worker_said(worker, serves, asked),
            Input::ListAge(age) => self.list_aged(age),
            Input::ListDisputed(workers) => self.list_disputed(workers),
            Input::List { whole, workers } => self.list(whole, workers),
            Input::ListLost => self.events.push_back(Event::List(ListNews::Lost)),
            Input::Drain => self.draining = true,
            Input::Stop => self.stop(out),
            Input::Wake => {}
        }
        self.expire(out);
        self.run_module(out);
    }

    /// When [`Input::Wake`] is wanted next.
    pub fn wake_at(&self) -> Option<Micros> {
        let results = self.results.next_expiry();
        self.due.first().map(|(at, _)| *at).into_iter().chain(results).min()
    }

    /// What was counted since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Calls without their final answer.
    pub fn open_calls(&self) -> usize {
        self.open.len()
    }

    /// Attempts that have not ended.
    pub fn open_attempts(&self) -> usize {
        self.flights.len()
    }

    /// Bytes of results kept.
    pub fn result_bytes(&self) -> usize {
        self.results.bytes()
    }

    /// The workers listed, by id.
    pub fn workers(&self) -> impl Iterator<Item = &Listed> {
        self.listed.values()
    }

    /// Changes what may change in a running gateway: the bounds, not what the module was started with.
    pub fn change_bounds(&mut self, settings: &EngineSettings) {
        self.admission.limits = settings.admission;
        self.results.limits = settings.results;
        self.settings.admission = settings.admission;
        self.settings.results = settings.results;
        self.settings.answer_margin = settings.answer_margin;
        self.settings.most_time = settings.most_time;
        self.settings.deferred_time = settings.deferred_time;
    }

    /// From now on the worker list counts only as long as these terms allow; this is its age.
    pub fn hold_to_list_age(&mut self, terms: ListTerms, age: ListAge) {
        self.departures.hold_to(terms, age);
    }

    /// Whether an attempt or order may leave now: to be asked right before its first byte does.
    pub fn may_leave(&self, now: Micros, number: u64) -> Departure {
        if let Some(order) = self.orders.get(&number) {
            return self.may_go_to(now, &order.worker);
        }
        let Some(flight) = self.flights.get(&number) else { return Departure::Never(Barred::CallOver) };
        match self.open.get(&flight.id) {
            None => Departure::Never(Barred::CallOver),
            Some(open) if open.deadline <= now => Departure::Never(Barred::DeadlinePassed),
            Some(_) if flight.leave_by.is_some_and(|by| by <= now) => Departure::Never(Barred::MemoryPassed),
            Some(_) => self.may_go_to(now, &flight.worker),
        }
    }

    fn may_go_to(&self, now: Micros, worker: &WorkerId) -> Departure {
        let standing = self.listed.get(&*worker.0).map(|listed| listed.standing);
        self.departures.judge(now, worker, standing)
    }

    /// What is left at that time of the client's time, and of the attempt's own.
    pub fn times_left(&self, now: Micros, attempt: u64) -> Option<(Micros, Micros)> {
        let flight = self.flights.get(&attempt)?;
        let open = self.open.get(&flight.id)?;
        Some((open.deadline.saturating_sub(now), flight.due.saturating_sub(now)))
    }

    /// Something was kept back, or taken back, right before it left.
    pub fn kept_back(&mut self, why: Departure) {
        let word = match why {
            Departure::Now => return,
            Departure::Wait(WaitFor::List) => "waits-for-list",
            Departure::Wait(WaitFor::Worker) => "waits-for-worker",
            Departure::Wait(WaitFor::Agreement) => "list-disputed",
            Departure::Never(barred) => barred.word(),
        };
        count(&mut self.counters.kept_back, word);
    }

    /// The first byte of an attempt or order has left. Checks it against the rules, apart from what allowed it; gives
    /// the rule that it breaks.
    pub fn departed(&mut self, now: Micros, number: u64) -> Option<&'static str> {
        let (worker, deadline) = match (self.flights.get(&number), self.orders.get(&number)) {
            (Some(flight), _) => (&flight.worker, self.open.get(&flight.id).map(|open| open.deadline)),
            (None, Some(order)) => (&order.worker, None),
            (None, None) => return None,
        };
        let broken = if self.departures.is_past_grace(now, worker) {
            "drain"
        } else if deadline.is_some_and(|deadline| deadline <= now) {
            "deadline"
        } else {
            return None;
        };
        count(&mut self.counters.violations, broken);
        Some(broken)
    }

    fn call(&mut self, client: Client, call: Call, out: &mut Vec<Output>) {
        let held = self.clients.get(&client.connection);
        if held.is_some_and(|h| h.contains_key(&client.number)) {
            return out.push(Output::Close(client.connection, "a number is used twice"));
        }
        let on_connection = held.map_or(0, BTreeMap::len);
        match self.keys.find(&call) {
            Match::None => {}
            Match::Repeat(id) => return self.repeat(client, &call, id, on_connection, out),
            Match::Other => return self.turn_away(client, "key-in-use", out),
        }
        let class = self.classes.get(&call.class).copied();
        let Some((class, give_up)) = class.map(|c| (c, self.settings.module.classes[c].give_up)) else {
            return self.turn_away(client, "unknown-class", out);
        };
        let usual = if call.deferred { self.settings.deferred_time } else { give_up };
        let asked = if call.time_left == 0 { usual } else { call.time_left };
        let time = asked.min(self.settings.most_time);
        let why = if self.draining {
            Some("stopping")
        } else if call.function.is_empty() {
            Some("no-function")
        } else if time <= self.settings.answer_margin {
            Some("no-time")
        } else {
            self.admission.take(call.routed(), call.body.len(), on_connection).err()
        };
        if let Some(why) = why {
            return self.turn_away(client, why, out);
        }
        self.next += 1;
        // The part that differs comes first: ids are compared often.
        let id = RequestId::from(format!("{:x}-{:x}", self.next, self.life).as_str());
        let function = FunctionId::from(call.routed());
        let told = |value: u32| (value > 0).then_some(value);
        let shape = call.shape.clone();
        let request = Request {
            id: id.clone(),
            class,
            tenant: self.tenants.get(&call.tenant).copied(),
            function: function.clone(),
            time_left: time - self.settings.answer_margin,
            memory_mb: told(shape.memory_mb).map(f64::from),
            lanes: told(shape.lanes),
            load_time: (shape.load_time > 0).then_some(shape.load_time),
        };
        if self.shapes.get(&function) != Some(&shape) {
            self.shapes.insert(function, shape);
        }
        self.keys.put(&call, &id.0);
        self.counters.taken[class] += 1;
        let mut waiters = BTreeMap::new();
        if call.deferred {
            out.push(Output::Accepted(client, id.0.to_string()));
        } else {
            waiters.insert(client, self.now + time);
            self.await_answer(client, Waiting::Call(id.clone()), None);
        }
        let given = |route: &Route| Origin { function: route.function.clone(), digest: String::new() };
        let open = Open {
            origin: call.route.as_ref().map(|route| Arc::new(given(route))),
            aim: self.now.saturating_add(self.settings.module.classes[class].aim),
            call: Arc::new(call),
            class,
            deadline: self.now + time,
            waiters,
            attempts: Vec::new(),
            may_have_run: None,
            last: None,
            erred: false,
        };
        self.open.insert(id, open);
        self.events.push_back(Event::Arrived(request));
    }

    /// Turned away before it was taken: nothing ran, a further try does no harm.
    fn turn_away(&mut self, client: Client, why: &'static str, out: &mut Vec<Output>) {
        count(&mut self.counters.turned_away, why);
        out.push(Output::Answer(client, Answer::bare(Status::Refused, why)));
    }

    /// A client's repeat by key: it waits with the first try, or gets what that got.
    fn repeat(&mut self, client: Client, call: &Call, id: String, others: usize, out: &mut Vec<Output>) {
        self.counters.repeats += 1;
        if call.deferred {
            return out.push(Output::Accepted(client, id));
        }
        if let Some(answer) = self.results.get(&id) {
            return out.push(Output::Answer(client, answer.clone()));
        }
        if others >= self.settings.admission.per_connection {
            return self.turn_away(client, "connection-full", out);
        }
        let id = RequestId::from(id.as_str());
        let Some(open) = self.open.get_mut(&id) else {
            debug_assert!(false, "a key without its call or result");
            return self.turn_away(client, "key-in-use", out);
        };
        let give_up = self.settings.module.classes[open.class].give_up;
        let asked = if call.time_left == 0 { give_up } else { call.time_left };
        let until = self.now + asked.saturating_sub(self.settings.answer_margin);
        open.waiters.insert(client, until);
        let until = (until < open.deadline).then_some(until);
        self.await_answer(client, Waiting::Call(id), until);
    }

    fn await_answer(&mut self, client: Client, on: Waiting, until: Option<Micros>) {
        until.into_iter().for_each(|at| _ = self.due.insert((at, Due::Waiter(client))));
        self.clients.entry(client.connection).or_default().insert(client.number, Wait { on, until });
    }

    fn wait_for(&mut self, client: Client, id: String, wait: Micros, out: &mut Vec<Output>) {
        let held = self.clients.get(&client.connection);
        if held.is_some_and(|h| h.contains_key(&client.number)) {
            return out.push(Output::Close(client.connection, "a number is used twice"));
        }
        let full = held.map_or(0, BTreeMap::len) >= self.settings.admission.per_connection;
        let answer = if let Some(answer) = self.results.get(&id) {
            answer.clone()
        } else if self.results.is_gone(&id) {
            Answer::bare(Status::Expired, "expired")
        } else if !self.open.contains_key(&RequestId::from(id.as_str())) {
            Answer::bare(Status::Unknown, "unknown")
        } else if wait == 0 || full {
            Answer::bare(Status::Pending, "pending")
        } else {
            let until = self.now + wait.min(self.settings.most_time);
            self.awaits.entry(id.clone()).or_default().insert(client);
            return self.await_answer(client, Waiting::Result(id), Some(until));
        };
        out.push(Output::Answer(client, answer));
    }

    fn cancel(&mut self, client: Client, out: &mut Vec<Output>) {
        if let Some(waiting) = self.forget_client(client) {
            self.leave(client, waiting, out);
        }
    }

    fn forget_client(&mut self, client: Client) -> Option<Waiting> {
        let numbers = self.clients.get_mut(&client.connection)?;
        let wait = numbers.remove(&client.number)?;
        if numbers.is_empty() {
            self.clients.remove(&client.connection);
        }
        wait.until.into_iter().for_each(|at| _ = self.due.remove(&(at, Due::Waiter(client))));
        Some(wait.on)
    }

    /// A client stopped waiting. A call that nobody waits for is the module's to forget; a deferred one goes on,
    /// and so does one with a key, whose client may come back for it.
    fn leave(&mut self, client: Client, waiting: Waiting, out: &mut Vec<Output>) {
        match waiting {
            Waiting::Result(id) => self.stop_waiting(client, &id),
            Waiting::Call(id) => {
                let Some(open) = self.open.get_mut(&id) else { return };
                open.waiters.remove(&client);
                if open.waiters.is_empty() && !open.call.deferred && !open.call.has_own_key() {
                    self.counters.abandoned += 1;
                    self.withdraw(&id, out);
                    self.events.push_back(Event::Gone(id.clone()));
                    self.close(&id);
                }
            }
        }
    }

    fn stop_waiting(&mut self, client: Client, id: &str) {
        if let Some(waiting) = self.awaits.get_mut(id) {
            waiting.remove(&client);
            if waiting.is_empty() {
                self.awaits.remove(id);
            }
        }
    }

    /// Attempts of a call that is over are taken back where no byte of them has left.
    fn withdraw(&mut self, id: &RequestId, out: &mut Vec<Output>) {
        for attempt in self.open.get(id).map_or(&[][..], |open| &open.attempts) {
            if let Some(flight) = self.flights.get(attempt) {
                out.push(Output::Withdraw(flight.worker.clone(), *attempt));
            }
        }
    }

    fn close(&mut self, id: &RequestId) -> Option<Open> {
        let open = self.open.remove(id)?;
        self.admission.release(open.call.body.len());
        Some(open)
    }

    /// The final answer of a call, to all who wait for it.
    fn finish(&mut self, id: &RequestId, mut answer: Answer, out: &mut Vec<Output>) {
        let Some(open) = self.close(id) else { return };
        answer.origin = open.origin;
        count(&mut self.counters.answers, (open.class, answer.status, answer.reason));
        if open.call.route.is_some() {
            let (call, status, late) = (open.call.clone(), answer.status, self.now > open.aim);
            out.push(Output::Over { call, status, late, erred: open.erred });
        }
        for client in open.waiters.into_keys() {
            self.forget_client(client);
            out.push(Output::Answer(client, answer.clone()));
        }
        for client in self.awaits.remove(&*id.0).unwrap_or_default() {
            self.forget_client(client);
            out.push(Output::Answer(client, answer.clone()));
        }
        // A refused call did not take effect: its key is free for another try.
        let refused = answer.status == Status::Refused;
        if refused {
            self.keys.forget(&id.0);
        }
        if open.call.deferred || (open.call.has_own_key() && !refused) {
            let evicted = self.results.put(self.now, &id.0, answer);
            self.counters.results_evicted += evicted.len() as u64;
            evicted.iter().for_each(|id| self.keys.forget(id));
        }
    }

    fn attempt_ended(
        &mut self,
        attempt: u64,
        end: AttemptEnd,
        body: Arc<[u8]>,
        origin: Option<Origin>,
        out: &mut Vec<Output>,
    ) {
        let Some(flight) = self.flights.remove(&attempt) else {
            // It was over before; what was taken back or broke after that is no answer.
            self.counters.late_answers += u64::from(matches!(end, AttemptEnd::Answered(..)));
            return;
        };
        self.due.remove(&(flight.due, Due::Attempt(attempt)));
        flight.leave_by.into_iter().for_each(|at| _ = self.due.remove(&(at, Due::Leave(attempt))));
        let end = self.checked(&flight.id, end, origin.as_ref(), out);
        count(&mut self.counters.attempts, end.word());
        let outcome = end.outcome();
        let served = outcome == cresswheel::Outcome::Ok;
        let wrong = matches!(end, AttemptEnd::Wrong(_));
        let over = match self.open.get_mut(&flight.id) {
            None => true,
            Some(open) => {
                if !outcome.never_ran() {
                    open.may_have_run = Some(open.may_have_run.unwrap_or(flight.sent).min(flight.sent));
                }
                open.erred |= outcome == cresswheel::Outcome::Error;
                // What the wrong version answered is no answer.
                let body = if wrong { Arc::from([]) } else { body.clone() };
                open.last = Some((end, body));
                if served && origin.is_some() {
                    open.origin = origin.map(Arc::new);
                }
                false
            }
        };
        if served && !over {
            let answer = Answer { body, ..Answer::bare(Status::Served, "") };
            self.finish(&flight.id, answer, out);
        } else if served {
            self.counters.late_answers += 1;
        }
        let (crowd, load_failed) = match end {
            AttemptEnd::Answered(ending, crowd) => (Some(crowd), ending == Ending::LoadFailed),
            AttemptEnd::Wrong(crowd) => (Some(crowd), false),
            _ => (None, false),
        };
        self.events.push_back(Event::Ended {
            request: flight.id,
            attempt: flight.number,
            worker: flight.worker,
            outcome,
            elapsed: self.now.saturating_sub(flight.sent),
            answered: served || over,
            crowd,
            load_failed,
        });
    }

    /// Holds a worker's word for what it ran against what it was asked for.
    fn checked(
        &self,
        id: &RequestId,
        end: AttemptEnd,
        origin: Option<&Origin>,
        out: &mut Vec<Output>,
    ) -> AttemptEnd {
        let AttemptEnd::Answered(Ending::Ok, crowd) = end else { return end };
        let Some(call) = self.open.get(id).map(|open| &open.call) else { return end };
        let Some(route) = &call.route else { return end };
        let right = match origin {
            Some(Origin { function, digest }) => {
                *function == route.function && (route.digest.is_empty() || *digest == route.digest)
            }
            None => route.digest.is_empty(),
        };
        out.push(Output::Ran(call.clone(), origin.cloned(), !right));
        if right { end } else { AttemptEnd::Wrong(crowd) }
    }

    fn order_ended(&mut self, number: u64, end: OrderEnd, standing: u32, out: &mut Vec<Output>) {
        let Some(order) = self.orders.remove(&number) else {
            self.counters.late_answers += u64::from(matches!(end, OrderEnd::Answered(_)));
            return;
        };
        self.due.remove(&(order.due, Due::Order(number)));
        let stands = end == OrderEnd::Answered(Ending::Ok) && standing > 0;
        out.push(Output::Loaded(order.function.clone(), stands));
        self.events.push_back(Event::Held {
            worker: order.worker,
            function: order.function,
            outcome: end.outcome(),
            elapsed: self.now.saturating_sub(order.sent),
            standing,
        });
    }

    fn list(&mut self, whole: bool, mut workers: Vec<Listed>) {
        let before = workers.len();
        workers.retain(|w| !w.id.is_empty());
        workers.truncate(MOST_WORKERS);
        self.counters.list_passed_over += (before - workers.len()) as u64;
        let previous = if whole { std::mem::take(&mut self.listed) } else { BTreeMap::new() };
        for worker in workers.iter() {
            let started = previous.get(&worker.id).or(self.listed.get(&worker.id)).map(|w| w.started);
            let began_anew = started.is_some_and(|started| started != worker.started);
            let id = WorkerId::from(worker.id.as_str());
            self.departures.listed(self.now, &id, worker.standing, began_anew);
        }
        let entries = workers.iter().map(|worker| self.entry(worker)).collect();
        for worker in workers {
            if worker.standing == Standing::Out {
                self.listed.remove(&worker.id);
            } else {
                self.listed.insert(worker.id.clone(), worker);
            }
        }
        for id in previous.keys().filter(|id| !self.listed.contains_key(*id)) {
            self.departures.listed(self.now, &WorkerId::from(id.as_str()), Standing::Out, false);
        }
        let listed = &self.listed;
        self.departures.forget(self.now, |worker| listed.contains_key(&*worker.0));
        let news = if whole { ListNews::Whole(entries) } else { ListNews::Changes(entries) };
        self.events.push_back(Event::List(news));
    }

    /// A listed worker in the module's terms. One that says itself that it leaves drains, whatever the list says; so
    /// does one that is disputed and can't be asked.
    fn entry(&self, worker: &Listed) -> WorkerEntry {
        let id = WorkerId::from(worker.id.as_str());
        let state = match worker.standing {
            Standing::In if self.departures.is_kept_from_module(&id) => WorkerState::Draining,
            Standing::In => WorkerState::In,
            Standing::Draining => WorkerState::Draining,
            Standing::Out => WorkerState::Out,
        };
        WorkerEntry {
            id,
            zone: worker.zone.clone(),
            kind: worker.kind.clone(),
            cell: worker.cell,
            state,
            started: (worker.started > 0).then_some(worker.started),
        }
    }

    fn worker_said(&mut self, worker: WorkerId, serves: bool, asked: Micros) {
        let listed = self.listed.get(&*worker.0).is_some_and(|listed| listed.standing == Standing::In);
        if listed {
            self.departures.worker_said(worker.clone(), serves, asked);
            if !serves {
                self.tell_module_of(&worker);
            }
        }
    }

    fn list_aged(&mut self, age: ListAge) {
        self.change_withheld(|departures| departures.aged(age));
        for worker in self.departures.caught_up() {
            self.tell_module_of(&worker);
        }
    }

    fn list_disputed(&mut self, workers: BTreeSet<WorkerId>) {
        let now = self.now;
        self.change_withheld(|departures| departures.dispute(now, workers));
    }

    /// Tells the module of workers that it is to use no more, or again, after a change.
    fn change_withheld(&mut self, change: impl FnOnce(&mut Departures)) {
        let before = self.departures.withheld();
        change(&mut self.departures);
        let after = self.departures.withheld();
        before.symmetric_difference(&after).for_each(|worker| self.tell_module_of(worker));
    }

    /// Tells the module of a listed worker once more: whether it takes new work has changed.
    fn tell_module_of(&mut self, worker: &WorkerId) {
        let entry = self.listed.get(&*worker.0).map(|listed| self.entry(listed));
        let news = entry.map(|entry| Event::List(ListNews::Changes(vec![entry])));
        self.events.extend(news);
    }

    /// Answers everything that is open, as its class and its attempts allow.
    fn stop(&mut self, out: &mut Vec<Output>) {
        self.draining = true;
        let mut left: Vec<RequestId> = self.open.keys().cloned().collect();
        left.sort();
        for id in left {
            self.withdraw(&id, out);
            let Some(open) = self.open.get(&id) else { continue };
            let out_still = open.attempts.iter().any(|attempt| self.flights.contains_key(attempt));
            let harmless = match self.settings.module.classes[open.class].effect {
                Effect::Safe | Effect::Keyed { group: Group::All, .. } => true,
                _ => open.may_have_run.is_none() && !out_still,
            };
            let status = if harmless { Status::Refused } else { Status::Failed };
            self.events.push_back(Event::Gone(id.clone()));
            self.finish(&id, Answer::bare(status, "stopping"), out);
        }
    }

    /// What is due by now.
    fn expire(&mut self, out: &mut Vec<Output>) {
        let gone = self.results.expire(self.now);
        gone.iter().for_each(|id| self.keys.forget(id));
        while let Some((_, due)) = self.due.first().filter(|(at, _)| *at <= self.now).cloned() {
            self.due.pop_first();
            match due {
                Due::Module => {
                    self.module_due = None;
                    self.events.push_back(Event::Wake);
                }
                Due::Attempt(attempt) => {
                    if let Some(flight) = self.flights.get(&attempt) {
                        out.push(Output::Overdue(flight.worker.clone(), attempt));
                    }
                    self.attempt_ended(attempt, AttemptEnd::Silent, Arc::from([]), None, out);
                }
                Due::Leave(attempt) => {
                    if let Some(flight) = self.flights.get_mut(&attempt) {
                        flight.leave_by = None;
                        out.push(Output::Withdraw(flight.worker.clone(), attempt));
                    }
                }
                Due::Order(order) => self.order_ended(order, OrderEnd::Silent, 0, out),
                Due::Waiter(client) => match self.forget_client(client) {
                    Some(Waiting::Result(id)) => {
                        self.stop_waiting(client, &id);
                        out.push(Output::Answer(client, Answer::bare(Status::Pending, "pending")));
                    }
                    Some(Waiting::Call(id)) => {
                        self.open.get_mut(&id).into_iter().for_each(|o| _ = o.waiters.remove(&client));
                        out.push(Output::Answer(client, Answer::bare(Status::Failed, "still-running")));
                    }
                    None => {}
                },
            }
        }
    }

    fn run_module(&mut self, out: &mut Vec<Output>) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.module.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action, out);
            }
            self.actions = actions;
        }
    }

    fn carry_out(&mut self, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::Send { request, worker, timeout } => self.send(request, worker, timeout, out),
            Action::Cancel { request, attempt } => {
                let number = self.open.get(&request).and_then(|open| open.attempts.get(attempt).copied());
                if let Some(number) = number
                    && let Some(flight) = self.flights.get(&number)
                {
                    out.push(Output::CancelRun(flight.worker.clone(), number));
                    self.attempt_ended(number, AttemptEnd::CalledOff, Arc::from([]), None, out);
                }
            }
            Action::Refuse { request, retry_after } => {
                let answer = self.last_word(&request, Status::Refused);
                let retry_after = retry_after.unwrap_or(0);
                self.finish(&request, Answer { retry_after, ..answer }, out);
            }
            Action::Fail { request } => {
                let answer = self.last_word(&request, Status::Failed);
                self.finish(&request, answer, out);
            }
            Action::Hold { worker, function, count, .. } => {
                self.next += 1;
                self.counters.orders += 1;
                let due = self.now.saturating_add(self.settings.module.order_timeout);
                self.due.insert((due, Due::Order(self.next)));
                let order = Order { worker: worker.clone(), function: function.clone(), sent: self.now, due };
                self.orders.insert(self.next, order);
                let nothing = Shape { memory_mb: 0, lanes: 0, load_time: 0, work: 0 };
                let shape = self.shapes.get(&function).cloned().unwrap_or(nothing);
                out.push(Output::Hold { worker, order: self.next, function, count, shape });
            }
            Action::Drop { worker, function } => out.push(Output::Drop(worker, function)),
            Action::Forget(function) => {
                self.shapes.remove(&function);
                self.admission.forget(&function.0);
            }
            Action::Probe { worker } => out.push(Output::Probe(worker)),
            Action::Follow => out.push(Output::Follow),
            Action::WakeAfter(span) => {
                // Wake-ups come on the tick: none is worth a turn of its own.
                let tick = self.settings.module.tick;
                let at = (self.now.saturating_add(span)).div_ceil(tick).saturating_mul(tick);
                if self.module_due.is_none_or(|due| at < due) {
                    self.module_due.into_iter().for_each(|due| _ = self.due.remove(&(due, Due::Module)));
                    self.module_due = Some(at);
                    self.due.insert((at, Due::Module));
                }
            }
            Action::Log(text) => out.push(Output::Log(text)),
        }
    }

    /// The gateway's own final answer, with what the last attempt ended in as its reason.
    fn last_word(&self, id: &RequestId, status: Status) -> Answer {
        match self.open.get(id).and_then(|open| open.last.as_ref()) {
            Some((end, body)) => Answer { body: body.clone(), ..Answer::bare(status, end.word()) },
            // No attempt ended: either none began, or one is out still.
            None if self.open.get(id).is_some_and(|open| !open.attempts.is_empty()) => {
                Answer::bare(status, "timeout")
            }
            None => Answer::bare(status, "no-worker"),
        }
    }

    fn send(&mut self, id: RequestId, worker: WorkerId, timeout: Micros, out: &mut Vec<Output>) {
        let Some(open) = self.open.get_mut(&id) else {
            // The module's own gate lets no send through for a call that is over; if one comes, none is made.
            debug_assert!(false, "a send for {id}, which is over");
            let (outcome, elapsed, answered) = (AttemptEnd::NotSent.outcome(), 0, true);
            return self.events.push_back(Event::Ended {
                request: id,
                attempt: 0,
                worker,
                outcome,
                elapsed,
                answered,
                crowd: None,
                load_failed: false,
            });
        };
        self.next += 1;
        let due = self.now.saturating_add(timeout);
        let number = open.attempts.len();
        let attempt = Attempt {
            number: self.next,
            worker: worker.clone(),
            id: id.0.to_string(),
            before: number as u32,
            time_left: open.deadline.saturating_sub(self.now),
            timeout,
            is_repeatable: self.settings.module.classes[open.class].effect != Effect::Unsafe,
            call: open.call.clone(),
        };
        open.attempts.push(self.next);
        self.due.insert((due, Due::Attempt(self.next)));
        // A repeat must reach the workers while they remember the first: it may wait for a connection, but not longer.
        let leave_by = match self.settings.module.classes[open.class].effect {
            Effect::Keyed { memory, .. } => open.may_have_run.map(|at| {
                at.saturating_add(memory).saturating_sub(self.settings.module.tick).max(self.now + 1)
            }),
            Effect::Safe | Effect::Unsafe => None,
        };
        leave_by.into_iter().for_each(|at| _ = self.due.insert((at, Due::Leave(self.next))));
        let flight = Flight { id, number, worker, sent: self.now, due, leave_by };
        self.flights.insert(self.next, flight);
        out.push(Output::Run(attempt));
    }
}
