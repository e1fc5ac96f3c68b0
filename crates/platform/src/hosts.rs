//! Connections to hosts: commands out, answers in.
//!
//! An answer carries the request id, which is the same for all attempts of a request, and a duplicate answer
//! may arrive late. So a connection that carried an id gets no further attempt with this id for a while: a
//! late duplicate of 'busy' would be taken for the answer to a running attempt.

use std::net::SocketAddr;

use cresswheel::{FunctionId, Micros, WorkerId};
use cresswheel_carriers::{Cargo, CarrierLimits, Carriers};
use cresswheel_engine::{Attempt, AttemptEnd, Input, OrderEnd};
use cresswheel_platform_wire::host::{self, HostAnswer, HostDecoder, Invoke, Word};
use cresswheel_protocol::{Ending, Listed, Standing};
use cresswheel_transport::{Connection, ENDED, Hub, Sent};
use foldhash::{HashMap, HashMapExt};

/// What an id or tag on a connection refers to.
#[derive(Clone, Copy, Debug)]
enum Name {
    Attempt(Sending),
    Order(u64),
    /// A health probe sent at this time.
    Probe(Micros),
    /// Answered or canceled; until this time, an answer to it may still arrive and is ignored.
    Over(Micros),
}

/// An attempt sent on a connection.
#[derive(Clone, Copy, Debug)]
struct Sending {
    number: u64,
    sent: Micros,
    /// How long after its end no other attempt with the same id may use the connection.
    late: Micros,
    is_repeatable: bool,
}

/// Close reason when the host has only part of an attempt and must not get the rest.
const CUT_SHORT: &str = "cut short";

/// A connection to a host.
struct Line {
    decoder: HostDecoder,
    names: HashMap<String, Name>,
    opened: Micros,
    heard: Micros,
}

impl Line {
    fn new(now: Micros) -> Self {
        Self { decoder: HostDecoder::default(), names: HashMap::new(), opened: now, heard: now }
    }
}

/// The endpoint of a listed host.
#[derive(Clone, Copy, Debug)]
struct Place {
    address: SocketAddr,
    started: Micros,
}

/// How long after an answer a duplicate of it may still arrive.
#[derive(Clone, Copy, Debug)]
pub struct Late {
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

/// Minimum interval between requested probes of a host.
const ASK_AGAIN: Micros = 250_000;

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct HostCounts {
    /// Connections closed because of a malformed answer.
    pub spoilt: u64,
    /// Unexpected answers: duplicates, unknown ids, or answers to canceled requests.
    pub unasked: u64,
}

/// Connections to all hosts.
pub struct Hosts {
    carriers: Carriers,
    limits: CarrierLimits,
    /// Connection limit over all hosts.
    most: usize,
    late: Late,
    lines: HashMap<Connection, Line>,
    places: HashMap<WorkerId, Place>,
    /// Connection and id or tag of each attempt and order in flight.
    out: HashMap<u64, (Connection, String)>,
    next_probe: u64,
    /// When a probe of each host was last requested.
    asked: HashMap<WorkerId, Micros>,
    pub counts: HostCounts,
}

impl Hosts {
    pub fn new(limits: CarrierLimits, most: usize, late: Late) -> Self {
        Self {
            carriers: Carriers::default(),
            limits,
            most,
            late,
            lines: HashMap::new(),
            places: HashMap::new(),
            out: HashMap::new(),
            next_probe: 0,
            asked: HashMap::new(),
            counts: HostCounts::default(),
        }
    }

    pub fn connections(&self) -> usize {
        self.carriers.connections()
    }

    /// Applies a complete host list. Returns the ends of unsent attempts and orders to hosts that drain or
    /// were removed.
    pub fn take_list(&mut self, hub: &mut Hub, listed: &[Listed]) -> Vec<Input> {
        let mut ended = Vec::new();
        let named = |id: &WorkerId| listed.iter().any(|host| *host.id == *id.0);
        let gone: Vec<_> = self.places.keys().filter(|id| !named(id)).cloned().collect();
        gone.iter().for_each(|id| ended.extend(self.gone(hub, id)));
        for host in listed {
            let id = WorkerId::from(host.id.as_str());
            let address = host.address.parse::<SocketAddr>();
            let Ok(address) = address.inspect_err(|_| {
                tracing::warn!(host = %id, address = %host.address, "the list gives no usable address");
            }) else {
                continue;
            };
            if host.standing == Standing::Out {
                ended.extend(self.gone(hub, &id));
                continue;
            }
            let place = Place { address, started: host.started };
            let before = self.places.insert(id.clone(), place);
            if host.standing == Standing::Draining {
                ended.extend(self.withdraw_all(hub, &id));
            }
            if before.is_some_and(|before| before.address != address) {
                self.carriers.all_leaving(&id);
            }
            if before.is_some_and(|before| before.started != host.started) {
                self.close_older(hub, &id, host.started);
            }
        }
        ended
    }

    fn gone(&mut self, hub: &mut Hub, id: &WorkerId) -> Vec<Input> {
        self.places.remove(id);
        self.asked.remove(id);
        let ended = self.withdraw_all(hub, id);
        self.carriers.all_leaving(id);
        ended
    }

    /// The host restarted: connections opened before that are closed, as nothing else may report their end.
    fn close_older(&mut self, hub: &mut Hub, id: &WorkerId, started: Micros) {
        let older = |connection: &Connection, line: &Line| {
            line.opened < started && self.carriers.worker(*connection).as_ref() == Some(id)
        };
        let older: Vec<_> = self.lines.iter().filter(|(c, line)| older(c, line)).map(|(c, _)| *c).collect();
        older.into_iter().for_each(|connection| hub.close(connection, "another process"));
    }

    fn hand(
        &mut self,
        hub: &mut Hub,
        worker: &WorkerId,
        (cargo, name): (Cargo, Name),
        id: &str,
        frame: impl FnOnce(&mut Vec<u8>),
    ) -> Option<Connection> {
        let place = self.places.get(worker)?;
        let mut limits = self.limits;
        if self.carriers.connections() >= self.most {
            // At the limit, open connections are shared; a host without one has to wait for a free
            // connection.
            limits.connections = 0;
        }
        let (now, lines) = (hub.clock().now(), &self.lines);
        let is_over = |name: &Name| matches!(name, Name::Over(until) if *until <= now);
        let name_of = |connection| lines.get(&connection).and_then(|line: &Line| line.names.get(id));
        let usable = |connection| name_of(connection).is_none_or(is_over);
        let to = (worker, place.address);
        let connection = self.carriers.give(hub, &limits, to, (cargo, frame), usable, |_| {})?;
        self.lines.entry(connection).or_insert_with(|| Line::new(now)).names.insert(id.to_owned(), name);
        Some(connection)
    }

    /// Sends an attempt to its host; returns how it ended if it can't be sent.
    pub fn run(&mut self, hub: &mut Hub, attempt: &Attempt) -> Option<Input> {
        let call = &attempt.call;
        let patience = (attempt.timeout.min(attempt.time_left) / 1_000).max(1);
        let late = if attempt.is_repeatable { self.late.others } else { self.late.unsafe_calls };
        let (number, is_repeatable) = (attempt.number, attempt.is_repeatable);
        let name = Name::Attempt(Sending { number, sent: hub.clock().now(), late, is_repeatable });
        let cargo = Cargo::Attempt(attempt.number);
        let frame = |out: &mut Vec<u8>| {
            let (id, class, function, once) = (&call.trace, &call.class, &call.function, &call.key);
            let (patience_ms, body) = (patience, &call.body);
            host::invoke(out, &Invoke { id, class, function, once, patience_ms, body });
        };
        match self.hand(hub, &attempt.worker, (cargo, name), &call.trace, frame) {
            Some(connection) => {
                self.out.insert(attempt.number, (connection, call.trace.clone()));
                None
            }
            // The host is listed, but the local connection limit is reached: not a failure of the host.
            None if self.places.contains_key(&attempt.worker) => {
                Some(ended(attempt.number, AttemptEnd::TakenBack))
            }
            None => Some(ended(attempt.number, AttemptEnd::NotConnected)),
        }
    }

    /// Sends a prewarm order; returns how it ended if it can't be sent.
    pub fn hold(&mut self, hub: &mut Hub, order: &Order) -> Option<Input> {
        let tag = format!("o{}", order.number);
        let named = (Cargo::Order(order.number), Name::Order(order.number));
        let frame = |out: &mut Vec<u8>| host::prewarm(out, &tag, &order.function.0, order.count);
        match self.hand(hub, &order.worker, named, &tag, frame) {
            Some(connection) => {
                self.out.insert(order.number, (connection, tag));
                None
            }
            None => Some(Input::OrderEnded(order.number, OrderEnd::NotConnected, 0)),
        }
    }

    /// Whether an attempt or order is queued on a connection with no byte sent.
    pub fn is_waiting(&self, hub: &Hub, number: u64) -> bool {
        self.carriers.is_waiting(hub, number)
    }

    /// Whether a byte of an attempt or order was sent on a connection that is still open.
    pub fn has_left(&self, hub: &Hub, number: u64) -> bool {
        let connection = self.out.get(&number).map(|(connection, _)| *connection);
        connection.is_some_and(|connection| {
            hub.is_open(connection) && hub.sent(connection, number) != Sent::Nothing
        })
    }

    /// Removes an attempt or order from its connection's queue; false if a byte was sent or it isn't queued.
    pub fn take_off(&mut self, hub: &mut Hub, number: u64) -> bool {
        let taken = self.carriers.withdraw(hub, number);
        if taken {
            self.forget(number);
        }
        taken
    }

    /// Probes a host on an open connection, or opens one.
    pub fn ask(&mut self, hub: &mut Hub, now: Micros, worker: &WorkerId) {
        let Some(place) = self.places.get(worker).copied() else { return };
        let last = self.asked.get(worker).copied();
        if last.is_some_and(|last| last.saturating_add(ASK_AGAIN) > now) {
            return;
        }
        if self.probe(hub, worker) {
            self.asked.insert(worker.clone(), now);
            return;
        }
        let mut limits = self.limits;
        if self.carriers.connections() >= self.most {
            limits.connections = 0;
        }
        if let Some(connection) = self.carriers.connect(hub, &limits, (worker, place.address), |_| {}) {
            self.lines.insert(connection, Line::new(now));
        }
    }

    /// Sends an order to unload idle instances, if the host is connected.
    pub fn unload(&mut self, hub: &mut Hub, worker: &WorkerId, function: &FunctionId) {
        self.carriers.tell(hub, worker, |out| host::evict(out, &function.0));
    }

    /// Probes a host that is connected; false if it isn't.
    pub fn probe(&mut self, hub: &mut Hub, worker: &WorkerId) -> bool {
        self.next_probe += 1;
        let tag = format!("p{}", self.next_probe);
        let told = self.carriers.tell(hub, worker, |out| host::alive(out, &tag));
        let line = told.and_then(|connection| self.lines.get_mut(&connection));
        let Some(line) = line else { return false };
        line.names.insert(tag, Name::Probe(hub.clock().now()));
        true
    }

    /// Cancels an attempt if its host doesn't have all of it; true if so: the host never gets the rest.
    pub fn withdraw(&mut self, hub: &mut Hub, attempt: u64) -> bool {
        if self.carriers.withdraw(hub, attempt) {
            self.forget(attempt);
            return true;
        }
        self.cut_short(hub, attempt)
    }

    /// Part of the attempt was sent, and the rest would follow when the host reads on: closes the connection,
    /// unless that would break a fully sent attempt that must not run twice.
    fn cut_short(&mut self, hub: &mut Hub, attempt: u64) -> bool {
        let Some((connection, _)) = self.out.get(&attempt) else { return false };
        let connection = *connection;
        if hub.sent(connection, attempt) != Sent::Part {
            return false;
        }
        let names = self.lines.get(&connection).into_iter().flat_map(|line| line.names.values());
        let must_stay = names.into_iter().any(|name| match name {
            Name::Attempt(other) => {
                !other.is_repeatable
                    && other.number != attempt
                    && hub.sent(connection, other.number) == Sent::Whole
            }
            _ => false,
        });
        if must_stay {
            self.carriers.leaving(connection);
            return false;
        }
        self.carriers.done(hub, attempt);
        self.forget(attempt);
        hub.close(connection, CUT_SHORT);
        true
    }

    /// Cancels everything unsent for a host and returns the ends.
    fn withdraw_all(&mut self, hub: &mut Hub, worker: &WorkerId) -> Vec<Input> {
        let ended = self.carriers.withdraw_all(hub, worker);
        for input in &ended {
            if let Input::AttemptEnded(number, ..) | Input::OrderEnded(number, ..) = input {
                self.forget(*number);
            }
        }
        ended
    }

    /// Drops an attempt or order that its host doesn't have, so that no answer can come.
    fn forget(&mut self, number: u64) {
        if let Some((connection, id)) = self.out.remove(&number) {
            self.lines.get_mut(&connection).into_iter().for_each(|line| _ = line.names.remove(&id));
        }
    }

    /// Cancels an attempt, locally if possible, else with an abort command.
    pub fn give_up(&mut self, hub: &mut Hub, attempt: u64) {
        if self.withdraw(hub, attempt) {
            return;
        }
        let Some((connection, id)) = self.out.remove(&attempt) else { return };
        tracing::debug!(connection, id, "abort");
        self.carriers.call_off(hub, attempt, |out| host::abort(out, &id));
        let Some(line) = self.lines.get_mut(&connection) else { return };
        if let Some(Name::Attempt(sending)) = line.names.get(&id).copied() {
            line.names.insert(id, Name::Over(hub.clock().now() + sending.late));
            if line.heard <= sending.sent {
                // Nothing was received since it was sent: the host may have gone silently, so the connection
                // isn't reused.
                self.carriers.leaving(connection);
            }
        }
    }

    pub fn stands(&mut self, hub: &Hub, connection: Connection) {
        self.carriers.stands(connection);
        let now = hub.clock().now();
        self.lines.get_mut(&connection).into_iter().for_each(|line| line.heard = now);
    }

    pub fn host(&self, connection: Connection) -> Option<WorkerId> {
        self.carriers.worker(connection)
    }

    pub fn is_ours(&self, connection: Connection) -> bool {
        self.carriers.is_ours(connection)
    }

    /// Processes bytes from a host; returns what they ended.
    pub fn bytes(&mut self, hub: &mut Hub, connection: Connection, bytes: &[u8]) -> Vec<Input> {
        let mut ended = Vec::new();
        let now = hub.clock().now();
        let Some(line) = self.lines.get_mut(&connection) else { return ended };
        line.heard = now;
        line.decoder.push(bytes);
        loop {
            let Some(line) = self.lines.get_mut(&connection) else { return ended };
            let answer = match line.decoder.decode() {
                Ok(None) => return ended,
                Ok(Some(answer)) => answer,
                Err(error) => {
                    self.spoilt(hub, connection, &error.to_string());
                    return ended;
                }
            };
            match line.names.get(&answer.id).copied() {
                None | Some(Name::Over(_)) => self.counts.unasked += 1,
                Some(Name::Probe(asked)) => {
                    line.names.remove(&answer.id);
                    let worker = self.carriers.worker(connection);
                    ended.extend(worker.into_iter().flat_map(|worker| probed(worker, answer.word, asked)));
                }
                Some(name @ (Name::Attempt(Sending { number, .. }) | Name::Order(number))) => {
                    match told(name, answer) {
                        Some((id, input)) => {
                            match name {
                                Name::Attempt(sending) => {
                                    line.names.insert(id, Name::Over(now + sending.late))
                                }
                                _ => line.names.remove(&id),
                            };
                            self.carriers.done(hub, number);
                            self.out.remove(&number);
                            ended.push(input);
                        }
                        None => {
                            self.spoilt(hub, connection, "a word that is no answer to this");
                            return ended;
                        }
                    }
                }
            }
        }
    }

    /// Closes a connection after a malformed answer; what is in flight on it may have run.
    fn spoilt(&mut self, hub: &mut Hub, connection: Connection, why: &str) {
        self.counts.spoilt += 1;
        let host = self.carriers.worker(connection);
        tracing::info!(host = host.map(tracing::field::display), why, "a spoilt answer");
        hub.close(connection, "a spoilt answer");
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
        let opened = self.lines.remove(&connection).map(|line| line.opened);
        let sibling = self.carriers.has_sibling(connection);
        let never_stood = never_stood && !opened.is_some_and(|opened| self.was_heard(connection, opened));
        let mut ended = self.carriers.closed(connection, never_stood, unsent);
        let in_order = sibling
            || why == CUT_SHORT
            || why == ENDED && !ended.iter().any(|input| matches!(input, Input::AttemptEnded(..)));
        for input in &mut ended {
            match input {
                Input::AttemptEnded(number, end, ..) => {
                    self.out.remove(number);
                    // The others on the closed connection may have run, but the host broke nothing.
                    if why == CUT_SHORT && *end == AttemptEnd::Broken {
                        *end = AttemptEnd::CutOff;
                    }
                }
                Input::OrderEnded(number, end, _) => {
                    self.out.remove(number);
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
    fn was_heard(&self, connection: Connection, since: Micros) -> bool {
        let host = self.carriers.worker(connection);
        let same = |other: &Connection| host.is_some() && self.carriers.worker(*other) == host;
        self.lines.iter().any(|(other, line)| line.heard > since && same(other))
    }

    /// Closes idle connections and forgets ids to which no answer can come any more.
    pub fn tidy(&mut self, hub: &mut Hub) {
        self.carriers.close_idle(hub, self.limits.idle);
        let now = hub.clock().now();
        for line in self.lines.values_mut() {
            line.names.retain(|_, name| !matches!(name, Name::Over(until) if *until <= now));
        }
    }
}

fn ended(number: u64, end: AttemptEnd) -> Input {
    Input::AttemptEnded(number, end, Vec::new(), None)
}

/// Interprets the answer to a probe. A draining host answers 'down' and completes what it has.
fn probed(worker: WorkerId, word: Word, asked: Micros) -> Vec<Input> {
    let said = |serves| Input::WorkerSaid { worker: worker.clone(), serves, asked };
    match word {
        Word::Up => vec![said(true), Input::Probed(worker)],
        Word::Down => vec![said(false)],
        _ => Vec::new(),
    }
}

/// Converts an answer for the engine and returns it with its id; `None` if it doesn't fit the request.
fn told(name: Name, answer: HostAnswer) -> Option<(String, Input)> {
    let input = match name {
        Name::Attempt(Sending { number, .. }) => {
            let ending = match answer.word {
                Word::Ok => Ending::Ok,
                Word::Miss if answer.load_failed => Ending::LoadFailed,
                Word::Miss => Ending::Miss,
                Word::Busy => Ending::Full,
                Word::Err => Ending::Error,
                Word::Void => return Some((answer.id, ended(number, AttemptEnd::NotSent))),
                Word::Up | Word::Down => return None,
            };
            let end = AttemptEnd::Answered(ending, answer.rivals);
            Input::AttemptEnded(number, end, answer.body, None)
        }
        Name::Order(order) => {
            let ending = match answer.word {
                Word::Ok => Ending::Ok,
                Word::Busy => Ending::Full,
                Word::Err => Ending::Error,
                _ => return None,
            };
            Input::OrderEnded(order, OrderEnd::Answered(ending), answer.instances)
        }
        Name::Probe(_) | Name::Over(_) => return None,
    };
    Some((answer.id, input))
}

#[cfg(test)]
mod tests;
