//! What may be sent, by the age of the list and the reports of workers.

use super::*;

const S: Micros = 1_000_000;
const MS: Micros = 1_000;
const TERMS: ListValidity = ListValidity {
    notified_within: 1_500 * MS,
    notified_within_in_silence: 4_500 * MS,
    drain_grace: S,
    silent_after_polls: 8,
    can_probe_workers: true,
};
/// When the list was polled, in all tests.
const AS_OF: Micros = 100 * S;

fn worker() -> WorkerId {
    "w".into()
}

/// A list whose response arrived `latency` after the poll, with `unanswered` polls since.
fn age(latency: Micros, unanswered: u32) -> ListAge {
    let first_unanswered = (unanswered > 0).then_some(AS_OF + 200 * MS);
    let (heard, first_missing) = (AS_OF + latency, None);
    ListAge {
        as_of: AS_OF,
        received_at: heard,
        next_poll_at: first_unanswered,
        first_missing_poll_at: first_missing,
        unanswered_polls: unanswered,
        polling_interrupted: false,
    }
}

fn send_gate(terms: ListValidity, age: ListAge) -> SendGate {
    let mut send_gate = SendGate::default();
    send_gate.limit_list_age(terms, age);
    send_gate
}

fn after(send_gate: &SendGate, span: Micros) -> SendDecision {
    send_gate.decide(AS_OF + span, &worker(), Some(MemberState::Active))
}

#[test]
fn a_list_is_valid_until_an_event_right_after_it_is_past_its_grace_period() {
    let list = send_gate(TERMS, age(MS, 1));
    assert_eq!(after(&list, 2_400 * MS), SendDecision::Allow);
    assert_eq!(
        after(&list, 2_500 * MS),
        SendDecision::Defer(MissingEvidence::ListResponse),
        "one poll is in flight"
    );
    let strict = send_gate(ListValidity { drain_grace: 0, ..TERMS }, age(MS, 1));
    assert_eq!(after(&strict, 1_400 * MS), SendDecision::Allow);
    assert_eq!(after(&strict, 1_450 * MS), SendDecision::Defer(MissingEvidence::ListResponse));
}

#[test]
fn in_a_silence_a_current_list_is_valid_longer_and_then_workers_are_probed() {
    let silent = send_gate(TERMS, age(MS, 8));
    assert_eq!(after(&silent, 5_400 * MS), SendDecision::Allow);
    assert_eq!(after(&silent, 5_500 * MS), SendDecision::Defer(MissingEvidence::WorkerReport));
    let unprobed = send_gate(ListValidity { can_probe_workers: false, ..TERMS }, age(MS, 8));
    assert_eq!(after(&unprobed, 60 * S), SendDecision::Allow, "there is no better source");
    // After a pause of the process, or with the list of its start, the silence may be younger than the list.
    let paused = send_gate(TERMS, ListAge { polling_interrupted: true, ..age(MS, 8) });
    assert_eq!(after(&paused, 2_500 * MS), SendDecision::Defer(MissingEvidence::WorkerReport));
    let start = send_gate(TERMS, ListAge { next_poll_at: Some(AS_OF + 1_500 * MS), ..age(MS, 8) });
    assert_eq!(after(&start, 2_500 * MS), SendDecision::Defer(MissingEvidence::WorkerReport));
}

#[test]
fn a_missing_response_may_have_contained_an_event() {
    let missing = |latency, at| ListAge { first_missing_poll_at: Some(AS_OF + at), ..age(latency, 1) };
    let lost = send_gate(TERMS, missing(0, 200 * MS));
    assert_eq!(after(&lost, 1_100 * MS), SendDecision::Allow, "within the grace period after it");
    assert_eq!(after(&lost, 1_101 * MS), SendDecision::Defer(MissingEvidence::ListResponse));
    // With a high latency the missing response is sent later as well.
    let late = send_gate(TERMS, missing(400 * MS, 200 * MS));
    assert_eq!(after(&late, 1_500 * MS), SendDecision::Allow);
    assert_eq!(after(&late, 1_501 * MS), SendDecision::Defer(MissingEvidence::ListResponse));
    // The worker's report is newer than the contents of that response.
    let mut confirmed = send_gate(TERMS, missing(0, 200 * MS));
    confirmed.worker_reported(worker(), true, AS_OF + 300 * MS);
    assert_eq!(after(&confirmed, 2_700 * MS), SendDecision::Allow);
    // That many polls without a response are a silence, in which nothing is notified.
    let silent = send_gate(TERMS, ListAge { unanswered_polls: 8, ..missing(0, 200 * MS) });
    assert_eq!(after(&silent, 5_400 * MS), SendDecision::Allow);
}

#[test]
fn a_slow_list_service_does_not_count_as_silent() {
    let slow = send_gate(TERMS, age(2 * S, 1));
    assert_eq!(after(&slow, 2_400 * MS), SendDecision::Allow);
    assert_eq!(
        after(&slow, 2_500 * MS),
        SendDecision::Defer(MissingEvidence::WorkerReport),
        "its next response is as late"
    );
}

#[test]
fn a_workers_report_counts_like_a_list_of_that_worker_alone() {
    let mut silent = send_gate(TERMS, age(MS, 8));
    silent.worker_reported(worker(), true, AS_OF + 6 * S);
    assert_eq!(after(&silent, 8_400 * MS), SendDecision::Allow);
    assert_eq!(after(&silent, 8_500 * MS), SendDecision::Defer(MissingEvidence::WorkerReport));
    let other = silent.decide(AS_OF + 8 * S, &"v".into(), Some(MemberState::Active));
    assert_eq!(other, SendDecision::Defer(MissingEvidence::WorkerReport), "it reported nothing");
    // A late response to an earlier probe does not replace a newer report.
    silent.worker_reported(worker(), true, AS_OF);
    assert_eq!(after(&silent, 8_400 * MS), SendDecision::Allow);
}

#[test]
fn a_worker_that_reports_leaving_gets_nothing_until_a_list_can_contain_it() {
    let mut fresh = send_gate(TERMS, age(MS, 0));
    fresh.worker_reported(worker(), false, AS_OF + S);
    assert_eq!(after(&fresh, S), SendDecision::Deny(DenyReason::WorkerLeaving));
    fresh.update_list_age(ListAge { as_of: AS_OF + 2_500 * MS, ..age(MS, 0) });
    assert!(
        fresh.expire_leave_reports().is_empty(),
        "an event counts as notified 1.5 s after it happened, not before"
    );
    fresh.update_list_age(ListAge { as_of: AS_OF + 2_501 * MS, ..age(MS, 0) });
    assert_eq!(fresh.expire_leave_reports(), [worker()]);
    assert_eq!(after(&fresh, 3 * S), SendDecision::Allow);
    // Reports of a worker that restarted or left the list are dropped.
    for (standing, restarted) in [(MemberState::Active, true), (MemberState::Removed, false)] {
        fresh.worker_reported(worker(), false, AS_OF + 3 * S);
        assert!(fresh.reports_leaving(&worker()));
        fresh.update_entry(AS_OF + 3 * S, &worker(), standing, restarted);
        assert!(!fresh.reports_leaving(&worker()));
    }
}

#[test]
fn sends_to_a_worker_out_of_service_are_denied_and_violations_are_detected() {
    for standing in [None, Some(MemberState::Draining), Some(MemberState::Removed)] {
        let decision = send_gate(TERMS, age(MS, 0)).decide(AS_OF, &worker(), standing);
        assert_eq!(decision, SendDecision::Deny(DenyReason::WorkerLeaving), "{standing:?}");
    }
    let mut leaving = send_gate(TERMS, age(MS, 0));
    leaving.update_entry(AS_OF, &worker(), MemberState::Draining, false);
    assert!(!leaving.is_past_grace(AS_OF + S, &worker()));
    assert!(leaving.is_past_grace(AS_OF + S + 1, &worker()));
    leaving.update_entry(AS_OF + 2 * S, &worker(), MemberState::Active, true);
    assert!(!leaving.is_past_grace(AS_OF + 9 * S, &worker()), "it is in service again");
}

#[test]
fn without_terms_a_list_of_any_age_is_valid() {
    let send_gate = SendGate::default();
    assert_eq!(send_gate.decide(u64::MAX, &worker(), Some(MemberState::Active)), SendDecision::Allow);
}

#[test]
fn state_is_bounded_by_the_list_and_the_retention() {
    let mut kept = send_gate(TERMS, age(MS, 0));
    for number in 0..1_000 {
        let worker = WorkerId::from(format!("w{number}").as_str());
        kept.worker_reported(worker.clone(), number % 2 == 0, AS_OF);
        kept.update_entry(AS_OF, &worker, MemberState::Draining, false);
        kept.update_entry(AS_OF, &worker, MemberState::Removed, false);
    }
    kept.forget(AS_OF + LEAVING_RETENTION, |_| false);
    assert_eq!((kept.leaving_since.len(), kept.serving_reports.len(), kept.leaving_reports.len()), (0, 0, 0));
}

fn dispute(send_gate: &mut SendGate, now: Micros) {
    send_gate.set_disputed(now, BTreeSet::from([worker()]));
}

#[test]
fn a_disputed_worker_gets_nothing_until_responses_agree() {
    let mut list = send_gate(TERMS, age(MS, 1));
    dispute(&mut list, AS_OF);
    assert_eq!(after(&list, 100 * MS), SendDecision::Defer(MissingEvidence::AgreeingResponses));
    let other = list.decide(AS_OF + 100 * MS, &"v".into(), Some(MemberState::Active));
    assert_eq!(other, SendDecision::Allow, "responses agree about the other worker");
    list.worker_reported(worker(), true, AS_OF + MS);
    assert_eq!(
        after(&list, 100 * MS),
        SendDecision::Defer(MissingEvidence::AgreeingResponses),
        "while responses arrive, they settle the dispute"
    );
    assert!(list.withheld().is_empty() && !list.is_treated_as_draining(&worker()));
    list.set_disputed(AS_OF + 200 * MS, BTreeSet::new());
    assert_eq!(after(&list, 200 * MS), SendDecision::Allow);
}

#[test]
fn in_a_silence_a_disputed_worker_is_probed_or_withheld_from_the_dispatcher() {
    let mut silent = send_gate(TERMS, age(MS, 8));
    silent.worker_reported(worker(), true, AS_OF);
    dispute(&mut silent, AS_OF + MS);
    assert_eq!(
        after(&silent, S),
        SendDecision::Defer(MissingEvidence::WorkerReport),
        "the probe is older than the dispute"
    );
    silent.worker_reported(worker(), true, AS_OF + 900 * MS);
    assert_eq!(after(&silent, S), SendDecision::Allow);
    assert!(silent.withheld().is_empty());
    let mut unprobed = send_gate(ListValidity { can_probe_workers: false, ..TERMS }, age(MS, 7));
    dispute(&mut unprobed, AS_OF);
    assert!(unprobed.withheld().is_empty(), "a response may still settle it");
    unprobed.update_list_age(age(MS, 8));
    assert_eq!(after(&unprobed, S), SendDecision::Defer(MissingEvidence::AgreeingResponses));
    assert!(unprobed.withheld().contains(&worker()) && unprobed.is_treated_as_draining(&worker()));
}

#[test]
fn sends_to_a_worker_disputed_for_longer_than_the_grace_period_are_detected() {
    let mut list = send_gate(TERMS, age(MS, 1));
    dispute(&mut list, AS_OF);
    dispute(&mut list, AS_OF + S);
    assert!(!list.is_past_grace(AS_OF + S, &worker()));
    assert!(list.is_past_grace(AS_OF + S + 1, &worker()), "counted from the start of the dispute");
    list.worker_reported(worker(), true, AS_OF + 2);
    assert!(!list.is_past_grace(AS_OF + S + 1, &worker()), "it reported that it serves");
}
