//! What a run found, as JSON and as a table.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::real::{RealGateway, RealReport};
use crate::records::{ChangeRecord, Cost, Traffic};
use crate::size::Estimate;

/// Messages of a role, by kind.
pub type ByKind = BTreeMap<String, Traffic>;

/// What a run found.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The scenario's quantities.
    pub quantities: BTreeMap<String, f64>,
    /// Why it ended before its time, if it did.
    pub ended_early: Option<String>,
    /// Simulated seconds from the first call until the last answer.
    pub simulated_s: f64,
    /// Seconds that the run took.
    pub wall_s: f64,
    /// What one reading of the thread's clock costs; each event's cost has one reading in it.
    pub clock_reading_ns: u64,
    /// Calls made.
    pub calls: u64,
    /// Their answers.
    pub answers: BTreeMap<String, u64>,
    /// Calls without an answer at the end.
    pub unanswered: u64,
    /// Answers beyond one a call.
    pub stray_answers: u64,
    /// Half of the answers took no longer, in simulated microseconds.
    pub answer_median_us: u64,
    /// 99 in 100 took no longer.
    pub answer_p99_us: u64,
    /// From the start of all gateways at once until the last had the whole list.
    pub whole_list_last_us: u64,
    /// What the sources sent until then.
    pub startup: SourceRecord,
    /// The simulated gateways.
    pub gateway: GatewayRecord,
    /// The simulated workers.
    pub workers: WorkerRecord,
    /// The sources of list and settings, from the first call on.
    pub sources: SourceRecord,
    /// Each change, and when the last gateway had it.
    pub changes: Vec<ChangeRecord>,
    /// Resident memory.
    pub memory: MemoryRecord,
    /// What was worked out beforehand.
    pub estimate: Estimate,
    /// Real processes beside, if there were any.
    pub real: Option<RealReport>,
}

/// All simulated gateways together; shares of a core are of one gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewayRecord {
    /// How many.
    pub gateways: usize,
    /// What they sent, to clients and workers.
    pub sent: ByKind,
    /// What they received.
    pub received: ByKind,
    /// Processor time of all but calls and attempts' ends, in the mean over the gateways.
    pub control_core_share: f64,
    /// That of the gateway that had most.
    pub worst_control_core_share: f64,
    /// Processor time of calls and attempts' ends.
    pub service_core_share: f64,
    /// By kind of event: engine and decision module together.
    pub costs: BTreeMap<String, Cost>,
    /// Connections of a gateway to workers at the end, in the mean.
    pub connections: f64,
    /// Those of the gateway that had most.
    pub most_connections: usize,
    /// Connections opened by all.
    pub connections_opened: u64,
    /// Calls taken, by the engines' own count.
    pub taken: u64,
    /// Attempts that ended, by the engines' own count.
    pub attempts_ended: u64,
    /// Attempts that were out at the end.
    pub attempts_open: u64,
    /// Load orders, by the engines' own count.
    pub orders: u64,
    /// Gateways whose list was not the newest at the end.
    pub list_behind: usize,
    /// Attempts sent to a worker that was no longer in service.
    pub stale_attempts: u64,
}

/// All simulated workers together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// How many.
    pub workers: usize,
    /// What they sent.
    pub sent: ByKind,
    /// What they received.
    pub received: ByKind,
    /// Instances that stood or were being loaded at the end.
    pub instances: u64,
    /// Cold workers that were pushed over.
    pub falls: u64,
}

/// The sources, one by one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SourceRecord {
    /// How many.
    pub sources: usize,
    /// What each sent.
    pub sent: Vec<ByKind>,
    /// What each received.
    pub received: Vec<ByKind>,
}

/// Resident memory of the run's process, in bytes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemoryRecord {
    /// Before anything was simulated.
    pub base: u64,
    /// What the workers added.
    pub workers: u64,
    /// What the gateways and their lists added.
    pub gateways_listed: u64,
    /// What the traffic added: functions known, calls, the queue, the workers' instances.
    pub traffic: u64,
    /// At the end.
    pub end: u64,
    /// The most that there ever was.
    pub peak: u64,
}

/// Kinds of messages that serve calls; all others are control.
const SERVICE: [&str; 5] = ["Call", "Answer", "Run", "Ran", "CancelRun"];

fn sum(by_kind: &ByKind, wanted: impl Fn(&str) -> bool) -> Traffic {
    let mut all = Traffic::default();
    for (_, traffic) in by_kind.iter().filter(|(kind, _)| wanted(kind)) {
        all.messages += traffic.messages;
        all.bytes += traffic.bytes;
    }
    all
}

impl Report {
    /// Control messages and bytes that a gateway sends and receives a second.
    pub fn control_traffic(&self) -> (f64, f64) {
        let is_control = |kind: &str| !SERVICE.contains(&kind);
        let (sent, received) = (&self.gateway.sent, &self.gateway.received);
        let (sent, received) = (sum(sent, is_control), sum(received, is_control));
        let per = self.gateway.gateways.max(1) as f64 * self.simulated_s;
        ((sent.messages + received.messages) as f64 / per, (sent.bytes + received.bytes) as f64 / per)
    }

    /// Whether it ran to its end, each call with one answer, and each change at all gateways.
    pub fn is_whole(&self) -> bool {
        let answered = self.unanswered == 0 && self.stray_answers == 0;
        let real = self.real.as_ref().is_none_or(RealReport::is_whole);
        self.ended_early.is_none() && answered && real && self.unfinished_changes() == 0
    }

    /// Resident memory of one simulated gateway, in bytes.
    pub fn gateway_memory(&self) -> f64 {
        (self.memory.gateways_listed + self.memory.traffic) as f64 / self.gateway.gateways.max(1) as f64
    }

    /// The longest time that a change of one kind took until the last gateway had it, in microseconds.
    pub fn worst_in_force(&self, what: &str) -> Option<u64> {
        self.changes.iter().filter(|change| change.what == what).map(|change| change.last_us).max()
    }

    /// Changes that some gateway had not at the end.
    pub fn unfinished_changes(&self) -> usize {
        let all = self.gateway.gateways as u64;
        self.changes.iter().filter(|change| change.gateways < all).count()
    }

    /// The figures that a sweep puts lines through, each with its unit in its name.
    pub fn figures(&self) -> BTreeMap<String, f64> {
        let (messages, bytes) = self.control_traffic();
        let mut figures = BTreeMap::from([
            ("gateway memory, bytes".to_owned(), self.gateway_memory()),
            ("gateway control, share of a core".to_owned(), self.gateway.control_core_share),
            ("gateway service, share of a core".to_owned(), self.gateway.service_core_share),
            ("gateway control, messages/s".to_owned(), messages),
            ("gateway control, bytes/s".to_owned(), bytes),
            ("gateway connections".to_owned(), self.gateway.connections),
            ("whole list at the last gateway, us".to_owned(), self.whole_list_last_us as f64),
        ]);
        if let Some(real) = self.real.as_ref().filter(|real| !real.gateways.is_empty()) {
            let mean = |of: fn(&RealGateway) -> f64| {
                real.gateways.iter().map(of).sum::<f64>() / real.gateways.len() as f64
            };
            figures.insert("real gateway memory, bytes".into(), mean(|gateway| gateway.resident as f64));
            figures
                .insert("real gateway idle, share of a core".into(), mean(|gateway| gateway.idle_core_share));
            figures.insert("real gateway descriptors".into(), mean(|gateway| gateway.descriptors as f64));
        }
        for (kind, cost) in self.gateway.costs.iter().filter(|(_, cost)| cost.events > 0) {
            figures.insert(format!("{kind}, mean ns"), cost.mean_ns);
        }
        for what in ["list", "settings"] {
            let worst = self.worst_in_force(what).map(|us| us as f64);
            worst
                .into_iter()
                .for_each(|us| _ = figures.insert(format!("{what} in force everywhere, us"), us));
        }
        figures
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let quantities: Vec<_> =
            self.quantities.iter().map(|(name, value)| format!("{name}={value}")).collect();
        writeln!(f, "{}", quantities.join(" "))?;
        if let Some(why) = &self.ended_early {
            writeln!(f, "ENDED EARLY: {why}; the figures are of what had run")?;
        }
        let Self { simulated_s, wall_s, calls, unanswered, stray_answers, .. } = self;
        writeln!(f, "{simulated_s:.1} s simulated in {wall_s:.1} s")?;
        writeln!(f, "{calls} calls, {unanswered} without an answer, {stray_answers} answers too many")?;
        for (answer, count) in &self.answers {
            writeln!(f, "  {count:>9} {answer}")?;
        }
        let (median, p99) = (self.answer_median_us as f64 / 1e3, self.answer_p99_us as f64 / 1e3);
        writeln!(f, "answers: median {median:.1} ms, 99 in 100 within {p99:.1} ms")?;
        self.gateways(f)?;
        self.traffic(f)?;
        self.changes(f)?;
        let mb = |bytes: u64| bytes as f64 / 1e6;
        let memory = &self.memory;
        writeln!(
            f,
            "memory, MB: {:.0} before, {:.0} workers, {:.0} gateways with list, {:.0} traffic, {:.0} peak; {:.0} worked out, {:.0} allowed",
            mb(memory.base),
            mb(memory.workers),
            mb(memory.gateways_listed),
            mb(memory.traffic),
            mb(memory.peak),
            mb(self.estimate.all),
            mb(self.estimate.most),
        )?;
        if let Some(real) = &self.real {
            write!(f, "{real}")?;
        }
        Ok(())
    }
}

impl Report {
    fn gateways(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let gateway = &self.gateway;
        let percent = |share: f64| share * 100.0;
        writeln!(
            f,
            "a gateway: control {:.3}% of a core (worst {:.3}%), service {:.3}%, {:.2} MB, {:.1} connections (worst {})",
            percent(gateway.control_core_share),
            percent(gateway.worst_control_core_share),
            percent(gateway.service_core_share),
            self.gateway_memory() / 1e6,
            gateway.connections,
            gateway.most_connections,
        )?;
        writeln!(
            f,
            "{:12} {:>10} {:>10} {:>10} {:>10} {:>10} {:>9}",
            "event", "count", "mean us", "median us", "p99 us", "worst us", "over 2 ms"
        )?;
        let us = |ns: f64| ns / 1e3;
        for (kind, cost) in gateway.costs.iter().filter(|(_, cost)| cost.events > 0) {
            writeln!(
                f,
                "{kind:12} {:>10} {:>10.2} {:>10.2} {:>10.1} {:>10.1} {:>9}",
                cost.events,
                us(cost.mean_ns),
                us(cost.median_ns as f64),
                us(cost.p99_ns as f64),
                us(cost.worst_ns as f64),
                cost.over_2ms,
            )?;
        }
        let reading = self.clock_reading_ns;
        writeln!(f, "engine and decision module together; a reading of the clock, {reading} ns, is in each")?;
        writeln!(
            f,
            "{} attempts to workers no longer in service, {} gateways with an old list at the end, {} cold workers pushed over, {} instances at the end",
            gateway.stale_attempts, gateway.list_behind, self.workers.falls, self.workers.instances
        )
    }

    fn traffic(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:16} {:10} {:>12} {:>14} {:>12}", "role", "message", "count", "bytes", "bytes/s each")?;
        let mut rows = |role: &str, by_kind: &ByKind, each: usize| {
            by_kind.iter().try_for_each(|(kind, traffic)| {
                let rate = traffic.bytes as f64 / self.simulated_s / each.max(1) as f64;
                let Traffic { messages, bytes } = traffic;
                writeln!(f, "{role:16} {kind:10} {messages:>12} {bytes:>14} {rate:>12.1}")
            })
        };
        rows("gateway sends", &self.gateway.sent, self.gateway.gateways)?;
        rows("gateway receives", &self.gateway.received, self.gateway.gateways)?;
        rows("worker sends", &self.workers.sent, self.workers.workers)?;
        rows("worker receives", &self.workers.received, self.workers.workers)?;
        for (number, by_kind) in self.sources.sent.iter().enumerate() {
            rows(&format!("source {number} sends"), by_kind, 1)?;
        }
        let (messages, bytes) = self.control_traffic();
        writeln!(f, "control of a gateway: {messages:.2} messages/s, {bytes:.1} bytes/s")
    }

    fn changes(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |us: u64| us as f64 / 1e3;
        writeln!(f, "whole list at the last gateway after {:.1} ms", ms(self.whole_list_last_us))?;
        for what in ["list", "settings"] {
            let count = self.changes.iter().filter(|change| change.what == what).count();
            if let Some(worst) = self.worst_in_force(what) {
                let worst = ms(worst);
                writeln!(
                    f,
                    "{count} changes of the {what}: at the last gateway after {worst:.1} ms at worst"
                )?;
            }
        }
        writeln!(f, "{} changes not at all gateways at the end", self.unfinished_changes())
    }
}
