//! Results of finished calls, kept for a limited time within limited memory.
//!
//! The id of a dropped result is remembered for a while, so that a client gets 'expired' and not 'unknown'.

use std::collections::VecDeque;

use foldhash::{HashMap, HashSet};

use cresswheel::Micros;

use crate::Answer;

/// Limits on kept results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResultLimits {
    /// How long a result is kept.
    pub keep: Micros,
    /// Bytes of all kept results, bookkeeping included; above this the oldest are dropped.
    pub bytes: usize,
}

impl Default for ResultLimits {
    /// 5 minutes, 64 MiB.
    fn default() -> Self {
        Self { keep: 300_000_000, bytes: 64 << 20 }
    }
}

/// Bytes of one result besides its body: id, key, table entries.
const OVERHEAD: usize = 512;
/// Ids of dropped results remembered, per result of the smallest size that fits into the limit.
const EXPIRED_IDS_PER_RESULT: usize = 16;

/// Kept results by call id.
#[derive(Debug, Default)]
pub struct Results {
    pub limits: ResultLimits,
    kept: HashMap<String, Answer>,
    insertion_order: VecDeque<(Micros, String)>,
    bytes: usize,
    expired: HashSet<String>,
    expired_order: VecDeque<String>,
}

impl Results {
    pub fn new(limits: ResultLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    pub fn get(&self, id: &str) -> Option<&Answer> {
        self.kept.get(id)
    }

    pub fn has_expired(&self, id: &str) -> bool {
        self.expired.contains(id)
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Keeps a result; returns the ids of the results that were dropped to make space.
    pub fn insert(&mut self, now: Micros, id: &str, answer: Answer) -> Vec<String> {
        self.bytes += answer.body.len() + OVERHEAD;
        self.insertion_order.push_back((now, id.into()));
        self.kept.insert(id.into(), answer);
        let mut dropped = Vec::new();
        while self.bytes > self.limits.bytes {
            dropped.extend(self.drop_oldest());
        }
        dropped
    }

    /// Drops the results whose time is over; returns their ids.
    pub fn expire(&mut self, now: Micros) -> Vec<String> {
        let mut dropped = Vec::new();
        while self.next_expiry().is_some_and(|at| at <= now) {
            dropped.extend(self.drop_oldest());
        }
        dropped
    }

    pub fn next_expiry(&self) -> Option<Micros> {
        self.insertion_order.front().map(|(at, _)| at.saturating_add(self.limits.keep))
    }

    fn drop_oldest(&mut self) -> Option<String> {
        let (_, id) = self.insertion_order.pop_front()?;
        if let Some(answer) = self.kept.remove(&id) {
            self.bytes -= answer.body.len() + OVERHEAD;
        }
        self.expired.insert(id.clone());
        self.expired_order.push_back(id.clone());
        if self.expired_order.len() > self.limits.bytes / OVERHEAD * EXPIRED_IDS_PER_RESULT
            && let Some(oldest) = self.expired_order.pop_front()
        {
            self.expired.remove(&oldest);
        }
        Some(id)
    }
}
