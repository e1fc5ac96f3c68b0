//! Settings of a real gateway as a script, from those that the simulated ones have.

use std::fmt::Write;
use std::net::SocketAddr;

use cresswheel::{Effect, Group, MissPolicy};
use cresswheel_gateway::GatewaySettings;

/// A script that reads back to the same decision module's part, with another name and other addresses.
pub fn script(settings: &GatewaySettings, list: SocketAddr, open_calls: usize) -> String {
    let mut text = String::new();
    // Writing to a text can't fail.
    let _ = write_gateway(settings, list, open_calls, &mut text);
    let _ = write_classes(settings, &mut text);
    let _ = write_fleet(settings, &mut text);
    text
}

fn write_gateway(
    settings: &GatewaySettings,
    list: SocketAddr,
    open_calls: usize,
    to: &mut String,
) -> std::fmt::Result {
    let (module, engine) = (&settings.engine.dispatcher, &settings.engine);
    writeln!(to, "gateway(name = {:?}, zone = {:?}, listen = \"127.0.0.1:0\",", settings.name, module.zone)?;
    writeln!(to, "    list = [\"{list}\"], holders = 0, tick = us({}),", module.tick)?;
    let (margin, most, deferred) = (engine.answer_margin, engine.max_time, engine.deferred_time);
    writeln!(
        to,
        "    answer_margin = us({margin}), most_time = us({most}), deferred_time = us({deferred}))"
    )?;
    writeln!(to, "limits(open_calls = {open_calls})")
}

fn write_classes(settings: &GatewaySettings, to: &mut String) -> std::fmt::Result {
    for class in &settings.engine.dispatcher.classes {
        let effect = match class.effect {
            Effect::Safe => "\"safe\"".to_owned(),
            Effect::Unsafe => "\"unsafe\"".to_owned(),
            Effect::Keyed { group, retention: memory } => {
                let group = match group {
                    Group::All => "all",
                    Group::Zone => "zone",
                    Group::Cell => "cell",
                };
                format!("keyed(group = {group:?}, memory = us({memory}))")
            }
        };
        writeln!(
            to,
            "call_class(name = {:?}, aim = us({}), give_up = us({}),",
            class.name, class.latency_objective, class.client_timeout
        )?;
        writeln!(
            to,
            "    effect = {effect}, worth = {:?}, late_worth = {:?})",
            class.worth, class.late_worth
        )?;
    }
    for tenant in &settings.engine.dispatcher.tenants {
        let quota = match tenant.quota_per_s {
            quota if quota.is_finite() => format!(", quota_per_s = {quota:?}"),
            _ => String::new(),
        };
        writeln!(to, "tenant(name = {:?}{quota})", tenant.name)?;
    }
    Ok(())
}

fn write_fleet(settings: &GatewaySettings, to: &mut String) -> std::fmt::Result {
    let module = &settings.engine.dispatcher;
    let flag = |value: bool| if value { "True" } else { "False" };
    let absent = match module.miss_policy {
        MissPolicy::Load => "load",
        MissPolicy::Miss => "miss",
    };
    writeln!(to, "fleet(gateways = {}, keep_alive = us({}),", module.gateways, module.keep_alive)?;
    writeln!(to, "    when_absent = {absent:?}, may_order = {},", flag(module.may_prewarm))?;
    writeln!(to, "    may_cancel = {}, may_probe = {},", flag(module.may_cancel), flag(module.may_probe))?;
    writeln!(
        to,
        "    may_duplicate = {}, tells_crowd = {},",
        flag(module.may_hedge),
        flag(module.reports_in_flight)
    )?;
    writeln!(
        to,
        "    must_follow = {}, ask_within = us({}),",
        flag(module.must_subscribe),
        module.list_poll_interval
    )?;
    writeln!(
        to,
        "    most_instances = {}, order_timeout = us({}),",
        module.max_instances_per_order, module.order_timeout
    )?;
    writeln!(
        to,
        "    connect_timeout = us({}), drain_grace = us({}),",
        module.connect_timeout, module.drain_grace
    )?;
    writeln!(to, "    max_attempts = {}, retry_after = {},", module.max_attempts, flag(module.retry_after))?;
    writeln!(to, "    max_retry_after = us({}),", module.max_retry_after)?;
    let memory = |(kind, mb): (&String, &f64)| format!("{kind:?}: mb({mb:?})");
    let memories: Vec<_> = module.kind_memory_mb.iter().map(memory).collect();
    writeln!(
        to,
        "    kind_memory = {{{}}}, over_quota_worth = {:?})",
        memories.join(", "),
        module.over_quota_worth
    )?;
    let cold = &module.cold_start;
    writeln!(to, "cold_start(from_share = {:?}, warm_up = us({}),", cold.initial_share, cold.warm_up)?;
    writeln!(to, "    multiple = {:?}, window = us({}))", cold.overload_multiple, cold.overload_window)?;
    if let Some(ration) = &module.order_rate_limit {
        let (window, free, per_call) = (ration.window, ration.base_orders, ration.per_request);
        writeln!(to, "ration(window = us({window}), free = {free:?}, per_call = {per_call:?})")?;
    }
    Ok(())
}
