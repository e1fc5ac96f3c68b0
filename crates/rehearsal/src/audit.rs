//! The auditor: judges the five rules from records of clients, workers and the list.
//!
//! It trusts no gateway: it has no record of one. Clocks are those of one machine. Where a frame's way takes time,
//! the gateway is given `transit` in its favour, and no more.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::path::Path;

use anyhow::Context;
use cresswheel_standins::{Record, What};

use crate::scene::Scene;

/// The rules by number.
pub const RULES: [&str; 5] = [
    "one final answer for each call, before its client's deadline",
    "no effect twice",
    "nothing new to a draining or gone worker past the grace",
    "no cold worker pushed over",
    "load orders within the ration",
];

/// What is judged of functions with versions.
const VERSIONS: &str = "one version for each call, and the answer names it";

/// What the rules mean in figures. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// Effects by class: `safe`, `unsafe`, `keyed GROUP MS`.
    pub effects: BTreeMap<String, String>,
    /// Aims by class.
    pub aims: BTreeMap<String, u64>,
    /// After a deadline an answer still counts for so long: the way to the client.
    pub answer_slack: u64,
    /// Nothing new later than this after a drain was told.
    pub drain_grace: u64,
    /// The ration's window (0: no ration), free orders, orders for each call.
    pub ration: (u64, f64, f64),
    /// What a frame's way may take.
    pub transit: u64,
}

impl Terms {
    /// The terms of a scene.
    pub fn of(scene: &Scene) -> Self {
        let class = |c: &crate::ClassSpec| (c.name.clone(), c.effect.clone());
        Self {
            effects: scene.classes.iter().map(class).collect(),
            aims: scene.classes.iter().map(|c| (c.name.clone(), c.aim_ms * 1_000)).collect(),
            answer_slack: 8_000,
            drain_grace: scene.terms.drain_grace_ms * 1_000,
            ration: (scene.terms.ration.0 * 1_000, scene.terms.ration.1, scene.terms.ration.2),
            transit: 100_000,
        }
    }
}

/// One rule's verdict.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RuleVerdict {
    /// Things that were looked at.
    pub looked_at: usize,
    /// What broke it.
    pub broken: Vec<String>,
}

/// What became of a class's calls.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassTable {
    /// Asked for.
    pub asked: usize,
    /// Served within the aim.
    pub in_time: usize,
    /// Served later.
    pub late: usize,
    /// Refused.
    pub refused: usize,
    /// Failed.
    pub failed: usize,
    /// Left by their clients.
    pub left: usize,
    /// Held by a gateway that was killed, or never reached one.
    pub gone: usize,
    /// Times of those served, in microseconds.
    pub took: Vec<u64>,
    /// Reasons of refusals and failures.
    pub reasons: BTreeMap<String, usize>,
}

/// The verdict on a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// By rule.
    pub rules: [RuleVerdict; 5],
    /// By class.
    pub classes: BTreeMap<String, ClassTable>,
    /// Lines of records that could not be read: a run without all its records proves nothing.
    pub unreadable: Vec<String>,
    /// Each call ran one version of its function, and its answer names that one, by its worker's bytes.
    pub versions: RuleVerdict,
    /// Calls served by version, as their answers say.
    pub served: BTreeMap<String, usize>,
    /// Memory that workers held, added up over time, in GB seconds; load orders for instances.
    pub held: (f64, usize),
    /// Deferred calls that were accepted and lost with a killed gateway: a broken promise that this version makes.
    pub deferred_lost: usize,
}

impl Verdict {
    /// Whether all rules held and all records were there.
    pub fn held(&self) -> bool {
        let rules = self.rules.iter().chain([&self.versions]);
        self.unreadable.is_empty() && rules.into_iter().all(|rule| rule.broken.is_empty())
    }
}

/// Reads all records of a folder. Lines that can't be read are told with their place; the last line of a killed
/// process may be cut, since it is what the kill cut off.
pub fn read_records(folder: &Path) -> anyhow::Result<(Vec<Record>, Vec<String>)> {
    let (mut records, mut unreadable) = (Vec::new(), Vec::new());
    let mut files: Vec<_> = std::fs::read_dir(folder)
        .with_context(|| folder.display().to_string())?
        .map(|entry| entry.map(|e| e.path()))
        .collect::<Result<_, _>>()?;
    files.sort();
    for file in files.iter().filter(|f| f.extension().is_some_and(|e| e == "jsonl")) {
        let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
        for (number, line) in text.lines().enumerate() {
            match serde_json::from_str::<Record>(line) {
                Ok(record) => records.push(record),
                Err(error) => unreadable.push(format!("{}:{}: {error}", file.display(), number + 1)),
            }
        }
    }
    records.sort_by_key(|record| record.at);
    Ok((records, unreadable))
}

/// A call as its client saw it.
#[derive(Default)]
struct Call {
    gateway: String,
    class: String,
    asked: u64,
    deadline: u64,
    deferred: bool,
    accepted: bool,
    answers: Vec<(u64, String, String)>,
    left: bool,
    gone: Option<(u64, bool)>,
}

/// A call at a worker.
struct Ran {
    at: u64,
    worker: String,
    began: bool,
    /// The ending, and whether the answer to it was sent.
    ending: Option<(String, bool)>,
}

const NEVER_RAN: [&str; 3] = ["full", "miss", "load-failed"];

/// Judges records, which must be in the order of time.
pub fn audit(records: &[Record], terms: &Terms) -> Verdict {
    let mut verdict = Verdict::default();
    let mut calls: BTreeMap<&str, Call> = BTreeMap::new();
    let mut runs: BTreeMap<&str, Vec<Ran>> = BTreeMap::new();
    // When gateways were killed, stopped and started, as the scene says.
    let mut ends: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    let mut strays = Vec::new();
    for record in records {
        match &record.what {
            What::Asked { trace, gateway, class, deferred, deadline } => {
                let call = calls.entry(trace).or_default();
                (call.gateway, call.class) = (gateway.clone(), class.clone());
                (call.asked, call.deadline, call.deferred) = (record.at, *deadline, *deferred);
            }
            What::Accepted { trace } => calls.entry(trace).or_default().accepted = true,
            What::Answered { trace, status, reason, .. } => match calls.get_mut(trace.as_str()) {
                Some(call) => call.answers.push((record.at, status.clone(), reason.clone())),
                None => strays.push(format!("an answer to nothing that was asked: {trace}, {status}")),
            },
            What::GaveUp { trace } => calls.entry(trace).or_default().left = true,
            What::GatewayGone { trace, unreached } => {
                calls.entry(trace).or_default().gone = Some((record.at, *unreached));
            }
            What::Run { trace, .. } => runs.entry(trace).or_default().push(Ran {
                at: record.at,
                worker: record.by.clone(),
                began: false,
                ending: None,
            }),
            What::Began { trace, .. } => {
                let last = runs.get_mut(trace.as_str()).and_then(|r| last_open(r, &record.by));
                last.into_iter().for_each(|run| run.began = true);
            }
            What::Ran { trace, ending, lost, .. } => {
                let last = runs.get_mut(trace.as_str()).and_then(|r| last_open(r, &record.by));
                last.into_iter().for_each(|run| run.ending = Some((ending.clone(), !lost)));
            }
            What::Scene { words } => {
                let end = words.strip_prefix("kill ").or(words.strip_prefix("stop "));
                end.into_iter().for_each(|name| ends.entry(name).or_default().push(record.at));
            }
            _ => {}
        }
    }
    verdict.rules[0] = one_answer(&calls, &ends, strays, terms);
    verdict.rules[1] = no_effect_twice(&calls, &runs, &zones(records), terms);
    verdict.rules[2] = drains(records, terms);
    verdict.rules[3] = cold_starts(records);
    verdict.rules[4] = ration(records, terms);
    (verdict.versions, verdict.served) = versions(records);
    verdict.held = held(records);
    verdict.classes = tables(&calls, terms);
    let lost = |c: &&Call| c.accepted && c.gone.is_some_and(|(_, unreached)| !unreached);
    verdict.deferred_lost = calls.values().filter(lost).count();
    verdict
}

fn last_open<'a>(runs: &'a mut [Ran], worker: &str) -> Option<&'a mut Ran> {
    runs.iter_mut().rev().find(|run| run.worker == worker && run.ending.is_none())
}

fn one_answer(
    calls: &BTreeMap<&str, Call>,
    ends: &BTreeMap<&str, Vec<u64>>,
    strays: Vec<String>,
    terms: &Terms,
) -> RuleVerdict {
    let mut broken = strays;
    for (trace, call) in calls {
        if call.answers.len() > 1 {
            broken.push(format!("{trace}: {} answers", call.answers.len()));
        }
        if let Some((at, status, _)) = call.answers.first() {
            if *at > call.deadline + terms.answer_slack {
                broken.push(format!("{trace}: {status} {} us after the deadline", at - call.deadline));
            }
        } else if let Some((at, unreached)) = call.gone {
            // A gateway owes nothing for what it held when it was killed; any other loss is its own.
            let mut killed = ends.get(call.gateway.as_str()).into_iter().flatten();
            if !unreached && !killed.any(|end| *end <= at + terms.transit) {
                broken.push(format!("{trace}: {} closed its connection unasked", call.gateway));
            }
        } else if !call.left {
            broken.push(format!("{trace}: no answer"));
        }
    }
    RuleVerdict { looked_at: calls.len(), broken }
}

fn no_effect_twice(
    calls: &BTreeMap<&str, Call>,
    runs: &BTreeMap<&str, Vec<Ran>>,
    zones: &BTreeMap<String, (String, u64)>,
    terms: &Terms,
) -> RuleVerdict {
    let mut broken = Vec::new();
    let mut looked_at = 0;
    for (trace, runs) in runs {
        let class = calls.get(trace).map_or("", |call| call.class.as_str());
        let effect = terms.effects.get(class).map_or("unsafe", String::as_str);
        if effect == "safe" {
            continue;
        }
        looked_at += 1;
        let refused = calls.get(trace).is_some_and(|c| c.answers.iter().any(|(_, s, _)| s == "refused"));
        let keyed: Vec<&str> = effect.split(' ').collect();
        let (group, memory) = match keyed[..] {
            ["keyed", group, ms] => (group, ms.parse::<u64>().unwrap_or(0) * 1_000),
            _ => ("none", 0),
        };
        let began = runs.iter().filter(|run| run.began).count();
        if group == "none" && began > 1 {
            broken.push(format!("{trace}: {class} ran {began} times"));
        }
        if refused && group != "all" && began > 0 {
            broken.push(format!("{trace}: {class} ran and was refused"));
        }
        for (number, run) in runs.iter().enumerate() {
            let free = run
                .ending
                .as_ref()
                .is_some_and(|(ending, sent)| *sent && NEVER_RAN.contains(&ending.as_str()));
            if free {
                continue;
            }
            if refused && group != "all" && !run.began && run.ending.is_none() {
                broken.push(format!("{trace}: {class} was refused while {} may have run it", run.worker));
            }
            for later in &runs[number + 1..] {
                let place = |worker: &str| zones.get(worker).cloned().unwrap_or_default();
                let (from, to) = (place(&run.worker), place(&later.worker));
                let near = match group {
                    "all" => true,
                    "zone" => from.0 == to.0,
                    "cell" => from.1 == to.1,
                    _ => false,
                };
                if !near || later.at > run.at + memory + terms.transit {
                    let (first, second) = (&run.worker, &later.worker);
                    broken.push(format!("{trace}: {class} went to {second} after {first} may have run it"));
                }
            }
        }
    }
    RuleVerdict { looked_at, broken }
}

/// What instances cost, beside their calls.
fn held(records: &[Record]) -> (f64, usize) {
    let end = records.last().map_or(0, |record| record.at);
    let mut now: BTreeMap<&str, (u64, u32)> = BTreeMap::new();
    let (mut mb_us, mut orders) = (0.0, 0);
    let sum = |(since, mb): (u64, u32), until: u64| f64::from(mb) * until.saturating_sub(since) as f64;
    for record in records {
        let mb = match record.what {
            What::Memory { mb } => mb,
            // A new life begins with nothing.
            What::Started { .. } => 0,
            What::Hold { count: 1.., .. } => {
                orders += 1;
                continue;
            }
            _ => continue,
        };
        let before = now.insert(&record.by, (record.at, mb));
        mb_us += before.map_or(0.0, |before| sum(before, record.at));
    }
    mb_us += now.into_values().map(|last| sum(last, end)).sum::<f64>();
    (mb_us / 1e9, orders)
}

/// Calls of functions with versions, which stand behind an `@` in the names that workers read.
fn versions(records: &[Record]) -> (RuleVerdict, BTreeMap<String, usize>) {
    let mut verdict = RuleVerdict::default();
    let mut served: BTreeMap<String, usize> = BTreeMap::new();
    let mut asked: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    // What ran to its end, by the bytes.
    let mut images: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for record in records {
        match &record.what {
            What::Run { trace, function, .. } => _ = asked.entry(trace).or_default().insert(function),
            What::Ran { trace, ending, image, .. } if ending == "ok" => {
                images.entry(trace).or_default().insert(image);
            }
            _ => {}
        }
    }
    for (trace, names) in asked.iter().filter(|(_, names)| names.iter().any(|name| name.contains('@'))) {
        verdict.looked_at += 1;
        if names.len() > 1 {
            verdict.broken.push(format!("{trace} went to workers as {names:?}"));
        }
    }
    for record in records {
        let What::Answered { trace, status, function, digest, .. } = &record.what else { continue };
        if status != "served" || !function.contains('@') {
            continue;
        }
        *served.entry(function.clone()).or_default() += 1;
        if !asked.get(trace.as_str()).is_some_and(|names| names.contains(function.as_str())) {
            verdict.broken.push(format!("{trace} was answered by {function}, which no worker was asked for"));
        }
        let ran = images.get(trace.as_str()).is_some_and(|images| images.contains(function.as_str()));
        if !ran || *digest != cresswheel_standins::digest(function) {
            verdict.broken.push(format!("{trace} was answered as {function} {digest}, and other bytes ran"));
        }
    }
    (verdict, served)
}

/// Zone and cell of each worker.
fn zones(records: &[Record]) -> BTreeMap<String, (String, u64)> {
    let zone = |record: &Record| match &record.what {
        What::Started { zone, cell, .. } => Some((record.by.clone(), (zone.clone(), *cell))),
        _ => None,
    };
    records.iter().filter_map(zone).collect()
}

fn drains(records: &[Record], terms: &Terms) -> RuleVerdict {
    let mut verdict = RuleVerdict::default();
    // Since when each gateway knows that each worker drains or is gone, and whom it knows.
    let mut barred: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    let mut known: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for record in records {
        match &record.what {
            What::Told { gateway, whole, workers } => {
                let known = known.entry(gateway).or_default();
                if *whole {
                    let named: BTreeSet<&str> = workers.iter().map(|(id, _)| id.as_str()).collect();
                    for gone in known.difference(&named) {
                        barred.entry((gateway, gone)).or_insert(record.at);
                    }
                }
                for (worker, standing) in workers {
                    known.insert(worker);
                    if standing == "in" {
                        barred.remove(&(&**gateway, &**worker));
                    } else {
                        barred.entry((gateway, worker)).or_insert(record.at);
                    }
                }
            }
            // A new life of a gateway knows only what it is told from now on.
            What::Scene { words } => {
                if let Some(name) = words.strip_prefix("start ") {
                    barred.retain(|(gateway, _), _| *gateway != name);
                    known.remove(name);
                }
            }
            What::Run { gateway, .. } | What::Hold { gateway, count: 1.., .. } => {
                verdict.looked_at += 1;
                let since = barred.get(&(gateway.as_str(), record.by.as_str()));
                if let Some(since) = since.filter(|at| record.at > *at + terms.drain_grace + terms.transit) {
                    let late = (record.at - since) / 1_000;
                    let worker = &record.by;
                    verdict.broken.push(format!("{gateway} sent to {worker} {late} ms after it was told"));
                }
            }
            _ => {}
        }
    }
    verdict
}

fn cold_starts(records: &[Record]) -> RuleVerdict {
    struct Life {
        started: u64,
        power: f64,
        fall: (f64, u64),
        cold_from: f64,
        warm_up: u64,
        sent: Vec<(u64, u64)>,
        fell: bool,
    }
    let mut verdict = RuleVerdict::default();
    let mut lives: BTreeMap<&str, Life> = BTreeMap::new();
    for record in records {
        match &record.what {
            What::Started { started, power, fall_multiple, fall_window, cold_from, warm_up, .. } => {
                let (started, power, cold_from, warm_up) = (*started, *power, *cold_from, *warm_up);
                let (fall, sent, fell) = ((*fall_multiple, *fall_window), Vec::new(), false);
                lives.insert(&record.by, Life { started, power, fall, cold_from, warm_up, sent, fell });
                verdict.looked_at += usize::from(started > 0);
            }
            What::Run { work, .. } => {
                let Some(life) = lives.get_mut(record.by.as_str()) else { continue };
                let age = record.at.saturating_sub(life.started);
                if life.started == 0 || age >= life.warm_up || life.fall.1 == 0 {
                    continue;
                }
                life.sent.push((record.at, *work));
                let window = life.fall.1;
                let sent =
                    life.sent.iter().filter(|(at, _)| at + window >= record.at).map(|(_, w)| w).sum::<u64>();
                let grown = age as f64 / life.warm_up.max(1) as f64;
                let capacity = life.power * (life.cold_from + (1.0 - life.cold_from) * grown);
                let bearable = life.fall.0 * capacity * window as f64;
                if sent as f64 > bearable && !life.fell {
                    life.fell = true;
                    let of = sent as f64 / bearable;
                    verdict.broken.push(format!("{} was sent {of:.2} times what it bears", record.by));
                }
            }
            What::Fell { .. } if lives.get(record.by.as_str()).is_none_or(|life| !life.fell) => {
                verdict.broken.push(format!("{} fell over", record.by));
            }
            _ => {}
        }
    }
    verdict
}

fn ration(records: &[Record], terms: &Terms) -> RuleVerdict {
    let mut verdict = RuleVerdict::default();
    let (window, free, per_call) = terms.ration;
    if window == 0 {
        return verdict;
    }
    let mut orders: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    let mut asked: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    let within = |times: Option<&Vec<u64>>, from: u64, to: u64| {
        times.map_or(0, |t| t.partition_point(|at| *at <= to) - t.partition_point(|at| *at < from))
    };
    // Calls are counted with the transit in the gateway's favour; read them first.
    for record in records {
        if let What::Asked { gateway, .. } = &record.what {
            asked.entry(gateway).or_default().push(record.at);
        }
    }
    for record in records {
        match &record.what {
            What::Scene { words } => {
                words.strip_prefix("start ").into_iter().for_each(|name| _ = orders.remove(name));
            }
            What::Hold { gateway, count: 1.., .. } => {
                verdict.looked_at += 1;
                orders.entry(gateway).or_default().push(record.at);
                let since = record.at.saturating_sub(window);
                let given = within(orders.get(gateway.as_str()), since + terms.transit, record.at);
                let calls =
                    within(asked.get(gateway.as_str()), since.saturating_sub(terms.transit), record.at);
                let allowed = free + per_call * calls as f64;
                if given as f64 > allowed {
                    verdict.broken.push(format!("{gateway} gave {given} orders for {calls} calls"));
                }
            }
            _ => {}
        }
    }
    verdict
}

fn tables(calls: &BTreeMap<&str, Call>, terms: &Terms) -> BTreeMap<String, ClassTable> {
    let mut tables: BTreeMap<String, ClassTable> = BTreeMap::new();
    for call in calls.values() {
        let table = tables.entry(call.class.clone()).or_default();
        table.asked += 1;
        let aim = terms.aims.get(&call.class).copied().unwrap_or(u64::MAX);
        match call.answers.first() {
            Some((at, status, reason)) => {
                let took = at.saturating_sub(call.asked);
                match status.as_str() {
                    "served" => {
                        table.took.push(took);
                        *(if took <= aim { &mut table.in_time } else { &mut table.late }) += 1;
                    }
                    "refused" => table.refused += 1,
                    _ => table.failed += 1,
                }
                if status != "served" {
                    *table.reasons.entry(format!("{status}: {reason}")).or_default() += 1;
                }
            }
            None if call.left => table.left += 1,
            None => table.gone += 1,
        }
    }
    tables.values_mut().for_each(|table| table.took.sort());
    tables
}

impl ClassTable {
    /// The time within which this part of the served calls was served, in milliseconds.
    pub fn quantile_ms(&self, part: f64) -> f64 {
        let at = ((self.took.len() as f64 * part).ceil() as usize).clamp(1, self.took.len().max(1)) - 1;
        self.took.get(at).map_or(f64::NAN, |us| *us as f64 / 1e3)
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let versions = [(&VERSIONS, &self.versions)];
        let versions = versions.into_iter().filter(|(_, verdict)| verdict.looked_at > 0);
        for (rule, verdict) in RULES.iter().zip(&self.rules).chain(versions) {
            let word = if verdict.broken.is_empty() { "held" } else { "BROKEN" };
            writeln!(f, "{word:6}  {rule} ({} looked at)", verdict.looked_at)?;
            for broken in verdict.broken.iter().take(5) {
                writeln!(f, "        {broken}")?;
            }
            if verdict.broken.len() > 5 {
                writeln!(f, "        and {} more", verdict.broken.len() - 5)?;
            }
        }
        for line in self.unreadable.iter().take(5) {
            writeln!(f, "records can't be read: {line}")?;
        }
        let (head, rest) =
            ("class", ["asked", "in time", "late", "refused", "failed", "left", "gone", "p50 ms", "p99 ms"]);
        write!(f, "\n{head:18}")?;
        rest.iter().try_for_each(|name| write!(f, "{name:>9}"))?;
        writeln!(f)?;
        for (class, t) in &self.classes {
            write!(f, "{class:18}")?;
            let counts = [t.asked, t.in_time, t.late, t.refused, t.failed, t.left, t.gone];
            counts.iter().try_for_each(|count| write!(f, "{count:9}"))?;
            writeln!(f, "{:9.1}{:9.1}", t.quantile_ms(0.5), t.quantile_ms(0.99))?;
        }
        for (class, t) in self.classes.iter().filter(|(_, t)| !t.reasons.is_empty()) {
            let reasons: Vec<String> =
                t.reasons.iter().map(|(why, count)| format!("{why} {count}")).collect();
            writeln!(f, "{class}: {}", reasons.join(", "))?;
        }
        let (memory, orders) = self.held;
        writeln!(f, "workers held {memory:.1} GB seconds of instances, gateways gave {orders} load orders")?;
        if !self.served.is_empty() {
            let all: Vec<String> = self.served.iter().map(|(name, n)| format!("{name} {n}")).collect();
            writeln!(f, "served by version: {}", all.join(", "))?;
        }
        if self.deferred_lost > 0 {
            writeln!(
                f,
                "{} deferred calls were lost with a killed gateway (docs/OPERATIONS.md)",
                self.deferred_lost
            )?;
        }
        Ok(())
    }
}
