//! Commands to hosts and their answers: RESP arrays of bulk strings.
//!
//! Why no RESP crate: those at hand collect what a size announces before they say whether it is too much. A host
//! that has gone astray may announce 3 GB; here each size is held against its bound when it is read, and one that
//! is too large ends the connection at once.

use std::io::Write;

use crate::held::{Held, UntilError};

/// The longest body of an answer: one that fits a client's frame beside its head.
const MOST_BODY: usize = crate::client::MOST_LENGTH - 64;
/// The longest id, and the longest word.
const MOST_NAME: usize = 64;
/// The longest fields.
const MOST_FIELDS: usize = 4 << 10;
/// Bytes of a line that holds a number, its end included.
const MOST_LINE: usize = 16;

/// What a host says of a request, an order or a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// Done.
    Ok,
    /// The function is not loaded there; it never ran.
    Miss,
    /// Turned away; it never ran.
    Busy,
    /// An error; it may have run.
    Err,
    /// It was over already; it never ran.
    Void,
    /// A probe: it is up.
    Up,
    /// A probe: it is down.
    Down,
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostAnswer {
    /// What it answers.
    pub id: String,
    /// How that ended.
    pub word: Word,
    /// Requests for the same function that the host held when this one came.
    pub rivals: u32,
    /// Loaded instances that stand, in the answer to an order.
    pub instances: u32,
    /// A load failed there.
    pub load_failed: bool,
    /// The body.
    pub body: Vec<u8>,
}

/// Bytes that are no answer: the connection they came on is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Spoilt {
    /// It is no array of four bulk strings, or a size is out of bounds.
    #[error("no array of bulk strings within bounds")]
    Form,
    /// The id can't be one.
    #[error("an id that can't be one")]
    Id,
    /// A word that hosts don't say.
    #[error("a word that hosts don't say")]
    Word,
    /// Fields that can't be read.
    #[error("fields that can't be read")]
    Fields,
}

fn command(out: &mut Vec<u8>, parts: &[&[u8]]) {
    // Writing to a vector can't fail.
    let _ = write!(out, "*{}\r\n", parts.len());
    for part in parts {
        let _ = write!(out, "${}\r\n", part.len());
        out.extend_from_slice(part);
        out.extend_from_slice(b"\r\n");
    }
}

/// A request as it goes to a host.
#[derive(Clone, Copy, Debug)]
pub struct Invoke<'a> {
    /// The client's id.
    pub id: &'a str,
    /// The class.
    pub class: &'a str,
    /// The function.
    pub function: &'a str,
    /// The idempotency key, where the class has one; else empty.
    pub once: &'a str,
    /// How long the gateway waits, in milliseconds.
    pub patience_ms: u64,
    /// The body.
    pub body: &'a [u8],
}

/// Appends a request.
pub fn invoke(out: &mut Vec<u8>, request: &Invoke<'_>) {
    let Invoke { id, class, function, once, patience_ms, body } = request;
    let mut fields = format!("sort={class},asset={function},patience={patience_ms}");
    if !once.is_empty() {
        fields.push_str(",op=");
        fields.push_str(once);
    }
    command(out, &[b"invoke", id.as_bytes(), fields.as_bytes(), body]);
}

/// Appends 'this request is given up'.
pub fn abort(out: &mut Vec<u8>, id: &str) {
    command(out, &[b"abort", id.as_bytes()]);
}

/// Appends a probe.
pub fn alive(out: &mut Vec<u8>, tag: &str) {
    command(out, &[b"alive", tag.as_bytes()]);
}

/// Appends an order to hold so many instances.
pub fn prewarm(out: &mut Vec<u8>, tag: &str, function: &str, instances: u32) {
    let fields = format!("asset={function},instances={instances}");
    command(out, &[b"prewarm", tag.as_bytes(), fields.as_bytes()]);
}

/// Appends an order to unload idle instances; it has no answer.
pub fn evict(out: &mut Vec<u8>, function: &str) {
    command(out, &[b"evict", function.as_bytes()]);
}

/// Appends an answer, as a host writes it; for tests and stand-ins.
pub fn encode_answer(out: &mut Vec<u8>, id: &str, word: &str, fields: &str, body: &[u8]) {
    command(out, &[id.as_bytes(), word.as_bytes(), fields.as_bytes(), body]);
}

/// Takes a whole command of so many parts off the bytes, if one is there; for tests and stand-ins.
pub fn take_command(bytes: &mut Vec<u8>) -> Result<Option<Vec<Vec<u8>>>, Spoilt> {
    let mut at = 0;
    let Some(count) = number(bytes, &mut at, b'*', 8)? else { return Ok(None) };
    let mut parts = Vec::new();
    for _ in 0..count {
        let Some(part) = bulk(bytes, &mut at, MOST_BODY)? else { return Ok(None) };
        parts.push(part.to_vec());
    }
    bytes.drain(..at);
    Ok(Some(parts))
}

/// Bytes in, answers out. After an error it gives that error for ever.
#[derive(Debug, Default)]
pub struct HostDecoder {
    bytes: UntilError<Spoilt>,
}

impl HostDecoder {
    /// Takes bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.push(bytes);
    }

    /// Whether an answer is half there.
    pub fn midway(&self) -> bool {
        !self.bytes.held.rest().is_empty()
    }

    /// The next whole answer; `None`: more bytes are needed.
    pub fn decode(&mut self) -> Result<Option<HostAnswer>, Spoilt> {
        self.bytes.decode(read)
    }
}

fn read(held: &mut Held) -> Result<Option<HostAnswer>, Spoilt> {
    let bytes = held.rest();
    let mut at = 0;
    match number(bytes, &mut at, b'*', 4)? {
        None => return Ok(None),
        Some(4) => {}
        Some(_) => return Err(Spoilt::Form),
    }
    let Some(id) = bulk(bytes, &mut at, MOST_NAME)? else { return Ok(None) };
    let Some(word) = bulk(bytes, &mut at, MOST_NAME)? else { return Ok(None) };
    let Some(fields) = bulk(bytes, &mut at, MOST_FIELDS)? else { return Ok(None) };
    let Some(body) = bulk(bytes, &mut at, MOST_BODY)? else { return Ok(None) };
    let answer = answer(id, word, fields, body)?;
    held.take(at);
    Ok(Some(answer))
}

/// A line of a mark and a number; `None`: it is not whole.
fn number(bytes: &[u8], at: &mut usize, mark: u8, most: usize) -> Result<Option<usize>, Spoilt> {
    let rest = &bytes[*at..];
    let line = &rest[..rest.len().min(MOST_LINE)];
    let Some(end) = line.iter().position(|byte| *byte == b'\n') else {
        // What is there must be the beginning of such a line.
        let digits = line.get(1..).unwrap_or(&[]);
        let digits = digits.strip_suffix(b"\r").unwrap_or(digits);
        let fine = line.first().is_none_or(|byte| *byte == mark) && digits.iter().all(u8::is_ascii_digit);
        return if fine && line.len() < MOST_LINE { Ok(None) } else { Err(Spoilt::Form) };
    };
    let digits = line[..end].strip_suffix(b"\r").and_then(|line| line.strip_prefix(&[mark]));
    let digits = digits.filter(|digits| !digits.is_empty() && digits.iter().all(u8::is_ascii_digit));
    let value = digits.and_then(|digits| std::str::from_utf8(digits).ok()?.parse().ok());
    *at += end + 1;
    value.filter(|value| *value <= most).map(Some).ok_or(Spoilt::Form)
}

/// A bulk string; `None`: it is not whole.
fn bulk<'a>(bytes: &'a [u8], at: &mut usize, most: usize) -> Result<Option<&'a [u8]>, Spoilt> {
    let Some(size) = number(bytes, at, b'$', most)? else { return Ok(None) };
    let Some(text) = bytes.get(*at..*at + size + 2) else { return Ok(None) };
    *at += size + 2;
    match text.split_at(size) {
        (text, b"\r\n") => Ok(Some(text)),
        _ => Err(Spoilt::Form),
    }
}

fn answer(id: &[u8], word: &[u8], fields: &[u8], body: &[u8]) -> Result<HostAnswer, Spoilt> {
    let id = std::str::from_utf8(id).ok().filter(|id| id.bytes().all(|b| b.is_ascii_alphanumeric()));
    let id = id.filter(|id| !id.is_empty()).ok_or(Spoilt::Id)?;
    let word = match word {
        // The second: it ran before under the same idempotency key, and this is what it answered then.
        b"OK" | b"SAME" => Word::Ok,
        b"MISS" => Word::Miss,
        b"BUSY" => Word::Busy,
        b"ERR" => Word::Err,
        b"VOID" => Word::Void,
        b"UP" => Word::Up,
        b"DOWN" => Word::Down,
        _ => return Err(Spoilt::Word),
    };
    let mut answer =
        HostAnswer { id: id.into(), word, rivals: 0, instances: 0, load_failed: false, body: body.to_vec() };
    let fields = std::str::from_utf8(fields).map_err(|_| Spoilt::Fields)?;
    for field in fields.split(',').filter(|_| fields != "-") {
        let (name, value) = field.split_once('=').ok_or(Spoilt::Fields)?;
        match name {
            "rivals" => answer.rivals = value.parse().map_err(|_| Spoilt::Fields)?,
            "instances" => answer.instances = value.parse().map_err(|_| Spoilt::Fields)?,
            "n" => answer.load_failed = value == "init_error",
            _ => {}
        }
    }
    Ok(answer)
}
