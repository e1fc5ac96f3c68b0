//! Counts of the entries that a dispatcher keeps and visits, for tests and for capacity planning.

use crate::rules::Dispatcher;

/// Entries that one dispatcher keeps and the work that it has done so far. No field is a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DispatcherStats {
    /// Pairs of a function and a worker about which this gateway has evidence of its own.
    pub placements: usize,
    /// Wanted prewarms that wait to be ordered.
    pub queued_prewarms: usize,
    /// Points of workers on the hash ring.
    pub ring_points: usize,
    /// How often a due forecast wanted an instance, whether or not its prewarm was already queued.
    pub prewarm_requests: u64,
    /// Entries visited in ranking prewarms and in forgetting idle functions.
    pub entries_visited: u64,
}

impl Dispatcher {
    /// Counts what is kept now and the entries visited so far.
    pub fn stats(&self) -> DispatcherStats {
        DispatcherStats {
            placements: self.functions.iter().map(|function| function.placements.len()).sum(),
            queued_prewarms: self.orders.prewarms.len(),
            ring_points: self.ring.len(),
            prewarm_requests: self.orders.prewarms.add_calls(),
            entries_visited: self.orders.prewarms.visits() + self.idle_functions.visits(),
        }
    }
}
