//! Calls of functions with versions: each ran one version, and its answer names that one.

use std::collections::{BTreeMap, BTreeSet};

use cresswheel_standins::{Record, RecordedEvent, digest};

use super::verdict::RuleVerdict;

/// Functions by the trace of a call.
type FunctionsByTrace<'a> = BTreeMap<&'a str, BTreeSet<&'a str>>;

/// What workers were asked to run, and what ran to its end, by the bytes.
#[derive(Default)]
struct Runs<'a> {
    requested: FunctionsByTrace<'a>,
    completed: FunctionsByTrace<'a>,
}

impl<'a> Runs<'a> {
    fn of(records: &'a [Record]) -> Self {
        let mut runs = Self::default();
        for record in records {
            match &record.what {
                RecordedEvent::Run { trace, function, .. } => {
                    runs.requested.entry(trace).or_default().insert(function);
                }
                RecordedEvent::Ran { trace, ending, image, .. } if ending == "ok" => {
                    runs.completed.entry(trace).or_default().insert(image);
                }
                _ => {}
            }
        }
        runs
    }
}

/// Functions with versions have them behind an `@` in the names that workers read.
fn is_versioned(function: &str) -> bool {
    function.contains('@')
}

/// Judges all calls of functions with versions; counts the served ones by version.
pub fn judge(records: &[Record]) -> (RuleVerdict, BTreeMap<String, usize>) {
    let runs = Runs::of(records);
    let mut verdict = RuleVerdict::default();
    let mut served: BTreeMap<String, usize> = BTreeMap::new();
    for (trace, names) in &runs.requested {
        if !names.iter().any(|name| is_versioned(name)) {
            continue;
        }
        verdict.checked += 1;
        if names.len() > 1 {
            verdict.violations.push(format!("{trace} went to workers as {names:?}"));
        }
    }
    for record in records {
        let RecordedEvent::Answered { trace, status, function, digest, .. } = &record.what else { continue };
        if status == "served" && is_versioned(function) {
            *served.entry(function.clone()).or_default() += 1;
            verdict.violations.extend(answer_faults(&runs, trace, function, digest));
        }
    }
    (verdict, served)
}

fn answer_faults(runs: &Runs, trace: &str, function: &str, told_digest: &str) -> Vec<String> {
    let mut faults = Vec::new();
    if !contains(&runs.requested, trace, function) {
        faults.push(format!("{trace} was answered by {function}, which no worker was asked for"));
    }
    if !contains(&runs.completed, trace, function) || told_digest != digest(function) {
        faults.push(format!("{trace} was answered as {function} {told_digest}, and other bytes ran"));
    }
    faults
}

fn contains(functions: &FunctionsByTrace, trace: &str, function: &str) -> bool {
    functions.get(trace).is_some_and(|functions| functions.contains(function))
}
