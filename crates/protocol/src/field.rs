//! Encoding, decoding and limits of the fields of a frame.

use crate::error::FrameError;
use crate::limits::MAX_NAME;

/// The part of a frame's payload that has not been read.
pub struct Reader<'a> {
    rest: &'a [u8],
    /// The field being read, for errors.
    pub field: &'static str,
}

impl<'a> Reader<'a> {
    pub fn new(payload: &'a [u8]) -> Self {
        Self { rest: payload, field: "" }
    }

    /// Whether the whole payload was read.
    pub fn is_empty(&self) -> bool {
        self.rest.is_empty()
    }

    fn take(&mut self, count: usize) -> Result<&'a [u8], FrameError> {
        let short = FrameError::Short { field: self.field };
        let (taken, rest) = self.rest.split_at_checked(count).ok_or(short)?;
        self.rest = rest;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], FrameError> {
        let mut bytes = [0; N];
        bytes.copy_from_slice(self.take(N)?);
        Ok(bytes)
    }
}

/// A type that can be encoded as a field of a frame.
pub trait Field: Sized {
    fn encode(&self, out: &mut Vec<u8>);
    fn decode(reader: &mut Reader) -> Result<Self, FrameError>;
}

macro_rules! number {
    ($($type:ty),*) => {$(
        impl Field for $type {
            fn encode(&self, out: &mut Vec<u8>) {
                out.extend_from_slice(&self.to_be_bytes());
            }
            fn decode(reader: &mut Reader) -> Result<Self, FrameError> {
                Ok(Self::from_be_bytes(reader.array()?))
            }
        }
    )*};
}
number!(u8, u16, u32, u64);

impl Field for bool {
    fn encode(&self, out: &mut Vec<u8>) {
        out.push(u8::from(*self));
    }
    fn decode(reader: &mut Reader) -> Result<Self, FrameError> {
        match u8::decode(reader)? {
            0 => Ok(false),
            1 => Ok(true),
            value => Err(FrameError::Value { field: reader.field, value }),
        }
    }
}

/// A name: its length as 16 bits, then at most [`MAX_NAME`] bytes of UTF-8. A longer name is truncated at a
/// character boundary when it is written.
impl Field for String {
    fn encode(&self, out: &mut Vec<u8>) {
        let mut end = self.len().min(MAX_NAME);
        while !self.is_char_boundary(end) {
            end -= 1;
        }
        (end as u16).encode(out);
        out.extend_from_slice(&self.as_bytes()[..end]);
    }
    fn decode(reader: &mut Reader) -> Result<Self, FrameError> {
        let length = usize::from(u16::decode(reader)?);
        if length > MAX_NAME {
            return Err(FrameError::Long { field: reader.field, length, most: MAX_NAME });
        }
        let bytes = reader.take(length)?.to_vec();
        String::from_utf8(bytes).map_err(|_| FrameError::NotText { field: reader.field })
    }
}

/// A field added to the end of a message in a later build: older peers neither send nor expect it.
impl<T: Field> Field for Option<T> {
    fn encode(&self, out: &mut Vec<u8>) {
        self.iter().for_each(|field| field.encode(out));
    }
    fn decode(reader: &mut Reader) -> Result<Self, FrameError> {
        if reader.is_empty() { Ok(None) } else { T::decode(reader).map(Some) }
    }
}

/// A body: its length as 32 bits, then its bytes; bounded by the length of the frame.
impl Field for Vec<u8> {
    fn encode(&self, out: &mut Vec<u8>) {
        (self.len() as u32).encode(out);
        out.extend_from_slice(self);
    }
    fn decode(reader: &mut Reader) -> Result<Self, FrameError> {
        let length = u32::decode(reader)? as usize;
        Ok(reader.take(length)?.to_vec())
    }
}

/// A list: the number of items as 32 bits, then the items. Memory grows with the bytes received, not with the
/// announced number.
pub fn encode_list<T: Field>(items: &[T], out: &mut Vec<u8>) {
    (items.len() as u32).encode(out);
    items.iter().for_each(|item| item.encode(out));
}

pub fn decode_list<T: Field>(reader: &mut Reader) -> Result<Vec<T>, FrameError> {
    let count = u32::decode(reader)?;
    let mut items = Vec::new();
    for _ in 0..count {
        items.push(T::decode(reader)?);
    }
    Ok(items)
}
