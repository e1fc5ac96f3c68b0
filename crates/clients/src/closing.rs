//! Ends of clients' connections: those whose time is up, those that do not read, and all of them as the gateway stops.

use cresswheel_admission::{Act, Sign};
use cresswheel_protocol::{Message, Micros};
use cresswheel_transport::{Connection, Hub, slot};

use crate::Clients;
use crate::owed::{Stalled, Unread};

impl Clients {
    /// Does what is due at the door, and opens or closes it.
    pub fn tick(&mut self, hub: &mut Hub) {
        let now = hub.clock().now();
        while let Some(act) = self.door.act(now) {
            match act {
                Act::Close(slot, why) => self.time_is_up(hub, slot, why),
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

    /// The time of a connection is up, for that reason. What came in this very moment is seen to first, and what is
    /// open is answered first.
    fn time_is_up(&mut self, hub: &mut Hub, slot: usize, why: &'static str) {
        let now = hub.clock().now();
        let Some(connection) = self.states[slot].connection else { return };
        let has_open = self.states[slot].has_open();
        let unread_by_all: usize = self.stalled().map(|connection| hub.backlog(connection)).sum();
        let stalled = self.states[slot].owed.as_mut().and_then(|owed| owed.stalled.as_mut());
        match (stalled, why) {
            (Some(stalled), _) => {
                let backlog = hub.backlog(connection);
                // It reads, if slowly, or something is open there, which has a time of its own: its time begins anew.
                let is_waited_for = backlog < stalled.backlog || has_open;
                if is_waited_for && unread_by_all <= self.terms.door.half_bytes {
                    stalled.backlog = backlog;
                    return self.door.sign(now, slot, Sign::Stalled);
                }
            }
            (None, "half-sent" | "half-bytes") if has_open => {
                self.door.sign(now, slot, Sign::Heard(0));
                self.states[slot].owed.get_or_insert_default().ending = Some(why);
                return;
            }
            (None, "half-sent" | "half-bytes") => {}
            (None, _) => {
                if !hub.is_quiet(connection) {
                    return self.door.sign(now, slot, Sign::Heard(0));
                }
            }
        }
        tracing::debug!(connection, why, "closed");
        hub.close(connection, why);
    }

    /// Ends a connection that is to end, once nothing is open there.
    pub(crate) fn end_if_settled(&mut self, hub: &mut Hub, connection: Connection) {
        let state = &mut self.states[slot(connection)];
        if state.has_open() {
            return;
        }
        let Some(why) = state.owed.as_mut().and_then(|owed| owed.ending.take()) else { return };
        tracing::debug!(connection, why, "closed");
        if !state.http {
            hub.send(connection, &Message::Bye { reason: why.into() }, None);
        }
        state.finishing = true;
        hub.finish(connection);
    }

    fn stalled(&self) -> impl Iterator<Item = Connection> {
        let all = self.states.iter();
        let stalled = all.filter(|state| state.owed.as_ref().is_some_and(|owed| owed.stalled.is_some()));
        stalled.filter_map(|state| state.connection)
    }

    /// What is read ahead of a client that does not read, if this is one.
    pub(crate) fn read_ahead(&mut self, connection: Connection) -> Option<&mut Unread> {
        let owed = self.states[slot(connection)].owed.as_mut()?;
        owed.stalled.as_mut().map(|stalled| &mut stalled.unread)
    }

    /// Holds it against a client if it does not read. On the main protocol it is read on within bounds, since it may
    /// cancel what waits.
    pub(crate) fn watch_backlog(&mut self, hub: &mut Hub, connection: Connection) {
        let backlog = hub.backlog(connection);
        if backlog <= self.terms.backlog {
            return;
        }
        let state = &mut self.states[slot(connection)];
        let unread = || Unread::new(self.terms.per_connection, self.terms.backlog);
        let owed = state.owed.get_or_insert_default();
        owed.stalled.get_or_insert_with(|| Stalled { backlog, unread: unread() });
        if state.http {
            hub.pause(connection, true);
        } else {
            hub.tell_flushed(connection);
        }
        self.door.sign(hub.clock().now(), slot(connection), Sign::Stalled);
    }

    /// All that waited for a client was written: what it asked meanwhile has its turn.
    pub(crate) fn reads_again(&mut self, hub: &mut Hub, connection: Connection) {
        self.door.sign(hub.clock().now(), slot(connection), Sign::Reads);
        let state = &mut self.states[slot(connection)];
        let stalled = state.owed.as_mut().and_then(|owed| owed.stalled.take());
        state.tidy();
        let is_ending = state.is_ending();
        if let Some(mut unread) = stalled.map(|stalled| stalled.unread).filter(|_| !is_ending) {
            while let Some((came, message)) = unread.pop().filter(|_| hub.is_open(connection)) {
                match self.read_ahead(connection) {
                    // It is over its bound again.
                    Some(later) => _ = later.push(came, message),
                    None => self.frame(hub, came, connection, message),
                }
            }
        }
        hub.pause(connection, false);
    }

    /// Ends all connections on which nothing is out any more, each once what came on it is seen to and what waits for
    /// it is written. True: none is left.
    pub fn finish_all(&mut self, hub: &mut Hub) -> bool {
        let mut is_over = true;
        for state in &mut self.states {
            let Some(connection) = state.connection else { continue };
            is_over = false;
            let is_settled = state.owed.is_none() && hub.backlog(connection) == 0;
            if !state.finishing && is_settled && hub.is_quiet(connection) {
                state.finishing = true;
                hub.finish(connection);
            }
        }
        is_over
    }

    /// When [`Clients::tick`] is wanted next, at the latest.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        let accept = if self.leaving { None } else { self.door.may_accept(now).err() };
        self.door.next_due(now).into_iter().chain(accept).min()
    }
}
