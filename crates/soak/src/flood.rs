//! Clients that send at full speed: bytes prepared before, a thread for each connection, written as fast as the kernel
//! takes them. What comes back is read and counted.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use cresswheel_platform_wire::client::{encode_request, encode_without_fields};

/// What the clients of a flood send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FloodKind {
    /// Requests with new ids and functions, each canceled 31 requests later.
    CanceledLater,
    /// Requests with new ids and functions, each canceled right behind it.
    CanceledAtOnce,
    /// Requests with new ids of one function, each canceled right behind it.
    OneFunctionCanceled,
    /// Requests with new ids and functions that are never canceled.
    NewFunctions,
    /// Requests of a class that does not exist.
    UnknownClass,
    /// Requests without a class, which no gateway can use.
    Unsound,
    /// Questions whether the gateway is ready.
    Readiness,
}

impl FloodKind {
    /// All kinds.
    pub const ALL: [Self; 7] = [
        Self::CanceledLater,
        Self::CanceledAtOnce,
        Self::OneFunctionCanceled,
        Self::NewFunctions,
        Self::UnknownClass,
        Self::Unsound,
        Self::Readiness,
    ];
}

/// Requests prepared for each connection; they are sent again and again.
const PREPARED: u32 = 12_000;
/// So many requests later a request is canceled.
const CANCELED_AFTER: u32 = 31;
/// Written at once.
const CHUNK: usize = 64 << 10;
/// Written at once between pauses: some tens of requests.
const PACED_CHUNK: usize = 8 << 10;
/// How long a write or read may block before the end of the flood is looked at.
const LOOK: Duration = Duration::from_millis(50);

/// The first digits of every id of a flood; the number of its gateway follows.
pub const FLOOD_ID: &str = "ffff";

/// The gateway of a flood, by the id of one of its requests.
pub fn gateway(id: &str) -> Option<usize> {
    let rest = id.strip_prefix(FLOOD_ID)?;
    usize::from_str_radix(rest.get(..4)?, 16).ok()
}

/// What a flood is made of.
#[derive(Clone, Debug)]
pub struct FloodPlan {
    /// What is sent.
    pub kind: FloodKind,
    /// Connections, each with a thread that writes and one that reads.
    pub connections: u32,
    /// The number of the gateway, which is part of all ids and functions.
    pub gateway: usize,
    /// A class of the gateway.
    pub class: String,
    /// The pause of each connection between two writes; without one it writes as fast as the kernel takes it.
    pub pause: Duration,
}

impl FloodPlan {
    /// The bytes that one connection sends again and again.
    fn prepare(&self, connection: u32) -> Vec<u8> {
        let mut out = Vec::new();
        for number in 1..=PREPARED {
            let unique = connection << 24 | number;
            match self.kind {
                FloodKind::Readiness => encode_without_fields(&mut out, true, number),
                _ => self.push_request(&mut out, number, unique),
            }
            match self.kind {
                FloodKind::CanceledLater if number > CANCELED_AFTER => {
                    encode_without_fields(&mut out, false, number - CANCELED_AFTER);
                }
                FloodKind::CanceledAtOnce | FloodKind::OneFunctionCanceled => {
                    encode_without_fields(&mut out, false, number);
                }
                _ => {}
            }
        }
        if self.kind == FloodKind::CanceledLater {
            // The same streams follow again.
            let open = PREPARED - CANCELED_AFTER + 1..=PREPARED;
            open.for_each(|stream| encode_without_fields(&mut out, false, stream));
        }
        out
    }

    fn push_request(&self, out: &mut Vec<u8>, stream: u32, unique: u32) {
        let id = format!("{FLOOD_ID}{:04x}{unique:08x}", self.gateway);
        let function = match self.kind {
            FloodKind::OneFunctionCanceled => format!("{:04x}{:012x}", self.gateway, 0xf100d),
            _ => format!("{:04x}ffff{unique:08x}", self.gateway),
        };
        let class = match self.kind {
            FloodKind::UnknownClass => "no-such-class",
            _ => &*self.class,
        };
        let fields = [("id", &*id), ("wait", "1300"), ("key", &*function), ("class", class)];
        let used = if self.kind == FloodKind::Unsound { 3 } else { 4 };
        encode_request(out, stream, &fields[..used], b"");
    }
}

/// What the connections of a flood did.
#[derive(Debug, Default)]
struct FloodCounters {
    written: AtomicU64,
    read: AtomicU64,
    connections: AtomicU64,
}

/// What a flood did.
#[derive(Clone, Copy, Debug)]
pub struct FloodCounts {
    /// Bytes that the kernel took.
    pub written: u64,
    /// Bytes that came back.
    pub read: u64,
    /// Connections that were made.
    pub connections: u64,
}

/// A flood that goes on until it is stopped.
#[derive(Debug)]
pub struct Flood {
    over: Arc<AtomicBool>,
    counters: Arc<FloodCounters>,
    threads: Vec<JoinHandle<()>>,
}

impl Flood {
    /// Prepares the bytes of all connections, and begins to send.
    pub fn start(address: SocketAddr, plan: &FloodPlan) -> Self {
        let (over, counters) = (Arc::<AtomicBool>::default(), Arc::<FloodCounters>::default());
        let prepared: Vec<Vec<u8>> = (0..plan.connections).map(|number| plan.prepare(number)).collect();
        let send = |bytes: Vec<u8>| {
            let (over, counters) = (over.clone(), counters.clone());
            let pause = plan.pause;
            std::thread::spawn(move || send_until_over(address, &bytes, pause, &over, &counters))
        };
        let threads = prepared.into_iter().map(send).collect();
        Self { over, counters, threads }
    }

    /// Ends it: its connections are closed.
    pub fn stop(self) -> FloodCounts {
        self.over.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|thread| _ = thread.join());
        let count = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
        FloodCounts {
            written: count(&self.counters.written),
            read: count(&self.counters.read),
            connections: count(&self.counters.connections),
        }
    }
}

/// Connects, sends, and connects again when the connection ends.
fn send_until_over(
    address: SocketAddr,
    bytes: &[u8],
    pause: Duration,
    over: &AtomicBool,
    counters: &Arc<FloodCounters>,
) {
    while !over.load(Ordering::SeqCst) {
        let Ok(socket) = TcpStream::connect_timeout(&address, LOOK) else {
            std::thread::sleep(LOOK / 10);
            continue;
        };
        counters.connections.fetch_add(1, Ordering::SeqCst);
        let timeouts = socket.set_write_timeout(Some(LOOK)).and(socket.set_read_timeout(Some(LOOK)));
        let Ok(reading) = timeouts.and_then(|()| socket.try_clone()) else { continue };
        let ended = Arc::new(AtomicBool::new(false));
        let reader = {
            let (ended, counters) = (ended.clone(), counters.clone());
            std::thread::spawn(move || read_until_ended(reading, &ended, &counters))
        };
        write_until_over(&socket, bytes, pause, over, counters);
        ended.store(true, Ordering::SeqCst);
        let _ = socket.shutdown(std::net::Shutdown::Both);
        let _ = reader.join();
    }
}

fn write_until_over(
    mut socket: &TcpStream,
    bytes: &[u8],
    pause: Duration,
    over: &AtomicBool,
    counters: &FloodCounters,
) {
    let mut rest = bytes;
    let at_once = if pause.is_zero() { CHUNK } else { PACED_CHUNK };
    while !over.load(Ordering::SeqCst) {
        std::thread::sleep(pause);
        match socket.write(&rest[..rest.len().min(at_once)]) {
            Ok(count) => {
                counters.written.fetch_add(count as u64, Ordering::SeqCst);
                rest = if count == rest.len() { bytes } else { &rest[count..] };
            }
            Err(error) if is_pause(&error) => {}
            Err(_) => return,
        }
    }
}

fn read_until_ended(mut socket: TcpStream, ended: &AtomicBool, counters: &FloodCounters) {
    let mut chunk = vec![0; CHUNK];
    while !ended.load(Ordering::SeqCst) {
        match socket.read(&mut chunk) {
            Ok(0) => return,
            Ok(count) => _ = counters.read.fetch_add(count as u64, Ordering::SeqCst),
            Err(error) if is_pause(&error) => {}
            Err(_) => return,
        }
    }
}

fn is_pause(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}
