//! Closing of client connections: on a timeout, if the client does not read, and when the gateway stops.

use cresswheel_admission::{ConnectionAction, ConnectionEvent};
use cresswheel_protocol::{Message, Micros};
use cresswheel_transport::{Connection, EventLoop, PEER_STALL, slot};

use crate::Clients;
use crate::owed::{ReadAhead, Stalled};

impl Clients {
    /// Does what the connection limits require now, and pauses or resumes accepting.
    pub fn tick(&mut self, hub: &mut EventLoop) {
        let now = hub.clock().now();
        while let Some(act) = self.limiter.next_action(now) {
            match act {
                ConnectionAction::Close(slot, why) => self.on_timeout(hub, slot, why),
                ConnectionAction::Ping(slot) => {
                    let Some(connection) = self.states[slot].connection else { continue };
                    if hub.backlog(connection) > 0 {
                        hub.close(connection, "does-not-read");
                    } else {
                        hub.send(connection, &Message::Probe { number: 0 }, None);
                    }
                }
                ConnectionAction::AskToLeave(slot) => self.ask_to_leave(hub, slot),
            }
        }
        let may_accept = self.limiter.may_accept(now);
        if may_accept.is_ok() {
            hub.accept_at_once(self.terms.door.connections.saturating_sub(self.limiter.connection_count()));
        }
        let listening = may_accept.is_ok() && !self.draining;
        if std::mem::replace(&mut self.listening, listening) != listening {
            if !listening && !self.draining && self.limiter.connection_count() >= self.terms.door.connections
            {
                tracing::warn!(
                    connections = self.limiter.connection_count(),
                    "accepting pauses: all places are taken"
                );
            }
            hub.pause_listening(!listening);
        }
    }

    fn ask_to_leave(&mut self, hub: &mut EventLoop, slot: usize) {
        let state = &mut self.states[slot];
        let Some(connection) = state.connection else { return };
        state.asked_to_leave = true;
        if !state.http {
            hub.send(connection, &Message::GoingAway { reason: "stopping".into() }, None);
        } else if state.outstanding.is_none() && !hub.has_partial_message(connection) {
            hub.finish(connection);
        }
    }

    /// Closes a connection for this reason, unless bytes that were just received are still to be handled, or
    /// requests are open that are to be answered first.
    fn on_timeout(&mut self, hub: &mut EventLoop, slot: usize, why: &'static str) {
        let now = hub.clock().now();
        let Some(connection) = self.states[slot].connection else { return };
        let has_open = self.states[slot].has_open();
        let total_backlog: usize = self.stalled().map(|connection| hub.backlog(connection)).sum();
        let stalled =
            self.states[slot].outstanding.as_mut().and_then(|outstanding| outstanding.stalled.as_mut());
        match (stalled, why) {
            (Some(stalled), _) => {
                let backlog = hub.backlog(connection);
                // The client reads, if slowly, or has an open request, which has a deadline of its own: the
                // timeout restarts.
                let restarts = backlog < stalled.backlog || has_open;
                if restarts && total_backlog <= self.terms.door.half_bytes {
                    stalled.backlog = backlog;
                    return self.limiter.on_event(now, slot, ConnectionEvent::Stalled);
                }
            }
            (None, "half-sent" | "half-bytes") if has_open => {
                self.limiter.on_event(now, slot, ConnectionEvent::Received(0));
                self.states[slot].outstanding.get_or_insert_default().close_reason = Some(why);
                return;
            }
            (None, "half-sent" | "half-bytes") => {}
            (None, _) => {
                if !hub.is_quiet(connection) {
                    return self.limiter.on_event(now, slot, ConnectionEvent::Received(0));
                }
            }
        }
        tracing::debug!(connection, why, "closed");
        hub.close(connection, why);
    }

    /// Closes a connection that is to be closed, if it has no open request.
    pub(crate) fn close_if_settled(&mut self, hub: &mut EventLoop, connection: Connection) {
        let state = &mut self.states[slot(connection)];
        if state.has_open() || state.has_waiting_responses() {
            return;
        }
        let Some(why) = state.outstanding.as_mut().and_then(|outstanding| outstanding.close_reason.take())
        else {
            return;
        };
        tracing::debug!(connection, why, "closed");
        if !state.http {
            hub.send(connection, &Message::Bye { reason: why.into() }, None);
        }
        state.finishing = true;
        hub.finish(connection);
    }

    fn stalled(&self) -> impl Iterator<Item = Connection> {
        let all = self.states.iter();
        let stalled = all.filter(|state| {
            state.outstanding.as_ref().is_some_and(|outstanding| outstanding.stalled.is_some())
        });
        stalled.filter_map(|state| state.connection)
    }

    /// The requests read ahead, if this client does not read.
    pub(crate) fn read_ahead(&mut self, connection: Connection) -> Option<&mut ReadAhead> {
        let outstanding = self.states[slot(connection)].outstanding.as_mut()?;
        outstanding.stalled.as_mut().map(|stalled| &mut stalled.read_ahead)
    }

    /// Marks a client as stalled if its backlog is over the limit. On the main protocol, reading from it goes
    /// on up to a limit, because it may cancel requests.
    pub(crate) fn check_backlog(&mut self, hub: &mut EventLoop, connection: Connection) {
        let backlog = hub.backlog(connection);
        if backlog <= self.terms.backlog {
            return;
        }
        let state = &mut self.states[slot(connection)];
        let read_ahead = || ReadAhead::new(self.terms.per_connection, self.terms.backlog);
        let outstanding = state.outstanding.get_or_insert_default();
        outstanding.stalled.get_or_insert_with(|| Stalled { backlog, read_ahead: read_ahead() });
        if state.http {
            hub.pause(connection, true);
        } else {
            hub.report_flushed(connection);
        }
        self.limiter.on_event(hub.clock().now(), slot(connection), ConnectionEvent::Stalled);
    }

    /// Responses wait until the backlog of their client is sent. It is closed if it takes nothing while more than the
    /// limit waits for it.
    pub(crate) fn hold_responses(&mut self, hub: &mut EventLoop, connection: Connection) {
        let outstanding = self.states[slot(connection)].outstanding.as_ref();
        let held = outstanding.map_or(0, |outstanding| outstanding.waiting_bytes());
        if hub.backlog(connection) + held > self.terms.out && hub.stalled_for(connection) >= PEER_STALL {
            return hub.close(connection, "does-not-read");
        }
        self.check_backlog(hub, connection);
    }

    /// The output backlog of a client is sent: the requests read ahead are handled, and the responses that
    /// waited for it are sent.
    pub(crate) fn on_flushed(&mut self, hub: &mut EventLoop, connection: Connection) {
        self.limiter.on_event(hub.clock().now(), slot(connection), ConnectionEvent::Resumed);
        let state = &mut self.states[slot(connection)];
        let stalled = state.outstanding.as_mut().and_then(|outstanding| outstanding.stalled.take());
        state.free_if_idle();
        let is_closing = state.is_closing();
        if let Some(mut read_ahead) = stalled.map(|stalled| stalled.read_ahead).filter(|_| !is_closing) {
            while let Some((arrived, message)) = read_ahead.pop().filter(|_| hub.is_open(connection)) {
                match self.read_ahead(connection) {
                    // The backlog is over the limit again.
                    Some(deferred) => _ = deferred.push(arrived, message),
                    None => self.frame(hub, arrived, connection, message),
                }
            }
        }
        let outstanding = self.states[slot(connection)].outstanding.as_ref();
        if !outstanding.is_some_and(|outstanding| outstanding.is_full) {
            hub.pause(connection, false);
        }
        self.send_responses(hub, connection);
        self.close_if_settled(hub, connection);
    }

    /// Closes each connection that has no outstanding work, no output to send and no received bytes to
    /// handle. True: no connection is left.
    pub fn finish_all(&mut self, hub: &mut EventLoop) -> bool {
        let mut none_left = true;
        for state in &mut self.states {
            let Some(connection) = state.connection else { continue };
            none_left = false;
            let is_settled = state.outstanding.is_none() && hub.backlog(connection) == 0;
            if !state.finishing && is_settled && hub.is_quiet(connection) {
                state.finishing = true;
                hub.finish(connection);
            }
        }
        none_left
    }

    /// The latest time at which [`Clients::tick`] must be called next.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        let accept = if self.draining { None } else { self.limiter.may_accept(now).err() };
        self.limiter.next_due(now).into_iter().chain(accept).min()
    }
}
