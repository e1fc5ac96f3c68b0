//! Rule 5: load orders within the ration.

use std::collections::BTreeMap;

use cresswheel_standins::{Record, RecordedEvent};

use super::limits::AuditLimits;
use super::verdict::RuleVerdict;

/// Times of events by gateway, in order.
type TimesByGateway<'a> = BTreeMap<&'a str, Vec<u64>>;

/// Judges all orders that workers read.
pub fn judge(records: &[Record], limits: &AuditLimits) -> RuleVerdict {
    let mut verdict = RuleVerdict::default();
    let (window, free, per_call) = limits.ration;
    if window == 0 {
        return verdict;
    }
    let calls = calls(records);
    let mut orders = TimesByGateway::new();
    for record in records {
        match &record.what {
            // A restarted gateway has a ration of its own.
            RecordedEvent::Scene { words } => {
                if let Some(gateway) = words.strip_prefix("start ") {
                    orders.remove(gateway);
                }
            }
            RecordedEvent::Hold { gateway, count: 1.., .. } => {
                verdict.checked += 1;
                orders.entry(gateway).or_default().push(record.at);
                // The transit counts in the gateway's favour.
                let since = record.at.saturating_sub(window);
                let given = count_within(&orders, gateway, since + limits.transit, record.at);
                let called = count_within(&calls, gateway, since.saturating_sub(limits.transit), record.at);
                if given as f64 > free + per_call * called as f64 {
                    verdict.violations.push(format!("{gateway} gave {given} orders for {called} calls"));
                }
            }
            _ => {}
        }
    }
    verdict
}

fn calls(records: &[Record]) -> TimesByGateway<'_> {
    let mut calls = TimesByGateway::new();
    for record in records {
        if let RecordedEvent::Asked { gateway, .. } = &record.what {
            calls.entry(gateway).or_default().push(record.at);
        }
    }
    calls
}

fn count_within(times: &TimesByGateway, gateway: &str, from: u64, to: u64) -> usize {
    let Some(times) = times.get(gateway) else { return 0 };
    times.partition_point(|at| *at <= to) - times.partition_point(|at| *at < from)
}
