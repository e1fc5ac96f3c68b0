//! The parts of each cold start in the records of a rehearsal: where the time went between a client's question and its
//! answer.
//!
//! ```text
//! cresswheel rehearse quiet --seed 1 --keep FOLDER
//! cargo run --release -p cresswheel-rehearsal --example cold_parts -- FOLDER/records
//! ```
//!
//! A call counts as cold if the gateway's last load order for its function reached the worker that ran it after the
//! call was asked. Times are wall time in ms, of one machine's clock: a busy machine lengthens all but the load.

use std::collections::HashMap;
use std::path::Path;

use cresswheel_rehearsal::read_records;
use cresswheel_standins::{Record, RecordedEvent};

const PARTS: [&str; 5] = [
    "until the order is at the worker",
    "load, until the attempt is at the worker",
    "until it runs",
    "run, until the client has the answer",
    "whole",
];
/// The planned cold start, in microseconds.
const AIM: u64 = 570_000;

/// What the records tell of one call.
#[derive(Default)]
struct Call {
    asked: Option<u64>,
    gateway: String,
    function: String,
    worker: String,
    runs: u32,
    reached: u64,
    began: u64,
    answered: Option<u64>,
}

impl Call {
    /// Its parts in microseconds, if it was cold: `ordered` is when the order reached the worker.
    fn parts(&self, ordered: u64) -> Option<[u64; 5]> {
        let (asked, answered) = (self.asked?, self.answered?);
        let times = [asked, ordered, self.reached, self.began, answered];
        if !times.is_sorted() {
            return None;
        }
        let part = |at: usize| times[at + 1] - times[at];
        Some([part(0), part(1), part(2), part(3), answered - asked])
    }
}

fn calls(records: &[Record]) -> HashMap<String, Call> {
    let mut calls = HashMap::<String, Call>::new();
    for record in records {
        match &record.what {
            RecordedEvent::Asked { trace, gateway, .. } => {
                let call = calls.entry(trace.clone()).or_default();
                (call.asked, call.gateway) = (Some(record.at), gateway.clone());
            }
            RecordedEvent::Run { trace, function, .. } => {
                let call = calls.entry(trace.clone()).or_default();
                (call.function, call.worker) = (function.clone(), record.by.clone());
                (call.reached, call.runs) = (record.at, call.runs + 1);
            }
            RecordedEvent::Began { trace, .. } => calls.entry(trace.clone()).or_default().began = record.at,
            RecordedEvent::Answered { trace, status, .. } if status == "served" => {
                calls.entry(trace.clone()).or_default().answered = Some(record.at);
            }
            _ => {}
        }
    }
    calls
}

/// When orders reached workers, by gateway, worker and function.
fn orders(records: &[Record]) -> HashMap<(&str, &str, &str), Vec<u64>> {
    let mut orders = HashMap::<_, Vec<u64>>::new();
    for record in records {
        if let RecordedEvent::Hold { gateway, function, .. } = &record.what {
            let place = (gateway.as_str(), record.by.as_str(), function.as_str());
            orders.entry(place).or_default().push(record.at);
        }
    }
    orders
}

fn quantile(sorted: &[u64], share: f64) -> f64 {
    let at = ((sorted.len() as f64 * share) as usize).min(sorted.len().saturating_sub(1));
    sorted.get(at).copied().unwrap_or(0) as f64 / 1e3
}

fn main() -> anyhow::Result<()> {
    let folder =
        std::env::args().nth(1).ok_or_else(|| anyhow::anyhow!("wanted: the folder of the records"))?;
    let (mut records, wrong) = read_records(Path::new(&folder))?;
    anyhow::ensure!(wrong.is_empty(), "lines that can't be read: {wrong:?}");
    records.sort_by_key(|record| record.at);
    let (calls, orders) = (calls(&records), orders(&records));
    let cold = |call: &Call| {
        let place = (call.gateway.as_str(), call.worker.as_str(), call.function.as_str());
        let before = orders.get(&place)?.iter().filter(|at| **at <= call.reached);
        call.parts(*before.max()?)
    };
    let served = calls.values().filter(|call| call.answered.is_some()).count();
    let first_tries = calls.values().filter(|call| call.runs == 1).count();
    let parts: Vec<[u64; 5]> = calls.values().filter_map(cold).collect();
    let late = parts.iter().filter(|parts| parts[4] > AIM).count();
    println!(
        "{served} served, {first_tries} with one attempt, {} cold, {late} of these over 570 ms",
        parts.len()
    );
    println!("{:<42} {:>8} {:>8} {:>8} {:>8}", "ms", "p50", "p90", "p99", "max");
    for (at, name) in PARTS.iter().enumerate() {
        let mut times: Vec<u64> = parts.iter().map(|parts| parts[at]).collect();
        times.sort_unstable();
        let at = |share| quantile(&times, share);
        println!("{name:<42} {:>8.1} {:>8.1} {:>8.1} {:>8.1}", at(0.5), at(0.9), at(0.99), at(1.0));
    }
    Ok(())
}
