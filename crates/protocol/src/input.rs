//! Received bytes that are not decoded yet. What is consumed stays at the front until the next bytes come, so that the
//! cost of a message does not grow with what is received behind it.

/// So many consumed bytes are worth moving the rest to the front.
const MAX_CONSUMED: usize = 64 << 10;

/// A buffer of received bytes.
#[derive(Debug, Default)]
pub struct InputBuffer {
    bytes: Vec<u8>,
    consumed: usize,
}

impl InputBuffer {
    /// Appends bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.consumed > MAX_CONSUMED {
            self.bytes.drain(..self.consumed);
            self.consumed = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// The bytes that are not consumed.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    /// Consumes the first bytes. Nothing stays allocated once all are consumed.
    pub fn consume(&mut self, count: usize) {
        self.consumed += count.min(self.unread().len());
        if self.consumed == self.bytes.len() {
            self.clear();
        }
    }

    /// Consumes the first bytes and returns them, without a copy if they are all and take most of what is allocated.
    pub fn take(&mut self, count: usize) -> Vec<u8> {
        let is_whole = self.consumed == 0 && count == self.bytes.len() && count >= self.bytes.capacity() / 2;
        if is_whole {
            return std::mem::take(&mut self.bytes);
        }
        let taken = self.unread()[..count].to_vec();
        self.consume(count);
        taken
    }

    /// Drops all bytes.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}

#[cfg(test)]
mod tests;
