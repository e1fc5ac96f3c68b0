//! Load orders of the platform gateway when its connections to hosts have no room for them.

mod peers;

use std::time::{Duration, Instant};

use peers::{Client, Directory, Gateway, Host, HostAction, TEST_TIMEOUT, config, request_frame, start_host};

const CLIENTS: u32 = 4;
const REQUESTS_PER_CLIENT: u32 = 30;
const HOSTS: usize = 2;
const MAX_CONNECTIONS_PER_HOST: usize = 16;
/// The latency objective of all classes in `peers::config`.
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(600);
/// Requests that wait are reviewed this often for each latency objective.
const REVIEWS_PER_OBJECTIVE: f64 = 16.0;

/// A gateway whose connections carry one order each, so that a few orders take all places.
fn gateway_with_few_places(hosts: &[(&str, &Host)], directory: &Directory, order_timeout: &str) -> Gateway {
    let hosts: Vec<_> = hosts.iter().map(|(id, host)| ((*id).to_owned(), host.address)).collect();
    let config = config(&hosts, directory.address, "miss");
    let limited = config.replacen("\"max_attempts\":5", "\"max_attempts\":5,\"max_streams\":1", 1);
    assert_ne!(config, limited);
    let changed = limited.replacen("\"load_wait\":10000000", &format!("\"load_wait\":{order_timeout}"), 1);
    Gateway::with_config(&changed)
}

/// A client for each index, with requests for as many functions as there are requests.
fn clients_with_requests(gateway: &Gateway, indices: std::ops::Range<u32>) -> Vec<Client> {
    let with_requests = |index: u32| {
        let mut client = gateway.connect();
        for stream in 1..=REQUESTS_PER_CLIENT {
            let number = index * REQUESTS_PER_CLIENT + stream;
            let (id, function) = (format!("{number:016x}"), format!("{:016x}", 0xabc0_0000 + number));
            client.send_bytes(&request_frame(stream, &id, "check", "1500", &function, b"in"));
        }
        client
    };
    indices.map(with_requests).collect()
}

/// Guards against the standstill of review case 1: orders that found no place on a connection were issued again
/// and again within one turn of the event loop, which neither read nor answered meanwhile.
#[test]
fn load_orders_without_a_place_on_a_connection_are_tried_at_the_pace_of_reviews() {
    // Loads never end, so the first orders keep their places.
    let silent_host = || start_host(|_, _| HostAction::Nothing);
    let (first, second) = (silent_host(), silent_host());
    let directory = Directory::new(1);
    let gateway = gateway_with_few_places(&[("s-1", &first), ("s-2", &second)], &directory, "10000000");
    let begin = Instant::now();
    let mut clients = clients_with_requests(&gateway, 0..CLIENTS / 2);
    // Hosts that looked failed in the meantime would be tried again from now on.
    std::thread::sleep(2 * LATENCY_OBJECTIVE);
    clients.extend(clients_with_requests(&gateway, CLIENTS / 2..CLIENTS));
    for client in &mut clients {
        for _ in 0..REQUESTS_PER_CLIENT {
            // Nothing was sent to a host, so each request is refused.
            assert_eq!(client.next_answer().1, 8);
        }
    }
    let reviews = (begin.elapsed().div_duration_f64(LATENCY_OBJECTIVE) * REVIEWS_PER_OBJECTIVE) as usize + 1;
    let log = std::fs::read_to_string(gateway.log_path()).unwrap();
    let orders = log.lines().filter(|line| line.contains("hold worker=")).count();
    // Each function once, and one try at each host in a review or when the order before it ended unsent.
    let limit = (CLIENTS * REQUESTS_PER_CLIENT) as usize + HOSTS * (reviews + 1);
    assert!((HOSTS..=limit).contains(&orders), "{orders} orders, {limit} at most");
}

/// Guards against places that are lost for good: hosts do not answer lost orders, and their places were kept
/// until the connection ended.
#[test]
fn places_of_orders_that_timed_out_are_used_again() {
    let host = start_host(|_, _| HostAction::Nothing);
    let directory = Directory::new(1);
    let gateway = gateway_with_few_places(&[("s-1", &host)], &directory, "300000");
    let orders = || host.commands.lock().unwrap().iter().filter(|line| line.starts_with("prewarm")).count();
    let end = Instant::now() + TEST_TIMEOUT;
    let mut index = 0;
    while orders() <= MAX_CONNECTIONS_PER_HOST {
        assert!(Instant::now() < end, "{} orders reached the host", orders());
        for mut client in clients_with_requests(&gateway, index..index + 1) {
            (0..REQUESTS_PER_CLIENT).for_each(|_| _ = client.next_answer());
        }
        index += 1;
    }
}
