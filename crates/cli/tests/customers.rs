//! Gateways of customers that nobody wrote the program for: configurations drawn by seed, and a short exchange with each.
//!
//! What is looked at are the rules on what a gateway does by itself: one answer to each request and in time, no post
//! sent twice, nothing to a host that drains, every class and tenant served by what the settings say of it.

mod peers;

use std::fmt::Write as _;

use cresswheel_platform_wire::client::{FromGateway, encode_request};
use peers::{Client, Directory, Do, Node, good, host, invokes};

/// A small generator of numbers: the same seed, the same customer.
struct Draw(u64);

impl Draw {
    fn below(&mut self, end: u64) -> u64 {
        // SplitMix64, by Steele, Lea and Flood.
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % end
    }

    fn one_of<T: Copy>(&mut self, all: &[T]) -> T {
        all[self.below(all.len() as u64) as usize]
    }

    fn name(&mut self) -> String {
        (0..1 + self.below(12))
            .map(|_| self.one_of(b"abcdefghijklmnopqrstuvwxyz0123456789-._") as char)
            .collect()
    }
}

struct Class {
    name: String,
    kind: &'static str,
    wait_ms: u64,
}

struct Customer {
    settings: String,
    classes: Vec<Class>,
    tenants: Vec<String>,
    grace_ms: u64,
}

fn customer(seed: u64) -> Customer {
    let mut draw = Draw(seed);
    let mut classes: Vec<Class> = Vec::new();
    let mut profiles = String::new();
    for n in 0..1 + draw.below(6) {
        let kind = draw.one_of(&["idempotent", "deduplicated", "at_most_once"]);
        let (aim, wait_ms) = (50 + draw.below(3_000), 3_000 + draw.below(9_000));
        let name = format!("{}{n}", draw.name());
        let mut profile = format!(
            "{{\"name\":\"{name}\",\"aim\":{aim}000,\"give_up\":{wait_ms}000,\"semantics\":\"{kind}\""
        );
        if draw.below(2) == 0 {
            let _ = write!(profile, ",\"value\":{}.5,\"late_value\":0.{}", draw.below(50), draw.below(10));
        }
        if kind == "deduplicated" {
            let scope = draw.one_of(&["all", "zone", "cell"]);
            let _ =
                write!(profile, ",\"key_scope\":\"{scope}\",\"memory_span\":{}000", 10 + draw.below(5_000));
        }
        profile.push('}');
        let comma = if classes.is_empty() { "" } else { "," };
        let _ = write!(profiles, "{comma}{profile}");
        classes.push(Class { name, kind, wait_ms });
    }
    let tenants: Vec<String> = (0..draw.below(4)).map(|n| format!("{}{n}", draw.name())).collect();
    let customers: Vec<String> = tenants
        .iter()
        .map(|name| format!("{{\"name\":\"{name}\",\"quota_per_s\":{}.0}}", 1 + draw.below(90)))
        .collect();
    let mut keys = vec![format!("\"profiles\":[{profiles}]")];
    // Absent keys and unknown ones are a customer's right.
    if !customers.is_empty() || draw.below(2) == 0 {
        keys.push(format!("\"customers\":[{}]", customers.join(",")));
    }
    let grace_ms = 200 + draw.below(3_000);
    let maybe = [
        format!("\"balancers\":{}", 1 + draw.below(400)),
        format!("\"tick\":{}", draw.one_of(&[500, 1_000, 2_000, 20_000])),
        format!(
            "\"zone\":\"{}\",\"zones\":[\"east\",\"{}\"]",
            draw.one_of(&["", "east", "far"]),
            draw.name()
        ),
        format!("\"{}\":{{\"{}\":null,\"x\":[1,{{\"y\":2}}]}}", draw.name(), draw.name()),
        format!("\"fees\":{{\"waste\":0.{},\"peer\":null}}", draw.below(100)),
        format!(
            "\"limits\":{{\"max_attempts\":{},\"connect_timeout\":{}000,\"max_streams\":{},\"retry_after\":{},\"cancel\":true}}",
            1 + draw.below(7),
            50 + draw.below(900),
            1 + draw.below(200),
            draw.one_of(&["true", "false", "1"])
        ),
        format!(
            "\"specifics\":{{\"may_load\":true,\"when_absent\":\"{}\",\"keep_alive\":{}000,\
             \"counts_alike\":{}{}{}}}",
            draw.one_of(&["load", "miss"]),
            500 + draw.below(60_000),
            draw.one_of(&["true", "false"]),
            draw.one_of(&["", ",\"load_wait\":9000000"]),
            draw.one_of(&["", ",\"load_span\":5000000,\"loads_anyway\":8.0,\"loads_per_request\":0.5"])
        ),
    ];
    keys.push(format!(
        "\"rules\":{{\"drain_grace\":{grace_ms}000,\"tip_multiple\":{}.0}}",
        1 + draw.below(5)
    ));
    keys.extend(maybe.into_iter().filter(|_| draw.below(4) > 0));
    Customer { settings: format!("{{{}}}", keys.join(",")), classes, tenants, grace_ms }
}

impl Customer {
    fn config(&self, hosts: &[(&str, std::net::SocketAddr)], names: std::net::SocketAddr) -> String {
        let member = |(id, at): &(&str, std::net::SocketAddr)| {
            format!("{{\"id\":\"{id}\",\"host_port\":\"{at}\",\"phase\":\"Ready\",\"locality\":\"east\"}}")
        };
        let members: Vec<String> = hosts.iter().map(member).collect();
        format!(
            "{{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"names\":\"{names}\",\"limits\":{{\"cores\":0.2,\"memory_mb\":32,\
             \"sockets\":256}},\"known\":{{\"pos\":1,\"entries\":[{{\"pos\":1,\"hosts\":{{\"revision\":1,\"complete\":true,\
             \"members\":[{}]}}}}]}},\"settings\":{}}}",
            members.join(","),
            self.settings
        )
    }

    fn ask(&self, client: &mut Client, number: u32, class: &Class) {
        let (id, wait) = (format!("{number:016x}"), class.wait_ms.to_string());
        let mut fields =
            vec![("class", class.name.as_str()), ("id", &id), ("wait", &wait), ("key", peers::F)];
        if let Some(tenant) = self.tenants.get(number as usize % self.tenants.len().max(1)) {
            fields.push(("tenant", tenant));
        }
        let once = format!("{number:032x}");
        if class.kind == "deduplicated" {
            fields.push(("once", &once));
        }
        let mut out = Vec::new();
        encode_request(&mut out, number, &fields, b"in");
        client.send(&out);
    }
}

/// Each class is served, from the settings alone; what drains gets nothing more.
#[test]
fn customers_drawn_by_seed_are_served_in_every_class_and_a_drain_is_kept() {
    for seed in 0..24 {
        let customer = customer(seed);
        let (one, two, names) = (host(good), host(good), Directory::new(1));
        let hosts = [("s-1", one.at), ("s-2", two.at)];
        let node = Node::with(&customer.config(&hosts, names.at));
        let mut client = node.client();
        let mut number = 0;
        let mut serve = || {
            for class in &customer.classes {
                number += 1;
                customer.ask(&mut client, number, class);
                let answer = client.next();
                let wanted = FromGateway::Answer(number, 0, None, b"out".to_vec());
                assert_eq!(answer, Some(wanted), "seed {seed}, class {}: {}", class.name, customer.settings);
            }
        };
        serve();
        names.tell(2, &[("s-1", one.at, 1), ("s-2", two.at, 0)]);
        node.logged("list serial=2");
        let before = one.seen.lock().unwrap().len();
        serve();
        assert_eq!(
            one.seen.lock().unwrap().len(),
            before,
            "seed {seed}: it drains, grace {} ms",
            customer.grace_ms
        );
        assert_eq!(invokes(&one) + invokes(&two), 2 * customer.classes.len(), "seed {seed}: each ran once");
    }
}

/// A host that answers nothing: each class ends as its kind allows, within its client's time, and a post ran once.
#[test]
fn customers_drawn_by_seed_get_one_answer_in_time_from_hosts_that_never_answer() {
    for seed in 100..108 {
        let customer = customer(seed);
        let mute = |word: &str, n: usize| if word == "invoke" { Do::Nothing } else { good(word, n) };
        let (one, names) = (host(mute), Directory::new(1));
        let node = Node::with(&customer.config(&[("s-1", one.at)], names.at));
        let mut client = node.client();
        for (number, class) in (1..).zip(&customer.classes) {
            let short = Class { name: class.name.clone(), kind: class.kind, wait_ms: 400 };
            customer.ask(&mut client, number, &short);
        }
        let mut answers: Vec<(u32, u8)> = customer.classes.iter().map(|_| client.answer()).collect();
        answers.sort_unstable();
        let seen = one.seen.lock().unwrap().clone();
        for ((number, class), (stream, code)) in (1u32..).zip(&customer.classes).zip(answers) {
            let sent = seen.iter().filter(|line| **line == format!("invoke {number:016x}")).count();
            assert_eq!(stream, number, "seed {seed}: one answer each");
            match class.kind {
                "at_most_once" => {
                    assert!(sent <= 1 && (sent == 0 || code == 13), "seed {seed}: {sent} {code}")
                }
                _ => assert!(matches!(code, 8 | 13), "seed {seed}: {code}"),
            }
        }
    }
}
