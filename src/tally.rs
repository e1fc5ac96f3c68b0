//! Counts of what the decision module keeps and looks at, for tests and for those who plan a fleet.

use crate::rules::Dispatcher;

/// What one dispatcher keeps, and the work that it has done so far, in entries: none of it is a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// What is kept of functions at workers: one entry for each pair of them with own evidence.
    pub places: usize,
    /// Wanted pre-loads that wait for the order gate.
    pub wanted: usize,
    /// Points of workers on the ring.
    pub ring_points: usize,
    /// How often a forecast was due and wanted an instance, waiting already or not.
    pub asked: u64,
    /// Entries that ranking the wanted pre-loads and forgetting functions have looked at.
    pub looked_at: u64,
}

impl Dispatcher {
    /// Counts what is kept, entry by entry, and what was looked at.
    pub fn tally(&self) -> Tally {
        Tally {
            places: self.functions.iter().map(|function| function.places.len()).sum(),
            wanted: self.holds.wanted.len(),
            ring_points: self.ring.len(),
            asked: self.holds.wanted.asked(),
            looked_at: self.holds.wanted.visits() + self.idle.visits(),
        }
    }
}
