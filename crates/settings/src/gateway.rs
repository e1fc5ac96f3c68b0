//! Checks the sections of a gateway's settings.

use std::path::Path;

use cresswheel::{Class, ColdStart, Effect, Group, MissPolicy, OrderRateLimit, Settings, Tenant};
use cresswheel_engine::{AdmissionLimits, EngineSettings, ResultLimits};
use cresswheel_gateway::{GatewayLimits, GatewaySettings, VersionSettings};
use cresswheel_protocol::{ListedWorker, MemberState};

use crate::SettingsError;
use crate::fields::Fields;
use crate::raw::{Location, RawValue, Section};

/// One second, in microseconds.
const SECOND: u64 = 1_000_000;
/// One millisecond, in microseconds.
const MILLISECOND: u64 = 1_000;

/// Builds the settings.
pub fn check(path: &Path, sections: Vec<Section>) -> Result<GatewaySettings, Vec<SettingsError>> {
    let mut errors = Vec::new();
    let mut settings = default_settings();
    let mut seen: Vec<(String, Location)> = Vec::new();
    for section in sections {
        let (kind, location) = (section.kind.clone(), section.place.clone());
        let is_unique = !matches!(kind.as_str(), "call_class" | "tenant" | "worker");
        if let Some((_, first)) = seen.iter().find(|(other, _)| *other == kind).filter(|_| is_unique) {
            let message = format!("{kind}: a second one, the first is at {first}");
            errors.push(SettingsError { location: location.clone(), message });
        }
        if crate::plan::SECTIONS.contains(&kind.as_str()) {
            let message = format!("{kind}(...) belongs in a plan, not in a gateway's settings");
            errors.push(SettingsError { location: location.clone(), message });
            continue;
        }
        if crate::scale::SECTIONS.contains(&kind.as_str()) {
            let message = format!("{kind}(...) belongs in a scale scenario, not in a gateway's settings");
            errors.push(SettingsError { location: location.clone(), message });
            continue;
        }
        seen.push((kind.clone(), location));
        let mut fields = Fields::new(section, &mut errors);
        match kind.as_str() {
            "gateway" => read_gateway(&mut fields, &mut settings),
            "fleet" => read_fleet(&mut fields, &mut settings.engine.dispatcher),
            "call_class" => read_class(&mut fields, &mut settings.engine.dispatcher),
            "tenant" => read_tenant(&mut fields, &mut settings.engine.dispatcher),
            "cold_start" => read_cold_start(&mut fields, &mut settings.engine.dispatcher),
            "versions" => read_versions(&mut fields, &mut settings),
            "ration" => read_ration(&mut fields, &mut settings.engine.dispatcher),
            "worker" => read_worker(&mut fields, &mut settings.workers),
            _ => read_limits(&mut fields, &mut settings),
        }
        fields.finish();
    }
    let script_start = Location { file: path.display().to_string(), line: 1, column: 1 };
    for required in ["gateway", "call_class"] {
        if !seen.iter().any(|(kind, _)| kind == required) {
            errors.push(SettingsError {
                location: script_start.clone(),
                message: format!("there is no {required}(...)"),
            });
        }
    }
    if errors.is_empty() {
        check_across_sections(&settings, &seen, &script_start, &mut errors);
    }
    if errors.is_empty() { Ok(settings) } else { Err(errors) }
}

/// Defaults of all fields.
fn default_settings() -> GatewaySettings {
    let module = Settings {
        tick: MILLISECOND,
        keep_alive: 10 * SECOND,
        max_instances_per_order: 1,
        miss_policy: MissPolicy::Miss,
        may_prewarm: true,
        reports_in_flight: true,
        order_timeout: 10 * SECOND,
        may_cancel: true,
        may_probe: true,
        max_attempts: 4,
        connect_timeout: 250 * MILLISECOND,
        drain_grace: SECOND,
        list_poll_interval: 10 * SECOND,
        // Clients are told no time within which a further try meets the first one.
        clients_retry_within_retention: false,
        ..Settings::default()
    };
    GatewaySettings {
        name: String::new(),
        engine: EngineSettings {
            dispatcher: module,
            admission: AdmissionLimits::default(),
            results: ResultLimits::default(),
            answer_margin: 10 * MILLISECOND,
            max_time: 600 * SECOND,
            deferred_time: 60 * SECOND,
        },
        listen: ([127, 0, 0, 1], 0).into(),
        http: None,
        list_services: Vec::new(),
        workers: Vec::new(),
        state_folder: None,
        acceptors: None,
        versions: None,
        limits: GatewayLimits::default(),
    }
}

fn read_gateway(fields: &mut Fields, settings: &mut GatewaySettings) {
    settings.name = fields.required_text("name");
    settings.listen = fields.required_address("listen");
    settings.http = fields.address("http");
    settings.list_services = fields.addresses("list");
    settings.state_folder = fields.text("state").map(Into::into);
    settings.acceptors = fields.optional_count("holders", (0, 64));
    let module = &mut settings.engine.dispatcher;
    module.zone = fields.text("zone").unwrap_or_default();
    module.tick = fields.time("tick", module.tick);
    settings.engine.answer_margin = fields.time("answer_margin", settings.engine.answer_margin);
    settings.engine.max_time = fields.time("most_time", settings.engine.max_time);
    settings.engine.deferred_time = fields.time("deferred_time", settings.engine.deferred_time);
    let (tick, margin) = (module.tick, settings.engine.answer_margin);
    fields.require(tick > 0 && tick <= SECOND, "tick must be above zero and at most s(1)");
    fields.require(margin >= 2 * tick, "answer_margin must be two ticks at least, or final answers are late");
    fields.require(
        settings.engine.deferred_time <= settings.engine.max_time,
        "deferred_time is longer than most_time",
    );
    fields.require(settings.name.len() <= 100, "name must have 100 bytes at most");
}

fn read_fleet(fields: &mut Fields, settings: &mut Settings) {
    settings.gateways = fields.count("gateways", 1, (1, 1_000_000)) as u32;
    settings.keep_alive = fields.time("keep_alive", settings.keep_alive);
    let keywords = [("load", MissPolicy::Load), ("miss", MissPolicy::Miss)];
    settings.miss_policy = fields.keyword("when_absent", &keywords).unwrap_or(settings.miss_policy);
    settings.may_prewarm = fields.flag("may_order", settings.may_prewarm);
    settings.may_cancel = fields.flag("may_cancel", settings.may_cancel);
    settings.may_probe = fields.flag("may_probe", settings.may_probe);
    settings.may_hedge = fields.flag("may_duplicate", settings.may_hedge);
    settings.reports_in_flight = fields.flag("tells_crowd", settings.reports_in_flight);
    settings.must_subscribe = fields.flag("must_follow", settings.must_subscribe);
    settings.list_poll_interval = fields.time("ask_within", settings.list_poll_interval);
    settings.max_instances_per_order =
        fields.count("most_instances", settings.max_instances_per_order, (1, 1_000));
    settings.order_timeout = fields.time("order_timeout", settings.order_timeout);
    settings.connect_timeout = fields.time("connect_timeout", settings.connect_timeout);
    settings.drain_grace = fields.time("drain_grace", settings.drain_grace);
    settings.max_attempts = fields.count("max_attempts", settings.max_attempts, (1, 100));
    settings.retry_after = fields.flag("retry_after", settings.retry_after);
    settings.max_retry_after = fields.time("max_retry_after", settings.max_retry_after);
    settings.over_quota_worth = fields.number("over_quota_worth", settings.over_quota_worth, (0.0, 1.0));
    settings.kind_memory_mb = fields.sizes_in_mb("kind_memory").into_iter().collect();
    let can_load = settings.miss_policy == MissPolicy::Load || settings.may_prewarm;
    fields.require(can_load, "when_absent = \"miss\" with may_order = False: nothing would ever be loaded");
    fields.require(settings.keep_alive > 0, "keep_alive must be above zero");
    fields.require(settings.connect_timeout > 0, "connect_timeout must be above zero");
    fields.require(settings.order_timeout > 0, "order_timeout must be above zero");
}

fn read_class(fields: &mut Fields, settings: &mut Settings) {
    let name = fields.required_text("name");
    let (aim, give_up) = (fields.required_time("aim"), fields.required_time("give_up"));
    let effect = match fields.raw_value("effect") {
        None => {
            fields.require(
                false,
                "effect is missing: \"safe\", \"unsafe\" or keyed(group = ..., memory = ...)",
            );
            Effect::Unsafe
        }
        Some((value, location)) => match &value {
            RawValue::Text(keyword) if keyword == "safe" => Effect::Safe,
            RawValue::Text(keyword) if keyword == "unsafe" => Effect::Unsafe,
            RawValue::Keyed(group, memory) if *memory > 0 => {
                let group = match group.as_str() {
                    "all" => Some(Group::All),
                    "zone" => Some(Group::Zone),
                    "cell" => Some(Group::Cell),
                    _ => None,
                };
                if group.is_none() {
                    let expected = "a group of \"all\", \"zone\" or \"cell\" is wanted";
                    fields.add_error(location, format!("effect = {value}: {expected}"));
                }
                Effect::Keyed { group: group.unwrap_or(Group::Cell), retention: *memory }
            }
            _ => {
                let expected = "\"safe\", \"unsafe\" or keyed(group = ..., memory = s(5)) is wanted";
                fields.add_error(location, format!("effect = {value}: {expected}"));
                Effect::Unsafe
            }
        },
    };
    let streamed = false;
    let worth = fields.number("worth", 1.0, (0.0, 1e9));
    let late_worth = fields.number("late_worth", 0.0, (0.0, 1.0));
    fields.require(aim <= give_up, "aim is longer than give_up");
    fields.require(aim > 0, "aim must be above zero");
    let is_duplicate = settings.classes.iter().any(|class| class.name == name);
    fields.require(!is_duplicate, &format!("a second class with the name {name:?}"));
    settings.classes.push(Class {
        name,
        latency_objective: aim,
        client_timeout: give_up,
        effect,
        streamed,
        worth,
        late_worth,
    });
}

fn read_tenant(fields: &mut Fields, settings: &mut Settings) {
    let name = fields.required_text("name");
    let quota_per_s = fields.number("quota_per_s", f64::INFINITY, (0.0, f64::INFINITY));
    let is_duplicate = settings.tenants.iter().any(|tenant| tenant.name == name);
    fields.require(!is_duplicate, &format!("a second tenant with the name {name:?}"));
    settings.tenants.push(Tenant { name, quota_per_s });
}

fn read_cold_start(fields: &mut Fields, settings: &mut Settings) {
    let cold = &settings.cold_start;
    settings.cold_start = ColdStart {
        initial_share: fields.number("from_share", cold.initial_share, (0.001, 1.0)),
        warm_up: fields.time("warm_up", cold.warm_up),
        overload_multiple: fields.number("multiple", cold.overload_multiple, (0.001, 1e6)),
        overload_window: fields.time("window", cold.overload_window),
    };
}

fn read_ration(fields: &mut Fields, settings: &mut Settings) {
    let ration = OrderRateLimit {
        window: fields.required_time("window"),
        base_orders: fields.number("free", 0.0, (0.0, 1e9)),
        per_request: fields.number("per_call", 0.0, (0.0, 1e9)),
    };
    fields.require(ration.window > 0, "window must be above zero");
    settings.order_rate_limit = Some(ration);
}

/// Minimum length of the key that authorizes version orders, in bytes.
const MIN_KEY_BYTES: usize = 16;

fn read_versions(fields: &mut Fields, settings: &mut GatewaySettings) {
    let file = fields.text("key_file");
    let open = fields.flag("open", false);
    fields.require(
        file.is_some() != open,
        "key_file = \"...\" is wanted, or open = True, which lets any client give version orders",
    );
    let mut key = String::new();
    if let Some(file) = file {
        match std::fs::read_to_string(&file) {
            Ok(text) => {
                key = text.trim().to_owned();
                let is_valid_length = (MIN_KEY_BYTES..=cresswheel_protocol::MAX_NAME).contains(&key.len());
                fields.require(
                    is_valid_length,
                    &format!("key_file = {file:?}: a key has from {MIN_KEY_BYTES} to 512 bytes"),
                );
            }
            Err(error) => fields.require(false, &format!("key_file = {file:?}: {error}")),
        }
    }
    settings.versions = Some(VersionSettings { key });
}

fn read_worker(fields: &mut Fields, workers: &mut Vec<ListedWorker>) {
    let address = fields.required_address("address").to_string();
    let id = fields.text("id").unwrap_or_else(|| address.clone());
    let is_duplicate = workers.iter().any(|worker| worker.id == id);
    fields.require(!is_duplicate, &format!("a second worker with the id {id:?}"));
    workers.push(ListedWorker {
        id,
        address,
        zone: fields.text("zone").unwrap_or_default(),
        kind: fields.text("kind").unwrap_or_default(),
        cell: fields.count("cell", 0, (0, usize::MAX >> 1)) as u64,
        standing: MemberState::Active,
        started: 0,
    });
}

fn read_limits(fields: &mut Fields, settings: &mut GatewaySettings) {
    const MAX_COUNT: usize = 1 << 40;
    let admission = &mut settings.engine.admission;
    admission.open_calls = fields.count("open_calls", admission.open_calls, (1, MAX_COUNT));
    admission.open_bytes = fields.size("open_bytes", admission.open_bytes);
    admission.per_connection = fields.count("calls_per_connection", admission.per_connection, (1, MAX_COUNT));
    admission.functions = fields.count("functions", admission.functions, (1, MAX_COUNT));
    let per_connection = admission.per_connection;
    let results = &mut settings.engine.results;
    results.keep = fields.time("results_keep", results.keep);
    results.bytes = fields.size("results_bytes", results.bytes);
    let shell = &mut settings.limits;
    shell.drain_timeout = fields.time("stop_within", shell.drain_timeout);
    let clients = &mut shell.clients;
    clients.frame = fields.size("frame", clients.frame);
    fields.require((8_192..=1 << 30).contains(&clients.frame), "frame must be from kb(8) to mb(1024)");
    clients.http_head = fields.size("http_head", clients.http_head);
    clients.http_headers = fields.count("http_headers", clients.http_headers, (1, 10_000));
    clients.http_body = fields.size("http_body", clients.largest_body());
    fields.require(
        clients.http_body <= clients.largest_body(),
        "http_body must be at most frame less kb(4), so that a call with it fits a frame",
    );
    clients.out = fields.size("out_buffer", clients.out);
    clients.backlog = fields.size("client_backlog", clients.backlog);
    fields.require(clients.backlog < clients.out, "client_backlog must be below out_buffer");
    clients.per_connection = per_connection;
    let connection_limits = &mut clients.door;
    // A connection id has 20 bits for the slot; up to 64 acceptor processes make 2^26 connections.
    connection_limits.connections = fields.count("connections", connection_limits.connections, (1, 1 << 26));
    connection_limits.accepts_per_s =
        fields.count("accepts_per_s", connection_limits.accepts_per_s as usize, (1, 1_000_000)) as u64;
    connection_limits.evict_after = fields.time("evict_after", connection_limits.evict_after);
    connection_limits.idle = fields.time("client_idle", connection_limits.idle);
    connection_limits.half = fields.time("half_request", connection_limits.half);
    connection_limits.half_bytes = fields.size("half_bytes", connection_limits.half_bytes);
    connection_limits.stall = fields.time("read_stall", connection_limits.stall);
    connection_limits.ping_after = fields.time("ping_after", connection_limits.ping_after);
    connection_limits.ping_wait = fields.time("ping_wait", connection_limits.ping_wait);
    connection_limits.pings_per_s =
        fields.count("pings_per_s", connection_limits.pings_per_s as usize, (0, 1_000_000)) as u64;
    connection_limits.leave_over =
        fields.time("leave_over", connection_limits.leave_over.min(shell.drain_timeout / 2));
    fields.require(connection_limits.half > 0, "half_request must be above zero");
    fields.require(connection_limits.stall > 0, "read_stall must be above zero");
    fields.require(connection_limits.ping_wait > 0, "ping_wait must be above zero");
    fields.require(
        connection_limits.half_bytes >= clients.frame.min(clients.http_body),
        "half_bytes is below one message",
    );
    let leave_over = connection_limits.leave_over;
    let intake = &mut shell.intake;
    intake.calls = fields.count("intake_calls", intake.calls, (1, MAX_COUNT));
    intake.per_turn = fields.count("calls_per_turn", intake.per_turn, (1, 100_000));
    intake.share = fields.number("intake_share", intake.share, (0.01, 1.0));
    intake.max_unread = fields.time("intake_hold", intake.max_unread);
    intake.min_retry_after = fields.time("return_after", intake.min_retry_after);
    intake.max_retry_after = fields.time("most_return", intake.max_retry_after);
    fields
        .require(intake.min_retry_after <= intake.max_retry_after, "return_after is longer than most_return");
    shell.worker_connections = fields.count("worker_connections", shell.worker_connections, (1, 1_000));
    shell.max_in_flight_per_connection =
        fields.count("worker_streams", shell.max_in_flight_per_connection, (1, 100_000));
    shell.worker_idle = fields.time("worker_idle", shell.worker_idle);
    shell.list_retry_delay = fields.time("list_retry", shell.list_retry_delay);
    fields.require(
        leave_over < shell.drain_timeout || leave_over == 0,
        "leave_over must be below stop_within, or some clients are never asked to leave",
    );
}

/// Checks that involve several sections.
fn check_across_sections(
    settings: &GatewaySettings,
    seen: &[(String, Location)],
    script_start: &Location,
    errors: &mut Vec<SettingsError>,
) {
    let location_of = |kind: &str| {
        seen.iter().find(|(k, _)| k == kind).map_or(script_start.clone(), |(_, location)| location.clone())
    };
    let mut report =
        |kind: &str, message: String| errors.push(SettingsError { location: location_of(kind), message });
    let engine = &settings.engine;
    let shortest =
        engine.dispatcher.classes.iter().map(|class| class.latency_objective).min().unwrap_or(u64::MAX);
    if engine.answer_margin * 2 > shortest {
        let shortest = RawValue::Time(shortest);
        let margin = RawValue::Time(engine.answer_margin);
        report(
            "gateway",
            format!("answer_margin = {margin} takes over half of the shortest aim, {shortest}"),
        );
    }
    for class in &engine.dispatcher.classes {
        if class.client_timeout > engine.max_time {
            let (name, give_up, most) =
                (&class.name, RawValue::Time(class.client_timeout), RawValue::Time(engine.max_time));
            report("call_class", format!("{name:?}: give_up = {give_up} is longer than most_time, {most}"));
        }
    }
    if settings.versions.is_some() && settings.state_folder.is_none() {
        report(
            "versions",
            "version orders are stored on disk: state = \"...\" is wanted in gateway(...)".into(),
        );
    }
    if settings.list_services.is_empty() && settings.workers.is_empty() {
        report("gateway", "neither a list nor a worker(...): there is nothing to send calls to".into());
    }
    if let Err(error) = engine.dispatcher.check() {
        report("gateway", error.to_string());
    }
}
