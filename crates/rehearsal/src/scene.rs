//! What a rehearsal plays. A scene is plain data: it can be written to a file, edited and played from there.

use serde::{Deserialize, Serialize};

/// A scene.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scene {
    /// Its name.
    pub name: String,
    /// What it shows, in a sentence.
    pub about: String,
    /// Of all random draws.
    pub seed: u64,
    /// How long clients call, in milliseconds.
    pub length_ms: u64,
    /// Gateways.
    pub gateways: Vec<GatewaySpec>,
    /// Workers.
    pub workers: Vec<WorkerSpec>,
    /// Classes of calls.
    pub classes: Vec<ClassSpec>,
    /// Terms of the fleet.
    pub terms: FleetTerms,
    /// What clients do.
    pub traffic: Traffic,
    /// What happens.
    pub events: Vec<Timed>,
    /// What the source of the scene asks for and can't be played here.
    #[serde(default)]
    pub unplayed: Vec<String>,
}

/// A gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySpec {
    /// Its zone.
    pub zone: String,
    /// Processes that hold its connections.
    #[serde(default)]
    pub holders: usize,
}

/// A worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSpec {
    /// Its zone.
    pub zone: String,
    /// Its kind.
    pub kind: String,
    /// Its cell.
    pub cell: u64,
    /// Its cores.
    pub cores: u32,
    /// Its memory, in MB.
    pub memory_mb: u32,
}

/// A class of calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Its name.
    pub name: String,
    /// Its share of the calls; shares are scaled to one.
    pub share: f64,
    /// `safe`, `unsafe`, or `keyed GROUP MS`.
    pub effect: String,
    /// An answer within this earns the full worth, in milliseconds.
    pub aim_ms: u64,
    /// Clients give up after this, in milliseconds.
    pub give_up_ms: u64,
    /// Worth of a call.
    pub worth: f64,
    /// Mean work of a call on a standard core, in milliseconds.
    pub work_ms: f64,
    /// Functions of the class; calls are spread over them by Zipf's law.
    pub functions: usize,
    /// Memory of one instance, in MB.
    pub memory_mb: u32,
    /// Calls that one instance runs at a time.
    pub lanes: u32,
    /// Usual time of a load, in milliseconds.
    pub load_ms: u64,
}

/// Terms of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetTerms {
    /// Workers answer 'miss' where a function is not loaded.
    pub miss: bool,
    /// How long idle instances stay loaded, in milliseconds.
    pub keep_alive_ms: u64,
    /// Rule 3: nothing new later than this after a drain was told, in milliseconds.
    pub drain_grace_ms: u64,
    /// Rule 4: share of its capacity that a worker begins with.
    pub cold_from: f64,
    /// Rule 4: until it has all of it, in milliseconds.
    pub warm_up_ms: u64,
    /// Rule 4: more than this multiple of its capacity ...
    pub fall_multiple: f64,
    /// Rule 4: ... for so long pushes it over, in milliseconds.
    pub fall_window_ms: u64,
    /// Rule 5: the window of the ration in milliseconds, 0: none; the free orders; those for each call.
    pub ration: (u64, f64, f64),
    /// Most attempts of a call.
    pub max_attempts: usize,
    /// The list's changes come so late, in milliseconds.
    pub list_delay_ms: u64,
    /// How long a worker that is gone stays listed, in milliseconds.
    pub list_notice_ms: u64,
    /// Fetches that the store serves at full pace, and those that it takes.
    pub store: (usize, usize),
}

/// What clients do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Connections to each gateway that are idle until a `wake`.
    #[serde(default)]
    pub crowd: usize,
    /// Calls a second at factor 1.
    pub rate: f64,
    /// The factor from a time on, in milliseconds.
    pub curve: Vec<(u64, f64)>,
    /// Share of the calls that are deferred.
    pub deferred: f64,
    /// Exponent of Zipf's law over a class's functions.
    pub zipf: f64,
    /// Share of the clients that leave early, at a random part of their time.
    pub hasty: f64,
    /// Times that a client repeats by itself what may be repeated.
    pub retries: u32,
    /// A client gives up after this share of its class's time.
    pub try_share: f64,
    /// How long clients go on calling a dead gateway, in milliseconds.
    pub front_notice_ms: u64,
}

/// Something that happens at a time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Timed {
    /// When, in milliseconds from the first call on.
    pub at_ms: u64,
    /// What.
    pub event: Event,
}

/// What can happen. Numbers are positions in the scene's lists, from 0.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// A worker's process is killed.
    KillWorker(usize),
    /// A worker's process starts again: empty and cold.
    StartWorker(usize),
    /// A fault command to a worker; docs/REHEARSAL.md lists them.
    Fault(usize, String),
    /// A gateway's process is killed, with -9.
    KillGateway(usize),
    /// A gateway is asked to stop.
    StopGateway(usize),
    /// A gateway's process starts again.
    StartGateway(usize),
    /// The zones can't reach each other for so many milliseconds.
    CutZone(String, u64),
    /// A control command to the worker list.
    List(String),
    /// An operator gives `cresswheel versions` this order over all gateways.
    Versions {
        /// The order, as on the command line.
        order: String,
        /// The plan, if it takes one.
        plan: Option<String>,
        /// The exit code that it is to end with.
        exits: i32,
    },
    /// A control command to the model store.
    Store(String),
    /// This share of the calls goes to so many functions that were not called before, for a time.
    Hot {
        /// Share of the calls.
        share: f64,
        /// New functions in each class.
        functions: usize,
        /// Duration, in milliseconds.
        ms: u64,
    },
    /// This share of a class's calls takes so many times its usual work, for a time.
    Heavy {
        /// The class.
        class: usize,
        /// Share of its calls.
        share: f64,
        /// Times the work.
        times: f64,
        /// Duration, in milliseconds.
        ms: u64,
    },
    /// This share of the idle connections makes one call each, within so many milliseconds.
    Wake {
        /// Share of the connections of `traffic.crowd`.
        share: f64,
        /// Within so long.
        ms: u64,
    },
    /// This share of the clients gives up after a part of their time, for a time.
    GiveUp {
        /// Share of the clients.
        share: f64,
        /// Part of their time.
        part: f64,
        /// Duration, in milliseconds.
        ms: u64,
    },
}

impl Scene {
    /// Zones, each once.
    pub fn zones(&self) -> Vec<String> {
        let all = self.workers.iter().map(|w| &w.zone).chain(self.gateways.iter().map(|g| &g.zone));
        let mut zones: Vec<String> = all.cloned().collect();
        zones.sort();
        zones.dedup();
        zones
    }

    /// What is wrong with a scene, if anything; each with its place.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut must = |holds: bool, what: String| {
            if !holds {
                faults.push(what);
            }
        };
        must(!self.gateways.is_empty() && self.gateways.len() <= 32, "gateways: 1 to 32".into());
        must(!self.workers.is_empty() && self.workers.len() <= 128, "workers: 1 to 128".into());
        must(!self.classes.is_empty(), "classes: one at least".into());
        must((1..=3_600_000).contains(&self.length_ms), "length_ms: 1 to 3600000".into());
        must(
            self.traffic.rate > 0.0 && self.traffic.rate <= 5_000.0,
            "traffic.rate: above 0, at most 5000".into(),
        );
        let crowd = self.traffic.crowd * self.gateways.len();
        must(crowd <= 15_000, "traffic.crowd: 15000 connections to all gateways together at most".into());
        let share = |x: f64| (0.0..=1.0).contains(&x);
        let traffic = &self.traffic;
        must(
            share(traffic.deferred) && share(traffic.hasty),
            "traffic.deferred, traffic.hasty: 0 to 1".into(),
        );
        must(
            traffic.try_share > 0.0 && traffic.try_share <= 1.0,
            "traffic.try_share: above 0, at most 1".into(),
        );
        for (at, class) in self.classes.iter().enumerate() {
            let sound = class.share >= 0.0 && class.functions > 0 && class.work_ms > 0.0 && class.lanes > 0;
            must(sound, format!("classes[{at}]: share, functions, work_ms and lanes must be above 0"));
            let keyed = matches!(class.effect.split(' ').collect::<Vec<_>>()[..],
                ["keyed", "all" | "zone" | "cell", ms] if ms.parse::<u64>().is_ok_and(|ms| ms > 0));
            let known = keyed || matches!(class.effect.as_str(), "safe" | "unsafe");
            must(
                known,
                format!("classes[{at}].effect: safe, unsafe or \"keyed zone 2000\", not {:?}", class.effect),
            );
            must(
                class.aim_ms <= class.give_up_ms,
                format!("classes[{at}]: aim_ms is longer than give_up_ms"),
            );
        }
        for (at, timed) in self.events.iter().enumerate() {
            let (kind, number, most) = match &timed.event {
                Event::KillWorker(n) | Event::StartWorker(n) | Event::Fault(n, _) => {
                    ("worker", *n, self.workers.len())
                }
                Event::KillGateway(n) | Event::StartGateway(n) | Event::StopGateway(n) => {
                    ("gateway", *n, self.gateways.len())
                }
                Event::Heavy { class, .. } => ("class", *class, self.classes.len()),
                _ => continue,
            };
            must(number < most, format!("events[{at}]: there is no {kind} {number}"));
        }
        faults
    }
}
