//! What is told of long iterations.

use super::*;

#[test]
fn a_long_iteration_is_reported_with_its_longest_stage_once_a_second() {
    let mut times = LoopTimes::default();
    let mut iterate = |start: Micros, notices: Micros, input: Micros| {
        times.begin(start);
        times.end_stage(start + notices, Stage::Notices);
        times.end_stage(start + notices + input, Stage::Input);
        times.finish(start + notices + input, 50_000)
    };
    assert_eq!(iterate(0, 10_000, 40_000), None, "at the limit");
    let long = LongIteration { length: 80_000, stage: Stage::Input, stage_length: 70_000 };
    assert_eq!(iterate(1_000_000, 10_000, 70_000), Some(long));
    assert_eq!(iterate(1_100_000, 90_000, 0), None, "one was reported a moment ago");
    let long = LongIteration { length: 60_000, stage: Stage::Notices, stage_length: 60_000 };
    assert_eq!(iterate(3_000_000, 60_000, 0), Some(long));
    assert_eq!(times.take(), (4, 90_000));
    assert_eq!(times.take(), (0, 0));
}
