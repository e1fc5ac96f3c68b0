//! Functions by the time from which they may be forgotten, so that only those are looked at whose time has come.
//! Nothing here decides anything.

use std::collections::BTreeSet;

use crate::interface::Micros;
use crate::state::F;

/// Each function with the time at which to look at it.
#[derive(Debug, Default)]
pub struct IdleQueue {
    due: BTreeSet<(Micros, F)>,
    /// By function.
    times: Vec<Option<Micros>>,
    visits: u64,
}

impl IdleQueue {
    /// Looks at a function no later than then.
    pub fn no_later(&mut self, function: F, at: Micros) {
        if self.times.len() <= function {
            self.times.resize(function + 1, None);
        }
        if self.times[function].is_none_or(|planned| at < planned) {
            self.visits += 1;
            if let Some(planned) = self.times[function].replace(at) {
                self.due.remove(&(planned, function));
            }
            self.due.insert((at, function));
        }
    }

    /// Takes out those whose time has passed.
    pub fn take_due(&mut self, now: Micros) -> Vec<F> {
        let mut due = Vec::new();
        while let Some((_, function)) = self.due.first().copied().filter(|(at, _)| *at < now) {
            self.due.pop_first();
            self.visits += 1;
            self.times[function] = None;
            due.push(function);
        }
        due
    }

    /// How many entries were looked at or moved so far.
    pub fn visits(&self) -> u64 {
        self.visits
    }
}
