//! A gateway on the platform, as a process, between clients, hosts and a directory that the tests play.

mod peers;

use std::collections::HashMap;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use cresswheel_platform_wire::client::{FromGateway, encode_bare};
use peers::{Client, Directory, Do, Host, Node, config, good, host, invokes};

#[test]
fn a_request_is_served_and_what_cant_be_used_is_refused_alone() {
    let (one, names) = (host(good), Directory::new(1));
    let node = Node::new(&[("s-1", &one)], &names, "load");
    let mut client = node.client();
    let mut ready = Vec::new();
    encode_bare(&mut ready, true, 9);
    client.socket.write_all(&ready).unwrap();
    assert_eq!(client.next(), Some(FromGateway::Ready(9, 0)));
    client.ask_as(1, "00000000000000aa", "check", "3000");
    assert_eq!(client.next(), Some(FromGateway::Answer(1, 0, None, b"out".to_vec())));
    client.ask_as(2, "00000000000000ab", "no-such-class", "3000");
    client.ask_as(3, "00000000000000ac", "check", "never");
    client.ask_as(4, "00000000000000ad", "check", "3000");
    let mut answers: Vec<_> = (0..3).map(|_| client.answer()).collect();
    answers.sort_unstable();
    assert_eq!(answers, [(2, 8), (3, 8), (4, 0)]);
    assert_eq!(invokes(&one), 2, "what can't be used reaches no host");
    // A frame that is none ends the connection with a word, and no other connection.
    let mut other = node.client();
    other.socket.write_all(&[0, 0, 0, 0, 100]).unwrap();
    assert!(matches!(other.next(), Some(FromGateway::Answer(0, 13, None, _))));
    assert_eq!(other.next(), None);
    client.ask_as(5, "00000000000000ae", "check", "3000");
    assert_eq!(client.answer(), (5, 0));
}

#[test]
fn an_id_or_a_stream_in_use_is_turned_away_and_the_first_request_is_still_answered() {
    let (one, names) = (host(|_, _| Do::Nothing), Directory::new(1));
    let node = Node::new(&[("s-1", &one)], &names, "load");
    let mut client = node.client();
    client.ask_as(1, "00000000000000aa", "post", "1500");
    client.ask_as(2, "00000000000000aa", "post", "1500");
    assert_eq!(client.answer(), (2, 8), "the id is open");
    client.ask_as(1, "00000000000000ab", "post", "1500");
    assert_eq!(client.answer(), (0, 13), "the stream is open");
    assert_eq!(client.answer(), (1, 13), "the first one fails in its own time: it may have run");
    assert_eq!(client.next(), None, "then the connection ends");
    assert_eq!(invokes(&one), 1);
}

#[test]
fn silent_and_half_spoken_connections_end_soon_and_an_open_request_keeps_its_own() {
    let (one, names) = (host(|_, _| Do::Nothing), Directory::new(1));
    let node = Node::new(&[("s-1", &one)], &names, "load");
    let mut asking = node.client();
    asking.ask("post", "4000", 1);
    let began = Instant::now();
    let (mut silent, mut half) = (node.client(), node.client());
    half.socket.write_all(&[200, 0, 0, 0, 100, 1]).unwrap();
    assert_eq!((silent.next(), half.next()), (None, None));
    assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
    assert_eq!(asking.answer(), (1, 13));
}

#[test]
fn a_spoilt_answer_fails_a_post_and_sends_a_check_again() {
    for (class, code, times) in [("post", 13, 1), ("check", 0, 2)] {
        let spoilt = |word: &str, before: usize| match (word, before) {
            ("invoke", 0) => Do::Bytes(b"*4\r\n$3000000000\r\n"),
            _ => good(word, before),
        };
        let (one, names) = (host(spoilt), Directory::new(1));
        let node = Node::new(&[("s-1", &one)], &names, "load");
        let mut client = node.client();
        client.ask(class, "3000", 1);
        assert_eq!(client.answer(), (1, code), "{class}");
        assert_eq!(invokes(&one), times, "{class}");
    }
}

#[test]
fn a_second_copy_and_an_unknown_id_are_dropped_and_the_connection_goes_on() {
    let more = b"*4\r\n$16\r\n00000000000000aa\r\n$2\r\nOK\r\n$1\r\n-\r\n$1\r\n1\r\n\
                 *4\r\n$16\r\n00000000000000aa\r\n$2\r\nOK\r\n$1\r\n-\r\n$1\r\n2\r\n\
                 *4\r\n$16\r\n00000000000000ff\r\n$2\r\nOK\r\n$1\r\n-\r\n$1\r\n3\r\n";
    let script = |word: &str, before: usize| match (word, before) {
        ("invoke", 0) => Do::Bytes(more),
        _ => good(word, before),
    };
    let (one, names) = (host(script), Directory::new(1));
    let node = Node::new(&[("s-1", &one)], &names, "load");
    let mut client = node.client();
    client.ask_as(1, "00000000000000aa", "post", "3000");
    assert_eq!(client.next(), Some(FromGateway::Answer(1, 0, None, b"1".to_vec())));
    client.ask_as(2, "00000000000000ab", "post", "3000");
    assert_eq!(client.next(), Some(FromGateway::Answer(2, 0, None, b"out".to_vec())));
}

#[test]
fn a_host_that_drains_gets_nothing_new_and_after_hup_another_directory_is_asked() {
    let (one, two) = (host(good), host(good));
    let (names, later) = (Directory::new(1), Directory::new(1));
    let node = Node::new(&[("s-1", &one), ("s-2", &two)], &names, "load");
    let mut client = node.client();
    let mut serve = |salt: u64| {
        (0..20).for_each(|n| {
            let stream = client.ask("check", "3000", salt << 8 | n);
            assert_eq!(client.answer(), (stream, 0));
        });
    };
    names.tell(5, &[("s-1", one.at, 0), ("s-2", two.at, 1)]);
    node.logged("list serial=5");
    let before = invokes(&two);
    serve(1);
    assert_eq!(invokes(&two), before, "it drains");
    // An older list changes nothing.
    names.tell(4, &[("s-1", one.at, 1), ("s-2", two.at, 0)]);
    std::fs::write(node.folder.path().join("config.json"), config(&node.hosts, later.at, node.absent))
        .unwrap();
    later.tell(6, &[("s-1", one.at, 1), ("s-2", two.at, 0)]);
    node.signal("-HUP");
    node.logged("list serial=6");
    let before = invokes(&one);
    serve(2);
    assert_eq!((invokes(&one), invokes(&two) > 0), (before, true));
    // A file that can't be read leaves all as it was.
    std::fs::write(node.folder.path().join("config.json"), "{").unwrap();
    node.signal("-HUP");
    node.logged("the configuration stays as it was");
    serve(3);
}

#[test]
fn term_is_told_and_what_comes_shortly_after_is_still_served() {
    let slow = |word: &str, before: usize| match (word, before) {
        ("invoke", 0) => {
            std::thread::sleep(Duration::from_millis(900));
            good(word, before)
        }
        _ => good(word, before),
    };
    let (one, names) = (host(slow), Directory::new(1));
    let mut node = Node::new(&[("s-1", &one)], &names, "load");
    let mut client = node.client();
    client.ask("post", "3000", 1);
    node.logged("run id=");
    node.signal("-TERM");
    assert_eq!(client.next(), Some(FromGateway::Leaving));
    let mut late = node.client();
    late.ask("post", "3000", 2);
    assert_eq!(late.answer(), (1, 0));
    assert_eq!(client.answer(), (1, 0));
    assert_eq!(node.ends(), Some(0));
    assert_eq!(invokes(&one), 2);
}

#[test]
fn an_order_whose_connection_ends_is_given_again_and_the_request_is_served() {
    let script = |word: &str, before: usize| match (word, before) {
        ("prewarm", 0) => Do::End,
        _ => good(word, before),
    };
    let (one, names) = (host(script), Directory::new(1));
    let node = Node::new(&[("s-1", &one)], &names, "miss");
    let mut client = node.client();
    client.ask("post", "3000", 1);
    assert_eq!(client.answer(), (1, 0));
    let mut words: HashMap<String, usize> = HashMap::new();
    for line in one.seen.lock().unwrap().iter() {
        *words.entry(line.split(' ').next().unwrap().to_owned()).or_insert(0) += 1;
    }
    assert_eq!((words["prewarm"], words["invoke"]), (2, 1), "{words:?}");
}

#[test]
fn a_host_that_refuses_connections_is_passed_over_and_nothing_is_promised_wrongly() {
    let one = host(good);
    let gone = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let dead = Host { at: gone, seen: Arc::default() };
    let names = Directory::new(1);
    let node = Node::new(&[("s-1", &one), ("s-2", &dead)], &names, "load");
    let mut client = node.client();
    for n in 0..20 {
        let stream = client.ask("post", "3000", n);
        assert_eq!(client.answer(), (stream, 0));
    }
}

#[test]
fn a_request_that_a_host_never_answers_is_given_up_there_and_sent_elsewhere() {
    let silent_once = Arc::new(AtomicBool::new(true));
    let hosts: Vec<Host> = (0..2)
        .map(|_| {
            let silent = silent_once.clone();
            host(move |word, before| match word {
                "invoke" if silent.swap(false, Ordering::SeqCst) => Do::Nothing,
                _ => good(word, before),
            })
        })
        .collect();
    let node = Node::new(&[("s-1", &hosts[0]), ("s-2", &hosts[1])], &Directory::new(1), "load");
    let mut client = node.client();
    client.ask_as(1, "00000000000000aa", "check", "5000");
    assert_eq!(client.answer(), (1, 0), "{}", std::fs::read_to_string(node.log()).unwrap());
    let line = |word: &str| format!("{word} 00000000000000aa");
    // The silent host reads on a connection and thread of its own, maybe after the client has its answer.
    let is_aborted = || hosts.iter().any(|host| host.seen.lock().unwrap().contains(&line("abort")));
    let end = Instant::now() + peers::PATIENCE;
    while !is_aborted() && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(5));
    }
    let mut seen: Vec<Vec<String>> = hosts.iter().map(|host| host.seen.lock().unwrap().clone()).collect();
    seen.iter_mut().for_each(|lines| lines.retain(|line| line.ends_with("00000000000000aa")));
    seen.sort_by_key(Vec::len);
    assert_eq!(seen, [vec![line("invoke")], vec![line("invoke"), line("abort")]]);
}

#[test]
fn a_crowd_of_silent_and_of_deaf_clients_hurts_nobody_else() {
    let script = |word: &str, before: usize| match word {
        "invoke" if before < 2 => {
            std::thread::sleep(Duration::from_millis(1_500));
            good(word, before)
        }
        _ => good(word, before),
    };
    let (one, names) = (host(script), Directory::new(1));
    let node = Node::new(&[("s-1", &one)], &names, "load");
    let mut open = node.client();
    open.ask("post", "4000", 1);
    node.logged("run id=");
    // 256 descriptors leave 116 places for clients; three times as many come, some send without reading.
    let crowd: Vec<TcpStream> = (0..350).map(|_| TcpStream::connect(node.at).unwrap()).collect();
    let mut ready = Vec::new();
    (1..200).for_each(|stream| encode_bare(&mut ready, true, stream));
    for mut deaf in crowd.iter().take(30) {
        let _ = deaf.write_all(&ready);
    }
    let mut late = node.client();
    late.ask("post", "4000", 2);
    assert_eq!(late.answer(), (1, 0), "a new client finds a place");
    assert_eq!(open.answer(), (1, 0), "an open request keeps its connection");
}

/// What the system tells of a running process.
struct Seen {
    folder: PathBuf,
}

impl Seen {
    fn file(&self, name: &str) -> String {
        std::fs::read_to_string(self.folder.join(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
    }

    /// A figure of its status file.
    fn status(&self, name: &str) -> u64 {
        let status = self.file("status");
        let line = status.lines().find(|line| line.starts_with(name)).expect(name);
        line.split_whitespace().nth(1).and_then(|figure| figure.parse().ok()).expect(name)
    }

    /// What its descriptors are open on; one that closes meanwhile is left out.
    fn descriptors(&self) -> Vec<String> {
        let folder = std::fs::read_dir(self.folder.join("fd")).unwrap();
        let open = folder.filter_map(|entry| std::fs::read_link(entry.unwrap().path()).ok());
        open.map(|target| target.to_string_lossy().into_owned()).collect()
    }

    /// Holds the process against what the platform allows; gives the number of its sockets.
    fn check(&self, when: &str) -> usize {
        let exe = std::fs::read_link(self.folder.join("exe")).unwrap();
        let same = std::fs::canonicalize(env!("CARGO_BIN_EXE_cresswheel")).unwrap();
        assert_eq!(exe, same, "{when}: `run` ends in the program itself, not in a shell round it");
        let children = std::fs::read_dir(self.folder.join("task"))
            .unwrap()
            .map(|task| std::fs::read_to_string(task.unwrap().path().join("children")).unwrap_or_default());
        let children: String = children.collect();
        assert_eq!(children.trim(), "", "{when}: it starts no further process");
        assert_eq!(self.status("Threads:"), 1, "{when}: one loop, no further thread");
        assert!(
            self.file("maps").contains("libc.so"),
            "{when}: it is linked dynamically against the C library"
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
            // One that was closed or opened between the two looks is in the one and not in the other.
            let stays = || self.descriptors().contains(*socket);
            assert!(ipv4.contains(*socket) || !stays(), "{when}: {socket} is neither TCP nor UDP over IPv4");
        }
        assert!(open.len() <= 256, "{when}: {} descriptors", open.len());
        assert!(self.status("VmHWM:") <= 64 * 1024, "{when}: {} kB", self.status("VmHWM:"));
        sockets.len()
    }
}

/// `run` of the deploy file, as the platform starts it, under load, HUP and TERM.
#[test]
fn as_deployed_it_is_one_process_within_its_limits_that_speaks_ipv4_alone() {
    let deploy = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/balancer.toml");
    let deploy = std::fs::read_to_string(deploy).unwrap();
    let line = deploy.lines().find_map(|line| line.strip_prefix("run = ")).expect("run");
    let run = line.trim_matches('"').replace("target/release/cresswheel", env!("CARGO_BIN_EXE_cresswheel"));
    let mut shell = Command::new("/bin/sh");
    shell.args(["-c", &run]);
    let (one, names) = (host(good), Directory::new(1));
    let mut node = Node::start(shell, &[("s-1", &one)], &names, "load");
    let seen = Seen { folder: PathBuf::from(format!("/proc/{}", node.child.id())) };
    let quiet = seen.check("at the start");
    let mut clients: Vec<Client> = (0..40).map(|_| node.client()).collect();
    for round in 0..20 {
        for (n, client) in clients.iter_mut().enumerate() {
            client.ask("check", "3000", round << 8 | n as u64);
        }
        for client in &mut clients {
            assert_eq!(client.answer().1, 0);
        }
    }
    assert!(seen.check("under load") >= quiet + 40, "the look sees its sockets");
    // Only the directory named after HUP tells of this list, so that it was taken shows that HUP was.
    let later = Directory::new(1);
    later.tell(5, &[("s-1", one.at, 0)]);
    std::fs::write(node.folder.path().join("config.json"), config(&node.hosts, later.at, node.absent))
        .unwrap();
    node.signal("-HUP");
    node.logged("list serial=5");
    seen.check("after HUP");
    node.signal("-TERM");
    assert_eq!(clients[0].next(), Some(FromGateway::Leaving));
    seen.check("while it leaves");
    assert_eq!(node.ends(), Some(0));
}
