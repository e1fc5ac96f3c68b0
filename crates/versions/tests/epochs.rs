//! An exhaustive search over orders, messages and kills for three gateways: every order of deliveries, losses,
//! repeats, kills between writing and acting, and restarts. The rules under test are those of `Versions::weigh` and
//! `Record::then`; the model keeps only what survives a kill and what does not.

mod common;

use std::cell::RefCell;
use std::collections::HashMap;

use common::*;
use cresswheel_versions::*;
use stateright::{Checker, Model, Property};

const GATEWAYS: usize = 3;

/// A record by what tells it from others; the rest is the same in all.
type Name = (u64, Kind, Stage, bool, u64);

fn name(record: &Record) -> Name {
    (record.epoch, record.kind, record.stage, record.paused, record.id)
}

fn record(name: Name) -> Record {
    let (epoch, kind, stage, paused, id) = name;
    Record { epoch, kind, stage, paused, id, ..start() }
}

fn mark(name: Option<Name>) -> Mark {
    name.map_or(Mark::default(), |name| record(name).mark())
}

thread_local! {
    /// Weighing is pure, and the search asks the same over and over.
    static WEIGHED: RefCell<HashMap<(Option<Name>, Name), bool>> = RefCell::default();
}

/// Whether a gateway that holds the one would take the other, by the real code.
fn takes(held: Option<Name>, came: Name) -> bool {
    WEIGHED.with_borrow_mut(|weighed| {
        *weighed.entry((held, came)).or_insert_with(|| {
            let mut versions = Versions::new("g", 1, GATEWAYS as u32);
            held.into_iter().for_each(|held| versions.act(0, record(held)));
            versions.weigh(&record(came)) == Weight::Newer
        })
    })
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Gateway {
    disk: Option<Name>,
    /// What it acts on; lost in a kill.
    acts: Option<Name>,
    up: bool,
    /// The greatest that the disk ever held.
    greatest: Option<Name>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    gateways: [Gateway; GATEWAYS],
    /// Orders that were given, and who still may get each (again).
    orders: Vec<(Name, [bool; GATEWAYS])>,
    /// What each operator has yet to order.
    operators: [usize; 2],
    kills: usize,
    repeats: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    /// An operator reads what a gateway holds, and orders its next thing.
    Order(usize, usize),
    /// An order arrives and is written; nothing acts on it yet.
    Write(usize, usize),
    /// It was sent again: it may arrive once more.
    Repeat(usize, usize),
    /// The gateway acts on what it wrote.
    Act(usize),
    Kill(usize),
    Restart(usize),
}

/// What the two operators order, one after the other: opposite things.
struct Shift {
    orders: [&'static [Kind]; 2],
    kills: usize,
    repeats: usize,
}

impl Model for Shift {
    type State = Fleet;
    type Action = Action;

    fn init_states(&self) -> Vec<Fleet> {
        let first = Some(name(&start()));
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
            for (order, (_, ways)) in state.orders.iter().enumerate() {
                match (ways[at], gateway.up) {
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
                // A gateway tells what it acts on. An order that makes no sense after that is not given.
                if let Ok(order) = record(next.gateways[at].acts?).then(kind, id, 0, "", "") {
                    next.orders.push((name(&order), [true; GATEWAYS]));
                }
            }
            Action::Write(order, at) => {
                next.orders[order].1[at] = false;
                let came = next.orders[order].0;
                let gateway = &mut next.gateways[at];
                // What is held is what was written: a gateway writes and acts in one go, or dies between.
                if takes(gateway.disk, came) {
                    gateway.disk = Some(came);
                    if mark(Some(came)) > mark(gateway.greatest) {
                        gateway.greatest = Some(came);
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
            Property::always("nothing acts on what is not written", |_, state: &Fleet| {
                state.gateways.iter().all(|g| mark(g.acts) <= mark(g.disk))
            }),
            Property::always("an older order never replaces a newer one", |_, state: &Fleet| {
                state.gateways.iter().all(|g| g.disk == g.greatest)
            }),
            Property::always(
                "when all has arrived, all act on the same, the greatest",
                |_, state: &Fleet| {
                    let arrived = state.orders.iter().all(|(_, ways)| !ways.contains(&true));
                    let settled = state.gateways.iter().all(|g| g.up && g.acts == g.disk);
                    let greatest = state.orders.iter().map(|(name, _)| *name).chain([name(&start())]);
                    let greatest = greatest.max_by_key(|name| mark(Some(*name)));
                    !arrived || !settled || state.gateways.iter().all(|g| g.acts == greatest)
                },
            ),
            Property::always(
                "a rollback that all have is undone by none of its own epoch",
                |_, state: &Fleet| {
                    let back = state.orders.iter().filter(|(name, _)| name.2 == Stage::RolledBack);
                    back.into_iter().all(|(back, _)| {
                        let all = state.gateways.iter().all(|g| mark(g.greatest) >= mark(Some(*back)));
                        let same =
                            |g: &Gateway| g.disk.is_some_and(|disk| disk.0 == back.0 && disk.2 != back.2);
                        !all || !state.gateways.iter().any(same)
                    })
                },
            ),
            Property::sometimes("operators at one epoch order opposite things", |_, state: &Fleet| {
                let at = |stage| {
                    state.orders.iter().filter(move |(name, _)| name.2 == stage).map(|(name, _)| name.0)
                };
                at(Stage::RolledBack).any(|epoch| at(Stage::Step(1)).any(|other| other == epoch))
            }),
            Property::sometimes("a gateway dies between writing and acting", |_, state: &Fleet| {
                state.gateways.iter().any(|g| !g.up && g.disk != Some(name(&start())))
            }),
        ]
    }
}

#[test]
fn every_order_of_messages_and_kills_ends_in_the_greatest_record() {
    let shift = Shift { orders: [&[Kind::Widen, Kind::Widen], &[Kind::RollBack]], kills: 2, repeats: 1 };
    let checked = shift.checker().threads(2).spawn_bfs().join();
    checked.assert_properties();
    eprintln!("{} states", checked.unique_state_count());
    assert!(checked.unique_state_count() > 10_000, "{} states", checked.unique_state_count());
}

#[test]
fn every_order_of_a_promotion_and_a_pause_ends_in_one_record() {
    let shift = Shift { orders: [&[Kind::Promote], &[Kind::Pause, Kind::RollBack]], kills: 1, repeats: 0 };
    let checked = shift.checker().threads(2).spawn_bfs().join();
    for property in ["nothing acts on what is not written", "an older order never replaces a newer one"] {
        checked.assert_no_discovery(property);
    }
    checked.assert_no_discovery("when all has arrived, all act on the same, the greatest");
    checked.assert_no_discovery("a rollback that all have is undone by none of its own epoch");
    eprintln!("{} states", checked.unique_state_count());
}
