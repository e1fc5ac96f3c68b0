//! The queue of wanted prewarms (instances to load before their next call), ranked by priority. An update
//! costs time for the entries that it concerns, not for all that are queued.

use std::cmp::{Ordering, Reverse};
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};

use crate::interface::Micros;
use crate::state::{FunctionIndex, WorkerIndex};

/// An instance of a function that is to be loaded at a worker before its next call.
pub type Prewarm = (FunctionIndex, WorkerIndex);

/// A priority, ordered by `f64::total_cmp`.
#[derive(Clone, Copy, Debug)]
struct Priority(f64);

impl Ord for Priority {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for Priority {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Priority {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Priority {}

/// Which load time a priority was computed with. Two priorities are comparable only if both have the same
/// source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadTimeSource {
    /// The function's own load time is known and is a factor of the priority.
    Function,
    /// The function's own load time is not known. All functions without one share one estimate, which is left
    /// out of their priorities.
    Shared,
}

type Ranking = BTreeSet<(Reverse<Priority>, Prewarm)>;

/// The wanted prewarms. The dispatcher reviews those that [`PrewarmQueue::take_changed`] returns: it removes
/// a prewarm that is no longer wanted or that it has ordered, defers one that can't be ordered now, and ranks
/// all others (`review_prewarm` in `rules.rs`). It also reviews the highest ranked ones, to order them.
#[derive(Debug, Default)]
pub struct PrewarmQueue {
    /// Each with its position in a ranking; `None` if it is new or deferred.
    entries: BTreeMap<Prewarm, Option<(LoadTimeSource, Priority)>>,
    by_worker: BTreeMap<WorkerIndex, BTreeSet<FunctionIndex>>,
    ranked_by_own_load_time: Ranking,
    ranked_by_shared_load_time: Ranking,
    /// Times at which the deferred prewarms of a worker are to be reviewed again.
    resume_at: BTreeSet<(Micros, WorkerIndex)>,
    /// Functions whose prewarms are to be reviewed: since the last review, the function changed, it got a new
    /// prewarm, or a worker for which it has a prewarm changed or had its deferral end.
    changed: BTreeSet<FunctionIndex>,
    /// When `take_changed` last ran.
    reviewed_at: Micros,
    visits: u64,
    add_calls: u64,
}

impl PrewarmQueue {
    /// Adds a prewarm, to be reviewed next.
    pub fn add(&mut self, prewarm: Prewarm) {
        self.add_calls += 1;
        if let Entry::Vacant(entry) = self.entries.entry(prewarm) {
            self.visits += 1;
            entry.insert(None);
            self.by_worker.entry(prewarm.1).or_default().insert(prewarm.0);
            self.changed.insert(prewarm.0);
        }
    }

    pub fn remove(&mut self, prewarm: Prewarm) {
        self.unrank(prewarm);
        if self.entries.remove(&prewarm).is_some()
            && let Some(functions) = self.by_worker.get_mut(&prewarm.1)
        {
            functions.remove(&prewarm.0);
            if functions.is_empty() {
                self.by_worker.remove(&prewarm.1);
            }
        }
    }

    /// Sets the priority of a queued prewarm.
    pub fn rank(&mut self, prewarm: Prewarm, source: LoadTimeSource, priority: f64) {
        self.unrank(prewarm);
        if let Some(position) = self.entries.get_mut(&prewarm) {
            *position = Some((source, Priority(priority)));
            self.ranking(source).insert((Reverse(Priority(priority)), prewarm));
        }
    }

    /// Leaves a prewarm out of the rankings until its next review: at the given time, or earlier if its
    /// function is marked for review by then. With `Micros::MAX`, only such a mark leads to a review.
    pub fn defer(&mut self, prewarm: Prewarm, until: Micros) {
        self.unrank(prewarm);
        if until < Micros::MAX {
            self.resume_at.insert((until, prewarm.1));
        }
    }

    /// Marks all functions that have a prewarm for the worker: all prewarms of these functions are reviewed,
    /// those for other workers too.
    pub fn worker_changed(&mut self, worker: WorkerIndex) {
        let functions = self.by_worker.get(&worker).into_iter().flatten();
        self.changed.extend(functions);
    }

    /// Marks the prewarms of a function for review, before something of it changes that may change their
    /// priority or whether they are wanted. `wanted_until` is the end of the function's forecast before the
    /// change. A review skips functions that are not marked, so their prewarms stay queued when the forecast
    /// ends. If `take_changed` last ran at that end or later, they had expired by then. They are removed
    /// here, because the change may move the end to a later time.
    pub fn function_changing(&mut self, function: FunctionIndex, wanted_until: Micros) {
        if self.reviewed_at >= wanted_until {
            for prewarm in self.visit_function(function) {
                self.remove(prewarm);
            }
        }
        self.changed.insert(function);
    }

    /// Takes the prewarms to review: all those of the marked functions, and of each function that has a
    /// prewarm for a worker whose deferral ends by now.
    pub fn take_changed(&mut self, now: Micros) -> Vec<Prewarm> {
        self.reviewed_at = now;
        while let Some((_, worker)) = self.resume_at.first().copied().filter(|(at, _)| *at <= now) {
            self.resume_at.pop_first();
            self.worker_changed(worker);
        }
        let changed = std::mem::take(&mut self.changed);
        changed.into_iter().flat_map(|function| self.visit_function(function)).collect()
    }

    /// The prewarm of highest priority in each ranking.
    pub fn highest_ranked(&self) -> impl Iterator<Item = Prewarm> {
        [&self.ranked_by_own_load_time, &self.ranked_by_shared_load_time]
            .into_iter()
            .filter_map(|ranking| ranking.first())
            .map(|(_, prewarm)| *prewarm)
    }

    /// Whether a prewarm of the function is queued for any worker.
    pub fn has_function(&self, function: FunctionIndex) -> bool {
        self.prewarms_of(function).next().is_some()
    }

    /// Whether a prewarm is queued for the worker.
    pub fn has_worker(&self, worker: WorkerIndex) -> bool {
        self.by_worker.contains_key(&worker)
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// How often `add` was called, including for prewarms that were already queued.
    pub fn add_calls(&self) -> u64 {
        self.add_calls
    }

    /// Entries visited so far, a measure of the work done, for the dispatcher's statistics (`tally.rs`). Each
    /// of these is a visit: a look-up of a function, a prewarm found by it, a prewarm inserted, and a look-up
    /// of a prewarm to take it out of its ranking.
    pub fn visits(&self) -> u64 {
        self.visits
    }

    fn prewarms_of(&self, function: FunctionIndex) -> impl Iterator<Item = Prewarm> {
        self.entries.range((function, 0)..=(function, WorkerIndex::MAX)).map(|(prewarm, _)| *prewarm)
    }

    /// The prewarms of a function, counted as visits.
    fn visit_function(&mut self, function: FunctionIndex) -> Vec<Prewarm> {
        let prewarms: Vec<Prewarm> = self.prewarms_of(function).collect();
        self.visits += 1 + prewarms.len() as u64;
        prewarms
    }

    fn unrank(&mut self, prewarm: Prewarm) {
        self.visits += 1;
        if let Some((source, priority)) = self.entries.get_mut(&prewarm).and_then(Option::take) {
            self.ranking(source).remove(&(Reverse(priority), prewarm));
        }
    }

    fn ranking(&mut self, source: LoadTimeSource) -> &mut Ranking {
        match source {
            LoadTimeSource::Function => &mut self.ranked_by_own_load_time,
            LoadTimeSource::Shared => &mut self.ranked_by_shared_load_time,
        }
    }
}
