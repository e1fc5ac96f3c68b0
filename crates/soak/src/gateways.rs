//! The gateways' processes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use cresswheel_platform_wire::client::{FromGateway, decode_from_gateway, encode_without_fields};
use cresswheel_protocol::{ListedWorker, MemberState, Micros};
use rustix::process::{Pid, Signal, kill_process};
use rustix::thread::{CpuSet, sched_getaffinity, sched_setaffinity};
use serde_json::{Value, json};

use crate::plan::{Planned, ProcessFault};
use crate::ports::ReservedPort;
use crate::records::{Life, Span};
use crate::run::World;

const MS: Micros = 1_000;
const LOOK: Duration = Duration::from_millis(5);
/// After SIGTERM, new connections come for so long; open ones are used until the end.
const COME_AFTER_TERM: Micros = 300 * MS;
/// SIGKILL comes so long after the longest wait of a client, counted from SIGTERM: the page's earliest.
const KILLED_AFTER: Micros = 700 * MS;
/// Between the signals of a series, and how long a stop within it lasts.
const IN_SERIES: Duration = Duration::from_millis(40);

/// One gateway's process, and those that follow it.
pub struct Process {
    world: Arc<World>,
    number: usize,
    port: ReservedPort,
    folder: PathBuf,
    directories: [SocketAddr; 2],
    child: Option<Child>,
}

impl Process {
    /// A gateway that is not started yet.
    pub fn new(
        world: Arc<World>,
        number: usize,
        folder: PathBuf,
        directories: [SocketAddr; 2],
    ) -> anyhow::Result<Self> {
        let port = ReservedPort::any()?;
        Ok(Self { world, number, port, folder, directories, child: None })
    }

    /// Plays the process until the run is over, then ends it.
    pub fn play(mut self, plan: &[(Planned, ProcessFault)]) -> anyhow::Result<()> {
        self.start()?;
        for (planned, fault) in plan {
            if !self.wait_until(self.world.start + planned.at) {
                break;
            }
            self.fault(*fault)?;
        }
        self.wait_until(Micros::MAX);
        self.terminate(false)
    }

    /// Waits; false: the run is over, or the process has ended by itself.
    fn wait_until(&mut self, at: Micros) -> bool {
        while self.world.clock.now() < at && !self.world.is_quiet() {
            std::thread::sleep(LOOK);
            let ended = self.child.as_mut().and_then(|child| child.try_wait().ok().flatten());
            if let Some(status) = ended {
                self.child = None;
                let now = self.world.clock.now();
                self.is_gone();
                self.life(|life| life.ended = Some((now, status.success())));
                return false;
            }
        }
        !self.world.is_quiet()
    }

    fn life(&self, change: impl FnOnce(&mut Life)) {
        self.world.book.write(|records| {
            if let Some(life) = records.lives[self.number].last_mut() {
                change(life);
            }
        });
    }

    fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(Err(error)) = pid.map(|pid| kill_process(pid, signal)) {
            self.world.book.write(|records| records.faults.push(format!("no signal: {error}")));
        }
    }

    fn fault(&mut self, fault: ProcessFault) -> anyhow::Result<()> {
        match fault {
            ProcessFault::Freeze(span) => self.freeze(Duration::from_micros(span)),
            ProcessFault::Kill(after) => {
                self.is_gone();
                let now = self.world.clock.now();
                self.life(|life| life.killed = Some(now));
                self.signal(Signal::KILL);
                self.reap();
                std::thread::sleep(Duration::from_micros(after));
                self.start()?;
            }
            ProcessFault::Terminate { after, in_series } => {
                self.terminate(in_series)?;
                std::thread::sleep(Duration::from_micros(after));
                self.start()?;
            }
            ProcessFault::Reload { times, pause } => {
                for _ in 0..times {
                    self.reload()?;
                    std::thread::sleep(Duration::from_micros(pause));
                }
            }
        }
        Ok(())
    }

    fn freeze(&self, span: Duration) {
        let from = self.world.clock.now();
        self.signal(Signal::STOP);
        std::thread::sleep(span);
        self.signal(Signal::CONT);
        let to = self.world.clock.now();
        self.world.book.write(|records| records.freezes[self.number].push(Span { from, to }));
    }

    /// The other directory answers from now on, and the process is told of it.
    fn reload(&self) -> anyhow::Result<()> {
        self.world.change(self.number, |gateway| gateway.side = 1 - gateway.side);
        self.configure()?;
        self.signal(Signal::HUP);
        Ok(())
    }

    /// Further signals on the way to the end.
    fn signal_on(&self) -> anyhow::Result<()> {
        std::thread::sleep(IN_SERIES);
        self.signal(Signal::TERM);
        self.reload()?;
        std::thread::sleep(IN_SERIES);
        self.freeze(IN_SERIES);
        self.signal(Signal::INT);
        Ok(())
    }

    fn is_gone(&self) {
        self.world.change(self.number, |gateway| (gateway.takes, gateway.is_up) = (None, false));
    }

    fn reap(&mut self) {
        self.child.take().into_iter().for_each(|mut child| _ = child.wait());
    }

    /// Tells the process to end, and waits until it has, or kills it when its time is over.
    fn terminate(&mut self, in_series: bool) -> anyhow::Result<()> {
        if self.child.is_none() {
            return Ok(());
        }
        if in_series {
            self.reload()?;
        }
        let since = self.world.clock.now();
        self.life(|life| life.terminated = Some(since));
        self.signal(Signal::TERM);
        if in_series {
            self.signal_on()?;
        }
        let mut child = self.child.take().context("the process")?;
        let end = since + crate::LONGEST_WAIT + KILLED_AFTER;
        loop {
            let now = self.world.clock.now();
            if since + COME_AFTER_TERM <= now {
                self.world.change(self.number, |gateway| gateway.takes = None);
            }
            if let Some(status) = child.try_wait()? {
                self.is_gone();
                self.life(|life| life.ended = Some((now, status.success())));
                return Ok(());
            }
            if now > end {
                child.kill()?;
                child.wait()?;
                self.is_gone();
                self.life(|life| life.ended = Some((now, false)));
                return Ok(());
            }
            std::thread::sleep(LOOK);
        }
    }

    fn start(&mut self) -> anyhow::Result<()> {
        let started = self.world.clock.now();
        let knows = self.world.roster.events().last_by(started);
        let life = self.world.book.write(|records| {
            let (ready, terminated, killed, ended) = (None, None, None, None);
            records.lives[self.number].push(Life { started, ready, knows, terminated, killed, ended });
            records.lives[self.number].len() - 1
        });
        self.world.change(self.number, |gateway| (gateway.life, gateway.knows) = (life, knows));
        self.configure()?;
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log"))?;
        let mut command = Command::new(&self.world.options.program);
        command
            .args(["--log", &self.world.options.log, "platform"])
            .env("NODE_CONFIG", self.folder.join("config.json"));
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn()?;
        if self.world.options.one_core {
            run_on_one_core(&child)?;
        }
        self.child = Some(child);
        while !self.is_ready() && !self.world.is_quiet() {
            std::thread::sleep(LOOK);
            if self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_)))) {
                break;
            }
        }
        let ready = self.world.clock.now();
        self.life(|life| life.ready = Some(ready));
        let address = self.port.address();
        self.world.change(self.number, |gateway| (gateway.takes, gateway.is_up) = (Some(address), true));
        Ok(())
    }

    fn is_ready(&self) -> bool {
        let asked = || -> std::io::Result<bool> {
            let mut socket = TcpStream::connect(self.port.address())?;
            socket.set_read_timeout(Some(Duration::from_secs(1)))?;
            let mut bytes = Vec::new();
            encode_without_fields(&mut bytes, true, 1);
            socket.write_all(&bytes)?;
            let (mut held, mut part) = (Vec::new(), [0; 256]);
            let count = socket.read(&mut part)?;
            held.extend_from_slice(&part[..count]);
            Ok(matches!(decode_from_gateway(&mut held), Ok(Some(FromGateway::Ready(_, 0)))))
        };
        asked().unwrap_or(false)
    }

    /// Writes its configuration: beside, and then in the place of the one before.
    fn configure(&self) -> anyhow::Result<()> {
        let gateway = self.world.gateway(self.number);
        let hosts = self.world.roster.events().list(gateway.knows);
        let config = config(self.number, self.port.address(), self.directories[gateway.side], &hosts);
        let beside = self.folder.join("config.json.new");
        std::fs::write(&beside, config.to_string())?;
        Ok(std::fs::rename(beside, self.folder.join("config.json"))?)
    }
}

fn config(number: usize, address: SocketAddr, directory: SocketAddr, hosts: &[ListedWorker]) -> Value {
    let member = |host: &ListedWorker| {
        let phase = if host.standing == MemberState::Active { "Ready" } else { "Terminating" };
        json!({"id": host.id, "host_port": host.address, "locality": host.zone, "flavor": host.kind,
               "cell": host.cell, "phase": phase, "size": 4, "up_since_ms": host.started / MS})
    };
    let members: Vec<Value> = hosts.iter().map(member).collect();
    let class = |name: &str, semantics: &str| json!({"name": name, "aim": 400_000, "give_up": crate::LONGEST_WAIT, "semantics": semantics, "value": 1.0});
    json!({
        "name": format!("n{number}"), "listen": address.to_string(), "seed": format!("{:x}", number + 1),
        "names": directory.to_string(), "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "known": {"pos": 1, "entries": [{"pos": 1, "hosts": {"revision": 1, "complete": true, "members": members}}]},
        "settings": {
            "balancers": 1, "tick": 2_000,
            "profiles": [class("check", "idempotent"), class("post", "at_most_once")],
            "limits": {"max_attempts": 5, "cancel": true, "probes": true, "connect_timeout": 250_000,
                       "retry_after": true, "max_retry_after": 1_000_000, "idle_close": 4_000_000},
            "rules": {"drain_grace": crate::GRACE},
            "specifics": {"may_load": true, "when_absent": "load", "keep_alive": 5_000_000, "load_wait": 3_000_000}
        }
    })
}

/// Has a gateway run on the last core that the soak may use, where all of them run then.
fn run_on_one_core(child: &Child) -> anyhow::Result<()> {
    let allowed = sched_getaffinity(None)?;
    let last = (0..CpuSet::MAX_CPU).rev().find(|core| allowed.is_set(*core));
    let mut only = CpuSet::new();
    only.set(last.unwrap_or(0));
    Ok(sched_setaffinity(Some(Pid::from_child(child)), &only)?)
}
