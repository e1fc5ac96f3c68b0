//! Client connections: the requests on each, and the streams that still need an answer.
//!
//! Input is decoded in turns of a few frames (`input`). A decoded request waits (`waiting`) until all that its
//! connection has sent is decoded, since a cancellation may follow it, and is started in its connection's turn.
//! So a client delays its own requests by what it sends, and nobody else's.

use std::collections::VecDeque;
use std::net::Ipv4Addr;

use cresswheel::Micros;
use cresswheel_admission::{
    Admission, ConnectionAction, ConnectionCounts, ConnectionEvent, ConnectionLimiter, ConnectionLimits,
};
use cresswheel_platform_wire::client::{self as wire, ClientDecoder, Code};
use cresswheel_transport::{Connection, EventLoop, LoopEvent, slot};
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};

use crate::turns::Turns;

mod abandoned;
mod input;
mod waiting;

use abandoned::AbandonedIds;
use waiting::WaitingRequest;
pub use waiting::{Request as StartedRequest, WaitingLimits};

/// A client with a larger output backlog counts as not reading, and its new requests are rejected. Its input
/// is still read, as it may hold cancellations.
const MAX_BACKLOG: usize = 64 << 10;
/// A connection is closed after this many unusable requests.
const MAX_UNUSABLE: u32 = 8;
/// A connection is closed after this many requests without reading its answers.
const MAX_UNREAD: u32 = 1_000;

/// Requests that must not run twice.
#[derive(Clone, Debug)]
pub struct UnsafeRequests {
    /// Their classes.
    pub classes: Vec<String>,
    /// How long an id is remembered after its client gave the request up.
    pub id_retention: Micros,
}

/// What clients did.
#[derive(Debug)]
pub enum ClientEvent {
    /// The client canceled the started request on this stream.
    Canceled(Connection, u32),
    /// The client disconnected.
    Left(Connection),
}

/// Answers that were given after the client's time.
#[derive(Clone, Copy, Debug, Default)]
pub struct LateAnswers {
    /// Their number.
    pub count: u64,
    /// How long after the client's time the latest came.
    pub longest: Micros,
}

/// A request without an answer.
struct OpenRequest {
    id: String,
    /// The end of the client's time.
    due: Micros,
}

struct Client {
    decoder: ClientDecoder,
    /// Input was received that is not decoded yet; it arrived at this time at the earliest.
    undecoded_since: Option<Micros>,
    /// Reading is paused until the input is decoded.
    paused: bool,
    /// Requests that are decoded and not started.
    waiting: VecDeque<WaitingRequest>,
    /// Bytes that the waiting requests take.
    waiting_bytes: usize,
    /// Unanswered requests, by stream.
    streams: HashMap<u32, OpenRequest>,
    unusable: u32,
    /// Set while the client doesn't read: the backlog at the last check and the requests since.
    stalled: Option<(usize, u32)>,
    /// A protocol error: the client gets an error frame and its pending answers, then the connection is
    /// closed.
    ending: bool,
    /// An incomplete message timed out as more of it arrived; its timeout was restarted once.
    timeout_extended: bool,
}

impl Client {
    /// Nothing that it sent is left to be done.
    fn is_idle(&self) -> bool {
        !self.ending && self.undecoded_since.is_none() && self.waiting.is_empty()
    }
}

/// Whether nothing came from a client that was not processed yet; see [`EventLoop::is_quiet`].
fn is_quiet(connections: &HashMap<Connection, Client>, hub: &mut EventLoop, connection: Connection) -> bool {
    let is_undecoded = |client: &Client| client.undecoded_since.is_some() || client.paused;
    !connections.get(&connection).is_some_and(is_undecoded) && hub.is_quiet(connection)
}

/// All client connections.
pub struct ClientConnections {
    admission: ConnectionLimiter,
    max_connections: usize,
    /// Slow readers are tolerated while their total backlog stays below this many bytes.
    max_total_backlog: usize,
    connections: HashMap<Connection, Client>,
    by_slot: HashMap<usize, Connection>,
    /// Ids of open requests.
    ids: HashSet<String>,
    /// Ids of requests that were started and given up by their clients.
    abandoned: AbandonedIds,
    /// Classes of which no request may run twice.
    unsafe_classes: HashSet<String>,
    /// Connections with input to decode, and those with waiting requests.
    input_turns: Turns,
    start_turns: Turns,
    waiting_limits: WaitingLimits,
    waiting_bytes: usize,
    events: VecDeque<ClientEvent>,
    draining: bool,
    listening: bool,
    late_answers: LateAnswers,
    /// Requests rejected here, by reason.
    pub rejected: HashMap<&'static str, u64>,
    /// Connections closed here with an unanswered request. Must stay 0.
    pub closed_unanswered: u64,
}

const MILLISECOND: Micros = 1_000;
/// Late answers with a log line of their own between two lines with counts.
const MAX_LATE_LINES: u64 = 10;

/// Close reason of a client that keeps sending requests without reading.
const NOT_READING: &str = "asks and does not read";

impl ClientConnections {
    pub fn new(
        now: Micros,
        limits: ConnectionLimits,
        waiting_limits: WaitingLimits,
        unsafe_requests: UnsafeRequests,
    ) -> Self {
        Self {
            admission: ConnectionLimiter::new(now, limits),
            max_connections: limits.connections,
            max_total_backlog: limits.half_bytes,
            connections: HashMap::new(),
            by_slot: HashMap::new(),
            ids: HashSet::new(),
            abandoned: AbandonedIds::new(unsafe_requests.id_retention),
            unsafe_classes: unsafe_requests.classes.into_iter().collect(),
            input_turns: Turns::default(),
            start_turns: Turns::default(),
            waiting_limits,
            waiting_bytes: 0,
            events: VecDeque::new(),
            draining: false,
            listening: true,
            late_answers: LateAnswers::default(),
            rejected: HashMap::new(),
            closed_unanswered: 0,
        }
    }

    pub fn take_event(&mut self) -> Option<ClientEvent> {
        self.events.pop_front()
    }

    pub fn counts(&self) -> ConnectionCounts {
        self.admission.counts()
    }

    /// The late answers since the last call.
    pub fn take_late_answers(&mut self) -> LateAnswers {
        std::mem::take(&mut self.late_answers)
    }

    /// Asks all clients to send no new requests here. Requests that arrive anyway are accepted as before.
    pub fn drain(&mut self, hub: &mut EventLoop) {
        self.draining = true;
        for connection in self.connections.keys().copied() {
            hub.write(connection, None, wire::encode_leaving);
        }
    }

    /// Accepts the connections in the listen queue, then stops listening.
    pub fn stop_accepting(&mut self, hub: &mut EventLoop) {
        hub.accept_waiting();
        hub.stop_listening();
        self.drain(hub);
    }

    /// Handles notices of client connections; returns all others.
    pub fn notice(&mut self, hub: &mut EventLoop, notice: LoopEvent) -> Option<LoopEvent> {
        let now = hub.clock().now();
        match notice {
            LoopEvent::Opened(connection, _) => self.opened(hub, connection),
            LoopEvent::Bytes(connection, bytes) if self.connections.contains_key(&connection) => {
                self.receive(hub, connection, &bytes);
            }
            LoopEvent::Flushed(connection) if self.connections.contains_key(&connection) => {
                let client = self.connections.get_mut(&connection);
                if client.is_some_and(|client| client.stalled.take().is_some()) {
                    self.admission.on_event(now, slot(connection), ConnectionEvent::Resumed);
                }
            }
            LoopEvent::Closed { connection, is_inbound: true, .. } => {
                // A connection rejected by admission control is closed too, and was never registered.
                if let Some(client) = self.connections.remove(&connection) {
                    self.admission.on_closed(slot(connection));
                    self.by_slot.remove(&slot(connection));
                    self.waiting_bytes -= client.waiting_bytes;
                    for (stream, open) in client.streams {
                        self.ids.remove(&open.id);
                        if !client.waiting.iter().any(|waiting| waiting.stream == stream) {
                            self.abandoned.insert(now, open.id);
                        }
                    }
                    self.events.push_back(ClientEvent::Left(connection));
                }
            }
            other => return Some(other),
        }
        None
    }

    fn opened(&mut self, hub: &mut EventLoop, connection: Connection) {
        // It is closed already; anything it sent is processed before its end.
        if hub.peer(connection).is_none() {
            return hub.close(connection, "client already disconnected");
        }
        // Clients connect through the platform's proxy layer, so their addresses don't identify them.
        let address = Ipv4Addr::UNSPECIFIED.into();
        let (now, by_slot, connections) = (hub.clock().now(), &self.by_slot, &self.connections);
        let quiet = |slot| by_slot.get(&slot).is_none_or(|other| is_quiet(connections, hub, *other));
        match self.admission.admit(now, slot(connection), address, false, quiet) {
            Admission::Accept => {}
            Admission::AcceptEvicting(other) => {
                let other = self.by_slot.get(&other).copied();
                other.into_iter().for_each(|other| self.close(hub, other, "room-needed"));
            }
            Admission::Reject(why) => {
                tracing::debug!(why, "turned away");
                return hub.close(connection, why);
            }
        }
        let decoder = ClientDecoder::default();
        let client = Client {
            decoder,
            undecoded_since: None,
            paused: false,
            waiting: VecDeque::new(),
            waiting_bytes: 0,
            streams: HashMap::new(),
            unusable: 0,
            stalled: None,
            ending: false,
            timeout_extended: false,
        };
        self.connections.insert(connection, client);
        self.by_slot.insert(slot(connection), connection);
        if self.draining {
            hub.write(connection, None, wire::encode_leaving);
        }
    }

    /// Rejects a request that was never accepted: nothing ran.
    fn reject(&mut self, hub: &mut EventLoop, connection: Connection, stream: u32, why: &'static str) {
        self.reject_as(hub, connection, stream, Code::Refused, why);
    }

    fn reject_as(
        &mut self,
        hub: &mut EventLoop,
        connection: Connection,
        stream: u32,
        code: Code,
        why: &'static str,
    ) {
        tracing::debug!(connection, stream, why, "rejected");
        *self.rejected.entry(why).or_insert(0) += 1;
        hub.write(connection, None, |out| wire::encode_answer(out, stream, code, None, &[]));
        self.check_backlog(hub, connection);
    }

    /// Reports a protocol error. Pending answers are still sent. Further input is read, to see the end of the
    /// connection, but ignored.
    fn protocol_error(&mut self, hub: &mut EventLoop, connection: Connection, why: &str) {
        let Some(client) = self.connections.get_mut(&connection).filter(|client| !client.ending) else {
            return;
        };
        tracing::debug!(connection, why, "protocol error on a client connection");
        hub.write(connection, None, |out| wire::encode_answer(out, 0, Code::Failed, None, why.as_bytes()));
        client.ending = true;
        if client.streams.is_empty() {
            hub.finish(connection);
        }
    }

    /// Marks a stream as answered.
    fn mark_answered(&mut self, hub: &mut EventLoop, connection: Connection, stream: u32) -> bool {
        let Some(client) = self.connections.get_mut(&connection) else { return false };
        let Some(open) = client.streams.remove(&stream) else { return false };
        let now = hub.clock().now();
        self.ids.remove(&open.id);
        self.admission.on_answer(now, slot(connection));
        if open.due < now {
            let late = now - open.due;
            if self.late_answers.count < MAX_LATE_LINES {
                tracing::info!(connection, stream, id = open.id, late, "answered after the client's time");
            }
            self.late_answers.count += 1;
            self.late_answers.longest = self.late_answers.longest.max(late);
        }
        true
    }

    /// Sends the final answer of a request.
    pub fn answer(
        &mut self,
        hub: &mut EventLoop,
        connection: Connection,
        stream: u32,
        code: Code,
        after: Option<u64>,
        body: &[u8],
    ) {
        if !self.mark_answered(hub, connection, stream) {
            return;
        }
        hub.write(connection, None, |out| wire::encode_answer(out, stream, code, after, body));
        let done = self
            .connections
            .get(&connection)
            .is_some_and(|client| client.ending && client.streams.is_empty());
        if done {
            hub.finish(connection);
        }
        self.check_backlog(hub, connection);
    }

    /// Closes a client connection. With unanswered requests, only a client that doesn't read may be closed;
    /// any other such close is a bug, and is counted.
    fn close(&mut self, hub: &mut EventLoop, connection: Connection, why: &'static str) {
        tracing::debug!(connection, why, "closed");
        let owed = self
            .connections
            .get(&connection)
            .filter(|client| client.stalled.is_none())
            .map(|client| client.streams.len());
        if let Some(owed) = owed.filter(|owed| *owed > 0 && why != NOT_READING) {
            self.closed_unanswered += 1;
            tracing::error!(connection, why, owed, "closed against a rule");
        }
        hub.close(connection, why);
    }

    fn check_backlog(&mut self, hub: &mut EventLoop, connection: Connection) {
        let backlog = hub.backlog(connection);
        let Some(client) = self.connections.get_mut(&connection).filter(|_| backlog > MAX_BACKLOG) else {
            return;
        };
        let (_, requests) = client.stalled.get_or_insert((backlog, 0));
        *requests += 1;
        if *requests > MAX_UNREAD {
            client.ending = true;
            return self.close(hub, connection, NOT_READING);
        }
        hub.report_flushed(connection);
        self.admission.on_event(hub.clock().now(), slot(connection), ConnectionEvent::Stalled);
    }

    /// Handles a timeout of a connection. Input that arrived by now is processed first.
    fn handle_timeout(&mut self, hub: &mut EventLoop, connection: Connection, why: &'static str) {
        let (now, slot) = (hub.clock().now(), slot(connection));
        let is_quiet = is_quiet(&self.connections, hub, connection);
        let unread: usize = self.stalled().map(|(connection, _)| hub.backlog(connection)).sum();
        let Some(client) = self.connections.get_mut(&connection) else { return };
        let backlog = hub.backlog(connection);
        match (&mut client.stalled, why) {
            // It reads slowly, or has open requests, which have their own timeouts: restart the timeout.
            (Some((before, _)), _)
                if (backlog < *before || !client.streams.is_empty()) && unread <= self.max_total_backlog =>
            {
                *before = backlog;
                self.admission.on_event(now, slot, ConnectionEvent::Stalled);
            }
            (None, "half-sent" | "half-bytes" | "half-many") if !client.timeout_extended && !is_quiet => {
                client.timeout_extended = true;
                self.admission.on_event(
                    now,
                    slot,
                    ConnectionEvent::Received(client.decoder.incomplete_bytes()),
                );
            }
            // Open requests are still answered.
            (None, "half-sent" | "half-bytes" | "half-many") if !client.streams.is_empty() => {
                self.admission.on_event(now, slot, ConnectionEvent::Received(0));
                self.protocol_error(hub, connection, why);
            }
            (None, "half-sent" | "half-bytes" | "half-many") => {
                self.close(hub, connection, why);
            }
            (None, _) if !is_quiet => self.admission.on_event(now, slot, ConnectionEvent::Received(0)),
            _ => {
                self.close(hub, connection, why);
            }
        }
    }

    fn stalled(&self) -> impl Iterator<Item = (Connection, &Client)> {
        let all = self.connections.iter().map(|(connection, client)| (*connection, client));
        all.filter(|(_, client)| client.stalled.is_some())
    }

    /// Closes all connections without pending work, each once its input is processed and its output is
    /// written. True when none is left.
    pub fn close_idle(&mut self, hub: &mut EventLoop) -> bool {
        let connections: Vec<Connection> = self.connections.keys().copied().collect();
        for connection in connections {
            if hub.backlog(connection) > 0 || !is_quiet(&self.connections, hub, connection) {
                continue;
            }
            if let Some(client) = self.connections.get_mut(&connection).filter(|client| client.is_idle()) {
                client.ending = true;
                hub.finish(connection);
            }
        }
        self.connections.is_empty()
    }

    /// Applies due admission timeouts, and pauses or resumes accepting.
    pub fn tick(&mut self, hub: &mut EventLoop) {
        let now = hub.clock().now();
        while let Some(act) = self.admission.next_action(now) {
            if let ConnectionAction::Close(slot, why) = act
                && let Some(connection) = self.by_slot.get(&slot)
            {
                self.handle_timeout(hub, *connection, why);
            }
        }
        let has_capacity = self.admission.may_accept(now).is_ok();
        if has_capacity {
            hub.accept_at_once(self.max_connections.saturating_sub(self.admission.connection_count()));
        }
        if std::mem::replace(&mut self.listening, has_capacity) != has_capacity {
            hub.pause_listening(!has_capacity);
        }
    }

    /// Latest time for the next [`ClientConnections::tick`].
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        self.admission.next_due(now).into_iter().chain(self.admission.may_accept(now).err()).min()
    }
}

#[cfg(test)]
mod tests;
