//! Calls and answers of the largest sizes, with and without acceptor processes, beside calls that others have in
//! flight.

mod common;

use std::io::{Read, Write};
use std::net::SocketAddr;

use common::*;
use cresswheel_protocol::{Ending, Limits, Message};

const CALLS_IN_FLIGHT: u64 = 8;

/// A worker with the default limit on frames. It answers calls of the class 'post' once the function 'release' is
/// called, and others at once; their function names the length of the answer's body, or is 'full'.
fn holding_worker() -> SocketAddr {
    let (listener, at) = listener();
    std::thread::spawn(move || {
        loop {
            let mut worker = Played::accept(&listener);
            std::thread::spawn(move || {
                let mut held = Vec::new();
                while let Some(message) = worker.next() {
                    let Message::Run { attempt, function, class, .. } = message else { continue };
                    if class == "post" {
                        held.push(attempt);
                        continue;
                    }
                    let (ending, length) = match &*function {
                        "full" => (Ending::Full, Limits::default().largest_body() + 1),
                        other => (Ending::Ok, other.parse().unwrap_or(0)),
                    };
                    let body = vec![b'x'; length];
                    worker.send(&Message::Ran { attempt, ending, crowd: 0, body, origin: None });
                    if function == "release" {
                        held.drain(..).for_each(|attempt| worker.ran(attempt, Ending::Ok));
                    }
                }
            });
        }
    });
    at
}

/// Status, reason and length of the body of the answer to an HTTP call.
fn call_over_http(bed: &Bed, function: &str, class: &str, body: &[u8]) -> (u16, String, usize) {
    let mut socket = bed.http();
    let head = format!(
        "POST /v1/functions/{function}/invoke HTTP/1.1\r\nhost: x\r\nx-class: {class}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    socket.write_all(head.as_bytes()).unwrap();
    socket.write_all(body).unwrap();
    read_response(&mut socket)
}

fn read_response(socket: &mut impl Read) -> (u16, String, usize) {
    let mut received = Vec::new();
    let mut part = [0; 64 << 10];
    loop {
        if let Some(end) = received.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8(received[..end].to_vec()).unwrap();
            let header =
                |name: &str| head.lines().find_map(|line| line.strip_prefix(name)).map(str::to_owned);
            let length = header("content-length: ").map_or(0, |length| length.parse().unwrap());
            if received.len() >= end + 4 + length {
                let status = head.split(' ').nth(1).unwrap().parse().unwrap();
                return (status, header("x-reason: ").unwrap_or_default(), length);
            }
        }
        let count = socket.read(&mut part).unwrap();
        assert!(count > 0, "the connection ended without a whole answer");
        received.extend_from_slice(&part[..count]);
    }
}

/// Status, reason and length of the body of the answer to a call of the main protocol.
fn call_over_frames(bed: &Bed, function: &str, body: Vec<u8>) -> (String, String, usize) {
    let mut client = bed.client();
    let mut sized = call(1, "check", function, 5_000);
    if let Message::Call { body: default_body, .. } = &mut sized {
        *default_body = body;
    }
    client.send(&sized).unwrap();
    match client.receive_within(PATIENCE).unwrap() {
        Message::Answer { status, reason, body, .. } => (status.as_str().into(), reason, body.len()),
        other => panic!("expected an answer, got {other:?}"),
    }
}

/// Makes calls while others are in flight at the same gateway and worker, which must all be served in the end.
fn beside_calls_in_flight(holders: usize, calls: impl Fn(&Bed)) {
    let bed = Bed::with(&[holding_worker()], &format!("holders = {holders}"), "");
    let mut client = bed.client();
    for number in 1..=CALLS_IN_FLIGHT {
        client.send(&call(number, "post", "held", 5_000)).unwrap();
    }
    let mut http_clients = Vec::new();
    for _ in 0..CALLS_IN_FLIGHT {
        let mut socket = bed.http();
        let request = "POST /v1/functions/held/invoke HTTP/1.1\r\nhost: x\r\nx-class: post\r\ncontent-length: 2\r\n\r\nin";
        socket.write_all(request.as_bytes()).unwrap();
        http_clients.push(socket);
    }
    until("all calls in flight", || bed.metric("cresswheel_open_attempts") >= 2.0 * CALLS_IN_FLIGHT as f64);
    calls(&bed);
    assert_eq!(call_over_frames(&bed, "release", Vec::new()).0, "served");
    for _ in 0..CALLS_IN_FLIGHT {
        assert_eq!(answer(&mut client).1, "served");
    }
    for mut socket in http_clients {
        assert_eq!(read_response(&mut socket).0, 200);
    }
}

/// Guards against review case 3: a call with the largest body was longer as a frame than frames may be. It ended
/// its acceptor process or its worker's connection, with all calls of others on it.
#[test]
fn a_call_that_fits_no_frame_is_refused_alone() {
    let limits = Limits::default();
    for holders in [0, 2] {
        beside_calls_in_flight(holders, |bed| {
            let largest = vec![b'x'; limits.largest_body()];
            assert_eq!(call_over_http(bed, "0", "check", &largest).0, 200, "{holders} holders");
            assert_eq!(call_over_frames(bed, "0", largest).0, "served", "{holders} holders");
            let frame = vec![b'x'; limits.frame];
            assert_eq!(call_over_http(bed, "0", "check", &frame).0, 413, "{holders} holders");
            // As a frame from the client it is within the limit, but not as one to the worker.
            let (status, reason, _) = call_over_frames(bed, "0", vec![b'x'; limits.frame - 100]);
            assert_eq!((&*status, &*reason), ("refused", "body-too-long"), "{holders} holders");
        });
    }
}

/// Guards against the same on the way back: an answer that fits no frame costs its own call alone.
#[test]
fn an_answer_that_fits_no_frame_fails_its_call_alone() {
    let limits = Limits::default();
    for holders in [0, 2] {
        beside_calls_in_flight(holders, |bed| {
            let largest = limits.largest_body();
            assert_eq!(call_over_http(bed, &largest.to_string(), "check", b"in").2, largest);
            assert_eq!(call_over_frames(bed, &largest.to_string(), b"in".to_vec()).2, largest);
            for length in [largest + 1, limits.frame, 2 * limits.frame] {
                let (status, reason, _) = call_over_http(bed, &length.to_string(), "check", b"in");
                assert_eq!((status, &*reason), (502, "answer-too-long"), "{length} bytes, {holders} holders");
                let (status, reason, _) = call_over_frames(bed, &length.to_string(), b"in".to_vec());
                assert_eq!((&*status, &*reason), ("failed", "answer-too-long"), "{length} bytes");
            }
            // A long text beside a rejection changes nothing: the call never ran.
            let (status, reason, _) = call_over_frames(bed, "full", b"in".to_vec());
            assert_eq!((&*status, &*reason), ("refused", "full"));
        });
    }
}
