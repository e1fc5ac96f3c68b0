//! A plan: from which version to which, in what steps, under which guards.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{Compare, Micros, Share, Stick};

/// Most steps of a plan, and most classes of a guard.
pub const MOST_STEPS: usize = 100;
const MOST_CLASSES: usize = 100;
/// Longest name: with `function@version` in one field of a frame.
const MOST_NAME: usize = 200;

/// One of a plan's two versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Side {
    /// The one that ran before.
    Old,
    /// The one that takes over.
    New,
}

/// How wide, and for how long at least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Step {
    /// The new version's part of the calls.
    pub share: Share,
    /// The next step comes no earlier.
    pub hold: Micros,
}

/// When the new version is held to be worse than the old.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Guard {
    /// The classes whose answers are compared.
    pub classes: Vec<String>,
    /// The chance that a version which is no worse is pulled back, over the whole plan.
    pub false_alarm: f64,
    /// The odds of an error or a late answer may be so many times the old version's.
    pub worse: f64,
    /// Answers of each version that a step needs before the next; at all calls, of the new one.
    pub least: u64,
    /// After a step answers are not compared for so long: what the step itself causes has passed then.
    pub settle: Micros,
    /// Answers of both versions to the same calls are compared; `None`: not.
    #[serde(default)]
    pub compare: Option<Compare>,
}

impl Guard {
    /// A guard over these classes with a false alarm of 1 in 100 and odds of 1.5, which judges from the first answer on
    /// and compares no answers to the same calls.
    pub fn new(classes: Vec<String>) -> Self {
        Self { classes, false_alarm: 0.01, worse: 1.5, least: 0, settle: 0, compare: None }
    }
}

/// A plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The function, as clients call it.
    pub function: String,
    /// The version that runs; empty: the function under its own name.
    pub old: String,
    /// The version to come.
    pub new: String,
    /// What workers must say that the old version's bytes are; empty: not checked.
    pub old_digest: String,
    /// What workers must say that the new version's bytes are; empty: not checked.
    pub new_digest: String,
    /// What a caller's version sticks to.
    pub stick: Stick,
    /// Keys the hash.
    pub salt: [u64; 2],
    /// The steps, in order.
    pub steps: Vec<Step>,
    /// The guard.
    pub guard: Guard,
    /// A gateway that hears nothing for so long goes back to the old version; 0: never.
    pub lease: Micros,
    /// A share rises once the new version stands loaded, or after this if no load of it failed.
    pub preload: Micros,
    /// After the last step or the promotion the old version is kept loaded for so long.
    pub keep_old: Micros,
}

impl Plan {
    /// A plan without steps and times: no digests are checked, versions stick to accounts, nothing is compared.
    pub fn new(function: &str, old: &str, new: &str, salt: [u64; 2]) -> Self {
        Self {
            function: function.into(),
            old: old.into(),
            new: new.into(),
            old_digest: String::new(),
            new_digest: String::new(),
            stick: Stick::Account,
            salt,
            steps: Vec::new(),
            guard: Guard::new(Vec::new()),
            lease: 0,
            preload: 0,
            keep_old: 0,
        }
    }

    /// Whether two records are of one plan: the same versions, and the same callers to each.
    pub fn is_same(&self, other: &Self) -> bool {
        let of = |plan: &Self| (plan.function.clone(), plan.old.clone(), plan.new.clone(), plan.salt);
        of(self) == of(other)
    }

    /// The name under which one of its versions is routed and loaded.
    pub fn routed(&self, side: Side) -> String {
        let version = self.version(side);
        if version.is_empty() { self.function.clone() } else { format!("{}@{version}", self.function) }
    }

    /// One of its versions.
    pub fn version(&self, side: Side) -> &str {
        if side == Side::Old { &self.old } else { &self.new }
    }

    /// The digest that one of its versions must have; empty: any.
    pub fn digest(&self, side: Side) -> &str {
        if side == Side::Old { &self.old_digest } else { &self.new_digest }
    }

    /// All that is wrong with it, each in a sentence that names the part.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut must = |holds: bool, what: String| faults.extend((!holds).then_some(what));
        let parts = [("function", &self.function, true), ("old", &self.old, false), ("new", &self.new, true)];
        for (part, name, needed) in parts {
            must(!needed || !name.is_empty(), format!("{part} is empty"));
            must(!name.contains('@'), format!("{part} = {name:?}: an @ stands between function and version"));
            must(name.len() <= MOST_NAME, format!("{part} has more than {MOST_NAME} bytes"));
        }
        for (part, digest) in [("old_digest", &self.old_digest), ("new_digest", &self.new_digest)] {
            must(digest.len() <= MOST_NAME, format!("{part} has more than {MOST_NAME} bytes"));
        }
        must(self.old != self.new, format!("old and new are both {:?}", self.old));
        must(!self.steps.is_empty(), "there are no steps".into());
        must(self.steps.len() <= MOST_STEPS, format!("more than {MOST_STEPS} steps"));
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
        must(
            guard.classes.len() <= MOST_CLASSES,
            format!("the guard names more than {MOST_CLASSES} classes"),
        );
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
