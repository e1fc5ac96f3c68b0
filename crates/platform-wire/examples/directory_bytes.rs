//! Bytes of a directory's answer and the processor time that reading it takes, by the hosts on the list, and how many
//! hosts fit into an answer of a given size.
//!
//! `cargo run --release -p cresswheel-platform-wire --example directory_bytes`
//!
//! The answer is written as a directory writes it: one SRV, A and TXT record a host and an SOA, names compressed.

use std::hint::black_box;

use cresswheel_measure::{Series, thread_time};
use cresswheel_platform_wire::directory;
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::rdata::{A, SOA, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record, RecordType};

/// A datagram ends at 65,507 bytes, and so does what can be measured.
const HOSTS: [usize; 5] = [1, 25, 50, 100, 200];
const RUNS: usize = 9;
const TIMES: usize = 50;
/// What the directory's answers hold at most, and what a datagram does.
const ROOMS: [usize; 2] = [8_000, 65_507];
const SERVICE: &str = "_data._tcp.farm.lan.";

fn name(text: &str) -> Name {
    Name::from_ascii(text).expect("a name")
}

fn answer(hosts: usize) -> Vec<u8> {
    let service = name(SERVICE);
    let mut message = Message::new(1, MessageType::Response, OpCode::Query);
    message.metadata.response_code = ResponseCode::NoError;
    message.add_query(Query::query(service.clone(), RecordType::SRV));
    let soa = SOA::new(name("farm.lan."), name("ops.farm.lan."), 7, 1, 1, 1, 0);
    message.authorities.push(Record::from_rdata(name("farm.lan."), 0, RData::SOA(soa)));
    for number in 0..hosts {
        let host = name(&format!("worker-{number:05}.r1-z{}.farm.lan.", number % 5));
        let srv = RData::SRV(SRV::new(0, 1, 7201, host.clone()));
        message.answers.push(Record::from_rdata(service.clone(), 0, srv));
        let address = A::new(10, 120, (number / 250 % 250) as u8, (number % 250) as u8);
        message.additionals.push(Record::from_rdata(host.clone(), 0, RData::A(address)));
        let text =
            vec!["kind=std-32".into(), format!("cell={}", number / 40), "started=1790000000000".into()];
        message.additionals.push(Record::from_rdata(host, 0, RData::TXT(TXT::new(text))));
    }
    message.to_vec().expect("an answer")
}

fn main() {
    let query = directory::query(1).expect("a query").len();
    println!("a query: {query} bytes");
    let mut length = Series::new("a directory's answer", "bytes", "hosts");
    let mut reading = Series::new("reading a directory's answer", "us", "hosts");
    for hosts in HOSTS {
        let bytes = answer(hosts);
        let listing = directory::answer(&bytes).expect("a listing");
        assert_eq!(listing.hosts.len(), hosts, "all hosts are read");
        length.add(hosts, vec![bytes.len() as f64]);
        let read = || {
            let began = thread_time();
            (0..TIMES).for_each(|_| _ = black_box(directory::answer(black_box(&bytes))));
            (thread_time() - began).as_secs_f64() * 1e6 / TIMES as f64
        };
        reading.add(hosts, (0..RUNS).map(|_| read()).collect());
    }
    println!("\n{length}\n{reading}");
    for room in ROOMS {
        let whole = |bytes: &[u8]| bytes.len() <= room && directory::answer(bytes).is_ok();
        let fits = (0..).take_while(|hosts| whole(&answer(*hosts))).last().unwrap_or(0);
        println!("hosts in an answer of {room} bytes: {fits}");
    }
}
