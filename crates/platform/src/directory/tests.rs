//! Which answers count, and when the directory is queried, without network I/O.

use hickory_proto::op::{Message, MessageType, OpCode};
use hickory_proto::rr::rdata::SOA;
use hickory_proto::rr::{Name, RData, Record};

use super::*;

fn answer(id: u16, serial: u32) -> Vec<u8> {
    let name = || Name::from_ascii("farm.lan.").unwrap();
    let mut message = Message::new(id, MessageType::Response, OpCode::Query);
    let soa = SOA::new(name(), name(), serial, 1, 1, 1, 1);
    message.add_authority(Record::from_rdata(name(), 1, RData::SOA(soa)));
    message.to_vec().unwrap()
}

/// A directory client that knows list 5, and the socket that it queries.
fn directory_with_list(now: Micros, grace: Micros) -> (Directory, EventLoop, std::net::UdpSocket) {
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let hub = EventLoop::new(cresswheel_transport::EventLoopLimits::default()).unwrap();
    let known = HostList { serial: 5, hosts: Vec::new() };
    (Directory::new(now, socket.local_addr().unwrap(), known, 40, grace), hub, socket)
}

#[test]
fn only_whole_answers_to_recent_queries_count_and_three_that_agree_change_the_list() {
    let (mut directory, _, _) = directory_with_list(0, 1_000_000);
    directory.queries.extend([41, 42, 43, 44].map(|id| Query {
        id,
        asked: Micros::from(id),
        is_answered: false,
    }));
    let untouched =
        |directory: &Directory| !directory.evidence.has_discrepancy() && directory.list().number == 5;
    assert!(!directory.answered(99, &answer(45, 9)) && untouched(&directory), "another id");
    assert!(!directory.answered(99, &answer(41, 9)[..20]) && untouched(&directory), "cut");
    assert!(!directory.answered(99, &[]) && !directory.answered(99, &[0, 41]) && untouched(&directory));
    assert!(!directory.answered(99, &answer(41, 5)) && untouched(&directory), "known");
    assert!(!directory.answered(99, &answer(42, 6)) && !untouched(&directory), "news");
    assert!(
        !directory.answered(99, &answer(42, 6)) && !directory.answered(99, &answer(42, 6)),
        "second copies"
    );
    assert!(!directory.answered(99, &answer(43, 6)), "two of three");
    assert_eq!(directory.list().number, 5);
    assert!(directory.answered(99, &answer(44, 6)));
    assert!(!directory.evidence.has_discrepancy() && directory.list().number == 6);
}

#[test]
fn queries_are_sent_within_the_grace_and_retried_when_an_answer_is_missing() {
    for (grace, period) in [(1_000_000, 200_000), (500_000, 100_000), (0, 50_000), (60_000_000, 200_000)] {
        let mut due = 2_000_000;
        let (mut directory, mut hub, _socket) = directory_with_list(due, grace);
        // The age of the configuration's list is unknown: the first answers are wanted soon.
        for id in 41..44 {
            directory.tick(&mut hub, due);
            assert!(!directory.answered(due + 1_000, &answer(id, 5)));
            assert_eq!(directory.next_due(), due + if id < 43 { period / 4 } else { period });
            due = directory.next_due();
        }
        // A lost answer is queried again, a few times in a row, then at the normal period.
        let mut asked = vec![due];
        for _ in 0..9 {
            let due = *asked.last().unwrap();
            directory.tick(&mut hub, due - 1);
            assert_eq!(directory.next_due(), due, "not before its time");
            directory.tick(&mut hub, due);
            asked.push(directory.next_due());
        }
        let gaps: Vec<Micros> = asked.windows(2).map(|pair| pair[1] - pair[0]).collect();
        assert_eq!(gaps, [[period / 4].repeat(7), vec![period; 2]].concat());
        assert!(grace == 0 || grace < period * 5 || asked[4] - asked[0] <= grace / 5);
        // The next good answer restores the normal period.
        let last = directory.id;
        assert!(!directory.answered(asked[8] + 1, &answer(last, 5)));
        assert_eq!(directory.age.unanswered_polls, 0);
        for answers in 2..=3 {
            let due = directory.next_due();
            directory.tick(&mut hub, due);
            assert!(!directory.answered(due + 1, &answer(directory.id, 5)));
            let expected = if answers < 3 { period / 4 } else { period };
            assert_eq!(
                directory.next_due(),
                due + expected,
                "the list is as old as before the losses until three agree"
            );
        }
    }
}

#[test]
fn an_older_list_does_not_refresh_the_age_and_the_list_dates_from_the_first_of_three_queries() {
    let (mut directory, mut hub, _socket) = directory_with_list(2_000_000, 1_000_000);
    assert_eq!(directory.age().as_of, 500_000, "the configuration holds what was told by the start");
    let ask = |directory: &mut Directory, hub: &mut EventLoop| {
        let due = directory.next_due();
        directory.tick(hub, due);
        due
    };
    let old = ask(&mut directory, &mut hub);
    assert!(!directory.answered(old + 10_000, &answer(41, 4)));
    assert_eq!((directory.age().as_of, directory.age().unanswered_polls), (500_000, 1), "an older list");
    let times = [0; 4].map(|_| ask(&mut directory, &mut hub));
    assert_eq!(times.map(|time| time - old), [50_000, 100_000, 150_000, 200_000], "and is asked again soon");
    assert!(!directory.answered(times[3], &answer(42, 6)) && !directory.answered(times[3], &answer(43, 6)));
    assert_eq!((directory.age().as_of, directory.age().unanswered_polls), (500_000, 5), "two of three");
    assert!(directory.answered(times[3] + 1, &answer(44, 6)));
    let age = directory.age();
    assert_eq!((age.as_of, age.received_at, age.next_poll_at), (times[0], times[3], Some(times[1])));
    assert_eq!((age.unanswered_polls, age.polling_interrupted), (0, false));
    // A late answer to an earlier query makes nothing older.
    assert!(!directory.answered(times[3] + 2, &answer(45, 6)));
    assert!(!directory.answered(times[3] + 3, &answer(42, 6)));
    assert_eq!(directory.age().as_of, times[1]);
    // The process is paused: earlier queries say nothing about that time.
    directory.tick(&mut hub, times[3] + 3_000_000);
    assert!(!directory.answered(times[3] + 3_000_001, &answer(46, 6)));
    assert_eq!((directory.age().as_of, directory.age().polling_interrupted), (times[2], true));
}

#[test]
fn queries_are_frequent_until_answers_agree_and_contradictions_are_counted() {
    let (mut directory, mut hub, _socket) = directory_with_list(0, 1_000_000);
    for serial in [9, 6, 6, 6] {
        let due = directory.next_due();
        directory.tick(&mut hub, due);
        directory.answered(due, &answer(directory.id, serial));
        let expected = if directory.evidence.has_discrepancy() { 50_000 } else { 200_000 };
        assert_eq!(directory.next_due() - due, expected);
    }
    assert_eq!(directory.list().number, 6);
    let counted = directory.contradictions();
    assert_eq!((counted.settled, counted.overturned, counted.longest), (1, 0, 150_000));
}

#[test]
fn a_limited_number_of_retired_sockets_is_still_read_for_a_while() {
    let (mut directory, mut hub, _socket) = directory_with_list(0, 1_000_000);
    let mut asked_on = Vec::new();
    for _ in 0..100 {
        let due = directory.next_due();
        directory.tick(&mut hub, due);
        asked_on.extend(directory.socket);
        assert!(directory.retired.len() <= MAX_RETIRED_SOCKETS && directory.queries.len() < MAX_QUERIES);
    }
    asked_on.dedup();
    assert!(asked_on.len() > MAX_RETIRED_SOCKETS + 1, "it tried others: {asked_on:?}");
    assert!(directory.is_ours(directory.retired[0].number), "answers to it still count");
}
