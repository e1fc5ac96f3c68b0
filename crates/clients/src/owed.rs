//! What one connection of a client is owed: the numbers that are open, responses in their order, and what was read
//! ahead of a client that does not read its answers.

use std::collections::{BTreeSet, VecDeque};

use cresswheel_protocol::{Message, Micros};

/// Kept while something is under way on a connection; an idle one has none.
#[derive(Default)]
pub struct Owed {
    /// Numbers of calls, awaits and pages without their answer.
    pub open: BTreeSet<u64>,
    /// HTTP: the number of the next request.
    pub next: u64,
    /// HTTP: responses leave in the order of their requests.
    pub slots: VecDeque<Slot>,
    /// It does not read.
    pub stalled: Option<Stalled>,
    /// Once nothing is open it is told this, and closed.
    pub ending: Option<&'static str>,
}

impl Owed {
    pub fn is_settled(&self) -> bool {
        self.open.is_empty() && self.slots.is_empty() && self.stalled.is_none() && self.ending.is_none()
    }
}

/// A request's place among the responses.
pub struct Slot {
    pub number: u64,
    pub fetched: bool,
    pub keep_alive: bool,
    pub response: Option<Vec<u8>>,
}

/// A client that does not read its answers.
pub struct Stalled {
    /// Bytes that waited for it when that was looked at last.
    pub backlog: usize,
    pub unread: Unread,
}

/// What a client of the main protocol asked that does not read: it is read ahead for the cancels among it.
pub struct Unread {
    messages: VecDeque<(Micros, Message)>,
    bytes: usize,
    most_messages: usize,
    most_bytes: usize,
}

impl Unread {
    pub fn new(most_messages: usize, most_bytes: usize) -> Self {
        Self { messages: VecDeque::new(), bytes: 0, most_messages, most_bytes }
    }

    /// Keeps a message; true: no more should be read.
    pub fn push(&mut self, came: Micros, message: Message) -> bool {
        self.bytes += size(&message);
        self.messages.push_back((came, message));
        self.messages.len() >= self.most_messages || self.bytes >= self.most_bytes
    }

    /// The message that came first.
    pub fn pop(&mut self) -> Option<(Micros, Message)> {
        let (came, message) = self.messages.pop_front()?;
        self.bytes -= size(&message);
        Some((came, message))
    }

    /// Takes out what was asked under this number; false: nothing was.
    pub fn cancel(&mut self, number: u64) -> bool {
        let place = self.messages.iter().position(|(_, message)| asked_number(message) == Some(number));
        let Some((_, message)) = place.and_then(|place| self.messages.remove(place)) else { return false };
        self.bytes -= size(&message);
        true
    }
}

/// What a message holds, about.
fn size(message: &Message) -> usize {
    let held = match message {
        Message::Call { function, class, tenant, key, trace, body, account, .. } => {
            let account = account.as_ref().map_or(0, String::len);
            function.len() + class.len() + tenant.len() + key.len() + trace.len() + body.len() + account
        }
        Message::Await { id, .. } => id.len(),
        Message::Versions { key, json, .. } => key.len() + json.len(),
        _ => 0,
    };
    held + std::mem::size_of::<Message>()
}

/// The number under which something was asked.
pub fn asked_number(message: &Message) -> Option<u64> {
    match message {
        Message::Call { number, .. }
        | Message::Await { number, .. }
        | Message::Page { number, .. }
        | Message::Versions { number, .. } => Some(*number),
        _ => None,
    }
}

/// The number that a message answers.
pub fn answered_number(message: &Message) -> Option<u64> {
    match message {
        Message::Accepted { number, .. }
        | Message::Answer { number, .. }
        | Message::Paged { number, .. }
        | Message::Versioned { number, .. } => Some(*number),
        _ => None,
    }
}
