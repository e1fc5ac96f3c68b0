//! `cresswheel load shifts`: how long a rollback takes, and how many calls a bad version harms, over real processes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use anyhow::{Context, ensure};
use clap::Args;
use cresswheel_protocol::{FunctionProfile, Message};
use cresswheel_rehearsal::{Client, Process, read_records};
use cresswheel_standins::RecordedEvent;
use cresswheel_versions::{Guard, expected_calls_to_detection};

use crate::versions::now;

#[derive(Args)]
pub struct ShiftArgs {
    /// Gateways, one run each.
    #[arg(long, value_delimiter = ',', default_value = "2,8,32")]
    gateways: Vec<usize>,
    /// Rollbacks of each.
    #[arg(long, default_value_t = 5)]
    rounds: usize,
    /// Calls a second at each gateway.
    #[arg(long, default_value_t = 40)]
    rate: u64,
    /// Bad versions that are tried at one percent, at the first size.
    #[arg(long, default_value_t = 3)]
    bad: usize,
}

const FUNCTION: &str = "f";
const CLASS: &str = "check";

struct Bed {
    exe: PathBuf,
    folder: PathBuf,
    worker: Process,
    gateways: Vec<Process>,
}

impl Bed {
    fn start(exe: &Path, folder: PathBuf, gateways: usize) -> anyhow::Result<Self> {
        std::fs::create_dir_all(&folder)?;
        let records = folder.join("records").display().to_string();
        let worker =
            ["worker", "--listen", "127.0.0.1:0", "--warm", "--cores", "64", "--queue", "10000", "--records"];
        let worker: Vec<String> = worker.into_iter().map(str::to_owned).chain([records]).collect();
        let worker = Process::start(exe, &worker, &folder.join("worker.log"))?;
        let mut bed = Self { exe: exe.into(), folder, worker, gateways: Vec::new() };
        for n in 0..gateways {
            let file = bed.folder.join(format!("gateway-{n}.star"));
            let state = bed.folder.join(format!("state-{n}"));
            let at = bed.worker.main;
            std::fs::write(
                &file,
                format!(
                    "gateway(name = \"g{n}\", listen = \"127.0.0.1:0\", state = {state:?})\n\
                     call_class(name = {CLASS:?}, aim = ms(600), give_up = s(5), effect = \"safe\")\n\
                     fleet(gateways = {gateways}, when_absent = \"load\")\nversions(open = True)\n\
                     worker(address = \"{at}\")\n"
                ),
            )?;
            let args = ["--log", "warn", "gateway", &file.display().to_string()].map(str::to_owned);
            bed.gateways.push(Process::start(exe, &args, &bed.folder.join(format!("gateway-{n}.log")))?);
        }
        Ok(bed)
    }

    fn versions(&self, args: &[&str]) -> anyhow::Result<String> {
        let mut command = Command::new(&self.exe);
        command.arg("versions").args(args).args(["--by", "load"]);
        self.gateways.iter().for_each(|gateway| _ = command.arg("--gateway").arg(gateway.main.to_string()));
        let done = command.output()?;
        let said = String::from_utf8_lossy(&done.stdout).into_owned();
        ensure!(done.status.code().is_some_and(|code| code < 2), "versions {args:?}: {done:?}");
        Ok(said)
    }

    /// Times at which a worker read an attempt of this version since then.
    fn runs(&self, version: &str, since: u64) -> anyhow::Result<Vec<u64>> {
        let routed = format!("{FUNCTION}@{version}");
        let (records, unreadable) = read_records(&self.folder.join("records"))?;
        ensure!(unreadable.is_empty(), "{unreadable:?}");
        let of =
            |what: &RecordedEvent| matches!(what, RecordedEvent::Run { function, .. } if *function == routed);
        Ok(records.iter().filter(|r| r.at >= since && of(&r.what)).map(|r| r.at).collect())
    }
}

/// Calls one gateway until told to stop, each call about another account.
fn call(at: SocketAddr, rate: u64, stop: &AtomicBool) -> anyhow::Result<()> {
    let mut client = Client::connect(at, "load")?;
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        client.send(&Message::Call {
            number,
            deferred: false,
            function: FUNCTION.into(),
            class: CLASS.into(),
            tenant: String::new(),
            key: String::new(),
            trace: String::new(),
            time_left: 0,
            shape: FunctionProfile { memory_mb: 10, lanes: 10_000, load_time: 10_000, work: 100 },
            body: Vec::new(),
            account: Some(format!("{at}-{number}")),
        })?;
        while !matches!(client.receive()?, Message::Answer { .. }) {}
        std::thread::sleep(Duration::from_micros(1_000_000 / rate.max(1)));
    }
    Ok(())
}

/// Runs `play` while all gateways are called.
fn called<T>(bed: &Bed, rate: u64, play: impl FnOnce() -> anyhow::Result<T>) -> anyhow::Result<T> {
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let callers: Vec<_> =
            bed.gateways.iter().map(|gateway| scope.spawn(|| call(gateway.main, rate, &stop))).collect();
        let played = play();
        stop.store(true, Ordering::Relaxed);
        for caller in callers {
            caller.join().map_err(|_| anyhow::anyhow!("a caller panicked"))??;
        }
        played
    })
}

fn plan(bed: &Bed, old: &str, new: &str, share: u32, hold_ms: u64) -> anyhow::Result<String> {
    let file = bed.folder.join("plan.star");
    std::fs::write(
        &file,
        format!(
            "shift(function = {FUNCTION:?}, old = {old:?}, new = {new:?}, stick = \"account\", preload = ms(1))\n\
             step(share = percent({share}), hold = ms({hold_ms}))\n\
             guard(classes = [{CLASS:?}], least = 0)\n"
        ),
    )?;
    Ok(file.display().to_string())
}

pub fn run(args: ShiftArgs) -> anyhow::Result<ExitCode> {
    if args.gateways.is_empty() || args.gateways.contains(&0) || args.rate == 0 || args.rounds == 0 {
        eprintln!("cresswheel: gateways, rounds and rate must be above zero");
        return Ok(ExitCode::from(2));
    }
    let exe = std::env::current_exe().context("this program's own path")?;
    let top = std::env::temp_dir().join(format!("cresswheel-shifts-{}", std::process::id()));
    println!("rollback at 100%, {} calls a second at each gateway, {} rounds", args.rate, args.rounds);
    println!(
        "gateways   last call to the new version, ms after the command began (median, worst)   command took, ms"
    );
    for gateways in &args.gateways {
        let bed = Bed::start(&exe, top.join(format!("back-{gateways}")), *gateways)?;
        let mut times = Vec::new();
        let mut took = Vec::new();
        called(&bed, args.rate, || {
            for _ in 0..args.rounds {
                bed.versions(&["start", "--no-watch", &plan(&bed, "1", "2", 100, 0)?])?;
                std::thread::sleep(Duration::from_millis(500));
                let began = now();
                bed.versions(&["rollback", FUNCTION])?;
                took.push(now() - began);
                std::thread::sleep(Duration::from_millis(300));
                times.push((began, now()));
            }
            Ok(())
        })?;
        let runs = bed.runs("2", 0)?;
        let mut last: Vec<u64> = Vec::new();
        for (began, end) in &times {
            let within = runs.iter().filter(|at| (began..=end).contains(at)).max();
            last.push(within.map_or(0, |at| at - began));
        }
        last.sort();
        took.sort();
        let ms = |us: u64| us as f64 / 1e3;
        let middle = |times: &[u64]| times[times.len() / 2];
        println!(
            "{gateways:>8} {:>12.1} {:>8.1} {:>70.1}",
            ms(middle(&last)),
            ms(last[last.len() - 1]),
            ms(middle(&took))
        );
    }
    let gateways = args.gateways[0];
    let guard = Guard {
        classes: vec![CLASS.into()],
        false_alarm: 0.01,
        worse: 1.5,
        least: 0,
        settle: 0,
        compare: None,
    };
    let promised = expected_calls_to_detection(&guard, 1, 0.01, (1e-3, 1.0));
    println!("\na version that always fails, at 1% on {gateways} gateways, looked at every 200 ms");
    println!("{promised:.0} calls promised, with one bad call in a thousand of the old version");
    for round in 0..args.bad {
        let bed = Bed::start(&exe, top.join(format!("bad-{round}")), gateways)?;
        let at = bed.worker.main.to_string();
        let fault = Command::new(&exe).args(["fault", &at, "bad-version 2 1 600000"]).status()?;
        ensure!(fault.success(), "the worker takes no fault");
        let (began, said) = called(&bed, args.rate, || {
            std::thread::sleep(Duration::from_millis(500));
            let began = now();
            let said = bed.versions(&["start", "--every", "200", &plan(&bed, "1", "2", 1, 600_000)?])?;
            std::thread::sleep(Duration::from_millis(300));
            Ok((began, said))
        })?;
        ensure!(said.contains("rolled back by guard"), "{said}");
        let runs = bed.runs("2", began)?;
        let last = runs.iter().max().map_or(0, |at| at - began) as f64 / 1e6;
        let harmed = said.lines().find_map(|line| {
            let rest = line.trim().strip_prefix("check by f@2: ")?;
            rest.split(' ').next()?.parse::<u64>().ok()
        });
        println!(
            "{} calls were given to it ({} attempts), the last {last:.1} s after the start",
            harmed.unwrap_or(0),
            runs.len()
        );
    }
    std::fs::remove_dir_all(&top).with_context(|| top.display().to_string())?;
    Ok(ExitCode::SUCCESS)
}
