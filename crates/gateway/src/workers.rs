//! Connections to workers: sends attempts and orders, receives answers.
//!
//! The engine makes the decisions about workers. This module knows the address of each listed worker, and
//! whether a worker whose new connection could not be established has sent something on another connection
//! meanwhile.

use std::net::SocketAddr;

use cresswheel::WorkerId;
use cresswheel_carriers::{CarrierLimits, ConnectionPool, DispatchError, Payload};
use cresswheel_engine::{AttemptEnd, Input, OrderEnd};
use cresswheel_protocol::{Ending, ListedWorker, MemberState, Message, Micros, encode};
use cresswheel_transport::{Connection, EventLoop};
use foldhash::{HashMap, HashMapExt, HashSet};

/// When a connection was opened, and when something was last received on it.
#[derive(Clone, Copy, Debug)]
struct Activity {
    opened_at: Micros,
    last_received: Micros,
}

/// The listed workers and the connections to them.
pub struct Workers {
    pool: ConnectionPool,
    limits: CarrierLimits,
    /// The longest answer that can be passed on to clients.
    largest_body: usize,
    /// The first message on each connection.
    hello: Message,
    addresses: HashMap<WorkerId, SocketAddr>,
    activity: HashMap<Connection, Activity>,
}

impl Workers {
    pub fn new(limits: CarrierLimits, largest_body: usize, hello: Message) -> Self {
        let (pool, addresses, activity) = (ConnectionPool::default(), HashMap::new(), HashMap::new());
        Self { pool, limits, largest_body, hello, addresses, activity }
    }

    /// Sets limits and hello message for what is dispatched from now on.
    pub fn set_limits(&mut self, limits: CarrierLimits, largest_body: usize, hello: Message) {
        (self.limits, self.largest_body, self.hello) = (limits, largest_body, hello);
    }

    /// The number of connections to workers.
    pub fn connections(&self) -> usize {
        self.pool.connections()
    }

    /// Whether this is a connection to a worker.
    pub fn is_worker_connection(&self, connection: Connection) -> bool {
        self.pool.contains(connection)
    }

    /// Applies a whole list or its changes. Returns the unsent attempts and orders of workers that drain or
    /// were removed, which are canceled.
    pub fn apply_list(
        &mut self,
        event_loop: &mut EventLoop,
        whole: bool,
        listed: &[ListedWorker],
    ) -> Vec<Input> {
        let mut ended = Vec::new();
        if whole {
            let listed_ids: HashSet<&str> = listed.iter().map(|worker| worker.id.as_str()).collect();
            let removed: Vec<_> =
                self.addresses.keys().filter(|id| !listed_ids.contains(&*id.0)).cloned().collect();
            removed.iter().for_each(|id| ended.extend(self.remove(event_loop, id)));
        }
        for worker in listed {
            let id = WorkerId::from(worker.id.as_str());
            let Ok(address) = worker.address.parse::<SocketAddr>() else {
                tracing::warn!(worker = %id, address = %worker.address, "the list gives no usable address");
                ended.extend(self.remove(event_loop, &id));
                continue;
            };
            if worker.standing == MemberState::Removed {
                ended.extend(self.remove(event_loop, &id));
                continue;
            }
            let previous = self.addresses.insert(id.clone(), address);
            if worker.standing == MemberState::Draining {
                ended.extend(self.pool.withdraw_all(event_loop, &id));
            }
            if previous.is_some_and(|previous| previous != address) {
                ended.extend(self.pool.withdraw_all(event_loop, &id));
                self.pool.mark_all_leaving(&id);
            }
        }
        ended
    }

    fn remove(&mut self, event_loop: &mut EventLoop, id: &WorkerId) -> Vec<Input> {
        self.addresses.remove(id);
        let ended = self.pool.withdraw_all(event_loop, id);
        self.pool.mark_all_leaving(id);
        ended
    }

    /// Sends an attempt or an order on a connection to its worker.
    pub fn dispatch(
        &mut self,
        event_loop: &mut EventLoop,
        worker: &WorkerId,
        cargo: Payload,
        message: &Message,
    ) -> Result<(), DispatchError> {
        let address = self.addresses.get(worker).copied().ok_or(DispatchError::ConnectFailed)?;
        let now = event_loop.clock().now();
        let hello = &self.hello;
        let write_hello = |out: &mut Vec<u8>| encode(hello, out);
        let write_frame = |out: &mut Vec<u8>| encode(message, out);
        let target = (worker, address);
        let connection = self.pool.dispatch(
            event_loop,
            &self.limits,
            target,
            (cargo, write_frame),
            |_| true,
            write_hello,
        )?;
        self.activity.entry(connection).or_insert(Activity { opened_at: now, last_received: now });
        Ok(())
    }

    /// Sends a message that is neither an attempt nor an order, if a connection is established.
    pub fn send_if_connected(&mut self, event_loop: &mut EventLoop, worker: &WorkerId, message: &Message) {
        self.pool.send_control(event_loop, worker, |out| encode(message, out));
    }

    /// Cancels an attempt if no byte of it has been sent; returns whether it was canceled.
    pub fn cancel_unsent(&mut self, event_loop: &mut EventLoop, attempt: u64) -> bool {
        self.pool.cancel_if_unsent(event_loop, attempt)
    }

    /// Frees the place of an order that nothing waits for any more.
    pub fn abandon_order(&mut self, event_loop: &mut EventLoop, order: u64) {
        self.pool.abandon(event_loop, order);
    }

    /// Asks the worker to cancel an attempt.
    pub fn cancel_attempt(&mut self, event_loop: &mut EventLoop, attempt: u64) {
        let message = Message::CancelRun { attempt };
        self.pool.cancel(event_loop, attempt, |out| encode(&message, out));
    }

    /// Records that a connection was established.
    pub fn connected(&mut self, event_loop: &EventLoop, connection: Connection) {
        self.pool.mark_established(connection);
        self.record_received(event_loop, connection);
    }

    fn record_received(&mut self, event_loop: &EventLoop, connection: Connection) {
        let now = event_loop.clock().now();
        self.activity.entry(connection).and_modify(|activity| activity.last_received = now);
    }

    /// Handles a message of a worker; returns the engine's input for what it ends.
    pub fn receive(
        &mut self,
        event_loop: &EventLoop,
        connection: Connection,
        message: Message,
    ) -> Option<Input> {
        self.record_received(event_loop, connection);
        match message {
            Message::RanTooLong { attempt } => Some(self.answer_too_long(event_loop, connection, attempt)),
            Message::Ran { attempt, ending: Ending::Ok, body, .. } if body.len() > self.largest_body => {
                Some(self.answer_too_long(event_loop, connection, attempt))
            }
            Message::Ran { attempt, ending, crowd, mut body, origin } => {
                // What did not succeed ends as the worker says, at worst without its text.
                if body.len() > self.largest_body {
                    body = Vec::new();
                }
                let number = self.complete(event_loop, connection, attempt);
                Some(Input::AttemptEnded(number, AttemptEnd::Answered(ending, crowd), body, origin))
            }
            Message::Held { order, ending, standing } => {
                let number = self.complete(event_loop, connection, order);
                Some(Input::OrderEnded(number, OrderEnd::Answered(ending), standing))
            }
            Message::Probed { .. } => self.pool.worker(connection).map(Input::ProbeAnswered),
            Message::GoingAway { .. } => {
                self.pool.mark_leaving(connection);
                None
            }
            Message::Bye { reason } => {
                tracing::warn!(%reason, "worker reported a protocol violation");
                None
            }
            _ => None,
        }
    }

    fn answer_too_long(&mut self, event_loop: &EventLoop, connection: Connection, attempt: u64) -> Input {
        let number = self.complete(event_loop, connection, attempt);
        let worker = self.pool.worker(connection);
        tracing::warn!(worker = worker.map(tracing::field::display), "the answer of a worker is too long");
        Input::AttemptEnded(number, AttemptEnd::AnswerTooLong, Vec::new(), None)
    }

    /// Completes the attempt or order of an answer and returns its number; 0 if the answer came on a
    /// connection other than the one it was sent on.
    fn complete(&mut self, event_loop: &EventLoop, connection: Connection, number: u64) -> u64 {
        let number = if self.pool.carries(connection, number) { number } else { 0 };
        self.pool.complete(event_loop, number);
        number
    }

    /// Handles a closed connection; returns how each attempt and order on it ended. A connection that was
    /// never established is no evidence against a worker that sent something on another one meanwhile.
    pub fn on_closed(
        &mut self,
        connection: Connection,
        never_stood: bool,
        unsent: &[u64],
        why: &str,
    ) -> Vec<Input> {
        let opened = self.activity.remove(&connection).map(|activity| activity.opened_at);
        let received_since = opened.is_some_and(|opened| self.received_since(connection, opened));
        let ended = self.pool.remove_closed(connection, never_stood && !received_since, unsent);
        if !ended.is_empty() {
            tracing::info!(%why, never_stood, ended = ended.len(), "worker connection closed");
        }
        ended
    }

    /// Whether the worker of a connection has sent something on another one since then.
    fn received_since(&self, connection: Connection, since: Micros) -> bool {
        let worker = self.pool.worker(connection);
        let is_same = |other: &Connection| worker.is_some() && self.pool.worker(*other) == worker;
        self.activity.iter().any(|(other, activity)| activity.last_received > since && is_same(other))
    }

    /// Closes connections without an attempt or order in flight for the idle timeout.
    pub fn close_idle(&mut self, event_loop: &mut EventLoop) {
        self.pool.close_idle(event_loop, self.limits.idle);
    }
}
