//! Two events that cross, each pair forced by the test: see docs/CROSSINGS.md, which names these tests row by row.
//!
//! Order is made by what the test withholds, by one write that holds both, or by a process that is stopped and finds
//! all of it when it is woken. Where a span has to pass (the time of taking after TERM, the idle time of a place), the
//! test waits at least that long, and nothing is asserted about how long things take.

mod peers;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use cresswheel_platform_wire::client::{FromGateway, encode_bare};
use peers::{Client, Directory, Do, F, Host, Node, Played, config, good, host, invokes, request};

const F2: &str = "7f3a9c21e0b4d656";
/// More than requests are taken for after TERM.
const TAKEN: Duration = Duration::from_millis(800);

fn id(number: u32) -> String {
    format!("{number:016x}")
}

fn one_host(host: &Host, names: &Directory, absent: &str) -> String {
    config(&[("s-1".to_owned(), host.at)], names.at, absent)
}

/// A gateway before one host that the test plays, and a client of it. Its directory says nothing.
fn played(absent: &str, client: fn(&Node) -> Client) -> (Node, Played, Client) {
    let (one, names) = (Played::new(), Directory::new(1));
    let node = Node::with(&one_host(&one.host(), &names, absent));
    let client = client(&node);
    (node, one, client)
}

fn frame_of_leaving(client: &mut Client) {
    assert_eq!(client.next(), Some(FromGateway::Leaving));
}

/// Asks so many times on a connection that is not read, and has each answered with so much.
fn answered_at_length(node: &Node, one: &mut Played, client: &mut Client, times: u32, length: usize) {
    for n in 1..=times {
        client.ask_as(n, &id(n), "check", "5000");
    }
    for _ in 1..=times {
        let (line, command) = one.next_of("invoke");
        let n = u32::from_str_radix(&command[1], 16).unwrap();
        one.answer(line, &command[1], "OK", "-", &vec![n as u8; length]);
        node.logged(&format!("stream={n} status=served"));
    }
}

// Shutdown and start.

#[test]
fn connections_that_wait_to_be_accepted_as_taking_ends_are_answered() {
    let (one, names) = (host(good), Directory::new(1));
    let mut node = Node::new(&[("s-1", &one)], &names, "load");
    let mut first = node.client();
    first.ask("check", "3000", 1);
    assert_eq!(first.answer(), (1, 0));
    node.signal("-TERM");
    frame_of_leaving(&mut first);
    node.freeze();
    std::thread::sleep(TAKEN);
    // More than are accepted in one turn: as the process wakes, the time of taking is over.
    let mut waiting: Vec<Client> = (0..100).map(|_| node.client()).collect();
    waiting.iter_mut().enumerate().for_each(|(n, client)| _ = client.ask("check", "3000", 100 + n as u64));
    node.wake();
    for client in &mut waiting {
        let (stream, code) = client.answer();
        assert!(stream == 1 && matches!(code, 0 | 8), "served or refused, not broken: {code}");
    }
    assert_eq!(node.ends(), Some(0));
}

#[test]
fn what_is_unread_as_the_last_answer_leaves_is_answered_and_the_end_is_no_reset() {
    let (mut node, mut one, mut client) = played("load", Node::client);
    client.ask_as(1, &id(1), "post", "3000");
    let (line, _) = one.next_of("invoke");
    node.signal("-TERM");
    frame_of_leaving(&mut client);
    // The end of taking is past: it is told once more.
    frame_of_leaving(&mut client);
    node.freeze();
    // More than is read in one turn, and the answer that all wait for.
    let many = 2..=60;
    let all: Vec<u8> =
        many.clone().flat_map(|n| request(n, &id(n), "check", "3000", F, &[7; 8 << 10])).collect();
    client.send(&all);
    one.answer(line, &id(1), "OK", "-", b"out");
    node.wake();
    let mut answers: Vec<(u32, u8)> = many.clone().chain([1]).map(|_| client.answer()).collect();
    answers.sort_unstable();
    let wanted: Vec<(u32, u8)> = [(1, 0)].into_iter().chain(many.map(|n| (n, 8))).collect();
    assert_eq!(answers, wanted);
    let end = client.socket.read(&mut [0]);
    assert!(matches!(end, Ok(0)), "an end in good order: {end:?}");
    drop(client);
    assert_eq!(node.ends(), Some(0));
}

#[test]
fn a_last_answer_larger_than_the_buffers_reaches_a_client_that_reads_slowly() {
    const BODY: usize = 200 << 10;
    let (mut node, mut one, mut client) = played("load", Node::narrow_client);
    answered_at_length(&node, &mut one, &mut client, 4, BODY);
    node.signal("-TERM");
    node.logged("stopping");
    // The time of taking and a little more goes by without a byte being read.
    std::thread::sleep(TAKEN + Duration::from_millis(400));
    let mut whole = 0;
    while let Some(frame) = client.next() {
        if let FromGateway::Answer(n, 0, None, body) = frame {
            assert_eq!(body, vec![n as u8; BODY]);
            whole += 1;
        }
    }
    assert_eq!(whole, 4);
    drop(client);
    assert_eq!(node.ends(), Some(0));
}

#[test]
fn term_twice_and_hup_between_change_nothing_about_the_way_to_the_end() {
    let (mut one, names, later) = (Played::new(), Directory::new(1), Directory::new(1));
    let mut node = Node::with(&one_host(&one.host(), &names, "load"));
    let mut client = node.client();
    client.ask_as(1, &id(1), "post", "3000");
    let (line, _) = one.next_of("invoke");
    node.signal("-TERM");
    frame_of_leaving(&mut client);
    later.tell(5, &[("s-1", one.at, 0)]);
    node.configure(&one_host(&one.host(), &later, "load"));
    node.signal("-HUP");
    node.logged("list serial=5");
    node.signal("-TERM");
    one.answer(line, &id(1), "OK", "-", b"out");
    assert_eq!(client.answer(), (1, 0));
    drop(client);
    assert_eq!(node.ends(), Some(0));
}

#[test]
fn term_while_the_port_is_waited_for_ends_the_process() {
    let (one, names) = (host(good), Directory::new(1));
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let at = taken.local_addr().unwrap().to_string();
    let mut node = Node::begun(&one_host(&one, &names, "load").replace("127.0.0.1:0", &at));
    node.logged("list serial=1");
    node.signal("-TERM");
    // It ends without the port, or stops in good order once it has it: whichever comes first.
    drop(taken);
    assert!(matches!(node.ends(), Some(0 | 1)));
}

#[test]
fn term_in_the_first_instants_ends_the_process_and_its_port_is_free() {
    let (one, names) = (host(good), Directory::new(1));
    let at = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let config = one_host(&one, &names, "load").replace("127.0.0.1:0", &at.to_string());
    for ms in 0..20 {
        let mut node = Node::begun(&config);
        std::thread::sleep(Duration::from_millis(ms));
        node.signal("-TERM");
        // By the signal itself, or in good order once it is taken.
        assert!(matches!(node.ends(), None | Some(0)), "after {ms} ms");
    }
    let node = Node::with(&config);
    ten_are_served(&node, "3000");
}

#[test]
fn a_frame_that_is_not_whole_when_the_process_ends_is_ended_without_a_reset() {
    let (one, names) = (host(good), Directory::new(1));
    let mut node = Node::new(&[("s-1", &one)], &names, "load");
    let mut client = node.client();
    client.ask("check", "3000", 1);
    assert_eq!(client.answer(), (1, 0));
    node.signal("-TERM");
    frame_of_leaving(&mut client);
    let whole = request(2, &id(2), "check", "3000", F, &[7; 300]);
    client.send(&whole[..whole.len() / 2]);
    // The end of taking is told once more; then nothing but the end, in good order.
    frame_of_leaving(&mut client);
    let end = client.socket.read(&mut [0]);
    assert!(matches!(end, Ok(0)), "an end in good order: {end:?}");
    drop(client);
    assert_eq!((node.ends(), invokes(&one)), (Some(0), 1));
}

#[test]
fn a_reload_and_term_that_come_together_are_both_followed() {
    let (one, two, names, later) = (host(good), host(good), Directory::new(1), Directory::new(1));
    let hosts = [("s-1".to_owned(), one.at), ("s-2".to_owned(), two.at)];
    let mut node = Node::with(&config(&hosts, names.at, "load"));
    let mut client = node.client();
    later.tell(3, &[("s-1", one.at, 1), ("s-2", two.at, 0)]);
    node.freeze();
    node.configure(&config(&hosts, later.at, "load"));
    node.signal("-HUP");
    node.signal("-TERM");
    node.wake();
    frame_of_leaving(&mut client);
    // While it still takes requests, it keeps to the drain that only the new directory told.
    node.logged("list serial=3");
    for n in 0..5 {
        let stream = client.ask("post", "3000", n);
        assert!(matches!(client.answer(), (of, 0 | 8) if of == stream));
    }
    assert_eq!(invokes(&one), 0);
    drop(client);
    assert_eq!(node.ends(), Some(0));
}

#[test]
fn what_a_gateway_accepted_right_before_it_was_killed_is_served_by_the_next() {
    let (one, names) = (host(good), Directory::new(1));
    let config = one_host(&one, &names, "load");
    let mut node = Node::with(&config);
    let at = node.at;
    node.freeze();
    let mut clients: Vec<Client> = (0..20).map(|_| node.client()).collect();
    for (n, client) in (1..).zip(&mut clients) {
        client.ask_as(1, &id(n), "post", "3000");
    }
    node.signal("-KILL");
    assert_eq!(node.ends(), None);
    assert!(clients.iter_mut().all(|client| client.next().is_none()), "an end without an answer");
    let again = Node::with(&config.replace("127.0.0.1:0", &at.to_string()));
    for n in 1..=20 {
        let mut client = again.client();
        client.ask_as(1, &id(n), "post", "3000");
        assert_eq!(client.answer(), (1, 0));
    }
    assert_eq!(invokes(&one), 20);
}

#[test]
fn a_killed_gateway_comes_back_on_its_port_while_old_connections_linger() {
    let (one, names) = (host(good), Directory::new(1));
    let config = one_host(&one, &names, "load");
    let mut node = Node::with(&config);
    let at = node.at;
    let mut clients: Vec<Client> = (0..20).map(|_| node.client()).collect();
    for client in &mut clients {
        client.ask("check", "3000", 1 + u64::from(client.socket.local_addr().unwrap().port()));
        assert_eq!(client.answer(), (1, 0));
    }
    node.signal("-KILL");
    assert_eq!(node.ends(), None);
    let again = Node::with(&config.replace("127.0.0.1:0", &at.to_string()));
    assert_eq!(again.at, at);
    let mut client = again.client();
    client.ask("check", "3000", 7);
    assert_eq!(client.answer(), (1, 0));
}

// Clients.

/// A gateway of which a request for `F2` waits for a load, asked on stream 9 by this client.
fn waiting_for_a_load() -> (Node, Played, Client, usize, String) {
    let (node, mut one, mut client) = played("miss", Node::narrow_client);
    client.send(&request(9, &id(9), "check", "5000", F2, b"in"));
    let (line, order) = one.next_of("prewarm");
    (node, one, client, line, order[1].clone())
}

/// The load is there now; what waited was taken back, so only what is asked now may be sent.
fn nothing_but_what_is_asked_now(node: &Node, one: &mut Played, line: usize, order: &str) {
    one.answer(line, order, "OK", "instances=1", b"");
    let mut other = node.client();
    other.send(&request(1, &id(77), "check", "5000", F2, b"in"));
    let (line, command) = one.next_of("invoke");
    assert_eq!(command[1], id(77), "a request whose client left while it waited was sent on");
    one.answer(line, &id(77), "OK", "-", b"out");
    assert_eq!(other.answer(), (1, 0));
    assert!(one.next_within(Duration::from_millis(100)).is_none_or(|(_, c)| c[0] != "invoke"));
}

#[test]
fn what_waits_for_a_load_is_not_sent_on_when_its_client_takes_it_back_or_leaves() {
    for way in 0..4 {
        let (node, mut one, mut client, line, order) = waiting_for_a_load();
        match way {
            0 => client.take_back(9),
            // A half-close is an end: a client that leaves shows no more than that.
            1 => client.socket.shutdown(std::net::Shutdown::Write).unwrap(),
            2 => drop(client),
            _ => client.reset(),
        }
        node.logged(if way == 0 { " taken back " } else { " left " });
        nothing_but_what_is_asked_now(&node, &mut one, line, &order);
    }
}

#[test]
fn a_request_whose_client_left_before_it_was_read_is_not_sent_on() {
    for way in 0..4 {
        let (one, names) = (host(good), Directory::new(1));
        let node = Node::new(&[("s-1", &one)], &names, "load");
        let mut client = node.client();
        client.ask_as(1, &id(1), "check", "5000");
        assert_eq!(client.answer(), (1, 0));
        node.freeze();
        // On a connection that stands, or on one that waits to be accepted; with the request come its end or its taking back.
        let mut client = if way == 0 { client } else { node.client() };
        client.ask_as(2, &id(2), "check", "5000");
        match way {
            0 | 1 => drop(client),
            2 => client.take_back(2),
            _ => client.socket.shutdown(std::net::Shutdown::Write).unwrap(),
        }
        std::thread::sleep(Duration::from_millis(300));
        node.wake();
        let mut other = node.client();
        other.ask_as(1, &id(3), "check", "5000");
        assert_eq!(other.answer(), (1, 0));
        let seen = one.seen.lock().unwrap().clone();
        assert!(!seen.contains(&format!("invoke {}", id(2))), "way {way}: {seen:?}");
    }
}

#[test]
fn a_client_that_does_not_read_can_still_take_back_what_waits() {
    for leaves in [false, true] {
        let (node, mut one, mut client, line, order) = waiting_for_a_load();
        // Answers that it does not read: far more waits for it than the bound.
        client.send(&request(1, &id(1), "check", "5000", F, b"in"));
        let (second, prewarm) = one.next_of("prewarm");
        one.answer(second, &prewarm[1], "OK", "instances=1", b"");
        let (at, _) = one.next_of("invoke");
        one.answer(at, &id(1), "OK", "-", &vec![0; 250 << 10]);
        node.logged("stream=1 status=served");
        match leaves {
            false => client.take_back(9),
            true => client.socket.shutdown(std::net::Shutdown::Write).unwrap(),
        }
        node.logged(if leaves { " left " } else { " taken back " });
        nothing_but_what_is_asked_now(&node, &mut one, line, &order);
    }
}

#[test]
fn a_client_that_sent_no_frame_and_leaves_takes_back_what_waits() {
    let (node, mut one, mut client, line, order) = waiting_for_a_load();
    client.send(&[0, 0, 0, 0, 100]);
    assert_eq!(client.answer(), (0, 13), "it is told");
    drop(client);
    node.logged(" left ");
    nothing_but_what_is_asked_now(&node, &mut one, line, &order);
}

#[test]
fn what_waits_for_a_hosts_connection_is_not_sent_on_when_its_client_takes_it_back() {
    let (mut one, names) = (Played::narrow(), Directory::new(1));
    // Connections may come up late here.
    let slow = one_host(&one.host(), &names, "load")
        .replace("\"connect_timeout\":250000", "\"connect_timeout\":9000000");
    let node = Node::with(&slow);
    one.deaf = true;
    // The first takes the one place that the machine holds, the second has to wait for its connection.
    let mut clients: Vec<Client> = (1..=3).map(|_| node.client()).collect();
    for (n, client) in (1..).zip(&mut clients) {
        client.send(&request(1, &id(n), "check", "5000", F, b"in"));
        node.logged(&format!("run id={}", id(n)));
    }
    for client in &mut clients[1..] {
        client.take_back(1);
    }
    node.logged_times(" taken back ", 2);
    one.deaf = false;
    let (line, command) = one.next_of("invoke");
    assert_eq!(command[1], id(1));
    // Long enough for the kernel to try the connections again.
    let sent = one.next_within(Duration::from_millis(1_500));
    assert!(sent.as_ref().is_none_or(|(_, c)| c[0] != "invoke"), "{sent:?}");
    one.answer(line, &id(1), "OK", "-", b"out");
    assert_eq!(clients[0].answer(), (1, 0));
}

#[test]
fn an_answer_that_crosses_its_taking_back_is_dropped_and_the_stream_may_be_used_again() {
    let (node, mut one, mut client) = played("load", Node::client);
    client.ask_as(1, &id(1), "post", "3000");
    let (line, _) = one.next_of("invoke");
    node.freeze();
    // Both are there when it looks: the taking back, and the answer to what is taken back.
    client.take_back(1);
    client.ask_as(1, &id(2), "post", "3000");
    one.answer(line, &id(1), "OK", "-", b"first");
    node.wake();
    let (line, command) = one.next_of("invoke");
    assert_eq!(command[1], id(2));
    one.answer(line, &id(2), "OK", "-", b"second");
    // Whichever it read first, the second request gets its own answer and nothing else follows.
    let mut frame = client.next();
    if frame == Some(FromGateway::Answer(1, 0, None, b"first".to_vec())) {
        frame = client.next();
    }
    assert_eq!(frame, Some(FromGateway::Answer(1, 0, None, b"second".to_vec())));
    client.ask_as(2, &id(3), "no-such-class", "3000");
    assert_eq!(client.answer(), (2, 8));
}

#[test]
fn the_same_id_again_while_its_first_attempt_is_out_goes_to_another_connection() {
    let (_node, mut one, mut client) = played("load", Node::client);
    client.ask_as(1, &id(1), "check", "3000");
    let (line, _) = one.next_of("invoke");
    client.take_back(1);
    client.ask_as(2, &id(1), "check", "3000");
    let (again, command) = one.next_of("invoke");
    assert_eq!((command[1].as_str(), again != line), (id(1).as_str(), true));
    one.answer(line, &id(1), "OK", "-", b"first");
    one.answer(again, &id(1), "OK", "-", b"second");
    assert_eq!(client.next(), Some(FromGateway::Answer(2, 0, None, b"second".to_vec())));
}

#[test]
fn a_place_is_not_taken_from_a_connection_on_which_a_request_has_just_come() {
    let (one, names) = (host(good), Directory::new(1));
    let node = Node::new(&[("s-1", &one)], &names, "load");
    // 256 descriptors leave 116 places; all are taken, by clients that were served and have been idle for a while.
    let mut clients: Vec<Client> = (0..116).map(|_| node.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.ask("check", "3000", n as u64);
        assert_eq!(client.answer(), (1, 0));
    }
    std::thread::sleep(Duration::from_millis(300));
    node.freeze();
    // The one that has been idle the longest asks, and another comes: both are there when it looks.
    clients[0].ask("check", "3000", 500);
    let mut newcomer = node.client();
    newcomer.ask("check", "3000", 501);
    node.wake();
    assert_eq!(clients[0].answer(), (2, 0));
    assert_eq!(newcomer.answer(), (1, 0));
    assert_eq!(clients[1].next(), None, "the next longest gives way");
}

#[test]
fn a_request_that_comes_as_the_time_of_its_silent_connection_is_up_is_served() {
    let (one, names) = (host(good), Directory::new(1));
    let node = Node::new(&[("s-1", &one)], &names, "load");
    let mut client = node.client();
    // Both are there when it looks: the request, and the end of the time for which a new connection may say nothing.
    node.freeze();
    std::thread::sleep(Duration::from_millis(1_400));
    client.ask("check", "3000", 1);
    node.wake();
    assert_eq!(client.answer(), (1, 0));
}

#[test]
fn half_a_message_ends_its_connection_only_after_what_is_open_there_is_answered() {
    let (_node, mut one, mut client) = played("load", Node::client);
    client.ask_as(1, &id(1), "post", "5000");
    let (line, _) = one.next_of("invoke");
    client.send(&[200, 0, 0, 0, 100, 1]);
    assert_eq!(client.answer(), (0, 13), "it is told");
    one.answer(line, &id(1), "OK", "-", b"out");
    assert_eq!(client.answer(), (1, 0));
    assert_eq!(client.next(), None);
}

#[test]
fn a_request_that_comes_in_pieces_is_served_when_it_is_whole() {
    let (one, names) = (host(good), Directory::new(1));
    let node = Node::new(&[("s-1", &one)], &names, "load");
    let mut client = node.client();
    let whole = request(1, &id(1), "check", "1000", F, &[7; 300]);
    // Twice as long as a message may be silent; its own time runs from its last byte.
    for piece in whole.chunks(whole.len().div_ceil(6)) {
        std::thread::sleep(Duration::from_millis(450));
        client.send(piece);
    }
    assert_eq!(client.answer(), (1, 0));
    client.ask_as(2, &id(2), "check", "3000");
    assert_eq!(client.answer(), (2, 0), "the connection goes on");
}

#[test]
fn a_message_that_drips_on_has_an_end() {
    let (one, names) = (host(good), Directory::new(1));
    let node =
        Node::with(&one_host(&one, &names, "load").replace("\"give_up\":5000000", "\"give_up\":1000000"));
    let mut client = node.client();
    let whole = request(1, &id(1), "check", "1000", F, &[7; 300]);
    // At this pace it would take 40 s.
    client.socket.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
    let ended = whole.iter().position(|byte| {
        let _ = client.socket.write_all(&[*byte]);
        !matches!(client.socket.read(&mut [0]), Err(error) if
            matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut))
    });
    assert!(
        ended.is_some_and(|at| at > 12),
        "ended at byte {ended:?}: longer than a silent one, not for ever"
    );
    node.logged("why=\"half-sent\"");
}

/// Takes a step again and again in the background until the test is over.
fn beside<T>(mut step: impl FnMut() + Send, test: impl FnOnce() -> T) -> T {
    struct Stop<'a>(&'a AtomicBool);
    impl Drop for Stop<'_> {
        fn drop(&mut self) {
            self.0.store(true, Ordering::SeqCst);
        }
    }
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            while !stop.load(Ordering::SeqCst) {
                step();
                std::thread::sleep(Duration::from_millis(100));
            }
        });
        let _stop = Stop(&stop);
        test()
    })
}

/// Ten clients ask, one after the other; each is served.
fn ten_are_served(node: &Node, wait: &str) {
    for n in 0..10 {
        let mut client = node.client();
        client.ask("check", wait, n);
        let answer = client.next();
        assert!(matches!(answer, Some(FromGateway::Answer(1, 0, ..))), "client {n}: {answer:?}");
    }
}

#[test]
fn many_that_drip_on_do_not_keep_a_client_from_its_place() {
    let (one, names) = (host(good), Directory::new(1));
    let node = Node::new(&[("s-1", &one)], &names, "load");
    let whole = request(1, &id(1), "check", "1000", F, &[7; 300]);
    let mut crowd: Vec<(TcpStream, usize)> = Vec::new();
    // More than the 116 places; each drips on, and comes again when it is closed.
    let drip = || {
        crowd.retain_mut(|(socket, at)| {
            *at += 1;
            socket.write_all(&whole[*at - 1..*at]).is_ok() && *at + 1 < whole.len()
        });
        while crowd.len() < 200 {
            crowd.push((TcpStream::connect(node.at).unwrap(), 0));
        }
    };
    beside(drip, || {
        std::thread::sleep(Duration::from_secs(1));
        ten_are_served(&node, "3000");
    });
}

#[test]
fn idle_clients_that_fill_the_descriptors_leave_the_directory_and_the_hosts_theirs() {
    // As many as the configuration says, and fewer than that.
    for descriptors in [256, 64] {
        let (one, two, names) = (host(good), host(good), Directory::new(1));
        let node = Node::with_descriptors(&one_host(&one, &names, "load"), descriptors);
        // More than there are places for: each asks whether it is ready, is told, and says no more.
        let mut crowd: Vec<Client> = (0..300).map(|_| node.client()).collect();
        for client in &mut crowd {
            let mut ready = Vec::new();
            encode_bare(&mut ready, true, 1);
            client.send(&ready);
        }
        node.logged("the directory is silent");
        // Long enough to have waited behind the crowd: how long one waited to be accepted is reckoned at its most.
        ten_are_served(&node, "20000");
        // It comes back, with another host.
        names.tell(5, &[("s-1", one.at, 1), ("s-2", two.at, 0)]);
        node.logged("list serial=5");
        ten_are_served(&node, "20000");
        assert_eq!((invokes(&one), invokes(&two)), (10, 10), "{descriptors}");
    }
}

#[test]
fn a_client_that_reads_slowly_is_waited_for_and_one_that_reads_nothing_is_not() {
    const BODY: usize = 250 << 10;
    for reads in [true, false] {
        let (node, mut one, mut client) = played("load", Node::narrow_client);
        // One that will be answered last of all; a client of which nothing is open is waited for only as it reads.
        if reads {
            client.ask_as(5, &id(5), "post", "5000");
        }
        let open = reads.then(|| one.next_of("invoke").0);
        answered_at_length(&node, &mut one, &mut client, 4, BODY);
        if !reads {
            node.logged("closed connection");
            continue;
        }
        // Longer than the two seconds for which one that reads nothing is waited for, with a request open.
        let mut part = vec![0; 4 << 10];
        for _ in 0..6 {
            client.socket.read_exact(&mut part).unwrap();
            client.held.extend_from_slice(&part);
            std::thread::sleep(Duration::from_millis(500));
        }
        let mut whole = 0;
        one.answer(open.unwrap(), &id(5), "OK", "-", b"out");
        while whole < 4 {
            let Some(FromGateway::Answer(n, 0, None, body)) = client.next() else { panic!("cut off") };
            assert_eq!(body, vec![n as u8; BODY]);
            whole += 1;
        }
        assert_eq!(client.next(), Some(FromGateway::Answer(5, 0, None, b"out".to_vec())));
    }
}

// Clients that have gone: no attempt begins for them, on whichever path it would.

/// The ways in which a client goes.
#[derive(Clone, Copy, Debug)]
enum Goes {
    TakesBack,
    HalfCloses,
    Closes,
    Resets,
}

const WAYS: [Goes; 4] = [Goes::TakesBack, Goes::HalfCloses, Goes::Closes, Goes::Resets];
/// Far more than the 0.1 s after which nothing may begin for a client that has gone.
const LONG_GONE: Duration = Duration::from_millis(300);

/// The client of the request on that stream goes; one that only takes back keeps its connection.
fn goes(mut client: Client, stream: u32, way: Goes) -> Option<Client> {
    match way {
        Goes::TakesBack => client.take_back(stream),
        Goes::HalfCloses => client.socket.shutdown(std::net::Shutdown::Write).unwrap(),
        Goes::Closes => return None,
        Goes::Resets => {
            client.reset();
            return None;
        }
    }
    Some(client)
}

/// Nothing is sent on but what is asked now, by another client.
fn only_what_is_asked_now_is_sent(node: &Node, one: &mut Played, why: &str) {
    let mut other = node.client();
    other.ask_as(1, &id(77), "check", "5000");
    loop {
        let (line, command) = one.next();
        match command[0].as_str() {
            "invoke" => {
                assert_eq!(command[1], id(77), "{why}: sent on though its client had gone");
                one.answer(line, &id(77), "OK", "-", b"out");
                break;
            }
            "prewarm" => one.answer(line, &command[1], "OK", "instances=1", b""),
            _ => {}
        }
    }
    assert_eq!(other.answer(), (1, 0), "{why}");
    while let Some((_, command)) = one.next_within(LONG_GONE) {
        assert_ne!(command[0], "invoke", "{why}: {}", command[1]);
    }
}

#[test]
fn no_further_attempt_follows_an_answer_that_comes_with_its_clients_going() {
    for word in ["BUSY", "MISS", "ERR", "reset", "end"] {
        for way in WAYS {
            let (node, mut one, mut client) = played("load", Node::client);
            client.ask_as(1, &id(1), "check", "5000");
            let (line, _) = one.next_of("invoke");
            node.freeze();
            match word {
                "reset" => one.reset(line),
                "end" => one.end(line),
                word => one.answer(line, &id(1), word, "-", b""),
            }
            let _client = goes(client, 1, way);
            std::thread::sleep(LONG_GONE);
            node.wake();
            only_what_is_asked_now_is_sent(&node, &mut one, &format!("{word}, {way:?}"));
        }
    }
}

#[test]
fn no_attempt_follows_a_loads_end_that_comes_with_its_clients_going() {
    for word in ["OK", "BUSY", "ERR"] {
        for way in WAYS {
            let (node, mut one, client, line, order) = waiting_for_a_load();
            node.freeze();
            one.answer(line, &order, word, "instances=1", b"");
            let _client = goes(client, 9, way);
            std::thread::sleep(LONG_GONE);
            node.wake();
            only_what_is_asked_now_is_sent(&node, &mut one, &format!("{word}, {way:?}"));
        }
    }
}

#[test]
fn no_second_copy_and_no_retry_falls_due_for_a_client_that_has_gone() {
    for (class, word) in [("check", None), ("check", Some("BUSY")), ("post", Some("BUSY"))] {
        for way in WAYS {
            let (node, mut one, mut client) = played("load", Node::client);
            client.ask_as(1, &id(1), class, "5000");
            let (line, _) = one.next_of("invoke");
            word.into_iter().for_each(|word| one.answer(line, &id(1), word, "-", b""));
            node.freeze();
            let _client = goes(client, 1, way);
            // What came before it stood still came; then every timer of the request is over.
            while let Some((line, command)) = one.next_within(Duration::from_millis(50)) {
                if command[0] == "invoke" {
                    one.answer(line, &id(1), "BUSY", "-", b"");
                }
            }
            std::thread::sleep(Duration::from_millis(1_500));
            node.wake();
            only_what_is_asked_now_is_sent(&node, &mut one, &format!("{class}, {word:?}, {way:?}"));
        }
    }
}

#[test]
fn what_waits_in_the_queue_is_not_sent_on_when_its_client_goes() {
    for way in WAYS {
        let (mut one, names) = (Played::new(), Directory::new(1));
        let patient = one_host(&one.host(), &names, "load").replace("\"aim\":600000", "\"aim\":4000000");
        let node = Node::with(&patient);
        // The one host takes nothing new for a while, so what is asked has to wait.
        names.tell(2, &[("s-1", one.at, 1)]);
        node.logged("list serial=2");
        let mut client = node.client();
        client.ask_as(1, &id(1), "check", "5000");
        client.ask_as(2, &id(2), "no-such-class", "5000");
        assert_eq!(client.answer(), (2, 8), "the second one was read, and the first one waits");
        let _client = goes(client, 1, way);
        node.logged(if matches!(way, Goes::TakesBack) { " taken back " } else { " left " });
        names.tell(3, &[("s-1", one.at, 0)]);
        node.logged("list serial=3");
        only_what_is_asked_now_is_sent(&node, &mut one, &format!("{way:?}"));
    }
}

#[test]
fn a_taking_back_behind_more_than_one_read_is_heard_before_the_next_attempt_leaves() {
    let (node, mut one, mut client, line, order) = waiting_for_a_load();
    node.freeze();
    one.answer(line, &order, "OK", "instances=1", b"");
    // Words on streams that have nothing open mean nothing, but have to be read.
    let mut words = Vec::new();
    (1_000..21_000).for_each(|stream| encode_bare(&mut words, false, stream));
    client.send(&words);
    client.take_back(9);
    std::thread::sleep(LONG_GONE);
    node.wake();
    only_what_is_asked_now_is_sent(&node, &mut one, "behind 200 KB");
}

#[test]
fn a_client_that_goes_during_a_long_turn_is_heard_before_what_was_begun_in_it_leaves() {
    for way in WAYS {
        let (mut one, names) = (Played::new(), Directory::new(1));
        let roomy = one_host(&one.host(), &names, "load")
            .replace("\"memory_mb\":64", "\"memory_mb\":256")
            .replace("\"connect_timeout\":250000", "\"connect_timeout\":9000000");
        let (node, log) = Node::piped(&roomy);
        let mut client = node.client();
        let mut others: Vec<Client> = (0..40).map(|_| node.client()).collect();
        // All are let in.
        for client in others.iter_mut().chain([&mut client]) {
            client.ask_as(99, &id(99), "no-such-class", "5000");
            assert_eq!(client.answer(), (99, 8));
        }
        // Half of what the pipe holds, then a turn whose log is longer than the rest: the process stands in the middle
        // of it.
        log.read(false);
        for _ in 0..250 {
            client.ask_as(99, &id(99), "no-such-class", "5000");
            assert_eq!(client.answer(), (99, 8));
        }
        node.freeze();
        client.ask_as(1, &id(1), "check", "5000");
        for (n, other) in others.iter_mut().enumerate() {
            let first = 1_000 + 100 * n as u32;
            let all = (1..=32).flat_map(|m| request(m, &id(first + m), "check", "5000", F, b"in"));
            other.send(&all.collect::<Vec<u8>>());
        }
        node.wake();
        std::thread::sleep(LONG_GONE);
        let _client = goes(client, 1, way);
        std::thread::sleep(LONG_GONE);
        log.read(true);
        node.logged(&format!("run id={}", id(1)));
        // The others are served, and it is not among them.
        let mut next = Some(one.next_of("invoke"));
        while let Some((line, command)) = next {
            if command[0] == "invoke" {
                assert_ne!(command[1], id(1), "{way:?}: it left after its client had gone");
                one.answer(line, &command[1], "OK", "-", b"out");
            }
            next = one.next_within(LONG_GONE);
        }
    }
}

#[test]
fn a_connection_that_comes_up_with_its_clients_going_carries_nothing() {
    for way in WAYS {
        let (mut one, names) = (Played::narrow(), Directory::new(1));
        let slow = one_host(&one.host(), &names, "load")
            .replace("\"connect_timeout\":250000", "\"connect_timeout\":9000000");
        let node = Node::with(&slow);
        one.deaf = true;
        // The first takes the one place that the machine holds, the second waits for its connection.
        let mut clients: Vec<Client> = (1..=2).map(|_| node.client()).collect();
        for (n, client) in (1..).zip(&mut clients) {
            client.ask_as(1, &id(n), "check", "5000");
            node.logged(&format!("run id={}", id(n)));
        }
        node.freeze();
        let _client = goes(clients.pop().unwrap(), 1, way);
        one.deaf = false;
        let mut seen = Vec::new();
        let end = std::time::Instant::now() + peers::PATIENCE;
        while one.connections() < 2 {
            assert!(std::time::Instant::now() < end, "the second connection never came up");
            seen.extend(one.next_within(Duration::from_millis(10)));
        }
        std::thread::sleep(LONG_GONE);
        node.wake();
        seen.extend(std::iter::from_fn(|| one.next_within(Duration::from_millis(500))));
        let invokes = seen.into_iter().filter(|(_, command)| command[0] == "invoke");
        let invokes: Vec<_> = invokes.map(|(line, command)| (line, command[1].clone())).collect();
        assert!(invokes.iter().all(|(_, of)| *of == id(1)), "{way:?}: {invokes:?}");
        // It stood still for longer than the first attempt had, so there may be another one.
        invokes.iter().for_each(|(line, _)| one.answer(*line, &id(1), "OK", "-", b"out"));
        assert_eq!(clients[0].answer().0, 1);
    }
}

/// A gateway with one connection to its host, which holds little that was not read, and clients of it whose requests
/// of 16 KiB are on that connection.
fn clogged() -> (Node, Played, Vec<Client>) {
    let (mut one, names) = (Played::slow(), Directory::new(1));
    let tight = one_host(&one.host(), &names, "load").replace("\"sockets\":256", "\"sockets\":40");
    let node = Node::with(&tight);
    let mut clients: Vec<Client> = (0..6).map(|_| node.client()).collect();
    for (n, client) in (1..).zip(&mut clients) {
        client.send(&request(1, &id(n), "check", "5000", F, &[7; 16 << 10]));
        node.logged(&format!("run id={}", id(n)));
    }
    while one.connections() == 0 {
        one.next_within(Duration::ZERO);
    }
    (node, one, clients)
}

#[test]
fn an_attempt_of_which_a_part_has_left_does_not_arrive_when_its_client_has_gone() {
    for way in WAYS {
        let (node, mut one, clients) = clogged();
        let _clients: Vec<_> = clients.into_iter().map(|client| goes(client, 1, way)).collect();
        node.logged_times(if matches!(way, Goes::TakesBack) { " taken back " } else { " left " }, 6);
        std::thread::sleep(LONG_GONE);
        // What had left whole is there; what had left in part is cut short, and nothing follows.
        let (whole, part) = one.read_to_the_end(0);
        assert!(whole.len() < 6 && part > 0, "{way:?}: {whole:?}, {part} bytes more");
        only_what_is_asked_now_is_sent(&node, &mut one, &format!("{way:?}"));
    }
}

#[test]
fn what_waits_on_a_clogged_connection_is_not_sent_on_when_it_clears_with_the_clients_going() {
    let (node, mut one, clients) = clogged();
    node.freeze();
    let _clients: Vec<_> = clients.into_iter().map(|client| goes(client, 1, Goes::TakesBack)).collect();
    // The host reads on: when the process is woken, both are there.
    let mut before = Vec::new();
    while let Some((_, command)) = one.next_within(LONG_GONE) {
        before.push(command[1].clone());
    }
    node.wake();
    node.logged_times(" taken back ", 6);
    // Of the one that had left in part the rest does not come either.
    let mut after = Vec::new();
    while let Some((_, command)) = one.next_within(LONG_GONE) {
        after.push(command[1].clone());
    }
    assert!(after.is_empty(), "{before:?}, then {after:?}");
    only_what_is_asked_now_is_sent(&node, &mut one, "cleared");
}

#[test]
fn what_waits_to_be_accepted_while_all_places_are_taken_is_not_sent_on_when_its_client_goes() {
    for way in WAYS {
        let (mut one, names) = (Played::new(), Directory::new(1));
        let tight = one_host(&one.host(), &names, "load").replace("\"sockets\":256", "\"sockets\":40");
        let node = Node::with(&tight);
        // 40 descriptors leave 8 places; each has an open request.
        let mut clients: Vec<Client> = (0..8).map(|_| node.client()).collect();
        let mut open = Vec::new();
        for (n, client) in (1..).zip(&mut clients) {
            client.ask_as(1, &id(n), "post", "5000");
            open.push((one.next_of("invoke").0, id(n)));
        }
        let mut waiting: Vec<Client> = (0..3).map(|_| node.client()).collect();
        for (n, client) in (20..).zip(&mut waiting) {
            client.ask_as(1, &id(n), "check", "5000");
        }
        let _gone: Vec<_> = waiting.into_iter().map(|client| goes(client, 1, way)).collect();
        std::thread::sleep(LONG_GONE);
        for (line, id) in &open {
            one.answer(*line, id, "OK", "-", b"out");
        }
        for client in &mut clients {
            assert_eq!(client.answer(), (1, 0));
        }
        drop(clients);
        only_what_is_asked_now_is_sent(&node, &mut one, &format!("{way:?}"));
    }
}

// Hosts.

#[test]
fn a_late_second_copy_of_miss_is_not_taken_for_the_word_on_the_next_attempt() {
    let (_node, mut one, mut client) = played("miss", Node::client);
    client.ask_as(1, &id(1), "post", "5000");
    let mut first = None;
    let second = loop {
        let (line, command) = one.next();
        match (command[0].as_str(), first) {
            ("prewarm", _) => one.answer(line, &command[1], "OK", "instances=1", b""),
            ("invoke", None) => {
                one.answer(line, &id(1), "MISS", "-", b"");
                first = Some(line);
            }
            ("invoke", Some(_)) => break line,
            other => panic!("{other:?}"),
        }
    };
    // It runs there now, and the first answer comes a second time.
    one.answer(first.unwrap(), &id(1), "MISS", "-", b"");
    while let Some((line, command)) = one.next_within(Duration::from_millis(500)) {
        assert_ne!(command[0], "invoke", "a post was sent a second time while it runs");
        one.answer(line, &command[1], "OK", "instances=1", b"");
    }
    one.answer(second, &id(1), "OK", "-", b"out");
    assert_eq!(client.next(), Some(FromGateway::Answer(1, 0, None, b"out".to_vec())));
}

#[test]
fn an_answer_that_breaks_off_fails_a_post_and_one_that_comes_with_the_end_counts() {
    for (way, code) in [("end", 13), ("reset", 13), ("whole", 0)] {
        let (node, mut one, mut client) = played("load", Node::client);
        client.ask_as(1, &id(1), "post", "3000");
        let (line, _) = one.next_of("invoke");
        node.freeze();
        let whole = b"*4\r\n$16\r\n0000000000000001\r\n$2\r\nOK\r\n$1\r\n-\r\n$3\r\nout\r\n";
        let cut = if way == "whole" { whole.len() } else { whole.len() - 4 };
        one.bytes(line, &whole[..cut]);
        if way == "reset" {
            one.reset(line)
        } else {
            one.end(line)
        }
        node.wake();
        assert_eq!(client.answer(), (1, code), "{way}");
        let more = one.next_within(Duration::from_millis(200));
        assert!(more.as_ref().is_none_or(|(_, c)| c[0] != "invoke"), "{way}: {more:?}");
    }
}

#[test]
fn a_connection_that_never_comes_up_says_nothing_of_a_host_that_is_heard_on_another() {
    let (mut one, names) = (Played::narrow(), Directory::new(1));
    let node = Node::with(&one_host(&one.host(), &names, "load"));
    let mut clients: Vec<Client> = (1..=4).map(|_| node.client()).collect();
    clients[0].send(&request(1, &id(1), "check", "5000", F, b"in"));
    let (line, _) = one.next_of("invoke");
    one.deaf = true;
    for n in 2..=4 {
        clients[n as usize - 1].send(&request(1, &id(n), "check", "5000", F, b"in"));
        node.logged(&format!("run id={}", id(n)));
    }
    one.answer(line, &id(1), "OK", "-", b"out");
    assert_eq!(clients[0].answer(), (1, 0));
    let line = node.logged("never_stood=true");
    assert!(line.contains("no connection in time"), "{line}");
    let run = node.logged(&format!("run id={}", id(4)));
    let attempt = run.split(' ').find(|word| word.starts_with("attempt=")).unwrap();
    let ended = node.logged(&format!("ended {attempt} "));
    assert!(ended.contains("NotWritten"), "{ended}");
}

#[test]
fn a_host_that_restarts_under_its_id_is_asked_again_on_a_connection_of_its_own() {
    let (mut one, names) = (Played::new(), Directory::new(1));
    let patient = one_host(&one.host(), &names, "load").replace("\"aim\":600000", "\"aim\":4000000");
    let node = Node::with(&patient);
    let mut client = node.client();
    client.ask_as(1, &id(1), "check", "5000");
    let (old, _) = one.next_of("invoke");
    // The process went without a word, and another one has its address: nothing but the list says so.
    // Starts are told in milliseconds: this one is in a later one than the connection.
    std::thread::sleep(Duration::from_millis(5));
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    names.started(now.as_millis() as u64);
    names.tell(2, &[("s-1", one.at, 0)]);
    node.logged("another process");
    let (new, command) = one.next_of("invoke");
    assert_eq!((command[1].as_str(), new != old), (id(1).as_str(), true));
    one.answer(new, &id(1), "OK", "-", b"out");
    assert_eq!(client.answer(), (1, 0));
    one.read_to_the_end(old);
}

#[test]
fn an_address_that_passes_to_another_id_serves_under_that_id_alone() {
    for turned in [false, true] {
        let (one, names) = (host(good), Directory::new(1));
        let node = Node::new(&[("s-1", &one)], &names, "load");
        let mut client = node.client();
        client.ask("check", "3000", 1);
        assert_eq!(client.answer(), (1, 0));
        let before = host(good);
        let mut list: Vec<(&str, SocketAddr, u16)> = vec![("s-2", one.at, 0), ("s-3", before.at, 1)];
        if turned {
            list.reverse();
        }
        names.tell(5, &list);
        node.logged("list serial=5");
        for n in 2..6 {
            let stream = client.ask("post", "3000", n);
            assert_eq!(client.answer(), (stream, 0));
        }
        assert_eq!((invokes(&one), invokes(&before)), (5, 0));
        let log = std::fs::read_to_string(node.log()).unwrap();
        let under = |id: &str| {
            log.lines().filter(|l| l.contains("run id=") && l.contains(&format!("host={id} "))).count()
        };
        assert_eq!((under("s-1"), under("s-2"), under("s-3")), (1, 4, 0));
    }
}

// The list.

#[test]
fn after_hup_a_list_that_only_the_new_directory_tells_is_taken_though_a_question_was_out() {
    // The old directory never answers, so a question is out at any time.
    let (one, two, names, later) = (host(good), host(good), Directory::new(1), Directory::new(1));
    let hosts = [("s-1".to_owned(), one.at), ("s-2".to_owned(), two.at)];
    let node = Node::with(&config(&hosts, names.at, "load"));
    later.tell(3, &[("s-1", one.at, 1), ("s-2", two.at, 0)]);
    node.freeze();
    node.configure(&config(&hosts, later.at, "load"));
    node.signal("-HUP");
    node.wake();
    node.logged("list serial=3");
    let mut client = node.client();
    for n in 0..10 {
        let stream = client.ask("post", "3000", n);
        assert_eq!(client.answer(), (stream, 0));
    }
    assert_eq!((invokes(&one), invokes(&two)), (0, 10));
}

#[test]
fn a_directory_that_falls_silent_to_one_socket_is_asked_from_another() {
    let (one, two, names) = (host(good), host(good), Directory::new(1));
    names.tell(2, &[("s-1", one.at, 0), ("s-2", two.at, 0)]);
    // Each address from which it is asked gets three answers, then none.
    names.answers_each(3);
    let node = Node::new(&[("s-1", &one)], &names, "load");
    node.logged("list serial=2");
    for serial in 3..6 {
        names.tell(serial, &[("s-1", one.at, 1), ("s-2", two.at, 0)]);
        node.logged(&format!("list serial={serial}"));
    }
    let mut client = node.client();
    client.ask("check", "3000", 1);
    assert_eq!(client.answer(), (1, 0));
    assert_eq!((invokes(&one), invokes(&two)), (0, 1));
}

#[test]
fn a_list_that_comes_whole_after_a_silence_takes_out_what_it_does_not_name() {
    let (one, two, three, names) = (host(good), host(good), host(good), Directory::new(1));
    let node = Node::new(&[("s-1", &one)], &names, "load");
    names.tell(2, &[("s-1", one.at, 0), ("s-2", two.at, 0)]);
    node.logged("list serial=2");
    names.answers_each(0);
    node.logged("the directory is silent");
    // Nothing is known of what happens meanwhile, and what is known serves on.
    ten_are_served(&node, "3000");
    let before = (invokes(&one), invokes(&two));
    assert_eq!(before.0 + before.1, 10);
    // Events 3 to 9 are told at once: s-1 is gone without a drain, s-2 drains, s-3 is new.
    names.tell(9, &[("s-2", two.at, 1), ("s-3", three.at, 0)]);
    names.answers_each(usize::MAX);
    node.logged("list serial=9");
    ten_are_served(&node, "3000");
    assert_eq!((invokes(&one), invokes(&two), invokes(&three)), (before.0, before.1, 10));
    // Older lists that come late, one, two and ten in a row, change nothing.
    for (times, served) in [(1, 20), (2, 30), (10, 40)] {
        names.answer_stale(times, 8, &[("s-1", one.at, 0), ("s-2", two.at, 0)]);
        names.gave_stale();
        ten_are_served(&node, "3000");
        assert_eq!((invokes(&one), invokes(&two), invokes(&three)), (before.0, before.1, served));
    }
}

// Settings of another customer.

#[test]
fn a_file_that_is_no_configuration_or_another_gateways_changes_nothing_on_hup() {
    let (one, other, names, wrong) = (host(good), host(good), Directory::new(1), Directory::new(1));
    let sound = one_host(&one, &names, "load");
    let node = Node::with(&sound);
    wrong.tell(9, &[("s-9", other.at, 0)]);
    let elsewhere = one_host(&other, &wrong, "load");
    let files = [
        String::new(),
        elsewhere[..elsewhere.len() / 2].to_owned(),
        elsewhere.replace("\"check\"", "\"match\""),
        elsewhere.replace("\"n0\"", "\"n7\""),
        elsewhere.replace("\"profiles\"", "\"classes\""),
    ];
    for (n, file) in files.iter().enumerate() {
        node.configure(file);
        node.signal("-HUP");
        let said = || {
            let log = std::fs::read_to_string(node.log()).unwrap();
            log.lines().filter(|line| line.contains("the configuration stays as it was")).count()
        };
        let end = std::time::Instant::now() + peers::PATIENCE;
        while said() <= n {
            assert!(std::time::Instant::now() < end, "file {n} was taken");
            std::thread::sleep(Duration::from_millis(2));
        }
    }
    // The directory is the one it had.
    names.tell(2, &[("s-1", one.at, 0)]);
    node.logged("list serial=2");
    let mut client = node.client();
    client.ask("check", "3000", 1);
    assert_eq!(client.answer(), (1, 0));
    assert_eq!(invokes(&other), 0);
}

#[test]
fn a_configuration_that_cant_be_used_ends_with_2_and_one_line_that_names_the_setting() {
    let (one, names) = (host(good), Directory::new(1));
    let sound = one_host(&one, &names, "load");
    for (from, to, named) in [
        ("\"profiles\"", "\"classes\"", "profiles"),
        ("\"tick\":2000", "\"tick\":0", "tick"),
        ("\"tick\":2000", "\"tick\":18446744073709551615", "tick"),
        ("\"aim\":600000", "\"aim\":0", "aim"),
        ("\"aim\":600000", "\"aim\":\"soon\"", "aim"),
        ("\"give_up\":5000000", "\"give_up\":-1", "give_up"),
        ("\"names\":", "\"directory\":", "names"),
        ("\"memory_mb\":64", "\"memory_mb\":-1", "memory_mb"),
        ("\"keep_alive\":10000000", "\"keep_alive\":18446744073709551615", "keep_alive"),
    ] {
        assert!(sound.contains(from));
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("config.json");
        std::fs::write(&file, sound.replace(from, to)).unwrap();
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_cresswheel"));
        let done = command.arg("platform").env("NODE_CONFIG", &file).output().unwrap();
        let said = String::from_utf8_lossy(&done.stderr).into_owned();
        assert_eq!(done.status.code(), Some(2), "{to}: {said}");
        assert!(said.lines().count() == 1 && said.contains(named), "{to}: {said}");
    }
}

#[test]
fn an_answer_held_back_past_a_clients_time_is_made_up_for_by_one_of_our_own() {
    let script = |word: &str, _: usize| if word == "invoke" { Do::Nothing } else { good(word, 0) };
    let (one, names) = (host(script), Directory::new(1));
    let node = Node::new(&[("s-1", &one)], &names, "load");
    let mut client = node.client();
    client.ask("post", "400", 1);
    assert_eq!(client.answer(), (1, 13), "it may have run");
}
