//! What clients send: received bytes, decoded in turns, frame by frame.

use cresswheel::Micros;
use cresswheel_admission::ConnectionEvent;
use cresswheel_platform_wire::client::{self as wire, Code, FromClient};
use cresswheel_transport::{Connection, EventLoop, slot};

use super::{ClientConnections, ClientEvent, MAX_UNUSABLE};

/// Frames of a connection that are decoded in one turn.
const FRAMES_PER_TURN: usize = 8;

impl ClientConnections {
    /// Takes in received bytes; they are decoded in the connection's turn.
    pub(super) fn receive(&mut self, hub: &EventLoop, connection: Connection, bytes: &[u8]) {
        let Some(client) = self.connections.get_mut(&connection).filter(|client| !client.ending) else {
            return;
        };
        client.decoder.push(bytes);
        client.undecoded_since.get_or_insert(hub.arrived_at());
        self.input_turns.push(connection);
    }

    /// Whether there is input to decode.
    pub fn has_input(&self) -> bool {
        !self.input_turns.is_empty()
    }

    /// Decodes some frames of the connection whose turn it is.
    pub fn decode_turn(&mut self, hub: &mut EventLoop, is_ready: bool) {
        let Some(connection) = self.input_turns.next() else { return };
        self.refuse_expired(hub, connection);
        if self.decode_frames(hub, is_ready, connection) {
            return self.input_turns.push(connection);
        }
        let Some(client) = self.connections.get_mut(&connection) else { return };
        client.undecoded_since = None;
        if std::mem::take(&mut client.paused) {
            hub.pause(connection, false);
        }
    }

    /// Leaves connections unread that have input to decode: their clients wait once the kernel's buffers are
    /// full.
    pub fn pause_undecoded(&mut self, hub: &mut EventLoop) {
        for connection in self.input_turns.iter() {
            let client = self.connections.get_mut(&connection);
            if client.is_some_and(|client| !std::mem::replace(&mut client.paused, true)) {
                hub.pause(connection, true);
            }
        }
    }

    /// Decodes some frames of a connection; true if more may follow.
    fn decode_frames(&mut self, hub: &mut EventLoop, is_ready: bool, connection: Connection) -> bool {
        let now = hub.clock().now();
        for _ in 0..FRAMES_PER_TURN {
            let Some(client) = self.connections.get_mut(&connection).filter(|client| !client.ending) else {
                return false;
            };
            let received = client.undecoded_since.unwrap_or(now);
            match client.decoder.decode() {
                Ok(None) => {
                    let held = client.decoder.incomplete_bytes();
                    self.admission.on_event(now, slot(connection), ConnectionEvent::Received(held));
                    return false;
                }
                Ok(Some(frame)) => {
                    client.timeout_extended = false;
                    self.admission.on_message_complete(now, slot(connection));
                    self.frame(hub, is_ready, connection, received, frame);
                }
                Err(error) => {
                    self.protocol_error(hub, connection, &error.to_string());
                    return false;
                }
            }
        }
        true
    }

    fn frame(
        &mut self,
        hub: &mut EventLoop,
        is_ready: bool,
        connection: Connection,
        received: Micros,
        frame: FromClient,
    ) {
        let Some(client) = self.connections.get_mut(&connection) else { return };
        match frame {
            FromClient::Ready(stream) => {
                hub.write(connection, None, |out| wire::encode_readiness(out, stream, is_ready));
                self.admission.on_request(hub.clock().now(), slot(connection), "");
                self.admission.on_answer(hub.clock().now(), slot(connection));
                self.check_backlog(hub, connection);
            }
            FromClient::Canceled(stream) => self.canceled(hub, connection, stream),
            FromClient::Request(stream, _) if client.streams.contains_key(&stream) => {
                self.protocol_error(hub, connection, "a stream with two requests");
            }
            FromClient::Request(stream, Err(why)) => {
                tracing::debug!(connection, stream, %why, "unusable");
                client.unusable += 1;
                let often = client.unusable >= MAX_UNUSABLE;
                self.reject(hub, connection, stream, "unusable");
                if often {
                    self.protocol_error(hub, connection, "requests that can't be used");
                }
            }
            FromClient::Request(stream, Ok(request)) if self.may_have_run(hub, &request) => {
                self.reject_as(hub, connection, stream, Code::Failed, "id-given-up");
            }
            FromClient::Request(stream, Ok(request)) => {
                if let Err(why) = self.add_waiting(hub.clock().now(), connection, stream, received, request) {
                    self.reject(hub, connection, stream, why);
                }
            }
        }
    }

    /// Whether a request that must not run twice came before under its id, was given up, and may have run.
    fn may_have_run(&mut self, hub: &EventLoop, request: &wire::Request) -> bool {
        self.unsafe_classes.contains(&request.class)
            && self.abandoned.contains(hub.clock().now(), &request.id)
    }

    fn canceled(&mut self, hub: &EventLoop, connection: Connection, stream: u32) {
        let Some(client) = self.connections.get_mut(&connection) else { return };
        let Some(open) = client.streams.remove(&stream) else { return };
        self.ids.remove(&open.id);
        let now = hub.clock().now();
        self.admission.on_cancel(now, slot(connection));
        if self.remove_waiting(connection, stream).is_none() {
            self.abandoned.insert(now, open.id);
            self.events.push_back(ClientEvent::Canceled(connection, stream));
        }
    }
}
