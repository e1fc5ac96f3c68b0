//! Rule 2: no effect twice.

use std::collections::BTreeMap;

use cresswheel_standins::{Record, RecordedEvent};

use super::history::{Attempt, History};
use super::limits::AuditLimits;
use super::verdict::RuleVerdict;

/// Which workers drop repeats of a call by its key.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Group {
    None,
    Zone,
    Cell,
    All,
}

/// When a call may run again.
#[derive(Clone, Copy)]
struct Repeats {
    group: Group,
    /// How long the group remembers the key, in microseconds.
    memory: u64,
}

impl Repeats {
    /// From the words of a class's effect; `None`: its calls are safe, and may run any number of times.
    fn of(effect: &str) -> Option<Self> {
        let parts: Vec<&str> = effect.split(' ').collect();
        let (group, memory_ms) = match parts[..] {
            ["safe"] => return None,
            ["keyed", "all", ms] => (Group::All, ms),
            ["keyed", "zone", ms] => (Group::Zone, ms),
            ["keyed", "cell", ms] => (Group::Cell, ms),
            _ => (Group::None, "0"),
        };
        Some(Self { group, memory: memory_ms.parse::<u64>().unwrap_or(0) * 1_000 })
    }
}

/// Where a worker is.
#[derive(Clone, Default, PartialEq)]
struct Location {
    zone: String,
    cell: u64,
}

/// Judges the attempts of all calls that are not safe to repeat.
pub fn judge(history: &History, records: &[Record], limits: &AuditLimits) -> RuleVerdict {
    let locations = locations(records);
    let mut verdict = RuleVerdict::default();
    for (trace, attempts) in &history.attempts {
        let call = history.calls.get(trace);
        let class = call.map_or("", |call| call.class.as_str());
        let effect = limits.effects.get(class).map_or("unsafe", String::as_str);
        let Some(repeats) = Repeats::of(effect) else { continue };
        verdict.checked += 1;
        let refused = call.is_some_and(|call| call.answers.iter().any(|answer| answer.status == "refused"));
        let judged = Judged { attempts, repeats, refused, locations: &locations, transit: limits.transit };
        verdict
            .violations
            .extend(judged.faults().into_iter().map(|fault| format!("{trace}: {class} {fault}")));
    }
    verdict
}

fn locations(records: &[Record]) -> BTreeMap<String, Location> {
    let location = |record: &Record| match &record.what {
        RecordedEvent::Started { zone, cell, .. } => {
            Some((record.by.clone(), Location { zone: zone.clone(), cell: *cell }))
        }
        _ => None,
    };
    records.iter().filter_map(location).collect()
}

/// One call with all that its judgement needs.
struct Judged<'a> {
    attempts: &'a [Attempt],
    repeats: Repeats,
    refused: bool,
    locations: &'a BTreeMap<String, Location>,
    transit: u64,
}

impl Judged<'_> {
    fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let began = self.attempts.iter().filter(|attempt| attempt.began).count();
        let wrongly_refused = self.refused && self.repeats.group != Group::All;
        if self.repeats.group == Group::None && began > 1 {
            faults.push(format!("ran {began} times"));
        }
        if wrongly_refused && began > 0 {
            faults.push("ran and was refused".into());
        }
        for (number, attempt) in self.attempts.iter().enumerate() {
            if attempt.provably_never_ran() {
                continue;
            }
            let worker = &attempt.worker;
            if wrongly_refused && !attempt.began && attempt.ending.is_none() {
                faults.push(format!("was refused while {worker} may have run it"));
            }
            let later = self.attempts[number + 1..].iter();
            let repeated = later.filter(|later| !self.may_repeat(attempt, later));
            faults.extend(
                repeated.map(|later| format!("went to {} after {worker} may have run it", later.worker)),
            );
        }
        faults
    }

    /// Whether the later attempt is within the group and memory of the earlier one's key.
    fn may_repeat(&self, earlier: &Attempt, later: &Attempt) -> bool {
        let location = |worker: &str| self.locations.get(worker).cloned().unwrap_or_default();
        let (from, to) = (location(&earlier.worker), location(&later.worker));
        let in_group = match self.repeats.group {
            Group::All => true,
            Group::Zone => from.zone == to.zone,
            Group::Cell => from.cell == to.cell,
            Group::None => false,
        };
        in_group && later.at <= earlier.at + self.repeats.memory + self.transit
    }
}
