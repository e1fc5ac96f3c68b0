//! Assignment of versions to callers.

mod common;

use common::*;
use cresswheel_versions::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(12),
        ..ProptestConfig::with_cases(256)
    }
}

/// At each share the new version's part of 200,000 accounts is within five standard deviations of a binomial
/// count; a fair split passes all of these checks with a probability of more than 99.999 %.
#[test]
fn the_split_at_every_share_is_statistically_fair() {
    let accounts = 200_000u32;
    for salt in [[1, 2], [77, 0], [u64::MAX, 5]] {
        let points: Vec<u16> = (0..accounts).map(|n| point(salt, &format!("account-{n}"))).collect();
        for ten_thousandths in [1, 5, 100, 1_000, 2_500, 5_000, 9_999] {
            let share = Share::new(ten_thousandths).unwrap();
            let taken = points.iter().filter(|point| share.includes(**point)).count() as f64;
            let (n, p) = (f64::from(accounts), f64::from(ten_thousandths) / 1e4);
            let deviation = (taken - n * p) / (n * p * (1.0 - p)).sqrt();
            assert!(
                deviation.abs() < 5.0,
                "{share}: {taken} of {accounts}, {deviation:.1} standard deviations"
            );
        }
        assert!(points.iter().all(|point| Share::ALL.includes(*point) && !Share::NONE.includes(*point)));
    }
}

/// Two plans do not expose the same callers to their new versions: the hash buckets are independent. The
/// chi-square statistic of a 10 by 10 table has 81 degrees of freedom and exceeds 150 less than once in
/// 100,000 cases.
#[test]
fn plans_with_different_salts_choose_callers_independently() {
    let mut counts = [[0f64; 10]; 10];
    for n in 0..100_000 {
        let key = format!("account-{n}");
        counts[usize::from(point([1, 2], &key)) / 1_000][usize::from(point([2, 1], &key)) / 1_000] += 1.0;
    }
    let chi: f64 = counts.iter().flatten().map(|count| (count - 1_000.0).powi(2) / 1_000.0).sum();
    assert!(chi < 150.0, "chi-square {chi:.0}");
}

#[test]
fn version_affinity_follows_the_plan() {
    let callers = CallerIdentity { tenant: "t", account: "a", key: "k", trace: "x", call: "c" };
    assert_eq!(Affinity::Tenant.key(&callers), Some("t"));
    assert_eq!(Affinity::Account.key(&callers), Some("a"));
    assert_eq!(Affinity::Call.key(&callers), Some("k"), "a retry with the same key gets the same version");
    assert_eq!(Affinity::Call.key(&CallerIdentity { key: "", ..callers }), Some("x"));
    assert_eq!(Affinity::Call.key(&CallerIdentity { key: "", trace: "", ..callers }), Some("c"));
    assert_eq!(Affinity::Account.key(&CallerIdentity { account: "", ..callers }), None);
    // A caller without an affinity key gets the old version until the new one has all calls.
    let mut versions = Versions::new("g", 1, 1);
    let mut record = start();
    versions.act(0, record.clone());
    let side = |versions: &Versions, now| versions.choose(now, "arrears", &account("")).unwrap().side;
    assert_eq!(side(&versions, 6 * SECOND), Side::Old);
    record = then(&record, OrderKind::Promote, 2);
    versions.act(7 * SECOND, record);
    assert_eq!(side(&versions, 8 * SECOND), Side::New);
    assert_eq!(versions.choose(8 * SECOND, "other", &account("a")), None, "a function without a plan");
}

#[test]
fn shares_are_formatted_as_percentages() {
    let cases = [
        (0, "0%"),
        (1, "0.01%"),
        (10, "0.1%"),
        (25, "0.25%"),
        (100, "1%"),
        (1_250, "12.5%"),
        (10_000, "100%"),
    ];
    for (share, text) in cases {
        assert_eq!(Share::new(share).unwrap().to_string(), text);
    }
    assert_eq!(Share::new(10_001), None);
}

proptest! {
    #![proptest_config(config())]

    /// Widening moves callers from the old version to the new and never back, alike at all gateways.
    #[test]
    fn a_greater_share_moves_callers_only_to_the_new_version(names in prop::collection::vec("[a-z0-9]{1,12}", 1..40), salt: [u64; 2]) {
        let plan = Plan { salt, preload: 0, ..plan() };
        let mut record = Record::start(plan, None, 1, 0, "", "").unwrap();
        let mut gateways: Vec<Versions> = (0..3).map(|n| Versions::new(&n.to_string(), n, 3)).collect();
        let mut before = vec![Side::Old; names.len()];
        for at in 0..4 {
            gateways.iter_mut().for_each(|gateway| gateway.act(at, record.clone()));
            let sides = |gateway: &Versions| -> Vec<Side> {
                names.iter().map(|name| gateway.choose(at, "arrears", &account(name)).unwrap().side).collect()
            };
            let now = sides(&gateways[0]);
            for gateway in &gateways {
                prop_assert_eq!(&sides(gateway), &now);
            }
            prop_assert!(before.iter().zip(&now).all(|(before, now)| before <= now));
            before = now;
            let kind = if at < 2 { OrderKind::Widen } else { OrderKind::Promote };
            record = record.next(kind, at, 0, "", "").unwrap_or(record);
        }
        prop_assert!(before.iter().all(|side| *side == Side::New));
    }
}
