//! Connections to workers: attempts and orders out, answers in.
//!
//! What is decided about workers is the engine's. Here it is known where each listed worker is, and whether one whose
//! new connection does not come up was heard on another meanwhile.

use std::net::SocketAddr;

use cresswheel::WorkerId;
use cresswheel_carriers::{Cargo, CarrierLimits, Carriers};
use cresswheel_engine::{AttemptEnd, Input, OrderEnd};
use cresswheel_protocol::{Listed, Message, Micros, Standing, encode};
use cresswheel_transport::{Connection, Hub};
use foldhash::{HashMap, HashMapExt, HashSet};

/// When a connection was opened, and when something was heard on it last.
#[derive(Clone, Copy, Debug)]
struct Times {
    opened: Micros,
    heard: Micros,
}

/// All workers.
pub struct Workers {
    carriers: Carriers,
    limits: CarrierLimits,
    /// What a connection begins with.
    hello: Message,
    addresses: HashMap<WorkerId, SocketAddr>,
    times: HashMap<Connection, Times>,
}

impl Workers {
    pub fn new(limits: CarrierLimits, hello: Message) -> Self {
        let (carriers, addresses, times) = (Carriers::default(), HashMap::new(), HashMap::new());
        Self { carriers, limits, hello, addresses, times }
    }

    /// New bounds, for what is handed over from now on.
    pub fn change(&mut self, limits: CarrierLimits, hello: Message) {
        (self.limits, self.hello) = (limits, hello);
    }

    /// Connections to workers.
    pub fn connections(&self) -> usize {
        self.carriers.connections()
    }

    /// Whether it is a connection to a worker.
    pub fn is_ours(&self, connection: Connection) -> bool {
        self.carriers.is_ours(connection)
    }

    /// Takes the list over, all of it or changes. What had not left for workers that drain or are gone is taken back.
    pub fn take_list(&mut self, hub: &mut Hub, whole: bool, listed: &[Listed]) -> Vec<Input> {
        let mut ended = Vec::new();
        if whole {
            let named: HashSet<&str> = listed.iter().map(|worker| worker.id.as_str()).collect();
            let gone: Vec<_> = self.addresses.keys().filter(|id| !named.contains(&*id.0)).cloned().collect();
            gone.iter().for_each(|id| ended.extend(self.gone(hub, id)));
        }
        for worker in listed {
            let id = WorkerId::from(worker.id.as_str());
            let Ok(address) = worker.address.parse::<SocketAddr>() else {
                tracing::warn!(worker = %id, address = %worker.address, "the list gives no usable address");
                ended.extend(self.gone(hub, &id));
                continue;
            };
            if worker.standing == Standing::Out {
                ended.extend(self.gone(hub, &id));
                continue;
            }
            let before = self.addresses.insert(id.clone(), address);
            if worker.standing == Standing::Draining {
                ended.extend(self.carriers.withdraw_all(hub, &id));
            }
            if before.is_some_and(|before| before != address) {
                ended.extend(self.carriers.withdraw_all(hub, &id));
                self.carriers.all_leaving(&id);
            }
        }
        ended
    }

    fn gone(&mut self, hub: &mut Hub, id: &WorkerId) -> Vec<Input> {
        self.addresses.remove(id);
        let ended = self.carriers.withdraw_all(hub, id);
        self.carriers.all_leaving(id);
        ended
    }

    /// Hands an attempt or an order to a connection to its worker; false: none is to be had.
    pub fn hand(&mut self, hub: &mut Hub, worker: &WorkerId, cargo: Cargo, message: &Message) -> bool {
        let Some(address) = self.addresses.get(worker).copied() else { return false };
        let now = hub.clock().now();
        let hello = &self.hello;
        let begin = |out: &mut Vec<u8>| encode(hello, out);
        let frame = |out: &mut Vec<u8>| encode(message, out);
        let to = (worker, address);
        let given = self.carriers.give(hub, &self.limits, to, (cargo, frame), |_| true, begin);
        let Some(connection) = given else { return false };
        self.times.entry(connection).or_insert(Times { opened: now, heard: now });
        true
    }

    /// Tells a worker something that is no attempt or order, if a connection stands.
    pub fn tell(&mut self, hub: &mut Hub, worker: &WorkerId, message: &Message) {
        self.carriers.tell(hub, worker, |out| encode(message, out));
    }

    /// Takes an attempt back if no byte of it has left; true: that was so.
    pub fn withdraw(&mut self, hub: &mut Hub, attempt: u64) -> bool {
        self.carriers.withdraw(hub, attempt)
    }

    /// Tells the worker that an attempt is called off.
    pub fn call_off(&mut self, hub: &mut Hub, attempt: u64) {
        let message = Message::CancelRun { attempt };
        self.carriers.call_off(hub, attempt, |out| encode(&message, out));
    }

    /// A connection stands.
    pub fn stands(&mut self, hub: &Hub, connection: Connection) {
        self.carriers.stands(connection);
        self.heard(hub, connection);
    }

    fn heard(&mut self, hub: &Hub, connection: Connection) {
        let now = hub.clock().now();
        self.times.entry(connection).and_modify(|times| times.heard = now);
    }

    /// A message came from a worker: what it ends.
    pub fn message(&mut self, hub: &Hub, connection: Connection, message: Message) -> Option<Input> {
        self.heard(hub, connection);
        match message {
            Message::Ran { attempt, ending, crowd, body, origin } => {
                let number = self.answered(hub, connection, attempt);
                Some(Input::AttemptEnded(number, AttemptEnd::Answered(ending, crowd), body, origin))
            }
            Message::Held { order, ending, standing } => {
                let number = self.answered(hub, connection, order);
                Some(Input::OrderEnded(number, OrderEnd::Answered(ending), standing))
            }
            Message::Probed { .. } => self.carriers.worker(connection).map(Input::Probed),
            Message::GoingAway { .. } => {
                self.carriers.leaving(connection);
                None
            }
            Message::Bye { reason } => {
                tracing::warn!(%reason, "a worker refuses");
                None
            }
            _ => None,
        }
    }

    /// What an answer answers. On another connection than the attempt's it is an answer to nothing.
    fn answered(&mut self, hub: &Hub, connection: Connection, number: u64) -> u64 {
        let number = if self.carriers.carries(connection, number) { number } else { 0 };
        self.carriers.done(hub, number);
        number
    }

    /// A connection is gone: how each attempt and order on it ended. One that never stood tells nothing of a worker
    /// that was heard on another meanwhile.
    pub fn closed(
        &mut self,
        connection: Connection,
        never_stood: bool,
        unsent: &[u64],
        why: &str,
    ) -> Vec<Input> {
        let opened = self.times.remove(&connection).map(|times| times.opened);
        let was_heard = opened.is_some_and(|opened| self.was_heard(connection, opened));
        let ended = self.carriers.closed(connection, never_stood && !was_heard, unsent);
        if !ended.is_empty() {
            tracing::info!(%why, never_stood, ended = ended.len(), "a worker connection ended");
        }
        ended
    }

    /// Whether the worker of a connection said something on another one since then.
    fn was_heard(&self, connection: Connection, since: Micros) -> bool {
        let worker = self.carriers.worker(connection);
        let is_same = |other: &Connection| worker.is_some() && self.carriers.worker(*other) == worker;
        self.times.iter().any(|(other, times)| times.heard > since && is_same(other))
    }

    /// Closes connections on which nothing has been out for a while.
    pub fn close_idle(&mut self, hub: &mut Hub) {
        self.carriers.close_idle(hub, self.limits.idle);
    }
}
