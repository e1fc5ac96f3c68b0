//! How connections come about: opened by this side, adopted, or accepted by a listener.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;

use cresswheel_protocol::Micros;
use socket2::Socket;

use super::{Conn, Connection, EventLoop, LoopEvent, Origin, SERIAL_COUNT, SLOT_BITS, Wire, connection_id};
use crate::watch::PollInterest;

/// Error code of a connection attempt that goes on in the background (`EINPROGRESS`).
const IN_PROGRESS: i32 = 115;

impl EventLoop {
    /// Starts to connect. Frames may be sent at once; they are written once the connection is established. If
    /// that takes longer than `within`, it is closed.
    pub fn connect(&mut self, address: SocketAddr, wire: Wire, within: Micros) -> Connection {
        self.connect_from(None, address, wire, within)
    }

    /// Like [`EventLoop::connect`], from a given local address.
    pub fn connect_from(
        &mut self,
        from: Option<SocketAddr>,
        address: SocketAddr,
        wire: Wire,
        within: Micros,
    ) -> Connection {
        let due = self.clock.now().saturating_add(within);
        let connecting_socket = || -> io::Result<Socket> {
            let domain = socket2::Domain::for_address(address);
            let socket = Socket::new(domain, socket2::Type::STREAM, None)?;
            socket.set_nonblocking(true)?;
            // Small frames should not wait for each other; without the option they are only delayed.
            let _ = socket.set_tcp_nodelay(true);
            if let Some(from) = from {
                socket.bind(&from.into())?;
            }
            match socket.connect(&address.into()) {
                Err(e) if e.raw_os_error() == Some(IN_PROGRESS) || e.kind() == ErrorKind::WouldBlock => {}
                other => other?,
            }
            Ok(socket)
        };
        let connecting_socket =
            connecting_socket().and_then(|socket| self.add(socket, wire, Origin::Connected, true));
        match connecting_socket {
            Ok(id) => {
                let limits = self.limits;
                if let Some(conn) = self.get_mut(id) {
                    conn.active(&limits).deadline = Some(due);
                }
                self.deadlines.insert((due, id));
                id
            }
            Err(error) => {
                let connection = connection_id(self.next_serial(), (1 << SLOT_BITS) - 1);
                let (unsent, why) = (Vec::new(), error.to_string());
                self.notify(LoopEvent::Closed {
                    connection,
                    is_inbound: false,
                    never_stood: true,
                    unsent,
                    why,
                });
                connection
            }
        }
    }

    /// Adopts a connected stream socket of any kind.
    pub fn adopt(&mut self, socket: OwnedFd, wire: Wire) -> io::Result<Connection> {
        let socket = Socket::from(socket);
        socket.set_nonblocking(true)?;
        self.add(socket, wire, Origin::Adopted, false)
    }

    fn next_serial(&mut self) -> u32 {
        self.serial = (self.serial + 1) % SERIAL_COUNT;
        self.serial
    }

    pub(super) fn add(
        &mut self,
        socket: Socket,
        wire: Wire,
        origin: Origin,
        connecting: bool,
    ) -> io::Result<Connection> {
        let serial = self.next_serial();
        let entry = self.conns.vacant_entry();
        let slot = entry.key();
        if slot >= (1 << SLOT_BITS) - 1 {
            return Err(io::Error::other("too many open connections"));
        }
        let id = connection_id(serial, slot);
        let poller = if origin == Origin::Accepted { &self.accepted_poller } else { &self.own_poller };
        let interest = PollInterest { read: !connecting, write: connecting, end: false };
        poller.add(&socket, id, interest)?;
        entry.insert(Conn {
            socket,
            serial,
            wire,
            origin,
            connecting,
            lingering: false,
            readable: false,
            writable: !connecting,
            paused: false,
            held: false,
            notify_flushed: false,
            close_when_flushed: false,
            queued: false,
            interest,
            earliest_arrival: self.clock.now(),
            ended: false,
            drained: false,
            read_to_end_at: 0,
            last_read: 0,
            undecoded: false,
            active: None,
        });
        Ok(id)
    }
}
