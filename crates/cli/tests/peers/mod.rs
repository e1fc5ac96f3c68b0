//! Shared by the tests of the platform gateway: the gateway process, and the clients, hosts and directory
//! (the platform's host list service) that a test simulates.
#![allow(dead_code)]

use std::collections::{HashMap, VecDeque};
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use cresswheel_platform_wire::client::{
    FromGateway, decode_from_gateway, encode_request, encode_without_fields,
};
use cresswheel_platform_wire::directory::{HostList, encode_host_list, message_id};
use cresswheel_platform_wire::host::{decode_command, encode_answer};
use cresswheel_protocol::{ListedWorker, MemberState};

/// Upper bound for every wait in these tests; exceeding it is a failure.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
pub const FUNCTION: &str = "7f3a9c21e0b4d655";

/// How a host reacts to a command.
pub enum HostAction {
    /// Sends an answer with this status, fields and body.
    Answer(&'static str, &'static str, &'static [u8]),
    /// Sends raw bytes.
    Bytes(&'static [u8]),
    /// Closes the connection without a reset.
    Close,
    Nothing,
}

pub type HostScript = Arc<dyn Fn(&str, usize) -> HostAction + Send + Sync>;

/// A host that answers by a script, which gets the name of the command and how often that command came
/// before.
pub struct Host {
    pub address: SocketAddr,
    /// `name id-or-tag` of each command.
    pub commands: Arc<Mutex<Vec<String>>>,
    /// When each attempt came, by its id.
    pub invoke_times: InvokeTimes,
}

pub type InvokeTimes = Arc<Mutex<Vec<(String, Instant)>>>;

pub fn start_host(script: impl Fn(&str, usize) -> HostAction + Send + Sync + 'static) -> Host {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let commands: Arc<Mutex<Vec<String>>> = Arc::default();
    let invoke_times = InvokeTimes::default();
    let (script, command_log): (HostScript, _) = (Arc::new(script), commands.clone());
    let times = invoke_times.clone();
    std::thread::spawn(move || {
        for socket in listener.incoming() {
            let (script, command_log, times) = (script.clone(), command_log.clone(), times.clone());
            std::thread::spawn(move || serve_connection(socket.unwrap(), &script, &command_log, &times));
        }
    });
    Host { address, commands, invoke_times }
}

pub fn serve_connection(
    mut socket: TcpStream,
    script: &HostScript,
    commands: &Mutex<Vec<String>>,
    invoke_times: &Mutex<Vec<(String, Instant)>>,
) {
    let (mut received, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        while let Some(command) = decode_command(&mut received).expect("commands") {
            let text = |n: usize| String::from_utf8_lossy(command.get(n).map_or(&[], |p| p)).into_owned();
            let (name, id) = (text(0), text(1));
            if name == "invoke" {
                invoke_times.lock().unwrap().push((id.clone(), Instant::now()));
            }
            let before = {
                let mut commands = commands.lock().unwrap();
                let before = commands.iter().filter(|line| line.starts_with(&name)).count();
                commands.push(format!("{name} {id}"));
                before
            };
            let mut out = Vec::new();
            match script(&name, before) {
                HostAction::Answer(status, fields, body) => {
                    encode_answer(&mut out, &id, status, fields, body)
                }
                HostAction::Bytes(bytes) => out.extend_from_slice(bytes),
                HostAction::Close => return,
                HostAction::Nothing => {}
            }
            if socket.write_all(&out).is_err() {
                return;
            }
        }
        match socket.read(&mut chunk) {
            Ok(0) | Err(_) => return,
            Ok(count) => received.extend_from_slice(&chunk[..count]),
        }
    }
}

pub fn answer_ok(name: &str, _: usize) -> HostAction {
    match name {
        "invoke" => HostAction::Answer("OK", "rivals=1", b"out"),
        "prewarm" => HostAction::Answer("OK", "instances=1", b""),
        _ => HostAction::Nothing,
    }
}

/// A serial, and the hosts with their priorities.
pub type HostEntries = (u32, Vec<(String, SocketAddr, u16)>);
pub type SharedHostList = Arc<Mutex<HostEntries>>;

/// An outdated list that is sent instead of the current one.
#[derive(Debug)]
struct StaleAnswer {
    answer: HostEntries,
    /// The directory sends no further answers after it.
    then_silent: bool,
}

/// A directory. It doesn't answer while its list is empty.
#[derive(Clone)]
pub struct Directory {
    pub address: SocketAddr,
    pub list: SharedHostList,
    /// Sent before the current list, one for each query.
    stale_answers: Arc<Mutex<VecDeque<StaleAnswer>>>,
    answer_limit: Arc<AtomicUsize>,
    host_start_ms: Arc<AtomicU64>,
    delay_ms: Arc<AtomicU64>,
}

impl Directory {
    pub fn new(serial: u32) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let address = socket.local_addr().unwrap();
        let list: SharedHostList = Arc::new(Mutex::new((serial, vec![])));
        let current_list = list.clone();
        let stale_answers: Arc<Mutex<VecDeque<StaleAnswer>>> = Arc::default();
        let pending_stale = stale_answers.clone();
        let answer_limit = Arc::new(AtomicUsize::new(usize::MAX));
        let limit = answer_limit.clone();
        let host_start_ms = Arc::new(AtomicU64::new(0));
        let start_ms = host_start_ms.clone();
        let delay_ms = Arc::new(AtomicU64::new(0));
        let delay = delay_ms.clone();
        std::thread::spawn(move || {
            let mut bytes = [0; 512];
            let mut sent_by_address: HashMap<SocketAddr, usize> = HashMap::new();
            while let Ok((count, from)) = socket.recv_from(&mut bytes) {
                let query_id = message_id(&bytes[..count]).unwrap();
                let sent = sent_by_address.entry(from).or_insert(0);
                let current = current_list.lock().unwrap().clone();
                if !current.1.is_empty() && *sent < limit.load(Ordering::SeqCst) {
                    *sent += 1;
                    let (serial, hosts) = match pending_stale.lock().unwrap().pop_front() {
                        Some(StaleAnswer { answer, then_silent }) => {
                            limit.fetch_min(if then_silent { 0 } else { usize::MAX }, Ordering::SeqCst);
                            answer
                        }
                        None => current,
                    };
                    let bytes = encode_hosts(query_id, serial, &hosts, start_ms.load(Ordering::SeqCst));
                    send_after(&socket, from, bytes, Duration::from_millis(delay.load(Ordering::SeqCst)));
                }
            }
        });
        Self { address, list, stale_answers, answer_limit, host_start_ms, delay_ms }
    }

    /// Delays each answer; it contains the list as of the query.
    pub fn set_answer_delay(&self, delay: Duration) {
        self.delay_ms.store(delay.as_millis() as u64, Ordering::SeqCst);
    }

    /// Limits the number of answers to each querying address.
    pub fn limit_answers_per_address(&self, most: usize) {
        self.answer_limit.store(most, Ordering::SeqCst);
    }

    /// Sets the start time, in Unix milliseconds, that is reported for all hosts.
    pub fn set_host_start_time(&self, unix_ms: u64) {
        self.host_start_ms.store(unix_ms, Ordering::SeqCst);
    }

    pub fn set_hosts(&self, serial: u32, hosts: &[(&str, SocketAddr, u16)]) {
        *self.list.lock().unwrap() = (serial, to_owned_hosts(hosts));
    }

    /// Answers the next `times` queries with this outdated list, then with the current one again.
    pub fn queue_stale_answers(&self, times: usize, serial: u32, hosts: &[(&str, SocketAddr, u16)]) {
        let stale = |_| StaleAnswer { answer: (serial, to_owned_hosts(hosts)), then_silent: false };
        self.stale_answers.lock().unwrap().extend((0..times).map(stale));
    }

    /// Like `queue_stale_answers`, but sends no further answers afterwards.
    pub fn queue_stale_answers_then_silence(
        &self,
        times: usize,
        serial: u32,
        hosts: &[(&str, SocketAddr, u16)],
    ) {
        let stale = |n| StaleAnswer { answer: (serial, to_owned_hosts(hosts)), then_silent: n == times };
        self.stale_answers.lock().unwrap().extend((1..=times).map(stale));
    }

    /// Waits until every outdated list was sent.
    pub fn wait_until_stale_sent(&self) {
        let end = Instant::now() + TEST_TIMEOUT;
        while !self.stale_answers.lock().unwrap().is_empty() {
            assert!(Instant::now() < end, "the directory was not queried");
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

fn to_owned_hosts(hosts: &[(&str, SocketAddr, u16)]) -> Vec<(String, SocketAddr, u16)> {
    hosts.iter().map(|(id, address, priority)| ((*id).to_owned(), *address, *priority)).collect()
}

fn send_after(socket: &UdpSocket, to: SocketAddr, bytes: Vec<u8>, delay: Duration) {
    if delay.is_zero() {
        // The receiver may have closed its socket since; that isn't an error here.
        let _ = socket.send_to(&bytes, to);
        return;
    }
    let socket = socket.try_clone().unwrap();
    std::thread::spawn(move || {
        std::thread::sleep(delay);
        let _ = socket.send_to(&bytes, to);
    });
}

pub fn encode_hosts(id: u16, serial: u32, hosts: &[(String, SocketAddr, u16)], start_ms: u64) -> Vec<u8> {
    let listed = hosts.iter().map(|(id, address, priority)| ListedWorker {
        id: id.clone(),
        address: address.to_string(),
        zone: "east".into(),
        kind: "std".into(),
        cell: 1,
        standing: if *priority == 0 { MemberState::Active } else { MemberState::Draining },
        started: start_ms * 1_000,
    });
    encode_host_list(id, &HostList { serial: u64::from(serial), hosts: listed.collect() }).unwrap()
}

pub struct Gateway {
    pub child: Child,
    pub address: SocketAddr,
    pub folder: tempfile::TempDir,
    pub hosts: Vec<(String, SocketAddr)>,
    pub when_absent: &'static str,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            eprintln!("{}", std::fs::read_to_string(self.log_path()).unwrap_or_default());
        }
    }
}

pub fn config(hosts: &[(String, SocketAddr)], directory: SocketAddr, when_absent: &str) -> String {
    let mut members = String::new();
    for (id, address) in hosts {
        let comma = if members.is_empty() { "" } else { "," };
        let _ = write!(
            members,
            "{comma}{{\"id\":\"{id}\",\"host_port\":\"{address}\",\"locality\":\"east\",\"flavor\":\"std\",\"cell\":1,\
             \"phase\":\"Ready\",\"size\":4,\"up_since_ms\":0}}"
        );
    }
    let class = |name: &str, semantics: &str| {
        format!(
            "{{\"name\":\"{name}\",\"aim\":600000,\"give_up\":5000000,\"semantics\":\"{semantics}\",\"value\":2.0}}"
        )
    };
    format!(
        "{{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"seed\":\"01\",\"names\":\"{directory}\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":64,\"sockets\":256}},\
         \"known\":{{\"pos\":1,\"entries\":[{{\"pos\":1,\"hosts\":{{\"revision\":1,\"complete\":true,\
         \"members\":[{members}]}}}}]}},\
         \"settings\":{{\"balancers\":1,\"tick\":2000,\"profiles\":[{},{}],\
         \"limits\":{{\"max_attempts\":5,\"cancel\":true,\"connect_timeout\":250000,\"retry_after\":true,\
         \"max_retry_after\":2000000}},\"rules\":{{\"drain_grace\":1000000}},\
         \"specifics\":{{\"may_load\":true,\"when_absent\":\"{when_absent}\",\"keep_alive\":10000000,\
         \"load_wait\":10000000}}}}}}",
        class("check", "idempotent"),
        class("post", "at_most_once")
    )
}

/// The read end of a process's log pipe, which may be left unread.
pub struct LogPipe {
    reading: Arc<AtomicBool>,
}

impl LogPipe {
    pub fn set_reading(&self, reading: bool) {
        self.reading.store(reading, Ordering::SeqCst);
    }
}

fn copy_log_while_reading(mut log: impl Read, mut file: std::fs::File, reading: &AtomicBool) {
    let mut chunk = [0; 4096];
    loop {
        if !reading.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(1));
            continue;
        }
        match log.read(&mut chunk) {
            Ok(0) | Err(_) => return,
            Ok(count) => file.write_all(&chunk[..count]).unwrap(),
        }
    }
}

impl Gateway {
    pub fn new(hosts: &[(&str, &Host)], directory: &Directory, when_absent: &'static str) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_cresswheel"));
        command.args(["--log", "debug", "platform"]);
        Self::start(command, hosts, directory, when_absent)
    }

    pub fn start(
        command: Command,
        hosts: &[(&str, &Host)],
        directory: &Directory,
        when_absent: &'static str,
    ) -> Self {
        let hosts: Vec<_> = hosts.iter().map(|(id, host)| ((*id).to_owned(), host.address)).collect();
        let mut gateway =
            Self::spawn(command, &config(&hosts, directory.address, when_absent)).wait_until_listening();
        (gateway.hosts, gateway.when_absent) = (hosts, when_absent);
        gateway
    }

    /// Starts a gateway with this configuration and waits until it listens.
    pub fn with_config(config: &str) -> Self {
        Self::spawn_with_config(config).wait_until_listening()
    }

    /// Starts a gateway with this configuration; it may not listen yet.
    pub fn spawn_with_config(config: &str) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_cresswheel"));
        command.args(["--log", "debug", "platform"]);
        Self::spawn(command, config)
    }

    /// Starts a gateway with this limit on open descriptors (`ulimit -n`), whatever its configuration says.
    pub fn with_descriptor_limit(config: &str, limit: usize) -> Self {
        let mut shell = Command::new("/bin/sh");
        let run =
            format!("ulimit -n {limit}; exec {} --log debug platform", env!("CARGO_BIN_EXE_cresswheel"));
        shell.args(["-c", &run]);
        Self::spawn(shell, config).wait_until_listening()
    }

    /// Starts a gateway whose log goes through a pipe that is read only while the test wants it to be. Once
    /// the pipe is full, the process blocks in the middle of a loop iteration.
    pub fn with_piped_log(config: &str) -> (Self, LogPipe) {
        let (reader, writer) = std::io::pipe().unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_cresswheel"));
        command.args(["--log", "debug", "platform"]);
        let gateway = Self::spawn_logging_to(command, config, |_| writer.into());
        let reading = Arc::new(AtomicBool::new(true));
        let (log, reading_flag) = (gateway.log_path(), reading.clone());
        let file = std::fs::File::create(log).unwrap();
        std::thread::spawn(move || copy_log_while_reading(reader, file, &reading_flag));
        (gateway.wait_until_listening(), LogPipe { reading })
    }

    pub fn spawn(command: Command, config: &str) -> Self {
        Self::spawn_logging_to(command, config, |log| std::fs::File::create(log).unwrap().into())
    }

    fn spawn_logging_to(mut command: Command, config: &str, log: impl FnOnce(&Path) -> Stdio) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("config.json");
        std::fs::write(&file, config).unwrap();
        let log = log(&folder.path().join("log"));
        let child = command.env("NODE_CONFIG", &file).stdin(Stdio::null()).stderr(log).spawn().unwrap();
        let unbound = SocketAddr::from(([127, 0, 0, 1], 0));
        Self { child, address: unbound, folder, hosts: Vec::new(), when_absent: "" }
    }

    /// Waits until the gateway listens.
    pub fn wait_until_listening(mut self) -> Self {
        let line = self.wait_for_log("listens address=");
        self.address = line.rsplit('=').next().unwrap().parse().unwrap();
        self
    }

    pub fn log_path(&self) -> PathBuf {
        self.folder.path().join("log")
    }

    /// Waits until the log has a line that contains this text, and returns it.
    pub fn wait_for_log(&self, text: &str) -> String {
        self.wait_for_log_count(text, 1)
    }

    /// Waits until the log has this many such lines, and returns the last of them.
    pub fn wait_for_log_count(&self, text: &str, times: usize) -> String {
        let end = Instant::now() + TEST_TIMEOUT;
        loop {
            let log = std::fs::read_to_string(self.log_path()).unwrap();
            // The last line may be incomplete.
            let whole = log.rsplit_once('\n').map_or("", |(whole, _)| whole);
            if let Some(line) = whole.lines().filter(|line| line.contains(text)).nth(times - 1) {
                return line.to_owned();
            }
            assert!(Instant::now() < end, "the log does not contain {text:?}:\n{log}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn signal(&self, name: &str) {
        let done = Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
        assert!(done.success());
    }

    /// Replaces the configuration file.
    pub fn write_config(&self, config: &str) {
        std::fs::write(self.folder.path().join("config.json"), config).unwrap();
    }

    /// Stops the process with SIGSTOP: what arrives now is found all at once when it resumes.
    pub fn pause(&self) {
        self.signal("-STOP");
        let end = Instant::now() + TEST_TIMEOUT;
        let stat = format!("/proc/{}/stat", self.child.id());
        while !std::fs::read_to_string(&stat).unwrap().rsplit(')').next().unwrap().starts_with(" T") {
            assert!(Instant::now() < end, "the process did not stop");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    pub fn resume(&self) {
        self.signal("-CONT");
    }

    pub fn connect(&self) -> Client {
        Client::from_socket(TcpStream::connect(self.address).unwrap())
    }

    /// A client for which the kernel buffers some tens of kilobytes at most: a small receive window and small
    /// segments also keep the gateway's send buffer small.
    pub fn connect_with_small_buffers(&self) -> Client {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4 << 10).unwrap();
        socket.set_tcp_mss(536).unwrap();
        socket.connect(&self.address.into()).unwrap();
        Client::from_socket(socket.into())
    }

    pub fn wait_for_exit(&mut self) -> Option<i32> {
        let end = Instant::now() + TEST_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            assert!(Instant::now() < end, "the process did not exit");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

pub struct Client {
    pub socket: TcpStream,
    pub received: Vec<u8>,
    next_stream: u32,
}

impl Client {
    pub fn from_socket(socket: TcpStream) -> Self {
        socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Self { socket, received: Vec::new(), next_stream: 0 }
    }

    /// Sends a request. The stream is the number of the request on this connection; the id is made from it
    /// and `salt`.
    pub fn send_request(&mut self, class: &str, wait: &str, salt: u64) -> u32 {
        self.next_stream += 1;
        let id = format!("{:08x}{:08x}", salt, self.next_stream);
        self.send_request_with_id(self.next_stream, &id, class, wait);
        self.next_stream
    }

    pub fn send_request_with_id(&mut self, stream: u32, id: &str, class: &str, wait: &str) {
        self.send_bytes(&request_frame(stream, id, class, wait, FUNCTION, b"in"));
    }

    /// Like `send_request`, on a connection that may be closed; returns whether the whole request was
    /// written.
    pub fn try_send_request(&mut self, class: &str, wait: &str, salt: u64) -> bool {
        self.next_stream += 1;
        let id = format!("{:08x}{:08x}", salt, self.next_stream);
        self.socket.write_all(&request_frame(self.next_stream, &id, class, wait, FUNCTION, b"in")).is_ok()
    }

    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.socket.write_all(bytes).unwrap();
    }

    /// Cancels the request on a stream.
    pub fn cancel(&mut self, stream: u32) {
        let mut bytes = Vec::new();
        encode_without_fields(&mut bytes, false, stream);
        self.send_bytes(&bytes);
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        socket2::SockRef::from(&self.socket).set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// The next frame; `None` if the connection was closed.
    pub fn next_frame(&mut self) -> Option<FromGateway> {
        loop {
            if let Some(frame) = decode_from_gateway(&mut self.received).unwrap() {
                return Some(frame);
            }
            let mut chunk = [0; 4096];
            match self.socket.read(&mut chunk) {
                Ok(0) => return None,
                Ok(count) => self.received.extend_from_slice(&chunk[..count]),
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => return None,
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
                Err(error) => panic!("{error}"),
            }
        }
    }

    /// The stream and code of the next answer.
    pub fn next_answer(&mut self) -> (u32, u8) {
        loop {
            match self.next_frame().expect("an answer") {
                FromGateway::Answer(stream, code, ..) => return (stream, code),
                FromGateway::Leaving => {}
                other => panic!("{other:?}"),
            }
        }
    }
}

/// The encoded frame of a request.
pub fn request_frame(stream: u32, id: &str, class: &str, wait: &str, function: &str, body: &[u8]) -> Vec<u8> {
    let fields = [
        ("class", class),
        ("id", id),
        ("wait", wait),
        ("key", function),
        ("spec", "memory_mb:512;lanes:4;load_ms:1"),
    ];
    let mut out = Vec::new();
    encode_request(&mut out, stream, &fields, body);
    out
}

/// A host whose connections and answers the test controls step by step.
pub struct ManualHost {
    listener: TcpListener,
    pub address: SocketAddr,
    connections: Vec<Option<(TcpStream, Vec<u8>)>>,
    /// New connections stay in the backlog.
    pub accepts_paused: bool,
}

impl ManualHost {
    pub fn new() -> Self {
        Self::from_listener(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    /// A host with a listen backlog of one connection; further connections are not established.
    pub fn with_backlog_of_one() -> Self {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        Self::from_listener(socket.into())
    }

    fn from_listener(listener: TcpListener) -> Self {
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        Self { listener, address, connections: Vec::new(), accepts_paused: false }
    }

    /// A host whose connections buffer only a few kilobytes of unread data.
    pub fn with_small_receive_buffer() -> Self {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4 << 10).unwrap();
        socket.set_tcp_mss(536).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(128).unwrap();
        Self::from_listener(socket.into())
    }

    /// Accepted connections, including closed ones.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Reads a connection to its end. Returns the ids of the complete requests on it, and how many bytes
    /// followed the last one.
    pub fn read_to_end(&mut self, connection: usize) -> (Vec<String>, usize) {
        let (mut socket, mut received) = self.connections[connection].take().expect("an open connection");
        socket.set_nonblocking(false).unwrap();
        socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        socket.read_to_end(&mut received).expect("the end of the connection");
        let mut ids = Vec::new();
        while let Some(command) = decode_command(&mut received).expect("commands") {
            if command[0] == b"invoke" {
                ids.push(String::from_utf8_lossy(&command[1]).into_owned());
            }
        }
        (ids, received.len())
    }

    pub fn as_host(&self) -> Host {
        Host { address: self.address, commands: Arc::default(), invoke_times: InvokeTimes::default() }
    }

    /// The index of the connection of the next command, and the command.
    pub fn next_command(&mut self) -> (usize, Vec<String>) {
        self.next_command_within(TEST_TIMEOUT).expect("a command")
    }

    /// Like `next_command`; `None` if no command arrives within `span`.
    pub fn next_command_within(&mut self, span: Duration) -> Option<(usize, Vec<String>)> {
        let end = Instant::now() + span;
        loop {
            if let Some(found) = self.poll_command() {
                return Some(found);
            }
            if Instant::now() > end {
                return None;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    fn poll_command(&mut self) -> Option<(usize, Vec<String>)> {
        if !self.accepts_paused
            && let Ok((socket, _)) = self.listener.accept()
        {
            socket.set_nonblocking(true).unwrap();
            self.connections.push(Some((socket, Vec::new())));
        }
        for (number, connection) in self.connections.iter_mut().enumerate() {
            let Some((socket, received)) = connection else { continue };
            let mut chunk = [0; 64 << 10];
            if let Ok(count) = socket.read(&mut chunk) {
                received.extend_from_slice(&chunk[..count]);
            }
            if let Some(command) = decode_command(received).expect("commands") {
                let text = |part: &Vec<u8>| String::from_utf8_lossy(part).into_owned();
                return Some((number, command.iter().map(text).collect()));
            }
        }
        None
    }

    /// The next command with this name; others are skipped.
    pub fn next_command_named(&mut self, name: &str) -> (usize, Vec<String>) {
        loop {
            let (connection, command) = self.next_command();
            if command[0] == name {
                return (connection, command);
            }
        }
    }

    pub fn send_answer(&mut self, connection: usize, id: &str, status: &str, fields: &str, body: &[u8]) {
        let mut out = Vec::new();
        encode_answer(&mut out, id, status, fields, body);
        self.send_bytes(connection, &out);
    }

    pub fn send_bytes(&mut self, connection: usize, bytes: &[u8]) {
        let (socket, _) = self.connections[connection].as_mut().expect("an open connection");
        socket.set_nonblocking(false).unwrap();
        socket.write_all(bytes).unwrap();
        socket.set_nonblocking(true).unwrap();
    }

    /// Closes a connection without a reset.
    pub fn close(&mut self, connection: usize) {
        self.connections[connection] = None;
    }

    /// Closes a connection with a reset.
    pub fn reset(&mut self, connection: usize) {
        if let Some((socket, _)) = self.connections[connection].take() {
            socket2::SockRef::from(&socket).set_linger(Some(Duration::ZERO)).unwrap();
        }
    }
}

pub fn invoke_count(host: &Host) -> usize {
    host.commands.lock().unwrap().iter().filter(|command| command.starts_with("invoke")).count()
}
