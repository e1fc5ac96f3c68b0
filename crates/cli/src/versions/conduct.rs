//! Conducting a plan: widen step by step, promote at its end, roll back if the guard speaks.

use std::process::ExitCode;
use std::time::Duration;

use cresswheel_versions::{Action, Record, RolloutController, Stage, VersionRequest};

use super::orders::{Tool, statuses};
use super::text::{describe, describe_hold, print_tallies};
use super::{draw, now};

impl Tool {
    /// Conducts a plan to its end.
    pub fn conduct(&mut self, record: Record) -> anyhow::Result<ExitCode> {
        println!("{}", describe(&record));
        let function = record.plan.function.clone();
        let mut conductor = RolloutController::new(record, self.gateways.len(), now());
        for (at, said) in self.statuses(Some(&function)) {
            conductor.record_report(at, now(), said.map(|said| said.into_iter().next()));
        }
        let (mut printed, mut waits) = (conductor.record().precedence(), String::new());
        loop {
            let acts = conductor.evaluate(now(), draw());
            let record = conductor.record().clone();
            if record.precedence() != printed {
                printed = record.precedence();
                println!("{}", describe(&record));
            }
            for act in &acts {
                self.perform(act, &record, &mut conductor);
            }
            let waits_now = self.waits(&conductor);
            if waits_now != waits && !waits_now.is_empty() {
                println!("waits: {waits_now}");
            }
            waits = waits_now;
            if let Some(end) = self.end(&conductor) {
                print_tallies(&record, conductor.sums());
                return Ok(end);
            }
            std::thread::sleep(Duration::from_millis(self.args.every));
        }
    }

    /// Sends what the conductor wants sent, and tells it what the gateways answer.
    fn perform(&mut self, act: &Action, record: &Record, conductor: &mut RolloutController) {
        let (which, question) = match act {
            Action::Order(which) => (which, VersionRequest::Order(Box::new(record.clone()))),
            Action::Renew(which) => {
                (which, VersionRequest::Renew(record.plan.function.clone(), record.precedence()))
            }
        };
        for (at, reply) in self.ask(which, &question) {
            let said = reply.and_then(statuses);
            conductor.record_report(at, now(), said.map(|said| said.into_iter().next()));
        }
    }

    /// Which gateways are not where the record is.
    fn waits(&self, conductor: &RolloutController) -> String {
        let (mark, share) = (conductor.record().precedence(), conductor.record().share());
        let each = conductor.gateways().iter().enumerate().filter_map(|(at, heard)| {
            let why = match (&heard.error, &heard.status) {
                (Some(error), _) => error.clone(),
                (None, None) => "has no plan".into(),
                (None, Some(status)) if status.record.precedence() != mark => "at another order".into(),
                (None, Some(status)) if status.share != share => match &status.hold {
                    Some(hold) => describe_hold(hold),
                    None => format!("at {}", status.share),
                },
                _ => return None,
            };
            Some(format!("{} {why}", self.name(at)))
        });
        each.collect::<Vec<_>>().join("; ")
    }

    /// The exit code, once the plan is over and all gateways know it or had their time.
    fn end(&self, conductor: &RolloutController) -> Option<ExitCode> {
        let record = conductor.record();
        let all = conductor.gateways().iter().all(|heard| {
            heard.error.is_none()
                && heard.status.as_ref().is_some_and(|s| s.record.precedence() == record.precedence())
        });
        // Who can't be reached is waited for as long as an order waits, counted from the record.
        let late = now() > record.at.saturating_add(self.args.within * 1_000);
        if !record.has_ended() || !(all || late) {
            return None;
        }
        if !all {
            eprintln!("not all gateways have it: {}", self.waits(conductor));
        }
        if conductor.overruled() {
            println!("somebody else's order ended this plan");
        }
        Some(if record.stage == Stage::Promoted && all { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }
}
