//! One run of a scenario in simulated time.

mod changes;
mod counts;
mod event;
mod fleet;
mod gateways;
mod summary;
mod workers;

use std::time::Instant;

use cresswheel_gateway::GatewaySettings;
use cresswheel_protocol::Micros;
use cresswheel_settings::ScaleScenario;

use self::event::START_TIME;
use self::fleet::Fleet;
use self::summary::RunEnd;
use crate::memory;
use crate::report::{MemoryRecord, Report};
use crate::size::Estimate;

/// After the last call, how long its answer may take.
const ANSWER_GRACE: Micros = 120_000_000;
/// Events between two checks of memory and wall time.
const EVENTS_PER_CHECK: u64 = 10_000;

/// What a run is given.
pub struct Inputs<'a> {
    /// The scenario.
    pub scenario: &'a ScaleScenario,
    /// The settings of all gateways.
    pub settings: &'a GatewaySettings,
    /// What [`crate::plan`] worked out.
    pub estimate: Estimate,
    /// The run ends early after so many seconds of wall time.
    pub most_wall_s: u64,
}

/// Runs a scenario in simulated time; ends by itself.
pub fn run(inputs: Inputs) -> anyhow::Result<Report> {
    let began = Instant::now();
    let scenario = inputs.scenario;
    let base = memory::resident()?;
    let mut fleet = Fleet::new(scenario, inputs.settings)?;
    let with_workers = memory::resident()?;
    fleet.start_gateways()?;
    let mut limits = Limits { began, inputs: &inputs, exceeded: None };
    play(&mut fleet, &mut limits, |fleet| fleet.is_listed())?;
    let traffic_start = fleet.queue.now();
    let listed = memory::resident()?;
    let startup = fleet.source_record();
    let duration = (scenario.seconds * 1e6) as Micros;
    fleet.begin_traffic(duration);
    play(&mut fleet, &mut limits, |fleet| fleet.is_finished(traffic_start + duration))?;
    let at_end = memory::resident()?;
    let memory = MemoryRecord {
        base,
        workers: with_workers.saturating_sub(base),
        gateways_listed: listed.saturating_sub(with_workers),
        traffic: at_end.saturating_sub(listed),
        end: at_end,
        peak: memory::peak()?,
    };
    Ok(fleet.report(RunEnd {
        ended_early: limits.exceeded,
        traffic_start,
        span: fleet.queue.now() - traffic_start,
        whole_list_us: traffic_start - START_TIME,
        startup,
        memory,
        estimate: inputs.estimate.clone(),
        wall_s: began.elapsed().as_secs_f64(),
    }))
}

/// Handles events until `done`, until none is left, or until a limit is exceeded.
fn play(fleet: &mut Fleet, limits: &mut Limits, done: impl Fn(&Fleet) -> bool) -> anyhow::Result<()> {
    let mut events: u64 = 0;
    while limits.exceeded.is_none() && !done(fleet) {
        let Some(event) = fleet.queue.pop() else { return Ok(()) };
        fleet.handle(event)?;
        events += 1;
        if events.is_multiple_of(EVENTS_PER_CHECK) {
            limits.check()?;
        }
    }
    Ok(())
}

/// The limits of wall time and memory that end a run before its time.
struct Limits<'a> {
    began: Instant,
    inputs: &'a Inputs<'a>,
    /// Which limit was exceeded, in words.
    exceeded: Option<String>,
}

impl Limits<'_> {
    fn check(&mut self) -> anyhow::Result<()> {
        let resident = memory::resident()?;
        let wall = self.began.elapsed().as_secs();
        let most = self.inputs.estimate.most;
        if wall >= self.inputs.most_wall_s {
            self.exceeded = Some(format!("{wall} s of wall time were over"));
        } else if resident > most {
            self.exceeded = Some(format!("{} MB were resident, {} MB may be", resident >> 20, most >> 20));
        }
        Ok(())
    }
}
