//! Connections on non-blocking sockets, driven by calloop: the part that gateways, stand-ins and clients share.
//!
//! A [`Hub`] owns listeners and connections. [`Hub::wait`] sleeps until something happened or a time has come;
//! [`Hub::take_notice`] then gives what happened, one [`Notice`] after the other. It decides nothing: what to send, when
//! to pause a reader, what a closed connection means is the program's.
//!
//! What it promises:
//! - no connection can make it hold more than its bounds, and none waits for another;
//! - a closed connection tells which marked frames provably never left ([`Notice::Closed`]): not one byte of them
//!   was handed to the kernel;
//! - an idle connection holds 48 bytes here: a slab entry with its socket, and no buffer, timer or callback;
//! - it tells for each message the earliest time at which it can have come, so that a late reader can be fair;
//! - when descriptors run out accepting pauses and goes on later; connections that stand are not touched.

mod clock;
mod hub;
mod out;
mod watch;

pub use clock::Clock;
pub use hub::{Connection, ENDED, Hub, HubLimits, Notice, Wire, listener, slot};
pub use out::Sent;
