//! Orders under epochs.

use serde::{Deserialize, Serialize};

use crate::{Micros, Plan, Share};

/// What an operator asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Begin a plan.
    Start,
    /// Go to the next step.
    Widen,
    /// Stay at this step.
    Pause,
    /// Go on.
    Resume,
    /// The new version takes all calls, for good.
    Promote,
    /// The old version takes all calls again.
    RollBack,
}

impl Kind {
    /// In a word.
    pub fn word(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Widen => "widen",
            Self::Pause => "pause",
            Self::Resume => "resume",
            Self::Promote => "promote",
            Self::RollBack => "rollback",
        }
    }
}

/// How far a plan has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// At this step, from 0.
    Step(usize),
    /// The new version has all calls.
    Promoted,
    /// The old version has all calls.
    RolledBack,
}

/// An order with all that it means: who has it needs none of those before it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The plan.
    pub plan: Plan,
    /// Counts the orders on the function, over all plans.
    pub epoch: u64,
    /// Drawn by whoever ordered; tells a repeat of the order from another one.
    pub id: u64,
    /// What was ordered.
    pub kind: Kind,
    /// How far the plan has come by it.
    pub stage: Stage,
    /// The plan stays where it is until somebody says otherwise.
    pub paused: bool,
    /// Who ordered it.
    pub by: String,
    /// Why.
    pub why: String,
    /// When, by the clock of whoever ordered.
    pub at: Micros,
}

/// The order of records: the greater holds. At one epoch the more cautious wins, so that of two operators who
/// order opposite things at once the one who pulls back does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Mark {
    /// From the record.
    pub epoch: u64,
    /// Grows as the share shrinks; a pause is more cautious than none, a rollback more than anything.
    pub caution: u32,
    /// From the record.
    pub id: u64,
}

/// Longest `by` and `why`.
const MOST_WORDS: usize = 300;

impl Record {
    /// Its place among the records of its function.
    pub fn mark(&self) -> Mark {
        let left = u32::from(Share::ALL.ten_thousandths() - self.share().ten_thousandths());
        let back = u32::from(self.stage == Stage::RolledBack);
        Mark { epoch: self.epoch, caution: 4 * left + 2 * back + u32::from(self.paused), id: self.id }
    }

    /// The new version's part of the calls, if nothing speaks against it.
    pub fn share(&self) -> Share {
        match self.stage {
            Stage::Step(at) => self.plan.steps.get(at).map_or(Share::NONE, |step| step.share),
            Stage::Promoted => Share::ALL,
            Stage::RolledBack => Share::NONE,
        }
    }

    /// Whether the plan has come to its end.
    pub fn is_over(&self) -> bool {
        !matches!(self.stage, Stage::Step(_))
    }

    /// The next record after this one.
    pub fn then(&self, kind: Kind, id: u64, at: Micros, by: &str, why: &str) -> Result<Self, String> {
        let (function, step) = (&self.plan.function, self.stage);
        let done =
            |word: &str| Err(format!("{function}: the plan is {word} already, at epoch {}", self.epoch));
        let stage = match (kind, step) {
            (Kind::Start, _) => return Err("a plan starts with a record of its own".into()),
            // Either way may be taken back as long as no other plan has begun.
            (Kind::RollBack, _) => Stage::RolledBack,
            (_, Stage::Promoted) => return done("promoted"),
            (_, Stage::RolledBack) => return done("rolled back"),
            (Kind::Promote, _) => Stage::Promoted,
            (Kind::Pause | Kind::Resume, _) => step,
            (Kind::Widen, Stage::Step(at)) if at + 1 < self.plan.steps.len() => Stage::Step(at + 1),
            (Kind::Widen, _) => return Err(format!("{function}: the plan is at its last step")),
        };
        let paused = kind == Kind::Pause;
        let (by, why) = (by.to_owned(), why.to_owned());
        Ok(Self { plan: self.plan.clone(), epoch: self.epoch + 1, id, kind, stage, paused, by, why, at })
    }

    /// The first record of a plan, after what was known of its function.
    pub fn start(
        plan: Plan,
        before: Option<&Self>,
        id: u64,
        at: Micros,
        by: &str,
        why: &str,
    ) -> Result<Self, String> {
        let function = &plan.function;
        if let Some(before) = before {
            let (old, new) = (&before.plan.old, &before.plan.new);
            let runs = match before.stage {
                Stage::Step(_) => {
                    return Err(format!(
                        "{function}: the shift from {old:?} to {new:?} is under way, at epoch {}; promote it or \
                         roll it back first",
                        before.epoch
                    ));
                }
                Stage::Promoted => new,
                Stage::RolledBack => old,
            };
            if *runs != plan.old {
                return Err(format!(
                    "{function} runs version {runs:?}, and the plan's old is {:?}",
                    plan.old
                ));
            }
        }
        let epoch = before.map_or(0, |before| before.epoch) + 1;
        let (by, why) = (by.to_owned(), why.to_owned());
        let (kind, stage) = (Kind::Start, Stage::Step(0));
        Ok(Self { plan, epoch, id, kind, stage, paused: false, by, why, at })
    }

    /// All that is wrong with it.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = self.plan.faults();
        if matches!(self.stage, Stage::Step(at) if at >= self.plan.steps.len()) {
            faults.push(format!("{:?} of a plan with {} steps", self.stage, self.plan.steps.len()));
        }
        for (part, words) in [("by", &self.by), ("why", &self.why)] {
            if words.len() > MOST_WORDS {
                faults.push(format!("{part} has more than {MOST_WORDS} bytes"));
            }
        }
        faults
    }
}
