//! Frames: a header of six bytes (length of the rest, version, kind), then the payload.

use crate::error::FrameError;
use crate::field::Reader;
use crate::limits::{HEADER, Limits, VERSION};
use crate::message::Message;

/// Appends a message's frame.
pub fn encode(message: &Message, out: &mut Vec<u8>) {
    let start = out.len();
    out.extend_from_slice(&[0, 0, 0, 0, VERSION, message.code()]);
    message.encode(out);
    let length = (out.len() - start - 4) as u32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

/// Code of [`Message::Ran`], whose first field is the number of its attempt.
const RAN_CODE: u8 = 21;

/// Decodes a stream of bytes into messages. After an error it returns that error on every call.
#[derive(Debug, Default)]
pub struct Decoder {
    limits: Limits,
    buffer: Vec<u8>,
    /// Bytes at the front of the buffer that have been decoded.
    used: usize,
    /// Bytes of an overlong frame that are still to be skipped.
    to_skip: usize,
    /// Frames of unknown kinds that were skipped.
    pub skipped: u64,
    failed: Option<FrameError>,
}

impl Decoder {
    /// A decoder with these limits.
    pub fn new(limits: Limits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Appends received bytes. An idle decoder holds no buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        let skipped = self.to_skip.min(bytes.len());
        self.to_skip -= skipped;
        let bytes = &bytes[skipped..];
        if self.used == self.buffer.len() {
            self.buffer.clear();
            self.used = 0;
        } else if self.used > 64 << 10 {
            self.buffer.drain(..self.used);
            self.used = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Number of buffered bytes that are not decoded yet.
    pub fn buffered_len(&self) -> usize {
        self.buffer.len() - self.used
    }

    /// Whether the decoder is in its initial state.
    pub fn is_idle(&self) -> bool {
        self.buffered_len() == 0 && self.to_skip == 0 && self.failed.is_none()
    }

    /// The next complete message; `None`: more bytes are needed.
    pub fn decode(&mut self) -> Result<Option<Message>, FrameError> {
        if let Some(error) = &self.failed {
            return Err(error.clone());
        }
        let result = self.read();
        match &result {
            Err(error) => {
                self.failed = Some(error.clone());
                self.buffer = Vec::new();
                self.used = 0;
            }
            Ok(None) if self.used == self.buffer.len() => {
                self.buffer = Vec::new();
                self.used = 0;
            }
            Ok(_) => {}
        }
        result
    }

    fn read(&mut self) -> Result<Option<Message>, FrameError> {
        loop {
            let rest = &self.buffer[self.used..];
            let Some(header) = rest.first_chunk::<HEADER>() else { return Ok(None) };
            let [a, b, c, d, version, code] = *header;
            let length = u32::from_be_bytes([a, b, c, d]) as usize;
            if length < HEADER - 4 {
                return Err(FrameError::NoHeader(length));
            }
            // Checked before the limit on the length, which may be different in another version.
            if version != VERSION {
                return Err(FrameError::Version(version));
            }
            if length + 4 > self.limits.frame {
                if code == RAN_CODE {
                    return Ok(self.skip_overlong_answer(length + 4));
                }
                return Err(FrameError::TooLong { length: length + 4, most: self.limits.frame });
            }
            let Some(payload) = rest.get(HEADER..length + 4) else { return Ok(None) };
            let message = Message::decode(code, &mut Reader::new(payload))?;
            self.used += length + 4;
            if message.is_some() {
                return Ok(message);
            }
            self.skipped += 1;
        }
    }

    /// Skips a worker's answer that exceeds the limit: the other answers on the connection are not affected.
    /// Returns the message in its place, once the number of the attempt was received.
    fn skip_overlong_answer(&mut self, size: usize) -> Option<Message> {
        let rest = &self.buffer[self.used..];
        let attempt = *rest.get(HEADER..)?.first_chunk::<8>()?;
        let buffered = rest.len().min(size);
        self.used += buffered;
        self.to_skip = size - buffered;
        Some(Message::RanTooLong { attempt: u64::from_be_bytes(attempt) })
    }
}
