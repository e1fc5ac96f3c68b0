//! Sections to a plan for shifting a function from one version to another.

use std::path::Path;

use cresswheel_versions::{Compare, Guard, Plan, Share, Step, Stick};

use crate::Fault;
use crate::fields::Fields;
use crate::raw::{Place, Raw, Section};

const S: u64 = 1_000_000;

/// The sections that make a plan.
pub const SECTIONS: [&str; 3] = ["shift", "step", "guard"];

/// The plan, its hash keyed with `salt`.
pub fn check(path: &Path, sections: Vec<Section>, salt: [u64; 2]) -> Result<Plan, Vec<Fault>> {
    let mut faults = Vec::new();
    let mut seen: Vec<(String, Place)> = Vec::new();
    let guard =
        Guard { classes: Vec::new(), false_alarm: 0.01, worse: 1.5, least: 100, settle: 0, compare: None };
    let mut plan = Plan {
        function: String::new(),
        old: String::new(),
        new: String::new(),
        old_digest: String::new(),
        new_digest: String::new(),
        stick: Stick::Call,
        salt,
        steps: Vec::new(),
        guard,
        lease: 60 * S,
        preload: 5 * S,
        keep_old: 600 * S,
    };
    for section in sections {
        let (kind, place) = (section.kind.clone(), section.place.clone());
        if let Some((_, first)) = seen.iter().find(|(other, _)| *other == kind && kind != "step") {
            let what = format!("{kind}: a second one, the first stands at {first}");
            faults.push(Fault { place: place.clone(), what });
        }
        if !SECTIONS.contains(&kind.as_str()) {
            let what = format!("{kind}(...) belongs in a gateway's settings, not in a plan");
            faults.push(Fault { place: place.clone(), what });
            continue;
        }
        seen.push((kind.clone(), place));
        let mut fields = Fields::new(section, &mut faults);
        match kind.as_str() {
            "shift" => shift(&mut fields, &mut plan),
            "step" => plan.steps.extend(step(&mut fields)),
            _ => self::guard(&mut fields, &mut plan.guard),
        }
        fields.end();
    }
    let top = Place { file: path.display().to_string(), line: 1, column: 1 };
    for needed in SECTIONS {
        if !seen.iter().any(|(kind, _)| kind == needed) {
            faults.push(Fault { place: top.clone(), what: format!("there is no {needed}(...)") });
        }
    }
    if faults.is_empty() {
        let steps: Vec<&Place> = seen.iter().filter(|(kind, _)| kind == "step").map(|(_, at)| at).collect();
        // A fault of a step is told where the step stands.
        let place = |what: &str| {
            let number =
                what.strip_prefix("steps[").and_then(|rest| rest.split(']').next()?.parse::<usize>().ok());
            number.and_then(|number| steps.get(number)).map_or(top.clone(), |place| (*place).clone())
        };
        faults.extend(plan.faults().into_iter().map(|what| Fault { place: place(&what), what }));
    }
    if faults.is_empty() { Ok(plan) } else { Err(faults) }
}

fn shift(f: &mut Fields, to: &mut Plan) {
    to.function = f.needed_text("function");
    to.old = f.text("old").unwrap_or_default();
    to.new = f.needed_text("new");
    to.old_digest = f.text("old_digest").unwrap_or_default();
    to.new_digest = f.text("new_digest").unwrap_or_default();
    let words = [("call", Stick::Call), ("tenant", Stick::Tenant), ("account", Stick::Account)];
    to.stick = f.word("stick", &words).unwrap_or(to.stick);
    to.lease = f.time("lease", to.lease);
    to.preload = f.time("preload", to.preload);
    to.keep_old = f.time("keep_old", to.keep_old);
    // Half a second is what a round of all gateways may take.
    f.must(to.lease == 0 || to.lease >= 2 * S, "lease must be s(2) at least, or 0 s for none");
}

fn share(f: &mut Fields, name: &'static str) -> Option<Share> {
    let share = |raw: &Raw| match raw {
        Raw::Share(share) => u16::try_from(*share).ok().and_then(Share::new),
        _ => None,
    };
    f.read(name, "a share such as percent(1), at most percent(100),", share).map(|(share, _)| share)
}

fn step(f: &mut Fields) -> Option<Step> {
    let there = f.there("share");
    let share = share(f, "share");
    f.must(share.is_some() || there, "share is missing");
    let hold = f.needed_time("hold");
    share.map(|share| Step { share, hold })
}

fn guard(f: &mut Fields, to: &mut Guard) {
    let text = |raw: &Raw| if let Raw::Text(text) = raw { Some(text.clone()) } else { None };
    let texts = |raw: &Raw| match raw {
        Raw::List(items) => items.iter().map(text).collect::<Option<Vec<_>>>(),
        _ => None,
    };
    let classes = f.read("classes", "a list of classes such as [\"charge-estimate\"]", texts);
    to.classes = classes.map_or(Vec::new(), |(classes, _)| classes);
    to.false_alarm = f.number("false_alarm", to.false_alarm, (1e-9, 0.5));
    to.worse = f.number("worse", to.worse, (1.0, 100.0));
    to.least = f.count("least", to.least as usize, (0, usize::MAX >> 1)) as u64;
    to.settle = f.time("settle", to.settle);
    let there = ["differ", "within"].into_iter().any(|name| f.there(name));
    let share = share(f, "compare");
    f.must(
        share.is_some() || !there,
        "differ and within say how to compare; compare = percent(...) is missing",
    );
    let (differ, within) = (f.number("differ", 0.01, (1e-6, 0.99)), f.number("within", 0.0, (0.0, 0.99)));
    to.compare = share.map(|share| Compare { share, differ, within });
}
