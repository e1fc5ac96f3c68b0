//! Ids of requests that their clients gave up while an attempt may have run. One that must not run twice and comes
//! again under such an id is not started.

use std::collections::VecDeque;

use cresswheel::Micros;
use foldhash::HashSet;

/// Ids that are remembered; beyond it the oldest is forgotten.
const MAX_IDS: usize = 10_000;

/// The ids, each for a while.
#[derive(Debug)]
pub struct AbandonedIds {
    retention: Micros,
    by_age: VecDeque<(Micros, String)>,
    ids: HashSet<String>,
}

impl AbandonedIds {
    /// Remembers ids for `retention`.
    pub fn new(retention: Micros) -> Self {
        Self { retention, by_age: VecDeque::new(), ids: HashSet::default() }
    }

    /// Adds an id.
    pub fn insert(&mut self, now: Micros, id: String) {
        self.forget_old(now);
        if self.ids.insert(id.clone()) {
            self.by_age.push_back((now, id));
        }
        while self.by_age.len() > MAX_IDS {
            self.forget_oldest();
        }
    }

    /// Whether an id is remembered.
    pub fn contains(&mut self, now: Micros, id: &str) -> bool {
        self.forget_old(now);
        self.ids.contains(id)
    }

    fn forget_old(&mut self, now: Micros) {
        while self.by_age.front().is_some_and(|(at, _)| at.saturating_add(self.retention) <= now) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, id)) = self.by_age.pop_front() {
            self.ids.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;
