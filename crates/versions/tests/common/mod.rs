//! A plan to begin with.
#![allow(dead_code)]

use cresswheel_versions::*;

pub const S: u64 = 1_000_000;

pub fn step(share: u16, hold: u64) -> Step {
    Step { share: Share::new(share).unwrap(), hold }
}

/// 1, 10, 100 percent, ten seconds each.
pub fn plan() -> Plan {
    Plan {
        steps: vec![step(100, 10 * S), step(1_000, 10 * S), step(10_000, 10 * S)],
        guard: Guard { least: 50, settle: 2 * S, ..Guard::new(vec!["estimate".into(), "post".into()]) },
        lease: 30 * S,
        preload: 5 * S,
        keep_old: 60 * S,
        ..Plan::new("arrears", "7", "8", [3, 4])
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
