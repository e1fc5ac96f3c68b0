//! What a gateway costs: the time that it adds, the calls that one core carries, memory of an open call. Each
//! figure stands beside that of a bare relay of the same frames and of no gateway at all, in the same run.
//!
//! Arrivals are open-loop: a call's time runs from when it was due, so that a slow answer does not hide the
//! waiting of those behind it.

use std::collections::HashMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;

use cresswheel_protocol::{Ending, Message, Micros, Role, Shape, Status};
use cresswheel_transport::{Connection, Hub, HubLimits, Notice, Wire};
use hdrhistogram::Histogram;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;

use crate::fleet::Process;
use crate::process_usage::{cpu_us, resident_bytes};
use crate::split;

/// What is measured.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Seconds of each stretch.
    pub seconds: u64,
    /// Stretches of each kind, in turn; the medians count.
    pub rounds: usize,
    /// Client connections.
    pub connections: usize,
    /// Calls out at once on each connection, where as many as possible are carried.
    pub window: usize,
    /// Bytes of a call's body.
    pub body: usize,
    /// Calls open at once for the memory of one.
    pub open: usize,
}

/// Workers that the gateway knows; all are one process that answers at once.
const WORKERS: usize = 4;
const FUNCTIONS: u64 = 16;

/// Whom the clients call.
#[derive(Clone, Copy)]
enum Target {
    /// A gateway or a relay.
    Gateway(SocketAddr),
    /// A worker.
    Worker(SocketAddr),
}

enum Pace {
    /// As many as come back.
    Closed(usize),
    /// So many a second, at Poisson times.
    Open(f64),
}

struct Stretch {
    /// Calls answered within the stretch.
    answered: u64,
    /// Those among them that were served.
    served: u64,
    took: Micros,
    times: Histogram<u64>,
}

impl Stretch {
    fn rate(&self) -> f64 {
        self.answered as f64 / (self.took as f64 / 1e6)
    }

    fn quantile(&self, q: f64) -> f64 {
        self.times.value_at_quantile(q) as f64
    }
}

struct Clients {
    hub: Hub,
    doors: Vec<Connection>,
    worker: bool,
    due: HashMap<u64, Micros>,
    next: u64,
    rng: Pcg32,
    body: Vec<u8>,
}

impl Clients {
    fn new(settings: &LoadSettings, target: Target) -> anyhow::Result<Self> {
        let mut hub = Hub::new(HubLimits::default())?;
        let (at, role) = match target {
            Target::Gateway(at) => (at, Role::Client),
            Target::Worker(at) => (at, Role::Gateway),
        };
        let mut doors = Vec::new();
        for _ in 0..settings.connections {
            let connection = hub.connect(at, Wire::Frames, 2_000_000);
            hub.send(connection, &Message::Hello { role, name: "load".into(), zone: String::new() }, None);
            doors.push(connection);
        }
        Ok(Self {
            hub,
            doors,
            worker: role == Role::Gateway,
            due: HashMap::new(),
            next: 0,
            rng: Pcg32::new(7, 0x10ad),
            body: vec![b'x'; settings.body],
        })
    }

    fn ask(&mut self, due: Micros) {
        self.next += 1;
        let number = self.next;
        let (function, class) = (format!("f{}", number % FUNCTIONS), "check".to_owned());
        let (key, trace, body) = (String::new(), String::new(), self.body.clone());
        let shape = Shape { memory_mb: 10, lanes: 100_000, load_time: 0, work: 0 };
        let time_left = 10_000_000;
        let message = if self.worker {
            let attempt = number;
            Message::Run { attempt, trace, before: 0, function, class, key, time_left, shape, body }
        } else {
            let (deferred, tenant, account) = (false, String::new(), None);
            Message::Call {
                number,
                deferred,
                function,
                class,
                tenant,
                key,
                trace,
                time_left,
                shape,
                body,
                account,
            }
        };
        self.due.insert(number, due);
        let door = self.doors[number as usize % self.doors.len()];
        self.hub.send(door, &message, None);
    }

    /// Calls for so many seconds and waits for what is out.
    fn stretch(&mut self, pace: &Pace, seconds: f64) -> anyhow::Result<Stretch> {
        let mut times = Histogram::new_with_bounds(1, 60_000_000, 3)?;
        let (mut answered, mut served) = (0, 0);
        let start = self.hub.clock().now();
        let end = start + (seconds * 1e6) as Micros;
        let mut arrival = start;
        if let Pace::Closed(window) = pace {
            (0..window * self.doors.len()).for_each(|_| self.ask(start));
        }
        loop {
            let now = self.hub.clock().now();
            let mut until = None;
            if let Pace::Open(rate) = pace {
                while arrival <= now && arrival < end {
                    self.ask(arrival);
                    let lot = (f64::from(self.rng.next_u32()) + 1.0) / (f64::from(u32::MAX) + 2.0);
                    arrival += (-lot.ln() / rate * 1e6) as Micros;
                }
                until = (arrival < end).then_some(arrival);
            }
            if now >= end && self.due.is_empty() {
                break;
            }
            anyhow::ensure!(now < end + 20_000_000, "{} calls were never answered", self.due.len());
            self.hub.wait(Some(until.unwrap_or(now + 100_000)))?;
            while let Some(notice) = self.hub.take_notice() {
                let (number, ok) = match notice {
                    Notice::Message(_, Message::Answer { number, status, .. }) => {
                        (number, status == Status::Served)
                    }
                    Notice::Message(_, Message::Ran { attempt, ending, .. }) => {
                        (attempt, ending == Ending::Ok)
                    }
                    Notice::Closed { why, .. } => anyhow::bail!("a connection ended: {why}"),
                    _ => continue,
                };
                let Some(due) = self.due.remove(&number) else { continue };
                let now = self.hub.clock().now();
                times.record(now.saturating_sub(due).max(1))?;
                if now < end {
                    answered += 1;
                    served += u64::from(ok);
                    if matches!(pace, Pace::Closed(_)) {
                        self.ask(now);
                    }
                }
            }
        }
        Ok(Stretch { answered, served, took: end - start, times })
    }
}

fn median(values: &[f64]) -> f64 {
    let mut values = values.to_vec();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

struct Bed {
    echo: Process,
    relay: Process,
    gateway: Process,
}

impl Bed {
    fn start(exe: &Path, folder: &Path, silent: bool) -> anyhow::Result<Self> {
        let start = |args: &[&str], log: &str| {
            let args: Vec<String> = args.iter().map(|a| (*a).to_owned()).collect();
            Process::start(exe, &args, &folder.join(log))
        };
        let any = "127.0.0.1:0";
        let mut echo = vec!["echo", "--listen", any];
        echo.extend(silent.then_some("--silent"));
        let echo = start(&echo, "echo.log")?;
        let to = echo.main.to_string();
        let relay = start(&["relay", "--listen", any, "--to", &to], "relay.log")?;
        let mut script = "gateway(name = \"load\", listen = \"127.0.0.1:0\", most_time = s(60))\n\
            call_class(name = \"check\", aim = ms(600), give_up = s(10), effect = \"safe\")\n\
            fleet(when_absent = \"load\", keep_alive = s(60))\n\
            limits(open_calls = 1000000, calls_per_connection = 1000000, worker_streams = 100000, \
            open_bytes = mb(1024))\n"
            .to_owned();
        for n in 0..WORKERS {
            writeln!(script, "worker(id = \"w{n}\", address = {to:?})")?;
        }
        let file = folder.join("load.star");
        std::fs::write(&file, script)?;
        let file = file.display().to_string();
        let gateway = start(&["--log", "warn", "gateway", &file], "gateway.log")?;
        Ok(Self { echo, relay, gateway })
    }
}

/// Measures, and gives the report as text.
pub fn load(
    exe: &Path,
    folder: &Path,
    settings: &LoadSettings,
    progress: &mut dyn FnMut(&str),
) -> anyhow::Result<String> {
    std::fs::create_dir_all(folder)?;
    let bed = Bed::start(exe, folder, false)?;
    let mut report = String::new();
    let seconds = settings.seconds as f64;
    let (relay, gateway) = (Target::Gateway(bed.relay.main), Target::Gateway(bed.gateway.main));

    writeln!(
        report,
        "As many calls as come back on {} connections, one core for each process:",
        settings.connections
    )?;
    writeln!(
        report,
        "{:>20}{:>14}{:>16}{:>14}{:>10}{:>16}{:>18}",
        "out on each",
        "relay calls/s",
        "gateway calls/s",
        "ratio",
        "rounds",
        "relay CPU us",
        "gateway CPU us"
    )?;
    let (mut top, mut cost) = (0.0, 0.0);
    for window in [1, 4, settings.window] {
        progress(&format!("as many calls as come back, {window} out on each connection"));
        let (mut rates, mut costs) = ([Vec::new(), Vec::new()], [Vec::new(), Vec::new()]);
        let mut ratios = Vec::new();
        for round in 0..=settings.rounds {
            for (n, (target, process)) in
                [(relay, &bed.relay), (gateway, &bed.gateway)].into_iter().enumerate()
            {
                let mut clients = Clients::new(settings, target)?;
                let before = cpu_us(process.id())?;
                let stretch = clients.stretch(&Pace::Closed(window), seconds)?;
                let cost = (cpu_us(process.id())? - before) / stretch.times.len() as f64;
                let lost = stretch.answered - stretch.served;
                anyhow::ensure!(lost == 0, "{lost} calls were not served");
                // The first round warms all up.
                if round > 0 {
                    rates[n].push(stretch.rate());
                    costs[n].push(cost);
                }
            }
            if round > 0 {
                ratios.push(rates[1][round - 1] / rates[0][round - 1]);
            }
        }
        let least = ratios.iter().copied().fold(f64::INFINITY, f64::min);
        let most = ratios.iter().copied().fold(0.0, f64::max);
        writeln!(
            report,
            "{window:20}{:14.0}{:16.0}{:14.2}{:>10}{:16.2}{:18.2}",
            median(&rates[0]),
            median(&rates[1]),
            median(&ratios),
            format!("{least:.2}-{most:.2}"),
            median(&costs[0]),
            median(&costs[1]),
        )?;
        (top, cost) = (median(&rates[1]), median(&costs[1]));
    }

    progress("half of the gateway's most, at Poisson times: no gateway, relay, gateway");
    let half = top / 2.0;
    writeln!(report, "\nOpen-loop arrivals at {half:.0} calls/s, half of the gateway's most, in us:")?;
    writeln!(report, "{:10}{:>9}{:>9}{:>9}{:>9}", "", "p50", "p99", "p99.9", "max")?;
    let direct = Target::Worker(bed.echo.main);
    let targets = [("direct", direct), ("relay", relay), ("gateway", gateway)];
    let mut found = vec![[Vec::new(), Vec::new(), Vec::new(), Vec::new()]; targets.len()];
    for _ in 0..settings.rounds {
        for (n, (_, target)) in targets.iter().enumerate() {
            let mut clients = Clients::new(settings, *target)?;
            clients.stretch(&Pace::Open(half), 0.5)?;
            let stretch = clients.stretch(&Pace::Open(half), seconds)?;
            let quantiles = [stretch.quantile(0.5), stretch.quantile(0.99), stretch.quantile(0.999)];
            for (at, value) in quantiles.into_iter().chain([stretch.times.max() as f64]).enumerate() {
                found[n][at].push(value);
            }
        }
    }
    for (n, (name, _)) in targets.iter().enumerate() {
        write!(report, "{name:10}")?;
        for values in &found[n] {
            write!(report, "{:9.0}", median(values))?;
        }
        writeln!(report)?;
    }
    for (n, name) in [(1, "relay"), (2, "gateway")] {
        write!(report, "{:10}", format!("+{name}"))?;
        for (with, without) in found[n].iter().zip(&found[0]).take(3) {
            let rounds = with.iter().zip(without).map(|(with, without)| with - without);
            write!(report, "{:9.0}", median(&rounds.collect::<Vec<_>>()))?;
        }
        writeln!(report, "   added over direct, median of the rounds")?;
    }

    progress("where the CPU of a call goes");
    let parts = split::measure(settings.body);
    let window = settings.window;
    writeln!(report, "\nCPU of a call at the gateway, {window} out on each connection, us")?;
    writeln!(report, "(module, engine and codec measured alone in this process):")?;
    let named = [("module", parts.module), ("engine", parts.engine), ("codec", parts.codec)];
    let rest = cost - named.iter().map(|(_, us)| us).sum::<f64>();
    for (name, us) in named.into_iter().chain([("sockets and shell", rest), ("all", cost)]) {
        writeln!(report, "{name:20}{us:8.2}")?;
    }
    drop(bed);

    progress("memory of an open call");
    let bed = Bed::start(exe, folder, true)?;
    let mut clients = Clients::new(settings, Target::Gateway(bed.gateway.main))?;
    let wait = |clients: &mut Clients, ms: u64| -> anyhow::Result<()> {
        let until = clients.hub.clock().now() + ms * 1_000;
        while clients.hub.clock().now() < until {
            clients.hub.wait(Some(until))?;
            while clients.hub.take_notice().is_some() {}
        }
        Ok(())
    };
    // What the first calls make it allocate for good is not an open call's.
    (0..settings.open / 10).for_each(|_| clients.ask(0));
    wait(&mut clients, 800)?;
    let before = resident_bytes(bed.gateway.id())?;
    (0..settings.open).for_each(|_| clients.ask(0));
    wait(&mut clients, 1_500)?;
    let each = (resident_bytes(bed.gateway.id())? - before) / settings.open as f64;
    writeln!(
        report,
        "\nMemory of an open call: {each:.0} bytes ({} open, bodies of {} bytes)",
        settings.open, settings.body
    )?;
    Ok(report)
}
