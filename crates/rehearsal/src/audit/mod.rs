//! The auditor: judges the five rules from records of clients, workers and the list.
//!
//! It trusts no gateway: it has no record of one. Clocks are those of one machine. The time that frames are
//! on the wire is allowed for with `transit` in the gateway's favour, and no more.

mod answers;
mod cold_starts;
mod drains;
mod effects;
mod history;
mod limits;
mod ration;
mod records;
mod report;
mod tables;
mod verdict;
mod versions;

use cresswheel_standins::Record;

use history::{Call, History};
pub use limits::AuditLimits;
pub use records::read_records;
pub use verdict::{ClassTable, InstanceCost, RuleVerdict, Verdict};

/// The rules by number.
pub const RULES: [&str; 5] = [
    "one final answer for each call, before its client's deadline",
    "no effect twice",
    "nothing new to a draining or gone worker past the grace",
    "no cold worker pushed over",
    "load orders within the ration",
];

/// Judges records, which must be in the order of time.
pub fn audit(records: &[Record], limits: &AuditLimits) -> Verdict {
    let history = History::of(records);
    let (versions, served) = versions::judge(records);
    Verdict {
        rules: [
            answers::judge(&history, limits),
            effects::judge(&history, records, limits),
            drains::judge(records, limits),
            cold_starts::judge(records),
            ration::judge(records, limits),
        ],
        classes: tables::by_class(&history, limits),
        unreadable: Vec::new(),
        versions,
        served,
        instances: tables::instance_cost(records),
        deferred_lost: history.calls.values().filter(|call| is_deferred_lost(call)).count(),
    }
}

/// Whether a deferred call was accepted and lost with its gateway.
fn is_deferred_lost(call: &Call) -> bool {
    call.accepted && call.lost.is_some_and(|lost| !lost.unreached)
}
