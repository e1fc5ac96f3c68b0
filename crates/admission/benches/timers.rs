//! Ways to keep the timers of connections, side by side: `cargo bench -p cresswheel-admission --bench timers`.
//!
//! Each holds one timer a connection, all of the same span, as idle connections have. Measured: setting a random
//! connection's timer again, as each message does; taking out the one that is due first and setting it again, as
//! a ping does; memory held, counted by what the structures say they hold.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::hint::black_box;
use std::time::Instant;

use cresswheel_admission::Spans;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;

const SPAN: u64 = 300_000_000;
const ROUNDS: u32 = 400_000;

trait Timers {
    /// A message came: its time begins anew.
    fn again(&mut self, now: u64, slot: u32);
    /// Takes the first that is due and sets it again.
    fn first(&mut self, now: u64) -> u32;
    fn bytes(&self) -> usize;
}

struct Queue(Spans, usize);

impl Timers for Queue {
    fn again(&mut self, now: u64, slot: u32) {
        self.0.put(now, slot as usize, 0);
    }
    fn first(&mut self, now: u64) -> u32 {
        let (slot, _) = self.0.first(0).unwrap_or((0, 0));
        self.0.put(now, slot, 0);
        slot as u32
    }
    fn bytes(&self) -> usize {
        // Two links, the time, the queue's number.
        16 * self.1
    }
}

/// The tree that this replaced: one entry a connection, moved with each message.
struct Tree {
    tree: BTreeSet<(u64, u32)>,
    at: Vec<u64>,
}

impl Timers for Tree {
    fn again(&mut self, now: u64, slot: u32) {
        let before = std::mem::replace(&mut self.at[slot as usize], now);
        self.tree.remove(&(before, slot));
        self.tree.insert((now, slot));
    }
    fn first(&mut self, now: u64) -> u32 {
        let slot = self.tree.first().map_or(0, |(_, slot)| *slot);
        self.again(now, slot);
        slot
    }
    fn bytes(&self) -> usize {
        // A node of eleven is about two thirds full; the times beside it.
        self.tree.len() * 16 * 3 / 2 + self.at.len() * 8
    }
}

/// A heap left alone by messages: what comes up and was heard of meanwhile is put back.
struct LazyHeap {
    heap: BinaryHeap<Reverse<(u64, u32)>>,
    heard: Vec<u64>,
}

impl Timers for LazyHeap {
    fn again(&mut self, now: u64, slot: u32) {
        self.heard[slot as usize] = now;
    }
    fn first(&mut self, now: u64) -> u32 {
        loop {
            let Some(mut top) = self.heap.peek_mut() else { return 0 };
            let (at, slot) = top.0;
            let heard = self.heard[slot as usize];
            // Either way its place is by what is known now.
            top.0 = (if heard > at { heard } else { now }, slot);
            if heard <= at {
                self.heard[slot as usize] = now;
                return slot;
            }
        }
    }
    fn bytes(&self) -> usize {
        self.heap.capacity() * 16 + self.heard.len() * 8
    }
}

/// A wheel of steps, left alone by messages in the same way.
struct LazyWheel {
    wheel: Vec<Vec<u32>>,
    heard: Vec<u64>,
    step: u64,
    hand: u64,
}

impl LazyWheel {
    fn put(&mut self, at: u64, slot: u32) {
        let place = (at / self.step) as usize % self.wheel.len();
        self.wheel[place].push(slot);
    }
}

impl Timers for LazyWheel {
    fn again(&mut self, now: u64, slot: u32) {
        self.heard[slot as usize] = now;
    }
    fn first(&mut self, now: u64) -> u32 {
        loop {
            let place = self.hand as usize % self.wheel.len();
            let Some(slot) = self.wheel[place].pop() else {
                self.hand += 1;
                continue;
            };
            let heard = self.heard[slot as usize];
            if heard / self.step > self.hand {
                self.put(heard, slot);
                continue;
            }
            self.heard[slot as usize] = now;
            self.put(now, slot);
            return slot;
        }
    }
    fn bytes(&self) -> usize {
        self.wheel.iter().map(|slots| slots.capacity() * 4 + 24).sum::<usize>() + self.heard.len() * 8
    }
}

fn measure(timers: &mut dyn Timers, connections: u32) -> (f64, f64, f64) {
    let mut rng = Pcg32::new(7, 11);
    let mut now = SPAN;
    let mut timed = |ops: u32, op: &mut dyn FnMut(u64)| {
        let start = Instant::now();
        for _ in 0..ops {
            now += 50;
            op(now);
        }
        start.elapsed().as_nanos() as f64 / f64::from(ops)
    };
    let again = timed(ROUNDS, &mut |now| timers.again(now, rng.next_u32() % connections));
    let first = timed(ROUNDS, &mut |now| _ = black_box(timers.first(now)));
    (again, first, timers.bytes() as f64 / f64::from(connections))
}

fn main() {
    println!("{:>12} {:>14} {:>12} {:>14} {:>16}", "connections", "", "again, ns", "first, ns", "bytes each");
    for connections in [1_000u32, 10_000, 100_000, 1_000_000] {
        let spread = |slot: u32| u64::from(slot) * SPAN / u64::from(connections);
        let mut spans = Spans::new(0, &[SPAN]);
        (0..connections).for_each(|slot| spans.put(spread(slot), slot as usize, 0));
        let tree = (0..connections).map(|slot| (spread(slot), slot)).collect();
        let at: Vec<u64> = (0..connections).map(spread).collect();
        let heap = (0..connections).map(|slot| Reverse((spread(slot), slot))).collect();
        let (step, places) = (SPAN / 1_024, 2_048);
        let mut wheel = LazyWheel { wheel: vec![Vec::new(); places], heard: at.clone(), step, hand: 0 };
        (0..connections).for_each(|slot| wheel.put(spread(slot), slot));
        let mut all: [(&str, Box<dyn Timers>); 4] = [
            ("queues", Box::new(Queue(spans, connections as usize))),
            ("tree", Box::new(Tree { tree, at: at.clone() })),
            ("lazy heap", Box::new(LazyHeap { heap, heard: at })),
            ("lazy wheel", Box::new(wheel)),
        ];
        for (name, timers) in &mut all {
            let (again, first, bytes) = measure(timers.as_mut(), connections);
            println!("{connections:>12} {name:>14} {again:12.0} {first:14.0} {bytes:16.1}");
        }
    }
}
