//! A gateway on the platform, as a process, between clients, hosts and a directory that the tests play.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use cresswheel_platform_wire::client::{FromGateway, encode_bare, encode_request, take_from_gateway};
use cresswheel_platform_wire::host::{encode_answer, take_command};
use hickory_proto::op::{Message, MessageType, OpCode, Query};
use hickory_proto::rr::rdata::{A, SOA, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record, RecordType};

/// Nothing in these tests takes as long; what does is a failure.
const PATIENCE: Duration = Duration::from_secs(20);
const F: &str = "7f3a9c21e0b4d655";

/// What a host does with a command.
enum Do {
    Answer(&'static str, &'static str, &'static [u8]),
    Bytes(&'static [u8]),
    /// Ends the connection in good order.
    End,
    Nothing,
}

type Script = Arc<dyn Fn(&str, usize) -> Do + Send + Sync>;

/// A host: answers by a script, which is told the command's first word and how often that came before.
struct Host {
    at: SocketAddr,
    /// `word id-or-tag` of each command.
    seen: Arc<Mutex<Vec<String>>>,
}

fn host(script: impl Fn(&str, usize) -> Do + Send + Sync + 'static) -> Host {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let seen: Arc<Mutex<Vec<String>>> = Arc::default();
    let (script, noted): (Script, _) = (Arc::new(script), seen.clone());
    std::thread::spawn(move || {
        for socket in listener.incoming() {
            let (script, noted) = (script.clone(), noted.clone());
            std::thread::spawn(move || talk(socket.unwrap(), &script, &noted));
        }
    });
    Host { at, seen }
}

fn talk(mut socket: TcpStream, script: &Script, seen: &Mutex<Vec<String>>) {
    let (mut held, mut part) = (Vec::new(), [0; 4096]);
    loop {
        while let Some(command) = take_command(&mut held).expect("commands") {
            let text = |n: usize| String::from_utf8_lossy(command.get(n).map_or(&[], |p| p)).into_owned();
            let (word, id) = (text(0), text(1));
            let before = {
                let mut seen = seen.lock().unwrap();
                let before = seen.iter().filter(|line| line.starts_with(&word)).count();
                seen.push(format!("{word} {id}"));
                before
            };
            let mut out = Vec::new();
            match script(&word, before) {
                Do::Answer(word, fields, body) => encode_answer(&mut out, &id, word, fields, body),
                Do::Bytes(bytes) => out.extend_from_slice(bytes),
                Do::End => return,
                Do::Nothing => {}
            }
            if socket.write_all(&out).is_err() {
                return;
            }
        }
        match socket.read(&mut part) {
            Ok(0) | Err(_) => return,
            Ok(count) => held.extend_from_slice(&part[..count]),
        }
    }
}

fn good(word: &str, _: usize) -> Do {
    match word {
        "invoke" => Do::Answer("OK", "rivals=1", b"out"),
        "prewarm" => Do::Answer("OK", "instances=1", b""),
        _ => Do::Nothing,
    }
}

/// A serial, and hosts with their priorities.
type List = Arc<Mutex<(u32, Vec<(String, SocketAddr, u16)>)>>;

/// A directory; it says nothing until it has hosts to tell of.
#[derive(Clone)]
struct Directory {
    at: SocketAddr,
    list: List,
}

impl Directory {
    fn new(serial: u32) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let at = socket.local_addr().unwrap();
        let list: List = Arc::new(Mutex::new((serial, vec![])));
        let told = list.clone();
        std::thread::spawn(move || {
            let mut bytes = [0; 512];
            while let Ok((count, from)) = socket.recv_from(&mut bytes) {
                let asked = Message::from_vec(&bytes[..count]).unwrap();
                let (serial, hosts) = told.lock().unwrap().clone();
                if !hosts.is_empty() {
                    socket.send_to(&answer(asked.metadata.id, serial, &hosts), from).unwrap();
                }
            }
        });
        Self { at, list }
    }

    fn tell(&self, serial: u32, hosts: &[(&str, SocketAddr, u16)]) {
        let hosts = hosts.iter().map(|(id, at, priority)| ((*id).to_owned(), *at, *priority));
        *self.list.lock().unwrap() = (serial, hosts.collect());
    }
}

fn answer(id: u16, serial: u32, hosts: &[(String, SocketAddr, u16)]) -> Vec<u8> {
    let name = |text: &str| Name::from_ascii(text).unwrap();
    let service = name("_data._tcp.farm.lan.");
    let mut message = Message::new(id, MessageType::Response, OpCode::Query);
    message.add_query(Query::query(service.clone(), RecordType::SRV));
    for (id, at, priority) in hosts {
        let target = name(&format!("{id}.east.hosts."));
        let SocketAddr::V4(at) = at else { unreachable!("hosts are on IPv4") };
        let srv = SRV::new(*priority, 40, at.port(), target.clone());
        message.add_answer(Record::from_rdata(service.clone(), 1, RData::SRV(srv)));
        message.add_additional(Record::from_rdata(target.clone(), 1, RData::A(A(*at.ip()))));
        let text = TXT::new(vec!["kind=std".into(), "cell=1".into(), "started=0".into()]);
        message.add_additional(Record::from_rdata(target, 1, RData::TXT(text)));
    }
    let soa = SOA::new(name("ns.farm.lan."), name("op.farm.lan."), serial, 1, 1, 1, 1);
    message.add_authority(Record::from_rdata(name("farm.lan."), 1, RData::SOA(soa)));
    message.to_vec().unwrap()
}

struct Node {
    child: Child,
    at: SocketAddr,
    folder: tempfile::TempDir,
    hosts: Vec<(String, SocketAddr)>,
    absent: &'static str,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn config(hosts: &[(String, SocketAddr)], names: SocketAddr, absent: &str) -> String {
    let mut members = String::new();
    for (id, at) in hosts {
        let comma = if members.is_empty() { "" } else { "," };
        let _ = write!(
            members,
            "{comma}{{\"id\":\"{id}\",\"host_port\":\"{at}\",\"locality\":\"east\",\"flavor\":\"std\",\"cell\":1,\
             \"phase\":\"Ready\",\"size\":4,\"up_since_ms\":0}}"
        );
    }
    let class = |name: &str, semantics: &str| {
        format!(
            "{{\"name\":\"{name}\",\"aim\":600000,\"give_up\":5000000,\"semantics\":\"{semantics}\",\"value\":2.0}}"
        )
    };
    format!(
        "{{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"seed\":\"01\",\"names\":\"{names}\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":64,\"sockets\":256}},\
         \"known\":{{\"pos\":1,\"entries\":[{{\"pos\":1,\"hosts\":{{\"revision\":1,\"complete\":true,\
         \"members\":[{members}]}}}}]}},\
         \"settings\":{{\"balancers\":1,\"tick\":2000,\"profiles\":[{},{}],\
         \"limits\":{{\"max_attempts\":5,\"cancel\":true,\"connect_timeout\":250000,\"retry_after\":true,\
         \"max_retry_after\":2000000}},\"rules\":{{\"drain_grace\":1000000}},\
         \"specifics\":{{\"may_load\":true,\"when_absent\":\"{absent}\",\"keep_alive\":10000000,\
         \"load_wait\":10000000}}}}}}",
        class("check", "idempotent"),
        class("post", "at_most_once")
    )
}

impl Node {
    fn new(hosts: &[(&str, &Host)], names: &Directory, absent: &'static str) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_cresswheel"));
        command.args(["--log", "debug", "platform"]);
        Self::start(command, hosts, names, absent)
    }

    fn start(mut command: Command, hosts: &[(&str, &Host)], names: &Directory, absent: &'static str) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let hosts: Vec<_> = hosts.iter().map(|(id, host)| ((*id).to_owned(), host.at)).collect();
        let file = folder.path().join("config.json");
        std::fs::write(&file, config(&hosts, names.at, absent)).unwrap();
        let log = std::fs::File::create(folder.path().join("log")).unwrap();
        let child = command.env("NODE_CONFIG", &file).stdin(Stdio::null()).stderr(log).spawn().unwrap();
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut node = Self { child, at: nowhere, folder, hosts, absent };
        let line = node.logged("listens address=");
        node.at = line.rsplit('=').next().unwrap().parse().unwrap();
        node
    }

    fn log(&self) -> PathBuf {
        self.folder.path().join("log")
    }

    /// Waits until the log has a line with these words.
    fn logged(&self, words: &str) -> String {
        let end = Instant::now() + PATIENCE;
        loop {
            let log = std::fs::read_to_string(self.log()).unwrap();
            // The last line may not be whole yet.
            let whole = log.rsplit_once('\n').map_or("", |(whole, _)| whole);
            if let Some(line) = whole.lines().find(|line| line.contains(words)) {
                return line.to_owned();
            }
            assert!(Instant::now() < end, "the log never said {words:?}:\n{log}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn signal(&self, name: &str) {
        let done = Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
        assert!(done.success());
    }

    fn client(&self) -> Client {
        let socket = TcpStream::connect(self.at).unwrap();
        socket.set_read_timeout(Some(PATIENCE)).unwrap();
        Client { socket, held: Vec::new(), next: 0 }
    }

    fn ends(&mut self) -> Option<i32> {
        let end = Instant::now() + PATIENCE;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            assert!(Instant::now() < end, "it never ended");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

struct Client {
    socket: TcpStream,
    held: Vec<u8>,
    next: u32,
}

impl Client {
    /// Asks; the stream is the number of the request on this connection, and the id is made from it and `salt`.
    fn ask(&mut self, class: &str, wait: &str, salt: u64) -> u32 {
        self.next += 1;
        let id = format!("{:08x}{:08x}", salt, self.next);
        self.ask_as(self.next, &id, class, wait);
        self.next
    }

    fn ask_as(&mut self, stream: u32, id: &str, class: &str, wait: &str) {
        let fields = [
            ("class", class),
            ("id", id),
            ("wait", wait),
            ("key", F),
            ("spec", "memory_mb:512;lanes:4;load_ms:1"),
        ];
        let mut out = Vec::new();
        encode_request(&mut out, stream, &fields, b"in");
        self.socket.write_all(&out).unwrap();
    }

    /// The next frame; `None`: the connection has ended.
    fn next(&mut self) -> Option<FromGateway> {
        loop {
            if let Some(frame) = take_from_gateway(&mut self.held).unwrap() {
                return Some(frame);
            }
            let mut part = [0; 4096];
            match self.socket.read(&mut part) {
                Ok(0) => return None,
                Ok(count) => self.held.extend_from_slice(&part[..count]),
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => return None,
                Err(error) => panic!("{error}"),
            }
        }
    }

    /// The next answer: its stream and its code.
    fn answer(&mut self) -> (u32, u8) {
        loop {
            match self.next().expect("an answer") {
                FromGateway::Answer(stream, code, ..) => return (stream, code),
                FromGateway::Leaving => {}
                other => panic!("{other:?}"),
            }
        }
    }
}

fn invokes(host: &Host) -> usize {
    host.seen.lock().unwrap().iter().filter(|line| line.starts_with("invoke")).count()
}

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
    let mut seen: Vec<Vec<String>> = hosts.iter().map(|host| host.seen.lock().unwrap().clone()).collect();
    seen.iter_mut().for_each(|lines| lines.retain(|line| line.ends_with("00000000000000aa")));
    seen.sort_by_key(Vec::len);
    let line = |word: &str| format!("{word} 00000000000000aa");
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
