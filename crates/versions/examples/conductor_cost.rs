//! Measures the cost of rollouts: bytes exchanged between a conductor and a gateway, processor time of a
//! conductor's turn by the number of gateways, and processor time of a gateway's own evaluation by the number
//! of functions with a plan.
//!
//! `cargo run --release -p cresswheel-versions --example conductor_cost`
//!
//! Bytes count the JSON within a frame. Times are microseconds of processor time of this thread.

use std::hint::black_box;

use cresswheel_measure::{Series, resident_bytes, run_child_for_value, thread_cpu_time};
use cresswheel_versions::{
    Action, Affinity, CallerIdentity, End, Guard, JUDGE_INTERVAL, OrderKind, Plan, Record, RolloutController,
    Share, Side, Status, Step, VersionReply, VersionRequest, Versions,
};

const SECOND: u64 = 1_000_000;
const GATEWAYS: [usize; 5] = [10, 68, 340, 680, 1_360];
const FUNCTIONS: [usize; 5] = [10, 100, 1_000, 4_000, 10_000];
const RUNS: usize = 5;
/// Argument that makes the program measure only memory, in a process of its own.
const MEMORY_ARGUMENT: &str = "memory";

fn step(ten_thousandths: u16) -> Step {
    Step { share: Share::new(ten_thousandths).expect("a share"), hold: 600 * SECOND }
}

/// The first record of a plan with four steps, digests and a guard of one class.
fn record(function: &str) -> Record {
    let digest = |version: u64| format!("sha256:{version:064x}");
    let plan = Plan {
        function: function.into(),
        old: "7".into(),
        new: "8".into(),
        old_digest: digest(7),
        new_digest: digest(8),
        stick: Affinity::Account,
        salt: [0x1234_5678_9abc_def0, 0x0fed_cba9_8765_4321],
        steps: [100, 1_000, 5_000, 10_000].map(step).to_vec(),
        guard: Guard {
            classes: vec!["check".into()],
            false_alarm: 0.01,
            worse: 1.5,
            least: 100,
            settle: 0,
            compare: None,
        },
        lease: 60 * SECOND,
        preload: 5 * SECOND,
        keep_old: 600 * SECOND,
    };
    Record::start(plan, None, 0x1234_5678_9abc, SECOND, "ann", "release of the week").expect("a record")
}

/// Status of a gateway after calls of both versions.
fn status(name: &str, record: &Record, now: u64) -> Status {
    let mut versions = Versions::new(name, 7, 680);
    versions.act(now, record.clone());
    let plan = &record.plan;
    for number in 0..200 {
        let side = if number % 2 == 0 { Side::Old } else { Side::New };
        versions.count_answer(&plan.function, side, "check", End::InTime, false);
        versions.count_reported_version(&plan.function, &plan.routed_name(side), plan.digest(side), false);
    }
    versions.status(now, Some(&plan.function)).pop().expect("a status")
}

fn json(value: &impl serde::Serialize) -> usize {
    serde_json::to_vec(value).expect("JSON").len()
}

fn print_bytes() {
    let record = record("function-01234");
    let renewal = VersionRequest::Renew(record.plan.function.clone(), record.precedence());
    let reply = VersionReply::Status(vec![status("gateway-001", &record, SECOND)]);
    println!("bytes of JSON, a function and a gateway");
    println!("  renewal   {:>5}", json(&renewal));
    println!("  order     {:>5}", json(&VersionRequest::Order(Box::new(record))));
    println!("  reply     {:>5}", json(&reply));
}

/// Microseconds of a conductor's turn with replies of all gateways, which are parsed from JSON.
fn turn_us(gateways: usize) -> f64 {
    let record = record("function-01234");
    let reply = serde_json::to_vec(&status("gateway-001", &record, SECOND)).expect("JSON");
    let mut conductor = RolloutController::new(record, gateways, SECOND);
    let mut now = SECOND;
    let mut turn = || {
        now += SECOND;
        for gateway in 0..gateways {
            let status = serde_json::from_slice(black_box(&reply)).expect("a status");
            conductor.record_report(gateway, now, Ok(Some(status)));
        }
        let acts = conductor.evaluate(now, 1);
        assert!(acts.iter().all(|act| matches!(act, Action::Renew(_))), "nothing is ordered");
    };
    turn();
    let began = thread_cpu_time();
    (0..5).for_each(|_| turn());
    (thread_cpu_time() - began).as_secs_f64() * 1e6 / 5.0
}

fn with_rollouts(functions: usize) -> Versions {
    let mut versions = Versions::new("gateway-001", 7, 680);
    for number in 0..functions {
        let record = record(&format!("function-{number:05}"));
        assert_eq!(record.kind, OrderKind::Start);
        versions.act(SECOND, record);
    }
    versions
}

/// Microseconds of a gateway's evaluation of all rollouts, with one call of each function since the last one.
fn look_us(functions: usize) -> f64 {
    let mut versions = with_rollouts(functions);
    let mut spent = 0.0;
    for round in 1..=5 {
        for number in 0..functions {
            versions.count_answer(&format!("function-{number:05}"), Side::Old, "check", End::InTime, false);
        }
        let began = thread_cpu_time();
        black_box(versions.judge(SECOND + round * JUDGE_INTERVAL));
        black_box(versions.prewarm_targets(SECOND + round * JUDGE_INTERVAL));
        spent += (thread_cpu_time() - began).as_secs_f64() * 1e6;
    }
    spent / 5.0
}

/// Microseconds to choose the version of a call among this many functions.
fn choose_us(functions: usize) -> f64 {
    const CALLS: usize = 20_000;
    let versions = with_rollouts(functions);
    let began = thread_cpu_time();
    for number in 0..CALLS {
        let function = format!("function-{:05}", number % functions);
        let callers = CallerIdentity { account: "account-7", ..CallerIdentity::default() };
        black_box(versions.choose(SECOND, &function, &callers));
    }
    (thread_cpu_time() - began).as_secs_f64() * 1e6 / CALLS as f64
}

fn memory_bytes(functions: usize) -> f64 {
    let before = resident_bytes().expect("/proc");
    let versions = black_box(with_rollouts(functions));
    let grown = resident_bytes().expect("/proc") - before;
    drop(versions);
    grown
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [what, functions] = &arguments[..]
        && what == MEMORY_ARGUMENT
    {
        return println!("{}", memory_bytes(functions.parse().expect("functions")));
    }
    print_bytes();
    let mut turns = Series::new("a conductor's turn of one function", "us", "gateways");
    for gateways in GATEWAYS {
        turns.add(gateways, (0..RUNS).map(|_| turn_us(gateways)).collect());
    }
    let mut looks = Series::new("a gateway's evaluation of its plans", "us", "functions with a plan");
    let mut choices = Series::new("choosing a call's version", "us", "functions with a plan");
    let mut memory = Series::new("memory of plans at a gateway", "bytes", "functions with a plan");
    for functions in FUNCTIONS {
        looks.add(functions, (0..RUNS).map(|_| look_us(functions)).collect());
        choices.add(functions, (0..RUNS).map(|_| choose_us(functions)).collect());
        let child = [MEMORY_ARGUMENT.to_owned(), functions.to_string()];
        memory.add(functions, (0..RUNS).map(|_| run_child_for_value(&child).expect("a child")).collect());
    }
    println!("\n{turns}\n{looks}\n{choices}\n{memory}");
}
