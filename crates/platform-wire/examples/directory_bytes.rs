//! Measures the size of an answer of the directory (the platform's DNS server that lists the hosts, which are
//! the workers) and the processor time of decoding it, by the number of hosts. It also prints how many hosts
//! fit into an answer of a given size.
//!
//! `cargo run --release -p cresswheel-platform-wire --example directory_bytes`
//!
//! The answer is encoded as a directory encodes it: one SRV, A and TXT record per host and an SOA record,
//! with compressed names.

use std::hint::black_box;

use cresswheel_measure::{Series, thread_cpu_time};
use cresswheel_platform_wire::directory::{self, HostList};
use cresswheel_protocol::{ListedWorker, MemberState};

/// Numbers of hosts to measure. They are no limits, but their answers have to fit into a datagram.
const HOSTS: [usize; 5] = [1, 25, 50, 100, 200];
const RUNS: usize = 9;
const REPEATS: usize = 50;
/// Largest answer of the platform's directory, and the largest UDP datagram over IPv4, in bytes. No answer in
/// one datagram can exceed the second, whatever the directory's own limit is.
const MAX_SIZES: [usize; 2] = [8_000, 65_507];

fn answer(hosts: usize) -> Vec<u8> {
    let listed = |number: usize| ListedWorker {
        id: format!("worker-{number:05}"),
        address: format!("10.120.{}.{}:7201", number / 250 % 250, number % 250),
        zone: format!("r1-z{}", number % 5),
        kind: "std-32".into(),
        // A cell is a group of workers that share the record of idempotency keys; here it has 40.
        cell: number as u64 / 40,
        standing: MemberState::Active,
        started: 1_790_000_000_000_000,
    };
    // One entry for each host.
    let listing = HostList { serial: 7, hosts: (0..hosts).map(listed).collect() };
    directory::encode_host_list(1, &listing).expect("an answer")
}

fn main() {
    let query = directory::encode_query(1).expect("a query").len();
    println!("a query: {query} bytes");
    let mut length = Series::new("a directory's answer", "bytes", "hosts");
    // The processor time of decoding one answer.
    let mut reading = Series::new("reading a directory's answer", "us", "hosts");
    for hosts in HOSTS {
        let bytes = answer(hosts);
        let listing = directory::decode_answer(&bytes).expect("a listing");
        assert_eq!(listing.hosts.len(), hosts, "all hosts are read");
        length.add(hosts, vec![bytes.len() as f64]);
        let read = || {
            let began = thread_cpu_time();
            (0..REPEATS).for_each(|_| _ = black_box(directory::decode_answer(black_box(&bytes))));
            (thread_cpu_time() - began).as_secs_f64() * 1e6 / REPEATS as f64
        };
        reading.add(hosts, (0..RUNS).map(|_| read()).collect());
    }
    println!("\n{length}\n{reading}");
    for size in MAX_SIZES {
        let fits = |bytes: &[u8]| bytes.len() <= size && directory::decode_answer(bytes).is_ok();
        let most = (0..).take_while(|hosts| fits(&answer(*hosts))).last().unwrap_or(0);
        println!("hosts in an answer of {size} bytes: {most}");
    }
}
