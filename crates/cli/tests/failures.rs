//! The hard cases, each on real sockets against a gateway process.

mod common;

use std::path::Path;
use std::time::{Duration, Instant};

use common::*;
use cresswheel_protocol::{Ending, ListedWorker, MemberState, Message, encode};
use cresswheel_rehearsal::Client;

#[test]
fn a_worker_that_dies_with_a_payment_post_in_hand_costs_an_honest_failure() {
    let (listener, at) = listener();
    let bed = Bed::new(&[at, good_worker()]);
    let mut client = bed.client();
    // Calls of functions spread over the workers, until the played worker has a post.
    for number in 1..=20 {
        client.send(&call(number, "post", &format!("f{number}"), 2_000)).unwrap();
    }
    let mut played = Played::accept(&listener);
    let (_, trace, class) = played.run();
    assert_eq!(class, "post");
    drop(played);
    drop(listener);
    let answers: Vec<_> = (0..20).map(|_| answer(&mut client)).collect();
    let struck = answers.iter().find(|(number, ..)| format!("t{number}") == trace).unwrap();
    assert_eq!((struck.1.as_str(), struck.2.as_str()), ("failed", "broken"));
    let served = answers.iter().filter(|a| a.1 == "served").count();
    assert!(served > 0, "the other worker serves: {answers:?}");
    assert!(answers.iter().all(|a| a.1 == "served" || a.2 == "broken"), "{answers:?}");
}

#[test]
fn a_worker_that_is_not_there_costs_nothing_but_the_way() {
    // The list names a worker that nobody has ever seen: a post has provably not run there.
    let bed = Bed::new(&[nobody(), good_worker()]);
    let mut client = bed.client();
    for number in 1..=20 {
        client.send(&call(number, "post", &format!("f{number}"), 2_000)).unwrap();
        assert_eq!(answer(&mut client).1, "served");
    }
}

#[test]
fn a_client_that_gives_up_at_600_ms_while_a_load_runs_hears_so_by_then() {
    let (listener, at) = listener();
    let bed = Bed::new(&[at]);
    let mut client = bed.client();
    let began = Instant::now();
    client.send(&call(1, "post", "f", 600)).unwrap();
    let mut played = Played::accept(&listener);
    let (attempt, ..) = played.run();
    // The worker loads, and answers when nobody waits any more.
    let (number, status, reason) = answer(&mut client);
    let took = began.elapsed();
    assert_eq!((number, status.as_str(), reason.as_str()), (1, "failed", "timeout"));
    assert!(took >= Duration::from_millis(500), "not before its time: {took:?}");
    played.ran(attempt, Ending::Ok);
    // The late answer is dropped: what comes next is the next call's.
    client.send(&call(2, "check", "f", 5_000)).unwrap();
    let (attempt, ..) = played.run();
    played.ran(attempt, Ending::Ok);
    assert_eq!(answer(&mut client), (2, "served".into(), String::new()));
    assert_eq!(bed.metric("cresswheel_late_answers_total"), 1.0);
}

#[test]
fn a_reset_with_ten_calls_of_three_classes_in_flight_treats_each_by_its_class() {
    let (listener, at) = listener();
    let bed = Bed::new(&[at, good_worker()]);
    let mut client = bed.client();
    let class = |n: u64| ["check", "post", "note"][n as usize % 3];
    for number in 1..=30 {
        client.send(&call(number, class(number), &format!("f{number}"), 4_000)).unwrap();
    }
    let mut played = Played::accept(&listener);
    let mut struck = Vec::new();
    while struck.len() < 10 {
        struck.push(played.run().1);
    }
    drop(played);
    drop(listener);
    let mut served_again = 0;
    for _ in 1..=30 {
        let (number, status, reason) = answer(&mut client);
        let was_struck = struck.contains(&format!("t{number}"));
        match (class(number), status.as_str()) {
            ("post", "failed") => assert_eq!(reason, "broken"),
            ("post", status) => assert!(status == "served" && !was_struck, "post {number} is {status}"),
            // What may run again does, as far as the budget of retries goes. The rest of what is safe may be
            // tried again by the client; a keyed call may have run, and a further try might run it again.
            (_, "served") => served_again += usize::from(was_struck),
            ("check", status) => assert_eq!((status, reason.as_str()), ("refused", "broken")),
            (_, status) => assert_eq!((status, reason.as_str()), ("failed", "broken")),
        }
    }
    assert!(served_again > 0, "what is safe to repeat is served elsewhere");
}

#[test]
fn second_answers_and_answers_to_nothing_are_dropped() {
    let (listener, at) = listener();
    let bed = Bed::new(&[at]);
    let mut client = bed.client();
    client.send(&call(1, "post", "f", 3_000)).unwrap();
    let mut played = Played::accept(&listener);
    let (attempt, ..) = played.run();
    played.ran(attempt + 1_000, Ending::Ok);
    played.ran(attempt, Ending::Ok);
    played.ran(attempt, Ending::Error);
    assert_eq!(answer(&mut client).1, "served");
    client.send(&call(2, "post", "f", 3_000)).unwrap();
    let (attempt, ..) = played.run();
    played.ran(attempt, Ending::Ok);
    assert_eq!(answer(&mut client), (2, "served".into(), String::new()));
    assert_eq!(bed.metric("cresswheel_late_answers_total"), 2.0);
}

#[test]
fn a_worker_that_goes_away_gets_nothing_new_on_that_connection() {
    let (listener, at) = listener();
    let bed = Bed::new(&[at]);
    let mut client = bed.client();
    client.send(&call(1, "check", "f", 3_000)).unwrap();
    let mut first = Played::accept(&listener);
    let (attempt, ..) = first.run();
    first.send(&Message::GoingAway { reason: "restart".into() });
    first.ran(attempt, Ending::Ok);
    assert_eq!(answer(&mut client).1, "served");
    client.send(&call(2, "check", "f", 3_000)).unwrap();
    let mut second = Played::accept(&listener);
    let (attempt, ..) = second.run();
    second.ran(attempt, Ending::Ok);
    assert_eq!(answer(&mut client).1, "served");
}

#[test]
fn a_gateway_with_an_empty_list_refuses_in_time_and_serves_when_the_list_comes() {
    let (list, list_at) = listener();
    let more = format!("list = [\"{list_at}\"]");
    let bed = Bed::with(&[], &more, "");
    let mut client = bed.client();
    client.send(&call(1, "post", "f", 300)).unwrap();
    assert_eq!(answer(&mut client), (1, "refused".into(), "no-worker".into()));
    let mut service = Played::accept(&list);
    while service.next() != Some(Message::Follow {}) {}
    client.send(&call(2, "post", "f", 5_000)).unwrap();
    let listed = ListedWorker {
        id: "w".into(),
        address: good_worker().to_string(),
        zone: "a".into(),
        kind: String::new(),
        cell: 0,
        standing: MemberState::Active,
        started: 0,
    };
    service.send(&Message::List { whole: true, version: 1, workers: vec![listed] });
    assert_eq!(answer(&mut client).1, "served", "a call that waits finds the new worker");
}

#[test]
fn a_gateway_that_starts_with_a_stale_list_finds_the_workers_that_live() {
    let folder = tempfile::tempdir().unwrap();
    let state = folder.path().join("state");
    std::fs::create_dir(&state).unwrap();
    let listed = |id: &str, address: String| ListedWorker {
        id: id.into(),
        address,
        zone: "a".into(),
        kind: String::new(),
        cell: 0,
        standing: MemberState::Active,
        started: 0,
    };
    let workers = vec![listed("dead", nobody().to_string()), listed("live", good_worker().to_string())];
    let mut bytes = Vec::new();
    encode(&Message::List { whole: true, version: 9, workers }, &mut bytes);
    std::fs::write(state.join("workers.list"), bytes).unwrap();
    // The list service can't be reached at all.
    let more = format!("list = [\"{}\"], state = \"{}\"", nobody(), state.display());
    let bed = Bed::with(&[], &more, "");
    let mut client = bed.client();
    for number in 1..=10 {
        client.send(&call(number, "post", &format!("f{number}"), 3_000)).unwrap();
        assert_eq!(answer(&mut client).1, "served");
    }
    assert_eq!(bed.metric("cresswheel_list_stale"), 1.0);
}

#[test]
fn without_descriptors_accepting_pauses_and_taken_calls_go_on() {
    let folder = tempfile::tempdir().unwrap();
    let file = settings(folder.path(), &[good_worker()], "", "");
    let script = format!("ulimit -n 40; exec {EXE} gateway {}", file.display());
    let bed = Bed::of(folder, Path::new("/bin/sh"), &["-c", &script]);
    let mut first = bed.client();
    first.send(&call(1, "post", "f", 5_000)).unwrap();
    assert_eq!(answer(&mut first).1, "served");
    let crowd: Vec<Client> = (0..60).map(|_| bed.client()).collect();
    bed.logged("accepting pauses");
    for number in 2..=20 {
        first.send(&call(number, "post", "f", 5_000)).unwrap();
        assert_eq!(answer(&mut first).1, "served");
    }
    drop(crowd);
    let mut later = bed.client();
    later.send(&call(1, "post", "f", 5_000)).unwrap();
    assert_eq!(answer(&mut later).1, "served", "accepting goes on once there are descriptors");
}

#[test]
fn a_full_disk_for_logs_costs_no_call() {
    let folder = tempfile::tempdir().unwrap();
    let file = settings(folder.path(), &[good_worker()], "", "");
    let args = ["--log", "debug", "--log-file", "/dev/full", "gateway", file.to_str().unwrap()];
    let bed = Bed::of(folder, Path::new(EXE), &args);
    let mut client = bed.client();
    for number in 1..=20 {
        client.send(&call(number, "post", "f", 5_000)).unwrap();
        assert_eq!(answer(&mut client).1, "served");
    }
}

#[test]
fn a_stop_lets_calls_finish_answers_the_rest_and_ends_with_0() {
    let (listener, at) = listener();
    let mut bed = Bed::with(&[at], "", "stop_within = ms(700)");
    let mut client = bed.client();
    client.send(&call(1, "check", "f", 5_000)).unwrap();
    client.send(&call(2, "post", "f", 5_000)).unwrap();
    client.send(&call(3, "check", "f", 5_000)).unwrap();
    let mut played = Played::accept(&listener);
    let first = played.run();
    let rest = [played.run(), played.run()];
    bed.gateway.terminate().unwrap();
    bed.logged("stopping");
    client.send(&call(4, "check", "f", 5_000)).unwrap();
    assert_eq!(answer(&mut client), (4, "refused".into(), "stopping".into()));
    played.ran(first.0, Ending::Ok);
    let (number, status, _) = answer(&mut client);
    assert_eq!((format!("t{number}"), status.as_str()), (first.1, "served"));
    let mut last = [answer(&mut client), answer(&mut client)];
    last.sort();
    for (number, status, reason) in last {
        let class = &rest.iter().find(|(_, trace, _)| *trace == format!("t{number}")).unwrap().2;
        let want = if class == "post" { "failed" } else { "refused" };
        assert_eq!((status.as_str(), reason.as_str()), (want, "stopping"));
    }
    assert_eq!(bed.gateway.wait(PATIENCE).unwrap(), Some(0));
}

#[test]
fn a_reload_takes_what_may_change_and_refuses_a_bad_file_whole() {
    let worker = good_worker();
    let bed = Bed::with(&[worker], "", "open_calls = 100");
    let mut client = bed.client();
    let mut turn = |number: u64| {
        client.send(&call(number, "post", "f", 5_000)).unwrap();
        answer(&mut client)
    };
    assert_eq!(turn(1).1, "served");
    settings(bed.folder.path(), &[worker], "", "open_calls = 0, open_bytes = 7");
    bed.gateway.signal("HUP").unwrap();
    bed.logged("the settings stay as they are");
    assert!(bed.log().contains("open_calls = 0: a whole number from 1"));
    assert_eq!(turn(2).1, "served");
    settings(bed.folder.path(), &[worker], "deferred_time = s(9), tick = ms(2)", "");
    bed.gateway.signal("HUP").unwrap();
    bed.logged("this needs a restart");
    settings(bed.folder.path(), &[worker], "", "open_bytes = kb(0)");
    bed.gateway.signal("HUP").unwrap();
    bed.logged("new settings are in force");
    assert_eq!(turn(3), (3, "refused".into(), "gateway-bytes".into()));
}
