//! Rule 4: no cold worker overloaded.

use std::collections::BTreeMap;

use cresswheel_standins::{Record, RecordedEvent};

use super::verdict::RuleVerdict;

/// A worker process from its start on.
struct Life {
    started: u64,
    /// Work that it can do when warm, in cores of standard speed.
    power: f64,
    /// While cold it collapses when it is sent more than this multiple of its present capacity ...
    fall_multiple: f64,
    /// ... over this time; 0: never.
    fall_window: u64,
    /// The share of its capacity that it begins with.
    cold_from: f64,
    /// Until it has all of it.
    warm_up: u64,
    /// When work was sent to it while it was cold, and how much.
    sent: Vec<(u64, u64)>,
    overloaded: bool,
}

impl Life {
    fn is_cold(&self, at: u64) -> bool {
        self.started != 0 && self.age(at) < self.warm_up && self.fall_window != 0
    }

    fn age(&self, at: u64) -> u64 {
        at.saturating_sub(self.started)
    }

    /// Adds work; returns its ratio to the capacity of the window, the first time that it is above 1.
    fn send(&mut self, at: u64, work: u64) -> Option<f64> {
        self.sent.push((at, work));
        let recent = self.sent.iter().filter(|(sent_at, _)| sent_at + self.fall_window >= at);
        let sent = recent.map(|(_, work)| work).sum::<u64>() as f64;
        let grown = self.age(at) as f64 / self.warm_up.max(1) as f64;
        let capacity = self.power * (self.cold_from + (1.0 - self.cold_from) * grown);
        let bearable = self.fall_multiple * capacity * self.fall_window as f64;
        if sent <= bearable || self.overloaded {
            return None;
        }
        self.overloaded = true;
        Some(sent / bearable)
    }
}

/// Judges the work that was sent to cold workers.
pub fn judge(records: &[Record]) -> RuleVerdict {
    let mut verdict = RuleVerdict::default();
    let mut lives: BTreeMap<&str, Life> = BTreeMap::new();
    for record in records {
        let worker = record.by.as_str();
        match &record.what {
            RecordedEvent::Started { started, .. } => {
                lives.extend(new_life(&record.what).map(|life| (worker, life)));
                verdict.checked += usize::from(*started > 0);
            }
            RecordedEvent::Run { work, .. } => {
                let Some(life) = lives.get_mut(worker) else { continue };
                if !life.is_cold(record.at) {
                    continue;
                }
                if let Some(times) = life.send(record.at, *work) {
                    verdict.violations.push(format!("{worker} was sent {times:.2} times what it bears"));
                }
            }
            RecordedEvent::Fell { .. } if lives.get(worker).is_none_or(|life| !life.overloaded) => {
                verdict.violations.push(format!("{worker} fell over"));
            }
            _ => {}
        }
    }
    verdict
}

fn new_life(what: &RecordedEvent) -> Option<Life> {
    let RecordedEvent::Started { started, power, fall_multiple, fall_window, cold_from, warm_up, .. } = what
    else {
        return None;
    };
    Some(Life {
        started: *started,
        power: *power,
        fall_multiple: *fall_multiple,
        fall_window: *fall_window,
        cold_from: *cold_from,
        warm_up: *warm_up,
        sent: Vec::new(),
        overloaded: false,
    })
}
