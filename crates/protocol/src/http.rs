//! Decodes HTTP/1.1 requests and encodes responses. httparse parses the heads; what it leaves to its caller
//! (the length of a body, whether a connection is kept alive) is decided here, strictly: a request whose end
//! is ambiguous is rejected and its connection closed.

use crate::input::InputBuffer;
use std::io::Write;

/// Limits of one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a head, in bytes.
    pub head: usize,
    /// Maximum number of header lines.
    pub headers: usize,
    /// Maximum size of a body, in bytes.
    pub body: usize,
}

impl Default for Limits {
    /// 16 KiB, 64 lines, and the longest body that fits a frame of the default size.
    fn default() -> Self {
        Self { head: 16 << 10, headers: 64, body: crate::Limits::default().largest_body() }
    }
}

/// A complete request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// `GET`, `POST`, ...
    pub method: String,
    /// Path and query as received.
    pub target: String,
    /// The header lines in order.
    pub headers: Vec<Header>,
    /// The body, chunks joined.
    pub body: Vec<u8>,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
}

/// A header line. Its value is kept as received, because headers that the gateway does not read may have any
/// bytes; [`Request::header`] reports a value that is not text as an error.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Header {
    /// The name in lower case.
    pub name: String,
    /// The value without the spaces and tabs around it.
    pub value: Vec<u8>,
}

impl Header {
    fn text(&self) -> Result<&str, HeaderError> {
        std::str::from_utf8(&self.value).map_err(|_| HeaderError::NotText(self.name.clone()))
    }
}

/// Why the value of a header that the gateway reads is not usable.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeaderError {
    /// The value is not UTF-8.
    #[error("{0}: not UTF-8")]
    NotText(String),
}

impl Request {
    /// The value of the first header with this name (in lower case); `None`: there is none.
    pub fn header(&self, name: &str) -> Result<Option<&str>, HeaderError> {
        self.header_lines(name).next().transpose()
    }

    /// The values of all headers with this name (in lower case).
    pub fn header_lines(&self, name: &str) -> impl Iterator<Item = Result<&str, HeaderError>> {
        self.headers.iter().filter(move |header| header.name == name).map(Header::text)
    }
}

/// The result of decoding the bytes received so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// More bytes are needed.
    More,
    /// The client waits for [`CONTINUE`] before it sends the body.
    Continue,
    /// A request is complete.
    Request(Request),
}

/// Why bytes are not a valid request. The caller responds with `status` and closes the connection.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{status} {reason}")]
pub struct HttpError {
    /// The status code.
    pub status: u16,
    /// The error text for the body of the response.
    pub reason: &'static str,
}

fn reject<T>(status: u16, reason: &'static str) -> Result<T, HttpError> {
    Err(HttpError { status, reason })
}

/// What the decoder reads next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Head,
    /// A body of this length.
    Length(usize),
    /// At a chunk's size line.
    ChunkSize,
    /// Within a chunk of this size, which a line end follows.
    Chunk(usize),
    /// In the trailers, until an empty line; holds the bytes read of them.
    Trailers(usize),
}

/// Decodes a stream of bytes into requests.
#[derive(Debug, Default)]
pub struct Decoder {
    limits: Limits,
    input: InputBuffer,
    state: State,
    request: Request,
    continue_sent: bool,
    continue_expected: bool,
    failed: Option<HttpError>,
}

/// Maximum length of a line with a chunk's size and extensions.
const MAX_SIZE_LINE: usize = 256;

impl Decoder {
    /// A decoder with these limits.
    pub fn new(limits: Limits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.input.push(bytes);
    }

    /// Buffered bytes of an incomplete request.
    pub fn buffered_len(&self) -> usize {
        self.input.unread().len() + self.request.body.len()
    }

    /// Whether a request has been received in part.
    pub fn has_partial_request(&self) -> bool {
        self.state != State::Head || !self.input.unread().is_empty()
    }

    /// Whether the decoder is in its initial state.
    pub fn is_idle(&self) -> bool {
        !self.has_partial_request() && self.failed.is_none()
    }

    /// The next step; after an error it returns that error on every call.
    pub fn decode(&mut self) -> Result<Step, HttpError> {
        if let Some(error) = &self.failed {
            return Err(error.clone());
        }
        let step = self.read();
        if let Err(error) = &step {
            self.failed = Some(error.clone());
            self.input.clear();
        }
        step
    }

    fn read(&mut self) -> Result<Step, HttpError> {
        loop {
            match self.state {
                State::Head => {
                    if !self.read_head()? {
                        return Ok(Step::More);
                    }
                }
                State::Length(length) => {
                    if self.input.unread().len() >= length {
                        self.request.body = self.input.take(length);
                        return Ok(self.finish_request());
                    }
                    return Ok(self.need_more_body());
                }
                State::ChunkSize => {
                    let Some(line) = self.read_line(MAX_SIZE_LINE, "chunk size line too long")? else {
                        return Ok(self.need_more_body());
                    };
                    let size = chunk_size(&line)?;
                    if self.request.body.len().saturating_add(size) > self.limits.body {
                        return reject(413, "body too long");
                    }
                    self.state = if size == 0 { State::Trailers(0) } else { State::Chunk(size) };
                }
                State::Chunk(size) => {
                    let unread = self.input.unread();
                    if unread.len() < size + 2 {
                        return Ok(Step::More);
                    }
                    if &unread[size..size + 2] != b"\r\n" {
                        return reject(400, "chunk without its line end");
                    }
                    self.request.body.extend_from_slice(&unread[..size]);
                    self.input.consume(size + 2);
                    self.state = State::ChunkSize;
                }
                State::Trailers(seen) => {
                    let max = self.limits.head.saturating_sub(seen);
                    let Some(line) = self.read_line(max, "trailers too long")? else { return Ok(Step::More) };
                    if line.is_empty() {
                        return Ok(self.finish_request());
                    }
                    self.state = State::Trailers(seen + line.len() + 2);
                }
            }
        }
    }

    fn need_more_body(&mut self) -> Step {
        if self.continue_expected && !self.continue_sent && self.input.unread().is_empty() {
            self.continue_sent = true;
            return Step::Continue;
        }
        Step::More
    }

    fn finish_request(&mut self) -> Step {
        self.state = State::Head;
        (self.continue_sent, self.continue_expected) = (false, false);
        Step::Request(std::mem::take(&mut self.request))
    }

    /// The next line without its line end, if it has been received.
    fn read_line(&mut self, max: usize, too_long: &'static str) -> Result<Option<Vec<u8>>, HttpError> {
        let unread = self.input.unread();
        // Only as far as a line may reach.
        let within = &unread[..unread.len().min(max + 2)];
        match within.windows(2).position(|pair| pair == b"\r\n") {
            Some(at) => {
                let line = within[..at].to_vec();
                self.input.consume(at + 2);
                Ok(Some(line))
            }
            None if unread.len() <= max => Ok(None),
            _ => reject(400, too_long),
        }
    }

    /// Reads a head; false if it is incomplete.
    fn read_head(&mut self) -> Result<bool, HttpError> {
        // Empty lines before a request are ignored, see RFC 9112, section 2.2.
        while self.input.unread().starts_with(b"\r\n") {
            self.input.consume(2);
        }
        let mut lines = vec![httparse::EMPTY_HEADER; self.limits.headers];
        let mut head = httparse::Request::new(&mut lines);
        let length = match head.parse(self.input.unread()) {
            Ok(httparse::Status::Complete(length)) if length <= self.limits.head => length,
            Ok(httparse::Status::Partial) if self.input.unread().len() <= self.limits.head => {
                return Ok(false);
            }
            Ok(_) => return reject(431, "head too long"),
            Err(httparse::Error::TooManyHeaders) => return reject(431, "too many headers"),
            Err(httparse::Error::Version) => return reject(505, "HTTP/1.0 and 1.1 only"),
            Err(_) => return reject(400, "not an HTTP request"),
        };
        let mut request = Request {
            method: head.method.unwrap_or("").into(),
            target: head.path.unwrap_or("").into(),
            keep_alive: head.version == Some(1),
            ..Request::default()
        };
        let (mut content_length, mut chunked) = (None, false);
        for line in head.headers.iter() {
            let name = line.name.to_ascii_lowercase();
            let value = trim_whitespace(line.value);
            // Each value is compared as bytes, so that one that is not text is no exception to these checks.
            match name.as_str() {
                "content-length" => {
                    let value = parse_content_length(value)?;
                    if content_length.is_some_and(|before| before != value) {
                        return reject(400, "two lengths that differ");
                    }
                    content_length = Some(value);
                }
                "transfer-encoding" => {
                    if chunked || !value.eq_ignore_ascii_case(b"chunked") {
                        return reject(501, "transfer-encoding: chunked only, once");
                    }
                    chunked = true;
                }
                "connection" => {
                    let mut options = value.split(|byte| *byte == b',').map(trim_whitespace);
                    if options.any(|option| option.eq_ignore_ascii_case(b"close")) {
                        request.keep_alive = false;
                    }
                }
                "expect" => {
                    if !value.eq_ignore_ascii_case(b"100-continue") {
                        return reject(417, "expect: 100-continue only");
                    }
                    self.continue_expected = true;
                }
                "host" if std::str::from_utf8(value).is_err() => return reject(400, "host is not UTF-8"),
                _ => {}
            }
            request.headers.push(Header { name, value: value.into() });
        }
        if head.version == Some(1) && request.header_lines("host").next().is_none() {
            return reject(400, "no host header");
        }
        if chunked && (content_length.is_some() || head.version == Some(0)) {
            return reject(400, "both a length and chunks, or chunks in HTTP/1.0");
        }
        let content_length = content_length.unwrap_or(0);
        if content_length > self.limits.body {
            return reject(413, "body too long");
        }
        self.input.consume(length);
        self.request = request;
        self.state = if chunked { State::ChunkSize } else { State::Length(content_length) };
        if content_length == 0 && !chunked {
            self.continue_expected = false;
        }
        Ok(true)
    }
}

/// The value without the whitespace that may surround it: spaces and tabs, see RFC 9110, section 5.6.3. Other
/// implementations do not take anything else for whitespace.
fn trim_whitespace(value: &[u8]) -> &[u8] {
    let is_content = |byte: &u8| !matches!(byte, b' ' | b'\t');
    let Some(start) = value.iter().position(is_content) else { return &[] };
    let end = value.iter().rposition(is_content).map_or(start, |last| last + 1);
    &value[start..end]
}

/// Accepts digits only: other implementations disagree about `+5` and `5, 5`.
fn parse_content_length(value: &[u8]) -> Result<usize, HttpError> {
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return reject(400, "content-length is not a number");
    }
    let number = std::str::from_utf8(value).ok().and_then(|digits| digits.parse().ok());
    number.map_or_else(|| reject(413, "body too long"), Ok)
}

fn chunk_size(line: &[u8]) -> Result<usize, HttpError> {
    let digits = line.split(|b| *b == b';').next().unwrap_or(&[]);
    let text = std::str::from_utf8(digits).unwrap_or("").trim_end_matches([' ', '\t']);
    if text.is_empty() || text.len() > 8 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return reject(400, "bad chunk size");
    }
    usize::from_str_radix(text, 16).or(reject(400, "bad chunk size"))
}

/// The interim response that asks a waiting client to send the body of its request.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Appends a response with its length. Headers whose value contains a line end or NUL are left out.
pub fn respond(out: &mut Vec<u8>, status: u16, headers: &[(&str, &str)], body: &[u8], keep_alive: bool) {
    let reason = match status {
        200 => "OK",
        202 => "Accepted",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        410 => "Gone",
        413 => "Content Too Large",
        417 => "Expectation Failed",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        505 => "HTTP Version Not Supported",
        _ => "",
    };
    let mut head = || -> std::io::Result<()> {
        write!(out, "HTTP/1.1 {status} {reason}\r\ncontent-length: {}\r\n", body.len())?;
        for (name, value) in headers.iter().filter(|(_, v)| !v.contains(['\r', '\n', '\0'])) {
            write!(out, "{name}: {value}\r\n")?;
        }
        let connection: &[u8] = if keep_alive { b"\r\n" } else { b"connection: close\r\n\r\n" };
        out.write_all(connection)?;
        out.write_all(body)
    };
    let written = head();
    debug_assert!(written.is_ok(), "a vector takes any bytes");
}
