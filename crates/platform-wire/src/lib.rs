//! Wire formats of the operators' platform: client frames ([`client`]), host commands and answers ([`host`]),
//! directory answers ([`directory`]) and the configuration of a gateway ([`config`]).
//!
//! Nothing here opens a socket or reads a clock. Decoding any bytes yields a message, a request for more
//! bytes, or one error. An announced size is checked against its limit before any of its bytes is buffered.
//! `docs/PLATFORM.md` lists the limits.

pub mod client;
pub mod config;
pub mod directory;
pub mod host;

mod held;
