//! Clients that send pipelined HTTP calls at full speed beside ordinary ones, at a gateway process.

mod common;
mod gateway_peers;

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::{Bed, call, good_worker};
use cresswheel_protocol::{Message, Role, encode};
use gateway_peers::response;

const FLOODING: usize = 8;
const ORDINARY: usize = 8;
const FLOOD: Duration = Duration::from_secs(4);
/// So many calls later a call is canceled.
const CANCELED_AFTER: usize = 31;
/// A message of the largest body (4 MiB) that is received in part, and another one in hand.
const MEMORY_OF_A_CONNECTION_MB: u64 = 8;
/// Function names that the gateway may remember, and the memory of all at 2 KiB each.
const NAMES: &str = "functions = 10000";
const MEMORY_OF_NAMES_MB: u64 = 20;
const PAUSE: Duration = Duration::from_millis(200);
/// Calls prepared for each flooding connection; they are sent again and again.
const PREPARED: usize = 5_000;

fn post(function: &str, class: &str) -> Vec<u8> {
    let head = format!("POST /v1/functions/{function}/invoke HTTP/1.1\r\nhost: x\r\nx-class: {class}\r\n");
    format!("{head}content-length: 2\r\n\r\nin").into_bytes()
}

/// Writes prepared calls as fast as the kernel takes them, and reads what comes back.
fn send_at_full_speed(address: SocketAddr, (first, bytes): &(Vec<u8>, Vec<u8>), over: &AtomicBool) -> u64 {
    let mut socket = TcpStream::connect(address).unwrap();
    socket.write_all(first).unwrap();
    socket.set_write_timeout(Some(Duration::from_millis(50))).unwrap();
    let reading = socket.try_clone().unwrap();
    let reader = std::thread::spawn(move || std::io::copy(&mut &reading, &mut std::io::sink()));
    let (mut rest, mut written) = (&bytes[..], 0);
    while !over.load(Ordering::SeqCst) {
        match socket.write(&rest[..rest.len().min(64 << 10)]) {
            Ok(count) => {
                written += count as u64;
                rest = if count == rest.len() { &bytes[..] } else { &rest[count..] };
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    let _ = socket.shutdown(std::net::Shutdown::Both);
    let _ = reader.join();
    written
}

/// Calls every [`PAUSE`]; returns the status, body and time of each answer.
fn call_until_over(address: SocketAddr, number: usize, over: &AtomicBool) -> Vec<(u16, String, Duration)> {
    let mut socket = TcpStream::connect(address).unwrap();
    socket.set_read_timeout(Some(common::PATIENCE)).unwrap();
    let mut answers = Vec::new();
    while !over.load(Ordering::SeqCst) {
        let began = Instant::now();
        socket.write_all(&post(&format!("own-{number}"), "check")).unwrap();
        let (status, body) = response(&mut socket).expect("an answer");
        answers.push((status, body, began.elapsed()));
        std::thread::sleep(PAUSE.saturating_sub(began.elapsed()));
    }
    answers
}

fn memory_mb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() >> 10
}

/// What the flooding clients send.
#[derive(Clone, Copy, Debug)]
enum Kind {
    /// HTTP calls, each of a new function.
    NewFunctions,
    /// HTTP calls of one function.
    OneFunction,
    /// HTTP calls of a class that does not exist.
    UnknownClass,
    /// Calls of the main protocol, each of a new function.
    Frames,
    /// Calls of the main protocol, each of a new function and canceled 31 calls later.
    FramesCanceled,
}

impl Kind {
    /// The bytes that a connection sends first, and those that it sends again and again.
    fn prepare(self, connection: usize) -> (Vec<u8>, Vec<u8>) {
        let (mut first, mut out) = (Vec::new(), Vec::new());
        for n in 0..PREPARED {
            let function = format!("f-{connection}-{n}");
            match self {
                Self::NewFunctions => out.extend(post(&function, "check")),
                Self::OneFunction => out.extend(post("f", "check")),
                Self::UnknownClass => out.extend(post("f", "no-such-class")),
                Self::Frames | Self::FramesCanceled => {
                    encode(&call(n as u64, "check", &function, 1_300), &mut out);
                }
            }
            if matches!(self, Self::FramesCanceled) {
                let number = (n + PREPARED - CANCELED_AFTER) % PREPARED;
                encode(&Message::Cancel { number: number as u64 }, &mut out);
            }
        }
        if matches!(self, Self::Frames | Self::FramesCanceled) {
            let hello = Message::Hello { role: Role::Client, name: "flood".into(), zone: String::new() };
            encode(&hello, &mut first);
        }
        (first, out)
    }

    fn is_http(self) -> bool {
        !matches!(self, Self::Frames | Self::FramesCanceled)
    }
}

/// Plays ordinary HTTP clients beside a flood, and checks that they are served and that the memory stays bounded.
fn ordinary_clients_are_served_beside(kind: Kind) {
    let bed = Bed::with(&[good_worker()], "", NAMES);
    let over = Arc::<AtomicBool>::default();
    let address = if kind.is_http() { bed.gateway.http.unwrap() } else { bed.gateway.main };
    let memory_before = memory_mb(bed.gateway.id());
    let flooding: Vec<_> = (0..FLOODING)
        .map(|connection| {
            let (bytes, over) = (kind.prepare(connection), over.clone());
            std::thread::spawn(move || send_at_full_speed(address, &bytes, &over))
        })
        .collect();
    let address = bed.gateway.http.unwrap();
    let ordinary: Vec<_> = (0..ORDINARY)
        .map(|number| {
            let over = over.clone();
            std::thread::spawn(move || call_until_over(address, number, &over))
        })
        .collect();
    std::thread::sleep(FLOOD);
    over.store(true, Ordering::SeqCst);
    let written: u64 = flooding.into_iter().map(|thread| thread.join().unwrap()).sum();
    let answers: Vec<_> = ordinary.into_iter().flat_map(|thread| thread.join().unwrap()).collect();
    let served = answers.iter().filter(|(status, ..)| *status == 200).count();
    let slowest = answers.iter().map(|(.., took)| *took).max().unwrap();
    let grown = memory_mb(bed.gateway.id()).saturating_sub(memory_before);
    let told = format!(
        "{kind:?}: {} MB sent, {served} of {} served, slowest {slowest:?}, {grown} MiB more",
        written >> 20,
        answers.len()
    );
    println!("{told}");
    assert!(written > 1 << 20, "no flood: {told}");
    assert!(2 * served >= answers.len(), "fewer than half served: {told}");
    let allowed = FLOODING as u64 * MEMORY_OF_A_CONNECTION_MB + MEMORY_OF_NAMES_MB;
    assert!(grown <= allowed, "memory grew: {told}");
}

// Guards against refusing ordinary calls, and memory that grows, beside clients that pipeline calls at full speed.
#[test]
fn ordinary_clients_are_served_beside_clients_that_pipeline_calls_at_full_speed() {
    for kind in [Kind::NewFunctions, Kind::OneFunction, Kind::UnknownClass] {
        ordinary_clients_are_served_beside(kind);
    }
}

// Guards against the same from clients of the main protocol.
#[test]
fn ordinary_clients_are_served_beside_clients_that_send_frames_at_full_speed() {
    for kind in [Kind::Frames, Kind::FramesCanceled] {
        ordinary_clients_are_served_beside(kind);
    }
}
