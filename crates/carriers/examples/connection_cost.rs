//! Measures what a gateway spends on connections to workers, by their number: resident memory, and processor
//! time of the search for idle connections. Each connection is established, has carried one attempt and is
//! idle.
//!
//! `cargo run --release -p cresswheel-carriers --example connection_cost`
//!
//! One process that accepts and holds connections stands for all workers. Each run is a process of its own;
//! its resident bytes don't include kernel memory. At most 8,000 connections per process, on loopback.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};

use cresswheel::WorkerId;
use cresswheel_carriers::{CarrierLimits, ConnectionPool, Payload};
use cresswheel_measure::{Series, resident_bytes, run_child_for_value, thread_cpu_time};
use cresswheel_transport::{EventLoop, EventLoopLimits, LoopEvent, Wire};

const CONNECTIONS: [usize; 5] = [200, 1_000, 2_000, 4_000, 8_000];
const RUNS: usize = 3;
const SEARCHES: usize = 20;
/// Connections opened concurrently: fewer than fit the listen backlog.
const MAX_CONNECTING: usize = 64;
const HOUR: u64 = 3_600_000_000;
const WORKERS: &str = "workers";

/// Accepts and holds connections until its standard input ends with the parent process.
fn run_workers() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    println!("{}", listener.local_addr().expect("an address"));
    std::thread::spawn(move || {
        let _held: Vec<_> = listener.incoming().flatten().collect();
    });
    let _ = std::io::stdin().lines().count();
}

fn start_workers() -> (Child, SocketAddr) {
    let exe = std::env::current_exe().expect("this program");
    let mut command = Command::new(exe);
    let mut child =
        command.arg(WORKERS).stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().expect("a process");
    let mut line = String::new();
    let out = child.stdout.take().expect("its output");
    BufReader::new(out).read_line(&mut line).expect("a line");
    let address = line.trim().parse().expect("an address");
    (child, address)
}

/// An event loop with connections to workers, each to a worker of its own.
struct Fixture {
    hub: EventLoop,
    carriers: ConnectionPool,
    limits: CarrierLimits,
}

impl Fixture {
    fn new() -> Self {
        let limits = CarrierLimits {
            wire: Wire::Frames,
            connections: 4,
            streams: 100,
            spread: 100,
            connect_timeout: 10_000_000,
            idle: HOUR,
        };
        Self {
            hub: EventLoop::new(EventLoopLimits::default()).expect("a hub"),
            carriers: ConnectionPool::default(),
            limits,
        }
    }

    fn connect(&mut self, address: SocketAddr, connections: std::ops::Range<usize>) {
        let mut connecting = 0;
        for number in connections {
            let worker = WorkerId::from(format!("worker-{number:05}").as_str());
            let cargo = Payload::Attempt(number as u64);
            let frame = |out: &mut Vec<u8>| out.extend([0; 150]);
            let to = (&worker, address);
            let connection =
                self.carriers.dispatch(&mut self.hub, &self.limits, to, (cargo, frame), |_| true, |_| {});
            connection.expect("a connection");
            connecting += 1;
            while connecting >= MAX_CONNECTING {
                connecting -= self.await_established();
            }
        }
        while connecting > 0 {
            connecting -= self.await_established();
        }
        // The frames are sent by now; the attempts end here.
        self.hub.wait(Some(self.hub.clock().now() + 50_000)).expect("a loop iteration");
        (0..self.carriers.connections())
            .for_each(|number| _ = self.carriers.complete(&self.hub, number as u64));
    }

    /// Runs one loop iteration; returns the number of connections established in it.
    fn await_established(&mut self) -> usize {
        self.hub.wait(Some(self.hub.clock().now() + 1_000_000)).expect("a loop iteration");
        let mut established = 0;
        while let Some(notice) = self.hub.next_event() {
            match notice {
                LoopEvent::Connected(connection) => {
                    self.carriers.mark_established(connection);
                    established += 1;
                }
                LoopEvent::Closed { why, .. } => panic!("a connection was lost: {why}"),
                _ => {}
            }
        }
        established
    }
}

/// Resident bytes of this many connections, and microseconds of one search for idle ones.
fn measure(connections: usize) -> (f64, f64) {
    let (mut child, address) = start_workers();
    let mut fixture = Fixture::new();
    fixture.connect(address, 0..50);
    let before = resident_bytes().expect("/proc");
    fixture.connect(address, 50..50 + connections);
    let grown = resident_bytes().expect("/proc") - before;
    let began = thread_cpu_time();
    for _ in 0..SEARCHES {
        fixture.carriers.close_idle(&mut fixture.hub, HOUR);
    }
    let search_us = (thread_cpu_time() - began).as_secs_f64() * 1e6 / SEARCHES as f64;
    drop(child.stdin.take());
    child.wait().expect("its end");
    (grown, search_us)
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match &arguments[..] {
        [word] if word == WORKERS => return run_workers(),
        [what, connections] => {
            let (bytes, search_us) = measure(connections.parse().expect("connections"));
            return println!("{}", if what == "bytes" { bytes } else { search_us });
        }
        _ => {}
    }
    for (what, name, unit) in [
        ("bytes", "memory of idle connections to workers", "resident bytes"),
        ("search", "a search for idle connections", "us"),
    ] {
        let mut series = Series::new(name, unit, "connections");
        for connections in CONNECTIONS {
            let child = [what.to_owned(), connections.to_string()];
            series
                .add(connections, (0..RUNS).map(|_| run_child_for_value(&child).expect("a child")).collect());
        }
        println!("{series}");
    }
}
