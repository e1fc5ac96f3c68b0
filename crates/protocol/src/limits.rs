//! Sizes of the wire format and limits for decoding it.

/// The protocol version of this implementation.
pub const VERSION: u8 = 1;
/// Size of a header: length of what follows the length (4 bytes), version (1), kind (1).
pub const HEADER: usize = 6;
/// Maximum length of a name (function, class, tenant, key, id, address, reason), in bytes.
pub const MAX_NAME: usize = 512;

/// Limits on the memory that decoding may use on one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a frame with its header, in bytes.
    pub frame: usize,
}

impl Default for Limits {
    /// 4 MiB.
    fn default() -> Self {
        Self { frame: 4 << 20 }
    }
}
