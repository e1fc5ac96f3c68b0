//! The door: which connections may stay.
//!
//! Each connection is in one of a few states, and each state is a queue of [`Spans`] with a time of its own. Nothing
//! is kept for an idle connection but its place in the queue and 16 bytes.
//!
//! Invariants: never more connections than `connections`; a connection with an open call is never closed to make
//! room, for being idle or by a ping; at most `pings_per_s` pings leave in any second, beyond one batch of a quarter of that.

use std::net::IpAddr;

use cresswheel_protocol::Micros;
use foldhash::{HashMap, HashMapExt};
use serde::{Deserialize, Serialize};

use crate::{Pace, Spans};

/// Bounds of the door. Times are microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DoorLimits {
    /// Connections at once.
    pub connections: usize,
    /// Connections taken a second, and at once after a quiet time.
    pub accepts_per_s: u64,
    /// When all places are taken, a connection that has been idle for so long gives way to a new one.
    pub evict_after: Micros,
    /// A connection to which nothing was answered yet, and which waits for nothing, is closed after this; 0: as an
    /// idle one. It gives way first.
    pub unasked: Micros,
    /// Idle connections are closed after this: those of HTTP, and of the main protocol if there are no pings.
    pub idle: Micros,
    /// A message must be whole this long after its first byte, however its bytes come.
    pub half: Micros,
    /// A message that is not whole, and of which nothing came for so long, is given up earlier; 0: it is not.
    pub half_silent: Micros,
    /// Connections whose message has not been whole for longer than `evict_after`, at most. Beyond that the one of
    /// them that has been silent the longest gives way, unless it has an open call.
    pub half_connections: usize,
    /// Bytes of messages not whole yet, over all connections.
    pub half_bytes: usize,
    /// A client that does not read its answers may do so for this long.
    pub stall: Micros,
    /// An idle connection of the main protocol is pinged after this.
    pub ping_after: Micros,
    /// It is closed if it says nothing for this long after the ping, or stays idle after it was asked to leave.
    pub ping_wait: Micros,
    /// Pings a second; 0: none.
    pub pings_per_s: u64,
    /// When many are to leave, they are asked one by one over this time.
    pub leave_over: Micros,
}

impl Default for DoorLimits {
    fn default() -> Self {
        const S: Micros = 1_000_000;
        Self {
            connections: 10_000,
            accepts_per_s: 20_000,
            evict_after: 10 * S,
            unasked: 0,
            idle: 300 * S,
            half: 10 * S,
            half_silent: 0,
            half_connections: usize::MAX,
            half_bytes: 256 << 20,
            stall: 30 * S,
            ping_after: 600 * S,
            ping_wait: 30 * S,
            pings_per_s: 500,
            leave_over: 2 * S,
        }
    }
}

/// What a connection showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// Bytes came; so many are held of a message that is not whole.
    Heard(usize),
    /// It does not read: too much waits to be written.
    Stalled,
    /// It reads again.
    Reads,
}

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It may stay.
    Welcome,
    /// It may stay; this one gives way to it.
    Instead(usize),
    /// It is closed at once, for this reason.
    Away(&'static str),
}

/// What is to be done about a connection that was not heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// Close it, for this reason.
    Close(usize, &'static str),
    /// Ping it.
    Ping(usize),
    /// Ask it to leave: a word on the main protocol, an end after the last answer on HTTP.
    AskToLeave(usize),
}

/// What the door counted since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DoorCounts {
    /// Connections there now.
    pub connections: usize,
    /// Those among them without an open call.
    pub idle: usize,
    /// Those with a message that is not whole.
    pub half: usize,
    /// Those that do not read.
    pub stalled: usize,
    /// Connections that came.
    pub arrived: u64,
    /// Pings sent.
    pub pings: u64,
    /// Connections asked to leave.
    pub asked: u64,
    /// Some are still to be asked.
    pub asking: bool,
    /// Calls refused since their connection had too many open.
    pub refused: u64,
    /// Connections closed or turned away, by reason.
    pub closed: Vec<(String, u64)>,
}

// The queues. The first four hold connections without an open call.
const FRAMED: usize = 0;
const HTTP: usize = 1;
const PINGED: usize = 2;
const ASKED: usize = 3;
const HALF: usize = 4;
const STALLED: usize = 5;
/// Nothing was answered to it yet.
const NEW: usize = 6;
const QUEUES: usize = 7;
/// The one queue of those whose message is not whole, by their last bytes.
const SILENT: usize = 0;

/// When all places are taken, whether that is still so is looked at again after this.
const LOOK_AGAIN: Micros = 1_000_000;
/// So many a second may leave together without harm to whoever takes them.
const FEW: u64 = 100;
/// In the order in which they are looked through for one that gives way.
const IDLE: [usize; 5] = [ASKED, NEW, PINGED, FRAMED, HTTP];

/// Tenants that shares are kept for; what comes after shares one.
const MOST_TENANTS: usize = 1_024;
/// When one has to give way, so many of the longest idle are looked at for one whose address or tenant has
/// more than its share.
const LOOK_AT: usize = 64;

/// Groups are addresses or tenants; each counts its connections.
#[derive(Clone, Debug, Default)]
struct Groups<K> {
    by_key: HashMap<K, u32>,
    counts: Vec<(Option<K>, u32)>,
    free: Vec<u32>,
}

impl<K: Clone + Eq + std::hash::Hash> Groups<K> {
    fn join(&mut self, key: &K) -> u32 {
        let group = match self.by_key.get(key) {
            Some(group) => *group,
            None => {
                let group = self.free.pop().unwrap_or(self.counts.len() as u32);
                if group as usize == self.counts.len() {
                    self.counts.push((None, 0));
                }
                self.counts[group as usize] = (Some(key.clone()), 0);
                self.by_key.insert(key.clone(), group);
                group
            }
        };
        self.counts[group as usize].1 += 1;
        group
    }

    fn leave(&mut self, group: u32) {
        let (key, count) = &mut self.counts[group as usize];
        *count -= 1;
        if *count == 0 {
            key.take().into_iter().for_each(|key| _ = self.by_key.remove(&key));
            self.free.push(group);
        }
    }

    fn count(&self, group: u32) -> usize {
        self.counts[group as usize].1 as usize
    }

    /// Whether a group holds so much that others may take from it when all places are taken: over twice an equal
    /// part, with so many groups besides those that are here.
    fn is_greedy(&self, group: u32, places: usize, more: usize) -> bool {
        let part = places / (self.by_key.len() + more).max(1);
        self.count(group) > 2 * part.max(1)
    }
}

#[derive(Clone, Copy, Debug)]
struct Guest {
    address: u32,
    /// `u32::MAX`: it has asked for nothing yet.
    tenant: u32,
    /// Calls and awaits without their answer.
    open: u32,
    /// Bytes of a message that is not whole. It saturates at the largest.
    held: u32,
    here: bool,
    http: bool,
    stalled: bool,
    asked: bool,
    /// Nothing was answered to it yet.
    new: bool,
}

const NO_TENANT: u32 = u32::MAX;
const NOBODY: Guest = Guest {
    address: 0,
    tenant: NO_TENANT,
    open: 0,
    held: 0,
    here: false,
    http: false,
    stalled: false,
    asked: false,
    new: true,
};

/// Asking connections to leave, spread over time.
#[derive(Clone, Debug)]
struct Farewell {
    pace: Pace,
    /// How many are still to be asked; all: also those that come while it lasts.
    left: usize,
    all: bool,
}

/// Decides which connections stay. Connections are named by their slots.
#[derive(Clone, Debug)]
pub struct Door {
    limits: DoorLimits,
    spans: Spans,
    /// Those of the queue of half messages once more, in the order of their last bytes.
    silent_halves: Spans,
    guests: Vec<Guest>,
    here: usize,
    half_bytes: usize,
    addresses: Groups<IpAddr>,
    tenants: Groups<String>,
    accepts: Pace,
    pings: Pace,
    /// A batch of pings is under way.
    pinging: bool,
    farewell: Option<Farewell>,
    /// Another door of the same gateway has places.
    room_elsewhere: bool,
    /// Where the farewell looks next.
    cursor: usize,
    arrived: u64,
    pinged: u64,
    asked: u64,
    refused: u64,
    closed: Vec<(&'static str, u64)>,
}

/// IPv6 clients choose their lower 64 bits freely.
fn group_of(address: IpAddr) -> IpAddr {
    match address.to_canonical() {
        IpAddr::V6(v6) => IpAddr::V6((u128::from(v6) >> 64 << 64).into()),
        v4 => v4,
    }
}

/// Connections taken at once after a quiet time.
fn accept_burst(limits: &DoorLimits) -> u64 {
    (limits.accepts_per_s / 10).max(64)
}

/// Pings that leave together: those of a quarter of a second.
fn batch(limits: &DoorLimits) -> u64 {
    (limits.pings_per_s / 4).max(1)
}

impl Door {
    /// A door that nobody has come to.
    pub fn new(now: Micros, limits: DoorLimits) -> Self {
        let mut door = Self {
            limits,
            spans: Spans::new(now, &[0; QUEUES]),
            silent_halves: Spans::new(now, &[0]),
            guests: Vec::new(),
            here: 0,
            half_bytes: 0,
            addresses: Groups { by_key: HashMap::new(), counts: Vec::new(), free: Vec::new() },
            tenants: Groups { by_key: HashMap::new(), counts: Vec::new(), free: Vec::new() },
            accepts: Pace::new(now, limits.accepts_per_s, accept_burst(&limits)),
            pings: Pace::empty(now, limits.pings_per_s, batch(&limits)),
            pinging: false,
            farewell: None,
            room_elsewhere: false,
            cursor: 0,
            arrived: 0,
            pinged: 0,
            asked: 0,
            refused: 0,
            closed: Vec::new(),
        };
        door.set_spans();
        door
    }

    fn set_spans(&mut self) {
        let limits = &self.limits;
        let spans = [
            (FRAMED, if limits.pings_per_s > 0 { limits.ping_after } else { limits.idle }),
            (HTTP, limits.idle),
            (PINGED, limits.ping_wait),
            (ASKED, limits.ping_wait),
            (HALF, limits.half),
            (STALLED, limits.stall),
            (NEW, limits.unasked),
        ];
        spans.into_iter().for_each(|(queue, span)| self.spans.change(queue, span));
        let silent = if limits.half_silent > 0 { limits.half_silent } else { limits.half };
        self.silent_halves.change(SILENT, silent);
    }

    /// New bounds. If fewer connections are allowed than are there, the longest idle are asked to leave.
    pub fn change(&mut self, now: Micros, limits: DoorLimits) {
        self.limits = limits;
        self.set_spans();
        self.accepts.change(now, limits.accepts_per_s, accept_burst(&limits));
        self.pings.change(now, limits.pings_per_s, batch(&limits));
        let over = self.here.saturating_sub(limits.connections);
        if over > 0 && !self.farewell.as_ref().is_some_and(|f| f.all) {
            self.say_farewell(now, over, false);
        }
    }

    /// Whether another door of the same gateway has places: then nobody has to give way here.
    pub fn room_elsewhere(&mut self, room: bool) {
        self.room_elsewhere = room;
    }

    /// From now on all are asked to leave, spread over `leave_over`.
    pub fn leave(&mut self, now: Micros) {
        self.say_farewell(now, self.here, true);
    }

    fn say_farewell(&mut self, now: Micros, left: usize, all: bool) {
        let over = self.limits.leave_over.max(1);
        let per_s = (left as u64).saturating_mul(1_000_000).div_ceil(over).max(FEW);
        self.farewell = Some(Farewell { pace: Pace::empty(now, per_s, per_s.div_ceil(50)), left, all });
        self.cursor = 0;
    }

    /// Whether one more connection may be taken now; otherwise, when that is to be asked again (at the latest:
    /// a connection that closes makes room as well).
    pub fn may_accept(&self, now: Micros) -> Result<(), Micros> {
        let full = self.here >= self.limits.connections;
        if full && self.room_elsewhere {
            return Err(now + LOOK_AGAIN);
        }
        // Whoever holds far more than a share makes room for others at once; who comes is not known yet.
        if full && self.greedy(1).is_none() {
            return match self.longest_idle(now, |_| true) {
                Some((_, since)) if since + self.limits.evict_after <= now => self.pace(now),
                Some((_, since)) => Err(since + self.limits.evict_after),
                None => Err(now + LOOK_AGAIN),
            };
        }
        self.pace(now)
    }

    fn pace(&self, now: Micros) -> Result<(), Micros> {
        match self.accepts.next(now) {
            Some(at) if at <= now => Ok(()),
            at => Err(at.unwrap_or(Micros::MAX)),
        }
    }

    /// The connection that has been silent for the longest time, without an open call; one that was never answered first.
    fn longest_idle(&self, now: Micros, mut quiet: impl FnMut(usize) -> bool) -> Option<(usize, Micros)> {
        let mut first = |queue| self.spans.slots(queue).take(LOOK_AT).find(|slot| quiet(*slot));
        let new = first(NEW).and_then(|slot| Some((slot, self.spans.since(slot)?)));
        if let Some(new) = new.filter(|(_, since)| since + self.limits.evict_after <= now) {
            return Some(new);
        }
        // Those pinged were silent for `ping_after` before.
        let mut earlier = |queue, before: Micros| {
            let slot = first(queue)?;
            Some((slot, self.spans.since(slot)?.saturating_sub(before)))
        };
        let pinged = earlier(PINGED, self.limits.ping_after);
        let firsts = [pinged, earlier(FRAMED, 0), earlier(HTTP, 0), earlier(ASKED, 0)];
        firsts.into_iter().flatten().chain(new).min_by_key(|(_, since)| *since)
    }

    /// A connection came. When all places are taken, only one that is `quiet` gives way: nothing came on it that was
    /// not seen to yet.
    pub fn arrives(
        &mut self,
        now: Micros,
        slot: usize,
        address: IpAddr,
        http: bool,
        quiet: impl FnMut(usize) -> bool,
    ) -> Arrival {
        self.arrived += 1;
        self.accepts.take(now);
        if slot >= self.guests.len() {
            self.guests.resize(slot + 1, NOBODY);
        }
        debug_assert!(!self.guests[slot].here, "a slot is used by one at a time");
        let full = self.here >= self.limits.connections;
        let address = self.addresses.join(&group_of(address));
        let instead = if full { self.gives_way(now, address, quiet) } else { Ok(None) };
        let instead = match instead {
            Ok(instead) => instead,
            Err(why) => {
                self.addresses.leave(address);
                self.count(why);
                return Arrival::Away(why);
            }
        };
        self.guests[slot] = Guest { address, http, here: true, ..NOBODY };
        self.here += 1;
        self.rest(now, slot);
        match instead {
            Some(victim) => {
                self.count("room-needed");
                Arrival::Instead(victim)
            }
            None => Arrival::Welcome,
        }
    }

    /// Who gives way to a connection of that address when all places are taken.
    fn gives_way(
        &self,
        now: Micros,
        newcomer: u32,
        mut quiet: impl FnMut(usize) -> bool,
    ) -> Result<Option<usize>, &'static str> {
        let greedy = self.addresses.is_greedy(newcomer, self.limits.connections, 0);
        if greedy {
            // It may only take the place of one of its own.
            let long = |slot: &usize| self.idle_for(now, *slot) >= self.limits.evict_after;
            let mut own = self.long_idle().filter(|slot| self.guests[*slot].address == newcomer);
            return match own.find(|slot| long(slot) && quiet(*slot)) {
                Some(own) => Ok(Some(own)),
                None => Err("address-share"),
            };
        }
        if let Some(slot) = self.greedy(0).filter(|slot| quiet(*slot)) {
            return Ok(Some(slot));
        }
        match self.longest_idle(now, quiet) {
            Some((slot, since)) if since + self.limits.evict_after <= now => Ok(Some(slot)),
            _ => Err("full"),
        }
    }

    /// Some of those that have been idle the longest.
    fn long_idle(&self) -> impl Iterator<Item = usize> + '_ {
        IDLE.into_iter().flat_map(|queue| self.spans.slots(queue).take(LOOK_AT))
    }

    /// An idle connection of an address or tenant that holds far more than its share, however short it has been
    /// idle.
    fn greedy(&self, more: usize) -> Option<usize> {
        let places = self.limits.connections;
        self.long_idle().find(|slot| {
            let guest = &self.guests[*slot];
            self.addresses.is_greedy(guest.address, places, more)
                || (guest.tenant != NO_TENANT && self.tenants.is_greedy(guest.tenant, places, 0))
        })
    }

    fn idle_for(&self, now: Micros, slot: usize) -> Micros {
        self.spans.since(slot).map_or(0, |since| now.saturating_sub(since))
    }

    /// Puts a connection where its state belongs.
    fn rest(&mut self, now: Micros, slot: usize) {
        let guest = self.guests[slot];
        let queue = if guest.stalled {
            STALLED
        } else if guest.held > 0 {
            HALF
        } else if guest.open > 0 {
            return self.take_out(slot);
        } else if guest.asked {
            ASKED
        } else if guest.new && self.limits.unasked > 0 {
            NEW
        } else if guest.http {
            HTTP
        } else {
            FRAMED
        };
        // The time of a half message, and of one that does not read, runs from its beginning.
        let runs_on = matches!(queue, HALF | STALLED) && self.spans.queue(slot) == Some(queue);
        if !runs_on {
            self.spans.put(now, slot, queue);
        }
        if queue != HALF {
            self.silent_halves.take_out(slot);
        } else if self.silent_halves.queue(slot).is_none() {
            self.silent_halves.put(now, slot, SILENT);
        }
    }

    /// Takes a connection out of all queues.
    fn take_out(&mut self, slot: usize) {
        self.spans.take_out(slot);
        self.silent_halves.take_out(slot);
    }

    fn guest(&mut self, slot: usize) -> Option<&mut Guest> {
        self.guests.get_mut(slot).filter(|guest| guest.here)
    }

    /// A connection showed a sign of life, or none where one is due.
    pub fn sign(&mut self, now: Micros, slot: usize, sign: Sign) {
        let Some(guest) = self.guest(slot) else { return };
        match sign {
            Sign::Heard(held) => {
                let held = u32::try_from(held).unwrap_or(u32::MAX);
                let before = std::mem::replace(&mut guest.held, held);
                self.half_bytes = self.half_bytes - before as usize + held as usize;
                // Its silence begins anew.
                self.silent_halves.take_out(slot);
            }
            Sign::Stalled => guest.stalled = true,
            Sign::Reads => guest.stalled = false,
        }
        self.rest(now, slot);
    }

    /// A message that was under way is whole: the next one's time begins anew.
    pub fn whole(&mut self, now: Micros, slot: usize) {
        self.sign(now, slot, Sign::Heard(0));
    }

    /// A connection asked for something that will be answered.
    pub fn asks(&mut self, now: Micros, slot: usize, tenant: &str) {
        let Some(guest) = self.guest(slot) else { return };
        guest.open += 1;
        let before = guest.tenant;
        let same = before != NO_TENANT && self.tenants.counts[before as usize].0.as_deref() == Some(tenant);
        if !tenant.is_empty() && !same {
            let known = self.tenants.by_key.contains_key(tenant);
            let room = known || self.tenants.by_key.len() < MOST_TENANTS;
            if before != NO_TENANT {
                self.tenants.leave(before);
            }
            let joined = if room { self.tenants.join(&tenant.to_owned()) } else { NO_TENANT };
            self.guests[slot].tenant = joined;
        }
        self.rest(now, slot);
    }

    /// It was answered.
    pub fn answered(&mut self, now: Micros, slot: usize) {
        self.guest(slot).into_iter().for_each(|guest| guest.new = false);
        self.called_off(now, slot);
    }

    /// It no longer waits for an answer.
    pub fn called_off(&mut self, now: Micros, slot: usize) {
        let Some(guest) = self.guest(slot) else { return };
        guest.open = guest.open.saturating_sub(1);
        if guest.open == 0 {
            self.rest(now, slot);
        }
    }

    /// A call was refused since its connection had too many open.
    pub fn refused(&mut self) {
        self.refused += 1;
    }

    /// Calls and awaits of a connection without their answer.
    pub fn open(&self, slot: usize) -> u32 {
        self.guests.get(slot).filter(|guest| guest.here).map_or(0, |guest| guest.open)
    }

    /// A connection is gone. False: it was not here.
    pub fn left(&mut self, slot: usize) -> bool {
        let Some(guest) = self.guest(slot).copied() else { return false };
        self.take_out(slot);
        self.addresses.leave(guest.address);
        if guest.tenant != NO_TENANT {
            self.tenants.leave(guest.tenant);
        }
        self.half_bytes -= guest.held as usize;
        self.guests[slot] = NOBODY;
        self.here -= 1;
        true
    }

    /// What is due. Each act is told once; a connection that is to be closed is reported by `left` as all are.
    pub fn act(&mut self, now: Micros) -> Option<Act> {
        if let Some(act) = self.farewells(now) {
            return Some(act);
        }
        if self.half_bytes > self.limits.half_bytes
            && let Some((slot, _)) = self.spans.first(HALF)
        {
            return Some(self.close(slot, "half-bytes"));
        }
        let too_many = self.half_too_many().find(|(_, due)| *due <= now);
        if let Some((slot, _)) = too_many {
            return Some(self.close(slot, "half-many"));
        }
        if let Some((slot, _)) = self.silent_halves.first(SILENT).filter(|(_, due)| *due <= now) {
            return Some(self.close(slot, "half-sent"));
        }
        let endings = [
            (HTTP, "idle"),
            (PINGED, "vanished"),
            (ASKED, "asked-to-leave"),
            (HALF, "half-sent"),
            (STALLED, "does-not-read"),
            (NEW, "never-answered"),
        ];
        for (queue, why) in endings {
            if let Some((slot, _)) = self.spans.first(queue).filter(|(_, due)| *due <= now) {
                return Some(self.close(slot, why));
            }
        }
        let (slot, _) = self.spans.first(FRAMED).filter(|(_, due)| *due <= now)?;
        if self.limits.pings_per_s == 0 {
            return Some(self.close(slot, "idle"));
        }
        // In batches: a wake-up costs more than a ping.
        self.pinging |= self.pings.is_full(now);
        if !self.pinging || !self.pings.take(now) {
            self.pinging = false;
            return None;
        }
        // Only what comes from the other side puts it back among the idle.
        self.spans.put(now, slot, PINGED);
        self.pinged += 1;
        Some(Act::Ping(slot))
    }

    /// With more half messages than may be: who may give way for that, silent the longest first, and from when on.
    fn half_too_many(&self) -> impl Iterator<Item = (usize, Micros)> + '_ {
        let too_many = self.spans.len(HALF) > self.limits.half_connections;
        let longest_silent = self.silent_halves.slots(SILENT).take(if too_many { LOOK_AT } else { 0 });
        let without_calls = longest_silent.filter(|slot| self.guests[*slot].open == 0);
        without_calls
            .filter_map(|slot| Some((slot, self.spans.since(slot)?.saturating_add(self.limits.evict_after))))
    }

    fn close(&mut self, slot: usize, why: &'static str) -> Act {
        self.take_out(slot);
        self.count(why);
        Act::Close(slot, why)
    }

    fn farewells(&mut self, now: Micros) -> Option<Act> {
        let farewell = self.farewell.as_mut()?;
        if farewell.left == 0 {
            // Those who come while all leave are told at once.
            let (all, came) = (farewell.all, self.guests.len());
            if !all {
                self.farewell = None;
                return None;
            }
            if self.cursor >= came {
                return None;
            }
        }
        let next = if farewell.all {
            // In the order of their slots, which is no order that anyone chose.
            let waiting = |slot: &usize| self.guests[*slot].here && !self.guests[*slot].asked;
            let next = (self.cursor..self.guests.len()).find(waiting);
            self.cursor = next.unwrap_or(self.guests.len());
            next
        } else {
            [PINGED, FRAMED, HTTP].into_iter().find_map(|queue| self.spans.slots(queue).next())
        };
        let Some(slot) = next else {
            farewell.left = 0;
            return None;
        };
        if !farewell.pace.take(now) {
            return None;
        }
        farewell.left = farewell.left.saturating_sub(1);
        self.guests[slot].asked = true;
        self.asked += 1;
        self.rest(now, slot);
        Some(Act::AskToLeave(slot))
    }

    /// When [`Door::act`] has something to say at the earliest.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        let queues = [HTTP, PINGED, ASKED, HALF, STALLED, NEW];
        let firsts = queues.into_iter().filter_map(|queue| self.spans.first(queue).map(|(_, due)| due));
        let ping = self.spans.first(FRAMED).map(|(_, due)| {
            if self.limits.pings_per_s == 0 {
                return due;
            }
            // Not before the budget has a batch.
            let batch = if self.pinging { Some(now) } else { self.pings.full_at(now.max(due)) };
            due.max(batch.unwrap_or(Micros::MAX))
        });
        let farewell = self.farewell.as_ref().filter(|f| f.left > 0).and_then(|f| f.pace.next(now));
        let silent = self.silent_halves.first(SILENT).map(|(_, due)| due);
        let too_many = self.half_too_many().map(|(_, due)| due);
        firsts.chain(ping).chain(farewell).chain(silent).chain(too_many).min()
    }

    fn count(&mut self, why: &'static str) {
        match self.closed.iter_mut().find(|(word, _)| *word == why) {
            Some((_, count)) => *count += 1,
            None => self.closed.push((why, 1)),
        }
    }

    /// Whether some are still to be asked to leave.
    pub fn is_asking(&self) -> bool {
        self.farewell.as_ref().is_some_and(|farewell| farewell.left > 0)
    }

    /// Connections there.
    pub fn here(&self) -> usize {
        self.here
    }

    /// What was counted.
    pub fn counts(&self) -> DoorCounts {
        DoorCounts {
            connections: self.here,
            idle: IDLE.iter().map(|queue| self.spans.len(*queue)).sum(),
            half: self.spans.len(HALF),
            stalled: self.spans.len(STALLED),
            arrived: self.arrived,
            pings: self.pinged,
            asked: self.asked,
            asking: self.is_asking(),
            refused: self.refused,
            closed: self.closed.iter().map(|(why, count)| ((*why).to_owned(), *count)).collect(),
        }
    }
}
