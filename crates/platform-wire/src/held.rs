//! Buffers for received bytes that are not decoded yet.

#[derive(Debug, Default)]
pub struct InputBuffer {
    bytes: Vec<u8>,
    consumed: usize,
}

impl InputBuffer {
    /// Appends bytes, and reclaims the space of consumed ones.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.consumed == self.bytes.len() {
            self.bytes.clear();
            self.consumed = 0;
        } else if self.consumed > 16 << 10 {
            self.bytes.drain(..self.consumed);
            self.consumed = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    /// Consumes the first bytes. When all are consumed, the memory is released, so that no large empty buffer
    /// stays allocated.
    pub fn consume(&mut self, count: usize) {
        self.consumed += count.min(self.unread().len());
        if self.consumed == self.bytes.len() {
            self.clear();
        }
    }

    pub fn clear(&mut self) {
        self.bytes = Vec::new();
        self.consumed = 0;
    }
}

/// Input buffer of a decoder that fails for good: after the first error, each call returns that error.
#[derive(Debug)]
pub struct DecodeBuffer<E> {
    pub input: InputBuffer,
    error: Option<E>,
}

impl<E> Default for DecodeBuffer<E> {
    fn default() -> Self {
        Self { input: InputBuffer::default(), error: None }
    }
}

impl<E: Copy> DecodeBuffer<E> {
    pub fn push(&mut self, bytes: &[u8]) {
        if self.error.is_none() {
            self.input.push(bytes);
        }
    }

    /// Decodes with `read`, or returns the earlier error.
    pub fn decode<T>(&mut self, read: impl FnOnce(&mut InputBuffer) -> Result<T, E>) -> Result<T, E> {
        if let Some(error) = self.error {
            return Err(error);
        }
        let result = read(&mut self.input);
        if let Err(error) = &result {
            self.error = Some(*error);
            self.input.clear();
        }
        result
    }
}
