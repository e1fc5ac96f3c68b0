//! The engine's and the gateway's counts in the Prometheus text format.

use cresswheel_admission::ConnectionCounts;
use cresswheel_engine::Engine;
use cresswheel_versions::{Side, Status as VersionStatus};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

type Labels = Vec<(&'static str, String)>;

/// The counts that the engine doesn't have.
pub struct GatewayCounts {
    /// One entry for each process that holds client connections.
    pub client_counts: Vec<ConnectionCounts>,
    pub acceptors: usize,
    pub acceptor_restarts: u64,
    /// Times that workers waited because answers were waiting for an acceptor process.
    pub acceptor_congestions: u64,
    /// Calls that the intake rejected, by class.
    pub rejected: Vec<u64>,
    pub waiting: usize,
    pub intake_rate: f64,
    pub worker_connections: usize,
    pub accept_starved: u64,
    pub list_stale: bool,
    /// By function.
    pub versions: Vec<VersionStatus>,
}

pub fn text(engine: &Engine, gateway: &GatewayCounts) -> String {
    let mut registry = Registry::with_prefix("cresswheel");
    let counts = engine.counters();
    let mut counter = |name: &str, help: &str, values: Vec<(Labels, u64)>| {
        let family = Family::<Labels, Counter>::default();
        for (labels, value) in values {
            family.get_or_create(&labels).inc_by(value);
        }
        registry.register(name, help, family);
    };
    let labelled = |map: &std::collections::BTreeMap<&'static str, u64>, label: &'static str| {
        map.iter().map(|(word, n)| (vec![(label, (*word).to_owned())], *n)).collect::<Vec<_>>()
    };
    let taken = counts.classes.iter().zip(&counts.accepted);
    let taken = taken.map(|(class, n)| (vec![("class", class.clone())], *n)).collect();
    counter("calls_taken", "Calls taken, by class", taken);
    let answers = counts.answers.iter().map(|((class, status, reason), n)| {
        let labels = [
            ("class", counts.classes[*class].clone()),
            ("status", status.as_str().into()),
            ("reason", (*reason).into()),
        ];
        (labels.to_vec(), *n)
    });
    counter("answers", "Final answers, by class, status and reason", answers.collect());
    let mut turned_away = counts.rejected.clone();
    *turned_away.entry("connection-full").or_default() +=
        gateway.client_counts.iter().map(|d| d.refused).sum::<u64>();
    counter("calls_turned_away", "Calls turned away untaken, by reason", labelled(&turned_away, "reason"));
    counter("attempts", "Attempts, by how they ended", labelled(&counts.attempts, "end"));
    let rejected = counts.classes.iter().zip(&gateway.rejected).filter(|(_, n)| **n > 0);
    let rejected = rejected.map(|(class, n)| (vec![("class", class.clone())], *n)).collect();
    counter("calls_busy", "Calls refused since they would have waited too long to be started", rejected);
    let mut closed = std::collections::BTreeMap::<&str, u64>::new();
    for (why, count) in gateway.client_counts.iter().flat_map(|counts| &counts.closed) {
        *closed.entry(why.as_str()).or_default() += count;
    }
    let turned_away = ["full", "address-share"].iter().filter_map(|why| closed.get(why)).sum::<u64>();
    let closed = closed.iter().map(|(why, n)| (vec![("reason", (*why).to_owned())], *n)).collect();
    counter("connections_closed", "Connections that the gateway closed or turned away, by reason", closed);
    let total = |count: fn(&ConnectionCounts) -> u64| gateway.client_counts.iter().map(count).sum::<u64>();
    let current =
        |count: fn(&ConnectionCounts) -> usize| gateway.client_counts.iter().map(count).sum::<usize>();
    let counters = [
        ("hold_orders", "Hold orders given", counts.prewarm_orders),
        ("late_answers", "Answers to attempts that were over", counts.late_answers),
        ("repeats", "Repeats found by their key", counts.repeats),
        ("calls_abandoned", "Calls that every waiter left", counts.abandoned),
        ("results_evicted", "Results dropped early for lack of room", counts.results_evicted),
        ("accept_starved", "Times that accepting paused for lack of descriptors", gateway.accept_starved),
        ("connections_arrived", "Connections taken", total(|d| d.arrived)),
        ("connections_turned_away", "Connections closed at once", turned_away),
        ("connections_asked_to_leave", "Connections asked to leave", total(|d| d.asked)),
        ("pings", "Pings sent to idle connections", total(|d| d.pings)),
        ("holder_restarts", "Holders of connections started again", gateway.acceptor_restarts),
        ("holder_congestions", "Times that answers waited for a holder", gateway.acceptor_congestions),
    ];
    for (name, help, value) in counters {
        counter(name, help, vec![(Vec::new(), value)]);
    }
    let (mut answers, mut wrong) = (Vec::new(), Vec::new());
    for status in &gateway.versions {
        let plan = &status.record.plan;
        wrong.push((vec![("function", plan.function.clone())], status.wrong));
        for (class, both) in &status.answers {
            for (side, tally) in [Side::Old, Side::New].into_iter().zip(both) {
                let served = tally.answered - tally.errors;
                let ends =
                    [("in-time", served - tally.late), ("late", tally.late), ("not-served", tally.errors)];
                answers.extend(ends.map(|(end, count)| {
                    let version = plan.version(side).to_owned();
                    let function = plan.function.clone();
                    let class = class.clone();
                    let end = end.to_owned();
                    (
                        vec![("function", function), ("version", version), ("class", class), ("end", end)],
                        count,
                    )
                }));
            }
        }
    }
    counter("version_answers", "Final answers of functions with a plan, by version, class and end", answers);
    counter("version_wrong", "Answers of workers that ran something else than they were asked for", wrong);
    let mut per_function = |name: &str, help: &str, value: fn(&VersionStatus) -> i64| {
        let family = Family::<Labels, Gauge>::default();
        for status in &gateway.versions {
            family.get_or_create(&vec![("function", status.record.plan.function.clone())]).set(value(status));
        }
        registry.register(name, help, family);
    };
    per_function("version_share", "Share of the new version in force, in ten-thousandths", |status| {
        i64::from(status.share.ten_thousandths())
    });
    per_function("version_epoch", "Epoch of the version order held", |status| status.record.epoch as i64);
    per_function("version_held_back", "1 while the share is not what was ordered", |status| {
        i64::from(status.hold.is_some())
    });
    let gauges = [
        ("open_calls", "Calls without their final answer", engine.open_calls()),
        ("open_attempts", "Attempts that have not ended", engine.open_attempts()),
        ("result_bytes", "Bytes of results kept", engine.result_bytes()),
        ("workers_listed", "Workers on the list held", engine.workers().count()),
        ("connections", "Connections of clients", current(|d| d.connections)),
        ("idle_connections", "Connections of clients without an open call", current(|d| d.idle)),
        ("half_sent", "Connections with a message that is not whole", current(|d| d.half)),
        ("holders", "Processes that hold connections", gateway.acceptors),
        ("calls_waiting", "Calls that wait to be started", gateway.waiting),
        ("intake_rate", "Calls a second that could be started lately", gateway.intake_rate as usize),
        ("worker_connections", "Connections to workers open", gateway.worker_connections),
        ("paused_clients", "Clients not read because they do not read", current(|d| d.stalled)),
        ("list_stale", "1 while the list service can't be reached", usize::from(gateway.list_stale)),
    ];
    for (name, help, value) in gauges {
        let gauge = Gauge::<i64>::default();
        gauge.set(value as i64);
        registry.register(name, help, gauge);
    }
    let mut out = String::new();
    match encode(&mut out, &registry) {
        Ok(()) => out,
        Err(error) => format!("# {error}\n"),
    }
}
