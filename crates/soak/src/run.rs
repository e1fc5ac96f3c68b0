//! A run: the stand-ins, the processes and their faults, and the verdict.

use std::fmt;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cresswheel_protocol::Micros;
use cresswheel_transport::Clock;

use crate::clients::Clients;
use crate::crowd::Crowd;
use crate::directory::{Directory, silences};
use crate::flood::{Flood, FloodPlan};
use crate::gateways::Process;
use crate::hosts::Place;
use crate::judge::{Break, judge};
use crate::plan::{self, Fault, Planned, PlannedFlood, Size};
use crate::records::{Book, Dealt, End, Records};
use crate::roster::Roster;

const MS: Micros = 1_000;
/// After the last request its clients wait for the answer, and a little more.
const SETTLES: Micros = crate::LONGEST_WAIT + 1_500 * MS;
/// How often the soak looks at its own lateness.
const HEARTBEAT: Duration = Duration::from_millis(5);

/// What is to be run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program `cresswheel`.
    pub program: PathBuf,
    /// What its gateways log.
    pub log: String,
    /// Where configurations and logs are kept; a folder that goes with the run if there is none.
    pub folder: Option<PathBuf>,
    /// Draws the faults, and all else that is drawn.
    pub seed: u64,
    /// How large, and how long clients ask.
    pub size: Size,
    /// The mean pause between two requests to a gateway.
    pub pause: Micros,
    /// Whether other clients send at full speed, in windows.
    pub floods: bool,
    /// Whether all gateways share one core, so that a flood outpaces them.
    pub one_core: bool,
}

/// A gateway as the stand-ins see it now.
#[derive(Clone, Copy, Debug, Default)]
pub struct GatewayNow {
    /// Which start of it.
    pub life: usize,
    /// The last event in its configuration.
    pub knows: usize,
    /// Which of its two directories answers.
    pub side: usize,
    /// Where it takes new connections, if it does.
    pub takes: Option<SocketAddr>,
    /// Its process is there: open connections are used on.
    pub is_up: bool,
    /// Old lists that its directory gave in a row, latest.
    pub stale_in_a_row: u32,
}

/// What all threads share.
pub struct World {
    pub options: Options,
    pub clock: Clock,
    /// When the run began.
    pub start: Micros,
    /// Clients ask until then.
    pub end: Micros,
    pub book: Book,
    pub roster: Roster,
    gateways: Mutex<Vec<GatewayNow>>,
    quiet: AtomicBool,
    over: AtomicBool,
}

impl World {
    /// The processes are to be ended.
    pub fn is_quiet(&self) -> bool {
        self.quiet.load(Ordering::SeqCst)
    }

    /// The stand-ins are to end.
    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    pub fn gateway(&self, number: usize) -> GatewayNow {
        self.gateways.lock().unwrap_or_else(PoisonError::into_inner)[number]
    }

    pub fn change(&self, number: usize, change: impl FnOnce(&mut GatewayNow)) {
        change(&mut self.gateways.lock().unwrap_or_else(PoisonError::into_inner)[number]);
    }
}

/// What a run came to.
#[derive(Clone, Debug)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Faults that were played.
    pub faults: Vec<Planned>,
    /// Floods that were played.
    pub floods: Vec<PlannedFlood>,
    /// What passed.
    pub records: Records,
    /// What broke.
    pub breaks: Vec<Break>,
    /// When it began.
    pub start: Micros,
}

impl Report {
    /// No rule broke, and the stand-ins understood all they were sent.
    pub fn held(&self) -> bool {
        self.breaks.is_empty() && self.records.faults.is_empty()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let requests = self.records.requests.values();
        let code = |wanted: u8| {
            let is = move |end: &Option<(Micros, End)>| matches!(end, Some((_, End::Answered(code))) if *code == wanted);
            requests.clone().filter(|request| is(&request.end)).count()
        };
        let ran = self.records.arrivals.iter().filter(|arrival| arrival.dealt == Dealt::Ran).count();
        let late = self.records.lateness.values().max().copied().unwrap_or(0);
        writeln!(
            f,
            "seed {}: {} faults, {} floods of {} MB; {} requests: {} served, {} refused, {} failed; {} arrivals, {ran} of them ran; {} starts; \
             the soak's own threads late by {} ms at most, its clients' writes by {}",
            self.seed,
            self.faults.len(),
            self.floods.len(),
            self.records.flooded >> 20,
            self.records.requests.len(),
            code(0),
            code(8),
            code(13),
            self.records.arrivals.len(),
            self.records.lives.iter().map(Vec::len).sum::<usize>(),
            late / MS,
            self.records.wrote_late / MS
        )?;
        for found in &self.breaks {
            let at = found.at.saturating_sub(self.start) / MS;
            writeln!(f, "  broken: {:?} at {at} ms: {}", found.rule, found.what)?;
        }
        self.records.faults.iter().try_for_each(|fault| writeln!(f, "  stand-in: {fault}"))?;
        write!(f, "  {}", if self.held() { "held" } else { "broken" })
    }
}

/// Runs it.
pub fn run(options: Options) -> anyhow::Result<Report> {
    let gone = tempfile::tempdir()?;
    let folder = options.folder.clone().unwrap_or_else(|| gone.path().to_path_buf());
    std::fs::create_dir_all(&folder)?;
    let clock = Clock::default();
    let (size, start) = (options.size, clock.now());
    let faults = plan::draw(options.seed, size);
    let floods = if options.floods { plan::draw_floods(options.seed, size) } else { Vec::new() };
    std::fs::write(folder.join("plan"), plan_text(&faults, &floods))?;
    let world = Arc::new(World {
        clock,
        start,
        end: start + size.lasts,
        book: Book::new(size.gateways),
        roster: Roster::default(),
        gateways: Mutex::new(vec![GatewayNow::default(); size.gateways]),
        quiet: AtomicBool::new(false),
        over: AtomicBool::new(false),
        options,
    });
    let mut threads = begin_hosts(&world, &faults);
    // Gateways are told of all hosts.
    while world.roster.events().0.len() < size.hosts && world.clock.now() < world.end {
        std::thread::sleep(HEARTBEAT);
    }
    let mut processes = Vec::new();
    for gateway in 0..size.gateways {
        let folder = folder.join(format!("n{gateway}"));
        std::fs::create_dir_all(&folder)?;
        let (addresses, directories) = begin_directories(&world, gateway, &faults)?;
        threads.extend(directories);
        let process = Process::new(world.clone(), gateway, folder, addresses)?;
        let plan = of_process(&faults, gateway);
        processes.push(begin(&world, "process", move || process.play(&plan)));
        let of_clients = world.clone();
        threads.push(begin(&world, "clients", move || Clients::new(of_clients, gateway)?.play()));
        if plan::has_crowd(world.options.seed) {
            let of_crowd = world.clone();
            threads.push(begin(&world, "crowd", move || Crowd::new(of_crowd, gateway)?.play()));
        }
    }
    let (of_floods, planned) = (world.clone(), floods.clone());
    threads.push(begin(&world, "floods", move || {
        play_floods(&of_floods, &planned);
        Ok(())
    }));
    let heartbeat = world.clone();
    threads.push(begin(&world, "heartbeat", move || {
        beat(&heartbeat);
        Ok(())
    }));
    while world.clock.now() < world.end + SETTLES {
        std::thread::sleep(HEARTBEAT);
    }
    world.quiet.store(true, Ordering::SeqCst);
    processes.into_iter().for_each(|thread| _ = thread.join());
    world.over.store(true, Ordering::SeqCst);
    threads.into_iter().for_each(|thread| _ = thread.join());
    let own_word = own_word(&folder, size.gateways)?;
    let mut records = world.book.write(std::mem::take);
    records.own_word = own_word;
    let breaks = judge(&records, &world.roster.events());
    Ok(Report { seed: world.options.seed, faults, floods, records, breaks, start })
}

fn plan_text(faults: &[Planned], floods: &[PlannedFlood]) -> String {
    let faults = faults.iter().map(|planned| format!("{:>7} ms  {:?}\n", planned.at / MS, planned.fault));
    let floods = floods.iter().map(|planned| format!("{:>7} ms  {planned:?}\n", planned.at / MS));
    faults.chain(floods).collect()
}

/// Plays the floods, each before the address at which its gateway takes connections when it begins.
fn play_floods(world: &World, floods: &[PlannedFlood]) {
    for planned in floods {
        let (begins, ends) = (world.start + planned.at, world.start + planned.at + planned.lasts);
        sleep_until(world, begins);
        let Some(address) = world.gateway(planned.gateway).takes else { continue };
        let plan = FloodPlan {
            kind: planned.kind,
            connections: planned.connections,
            gateway: planned.gateway,
            class: "check".into(),
            pause: Duration::from_micros(planned.pause),
        };
        let flood = Flood::start(address, &plan);
        sleep_until(world, ends.min(world.end));
        let counts = flood.stop();
        world.book.write(|records| records.flooded += counts.written);
    }
}

fn sleep_until(world: &World, at: Micros) {
    while world.clock.now() < at && !world.is_over() {
        std::thread::sleep(HEARTBEAT);
    }
}

type Thread = std::thread::JoinHandle<()>;

/// A thread whose failure is a fault of the run.
fn begin(
    world: &Arc<World>,
    what: &'static str,
    play: impl FnOnce() -> anyhow::Result<()> + Send + 'static,
) -> Thread {
    let world = world.clone();
    std::thread::spawn(move || {
        if let Err(error) = play() {
            world.book.write(|records| records.faults.push(format!("{what}: {error:#}")));
        }
    })
}

fn begin_hosts(world: &Arc<World>, faults: &[Planned]) -> Vec<Thread> {
    let mut threads = Vec::new();
    for number in 0..world.options.size.hosts {
        let of_host = world.clone();
        let of = |planned: &Planned| match planned.fault {
            Fault::Host(host, fault) if host == number => Some((*planned, fault)),
            _ => None,
        };
        let plan: Vec<_> = faults.iter().filter_map(of).collect();
        threads.push(begin(world, "host", move || Place::new(of_host, number)?.play(&plan)));
    }
    threads
}

fn begin_directories(
    world: &Arc<World>,
    gateway: usize,
    faults: &[Planned],
) -> anyhow::Result<([SocketAddr; 2], Vec<Thread>)> {
    let of = |planned: &Planned| match planned.fault {
        Fault::Directory(of, fault, span) if of == gateway => Some((*planned, fault, span)),
        _ => None,
    };
    let plan: Vec<_> = faults.iter().filter_map(of).collect();
    let silent = silences(world.start, &plan);
    world.book.write(|records| records.silences[gateway] = silent);
    let sockets = [UdpSocket::bind("127.0.0.1:0")?, UdpSocket::bind("127.0.0.1:0")?];
    let addresses = [sockets[0].local_addr()?, sockets[1].local_addr()?];
    let mut threads = Vec::new();
    for (side, socket) in sockets.into_iter().enumerate() {
        let directory = Directory::new(world.clone(), gateway, side, socket)?;
        let plan = plan.clone();
        threads.push(begin(world, "directory", move || {
            directory.play(&plan);
            Ok(())
        }));
    }
    Ok((addresses, threads))
}

fn of_process(faults: &[Planned], gateway: usize) -> Vec<(Planned, plan::ProcessFault)> {
    let of = |planned: &Planned| match planned.fault {
        Fault::Process(of, fault) if of == gateway => Some((*planned, fault)),
        _ => None,
    };
    faults.iter().filter_map(of).collect()
}

/// Notes how late this thread is woken: the others are as late.
fn beat(world: &World) {
    while !world.is_over() {
        let due = world.clock.now() + HEARTBEAT.as_micros() as Micros;
        std::thread::sleep(HEARTBEAT);
        let now = world.clock.now();
        let late = now.saturating_sub(due);
        world.book.write(|records| {
            let worst = records.lateness.entry(now / (100 * MS)).or_insert(0);
            *worst = late.max(*worst);
        });
    }
}

/// What the gateways say themselves of rules that they broke.
fn own_word(folder: &std::path::Path, gateways: usize) -> anyhow::Result<Vec<String>> {
    let mut found = Vec::new();
    for gateway in 0..gateways {
        let log = std::fs::read_to_string(folder.join(format!("n{gateway}")).join("log"))?;
        let tells = |line: &&str| line.contains("against a rule") || line.contains("panicked");
        found.extend(log.lines().filter(tells).map(|line| format!("gateway {gateway}: {line}")));
    }
    Ok(found)
}
