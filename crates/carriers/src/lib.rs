//! Connections to the workers: which one carries an attempt, what is out on each.
//!
//! The carriers know no calls and no protocol: a shell says what its wire is and writes its own frames. A connection
//! is opened when those that stand are full, up to a bound; for a closed one each attempt and order on it is told
//! how it ended. Both shells use this, so that what proves 'never ran' is found out in one way.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use cresswheel::WorkerId;
use cresswheel_engine::{AttemptEnd, Input, OrderEnd};
use cresswheel_protocol::Micros;
use cresswheel_transport::{Connection, Hub, Sent, Wire};
use foldhash::HashMap;

/// One connection to a worker.
struct Carrier {
    worker: WorkerId,
    stands: bool,
    attempts: BTreeSet<u64>,
    orders: BTreeSet<u64>,
    /// When an attempt was begun or over here last; orders and probes don't count, as workers don't count them.
    idle_since: Micros,
    /// Nothing new here: the worker said that it goes away, or the shell gave the connection up.
    leaving: bool,
}

impl Carrier {
    fn load(&self) -> usize {
        self.attempts.len() + self.orders.len()
    }

    /// No attempt has been here for so long that the worker may be closing it: one sent now could cross that.
    fn is_stale(&self, now: Micros, idle: Micros) -> bool {
        self.stands && self.attempts.is_empty() && self.idle_since.saturating_add(idle) <= now
    }
}

/// All connections to workers.
#[derive(Default)]
pub struct Carriers {
    carriers: HashMap<Connection, Carrier>,
    by_worker: HashMap<WorkerId, Vec<Connection>>,
    /// Where each attempt and order is out.
    places: HashMap<u64, Connection>,
}

/// Bounds of the carriers.
#[derive(Clone, Copy, Debug)]
pub struct CarrierLimits {
    /// What is spoken on them.
    pub wire: Wire,
    /// Connections to one worker.
    pub connections: usize,
    /// Attempts and orders that one connection carries at once.
    pub streams: usize,
    /// Another connection is opened, while there is room for one, when each carries so many attempts.
    pub spread: usize,
    /// A connection must stand after this.
    pub connect_timeout: Micros,
    /// One on which no attempt has been for so long carries no further attempt, and is closed once nothing is out.
    pub idle: Micros,
}

/// What is to be carried, by its number.
#[derive(Clone, Copy, Debug)]
pub enum Cargo {
    /// An attempt.
    Attempt(u64),
    /// A hold order.
    Order(u64),
}

impl Carriers {
    /// Hands a frame to a connection to the worker and tells which; `None`: none is to be had. `begin` writes what
    /// a new connection begins with; `usable` may rule out connections.
    pub fn give(
        &mut self,
        hub: &mut Hub,
        limits: &CarrierLimits,
        (worker, address): (&WorkerId, SocketAddr),
        (cargo, frame): (Cargo, impl FnOnce(&mut Vec<u8>)),
        usable: impl Fn(Connection) -> bool,
        begin: impl FnOnce(&mut Vec<u8>),
    ) -> Option<Connection> {
        let now = hub.clock().now();
        let here = self.by_worker.get(worker).map_or(&[][..], Vec::as_slice);
        let stale = |c: &Connection| {
            matches!(cargo, Cargo::Attempt(_)) && self.carriers[c].is_stale(now, limits.idle)
        };
        let free = |c: &Connection| {
            !self.carriers[c].leaving && self.carriers[c].load() < limits.streams && !stale(c)
        };
        let mut all = here.iter().copied().filter(|c| free(c) && usable(*c));
        // Orders are in nobody's way while they wait. They go where most attempts go, to the connection that stands
        // longest: a worker may end one on which no attempt has been for a while, whatever orders wait there.
        let attempts = |c: Connection| self.carriers[&c].attempts.len();
        let least = match cargo {
            Cargo::Attempt(_) => all.min_by_key(|c| attempts(*c)),
            Cargo::Order(_) => all.next(),
        };
        let room = here.iter().filter(|c| !stale(c)).count() < limits.connections;
        let shared = !room || matches!(cargo, Cargo::Order(_));
        let connection = match least.filter(|c| shared || attempts(*c) < limits.spread) {
            Some(connection) => connection,
            None if !room => return None,
            None => self.open(hub, limits, (worker, address), begin)?,
        };
        let (Cargo::Attempt(number) | Cargo::Order(number)) = cargo;
        if !hub.write(connection, Some(number), frame) {
            return None;
        }
        if let Some(carrier) = self.carriers.get_mut(&connection) {
            match cargo {
                Cargo::Attempt(_) => carrier.attempts.insert(number),
                Cargo::Order(_) => carrier.orders.insert(number),
            };
        }
        self.places.insert(number, connection);
        Some(connection)
    }

    /// Begins a connection with nothing on it, if there is none to the worker that stands or is begun and there is room;
    /// gives the new one.
    pub fn connect(
        &mut self,
        hub: &mut Hub,
        limits: &CarrierLimits,
        to: (&WorkerId, SocketAddr),
        begin: impl FnOnce(&mut Vec<u8>),
    ) -> Option<Connection> {
        let here = self.by_worker.get(to.0).into_iter().flatten();
        let usable = here.filter(|connection| !self.carriers[connection].leaving).count();
        if usable > 0 || limits.connections == 0 {
            return None;
        }
        self.open(hub, limits, to, begin)
    }

    fn open(
        &mut self,
        hub: &mut Hub,
        limits: &CarrierLimits,
        (worker, address): (&WorkerId, SocketAddr),
        begin: impl FnOnce(&mut Vec<u8>),
    ) -> Option<Connection> {
        let connection = hub.connect(address, limits.wire, limits.connect_timeout);
        if !hub.is_open(connection) {
            return None;
        }
        let carrier = Carrier {
            worker: worker.clone(),
            stands: false,
            attempts: BTreeSet::new(),
            orders: BTreeSet::new(),
            idle_since: hub.clock().now(),
            leaving: false,
        };
        self.carriers.insert(connection, carrier);
        self.by_worker.entry(worker.clone()).or_default().push(connection);
        hub.write(connection, None, begin);
        Some(connection)
    }

    /// A frame that is no attempt or order, if a connection stands; gives the one that carries it.
    pub fn tell(
        &mut self,
        hub: &mut Hub,
        worker: &WorkerId,
        frame: impl FnOnce(&mut Vec<u8>),
    ) -> Option<Connection> {
        let stands = |c: &&Connection| self.carriers.get(c).is_some_and(|c| c.stands && !c.leaving);
        let connection = *self.by_worker.get(worker)?.iter().find(stands)?;
        hub.write(connection, None, frame).then_some(connection)
    }

    /// Tells the worker that an attempt is called off, on the connection that carries it, which is given back.
    pub fn call_off(
        &mut self,
        hub: &mut Hub,
        attempt: u64,
        frame: impl FnOnce(&mut Vec<u8>),
    ) -> Option<Connection> {
        let connection = self.done(hub, attempt)?;
        hub.write(connection, None, frame);
        Some(connection)
    }

    /// Takes an attempt or order back; true: no byte of it had left.
    pub fn withdraw(&mut self, hub: &mut Hub, number: u64) -> bool {
        let Some(connection) = self.places.get(&number).copied() else { return false };
        let taken = hub.withdraw(connection, number);
        if taken {
            self.done(hub, number);
        }
        taken
    }

    /// Takes back all for a worker of which no byte has left, and tells how it ended.
    pub fn withdraw_all(&mut self, hub: &mut Hub, worker: &WorkerId) -> Vec<Input> {
        let here = self.by_worker.get(worker).cloned().unwrap_or_default();
        let mut ended = Vec::new();
        for carrier in here.iter().filter_map(|connection| self.carriers.get(connection)) {
            ended.extend(carrier.attempts.iter().copied().map(Cargo::Attempt));
            ended.extend(carrier.orders.iter().copied().map(Cargo::Order));
        }
        ended.retain(|(Cargo::Attempt(number) | Cargo::Order(number))| self.withdraw(hub, *number));
        let told = |cargo| match cargo {
            Cargo::Attempt(number) => Input::AttemptEnded(number, AttemptEnd::TakenBack, Vec::new(), None),
            Cargo::Order(number) => Input::OrderEnded(number, OrderEnd::NotConnected, 0),
        };
        ended.into_iter().map(told).collect()
    }

    /// An attempt or order is no longer out; gives the connection that carried it.
    pub fn done(&mut self, hub: &Hub, number: u64) -> Option<Connection> {
        let connection = self.places.remove(&number)?;
        let carrier = self.carriers.get_mut(&connection)?;
        if carrier.attempts.remove(&number) {
            carrier.idle_since = hub.clock().now();
        }
        carrier.orders.remove(&number);
        Some(connection)
    }

    /// Whether an attempt or order waits here, without a byte of it having left.
    pub fn is_waiting(&self, hub: &Hub, number: u64) -> bool {
        let connection = self.places.get(&number);
        connection.is_some_and(|connection| hub.sent(*connection, number) == Sent::Nothing)
    }

    /// Whose connection it is.
    pub fn worker(&self, connection: Connection) -> Option<WorkerId> {
        self.carriers.get(&connection).map(|carrier| carrier.worker.clone())
    }

    /// Whether another connection to the same worker stands.
    pub fn has_sibling(&self, connection: Connection) -> bool {
        let worker = self.carriers.get(&connection).map(|carrier| &carrier.worker);
        let here = worker.and_then(|worker| self.by_worker.get(worker));
        here.into_iter().flatten().any(|c| *c != connection && self.carriers[c].stands)
    }

    /// Whether it is a connection to a worker.
    pub fn is_ours(&self, connection: Connection) -> bool {
        self.carriers.contains_key(&connection)
    }

    /// Whether the answer to this number is expected from this connection.
    pub fn carries(&self, connection: Connection, number: u64) -> bool {
        self.places.get(&number) == Some(&connection)
    }

    /// A connection stands.
    pub fn stands(&mut self, connection: Connection) {
        self.carriers.entry(connection).and_modify(|c| c.stands = true);
    }

    /// Nothing new goes to this connection.
    pub fn leaving(&mut self, connection: Connection) {
        self.carriers.entry(connection).and_modify(|c| c.leaving = true);
    }

    /// Nothing new goes to the connections that stand or are begun to a worker.
    pub fn all_leaving(&mut self, worker: &WorkerId) {
        for connection in self.by_worker.get(worker).cloned().unwrap_or_default() {
            self.leaving(connection);
        }
    }

    /// A connection is gone: how each attempt and order on it ended.
    pub fn closed(&mut self, connection: Connection, never_stood: bool, unsent: &[u64]) -> Vec<Input> {
        let Some(carrier) = self.carriers.remove(&connection) else { return Vec::new() };
        if let Some(here) = self.by_worker.get_mut(&carrier.worker) {
            here.retain(|c| *c != connection);
            if here.is_empty() {
                self.by_worker.remove(&carrier.worker);
            }
        }
        let unsent: BTreeSet<u64> = unsent.iter().copied().collect();
        let mut ended = Vec::new();
        for attempt in carrier.attempts {
            self.places.remove(&attempt);
            ended.push(match unsent.contains(&attempt) {
                true => never_left(attempt, never_stood),
                false => Input::AttemptEnded(attempt, AttemptEnd::Broken, Vec::new(), None),
            });
        }
        for order in carrier.orders {
            self.places.remove(&order);
            let end = if never_stood { OrderEnd::NotConnected } else { OrderEnd::Broken };
            ended.push(Input::OrderEnded(order, end, 0));
        }
        ended
    }

    /// Closes connections on which nothing has been out for a while, and those given up once nothing is.
    pub fn close_idle(&mut self, hub: &mut Hub, idle: Micros) {
        let now = hub.clock().now();
        let over = |c: &Carrier| c.stands && c.load() == 0 && (c.leaving || c.is_stale(now, idle));
        let closing: Vec<_> = self.carriers.iter().filter(|(_, c)| over(c)).map(|(id, _)| *id).collect();
        closing.into_iter().for_each(|connection| hub.close(connection, "idle"));
    }

    /// Connections to workers.
    pub fn connections(&self) -> usize {
        self.carriers.len()
    }

    /// Attempts and orders that are out.
    pub fn out(&self) -> usize {
        self.places.len()
    }
}

fn never_left(attempt: u64, never_stood: bool) -> Input {
    let end = if never_stood { AttemptEnd::NotConnected } else { AttemptEnd::NotWritten };
    Input::AttemptEnded(attempt, end, Vec::new(), None)
}
