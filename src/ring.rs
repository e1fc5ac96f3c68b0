//! The consistent-hash ring of the workers in service; XXH3 of their names, so that all gateways agree.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::interface::{FunctionId, WorkerState};
use crate::state::{W, Worker};

/// Points of workers by place, the same number for each.
#[derive(Debug)]
pub struct Ring {
    points: Vec<(u64, W)>,
    points_each: u64,
}

impl Ring {
    /// A ring without workers.
    pub fn new(points_each: u64) -> Self {
        Self { points: Vec::new(), points_each }
    }

    /// Takes workers in or out: only the changed ones' points are moved.
    pub fn change(&mut self, changed: &BTreeSet<W>, workers: &[Worker]) {
        let mut moved = vec![false; workers.len()];
        changed.iter().for_each(|w| moved[*w] = true);
        self.points.retain(|(_, w)| !moved[*w]);
        let mut joining = Vec::new();
        for w in changed.iter().filter(|w| workers[**w].entry.state == WorkerState::In) {
            let name = workers[*w].entry.id.0.as_bytes();
            joining.extend((0..self.points_each).map(|point| (xxh3_64_with_seed(name, point), *w)));
        }
        joining.sort_unstable();
        self.merge(&joining);
    }

    /// Takes in sorted points, from the last one on, so that each that stands is moved once.
    fn merge(&mut self, joining: &[(u64, W)]) {
        let mut standing = self.points.len();
        self.points.resize(standing + joining.len(), (0, 0));
        for (before, point) in joining.iter().enumerate().rev() {
            let start = self.points[..standing].partition_point(|stands| stands < point);
            self.points.copy_within(start..standing, start + before + 1);
            self.points[start + before] = *point;
            standing = start;
        }
    }

    /// All workers, in ring order from the function's place; found one by one, as few are asked for. `tabled` is
    /// above each worker's number.
    pub fn order(&self, function: &FunctionId, tabled: usize) -> impl Iterator<Item = W> {
        let place = xxh3_64(function.0.as_bytes());
        let start = self.points.partition_point(|(at, _)| *at < place);
        let mut fresh = vec![true; tabled];
        let around = self.points[start..].iter().chain(&self.points[..start]).map(|(_, w)| *w);
        let workers = self.points.len() / self.points_each.max(1) as usize;
        around.filter(move |w| std::mem::take(&mut fresh[*w])).take(workers)
    }

    /// How many points it has.
    pub fn len(&self) -> usize {
        self.points.len()
    }
}
