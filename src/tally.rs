//! Counts of the entries that a dispatcher keeps and visits, for tests and for capacity planning.

use crate::rules::Dispatcher;

/// Entries that one dispatcher keeps and the work that it has done so far. No field is a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Pairs of a function and a worker about which this gateway has evidence of its own.
    pub places: usize,
    /// Wanted prewarms that wait to be ordered.
    pub wanted: usize,
    /// Points of workers on the hash ring.
    pub ring_points: usize,
    /// How often a due forecast wanted an instance, whether or not its prewarm was already queued.
    pub asked: u64,
    /// Entries visited in ranking prewarms and in forgetting idle functions.
    pub looked_at: u64,
}

impl Dispatcher {
    /// Counts what is kept now and the entries visited so far.
    pub fn tally(&self) -> Tally {
        Tally {
            places: self.functions.iter().map(|function| function.placements.len()).sum(),
            wanted: self.orders.prewarms.len(),
            ring_points: self.ring.len(),
            asked: self.orders.prewarms.add_calls(),
            looked_at: self.orders.prewarms.visits() + self.idle_functions.visits(),
        }
    }
}
