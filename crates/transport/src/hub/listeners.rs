//! Listeners: accepting, and the reaction to a lack of descriptors.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;

use cresswheel_protocol::Micros;
use rustix::net::SocketFlags;
use socket2::Socket;

use super::{EventLoop, LoopEvent, Origin, Wire};

/// Maximum connections accepted at once, to keep an iteration short.
pub(super) const ACCEPT_AT_ONCE: usize = 64;
/// Length of the listen queue.
const LISTEN_BACKLOG: usize = 4_096;
/// How long accepting pauses after descriptors ran out.
const ACCEPT_PAUSE: Micros = 50_000;

pub(super) struct Listener {
    pub(super) socket: Socket,
    pub(super) wire: Wire,
    pub(super) ready: bool,
    pub(super) paused: bool,
    /// The listen queue was empty at this time.
    pub(super) drained: Micros,
}

impl Listener {
    /// The event loop was idle until then with an empty listen queue.
    pub(super) fn idle_until(&mut self, until: Micros) {
        self.drained = self.drained.max(until.saturating_sub(crate::watch::WAKE_LATENCY));
    }
}

/// Opens a listening socket, to be shared or adopted by a hub.
pub fn listener(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(socket2::Domain::for_address(address), socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    // Inherited by accepted sockets: small frames should not wait for each other.
    socket.set_tcp_nodelay(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG as i32)?;
    Ok(socket)
}

impl EventLoop {
    /// Listens; returns the listener's number and its address, with the port chosen for port 0.
    pub fn listen(&mut self, address: SocketAddr, wire: Wire) -> io::Result<(u32, SocketAddr)> {
        let socket = listener(address)?;
        let address = socket.local_addr()?.as_socket().ok_or(ErrorKind::InvalidInput)?;
        Ok((self.adopt_listener(socket.into(), wire)?, address))
    }

    /// Accepts connections from a listening socket that other processes may share.
    pub fn adopt_listener(&mut self, socket: OwnedFd, wire: Wire) -> io::Result<u32> {
        let socket = Socket::from(socket);
        socket.set_nonblocking(true)?;
        let number = self.listeners.len();
        self.accepted_poller.add_listener(&socket, number)?;
        let drained = self.clock.now();
        self.listeners.push(Listener { socket, wire, ready: true, paused: false, drained });
        Ok(number as u32)
    }

    /// Sets how many connections a listener accepts per loop iteration.
    pub fn accept_at_once(&mut self, most: usize) {
        self.accept_at_once = most.clamp(1, ACCEPT_AT_ONCE);
    }

    /// Pauses or resumes accepting on all listeners; new connections stay in the listen queue.
    pub fn pause_listening(&mut self, paused: bool) {
        for number in 0..self.listeners.len() {
            let listener = &mut self.listeners[number];
            if listener.paused == paused {
                continue;
            }
            (listener.paused, listener.ready) = (paused, !paused);
            if self.accept_resume_at.is_none() {
                self.poll_listener(number, !paused);
            }
        }
    }

    pub(super) fn poll_listener(&self, number: usize, watched: bool) {
        let socket = &self.listeners[number].socket;
        if !watched {
            self.accepted_poller.remove(socket);
        } else if let Err(error) = self.accepted_poller.add_listener(socket, number) {
            tracing::error!(%error, "cannot poll a listener");
        }
    }

    /// Pauses accepting until the given time, or resumes it.
    pub(super) fn pause_accepting(&mut self, until: Option<Micros>) {
        self.accept_resume_at = until;
        for number in (0..self.listeners.len()).filter(|n| !self.listeners[*n].paused) {
            self.poll_listener(number, until.is_none());
        }
    }

    /// Accepts all connections in the listen queue, as far as there are descriptors: they are established for
    /// their clients, and closing a listener would reset them.
    pub fn accept_waiting(&mut self) {
        self.pause_listening(false);
        let at_once = std::mem::replace(&mut self.accept_at_once, LISTEN_BACKLOG);
        if self.accept_resume_at.is_some() {
            self.pause_accepting(None);
        }
        for number in 0..self.listeners.len() {
            self.listeners[number].ready = true;
            self.accept(number);
        }
        self.accept_at_once = at_once;
    }

    /// Closes all listeners; connections in the queue are left to other processes that share them.
    pub fn stop_listening(&mut self) {
        self.pause_listening(true);
        self.listeners.clear();
    }

    pub(super) fn accepting(&self) -> bool {
        !self.accepted_paused
            && self.accept_resume_at.is_none()
            && self.listeners.iter().any(|l| l.ready && !l.paused)
    }

    pub(super) fn accept(&mut self, number: usize) {
        if !self.listeners[number].ready || self.listeners[number].paused {
            return;
        }
        let now = self.clock.now();
        for _ in 0..self.accept_at_once {
            if self.accept_resume_at.is_some() {
                return;
            }
            let listener = &mut self.listeners[number];
            let (wire, since) = (listener.wire, listener.drained);
            let accepted =
                rustix::net::accept_with(&listener.socket, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC);
            match accepted {
                Ok(socket) if self.accepted >= self.limits.accepted => {
                    drop(socket);
                    self.turned_away += 1;
                }
                Ok(socket) => match self.add(socket.into(), wire, Origin::Accepted, false) {
                    Ok(id) => {
                        self.accepted += 1;
                        // The connection may have waited in the listen queue, and its first bytes with it.
                        self.get_mut(id).into_iter().for_each(|conn| conn.earliest_arrival = since);
                        self.notify(LoopEvent::Opened(id, number as u32));
                    }
                    Err(error) => tracing::warn!(%error, "cannot register an accepted connection"),
                },
                Err(e) => match io::Error::from(e) {
                    e if e.kind() == ErrorKind::WouldBlock => {
                        (listener.ready, listener.drained) = (false, now);
                        return;
                    }
                    e if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                    error => {
                        // Out of descriptors or memory: open connections go on, new ones wait in the listen
                        // queue.
                        self.starved += 1;
                        self.pause_accepting(Some(now + ACCEPT_PAUSE));
                        tracing::warn!(%error, "accepting pauses");
                        return;
                    }
                },
            }
        }
    }
}
