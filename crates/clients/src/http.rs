//! Converts HTTP requests to messages and answers to HTTP responses. `docs/PROTOCOL.md` has the table.

use cresswheel_protocol::http::{HeaderError, Request, respond};
use cresswheel_protocol::{FunctionProfile, Message, Micros, Origin, Status};

/// A parsed HTTP request.
#[derive(Debug, PartialEq, Eq)]
pub enum ParsedRequest {
    /// A request to the gateway, with the given number.
    Message(Message),
    /// The liveness check.
    Health,
    /// An invalid request: the HTTP status and the text of the response.
    Invalid(u16, String),
}

/// What precedes and follows the function in the path of a call.
const INVOKE: (&str, &str) = ("/v1/functions/", "/invoke");
const CALLS: &str = "/v1/calls/";

pub fn parse_request(request: Request, number: u64) -> ParsedRequest {
    let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
    let get = request.method == "GET";
    match path {
        "/healthz" if get => ParsedRequest::Health,
        "/readyz" | "/metrics" if get => ParsedRequest::Message(Message::Page { number, path: path.into() }),
        _ => {
            if let Some(name) = path.strip_prefix(INVOKE.0).and_then(|rest| rest.strip_suffix(INVOKE.1)) {
                let name = name.to_owned();
                return match request.method == "POST" {
                    true => parse_call(&name, request, number)
                        .unwrap_or_else(|error| ParsedRequest::Invalid(400, error)),
                    false => ParsedRequest::Invalid(405, "POST only".into()),
                };
            }
            match path.strip_prefix(CALLS) {
                Some(id) if get => match wait_param(query) {
                    Some(wait) => ParsedRequest::Message(Message::Await { number, id: id.into(), wait }),
                    None => ParsedRequest::Invalid(400, "wait_ms is not a number".into()),
                },
                Some(_) => ParsedRequest::Invalid(405, "GET only".into()),
                None => ParsedRequest::Invalid(404, "no such path".into()),
            }
        }
    }
}

fn wait_param(query: &str) -> Option<Micros> {
    match query.split('&').find_map(|part| part.strip_prefix("wait_ms=")) {
        None => Some(0),
        Some(text) => text.parse::<Micros>().ok().map(|ms| ms.saturating_mul(1_000)),
    }
}

/// Parses the headers of a call. One that cannot be read is an error, never taken as absent: a call without its
/// key, deadline or account is another call.
fn parse_call(name: &str, request: Request, number: u64) -> Result<ParsedRequest, String> {
    let value = |header: &str| request.header(header).map_err(|error| error.to_string());
    let text = |header: &str| value(header).map(|text| text.unwrap_or("").to_owned());
    let number_of = |header: &str| match value(header)? {
        None => Ok(0u64),
        Some(value) => value.parse::<u64>().map_err(|_| format!("{header}: not a number: {value}")),
    };
    let small_number = |header: &str| number_of(header).map(|value| u32::try_from(value).unwrap_or(u32::MAX));
    let ms = |header: &str| number_of(header).map(|ms| ms.saturating_mul(1_000));
    let function = percent_decoded(name).ok_or("function: bad escape")?;
    let deferred = wants_deferral(&request).map_err(|error| error.to_string())?;
    let shape = FunctionProfile {
        memory_mb: small_number("x-function-memory-mb")?,
        lanes: small_number("x-function-lanes")?,
        load_time: ms("x-function-load-ms")?,
        work: ms("x-function-work-ms")?,
    };
    Ok(ParsedRequest::Message(Message::Call {
        number,
        deferred,
        function,
        class: text("x-class")?,
        tenant: text("x-tenant")?,
        key: text("idempotency-key")?,
        trace: text("x-trace")?,
        time_left: ms("x-deadline-ms")?,
        shape,
        account: value("x-account")?.map(str::to_owned),
        body: request.body,
    }))
}

/// Whether the client prefers an asynchronous response, see RFC 7240.
fn wants_deferral(request: &Request) -> Result<bool, HeaderError> {
    for preferences in request.header_lines("prefer") {
        let mut preferences = preferences?.split([',', ';']).map(|text| text.trim_matches([' ', '\t']));
        if preferences.any(|preference| preference.eq_ignore_ascii_case("respond-async")) {
            return Ok(true);
        }
    }
    Ok(false)
}

fn percent_decoded(text: &str) -> Option<String> {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::with_capacity(bytes.len()), 0);
    while at < bytes.len() {
        if bytes[at] == b'%' {
            let digits = std::str::from_utf8(bytes.get(at + 1..at + 3)?).ok()?;
            out.push(u8::from_str_radix(digits, 16).ok().filter(|_| !digits.contains('+'))?);
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8(out).ok()
}

/// The response with the final answer of a call, or with a fetched result.
pub fn answer_response(
    status: Status,
    reason: &str,
    retry_after: Micros,
    body: &[u8],
    origin: Option<&Origin>,
    is_fetch: bool,
    keep_alive: bool,
) -> Vec<u8> {
    let code = match (status, reason) {
        (Status::Served, _) => 200,
        (Status::Pending, _) => 202,
        (Status::Unknown, _) => 404,
        (Status::Expired, _) => 410,
        // The fetch succeeded, whatever the result is.
        _ if is_fetch => 200,
        (Status::Refused, "unknown-class" | "no-function" | "no-time") => 400,
        (Status::Refused, "key-in-use") => 409,
        (Status::Refused, _) => 503,
        (Status::Failed, "timeout" | "still-running") => 504,
        (Status::Failed, _) => 502,
    };
    // The header has whole seconds.
    let after = retry_after.div_ceil(1_000_000).to_string();
    let mut headers = vec![("x-status", status.as_str()), ("x-reason", reason)];
    if reason.is_empty() {
        headers.pop();
    }
    if retry_after > 0 {
        headers.push(("retry-after", &after));
    }
    if let Some(Origin { function, digest }) = origin {
        // The worker sent these texts: one that is not valid in a header is left out.
        let is_valid = |text: &&str| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic());
        let origin_headers = [("x-function", function.as_str()), ("x-function-digest", digest)];
        headers.extend(origin_headers.into_iter().filter(|(_, text)| is_valid(text)));
    }
    let mut out = Vec::new();
    respond(&mut out, code, &headers, body, keep_alive);
    out
}

/// The response to a deferred call that was accepted.
pub fn accepted_response(id: &str, keep_alive: bool) -> Vec<u8> {
    let (mut out, location) = (Vec::new(), format!("{CALLS}{id}"));
    let headers = [("location", location.as_str()), ("preference-applied", "respond-async")];
    respond(&mut out, 202, &headers, b"", keep_alive);
    out
}

/// A response with text for people.
pub fn text_response(status: u16, text: &str, keep_alive: bool) -> Vec<u8> {
    let mut out = Vec::new();
    let body = format!("{text}\n");
    respond(&mut out, status, &[("content-type", "text/plain; charset=utf-8")], body.as_bytes(), keep_alive);
    out
}

#[cfg(test)]
mod tests;
