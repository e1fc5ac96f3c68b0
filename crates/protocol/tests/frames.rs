//! Frames: round trips in arbitrary chunks, arbitrary bytes.

use cresswheel_protocol::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn shape() -> impl Strategy<Value = FunctionProfile> {
    any::<(u32, u32, u64, u64)>().prop_map(|(memory_mb, lanes, load_time, work)| FunctionProfile {
        memory_mb,
        lanes,
        load_time,
        work,
    })
}

fn name() -> impl Strategy<Value = String> {
    "\\PC{0,60}"
}

fn body() -> impl Strategy<Value = Vec<u8>> {
    prop::collection::vec(any::<u8>(), 0..300)
}

fn listed() -> impl Strategy<Value = ListedWorker> {
    let standing = prop::sample::select(MemberState::ALL);
    (name(), name(), name(), name(), any::<u64>(), standing, any::<u64>()).prop_map(
        |(id, address, zone, kind, cell, standing, started)| ListedWorker {
            id,
            address,
            zone,
            kind,
            cell,
            standing,
            started,
        },
    )
}

fn origin() -> impl Strategy<Value = Option<Origin>> {
    prop::option::of((name(), name()).prop_map(|(function, digest)| Origin { function, digest }))
}

fn message() -> impl Strategy<Value = Message> {
    let status = prop::sample::select(Status::ALL);
    let ending = prop::sample::select(Ending::ALL);
    let account = prop::option::of(name());
    let call =
        (any::<(u64, bool, u64)>(), name(), name(), name(), name(), name(), shape(), (body(), account));
    let run = (any::<(u64, u32, u64)>(), name(), name(), name(), name(), shape(), body());
    prop_oneof![
        (prop::sample::select(Role::ALL), name(), name()).prop_map(|(role, name, zone)| Message::Hello {
            role,
            name,
            zone
        }),
        name().prop_map(|reason| Message::Bye { reason }),
        any::<u64>().prop_map(|number| Message::Probe { number }),
        call.prop_map(
            |((number, deferred, time_left), function, class, tenant, key, trace, shape, (body, account))| {
                Message::Call {
                    number,
                    deferred,
                    function,
                    class,
                    tenant,
                    key,
                    trace,
                    time_left,
                    shape,
                    body,
                    account,
                }
            }
        ),
        (any::<(u64, u64)>(), status, name(), body(), origin()).prop_map(
            |((number, retry_after), status, reason, body, origin)| Message::Answer {
                number,
                status,
                reason,
                retry_after,
                body,
                origin
            }
        ),
        run.prop_map(|((attempt, before, time_left), trace, function, class, key, shape, body)| {
            Message::Run { attempt, trace, before, function, class, key, time_left, shape, body }
        }),
        (any::<(u64, u32)>(), ending, body(), origin()).prop_map(
            |((attempt, crowd), ending, body, origin)| Message::Ran { attempt, ending, crowd, body, origin }
        ),
        Just(Message::Follow {}),
        (any::<(bool, u64)>(), prop::collection::vec(listed(), 0..5))
            .prop_map(|((whole, version), workers)| Message::List { whole, version, workers }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None, rng_seed: RngSeed::Fixed(12), ..ProptestConfig::with_cases(256)
    })]

    #[test]
    fn messages_round_trip_in_any_chunks(messages in prop::collection::vec(message(), 1..5), cut in 1usize..70) {
        let mut bytes = Vec::new();
        messages.iter().for_each(|m| encode(m, &mut bytes));
        let mut decoder = Decoder::new(Limits::default());
        let mut read = Vec::new();
        for part in bytes.chunks(cut) {
            decoder.push(part);
            while let Some(message) = decoder.decode().unwrap() {
                read.push(message);
            }
        }
        prop_assert_eq!(read, messages);
        prop_assert_eq!(decoder.buffered_len(), 0);
    }

    #[test]
    fn any_bytes_give_an_error_or_need_more(bytes in body(), limit in 6usize..400) {
        let mut decoder = Decoder::new(Limits { frame: limit });
        decoder.push(&bytes);
        while let Ok(Some(_)) = decoder.decode() {}
        let last = decoder.decode();
        prop_assert!(last.is_err() || decoder.buffered_len() <= bytes.len());
        prop_assert_eq!(decoder.decode(), last, "an error stays");
    }

    #[test]
    fn a_damaged_frame_causes_no_panic(message in message(), at in any::<prop::sample::Index>(), with: u8) {
        let mut bytes = Vec::new();
        encode(&message, &mut bytes);
        let at = at.index(bytes.len());
        bytes[at] = with;
        let mut decoder = Decoder::new(Limits::default());
        decoder.push(&bytes);
        while let Ok(Some(_)) = decoder.decode() {}
    }
}

fn error_text(bytes: &[u8]) -> String {
    let mut decoder = Decoder::new(Limits { frame: 100 });
    decoder.push(bytes);
    decoder.decode().unwrap_err().to_string()
}

#[test]
fn each_error_names_the_field() {
    assert_eq!(error_text(&[0xff, 0xff, 0xff, 0xff, VERSION, 1]), "frame of 4294967299 bytes, 100 at most");
    assert_eq!(error_text(&[0, 0, 0, 1, VERSION, 1]), "frame of 1 bytes, shorter than its header");
    assert_eq!(error_text(&[0, 0, 0, 2, 9, 1]), "protocol version 9, this side speaks 1");
    assert_eq!(error_text(&[0, 0, 0, 3, VERSION, 1, 77]), "role has the value 77, which means nothing");
    assert_eq!(error_text(&[0, 0, 0, 4, VERSION, 2, 0, 5]), "reason runs past the frame");
    assert_eq!(error_text(&[0, 0, 0, 4, VERSION, 2, 9, 0]), "reason has 2304 bytes, 512 at most");
    assert_eq!(error_text(&[0, 0, 0, 5, VERSION, 2, 0, 1, 0xff]), "reason is not UTF-8");
    // A list that announces 2^32 - 1 entries and contains none.
    let list = [0, 0, 0, 15, VERSION, 31, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff];
    assert_eq!(error_text(&list), "id runs past the frame");
}

#[test]
fn unknown_kinds_and_extra_fields_are_ignored() {
    let mut bytes = vec![0, 0, 0, 4, VERSION, 250, 1, 2];
    bytes.extend([0, 0, 0, 12, VERSION, 4, 0, 0, 0, 0, 0, 0, 0, 7, 9, 9]);
    let mut decoder = Decoder::new(Limits::default());
    decoder.push(&bytes);
    assert_eq!(decoder.decode(), Ok(Some(Message::Probe { number: 7 })));
    assert_eq!(decoder.skipped, 1);
    assert_eq!(decoder.decode(), Ok(None));
}

#[test]
fn optional_fields_may_be_missing_but_not_truncated() {
    let origin = Some(Origin { function: "f@2".into(), digest: "d".into() });
    let answer = |origin| Message::Ran { attempt: 1, ending: Ending::Ok, crowd: 0, body: vec![7], origin };
    let read = |bytes: &[u8]| {
        let mut decoder = Decoder::new(Limits::default());
        decoder.push(bytes);
        decoder.decode()
    };
    let (mut with, mut without) = (Vec::new(), Vec::new());
    encode(&answer(origin.clone()), &mut with);
    encode(&answer(None), &mut without);
    assert_eq!(read(&without), Ok(Some(answer(None))));
    assert_eq!(read(&with), Ok(Some(answer(origin))));
    for cut in without.len() + 1..with.len() {
        let mut short = with[..cut].to_vec();
        short[..4].copy_from_slice(&((cut - 4) as u32).to_be_bytes());
        assert!(read(&short).is_err(), "cut at {cut}");
    }
}

/// The messages that carry bodies, each with the longest names and the largest body.
fn largest_messages(limits: Limits) -> [Message; 4] {
    let name = "n".repeat(MAX_NAME);
    let body = vec![b'x'; limits.largest_body()];
    let origin = Some(Origin { function: name.clone(), digest: name.clone() });
    let shape = FunctionProfile { memory_mb: u32::MAX, lanes: u32::MAX, load_time: u64::MAX, work: u64::MAX };
    let call = Message::Call {
        number: u64::MAX,
        deferred: true,
        function: name.clone(),
        class: name.clone(),
        tenant: name.clone(),
        key: name.clone(),
        trace: name.clone(),
        time_left: u64::MAX,
        shape: shape.clone(),
        body: body.clone(),
        account: Some(name.clone()),
    };
    let run = Message::Run {
        attempt: u64::MAX,
        trace: name.clone(),
        before: u32::MAX,
        function: name.clone(),
        class: name.clone(),
        key: name.clone(),
        time_left: u64::MAX,
        shape,
        body: body.clone(),
    };
    let answer = Message::Answer {
        number: u64::MAX,
        status: Status::Served,
        reason: name,
        retry_after: u64::MAX,
        body: body.clone(),
        origin: origin.clone(),
    };
    let ran = Message::Ran { attempt: u64::MAX, ending: Ending::Ok, crowd: u32::MAX, body, origin };
    [call, run, answer, ran]
}

/// Guards against a body that is allowed, but makes a frame that its receiver must reject.
#[test]
fn the_largest_body_fits_a_frame_with_the_longest_names() {
    for limits in [Limits { frame: 8 << 10 }, Limits::default()] {
        for message in largest_messages(limits) {
            let mut bytes = Vec::new();
            encode(&message, &mut bytes);
            assert!(bytes.len() <= limits.frame, "{}: {} bytes", message.kind(), bytes.len());
            let mut decoder = Decoder::new(limits);
            decoder.push(&bytes);
            assert_eq!(decoder.decode(), Ok(Some(message)));
        }
    }
}

#[test]
fn an_overlong_answer_is_skipped_and_the_messages_around_it_are_read() {
    let limits = Limits { frame: 1_000 };
    let ran = |attempt, length| Message::Ran {
        attempt,
        ending: Ending::Ok,
        crowd: 0,
        body: vec![b'x'; length],
        origin: None,
    };
    let mut bytes = Vec::new();
    for message in [ran(1, 5), ran(2, 50_000), ran(3, 5), ran(4, 1_000), ran(5, 5)] {
        encode(&message, &mut bytes);
    }
    for chunk in [1, 7, 999, 5_000, bytes.len()] {
        let mut decoder = Decoder::new(limits);
        let mut messages = Vec::new();
        for part in bytes.chunks(chunk) {
            decoder.push(part);
            while let Some(message) = decoder.decode().unwrap() {
                messages.push(message);
            }
            assert!(decoder.buffered_len() < limits.frame + chunk);
        }
        let too_long = |attempt| Message::RanTooLong { attempt };
        assert_eq!(messages, [ran(1, 5), too_long(2), ran(3, 5), too_long(4), ran(5, 5)], "{chunk}");
        assert!(decoder.is_idle());
    }
}
