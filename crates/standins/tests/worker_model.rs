//! The worker model: loads, misses, limits and the overload of a cold worker.

use std::collections::BTreeSet;

use cresswheel_protocol::{Ending, FunctionProfile};
use cresswheel_standins::{Effect, Job, Model, Profile};

const MILLISECOND: u64 = 1_000;
const SECOND: u64 = 1_000_000;

fn shape() -> FunctionProfile {
    FunctionProfile { memory_mb: 4_000, lanes: 2, load_time: 100 * MILLISECOND, work: 10 * MILLISECOND }
}

fn job(number: u64, function: &str) -> Job {
    Job { number, function: function.into(), shape: shape(), deadline: 1_000 * SECOND }
}

/// Advances the model until `until` and ends each fetch after its time. Returns all effects.
fn run_until(model: &mut Model, now: &mut u64, until: u64) -> Vec<Effect> {
    let (mut out, mut seen) = (Vec::new(), Vec::new());
    let mut fetches = BTreeSet::new();
    loop {
        for effect in out.drain(..) {
            if let Effect::Fetch(name, time) = &effect {
                fetches.insert((*now + time, name.clone()));
            }
            seen.push(effect);
        }
        let fetch = fetches.first().map(|(at, _): &(u64, String)| *at);
        let Some(at) = model.next().into_iter().chain(fetch).min().filter(|at| *at <= until) else {
            *now = until;
            return seen;
        };
        *now = at.max(*now);
        while let Some((_, name)) = fetches.pop_first_if(|(at, _)| *at <= *now) {
            model.fetched(*now, &name, true, &mut out);
        }
        model.pass(*now, &mut out);
    }
}

trait PopIf {
    fn pop_first_if(&mut self, ok: impl Fn(&(u64, String)) -> bool) -> Option<(u64, String)>;
}

impl PopIf for BTreeSet<(u64, String)> {
    fn pop_first_if(&mut self, ok: impl Fn(&(u64, String)) -> bool) -> Option<(u64, String)> {
        if self.first().is_some_and(ok) { self.pop_first() } else { None }
    }
}

#[test]
fn a_call_misses_or_waits_for_the_load_and_an_idle_instance_is_unloaded() {
    let (mut now, mut out) = (100 * SECOND, Vec::new());
    let mut model = Model::new(Profile::default(), 0);
    model.run(now, job(1, "f"), &mut out);
    assert_eq!(out, [Effect::Ended(1, Ending::Miss, 0)]);
    out.clear();
    model.hold(now, 7, "f", 1, shape(), &mut out);
    assert_eq!(out, [Effect::Fetch("f".into(), 60 * MILLISECOND)]);
    model.run(now, job(2, "f"), &mut out);
    model.fetched(now + 60 * MILLISECOND, "f", true, &mut out);
    let seen = run_until(&mut model, &mut now, 101 * SECOND);
    assert!(
        seen.contains(&Effect::Held(7, Ending::Ok, 1)) && seen.contains(&Effect::Ended(2, Ending::Ok, 0))
    );
    assert_eq!(model.memory(), 4_000);
    run_until(&mut model, &mut now, 120 * SECOND);
    assert_eq!(model.memory(), 0, "unloaded after keep-alive");
}

#[test]
fn memory_concurrency_and_queue_limit_accepted_calls() {
    let mut now = 100 * SECOND;
    let profile = Profile { memory_mb: 9_000, queue: 3, load_on_call: true, ..Profile::default() };
    let mut model = Model::new(profile, 0);
    let mut out = Vec::new();
    for (number, function) in [(1, "a"), (2, "b"), (3, "c"), (4, "a"), (5, "a"), (6, "a")] {
        model.run(now, job(number, function), &mut out);
    }
    // There is no memory for the third function while the others load; the queue holds three calls.
    let full: Vec<u64> = out
        .iter()
        .filter_map(|e| if let Effect::Ended(n, Ending::Full, _) = e { Some(*n) } else { None })
        .collect();
    assert_eq!(full, [3, 5, 6]);
    for name in ["a", "b"] {
        model.fetched(now + 60 * MILLISECOND, name, true, &mut out);
    }
    run_until(&mut model, &mut now, 101 * SECOND);
    out.clear();
    model.run(now, job(7, "c"), &mut out);
    assert_eq!(out, [Effect::Fetch("c".into(), 60 * MILLISECOND)], "an idle instance is unloaded");
}

#[test]
fn a_failed_load_ends_waiting_calls_and_orders() {
    let mut model = Model::new(Profile { load_on_call: true, ..Profile::default() }, 0);
    let mut out = Vec::new();
    model.run(100 * SECOND, job(1, "f"), &mut out);
    model.hold(100 * SECOND, 2, "f", 1, shape(), &mut out);
    model.fetched(101 * SECOND, "f", false, &mut out);
    assert!(out.contains(&Effect::Ended(1, Ending::LoadFailed, 0)));
    assert!(out.contains(&Effect::Held(2, Ending::LoadFailed, 0)));
    assert_eq!(model.memory(), 0);
}

#[test]
fn overload_makes_a_cold_worker_collapse_but_not_a_warm_one() {
    let collapses = |started: u64, calls: u64| {
        let profile = Profile { load_on_call: true, queue: 10_000, ..Profile::default() };
        let mut model = Model::new(profile, started);
        let mut out = Vec::new();
        for number in 0..calls {
            model.run(100 * SECOND + number, job(number, "f"), &mut out);
        }
        model.collapsed
    };
    // 4 cores at a fifth of their capacity, twice that for 3 s: 4.8 core-seconds, 480 calls of 10 ms.
    assert!(collapses(100 * SECOND, 500) && !collapses(100 * SECOND, 470) && !collapses(50 * SECOND, 500));
}
