//! Prints the size of each message of the main protocol, and the time to encode and to decode a worker list,
//! by its length.
//!
//! `cargo run --release -p cresswheel-protocol --example message_bytes`
//!
//! Sizes are those of frames, without TCP and IP (40 to 52 bytes for each packet). Times are microseconds of
//! this thread's CPU time.

use std::hint::black_box;

use cresswheel_measure::{Series, thread_cpu_time};
use cresswheel_protocol::{
    Decoder, Ending, FunctionProfile, Limits, ListedWorker, MemberState, Message, Origin, Role, Status,
    encode,
};

/// Lengths of a list, around the expected ones (1,000, 2,000, 5,000 workers).
const WORKERS: [usize; 6] = [1, 100, 1_000, 2_000, 5_000, 10_000];
const RUNS: usize = 9;
/// Entries encoded or decoded in one timing.
const ENTRIES_PER_TIMING: usize = 40_000;

/// A worker with a name of typical length. Half of all names in use are no longer than this.
fn worker(number: usize) -> ListedWorker {
    ListedWorker {
        id: format!("worker-{number:05}"),
        address: format!("10.120.{}.{}:7201", number / 250 % 250, number % 250),
        zone: format!("r1-z{}", number % 5),
        kind: "std-32".into(),
        cell: number as u64 / 40,
        standing: MemberState::Active,
        started: 1_790_000_000_000_000,
    }
}

fn list(workers: usize) -> Message {
    Message::List { whole: true, version: 1, workers: (0..workers).map(worker).collect() }
}

fn bytes(message: &Message) -> Vec<u8> {
    let mut out = Vec::new();
    encode(message, &mut out);
    out
}

fn print_messages() {
    let shape = FunctionProfile { memory_mb: 500, lanes: 4, load_time: 400_000, work: 25_000 };
    let origin = Some(Origin { function: "function-01234".into(), digest: format!("sha256:{:064x}", 7) });
    let (function, class) = ("function-01234".to_owned(), "check".to_owned());
    let trace = format!("{:032x}", 9);
    let messages = [
        Message::Hello { role: Role::Gateway, name: "gateway-001".into(), zone: "r1-z1".into() },
        Message::Follow {},
        list(0),
        Message::List { whole: false, version: 2, workers: vec![worker(1)] },
        Message::Register { workers: vec![worker(1)] },
        Message::Probe { number: 0 },
        Message::Probed { number: 0, held: 3, queued: 0 },
        Message::Hold { order: 9, function: function.clone(), count: 1, shape: shape.clone() },
        Message::Held { order: 9, ending: Ending::Ok, standing: 1 },
        Message::Drop { function: function.clone() },
        Message::Run {
            attempt: 7,
            trace,
            before: 0,
            function,
            class,
            key: String::new(),
            time_left: 500_000,
            shape,
            body: Vec::new(),
        },
        Message::Ran { attempt: 7, ending: Ending::Ok, crowd: 1, body: Vec::new(), origin: origin.clone() },
        Message::CancelRun { attempt: 7 },
        Message::Answer {
            number: 1,
            status: Status::Served,
            reason: String::new(),
            retry_after: 0,
            body: Vec::new(),
            origin,
        },
        Message::Of { connection: 1, came: 1 },
    ];
    println!("bytes of one frame, bodies empty");
    for message in messages {
        let name = match &message {
            Message::List { workers, .. } => format!("List of {}", workers.len()),
            message => message.kind().to_owned(),
        };
        println!("  {name:<10} {:>5}", bytes(&message).len());
    }
}

/// Average time of `work` in microseconds, over this many runs.
fn time_each(times: usize, mut work: impl FnMut()) -> f64 {
    let began = thread_cpu_time();
    (0..times).for_each(|_| work());
    (thread_cpu_time() - began).as_secs_f64() * 1e6 / times as f64
}

fn read(bytes: &[u8]) -> Message {
    let mut decoder = Decoder::new(Limits { frame: 64 << 20 });
    decoder.push(bytes);
    decoder.decode().expect("a frame").expect("a whole one")
}

fn main() {
    print_messages();
    let mut length = Series::new("a whole list", "bytes", "workers");
    let mut writing = Series::new("writing a whole list", "us", "workers");
    let mut reading = Series::new("reading a whole list", "us", "workers");
    for workers in WORKERS {
        let (message, times) = (list(workers), (ENTRIES_PER_TIMING / workers).max(1));
        let frame = bytes(&message);
        length.add(workers, vec![frame.len() as f64]);
        let write = || {
            time_each(times, || {
                black_box(bytes(black_box(&message)));
            })
        };
        writing.add(workers, (0..RUNS).map(|_| write()).collect());
        let read = || {
            time_each(times, || {
                black_box(read(black_box(&frame)));
            })
        };
        reading.add(workers, (0..RUNS).map(|_| read()).collect());
    }
    println!("\n{length}\n{writing}\n{reading}");
}
