//! A blocking client with one connection, for commands and tests.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use cresswheel_protocol::{Decoder, Limits, Message, Role, encode};

/// A blocking client of the main protocol.
pub struct Client {
    socket: TcpStream,
    decoder: Decoder,
}

/// Longer than any answer takes: the longest await is ten minutes.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(620);

impl Client {
    /// Connects and sends `Hello`.
    pub fn connect(to: SocketAddr, name: &str) -> io::Result<Self> {
        let socket = TcpStream::connect_timeout(&to, Duration::from_secs(5))?;
        socket.set_read_timeout(Some(RECEIVE_TIMEOUT))?;
        socket.set_nodelay(true)?;
        let mut client = Self { socket, decoder: Decoder::new(Limits::default()) };
        client.send(&Message::Hello { role: Role::Client, name: name.into(), zone: String::new() })?;
        Ok(client)
    }

    /// Sends a message.
    pub fn send(&mut self, message: &Message) -> io::Result<()> {
        let mut bytes = Vec::new();
        encode(message, &mut bytes);
        self.socket.write_all(&bytes)
    }

    /// Sends bytes as they are.
    pub fn send_bytes(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.socket.write_all(bytes)
    }

    /// Waits for the next message, up to a timeout.
    pub fn receive_within(&mut self, within: Duration) -> io::Result<Message> {
        self.socket.set_read_timeout(Some(within))?;
        self.receive()
    }

    /// Waits for the next message.
    pub fn receive(&mut self) -> io::Result<Message> {
        loop {
            match self.decoder.decode() {
                // A gateway pings connections that have been idle for long.
                Ok(Some(Message::Probe { number })) => {
                    self.send(&Message::Probed { number, held: 0, queued: 0 })?;
                }
                Ok(Some(message)) => return Ok(message),
                Ok(None) => {}
                Err(error) => return Err(io::Error::new(ErrorKind::InvalidData, error)),
            }
            let mut bytes = [0; 16 << 10];
            match self.socket.read(&mut bytes)? {
                0 => return Err(ErrorKind::UnexpectedEof.into()),
                count => self.decoder.push(&bytes[..count]),
            }
        }
    }
}
