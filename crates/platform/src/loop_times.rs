//! How long iterations of the event loop take, and in which stage the time passes.

use cresswheel::Micros;

/// At most one line about long iterations in this time.
const REPORT_INTERVAL: Micros = 1_000_000;

/// A stage of an iteration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Notices of the event loop: new and closed connections, input, signals.
    Notices,
    /// Requests, cancellations and answers that were read.
    Input,
    /// Requests that are started.
    Start,
    /// Timers, limits and counters.
    Timers,
}

const STAGES: usize = 4;

/// An iteration that took longer than allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LongIteration {
    /// Its length, without the wait for events.
    pub length: Micros,
    /// Its longest stage.
    pub stage: Stage,
    /// The length of that stage.
    pub stage_length: Micros,
}

/// The lengths of iterations since the last report.
#[derive(Clone, Debug, Default)]
pub struct LoopTimes {
    began: Micros,
    last_mark: Micros,
    stages: [Micros; STAGES],
    reported_at: Option<Micros>,
    iterations: u64,
    longest: Micros,
}

impl LoopTimes {
    /// An iteration begins: the wait for events is over.
    pub fn begin(&mut self, now: Micros) {
        (self.began, self.last_mark) = (now, now);
        self.stages = [0; STAGES];
    }

    /// The stage that ends now took the time since the end of the one before.
    pub fn end_stage(&mut self, now: Micros, stage: Stage) {
        self.stages[stage as usize] += now.saturating_sub(self.last_mark);
        self.last_mark = now;
    }

    /// The iteration is over. Returns its times if it took longer than `limit` and none was reported lately.
    pub fn finish(&mut self, now: Micros, limit: Micros) -> Option<LongIteration> {
        let length = now.saturating_sub(self.began);
        self.iterations += 1;
        self.longest = self.longest.max(length);
        let is_due = self.reported_at.is_none_or(|at| at.saturating_add(REPORT_INTERVAL) <= now);
        if length <= limit || !is_due {
            return None;
        }
        self.reported_at = Some(now);
        let all = [Stage::Notices, Stage::Input, Stage::Start, Stage::Timers];
        let stage = all.into_iter().max_by_key(|stage| self.stages[*stage as usize])?;
        Some(LongIteration { length, stage, stage_length: self.stages[stage as usize] })
    }

    /// The number of iterations and the length of the longest since the last call.
    pub fn take(&mut self) -> (u64, Micros) {
        (std::mem::take(&mut self.iterations), std::mem::take(&mut self.longest))
    }
}

#[cfg(test)]
mod tests;
