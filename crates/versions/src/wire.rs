//! What the operator's tool asks a gateway, and what it hears.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Hold, Mark, Micros, Record, Share};

/// Answers of one version to calls of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Final answers.
    pub answered: u64,
    /// Those that were not served.
    pub errors: u64,
    /// Those that were served beyond the class's aim.
    pub late: u64,
    /// Those that were not served, or served by a further attempt after the function had failed.
    pub erred: u64,
}

/// How a call ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served within its class's aim.
    InTime,
    /// Served later.
    Late,
    /// Refused or failed.
    NotServed,
}

impl Tally {
    /// What came after `before` was taken down.
    pub fn since(&self, before: &Self) -> Self {
        Self {
            answered: self.answered.saturating_sub(before.answered),
            errors: self.errors.saturating_sub(before.errors),
            late: self.late.saturating_sub(before.late),
            erred: self.erred.saturating_sub(before.erred),
        }
    }

    /// Both together.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            answered: self.answered.saturating_add(other.answered),
            errors: self.errors.saturating_add(other.errors),
            late: self.late.saturating_add(other.late),
            erred: self.erred.saturating_add(other.erred),
        }
    }
}

/// A question to a gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Question {
    /// Take this order.
    Order(Box<Record>),
    /// What holds there, for one function or all.
    Status(Option<String>),
    /// The one who conducts is still there: the order of this mark stays in force.
    Renew(String, Mark),
    /// The last orders on a function, oldest first.
    History(String),
}

/// A gateway's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// What holds there now.
    Status(Vec<Status>),
    /// Orders that it took.
    History(Vec<Record>),
    /// It does not do so, and why.
    Refused(String),
}

/// What a gateway does about a function.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The gateway.
    pub gateway: String,
    /// Tells its lives apart: counts begin at nothing in each.
    pub life: u64,
    /// The order that it holds.
    pub record: Record,
    /// The share in force there.
    pub share: Share,
    /// Why that is not the order's.
    pub hold: Option<Hold>,
    /// Since when it has heard nothing of the order.
    pub unheard: Micros,
    /// Answers since its start, by class: of the old version, of the new.
    pub answers: BTreeMap<String, [Tally; 2]>,
    /// Calls that both versions answered, and those among them whose answers differed.
    #[serde(default)]
    pub compared: [u64; 2],
    /// What workers said that they ran: by routed name and digest, answers.
    pub ran: BTreeMap<String, BTreeMap<String, u64>>,
    /// Answers of workers that ran something else than they were asked for.
    pub wrong: u64,
}
