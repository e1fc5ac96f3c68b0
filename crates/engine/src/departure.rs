//! Whether what was decided earlier may leave now.
//!
//! The decision module places attempts and orders on what is known at that moment. Their bytes leave later: after the
//! rest of a turn, once a connection stands, once the process that stood still goes on. In between the client may have
//! gone, the deadline passed, the worker begun to drain, and the worker list may have grown too old to tell. This
//! module is the one place that says whether something may still leave. The shells ask it right before the bytes do
//! ([`crate::Engine::may_leave`]) and tell it afterwards what left ([`crate::Engine::departed`]); what left against
//! the rules is counted.
//!
//! Invariants:
//! - nothing new goes to a worker that the list, or its own word, says is leaving;
//! - nothing new goes to a worker about which the list service's answers contradict each other;
//! - a list counts only as long as no event that it lacks can be past its grace;
//! - a worker's own word that it serves counts as a list of that worker alone, as of the question.
//!
//! It trusts the worker's word, and the times that the shell gives.

use std::collections::{BTreeMap, BTreeSet};

use cresswheel::{Micros, WorkerId};
use cresswheel_protocol::Standing;

/// An answer that comes within this of its question, and a question that follows the last answered one within it: the
/// list was current until the list service fell silent.
const CURRENT: Micros = 500_000;
/// Bytes leave so much later than they are cleared, and clocks of two machines differ.
const MARGIN: Micros = 100_000;
/// A worker that left the list is remembered for so long, to judge what left for it.
const REMEMBERED: Micros = 60_000_000;

/// Whether something may leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// It may.
    Now,
    /// Not yet: something has to be heard first.
    Wait(WaitFor),
    /// It may not: take it back.
    Never(Barred),
}

/// What has to be heard before something may leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitFor {
    /// An answer of the list service.
    List,
    /// The worker's own word that it serves.
    Worker,
    /// Answers of the list service that agree about the worker.
    Agreement,
}

/// Why something may not leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Barred {
    /// The call has its answer, or its client has gone.
    CallOver,
    /// The client's time is over.
    DeadlinePassed,
    /// The workers may have forgotten the call's earlier attempt.
    MemoryPassed,
    /// The worker drains or has gone.
    WorkerLeaves,
}

impl Barred {
    /// In a word, for logs and counters.
    pub fn word(self) -> &'static str {
        match self {
            Self::CallOver => "call-over",
            Self::DeadlinePassed => "deadline-passed",
            Self::MemoryPassed => "memory-passed",
            Self::WorkerLeaves => "worker-leaves",
        }
    }
}

/// When an event of the worker list counts as told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListTerms {
    /// An event counts as told so long after it happened, whether its news came or not.
    pub told_within: Micros,
    /// While the list service is silent, so long after the silence began.
    pub told_in_silence: Micros,
    /// Nothing new may go to a worker so long after the news that it leaves.
    pub grace: Micros,
    /// So many questions in a row without an answer are a silence, not a loss.
    pub silent_after: u32,
    /// Workers may be asked whether they serve.
    pub workers_answer: bool,
}

impl ListTerms {
    /// How long a list, or a worker's word, may be acted on: an event right after it counts as told then, and its
    /// grace is over.
    fn trusted_for(&self) -> Micros {
        (self.told_within + self.grace).saturating_sub(MARGIN)
    }

    fn trusted_in_silence(&self) -> Micros {
        (self.told_in_silence + self.grace).saturating_sub(MARGIN)
    }
}

/// How current the worker list is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListAge {
    /// It tells all that had happened by then: when the question was asked.
    pub as_of: Micros,
    /// When that question's answer came.
    pub heard: Micros,
    /// The first question asked after that one.
    pub first_unanswered: Option<Micros>,
    /// The first question asked after that one to which no answer has come.
    pub first_missing: Option<Micros>,
    /// Questions asked since an answer came last.
    pub unanswered: u32,
    /// For a while since nobody asked: this process stood still.
    pub unasked: bool,
}

impl ListAge {
    /// How long the last answer that counts took.
    fn latency(&self) -> Micros {
        self.heard.saturating_sub(self.as_of)
    }

    /// The list service answers, but late.
    fn is_slow(&self) -> bool {
        self.latency() > CURRENT
    }

    /// The list was current when questions began to stay without an answer.
    fn was_current_until_silence(&self) -> bool {
        let asked_on = self.first_unanswered.is_some_and(|first| first.saturating_sub(self.as_of) <= CURRENT);
        asked_on && !self.unasked && !self.is_slow()
    }
}

/// What is known of the list's age and of the workers' own words.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    terms: Option<ListTerms>,
    age: ListAge,
    /// Workers that said they serve, with the time of the question.
    serving: BTreeMap<WorkerId, Micros>,
    /// Workers that said they do not, with the time of the question; the list may not know it yet.
    leaving: BTreeMap<WorkerId, Micros>,
    /// Since when a worker is known to leave, or to have left.
    told: BTreeMap<WorkerId, Micros>,
    /// Since when answers of the list service contradict each other about a worker.
    disputed: BTreeMap<WorkerId, Micros>,
}

impl Departures {
    /// From now on the age of the list counts.
    pub fn hold_to(&mut self, terms: ListTerms, age: ListAge) {
        (self.terms, self.age) = (Some(terms), age);
    }

    /// The list's age is this.
    pub fn aged(&mut self, age: ListAge) {
        self.age = age;
    }

    /// A worker said whether it serves.
    pub fn worker_said(&mut self, worker: WorkerId, serves: bool, asked: Micros) {
        if serves {
            let last = self.serving.entry(worker).or_insert(asked);
            *last = asked.max(*last);
        } else {
            self.serving.remove(&worker);
            self.leaving.insert(worker, asked);
        }
    }

    /// Answers of the list service contradict each other about these workers, and about no others.
    pub fn dispute(&mut self, now: Micros, workers: BTreeSet<WorkerId>) {
        self.disputed.retain(|worker, _| workers.contains(worker));
        workers.into_iter().for_each(|worker| _ = self.disputed.entry(worker).or_insert(now));
    }

    /// Disputed workers that the module is not to use: nothing more is heard that could settle it, and they can't be
    /// asked.
    pub fn withheld(&self) -> BTreeSet<WorkerId> {
        match self.terms {
            Some(terms) if !terms.workers_answer && self.is_unanswered(&terms) => {
                self.disputed.keys().cloned().collect()
            }
            _ => BTreeSet::new(),
        }
    }

    /// Whether the module is told that this worker drains, though the list has it in service.
    pub fn is_kept_from_module(&self, worker: &WorkerId) -> bool {
        self.says_it_leaves(worker)
            || self.disputed.contains_key(worker)
                && self.terms.is_some_and(|terms| !terms.workers_answer && self.is_unanswered(&terms))
    }

    fn is_unanswered(&self, terms: &ListTerms) -> bool {
        self.age.unanswered >= terms.silent_after
    }

    /// It said that it serves after it was disputed.
    fn is_vouched_for(&self, worker: &WorkerId, disputed: Micros) -> bool {
        self.serving.get(worker).is_some_and(|asked| *asked > disputed)
    }

    /// Whether the worker's own word, that it leaves, is newer than what the list can know.
    pub fn says_it_leaves(&self, worker: &WorkerId) -> bool {
        self.leaving.contains_key(worker)
    }

    /// Workers whose word the list has caught up with: it counts again.
    pub fn caught_up(&mut self) -> Vec<WorkerId> {
        let Some(terms) = self.terms else { return Vec::new() };
        let as_of = self.age.as_of;
        let over = |asked: Micros| asked.saturating_add(terms.told_within) < as_of;
        let over: Vec<_> =
            self.leaving.iter().filter(|(_, asked)| over(**asked)).map(|(w, _)| w.clone()).collect();
        over.iter().for_each(|worker| _ = self.leaving.remove(worker));
        over
    }

    /// The list names a worker so, or no longer. A worker that began anew said nothing yet.
    pub fn listed(&mut self, now: Micros, worker: &WorkerId, standing: Standing, began_anew: bool) {
        if began_anew {
            self.leaving.remove(worker);
            self.serving.remove(worker);
        }
        if standing == Standing::In {
            self.told.remove(worker);
        } else {
            self.told.entry(worker.clone()).or_insert(now);
        }
        if standing == Standing::Out {
            self.leaving.remove(worker);
            self.serving.remove(worker);
        }
    }

    /// Forgets workers that left long ago.
    pub fn forget(&mut self, now: Micros, is_listed: impl Fn(&WorkerId) -> bool) {
        self.told.retain(|worker, since| is_listed(worker) || since.saturating_add(REMEMBERED) > now);
        self.serving.retain(|worker, _| is_listed(worker));
        self.leaving.retain(|worker, _| is_listed(worker));
    }

    /// Whether something may leave for a worker with this standing in the list.
    pub fn judge(&self, now: Micros, worker: &WorkerId, standing: Option<Standing>) -> Departure {
        if standing != Some(Standing::In) || self.says_it_leaves(worker) {
            return Departure::Never(Barred::WorkerLeaves);
        }
        let Some(terms) = self.terms else { return Departure::Now };
        if let Some(since) = self.disputed.get(worker) {
            if !self.is_unanswered(&terms) || !terms.workers_answer {
                return Departure::Wait(WaitFor::Agreement);
            }
            if !self.is_vouched_for(worker, *since) {
                return Departure::Wait(WaitFor::Worker);
            }
        }
        if now <= self.trusted_until(&terms, worker) {
            return Departure::Now;
        }
        if !self.is_unanswered(&terms) && !self.age.is_slow() {
            return Departure::Wait(WaitFor::List);
        }
        let until = self.age.as_of.saturating_add(terms.trusted_in_silence());
        if self.age.was_current_until_silence() && now <= until {
            return Departure::Now;
        }
        // Where workers can't be asked, those known last go on: without the list service nothing better is to be had.
        match terms.workers_answer {
            true => Departure::Wait(WaitFor::Worker),
            false => Departure::Now,
        }
    }

    /// Until when the list, or the worker's own word, may be acted on.
    fn trusted_until(&self, terms: &ListTerms, worker: &WorkerId) -> Micros {
        let known = self.serving.get(worker).copied().unwrap_or(0).max(self.age.as_of);
        let until = known.saturating_add(terms.trusted_for());
        // An answer that is missing may have been sent all the same, as late as the last one or sooner: what it held was
        // told then.
        let missing = self.age.first_missing.filter(|missing| *missing >= known);
        let told = missing.map(|missing| missing.saturating_add(self.age.latency()));
        told.map_or(until, |told| until.min(told.saturating_add(terms.grace).saturating_sub(MARGIN)))
    }

    /// Whether what leaves for this worker breaks the rule of drains: it was known to leave for longer than the grace,
    /// or an answer has said so for as long.
    pub fn is_past_grace(&self, now: Micros, worker: &WorkerId) -> bool {
        let grace = self.terms.map_or(0, |terms| terms.grace);
        let disputed = self.disputed.get(worker).filter(|since| !self.is_vouched_for(worker, **since));
        let told = self.told.get(worker).or(disputed);
        told.is_some_and(|told| told.saturating_add(grace) < now)
    }
}

#[cfg(test)]
mod tests;
