use super::*;

use cresswheel_protocol::http::Header;

fn request(method: &str, target: &str, headers: &[(&str, &str)]) -> Request {
    let lines: Vec<_> = headers.iter().map(|(name, value)| (*name, value.as_bytes())).collect();
    request_of_bytes(method, target, &lines)
}

fn request_of_bytes(method: &str, target: &str, headers: &[(&str, &[u8])]) -> Request {
    let headers = headers.iter().map(|(n, v)| Header { name: (*n).into(), value: v.to_vec() }).collect();
    Request { method: method.into(), target: target.into(), headers, ..Request::default() }
}

#[test]
fn a_call_is_parsed_from_path_and_headers() {
    let headers = [
        ("x-class", "post"),
        ("x-deadline-ms", "600"),
        ("prefer", "wait=5, Respond-Async"),
        ("x-function-lanes", "4"),
    ];
    let parsed = parse_request(request("POST", "/v1/functions/a%2Fb%20c/invoke", &headers), 7);
    let ParsedRequest::Message(Message::Call { number, deferred, function, class, time_left, shape, .. }) =
        parsed
    else {
        panic!("not a call")
    };
    assert_eq!((number, function.as_str(), class.as_str()), (7, "a/b c", "post"));
    assert_eq!((deferred, time_left, shape.lanes), (true, 600_000, 4));
}

#[test]
fn an_invalid_request_gets_the_status_of_its_error() {
    let status_of =
        |method, target, headers: &[(&str, &str)]| match parse_request(request(method, target, headers), 0) {
            ParsedRequest::Invalid(status, _) => status,
            other => panic!("{other:?}"),
        };
    assert_eq!(status_of("GET", "/v1/functions/f/invoke", &[]), 405);
    assert_eq!(status_of("POST", "/v1/functions/%zz/invoke", &[]), 400);
    assert_eq!(status_of("POST", "/v1/functions/%+1/invoke", &[]), 400);
    assert_eq!(status_of("POST", "/v1/functions/f/invoke", &[("x-deadline-ms", "6s")]), 400);
    assert_eq!(status_of("GET", "/v1/calls/x?wait_ms=abc", &[]), 400);
    assert_eq!(status_of("POST", "/healthz", &[]), 404);
    let awaits = Message::Await { number: 3, id: "x".into(), wait: 5_000 };
    assert_eq!(
        parse_request(request("GET", "/v1/calls/x?wait_ms=5", &[]), 3),
        ParsedRequest::Message(awaits)
    );
}

/// Guards against a call that runs without a header that its client sent: a payment without its key is not
/// recognized when it is repeated.
#[test]
fn a_call_with_a_header_that_is_not_text_is_invalid() {
    let read = [
        "x-class",
        "x-tenant",
        "x-account",
        "x-deadline-ms",
        "idempotency-key",
        "x-trace",
        "prefer",
        "x-function-memory-mb",
        "x-function-lanes",
        "x-function-load-ms",
        "x-function-work-ms",
    ];
    for name in read {
        let headers: [(&str, &[u8]); 1] = [(name, b"d\xe9cembre-4711")];
        let parsed = parse_request(request_of_bytes("POST", "/v1/functions/f/invoke", &headers), 0);
        assert_eq!(parsed, ParsedRequest::Invalid(400, format!("{name}: not UTF-8")));
    }
    let other: [(&str, &[u8]); 2] = [("user-agent", b"\xe9"), ("x-class", b"post")];
    let parsed = parse_request(request_of_bytes("POST", "/v1/functions/f/invoke", &other), 0);
    assert!(matches!(parsed, ParsedRequest::Message(_)), "{parsed:?}");
}
