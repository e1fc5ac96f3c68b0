//! Orders to all gateways, and questions about what holds there.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use cresswheel_versions::{OrderKind, Record, Stage, Status, VersionReply, VersionRequest};

use super::gateway::Gateway;
use super::text::{describe, print_status};
use super::{VersionsArgs, draw, now};

/// Pause before gateways that lack an order are asked again.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// All gateways, and how they are asked.
pub struct Tool {
    pub gateways: Vec<Gateway>,
    pub key: String,
    pub args: VersionsArgs,
}

impl Tool {
    /// Asks these gateways at once; what each said, or why it said nothing.
    pub fn ask(
        &mut self,
        which: &[usize],
        question: &VersionRequest,
    ) -> Vec<(usize, Result<VersionReply, String>)> {
        let (key, question) = (&self.key, &question);
        std::thread::scope(|scope| {
            let asked = self.gateways.iter_mut().enumerate().filter(|(at, _)| which.contains(at));
            let asked: Vec<_> =
                asked.map(|(at, gateway)| (at, scope.spawn(move || gateway.ask(key, question)))).collect();
            let end = |at, thread: std::thread::ScopedJoinHandle<_>| {
                (at, thread.join().unwrap_or_else(|_| Err("the asking thread panicked".into())))
            };
            asked.into_iter().map(|(at, thread)| end(at, thread)).collect()
        })
    }

    fn all(&self) -> Vec<usize> {
        (0..self.gateways.len()).collect()
    }

    pub fn name(&self, at: usize) -> String {
        self.gateways[at].address.to_string()
    }

    /// Statuses of one function, or of all.
    pub fn statuses(&mut self, function: Option<&str>) -> Vec<(usize, Result<Vec<Status>, String>)> {
        let question = VersionRequest::Status(function.map(str::to_owned));
        let asked = self.ask(&self.all(), &question).into_iter();
        asked.map(|(at, reply)| (at, reply.and_then(statuses))).collect()
    }

    /// The newest record of a function that any gateway holds. One at least must be there.
    pub fn newest(&mut self, function: &str) -> anyhow::Result<Option<Record>> {
        let said = self.statuses(Some(function));
        if said.iter().all(|(_, said)| said.is_err()) {
            let why = said.iter().map(|(at, said)| {
                let why = said.as_ref().err().map_or("", String::as_str);
                format!("{}: {why}", self.name(*at))
            });
            bail!("no gateway can be asked: {}", why.collect::<Vec<_>>().join("; "));
        }
        let records =
            said.into_iter().filter_map(|(_, said)| said.ok()).flatten().map(|status| status.record);
        Ok(records.max_by_key(Record::precedence))
    }

    /// The same, where there must be one.
    pub fn held(&mut self, function: &str) -> anyhow::Result<Record> {
        self.newest(function)?.with_context(|| format!("no gateway has a plan for {function}"))
    }

    pub fn next(&mut self, function: &str, kind: OrderKind) -> anyhow::Result<ExitCode> {
        let held = self.held(function)?;
        // Safe to repeat: what was ordered already is only carried to those who lack it.
        let done = match kind {
            OrderKind::RollBack => held.stage == Stage::RolledBack,
            OrderKind::Promote => held.stage == Stage::Promoted,
            OrderKind::Pause => held.paused,
            _ => false,
        };
        let (by, why) = (&self.args.by, &self.args.why);
        let record =
            if done { held } else { held.next(kind, draw(), now(), by, why).map_err(anyhow::Error::msg)? };
        self.order(record)
    }

    /// Carries an order to all gateways, until all have it or the time is over.
    pub fn order(&mut self, record: Record) -> anyhow::Result<ExitCode> {
        let mark = record.precedence();
        println!("{}", describe(&record));
        let end = Instant::now() + Duration::from_millis(self.args.within);
        let question = VersionRequest::Order(Box::new(record));
        let (mut lack, mut why) = (self.all(), Vec::new());
        while !lack.is_empty() {
            why.clear();
            for (at, reply) in self.ask(&lack, &question) {
                match reply.and_then(statuses) {
                    Ok(said) => match said.first() {
                        Some(status) if status.record.precedence() > mark => {
                            bail!("overruled at {}: {}", self.name(at), describe(&status.record));
                        }
                        _ => lack.retain(|lacks| *lacks != at),
                    },
                    Err(error) => why.push(format!("{}: {error}", self.name(at))),
                }
            }
            if Instant::now() >= end {
                break;
            }
            if !lack.is_empty() {
                std::thread::sleep(RETRY_AFTER);
            }
        }
        println!("{} of {} gateways have it", self.gateways.len() - lack.len(), self.gateways.len());
        why.iter().for_each(|why| eprintln!("not had: {why}"));
        Ok(if lack.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }

    pub fn status(&mut self, function: Option<String>) -> anyhow::Result<ExitCode> {
        let mut missing = false;
        for (at, said) in self.statuses(function.as_deref()) {
            let name = self.name(at);
            match said {
                Err(error) => {
                    missing = true;
                    println!("{name}: {error}");
                }
                Ok(statuses) if statuses.is_empty() => println!("{name}: no plan"),
                Ok(statuses) => statuses.iter().for_each(|status| print_status(&name, status)),
            }
        }
        Ok(if missing { ExitCode::FAILURE } else { ExitCode::SUCCESS })
    }

    pub fn history(&mut self, function: &str) -> anyhow::Result<ExitCode> {
        let mut all: Vec<Record> = Vec::new();
        let mut missing = false;
        for (at, reply) in self.ask(&self.all(), &VersionRequest::History(function.into())) {
            match reply {
                Ok(VersionReply::History(records)) => all.extend(records),
                Ok(VersionReply::Refused(why)) | Err(why) => {
                    missing = true;
                    eprintln!("{}: {why}", self.name(at));
                }
                Ok(VersionReply::Status(_)) => {}
            }
        }
        all.sort_by_key(Record::precedence);
        all.dedup_by_key(|record| record.precedence());
        all.iter().for_each(|record| println!("{}", describe(record)));
        Ok(if missing { ExitCode::FAILURE } else { ExitCode::SUCCESS })
    }
}

/// The statuses in a reply.
pub fn statuses(reply: VersionReply) -> Result<Vec<Status>, String> {
    match reply {
        VersionReply::Status(statuses) => Ok(statuses),
        VersionReply::Refused(why) => Err(why),
        VersionReply::History(_) => Err("an answer to another question".into()),
    }
}
