//! Connection limits: each rule, and invariants under random sequences of events.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr};

use cresswheel_admission::{Act, Arrival, Door, DoorLimits, Sign};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const S: u64 = 1_000_000;
/// Resolution of the timers.
const TICK: u64 = 16_384;

fn client_address(n: u8) -> IpAddr {
    Ipv4Addr::new(127, 0, 1, n).into()
}

fn limits() -> DoorLimits {
    DoorLimits { connections: 8, evict_after: 10 * S, ..DoorLimits::default() }
}

fn due_actions(limiter: &mut Door, now: u64) -> Vec<Act> {
    std::iter::from_fn(|| limiter.act(now)).collect()
}

#[test]
fn at_the_limit_the_longest_idle_connection_is_evicted_but_none_with_an_open_call() {
    let mut limiter = Door::new(0, limits());
    for slot in 0..8 {
        assert_eq!(
            limiter.arrives(slot as u64 * S, slot, client_address(slot as u8), false, |_| true),
            Arrival::Welcome
        );
    }
    limiter.asks(8 * S, 0, "");
    // Slot 0 has an open call; slot 1 is the longest idle, but not yet for `evict_after`.
    assert!(limiter.may_accept(10 * S).is_err());
    assert_eq!(limiter.arrives(10 * S, 8, client_address(8), false, |_| true), Arrival::Away("full"));
    assert!(limiter.may_accept(12 * S).is_ok());
    assert_eq!(limiter.arrives(12 * S, 8, client_address(8), false, |_| true), Arrival::Instead(1));
    limiter.left(1);
    assert_eq!(limiter.here(), 8);
}

#[test]
fn an_address_over_its_share_loses_connections_to_others_and_can_evict_only_its_own() {
    let mut limiter = Door::new(0, limits());
    (0..7).for_each(|slot| _ = limiter.arrives(0, slot, client_address(1), false, |_| true));
    assert_eq!(limiter.arrives(0, 7, client_address(2), false, |_| true), Arrival::Welcome);
    // For a third address, the one over its share loses a connection at once, however short it has been
    // idle.
    assert_eq!(limiter.arrives(S, 8, client_address(3), false, |_| true), Arrival::Instead(0));
    limiter.left(0);
    // The address over its share can evict only its own connections, and none has been idle for
    // `evict_after`.
    assert_eq!(limiter.arrives(S, 0, client_address(1), false, |_| true), Arrival::Away("address-share"));
    assert_eq!(limiter.arrives(11 * S, 0, client_address(1), false, |_| true), Arrival::Instead(1));
}

#[test]
fn a_tenant_over_its_share_loses_a_connection() {
    let mut limiter = Door::new(0, limits());
    for slot in 0..8 {
        limiter.arrives(0, slot, client_address(slot as u8), false, |_| true);
        limiter.asks(0, slot, ["over-share", "second", "third"][slot.saturating_sub(5)]);
    }
    for slot in [7, 6, 5, 4, 3, 2, 1, 0] {
        limiter.answered(S, slot);
    }
    // Slots 7 and 6 are the longest idle, but their tenants are within their shares.
    assert_eq!(limiter.arrives(2 * S, 8, client_address(9), false, |_| true), Arrival::Instead(5));
}

#[test]
fn no_connection_is_evicted_while_another_process_has_capacity() {
    let mut limiter = Door::new(0, limits());
    (0..8).for_each(|slot| _ = limiter.arrives(0, slot, client_address(slot as u8), false, |_| true));
    assert!(limiter.may_accept(60 * S).is_ok());
    limiter.set_capacity_elsewhere(true);
    assert_eq!(limiter.may_accept(60 * S), Err(61 * S));
    limiter.left(3);
    assert!(limiter.may_accept(60 * S).is_ok(), "below the limit again");
}

#[test]
fn ipv6_clients_are_counted_by_network() {
    let v6 = |last: u16| IpAddr::V6(std::net::Ipv6Addr::new(0x2001, 0xdb8, 0, 1, 0, 0, 0, last));
    let mut limiter = Door::new(0, limits());
    (0..6).for_each(|slot| _ = limiter.arrives(0, slot, v6(slot as u16), false, |_| true));
    (6..8).for_each(|slot| _ = limiter.arrives(0, slot, client_address(slot as u8), false, |_| true));
    assert_eq!(limiter.arrives(S, 8, v6(99), false, |_| true), Arrival::Away("address-share"));
}

#[test]
fn idle_connections_are_pinged_within_the_rate_limit_and_closed_without_a_reply() {
    let limits = DoorLimits { connections: 1_000, pings_per_s: 100, ..limits() };
    let mut limiter = Door::new(0, limits);
    (0..1_000).for_each(|slot| _ = limiter.arrives(0, slot, client_address(1), false, |_| true));
    let due = limiter.next_due(0).unwrap();
    assert!(due >= limits.ping_after && due <= limits.ping_after + S);
    let (mut now, mut pinged, mut took) = (due, 0, 0);
    while pinged < 1_000 {
        let actions = due_actions(&mut limiter, now);
        let pings = actions.iter().filter(|act| matches!(act, Act::Ping(_))).count();
        assert!(pings <= 26, "{pings} pings at once");
        // Slots below 500 reply; the others have vanished.
        for act in actions {
            match act {
                Act::Ping(slot) if slot < 500 => limiter.sign(now, slot, Sign::Heard(0)),
                Act::Ping(_) => {}
                other => panic!("{other:?}"),
            }
        }
        (pinged, took) = (pinged + pings, now - due);
        now = limiter.next_due(now).unwrap().max(now + 1);
    }
    assert!((9 * S..=11 * S).contains(&took), "1000 pings at 100 per second took {took} us");
    let mut gone = 0;
    while gone < 500 {
        now = limiter.next_due(now).unwrap().max(now + 1);
        for act in due_actions(&mut limiter, now) {
            match act {
                Act::Close(slot, "vanished") => {
                    assert!(slot >= 500);
                    limiter.left(slot);
                    gone += 1;
                }
                Act::Close(..) | Act::AskToLeave(_) => panic!("{act:?}"),
                Act::Ping(_) => {}
            }
        }
    }
    assert_eq!(limiter.here(), 500);
}

#[test]
fn the_timeout_of_a_partial_message_is_not_restarted_by_more_bytes() {
    let mut limiter = Door::new(0, limits());
    limiter.arrives(0, 0, client_address(1), true, |_| true);
    for second in 1..=9 {
        limiter.sign(second * S, 0, Sign::Heard(second as usize));
        assert_eq!(due_actions(&mut limiter, second * S), []);
    }
    assert_eq!(due_actions(&mut limiter, 11 * S + TICK), [Act::Close(0, "half-sent")]);
    // A complete message ends the timeout; the next message has its own.
    limiter.arrives(0, 1, client_address(1), true, |_| true);
    limiter.sign(S, 1, Sign::Heard(5));
    limiter.whole(8 * S, 1);
    limiter.sign(9 * S, 1, Sign::Heard(5));
    assert_eq!(due_actions(&mut limiter, 12 * S), []);
}

#[test]
fn a_silent_partial_message_times_out_earlier_than_one_that_still_grows() {
    let mut limiter = Door::new(0, DoorLimits { half: 10 * S, half_silent: 2 * S, ..limits() });
    for slot in 0..3 {
        limiter.arrives(0, slot, client_address(slot as u8), false, |_| true);
        limiter.sign(0, slot, Sign::Heard(1));
    }
    // Slot 0 sends no more; slots 1 and 2 go on sending, and the message of slot 2 is completed.
    for second in 1..=9 {
        (1..3).for_each(|slot| limiter.sign(second * S, slot, Sign::Heard(1 + second as usize)));
        let wanted = if second == 3 { vec![Act::Close(0, "half-sent")] } else { vec![] };
        assert_eq!(due_actions(&mut limiter, second * S), wanted, "after {second} s");
        if second == 3 {
            limiter.left(0);
        }
    }
    limiter.whole(9 * S, 2);
    limiter.sign(9 * S + S / 2, 1, Sign::Heard(20));
    let due = limiter.next_due(9 * S + S / 2).unwrap();
    assert!((10 * S..=10 * S + TICK).contains(&due), "{due}");
    assert_eq!(due_actions(&mut limiter, 10 * S + TICK), [Act::Close(1, "half-sent")]);
    // Requests and answers on the same connection are no progress of the partial message.
    limiter.left(1);
    limiter.sign(20 * S, 2, Sign::Heard(1));
    limiter.asks(21 * S, 2, "");
    limiter.answered(21 * S, 2);
    assert_eq!(due_actions(&mut limiter, 22 * S + TICK), [Act::Close(2, "half-sent")]);
}

#[test]
fn of_too_many_partial_messages_the_longest_silent_is_closed_unless_new_or_with_an_open_call() {
    let limits = DoorLimits { half_silent: 5 * S, half_connections: 2, evict_after: S, ..limits() };
    let mut limiter = Door::new(0, limits);
    for slot in 0..4 {
        limiter.arrives(0, slot, client_address(slot as u8), false, |_| true);
        limiter.sign(slot as u64 * TICK, slot, Sign::Heard(1));
    }
    limiter.asks(TICK * 4, 0, "");
    assert_eq!(due_actions(&mut limiter, S / 2), [], "none is older than evict_after");
    // Slot 1 sends more, so slot 2 is the longest silent one without an open call.
    limiter.sign(S / 2, 1, Sign::Heard(2));
    let due = limiter.next_due(S / 2).unwrap();
    assert!(due <= S + 2 * TICK, "{due}");
    assert_eq!(limiter.act(S + 4 * TICK), Some(Act::Close(2, "half-many")));
    limiter.left(2);
    assert_eq!(limiter.act(S + 4 * TICK), Some(Act::Close(3, "half-many")));
    limiter.left(3);
    assert_eq!(limiter.act(S + 4 * TICK), None, "no more than the limit");
}

#[test]
fn bytes_of_partial_messages_are_limited_over_all_connections() {
    let limits = DoorLimits { half_bytes: 1_000, ..limits() };
    let mut limiter = Door::new(0, limits);
    for slot in 0..4 {
        limiter.arrives(0, slot, client_address(slot as u8), false, |_| true);
        limiter.sign(slot as u64 * S, slot, Sign::Heard(300));
    }
    assert_eq!(limiter.act(4 * S), Some(Act::Close(0, "half-bytes")), "the oldest is closed");
    limiter.left(0);
    assert_eq!(limiter.act(4 * S), None);
}

#[test]
fn a_client_that_does_not_read_times_out() {
    let mut limiter = Door::new(0, limits());
    limiter.arrives(0, 0, client_address(1), false, |_| true);
    limiter.asks(S, 0, "");
    limiter.sign(2 * S, 0, Sign::Stalled);
    limiter.sign(20 * S, 0, Sign::Heard(0));
    assert_eq!(due_actions(&mut limiter, 31 * S), []);
    assert_eq!(due_actions(&mut limiter, 32 * S + TICK), [Act::Close(0, "does-not-read")]);
}

#[test]
fn a_drain_is_spread_over_its_duration_and_asks_each_connection_once() {
    let limits = DoorLimits { connections: 10_000, leave_over: 2 * S, ..limits() };
    let mut limiter = Door::new(0, limits);
    for slot in 0..4_000 {
        limiter.arrives(0, slot, client_address((slot % 200) as u8), slot % 3 == 0, |_| true);
        if slot % 7 == 0 {
            limiter.asks(0, slot, "");
        }
    }
    limiter.drain(S);
    let mut asked = BTreeSet::new();
    let mut by_half_second = BTreeMap::<u64, usize>::new();
    let mut now = S;
    while limiter.is_draining() {
        for act in due_actions(&mut limiter, now) {
            let Act::AskToLeave(slot) = act else { panic!("{act:?}") };
            assert!(asked.insert(slot), "slot {slot} is asked to leave twice");
            *by_half_second.entry((now - S) / (S / 2)).or_default() += 1;
        }
        now += 1_000;
    }
    assert_eq!(asked.len(), 4_000);
    assert!(now <= 3 * S + S / 5, "within the duration: {now}");
    assert!(by_half_second.values().all(|n| *n <= 1_100), "not spread evenly: {by_half_second:?}");
}

#[test]
fn a_lower_limit_asks_the_longest_idle_connections_to_leave() {
    let mut limiter = Door::new(0, limits());
    (0..8).for_each(|slot| {
        _ = limiter.arrives(slot as u64 * S, slot, client_address(slot as u8), false, |_| true)
    });
    limiter.asks(9 * S, 0, "");
    limiter.set_limits(9 * S, DoorLimits { connections: 5, ..limits() });
    let mut left = Vec::new();
    for ms in 0..100 {
        for act in due_actions(&mut limiter, 9 * S + ms * 1_000) {
            let Act::AskToLeave(slot) = act else { panic!("{act:?}") };
            left.push(slot);
        }
    }
    assert_eq!(left, [1, 2, 3], "0 has an open call");
    // Those that do not leave are closed after `ping_wait`.
    let closed = due_actions(&mut limiter, 9 * S + 31 * S);
    assert_eq!(closed.len(), 3);
    assert!(closed.iter().all(|act| matches!(act, Act::Close(1..=3, "asked-to-leave"))), "{closed:?}");
}

#[derive(Clone, Debug)]
enum Step {
    AdvanceClock(u64),
    Accept { address: u8, http: bool },
    Request(usize, u8),
    Answer(usize),
    Receive(usize, usize),
    Complete(usize),
    Stall(usize, bool),
    Disconnect(usize),
    SetLimit(usize),
    Drain,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0u64..20_000).prop_map(|ms| Step::AdvanceClock(ms * 1_000)),
        8 => (0u8..5, any::<bool>()).prop_map(|(address, http)| Step::Accept { address, http }),
        4 => (0usize..16, 0u8..4).prop_map(|(slot, tenant)| Step::Request(slot, tenant)),
        4 => (0usize..16).prop_map(Step::Answer),
        3 => (0usize..16, 0usize..400).prop_map(|(slot, held)| Step::Receive(slot, held)),
        2 => (0usize..16).prop_map(Step::Complete),
        2 => (0usize..16, any::<bool>()).prop_map(|(slot, stalled)| Step::Stall(slot, stalled)),
        2 => (0usize..16).prop_map(Step::Disconnect),
        1 => (1usize..12).prop_map(Step::SetLimit),
        1 => Just(Step::Drain),
    ]
}

/// The model of a connection.
#[derive(Clone, Debug, Default)]
struct ModelConnection {
    open: u32,
    partial: bool,
    stalled: bool,
    asked_to_leave: bool,
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None, rng_seed: RngSeed::Fixed(12), ..ProptestConfig::with_cases(400)
    })]
    #[test]
    fn no_sequence_exceeds_the_limit_or_closes_a_connection_that_waits_for_an_answer(
        steps in prop::collection::vec(step(), 1..300)
    ) {
        let mut limits = DoorLimits {
            half_bytes: 1_000,
            half_silent: 4 * S,
            half_connections: 2,
            pings_per_s: 20,
            ..limits()
        };
        let mut limiter = Door::new(0, limits);
        let mut model: BTreeMap<usize, ModelConnection> = BTreeMap::new();
        let (mut now, mut excess, mut pings) = (0, 0, Vec::<u64>::new());
        for step in steps {
            match step {
                Step::AdvanceClock(duration) => now += duration,
                Step::Accept { address, http } => {
                    let slot = (0..).find(|slot| !model.contains_key(slot)).unwrap();
                    match limiter.arrives(now, slot, client_address(address), http, |_| true) {
                        Arrival::Welcome => _ = model.insert(slot, ModelConnection::default()),
                        Arrival::Instead(other) => {
                            prop_assert!(model.len() >= limits.connections);
                            let closed = model.remove(&other).expect("a connected slot");
                            prop_assert!(closed.open == 0 && !closed.partial && !closed.stalled, "{closed:?}");
                            limiter.left(other);
                            model.insert(slot, ModelConnection::default());
                        }
                        Arrival::Away(_) => prop_assert!(model.len() >= limits.connections),
                    }
                }
                Step::Request(slot, tenant) => {
                    let tenant = ["", "a", "b", "c"][tenant as usize];
                    limiter.asks(now, slot, tenant);
                    model.entry(slot).and_modify(|c| c.open += 1);
                }
                Step::Answer(slot) => {
                    limiter.answered(now, slot);
                    model.entry(slot).and_modify(|c| c.open = c.open.saturating_sub(1));
                }
                Step::Receive(slot, held) => {
                    limiter.sign(now, slot, Sign::Heard(held));
                    model.entry(slot).and_modify(|c| c.partial = held > 0);
                }
                Step::Complete(slot) => {
                    limiter.whole(now, slot);
                    model.entry(slot).and_modify(|c| c.partial = false);
                }
                Step::Stall(slot, stalled) => {
                    limiter.sign(now, slot, if stalled { Sign::Stalled } else { Sign::Reads });
                    model.entry(slot).and_modify(|c| c.stalled = stalled);
                }
                Step::Disconnect(slot) => {
                    prop_assert_eq!(limiter.left(slot), model.remove(&slot).is_some());
                }
                Step::SetLimit(connections) => {
                    limits.connections = connections;
                    excess = model.len().saturating_sub(connections);
                    limiter.set_limits(now, limits);
                }
                Step::Drain => limiter.drain(now),
            }
            let mut returned = 0;
            while let Some(act) = limiter.act(now) {
                returned += 1;
                prop_assert!(returned < 1_000, "actions without end");
                match act {
                    Act::Close(slot, reason) => {
                        let closed = model.remove(&slot).expect("a connected slot");
                        let is_allowed = match reason {
                            "half-sent" | "half-bytes" => closed.partial,
                            "half-many" => closed.partial && closed.open == 0,
                            "does-not-read" => closed.stalled,
                            "idle" | "vanished" => closed.open == 0,
                            "asked-to-leave" => closed.open == 0 && closed.asked_to_leave,
                            other => panic!("{other}"),
                        };
                        prop_assert!(is_allowed, "{reason}: {closed:?}");
                        limiter.left(slot);
                    }
                    Act::Ping(slot) => {
                        prop_assert!(model[&slot].open == 0);
                        pings.push(now);
                    }
                    Act::AskToLeave(slot) => {
                        let asked_to_leave = &mut model.get_mut(&slot).expect("a connected slot").asked_to_leave;
                        prop_assert!(!std::mem::replace(asked_to_leave, true), "asked to leave twice");
                    }
                }
            }
            prop_assert_eq!(limiter.here(), model.len());
            excess = excess.min(model.len());
            prop_assert!(model.len() <= limits.connections.max(excess + limits.connections), "over the connection limit");
            prop_assert!(limiter.next_due(now).is_none_or(|due| due + TICK * 2 >= now || pings.last() == Some(&now)));
        }
        // In any second there are at most 20 pings by the rate, a batch of five, and one for rounding.
        for (n, first) in pings.iter().enumerate() {
            let within = pings[n..].iter().take_while(|at| **at < first + S).count();
            prop_assert!(within <= 26, "{within} pings within a second");
        }
    }
}

#[test]
fn a_connection_that_was_never_answered_has_its_own_timeout() {
    let mut limiter = Door::new(0, DoorLimits { unasked: S, idle: 30 * S, pings_per_s: 0, ..limits() });
    for slot in 0..3 {
        limiter.arrives(0, slot, client_address(1), false, |_| true);
    }
    limiter.asks(0, 0, "");
    limiter.answered(0, 0);
    // Its request was canceled, so it was never answered.
    limiter.asks(0, 1, "");
    limiter.called_off(0, 1);
    let due = S + 2 * TICK;
    let closed = [Act::Close(1, "never-answered"), Act::Close(2, "never-answered")];
    let mut actions = due_actions(&mut limiter, due);
    actions.sort_by_key(|act| if let Act::Close(slot, _) = act { *slot } else { usize::MAX });
    assert_eq!(actions, closed);
}

#[test]
fn never_answered_connections_are_evicted_first_once_they_are_old_enough_to_evict() {
    let limits = DoorLimits { unasked: 100 * S, evict_after: S, pings_per_s: 0, ..limits() };
    let mut limiter = Door::new(0, limits);
    for slot in 0..7 {
        limiter.arrives(0, slot, client_address(slot as u8), false, |_| true);
        limiter.asks(0, slot, "");
        limiter.answered(0, slot);
    }
    limiter.arrives(2 * S, 7, client_address(7), false, |_| true);
    assert!(limiter.may_accept(2 * S).is_ok(), "other connections have been idle for evict_after");
    assert_eq!(limiter.arrives(2 * S, 8, client_address(8), false, |_| true), Arrival::Instead(0));
    limiter.left(0);
    // Slot 7, never answered, is now old enough, and is evicted before those that were answered.
    assert_eq!(limiter.arrives(4 * S, 0, client_address(9), false, |_| true), Arrival::Instead(7));
}
