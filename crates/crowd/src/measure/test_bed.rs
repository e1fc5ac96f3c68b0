//! The processes of a measurement: a worker, a gateway on one core, and the crowds that connect to it.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use cresswheel_protocol::Message;
use cresswheel_rehearsal::{Client, Process, process_usage};

use super::IdleSettings;
use super::classes::{CLASSES, GIVE_UP_MS, mix};
use super::processors::{Processors, pin};
use crate::Status;

/// Workers that the gateway knows; all are one process that answers at once.
const WORKERS: usize = 4;
/// Connections of one crowd: a process may have 20,000 descriptors here.
const CROWD: usize = 17_000;
/// A command must be carried out within this.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(120);
/// How often crowds are asked whether they have done it.
const POLL: Duration = Duration::from_millis(20);
/// The default of `ping_after`: the cost of pings is measured at the rate that follows from it.
const PING_EVERY_S: usize = 600;
/// Seconds from the end of the idle time that is measured until pings begin.
const PINGS_BEGIN_S: u64 = 30;
/// The first crowd's connections come from 127.16.0.0/16, the next one's from 127.17.0.0/16.
const FIRST_SOURCE: usize = 16;

/// A process with clients, and the connection for its commands.
struct CrowdProcess {
    _process: Process,
    control: Client,
    /// Connections that are its part.
    size: usize,
}

/// The processes of one measurement.
pub struct TestBed {
    _echo: Process,
    gateway: Process,
    crowds: Vec<CrowdProcess>,
}

/// Starts this program's own commands, with their logs in one folder.
struct Launcher<'a> {
    exe: &'a Path,
    folder: &'a Path,
}

impl Launcher<'_> {
    fn start(&self, args: &[&str], log: &str) -> anyhow::Result<Process> {
        let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
        Process::start(self.exe, &args, &self.folder.join(log))
    }

    fn records(&self) -> String {
        self.folder.join("records").display().to_string()
    }

    fn start_gateway(&self, script: &str) -> anyhow::Result<Process> {
        let file = self.folder.join("gateway.star");
        std::fs::write(&file, script)?;
        self.start(&["--log", "info", "gateway", &file.display().to_string()], "gateway.log")
    }

    fn start_crowd(
        &self,
        number: usize,
        size: usize,
        gateway: SocketAddr,
        seed: u64,
    ) -> anyhow::Result<CrowdProcess> {
        let name = format!("c{number}");
        let (to, records) = (gateway.to_string(), self.records());
        let from = format!("{}.1", number + FIRST_SOURCE);
        let seed = (seed * 100 + number as u64).to_string();
        let mix = serde_json::to_string(&mix())?;
        let args = ["crowd", "--to", &to, "--name", &name, "--records", &records];
        let more = ["--from", &from, "--seed", &seed, "--mix", &mix];
        let process = self.start(&[&args[..], &more[..]].concat(), &format!("{name}.log"))?;
        let control = Client::connect(process.main, "measure")?;
        Ok(CrowdProcess { _process: process, control, size })
    }
}

impl TestBed {
    /// Starts all processes for a number of connections: the gateway on a core of its own, the others elsewhere.
    pub fn start(exe: &Path, folder: &Path, size: usize, settings: &IdleSettings) -> anyhow::Result<Self> {
        let processors = Processors::available()?;
        let launcher = Launcher { exe, folder };
        pin(&processors.others)?;
        let echo = launcher.start(&["echo", "--records", &launcher.records()], "echo.log")?;
        let script = script(size, echo.main, settings)?;
        pin(&processors.gateway)?;
        let gateway = launcher.start_gateway(&script);
        pin(&processors.others)?;
        let gateway = gateway?;
        let count = size.div_ceil(CROWD);
        let mut crowds = Vec::new();
        for number in 0..count {
            let part = size / count + usize::from(number < size % count);
            crowds.push(launcher.start_crowd(number, part, gateway.main, settings.seed)?);
        }
        pin(&processors.all())?;
        Ok(Self { _echo: echo, gateway, crowds })
    }

    /// How many crowds there are.
    pub fn crowds(&self) -> usize {
        self.crowds.len()
    }

    /// Gives each crowd a command, made from the number of its connections.
    pub fn command(&mut self, words: impl Fn(usize) -> String) -> anyhow::Result<()> {
        for crowd in &mut self.crowds {
            let words = words(crowd.size);
            crowd.control.send(&Message::Control { words })?;
        }
        for crowd in &mut self.crowds {
            let Message::Controlled { wrong } = crowd.control.receive_within(CONTROL_TIMEOUT)? else {
                continue;
            };
            anyhow::ensure!(wrong.is_empty(), wrong);
        }
        Ok(())
    }

    /// The status of all crowds together.
    pub fn status(&mut self) -> anyhow::Result<Status> {
        let mut all = Status::default();
        for crowd in &mut self.crowds {
            crowd.control.send(&Message::Page { number: 0, path: "status".into() })?;
            let Message::Counts { json } = crowd.control.receive_within(CONTROL_TIMEOUT)? else { continue };
            all.add(&serde_json::from_slice(&json)?);
        }
        Ok(all)
    }

    /// Polls the crowds until something is so.
    pub fn until(&mut self, what: &str, so: impl Fn(&Status) -> bool) -> anyhow::Result<Status> {
        let end = Instant::now() + CONTROL_TIMEOUT;
        loop {
            let status = self.status()?;
            if so(&status) {
                return Ok(status);
            }
            anyhow::ensure!(Instant::now() < end, "{what}: not within {CONTROL_TIMEOUT:?}: {status:?}");
            std::thread::sleep(POLL);
        }
    }

    /// The gateway's process and its holders.
    pub fn gateway_processes(&self) -> anyhow::Result<Vec<u32>> {
        let gateway = self.gateway.id();
        let mut all = vec![gateway];
        all.extend(process_usage::children(gateway)?);
        Ok(all)
    }

    fn sum(&self, of: impl Fn(u32) -> anyhow::Result<f64>) -> anyhow::Result<f64> {
        self.gateway_processes()?.into_iter().map(of).sum()
    }

    /// Bytes that the gateway's processes have to themselves, and their parts of what they share.
    pub fn bytes(&self) -> anyhow::Result<f64> {
        self.sum(process_usage::proportional_bytes)
    }

    /// Microseconds of CPU that they have had.
    pub fn cpu_us(&self) -> anyhow::Result<f64> {
        self.sum(process_usage::cpu_us)
    }

    /// How often they have been woken.
    pub fn wakes(&self) -> anyhow::Result<f64> {
        self.sum(process_usage::voluntary_switches)
    }
}

/// The gateway's settings.
fn script(size: usize, worker: SocketAddr, settings: &IdleSettings) -> anyhow::Result<String> {
    let holders = settings.holders.map_or(String::new(), |count| format!(", holders = {count}"));
    let mut script = format!(
        "gateway(name = \"idle\", listen = \"127.0.0.1:0\", http = \"127.0.0.1:0\", answer_margin = ms(25)\
         {holders})\nfleet(when_absent = \"load\", keep_alive = s(600))\n"
    );
    for class in &CLASSES {
        writeln!(
            script,
            "call_class(name = {:?}, aim = ms({}), give_up = ms({GIVE_UP_MS}), effect = {:?}, worth = {}, \
             late_worth = 0.3)",
            class.name, class.aim_ms, class.effect, class.worth
        )?;
    }
    for number in 0..WORKERS {
        writeln!(script, "worker(id = \"w{number}\", address = \"{worker}\")")?;
    }
    // Pings are spread over ten minutes: their cost is measured apart from that of idleness.
    writeln!(
        script,
        "limits(connections = {}, worker_streams = 100000, ping_after = s({}), ping_wait = s(60), \
         pings_per_s = {})",
        size + size / 50 + 100,
        settings.idle_s + PINGS_BEGIN_S,
        (size / PING_EVERY_S).max(1),
    )?;
    Ok(script)
}
