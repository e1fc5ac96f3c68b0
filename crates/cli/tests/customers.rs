//! Gateways with generated configurations: each is drawn from a seed, and a short exchange is run against it.
//!
//! Checks what every gateway has to do whatever its configuration: one answer to each request and in time, no
//! post sent twice, nothing to a draining host, and every class and tenant served as its settings say.

mod peers;

use std::fmt::Write as _;

use cresswheel_platform_wire::client::{FromGateway, encode_request};
use peers::{Client, Directory, Gateway, HostAction, answer_ok, invoke_count, start_host};

/// A small random number generator; the same seed gives the same generated.
struct Rng(u64);

impl Rng {
    fn below(&mut self, end: u64) -> u64 {
        // SplitMix64, by Steele, Lea and Flood.
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % end
    }

    fn choose<T: Copy>(&mut self, all: &[T]) -> T {
        all[self.below(all.len() as u64) as usize]
    }

    fn name(&mut self) -> String {
        (0..1 + self.below(12))
            .map(|_| self.choose(b"abcdefghijklmnopqrstuvwxyz0123456789-._") as char)
            .collect()
    }
}

struct Class {
    name: String,
    kind: &'static str,
    timeout_ms: u64,
}

struct GeneratedConfig {
    settings: String,
    classes: Vec<Class>,
    tenants: Vec<String>,
    grace_ms: u64,
}

fn generate_config(seed: u64) -> GeneratedConfig {
    let mut rng = Rng(seed);
    let mut classes: Vec<Class> = Vec::new();
    let mut profiles = String::new();
    for n in 0..1 + rng.below(6) {
        let kind = rng.choose(&["idempotent", "deduplicated", "at_most_once"]);
        let (aim, timeout_ms) = (50 + rng.below(3_000), 3_000 + rng.below(9_000));
        let name = format!("{}{n}", rng.name());
        let mut profile = format!(
            "{{\"name\":\"{name}\",\"aim\":{aim}000,\"give_up\":{timeout_ms}000,\"semantics\":\"{kind}\""
        );
        if rng.below(2) == 0 {
            let _ = write!(profile, ",\"value\":{}.5,\"late_value\":0.{}", rng.below(50), rng.below(10));
        }
        if kind == "deduplicated" {
            let scope = rng.choose(&["all", "zone", "cell"]);
            let _ =
                write!(profile, ",\"key_scope\":\"{scope}\",\"memory_span\":{}000", 10 + rng.below(5_000));
        }
        profile.push('}');
        let comma = if classes.is_empty() { "" } else { "," };
        let _ = write!(profiles, "{comma}{profile}");
        classes.push(Class { name, kind, timeout_ms });
    }
    let tenants: Vec<String> = (0..rng.below(4)).map(|n| format!("{}{n}", rng.name())).collect();
    let customers: Vec<String> = tenants
        .iter()
        .map(|name| format!("{{\"name\":\"{name}\",\"quota_per_s\":{}.0}}", 1 + rng.below(90)))
        .collect();
    let mut keys = vec![format!("\"profiles\":[{profiles}]")];
    // Keys may be missing, and unknown keys are allowed.
    if !customers.is_empty() || rng.below(2) == 0 {
        keys.push(format!("\"customers\":[{}]", customers.join(",")));
    }
    let grace_ms = 200 + rng.below(3_000);
    let optional_keys = [
        format!("\"balancers\":{}", 1 + rng.below(400)),
        format!("\"tick\":{}", rng.choose(&[500, 1_000, 2_000, 20_000])),
        format!("\"zone\":\"{}\",\"zones\":[\"east\",\"{}\"]", rng.choose(&["", "east", "far"]), rng.name()),
        format!("\"{}\":{{\"{}\":null,\"x\":[1,{{\"y\":2}}]}}", rng.name(), rng.name()),
        format!("\"fees\":{{\"waste\":0.{},\"peer\":null}}", rng.below(100)),
        format!(
            "\"limits\":{{\"max_attempts\":{},\"connect_timeout\":{}000,\"max_streams\":{},\"retry_after\":{},\"cancel\":true}}",
            1 + rng.below(7),
            50 + rng.below(900),
            1 + rng.below(200),
            rng.choose(&["true", "false", "1"])
        ),
        format!(
            "\"specifics\":{{\"may_load\":true,\"when_absent\":\"{}\",\"keep_alive\":{}000,\
             \"counts_alike\":{}{}{}}}",
            rng.choose(&["load", "miss"]),
            500 + rng.below(60_000),
            rng.choose(&["true", "false"]),
            rng.choose(&["", ",\"load_wait\":9000000"]),
            rng.choose(&["", ",\"load_span\":5000000,\"loads_anyway\":8.0,\"loads_per_request\":0.5"])
        ),
    ];
    keys.push(format!("\"rules\":{{\"drain_grace\":{grace_ms}000,\"tip_multiple\":{}.0}}", 1 + rng.below(5)));
    keys.extend(optional_keys.into_iter().filter(|_| rng.below(4) > 0));
    GeneratedConfig { settings: format!("{{{}}}", keys.join(",")), classes, tenants, grace_ms }
}

impl GeneratedConfig {
    fn config(&self, hosts: &[(&str, std::net::SocketAddr)], directory: std::net::SocketAddr) -> String {
        let member = |(id, address): &(&str, std::net::SocketAddr)| {
            format!(
                "{{\"id\":\"{id}\",\"host_port\":\"{address}\",\"phase\":\"Ready\",\"locality\":\"east\"}}"
            )
        };
        let members: Vec<String> = hosts.iter().map(member).collect();
        format!(
            "{{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"names\":\"{directory}\",\"limits\":{{\"cores\":0.2,\"memory_mb\":32,\
             \"sockets\":256}},\"known\":{{\"pos\":1,\"entries\":[{{\"pos\":1,\"hosts\":{{\"revision\":1,\"complete\":true,\
             \"members\":[{}]}}}}]}},\"settings\":{}}}",
            members.join(","),
            self.settings
        )
    }

    fn send_request(&self, client: &mut Client, number: u32, class: &Class) {
        let (id, wait) = (format!("{number:016x}"), class.timeout_ms.to_string());
        let mut fields =
            vec![("class", class.name.as_str()), ("id", &id), ("wait", &wait), ("key", peers::FUNCTION)];
        if let Some(tenant) = self.tenants.get(number as usize % self.tenants.len().max(1)) {
            fields.push(("tenant", tenant));
        }
        let once = format!("{number:032x}");
        if class.kind == "deduplicated" {
            fields.push(("once", &once));
        }
        let mut out = Vec::new();
        encode_request(&mut out, number, &fields, b"in");
        client.send_bytes(&out);
    }
}

/// Each class is served according to the settings alone; a draining host gets nothing more.
#[test]
fn random_configurations_serve_every_class_and_respect_a_drain() {
    for seed in 0..24 {
        let generated = generate_config(seed);
        let (host_1, host_2, directory) = (start_host(answer_ok), start_host(answer_ok), Directory::new(1));
        let hosts = [("s-1", host_1.address), ("s-2", host_2.address)];
        let gateway = Gateway::with_config(&generated.config(&hosts, directory.address));
        let mut client = gateway.connect();
        let mut number = 0;
        let mut serve = || {
            for class in &generated.classes {
                number += 1;
                generated.send_request(&mut client, number, class);
                let answer = client.next_frame();
                let wanted = FromGateway::Answer(number, 0, None, b"out".to_vec());
                assert_eq!(answer, Some(wanted), "seed {seed}, class {}: {}", class.name, generated.settings);
            }
        };
        serve();
        directory.set_hosts(2, &[("s-1", host_1.address, 1), ("s-2", host_2.address, 0)]);
        gateway.wait_for_log("list serial=2");
        let before = host_1.commands.lock().unwrap().len();
        serve();
        assert_eq!(
            host_1.commands.lock().unwrap().len(),
            before,
            "seed {seed}: sent to a draining host, grace {} ms",
            generated.grace_ms
        );
        assert_eq!(
            invoke_count(&host_1) + invoke_count(&host_2),
            2 * generated.classes.len(),
            "seed {seed}: each ran once"
        );
    }
}

/// With a host that never answers, each class ends as its kind allows within the client timeout, and a post
/// runs at most once.
#[test]
fn random_configurations_answer_once_and_in_time_when_hosts_never_answer() {
    for seed in 100..108 {
        let generated = generate_config(seed);
        let never_answers =
            |name: &str, n: usize| if name == "invoke" { HostAction::Nothing } else { answer_ok(name, n) };
        let (host, directory) = (start_host(never_answers), Directory::new(1));
        let gateway = Gateway::with_config(&generated.config(&[("s-1", host.address)], directory.address));
        let mut client = gateway.connect();
        for (number, class) in (1..).zip(&generated.classes) {
            let short = Class { name: class.name.clone(), kind: class.kind, timeout_ms: 400 };
            generated.send_request(&mut client, number, &short);
        }
        let mut answers: Vec<(u32, u8)> = generated.classes.iter().map(|_| client.next_answer()).collect();
        answers.sort_unstable();
        let seen = host.commands.lock().unwrap().clone();
        for ((number, class), (stream, code)) in (1u32..).zip(&generated.classes).zip(answers) {
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
