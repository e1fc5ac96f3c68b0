//! The directory without its sockets: which answers count, and when it is asked.

use hickory_proto::op::{Message, MessageType, OpCode};
use hickory_proto::rr::rdata::SOA;
use hickory_proto::rr::{Name, RData, Record};

use super::*;

fn told(id: u16, serial: u32) -> Vec<u8> {
    let name = || Name::from_ascii("farm.lan.").unwrap();
    let mut message = Message::new(id, MessageType::Response, OpCode::Query);
    let soa = SOA::new(name(), name(), serial, 1, 1, 1, 1);
    message.add_authority(Record::from_rdata(name(), 1, RData::SOA(soa)));
    message.to_vec().unwrap()
}

#[test]
fn only_a_whole_answer_to_a_recent_question_that_is_newer_counts() {
    let mut directory = Directory::new(0, ([127, 0, 0, 1], 9).into(), 5, 40, 1_000_000);
    directory.questions.extend([41, 42].map(|id| Question { id, asked: 1 }));
    assert!(directory.answered(1, &told(43, 9)).is_none(), "another id");
    assert!(directory.answered(1, &told(41, 9)[..20]).is_none(), "cut");
    assert!(directory.answered(1, &[]).is_none() && directory.answered(1, &[0, 41]).is_none());
    assert!(directory.answered(1, &told(41, 4)).is_none(), "older");
    assert!(directory.answered(1, &told(41, 5)).is_none(), "known");
    assert_eq!(directory.answered(1, &told(42, 6)).map(|listing| listing.serial), Some(6));
    assert!(directory.answered(1, &told(42, 6)).is_none(), "a second copy");
    assert_eq!(directory.serial(), 6);
}

#[test]
fn it_is_asked_well_within_the_grace_and_soon_again_when_an_answer_is_missing() {
    for (grace, period) in [(1_000_000, 200_000), (500_000, 100_000), (0, 50_000), (60_000_000, 200_000)] {
        let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        let mut hub = Hub::new(cresswheel_transport::HubLimits::default()).unwrap();
        let mut directory = Directory::new(0, socket.local_addr().unwrap(), 5, 40, grace);
        directory.tick(&mut hub, 0);
        assert!(directory.answered(1_000, &told(41, 5)).is_none());
        assert_eq!(directory.next_due(), period, "an answer, though nothing new");
        // One that is lost is asked for again, a few times in a row, then at the usual pace.
        let mut asked = vec![period];
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
        // The next good answer brings the usual pace back.
        let last = directory.id;
        assert!(directory.answered(asked[8] + 1, &told(last, 5)).is_none());
        assert_eq!((directory.age.unanswered, directory.next_due()), (0, asked[9]));
    }
}

#[test]
fn an_older_list_is_no_answer_and_a_late_one_makes_the_list_as_old_as_its_question() {
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut hub = Hub::new(cresswheel_transport::HubLimits::default()).unwrap();
    let mut directory = Directory::new(2_000_000, socket.local_addr().unwrap(), 5, 40, 1_000_000);
    assert_eq!(directory.age().as_of, 500_000, "the configuration holds what was told by the start");
    directory.tick(&mut hub, 2_000_000);
    directory.tick(&mut hub, 2_050_000);
    assert!(directory.answered(2_060_000, &told(41, 4)).is_none());
    assert_eq!((directory.age().as_of, directory.age().unanswered), (500_000, 2), "an older list");
    assert!(directory.answered(2_060_000, &told(41, 6)).is_some());
    let age = directory.age();
    assert_eq!((age.as_of, age.heard, age.first_unanswered), (2_000_000, 2_060_000, Some(2_050_000)));
    // An answer to an earlier question that comes behind a later one's makes nothing older.
    assert!(directory.answered(2_070_000, &told(42, 6)).is_none());
    assert!(directory.answered(2_080_000, &told(41, 6)).is_none());
    assert_eq!((directory.age().as_of, directory.age().first_unanswered), (2_050_000, None));
}

#[test]
fn sockets_that_are_given_up_are_listened_to_for_a_while_and_few_of_them() {
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut hub = Hub::new(cresswheel_transport::HubLimits::default()).unwrap();
    let mut directory = Directory::new(0, socket.local_addr().unwrap(), 5, 40, 1_000_000);
    let mut asked_on = Vec::new();
    for _ in 0..100 {
        let due = directory.next_due();
        directory.tick(&mut hub, due);
        asked_on.extend(directory.socket);
        assert!(directory.former.len() <= FORMER_SOCKETS && directory.questions.len() < REMEMBERED);
    }
    asked_on.dedup();
    assert!(asked_on.len() > FORMER_SOCKETS + 1, "it tried others: {asked_on:?}");
    assert!(directory.is_ours(directory.former[0].number), "answers to it still count");
}
