//! Requests of the operator's tool to a gateway, and the replies.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Micros, Precedence, Record, Share, ShareOverride};

/// Counts of one version's answers to calls of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Final answers.
    pub answered: u64,
    /// Answers to calls that were not served.
    pub errors: u64,
    /// Answers to calls that were served after the class's latency objective.
    pub late: u64,
    /// Answers to calls that were not served, or were served by a further attempt after the function had
    /// failed.
    pub erred: u64,
}

/// How a call ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served within the latency objective of its class.
    InTime,
    /// Served later.
    Late,
    /// Refused or failed.
    NotServed,
}

impl Tally {
    /// The counts since `before`, an earlier state of this tally.
    pub fn since(&self, before: &Self) -> Self {
        Self {
            answered: self.answered.saturating_sub(before.answered),
            errors: self.errors.saturating_sub(before.errors),
            late: self.late.saturating_sub(before.late),
            erred: self.erred.saturating_sub(before.erred),
        }
    }

    /// The sum of both.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            answered: self.answered.saturating_add(other.answered),
            errors: self.errors.saturating_add(other.errors),
            late: self.late.saturating_add(other.late),
            erred: self.erred.saturating_add(other.erred),
        }
    }
}

/// A request to a gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VersionRequest {
    /// Accept this order.
    Order(Box<Record>),
    /// Report the state of one function or of all.
    Status(Option<String>),
    /// The conductor of the order with this mark is still active: renews the lease.
    Renew(String, Precedence),
    /// Report the last orders on a function, oldest first.
    History(String),
}

/// A gateway's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VersionReply {
    /// The current state.
    Status(Vec<Status>),
    /// Orders that it accepted.
    History(Vec<Record>),
    /// It refuses the request, with the reason.
    Refused(String),
}

/// State of a function at a gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the gateway.
    pub gateway: String,
    /// Process incarnation of the gateway: counts start at zero in each.
    pub life: u64,
    /// The order in force.
    pub record: Record,
    /// Share of the new version that the gateway applies.
    pub share: Share,
    /// Why that is not the order's share.
    pub hold: Option<ShareOverride>,
    /// Time since the gateway last heard of the order's conductor.
    pub unheard: Micros,
    /// Answers since the gateway's start by class, of the old and the new version.
    pub answers: BTreeMap<String, [Tally; 2]>,
    /// Calls that both versions answered, and the number of them with differing answers.
    #[serde(default)]
    pub compared: [u64; 2],
    /// Number of answers by what workers report to have run: routed name, then digest.
    pub ran: BTreeMap<String, BTreeMap<String, u64>>,
    /// Answers of workers that ran something else than requested.
    pub wrong: u64,
}
