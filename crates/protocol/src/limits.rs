//! Sizes of the wire format and limits for decoding it.

/// The protocol version of this implementation.
pub const VERSION: u8 = 1;
/// Size of a header: length of what follows the length (4 bytes), version (1), kind (1).
pub const HEADER: usize = 6;
/// Maximum length of a name (function, class, tenant, key, id, address, reason), in bytes.
pub const MAX_NAME: usize = 512;

/// Upper bound of what any message has beside its body or JSON, in bytes: the header, and the most fields with
/// names of [`MAX_NAME`] bytes.
pub const MAX_OVERHEAD: usize = 4 << 10;

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

impl Limits {
    /// The longest body of a call or an answer, in bytes, with which each message that carries it on its way
    /// fits a frame. This is the one place that relates bodies to frames.
    pub fn largest_body(self) -> usize {
        self.frame.saturating_sub(MAX_OVERHEAD)
    }

    /// The limits for peers that this side connects to or started. Clients' frames may be limited to less
    /// than what workers, list services and other processes of the gateway send.
    pub fn for_peers(self) -> Self {
        Self { frame: self.frame.max(Self::default().frame).saturating_add(MAX_OVERHEAD) }
    }
}
