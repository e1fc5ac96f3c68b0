//! What may leave, by the age of the list and the workers' own words.

use super::*;

const S: Micros = 1_000_000;
const MS: Micros = 1_000;
const TERMS: ListTerms = ListTerms {
    told_within: 1_500 * MS,
    told_in_silence: 4_500 * MS,
    grace: S,
    silent_after: 8,
    workers_answer: true,
};
/// When the list was asked for, in all of these.
const AS_OF: Micros = 100 * S;

fn worker() -> WorkerId {
    "w".into()
}

/// A list whose answer came `latency` after the question, with so many questions since.
fn age(latency: Micros, unanswered: u32) -> ListAge {
    let first_unanswered = (unanswered > 0).then_some(AS_OF + 200 * MS);
    let (heard, first_missing) = (AS_OF + latency, None);
    ListAge { as_of: AS_OF, heard, first_unanswered, first_missing, unanswered, unasked: false }
}

fn departures(terms: ListTerms, age: ListAge) -> Departures {
    let mut departures = Departures::default();
    departures.hold_to(terms, age);
    departures
}

fn after(departures: &Departures, span: Micros) -> Departure {
    departures.judge(AS_OF + span, &worker(), Some(Standing::In))
}

#[test]
fn a_list_counts_until_an_event_right_after_it_is_past_its_grace() {
    let list = departures(TERMS, age(MS, 1));
    assert_eq!(after(&list, 2_400 * MS), Departure::Now);
    assert_eq!(
        after(&list, 2_500 * MS),
        Departure::Wait(WaitFor::List),
        "it is waited for: one question is out"
    );
    let strict = departures(ListTerms { grace: 0, ..TERMS }, age(MS, 1));
    assert_eq!(after(&strict, 1_400 * MS), Departure::Now);
    assert_eq!(after(&strict, 1_450 * MS), Departure::Wait(WaitFor::List));
}

#[test]
fn in_a_silence_a_list_that_was_current_counts_longer_and_then_workers_are_asked() {
    let silent = departures(TERMS, age(MS, 8));
    assert_eq!(after(&silent, 5_400 * MS), Departure::Now);
    assert_eq!(after(&silent, 5_500 * MS), Departure::Wait(WaitFor::Worker));
    let unasked = departures(ListTerms { workers_answer: false, ..TERMS }, age(MS, 8));
    assert_eq!(after(&unasked, 60 * S), Departure::Now, "nothing better is to be had");
    // The process stood still, or the list is of its start: that the silence is as old as the list is not known.
    let stood_still = departures(TERMS, ListAge { unasked: true, ..age(MS, 8) });
    assert_eq!(after(&stood_still, 2_500 * MS), Departure::Wait(WaitFor::Worker));
    let start = departures(TERMS, ListAge { first_unanswered: Some(AS_OF + 1_500 * MS), ..age(MS, 8) });
    assert_eq!(after(&start, 2_500 * MS), Departure::Wait(WaitFor::Worker));
}

#[test]
fn an_answer_that_is_missing_may_have_told_of_an_event() {
    let missing = |latency, at| ListAge { first_missing: Some(AS_OF + at), ..age(latency, 1) };
    let lost = departures(TERMS, missing(0, 200 * MS));
    assert_eq!(after(&lost, 1_100 * MS), Departure::Now, "within the grace after it");
    assert_eq!(after(&lost, 1_101 * MS), Departure::Wait(WaitFor::List));
    // Where answers take long it is not sent before.
    let late = departures(TERMS, missing(400 * MS, 200 * MS));
    assert_eq!(after(&late, 1_500 * MS), Departure::Now);
    assert_eq!(after(&late, 1_501 * MS), Departure::Wait(WaitFor::List));
    // The worker's own word is newer than what that answer can have told.
    let mut vouched = departures(TERMS, missing(0, 200 * MS));
    vouched.worker_said(worker(), true, AS_OF + 300 * MS);
    assert_eq!(after(&vouched, 2_700 * MS), Departure::Now);
    // So many in a row are a silence, in which nothing is told.
    let silent = departures(TERMS, ListAge { unanswered: 8, ..missing(0, 200 * MS) });
    assert_eq!(after(&silent, 5_400 * MS), Departure::Now);
}

#[test]
fn a_slow_list_service_is_no_silence() {
    let slow = departures(TERMS, age(2 * S, 1));
    assert_eq!(after(&slow, 2_400 * MS), Departure::Now);
    assert_eq!(after(&slow, 2_500 * MS), Departure::Wait(WaitFor::Worker), "its next answer is as late");
}

#[test]
fn a_workers_word_counts_like_a_list_of_it_alone() {
    let mut silent = departures(TERMS, age(MS, 8));
    silent.worker_said(worker(), true, AS_OF + 6 * S);
    assert_eq!(after(&silent, 8_400 * MS), Departure::Now);
    assert_eq!(after(&silent, 8_500 * MS), Departure::Wait(WaitFor::Worker));
    let other = silent.judge(AS_OF + 8 * S, &"v".into(), Some(Standing::In));
    assert_eq!(other, Departure::Wait(WaitFor::Worker), "it said nothing");
    // An answer to an earlier question that comes later makes nothing older.
    silent.worker_said(worker(), true, AS_OF);
    assert_eq!(after(&silent, 8_400 * MS), Departure::Now);
}

#[test]
fn a_worker_that_says_it_leaves_gets_nothing_until_a_list_can_know() {
    let mut fresh = departures(TERMS, age(MS, 0));
    fresh.worker_said(worker(), false, AS_OF + S);
    assert_eq!(after(&fresh, S), Departure::Never(Barred::WorkerLeaves));
    fresh.aged(ListAge { as_of: AS_OF + 2_500 * MS, ..age(MS, 0) });
    assert!(fresh.caught_up().is_empty(), "an event counts as told 1.5 s after it happened, not before");
    fresh.aged(ListAge { as_of: AS_OF + 2_501 * MS, ..age(MS, 0) });
    assert_eq!(fresh.caught_up(), [worker()]);
    assert_eq!(after(&fresh, 3 * S), Departure::Now);
    // One that began anew said nothing yet, and one that left the list is forgotten.
    for (standing, began_anew) in [(Standing::In, true), (Standing::Out, false)] {
        fresh.worker_said(worker(), false, AS_OF + 3 * S);
        assert!(fresh.says_it_leaves(&worker()));
        fresh.listed(AS_OF + 3 * S, &worker(), standing, began_anew);
        assert!(!fresh.says_it_leaves(&worker()));
    }
}

#[test]
fn nothing_leaves_for_a_worker_that_is_not_in_service_and_what_does_is_found() {
    for standing in [None, Some(Standing::Draining), Some(Standing::Out)] {
        let judged = departures(TERMS, age(MS, 0)).judge(AS_OF, &worker(), standing);
        assert_eq!(judged, Departure::Never(Barred::WorkerLeaves), "{standing:?}");
    }
    let mut told = departures(TERMS, age(MS, 0));
    told.listed(AS_OF, &worker(), Standing::Draining, false);
    assert!(!told.is_past_grace(AS_OF + S, &worker()));
    assert!(told.is_past_grace(AS_OF + S + 1, &worker()));
    told.listed(AS_OF + 2 * S, &worker(), Standing::In, true);
    assert!(!told.is_past_grace(AS_OF + 9 * S, &worker()), "it is back");
}

#[test]
fn without_terms_a_list_counts_however_old_it_is() {
    let departures = Departures::default();
    assert_eq!(departures.judge(u64::MAX, &worker(), Some(Standing::In)), Departure::Now);
}

#[test]
fn what_is_kept_is_bounded_by_the_list_and_a_minute() {
    let mut kept = departures(TERMS, age(MS, 0));
    for number in 0..1_000 {
        let worker = WorkerId::from(format!("w{number}").as_str());
        kept.worker_said(worker.clone(), number % 2 == 0, AS_OF);
        kept.listed(AS_OF, &worker, Standing::Draining, false);
        kept.listed(AS_OF, &worker, Standing::Out, false);
    }
    kept.forget(AS_OF + REMEMBERED, |_| false);
    assert_eq!((kept.told.len(), kept.serving.len(), kept.leaving.len()), (0, 0, 0));
}

fn disputed(departures: &mut Departures, now: Micros) {
    departures.dispute(now, BTreeSet::from([worker()]));
}

#[test]
fn a_disputed_worker_gets_nothing_until_answers_agree() {
    let mut list = departures(TERMS, age(MS, 1));
    disputed(&mut list, AS_OF);
    assert_eq!(after(&list, 100 * MS), Departure::Wait(WaitFor::Agreement));
    let other = list.judge(AS_OF + 100 * MS, &"v".into(), Some(Standing::In));
    assert_eq!(other, Departure::Now, "about the other one they agree");
    list.worker_said(worker(), true, AS_OF + MS);
    assert_eq!(
        after(&list, 100 * MS),
        Departure::Wait(WaitFor::Agreement),
        "while answers come, they settle it"
    );
    assert!(list.withheld().is_empty() && !list.is_kept_from_module(&worker()));
    list.dispute(AS_OF + 200 * MS, BTreeSet::new());
    assert_eq!(after(&list, 200 * MS), Departure::Now);
}

#[test]
fn in_a_silence_a_disputed_worker_is_asked_or_kept_from_the_module() {
    let mut silent = departures(TERMS, age(MS, 8));
    silent.worker_said(worker(), true, AS_OF);
    disputed(&mut silent, AS_OF + MS);
    assert_eq!(after(&silent, S), Departure::Wait(WaitFor::Worker), "it said so before");
    silent.worker_said(worker(), true, AS_OF + 900 * MS);
    assert_eq!(after(&silent, S), Departure::Now);
    assert!(silent.withheld().is_empty());
    let mut unasked = departures(ListTerms { workers_answer: false, ..TERMS }, age(MS, 7));
    disputed(&mut unasked, AS_OF);
    assert!(unasked.withheld().is_empty(), "it may be settled soon");
    unasked.aged(age(MS, 8));
    assert_eq!(after(&unasked, S), Departure::Wait(WaitFor::Agreement));
    assert!(unasked.withheld().contains(&worker()) && unasked.is_kept_from_module(&worker()));
}

#[test]
fn what_leaves_for_a_worker_that_was_disputed_for_the_grace_is_found() {
    let mut list = departures(TERMS, age(MS, 1));
    disputed(&mut list, AS_OF);
    disputed(&mut list, AS_OF + S);
    assert!(!list.is_past_grace(AS_OF + S, &worker()));
    assert!(list.is_past_grace(AS_OF + S + 1, &worker()), "since it was disputed first");
    list.worker_said(worker(), true, AS_OF + 2);
    assert!(!list.is_past_grace(AS_OF + S + 1, &worker()), "it serves by its own word");
}
