//! The holder's process, and the socket pair between it and its gateway.

use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream;

use anyhow::Context;
use calloop::signals::Signal;
use cresswheel_protocol::{Message, Micros};
use cresswheel_transport::{Clock, Connection, Hub, Notice, Wire};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags,
};
use serde::{Deserialize, Serialize};

use crate::{ClientTerms, Clients};

/// The first thing that a holder is told, and again when it changes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Told {
    /// The gateway's clock.
    pub clock: Micros,
    /// The clients' side.
    pub terms: ClientTerms,
    /// The second listener speaks HTTP.
    pub http: bool,
    /// Another holder has places.
    pub room_elsewhere: bool,
    /// All calls are answered: connections are ended as what waits for them has left, and then the holder ends.
    pub finish: bool,
}

/// Most listeners that are handed over.
const LISTENERS: usize = 2;
/// Bytes waiting on the trunk from which on clients are left waiting, and below which they are read again.
const TRUNK_FULL: usize = 256 << 10;
const TRUNK_ROOM: usize = 64 << 10;
/// After the gateway's end, how long answers may take to leave.
const LEAVE_WITHIN: Micros = 500_000;
/// How often it is looked what has left, once all is answered.
const FLUSH_LOOK: Micros = 5_000;
/// How often counts are sent, if they changed.
const COUNT_EVERY: Micros = 1_000_000;

/// Hands listeners to the process at the other end.
pub fn hand_over(trunk: &UnixStream, listeners: &[impl AsFd]) -> io::Result<()> {
    let sockets: Vec<_> = listeners.iter().map(AsFd::as_fd).collect();
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(LISTENERS))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    if !control.push(SendAncillaryMessage::ScmRights(&sockets)) {
        return Err(io::Error::other("too many listeners to hand over"));
    }
    rustix::net::sendmsg(trunk, &[IoSlice::new(b"L")], &mut control, SendFlags::empty())?;
    Ok(())
}

/// Takes the listeners that the other end hands over.
pub fn take_over(trunk: &impl AsFd) -> io::Result<Vec<OwnedFd>> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(LISTENERS))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut byte = [0];
    let flags = RecvFlags::CMSG_CLOEXEC;
    let got = rustix::net::recvmsg(trunk, &mut [IoSliceMut::new(&mut byte)], &mut control, flags)?;
    if got.bytes != 1 || byte != *b"L" {
        return Err(io::Error::other("this is no trunk of a gateway"));
    }
    let sockets = control.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(sockets) => Some(sockets),
        _ => None,
    });
    Ok(sockets.flatten().collect())
}

/// Runs a holder until its gateway ends. The trunk is its standard input.
pub fn hold() -> anyhow::Result<()> {
    let trunk = io::stdin().as_fd().try_clone_to_owned()?;
    let listeners = take_over(&trunk).context("standard input is not a gateway's trunk")?;
    anyhow::ensure!(!listeners.is_empty() && listeners.len() <= LISTENERS, "no listener was handed over");
    // Until the gateway has told its clock and terms, nothing is accepted.
    let mut hub = Hub::new(ClientTerms::default().hub())?;
    let trunk = hub.adopt(trunk, Wire::Frames)?;
    let told = loop {
        hub.wait(None)?;
        match hub.take_notice() {
            Some(Notice::Message(_, Message::Terms { json })) => {
                break serde_json::from_slice::<Told>(&json)?;
            }
            Some(Notice::Closed { why, .. }) => anyhow::bail!("the gateway is gone: {why}"),
            _ => {}
        }
    };
    hub.set_clock(Clock::of(told.clock));
    hub.set_limits(told.terms.hub());
    // What ends the gateway ends this process, by the trunk; a terminal's signals go to both.
    hub.signals(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP])?;
    let mut numbers = Vec::new();
    for (listener, wire) in listeners.into_iter().zip([Wire::Frames, Wire::Http]) {
        numbers.push(hub.adopt_listener(listener, wire)?);
    }
    let http = numbers.get(1).copied().filter(|_| told.http);
    let mut clients = Clients::new(&mut hub, told.terms, http);
    clients.room_elsewhere(told.room_elsewhere);
    let counted = (0, Vec::new());
    Holder { hub, clients, trunk, of: None, counted, ends: None, asking: false, finishing: false }.run()
}

struct Holder {
    hub: Hub,
    clients: Clients,
    trunk: Connection,
    /// The next message from the gateway is for this one.
    of: Option<Connection>,
    /// When counts were last looked at, and what was sent.
    counted: (Micros, Vec<u8>),
    ends: Option<Micros>,
    /// It ends once no connection is left.
    finishing: bool,
    /// Clients were still being asked to leave at the last look.
    asking: bool,
}

impl Holder {
    fn run(&mut self) -> anyhow::Result<()> {
        loop {
            let now = self.hub.clock().now();
            if self.ends.is_some_and(|at| at <= now || !self.clients.owes(&self.hub)) {
                return Ok(());
            }
            // Whoever is still to be asked to leave hears so first.
            let may_finish = self.finishing && !self.clients.is_asking();
            if may_finish && self.clients.finish_all(&mut self.hub) && self.hub.backlog(self.trunk) == 0 {
                return Ok(());
            }
            // Counts are looked at when something happens, and once more a second after.
            let count = (self.counted.0 + COUNT_EVERY).max(now);
            let due = self.clients.next_due(now).into_iter().chain(self.ends.map(|_| now + 1_000));
            let due = due.chain(self.finishing.then_some(now + FLUSH_LOOK));
            let due = due.chain((self.counted.0 > 0).then_some(count)).min();
            self.hub.wait(due)?;
            while let Some(notice) = self.hub.take_notice() {
                if let Some(notice) = self.clients.notice(&mut self.hub, notice) {
                    self.trunk_notice(notice)?;
                }
            }
            self.clients.tick(&mut self.hub);
            while let Some(ask) = self.clients.take_ask() {
                let (connection, came) = (ask.connection, ask.came);
                self.hub.send(self.trunk, &Message::Of { connection, came }, None);
                self.hub.send(self.trunk, &ask.message, None);
            }
            match self.hub.backlog(self.trunk) {
                waits if waits > TRUNK_FULL => self.hub.hold_guests(true),
                waits if waits < TRUNK_ROOM => self.hub.hold_guests(false),
                _ => {}
            }
            self.count()?;
        }
    }

    fn count(&mut self) -> anyhow::Result<()> {
        let now = self.hub.clock().now();
        let asking = self.clients.is_asking();
        // The gateway waits for the end of this.
        let news = std::mem::replace(&mut self.asking, asking) != asking;
        if now < self.counted.0 + COUNT_EVERY && !news {
            return Ok(());
        }
        let json = serde_json::to_vec(&self.clients.counts())?;
        // At 0 there is nothing to look at until something happens.
        let same = json == self.counted.1;
        self.counted = (if same { 0 } else { now }, json);
        if !same {
            self.hub.send(self.trunk, &Message::Counts { json: self.counted.1.clone() }, None);
        }
        Ok(())
    }

    fn trunk_notice(&mut self, notice: Notice) -> anyhow::Result<()> {
        let message = match notice {
            Notice::Message(_, message) => message,
            Notice::Closed { why, .. } => {
                tracing::debug!(%why, "the gateway is gone");
                // The gateway's next life may want the port at once.
                self.hub.stop_listening();
                self.ends = Some(self.hub.clock().now() + LEAVE_WITHIN);
                return Ok(());
            }
            _ => return Ok(()),
        };
        match message {
            Message::Of { connection, .. } => self.of = Some(connection),
            Message::Terms { json } => {
                let told: Told = serde_json::from_slice(&json)?;
                self.clients.change(&mut self.hub, told.terms);
                self.clients.room_elsewhere(told.room_elsewhere);
                self.finishing |= told.finish;
            }
            Message::Leave {} => {
                self.clients.leave(&mut self.hub);
                // The gateway is to know at once how many are still to be asked.
                self.counted = (0, Vec::new());
            }
            message => {
                if let Some(connection) = self.of.take() {
                    self.clients.reply(&mut self.hub, connection, &message);
                }
            }
        }
        Ok(())
    }
}
