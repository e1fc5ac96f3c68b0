//! A plan and helpers for the tests.
#![allow(dead_code)]

use cresswheel_versions::*;

pub const SECOND: u64 = 1_000_000;

pub fn step(share: u16, hold: u64) -> Step {
    Step { share: Share::new(share).unwrap(), hold }
}

/// Steps of 1, 10 and 100 percent for ten seconds each.
pub fn plan() -> Plan {
    Plan {
        steps: vec![step(100, 10 * SECOND), step(1_000, 10 * SECOND), step(10_000, 10 * SECOND)],
        guard: Guard { least: 50, settle: 2 * SECOND, ..Guard::new(vec!["estimate".into(), "post".into()]) },
        lease: 30 * SECOND,
        preload: 5 * SECOND,
        keep_old: 60 * SECOND,
        ..Plan::new("arrears", "7", "8", [3, 4])
    }
}

pub fn start() -> Record {
    Record::start(plan(), None, 1, 0, "ann", "").unwrap()
}

pub fn then(record: &Record, kind: OrderKind, id: u64) -> Record {
    record.next(kind, id, 0, "ann", "").unwrap()
}

pub fn account(name: &str) -> CallerIdentity<'_> {
    CallerIdentity { account: name, ..CallerIdentity::default() }
}
