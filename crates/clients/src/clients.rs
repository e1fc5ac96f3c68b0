//! Connections of clients: who is greeted, what is asked on each, which responses are owed in which order.

use std::collections::VecDeque;

use cresswheel_admission::{Arrival, Door, DoorCounts, Sign};
use cresswheel_protocol::http::Request;
use cresswheel_protocol::{Message, Micros, Role, Status};
use cresswheel_transport::{Connection, Hub, Notice, slot};

use crate::ClientTerms;
use crate::http::{self, Asked};
use crate::owed::{Owed, Slot, answered_number};

/// What a client asks of the gateway: a `Call`, `Await`, `Cancel`, `Page` or `Versions`; or `Bye`: it is gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Whose.
    pub connection: Connection,
    /// The earliest time at which it can have come.
    pub came: Micros,
    /// What.
    pub message: Message,
}

/// A client's connection. Small: most are idle.
#[derive(Default)]
pub(crate) struct State {
    /// Who is here, if the slot is taken. Notices come in order, so a slot that the hub has given to the next
    /// connection is still the former's until its end was told.
    pub connection: Option<Connection>,
    pub http: bool,
    pub greeted: bool,
    /// It is to leave: its next response is the last.
    pub leaving: bool,
    /// It is closed once all that was written to it has left.
    pub finishing: bool,
    /// What is owed to it, if anything is.
    pub owed: Option<Box<Owed>>,
}

impl State {
    /// Calls, awaits or pages without their answer.
    pub fn has_open(&self) -> bool {
        self.owed.as_ref().is_some_and(|owed| !owed.open.is_empty())
    }

    /// Nothing more that it asks is looked at.
    pub fn is_ending(&self) -> bool {
        self.owed.as_ref().is_some_and(|owed| owed.ending.is_some())
    }

    /// Gives back what an idle connection need not hold.
    pub fn tidy(&mut self) {
        if self.owed.as_ref().is_some_and(|owed| owed.is_settled()) {
            self.owed = None;
        }
    }
}

/// All clients of one hub.
pub struct Clients {
    pub(crate) terms: ClientTerms,
    pub(crate) door: Door,
    /// By slot.
    pub(crate) states: Vec<State>,
    asks: VecDeque<Ask>,
    http_listener: Option<u32>,
    /// All are to leave.
    pub(crate) leaving: bool,
    /// Calls and awaits that are owed an answer.
    open: u32,
    pub(crate) listening: bool,
}

impl Clients {
    /// Nobody has come yet. `http_listener` is the hub's number of the listener for HTTP.
    pub fn new(hub: &mut Hub, terms: ClientTerms, http_listener: Option<u32>) -> Self {
        hub.tell_halves();
        let door = Door::new(hub.clock().now(), terms.door);
        Self {
            terms,
            door,
            states: Vec::new(),
            asks: VecDeque::new(),
            http_listener,
            leaving: false,
            open: 0,
            listening: true,
        }
    }

    /// New terms, for those who are here too.
    pub fn change(&mut self, hub: &mut Hub, terms: ClientTerms) {
        self.terms = terms;
        hub.set_limits(terms.hub());
        self.door.change(hub.clock().now(), terms.door);
    }

    /// Whether another holder has places.
    pub fn room_elsewhere(&mut self, room: bool) {
        self.door.room_elsewhere(room);
    }

    /// Takes no more connections after those that wait to be accepted, and asks all to leave, spread over the time
    /// that the terms give.
    pub fn leave(&mut self, hub: &mut Hub) {
        self.leaving = true;
        hub.accept_waiting();
        hub.stop_listening();
        self.door.leave(hub.clock().now());
    }

    /// What was counted.
    pub fn counts(&self) -> DoorCounts {
        self.door.counts()
    }

    /// Whether some are still to be asked to leave.
    pub fn is_asking(&self) -> bool {
        self.door.is_asking()
    }

    /// Whether answers still wait to be written.
    pub fn owes(&self, hub: &Hub) -> bool {
        self.states.iter().filter_map(|state| state.connection).any(|connection| hub.backlog(connection) > 0)
    }

    /// The next thing that a client asks.
    pub fn take_ask(&mut self) -> Option<Ask> {
        self.asks.pop_front()
    }

    /// A notice of a guest's connection; others are given back.
    pub fn notice(&mut self, hub: &mut Hub, notice: Notice) -> Option<Notice> {
        let now = hub.clock().now();
        match notice {
            Notice::Opened(connection, listener) => self.opened(hub, connection, listener),
            Notice::Message(connection, message) if self.is_here(connection) => {
                self.door.whole(now, slot(connection));
                if !self.states[slot(connection)].is_ending() {
                    self.message(hub, connection, message);
                }
            }
            Notice::Request(connection, request) if self.is_here(connection) => {
                self.door.whole(now, slot(connection));
                if !self.states[slot(connection)].is_ending() {
                    self.request(hub, connection, request);
                }
            }
            Notice::BadRequest(connection, error) if self.is_here(connection) => {
                self.door.whole(now, slot(connection));
                let response = http::words(error.status, error.reason, false);
                self.respond_now(hub, connection, response, false);
            }
            Notice::Half(connection, held) if self.is_here(connection) => {
                if !self.states[slot(connection)].is_ending() {
                    self.door.sign(now, slot(connection), Sign::Heard(held));
                }
            }
            Notice::Flushed(connection) if self.is_here(connection) => self.reads_again(hub, connection),
            Notice::Closed { connection, guest: true, .. } => {
                // One that was turned away at the door is closed as well, and was never here.
                if self.is_here(connection) {
                    self.open = self.open.saturating_sub(self.door.open(slot(connection)));
                    self.door.left(slot(connection));
                    self.states[slot(connection)] = State::default();
                    self.ask(hub.came(), connection, Message::Bye { reason: String::new() });
                }
            }
            other => return Some(other),
        }
        None
    }

    fn is_here(&self, connection: Connection) -> bool {
        self.states.get(slot(connection)).is_some_and(|state| state.connection == Some(connection))
    }

    fn opened(&mut self, hub: &mut Hub, connection: Connection, listener: u32) {
        let http = Some(listener) == self.http_listener;
        // It is gone already; what it asked, if anything, comes before its end.
        let Some(address) = hub.peer(connection) else { return hub.close(connection, "gone at the door") };
        let slot = slot(connection);
        let (now, states) = (hub.clock().now(), &self.states);
        let quiet = |slot: usize| states[slot].connection.is_none_or(|other| hub.is_quiet(other));
        match self.door.arrives(now, slot, address.ip(), http, quiet) {
            Arrival::Welcome => {}
            Arrival::Instead(other) => {
                self.states[other].connection.into_iter().for_each(|other| hub.close(other, "room-needed"));
            }
            Arrival::Away(why) => {
                tracing::debug!(%address, why, "turned away");
                return hub.close(connection, why);
            }
        }
        if slot >= self.states.len() {
            self.states.resize_with(slot + 1, State::default);
        }
        self.states[slot] = State { connection: Some(connection), http, ..State::default() };
    }

    fn ask(&mut self, came: Micros, connection: Connection, message: Message) {
        self.asks.push_back(Ask { connection, came, message });
    }

    /// An answer will be owed for this. One connection may not fill what all calls wait in.
    fn ask_for_answer(
        &mut self,
        hub: &mut Hub,
        came: Micros,
        connection: Connection,
        tenant: &str,
        message: Message,
    ) {
        let (Message::Call { number, .. }
        | Message::Await { number, .. }
        | Message::Page { number, .. }
        | Message::Versions { number, .. }) = message
        else {
            return;
        };
        if self.door.open(slot(connection)) as usize >= self.terms.per_connection {
            self.door.refused();
            let (status, reason) = (Status::Refused, "connection-full".into());
            let answer =
                Message::Answer { number, status, reason, retry_after: 0, body: Vec::new(), origin: None };
            return self.give(hub, connection, &answer);
        }
        let owed = self.states[slot(connection)].owed.get_or_insert_default();
        // A number that is used twice is the gateway's to complain of.
        if owed.open.insert(number) {
            self.open += 1;
            self.door.asks(hub.clock().now(), slot(connection), tenant);
        }
        self.ask(came, connection, message);
    }

    /// Nothing is owed for this number any more. False: nothing was, so a cancel and an answer that crossed count once.
    fn settle(&mut self, hub: &Hub, connection: Connection, number: u64) -> bool {
        let state = &mut self.states[slot(connection)];
        if !state.owed.as_mut().is_some_and(|owed| owed.open.remove(&number)) {
            return false;
        }
        state.tidy();
        self.open = self.open.saturating_sub(1);
        self.door.answered(hub.clock().now(), slot(connection));
        true
    }

    fn message(&mut self, hub: &mut Hub, connection: Connection, message: Message) {
        let came = hub.came();
        match message {
            Message::Cancel { number } => self.canceled(hub, came, connection, number),
            message => match self.read_ahead(connection) {
                // What a client asks that does not read waits in its turn. What it takes back does not.
                Some(unread) if !matches!(message, Message::Bye { .. }) => {
                    if unread.push(came, message) {
                        hub.pause(connection, true);
                    }
                }
                _ => self.frame(hub, came, connection, message),
            },
        }
    }

    pub(crate) fn frame(&mut self, hub: &mut Hub, came: Micros, connection: Connection, message: Message) {
        let greeted = std::mem::replace(&mut self.states[slot(connection)].greeted, true);
        match message {
            Message::Hello { role: Role::Client, .. } if !greeted => {}
            _ if !greeted => self.refuse(hub, connection, "a connection begins with Hello as a client"),
            Message::Call { ref tenant, .. } => {
                let tenant = tenant.clone();
                self.ask_for_answer(hub, came, connection, &tenant, message);
            }
            Message::Await { .. } | Message::Versions { .. } => {
                self.ask_for_answer(hub, came, connection, "", message)
            }
            Message::Probe { number } => {
                hub.send(connection, &Message::Probed { number, held: self.open, queued: 0 }, None);
            }
            Message::GoingAway { .. } | Message::Probed { .. } => {}
            Message::Bye { .. } => hub.close(connection, "the client said bye"),
            other => {
                let reason = format!("{} is not for a gateway's clients", other.kind());
                self.refuse(hub, connection, &reason);
            }
        }
    }

    fn canceled(&mut self, hub: &mut Hub, came: Micros, connection: Connection, number: u64) {
        if !self.states[slot(connection)].greeted {
            return self.refuse(hub, connection, "a connection begins with Hello as a client");
        }
        let still_unasked = self.read_ahead(connection).is_some_and(|unread| unread.cancel(number));
        if !still_unasked && self.settle(hub, connection, number) {
            self.ask(came, connection, Message::Cancel { number });
            self.end_if_settled(hub, connection);
        }
    }

    fn refuse(&mut self, hub: &mut Hub, connection: Connection, reason: &str) {
        hub.send(connection, &Message::Bye { reason: reason.into() }, None);
        hub.finish(connection);
        self.ask(hub.came(), connection, Message::Bye { reason: String::new() });
    }

    fn request(&mut self, hub: &mut Hub, connection: Connection, request: Request) {
        let state = &mut self.states[slot(connection)];
        let keep_alive = request.keep_alive && !self.leaving && !state.leaving;
        let owed = state.owed.get_or_insert_default();
        let number = owed.next;
        match http::asked(request, number) {
            Asked::Message(message) => {
                owed.next += 1;
                let fetched = matches!(message, Message::Await { .. });
                owed.slots.push_back(Slot { number, fetched, keep_alive, response: None });
                let tenant = match &message {
                    Message::Call { tenant, .. } => tenant.clone(),
                    _ => String::new(),
                };
                self.ask_for_answer(hub, hub.came(), connection, &tenant, message);
            }
            Asked::Health => {
                self.respond_now(hub, connection, http::words(200, "alive", keep_alive), keep_alive);
            }
            Asked::Wrong(status, why) => {
                self.respond_now(hub, connection, http::words(status, &why, keep_alive), keep_alive);
            }
        }
    }

    /// A response that needs no answer of the gateway; it still waits for its turn.
    fn respond_now(&mut self, hub: &mut Hub, connection: Connection, response: Vec<u8>, keep_alive: bool) {
        let Some(state) = self.states.get_mut(slot(connection)) else { return };
        let owed = state.owed.get_or_insert_default();
        let number = owed.next;
        owed.next += 1;
        owed.slots.push_back(Slot { number, fetched: false, keep_alive, response: Some(response) });
        self.send_responses(hub, connection);
    }

    /// Fills a slot; the response leaves when those before it have left.
    fn respond(
        &mut self,
        hub: &mut Hub,
        connection: Connection,
        number: u64,
        response: impl Fn(&Slot) -> Vec<u8>,
    ) {
        let owed = self.states.get_mut(slot(connection)).and_then(|state| state.owed.as_mut());
        let slot = owed.and_then(|owed| owed.slots.iter_mut().find(|slot| slot.number == number));
        let Some(slot) = slot else { return };
        slot.response = Some(response(slot));
        self.send_responses(hub, connection);
    }

    fn send_responses(&mut self, hub: &mut Hub, connection: Connection) {
        loop {
            let Some(state) = self.states.get_mut(slot(connection)) else { return };
            let Some(owed) = &mut state.owed else { return };
            if owed.slots.front().is_none_or(|slot| slot.response.is_none()) {
                return state.tidy();
            }
            let Some(slot) = owed.slots.pop_front() else { return };
            hub.send_bytes(connection, &slot.response.unwrap_or_default());
            if !slot.keep_alive {
                return hub.finish(connection);
            }
        }
    }

    /// What the gateway has for a client: `Accepted`, `Answer`, `Paged`, `Versioned`; or `Bye`: tell it why, and close.
    pub fn reply(&mut self, hub: &mut Hub, connection: Connection, message: &Message) {
        if !self.is_here(connection) || !hub.is_open(connection) {
            return;
        }
        if let Message::Bye { reason } = message {
            return self.refuse(hub, connection, reason);
        }
        // What was canceled as its answer was on the way gets none.
        if answered_number(message).is_some_and(|number| self.settle(hub, connection, number)) {
            self.give(hub, connection, message);
            self.end_if_settled(hub, connection);
        }
    }

    fn give(&mut self, hub: &mut Hub, connection: Connection, message: &Message) {
        if self.states[slot(connection)].http {
            match message {
                Message::Accepted { number, id } => {
                    self.respond(hub, connection, *number, |slot| http::accepted(id, slot.keep_alive));
                }
                Message::Answer { number, status, reason, retry_after, body, origin } => {
                    let (origin, after) = (origin.as_ref(), *retry_after);
                    self.respond(hub, connection, *number, |slot| {
                        http::answer(*status, reason, after, body, origin, slot.fetched, slot.keep_alive)
                    });
                }
                Message::Paged { number, status, body } => {
                    let text = String::from_utf8_lossy(body);
                    let status = u16::try_from(*status).unwrap_or(500);
                    self.respond(hub, connection, *number, |slot| {
                        http::words(status, &text, slot.keep_alive)
                    });
                }
                _ => {}
            }
        } else {
            hub.send(connection, message, None);
        }
        self.watch_backlog(hub, connection);
    }
}
