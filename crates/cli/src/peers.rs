//! The stand-ins as commands.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use clap::Args;
use cresswheel_crowd::{Crowd, CrowdSettings};
use cresswheel_protocol::Message;
use cresswheel_rehearsal::Client;
use cresswheel_standins::{Echo, Profile, Relay, Store, Worker, WorkerList, WorkerSettings};

/// Prints the line that a parent process waits for. A tied process ends when its parent does, however that ends.
pub fn ready(line: &str, tied: bool) -> std::io::Result<()> {
    if tied {
        // Begun only now: signals that the process takes over are blocked in all threads that come after.
        tie();
    }
    let mut out = std::io::stdout();
    writeln!(out, "{line}")?;
    out.flush()
}

/// From now on the process ends when its standard input does.
pub fn tie() {
    std::thread::spawn(|| {
        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        std::process::exit(1);
    });
}

#[derive(Args)]
pub struct WorkerArgs {
    /// Where it listens; port 0 finds one.
    #[arg(long, default_value = "127.0.0.1:7201")]
    listen: SocketAddr,
    /// Its id; absent: its address.
    #[arg(long, default_value = "")]
    id: String,
    /// The worker list that it registers with.
    #[arg(long)]
    list: Option<SocketAddr>,
    /// The model store that it fetches from.
    #[arg(long)]
    store: Option<SocketAddr>,
    /// Its zone.
    #[arg(long, default_value = "")]
    zone: String,
    /// Its kind of machine.
    #[arg(long, default_value = "std")]
    kind: String,
    /// Its cell.
    #[arg(long, default_value_t = 0)]
    cell: u64,
    /// It counts as started long ago.
    #[arg(long)]
    warm: bool,
    /// Answer 'miss' where a function is not loaded, instead of loading it.
    #[arg(long)]
    miss: bool,
    /// Cores.
    #[arg(long, default_value_t = 4)]
    cores: u32,
    /// Memory, in MB.
    #[arg(long, default_value_t = 16_000)]
    memory_mb: u32,
    /// Calls that may wait.
    #[arg(long, default_value_t = 32)]
    queue: usize,
    /// An idle instance is unloaded after so many milliseconds.
    #[arg(long, default_value_t = 10_000)]
    keep_alive_ms: u64,
    /// Share of its capacity that it begins with.
    #[arg(long, default_value_t = 0.2)]
    cold_from: f64,
    /// Milliseconds until it has all of it.
    #[arg(long, default_value_t = 10_000)]
    warm_up_ms: u64,
    /// Sent more than this multiple of its present capacity ...
    #[arg(long, default_value_t = 2.0)]
    fall_multiple: f64,
    /// ... for so many milliseconds it falls over; 0: never.
    #[arg(long, default_value_t = 3_000)]
    fall_window_ms: u64,
    /// Of its random draws.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write down what passes on its sockets, in this folder.
    #[arg(long, value_name = "FOLDER")]
    records: Option<PathBuf>,
}

pub fn worker(args: WorkerArgs, tied: bool) -> anyhow::Result<ExitCode> {
    let profile = Profile {
        cores: args.cores.max(1),
        memory_mb: args.memory_mb,
        queue: args.queue,
        keep_alive: args.keep_alive_ms.saturating_mul(1_000),
        load_on_call: !args.miss,
        cold_from: args.cold_from,
        warm_up: args.warm_up_ms.saturating_mul(1_000),
        fall_multiple: args.fall_multiple,
        fall_window: args.fall_window_ms.saturating_mul(1_000),
        seed: args.seed,
        ..Profile::default()
    };
    let mut worker = Worker::start(WorkerSettings {
        id: args.id,
        listen: args.listen,
        list: args.list,
        store: args.store,
        zone: args.zone,
        kind: args.kind,
        cell: args.cell,
        warm: args.warm,
        profile,
        records: args.records,
    })?;
    ready(&format!("ready main={}", worker.address()), tied)?;
    worker.run()?;
    Ok(ExitCode::SUCCESS)
}

#[derive(Args)]
pub struct ListArgs {
    /// Where it listens; port 0 finds one.
    #[arg(long, default_value = "127.0.0.1:7000")]
    listen: SocketAddr,
    /// Changes go out so many milliseconds late.
    #[arg(long, default_value_t = 0)]
    delay_ms: u64,
    /// A worker that is gone stays listed for so many milliseconds.
    #[arg(long, default_value_t = 1_000)]
    notice_ms: u64,
    /// Write down what it told whom, in this folder.
    #[arg(long, value_name = "FOLDER")]
    records: Option<PathBuf>,
}

pub fn list(args: ListArgs, tied: bool) -> anyhow::Result<ExitCode> {
    let (delay, notice) = (args.delay_ms.saturating_mul(1_000), args.notice_ms.saturating_mul(1_000));
    let mut list = WorkerList::start(args.listen, args.records.as_deref(), delay, notice)?;
    ready(&format!("ready main={}", list.address()), tied)?;
    list.run()?;
    Ok(ExitCode::SUCCESS)
}

#[derive(Args)]
pub struct StoreArgs {
    /// Where it listens; port 0 finds one.
    #[arg(long, default_value = "127.0.0.1:7300")]
    listen: SocketAddr,
    /// Fetches that it serves at full pace at once.
    #[arg(long, default_value_t = 8)]
    capacity: usize,
    /// Fetches that it takes at once; the next are turned away.
    #[arg(long, default_value_t = 64)]
    most: usize,
}

pub fn store(args: StoreArgs, tied: bool) -> anyhow::Result<ExitCode> {
    let mut store = Store::start(args.listen, args.capacity, args.most)?;
    ready(&format!("ready main={}", store.address()), tied)?;
    store.run()?;
    Ok(ExitCode::SUCCESS)
}

#[derive(Args)]
pub struct EchoArgs {
    /// Where it listens; port 0 finds one.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Answer no calls.
    #[arg(long)]
    silent: bool,
    /// Write down what passes on its sockets, in this folder.
    #[arg(long, value_name = "FOLDER")]
    records: Option<PathBuf>,
}

#[derive(Args)]
pub struct CrowdArgs {
    /// Where it is told what to do; port 0 finds one.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// The gateway.
    #[arg(long)]
    to: SocketAddr,
    /// Its name in records.
    #[arg(long)]
    name: String,
    /// Write down what passes on its sockets, in this folder.
    #[arg(long, value_name = "FOLDER")]
    records: Option<PathBuf>,
    /// Connections come from 127.X.Y.1 to 127.X.Y.250; given as X.Y.
    #[arg(long, default_value = "16.1")]
    from: String,
    /// Of its random draws.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// What is called: JSON, a list of class, share, give_up_ms.
    #[arg(long)]
    mix: String,
}

pub fn crowd(args: CrowdArgs, tied: bool) -> anyhow::Result<ExitCode> {
    let parts: Vec<Option<u8>> = args.from.split('.').map(|part| part.parse().ok()).collect();
    let [Some(x), Some(y)] = parts[..] else {
        anyhow::bail!("--from {}: two numbers from 0 to 255 with a point between are wanted", args.from)
    };
    let mut crowd = Crowd::start(CrowdSettings {
        control: args.listen,
        to: args.to,
        name: args.name,
        records: args.records,
        from: (x, y),
        seed: args.seed,
        mix: serde_json::from_str(&args.mix).with_context(|| format!("--mix {}", args.mix))?,
    })?;
    ready(&format!("ready main={}", crowd.address()), tied)?;
    crowd.run()?;
    Ok(ExitCode::SUCCESS)
}

pub fn echo(args: EchoArgs, tied: bool) -> anyhow::Result<ExitCode> {
    let mut echo = Echo::start(args.listen, args.silent, args.records.as_deref())?;
    ready(&format!("ready main={}", echo.address()), tied)?;
    echo.run()?;
    Ok(ExitCode::SUCCESS)
}

#[derive(Args)]
pub struct RelayArgs {
    /// Where it listens; port 0 finds one.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// The worker.
    #[arg(long)]
    to: SocketAddr,
}

pub fn relay(args: RelayArgs, tied: bool) -> anyhow::Result<ExitCode> {
    let mut relay = Relay::start(args.listen, args.to)?;
    ready(&format!("ready main={}", relay.address()), tied)?;
    relay.run()?;
    Ok(ExitCode::SUCCESS)
}

#[derive(Args)]
pub struct FaultArgs {
    /// The stand-in's address.
    to: SocketAddr,
    /// The fault in words; docs/REHEARSAL.md lists them.
    #[arg(required = true)]
    words: Vec<String>,
}

pub fn fault(args: FaultArgs) -> anyhow::Result<ExitCode> {
    let mut client = Client::connect(args.to, "fault")?;
    client.send(&Message::Control { words: args.words.join(" ") })?;
    loop {
        match client.receive()? {
            Message::Controlled { wrong } if wrong.is_empty() => return Ok(ExitCode::SUCCESS),
            Message::Controlled { wrong } => {
                eprintln!("{wrong}");
                return Ok(ExitCode::from(2));
            }
            _ => {}
        }
    }
}
