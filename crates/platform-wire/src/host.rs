//! Commands to hosts and their answers: RESP arrays of bulk strings.
//!
//! The available RESP crates buffer the announced size before they report that it is too large. A faulty host
//! may announce 3 GB, so each size is checked here as soon as it is read, and one above its limit ends the
//! connection at once.

use std::io::Write;

use cresswheel_protocol::InputBuffer;

use crate::held::DecodeBuffer;

/// Longest body of an answer: it fits a client frame together with the frame's header.
const MAX_BODY: usize = crate::client::MAX_LENGTH - 64;
/// Longest id and longest status word.
const MAX_NAME: usize = 64;
/// Longest field list.
const MAX_FIELDS: usize = 4 << 10;
/// Longest line with a number, including its line end.
const MAX_LINE: usize = 16;

/// Status word of a host's answer to a request, an order or a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerStatus {
    /// Done.
    Ok,
    /// The function is not loaded there; it never ran.
    Miss,
    /// Rejected; it never ran.
    Busy,
    /// Failed; it may have run.
    Err,
    /// It had ended before; it never ran.
    Void,
    /// Answer to a probe: the host is up.
    Up,
    /// Answer to a probe: the host is down.
    Down,
}

/// A host's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostAnswer {
    /// Id of the request, order or probe.
    pub id: String,
    /// How it ended.
    pub word: AnswerStatus,
    /// Requests for the same function that the host had in hand when this one arrived.
    pub rivals: u32,
    /// Loaded instances, in the answer to an order.
    pub instances: u32,
    /// A load failed on the host.
    pub load_failed: bool,
    /// The body.
    pub body: Vec<u8>,
}

/// Bytes that are no valid answer: the connection is not usable any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AnswerError {
    /// Not an array of four bulk strings, or a size above its limit.
    #[error("not an array of bulk strings, or a size above its limit")]
    Framing,
    /// An invalid id.
    #[error("invalid id in an answer")]
    Id,
    /// An unknown status word.
    #[error("unknown status word in an answer")]
    Status,
    /// A malformed field list.
    #[error("malformed fields in an answer")]
    Fields,
}

fn encode_command(out: &mut Vec<u8>, parts: &[&[u8]]) {
    // Writing to a vector can't fail.
    let _ = write!(out, "*{}\r\n", parts.len());
    for part in parts {
        let _ = write!(out, "${}\r\n", part.len());
        out.extend_from_slice(part);
        out.extend_from_slice(b"\r\n");
    }
}

/// A request for a host.
#[derive(Clone, Copy, Debug)]
pub struct Invoke<'a> {
    /// Id of the request, chosen by the client.
    pub id: &'a str,
    /// The class.
    pub class: &'a str,
    /// The function.
    pub function: &'a str,
    /// Idempotency key, or empty if the class has none.
    pub once: &'a str,
    /// How long the gateway waits for the answer, in milliseconds.
    pub timeout_ms: u64,
    /// The body.
    pub body: &'a [u8],
}

/// Appends an `invoke` command.
pub fn invoke(out: &mut Vec<u8>, request: &Invoke<'_>) {
    let Invoke { id, class, function, once, timeout_ms: patience_ms, body } = request;
    let mut fields = format!("sort={class},asset={function},patience={patience_ms}");
    if !once.is_empty() {
        fields.push_str(",op=");
        fields.push_str(once);
    }
    encode_command(out, &[b"invoke", id.as_bytes(), fields.as_bytes(), body]);
}

/// Appends an `abort` command: the answer to this request is no longer wanted.
pub fn abort(out: &mut Vec<u8>, id: &str) {
    encode_command(out, &[b"abort", id.as_bytes()]);
}

/// Appends an `alive` command, which probes the host.
pub fn alive(out: &mut Vec<u8>, tag: &str) {
    encode_command(out, &[b"alive", tag.as_bytes()]);
}

/// Appends a `prewarm` command: the host keeps this many instances of the function loaded.
pub fn prewarm(out: &mut Vec<u8>, tag: &str, function: &str, instances: u32) {
    let fields = format!("asset={function},instances={instances}");
    encode_command(out, &[b"prewarm", tag.as_bytes(), fields.as_bytes()]);
}

/// Appends an `evict` command: the host unloads idle instances of the function. It has no answer.
pub fn evict(out: &mut Vec<u8>, function: &str) {
    encode_command(out, &[b"evict", function.as_bytes()]);
}

/// Appends an answer as a host writes it, for tests and stand-ins.
pub fn encode_answer(out: &mut Vec<u8>, id: &str, word: &str, fields: &str, body: &[u8]) {
    encode_command(out, &[id.as_bytes(), word.as_bytes(), fields.as_bytes(), body]);
}

/// Removes the first complete command from the bytes and returns its parts, for tests and stand-ins.
pub fn decode_command(bytes: &mut Vec<u8>) -> Result<Option<Vec<Vec<u8>>>, AnswerError> {
    let mut at = 0;
    let Some(count) = read_number(bytes, &mut at, b'*', 8)? else { return Ok(None) };
    let mut parts = Vec::new();
    for _ in 0..count {
        let Some(part) = read_bulk(bytes, &mut at, MAX_BODY)? else { return Ok(None) };
        parts.push(part.to_vec());
    }
    bytes.drain(..at);
    Ok(Some(parts))
}

/// Decodes answers of hosts. After an error, each call returns that error.
#[derive(Debug, Default)]
pub struct HostDecoder {
    bytes: DecodeBuffer<AnswerError>,
}

impl HostDecoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.push(bytes);
    }

    /// Whether part of an answer is buffered.
    pub fn has_incomplete_answer(&self) -> bool {
        !self.bytes.input.unread().is_empty()
    }

    /// The next complete answer; `None`: more bytes are needed.
    pub fn decode(&mut self) -> Result<Option<HostAnswer>, AnswerError> {
        self.bytes.decode(read_answer)
    }
}

fn read_answer(input: &mut InputBuffer) -> Result<Option<HostAnswer>, AnswerError> {
    let bytes = input.unread();
    let mut at = 0;
    match read_number(bytes, &mut at, b'*', 4)? {
        None => return Ok(None),
        Some(4) => {}
        Some(_) => return Err(AnswerError::Framing),
    }
    let Some(id) = read_bulk(bytes, &mut at, MAX_NAME)? else { return Ok(None) };
    let Some(word) = read_bulk(bytes, &mut at, MAX_NAME)? else { return Ok(None) };
    let Some(fields) = read_bulk(bytes, &mut at, MAX_FIELDS)? else { return Ok(None) };
    let Some(body) = read_bulk(bytes, &mut at, MAX_BODY)? else { return Ok(None) };
    let answer = parse_answer(id, word, fields, body)?;
    input.consume(at);
    Ok(Some(answer))
}

/// Reads a line of a type byte and a number; `None`: the line is incomplete.
fn read_number(bytes: &[u8], at: &mut usize, kind: u8, max: usize) -> Result<Option<usize>, AnswerError> {
    let rest = &bytes[*at..];
    let line = &rest[..rest.len().min(MAX_LINE)];
    let Some(end) = line.iter().position(|byte| *byte == b'\n') else {
        // An incomplete line must be the start of a valid one.
        let digits = line.get(1..).unwrap_or(&[]);
        let digits = digits.strip_suffix(b"\r").unwrap_or(digits);
        let valid = line.first().is_none_or(|byte| *byte == kind) && digits.iter().all(u8::is_ascii_digit);
        return if valid && line.len() < MAX_LINE { Ok(None) } else { Err(AnswerError::Framing) };
    };
    let digits = line[..end].strip_suffix(b"\r").and_then(|line| line.strip_prefix(&[kind]));
    let digits = digits.filter(|digits| !digits.is_empty() && digits.iter().all(u8::is_ascii_digit));
    let value = digits.and_then(|digits| std::str::from_utf8(digits).ok()?.parse().ok());
    *at += end + 1;
    value.filter(|value| *value <= max).map(Some).ok_or(AnswerError::Framing)
}

/// Reads a bulk string; `None`: it is incomplete.
fn read_bulk<'a>(bytes: &'a [u8], at: &mut usize, max: usize) -> Result<Option<&'a [u8]>, AnswerError> {
    let Some(size) = read_number(bytes, at, b'$', max)? else { return Ok(None) };
    let Some(text) = bytes.get(*at..*at + size + 2) else { return Ok(None) };
    *at += size + 2;
    match text.split_at(size) {
        (text, b"\r\n") => Ok(Some(text)),
        _ => Err(AnswerError::Framing),
    }
}

fn parse_answer(id: &[u8], word: &[u8], fields: &[u8], body: &[u8]) -> Result<HostAnswer, AnswerError> {
    let id = std::str::from_utf8(id).ok().filter(|id| id.bytes().all(|b| b.is_ascii_alphanumeric()));
    let id = id.filter(|id| !id.is_empty()).ok_or(AnswerError::Id)?;
    let word = match word {
        // SAME: it ran before under the same idempotency key; the answer is the one given then.
        b"OK" | b"SAME" => AnswerStatus::Ok,
        b"MISS" => AnswerStatus::Miss,
        b"BUSY" => AnswerStatus::Busy,
        b"ERR" => AnswerStatus::Err,
        b"VOID" => AnswerStatus::Void,
        b"UP" => AnswerStatus::Up,
        b"DOWN" => AnswerStatus::Down,
        _ => return Err(AnswerError::Status),
    };
    let mut answer =
        HostAnswer { id: id.into(), word, rivals: 0, instances: 0, load_failed: false, body: body.to_vec() };
    let fields = std::str::from_utf8(fields).map_err(|_| AnswerError::Fields)?;
    for field in fields.split(',').filter(|_| fields != "-") {
        let (name, value) = field.split_once('=').ok_or(AnswerError::Fields)?;
        match name {
            "rivals" => answer.rivals = value.parse().map_err(|_| AnswerError::Fields)?,
            "instances" => answer.instances = value.parse().map_err(|_| AnswerError::Fields)?,
            "n" => answer.load_failed = value == "init_error",
            _ => {}
        }
    }
    Ok(answer)
}
