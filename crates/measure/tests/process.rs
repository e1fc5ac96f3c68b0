//! Measured CPU time and memory reflect what the program does.

use cresswheel_measure::{process_cpu_time, resident_bytes, thread_cpu_time};

#[test]
fn cpu_time_of_thread_and_process_grows_with_work() {
    let (thread, process) = (thread_cpu_time(), process_cpu_time(std::process::id()).unwrap());
    burn_cpu(std::time::Duration::from_millis(5));
    assert!(thread_cpu_time() > thread);
    assert!(process_cpu_time(std::process::id()).unwrap() > process);
}

/// Uses this much CPU time on this thread.
fn burn_cpu(duration: std::time::Duration) {
    let start = thread_cpu_time();
    let mut sum = 0u64;
    while thread_cpu_time() - start < duration {
        sum = std::hint::black_box(sum.wrapping_mul(31).wrapping_add(7));
    }
}

#[test]
fn cpu_time_includes_ended_threads_and_reads_while_threads_end() {
    const USED: std::time::Duration = std::time::Duration::from_millis(100);
    let ended = std::sync::atomic::AtomicBool::new(false);
    let before = process_cpu_time(std::process::id()).unwrap();
    std::thread::scope(|scope| {
        scope.spawn(|| {
            // Threads start and end while the clock is read.
            (0..200).for_each(|_| std::thread::spawn(|| {}).join().unwrap());
            std::thread::spawn(|| burn_cpu(USED)).join().unwrap();
            ended.store(true, std::sync::atomic::Ordering::SeqCst);
        });
        while !ended.load(std::sync::atomic::Ordering::SeqCst) {
            process_cpu_time(std::process::id()).unwrap();
        }
    });
    // The kernel accounts threads that have ended in clock ticks.
    let after = process_cpu_time(std::process::id()).unwrap();
    assert!(after - before >= USED / 2, "{before:?} {after:?}");
}

#[test]
fn written_memory_is_resident() {
    const BYTES: usize = 64 << 20;
    let before = resident_bytes().unwrap();
    let buffer = std::hint::black_box(vec![7u8; BYTES]);
    assert!(resident_bytes().unwrap() - before > BYTES as f64 / 2.0);
    drop(buffer);
}

#[test]
fn a_missing_process_is_an_error() {
    assert!(process_cpu_time(u32::MAX).is_err());
}
