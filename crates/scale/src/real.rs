//! Real gateway processes beside the simulated ones: what a process of the program takes with the same list and the
//! same calls a gateway.
//!
//! They run in wall time, on loopback. A list service tells them all workers of the scenario; all these are at the
//! address of one process that answers calls at once, so that a gateway has as many workers and connections as it
//! would have, without as many worker processes.

use std::fmt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use anyhow::Context;
use cresswheel_gateway::GatewaySettings;
use cresswheel_protocol::{ListedWorker, Message, Status};
use cresswheel_rehearsal::{Client, Process};
use cresswheel_settings::ScaleScenario;
use serde::{Deserialize, Serialize};

use crate::hollow::settings_of;
use crate::network::Network;
use crate::size::call;
use crate::traffic::{Calls, function_name};
use crate::worker::entry;

pub use crate::script::script;

/// What the real processes took.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RealReport {
    /// One by one.
    pub gateways: Vec<RealGateway>,
    /// Seconds without calls, and then with calls.
    pub seconds_each: f64,
}

/// One real gateway process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RealGateway {
    /// Its process id.
    pub process: u32,
    /// How it ended, if it ended before it was asked to.
    pub ended_early: Option<String>,
    /// Processor time until it had the list, in milliseconds.
    pub start_ms: f64,
    /// Processor time while no calls came, as a share of a core.
    pub idle_core_share: f64,
    /// Processor time while calls came, as a share of a core.
    pub loaded_core_share: f64,
    /// Resident bytes at the end.
    pub resident: u64,
    /// Open descriptors at the end.
    pub descriptors: u64,
    /// Calls made of it.
    pub calls: u64,
    /// Those that it answered.
    pub answered: u64,
    /// Those that it served.
    pub served: u64,
    /// From the signal until new settings were in force, in milliseconds.
    pub settings_ms: Option<f64>,
}

impl RealReport {
    /// Whether all ran to the end and answered every call.
    pub fn is_whole(&self) -> bool {
        self.gateways.iter().all(|gateway| gateway.ended_early.is_none() && gateway.answered == gateway.calls)
    }
}

impl fmt::Display for RealReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "real gateway processes, {:.1} s without calls and {:.1} s with",
            self.seconds_each, self.seconds_each
        )?;
        for gateway in &self.gateways {
            let settings = gateway.settings_ms.map_or("never".to_owned(), |ms| format!("{ms:.1} ms"));
            writeln!(
                f,
                "  process {}: start {:.0} ms, idle {:.3}% of a core, with calls {:.3}%, {:.1} MB, {} descriptors, \
                 {} calls, {} answered, {} served, settings in force after {settings}",
                gateway.process,
                gateway.start_ms,
                gateway.idle_core_share * 100.0,
                gateway.loaded_core_share * 100.0,
                gateway.resident as f64 / 1e6,
                gateway.descriptors,
                gateway.calls,
                gateway.answered,
                gateway.served,
            )?;
            if let Some(why) = &gateway.ended_early {
                writeln!(f, "  process {} ENDED EARLY: {why}", gateway.process)?;
            }
        }
        Ok(())
    }
}

/// What the real part is given.
pub struct RealInputs {
    /// This program.
    pub exe: PathBuf,
    /// Where logs and settings go.
    pub folder: PathBuf,
    /// The scenario.
    pub scenario: ScaleScenario,
    /// The settings of all gateways.
    pub settings: GatewaySettings,
    /// Hears what happens.
    pub progress: fn(&str),
}

/// The list reaches the gateways within this.
const LISTED_WITHIN: Duration = Duration::from_secs(20);
const LIST_SETTLES: Duration = Duration::from_millis(500);
/// Longest stretch without calls, and with calls.
const MOST_STRETCH: f64 = 30.0;
/// The last answers and new settings are waited for so long.
const LAST_WITHIN: Duration = Duration::from_secs(10);
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Runs the real processes of a scenario; all have ended when it returns.
pub fn run(inputs: &RealInputs) -> anyhow::Result<RealReport> {
    std::fs::create_dir_all(&inputs.folder)?;
    let mut fleet = RealFleet::start(inputs)?;
    (inputs.progress)(&format!("{} real gateways run and have their list", fleet.gateways.len()));
    let stretch = (inputs.scenario.seconds / 2.0).min(MOST_STRETCH);
    let span = Duration::from_secs_f64(stretch);
    let at_start = fleet.cpu();
    fleet.rest(span);
    let after_idle = fleet.cpu();
    fleet.load(inputs, span)?;
    let after_load = fleet.cpu();
    for (number, gateway) in fleet.found.iter_mut().enumerate() {
        gateway.start_ms = at_start[number] * 1e3;
        gateway.idle_core_share = (after_idle[number] - at_start[number]) / stretch;
        gateway.loaded_core_share = (after_load[number] - after_idle[number]) / stretch;
    }
    fleet.look_at_memory();
    fleet.change_settings(inputs)?;
    fleet.look();
    Ok(RealReport { gateways: std::mem::take(&mut fleet.found), seconds_each: stretch })
}

/// The processes. They end when this is dropped.
struct RealFleet {
    gateways: Vec<Process>,
    found: Vec<RealGateway>,
    list: Process,
    _workers: Process,
    /// The list forgets what a connection registered when it ends.
    _registrar: Client,
}

impl RealFleet {
    fn start(inputs: &RealInputs) -> anyhow::Result<Self> {
        let words = |words: &[&str]| words.iter().map(|word| (*word).to_owned()).collect::<Vec<_>>();
        let log = |name: &str| inputs.folder.join(format!("{name}.log"));
        let list = ["list", "--listen", "127.0.0.1:0", "--delay-ms", "0"];
        let list = Process::start(&inputs.exe, &words(&list), &log("list"))?;
        let workers = Process::start(&inputs.exe, &words(&["echo"]), &log("workers"))?;
        let mut registrar = Client::connect(list.main, "registrar")?;
        let scenario = &inputs.scenario;
        let network = Network::new(scenario);
        let worker = |number| {
            let listed = entry(number, network.zone_name(network.zone(number)));
            ListedWorker { address: workers.main.to_string(), ..listed }
        };
        let all = (0..scenario.workers).map(worker).collect();
        registrar.send(&Message::Register { workers: all })?;
        let mut fleet =
            Self { gateways: Vec::new(), found: Vec::new(), list, _workers: workers, _registrar: registrar };
        for number in 0..scenario.real {
            let file = fleet.write_settings(inputs, number, 0)?;
            let args = words(&["--log", "info", "gateway", &file.display().to_string()]);
            let process = Process::start(&inputs.exe, &args, &log(&format!("gateway-{number}")))?;
            fleet.found.push(RealGateway { process: process.id(), ..RealGateway::default() });
            fleet.gateways.push(process);
        }
        fleet.wait_for_list();
        Ok(fleet)
    }

    fn write_settings(&self, inputs: &RealInputs, number: usize, version: usize) -> anyhow::Result<PathBuf> {
        let network = Network::new(&inputs.scenario);
        let zone = network.zone_name(network.zone(number));
        let settings = settings_of(&inputs.settings, number, &zone, inputs.scenario.gateways)?;
        let open_calls = settings.engine.admission.open_calls + version;
        let file = inputs.folder.join(format!("gateway-{number}.star"));
        std::fs::write(&file, script(&settings, self.list.main, open_calls))
            .with_context(|| file.display().to_string())?;
        Ok(file)
    }

    /// Until no gateway has any processor time for a while: the list is in then.
    fn wait_for_list(&mut self) {
        let end = Instant::now() + LISTED_WITHIN;
        let mut before = self.cpu();
        while Instant::now() < end {
            std::thread::sleep(LIST_SETTLES);
            let now = self.cpu();
            let busy = |(now, before): (&f64, &f64)| now - before > LIST_SETTLES.as_secs_f64() / 10.0;
            if !now.iter().zip(&before).any(busy) {
                return;
            }
            before = now;
        }
    }

    /// Seconds of processor time of each gateway; what is gone has none.
    fn cpu(&self) -> Vec<f64> {
        self.gateways.iter().map(|gateway| cpu(gateway.id()).unwrap_or(0.0)).collect()
    }

    /// Writes down which gateways are gone.
    fn look(&mut self) {
        for (gateway, found) in self.gateways.iter_mut().zip(&mut self.found) {
            if found.ended_early.is_none()
                && let Ok(code) = gateway.wait(Duration::ZERO)
            {
                let how = code.map_or("a signal".to_owned(), |code| format!("exit code {code}"));
                found.ended_early = Some(format!("it ended with {how}"));
            }
        }
    }

    fn rest(&mut self, span: Duration) {
        let end = Instant::now() + span;
        while Instant::now() < end {
            self.look();
            std::thread::sleep(LOOK_EVERY.min(end.saturating_duration_since(Instant::now())));
        }
    }

    /// Each gateway gets its part of the fleet's calls for a while.
    fn load(&mut self, inputs: &RealInputs, span: Duration) -> anyhow::Result<()> {
        let class = inputs.settings.engine.dispatcher.classes.first().map_or("", |class| class.name.as_str());
        let mut clients = Vec::new();
        for (number, gateway) in self.gateways.iter().enumerate() {
            let (at, class, mut scenario) = (gateway.main, class.to_owned(), inputs.scenario.clone());
            // One gateway's part, drawn apart from the others'.
            scenario.rate /= scenario.gateways as f64;
            scenario.seed = scenario.seed.wrapping_add(number as u64 + 1);
            clients.push(std::thread::spawn(move || make_calls(at, &class, &scenario, span)));
        }
        self.rest(span);
        for (client, found) in clients.into_iter().zip(&mut self.found) {
            let counts = client.join().map_err(|_| anyhow::anyhow!("a client panicked"))?;
            (found.calls, found.answered, found.served) = (counts.calls, counts.answered, counts.served);
        }
        self.look();
        Ok(())
    }

    fn look_at_memory(&mut self) {
        for (gateway, found) in self.gateways.iter().zip(&mut self.found) {
            found.resident = resident(gateway.id()).unwrap_or(0);
            found.descriptors = descriptors(gateway.id()).unwrap_or(0);
        }
    }

    /// All gateways get new settings at once.
    fn change_settings(&mut self, inputs: &RealInputs) -> anyhow::Result<()> {
        for number in 0..self.gateways.len() {
            self.write_settings(inputs, number, 1)?;
        }
        let logs: Vec<PathBuf> =
            (0..self.gateways.len()).map(|n| inputs.folder.join(format!("gateway-{n}.log"))).collect();
        let mut told = vec![None; self.gateways.len()];
        for (number, gateway) in self.gateways.iter().enumerate() {
            if self.found[number].ended_early.is_none() {
                told[number] = Some(Instant::now());
                // One that has just ended is seen at the next look.
                let _ = gateway.signal("HUP");
            }
        }
        let end = Instant::now() + LAST_WITHIN;
        while Instant::now() < end && told.iter().any(Option::is_some) {
            for (number, log) in logs.iter().enumerate() {
                if let Some(at) = told[number]
                    && in_force(log)
                {
                    self.found[number].settings_ms = Some(at.elapsed().as_secs_f64() * 1e3);
                    told[number] = None;
                }
            }
            self.look();
            told.iter_mut().zip(&self.found).for_each(|(told, found)| {
                if found.ended_early.is_some() {
                    *told = None;
                }
            });
            std::thread::sleep(Duration::from_millis(1));
        }
        Ok(())
    }
}

/// Whether a gateway's log says that new settings are in force.
fn in_force(log: &Path) -> bool {
    std::fs::read_to_string(log).is_ok_and(|text| text.contains("new settings are in force"))
}

#[derive(Default)]
struct CallCounts {
    calls: u64,
    answered: u64,
    served: u64,
}

/// Makes calls until the span is over, then waits for the last answers. A connection that breaks ends it.
fn make_calls(to: SocketAddr, class: &str, scenario: &ScaleScenario, span: Duration) -> CallCounts {
    let mut counts = CallCounts::default();
    let Ok(mut client) = Client::connect(to, "scale") else { return counts };
    let mut draws = Calls::new(scenario);
    let start = Instant::now();
    let mut next = Duration::from_micros(draws.gap());
    loop {
        let now = start.elapsed();
        while next <= now && next < span {
            let message = message(counts.calls + 1, draws.function(), class, scenario);
            if client.send(&message).is_err() {
                return counts;
            }
            counts.calls += 1;
            next += Duration::from_micros(draws.gap());
        }
        let is_over = now >= span;
        if (is_over && counts.answered == counts.calls) || now > span + LAST_WITHIN {
            return counts;
        }
        let wait = if is_over { LOOK_EVERY } else { next.saturating_sub(now).min(LOOK_EVERY) };
        match client.receive_within(wait.max(Duration::from_millis(1))) {
            Ok(Message::Answer { status, .. }) => {
                counts.answered += 1;
                counts.served += u64::from(status == Status::Served);
            }
            Ok(_) => {}
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return counts,
        }
    }
}

fn message(number: u64, function: usize, class: &str, scenario: &ScaleScenario) -> Message {
    let call = call(function_name(function), class.to_owned(), scenario);
    Message::Call {
        number,
        deferred: false,
        function: call.function,
        class: call.class,
        tenant: String::new(),
        key: String::new(),
        trace: String::new(),
        time_left: 0,
        shape: call.shape,
        body: call.body,
        account: None,
    }
}

/// Seconds of processor time that a process's threads have had.
fn cpu(process: u32) -> anyhow::Result<f64> {
    let mut nanos = 0.0;
    for thread in std::fs::read_dir(format!("/proc/{process}/task"))? {
        let text = std::fs::read_to_string(thread?.path().join("schedstat"))?;
        nanos += text.split_whitespace().next().context("schedstat")?.parse::<f64>()?;
    }
    Ok(nanos / 1e9)
}

fn resident(process: u32) -> anyhow::Result<u64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).context("VmRSS")?;
    Ok(line.split_whitespace().next().context("VmRSS")?.parse::<u64>()? * 1024)
}

fn descriptors(process: u32) -> anyhow::Result<u64> {
    Ok(std::fs::read_dir(format!("/proc/{process}/fd"))?.count() as u64)
}
