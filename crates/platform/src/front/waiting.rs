//! Requests that are decoded and not started.
//!
//! A request is started once all that its connection has sent is decoded. One that is canceled before is never
//! started, and one whose time ends before is refused: nothing ran.

use cresswheel::Micros;
use cresswheel_platform_wire::client;
use cresswheel_transport::{Connection, EventLoop, slot};

use super::{ClientConnections, MILLISECOND, OpenRequest};
use crate::settings::REQUESTS_PER_CONNECTION;

/// Limits of waiting requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingLimits {
    /// Bytes that all of them take. Beyond it, a connection may have its equal share of them.
    pub bytes: usize,
    /// A request is refused this long before its time ends.
    pub margin: Micros,
}

/// A request with its place.
#[derive(Debug)]
pub struct Request {
    pub connection: Connection,
    pub stream: u32,
    /// The earliest time at which it can have arrived.
    pub received: Micros,
    pub request: client::Request,
}

#[derive(Debug)]
pub(super) struct WaitingRequest {
    pub(super) stream: u32,
    received: Micros,
    due: Micros,
    request: client::Request,
}

impl WaitingRequest {
    fn bytes(&self) -> usize {
        let request = &self.request;
        let texts = [&request.id, &request.class, &request.tenant, &request.once, &request.function];
        size_of::<Self>() + request.body.len() + texts.into_iter().map(String::len).sum::<usize>()
    }
}

impl ClientConnections {
    /// Adds a request that was decoded, or tells why it is rejected.
    pub(super) fn add_waiting(
        &mut self,
        now: Micros,
        connection: Connection,
        stream: u32,
        received: Micros,
        request: client::Request,
    ) -> Result<(), &'static str> {
        let share = self.waiting_limits.bytes / self.connections.len().max(1);
        let is_over = |more: usize| self.waiting_bytes + more > self.waiting_limits.bytes;
        let Some(client) = self.connections.get_mut(&connection) else { return Ok(()) };
        if client.stalled.is_some() {
            return Err("does-not-read");
        }
        if client.streams.len() >= REQUESTS_PER_CONNECTION {
            return Err("connection-full");
        }
        if self.ids.contains(&request.id) {
            return Err("id-in-use");
        }
        let due = received.saturating_add(request.wait_ms.saturating_mul(MILLISECOND));
        let id = request.id.clone();
        let waiting = WaitingRequest { stream, received, due, request };
        let bytes = waiting.bytes();
        if is_over(bytes) && client.waiting_bytes + bytes > share {
            return Err("too-much-waits");
        }
        client.waiting_bytes += bytes;
        client.waiting.push_back(waiting);
        client.streams.insert(stream, OpenRequest { id: id.clone(), due });
        self.waiting_bytes += bytes;
        self.ids.insert(id);
        self.start_turns.push(connection);
        self.admission.on_request(now, slot(connection), "");
        Ok(())
    }

    /// Whether requests wait.
    pub fn has_waiting(&self) -> bool {
        !self.start_turns.is_empty()
    }

    /// Whether all that a client has sent by the last poll of the sockets is decoded.
    pub fn is_read_to_end(&self, hub: &EventLoop, connection: Connection) -> bool {
        let is_decoded = |client: &super::Client| client.undecoded_since.is_none();
        self.connections.get(&connection).is_some_and(is_decoded) && hub.is_read_to_end(connection)
    }

    /// Takes the next request that may be started, of the connection whose turn it is.
    pub fn take_request(&mut self, hub: &EventLoop) -> Option<Request> {
        for _ in 0..self.start_turns.len() {
            let connection = self.start_turns.next()?;
            let Some(client) = self.connections.get(&connection) else { continue };
            let Some(first) = client.waiting.front().map(|waiting| waiting.stream) else { continue };
            if !self.is_read_to_end(hub, connection) {
                self.start_turns.push(connection);
                continue;
            }
            let has_more = client.waiting.len() > 1;
            let WaitingRequest { stream, received, request, .. } = self.remove_waiting(connection, first)?;
            if has_more {
                self.start_turns.push(connection);
            }
            return Some(Request { connection, stream, received, request });
        }
        None
    }

    /// Removes a waiting request.
    pub(super) fn remove_waiting(&mut self, connection: Connection, stream: u32) -> Option<WaitingRequest> {
        let client = self.connections.get_mut(&connection)?;
        let index = client.waiting.iter().position(|waiting| waiting.stream == stream)?;
        let waiting = client.waiting.remove(index)?;
        let bytes = waiting.bytes();
        client.waiting_bytes -= bytes;
        self.waiting_bytes -= bytes;
        Some(waiting)
    }

    /// Refuses the waiting requests of a connection whose time ends.
    pub(super) fn refuse_expired(&mut self, hub: &mut EventLoop, connection: Connection) {
        let end = hub.clock().now().saturating_add(self.waiting_limits.margin);
        let Some(client) = self.connections.get(&connection) else { return };
        let expired = client.waiting.iter().filter(|waiting| waiting.due <= end);
        let expired: Vec<u32> = expired.map(|waiting| waiting.stream).collect();
        for stream in expired {
            self.remove_waiting(connection, stream);
            *self.rejected.entry("not-read-in-time").or_insert(0) += 1;
            self.answer(hub, connection, stream, client::Code::Refused, None, &[]);
        }
    }
}
