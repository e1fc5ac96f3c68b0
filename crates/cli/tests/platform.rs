//! A gateway process on the platform, with clients, hosts and a directory simulated by the tests.

mod peers;

use std::collections::HashMap;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use cresswheel_platform_wire::client::{FromGateway, encode_without_fields};
use peers::{Client, Directory, Gateway, Host, HostAction, answer_ok, config, invoke_count, start_host};

#[test]
fn invalid_requests_and_frames_are_rejected_without_affecting_others() {
    let (host, directory) = (start_host(answer_ok), Directory::new(1));
    let gateway = Gateway::new(&[("s-1", &host)], &directory, "load");
    let mut client = gateway.connect();
    let mut ready = Vec::new();
    encode_without_fields(&mut ready, true, 9);
    client.socket.write_all(&ready).unwrap();
    assert_eq!(client.next_frame(), Some(FromGateway::Ready(9, 0)));
    client.send_request_with_id(1, "00000000000000aa", "check", "3000");
    assert_eq!(client.next_frame(), Some(FromGateway::Answer(1, 0, None, b"out".to_vec())));
    client.send_request_with_id(2, "00000000000000ab", "no-such-class", "3000");
    client.send_request_with_id(3, "00000000000000ac", "check", "never");
    client.send_request_with_id(4, "00000000000000ad", "check", "3000");
    let mut answers: Vec<_> = (0..3).map(|_| client.next_answer()).collect();
    answers.sort_unstable();
    assert_eq!(answers, [(2, 8), (3, 8), (4, 0)]);
    assert_eq!(invoke_count(&host), 2, "invalid requests reach no host");
    // An invalid frame closes its connection with an error, and no other connection.
    let mut other = gateway.connect();
    other.socket.write_all(&[0, 0, 0, 0, 100]).unwrap();
    assert!(matches!(other.next_frame(), Some(FromGateway::Answer(0, 13, None, _))));
    assert_eq!(other.next_frame(), None);
    client.send_request_with_id(5, "00000000000000ae", "check", "3000");
    assert_eq!(client.next_answer(), (5, 0));
}

#[test]
fn an_id_or_stream_in_use_is_rejected_and_the_first_request_is_still_answered() {
    let (host, directory) = (start_host(|_, _| HostAction::Nothing), Directory::new(1));
    let gateway = Gateway::new(&[("s-1", &host)], &directory, "load");
    let mut client = gateway.connect();
    client.send_request_with_id(1, "00000000000000aa", "post", "1500");
    client.send_request_with_id(2, "00000000000000aa", "post", "1500");
    assert_eq!(client.next_answer(), (2, 8), "the id is in use");
    client.send_request_with_id(1, "00000000000000ab", "post", "1500");
    assert_eq!(client.next_answer(), (0, 13), "the stream is in use");
    assert_eq!(client.next_answer(), (1, 13), "the first request fails at its own timeout: it may have run");
    assert_eq!(client.next_frame(), None, "then the connection is closed");
    assert_eq!(invoke_count(&host), 1);
}

#[test]
fn silent_and_incomplete_connections_time_out_and_one_with_an_open_request_stays() {
    let (host, directory) = (start_host(|_, _| HostAction::Nothing), Directory::new(1));
    let gateway = Gateway::new(&[("s-1", &host)], &directory, "load");
    let mut waiting = gateway.connect();
    waiting.send_request("post", "4000", 1);
    let start = Instant::now();
    let (mut silent, mut incomplete) = (gateway.connect(), gateway.connect());
    incomplete.socket.write_all(&[200, 0, 0, 0, 100, 1]).unwrap();
    assert_eq!((silent.next_frame(), incomplete.next_frame()), (None, None));
    assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
    assert_eq!(waiting.next_answer(), (1, 13));
}

#[test]
fn a_malformed_answer_fails_a_post_and_retries_a_check() {
    for (class, code, times) in [("post", 13, 1), ("check", 0, 2)] {
        let malformed = |name: &str, before: usize| match (name, before) {
            ("invoke", 0) => HostAction::Bytes(b"*4\r\n$3000000000\r\n"),
            _ => answer_ok(name, before),
        };
        let (host, directory) = (start_host(malformed), Directory::new(1));
        let gateway = Gateway::new(&[("s-1", &host)], &directory, "load");
        let mut client = gateway.connect();
        client.send_request(class, "3000", 1);
        assert_eq!(client.next_answer(), (1, code), "{class}");
        assert_eq!(invoke_count(&host), times, "{class}");
    }
}

#[test]
fn duplicate_answers_and_unknown_ids_are_dropped_and_the_connection_stays_open() {
    let more = b"*4\r\n$16\r\n00000000000000aa\r\n$2\r\nOK\r\n$1\r\n-\r\n$1\r\n1\r\n\
                 *4\r\n$16\r\n00000000000000aa\r\n$2\r\nOK\r\n$1\r\n-\r\n$1\r\n2\r\n\
                 *4\r\n$16\r\n00000000000000ff\r\n$2\r\nOK\r\n$1\r\n-\r\n$1\r\n3\r\n";
    let script = |name: &str, before: usize| match (name, before) {
        ("invoke", 0) => HostAction::Bytes(more),
        _ => answer_ok(name, before),
    };
    let (host, directory) = (start_host(script), Directory::new(1));
    let gateway = Gateway::new(&[("s-1", &host)], &directory, "load");
    let mut client = gateway.connect();
    client.send_request_with_id(1, "00000000000000aa", "post", "3000");
    assert_eq!(client.next_frame(), Some(FromGateway::Answer(1, 0, None, b"1".to_vec())));
    client.send_request_with_id(2, "00000000000000ab", "post", "3000");
    assert_eq!(client.next_frame(), Some(FromGateway::Answer(2, 0, None, b"out".to_vec())));
}

#[test]
fn a_draining_host_gets_nothing_new_and_hup_switches_to_another_directory() {
    let (host_1, host_2) = (start_host(answer_ok), start_host(answer_ok));
    let (directory, new_directory) = (Directory::new(1), Directory::new(1));
    let gateway = Gateway::new(&[("s-1", &host_1), ("s-2", &host_2)], &directory, "load");
    let mut client = gateway.connect();
    let mut serve = |salt: u64| {
        (0..20).for_each(|n| {
            let stream = client.send_request("check", "3000", salt << 8 | n);
            assert_eq!(client.next_answer(), (stream, 0));
        });
    };
    directory.set_hosts(5, &[("s-1", host_1.address, 0), ("s-2", host_2.address, 1)]);
    gateway.wait_for_log("list serial=5");
    let before = invoke_count(&host_2);
    serve(1);
    assert_eq!(invoke_count(&host_2), before, "sent to a draining host");
    // An older list is ignored.
    directory.set_hosts(4, &[("s-1", host_1.address, 1), ("s-2", host_2.address, 0)]);
    std::fs::write(
        gateway.folder.path().join("config.json"),
        config(&gateway.hosts, new_directory.address, gateway.when_absent),
    )
    .unwrap();
    new_directory.set_hosts(6, &[("s-1", host_1.address, 1), ("s-2", host_2.address, 0)]);
    gateway.signal("-HUP");
    gateway.wait_for_log("list serial=6");
    let before = invoke_count(&host_1);
    serve(2);
    assert_eq!((invoke_count(&host_1), invoke_count(&host_2) > 0), (before, true));
    // An unreadable file changes nothing.
    std::fs::write(gateway.folder.path().join("config.json"), "{").unwrap();
    gateway.signal("-HUP");
    gateway.wait_for_log("the configuration stays as it was");
    serve(3);
}

#[test]
fn term_is_announced_and_requests_shortly_after_it_are_still_served() {
    let slow = |name: &str, before: usize| match (name, before) {
        ("invoke", 0) => {
            std::thread::sleep(Duration::from_millis(900));
            answer_ok(name, before)
        }
        _ => answer_ok(name, before),
    };
    let (host, directory) = (start_host(slow), Directory::new(1));
    let mut gateway = Gateway::new(&[("s-1", &host)], &directory, "load");
    let mut client = gateway.connect();
    client.send_request("post", "3000", 1);
    gateway.wait_for_log("run id=");
    gateway.signal("-TERM");
    assert_eq!(client.next_frame(), Some(FromGateway::Leaving));
    let mut late = gateway.connect();
    late.send_request("post", "3000", 2);
    assert_eq!(late.next_answer(), (1, 0));
    assert_eq!(client.next_answer(), (1, 0));
    assert_eq!(gateway.wait_for_exit(), Some(0));
    assert_eq!(invoke_count(&host), 2);
}

#[test]
fn a_prewarm_order_whose_connection_closes_is_sent_again_and_the_request_is_served() {
    let script = |name: &str, before: usize| match (name, before) {
        ("prewarm", 0) => HostAction::Close,
        _ => answer_ok(name, before),
    };
    let (host, directory) = (start_host(script), Directory::new(1));
    let gateway = Gateway::new(&[("s-1", &host)], &directory, "miss");
    let mut client = gateway.connect();
    client.send_request("post", "3000", 1);
    assert_eq!(client.next_answer(), (1, 0));
    let mut counts: HashMap<String, usize> = HashMap::new();
    for line in host.commands.lock().unwrap().iter() {
        *counts.entry(line.split(' ').next().unwrap().to_owned()).or_insert(0) += 1;
    }
    assert_eq!((counts["prewarm"], counts["invoke"]), (2, 1), "{counts:?}");
}

#[test]
fn a_host_that_refuses_connections_is_skipped_and_every_request_is_served() {
    let host = start_host(answer_ok);
    let gone = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let down = Host { address: gone, commands: Arc::default(), invoke_times: Arc::default() };
    let directory = Directory::new(1);
    let gateway = Gateway::new(&[("s-1", &host), ("s-2", &down)], &directory, "load");
    let mut client = gateway.connect();
    for n in 0..20 {
        let stream = client.send_request("post", "3000", n);
        assert_eq!(client.next_answer(), (stream, 0));
    }
}

#[test]
fn a_request_that_a_host_never_answers_is_aborted_there_and_sent_elsewhere() {
    let silent_once = Arc::new(AtomicBool::new(true));
    let hosts: Vec<Host> = (0..2)
        .map(|_| {
            let silent = silent_once.clone();
            start_host(move |name, before| match name {
                "invoke" if silent.swap(false, Ordering::SeqCst) => HostAction::Nothing,
                _ => answer_ok(name, before),
            })
        })
        .collect();
    let gateway = Gateway::new(&[("s-1", &hosts[0]), ("s-2", &hosts[1])], &Directory::new(1), "load");
    let mut client = gateway.connect();
    client.send_request_with_id(1, "00000000000000aa", "check", "5000");
    assert_eq!(client.next_answer(), (1, 0), "{}", std::fs::read_to_string(gateway.log_path()).unwrap());
    let line = |name: &str| format!("{name} 00000000000000aa");
    // The silent host reads on its own connection and thread, possibly after the client has its answer.
    let is_aborted = || hosts.iter().any(|host| host.commands.lock().unwrap().contains(&line("abort")));
    let end = Instant::now() + peers::TEST_TIMEOUT;
    while !is_aborted() && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(5));
    }
    let mut seen: Vec<Vec<String>> = hosts.iter().map(|host| host.commands.lock().unwrap().clone()).collect();
    seen.iter_mut().for_each(|lines| lines.retain(|line| line.ends_with("00000000000000aa")));
    seen.sort_by_key(Vec::len);
    assert_eq!(seen, [vec![line("invoke")], vec![line("invoke"), line("abort")]]);
}

#[test]
fn many_silent_and_non_reading_clients_do_not_affect_others() {
    let script = |name: &str, before: usize| match name {
        "invoke" if before < 2 => {
            std::thread::sleep(Duration::from_millis(1_500));
            answer_ok(name, before)
        }
        _ => answer_ok(name, before),
    };
    let (host, directory) = (start_host(script), Directory::new(1));
    let gateway = Gateway::new(&[("s-1", &host)], &directory, "load");
    let mut open = gateway.connect();
    open.send_request("post", "4000", 1);
    gateway.wait_for_log("run id=");
    // 256 descriptors leave 116 client connections; three times as many connect, and some send without
    // reading.
    let idle_connections: Vec<TcpStream> =
        (0..350).map(|_| TcpStream::connect(gateway.address).unwrap()).collect();
    let mut ready = Vec::new();
    (1..200).for_each(|stream| encode_without_fields(&mut ready, true, stream));
    for mut socket in idle_connections.iter().take(30) {
        let _ = socket.write_all(&ready);
    }
    let mut late = gateway.connect();
    late.send_request("post", "4000", 2);
    assert_eq!(late.next_answer(), (1, 0), "a new client is accepted");
    assert_eq!(open.next_answer(), (1, 0), "an open request keeps its connection");
}

/// Reads the `/proc` files of a running process.
struct ProcessInspector {
    folder: PathBuf,
}

impl ProcessInspector {
    fn file(&self, name: &str) -> String {
        std::fs::read_to_string(self.folder.join(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
    }

    /// A number from the `status` file.
    fn status(&self, name: &str) -> u64 {
        let status = self.file("status");
        let line = status.lines().find(|line| line.starts_with(name)).expect(name);
        line.split_whitespace().nth(1).and_then(|figure| figure.parse().ok()).expect(name)
    }

    /// The targets of the open descriptors; one that closes meanwhile is left out.
    fn descriptors(&self) -> Vec<String> {
        let folder = std::fs::read_dir(self.folder.join("fd")).unwrap();
        let open = folder.filter_map(|entry| std::fs::read_link(entry.unwrap().path()).ok());
        open.map(|target| target.to_string_lossy().into_owned()).collect()
    }

    /// Checks the process against what the platform allows; returns the number of its sockets.
    fn check(&self, when: &str) -> usize {
        let exe = std::fs::read_link(self.folder.join("exe")).unwrap();
        let same = std::fs::canonicalize(env!("CARGO_BIN_EXE_cresswheel")).unwrap();
        assert_eq!(exe, same, "{when}: `run` must exec the program instead of leaving a shell around it");
        let children = std::fs::read_dir(self.folder.join("task"))
            .unwrap()
            .map(|task| std::fs::read_to_string(task.unwrap().path().join("children")).unwrap_or_default());
        let children: String = children.collect();
        assert_eq!(children.trim(), "", "{when}: it started another process");
        assert_eq!(self.status("Threads:"), 1, "{when}: it started another thread");
        assert!(
            self.file("maps").contains("libc.so"),
            "{when}: not linked dynamically against the C library"
        );
        let ipv4: Vec<String> = ["net/tcp", "net/udp"]
            .iter()
            .flat_map(|table| {
                let text = self.file(table);
                let inodes = text.lines().skip(1).filter_map(|line| line.split_whitespace().nth(9));
                inodes.map(|inode| format!("socket:[{inode}]")).collect::<Vec<_>>()
            })
            .collect();
        let open = self.descriptors();
        let sockets: Vec<_> = open.iter().filter(|target| target.starts_with("socket:")).collect();
        for socket in &sockets {
            // A socket that was closed or opened between the two reads appears in only one of them.
            let stays = || self.descriptors().contains(*socket);
            assert!(ipv4.contains(*socket) || !stays(), "{when}: {socket} is neither TCP nor UDP over IPv4");
        }
        assert!(open.len() <= 256, "{when}: {} descriptors", open.len());
        assert!(self.status("VmHWM:") <= 64 * 1024, "{when}: {} kB", self.status("VmHWM:"));
        sockets.len()
    }
}

/// Runs `run` of the deploy file as the platform does, with load, HUP and TERM.
#[test]
fn as_deployed_it_is_one_process_within_its_limits_that_uses_only_ipv4() {
    let deploy = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/balancer.toml");
    let deploy = std::fs::read_to_string(deploy).unwrap();
    let line = deploy.lines().find_map(|line| line.strip_prefix("run = ")).expect("run");
    let run = line.trim_matches('"').replace("target/release/cresswheel", env!("CARGO_BIN_EXE_cresswheel"));
    let mut shell = Command::new("/bin/sh");
    shell.args(["-c", &run]);
    let (host, directory) = (start_host(answer_ok), Directory::new(1));
    let mut gateway = Gateway::start(shell, &[("s-1", &host)], &directory, "load");
    let process = ProcessInspector { folder: PathBuf::from(format!("/proc/{}", gateway.child.id())) };
    let quiet = process.check("at the start");
    let mut clients: Vec<Client> = (0..40).map(|_| gateway.connect()).collect();
    for round in 0..20 {
        for (n, client) in clients.iter_mut().enumerate() {
            client.send_request("check", "3000", round << 8 | n as u64);
        }
        for client in &mut clients {
            assert_eq!(client.next_answer().1, 0);
        }
    }
    assert!(process.check("under load") >= quiet + 40, "the sockets of the clients were not counted");
    // Only the directory configured by the reload has this list, so its use shows that HUP was handled.
    let new_directory = Directory::new(1);
    new_directory.set_hosts(5, &[("s-1", host.address, 0)]);
    std::fs::write(
        gateway.folder.path().join("config.json"),
        config(&gateway.hosts, new_directory.address, gateway.when_absent),
    )
    .unwrap();
    gateway.signal("-HUP");
    gateway.wait_for_log("list serial=5");
    process.check("after HUP");
    gateway.signal("-TERM");
    assert_eq!(clients[0].next_frame(), Some(FromGateway::Leaving));
    process.check("while it leaves");
    assert_eq!(gateway.wait_for_exit(), Some(0));
}
