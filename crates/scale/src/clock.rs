//! Processor time of this thread.

use rustix::time::{ClockId, clock_gettime};

/// Nanoseconds of processor time that this thread has had.
pub fn thread_nanos() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
}

/// What one reading of the clock costs, in nanoseconds: the median of some pairs of readings.
pub fn reading_nanos() -> u64 {
    const PAIRS: usize = 101;
    let mut gaps: Vec<u64> = (0..PAIRS)
        .map(|_| {
            let before = thread_nanos();
            thread_nanos().saturating_sub(before)
        })
        .collect();
    gaps.sort_unstable();
    gaps[PAIRS / 2]
}
