//! `cresswheel versions`: orders to all gateways, and conducting a plan over them.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::{Context, bail};
use clap::{Args, Subcommand};
use cresswheel_protocol::Message;
use cresswheel_rehearsal::Client;
use cresswheel_versions::{
    Act, Conductor, Hold, Kind, Micros, Plan, Question, Record, Reply, Side, Stage, Status, Tally,
};

#[derive(Args)]
pub struct VersionsArgs {
    /// A gateway's main address; give all of them.
    #[arg(long, global = true, value_name = "ADDRESS")]
    gateway: Vec<SocketAddr>,
    /// A file with more of them, one a line.
    #[arg(long, global = true, value_name = "FILE")]
    gateways: Option<PathBuf>,
    /// The file with the gateways' order key.
    #[arg(long, global = true, value_name = "FILE")]
    key_file: Option<PathBuf>,
    /// Who orders; kept in the history.
    #[arg(long, global = true, env = "USER", default_value = "")]
    by: String,
    /// Why; kept in the history.
    #[arg(long, global = true, default_value = "")]
    why: String,
    /// Give up on gateways that can't be reached after so many milliseconds.
    #[arg(long, global = true, default_value_t = 10_000, value_name = "MS")]
    within: u64,
    /// Look at all gateways every so many milliseconds while conducting.
    #[arg(long, global = true, default_value_t = 1_000, value_name = "MS")]
    every: u64,
    #[command(subcommand)]
    order: Order,
}

#[derive(Clone, Subcommand)]
enum Order {
    /// Begin the plan in FILE and conduct it: widen step by step, promote at its end, roll back if the guard speaks.
    ///
    /// A plan goes on only while somebody conducts it: gateways that hear nothing for the plan's lease go back to the
    /// old version. Exits 0 when the plan was promoted, or holds a last step below all calls; 1 when it was rolled
    /// back or somebody else's order overruled it; 2 on a plan with a fault.
    Start {
        /// A plan, such as deploy/plan.star.
        file: PathBuf,
        /// Only give the order; `versions watch` conducts.
        #[arg(long)]
        no_watch: bool,
    },
    /// Read the plan in FILE and tell every fault with its line.
    Check {
        /// A plan.
        file: PathBuf,
    },
    /// Conduct a plan that has begun, in the place of one who can't any more.
    Watch {
        /// The function.
        function: String,
    },
    /// What holds at each gateway, and the answers by version.
    Status {
        /// The function; absent: all.
        function: Option<String>,
    },
    /// Stay at the present step. The plan needs a conductor all the same.
    Pause {
        /// The function.
        function: String,
    },
    /// Go on after a pause.
    Resume {
        /// The function.
        function: String,
    },
    /// Give the new version all calls, for good.
    Promote {
        /// The function.
        function: String,
    },
    /// Give the old version all calls again, at once.
    Rollback {
        /// The function.
        function: String,
    },
    /// The orders on a function that gateways took, oldest first.
    History {
        /// The function.
        function: String,
    },
}

pub fn run(args: VersionsArgs, tied: bool) -> anyhow::Result<ExitCode> {
    if tied {
        super::peers::tie();
    }
    let mut addresses = args.gateway.clone();
    if let Some(file) = &args.gateways {
        let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
        for (number, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
            let at = line.trim().parse().with_context(|| format!("{}:{}", file.display(), number + 1))?;
            addresses.push(at);
        }
    }
    if addresses.is_empty() {
        addresses.push(SocketAddr::from(([127, 0, 0, 1], 7100)));
    }
    let key = match &args.key_file {
        Some(file) => {
            std::fs::read_to_string(file).with_context(|| file.display().to_string())?.trim().to_owned()
        }
        None => String::new(),
    };
    let desk = |address| Gateway { address, client: None };
    let mut tool = Tool { gateways: addresses.into_iter().map(desk).collect(), key, args };
    match tool.args.order.clone() {
        Order::Check { file } => {
            let Some(plan) = plan(&file) else { return Ok(ExitCode::from(2)) };
            let (old, new) = (plan.routed(Side::Old), plan.routed(Side::New));
            println!("{}: sound; {old} to {new} in {} steps", file.display(), plan.steps.len());
            Ok(ExitCode::SUCCESS)
        }
        Order::Start { file, no_watch } => {
            let Some(plan) = plan(&file) else { return Ok(ExitCode::from(2)) };
            let before = tool.newest(&plan.function)?;
            let (by, why) = (&tool.args.by, &tool.args.why);
            let record = Record::start(plan, before.as_ref(), draw(), now(), by, why);
            let record = record.map_err(anyhow::Error::msg)?;
            if no_watch { tool.order(record) } else { tool.conduct(record) }
        }
        Order::Watch { function } => {
            let record = tool.held(&function)?;
            tool.conduct(record)
        }
        Order::Status { function } => tool.status(function),
        Order::Pause { function } => tool.next(&function, Kind::Pause),
        Order::Resume { function } => tool.next(&function, Kind::Resume),
        Order::Promote { function } => tool.next(&function, Kind::Promote),
        Order::Rollback { function } => tool.next(&function, Kind::RollBack),
        Order::History { function } => tool.history(&function),
    }
}

/// The plan in a file; its faults go to standard error.
fn plan(file: &Path) -> Option<Plan> {
    cresswheel_settings::read_plan(file, salt()).map_err(|faults| eprintln!("{faults}")).ok()
}

/// The time, in microseconds since 1970.
pub fn now() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as Micros)
}

/// A number that nobody else draws.
fn draw() -> u64 {
    RandomState::new().hash_one(now())
}

fn salt() -> [u64; 2] {
    [draw(), draw()]
}

struct Gateway {
    address: SocketAddr,
    client: Option<Client>,
}

/// An answer takes no longer than this, or the gateway counts as out of reach.
const ANSWER_WITHIN: Duration = Duration::from_secs(2);
const AGAIN: Duration = Duration::from_millis(100);

impl Gateway {
    fn ask(&mut self, key: &str, question: &Question) -> Result<Reply, String> {
        // A connection that broke since the last time says nothing of the gateway's present state.
        let had = self.client.is_some();
        match self.ask_once(key, question) {
            Err(_) if had => self.ask_once(key, question),
            other => other,
        }
    }

    fn ask_once(&mut self, key: &str, question: &Question) -> Result<Reply, String> {
        let mut client = match self.client.take() {
            Some(client) => client,
            None => Client::connect(self.address, "versions").map_err(|error| error.to_string())?,
        };
        let json = serde_json::to_vec(question).map_err(|error| error.to_string())?;
        let ask = Message::Versions { number: 1, key: key.into(), json };
        client.send(&ask).map_err(|error| error.to_string())?;
        loop {
            match client.receive_within(ANSWER_WITHIN).map_err(|error| error.to_string())? {
                Message::Versioned { json, .. } => {
                    self.client = Some(client);
                    return serde_json::from_slice(&json).map_err(|error| error.to_string());
                }
                Message::Answer { reason, .. } | Message::Bye { reason } => return Err(reason),
                _ => {}
            }
        }
    }
}

struct Tool {
    gateways: Vec<Gateway>,
    key: String,
    args: VersionsArgs,
}

impl Tool {
    /// Asks these gateways at once; what each said, or why it said nothing.
    fn ask(&mut self, which: &[usize], question: &Question) -> Vec<(usize, Result<Reply, String>)> {
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

    fn name(&self, at: usize) -> String {
        self.gateways[at].address.to_string()
    }

    /// Statuses of one function, or of all.
    fn statuses(&mut self, function: Option<&str>) -> Vec<(usize, Result<Vec<Status>, String>)> {
        let question = Question::Status(function.map(str::to_owned));
        let asked = self.ask(&self.all(), &question).into_iter();
        asked.map(|(at, reply)| (at, reply.and_then(statuses))).collect()
    }

    /// The newest record of a function that any gateway holds. One at least must be there.
    fn newest(&mut self, function: &str) -> anyhow::Result<Option<Record>> {
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
        Ok(records.max_by_key(Record::mark))
    }

    /// The same, where there must be one.
    fn held(&mut self, function: &str) -> anyhow::Result<Record> {
        self.newest(function)?.with_context(|| format!("no gateway has a plan for {function}"))
    }

    fn next(&mut self, function: &str, kind: Kind) -> anyhow::Result<ExitCode> {
        let held = self.held(function)?;
        // Safe to repeat: what was ordered already is only carried to those who lack it.
        let done = match kind {
            Kind::RollBack => held.stage == Stage::RolledBack,
            Kind::Promote => held.stage == Stage::Promoted,
            Kind::Pause => held.paused,
            _ => false,
        };
        let (by, why) = (&self.args.by, &self.args.why);
        let record =
            if done { held } else { held.then(kind, draw(), now(), by, why).map_err(anyhow::Error::msg)? };
        self.order(record)
    }

    /// Carries an order to all gateways, until all have it or the time is over.
    fn order(&mut self, record: Record) -> anyhow::Result<ExitCode> {
        let mark = record.mark();
        println!("{}", words(&record));
        let end = Instant::now() + Duration::from_millis(self.args.within);
        let question = Question::Order(Box::new(record));
        let (mut lack, mut why) = (self.all(), Vec::new());
        while !lack.is_empty() {
            why.clear();
            for (at, reply) in self.ask(&lack, &question) {
                match reply.and_then(statuses) {
                    Ok(said) => match said.first() {
                        Some(status) if status.record.mark() > mark => {
                            bail!("overruled at {}: {}", self.name(at), words(&status.record));
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
                std::thread::sleep(AGAIN);
            }
        }
        println!("{} of {} gateways have it", self.gateways.len() - lack.len(), self.gateways.len());
        why.iter().for_each(|why| eprintln!("not had: {why}"));
        Ok(if lack.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }

    /// Conducts a plan to its end.
    fn conduct(&mut self, record: Record) -> anyhow::Result<ExitCode> {
        let function = record.plan.function.clone();
        println!("{}", words(&record));
        let mut conductor = Conductor::new(record, self.gateways.len(), now());
        for (at, said) in self.statuses(Some(&function)) {
            conductor.heard(at, now(), said.map(|said| said.into_iter().next()));
        }
        let (mut told, mut waits) = (conductor.record().mark(), String::new());
        loop {
            let acts = conductor.turn(now(), draw());
            let record = conductor.record().clone();
            if record.mark() != told {
                told = record.mark();
                println!("{}", words(&record));
            }
            for act in &acts {
                let (which, question) = match act {
                    Act::Order(which) => (which, Question::Order(Box::new(record.clone()))),
                    Act::Renew(which) => (which, Question::Renew(function.clone(), record.mark())),
                };
                for (at, reply) in self.ask(which, &question) {
                    let said = reply.and_then(statuses);
                    conductor.heard(at, now(), said.map(|said| said.into_iter().next()));
                }
            }
            let now_waits = self.waits(&conductor);
            if now_waits != waits {
                waits = now_waits;
                if !waits.is_empty() {
                    println!("waits: {waits}");
                }
            }
            if let Some(end) = self.end(&conductor) {
                tallies(&record, conductor.sums());
                return Ok(end);
            }
            std::thread::sleep(Duration::from_millis(self.args.every));
        }
    }

    /// Which gateways are not where the record is.
    fn waits(&self, conductor: &Conductor) -> String {
        let (mark, share) = (conductor.record().mark(), conductor.record().share());
        let each = conductor.gateways().iter().enumerate().filter_map(|(at, heard)| {
            let why = match (&heard.error, &heard.status) {
                (Some(error), _) => error.clone(),
                (None, None) => "has no plan".into(),
                (None, Some(status)) if status.record.mark() != mark => "at another order".into(),
                (None, Some(status)) if status.share != share => match &status.hold {
                    Some(hold) => hold_words(hold),
                    None => format!("at {}", status.share),
                },
                _ => return None,
            };
            Some(format!("{} {why}", self.name(at)))
        });
        each.collect::<Vec<_>>().join("; ")
    }

    fn end(&self, conductor: &Conductor) -> Option<ExitCode> {
        let record = conductor.record();
        let all = conductor.gateways().iter().all(|heard| {
            heard.error.is_none() && heard.status.as_ref().is_some_and(|s| s.record.mark() == record.mark())
        });
        // Who can't be reached is waited for as long as an order waits, counted from the record.
        let late = now() > record.at.saturating_add(self.args.within * 1_000);
        if !record.is_over() || !(all || late) {
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

    fn status(&mut self, function: Option<String>) -> anyhow::Result<ExitCode> {
        let mut missing = false;
        for (at, said) in self.statuses(function.as_deref()) {
            let name = self.name(at);
            match said {
                Err(error) => {
                    missing = true;
                    println!("{name}: {error}");
                }
                Ok(statuses) if statuses.is_empty() => println!("{name}: no plan"),
                Ok(statuses) => statuses.iter().for_each(|status| show(&name, status)),
            }
        }
        Ok(if missing { ExitCode::FAILURE } else { ExitCode::SUCCESS })
    }

    fn history(&mut self, function: &str) -> anyhow::Result<ExitCode> {
        let mut all: Vec<Record> = Vec::new();
        let mut missing = false;
        for (at, reply) in self.ask(&self.all(), &Question::History(function.into())) {
            match reply {
                Ok(Reply::History(records)) => all.extend(records),
                Ok(Reply::Refused(why)) | Err(why) => {
                    missing = true;
                    eprintln!("{}: {why}", self.name(at));
                }
                Ok(Reply::Status(_)) => {}
            }
        }
        all.sort_by_key(Record::mark);
        all.dedup_by_key(|record| record.mark());
        all.iter().for_each(|record| println!("{}", words(record)));
        Ok(if missing { ExitCode::FAILURE } else { ExitCode::SUCCESS })
    }
}

fn statuses(reply: Reply) -> Result<Vec<Status>, String> {
    match reply {
        Reply::Status(statuses) => Ok(statuses),
        Reply::Refused(why) => Err(why),
        Reply::History(_) => Err("an answer to another question".into()),
    }
}

/// A record in a line.
fn words(record: &Record) -> String {
    let plan = &record.plan;
    let stage = match record.stage {
        Stage::Step(at) => format!("step {} of {}, {}", at + 1, plan.steps.len(), record.share()),
        Stage::Promoted => "promoted".into(),
        Stage::RolledBack => "rolled back".into(),
    };
    let paused = if record.paused { ", paused" } else { "" };
    let by = if record.by.is_empty() { String::new() } else { format!(" by {}", record.by) };
    let why = if record.why.is_empty() { String::new() } else { format!(": {}", record.why) };
    let (old, new) = (plan.routed(Side::Old), plan.routed(Side::New));
    format!("epoch {} {}: {old} to {new}, {stage}{paused}{by}{why}", record.epoch, record.kind.word())
}

fn hold_words(hold: &Hold) -> String {
    match hold {
        Hold::Loading => "loads the new version".into(),
        Hold::LoadsFail => "can't load the new version".into(),
        Hold::Lapsed => "heard nothing for its lease, went back to the old version".into(),
        Hold::Braked(why) => format!("went back to the old version by its own figures: {why}"),
    }
}

fn show(name: &str, status: &Status) {
    let hold = status.hold.as_ref().map_or(String::new(), |hold| format!(" ({})", hold_words(hold)));
    println!("{name} {}: {} to the new version{hold}", status.gateway, status.share);
    println!("  {}", words(&status.record));
    tallies(&status.record, &status.answers);
    for (routed, digests) in &status.ran {
        for (digest, count) in digests {
            println!("  ran {routed} {digest}: {count}");
        }
    }
    let [pairs, differ] = status.compared;
    if pairs > 0 {
        println!("  {differ} of {pairs} answers differ from the old version's to the same call");
    }
    if status.wrong > 0 {
        println!("  {} answers came from other versions than were asked for", status.wrong);
    }
}

fn tallies(record: &Record, answers: &std::collections::BTreeMap<String, [Tally; 2]>) {
    for (class, both) in answers {
        for (side, tally) in [Side::Old, Side::New].into_iter().zip(both) {
            let Tally { answered, errors, late, erred } = tally;
            let routed = record.plan.routed(side);
            println!(
                "  {class} by {routed}: {answered} answered, {errors} not served, {late} late, {erred} erred"
            );
        }
    }
}
