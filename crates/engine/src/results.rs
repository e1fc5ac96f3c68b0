//! Results of calls that are over, kept for a stated time within a stated memory.
//!
//! A result that had to go leaves its id for a while, so that a client hears 'no longer kept' and not 'unknown'.

use std::collections::VecDeque;

use foldhash::{HashMap, HashSet};

use cresswheel::Micros;

use crate::Answer;

/// Bounds on kept results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResultLimits {
    /// How long a result is kept.
    pub keep: Micros,
    /// Bytes of all results kept, bookkeeping included; the oldest go first.
    pub bytes: usize,
}

impl Default for ResultLimits {
    /// 5 minutes, 64 MiB.
    fn default() -> Self {
        Self { keep: 300_000_000, bytes: 64 << 20 }
    }
}

/// What one result costs beside its body: id, key, places in the tables.
const OVERHEAD: usize = 512;
/// Ids remembered after their results went, for each that could be kept at its least size.
const REMEMBERED: usize = 16;

#[derive(Debug, Default)]
pub struct Results {
    pub limits: ResultLimits,
    kept: HashMap<String, Answer>,
    order: VecDeque<(Micros, String)>,
    bytes: usize,
    gone: HashSet<String>,
    gone_order: VecDeque<String>,
}

impl Results {
    pub fn new(limits: ResultLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    pub fn get(&self, id: &str) -> Option<&Answer> {
        self.kept.get(id)
    }

    pub fn is_gone(&self, id: &str) -> bool {
        self.gone.contains(id)
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Keeps a result; gives back the ids of those that had to go for it.
    pub fn put(&mut self, now: Micros, id: &str, answer: Answer) -> Vec<String> {
        self.bytes += answer.body.len() + OVERHEAD;
        self.order.push_back((now, id.into()));
        self.kept.insert(id.into(), answer);
        let mut gone = Vec::new();
        while self.bytes > self.limits.bytes {
            gone.extend(self.pop());
        }
        gone
    }

    /// Drops what was kept long enough; gives back the ids.
    pub fn expire(&mut self, now: Micros) -> Vec<String> {
        let mut gone = Vec::new();
        while self.next_expiry().is_some_and(|at| at <= now) {
            gone.extend(self.pop());
        }
        gone
    }

    pub fn next_expiry(&self) -> Option<Micros> {
        self.order.front().map(|(at, _)| at.saturating_add(self.limits.keep))
    }

    fn pop(&mut self) -> Option<String> {
        let (_, id) = self.order.pop_front()?;
        if let Some(answer) = self.kept.remove(&id) {
            self.bytes -= answer.body.len() + OVERHEAD;
        }
        self.gone.insert(id.clone());
        self.gone_order.push_back(id.clone());
        if self.gone_order.len() > self.limits.bytes / OVERHEAD * REMEMBERED
            && let Some(old) = self.gone_order.pop_front()
        {
            self.gone.remove(&old);
        }
        Some(id)
    }
}
