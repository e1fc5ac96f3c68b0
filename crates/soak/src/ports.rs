//! Ports that stay this run's own while nobody listens on them.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;

use socket2::{Domain, Socket, Type};

/// A port on loopback, bound and never listening: whoever asks for any port is not given this one, and a program that
/// names it can listen on it.
#[derive(Debug)]
pub struct ReservedPort {
    address: SocketAddr,
    _socket: Socket,
}

impl ReservedPort {
    /// One that is free.
    pub fn any() -> io::Result<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
        let address = socket.local_addr()?.as_socket().ok_or(ErrorKind::InvalidInput)?;
        Ok(Self { address, _socket: socket })
    }

    /// Where to listen.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
