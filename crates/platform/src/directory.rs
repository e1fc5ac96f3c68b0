//! The directory, asked again and again.
//!
//! An event counts as told when an answer that holds it is sent, and 1.5 s after it happened at the latest, whether
//! the answer comes here or not. So an answer that got lost must be made up for well within the grace that the
//! settings give a drain: a question without a good answer is soon asked again. And no good answer is thrown away for
//! coming late, to a socket or from a directory that is no longer asked: what it tells was told.
//!
//! An answer may be old, of this process or of the one before it, whose events were numbered on their own. Which answers
//! are believed is for [`ListEvidence`] to say; until that is settled the directory is asked often.
//!
//! How old the list is, is told to the engine ([`Directory::age`]), which says how long it may be acted on, and so is
//! which hosts are disputed ([`Directory::disputed`]).

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;

use cresswheel::{Micros, WorkerId};
use cresswheel_engine::{AGREEING, Contradictions, Exchange, ListAge, ListEvidence, ListTerms, ListVersion};
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
    is_answered: bool,
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
    evidence: ListEvidence,
    age: ListAge,
    /// Questions asked since an answer could be read last.
    unheard: u32,
    silent: bool,
}

impl Directory {
    /// A directory of which a list is known; a drain that it told is to be kept within `grace`.
    pub fn new(now: Micros, address: SocketAddr, known: Listing, seed: u64, grace: Micros) -> Self {
        Self {
            socket: None,
            former: VecDeque::new(),
            address,
            period: (grace / IN_A_GRACE).clamp(SHORTEST, LONGEST),
            asked: now,
            next: now,
            id: seed as u16,
            questions: VecDeque::new(),
            evidence: ListEvidence::new(ListVersion::new(known.serial, known.hosts), TOLD_WITHIN),
            // What the configuration holds is what was told by the start: later events may have happened.
            age: ListAge { as_of: now.saturating_sub(TOLD_WITHIN), ..ListAge::default() },
            unheard: 0,
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
            self.unheard = 0;
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

    /// The list in force.
    pub fn list(&self) -> &ListVersion {
        self.evidence.held()
    }

    /// Hosts about which answers contradict each other.
    pub fn disputed(&self) -> BTreeSet<WorkerId> {
        self.evidence.disputed()
    }

    /// What was counted of contradictions since the start.
    pub fn contradictions(&self) -> Contradictions {
        self.evidence.contradictions()
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
        self.next = now + if self.unheard < AGAIN_AT_MOST { self.period / AGAIN } else { self.period };
        self.asked = now;
        self.age.unanswered = self.age.unanswered.saturating_add(1);
        self.age.first_unanswered.get_or_insert(now);
        self.unheard = self.unheard.saturating_add(1);
        if !self.silent && self.unheard > SILENT_AFTER {
            self.silent = true;
            tracing::warn!(serial = self.evidence.held().number, "the directory is silent");
        }
        if self.unheard.is_multiple_of(SILENT_AFTER) {
            // Whatever no longer answers this socket may answer another: nothing tells the two apart from here.
            self.give_up_socket(hub, now);
        }
        self.forget(hub, now);
        self.ask(hub, now);
        self.look_for_missing();
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
            self.questions.push_back(Question { id: self.id, asked: now, is_answered: false });
        }
    }

    /// An answer came; true: another list has come into force.
    pub fn answered(&mut self, now: Micros, bytes: &[u8]) -> bool {
        let Some((asked, listing)) = self.read(bytes) else { return false };
        self.unheard = 0;
        if std::mem::replace(&mut self.silent, false) {
            tracing::info!("the directory answers again");
        }
        let (before, since) = (self.evidence.contradictions(), self.evidence.contradicted_since());
        let (serial, hosts) = (listing.serial, listing.hosts.len());
        let exchange = Exchange { asked, heard: now };
        let weighed = self.evidence.weigh(exchange, ListVersion::new(listing.serial, listing.hosts));
        if since.is_none() && self.evidence.contradicted_since().is_some() {
            let (known, disputed) = (self.evidence.held().number, self.evidence.disputed().len());
            tracing::info!(serial, hosts, known, disputed, "an answer contradicts the list");
        }
        self.tell_settled(now, before, since);
        weighed.as_of.into_iter().for_each(|exchange| self.is_as_of(exchange));
        let is_in_doubt = self.evidence.is_in_doubt();
        if !is_in_doubt {
            self.age.unanswered = 0;
        }
        self.look_for_missing();
        // More answers are wanted soon where they don't agree, one is missing, or they are too few after a while without.
        let is_behind = asked.saturating_sub(self.age.as_of) > AGREEING as Micros * self.period;
        if is_in_doubt || is_behind || self.age.first_missing.is_some_and(|missing| missing < asked) {
            self.next = self.next.min(self.asked + self.period / AGAIN);
        } else {
            self.next = self.next.max(self.asked + self.period);
        }
        weighed.is_new
    }

    /// Which answer is missing, if one is.
    fn look_for_missing(&mut self) {
        let as_of = self.age.as_of;
        let missing = |question: &&Question| question.asked > as_of && !question.is_answered;
        self.age.first_missing = self.questions.iter().find(missing).map(|question| question.asked);
    }

    fn tell_settled(&self, now: Micros, before: Contradictions, since: Option<Micros>) {
        let after = self.evidence.contradictions();
        if after.settled == before.settled {
            return;
        }
        let lasted_ms = since.map_or(0, |since| now.saturating_sub(since) / 1_000);
        let serial = self.evidence.held().number;
        tracing::info!(serial, lasted_ms, "answers agree again");
        if after.overturned > before.overturned {
            tracing::warn!(serial, "a list that was believed was not current");
        }
    }

    /// The time of the question that it answers, and the list that it holds.
    fn read(&mut self, bytes: &[u8]) -> Option<(Micros, Listing)> {
        let id = directory::answer_id(bytes);
        let Some(question) = self.questions.iter_mut().find(|question| Some(question.id) == id) else {
            tracing::debug!("an answer to no question");
            return None;
        };
        match directory::answer(bytes) {
            Ok(listing) => {
                question.is_answered = true;
                Some((question.asked, listing))
            }
            Err(error) => {
                tracing::debug!(%error, "the directory's answer tells nothing");
                None
            }
        }
    }

    /// The list in force tells all that had happened by the time of that question.
    fn is_as_of(&mut self, Exchange { asked, heard }: Exchange) {
        if asked <= self.age.as_of {
            return;
        }
        let later = || self.questions.iter().map(|question| question.asked).filter(|later| *later > asked);
        // Whether it stood still before that question tells nothing of the time since.
        let gaps = later().zip(std::iter::once(asked).chain(later()));
        self.age = ListAge {
            as_of: asked,
            heard,
            first_unanswered: later().next(),
            first_missing: self.age.first_missing,
            unanswered: self.age.unanswered,
            unasked: gaps.into_iter().any(|(next, before)| next.saturating_sub(before) > UNASKED + LONGEST),
        };
    }
}

#[cfg(test)]
mod tests;
