//! Rollout plans: the two versions, the steps and the guard.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{Affinity, Compare, Micros, Share};

/// Maximum number of steps of a plan; a guard has as many classes at most.
pub const MAX_STEPS: usize = 100;
const MAX_CLASSES: usize = 100;
/// Longest name: `function@version` must fit one field of a frame.
const MAX_NAME: usize = 200;

/// One of a plan's two versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Side {
    /// The current version.
    Old,
    /// The version that replaces it.
    New,
}

/// A step of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Step {
    /// The new version's share of the calls.
    pub share: Share,
    /// Minimum duration of the step.
    pub hold: Micros,
}

/// Criteria by which the new version is considered worse than the old one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Guard {
    /// The classes whose answers are compared.
    pub classes: Vec<String>,
    /// Probability that a version that is no worse is rolled back, over the whole plan.
    pub false_alarm: f64,
    /// Tolerated odds ratio of an error or a late answer, new version to old.
    pub worse: f64,
    /// Answers of each version that a step requires before the next one; at a share of 100%, of the new
    /// version only.
    pub least: u64,
    /// After a step, answers are ignored for this time, until transient effects of the step itself are over.
    pub settle: Micros,
    /// How answers of both versions to the same calls are compared, if they are.
    #[serde(default)]
    pub compare: Option<Compare>,
}

impl Guard {
    /// A guard over these classes with a false alarm rate of 1 in 100 and a tolerated odds ratio of 1.5. It
    /// evaluates answers from the first one on, and compares no answers to the same calls.
    pub fn new(classes: Vec<String>) -> Self {
        Self { classes, false_alarm: 0.01, worse: 1.5, least: 0, settle: 0, compare: None }
    }
}

/// A rollout plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Name of the function as clients call it.
    pub function: String,
    /// The current version; empty: the function under its plain name.
    pub old: String,
    /// The new version.
    pub new: String,
    /// Digest that workers must report for the old version; empty: not checked.
    pub old_digest: String,
    /// Digest that workers must report for the new version; empty: not checked.
    pub new_digest: String,
    /// Affinity of versions.
    pub stick: Affinity,
    /// Key of the hash that assigns versions.
    pub salt: [u64; 2],
    /// The steps, in order.
    pub steps: Vec<Step>,
    /// The guard.
    pub guard: Guard,
    /// A gateway that hears nothing of the order for this time returns to the old version; 0: never.
    pub lease: Micros,
    /// The share grows once the new version is loaded, or after this time if no load of it failed.
    pub preload: Micros,
    /// How long the old version is kept loaded after the last step or the promotion.
    pub keep_old: Micros,
}

impl Plan {
    /// A plan without steps and times, which checks no digests, assigns versions by account and compares
    /// nothing.
    pub fn new(function: &str, old: &str, new: &str, salt: [u64; 2]) -> Self {
        Self {
            function: function.into(),
            old: old.into(),
            new: new.into(),
            old_digest: String::new(),
            new_digest: String::new(),
            stick: Affinity::Account,
            salt,
            steps: Vec::new(),
            guard: Guard::new(Vec::new()),
            lease: 0,
            preload: 0,
            keep_old: 0,
        }
    }

    /// Whether both records belong to one plan: the same versions and the same assignment of callers.
    pub fn is_same_plan(&self, other: &Self) -> bool {
        let of = |plan: &Self| (plan.function.clone(), plan.old.clone(), plan.new.clone(), plan.salt);
        of(self) == of(other)
    }

    /// Name under which a version is routed and loaded.
    pub fn routed_name(&self, side: Side) -> String {
        let version = self.version(side);
        if version.is_empty() { self.function.clone() } else { format!("{}@{version}", self.function) }
    }

    /// Name of a version.
    pub fn version(&self, side: Side) -> &str {
        if side == Side::Old { &self.old } else { &self.new }
    }

    /// Required digest of a version; empty: any.
    pub fn digest(&self, side: Side) -> &str {
        if side == Side::Old { &self.old_digest } else { &self.new_digest }
    }

    /// All errors in the plan, each as a sentence that names the part.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut must = |holds: bool, what: String| faults.extend((!holds).then_some(what));
        let parts = [("function", &self.function, true), ("old", &self.old, false), ("new", &self.new, true)];
        for (part, name, needed) in parts {
            must(!needed || !name.is_empty(), format!("{part} is empty"));
            must(!name.contains('@'), format!("{part} = {name:?}: an @ stands between function and version"));
            must(name.len() <= MAX_NAME, format!("{part} has more than {MAX_NAME} bytes"));
        }
        for (part, digest) in [("old_digest", &self.old_digest), ("new_digest", &self.new_digest)] {
            must(digest.len() <= MAX_NAME, format!("{part} has more than {MAX_NAME} bytes"));
        }
        must(self.old != self.new, format!("old and new are both {:?}", self.old));
        must(!self.steps.is_empty(), "there are no steps".into());
        must(self.steps.len() <= MAX_STEPS, format!("more than {MAX_STEPS} steps"));
        must(
            self.steps.first().is_none_or(|step| step.share > Share::NONE),
            "steps[0]: a share of nothing is no step".into(),
        );
        for (at, pair) in self.steps.windows(2).enumerate() {
            let (before, after) = (pair[0].share, pair[1].share);
            must(
                before < after,
                format!("steps[{}]: {after} comes after {before}: steps only widen", at + 1),
            );
        }
        let guard = &self.guard;
        must(!guard.classes.is_empty(), "the guard names no class: nothing would ever be compared".into());
        must(guard.classes.len() <= MAX_CLASSES, format!("the guard names more than {MAX_CLASSES} classes"));
        let different = guard.classes.iter().collect::<BTreeSet<_>>().len();
        must(different == guard.classes.len(), "the guard names a class twice".into());
        let alarm = guard.false_alarm;
        must(alarm > 0.0 && alarm < 1.0, format!("false_alarm = {alarm}: above 0 and below 1 is wanted"));
        if let Some(Compare { share, differ, within }) = guard.compare {
            must(share > Share::NONE, "compare: a share of nothing compares nothing".into());
            must(differ > 0.0 && differ < 1.0, format!("differ = {differ}: above 0 and below 1 is wanted"));
            must((0.0..1.0).contains(&within), format!("within = {within}: from 0 to below 1 is wanted"));
        }
        let worse = guard.worse;
        must((1.0..=100.0).contains(&worse), format!("worse = {worse}: from 1 to 100 times is wanted"));
        faults
    }
}
