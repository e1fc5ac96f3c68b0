//! The clients' side of a gateway: connections on both wires, from bytes to what is asked and from answers to
//! bytes. The same code runs inside the gateway's process, and in *holders*, processes that only hold connections,
//! where one process can't have enough descriptors.
//!
//! [`Clients`] takes a hub's notices and gives [`Ask`]s; it takes replies, each a message for one connection. Who
//! may connect and who is closed is [`cresswheel_admission::Door`]'s to say. What is asked, and what the answer is,
//! is the gateway's.
//!
//! A holder speaks the main protocol with its gateway over a socket pair, the *trunk*: `Of` names a connection,
//! the message after it is that client's, or for that client. It dies with the gateway, and takes with it, if it
//! dies alone, nothing but the connections that it held.

mod clients;
mod closing;
mod http;
mod owed;
mod terms;
pub mod trunk;

pub use clients::{Ask, Clients};
pub use owed::{answered_number, asked_number};
pub use terms::ClientTerms;
