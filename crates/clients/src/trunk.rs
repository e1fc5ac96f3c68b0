//! The acceptor process, and the socket pair between it and its gateway (the trunk).

use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream;

use anyhow::Context;
use calloop::signals::Signal;
use cresswheel_protocol::{Message, Micros};
use cresswheel_transport::{Clock, Connection, EventLoop, LoopEvent, Wire};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags,
};
use serde::{Deserialize, Serialize};

use crate::{ClientLimits, Clients};

/// Configuration of an acceptor process: its first message from the gateway, sent again after each change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AcceptorConfig {
    /// Base of the gateway's clock.
    pub clock: Micros,
    /// Limits of client connections.
    pub terms: ClientLimits,
    /// Whether the second listener is for HTTP.
    pub http: bool,
    /// Whether another acceptor process is below its connection limit.
    pub room_elsewhere: bool,
    /// All calls are answered: each connection is closed once its output is sent, and then the process exits.
    pub finish: bool,
}

/// Maximum number of listeners that are handed over.
const MAX_LISTENERS: usize = 2;
/// Backlog of the trunk, in bytes, above which reading from clients pauses.
const TRUNK_PAUSE: usize = 256 << 10;
/// Backlog of the trunk, in bytes, below which reading resumes.
const TRUNK_RESUME: usize = 64 << 10;
/// After the gateway's exit, how long answers may take to be sent.
const EXIT_WITHIN: Micros = 500_000;
/// Interval of checks whether output is sent, once all calls are answered.
const FLUSH_CHECK_INTERVAL: Micros = 5_000;
/// Interval at which counts are sent, if they changed.
const COUNTS_INTERVAL: Micros = 1_000_000;

/// Sends listeners to the process at the other end.
pub fn send_listeners(trunk: &UnixStream, listeners: &[impl AsFd]) -> io::Result<()> {
    let sockets: Vec<_> = listeners.iter().map(AsFd::as_fd).collect();
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_LISTENERS))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    if !control.push(SendAncillaryMessage::ScmRights(&sockets)) {
        return Err(io::Error::other("too many listeners to hand over"));
    }
    rustix::net::sendmsg(trunk, &[IoSlice::new(b"L")], &mut control, SendFlags::empty())?;
    Ok(())
}

/// Receives the listeners that the other end sends.
pub fn receive_listeners(trunk: &impl AsFd) -> io::Result<Vec<OwnedFd>> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_LISTENERS))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut byte = [0];
    let flags = RecvFlags::CMSG_CLOEXEC;
    let received = rustix::net::recvmsg(trunk, &mut [IoSliceMut::new(&mut byte)], &mut control, flags)?;
    if received.bytes != 1 || byte != *b"L" {
        return Err(io::Error::other("expected listeners from a gateway"));
    }
    let sockets = control.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(sockets) => Some(sockets),
        _ => None,
    });
    Ok(sockets.flatten().collect())
}

/// Runs an acceptor process until its gateway exits. The trunk is its standard input.
pub fn run_acceptor() -> anyhow::Result<()> {
    let trunk = io::stdin().as_fd().try_clone_to_owned()?;
    let listeners = receive_listeners(&trunk).context("standard input is not a socket of a gateway")?;
    anyhow::ensure!(
        !listeners.is_empty() && listeners.len() <= MAX_LISTENERS,
        "expected one or two listeners from the gateway"
    );
    // Nothing is accepted before the gateway has sent its clock and limits.
    let mut hub = EventLoop::new(ClientLimits::default().hub())?;
    let trunk = hub.adopt(trunk, Wire::Frames)?;
    let config = loop {
        hub.wait(None)?;
        match hub.next_event() {
            Some(LoopEvent::Message(_, Message::Terms { json })) => {
                break serde_json::from_slice::<AcceptorConfig>(&json)?;
            }
            Some(LoopEvent::Closed { why, .. }) => anyhow::bail!("the gateway closed the connection: {why}"),
            _ => {}
        }
    };
    hub.set_clock(Clock::of(config.clock));
    hub.set_limits(config.terms.hub());
    // This process exits when its gateway does, which it sees at the trunk. It ignores signals because a
    // terminal sends them to both processes.
    hub.signals(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP])?;
    let mut listener_ids = Vec::new();
    for (listener, wire) in listeners.into_iter().zip([Wire::Frames, Wire::Http]) {
        listener_ids.push(hub.adopt_listener(listener, wire)?);
    }
    let http = listener_ids.get(1).copied().filter(|_| config.http);
    let mut clients = Clients::new(&mut hub, config.terms, http);
    clients.set_capacity_elsewhere(config.room_elsewhere);
    let last_counts = (0, Vec::new());
    Acceptor {
        hub,
        clients,
        trunk,
        reply_to: None,
        last_counts,
        exit_at: None,
        draining: false,
        finishing: false,
    }
    .run()
}

struct Acceptor {
    hub: EventLoop,
    clients: Clients,
    trunk: Connection,
    /// The connection that the next message from the gateway is for.
    reply_to: Option<Connection>,
    /// When counts were last taken (0: they did not change), and what was sent.
    last_counts: (Micros, Vec<u8>),
    /// Set once the gateway has exited.
    exit_at: Option<Micros>,
    /// The process exits once no connection is left.
    finishing: bool,
    /// Whether connections were still to be asked to leave when counts were last taken.
    draining: bool,
}

impl Acceptor {
    fn run(&mut self) -> anyhow::Result<()> {
        loop {
            let now = self.hub.clock().now();
            if self.exit_at.is_some_and(|at| at <= now || !self.clients.has_unsent_output(&self.hub)) {
                return Ok(());
            }
            // Connections that are still to be asked to leave are asked first.
            let may_finish = self.finishing && !self.clients.is_draining();
            if may_finish && self.clients.finish_all(&mut self.hub) && self.hub.backlog(self.trunk) == 0 {
                return Ok(());
            }
            // Counts are taken when something happened, and once more a second later.
            let counts_due = (self.last_counts.0 + COUNTS_INTERVAL).max(now);
            let due = self.clients.next_due(now).into_iter().chain(self.exit_at.map(|_| now + 1_000));
            let due = due.chain(self.finishing.then_some(now + FLUSH_CHECK_INTERVAL));
            let due = due.chain((self.last_counts.0 > 0).then_some(counts_due)).min();
            self.hub.wait(due)?;
            while let Some(notice) = self.hub.next_event() {
                if let Some(notice) = self.clients.notice(&mut self.hub, notice) {
                    self.on_trunk_notice(notice)?;
                }
            }
            self.clients.tick(&mut self.hub);
            while let Some(ask) = self.clients.take_request() {
                let (connection, came) = (ask.connection, ask.came);
                self.hub.send(self.trunk, &Message::Of { connection, came }, None);
                self.hub.send(self.trunk, &ask.message, None);
            }
            match self.hub.backlog(self.trunk) {
                backlog if backlog > TRUNK_PAUSE => self.hub.pause_inbound(true),
                backlog if backlog < TRUNK_RESUME => self.hub.pause_inbound(false),
                _ => {}
            }
            self.send_counts()?;
        }
    }

    fn send_counts(&mut self) -> anyhow::Result<()> {
        let now = self.hub.clock().now();
        let draining = self.clients.is_draining();
        // The gateway waits until all connections have been asked to leave, so a change is sent at once.
        let drain_changed = std::mem::replace(&mut self.draining, draining) != draining;
        if now < self.last_counts.0 + COUNTS_INTERVAL && !drain_changed {
            return Ok(());
        }
        let json = serde_json::to_vec(&self.clients.counts())?;
        // At 0, counts are not taken again until something happens.
        let unchanged = json == self.last_counts.1;
        self.last_counts = (if unchanged { 0 } else { now }, json);
        if !unchanged {
            self.hub.send(self.trunk, &Message::Counts { json: self.last_counts.1.clone() }, None);
        }
        Ok(())
    }

    fn on_trunk_notice(&mut self, notice: LoopEvent) -> anyhow::Result<()> {
        let message = match notice {
            LoopEvent::Message(_, message) => message,
            LoopEvent::Closed { why, .. } => {
                tracing::debug!(%why, "the gateway has exited");
                // A restarted gateway may bind the port at once.
                self.hub.stop_listening();
                self.exit_at = Some(self.hub.clock().now() + EXIT_WITHIN);
                return Ok(());
            }
            _ => return Ok(()),
        };
        match message {
            Message::Of { connection, .. } => self.reply_to = Some(connection),
            Message::Terms { json } => {
                let config: AcceptorConfig = serde_json::from_slice(&json)?;
                self.clients.change(&mut self.hub, config.terms);
                self.clients.set_capacity_elsewhere(config.room_elsewhere);
                self.finishing |= config.finish;
            }
            Message::Leave {} => {
                self.clients.drain(&mut self.hub);
                // Sends counts at once: the gateway needs to know that connections are still to be asked to
                // leave.
                self.last_counts = (0, Vec::new());
            }
            message => {
                if let Some(connection) = self.reply_to.take() {
                    self.clients.reply(&mut self.hub, connection, &message);
                }
            }
        }
        Ok(())
    }
}
