//! Many gateways of one fleet killed at the same moment and started again under load, with a directory that is late.
//!
//! Readiness is judged by order, never by a clock: the directory is withheld, and a gateway that knows hosts from its
//! configuration has to be ready without it. The times that the restarts took are printed (`--nocapture`).

mod peers;

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use cresswheel_platform_wire::client::{FromGateway, encode_bare};
use peers::{Client, Directory, Host, Node, config, good, host};

/// How long a client of the background load waits before it connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(5);
/// Stream of the question whether a gateway is ready.
const READY_STREAM: u32 = 9;

/// Clients that keep asking, one for each gateway, and connect again whenever their connection ends.
struct Load {
    stop: Arc<AtomicBool>,
    served: Arc<AtomicU64>,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    fn on(addresses: &[SocketAddr]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let served = Arc::new(AtomicU64::new(0));
        let start = |(number, address): (usize, &SocketAddr)| {
            let (stop, served, address) = (stop.clone(), served.clone(), *address);
            std::thread::spawn(move || keep_asking(number as u64, address, &stop, &served))
        };
        let clients = addresses.iter().enumerate().map(start).collect();
        Self { stop, served, clients }
    }

    fn served(&self) -> u64 {
        self.served.load(Ordering::SeqCst)
    }

    /// Waits until so many more requests were served.
    fn serves(&self, more: u64) {
        let (from, end) = (self.served(), Instant::now() + peers::PATIENCE);
        while self.served() < from + more {
            assert!(Instant::now() < end, "{} served of {more} more", self.served() - from);
            std::thread::sleep(RECONNECT_PAUSE);
        }
    }

    fn end(self) {
        self.stop.store(true, Ordering::SeqCst);
        for client in self.clients {
            client.join().unwrap();
        }
    }
}

fn keep_asking(number: u64, address: SocketAddr, stop: &AtomicBool, served: &AtomicU64) {
    let mut connections = 0;
    while !stop.load(Ordering::SeqCst) {
        std::thread::sleep(RECONNECT_PAUSE);
        let Ok(socket) = TcpStream::connect(address) else { continue };
        connections += 1;
        ask_until_it_breaks(Client::of(socket), number << 16 | connections, stop, served);
    }
}

fn ask_until_it_breaks(mut client: Client, salt: u64, stop: &AtomicBool, served: &AtomicU64) {
    while !stop.load(Ordering::SeqCst) && client.try_ask("check", "3000", salt) {
        match client.next() {
            Some(FromGateway::Answer(_, 0, ..)) => served.fetch_add(1, Ordering::SeqCst),
            Some(_) => continue,
            None => return,
        };
    }
}

/// Waits until a gateway says that it is ready; gives the time since `started`.
fn ready(node: &Node, started: Instant) -> Duration {
    let mut client = node.client();
    loop {
        let mut question = Vec::new();
        encode_bare(&mut question, true, READY_STREAM);
        client.send(&question);
        match client.next() {
            Some(FromGateway::Ready(READY_STREAM, 0)) => return started.elapsed(),
            Some(FromGateway::Ready(..)) => std::thread::sleep(RECONNECT_PAUSE),
            other => panic!("no word about being ready: {other:?}"),
        }
        assert!(started.elapsed() < peers::PATIENCE, "it never was ready");
    }
}

fn started_at(configuration: &str, address: SocketAddr) -> Node {
    Node::begun(&configuration.replace("127.0.0.1:0", &address.to_string()))
}

/// Kills all gateways at once and starts them again on their ports.
fn kill_and_start(nodes: Vec<Node>, configuration: &str) -> (Vec<Node>, Instant) {
    let addresses: Vec<SocketAddr> = nodes.iter().map(|node| node.at).collect();
    for node in &nodes {
        node.signal("-KILL");
    }
    for mut node in nodes {
        assert_eq!(node.ends(), None, "killed, not ended by itself");
    }
    let start = Instant::now();
    let begun: Vec<Node> = addresses.iter().map(|address| started_at(configuration, *address)).collect();
    (begun.into_iter().map(Node::listens).collect(), start)
}

/// Asks each gateway at the same time when it is ready; gives their times in order.
fn times_to_ready(nodes: &[Node], start: Instant) -> Vec<Duration> {
    let times = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for node in nodes {
            scope.spawn(|| {
                let time = ready(node, start);
                times.lock().unwrap().push(time);
            });
        }
    });
    let mut times = times.into_inner().unwrap();
    times.sort_unstable();
    times
}

fn print(what: &str, times: &[Duration]) {
    let nine_in_ten = times[times.len() * 9 / 10];
    let last = times[times.len() - 1];
    println!(
        "{} gateways {what}: nine in ten ready after {nine_in_ten:?}, the last after {last:?}",
        times.len()
    );
}

fn fleet(count: usize, one: &Host, directory: &Directory) -> (Vec<Node>, String) {
    let configuration = config(&[("s-1".to_owned(), one.at)], directory.at, "load");
    ((0..count).map(|_| Node::with(&configuration)).collect(), configuration)
}

fn killed_at_once_they_are_ready_before_the_directory_speaks(count: usize) {
    let (one, directory) = (host(good), Directory::new(1));
    let (nodes, configuration) = fleet(count, &one, &directory);
    let load = Load::on(&nodes.iter().map(|node| node.at).collect::<Vec<_>>());
    load.serves(10 * count as u64);
    let (nodes, start) = kill_and_start(nodes, &configuration);
    print("with known hosts", &times_to_ready(&nodes, start));
    load.serves(10 * count as u64);
    load.end();
    assert!(directory.list.lock().unwrap().1.is_empty(), "the directory has told of no host all the while");
}

fn without_known_hosts_they_are_ready_once_the_directory_speaks(count: usize) {
    let (one, directory) = (host(good), Directory::new(1));
    let (nodes, _) = fleet(count, &one, &directory);
    let load = Load::on(&nodes.iter().map(|node| node.at).collect::<Vec<_>>());
    load.serves(10 * count as u64);
    let (nodes, _) = kill_and_start(nodes, &config(&[], directory.at, "load"));
    for node in &nodes {
        let mut client = node.client();
        let mut question = Vec::new();
        encode_bare(&mut question, true, READY_STREAM);
        client.send(&question);
        let answer = client.next();
        assert!(matches!(answer, Some(FromGateway::Ready(READY_STREAM, code)) if code != 0), "{answer:?}");
    }
    let told = Instant::now();
    directory.tell(2, &[("s-1", one.at, 0)]);
    print("after a late directory", &times_to_ready(&nodes, told));
    load.serves(10 * count as u64);
    load.end();
}

#[test]
fn twenty_gateways_killed_at_once_are_ready_before_the_directory_speaks() {
    killed_at_once_they_are_ready_before_the_directory_speaks(20);
}

#[test]
fn thirty_gateways_killed_at_once_are_ready_before_the_directory_speaks() {
    killed_at_once_they_are_ready_before_the_directory_speaks(30);
}

#[test]
fn twenty_gateways_without_known_hosts_are_ready_once_the_directory_speaks() {
    without_known_hosts_they_are_ready_once_the_directory_speaks(20);
}

#[test]
fn thirty_gateways_without_known_hosts_are_ready_once_the_directory_speaks() {
    without_known_hosts_they_are_ready_once_the_directory_speaks(30);
}
