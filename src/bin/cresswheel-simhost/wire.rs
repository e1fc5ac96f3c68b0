//! Lines of the wire to events and settings, actions to lines.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::str::FromStr;

use cresswheel::{
    Action, Class, ColdStart, Effect, Event, Group, ListNews, OrderRation, Outcome, Request, Settings,
    Tenant, WhenAbsent, WorkerEntry, WorkerState,
};

/// One line: its name, and its fields in any order.
pub struct Line<'a> {
    pub name: &'a str,
    fields: BTreeMap<&'a str, &'a str>,
}

impl<'a> Line<'a> {
    pub fn parse(text: &'a str) -> Self {
        let mut parts = text.split(' ');
        let name = parts.next().unwrap_or("");
        Self { name, fields: parts.filter_map(|part| part.split_once('=')).collect() }
    }

    pub fn get(&self, field: &str) -> Option<&'a str> {
        self.fields.get(field).copied()
    }

    fn text(&self, field: &str) -> Result<&'a str, String> {
        self.get(field).ok_or_else(|| format!("{}: no {field}", self.name))
    }

    pub fn number(&self, field: &str) -> Result<u64, String> {
        self.optional(field)?.ok_or_else(|| format!("{}: no {field}", self.name))
    }

    fn optional<T: FromStr>(&self, field: &str) -> Result<Option<T>, String> {
        let bad = |text| format!("{}: bad {field}: {text}", self.name);
        self.get(field).map(|text| text.parse().map_err(|_| bad(text))).transpose()
    }

    fn or<T: FromStr>(&self, field: &str, absent: T) -> Result<T, String> {
        Ok(self.optional(field)?.unwrap_or(absent))
    }

    fn flag(&self, field: &str) -> bool {
        matches!(self.get(field), Some("1" | "true"))
    }

    fn list(&self, field: &str) -> Vec<&'a str> {
        self.get(field).unwrap_or("").split(',').filter(|item| !item.is_empty()).collect()
    }
}

/// Positions of the names that requests use.
pub struct Names {
    classes: BTreeMap<String, usize>,
    tenants: BTreeMap<String, usize>,
}

impl Names {
    pub fn of(settings: &Settings) -> Self {
        let classes = settings.classes.iter().enumerate().map(|(at, class)| (class.name.clone(), at));
        let tenants = settings.tenants.iter().enumerate().map(|(at, tenant)| (tenant.name.clone(), at));
        Self { classes: classes.collect(), tenants: tenants.collect() }
    }
}

pub fn settings(line: &Line) -> Result<Settings, String> {
    let absent = Settings::default();
    let mut classes = Vec::new();
    for at in 0..line.or("profiles.count", 0)? {
        let key = |name: &str| format!("profiles.{at}.{name}");
        let group = match line.get(&key("key_scope")) {
            Some("zone") => Group::Zone,
            Some("cell") => Group::Cell,
            _ => Group::All,
        };
        classes.push(Class {
            name: line.text(&key("name"))?.into(),
            aim: line.number(&key("aim"))?,
            give_up: line.number(&key("give_up"))?,
            effect: match line.text(&key("semantics"))? {
                "idempotent" => Effect::Safe,
                "deduplicated" => Effect::Keyed { group, memory: line.or(&key("memory_span"), 0)? },
                _ => Effect::Unsafe,
            },
            streamed: line.flag(&key("streamed")),
            worth: line.or(&key("value"), 1.0)?,
            late_worth: line.or(&key("late_value"), 0.0)?,
        });
    }
    let mut tenants = Vec::new();
    for at in 0..line.or("customers.count", 0)? {
        tenants.push(Tenant {
            name: line.text(&format!("customers.{at}.name"))?.into(),
            quota_per_s: line.or(&format!("customers.{at}.quota_per_s"), f64::INFINITY)?,
        });
    }
    let window = line.or("specifics.load_span", 0)?;
    let ration = OrderRation {
        window,
        free: line.or("specifics.loads_anyway", 0.0)?,
        per_request: line.or("specifics.loads_per_request", 0.0)?,
    };
    let memory = line.list("specifics.kind_memory_mb").into_iter().map(|text| text.parse().unwrap_or(0.0));
    Ok(Settings {
        gateways: line.or("balancers", absent.gateways)?,
        zone: line.get("zone").unwrap_or("").into(),
        tick: line.or("tick", absent.tick)?,
        classes,
        tenants,
        over_quota_worth: line.or("over_share_worth", absent.over_quota_worth)?,
        must_follow: line.get("discovery") == Some("subscribe"),
        ask_within: line.or("rules.ask_within", absent.ask_within)?,
        keep_alive: line.or("specifics.keep_alive", absent.keep_alive)?,
        when_absent: match line.get("specifics.when_absent") {
            Some("miss") => WhenAbsent::Miss,
            _ => WhenAbsent::Load,
        },
        may_order: line.flag("specifics.may_load"),
        tells_crowd: line.flag("specifics.counts_alike"),
        ration: (window > 0).then_some(ration),
        order_timeout: line.or("specifics.load_wait", absent.order_timeout)?,
        may_cancel: line.flag("limits.cancel"),
        may_probe: line.flag("limits.probes"),
        may_duplicate: line.flag("limits.may_duplicate"),
        max_attempts: line.or("limits.max_attempts", absent.max_attempts)?,
        retry_after: line.flag("limits.retry_after"),
        max_retry_after: line.or("limits.max_retry_after", absent.max_retry_after)?,
        connect_timeout: line.or("limits.connect_timeout", absent.connect_timeout)?,
        drain_grace: line.or("rules.drain_grace", absent.drain_grace)?,
        cold: ColdStart {
            from: line.or("rules.cold_from", absent.cold.from)?,
            warm_up: line.or("rules.warm_up", absent.cold.warm_up)?,
            multiple: line.or("rules.tip_multiple", absent.cold.multiple)?,
            window: line.or("rules.fall", absent.cold.window)?,
        },
        kind_memory_mb: line.list("kinds").into_iter().map(String::from).zip(memory).collect(),
    })
}

pub fn entry(line: &Line) -> Result<WorkerEntry, String> {
    Ok(WorkerEntry {
        id: line.text("host")?.into(),
        zone: line.get("site").unwrap_or("").into(),
        kind: line.get("kind").unwrap_or("").into(),
        cell: line.or("cluster", 0)?,
        state: match line.text("condition")? {
            "IN" => WorkerState::In,
            "LAME" => WorkerState::Draining,
            _ => WorkerState::Out,
        },
        started: line.optional("born")?.filter(|at| *at > 0),
    })
}

pub fn event(
    line: &Line,
    names: &Names,
    lists: &BTreeMap<u64, Vec<WorkerEntry>>,
) -> Result<Option<Event>, String> {
    let request = || line.text("request_id").map(Into::into);
    Ok(Some(match line.name {
        "SUBMIT" => Event::Arrived(Request {
            id: request()?,
            class: names.classes.get(line.text("class")?).copied().unwrap_or(usize::MAX),
            tenant: line.get("team").and_then(|team| names.tenants.get(team).copied()),
            function: line.text("callee")?.into(),
            time_left: line.number("time_left")?,
            memory_mb: line.optional("footprint_mb")?,
            lanes: line.optional::<f64>("at_once")?.map(|lanes| lanes as u32),
            load_time: line.optional::<f64>("cold_ms")?.map(|ms| (ms * 1e3) as u64),
        }),
        "REPORT_BACK" => {
            let outcome = outcome(line)?;
            let detail: u32 = line.or("detail", 0)?;
            Event::Ended {
                request: request()?,
                attempt: line.number("round_no")? as usize,
                worker: line.text("host")?.into(),
                outcome,
                elapsed: line.number("elapsed")?,
                answered: line.flag("done_flag"),
                crowd: Some(detail / 8),
                load_failed: matches!(outcome, Outcome::Error | Outcome::Miss) && detail & 4 != 0,
            }
        }
        "BEGUN" => Event::Begun { request: request()?, attempt: line.number("round_no")? as usize },
        "VANISHED" => Event::Gone(request()?),
        "DISCOVERY" => {
            let entries = || {
                let number = line.number("ref")?;
                lists.get(&number).cloned().ok_or_else(|| format!("DISCOVERY: ref names no list: {number}"))
            };
            Event::List(match line.text("mode")? {
                "lost" => ListNews::Lost,
                "incr" => ListNews::Changes(entries()?),
                _ => ListNews::Whole(entries()?),
            })
        }
        "IN_PLACE" => Event::Held {
            worker: line.text("host")?.into(),
            function: line.text("callee")?.into(),
            outcome: outcome(line)?,
            elapsed: line.number("elapsed")?,
            standing: line.or("count", 0)?,
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
        7 => Outcome::Moot,
        8 => Outcome::Miss,
        other => return Err(format!("{}: bad result: {other}", line.name)),
    })
}

/// One action, on a line of its own.
pub fn action(reply: &mut String, i: u32, action: &Action) {
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
        Action::Follow => writeln!(reply, "KEEP_INFORMED i={i} want=1"),
        Action::WakeAfter(span) => writeln!(reply, "REMIND i={i} from_now={span} tag=wake"),
        Action::Log(text) => writeln!(reply, "PRINT i={i} what={text}"),
    };
    debug_assert!(written.is_ok(), "a string takes any text");
}

/// The decision code has failed.
pub fn broken(reply: &mut String, i: u32, text: &str) {
    let text = text.replace(['\n', '\r'], " ");
    let written = writeln!(reply, "BROKEN i={i} what={text}");
    debug_assert!(written.is_ok(), "a string takes any text");
}
