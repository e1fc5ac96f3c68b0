//! The system's counts move with what a program does.

use cresswheel_measure::{processor_time_of, resident_bytes, thread_time};

#[test]
fn work_shows_in_the_clocks_of_thread_and_process() {
    let (thread, process) = (thread_time(), processor_time_of(std::process::id()).unwrap());
    let mut sum = 0u64;
    while thread_time() - thread < std::time::Duration::from_millis(5) {
        sum = std::hint::black_box(sum.wrapping_mul(31).wrapping_add(7));
    }
    assert!(processor_time_of(std::process::id()).unwrap() > process);
}

#[test]
fn memory_that_is_written_is_resident() {
    const BYTES: usize = 64 << 20;
    let before = resident_bytes().unwrap();
    let held = std::hint::black_box(vec![7u8; BYTES]);
    assert!(resident_bytes().unwrap() - before > BYTES as f64 / 2.0);
    drop(held);
}

#[test]
fn a_process_that_is_not_there_is_an_error() {
    assert!(processor_time_of(u32::MAX).is_err());
}
