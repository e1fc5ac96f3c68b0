//! Decides right before sending whether an attempt or order may still be sent.
//!
//! The dispatcher chooses workers by what is known at that moment. The bytes are sent later: at the end of
//! the loop iteration, once a connection is established, or after a pause of the process. Meanwhile the
//! client may have disconnected, the deadline passed, the worker begun to drain, or the worker list become
//! too old to rely on. This module alone decides whether something may still be sent. The drivers ask right
//! before sending ([`crate::Engine::may_send`]) and report what they sent ([`crate::Engine::record_sent`]);
//! violations are counted.
//!
//! Invariants:
//! - nothing new is sent to a worker that is leaving by the worker list or by its own report;
//! - nothing new is sent to a worker about which responses of the list service contradict each other;
//! - a list is relied on only until an event that it lacks could be past its grace period;
//! - a worker's report that it serves counts as a list of that worker alone, as of the time of the probe.
//!
//! Reports of workers and the times passed by the driver are trusted.

use std::collections::{BTreeMap, BTreeSet};

use cresswheel::{Micros, WorkerId};
use cresswheel_protocol::MemberState;

/// If the last response took at most this long, and the next poll was sent at most this long after the
/// answered one, the list was current until the list service stopped responding.
const MAX_CURRENT_DELAY: Micros = 500_000;
/// Allows for the time between the decision and the send, and for clock skew between machines.
const SEND_MARGIN: Micros = 100_000;
/// How long a worker that left the list is remembered, to detect sends to it that break the rules.
const LEAVING_RETENTION: Micros = 60_000_000;

/// Whether something may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendDecision {
    /// It may be sent now.
    Allow,
    /// Not yet: more information is needed first.
    Defer(MissingEvidence),
    /// It must not be sent any more: cancel it.
    Deny(DenyReason),
}

/// The information that is needed before something may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MissingEvidence {
    /// A response of the list service.
    ListResponse,
    /// The worker's report that it serves.
    WorkerReport,
    /// Responses of the list service that agree about the worker.
    AgreeingResponses,
    /// What the client has sent since: it may have canceled the call. Only the driver knows.
    ClientInput,
}

/// Why something must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DenyReason {
    /// The call was answered, or its client disconnected.
    CallEnded,
    /// The call's deadline has passed.
    DeadlinePassed,
    /// The workers may no longer remember the call's earlier attempt, so a retry might run twice.
    RetryWindowPassed,
    /// The worker is draining or gone.
    WorkerLeaving,
}

impl DenyReason {
    /// The name used in logs and counters.
    pub fn word(self) -> &'static str {
        match self {
            Self::CallEnded => "call-over",
            Self::DeadlinePassed => "deadline-passed",
            Self::RetryWindowPassed => "memory-passed",
            Self::WorkerLeaving => "worker-leaves",
        }
    }
}

/// How long the worker list may be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListValidity {
    /// An event counts as notified at most this long after it happened, whether or not a response reported
    /// it.
    pub notified_within: Micros,
    /// The same while the list service does not respond, counted from the start of the silence.
    pub notified_within_in_silence: Micros,
    /// Grace period: how long after the notification that a worker is leaving new work may still be sent to
    /// it.
    pub drain_grace: Micros,
    /// This many consecutive polls without a response count as a silence of the service, not as lost
    /// messages.
    pub silent_after_polls: u32,
    /// Workers can be probed for whether they serve.
    pub can_probe_workers: bool,
}

impl ListValidity {
    /// How long a list or a worker's report may be relied on: until an event right after it counts as
    /// notified and its grace period is over.
    fn valid_for(&self) -> Micros {
        (self.notified_within + self.drain_grace).saturating_sub(SEND_MARGIN)
    }

    fn valid_in_silence(&self) -> Micros {
        (self.notified_within_in_silence + self.drain_grace).saturating_sub(SEND_MARGIN)
    }
}

/// How current the worker list is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListAge {
    /// The list contains all events up to this time, at which the answered poll was sent.
    pub as_of: Micros,
    /// When the response to that poll arrived.
    pub received_at: Micros,
    /// When the first poll after that one was sent.
    pub next_poll_at: Option<Micros>,
    /// When the first poll after that one without a response was sent.
    pub first_missing_poll_at: Option<Micros>,
    /// Polls sent since the last response.
    pub unanswered_polls: u32,
    /// Polling was interrupted since then by a pause of this process.
    pub polling_interrupted: bool,
}

impl ListAge {
    /// How long the last accepted response took.
    fn latency(&self) -> Micros {
        self.received_at.saturating_sub(self.as_of)
    }

    /// The list service responds, but late.
    fn is_slow(&self) -> bool {
        self.latency() > MAX_CURRENT_DELAY
    }

    /// The list was current when the first poll without a response was sent.
    fn was_current_until_silence(&self) -> bool {
        let kept_polling =
            self.next_poll_at.is_some_and(|first| first.saturating_sub(self.as_of) <= MAX_CURRENT_DELAY);
        kept_polling && !self.polling_interrupted && !self.is_slow()
    }
}

/// The age of the list, the reports of workers and the disputed workers.
#[derive(Debug, Default)]
pub(crate) struct SendGate {
    terms: Option<ListValidity>,
    age: ListAge,
    /// Workers that reported to serve, with the time of the probe.
    serving_reports: BTreeMap<WorkerId, Micros>,
    /// Workers that reported to be leaving, with the time of the probe; the list may lack this still.
    leaving_reports: BTreeMap<WorkerId, Micros>,
    /// Since when the list has shown a worker as draining or gone.
    leaving_since: BTreeMap<WorkerId, Micros>,
    /// Since when responses of the list service contradict each other about a worker.
    disputed_since: BTreeMap<WorkerId, Micros>,
}

impl SendGate {
    /// Limits from now on how long the list may be relied on.
    pub fn limit_list_age(&mut self, terms: ListValidity, age: ListAge) {
        (self.terms, self.age) = (Some(terms), age);
    }

    /// Updates the age of the list.
    pub fn update_list_age(&mut self, age: ListAge) {
        self.age = age;
    }

    /// Records a worker's report of whether it serves, in response to a probe of that time.
    pub fn worker_reported(&mut self, worker: WorkerId, serves: bool, probed_at: Micros) {
        if serves {
            let last = self.serving_reports.entry(worker).or_insert(probed_at);
            *last = probed_at.max(*last);
        } else {
            self.serving_reports.remove(&worker);
            self.leaving_reports.insert(worker, probed_at);
        }
    }

    /// Replaces the set of workers about which responses of the list service contradict each other.
    pub fn set_disputed(&mut self, now: Micros, workers: BTreeSet<WorkerId>) {
        self.disputed_since.retain(|worker, _| workers.contains(worker));
        workers.into_iter().for_each(|worker| _ = self.disputed_since.entry(worker).or_insert(now));
    }

    /// Disputed workers that the dispatcher must not use, since no response can settle the dispute and
    /// workers can't be probed.
    pub fn withheld(&self) -> BTreeSet<WorkerId> {
        match self.terms {
            Some(terms) if !terms.can_probe_workers && self.is_service_silent(&terms) => {
                self.disputed_since.keys().cloned().collect()
            }
            _ => BTreeSet::new(),
        }
    }

    /// Whether the dispatcher gets this worker as draining although the list has it in service.
    pub fn is_treated_as_draining(&self, worker: &WorkerId) -> bool {
        self.reports_leaving(worker)
            || self.disputed_since.contains_key(worker)
                && self.terms.is_some_and(|terms| !terms.can_probe_workers && self.is_service_silent(&terms))
    }

    fn is_service_silent(&self, terms: &ListValidity) -> bool {
        self.age.unanswered_polls >= terms.silent_after_polls
    }

    /// The worker was probed after it became disputed, and reported that it serves.
    fn is_confirmed_serving(&self, worker: &WorkerId, disputed_at: Micros) -> bool {
        self.serving_reports.get(worker).is_some_and(|probed_at| *probed_at > disputed_at)
    }

    /// Whether the worker reported that it is leaving, and the list may not contain this yet.
    pub fn reports_leaving(&self, worker: &WorkerId) -> bool {
        self.leaving_reports.contains_key(worker)
    }

    /// Drops reports of leaving that the list must contain by now, and returns their workers: the list counts
    /// again.
    pub fn expire_leave_reports(&mut self) -> Vec<WorkerId> {
        let Some(terms) = self.terms else { return Vec::new() };
        let as_of = self.age.as_of;
        let is_superseded = |probed_at: Micros| probed_at.saturating_add(terms.notified_within) < as_of;
        let superseded: Vec<_> = self
            .leaving_reports
            .iter()
            .filter(|(_, probed_at)| is_superseded(**probed_at))
            .map(|(w, _)| w.clone())
            .collect();
        superseded.iter().for_each(|worker| _ = self.leaving_reports.remove(worker));
        superseded
    }

    /// Records the standing of a worker on the list. Reports of a worker that restarted are dropped.
    pub fn update_entry(&mut self, now: Micros, worker: &WorkerId, standing: MemberState, restarted: bool) {
        if restarted {
            self.leaving_reports.remove(worker);
            self.serving_reports.remove(worker);
        }
        if standing == MemberState::Active {
            self.leaving_since.remove(worker);
        } else {
            self.leaving_since.entry(worker.clone()).or_insert(now);
        }
        if standing == MemberState::Removed {
            self.leaving_reports.remove(worker);
            self.serving_reports.remove(worker);
        }
    }

    /// Drops what is kept of workers that left the list long ago.
    pub fn forget(&mut self, now: Micros, is_listed: impl Fn(&WorkerId) -> bool) {
        self.leaving_since
            .retain(|worker, since| is_listed(worker) || since.saturating_add(LEAVING_RETENTION) > now);
        self.serving_reports.retain(|worker, _| is_listed(worker));
        self.leaving_reports.retain(|worker, _| is_listed(worker));
    }

    /// Whether something may be sent to a worker with this standing on the list.
    pub fn decide(&self, now: Micros, worker: &WorkerId, standing: Option<MemberState>) -> SendDecision {
        if standing != Some(MemberState::Active) || self.reports_leaving(worker) {
            return SendDecision::Deny(DenyReason::WorkerLeaving);
        }
        let Some(terms) = self.terms else { return SendDecision::Allow };
        if let Some(since) = self.disputed_since.get(worker) {
            if !self.is_service_silent(&terms) || !terms.can_probe_workers {
                return SendDecision::Defer(MissingEvidence::AgreeingResponses);
            }
            if !self.is_confirmed_serving(worker, *since) {
                return SendDecision::Defer(MissingEvidence::WorkerReport);
            }
        }
        if now <= self.valid_until(&terms, worker) {
            return SendDecision::Allow;
        }
        if !self.is_service_silent(&terms) && !self.age.is_slow() {
            return SendDecision::Defer(MissingEvidence::ListResponse);
        }
        let until = self.age.as_of.saturating_add(terms.valid_in_silence());
        if self.age.was_current_until_silence() && now <= until {
            return SendDecision::Allow;
        }
        // If workers can't be probed, the last known list stays in use: without the list service there is no
        // better source.
        match terms.can_probe_workers {
            true => SendDecision::Defer(MissingEvidence::WorkerReport),
            false => SendDecision::Allow,
        }
    }

    /// Until when the list or the worker's report may be relied on.
    fn valid_until(&self, terms: &ListValidity, worker: &WorkerId) -> Micros {
        let known = self.serving_reports.get(worker).copied().unwrap_or(0).max(self.age.as_of);
        let until = known.saturating_add(terms.valid_for());
        // The missing response may have been sent and lost, with at most the latency of the last one: its
        // contents count as notified then.
        let missing = self.age.first_missing_poll_at.filter(|missing| *missing >= known);
        let notified = missing.map(|missing| missing.saturating_add(self.age.latency()));
        notified.map_or(until, |notified| {
            until.min(notified.saturating_add(terms.drain_grace).saturating_sub(SEND_MARGIN))
        })
    }

    /// Whether a send to this worker breaks the drain rule: the worker has been known to be leaving, or has
    /// been disputed, for longer than the grace period.
    pub fn is_past_grace(&self, now: Micros, worker: &WorkerId) -> bool {
        let grace = self.terms.map_or(0, |terms| terms.drain_grace);
        let disputed =
            self.disputed_since.get(worker).filter(|since| !self.is_confirmed_serving(worker, **since));
        let since = self.leaving_since.get(worker).or(disputed);
        since.is_some_and(|since| since.saturating_add(grace) < now)
    }
}

#[cfg(test)]
mod tests;
