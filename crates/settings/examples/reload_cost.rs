//! Measures what reading settings costs a gateway: size of the script, CPU time and resident memory, by the
//! number of its sections.
//!
//! `cargo run --release -p cresswheel-settings --example reload_cost`
//!
//! A gateway reads all settings at its start and at each HUP, on the thread that serves calls. Times are
//! microseconds of the thread's CPU time; memory is measured in a separate process for each run.

use std::fmt::Write;
use std::hint::black_box;
use std::path::Path;

use cresswheel_measure::{Series, resident_bytes, run_child_for_value, thread_cpu_time};

/// Numbers of `tenant(...)` sections. A script with more than about 14,000 exceeds the limit of 1 MiB.
const TENANT_COUNTS: [usize; 6] = [1, 100, 1_000, 2_000, 5_000, 10_000];
const RUNS: usize = 3;

fn script(tenants: usize) -> String {
    let mut text = String::from(
        "gateway(name = \"gateway-001\", listen = \"127.0.0.1:7100\", list = [\"127.0.0.1:7300\"])\n\
         call_class(name = \"check\", aim = ms(570), give_up = s(5), effect = \"safe\", worth = 1.0)\n",
    );
    for tenant in 0..tenants {
        let _ = writeln!(text, "tenant(name = \"tenant-{tenant:05}\", quota_per_s = {}.5)", 1 + tenant % 90);
    }
    text
}

/// Reads the settings; returns the CPU time in microseconds.
fn read(path: &Path) -> f64 {
    let start = thread_cpu_time();
    match cresswheel_settings::read(path) {
        Ok(settings) => _ = black_box(settings),
        Err(errors) => panic!("{errors}"),
    }
    (thread_cpu_time() - start).as_secs_f64() * 1e6
}

fn with_script<T>(tenants: usize, measure: impl FnOnce(&Path) -> T) -> T {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("gateway.star");
    std::fs::write(&path, script(tenants)).expect("a file");
    measure(&path)
}

/// Resident memory that grows with reading the settings, in bytes.
fn memory_growth(tenants: usize) -> f64 {
    with_script(tenants, |path| {
        let before = resident_bytes().expect("/proc");
        read(path);
        resident_bytes().expect("/proc") - before
    })
}

fn main() {
    if let Some(tenants) = std::env::args().nth(1) {
        return println!("{}", memory_growth(tenants.parse().expect("tenants")));
    }
    let mut length = Series::new("a gateway's script", "bytes", "tenants");
    let mut time = Series::new("reading settings", "us", "tenants");
    let mut memory = Series::new("memory that grows with one reading", "resident bytes", "tenants");
    for tenants in TENANT_COUNTS {
        length.add(tenants, vec![script(tenants).len() as f64]);
        time.add(tenants, with_script(tenants, |path| (0..RUNS).map(|_| read(path)).collect()));
        let child = [tenants.to_string()];
        memory.add(tenants, (0..RUNS).map(|_| run_child_for_value(&child).expect("a child")).collect());
    }
    println!("{length}\n{time}\n{memory}");
}
