//! The simulator's line protocol: parses lines into events and settings, and writes actions as lines.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::str::FromStr;

use cresswheel::{
    Action, Event, Outcome, Request, SettingPairError, SettingPairs, Settings, WorkerEntry, WorkerListUpdate,
    WorkerState,
};

/// One line: its name and its `key=value` fields, in any order.
pub struct Line<'a> {
    pub name: &'a str,
    fields: SettingPairs<'a>,
}

impl<'a> Line<'a> {
    pub fn parse(text: &'a str) -> Self {
        let mut parts = text.split(' ');
        let name = parts.next().unwrap_or("");
        Self { name, fields: parts.filter_map(|part| part.split_once('=')).collect() }
    }

    /// Adds the name of the line to an error.
    fn with_name<T>(&self, result: Result<T, SettingPairError>) -> Result<T, String> {
        result.map_err(|error| format!("{}: {error}", self.name))
    }

    pub fn get(&self, field: &str) -> Option<&str> {
        self.fields.get(field)
    }

    fn text(&self, field: &str) -> Result<&str, String> {
        self.with_name(self.fields.text(field))
    }

    pub fn number(&self, field: &str) -> Result<u64, String> {
        self.with_name(self.fields.number(field))
    }

    fn optional<T: FromStr>(&self, field: &str) -> Result<Option<T>, String> {
        self.with_name(self.fields.optional(field))
    }

    fn or<T: FromStr>(&self, field: &str, default: T) -> Result<T, String> {
        self.with_name(self.fields.or(field, default))
    }

    fn flag(&self, field: &str) -> bool {
        self.fields.flag(field)
    }
}

/// Indices of classes and tenants in the settings, by name.
pub struct NameIndex {
    classes: BTreeMap<String, usize>,
    tenants: BTreeMap<String, usize>,
}

impl NameIndex {
    pub fn of(settings: &Settings) -> Self {
        let classes = settings.classes.iter().enumerate().map(|(index, class)| (class.name.clone(), index));
        let tenants = settings.tenants.iter().enumerate().map(|(index, tenant)| (tenant.name.clone(), index));
        Self { classes: classes.collect(), tenants: tenants.collect() }
    }
}

/// The settings of an `ATTACH` line.
pub fn settings(line: &Line) -> Result<Settings, String> {
    line.with_name(line.fields.settings())
}

/// The worker of an `ENTRY` line.
pub fn entry(line: &Line) -> Result<WorkerEntry, String> {
    Ok(WorkerEntry {
        id: line.text("host")?.into(),
        zone: line.get("site").unwrap_or("").into(),
        kind: line.get("kind").unwrap_or("").into(),
        cell: line.or("cluster", 0)?,
        state: match line.text("condition")? {
            "IN" => WorkerState::InService,
            "LAME" => WorkerState::Draining,
            _ => WorkerState::OutOfService,
        },
        started: line.optional("born")?.filter(|time| *time > 0),
    })
}

/// The event of a line; `None` for a line that means nothing to the module. `worker_lists` has the lists
/// received so far, by their `ref`.
pub fn event(
    line: &Line,
    indices: &NameIndex,
    worker_lists: &BTreeMap<u64, Vec<WorkerEntry>>,
) -> Result<Option<Event>, String> {
    let request = || line.text("request_id").map(Into::into);
    Ok(Some(match line.name {
        "SUBMIT" => Event::Arrived(Request {
            id: request()?,
            class: indices.classes.get(line.text("class")?).copied().unwrap_or(usize::MAX),
            tenant: line.get("team").and_then(|team| indices.tenants.get(team).copied()),
            function: line.text("callee")?.into(),
            time_left: line.number("time_left")?,
            memory_mb: line.optional("footprint_mb")?,
            concurrency: line.optional::<f64>("at_once")?.map(|lanes| lanes as u32),
            load_time: line.optional::<f64>("cold_ms")?.map(|ms| (ms * 1e3) as u64),
        }),
        "REPORT_BACK" => {
            let outcome = outcome(line)?;
            let detail: u32 = line.or("detail", 0)?;
            Event::AttemptEnded {
                request: request()?,
                attempt: line.number("round_no")? as usize,
                worker: line.text("host")?.into(),
                outcome,
                elapsed: line.number("elapsed")?,
                answered: line.flag("done_flag"),
                worker_in_flight: Some(detail / 8),
                load_failed: matches!(outcome, Outcome::Error | Outcome::Miss) && detail & 4 != 0,
            }
        }
        "BEGUN" => Event::StreamStarted { request: request()?, attempt: line.number("round_no")? as usize },
        "VANISHED" => Event::ClientLeft(request()?),
        "DISCOVERY" => {
            let entries = || {
                let number = line.number("ref")?;
                worker_lists
                    .get(&number)
                    .cloned()
                    .ok_or_else(|| format!("DISCOVERY: ref names no list: {number}"))
            };
            Event::List(match line.text("mode")? {
                "lost" => WorkerListUpdate::Unavailable,
                "incr" => WorkerListUpdate::Changes(entries()?),
                _ => WorkerListUpdate::Complete(entries()?),
            })
        }
        "IN_PLACE" => Event::PrewarmEnded {
            worker: line.text("host")?.into(),
            function: line.text("callee")?.into(),
            outcome: outcome(line)?,
            elapsed: line.number("elapsed")?,
            loaded_instances: line.or("count", 0)?,
        },
        "HEALTH_RESULT" => Event::Probed { worker: line.text("host")?.into(), outcome: outcome(line)? },
        "DUE" => Event::Wake,
        _ => return Ok(None),
    }))
}

fn outcome(line: &Line) -> Result<Outcome, String> {
    Ok(match line.number("result")? {
        0 => Outcome::Error,
        1 => Outcome::Ok,
        2 => Outcome::Full,
        3 => Outcome::Timeout,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        7 => Outcome::NotSent,
        8 => Outcome::Miss,
        other => return Err(format!("{}: bad result: {other}", line.name)),
    })
}

/// Writes one action as a line.
pub fn write_action(reply: &mut String, i: u32, action: &Action) {
    let written = match action {
        Action::Send { request, worker, timeout } => {
            writeln!(reply, "HAND_OFF i={i} request_id={request} host={worker} within={timeout}")
        }
        Action::Cancel { request, attempt } => {
            writeln!(reply, "UNDO_SEND i={i} request_id={request} round_no={attempt}")
        }
        Action::Refuse { request, retry_after } => {
            writeln!(reply, "BOUNCE i={i} request_id={request} pause={}", retry_after.unwrap_or(0))
        }
        Action::Fail { request } => writeln!(reply, "LOSE i={i} request_id={request}"),
        Action::Hold { worker, function, count } => {
            writeln!(reply, "WARM_UP i={i} host={worker} callee={function} count={count}")
        }
        Action::Drop { worker, function } => writeln!(reply, "EVICT i={i} host={worker} callee={function}"),
        Action::Probe { worker } => writeln!(reply, "CHECK i={i} host={worker}"),
        // The simulator keeps no state per function.
        Action::Forget(_) => Ok(()),
        Action::Follow => writeln!(reply, "KEEP_INFORMED i={i} want=1"),
        Action::WakeAfter(span) => writeln!(reply, "REMIND i={i} from_now={span} tag=wake"),
        Action::Log(text) => writeln!(reply, "PRINT i={i} what={text}"),
    };
    debug_assert!(written.is_ok(), "a string takes any text");
}

/// Writes a `BROKEN` line: an instance could not be created or has panicked.
pub fn write_failure(reply: &mut String, i: u32, text: &str) {
    let text = text.replace(['\n', '\r'], " ");
    let written = writeln!(reply, "BROKEN i={i} what={text}");
    debug_assert!(written.is_ok(), "a string takes any text");
}
