//! What the engine counts. Plain numbers; the shell gives them out.

use std::collections::BTreeMap;

use cresswheel::Class;
use cresswheel_protocol::Status;

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Names of the classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Calls taken, by class.
    pub taken: Vec<u64>,
    /// Final answers, by class, status and reason.
    pub answers: BTreeMap<(usize, Status, &'static str), u64>,
    /// Calls turned away before they were taken, by reason.
    pub turned_away: BTreeMap<&'static str, u64>,
    /// Attempts, by how they ended.
    pub attempts: BTreeMap<&'static str, u64>,
    /// Hold orders given.
    pub orders: u64,
    /// Answers to attempts that were over, and answers to nothing; dropped.
    pub late_answers: u64,
    /// Repeats that joined an open call or got a kept result.
    pub repeats: u64,
    /// Calls that every waiter left.
    pub abandoned: u64,
    /// Results dropped before their time for lack of room.
    pub results_evicted: u64,
    /// List entries passed over, because there were more than are kept or their ids were empty.
    pub list_passed_over: u64,
    /// Attempts and orders that were kept back or taken back right before they left, by reason.
    pub kept_back: BTreeMap<&'static str, u64>,
    /// Attempts and orders that left against a rule, by rule. Anything but none is a fault of this program.
    pub violations: BTreeMap<&'static str, u64>,
}

impl Counters {
    pub(crate) fn new(classes: &[Class]) -> Self {
        let names = classes.iter().map(|class| class.name.clone()).collect();
        Self { classes: names, taken: vec![0; classes.len()], ..Self::default() }
    }
}

/// Adds one.
pub fn count<K: Ord>(map: &mut BTreeMap<K, u64>, key: K) {
    *map.entry(key).or_insert(0) += 1;
}
