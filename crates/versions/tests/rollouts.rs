//! How one gateway applies its records: loading before the share grows, lease, brake, restart.

mod common;

use common::*;
use cresswheel_versions::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn share(versions: &Versions, now: u64) -> (u16, Option<ShareOverride>) {
    let status = versions.status(now, Some("arrears")).remove(0);
    (status.share.ten_thousandths(), status.hold)
}

fn gateway_with(record: &Record) -> Versions {
    let mut versions = Versions::new("g", 1, 4);
    versions.act(0, record.clone());
    versions
}

#[test]
fn the_share_grows_when_the_new_version_is_loaded_or_the_preload_time_is_over() {
    let record = start();
    let mut versions = gateway_with(&record);
    assert_eq!(share(&versions, SECOND), (0, Some(ShareOverride::Loading)));
    let expected = PrewarmTarget { function: "arrears@8".into(), like: "arrears@7".into() };
    assert_eq!(versions.prewarm_targets(SECOND), [expected]);
    // Loads of the old version don't count.
    versions.load_ended("arrears@7", true);
    assert_eq!(share(&versions, SECOND), (0, Some(ShareOverride::Loading)));
    versions.load_ended("arrears@8", true);
    assert_eq!(share(&versions, SECOND), (100, None));
    // Without news of any load, the end of the preload time is enough.
    assert_eq!(share(&gateway_with(&record), 5 * SECOND), (100, None));
}

#[test]
fn a_version_that_cannot_be_loaded_gets_no_calls() {
    let mut versions = gateway_with(&start());
    versions.load_ended("arrears@8", false);
    assert_eq!(share(&versions, 20 * SECOND), (0, Some(ShareOverride::LoadsFail)));
    versions.load_ended("arrears@8", true);
    assert_eq!(share(&versions, 20 * SECOND), (100, None));
    versions.load_ended("arrears@8", false);
    assert_eq!(
        share(&versions, 21 * SECOND),
        (100, None),
        "a failed load at one worker does not reduce the share"
    );
}

#[test]
fn a_gateway_without_contact_keeps_its_share_until_the_lease_expires() {
    let record = start();
    let mut versions = gateway_with(&record);
    versions.load_ended("arrears@8", true);
    assert_eq!(share(&versions, 30 * SECOND), (100, None));
    assert_eq!(share(&versions, 30 * SECOND + 1), (0, Some(ShareOverride::Lapsed)));
    assert!(versions.prewarm_targets(31 * SECOND).is_empty());
    assert!(
        !versions.renew(40 * SECOND, "arrears", Precedence::default()),
        "a conductor of another order does not renew the lease"
    );
    assert!(versions.renew(40 * SECOND, "arrears", record.precedence()));
    assert_eq!(share(&versions, 41 * SECOND), (100, None), "the current step applies again");
    // A plan that has ended needs no lease.
    versions.act(42 * SECOND, then(&record, OrderKind::Promote, 2));
    assert_eq!(share(&versions, 9_000 * SECOND), (10_000, None));
}

#[test]
fn the_lease_of_a_restored_record_counts_from_the_last_contact() {
    let record = start();
    let restored = |heard| {
        let mut versions = Versions::new("g", 2, 4);
        versions.restore(100 * SECOND, heard, record.clone(), None);
        share(&versions, 106 * SECOND)
    };
    assert_eq!(restored(90 * SECOND), (100, None));
    assert_eq!(restored(70 * SECOND), (0, Some(ShareOverride::Lapsed)));
    assert_eq!(restored(900 * SECOND), (100, None), "a clock that was set back does not extend the lease");
    let mut versions = Versions::new("g", 2, 4);
    versions.restore(100 * SECOND, 900 * SECOND, record.clone(), None);
    assert_eq!(share(&versions, 131 * SECOND), (0, Some(ShareOverride::Lapsed)));
    versions = Versions::new("g", 2, 4);
    versions.restore(100 * SECOND, 100 * SECOND, record.clone(), Some("as seen".into()));
    assert_eq!(share(&versions, 106 * SECOND), (0, Some(ShareOverride::Braked("as seen".into()))));
}

#[test]
fn own_counts_brake_the_rollout_until_a_newer_order() {
    let record = then(&then(&start(), OrderKind::Widen, 2), OrderKind::Pause, 3);
    let mut versions = gateway_with(&record);
    versions.load_ended("arrears@8", true);
    let answer = |versions: &mut Versions, side, good: u32, bad: u32| {
        (0..good).for_each(|_| versions.count_answer("arrears", side, "post", End::InTime, false));
        (0..bad).for_each(|_| versions.count_answer("arrears", side, "post", End::InTime, true));
    };
    answer(&mut versions, Side::Old, 900, 2);
    answer(&mut versions, Side::New, 90, 10);
    assert!(versions.judge(SECOND + SECOND / 2).is_empty(), "answers within the settle time are not judged");
    answer(&mut versions, Side::Old, 900, 2);
    answer(&mut versions, Side::New, 90, 0);
    assert!(versions.judge(3 * SECOND).is_empty());
    answer(&mut versions, Side::Old, 900, 2);
    answer(&mut versions, Side::New, 80, 10);
    assert!(versions.judge(3 * SECOND + 1).is_empty(), "judged at most once per second");
    assert_eq!(versions.judge(4 * SECOND), ["arrears"]);
    assert!(matches!(share(&versions, 5 * SECOND), (0, Some(ShareOverride::Braked(_)))));
    assert!(versions.judge(6 * SECOND).is_empty(), "reported once");
    versions.act(7 * SECOND, then(&record, OrderKind::Resume, 4));
    assert_eq!(share(&versions, 7 * SECOND), (1_000, None));
}

#[test]
fn the_old_version_is_kept_loaded_for_a_limited_time_after_promotion() {
    let mut record = start();
    let mut versions = gateway_with(&record);
    versions.load_ended("arrears@8", true);
    for id in [2, 3] {
        record = then(&record, OrderKind::Widen, id);
        versions.act(0, record.clone());
    }
    let old = [PrewarmTarget { function: "arrears@7".into(), like: "arrears@8".into() }];
    assert_eq!(
        versions.prewarm_targets(SECOND),
        old,
        "the new version has all calls, and a rollback is still possible"
    );
    versions.act(2 * SECOND, then(&record, OrderKind::Promote, 4));
    assert_eq!(versions.prewarm_targets(61 * SECOND), old);
    assert!(versions.prewarm_targets(62 * SECOND).is_empty());
    versions.act(63 * SECOND, then(&then(&record, OrderKind::Promote, 4), OrderKind::RollBack, 5));
    assert_eq!(versions.choose(63 * SECOND, "arrears", &account("a")).unwrap().side, Side::Old, "at once");
}

#[test]
fn invalid_records_are_rejected_with_a_reason_and_change_nothing() {
    let mut versions = gateway_with(&start());
    let wrong = |edit: fn(&mut Record)| {
        let mut record = then(&start(), OrderKind::Widen, 9);
        edit(&mut record);
        match versions.weigh(&record) {
            RecordOrder::Wrong(why) => why,
            other => panic!("{other:?}"),
        }
    };
    assert!(wrong(|r| r.plan.function.clear()).contains("function is empty"));
    assert!(wrong(|r| r.plan.new = "8@9".into()).contains("an @ stands between"));
    assert!(wrong(|r| r.plan.new = r.plan.old.clone()).contains("old and new are both \"7\""));
    assert!(wrong(|r| r.plan.steps.clear()).contains("there are no steps"));
    assert!(wrong(|r| r.plan.steps.reverse()).contains("steps[1]: 10% comes after 100%: steps only widen"));
    assert!(wrong(|r| r.plan.guard.false_alarm = f64::NAN).contains("false_alarm = NaN"));
    assert!(wrong(|r| r.plan.guard.worse = 0.5).contains("worse = 0.5"));
    assert!(wrong(|r| r.plan.guard.classes.clear()).contains("names no class"));
    assert!(wrong(|r| r.stage = Stage::Step(7)).contains("Step(7) of a plan with 3 steps"));
    assert!(wrong(|r| r.why = "x".repeat(500)).contains("why has more than"));
    let before = versions.status(SECOND, None);
    versions.act(SECOND, Record { stage: Stage::Step(9), ..then(&start(), OrderKind::Widen, 9) });
    assert_eq!(versions.status(SECOND, None), before);
}

#[test]
fn a_plan_starts_only_after_the_previous_one_has_ended() {
    let first = start();
    let start_plan = |old: &str, new: &str, before: &Record| {
        let plan = Plan { old: old.into(), new: new.into(), ..plan() };
        Record::start(plan, Some(before), 9, 0, "", "")
    };
    assert!(start_plan("8", "9", &first).unwrap_err().contains("under way, at epoch 1"));
    let promoted = then(&first, OrderKind::Promote, 2);
    assert!(
        start_plan("7", "9", &promoted)
            .unwrap_err()
            .contains("runs version \"8\", and the plan's old is \"7\"")
    );
    assert_eq!(start_plan("8", "9", &promoted).unwrap().epoch, 3);
    let back = then(&promoted, OrderKind::RollBack, 3);
    assert_eq!(start_plan("7", "9", &back).unwrap().epoch, 4);
    for kind in [OrderKind::Widen, OrderKind::Promote, OrderKind::Pause, OrderKind::Resume] {
        assert!(back.next(kind, 4, 0, "", "").unwrap_err().contains("rolled back already, at epoch 3"));
    }
}

/// Orders of two operators, some of them conflicting.
fn orders() -> Vec<Record> {
    let first = start();
    let widened = then(&first, OrderKind::Widen, 20);
    let mut all = vec![first.clone(), widened.clone()];
    for (kind, id) in [
        (OrderKind::RollBack, 30),
        (OrderKind::Pause, 31),
        (OrderKind::Promote, 32),
        (OrderKind::Widen, 33),
        (OrderKind::Widen, 34),
    ] {
        all.push(then(&widened, kind, id));
    }
    all.push(then(&first, OrderKind::RollBack, 21));
    all
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None, rng_seed: RngSeed::Fixed(12), ..ProptestConfig::with_cases(256)
    })]

    #[test]
    fn gateways_converge_whatever_the_order_of_records(
        deliveries in prop::collection::vec(Just(orders()).prop_shuffle(), 3),
        repeats in prop::collection::vec(0usize..8, 0..6),
    ) {
        let ends: Vec<Record> = deliveries.iter().map(|delivery| {
            let mut versions = Versions::new("g", 1, 3);
            let mut mark = Precedence::default();
            for record in delivery.iter().chain(repeats.iter().map(|at| &delivery[*at])) {
                let weight = versions.weigh(record);
                assert_eq!(weight == RecordOrder::Newer, record.precedence() > mark);
                assert_eq!(weight == RecordOrder::Same, record.precedence() == mark);
                versions.act(0, record.clone());
                mark = mark.max(record.precedence());
            }
            versions.status(0, None).remove(0).record
        }).collect();
        prop_assert!(ends.iter().all(|end| *end == ends[0]));
        prop_assert_eq!(ends[0].stage, Stage::RolledBack, "a rollback prevails over other orders of its epoch");
    }
}
