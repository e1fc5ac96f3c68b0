//! Rule 3: nothing new to a draining or gone worker past the grace.

use std::collections::{BTreeMap, BTreeSet};

use cresswheel_standins::{Record, RecordedEvent};

use super::limits::AuditLimits;
use super::verdict::RuleVerdict;

/// What the worker list told each gateway.
#[derive(Default)]
struct Membership<'a> {
    /// By gateway and worker: since when the gateway knows that the worker drains or is gone.
    barred_since: BTreeMap<(&'a str, &'a str), u64>,
    /// By gateway: the workers that it was ever told of.
    known: BTreeMap<&'a str, BTreeSet<&'a str>>,
}

impl<'a> Membership<'a> {
    fn update(&mut self, at: u64, gateway: &'a str, whole: bool, workers: &'a [(String, String)]) {
        let known = self.known.entry(gateway).or_default();
        if whole {
            let named: BTreeSet<&str> = workers.iter().map(|(worker, _)| worker.as_str()).collect();
            for gone in known.difference(&named) {
                self.barred_since.entry((gateway, gone)).or_insert(at);
            }
        }
        for (worker, state) in workers {
            known.insert(worker);
            if state == "in" {
                self.barred_since.remove(&(gateway, worker.as_str()));
            } else {
                self.barred_since.entry((gateway, worker)).or_insert(at);
            }
        }
    }

    /// A restarted gateway knows only what it is told from now on.
    fn forget(&mut self, gateway: &str) {
        self.barred_since.retain(|(of, _), _| *of != gateway);
        self.known.remove(gateway);
    }
}

/// Judges all attempts and orders that workers read.
pub fn judge(records: &[Record], limits: &AuditLimits) -> RuleVerdict {
    let mut verdict = RuleVerdict::default();
    let mut membership = Membership::default();
    for record in records {
        match &record.what {
            RecordedEvent::Told { gateway, whole, workers } => {
                membership.update(record.at, gateway, *whole, workers);
            }
            RecordedEvent::Scene { words } => {
                if let Some(gateway) = words.strip_prefix("start ") {
                    membership.forget(gateway);
                }
            }
            RecordedEvent::Run { gateway, .. } | RecordedEvent::Hold { gateway, count: 1.., .. } => {
                verdict.checked += 1;
                let worker = &record.by;
                let since = membership.barred_since.get(&(gateway.as_str(), worker.as_str()));
                let allowed = limits.drain_grace + limits.transit;
                if let Some(since) = since.filter(|since| record.at > *since + allowed) {
                    let late_ms = (record.at - since) / 1_000;
                    verdict
                        .violations
                        .push(format!("{gateway} sent to {worker} {late_ms} ms after it was told"));
                }
            }
            _ => {}
        }
    }
    verdict
}
