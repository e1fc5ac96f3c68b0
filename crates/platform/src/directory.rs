//! The directory, asked again and again.
//!
//! An event counts as told when an answer that holds it is sent, and 1.5 s after it happened at the latest, whether
//! the answer comes here or not. So an answer that got lost must be made up for well within the grace that the
//! settings give a drain: a question without a good answer is soon asked again. And no good answer is thrown away for
//! coming late, to a socket or from a directory that is no longer asked: what it tells was told.
//!
//! How old the list is, is told to the engine ([`Directory::age`]), which says how long it may be acted on.

use std::collections::VecDeque;
use std::net::SocketAddr;

use cresswheel::Micros;
use cresswheel_engine::{ListAge, ListTerms};
use cresswheel_platform_wire::directory::{self, Listing};
use cresswheel_transport::Hub;

/// An event counts as told so long after it happened (the protocol's figure).
const TOLD_WITHIN: Micros = 1_500_000;
/// What a silent directory would have told counts as told so long after the silence began (the protocol's figure).
const TOLD_IN_SILENCE: Micros = 4_500_000;
/// Questions within a drain's grace, besides those that are asked again: an event may happen right after an answer.
const IN_A_GRACE: Micros = 5;
/// However long the grace, it is asked that often: an event counts as told 1.5 s after it happened at the latest.
const LONGEST: Micros = 200_000;
/// However short, no more often: each gateway of a fleet asks.
const SHORTEST: Micros = 50_000;
/// A question without a good answer is asked again after this part of the period, so many times in a row; then it
/// is the directory that does not answer, and is asked at the usual pace.
const AGAIN: Micros = 4;
const AGAIN_AT_MOST: u32 = 7;
/// A question that is asked so much after its time shows that this process stood still.
const UNASKED: Micros = 300_000;
/// So many questions in a row without a good answer are a silence.
const SILENT_AFTER: u32 = AGAIN_AT_MOST + 1;
/// The answer to a question is still good when it comes so late, also on a socket that asks nothing any more.
const ANSWERED_WITHIN: Micros = 5_000_000;
/// Questions remembered at most; more than are asked in that time.
const REMEMBERED: usize = 128;
/// Sockets that ask nothing any more and are listened to, at most.
const FORMER_SOCKETS: usize = 4;

/// What the protocol and the settings say of when an event counts as told.
pub fn terms(grace: Micros, workers_answer: bool) -> ListTerms {
    ListTerms {
        told_within: TOLD_WITHIN,
        told_in_silence: TOLD_IN_SILENCE,
        grace,
        silent_after: SILENT_AFTER,
        workers_answer,
    }
}

/// A question that was asked.
#[derive(Clone, Copy, Debug)]
struct Question {
    id: u16,
    asked: Micros,
}

/// A socket that was given up for asking, and is listened to until then.
#[derive(Clone, Copy, Debug)]
struct FormerSocket {
    number: usize,
    until: Micros,
}

/// Asks the directory, and keeps what is newer.
pub struct Directory {
    socket: Option<usize>,
    former: VecDeque<FormerSocket>,
    address: SocketAddr,
    period: Micros,
    asked: Micros,
    next: Micros,
    id: u16,
    questions: VecDeque<Question>,
    serial: u64,
    age: ListAge,
    silent: bool,
}

impl Directory {
    /// A directory whose events up to `serial` are known; a drain that it told is to be kept within `grace`.
    pub fn new(now: Micros, address: SocketAddr, serial: u64, seed: u64, grace: Micros) -> Self {
        Self {
            socket: None,
            former: VecDeque::new(),
            address,
            period: (grace / IN_A_GRACE).clamp(SHORTEST, LONGEST),
            asked: now,
            next: now,
            id: seed as u16,
            questions: VecDeque::new(),
            serial,
            // What the configuration holds is what was told by the start: later events may have happened.
            age: ListAge { as_of: now.saturating_sub(TOLD_WITHIN), ..ListAge::default() },
            silent: false,
        }
    }

    /// It is at another address from now on; its events are numbered on. Answers of the former one that are on their
    /// way still count: what they hold was told.
    pub fn move_to(&mut self, hub: &mut Hub, now: Micros, address: SocketAddr) {
        if address != self.address {
            tracing::info!(%address, "another directory");
            self.address = address;
            self.give_up_socket(hub, now);
            self.age.unanswered = 0;
            self.next = now;
        }
    }

    /// Asks on it no more, and listens to it for a while: an answer may be on its way.
    fn give_up_socket(&mut self, hub: &mut Hub, now: Micros) {
        let former = self.socket.take().map(|number| FormerSocket { number, until: now + ANSWERED_WITHIN });
        self.former.extend(former);
        while self.former.len() > FORMER_SOCKETS {
            self.former.pop_front().into_iter().for_each(|former| hub.close_datagrams(former.number));
        }
    }

    /// Whose socket it is.
    pub fn is_ours(&self, socket: usize) -> bool {
        self.socket == Some(socket) || self.former.iter().any(|former| former.number == socket)
    }

    /// When it is to be asked next.
    pub fn next_due(&self) -> Micros {
        self.next
    }

    /// The last event known.
    pub fn serial(&self) -> u64 {
        self.serial
    }

    /// How current the list is.
    pub fn age(&self) -> ListAge {
        self.age
    }

    /// Asks, when it is time to; true: it did, and the list's age has changed.
    pub fn tick(&mut self, hub: &mut Hub, now: Micros) -> bool {
        if now < self.next {
            return false;
        }
        self.age.unasked |= now.saturating_sub(self.next) > UNASKED;
        let again = self.age.unanswered < AGAIN_AT_MOST;
        self.next = now + if again { self.period / AGAIN } else { self.period };
        self.asked = now;
        self.age.unanswered = self.age.unanswered.saturating_add(1);
        self.age.first_unanswered.get_or_insert(now);
        if !self.silent && self.age.unanswered > SILENT_AFTER {
            self.silent = true;
            tracing::warn!(serial = self.serial, "the directory is silent");
        }
        if self.age.unanswered.is_multiple_of(SILENT_AFTER) {
            // Whatever no longer answers this socket may answer another: nothing tells the two apart from here.
            self.give_up_socket(hub, now);
        }
        self.forget(hub, now);
        self.ask(hub, now);
        true
    }

    fn forget(&mut self, hub: &mut Hub, now: Micros) {
        let over = self.former.iter().take_while(|former| former.until <= now).count();
        self.former.drain(..over).for_each(|former| hub.close_datagrams(former.number));
        let is_over = |question: &Question| question.asked.saturating_add(ANSWERED_WITHIN) <= now;
        while self.questions.len() >= REMEMBERED || self.questions.front().is_some_and(is_over) {
            self.questions.pop_front();
        }
    }

    fn ask(&mut self, hub: &mut Hub, now: Micros) {
        if self.socket.is_none() {
            match hub.datagrams(self.address) {
                Ok(socket) => self.socket = Some(socket),
                Err(error) => return tracing::warn!(%error, "no socket for the directory"),
            }
        }
        self.id = self.id.wrapping_add(1);
        if let (Some(socket), Ok(query)) = (self.socket, directory::query(self.id)) {
            hub.send_datagram(socket, &query);
            self.questions.push_back(Question { id: self.id, asked: now });
        }
    }

    /// An answer came: the list, if it is newer than what is known.
    pub fn answered(&mut self, now: Micros, bytes: &[u8]) -> Option<Listing> {
        let id = directory::answer_id(bytes);
        let Some(asked) = self.questions.iter().find(|question| Some(question.id) == id).map(|q| q.asked)
        else {
            tracing::debug!("an answer to no question");
            return None;
        };
        let listing = match directory::answer(bytes) {
            Ok(listing) => listing,
            Err(error) => {
                tracing::debug!(%error, "the directory's answer tells nothing");
                return None;
            }
        };
        if listing.serial < self.serial {
            tracing::debug!(serial = listing.serial, known = self.serial, "an older list");
            return None;
        }
        self.heard(now, asked);
        let newer = listing.serial > self.serial;
        self.serial = listing.serial;
        newer.then_some(listing)
    }

    /// A good answer to a question of that time came: the list tells all that had happened by then.
    fn heard(&mut self, now: Micros, asked: Micros) {
        if std::mem::replace(&mut self.silent, false) {
            tracing::info!("the directory answers again");
        }
        self.age.unanswered = 0;
        self.next = self.next.max(self.asked + self.period);
        if asked > self.age.as_of {
            let later = self.questions.iter().map(|question| question.asked).find(|later| *later > asked);
            self.age = ListAge {
                as_of: asked,
                heard: now,
                first_unanswered: later,
                unanswered: 0,
                // Whether it stood still before this question tells nothing of the time since.
                unasked: later.is_some_and(|later| later.saturating_sub(asked) > UNASKED + LONGEST),
            };
        }
    }
}

#[cfg(test)]
mod tests;
