//! Fault commands: `hang 5000`, `lose 0.3 10000`, `cut block-b 8000`, ...

use std::collections::BTreeMap;

/// A fault that a worker simulates for a time.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Reads everything and answers nothing, probes included.
    Hang,
    /// This share of the answers is lost; probes pass.
    Lose(f64),
    /// This share of the answers of one class is lost.
    LoseClass(String, f64),
    /// This share of the connections with an answer due breaks instead.
    Reset(f64),
    /// This share of the calls fails at once.
    Fail(f64),
    /// This share of the loads fails.
    LoadFail(f64),
    /// Everything takes so many times as long.
    Slow(f64),
    /// All calls and orders are rejected.
    Refuse,
    /// Nothing passes between the worker and gateways of this zone.
    Cut(String),
    /// This share of the answers is sent twice.
    Twice(f64),
    /// Each answer is accompanied by one to a call that the worker never got.
    Stray,
    /// This share of the calls of a version ends in an error, after running.
    BadVersion(String, f64),
    /// The image of the second function is served under the name of the first.
    Swap(String, String),
}

/// The active faults, each until its end.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    until: BTreeMap<&'static str, (u64, Fault)>,
}

impl Faults {
    /// Parses `NAME [VALUE] MS` and activates the fault from `now` on.
    pub fn begin(&mut self, now: u64, words: &str) -> Result<(), String> {
        let parts: Vec<&str> = words.split_whitespace().collect();
        let share = |text: &str| match text.parse::<f64>() {
            Ok(share) if (0.0..=1.0).contains(&share) => Ok(share),
            _ => Err(format!("{words}: {text} is no share from 0 to 1")),
        };
        let (name, fault, span) = match parts[..] {
            ["hang", span] => ("hang", Fault::Hang, span),
            ["lose", part, span] => ("lose", Fault::Lose(share(part)?), span),
            ["lose-class", class, part, span] => {
                ("lose-class", Fault::LoseClass(class.into(), share(part)?), span)
            }
            ["reset", part, span] => ("reset", Fault::Reset(share(part)?), span),
            ["fail", part, span] => ("fail", Fault::Fail(share(part)?), span),
            ["load-fail", part, span] => ("load-fail", Fault::LoadFail(share(part)?), span),
            ["twice", part, span] => ("twice", Fault::Twice(share(part)?), span),
            ["bad-version", version, part, span] => {
                ("bad-version", Fault::BadVersion(version.into(), share(part)?), span)
            }
            ["swap", name, image, span] => ("swap", Fault::Swap(name.into(), image.into()), span),
            ["stray", span] => ("stray", Fault::Stray, span),
            ["refuse", span] => ("refuse", Fault::Refuse, span),
            ["cut", zone, span] => ("cut", Fault::Cut(zone.into()), span),
            ["slow", times, span] => match times.parse::<f64>() {
                Ok(times) if (1.0..=1e3).contains(&times) => ("slow", Fault::Slow(times), span),
                _ => return Err(format!("{words}: {times} is no factor from 1 to 1000")),
            },
            _ => return Err(format!("{words}: no such fault, or a part of it is missing")),
        };
        let span: u64 = span.parse().map_err(|_| format!("{words}: {span} are no milliseconds"))?;
        self.until.insert(name, (now.saturating_add(span.saturating_mul(1_000)), fault));
        Ok(())
    }

    /// The fault of this name, if it is active.
    pub fn get(&self, now: u64, name: &str) -> Option<&Fault> {
        self.until.get(name).filter(|(until, _)| now < *until).map(|(_, fault)| fault)
    }

    /// The share of a fault that has one; 0 when it is not active.
    pub fn share(&self, now: u64, name: &str) -> f64 {
        match self.get(now, name) {
            Some(
                Fault::Lose(s) | Fault::Reset(s) | Fault::Fail(s) | Fault::LoadFail(s) | Fault::Twice(s),
            ) => *s,
            _ => 0.0,
        }
    }

    /// The share of a class's answers that is lost.
    pub fn class_share(&self, now: u64, class: &str) -> f64 {
        match self.get(now, "lose-class") {
            Some(Fault::LoseClass(struck, share)) if struck == class => *share,
            _ => 0.0,
        }
    }

    /// The share of the calls of this function, as routed, that its version makes fail.
    pub fn version_share(&self, now: u64, function: &str) -> f64 {
        match self.get(now, "bad-version") {
            Some(Fault::BadVersion(version, share))
                if function.rsplit_once('@').is_some_and(|(_, of)| of == version) =>
            {
                *share
            }
            _ => 0.0,
        }
    }

    /// The function whose image is served under this function's name, if it is not the function's own.
    pub fn swapped(&self, now: u64, function: &str) -> Option<&str> {
        match self.get(now, "swap") {
            Some(Fault::Swap(name, image)) if name == function => Some(image),
            _ => None,
        }
    }

    /// How many times as long everything takes.
    pub fn slowness(&self, now: u64) -> f64 {
        if let Some(Fault::Slow(times)) = self.get(now, "slow") { *times } else { 1.0 }
    }

    /// Whether this zone is cut off.
    pub fn cuts(&self, now: u64, zone: &str) -> bool {
        matches!(self.get(now, "cut"), Some(Fault::Cut(cut)) if cut == zone)
    }

    /// When the next fault ends.
    pub fn next_end(&self, now: u64) -> Option<u64> {
        self.until.values().map(|(until, _)| *until).filter(|until| *until > now).min()
    }
}
