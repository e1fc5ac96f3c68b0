//! Sockets for datagrams, each to and from one address.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};

use super::{Hub, Notice};

/// Datagrams read before others have their turn.
const DATAGRAMS_AT_ONCE: usize = 16;

impl Hub {
    /// A socket for datagrams to and from one address; gives the number that its notices carry.
    pub fn datagrams(&mut self, peer: SocketAddr) -> io::Result<usize> {
        let any: SocketAddr = if peer.is_ipv4() { ([0; 4], 0).into() } else { ([0; 16], 0).into() };
        let socket = UdpSocket::bind(any)?;
        socket.set_nonblocking(true)?;
        socket.connect(peer)?;
        let entry = self.datagrams.vacant_entry();
        let number = entry.key();
        self.own.add_datagrams(&socket, number)?;
        entry.insert(socket);
        Ok(number)
    }

    /// Sends a datagram. It may be lost on its way, so an error is no more than that; but the system tells here of what
    /// became of an earlier one, and then this one did not leave.
    pub fn send_datagram(&mut self, number: usize, bytes: &[u8]) {
        let Some(socket) = self.datagrams.get(number) else { return };
        if let Err(error) = socket.send(bytes).or_else(|_| socket.send(bytes)) {
            tracing::debug!(%error, "a datagram did not leave");
        }
    }

    /// Gives up a socket for datagrams.
    pub fn close_datagrams(&mut self, number: usize) {
        if let Some(socket) = self.datagrams.try_remove(number) {
            self.own.remove(&socket);
        }
    }

    pub(super) fn read_datagrams(&mut self, number: usize) {
        for _ in 0..DATAGRAMS_AT_ONCE {
            let Some(socket) = self.datagrams.get(number) else { return };
            match socket.recv(&mut self.scratch) {
                Ok(count) => self.tell(Notice::Datagram(number, self.scratch[..count].to_vec())),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // Nobody listened to what was sent: no more than a loss.
                Err(error) => tracing::debug!(%error, "no datagram"),
            }
        }
    }
}
