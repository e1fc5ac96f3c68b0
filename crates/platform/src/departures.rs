//! What was handed to hosts' connections and has not left yet.
//!
//! Right before the hub writes, the engine is asked about each of these once more ([`Engine::may_leave`]), and what it
//! says is carried out: it stays where it is, it is taken off its connection and waits here, or it is taken back. A
//! frame that waited for long is made anew, so that the time it names is the time that is left. What left is told to
//! the engine, which checks it against the rules.

use std::collections::BTreeMap;

use cresswheel::{Micros, WorkerId};
use cresswheel_engine::{Attempt, AttemptEnd, Departure, Engine, Input, OrderEnd, WaitFor};
use cresswheel_transport::Hub;

use crate::hosts::{Hosts, Order};

/// A frame that waited for longer names more time than its client has left: it is made anew.
const FRAME_HOLDS: Micros = 50_000;
/// An attempt that waits for longer to be allowed is taken back: another host may do.
const ATTEMPT_WAITS: Micros = 500_000;
/// How often it is looked whether what waits here may leave.
const LOOK: Micros = 10_000;

/// What goes to a host.
#[derive(Clone, Debug)]
pub enum Work {
    /// An attempt.
    Attempt(Attempt),
    /// An order to load.
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

/// Where something waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// On its connection, since then.
    Connection(Micros),
    /// Here, since then.
    Parked(Micros),
}

#[derive(Debug)]
struct Pending {
    work: Work,
    place: Place,
}

/// Attempts and orders that have not left, by number.
#[derive(Debug, Default)]
pub struct Departures {
    pending: BTreeMap<u64, Pending>,
}

impl Departures {
    /// Something was handed to a connection.
    pub fn handed(&mut self, now: Micros, number: u64, work: Work) {
        self.pending.insert(number, Pending { work, place: Place::Connection(now) });
    }

    /// Forgets what waits here, and on no connection; true: it did.
    pub fn drop_parked(&mut self, number: u64) -> bool {
        let parked =
            self.pending.get(&number).is_some_and(|pending| matches!(pending.place, Place::Parked(_)));
        if parked {
            self.pending.remove(&number);
        }
        parked
    }

    /// When [`Departures::clear`] is wanted next, if nothing else happens.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        let parked = self.pending.values().any(|pending| matches!(pending.place, Place::Parked(_)));
        parked.then_some(now + LOOK)
    }

    /// The hub has written, and was done at that time: tells the engine what left, and forgets it.
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

    /// Asks the engine about all that has not left; gives what it takes back.
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

    /// It may leave: an attempt on its connection if its frame still holds, else by a new frame.
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
            // The ration counts orders by the time at which they are given: it is for the module to give it again.
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

    /// It may not leave yet: it waits here, and its host is asked if that is what it waits for.
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

    /// It may not leave at all.
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
