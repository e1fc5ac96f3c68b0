//! Changes of the worker list and of the settings, and their way to the gateways.

use std::rc::Rc;

use cresswheel_engine::Input;
use cresswheel_protocol::{ListedWorker, MemberState, Message, Micros};

use super::event::{Event, GatewayInput, ListUpdate, SettingsUpdate};
use super::fleet::Fleet;
use crate::records::Kind;

/// List changes that a worker's restart takes: draining, gone, back.
const RESTART_STEPS: usize = 3;
/// Microseconds of an hour.
const HOUR: f64 = 3_600e6;
/// The name under which whole and changed lists are counted.
const LIST_MESSAGE: &str = "List";
/// The name under which settings are counted; the main protocol has no message for them.
const SETTINGS_MESSAGE: &str = "Settings";

impl Fleet<'_> {
    /// Schedules the first change of each kind after half its interval; a rate of zero means none.
    pub(super) fn schedule_first_changes(&mut self) {
        let now = self.queue.now();
        let list_rate = self.scenario.list_changes_per_hour;
        if list_rate > 0.0 {
            self.queue.push(now + interval(list_rate) / 2, Event::ListChange);
        }
        let settings_rate = self.scenario.config_changes_per_hour;
        if settings_rate > 0.0 {
            self.queue.push(now + interval(settings_rate) / 2, Event::SettingsChange);
        }
    }

    /// Takes the next step of the workers' restarts, one worker after the other, and sends it to all gateways.
    pub(super) fn change_list(&mut self) {
        if !self.has_traffic() {
            return;
        }
        let now = self.queue.now();
        self.queue.push(now + interval(self.scenario.list_changes_per_hour), Event::ListChange);
        let worker = self.restart_steps / RESTART_STEPS % self.workers.len();
        match self.restart_steps % RESTART_STEPS {
            0 => self.workers[worker].entry.standing = MemberState::Draining,
            1 => self.stop_worker(worker),
            _ => self.workers[worker].start(now),
        }
        self.restart_steps += 1;
        let version = self.counts.list_log.make(now);
        self.send_entry(version, self.workers[worker].entry.clone());
    }

    fn send_entry(&mut self, version: u64, entry: ListedWorker) {
        let now = self.queue.now();
        let message = Message::List { whole: false, version, workers: vec![entry.clone()] };
        let entries: Rc<[ListedWorker]> = [entry].into();
        for gateway in 0..self.gateways.len() {
            let bytes = self.sources.of(gateway).sent.count(&message);
            let zone = self.gateways[gateway].zone;
            let at = self.sources.deliver(now, gateway, zone, bytes, &self.network);
            let update = ListUpdate { gateway, version, whole: false, entries: entries.clone(), bytes };
            self.queue.push(at, Event::ListUpdate(update));
        }
    }

    /// Puts a received list, or changed entries, in force at a gateway.
    pub(super) fn update_list(&mut self, update: &ListUpdate) {
        self.counts.gateway_received.add(LIST_MESSAGE, update.bytes);
        let kind = if update.whole { Kind::WholeList } else { Kind::ListChange };
        let input = Input::List { whole: update.whole, workers: update.entries.to_vec() };
        self.give(update.gateway, GatewayInput { kind, input });
        self.gateways[update.gateway].list_version = update.version;
        if update.whole {
            self.counts.whole_lists += 1;
        } else {
            self.counts.list_log.in_force(update.version, self.queue.now());
        }
    }

    /// Changes the settings and sends them to all gateways.
    pub(super) fn change_settings(&mut self) {
        if !self.has_traffic() {
            return;
        }
        let now = self.queue.now();
        self.queue.push(now + interval(self.scenario.config_changes_per_hour), Event::SettingsChange);
        let version = self.counts.settings_log.make(now);
        let bytes = self.settings_bytes;
        for gateway in 0..self.gateways.len() {
            self.sources.of(gateway).sent.add(SETTINGS_MESSAGE, bytes);
            let zone = self.gateways[gateway].zone;
            let at = self.sources.deliver(now, gateway, zone, bytes, &self.network);
            self.queue.push(at, Event::SettingsUpdate(SettingsUpdate { gateway, version, bytes }));
        }
    }

    /// Puts received settings in force at a gateway.
    pub(super) fn update_settings(&mut self, update: &SettingsUpdate) -> anyhow::Result<()> {
        self.counts.gateway_received.add(SETTINGS_MESSAGE, update.bytes);
        let gateway = &mut self.gateways[update.gateway];
        let nanos = gateway.take_settings(&self.scenario.settings, update.version)?;
        self.counts.add_cost(Kind::Settings, nanos);
        self.counts.settings_log.in_force(update.version, self.queue.now());
        Ok(())
    }
}

/// The time between changes at a rate per hour.
fn interval(per_hour: f64) -> Micros {
    ((HOUR / per_hour) as Micros).max(1)
}
