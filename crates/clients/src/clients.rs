//! Client connections: handshakes, requests, and the answers to them.

use std::collections::VecDeque;

use cresswheel_admission::{Admission, ConnectionCounts, ConnectionEvent, ConnectionLimiter};
use cresswheel_protocol::http::Request;
use cresswheel_protocol::{Message, Micros, Role, Status};
use cresswheel_transport::{Connection, EventLoop, LoopEvent, slot};

use crate::ClientLimits;
use crate::http::{self, ParsedRequest};
use crate::owed::{Outstanding, PendingResponse, answer_number};

/// Reason of the refusal of a call whose body is longer than [`ClientLimits::largest_body`].
const BODY_TOO_LONG: &str = "body-too-long";
/// HTTP: responses of a connection that wait; beyond it no further request of it is read.
const MAX_PIPELINED: usize = 64;

/// A client's request to the gateway: a `Call`, `Await`, `Cancel`, `Page` or `Versions`; or `Bye`: the
/// connection is closed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientRequest {
    /// The client's connection.
    pub connection: Connection,
    /// The earliest time at which it can have arrived.
    pub came: Micros,
    /// The request.
    pub message: Message,
}

/// State of a client connection. It is small because most connections are idle.
#[derive(Default)]
pub(crate) struct State {
    /// The connection in this slot. Notices are handled in order: a slot that the event loop has already
    /// reused belongs to its former connection until that one's `Closed` notice.
    pub connection: Option<Connection>,
    pub http: bool,
    /// The client has sent its `Hello`.
    pub handshake_done: bool,
    /// It was asked to leave: its next HTTP response is the last.
    pub asked_to_leave: bool,
    /// It is closed once its output is sent.
    pub finishing: bool,
    /// Its outstanding work, if there is any.
    pub outstanding: Option<Box<Outstanding>>,
}

impl State {
    /// Whether a request has no answer yet.
    pub fn has_open(&self) -> bool {
        self.outstanding.as_ref().is_some_and(|outstanding| !outstanding.open_requests.is_empty())
    }

    /// Whether responses wait to be sent, or for an earlier one.
    pub fn has_waiting_responses(&self) -> bool {
        self.outstanding.as_ref().is_some_and(|outstanding| !outstanding.responses.is_empty())
    }

    /// Whether it will be closed, so that further requests are ignored.
    pub fn is_closing(&self) -> bool {
        self.outstanding.as_ref().is_some_and(|outstanding| outstanding.close_reason.is_some())
    }

    /// Frees memory that an idle connection does not need.
    pub fn free_if_idle(&mut self) {
        if self.outstanding.as_ref().is_some_and(|outstanding| outstanding.is_empty()) {
            self.outstanding = None;
        }
    }
}

/// All client connections of one event loop.
pub struct Clients {
    pub(crate) terms: ClientLimits,
    pub(crate) limiter: ConnectionLimiter,
    /// By slot.
    pub(crate) states: Vec<State>,
    requests: VecDeque<ClientRequest>,
    http_listener: Option<u32>,
    /// All connections are asked to leave.
    pub(crate) draining: bool,
    /// Calls and awaits without their answer.
    open_requests: u32,
    pub(crate) listening: bool,
}

impl Clients {
    /// Starts without connections. `http_listener` is the event loop's number of the listener for HTTP.
    pub fn new(hub: &mut EventLoop, terms: ClientLimits, http_listener: Option<u32>) -> Self {
        hub.report_partial_messages();
        let limiter = ConnectionLimiter::new(hub.clock().now(), terms.door);
        Self {
            terms,
            limiter,
            states: Vec::new(),
            requests: VecDeque::new(),
            http_listener,
            draining: false,
            open_requests: 0,
            listening: true,
        }
    }

    /// Sets new limits, also for existing connections.
    pub fn change(&mut self, hub: &mut EventLoop, terms: ClientLimits) {
        self.terms = terms;
        hub.set_limits(terms.hub());
        self.limiter.set_limits(hub.clock().now(), terms.door);
    }

    /// Sets whether another acceptor process is below its connection limit.
    pub fn set_capacity_elsewhere(&mut self, capacity_elsewhere: bool) {
        self.limiter.set_capacity_elsewhere(capacity_elsewhere);
    }

    /// Accepts the connections in the backlog, stops listening, and asks all connections to leave, spread
    /// over `leave_over`.
    pub fn drain(&mut self, hub: &mut EventLoop) {
        self.draining = true;
        hub.accept_waiting();
        hub.stop_listening();
        self.limiter.drain(hub.clock().now());
    }

    /// Counters of connections.
    pub fn counts(&self) -> ConnectionCounts {
        self.limiter.counts()
    }

    /// Whether some connections are still to be asked to leave.
    pub fn is_draining(&self) -> bool {
        self.limiter.is_draining()
    }

    /// Whether output still waits to be sent.
    pub fn has_unsent_output(&self, hub: &EventLoop) -> bool {
        self.states.iter().filter_map(|state| state.connection).any(|connection| hub.backlog(connection) > 0)
    }

    /// The next request of a client.
    pub fn take_request(&mut self) -> Option<ClientRequest> {
        self.requests.pop_front()
    }

    /// Handles a notice about a client connection; others are returned.
    pub fn notice(&mut self, hub: &mut EventLoop, notice: LoopEvent) -> Option<LoopEvent> {
        let now = hub.clock().now();
        match notice {
            LoopEvent::Opened(connection, listener) => self.on_opened(hub, connection, listener),
            LoopEvent::Message(connection, message) if self.is_connected(connection) => {
                self.limiter.on_message_complete(now, slot(connection));
                if !self.states[slot(connection)].is_closing() {
                    self.on_message(hub, connection, message);
                }
            }
            LoopEvent::Request(connection, request) if self.is_connected(connection) => {
                self.limiter.on_message_complete(now, slot(connection));
                if !self.states[slot(connection)].is_closing() {
                    self.on_request(hub, connection, request);
                }
            }
            LoopEvent::BadRequest(connection, error) if self.is_connected(connection) => {
                self.limiter.on_message_complete(now, slot(connection));
                let response = http::text_response(error.status, error.reason, false);
                self.respond_now(hub, connection, response, false);
            }
            LoopEvent::PartialMessage(connection, partial_bytes) if self.is_connected(connection) => {
                if !self.states[slot(connection)].is_closing() {
                    self.limiter.on_event(now, slot(connection), ConnectionEvent::Received(partial_bytes));
                }
            }
            LoopEvent::Flushed(connection) if self.is_connected(connection) => {
                self.on_flushed(hub, connection)
            }
            LoopEvent::Closed { connection, is_inbound: true, .. } => {
                // A connection that was rejected as it arrived is closed as well, without a state here.
                if self.is_connected(connection) {
                    self.open_requests =
                        self.open_requests.saturating_sub(self.limiter.open_requests(slot(connection)));
                    self.limiter.on_closed(slot(connection));
                    self.states[slot(connection)] = State::default();
                    self.queue_request(hub.arrived_at(), connection, Message::Bye { reason: String::new() });
                }
            }
            other => return Some(other),
        }
        None
    }

    fn is_connected(&self, connection: Connection) -> bool {
        self.states.get(slot(connection)).is_some_and(|state| state.connection == Some(connection))
    }

    fn on_opened(&mut self, hub: &mut EventLoop, connection: Connection, listener: u32) {
        let http = Some(listener) == self.http_listener;
        // It is closed already; notices of its requests, if any, come before its `Closed` notice.
        let Some(address) = hub.peer(connection) else { return hub.close(connection, "gone at the door") };
        let slot = slot(connection);
        let (now, states) = (hub.clock().now(), &self.states);
        let is_quiet = |slot: usize| states[slot].connection.is_none_or(|other| hub.is_quiet(other));
        match self.limiter.admit(now, slot, address.ip(), http, is_quiet) {
            Admission::Accept => {}
            Admission::AcceptEvicting(evicted) => {
                self.states[evicted]
                    .connection
                    .into_iter()
                    .for_each(|evicted| hub.close(evicted, "room-needed"));
            }
            Admission::Reject(why) => {
                tracing::debug!(%address, why, "connection rejected");
                return hub.close(connection, why);
            }
        }
        if slot >= self.states.len() {
            self.states.resize_with(slot + 1, State::default);
        }
        self.states[slot] = State { connection: Some(connection), http, ..State::default() };
    }

    fn queue_request(&mut self, arrived: Micros, connection: Connection, message: Message) {
        self.requests.push_back(ClientRequest { connection, came: arrived, message });
    }

    /// Queues a request that needs an answer. The limit keeps one connection from filling the queue of all
    /// calls.
    fn queue_answered_request(
        &mut self,
        hub: &mut EventLoop,
        arrived: Micros,
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
        if self.limiter.open_requests(slot(connection)) as usize >= self.terms.per_connection {
            return self.refuse(hub, connection, number, "connection-full");
        }
        let outstanding = self.states[slot(connection)].outstanding.get_or_insert_default();
        // The gateway reports a number that is used twice.
        if outstanding.open_requests.insert(number) {
            self.open_requests += 1;
            self.limiter.on_request(hub.clock().now(), slot(connection), tenant);
        }
        self.queue_request(arrived, connection, message);
    }

    /// Refuses a request before anything of it is passed on.
    fn refuse(&mut self, hub: &mut EventLoop, connection: Connection, number: u64, reason: &str) {
        self.limiter.count_refused();
        let (status, reason) = (Status::Refused, reason.into());
        let answer =
            Message::Answer { number, status, reason, retry_after: 0, body: Vec::new(), origin: None };
        self.send_answer(hub, connection, &answer);
    }

    /// A request was answered or canceled. False: it was not open, so that a cancel and an answer that
    /// crossed count once.
    fn close_request(&mut self, hub: &EventLoop, connection: Connection, number: u64) -> bool {
        let state = &mut self.states[slot(connection)];
        if !state.outstanding.as_mut().is_some_and(|outstanding| outstanding.open_requests.remove(&number)) {
            return false;
        }
        state.free_if_idle();
        self.open_requests = self.open_requests.saturating_sub(1);
        self.limiter.on_answer(hub.clock().now(), slot(connection));
        true
    }

    fn on_message(&mut self, hub: &mut EventLoop, connection: Connection, message: Message) {
        let arrived = hub.arrived_at();
        match message {
            Message::Cancel { number } => self.on_cancel(hub, arrived, connection, number),
            message => match self.read_ahead(connection) {
                // Requests of a client that does not read are deferred, in order. Cancels are not.
                Some(read_ahead) if !matches!(message, Message::Bye { .. }) => {
                    if read_ahead.push(arrived, message) {
                        hub.pause(connection, true);
                    }
                }
                _ => self.frame(hub, arrived, connection, message),
            },
        }
    }

    /// Handles a message of the main protocol.
    pub(crate) fn frame(
        &mut self,
        hub: &mut EventLoop,
        arrived: Micros,
        connection: Connection,
        message: Message,
    ) {
        let handshake_done = std::mem::replace(&mut self.states[slot(connection)].handshake_done, true);
        match message {
            Message::Hello { role: Role::Client, .. } if !handshake_done => {}
            _ if !handshake_done => {
                self.close_with_bye(hub, connection, "a connection begins with Hello as a client")
            }
            Message::Call { number, ref body, .. } if body.len() > self.terms.largest_body() => {
                self.refuse(hub, connection, number, BODY_TOO_LONG);
            }
            Message::Call { ref tenant, .. } => {
                let tenant = tenant.clone();
                self.queue_answered_request(hub, arrived, connection, &tenant, message);
            }
            Message::Await { .. } | Message::Versions { .. } => {
                self.queue_answered_request(hub, arrived, connection, "", message)
            }
            Message::Probe { number } => {
                hub.send(connection, &Message::Probed { number, held: self.open_requests, queued: 0 }, None);
            }
            Message::GoingAway { .. } | Message::Probed { .. } => {}
            Message::Bye { .. } => hub.close(connection, "the client said bye"),
            other => {
                let reason = format!("{} is not for a gateway's clients", other.kind());
                self.close_with_bye(hub, connection, &reason);
            }
        }
    }

    fn on_cancel(&mut self, hub: &mut EventLoop, arrived: Micros, connection: Connection, number: u64) {
        if !self.states[slot(connection)].handshake_done {
            return self.close_with_bye(hub, connection, "a connection begins with Hello as a client");
        }
        let was_deferred = self.read_ahead(connection).is_some_and(|read_ahead| read_ahead.cancel(number));
        if !was_deferred && self.close_request(hub, connection, number) {
            self.queue_request(arrived, connection, Message::Cancel { number });
            self.close_if_settled(hub, connection);
        }
    }

    fn close_with_bye(&mut self, hub: &mut EventLoop, connection: Connection, reason: &str) {
        hub.send(connection, &Message::Bye { reason: reason.into() }, None);
        hub.finish(connection);
        self.queue_request(hub.arrived_at(), connection, Message::Bye { reason: String::new() });
    }

    fn on_request(&mut self, hub: &mut EventLoop, connection: Connection, request: Request) {
        let state = &mut self.states[slot(connection)];
        let keep_alive = request.keep_alive && !self.draining && !state.asked_to_leave;
        let outstanding = state.outstanding.get_or_insert_default();
        let number = outstanding.next_number;
        match http::parse_request(request, number) {
            ParsedRequest::Message(message) => {
                outstanding.next_number += 1;
                let is_fetch = matches!(message, Message::Await { .. });
                outstanding.responses.push_back(PendingResponse {
                    number,
                    is_fetch,
                    keep_alive,
                    bytes: None,
                });
                let tenant = match &message {
                    Message::Call { tenant, .. } => tenant.clone(),
                    _ => String::new(),
                };
                self.stop_reading_if_full(hub, connection);
                self.queue_answered_request(hub, hub.arrived_at(), connection, &tenant, message);
            }
            ParsedRequest::Health => {
                self.respond_now(hub, connection, http::text_response(200, "alive", keep_alive), keep_alive);
            }
            ParsedRequest::Invalid(status, error) => {
                self.respond_now(
                    hub,
                    connection,
                    http::text_response(status, &error, keep_alive),
                    keep_alive,
                );
            }
        }
    }

    /// HTTP: requests that are pipelined behind many others are left in the kernel, and their client waits.
    fn stop_reading_if_full(&mut self, hub: &mut EventLoop, connection: Connection) {
        let Some(outstanding) = self.states[slot(connection)].outstanding.as_mut() else { return };
        if outstanding.responses.len() >= MAX_PIPELINED {
            outstanding.is_full = true;
            hub.pause(connection, true);
        }
    }

    /// HTTP: reads on once half of the responses that waited are sent.
    fn read_on_if_room(&mut self, hub: &mut EventLoop, connection: Connection) {
        let Some(outstanding) = self.states[slot(connection)].outstanding.as_mut() else { return };
        let has_room = outstanding.responses.len() <= MAX_PIPELINED / 2 && outstanding.stalled.is_none();
        if has_room && std::mem::take(&mut outstanding.is_full) {
            hub.pause(connection, false);
        }
    }

    /// Queues a response that needs no answer of the gateway; it is sent after those of earlier requests.
    fn respond_now(
        &mut self,
        hub: &mut EventLoop,
        connection: Connection,
        response: Vec<u8>,
        keep_alive: bool,
    ) {
        let Some(state) = self.states.get_mut(slot(connection)) else { return };
        let outstanding = state.outstanding.get_or_insert_default();
        let number = outstanding.next_number;
        outstanding.next_number += 1;
        outstanding.responses.push_back(PendingResponse {
            number,
            is_fetch: false,
            keep_alive,
            bytes: Some(response),
        });
        if keep_alive {
            self.stop_reading_if_full(hub, connection);
        }
        self.send_responses(hub, connection);
    }

    /// Sets the response to a request; it is sent after those of earlier requests.
    fn respond(
        &mut self,
        hub: &mut EventLoop,
        connection: Connection,
        number: u64,
        response: impl Fn(&PendingResponse) -> Vec<u8>,
    ) {
        let outstanding = self.states.get_mut(slot(connection)).and_then(|state| state.outstanding.as_mut());
        let pending = outstanding.and_then(|outstanding| {
            outstanding.responses.iter_mut().find(|pending| pending.number == number)
        });
        let Some(pending) = pending else { return };
        pending.bytes = Some(response(pending));
        self.send_responses(hub, connection);
    }

    /// Sends the responses that are due, in the order of their requests. While more than the limit waits to be
    /// sent, the others wait here: those that a late one held up are due at once, which says nothing about
    /// whether the client reads.
    pub(crate) fn send_responses(&mut self, hub: &mut EventLoop, connection: Connection) {
        loop {
            if hub.backlog(connection) > self.terms.backlog {
                return self.hold_responses(hub, connection);
            }
            self.read_on_if_room(hub, connection);
            let Some(state) = self.states.get_mut(slot(connection)) else { return };
            let Some(outstanding) = &mut state.outstanding else { return };
            if outstanding.responses.front().is_none_or(|pending| pending.bytes.is_none()) {
                return state.free_if_idle();
            }
            let Some(pending) = outstanding.responses.pop_front() else { return };
            hub.send_bytes(connection, &pending.bytes.unwrap_or_default());
            if !pending.keep_alive {
                return hub.finish(connection);
            }
        }
    }

    /// Sends a message of the gateway to a client: `Accepted`, `Answer`, `Paged` or `Versioned`; or `Bye`,
    /// which also closes the connection.
    pub fn reply(&mut self, hub: &mut EventLoop, connection: Connection, message: &Message) {
        if !self.is_connected(connection) || !hub.is_open(connection) {
            return;
        }
        if let Message::Bye { reason } = message {
            return self.close_with_bye(hub, connection, reason);
        }
        // A request that was canceled while its answer was on the way gets no answer.
        if answer_number(message).is_some_and(|number| self.close_request(hub, connection, number)) {
            self.send_answer(hub, connection, message);
            self.close_if_settled(hub, connection);
        }
    }

    fn send_answer(&mut self, hub: &mut EventLoop, connection: Connection, message: &Message) {
        if self.states[slot(connection)].http {
            match message {
                Message::Accepted { number, id } => {
                    self.respond(hub, connection, *number, |pending| {
                        http::accepted_response(id, pending.keep_alive)
                    });
                }
                Message::Answer { number, status, reason, retry_after, body, origin } => {
                    let (origin, after) = (origin.as_ref(), *retry_after);
                    self.respond(hub, connection, *number, |pending| {
                        http::answer_response(
                            *status,
                            reason,
                            after,
                            body,
                            origin,
                            pending.is_fetch,
                            pending.keep_alive,
                        )
                    });
                }
                Message::Paged { number, status, body } => {
                    let text = String::from_utf8_lossy(body);
                    let status = u16::try_from(*status).unwrap_or(500);
                    self.respond(hub, connection, *number, |pending| {
                        http::text_response(status, &text, pending.keep_alive)
                    });
                }
                _ => {}
            }
        } else {
            hub.send(connection, message, None);
        }
        self.check_backlog(hub, connection);
    }
}
