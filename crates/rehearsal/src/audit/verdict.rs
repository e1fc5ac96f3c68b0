//! The verdict on a run.

use std::collections::BTreeMap;

/// One rule's verdict.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RuleVerdict {
    /// Things that were checked.
    pub checked: usize,
    /// What violated it, each in words.
    pub violations: Vec<String>,
}

/// What became of a class's calls.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassTable {
    /// Asked for.
    pub asked: usize,
    /// Served within the aim.
    pub in_time: usize,
    /// Served later.
    pub late: usize,
    /// Refused.
    pub refused: usize,
    /// Failed.
    pub failed: usize,
    /// Left by their clients.
    pub left: usize,
    /// Held by a gateway that was killed, or never reached one.
    pub gone: usize,
    /// Times of those served, in microseconds.
    pub took: Vec<u64>,
    /// Reasons of refusals and failures.
    pub reasons: BTreeMap<String, usize>,
}

impl ClassTable {
    /// The time within which this part of the served calls was served, in milliseconds.
    pub fn quantile_ms(&self, part: f64) -> f64 {
        let at = ((self.took.len() as f64 * part).ceil() as usize).clamp(1, self.took.len().max(1)) - 1;
        self.took.get(at).map_or(f64::NAN, |us| *us as f64 / 1e3)
    }
}

/// What workers' instances cost in a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct InstanceCost {
    /// Memory that they used, added up over time, in GB seconds.
    pub memory_gb_s: f64,
    /// Load orders that workers got.
    pub load_orders: usize,
}

/// The verdict on a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// By rule.
    pub rules: [RuleVerdict; 5],
    /// By class.
    pub classes: BTreeMap<String, ClassTable>,
    /// Lines of records that could not be read: a run without all its records proves nothing.
    pub unreadable: Vec<String>,
    /// Each call ran one version of its function, and its answer names that one, by its worker's bytes.
    pub versions: RuleVerdict,
    /// Calls served by version, as their answers say.
    pub served: BTreeMap<String, usize>,
    /// What the workers' instances cost.
    pub instances: InstanceCost,
    /// Deferred calls that were accepted and lost with a killed gateway: a broken promise that this version makes.
    pub deferred_lost: usize,
}

impl Verdict {
    /// Whether all rules held and all records were there.
    pub fn is_passed(&self) -> bool {
        let rules = self.rules.iter().chain([&self.versions]);
        self.unreadable.is_empty() && rules.into_iter().all(|rule| rule.violations.is_empty())
    }
}
