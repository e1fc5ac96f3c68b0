//! Model checking of orders at three gateways, over all sequences of deliveries, losses, repeats, kills
//! between writing and acting, and restarts. The code under test is `Versions::weigh` and `Record::then`; the
//! model only tracks what a gateway has on disk and what it acts on.

mod common;

use std::cell::RefCell;
use std::collections::HashMap;

use common::*;
use cresswheel_versions::*;
use stateright::{Checker, Model, Property};

const GATEWAYS: usize = 3;

/// The parts of a record that differ within this test.
type RecordKey = (u64, OrderKind, Stage, bool, u64);

fn key(record: &Record) -> RecordKey {
    (record.epoch, record.kind, record.stage, record.paused, record.id)
}

fn record(key: RecordKey) -> Record {
    let (epoch, kind, stage, paused, id) = key;
    Record { epoch, kind, stage, paused, id, ..start() }
}

fn mark(key: Option<RecordKey>) -> Precedence {
    key.map_or(Precedence::default(), |key| record(key).precedence())
}

thread_local! {
    /// Cache: `weigh` is pure, and the search asks for the same results many times.
    static CACHE: RefCell<HashMap<(Option<RecordKey>, RecordKey), bool>> = RefCell::default();
}

/// Whether a gateway with the record `held` accepts the record `incoming`, by the code under test.
fn accepts(held: Option<RecordKey>, incoming: RecordKey) -> bool {
    CACHE.with_borrow_mut(|cache| {
        *cache.entry((held, incoming)).or_insert_with(|| {
            let mut versions = Versions::new("g", 1, GATEWAYS as u32);
            held.into_iter().for_each(|held| versions.act(0, record(held)));
            versions.weigh(&record(incoming)) == RecordOrder::Newer
        })
    })
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Gateway {
    disk: Option<RecordKey>,
    /// The record that it acts on; lost in a kill.
    acts: Option<RecordKey>,
    up: bool,
    /// The greatest record that was ever on disk.
    greatest: Option<RecordKey>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    gateways: [Gateway; GATEWAYS],
    /// Orders that were given, and the gateways at which each may still arrive, for the first time or again.
    orders: Vec<(RecordKey, [bool; GATEWAYS])>,
    /// Number of orders that each operator has given.
    operators: [usize; 2],
    kills: usize,
    repeats: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    /// An operator reads the record of a gateway and gives its next order.
    Order(usize, usize),
    /// An order arrives and is written to disk; the gateway does not act on it yet.
    Write(usize, usize),
    /// An order is sent again and may arrive once more.
    Repeat(usize, usize),
    /// The gateway acts on the record on disk.
    Act(usize),
    Kill(usize),
    Restart(usize),
}

/// Sequences of conflicting orders of two operators.
struct Scenario {
    orders: [&'static [OrderKind]; 2],
    kills: usize,
    repeats: usize,
}

impl Model for Scenario {
    type State = Fleet;
    type Action = Action;

    fn init_states(&self) -> Vec<Fleet> {
        let first = Some(key(&start()));
        let gateway = Gateway { disk: first, acts: first, up: true, greatest: first };
        let gateways = [gateway.clone(), gateway.clone(), gateway];
        vec![Fleet { gateways, orders: Vec::new(), operators: [0, 0], kills: 0, repeats: 0 }]
    }

    fn actions(&self, state: &Fleet, actions: &mut Vec<Action>) {
        for (operator, next) in state.operators.iter().enumerate() {
            if *next < self.orders[operator].len() {
                let up = (0..GATEWAYS).filter(|at| state.gateways[*at].up);
                actions.extend(up.map(|at| Action::Order(operator, at)));
            }
        }
        for (at, gateway) in state.gateways.iter().enumerate() {
            for (order, (_, pending)) in state.orders.iter().enumerate() {
                match (pending[at], gateway.up) {
                    (true, true) => actions.push(Action::Write(order, at)),
                    (false, _) if state.repeats < self.repeats => actions.push(Action::Repeat(order, at)),
                    _ => {}
                }
            }
            if !gateway.up {
                actions.push(Action::Restart(at));
            } else {
                if gateway.acts != gateway.disk {
                    actions.push(Action::Act(at));
                }
                if state.kills < self.kills {
                    actions.push(Action::Kill(at));
                }
            }
        }
    }

    fn next_state(&self, state: &Fleet, action: Action) -> Option<Fleet> {
        let mut next = state.clone();
        match action {
            Action::Order(operator, at) => {
                let kind = self.orders[operator][next.operators[operator]];
                next.operators[operator] += 1;
                let id = 10 * (operator as u64 + 1) + next.operators[operator] as u64;
                // A gateway reports the record that it acts on. An order that is invalid after it is not
                // given.
                if let Ok(order) = record(next.gateways[at].acts?).next(kind, id, 0, "", "") {
                    next.orders.push((key(&order), [true; GATEWAYS]));
                }
            }
            Action::Write(order, at) => {
                next.orders[order].1[at] = false;
                let incoming = next.orders[order].0;
                let gateway = &mut next.gateways[at];
                // The record on disk decides: a gateway writes and acts in one step, or is killed in between.
                if accepts(gateway.disk, incoming) {
                    gateway.disk = Some(incoming);
                    if mark(Some(incoming)) > mark(gateway.greatest) {
                        gateway.greatest = Some(incoming);
                    }
                }
            }
            Action::Repeat(order, at) => {
                next.orders[order].1[at] = true;
                next.repeats += 1;
            }
            Action::Act(at) => next.gateways[at].acts = next.gateways[at].disk,
            Action::Kill(at) => {
                next.gateways[at].up = false;
                next.gateways[at].acts = None;
                next.kills += 1;
            }
            Action::Restart(at) => {
                next.gateways[at].up = true;
                next.gateways[at].acts = next.gateways[at].disk;
            }
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no gateway acts on a record that is not on disk", |_, state: &Fleet| {
                state.gateways.iter().all(|g| mark(g.acts) <= mark(g.disk))
            }),
            Property::always("an older order never replaces a newer one", |_, state: &Fleet| {
                state.gateways.iter().all(|g| g.disk == g.greatest)
            }),
            Property::always(
                "after all deliveries, all gateways act on the greatest record",
                |_, state: &Fleet| {
                    let arrived = state.orders.iter().all(|(_, pending)| !pending.contains(&true));
                    let settled = state.gateways.iter().all(|g| g.up && g.acts == g.disk);
                    let greatest = state.orders.iter().map(|(key, _)| *key).chain([key(&start())]);
                    let greatest = greatest.max_by_key(|key| mark(Some(*key)));
                    !arrived || !settled || state.gateways.iter().all(|g| g.acts == greatest)
                },
            ),
            Property::always(
                "a rollback at all gateways is not undone by an order of the same epoch",
                |_, state: &Fleet| {
                    let back = state.orders.iter().filter(|(key, _)| key.2 == Stage::RolledBack);
                    back.into_iter().all(|(back, _)| {
                        let all = state.gateways.iter().all(|g| mark(g.greatest) >= mark(Some(*back)));
                        let same =
                            |g: &Gateway| g.disk.is_some_and(|disk| disk.0 == back.0 && disk.2 != back.2);
                        !all || !state.gateways.iter().any(same)
                    })
                },
            ),
            Property::sometimes("operators give conflicting orders at one epoch", |_, state: &Fleet| {
                let at =
                    |stage| state.orders.iter().filter(move |(key, _)| key.2 == stage).map(|(key, _)| key.0);
                at(Stage::RolledBack).any(|epoch| at(Stage::Step(1)).any(|other| other == epoch))
            }),
            Property::sometimes("a gateway is killed between writing and acting", |_, state: &Fleet| {
                state.gateways.iter().any(|g| !g.up && g.disk != Some(key(&start())))
            }),
        ]
    }
}

#[test]
fn all_sequences_of_deliveries_and_kills_end_in_the_greatest_record() {
    let scenario = Scenario {
        orders: [&[OrderKind::Widen, OrderKind::Widen], &[OrderKind::RollBack]],
        kills: 2,
        repeats: 1,
    };
    let checked = scenario.checker().threads(2).spawn_bfs().join();
    checked.assert_properties();
    eprintln!("{} states", checked.unique_state_count());
    assert!(checked.unique_state_count() > 10_000, "{} states", checked.unique_state_count());
}

#[test]
fn all_sequences_of_a_promotion_and_a_pause_end_in_one_record() {
    let scenario = Scenario {
        orders: [&[OrderKind::Promote], &[OrderKind::Pause, OrderKind::RollBack]],
        kills: 1,
        repeats: 0,
    };
    let checked = scenario.checker().threads(2).spawn_bfs().join();
    for property in
        ["no gateway acts on a record that is not on disk", "an older order never replaces a newer one"]
    {
        checked.assert_no_discovery(property);
    }
    checked.assert_no_discovery("after all deliveries, all gateways act on the greatest record");
    checked.assert_no_discovery("a rollback at all gateways is not undone by an order of the same epoch");
    eprintln!("{} states", checked.unique_state_count());
}
