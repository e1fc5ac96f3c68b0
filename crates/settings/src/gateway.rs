//! Sections to a gateway's settings.

use std::path::Path;

use cresswheel::{Class, ColdStart, Effect, Group, OrderRation, Settings, Tenant, WhenAbsent};
use cresswheel_engine::{AdmissionLimits, EngineSettings, ResultLimits};
use cresswheel_gateway::{GatewaySettings, ShellLimits, VersionSettings};
use cresswheel_protocol::{Listed, Standing};

use crate::Fault;
use crate::fields::Fields;
use crate::raw::{Place, Raw, Section};

const S: u64 = 1_000_000;
const MS: u64 = 1_000;

pub fn check(path: &Path, sections: Vec<Section>) -> Result<GatewaySettings, Vec<Fault>> {
    let mut faults = Vec::new();
    let mut settings = absent();
    let mut seen: Vec<(String, Place)> = Vec::new();
    for section in sections {
        let (kind, place) = (section.kind.clone(), section.place.clone());
        let once = !matches!(kind.as_str(), "call_class" | "tenant" | "worker");
        if let Some((_, first)) = seen.iter().find(|(other, _)| *other == kind).filter(|_| once) {
            let what = format!("{kind}: a second one, the first stands at {first}");
            faults.push(Fault { place: place.clone(), what });
        }
        if crate::plan::SECTIONS.contains(&kind.as_str()) {
            let what = format!("{kind}(...) belongs in a plan, not in a gateway's settings");
            faults.push(Fault { place: place.clone(), what });
            continue;
        }
        if crate::scale::SECTIONS.contains(&kind.as_str()) {
            let what = format!("{kind}(...) belongs in a scale scenario, not in a gateway's settings");
            faults.push(Fault { place: place.clone(), what });
            continue;
        }
        seen.push((kind.clone(), place));
        let mut fields = Fields::new(section, &mut faults);
        match kind.as_str() {
            "gateway" => gateway(&mut fields, &mut settings),
            "fleet" => fleet(&mut fields, &mut settings.engine.module),
            "call_class" => class(&mut fields, &mut settings.engine.module),
            "tenant" => tenant(&mut fields, &mut settings.engine.module),
            "cold_start" => cold_start(&mut fields, &mut settings.engine.module),
            "versions" => versions(&mut fields, &mut settings),
            "ration" => ration(&mut fields, &mut settings.engine.module),
            "worker" => worker(&mut fields, &mut settings.workers),
            _ => limits(&mut fields, &mut settings),
        }
        fields.end();
    }
    let top = Place { file: path.display().to_string(), line: 1, column: 1 };
    for needed in ["gateway", "call_class"] {
        if !seen.iter().any(|(kind, _)| kind == needed) {
            faults.push(Fault { place: top.clone(), what: format!("there is no {needed}(...)") });
        }
    }
    if faults.is_empty() {
        whole(&settings, &seen, &top, &mut faults);
    }
    if faults.is_empty() { Ok(settings) } else { Err(faults) }
}

/// What holds where nothing is said.
fn absent() -> GatewaySettings {
    let module = Settings {
        tick: MS,
        keep_alive: 10 * S,
        most_instances: 1,
        when_absent: WhenAbsent::Miss,
        may_order: true,
        tells_crowd: true,
        order_timeout: 10 * S,
        may_cancel: true,
        may_probe: true,
        max_attempts: 4,
        connect_timeout: 250 * MS,
        drain_grace: S,
        ask_within: 10 * S,
        ..Settings::default()
    };
    GatewaySettings {
        name: String::new(),
        engine: EngineSettings {
            module,
            admission: AdmissionLimits::default(),
            results: ResultLimits::default(),
            answer_margin: 10 * MS,
            most_time: 600 * S,
            deferred_time: 60 * S,
        },
        listen: ([127, 0, 0, 1], 0).into(),
        http: None,
        list: Vec::new(),
        workers: Vec::new(),
        state: None,
        holders: None,
        versions: None,
        shell: ShellLimits::default(),
    }
}

fn gateway(f: &mut Fields, to: &mut GatewaySettings) {
    to.name = f.needed_text("name");
    to.listen = f.needed_address("listen");
    to.http = f.address("http");
    to.list = f.addresses("list");
    to.state = f.text("state").map(Into::into);
    to.holders = f.optional_count("holders", (0, 64));
    let module = &mut to.engine.module;
    module.zone = f.text("zone").unwrap_or_default();
    module.tick = f.time("tick", module.tick);
    to.engine.answer_margin = f.time("answer_margin", to.engine.answer_margin);
    to.engine.most_time = f.time("most_time", to.engine.most_time);
    to.engine.deferred_time = f.time("deferred_time", to.engine.deferred_time);
    let (tick, margin) = (module.tick, to.engine.answer_margin);
    f.must(tick > 0 && tick <= S, "tick must be above zero and at most s(1)");
    f.must(margin >= 2 * tick, "answer_margin must be two ticks at least, or last answers come late");
    f.must(to.engine.deferred_time <= to.engine.most_time, "deferred_time is longer than most_time");
    f.must(to.name.len() <= 100, "name must have 100 bytes at most");
}

fn fleet(f: &mut Fields, to: &mut Settings) {
    to.gateways = f.count("gateways", 1, (1, 1_000_000)) as u32;
    to.keep_alive = f.time("keep_alive", to.keep_alive);
    let words = [("load", WhenAbsent::Load), ("miss", WhenAbsent::Miss)];
    to.when_absent = f.word("when_absent", &words).unwrap_or(to.when_absent);
    to.may_order = f.flag("may_order", to.may_order);
    to.may_cancel = f.flag("may_cancel", to.may_cancel);
    to.may_probe = f.flag("may_probe", to.may_probe);
    to.may_duplicate = f.flag("may_duplicate", to.may_duplicate);
    to.tells_crowd = f.flag("tells_crowd", to.tells_crowd);
    to.must_follow = f.flag("must_follow", to.must_follow);
    to.ask_within = f.time("ask_within", to.ask_within);
    to.most_instances = f.count("most_instances", to.most_instances, (1, 1_000));
    to.order_timeout = f.time("order_timeout", to.order_timeout);
    to.connect_timeout = f.time("connect_timeout", to.connect_timeout);
    to.drain_grace = f.time("drain_grace", to.drain_grace);
    to.max_attempts = f.count("max_attempts", to.max_attempts, (1, 100));
    to.retry_after = f.flag("retry_after", to.retry_after);
    to.max_retry_after = f.time("max_retry_after", to.max_retry_after);
    to.over_quota_worth = f.number("over_quota_worth", to.over_quota_worth, (0.0, 1.0));
    to.kind_memory_mb = f.memories("kind_memory").into_iter().collect();
    let loads = to.when_absent == WhenAbsent::Load || to.may_order;
    f.must(loads, "when_absent = \"miss\" with may_order = False: nothing would ever be loaded");
    f.must(to.keep_alive > 0, "keep_alive must be above zero");
    f.must(to.connect_timeout > 0, "connect_timeout must be above zero");
    f.must(to.order_timeout > 0, "order_timeout must be above zero");
}

fn class(f: &mut Fields, to: &mut Settings) {
    let name = f.needed_text("name");
    let (aim, give_up) = (f.needed_time("aim"), f.needed_time("give_up"));
    let effect = match f.any("effect") {
        None => {
            f.must(false, "effect is missing: \"safe\", \"unsafe\" or keyed(group = ..., memory = ...)");
            Effect::Unsafe
        }
        Some((value, place)) => match &value {
            Raw::Text(word) if word == "safe" => Effect::Safe,
            Raw::Text(word) if word == "unsafe" => Effect::Unsafe,
            Raw::Keyed(group, memory) if *memory > 0 => {
                let group = match group.as_str() {
                    "all" => Some(Group::All),
                    "zone" => Some(Group::Zone),
                    "cell" => Some(Group::Cell),
                    _ => None,
                };
                if group.is_none() {
                    let wanted = "a group of \"all\", \"zone\" or \"cell\" is wanted";
                    f.fault(place, format!("effect = {value}: {wanted}"));
                }
                Effect::Keyed { group: group.unwrap_or(Group::Cell), memory: *memory }
            }
            _ => {
                let wanted = "\"safe\", \"unsafe\" or keyed(group = ..., memory = s(5)) is wanted";
                f.fault(place, format!("effect = {value}: {wanted}"));
                Effect::Unsafe
            }
        },
    };
    let streamed = false;
    let worth = f.number("worth", 1.0, (0.0, 1e9));
    let late_worth = f.number("late_worth", 0.0, (0.0, 1.0));
    f.must(aim <= give_up, "aim is longer than give_up");
    f.must(aim > 0, "aim must be above zero");
    let twice = to.classes.iter().any(|class| class.name == name);
    f.must(!twice, &format!("a second class of the name {name:?}"));
    to.classes.push(Class { name, aim, give_up, effect, streamed, worth, late_worth });
}

fn tenant(f: &mut Fields, to: &mut Settings) {
    let name = f.needed_text("name");
    let quota_per_s = f.number("quota_per_s", f64::INFINITY, (0.0, f64::INFINITY));
    let twice = to.tenants.iter().any(|tenant| tenant.name == name);
    f.must(!twice, &format!("a second tenant of the name {name:?}"));
    to.tenants.push(Tenant { name, quota_per_s });
}

fn cold_start(f: &mut Fields, to: &mut Settings) {
    let cold = &to.cold;
    to.cold = ColdStart {
        from: f.number("from_share", cold.from, (0.001, 1.0)),
        warm_up: f.time("warm_up", cold.warm_up),
        multiple: f.number("multiple", cold.multiple, (0.001, 1e6)),
        window: f.time("window", cold.window),
    };
}

fn ration(f: &mut Fields, to: &mut Settings) {
    let ration = OrderRation {
        window: f.needed_time("window"),
        free: f.number("free", 0.0, (0.0, 1e9)),
        per_request: f.number("per_call", 0.0, (0.0, 1e9)),
    };
    f.must(ration.window > 0, "window must be above zero");
    to.ration = Some(ration);
}

/// Shortest order key, in bytes.
const LEAST_KEY: usize = 16;

fn versions(f: &mut Fields, to: &mut GatewaySettings) {
    let file = f.text("key_file");
    let open = f.flag("open", false);
    f.must(
        file.is_some() != open,
        "key_file = \"...\" is wanted, or open = True: whoever reaches it may order",
    );
    let mut key = String::new();
    if let Some(file) = file {
        match std::fs::read_to_string(&file) {
            Ok(text) => {
                key = text.trim().to_owned();
                let long = (LEAST_KEY..=cresswheel_protocol::MAX_NAME).contains(&key.len());
                f.must(long, &format!("key_file = {file:?}: a key has from {LEAST_KEY} to 512 bytes"));
            }
            Err(error) => f.must(false, &format!("key_file = {file:?}: {error}")),
        }
    }
    to.versions = Some(VersionSettings { key });
}

fn worker(f: &mut Fields, to: &mut Vec<Listed>) {
    let address = f.needed_address("address").to_string();
    let id = f.text("id").unwrap_or_else(|| address.clone());
    let twice = to.iter().any(|worker| worker.id == id);
    f.must(!twice, &format!("a second worker of the id {id:?}"));
    to.push(Listed {
        id,
        address,
        zone: f.text("zone").unwrap_or_default(),
        kind: f.text("kind").unwrap_or_default(),
        cell: f.count("cell", 0, (0, usize::MAX >> 1)) as u64,
        standing: Standing::In,
        started: 0,
    });
}

fn limits(f: &mut Fields, to: &mut GatewaySettings) {
    const MOST: usize = 1 << 40;
    let admission = &mut to.engine.admission;
    admission.open_calls = f.count("open_calls", admission.open_calls, (1, MOST));
    admission.open_bytes = f.size("open_bytes", admission.open_bytes);
    admission.per_connection = f.count("calls_per_connection", admission.per_connection, (1, MOST));
    admission.functions = f.count("functions", admission.functions, (1, MOST));
    let per_connection = admission.per_connection;
    let results = &mut to.engine.results;
    results.keep = f.time("results_keep", results.keep);
    results.bytes = f.size("results_bytes", results.bytes);
    let shell = &mut to.shell;
    shell.stop_within = f.time("stop_within", shell.stop_within);
    let clients = &mut shell.clients;
    clients.frame = f.size("frame", clients.frame);
    f.must((1_024..=1 << 30).contains(&clients.frame), "frame must be from kb(1) to mb(1024)");
    clients.http_head = f.size("http_head", clients.http_head);
    clients.http_headers = f.count("http_headers", clients.http_headers, (1, 10_000));
    clients.http_body = f.size("http_body", clients.http_body);
    clients.out = f.size("out_buffer", clients.out);
    clients.backlog = f.size("client_backlog", clients.backlog);
    f.must(clients.backlog < clients.out, "client_backlog must be below out_buffer");
    clients.per_connection = per_connection;
    let door = &mut clients.door;
    // A connection's name has 20 bits for its place.
    door.connections = f.count("connections", door.connections, (1, 1 << 26));
    door.accepts_per_s = f.count("accepts_per_s", door.accepts_per_s as usize, (1, 1_000_000)) as u64;
    door.evict_after = f.time("evict_after", door.evict_after);
    door.idle = f.time("client_idle", door.idle);
    door.half = f.time("half_request", door.half);
    door.half_bytes = f.size("half_bytes", door.half_bytes);
    door.stall = f.time("read_stall", door.stall);
    door.ping_after = f.time("ping_after", door.ping_after);
    door.ping_wait = f.time("ping_wait", door.ping_wait);
    door.pings_per_s = f.count("pings_per_s", door.pings_per_s as usize, (0, 1_000_000)) as u64;
    door.leave_over = f.time("leave_over", door.leave_over.min(shell.stop_within / 2));
    f.must(door.half > 0, "half_request must be above zero");
    f.must(door.stall > 0, "read_stall must be above zero");
    f.must(door.ping_wait > 0, "ping_wait must be above zero");
    f.must(door.half_bytes >= clients.frame.min(clients.http_body), "half_bytes is below one message");
    let leave_over = door.leave_over;
    let intake = &mut shell.intake;
    intake.calls = f.count("intake_calls", intake.calls, (1, MOST));
    intake.per_turn = f.count("calls_per_turn", intake.per_turn, (1, 100_000));
    intake.share = f.number("intake_share", intake.share, (0.01, 1.0));
    intake.hold = f.time("intake_hold", intake.hold);
    intake.return_after = f.time("return_after", intake.return_after);
    intake.most_return = f.time("most_return", intake.most_return);
    f.must(intake.return_after <= intake.most_return, "return_after is longer than most_return");
    shell.worker_connections = f.count("worker_connections", shell.worker_connections, (1, 1_000));
    shell.worker_streams = f.count("worker_streams", shell.worker_streams, (1, 100_000));
    shell.worker_idle = f.time("worker_idle", shell.worker_idle);
    shell.list_retry = f.time("list_retry", shell.list_retry);
    f.must(
        leave_over < shell.stop_within || leave_over == 0,
        "leave_over must be below stop_within, or some are never asked",
    );
}

/// What no section can see alone.
fn whole(settings: &GatewaySettings, seen: &[(String, Place)], top: &Place, faults: &mut Vec<Fault>) {
    let at =
        |kind: &str| seen.iter().find(|(k, _)| k == kind).map_or(top.clone(), |(_, place)| place.clone());
    let mut fault = |kind: &str, what: String| faults.push(Fault { place: at(kind), what });
    let engine = &settings.engine;
    let shortest = engine.module.classes.iter().map(|class| class.aim).min().unwrap_or(u64::MAX);
    if engine.answer_margin * 2 > shortest {
        let shortest = Raw::Time(shortest);
        let margin = Raw::Time(engine.answer_margin);
        fault("gateway", format!("answer_margin = {margin} takes over half of the shortest aim, {shortest}"));
    }
    for class in &engine.module.classes {
        if class.give_up > engine.most_time {
            let (name, give_up, most) = (&class.name, Raw::Time(class.give_up), Raw::Time(engine.most_time));
            fault("call_class", format!("{name:?}: give_up = {give_up} is longer than most_time, {most}"));
        }
    }
    if settings.versions.is_some() && settings.state.is_none() {
        fault("versions", "orders are written down: state = \"...\" is wanted in gateway(...)".into());
    }
    if settings.list.is_empty() && settings.workers.is_empty() {
        fault("gateway", "neither a list nor a worker(...): there is nothing to send calls to".into());
    }
    if let Err(error) = engine.module.check() {
        fault("gateway", error.to_string());
    }
}
