//! Counters of the engine, exposed by the driver.

use std::collections::BTreeMap;

use cresswheel::Class;
use cresswheel_protocol::Status;

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Names of the classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Accepted calls, by class.
    pub accepted: Vec<u64>,
    /// Final answers, by class, status and reason.
    pub answers: BTreeMap<(usize, Status, &'static str), u64>,
    /// Calls rejected by admission control, by reason.
    pub rejected: BTreeMap<&'static str, u64>,
    /// Ended attempts, by how they ended.
    pub attempts: BTreeMap<&'static str, u64>,
    /// Prewarm orders sent.
    pub prewarm_orders: u64,
    /// Dropped answers to attempts that had ended or never existed.
    pub late_answers: u64,
    /// Repeated calls, matched to an open call or a kept result by their key.
    pub repeats: u64,
    /// Calls canceled because no client waited any more.
    pub abandoned: u64,
    /// Results dropped early because the memory limit was reached.
    pub results_evicted: u64,
    /// List entries skipped because the list was too long or their id was empty.
    pub list_entries_skipped: u64,
    /// Attempts and orders that were delayed or canceled right before sending, by reason.
    pub unsent: BTreeMap<&'static str, u64>,
    /// Attempts and orders that were sent against a rule, by rule. Any count is a bug of this program.
    pub violations: BTreeMap<&'static str, u64>,
}

impl Counters {
    pub(crate) fn new(classes: &[Class]) -> Self {
        let names = classes.iter().map(|class| class.name.clone()).collect();
        Self { classes: names, accepted: vec![0; classes.len()], ..Self::default() }
    }
}

/// Increments the count of a key.
pub fn increment<K: Ord>(map: &mut BTreeMap<K, u64>, key: K) {
    *map.entry(key).or_insert(0) += 1;
}
