//! The consistent-hash ring of the workers in service. Points are XXH3 hashes of worker names, so that all
//! gateways build the same ring.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::interface::{FunctionId, WorkerState};
use crate::state::{Worker, WorkerIndex};

/// Points of workers sorted by hash, the same number for each worker.
#[derive(Debug)]
pub struct Ring {
    points: Vec<(u64, WorkerIndex)>,
    points_per_worker: u64,
}

impl Ring {
    /// A ring without workers.
    pub fn new(points_per_worker: u64) -> Self {
        Self { points: Vec::new(), points_per_worker }
    }

    /// Adds or removes the changed workers by their state; the points of the others keep their order.
    pub fn update(&mut self, changed: &BTreeSet<WorkerIndex>, workers: &[Worker]) {
        let mut removed = vec![false; workers.len()];
        changed.iter().for_each(|worker| removed[*worker] = true);
        self.points.retain(|(_, worker)| !removed[*worker]);
        let mut added = Vec::new();
        for worker in
            changed.iter().filter(|worker| workers[**worker].list_entry.state == WorkerState::InService)
        {
            let name = workers[*worker].list_entry.id.0.as_bytes();
            added.extend((0..self.points_per_worker).map(|point| (xxh3_64_with_seed(name, point), *worker)));
        }
        added.sort_unstable();
        self.merge(&added);
    }

    /// Merges sorted points in place, from the last one on, so that each existing point is moved once.
    fn merge(&mut self, added: &[(u64, WorkerIndex)]) {
        let mut unmerged = self.points.len();
        self.points.resize(unmerged + added.len(), (0, 0));
        for (before, point) in added.iter().enumerate().rev() {
            let start = self.points[..unmerged].partition_point(|existing| existing < point);
            self.points.copy_within(start..unmerged, start + before + 1);
            self.points[start + before] = *point;
            unmerged = start;
        }
    }

    /// All workers in ring order from the function's hash. They are found lazily, as callers need only a few.
    /// `table_len` must exceed every worker's index.
    pub fn order(&self, function: &FunctionId, table_len: usize) -> impl Iterator<Item = WorkerIndex> {
        let hash = xxh3_64(function.0.as_bytes());
        let start = self.points.partition_point(|(at, _)| *at < hash);
        let mut unseen = vec![true; table_len];
        let around = self.points[start..].iter().chain(&self.points[..start]).map(|(_, worker)| *worker);
        let workers = self.points.len() / self.points_per_worker.max(1) as usize;
        around.filter(move |worker| std::mem::take(&mut unseen[*worker])).take(workers)
    }

    /// Number of points on the ring.
    pub fn len(&self) -> usize {
        self.points.len()
    }
}
