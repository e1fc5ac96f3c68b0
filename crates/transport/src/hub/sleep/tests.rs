//! Which sleeps tell when an event became ready.

use super::*;

const MS: Micros = 1_000;

#[test]
fn a_sleep_that_an_event_or_its_time_ends_was_not_interrupted() {
    for (until, woke) in [(Some(100 * MS), 40 * MS), (Some(100 * MS), 101 * MS), (None, 900 * MS)] {
        let sleep = Sleep { polled: 0, began: 10, until, woke };
        assert!(!sleep.was_interrupted(), "{sleep:?}");
    }
    let due_before = Sleep { polled: 50 * MS, began: 50 * MS, until: Some(10 * MS), woke: 51 * MS };
    assert!(!due_before.was_interrupted());
}

// Guards against bytes that came while the process stood still being taken for new ones.
#[test]
fn a_process_that_stood_still_before_or_within_a_sleep_is_noticed() {
    let within = Sleep { polled: 0, began: 10, until: Some(100 * MS), woke: 975 * MS };
    assert!(within.was_interrupted());
    let between_poll_and_sleep =
        Sleep { polled: 0, began: 975 * MS, until: Some(100 * MS), woke: 975 * MS + 10 };
    assert!(between_poll_and_sleep.was_interrupted());
    assert!(Sleep { until: None, ..between_poll_and_sleep }.was_interrupted());
}
