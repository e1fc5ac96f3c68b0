//! What control costs a real gateway process: a worker list and its changes, a page of metrics, a HUP, and nothing at
//! all; by the workers on the list.
//!
//! `cargo build --release && cargo run --release -p cresswheel-cli --example gateway_control`
//!
//! The release binary must stand beside the example. One gateway at a time on loopback, no calls, a list service within
//! this program. Processor time is the gateway's own, by the system's count, less what it uses while idle; written
//! bytes are those that it handed to files, by the system's count. About a minute and a half.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use cresswheel_measure::{Series, process_cpu_time, resident_bytes_of};
use cresswheel_protocol::{Decoder, Limits, ListedWorker, MemberState, Message, encode};

const WORKERS: [usize; 4] = [100, 1_000, 2_000, 5_000];
const RUNS: usize = 3;
const CHANGES: usize = 20;
/// Between two changes, so that none waits for the one before.
const CHANGE_EVERY: Duration = Duration::from_millis(30);
const PAGES: usize = 20;
const RELOADS: usize = 5;
const IDLE: Duration = Duration::from_secs(1);
const PATIENCE: Duration = Duration::from_secs(20);

fn worker(number: usize, standing: MemberState) -> ListedWorker {
    ListedWorker {
        id: format!("worker-{number:05}"),
        address: format!("10.120.{}.{}:7201", number / 250 % 250, number % 250),
        zone: format!("r1-z{}", number % 5),
        kind: "std-32".into(),
        cell: number as u64 / 40,
        standing,
        started: 0,
    }
}

/// A gateway process, its list service, and where it writes.
struct Bed {
    folder: tempfile::TempDir,
    gateway: Child,
    http: SocketAddr,
    list: TcpStream,
    version: u64,
}

impl Drop for Bed {
    fn drop(&mut self) {
        let _ = self.gateway.kill();
        let _ = self.gateway.wait();
    }
}

fn binary() -> PathBuf {
    let own = std::env::current_exe().expect("this program");
    let release = own.parent().and_then(Path::parent).expect("the folder of the release build");
    release.join("cresswheel")
}

fn settings(folder: &Path, list: SocketAddr) -> String {
    format!(
        "gateway(name = \"gateway-001\", listen = \"127.0.0.1:0\", http = \"127.0.0.1:0\", list = [\"{list}\"], \
         state = \"{}\")\n\
         call_class(name = \"check\", aim = ms(570), give_up = s(5), effect = \"safe\", worth = 1.0)\n\
         fleet(gateways = 680, may_order = True)\n",
        folder.join("state").display()
    )
}

/// Waits until the peer has sent `Follow`.
fn await_follow(socket: &mut TcpStream) {
    let (mut decoder, mut part) = (Decoder::new(Limits::default()), [0; 4_096]);
    loop {
        while let Some(message) = decoder.decode().expect("frames") {
            if matches!(message, Message::Follow {}) {
                return;
            }
        }
        let count = socket.read(&mut part).expect("the gateway");
        assert!(count > 0, "the gateway closed its list connection");
        decoder.push(&part[..count]);
    }
}

impl Bed {
    fn start(workers: usize) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let service = TcpListener::bind("127.0.0.1:0").expect("loopback");
        let at = service.local_addr().expect("an address");
        let file = folder.path().join("gateway.star");
        std::fs::write(&file, settings(folder.path(), at)).expect("a file");
        let log = std::fs::File::create(folder.path().join("log")).expect("a file");
        let mut gateway = Command::new(binary())
            .arg("gateway")
            .arg(&file)
            .env("CRESSWHEEL_TIED", "true")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .expect("the release binary: cargo build --release");
        let mut line = String::new();
        let out = gateway.stdout.take().expect("its output");
        BufReader::new(out).read_line(&mut line).expect("a line");
        let http = line.split_whitespace().find_map(|word| word.strip_prefix("http="));
        let http = http.and_then(|at| at.parse().ok()).expect("an HTTP address");
        let (mut list, _) = service.accept().expect("the gateway");
        await_follow(&mut list);
        let mut bed = Self { folder, gateway, http, list, version: 0 };
        let all = (0..workers).map(|number| worker(number, MemberState::Active)).collect();
        bed.tell(true, all);
        bed.until(&format!("cresswheel_workers_listed {workers}"));
        bed
    }

    fn tell(&mut self, whole: bool, workers: Vec<ListedWorker>) -> usize {
        self.version += 1;
        let mut bytes = Vec::new();
        encode(&Message::List { whole, version: self.version, workers }, &mut bytes);
        self.list.write_all(&bytes).expect("the gateway");
        bytes.len()
    }

    fn page(&self) -> String {
        let mut socket = TcpStream::connect(self.http).expect("the gateway");
        let request = "GET /metrics HTTP/1.1\r\nHost: gateway\r\nConnection: close\r\n\r\n";
        socket.write_all(request.as_bytes()).expect("the gateway");
        let mut page = String::new();
        socket.read_to_string(&mut page).expect("a page");
        page
    }

    fn until(&self, line: &str) {
        let end = Instant::now() + PATIENCE;
        while !self.page().lines().any(|found| found == line) {
            assert!(Instant::now() < end, "{line}: not within {PATIENCE:?}");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Microseconds of the gateway's processor time so far.
    fn used(&self) -> f64 {
        process_cpu_time(self.gateway.id()).expect("/proc").as_secs_f64() * 1e6
    }

    /// Bytes that it handed to files and sockets so far.
    fn written(&self) -> f64 {
        let text = std::fs::read_to_string(format!("/proc/{}/io", self.gateway.id())).expect("/proc");
        let line = text.lines().find_map(|line| line.strip_prefix("wchar: "));
        line.and_then(|n| n.trim().parse().ok()).unwrap_or(0.0)
    }

    /// Microseconds a second while nothing is asked of it.
    fn idle(&self) -> f64 {
        let (before, began) = (self.used(), Instant::now());
        std::thread::sleep(IDLE);
        (self.used() - before) / began.elapsed().as_secs_f64()
    }

    /// Processor time and written bytes of one change of one worker.
    fn change(&mut self, idle: f64) -> (f64, f64) {
        let (used, written, began) = (self.used(), self.written(), Instant::now());
        for number in 0..CHANGES {
            let standing = if number % 2 == 0 { MemberState::Draining } else { MemberState::Active };
            self.tell(false, vec![worker(number / 2, standing)]);
            std::thread::sleep(CHANGE_EVERY);
        }
        let spent = self.used() - used - idle * began.elapsed().as_secs_f64();
        (spent / CHANGES as f64, (self.written() - written) / CHANGES as f64)
    }

    /// Processor time and bytes of one page of metrics.
    fn pages(&self, idle: f64) -> (f64, f64) {
        let (used, began) = (self.used(), Instant::now());
        let bytes: usize = (0..PAGES).map(|_| self.page().len()).sum();
        let spent = self.used() - used - idle * began.elapsed().as_secs_f64();
        (spent / PAGES as f64, bytes as f64 / PAGES as f64)
    }

    /// Processor time of one HUP with unchanged settings.
    fn reload(&self, idle: f64) -> f64 {
        let log = self.folder.path().join("log");
        let in_force = || {
            let text = std::fs::read_to_string(&log).expect("the log");
            text.matches("new settings are in force").count()
        };
        let (used, began) = (self.used(), Instant::now());
        for done in 1..=RELOADS {
            let told = Command::new("kill").args(["-HUP", &self.gateway.id().to_string()]).status();
            assert!(told.is_ok_and(|status| status.success()), "HUP");
            while in_force() < done {
                assert!(began.elapsed() < PATIENCE, "the settings were not read again");
                std::thread::sleep(Duration::from_millis(5));
            }
        }
        (self.used() - used - idle * began.elapsed().as_secs_f64()) / RELOADS as f64
    }
}

fn main() {
    let by = |name: &str, unit: &str| Series::new(name, unit, "workers");
    let mut idle = by("idle, no calls", "us of a core a second");
    let mut change = by("a change of one worker", "us");
    let mut saved = by("a change of one worker", "bytes written");
    let mut scrape = by("a page of metrics", "us");
    let mut page = by("a page of metrics", "bytes");
    let mut reload = by("a HUP, nothing changed", "us");
    let mut memory = by("a gateway without calls", "resident bytes");
    for workers in WORKERS {
        let mut runs: [Vec<f64>; 7] = Default::default();
        for _ in 0..RUNS {
            let mut bed = Bed::start(workers);
            let rest = bed.idle();
            let (changed, written) = bed.change(rest);
            let (scraped, bytes) = bed.pages(rest);
            let resident = resident_bytes_of(bed.gateway.id()).expect("/proc");
            let reloaded = bed.reload(rest);
            let found = [rest, changed, written, scraped, bytes, reloaded, resident];
            runs.iter_mut().zip(found).for_each(|(runs, found)| runs.push(found));
        }
        let all = [&mut idle, &mut change, &mut saved, &mut scrape, &mut page, &mut reload, &mut memory];
        all.into_iter().zip(runs).for_each(|(series, runs)| series.add(workers, runs));
    }
    for series in [idle, change, saved, scrape, page, reload, memory] {
        println!("{series}");
    }
}
