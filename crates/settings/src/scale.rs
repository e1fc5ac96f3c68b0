//! Sections to the scenario of a scale run.

use std::path::{Path, PathBuf};

use cresswheel_protocol::{Micros, Shape};

use crate::Fault;
use crate::fields::Fields;
use crate::raw::{Place, Section};

const MS: Micros = 1_000;
const S: Micros = 1_000_000;

/// The sections that make a scenario.
pub const SECTIONS: [&str; 3] = ["scale", "network", "function"];

/// A quantity that a scenario, a flag and a sweep can set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quantity {
    /// Its name, as a field of `scale(...)`; its flag has `-` in place of `_`.
    pub name: &'static str,
    /// Its least value.
    pub least: f64,
    /// Its greatest value.
    pub most: f64,
    /// It has whole values only.
    pub is_whole: bool,
}

const fn whole(name: &'static str, least: f64, most: f64) -> Quantity {
    Quantity { name, least, most, is_whole: true }
}

const fn real(name: &'static str, least: f64, most: f64) -> Quantity {
    Quantity { name, least, most, is_whole: false }
}

/// All quantities, with their ranges.
pub const QUANTITIES: [Quantity; 15] = [
    whole("gateways", 1.0, 10_000.0),
    whole("workers", 1.0, 100_000.0),
    whole("functions", 1.0, 1_000_000.0),
    whole("instances", 1.0, 10_000_000.0),
    real("rate", 0.001, 1e7),
    real("rate_fraction", 1e-5, 1.0),
    whole("hot_functions", 0.0, 1_000_000.0),
    real("hot_share", 0.0, 1.0),
    real("config_changes_per_hour", 0.0, 100_000.0),
    real("list_changes_per_hour", 0.0, 1_000_000.0),
    whole("zones", 1.0, 100.0),
    whole("regions", 1.0, 100.0),
    whole("seed", 0.0, 9e15),
    real("seconds", 0.1, 86_400.0),
    whole("real", 0.0, 100.0),
];

/// What a scale run simulates.
#[derive(Clone, Debug, PartialEq)]
pub struct ScaleScenario {
    /// The settings that every gateway has.
    pub settings: PathBuf,
    /// Gateways of the fleet, all simulated.
    pub gateways: usize,
    /// Workers of the fleet.
    pub workers: usize,
    /// Functions that are called.
    pub functions: usize,
    /// Instances that all workers together have memory for.
    pub instances: usize,
    /// Calls a second of the whole fleet, as planned.
    pub rate: f64,
    /// The part of these that is made.
    pub rate_fraction: f64,
    /// Functions that are called often.
    pub hot_functions: usize,
    /// The part of the calls that goes to those; the rest is spread evenly over all others.
    pub hot_share: f64,
    /// Changes of the gateways' settings an hour.
    pub config_changes_per_hour: f64,
    /// Changed entries of the worker list an hour.
    pub list_changes_per_hour: f64,
    /// Zones of the whole fleet.
    pub zones: usize,
    /// Regions that the zones are in.
    pub regions: usize,
    /// Of all random draws.
    pub seed: u64,
    /// Simulated seconds.
    pub seconds: f64,
    /// Real gateway processes beside the simulated ones.
    pub real: usize,
    /// Machines that give out the worker list and the settings.
    pub sources: usize,
    /// What each of those can send, in bytes a second.
    pub source_bytes_per_s: usize,
    /// One way, within a zone.
    pub within_zone: Micros,
    /// One way, between zones of a region.
    pub between_zones: Micros,
    /// One way, between regions.
    pub between_regions: Micros,
    /// What is known of each function.
    pub shape: Shape,
    /// Bytes of a call's body.
    pub body: usize,
}

impl ScaleScenario {
    fn absent() -> Self {
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
            within_zone: MS / 4,
            between_zones: MS,
            between_regions: 35 * MS,
            shape: Shape { memory_mb: 300, lanes: 4, load_time: 300 * MS, work: 5 * MS },
            body: 200,
        }
    }

    /// Sets a quantity by its name; an error says what is wanted instead.
    pub fn set(&mut self, name: &str, value: f64) -> Result<(), String> {
        let Some(quantity) = QUANTITIES.iter().find(|quantity| quantity.name == name) else {
            let names: Vec<_> = QUANTITIES.iter().map(|quantity| quantity.name).collect();
            return Err(format!("no such quantity; there are {}", names.join(", ")));
        };
        let Quantity { least, most, is_whole, .. } = *quantity;
        let fits = (least..=most).contains(&value) && (!is_whole || value.fract() == 0.0);
        if !fits {
            let kind = if is_whole { "a whole number" } else { "a number" };
            return Err(format!("{kind} from {least} to {most} is wanted"));
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

    /// What contradicts what.
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
        found.into_iter().filter(|(wrong, _)| *wrong).map(|(_, what)| what).collect()
    }

    /// Calls a second that are made.
    pub fn made_rate(&self) -> f64 {
        self.rate * self.rate_fraction
    }
}

pub fn check(path: &Path, sections: Vec<Section>) -> Result<ScaleScenario, Vec<Fault>> {
    let mut faults = Vec::new();
    let mut seen: Vec<(String, Place)> = Vec::new();
    let mut scenario = ScaleScenario::absent();
    for section in sections {
        let (kind, place) = (section.kind.clone(), section.place.clone());
        if let Some((_, first)) = seen.iter().find(|(other, _)| *other == kind) {
            let what = format!("{kind}: a second one, the first stands at {first}");
            faults.push(Fault { place: place.clone(), what });
        }
        if !SECTIONS.contains(&kind.as_str()) {
            let what =
                format!("{kind}(...) belongs in a gateway's settings or a plan, not in a scale scenario");
            faults.push(Fault { place: place.clone(), what });
            continue;
        }
        seen.push((kind.clone(), place));
        let mut fields = Fields::new(section, &mut faults);
        match kind.as_str() {
            "scale" => scale(&mut fields, &mut scenario, path),
            "network" => network(&mut fields, &mut scenario),
            _ => function(&mut fields, &mut scenario),
        }
        fields.end();
    }
    if !seen.iter().any(|(kind, _)| kind == "scale") {
        let place = Place { file: path.display().to_string(), line: 1, column: 1 };
        faults.push(Fault { place, what: "there is no scale(...)".into() });
    }
    if faults.is_empty() { Ok(scenario) } else { Err(faults) }
}

/// Quantities without which a scenario says nothing.
const NEEDED: [&str; 5] = ["gateways", "workers", "functions", "instances", "rate"];

fn scale(f: &mut Fields, to: &mut ScaleScenario, path: &Path) {
    let settings = f.needed_text("settings");
    to.settings = path.parent().unwrap_or(Path::new("")).join(settings);
    for quantity in QUANTITIES {
        let there = f.there(quantity.name);
        let value = f.quantity(quantity);
        match value {
            Some(value) => _ = to.set(quantity.name, value),
            None => {
                f.must(there || !NEEDED.contains(&quantity.name), &format!("{} is missing", quantity.name))
            }
        }
    }
    for contradiction in to.contradictions() {
        f.must(false, &contradiction);
    }
}

fn network(f: &mut Fields, to: &mut ScaleScenario) {
    to.within_zone = f.time("within_zone", to.within_zone);
    to.between_zones = f.time("between_zones", to.between_zones);
    to.between_regions = f.time("between_regions", to.between_regions);
    to.sources = f.count("sources", to.sources, (1, 100));
    to.source_bytes_per_s = f.size("source_bytes_per_s", to.source_bytes_per_s);
    f.must(to.source_bytes_per_s > 0, "source_bytes_per_s must be above zero");
    f.must(to.between_regions <= 10 * S, "between_regions is longer than s(10)");
    let (near, mid, far) = (to.within_zone, to.between_zones, to.between_regions);
    f.must(near <= mid && mid <= far, "within_zone, between_zones, between_regions must not fall");
}

fn function(f: &mut Fields, to: &mut ScaleScenario) {
    let shape = &mut to.shape;
    shape.memory_mb = f.count("memory_mb", shape.memory_mb as usize, (1, 1_000_000)) as u32;
    shape.lanes = f.count("lanes", shape.lanes as usize, (1, 1_000)) as u32;
    shape.load_time = f.time("load_time", shape.load_time);
    shape.work = f.time("work", shape.work);
    to.body = f.count("body", to.body, (0, 1 << 20));
    let (work, load) = (to.shape.work, to.shape.load_time);
    f.must(work > 0 && load > 0, "work and load_time must be above zero");
}
