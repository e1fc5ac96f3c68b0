//! What one gateway does about its records: loading first, lapsing, braking, coming back.

mod common;

use common::*;
use cresswheel_versions::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn share(versions: &Versions, now: u64) -> (u16, Option<Hold>) {
    let status = versions.status(now, Some("arrears")).remove(0);
    (status.share.ten_thousandths(), status.hold)
}

fn holding(record: &Record) -> Versions {
    let mut versions = Versions::new("g", 1, 4);
    versions.act(0, record.clone());
    versions
}

#[test]
fn a_share_rises_when_the_new_version_stands_or_the_time_for_it_is_over() {
    let record = start();
    let mut versions = holding(&record);
    assert_eq!(share(&versions, S), (0, Some(Hold::Loading)));
    let expected = Expected { function: "arrears@8".into(), like: "arrears@7".into() };
    assert_eq!(versions.expected(S), [expected]);
    // The old version's loads say nothing of the new one.
    versions.loaded("arrears@7", true);
    assert_eq!(share(&versions, S), (0, Some(Hold::Loading)));
    versions.loaded("arrears@8", true);
    assert_eq!(share(&versions, S), (100, None));
    // Without a word of any load, time is enough.
    assert_eq!(share(&holding(&record), 5 * S), (100, None));
}

#[test]
fn a_version_that_can_t_be_loaded_gets_no_calls() {
    let mut versions = holding(&start());
    versions.loaded("arrears@8", false);
    assert_eq!(share(&versions, 20 * S), (0, Some(Hold::LoadsFail)));
    versions.loaded("arrears@8", true);
    assert_eq!(share(&versions, 20 * S), (100, None));
    versions.loaded("arrears@8", false);
    assert_eq!(share(&versions, 21 * S), (100, None), "one worker without it is no reason to turn back");
}

#[test]
fn a_gateway_that_hears_nothing_holds_and_then_goes_back() {
    let record = start();
    let mut versions = holding(&record);
    versions.loaded("arrears@8", true);
    assert_eq!(share(&versions, 30 * S), (100, None));
    assert_eq!(share(&versions, 30 * S + 1), (0, Some(Hold::Lapsed)));
    assert!(versions.expected(31 * S).is_empty());
    assert!(!versions.renew(40 * S, "arrears", Mark::default()), "another order's conductor is none");
    assert!(versions.renew(40 * S, "arrears", record.mark()));
    assert_eq!(share(&versions, 41 * S), (100, None), "back at the present step");
    // What is over needs nobody.
    versions.act(42 * S, then(&record, Kind::Promote, 2));
    assert_eq!(share(&versions, 9_000 * S), (10_000, None));
}

#[test]
fn what_was_read_back_counts_from_when_its_conductor_was_heard() {
    let record = start();
    let read = |heard| {
        let mut versions = Versions::new("g", 2, 4);
        versions.restore(100 * S, heard, record.clone(), None);
        share(&versions, 106 * S)
    };
    assert_eq!(read(90 * S), (100, None));
    assert_eq!(read(70 * S), (0, Some(Hold::Lapsed)));
    assert_eq!(read(900 * S), (100, None), "a clock set back is no lease for ever");
    let mut versions = Versions::new("g", 2, 4);
    versions.restore(100 * S, 900 * S, record.clone(), None);
    assert_eq!(share(&versions, 131 * S), (0, Some(Hold::Lapsed)));
    versions = Versions::new("g", 2, 4);
    versions.restore(100 * S, 100 * S, record.clone(), Some("as seen".into()));
    assert_eq!(share(&versions, 106 * S), (0, Some(Hold::Braked("as seen".into()))));
}

#[test]
fn own_figures_brake_and_only_a_newer_order_lets_go() {
    let record = then(&then(&start(), Kind::Widen, 2), Kind::Pause, 3);
    let mut versions = holding(&record);
    versions.loaded("arrears@8", true);
    let answer = |versions: &mut Versions, side, good: u32, bad: u32| {
        (0..good).for_each(|_| versions.answered("arrears", side, "post", End::InTime, false));
        (0..bad).for_each(|_| versions.answered("arrears", side, "post", End::InTime, true));
    };
    answer(&mut versions, Side::Old, 900, 2);
    answer(&mut versions, Side::New, 90, 10);
    assert!(versions.look(S + S / 2).is_empty(), "what comes while it settles is not judged");
    answer(&mut versions, Side::Old, 900, 2);
    answer(&mut versions, Side::New, 90, 0);
    assert!(versions.look(3 * S).is_empty());
    answer(&mut versions, Side::Old, 900, 2);
    answer(&mut versions, Side::New, 80, 10);
    assert!(versions.look(3 * S + 1).is_empty(), "not twice within a second");
    assert_eq!(versions.look(4 * S), ["arrears"]);
    assert!(matches!(share(&versions, 5 * S), (0, Some(Hold::Braked(_)))));
    assert!(versions.look(6 * S).is_empty(), "told once");
    versions.act(7 * S, then(&record, Kind::Resume, 4));
    assert_eq!(share(&versions, 7 * S), (1_000, None));
}

#[test]
fn the_old_version_is_kept_loaded_for_a_rollback_and_then_let_go() {
    let mut record = start();
    let mut versions = holding(&record);
    versions.loaded("arrears@8", true);
    for id in [2, 3] {
        record = then(&record, Kind::Widen, id);
        versions.act(0, record.clone());
    }
    let old = [Expected { function: "arrears@7".into(), like: "arrears@8".into() }];
    assert_eq!(versions.expected(S), old, "all calls are the new version's, and a rollback may come");
    versions.act(2 * S, then(&record, Kind::Promote, 4));
    assert_eq!(versions.expected(61 * S), old);
    assert!(versions.expected(62 * S).is_empty());
    versions.act(63 * S, then(&then(&record, Kind::Promote, 4), Kind::RollBack, 5));
    assert_eq!(versions.choose(63 * S, "arrears", &account("a")).unwrap().side, Side::Old, "at once");
}

#[test]
fn senseless_records_are_named_and_change_nothing() {
    let mut versions = holding(&start());
    let wrong = |edit: fn(&mut Record)| {
        let mut record = then(&start(), Kind::Widen, 9);
        edit(&mut record);
        match versions.weigh(&record) {
            Weight::Wrong(why) => why,
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
    let before = versions.status(S, None);
    versions.act(S, Record { stage: Stage::Step(9), ..then(&start(), Kind::Widen, 9) });
    assert_eq!(versions.status(S, None), before);
}

#[test]
fn plans_follow_each_other_and_none_begins_in_the_middle_of_another() {
    let first = start();
    let begin = |old: &str, new: &str, before: &Record| {
        let plan = Plan { old: old.into(), new: new.into(), ..plan() };
        Record::start(plan, Some(before), 9, 0, "", "")
    };
    assert!(begin("8", "9", &first).unwrap_err().contains("under way, at epoch 1"));
    let promoted = then(&first, Kind::Promote, 2);
    assert!(
        begin("7", "9", &promoted).unwrap_err().contains("runs version \"8\", and the plan's old is \"7\"")
    );
    assert_eq!(begin("8", "9", &promoted).unwrap().epoch, 3);
    let back = then(&promoted, Kind::RollBack, 3);
    assert_eq!(begin("7", "9", &back).unwrap().epoch, 4);
    for kind in [Kind::Widen, Kind::Promote, Kind::Pause, Kind::Resume] {
        assert!(back.then(kind, 4, 0, "", "").unwrap_err().contains("rolled back already, at epoch 3"));
    }
}

/// Orders of two operators, in any order and any number of times at each gateway.
fn orders() -> Vec<Record> {
    let first = start();
    let widened = then(&first, Kind::Widen, 20);
    let mut all = vec![first.clone(), widened.clone()];
    for (kind, id) in
        [(Kind::RollBack, 30), (Kind::Pause, 31), (Kind::Promote, 32), (Kind::Widen, 33), (Kind::Widen, 34)]
    {
        all.push(then(&widened, kind, id));
    }
    all.push(then(&first, Kind::RollBack, 21));
    all
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None, rng_seed: RngSeed::Fixed(12), ..ProptestConfig::with_cases(256)
    })]

    #[test]
    fn in_whatever_order_records_come_all_gateways_end_alike(
        ways in prop::collection::vec(Just(orders()).prop_shuffle(), 3),
        again in prop::collection::vec(0usize..8, 0..6),
    ) {
        let ends: Vec<Record> = ways.iter().map(|way| {
            let mut versions = Versions::new("g", 1, 3);
            let mut mark = Mark::default();
            for record in way.iter().chain(again.iter().map(|at| &way[*at])) {
                let weight = versions.weigh(record);
                assert_eq!(weight == Weight::Newer, record.mark() > mark);
                assert_eq!(weight == Weight::Same, record.mark() == mark);
                versions.act(0, record.clone());
                mark = mark.max(record.mark());
            }
            versions.status(0, None).remove(0).record
        }).collect();
        prop_assert!(ends.iter().all(|end| *end == ends[0]));
        prop_assert_eq!(ends[0].stage, Stage::RolledBack, "of opposite orders at one epoch the one that pulls back");
    }
}
