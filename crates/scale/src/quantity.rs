//! Quantities from flags over those of a scenario.

use cresswheel_settings::ScaleScenario;

/// A flag that can't hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadQuantity {
    /// The flag with its value, or what contradicts.
    pub place: String,
    /// What is wrong.
    pub what: String,
}

impl std::fmt::Display for BadQuantity {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.place, self.what)
    }
}

impl std::error::Error for BadQuantity {}

/// Sets quantities by name and checks that all of them hold together.
pub fn set_all(scenario: &mut ScaleScenario, flags: &[(&str, f64)]) -> Result<(), BadQuantity> {
    for (name, value) in flags {
        let place = || flag(name, *value);
        scenario.set(name, *value).map_err(|what| BadQuantity { place: place(), what })?;
    }
    let places = flags.iter().map(|(name, value)| flag(name, *value));
    let place = places.collect::<Vec<_>>().join(" ");
    match scenario.contradictions().into_iter().next() {
        Some(what) => Err(BadQuantity { place, what }),
        None => Ok(()),
    }
}

/// A flag as it is typed.
fn flag(name: &str, value: f64) -> String {
    const LONG: f64 = 1e15;
    let name = name.replace('_', "-");
    if value.abs() < LONG { format!("--{name} {value}") } else { format!("--{name} {value:e}") }
}
