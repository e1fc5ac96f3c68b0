//! Timers of connections: one queue for each kind of timeout.
//!
//! All entries of a queue have the same timeout, so the order of insertion is the order of expiry: only the
//! first entry of each queue has to be checked, a timer is restarted by moving its entry to the end, and the
//! longest idle connection is first. This costs 16 bytes a slot, allocates nothing per operation, and takes
//! the same few steps for ten entries or a million. `benches/timers.rs` compares it with a tree, a heap and a
//! timer wheel.

use cresswheel_protocol::Micros;

/// Resolution of stored times: far finer than any timeout, and 32 bits of ticks last for two years.
const TICK: Micros = 16_384;
const NONE: u32 = u32::MAX;
const NO_QUEUE: u8 = u8::MAX;

#[derive(Clone, Copy, Debug)]
struct Link {
    prev: u32,
    next: u32,
    /// Ticks since the start at which the slot was inserted.
    since: u32,
    queue: u8,
}

const UNLINKED: Link = Link { prev: NONE, next: NONE, since: 0, queue: NO_QUEUE };

#[derive(Clone, Copy, Debug)]
struct Queue {
    timeout: Micros,
    first: u32,
    last: u32,
    len: usize,
}

/// Slots in queues; each slot is in one queue at most.
#[derive(Clone, Debug)]
pub struct TimerQueues {
    start: Micros,
    queues: Vec<Queue>,
    links: Vec<Link>,
}

impl TimerQueues {
    /// Empty queues with these timeouts.
    ///
    /// # Panics
    /// If there are more than 255.
    pub fn new(now: Micros, timeouts: &[Micros]) -> Self {
        assert!(timeouts.len() < usize::from(NO_QUEUE), "the number of a queue is one byte");
        let queue = |timeout: &Micros| Queue { timeout: *timeout, first: NONE, last: NONE, len: 0 };
        Self { start: now, queues: timeouts.iter().map(queue).collect(), links: Vec::new() }
    }

    /// Changes the timeout of a queue, also for entries already in it.
    pub fn set_timeout(&mut self, queue: usize, timeout: Micros) {
        self.queues[queue].timeout = timeout;
    }

    fn ticks(&self, now: Micros) -> u32 {
        u32::try_from(now.saturating_sub(self.start) / TICK).unwrap_or(u32::MAX)
    }

    fn time(&self, ticks: u32) -> Micros {
        self.start + Micros::from(ticks) * TICK
    }

    /// Moves a slot to the end of a queue, from whatever queue it was in.
    pub fn insert(&mut self, now: Micros, slot: usize, queue: usize) {
        if slot >= self.links.len() {
            self.links.resize(slot + 1, UNLINKED);
        }
        self.remove(slot);
        // If the clock went back, the queue must still be in order of time.
        let last = self.queues[queue].last;
        let earliest = if last == NONE { 0 } else { self.links[last as usize].since };
        let since = self.ticks(now).max(earliest);
        self.links[slot] = Link { prev: last, next: NONE, since, queue: queue as u8 };
        let queue = &mut self.queues[queue];
        queue.last = slot as u32;
        queue.len += 1;
        match last {
            NONE => queue.first = slot as u32,
            last => self.links[last as usize].next = slot as u32,
        }
    }

    /// Removes a slot from its queue, if it is in one.
    pub fn remove(&mut self, slot: usize) {
        let Some(link) = self.links.get(slot).copied().filter(|link| link.queue != NO_QUEUE) else { return };
        self.links[slot] = UNLINKED;
        let queue = &mut self.queues[usize::from(link.queue)];
        queue.len -= 1;
        match link.prev {
            NONE => queue.first = link.next,
            prev => self.links[prev as usize].next = link.next,
        }
        match link.next {
            NONE => queue.last = link.prev,
            next => self.links[next as usize].prev = link.prev,
        }
    }

    /// The queue that a slot is in.
    pub fn queue_of(&self, slot: usize) -> Option<usize> {
        self.links.get(slot).filter(|link| link.queue != NO_QUEUE).map(|link| usize::from(link.queue))
    }

    /// When a slot was inserted into its queue; up to a tick early.
    pub fn since(&self, slot: usize) -> Option<Micros> {
        self.links.get(slot).filter(|link| link.queue != NO_QUEUE).map(|link| self.time(link.since))
    }

    /// Number of entries in a queue.
    pub fn len(&self, queue: usize) -> usize {
        self.queues[queue].len
    }

    /// Whether a queue is empty.
    pub fn is_empty(&self, queue: usize) -> bool {
        self.len(queue) == 0
    }

    /// The slots of a queue, oldest entry first.
    pub fn slots(&self, queue: usize) -> impl Iterator<Item = usize> + '_ {
        let next = |slot: u32| (slot != NONE).then_some(slot);
        std::iter::successors(next(self.queues[queue].first), move |slot| {
            next(self.links[*slot as usize].next)
        })
        .map(|slot| slot as usize)
    }

    /// The first entry of a queue and when it expires; up to a tick late, never early.
    pub fn first(&self, queue: usize) -> Option<(usize, Micros)> {
        let first = self.queues[queue].first;
        if first == NONE {
            return None;
        }
        let since = self.time(self.links[first as usize].since);
        Some((first as usize, since.saturating_add(TICK).saturating_add(self.queues[queue].timeout)))
    }
}
