//! Connections of clients: who is greeted, what is asked on each, which responses are owed in which order.

use std::collections::VecDeque;

use cresswheel_admission::{Act, Arrival, Door, DoorCounts, Sign};
use cresswheel_protocol::http::Request;
use cresswheel_protocol::{Message, Micros, Role, Status};
use cresswheel_transport::{Connection, Hub, Notice, slot};

use crate::ClientTerms;
use crate::http::{self, Asked};

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
struct State {
    /// Who is here, if the slot is taken. Notices come in order, so a slot that the hub has given to the next
    /// connection is still the former's until its end was told.
    connection: Option<Connection>,
    http: bool,
    greeted: bool,
    /// It is to leave: its next response is the last.
    leaving: bool,
    /// Responses that are owed.
    owed: Option<Box<Owed>>,
}

/// Responses leave in the order of their requests.
#[derive(Default)]
struct Owed {
    next: u64,
    slots: VecDeque<Slot>,
}

struct Slot {
    number: u64,
    fetched: bool,
    keep_alive: bool,
    response: Option<Vec<u8>>,
}

/// All clients of one hub.
pub struct Clients {
    terms: ClientTerms,
    door: Door,
    /// By slot.
    states: Vec<State>,
    asks: VecDeque<Ask>,
    http_listener: Option<u32>,
    /// All are to leave.
    leaving: bool,
    /// Calls and awaits that are owed an answer.
    open: u32,
    listening: bool,
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

    /// Takes no more connections, and asks all to leave, spread over the time that the terms give.
    pub fn leave(&mut self, hub: &mut Hub) {
        self.leaving = true;
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
                self.message(hub, connection, message);
            }
            Notice::Request(connection, request) if self.is_here(connection) => {
                self.door.whole(now, slot(connection));
                self.request(hub, connection, request);
            }
            Notice::BadRequest(connection, error) if self.is_here(connection) => {
                self.door.whole(now, slot(connection));
                let response = http::words(error.status, error.reason, false);
                self.respond_now(hub, connection, response, false);
            }
            Notice::Half(connection, held) if self.is_here(connection) => {
                self.door.sign(now, slot(connection), Sign::Heard(held))
            }
            Notice::Flushed(connection) if self.is_here(connection) => {
                self.door.sign(now, slot(connection), Sign::Reads);
                hub.pause(connection, false);
            }
            Notice::Closed { connection, guest: true, .. } => {
                // One that was turned away at the door is closed as well, and was never here.
                if self.is_here(connection) {
                    self.open = self.open.saturating_sub(self.door.open(slot(connection)));
                    self.door.left(slot(connection));
                    self.states[slot(connection)] = State::default();
                    self.ask(hub, connection, Message::Bye { reason: String::new() });
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

    fn ask(&mut self, hub: &Hub, connection: Connection, message: Message) {
        self.asks.push_back(Ask { connection, came: hub.came(), message });
    }

    /// An answer will be owed for this. One connection may not fill what all calls wait in.
    fn ask_for_answer(&mut self, hub: &mut Hub, connection: Connection, tenant: &str, message: Message) {
        if self.door.open(slot(connection)) as usize >= self.terms.per_connection {
            let (Message::Call { number, .. }
            | Message::Await { number, .. }
            | Message::Page { number, .. }
            | Message::Versions { number, .. }) = message
            else {
                return;
            };
            self.door.refused();
            let (status, reason) = (Status::Refused, "connection-full".into());
            let answer =
                Message::Answer { number, status, reason, retry_after: 0, body: Vec::new(), origin: None };
            return self.give(hub, connection, &answer);
        }
        self.open += 1;
        self.door.asks(hub.clock().now(), slot(connection), tenant);
        self.ask(hub, connection, message);
    }

    fn settle(&mut self, hub: &Hub, connection: Connection) {
        if self.door.open(slot(connection)) > 0 {
            self.open = self.open.saturating_sub(1);
            self.door.answered(hub.clock().now(), slot(connection));
        }
    }

    fn message(&mut self, hub: &mut Hub, connection: Connection, message: Message) {
        let greeted = std::mem::replace(&mut self.states[slot(connection)].greeted, true);
        match message {
            Message::Hello { role: Role::Client, .. } if !greeted => {}
            _ if !greeted => self.refuse(hub, connection, "a connection begins with Hello as a client"),
            Message::Call { ref tenant, .. } => {
                let tenant = tenant.clone();
                self.ask_for_answer(hub, connection, &tenant, message);
            }
            Message::Await { .. } | Message::Versions { .. } => {
                self.ask_for_answer(hub, connection, "", message)
            }
            Message::Cancel { .. } => {
                self.settle(hub, connection);
                self.ask(hub, connection, message);
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

    fn refuse(&mut self, hub: &mut Hub, connection: Connection, reason: &str) {
        hub.send(connection, &Message::Bye { reason: reason.into() }, None);
        hub.finish(connection);
        self.ask(hub, connection, Message::Bye { reason: String::new() });
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
                self.ask_for_answer(hub, connection, &tenant, message);
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
                if owed.slots.is_empty() {
                    state.owed = None;
                }
                return;
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
        self.settle(hub, connection);
        self.give(hub, connection, message);
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
        if hub.backlog(connection) > self.terms.backlog {
            hub.pause(connection, true);
            self.door.sign(hub.clock().now(), slot(connection), Sign::Stalled);
        }
    }

    /// Does what is due at the door, and opens or closes it.
    pub fn tick(&mut self, hub: &mut Hub) {
        let now = hub.clock().now();
        while let Some(act) = self.door.act(now) {
            match act {
                Act::Close(slot, why) => {
                    if let Some(connection) = self.states[slot].connection {
                        tracing::debug!(connection, why, "closed");
                        hub.close(connection, why);
                    }
                }
                Act::Ping(slot) => {
                    let Some(connection) = self.states[slot].connection else { continue };
                    if hub.backlog(connection) > 0 {
                        hub.close(connection, "does-not-read");
                    } else {
                        hub.send(connection, &Message::Probe { number: 0 }, None);
                    }
                }
                Act::AskToLeave(slot) => self.ask_to_leave(hub, slot),
            }
        }
        let room = self.door.may_accept(now);
        if room.is_ok() {
            hub.accept_at_once(self.terms.door.connections.saturating_sub(self.door.here()));
        }
        let listens = room.is_ok() && !self.leaving;
        if std::mem::replace(&mut self.listening, listens) != listens {
            if !listens && !self.leaving && self.door.here() >= self.terms.door.connections {
                tracing::warn!(connections = self.door.here(), "accepting pauses: all places are taken");
            }
            hub.pause_listening(!listens);
        }
    }

    fn ask_to_leave(&mut self, hub: &mut Hub, slot: usize) {
        let state = &mut self.states[slot];
        let Some(connection) = state.connection else { return };
        state.leaving = true;
        if !state.http {
            hub.send(connection, &Message::GoingAway { reason: "stopping".into() }, None);
        } else if state.owed.is_none() && !hub.midway(connection) {
            hub.finish(connection);
        }
    }

    /// When [`Clients::tick`] is wanted next, at the latest.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        let accept = if self.leaving { None } else { self.door.may_accept(now).err() };
        self.door.next_due(now).into_iter().chain(accept).min()
    }
}
