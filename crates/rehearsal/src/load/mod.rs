//! What a gateway costs: the time that it adds, the calls that one core carries, memory of an open call. Each
//! figure stands beside that of a bare relay of the same frames and of no gateway at all, in the same run.
//!
//! Arrivals are open-loop: a call's time runs from when it was due, so that a slow answer does not hide the
//! waiting of those behind it.

mod clients;
mod test_bed;

use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

use crate::process_usage::{cpu_us, resident_bytes};
use crate::split;
use clients::{Arrivals, Clients, Target};
use test_bed::TestBed;

/// What is measured.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Seconds of each measurement.
    pub seconds: u64,
    /// Measurements of each kind, in turn; the medians count.
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

/// Seconds that warm up a target before open-loop calls are measured.
const WARM_UP_S: f64 = 0.5;
/// What the first calls make a gateway allocate is allocated after this.
const SETTLE_FIRST: Duration = Duration::from_millis(800);
/// All open calls have arrived after this.
const SETTLE_OPEN: Duration = Duration::from_millis(1_500);

/// Measures, and gives the report as text.
pub fn load(
    exe: &Path,
    folder: &Path,
    settings: &LoadSettings,
    progress: &mut dyn FnMut(&str),
) -> anyhow::Result<String> {
    std::fs::create_dir_all(folder)?;
    let mut report = String::new();
    let bed = TestBed::start(exe, folder, false)?;
    let most = measure_rates(&bed, settings, &mut report, progress)?;
    progress("half of the gateway's most, at Poisson times: no gateway, relay, gateway");
    measure_times(&bed, settings, most.calls_per_s / 2.0, &mut report)?;
    progress("where the CPU of a call goes");
    split_cpu(settings, most.cpu_us, &mut report)?;
    drop(bed);
    progress("memory of an open call");
    measure_memory(&TestBed::start(exe, folder, true)?, settings, &mut report)?;
    Ok(report)
}

/// What a gateway does at its most.
struct Most {
    calls_per_s: f64,
    /// CPU of a call, in microseconds.
    cpu_us: f64,
}

/// Rates and CPU of relay and gateway with one number of calls out on each connection, by round.
#[derive(Default)]
struct Rates {
    relay: Vec<f64>,
    gateway: Vec<f64>,
    relay_cpu_us: Vec<f64>,
    gateway_cpu_us: Vec<f64>,
}

/// Closed-loop calls with growing numbers out on each connection; gives the last figures of the gateway.
fn measure_rates(
    bed: &TestBed,
    settings: &LoadSettings,
    report: &mut String,
    progress: &mut dyn FnMut(&str),
) -> anyhow::Result<Most> {
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
    let mut most = Most { calls_per_s: 0.0, cpu_us: 0.0 };
    for window in [1, 4, settings.window] {
        progress(&format!("as many calls as come back, {window} out on each connection"));
        let rates = rates(bed, settings, window)?;
        write_rates(report, window, &rates)?;
        most = Most { calls_per_s: median(&rates.gateway), cpu_us: median(&rates.gateway_cpu_us) };
    }
    Ok(most)
}

fn rates(bed: &TestBed, settings: &LoadSettings, window: usize) -> anyhow::Result<Rates> {
    let mut rates = Rates::default();
    for round in 0..=settings.rounds {
        let relay = closed_loop(settings, Target::Gateway(bed.relay.main), bed.relay.id(), window)?;
        let gateway = closed_loop(settings, Target::Gateway(bed.gateway.main), bed.gateway.id(), window)?;
        // The first round warms all up.
        if round > 0 {
            rates.relay.push(relay.calls_per_s);
            rates.relay_cpu_us.push(relay.cpu_us);
            rates.gateway.push(gateway.calls_per_s);
            rates.gateway_cpu_us.push(gateway.cpu_us);
        }
    }
    Ok(rates)
}

fn closed_loop(settings: &LoadSettings, target: Target, process: u32, window: usize) -> anyhow::Result<Most> {
    let mut clients = Clients::new(settings, target)?;
    let before = cpu_us(process)?;
    let measured = clients.measure(&Arrivals::ClosedLoop { window }, settings.seconds as f64)?;
    let cpu_us = (cpu_us(process)? - before) / measured.times.len() as f64;
    let lost = measured.answered - measured.served;
    anyhow::ensure!(lost == 0, "{lost} calls were not served");
    Ok(Most { calls_per_s: measured.rate(), cpu_us })
}

fn write_rates(report: &mut String, window: usize, rates: &Rates) -> std::fmt::Result {
    let ratios: Vec<f64> =
        rates.gateway.iter().zip(&rates.relay).map(|(gateway, relay)| gateway / relay).collect();
    let least = ratios.iter().copied().fold(f64::INFINITY, f64::min);
    let most = ratios.iter().copied().fold(0.0, f64::max);
    writeln!(
        report,
        "{window:20}{:14.0}{:16.0}{:14.2}{:>10}{:16.2}{:18.2}",
        median(&rates.relay),
        median(&rates.gateway),
        median(&ratios),
        format!("{least:.2}-{most:.2}"),
        median(&rates.relay_cpu_us),
        median(&rates.gateway_cpu_us),
    )
}

/// The times of one target: p50, p99, p99.9 and the longest, each by round.
#[derive(Default)]
struct Times([Vec<f64>; 4]);

/// Open-loop calls at a rate, to the worker itself, through the relay, and through the gateway.
fn measure_times(
    bed: &TestBed,
    settings: &LoadSettings,
    rate: f64,
    report: &mut String,
) -> anyhow::Result<()> {
    writeln!(report, "\nOpen-loop arrivals at {rate:.0} calls/s, half of the gateway's most, in us:")?;
    writeln!(report, "{:10}{:>9}{:>9}{:>9}{:>9}", "", "p50", "p99", "p99.9", "max")?;
    let targets = [
        ("direct", Target::Worker(bed.echo.main)),
        ("relay", Target::Gateway(bed.relay.main)),
        ("gateway", Target::Gateway(bed.gateway.main)),
    ];
    let mut found: [Times; 3] = Default::default();
    for _ in 0..settings.rounds {
        for ((_, target), times) in targets.iter().zip(&mut found) {
            let quantiles = open_loop(settings, *target, rate)?;
            times.0.iter_mut().zip(quantiles).for_each(|(values, value)| values.push(value));
        }
    }
    for ((name, _), times) in targets.iter().zip(&found) {
        write!(report, "{name:10}")?;
        times.0.iter().try_for_each(|values| write!(report, "{:9.0}", median(values)))?;
        writeln!(report)?;
    }
    let [direct, relay, gateway] = &found;
    write_added(report, "+relay", relay, direct)?;
    write_added(report, "+gateway", gateway, direct)?;
    Ok(())
}

fn open_loop(settings: &LoadSettings, target: Target, rate: f64) -> anyhow::Result<[f64; 4]> {
    let mut clients = Clients::new(settings, target)?;
    let arrivals = Arrivals::OpenLoop { rate };
    clients.measure(&arrivals, WARM_UP_S)?;
    let measured = clients.measure(&arrivals, settings.seconds as f64)?;
    let [p50, p99, p999] = [0.5, 0.99, 0.999].map(|quantile| measured.quantile(quantile));
    Ok([p50, p99, p999, measured.times.max() as f64])
}

fn write_added(report: &mut String, name: &str, with: &Times, without: &Times) -> std::fmt::Result {
    write!(report, "{name:10}")?;
    for (with, without) in with.0.iter().zip(&without.0).take(3) {
        let rounds: Vec<f64> = with.iter().zip(without).map(|(with, without)| with - without).collect();
        write!(report, "{:9.0}", median(&rounds))?;
    }
    writeln!(report, "   added over direct, median of the rounds")
}

/// The parts of a call's CPU at the gateway.
fn split_cpu(settings: &LoadSettings, all: f64, report: &mut String) -> std::fmt::Result {
    let parts = split::measure(settings.body);
    let window = settings.window;
    writeln!(report, "\nCPU of a call at the gateway, {window} out on each connection, us")?;
    writeln!(report, "(module, engine and codec measured alone in this process):")?;
    let sockets = all - (parts.module + parts.engine + parts.codec);
    let rows = [
        ("module", parts.module),
        ("engine", parts.engine),
        ("codec", parts.codec),
        ("sockets and shell", sockets),
        ("all", all),
    ];
    rows.iter().try_for_each(|(name, us)| writeln!(report, "{name:20}{us:8.2}"))
}

/// Memory that each call takes at a gateway whose worker does not answer.
fn measure_memory(bed: &TestBed, settings: &LoadSettings, report: &mut String) -> anyhow::Result<()> {
    let mut clients = Clients::new(settings, Target::Gateway(bed.gateway.main))?;
    // What the first calls make it allocate for good is not an open call's.
    clients.send_calls(settings.open / 10);
    clients.wait(SETTLE_FIRST)?;
    let before = resident_bytes(bed.gateway.id())?;
    clients.send_calls(settings.open);
    clients.wait(SETTLE_OPEN)?;
    let each = (resident_bytes(bed.gateway.id())? - before) / settings.open as f64;
    writeln!(
        report,
        "\nMemory of an open call: {each:.0} bytes ({} open, bodies of {} bytes)",
        settings.open, settings.body
    )?;
    Ok(())
}

fn median(values: &[f64]) -> f64 {
    let mut values = values.to_vec();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}
