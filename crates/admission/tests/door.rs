//! The door: each rule of it, and that no sequence breaks its invariants.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr};

use cresswheel_admission::{Act, Arrival, Door, DoorLimits, Sign};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const S: u64 = 1_000_000;
/// Times are kept in steps of 16 ms.
const STEP: u64 = 16_384;

fn from(n: u8) -> IpAddr {
    Ipv4Addr::new(127, 0, 1, n).into()
}

fn limits() -> DoorLimits {
    DoorLimits { connections: 8, evict_after: 10 * S, ..DoorLimits::default() }
}

fn acts(door: &mut Door, now: u64) -> Vec<Act> {
    std::iter::from_fn(|| door.act(now)).collect()
}

#[test]
fn when_all_places_are_taken_the_longest_idle_gives_way_and_an_open_call_never() {
    let mut door = Door::new(0, limits());
    for slot in 0..8 {
        assert_eq!(door.arrives(slot as u64 * S, slot, from(slot as u8), false, |_| true), Arrival::Welcome);
    }
    door.asks(8 * S, 0, "");
    // Slot 0 has an open call; 1 is the longest idle, but not for long enough yet.
    assert!(door.may_accept(10 * S).is_err());
    assert_eq!(door.arrives(10 * S, 8, from(8), false, |_| true), Arrival::Away("full"));
    assert!(door.may_accept(12 * S).is_ok());
    assert_eq!(door.arrives(12 * S, 8, from(8), false, |_| true), Arrival::Instead(1));
    door.left(1);
    assert_eq!(door.here(), 8);
}

#[test]
fn an_address_that_opens_everything_makes_room_for_others_and_gets_none_of_theirs() {
    let mut door = Door::new(0, limits());
    (0..7).for_each(|slot| _ = door.arrives(0, slot, from(1), false, |_| true));
    assert_eq!(door.arrives(0, 7, from(2), false, |_| true), Arrival::Welcome);
    // A third address: the greedy one loses a connection at once, though it is not idle for long.
    assert_eq!(door.arrives(S, 8, from(3), false, |_| true), Arrival::Instead(0));
    door.left(0);
    // The greedy one comes again: only one of its own could go, and none is idle for long enough.
    assert_eq!(door.arrives(S, 0, from(1), false, |_| true), Arrival::Away("address-share"));
    assert_eq!(door.arrives(11 * S, 0, from(1), false, |_| true), Arrival::Instead(1));
}

#[test]
fn a_tenant_that_holds_more_than_its_share_makes_room() {
    let mut door = Door::new(0, limits());
    for slot in 0..8 {
        door.arrives(0, slot, from(slot as u8), false, |_| true);
        door.asks(0, slot, ["greedy", "modest", "third"][slot.saturating_sub(5)]);
    }
    for slot in [7, 6, 5, 4, 3, 2, 1, 0] {
        door.answered(S, slot);
    }
    // 7 and 6 are idle the longest, by order; but they are of modest ones.
    assert_eq!(door.arrives(2 * S, 8, from(9), false, |_| true), Arrival::Instead(5));
}

#[test]
fn nobody_gives_way_while_another_door_has_places() {
    let mut door = Door::new(0, limits());
    (0..8).for_each(|slot| _ = door.arrives(0, slot, from(slot as u8), false, |_| true));
    assert!(door.may_accept(60 * S).is_ok());
    door.room_elsewhere(true);
    assert_eq!(door.may_accept(60 * S), Err(61 * S));
    door.left(3);
    assert!(door.may_accept(60 * S).is_ok(), "here is room again");
}

#[test]
fn ipv6_clients_count_by_their_network() {
    let v6 = |last: u16| IpAddr::V6(std::net::Ipv6Addr::new(0x2001, 0xdb8, 0, 1, 0, 0, 0, last));
    let mut door = Door::new(0, limits());
    (0..6).for_each(|slot| _ = door.arrives(0, slot, v6(slot as u16), false, |_| true));
    (6..8).for_each(|slot| _ = door.arrives(0, slot, from(slot as u8), false, |_| true));
    assert_eq!(door.arrives(S, 8, v6(99), false, |_| true), Arrival::Away("address-share"));
}

#[test]
fn idle_connections_are_pinged_within_the_budget_and_those_that_vanished_are_closed() {
    let limits = DoorLimits { connections: 1_000, pings_per_s: 100, ..limits() };
    let mut door = Door::new(0, limits);
    (0..1_000).for_each(|slot| _ = door.arrives(0, slot, from(1), false, |_| true));
    let due = door.next_due(0).unwrap();
    assert!(due >= limits.ping_after && due <= limits.ping_after + S);
    let (mut now, mut pinged, mut took) = (due, 0, 0);
    while pinged < 1_000 {
        let acts = acts(&mut door, now);
        let pings = acts.iter().filter(|act| matches!(act, Act::Ping(_))).count();
        assert!(pings <= 26, "no storm: {pings} at once");
        // Slots below 500 answer; the others are gone.
        for act in acts {
            match act {
                Act::Ping(slot) if slot < 500 => door.sign(now, slot, Sign::Heard(0)),
                Act::Ping(_) => {}
                other => panic!("{other:?}"),
            }
        }
        (pinged, took) = (pinged + pings, now - due);
        now = door.next_due(now).unwrap().max(now + 1);
    }
    assert!((9 * S..=11 * S).contains(&took), "a thousand at a hundred a second took {took}");
    let mut gone = 0;
    while gone < 500 {
        now = door.next_due(now).unwrap().max(now + 1);
        for act in acts(&mut door, now) {
            match act {
                Act::Close(slot, "vanished") => {
                    assert!(slot >= 500);
                    door.left(slot);
                    gone += 1;
                }
                Act::Close(..) | Act::AskToLeave(_) => panic!("{act:?}"),
                Act::Ping(_) => {}
            }
        }
    }
    assert_eq!(door.here(), 500);
}

#[test]
fn a_half_sent_message_has_one_budget_however_it_drips() {
    let mut door = Door::new(0, limits());
    door.arrives(0, 0, from(1), true, |_| true);
    for second in 1..=9 {
        door.sign(second * S, 0, Sign::Heard(second as usize));
        assert_eq!(acts(&mut door, second * S), []);
    }
    assert_eq!(acts(&mut door, 11 * S + STEP), [Act::Close(0, "half-sent")]);
    // One that becomes whole begins anew.
    door.arrives(0, 1, from(1), true, |_| true);
    door.sign(S, 1, Sign::Heard(5));
    door.whole(8 * S, 1);
    door.sign(9 * S, 1, Sign::Heard(5));
    assert_eq!(acts(&mut door, 12 * S), []);
}

#[test]
fn a_message_that_goes_on_coming_is_given_up_only_with_its_whole_budget_and_a_silent_one_soon() {
    let mut door = Door::new(0, DoorLimits { half: 10 * S, half_silent: 2 * S, ..limits() });
    for slot in 0..3 {
        door.arrives(0, slot, from(slot as u8), false, |_| true);
        door.sign(0, slot, Sign::Heard(1));
    }
    // 0 says no more; 1 drips on; 2 drips, and its message becomes whole.
    for second in 1..=9 {
        (1..3).for_each(|slot| door.sign(second * S, slot, Sign::Heard(1 + second as usize)));
        let wanted = if second == 3 { vec![Act::Close(0, "half-sent")] } else { vec![] };
        assert_eq!(acts(&mut door, second * S), wanted, "after {second} s");
        if second == 3 {
            door.left(0);
        }
    }
    door.whole(9 * S, 2);
    door.sign(9 * S + S / 2, 1, Sign::Heard(20));
    let due = door.next_due(9 * S + S / 2).unwrap();
    assert!((10 * S..=10 * S + STEP).contains(&due), "{due}");
    assert_eq!(acts(&mut door, 10 * S + STEP), [Act::Close(1, "half-sent")]);
    // What asks or is answered beside it is no progress of the message.
    door.left(1);
    door.sign(20 * S, 2, Sign::Heard(1));
    door.asks(21 * S, 2, "");
    door.answered(21 * S, 2);
    assert_eq!(acts(&mut door, 22 * S + STEP), [Act::Close(2, "half-sent")]);
}

#[test]
fn of_too_many_half_messages_the_longest_silent_gives_way_but_none_that_is_young_or_has_an_open_call() {
    let limits = DoorLimits { half_silent: 5 * S, half_connections: 2, evict_after: S, ..limits() };
    let mut door = Door::new(0, limits);
    for slot in 0..4 {
        door.arrives(0, slot, from(slot as u8), false, |_| true);
        door.sign(slot as u64 * STEP, slot, Sign::Heard(1));
    }
    door.asks(STEP * 4, 0, "");
    assert_eq!(acts(&mut door, S / 2), [], "all are young");
    // 1 goes on, so 2 is the longest silent of those without an open call.
    door.sign(S / 2, 1, Sign::Heard(2));
    let due = door.next_due(S / 2).unwrap();
    assert!(due <= S + 2 * STEP, "{due}");
    assert_eq!(door.act(S + 4 * STEP), Some(Act::Close(2, "half-many")));
    door.left(2);
    assert_eq!(door.act(S + 4 * STEP), Some(Act::Close(3, "half-many")));
    door.left(3);
    assert_eq!(door.act(S + 4 * STEP), None, "no more than may be");
}

#[test]
fn half_sent_bytes_are_bounded_over_all() {
    let limits = DoorLimits { half_bytes: 1_000, ..limits() };
    let mut door = Door::new(0, limits);
    for slot in 0..4 {
        door.arrives(0, slot, from(slot as u8), false, |_| true);
        door.sign(slot as u64 * S, slot, Sign::Heard(300));
    }
    assert_eq!(door.act(4 * S), Some(Act::Close(0, "half-bytes")), "the oldest goes");
    door.left(0);
    assert_eq!(door.act(4 * S), None);
}

#[test]
fn a_client_that_does_not_read_has_a_budget_too() {
    let mut door = Door::new(0, limits());
    door.arrives(0, 0, from(1), false, |_| true);
    door.asks(S, 0, "");
    door.sign(2 * S, 0, Sign::Stalled);
    door.sign(20 * S, 0, Sign::Heard(0));
    assert_eq!(acts(&mut door, 31 * S), []);
    assert_eq!(acts(&mut door, 32 * S + STEP), [Act::Close(0, "does-not-read")]);
}

#[test]
fn leaving_is_spread_over_its_time_and_asks_each_once() {
    let limits = DoorLimits { connections: 10_000, leave_over: 2 * S, ..limits() };
    let mut door = Door::new(0, limits);
    for slot in 0..4_000 {
        door.arrives(0, slot, from((slot % 200) as u8), slot % 3 == 0, |_| true);
        if slot % 7 == 0 {
            door.asks(0, slot, "");
        }
    }
    door.leave(S);
    let mut asked = BTreeSet::new();
    let mut by_half_second = BTreeMap::<u64, usize>::new();
    let mut now = S;
    while door.is_asking() {
        for act in acts(&mut door, now) {
            let Act::AskToLeave(slot) = act else { panic!("{act:?}") };
            assert!(asked.insert(slot), "{slot} is asked twice");
            *by_half_second.entry((now - S) / (S / 2)).or_default() += 1;
        }
        now += 1_000;
    }
    assert_eq!(asked.len(), 4_000);
    assert!(now <= 3 * S + S / 5, "within its time: {now}");
    assert!(by_half_second.values().all(|n| *n <= 1_100), "evenly: {by_half_second:?}");
}

#[test]
fn fewer_places_by_a_reload_ask_the_longest_idle_to_leave() {
    let mut door = Door::new(0, limits());
    (0..8).for_each(|slot| _ = door.arrives(slot as u64 * S, slot, from(slot as u8), false, |_| true));
    door.asks(9 * S, 0, "");
    door.change(9 * S, DoorLimits { connections: 5, ..limits() });
    let mut left = Vec::new();
    for ms in 0..100 {
        for act in acts(&mut door, 9 * S + ms * 1_000) {
            let Act::AskToLeave(slot) = act else { panic!("{act:?}") };
            left.push(slot);
        }
    }
    assert_eq!(left, [1, 2, 3], "0 has an open call");
    // Those that stay all the same are closed after a while.
    let closed = acts(&mut door, 9 * S + 31 * S);
    assert_eq!(closed.len(), 3);
    assert!(closed.iter().all(|act| matches!(act, Act::Close(1..=3, "asked-to-leave"))), "{closed:?}");
}

#[derive(Clone, Debug)]
enum Step {
    Pass(u64),
    Come { address: u8, http: bool },
    Ask(usize, u8),
    Answer(usize),
    Hear(usize, usize),
    Whole(usize),
    Stall(usize, bool),
    Leave(usize),
    Change(usize),
    Farewell,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0u64..20_000).prop_map(|ms| Step::Pass(ms * 1_000)),
        8 => (0u8..5, any::<bool>()).prop_map(|(address, http)| Step::Come { address, http }),
        4 => (0usize..16, 0u8..4).prop_map(|(slot, tenant)| Step::Ask(slot, tenant)),
        4 => (0usize..16).prop_map(Step::Answer),
        3 => (0usize..16, 0usize..400).prop_map(|(slot, held)| Step::Hear(slot, held)),
        2 => (0usize..16).prop_map(Step::Whole),
        2 => (0usize..16, any::<bool>()).prop_map(|(slot, stalled)| Step::Stall(slot, stalled)),
        2 => (0usize..16).prop_map(Step::Leave),
        1 => (1usize..12).prop_map(Step::Change),
        1 => Just(Step::Farewell),
    ]
}

/// What the test knows of a connection.
#[derive(Clone, Debug, Default)]
struct Known {
    open: u32,
    half: bool,
    stalled: bool,
    asked: bool,
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None, rng_seed: RngSeed::Fixed(12), ..ProptestConfig::with_cases(400)
    })]
    #[test]
    fn no_sequence_overfills_it_or_closes_who_waits_for_an_answer(
        steps in prop::collection::vec(step(), 1..300)
    ) {
        let mut limits = DoorLimits {
            half_bytes: 1_000,
            half_silent: 4 * S,
            half_connections: 2,
            pings_per_s: 20,
            ..limits()
        };
        let mut door = Door::new(0, limits);
        let mut here: BTreeMap<usize, Known> = BTreeMap::new();
        let (mut now, mut over, mut pings) = (0, 0, Vec::<u64>::new());
        for step in steps {
            match step {
                Step::Pass(span) => now += span,
                Step::Come { address, http } => {
                    let slot = (0..).find(|slot| !here.contains_key(slot)).unwrap();
                    match door.arrives(now, slot, from(address), http, |_| true) {
                        Arrival::Welcome => _ = here.insert(slot, Known::default()),
                        Arrival::Instead(other) => {
                            prop_assert!(here.len() >= limits.connections);
                            let gone = here.remove(&other).expect("one that is here");
                            prop_assert!(gone.open == 0 && !gone.half && !gone.stalled, "{gone:?}");
                            door.left(other);
                            here.insert(slot, Known::default());
                        }
                        Arrival::Away(_) => prop_assert!(here.len() >= limits.connections),
                    }
                }
                Step::Ask(slot, tenant) => {
                    let tenant = ["", "a", "b", "c"][tenant as usize];
                    door.asks(now, slot, tenant);
                    here.entry(slot).and_modify(|k| k.open += 1);
                }
                Step::Answer(slot) => {
                    door.answered(now, slot);
                    here.entry(slot).and_modify(|k| k.open = k.open.saturating_sub(1));
                }
                Step::Hear(slot, held) => {
                    door.sign(now, slot, Sign::Heard(held));
                    here.entry(slot).and_modify(|k| k.half = held > 0);
                }
                Step::Whole(slot) => {
                    door.whole(now, slot);
                    here.entry(slot).and_modify(|k| k.half = false);
                }
                Step::Stall(slot, stalled) => {
                    door.sign(now, slot, if stalled { Sign::Stalled } else { Sign::Reads });
                    here.entry(slot).and_modify(|k| k.stalled = stalled);
                }
                Step::Leave(slot) => {
                    prop_assert_eq!(door.left(slot), here.remove(&slot).is_some());
                }
                Step::Change(connections) => {
                    limits.connections = connections;
                    over = here.len().saturating_sub(connections);
                    door.change(now, limits);
                }
                Step::Farewell => door.leave(now),
            }
            let mut told = 0;
            while let Some(act) = door.act(now) {
                told += 1;
                prop_assert!(told < 1_000, "acts without end");
                match act {
                    Act::Close(slot, why) => {
                        let gone = here.remove(&slot).expect("one that is here");
                        let excused = match why {
                            "half-sent" | "half-bytes" => gone.half,
                            "half-many" => gone.half && gone.open == 0,
                            "does-not-read" => gone.stalled,
                            "idle" | "vanished" => gone.open == 0,
                            "asked-to-leave" => gone.open == 0 && gone.asked,
                            other => panic!("{other}"),
                        };
                        prop_assert!(excused, "{why}: {gone:?}");
                        door.left(slot);
                    }
                    Act::Ping(slot) => {
                        prop_assert!(here[&slot].open == 0);
                        pings.push(now);
                    }
                    Act::AskToLeave(slot) => {
                        let asked = &mut here.get_mut(&slot).expect("one that is here").asked;
                        prop_assert!(!std::mem::replace(asked, true), "asked twice");
                    }
                }
            }
            prop_assert_eq!(door.here(), here.len());
            over = over.min(here.len());
            prop_assert!(here.len() <= limits.connections.max(over + limits.connections), "overfull");
            prop_assert!(door.next_due(now).is_none_or(|due| due + STEP * 2 >= now || pings.last() == Some(&now)));
        }
        // In any second no more pings than the rate and a batch of five.
        for (n, first) in pings.iter().enumerate() {
            let within = pings[n..].iter().take_while(|at| **at < first + S).count();
            prop_assert!(within <= 26, "{within} pings within a second");
        }
    }
}

#[test]
fn a_connection_that_was_never_answered_has_a_time_of_its_own_and_gives_way_first() {
    let mut door = Door::new(0, DoorLimits { unasked: S, idle: 30 * S, pings_per_s: 0, ..limits() });
    for slot in 0..3 {
        door.arrives(0, slot, from(1), false, |_| true);
    }
    door.asks(0, 0, "");
    door.answered(0, 0);
    // It took back what it asked: nothing was answered to it.
    door.asks(0, 1, "");
    door.called_off(0, 1);
    let due = S + 2 * STEP;
    let closed = [Act::Close(1, "never-answered"), Act::Close(2, "never-answered")];
    let mut acts = acts(&mut door, due);
    acts.sort_by_key(|act| if let Act::Close(slot, _) = act { *slot } else { usize::MAX });
    assert_eq!(acts, closed);
}

#[test]
fn a_full_door_whose_newest_are_too_young_lets_the_longest_idle_go() {
    let limits = DoorLimits { unasked: 100 * S, evict_after: S, pings_per_s: 0, ..limits() };
    let mut door = Door::new(0, limits);
    for slot in 0..7 {
        door.arrives(0, slot, from(slot as u8), false, |_| true);
        door.asks(0, slot, "");
        door.answered(0, slot);
    }
    door.arrives(2 * S, 7, from(7), false, |_| true);
    assert!(door.may_accept(2 * S).is_ok(), "others have been idle for long enough");
    assert_eq!(door.arrives(2 * S, 8, from(8), false, |_| true), Arrival::Instead(0));
    door.left(0);
    // Now the one that was never answered has waited for long enough, and goes before those that were.
    assert_eq!(door.arrives(4 * S, 0, from(9), false, |_| true), Arrival::Instead(7));
}
