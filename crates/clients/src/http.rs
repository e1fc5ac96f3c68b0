//! HTTP requests to messages, answers to responses. `docs/PROTOCOL.md` has the table.

use cresswheel_protocol::http::{Request, respond};
use cresswheel_protocol::{Message, Micros, Origin, Shape, Status};

/// What a request asks for.
#[derive(Debug, PartialEq, Eq)]
pub enum Asked {
    /// Whatever the gateway is to be asked, under the number that was given.
    Message(Message),
    Health,
    /// Answered with this status and these words.
    Wrong(u16, String),
}

const INVOKE: (&str, &str) = ("/v1/functions/", "/invoke");
const CALLS: &str = "/v1/calls/";

pub fn asked(request: Request, number: u64) -> Asked {
    let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
    let get = request.method == "GET";
    match path {
        "/healthz" if get => Asked::Health,
        "/readyz" | "/metrics" if get => Asked::Message(Message::Page { number, path: path.into() }),
        _ => {
            if let Some(name) = path.strip_prefix(INVOKE.0).and_then(|rest| rest.strip_suffix(INVOKE.1)) {
                let name = name.to_owned();
                return match request.method == "POST" {
                    true => call(&name, request, number).unwrap_or_else(|wrong| Asked::Wrong(400, wrong)),
                    false => Asked::Wrong(405, "POST only".into()),
                };
            }
            match path.strip_prefix(CALLS) {
                Some(id) if get => match wait(query) {
                    Some(wait) => Asked::Message(Message::Await { number, id: id.into(), wait }),
                    None => Asked::Wrong(400, "wait_ms is not a number".into()),
                },
                Some(_) => Asked::Wrong(405, "GET only".into()),
                None => Asked::Wrong(404, "no such path".into()),
            }
        }
    }
}

fn wait(query: &str) -> Option<Micros> {
    match query.split('&').find_map(|part| part.strip_prefix("wait_ms=")) {
        None => Some(0),
        Some(text) => text.parse::<Micros>().ok().map(|ms| ms.saturating_mul(1_000)),
    }
}

fn call(name: &str, request: Request, number: u64) -> Result<Asked, String> {
    let text = |header: &str| request.header(header).unwrap_or("").to_owned();
    let digits = |header: &str| match request.header(header) {
        None => Ok(0u64),
        Some(value) => value.parse::<u64>().map_err(|_| format!("{header}: not a number: {value}")),
    };
    let small = |header: &str| digits(header).map(|value| u32::try_from(value).unwrap_or(u32::MAX));
    let ms = |header: &str| digits(header).map(|ms| ms.saturating_mul(1_000));
    let function = percent_decoded(name).ok_or("function: bad escape")?;
    let deferred = request
        .headers
        .iter()
        .filter(|(name, _)| name == "prefer")
        .flat_map(|(_, value)| value.split([',', ';']))
        .any(|word| word.trim().eq_ignore_ascii_case("respond-async"));
    let shape = Shape {
        memory_mb: small("x-function-memory-mb")?,
        lanes: small("x-function-lanes")?,
        load_time: ms("x-function-load-ms")?,
        work: ms("x-function-work-ms")?,
    };
    Ok(Asked::Message(Message::Call {
        number,
        deferred,
        function,
        class: text("x-class"),
        tenant: text("x-tenant"),
        key: text("idempotency-key"),
        trace: text("x-trace"),
        time_left: ms("x-deadline-ms")?,
        shape,
        account: request.header("x-account").map(str::to_owned),
        body: request.body,
    }))
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

/// The response to a call's final answer, or to a fetch of a result.
pub fn answer(
    status: Status,
    reason: &str,
    retry_after: Micros,
    body: &[u8],
    origin: Option<&Origin>,
    fetched: bool,
    keep_alive: bool,
) -> Vec<u8> {
    let code = match (status, reason) {
        (Status::Served, _) => 200,
        (Status::Pending, _) => 202,
        (Status::Unknown, _) => 404,
        (Status::Expired, _) => 410,
        // Fetching a result worked, whatever the result is.
        _ if fetched => 200,
        (Status::Refused, "unknown-class" | "no-function" | "no-time") => 400,
        (Status::Refused, "key-in-use") => 409,
        (Status::Refused, _) => 503,
        (Status::Failed, "timeout" | "still-running") => 504,
        (Status::Failed, _) => 502,
    };
    // A second is the least that the header can say.
    let after = retry_after.div_ceil(1_000_000).to_string();
    let mut headers = vec![("x-status", status.word()), ("x-reason", reason)];
    if reason.is_empty() {
        headers.pop();
    }
    if retry_after > 0 {
        headers.push(("retry-after", &after));
    }
    if let Some(Origin { function, digest }) = origin {
        // A worker's words: what can't stand in a header is left out.
        let sound = |text: &&str| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic());
        let told = [("x-function", function.as_str()), ("x-function-digest", digest)];
        headers.extend(told.into_iter().filter(|(_, text)| sound(text)));
    }
    let mut out = Vec::new();
    respond(&mut out, code, &headers, body, keep_alive);
    out
}

/// The response to a deferred call that was taken.
pub fn accepted(id: &str, keep_alive: bool) -> Vec<u8> {
    let (mut out, place) = (Vec::new(), format!("{CALLS}{id}"));
    let headers = [("location", place.as_str()), ("preference-applied", "respond-async")];
    respond(&mut out, 202, &headers, b"", keep_alive);
    out
}

/// A response with words for a person.
pub fn words(status: u16, words: &str, keep_alive: bool) -> Vec<u8> {
    let mut out = Vec::new();
    let body = format!("{words}\n");
    respond(&mut out, status, &[("content-type", "text/plain; charset=utf-8")], body.as_bytes(), keep_alive);
    out
}

#[cfg(test)]
mod tests;
