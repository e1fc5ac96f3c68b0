//! Reads a gateway's settings, rollout plans and scale scenarios from Starlark scripts. `docs/SETTINGS.md`
//! has every name.
//!
//! Reading takes two steps. `script` runs the script, which only records sections and their source locations.
//! Then `gateway`, `plan` or `scale` checks all sections and returns either typed settings or all errors
//! found, each with file, line, column and value. No other crate depends on Starlark.

mod fields;
mod gateway;
mod plan;
mod raw;
mod scale;
mod script;

use std::path::Path;

use cresswheel_gateway::GatewaySettings;
use cresswheel_versions::Plan;

pub use raw::Location;
pub use scale::{QUANTITIES, Quantity, ScaleScenario};

/// An error in the settings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{location}: {message}")]
pub struct SettingsError {
    /// Location of the wrong field or section.
    pub location: Location,
    /// What is wrong, including the value.
    pub message: String,
}

/// All errors in the settings, ordered by location.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct SettingsErrors(pub Vec<SettingsError>);

/// Reads the plan of a rollout from one version to another. `salt` keys the hash that assigns calls to
/// versions.
pub fn read_plan(path: &Path, salt: [u64; 2]) -> Result<Plan, SettingsErrors> {
    let sections = script::run(path).map_err(|error| SettingsErrors(vec![error]))?;
    plan::check(path, sections, salt).map_err(sorted)
}

fn sorted(mut errors: Vec<SettingsError>) -> SettingsErrors {
    errors.sort_by(|a, b| a.location.cmp(&b.location));
    SettingsErrors(errors)
}

/// Reads a gateway's settings.
pub fn read(path: &Path) -> Result<GatewaySettings, SettingsErrors> {
    let sections = script::run(path).map_err(|error| SettingsErrors(vec![error]))?;
    gateway::check(path, sections).map_err(sorted)
}

/// Reads the scenario of a scale run.
pub fn read_scale(path: &Path) -> Result<ScaleScenario, SettingsErrors> {
    let sections = script::run(path).map_err(|error| SettingsErrors(vec![error]))?;
    scale::check(path, sections).map_err(sorted)
}
