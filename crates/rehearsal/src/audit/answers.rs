//! Rule 1: one final answer for each call, before its client's deadline.

use super::history::{Call, History, LostGateway};
use super::limits::AuditLimits;
use super::verdict::RuleVerdict;

/// Judges the answers of all calls.
pub fn judge(history: &History, limits: &AuditLimits) -> RuleVerdict {
    let mut violations = history.stray_answers.clone();
    for (trace, call) in &history.calls {
        if call.answers.len() > 1 {
            violations.push(format!("{trace}: {} answers", call.answers.len()));
        }
        violations.extend(fault(history, limits, call).map(|fault| format!("{trace}: {fault}")));
    }
    RuleVerdict { checked: history.calls.len(), violations }
}

/// What is wrong with the first answer of a call, or with its absence.
fn fault(history: &History, limits: &AuditLimits, call: &Call) -> Option<String> {
    if let Some(answer) = call.answers.first() {
        let late = answer.at > call.deadline + limits.answer_slack;
        return late
            .then(|| format!("{} {} us after the deadline", answer.status, answer.at - call.deadline));
    }
    if let Some(lost) = call.lost {
        let excused = lost.unreached || was_stopped(history, limits, &call.gateway, lost);
        return (!excused).then(|| format!("{} closed its connection unasked", call.gateway));
    }
    (!call.left).then(|| "no answer".into())
}

/// A gateway owes nothing for what it held when it was killed; any other loss is its own.
fn was_stopped(history: &History, limits: &AuditLimits, gateway: &str, lost: LostGateway) -> bool {
    let mut ends = history.gateway_ends.get(gateway).into_iter().flatten();
    ends.any(|end| *end <= lost.at + limits.transit)
}
