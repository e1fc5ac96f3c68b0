//! The simulated fleet: its state, its start, and the dispatch of events.

use std::rc::Rc;

use anyhow::Context;
use cresswheel::WorkerId;
use cresswheel_engine::Output;
use cresswheel_gateway::GatewaySettings;
use cresswheel_protocol::{ListedWorker, Message, Micros, Role};
use cresswheel_settings::ScaleScenario;
use foldhash::HashMap;

use super::ANSWER_GRACE;
use super::counts::Counts;
use super::event::{Event, EventQueue, ListUpdate};
use crate::hollow::{HollowGateway, settings_of};
use crate::network::Network;
use crate::records::Messages;
use crate::sources::Sources;
use crate::traffic::Calls;
use crate::worker::{SimulatedWorker, entry, profile};

/// The odd constant that spreads a scenario's seed over the gateways' engines (2^64 divided by the golden ratio).
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The gateways, workers and sources of a run.
pub struct Fleet<'a> {
    pub(super) scenario: &'a ScaleScenario,
    pub(super) settings: &'a GatewaySettings,
    pub(super) network: Network,
    pub(super) queue: EventQueue,
    pub(super) gateways: Vec<HollowGateway>,
    pub(super) workers: Vec<SimulatedWorker>,
    pub(super) worker_numbers: HashMap<WorkerId, usize>,
    pub(super) sources: Sources,
    pub(super) calls: Calls,
    /// No calls and changes from then on; `None`: the traffic has not begun.
    pub(super) traffic_end: Option<Micros>,
    pub(super) counts: Counts,
    /// Steps of worker restarts so far.
    pub(super) restart_steps: usize,
    /// Bytes of the settings file.
    pub(super) settings_bytes: u64,
    /// Reused for the outputs of each engine input.
    pub(super) outputs: Vec<Output>,
}

impl<'a> Fleet<'a> {
    /// A fleet whose workers run and whose gateways have not started.
    pub fn new(scenario: &'a ScaleScenario, settings: &'a GatewaySettings) -> anyhow::Result<Self> {
        let network = Network::new(scenario);
        let worker = |number| {
            let zone = network.zone(number);
            let entry = entry(number, network.zone_name(zone));
            SimulatedWorker::new(entry, zone, profile(scenario, settings, number))
        };
        let workers: Vec<SimulatedWorker> = (0..scenario.workers).map(worker).collect();
        let numbered = workers.iter().enumerate();
        let worker_numbers =
            numbered.map(|(number, worker)| (WorkerId::from(worker.entry.id.as_str()), number)).collect();
        let sources =
            Sources::new(scenario.sources, scenario.source_bytes_per_s, scenario.gateways, &network);
        let file = std::fs::metadata(&scenario.settings);
        let settings_bytes = file.with_context(|| scenario.settings.display().to_string())?.len();
        Ok(Self {
            scenario,
            settings,
            network,
            queue: EventQueue::new(),
            gateways: Vec::with_capacity(scenario.gateways),
            workers,
            worker_numbers,
            sources,
            calls: Calls::new(scenario),
            traffic_end: None,
            counts: Counts::new(ANSWER_GRACE)?,
            restart_steps: 0,
            settings_bytes,
            outputs: Vec::new(),
        })
    }

    /// Starts all gateways at once; each asks for the list.
    pub fn start_gateways(&mut self) -> anyhow::Result<()> {
        let entries: Rc<[ListedWorker]> = self.workers.iter().map(|worker| worker.entry.clone()).collect();
        let list = Message::List { whole: true, version: 0, workers: entries.to_vec() };
        let bytes = Messages::default().count(&list);
        for number in 0..self.scenario.gateways {
            self.start_gateway(number, &entries, list.kind(), bytes)?;
        }
        Ok(())
    }

    fn start_gateway(
        &mut self,
        number: usize,
        entries: &Rc<[ListedWorker]>,
        list_kind: &'static str,
        bytes: u64,
    ) -> anyhow::Result<()> {
        let zone = self.network.zone(number);
        let name = self.network.zone_name(zone);
        let settings = settings_of(self.settings, number, &name, self.scenario.gateways)?;
        let hello = Message::Hello { role: Role::Gateway, name: settings.name.clone(), zone: name };
        let life = self.scenario.seed.wrapping_mul(SEED_MULTIPLIER) ^ number as u64;
        self.gateways.push(HollowGateway::new(settings, zone, life)?);
        let source = self.sources.of(number);
        source.received.count(&hello);
        source.received.count(&Message::Follow {});
        source.sent.add(list_kind, bytes);
        let asked = self.queue.now() + self.network.latency(zone, source.zone);
        let at = self.sources.deliver(asked, number, zone, bytes, &self.network);
        let update = ListUpdate { gateway: number, version: 0, whole: true, entries: entries.clone(), bytes };
        self.queue.push(at, Event::ListUpdate(update));
        Ok(())
    }

    /// Begins the calls and changes; what was sent before is reported apart.
    pub fn begin_traffic(&mut self, duration: Micros) {
        let now = self.queue.now();
        self.traffic_end = Some(now + duration);
        self.counts.reset_gateway_messages();
        self.sources.begin();
        let first = self.calls.gap();
        self.queue.push(now + first, Event::CallArrival);
        self.schedule_first_changes();
    }

    /// Whether calls and changes are still made.
    pub(super) fn has_traffic(&self) -> bool {
        self.traffic_end.is_some_and(|end| self.queue.now() < end)
    }

    /// Whether all gateways have received the whole list.
    pub fn is_listed(&self) -> bool {
        self.counts.whole_lists == self.gateways.len()
    }

    /// Whether the traffic that ends at `end` is over and answered, or its answers are overdue.
    pub fn is_finished(&self, end: Micros) -> bool {
        let now = self.queue.now();
        now >= end && (self.counts.open_calls.is_empty() || now >= end + ANSWER_GRACE)
    }

    /// Carries out one event.
    pub fn handle(&mut self, event: Event) -> anyhow::Result<()> {
        match event {
            Event::CallArrival => self.call_arrival(),
            Event::GatewayWake(gateway) => self.wake_gateway(gateway),
            Event::AtWorker(delivery) => self.deliver_to_worker(delivery),
            Event::AtGateway(delivery) => self.deliver_to_gateway(delivery),
            Event::WorkerTimer(worker) => self.worker_timer(worker),
            Event::FetchEnd(end) => self.end_fetch(&end),
            Event::ListChange => self.change_list(),
            Event::SettingsChange => self.change_settings(),
            Event::ListUpdate(update) => self.update_list(&update),
            Event::SettingsUpdate(update) => self.update_settings(&update)?,
        }
        Ok(())
    }
}
