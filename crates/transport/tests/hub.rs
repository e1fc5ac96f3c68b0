//! The hub alone: what it says of connections that never stood, of crowds, of closed ones.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use cresswheel_protocol::{Limits, Message, encode};
use cresswheel_transport::{Hub, HubLimits, Notice, Sent, Wire};

/// The next notice, within ten seconds.
fn next(hub: &mut Hub) -> Notice {
    let end = hub.clock().now() + 10_000_000;
    loop {
        if let Some(notice) = hub.take_notice() {
            return notice;
        }
        assert!(hub.clock().now() < end, "nothing happened");
        hub.wait(Some(end)).unwrap();
    }
}

fn probe(number: u64) -> Message {
    Message::Probe { number }
}

#[test]
fn a_connection_that_never_stood_gives_all_its_frames_back() {
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let mut hub = Hub::new(HubLimits::default()).unwrap();
    let connection = hub.connect(closed, Wire::Frames, 1_000_000);
    (1..=3).for_each(|mark| assert!(hub.send(connection, &probe(mark), Some(mark))));
    assert!(hub.withdraw(connection, 2));
    match next(&mut hub) {
        Notice::Closed { connection: which, never_stood: true, unsent, .. } => {
            assert_eq!((which, unsent), (connection, vec![1, 3]));
        }
        other => panic!("{other:?}"),
    }
    assert!(!hub.is_open(connection) && !hub.send(connection, &probe(4), None));
}

#[test]
fn a_connection_that_is_reset_at_once_stood_and_gives_its_frames_back() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut hub = Hub::new(HubLimits::default()).unwrap();
    let connection = hub.connect(listener.local_addr().unwrap(), Wire::Frames, 1_000_000);
    hub.send(connection, &probe(1), Some(1));
    // The hub has not looked yet: it learns of the connection and of its end at the same time.
    let (peer, _) = listener.accept().unwrap();
    socket2::SockRef::from(&peer).set_linger(Some(Duration::ZERO)).unwrap();
    drop(peer);
    match next(&mut hub) {
        Notice::Closed { connection: which, never_stood: false, unsent, .. } => {
            assert_eq!((which, unsent), (connection, vec![1]));
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_connection_that_stood_in_time_is_not_given_up_when_it_is_looked_at_late() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut hub = Hub::new(HubLimits::default()).unwrap();
    let connection = hub.connect(listener.local_addr().unwrap(), Wire::Frames, 50_000);
    let _peer = listener.accept().unwrap();
    std::thread::sleep(Duration::from_millis(100));
    assert!(matches!(next(&mut hub), Notice::Connected(c) if c == connection));
}

#[test]
fn what_was_begun_leaves_only_after_the_guests_were_heard() {
    let mut hub = Hub::new(HubLimits::default()).unwrap();
    let worker = TcpListener::bind("127.0.0.1:0").unwrap();
    let (_, address) = hub.listen("127.0.0.1:0".parse().unwrap(), Wire::Frames).unwrap();
    let own = hub.connect(worker.local_addr().unwrap(), Wire::Frames, 1_000_000);
    let mut guest = TcpStream::connect(address).unwrap();
    let Notice::Opened(id, _) = next(&mut hub) else { panic!("a guest") };
    let mut bytes = Vec::new();
    encode(&probe(1), &mut bytes);
    guest.write_all(&bytes).unwrap();
    // It asks, something is begun for it, and the connection to the worker stands; all in one turn.
    while !matches!(next(&mut hub), Notice::Message(..)) {}
    assert!(hub.send(own, &probe(2), Some(2)));
    assert!(!hub.is_behind(10_000_000), "all was read just now");
    std::thread::sleep(Duration::from_millis(60));
    drop(guest);
    assert!(hub.is_behind(50_000), "the last look was long ago");
    hub.hear().unwrap();
    assert!(matches!(hub.take_notice(), Some(Notice::Closed { connection, .. }) if connection == id));
    assert!(!hub.is_behind(50_000));
    assert_eq!(hub.sent(own, 2), Sent::Nothing);
    assert!(hub.withdraw(own, 2), "listening writes nothing");
}

#[test]
fn after_a_long_turn_nothing_leaves_before_the_program_has_heard_the_news() {
    let mut hub = Hub::new(HubLimits::default()).unwrap();
    hub.leave_within(50_000);
    let worker = TcpListener::bind("127.0.0.1:0").unwrap();
    let service = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let own = hub.connect(worker.local_addr().unwrap(), Wire::Frames, 1_000_000);
    let socket = hub.datagrams(service.local_addr().unwrap()).unwrap();
    hub.send_datagram(socket, b"?");
    let (_, asking) = service.recv_from(&mut [0]).unwrap();
    assert!(matches!(next(&mut hub), Notice::Connected(which) if which == own));
    assert!(hub.send(own, &probe(1), Some(1)));
    // The rest of the turn is long, and the news comes meanwhile.
    service.send_to(b"news", asking).unwrap();
    std::thread::sleep(Duration::from_millis(60));
    hub.wait(Some(0)).unwrap();
    assert!(
        matches!(hub.take_notice(), Some(Notice::Datagram(of, bytes)) if of == socket && bytes == b"news")
    );
    assert_eq!(hub.sent(own, 1), Sent::Nothing, "what was begun can still be taken back");
    hub.wait(Some(0)).unwrap();
    assert_eq!(hub.sent(own, 1), Sent::Whole, "the turn after it is short");
    // A program of which each turn is long goes on all the same.
    for mark in 2..=3 {
        hub.send(own, &probe(1), Some(mark));
        std::thread::sleep(Duration::from_millis(60));
        hub.wait(Some(0)).unwrap();
    }
    assert_eq!((hub.sent(own, 2), hub.sent(own, 3)), (Sent::Whole, Sent::Whole));
}

#[test]
fn a_datagram_leaves_though_an_earlier_one_found_nobody() {
    let mut hub = Hub::new(HubLimits::default()).unwrap();
    let address = std::net::UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let socket = hub.datagrams(address).unwrap();
    // Nobody listens there: the system says so with the next one.
    hub.send_datagram(socket, b"1");
    std::thread::sleep(Duration::from_millis(20));
    let service = std::net::UdpSocket::bind(address).unwrap();
    service.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    hub.send_datagram(socket, b"2");
    let mut bytes = [0];
    service.recv_from(&mut bytes).unwrap();
    assert_eq!(&bytes, b"2");
}

#[test]
fn hearing_reads_datagrams_and_writes_nothing() {
    let mut hub = Hub::new(HubLimits::default()).unwrap();
    let service = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let socket = hub.datagrams(service.local_addr().unwrap()).unwrap();
    hub.send_datagram(socket, b"?");
    let (_, asking) = service.recv_from(&mut [0]).unwrap();
    service.send_to(b"news", asking).unwrap();
    hub.hear().unwrap();
    assert!(matches!(hub.take_notice(), Some(Notice::Datagram(of, _)) if of == socket));
}

#[test]
fn frames_that_left_are_not_given_back() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut hub = Hub::new(HubLimits::default()).unwrap();
    let connection = hub.connect(listener.local_addr().unwrap(), Wire::Frames, 1_000_000);
    hub.send(connection, &probe(1), Some(1));
    let (mut peer, _) = listener.accept().unwrap();
    assert!(matches!(next(&mut hub), Notice::Connected(c) if c == connection));
    let mut header = [0; 6];
    while hub.backlog(connection) > 0 {
        hub.wait(Some(0)).unwrap();
    }
    peer.read_exact(&mut header).unwrap();
    drop(peer);
    match next(&mut hub) {
        Notice::Closed { never_stood: false, unsent, .. } => assert!(unsent.is_empty()),
        other => panic!("{other:?}"),
    }
}

#[test]
fn the_last_message_before_an_end_is_not_lost() {
    let mut hub = Hub::new(HubLimits::default()).unwrap();
    let (_, at) = hub.listen("127.0.0.1:0".parse().unwrap(), Wire::Frames).unwrap();
    let mut peer = TcpStream::connect(at).unwrap();
    let mut bytes = Vec::new();
    encode(&probe(7), &mut bytes);
    peer.write_all(&bytes).unwrap();
    drop(peer);
    assert!(matches!(next(&mut hub), Notice::Opened(..)));
    assert!(matches!(next(&mut hub), Notice::Message(_, Message::Probe { number: 7 })));
    assert!(matches!(next(&mut hub), Notice::Closed { .. }));
    assert_eq!(hub.connections(), 0);
}

#[test]
fn a_paused_connection_is_not_read_and_its_end_is_seen() {
    let mut hub = Hub::new(HubLimits { frame: Limits { frame: 1 << 20 }, ..HubLimits::default() }).unwrap();
    let (_, at) = hub.listen("127.0.0.1:0".parse().unwrap(), Wire::Frames).unwrap();
    let mut peer = TcpStream::connect(at).unwrap();
    let Notice::Opened(connection, _) = next(&mut hub) else { panic!() };
    hub.pause(connection, true);
    let mut bytes = Vec::new();
    encode(&probe(1), &mut bytes);
    peer.write_all(&bytes).unwrap();
    for _ in 0..20 {
        hub.wait(Some(hub.clock().now() + 1_000)).unwrap();
        assert!(hub.take_notice().is_none());
    }
    hub.pause(connection, false);
    assert!(matches!(next(&mut hub), Notice::Message(..)));
}

#[test]
fn a_crowd_beyond_the_bound_is_closed_and_those_inside_stay() {
    let mut hub = Hub::new(HubLimits { accepted: 2, ..HubLimits::default() }).unwrap();
    let (_, at) = hub.listen("127.0.0.1:0".parse().unwrap(), Wire::Frames).unwrap();
    let mut peers: Vec<TcpStream> = (0..3).map(|_| TcpStream::connect(at).unwrap()).collect();
    assert!(matches!(next(&mut hub), Notice::Opened(..)));
    assert!(matches!(next(&mut hub), Notice::Opened(..)));
    while hub.turned_away == 0 {
        hub.wait(Some(hub.clock().now() + 10_000)).unwrap();
    }
    peers[2].set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    assert!(matches!(peers[2].read(&mut [0; 1]), Ok(0) | Err(_)));
    peers.remove(0);
    assert!(matches!(next(&mut hub), Notice::Closed { .. }));
    let _next = TcpStream::connect(at).unwrap();
    assert!(matches!(next(&mut hub), Notice::Opened(..)));
}

#[test]
fn a_peer_that_never_reads_is_closed_at_the_bound() {
    let mut hub = Hub::new(HubLimits { out: 1 << 20, ..HubLimits::default() }).unwrap();
    let (_, at) = hub.listen("127.0.0.1:0".parse().unwrap(), Wire::Frames).unwrap();
    let _peer = TcpStream::connect(at).unwrap();
    let Notice::Opened(connection, _) = next(&mut hub) else { panic!() };
    let bulky = Message::Answer {
        number: 1,
        status: cresswheel_protocol::Status::Served,
        reason: String::new(),
        retry_after: 0,
        body: vec![0; 100_000],
        origin: None,
    };
    let mut sent = 0;
    while hub.send(connection, &bulky, None) {
        hub.wait(Some(0)).unwrap();
        sent += 1;
        assert!(sent < 10_000, "the kernel takes no gigabyte");
    }
    assert!(matches!(next(&mut hub), Notice::Closed { why, .. } if why == "too much waits to be written"));
}

fn send(peer: &mut impl Write, message: &Message) {
    let mut bytes = Vec::new();
    encode(message, &mut bytes);
    peer.write_all(&bytes).unwrap();
}

/// What a late reader is told of when a message came is never after it was written.
#[test]
fn a_message_that_waited_unread_is_told_with_the_time_since_when_it_may_have_waited() {
    let mut hub = Hub::new(HubLimits::default()).unwrap();
    let (_, at) = hub.listen("127.0.0.1:0".parse().unwrap(), Wire::Frames).unwrap();
    // While it waits to be accepted.
    hub.pause_listening(true);
    hub.wait(Some(0)).unwrap();
    let mut peer = TcpStream::connect(at).unwrap();
    let written = hub.clock().now();
    send(&mut peer, &probe(1));
    std::thread::sleep(Duration::from_millis(60));
    hub.pause_listening(false);
    let Notice::Opened(connection, _) = next(&mut hub) else { panic!() };
    assert!(matches!(next(&mut hub), Notice::Message(_, Message::Probe { number: 1 })));
    assert!(hub.came() <= written, "{} after it was written", hub.came() - written);
    // While guests are held.
    hub.hold_guests(true);
    let written = hub.clock().now();
    send(&mut peer, &probe(2));
    for _ in 0..6 {
        hub.wait(Some(hub.clock().now() + 10_000)).unwrap();
        assert!(hub.take_notice().is_none(), "held");
    }
    hub.hold_guests(false);
    assert!(matches!(next(&mut hub), Notice::Message(_, Message::Probe { number: 2 })));
    assert!(hub.came() <= written, "{} after it was written", hub.came() - written);
    // While it is paused.
    hub.pause(connection, true);
    hub.wait(Some(0)).unwrap();
    let written = hub.clock().now();
    send(&mut peer, &probe(3));
    for _ in 0..6 {
        hub.wait(Some(hub.clock().now() + 10_000)).unwrap();
    }
    hub.pause(connection, false);
    assert!(matches!(next(&mut hub), Notice::Message(_, Message::Probe { number: 3 })));
    assert!(hub.came() <= written, "{} after it was written", hub.came() - written);
    // While the program is busy with something else; and not before the last look, or all would be refused.
    let before = hub.clock().now();
    hub.wait(Some(0)).unwrap();
    let written = hub.clock().now();
    send(&mut peer, &probe(4));
    std::thread::sleep(Duration::from_millis(60));
    assert!(matches!(next(&mut hub), Notice::Message(_, Message::Probe { number: 4 })));
    assert!((before..=written).contains(&hub.came()), "{} not in {before}..={written}", hub.came());
}

#[test]
fn half_messages_are_told_to_who_asked_and_a_unix_socket_serves_as_well() {
    let mut hub = Hub::new(HubLimits::default()).unwrap();
    hub.tell_halves();
    let (_, at) = hub.listen("127.0.0.1:0".parse().unwrap(), Wire::Frames).unwrap();
    let (mut other, ours) = std::os::unix::net::UnixStream::pair().unwrap();
    let trunk = hub.adopt(ours.into(), Wire::Frames).unwrap();
    send(&mut other, &probe(5));
    assert!(matches!(next(&mut hub), Notice::Message(c, Message::Probe { number: 5 }) if c == trunk));
    // What is half there on a peer of this side is nobody's business.
    other.write_all(&[0, 0, 0]).unwrap();
    let mut guest = TcpStream::connect(at).unwrap();
    let Notice::Opened(connection, _) = next(&mut hub) else { panic!() };
    guest.write_all(&[0, 0, 0]).unwrap();
    assert!(matches!(next(&mut hub), Notice::Half(c, 3) if c == connection));
    assert!(hub.midway(connection));
    drop(other);
    assert!(matches!(next(&mut hub), Notice::Closed { guest: false, never_stood: false, .. }));
}

/// The peer's connection to a new hub, as each of them sees it.
fn guest() -> (Hub, TcpStream, u64) {
    let mut hub = Hub::new(HubLimits::default()).unwrap();
    let (_, at) = hub.listen("127.0.0.1:0".parse().unwrap(), Wire::Frames).unwrap();
    let peer = TcpStream::connect(at).unwrap();
    let Notice::Opened(connection, _) = next(&mut hub) else { panic!() };
    (hub, peer, connection)
}

#[test]
fn the_end_of_a_guest_is_told_though_guests_are_held_and_what_others_sent_waits() {
    let (mut hub, mut peer, connection) = guest();
    let mut other = TcpStream::connect(peer.peer_addr().unwrap()).unwrap();
    let Notice::Opened(..) = next(&mut hub) else { panic!() };
    hub.hold_guests(true);
    send(&mut other, &probe(1));
    send(&mut peer, &probe(2));
    peer.shutdown(std::net::Shutdown::Write).unwrap();
    let mut seen = Vec::new();
    for _ in 0..200 {
        hub.wait(Some(hub.clock().now() + 5_000)).unwrap();
        seen.extend(std::iter::from_fn(|| hub.take_notice()));
        if seen.len() == 2 {
            break;
        }
    }
    assert!(
        matches!(seen[..], [
        Notice::Message(from, Message::Probe { number: 2 }),
        Notice::Closed { connection: gone, .. }
    ] if from == connection && gone == connection),
        "{seen:?}"
    );
    hub.hold_guests(false);
    assert!(matches!(next(&mut hub), Notice::Message(_, Message::Probe { number: 1 })));
}

#[test]
fn the_end_of_a_paused_guest_that_closes_one_side_is_told() {
    let (mut hub, mut peer, connection) = guest();
    hub.pause(connection, true);
    send(&mut peer, &probe(1));
    peer.shutdown(std::net::Shutdown::Write).unwrap();
    for _ in 0..200 {
        hub.wait(Some(hub.clock().now() + 5_000)).unwrap();
        if let Some(notice) = hub.take_notice() {
            assert!(matches!(notice, Notice::Closed { connection: gone, .. } if gone == connection));
            return;
        }
    }
    panic!("its end was not told");
}
