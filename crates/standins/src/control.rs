//! Fault commands: `hang 5000`, `lose 0.3 10000`, `cut block-b 8000`, ...

use std::collections::BTreeMap;

/// A fault that a worker simulates for a time.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The worker reads all messages and answers none, not even probes.
    Hang,
    /// This share of the answers is lost; probes are answered.
    Lose(f64),
    /// This share of the answers of one class is lost.
    LoseClass(String, f64),
    /// With this probability the connection is closed in place of sending an answer.
    Reset(f64),
    /// This share of the calls fails immediately.
    Fail(f64),
    /// This share of the loads fails.
    LoadFail(f64),
    /// Calls and loads take this many times as long.
    Slow(f64),
    /// All calls and orders are rejected.
    Refuse,
    /// The worker and the gateways of this zone don't reach each other.
    Cut(String),
    /// This share of the answers is sent twice.
    Twice(f64),
    /// Each answer is followed by an answer to an attempt that the worker never received.
    Stray,
    /// This share of the calls of a version ends in an error, after running.
    BadVersion(String, f64),
    /// The image of the second function is served under the name of the first.
    Swap(String, String),
}

/// The active faults with the time when each ends.
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
        let (name, fault, duration) = match parts[..] {
            ["hang", duration] => ("hang", Fault::Hang, duration),
            ["lose", part, duration] => ("lose", Fault::Lose(share(part)?), duration),
            ["lose-class", class, part, duration] => {
                ("lose-class", Fault::LoseClass(class.into(), share(part)?), duration)
            }
            ["reset", part, duration] => ("reset", Fault::Reset(share(part)?), duration),
            ["fail", part, duration] => ("fail", Fault::Fail(share(part)?), duration),
            ["load-fail", part, duration] => ("load-fail", Fault::LoadFail(share(part)?), duration),
            ["twice", part, duration] => ("twice", Fault::Twice(share(part)?), duration),
            ["bad-version", version, part, duration] => {
                ("bad-version", Fault::BadVersion(version.into(), share(part)?), duration)
            }
            ["swap", name, image, duration] => ("swap", Fault::Swap(name.into(), image.into()), duration),
            ["stray", duration] => ("stray", Fault::Stray, duration),
            ["refuse", duration] => ("refuse", Fault::Refuse, duration),
            ["cut", zone, duration] => ("cut", Fault::Cut(zone.into()), duration),
            ["slow", factor, duration] => match factor.parse::<f64>() {
                Ok(factor) if (1.0..=1e3).contains(&factor) => ("slow", Fault::Slow(factor), duration),
                _ => return Err(format!("{words}: {factor} is no factor from 1 to 1000")),
            },
            _ => return Err(format!("{words}: no such fault, or a part of it is missing")),
        };
        let duration: u64 =
            duration.parse().map_err(|_| format!("{words}: {duration} are no milliseconds"))?;
        self.until.insert(name, (now.saturating_add(duration.saturating_mul(1_000)), fault));
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

    /// The share of this class's answers that is lost.
    pub fn class_share(&self, now: u64, class: &str) -> f64 {
        match self.get(now, "lose-class") {
            Some(Fault::LoseClass(affected, share)) if affected == class => *share,
            _ => 0.0,
        }
    }

    /// The share of calls that fails because of the version of this function (`NAME@VERSION`, as routed).
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

    /// Factor by which calls and loads are slowed down.
    pub fn slowness(&self, now: u64) -> f64 {
        if let Some(Fault::Slow(factor)) = self.get(now, "slow") { *factor } else { 1.0 }
    }

    /// Whether the gateways of this zone are cut off.
    pub fn cuts(&self, now: u64, zone: &str) -> bool {
        matches!(self.get(now, "cut"), Some(Fault::Cut(cut)) if cut == zone)
    }

    /// When the next fault ends.
    pub fn next_end(&self, now: u64) -> Option<u64> {
        self.until.values().map(|(until, _)| *until).filter(|until| *until > now).min()
    }
}
