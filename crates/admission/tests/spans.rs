//! Compares the timer queues with a simple model.

use cresswheel_admission::TimerQueues;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[derive(Clone, Debug)]
enum Step {
    Insert(usize, usize),
    Remove(usize),
    AdvanceClock(u64),
    TurnClockBack(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0usize..12, 0usize..3).prop_map(|(slot, queue)| Step::Insert(slot, queue)),
        2 => (0usize..14).prop_map(Step::Remove),
        3 => (0u64..5_000_000).prop_map(Step::AdvanceClock),
        1 => (0u64..500_000).prop_map(Step::TurnClockBack),
    ]
}

const TIMEOUTS: [u64; 3] = [1_000_000, 10_000_000, 300_000_000];
/// Resolution of stored times; an entry expires up to a tick late.
const TICK: u64 = 16_384;

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None, rng_seed: RngSeed::Fixed(12), ..ProptestConfig::with_cases(400)
    })]
    #[test]
    fn queues_have_each_slot_once_in_order_of_insertion(steps in prop::collection::vec(step(), 1..200)) {
        let start = 1_000_000_000_000;
        let mut queues = TimerQueues::new(start, &TIMEOUTS);
        let mut model: [Vec<(usize, u64)>; 3] = Default::default();
        let mut now = start;
        for step in steps {
            match step {
                Step::Insert(slot, queue) => {
                    model.iter_mut().for_each(|q| q.retain(|(s, _)| *s != slot));
                    let last = model[queue].last().map_or(start, |(_, since)| *since);
                    model[queue].push((slot, now.max(last)));
                    queues.insert(now, slot, queue);
                }
                Step::Remove(slot) => {
                    model.iter_mut().for_each(|q| q.retain(|(s, _)| *s != slot));
                    queues.remove(slot);
                }
                Step::AdvanceClock(duration) => now += duration,
                Step::TurnClockBack(duration) => now = now.saturating_sub(duration).max(start),
            }
            for (queue, entries) in model.iter().enumerate() {
                let slots: Vec<usize> = entries.iter().map(|(slot, _)| *slot).collect();
                prop_assert_eq!(queues.slots(queue).collect::<Vec<_>>(), slots.clone());
                prop_assert_eq!(queues.len(queue), slots.len());
                match (queues.first(queue), entries.first()) {
                    (None, None) => {}
                    (Some((slot, due)), Some((first, since))) => {
                        prop_assert_eq!(slot, *first);
                        let exact = since + TIMEOUTS[queue];
                        prop_assert!(due >= exact && due <= exact + TICK, "due {} for {}", due, exact);
                    }
                    other => prop_assert!(false, "{:?}", other),
                }
                slots.iter().for_each(|slot| assert_eq!(queues.queue_of(*slot), Some(queue)));
            }
        }
    }
}
