//! What comes over the wires that is odd, broken or hostile, and that it hurts its own connection alone.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::Receiver;
use std::time::Duration;

use common::*;
use cresswheel_protocol::{Ending, Message};
use cresswheel_rehearsal::Client;

/// Reads one response: its head, its body.
fn response(socket: &mut TcpStream) -> (String, String) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        assert_eq!(socket.read(&mut byte).unwrap(), 1, "{:?}", String::from_utf8_lossy(&head));
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |n| n.parse().unwrap())];
    socket.read_exact(&mut body).unwrap();
    (head, String::from_utf8(body).unwrap())
}

fn invoke(lines: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /v1/functions/f/invoke HTTP/1.1\r\nhost: x\r\n{lines}content-length: {length}\r\n\r\n{body}"
    )
}

#[test]
fn pipelined_requests_are_answered_in_their_order() {
    let bed = Bed::new(&[good_worker()]);
    let mut socket = bed.http();
    let call = invoke("x-class: check\r\n", "a");
    let all = format!(
        "{call}GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n{call}GET /v1/calls/none HTTP/1.1\r\nhost: x\r\n\r\n"
    );
    socket.write_all(all.as_bytes()).unwrap();
    let statuses: Vec<String> = (0..4).map(|_| response(&mut socket).0[9..12].to_owned()).collect();
    assert_eq!(statuses, ["200", "200", "200", "404"]);
}

#[test]
fn a_deferred_call_over_http_is_accepted_and_fetched() {
    let bed = Bed::new(&[good_worker()]);
    let mut socket = bed.http();
    socket.write_all(invoke("x-class: post\r\nprefer: respond-async\r\n", "a").as_bytes()).unwrap();
    let (head, _) = response(&mut socket);
    assert!(head.starts_with("HTTP/1.1 202"), "{head}");
    let place = head.lines().find_map(|line| line.strip_prefix("location: ")).unwrap().to_owned();
    write!(socket, "GET {place}?wait_ms=5000 HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    let (head, body) = response(&mut socket);
    assert!(head.starts_with("HTTP/1.1 200") && head.contains("x-status: served"), "{head}");
    assert_eq!(body, "out");
}

#[test]
fn a_body_that_waits_for_100_continue_and_chunks_are_taken() {
    let bed = Bed::new(&[good_worker()]);
    let mut socket = bed.http();
    let head = "POST /v1/functions/f/invoke HTTP/1.1\r\nhost: x\r\nx-class: check\r\n\
        expect: 100-continue\r\ntransfer-encoding: chunked\r\n\r\n";
    socket.write_all(head.as_bytes()).unwrap();
    assert!(response(&mut socket).0.starts_with("HTTP/1.1 100"));
    socket.write_all(b"3\r\nabc\r\n0\r\n\r\n").unwrap();
    assert!(response(&mut socket).0.starts_with("HTTP/1.1 200"));
}

/// A worker that serves everything at once, and the traces of what it runs.
fn recording_worker() -> (SocketAddr, Receiver<String>) {
    let (listener, at) = listener();
    let (record, runs) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        loop {
            let mut worker = Played::accept(&listener);
            let record = record.clone();
            std::thread::spawn(move || {
                loop {
                    let (attempt, trace, _) = worker.run();
                    record.send(trace).unwrap();
                    worker.ran(attempt, Ending::Ok);
                }
            });
        }
    });
    (at, runs)
}

/// Guards against the body of a request with an unreadable length being run as a call of its own, and against a
/// call that runs without the idempotency key that its client sent.
#[test]
fn a_request_with_an_unreadable_header_runs_nothing() {
    for holders in [0, 1] {
        let (at, runs) = recording_worker();
        let bed = Bed::with(&[at], &format!("holders = {holders}"), "");
        let hidden = invoke("x-class: post\r\nx-trace: hidden\r\n", "pay");
        let start =
            b"POST /v1/functions/f/invoke HTTP/1.1\r\nhost: x\r\nx-class: check\r\nx-trace: outer\r\n";
        let length = format!("content-length: {}", hidden.len());
        let framing = [
            ([length.as_bytes(), b"\xa0"].concat(), "400"),
            ([length.as_bytes(), b"\xc2\xa0"].concat(), "400"),
            (b"transfer-encoding: chunked\xa0".to_vec(), "501"),
        ];
        for (line, status) in framing {
            let mut socket = bed.http();
            socket.write_all(&[start, &line[..], b"\r\n\r\n", hidden.as_bytes()].concat()).unwrap();
            assert_eq!(&response(&mut socket).0[9..12], status, "{line:?}, {holders} holders");
            assert_eq!(socket.read(&mut [0; 100]).unwrap(), 0, "the connection is closed");
        }
        let mut socket = bed.http();
        let key = b"idempotency-key: d\xe9cembre-4711\r\ncontent-length: 0\r\n\r\n";
        socket.write_all(&[start, &key[..]].concat()).unwrap();
        assert_eq!(&response(&mut socket).0[9..12], "400", "{holders} holders");
        // The connection is still usable, and no call but this one has reached the worker.
        socket.write_all(invoke("x-class: post\r\nx-trace: good\r\n", "pay").as_bytes()).unwrap();
        assert_eq!(&response(&mut socket).0[9..12], "200");
        assert_eq!(runs.try_iter().collect::<Vec<_>>(), ["good"], "{holders} holders");
    }
}

#[test]
fn what_http_clients_get_wrong_is_said_and_closed() {
    let bed = Bed::new(&[good_worker()]);
    let cases = [
        (invoke("x-class: nonsense\r\n", ""), "400", true),
        (invoke("x-class: check\r\nx-deadline-ms: soon\r\n", ""), "400", true),
        ("GET /nowhere HTTP/1.1\r\nhost: x\r\n\r\n".into(), "404", true),
        ("GET /v1/functions/f/invoke HTTP/1.1\r\nhost: x\r\n\r\n".into(), "405", true),
        (invoke("x-class: check\r\ntransfer-encoding: chunked\r\n", ""), "400", false),
        ("nonsense\r\n\r\n".into(), "400", false),
        (format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "a".repeat(20_000)), "431", false),
    ];
    for (text, status, goes_on) in cases {
        let mut socket = bed.http();
        socket.write_all(text.as_bytes()).unwrap();
        let (head, words) = response(&mut socket);
        assert_eq!(&head[9..12], status, "{text:.60}: {words}");
        assert_eq!(!head.contains("connection: close"), goes_on, "{text:.60}");
        if goes_on {
            socket.write_all(invoke("x-class: check\r\n", "").as_bytes()).unwrap();
            assert!(response(&mut socket).0.starts_with("HTTP/1.1 200"));
        } else {
            assert_eq!(socket.read(&mut [0; 9]).unwrap(), 0, "closed");
        }
    }
}

#[test]
fn garbage_hurts_its_own_connection_alone() {
    let bed = Bed::new(&[good_worker()]);
    let mut other = bed.client();
    let huge = [0xff, 0xff, 0xff, 0xff, 1, 10];
    let version = [0, 0, 0, 2, 9, 1];
    let no_hello = [0, 0, 0, 10, 1, 4, 0, 0, 0, 0, 0, 0, 0, 1];
    let cases: [(&[u8], &str); 3] = [
        (&huge, "4294967299 bytes"),
        (&version, "protocol version 9"),
        (&no_hello, "a connection begins with Hello"),
    ];
    for (number, (bytes, words)) in cases.iter().enumerate() {
        let mut socket = TcpStream::connect(bed.gateway.main).unwrap();
        socket.set_read_timeout(Some(PATIENCE)).unwrap();
        socket.write_all(bytes).unwrap();
        let mut said = Vec::new();
        socket.read_to_end(&mut said).unwrap();
        assert!(String::from_utf8_lossy(&said).contains(words), "{said:?}");
        other.send(&call(number as u64, "post", "f", 3_000)).unwrap();
        assert_eq!(answer(&mut other).1, "served");
    }
    let mut wrong = bed.client();
    wrong.send(&Message::Follow {}).unwrap();
    assert!(matches!(wrong.receive().unwrap(), Message::Bye { reason } if reason.contains("Follow")));
}

#[test]
fn a_message_that_stays_half_sent_is_closed_however_slowly_it_drips() {
    let bed = Bed::with(&[good_worker()], "", "half_request = ms(150)");
    let mut drips = TcpStream::connect(bed.gateway.main).unwrap();
    let mut http = bed.http();
    drips.write_all(&[0, 0, 0, 50, 1, 10]).unwrap();
    http.write_all(b"POST /v1").unwrap();
    let mut other = bed.client();
    let mut closed = (false, false);
    for number in 0..200 {
        // A byte now and then: never idle, never whole.
        closed.0 |= drips.write_all(&[0]).is_err();
        closed.1 |= http.write_all(b"x").is_err();
        other.send(&call(number, "post", "f", 3_000)).unwrap();
        assert_eq!(answer(&mut other).1, "served");
        if closed == (true, true) {
            return;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("still open: {closed:?}");
}

#[test]
fn a_client_that_does_not_read_is_not_read_and_nobody_waits_for_it() {
    let bed = Bed::with(&[good_worker()], "", "client_backlog = kb(8), calls_per_connection = 100000");
    let mut deaf = bed.client();
    // Asks on and on in a thread of its own, which its blocked sends hold up until the gateway is gone.
    let asks = std::thread::spawn(move || {
        let asks = (0..).find(|number| {
            deaf.send(&Message::Await { number: *number, id: "none".into(), wait: 0 }).is_err()
        });
        asks.unwrap_or(0)
    });
    let mut other = bed.client();
    let mut number = 0;
    while bed.metric("cresswheel_paused_clients") < 1.0 {
        number += 1;
        other.send(&call(number, "post", "f", 3_000)).unwrap();
        assert_eq!(answer(&mut other).1, "served");
        assert!(!asks.is_finished(), "its connection was closed, not paused");
    }
    for number in number + 1..number + 20 {
        other.send(&call(number, "post", "f", 3_000)).unwrap();
        assert_eq!(answer(&mut other).1, "served");
    }
    drop(bed);
    assert!(asks.join().unwrap() > 0);
}

#[test]
fn deferred_calls_keys_cancels_and_probes_over_the_main_protocol() {
    let (listener, at) = listener();
    let bed = Bed::new(&[at]);
    let mut client = bed.client();
    let keyed = |number, deferred| match call(number, "post", "f", 4_000) {
        Message::Call { function, class, tenant, trace, time_left, shape, body, .. } => {
            let (key, account) = ("k".into(), None);
            Message::Call {
                number,
                deferred,
                function,
                class,
                tenant,
                key,
                trace,
                time_left,
                shape,
                body,
                account,
            }
        }
        other => other,
    };
    client.send(&keyed(1, true)).unwrap();
    let Message::Accepted { number: 1, id } = client.receive().unwrap() else { panic!("not accepted") };
    let mut played = Played::accept(&listener);
    let (attempt, ..) = played.run();
    // A repeat by key joins; one that is cancelled gets nothing; a probe is answered meanwhile.
    let mut again: Client = bed.client();
    again.send(&keyed(7, false)).unwrap();
    again.send(&keyed(8, false)).unwrap();
    again.send(&Message::Cancel { number: 8 }).unwrap();
    again.send(&Message::Probe { number: 5 }).unwrap();
    assert!(matches!(again.receive().unwrap(), Message::Probed { number: 5, held: 1, .. }));
    played.ran(attempt, Ending::Ok);
    assert_eq!(answer(&mut again), (7, "served".into(), String::new()));
    client.send(&Message::Await { number: 2, id, wait: 4_000_000 }).unwrap();
    assert_eq!(answer(&mut client), (2, "served".into(), String::new()));
    again.send(&Message::Probe { number: 6 }).unwrap();
    assert!(
        matches!(again.receive().unwrap(), Message::Probed { number: 6, .. }),
        "nothing for the cancelled"
    );
}
