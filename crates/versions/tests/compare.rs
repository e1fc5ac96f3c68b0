//! Comparison of answers to the same call.

use cresswheel_versions::*;

fn compare(within: f64) -> Compare {
    Compare { share: Share::ALL, differ: 0.01, within }
}

#[test]
fn answers_are_compared_by_bytes_or_with_a_tolerance_for_numbers() {
    let exact = compare(0.0);
    assert!(exact.answers_match(b"{\"due\": 100}", b"{\"due\": 100}"));
    assert!(!exact.answers_match(b"{\"due\": 100}", b"{\"due\": 100.0}"));
    let near = compare(0.01);
    for (a, b, same) in [
        ("{\"due\": 100}", "{\"due\": 100.0}", true),
        ("{\"due\": 100}", "{\"due\": 100.9}", true),
        ("{\"due\": 100}", "{\"due\": 102}", false),
        ("{\"due\": -5}", "{\"due\": 5}", false),
        ("0", "0.0", true),
        ("0", "0.001", false),
        ("a1b2", "a1b2.01", true),
        ("a1b2", "a1c2", false),
        ("1 2", "1 2 3", false),
        ("1.2.3", "1.2.3", true),
        ("1.2.3", "1.2.4", false),
        ("", "0", false),
        ("-", "+", false),
    ] {
        assert_eq!(near.answers_match(a.as_bytes(), b.as_bytes()), same, "{a} and {b}");
        assert_eq!(near.answers_match(b.as_bytes(), a.as_bytes()), same, "{b} and {a}");
    }
    assert!(
        near.answers_match(&[255, 0, 7], &[255, 0, 7]) && !near.answers_match(&[255, 0, 7], &[255, 1, 7])
    );
}

/// Over all outcomes of twelve pairs, the expected evidence is one at the tolerated share of differing
/// answers, and less below it.
#[test]
fn the_evidence_has_an_expectation_of_one_at_the_tolerated_share() {
    for (tolerated, truth) in [(0.01, 0.01), (0.2, 0.2), (0.2, 0.05), (0.97, 0.97)] {
        let mut mean = 0.0;
        for differ in 0..=12u64 {
            let ways: f64 = (0..differ).map(|at| (12 - at) as f64 / (at + 1) as f64).product();
            let chance = ways * f64::powi(truth, differ as i32) * f64::powi(1.0 - truth, 12 - differ as i32);
            let mut evidence = DifferenceTest::new(tolerated);
            evidence.add(12, differ);
            mean += chance * evidence.evidence();
        }
        assert!(mean <= 1.0 + 1e-9, "{tolerated} {truth}: {mean}");
        assert!(tolerated != truth || mean > 1.0 - 1e-9, "{tolerated} {truth}: {mean}");
    }
}

#[test]
fn differing_answers_are_found_beyond_the_tolerance_and_accepted_within_it() {
    let guard = Guard { compare: Some(compare(0.0)), ..Guard::new(vec!["c".into()]) };
    let mut judge = RegressionTest::new(&guard, 1);
    judge.compared(1_000, 10);
    assert_eq!(judge.verdict(), None);
    judge.compared(50, 20);
    assert_eq!(judge.verdict().map(|worse| worse.metric), Some("differing answers"));
    let mut absurd = RegressionTest::new(&guard, 1);
    absurd.compared(u64::MAX, u64::MAX);
    absurd.compared(3, 9);
    let _ = absurd.verdict();
}

#[test]
fn compared_calls_are_chosen_independently_of_the_share() {
    let compare = Compare { share: Share::new(5_000).unwrap(), differ: 0.01, within: 0.0 };
    let salt = [7, 9];
    let first: Vec<String> = (0..20_000).map(|n| n.to_string()).filter(|n| point(salt, n) < 1_000).collect();
    let taken = first.iter().filter(|name| compare.takes(salt, name)).count() as f64;
    // Expected is half of about two thousand calls, within five standard deviations.
    let n = first.len() as f64;
    assert!((taken - n / 2.0).abs() < 5.0 * (n / 4.0).sqrt(), "{taken} of {n}");
}
