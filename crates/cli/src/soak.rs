//! `cresswheel soak`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use cresswheel_soak::plan::Size;
use cresswheel_soak::{Options, run};

const SECOND: u64 = 1_000_000;

/// What is soaked, and how long.
#[derive(Args)]
pub struct SoakArgs {
    /// Gateway processes.
    #[arg(long, default_value_t = 24, value_parser = clap::value_parser!(u16).range(1..=200))]
    gateways: u16,
    /// Hosts that stand at a time.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u16).range(2..=99))]
    hosts: u16,
    /// How long clients ask, in seconds, for each seed.
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u16).range(2..=3600))]
    seconds: u16,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds, one after the other.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=1000))]
    seeds: u16,
    /// The mean pause between two requests to a gateway, in milliseconds.
    #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u16).range(1..=10_000))]
    pause_ms: u16,
    /// Other clients send at full speed, before one gateway at a time, in windows drawn by the seed.
    #[arg(long)]
    floods: bool,
    /// All gateways share one core, so that a flood outpaces them.
    #[arg(long)]
    one_core: bool,
    /// The program whose gateways are soaked, if not this one: to hold two builds against each other.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// What the gateways log.
    #[arg(long, default_value = "info")]
    gateway_log: String,
    /// Keep configurations and logs here, in a folder for each seed.
    #[arg(long, value_name = "FOLDER")]
    keep: Option<PathBuf>,
}

/// Runs all seeds; fails if a rule broke on one.
pub fn run_all(args: &SoakArgs) -> anyhow::Result<bool> {
    let mut held = true;
    for seed in args.seed..args.seed + u64::from(args.seeds) {
        let lasts = u64::from(args.seconds) * SECOND;
        let size = Size { gateways: args.gateways.into(), hosts: args.hosts.into(), lasts };
        let folder = args.keep.as_ref().map(|folder| folder.join(format!("seed-{seed}")));
        let program = args.program.clone().map_or_else(std::env::current_exe, Ok)?;
        let (log, pause) = (args.gateway_log.clone(), u64::from(args.pause_ms) * 1_000);
        let report = run(Options {
            program,
            log,
            folder,
            seed,
            size,
            pause,
            floods: args.floods,
            one_core: args.one_core,
        })?;
        println!("{report}");
        held &= report.held();
    }
    Ok(held)
}

/// The command.
pub fn run_command(args: SoakArgs) -> anyhow::Result<ExitCode> {
    Ok(if run_all(&args)? { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
