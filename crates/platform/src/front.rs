//! Client connections: the requests on each, and the streams that still need an answer.

use std::collections::VecDeque;
use std::net::Ipv4Addr;

use cresswheel::Micros;
use cresswheel_admission::{Act, Arrival, Door, DoorCounts, DoorLimits, Sign};
use cresswheel_platform_wire::client::{self, ClientDecoder, Code, FromClient, Request};
use cresswheel_transport::{Connection, Hub, Notice, slot};
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};

use crate::settings::PER_CONNECTION;

/// A client with a larger output backlog counts as not reading, and its new requests are rejected. Its input
/// is still read, as it may hold cancellations.
const BACKLOG: usize = 64 << 10;
/// A connection is closed after this many unusable requests.
const UNUSABLE: u32 = 8;
/// A connection is closed after this many requests without reading its answers.
const UNREAD: u32 = 1_000;

/// What clients did.
#[derive(Debug)]
pub enum Ask {
    /// A request with its connection and stream, and the earliest time at which it can have arrived.
    Request(Connection, u32, Micros, Request),
    /// The client canceled the request on this stream.
    TakenBack(Connection, u32),
    /// The client disconnected.
    Left(Connection),
}

struct Guest {
    decoder: ClientDecoder,
    /// Streams with an unanswered request, and its id.
    streams: HashMap<u32, String>,
    unusable: u32,
    /// Set while the client doesn't read: the backlog at the last check and the requests since.
    stalled: Option<(usize, u32)>,
    /// A protocol error: the client gets an error frame and its pending answers, then the connection is
    /// closed.
    ending: bool,
    /// An incomplete message timed out as more of it arrived; its timeout was restarted once.
    overdue: bool,
}

/// All client connections.
pub struct Front {
    door: Door,
    places: usize,
    /// Slow readers are tolerated while their total backlog stays below this many bytes.
    most_unread: usize,
    guests: HashMap<Connection, Guest>,
    by_slot: HashMap<usize, Connection>,
    /// Ids of open requests.
    ids: HashSet<String>,
    asks: VecDeque<Ask>,
    leaving: bool,
    listening: bool,
    /// Requests rejected here, by reason.
    pub turned_away: HashMap<&'static str, u64>,
    /// Connections closed here with an unanswered request. Must stay 0.
    pub closed_owed: u64,
}

/// Close reason of a client that keeps sending requests without reading.
const UNREAD_FOR_LONG: &str = "asks and does not read";

impl Front {
    pub fn new(now: Micros, limits: DoorLimits) -> Self {
        Self {
            door: Door::new(now, limits),
            places: limits.connections,
            most_unread: limits.half_bytes,
            guests: HashMap::new(),
            by_slot: HashMap::new(),
            ids: HashSet::new(),
            asks: VecDeque::new(),
            leaving: false,
            listening: true,
            turned_away: HashMap::new(),
            closed_owed: 0,
        }
    }

    pub fn take_ask(&mut self) -> Option<Ask> {
        self.asks.pop_front()
    }

    pub fn counts(&self) -> DoorCounts {
        self.door.counts()
    }

    /// Asks all clients to send no new requests here. Requests that arrive anyway are accepted as before.
    pub fn leave(&mut self, hub: &mut Hub) {
        self.leaving = true;
        for connection in self.guests.keys().copied() {
            hub.write(connection, None, client::leaving);
        }
    }

    /// Accepts the connections in the listen queue, then stops listening.
    pub fn shut(&mut self, hub: &mut Hub) {
        hub.accept_waiting();
        hub.stop_listening();
        self.leave(hub);
    }

    /// Handles notices of client connections; returns all others.
    pub fn notice(&mut self, hub: &mut Hub, is_ready: bool, notice: Notice) -> Option<Notice> {
        let now = hub.clock().now();
        match notice {
            Notice::Opened(connection, _) => self.opened(hub, connection),
            Notice::Bytes(connection, bytes) if self.guests.contains_key(&connection) => {
                self.bytes(hub, is_ready, connection, &bytes);
            }
            Notice::Flushed(connection) if self.guests.contains_key(&connection) => {
                self.door.sign(now, slot(connection), Sign::Reads);
                self.guests.entry(connection).and_modify(|guest| guest.stalled = None);
            }
            Notice::Closed { connection, guest: true, .. } => {
                // A connection rejected by admission control is closed too, and was never registered.
                if let Some(guest) = self.guests.remove(&connection) {
                    self.door.left(slot(connection));
                    self.by_slot.remove(&slot(connection));
                    guest.streams.values().for_each(|id| _ = self.ids.remove(id));
                    self.asks.push_back(Ask::Left(connection));
                }
            }
            other => return Some(other),
        }
        None
    }

    fn opened(&mut self, hub: &mut Hub, connection: Connection) {
        // It is closed already; anything it sent is processed before its end.
        if hub.peer(connection).is_none() {
            return hub.close(connection, "gone at the door");
        }
        // Clients connect through the platform's proxy layer, so their addresses don't identify them.
        let address = Ipv4Addr::UNSPECIFIED.into();
        let (now, by_slot) = (hub.clock().now(), &self.by_slot);
        let quiet = |slot| by_slot.get(&slot).is_none_or(|other| hub.is_quiet(*other));
        match self.door.arrives(now, slot(connection), address, false, quiet) {
            Arrival::Welcome => {}
            Arrival::Instead(other) => {
                let other = self.by_slot.get(&other).copied();
                other.into_iter().for_each(|other| self.close(hub, other, "room-needed"));
            }
            Arrival::Away(why) => {
                tracing::debug!(why, "turned away");
                return hub.close(connection, why);
            }
        }
        let decoder = ClientDecoder::default();
        let guest = Guest {
            decoder,
            streams: HashMap::new(),
            unusable: 0,
            stalled: None,
            ending: false,
            overdue: false,
        };
        self.guests.insert(connection, guest);
        self.by_slot.insert(slot(connection), connection);
        if self.leaving {
            hub.write(connection, None, client::leaving);
        }
    }

    fn bytes(&mut self, hub: &mut Hub, is_ready: bool, connection: Connection, bytes: &[u8]) {
        let (now, came) = (hub.clock().now(), hub.came());
        let Some(guest) = self.guests.get_mut(&connection) else { return };
        guest.decoder.push(bytes);
        loop {
            let Some(guest) = self.guests.get_mut(&connection).filter(|guest| !guest.ending) else { return };
            match guest.decoder.decode() {
                Ok(None) => {
                    let held = guest.decoder.midway();
                    return self.door.sign(now, slot(connection), Sign::Heard(held));
                }
                Ok(Some(frame)) => {
                    guest.overdue = false;
                    self.door.whole(now, slot(connection));
                    self.frame(hub, is_ready, connection, came, frame);
                }
                Err(error) => return self.end(hub, connection, &error.to_string()),
            }
        }
    }

    fn frame(
        &mut self,
        hub: &mut Hub,
        is_ready: bool,
        connection: Connection,
        came: Micros,
        frame: FromClient,
    ) {
        let Some(guest) = self.guests.get_mut(&connection) else { return };
        match frame {
            FromClient::Ready(stream) => {
                hub.write(connection, None, |out| client::ready(out, stream, is_ready));
                self.door.asks(hub.clock().now(), slot(connection), "");
                self.door.answered(hub.clock().now(), slot(connection));
                self.watch_backlog(hub, connection);
            }
            FromClient::TakenBack(stream) => {
                if let Some(id) = guest.streams.remove(&stream) {
                    self.ids.remove(&id);
                    self.door.called_off(hub.clock().now(), slot(connection));
                    self.asks.push_back(Ask::TakenBack(connection, stream));
                }
            }
            FromClient::Request(stream, _) if guest.streams.contains_key(&stream) => {
                self.end(hub, connection, "a stream with two requests");
            }
            FromClient::Request(stream, Err(why)) => {
                tracing::debug!(connection, stream, %why, "unusable");
                guest.unusable += 1;
                let often = guest.unusable >= UNUSABLE;
                self.turn_away(hub, connection, stream, "unusable");
                if often {
                    self.end(hub, connection, "requests that can't be used");
                }
            }
            FromClient::Request(stream, Ok(request)) => {
                let why = if guest.stalled.is_some() {
                    Some("does-not-read")
                } else if guest.streams.len() >= PER_CONNECTION {
                    Some("connection-full")
                } else if self.ids.contains(&request.id) {
                    Some("id-in-use")
                } else {
                    None
                };
                if let Some(why) = why {
                    return self.turn_away(hub, connection, stream, why);
                }
                guest.streams.insert(stream, request.id.clone());
                self.ids.insert(request.id.clone());
                self.door.asks(hub.clock().now(), slot(connection), "");
                self.asks.push_back(Ask::Request(connection, stream, came, request));
            }
        }
    }

    /// Rejects a request that was never accepted: nothing ran.
    fn turn_away(&mut self, hub: &mut Hub, connection: Connection, stream: u32, why: &'static str) {
        *self.turned_away.entry(why).or_insert(0) += 1;
        hub.write(connection, None, |out| client::answer(out, stream, Code::Refused, None, &[]));
        self.watch_backlog(hub, connection);
    }

    /// Reports a protocol error. Pending answers are still sent. Further input is read, to see the end of the
    /// connection, but ignored.
    fn end(&mut self, hub: &mut Hub, connection: Connection, why: &str) {
        let Some(guest) = self.guests.get_mut(&connection).filter(|guest| !guest.ending) else { return };
        tracing::debug!(connection, why, "a client's connection ends");
        hub.write(connection, None, |out| client::answer(out, 0, Code::Failed, None, why.as_bytes()));
        guest.ending = true;
        if guest.streams.is_empty() {
            hub.finish(connection);
        }
    }

    /// Marks a stream as answered.
    fn settle(&mut self, hub: &mut Hub, connection: Connection, stream: u32) -> bool {
        let Some(guest) = self.guests.get_mut(&connection) else { return false };
        let Some(id) = guest.streams.remove(&stream) else { return false };
        self.ids.remove(&id);
        self.door.answered(hub.clock().now(), slot(connection));
        true
    }

    /// Sends the final answer of a request.
    pub fn answer(
        &mut self,
        hub: &mut Hub,
        connection: Connection,
        stream: u32,
        code: Code,
        after: Option<u64>,
        body: &[u8],
    ) {
        if !self.settle(hub, connection, stream) {
            return;
        }
        hub.write(connection, None, |out| client::answer(out, stream, code, after, body));
        let done = self.guests.get(&connection).is_some_and(|guest| guest.ending && guest.streams.is_empty());
        if done {
            hub.finish(connection);
        }
        self.watch_backlog(hub, connection);
    }

    /// Closes a client connection. With unanswered requests, only a client that doesn't read may be closed;
    /// any other such close is a bug, and is counted.
    fn close(&mut self, hub: &mut Hub, connection: Connection, why: &'static str) {
        tracing::debug!(connection, why, "closed");
        let owed = self
            .guests
            .get(&connection)
            .filter(|guest| guest.stalled.is_none())
            .map(|guest| guest.streams.len());
        if let Some(owed) = owed.filter(|owed| *owed > 0 && why != UNREAD_FOR_LONG) {
            self.closed_owed += 1;
            tracing::error!(connection, why, owed, "closed against a rule");
        }
        hub.close(connection, why);
    }

    fn watch_backlog(&mut self, hub: &mut Hub, connection: Connection) {
        let backlog = hub.backlog(connection);
        let Some(guest) = self.guests.get_mut(&connection).filter(|_| backlog > BACKLOG) else { return };
        let (_, asked) = guest.stalled.get_or_insert((backlog, 0));
        *asked += 1;
        if *asked > UNREAD {
            guest.ending = true;
            return self.close(hub, connection, UNREAD_FOR_LONG);
        }
        hub.tell_flushed(connection);
        self.door.sign(hub.clock().now(), slot(connection), Sign::Stalled);
    }

    /// Handles a timeout of a connection. Input that arrived by now is processed first.
    fn time_is_up(&mut self, hub: &mut Hub, connection: Connection, why: &'static str) {
        let (now, slot) = (hub.clock().now(), slot(connection));
        let unread: usize = self.stalled().map(|(connection, _)| hub.backlog(connection)).sum();
        let Some(guest) = self.guests.get_mut(&connection) else { return };
        let backlog = hub.backlog(connection);
        match (&mut guest.stalled, why) {
            // It reads slowly, or has open requests, which have their own timeouts: restart the timeout.
            (Some((before, _)), _)
                if (backlog < *before || !guest.streams.is_empty()) && unread <= self.most_unread =>
            {
                *before = backlog;
                self.door.sign(now, slot, Sign::Stalled);
            }
            (None, "half-sent" | "half-bytes" | "half-many")
                if !guest.overdue && !hub.is_quiet(connection) =>
            {
                guest.overdue = true;
                self.door.sign(now, slot, Sign::Heard(guest.decoder.midway()));
            }
            // Open requests are still answered.
            (None, "half-sent" | "half-bytes" | "half-many") if !guest.streams.is_empty() => {
                self.door.sign(now, slot, Sign::Heard(0));
                self.end(hub, connection, why);
            }
            (None, "half-sent" | "half-bytes" | "half-many") => {
                self.close(hub, connection, why);
            }
            (None, _) if !hub.is_quiet(connection) => self.door.sign(now, slot, Sign::Heard(0)),
            _ => {
                self.close(hub, connection, why);
            }
        }
    }

    fn stalled(&self) -> impl Iterator<Item = (Connection, &Guest)> {
        let all = self.guests.iter().map(|(connection, guest)| (*connection, guest));
        all.filter(|(_, guest)| guest.stalled.is_some())
    }

    /// Closes all connections without pending work, each once its input is processed and its output is
    /// written. True when none is left.
    pub fn finish_all(&mut self, hub: &mut Hub) -> bool {
        for (connection, guest) in &mut self.guests {
            if !guest.ending && hub.backlog(*connection) == 0 && hub.is_quiet(*connection) {
                guest.ending = true;
                hub.finish(*connection);
            }
        }
        self.guests.is_empty()
    }

    /// Applies due admission timeouts, and pauses or resumes accepting.
    pub fn tick(&mut self, hub: &mut Hub) {
        let now = hub.clock().now();
        while let Some(act) = self.door.act(now) {
            if let Act::Close(slot, why) = act
                && let Some(connection) = self.by_slot.get(&slot)
            {
                self.time_is_up(hub, *connection, why);
            }
        }
        let room = self.door.may_accept(now).is_ok();
        if room {
            hub.accept_at_once(self.places.saturating_sub(self.door.here()));
        }
        if std::mem::replace(&mut self.listening, room) != room {
            hub.pause_listening(!room);
        }
    }

    /// Latest time for the next [`Front::tick`].
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        self.door.next_due(now).into_iter().chain(self.door.may_accept(now).err()).min()
    }
}
