//! `cresswheel versions`: orders to all gateways, and conducting a plan over them.

mod args;
mod conduct;
mod gateway;
mod orders;
mod text;

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::Context;
use cresswheel_versions::{Micros, OrderKind, Plan, Record, Side};

use args::Order;
pub use args::VersionsArgs;
use gateway::Gateway;
use orders::Tool;

/// Where a gateway listens unless it is told otherwise.
const DEFAULT_GATEWAY: ([u8; 4], u16) = ([127, 0, 0, 1], 7100);

pub fn run(args: VersionsArgs, tied: bool) -> anyhow::Result<ExitCode> {
    if tied {
        super::peers::tie();
    }
    let gateways = addresses(&args)?.into_iter().map(Gateway::new).collect();
    let key = order_key(&args)?;
    let mut tool = Tool { gateways, key, args };
    match tool.args.order.clone() {
        Order::Check { file } => Ok(check(&file)),
        Order::Start { file, no_watch } => start(&mut tool, &file, no_watch),
        Order::Watch { function } => {
            let record = tool.held(&function)?;
            tool.conduct(record)
        }
        Order::Status { function } => tool.status(function),
        Order::Pause { function } => tool.next(&function, OrderKind::Pause),
        Order::Resume { function } => tool.next(&function, OrderKind::Resume),
        Order::Promote { function } => tool.next(&function, OrderKind::Promote),
        Order::Rollback { function } => tool.next(&function, OrderKind::RollBack),
        Order::History { function } => tool.history(&function),
    }
}

/// The gateways of the command line and of the file that it names.
fn addresses(args: &VersionsArgs) -> anyhow::Result<Vec<SocketAddr>> {
    let mut addresses = args.gateway.clone();
    if let Some(file) = &args.gateways {
        let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
        for (number, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
            let at = line.trim().parse().with_context(|| format!("{}:{}", file.display(), number + 1))?;
            addresses.push(at);
        }
    }
    if addresses.is_empty() {
        addresses.push(SocketAddr::from(DEFAULT_GATEWAY));
    }
    Ok(addresses)
}

fn order_key(args: &VersionsArgs) -> anyhow::Result<String> {
    let Some(file) = &args.key_file else { return Ok(String::new()) };
    let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
    Ok(text.trim().to_owned())
}

fn check(file: &Path) -> ExitCode {
    let Some(plan) = plan(file) else { return ExitCode::from(2) };
    let (old, new) = (plan.routed_name(Side::Old), plan.routed_name(Side::New));
    println!("{}: sound; {old} to {new} in {} steps", file.display(), plan.steps.len());
    ExitCode::SUCCESS
}

fn start(tool: &mut Tool, file: &Path, no_watch: bool) -> anyhow::Result<ExitCode> {
    let Some(plan) = plan(file) else { return Ok(ExitCode::from(2)) };
    let before = tool.newest(&plan.function)?;
    let (by, why) = (&tool.args.by, &tool.args.why);
    let record = Record::start(plan, before.as_ref(), draw(), now(), by, why).map_err(anyhow::Error::msg)?;
    if no_watch { tool.order(record) } else { tool.conduct(record) }
}

/// The plan in a file; its faults go to standard error.
fn plan(file: &Path) -> Option<Plan> {
    cresswheel_settings::read_plan(file, salt()).map_err(|faults| eprintln!("{faults}")).ok()
}

/// The time, in microseconds since 1970.
pub fn now() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as Micros)
}

/// A number that nobody else draws.
fn draw() -> u64 {
    RandomState::new().hash_one(now())
}

fn salt() -> [u64; 2] {
    [draw(), draw()]
}
