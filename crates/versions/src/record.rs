//! Orders and their epochs.

use serde::{Deserialize, Serialize};

use crate::{Micros, Plan, Share};

/// Kind of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// Start a plan.
    Start,
    /// Go to the next step.
    Widen,
    /// Stay at this step.
    Pause,
    /// Continue after a pause.
    Resume,
    /// Give the new version all calls, and end the plan.
    Promote,
    /// Return all calls to the old version, and end the plan.
    RollBack,
}

impl OrderKind {
    /// The order as one word.
    pub fn as_str(self) -> &'static str {
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

/// Progress of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// At the step with this index.
    Step(usize),
    /// The new version has all calls.
    Promoted,
    /// The old version has all calls.
    RolledBack,
}

/// An order together with the complete resulting state, independent of all earlier records.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The plan.
    pub plan: Plan,
    /// Number of the order on this function, counted over all plans.
    pub epoch: u64,
    /// Random id of the order; tells a repeat of it from another order with the same epoch.
    pub id: u64,
    /// What was ordered.
    pub kind: OrderKind,
    /// Stage of the plan after the order.
    pub stage: Stage,
    /// Whether the plan stays at this step until another order.
    pub paused: bool,
    /// Who gave the order.
    pub by: String,
    /// The reason.
    pub why: String,
    /// When, by the clock of the one who gave the order.
    pub at: Micros,
}

/// Precedence of records: the greatest holds. Within one epoch the more cautious order wins, so that a
/// rollback prevails if two operators give opposite orders at the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Precedence {
    /// Epoch of the record.
    pub epoch: u64,
    /// Greater for a smaller share; at equal shares a pause is more cautious, and a rollback more than that.
    pub caution: u32,
    /// Id of the record.
    pub id: u64,
}

/// Longest `by` and `why`, in bytes.
const MAX_TEXT: usize = 300;

impl Record {
    /// Precedence among the records of its function.
    pub fn precedence(&self) -> Precedence {
        let left = u32::from(Share::ALL.ten_thousandths() - self.share().ten_thousandths());
        let back = u32::from(self.stage == Stage::RolledBack);
        Precedence { epoch: self.epoch, caution: 4 * left + 2 * back + u32::from(self.paused), id: self.id }
    }

    /// Share of the new version, unless a gateway deviates from it.
    pub fn share(&self) -> Share {
        match self.stage {
            Stage::Step(at) => self.plan.steps.get(at).map_or(Share::NONE, |step| step.share),
            Stage::Promoted => Share::ALL,
            Stage::RolledBack => Share::NONE,
        }
    }

    /// Whether the plan has ended.
    pub fn has_ended(&self) -> bool {
        !matches!(self.stage, Stage::Step(_))
    }

    /// The record of the next order after this one.
    pub fn next(&self, kind: OrderKind, id: u64, at: Micros, by: &str, why: &str) -> Result<Self, String> {
        let (function, step) = (&self.plan.function, self.stage);
        let done =
            |word: &str| Err(format!("{function}: the plan is {word} already, at epoch {}", self.epoch));
        let stage = match (kind, step) {
            (OrderKind::Start, _) => return Err("a plan starts with a record of its own".into()),
            // Any stage can be rolled back, even a promotion, while no other plan has started.
            (OrderKind::RollBack, _) => Stage::RolledBack,
            (_, Stage::Promoted) => return done("promoted"),
            (_, Stage::RolledBack) => return done("rolled back"),
            (OrderKind::Promote, _) => Stage::Promoted,
            (OrderKind::Pause | OrderKind::Resume, _) => step,
            (OrderKind::Widen, Stage::Step(at)) if at + 1 < self.plan.steps.len() => Stage::Step(at + 1),
            (OrderKind::Widen, _) => return Err(format!("{function}: the plan is at its last step")),
        };
        let paused = kind == OrderKind::Pause;
        let (by, why) = (by.to_owned(), why.to_owned());
        Ok(Self { plan: self.plan.clone(), epoch: self.epoch + 1, id, kind, stage, paused, by, why, at })
    }

    /// The first record of a plan, given the last known record of its function.
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
        let (kind, stage) = (OrderKind::Start, Stage::Step(0));
        Ok(Self { plan, epoch, id, kind, stage, paused: false, by, why, at })
    }

    /// All errors in the record.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = self.plan.faults();
        if matches!(self.stage, Stage::Step(at) if at >= self.plan.steps.len()) {
            faults.push(format!("{:?} of a plan with {} steps", self.stage, self.plan.steps.len()));
        }
        for (part, words) in [("by", &self.by), ("why", &self.why)] {
            if words.len() > MAX_TEXT {
                faults.push(format!("{part} has more than {MAX_TEXT} bytes"));
            }
        }
        faults
    }
}
