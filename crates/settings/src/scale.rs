//! Checks the sections of a scale run's scenario.

use std::path::{Path, PathBuf};

use cresswheel_protocol::{FunctionProfile, Micros};

use crate::SettingsError;
use crate::fields::Fields;
use crate::raw::{Location, Section};

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;

/// Kinds of sections in a scenario.
pub const SECTIONS: [&str; 3] = ["scale", "network", "function"];

/// A quantity that a scenario, a flag and a sweep can set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quantity {
    /// Its name, as a field of `scale(...)`; its flag has `-` in place of `_`.
    pub name: &'static str,
    /// Its smallest value.
    pub min: f64,
    /// Its largest value.
    pub max: f64,
    /// Only integers are valid.
    pub is_integer: bool,
}

const fn integer(name: &'static str, min: f64, max: f64) -> Quantity {
    Quantity { name, min, max, is_integer: true }
}

const fn decimal(name: &'static str, min: f64, max: f64) -> Quantity {
    Quantity { name, min, max, is_integer: false }
}

/// All quantities, with their ranges.
pub const QUANTITIES: [Quantity; 15] = [
    integer("gateways", 1.0, 10_000.0),
    integer("workers", 1.0, 100_000.0),
    integer("functions", 1.0, 1_000_000.0),
    integer("instances", 1.0, 10_000_000.0),
    decimal("rate", 0.001, 1e7),
    decimal("rate_fraction", 1e-5, 1.0),
    integer("hot_functions", 0.0, 1_000_000.0),
    decimal("hot_share", 0.0, 1.0),
    decimal("config_changes_per_hour", 0.0, 100_000.0),
    decimal("list_changes_per_hour", 0.0, 1_000_000.0),
    integer("zones", 1.0, 100.0),
    integer("regions", 1.0, 100.0),
    integer("seed", 0.0, 9e15),
    decimal("seconds", 0.1, 86_400.0),
    integer("real", 0.0, 100.0),
];

/// What a scale run simulates.
#[derive(Clone, Debug, PartialEq)]
pub struct ScaleScenario {
    /// The settings file that all gateways use.
    pub settings: PathBuf,
    /// Gateways of the fleet, all simulated.
    pub gateways: usize,
    /// Workers of the fleet.
    pub workers: usize,
    /// Functions that are called.
    pub functions: usize,
    /// Instances that all workers together have memory for.
    pub instances: usize,
    /// Planned calls per second of the whole fleet.
    pub rate: f64,
    /// The fraction of `rate` that the run generates.
    pub rate_fraction: f64,
    /// Functions that are called often.
    pub hot_functions: usize,
    /// The fraction of the calls that goes to hot functions; the rest is spread evenly over the others.
    pub hot_share: f64,
    /// Changes of the gateways' settings per hour.
    pub config_changes_per_hour: f64,
    /// Changed entries of the worker list per hour.
    pub list_changes_per_hour: f64,
    /// Zones of the whole fleet.
    pub zones: usize,
    /// Regions that the zones are in.
    pub regions: usize,
    /// Seed of all random draws.
    pub seed: u64,
    /// Length of the run, in simulated seconds.
    pub seconds: f64,
    /// Real gateway processes beside the simulated ones.
    pub real: usize,
    /// Machines that distribute the worker list and the settings.
    pub sources: usize,
    /// Bandwidth of each source, in bytes per second.
    pub source_bytes_per_s: usize,
    /// One-way delay within a zone.
    pub within_zone: Micros,
    /// One-way delay between zones of a region.
    pub between_zones: Micros,
    /// One-way delay between regions.
    pub between_regions: Micros,
    /// Memory, concurrency, load time and work of each function.
    pub shape: FunctionProfile,
    /// Size of a call's body, in bytes.
    pub body: usize,
}

impl ScaleScenario {
    fn defaults() -> Self {
        Self {
            settings: PathBuf::new(),
            gateways: 1,
            workers: 1,
            functions: 1,
            instances: 1,
            rate: 1.0,
            rate_fraction: 1.0,
            hot_functions: 0,
            hot_share: 0.0,
            config_changes_per_hour: 0.0,
            list_changes_per_hour: 0.0,
            zones: 1,
            regions: 1,
            seed: 1,
            seconds: 60.0,
            real: 0,
            sources: 4,
            source_bytes_per_s: 125_000_000,
            within_zone: MILLISECOND / 4,
            between_zones: MILLISECOND,
            between_regions: 35 * MILLISECOND,
            shape: FunctionProfile {
                memory_mb: 300,
                lanes: 4,
                load_time: 300 * MILLISECOND,
                work: 5 * MILLISECOND,
            },
            body: 200,
        }
    }

    /// Sets a quantity by its name. The error describes the valid names or values.
    pub fn set(&mut self, name: &str, value: f64) -> Result<(), String> {
        let Some(quantity) = QUANTITIES.iter().find(|quantity| quantity.name == name) else {
            let names: Vec<_> = QUANTITIES.iter().map(|quantity| quantity.name).collect();
            return Err(format!("no such quantity; there are {}", names.join(", ")));
        };
        let Quantity { min, max, is_integer, .. } = *quantity;
        let is_valid = (min..=max).contains(&value) && (!is_integer || value.fract() == 0.0);
        if !is_valid {
            let kind = if is_integer { "a whole number" } else { "a number" };
            return Err(format!("{kind} from {min} to {max} is wanted"));
        }
        let count = value as usize;
        match name {
            "gateways" => self.gateways = count,
            "workers" => self.workers = count,
            "functions" => self.functions = count,
            "instances" => self.instances = count,
            "rate" => self.rate = value,
            "rate_fraction" => self.rate_fraction = value,
            "hot_functions" => self.hot_functions = count,
            "hot_share" => self.hot_share = value,
            "config_changes_per_hour" => self.config_changes_per_hour = value,
            "list_changes_per_hour" => self.list_changes_per_hour = value,
            "zones" => self.zones = count,
            "regions" => self.regions = count,
            "seed" => self.seed = value as u64,
            "seconds" => self.seconds = value,
            _ => self.real = count,
        }
        Ok(())
    }

    /// Describes each pair of quantities that contradict each other.
    pub fn contradictions(&self) -> Vec<String> {
        let Self { zones, regions, gateways, workers, functions, hot_functions, hot_share, .. } = self;
        let found = [
            (regions > zones, format!("regions = {regions}, but zones = {zones}: each region has a zone")),
            (
                zones > gateways,
                format!("zones = {zones}, but gateways = {gateways}: each zone has a gateway"),
            ),
            (zones > workers, format!("zones = {zones}, but workers = {workers}: each zone has a worker")),
            (
                hot_functions > functions,
                format!("hot_functions = {hot_functions} of functions = {functions}"),
            ),
            (
                *hot_functions == 0 && *hot_share > 0.0,
                format!("hot_share = {hot_share}, but hot_functions = 0"),
            ),
        ];
        found.into_iter().filter(|(wrong, _)| *wrong).map(|(_, message)| message).collect()
    }

    /// Calls per second that the run generates.
    pub fn made_rate(&self) -> f64 {
        self.rate * self.rate_fraction
    }
}

/// Builds the scenario.
pub fn check(path: &Path, sections: Vec<Section>) -> Result<ScaleScenario, Vec<SettingsError>> {
    let mut errors = Vec::new();
    let mut seen: Vec<(String, Location)> = Vec::new();
    let mut scenario = ScaleScenario::defaults();
    for section in sections {
        let (kind, location) = (section.kind.clone(), section.place.clone());
        if let Some((_, first)) = seen.iter().find(|(other, _)| *other == kind) {
            let message = format!("{kind}: a second one, the first is at {first}");
            errors.push(SettingsError { location: location.clone(), message });
        }
        if !SECTIONS.contains(&kind.as_str()) {
            let message =
                format!("{kind}(...) belongs in a gateway's settings or a plan, not in a scale scenario");
            errors.push(SettingsError { location: location.clone(), message });
            continue;
        }
        seen.push((kind.clone(), location));
        let mut fields = Fields::new(section, &mut errors);
        match kind.as_str() {
            "scale" => read_scale(&mut fields, &mut scenario, path),
            "network" => read_network(&mut fields, &mut scenario),
            _ => read_function(&mut fields, &mut scenario),
        }
        fields.finish();
    }
    if !seen.iter().any(|(kind, _)| kind == "scale") {
        let location = Location { file: path.display().to_string(), line: 1, column: 1 };
        errors.push(SettingsError { location, message: "there is no scale(...)".into() });
    }
    if errors.is_empty() { Ok(scenario) } else { Err(errors) }
}

/// Quantities without a default.
const REQUIRED: [&str; 5] = ["gateways", "workers", "functions", "instances", "rate"];

fn read_scale(fields: &mut Fields, scenario: &mut ScaleScenario, path: &Path) {
    let settings = fields.required_text("settings");
    scenario.settings = path.parent().unwrap_or(Path::new("")).join(settings);
    for quantity in QUANTITIES {
        let is_set = fields.is_set(quantity.name);
        let value = fields.quantity(quantity);
        match value {
            Some(value) => _ = scenario.set(quantity.name, value),
            None => fields.require(
                is_set || !REQUIRED.contains(&quantity.name),
                &format!("{} is missing", quantity.name),
            ),
        }
    }
    for contradiction in scenario.contradictions() {
        fields.require(false, &contradiction);
    }
}

fn read_network(fields: &mut Fields, scenario: &mut ScaleScenario) {
    scenario.within_zone = fields.time("within_zone", scenario.within_zone);
    scenario.between_zones = fields.time("between_zones", scenario.between_zones);
    scenario.between_regions = fields.time("between_regions", scenario.between_regions);
    scenario.sources = fields.count("sources", scenario.sources, (1, 100));
    scenario.source_bytes_per_s = fields.size("source_bytes_per_s", scenario.source_bytes_per_s);
    fields.require(scenario.source_bytes_per_s > 0, "source_bytes_per_s must be above zero");
    fields.require(scenario.between_regions <= 10 * SECOND, "between_regions is longer than s(10)");
    let (zone_delay, region_delay, longest_delay) =
        (scenario.within_zone, scenario.between_zones, scenario.between_regions);
    fields.require(
        zone_delay <= region_delay && region_delay <= longest_delay,
        "within_zone, between_zones, between_regions must not fall",
    );
}

fn read_function(fields: &mut Fields, scenario: &mut ScaleScenario) {
    let shape = &mut scenario.shape;
    shape.memory_mb = fields.count("memory_mb", shape.memory_mb as usize, (1, 1_000_000)) as u32;
    shape.lanes = fields.count("lanes", shape.lanes as usize, (1, 1_000)) as u32;
    shape.load_time = fields.time("load_time", shape.load_time);
    shape.work = fields.time("work", shape.work);
    scenario.body = fields.count("body", scenario.body, (0, 1 << 20));
    let (work, load) = (scenario.shape.work, scenario.shape.load_time);
    fields.require(work > 0 && load > 0, "work and load_time must be above zero");
}
