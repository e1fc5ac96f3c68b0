//! Connections to hosts: commands out, answers in.
//!
//! A host's answer names the request's id, which stays the same over all its attempts. So a connection on which an
//! id was given up, and may still be answered, gets no further attempt under that id.

use std::net::SocketAddr;

use cresswheel::{FunctionId, Micros, WorkerId};
use cresswheel_carriers::{Cargo, CarrierLimits, Carriers};
use cresswheel_engine::{Attempt, AttemptEnd, Input, OrderEnd};
use cresswheel_platform_wire::host::{self, HostAnswer, HostDecoder, Word};
use cresswheel_protocol::{Ending, Listed, Standing};
use cresswheel_transport::{Connection, ENDED, Hub};
use foldhash::{HashMap, HashMapExt};

/// What an id or tag on a connection stands for.
#[derive(Clone, Copy, Debug)]
enum Name {
    Attempt(u64, Micros),
    Order(u64),
    Probe,
    /// Nobody waits for it, but an answer may be on its way.
    GivenUp,
}

/// One connection.
struct Line {
    decoder: HostDecoder,
    names: HashMap<String, Name>,
    opened: Micros,
    heard: Micros,
}

/// A listed host.
#[derive(Clone, Copy, Debug)]
struct Place {
    address: SocketAddr,
    started: Micros,
}

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct HostCounts {
    /// Connections ended for an answer that could not be read.
    pub spoilt: u64,
    /// Answers to nothing: a second copy, one under an unknown id, one to what was given up.
    pub unasked: u64,
}

/// All hosts.
pub struct Hosts {
    carriers: Carriers,
    limits: CarrierLimits,
    /// Connections to all hosts together.
    most: usize,
    lines: HashMap<Connection, Line>,
    places: HashMap<WorkerId, Place>,
    /// The connection and the id of each attempt that is out.
    out: HashMap<u64, (Connection, String)>,
    next_probe: u64,
    pub counts: HostCounts,
}

impl Hosts {
    pub fn new(limits: CarrierLimits, most: usize) -> Self {
        Self {
            carriers: Carriers::default(),
            limits,
            most,
            lines: HashMap::new(),
            places: HashMap::new(),
            out: HashMap::new(),
            next_probe: 0,
            counts: HostCounts::default(),
        }
    }

    pub fn connections(&self) -> usize {
        self.carriers.connections()
    }

    /// Takes the list over, all of it or changes. What had not left for hosts that drain or are gone is taken back.
    pub fn take_list(&mut self, hub: &mut Hub, whole: bool, listed: &[Listed]) -> Vec<Input> {
        let mut ended = Vec::new();
        if whole {
            let named = |id: &WorkerId| listed.iter().any(|host| *host.id == *id.0);
            let gone: Vec<_> = self.places.keys().filter(|id| !named(id)).cloned().collect();
            gone.iter().for_each(|id| ended.extend(self.gone(hub, id)));
        }
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
        let ended = self.withdraw_all(hub, id);
        self.carriers.all_leaving(id);
        ended
    }

    /// Another process stands there now: what was opened before it began ends, though nothing may say so.
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
            // Those that stand are shared; a host without one has to wait for a place.
            limits.connections = 0;
        }
        let lines = &self.lines;
        let usable = |connection| lines.get(&connection).is_none_or(|line| !line.names.contains_key(id));
        let to = (worker, place.address);
        let connection = self.carriers.give(hub, &limits, to, (cargo, frame), usable, |_| {})?;
        let now = hub.clock().now();
        let new = || Line { decoder: HostDecoder::default(), names: HashMap::new(), opened: now, heard: now };
        self.lines.entry(connection).or_insert_with(new).names.insert(id.to_owned(), name);
        Some(connection)
    }

    /// Carries an attempt to its host; gives back how it ended if it can't.
    pub fn run(&mut self, hub: &mut Hub, attempt: &Attempt) -> Option<Input> {
        let call = &attempt.call;
        let patience = (attempt.timeout.min(attempt.time_left) / 1_000).max(1);
        let name = Name::Attempt(attempt.number, hub.clock().now());
        let cargo = Cargo::Attempt(attempt.number);
        let frame = |out: &mut Vec<u8>| {
            host::invoke(out, &call.trace, &call.class, &call.function, patience, &call.body);
        };
        match self.hand(hub, &attempt.worker, (cargo, name), &call.trace, frame) {
            Some(connection) => {
                self.out.insert(attempt.number, (connection, call.trace.clone()));
                None
            }
            // A listed host, but no place for it among our own connections: that is not the host's failure.
            None if self.places.contains_key(&attempt.worker) => {
                Some(ended(attempt.number, AttemptEnd::TakenBack))
            }
            None => Some(ended(attempt.number, AttemptEnd::NotConnected)),
        }
    }

    /// Carries an order; gives back how it ended if it can't.
    pub fn hold(
        &mut self,
        hub: &mut Hub,
        worker: &WorkerId,
        order: u64,
        function: &FunctionId,
        count: u32,
    ) -> Option<Input> {
        let tag = format!("o{order}");
        let named = (Cargo::Order(order), Name::Order(order));
        let frame = |out: &mut Vec<u8>| host::prewarm(out, &tag, &function.0, count);
        match self.hand(hub, worker, named, &tag, frame) {
            Some(_) => None,
            None => Some(Input::OrderEnded(order, OrderEnd::NotConnected, 0)),
        }
    }

    /// Has idle instances unloaded, if a connection stands.
    pub fn unload(&mut self, hub: &mut Hub, worker: &WorkerId, function: &FunctionId) {
        self.carriers.tell(hub, worker, |out| host::evict(out, &function.0));
    }

    /// Probes a host, if a connection stands.
    pub fn probe(&mut self, hub: &mut Hub, worker: &WorkerId) {
        self.next_probe += 1;
        let tag = format!("p{}", self.next_probe);
        let told = self.carriers.tell(hub, worker, |out| host::alive(out, &tag));
        if let Some(line) = told.and_then(|connection| self.lines.get_mut(&connection)) {
            line.names.insert(tag, Name::Probe);
        }
    }

    /// Takes an attempt back if no byte of it has left; true: that was so.
    pub fn withdraw(&mut self, hub: &mut Hub, attempt: u64) -> bool {
        let taken = self.carriers.withdraw(hub, attempt);
        if taken {
            self.forget(attempt);
        }
        taken
    }

    /// Takes back all for a host of which no byte has left, and tells how it ended.
    fn withdraw_all(&mut self, hub: &mut Hub, worker: &WorkerId) -> Vec<Input> {
        let ended = self.carriers.withdraw_all(hub, worker);
        for input in &ended {
            if let Input::AttemptEnded(attempt, ..) = input {
                self.forget(*attempt);
            }
        }
        ended
    }

    /// No byte of this attempt left, so no answer to it can come.
    fn forget(&mut self, attempt: u64) {
        if let Some((connection, id)) = self.out.remove(&attempt) {
            self.lines.get_mut(&connection).into_iter().for_each(|line| _ = line.names.remove(&id));
        }
    }

    /// Takes an attempt back, or has its host give it up.
    pub fn give_up(&mut self, hub: &mut Hub, attempt: u64) {
        if self.withdraw(hub, attempt) {
            return;
        }
        let Some((connection, id)) = self.out.remove(&attempt) else { return };
        tracing::debug!(connection, id, "abort");
        self.carriers.call_off(hub, attempt, |out| host::abort(out, &id));
        let Some(line) = self.lines.get_mut(&connection) else { return };
        let before = line.names.insert(id, Name::GivenUp);
        if matches!(before, Some(Name::Attempt(_, sent)) if line.heard <= sent) {
            // Nothing at all came since: the host may be gone without a word, and the connection with it.
            self.carriers.leaving(connection);
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

    /// Bytes came from a host: what they end.
    pub fn bytes(&mut self, hub: &mut Hub, connection: Connection, bytes: &[u8]) -> Vec<Input> {
        let mut ended = Vec::new();
        let Some(line) = self.lines.get_mut(&connection) else { return ended };
        line.heard = hub.clock().now();
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
            match line.names.remove(&answer.id) {
                None | Some(Name::GivenUp) => self.counts.unasked += 1,
                Some(Name::Probe) => {
                    let up = self.carriers.worker(connection).filter(|_| answer.word == Word::Up);
                    ended.extend(up.map(Input::Probed));
                }
                Some(name @ (Name::Attempt(number, _) | Name::Order(number))) => match told(name, answer) {
                    Some(input) => {
                        self.carriers.done(hub, number);
                        self.out.remove(&number);
                        ended.push(input);
                    }
                    None => {
                        self.spoilt(hub, connection, "a word that is no answer to this");
                        return ended;
                    }
                },
            }
        }
    }

    /// Nothing more on this connection can be trusted; what is out on it may have run.
    fn spoilt(&mut self, hub: &mut Hub, connection: Connection, why: &str) {
        self.counts.spoilt += 1;
        let host = self.carriers.worker(connection);
        tracing::info!(host = host.map(tracing::field::display), why, "a spoilt answer");
        hub.close(connection, "a spoilt answer");
    }

    /// A connection is gone. Hosts end one in good order when no request is open on it; they don't count orders,
    /// which stand all the same. Nor does a single connection's end tell of its host while another stands.
    pub fn closed(
        &mut self,
        connection: Connection,
        never_stood: bool,
        unsent: &[u64],
        why: &str,
    ) -> Vec<Input> {
        self.lines.remove(&connection);
        let sibling = self.carriers.has_sibling(connection);
        let mut ended = self.carriers.closed(connection, never_stood, unsent);
        let in_order =
            sibling || why == ENDED && !ended.iter().any(|input| matches!(input, Input::AttemptEnded(..)));
        for input in &mut ended {
            match input {
                Input::AttemptEnded(number, ..) => _ = self.out.remove(number),
                Input::OrderEnded(_, end @ OrderEnd::Broken, _) if in_order => *end = OrderEnd::CutOff,
                _ => {}
            }
        }
        ended
    }

    pub fn close_idle(&mut self, hub: &mut Hub, idle: Micros) {
        self.carriers.close_idle(hub, idle);
    }
}

fn ended(number: u64, end: AttemptEnd) -> Input {
    Input::AttemptEnded(number, end, Vec::new(), None)
}

/// A host's word in the engine's terms; `None`: it is no answer to this.
fn told(name: Name, answer: HostAnswer) -> Option<Input> {
    match name {
        Name::Attempt(number, _) => {
            let ending = match answer.word {
                Word::Ok => Ending::Ok,
                Word::Miss if answer.load_failed => Ending::LoadFailed,
                Word::Miss => Ending::Miss,
                Word::Busy => Ending::Full,
                Word::Err => Ending::Error,
                Word::Void => return Some(ended(number, AttemptEnd::NotSent)),
                Word::Up | Word::Down => return None,
            };
            let end = AttemptEnd::Answered(ending, answer.rivals);
            Some(Input::AttemptEnded(number, end, answer.body, None))
        }
        Name::Order(order) => {
            let ending = match answer.word {
                Word::Ok => Ending::Ok,
                Word::Busy => Ending::Full,
                Word::Err => Ending::Error,
                _ => return None,
            };
            Some(Input::OrderEnded(order, OrderEnd::Answered(ending), answer.instances))
        }
        Name::Probe | Name::GivenUp => None,
    }
}

#[cfg(test)]
mod tests {
    use std::net::TcpListener;
    use std::sync::Arc;

    use cresswheel_engine::Call;
    use cresswheel_protocol::Shape;
    use cresswheel_transport::{HubLimits, Wire};

    use super::*;

    #[test]
    fn what_is_taken_back_as_its_host_drains_or_goes_leaves_nothing_behind() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let host = |standing| Listed {
            id: "h".into(),
            address: listener.local_addr().unwrap().to_string(),
            zone: String::new(),
            kind: String::new(),
            cell: 0,
            standing,
            started: 0,
        };
        let call = Call {
            deferred: false,
            function: "7f3a9c21e0b4d655".into(),
            class: "check".into(),
            tenant: String::new(),
            key: String::new(),
            trace: "9b1f03aa5c7e2d41".into(),
            time_left: 1_000_000,
            shape: Shape { memory_mb: 0, lanes: 0, load_time: 0, work: 0 },
            body: Vec::new(),
            account: None,
            route: None,
        };
        let attempt = Attempt {
            number: 1,
            worker: "h".into(),
            id: "1".into(),
            before: 0,
            time_left: 1_000_000,
            timeout: 1_000_000,
            call: Arc::new(call),
        };
        for after in [Standing::Draining, Standing::Out] {
            let mut hub = Hub::new(HubLimits::default()).unwrap();
            let (wire, connect_timeout) = (Wire::Raw, 1_000_000);
            let limits = CarrierLimits { wire, connections: 2, streams: 10, spread: 1, connect_timeout };
            let mut hosts = Hosts::new(limits, 10);
            hosts.take_list(&mut hub, true, &[host(Standing::In)]);
            // The hub has not looked yet: the connection does not stand, and no byte has left.
            assert!(hosts.run(&mut hub, &attempt).is_none());
            let ended = hosts.take_list(&mut hub, true, &[host(after)]);
            assert!(matches!(ended[..], [Input::AttemptEnded(1, AttemptEnd::TakenBack, ..)]), "{ended:?}");
            assert!(
                hosts.out.is_empty() && hosts.lines.values().all(|line| line.names.is_empty()),
                "{after:?}"
            );
        }
    }
}
