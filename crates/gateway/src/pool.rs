//! Connections to the workers: which one carries an attempt, what is out on each.
//!
//! The pool knows no calls. It opens a connection when those that stand are full, up to a bound, and tells for a
//! closed one how each attempt and order on it ended.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use cresswheel::WorkerId;
use cresswheel_engine::{AttemptEnd, Input, OrderEnd};
use cresswheel_protocol::{Message, Micros, Role};
use cresswheel_transport::{Connection, Hub, Wire};
use foldhash::HashMap;

/// One connection to a worker.
struct Carrier {
    worker: WorkerId,
    stands: bool,
    attempts: BTreeSet<u64>,
    orders: BTreeSet<u64>,
    idle_since: Micros,
    /// The worker said that it goes away: nothing new here.
    leaving: bool,
}

#[derive(Default)]
pub struct Pool {
    carriers: HashMap<Connection, Carrier>,
    by_worker: HashMap<WorkerId, Vec<Connection>>,
    /// Where each attempt and order is out.
    places: HashMap<u64, Connection>,
}

pub struct PoolLimits {
    pub connections: usize,
    pub streams: usize,
    pub connect_timeout: Micros,
}

impl Pool {
    /// Hands a frame to a connection to the worker; false: none is to be had.
    pub fn give(
        &mut self,
        hub: &mut Hub,
        limits: &PoolLimits,
        hello: impl FnOnce() -> Message,
        (worker, address): (&WorkerId, SocketAddr),
        (number, order): (u64, bool),
        message: &Message,
    ) -> bool {
        let now = hub.clock().now();
        if !self.by_worker.contains_key(worker) {
            self.by_worker.insert(worker.clone(), Vec::new());
        }
        let Some(here) = self.by_worker.get_mut(worker) else { return false };
        let load = |c: &Carrier| c.attempts.len() + c.orders.len();
        let usable = here.iter().copied().filter(|c| !self.carriers[c].leaving);
        let least = usable.min_by_key(|c| load(&self.carriers[c]));
        let room = here.len() < limits.connections;
        let connection = match least.filter(|c| load(&self.carriers[c]) < limits.streams) {
            Some(connection) => connection,
            None if !room => return false,
            None => {
                let connection = hub.connect(address, Wire::Frames, limits.connect_timeout);
                if !hub.is_open(connection) {
                    return false;
                }
                let carrier = Carrier {
                    worker: worker.clone(),
                    stands: false,
                    attempts: BTreeSet::new(),
                    orders: BTreeSet::new(),
                    idle_since: now,
                    leaving: false,
                };
                self.carriers.insert(connection, carrier);
                here.push(connection);
                hub.send(connection, &hello(), None);
                connection
            }
        };
        if !hub.send(connection, message, Some(number)) {
            return false;
        }
        if let Some(carrier) = self.carriers.get_mut(&connection) {
            let out = if order { &mut carrier.orders } else { &mut carrier.attempts };
            out.insert(number);
        }
        self.places.insert(number, connection);
        true
    }

    /// A frame without an answer, if a connection stands.
    pub fn tell(&mut self, hub: &mut Hub, worker: &WorkerId, message: &Message) {
        let stands = |c: &&Connection| self.carriers.get(c).is_some_and(|c| c.stands && !c.leaving);
        if let Some(connection) = self.by_worker.get(worker).and_then(|here| here.iter().find(stands)) {
            hub.send(*connection, message, None);
        }
    }

    /// Tells the worker that an attempt is called off, on the connection that carries it.
    pub fn call_off(&mut self, hub: &mut Hub, attempt: u64) {
        if let Some(connection) = self.done(hub, attempt) {
            hub.send(connection, &Message::CancelRun { attempt }, None);
        }
    }

    /// Takes an attempt back; true: no byte of it had left.
    pub fn withdraw(&mut self, hub: &mut Hub, attempt: u64) -> bool {
        let Some(connection) = self.places.get(&attempt).copied() else { return false };
        let taken = hub.withdraw(connection, attempt);
        if taken {
            self.done(hub, attempt);
        }
        taken
    }

    /// An attempt or order is no longer out; gives the connection that carried it.
    pub fn done(&mut self, hub: &Hub, number: u64) -> Option<Connection> {
        let connection = self.places.remove(&number)?;
        let carrier = self.carriers.get_mut(&connection)?;
        carrier.attempts.remove(&number);
        carrier.orders.remove(&number);
        carrier.idle_since = hub.clock().now();
        Some(connection)
    }

    pub fn worker(&self, connection: Connection) -> Option<WorkerId> {
        self.carriers.get(&connection).map(|carrier| carrier.worker.clone())
    }

    pub fn is_ours(&self, connection: Connection) -> bool {
        self.carriers.contains_key(&connection)
    }

    /// Whether the answer to this number is expected from this connection.
    pub fn carries(&self, connection: Connection, number: u64) -> bool {
        self.places.get(&number) == Some(&connection)
    }

    pub fn stands(&mut self, connection: Connection) {
        self.carriers.entry(connection).and_modify(|c| c.stands = true);
    }

    pub fn leaving(&mut self, connection: Connection) {
        self.carriers.entry(connection).and_modify(|c| c.leaving = true);
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
            let end = match unsent.contains(&attempt) {
                true if never_stood => AttemptEnd::NotConnected,
                true => AttemptEnd::NotWritten,
                false => AttemptEnd::Broken,
            };
            ended.push(Input::AttemptEnded(attempt, end, Vec::new(), None));
        }
        for order in carrier.orders {
            self.places.remove(&order);
            let end = if never_stood { OrderEnd::NotConnected } else { OrderEnd::Broken };
            ended.push(Input::OrderEnded(order, end, 0));
        }
        ended
    }

    /// Closes connections on which nothing has been out for a while.
    pub fn close_idle(&mut self, hub: &mut Hub, idle: Micros) {
        let now = hub.clock().now();
        let idle = |c: &Carrier| {
            c.stands && c.attempts.is_empty() && c.orders.is_empty() && c.idle_since + idle <= now
        };
        let closing: Vec<_> = self.carriers.iter().filter(|(_, c)| idle(c)).map(|(id, _)| *id).collect();
        closing.into_iter().for_each(|connection| hub.close(connection, "idle"));
    }

    pub fn connections(&self) -> usize {
        self.carriers.len()
    }
}

pub fn hello(name: &str, zone: &str) -> Message {
    Message::Hello { role: Role::Gateway, name: name.into(), zone: zone.into() }
}
