//! Periodic queries to the directory.
//!
//! A gateway counts as notified of an event when an answer that contains it is sent, and 1.5 s after the
//! event at the latest, whether or not the answer arrives. So a lost answer must be made up for well within
//! the drain grace of the settings: a query without a good answer is soon repeated. And no good answer is
//! discarded because it comes late, on a retired socket or from a former directory: the gateway counts as
//! notified of its contents.
//!
//! An answer may be stale, from this directory process or from an earlier one, which numbered its events
//! independently. [`ListValidator`] decides which answers to believe; while they disagree the directory is
//! queried more often.
//!
//! The engine is given the age of the list ([`Directory::age`]), from which it derives how long the list may
//! be used, and the disputed hosts ([`Directory::disputed`]).

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;

use cresswheel::{Micros, WorkerId};
use cresswheel_engine::{
    Contradictions, ListAge, ListValidator, ListValidity, ListVersion, PollTimes, REQUIRED_CONFIRMATIONS,
};
use cresswheel_platform_wire::directory::{self, HostList};
use cresswheel_transport::EventLoop;

/// A gateway counts as notified of an event this long after it happened (protocol).
const NOTIFIED_WITHIN: Micros = 1_500_000;
/// While the directory is silent, a gateway counts as notified of an event this long after the silence began
/// (protocol).
const NOTIFIED_IN_SILENCE: Micros = 4_500_000;
/// Queries per drain grace, not counting retries: an event may happen right after an answer.
const QUERIES_PER_GRACE: Micros = 5;
/// Upper limit of the query period, as a gateway counts as notified of an event after 1.5 s.
const MAX_PERIOD: Micros = 200_000;
/// Lower limit of the query period, as every gateway of a fleet queries the directory.
const MIN_PERIOD: Micros = 50_000;
/// A query without a good answer is retried after this fraction of the period, up to the number of retries
/// below; after that the directory counts as not answering and is queried at the normal period.
const RETRY_DIVISOR: Micros = 4;
const MAX_RETRIES: u32 = 7;
/// A query sent this much after its due time shows that the process was paused.
const PAUSED_AFTER: Micros = 300_000;
/// This many queries in a row without a good answer are a silence.
const SILENT_AFTER: u32 = MAX_RETRIES + 1;
/// An answer is accepted this long after its query, also on a retired socket.
const ANSWER_TIMEOUT: Micros = 5_000_000;
/// Maximum number of remembered queries; more than are sent within the answer timeout.
const MAX_QUERIES: usize = 128;
/// Maximum number of retired sockets that are still read.
const MAX_RETIRED_SOCKETS: usize = 4;

/// The rules of the protocol and the settings on when a gateway counts as notified of an event.
pub fn terms(grace: Micros, workers_answer: bool) -> ListValidity {
    ListValidity {
        notified_within: NOTIFIED_WITHIN,
        notified_within_in_silence: NOTIFIED_IN_SILENCE,
        drain_grace: grace,
        silent_after_polls: SILENT_AFTER,
        can_probe_workers: workers_answer,
    }
}

/// A query that was sent.
#[derive(Clone, Copy, Debug)]
struct Query {
    id: u16,
    asked: Micros,
    is_answered: bool,
}

/// A socket that sends no more queries, and is still read until the given time.
#[derive(Clone, Copy, Debug)]
struct RetiredSocket {
    number: usize,
    until: Micros,
}

/// Queries the directory and keeps the current list.
pub struct Directory {
    socket: Option<usize>,
    retired: VecDeque<RetiredSocket>,
    address: SocketAddr,
    period: Micros,
    asked: Micros,
    next: Micros,
    id: u16,
    queries: VecDeque<Query>,
    evidence: ListValidator,
    age: ListAge,
    /// Queries sent since the last readable answer.
    unanswered_in_a_row: u32,
    silent: bool,
}

impl Directory {
    /// Starts from a known list; `grace` is the time within which a notified drain must be obeyed.
    pub fn new(now: Micros, address: SocketAddr, known: HostList, seed: u64, grace: Micros) -> Self {
        Self {
            socket: None,
            retired: VecDeque::new(),
            address,
            period: (grace / QUERIES_PER_GRACE).clamp(MIN_PERIOD, MAX_PERIOD),
            asked: now,
            next: now,
            id: seed as u16,
            queries: VecDeque::new(),
            evidence: ListValidator::new(ListVersion::new(known.serial, known.hosts), NOTIFIED_WITHIN),
            // The configuration contains the events notified by the start; later events may have happened.
            age: ListAge { as_of: now.saturating_sub(NOTIFIED_WITHIN), ..ListAge::default() },
            unanswered_in_a_row: 0,
            silent: false,
        }
    }

    /// Switches to a directory at another address, which continues the numbering of events. Answers of the
    /// former one that are still in flight count, as the gateway is notified of their contents.
    pub fn set_address(&mut self, hub: &mut EventLoop, now: Micros, address: SocketAddr) {
        if address != self.address {
            tracing::info!(%address, "another directory");
            self.address = address;
            self.retire_socket(hub, now);
            self.age.unanswered_polls = 0;
            self.unanswered_in_a_row = 0;
            self.next = now;
        }
    }

    /// Stops sending on the socket, and keeps reading it for a while, as an answer may be in flight.
    fn retire_socket(&mut self, hub: &mut EventLoop, now: Micros) {
        let retired = self.socket.take().map(|number| RetiredSocket { number, until: now + ANSWER_TIMEOUT });
        self.retired.extend(retired);
        while self.retired.len() > MAX_RETIRED_SOCKETS {
            self.retired.pop_front().into_iter().for_each(|retired| hub.close_datagrams(retired.number));
        }
    }

    /// Whether the socket belongs to the directory.
    pub fn is_ours(&self, socket: usize) -> bool {
        self.socket == Some(socket) || self.retired.iter().any(|retired| retired.number == socket)
    }

    /// When the next query is due.
    pub fn next_due(&self) -> Micros {
        self.next
    }

    /// The current list.
    pub fn list(&self) -> &ListVersion {
        self.evidence.accepted()
    }

    /// Hosts on which answers contradict each other.
    pub fn disputed(&self) -> BTreeSet<WorkerId> {
        self.evidence.disputed()
    }

    /// Counters of contradictions since the start.
    pub fn contradictions(&self) -> Contradictions {
        self.evidence.contradictions()
    }

    /// The age of the list.
    pub fn age(&self) -> ListAge {
        self.age
    }

    /// Sends a query when it is due; true if it did, which changes the list's age.
    pub fn tick(&mut self, hub: &mut EventLoop, now: Micros) -> bool {
        if now < self.next {
            return false;
        }
        self.age.polling_interrupted |= now.saturating_sub(self.next) > PAUSED_AFTER;
        self.next = now
            + if self.unanswered_in_a_row < MAX_RETRIES { self.period / RETRY_DIVISOR } else { self.period };
        self.asked = now;
        self.age.unanswered_polls = self.age.unanswered_polls.saturating_add(1);
        self.age.next_poll_at.get_or_insert(now);
        self.unanswered_in_a_row = self.unanswered_in_a_row.saturating_add(1);
        if !self.silent && self.unanswered_in_a_row > SILENT_AFTER {
            self.silent = true;
            tracing::warn!(serial = self.evidence.accepted().number, "the directory is silent");
        }
        if self.unanswered_in_a_row.is_multiple_of(SILENT_AFTER) {
            // The socket may be at fault rather than the directory, which can't be told apart from here: try
            // another socket.
            self.retire_socket(hub, now);
        }
        self.expire(hub, now);
        self.send_query(hub, now);
        self.update_first_missing();
        true
    }

    fn expire(&mut self, hub: &mut EventLoop, now: Micros) {
        let over = self.retired.iter().take_while(|retired| retired.until <= now).count();
        self.retired.drain(..over).for_each(|retired| hub.close_datagrams(retired.number));
        let is_over = |sent_query: &Query| sent_query.asked.saturating_add(ANSWER_TIMEOUT) <= now;
        while self.queries.len() >= MAX_QUERIES || self.queries.front().is_some_and(is_over) {
            self.queries.pop_front();
        }
    }

    fn send_query(&mut self, hub: &mut EventLoop, now: Micros) {
        if self.socket.is_none() {
            match hub.datagrams(self.address) {
                Ok(socket) => self.socket = Some(socket),
                Err(error) => return tracing::warn!(%error, "cannot open a socket for the directory"),
            }
        }
        self.id = self.id.wrapping_add(1);
        if let (Some(socket), Ok(encode_query)) = (self.socket, directory::encode_query(self.id)) {
            hub.send_datagram(socket, &encode_query);
            self.queries.push_back(Query { id: self.id, asked: now, is_answered: false });
        }
    }

    /// Processes an answer; true if the current list changed.
    pub fn answered(&mut self, now: Micros, bytes: &[u8]) -> bool {
        let Some((asked, listing)) = self.read(bytes) else { return false };
        self.unanswered_in_a_row = 0;
        if std::mem::replace(&mut self.silent, false) {
            tracing::info!("the directory answers again");
        }
        let (before, since) = (self.evidence.contradictions(), self.evidence.contradicted_since());
        let (serial, hosts) = (listing.serial, listing.hosts.len());
        let exchange = PollTimes { polled_at: asked, received_at: now };
        let verdict = self.evidence.evaluate(exchange, ListVersion::new(listing.serial, listing.hosts));
        if since.is_none() && self.evidence.contradicted_since().is_some() {
            let (known, disputed) = (self.evidence.accepted().number, self.evidence.disputed().len());
            tracing::info!(serial, hosts, known, disputed, "an answer contradicts the list");
        }
        self.log_settled(now, before, since);
        verdict.as_of.into_iter().for_each(|exchange| self.set_as_of(exchange));
        let is_in_doubt = self.evidence.has_discrepancy();
        if !is_in_doubt {
            self.age.unanswered_polls = 0;
        }
        self.update_first_missing();
        // Query again soon if answers disagree, one is missing, or too few came after a gap.
        let is_behind = asked.saturating_sub(self.age.as_of) > REQUIRED_CONFIRMATIONS as Micros * self.period;
        if is_in_doubt || is_behind || self.age.first_missing_poll_at.is_some_and(|missing| missing < asked) {
            self.next = self.next.min(self.asked + self.period / RETRY_DIVISOR);
        } else {
            self.next = self.next.max(self.asked + self.period);
        }
        verdict.is_new
    }

    /// Finds the first query after the list's time that has no answer.
    fn update_first_missing(&mut self) {
        let as_of = self.age.as_of;
        let missing = |sent_query: &&Query| sent_query.asked > as_of && !sent_query.is_answered;
        self.age.first_missing_poll_at = self.queries.iter().find(missing).map(|sent_query| sent_query.asked);
    }

    fn log_settled(&self, now: Micros, before: Contradictions, since: Option<Micros>) {
        let after = self.evidence.contradictions();
        if after.settled == before.settled {
            return;
        }
        let lasted_ms = since.map_or(0, |since| now.saturating_sub(since) / 1_000);
        let serial = self.evidence.accepted().number;
        tracing::info!(serial, lasted_ms, "answers agree again");
        if after.overturned > before.overturned {
            tracing::warn!(serial, "the list in use was stale");
        }
    }

    /// The time of the answered query, and the list in the answer.
    fn read(&mut self, bytes: &[u8]) -> Option<(Micros, HostList)> {
        let id = directory::message_id(bytes);
        let Some(sent_query) = self.queries.iter_mut().find(|sent_query| Some(sent_query.id) == id) else {
            tracing::debug!("directory answer without a query");
            return None;
        };
        match directory::decode_answer(bytes) {
            Ok(listing) => {
                sent_query.is_answered = true;
                Some((sent_query.asked, listing))
            }
            Err(error) => {
                tracing::debug!(%error, "unusable directory answer");
                None
            }
        }
    }

    /// Records that the current list contains all events up to the time of that query.
    fn set_as_of(&mut self, PollTimes { polled_at: asked, received_at: heard }: PollTimes) {
        if asked <= self.age.as_of {
            return;
        }
        let later = || self.queries.iter().map(|sent_query| sent_query.asked).filter(|later| *later > asked);
        // A pause of the process before that query says nothing about the time since.
        let gaps = later().zip(std::iter::once(asked).chain(later()));
        self.age = ListAge {
            as_of: asked,
            received_at: heard,
            next_poll_at: later().next(),
            first_missing_poll_at: self.age.first_missing_poll_at,
            unanswered_polls: self.age.unanswered_polls,
            polling_interrupted: gaps
                .into_iter()
                .any(|(next, before)| next.saturating_sub(before) > PAUSED_AFTER + MAX_PERIOD),
        };
    }
}

#[cfg(test)]
mod tests;
