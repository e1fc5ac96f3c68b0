//! Timers of connections: queues, one for each reason to wait.
//!
//! All who wait for the same reason wait equally long, so a queue in the order of coming is in the order of
//! falling due: the first of each queue is all that a clock has to look at, setting a timer again is taking the
//! entry out and putting it at the end, and the longest idle stands in front. That costs 16 bytes a slot, no
//! allocation, and the same few steps whether there are ten or a million. `benches/timers.rs` has it beside a
//! tree, a heap and a wheel.

use cresswheel_protocol::Micros;

/// Times are kept in steps of this: far finer than any span, and 32 bits of it last two years of running.
const STEP: Micros = 16_384;
const NONE: u32 = u32::MAX;
const OUT: u8 = u8::MAX;

#[derive(Clone, Copy, Debug)]
struct Link {
    before: u32,
    after: u32,
    /// Steps since the start at which it was put there.
    since: u32,
    queue: u8,
}

const NOWHERE: Link = Link { before: NONE, after: NONE, since: 0, queue: OUT };

#[derive(Clone, Copy, Debug)]
struct Queue {
    span: Micros,
    first: u32,
    last: u32,
    len: usize,
}

/// Slots in queues, each slot in one at most.
#[derive(Clone, Debug)]
pub struct Spans {
    start: Micros,
    queues: Vec<Queue>,
    links: Vec<Link>,
}

impl Spans {
    /// Queues with these spans, all empty.
    ///
    /// # Panics
    /// If there are more than 255.
    pub fn new(now: Micros, spans: &[Micros]) -> Self {
        assert!(spans.len() < usize::from(OUT), "a queue's number is a byte");
        let queue = |span: &Micros| Queue { span: *span, first: NONE, last: NONE, len: 0 };
        Self { start: now, queues: spans.iter().map(queue).collect(), links: Vec::new() }
    }

    /// Changes a queue's span, for those in it too.
    pub fn change(&mut self, queue: usize, span: Micros) {
        self.queues[queue].span = span;
    }

    fn steps(&self, now: Micros) -> u32 {
        u32::try_from(now.saturating_sub(self.start) / STEP).unwrap_or(u32::MAX)
    }

    fn time(&self, steps: u32) -> Micros {
        self.start + Micros::from(steps) * STEP
    }

    /// Puts a slot at the end of a queue, wherever it was.
    pub fn put(&mut self, now: Micros, slot: usize, queue: usize) {
        if slot >= self.links.len() {
            self.links.resize(slot + 1, NOWHERE);
        }
        self.take_out(slot);
        // A clock that went back must not put it before those already there.
        let last = self.queues[queue].last;
        let least = if last == NONE { 0 } else { self.links[last as usize].since };
        let since = self.steps(now).max(least);
        self.links[slot] = Link { before: last, after: NONE, since, queue: queue as u8 };
        let queue = &mut self.queues[queue];
        queue.last = slot as u32;
        queue.len += 1;
        match last {
            NONE => queue.first = slot as u32,
            last => self.links[last as usize].after = slot as u32,
        }
    }

    /// Takes a slot out of its queue, if it is in one.
    pub fn take_out(&mut self, slot: usize) {
        let Some(link) = self.links.get(slot).copied().filter(|link| link.queue != OUT) else { return };
        self.links[slot] = NOWHERE;
        let queue = &mut self.queues[usize::from(link.queue)];
        queue.len -= 1;
        match link.before {
            NONE => queue.first = link.after,
            before => self.links[before as usize].after = link.after,
        }
        match link.after {
            NONE => queue.last = link.before,
            after => self.links[after as usize].before = link.before,
        }
    }

    /// The queue that a slot is in.
    pub fn queue(&self, slot: usize) -> Option<usize> {
        self.links.get(slot).filter(|link| link.queue != OUT).map(|link| usize::from(link.queue))
    }

    /// Since when a slot is in its queue; up to a step early.
    pub fn since(&self, slot: usize) -> Option<Micros> {
        self.links.get(slot).filter(|link| link.queue != OUT).map(|link| self.time(link.since))
    }

    /// How many a queue holds.
    pub fn len(&self, queue: usize) -> usize {
        self.queues[queue].len
    }

    /// Whether a queue is empty.
    pub fn is_empty(&self, queue: usize) -> bool {
        self.len(queue) == 0
    }

    /// A queue's slots, longest there first.
    pub fn slots(&self, queue: usize) -> impl Iterator<Item = usize> + '_ {
        let next = |slot: u32| (slot != NONE).then_some(slot);
        std::iter::successors(next(self.queues[queue].first), move |slot| {
            next(self.links[*slot as usize].after)
        })
        .map(|slot| slot as usize)
    }

    /// The first of a queue and when it falls due; at most a step late, never early.
    pub fn first(&self, queue: usize) -> Option<(usize, Micros)> {
        let first = self.queues[queue].first;
        if first == NONE {
            return None;
        }
        let since = self.time(self.links[first as usize].since);
        Some((first as usize, since.saturating_add(STEP).saturating_add(self.queues[queue].span)))
    }
}
