//! What is printed of records, statuses and answers.

use std::collections::BTreeMap;

use cresswheel_versions::{Record, ShareOverride, Side, Stage, Status, Tally};

/// A record in a line.
pub fn describe(record: &Record) -> String {
    let plan = &record.plan;
    let stage = match record.stage {
        Stage::Step(at) => format!("step {} of {}, {}", at + 1, plan.steps.len(), record.share()),
        Stage::Promoted => "promoted".into(),
        Stage::RolledBack => "rolled back".into(),
    };
    let paused = if record.paused { ", paused" } else { "" };
    let by = if record.by.is_empty() { String::new() } else { format!(" by {}", record.by) };
    let why = if record.why.is_empty() { String::new() } else { format!(": {}", record.why) };
    let (old, new) = (plan.routed_name(Side::Old), plan.routed_name(Side::New));
    format!("epoch {} {}: {old} to {new}, {stage}{paused}{by}{why}", record.epoch, record.kind.as_str())
}

/// Why a gateway does not do as its record says.
pub fn describe_hold(hold: &ShareOverride) -> String {
    match hold {
        ShareOverride::Loading => "loads the new version".into(),
        ShareOverride::LoadsFail => "can't load the new version".into(),
        ShareOverride::Lapsed => "heard nothing for its lease, went back to the old version".into(),
        ShareOverride::Braked(why) => format!("went back to the old version by its own figures: {why}"),
    }
}

/// Prints what holds at a gateway.
pub fn print_status(name: &str, status: &Status) {
    let hold = status.hold.as_ref().map_or(String::new(), |hold| format!(" ({})", describe_hold(hold)));
    println!("{name} {}: {} to the new version{hold}", status.gateway, status.share);
    println!("  {}", describe(&status.record));
    print_tallies(&status.record, &status.answers);
    for (routed, digests) in &status.ran {
        for (digest, count) in digests {
            println!("  ran {routed} {digest}: {count}");
        }
    }
    let [pairs, differ] = status.compared;
    if pairs > 0 {
        println!("  {differ} of {pairs} answers differ from the old version's to the same call");
    }
    if status.wrong > 0 {
        println!("  {} answers came from other versions than were asked for", status.wrong);
    }
}

/// Prints the answers by class and version.
pub fn print_tallies(record: &Record, answers: &BTreeMap<String, [Tally; 2]>) {
    for (class, both) in answers {
        for (side, tally) in [Side::Old, Side::New].into_iter().zip(both) {
            let Tally { answered, errors, late, erred } = tally;
            let routed = record.plan.routed_name(side);
            println!(
                "  {class} by {routed}: {answered} answered, {errors} not served, {late} late, {erred} erred"
            );
        }
    }
}
