//! Limits of client connections.

use cresswheel_admission::ConnectionLimits;
use cresswheel_protocol::{Limits, http};
use cresswheel_transport::EventLoopLimits;
use serde::{Deserialize, Serialize};

/// Limits of client connections, in whichever process they are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Limits and timeouts of connections.
    pub door: ConnectionLimits,
    /// Backlog of output, in bytes, above which a client counts as not reading, and no more of its requests
    /// are handled.
    pub backlog: usize,
    /// Open calls and awaits of one connection.
    pub per_connection: usize,
    /// Maximum length of a frame, in bytes.
    pub frame: usize,
    /// Maximum length of the head of an HTTP request, in bytes.
    pub http_head: usize,
    /// Maximum number of headers of an HTTP request.
    pub http_headers: usize,
    /// Maximum length of the body of an HTTP request, in bytes; at most [`ClientLimits::largest_body`].
    pub http_body: usize,
    /// Backlog of output, in bytes, above which a connection is closed.
    pub out: usize,
}

impl Default for ClientLimits {
    fn default() -> Self {
        let hub = EventLoopLimits::default();
        Self {
            door: ConnectionLimits::default(),
            backlog: 1 << 20,
            per_connection: 1_000,
            frame: hub.frame.frame,
            http_head: hub.http.head,
            http_headers: hub.http.headers,
            http_body: hub.http.body,
            out: hub.max_output,
        }
    }
}

impl ClientLimits {
    /// The longest body of a call: with it, every message that the call becomes fits a frame.
    pub fn largest_body(&self) -> usize {
        Limits { frame: self.frame }.largest_body()
    }

    /// The limits that the event loop enforces.
    pub fn hub(&self) -> EventLoopLimits {
        EventLoopLimits {
            frame: Limits { frame: self.frame },
            http: http::Limits { head: self.http_head, headers: self.http_headers, body: self.http_body },
            max_output: self.out,
            // Connections are limited by `door`.
            accepted: usize::MAX,
        }
    }
}
