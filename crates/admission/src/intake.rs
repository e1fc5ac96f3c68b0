//! Queue of calls that arrive faster than they can be started.
//!
//! When ten thousand clients send a call at once, the calls arrive within a few milliseconds, but the engine
//! needs hundreds of milliseconds to start them. Which of them wait and which are rejected depends on their
//! classes:
//!
//! - The class with the shorter latency objective goes first; with equal objectives, the one of higher worth.
//!   Within a class, tenants are served round-robin.
//! - A call waits for at most `share` of its class's objective, and is then rejected before anything of it
//!   has run. A call that can't be started by then, even at twice the rate at which calls were started
//!   lately, is rejected as it arrives.
//! - With more calls queued than can be started in that time, no more is read from clients: work goes into
//!   calls that can be in time before it goes into rejections, which are useful until the deadlines.
//! - Each rejected call gets a retry time of its own, so that the retries together arrive at no more than
//!   `share` of the start rate.
//!
//! Invariant: each offered call is returned exactly once, to be started or as rejected, unless it was
//! canceled.

use std::collections::{BTreeMap, VecDeque};

use cresswheel_protocol::Micros;

/// Limits of the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallQueueLimits {
    /// Calls that may wait.
    pub calls: usize,
    /// Calls started in one iteration of the event loop, so that answers are not held up.
    pub per_turn: usize,
    /// Part of a class's latency objective that a call may wait for.
    pub share: f64,
    /// The longest time for which clients are left unread.
    pub max_unread: Micros,
    /// The shortest retry time of a rejected call.
    pub min_retry_after: Micros,
    /// The longest retry time of a rejected call.
    pub max_retry_after: Micros,
}

impl Default for CallQueueLimits {
    fn default() -> Self {
        Self {
            calls: 20_000,
            per_turn: 64,
            share: 0.5,
            max_unread: 1_000_000,
            min_retry_after: 1_000_000,
            max_retry_after: 30_000_000,
        }
    }
}

/// What the priority of a class depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassPriority {
    /// Latency objective: an answer within it has its full worth.
    pub latency_objective: Micros,
    /// Worth of an answer.
    pub worth: f64,
}

/// A rejected call. No part of it has run.
#[derive(Clone, Debug, PartialEq)]
pub struct Rejected<T> {
    /// The call that was offered.
    pub call: T,
    /// The reason, as a key for clients.
    pub reason: &'static str,
    /// Time after which the client may retry.
    pub retry_after: Micros,
}

/// Result of offering a call.
#[derive(Clone, Debug, PartialEq)]
pub enum OfferResult<T> {
    /// It is queued.
    Queued,
    /// A call is rejected: this one, or a queued call of a less urgent class, whose place it takes.
    Rejected(Rejected<T>),
    /// A call with the same key is queued already.
    Duplicate(T),
}

/// Key of a call: its connection, and its number on that connection.
pub type CallKey = (u64, u64);

struct Waiting<T> {
    key: CallKey,
    /// Tells this call from a later one with the same key, if this one was canceled.
    serial: u64,
    arrived: Micros,
    call: T,
}

/// The queued calls of a class; tenants are served round-robin.
struct ClassQueue<T> {
    class: usize,
    max_wait: Micros,
    len: usize,
    by_tenant: BTreeMap<Option<usize>, VecDeque<Waiting<T>>>,
    /// Tenants with queued calls, next first.
    round_robin: VecDeque<Option<usize>>,
}

impl<T> ClassQueue<T> {
    fn push(&mut self, tenant: Option<usize>, waiting: Waiting<T>) {
        let queue = self.by_tenant.entry(tenant).or_default();
        if queue.is_empty() {
            self.round_robin.push_back(tenant);
        }
        queue.push_back(waiting);
        self.len += 1;
    }

    fn pop(&mut self) -> Option<Waiting<T>> {
        let tenant = self.round_robin.pop_front()?;
        let queue = self.by_tenant.get_mut(&tenant)?;
        let waiting = queue.pop_front();
        if queue.is_empty() {
            self.by_tenant.remove(&tenant);
        } else {
            self.round_robin.push_back(tenant);
        }
        self.len -= 1;
        waiting
    }

    /// The newest call of the tenant that has the most calls queued.
    fn pop_newest(&mut self) -> Option<Waiting<T>> {
        let tenant = *self.by_tenant.iter().max_by_key(|(_, queue)| queue.len())?.0;
        self.pop_of(tenant, VecDeque::pop_back)
    }

    /// A call that has waited for longer than `max_wait`.
    fn pop_overdue(&mut self, now: Micros) -> Option<Waiting<T>> {
        let is_overdue =
            |queue: &VecDeque<Waiting<T>>| queue.front().is_some_and(|w| w.arrived + self.max_wait < now);
        let tenant = *self.by_tenant.iter().find(|(_, queue)| is_overdue(queue))?.0;
        self.pop_of(tenant, VecDeque::pop_front)
    }

    /// A call of this tenant, independent of the round-robin order.
    fn pop_of(
        &mut self,
        tenant: Option<usize>,
        pop: impl Fn(&mut VecDeque<Waiting<T>>) -> Option<Waiting<T>>,
    ) -> Option<Waiting<T>> {
        let queue = self.by_tenant.get_mut(&tenant)?;
        let waiting = pop(queue)?;
        if queue.is_empty() {
            self.by_tenant.remove(&tenant);
            self.round_robin.retain(|other| *other != tenant);
        }
        self.len -= 1;
        Some(waiting)
    }
}

/// Started calls that a measured start rate needs at least.
const MIN_STARTED: f64 = 64.0;
/// Calls per second assumed before the rate is measured; no call is rejected on account of it.
const INITIAL_RATE: f64 = 5_000.0;
/// Factor on the measured rate for rejecting a call as it arrives. Reading and rejecting calls takes time of
/// the same core, so starting gets faster as arrivals stop, and the forecast is too pessimistic.
const FORECAST_FACTOR: f64 = 2.0;
/// Decay of the measurement with each started call.
const DECAY: f64 = 1.0 - 1.0 / 2_000.0;

/// Queue of calls that wait to be started.
pub struct CallQueue<T> {
    limits: CallQueueLimits,
    /// Most urgent first.
    queues: Vec<ClassQueue<T>>,
    /// Index in `queues` by class.
    queue_of_class: Vec<usize>,
    /// Serials of the queued calls that are not canceled.
    waiting: BTreeMap<CallKey, u64>,
    last_serial: u64,
    /// Includes canceled calls that are still in `queues`.
    len: usize,
    /// Calls started while others waited, decayed.
    started: f64,
    /// The time in which they were started, decayed.
    start_time: f64,
    measured_at: Option<Micros>,
    /// Time between the arrival of the last offered call on this machine and its offer.
    read_lag: Micros,
    /// The retry time given last.
    last_retry_at: Micros,
}

impl<T> CallQueue<T> {
    /// An empty queue for these classes.
    pub fn new(classes: &[ClassPriority], limits: CallQueueLimits) -> Self {
        let mut by_urgency: Vec<usize> = (0..classes.len()).collect();
        by_urgency.sort_by(|a, b| {
            let (a, b) = (&classes[*a], &classes[*b]);
            a.latency_objective.cmp(&b.latency_objective).then(b.worth.total_cmp(&a.worth))
        });
        let mut queue_of_class = vec![0; classes.len()];
        by_urgency.iter().enumerate().for_each(|(queue, class)| queue_of_class[*class] = queue);
        let queue = |class: &usize| ClassQueue {
            class: *class,
            max_wait: (classes[*class].latency_objective as f64 * limits.share) as Micros,
            len: 0,
            by_tenant: BTreeMap::new(),
            round_robin: VecDeque::new(),
        };
        Self {
            queues: by_urgency.iter().map(queue).collect(),
            queue_of_class,
            limits,
            waiting: BTreeMap::new(),
            last_serial: 0,
            len: 0,
            started: 0.0,
            start_time: 0.0,
            measured_at: None,
            read_lag: 0,
            last_retry_at: 0,
        }
    }

    /// Sets new limits, also for calls that wait. The order of the classes stays as it was.
    pub fn change(&mut self, classes: &[ClassPriority], limits: CallQueueLimits) {
        self.limits = limits;
        for queue in &mut self.queues {
            queue.max_wait = (classes[queue.class].latency_objective as f64 * limits.share) as Micros;
        }
    }

    /// Number of queued calls.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no calls are queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether reading from clients should pause: more calls are queued than can be started in time. Calls
    /// that were left unread for `hold` are read in any case, so that they are answered while their clients
    /// still wait.
    pub fn is_full(&self) -> bool {
        self.len >= self.limits.calls
            || (self.read_lag < self.limits.max_unread && self.len > self.startable_in_time())
    }

    /// Whether reading from clients may resume after the queue was full.
    pub fn may_resume_reading(&self) -> bool {
        self.len <= self.limits.calls / 2
            && (self.read_lag >= self.limits.max_unread || self.len <= self.startable_in_time() / 2)
    }

    /// Calls that can be started within the `max_wait` of the most urgent class.
    fn startable_in_time(&self) -> usize {
        if !self.is_measured() {
            return self.limits.calls;
        }
        let shortest = self.queues.first().map_or(0, |queue| queue.max_wait);
        ((self.rate() * shortest as f64 / 1e6) as usize).max(self.limits.per_turn * 2)
    }

    fn is_measured(&self) -> bool {
        self.started >= MIN_STARTED && self.start_time > 0.0
    }

    /// Calls per second that can be started, as measured lately.
    pub fn rate(&self) -> f64 {
        if !self.is_measured() {
            return INITIAL_RATE;
        }
        (self.started / self.start_time * 1e6).max(1.0)
    }

    /// Offers a call, which arrived on this machine at `arrived` or later.
    pub fn offer(
        &mut self,
        now: Micros,
        key: CallKey,
        class: usize,
        tenant: Option<usize>,
        arrived: Micros,
        call: T,
    ) -> OfferResult<T> {
        if self.waiting.contains_key(&key) {
            return OfferResult::Duplicate(call);
        }
        let queue = self.queue_of_class[class];
        let ahead: usize = self.queues[..=queue].iter().map(|queue| queue.len).sum();
        let expected_wait = match self.is_measured() {
            true => (ahead as f64 / (self.rate() * FORECAST_FACTOR) * 1e6) as Micros,
            false => 0,
        };
        let has_waited = now.saturating_sub(arrived);
        self.read_lag = has_waited;
        if has_waited + expected_wait > self.queues[queue].max_wait && ahead >= self.limits.per_turn {
            return OfferResult::Rejected(self.refuse(now, call));
        }
        if self.len >= self.limits.calls {
            // A call of the least urgent class is rejected: this one, unless its own class is more urgent.
            let last = self.queues.iter().rposition(|queue| queue.len > 0);
            let displaced = last.filter(|last| *last > queue).and_then(|last| self.queues[last].pop_newest());
            let Some(displaced) = displaced else { return OfferResult::Rejected(self.refuse(now, call)) };
            self.len -= 1;
            self.enqueue(queue, key, tenant, arrived, call);
            if self.forget_waiting(&displaced) {
                return OfferResult::Rejected(self.refuse(now, displaced.call));
            }
            return OfferResult::Queued;
        }
        self.enqueue(queue, key, tenant, arrived, call);
        OfferResult::Queued
    }

    fn enqueue(&mut self, queue: usize, key: CallKey, tenant: Option<usize>, arrived: Micros, call: T) {
        self.last_serial += 1;
        self.queues[queue].push(tenant, Waiting { key, serial: self.last_serial, arrived, call });
        self.waiting.insert(key, self.last_serial);
        self.len += 1;
    }

    /// Removes a call that left its queue from `waiting`. False: it was canceled.
    fn forget_waiting(&mut self, dequeued: &Waiting<T>) -> bool {
        let is_wanted = self.waiting.get(&dequeued.key) == Some(&dequeued.serial);
        if is_wanted {
            self.waiting.remove(&dequeued.key);
        }
        is_wanted
    }

    /// An iteration of the event loop begins. The time since the last one counts for the start rate if calls
    /// waited.
    pub fn begin_iteration(&mut self, now: Micros) {
        if let Some(before) = self.measured_at {
            self.start_time += now.saturating_sub(before) as f64;
        }
        self.measured_at = (self.len > 0).then_some(now);
    }

    /// The next call to start, with the time of its arrival. To be called at most `per_turn` times in an
    /// iteration.
    pub fn take_next_to_start(&mut self) -> Option<(CallKey, Micros, T)> {
        loop {
            let queue = self.queues.iter_mut().find(|queue| queue.len > 0)?;
            let Some(next) = queue.pop() else { continue };
            self.len -= 1;
            if self.forget_waiting(&next) {
                (self.started, self.start_time) = (self.started * DECAY + 1.0, self.start_time * DECAY);
                return Some((next.key, next.arrived, next.call));
            }
        }
    }

    /// The limit of calls started in one iteration of the event loop.
    pub fn per_turn(&self) -> usize {
        self.limits.per_turn
    }

    /// Rejects a call that has waited for longer than its class allows.
    pub fn reject_overdue(&mut self, now: Micros) -> Option<Rejected<T>> {
        for queue in 0..self.queues.len() {
            while let Some(overdue) = self.queues[queue].pop_overdue(now) {
                self.len -= 1;
                if self.forget_waiting(&overdue) {
                    return Some(self.refuse(now, overdue.call));
                }
            }
        }
        None
    }

    /// Cancels a call. True: it was queued, and will not be returned any more.
    pub fn cancel(&mut self, key: CallKey) -> bool {
        self.waiting.remove(&key).is_some()
    }

    /// Cancels all calls of a connection that was closed.
    pub fn cancel_connection(&mut self, connection: u64) {
        let of_connection = self.waiting.range((connection, 0)..=(connection, u64::MAX));
        let keys: Vec<CallKey> = of_connection.map(|(key, _)| *key).collect();
        keys.iter().for_each(|key| _ = self.waiting.remove(key));
    }

    fn refuse(&mut self, now: Micros, call: T) -> Rejected<T> {
        Rejected { call, reason: "busy", retry_after: self.next_retry_after(now) }
    }

    /// Spaces retry times evenly, so that the retries do not arrive together.
    fn next_retry_after(&mut self, now: Micros) -> Micros {
        let (earliest, latest) = (now + self.limits.min_retry_after, now + self.limits.max_retry_after);
        let interval = (1e6 / (self.rate() * self.limits.share).max(1.0)).ceil() as Micros;
        // After the latest time it starts over: the retries given first have arrived, or the span is too
        // short anyway.
        self.last_retry_at = if self.last_retry_at < earliest || self.last_retry_at > latest {
            earliest
        } else {
            self.last_retry_at + interval
        };
        self.last_retry_at.min(latest) - now
    }
}
