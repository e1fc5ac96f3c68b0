//! Which of the list service's answers are believed.
//!
//! An answer holds the whole worker list under the number of its last event. Numbers count from the start of this
//! process, and no answer says for which process it was made: an old answer, of this process or of the one before it,
//! may come in place of a current one, under any number. So a single answer that says something else than what is held
//! proves nothing. It opens a doubt, which ends when enough answers to later questions agree.
//!
//! Invariants:
//! - a list comes into force only after [`AGREEING`] answers, to as many questions, agree that it was current;
//! - one that cannot follow the list in force, which answers have confirmed, needs answers that support it for longer than
//!   a list service may be behind: one that is merely behind has caught up by then;
//! - while there is a doubt, a worker is undisputed only if every answer since it began, and the list in force, hold
//!   the same entry of it, in service;
//! - the list in force is as old as the first of the last [`AGREEING`] answers in a row that support it, so that an old
//!   answer that happens to hold the same list makes it no younger than it is.
//!
//! It has no clock and no socket, and trusts the times that it is given.

use std::collections::{BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use cresswheel::{Micros, WorkerId};
use cresswheel_protocol::{Listed, Standing};

/// So many answers in a row that say the same end a doubt: one more than old answers come in a row.
pub const AGREEING: usize = 3;
/// The list may change faster than it can be confirmed. After so many answers in a row that can all be of one process,
/// the one that [`AGREEING`] of them support is taken.
const SUCCESSIVE: usize = 2 * AGREEING;
/// Lists that were in force before are recognized again; so many of them.
const SUPERSEDED: usize = 64;

/// A worker list as of an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListVersion {
    /// The last event's number.
    pub number: u64,
    /// The workers by id; who is not named is gone.
    workers: Vec<Listed>,
}

impl ListVersion {
    /// A list under its number, in any order.
    pub fn new(number: u64, mut workers: Vec<Listed>) -> Self {
        workers.sort_by(|one, other| one.id.cmp(&other.id));
        Self { number, workers }
    }

    /// The workers by id.
    pub fn workers(&self) -> &[Listed] {
        &self.workers
    }

    /// Whether this can be what a service tells after `earlier`: a later number, or the same list.
    fn can_follow(&self, earlier: &Self) -> bool {
        self.number > earlier.number || self == earlier
    }

    fn holds(&self, worker: &Listed) -> bool {
        let found = self.workers.binary_search_by(|entry| entry.id.cmp(&worker.id));
        found.is_ok_and(|at| self.workers[at] == *worker)
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.number.hash(&mut hasher);
        self.workers.hash(&mut hasher);
        hasher.finish()
    }
}

/// What an answer came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Weighed {
    /// The list in force tells all that had happened by the time of that question; `None`: nothing supports it yet.
    pub as_of: Option<Exchange>,
    /// Another list has come into force.
    pub is_new: bool,
}

/// A question and its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exchange {
    /// When it was asked.
    pub asked: Micros,
    /// When its answer came.
    pub heard: Micros,
}

/// Contradictions between answers since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Contradictions {
    /// Doubts that are over and in which answers contradicted each other.
    pub settled: u64,
    /// Of those, how many ended with a list that cannot follow the one in force: that one was believed wrongly.
    pub overturned: u64,
    /// How long they lasted together.
    pub lasted: Micros,
    /// The longest of them.
    pub longest: Micros,
}

#[derive(Debug)]
struct Answered {
    exchange: Exchange,
    list: ListVersion,
}

#[derive(Debug)]
struct Doubt {
    since: Micros,
    is_contradiction: bool,
    /// Workers in service by the list in force, of which some answer said something else.
    disputed: BTreeSet<WorkerId>,
}

/// The list in force, and the answers that don't agree with it.
#[derive(Debug)]
pub struct ListEvidence {
    held: ListVersion,
    /// An answer has supported the list in force.
    is_confirmed: bool,
    /// An event is in the answers so long after it happened at the latest.
    told_within: Micros,
    /// Digests of lists that were in force before, the latest last.
    superseded: VecDeque<u64>,
    /// The latest question that was answered.
    last_asked: Option<Micros>,
    doubt: Option<Doubt>,
    /// The latest answers, each of which can follow the one before.
    recent: VecDeque<Answered>,
    /// When the first of the answers in a row was asked of which each can follow the one before.
    in_a_row_since: Micros,
    contradictions: Contradictions,
}

impl ListEvidence {
    /// Begins with a list that is taken for true, as the configuration's is. An event is in the answers `told_within`
    /// after it happened at the latest.
    pub fn new(held: ListVersion, told_within: Micros) -> Self {
        Self {
            held,
            is_confirmed: false,
            told_within,
            superseded: VecDeque::new(),
            last_asked: None,
            doubt: None,
            recent: VecDeque::new(),
            in_a_row_since: 0,
            contradictions: Contradictions::default(),
        }
    }

    /// The list in force.
    pub fn held(&self) -> &ListVersion {
        &self.held
    }

    /// Answers say different things, and it is not settled yet which are believed.
    pub fn is_in_doubt(&self) -> bool {
        self.doubt.is_some()
    }

    /// Since when answers have contradicted each other, if they do.
    pub fn contradicted_since(&self) -> Option<Micros> {
        self.doubt.as_ref().filter(|doubt| doubt.is_contradiction).map(|doubt| doubt.since)
    }

    /// Workers in service by the list in force, but not, or otherwise, by an answer since the doubt began.
    pub fn disputed(&self) -> BTreeSet<WorkerId> {
        self.doubt.as_ref().map(|doubt| doubt.disputed.clone()).unwrap_or_default()
    }

    /// What was counted of contradictions since the start.
    pub fn contradictions(&self) -> Contradictions {
        self.contradictions
    }

    /// Weighs an answer.
    pub fn weigh(&mut self, exchange: Exchange, answer: ListVersion) -> Weighed {
        let Exchange { asked, heard: now } = exchange;
        if self.last_asked.is_some_and(|last| asked <= last) {
            self.weigh_late(exchange, &answer);
            return Weighed::default();
        }
        self.last_asked = Some(asked);
        let follows = answer.can_follow(self.latest());
        if !follows {
            self.recent.clear();
        }
        if self.recent.is_empty() {
            self.in_a_row_since = asked;
        }
        if self.is_in_doubt() || answer != self.held {
            // A list that was in force before is most likely just old; another answer like it is needed for a dispute.
            let is_stale = self.recent.is_empty() && self.was_in_force(&answer);
            self.begin_doubt(now, !follows);
            if !is_stale {
                self.dispute(&answer);
            }
        }
        self.recent.push_back(Answered { exchange, list: answer });
        self.settle(now)
    }

    /// An answer to an earlier question than the latest that was answered, or a second answer to that. It confirms
    /// nothing, but it may contradict.
    fn weigh_late(&mut self, Exchange { asked, heard: now }: Exchange, answer: &ListVersion) {
        let latest = self.latest();
        let is_earlier = self.last_asked.is_some_and(|last| asked < last);
        if answer == latest || is_earlier && latest.can_follow(answer) {
            return;
        }
        self.recent.clear();
        self.begin_doubt(now, true);
        if !self.was_in_force(answer) {
            self.dispute(answer);
        }
    }

    fn latest(&self) -> &ListVersion {
        self.recent.back().map_or(&self.held, |answered| &answered.list)
    }

    fn was_in_force(&self, answer: &ListVersion) -> bool {
        answer.number < self.held.number && self.superseded.contains(&answer.digest())
    }

    fn begin_doubt(&mut self, now: Micros, is_contradiction: bool) {
        let begun = Doubt { since: now, is_contradiction: false, disputed: BTreeSet::new() };
        self.doubt.get_or_insert(begun).is_contradiction |= is_contradiction;
    }

    fn dispute(&mut self, answer: &ListVersion) {
        let in_service = self.held.workers.iter().filter(|worker| worker.standing == Standing::In);
        let missing = in_service.filter(|worker| !answer.holds(worker));
        let disputed = missing.map(|worker| WorkerId::from(worker.id.as_str()));
        self.doubt.iter_mut().for_each(|doubt| doubt.disputed.extend(disputed.clone()));
    }

    /// Takes the latest list that enough answers support.
    fn settle(&mut self, now: Micros) -> Weighed {
        let newest = self.recent.back().map(|answered| &answered.list);
        let agreeing = self.recent.iter().rev().take_while(|answered| Some(&answered.list) == newest).count();
        if agreeing < AGREEING && self.recent.len() < SUCCESSIVE {
            return Weighed::default();
        }
        let supported = self.recent.drain(..=self.recent.len() - AGREEING).next_back();
        match supported {
            Some(supported) if self.may_come_into_force(&supported) => self.come_into_force(now, supported),
            _ => Weighed::default(),
        }
    }

    fn may_come_into_force(&self, Answered { exchange, list }: &Answered) -> bool {
        let is_long = exchange.asked.saturating_sub(self.in_a_row_since) > self.told_within;
        !self.is_confirmed || is_long || list.can_follow(&self.held)
    }

    /// The list is believed. Later answers that say something else leave a doubt.
    fn come_into_force(&mut self, now: Micros, Answered { exchange, list }: Answered) -> Weighed {
        let is_new = list != self.held;
        self.is_confirmed = true;
        self.end_doubt(now, is_new && !list.can_follow(&self.held));
        if is_new {
            let former = std::mem::replace(&mut self.held, list);
            if self.superseded.len() >= SUPERSEDED {
                self.superseded.pop_front();
            }
            self.superseded.push_back(former.digest());
        }
        let later = std::mem::take(&mut self.recent);
        if later.iter().any(|answered| answered.list != self.held) {
            self.begin_doubt(now, false);
            later.iter().for_each(|answered| self.dispute(&answered.list));
        }
        self.recent = later;
        Weighed { as_of: Some(exchange), is_new }
    }

    fn end_doubt(&mut self, now: Micros, overturns: bool) {
        let Some(doubt) = self.doubt.take().filter(|doubt| doubt.is_contradiction) else { return };
        let lasted = now.saturating_sub(doubt.since);
        self.contradictions.settled += 1;
        self.contradictions.overturned += u64::from(overturns);
        self.contradictions.lasted += lasted;
        self.contradictions.longest = self.contradictions.longest.max(lasted);
    }
}

#[cfg(test)]
mod tests;
