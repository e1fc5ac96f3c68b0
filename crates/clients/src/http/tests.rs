use super::*;

fn request(method: &str, target: &str, headers: &[(&str, &str)]) -> Request {
    let headers = headers.iter().map(|(n, v)| ((*n).into(), (*v).into())).collect();
    Request { method: method.into(), target: target.into(), headers, ..Request::default() }
}

#[test]
fn headers_become_a_call() {
    let headers = [
        ("x-class", "post"),
        ("x-deadline-ms", "600"),
        ("prefer", "wait=5, Respond-Async"),
        ("x-function-lanes", "4"),
    ];
    let asked = asked(request("POST", "/v1/functions/a%2Fb%20c/invoke", &headers), 7);
    let Asked::Message(Message::Call { number, deferred, function, class, time_left, shape, .. }) = asked
    else {
        panic!("no call")
    };
    assert_eq!((number, function.as_str(), class.as_str()), (7, "a/b c", "post"));
    assert_eq!((deferred, time_left, shape.lanes), (true, 600_000, 4));
}

#[test]
fn what_is_wrong_is_said() {
    let wrong = |method, target, headers: &[(&str, &str)]| match asked(request(method, target, headers), 0) {
        Asked::Wrong(status, _) => status,
        other => panic!("{other:?}"),
    };
    assert_eq!(wrong("GET", "/v1/functions/f/invoke", &[]), 405);
    assert_eq!(wrong("POST", "/v1/functions/%zz/invoke", &[]), 400);
    assert_eq!(wrong("POST", "/v1/functions/%+1/invoke", &[]), 400);
    assert_eq!(wrong("POST", "/v1/functions/f/invoke", &[("x-deadline-ms", "6s")]), 400);
    assert_eq!(wrong("GET", "/v1/calls/x?wait_ms=abc", &[]), 400);
    assert_eq!(wrong("POST", "/healthz", &[]), 404);
    let awaits = Message::Await { number: 3, id: "x".into(), wait: 5_000 };
    assert_eq!(asked(request("GET", "/v1/calls/x?wait_ms=5", &[]), 3), Asked::Message(awaits));
}
