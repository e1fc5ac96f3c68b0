//! Which requests wait, which are started, and in which order; on real sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use cresswheel_platform_wire::client::{encode_request, encode_without_fields};
use cresswheel_transport::{EventLoopLimits, Wire};

use super::*;

const MARGIN: Micros = 10_000;

struct Bed {
    hub: EventLoop,
    front: ClientConnections,
    address: SocketAddr,
}

impl Bed {
    fn new(bytes: usize) -> Self {
        let mut hub = EventLoop::new(EventLoopLimits::default()).unwrap();
        hub.poll_to_end();
        let (_, address) = hub.listen("127.0.0.1:0".parse().unwrap(), Wire::Raw).unwrap();
        let limits = ConnectionLimits { connections: 100, ..ConnectionLimits::default() };
        let waiting = WaitingLimits { bytes, margin: MARGIN };
        let unsafe_requests = UnsafeRequests { classes: vec!["post".into()], id_retention: 5_000_000 };
        let front = ClientConnections::new(hub.clock().now(), limits, waiting, unsafe_requests);
        Self { hub, front, address }
    }

    /// Connects a client; returns its side and the connection here.
    fn connect(&mut self) -> (TcpStream, Connection) {
        let client = TcpStream::connect(self.address).unwrap();
        let known: Vec<Connection> = self.front.connections.keys().copied().collect();
        self.read_until(|bed| bed.front.connections.len() > known.len());
        let connection = *self.front.connections.keys().find(|id| !known.contains(id)).unwrap();
        (client, connection)
    }

    /// Reads until something holds; decodes nothing.
    fn read_until(&mut self, is_done: impl Fn(&Self) -> bool) {
        let end = Instant::now() + Duration::from_secs(10);
        while !is_done(self) {
            assert!(Instant::now() < end, "not reached");
            self.hub.wait(Some(self.hub.clock().now() + 1_000)).unwrap();
            while let Some(notice) = self.hub.next_event() {
                self.front.notice(&mut self.hub, notice);
            }
        }
    }

    /// Reads and decodes all that clients wrote.
    fn read_all(&mut self) {
        std::thread::sleep(Duration::from_millis(5));
        for _ in 0..16 {
            self.hub.wait(Some(0)).unwrap();
            while let Some(notice) = self.hub.next_event() {
                self.front.notice(&mut self.hub, notice);
            }
            while self.front.has_input() {
                self.front.decode_turn(&mut self.hub, true);
            }
        }
    }

    /// The connections and streams of all requests that may be started, in order.
    fn started(&mut self) -> Vec<(Connection, u32)> {
        std::iter::from_fn(|| self.front.take_request(&self.hub))
            .map(|request| (request.connection, request.stream))
            .collect()
    }
}

fn request(stream: u32, id: u32, wait: &str, body: usize) -> Vec<u8> {
    let id = format!("{id:016x}");
    let fields = [("class", "check"), ("id", &*id), ("wait", wait), ("key", "7f3a9c21e0b4d655")];
    let mut out = Vec::new();
    encode_request(&mut out, stream, &fields, &vec![0; body]);
    out
}

fn cancel(stream: u32) -> Vec<u8> {
    let mut out = Vec::new();
    encode_without_fields(&mut out, false, stream);
    out
}

#[test]
fn requests_of_departed_clients_are_dropped_and_reused_streams_are_kept() {
    let mut bed = Bed::new(1 << 20);
    let (mut first, first_id) = bed.connect();
    let (mut second, _) = bed.connect();
    let (mut third, third_id) = bed.connect();
    first.write_all(&[request(1, 11, "5000", 10), request(2, 12, "5000", 10)].concat()).unwrap();
    second.write_all(&[request(1, 21, "5000", 10), request(2, 22, "5000", 10)].concat()).unwrap();
    third.write_all(&request(1, 31, "5000", 10)).unwrap();
    bed.read_all();
    first.write_all(&[cancel(2), request(2, 13, "5000", 10)].concat()).unwrap();
    drop(second);
    bed.read_all();
    let events: Vec<_> = std::iter::from_fn(|| bed.front.take_event()).collect();
    assert!(
        matches!(events[..], [ClientEvent::Left(_)]),
        "a request that never started ends here: {events:?}"
    );
    let mut started = bed.started();
    started.sort_unstable();
    let mut wanted = vec![(first_id, 1), (first_id, 2), (third_id, 1)];
    wanted.sort_unstable();
    assert_eq!(started, wanted);
    assert!(!bed.front.has_waiting() && bed.front.waiting_bytes == 0);
    // One that was started is canceled at the engine.
    first.write_all(&cancel(1)).unwrap();
    bed.read_all();
    assert!(matches!(bed.front.take_event(), Some(ClientEvent::Canceled(id, 1)) if id == first_id));
}

#[test]
fn waiting_requests_are_bounded_in_bytes_and_each_connection_has_its_share() {
    let (body, limit) = (16 << 10, 8 * (16 << 10));
    let mut bed = Bed::new(limit);
    let (mut greedy, greedy_id) = bed.connect();
    let (mut other, other_id) = bed.connect();
    (1..=32).for_each(|stream| greedy.write_all(&request(stream, stream, "5000", body)).unwrap());
    bed.read_all();
    assert!(bed.front.waiting_bytes <= limit, "{}", bed.front.waiting_bytes);
    let rejected = bed.front.rejected["too-much-waits"];
    assert_eq!(bed.front.connections[&greedy_id].waiting.len() as u64 + rejected, 32);
    other.write_all(&request(1, 100, "5000", body)).unwrap();
    bed.read_all();
    assert_eq!(bed.front.rejected["too-much-waits"], rejected, "the other client is within its share");
    let started = bed.started();
    assert!(started[..2].contains(&(other_id, 1)), "in turns: {started:?}");
    assert_eq!(bed.front.waiting_bytes, 0);
}

#[test]
fn a_request_starts_only_once_all_input_of_its_client_is_decoded_and_others_do_not_wait_for_it() {
    let mut bed = Bed::new(1 << 20);
    let (mut busy, busy_id) = bed.connect();
    let (mut other, other_id) = bed.connect();
    let many: Vec<u8> = (1..=100)
        .flat_map(|n| [request(n, n, "5000", 0), cancel(n)].concat())
        .chain(request(200, 200, "5000", 0))
        .collect();
    busy.write_all(&many).unwrap();
    bed.read_until(|bed| bed.front.has_input());
    other.write_all(&request(1, 1_000, "5000", 0)).unwrap();
    bed.read_until(|bed| bed.front.input_turns.len() == 2);
    // A turn each.
    bed.front.decode_turn(&mut bed.hub, true);
    bed.front.decode_turn(&mut bed.hub, true);
    assert_eq!(bed.started(), [(other_id, 1)]);
    // What is left is not read on, and its end is noticed all the same.
    bed.front.pause_undecoded(&mut bed.hub);
    assert!(bed.front.connections[&busy_id].paused && !bed.front.connections[&other_id].paused);
    while bed.front.has_input() {
        assert!(bed.started().is_empty(), "a cancellation may follow");
        bed.front.decode_turn(&mut bed.hub, true);
    }
    bed.read_all();
    assert_eq!(bed.started(), [(busy_id, 200)]);
    assert!(bed.front.take_event().is_none(), "those that were canceled never started");
}

#[test]
fn the_end_of_a_paused_client_is_noticed_and_what_it_left_is_not_started() {
    let mut bed = Bed::new(1 << 20);
    let (mut busy, busy_id) = bed.connect();
    busy.write_all(&(1..=32).flat_map(|n| request(n, n, "5000", 0)).collect::<Vec<u8>>()).unwrap();
    bed.read_until(|bed| bed.front.has_input());
    bed.front.decode_turn(&mut bed.hub, true);
    bed.front.pause_undecoded(&mut bed.hub);
    drop(busy);
    bed.read_until(|bed| bed.front.connections.is_empty());
    assert!(matches!(bed.front.take_event(), Some(ClientEvent::Left(id)) if id == busy_id));
    while bed.front.has_input() {
        bed.front.decode_turn(&mut bed.hub, true);
    }
    assert!(bed.started().is_empty() && bed.front.ids.is_empty() && bed.front.waiting_bytes == 0);
}

#[test]
fn a_request_whose_time_ends_while_its_client_sends_on_is_refused() {
    let mut bed = Bed::new(1 << 20);
    let (mut busy, busy_id) = bed.connect();
    let rest: Vec<u8> = (2..=200).flat_map(|n| [request(n, n, "5000", 0), cancel(n)].concat()).collect();
    busy.write_all(&[request(1, 1, "50", 0), rest].concat()).unwrap();
    bed.read_until(|bed| bed.front.has_input());
    bed.front.decode_turn(&mut bed.hub, true);
    assert!(bed.front.connections[&busy_id].streams.contains_key(&1));
    std::thread::sleep(Duration::from_millis(60));
    bed.front.decode_turn(&mut bed.hub, true);
    assert!(!bed.front.connections[&busy_id].streams.contains_key(&1));
    assert_eq!(bed.front.rejected["not-read-in-time"], 1);
    bed.hub.wait(Some(0)).unwrap();
    let mut answer = [0; 11];
    busy.read_exact(&mut answer).unwrap();
    assert_eq!((answer[4], answer[5], answer[9]), (101, 1, Code::Refused as u8));
}
