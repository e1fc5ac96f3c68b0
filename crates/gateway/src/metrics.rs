//! The engine's and the shell's counts in the Prometheus text form.

use cresswheel_engine::Engine;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

type Labels = Vec<(&'static str, String)>;

/// What the shell adds to the engine's counts.
pub struct ShellCounts {
    pub connections: usize,
    pub worker_connections: usize,
    pub accept_starved: u64,
    pub connections_turned_away: u64,
    pub list_stale: bool,
    pub paused_clients: usize,
}

pub fn text(engine: &Engine, shell: &ShellCounts) -> String {
    let mut registry = Registry::with_prefix("cresswheel");
    let counts = engine.counters();
    let mut counter = |name: &str, help: &str, values: Vec<(Labels, u64)>| {
        let family = Family::<Labels, Counter>::default();
        for (labels, value) in values {
            family.get_or_create(&labels).inc_by(value);
        }
        registry.register(name, help, family);
    };
    let by = |map: &std::collections::BTreeMap<&'static str, u64>, label: &'static str| {
        map.iter().map(|(word, n)| (vec![(label, (*word).to_owned())], *n)).collect::<Vec<_>>()
    };
    let taken = counts.classes.iter().zip(&counts.taken);
    let taken = taken.map(|(class, n)| (vec![("class", class.clone())], *n)).collect();
    counter("calls_taken", "Calls taken, by class", taken);
    let answers = counts.answers.iter().map(|((class, status, reason), n)| {
        let labels = [
            ("class", counts.classes[*class].clone()),
            ("status", status.word().into()),
            ("reason", (*reason).into()),
        ];
        (labels.to_vec(), *n)
    });
    counter("answers", "Final answers, by class, status and reason", answers.collect());
    counter("calls_turned_away", "Calls turned away untaken, by reason", by(&counts.turned_away, "reason"));
    counter("attempts", "Attempts, by how they ended", by(&counts.attempts, "end"));
    let plain = [
        ("hold_orders", "Hold orders given", counts.orders),
        ("late_answers", "Answers to attempts that were over", counts.late_answers),
        ("repeats", "Repeats found by their key", counts.repeats),
        ("calls_abandoned", "Calls that every waiter left", counts.abandoned),
        ("results_evicted", "Results dropped early for lack of room", counts.results_evicted),
        ("accept_starved", "Times that accepting paused for lack of descriptors", shell.accept_starved),
        ("connections_turned_away", "Connections closed at once", shell.connections_turned_away),
    ];
    for (name, help, value) in plain {
        counter(name, help, vec![(Vec::new(), value)]);
    }
    let gauges = [
        ("open_calls", "Calls without their final answer", engine.open_calls()),
        ("open_attempts", "Attempts that have not ended", engine.open_attempts()),
        ("result_bytes", "Bytes of results kept", engine.result_bytes()),
        ("workers_listed", "Workers on the list held", engine.workers().count()),
        ("connections", "Connections open", shell.connections),
        ("worker_connections", "Connections to workers open", shell.worker_connections),
        ("paused_clients", "Clients not read because they do not read", shell.paused_clients),
        ("list_stale", "1 while the list service can't be reached", usize::from(shell.list_stale)),
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
