//! What the tests of crossings at `cresswheel gateway` share: a gateway that can be stopped and woken, clients on plain
//! sockets of both wires, and workers of which each connection is played by the test.
#![allow(dead_code)]

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use cresswheel_protocol::{Decoder, Ending, Limits, Message, Role, encode};

use crate::common::{Bed, EXE, PATIENCE, call, settings, until};

/// A gateway of which a call for a function that is loaded nowhere waits for a load.
pub fn gateway_that_loads_first(workers: &[SocketAddr], more: &str, limits: &str) -> Bed {
    gateway_with(workers, more, limits, &[("when_absent = \"load\"", "when_absent = \"miss\"")])
}

/// A gateway with the settings that the tests share, after these replacements.
pub fn gateway_with(workers: &[SocketAddr], more: &str, limits: &str, replacements: &[(&str, &str)]) -> Bed {
    let folder = tempfile::tempdir().unwrap();
    let file = settings(folder.path(), workers, more, limits);
    let mut script = std::fs::read_to_string(&file).unwrap();
    for (from, to) in replacements {
        assert!(script.contains(from), "{from}");
        script = script.replace(from, to);
    }
    std::fs::write(&file, script).unwrap();
    Bed::of(folder, Path::new(EXE), &["--log", "debug", "gateway", file.to_str().unwrap()])
}

/// The processes that hold connections, or the gateway itself if there are none.
pub fn processes_with_connections(bed: &Bed) -> Vec<u32> {
    let holders = holders(bed);
    if holders.is_empty() { vec![bed.gateway.id()] } else { holders }
}

fn holders(bed: &Bed) -> Vec<u32> {
    let id = bed.gateway.id();
    let children = std::fs::read_to_string(format!("/proc/{id}/task/{id}/children")).unwrap();
    children.split_whitespace().map(|child| child.parse().unwrap()).collect()
}

/// Stops these processes until [`wake`].
pub fn freeze(processes: &[u32]) {
    signal(processes, "STOP");
    for process in processes {
        let end = Instant::now() + PATIENCE;
        while !status(*process, "State:").contains('T') {
            assert!(Instant::now() < end, "process {process} does not stop");
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

/// Lets them go on.
pub fn wake(processes: &[u32]) {
    signal(processes, "CONT");
}

fn signal(processes: &[u32], name: &str) {
    for process in processes {
        let done = Command::new("kill").args([&format!("-{name}"), &process.to_string()]).status().unwrap();
        assert!(done.success());
    }
}

/// A line of a process's status.
pub fn status(process: u32, field: &str) -> String {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    text.lines().find(|line| line.starts_with(field)).unwrap_or_default().to_owned()
}

/// Waits until the log has this so many times.
pub fn logged_times(bed: &Bed, words: &str, times: usize) {
    until(&format!("{words:?} {times} times in the log"), || bed.log().matches(words).count() >= times);
}

/// A client of the main protocol whose socket the test handles itself.
pub struct FrameClient {
    pub socket: TcpStream,
    decoder: Decoder,
}

impl FrameClient {
    pub fn new(bed: &Bed) -> Self {
        Self::of(TcpStream::connect(bed.gateway.main).unwrap())
    }

    /// One for which the kernel holds some tens of kilobytes at most until it reads.
    pub fn narrow(bed: &Bed) -> Self {
        Self::of(narrow_socket(bed.gateway.main))
    }

    fn of(socket: TcpStream) -> Self {
        socket.set_read_timeout(Some(PATIENCE)).unwrap();
        socket.set_nodelay(true).unwrap();
        let mut client = Self { socket, decoder: Decoder::new(Limits::default()) };
        client.send(&Message::Hello { role: Role::Client, name: "t".into(), zone: String::new() });
        client
    }

    pub fn send(&mut self, message: &Message) {
        let mut bytes = Vec::new();
        encode(message, &mut bytes);
        self.socket.write_all(&bytes).unwrap();
    }

    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.socket.write_all(bytes).unwrap();
    }

    pub fn ask(&mut self, number: u64, class: &str, function: &str) {
        self.send(&call(number, class, function, 5_000));
    }

    pub fn cancel(&mut self, number: u64) {
        self.send(&Message::Cancel { number });
    }

    pub fn half_close(&self) {
        self.socket.shutdown(Shutdown::Write).unwrap();
    }

    /// Ends the connection with a reset.
    pub fn reset(self) {
        socket2::SockRef::from(&self.socket).set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// Takes bytes without looking at them yet.
    pub fn read_some(&mut self, count: usize) {
        let mut bytes = vec![0; count];
        self.socket.read_exact(&mut bytes).unwrap();
        self.decoder.push(&bytes);
    }

    /// The next message; `None`: the gateway ended the connection in good order.
    pub fn next(&mut self) -> Option<Message> {
        loop {
            if let Some(message) = self.decoder.decode().unwrap() {
                return Some(message);
            }
            let mut bytes = [0; 16 << 10];
            match self.socket.read(&mut bytes) {
                Ok(0) => return None,
                Ok(count) => self.decoder.push(&bytes[..count]),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => panic!("no end in good order: {error}"),
            }
        }
    }

    /// The next answer: its number, status, reason and body.
    pub fn answer(&mut self) -> (u64, String, String, Vec<u8>) {
        loop {
            match self.next().expect("an answer before the end") {
                Message::Answer { number, status, reason, body, .. } => {
                    return (number, status.as_str().into(), reason, body);
                }
                Message::GoingAway { .. } | Message::Probe { .. } => {}
                other => panic!("{other:?} instead of an answer"),
            }
        }
    }

    /// The next answer is this number's, served.
    pub fn is_served(&mut self, number: u64) {
        let (answered, status, reason, _) = self.answer();
        assert_eq!((answered, status.as_str(), reason.as_str()), (number, "served", ""));
    }
}

pub fn narrow_socket(to: SocketAddr) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4 << 10).unwrap();
    socket.set_tcp_mss(536).unwrap();
    socket.connect(&to.into()).unwrap();
    socket.into()
}

/// A request over HTTP for a function.
pub fn invoke(class: &str, function: &str) -> String {
    format!(
        "POST /v1/functions/{function}/invoke HTTP/1.1\r\nhost: x\r\nx-class: {class}\r\nx-trace: http\r\n\
         content-length: 2\r\n\r\nin"
    )
}

/// Reads one response: its status and body; `None`: the connection ended in good order before one came.
pub fn response(socket: &mut TcpStream) -> Option<(u16, String)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        match socket.read(&mut byte) {
            Ok(0) => {
                assert!(head.is_empty(), "cut off in a head");
                return None;
            }
            Ok(_) => head.push(byte[0]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => panic!("no end in good order: {error}"),
        }
    }
    let head = String::from_utf8(head).unwrap();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |text| text.parse().unwrap())];
    socket.read_exact(&mut body).unwrap();
    Some((head[9..12].parse().unwrap(), String::from_utf8(body).unwrap()))
}

/// A connection from the gateway, at a worker.
struct Line {
    socket: TcpStream,
    decoder: Decoder,
}

/// A worker of which the test sees each message and gives each answer.
pub struct Worker {
    listener: TcpListener,
    pub at: SocketAddr,
    lines: Vec<Option<Line>>,
    /// It takes no connections for now.
    pub is_deaf: bool,
}

impl Worker {
    pub fn new() -> Self {
        Self::of(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    /// One whose machine holds one connection that it did not take yet; further ones don't come up.
    pub fn narrow() -> Self {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        Self::of(socket.into())
    }

    fn of(listener: TcpListener) -> Self {
        listener.set_nonblocking(true).unwrap();
        let at = listener.local_addr().unwrap();
        Self { listener, at, lines: Vec::new(), is_deaf: false }
    }

    /// The next message that is no greeting, and the number of the connection that it came on.
    pub fn next(&mut self) -> (usize, Message) {
        self.next_within(PATIENCE).expect("a message")
    }

    /// The same; `None`: there was none for so long.
    pub fn next_within(&mut self, span: Duration) -> Option<(usize, Message)> {
        let end = Instant::now() + span;
        loop {
            if let Some(found) = self.look() {
                return Some(found);
            }
            if Instant::now() > end {
                return None;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    fn look(&mut self) -> Option<(usize, Message)> {
        while !self.is_deaf
            && let Ok((socket, _)) = self.listener.accept()
        {
            socket.set_nonblocking(true).unwrap();
            socket.set_nodelay(true).unwrap();
            self.lines.push(Some(Line { socket, decoder: Decoder::new(Limits::default()) }));
        }
        for (number, place) in self.lines.iter_mut().enumerate() {
            let Some(line) = place else { continue };
            let mut bytes = [0; 16 << 10];
            match line.socket.read(&mut bytes) {
                Ok(0) => {}
                Ok(count) => line.decoder.push(&bytes[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => {}
            }
            match line.decoder.decode().unwrap() {
                Some(Message::Hello { .. }) | None => {}
                Some(message) => return Some((number, message)),
            }
        }
        None
    }

    /// The next attempt: its connection, number and trace. Orders before it are carried out.
    pub fn next_run(&mut self) -> (usize, u64, String) {
        self.next_run_within(PATIENCE).expect("an attempt")
    }

    /// The same; `None`: there was none for so long.
    pub fn next_run_within(&mut self, span: Duration) -> Option<(usize, u64, String)> {
        let end = Instant::now() + span;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            match self.next_within(left)? {
                (line, Message::Run { attempt, trace, .. }) => return Some((line, attempt, trace)),
                (line, Message::Hold { order, .. }) => self.holds(line, order),
                _ => {}
            }
        }
    }

    /// The next order to load: its connection and number.
    pub fn next_hold(&mut self) -> (usize, u64) {
        loop {
            if let (line, Message::Hold { order, .. }) = self.next() {
                return (line, order);
            }
        }
    }

    /// An order is carried out.
    pub fn holds(&mut self, line: usize, order: u64) {
        self.send(line, &Message::Held { order, ending: Ending::Ok, standing: 1 });
    }

    /// An attempt ended so.
    pub fn ran(&mut self, line: usize, attempt: u64, ending: Ending, body: &[u8]) {
        self.send(line, &ran(attempt, ending, body));
    }

    pub fn serves(&mut self, line: usize, attempt: u64) {
        self.ran(line, attempt, Ending::Ok, b"out");
    }

    fn send(&mut self, line: usize, message: &Message) {
        let mut bytes = Vec::new();
        encode(message, &mut bytes);
        self.send_bytes(line, &bytes);
    }

    pub fn send_bytes(&mut self, line: usize, bytes: &[u8]) {
        let socket = &mut self.lines[line].as_mut().unwrap().socket;
        socket.set_nonblocking(false).unwrap();
        socket.write_all(bytes).unwrap();
        socket.set_nonblocking(true).unwrap();
    }

    /// Ends a connection in good order.
    pub fn end(&mut self, line: usize) {
        self.lines[line] = None;
    }

    pub fn reset(&mut self, line: usize) {
        let line = self.lines[line].take().unwrap();
        socket2::SockRef::from(&line.socket).set_linger(Some(Duration::ZERO)).unwrap();
    }
}

pub fn ran(attempt: u64, ending: Ending, body: &[u8]) -> Message {
    Message::Ran { attempt, ending, crowd: 0, body: body.to_vec(), origin: None }
}
