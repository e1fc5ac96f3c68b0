//! Connections to hosts: commands out, answers in.
//!
//! An answer carries the request id, which is the same for all attempts of a request, and a duplicate answer
//! may arrive late. So a connection that carried an id gets no further attempt with this id for a while: a
//! late duplicate of 'busy' would be taken for the answer to a running attempt.

use std::net::SocketAddr;

use cresswheel::{FunctionId, Micros, WorkerId};
use cresswheel_carriers::{CarrierLimits, ConnectionPool, Payload};
use cresswheel_engine::{Attempt, AttemptEnd, Input, OrderEnd};
use cresswheel_platform_wire::host::{self, AnswerStatus, HostAnswer, HostDecoder, Invoke};
use cresswheel_protocol::{Ending, ListedWorker, MemberState};
use cresswheel_transport::{Connection, ENDED, EventLoop, Sent};
use foldhash::{HashMap, HashMapExt};

use crate::turns::Turns;

/// What an id or tag on a connection refers to.
#[derive(Clone, Copy, Debug)]
enum Outstanding {
    Attempt(SentAttempt),
    Order(u64),
    /// A health probe sent at this time.
    Probe(Micros),
    /// Answered or canceled; until this time, an answer to it may still arrive and is ignored.
    Done(Micros),
}

/// An attempt sent on a connection.
#[derive(Clone, Copy, Debug)]
struct SentAttempt {
    number: u64,
    sent: Micros,
    /// How long after its end no other attempt with the same id may use the connection.
    duplicate_window: Micros,
    is_repeatable: bool,
}

/// Close reason when the host has only part of an attempt and must not get the rest.
const PARTIAL_SEND: &str = "closed to stop a partly sent attempt";

/// A connection to a host.
struct HostConnection {
    decoder: HostDecoder,
    outstanding: HashMap<String, Outstanding>,
    opened_at: Micros,
    last_received: Micros,
    /// Its input is left unread until what was received is decoded.
    held: bool,
    /// A malformed answer came; what follows it means nothing.
    malformed: bool,
}

impl HostConnection {
    fn new(now: Micros) -> Self {
        Self {
            decoder: HostDecoder::default(),
            outstanding: HashMap::new(),
            opened_at: now,
            last_received: now,
            held: false,
            malformed: false,
        }
    }
}

/// The endpoint of a listed host.
#[derive(Clone, Copy, Debug)]
struct Endpoint {
    address: SocketAddr,
    started: Micros,
}

/// How long after an answer a duplicate of it may still arrive.
#[derive(Clone, Copy, Debug)]
pub struct DuplicateWindows {
    /// For calls that must not run twice: as long as any of them may last.
    pub unsafe_calls: Micros,
    /// For other calls: mistaking a duplicate costs an attempt, avoiding it costs another connection.
    pub others: Micros,
}

/// A prewarm order.
#[derive(Clone, Debug)]
pub struct Order {
    pub worker: WorkerId,
    /// Unique across orders and attempts.
    pub number: u64,
    pub function: FunctionId,
    /// Target number of instances.
    pub count: u32,
}

/// Answers of a connection that are taken in one turn.
const ANSWERS_PER_TURN: usize = 8;
/// Minimum interval between requested probes of a host.
const MIN_PROBE_INTERVAL: Micros = 250_000;

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct HostCounts {
    /// Connections closed because of a malformed answer.
    pub malformed: u64,
    /// Unexpected answers: duplicates, unknown ids, or answers to canceled requests.
    pub unexpected: u64,
}

/// Connections to all hosts.
pub struct Hosts {
    carriers: ConnectionPool,
    limits: CarrierLimits,
    /// Connection limit over all hosts.
    max_connections: usize,
    duplicate_windows: DuplicateWindows,
    connections_by_id: HashMap<Connection, HostConnection>,
    /// Connections with answers to decode.
    input_turns: Turns,
    endpoints: HashMap<WorkerId, Endpoint>,
    /// Connection and id or tag of each attempt and order in flight.
    in_flight: HashMap<u64, (Connection, String)>,
    next_probe: u64,
    /// When a probe of each host was last requested.
    probe_requests: HashMap<WorkerId, Micros>,
    pub counts: HostCounts,
}

impl Hosts {
    pub fn new(limits: CarrierLimits, max_connections: usize, duplicate_windows: DuplicateWindows) -> Self {
        Self {
            carriers: ConnectionPool::default(),
            limits,
            max_connections,
            duplicate_windows,
            connections_by_id: HashMap::new(),
            input_turns: Turns::default(),
            endpoints: HashMap::new(),
            in_flight: HashMap::new(),
            next_probe: 0,
            probe_requests: HashMap::new(),
            counts: HostCounts::default(),
        }
    }

    pub fn connections(&self) -> usize {
        self.carriers.connections()
    }

    /// Applies a complete host list. Returns the ends of unsent attempts and orders to hosts that drain or
    /// were removed.
    pub fn apply_list(&mut self, hub: &mut EventLoop, listed: &[ListedWorker]) -> Vec<Input> {
        let mut ended = Vec::new();
        let is_listed = |id: &WorkerId| listed.iter().any(|host| *host.id == *id.0);
        let removed: Vec<_> = self.endpoints.keys().filter(|id| !is_listed(id)).cloned().collect();
        removed.iter().for_each(|id| ended.extend(self.remove_host(hub, id)));
        for host in listed {
            let id = WorkerId::from(host.id.as_str());
            let address = host.address.parse::<SocketAddr>();
            let Ok(address) = address.inspect_err(|_| {
                tracing::warn!(host = %id, address = %host.address, "no usable address of a host in the list");
            }) else {
                continue;
            };
            if host.standing == MemberState::Removed {
                ended.extend(self.remove_host(hub, &id));
                continue;
            }
            let endpoint = Endpoint { address, started: host.started };
            let before = self.endpoints.insert(id.clone(), endpoint);
            if host.standing == MemberState::Draining {
                ended.extend(self.withdraw_all(hub, &id));
            }
            if before.is_some_and(|before| before.address != address) {
                self.carriers.mark_all_leaving(&id);
            }
            if before.is_some_and(|before| before.started != host.started) {
                self.close_older(hub, &id, host.started);
            }
        }
        ended
    }

    fn remove_host(&mut self, hub: &mut EventLoop, id: &WorkerId) -> Vec<Input> {
        self.endpoints.remove(id);
        self.probe_requests.remove(id);
        let ended = self.withdraw_all(hub, id);
        self.carriers.mark_all_leaving(id);
        ended
    }

    /// The host restarted: connections opened before that are closed, as nothing else may report their end.
    fn close_older(&mut self, hub: &mut EventLoop, id: &WorkerId, started: Micros) {
        let older = |connection: &Connection, connection_state: &HostConnection| {
            connection_state.opened_at < started && self.carriers.worker(*connection).as_ref() == Some(id)
        };
        let older: Vec<_> = self
            .connections_by_id
            .iter()
            .filter(|(c, connection_state)| older(c, connection_state))
            .map(|(c, _)| *c)
            .collect();
        older.into_iter().for_each(|connection| hub.close(connection, "another process"));
    }

    fn dispatch(
        &mut self,
        hub: &mut EventLoop,
        worker: &WorkerId,
        (cargo, item): (Payload, Outstanding),
        id: &str,
        frame: impl FnOnce(&mut Vec<u8>),
    ) -> Option<Connection> {
        let endpoint = self.endpoints.get(worker)?;
        let mut limits = self.limits;
        if self.carriers.connections() >= self.max_connections {
            // At the limit, open connections are shared; a host without one has to wait for a free
            // connection.
            limits.connections = 0;
        }
        let (now, connections_by_id) = (hub.clock().now(), &self.connections_by_id);
        let is_done = |item: &Outstanding| matches!(item, Outstanding::Done(until) if *until <= now);
        let item_of = |connection| {
            connections_by_id
                .get(&connection)
                .and_then(|connection_state: &HostConnection| connection_state.outstanding.get(id))
        };
        let usable = |connection| item_of(connection).is_none_or(is_done);
        let to = (worker, endpoint.address);
        let connection = self.carriers.dispatch(hub, &limits, to, (cargo, frame), usable, |_| {}).ok()?;
        self.connections_by_id
            .entry(connection)
            .or_insert_with(|| HostConnection::new(now))
            .outstanding
            .insert(id.to_owned(), item);
        Some(connection)
    }

    /// Sends an attempt to its host; returns how it ended if it can't be sent.
    pub fn run(&mut self, hub: &mut EventLoop, attempt: &Attempt) -> Option<Input> {
        let call = &attempt.call;
        let timeout_ms = (attempt.timeout.min(attempt.time_left) / 1_000).max(1);
        let duplicate_window = if attempt.is_repeatable {
            self.duplicate_windows.others
        } else {
            self.duplicate_windows.unsafe_calls
        };
        let (number, is_repeatable) = (attempt.number, attempt.is_repeatable);
        let item = Outstanding::Attempt(SentAttempt {
            number,
            sent: hub.clock().now(),
            duplicate_window,
            is_repeatable,
        });
        let cargo = Payload::Attempt(attempt.number);
        let frame = |out: &mut Vec<u8>| {
            let (id, class, function, once) = (&call.trace, &call.class, &call.function, &call.key);
            let (patience_ms, body) = (timeout_ms, &call.body);
            host::invoke(out, &Invoke { id, class, function, once, timeout_ms: patience_ms, body });
        };
        match self.dispatch(hub, &attempt.worker, (cargo, item), &call.trace, frame) {
            Some(connection) => {
                self.in_flight.insert(attempt.number, (connection, call.trace.clone()));
                None
            }
            // The host is listed, but no connection had room: not a failure of the host.
            None if self.endpoints.contains_key(&attempt.worker) => {
                Some(ended(attempt.number, AttemptEnd::TakenBack))
            }
            None => Some(ended(attempt.number, AttemptEnd::NotConnected)),
        }
    }

    /// Sends a prewarm order; returns how it ended if it can't be sent.
    pub fn prewarm(&mut self, hub: &mut EventLoop, order: &Order) -> Option<Input> {
        let tag = format!("o{}", order.number);
        let tagged = (Payload::Order(order.number), Outstanding::Order(order.number));
        let frame = |out: &mut Vec<u8>| host::prewarm(out, &tag, &order.function.0, order.count);
        match self.dispatch(hub, &order.worker, tagged, &tag, frame) {
            Some(connection) => {
                self.in_flight.insert(order.number, (connection, tag));
                None
            }
            // As with attempts: not a failure of the host.
            None if self.endpoints.contains_key(&order.worker) => {
                Some(Input::OrderEnded(order.number, OrderEnd::NotSent, 0))
            }
            None => Some(Input::OrderEnded(order.number, OrderEnd::NotConnected, 0)),
        }
    }

    /// Frees the place of an order that nothing waits for any more. Its late answer is ignored.
    pub fn abandon_order(&mut self, hub: &mut EventLoop, order: u64) {
        self.carriers.abandon(hub, order);
        self.discard(order);
    }

    /// Whether an attempt or order is queued on a connection with no byte sent.
    pub fn is_unsent(&self, hub: &EventLoop, number: u64) -> bool {
        self.carriers.is_unsent(hub, number)
    }

    /// Whether a byte of an attempt or order was sent on a connection that is still open.
    pub fn has_sent_bytes(&self, hub: &EventLoop, number: u64) -> bool {
        let connection = self.in_flight.get(&number).map(|(connection, _)| *connection);
        connection.is_some_and(|connection| {
            hub.is_open(connection) && hub.sent(connection, number) != Sent::Nothing
        })
    }

    /// Removes an attempt or order from its connection's queue; false if a byte was sent or it isn't queued.
    pub fn unqueue(&mut self, hub: &mut EventLoop, number: u64) -> bool {
        let removed = self.carriers.cancel_if_unsent(hub, number);
        if removed {
            self.discard(number);
        }
        removed
    }

    /// Probes a host on an open connection, or opens one.
    pub fn request_probe(&mut self, hub: &mut EventLoop, now: Micros, worker: &WorkerId) {
        let Some(endpoint) = self.endpoints.get(worker).copied() else { return };
        let last = self.probe_requests.get(worker).copied();
        if last.is_some_and(|last| last.saturating_add(MIN_PROBE_INTERVAL) > now) {
            return;
        }
        if self.probe(hub, worker) {
            self.probe_requests.insert(worker.clone(), now);
            return;
        }
        let mut limits = self.limits;
        if self.carriers.connections() >= self.max_connections {
            limits.connections = 0;
        }
        if let Some(connection) = self.carriers.connect(hub, &limits, (worker, endpoint.address), |_| {}) {
            self.connections_by_id.insert(connection, HostConnection::new(now));
        }
    }

    /// Sends an order to unload idle instances, if the host is connected.
    pub fn unload(&mut self, hub: &mut EventLoop, worker: &WorkerId, function: &FunctionId) {
        self.carriers.send_control(hub, worker, |out| host::evict(out, &function.0));
    }

    /// Probes a host that is connected; false if it isn't.
    pub fn probe(&mut self, hub: &mut EventLoop, worker: &WorkerId) -> bool {
        self.next_probe += 1;
        let tag = format!("p{}", self.next_probe);
        let probed_on = self.carriers.send_control(hub, worker, |out| host::alive(out, &tag));
        let connection_state = probed_on.and_then(|connection| self.connections_by_id.get_mut(&connection));
        let Some(connection_state) = connection_state else { return false };
        connection_state.outstanding.insert(tag, Outstanding::Probe(hub.clock().now()));
        true
    }

    /// Cancels an attempt if its host doesn't have all of it; true if so: the host never gets the rest.
    pub fn withdraw(&mut self, hub: &mut EventLoop, attempt: u64) -> bool {
        if self.carriers.cancel_if_unsent(hub, attempt) {
            self.discard(attempt);
            return true;
        }
        self.close_partial(hub, attempt)
    }

    /// Part of the attempt was sent, and the rest would follow when the host reads on: closes the connection,
    /// unless that would break a fully sent attempt that must not run twice.
    fn close_partial(&mut self, hub: &mut EventLoop, attempt: u64) -> bool {
        let Some((connection, _)) = self.in_flight.get(&attempt) else { return false };
        let connection = *connection;
        if hub.sent(connection, attempt) != Sent::Part {
            return false;
        }
        let outstanding = self
            .connections_by_id
            .get(&connection)
            .into_iter()
            .flat_map(|connection_state| connection_state.outstanding.values());
        let must_stay = outstanding.into_iter().any(|item| match item {
            Outstanding::Attempt(other) => {
                !other.is_repeatable
                    && other.number != attempt
                    && hub.sent(connection, other.number) == Sent::Whole
            }
            _ => false,
        });
        if must_stay {
            self.carriers.mark_leaving(connection);
            return false;
        }
        self.carriers.complete(hub, attempt);
        self.discard(attempt);
        hub.close(connection, PARTIAL_SEND);
        true
    }

    /// Cancels everything unsent for a host and returns the ends.
    fn withdraw_all(&mut self, hub: &mut EventLoop, worker: &WorkerId) -> Vec<Input> {
        let ended = self.carriers.withdraw_all(hub, worker);
        for input in &ended {
            if let Input::AttemptEnded(number, ..) | Input::OrderEnded(number, ..) = input {
                self.discard(*number);
            }
        }
        ended
    }

    /// Drops an attempt or order that its host doesn't have, so that no answer can come.
    fn discard(&mut self, number: u64) {
        if let Some((connection, id)) = self.in_flight.remove(&number) {
            self.connections_by_id
                .get_mut(&connection)
                .into_iter()
                .for_each(|connection_state| _ = connection_state.outstanding.remove(&id));
        }
    }

    /// Cancels an attempt, locally if possible, else with an abort command.
    pub fn cancel(&mut self, hub: &mut EventLoop, attempt: u64) {
        if self.withdraw(hub, attempt) {
            return;
        }
        let Some((connection, id)) = self.in_flight.remove(&attempt) else { return };
        tracing::debug!(connection, id, "abort");
        self.carriers.cancel(hub, attempt, |out| host::abort(out, &id));
        let Some(connection_state) = self.connections_by_id.get_mut(&connection) else { return };
        if let Some(Outstanding::Attempt(sent_attempt)) = connection_state.outstanding.get(&id).copied() {
            connection_state
                .outstanding
                .insert(id, Outstanding::Done(hub.clock().now() + sent_attempt.duplicate_window));
            if connection_state.last_received <= sent_attempt.sent {
                // Nothing was received since it was sent: the host may have gone silently, so the connection
                // isn't reused.
                self.carriers.mark_leaving(connection);
            }
        }
    }

    pub fn connected(&mut self, hub: &EventLoop, connection: Connection) {
        self.carriers.mark_established(connection);
        let now = hub.clock().now();
        self.connections_by_id
            .get_mut(&connection)
            .into_iter()
            .for_each(|connection_state| connection_state.last_received = now);
    }

    pub fn host(&self, connection: Connection) -> Option<WorkerId> {
        self.carriers.worker(connection)
    }

    pub fn is_host_connection(&self, connection: Connection) -> bool {
        self.carriers.contains(connection)
    }

    /// Takes in bytes from a host; they are decoded in the connection's turn.
    pub fn receive(&mut self, hub: &EventLoop, connection: Connection, bytes: &[u8]) {
        let Some(connection_state) = self.connections_by_id.get_mut(&connection) else { return };
        connection_state.last_received = hub.clock().now();
        connection_state.decoder.push(bytes);
        self.input_turns.push(connection);
    }

    /// Whether there are received bytes to decode.
    pub fn has_input(&self) -> bool {
        !self.input_turns.is_empty()
    }

    /// Decodes some answers of the connection whose turn it is; returns what they ended.
    pub fn decode_turn(&mut self, hub: &mut EventLoop) -> Vec<Input> {
        let Some(connection) = self.input_turns.next() else { return Vec::new() };
        let mut ended = Vec::new();
        if self.decode(hub, connection, ANSWERS_PER_TURN, &mut ended) {
            self.input_turns.push(connection);
            return ended;
        }
        let connection_state = self.connections_by_id.get_mut(&connection);
        if connection_state.is_some_and(|state| std::mem::take(&mut state.held)) {
            hub.hold(connection, false);
        }
        ended
    }

    /// Decodes all that was received on a connection that has ended; returns what it ended.
    pub fn decode_rest(&mut self, hub: &mut EventLoop, connection: Connection) -> Vec<Input> {
        let mut ended = Vec::new();
        self.decode(hub, connection, usize::MAX, &mut ended);
        ended
    }

    /// Leaves connections unread of which something is left to decode.
    pub fn hold_undecoded(&mut self, hub: &mut EventLoop) {
        for connection in self.input_turns.iter() {
            let connection_state = self.connections_by_id.get_mut(&connection);
            if connection_state.is_some_and(|state| !std::mem::replace(&mut state.held, true)) {
                hub.hold(connection, true);
            }
        }
    }

    /// Decodes at most so many answers; true if more may follow.
    fn decode(
        &mut self,
        hub: &mut EventLoop,
        connection: Connection,
        most: usize,
        ended: &mut Vec<Input>,
    ) -> bool {
        let now = hub.clock().now();
        for _ in 0..most {
            let connection_state = self.connections_by_id.get_mut(&connection);
            let Some(connection_state) = connection_state.filter(|state| !state.malformed) else {
                return false;
            };
            let answer = match connection_state.decoder.decode() {
                Ok(None) => return false,
                Ok(Some(answer)) => answer,
                Err(error) => {
                    self.close_malformed(hub, connection, &error.to_string());
                    return false;
                }
            };
            match connection_state.outstanding.get(&answer.id).copied() {
                None | Some(Outstanding::Done(_)) => self.counts.unexpected += 1,
                Some(Outstanding::Probe(asked)) => {
                    connection_state.outstanding.remove(&answer.id);
                    let worker = self.carriers.worker(connection);
                    ended.extend(
                        worker.into_iter().flat_map(|worker| probe_outcome(worker, answer.word, asked)),
                    );
                }
                Some(
                    item @ (Outstanding::Attempt(SentAttempt { number, .. }) | Outstanding::Order(number)),
                ) => match outcome(item, answer) {
                    Some((id, input)) => {
                        match item {
                            Outstanding::Attempt(sent_attempt) => connection_state
                                .outstanding
                                .insert(id, Outstanding::Done(now + sent_attempt.duplicate_window)),
                            _ => connection_state.outstanding.remove(&id),
                        };
                        self.carriers.complete(hub, number);
                        self.in_flight.remove(&number);
                        ended.push(input);
                    }
                    None => {
                        self.close_malformed(hub, connection, "answer does not match the request");
                        return false;
                    }
                },
            }
        }
        true
    }

    /// Closes a connection after a malformed answer; what is in flight on it may have run.
    fn close_malformed(&mut self, hub: &mut EventLoop, connection: Connection, why: &str) {
        self.counts.malformed += 1;
        self.connections_by_id.entry(connection).and_modify(|state| state.malformed = true);
        let host = self.carriers.worker(connection);
        tracing::info!(host = host.map(tracing::field::display), why, "malformed answer from host");
        hub.close(connection, "malformed answer from host");
    }

    /// Returns what the end of a connection ended. Hosts close connections without open requests in good
    /// order; they don't count orders, which remain valid. The end of one connection says nothing about its
    /// host while another is open, and a failed connect says nothing if the host was heard on another
    /// connection meanwhile.
    pub fn closed(
        &mut self,
        connection: Connection,
        never_stood: bool,
        unsent: &[u64],
        why: &str,
    ) -> Vec<Input> {
        let opened_at =
            self.connections_by_id.remove(&connection).map(|connection_state| connection_state.opened_at);
        let sibling = self.carriers.has_other_connection(connection);
        let never_stood =
            never_stood && !opened_at.is_some_and(|opened_at| self.received_since(connection, opened_at));
        let mut ended = self.carriers.remove_closed(connection, never_stood, unsent);
        let in_order = sibling
            || why == PARTIAL_SEND
            || why == ENDED && !ended.iter().any(|input| matches!(input, Input::AttemptEnded(..)));
        for input in &mut ended {
            match input {
                Input::AttemptEnded(number, end, ..) => {
                    self.in_flight.remove(number);
                    // The others on the closed connection may have run, but the host broke nothing.
                    if why == PARTIAL_SEND && *end == AttemptEnd::Broken {
                        *end = AttemptEnd::CutOff;
                    }
                }
                Input::OrderEnded(number, end, _) => {
                    self.in_flight.remove(number);
                    if in_order && *end == OrderEnd::Broken {
                        *end = OrderEnd::CutOff;
                    }
                }
                _ => {}
            }
        }
        ended
    }

    /// Whether anything was received from the same host since then, on any connection.
    fn received_since(&self, connection: Connection, since: Micros) -> bool {
        let host = self.carriers.worker(connection);
        let same = |other: &Connection| host.is_some() && self.carriers.worker(*other) == host;
        self.connections_by_id
            .iter()
            .any(|(other, connection_state)| connection_state.last_received > since && same(other))
    }

    /// Closes idle connections and forgets ids to which no answer can come any more.
    pub fn expire(&mut self, hub: &mut EventLoop) {
        self.carriers.close_idle(hub, self.limits.idle);
        let now = hub.clock().now();
        for connection_state in self.connections_by_id.values_mut() {
            connection_state
                .outstanding
                .retain(|_, item| !matches!(item, Outstanding::Done(until) if *until <= now));
        }
    }
}

fn ended(number: u64, end: AttemptEnd) -> Input {
    Input::AttemptEnded(number, end, Vec::new(), None)
}

/// Interprets the answer to a probe. A draining host answers 'down' and completes what it has.
fn probe_outcome(worker: WorkerId, word: AnswerStatus, asked: Micros) -> Vec<Input> {
    let said = |serves| Input::WorkerReported { worker: worker.clone(), serves, probed_at: asked };
    match word {
        AnswerStatus::Up => vec![said(true), Input::ProbeAnswered(worker)],
        AnswerStatus::Down => vec![said(false)],
        _ => Vec::new(),
    }
}

/// Converts an answer for the engine and returns it with its id; `None` if it doesn't fit the request.
fn outcome(item: Outstanding, answer: HostAnswer) -> Option<(String, Input)> {
    let input = match item {
        Outstanding::Attempt(SentAttempt { number, .. }) => {
            let ending = match answer.word {
                AnswerStatus::Ok => Ending::Ok,
                AnswerStatus::Miss if answer.load_failed => Ending::LoadFailed,
                AnswerStatus::Miss => Ending::Miss,
                AnswerStatus::Busy => Ending::Full,
                AnswerStatus::Err => Ending::Error,
                AnswerStatus::Void => return Some((answer.id, ended(number, AttemptEnd::NotSent))),
                AnswerStatus::Up | AnswerStatus::Down => return None,
            };
            let end = AttemptEnd::Answered(ending, answer.rivals);
            Input::AttemptEnded(number, end, answer.body, None)
        }
        Outstanding::Order(order) => {
            let ending = match answer.word {
                AnswerStatus::Ok => Ending::Ok,
                AnswerStatus::Busy => Ending::Full,
                AnswerStatus::Err => Ending::Error,
                _ => return None,
            };
            Input::OrderEnded(order, OrderEnd::Answered(ending), answer.instances)
        }
        Outstanding::Probe(_) | Outstanding::Done(_) => return None,
    };
    Some((answer.id, input))
}

#[cfg(test)]
mod tests;
