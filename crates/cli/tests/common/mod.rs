//! Shared by the end-to-end tests: a gateway process with its own settings, and a worker scripted by the
//! test.
#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use cresswheel_protocol::{Decoder, Ending, FunctionProfile, Limits, Message, encode};
use cresswheel_rehearsal::{Client, Process};

pub const EXE: &str = env!("CARGO_BIN_EXE_cresswheel");
/// Upper bound for every wait in these tests; exceeding it is a failure.
pub const PATIENCE: Duration = Duration::from_secs(20);

pub struct Bed {
    pub folder: tempfile::TempDir,
    pub gateway: Process,
    page_connection: std::cell::RefCell<Option<TcpStream>>,
}

/// Settings with three classes, a short answer margin, and what the test adds.
pub fn settings(folder: &Path, workers: &[SocketAddr], more: &str, limits: &str) -> PathBuf {
    let mut script = format!(
        "gateway(name = \"g\", listen = \"127.0.0.1:0\", http = \"127.0.0.1:0\", answer_margin = ms(20), \
         zone = \"a\", {more})\n\
         call_class(name = \"check\", aim = ms(600), give_up = s(5), effect = \"safe\", worth = 2)\n\
         call_class(name = \"post\", aim = ms(600), give_up = s(5), effect = \"unsafe\", worth = 3)\n\
         call_class(name = \"note\", aim = ms(600), give_up = s(5), effect = keyed(group = \"all\", \
         memory = s(5)))\n\
         fleet(when_absent = \"load\", keep_alive = s(10), max_attempts = 4, most_instances = 64)\nlimits({limits})\n"
    );
    for (n, at) in workers.iter().enumerate() {
        script += &format!("worker(id = \"w{n}\", address = \"{at}\", zone = \"a\")\n");
    }
    let file = folder.join("gateway.star");
    std::fs::write(&file, script).unwrap();
    file
}

impl Bed {
    pub fn new(workers: &[SocketAddr]) -> Self {
        Self::with(workers, "", "")
    }

    pub fn with(workers: &[SocketAddr], more: &str, limits: &str) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let file = settings(folder.path(), workers, more, limits);
        Self::of(folder, Path::new(EXE), &["--log", "debug", "gateway", file.to_str().unwrap()])
    }

    pub fn of(folder: tempfile::TempDir, exe: &Path, args: &[&str]) -> Self {
        let args: Vec<String> = args.iter().map(|a| (*a).to_owned()).collect();
        let gateway = Process::start(exe, &args, &folder.path().join("gateway.log")).unwrap();
        Self { folder, gateway, page_connection: Default::default() }
    }

    pub fn client(&self) -> Client {
        Client::connect(self.gateway.main, "test").unwrap()
    }

    pub fn http(&self) -> TcpStream {
        let socket = TcpStream::connect(self.gateway.http.unwrap()).unwrap();
        socket.set_read_timeout(Some(PATIENCE)).unwrap();
        socket
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("gateway.log")).unwrap()
    }

    /// Waits until the log contains this text.
    pub fn logged(&self, words: &str) {
        let end = std::time::Instant::now() + PATIENCE;
        while !self.log().contains(words) {
            assert!(std::time::Instant::now() < end, "the log does not contain {words:?}:\n{}", self.log());
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Fetches a page of the gateway on one connection that is kept open: many test clients may leave no free
    /// connection slot for another.
    pub fn page(&self, path: &str) -> String {
        let mut connection = self.page_connection.borrow_mut();
        let found = connection.as_mut().and_then(|socket| fetch_page(socket, path));
        found.unwrap_or_else(|| {
            // There is no connection yet, or it was closed.
            let socket = connection.insert(self.http());
            fetch_page(socket, path).expect("a page")
        })
    }

    pub fn metric(&self, name: &str) -> f64 {
        let text = self.page("/metrics");
        let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        line.unwrap_or_else(|| panic!("no {name} in {text}")).parse().unwrap()
    }
}

fn fetch_page(socket: &mut TcpStream, path: &str) -> Option<String> {
    socket.write_all(format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n").as_bytes()).ok()?;
    let (mut bytes, mut part) = (Vec::new(), [0; 4096]);
    loop {
        let text = String::from_utf8_lossy(&bytes);
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            if body.len() >= length.unwrap().parse().unwrap() {
                return Some(body.to_owned());
            }
        }
        match socket.read(&mut part).ok()? {
            0 => return None,
            count => bytes.extend_from_slice(&part[..count]),
        }
    }
}

pub fn call(number: u64, class: &str, function: &str, ms: u64) -> Message {
    Message::Call {
        number,
        deferred: false,
        function: function.into(),
        class: class.into(),
        tenant: String::new(),
        key: String::new(),
        trace: format!("t{number}"),
        time_left: ms * 1_000,
        shape: FunctionProfile { memory_mb: 100, lanes: 4, load_time: 0, work: 0 },
        body: b"in".to_vec(),
        account: None,
    }
}

/// The next final answer: its number, status and reason.
pub fn answer(client: &mut Client) -> (u64, String, String) {
    loop {
        match client.receive_within(PATIENCE).unwrap() {
            Message::Answer { number, status, reason, .. } => {
                return (number, status.as_str().into(), reason);
            }
            Message::Accepted { .. } | Message::GoingAway { .. } => {}
            other => panic!("expected an answer, got {other:?}"),
        }
    }
}

/// Waits for something; what takes as long as `PATIENCE` is a failure.
pub fn until(what: &str, mut is_so: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !is_so() {
        assert!(Instant::now() < end, "{what} never came about");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A listener for a worker simulated by the test.
pub fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    (listener, at)
}

/// An address where nothing listens.
pub fn nobody() -> SocketAddr {
    listener().1
}

/// A connection from the gateway to a worker simulated by the test.
pub struct Played {
    socket: TcpStream,
    decoder: Decoder,
}

impl Played {
    pub fn accept(listener: &TcpListener) -> Self {
        let (socket, _) = listener.accept().unwrap();
        socket.set_read_timeout(Some(PATIENCE)).unwrap();
        Self { socket, decoder: Decoder::new(Limits::default()) }
    }

    /// The same connection once more, for another thread.
    pub fn another(&self) -> Self {
        Self { socket: self.socket.try_clone().unwrap(), decoder: Decoder::new(Limits::default()) }
    }

    /// The next message; `None` if the gateway closed the connection.
    pub fn next(&mut self) -> Option<Message> {
        loop {
            if let Some(message) = self.decoder.decode().unwrap() {
                return Some(message);
            }
            let mut bytes = [0; 4096];
            match self.socket.read(&mut bytes).ok()? {
                0 => return None,
                count => self.decoder.push(&bytes[..count]),
            }
        }
    }

    /// The next attempt: its number, trace and class.
    pub fn run(&mut self) -> (u64, String, String) {
        loop {
            match self.next().expect("an attempt") {
                Message::Run { attempt, trace, class, .. } => return (attempt, trace, class),
                Message::Hold { order, .. } => {
                    self.send(&Message::Held { order, ending: Ending::Ok, standing: 1 });
                }
                _ => {}
            }
        }
    }

    pub fn send(&mut self, message: &Message) {
        let mut bytes = Vec::new();
        encode(message, &mut bytes);
        self.send_bytes(&bytes);
    }

    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.socket.write_all(bytes).unwrap();
    }

    pub fn ran(&mut self, attempt: u64, ending: Ending) {
        self.send(&Message::Ran { attempt, ending, crowd: 0, body: b"out".to_vec(), origin: None });
    }
}

/// A worker that serves everything at once, on a thread that ends with the test process.
pub fn good_worker() -> SocketAddr {
    let (listener, at) = listener();
    std::thread::spawn(move || {
        loop {
            let mut played = Played::accept(&listener);
            std::thread::spawn(move || {
                while let Some(message) = played.next() {
                    match message {
                        Message::Run { attempt, .. } => played.ran(attempt, Ending::Ok),
                        Message::Hold { order, .. } => {
                            played.send(&Message::Held { order, ending: Ending::Ok, standing: 1 });
                        }
                        _ => {}
                    }
                }
            });
        }
    });
    at
}
