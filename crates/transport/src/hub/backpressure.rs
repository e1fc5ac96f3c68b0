//! Output that waits: which connections may be closed for it, and how the program makes its peers wait instead.

use cresswheel_protocol::Micros;

use super::{Connection, EventLoop, Origin};

/// A peer that this side connected to and that takes no output for this long counts as not reading. A backlog
/// alone says nothing about it: many large messages may be due at once.
pub const PEER_STALL: Micros = 1_000_000;

impl EventLoop {
    /// Whether a connection is closed once its output exceeds the limit. A client is, to bound its memory. The
    /// messages of many calls share a connection to a peer, so that one is closed only if the peer does not
    /// read. The owner of an adopted connection watches its backlog itself.
    pub(super) fn is_over_limit(&self, id: Connection) -> bool {
        self.get_ref(id).is_some_and(|conn| match conn.origin {
            Origin::Accepted => true,
            Origin::Connected => self.stalled_for(id) >= PEER_STALL,
            Origin::Adopted => false,
        })
    }

    /// How long the peer has taken no output although some waits, as of the last poll of the sockets; 0 if
    /// output can be written.
    pub fn stalled_for(&self, id: Connection) -> Micros {
        let Some(conn) = self.get_ref(id).filter(|conn| !conn.writable && conn.unsent() > 0) else {
            return 0;
        };
        let last_progress = conn.active.as_ref().map_or(0, |active| active.last_progress);
        self.last_polled.saturating_sub(last_progress)
    }

    /// Leaves the input of all connections that this side opened unread, except for `exempt`, or resumes
    /// reading. Their peers wait once the kernel's buffers are full. A connection that its peer has closed is
    /// read to its end all the same.
    pub fn hold_peers(&mut self, hold: bool, exempt: Option<Connection>) {
        self.hold_exempt = exempt;
        if hold {
            self.held_peers.get_or_insert_default();
            return;
        }
        for id in self.held_peers.take().unwrap_or_default() {
            if let Some(conn) = self.get_mut(id) {
                conn.held = false;
                self.enqueue(id);
            }
        }
    }

    /// Leaves the input of one connection that this side opened unread, or resumes reading. One that its peer has
    /// closed is read to its end all the same.
    pub fn hold(&mut self, id: Connection, hold: bool) {
        if let Some(conn) = self.get_mut(id) {
            conn.held = hold && !conn.ended;
            conn.readable |= !hold;
            self.enqueue(id);
        }
    }

    /// Holds a connection that has unread input, if peers are held.
    pub(super) fn hold_if_peer(&mut self, id: Connection) {
        if self.held_peers.is_none() || self.hold_exempt == Some(id) {
            return;
        }
        let Some(conn) = self.get_mut(id) else { return };
        let has_input = conn.readable && !conn.ended && !conn.connecting;
        if conn.origin != Origin::Connected || !has_input || std::mem::replace(&mut conn.held, true) {
            return;
        }
        self.held_peers.get_or_insert_default().push(id);
    }
}
