//! Client connections of a gateway, on both protocols: parses received bytes into requests, and writes
//! answers. The same code runs in the gateway's process and in *acceptor processes*, which only hold client
//! connections, for when one process can't have enough descriptors.
//!
//! [`Clients`] takes the notices of an event loop and returns [`ClientRequest`]s; it is given replies, each a message
//! for one connection. [`cresswheel_admission::ConnectionLimiter`] decides which connections are accepted and which are
//! closed. Requests are handled, and answers made, by the gateway.
//!
//! An acceptor process speaks the main protocol with its gateway over a socket pair, the *trunk*: `Of` names
//! a connection, and the next message is from that client or for it. The process exits when the gateway does;
//! if it dies alone, only the connections that it held are lost.

mod clients;
mod closing;
mod http;
mod owed;
mod terms;
pub mod trunk;

pub use clients::{ClientRequest, Clients};
pub use owed::{answer_number, request_number};
pub use terms::ClientLimits;
