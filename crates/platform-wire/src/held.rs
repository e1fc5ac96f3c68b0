//! The input buffer of a decoder that fails for good.

use cresswheel_protocol::InputBuffer;

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
