//! Pairs of events that cross, each forced by the test: see docs/CROSSINGS.md, which lists these tests by
//! name.
//!
//! The order is fixed by what the test withholds, by one write that contains both, or by pausing the process
//! so that it finds both events when it resumes. Where time has to pass (the shutdown grace after TERM, an
//! idle timeout), the test waits at least that long, and no test asserts how long something takes.

mod peers;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use cresswheel_platform_wire::client::{FromGateway, encode_without_fields};
use peers::{
    Client, Directory, FUNCTION, Gateway, Host, HostAction, ManualHost, answer_ok, config, invoke_count,
    request_frame, start_host,
};

const OTHER_FUNCTION: &str = "7f3a9c21e0b4d656";
/// Longer than new requests are accepted after TERM.
const AFTER_SHUTDOWN_GRACE: Duration = Duration::from_millis(800);

fn id(number: u32) -> String {
    format!("{number:016x}")
}

fn one_host(host: &Host, directory: &Directory, when_absent: &str) -> String {
    config(&[("s-1".to_owned(), host.address)], directory.address, when_absent)
}

/// A gateway in front of one manually controlled host, and a client of it. Its directory doesn't answer.
fn gateway_and_host(when_absent: &str, client: fn(&Gateway) -> Client) -> (Gateway, ManualHost, Client) {
    let (host, directory) = (ManualHost::new(), Directory::new(1));
    let gateway = Gateway::with_config(&one_host(&host.as_host(), &directory, when_absent));
    let client = client(&gateway);
    (gateway, host, client)
}

fn expect_leaving(client: &mut Client) {
    assert_eq!(client.next_frame(), Some(FromGateway::Leaving));
}

/// Sends `times` requests on a connection that isn't read, and has the host answer each with `length` bytes.
fn queue_answers(gateway: &Gateway, host: &mut ManualHost, client: &mut Client, times: u32, length: usize) {
    for n in 1..=times {
        client.send_request_with_id(n, &id(n), "check", "5000");
    }
    for _ in 1..=times {
        let (connection, command) = host.next_command_named("invoke");
        let n = u32::from_str_radix(&command[1], 16).unwrap();
        host.send_answer(connection, &command[1], "OK", "-", &vec![n as u8; length]);
        gateway.wait_for_log(&format!("stream={n} status=served"));
    }
}

// Shutdown and start.

#[test]
fn connections_waiting_to_be_accepted_when_the_shutdown_grace_ends_are_answered() {
    let (host, directory) = (start_host(answer_ok), Directory::new(1));
    let mut gateway = Gateway::new(&[("s-1", &host)], &directory, "load");
    let mut first = gateway.connect();
    first.send_request("check", "3000", 1);
    assert_eq!(first.next_answer(), (1, 0));
    gateway.signal("-TERM");
    expect_leaving(&mut first);
    gateway.pause();
    std::thread::sleep(AFTER_SHUTDOWN_GRACE);
    // More than are accepted in one loop iteration; when the process resumes, the shutdown grace is over.
    let mut waiting: Vec<Client> = (0..100).map(|_| gateway.connect()).collect();
    waiting
        .iter_mut()
        .enumerate()
        .for_each(|(n, client)| _ = client.send_request("check", "3000", 100 + n as u64));
    gateway.resume();
    for client in &mut waiting {
        let (stream, code) = client.next_answer();
        assert!(stream == 1 && matches!(code, 0 | 8), "neither served nor rejected: {code}");
    }
    assert_eq!(gateway.wait_for_exit(), Some(0));
}

#[test]
fn requests_unread_when_the_last_answer_is_sent_are_answered_and_the_connection_closes_without_a_reset() {
    let (mut gateway, mut host, mut client) = gateway_and_host("load", Gateway::connect);
    client.send_request_with_id(1, &id(1), "post", "3000");
    let (connection, _) = host.next_command_named("invoke");
    gateway.signal("-TERM");
    expect_leaving(&mut client);
    // The shutdown grace is over, which is announced a second time.
    expect_leaving(&mut client);
    gateway.pause();
    // More than is read in one loop iteration, and the answer that the shutdown waits for.
    let many = 2..=60;
    let all: Vec<u8> = many
        .clone()
        .flat_map(|n| request_frame(n, &id(n), "check", "3000", FUNCTION, &[7; 8 << 10]))
        .collect();
    client.send_bytes(&all);
    host.send_answer(connection, &id(1), "OK", "-", b"out");
    gateway.resume();
    let mut answers: Vec<(u32, u8)> = many.clone().chain([1]).map(|_| client.next_answer()).collect();
    answers.sort_unstable();
    let wanted: Vec<(u32, u8)> = [(1, 0)].into_iter().chain(many.map(|n| (n, 8))).collect();
    assert_eq!(answers, wanted);
    let end = client.socket.read(&mut [0]);
    assert!(matches!(end, Ok(0)), "expected a close without a reset: {end:?}");
    drop(client);
    assert_eq!(gateway.wait_for_exit(), Some(0));
}

#[test]
fn answers_larger_than_the_buffers_reach_a_slow_reader_during_shutdown() {
    const BODY: usize = 200 << 10;
    let (mut gateway, mut host, mut client) = gateway_and_host("load", Gateway::connect_with_small_buffers);
    queue_answers(&gateway, &mut host, &mut client, 4, BODY);
    gateway.signal("-TERM");
    gateway.wait_for_log("stopping");
    // The shutdown grace and a little more pass without a byte being read.
    std::thread::sleep(AFTER_SHUTDOWN_GRACE + Duration::from_millis(400));
    let mut whole = 0;
    while let Some(frame) = client.next_frame() {
        if let FromGateway::Answer(n, 0, None, body) = frame {
            assert_eq!(body, vec![n as u8; BODY]);
            whole += 1;
        }
    }
    assert_eq!(whole, 4);
    drop(client);
    assert_eq!(gateway.wait_for_exit(), Some(0));
}

#[test]
fn a_second_term_and_a_hup_in_between_do_not_change_the_shutdown() {
    let (mut host, directory, new_directory) = (ManualHost::new(), Directory::new(1), Directory::new(1));
    let mut gateway = Gateway::with_config(&one_host(&host.as_host(), &directory, "load"));
    let mut client = gateway.connect();
    client.send_request_with_id(1, &id(1), "post", "3000");
    let (connection, _) = host.next_command_named("invoke");
    gateway.signal("-TERM");
    expect_leaving(&mut client);
    new_directory.set_hosts(5, &[("s-1", host.address, 0)]);
    gateway.write_config(&one_host(&host.as_host(), &new_directory, "load"));
    gateway.signal("-HUP");
    gateway.wait_for_log("list serial=5");
    gateway.signal("-TERM");
    host.send_answer(connection, &id(1), "OK", "-", b"out");
    assert_eq!(client.next_answer(), (1, 0));
    drop(client);
    assert_eq!(gateway.wait_for_exit(), Some(0));
}

#[test]
fn term_while_waiting_for_the_port_ends_the_process() {
    let (host, directory) = (start_host(answer_ok), Directory::new(1));
    let occupied_port = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = occupied_port.local_addr().unwrap().to_string();
    let mut gateway =
        Gateway::spawn_with_config(&one_host(&host, &directory, "load").replace("127.0.0.1:0", &address));
    gateway.wait_for_log("list serial=1");
    gateway.signal("-TERM");
    // The process exits without the port, or shuts down normally once it has it, whichever happens first.
    drop(occupied_port);
    assert!(matches!(gateway.wait_for_exit(), Some(0 | 1)));
}

#[test]
fn term_during_startup_ends_the_process_and_its_port_is_free() {
    let (host, directory) = (start_host(answer_ok), Directory::new(1));
    let address = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let config = one_host(&host, &directory, "load").replace("127.0.0.1:0", &address.to_string());
    for ms in 0..20 {
        let mut gateway = Gateway::spawn_with_config(&config);
        std::thread::sleep(Duration::from_millis(ms));
        gateway.signal("-TERM");
        // Killed by the signal, or shut down normally once the handler is installed.
        assert!(matches!(gateway.wait_for_exit(), None | Some(0)), "after {ms} ms");
    }
    let gateway = Gateway::with_config(&config);
    assert_ten_requests_served(&gateway, "3000");
}

#[test]
fn a_connection_with_an_incomplete_frame_is_closed_without_a_reset_at_shutdown() {
    let (host, directory) = (start_host(answer_ok), Directory::new(1));
    let mut gateway = Gateway::new(&[("s-1", &host)], &directory, "load");
    let mut client = gateway.connect();
    client.send_request("check", "3000", 1);
    assert_eq!(client.next_answer(), (1, 0));
    gateway.signal("-TERM");
    expect_leaving(&mut client);
    let whole = request_frame(2, &id(2), "check", "3000", FUNCTION, &[7; 300]);
    client.send_bytes(&whole[..whole.len() / 2]);
    // The end of the shutdown grace is announced again; after it the connection is closed without a reset.
    expect_leaving(&mut client);
    let end = client.socket.read(&mut [0]);
    assert!(matches!(end, Ok(0)), "expected a close without a reset: {end:?}");
    drop(client);
    assert_eq!((gateway.wait_for_exit(), invoke_count(&host)), (Some(0), 1));
}

#[test]
fn a_reload_and_term_that_arrive_together_both_take_effect() {
    let (host_1, host_2, directory, new_directory) =
        (start_host(answer_ok), start_host(answer_ok), Directory::new(1), Directory::new(1));
    let hosts = [("s-1".to_owned(), host_1.address), ("s-2".to_owned(), host_2.address)];
    let mut gateway = Gateway::with_config(&config(&hosts, directory.address, "load"));
    let mut client = gateway.connect();
    new_directory.set_hosts(3, &[("s-1", host_1.address, 1), ("s-2", host_2.address, 0)]);
    gateway.pause();
    gateway.write_config(&config(&hosts, new_directory.address, "load"));
    gateway.signal("-HUP");
    gateway.signal("-TERM");
    gateway.resume();
    expect_leaving(&mut client);
    // While it still accepts requests, it respects the drain that only the new directory lists.
    gateway.wait_for_log("list serial=3");
    for n in 0..5 {
        let stream = client.send_request("post", "3000", n);
        assert!(matches!(client.next_answer(), (of, 0 | 8) if of == stream));
    }
    assert_eq!(invoke_count(&host_1), 0);
    drop(client);
    assert_eq!(gateway.wait_for_exit(), Some(0));
}

#[test]
fn requests_accepted_right_before_a_kill_are_served_by_the_next_process() {
    let (host, directory) = (start_host(answer_ok), Directory::new(1));
    let config = one_host(&host, &directory, "load");
    let mut gateway = Gateway::with_config(&config);
    let address = gateway.address;
    gateway.pause();
    let mut clients: Vec<Client> = (0..20).map(|_| gateway.connect()).collect();
    for (n, client) in (1..).zip(&mut clients) {
        client.send_request_with_id(1, &id(n), "post", "3000");
    }
    gateway.signal("-KILL");
    assert_eq!(gateway.wait_for_exit(), None);
    assert!(
        clients.iter_mut().all(|client| client.next_frame().is_none()),
        "expected a close without an answer"
    );
    let restarted = Gateway::with_config(&config.replace("127.0.0.1:0", &address.to_string()));
    for n in 1..=20 {
        let mut client = restarted.connect();
        client.send_request_with_id(1, &id(n), "post", "3000");
        assert_eq!(client.next_answer(), (1, 0));
    }
    assert_eq!(invoke_count(&host), 20);
}

#[test]
fn a_killed_gateway_listens_on_its_port_again_while_old_connections_linger() {
    let (host, directory) = (start_host(answer_ok), Directory::new(1));
    let config = one_host(&host, &directory, "load");
    let mut gateway = Gateway::with_config(&config);
    let address = gateway.address;
    let mut clients: Vec<Client> = (0..20).map(|_| gateway.connect()).collect();
    for client in &mut clients {
        client.send_request("check", "3000", 1 + u64::from(client.socket.local_addr().unwrap().port()));
        assert_eq!(client.next_answer(), (1, 0));
    }
    gateway.signal("-KILL");
    assert_eq!(gateway.wait_for_exit(), None);
    let restarted = Gateway::with_config(&config.replace("127.0.0.1:0", &address.to_string()));
    assert_eq!(restarted.address, address);
    let mut client = restarted.connect();
    client.send_request("check", "3000", 7);
    assert_eq!(client.next_answer(), (1, 0));
}

// Clients.

/// A gateway with a request for `OTHER_FUNCTION` from this client on stream 9, which waits for a load; also
/// returns the connection and tag of the prewarm order.
fn gateway_waiting_for_load() -> (Gateway, ManualHost, Client, usize, String) {
    let (gateway, mut host, mut client) = gateway_and_host("miss", Gateway::connect_with_small_buffers);
    client.send_bytes(&request_frame(9, &id(9), "check", "5000", OTHER_FUNCTION, b"in"));
    let (connection, order) = host.next_command_named("prewarm");
    (gateway, host, client, connection, order[1].clone())
}

/// Completes the load. The waiting request was canceled, so only a new request may be sent.
fn assert_only_new_invoked(gateway: &Gateway, host: &mut ManualHost, connection: usize, order: &str) {
    host.send_answer(connection, order, "OK", "instances=1", b"");
    let mut other = gateway.connect();
    other.send_bytes(&request_frame(1, &id(77), "check", "5000", OTHER_FUNCTION, b"in"));
    let (connection, command) = host.next_command_named("invoke");
    assert_eq!(command[1], id(77), "a request whose client left while it waited was sent");
    host.send_answer(connection, &id(77), "OK", "-", b"out");
    assert_eq!(other.next_answer(), (1, 0));
    assert!(host.next_command_within(Duration::from_millis(100)).is_none_or(|(_, c)| c[0] != "invoke"));
}

#[test]
fn a_request_waiting_for_a_load_is_not_sent_after_its_client_cancels_or_leaves() {
    for way in 0..4 {
        let (gateway, mut host, mut client, connection, order) = gateway_waiting_for_load();
        match way {
            0 => client.cancel(9),
            // A half-close counts as a disconnect: a client that closes its connection shows no more than
            // that.
            1 => client.socket.shutdown(std::net::Shutdown::Write).unwrap(),
            2 => drop(client),
            _ => client.reset(),
        }
        gateway.wait_for_log(if way == 0 { " taken back " } else { " left " });
        assert_only_new_invoked(&gateway, &mut host, connection, &order);
    }
}

#[test]
fn a_request_whose_client_left_before_it_was_read_is_not_sent() {
    for way in 0..4 {
        let (host, directory) = (start_host(answer_ok), Directory::new(1));
        let gateway = Gateway::new(&[("s-1", &host)], &directory, "load");
        let mut client = gateway.connect();
        client.send_request_with_id(1, &id(1), "check", "5000");
        assert_eq!(client.next_answer(), (1, 0));
        gateway.pause();
        // The client uses an established connection or one that waits to be accepted; its close or
        // cancellation arrives together with the request.
        let mut client = if way == 0 { client } else { gateway.connect() };
        client.send_request_with_id(2, &id(2), "check", "5000");
        match way {
            0 | 1 => drop(client),
            2 => client.cancel(2),
            _ => client.socket.shutdown(std::net::Shutdown::Write).unwrap(),
        }
        std::thread::sleep(Duration::from_millis(300));
        gateway.resume();
        let mut other = gateway.connect();
        other.send_request_with_id(1, &id(3), "check", "5000");
        assert_eq!(other.next_answer(), (1, 0));
        let seen = host.commands.lock().unwrap().clone();
        assert!(!seen.contains(&format!("invoke {}", id(2))), "way {way}: {seen:?}");
    }
}

#[test]
fn a_client_that_does_not_read_can_still_cancel_a_waiting_request() {
    for leaves in [false, true] {
        let (gateway, mut host, mut client, connection, order) = gateway_waiting_for_load();
        // An answer that the client doesn't read; it exceeds the limit on buffered bytes by far.
        client.send_bytes(&request_frame(1, &id(1), "check", "5000", FUNCTION, b"in"));
        let (second, prewarm) = host.next_command_named("prewarm");
        host.send_answer(second, &prewarm[1], "OK", "instances=1", b"");
        let (third, _) = host.next_command_named("invoke");
        host.send_answer(third, &id(1), "OK", "-", &vec![0; 250 << 10]);
        gateway.wait_for_log("stream=1 status=served");
        match leaves {
            false => client.cancel(9),
            true => client.socket.shutdown(std::net::Shutdown::Write).unwrap(),
        }
        gateway.wait_for_log(if leaves { " left " } else { " taken back " });
        assert_only_new_invoked(&gateway, &mut host, connection, &order);
    }
}

#[test]
fn a_client_that_sends_an_invalid_frame_and_leaves_cancels_its_waiting_request() {
    let (gateway, mut host, mut client, connection, order) = gateway_waiting_for_load();
    client.send_bytes(&[0, 0, 0, 0, 100]);
    assert_eq!(client.next_answer(), (0, 13), "the error is reported");
    drop(client);
    gateway.wait_for_log(" left ");
    assert_only_new_invoked(&gateway, &mut host, connection, &order);
}

#[test]
fn a_request_waiting_for_a_host_connection_is_not_sent_after_its_client_cancels() {
    let (mut host, directory) = (ManualHost::with_backlog_of_one(), Directory::new(1));
    // Host connections may take long here.
    let slow_connect_config = one_host(&host.as_host(), &directory, "load")
        .replace("\"connect_timeout\":250000", "\"connect_timeout\":9000000");
    let gateway = Gateway::with_config(&slow_connect_config);
    host.accepts_paused = true;
    // The first connection fills the backlog of the host, so the second request has to wait for its
    // connection.
    let mut clients: Vec<Client> = (1..=3).map(|_| gateway.connect()).collect();
    for (n, client) in (1..).zip(&mut clients) {
        client.send_bytes(&request_frame(1, &id(n), "check", "5000", FUNCTION, b"in"));
        gateway.wait_for_log(&format!("run id={}", id(n)));
    }
    for client in &mut clients[1..] {
        client.cancel(1);
    }
    gateway.wait_for_log_count(" taken back ", 2);
    host.accepts_paused = false;
    let (connection, command) = host.next_command_named("invoke");
    assert_eq!(command[1], id(1));
    // Long enough for the kernel to retry the connections.
    let sent = host.next_command_within(Duration::from_millis(1_500));
    assert!(sent.as_ref().is_none_or(|(_, c)| c[0] != "invoke"), "{sent:?}");
    host.send_answer(connection, &id(1), "OK", "-", b"out");
    assert_eq!(clients[0].next_answer(), (1, 0));
}

#[test]
fn an_answer_that_crosses_a_cancellation_is_dropped_and_the_stream_can_be_reused() {
    let (gateway, mut host, mut client) = gateway_and_host("load", Gateway::connect);
    client.send_request_with_id(1, &id(1), "post", "3000");
    let (connection, _) = host.next_command_named("invoke");
    gateway.pause();
    // When it resumes, the gateway finds both the cancellation and the answer to the canceled request.
    client.cancel(1);
    client.send_request_with_id(1, &id(2), "post", "3000");
    host.send_answer(connection, &id(1), "OK", "-", b"first");
    gateway.resume();
    let (connection, command) = host.next_command_named("invoke");
    assert_eq!(command[1], id(2));
    host.send_answer(connection, &id(2), "OK", "-", b"second");
    // Whichever it reads first, the second request gets its own answer and nothing else follows.
    let mut frame = client.next_frame();
    if frame == Some(FromGateway::Answer(1, 0, None, b"first".to_vec())) {
        frame = client.next_frame();
    }
    assert_eq!(frame, Some(FromGateway::Answer(1, 0, None, b"second".to_vec())));
    client.send_request_with_id(2, &id(3), "no-such-class", "3000");
    assert_eq!(client.next_answer(), (2, 8));
}

#[test]
fn a_reused_id_whose_first_attempt_is_in_flight_uses_another_connection() {
    let (_gateway, mut host, mut client) = gateway_and_host("load", Gateway::connect);
    client.send_request_with_id(1, &id(1), "check", "3000");
    let (connection, _) = host.next_command_named("invoke");
    client.cancel(1);
    client.send_request_with_id(2, &id(1), "check", "3000");
    let (second, command) = host.next_command_named("invoke");
    assert_eq!((command[1].as_str(), second != connection), (id(1).as_str(), true));
    host.send_answer(connection, &id(1), "OK", "-", b"first");
    host.send_answer(second, &id(1), "OK", "-", b"second");
    assert_eq!(client.next_frame(), Some(FromGateway::Answer(2, 0, None, b"second".to_vec())));
}

#[test]
fn a_connection_with_a_request_that_just_arrived_is_not_evicted() {
    let (host, directory) = (start_host(answer_ok), Directory::new(1));
    let gateway = Gateway::new(&[("s-1", &host)], &directory, "load");
    // 256 descriptors leave 116 client connections; all are in use by clients that were served and have been
    // idle for a while.
    let mut clients: Vec<Client> = (0..116).map(|_| gateway.connect()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send_request("check", "3000", n as u64);
        assert_eq!(client.next_answer(), (1, 0));
    }
    std::thread::sleep(Duration::from_millis(300));
    gateway.pause();
    // The client that has been idle longest sends a request, and a new client connects; the gateway finds
    // both when it resumes.
    clients[0].send_request("check", "3000", 500);
    let mut newcomer = gateway.connect();
    newcomer.send_request("check", "3000", 501);
    gateway.resume();
    assert_eq!(clients[0].next_answer(), (2, 0));
    assert_eq!(newcomer.next_answer(), (1, 0));
    assert_eq!(clients[1].next_frame(), None, "the client idle next longest is evicted");
}

#[test]
fn a_request_that_arrives_as_its_silent_connection_times_out_is_served() {
    let (host, directory) = (start_host(answer_ok), Directory::new(1));
    let gateway = Gateway::new(&[("s-1", &host)], &directory, "load");
    let mut client = gateway.connect();
    // The gateway finds both when it resumes: the request, and the expired timeout of a new connection that
    // sends nothing.
    gateway.pause();
    std::thread::sleep(Duration::from_millis(1_400));
    client.send_request("check", "3000", 1);
    gateway.resume();
    assert_eq!(client.next_answer(), (1, 0));
}

#[test]
fn an_incomplete_message_closes_its_connection_only_after_open_requests_are_answered() {
    let (_gateway, mut host, mut client) = gateway_and_host("load", Gateway::connect);
    client.send_request_with_id(1, &id(1), "post", "5000");
    let (connection, _) = host.next_command_named("invoke");
    client.send_bytes(&[200, 0, 0, 0, 100, 1]);
    assert_eq!(client.next_answer(), (0, 13), "the error is reported");
    host.send_answer(connection, &id(1), "OK", "-", b"out");
    assert_eq!(client.next_answer(), (1, 0));
    assert_eq!(client.next_frame(), None);
}

#[test]
fn a_request_sent_in_pieces_is_served_when_complete() {
    let (host, directory) = (start_host(answer_ok), Directory::new(1));
    let gateway = Gateway::new(&[("s-1", &host)], &directory, "load");
    let mut client = gateway.connect();
    let whole = request_frame(1, &id(1), "check", "1000", FUNCTION, &[7; 300]);
    // Takes twice as long as the read timeout within a message; the request's own time starts with its last
    // byte.
    for piece in whole.chunks(whole.len().div_ceil(6)) {
        std::thread::sleep(Duration::from_millis(450));
        client.send_bytes(piece);
    }
    assert_eq!(client.next_answer(), (1, 0));
    client.send_request_with_id(2, &id(2), "check", "3000");
    assert_eq!(client.next_answer(), (2, 0), "the connection stays open");
}

#[test]
fn a_message_sent_byte_by_byte_times_out() {
    let (host, directory) = (start_host(answer_ok), Directory::new(1));
    let gateway = Gateway::with_config(
        &one_host(&host, &directory, "load").replace("\"give_up\":5000000", "\"give_up\":1000000"),
    );
    let mut client = gateway.connect();
    let whole = request_frame(1, &id(1), "check", "1000", FUNCTION, &[7; 300]);
    // At this rate it would take 40 s.
    client.socket.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
    let ended = whole.iter().position(|byte| {
        let _ = client.socket.write_all(&[*byte]);
        !matches!(client.socket.read(&mut [0]), Err(error) if
            matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut))
    });
    assert!(
        ended.is_some_and(|position| position > 12),
        "closed at byte {ended:?}: expected after the silence timeout, but before the end"
    );
    gateway.wait_for_log("why=\"half-sent\"");
}

/// Repeats a step in the background until the test is over.
fn with_background<T>(mut step: impl FnMut() + Send, test: impl FnOnce() -> T) -> T {
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

/// Ten clients send a request one after the other; each is served.
fn assert_ten_requests_served(gateway: &Gateway, wait: &str) {
    for n in 0..10 {
        let mut client = gateway.connect();
        client.send_request("check", wait, n);
        let answer = client.next_frame();
        assert!(matches!(answer, Some(FromGateway::Answer(1, 0, ..))), "client {n}: {answer:?}");
    }
}

#[test]
fn many_slow_senders_do_not_keep_a_client_from_connecting() {
    let (host, directory) = (start_host(answer_ok), Directory::new(1));
    let gateway = Gateway::new(&[("s-1", &host)], &directory, "load");
    let whole = request_frame(1, &id(1), "check", "1000", FUNCTION, &[7; 300]);
    let mut senders: Vec<(TcpStream, usize)> = Vec::new();
    // More than the 116 client connections; each sends byte by byte, and is replaced when it is closed.
    let send_next_bytes = || {
        senders.retain_mut(|(socket, sent)| {
            *sent += 1;
            socket.write_all(&whole[*sent - 1..*sent]).is_ok() && *sent + 1 < whole.len()
        });
        while senders.len() < 200 {
            senders.push((TcpStream::connect(gateway.address).unwrap(), 0));
        }
    };
    with_background(send_next_bytes, || {
        std::thread::sleep(Duration::from_secs(1));
        assert_ten_requests_served(&gateway, "3000");
    });
}

#[test]
fn idle_clients_at_the_descriptor_limit_leave_descriptors_for_the_directory_and_hosts() {
    // The limit in the configuration, and a lower limit of the system.
    for descriptors in [256, 64] {
        let (host_1, host_2, directory) = (start_host(answer_ok), start_host(answer_ok), Directory::new(1));
        let gateway = Gateway::with_descriptor_limit(&one_host(&host_1, &directory, "load"), descriptors);
        // More clients than are accepted at a time: each asks whether the gateway is ready, gets the answer,
        // and sends nothing more.
        let mut idle_clients: Vec<Client> = (0..300).map(|_| gateway.connect()).collect();
        for client in &mut idle_clients {
            let mut ready = Vec::new();
            encode_without_fields(&mut ready, true, 1);
            client.send_bytes(&ready);
        }
        gateway.wait_for_log("the directory is silent");
        // Long enough to wait behind the idle clients: the gateway assumes the longest possible time that a
        // connection may have waited to be accepted.
        assert_ten_requests_served(&gateway, "20000");
        // The directory answers again, with another host.
        directory.set_hosts(5, &[("s-1", host_1.address, 1), ("s-2", host_2.address, 0)]);
        gateway.wait_for_log("list serial=5");
        assert_ten_requests_served(&gateway, "20000");
        assert_eq!((invoke_count(&host_1), invoke_count(&host_2)), (10, 10), "{descriptors}");
    }
}

#[test]
fn a_slow_reader_gets_its_answers_and_a_client_that_never_reads_is_disconnected() {
    const BODY: usize = 250 << 10;
    for reads in [true, false] {
        let (gateway, mut host, mut client) = gateway_and_host("load", Gateway::connect_with_small_buffers);
        // This request is answered last; a client without an open request is only waited for while it reads.
        if reads {
            client.send_request_with_id(5, &id(5), "post", "5000");
        }
        let open = reads.then(|| host.next_command_named("invoke").0);
        queue_answers(&gateway, &mut host, &mut client, 4, BODY);
        if !reads {
            gateway.wait_for_log("closed connection");
            continue;
        }
        // With a request open, this takes longer than the two seconds after which a client that reads nothing
        // is disconnected.
        let mut part = vec![0; 4 << 10];
        for _ in 0..6 {
            client.socket.read_exact(&mut part).unwrap();
            client.received.extend_from_slice(&part);
            std::thread::sleep(Duration::from_millis(500));
        }
        let mut whole = 0;
        host.send_answer(open.unwrap(), &id(5), "OK", "-", b"out");
        while whole < 4 {
            let Some(FromGateway::Answer(n, 0, None, body)) = client.next_frame() else {
                panic!("the connection was closed early")
            };
            assert_eq!(body, vec![n as u8; BODY]);
            whole += 1;
        }
        assert_eq!(client.next_frame(), Some(FromGateway::Answer(5, 0, None, b"out".to_vec())));
    }
}

// Clients that have left: no attempt starts for them, on any path.

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum ClientExit {
    Cancel,
    HalfClose,
    Close,
    Reset,
}

const CLIENT_EXITS: [ClientExit; 4] =
    [ClientExit::Cancel, ClientExit::HalfClose, ClientExit::Close, ClientExit::Reset];
/// Far more than the 0.1 s after which nothing may start for a client that has left.
const AFTER_CLIENT_LEFT: Duration = Duration::from_millis(300);

/// The client of the request on that stream leaves; one that only cancels keeps its connection.
fn leave(mut client: Client, stream: u32, way: ClientExit) -> Option<Client> {
    match way {
        ClientExit::Cancel => client.cancel(stream),
        ClientExit::HalfClose => client.socket.shutdown(std::net::Shutdown::Write).unwrap(),
        ClientExit::Close => return None,
        ClientExit::Reset => {
            client.reset();
            return None;
        }
    }
    Some(client)
}

/// Checks that only a new request, by another client, is sent to the host.
fn assert_only_new_request_sent(gateway: &Gateway, host: &mut ManualHost, why: &str) {
    let mut other = gateway.connect();
    other.send_request_with_id(1, &id(77), "check", "5000");
    loop {
        let (connection, command) = host.next_command();
        match command[0].as_str() {
            "invoke" => {
                assert_eq!(command[1], id(77), "{why}: sent although its client had left");
                host.send_answer(connection, &id(77), "OK", "-", b"out");
                break;
            }
            "prewarm" => host.send_answer(connection, &command[1], "OK", "instances=1", b""),
            _ => {}
        }
    }
    assert_eq!(other.next_answer(), (1, 0), "{why}");
    while let Some((_, command)) = host.next_command_within(AFTER_CLIENT_LEFT) {
        assert_ne!(command[0], "invoke", "{why}: {}", command[1]);
    }
}

#[test]
fn no_retry_after_an_answer_that_arrives_as_the_client_leaves() {
    for status in ["BUSY", "MISS", "ERR", "reset", "end"] {
        for way in CLIENT_EXITS {
            let (gateway, mut host, mut client) = gateway_and_host("load", Gateway::connect);
            client.send_request_with_id(1, &id(1), "check", "5000");
            let (connection, _) = host.next_command_named("invoke");
            gateway.pause();
            match status {
                "reset" => host.reset(connection),
                "end" => host.close(connection),
                status => host.send_answer(connection, &id(1), status, "-", b""),
            }
            let _client = leave(client, 1, way);
            std::thread::sleep(AFTER_CLIENT_LEFT);
            gateway.resume();
            assert_only_new_request_sent(&gateway, &mut host, &format!("{status}, {way:?}"));
        }
    }
}

#[test]
fn no_attempt_after_a_load_that_ends_as_the_client_leaves() {
    for status in ["OK", "BUSY", "ERR"] {
        for way in CLIENT_EXITS {
            let (gateway, mut host, client, connection, order) = gateway_waiting_for_load();
            gateway.pause();
            host.send_answer(connection, &order, status, "instances=1", b"");
            let _client = leave(client, 9, way);
            std::thread::sleep(AFTER_CLIENT_LEFT);
            gateway.resume();
            assert_only_new_request_sent(&gateway, &mut host, &format!("{status}, {way:?}"));
        }
    }
}

#[test]
fn no_duplicate_and_no_retry_for_a_client_that_has_left() {
    for (class, status) in [("check", None), ("check", Some("BUSY")), ("post", Some("BUSY"))] {
        for way in CLIENT_EXITS {
            let (gateway, mut host, mut client) = gateway_and_host("load", Gateway::connect);
            client.send_request_with_id(1, &id(1), class, "5000");
            let (connection, _) = host.next_command_named("invoke");
            status.into_iter().for_each(|status| host.send_answer(connection, &id(1), status, "-", b""));
            gateway.pause();
            let _client = leave(client, 1, way);
            // Attempts sent before the pause arrive; then every timer of the request expires.
            while let Some((connection, command)) = host.next_command_within(Duration::from_millis(50)) {
                if command[0] == "invoke" {
                    host.send_answer(connection, &id(1), "BUSY", "-", b"");
                }
            }
            std::thread::sleep(Duration::from_millis(1_500));
            gateway.resume();
            assert_only_new_request_sent(&gateway, &mut host, &format!("{class}, {status:?}, {way:?}"));
        }
    }
}

#[test]
fn a_queued_request_is_not_sent_after_its_client_leaves() {
    for way in CLIENT_EXITS {
        let (mut host, directory) = (ManualHost::new(), Directory::new(1));
        let long_objective_config =
            one_host(&host.as_host(), &directory, "load").replace("\"aim\":600000", "\"aim\":4000000");
        let gateway = Gateway::with_config(&long_objective_config);
        // The only host drains for a while, so the request has to wait.
        directory.set_hosts(2, &[("s-1", host.address, 1)]);
        gateway.wait_for_log("list serial=2");
        let mut client = gateway.connect();
        client.send_request_with_id(1, &id(1), "check", "5000");
        client.send_request_with_id(2, &id(2), "no-such-class", "5000");
        assert_eq!(client.next_answer(), (2, 8), "the second request was read, and the first one waits");
        let _client = leave(client, 1, way);
        gateway.wait_for_log(if matches!(way, ClientExit::Cancel) { " taken back " } else { " left " });
        directory.set_hosts(3, &[("s-1", host.address, 0)]);
        gateway.wait_for_log("list serial=3");
        assert_only_new_request_sent(&gateway, &mut host, &format!("{way:?}"));
    }
}

#[test]
fn a_cancellation_behind_more_than_one_read_is_handled_before_the_next_attempt_is_sent() {
    let (gateway, mut host, mut client, connection, order) = gateway_waiting_for_load();
    gateway.pause();
    host.send_answer(connection, &order, "OK", "instances=1", b"");
    // Cancellations on streams without an open request have no effect, but have to be read.
    let mut cancellations = Vec::new();
    (1_000..21_000).for_each(|stream| encode_without_fields(&mut cancellations, false, stream));
    client.send_bytes(&cancellations);
    client.cancel(9);
    std::thread::sleep(AFTER_CLIENT_LEFT);
    gateway.resume();
    assert_only_new_request_sent(&gateway, &mut host, "behind 200 KB");
}

#[test]
fn a_client_that_leaves_during_a_long_loop_iteration_is_noticed_before_its_attempt_is_sent() {
    for way in CLIENT_EXITS {
        let (mut host, directory) = (ManualHost::new(), Directory::new(1));
        let large_memory_config = one_host(&host.as_host(), &directory, "load")
            .replace("\"memory_mb\":64", "\"memory_mb\":256")
            .replace("\"connect_timeout\":250000", "\"connect_timeout\":9000000");
        let (gateway, log) = Gateway::with_piped_log(&large_memory_config);
        let mut client = gateway.connect();
        let mut others: Vec<Client> = (0..40).map(|_| gateway.connect()).collect();
        // Wait until all connections are accepted.
        for client in others.iter_mut().chain([&mut client]) {
            client.send_request_with_id(99, &id(99), "no-such-class", "5000");
            assert_eq!(client.next_answer(), (99, 8));
        }
        // Fill half of the log pipe, then cause a loop iteration that logs more than the rest: the process
        // blocks in the middle of it.
        log.set_reading(false);
        for _ in 0..250 {
            client.send_request_with_id(99, &id(99), "no-such-class", "5000");
            assert_eq!(client.next_answer(), (99, 8));
        }
        gateway.pause();
        client.send_request_with_id(1, &id(1), "check", "5000");
        for (n, other) in others.iter_mut().enumerate() {
            let first = 1_000 + 100 * n as u32;
            let all =
                (1..=32).flat_map(|m| request_frame(m, &id(first + m), "check", "5000", FUNCTION, b"in"));
            other.send_bytes(&all.collect::<Vec<u8>>());
        }
        gateway.resume();
        std::thread::sleep(AFTER_CLIENT_LEFT);
        let _client = leave(client, 1, way);
        std::thread::sleep(AFTER_CLIENT_LEFT);
        log.set_reading(true);
        gateway.wait_for_log(&format!("run id={}", id(1)));
        // The others are served, and this request is not among them.
        let mut next = Some(host.next_command_named("invoke"));
        while let Some((connection, command)) = next {
            if command[0] == "invoke" {
                assert_ne!(command[1], id(1), "{way:?}: sent after its client had left");
                host.send_answer(connection, &command[1], "OK", "-", b"out");
            }
            next = host.next_command_within(AFTER_CLIENT_LEFT);
        }
    }
}

#[test]
fn a_host_connection_established_as_the_client_leaves_carries_no_request() {
    for way in CLIENT_EXITS {
        let (mut host, directory) = (ManualHost::with_backlog_of_one(), Directory::new(1));
        let slow_connect_config = one_host(&host.as_host(), &directory, "load")
            .replace("\"connect_timeout\":250000", "\"connect_timeout\":9000000");
        let gateway = Gateway::with_config(&slow_connect_config);
        host.accepts_paused = true;
        // The first connection fills the backlog of the host, so the second request waits for its connection.
        let mut clients: Vec<Client> = (1..=2).map(|_| gateway.connect()).collect();
        for (n, client) in (1..).zip(&mut clients) {
            client.send_request_with_id(1, &id(n), "check", "5000");
            gateway.wait_for_log(&format!("run id={}", id(n)));
        }
        gateway.pause();
        let _client = leave(clients.pop().unwrap(), 1, way);
        host.accepts_paused = false;
        let mut seen = Vec::new();
        let end = std::time::Instant::now() + peers::TEST_TIMEOUT;
        while host.connection_count() < 2 {
            assert!(std::time::Instant::now() < end, "the second connection was not established");
            seen.extend(host.next_command_within(Duration::from_millis(10)));
        }
        std::thread::sleep(AFTER_CLIENT_LEFT);
        gateway.resume();
        seen.extend(std::iter::from_fn(|| host.next_command_within(Duration::from_millis(500))));
        let invokes = seen.into_iter().filter(|(_, command)| command[0] == "invoke");
        let invokes: Vec<_> = invokes.map(|(connection, command)| (connection, command[1].clone())).collect();
        assert!(invokes.iter().all(|(_, of)| *of == id(1)), "{way:?}: {invokes:?}");
        // The pause was longer than the timeout of the first attempt, so there may be another one.
        invokes.iter().for_each(|(connection, _)| host.send_answer(*connection, &id(1), "OK", "-", b"out"));
        assert_eq!(clients[0].next_answer().0, 1);
    }
}

/// A gateway with one connection to its host, which buffers little unread data, and clients whose requests of
/// 16 KiB are on that connection.
fn gateway_with_full_send_buffer() -> (Gateway, ManualHost, Vec<Client>) {
    let (mut host, directory) = (ManualHost::with_small_receive_buffer(), Directory::new(1));
    let few_sockets_config =
        one_host(&host.as_host(), &directory, "load").replace("\"sockets\":256", "\"sockets\":40");
    let gateway = Gateway::with_config(&few_sockets_config);
    let mut clients: Vec<Client> = (0..6).map(|_| gateway.connect()).collect();
    for (n, client) in (1..).zip(&mut clients) {
        client.send_bytes(&request_frame(1, &id(n), "check", "5000", FUNCTION, &[7; 16 << 10]));
        gateway.wait_for_log(&format!("run id={}", id(n)));
    }
    while host.connection_count() == 0 {
        host.next_command_within(Duration::ZERO);
    }
    (gateway, host, clients)
}

#[test]
fn a_partly_sent_attempt_is_cut_off_after_its_client_leaves() {
    for way in CLIENT_EXITS {
        let (gateway, mut host, clients) = gateway_with_full_send_buffer();
        let _clients: Vec<_> = clients.into_iter().map(|client| leave(client, 1, way)).collect();
        gateway
            .wait_for_log_count(if matches!(way, ClientExit::Cancel) { " taken back " } else { " left " }, 6);
        std::thread::sleep(AFTER_CLIENT_LEFT);
        // What was sent completely arrives; the partly sent request is cut off, and nothing follows it.
        let (whole, part) = host.read_to_end(0);
        assert!(whole.len() < 6 && part > 0, "{way:?}: {whole:?}, {part} bytes more");
        assert_only_new_request_sent(&gateway, &mut host, &format!("{way:?}"));
    }
}

#[test]
fn attempts_buffered_on_a_full_connection_are_not_sent_if_it_clears_as_the_clients_leave() {
    let (gateway, mut host, clients) = gateway_with_full_send_buffer();
    gateway.pause();
    let _clients: Vec<_> = clients.into_iter().map(|client| leave(client, 1, ClientExit::Cancel)).collect();
    // The host reads again: when the process resumes, it finds both the cancellations and free space in the
    // send buffer.
    let mut before = Vec::new();
    while let Some((_, command)) = host.next_command_within(AFTER_CLIENT_LEFT) {
        before.push(command[1].clone());
    }
    gateway.resume();
    gateway.wait_for_log_count(" taken back ", 6);
    // The rest of the partly sent request doesn't arrive either.
    let mut after = Vec::new();
    while let Some((_, command)) = host.next_command_within(AFTER_CLIENT_LEFT) {
        after.push(command[1].clone());
    }
    assert!(after.is_empty(), "{before:?}, then {after:?}");
    assert_only_new_request_sent(&gateway, &mut host, "cleared");
}

#[test]
fn a_request_waiting_to_be_accepted_at_the_connection_limit_is_not_sent_after_its_client_leaves() {
    for way in CLIENT_EXITS {
        let (mut host, directory) = (ManualHost::new(), Directory::new(1));
        let few_sockets_config =
            one_host(&host.as_host(), &directory, "load").replace("\"sockets\":256", "\"sockets\":40");
        let gateway = Gateway::with_config(&few_sockets_config);
        // 40 descriptors leave 8 client connections; each has an open request.
        let mut clients: Vec<Client> = (0..8).map(|_| gateway.connect()).collect();
        let mut open = Vec::new();
        for (n, client) in (1..).zip(&mut clients) {
            client.send_request_with_id(1, &id(n), "post", "5000");
            open.push((host.next_command_named("invoke").0, id(n)));
        }
        let mut waiting: Vec<Client> = (0..3).map(|_| gateway.connect()).collect();
        for (n, client) in (20..).zip(&mut waiting) {
            client.send_request_with_id(1, &id(n), "check", "5000");
        }
        let _gone: Vec<_> = waiting.into_iter().map(|client| leave(client, 1, way)).collect();
        std::thread::sleep(AFTER_CLIENT_LEFT);
        for (connection, id) in &open {
            host.send_answer(*connection, id, "OK", "-", b"out");
        }
        for client in &mut clients {
            assert_eq!(client.next_answer(), (1, 0));
        }
        drop(clients);
        assert_only_new_request_sent(&gateway, &mut host, &format!("{way:?}"));
    }
}

// Hosts.

#[test]
fn a_late_duplicate_miss_is_not_taken_for_the_answer_to_the_next_attempt() {
    let (_gateway, mut host, mut client) = gateway_and_host("miss", Gateway::connect);
    client.send_request_with_id(1, &id(1), "post", "5000");
    let mut first = None;
    let second = loop {
        let (connection, command) = host.next_command();
        match (command[0].as_str(), first) {
            ("prewarm", _) => host.send_answer(connection, &command[1], "OK", "instances=1", b""),
            ("invoke", None) => {
                host.send_answer(connection, &id(1), "MISS", "-", b"");
                first = Some(connection);
            }
            ("invoke", Some(_)) => break connection,
            other => panic!("{other:?}"),
        }
    };
    // The second attempt runs, and the answer to the first arrives a second time.
    host.send_answer(first.unwrap(), &id(1), "MISS", "-", b"");
    while let Some((connection, command)) = host.next_command_within(Duration::from_millis(500)) {
        assert_ne!(command[0], "invoke", "a post was sent a second time while it runs");
        host.send_answer(connection, &command[1], "OK", "instances=1", b"");
    }
    host.send_answer(second, &id(1), "OK", "-", b"out");
    assert_eq!(client.next_frame(), Some(FromGateway::Answer(1, 0, None, b"out".to_vec())));
}

#[test]
fn a_truncated_answer_fails_a_post_and_a_complete_one_before_the_close_counts() {
    for (way, code) in [("end", 13), ("reset", 13), ("whole", 0)] {
        let (gateway, mut host, mut client) = gateway_and_host("load", Gateway::connect);
        client.send_request_with_id(1, &id(1), "post", "3000");
        let (connection, _) = host.next_command_named("invoke");
        gateway.pause();
        let whole = b"*4\r\n$16\r\n0000000000000001\r\n$2\r\nOK\r\n$1\r\n-\r\n$3\r\nout\r\n";
        let cut = if way == "whole" { whole.len() } else { whole.len() - 4 };
        host.send_bytes(connection, &whole[..cut]);
        if way == "reset" {
            host.reset(connection)
        } else {
            host.close(connection)
        }
        gateway.resume();
        assert_eq!(client.next_answer(), (1, code), "{way}");
        let more = host.next_command_within(Duration::from_millis(200));
        assert!(more.as_ref().is_none_or(|(_, c)| c[0] != "invoke"), "{way}: {more:?}");
    }
}

#[test]
fn a_connection_never_established_does_not_count_against_a_host_that_answers_on_another() {
    let (mut host, directory) = (ManualHost::with_backlog_of_one(), Directory::new(1));
    let gateway = Gateway::with_config(&one_host(&host.as_host(), &directory, "load"));
    let mut clients: Vec<Client> = (1..=4).map(|_| gateway.connect()).collect();
    clients[0].send_bytes(&request_frame(1, &id(1), "check", "5000", FUNCTION, b"in"));
    let (connection, _) = host.next_command_named("invoke");
    host.accepts_paused = true;
    for n in 2..=4 {
        clients[n as usize - 1].send_bytes(&request_frame(1, &id(n), "check", "5000", FUNCTION, b"in"));
        gateway.wait_for_log(&format!("run id={}", id(n)));
    }
    host.send_answer(connection, &id(1), "OK", "-", b"out");
    assert_eq!(clients[0].next_answer(), (1, 0));
    let failed_connection = gateway.wait_for_log("never_stood=true");
    assert!(failed_connection.contains("no connection in time"), "{failed_connection}");
    let run = gateway.wait_for_log(&format!("run id={}", id(4)));
    let attempt = run.split(' ').find(|word| word.starts_with("attempt=")).unwrap();
    let ended = gateway.wait_for_log(&format!("ended {attempt} "));
    assert!(ended.contains("NotWritten"), "{ended}");
}

#[test]
fn a_request_is_sent_again_on_a_new_connection_when_its_host_restarts_under_the_same_id() {
    let (mut host, directory) = (ManualHost::new(), Directory::new(1));
    let long_objective_config =
        one_host(&host.as_host(), &directory, "load").replace("\"aim\":600000", "\"aim\":4000000");
    let gateway = Gateway::with_config(&long_objective_config);
    let mut client = gateway.connect();
    client.send_request_with_id(1, &id(1), "check", "5000");
    let (old, _) = host.next_command_named("invoke");
    // The host process ended without closing its connection, and another one has its address; only the list
    // shows that. Start times have a resolution of a millisecond, so wait until the start is later than the
    // connection.
    std::thread::sleep(Duration::from_millis(5));
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    directory.set_host_start_time(now.as_millis() as u64);
    directory.set_hosts(2, &[("s-1", host.address, 0)]);
    gateway.wait_for_log("another process");
    let (new, command) = host.next_command_named("invoke");
    assert_eq!((command[1].as_str(), new != old), (id(1).as_str(), true));
    host.send_answer(new, &id(1), "OK", "-", b"out");
    assert_eq!(client.next_answer(), (1, 0));
    host.read_to_end(old);
}

#[test]
fn an_address_reassigned_to_another_id_serves_only_under_that_id() {
    for reversed in [false, true] {
        let (host, directory) = (start_host(answer_ok), Directory::new(1));
        let gateway = Gateway::new(&[("s-1", &host)], &directory, "load");
        let mut client = gateway.connect();
        client.send_request("check", "3000", 1);
        assert_eq!(client.next_answer(), (1, 0));
        let before = start_host(answer_ok);
        let mut list: Vec<(&str, SocketAddr, u16)> =
            vec![("s-2", host.address, 0), ("s-3", before.address, 1)];
        if reversed {
            list.reverse();
        }
        directory.set_hosts(5, &list);
        gateway.wait_for_log("list serial=5");
        for n in 2..6 {
            let stream = client.send_request("post", "3000", n);
            assert_eq!(client.next_answer(), (stream, 0));
        }
        assert_eq!((invoke_count(&host), invoke_count(&before)), (5, 0));
        let log = std::fs::read_to_string(gateway.log_path()).unwrap();
        let runs_on = |id: &str| {
            log.lines().filter(|l| l.contains("run id=") && l.contains(&format!("host={id} "))).count()
        };
        assert_eq!((runs_on("s-1"), runs_on("s-2"), runs_on("s-3")), (1, 4, 0));
    }
}

// The host list.

#[test]
fn after_hup_the_list_of_the_new_directory_is_used_while_a_query_to_the_old_one_is_open() {
    // The old directory never answers, so a query is open at any time.
    let (host_1, host_2, directory, new_directory) =
        (start_host(answer_ok), start_host(answer_ok), Directory::new(1), Directory::new(1));
    let hosts = [("s-1".to_owned(), host_1.address), ("s-2".to_owned(), host_2.address)];
    let gateway = Gateway::with_config(&config(&hosts, directory.address, "load"));
    new_directory.set_hosts(3, &[("s-1", host_1.address, 1), ("s-2", host_2.address, 0)]);
    gateway.pause();
    gateway.write_config(&config(&hosts, new_directory.address, "load"));
    gateway.signal("-HUP");
    gateway.resume();
    gateway.wait_for_log("list serial=3");
    let mut client = gateway.connect();
    for n in 0..10 {
        let stream = client.send_request("post", "3000", n);
        assert_eq!(client.next_answer(), (stream, 0));
    }
    assert_eq!((invoke_count(&host_1), invoke_count(&host_2)), (0, 10));
}

#[test]
fn a_directory_that_stops_answering_one_socket_is_queried_from_another() {
    let (host_1, host_2, directory) = (start_host(answer_ok), start_host(answer_ok), Directory::new(1));
    directory.set_hosts(2, &[("s-1", host_1.address, 0), ("s-2", host_2.address, 0)]);
    // Each querying address gets three answers, then none.
    directory.limit_answers_per_address(3);
    let gateway = Gateway::new(&[("s-1", &host_1)], &directory, "load");
    gateway.wait_for_log("list serial=2");
    for serial in 3..6 {
        directory.set_hosts(serial, &[("s-1", host_1.address, 1), ("s-2", host_2.address, 0)]);
        gateway.wait_for_log(&format!("list serial={serial}"));
    }
    let mut client = gateway.connect();
    client.send_request("check", "3000", 1);
    assert_eq!(client.next_answer(), (1, 0));
    assert_eq!((invoke_count(&host_1), invoke_count(&host_2)), (0, 1));
}

#[test]
fn a_full_list_after_a_silence_removes_the_hosts_it_does_not_contain() {
    let (host_1, host_2, host_3, directory) =
        (start_host(answer_ok), start_host(answer_ok), start_host(answer_ok), Directory::new(1));
    let gateway = Gateway::new(&[("s-1", &host_1)], &directory, "load");
    directory.set_hosts(2, &[("s-1", host_1.address, 0), ("s-2", host_2.address, 0)]);
    gateway.wait_for_log("list serial=2");
    directory.limit_answers_per_address(0);
    gateway.wait_for_log("the directory is silent");
    // Changes in the meantime are unknown, and the known hosts keep serving.
    assert_ten_requests_served(&gateway, "3000");
    let before = (invoke_count(&host_1), invoke_count(&host_2));
    assert_eq!(before.0 + before.1, 10);
    // Events 3 to 9 arrive at once: s-1 is gone without a drain, s-2 drains, s-3 is new.
    directory.set_hosts(9, &[("s-2", host_2.address, 1), ("s-3", host_3.address, 0)]);
    directory.limit_answers_per_address(usize::MAX);
    gateway.wait_for_log("list serial=9");
    assert_ten_requests_served(&gateway, "3000");
    assert_eq!(
        (invoke_count(&host_1), invoke_count(&host_2), invoke_count(&host_3)),
        (before.0, before.1, 10)
    );
    // Older lists that arrive late, one, two and ten in a row, are ignored.
    for (times, served) in [(1, 20), (2, 30), (10, 40)] {
        directory.queue_stale_answers(times, 8, &[("s-1", host_1.address, 0), ("s-2", host_2.address, 0)]);
        directory.wait_until_stale_sent();
        assert_ten_requests_served(&gateway, "3000");
        assert_eq!(
            (invoke_count(&host_1), invoke_count(&host_2), invoke_count(&host_3)),
            (before.0, before.1, served)
        );
    }
}

// Configuration files.

#[test]
fn an_invalid_configuration_or_one_of_another_gateway_is_ignored_on_hup() {
    let (host, other, directory, other_directory) =
        (start_host(answer_ok), start_host(answer_ok), Directory::new(1), Directory::new(1));
    let valid_config = one_host(&host, &directory, "load");
    let gateway = Gateway::with_config(&valid_config);
    other_directory.set_hosts(9, &[("s-9", other.address, 0)]);
    let other_config = one_host(&other, &other_directory, "load");
    let files = [
        String::new(),
        other_config[..other_config.len() / 2].to_owned(),
        other_config.replace("\"check\"", "\"match\""),
        other_config.replace("\"n0\"", "\"n7\""),
        other_config.replace("\"profiles\"", "\"classes\""),
    ];
    for (n, file) in files.iter().enumerate() {
        gateway.write_config(file);
        gateway.signal("-HUP");
        let rejections = || {
            let log = std::fs::read_to_string(gateway.log_path()).unwrap();
            log.lines().filter(|line| line.contains("the configuration stays as it was")).count()
        };
        let end = std::time::Instant::now() + peers::TEST_TIMEOUT;
        while rejections() <= n {
            assert!(std::time::Instant::now() < end, "file {n} was used");
            std::thread::sleep(Duration::from_millis(2));
        }
    }
    // The gateway still uses its directory.
    directory.set_hosts(2, &[("s-1", host.address, 0)]);
    gateway.wait_for_log("list serial=2");
    let mut client = gateway.connect();
    client.send_request("check", "3000", 1);
    assert_eq!(client.next_answer(), (1, 0));
    assert_eq!(invoke_count(&other), 0);
}

#[test]
fn an_unusable_configuration_exits_with_2_and_one_line_that_names_the_setting() {
    let (host, directory) = (start_host(answer_ok), Directory::new(1));
    let valid_config = one_host(&host, &directory, "load");
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
        assert!(valid_config.contains(from));
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("config.json");
        std::fs::write(&file, valid_config.replace(from, to)).unwrap();
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_cresswheel"));
        let done = command.arg("platform").env("NODE_CONFIG", &file).output().unwrap();
        let output = String::from_utf8_lossy(&done.stderr).into_owned();
        assert_eq!(done.status.code(), Some(2), "{to}: {output}");
        assert!(output.lines().count() == 1 && output.contains(named), "{to}: {output}");
    }
}

#[test]
fn a_request_not_answered_within_its_client_timeout_gets_an_answer_from_the_gateway() {
    let script =
        |name: &str, _: usize| if name == "invoke" { HostAction::Nothing } else { answer_ok(name, 0) };
    let (host, directory) = (start_host(script), Directory::new(1));
    let gateway = Gateway::new(&[("s-1", &host)], &directory, "load");
    let mut client = gateway.connect();
    client.send_request("post", "400", 1);
    assert_eq!(client.next_answer(), (1, 13), "it may have run");
}

// Guards against an id that runs twice when it comes again after its client has left.
#[test]
fn an_id_that_comes_again_after_its_client_left_runs_twice_only_if_that_is_safe() {
    for (class, wanted) in [("post", 13), ("check", 0)] {
        let (mut host, directory) = (ManualHost::new(), Directory::new(1));
        let gateway = Gateway::with_config(&one_host(&host.as_host(), &directory, "load"));
        let mut client = gateway.connect();
        client.send_request_with_id(1, &id(1), class, "5000");
        let (_, first) = host.next_command_named("invoke");
        assert_eq!(first[1], id(1));
        // The host has it, and may run it.
        client.reset();
        let mut again = gateway.connect();
        std::thread::sleep(AFTER_CLIENT_LEFT);
        again.send_request_with_id(1, &id(1), class, "5000");
        if wanted == 0 {
            let (connection, second) = host.next_command_named("invoke");
            assert_eq!(second[1], id(1));
            host.send_answer(connection, &id(1), "OK", "rivals=1", b"out");
        }
        assert_eq!(again.next_answer(), (1, wanted), "{class}");
        // Another id is served as always.
        again.send_request_with_id(2, &id(2), class, "5000");
        let (connection, other) = host.next_command_named("invoke");
        assert_eq!(other[1], id(2), "{class}");
        host.send_answer(connection, &id(2), "OK", "rivals=1", b"out");
        assert_eq!(again.next_answer(), (2, 0), "{class}");
    }
}
