//! What a gateway lets in, free of I/O: connections at the [`Door`], calls at the [`Intake`], descriptors in the
//! [`Budget`].
//!
//! - [`Door`] says for each connection whether it may stay: room, shares of addresses and tenants, idle time, messages
//!   that stay half sent, clients that do not read, pings, leave-taking. An idle connection costs it 32 bytes, and 16
//!   more from the first half message in its slot on.
//! - [`Intake`] holds the calls that came faster than they can be started: who goes first, who is refused, with
//!   a return time of its own.
//! - [`Spans`] is the one timer structure behind the door; [`Pace`] the one measure of 'so many a second'.
//!
//! Time comes in as an argument; same calls, same answers. Nothing here knows a socket, and no decision about
//! workers is made here: that is the decision module's.

mod descriptors;
mod door;
mod intake;
mod pace;
mod spans;

pub use descriptors::{Budget, Parts};
pub use door::{Act, Arrival, Door, DoorCounts, DoorLimits, Sign};
pub use intake::{Intake, IntakeLimits, Refused, Terms, Verdict};
pub use pace::Pace;
pub use spans::Spans;
