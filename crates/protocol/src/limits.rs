//! Sizes of the wire format, and bounds of what is read from it.

/// The protocol version of this implementation.
pub const VERSION: u8 = 1;
/// Bytes of a header: length (4, of what follows it), version (1), kind (1).
pub const HEADER: usize = 6;
/// Longest name (function, class, tenant, key, id, address, reason), in bytes.
pub const MAX_NAME: usize = 512;

/// Bounds of the memory that one connection may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest frame, header included, in bytes.
    pub frame: usize,
}

impl Default for Limits {
    /// 4 MiB.
    fn default() -> Self {
        Self { frame: 4 << 20 }
    }
}
