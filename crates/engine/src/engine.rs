//! The engine: translates inputs into events of the dispatcher, and its actions into outputs.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use cresswheel::{
    Action, Dispatcher, Effect, Event, FunctionId, Micros, Request, RequestId, SettingsError, WorkerEntry,
    WorkerId, WorkerListUpdate, WorkerState,
};
use cresswheel_protocol::{Ending, FunctionProfile, ListedWorker, MemberState, Origin, Status};
use foldhash::{HashMap, HashMapExt};

use crate::admission::{Admission, Caller};
use crate::counters::{Counters, increment};
use crate::departure::{DenyReason, ListAge, ListValidity, MissingEvidence, SendDecision, SendGate};
use crate::keys::{IdempotencyKeys, KeyLookup};
use crate::results::Results;
use crate::{
    Answer, Attempt, AttemptEnd, Call, Client, EngineSettings, Input, OrderEnd, Output, VersionRoute,
};

/// Maximum entries of a worker list; further entries are skipped.
const MAX_WORKERS: usize = 100_000;

/// A call without a final answer.
struct OpenCall {
    call: Arc<Call>,
    class: usize,
    deadline: Micros,
    /// Clients waiting for the answer, each with its own timeout.
    waiters: BTreeMap<Client, Micros>,
    /// All attempts in the order of sending, ended ones included.
    attempts: Vec<u64>,
    /// When the earliest ended attempt that may have run was sent; `None` if every ended attempt provably
    /// never ran.
    first_possible_run: Option<Micros>,
    /// How the last attempt ended, with its answer.
    last_end: Option<(AttemptEnd, Arc<[u8]>)>,
    /// What ran, or the version that the call was routed to as long as no worker reported one.
    origin: Option<Arc<Origin>>,
    /// An answer after this time misses the latency objective.
    late_after: Micros,
    /// An attempt ended in an error or ran the wrong version.
    had_error: bool,
}

/// An attempt that has not ended. It may outlive its call, since the dispatcher needs the end of every
/// attempt.
struct InFlightAttempt {
    /// The id of its call.
    id: RequestId,
    /// Its index among the attempts of the call.
    number: usize,
    worker: WorkerId,
    sent: Micros,
    timeout_at: Micros,
    /// Its first byte must be sent before this time.
    send_by: Option<Micros>,
}

/// A prewarm order without an answer.
struct PrewarmOrder {
    worker: WorkerId,
    function: FunctionId,
    sent: Micros,
    timeout_at: Micros,
}

/// What happens when a timer fires.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    AttemptTimeout(u64),
    /// Cancels an attempt of which no byte has been sent.
    SendDeadline(u64),
    OrderTimeout(u64),
    /// A client whose timeout is earlier than the deadline of its call.
    WaiterTimeout(Client),
    DispatcherWake,
}

/// What a client waits for.
enum WaitTarget {
    /// The final answer of a call that the client sent itself, or repeated by key.
    Call(RequestId),
    /// The result of a deferred call.
    Result(String),
}

/// A pending answer of a client, with its timeout if that is earlier than the deadline of the call.
struct Wait {
    target: WaitTarget,
    until: Option<Micros>,
}

/// The state of one gateway, without sockets and clock.
pub struct Engine {
    settings: EngineSettings,
    dispatcher: Dispatcher,
    /// Identifies this process incarnation; part of every call id, so that ids differ between incarnations.
    incarnation: u64,
    /// Indexes into the settings, by name.
    classes: HashMap<String, usize>,
    tenants: HashMap<String, usize>,
    open_calls: HashMap<RequestId, OpenCall>,
    attempts_in_flight: HashMap<u64, InFlightAttempt>,
    orders: HashMap<u64, PrewarmOrder>,
    shapes: HashMap<FunctionId, FunctionProfile>,
    results: Results,
    keys: IdempotencyKeys,
    admission: Admission,
    /// Pending answers by connection and number.
    clients: BTreeMap<u64, BTreeMap<u64, Wait>>,
    /// Clients waiting for the result of a deferred call, by call id.
    result_waiters: HashMap<String, BTreeSet<Client>>,
    timers: BTreeSet<(Micros, Timer)>,
    dispatcher_wake_at: Option<Micros>,
    /// The last number given to a call, an attempt or an order.
    last_number: u64,
    draining: bool,
    worker_list: BTreeMap<String, ListedWorker>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    counters: Counters,
    send_gate: SendGate,
    now: Micros,
}

impl Engine {
    /// Creates an engine without workers and calls. `incarnation` must be unique to each process: it is part
    /// of every call id and seeds the dispatcher's random tie-breaking.
    pub fn new(settings: EngineSettings, incarnation: u64) -> Result<Self, SettingsError> {
        let dispatcher = Dispatcher::new(settings.dispatcher.clone(), incarnation)?;
        let classes = settings.dispatcher.classes.iter().enumerate().map(|(at, c)| (c.name.clone(), at));
        let tenants = settings.dispatcher.tenants.iter().enumerate().map(|(at, t)| (t.name.clone(), at));
        Ok(Self {
            dispatcher,
            incarnation,
            classes: classes.collect(),
            tenants: tenants.collect(),
            open_calls: HashMap::new(),
            attempts_in_flight: HashMap::new(),
            orders: HashMap::new(),
            shapes: HashMap::new(),
            results: Results::new(settings.results),
            keys: IdempotencyKeys::default(),
            admission: Admission::new(settings.admission),
            clients: BTreeMap::new(),
            result_waiters: HashMap::new(),
            timers: BTreeSet::new(),
            dispatcher_wake_at: None,
            last_number: 0,
            draining: false,
            worker_list: BTreeMap::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            counters: Counters::new(&settings.dispatcher.classes),
            send_gate: SendGate::default(),
            now: 0,
            settings,
        })
    }

    /// Handles one input at the time `now` (microseconds since 1970) and appends the resulting outputs in
    /// order.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::Call(client, call) => self.handle_call(client, call, out),
            Input::Await(client, id, wait) => self.await_result(client, id, wait, out),
            Input::Cancel(client) => self.cancel(client, out),
            Input::Disconnected(connection) => {
                let waits = self.clients.get(&connection).into_iter().flatten();
                for number in waits.map(|(number, _)| *number).collect::<Vec<_>>() {
                    self.cancel(Client { connection, number }, out);
                }
            }
            Input::AttemptEnded(attempt, end, body, origin) => {
                self.attempt_ended(attempt, end, body.into(), origin, out);
            }
            Input::OrderEnded(order, end, loaded_instances) => {
                self.order_ended(order, end, loaded_instances, out)
            }
            Input::CallsExpected(function, like, within) => {
                self.events.push_back(Event::CallsExpected { function, similar_to: like, within });
            }
            Input::ProbeAnswered(worker) => {
                self.events.push_back(Event::Probed { worker, outcome: cresswheel::Outcome::Ok });
            }
            Input::WorkerReported { worker, serves, probed_at: asked } => {
                self.worker_reported(worker, serves, asked)
            }
            Input::ListAge(age) => self.update_list_age(age),
            Input::WorkersDisputed(workers) => self.set_disputed(workers),
            Input::List { whole, workers } => self.update_list(whole, workers),
            Input::ListUnavailable => self.events.push_back(Event::List(WorkerListUpdate::Unavailable)),
            Input::Drain => self.draining = true,
            Input::Stop => self.stop(out),
            Input::Wake => {}
        }
        self.run_timers(out);
        self.run_dispatcher(out);
    }

    /// When the next [`Input::Wake`] is due.
    pub fn wake_at(&self) -> Option<Micros> {
        let results = self.results.next_expiry();
        self.timers.first().map(|(at, _)| *at).into_iter().chain(results).min()
    }

    /// Counters since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Number of calls without a final answer.
    pub fn open_calls(&self) -> usize {
        self.open_calls.len()
    }

    /// Number of attempts that have not ended.
    pub fn open_attempts(&self) -> usize {
        self.attempts_in_flight.len()
    }

    /// Bytes of kept results.
    pub fn result_bytes(&self) -> usize {
        self.results.bytes()
    }

    /// The workers on the worker list, by id.
    pub fn workers(&self) -> impl Iterator<Item = &ListedWorker> {
        self.worker_list.values()
    }

    /// Applies the settings that may change at run time: limits and times, not those of the dispatcher.
    pub fn update_limits(&mut self, settings: &EngineSettings) {
        self.admission.limits = settings.admission;
        self.results.limits = settings.results;
        self.settings.admission = settings.admission;
        self.settings.results = settings.results;
        self.settings.answer_margin = settings.answer_margin;
        self.settings.max_time = settings.max_time;
        self.settings.deferred_time = settings.deferred_time;
    }

    /// Limits from now on how long the worker list may be acted on; `age` is its current age.
    pub fn limit_list_age(&mut self, terms: ListValidity, age: ListAge) {
        self.send_gate.limit_list_age(terms, age);
    }

    /// Whether an attempt or order may be sent now. Must be called right before its first byte is sent.
    pub fn may_send(&self, now: Micros, number: u64) -> SendDecision {
        if let Some(order) = self.orders.get(&number) {
            return self.may_send_to(now, &order.worker);
        }
        let Some(in_flight) = self.attempts_in_flight.get(&number) else {
            return SendDecision::Deny(DenyReason::CallEnded);
        };
        match self.open_calls.get(&in_flight.id) {
            None => SendDecision::Deny(DenyReason::CallEnded),
            Some(open_call) if open_call.deadline <= now => SendDecision::Deny(DenyReason::DeadlinePassed),
            Some(_) if in_flight.send_by.is_some_and(|send_by| send_by <= now) => {
                SendDecision::Deny(DenyReason::RetryWindowPassed)
            }
            Some(_) => self.may_send_to(now, &in_flight.worker),
        }
    }

    /// The connections of the clients that wait for an attempt's call; none for an order.
    pub fn client_connections(&self, attempt: u64) -> impl Iterator<Item = u64> {
        let in_flight = self.attempts_in_flight.get(&attempt);
        let open_call = in_flight.and_then(|in_flight| self.open_calls.get(&in_flight.id));
        open_call.into_iter().flat_map(|open_call| open_call.waiters.keys().map(|client| client.connection))
    }

    fn may_send_to(&self, now: Micros, worker: &WorkerId) -> SendDecision {
        let standing = self.worker_list.get(&*worker.0).map(|listed| listed.standing);
        self.send_gate.decide(now, worker, standing)
    }

    /// The time left until the call's deadline and until the attempt's timeout.
    pub fn remaining_times(&self, now: Micros, attempt: u64) -> Option<(Micros, Micros)> {
        let in_flight = self.attempts_in_flight.get(&attempt)?;
        let open_call = self.open_calls.get(&in_flight.id)?;
        Some((open_call.deadline.saturating_sub(now), in_flight.timeout_at.saturating_sub(now)))
    }

    /// Counts an attempt or order that was delayed or canceled right before sending.
    pub fn count_unsent(&mut self, decision: SendDecision) {
        let word = match decision {
            SendDecision::Allow => return,
            SendDecision::Defer(MissingEvidence::ListResponse) => "waits-for-list",
            SendDecision::Defer(MissingEvidence::WorkerReport) => "waits-for-worker",
            SendDecision::Defer(MissingEvidence::AgreeingResponses) => "list-disputed",
            SendDecision::Defer(MissingEvidence::ClientInput) => "waits-for-client",
            SendDecision::Deny(barred) => barred.word(),
        };
        increment(&mut self.counters.unsent, word);
    }

    /// Records that the first byte of an attempt or order was sent. Returns the rule that this violates, if
    /// any; the check is independent of [`Self::may_send`].
    pub fn record_sent(&mut self, now: Micros, number: u64) -> Option<&'static str> {
        let (worker, deadline) = match (self.attempts_in_flight.get(&number), self.orders.get(&number)) {
            (Some(in_flight), _) => {
                (&in_flight.worker, self.open_calls.get(&in_flight.id).map(|open_call| open_call.deadline))
            }
            (None, Some(order)) => (&order.worker, None),
            (None, None) => return None,
        };
        let rule = if self.send_gate.is_past_grace(now, worker) {
            "drain"
        } else if deadline.is_some_and(|deadline| deadline <= now) {
            "deadline"
        } else {
            return None;
        };
        increment(&mut self.counters.violations, rule);
        Some(rule)
    }

    fn handle_call(&mut self, client: Client, call: Call, out: &mut Vec<Output>) {
        let waits = self.clients.get(&client.connection);
        if waits.is_some_and(|waits| waits.contains_key(&client.number)) {
            return out.push(Output::Close(client.connection, "a number is used twice"));
        }
        let pending_on_connection = waits.map_or(0, BTreeMap::len);
        match self.keys.lookup(&call) {
            KeyLookup::Unused => {}
            KeyLookup::Repeat(id) => return self.repeat(client, &call, id, pending_on_connection, out),
            KeyLookup::Conflict => return self.reject(client, "key-in-use", out),
        }
        let class = self.classes.get(&call.class).copied();
        let Some((class, client_timeout)) =
            class.map(|c| (c, self.settings.dispatcher.classes[c].client_timeout))
        else {
            return self.reject(client, "unknown-class", out);
        };
        let default_time = if call.deferred { self.settings.deferred_time } else { client_timeout };
        let requested = if call.timeout == 0 { default_time } else { call.timeout };
        let time = requested.min(self.settings.max_time);
        let reason = if self.draining {
            Some("stopping")
        } else if call.function.is_empty() {
            Some("no-function")
        } else if time <= self.settings.answer_margin {
            Some("no-time")
        } else {
            let (connection, pending) = (client.connection, pending_on_connection);
            let caller = Caller { connection, pending, connections: self.clients.len() };
            let rejection = self.admission.admit(call.routed_function(), call.body.len(), caller).err();
            self.offer_functions();
            rejection
        };
        if let Some(reason) = reason {
            return self.reject(client, reason, out);
        }
        self.last_number += 1;
        // The number comes first, so that comparing two ids of this incarnation ends early.
        let id = RequestId::from(format!("{:x}-{:x}", self.last_number, self.incarnation).as_str());
        let function = FunctionId::from(call.routed_function());
        let known = |value: u32| (value > 0).then_some(value);
        let shape = call.shape.clone();
        let request = Request {
            id: id.clone(),
            class,
            tenant: self.tenants.get(&call.tenant).copied(),
            function: function.clone(),
            time_left: time - self.settings.answer_margin,
            memory_mb: known(shape.memory_mb).map(f64::from),
            concurrency: known(shape.lanes),
            load_time: (shape.load_time > 0).then_some(shape.load_time),
        };
        if self.shapes.get(&function) != Some(&shape) {
            self.shapes.insert(function, shape);
        }
        self.keys.insert(&call, &id.0);
        self.counters.accepted[class] += 1;
        let mut waiters = BTreeMap::new();
        if call.deferred {
            out.push(Output::Accepted(client, id.0.to_string()));
        } else {
            waiters.insert(client, self.now + time);
            self.add_wait(client, WaitTarget::Call(id.clone()), None);
        }
        let routed_origin =
            |route: &VersionRoute| Origin { function: route.function.clone(), digest: String::new() };
        let open_call = OpenCall {
            origin: call.route.as_ref().map(|route| Arc::new(routed_origin(route))),
            late_after: self.now.saturating_add(self.settings.dispatcher.classes[class].latency_objective),
            call: Arc::new(call),
            class,
            deadline: self.now + time,
            waiters,
            attempts: Vec::new(),
            first_possible_run: None,
            last_end: None,
            had_error: false,
        };
        self.open_calls.insert(id, open_call);
        self.events.push_back(Event::Arrived(request));
    }

    /// Offers names to the dispatcher to be forgotten, if places for them are short.
    fn offer_functions(&mut self) {
        for name in self.admission.functions_to_forget() {
            self.events.push_back(Event::FunctionUnneeded(FunctionId::from(&*name)));
        }
    }

    /// Rejects a call before it is accepted: nothing ran, so the client may retry.
    fn reject(&mut self, client: Client, reason: &'static str, out: &mut Vec<Output>) {
        increment(&mut self.counters.rejected, reason);
        out.push(Output::Answer(client, Answer::without_body(Status::Refused, reason)));
    }

    /// A repeat of a call with the same idempotency key: waits for the first call's answer, or gets its kept
    /// result.
    fn repeat(
        &mut self,
        client: Client,
        call: &Call,
        id: String,
        pending_on_connection: usize,
        out: &mut Vec<Output>,
    ) {
        self.counters.repeats += 1;
        if call.deferred {
            return out.push(Output::Accepted(client, id));
        }
        if let Some(answer) = self.results.get(&id) {
            return out.push(Output::Answer(client, answer.clone()));
        }
        if pending_on_connection >= self.settings.admission.per_connection {
            return self.reject(client, "connection-full", out);
        }
        let id = RequestId::from(id.as_str());
        let Some(open_call) = self.open_calls.get_mut(&id) else {
            debug_assert!(false, "an idempotency key without an open call or a kept result");
            return self.reject(client, "key-in-use", out);
        };
        let client_timeout = self.settings.dispatcher.classes[open_call.class].client_timeout;
        let requested = if call.timeout == 0 { client_timeout } else { call.timeout };
        let until = self.now + requested.saturating_sub(self.settings.answer_margin);
        open_call.waiters.insert(client, until);
        let until = (until < open_call.deadline).then_some(until);
        self.add_wait(client, WaitTarget::Call(id), until);
    }

    fn add_wait(&mut self, client: Client, target: WaitTarget, until: Option<Micros>) {
        until.into_iter().for_each(|at| _ = self.timers.insert((at, Timer::WaiterTimeout(client))));
        self.clients.entry(client.connection).or_default().insert(client.number, Wait { target, until });
    }

    fn await_result(&mut self, client: Client, id: String, wait: Micros, out: &mut Vec<Output>) {
        let waits = self.clients.get(&client.connection);
        if waits.is_some_and(|waits| waits.contains_key(&client.number)) {
            return out.push(Output::Close(client.connection, "a number is used twice"));
        }
        let full = waits.map_or(0, BTreeMap::len) >= self.settings.admission.per_connection;
        let answer = if let Some(answer) = self.results.get(&id) {
            answer.clone()
        } else if self.results.has_expired(&id) {
            Answer::without_body(Status::Expired, "expired")
        } else if !self.open_calls.contains_key(&RequestId::from(id.as_str())) {
            Answer::without_body(Status::Unknown, "unknown")
        } else if wait == 0 || full {
            Answer::without_body(Status::Pending, "pending")
        } else {
            let until = self.now + wait.min(self.settings.max_time);
            self.result_waiters.entry(id.clone()).or_default().insert(client);
            return self.add_wait(client, WaitTarget::Result(id), Some(until));
        };
        out.push(Output::Answer(client, answer));
    }

    fn cancel(&mut self, client: Client, out: &mut Vec<Output>) {
        if let Some(target) = self.remove_wait(client) {
            self.abandon_wait(client, target, out);
        }
    }

    fn remove_wait(&mut self, client: Client) -> Option<WaitTarget> {
        let numbers = self.clients.get_mut(&client.connection)?;
        let wait = numbers.remove(&client.number)?;
        if numbers.is_empty() {
            self.clients.remove(&client.connection);
        }
        wait.until.into_iter().for_each(|at| _ = self.timers.remove(&(at, Timer::WaiterTimeout(client))));
        Some(wait.target)
    }

    /// Handles a client that stopped waiting. A call without waiters is canceled, unless it is deferred or
    /// has a key: then the client may come back for the result.
    fn abandon_wait(&mut self, client: Client, target: WaitTarget, out: &mut Vec<Output>) {
        match target {
            WaitTarget::Result(id) => self.remove_result_waiter(client, &id),
            WaitTarget::Call(id) => {
                let Some(open_call) = self.open_calls.get_mut(&id) else { return };
                open_call.waiters.remove(&client);
                if open_call.waiters.is_empty()
                    && !open_call.call.deferred
                    && !open_call.call.deduplicates_here()
                {
                    self.counters.abandoned += 1;
                    self.cancel_unsent(&id, out);
                    self.events.push_back(Event::ClientLeft(id.clone()));
                    self.remove_call(&id, false);
                }
            }
        }
    }

    fn remove_result_waiter(&mut self, client: Client, id: &str) {
        if let Some(waiters) = self.result_waiters.get_mut(id) {
            waiters.remove(&client);
            if waiters.is_empty() {
                self.result_waiters.remove(id);
            }
        }
    }

    /// Cancels the attempts of a call that is over if no byte of them has been sent.
    fn cancel_unsent(&mut self, id: &RequestId, out: &mut Vec<Output>) {
        for attempt in self.open_calls.get(id).map_or(&[][..], |open_call| &open_call.attempts) {
            if let Some(in_flight) = self.attempts_in_flight.get(attempt) {
                out.push(Output::CancelIfUnsent(in_flight.worker.clone(), *attempt));
            }
        }
    }

    fn remove_call(&mut self, id: &RequestId, served: bool) -> Option<OpenCall> {
        let open_call = self.open_calls.remove(id)?;
        self.admission.release(open_call.call.routed_function(), open_call.call.body.len(), served);
        Some(open_call)
    }

    /// Sends the final answer of a call to all its waiters.
    fn complete(&mut self, id: &RequestId, mut answer: Answer, out: &mut Vec<Output>) {
        let Some(open_call) = self.remove_call(id, answer.status == Status::Served) else { return };
        answer.origin = open_call.origin;
        increment(&mut self.counters.answers, (open_call.class, answer.status, answer.reason));
        if open_call.call.route.is_some() {
            let (call, status, late) =
                (open_call.call.clone(), answer.status, self.now > open_call.late_after);
            out.push(Output::CallCompleted { call, status, late, had_error: open_call.had_error });
        }
        for client in open_call.waiters.into_keys() {
            self.remove_wait(client);
            out.push(Output::Answer(client, answer.clone()));
        }
        for client in self.result_waiters.remove(&*id.0).unwrap_or_default() {
            self.remove_wait(client);
            out.push(Output::Answer(client, answer.clone()));
        }
        // A refused call had no effect: its key may be used again.
        let refused = answer.status == Status::Refused;
        if refused {
            self.keys.forget(&id.0);
        }
        if open_call.call.deferred || (open_call.call.deduplicates_here() && !refused) {
            let evicted = self.results.insert(self.now, &id.0, answer);
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
        let Some(in_flight) = self.attempts_in_flight.remove(&attempt) else {
            // It had ended already. Only an answer of the worker counts as late, not a canceled send or a
            // broken connection.
            self.counters.late_answers += u64::from(matches!(end, AttemptEnd::Answered(..)));
            return;
        };
        self.timers.remove(&(in_flight.timeout_at, Timer::AttemptTimeout(attempt)));
        in_flight
            .send_by
            .into_iter()
            .for_each(|at| _ = self.timers.remove(&(at, Timer::SendDeadline(attempt))));
        let end = self.verify_origin(&in_flight.id, end, origin.as_ref(), out);
        increment(&mut self.counters.attempts, end.word());
        let outcome = end.outcome();
        let served = outcome == cresswheel::Outcome::Ok;
        let wrong_version = matches!(end, AttemptEnd::Wrong(_));
        let call_over = match self.open_calls.get_mut(&in_flight.id) {
            None => true,
            Some(open_call) => {
                if !outcome.never_ran() {
                    open_call.first_possible_run =
                        Some(open_call.first_possible_run.unwrap_or(in_flight.sent).min(in_flight.sent));
                }
                open_call.had_error |= outcome == cresswheel::Outcome::Error;
                // The answer of a wrong version is discarded.
                let body = if wrong_version { Arc::from([]) } else { body.clone() };
                open_call.last_end = Some((end, body));
                if served && origin.is_some() {
                    open_call.origin = origin.map(Arc::new);
                }
                false
            }
        };
        if served && !call_over {
            let answer = match end {
                AttemptEnd::AnswerTooLong => Answer::without_body(Status::Failed, end.word()),
                _ => Answer { body, ..Answer::without_body(Status::Served, "") },
            };
            self.complete(&in_flight.id, answer, out);
        } else if served {
            self.counters.late_answers += 1;
        }
        let (concurrency, load_failed) = match end {
            AttemptEnd::Answered(ending, concurrency) => (Some(concurrency), ending == Ending::LoadFailed),
            AttemptEnd::Wrong(concurrency) => (Some(concurrency), false),
            _ => (None, false),
        };
        self.events.push_back(Event::AttemptEnded {
            request: in_flight.id,
            attempt: in_flight.number,
            worker: in_flight.worker,
            outcome,
            elapsed: self.now.saturating_sub(in_flight.sent),
            answered: served || call_over,
            worker_in_flight: concurrency,
            load_failed,
        });
    }

    /// Compares what the worker reports to have run with what it was asked to run.
    fn verify_origin(
        &self,
        id: &RequestId,
        end: AttemptEnd,
        origin: Option<&Origin>,
        out: &mut Vec<Output>,
    ) -> AttemptEnd {
        let AttemptEnd::Answered(Ending::Ok, concurrency) = end else { return end };
        let Some(call) = self.open_calls.get(id).map(|open_call| &open_call.call) else { return end };
        let Some(route) = &call.route else { return end };
        let right = match origin {
            Some(Origin { function, digest }) => {
                *function == route.function && (route.digest.is_empty() || *digest == route.digest)
            }
            None => route.digest.is_empty(),
        };
        out.push(Output::VersionReported(call.clone(), origin.cloned(), !right));
        if right { end } else { AttemptEnd::Wrong(concurrency) }
    }

    fn order_ended(&mut self, number: u64, end: OrderEnd, loaded_instances: u32, out: &mut Vec<Output>) {
        let Some(order) = self.orders.remove(&number) else {
            self.counters.late_answers += u64::from(matches!(end, OrderEnd::Answered(_)));
            return;
        };
        self.timers.remove(&(order.timeout_at, Timer::OrderTimeout(number)));
        let is_loaded = end == OrderEnd::Answered(Ending::Ok) && loaded_instances > 0;
        out.push(Output::PrewarmEnded(order.function.clone(), is_loaded));
        self.events.push_back(Event::PrewarmEnded {
            worker: order.worker,
            function: order.function,
            outcome: end.outcome(),
            elapsed: self.now.saturating_sub(order.sent),
            loaded_instances,
        });
    }

    fn update_list(&mut self, whole: bool, mut workers: Vec<ListedWorker>) {
        let received = workers.len();
        workers.retain(|w| !w.id.is_empty());
        workers.truncate(MAX_WORKERS);
        self.counters.list_entries_skipped += (received - workers.len()) as u64;
        let previous = if whole { std::mem::take(&mut self.worker_list) } else { BTreeMap::new() };
        for worker in workers.iter() {
            let started = previous.get(&worker.id).or(self.worker_list.get(&worker.id)).map(|w| w.started);
            let restarted = started.is_some_and(|started| started != worker.started);
            let id = WorkerId::from(worker.id.as_str());
            self.send_gate.update_entry(self.now, &id, worker.standing, restarted);
        }
        let entries = workers.iter().map(|worker| self.dispatcher_entry(worker)).collect();
        for worker in workers {
            if worker.standing == MemberState::Removed {
                self.worker_list.remove(&worker.id);
            } else {
                self.worker_list.insert(worker.id.clone(), worker);
            }
        }
        for id in previous.keys().filter(|id| !self.worker_list.contains_key(*id)) {
            self.send_gate.update_entry(self.now, &WorkerId::from(id.as_str()), MemberState::Removed, false);
        }
        let worker_list = &self.worker_list;
        self.send_gate.forget(self.now, |worker| worker_list.contains_key(&*worker.0));
        let update =
            if whole { WorkerListUpdate::Complete(entries) } else { WorkerListUpdate::Changes(entries) };
        self.events.push_back(Event::List(update));
    }

    /// A listed worker as an entry for the dispatcher. A worker that reports that it is leaving is passed as
    /// draining, whatever the list says; so is a disputed worker that can't be probed.
    fn dispatcher_entry(&self, worker: &ListedWorker) -> WorkerEntry {
        let id = WorkerId::from(worker.id.as_str());
        let state = match worker.standing {
            MemberState::Active if self.send_gate.is_treated_as_draining(&id) => WorkerState::Draining,
            MemberState::Active => WorkerState::InService,
            MemberState::Draining => WorkerState::Draining,
            MemberState::Removed => WorkerState::OutOfService,
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

    fn worker_reported(&mut self, worker: WorkerId, serves: bool, probed_at: Micros) {
        let is_in_service =
            self.worker_list.get(&*worker.0).is_some_and(|listed| listed.standing == MemberState::Active);
        if is_in_service {
            self.send_gate.worker_reported(worker.clone(), serves, probed_at);
            if !serves {
                self.resend_entry(&worker);
            }
        }
    }

    fn update_list_age(&mut self, age: ListAge) {
        self.update_withheld(|send_gate| send_gate.update_list_age(age));
        for worker in self.send_gate.expire_leave_reports() {
            self.resend_entry(&worker);
        }
    }

    fn set_disputed(&mut self, workers: BTreeSet<WorkerId>) {
        let now = self.now;
        self.update_withheld(|send_gate| send_gate.set_disputed(now, workers));
    }

    /// Applies a change and sends the dispatcher the entries of all workers whose withheld state it changed.
    fn update_withheld(&mut self, change: impl FnOnce(&mut SendGate)) {
        let before = self.send_gate.withheld();
        change(&mut self.send_gate);
        let after = self.send_gate.withheld();
        before.symmetric_difference(&after).for_each(|worker| self.resend_entry(worker));
    }

    /// Sends the dispatcher the entry of a listed worker again, after a change of whether it takes new work.
    fn resend_entry(&mut self, worker: &WorkerId) {
        let entry = self.worker_list.get(&*worker.0).map(|listed| self.dispatcher_entry(listed));
        let update = entry.map(|entry| Event::List(WorkerListUpdate::Changes(vec![entry])));
        self.events.extend(update);
    }

    /// Answers all open calls: refused if a retry is safe for their class and attempts, failed otherwise.
    fn stop(&mut self, out: &mut Vec<Output>) {
        self.draining = true;
        let mut open_ids: Vec<RequestId> = self.open_calls.keys().cloned().collect();
        open_ids.sort();
        for id in open_ids {
            self.cancel_unsent(&id, out);
            let Some(open_call) = self.open_calls.get(&id) else { continue };
            let has_in_flight =
                open_call.attempts.iter().any(|attempt| self.attempts_in_flight.contains_key(attempt));
            let never_ran = open_call.first_possible_run.is_none() && !has_in_flight;
            let may_refuse = self.dispatcher.may_refuse(open_call.class, never_ran);
            let status = if may_refuse { Status::Refused } else { Status::Failed };
            self.events.push_back(Event::ClientLeft(id.clone()));
            self.complete(&id, Answer::without_body(status, "stopping"), out);
        }
    }

    /// Fires all timers that are due.
    fn run_timers(&mut self, out: &mut Vec<Output>) {
        let expired = self.results.expire(self.now);
        expired.iter().for_each(|id| self.keys.forget(id));
        while let Some((_, timer)) = self.timers.first().filter(|(at, _)| *at <= self.now).cloned() {
            self.timers.pop_first();
            match timer {
                Timer::DispatcherWake => {
                    self.dispatcher_wake_at = None;
                    self.events.push_back(Event::Wake);
                }
                Timer::AttemptTimeout(attempt) => {
                    if let Some(in_flight) = self.attempts_in_flight.get(&attempt) {
                        out.push(Output::AttemptTimedOut(in_flight.worker.clone(), attempt));
                    }
                    self.attempt_ended(attempt, AttemptEnd::Silent, Arc::from([]), None, out);
                }
                Timer::SendDeadline(attempt) => {
                    if let Some(in_flight) = self.attempts_in_flight.get_mut(&attempt) {
                        in_flight.send_by = None;
                        out.push(Output::CancelIfUnsent(in_flight.worker.clone(), attempt));
                    }
                }
                Timer::OrderTimeout(order) => {
                    out.push(Output::OrderTimedOut(order));
                    self.order_ended(order, OrderEnd::Silent, 0, out);
                }
                Timer::WaiterTimeout(client) => match self.remove_wait(client) {
                    Some(WaitTarget::Result(id)) => {
                        self.remove_result_waiter(client, &id);
                        out.push(Output::Answer(client, Answer::without_body(Status::Pending, "pending")));
                    }
                    Some(WaitTarget::Call(id)) => {
                        self.open_calls
                            .get_mut(&id)
                            .into_iter()
                            .for_each(|open_call| _ = open_call.waiters.remove(&client));
                        out.push(Output::Answer(
                            client,
                            Answer::without_body(Status::Failed, "still-running"),
                        ));
                    }
                    None => {}
                },
            }
        }
    }

    fn run_dispatcher(&mut self, out: &mut Vec<Output>) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.dispatcher.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute(action, out);
            }
            self.actions = actions;
        }
    }

    fn execute(&mut self, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::Send { request, worker, timeout } => self.start_attempt(request, worker, timeout, out),
            Action::Cancel { request, attempt } => {
                let number = self
                    .open_calls
                    .get(&request)
                    .and_then(|open_call| open_call.attempts.get(attempt).copied());
                if let Some(number) = number
                    && let Some(in_flight) = self.attempts_in_flight.get(&number)
                {
                    out.push(Output::CancelAttempt(in_flight.worker.clone(), number));
                    self.attempt_ended(number, AttemptEnd::CalledOff, Arc::from([]), None, out);
                }
            }
            Action::Refuse { request, retry_after } => {
                let answer = self.final_answer(&request, Status::Refused);
                let retry_after = retry_after.unwrap_or(0);
                self.complete(&request, Answer { retry_after, ..answer }, out);
            }
            Action::Fail { request } => {
                let answer = self.final_answer(&request, Status::Failed);
                self.complete(&request, answer, out);
            }
            Action::Hold { worker, function, count, .. } => {
                self.last_number += 1;
                self.counters.prewarm_orders += 1;
                let timeout_at = self.now.saturating_add(self.settings.dispatcher.order_timeout);
                self.timers.insert((timeout_at, Timer::OrderTimeout(self.last_number)));
                let order = PrewarmOrder {
                    worker: worker.clone(),
                    function: function.clone(),
                    sent: self.now,
                    timeout_at,
                };
                self.orders.insert(self.last_number, order);
                let unknown_shape = FunctionProfile { memory_mb: 0, lanes: 0, load_time: 0, work: 0 };
                let shape = self.shapes.get(&function).cloned().unwrap_or(unknown_shape);
                out.push(Output::Prewarm { worker, order: self.last_number, function, count, shape });
            }
            Action::Drop { worker, function } => out.push(Output::Unload(worker, function)),
            Action::Forget(function) => {
                self.shapes.remove(&function);
                self.admission.forget_function(&function.0);
            }
            Action::Probe { worker } => out.push(Output::Probe(worker)),
            Action::Follow => out.push(Output::RequestList),
            Action::WakeAfter(span) => {
                // Wake-ups are rounded up to the tick, so that they share loop iterations.
                let tick = self.settings.dispatcher.tick;
                let at = (self.now.saturating_add(span)).div_ceil(tick).saturating_mul(tick);
                if self.dispatcher_wake_at.is_none_or(|wake_at| at < wake_at) {
                    self.dispatcher_wake_at
                        .into_iter()
                        .for_each(|wake_at| _ = self.timers.remove(&(wake_at, Timer::DispatcherWake)));
                    self.dispatcher_wake_at = Some(at);
                    self.timers.insert((at, Timer::DispatcherWake));
                }
            }
            Action::Log(text) => out.push(Output::Log(text)),
        }
    }

    /// The gateway's own final answer; the reason is how the last attempt ended.
    fn final_answer(&self, id: &RequestId, status: Status) -> Answer {
        match self.open_calls.get(id).and_then(|open_call| open_call.last_end.as_ref()) {
            Some((end, body)) => Answer { body: body.clone(), ..Answer::without_body(status, end.word()) },
            // No attempt has ended: either none was started, or one is still in flight.
            None if self.open_calls.get(id).is_some_and(|open_call| !open_call.attempts.is_empty()) => {
                Answer::without_body(status, "timeout")
            }
            None => Answer::without_body(status, "no-worker"),
        }
    }

    fn start_attempt(&mut self, id: RequestId, worker: WorkerId, timeout: Micros, out: &mut Vec<Output>) {
        let Some(open_call) = self.open_calls.get_mut(&id) else {
            // The dispatcher never sends an attempt of a call that is over; if it did, the attempt is dropped
            // here.
            debug_assert!(false, "an attempt of {id}, whose call is over");
            let (outcome, elapsed, answered) = (AttemptEnd::NotSent.outcome(), 0, true);
            return self.events.push_back(Event::AttemptEnded {
                request: id,
                attempt: 0,
                worker,
                outcome,
                elapsed,
                answered,
                worker_in_flight: None,
                load_failed: false,
            });
        };
        self.last_number += 1;
        let timeout_at = self.now.saturating_add(timeout);
        let number = open_call.attempts.len();
        let attempt = Attempt {
            number: self.last_number,
            worker: worker.clone(),
            id: id.0.to_string(),
            previous_attempts: number as u32,
            time_left: open_call.deadline.saturating_sub(self.now),
            timeout,
            is_repeatable: self.settings.dispatcher.classes[open_call.class].effect != Effect::Unsafe,
            call: open_call.call.clone(),
        };
        open_call.attempts.push(self.last_number);
        self.timers.insert((timeout_at, Timer::AttemptTimeout(self.last_number)));
        // A retry must reach the workers while they still remember the first attempt: it may wait for a
        // connection, but no longer than that.
        let send_by = match self.settings.dispatcher.classes[open_call.class].effect {
            Effect::Keyed { retention: memory, .. } => open_call.first_possible_run.map(|at| {
                at.saturating_add(memory).saturating_sub(self.settings.dispatcher.tick).max(self.now + 1)
            }),
            Effect::Safe | Effect::Unsafe => None,
        };
        send_by
            .into_iter()
            .for_each(|at| _ = self.timers.insert((at, Timer::SendDeadline(self.last_number))));
        let in_flight = InFlightAttempt { id, number, worker, sent: self.now, timeout_at, send_by };
        self.attempts_in_flight.insert(self.last_number, in_flight);
        out.push(Output::Run(attempt));
    }
}
