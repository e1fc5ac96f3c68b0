//! Frames between clients and a gateway: `length:4 type:1 stream:4 payload`, numbers little-endian.
//!
//! There are two kinds of errors. A malformed frame ([`FrameError`]) ends the connection, because nothing
//! after it can be trusted. An invalid request ([`RequestError`]) fails only that request.

use cresswheel_protocol::{FunctionProfile, InputBuffer};

use crate::held::DecodeBuffer;

/// Largest length of a frame, which counts type, stream and payload.
pub const MAX_LENGTH: usize = 262_144;
/// The longest body of a request.
pub const MAX_BODY: usize = 16 << 10;
/// Most bytes of fields in a request; the known fields take less than a hundred bytes each.
const MAX_FIELDS: usize = 8 << 10;
/// Bytes of length, type and stream.
const HEADER: usize = 9;
/// Bytes of type and stream, which the length counts.
const COUNTED: usize = 5;
/// Longest wait that a client may state, in milliseconds: an hour.
const MAX_WAIT_MS: u64 = 3_600_000;

/// Frame types.
mod kind {
    pub const REQUEST: u8 = 100;
    pub const ANSWER: u8 = 101;
    pub const CANCEL: u8 = 102;
    pub const READY: u8 = 110;
    pub const READINESS: u8 = 111;
    pub const LEAVING: u8 = 120;
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// A host ran it.
    Served = 0,
    /// It had no effect, so that a retry is safe.
    Refused = 8,
    /// It failed, and may have had an effect.
    Failed = 13,
}

/// A valid request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Id chosen by the client, 16 hex digits.
    pub id: String,
    /// Name of the class; whether such a class exists is not checked here.
    pub class: String,
    /// The tenant, or empty.
    pub tenant: String,
    /// Idempotency key of a call whose repeats the hosts deduplicate, or empty.
    pub once: String,
    /// The function, 16 hex digits.
    pub function: String,
    /// How long the client waits for the whole answer, in milliseconds since it sent the request.
    pub wait_ms: u64,
    /// Whether this is a client's retry.
    pub retry: bool,
    /// Resource needs of the function, as the client states them.
    pub shape: FunctionProfile,
    /// The body.
    pub body: Vec<u8>,
}

/// Why a request is invalid. It never ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The payload ends inside a field.
    #[error("a field exceeds the frame")]
    Truncated,
    /// A name or value is not UTF-8.
    #[error("a field is not UTF-8")]
    NotUtf8,
    /// A field occurs twice.
    #[error("duplicate field")]
    DuplicateField,
    /// A required field is missing, or a value is invalid or out of range.
    #[error("field {0} is missing or invalid")]
    InvalidField(&'static str),
    /// The body or the fields are too long.
    #[error("body or fields too long: a body has {MAX_BODY} bytes at most")]
    TooLong,
}

/// A malformed frame: the connection is not usable any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// A length out of range.
    #[error("a frame of {0} bytes")]
    Length(u32),
    /// A type that clients don't send.
    #[error("a frame of type {0}")]
    Type(u8),
    /// A request on stream 0, which is reserved for the connection itself.
    #[error("a request on stream 0")]
    Stream,
}

/// A frame from a client.
#[derive(Clone, Debug, PartialEq)]
pub enum FromClient {
    /// A request on a stream, valid or not.
    Request(u32, Result<Request, RequestError>),
    /// The client canceled the request on this stream.
    Canceled(u32),
    /// Asks whether the gateway is ready.
    Ready(u32),
}

/// Decodes frames of clients. After an error, each call returns that error.
#[derive(Debug, Default)]
pub struct ClientDecoder {
    bytes: DecodeBuffer<FrameError>,
    /// Remaining bytes of a frame that was rejected for its length; they are discarded.
    skip: usize,
}

impl ClientDecoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        let skipped = self.skip.min(bytes.len());
        self.skip -= skipped;
        if skipped < bytes.len() {
            self.bytes.push(&bytes[skipped..]);
        }
    }

    /// Bytes of an incomplete frame that are buffered or still to be discarded.
    pub fn incomplete_bytes(&self) -> usize {
        self.bytes.input.unread().len() + self.skip
    }

    /// The next frame; `None`: more bytes are needed.
    pub fn decode(&mut self) -> Result<Option<FromClient>, FrameError> {
        let skip = &mut self.skip;
        self.bytes.decode(|input| read_frame(input, skip))
    }
}

fn read_frame(input: &mut InputBuffer, skip: &mut usize) -> Result<Option<FromClient>, FrameError> {
    let rest = input.unread();
    let Some((length, after)) = rest.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_le_bytes(*length);
    let counted = length as usize;
    if !(COUNTED..=MAX_LENGTH).contains(&counted) {
        return Err(FrameError::Length(length));
    }
    let Some((kind, after)) = after.split_first() else { return Ok(None) };
    if !matches!(*kind, kind::REQUEST | kind::CANCEL | kind::READY) {
        return Err(FrameError::Type(*kind));
    }
    let Some((stream, payload)) = after.split_first_chunk::<4>() else { return Ok(None) };
    let (kind, stream) = (*kind, u32::from_le_bytes(*stream));
    if kind == kind::REQUEST && stream == 0 {
        return Err(FrameError::Stream);
    }
    let size = counted - COUNTED;
    if size > MAX_BODY + MAX_FIELDS {
        *skip = (size + HEADER).saturating_sub(rest.len());
        input.consume(size + HEADER);
        return Ok(Some(FromClient::Request(stream, Err(RequestError::TooLong))));
    }
    let Some(payload) = payload.get(..size) else { return Ok(None) };
    let frame = match kind {
        kind::REQUEST => FromClient::Request(stream, parse_request(payload)),
        kind::CANCEL => FromClient::Canceled(stream),
        _ => FromClient::Ready(stream),
    };
    input.consume(size + HEADER);
    Ok(Some(frame))
}

/// Parses `count:1`, then `size:1 name size:2 value` for each field, then the body.
fn parse_request(payload: &[u8]) -> Result<Request, RequestError> {
    fn take<'a>(rest: &mut &'a [u8], count: usize) -> Result<&'a [u8], RequestError> {
        let (head, tail) = rest.split_at_checked(count).ok_or(RequestError::Truncated)?;
        *rest = tail;
        Ok(head)
    }
    fn text(bytes: &[u8]) -> Result<&str, RequestError> {
        std::str::from_utf8(bytes).map_err(|_| RequestError::NotUtf8)
    }
    let mut rest = payload;
    let count = take(&mut rest, 1)?[0];
    let mut fields: Vec<(&str, &str)> = Vec::new();
    for _ in 0..count {
        let size = take(&mut rest, 1)?[0];
        let name = text(take(&mut rest, usize::from(size))?)?;
        let size = take(&mut rest, 2)?;
        let value = text(take(&mut rest, usize::from(u16::from_le_bytes([size[0], size[1]])))?)?;
        if fields.iter().any(|(other, _)| *other == name) {
            return Err(RequestError::DuplicateField);
        }
        fields.push((name, value));
    }
    if rest.len() > MAX_BODY {
        return Err(RequestError::TooLong);
    }
    let field = |name: &'static str| fields.iter().find(|(other, _)| *other == name).map(|(_, value)| *value);
    let hex = |name: &'static str| {
        field(name).filter(|value| is_hex16(value)).map(str::to_owned).ok_or(RequestError::InvalidField(name))
    };
    let wait_ms = field("wait").filter(|text| text.bytes().all(|b| b.is_ascii_digit()));
    let wait_ms = wait_ms.and_then(|text| text.parse().ok()).filter(|ms| (1..=MAX_WAIT_MS).contains(ms));
    let class = field("class").filter(|class| is_name(class)).ok_or(RequestError::InvalidField("class"))?;
    let name = |path: &'static str| match field(path) {
        None | Some("") => Ok(String::new()),
        Some(text) if is_name(text) => Ok(text.to_owned()),
        Some(_) => Err(RequestError::InvalidField(path)),
    };
    Ok(Request {
        id: hex("id")?,
        class: class.to_owned(),
        tenant: name("tenant")?,
        once: name("once")?,
        function: hex("key")?,
        wait_ms: wait_ms.ok_or(RequestError::InvalidField("wait"))?,
        retry: match field("retry") {
            None => false,
            Some("1") => true,
            Some(_) => return Err(RequestError::InvalidField("retry")),
        },
        shape: parse_shape(field("spec").unwrap_or(""))?,
        body: rest.to_vec(),
    })
}

/// Whether the text is 16 hex digits.
pub fn is_hex16(text: &str) -> bool {
    text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit())
}

/// Whether the text may be a value in a host's comma-separated fields.
fn is_name(text: &str) -> bool {
    (1..=64).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic() && !matches!(b, b',' | b'='))
}

/// Parses `memory_mb:512;lanes:2;load_ms:640`; each name may occur once, and unknown names are ignored.
fn parse_shape(text: &str) -> Result<FunctionProfile, RequestError> {
    let bad = RequestError::InvalidField("spec");
    let mut shape = FunctionProfile { memory_mb: 0, lanes: 0, load_time: 0, work: 0 };
    let mut seen: Vec<&str> = Vec::new();
    for part in text.split(';').filter(|part| !part.is_empty()) {
        let (name, value) = part.split_once(':').ok_or(bad)?;
        let number: f64 = value.parse().map_err(|_| bad)?;
        if !(0.0..=1e7).contains(&number) || seen.contains(&name) {
            return Err(bad);
        }
        seen.push(name);
        match name {
            "memory_mb" => shape.memory_mb = number.round() as u32,
            "lanes" if number > 65_536.0 => return Err(bad),
            "lanes" => shape.lanes = number as u32,
            "load_ms" => shape.load_time = (number * 1e3) as u64,
            _ => {}
        }
    }
    Ok(shape)
}

fn encode_frame(out: &mut Vec<u8>, kind: u8, stream: u32, payload: impl FnOnce(&mut Vec<u8>)) {
    let start = out.len();
    out.extend_from_slice(&[0, 0, 0, 0, kind]);
    out.extend_from_slice(&stream.to_le_bytes());
    payload(out);
    let length = (out.len() - start - 4) as u32;
    out[start..start + 4].copy_from_slice(&length.to_le_bytes());
}

fn encode_no_fields(out: &mut Vec<u8>) {
    out.push(0);
}

/// Appends the answer to a request; `after`: milliseconds that a refused client should wait before a retry.
/// On stream 0 it reports an error that belongs to no request.
pub fn encode_answer(out: &mut Vec<u8>, stream: u32, code: Code, after: Option<u64>, body: &[u8]) {
    encode_frame(out, kind::ANSWER, stream, |out| {
        out.push(code as u8);
        match after {
            None => encode_no_fields(out),
            Some(ms) => {
                let value = ms.to_string();
                out.extend_from_slice(&[1, 5]);
                out.extend_from_slice(b"after");
                out.extend_from_slice(&(value.len() as u16).to_le_bytes());
                out.extend_from_slice(value.as_bytes());
            }
        }
        out.extend_from_slice(body);
    });
}

/// Appends the answer to a readiness query.
pub fn encode_readiness(out: &mut Vec<u8>, stream: u32, is_ready: bool) {
    encode_frame(out, kind::READINESS, stream, |out| {
        out.push(if is_ready { Code::Served as u8 } else { Code::Refused as u8 });
        encode_no_fields(out);
    });
}

/// Appends a frame that asks the client to send no new request on this connection.
pub fn encode_leaving(out: &mut Vec<u8>) {
    encode_frame(out, kind::LEAVING, 0, |_| {});
}

/// Appends a request as a client writes it, for tests and small tools.
pub fn encode_request(out: &mut Vec<u8>, stream: u32, fields: &[(&str, &str)], body: &[u8]) {
    encode_frame(out, kind::REQUEST, stream, |out| {
        out.push(fields.len() as u8);
        for (name, value) in fields {
            out.push(name.len() as u8);
            out.extend_from_slice(name.as_bytes());
            out.extend_from_slice(&(value.len() as u16).to_le_bytes());
            out.extend_from_slice(value.as_bytes());
        }
        out.extend_from_slice(body);
    });
}

/// Appends a frame without fields, as a client writes it: a readiness query, or else a cancellation.
pub fn encode_without_fields(out: &mut Vec<u8>, is_ready: bool, stream: u32) {
    match is_ready {
        true => encode_frame(out, kind::READY, stream, encode_no_fields),
        false => encode_frame(out, kind::CANCEL, stream, |_| {}),
    }
}

/// A gateway's frame as its client reads it, for tests and small tools.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FromGateway {
    /// The answer on a stream: the code, `after`, the body.
    Answer(u32, u8, Option<u64>, Vec<u8>),
    /// The answer to a readiness query: the code.
    Ready(u32, u8),
    /// No new request on this connection.
    Leaving,
}

/// Removes the first complete frame from the bytes, if there is one; `Err`: the frame is malformed.
pub fn decode_from_gateway(bytes: &mut Vec<u8>) -> Result<Option<FromGateway>, &'static str> {
    let Some(length) = bytes.first_chunk::<4>().map(|l| u32::from_le_bytes(*l) as usize) else {
        return Ok(None);
    };
    if !(COUNTED..=MAX_LENGTH).contains(&length) {
        return Err("length");
    }
    if bytes.len() < length + 4 {
        return Ok(None);
    }
    let frame: Vec<u8> = bytes.drain(..length + 4).collect();
    let stream = u32::from_le_bytes([frame[5], frame[6], frame[7], frame[8]]);
    let payload = &frame[HEADER..];
    Ok(Some(match (frame[4], payload) {
        (kind::ANSWER, [code, 0, body @ ..]) => FromGateway::Answer(stream, *code, None, body.to_vec()),
        (kind::ANSWER, [code, 1, 5, b'a', b'f', b't', b'e', b'r', low, high, rest @ ..]) => {
            let size = usize::from(u16::from_le_bytes([*low, *high]));
            let (value, body) = rest.split_at_checked(size).ok_or("after")?;
            let after = std::str::from_utf8(value).ok().and_then(|text| text.parse().ok());
            FromGateway::Answer(stream, *code, Some(after.ok_or("after")?), body.to_vec())
        }
        (kind::READINESS, [code, 0]) => FromGateway::Ready(stream, *code),
        (kind::LEAVING, []) if stream == 0 => FromGateway::Leaving,
        _ => return Err("form"),
    }))
}
