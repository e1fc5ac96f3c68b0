//! Encodes and decodes messages: the main protocol ([`Message`], [`Decoder`]) and HTTP/1.1 ([`http`]).
//!
//! Nothing here opens a socket or reads a clock. Whatever bytes come in, the result is a message, a request
//! for more bytes, or a [`FrameError`] that names the field; no input causes a panic or makes the decoder
//! buffer more than [`Limits`] allows. `docs/PROTOCOL.md` has the layout.

mod error;
mod field;
mod frame;
pub mod http;
mod input;
mod limits;
mod macros;
mod message;
mod values;

pub use error::FrameError;
pub use frame::{Decoder, encode};
pub use input::InputBuffer;
pub use limits::{HEADER, Limits, MAX_NAME, MAX_OVERHEAD, VERSION};
pub use message::Message;
pub use values::{Ending, FunctionProfile, ListedWorker, MemberState, Origin, Role, Status};

/// A duration or a point in time, in microseconds.
pub type Micros = u64;
