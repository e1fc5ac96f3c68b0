//! Outstanding work of one client connection: numbers of open requests, responses in order, and requests read
//! ahead from a client that does not read its answers.

use std::collections::{BTreeSet, VecDeque};

use cresswheel_protocol::{Message, Micros};

/// Exists only while a connection has outstanding work; an idle one has none, to save memory.
#[derive(Default)]
pub struct Outstanding {
    /// Numbers of the requests without their answer.
    pub open_requests: BTreeSet<u64>,
    /// HTTP: the number of the next request.
    pub next_number: u64,
    /// HTTP: responses, which are sent in the order of their requests.
    pub responses: VecDeque<PendingResponse>,
    /// HTTP: so many responses wait that no further request is read.
    pub is_full: bool,
    /// Set while the client does not read.
    pub stalled: Option<Stalled>,
    /// Set if the connection is to be closed, for this reason, once no request is open.
    pub close_reason: Option<&'static str>,
}

impl Outstanding {
    pub fn is_empty(&self) -> bool {
        self.open_requests.is_empty()
            && self.responses.is_empty()
            && self.stalled.is_none()
            && self.close_reason.is_none()
    }

    /// Bytes of the responses that wait.
    pub fn waiting_bytes(&self) -> usize {
        self.responses.iter().filter_map(|response| response.bytes.as_ref()).map(Vec::len).sum()
    }
}

/// The response to a request, or its place while there is none.
pub struct PendingResponse {
    pub number: u64,
    /// The request fetches the result of an earlier call.
    pub is_fetch: bool,
    pub keep_alive: bool,
    pub bytes: Option<Vec<u8>>,
}

/// A client that does not read its answers.
pub struct Stalled {
    /// Bytes of output that waited when the timeout last started.
    pub backlog: usize,
    pub read_ahead: ReadAhead,
}

/// Requests received on the main protocol from a client that does not read. They are read ahead because there
/// may be cancels among them.
pub struct ReadAhead {
    messages: VecDeque<(Micros, Message)>,
    bytes: usize,
    max_messages: usize,
    max_bytes: usize,
}

impl ReadAhead {
    pub fn new(max_messages: usize, max_bytes: usize) -> Self {
        Self { messages: VecDeque::new(), bytes: 0, max_messages, max_bytes }
    }

    /// Adds a message. True: reading should pause.
    pub fn push(&mut self, arrived: Micros, message: Message) -> bool {
        self.bytes += size(&message);
        self.messages.push_back((arrived, message));
        self.messages.len() >= self.max_messages || self.bytes >= self.max_bytes
    }

    /// The oldest message.
    pub fn pop(&mut self) -> Option<(Micros, Message)> {
        let (arrived, message) = self.messages.pop_front()?;
        self.bytes -= size(&message);
        Some((arrived, message))
    }

    /// Removes the request with this number. False: there is none.
    pub fn cancel(&mut self, number: u64) -> bool {
        let position = self.messages.iter().position(|(_, message)| request_number(message) == Some(number));
        let Some((_, message)) = position.and_then(|position| self.messages.remove(position)) else {
            return false;
        };
        self.bytes -= size(&message);
        true
    }
}

/// Approximate memory of a message.
fn size(message: &Message) -> usize {
    let text = match message {
        Message::Call { function, class, tenant, key, trace, body, account, .. } => {
            let account = account.as_ref().map_or(0, String::len);
            function.len() + class.len() + tenant.len() + key.len() + trace.len() + body.len() + account
        }
        Message::Await { id, .. } => id.len(),
        Message::Versions { key, json, .. } => key.len() + json.len(),
        _ => 0,
    };
    text + std::mem::size_of::<Message>()
}

/// The number of a request; `None` for a message that is no request.
pub fn request_number(message: &Message) -> Option<u64> {
    match message {
        Message::Call { number, .. }
        | Message::Await { number, .. }
        | Message::Page { number, .. }
        | Message::Versions { number, .. } => Some(*number),
        _ => None,
    }
}

/// The number of the request that a message answers.
pub fn answer_number(message: &Message) -> Option<u64> {
    match message {
        Message::Accepted { number, .. }
        | Message::Answer { number, .. }
        | Message::Paged { number, .. }
        | Message::Versioned { number, .. } => Some(*number),
        _ => None,
    }
}
