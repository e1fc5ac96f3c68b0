//! So many a second, with a burst.

use cresswheel_protocol::Micros;

/// A bucket that fills with time. Amounts are kept in millionths, so that no time is lost to rounding.
#[derive(Clone, Debug)]
pub struct Pace {
    per_s: u64,
    burst: u64,
    level: u64,
    at: Micros,
}

const ONE: u64 = 1_000_000;

impl Pace {
    /// A full bucket. A rate of 0 gives nothing after the burst.
    pub fn new(now: Micros, per_s: u64, burst: u64) -> Self {
        Self { per_s, burst, level: burst.saturating_mul(ONE), at: now }
    }

    /// An empty bucket: the first one is due after one part of a second.
    pub fn empty(now: Micros, per_s: u64, burst: u64) -> Self {
        Self { level: 0, ..Self::new(now, per_s, burst) }
    }

    /// Changes the rate; what has been saved up stays, within the new burst.
    pub fn change(&mut self, now: Micros, per_s: u64, burst: u64) {
        self.fill(now);
        (self.per_s, self.burst) = (per_s, burst);
        self.level = self.level.min(burst.saturating_mul(ONE));
    }

    fn fill(&mut self, now: Micros) {
        let gone = now.saturating_sub(self.at);
        self.at = self.at.max(now);
        let more = gone.saturating_mul(self.per_s);
        self.level = self.level.saturating_add(more).min(self.burst.saturating_mul(ONE));
    }

    /// Takes one, if there is one.
    pub fn take(&mut self, now: Micros) -> bool {
        self.fill(now);
        let there = self.level >= ONE;
        self.level -= if there { ONE } else { 0 };
        there
    }

    /// Whether the bucket is full.
    pub fn is_full(&mut self, now: Micros) -> bool {
        self.fill(now);
        self.level >= self.burst.saturating_mul(ONE)
    }

    /// When it is full; `None`: never.
    pub fn full_at(&self, now: Micros) -> Option<Micros> {
        self.when(now, self.burst.saturating_mul(ONE))
    }

    /// When there is one; `None`: never.
    pub fn next(&self, now: Micros) -> Option<Micros> {
        self.when(now, ONE)
    }

    fn when(&self, now: Micros, level: u64) -> Option<Micros> {
        let mut filled = self.clone();
        filled.fill(now);
        match level.saturating_sub(filled.level) {
            0 => Some(now),
            _ if self.per_s == 0 => None,
            missing => Some(now.saturating_add(missing.div_ceil(self.per_s))),
        }
    }
}
