//! Connection pool to the workers: chooses the connection for each attempt and order, and tracks what is in
//! flight on each connection.
//!
//! The pool knows nothing of calls or of the protocol: the I/O loop that uses it names the wire format and
//! writes its own frames. When all connections to a worker are full, another one is opened, up to a limit.
//! When a connection closes, the pool reports how each attempt and order on it ended. Both I/O loops use this
//! pool, so that they determine in the same way which attempts certainly never ran.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use cresswheel::WorkerId;
use cresswheel_engine::{AttemptEnd, Input, OrderEnd};
use cresswheel_protocol::Micros;
use cresswheel_transport::{Connection, EventLoop, Sent, Wire};
use foldhash::HashMap;

/// A pooled connection to a worker.
struct PooledConnection {
    worker: WorkerId,
    established: bool,
    attempts: BTreeSet<u64>,
    orders: BTreeSet<u64>,
    /// When an attempt last began or ended here. Orders and probes don't count, since workers don't count
    /// them either.
    idle_since: Micros,
    /// Takes nothing new: the worker announced that it goes away, or the I/O loop retired the connection.
    leaving: bool,
}

impl PooledConnection {
    fn in_flight(&self) -> usize {
        self.attempts.len() + self.orders.len()
    }

    /// Whether one more is within the limit on attempts, or the same limit on orders.
    fn has_room(&self, payload: Payload, streams: usize) -> bool {
        match payload {
            Payload::Attempt(_) => self.attempts.len() < streams,
            Payload::Order(_) => self.orders.len() < streams,
        }
    }

    /// Whether no attempt has been in flight for so long that the worker may be closing the connection: an
    /// attempt sent now could cross the close.
    fn is_stale(&self, now: Micros, idle: Micros) -> bool {
        self.established && self.attempts.is_empty() && self.idle_since.saturating_add(idle) <= now
    }
}

/// All connections to workers.
#[derive(Default)]
pub struct ConnectionPool {
    connections: HashMap<Connection, PooledConnection>,
    by_worker: HashMap<WorkerId, Vec<Connection>>,
    /// The connection that carries each attempt and order in flight.
    assignments: HashMap<u64, Connection>,
}

/// Limits of the connection pool.
#[derive(Clone, Copy, Debug)]
pub struct CarrierLimits {
    /// Wire format of the connections.
    pub wire: Wire,
    /// Connections to one worker.
    pub connections: usize,
    /// Attempts in flight on one connection, and apart from these as many orders: orders wait for loads, and
    /// must not keep attempts from the functions that are loaded.
    pub streams: usize,
    /// Below the limit on connections, another one is opened once each existing one has this many attempts in
    /// flight.
    pub spread: usize,
    /// A connection that is not established within this time is given up.
    pub connect_timeout: Micros,
    /// After this time without an attempt, a connection takes no further attempts, and is closed once nothing
    /// is in flight on it.
    pub idle: Micros,
}

/// Why nothing was sent to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DispatchError {
    /// All connections to the worker are full, and the limits allow no further one.
    #[error("no connection has room")]
    NoRoom,
    /// A new connection failed at once.
    #[error("a new connection failed")]
    ConnectFailed,
}

/// What is sent on a connection, by its number.
#[derive(Clone, Copy, Debug)]
pub enum Payload {
    /// An attempt.
    Attempt(u64),
    /// A prewarm order.
    Order(u64),
}

impl ConnectionPool {
    /// Writes a frame to a connection to the worker and returns the connection. `begin` writes the preamble of
    /// a new connection; `usable` may exclude connections.
    pub fn dispatch(
        &mut self,
        hub: &mut EventLoop,
        limits: &CarrierLimits,
        (worker, address): (&WorkerId, SocketAddr),
        (cargo, frame): (Payload, impl FnOnce(&mut Vec<u8>)),
        usable: impl Fn(Connection) -> bool,
        begin: impl FnOnce(&mut Vec<u8>),
    ) -> Result<Connection, DispatchError> {
        let now = hub.clock().now();
        let to_worker = self.by_worker.get(worker).map_or(&[][..], Vec::as_slice);
        let stale = |c: &Connection| {
            matches!(cargo, Payload::Attempt(_)) && self.connections[c].is_stale(now, limits.idle)
        };
        let available = |c: &Connection| {
            !self.connections[c].leaving && self.connections[c].has_room(cargo, limits.streams) && !stale(c)
        };
        let mut candidates = to_worker.iter().copied().filter(|c| available(c) && usable(*c));
        // Orders delay nobody while they wait. They go to the connection established first, which most
        // attempts use as well: a worker may close a connection without recent attempts, even if orders wait
        // there.
        let attempts = |c: Connection| self.connections[&c].attempts.len();
        let candidate = match cargo {
            Payload::Attempt(_) => candidates.min_by_key(|c| attempts(*c)),
            Payload::Order(_) => candidates.next(),
        };
        let below_limit = to_worker.iter().filter(|c| !stale(c)).count() < limits.connections;
        let may_share = !below_limit || matches!(cargo, Payload::Order(_));
        let connection = match candidate.filter(|c| may_share || attempts(*c) < limits.spread) {
            Some(connection) => connection,
            None if !below_limit => return Err(DispatchError::NoRoom),
            None => self.open(hub, limits, (worker, address), begin).ok_or(DispatchError::ConnectFailed)?,
        };
        let (Payload::Attempt(number) | Payload::Order(number)) = cargo;
        if !hub.write(connection, Some(number), frame) {
            return Err(DispatchError::NoRoom);
        }
        if let Some(pooled) = self.connections.get_mut(&connection) {
            match cargo {
                Payload::Attempt(_) => pooled.attempts.insert(number),
                Payload::Order(_) => pooled.orders.insert(number),
            };
        }
        self.assignments.insert(number, connection);
        Ok(connection)
    }

    /// Opens a connection without sending anything on it if there is no usable one to the worker and the
    /// limit allows it; returns the new connection.
    pub fn connect(
        &mut self,
        hub: &mut EventLoop,
        limits: &CarrierLimits,
        to: (&WorkerId, SocketAddr),
        begin: impl FnOnce(&mut Vec<u8>),
    ) -> Option<Connection> {
        let to_worker = self.by_worker.get(to.0).into_iter().flatten();
        let usable = to_worker.filter(|connection| !self.connections[connection].leaving).count();
        if usable > 0 || limits.connections == 0 {
            return None;
        }
        self.open(hub, limits, to, begin)
    }

    fn open(
        &mut self,
        hub: &mut EventLoop,
        limits: &CarrierLimits,
        (worker, address): (&WorkerId, SocketAddr),
        begin: impl FnOnce(&mut Vec<u8>),
    ) -> Option<Connection> {
        let connection = hub.connect(address, limits.wire, limits.connect_timeout);
        if !hub.is_open(connection) {
            return None;
        }
        let pooled = PooledConnection {
            worker: worker.clone(),
            established: false,
            attempts: BTreeSet::new(),
            orders: BTreeSet::new(),
            idle_since: hub.clock().now(),
            leaving: false,
        };
        self.connections.insert(connection, pooled);
        self.by_worker.entry(worker.clone()).or_default().push(connection);
        hub.write(connection, None, begin);
        Some(connection)
    }

    /// Sends a frame that is neither attempt nor order if there is an established connection; returns that
    /// connection.
    pub fn send_control(
        &mut self,
        hub: &mut EventLoop,
        worker: &WorkerId,
        frame: impl FnOnce(&mut Vec<u8>),
    ) -> Option<Connection> {
        let established =
            |c: &&Connection| self.connections.get(c).is_some_and(|c| c.established && !c.leaving);
        let connection = *self.by_worker.get(worker)?.iter().find(established)?;
        hub.write(connection, None, frame).then_some(connection)
    }

    /// Sends the worker a cancellation on the connection that carries the attempt; returns that connection.
    pub fn cancel(
        &mut self,
        hub: &mut EventLoop,
        attempt: u64,
        frame: impl FnOnce(&mut Vec<u8>),
    ) -> Option<Connection> {
        let connection = self.complete(hub, attempt)?;
        hub.write(connection, None, frame);
        Some(connection)
    }

    /// Withdraws an attempt or order if no byte of it was sent; returns whether it did.
    pub fn cancel_if_unsent(&mut self, hub: &mut EventLoop, number: u64) -> bool {
        let Some(connection) = self.assignments.get(&number).copied() else { return false };
        let withdrawn = hub.cancel_unsent(connection, number);
        if withdrawn {
            self.complete(hub, number);
        }
        withdrawn
    }

    /// Frees the place of an attempt or order that nothing waits for any more, and withdraws it if no byte of it
    /// was sent.
    pub fn abandon(&mut self, hub: &mut EventLoop, number: u64) {
        if !self.cancel_if_unsent(hub, number) {
            self.complete(hub, number);
        }
    }

    /// Withdraws all attempts and orders for a worker of which no byte was sent, and returns how they ended.
    pub fn withdraw_all(&mut self, hub: &mut EventLoop, worker: &WorkerId) -> Vec<Input> {
        let to_worker = self.by_worker.get(worker).cloned().unwrap_or_default();
        let mut ended = Vec::new();
        for pooled in to_worker.iter().filter_map(|connection| self.connections.get(connection)) {
            ended.extend(pooled.attempts.iter().copied().map(Payload::Attempt));
            ended.extend(pooled.orders.iter().copied().map(Payload::Order));
        }
        ended.retain(|(Payload::Attempt(number) | Payload::Order(number))| {
            self.cancel_if_unsent(hub, *number)
        });
        let input = |cargo| match cargo {
            Payload::Attempt(number) => Input::AttemptEnded(number, AttemptEnd::TakenBack, Vec::new(), None),
            Payload::Order(number) => Input::OrderEnded(number, OrderEnd::NotSent, 0),
        };
        ended.into_iter().map(input).collect()
    }

    /// Removes an attempt or order that is no longer in flight; returns the connection that carried it.
    pub fn complete(&mut self, hub: &EventLoop, number: u64) -> Option<Connection> {
        let connection = self.assignments.remove(&number)?;
        let pooled = self.connections.get_mut(&connection)?;
        if pooled.attempts.remove(&number) {
            pooled.idle_since = hub.clock().now();
        }
        pooled.orders.remove(&number);
        Some(connection)
    }

    /// Whether an attempt or order is queued here and no byte of it was sent.
    pub fn is_unsent(&self, hub: &EventLoop, number: u64) -> bool {
        let connection = self.assignments.get(&number);
        connection.is_some_and(|connection| hub.sent(*connection, number) == Sent::Nothing)
    }

    /// The worker at the other end of a connection.
    pub fn worker(&self, connection: Connection) -> Option<WorkerId> {
        self.connections.get(&connection).map(|pooled| pooled.worker.clone())
    }

    /// Whether another connection to the same worker is established.
    pub fn has_other_connection(&self, connection: Connection) -> bool {
        let worker = self.connections.get(&connection).map(|pooled| &pooled.worker);
        let to_worker = worker.and_then(|worker| self.by_worker.get(worker));
        to_worker.into_iter().flatten().any(|c| *c != connection && self.connections[c].established)
    }

    /// Whether this is a connection to a worker.
    pub fn contains(&self, connection: Connection) -> bool {
        self.connections.contains_key(&connection)
    }

    /// Whether the answer to this number is expected on this connection.
    pub fn carries(&self, connection: Connection, number: u64) -> bool {
        self.assignments.get(&number) == Some(&connection)
    }

    /// Marks a connection as established.
    pub fn mark_established(&mut self, connection: Connection) {
        self.connections.entry(connection).and_modify(|c| c.established = true);
    }

    /// Marks a connection as leaving: it takes nothing new.
    pub fn mark_leaving(&mut self, connection: Connection) {
        self.connections.entry(connection).and_modify(|c| c.leaving = true);
    }

    /// Marks all connections to a worker as leaving, established or not.
    pub fn mark_all_leaving(&mut self, worker: &WorkerId) {
        for connection in self.by_worker.get(worker).cloned().unwrap_or_default() {
            self.mark_leaving(connection);
        }
    }

    /// Removes a closed connection and returns how each attempt and order on it ended.
    pub fn remove_closed(
        &mut self,
        connection: Connection,
        never_established: bool,
        unsent: &[u64],
    ) -> Vec<Input> {
        let Some(pooled) = self.connections.remove(&connection) else { return Vec::new() };
        if let Some(to_worker) = self.by_worker.get_mut(&pooled.worker) {
            to_worker.retain(|c| *c != connection);
            if to_worker.is_empty() {
                self.by_worker.remove(&pooled.worker);
            }
        }
        let unsent: BTreeSet<u64> = unsent.iter().copied().collect();
        let mut ended = Vec::new();
        for attempt in pooled.attempts {
            self.assignments.remove(&attempt);
            ended.push(match unsent.contains(&attempt) {
                true => unsent_attempt_ended(attempt, never_established),
                false => Input::AttemptEnded(attempt, AttemptEnd::Broken, Vec::new(), None),
            });
        }
        for order in pooled.orders {
            self.assignments.remove(&order);
            let end = if never_established { OrderEnd::NotConnected } else { OrderEnd::Broken };
            ended.push(Input::OrderEnded(order, end, 0));
        }
        ended
    }

    /// Closes idle connections, and leaving ones with nothing in flight.
    pub fn close_idle(&mut self, hub: &mut EventLoop, idle: Micros) {
        let now = hub.clock().now();
        let closable = |c: &PooledConnection| {
            c.established && c.in_flight() == 0 && (c.leaving || c.is_stale(now, idle))
        };
        let closing: Vec<_> =
            self.connections.iter().filter(|(_, c)| closable(c)).map(|(id, _)| *id).collect();
        closing.into_iter().for_each(|connection| hub.close(connection, "idle"));
    }

    /// Number of connections to workers.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Number of attempts and orders in flight.
    pub fn in_flight(&self) -> usize {
        self.assignments.len()
    }
}

fn unsent_attempt_ended(attempt: u64, never_established: bool) -> Input {
    let end = if never_established { AttemptEnd::NotConnected } else { AttemptEnd::NotWritten };
    Input::AttemptEnded(attempt, end, Vec::new(), None)
}
