//! A gateway's settings from a Starlark script. `docs/SETTINGS.md` has every name.
//!
//! Two steps: `script` runs the script, which does nothing but put down sections with their places; `gateway`
//! checks them all and gives either typed settings or every fault found, each with file, line, column and value.
//! No other crate depends on Starlark.

mod fields;
mod gateway;
mod plan;
mod raw;
mod scale;
mod script;

use std::path::Path;

use cresswheel_gateway::GatewaySettings;
use cresswheel_versions::Plan;

pub use raw::Place;
pub use scale::{QUANTITIES, Quantity, ScaleScenario};

/// Something wrong with the settings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{place}: {what}")]
pub struct Fault {
    /// Where it stands.
    pub place: Place,
    /// What is wrong, with the value.
    pub what: String,
}

/// All that is wrong with the settings, in the order of their places.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct Faults(pub Vec<Fault>);

/// Reads a plan for a shift between versions; its choices are keyed with `salt`.
pub fn read_plan(path: &Path, salt: [u64; 2]) -> Result<Plan, Faults> {
    let sections = script::run(path).map_err(|fault| Faults(vec![fault]))?;
    plan::check(path, sections, salt).map_err(in_order)
}

fn in_order(mut faults: Vec<Fault>) -> Faults {
    faults.sort_by(|a, b| a.place.cmp(&b.place));
    Faults(faults)
}

/// Reads a gateway's settings.
pub fn read(path: &Path) -> Result<GatewaySettings, Faults> {
    let sections = script::run(path).map_err(|fault| Faults(vec![fault]))?;
    gateway::check(path, sections).map_err(in_order)
}

/// Reads a scenario for a scale run.
pub fn read_scale(path: &Path) -> Result<ScaleScenario, Faults> {
    let sections = script::run(path).map_err(|fault| Faults(vec![fault]))?;
    scale::check(path, sections).map_err(in_order)
}
