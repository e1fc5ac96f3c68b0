//! A gateway on one core, with crowds of idle connections of growing size.

mod classes;
mod found;
mod judge;
mod processors;
mod report;
mod run;
mod test_bed;

use std::path::Path;

use anyhow::Context;

pub use found::{ClassOutcome, Found, Wave};
pub use report::report;

/// What is measured.
#[derive(Clone, Debug)]
pub struct IdleSettings {
    /// Connections, one run each.
    pub sizes: Vec<usize>,
    /// Share of them that wakes.
    pub share: f64,
    /// Milliseconds within which they wake.
    pub within_ms: u64,
    /// Waves of that share, one after the other.
    pub waves: usize,
    /// Seconds of the idle time that is measured.
    pub idle_s: u64,
    /// Processes that hold connections; none given: as many as the gateway wants.
    pub holders: Option<usize>,
    /// Seed of all random draws.
    pub seed: u64,
    /// Measure the cost of pings, which takes half a minute more.
    pub pings: bool,
    /// Wake all at last, within this many milliseconds.
    pub all_within_ms: u64,
}

/// Measures, size after size.
pub fn measure(
    exe: &Path,
    folder: &Path,
    settings: &IdleSettings,
    progress: &mut dyn FnMut(&str),
) -> anyhow::Result<Vec<Found>> {
    let mut all = Vec::new();
    for size in &settings.sizes {
        let folder = folder.join(size.to_string());
        std::fs::create_dir_all(&folder)?;
        let found = run::measure_size(exe, &folder, *size, settings, progress);
        all.push(found.with_context(|| format!("{size} connections; logs are in {}", folder.display()))?);
    }
    Ok(all)
}
