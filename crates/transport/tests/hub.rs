//! The hub alone: connections that fail or close, limits, timing of input and output.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use cresswheel_protocol::{Decoder, Limits, Message, encode, http};
use cresswheel_transport::{Connection, EventLoop, EventLoopLimits, LoopEvent, PEER_STALL, Sent, Wire};

/// The next notice, within ten seconds.
fn next(hub: &mut EventLoop) -> LoopEvent {
    let end = hub.clock().now() + 10_000_000;
    loop {
        if let Some(notice) = hub.next_event() {
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
fn a_failed_connect_returns_all_frames_as_unsent() {
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let mut hub = EventLoop::new(EventLoopLimits::default()).unwrap();
    let connection = hub.connect(closed, Wire::Frames, 1_000_000);
    (1..=3).for_each(|mark| assert!(hub.send(connection, &probe(mark), Some(mark))));
    assert!(hub.cancel_unsent(connection, 2));
    match next(&mut hub) {
        LoopEvent::Closed { connection: which, never_stood: true, unsent, .. } => {
            assert_eq!((which, unsent), (connection, vec![1, 3]));
        }
        other => panic!("{other:?}"),
    }
    assert!(!hub.is_open(connection) && !hub.send(connection, &probe(4), None));
}

#[test]
fn a_connection_reset_at_once_counts_as_established_and_returns_its_frames() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut hub = EventLoop::new(EventLoopLimits::default()).unwrap();
    let connection = hub.connect(listener.local_addr().unwrap(), Wire::Frames, 1_000_000);
    hub.send(connection, &probe(1), Some(1));
    // The hub hasn't polled yet: it learns of the connection and of its end at once.
    let (peer, _) = listener.accept().unwrap();
    socket2::SockRef::from(&peer).set_linger(Some(Duration::ZERO)).unwrap();
    drop(peer);
    match next(&mut hub) {
        LoopEvent::Closed { connection: which, never_stood: false, unsent, .. } => {
            assert_eq!((which, unsent), (connection, vec![1]));
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_connection_established_in_time_survives_a_late_poll() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut hub = EventLoop::new(EventLoopLimits::default()).unwrap();
    let connection = hub.connect(listener.local_addr().unwrap(), Wire::Frames, 50_000);
    let _peer = listener.accept().unwrap();
    std::thread::sleep(Duration::from_millis(100));
    assert!(matches!(next(&mut hub), LoopEvent::Connected(c) if c == connection));
}

#[test]
fn output_is_written_only_after_client_input_was_read() {
    let mut hub = EventLoop::new(EventLoopLimits::default()).unwrap();
    let worker = TcpListener::bind("127.0.0.1:0").unwrap();
    let (_, address) = hub.listen("127.0.0.1:0".parse().unwrap(), Wire::Frames).unwrap();
    let own = hub.connect(worker.local_addr().unwrap(), Wire::Frames, 1_000_000);
    let mut client = TcpStream::connect(address).unwrap();
    let LoopEvent::Opened(id, _) = next(&mut hub) else { panic!("a guest") };
    let mut bytes = Vec::new();
    encode(&probe(1), &mut bytes);
    client.write_all(&bytes).unwrap();
    // The client sends a request, output for a worker is queued, and the worker's connection is established;
    // all in one iteration.
    while !matches!(next(&mut hub), LoopEvent::Message(..)) {}
    assert!(hub.send(own, &probe(2), Some(2)));
    assert!(hub.is_read_to_end(id), "all was read just now");
    std::thread::sleep(Duration::from_millis(60));
    client.write_all(&bytes).unwrap();
    drop(client);
    assert_eq!(hub.sent(own, 2), Sent::Nothing);
    assert!(hub.cancel_unsent(own, 2), "no output is written before the next wait");
    let LoopEvent::Message(..) = next(&mut hub) else { panic!("what it sent before its end") };
    assert!(!hub.is_read_to_end(id), "its end is still to be read");
    assert!(matches!(next(&mut hub), LoopEvent::Closed { connection, .. } if connection == id));
    assert!(!hub.is_read_to_end(id));
}

#[test]
fn a_connection_is_read_to_its_end_only_if_nothing_is_left_in_the_kernel_or_paused() {
    let mut hub = EventLoop::new(EventLoopLimits::default()).unwrap();
    hub.poll_to_end();
    let (_, address) = hub.listen("127.0.0.1:0".parse().unwrap(), Wire::Raw).unwrap();
    let mut client = TcpStream::connect(address).unwrap();
    let LoopEvent::Opened(id, _) = next(&mut hub) else { panic!("a client") };
    // More than one read takes; the kernel has all of it.
    let sent = 200_000;
    client.write_all(&vec![1; sent]).unwrap();
    let LoopEvent::Bytes(_, first) = next(&mut hub) else { panic!("bytes") };
    assert!(first.len() < sent && !hub.is_read_to_end(id), "more was sent than one read takes");
    let mut received = first.len();
    while received < sent {
        let LoopEvent::Bytes(_, bytes) = next(&mut hub) else { panic!("bytes") };
        received += bytes.len();
    }
    hub.wait(Some(0)).unwrap();
    assert!(hub.is_read_to_end(id), "a later poll found nothing");
    hub.pause(id, true);
    assert!(!hub.is_read_to_end(id));
    hub.wait(Some(0)).unwrap();
    client.write_all(b"later").unwrap();
    hub.wait(Some(0)).unwrap();
    assert!(hub.next_event().is_none(), "a paused connection is not read");
    hub.pause(id, false);
    assert!(!hub.is_read_to_end(id), "it is to be read first");
    assert!(matches!(next(&mut hub), LoopEvent::Bytes(_, bytes) if bytes == b"later"));
    assert!(hub.is_read_to_end(id));
}

// Guards against a request's time beginning anew when its connection is paused after the process stood still.
#[test]
fn bytes_that_arrived_before_a_pause_are_not_taken_for_later_ones() {
    let mut hub = EventLoop::new(EventLoopLimits::default()).unwrap();
    let (_, address) = hub.listen("127.0.0.1:0".parse().unwrap(), Wire::Raw).unwrap();
    let mut client = TcpStream::connect(address).unwrap();
    let LoopEvent::Opened(id, _) = next(&mut hub) else { panic!("a client") };
    client.write_all(b"first").unwrap();
    assert!(matches!(next(&mut hub), LoopEvent::Bytes(_, bytes) if bytes == b"first"));
    client.write_all(b"second").unwrap();
    let written = hub.clock().now();
    std::thread::sleep(Duration::from_millis(60));
    hub.pause(id, true);
    hub.wait(Some(0)).unwrap();
    hub.pause(id, false);
    assert!(matches!(next(&mut hub), LoopEvent::Bytes(_, bytes) if bytes == b"second"));
    assert!(hub.arrived_at() <= written, "{} after it was written", hub.arrived_at() - written);
}

#[test]
fn every_client_with_input_is_found_by_one_poll_however_many_there_are() {
    let mut hub = EventLoop::new(EventLoopLimits::default()).unwrap();
    hub.poll_to_end();
    let (_, address) = hub.listen("127.0.0.1:0".parse().unwrap(), Wire::Raw).unwrap();
    let mut clients: Vec<TcpStream> = (0..400).map(|_| TcpStream::connect(address).unwrap()).collect();
    let mut accepted = Vec::new();
    while accepted.len() < clients.len() {
        let LoopEvent::Opened(id, _) = next(&mut hub) else { panic!("a client") };
        accepted.push(id);
    }
    clients.iter_mut().for_each(|client| client.write_all(b"x").unwrap());
    hub.wait(Some(0)).unwrap();
    let read = std::iter::from_fn(|| hub.next_event()).count();
    assert_eq!(read, clients.len());
    assert!(accepted.iter().all(|id| hub.is_read_to_end(*id)));
}

/// A client of the main protocol whose probes 1 to `count` are with the kernel.
fn client_with_probes(address: std::net::SocketAddr, count: u64) -> TcpStream {
    let mut client = TcpStream::connect(address).unwrap();
    let mut bytes = Vec::new();
    (1..=count).for_each(|number| encode(&probe(number), &mut bytes));
    client.write_all(&bytes).unwrap();
    client
}

// Guards against a client with much to say that delays the others.
#[test]
fn a_client_with_many_messages_leaves_the_others_their_turn_and_loses_none() {
    let mut hub = EventLoop::new(EventLoopLimits::default()).unwrap();
    let (_, address) = hub.listen("127.0.0.1:0".parse().unwrap(), Wire::Frames).unwrap();
    let count = 1_000;
    let busy = client_with_probes(address, count);
    let LoopEvent::Opened(busy_id, _) = next(&mut hub) else { panic!("a client") };
    let _other = client_with_probes(address, 1);
    let (mut of_busy, mut before_other) = (0, None);
    while of_busy < count {
        match next(&mut hub) {
            LoopEvent::Message(id, _) if id == busy_id => of_busy += 1,
            LoopEvent::Message(..) => before_other = Some(of_busy),
            LoopEvent::Opened(..) => {}
            other => panic!("{other:?}"),
        }
    }
    assert!(before_other.is_some_and(|before| before < count / 4), "{before_other:?}");
    drop(busy);
    assert!(matches!(next(&mut hub), LoopEvent::Closed { connection, .. } if connection == busy_id));
}

#[test]
fn messages_that_were_received_are_delivered_before_the_end_of_their_client() {
    let mut hub = EventLoop::new(EventLoopLimits::default()).unwrap();
    let (_, address) = hub.listen("127.0.0.1:0".parse().unwrap(), Wire::Frames).unwrap();
    drop(client_with_probes(address, 300));
    assert!(matches!(next(&mut hub), LoopEvent::Opened(..)));
    for _ in 0..300 {
        assert!(matches!(next(&mut hub), LoopEvent::Message(..)));
    }
    assert!(matches!(next(&mut hub), LoopEvent::Closed { .. }));
}

// Guards against input that piles up while a connection is paused again and again.
#[test]
fn a_connection_that_is_paused_between_messages_is_not_read_on_before_they_are_delivered() {
    let mut hub = EventLoop::new(EventLoopLimits::default()).unwrap();
    hub.report_partial_messages();
    let (_, address) = hub.listen("127.0.0.1:0".parse().unwrap(), Wire::Frames).unwrap();
    let count = 20_000;
    let _client = client_with_probes(address, count);
    let LoopEvent::Opened(id, _) = next(&mut hub) else { panic!("a client") };
    let mut received = 0;
    while received < count {
        let first = next(&mut hub);
        hub.pause(id, true);
        for event in std::iter::once(first).chain(std::iter::from_fn(|| hub.next_event())) {
            match event {
                LoopEvent::Message(..) => received += 1,
                // All that is held is a part of one message.
                LoopEvent::PartialMessage(_, held) if held < 64 => {}
                other => panic!("{other:?}"),
            }
        }
        hub.wait(Some(0)).unwrap();
        assert!(!hub.is_quiet(id) || received >= count, "messages wait: {received}");
        hub.pause(id, false);
    }
    assert!(!hub.has_partial_message(id));
}

#[test]
fn the_input_of_a_held_peer_waits_and_its_end_comes_after_it() {
    let mut hub = EventLoop::new(EventLoopLimits::default()).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let own = hub.connect(listener.local_addr().unwrap(), Wire::Raw, 1_000_000);
    let (mut peer, _) = listener.accept().unwrap();
    assert!(matches!(next(&mut hub), LoopEvent::Connected(id) if id == own));
    hub.hold(own, true);
    hub.wait(Some(0)).unwrap();
    peer.write_all(b"answer").unwrap();
    drop(peer);
    for _ in 0..3 {
        hub.wait(Some(0)).unwrap();
    }
    assert!(hub.next_event().is_none(), "a held peer is not read, and its end is no reset");
    hub.hold(own, false);
    assert!(matches!(next(&mut hub), LoopEvent::Bytes(_, bytes) if bytes == b"answer"));
    assert!(matches!(next(&mut hub), LoopEvent::Closed { connection, .. } if connection == own));
}

#[test]
fn after_a_long_iteration_input_is_delivered_before_output_is_written() {
    let mut hub = EventLoop::new(EventLoopLimits::default()).unwrap();
    hub.leave_within(50_000);
    let worker = TcpListener::bind("127.0.0.1:0").unwrap();
    let service = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let own = hub.connect(worker.local_addr().unwrap(), Wire::Frames, 1_000_000);
    let socket = hub.datagrams(service.local_addr().unwrap()).unwrap();
    hub.send_datagram(socket, b"?");
    let (_, query_address) = service.recv_from(&mut [0]).unwrap();
    assert!(matches!(next(&mut hub), LoopEvent::Connected(which) if which == own));
    assert!(hub.send(own, &probe(1), Some(1)));
    // The rest of the iteration is long, and a datagram arrives meanwhile.
    service.send_to(b"news", query_address).unwrap();
    std::thread::sleep(Duration::from_millis(60));
    hub.wait(Some(0)).unwrap();
    assert!(
        matches!(hub.next_event(), Some(LoopEvent::Datagram(of, bytes)) if of == socket && bytes == b"news")
    );
    assert_eq!(hub.sent(own, 1), Sent::Nothing, "what was begun can still be taken back");
    hub.wait(Some(0)).unwrap();
    assert_eq!(hub.sent(own, 1), Sent::Whole, "the turn after it is short");
    // A program whose iterations are all long makes progress.
    for mark in 2..=3 {
        hub.send(own, &probe(1), Some(mark));
        std::thread::sleep(Duration::from_millis(60));
        hub.wait(Some(0)).unwrap();
    }
    assert_eq!((hub.sent(own, 2), hub.sent(own, 3)), (Sent::Whole, Sent::Whole));
}

#[test]
fn a_datagram_is_sent_although_an_earlier_one_failed() {
    let mut hub = EventLoop::new(EventLoopLimits::default()).unwrap();
    let address = std::net::UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let socket = hub.datagrams(address).unwrap();
    // The port is closed: the system reports it with the next datagram.
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
fn sent_frames_are_not_returned_as_unsent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut hub = EventLoop::new(EventLoopLimits::default()).unwrap();
    let connection = hub.connect(listener.local_addr().unwrap(), Wire::Frames, 1_000_000);
    hub.send(connection, &probe(1), Some(1));
    let (mut peer, _) = listener.accept().unwrap();
    assert!(matches!(next(&mut hub), LoopEvent::Connected(c) if c == connection));
    let mut header = [0; 6];
    while hub.backlog(connection) > 0 {
        hub.wait(Some(0)).unwrap();
    }
    peer.read_exact(&mut header).unwrap();
    drop(peer);
    match next(&mut hub) {
        LoopEvent::Closed { never_stood: false, unsent, .. } => assert!(unsent.is_empty()),
        other => panic!("{other:?}"),
    }
}

#[test]
fn the_last_message_before_an_end_is_not_lost() {
    let mut hub = EventLoop::new(EventLoopLimits::default()).unwrap();
    let (_, at) = hub.listen("127.0.0.1:0".parse().unwrap(), Wire::Frames).unwrap();
    let mut peer = TcpStream::connect(at).unwrap();
    let mut bytes = Vec::new();
    encode(&probe(7), &mut bytes);
    peer.write_all(&bytes).unwrap();
    drop(peer);
    assert!(matches!(next(&mut hub), LoopEvent::Opened(..)));
    assert!(matches!(next(&mut hub), LoopEvent::Message(_, Message::Probe { number: 7 })));
    assert!(matches!(next(&mut hub), LoopEvent::Closed { .. }));
    assert_eq!(hub.connections(), 0);
}

#[test]
fn a_paused_connection_is_not_read_and_its_end_is_seen() {
    let mut hub =
        EventLoop::new(EventLoopLimits { frame: Limits { frame: 1 << 20 }, ..EventLoopLimits::default() })
            .unwrap();
    let (_, at) = hub.listen("127.0.0.1:0".parse().unwrap(), Wire::Frames).unwrap();
    let mut peer = TcpStream::connect(at).unwrap();
    let LoopEvent::Opened(connection, _) = next(&mut hub) else { panic!() };
    hub.pause(connection, true);
    let mut bytes = Vec::new();
    encode(&probe(1), &mut bytes);
    peer.write_all(&bytes).unwrap();
    for _ in 0..20 {
        hub.wait(Some(hub.clock().now() + 1_000)).unwrap();
        assert!(hub.next_event().is_none());
    }
    hub.pause(connection, false);
    assert!(matches!(next(&mut hub), LoopEvent::Message(..)));
}

#[test]
fn connections_beyond_the_limit_are_closed_and_others_stay() {
    let mut hub = EventLoop::new(EventLoopLimits { accepted: 2, ..EventLoopLimits::default() }).unwrap();
    let (_, at) = hub.listen("127.0.0.1:0".parse().unwrap(), Wire::Frames).unwrap();
    let mut peers: Vec<TcpStream> = (0..3).map(|_| TcpStream::connect(at).unwrap()).collect();
    assert!(matches!(next(&mut hub), LoopEvent::Opened(..)));
    assert!(matches!(next(&mut hub), LoopEvent::Opened(..)));
    while hub.turned_away == 0 {
        hub.wait(Some(hub.clock().now() + 10_000)).unwrap();
    }
    peers[2].set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    assert!(matches!(peers[2].read(&mut [0; 1]), Ok(0) | Err(_)));
    peers.remove(0);
    assert!(matches!(next(&mut hub), LoopEvent::Closed { .. }));
    let _next = TcpStream::connect(at).unwrap();
    assert!(matches!(next(&mut hub), LoopEvent::Opened(..)));
}

#[test]
fn a_peer_that_never_reads_is_closed_at_the_backlog_limit() {
    let mut hub =
        EventLoop::new(EventLoopLimits { max_output: 1 << 20, ..EventLoopLimits::default() }).unwrap();
    let (_, at) = hub.listen("127.0.0.1:0".parse().unwrap(), Wire::Frames).unwrap();
    let _peer = TcpStream::connect(at).unwrap();
    let LoopEvent::Opened(connection, _) = next(&mut hub) else { panic!() };
    let bulky = bulky(1);
    let mut sent = 0;
    while hub.send(connection, &bulky, None) {
        hub.wait(Some(0)).unwrap();
        sent += 1;
        assert!(sent < 10_000, "the kernel takes no gigabyte");
    }
    assert!(matches!(next(&mut hub), LoopEvent::Closed { why, .. } if why == "too much waits to be written"));
}

/// A message of some 100 KB.
fn bulky(number: u64) -> Message {
    let (status, reason) = (cresswheel_protocol::Status::Served, String::new());
    Message::Answer { number, status, reason, retry_after: 0, body: vec![0; 100_000], origin: None }
}

/// Sends so many of them that the limit of output is exceeded several times, and has them read meanwhile.
fn exceed_limit(hub: &mut EventLoop, connection: Connection, mut peer: impl Read + Send + 'static) {
    const MESSAGES: u64 = 40;
    (0..MESSAGES).for_each(|number| assert!(hub.send(connection, &bulky(number), None), "message {number}"));
    let reader = std::thread::spawn(move || {
        let mut decoder = Decoder::new(Limits::default());
        let (mut received, mut bytes) = (0, vec![0; 64 << 10]);
        while received < MESSAGES {
            match decoder.decode().unwrap() {
                Some(message) => {
                    assert_eq!(message, bulky(received));
                    received += 1;
                }
                None => {
                    let count = peer.read(&mut bytes).unwrap();
                    decoder.push(&bytes[..count]);
                }
            }
        }
    });
    let end = hub.clock().now() + 10_000_000;
    while hub.backlog(connection) > 0 {
        assert!(hub.clock().now() < end && hub.is_open(connection), "the output is not written");
        hub.wait(Some(end)).unwrap();
    }
    reader.join().unwrap();
}

const MEGABYTE_OF_OUTPUT: EventLoopLimits = EventLoopLimits {
    frame: Limits { frame: 4 << 20 },
    http: http::Limits { head: 1 << 10, headers: 8, body: 1 << 10 },
    max_output: 1 << 20,
    accepted: 10,
};

/// Guards against a worker's connection that is closed for what many calls send on it at once.
#[test]
fn a_connection_that_this_side_opened_may_exceed_the_limit_while_its_peer_reads() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut hub = EventLoop::new(MEGABYTE_OF_OUTPUT).unwrap();
    let connection = hub.connect(listener.local_addr().unwrap(), Wire::Frames, 1_000_000);
    let peer = listener.accept().unwrap().0;
    exceed_limit(&mut hub, connection, peer);
}

/// Guards against a process of the program that is closed, with all its clients, for the same.
#[test]
fn an_adopted_connection_has_no_limit_of_output() {
    let (ours, theirs) = std::os::unix::net::UnixStream::pair().unwrap();
    let mut hub = EventLoop::new(MEGABYTE_OF_OUTPUT).unwrap();
    let connection = hub.adopt(ours.into(), Wire::Frames).unwrap();
    exceed_limit(&mut hub, connection, theirs);
}

#[test]
fn a_connection_that_this_side_opened_is_closed_at_the_limit_once_its_peer_reads_no_more() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut hub = EventLoop::new(MEGABYTE_OF_OUTPUT).unwrap();
    let connection = hub.connect(listener.local_addr().unwrap(), Wire::Frames, 1_000_000);
    let _peer = listener.accept().unwrap().0;
    let began = hub.clock().now();
    (0..100).for_each(|number| assert!(hub.send(connection, &bulky(number), None)));
    while hub.send(connection, &probe(0), None) {
        hub.wait(Some(hub.clock().now() + 1_000)).unwrap();
        assert!(hub.stalled_for(connection) < 10 * PEER_STALL, "it is not closed");
    }
    assert!(hub.clock().now() - began >= PEER_STALL);
    assert!(matches!(next(&mut hub), LoopEvent::Connected(_)));
    assert!(matches!(next(&mut hub), LoopEvent::Closed { why, .. } if why == "too much waits to be written"));
}

#[test]
fn peers_that_are_held_are_read_afterwards_and_lose_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let mut hub = EventLoop::new(EventLoopLimits::default()).unwrap();
    let mut peers = Vec::new();
    for _ in 0..2 {
        let connection = hub.connect(at, Wire::Frames, 1_000_000);
        assert!(matches!(next(&mut hub), LoopEvent::Connected(which) if which == connection));
        peers.push((connection, listener.accept().unwrap().0));
    }
    let (exempt, mut read_peer) = peers.pop().unwrap();
    let (held, mut held_peer) = peers.pop().unwrap();
    hub.hold_peers(true, Some(exempt));
    send(&mut held_peer, &probe(1));
    send(&mut read_peer, &probe(2));
    assert!(matches!(next(&mut hub), LoopEvent::Message(which, _) if which == exempt));
    // The other one ends with its message unread.
    drop(held_peer);
    for number in 3..6 {
        send(&mut read_peer, &probe(number));
        assert!(matches!(next(&mut hub), LoopEvent::Message(which, _) if which == exempt));
    }
    hub.hold_peers(false, None);
    assert!(
        matches!(next(&mut hub), LoopEvent::Message(which, message) if which == held && message == probe(1))
    );
    assert!(matches!(next(&mut hub), LoopEvent::Closed { connection, .. } if connection == held));
    send(&mut read_peer, &probe(6));
    assert!(matches!(next(&mut hub), LoopEvent::Message(which, _) if which == exempt));
}

fn send(peer: &mut impl Write, message: &Message) {
    let mut bytes = Vec::new();
    encode(message, &mut bytes);
    peer.write_all(&bytes).unwrap();
}

/// The arrival time reported to a delayed reader is never later than the write.
#[test]
fn a_delayed_message_carries_its_earliest_arrival_time() {
    let mut hub = EventLoop::new(EventLoopLimits::default()).unwrap();
    let (_, at) = hub.listen("127.0.0.1:0".parse().unwrap(), Wire::Frames).unwrap();
    // While it waits in the listen queue.
    hub.pause_listening(true);
    hub.wait(Some(0)).unwrap();
    let mut peer = TcpStream::connect(at).unwrap();
    let written = hub.clock().now();
    send(&mut peer, &probe(1));
    std::thread::sleep(Duration::from_millis(60));
    hub.pause_listening(false);
    let LoopEvent::Opened(connection, _) = next(&mut hub) else { panic!() };
    assert!(matches!(next(&mut hub), LoopEvent::Message(_, Message::Probe { number: 1 })));
    assert!(hub.arrived_at() <= written, "{} after it was written", hub.arrived_at() - written);
    // While accepted connections are paused.
    hub.pause_inbound(true);
    let written = hub.clock().now();
    send(&mut peer, &probe(2));
    for _ in 0..6 {
        hub.wait(Some(hub.clock().now() + 10_000)).unwrap();
        assert!(hub.next_event().is_none(), "held");
    }
    hub.pause_inbound(false);
    assert!(matches!(next(&mut hub), LoopEvent::Message(_, Message::Probe { number: 2 })));
    assert!(hub.arrived_at() <= written, "{} after it was written", hub.arrived_at() - written);
    // While it is paused.
    hub.pause(connection, true);
    hub.wait(Some(0)).unwrap();
    let written = hub.clock().now();
    send(&mut peer, &probe(3));
    for _ in 0..6 {
        hub.wait(Some(hub.clock().now() + 10_000)).unwrap();
    }
    hub.pause(connection, false);
    assert!(matches!(next(&mut hub), LoopEvent::Message(_, Message::Probe { number: 3 })));
    assert!(hub.arrived_at() <= written, "{} after it was written", hub.arrived_at() - written);
    // While the program is busy; and not before the last poll, or all requests would be rejected.
    let before = hub.clock().now();
    hub.wait(Some(0)).unwrap();
    let written = hub.clock().now();
    send(&mut peer, &probe(4));
    std::thread::sleep(Duration::from_millis(60));
    assert!(matches!(next(&mut hub), LoopEvent::Message(_, Message::Probe { number: 4 })));
    assert!(
        (before..=written).contains(&hub.arrived_at()),
        "{} not in {before}..={written}",
        hub.arrived_at()
    );
}

#[test]
fn incomplete_messages_are_reported_if_enabled_and_unix_sockets_work() {
    let mut hub = EventLoop::new(EventLoopLimits::default()).unwrap();
    hub.report_partial_messages();
    let (_, at) = hub.listen("127.0.0.1:0".parse().unwrap(), Wire::Frames).unwrap();
    let (mut other, ours) = std::os::unix::net::UnixStream::pair().unwrap();
    let trunk = hub.adopt(ours.into(), Wire::Frames).unwrap();
    send(&mut other, &probe(5));
    assert!(matches!(next(&mut hub), LoopEvent::Message(c, Message::Probe { number: 5 }) if c == trunk));
    // Incomplete messages of own connections are not reported.
    other.write_all(&[0, 0, 0]).unwrap();
    let mut client = TcpStream::connect(at).unwrap();
    let LoopEvent::Opened(connection, _) = next(&mut hub) else { panic!() };
    client.write_all(&[0, 0, 0]).unwrap();
    assert!(matches!(next(&mut hub), LoopEvent::PartialMessage(c, 3) if c == connection));
    assert!(hub.has_partial_message(connection));
    drop(other);
    assert!(matches!(next(&mut hub), LoopEvent::Closed { is_inbound: false, never_stood: false, .. }));
}

/// A client connection to a new hub, as seen by both sides.
fn client() -> (EventLoop, TcpStream, u64) {
    let mut hub = EventLoop::new(EventLoopLimits::default()).unwrap();
    let (_, at) = hub.listen("127.0.0.1:0".parse().unwrap(), Wire::Frames).unwrap();
    let peer = TcpStream::connect(at).unwrap();
    let LoopEvent::Opened(connection, _) = next(&mut hub) else { panic!() };
    (hub, peer, connection)
}

#[test]
fn the_end_of_an_accepted_connection_is_reported_while_they_are_paused() {
    let (mut hub, mut peer, connection) = client();
    let mut other = TcpStream::connect(peer.peer_addr().unwrap()).unwrap();
    let LoopEvent::Opened(..) = next(&mut hub) else { panic!() };
    hub.pause_inbound(true);
    send(&mut other, &probe(1));
    send(&mut peer, &probe(2));
    peer.shutdown(std::net::Shutdown::Write).unwrap();
    let mut seen = Vec::new();
    for _ in 0..200 {
        hub.wait(Some(hub.clock().now() + 5_000)).unwrap();
        seen.extend(std::iter::from_fn(|| hub.next_event()));
        if seen.len() == 2 {
            break;
        }
    }
    assert!(
        matches!(seen[..], [
        LoopEvent::Message(from, Message::Probe { number: 2 }),
        LoopEvent::Closed { connection: gone, .. }
    ] if from == connection && gone == connection),
        "{seen:?}"
    );
    hub.pause_inbound(false);
    assert!(matches!(next(&mut hub), LoopEvent::Message(_, Message::Probe { number: 1 })));
}

#[test]
fn a_half_close_of_a_paused_connection_is_reported() {
    let (mut hub, mut peer, connection) = client();
    hub.pause(connection, true);
    send(&mut peer, &probe(1));
    peer.shutdown(std::net::Shutdown::Write).unwrap();
    for _ in 0..200 {
        hub.wait(Some(hub.clock().now() + 5_000)).unwrap();
        if let Some(notice) = hub.next_event() {
            assert!(matches!(notice, LoopEvent::Closed { connection: gone, .. } if gone == connection));
            return;
        }
    }
    panic!("its end was not told");
}
