//! The report of a run, from the fleet's state at its end.

use std::collections::BTreeMap;

use cresswheel_protocol::Micros;
use cresswheel_settings::ScaleScenario;

use super::fleet::Fleet;
use crate::clock::reading_nanos;
use crate::report::{GatewayRecord, MemoryRecord, Report, SourceRecord, WorkerRecord};
use crate::size::Estimate;

/// The shortest span that rates are worked out over, in seconds.
const SHORTEST_SPAN_S: f64 = 1e-6;

/// What is known about a run besides its fleet.
pub struct RunEnd {
    /// Why the run ended before its time, if it did.
    pub ended_early: Option<String>,
    /// When the traffic began.
    pub traffic_start: Micros,
    /// The time from there to the end.
    pub span: Micros,
    /// From the start until all gateways had the whole list.
    pub whole_list_us: Micros,
    /// What the sources sent before the traffic.
    pub startup: SourceRecord,
    /// Memory of the process.
    pub memory: MemoryRecord,
    /// What was expected of the run.
    pub estimate: Estimate,
    /// Wall time of the run, in seconds.
    pub wall_s: f64,
}

impl Fleet<'_> {
    /// What the sources sent and received since their counts were last reset.
    pub fn source_record(&self) -> SourceRecord {
        let all = self.sources.all();
        SourceRecord {
            sources: all.len(),
            sent: all.iter().map(|source| source.sent.report()).collect(),
            received: all.iter().map(|source| source.received.report()).collect(),
        }
    }

    /// The report of a run that has ended.
    pub fn report(&self, end: RunEnd) -> Report {
        let counts = &self.counts;
        let seconds = (end.span as f64 / 1e6).max(SHORTEST_SPAN_S);
        let mut changes = counts.list_log.report("list", end.traffic_start);
        changes.extend(counts.settings_log.report("settings", end.traffic_start));
        Report {
            quantities: quantities(self.scenario),
            ended_early: end.ended_early,
            simulated_s: seconds,
            wall_s: end.wall_s,
            clock_reading_ns: reading_nanos(),
            calls: counts.calls,
            answers: counts.answers.clone(),
            unanswered: counts.open_calls.len() as u64,
            stray_answers: counts.stray_answers,
            answer_median_us: counts.answer_times.value_at_quantile(0.5),
            answer_p99_us: counts.answer_times.value_at_quantile(0.99),
            whole_list_last_us: end.whole_list_us,
            startup: end.startup,
            gateway: self.gateway_record(seconds),
            workers: self.worker_record(),
            sources: self.source_record(),
            changes,
            memory: end.memory,
            estimate: end.estimate,
            real: None,
        }
    }

    fn gateway_record(&self, seconds: f64) -> GatewayRecord {
        let gateways = &self.gateways;
        let counts = &self.counts;
        let count = gateways.len().max(1) as f64;
        let counters = || gateways.iter().map(|gateway| gateway.engine.counters());
        let share = |nanos: u64| nanos as f64 / 1e9 / seconds;
        let control = || gateways.iter().map(|gateway| share(gateway.control_nanos));
        let service = gateways.iter().map(|gateway| share(gateway.service_nanos));
        let now = self.queue.now();
        let connections: Vec<usize> = gateways.iter().map(|gateway| gateway.connections(now)).collect();
        let newest_list = counts.list_log.newest();
        GatewayRecord {
            gateways: gateways.len(),
            sent: counts.gateway_sent.report(),
            received: counts.gateway_received.report(),
            control_core_share: control().sum::<f64>() / count,
            worst_control_core_share: control().fold(0.0, f64::max),
            service_core_share: service.sum::<f64>() / count,
            costs: counts.costs.iter().map(|(kind, meter)| (kind.word().into(), meter.report())).collect(),
            connections: connections.iter().sum::<usize>() as f64 / count,
            most_connections: connections.iter().copied().max().unwrap_or(0),
            connections_opened: gateways.iter().map(|gateway| gateway.opened).sum(),
            taken: counters().map(|counters| counters.accepted.iter().sum::<u64>()).sum(),
            attempts_ended: counters().map(|counters| counters.attempts.values().sum::<u64>()).sum(),
            attempts_open: gateways.iter().map(|gateway| gateway.engine.open_attempts() as u64).sum(),
            orders: counters().map(|counters| counters.prewarm_orders).sum(),
            list_behind: gateways.iter().filter(|gateway| gateway.list_version < newest_list).count(),
            stale_attempts: counts.stale_attempts,
        }
    }

    fn worker_record(&self) -> WorkerRecord {
        let instance_mb = u64::from(self.scenario.shape.memory_mb.max(1));
        let used_mb: u64 = self.workers.iter().map(|worker| u64::from(worker.memory_mb())).sum();
        WorkerRecord {
            workers: self.workers.len(),
            sent: self.counts.worker_sent.report(),
            received: self.counts.worker_received.report(),
            instances: used_mb / instance_mb,
            falls: self.counts.falls,
        }
    }
}

/// The quantities of a scenario, by name.
fn quantities(scenario: &ScaleScenario) -> BTreeMap<String, f64> {
    let all = [
        ("gateways", scenario.gateways as f64),
        ("workers", scenario.workers as f64),
        ("functions", scenario.functions as f64),
        ("instances", scenario.instances as f64),
        ("rate", scenario.rate),
        ("rate_fraction", scenario.rate_fraction),
        ("hot_functions", scenario.hot_functions as f64),
        ("hot_share", scenario.hot_share),
        ("config_changes_per_hour", scenario.config_changes_per_hour),
        ("list_changes_per_hour", scenario.list_changes_per_hour),
        ("zones", scenario.zones as f64),
        ("regions", scenario.regions as f64),
        ("seed", scenario.seed as f64),
        ("seconds", scenario.seconds),
        ("real", scenario.real as f64),
    ];
    all.into_iter().map(|(name, value)| (name.to_owned(), value)).collect()
}
