//! The sequential test: its mean under chance, its false alarms, its speed against what it promises.

mod common;

use common::*;
use cresswheel_versions::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;

fn lot(rng: &mut Pcg32) -> f64 {
    f64::from(rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
}

fn choose(n: u64, k: u64) -> f64 {
    (0..k).map(|at| (n - at) as f64 / (at + 1) as f64).product()
}

/// Over all splits that chance may make, the factor of a stretch has a mean of exactly one where the odds are the
/// greatest borne, and of less where they are smaller.
#[test]
fn a_stretch_has_a_mean_of_one_under_chance() {
    for (new, old, bad) in [(3, 5, 2), (10, 90, 7), (1, 40, 12), (50, 50, 100), (20, 4, 9)] {
        for (borne, odds) in [(1.0, 1.0), (1.5, 1.5), (1.5, 1.0), (2.0, 0.3)] {
            let splits = bad_splits(new, old, bad);
            let weight = |k: u64| choose(new, k) * choose(old, bad - k) * f64::powi(odds, k as i32);
            let all: f64 = splits.clone().map(weight).sum();
            let factor = |k: u64| {
                let mut comparison = Comparison::new(borne);
                comparison.add((new, k), (old, bad - k));
                comparison.evidence()
            };
            let mean: f64 = splits.map(|k| weight(k) / all * factor(k)).sum();
            if odds == borne {
                assert!((mean - 1.0).abs() < 1e-9, "{new} {old} {bad} at {odds}: {mean}");
            } else {
                assert!(mean <= 1.0 + 1e-9, "{new} {old} {bad} at {odds} of {borne}: {mean}");
            }
        }
    }
}

fn bad_splits(new: u64, old: u64, bad: u64) -> std::ops::RangeInclusive<u64> {
    bad.saturating_sub(old)..=bad.min(new)
}

#[test]
fn nothing_to_compare_is_no_evidence_and_absurd_counts_do_no_harm() {
    let mut comparison = Comparison::new(1.5);
    for (new, old) in
        [((0, 0), (10, 10)), ((10, 10), (0, 0)), ((10, 0), (10, 0)), ((u64::MAX, u64::MAX), (9, 9))]
    {
        comparison.add(new, old);
        assert_eq!(comparison.evidence(), 1.0);
    }
    // More bad answers than answers are as many as there are.
    comparison.add((3, 9), (5, 7));
    assert!(comparison.evidence().is_finite());
    let mut long = Comparison::new(1.0);
    long.add((1_000_000, 40_000), (1_000_000, 40_000));
    assert!(long.evidence().is_finite());
}

/// A plan's calls in stretches of a second: `calls` a stretch, bad with these chances. Answers of the new version until
/// the judge spoke, if it did within so many stretches.
fn run(
    rng: &mut Pcg32,
    guard: &Guard,
    share: f64,
    calls: u32,
    bad: (f64, f64),
    stretches: u32,
) -> Option<u64> {
    let mut judge = Judge::new(guard, 1);
    let mut harmed = 0;
    for _ in 0..stretches {
        let (mut old, mut new) = (Tally::default(), Tally::default());
        for _ in 0..calls {
            let takes = lot(rng) < share;
            let (tally, chance) = if takes { (&mut new, bad.1) } else { (&mut old, bad.0) };
            tally.answered += 1;
            tally.erred += u64::from(lot(rng) < chance);
        }
        harmed += new.answered;
        judge.add("estimate", &old, &new);
        if judge.verdict().is_some() {
            return Some(harmed);
        }
    }
    None
}

/// A guard of one in ten speaks against an equal version in less than one plan of ten, though it looks after every
/// second: 400 plans, and one of 0.1 would give 52 or more of them (two standard deviations) once in 40.
#[test]
fn false_alarms_are_rarer_than_stated() {
    let guard = Guard { false_alarm: 0.1, worse: 1.0, ..plan().guard };
    let mut rng = Pcg32::new(5, 1);
    for (share, bad) in [(0.01, 0.02), (0.5, 0.02), (0.1, 0.3)] {
        let alarms = (0..400).filter(|_| run(&mut rng, &guard, share, 200, (bad, bad), 60).is_some()).count();
        assert!(alarms < 52, "{alarms} of 400 at a share of {share}");
    }
}

/// What is borne is no alarm; what is plainly worse is always found.
#[test]
fn a_bad_version_is_found_near_the_promised_count() {
    let guard = plan().guard;
    let mut rng = Pcg32::new(6, 1);
    for (share, calls, bad) in
        [(0.01, 2_000, (0.002, 0.5)), (0.01, 2_000, (0.01, 0.1)), (0.1, 500, (0.01, 1.0))]
    {
        let promised = promised_calls(&guard, 1, share, bad);
        let each = share * f64::from(calls);
        let found: Vec<u64> =
            (0..100).map(|_| run(&mut rng, &guard, share, calls, bad, 2_000).expect("found")).collect();
        let mean = found.iter().sum::<u64>() as f64 / found.len() as f64;
        // The last stretch is counted whole, and the evidence overshoots.
        assert!(mean < 1.5 * promised + 2.0 * each, "{mean:.0} calls at {share}, {promised:.0} promised");
        assert!(mean > 0.5 * promised, "{mean:.0} calls at {share}, {promised:.0} promised");
    }
}

#[test]
fn the_verdict_names_the_class_and_what_was_worse() {
    let guard = plan().guard;
    let mut judge = Judge::new(&guard, 1);
    let tally = |answered, errors, late| Tally { answered, errors, late, erred: errors };
    judge.add("unheard-of", &tally(1_000, 0, 0), &tally(1_000, 900, 0));
    judge.add("post", &tally(1_000, 10, 20), &tally(100, 1, 2));
    assert_eq!(judge.verdict(), None, "an equal version, and a class that is not guarded");
    judge.add("post", &tally(1_000, 10, 20), &tally(100, 1, 60));
    let worse = judge.verdict().unwrap();
    assert_eq!((worse.class.as_str(), worse.what), ("post", "late"));
    assert!(worse.to_string().starts_with("post: more late than the old version's, evidence "));
    // Of many judges each must be surer, so that all of them together keep the rate.
    let mut one_of_many = Judge::new(&guard, 260);
    one_of_many.add("post", &tally(1_000, 10, 0), &tally(20, 6, 0));
    let mut alone = Judge::new(&guard, 1);
    alone.add("post", &tally(1_000, 10, 0), &tally(20, 6, 0));
    assert!(alone.verdict().is_some() && one_of_many.verdict().is_none());
}

/// Answers that come one at a time, the versions never together, are compared all the same.
#[test]
fn a_stretch_lasts_until_there_is_something_to_compare() {
    let mut judge = Judge::new(&plan().guard, 1);
    let one = |erred| Tally { answered: 1, erred, errors: 0, late: 0 };
    let none = Tally::default();
    for _ in 0..30 {
        judge.add("post", &one(0), &none);
        judge.add("post", &none, &one(1));
    }
    assert_eq!(judge.verdict().map(|worse| worse.what), Some("errors"));
    // A stretch that is not over is closed before a decision.
    let mut short = Judge::new(&plan().guard, 1);
    for _ in 0..15 {
        short.add("post", &one(0), &none);
        short.add("post", &none, &one(1));
    }
    assert_eq!(short.verdict(), None);
    short.close();
    assert_eq!(short.verdict().map(|worse| worse.what), Some("errors"));
}
