//! What a call costs the gateway through the platform's front and through the main protocol, in one run.
//!
//! `cargo run --release -p cresswheel-cli --example front_cost`: the release binary must stand beside it
//! (`cargo build --release`). For each front a gateway process, one worker that answers at once, and clients that keep
//! so many calls out; what is printed is the gateway's own CPU time a call, by the system's count.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use cresswheel_platform_wire::client::{FromGateway, decode_from_gateway, encode_request};
use cresswheel_platform_wire::host::{decode_command, encode_answer};
use cresswheel_protocol::{Decoder, Ending, FunctionProfile, Limits, Message, Role, encode};

const CONNECTIONS: usize = 8;
const CALLS: u64 = 5_000;
const ROUNDS: usize = 5;

/// Microseconds of CPU that a process has used.
fn cpu(child: &Child) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", child.id())).expect("a Linux system");
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |at: usize| fields[at].parse::<f64>().unwrap_or(0.0);
    (ticks(11) + ticks(12)) * 10_000.0
}

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let at = listener.local_addr().expect("an address");
    (listener, at)
}

/// A worker: `reply` takes whole requests off the first bytes and appends their answers.
fn worker(reply: fn(&mut Vec<u8>, &mut Vec<u8>)) -> SocketAddr {
    let (listener, at) = listener();
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            std::thread::spawn(move || exchange(socket, reply, || false));
        }
    });
    at
}

/// Reads and answers until the other side closes or `done` says so.
fn exchange(
    mut socket: TcpStream,
    mut reply: impl FnMut(&mut Vec<u8>, &mut Vec<u8>),
    done: impl Fn() -> bool,
) {
    let _ = socket.set_nodelay(true);
    let (mut held, mut out, mut part) = (Vec::new(), Vec::new(), vec![0; 64 << 10]);
    loop {
        reply(&mut held, &mut out);
        if !out.is_empty() && socket.write_all(&out).is_err() {
            return;
        }
        out.clear();
        if done() {
            return;
        }
        match socket.read(&mut part) {
            Ok(0) | Err(_) => return,
            Ok(count) => held.extend_from_slice(&part[..count]),
        }
    }
}

fn host(held: &mut Vec<u8>, out: &mut Vec<u8>) {
    while let Ok(Some(command)) = decode_command(held) {
        let id = String::from_utf8_lossy(&command[1]);
        let fields = if command[0] == b"prewarm" { "instances=1" } else { "-" };
        if command[0] != b"evict" {
            encode_answer(out, &id, "OK", fields, b"out");
        }
    }
}

fn take(decoder: &mut Decoder, held: &mut Vec<u8>) -> Option<Message> {
    decoder.push(held);
    held.clear();
    decoder.decode().expect("frames")
}

/// Calls on one connection, `depth` out at a time.
fn calls(
    at: SocketAddr,
    depth: u64,
    mut ask: impl FnMut(u64, &mut Vec<u8>),
    mut answers: impl FnMut(&mut Vec<u8>) -> u64,
) {
    let socket = TcpStream::connect(at).expect("the gateway");
    socket.set_read_timeout(Some(Duration::from_secs(20))).expect("a time-out");
    let (asked, got) = (std::cell::Cell::new(0), std::cell::Cell::new(0));
    let turn = |held: &mut Vec<u8>, out: &mut Vec<u8>| {
        got.set(got.get() + answers(held));
        while asked.get() < CALLS && asked.get() < got.get() + depth {
            asked.set(asked.get() + 1);
            ask(asked.get(), out);
        }
    };
    exchange(socket, turn, || got.get() == CALLS);
    assert_eq!(got.get(), CALLS, "all are answered");
}

fn platform_client(at: SocketAddr, depth: u64, salt: u64) {
    let ask = |n: u64, out: &mut Vec<u8>| {
        let (id, key) = (format!("{salt:06x}{n:010x}"), format!("{:016x}", n % 20));
        let fields = [("class", "check"), ("id", id.as_str()), ("wait", "5000"), ("key", key.as_str())];
        encode_request(out, n as u32, &fields, &[7; 200]);
    };
    calls(at, depth, ask, |held| {
        let mut served = 0;
        while let Ok(Some(frame)) = decode_from_gateway(held) {
            assert!(matches!(frame, FromGateway::Answer(_, 0, ..)), "{frame:?}");
            served += 1;
        }
        served
    });
}

fn main_client(at: SocketAddr, depth: u64) {
    let mut decoder = Decoder::new(Limits::default());
    let ask = |number: u64, out: &mut Vec<u8>| {
        if number == 1 {
            encode(&Message::Hello { role: Role::Client, name: "cost".into(), zone: String::new() }, out);
        }
        let call = Message::Call {
            number,
            deferred: false,
            function: format!("{:016x}", number % 20),
            class: "check".into(),
            tenant: String::new(),
            key: String::new(),
            trace: String::new(),
            time_left: 5_000_000,
            shape: FunctionProfile { memory_mb: 100, lanes: 64, load_time: 0, work: 0 },
            body: vec![7; 200],
            account: None,
        };
        encode(&call, out);
    };
    calls(at, depth, ask, |held| {
        let mut served = 0;
        while let Some(message) = take(&mut decoder, held) {
            served += u64::from(matches!(message, Message::Answer { .. }));
        }
        served
    });
}

fn main_worker() -> SocketAddr {
    let (listener, at) = listener();
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut decoder = Decoder::new(Limits::default());
                let reply = |held: &mut Vec<u8>, out: &mut Vec<u8>| {
                    while let Some(message) = take(&mut decoder, held) {
                        let (ending, body, origin) = (Ending::Ok, b"out".to_vec(), None);
                        match message {
                            Message::Run { attempt, .. } => {
                                encode(&Message::Ran { attempt, ending, crowd: 0, body, origin }, out);
                            }
                            Message::Hold { order, .. } => {
                                encode(&Message::Held { order, ending, standing: 1 }, out);
                            }
                            _ => {}
                        }
                    }
                };
                exchange(socket, reply, || false);
            });
        }
    });
    at
}

fn start(args: &[&str], envs: &[(&str, &Path)], log: &Path) -> Child {
    let exe = std::env::current_exe().expect("a path");
    let exe = exe.parent().and_then(Path::parent).expect("target/release").join("cresswheel");
    let log = std::fs::File::create(log).expect("a log");
    let out = log.try_clone().expect("a log");
    Command::new(exe)
        .args(args)
        .envs(envs.iter().copied())
        .stdin(Stdio::null())
        .stderr(log)
        .stdout(out)
        .spawn()
        .expect("the gateway")
}

/// Waits for `mark` in the log and reads the address behind it.
fn ready(log: &Path, mark: &str) -> SocketAddr {
    for _ in 0..2_000 {
        let text = std::fs::read_to_string(log).unwrap_or_default();
        let whole = text.rsplit_once('\n').map_or("", |(whole, _)| whole);
        if let Some((_, rest)) = whole.split_once(mark)
            && let Ok(at) = rest.split_whitespace().next().unwrap_or("").parse()
        {
            return at;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    panic!("the gateway did not start:\n{}", std::fs::read_to_string(log).unwrap_or_default());
}

fn measure(child: &Child, client: impl Fn(usize) + Sync) -> f64 {
    let run = || {
        std::thread::scope(|scope| {
            (0..CONNECTIONS).for_each(|n| {
                _ = scope.spawn({
                    let client = &client;
                    move || client(n)
                })
            });
        });
    };
    let before = cpu(child);
    run();
    (cpu(child) - before) / (CALLS * CONNECTIONS as u64) as f64
}

fn main() {
    let folder = tempfile::tempdir().expect("a folder");
    let (config, star) = (folder.path().join("config.json"), folder.path().join("gateway.star"));
    let host = worker(host);
    let text = format!(
        "{{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"seed\":\"01\",\"names\":\"127.0.0.1:9\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"known\":{{\"pos\":1,\"entries\":[{{\"pos\":1,\
         \"hosts\":{{\"complete\":true,\"members\":[{{\"id\":\"s-1\",\"host_port\":\"{host}\",\"phase\":\"Ready\"}}]}}}}]}},\
         \"settings\":{{\"balancers\":1,\"tick\":2000,\"profiles\":[{{\"name\":\"check\",\"aim\":600000,\
         \"give_up\":5000000,\"semantics\":\"idempotent\"}}],\"limits\":{{\"max_attempts\":4,\
         \"connect_timeout\":250000}},\"specifics\":{{\"when_absent\":\"load\",\"keep_alive\":10000000}}}}}}"
    );
    std::fs::write(&config, text).expect("a file");
    let script = format!(
        "gateway(name = \"g\", listen = \"127.0.0.1:0\", zone = \"a\", answer_margin = ms(20))\n\
         call_class(name = \"check\", aim = ms(600), give_up = s(5), effect = \"safe\")\n\
         fleet(when_absent = \"load\", keep_alive = s(10), max_attempts = 4)\n\
         worker(id = \"w\", address = \"{}\", zone = \"a\")\n",
        main_worker()
    );
    std::fs::write(&star, script).expect("a file");
    let logs = [folder.path().join("platform.log"), folder.path().join("main.log")];
    let mut platform = start(&["--log", "info", "platform"], &[("NODE_CONFIG", &config)], &logs[0]);
    let mut main = start(&["gateway", star.to_str().expect("a path")], &[], &logs[1]);
    let (at_platform, at_main) = (ready(&logs[0], "listens address="), ready(&logs[1], "ready main="));
    println!(
        "CPU of a call at the gateway, us, median of {ROUNDS} rounds of {} calls",
        CALLS * CONNECTIONS as u64
    );
    println!("{:>14} {:>10} {:>14} {:>8}", "out on each", "platform", "main protocol", "ratio");
    let mut salt = 0;
    for depth in [1, 4, 30] {
        let mut rounds: Vec<(f64, f64)> = Vec::new();
        for _ in 0..ROUNDS {
            salt += 100;
            let one = measure(&platform, |n| platform_client(at_platform, depth, salt + n as u64));
            rounds.push((one, measure(&main, |_| main_client(at_main, depth))));
        }
        let median = |pick: fn(&(f64, f64)) -> f64| {
            let mut all: Vec<f64> = rounds.iter().map(pick).collect();
            all.sort_by(f64::total_cmp);
            all[ROUNDS / 2]
        };
        let (one, two) = (median(|r| r.0), median(|r| r.1));
        println!("{depth:>14} {one:>10.1} {two:>14.1} {:>8.2}", median(|r| r.0 / r.1));
    }
    for child in [&mut platform, &mut main] {
        // Ended by its own id; it holds nothing.
        let _ = child.kill();
        let _ = child.wait();
    }
}
