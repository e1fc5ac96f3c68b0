//! A simulated gateway: the real engine, decision module and settings code; its sockets alone are missing.

use std::path::Path;

use anyhow::Context;
use cresswheel_engine::{Engine, Input, Output};
use cresswheel_gateway::GatewaySettings;
use cresswheel_protocol::Micros;
use foldhash::{HashMap, HashMapExt};

use crate::clock::thread_nanos;
use crate::records::Kind;

/// One of them.
pub struct HollowGateway {
    /// Its zone.
    pub zone: usize,
    /// The engine, with the decision module in it.
    pub engine: Engine,
    /// The version of the list that it has.
    pub list_version: u64,
    /// When it is to be woken, if that stands in the queue.
    pub wake_scheduled: Option<Micros>,
    /// Processor time of control and of service, in nanoseconds.
    pub control_nanos: u64,
    /// Processor time of calls and of their attempts' ends.
    pub service_nanos: u64,
    settings: GatewaySettings,
    /// Connections to workers, with their last use.
    connections: HashMap<usize, Micros>,
    /// Connections that were opened.
    pub opened: u64,
}

impl HollowGateway {
    /// A gateway with these settings.
    pub fn new(settings: GatewaySettings, zone: usize, life: u64) -> anyhow::Result<Self> {
        let engine = Engine::new(settings.engine.clone(), life)?;
        Ok(Self {
            zone,
            engine,
            list_version: 0,
            wake_scheduled: None,
            control_nanos: 0,
            service_nanos: 0,
            settings,
            connections: HashMap::new(),
            opened: 0,
        })
    }

    /// Gives the engine an input; gives the processor time that it took, in nanoseconds.
    pub fn give(&mut self, now: Micros, kind: Kind, input: Input, out: &mut Vec<Output>) -> u64 {
        let before = thread_nanos();
        self.engine.handle(now, input, out);
        self.book(kind, before)
    }

    /// Reads the settings again, as a gateway process does on HUP, and puts them in force; `version` stands for what
    /// was changed in them. Gives the processor time that it took.
    pub fn take_settings(&mut self, file: &Path, version: u64) -> anyhow::Result<u64> {
        let before = thread_nanos();
        let mut new = cresswheel_settings::read(file)?;
        adapt(
            &mut new,
            &self.settings.name,
            &self.settings.engine.dispatcher.zone,
            self.settings.engine.dispatcher.gateways,
        );
        new.engine.admission.open_calls += version as usize;
        let fixed = self.settings.fixed_differences(&new);
        anyhow::ensure!(fixed.is_empty(), "needs a restart: {}", fixed.join(", "));
        self.engine.update_limits(&new.engine);
        self.settings = new;
        Ok(self.book(Kind::Settings, before))
    }

    fn book(&mut self, kind: Kind, before: u64) -> u64 {
        let took = thread_nanos().saturating_sub(before);
        let sum = if kind.is_control() { &mut self.control_nanos } else { &mut self.service_nanos };
        *sum += took;
        took
    }

    /// Uses the connection to a worker; whether it had to be opened.
    pub fn connect(&mut self, now: Micros, worker: usize) -> bool {
        let idle = self.settings.limits.worker_idle;
        let last = self.connections.insert(worker, now);
        let opens = last.is_none_or(|last| last + idle < now);
        self.opened += u64::from(opens);
        opens
    }

    /// Connections that stand.
    pub fn connections(&self, now: Micros) -> usize {
        let idle = self.settings.limits.worker_idle;
        self.connections.values().filter(|last| **last + idle >= now).count()
    }

    /// The connection to a worker broke.
    pub fn disconnect(&mut self, worker: usize) {
        self.connections.remove(&worker);
    }
}

/// Makes the common settings those of one gateway of a fleet.
fn adapt(settings: &mut GatewaySettings, name: &str, zone: &str, gateways: u32) {
    settings.name = name.into();
    settings.engine.dispatcher.zone = zone.into();
    settings.engine.dispatcher.gateways = gateways;
    settings.workers = Vec::new();
}

/// The settings of the n-th gateway: the file's, with its own name, its zone and the fleet's size.
pub fn settings_of(
    common: &GatewaySettings,
    number: usize,
    zone: &str,
    gateways: usize,
) -> anyhow::Result<GatewaySettings> {
    let mut settings = common.clone();
    let gateways = u32::try_from(gateways).context("too many gateways")?;
    adapt(&mut settings, &format!("gateway-{number}"), zone, gateways);
    Ok(settings)
}
