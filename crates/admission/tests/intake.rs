//! The call queue: order, fairness, rejections and retry times; each call is returned once.

use std::collections::BTreeSet;

use cresswheel_admission::{CallQueue, CallQueueLimits, ClassPriority, OfferResult};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
/// Balance checks, estimates, payment posts.
const CLASSES: [ClassPriority; 3] = [
    ClassPriority { latency_objective: 600 * MS, worth: 2.0 },
    ClassPriority { latency_objective: 1_200 * MS, worth: 3.0 },
    ClassPriority { latency_objective: 600 * MS, worth: 3.0 },
];
const CHECK: usize = 0;
const ESTIMATE: usize = 1;
const POST: usize = 2;

fn queue(limits: CallQueueLimits) -> CallQueue<u64> {
    CallQueue::new(&CLASSES, limits)
}

/// Starts one call per millisecond, so that the queue has a measured start rate.
fn measure_rate(queue: &mut CallQueue<u64>, now: &mut u64, calls: u64) {
    for n in 0..calls {
        queue.begin_iteration(*now);
        assert_eq!(queue.offer(*now, (u64::MAX, n), POST, None, *now, n), OfferResult::Queued);
        queue.begin_iteration(*now);
        *now += MS;
        queue.begin_iteration(*now);
        assert!(queue.take_next_to_start().is_some());
    }
    queue.begin_iteration(*now);
    assert!((900.0..1_100.0).contains(&queue.rate()), "{}", queue.rate());
}

#[test]
fn classes_are_ordered_by_objective_and_then_by_worth() {
    let mut queue = queue(CallQueueLimits::default());
    let classes = [ESTIMATE, CHECK, POST, ESTIMATE, POST, CHECK];
    for (n, class) in classes.into_iter().enumerate() {
        assert_eq!(queue.offer(0, (1, n as u64), class, None, 0, n as u64), OfferResult::Queued);
    }
    let order: Vec<usize> =
        std::iter::from_fn(|| queue.take_next_to_start()).map(|(.., n)| classes[n as usize]).collect();
    assert_eq!(order, [POST, POST, CHECK, CHECK, ESTIMATE, ESTIMATE]);
}

#[test]
fn a_tenant_with_many_calls_does_not_delay_other_tenants() {
    let mut queue = queue(CallQueueLimits::default());
    (0..50).for_each(|n| _ = queue.offer(0, (1, n), CHECK, Some(0), 0, n));
    (50..52).for_each(|n| _ = queue.offer(0, (2, n), CHECK, Some(1), 0, n));
    let first: Vec<u64> = (0..4).filter_map(|_| queue.take_next_to_start()).map(|(.., n)| n).collect();
    assert_eq!(first, [0, 50, 1, 51]);
}

#[test]
fn a_call_that_can_not_start_in_time_is_rejected_on_arrival_with_its_own_retry_time() {
    let mut queue = queue(CallQueueLimits { per_turn: 1, ..CallQueueLimits::default() });
    let mut now = S;
    measure_rate(&mut queue, &mut now, 300);
    // At 1000 calls per second, and a maximum wait of half of 600 ms, 300 can start in time. Calls are
    // rejected on arrival only beyond twice that.
    let (mut waits, mut times) = (0u64, Vec::new());
    for n in 0..1_000 {
        match queue.offer(now, (1, n), CHECK, None, now, n) {
            OfferResult::Queued => waits += 1,
            OfferResult::Rejected(refused) => {
                assert_eq!((refused.reason, refused.call), ("busy", n));
                times.push(refused.retry_after);
            }
            OfferResult::Duplicate(_) => panic!(),
        }
    }
    assert!((550..650).contains(&waits), "{waits}");
    assert!(
        queue.is_full() && !queue.may_resume_reading(),
        "more calls than can start in time: reading pauses"
    );
    // The retries arrive at no more than half the start rate, and none within a second.
    assert!(times.windows(2).all(|pair| pair[1] > pair[0]) && times[0] >= S);
    let span = times.last().unwrap() - times[0];
    assert!((span as f64) > times.len() as f64 * 2_000.0 * 0.9, "{} within {span}", times.len());
    // Posts are still queued: no call of the same or higher urgency is ahead of them.
    assert_eq!(queue.offer(now, (2, 0), POST, None, now, 0), OfferResult::Queued);
}

#[test]
fn a_full_queue_rejects_the_least_urgent_call() {
    let mut queue = queue(CallQueueLimits { calls: 4, ..CallQueueLimits::default() });
    (0..3).for_each(|n| _ = queue.offer(0, (1, n), ESTIMATE, None, 0, n));
    assert!(!queue.is_full() && !queue.may_resume_reading());
    queue.offer(0, (1, 3), CHECK, None, 0, 3);
    assert!(queue.is_full());
    let OfferResult::Rejected(refused) = queue.offer(0, (1, 4), POST, None, 0, 4) else { panic!() };
    assert_eq!(refused.call, 2, "the newest estimate is rejected");
    let OfferResult::Rejected(refused) = queue.offer(0, (1, 5), ESTIMATE, None, 0, 5) else { panic!() };
    assert_eq!(refused.call, 5, "the offered call is rejected");
    assert_eq!(queue.len(), 4);
}

#[test]
fn reading_resumes_for_calls_that_were_left_unread_for_too_long() {
    let mut queue = queue(CallQueueLimits { per_turn: 1, ..CallQueueLimits::default() });
    let mut now = 10 * S;
    measure_rate(&mut queue, &mut now, 300);
    (0..400).for_each(|n| _ = queue.offer(now, (1, n), CHECK, None, now, n));
    assert!(queue.is_full());
    queue.offer(now, (1, 1_000), CHECK, None, now - S, 1_000);
    assert!(!queue.is_full() && queue.may_resume_reading());
}

#[test]
fn a_call_that_has_waited_too_long_is_rejected_and_others_stay_queued() {
    let mut queue = queue(CallQueueLimits::default());
    queue.offer(0, (1, 0), CHECK, None, 0, 0);
    queue.offer(200 * MS, (1, 1), CHECK, None, 200 * MS, 1);
    queue.offer(0, (1, 2), ESTIMATE, None, 0, 2);
    let refused = queue.reject_overdue(400 * MS).unwrap();
    assert_eq!(refused.call, 0);
    assert!(queue.reject_overdue(400 * MS).is_none(), "an estimate may wait for 600 ms");
    assert_eq!(queue.len(), 2);
}

#[test]
fn a_canceled_call_is_not_returned_and_its_key_can_be_used_again() {
    let mut queue = queue(CallQueueLimits::default());
    queue.offer(0, (1, 7), CHECK, None, 0, 100);
    assert_eq!(queue.offer(0, (1, 7), POST, None, 0, 101), OfferResult::Duplicate(101));
    assert!(queue.cancel((1, 7)) && !queue.cancel((1, 7)));
    assert_eq!(queue.offer(0, (1, 7), CHECK, None, 0, 102), OfferResult::Queued);
    assert_eq!(queue.take_next_to_start().map(|(.., n)| n), Some(102));
    (0..3).for_each(|n| _ = queue.offer(0, (9, n), ESTIMATE, None, 0, n));
    queue.cancel_connection(9);
    assert!(queue.take_next_to_start().is_none());
}

#[derive(Clone, Debug)]
enum Step {
    AdvanceClock(u64),
    Offer { connection: u64, class: usize, tenant: Option<usize>, unread: u64 },
    Take(usize),
    RejectOverdue,
    Cancel(u64, u64),
    Disconnect(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let tenant = prop::option::of(0usize..3);
    prop_oneof![
        3 => (0u64..200).prop_map(|ms| Step::AdvanceClock(ms * MS)),
        10 => (0u64..4, 0usize..3, tenant, 0u64..900).prop_map(|(connection, class, tenant, ms)| Step::Offer {
            connection, class, tenant, unread: ms * MS
        }),
        4 => (1usize..8).prop_map(Step::Take),
        1 => Just(Step::RejectOverdue),
        1 => (0u64..4, 0u64..40).prop_map(|(connection, number)| Step::Cancel(connection, number)),
        1 => (0u64..4).prop_map(Step::Disconnect),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None, rng_seed: RngSeed::Fixed(12), ..ProptestConfig::with_cases(400)
    })]
    #[test]
    fn each_call_is_returned_once_unless_canceled(
        steps in prop::collection::vec(step(), 1..300),
        calls in 1usize..40,
    ) {
        let mut queue: CallQueue<(u64, u64)> =
            CallQueue::new(&CLASSES, CallQueueLimits { calls, per_turn: 4, ..CallQueueLimits::default() });
        let mut queued = BTreeSet::new();
        let (mut now, mut next) = (10 * S, 0);
        for step in steps {
            queue.begin_iteration(now);
            match step {
                Step::AdvanceClock(duration) => now += duration,
                Step::Offer { connection, class, tenant, unread } => {
                    next += 1;
                    let key = (connection, next);
                    match queue.offer(now, key, class, tenant, now - unread, key) {
                        OfferResult::Queued => prop_assert!(queued.insert(key)),
                        OfferResult::Rejected(refused) => {
                            prop_assert!(refused.call == key || queued.remove(&refused.call));
                            if refused.call != key {
                                prop_assert!(queued.insert(key));
                            }
                            prop_assert!(refused.retry_after >= S && refused.retry_after <= 30 * S);
                        }
                        OfferResult::Duplicate(_) => prop_assert!(false, "the key is new"),
                    }
                }
                Step::Take(most) => {
                    for _ in 0..most {
                        let Some((key, _, call)) = queue.take_next_to_start() else { break };
                        prop_assert!(key == call && queued.remove(&key), "{key:?} was not queued");
                    }
                }
                Step::RejectOverdue => while let Some(refused) = queue.reject_overdue(now) {
                    prop_assert!(queued.remove(&refused.call));
                },
                Step::Cancel(connection, number) => {
                    prop_assert_eq!(queue.cancel((connection, number)), queued.remove(&(connection, number)));
                }
                Step::Disconnect(connection) => {
                    queue.cancel_connection(connection);
                    queued.retain(|(of, _)| *of != connection);
                }
            }
            // Canceled calls count until they reach the head of their queue.
            prop_assert!(queue.len() >= queued.len() && queue.len() <= calls);
        }
        while let Some((key, ..)) = queue.take_next_to_start() {
            prop_assert!(queued.remove(&key));
        }
        prop_assert!(queued.is_empty() && queue.is_empty());
    }
}
