//! `cresswheel rehearse` and `cresswheel load`.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use clap::{Args, Subcommand};
use cresswheel_crowd::measure;
use cresswheel_rehearsal::{
    AuditLimits, LoadSettings, SCENES, Scene, Verdict, audit, day, read_records, rehearse, scene,
};

#[derive(Args)]
pub struct RehearseArgs {
    /// `list`, a ready scene's name, or a scene file (JSON; `--print` gives one to begin with).
    #[arg(required_unless_present_any = ["day", "judge"])]
    scene: Option<String>,
    /// Play the kinds of trouble of a bench day's file, scaled to this machine.
    #[arg(long, value_name = "FILE", conflicts_with_all = ["scene", "judge"])]
    day: Option<PathBuf>,
    /// Judge the records of an earlier rehearsal in FOLDER again.
    #[arg(long, value_name = "FOLDER", conflicts_with = "scene")]
    judge: Option<PathBuf>,
    /// Of all random draws.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Keep records, logs and settings in FOLDER; absent: in a folder that is removed if every rule held.
    #[arg(long, value_name = "FOLDER")]
    keep: Option<PathBuf>,
    /// Print the scene as JSON and play nothing.
    #[arg(long)]
    print: bool,
}

pub fn run(args: RehearseArgs) -> anyhow::Result<ExitCode> {
    if args.scene.as_deref() == Some("list") {
        for (name, about) in SCENES {
            println!("{name:12}{about}");
        }
        return Ok(ExitCode::SUCCESS);
    }
    if let Some(folder) = &args.judge {
        return judge(folder);
    }
    let wanted = match find(&args) {
        Ok(wanted) => wanted,
        Err(error) => {
            eprintln!("cresswheel: {error:#}");
            return Ok(ExitCode::from(2));
        }
    };
    if args.print {
        println!("{}", serde_json::to_string_pretty(&wanted)?);
        return Ok(ExitCode::SUCCESS);
    }
    println!("{}: {} (seed {}, {} s)", wanted.name, wanted.about, wanted.seed, wanted.length_ms / 1_000);
    for unplayed in &wanted.unplayed {
        println!("not played: {unplayed}");
    }
    let (folder, temporary) = match args.keep {
        Some(folder) => (folder, false),
        None => (std::env::temp_dir().join(format!("cresswheel-rehearsal-{}", std::process::id())), true),
    };
    let exe = std::env::current_exe().context("this program's own path")?;
    let outcome = rehearse(&exe, &folder, &wanted, &mut |line| println!("{line}"))?;
    println!("\n{}", outcome.verdict);
    outcome.bad_ends.iter().for_each(|end| println!("{end}"));
    if temporary && outcome.is_passed() {
        std::fs::remove_dir_all(&folder).with_context(|| folder.display().to_string())?;
    } else {
        println!("records, logs and settings: {}", folder.display());
    }
    let word = if outcome.is_passed() { "all rules held" } else { "NOT all is well" };
    println!("{word}, {:.0} s", outcome.took.as_secs_f64());
    Ok(if outcome.is_passed() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn find(args: &RehearseArgs) -> anyhow::Result<Scene> {
    if let Some(file) = &args.day {
        let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
        return day::read(&text, args.seed).map_err(|why| anyhow::anyhow!("{}: {why}", file.display()));
    }
    let name = args.scene.as_deref().unwrap_or_default();
    if let Some(ready) = scene(name, args.seed) {
        return Ok(ready);
    }
    let names: Vec<_> = SCENES.iter().map(|(name, _)| *name).collect();
    let text = std::fs::read_to_string(name)
        .with_context(|| format!("{name} is no ready scene ({}) and no file", names.join(", ")))?;
    let scene: Scene = serde_json::from_str(&text).with_context(|| name.to_owned())?;
    let faults = scene.faults();
    anyhow::ensure!(faults.is_empty(), "{name}: {}", faults.join("; "));
    Ok(scene)
}

fn judge(folder: &std::path::Path) -> anyhow::Result<ExitCode> {
    let text = std::fs::read_to_string(folder.join("scene.json"));
    let text = text.with_context(|| folder.join("scene.json").display().to_string())?;
    let scene: Scene = serde_json::from_str(&text).context("scene.json")?;
    let (records, unreadable) = read_records(&folder.join("records"))?;
    let verdict = Verdict { unreadable, ..audit(&records, &AuditLimits::of(&scene)) };
    println!("{verdict}");
    Ok(if verdict.is_passed() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

#[derive(Args)]
#[command(args_conflicts_with_subcommands = true)]
pub struct LoadArgs {
    #[command(subcommand)]
    what: Option<LoadWhat>,
    /// Seconds of each stretch.
    #[arg(long, default_value_t = 3)]
    seconds: u64,
    /// Stretches of each kind, in turn; medians are printed.
    #[arg(long, default_value_t = 3)]
    rounds: usize,
    /// Client connections.
    #[arg(long, default_value_t = 8)]
    connections: usize,
    /// Calls out at once on each connection, where as many as possible are carried.
    #[arg(long, default_value_t = 32)]
    window: usize,
    /// Bytes of a call's body.
    #[arg(long, default_value_t = 200)]
    body: usize,
    /// Calls open at once for the memory of one.
    #[arg(long, default_value_t = 20_000)]
    open: usize,
}

#[derive(Subcommand)]
pub enum LoadWhat {
    /// Open many connections, leave them idle, wake a share of them, then all; the gateway has one core.
    ///
    /// Prints memory, CPU and wake-ups of idleness, accepts a second, and what became of the calls by class, judged by
    /// the rehearsals' auditor. Exits 1 if a rule broke. Nearly two minutes for each size.
    Idle(IdleArgs),
    /// Roll a function back on more and more gateways, and let a bad version be found at one percent.
    ///
    /// Prints when the last call went to the new version, as its worker saw it, and how many calls a version harmed that
    /// always fails. About a minute.
    Shifts(super::shifts::ShiftArgs),
}

#[derive(Args)]
pub struct IdleArgs {
    /// Connections, one run each.
    #[arg(long, value_delimiter = ',', default_value = "1000,10000,50000,100000")]
    sizes: Vec<usize>,
    /// Share of them that wakes.
    #[arg(long, default_value_t = 0.1)]
    share: f64,
    /// Milliseconds within which they wake.
    #[arg(long, default_value_t = 100)]
    within_ms: u64,
    /// Waves of that share, one after the other.
    #[arg(long, default_value_t = 3)]
    waves: usize,
    /// Seconds of idleness to look at.
    #[arg(long, default_value_t = 15)]
    idle_s: u64,
    /// Milliseconds within which all wake at last.
    #[arg(long, default_value_t = 1_000)]
    all_within_ms: u64,
    /// Processes that hold connections; absent: as many as the gateway wants.
    #[arg(long)]
    holders: Option<usize>,
    /// Of all random draws.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Leave out what pings cost.
    #[arg(long)]
    no_pings: bool,
    /// Draw plots (SVG) into this folder.
    #[arg(long, value_name = "FOLDER")]
    plots: Option<PathBuf>,
    /// Keep records, logs and settings in FOLDER; absent: in a folder that is removed if every rule held.
    #[arg(long, value_name = "FOLDER")]
    keep: Option<PathBuf>,
}

fn idle(args: IdleArgs) -> anyhow::Result<ExitCode> {
    let settings = measure::IdleSettings {
        sizes: args.sizes,
        share: args.share,
        within_ms: args.within_ms,
        waves: args.waves,
        idle_s: args.idle_s,
        holders: args.holders,
        seed: args.seed,
        pings: !args.no_pings,
        all_within_ms: args.all_within_ms,
    };
    let temporary = args.keep.is_none();
    let folder = args
        .keep
        .unwrap_or_else(|| std::env::temp_dir().join(format!("cresswheel-idle-{}", std::process::id())));
    if folder.exists() {
        eprintln!("cresswheel: {} is there already: take another folder", folder.display());
        return Ok(ExitCode::from(2));
    }
    let exe = std::env::current_exe().context("this program's own path")?;
    let found = measure::measure(&exe, &folder, &settings, &mut |line| eprintln!("{line}"))?;
    println!("{}", measure::report(&found)?);
    if let Some(plots) = args.plots {
        cresswheel_crowd::plots::draw_all(&plots, &found)?;
        println!("plots: {}", plots.display());
    }
    let passed = found.iter().all(|found| found.passed);
    if temporary && passed {
        std::fs::remove_dir_all(&folder).with_context(|| folder.display().to_string())?;
    } else {
        println!("records, logs and settings: {}", folder.display());
    }
    println!("{}", if passed { "all rules held" } else { "NOT all is well" });
    Ok(if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

pub fn load(args: LoadArgs) -> anyhow::Result<ExitCode> {
    let LoadArgs { what, seconds, rounds, connections, window, body, open } = args;
    match what {
        Some(LoadWhat::Idle(args)) => return idle(args),
        Some(LoadWhat::Shifts(args)) => return super::shifts::run(args),
        None => {}
    }
    if seconds == 0 || rounds == 0 || connections == 0 || window == 0 || open == 0 {
        eprintln!("cresswheel: seconds, rounds, connections, window and open must be above zero");
        return Ok(ExitCode::from(2));
    }
    let settings = LoadSettings { seconds, rounds, connections, window, body, open };
    let folder = std::env::temp_dir().join(format!("cresswheel-load-{}", std::process::id()));
    let exe = std::env::current_exe().context("this program's own path")?;
    let report = cresswheel_rehearsal::load(&exe, &folder, &settings, &mut |line| eprintln!("{line}"))?;
    println!("{report}");
    std::fs::remove_dir_all(&folder).with_context(|| folder.display().to_string())?;
    Ok(ExitCode::SUCCESS)
}
