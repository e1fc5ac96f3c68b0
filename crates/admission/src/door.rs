//! Connection limits: decides which client connections may stay.
//!
//! Each connection is in one of a few states, and each state is a queue of [`TimerQueues`] with its own
//! timeout. An idle connection takes nothing but its entry in the queue and 16 bytes.
//!
//! Invariants: there are never more connections than `connections`; a connection with an open request is
//! never closed to free its place, as idle, or after a ping; in any second at most `pings_per_s` pings are
//! sent, plus one batch of a quarter of that.

use std::net::IpAddr;

use cresswheel_protocol::Micros;
use foldhash::{HashMap, HashMapExt};
use serde::{Deserialize, Serialize};

use crate::{TimerQueues, TokenBucket};

/// Limits of client connections. Times are microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionLimits {
    /// Concurrent connections.
    pub connections: usize,
    /// Rate at which connections are accepted. The burst is a tenth of a second's, and at least 64.
    pub accepts_per_s: u64,
    /// At the connection limit, a connection that has been idle for this long is evicted for a new one.
    pub evict_after: Micros,
    /// Timeout of a connection that has no open request and was never answered; 0: the same as for an idle
    /// one. Such a connection is evicted first.
    pub unasked: Micros,
    /// Idle timeout of HTTP connections, and of connections of the main protocol if there are no pings.
    pub idle: Micros,
    /// Time from the first byte of a message to its last, however the bytes are spread over it.
    pub half: Micros,
    /// A partial message of which nothing has been received for this long is given up earlier; 0: it is not.
    pub half_silent: Micros,
    /// Connections with a partial message. Beyond it, the longest silent is closed among those without an open
    /// request whose message has been partial for longer than `evict_after`.
    pub half_connections: usize,
    /// Bytes of partial messages, over all connections.
    pub half_bytes: usize,
    /// How long a client may leave its answers unread.
    pub stall: Micros,
    /// An idle connection of the main protocol is pinged after this.
    pub ping_after: Micros,
    /// A connection is closed if nothing is received for this long after a ping, or if it stays idle for this
    /// long after it was asked to leave.
    pub ping_wait: Micros,
    /// Rate of pings; 0: there are none.
    pub pings_per_s: u64,
    /// When many connections are asked to leave, the requests are spread over this time.
    pub leave_over: Micros,
}

impl Default for ConnectionLimits {
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

/// What was observed on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEvent {
    /// Bytes were received; this many of them belong to a partial message.
    Received(usize),
    /// The client does not read: its output backlog is too large.
    Stalled,
    /// The client reads again.
    Resumed,
}

/// Decision about a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is accepted.
    Accept,
    /// It is accepted, and the connection in this slot is evicted for it.
    AcceptEvicting(usize),
    /// It is rejected for this reason.
    Reject(&'static str),
}

/// What to do with a connection whose timer has expired or that has to be asked to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAction {
    /// Close it, for this reason.
    Close(usize, &'static str),
    /// Ping it.
    Ping(usize),
    /// Ask it to leave: with a message on the main protocol, by closing it after the last response on HTTP.
    AskToLeave(usize),
}

/// Counters since the start, and current numbers of connections.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionCounts {
    /// Connections now.
    pub connections: usize,
    /// Those without an open request.
    pub idle: usize,
    /// Those with a partial message.
    pub half: usize,
    /// Those whose client does not read.
    pub stalled: usize,
    /// Connections that were offered.
    pub arrived: u64,
    /// Pings sent.
    pub pings: u64,
    /// Connections asked to leave.
    pub asked: u64,
    /// Whether some connections are still to be asked to leave.
    pub asking: bool,
    /// Requests refused because their connection had too many open.
    pub refused: u64,
    /// Connections closed or rejected, by reason.
    pub closed: Vec<(String, u64)>,
}

// The timer queues. The first four, and `NEVER_ANSWERED`, hold connections without an open request.
const IDLE_FRAMED: usize = 0;
const IDLE_HTTP: usize = 1;
const PINGED: usize = 2;
const ASKED_TO_LEAVE: usize = 3;
const PARTIAL: usize = 4;
const STALLED: usize = 5;
const NEVER_ANSWERED: usize = 6;
const QUEUES: usize = 7;
/// The only queue of `silence_timers`: connections with a partial message, by when bytes were last received.
const SILENT: usize = 0;

/// At the connection limit, the time after which `may_accept` is to be asked again if no timer decides it.
const FULL_RECHECK: Micros = 1_000_000;
/// Clients that reconnect at up to this rate overload no one, so draining need not be slower.
const MIN_DRAIN_PER_S: u64 = 100;
/// Queues of idle connections, in the order in which they are searched for one to evict.
const IDLE_QUEUES: [usize; 5] = [ASKED_TO_LEAVE, NEVER_ANSWERED, PINGED, IDLE_FRAMED, IDLE_HTTP];

/// Tenants with a share of their own; the connections of others belong to no tenant.
const MAX_TENANTS: usize = 1_024;
/// For an eviction, this many connections of each queue, longest idle first, are searched for one whose
/// address or tenant exceeds its share.
const EVICTION_SCAN: usize = 64;

/// Connection counts of groups; a group is an address or a tenant.
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

    /// Whether a group has so many connections that they may be evicted for others at the connection limit:
    /// more than twice an equal share of `limit` among the present groups and `new_groups` more.
    fn exceeds_share(&self, group: u32, limit: usize, new_groups: usize) -> bool {
        let share = limit / (self.by_key.len() + new_groups).max(1);
        self.count(group) > 2 * share.max(1)
    }
}

#[derive(Clone, Copy, Debug)]
struct ConnectionState {
    address_group: u32,
    /// `NO_TENANT` until its first request.
    tenant_group: u32,
    /// Calls and awaits without their answer.
    open_requests: u32,
    /// Bytes of the partial message; saturates at `u32::MAX`.
    partial_bytes: u32,
    /// Whether the slot is in use.
    connected: bool,
    http: bool,
    stalled: bool,
    asked_to_leave: bool,
    never_answered: bool,
}

const NO_TENANT: u32 = u32::MAX;
const VACANT: ConnectionState = ConnectionState {
    address_group: 0,
    tenant_group: NO_TENANT,
    open_requests: 0,
    partial_bytes: 0,
    connected: false,
    http: false,
    stalled: false,
    asked_to_leave: false,
    never_answered: true,
};

/// Asks connections to leave, spread over time.
#[derive(Clone, Debug)]
struct Drain {
    rate: TokenBucket,
    /// How many are still to be asked.
    remaining: usize,
    /// All are to leave, including those accepted during the drain.
    all: bool,
}

/// Decides which connections stay. Connections are named by their slots.
#[derive(Clone, Debug)]
pub struct ConnectionLimiter {
    limits: ConnectionLimits,
    timers: TimerQueues,
    /// The connections of `PARTIAL` again, ordered by when bytes were last received.
    silence_timers: TimerQueues,
    /// By slot.
    connections: Vec<ConnectionState>,
    connected: usize,
    partial_bytes: usize,
    addresses: Groups<IpAddr>,
    tenants: Groups<String>,
    accept_rate: TokenBucket,
    ping_rate: TokenBucket,
    /// A batch of pings is being sent.
    pinging: bool,
    drain: Option<Drain>,
    /// Another process of the same gateway is below its connection limit.
    capacity_elsewhere: bool,
    /// The slot at which the drain goes on.
    drain_cursor: usize,
    arrived: u64,
    pings_sent: u64,
    asked_to_leave: u64,
    refused_requests: u64,
    closed: Vec<(&'static str, u64)>,
}

/// The address that shares are counted by. IPv6 clients choose the lower 64 bits of theirs, so the network
/// counts.
fn group_of(address: IpAddr) -> IpAddr {
    match address.to_canonical() {
        IpAddr::V6(v6) => IpAddr::V6((u128::from(v6) >> 64 << 64).into()),
        v4 => v4,
    }
}

/// Connections that may be accepted at once.
fn accept_burst(limits: &ConnectionLimits) -> u64 {
    (limits.accepts_per_s / 10).max(64)
}

/// Pings sent together: those of a quarter of a second.
fn ping_batch(limits: &ConnectionLimits) -> u64 {
    (limits.pings_per_s / 4).max(1)
}

impl ConnectionLimiter {
    /// Starts without connections.
    pub fn new(now: Micros, limits: ConnectionLimits) -> Self {
        let mut limiter = Self {
            limits,
            timers: TimerQueues::new(now, &[0; QUEUES]),
            silence_timers: TimerQueues::new(now, &[0]),
            connections: Vec::new(),
            connected: 0,
            partial_bytes: 0,
            addresses: Groups { by_key: HashMap::new(), counts: Vec::new(), free: Vec::new() },
            tenants: Groups { by_key: HashMap::new(), counts: Vec::new(), free: Vec::new() },
            accept_rate: TokenBucket::new(now, limits.accepts_per_s, accept_burst(&limits)),
            ping_rate: TokenBucket::empty(now, limits.pings_per_s, ping_batch(&limits)),
            pinging: false,
            drain: None,
            capacity_elsewhere: false,
            drain_cursor: 0,
            arrived: 0,
            pings_sent: 0,
            asked_to_leave: 0,
            refused_requests: 0,
            closed: Vec::new(),
        };
        limiter.set_timeouts();
        limiter
    }

    fn set_timeouts(&mut self) {
        let limits = &self.limits;
        let timeouts = [
            (IDLE_FRAMED, if limits.pings_per_s > 0 { limits.ping_after } else { limits.idle }),
            (IDLE_HTTP, limits.idle),
            (PINGED, limits.ping_wait),
            (ASKED_TO_LEAVE, limits.ping_wait),
            (PARTIAL, limits.half),
            (STALLED, limits.stall),
            (NEVER_ANSWERED, limits.unasked),
        ];
        timeouts.into_iter().for_each(|(queue, timeout)| self.timers.set_timeout(queue, timeout));
        let silence = if limits.half_silent > 0 { limits.half_silent } else { limits.half };
        self.silence_timers.set_timeout(SILENT, silence);
    }

    /// Sets new limits. If there are more connections than they allow, the longest idle are asked to leave.
    pub fn set_limits(&mut self, now: Micros, limits: ConnectionLimits) {
        self.limits = limits;
        self.set_timeouts();
        self.accept_rate.set_rate(now, limits.accepts_per_s, accept_burst(&limits));
        self.ping_rate.set_rate(now, limits.pings_per_s, ping_batch(&limits));
        let excess = self.connected.saturating_sub(limits.connections);
        if excess > 0 && !self.drain.as_ref().is_some_and(|drain| drain.all) {
            self.start_drain(now, excess, false);
        }
    }

    /// Sets whether another process of the same gateway is below its connection limit. Then no connection is
    /// evicted here.
    pub fn set_capacity_elsewhere(&mut self, capacity_elsewhere: bool) {
        self.capacity_elsewhere = capacity_elsewhere;
    }

    /// Asks all connections to leave, spread over `leave_over`, and each that is accepted from now on.
    pub fn drain(&mut self, now: Micros) {
        self.start_drain(now, self.connected, true);
    }

    fn start_drain(&mut self, now: Micros, remaining: usize, all: bool) {
        let duration = self.limits.leave_over.max(1);
        let per_s = (remaining as u64).saturating_mul(1_000_000).div_ceil(duration).max(MIN_DRAIN_PER_S);
        self.drain = Some(Drain { rate: TokenBucket::empty(now, per_s, per_s.div_ceil(50)), remaining, all });
        self.drain_cursor = 0;
    }

    /// Whether one more connection may be accepted now. If not, when to ask again at the latest: a connection
    /// that closes may allow it earlier.
    pub fn may_accept(&self, now: Micros) -> Result<(), Micros> {
        let full = self.connected >= self.limits.connections;
        if full && self.capacity_elsewhere {
            return Err(now + FULL_RECHECK);
        }
        // A group that exceeds its share loses a connection at once. The address of the new connection is not
        // known yet, so it counts as one more group.
        if full && self.idle_over_share(1).is_none() {
            return match self.longest_idle(now, |_| true) {
                Some((_, since)) if since + self.limits.evict_after <= now => self.check_accept_rate(now),
                Some((_, since)) => Err(since + self.limits.evict_after),
                None => Err(now + FULL_RECHECK),
            };
        }
        self.check_accept_rate(now)
    }

    fn check_accept_rate(&self, now: Micros) -> Result<(), Micros> {
        match self.accept_rate.next_token_at(now) {
            Some(at) if at <= now => Ok(()),
            at => Err(at.unwrap_or(Micros::MAX)),
        }
    }

    /// The connection to evict among those without an open request: one that was never answered, if it has
    /// been idle for long enough, else the longest idle. With it, since when it is idle.
    fn longest_idle(&self, now: Micros, mut is_quiet: impl FnMut(usize) -> bool) -> Option<(usize, Micros)> {
        let mut first = |queue| self.timers.slots(queue).take(EVICTION_SCAN).find(|slot| is_quiet(*slot));
        let unanswered = first(NEVER_ANSWERED).and_then(|slot| Some((slot, self.timers.since(slot)?)));
        if let Some(unanswered) = unanswered.filter(|(_, since)| since + self.limits.evict_after <= now) {
            return Some(unanswered);
        }
        // A pinged connection had been idle for `ping_after` before the ping.
        let mut idle_since = |queue, idle_before: Micros| {
            let slot = first(queue)?;
            Some((slot, self.timers.since(slot)?.saturating_sub(idle_before)))
        };
        let pinged = idle_since(PINGED, self.limits.ping_after);
        let firsts =
            [pinged, idle_since(IDLE_FRAMED, 0), idle_since(IDLE_HTTP, 0), idle_since(ASKED_TO_LEAVE, 0)];
        firsts.into_iter().flatten().chain(unanswered).min_by_key(|(_, since)| *since)
    }

    /// Decides about a new connection. At the connection limit, only a connection that `is_quiet` is evicted:
    /// one without received bytes that are still to be handled.
    pub fn admit(
        &mut self,
        now: Micros,
        slot: usize,
        address: IpAddr,
        http: bool,
        is_quiet: impl FnMut(usize) -> bool,
    ) -> Admission {
        self.arrived += 1;
        self.accept_rate.try_take(now);
        if slot >= self.connections.len() {
            self.connections.resize(slot + 1, VACANT);
        }
        debug_assert!(!self.connections[slot].connected, "slot {slot} is already in use");
        let full = self.connected >= self.limits.connections;
        let address_group = self.addresses.join(&group_of(address));
        let evicted = if full { self.choose_evicted(now, address_group, is_quiet) } else { Ok(None) };
        let evicted = match evicted {
            Ok(evicted) => evicted,
            Err(reason) => {
                self.addresses.leave(address_group);
                self.count_closed(reason);
                return Admission::Reject(reason);
            }
        };
        self.connections[slot] = ConnectionState { address_group, http, connected: true, ..VACANT };
        self.connected += 1;
        self.update_timers(now, slot);
        match evicted {
            Some(evicted) => {
                self.count_closed("room-needed");
                Admission::AcceptEvicting(evicted)
            }
            None => Admission::Accept,
        }
    }

    /// Which connection is evicted, at the connection limit, for a new one of this address; the error is the
    /// reason to reject the new one.
    fn choose_evicted(
        &self,
        now: Micros,
        new_address: u32,
        mut is_quiet: impl FnMut(usize) -> bool,
    ) -> Result<Option<usize>, &'static str> {
        let over_share = self.addresses.exceeds_share(new_address, self.limits.connections, 0);
        if over_share {
            // Only a connection of the same address may be evicted.
            let is_long_idle = |slot: &usize| self.idle_for(now, *slot) >= self.limits.evict_after;
            let mut same_address =
                self.idle_candidates().filter(|slot| self.connections[*slot].address_group == new_address);
            return match same_address.find(|slot| is_long_idle(slot) && is_quiet(*slot)) {
                Some(evicted) => Ok(Some(evicted)),
                None => Err("address-share"),
            };
        }
        if let Some(slot) = self.idle_over_share(0).filter(|slot| is_quiet(*slot)) {
            return Ok(Some(slot));
        }
        match self.longest_idle(now, is_quiet) {
            Some((slot, since)) if since + self.limits.evict_after <= now => Ok(Some(slot)),
            _ => Err("full"),
        }
    }

    /// The longest idle connections of each idle queue.
    fn idle_candidates(&self) -> impl Iterator<Item = usize> + '_ {
        IDLE_QUEUES.into_iter().flat_map(|queue| self.timers.slots(queue).take(EVICTION_SCAN))
    }

    /// An idle connection, for however short a time, whose address or tenant exceeds its share.
    fn idle_over_share(&self, new_addresses: usize) -> Option<usize> {
        let limit = self.limits.connections;
        self.idle_candidates().find(|slot| {
            let connection = &self.connections[*slot];
            self.addresses.exceeds_share(connection.address_group, limit, new_addresses)
                || (connection.tenant_group != NO_TENANT
                    && self.tenants.exceeds_share(connection.tenant_group, limit, 0))
        })
    }

    fn idle_for(&self, now: Micros, slot: usize) -> Micros {
        self.timers.since(slot).map_or(0, |since| now.saturating_sub(since))
    }

    /// Moves a connection to the timer queue of its state.
    fn update_timers(&mut self, now: Micros, slot: usize) {
        let connection = self.connections[slot];
        let queue = if connection.stalled {
            STALLED
        } else if connection.partial_bytes > 0 {
            PARTIAL
        } else if connection.open_requests > 0 {
            return self.remove_timers(slot);
        } else if connection.asked_to_leave {
            ASKED_TO_LEAVE
        } else if connection.never_answered && self.limits.unasked > 0 {
            NEVER_ANSWERED
        } else if connection.http {
            IDLE_HTTP
        } else {
            IDLE_FRAMED
        };
        // The timeouts of partial messages and stalled clients run from the beginning of that state.
        let keeps_timer = matches!(queue, PARTIAL | STALLED) && self.timers.queue_of(slot) == Some(queue);
        if !keeps_timer {
            self.timers.insert(now, slot, queue);
        }
        if queue != PARTIAL {
            self.silence_timers.remove(slot);
        } else if self.silence_timers.queue_of(slot).is_none() {
            self.silence_timers.insert(now, slot, SILENT);
        }
    }

    /// Removes a connection from all timer queues.
    fn remove_timers(&mut self, slot: usize) {
        self.timers.remove(slot);
        self.silence_timers.remove(slot);
    }

    fn connection_mut(&mut self, slot: usize) -> Option<&mut ConnectionState> {
        self.connections.get_mut(slot).filter(|connection| connection.connected)
    }

    /// Updates the state of a connection by what was observed on it.
    pub fn on_event(&mut self, now: Micros, slot: usize, sign: ConnectionEvent) {
        let Some(connection) = self.connection_mut(slot) else { return };
        match sign {
            ConnectionEvent::Received(partial_bytes) => {
                let partial_bytes = u32::try_from(partial_bytes).unwrap_or(u32::MAX);
                let before = std::mem::replace(&mut connection.partial_bytes, partial_bytes);
                self.partial_bytes = self.partial_bytes - before as usize + partial_bytes as usize;
                // Restarts the timer of its silence.
                self.silence_timers.remove(slot);
            }
            ConnectionEvent::Stalled => connection.stalled = true,
            ConnectionEvent::Resumed => connection.stalled = false,
        }
        self.update_timers(now, slot);
    }

    /// The partial message is complete; the timeout of the next one starts with its own first byte.
    pub fn on_message_complete(&mut self, now: Micros, slot: usize) {
        self.on_event(now, slot, ConnectionEvent::Received(0));
    }

    /// A connection sent a request that will be answered.
    pub fn on_request(&mut self, now: Micros, slot: usize, tenant: &str) {
        let Some(connection) = self.connection_mut(slot) else { return };
        connection.open_requests += 1;
        let before = connection.tenant_group;
        let same = before != NO_TENANT && self.tenants.counts[before as usize].0.as_deref() == Some(tenant);
        if !tenant.is_empty() && !same {
            let known = self.tenants.by_key.contains_key(tenant);
            let is_counted = known || self.tenants.by_key.len() < MAX_TENANTS;
            if before != NO_TENANT {
                self.tenants.leave(before);
            }
            let joined = if is_counted { self.tenants.join(&tenant.to_owned()) } else { NO_TENANT };
            self.connections[slot].tenant_group = joined;
        }
        self.update_timers(now, slot);
    }

    /// A request was answered.
    pub fn on_answer(&mut self, now: Micros, slot: usize) {
        self.connection_mut(slot).into_iter().for_each(|connection| connection.never_answered = false);
        self.on_cancel(now, slot);
    }

    /// A request was canceled.
    pub fn on_cancel(&mut self, now: Micros, slot: usize) {
        let Some(connection) = self.connection_mut(slot) else { return };
        connection.open_requests = connection.open_requests.saturating_sub(1);
        if connection.open_requests == 0 {
            self.update_timers(now, slot);
        }
    }

    /// A request was refused because its connection had too many open.
    pub fn count_refused(&mut self) {
        self.refused_requests += 1;
    }

    /// Calls and awaits of a connection without their answer.
    pub fn open_requests(&self, slot: usize) -> u32 {
        self.connections
            .get(slot)
            .filter(|connection| connection.connected)
            .map_or(0, |connection| connection.open_requests)
    }

    /// A connection was closed. False: the slot was vacant.
    pub fn on_closed(&mut self, slot: usize) -> bool {
        let Some(connection) = self.connection_mut(slot).copied() else { return false };
        self.remove_timers(slot);
        self.addresses.leave(connection.address_group);
        if connection.tenant_group != NO_TENANT {
            self.tenants.leave(connection.tenant_group);
        }
        self.partial_bytes -= connection.partial_bytes as usize;
        self.connections[slot] = VACANT;
        self.connected -= 1;
        true
    }

    /// The next action that is due; each is returned once. A connection that is to be closed counts until
    /// `left` is called for it, as for any other.
    pub fn next_action(&mut self, now: Micros) -> Option<ConnectionAction> {
        if let Some(act) = self.drain_next(now) {
            return Some(act);
        }
        if self.partial_bytes > self.limits.half_bytes
            && let Some((slot, _)) = self.timers.first(PARTIAL)
        {
            return Some(self.close(slot, "half-bytes"));
        }
        let excess = self.excess_partial().find(|(_, due)| *due <= now);
        if let Some((slot, _)) = excess {
            return Some(self.close(slot, "half-many"));
        }
        if let Some((slot, _)) = self.silence_timers.first(SILENT).filter(|(_, due)| *due <= now) {
            return Some(self.close(slot, "half-sent"));
        }
        let close_reasons = [
            (IDLE_HTTP, "idle"),
            (PINGED, "vanished"),
            (ASKED_TO_LEAVE, "asked-to-leave"),
            (PARTIAL, "half-sent"),
            (STALLED, "does-not-read"),
            (NEVER_ANSWERED, "never-answered"),
        ];
        for (queue, reason) in close_reasons {
            if let Some((slot, _)) = self.timers.first(queue).filter(|(_, due)| *due <= now) {
                return Some(self.close(slot, reason));
            }
        }
        let (slot, _) = self.timers.first(IDLE_FRAMED).filter(|(_, due)| *due <= now)?;
        if self.limits.pings_per_s == 0 {
            return Some(self.close(slot, "idle"));
        }
        // Pings are sent in batches, because a wake-up of the process costs more than a ping.
        self.pinging |= self.ping_rate.is_full(now);
        if !self.pinging || !self.ping_rate.try_take(now) {
            self.pinging = false;
            return None;
        }
        // Only bytes received from the client make the connection count as idle again.
        self.timers.insert(now, slot, PINGED);
        self.pings_sent += 1;
        Some(ConnectionAction::Ping(slot))
    }

    /// If there are more partial messages than allowed: the connections that may be closed for that, longest
    /// silent first, and from when on.
    fn excess_partial(&self) -> impl Iterator<Item = (usize, Micros)> + '_ {
        let too_many = self.timers.len(PARTIAL) > self.limits.half_connections;
        let longest_silent = self.silence_timers.slots(SILENT).take(if too_many { EVICTION_SCAN } else { 0 });
        let without_requests = longest_silent.filter(|slot| self.connections[*slot].open_requests == 0);
        without_requests
            .filter_map(|slot| Some((slot, self.timers.since(slot)?.saturating_add(self.limits.evict_after))))
    }

    fn close(&mut self, slot: usize, reason: &'static str) -> ConnectionAction {
        self.remove_timers(slot);
        self.count_closed(reason);
        ConnectionAction::Close(slot, reason)
    }

    fn drain_next(&mut self, now: Micros) -> Option<ConnectionAction> {
        let drain = self.drain.as_mut()?;
        if drain.remaining == 0 {
            // While all are to leave, connections accepted meanwhile are asked as well.
            let (all, slots) = (drain.all, self.connections.len());
            if !all {
                self.drain = None;
                return None;
            }
            if self.drain_cursor >= slots {
                return None;
            }
        }
        let next = if drain.all {
            // The order of slots is independent of how clients behave.
            let is_waiting =
                |slot: &usize| self.connections[*slot].connected && !self.connections[*slot].asked_to_leave;
            let next = (self.drain_cursor..self.connections.len()).find(is_waiting);
            self.drain_cursor = next.unwrap_or(self.connections.len());
            next
        } else {
            [PINGED, IDLE_FRAMED, IDLE_HTTP].into_iter().find_map(|queue| self.timers.slots(queue).next())
        };
        let Some(slot) = next else {
            drain.remaining = 0;
            return None;
        };
        if !drain.rate.try_take(now) {
            return None;
        }
        drain.remaining = drain.remaining.saturating_sub(1);
        self.connections[slot].asked_to_leave = true;
        self.asked_to_leave += 1;
        self.update_timers(now, slot);
        Some(ConnectionAction::AskToLeave(slot))
    }

    /// The earliest time at which [`ConnectionLimiter::next_action`] may return an action.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        let queues = [IDLE_HTTP, PINGED, ASKED_TO_LEAVE, PARTIAL, STALLED, NEVER_ANSWERED];
        let timers = queues.into_iter().filter_map(|queue| self.timers.first(queue).map(|(_, due)| due));
        let ping = self.timers.first(IDLE_FRAMED).map(|(_, due)| {
            if self.limits.pings_per_s == 0 {
                return due;
            }
            // Not before the rate allows a whole batch.
            let batch = if self.pinging { Some(now) } else { self.ping_rate.full_at(now.max(due)) };
            due.max(batch.unwrap_or(Micros::MAX))
        });
        let drain = self
            .drain
            .as_ref()
            .filter(|drain| drain.remaining > 0)
            .and_then(|drain| drain.rate.next_token_at(now));
        let silence = self.silence_timers.first(SILENT).map(|(_, due)| due);
        let excess = self.excess_partial().map(|(_, due)| due);
        timers.chain(ping).chain(drain).chain(silence).chain(excess).min()
    }

    fn count_closed(&mut self, reason: &'static str) {
        match self.closed.iter_mut().find(|(counted, _)| *counted == reason) {
            Some((_, count)) => *count += 1,
            None => self.closed.push((reason, 1)),
        }
    }

    /// Whether some connections are still to be asked to leave.
    pub fn is_draining(&self) -> bool {
        self.drain.as_ref().is_some_and(|drain| drain.remaining > 0)
    }

    /// Number of connections.
    pub fn connection_count(&self) -> usize {
        self.connected
    }

    /// Counters, and current numbers of connections.
    pub fn counts(&self) -> ConnectionCounts {
        ConnectionCounts {
            connections: self.connected,
            idle: IDLE_QUEUES.iter().map(|queue| self.timers.len(*queue)).sum(),
            half: self.timers.len(PARTIAL),
            stalled: self.timers.len(STALLED),
            arrived: self.arrived,
            pings: self.pings_sent,
            asked: self.asked_to_leave,
            asking: self.is_draining(),
            refused: self.refused_requests,
            closed: self.closed.iter().map(|(reason, count)| ((*reason).to_owned(), *count)).collect(),
        }
    }
}
