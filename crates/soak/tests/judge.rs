//! Each rule of the soak on records made up for it: what must hold does, and what must be found is.

use cresswheel_protocol::{ListedWorker, MemberState, Micros};
use cresswheel_soak::judge::{Rule, judge};
use cresswheel_soak::plan::{Fault, ProcessFault, Size, draw};
use cresswheel_soak::records::{Arrival, Book, Dealt, End, Life, Records, Request, RequestId, Span, Told};
use cresswheel_soak::roster::{Event, Events};

const S: Micros = 1_000_000;
const MS: Micros = 1_000;
const ID: RequestId = RequestId { gateway: 0, life: 0, number: 1 };

fn records() -> Records {
    let mut records = Book::new(1).write(std::mem::take);
    records.lives = vec![vec![Life {
        started: 0,
        ready: Some(1),
        knows: 1,
        terminated: None,
        killed: None,
        ended: None,
    }]];
    records
}

fn asked(records: &mut Records, end: Option<(Micros, End)>) -> &mut Request {
    let request = Request { is_unsafe: true, sent: 10 * S, wait: S, end, further_answers: 0 };
    records.requests.insert(ID, request);
    records.requests.get_mut(&ID).unwrap()
}

fn arrived(records: &mut Records, at: Micros, dealt: Dealt) {
    let host = "h".into();
    records.arrivals.push(Arrival { request: Some(ID), gateway: 0, host, at, patience: 0, dealt });
}

fn event(at: Micros, standing: MemberState) -> Event {
    let text = String::new;
    let host = ListedWorker {
        id: "h".into(),
        address: text(),
        zone: text(),
        kind: text(),
        cell: 0,
        standing,
        started: 0,
    };
    Event { at, host }
}

/// The host stands from the start, and drains at the tenth second.
fn drains() -> Events {
    Events(vec![event(0, MemberState::Active), event(10 * S, MemberState::Draining)])
}

fn found(records: &Records) -> Vec<Rule> {
    judge(records, &drains()).into_iter().map(|found| found.rule).collect()
}

fn served() -> Option<(Micros, End)> {
    Some((10 * S + 500 * MS, End::Answered(0)))
}

#[test]
fn a_request_is_lost_without_an_answer_in_its_time() {
    for (end, lost) in [
        (served(), false),
        (Some((11 * S + 500 * MS, End::Answered(13))), false),
        (Some((11 * S + 501 * MS, End::Answered(13))), true),
        (None, true),
        (Some((10 * S + 50 * MS, End::Closed)), false),
        (Some((10 * S + 51 * MS, End::Closed)), true),
        (Some((10 * S + 51 * MS, End::Left)), false),
    ] {
        let mut records = records();
        asked(&mut records, end);
        assert_eq!(found(&records), [Rule::Lost].repeat(lost.into()), "{end:?}");
    }
    // What frees a gateway: it was killed, or it stood still as the time ended.
    let frees: [fn(&mut Records); 2] = [
        |records| records.lives[0][0].killed = Some(10 * S),
        |records| records.freezes[0].push(Span { from: 10 * S, to: 12 * S }),
    ];
    for (number, free) in frees.iter().enumerate() {
        let mut records = records();
        let late = Some((12 * S, End::Answered(8)));
        asked(&mut records, if number == 1 { late } else { None });
        assert_eq!(found(&records), [Rule::Lost]);
        free(&mut records);
        assert_eq!(found(&records), [], "{number}");
    }
    // What came late after SIGTERM is owed its answer all the same; so is what SIGKILL found unanswered.
    for end in [None, Some((11 * S, End::Closed))] {
        let mut records = records();
        let life = &mut records.lives[0][0];
        (life.terminated, life.ended) = (Some(9 * S), Some((11 * S, true)));
        asked(&mut records, end);
        assert_eq!(found(&records), [Rule::Lost], "{end:?}");
    }
    let mut twice = records();
    asked(&mut twice, served()).further_answers = 1;
    assert_eq!(found(&twice), [Rule::Lost]);
}

#[test]
fn an_unsafe_request_runs_once_and_is_not_refused_then() {
    use Dealt::{Ran, TurnedAway};
    for (code, dealt, broken) in [
        (0, vec![TurnedAway, Ran], false),
        (8, vec![TurnedAway, TurnedAway], false),
        (13, vec![Ran], false),
        (0, vec![Ran, Ran], true),
        (8, vec![Ran], true),
    ] {
        let mut records = records();
        asked(&mut records, Some((10 * S + 1, End::Answered(code))));
        dealt.iter().for_each(|dealt| arrived(&mut records, 10 * S, *dealt));
        assert_eq!(found(&records), [Rule::Duplicate].repeat(broken.into()), "{code} {dealt:?}");
        records.requests.get_mut(&ID).unwrap().is_unsafe = false;
        assert_eq!(found(&records), [], "it may run again");
    }
}

/// Whether an attempt at this time is past the grace, with an answer of the directory, a silence and lateness.
fn is_past(at: Micros, told: Option<Micros>, silence: Option<Span>, late: Micros) -> bool {
    let mut records = records();
    arrived(&mut records, at, Dealt::Ran);
    records.told.extend(told.map(|at| Told { gateway: 0, life: 0, at, event: 2 }));
    records.silences[0].extend(silence);
    records.lateness.insert(at / (100 * MS), late);
    found(&records).contains(&Rule::Drain)
}

#[test]
fn a_drain_is_kept_from_its_news_on_and_the_grace() {
    let limit = 10 * S + 1_500 * MS + S + 50 * MS;
    assert!(!is_past(limit, None, None, 0) && is_past(limit + 1, None, None, 0));
    assert!(!is_past(limit + 1, None, None, 1), "the soak's own lateness counts for the gateway");
    let sent = 10 * S + 100 * MS;
    assert!(
        !is_past(sent + S + 50 * MS, Some(sent), None, 0) && is_past(sent + S + 51 * MS, Some(sent), None, 0)
    );
    // In a silence it counts as told 4.5 s after that began, or as usual after its end.
    let long = Some(Span { from: 9 * S, to: 30 * S });
    assert!(
        !is_past(13_500 * MS + S + 50 * MS, None, long, 0)
            && is_past(13_500 * MS + S + 51 * MS, None, long, 0)
    );
    let short = Some(Span { from: 9 * S, to: 10_500 * MS });
    assert!(!is_past(12 * S + S + 50 * MS, None, short, 0) && is_past(12 * S + S + 51 * MS, None, short, 0));
}

#[test]
fn a_start_that_knows_of_the_drain_is_told_by_it() {
    let mut records = records();
    let second = Life { started: 20 * S, ready: Some(20 * S), knows: 2, ..records.lives[0][0] };
    records.lives[0][0].killed = Some(19 * S);
    records.lives[0].push(second);
    arrived(&mut records, 21 * S + 50 * MS, Dealt::Ran);
    assert_eq!(found(&records), []);
    arrived(&mut records, 21 * S + 51 * MS, Dealt::Ran);
    assert_eq!(found(&records), [Rule::Drain]);
}

#[test]
fn nothing_begins_for_a_client_that_has_gone_nor_with_more_time_than_it_has() {
    let left = 9 * S;
    for (after, broken) in [(150 * MS, false), (151 * MS, true)] {
        let mut records = records();
        asked(&mut records, Some((left, End::Left))).sent = 8_900 * MS;
        arrived(&mut records, left + after, Dealt::TurnedAway);
        assert_eq!(found(&records), [Rule::ClientGone].repeat(broken.into()));
    }
    for (patience, broken) in [(650 * MS, false), (651 * MS, true)] {
        let mut records = records();
        asked(&mut records, served()).sent = 9 * S;
        arrived(&mut records, 9 * S + 500 * MS, Dealt::Ran);
        records.arrivals[0].patience = patience;
        assert_eq!(found(&records), [Rule::Patience].repeat(broken.into()));
    }
}

#[test]
fn a_process_is_ready_in_time_and_ends_only_when_it_is_told_to() {
    type Change = fn(&mut Life);
    let lives: [(Change, bool); 6] = [
        (|_| {}, false),
        (|life| life.ready = None, true),
        (|life| life.ready = Some(10 * S + 1), true),
        (|life| life.ended = Some((S, true)), true),
        (|life| (life.terminated, life.ended) = (Some(S), Some((2 * S, true))), false),
        (|life| (life.terminated, life.ended) = (Some(S), Some((2 * S, false))), true),
    ];
    for (number, (change, broken)) in lives.iter().enumerate() {
        let mut records = records();
        change(&mut records.lives[0][0]);
        assert_eq!(found(&records), [Rule::Process].repeat((*broken).into()), "{number}");
    }
    let mut records = records();
    records.own_word.push("left against a rule".into());
    assert_eq!(found(&records), [Rule::OwnWord]);
}

#[test]
fn a_seed_draws_the_same_faults_again_and_a_process_has_one_at_a_time() {
    let size = Size { gateways: 12, hosts: 6, lasts: 60 * S };
    let faults = draw(7, size);
    assert_eq!(faults, draw(7, size));
    assert_ne!(faults, draw(8, size));
    assert!(
        faults.windows(2).all(|pair| pair[0].at <= pair[1].at)
            && faults.iter().all(|fault| fault.at < size.lasts)
    );
    for gateway in 0..size.gateways {
        let mut free = 0;
        for planned in &faults {
            if let Fault::Process(of, fault) = planned.fault
                && of == gateway
            {
                assert!(planned.at >= free, "one after another");
                free = planned.at + if let ProcessFault::Freeze(span) = fault { span } else { 0 };
            }
        }
        assert!(free > 0, "each process has some");
    }
}
