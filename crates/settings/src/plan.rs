//! Checks the sections of a rollout plan, which moves a function from one version to another.

use std::path::Path;

use cresswheel_versions::{Affinity, Compare, Guard, Plan, Share, Step};

use crate::SettingsError;
use crate::fields::Fields;
use crate::raw::{Location, RawValue, Section};

/// One second, in microseconds.
const SECOND: u64 = 1_000_000;

/// Kinds of sections in a plan; each must occur.
pub const SECTIONS: [&str; 3] = ["shift", "step", "guard"];

/// Builds the plan. `salt` keys the hash that assigns calls to versions.
pub fn check(path: &Path, sections: Vec<Section>, salt: [u64; 2]) -> Result<Plan, Vec<SettingsError>> {
    let mut errors = Vec::new();
    let mut seen: Vec<(String, Location)> = Vec::new();
    let guard =
        Guard { classes: Vec::new(), false_alarm: 0.01, worse: 1.5, least: 100, settle: 0, compare: None };
    let mut plan = Plan {
        function: String::new(),
        old: String::new(),
        new: String::new(),
        old_digest: String::new(),
        new_digest: String::new(),
        stick: Affinity::Call,
        salt,
        steps: Vec::new(),
        guard,
        lease: 60 * SECOND,
        preload: 5 * SECOND,
        keep_old: 600 * SECOND,
    };
    for section in sections {
        let (kind, location) = (section.kind.clone(), section.place.clone());
        if let Some((_, first)) = seen.iter().find(|(other, _)| *other == kind && kind != "step") {
            let message = format!("{kind}: a second one, the first is at {first}");
            errors.push(SettingsError { location: location.clone(), message });
        }
        if !SECTIONS.contains(&kind.as_str()) {
            let message = format!("{kind}(...) belongs in a gateway's settings, not in a plan");
            errors.push(SettingsError { location: location.clone(), message });
            continue;
        }
        seen.push((kind.clone(), location));
        let mut fields = Fields::new(section, &mut errors);
        match kind.as_str() {
            "shift" => read_shift(&mut fields, &mut plan),
            "step" => plan.steps.extend(read_step(&mut fields)),
            _ => self::read_guard(&mut fields, &mut plan.guard),
        }
        fields.finish();
    }
    let script_start = Location { file: path.display().to_string(), line: 1, column: 1 };
    for required in SECTIONS {
        if !seen.iter().any(|(kind, _)| kind == required) {
            errors.push(SettingsError {
                location: script_start.clone(),
                message: format!("there is no {required}(...)"),
            });
        }
    }
    if errors.is_empty() {
        let steps: Vec<&Location> =
            seen.iter().filter(|(kind, _)| kind == "step").map(|(_, location)| location).collect();
        // Errors of the form "steps[N]..." get the location of that step.
        let location_of = |message: &str| {
            let number =
                message.strip_prefix("steps[").and_then(|rest| rest.split(']').next()?.parse::<usize>().ok());
            number
                .and_then(|number| steps.get(number))
                .map_or(script_start.clone(), |location| (*location).clone())
        };
        errors.extend(
            plan.faults()
                .into_iter()
                .map(|message| SettingsError { location: location_of(&message), message }),
        );
    }
    if errors.is_empty() { Ok(plan) } else { Err(errors) }
}

fn read_shift(fields: &mut Fields, plan: &mut Plan) {
    plan.function = fields.required_text("function");
    plan.old = fields.text("old").unwrap_or_default();
    plan.new = fields.required_text("new");
    plan.old_digest = fields.text("old_digest").unwrap_or_default();
    plan.new_digest = fields.text("new_digest").unwrap_or_default();
    let keywords = [("call", Affinity::Call), ("tenant", Affinity::Tenant), ("account", Affinity::Account)];
    plan.stick = fields.keyword("stick", &keywords).unwrap_or(plan.stick);
    plan.lease = fields.time("lease", plan.lease);
    plan.preload = fields.time("preload", plan.preload);
    plan.keep_old = fields.time("keep_old", plan.keep_old);
    // A round of messages to all gateways may take half a second.
    fields
        .require(plan.lease == 0 || plan.lease >= 2 * SECOND, "lease must be s(2) at least, or 0 s for none");
}

fn read_share(fields: &mut Fields, name: &'static str) -> Option<Share> {
    let share = |raw: &RawValue| match raw {
        RawValue::Share(share) => u16::try_from(*share).ok().and_then(Share::new),
        _ => None,
    };
    fields.read(name, "a share such as percent(1), at most percent(100),", share).map(|(share, _)| share)
}

fn read_step(fields: &mut Fields) -> Option<Step> {
    let is_set = fields.is_set("share");
    let share = read_share(fields, "share");
    fields.require(share.is_some() || is_set, "share is missing");
    let hold = fields.required_time("hold");
    share.map(|share| Step { share, hold })
}

fn read_guard(fields: &mut Fields, guard: &mut Guard) {
    let text = |raw: &RawValue| if let RawValue::Text(text) = raw { Some(text.clone()) } else { None };
    let texts = |raw: &RawValue| match raw {
        RawValue::List(items) => items.iter().map(text).collect::<Option<Vec<_>>>(),
        _ => None,
    };
    let classes = fields.read("classes", "a list of classes such as [\"charge-estimate\"]", texts);
    guard.classes = classes.map_or(Vec::new(), |(classes, _)| classes);
    guard.false_alarm = fields.number("false_alarm", guard.false_alarm, (1e-9, 0.5));
    guard.worse = fields.number("worse", guard.worse, (1.0, 100.0));
    guard.least = fields.count("least", guard.least as usize, (0, usize::MAX >> 1)) as u64;
    guard.settle = fields.time("settle", guard.settle);
    let is_set = ["differ", "within"].into_iter().any(|name| fields.is_set(name));
    let share = read_share(fields, "compare");
    fields.require(
        share.is_some() || !is_set,
        "differ and within say how to compare; compare = percent(...) is missing",
    );
    let (differ, within) =
        (fields.number("differ", 0.01, (1e-6, 0.99)), fields.number("within", 0.0, (0.0, 0.99)));
    guard.compare = share.map(|share| Compare { share, differ, within });
}
