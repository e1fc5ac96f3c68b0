//! Counters of the engine. The engine does no input or output: the program that drives it (a gateway's event
//! loop) reads them through `Engine::counters` and reports them.

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
    /// Final answers to accepted calls, one for each call, by class, status and reason. The reason of a
    /// served call is empty.
    pub answers: BTreeMap<(usize, Status, &'static str), u64>,
    /// Calls rejected by admission control, by reason.
    pub rejected: BTreeMap<&'static str, u64>,
    /// Ended attempts, by how they ended.
    pub attempts: BTreeMap<&'static str, u64>,
    /// Prewarm orders sent.
    pub prewarm_orders: u64,
    /// Dropped answers to attempts that had ended or never existed.
    pub late_answers: u64,
    /// Repeated calls: their idempotency key is that of a call without a final answer yet, or of a kept
    /// result.
    pub repeats: u64,
    /// Calls canceled because no client waited any more.
    pub abandoned: u64,
    /// Results dropped early because the memory limit was reached.
    pub results_evicted: u64,
    /// Entries of the worker list skipped because their id was empty or an update had more entries than
    /// `MAX_WORKERS` (in `engine.rs`).
    pub list_entries_skipped: u64,
    /// How often an attempt or prewarm order was delayed or canceled right before sending, by reason. Each
    /// delay counts, also if the attempt is sent later; a cancellation after a delay counts as well.
    pub unsent: BTreeMap<&'static str, u64>,
    /// Attempts and prewarm orders that were sent against a rule, by rule: `drain` (to a worker that had been
    /// known to be leaving, or disputed, for longer than the grace period) or `deadline` (after the call's
    /// deadline). Any count is a bug of this program.
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
