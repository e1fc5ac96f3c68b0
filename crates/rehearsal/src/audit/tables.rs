//! What became of the calls of each class, and what the workers' instances cost.

use std::collections::BTreeMap;

use cresswheel_standins::{Record, RecordedEvent};

use super::history::{Answer, Call, History};
use super::limits::AuditLimits;
use super::verdict::{ClassTable, InstanceCost};

/// A table for each class.
pub fn by_class(history: &History, limits: &AuditLimits) -> BTreeMap<String, ClassTable> {
    let mut tables: BTreeMap<String, ClassTable> = BTreeMap::new();
    for call in history.calls.values() {
        let table = tables.entry(call.class.clone()).or_default();
        let aim = limits.aims.get(&call.class).copied().unwrap_or(u64::MAX);
        add_call(table, call, aim);
    }
    tables.values_mut().for_each(|table| table.took.sort());
    tables
}

fn add_call(table: &mut ClassTable, call: &Call, aim: u64) {
    table.asked += 1;
    match call.answers.first() {
        Some(answer) => add_answer(table, answer, answer.at.saturating_sub(call.asked), aim),
        None if call.left => table.left += 1,
        None => table.gone += 1,
    }
}

fn add_answer(table: &mut ClassTable, answer: &Answer, took: u64, aim: u64) {
    let Answer { status, reason, .. } = answer;
    match status.as_str() {
        "served" => {
            table.took.push(took);
            *(if took <= aim { &mut table.in_time } else { &mut table.late }) += 1;
            return;
        }
        "refused" => table.refused += 1,
        _ => table.failed += 1,
    }
    *table.reasons.entry(format!("{status}: {reason}")).or_default() += 1;
}

/// Memory that a worker's instances use from a time on.
#[derive(Clone, Copy)]
struct Usage {
    since: u64,
    mb: u32,
}

impl Usage {
    /// In MB microseconds.
    fn until(self, at: u64) -> f64 {
        f64::from(self.mb) * at.saturating_sub(self.since) as f64
    }
}

/// What the workers' instances cost.
pub fn instance_cost(records: &[Record]) -> InstanceCost {
    let mut usage: BTreeMap<&str, Usage> = BTreeMap::new();
    let (mut mb_us, mut load_orders) = (0.0, 0);
    for record in records {
        let mb = match record.what {
            RecordedEvent::Memory { mb } => mb,
            // A restarted process begins with nothing.
            RecordedEvent::Started { .. } => 0,
            RecordedEvent::Hold { count: 1.., .. } => {
                load_orders += 1;
                continue;
            }
            _ => continue,
        };
        let before = usage.insert(&record.by, Usage { since: record.at, mb });
        mb_us += before.map_or(0.0, |before| before.until(record.at));
    }
    let end = records.last().map_or(0, |record| record.at);
    mb_us += usage.into_values().map(|last| last.until(end)).sum::<f64>();
    InstanceCost { memory_gb_s: mb_us / 1e9, load_orders }
}
