//! Many large bodies and answers at once, with and without acceptor processes: what waits for a process or worker
//! that reads closes nobody's connection.

mod common;
mod gateway_peers;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

use common::*;
use cresswheel_protocol::{Ending, Message};
use gateway_peers::{freeze, logged_times, processes_with_connections, ran, response, wake};

/// Bytes of a large body or answer: less than the largest body.
const LARGE: usize = 4_000_000;
/// A limit on waiting output that a few of these exceed.
const LIMITS: &str = "out_buffer = mb(8)";
const CALLS: usize = 24;

/// The connection that an attempt came on, for its answer, and its number.
type HeldAttempt = (Sender<Message>, u64);

/// A worker that answers a call at once, except those of the class 'post': it answers these with [`LARGE`] bytes once
/// it is told to, the last one first. The receiver gets the length of each body that it was sent.
fn worker_that_waits() -> (SocketAddr, Sender<()>, Receiver<usize>) {
    let (listener, at) = listener();
    let (release, released) = channel();
    let (record, bodies) = channel();
    let held: Arc<Mutex<Vec<HeldAttempt>>> = Arc::default();
    let all_held = held.clone();
    std::thread::spawn(move || {
        while released.recv().is_ok() {
            for (answers, attempt) in all_held.lock().unwrap().drain(..).rev() {
                answers.send(ran(attempt, Ending::Ok, &vec![b'y'; LARGE])).unwrap();
            }
        }
    });
    std::thread::spawn(move || {
        loop {
            let mut reader = Played::accept(&listener);
            let mut writer = reader.another();
            let (answers, to_write) = channel();
            // Written by a thread of its own, so that the worker always reads.
            std::thread::spawn(move || to_write.iter().for_each(|answer| writer.send(&answer)));
            let (held, record) = (held.clone(), record.clone());
            std::thread::spawn(move || {
                while let Some(message) = reader.next() {
                    let Message::Run { attempt, class, body, .. } = message else { continue };
                    let is_held = class == "post";
                    if is_held {
                        // First: whoever receives the length may have the held attempts answered.
                        held.lock().unwrap().push((answers.clone(), attempt));
                    }
                    record.send(body.len()).unwrap();
                    if !is_held {
                        answers.send(ran(attempt, Ending::Ok, b"out")).unwrap();
                    }
                }
            });
        }
    });
    (at, release, bodies)
}

/// A client whose connection is accepted while this process cannot.
fn client_beside(bed: &Bed, process: u32) -> TcpStream {
    freeze(&[process]);
    let mut client = bed.http();
    client.write_all(b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    assert_eq!(response(&mut client).unwrap().0, 200);
    wake(&[process]);
    client
}

/// Whether the process holds the other end of this connection.
fn holds(process: u32, client: &TcpStream) -> bool {
    let end = |address: SocketAddr| format!(":{:04X}", address.port());
    let (local, remote) = (end(client.peer_addr().unwrap()), end(client.local_addr().unwrap()));
    let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let columns = sockets.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let mut inode = columns
        .filter(|line| line[1].ends_with(&local) && line[2].ends_with(&remote))
        .map(|line| line[9].to_owned());
    let link = format!("socket:[{}]", inode.next().expect("a connection"));
    let descriptors = std::fs::read_dir(format!("/proc/{process}/fd")).unwrap();
    let mut links = descriptors.filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok());
    links.any(|found| found.as_os_str() == link.as_str())
}

fn post(socket: &mut TcpStream, class: &str, body: &[u8]) {
    let head = format!(
        "POST /v1/functions/f/invoke HTTP/1.1\r\nhost: x\r\nx-class: {class}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    socket.write_all(head.as_bytes()).unwrap();
    socket.write_all(body).unwrap();
}

/// Guards against an acceptor process that is closed, with all its clients, since many large answers wait for it.
#[test]
fn many_large_answers_at_once_reach_all_clients() {
    for holders in [0, 1, 2] {
        let (at, release, bodies) = worker_that_waits();
        let bed = Bed::with(&[at], &format!("holders = {holders}"), LIMITS);
        let mut clients: Vec<_> = (0..CALLS).map(|_| bed.http()).collect();
        clients.iter_mut().for_each(|client| post(client, "post", b"in"));
        (0..CALLS).for_each(|_| _ = bodies.recv_timeout(PATIENCE).unwrap());
        release.send(()).unwrap();
        for client in &mut clients {
            let (status, body) = response(client).expect("an answer");
            assert_eq!((status, body.len()), (200, LARGE), "{holders} holders");
        }
        assert_eq!(bed.metric("cresswheel_holder_restarts_total"), 0.0);
    }
}

/// Guards against a client that is closed although it reads, since the answers that waited for its first one are due at
/// once.
#[test]
fn pipelined_large_answers_reach_a_client_that_reads() {
    const PIPELINED: usize = 6;
    for holders in [0, 1] {
        let (at, release, bodies) = worker_that_waits();
        // On one connection, so that the first call is answered last.
        let limits = format!("{LIMITS}, worker_connections = 1");
        let bed = Bed::with(&[at], &format!("holders = {holders}"), &limits);
        let mut client = bed.http();
        for _ in 0..PIPELINED {
            post(&mut client, "post", b"in");
            bodies.recv_timeout(PATIENCE).unwrap();
        }
        release.send(()).unwrap();
        for number in 0..PIPELINED {
            let (status, body) = response(&mut client).unwrap_or_else(|| panic!("no answer {number}"));
            assert_eq!((status, body.len()), (200, LARGE), "{holders} holders");
        }
        post(&mut client, "check", b"in");
        assert_eq!(
            response(&mut client).map(|(status, _)| status),
            Some(200),
            "the connection is still usable"
        );
    }
}

/// Guards against a worker's connection, or that of an acceptor process, that is closed with all the calls on it since
/// many large bodies wait for it.
#[test]
fn many_large_bodies_at_once_reach_one_worker() {
    for holders in [0, 1] {
        let (at, _release, bodies) = worker_that_waits();
        let limits = format!("{LIMITS}, worker_connections = 1, worker_streams = 100");
        let bed = Bed::with(&[at], &format!("holders = {holders}"), &limits);
        let mut clients: Vec<_> = (0..CALLS).map(|_| bed.http()).collect();
        // All but the last byte of each, so that all become calls at once.
        let body = vec![b'x'; LARGE];
        for client in &mut clients {
            let head = format!(
                "POST /v1/functions/f/invoke HTTP/1.1\r\nhost: x\r\nx-class: check\r\ncontent-length: {LARGE}\r\n\r\n"
            );
            client.write_all(head.as_bytes()).unwrap();
            client.write_all(&body[1..]).unwrap();
        }
        let processes = processes_with_connections(&bed);
        freeze(&processes);
        clients.iter_mut().for_each(|client| client.write_all(b"x").unwrap());
        wake(&processes);
        for client in &mut clients {
            assert_eq!(response(client).map(|(status, _)| status), Some(200), "{holders} holders");
        }
        assert_eq!(bodies.try_iter().collect::<Vec<_>>(), [LARGE; CALLS], "each ran once");
    }
}

/// Guards against one acceptor process that has stopped keeping the answers of workers from all others.
#[test]
fn a_stopped_acceptor_process_delays_no_calls_at_others() {
    let (at, release, bodies) = worker_that_waits();
    let bed = Bed::with(&[at], "holders = 2", LIMITS);
    // Stopped any earlier, a process would keep the gateway in the system call that starts it.
    logged_times(&bed, "acceptor process started", 2);
    let processes = processes_with_connections(&bed);
    let [stopped, other] = processes[..] else { panic!("{processes:?}") };
    let mut there: Vec<_> = (0..6).map(|_| client_beside(&bed, other)).collect();
    let mut elsewhere = client_beside(&bed, stopped);
    assert!(there.iter().all(|client| holds(stopped, client)) && holds(other, &elsewhere));
    there.iter_mut().for_each(|client| post(client, "post", b"in"));
    there.iter().for_each(|_| _ = bodies.recv_timeout(PATIENCE).unwrap());
    freeze(&[stopped]);
    release.send(()).unwrap();
    // It takes nothing while more than `out_buffer` waits for it, so it is replaced. Until then, others are served.
    until("the stopped process is replaced", || {
        post(&mut elsewhere, "check", b"in");
        assert_eq!(response(&mut elsewhere).unwrap().0, 200);
        bed.log().contains("acceptor process exited")
    });
}

// Guards against sound clients that are closed without an answer where the limit on partial messages has room for what
// they send, but its part in one acceptor process has not.
#[test]
fn large_bodies_within_the_limit_on_partial_messages_are_answered_with_three_acceptor_processes() {
    let bed = Bed::with(&[good_worker()], "holders = 3", "half_bytes = mb(10)");
    let head = format!(
        "POST /v1/functions/f/invoke HTTP/1.1\r\nhost: x\r\nx-class: check\r\ncontent-length: {LARGE}\r\n\r\n"
    );
    let (first, second) = (vec![b'x'; LARGE - 1_000], vec![b'x'; 1_000]);
    let mut clients: Vec<TcpStream> = (0..2).map(|_| bed.http()).collect();
    let mut sent = [true, true];
    for (client, sent) in clients.iter_mut().zip(&mut sent) {
        *sent &= client.write_all(head.as_bytes()).and_then(|()| client.write_all(&first)).is_ok();
    }
    // Both are received in part: 8 of 10 MB.
    std::thread::sleep(std::time::Duration::from_millis(500));
    let mut answered = 0;
    for (client, sent) in clients.iter_mut().zip(&mut sent) {
        *sent &= client.write_all(&second).is_ok();
        // A closed connection may show as a reset, so only the status line is read.
        let mut status = [0; 12];
        answered += usize::from(*sent && std::io::Read::read_exact(client, &mut status).is_ok());
    }
    assert_eq!(answered, 2, "answers to two posts of {LARGE} bytes");
}
