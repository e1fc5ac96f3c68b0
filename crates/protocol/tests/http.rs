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
        assert_eq!(read[1].header("x-tenant"), Some("t"));
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
}
