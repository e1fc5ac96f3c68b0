//! Which functions the module forgets when its caller is short of places for their names.

mod common;

use common::*;
use cresswheel::{Action, Event, FunctionId, Outcome};

fn forgotten(actions: &[Action]) -> Vec<FunctionId> {
    let name = |action: &Action| match action {
        Action::Forget(name) => Some(name.clone()),
        _ => None,
    };
    actions.iter().filter_map(name).collect()
}

fn unneeded(harness: &mut Harness, name: &str) -> Vec<FunctionId> {
    forgotten(&harness.handle(Event::FunctionUnneeded(name.into())))
}

#[test]
fn an_unneeded_function_is_forgotten_at_once_and_one_that_is_referred_to_is_kept() {
    let mut harness = Harness::new(settings());
    harness.handle(workers(3));
    let sent = sends(&arrive(&mut harness, "a", "open"));
    assert!(unneeded(&mut harness, "open").is_empty(), "its request is open");
    harness.handle(Event::ClientLeft("a".into()));
    assert!(unneeded(&mut harness, "open").is_empty(), "its attempt is in flight");
    harness.handle(ended("a", 0, &sent[0].1, Outcome::Ok));
    let names: Vec<FunctionId> = unneeded(&mut harness, "open");
    assert_eq!(names, ["open".into()]);
    assert!(unneeded(&mut harness, "open").is_empty() && unneeded(&mut harness, "never-seen").is_empty());
    // It may come back, also in the place that it left.
    for (id, name) in [("b", "other"), ("c", "open")] {
        let sent = sends(&arrive(&mut harness, id, name));
        harness.handle(ended(id, 0, &sent[0].1, Outcome::Ok));
    }
    assert_eq!(unneeded(&mut harness, "other"), ["other".into()]);
    let later = harness.run_to(harness.now + 1_000_000_000);
    assert_eq!(forgotten(&later), ["open".into()], "the one that is left goes in its own time, once");
    assert!(harness.checker.violations.is_empty(), "{:?}", harness.checker.violations);
}

fn arrive(harness: &mut Harness, id: &str, function: &str) -> Vec<Action> {
    harness.handle(Event::Arrived(request(id, 0, function)))
}
