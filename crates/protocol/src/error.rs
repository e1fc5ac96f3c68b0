//! Why bytes cannot be decoded.

use crate::limits::VERSION;

/// Why bytes are not a valid frame. The connection that they came on cannot be used any further.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The header announces a frame that exceeds the limit.
    #[error("frame of {length} bytes, {most} at most")]
    TooLong {
        /// Announced size in bytes.
        length: usize,
        /// The limit.
        most: usize,
    },
    /// The announced length is too short for the header's version and kind.
    #[error("frame of {0} bytes, shorter than its header")]
    NoHeader(usize),
    /// The peer uses another protocol version.
    #[error("protocol version {0}, this side speaks {VERSION}")]
    Version(u8),
    /// The payload ends inside a field.
    #[error("{field} runs past the frame")]
    Short {
        /// The field.
        field: &'static str,
    },
    /// A name is too long.
    #[error("{field} has {length} bytes, {most} at most")]
    Long {
        /// The field.
        field: &'static str,
        /// Its length in bytes.
        length: usize,
        /// The limit.
        most: usize,
    },
    /// A name is not UTF-8.
    #[error("{field} is not UTF-8")]
    NotText {
        /// The field.
        field: &'static str,
    },
    /// An enum has an unknown value.
    #[error("{field} has the value {value}, which means nothing")]
    Value {
        /// The field.
        field: &'static str,
        /// The value.
        value: u8,
    },
}
