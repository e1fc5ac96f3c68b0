//! What the auditor says of a measurement, and what became of the calls of each wave.

use std::fmt::Write;
use std::path::Path;

use cresswheel_rehearsal::{AuditLimits, ClassTable, RULES, Verdict, audit, read_records};
use cresswheel_standins::{Record, RecordedEvent};

use super::classes::{CLASSES, Class};
use super::{ClassOutcome, Found, IdleSettings, Wave};

/// So many violations of a rule are shown.
const SHOWN: usize = 5;
/// Points of a plot of times.
const POINTS: u32 = 200;

/// Judges all records in the folder. The waves that count come after so many others.
pub fn judge(folder: &Path, found: &mut Found, before: usize, settings: &IdleSettings) -> anyhow::Result<()> {
    let limits = limits();
    let (records, unreadable) = read_records(&folder.join("records"))?;
    let verdict = Verdict { unreadable, ..audit(&records, &limits) };
    found.passed = verdict.is_passed();
    found.verdict = rules_text(&verdict)?;
    let first = before + 1;
    found.waves = (0..settings.waves).map(|number| wave(&records, &limits, first + number)).collect();
    found.all = wave(&records, &limits, first + settings.waves);
    Ok(())
}

fn limits() -> AuditLimits {
    let effect = |class: &Class| (class.name.to_owned(), class.effect.to_owned());
    let aim = |class: &Class| (class.name.to_owned(), class.aim_ms * 1_000);
    AuditLimits {
        effects: CLASSES.iter().map(effect).collect(),
        aims: CLASSES.iter().map(aim).collect(),
        answer_slack: 8_000,
        drain_grace: 1_000_000,
        ration: (0, 0.0, 0.0),
        transit: 100_000,
    }
}

fn rules_text(verdict: &Verdict) -> anyhow::Result<String> {
    let mut text = String::new();
    for (number, rule) in verdict.rules.iter().enumerate() {
        let word = if rule.violations.is_empty() { "held" } else { "BROKEN" };
        writeln!(text, "rule {}: {word} on {} ({})", number + 1, rule.checked, RULES[number])?;
        for violation in rule.violations.iter().take(SHOWN) {
            writeln!(text, "    {violation}")?;
        }
    }
    Ok(text)
}

/// The wave of this number, by the traces of its calls.
fn wave(records: &[Record], limits: &AuditLimits, number: usize) -> Wave {
    let prefix = format!("w{number}-");
    let is_of_wave = |record: &&Record| client_trace(record).is_some_and(|trace| trace.starts_with(&prefix));
    let records: Vec<Record> = records.iter().filter(is_of_wave).cloned().collect();
    let tables = audit(&records, limits).classes;
    let classes: Vec<_> = tables.into_iter().map(|(class, table)| outcome(class, table)).collect();
    Wave { asked: classes.iter().map(|class| class.asked).sum(), classes }
}

/// The trace of a call in a client's record.
fn client_trace(record: &Record) -> Option<&str> {
    match &record.what {
        RecordedEvent::Asked { trace, .. }
        | RecordedEvent::Answered { trace, .. }
        | RecordedEvent::GatewayGone { trace, .. } => Some(trace),
        _ => None,
    }
}

fn outcome(class: String, table: ClassTable) -> ClassOutcome {
    let ClassTable { asked, in_time, late, refused, failed, mut took, .. } = table;
    took.sort_unstable();
    let at = |quantile: f64| match took.len() {
        0 => 0.0,
        count => took[((count as f64 * quantile).ceil() as usize).clamp(1, count) - 1] as f64 / 1e3,
    };
    let quantiles_ms = [0.5, 0.9, 0.99, 0.999, 1.0].map(at);
    let times_ms = (1..=POINTS).map(|point| at(f64::from(point) / f64::from(POINTS))).collect();
    ClassOutcome { class, asked, in_time, late, refused, failed, quantiles_ms, times_ms }
}
