//! Attempts and orders that were queued for hosts and have not been sent yet.
//!
//! Right before the event loop writes, each of them is checked with the engine again ([`Engine::may_send`]): it
//! stays queued, is taken off its connection and parked here, or is canceled. A frame that was queued for
//! long is built anew, so that the time limit in it is the time that is left. Whatever was sent is reported
//! to the engine, which checks it against the rules.

use std::collections::BTreeMap;

use cresswheel::{Micros, WorkerId};
use cresswheel_engine::{Attempt, AttemptEnd, Engine, Input, MissingEvidence, OrderEnd, SendDecision};
use cresswheel_transport::{Connection, EventLoop};

use crate::hosts::{Hosts, Order};

/// An older frame grants more time than its client has left, and is built anew.
const MAX_FRAME_AGE: Micros = 50_000;
/// An attempt that was parked for longer is canceled: another host may do.
const MAX_PARKED: Micros = 500_000;
/// Interval at which parked items are checked.
const PARKED_POLL_INTERVAL: Micros = 10_000;

/// What is sent to a host.
#[derive(Clone, Debug)]
pub enum Item {
    /// An attempt.
    Attempt(Attempt),
    /// A prewarm order.
    Order(Order),
}

impl Item {
    fn worker(&self) -> &WorkerId {
        match self {
            Self::Attempt(attempt) => &attempt.worker,
            Self::Order(order) => &order.worker,
        }
    }
}

/// Where an item waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Location {
    /// Queued on its connection, since this time.
    Queued(Micros),
    /// Parked here, since this time.
    Parked(Micros),
}

#[derive(Debug)]
struct PendingItem {
    item: Item,
    location: Location,
}

/// Unsent attempts and orders, by number.
#[derive(Debug, Default)]
pub struct UnsentItems {
    pending: BTreeMap<u64, PendingItem>,
}

impl UnsentItems {
    /// Records that an item was queued on a connection.
    pub fn queued(&mut self, now: Micros, number: u64, item: Item) {
        self.pending.insert(number, PendingItem { item, location: Location::Queued(now) });
    }

    /// Forgets an item if it is parked here, on no connection; true if it was.
    pub fn forget_parked(&mut self, number: u64) -> bool {
        let parked =
            self.pending.get(&number).is_some_and(|pending| matches!(pending.location, Location::Parked(_)));
        if parked {
            self.pending.remove(&number);
        }
        parked
    }

    /// When [`UnsentItems::recheck`] should run next if nothing else happens.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        let parked = self.pending.values().any(|pending| matches!(pending.location, Location::Parked(_)));
        parked.then_some(now + PARKED_POLL_INTERVAL)
    }

    /// Reports to the engine what was sent by the hub's last write, which ended at that time, and forgets it.
    pub fn after_write(&mut self, at: Micros, hub: &EventLoop, hosts: &Hosts, engine: &mut Engine) {
        self.pending.retain(|number, pending| {
            if matches!(pending.location, Location::Parked(_)) || hosts.is_unsent(hub, *number) {
                return true;
            }
            let violated =
                hosts.has_sent_bytes(hub, *number).then(|| engine.record_sent(at, *number)).flatten();
            if let Some(rule) = violated {
                tracing::error!(number, worker = %pending.item.worker(), rule, "left against a rule");
            }
            false
        });
    }

    /// Checks all unsent items with the engine; returns the ends of those that are canceled. An attempt waits
    /// while its client may have canceled it by input that is not processed yet (`is_read`).
    pub fn recheck(
        &mut self,
        now: Micros,
        hub: &mut EventLoop,
        hosts: &mut Hosts,
        engine: &mut Engine,
        is_read: &dyn Fn(&EventLoop, Connection) -> bool,
    ) -> Vec<Input> {
        let numbers: Vec<u64> = self.pending.keys().copied().collect();
        let mut ended = Vec::new();
        for number in numbers {
            let departure = match engine.may_send(now, number) {
                SendDecision::Allow if has_unread_client(number, hub, engine, is_read) => {
                    SendDecision::Defer(MissingEvidence::ClientInput)
                }
                other => other,
            };
            let over = match departure {
                SendDecision::Allow => self.allow(now, number, hub, hosts, engine),
                SendDecision::Defer(what) => self.park(now, number, what, hub, hosts),
                SendDecision::Deny(_) => self.cancel(number, hub, hosts),
            };
            if departure != SendDecision::Allow && (over.is_some() || self.parked_at(number) == Some(now)) {
                tracing::debug!(number, ?departure, "kept back");
                engine.count_unsent(departure);
            }
            ended.extend(over);
        }
        ended
    }

    fn parked_at(&self, number: u64) -> Option<Micros> {
        match self.pending.get(&number)?.location {
            Location::Parked(since) => Some(since),
            Location::Queued(_) => None,
        }
    }

    /// The item may be sent: an attempt that is queued with a recent frame stays, else it gets a new frame.
    fn allow(
        &mut self,
        now: Micros,
        number: u64,
        hub: &mut EventLoop,
        hosts: &mut Hosts,
        engine: &Engine,
    ) -> Option<Input> {
        let pending = self.pending.get_mut(&number)?;
        let is_recent = |since: Micros| now.saturating_sub(since) <= MAX_FRAME_AGE;
        match (pending.location, &mut pending.item) {
            (Location::Queued(_), Item::Order(_)) => None,
            // The rate limit counts orders when they are issued, so the decision module must issue it again.
            (Location::Parked(_), Item::Order(_)) => {
                self.pending.remove(&number);
                Some(Input::OrderEnded(number, OrderEnd::CutOff, 0))
            }
            (Location::Queued(since), Item::Attempt(_))
                if is_recent(since) || !hosts.unqueue(hub, number) =>
            {
                None
            }
            (_, Item::Attempt(attempt)) => {
                (attempt.time_left, attempt.timeout) = engine.remaining_times(now, number)?;
                pending.location = Location::Queued(now);
                let ended = hosts.run(hub, attempt);
                if ended.is_some() {
                    self.pending.remove(&number);
                }
                ended
            }
        }
    }

    /// The item may not be sent yet: parks it, and probes its host if that is what it waits for.
    fn park(
        &mut self,
        now: Micros,
        number: u64,
        what: MissingEvidence,
        hub: &mut EventLoop,
        hosts: &mut Hosts,
    ) -> Option<Input> {
        let pending = self.pending.get_mut(&number)?;
        let since = match pending.location {
            Location::Parked(since) => since,
            Location::Queued(_) if hosts.unqueue(hub, number) => now,
            Location::Queued(_) => return None,
        };
        pending.location = Location::Parked(since);
        if what == MissingEvidence::WorkerReport {
            hosts.request_probe(hub, now, pending.item.worker());
        }
        match pending.item {
            Item::Attempt(_) if since.saturating_add(MAX_PARKED) <= now => self.cancel(number, hub, hosts),
            Item::Attempt(_) | Item::Order(_) => None,
        }
    }

    /// The item may not be sent at all: cancels it.
    fn cancel(&mut self, number: u64, hub: &mut EventLoop, hosts: &mut Hosts) -> Option<Input> {
        let pending = self.pending.remove(&number)?;
        let is_parked = matches!(pending.location, Location::Parked(_));
        if !is_parked && !hosts.unqueue(hub, number) {
            return None;
        }
        Some(match pending.item {
            Item::Attempt(_) => Input::AttemptEnded(number, AttemptEnd::TakenBack, Vec::new(), None),
            Item::Order(_) => Input::OrderEnded(number, OrderEnd::NotSent, 0),
        })
    }
}

/// Whether an attempt has clients, and none of them is one whose input is processed.
fn has_unread_client(
    number: u64,
    hub: &EventLoop,
    engine: &Engine,
    is_read: &dyn Fn(&EventLoop, Connection) -> bool,
) -> bool {
    let mut connections = engine.client_connections(number).peekable();
    connections.peek().is_some() && !connections.any(|connection| is_read(hub, connection))
}
