//! What the clients' side is told.

use cresswheel_admission::DoorLimits;
use cresswheel_protocol::{Limits, http};
use cresswheel_transport::HubLimits;
use serde::{Deserialize, Serialize};

/// Bounds of the clients' side, wherever it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientTerms {
    /// Of connections.
    pub door: DoorLimits,
    /// Bytes waiting for a client from which on no more is read from it.
    pub backlog: usize,
    /// Calls and awaits of one connection without their answer.
    pub per_connection: usize,
    /// Longest frame, in bytes.
    pub frame: usize,
    /// Longest head of an HTTP request, in bytes.
    pub http_head: usize,
    /// Most header lines of one.
    pub http_headers: usize,
    /// Longest body of one, in bytes.
    pub http_body: usize,
    /// Bytes that may wait to be written on one connection before it is closed.
    pub out: usize,
}

impl Default for ClientTerms {
    fn default() -> Self {
        let hub = HubLimits::default();
        Self {
            door: DoorLimits::default(),
            backlog: 1 << 20,
            per_connection: 1_000,
            frame: hub.frame.frame,
            http_head: hub.http.head,
            http_headers: hub.http.headers,
            http_body: hub.http.body,
            out: hub.out,
        }
    }
}

impl ClientTerms {
    /// The bounds of sockets among them.
    pub fn hub(&self) -> HubLimits {
        HubLimits {
            frame: Limits { frame: self.frame },
            http: http::Limits { head: self.http_head, headers: self.http_headers, body: self.http_body },
            out: self.out,
            // The door counts.
            accepted: usize::MAX,
        }
    }
}
