//! A conductor with a small fleet of gateways in virtual time and without sockets; gateways may be
//! unreachable.

mod common;

use std::collections::BTreeSet;

use common::*;
use cresswheel_versions::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;

struct Fleet {
    now: u64,
    gateways: Vec<Versions>,
    unreachable: BTreeSet<usize>,
    conductor: RolloutController,
    rng: Pcg32,
    /// Calls per second at each gateway, and the probability of an error of the old and the new version.
    calls_per_second: u32,
    error_rates: [f64; 2],
    /// Calls that the new version got.
    new_calls: u64,
}

impl Fleet {
    fn new(gateways: usize, plan: Plan) -> Self {
        let record = Record::start(plan, None, 1, 0, "ann", "").unwrap();
        let gateway = |n: usize| Versions::new(&format!("g{n}"), n as u64, gateways as u32);
        Self {
            now: 0,
            gateways: (0..gateways).map(gateway).collect(),
            unreachable: BTreeSet::new(),
            conductor: RolloutController::new(record, gateways, 0),
            rng: Pcg32::new(9, 9),
            calls_per_second: 100,
            error_rates: [0.01, 0.01],
            new_calls: 0,
        }
    }

    fn random(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    /// Simulates a second: calls, then a turn of the conductor.
    fn run_second(&mut self) {
        self.now += SECOND;
        for at in 0..self.gateways.len() {
            for _ in 0..self.calls_per_second {
                let name = self.rng.next_u32().to_string();
                let Some(chosen) = self.gateways[at].choose(self.now, "arrears", &account(&name)) else {
                    continue;
                };
                self.new_calls += u64::from(chosen.side == Side::New);
                let bad = self.random() < self.error_rates[chosen.side as usize];
                self.gateways[at].count_answer(
                    "arrears",
                    chosen.side,
                    "estimate",
                    if bad { End::NotServed } else { End::InTime },
                    false,
                );
            }
            self.gateways[at].judge(self.now);
        }
        for act in self.conductor.evaluate(self.now, 1_000 + self.now) {
            let record = self.conductor.record().clone();
            let which = match &act {
                Action::Order(which) | Action::Renew(which) => which.clone(),
            };
            for at in which {
                if self.unreachable.contains(&at) {
                    self.conductor.record_report(at, self.now, Err("unreachable".into()));
                    continue;
                }
                match act {
                    Action::Order(_) => self.gateways[at].act(self.now, record.clone()),
                    Action::Renew(_) => _ = self.gateways[at].renew(self.now, "arrears", record.precedence()),
                }
                let status = self.gateways[at].status(self.now, Some("arrears")).into_iter().next();
                self.conductor.record_report(at, self.now, Ok(status));
            }
        }
    }

    fn run_seconds(&mut self, seconds: u64) {
        (0..seconds).for_each(|_| self.run_second());
    }

    fn stage(&self) -> Stage {
        self.conductor.record().stage
    }

    fn shares(&self) -> Vec<u16> {
        let share = |gateway: &Versions| gateway.status(self.now, None).remove(0).share.ten_thousandths();
        self.gateways.iter().map(share).collect()
    }
}

#[test]
fn a_good_version_is_widened_step_by_step_and_promoted() {
    let mut fleet = Fleet::new(4, plan());
    let mut seen = Vec::new();
    for _ in 0..90 {
        fleet.run_second();
        if seen.last() != Some(&fleet.stage()) {
            seen.push(fleet.stage());
        }
    }
    assert_eq!(seen, [Stage::Step(0), Stage::Step(1), Stage::Step(2), Stage::Promoted]);
    assert_eq!(fleet.shares(), [10_000; 4]);
    let sums = fleet.conductor.sums()["estimate"];
    assert!(sums[1].answered > 100 && sums[0].answered > 1_000);
}

#[test]
fn too_few_answers_delay_the_next_step() {
    let mut fleet = Fleet::new(4, plan());
    fleet.calls_per_second = 1;
    fleet.run_seconds(200);
    assert_eq!(fleet.stage(), Stage::Step(0), "the new version has about eight answers, fifty are required");
}

/// At a share of one percent no gateway alone sees enough errors. The number of failed calls is compared with
/// the expectation of the sequential test.
#[test]
fn a_bad_version_at_one_percent_is_rolled_back_at_all_gateways() {
    let mut fleet = Fleet::new(20, Plan { preload: 0, ..plan() });
    fleet.error_rates = [0.002, 0.6];
    let predicted = expected_calls_to_detection(&plan().guard, 1, 0.01, (0.002, 0.6));
    fleet.run_seconds(12);
    assert_eq!(fleet.stage(), Stage::RolledBack);
    assert_eq!(fleet.conductor.record().by, "guard");
    assert!(fleet.conductor.record().why.starts_with("estimate: more errors"));
    // The new version gets twenty calls per second. Two seconds pass to settle, one more until the order
    // arrives.
    assert!(
        (fleet.new_calls as f64) < 1.5 * predicted + 5.0 * 20.0,
        "{} calls, {predicted:.0} predicted",
        fleet.new_calls
    );
    assert_eq!(fleet.shares(), [0; 20]);
}

#[test]
fn an_unreachable_gateway_delays_the_step_until_its_lease_expires() {
    let mut fleet = Fleet::new(3, plan());
    fleet.run_seconds(8);
    fleet.unreachable.insert(2);
    fleet.run_seconds(20);
    assert_eq!(
        (fleet.stage(), fleet.shares()),
        (Stage::Step(0), vec![100; 3]),
        "no step without the unreachable gateway"
    );
    fleet.run_seconds(15);
    assert_eq!(
        (fleet.shares()[2], fleet.stage()),
        (0, Stage::Step(1)),
        "it returned to the old version, and the others continue"
    );
    // When it is reachable again, it applies the current step at once.
    fleet.unreachable.clear();
    fleet.run_seconds(2);
    assert_eq!(fleet.shares()[2], fleet.conductor.record().share().ten_thousandths());
}

#[test]
fn a_gateway_that_misses_a_rollback_returns_to_the_old_version_when_its_lease_expires() {
    let mut fleet = Fleet::new(3, plan());
    fleet.run_seconds(10);
    fleet.unreachable.insert(0);
    fleet.conductor.order(OrderKind::RollBack, 5, fleet.now, "bob", "").unwrap();
    fleet.run_second();
    assert_eq!(fleet.shares(), [100, 0, 0]);
    fleet.run_seconds(31);
    assert_eq!(fleet.shares(), [0, 0, 0], "by the end of the lease, without any message");
}

#[test]
fn orders_of_another_operator_are_adopted() {
    let mut fleet = Fleet::new(3, plan());
    fleet.run_seconds(8);
    let paused = then(fleet.conductor.record(), OrderKind::Pause, 50);
    fleet.gateways[1].act(fleet.now, paused);
    fleet.run_seconds(60);
    assert!(fleet.conductor.record().paused && fleet.conductor.overruled());
    assert_eq!(fleet.shares(), [100; 3], "paused everywhere by an order at one gateway");
    let back = then(fleet.conductor.record(), OrderKind::RollBack, 51);
    fleet.gateways[2].act(fleet.now, back);
    fleet.run_seconds(2);
    assert_eq!((fleet.stage(), fleet.shares()), (Stage::RolledBack, vec![0; 3]));
}

#[test]
fn a_brake_at_one_gateway_rolls_back_all_gateways() {
    let mut fleet = Fleet::new(3, Plan { preload: 0, ..plan() });
    fleet.run_seconds(4);
    let record = fleet.conductor.record().clone();
    fleet.gateways[1] = Versions::new("g1", 77, 3);
    fleet.gateways[1].restore(fleet.now, fleet.now, record, Some("post: more errors".into()));
    fleet.run_seconds(2);
    assert_eq!(fleet.stage(), Stage::RolledBack);
    assert_eq!(fleet.conductor.record().why, "g1 braked: post: more errors");
}

#[test]
fn counts_of_a_restarted_gateway_start_at_zero() {
    let mut fleet = Fleet::new(2, plan());
    fleet.run_seconds(5);
    let before = fleet.conductor.sums()["estimate"][0].answered;
    let record = fleet.conductor.record().clone();
    fleet.gateways[0] = Versions::new("g0", 99, 2);
    fleet.gateways[0].restore(fleet.now, fleet.now, record, None);
    fleet.run_seconds(2);
    let after = fleet.conductor.sums()["estimate"][0].answered;
    assert!(after > before && after - before <= 800, "{before} then {after}");
}

#[test]
fn a_last_step_below_100_percent_waits_for_a_manual_promotion() {
    let mut fleet = Fleet::new(2, Plan { steps: vec![step(1_000, 2 * SECOND)], ..plan() });
    fleet.run_seconds(60);
    assert_eq!(fleet.stage(), Stage::Step(0));
    fleet.conductor.order(OrderKind::Promote, 5, fleet.now, "bob", "").unwrap();
    fleet.run_second();
    assert_eq!(fleet.shares(), [10_000; 2]);
}

#[test]
fn a_plan_is_judged_only_by_its_own_answers_and_not_by_those_of_the_plan_before() {
    let mut fleet = Fleet::new(3, Plan { preload: 0, ..plan() });
    fleet.run_seconds(70);
    assert_eq!(fleet.stage(), Stage::Promoted);
    let before = fleet.conductor.record().clone();
    let next = Plan { old: "8".into(), new: "9".into(), salt: [8, 8], preload: 0, ..plan() };
    let record = Record::start(next, Some(&before), 900, fleet.now, "ann", "").unwrap();
    fleet.conductor = RolloutController::new(record, 3, fleet.now);
    // The tool reads the state before it sends the order, and gets that of the previous plan.
    for at in 0..3 {
        let status = fleet.gateways[at].status(fleet.now, None).into_iter().next();
        fleet.conductor.record_report(at, fleet.now, Ok(status));
    }
    fleet.run_second();
    (fleet.error_rates, fleet.new_calls) = ([0.01, 0.9], 0);
    assert!(fleet.conductor.sums().is_empty(), "this plan has no answers yet");
    fleet.run_seconds(15);
    assert_eq!(fleet.stage(), Stage::RolledBack);
    assert!(fleet.new_calls < 100, "{} calls of the new version", fleet.new_calls);
}

#[test]
fn a_step_waits_for_answers_of_both_versions() {
    let step = step(9_990, 2 * SECOND);
    let mut fleet =
        Fleet::new(1, Plan { steps: vec![step, common::step(10_000, 2 * SECOND)], preload: 0, ..plan() });
    fleet.run_seconds(60);
    assert_eq!(fleet.stage(), Stage::Step(0), "the old version has about six answers, fifty are required");
}

#[test]
fn differing_answers_cause_a_rollback() {
    let mut plan = Plan { preload: 0, ..plan() };
    plan.guard.compare = Some(Compare { share: Share::ALL, differ: 0.02, within: 0.0 });
    let mut fleet = Fleet::new(3, plan);
    fleet.run_seconds(3);
    for n in 0..40 {
        fleet.gateways[n % 3].count_comparison("arrears", n % 2 == 0);
    }
    fleet.run_seconds(3);
    assert_eq!(fleet.stage(), Stage::RolledBack);
    assert!(
        fleet.conductor.record().why.starts_with("all: more differing answers"),
        "{}",
        fleet.conductor.record().why
    );
}
