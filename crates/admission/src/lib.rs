//! Admission control of a gateway, free of I/O: connections ([`ConnectionLimiter`]), calls ([`CallQueue`]) and file
//! descriptors ([`DescriptorBudget`]).
//!
//! - [`ConnectionLimiter`] decides for each connection whether it may stay: connection limit, shares of addresses and
//!   tenants, idle timeouts, partial messages, clients that do not read, pings, draining. An idle connection
//!   costs it 32 bytes, and 16 more once its slot has held a partial message.
//! - [`CallQueue`] queues calls that arrive faster than they can be started: it orders them, and rejects some
//!   with a retry time of their own.
//! - [`TimerQueues`] keeps all timers of connections; [`TokenBucket`] is the only rate limit.
//!
//! Time is an argument: the same calls give the same results. Nothing here knows sockets, and decisions about
//! workers are made in the decision module.

mod descriptors;
mod door;
mod intake;
mod pace;
mod spans;

pub use descriptors::{ConnectionSplit, DescriptorBudget};
pub use door::{
    Admission, ConnectionAction, ConnectionCounts, ConnectionEvent, ConnectionLimiter, ConnectionLimits,
};
pub use intake::{CallQueue, CallQueueLimits, ClassPriority, OfferResult, Rejected};
pub use pace::TokenBucket;
pub use spans::TimerQueues;
