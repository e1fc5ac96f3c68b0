//! The processes of a rehearsal. Each is ended by its own id, at the latest when the fleet is dropped.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use cresswheel_protocol::Message;

use crate::client::Client;
use crate::scene::{Scene, WorkerSpec};

/// A running process that has reported where it listens.
pub struct Process {
    child: Child,
    /// Its main address.
    pub main: SocketAddr,
    /// Its HTTP address, if it has one.
    pub http: Option<SocketAddr>,
}

/// How long a process may take until it listens.
const READY_WITHIN: Duration = Duration::from_secs(20);

impl Process {
    /// Starts `exe ARGS`, its standard error to `log`, and waits until it says that it is ready.
    pub fn start(exe: &Path, args: &[String], log: &Path) -> anyhow::Result<Self> {
        let log_file = File::options().create(true).append(true).open(log);
        let log_file = log_file.with_context(|| log.display().to_string())?;
        let mut command = Command::new(exe);
        // The other end of its standard input closes with this process, and it ends with that.
        command.args(args).env("CRESSWHEEL_TIED", "true").stdin(Stdio::piped());
        command.stdout(Stdio::piped()).stderr(log_file);
        let mut child = command.spawn().with_context(|| format!("start {}", exe.display()))?;
        let line = ready_line(&mut child);
        let line = match line {
            Ok(line) => line,
            Err(error) => {
                let _ = child.kill();
                let _ = child.wait();
                return Err(error.context(format!("{args:?}; its log is {}", log.display())));
            }
        };
        let at = |name: &str| {
            let value = line.split_whitespace().find_map(|part| part.strip_prefix(name));
            value.and_then(|value| value.parse().ok())
        };
        let Some(main) = at("main=") else {
            let _ = child.kill();
            let _ = child.wait();
            bail!("{args:?} said {line:?} instead of where it listens; its log is {}", log.display());
        };
        Ok(Self { child, main, http: at("http=") })
    }

    /// The process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills it, with -9, and waits until it is gone.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks it to stop, with TERM.
    pub fn terminate(&self) -> anyhow::Result<()> {
        self.signal("TERM")
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) -> anyhow::Result<()> {
        let done = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status()?;
        anyhow::ensure!(done.success(), "kill -{name} {}: {done}", self.child.id());
        Ok(())
    }

    /// Waits for its end; gives its exit code.
    pub fn wait(&mut self, within: Duration) -> anyhow::Result<Option<i32>> {
        let end = Instant::now() + within;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status.code());
            }
            anyhow::ensure!(Instant::now() < end, "process {} has not ended", self.child.id());
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

fn ready_line(child: &mut Child) -> anyhow::Result<String> {
    let Some(out) = child.stdout.take() else { bail!("no standard output") };
    let (tell, told) = std::sync::mpsc::channel();
    // A thread of its own, so that a process that says nothing can be given up. It ends with the process.
    std::thread::spawn(move || {
        let mut line = String::new();
        let read = BufReader::new(out).read_line(&mut line).map(|_| line);
        let _ = tell.send(read);
    });
    let line = told.recv_timeout(READY_WITHIN).context("it did not say that it is ready")??;
    Ok(line.trim().to_owned())
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The processes of a scene.
pub struct Fleet {
    exe: PathBuf,
    folder: PathBuf,
    scene: Scene,
    list: Process,
    store: Process,
    /// `None`: killed.
    pub workers: Vec<Option<Process>>,
    worker_at: Vec<SocketAddr>,
    /// `None`: killed.
    pub gateways: Vec<Option<Process>>,
    /// Where each gateway listens, also while it is dead.
    pub gateway_at: Vec<SocketAddr>,
    /// Operators' commands that were begun: what each was, the process, the exit code wanted of it.
    orders: Vec<(String, std::process::Child, i32)>,
}

/// How long orders may take to end after the last call.
const ORDERS_WITHIN: Duration = Duration::from_secs(20);

const ANY_PORT: &str = "127.0.0.1:0";

impl Fleet {
    /// Starts everything. Logs, settings and state go to `folder`, records to `folder/records`.
    pub fn start(exe: &Path, folder: &Path, scene: &Scene) -> anyhow::Result<Self> {
        std::fs::create_dir_all(folder.join("records"))?;
        let records = folder.join("records").display().to_string();
        let terms = &scene.terms;
        let words = |parts: &[&str]| parts.iter().map(|part| (*part).to_owned()).collect::<Vec<_>>();
        let (delay, notice) = (terms.list_delay_ms.to_string(), terms.list_notice_ms.to_string());
        let list = [
            "list",
            "--listen",
            ANY_PORT,
            "--delay-ms",
            &delay,
            "--notice-ms",
            &notice,
            "--records",
            &records,
        ];
        let list = Process::start(exe, &words(&list), &folder.join("list.log"))?;
        let (capacity, most) = (terms.store.0.to_string(), terms.store.1.to_string());
        let store = ["store", "--listen", ANY_PORT, "--capacity", &capacity, "--most", &most];
        let store = Process::start(exe, &words(&store), &folder.join("store.log"))?;
        let mut fleet = Self {
            exe: exe.into(),
            folder: folder.into(),
            scene: scene.clone(),
            list,
            store,
            workers: Vec::new(),
            worker_at: Vec::new(),
            gateways: Vec::new(),
            gateway_at: Vec::new(),
            orders: Vec::new(),
        };
        for number in 0..scene.workers.len() {
            let worker = fleet.worker(number, ANY_PORT, true)?;
            fleet.worker_at.push(worker.main);
            fleet.workers.push(Some(worker));
        }
        for number in 0..scene.gateways.len() {
            let gateway = fleet.gateway(number, ANY_PORT, ANY_PORT)?;
            fleet.gateway_at.push(gateway.main);
            fleet.gateways.push(Some(gateway));
        }
        Ok(fleet)
    }

    /// A gateway's name.
    pub fn gateway_name(number: usize) -> String {
        format!("gateway-{number}")
    }

    fn worker(&self, number: usize, listen: &str, warm: bool) -> anyhow::Result<Process> {
        let WorkerSpec { zone, kind, cell, cores, memory_mb } = &self.scene.workers[number];
        let terms = &self.scene.terms;
        let records = self.folder.join("records").display().to_string();
        let pairs = [
            ("--listen", listen.to_owned()),
            ("--id", format!("worker-{number}")),
            ("--list", self.list.main.to_string()),
            ("--store", self.store.main.to_string()),
            ("--zone", zone.clone()),
            ("--kind", kind.clone()),
            ("--cell", cell.to_string()),
            ("--cores", cores.to_string()),
            ("--memory-mb", memory_mb.to_string()),
            ("--keep-alive-ms", terms.keep_alive_ms.to_string()),
            ("--cold-from", terms.cold_from.to_string()),
            ("--warm-up-ms", terms.warm_up_ms.to_string()),
            ("--fall-multiple", terms.fall_multiple.to_string()),
            ("--fall-window-ms", terms.fall_window_ms.to_string()),
            ("--seed", (self.scene.seed * 1_000 + number as u64).to_string()),
            ("--records", records),
        ];
        let mut args = vec!["worker".to_owned()];
        args.extend(pairs.into_iter().flat_map(|(name, value)| [name.to_owned(), value]));
        args.extend(warm.then(|| "--warm".to_owned()));
        args.extend(terms.miss.then(|| "--miss".to_owned()));
        Process::start(&self.exe, &args, &self.folder.join(format!("worker-{number}.log")))
    }

    fn gateway(&self, number: usize, main: &str, http: &str) -> anyhow::Result<Process> {
        let name = Self::gateway_name(number);
        let file = self.folder.join(format!("{name}.star"));
        let script = settings_script(&self.scene, number, &self.folder, self.list.main, main, http);
        std::fs::write(&file, script)?;
        let args = ["--log", "info", "gateway", &file.display().to_string()].map(str::to_owned);
        Process::start(&self.exe, &args, &self.folder.join(format!("{name}.log")))
    }

    /// Kills a worker.
    pub fn kill_worker(&mut self, number: usize) {
        self.workers[number] = None;
    }

    /// Starts a worker again, where it was: empty and cold.
    pub fn start_worker(&mut self, number: usize) -> anyhow::Result<()> {
        self.workers[number] = None;
        let at = self.worker_at[number].to_string();
        self.workers[number] = Some(self.worker(number, &at, false)?);
        Ok(())
    }

    /// Kills a gateway.
    pub fn kill_gateway(&mut self, number: usize) {
        self.gateways[number] = None;
    }

    /// Asks a gateway to stop and waits for its end; gives its exit code.
    pub fn stop_gateway(&mut self, number: usize) -> anyhow::Result<Option<i32>> {
        let Some(mut gateway) = self.gateways[number].take() else { return Ok(None) };
        gateway.terminate()?;
        gateway.wait(Duration::from_secs(20))
    }

    /// Starts a gateway again, where it was.
    pub fn start_gateway(&mut self, number: usize) -> anyhow::Result<()> {
        self.gateways[number] = None;
        let at = self.gateway_at[number].to_string();
        self.gateways[number] = Some(self.gateway(number, &at, ANY_PORT)?);
        Ok(())
    }

    /// Sends a worker a fault command; a dead worker is skipped.
    pub fn fault(&self, number: usize, words: &str) -> anyhow::Result<()> {
        match self.workers[number] {
            Some(_) => control(self.worker_at[number], words),
            None => Ok(()),
        }
    }

    /// Begins `cresswheel versions ORDER` over all gateways; a plan goes to a file whose name is put after the order.
    pub fn order(&mut self, order: &str, plan: Option<&str>, exits: i32) -> anyhow::Result<()> {
        let number = self.orders.len();
        let log = File::create(self.folder.join(format!("order-{number}.log")))?;
        let mut command = Command::new(&self.exe);
        command.arg("versions").args(order.split_whitespace());
        if let Some(plan) = plan {
            let file = self.folder.join(format!("plan-{number}.star"));
            std::fs::write(&file, plan)?;
            command.arg(file);
        }
        for at in &self.gateway_at {
            command.arg("--gateway").arg(at.to_string());
        }
        command.env("CRESSWHEEL_TIED", "true").stdin(Stdio::piped()).stdout(log.try_clone()?).stderr(log);
        self.orders.push((order.into(), command.spawn()?, exits));
        Ok(())
    }

    /// Waits for all orders; returns those that did not end as wanted.
    pub fn end_orders(&mut self) -> anyhow::Result<Vec<String>> {
        let end = Instant::now() + ORDERS_WITHIN;
        let mut bad = Vec::new();
        for (order, mut child, exits) in std::mem::take(&mut self.orders) {
            let status = loop {
                match child.try_wait()? {
                    None if Instant::now() < end => std::thread::sleep(Duration::from_millis(5)),
                    status => break status.and_then(|status| status.code()),
                }
            };
            if status != Some(exits) {
                let _ = child.kill();
                let _ = child.wait();
                bad.push(format!("versions {order}: ended with {status:?}, {exits} was wanted"));
            }
        }
        Ok(bad)
    }

    /// Sends the worker list a control command.
    pub fn tell_list(&self, words: &str) -> anyhow::Result<()> {
        control(self.list.main, words)
    }

    /// Sends the model store a control command.
    pub fn tell_store(&self, words: &str) -> anyhow::Result<()> {
        control(self.store.main, words)
    }
}

fn control(at: SocketAddr, words: &str) -> anyhow::Result<()> {
    let mut client = Client::connect(at, "rehearsal")?;
    client.send(&Message::Control { words: words.into() })?;
    loop {
        if let Message::Controlled { wrong } = client.receive_within(Duration::from_secs(15))? {
            anyhow::ensure!(wrong.is_empty(), wrong);
            return Ok(());
        }
    }
}

/// The settings of one of a scene's gateways.
fn settings_script(
    scene: &Scene,
    number: usize,
    folder: &Path,
    list: SocketAddr,
    main: &str,
    http: &str,
) -> String {
    let terms = &scene.terms;
    let name = Fleet::gateway_name(number);
    let state = folder.join(format!("{name}.state")).display().to_string();
    let zone = &scene.gateways[number].zone;
    let mut script = format!(
        "gateway(\n    name = {name:?},\n    zone = {zone:?},\n    listen = {main:?},\n    http = {http:?},\n    \
         list = [{:?}],\n    state = {state:?},\n    answer_margin = ms(25),\n    most_time = s(60),\n    \
         deferred_time = s(10),\n    holders = {},\n)\n",
        list.to_string(),
        scene.gateways[number].holders,
    );
    for class in &scene.classes {
        let effect = match class.effect.split(' ').collect::<Vec<_>>()[..] {
            ["keyed", group, ms] => format!("keyed(group = {group:?}, memory = ms({ms}))"),
            _ => format!("{:?}", class.effect),
        };
        script += &format!(
            "call_class(name = {:?}, aim = ms({}), give_up = ms({}), effect = {effect}, worth = {}, \
             late_worth = 0.3)\n",
            class.name, class.aim_ms, class.give_up_ms, class.worth
        );
    }
    let when_absent = if terms.miss { "miss" } else { "load" };
    script += &format!(
        "fleet(gateways = {}, keep_alive = ms({}), when_absent = {when_absent:?}, drain_grace = ms({}), \
         max_attempts = {})\n",
        scene.gateways.len(),
        terms.keep_alive_ms,
        terms.drain_grace_ms,
        terms.max_attempts
    );
    script += &format!(
        "cold_start(from_share = {}, warm_up = ms({}), multiple = {}, window = ms({}))\n",
        terms.cold_from, terms.warm_up_ms, terms.fall_multiple, terms.fall_window_ms
    );
    if let (window @ 1.., free, per_call) = terms.ration {
        script += &format!("ration(window = ms({window}), free = {free}, per_call = {per_call})\n");
    }
    script + "versions(open = True)\nlimits(stop_within = s(4))\n"
}
