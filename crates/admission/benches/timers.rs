//! Compares data structures for the timers of connections: `cargo bench -p cresswheel-admission --bench
//! timers`.
//!
//! Each has one timer per connection, all with the same timeout, as for idle connections. Measured are:
//! restarting the timer of a random connection, as each message does; restarting the timer that expires
//! first, as a ping does; and memory, computed from lengths and capacities.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::hint::black_box;
use std::time::Instant;

use cresswheel_admission::TimerQueues;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;

const TIMEOUT: u64 = 300_000_000;
const OPERATIONS: u32 = 400_000;

trait Timers {
    /// Restarts the timer of a connection, as a message does.
    fn restart(&mut self, now: u64, slot: u32);
    /// Restarts the timer that expires first.
    fn restart_first(&mut self, now: u64) -> u32;
    fn bytes(&self) -> usize;
}

struct Queues(TimerQueues, usize);

impl Timers for Queues {
    fn restart(&mut self, now: u64, slot: u32) {
        self.0.insert(now, slot as usize, 0);
    }
    fn restart_first(&mut self, now: u64) -> u32 {
        let (slot, _) = self.0.first(0).unwrap_or((0, 0));
        self.0.insert(now, slot, 0);
        slot as u32
    }
    fn bytes(&self) -> usize {
        // Two links, the time and the number of the queue.
        16 * self.1
    }
}

/// A tree with an entry per connection, which each message moves.
struct Tree {
    tree: BTreeSet<(u64, u32)>,
    started: Vec<u64>,
}

impl Timers for Tree {
    fn restart(&mut self, now: u64, slot: u32) {
        let before = std::mem::replace(&mut self.started[slot as usize], now);
        self.tree.remove(&(before, slot));
        self.tree.insert((now, slot));
    }
    fn restart_first(&mut self, now: u64) -> u32 {
        let slot = self.tree.first().map_or(0, |(_, slot)| *slot);
        self.restart(now, slot);
        slot
    }
    fn bytes(&self) -> usize {
        // Nodes of eleven entries are about two thirds full; besides them there are the start times.
        self.tree.len() * 16 * 3 / 2 + self.started.len() * 8
    }
}

/// A heap that messages don't touch: an entry at the top with a later message is put back.
struct LazyHeap {
    heap: BinaryHeap<Reverse<(u64, u32)>>,
    last_message: Vec<u64>,
}

impl Timers for LazyHeap {
    fn restart(&mut self, now: u64, slot: u32) {
        self.last_message[slot as usize] = now;
    }
    fn restart_first(&mut self, now: u64) -> u32 {
        loop {
            let Some(mut top) = self.heap.peek_mut() else { return 0 };
            let (at, slot) = top.0;
            let last_message = self.last_message[slot as usize];
            // In both cases the entry gets its current time.
            top.0 = (if last_message > at { last_message } else { now }, slot);
            if last_message <= at {
                self.last_message[slot as usize] = now;
                return slot;
            }
        }
    }
    fn bytes(&self) -> usize {
        self.heap.capacity() * 16 + self.last_message.len() * 8
    }
}

/// A timer wheel that messages don't touch either.
struct LazyWheel {
    wheel: Vec<Vec<u32>>,
    last_message: Vec<u64>,
    tick: u64,
    current: u64,
}

impl LazyWheel {
    fn insert(&mut self, at: u64, slot: u32) {
        let bucket = (at / self.tick) as usize % self.wheel.len();
        self.wheel[bucket].push(slot);
    }
}

impl Timers for LazyWheel {
    fn restart(&mut self, now: u64, slot: u32) {
        self.last_message[slot as usize] = now;
    }
    fn restart_first(&mut self, now: u64) -> u32 {
        loop {
            let bucket = self.current as usize % self.wheel.len();
            let Some(slot) = self.wheel[bucket].pop() else {
                self.current += 1;
                continue;
            };
            let last_message = self.last_message[slot as usize];
            if last_message / self.tick > self.current {
                self.insert(last_message, slot);
                continue;
            }
            self.last_message[slot as usize] = now;
            self.insert(now, slot);
            return slot;
        }
    }
    fn bytes(&self) -> usize {
        self.wheel.iter().map(|slots| slots.capacity() * 4 + 24).sum::<usize>() + self.last_message.len() * 8
    }
}

fn measure(timers: &mut dyn Timers, connections: u32) -> (f64, f64, f64) {
    let mut rng = Pcg32::new(7, 11);
    let mut now = TIMEOUT;
    let mut timed = |ops: u32, op: &mut dyn FnMut(u64)| {
        let start = Instant::now();
        for _ in 0..ops {
            now += 50;
            op(now);
        }
        start.elapsed().as_nanos() as f64 / f64::from(ops)
    };
    let restart = timed(OPERATIONS, &mut |now| timers.restart(now, rng.next_u32() % connections));
    let restart_first = timed(OPERATIONS, &mut |now| _ = black_box(timers.restart_first(now)));
    (restart, restart_first, timers.bytes() as f64 / f64::from(connections))
}

fn main() {
    println!("{:>12} {:>14} {:>12} {:>14} {:>16}", "connections", "", "again, ns", "first, ns", "bytes each");
    for connections in [1_000u32, 10_000, 100_000, 1_000_000] {
        let started_at = |slot: u32| u64::from(slot) * TIMEOUT / u64::from(connections);
        let mut queues = TimerQueues::new(0, &[TIMEOUT]);
        (0..connections).for_each(|slot| queues.insert(started_at(slot), slot as usize, 0));
        let tree = (0..connections).map(|slot| (started_at(slot), slot)).collect();
        let started: Vec<u64> = (0..connections).map(started_at).collect();
        let heap = (0..connections).map(|slot| Reverse((started_at(slot), slot))).collect();
        let (tick, buckets) = (TIMEOUT / 1_024, 2_048);
        let mut wheel =
            LazyWheel { wheel: vec![Vec::new(); buckets], last_message: started.clone(), tick, current: 0 };
        (0..connections).for_each(|slot| wheel.insert(started_at(slot), slot));
        let mut all: [(&str, Box<dyn Timers>); 4] = [
            ("queues", Box::new(Queues(queues, connections as usize))),
            ("tree", Box::new(Tree { tree, started: started.clone() })),
            ("lazy heap", Box::new(LazyHeap { heap, last_message: started })),
            ("lazy wheel", Box::new(wheel)),
        ];
        for (name, timers) in &mut all {
            let (restart, restart_first, bytes) = measure(timers.as_mut(), connections);
            println!("{connections:>12} {name:>14} {restart:12.0} {restart_first:14.0} {bytes:16.1}");
        }
    }
}
