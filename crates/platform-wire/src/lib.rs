//! The operators' platform in bytes: what clients send ([`client`]), what hosts answer ([`host`]), what the
//! directory tells ([`directory`]) and how a gateway is configured ([`config`]).
//!
//! Nothing here opens a socket or reads a clock. Whatever bytes come in, the answer is a message, a wish for more
//! bytes, or one error; a stated size is held against its bound before a byte of it is collected.
//! `docs/PLATFORM.md` has the bounds.

pub mod client;
pub mod config;
pub mod directory;
pub mod host;

mod held;
