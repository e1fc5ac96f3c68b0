//! The memory that a run will need, from a trial with a few gateways, and the refusal of what is too much.

use std::ops::Range;

use cresswheel_engine::{AttemptEnd, Call, Client, Engine, Input, Output};
use cresswheel_gateway::GatewaySettings;
use cresswheel_protocol::{Ending, ListedWorker, Micros};
use cresswheel_settings::ScaleScenario;
use serde::{Deserialize, Serialize};

use crate::hollow::settings_of;
use crate::memory;
use crate::network::Network;
use crate::traffic::{expected_functions, function_name};
use crate::worker::entry;

/// What a run will need, in bytes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// One gateway that knows all workers and no function.
    pub gateway: u64,
    /// One function more at one gateway.
    pub function: u64,
    /// Functions that a gateway will know.
    pub functions_known: f64,
    /// All gateways.
    pub gateways: u64,
    /// All workers, and calls on their way.
    pub workers: u64,
    /// The process itself, before the run.
    pub process: u64,
    /// All of it, with a quarter more for what is simulated.
    pub all: u64,
    /// What it may take.
    pub most: u64,
}

/// A run is refused: it would need more than it may take.
#[derive(Clone, Debug, PartialEq)]
pub struct Refused(pub Estimate);

impl std::fmt::Display for Refused {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mb = |bytes: u64| bytes.div_ceil(1 << 20);
        let Estimate { gateway, function, functions_known, gateways, workers, all, most, .. } = &self.0;
        write!(
            f,
            "this size needs about {} MB of memory ({} MB for the gateways, each {:.2} MB and {:.1} kB for each of \
             about {functions_known:.0} functions; {} MB for the workers), {} MB may be taken",
            mb(*all),
            mb(*gateways),
            *gateway as f64 / 1e6,
            *function as f64 / 1e3,
            mb(*workers),
            mb(*most),
        )
    }
}

impl std::error::Error for Refused {}

/// What a run takes beyond the trial's figures: growth of tables, events under way, the allocator.
const MARGIN: f64 = 1.25;
/// A trial below this tells nothing, as memory comes in pages.
const LEAST_GATEWAY: u64 = 100 << 10;
const LEAST_FUNCTION: u64 = 500;
/// A worker, and a function at a worker, in the stand-in's model.
const WORKER: u64 = 4 << 10;
const FUNCTION_AT_WORKER: u64 = 400;
/// Workers on which a function comes to stand.
const HOMES: u64 = 4;
/// Entries of the worker list that the gateways of the trial hold in all, and the most gateways.
const TRIAL_ENTRIES: usize = 16_000;
const MOST_TRIAL_GATEWAYS: usize = 64;
/// Gateways among them that are called.
const CALLED_GATEWAYS: usize = 2;
/// Functions that each of those is called for, by the entries that it may keep for each, and the bounds of it.
const TRIAL_ORDERS: usize = 2_000_000;
const TRIAL_FUNCTIONS: (usize, usize) = (16, 256);
/// Keep-alives after which the decision module forgets a function.
const FORGET: Micros = 16;

/// Works out what a run will need; refuses more than half of the machine's memory, more than is to be had, or more
/// than `limit` bytes.
pub fn plan(
    scenario: &ScaleScenario,
    settings: &GatewaySettings,
    limit: Option<u64>,
) -> anyhow::Result<Result<Estimate, Refused>> {
    let (machine, available) = memory::machine()?;
    let most = (machine / 2).min(available).min(limit.unwrap_or(u64::MAX));
    let process = memory::resident()?;
    let (gateway, function) = trial(scenario, settings)?;
    let known_for = settings.engine.dispatcher.keep_alive.saturating_mul(FORGET);
    let span = known_for.min((scenario.seconds * 1e6) as Micros);
    let functions_known = expected_functions(scenario, span);
    let each = gateway + (function as f64 * functions_known) as u64;
    let gateways = each.saturating_mul(scenario.gateways as u64);
    let functions = (scenario.functions as u64).saturating_mul(FUNCTION_AT_WORKER * HOMES);
    let workers = (scenario.workers as u64 * WORKER).saturating_add(functions);
    let all = process.saturating_add((gateways.saturating_add(workers) as f64 * MARGIN) as u64);
    let estimate = Estimate { gateway, function, functions_known, gateways, workers, process, all, most };
    Ok(if all > most { Err(Refused(estimate)) } else { Ok(estimate) })
}

/// Resident bytes of one gateway that knows all workers, and of one function at it.
///
/// The first gateway and the first functions are not measured: they fill what was given back by then.
fn trial(scenario: &ScaleScenario, settings: &GatewaySettings) -> anyhow::Result<(u64, u64)> {
    let network = Network::new(scenario);
    let list: Vec<ListedWorker> =
        (0..scenario.workers).map(|n| entry(n, network.zone_name(network.zone(n)))).collect();
    let gateway = |number: usize| -> anyhow::Result<Engine> {
        let own = settings_of(settings, number, &network.zone_name(0), scenario.gateways)?;
        let mut gateway = Engine::new(own.engine, number as u64)?;
        gateway.handle(1, Input::List { whole: true, workers: list.clone() }, &mut Vec::new());
        Ok(gateway)
    };
    let mut gateways = vec![gateway(0)?];
    let before = memory::resident()?;
    let count = (TRIAL_ENTRIES / scenario.workers).clamp(1, MOST_TRIAL_GATEWAYS);
    for number in 1..=count {
        gateways.push(gateway(number)?);
    }
    let listed = memory::resident()?;
    let class = settings.engine.dispatcher.classes.first().map_or("", |class| class.name.as_str());
    let (least, most) = TRIAL_FUNCTIONS;
    let functions = (TRIAL_ORDERS / scenario.workers).clamp(least, most);
    let mut call_all = |from: usize| {
        let called = gateways.iter_mut().take(CALLED_GATEWAYS);
        called.for_each(|gateway| call_functions(gateway, class, scenario, from..from + functions));
        memory::resident()
    };
    let first = call_all(0)?;
    let second = call_all(functions)?;
    let gateway = listed.saturating_sub(before) / count as u64;
    let function = second.saturating_sub(first) / (CALLED_GATEWAYS * functions) as u64;
    Ok((gateway.max(LEAST_GATEWAY), function.max(LEAST_FUNCTION)))
}

/// One call of each of some functions, answered at once.
fn call_functions(gateway: &mut Engine, class: &str, scenario: &ScaleScenario, functions: Range<usize>) {
    let mut out = Vec::new();
    for number in functions {
        let now = 1_000 + number as u64 * 1_000;
        let client = Client { connection: 1, number: number as u64 };
        let call = call(function_name(number), class.to_owned(), scenario);
        gateway.handle(now, Input::Call(client, call), &mut out);
        let runs = out.drain(..).filter_map(|output| match output {
            Output::Run(attempt) => Some(attempt.number),
            _ => None,
        });
        for attempt in runs.collect::<Vec<_>>() {
            let end = AttemptEnd::Answered(Ending::Ok, 0);
            gateway.handle(now + 500, Input::AttemptEnded(attempt, end, Vec::new(), None), &mut out);
        }
        out.clear();
    }
}

/// A call of a function.
pub fn call(function: String, class: String, scenario: &ScaleScenario) -> Call {
    Call {
        deferred: false,
        function,
        class,
        tenant: String::new(),
        key: String::new(),
        workers_deduplicate: false,
        trace: String::new(),
        timeout: 0,
        shape: scenario.shape.clone(),
        body: vec![0; scenario.body],
        account: None,
        route: None,
    }
}
