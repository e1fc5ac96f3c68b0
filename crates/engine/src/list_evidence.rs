//! Decides which responses of the list service are accepted as the worker list.
//!
//! A response contains the whole worker list and the number of its last event. Numbers count from the start
//! of this process, and a response doesn't identify the process that it was made for: a stale response, of
//! this process or of the one before it, may arrive instead of a current one, with any number. So a single
//! response that differs from the accepted list proves nothing. It begins a discrepancy, which ends when
//! enough responses to later polls agree.
//!
//! Invariants:
//! - a list is accepted only after [`REQUIRED_CONFIRMATIONS`] responses, to as many polls, agree that it was
//!   current;
//! - a list that cannot follow the accepted one, once that is confirmed, needs responses that support it for
//!   longer than a list service may lag behind: a service that merely lags has caught up by then;
//! - during a discrepancy a worker is undisputed only if the accepted list and every response since the
//!   beginning contain the same entry of it, in service;
//! - the accepted list is as old as the first of the last [`REQUIRED_CONFIRMATIONS`] consecutive responses
//!   that support it,
//!   so that a stale response with the same list by chance doesn't make it look newer than it is.
//!
//! It has no clock and no socket, and trusts the times passed by the caller.

use std::collections::{BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use cresswheel::{Micros, WorkerId};
use cresswheel_protocol::{ListedWorker, MemberState};

/// This many consecutive equal responses end a discrepancy: one more than stale responses arrive in a row.
pub const REQUIRED_CONFIRMATIONS: usize = 3;
/// The list may change faster than it can be confirmed. After this many consecutive responses that may all be
/// of one process, the latest list that [`REQUIRED_CONFIRMATIONS`] of them support is accepted.
const MAX_PENDING_RESPONSES: usize = 2 * REQUIRED_CONFIRMATIONS;
/// How many formerly accepted lists are remembered, to recognize stale responses.
const MAX_SUPERSEDED: usize = 64;

/// A worker list as of one event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListVersion {
    /// The number of the last event.
    pub number: u64,
    /// The workers sorted by id; a worker that is not listed is gone.
    workers: Vec<ListedWorker>,
}

impl ListVersion {
    /// A list with its event number; the workers may be in any order.
    pub fn new(number: u64, mut workers: Vec<ListedWorker>) -> Self {
        workers.sort_by(|one, other| one.id.cmp(&other.id));
        Self { number, workers }
    }

    /// The workers, sorted by id.
    pub fn workers(&self) -> &[ListedWorker] {
        &self.workers
    }

    /// Whether a service can respond with this after `earlier`: a later number, or the same list.
    fn can_follow(&self, earlier: &Self) -> bool {
        self.number > earlier.number || self == earlier
    }

    fn contains(&self, worker: &ListedWorker) -> bool {
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

/// The result of evaluating a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListEvaluation {
    /// The accepted list contains all events up to the time of this poll; `None` if this response confirmed
    /// nothing.
    pub as_of: Option<PollTimes>,
    /// Another list was accepted.
    pub is_new: bool,
}

/// The times of a poll and its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollTimes {
    /// When the poll was sent.
    pub polled_at: Micros,
    /// When the response arrived.
    pub received_at: Micros,
}

/// Counts of contradictions between responses since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Contradictions {
    /// Ended discrepancies in which responses contradicted each other.
    pub settled: u64,
    /// How many of those ended with a list that cannot follow the accepted one, which had been accepted
    /// wrongly.
    pub overturned: u64,
    /// Their total duration.
    pub lasted: Micros,
    /// The duration of the longest one.
    pub longest: Micros,
}

/// A response that may be accepted later.
#[derive(Debug)]
struct ReceivedList {
    exchange: PollTimes,
    list: ListVersion,
}

/// A period in which responses differ from the accepted list.
#[derive(Debug)]
struct Discrepancy {
    since: Micros,
    is_contradiction: bool,
    /// Workers in service on the accepted list that some response lacks or lists differently.
    disputed: BTreeSet<WorkerId>,
}

/// The accepted list, and the recent responses.
#[derive(Debug)]
pub struct ListValidator {
    accepted: ListVersion,
    /// Responses have confirmed the accepted list.
    is_confirmed: bool,
    /// Responses contain an event at most this long after it happened.
    notified_within: Micros,
    /// Digests of formerly accepted lists, the latest last.
    superseded: VecDeque<u64>,
    /// When the latest answered poll was sent.
    last_polled_at: Option<Micros>,
    discrepancy: Option<Discrepancy>,
    /// The latest responses, each of which can follow the one before.
    recent: VecDeque<ReceivedList>,
    /// When the first poll was sent of the consecutive responses that can each follow the one before.
    consistent_since: Micros,
    contradictions: Contradictions,
}

impl ListValidator {
    /// Starts with an accepted list, such as that of the configuration. Responses contain an event at most
    /// `notified_within` after it happened.
    pub fn new(accepted: ListVersion, notified_within: Micros) -> Self {
        Self {
            accepted,
            is_confirmed: false,
            notified_within,
            superseded: VecDeque::new(),
            last_polled_at: None,
            discrepancy: None,
            recent: VecDeque::new(),
            consistent_since: 0,
            contradictions: Contradictions::default(),
        }
    }

    /// The accepted list.
    pub fn accepted(&self) -> &ListVersion {
        &self.accepted
    }

    /// Whether responses differ and it is not settled yet which list is accepted.
    pub fn has_discrepancy(&self) -> bool {
        self.discrepancy.is_some()
    }

    /// Since when responses have contradicted each other, if they do.
    pub fn contradicted_since(&self) -> Option<Micros> {
        self.discrepancy
            .as_ref()
            .filter(|discrepancy| discrepancy.is_contradiction)
            .map(|discrepancy| discrepancy.since)
    }

    /// Workers in service on the accepted list that a response since the start of the discrepancy lacks or
    /// lists differently.
    pub fn disputed(&self) -> BTreeSet<WorkerId> {
        self.discrepancy.as_ref().map(|discrepancy| discrepancy.disputed.clone()).unwrap_or_default()
    }

    /// Counts of contradictions since the start.
    pub fn contradictions(&self) -> Contradictions {
        self.contradictions
    }

    /// Evaluates a response.
    pub fn evaluate(&mut self, exchange: PollTimes, response: ListVersion) -> ListEvaluation {
        let PollTimes { polled_at: asked, received_at: now } = exchange;
        if self.last_polled_at.is_some_and(|last| asked <= last) {
            self.evaluate_late(exchange, &response);
            return ListEvaluation::default();
        }
        self.last_polled_at = Some(asked);
        let follows = response.can_follow(self.latest());
        if !follows {
            self.recent.clear();
        }
        if self.recent.is_empty() {
            self.consistent_since = asked;
        }
        if self.has_discrepancy() || response != self.accepted {
            // A formerly accepted list is most likely stale: one such response alone disputes no worker.
            let is_stale = self.recent.is_empty() && self.was_accepted(&response);
            self.begin_discrepancy(now, !follows);
            if !is_stale {
                self.mark_disputed(&response);
            }
        }
        self.recent.push_back(ReceivedList { exchange, list: response });
        self.accept_if_supported(now)
    }

    /// Evaluates a response to a poll before the latest answered one, or a second response to that. It
    /// confirms nothing, but may contradict.
    fn evaluate_late(
        &mut self,
        PollTimes { polled_at: asked, received_at: now }: PollTimes,
        response: &ListVersion,
    ) {
        let latest = self.latest();
        let is_earlier = self.last_polled_at.is_some_and(|last| asked < last);
        if response == latest || is_earlier && latest.can_follow(response) {
            return;
        }
        self.recent.clear();
        self.begin_discrepancy(now, true);
        if !self.was_accepted(response) {
            self.mark_disputed(response);
        }
    }

    fn latest(&self) -> &ListVersion {
        self.recent.back().map_or(&self.accepted, |received| &received.list)
    }

    fn was_accepted(&self, response: &ListVersion) -> bool {
        response.number < self.accepted.number && self.superseded.contains(&response.digest())
    }

    fn begin_discrepancy(&mut self, now: Micros, is_contradiction: bool) {
        let begun = Discrepancy { since: now, is_contradiction: false, disputed: BTreeSet::new() };
        self.discrepancy.get_or_insert(begun).is_contradiction |= is_contradiction;
    }

    fn mark_disputed(&mut self, response: &ListVersion) {
        let in_service = self.accepted.workers.iter().filter(|worker| worker.standing == MemberState::Active);
        let missing = in_service.filter(|worker| !response.contains(worker));
        let disputed = missing.map(|worker| WorkerId::from(worker.id.as_str()));
        self.discrepancy.iter_mut().for_each(|discrepancy| discrepancy.disputed.extend(disputed.clone()));
    }

    /// Accepts the latest list that enough responses support.
    fn accept_if_supported(&mut self, now: Micros) -> ListEvaluation {
        let latest = self.recent.back().map(|received| &received.list);
        let agreeing = self.recent.iter().rev().take_while(|received| Some(&received.list) == latest).count();
        if agreeing < REQUIRED_CONFIRMATIONS && self.recent.len() < MAX_PENDING_RESPONSES {
            return ListEvaluation::default();
        }
        let supported = self.recent.drain(..=self.recent.len() - REQUIRED_CONFIRMATIONS).next_back();
        match supported {
            Some(supported) if self.may_accept(&supported) => self.accept(now, supported),
            _ => ListEvaluation::default(),
        }
    }

    fn may_accept(&self, ReceivedList { exchange, list }: &ReceivedList) -> bool {
        let is_long = exchange.polled_at.saturating_sub(self.consistent_since) > self.notified_within;
        !self.is_confirmed || is_long || list.can_follow(&self.accepted)
    }

    /// Accepts the list. If later responses differ from it, a new discrepancy begins.
    fn accept(&mut self, now: Micros, ReceivedList { exchange, list }: ReceivedList) -> ListEvaluation {
        let is_new = list != self.accepted;
        self.is_confirmed = true;
        self.end_discrepancy(now, is_new && !list.can_follow(&self.accepted));
        if is_new {
            let former = std::mem::replace(&mut self.accepted, list);
            if self.superseded.len() >= MAX_SUPERSEDED {
                self.superseded.pop_front();
            }
            self.superseded.push_back(former.digest());
        }
        let later = std::mem::take(&mut self.recent);
        if later.iter().any(|received| received.list != self.accepted) {
            self.begin_discrepancy(now, false);
            later.iter().for_each(|received| self.mark_disputed(&received.list));
        }
        self.recent = later;
        ListEvaluation { as_of: Some(exchange), is_new }
    }

    fn end_discrepancy(&mut self, now: Micros, overturns: bool) {
        let Some(discrepancy) = self.discrepancy.take().filter(|discrepancy| discrepancy.is_contradiction)
        else {
            return;
        };
        let lasted = now.saturating_sub(discrepancy.since);
        self.contradictions.settled += 1;
        self.contradictions.overturned += u64::from(overturns);
        self.contradictions.lasted += lasted;
        self.contradictions.longest = self.contradictions.longest.max(lasted);
    }
}

#[cfg(test)]
mod tests;
