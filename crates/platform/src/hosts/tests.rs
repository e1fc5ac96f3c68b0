use std::net::TcpListener;
use std::sync::Arc;

use cresswheel_engine::Call;
use cresswheel_protocol::FunctionProfile;
use cresswheel_transport::{EventLoopLimits, LoopEvent, Wire};

use super::*;

const SECOND: Micros = 1_000_000;

fn host(listener: &TcpListener, standing: MemberState) -> ListedWorker {
    ListedWorker {
        id: "h".into(),
        address: listener.local_addr().unwrap().to_string(),
        zone: String::new(),
        kind: String::new(),
        cell: 0,
        standing,
        started: 0,
    }
}

fn attempt(number: u64, body: Vec<u8>) -> Attempt {
    let call = Call {
        deferred: false,
        function: "7f3a9c21e0b4d655".into(),
        class: "check".into(),
        tenant: String::new(),
        key: String::new(),
        trace: format!("{number:016x}"),
        timeout: SECOND,
        shape: FunctionProfile { memory_mb: 0, lanes: 0, load_time: 0, work: 0 },
        body,
        account: None,
        route: None,
        workers_deduplicate: false,
    };
    Attempt {
        number,
        worker: "h".into(),
        id: number.to_string(),
        previous_attempts: 0,
        time_left: SECOND,
        timeout: SECOND,
        is_repeatable: true,
        call: Arc::new(call),
    }
}

/// A host table with this connection limit per host.
fn hosts(connections: usize) -> Hosts {
    let (wire, connect_timeout) = (Wire::Raw, SECOND);
    let limits = CarrierLimits { wire, connections, streams: 10, spread: 1, connect_timeout, idle: SECOND };
    Hosts::new(limits, 10, DuplicateWindows { unsafe_calls: SECOND, others: SECOND })
}

#[test]
fn cancellation_when_a_host_drains_or_leaves_clears_all_state() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    for after in [MemberState::Draining, MemberState::Removed] {
        let mut hub = EventLoop::new(EventLoopLimits::default()).unwrap();
        let mut hosts = hosts(2);
        hosts.apply_list(&mut hub, &[host(&listener, MemberState::Active)]);
        // The hub hasn't polled yet: the connection isn't established and no byte was sent.
        assert!(hosts.run(&mut hub, &attempt(1, Vec::new())).is_none());
        let ended = hosts.apply_list(&mut hub, &[host(&listener, after)]);
        assert!(matches!(ended[..], [Input::AttemptEnded(1, AttemptEnd::TakenBack, ..)]), "{ended:?}");
        assert!(
            hosts.in_flight.is_empty()
                && hosts
                    .connections_by_id
                    .values()
                    .all(|connection_state| connection_state.outstanding.is_empty()),
            "{after:?}"
        );
    }
}

#[test]
fn closing_a_partly_sent_attempt_does_not_count_against_the_host() {
    // More than the kernel buffers for a connection that isn't read.
    const LARGE: usize = 16 << 20;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut hub = EventLoop::new(EventLoopLimits::default()).unwrap();
    let mut hosts = hosts(1);
    hosts.apply_list(&mut hub, &[host(&listener, MemberState::Active)]);
    for (number, length) in [(1, 0), (2, LARGE), (3, 0)] {
        assert!(hosts.run(&mut hub, &attempt(number, vec![7; length])).is_none());
    }
    let (connection, _) = hosts.in_flight[&2];
    let end = hub.clock().now() + 10 * SECOND;
    while hub.sent(connection, 2) != Sent::Part {
        assert!(hub.clock().now() < end, "no part of it left");
        let soon = hub.clock().now() + SECOND / 100;
        hub.wait(Some(soon)).unwrap();
    }
    assert!(hosts.withdraw(&mut hub, 2));
    let ended = loop {
        let notice = hub.next_event().expect("the end of the connection");
        if let LoopEvent::Closed { connection, never_stood, unsent, why, .. } = notice {
            break hosts.closed(connection, never_stood, &unsent, &why);
        }
    };
    let ends: Vec<_> = ended
        .iter()
        .map(|input| match input {
            Input::AttemptEnded(number, end, ..) => (*number, *end),
            other => panic!("{other:?}"),
        })
        .collect();
    // The first may have run, the third was unsent; neither end is the host's fault.
    assert_eq!(ends, [(1, AttemptEnd::CutOff), (3, AttemptEnd::NotWritten)]);
    assert!(hosts.in_flight.is_empty());
}

#[test]
fn tags_are_matched_only_on_their_own_connection() {
    // Numbers of orders and probes restart with each process, so connections to two processes share tags.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut hub = EventLoop::new(EventLoopLimits::default()).unwrap();
    let mut hosts = hosts(2);
    hosts.apply_list(&mut hub, &[host(&listener, MemberState::Active)]);
    let order = Order { worker: "h".into(), number: 1, function: "7f3a9c21e0b4d655".into(), count: 1 };
    assert!(hosts.prewarm(&mut hub, &order).is_none());
    let (own, tag) = hosts.in_flight[&1].clone();
    let mut answer = Vec::new();
    host::encode_answer(&mut answer, &tag, "OK", "instances=1", b"");
    for number in [2, 3] {
        assert!(hosts.run(&mut hub, &attempt(number, Vec::new())).is_none());
    }
    let other = [2, 3].map(|number| hosts.in_flight[&number].0).into_iter().find(|other| *other != own);
    assert!(receive(&mut hosts, &mut hub, other.expect("another connection"), &answer).is_empty());
    assert_eq!(hosts.counts.unexpected, 1);
    assert!(matches!(receive(&mut hosts, &mut hub, own, &answer)[..], [Input::OrderEnded(1, ..)]));
}

fn order(number: u64) -> Order {
    Order { worker: "h".into(), number, function: "7f3a9c21e0b4d655".into(), count: 1 }
}

/// A host table whose only connection carries as many orders as it may, numbered from 0. The listener accepts
/// nothing, so the connection isn't established.
fn hosts_full_of_orders() -> (TcpListener, EventLoop, Hosts) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut hub = EventLoop::new(EventLoopLimits::default()).unwrap();
    let mut hosts = hosts(1);
    hosts.apply_list(&mut hub, &[host(&listener, MemberState::Active)]);
    for number in 0..10 {
        assert!(hosts.prewarm(&mut hub, &order(number)).is_none());
    }
    (listener, hub, hosts)
}

/// Guards against blame for a lack of room on this side: an order that no connection has room for was not
/// sent, and says nothing about its host.
#[test]
fn an_order_without_room_on_a_connection_ends_as_not_sent() {
    let (_listener, mut hub, mut hosts) = hosts_full_of_orders();
    let ended = hosts.prewarm(&mut hub, &order(10));
    assert!(matches!(ended, Some(Input::OrderEnded(10, OrderEnd::NotSent, 0))), "{ended:?}");
    // A host that is not listed can't be reached.
    let elsewhere = Order { worker: "gone".into(), ..order(11) };
    let ended = hosts.prewarm(&mut hub, &elsewhere);
    assert!(matches!(ended, Some(Input::OrderEnded(11, OrderEnd::NotConnected, 0))), "{ended:?}");
}

/// Guards against places that are lost for good: a lost order gets no answer, so its place is free again when
/// its time is over.
#[test]
fn an_order_that_timed_out_gives_its_place_back() {
    let (_listener, mut hub, mut hosts) = hosts_full_of_orders();
    hosts.abandon_order(&mut hub, 3);
    assert!(hosts.prewarm(&mut hub, &order(10)).is_none(), "a place is free");
    assert!(hosts.prewarm(&mut hub, &order(11)).is_some(), "one place is free");
    assert_eq!(hosts.in_flight.len(), 10);
}

/// Takes in bytes and decodes all of them.
fn receive(hosts: &mut Hosts, hub: &mut EventLoop, connection: Connection, bytes: &[u8]) -> Vec<Input> {
    hosts.receive(hub, connection, bytes);
    let mut ended = Vec::new();
    while hosts.has_input() {
        ended.extend(hosts.decode_turn(hub));
    }
    ended
}

#[test]
fn answers_of_a_host_are_taken_in_turns_and_all_of_them_when_its_connection_ends() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut hub = EventLoop::new(EventLoopLimits::default()).unwrap();
    let mut hosts = hosts(2);
    hosts.apply_list(&mut hub, &[host(&listener, MemberState::Active)]);
    let mut answers = Vec::new();
    let order = Order { worker: "h".into(), number: 1, function: "7f3a9c21e0b4d655".into(), count: 1 };
    assert!(hosts.prewarm(&mut hub, &order).is_none());
    let (connection, tag) = hosts.in_flight[&1].clone();
    for number in 0..3 * ANSWERS_PER_TURN {
        host::encode_answer(&mut answers, &format!("{number:016x}"), "OK", "-", b"");
    }
    host::encode_answer(&mut answers, &tag, "OK", "instances=1", b"");
    hosts.receive(&hub, connection, &answers);
    assert!(hosts.decode_turn(&mut hub).is_empty());
    assert_eq!((hosts.counts.unexpected, hosts.has_input()), (ANSWERS_PER_TURN as u64, true));
    hosts.hold_undecoded(&mut hub);
    assert!(hosts.connections_by_id[&connection].held);
    // The connection ends with answers undecoded.
    let ended = hosts.decode_rest(&mut hub, connection);
    assert!(matches!(ended[..], [Input::OrderEnded(1, ..)]), "{ended:?}");
    assert_eq!(hosts.counts.unexpected, 3 * ANSWERS_PER_TURN as u64);
    assert!(hosts.decode_turn(&mut hub).is_empty() && !hosts.has_input());
    assert!(!hosts.connections_by_id[&connection].held);
}
