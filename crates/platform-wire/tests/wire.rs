//! Decoding of platform messages: valid, truncated, malformed and oversized.

use cresswheel_platform_wire::client::{
    ClientDecoder, Code, FromClient, FromGateway, RequestError, decode_from_gateway, encode_answer,
    encode_leaving, encode_readiness, encode_request, encode_without_fields,
};
use cresswheel_platform_wire::config::Config;
use cresswheel_platform_wire::directory::{self, DirectoryError};
use cresswheel_platform_wire::host::{self, AnswerError, AnswerStatus, HostDecoder, Invoke};
use cresswheel_protocol::MemberState;
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::rdata::{A, SOA, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const FIELDS: [(&str, &str); 5] = [
    ("class", "call"),
    ("id", "9b1f03aa5c7e2d41"),
    ("wait", "1500"),
    ("key", "7f3a9c21e0b4d655"),
    ("spec", "memory_mb:512.5;lanes:2;load_ms:640"),
];

fn frame(stream: u32, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    encode_request(&mut out, stream, fields, body);
    out
}

fn decode_one(bytes: &[u8]) -> FromClient {
    let mut decoder = ClientDecoder::default();
    decoder.push(bytes);
    decoder.decode().unwrap().expect("a frame")
}

fn with(name: &'static str, value: &'static str) -> Vec<(&'static str, &'static str)> {
    FIELDS.iter().map(|(n, v)| if *n == name { (name, value) } else { (*n, *v) }).collect()
}

#[test]
fn a_request_decodes_alike_in_chunks_of_any_size() {
    let mut bytes = frame(7, &FIELDS, &[0, 255, 13, 10]);
    encode_without_fields(&mut bytes, false, 7);
    encode_without_fields(&mut bytes, true, 9);
    for size in 1..=bytes.len() {
        let mut decoder = ClientDecoder::default();
        let mut frames = Vec::new();
        for piece in bytes.chunks(size) {
            decoder.push(piece);
            frames.extend(std::iter::from_fn(|| decoder.decode().unwrap()));
        }
        let [FromClient::Request(7, Ok(request)), FromClient::Canceled(7), FromClient::Ready(9)] =
            &frames[..]
        else {
            panic!("{frames:?}")
        };
        assert_eq!((request.wait_ms, request.shape.lanes, request.shape.load_time), (1500, 2, 640_000));
        assert_eq!((request.body.as_slice(), request.retry), ([0, 255, 13, 10].as_slice(), false));
        assert_eq!(decoder.incomplete_bytes(), 0);
    }
}

fn with_added(name: &'static str, value: &'static str) -> Vec<(&'static str, &'static str)> {
    FIELDS.into_iter().chain([(name, value)]).collect()
}

#[test]
fn an_invalid_request_fails_only_that_request() {
    let cases = [
        (with("id", "9b1f"), RequestError::InvalidField("id")),
        (with("id", "9b1f03aa5c7e2d4g"), RequestError::InvalidField("id")),
        (with("key", ""), RequestError::InvalidField("key")),
        (with("wait", "-5"), RequestError::InvalidField("wait")),
        (with("wait", "soon"), RequestError::InvalidField("wait")),
        (with("wait", "99999999999999999999999"), RequestError::InvalidField("wait")),
        (with("wait", "0"), RequestError::InvalidField("wait")),
        (with("class", "a,sort=b"), RequestError::InvalidField("class")),
        (with_added("once", "a,asset=b"), RequestError::InvalidField("once")),
        (with_added("tenant", "two words"), RequestError::InvalidField("tenant")),
        (with("spec", "lanes:many"), RequestError::InvalidField("spec")),
        (with("spec", "lanes:-1"), RequestError::InvalidField("spec")),
        (with("spec", "memory_mb:NaN"), RequestError::InvalidField("spec")),
        (with("spec", "lanes:1;lanes:2"), RequestError::InvalidField("spec")),
        (FIELDS[1..].to_vec(), RequestError::InvalidField("class")),
        ([FIELDS.as_slice(), &[("id", "00000000000000aa")]].concat(), RequestError::DuplicateField),
    ];
    for (fields, why) in cases {
        let mut decoder = ClientDecoder::default();
        decoder.push(&frame(1, &fields, b""));
        decoder.push(&frame(2, &FIELDS, b""));
        assert_eq!(decoder.decode(), Ok(Some(FromClient::Request(1, Err(why)))), "{fields:?}");
        assert!(matches!(decoder.decode(), Ok(Some(FromClient::Request(2, Ok(_))))));
    }
    assert!(matches!(decode_one(&frame(1, &FIELDS, &[7; 16 << 10])), FromClient::Request(1, Ok(_))));
    let long = decode_one(&frame(1, &FIELDS, &vec![7; (16 << 10) + 1]));
    assert_eq!(long, FromClient::Request(1, Err(RequestError::TooLong)));
}

#[test]
fn an_oversized_frame_is_rejected_at_its_header_and_skipped() {
    let bytes = frame(3, &FIELDS, &vec![7; 200_000]);
    let mut decoder = ClientDecoder::default();
    decoder.push(&bytes[..9]);
    assert_eq!(decoder.decode(), Ok(Some(FromClient::Request(3, Err(RequestError::TooLong)))));
    bytes[9..].chunks(1000).for_each(|piece| decoder.push(piece));
    decoder.push(&frame(4, &FIELDS, b""));
    assert!(matches!(decoder.decode(), Ok(Some(FromClient::Request(4, Ok(_))))));
    for length in [0u32, 4, 262_145, 60_000_000, u32::MAX] {
        let mut decoder = ClientDecoder::default();
        decoder.push(&length.to_le_bytes());
        assert!(decoder.decode().is_err(), "{length}");
        decoder.push(&bytes);
        assert!(decoder.decode().is_err(), "an error is final");
    }
    for (kind, stream) in [(101, 1), (0, 1), (255, 1), (100, 0)] {
        let mut bytes = frame(stream, &FIELDS, b"");
        bytes[4] = kind;
        let mut decoder = ClientDecoder::default();
        decoder.push(&bytes);
        assert!(decoder.decode().is_err(), "type {kind}, stream {stream}");
    }
}

#[test]
fn a_client_decodes_what_the_gateway_encodes() {
    let mut out = Vec::new();
    encode_answer(&mut out, 5, Code::Served, None, b"body");
    encode_answer(&mut out, 6, Code::Refused, Some(250), b"");
    encode_answer(&mut out, 0, Code::Failed, None, b"why");
    encode_readiness(&mut out, 7, true);
    encode_leaving(&mut out);
    let read: Vec<_> = std::iter::from_fn(|| decode_from_gateway(&mut out).unwrap()).collect();
    let want = [
        FromGateway::Answer(5, 0, None, b"body".to_vec()),
        FromGateway::Answer(6, 8, Some(250), Vec::new()),
        FromGateway::Answer(0, 13, None, b"why".to_vec()),
        FromGateway::Ready(7, 0),
        FromGateway::Leaving,
    ];
    assert_eq!(read, want);
}

#[test]
fn commands_are_arrays_of_bulk_strings() {
    let mut out = Vec::new();
    let (id, function) = ("00000000000000aa", "00000000000000ff");
    let mut request = Invoke { id, class: "call", function, once: "", timeout_ms: 700, body: b"\r\n" };
    host::invoke(&mut out, &request);
    let text = "*4\r\n$6\r\ninvoke\r\n$16\r\n00000000000000aa\r\n$45\r\nsort=call,asset=00000000000000ff,patience=700\r\n\
                $2\r\n\r\n\r\n";
    assert_eq!(String::from_utf8(out.clone()).unwrap(), text);
    // An idempotency key is forwarded to the host.
    request.once = "f73b8e92";
    let mut keyed = Vec::new();
    host::invoke(&mut keyed, &request);
    let fields = host::decode_command(&mut keyed).unwrap().unwrap().swap_remove(2);
    assert_eq!(fields, b"sort=call,asset=00000000000000ff,patience=700,op=f73b8e92");
    host::prewarm(&mut out, "o1", "00000000000000ff", 2);
    host::abort(&mut out, "00000000000000aa");
    host::evict(&mut out, "00000000000000ff");
    host::alive(&mut out, "p1");
    let commands: Vec<_> = std::iter::from_fn(|| host::decode_command(&mut out).unwrap()).collect();
    let words: Vec<_> = commands.iter().map(|c| String::from_utf8_lossy(&c[0]).into_owned()).collect();
    assert_eq!(words, ["invoke", "prewarm", "abort", "evict", "alive"]);
    assert_eq!(commands[1][2], b"asset=00000000000000ff,instances=2");
}

#[test]
fn answers_of_hosts_decode_alike_in_chunks_of_any_size() {
    let mut bytes = Vec::new();
    host::encode_answer(&mut bytes, "00000000000000aa", "OK", "rivals=3,l=inflight:7;util:0.61", b"\0out");
    host::encode_answer(&mut bytes, "o5", "BUSY", "instances=1", b"");
    host::encode_answer(&mut bytes, "00000000000000ab", "MISS", "-", b"");
    for size in 1..=bytes.len() {
        let mut decoder = HostDecoder::default();
        let mut answers = Vec::new();
        for piece in bytes.chunks(size) {
            decoder.push(piece);
            answers.extend(std::iter::from_fn(|| decoder.decode().unwrap()));
        }
        let decoded: Vec<_> = answers.iter().map(|a| (a.word, a.rivals, a.instances, a.body.len())).collect();
        assert_eq!(
            decoded,
            [(AnswerStatus::Ok, 3, 0, 4), (AnswerStatus::Busy, 0, 1, 0), (AnswerStatus::Miss, 0, 0, 0)]
        );
        assert!(!decoder.has_incomplete_answer());
    }
}

#[test]
fn a_malformed_answer_fails_at_its_first_invalid_byte() {
    let cases: [(&[u8], AnswerError); 11] = [
        (b"+OK", AnswerError::Framing),
        (b"*4x", AnswerError::Framing),
        (b"*3\r\n", AnswerError::Framing),
        (b"*-1\r\n", AnswerError::Framing),
        (b"*4\r\n$3000000000\r\n", AnswerError::Framing),
        (b"*4\r\n$99999999999999999999", AnswerError::Framing),
        (b"*4\r\n$2\r\nabXY", AnswerError::Framing),
        (b"*4\r\n$2\r\na!\r\n$2\r\nOK\r\n$1\r\n-\r\n$0\r\n\r\n", AnswerError::Id),
        (b"*4\r\n$2\r\naa\r\n$2\r\nNO\r\n$1\r\n-\r\n$0\r\n\r\n", AnswerError::Status),
        (b"*4\r\n$2\r\naa\r\n$2\r\nOK\r\n$3\r\nxyz\r\n$0\r\n\r\n", AnswerError::Fields),
        (b"*4\r\n$2\r\naa\r\n$2\r\nOK\r\n$1\r\n-\r\n$300000\r\n", AnswerError::Framing),
    ];
    for (bytes, why) in cases {
        let mut decoder = HostDecoder::default();
        decoder.push(bytes);
        assert_eq!(decoder.decode(), Err(why), "{}", String::from_utf8_lossy(bytes));
        decoder.push(b"*4\r\n$2\r\naa\r\n$2\r\nOK\r\n$1\r\n-\r\n$0\r\n\r\n");
        assert_eq!(decoder.decode(), Err(why), "an error is final");
    }
    // An endless line is rejected, not buffered.
    let mut decoder = HostDecoder::default();
    decoder.push(&[b'*'; 1]);
    decoder.push(&[b'1'; 20]);
    assert_eq!(decoder.decode(), Err(AnswerError::Framing));
}

fn listing(serial: u32) -> Message {
    let name = |text: &str| Name::from_ascii(text).unwrap();
    let service = name("_data._tcp.farm.lan.");
    let mut message = Message::new(9, MessageType::Response, OpCode::Query);
    message.add_query(Query::query(service.clone(), RecordType::SRV));
    for (n, priority) in [(1u8, 0), (2, 1)] {
        let target = name(&format!("s-{n}.east.hosts."));
        let record = |name: &Name, data| Record::from_rdata(name.clone(), 1, data);
        message.add_answer(record(&service, RData::SRV(SRV::new(priority, 40, 5050, target.clone()))));
        message.add_additional(record(&target, RData::A(A::new(127, 0, 9, n))));
        let text = vec!["kind=std".into(), format!("cell={n}"), format!("started={}", u64::from(n) * 7)];
        message.add_additional(record(&target, RData::TXT(TXT::new(text))));
    }
    let other = Record::from_rdata(name("x.other."), 1, RData::A(A::new(1, 2, 3, 4)));
    message.add_additional(other);
    let soa = SOA::new(name("ns.farm.lan."), name("op.farm.lan."), serial, 1, 1, 1, 1);
    message.add_authority(Record::from_rdata(name("farm.lan."), 1, RData::SOA(soa)));
    message
}

/// Guards against a new host that is taken for one that has run for long, and so is not spared as a cold one.
#[test]
fn a_start_time_that_is_not_a_number_is_rejected() {
    for value in [&b"x"[..], b"-", b"\xff"] {
        let mut bytes = listing(41).to_vec().unwrap();
        let at = bytes.windows(9).position(|part| part == b"started=7").unwrap() + 8;
        bytes[at..at + 1].copy_from_slice(value);
        assert_eq!(directory::decode_answer(&bytes), Err(DirectoryError::InvalidRecord("TXT started")));
    }
}

#[test]
fn a_directory_answer_is_decoded_completely_or_rejected() {
    let bytes = listing(41).to_vec().unwrap();
    assert_eq!(directory::message_id(&bytes), Some(9));
    let listing_read = directory::decode_answer(&bytes).unwrap();
    assert_eq!(listing_read.serial, 41);
    let [one, two] = &listing_read.hosts[..] else { panic!("{listing_read:?}") };
    assert_eq!((one.id.as_str(), one.zone.as_str(), one.address.as_str()), ("s-1", "east", "127.0.9.1:5050"));
    assert_eq!(
        (one.standing, one.started, one.cell, one.kind.as_str()),
        (MemberState::Active, 7_000, 1, "std")
    );
    assert_eq!(two.standing, MemberState::Draining);
    for end in 0..bytes.len() {
        assert!(directory::decode_answer(&bytes[..end]).is_err(), "truncated at {end}");
    }
    let mut cut = listing(41);
    cut.metadata.truncation = true;
    let truncated = DirectoryError::Incomplete("truncated");
    assert_eq!(directory::decode_answer(&cut.to_vec().unwrap()), Err(truncated));
    let mut failed = listing(41);
    failed.metadata.response_code = ResponseCode::ServFail;
    assert!(matches!(directory::decode_answer(&failed.to_vec().unwrap()), Err(DirectoryError::Failed(_))));
    let mut bare = listing(41);
    bare.additionals.truncate(1);
    assert!(matches!(directory::decode_answer(&bare.to_vec().unwrap()), Err(DirectoryError::Incomplete(_))));
    let query = directory::encode_query(77).unwrap();
    assert_eq!(directory::decode_answer(&query), Err(DirectoryError::Unrelated), "a query is not an answer");
}

#[test]
fn a_configuration_yields_the_settings_of_the_decision_module() {
    let text = r#"{"name":"n3","listen":"127.0.0.1:5050","seed":"8c1f30d27a5be964","names":"127.0.0.1:53",
        "limits":{"cores":1.0,"memory_mb":192,"sockets":256},"peers":["127.0.0.1:7946"],
        "known":{"pos":3,"entries":[{"pos":3,"hosts":{"revision":7,"complete":true,"members":[{"id":"s-1",
        "host_port":"127.0.0.2:5050","locality":"east","flavor":"std","cell":2,"phase":"Ready","size":4,
        "up_since_ms":5}]}}]},
        "settings":{"balancers":3,"tick":2000,"zone":"east","kinds":["std","big"],"customers":[],
        "limits":{"max_attempts":5,"retry_after":true},"specifics":{"kind_memory_mb":[100.5,200],"may_load":true,
        "when_absent":"miss"},"profiles":[{"name":"call","aim":600000,"give_up":5000000,
        "semantics":"at_most_once","value":3.0}]}}"#;
    let config = Config::read(text).unwrap();
    let module = config.module().unwrap();
    assert_eq!((module.gateways, module.max_attempts, module.retry_after), (3, 5, true));
    assert_eq!(module.classes[0].effect, cresswheel::Effect::Unsafe);
    assert_eq!(module.kind_memory_mb["std"], 100.5);
    assert_eq!(config.seed(), 0x8c1f_30d2_7a5b_e964);
    let host = config.known.entries[0].hosts.members[0].listed();
    assert_eq!((host.started, host.standing), (5_000, MemberState::Active));
    assert!(Config::read("{}").is_err());
    assert!(Config::read(&text.replace("\"name\":\"call\",", "")).unwrap().module().is_err());
}

#[test]
fn the_list_of_a_configuration_results_from_all_its_events() {
    let member =
        |id: &str, phase: &str| format!(r#"{{"id":"{id}","host_port":"127.0.0.2:1","phase":"{phase}"}}"#);
    let event = |complete: bool, members: &[String]| {
        format!(r#"{{"pos":1,"hosts":{{"complete":{complete},"members":[{}]}}}}"#, members.join(","))
    };
    let listed = |events: &[String]| {
        let text = format!(r#"{{"pos":9,"entries":[{}]}}"#, events.join(","));
        let listing = serde_json::from_str::<directory::Known>(&text).unwrap().listing();
        assert_eq!(listing.serial, 9);
        listing.hosts.into_iter().map(|host| (host.id, host.standing)).collect::<Vec<_>>()
    };
    let whole = event(true, &[member("s-1", "Ready"), member("s-2", "Ready"), member("s-3", "Ready")]);
    let changes =
        event(false, &[member("s-1", "Gone"), member("s-2", "Terminating"), member("s-4", "Ready")]);
    let named = |id: &str, standing| (id.to_owned(), standing);
    let (stays, drains) = (named("s-3", MemberState::Active), named("s-2", MemberState::Draining));
    assert_eq!(listed(&[whole.clone(), changes.clone()]), [stays, drains, named("s-4", MemberState::Active)]);
    let anew = event(true, &[member("s-5", "Ready"), member("s-6", "Gone")]);
    assert_eq!(
        listed(&[whole, changes, anew]),
        [named("s-5", MemberState::Active)],
        "hosts absent from a complete list have left"
    );
    assert!(listed(&[]).is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), ..ProptestConfig::with_cases(300) })]

    /// Arbitrary bytes in arbitrary chunks cause no panic.
    #[test]
    fn arbitrary_bytes_decode_without_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..400), at in 0usize..200, size in 1usize..50,
    ) {
        let mut noisy = frame(1, &FIELDS, b"body");
        let start = at.min(noisy.len());
        noisy.splice(start..start, bytes.iter().copied());
        let (mut client, mut hosts) = (ClientDecoder::default(), HostDecoder::default());
        for piece in noisy.chunks(size) {
            client.push(piece);
            while let Ok(Some(_)) = client.decode() {}
            hosts.push(piece);
            while let Ok(Some(_)) = hosts.decode() {}
        }
        let mut message = listing(3).to_vec().unwrap();
        let start = at.min(message.len());
        let end = (start + bytes.len()).min(message.len());
        message[start..end].copy_from_slice(&bytes[..end - start]);
        let _ = directory::decode_answer(&message);
    }
}
