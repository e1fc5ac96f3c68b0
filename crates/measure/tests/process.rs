//! The system's counts move with what a program does.

use cresswheel_measure::{processor_time_of, resident_bytes, thread_time};

#[test]
fn work_shows_in_the_clocks_of_thread_and_process() {
    let (thread, process) = (thread_time(), processor_time_of(std::process::id()).unwrap());
    work(std::time::Duration::from_millis(5));
    assert!(thread_time() > thread);
    assert!(processor_time_of(std::process::id()).unwrap() > process);
}

/// Uses the processor of this thread for a while.
fn work(span: std::time::Duration) {
    let began = thread_time();
    let mut sum = 0u64;
    while thread_time() - began < span {
        sum = std::hint::black_box(sum.wrapping_mul(31).wrapping_add(7));
    }
}

#[test]
fn the_time_of_threads_that_have_ended_counts_and_their_end_is_no_error() {
    const USED: std::time::Duration = std::time::Duration::from_millis(100);
    let ended = std::sync::atomic::AtomicBool::new(false);
    let before = processor_time_of(std::process::id()).unwrap();
    std::thread::scope(|scope| {
        scope.spawn(|| {
            // Threads begin and end as they are read.
            (0..200).for_each(|_| std::thread::spawn(|| {}).join().unwrap());
            std::thread::spawn(|| work(USED)).join().unwrap();
            ended.store(true, std::sync::atomic::Ordering::SeqCst);
        });
        while !ended.load(std::sync::atomic::Ordering::SeqCst) {
            processor_time_of(std::process::id()).unwrap();
        }
    });
    // The system's count of threads that have ended goes by ticks.
    let after = processor_time_of(std::process::id()).unwrap();
    assert!(after - before >= USED / 2, "{before:?} {after:?}");
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
