//! Connections on non-blocking sockets, driven by calloop, as used by gateways, stand-ins and clients.
//!
//! A [`EventLoop`] owns listeners and connections. [`EventLoop::wait`] blocks until an event or a timeout;
//! [`EventLoop::next_event`] then returns the events one by one as [`LoopEvent`]s. The hub makes no decisions: what
//! to send, when to pause reading and what a closed connection means is up to the program.
//!
//! Guarantees:
//! - no accepted connection can exceed its buffer limits or delay another, and no other one that does not read;
//! - the notice of a closed connection names the marked frames that were never sent ([`LoopEvent::Closed`]):
//!   not one byte of them was handed to the kernel;
//! - an idle connection takes 48 bytes here: a slab entry with its socket, without buffer, timer or
//!   callback;
//! - each message has the earliest time at which it can have arrived, so that a delayed reader can
//!   account for it;
//! - when descriptors run out, accepting pauses and resumes later; open connections are unaffected.

mod clock;
mod hub;
mod out;
mod watch;

pub use clock::Clock;
pub use hub::{Connection, ENDED, EventLoop, EventLoopLimits, LoopEvent, PEER_STALL, Wire, listener, slot};
pub use out::Sent;
