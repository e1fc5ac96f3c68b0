//! A plan to begin with.
#![allow(dead_code)]

use cresswheel_versions::*;

pub const S: u64 = 1_000_000;

pub fn step(share: u16, hold: u64) -> Step {
    Step { share: Share::new(share).unwrap(), hold }
}

/// 1, 10, 100 percent, ten seconds each.
pub fn plan() -> Plan {
    let classes = vec!["estimate".into(), "post".into()];
    Plan {
        function: "arrears".into(),
        old: "7".into(),
        new: "8".into(),
        old_digest: String::new(),
        new_digest: String::new(),
        stick: Stick::Account,
        salt: [3, 4],
        steps: vec![step(100, 10 * S), step(1_000, 10 * S), step(10_000, 10 * S)],
        guard: Guard { classes, false_alarm: 0.01, worse: 1.5, least: 50, settle: 2 * S, compare: None },
        lease: 30 * S,
        preload: 5 * S,
        keep_old: 60 * S,
    }
}

pub fn start() -> Record {
    Record::start(plan(), None, 1, 0, "ann", "").unwrap()
}

pub fn then(record: &Record, kind: Kind, id: u64) -> Record {
    record.then(kind, id, 0, "ann", "").unwrap()
}

pub fn account(name: &str) -> Callers<'_> {
    Callers { account: name, ..Callers::default() }
}
