//! Many gateways of one fleet are killed at the same moment and started again under load, while the directory
//! is late.
//!
//! Readiness is checked by order, not by a clock: the directory doesn't answer, and a gateway that knows
//! hosts from its configuration has to be ready without it. The restart times are printed (`--nocapture`).

mod peers;

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use cresswheel_platform_wire::client::{FromGateway, encode_without_fields};
use peers::{Client, Directory, Gateway, Host, answer_ok, config, start_host};

/// Pause of a background client before it reconnects.
const RECONNECT_PAUSE: Duration = Duration::from_millis(5);
/// Stream of the readiness query.
const READY_STREAM: u32 = 9;

/// One client per gateway that sends requests continuously and reconnects whenever its connection is closed.
struct BackgroundLoad {
    stop: Arc<AtomicBool>,
    served: Arc<AtomicU64>,
    clients: Vec<JoinHandle<()>>,
}

impl BackgroundLoad {
    fn start(addresses: &[SocketAddr]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let served = Arc::new(AtomicU64::new(0));
        let start = |(number, address): (usize, &SocketAddr)| {
            let (stop, served, address) = (stop.clone(), served.clone(), *address);
            std::thread::spawn(move || keep_sending(number as u64, address, &stop, &served))
        };
        let clients = addresses.iter().enumerate().map(start).collect();
        Self { stop, served, clients }
    }

    fn served(&self) -> u64 {
        self.served.load(Ordering::SeqCst)
    }

    /// Waits until this many more requests were served.
    fn wait_until_served(&self, more: u64) {
        let (from, end) = (self.served(), Instant::now() + peers::TEST_TIMEOUT);
        while self.served() < from + more {
            assert!(Instant::now() < end, "{} served of {more} more", self.served() - from);
            std::thread::sleep(RECONNECT_PAUSE);
        }
    }

    fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        for client in self.clients {
            client.join().unwrap();
        }
    }
}

fn keep_sending(number: u64, address: SocketAddr, stop: &AtomicBool, served: &AtomicU64) {
    let mut connections = 0;
    while !stop.load(Ordering::SeqCst) {
        std::thread::sleep(RECONNECT_PAUSE);
        let Ok(socket) = TcpStream::connect(address) else { continue };
        connections += 1;
        send_until_disconnected(Client::from_socket(socket), number << 16 | connections, stop, served);
    }
}

fn send_until_disconnected(mut client: Client, salt: u64, stop: &AtomicBool, served: &AtomicU64) {
    while !stop.load(Ordering::SeqCst) && client.try_send_request("check", "3000", salt) {
        match client.next_frame() {
            Some(FromGateway::Answer(_, 0, ..)) => served.fetch_add(1, Ordering::SeqCst),
            Some(_) => continue,
            None => return,
        };
    }
}

/// Waits until a gateway reports that it is ready; returns the time since `started`.
fn wait_until_ready(gateway: &Gateway, started: Instant) -> Duration {
    let mut client = gateway.connect();
    loop {
        let mut query = Vec::new();
        encode_without_fields(&mut query, true, READY_STREAM);
        client.send_bytes(&query);
        match client.next_frame() {
            Some(FromGateway::Ready(READY_STREAM, 0)) => return started.elapsed(),
            Some(FromGateway::Ready(..)) => std::thread::sleep(RECONNECT_PAUSE),
            other => panic!("not an answer about readiness: {other:?}"),
        }
        assert!(started.elapsed() < peers::TEST_TIMEOUT, "the gateway did not become ready");
    }
}

fn start_on_address(configuration: &str, address: SocketAddr) -> Gateway {
    Gateway::spawn_with_config(&configuration.replace("127.0.0.1:0", &address.to_string()))
}

/// Kills all gateways at once and starts them again on their ports.
fn kill_and_start(gateways: Vec<Gateway>, configuration: &str) -> (Vec<Gateway>, Instant) {
    let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.address).collect();
    for gateway in &gateways {
        gateway.signal("-KILL");
    }
    for mut gateway in gateways {
        assert_eq!(gateway.wait_for_exit(), None, "the gateway exited before it was killed");
    }
    let start = Instant::now();
    let spawned: Vec<Gateway> =
        addresses.iter().map(|address| start_on_address(configuration, *address)).collect();
    (spawned.into_iter().map(Gateway::wait_until_listening).collect(), start)
}

/// Waits for all gateways in parallel until they are ready; returns their times, sorted.
fn times_to_ready(gateways: &[Gateway], start: Instant) -> Vec<Duration> {
    let times = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for gateway in gateways {
            scope.spawn(|| {
                let time = wait_until_ready(gateway, start);
                times.lock().unwrap().push(time);
            });
        }
    });
    let mut times = times.into_inner().unwrap();
    times.sort_unstable();
    times
}

fn print(what: &str, times: &[Duration]) {
    let p90 = times[times.len() * 9 / 10];
    let last = times[times.len() - 1];
    println!("{} gateways {what}: 90% ready after {p90:?}, the last after {last:?}", times.len());
}

fn fleet(count: usize, host: &Host, directory: &Directory) -> (Vec<Gateway>, String) {
    let configuration = config(&[("s-1".to_owned(), host.address)], directory.address, "load");
    ((0..count).map(|_| Gateway::with_config(&configuration)).collect(), configuration)
}

fn killed_at_once_they_are_ready_before_the_directory_answers(count: usize) {
    let (host, directory) = (start_host(answer_ok), Directory::new(1));
    let (gateways, configuration) = fleet(count, &host, &directory);
    let load = BackgroundLoad::start(&gateways.iter().map(|gateway| gateway.address).collect::<Vec<_>>());
    load.wait_until_served(10 * count as u64);
    let (gateways, start) = kill_and_start(gateways, &configuration);
    print("with known hosts", &times_to_ready(&gateways, start));
    load.wait_until_served(10 * count as u64);
    load.stop();
    assert!(directory.list.lock().unwrap().1.is_empty(), "the directory must not have listed a host");
}

fn without_known_hosts_they_are_ready_once_the_directory_answers(count: usize) {
    let (host, directory) = (start_host(answer_ok), Directory::new(1));
    let (gateways, _) = fleet(count, &host, &directory);
    let load = BackgroundLoad::start(&gateways.iter().map(|gateway| gateway.address).collect::<Vec<_>>());
    load.wait_until_served(10 * count as u64);
    let (gateways, _) = kill_and_start(gateways, &config(&[], directory.address, "load"));
    for gateway in &gateways {
        let mut client = gateway.connect();
        let mut query = Vec::new();
        encode_without_fields(&mut query, true, READY_STREAM);
        client.send_bytes(&query);
        let answer = client.next_frame();
        assert!(matches!(answer, Some(FromGateway::Ready(READY_STREAM, code)) if code != 0), "{answer:?}");
    }
    let published = Instant::now();
    directory.set_hosts(2, &[("s-1", host.address, 0)]);
    print("after a late directory", &times_to_ready(&gateways, published));
    load.wait_until_served(10 * count as u64);
    load.stop();
}

#[test]
fn twenty_gateways_killed_at_once_are_ready_before_the_directory_answers() {
    killed_at_once_they_are_ready_before_the_directory_answers(20);
}

#[test]
fn thirty_gateways_killed_at_once_are_ready_before_the_directory_answers() {
    killed_at_once_they_are_ready_before_the_directory_answers(30);
}

#[test]
fn twenty_gateways_without_known_hosts_are_ready_once_the_directory_answers() {
    without_known_hosts_they_are_ready_once_the_directory_answers(20);
}

#[test]
fn thirty_gateways_without_known_hosts_are_ready_once_the_directory_answers() {
    without_known_hosts_they_are_ready_once_the_directory_answers(30);
}
