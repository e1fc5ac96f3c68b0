//! The timer queues against a plain model.

use cresswheel_admission::Spans;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[derive(Clone, Debug)]
enum Step {
    Put(usize, usize),
    Out(usize),
    Pass(u64),
    Back(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0usize..12, 0usize..3).prop_map(|(slot, queue)| Step::Put(slot, queue)),
        2 => (0usize..14).prop_map(Step::Out),
        3 => (0u64..5_000_000).prop_map(Step::Pass),
        1 => (0u64..500_000).prop_map(Step::Back),
    ]
}

const SPANS: [u64; 3] = [1_000_000, 10_000_000, 300_000_000];
/// Queues are kept in steps; an entry falls due a step late at most.
const STEP: u64 = 16_384;

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None, rng_seed: RngSeed::Fixed(12), ..ProptestConfig::with_cases(400)
    })]
    #[test]
    fn queues_hold_each_slot_once_in_the_order_of_coming(steps in prop::collection::vec(step(), 1..200)) {
        let start = 1_000_000_000_000;
        let mut spans = Spans::new(start, &SPANS);
        let mut model: [Vec<(usize, u64)>; 3] = Default::default();
        let mut now = start;
        for step in steps {
            match step {
                Step::Put(slot, queue) => {
                    model.iter_mut().for_each(|q| q.retain(|(s, _)| *s != slot));
                    let last = model[queue].last().map_or(start, |(_, since)| *since);
                    model[queue].push((slot, now.max(last)));
                    spans.put(now, slot, queue);
                }
                Step::Out(slot) => {
                    model.iter_mut().for_each(|q| q.retain(|(s, _)| *s != slot));
                    spans.take_out(slot);
                }
                Step::Pass(span) => now += span,
                Step::Back(span) => now = now.saturating_sub(span).max(start),
            }
            for (queue, entries) in model.iter().enumerate() {
                let slots: Vec<usize> = entries.iter().map(|(slot, _)| *slot).collect();
                prop_assert_eq!(spans.slots(queue).collect::<Vec<_>>(), slots.clone());
                prop_assert_eq!(spans.len(queue), slots.len());
                match (spans.first(queue), entries.first()) {
                    (None, None) => {}
                    (Some((slot, due)), Some((first, since))) => {
                        prop_assert_eq!(slot, *first);
                        let exact = since + SPANS[queue];
                        prop_assert!(due >= exact && due <= exact + STEP, "due {} for {}", due, exact);
                    }
                    other => prop_assert!(false, "{:?}", other),
                }
                slots.iter().for_each(|slot| assert_eq!(spans.queue(*slot), Some(queue)));
            }
        }
    }
}
