//! Attempts and orders that were queued for hosts and have not been sent yet.
//!
//! Right before the hub writes, each of them is checked with the engine again ([`Engine::may_leave`]): it
//! stays queued, is taken off its connection and parked here, or is canceled. A frame that was queued for
//! long is built anew, so that the time limit in it is the time that is left. Whatever was sent is reported
//! to the engine, which checks it against the rules.

use std::collections::BTreeMap;

use cresswheel::{Micros, WorkerId};
use cresswheel_engine::{Attempt, AttemptEnd, Departure, Engine, Input, OrderEnd, WaitFor};
use cresswheel_transport::Hub;

use crate::hosts::{Hosts, Order};

/// An older frame grants more time than its client has left, and is built anew.
const FRAME_HOLDS: Micros = 50_000;
/// An attempt that was parked for longer is canceled: another host may do.
const ATTEMPT_WAITS: Micros = 500_000;
/// Interval at which parked items are checked.
const LOOK: Micros = 10_000;

/// What is sent to a host.
#[derive(Clone, Debug)]
pub enum Work {
    /// An attempt.
    Attempt(Attempt),
    /// A prewarm order.
    Order(Order),
}

impl Work {
    fn worker(&self) -> &WorkerId {
        match self {
            Self::Attempt(attempt) => &attempt.worker,
            Self::Order(order) => &order.worker,
        }
    }
}

/// Where an item waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// Queued on its connection, since this time.
    Connection(Micros),
    /// Parked here, since this time.
    Parked(Micros),
}

#[derive(Debug)]
struct Pending {
    work: Work,
    place: Place,
}

/// Unsent attempts and orders, by number.
#[derive(Debug, Default)]
pub struct Departures {
    pending: BTreeMap<u64, Pending>,
}

impl Departures {
    /// Records that an item was queued on a connection.
    pub fn handed(&mut self, now: Micros, number: u64, work: Work) {
        self.pending.insert(number, Pending { work, place: Place::Connection(now) });
    }

    /// Forgets an item if it is parked here, on no connection; true if it was.
    pub fn drop_parked(&mut self, number: u64) -> bool {
        let parked =
            self.pending.get(&number).is_some_and(|pending| matches!(pending.place, Place::Parked(_)));
        if parked {
            self.pending.remove(&number);
        }
        parked
    }

    /// When [`Departures::clear`] should run next if nothing else happens.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        let parked = self.pending.values().any(|pending| matches!(pending.place, Place::Parked(_)));
        parked.then_some(now + LOOK)
    }

    /// Reports to the engine what was sent by the hub's last write, which ended at that time, and forgets it.
    pub fn wrote(&mut self, at: Micros, hub: &Hub, hosts: &Hosts, engine: &mut Engine) {
        self.pending.retain(|number, pending| {
            if matches!(pending.place, Place::Parked(_)) || hosts.is_waiting(hub, *number) {
                return true;
            }
            let broken = hosts.has_left(hub, *number).then(|| engine.departed(at, *number)).flatten();
            if let Some(rule) = broken {
                tracing::error!(number, worker = %pending.work.worker(), rule, "left against a rule");
            }
            false
        });
    }

    /// Checks all unsent items with the engine; returns the ends of those that are canceled.
    pub fn clear(
        &mut self,
        now: Micros,
        hub: &mut Hub,
        hosts: &mut Hosts,
        engine: &mut Engine,
    ) -> Vec<Input> {
        let numbers: Vec<u64> = self.pending.keys().copied().collect();
        let mut ended = Vec::new();
        for number in numbers {
            let departure = engine.may_leave(now, number);
            let over = match departure {
                Departure::Now => self.release(now, number, hub, hosts, engine),
                Departure::Wait(what) => self.keep(now, number, what, hub, hosts),
                Departure::Never(_) => self.take_back(number, hub, hosts),
            };
            if departure != Departure::Now && (over.is_some() || self.parked_at(number) == Some(now)) {
                engine.kept_back(departure);
            }
            ended.extend(over);
        }
        ended
    }

    fn parked_at(&self, number: u64) -> Option<Micros> {
        match self.pending.get(&number)?.place {
            Place::Parked(since) => Some(since),
            Place::Connection(_) => None,
        }
    }

    /// The item may be sent: an attempt that is queued with a recent frame stays, else it gets a new frame.
    fn release(
        &mut self,
        now: Micros,
        number: u64,
        hub: &mut Hub,
        hosts: &mut Hosts,
        engine: &Engine,
    ) -> Option<Input> {
        let pending = self.pending.get_mut(&number)?;
        let is_new = |since: Micros| now.saturating_sub(since) <= FRAME_HOLDS;
        match (pending.place, &mut pending.work) {
            (Place::Connection(_), Work::Order(_)) => None,
            // The rate limit counts orders when they are issued, so the decision module must issue it again.
            (Place::Parked(_), Work::Order(_)) => {
                self.pending.remove(&number);
                Some(Input::OrderEnded(number, OrderEnd::CutOff, 0))
            }
            (Place::Connection(since), Work::Attempt(_)) if is_new(since) || !hosts.take_off(hub, number) => {
                None
            }
            (_, Work::Attempt(attempt)) => {
                (attempt.time_left, attempt.timeout) = engine.times_left(now, number)?;
                pending.place = Place::Connection(now);
                let ended = hosts.run(hub, attempt);
                if ended.is_some() {
                    self.pending.remove(&number);
                }
                ended
            }
        }
    }

    /// The item may not be sent yet: parks it, and probes its host if that is what it waits for.
    fn keep(
        &mut self,
        now: Micros,
        number: u64,
        what: WaitFor,
        hub: &mut Hub,
        hosts: &mut Hosts,
    ) -> Option<Input> {
        let pending = self.pending.get_mut(&number)?;
        let since = match pending.place {
            Place::Parked(since) => since,
            Place::Connection(_) if hosts.take_off(hub, number) => now,
            Place::Connection(_) => return None,
        };
        pending.place = Place::Parked(since);
        if what == WaitFor::Worker {
            hosts.ask(hub, now, pending.work.worker());
        }
        match pending.work {
            Work::Attempt(_) if since.saturating_add(ATTEMPT_WAITS) <= now => {
                self.take_back(number, hub, hosts)
            }
            Work::Attempt(_) | Work::Order(_) => None,
        }
    }

    /// The item may not be sent at all: cancels it.
    fn take_back(&mut self, number: u64, hub: &mut Hub, hosts: &mut Hosts) -> Option<Input> {
        let pending = self.pending.remove(&number)?;
        let here = matches!(pending.place, Place::Parked(_));
        if !here && !hosts.take_off(hub, number) {
            return None;
        }
        Some(match pending.work {
            Work::Attempt(_) => Input::AttemptEnded(number, AttemptEnd::TakenBack, Vec::new(), None),
            Work::Order(_) => Input::OrderEnded(number, OrderEnd::NotConnected, 0),
        })
    }
}
