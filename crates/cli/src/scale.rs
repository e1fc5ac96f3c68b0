//! `cresswheel scale`.

use std::io::Read;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode, Stdio};
use std::thread::JoinHandle;

use anyhow::Context;
use clap::{Args, ValueEnum};
use cresswheel_gateway::GatewaySettings;
use cresswheel_scale::real::{self, RealInputs, RealReport};
use cresswheel_scale::{
    BadQuantity, Estimate, Inputs, Report, Sweep, SweepReport, plan, run as run_scenario, set_all,
};
use cresswheel_settings::ScaleScenario;

/// Flags that set quantities; absent: what the scenario says.
#[derive(Args)]
pub struct QuantityArgs {
    /// Simulated gateways.
    #[arg(long, value_name = "N", allow_hyphen_values = true)]
    gateways: Option<String>,
    /// Workers.
    #[arg(long, value_name = "N", allow_hyphen_values = true)]
    workers: Option<String>,
    /// Functions that are called.
    #[arg(long, value_name = "N", allow_hyphen_values = true)]
    functions: Option<String>,
    /// Instances that all workers together have memory for.
    #[arg(long, value_name = "N", allow_hyphen_values = true)]
    instances: Option<String>,
    /// Calls a second of the whole fleet, as planned.
    #[arg(long, value_name = "CALLS", allow_hyphen_values = true)]
    rate: Option<String>,
    /// The part of the planned rate that is made, from 0 to 1.
    #[arg(long, value_name = "SHARE", allow_hyphen_values = true)]
    rate_fraction: Option<String>,
    /// Functions that are called often.
    #[arg(long, value_name = "N", allow_hyphen_values = true)]
    hot_functions: Option<String>,
    /// The part of the calls that goes to those, from 0 to 1.
    #[arg(long, value_name = "SHARE", allow_hyphen_values = true)]
    hot_share: Option<String>,
    /// Changes of the gateways' settings an hour.
    #[arg(long, value_name = "N", allow_hyphen_values = true)]
    config_changes_per_hour: Option<String>,
    /// Changed entries of the worker list an hour.
    #[arg(long, value_name = "N", allow_hyphen_values = true)]
    list_changes_per_hour: Option<String>,
    /// Zones of the whole fleet.
    #[arg(long, value_name = "N", allow_hyphen_values = true)]
    zones: Option<String>,
    /// Regions that the zones are in.
    #[arg(long, value_name = "N", allow_hyphen_values = true)]
    regions: Option<String>,
    /// Of all random draws.
    #[arg(long, value_name = "N", allow_hyphen_values = true)]
    seed: Option<String>,
    /// Simulated seconds of traffic.
    #[arg(long, value_name = "SECONDS", allow_hyphen_values = true)]
    seconds: Option<String>,
    /// Real gateway processes beside the simulated ones.
    #[arg(long, value_name = "N", allow_hyphen_values = true)]
    real: Option<String>,
}

impl QuantityArgs {
    fn all(&self) -> [(&'static str, &Option<String>); 15] {
        [
            ("gateways", &self.gateways),
            ("workers", &self.workers),
            ("functions", &self.functions),
            ("instances", &self.instances),
            ("rate", &self.rate),
            ("rate_fraction", &self.rate_fraction),
            ("hot_functions", &self.hot_functions),
            ("hot_share", &self.hot_share),
            ("config_changes_per_hour", &self.config_changes_per_hour),
            ("list_changes_per_hour", &self.list_changes_per_hour),
            ("zones", &self.zones),
            ("regions", &self.regions),
            ("seed", &self.seed),
            ("seconds", &self.seconds),
            ("real", &self.real),
        ]
    }

    /// The flags that are there, as they were typed.
    fn texts(&self) -> Vec<(&'static str, String)> {
        self.all().into_iter().filter_map(|(name, text)| Some((name, text.clone()?))).collect()
    }

    /// The flags that are there.
    fn given(&self) -> Result<Vec<(&'static str, f64)>, BadQuantity> {
        let given = self.all().into_iter().filter_map(|(name, text)| Some((name, text.as_ref()?)));
        let number = |(name, text): (&'static str, &String)| {
            let place = || format!("--{} {text}", name.replace('_', "-"));
            let value = text.parse::<f64>().ok().filter(|value| value.is_finite());
            let value =
                value.ok_or_else(|| BadQuantity { place: place(), what: "a number is wanted".into() })?;
            Ok((name, value))
        };
        given.map(number).collect()
    }
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum Format {
    /// For people.
    Table,
    /// All that was measured.
    Json,
}

#[derive(Args)]
pub struct ScaleArgs {
    /// A scenario, such as deploy/scale.star.
    file: PathBuf,
    #[command(flatten)]
    quantities: QuantityArgs,
    /// Run the scenario once for each value of a quantity, such as `functions=1000,4000,18000`, and put lines through
    /// the figures.
    #[arg(long, value_name = "QUANTITY=VALUES")]
    sweep: Option<String>,
    /// Work out the memory that a run needs, print it as JSON, and run nothing.
    #[arg(long, conflicts_with = "sweep")]
    plan: bool,
    /// Keep logs and settings of the real processes in FOLDER; absent: in a folder that is removed.
    #[arg(long, value_name = "FOLDER")]
    keep: Option<PathBuf>,
    /// What is printed.
    #[arg(long, value_enum, default_value_t = Format::Table)]
    format: Format,
    /// Write all that was measured to this file too, as JSON.
    #[arg(long, value_name = "FILE")]
    out: Option<PathBuf>,
    /// Take no more memory than this, in MB; never more than half of the machine's.
    #[arg(long, value_name = "MB")]
    most_memory_mb: Option<u64>,
    /// End early after so many seconds of wall time; each run of a sweep has as many.
    #[arg(long, value_name = "SECONDS", default_value_t = 900)]
    most_wall_s: u64,
}

/// What is wrong with what the command was given; exit code 2.
struct Wrong(String);

pub fn run(args: ScaleArgs, tied: bool) -> anyhow::Result<ExitCode> {
    if tied {
        super::peers::tie();
    }
    let done = match &args.sweep {
        Some(sweep) => sweep_all(&args, sweep)?,
        None => once(&args)?,
    };
    match done {
        Ok(code) => Ok(code),
        Err(Wrong(why)) => {
            eprintln!("{why}");
            Ok(ExitCode::from(2))
        }
    }
}

/// The scenario with the flags over it.
fn scenario(args: &ScaleArgs) -> Result<ScaleScenario, Wrong> {
    let wrong = |error: &dyn std::fmt::Display| Wrong(format!("cresswheel scale: {error}"));
    let mut scenario =
        cresswheel_settings::read_scale(&args.file).map_err(|faults| Wrong(faults.to_string()))?;
    let flags = args.quantities.given().map_err(|error| wrong(&error))?;
    set_all(&mut scenario, &flags).map_err(|error| wrong(&error))?;
    Ok(scenario)
}

fn once(args: &ScaleArgs) -> anyhow::Result<Result<ExitCode, Wrong>> {
    let scenario = match scenario(args) {
        Ok(scenario) => scenario,
        Err(wrong) => return Ok(Err(wrong)),
    };
    let settings = match cresswheel_settings::read(&scenario.settings) {
        Ok(settings) => settings,
        Err(faults) => return Ok(Err(Wrong(faults.to_string()))),
    };
    if args.plan {
        return print_plan(args, &scenario, &settings);
    }
    // The trial is a process of its own, so that what it took and gave back does not blur this one's memory.
    let Some(json) = child(args, &["--plan"], args.quantities.texts())? else {
        return Ok(Ok(ExitCode::from(2)));
    };
    let estimate: Estimate = serde_json::from_str(&json).context("the trial's report")?;
    let real = (scenario.real > 0).then(|| start_real(args, &scenario, &settings)).transpose()?;
    let inputs = Inputs { scenario: &scenario, settings: &settings, estimate, most_wall_s: args.most_wall_s };
    let report = run_scenario(inputs);
    let real = real.map(|real| real.join().map_err(|_| anyhow::anyhow!("the real part panicked")));
    let mut report = report?;
    report.real = real.transpose()?.transpose()?;
    let json = serde_json::to_string(&report)?;
    write_out(args.out.as_deref(), &json)?;
    match args.format {
        Format::Json => println!("{json}"),
        Format::Table => print!("{report}"),
    }
    Ok(Ok(if report.is_whole() { ExitCode::SUCCESS } else { ExitCode::FAILURE }))
}

fn print_plan(
    args: &ScaleArgs,
    scenario: &ScaleScenario,
    settings: &GatewaySettings,
) -> anyhow::Result<Result<ExitCode, Wrong>> {
    let limit = args.most_memory_mb.map(|mb| mb.saturating_mul(1 << 20));
    Ok(match plan(scenario, settings, limit)? {
        Ok(estimate) => {
            println!("{}", serde_json::to_string(&estimate)?);
            Ok(ExitCode::SUCCESS)
        }
        Err(refused) => Err(Wrong(format!("cresswheel scale: {}: {refused}", args.file.display()))),
    })
}

/// Runs the real gateways on a thread of their own.
fn start_real(
    args: &ScaleArgs,
    scenario: &ScaleScenario,
    settings: &GatewaySettings,
) -> anyhow::Result<JoinHandle<anyhow::Result<RealReport>>> {
    let temporary = args.keep.is_none();
    let usual = || std::env::temp_dir().join(format!("cresswheel-scale-{}", std::process::id()));
    let inputs = RealInputs {
        exe: std::env::current_exe().context("this program's own path")?,
        folder: args.keep.clone().unwrap_or_else(usual),
        scenario: scenario.clone(),
        settings: settings.clone(),
        progress: |line| eprintln!("{line}"),
    };
    Ok(std::thread::spawn(move || {
        let report = real::run(&inputs);
        if temporary {
            let _ = std::fs::remove_dir_all(&inputs.folder);
        }
        report
    }))
}

/// Each run is a process of its own, so that its memory is its own.
fn sweep_all(args: &ScaleArgs, text: &str) -> anyhow::Result<Result<ExitCode, Wrong>> {
    let wrong = |what: &dyn std::fmt::Display| Wrong(format!("cresswheel scale: --sweep {text}: {what}"));
    let sweep: Sweep = match text.parse() {
        Ok(sweep) => sweep,
        Err(error) => return Ok(Err(wrong(&error))),
    };
    // All are looked at before the first runs.
    for value in &sweep.values {
        let checked = scenario(args).and_then(|mut scenario| {
            set_all(&mut scenario, &[(sweep.quantity, *value)]).map_err(|error| wrong(&error))
        });
        if let Err(wrong) = checked {
            return Ok(Err(wrong));
        }
    }
    let mut runs = Vec::new();
    for value in &sweep.values {
        eprintln!("{} = {value}", sweep.quantity);
        match one_of_sweep(args, sweep.quantity, *value)? {
            Some(report) => runs.push(report),
            None => return Ok(Err(wrong(&format!("{} = {value} did not run", sweep.quantity)))),
        }
    }
    let is_whole = runs.iter().all(Report::is_whole);
    let report = SweepReport::new(sweep.quantity, runs);
    let json = serde_json::to_string(&report)?;
    write_out(args.out.as_deref(), &json)?;
    match args.format {
        Format::Json => println!("{json}"),
        Format::Table => print!("{report}"),
    }
    Ok(Ok(if is_whole { ExitCode::SUCCESS } else { ExitCode::FAILURE }))
}

/// One run of a sweep; `None`: it was refused, and said why on standard error.
fn one_of_sweep(args: &ScaleArgs, quantity: &str, value: f64) -> anyhow::Result<Option<Report>> {
    let mut flags = args.quantities.texts();
    flags.retain(|(name, _)| *name != quantity);
    flags.push((quantity, value.to_string()));
    let json = child(args, &["--format", "json"], flags)?;
    json.map(|json| serde_json::from_str(&json).context("a run's report")).transpose()
}

/// Runs this command again as a process of its own; gives what it printed. `None`: it printed nothing, and said why on
/// standard error.
fn child(args: &ScaleArgs, more: &[&str], flags: Vec<(&str, String)>) -> anyhow::Result<Option<String>> {
    let mut command = Command::new(std::env::current_exe().context("this program's own path")?);
    command.arg("scale").arg(&args.file).args(more);
    for (name, text) in flags {
        command.arg(format!("--{}", name.replace('_', "-"))).arg(text);
    }
    if let Some(mb) = args.most_memory_mb {
        command.args(["--most-memory-mb", &mb.to_string()]);
    }
    command.args(["--most-wall-s", &args.most_wall_s.to_string()]);
    // It ends with this process, whose end closes its standard input.
    command.env("CRESSWHEEL_TIED", "true").stdin(Stdio::piped()).stdout(Stdio::piped());
    let mut child = command.spawn().context("start a run")?;
    let tie = child.stdin.take();
    let mut printed = String::new();
    child.stdout.take().context("no standard output")?.read_to_string(&mut printed)?;
    child.wait()?;
    drop(tie);
    Ok((!printed.is_empty()).then_some(printed))
}

fn write_out(file: Option<&Path>, json: &str) -> anyhow::Result<()> {
    let Some(file) = file else { return Ok(()) };
    std::fs::write(file, json).with_context(|| file.display().to_string())
}
