//! The sequential test: its expectation without a difference, its false alarms, and its speed against the
//! prediction.

mod common;

use common::*;
use cresswheel_versions::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;

fn random(rng: &mut Pcg32) -> f64 {
    f64::from(rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
}

fn binomial(n: u64, k: u64) -> f64 {
    (0..k).map(|at| (n - at) as f64 / (at + 1) as f64).product()
}

/// Over all possible splits, the factor of a window has an expectation of one at the greatest tolerated odds,
/// and at most one below them.
#[test]
fn a_window_has_an_expectation_of_one_at_the_tolerated_odds() {
    for (new, old, bad) in [(3, 5, 2), (10, 90, 7), (1, 40, 12), (50, 50, 100), (20, 4, 9)] {
        for (tolerated, odds) in [(1.0, 1.0), (1.5, 1.5), (1.5, 1.0), (2.0, 0.3)] {
            let splits = bad_splits(new, old, bad);
            let weight = |k: u64| binomial(new, k) * binomial(old, bad - k) * f64::powi(odds, k as i32);
            let all: f64 = splits.clone().map(weight).sum();
            let factor = |k: u64| {
                let mut comparison = OddsTest::new(tolerated);
                comparison.add((new, k), (old, bad - k));
                comparison.evidence()
            };
            let mean: f64 = splits.map(|k| weight(k) / all * factor(k)).sum();
            if odds == tolerated {
                assert!((mean - 1.0).abs() < 1e-9, "{new} {old} {bad} at {odds}: {mean}");
            } else {
                assert!(mean <= 1.0 + 1e-9, "{new} {old} {bad} at {odds} of {tolerated}: {mean}");
            }
        }
    }
}

fn bad_splits(new: u64, old: u64, bad: u64) -> std::ops::RangeInclusive<u64> {
    bad.saturating_sub(old)..=bad.min(new)
}

#[test]
fn windows_without_a_comparison_and_invalid_counts_are_no_evidence() {
    let mut comparison = OddsTest::new(1.5);
    for (new, old) in
        [((0, 0), (10, 10)), ((10, 10), (0, 0)), ((10, 0), (10, 0)), ((u64::MAX, u64::MAX), (9, 9))]
    {
        comparison.add(new, old);
        assert_eq!(comparison.evidence(), 1.0);
    }
    // A count of bad answers above the count of answers is capped.
    comparison.add((3, 9), (5, 7));
    assert!(comparison.evidence().is_finite());
    let mut long = OddsTest::new(1.0);
    long.add((1_000_000, 40_000), (1_000_000, 40_000));
    assert!(long.evidence().is_finite());
}

/// Simulates `calls` per window, with the given probabilities of a bad answer. Returns the number of answers
/// of the new version until the judge found it worse, or `None` if it did not within this many windows.
fn run(
    rng: &mut Pcg32,
    guard: &Guard,
    share: f64,
    calls: u32,
    bad: (f64, f64),
    max_windows: u32,
) -> Option<u64> {
    let mut judge = RegressionTest::new(guard, 1);
    let mut new_answers = 0;
    for _ in 0..max_windows {
        let (mut old, mut new) = (Tally::default(), Tally::default());
        for _ in 0..calls {
            let takes = random(rng) < share;
            let (tally, chance) = if takes { (&mut new, bad.1) } else { (&mut old, bad.0) };
            tally.answered += 1;
            tally.erred += u64::from(random(rng) < chance);
        }
        new_answers += new.answered;
        judge.add("estimate", &old, &new);
        if judge.verdict().is_some() {
            return Some(new_answers);
        }
    }
    None
}

/// A guard with a false alarm rate of 0.1 rejects an equal version in less than one plan of ten, though it is
/// evaluated after each window. A true rate of 0.1 gives 52 or more alarms in 400 plans (two standard
/// deviations) once in 40 times.
#[test]
fn false_alarms_are_rarer_than_the_stated_rate() {
    let guard = Guard { false_alarm: 0.1, worse: 1.0, ..plan().guard };
    let mut rng = Pcg32::new(5, 1);
    for (share, bad) in [(0.01, 0.02), (0.5, 0.02), (0.1, 0.3)] {
        let alarms = (0..400).filter(|_| run(&mut rng, &guard, share, 200, (bad, bad), 60).is_some()).count();
        assert!(alarms < 52, "{alarms} of 400 at a share of {share}");
    }
}

/// A clearly worse version is always found, after about the predicted number of calls.
#[test]
fn a_bad_version_is_found_after_about_the_predicted_number_of_calls() {
    let guard = plan().guard;
    let mut rng = Pcg32::new(6, 1);
    for (share, calls, bad) in
        [(0.01, 2_000, (0.002, 0.5)), (0.01, 2_000, (0.01, 0.1)), (0.1, 500, (0.01, 1.0))]
    {
        let predicted = expected_calls_to_detection(&guard, 1, share, bad);
        let each = share * f64::from(calls);
        let found: Vec<u64> =
            (0..100).map(|_| run(&mut rng, &guard, share, calls, bad, 2_000).expect("found")).collect();
        let mean = found.iter().sum::<u64>() as f64 / found.len() as f64;
        // The last window counts completely, and the evidence exceeds its threshold.
        assert!(mean < 1.5 * predicted + 2.0 * each, "{mean:.0} calls at {share}, {predicted:.0} predicted");
        assert!(mean > 0.5 * predicted, "{mean:.0} calls at {share}, {predicted:.0} predicted");
    }
}

#[test]
fn the_verdict_names_the_class_and_what_was_worse() {
    let guard = plan().guard;
    let mut judge = RegressionTest::new(&guard, 1);
    let tally = |answered, errors, late| Tally { answered, errors, late, erred: errors };
    judge.add("unguarded", &tally(1_000, 0, 0), &tally(1_000, 900, 0));
    judge.add("post", &tally(1_000, 10, 20), &tally(100, 1, 2));
    assert_eq!(judge.verdict(), None, "an equal version, and a class that is not guarded");
    judge.add("post", &tally(1_000, 10, 20), &tally(100, 1, 60));
    let worse = judge.verdict().unwrap();
    assert_eq!((worse.class.as_str(), worse.metric), ("post", "late"));
    assert!(worse.to_string().starts_with("post: more late than the old version's, evidence "));
    // Each of many judges needs stronger evidence, so that together they keep the false alarm rate.
    let mut one_of_many = RegressionTest::new(&guard, 260);
    one_of_many.add("post", &tally(1_000, 10, 0), &tally(20, 6, 0));
    let mut alone = RegressionTest::new(&guard, 1);
    alone.add("post", &tally(1_000, 10, 0), &tally(20, 6, 0));
    assert!(alone.verdict().is_some() && one_of_many.verdict().is_none());
}

/// Answers that arrive one at a time, never of both versions together, are compared all the same.
#[test]
fn a_window_lasts_until_both_versions_have_answers() {
    let mut judge = RegressionTest::new(&plan().guard, 1);
    let one = |erred| Tally { answered: 1, erred, errors: 0, late: 0 };
    let none = Tally::default();
    for _ in 0..30 {
        judge.add("post", &one(0), &none);
        judge.add("post", &none, &one(1));
    }
    assert_eq!(judge.verdict().map(|worse| worse.metric), Some("errors"));
    // `close` ends the current window before a decision.
    let mut short = RegressionTest::new(&plan().guard, 1);
    for _ in 0..15 {
        short.add("post", &one(0), &none);
        short.add("post", &none, &one(1));
    }
    assert_eq!(short.verdict(), None);
    short.close();
    assert_eq!(short.verdict().map(|worse| worse.metric), Some("errors"));
}
