//! HTTP/1.1: decoding in arbitrary chunks, and rejected requests.

use cresswheel_protocol::http::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn steps(bytes: &[u8], cut: usize) -> (Vec<Step>, Option<HttpError>) {
    let mut decoder = Decoder::new(Limits { head: 300, headers: 8, body: 100 });
    let mut steps = Vec::new();
    for part in bytes.chunks(cut) {
        decoder.push(part);
        loop {
            match decoder.decode() {
                Ok(Step::More) => break,
                Ok(step) => steps.push(step),
                Err(error) => return (steps, Some(error)),
            }
        }
    }
    (steps, None)
}

fn requests(bytes: &[u8], cut: usize) -> Vec<Request> {
    let (steps, error) = steps(bytes, cut);
    assert_eq!(error, None);
    let request = |step| if let Step::Request(request) = step { Some(request) } else { None };
    steps.into_iter().filter_map(request).collect()
}

const PIPELINED: &[u8] = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello\
    \r\nGET /b HTTP/1.1\r\nhost: x\r\nX-Tenant:  t \r\nConnection: keep-alive, Close\r\n\r\n\
    POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\nA\r\n0123456789\r\n0\r\nt: v\r\n\r\n";

#[test]
fn pipelined_requests_in_any_chunks() {
    for cut in 1..PIPELINED.len() {
        let read = requests(PIPELINED, cut);
        assert_eq!(read.len(), 3, "pieces of {cut}");
        assert_eq!((read[0].target.as_str(), read[0].body.as_slice()), ("/a", b"hello".as_slice()));
        assert_eq!(read[1].header("x-tenant"), Ok(Some("t")));
        assert_eq!((read[0].keep_alive, read[1].keep_alive), (true, false));
        assert_eq!(read[2].body, b"abc0123456789");
    }
}

#[test]
fn a_waiting_client_gets_one_continue() {
    let head = b"POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n";
    assert_eq!(steps(head, head.len()).0, vec![Step::Continue]);
    let mut whole = head.to_vec();
    whole.extend(b"ab");
    assert!(matches!(steps(&whole, whole.len()).0[..], [Step::Request(_)]), "the body is there already");
    assert!(matches!(steps(&whole, 1).0[..], [Step::Continue, Step::Request(_)]));
}

#[test]
fn ambiguous_and_invalid_requests_are_rejected() {
    let head = |lines: &str| format!("POST / HTTP/1.1\r\nHost: x\r\n{lines}\r\n");
    let cases = [
        (head("Content-Length: 1\r\nContent-Length: 2\r\n"), 400),
        (head("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n"), 400),
        (head("Content-Length: +1\r\n"), 400),
        (head("Content-Length: 1, 1\r\n"), 400),
        (head("Content-Length: 99999999999999999999\r\n"), 413),
        (head("Content-Length: 101\r\n"), 413),
        (head("Transfer-Encoding: gzip, chunked\r\n"), 501),
        (head("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"), 501),
        (head("Transfer-Encoding: chunked\r\n") + "zz\r\n", 400),
        (head("Transfer-Encoding: chunked\r\n") + "-1\r\n", 400),
        (head("Transfer-Encoding: chunked\r\n") + "1\r\nabc", 400),
        (head("Transfer-Encoding: chunked\r\n") + "FFFFFFFF\r\n", 413),
        (head("Transfer-Encoding: chunked\r\n") + &"1;".repeat(200), 400),
        (head(&format!("X: {}\r\n", "a".repeat(400))), 431),
        (head(&"X: y\r\n".repeat(9)), 431),
        (head("Expect: cake\r\n"), 417),
        ("POST / HTTP/1.1\r\n\r\n".into(), 400),
        ("POST / HTTP/2.0\r\nHost: x\r\n\r\n".into(), 505),
        ("\u{1}\u{2}\u{3}\r\n\r\n".into(), 400),
        ("x".repeat(400), 431),
    ];
    for (text, status) in cases {
        let (read, error) = steps(text.as_bytes(), text.len());
        assert!(!read.iter().any(|s| matches!(s, Step::Request(_))), "{text:?}");
        assert_eq!(error.map(|e| e.status), Some(status), "{text:?}");
    }
}

/// Guards against a length or coding that is skipped because it is not text: the body would be read as a request.
#[test]
fn a_length_or_coding_with_any_other_byte_is_rejected() {
    let body = "GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n";
    let length = body.len().to_string();
    let lines: [(&str, &[u8], u16); 2] =
        [("Content-Length", length.as_bytes(), 400), ("Transfer-Encoding", b"chunked", 501)];
    let mut added: Vec<Vec<u8>> = (0x80..=0xff).map(|byte| vec![byte]).collect();
    // Text that is whitespace to Unicode and not to HTTP, and a digit that is not ASCII.
    added.extend(["\u{a0}", "\u{85}", "\u{2003}", "\u{663}"].map(|text| text.as_bytes().to_vec()));
    for (name, value, status) in lines {
        for bytes in &added {
            for value in [[value, bytes].concat(), [bytes, value].concat()] {
                let start = format!("POST / HTTP/1.1\r\nHost: x\r\n{name}: ");
                let whole = [start.as_bytes(), &value, b"\r\n\r\n", body.as_bytes()].concat();
                for cut in [1, whole.len()] {
                    let (read, error) = steps(&whole, cut);
                    assert_eq!(error.map(|error| error.status), Some(status), "{name}: {value:?}");
                    assert_eq!(read, [], "{name}: {value:?}");
                }
            }
        }
    }
}

#[test]
fn a_connection_option_is_found_beside_one_that_is_not_text() {
    let bytes = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: \xff, close\r\n\r\n";
    assert!(!requests(bytes, bytes.len())[0].keep_alive);
}

/// Guards against a header that is taken as absent because it is not text.
#[test]
fn a_header_that_is_not_text_is_an_error_to_whoever_reads_it() {
    let bytes = b"GET / HTTP/1.1\r\nHost: x\r\nUser-Agent: d\xe9\r\nX-Tenant: \t t\xc2\xa0 \r\n\r\n";
    let request = &requests(bytes, bytes.len())[0];
    assert_eq!(request.header("user-agent"), Err(HeaderError::NotText("user-agent".into())));
    assert_eq!(request.header("x-tenant"), Ok(Some("t\u{a0}")), "only spaces and tabs are cut off");
    assert_eq!(request.header("x-class"), Ok(None));
    let (_, error) = steps(b"GET / HTTP/1.1\r\nHost: \xff\r\n\r\n", 100);
    assert_eq!(error.map(|error| error.status), Some(400));
}

#[test]
fn a_response_has_its_length_and_no_injected_line_ends() {
    let mut out = Vec::new();
    respond(&mut out, 200, &[("location", "/x"), ("bad", "a\r\nb: c")], b"hi", false);
    let text = String::from_utf8(out).unwrap();
    let want = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nlocation: /x\r\nconnection: close\r\n\r\nhi";
    assert_eq!(text, want);
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None, rng_seed: RngSeed::Fixed(12), ..ProptestConfig::with_cases(256)
    })]
    #[test]
    fn any_bytes_decode_alike_in_any_chunks(bytes in "(POST / HTTP/1.1\r\nHost: x\r\n)?(Transfer-Encoding: chunked\r\n)?[a-fA-F0-9:\r\n ]{0,60}", cut in 1usize..20) {
        let whole = steps(bytes.as_bytes(), bytes.len().max(1));
        let pieces = steps(bytes.as_bytes(), cut);
        prop_assert_eq!(whole, pieces);
    }

    #[test]
    fn a_body_is_never_read_as_a_request(
        value in proptest::collection::vec(any::<u8>().prop_filter("no line end", |b| !matches!(b, b'\r' | b'\n')), 0..4),
        is_length in any::<bool>(),
    ) {
        let body = "GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n";
        let line = if is_length { format!("Content-Length: {}", body.len()) } else { "Transfer-Encoding: chunked".into() };
        let whole = [b"POST / HTTP/1.1\r\nHost: x\r\n", line.as_bytes(), &value, b"\r\n\r\n", body.as_bytes()].concat();
        let (read, _) = steps(&whole, whole.len());
        prop_assert!(read.iter().all(|step| !matches!(step, Step::Request(r) if r.target == "/hidden")));
    }
}
