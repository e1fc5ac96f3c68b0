//! Datagram sockets, each connected to one peer.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};

use super::{EventLoop, LoopEvent};

/// Maximum datagrams read at once, to keep an iteration short.
const DATAGRAMS_AT_ONCE: usize = 16;

impl EventLoop {
    /// Opens a datagram socket to a peer; returns the number that its notices carry.
    pub fn datagrams(&mut self, peer: SocketAddr) -> io::Result<usize> {
        let any: SocketAddr = if peer.is_ipv4() { ([0; 4], 0).into() } else { ([0; 16], 0).into() };
        let socket = UdpSocket::bind(any)?;
        socket.set_nonblocking(true)?;
        socket.connect(peer)?;
        let entry = self.datagrams.vacant_entry();
        let number = entry.key();
        self.own_poller.add_datagrams(&socket, number)?;
        entry.insert(socket);
        Ok(number)
    }

    /// Sends a datagram. An error counts as a lost datagram, but the system may report here the failure of an
    /// earlier one, in which case this one was not sent: it is tried once more.
    pub fn send_datagram(&mut self, number: usize, bytes: &[u8]) {
        let Some(socket) = self.datagrams.get(number) else { return };
        if let Err(error) = socket.send(bytes).or_else(|_| socket.send(bytes)) {
            tracing::debug!(%error, "cannot send a datagram");
        }
    }

    /// Closes a datagram socket.
    pub fn close_datagrams(&mut self, number: usize) {
        if let Some(socket) = self.datagrams.try_remove(number) {
            self.own_poller.remove(&socket);
        }
    }

    pub(super) fn read_datagrams(&mut self, number: usize) {
        for _ in 0..DATAGRAMS_AT_ONCE {
            let Some(socket) = self.datagrams.get(number) else { return };
            match socket.recv(&mut self.scratch) {
                Ok(count) => self.notify(LoopEvent::Datagram(number, self.scratch[..count].to_vec())),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // The peer's port was closed: no more than a loss.
                Err(error) => tracing::debug!(%error, "cannot receive a datagram"),
            }
        }
    }
}
