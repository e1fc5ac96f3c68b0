//! Connection limits: each rule, and invariants under random sequences of events.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr};

use cresswheel_admission::{
    Admission, ConnectionAction, ConnectionEvent, ConnectionLimiter, ConnectionLimits,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const S: u64 = 1_000_000;
/// Resolution of the timers.
const TICK: u64 = 16_384;

fn client_address(n: u8) -> IpAddr {
    Ipv4Addr::new(127, 0, 1, n).into()
}

fn limits() -> ConnectionLimits {
    ConnectionLimits { connections: 8, evict_after: 10 * S, ..ConnectionLimits::default() }
}

fn due_actions(limiter: &mut ConnectionLimiter, now: u64) -> Vec<ConnectionAction> {
    std::iter::from_fn(|| limiter.next_action(now)).collect()
}

#[test]
fn at_the_limit_the_longest_idle_connection_is_evicted_but_none_with_an_open_call() {
    let mut limiter = ConnectionLimiter::new(0, limits());
    for slot in 0..8 {
        assert_eq!(
            limiter.admit(slot as u64 * S, slot, client_address(slot as u8), false, |_| true),
            Admission::Accept
        );
    }
    limiter.on_request(8 * S, 0, "");
    // Slot 0 has an open call; slot 1 is the longest idle, but not yet for `evict_after`.
    assert!(limiter.may_accept(10 * S).is_err());
    assert_eq!(limiter.admit(10 * S, 8, client_address(8), false, |_| true), Admission::Reject("full"));
    assert!(limiter.may_accept(12 * S).is_ok());
    assert_eq!(limiter.admit(12 * S, 8, client_address(8), false, |_| true), Admission::AcceptEvicting(1));
    limiter.on_closed(1);
    assert_eq!(limiter.connection_count(), 8);
}

#[test]
fn an_address_over_its_share_loses_connections_to_others_and_can_evict_only_its_own() {
    let mut limiter = ConnectionLimiter::new(0, limits());
    (0..7).for_each(|slot| _ = limiter.admit(0, slot, client_address(1), false, |_| true));
    assert_eq!(limiter.admit(0, 7, client_address(2), false, |_| true), Admission::Accept);
    // For a third address, the one over its share loses a connection at once, however short it has been
    // idle.
    assert_eq!(limiter.admit(S, 8, client_address(3), false, |_| true), Admission::AcceptEvicting(0));
    limiter.on_closed(0);
    // The address over its share can evict only its own connections, and none has been idle for
    // `evict_after`.
    assert_eq!(limiter.admit(S, 0, client_address(1), false, |_| true), Admission::Reject("address-share"));
    assert_eq!(limiter.admit(11 * S, 0, client_address(1), false, |_| true), Admission::AcceptEvicting(1));
}

#[test]
fn a_tenant_over_its_share_loses_a_connection() {
    let mut limiter = ConnectionLimiter::new(0, limits());
    for slot in 0..8 {
        limiter.admit(0, slot, client_address(slot as u8), false, |_| true);
        limiter.on_request(0, slot, ["over-share", "second", "third"][slot.saturating_sub(5)]);
    }
    for slot in [7, 6, 5, 4, 3, 2, 1, 0] {
        limiter.on_answer(S, slot);
    }
    // Slots 7 and 6 are the longest idle, but their tenants are within their shares.
    assert_eq!(limiter.admit(2 * S, 8, client_address(9), false, |_| true), Admission::AcceptEvicting(5));
}

#[test]
fn no_connection_is_evicted_while_another_process_has_capacity() {
    let mut limiter = ConnectionLimiter::new(0, limits());
    (0..8).for_each(|slot| _ = limiter.admit(0, slot, client_address(slot as u8), false, |_| true));
    assert!(limiter.may_accept(60 * S).is_ok());
    limiter.set_capacity_elsewhere(true);
    assert_eq!(limiter.may_accept(60 * S), Err(61 * S));
    limiter.on_closed(3);
    assert!(limiter.may_accept(60 * S).is_ok(), "below the limit again");
}

#[test]
fn ipv6_clients_are_counted_by_network() {
    let v6 = |last: u16| IpAddr::V6(std::net::Ipv6Addr::new(0x2001, 0xdb8, 0, 1, 0, 0, 0, last));
    let mut limiter = ConnectionLimiter::new(0, limits());
    (0..6).for_each(|slot| _ = limiter.admit(0, slot, v6(slot as u16), false, |_| true));
    (6..8).for_each(|slot| _ = limiter.admit(0, slot, client_address(slot as u8), false, |_| true));
    assert_eq!(limiter.admit(S, 8, v6(99), false, |_| true), Admission::Reject("address-share"));
}

#[test]
fn idle_connections_are_pinged_within_the_rate_limit_and_closed_without_a_reply() {
    let limits = ConnectionLimits { connections: 1_000, pings_per_s: 100, ..limits() };
    let mut limiter = ConnectionLimiter::new(0, limits);
    (0..1_000).for_each(|slot| _ = limiter.admit(0, slot, client_address(1), false, |_| true));
    let due = limiter.next_due(0).unwrap();
    assert!(due >= limits.ping_after && due <= limits.ping_after + S);
    let (mut now, mut pinged, mut took) = (due, 0, 0);
    while pinged < 1_000 {
        let actions = due_actions(&mut limiter, now);
        let pings = actions.iter().filter(|act| matches!(act, ConnectionAction::Ping(_))).count();
        assert!(pings <= 26, "{pings} pings at once");
        // Slots below 500 reply; the others have vanished.
        for act in actions {
            match act {
                ConnectionAction::Ping(slot) if slot < 500 => {
                    limiter.on_event(now, slot, ConnectionEvent::Received(0))
                }
                ConnectionAction::Ping(_) => {}
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
                ConnectionAction::Close(slot, "vanished") => {
                    assert!(slot >= 500);
                    limiter.on_closed(slot);
                    gone += 1;
                }
                ConnectionAction::Close(..) | ConnectionAction::AskToLeave(_) => panic!("{act:?}"),
                ConnectionAction::Ping(_) => {}
            }
        }
    }
    assert_eq!(limiter.connection_count(), 500);
}

#[test]
fn the_timeout_of_a_partial_message_is_not_restarted_by_more_bytes() {
    let mut limiter = ConnectionLimiter::new(0, limits());
    limiter.admit(0, 0, client_address(1), true, |_| true);
    for second in 1..=9 {
        limiter.on_event(second * S, 0, ConnectionEvent::Received(second as usize));
        assert_eq!(due_actions(&mut limiter, second * S), []);
    }
    assert_eq!(due_actions(&mut limiter, 11 * S + TICK), [ConnectionAction::Close(0, "half-sent")]);
    // A complete message ends the timeout; the next message has its own.
    limiter.admit(0, 1, client_address(1), true, |_| true);
    limiter.on_event(S, 1, ConnectionEvent::Received(5));
    limiter.on_message_complete(8 * S, 1);
    limiter.on_event(9 * S, 1, ConnectionEvent::Received(5));
    assert_eq!(due_actions(&mut limiter, 12 * S), []);
}

#[test]
fn a_silent_partial_message_times_out_earlier_than_one_that_still_grows() {
    let mut limiter =
        ConnectionLimiter::new(0, ConnectionLimits { half: 10 * S, half_silent: 2 * S, ..limits() });
    for slot in 0..3 {
        limiter.admit(0, slot, client_address(slot as u8), false, |_| true);
        limiter.on_event(0, slot, ConnectionEvent::Received(1));
    }
    // Slot 0 sends no more; slots 1 and 2 go on sending, and the message of slot 2 is completed.
    for second in 1..=9 {
        (1..3).for_each(|slot| {
            limiter.on_event(second * S, slot, ConnectionEvent::Received(1 + second as usize))
        });
        let wanted = if second == 3 { vec![ConnectionAction::Close(0, "half-sent")] } else { vec![] };
        assert_eq!(due_actions(&mut limiter, second * S), wanted, "after {second} s");
        if second == 3 {
            limiter.on_closed(0);
        }
    }
    limiter.on_message_complete(9 * S, 2);
    limiter.on_event(9 * S + S / 2, 1, ConnectionEvent::Received(20));
    let due = limiter.next_due(9 * S + S / 2).unwrap();
    assert!((10 * S..=10 * S + TICK).contains(&due), "{due}");
    assert_eq!(due_actions(&mut limiter, 10 * S + TICK), [ConnectionAction::Close(1, "half-sent")]);
    // Requests and answers on the same connection are no progress of the partial message.
    limiter.on_closed(1);
    limiter.on_event(20 * S, 2, ConnectionEvent::Received(1));
    limiter.on_request(21 * S, 2, "");
    limiter.on_answer(21 * S, 2);
    assert_eq!(due_actions(&mut limiter, 22 * S + TICK), [ConnectionAction::Close(2, "half-sent")]);
}

#[test]
fn of_too_many_partial_messages_the_longest_silent_is_closed_unless_new_or_with_an_open_call() {
    let limits = ConnectionLimits { half_silent: 5 * S, half_connections: 2, evict_after: S, ..limits() };
    let mut limiter = ConnectionLimiter::new(0, limits);
    for slot in 0..4 {
        limiter.admit(0, slot, client_address(slot as u8), false, |_| true);
        limiter.on_event(slot as u64 * TICK, slot, ConnectionEvent::Received(1));
    }
    limiter.on_request(TICK * 4, 0, "");
    assert_eq!(due_actions(&mut limiter, S / 2), [], "none is older than evict_after");
    // Slot 1 sends more, so slot 2 is the longest silent one without an open call.
    limiter.on_event(S / 2, 1, ConnectionEvent::Received(2));
    let due = limiter.next_due(S / 2).unwrap();
    assert!(due <= S + 2 * TICK, "{due}");
    assert_eq!(limiter.next_action(S + 4 * TICK), Some(ConnectionAction::Close(2, "half-many")));
    limiter.on_closed(2);
    assert_eq!(limiter.next_action(S + 4 * TICK), Some(ConnectionAction::Close(3, "half-many")));
    limiter.on_closed(3);
    assert_eq!(limiter.next_action(S + 4 * TICK), None, "no more than the limit");
}

#[test]
fn bytes_of_partial_messages_are_limited_over_all_connections() {
    let limits = ConnectionLimits { half_bytes: 1_000, ..limits() };
    let mut limiter = ConnectionLimiter::new(0, limits);
    for slot in 0..4 {
        limiter.admit(0, slot, client_address(slot as u8), false, |_| true);
        limiter.on_event(slot as u64 * S, slot, ConnectionEvent::Received(300));
    }
    assert_eq!(
        limiter.next_action(4 * S),
        Some(ConnectionAction::Close(0, "half-bytes")),
        "the oldest is closed"
    );
    limiter.on_closed(0);
    assert_eq!(limiter.next_action(4 * S), None);
}

#[test]
fn a_client_that_does_not_read_times_out() {
    let mut limiter = ConnectionLimiter::new(0, limits());
    limiter.admit(0, 0, client_address(1), false, |_| true);
    limiter.on_request(S, 0, "");
    limiter.on_event(2 * S, 0, ConnectionEvent::Stalled);
    limiter.on_event(20 * S, 0, ConnectionEvent::Received(0));
    assert_eq!(due_actions(&mut limiter, 31 * S), []);
    assert_eq!(due_actions(&mut limiter, 32 * S + TICK), [ConnectionAction::Close(0, "does-not-read")]);
}

#[test]
fn a_drain_is_spread_over_its_duration_and_asks_each_connection_once() {
    let limits = ConnectionLimits { connections: 10_000, leave_over: 2 * S, ..limits() };
    let mut limiter = ConnectionLimiter::new(0, limits);
    for slot in 0..4_000 {
        limiter.admit(0, slot, client_address((slot % 200) as u8), slot % 3 == 0, |_| true);
        if slot % 7 == 0 {
            limiter.on_request(0, slot, "");
        }
    }
    limiter.drain(S);
    let mut asked = BTreeSet::new();
    let mut by_half_second = BTreeMap::<u64, usize>::new();
    let mut now = S;
    while limiter.is_draining() {
        for act in due_actions(&mut limiter, now) {
            let ConnectionAction::AskToLeave(slot) = act else { panic!("{act:?}") };
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
    let mut limiter = ConnectionLimiter::new(0, limits());
    (0..8).for_each(|slot| {
        _ = limiter.admit(slot as u64 * S, slot, client_address(slot as u8), false, |_| true)
    });
    limiter.on_request(9 * S, 0, "");
    limiter.set_limits(9 * S, ConnectionLimits { connections: 5, ..limits() });
    let mut left = Vec::new();
    for ms in 0..100 {
        for act in due_actions(&mut limiter, 9 * S + ms * 1_000) {
            let ConnectionAction::AskToLeave(slot) = act else { panic!("{act:?}") };
            left.push(slot);
        }
    }
    assert_eq!(left, [1, 2, 3], "0 has an open call");
    // Those that do not leave are closed after `ping_wait`.
    let closed = due_actions(&mut limiter, 9 * S + 31 * S);
    assert_eq!(closed.len(), 3);
    assert!(
        closed.iter().all(|act| matches!(act, ConnectionAction::Close(1..=3, "asked-to-leave"))),
        "{closed:?}"
    );
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
        let mut limits = ConnectionLimits {
            half_bytes: 1_000,
            half_silent: 4 * S,
            half_connections: 2,
            pings_per_s: 20,
            ..limits()
        };
        let mut limiter = ConnectionLimiter::new(0, limits);
        let mut model: BTreeMap<usize, ModelConnection> = BTreeMap::new();
        let (mut now, mut excess, mut pings) = (0, 0, Vec::<u64>::new());
        for step in steps {
            match step {
                Step::AdvanceClock(duration) => now += duration,
                Step::Accept { address, http } => {
                    let slot = (0..).find(|slot| !model.contains_key(slot)).unwrap();
                    match limiter.admit(now, slot, client_address(address), http, |_| true) {
                        Admission::Accept => _ = model.insert(slot, ModelConnection::default()),
                        Admission::AcceptEvicting(other) => {
                            prop_assert!(model.len() >= limits.connections);
                            let closed = model.remove(&other).expect("a connected slot");
                            prop_assert!(closed.open == 0 && !closed.partial && !closed.stalled, "{closed:?}");
                            limiter.on_closed(other);
                            model.insert(slot, ModelConnection::default());
                        }
                        Admission::Reject(_) => prop_assert!(model.len() >= limits.connections),
                    }
                }
                Step::Request(slot, tenant) => {
                    let tenant = ["", "a", "b", "c"][tenant as usize];
                    limiter.on_request(now, slot, tenant);
                    model.entry(slot).and_modify(|c| c.open += 1);
                }
                Step::Answer(slot) => {
                    limiter.on_answer(now, slot);
                    model.entry(slot).and_modify(|c| c.open = c.open.saturating_sub(1));
                }
                Step::Receive(slot, held) => {
                    limiter.on_event(now, slot, ConnectionEvent::Received(held));
                    model.entry(slot).and_modify(|c| c.partial = held > 0);
                }
                Step::Complete(slot) => {
                    limiter.on_message_complete(now, slot);
                    model.entry(slot).and_modify(|c| c.partial = false);
                }
                Step::Stall(slot, stalled) => {
                    limiter.on_event(now, slot, if stalled { ConnectionEvent::Stalled } else { ConnectionEvent::Resumed });
                    model.entry(slot).and_modify(|c| c.stalled = stalled);
                }
                Step::Disconnect(slot) => {
                    prop_assert_eq!(limiter.on_closed(slot), model.remove(&slot).is_some());
                }
                Step::SetLimit(connections) => {
                    limits.connections = connections;
                    excess = model.len().saturating_sub(connections);
                    limiter.set_limits(now, limits);
                }
                Step::Drain => limiter.drain(now),
            }
            let mut returned = 0;
            while let Some(act) = limiter.next_action(now) {
                returned += 1;
                prop_assert!(returned < 1_000, "actions without end");
                match act {
                    ConnectionAction::Close(slot, reason) => {
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
                        limiter.on_closed(slot);
                    }
                    ConnectionAction::Ping(slot) => {
                        prop_assert!(model[&slot].open == 0);
                        pings.push(now);
                    }
                    ConnectionAction::AskToLeave(slot) => {
                        let asked_to_leave = &mut model.get_mut(&slot).expect("a connected slot").asked_to_leave;
                        prop_assert!(!std::mem::replace(asked_to_leave, true), "asked to leave twice");
                    }
                }
            }
            prop_assert_eq!(limiter.connection_count(), model.len());
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
    let mut limiter =
        ConnectionLimiter::new(0, ConnectionLimits { unasked: S, idle: 30 * S, pings_per_s: 0, ..limits() });
    for slot in 0..3 {
        limiter.admit(0, slot, client_address(1), false, |_| true);
    }
    limiter.on_request(0, 0, "");
    limiter.on_answer(0, 0);
    // Its request was canceled, so it was never answered.
    limiter.on_request(0, 1, "");
    limiter.on_cancel(0, 1);
    let due = S + 2 * TICK;
    let closed = [ConnectionAction::Close(1, "never-answered"), ConnectionAction::Close(2, "never-answered")];
    let mut actions = due_actions(&mut limiter, due);
    actions.sort_by_key(|act| if let ConnectionAction::Close(slot, _) = act { *slot } else { usize::MAX });
    assert_eq!(actions, closed);
}

#[test]
fn never_answered_connections_are_evicted_first_once_they_are_old_enough_to_evict() {
    let limits = ConnectionLimits { unasked: 100 * S, evict_after: S, pings_per_s: 0, ..limits() };
    let mut limiter = ConnectionLimiter::new(0, limits);
    for slot in 0..7 {
        limiter.admit(0, slot, client_address(slot as u8), false, |_| true);
        limiter.on_request(0, slot, "");
        limiter.on_answer(0, slot);
    }
    limiter.admit(2 * S, 7, client_address(7), false, |_| true);
    assert!(limiter.may_accept(2 * S).is_ok(), "other connections have been idle for evict_after");
    assert_eq!(limiter.admit(2 * S, 8, client_address(8), false, |_| true), Admission::AcceptEvicting(0));
    limiter.on_closed(0);
    // Slot 7, never answered, is now old enough, and is evicted before those that were answered.
    assert_eq!(limiter.admit(4 * S, 0, client_address(9), false, |_| true), Admission::AcceptEvicting(7));
}
