//! The command `cresswheel`. Exit codes: 0 served or held, 1 failed, 2 usage or settings.

mod call;
mod logs;
mod peers;
mod rehearse;
mod scale;
mod shifts;
mod soak;
mod versions;

use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use cresswheel_gateway::{AcceptorCommand, Gateway};
use cresswheel_platform::{Platform, PlatformSettings};
use cresswheel_platform_wire::config::Config;

/// A gateway that runs calls on workers which load functions on demand.
///
/// Begin with `cresswheel rehearse month-end`: it starts a small fleet on this machine, plays a bad day against
/// it and tells whether the five rules held. docs/OPERATIONS.md is for whoever runs a gateway.
#[derive(Parser)]
#[command(version, propagate_version = true)]
struct Cli {
    /// What is logged: error, warn, info, debug, or a filter such as `cresswheel_gateway=debug`.
    #[arg(long, global = true, default_value = "info", env = "CRESSWHEEL_LOG")]
    log: String,
    /// Log a JSON object a line instead of text.
    #[arg(long, global = true)]
    json: bool,
    /// Log to this file; if it can't be written, logs are dropped and the program goes on.
    #[arg(long, global = true, value_name = "FILE")]
    log_file: Option<PathBuf>,
    /// End when standard input ends: for processes that another one starts and must not outlive.
    #[arg(long, global = true, hide = true, env = "CRESSWHEEL_TIED")]
    tied: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a gateway with the settings in FILE.
    ///
    /// When it listens it prints `ready main=ADDRESS http=ADDRESS` on standard output. TERM or INT: it takes
    /// nothing new, lets calls finish for `stop_within`, answers the rest and exits 0. HUP: it reads FILE again;
    /// with a fault in it the old settings stay in force.
    Gateway {
        /// A settings script, such as deploy/gateway.star.
        file: PathBuf,
    },
    /// Run a gateway on the operators' platform, as docs/PLATFORM.md tells.
    ///
    /// TERM: it sends its clients elsewhere, answers what they asked and exits 0. HUP: it reads the configuration
    /// again; only the directory's address may change.
    Platform {
        /// The platform's configuration, as JSON.
        #[arg(env = "NODE_CONFIG")]
        config: PathBuf,
    },
    /// Read the settings in FILE and tell every fault with its line.
    Check {
        /// A settings script.
        file: PathBuf,
    },
    /// Make one call and print its answer.
    ///
    /// Exits 0 if it was served, 1 if it was refused, failed or not answered.
    Call(call::CallArgs),
    /// Shift a function from one version to another, step by step, and back.
    Versions(versions::VersionsArgs),
    /// Start a small fleet on this machine, play a bad day against it and tell whether the five rules held.
    ///
    /// What is judged is what passed on the sockets of clients and workers, never the gateways' own word. Exits 0
    /// if every rule held, 1 if one broke or the scene could not be played, 2 on a scene with a fault.
    Rehearse(rehearse::RehearseArgs),
    /// Simulate a fleet at its planned size on this machine: messages, bytes, processor time and memory by role.
    ///
    /// Each simulated gateway runs the real engine and decision module; its sockets, the workers and time are
    /// simulated. docs/SCALE.md tells how to plan a fleet with it. Exits 0 if it ran to its end, 1 if something was
    /// left undone, 2 on a scenario with a fault or a size that the machine can't bear.
    Scale(Box<scale::ScaleArgs>),
    /// Run gateways of the operators' platform under random, overlapping faults, and judge what passed by the rules.
    ///
    /// docs/SOAK.md tells what is drawn and judged. Exits 0 if every rule held on every seed, 1 if one broke.
    Soak(soak::SoakArgs),
    /// Run a stand-in worker: it answers calls with its own name after about the work they tell.
    Worker(peers::WorkerArgs),
    /// Run a stand-in worker list.
    List(peers::ListArgs),
    /// Run a stand-in model store.
    Store(peers::StoreArgs),
    /// Measure what a gateway costs, beside a bare relay of the same frames and no gateway at all.
    ///
    /// Starts all that it needs on this machine; takes about a minute. Quote ratios and medians: machines differ
    /// and are noisy. `load idle` measures idle connections and their waking instead.
    Load(rehearse::LoadArgs),
    /// Run a worker that answers at once; for measurements.
    #[command(hide = true)]
    Echo(peers::EchoArgs),
    /// Run a relay that decides nothing; for measurements.
    #[command(hide = true)]
    Relay(peers::RelayArgs),
    /// Run a crowd of clients; for measurements.
    #[command(hide = true)]
    Crowd(peers::CrowdArgs),
    /// Hold connections for the gateway that started this process.
    #[command(hide = true)]
    Hold,
    /// Tell a stand-in to play a fault, such as `hang 5000` or `lose 0.3 10000`.
    Fault(peers::FaultArgs),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    if let Err(error) = logs::start(&cli.log, cli.json, cli.log_file.as_deref()) {
        eprintln!("cresswheel: {error:#}");
        return ExitCode::from(2);
    }
    let done = match cli.command {
        Command::Gateway { ref file } => gateway(file, &cli),
        Command::Platform { ref config } => platform(config),
        Command::Crowd(args) => peers::crowd(args, cli.tied),
        Command::Hold => cresswheel_clients::trunk::run_acceptor().map(|()| ExitCode::SUCCESS),
        Command::Check { file } => match cresswheel_settings::read(&file) {
            Ok(settings) => {
                println!("{}: sound; gateway {}", file.display(), settings.name);
                Ok(ExitCode::SUCCESS)
            }
            Err(faults) => {
                eprintln!("{faults}");
                Ok(ExitCode::from(2))
            }
        },
        Command::Call(args) => call::run(args),
        Command::Versions(args) => versions::run(args, cli.tied),
        Command::Rehearse(args) => rehearse::run(args),
        Command::Scale(args) => scale::run(*args, cli.tied),
        Command::Soak(args) => soak::run_command(args),
        Command::Worker(args) => peers::worker(args, cli.tied),
        Command::List(args) => peers::list(args, cli.tied),
        Command::Store(args) => peers::store(args, cli.tied),
        Command::Load(args) => rehearse::load(args),
        Command::Echo(args) => peers::echo(args, cli.tied),
        Command::Relay(args) => peers::relay(args, cli.tied),
        Command::Fault(args) => peers::fault(args),
    };
    done.unwrap_or_else(|error| {
        eprintln!("cresswheel: {error:#}");
        ExitCode::FAILURE
    })
}

/// How a gateway starts a process that holds connections: itself, with the same logs.
fn holder(cli: &Cli) -> AcceptorCommand {
    let mut args = vec!["--log".to_owned(), cli.log.clone()];
    args.extend(cli.json.then(|| "--json".to_owned()));
    if let Some(file) = &cli.log_file {
        args.extend(["--log-file".to_owned(), file.display().to_string()]);
    }
    args.push("hold".into());
    Box::new(move || {
        let mut command = std::process::Command::new(std::env::current_exe()?);
        // Its standard input is the trunk, and ends it. A terminal's signals are the gateway's to answer.
        command.args(&args).env_remove("CRESSWHEEL_TIED").process_group(0);
        Ok(command)
    })
}

fn gateway(file: &std::path::Path, cli: &Cli) -> anyhow::Result<ExitCode> {
    let settings = match cresswheel_settings::read(file) {
        Ok(settings) => settings,
        Err(faults) => {
            eprintln!("{faults}");
            return Ok(ExitCode::from(2));
        }
    };
    let again = file.to_path_buf();
    let reload = Box::new(move || cresswheel_settings::read(&again).map_err(|faults| faults.to_string()));
    let mut gateway = Gateway::start(settings, reload, holder(cli))?;
    let ready = gateway.ready();
    let http = ready.http.map_or(String::new(), |at| format!(" http={at}"));
    peers::ready(&format!("ready main={}{http}", ready.main), cli.tied)?;
    gateway.run()?;
    Ok(ExitCode::SUCCESS)
}

fn platform(file: &std::path::Path) -> anyhow::Result<ExitCode> {
    let file = file.to_path_buf();
    let read = move || -> Result<Config, String> {
        let text = std::fs::read_to_string(&file).map_err(|error| format!("{}: {error}", file.display()))?;
        let config = Config::read(&text).map_err(|error| format!("{}: {error}", file.display()))?;
        // What can be read may still not be used.
        PlatformSettings::of(&config).map_err(|error| format!("{}: {error}", file.display()))?;
        Ok(config)
    };
    let config = match read() {
        Ok(config) => config,
        Err(error) => {
            eprintln!("cresswheel: {error}");
            return Ok(ExitCode::from(2));
        }
    };
    let mut gateway = Platform::start(&config, Box::new(read))?;
    drop(config);
    tracing::info!(address = %gateway.address(), "listens");
    gateway.run()?;
    Ok(ExitCode::SUCCESS)
}
