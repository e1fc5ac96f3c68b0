//! Functions by the time from which they may be forgotten, so that a sweep visits only those that are due.

use std::collections::BTreeSet;

use crate::interface::Micros;
use crate::state::FunctionIndex;

/// The time at which each function is to be checked.
#[derive(Debug, Default)]
pub struct IdleQueue {
    due: BTreeSet<(Micros, FunctionIndex)>,
    /// By function; the same times as in `due`.
    check_at: Vec<Option<Micros>>,
    visits: u64,
}

impl IdleQueue {
    /// Schedules a check of a function for the given time, unless an earlier one is scheduled.
    pub fn check_no_later_than(&mut self, function: FunctionIndex, at: Micros) {
        if self.check_at.len() <= function {
            self.check_at.resize(function + 1, None);
        }
        if self.check_at[function].is_none_or(|scheduled| at < scheduled) {
            self.visits += 1;
            if let Some(scheduled) = self.check_at[function].replace(at) {
                self.due.remove(&(scheduled, function));
            }
            self.due.insert((at, function));
        }
    }

    /// Takes out a function.
    pub fn remove(&mut self, function: FunctionIndex) {
        if let Some(scheduled) = self.check_at.get_mut(function).and_then(Option::take) {
            self.due.remove(&(scheduled, function));
        }
    }

    /// Takes out the functions whose time has passed.
    pub fn take_due(&mut self, now: Micros) -> Vec<FunctionIndex> {
        let mut due = Vec::new();
        while let Some((_, function)) = self.due.first().copied().filter(|(at, _)| *at < now) {
            self.due.pop_first();
            self.visits += 1;
            self.check_at[function] = None;
            due.push(function);
        }
        due
    }

    /// Entries visited or moved so far: a measure of the work done.
    pub fn visits(&self) -> u64 {
        self.visits
    }
}
