//! One call at a time: who gets which answer, when, and what the module is told.

use cresswheel::{Class, Effect, Group, Settings, WhenAbsent};
use cresswheel_engine::*;
use cresswheel_protocol::{Ending, Listed, Shape, Standing, Status};

const MS: u64 = 1_000;
const S: u64 = 1_000_000;

fn settings() -> EngineSettings {
    let class = |name: &str, effect| Class {
        name: name.into(),
        aim: 600 * MS,
        give_up: 5 * S,
        effect,
        streamed: false,
        worth: 1.0,
        late_worth: 0.3,
    };
    let keyed = Effect::Keyed { group: Group::Zone, memory: 2 * S };
    EngineSettings {
        module: Settings {
            classes: vec![class("check", Effect::Safe), class("post", Effect::Unsafe), class("keyed", keyed)],
            keep_alive: 10 * S,
            when_absent: WhenAbsent::Load,
            may_order: true,
            may_cancel: true,
            max_attempts: 4,
            order_timeout: 10 * S,
            ..Settings::default()
        },
        admission: AdmissionLimits { open_calls: 50, open_bytes: 1_000, per_connection: 20, functions: 100 },
        results: ResultLimits { keep: 60 * S, bytes: 3_000 },
        answer_margin: 10 * MS,
        most_time: 100 * S,
        deferred_time: 20 * S,
    }
}

fn call(class: &str) -> Call {
    Call {
        deferred: false,
        function: "f".into(),
        class: class.into(),
        tenant: String::new(),
        key: String::new(),
        trace: String::new(),
        time_left: 0,
        shape: Shape { memory_mb: 100, lanes: 4, load_time: 0, work: 0 },
        body: b"in".to_vec(),
        account: None,
        route: None,
        is_key_for_workers: false,
    }
}

struct Bed {
    engine: Engine,
    now: u64,
    next: u64,
}

impl Bed {
    fn new(workers: usize) -> Self {
        Self::of(settings(), workers)
    }

    fn of(settings: EngineSettings, workers: usize) -> Self {
        let mut bed = Self { engine: Engine::new(settings, 7).unwrap(), now: 1_700_000_000 * S, next: 0 };
        let workers = (0..workers).map(|n| Listed {
            id: format!("w{n}"),
            address: format!("127.0.0.1:{}", 9000 + n),
            zone: "a".into(),
            kind: "std".into(),
            cell: 0,
            standing: Standing::In,
            started: 0,
        });
        let workers = workers.collect();
        bed.give(Input::List { whole: true, workers });
        bed
    }

    fn give(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.engine.handle(self.now, input, &mut out);
        out
    }

    fn ask(&mut self, call: Call) -> (Client, Vec<Output>) {
        self.next += 1;
        let client = Client { connection: 1, number: self.next };
        (client, self.give(Input::Call(client, call)))
    }

    /// Lets time pass, with the wake-ups that were asked for.
    fn pass(&mut self, span: u64) -> Vec<Output> {
        let until = self.now + span;
        let mut out = Vec::new();
        while let Some(at) = self.engine.wake_at().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            out.extend(self.give(Input::Wake));
        }
        self.now = until;
        out
    }
}

#[test]
fn a_keyed_repeat_that_has_not_left_is_taken_back_before_the_workers_forget_the_first() {
    let mut bed = Bed::new(2);
    let (_, out) = bed.ask(call("keyed"));
    let first = runs(&out)[0].number;
    bed.pass(100 * MS);
    let out = bed.give(Input::AttemptEnded(first, AttemptEnd::Broken, Vec::new(), None));
    let repeat = runs(&out)[0].number;
    // It waits for a connection, say, up to the end of the two seconds for which workers remember the first.
    let taken_back =
        |out: &[Output]| out.iter().any(|o| matches!(o, Output::Withdraw(_, attempt) if *attempt == repeat));
    assert!(!taken_back(&bed.pass(1_890 * MS)), "there is time yet");
    assert!(taken_back(&bed.pass(10 * MS)), "it may not begin any more");
    // Nothing of it had left, so it never ran; the window is over, and no other attempt is begun.
    let out = bed.give(Input::AttemptEnded(repeat, AttemptEnd::TakenBack, Vec::new(), None));
    assert!(runs(&out).is_empty() && runs(&bed.pass(5 * S)).is_empty());
    assert_eq!(bed.engine.open_calls(), 0);
}

fn runs(out: &[Output]) -> Vec<&Attempt> {
    out.iter().filter_map(|o| if let Output::Run(attempt) = o { Some(attempt) } else { None }).collect()
}

fn answers(out: &[Output]) -> Vec<(u64, Status, &'static str)> {
    let answer = |o: &Output| match o {
        Output::Answer(client, answer) => Some((client.number, answer.status, answer.reason)),
        _ => None,
    };
    out.iter().filter_map(answer).collect()
}

fn accepted(out: &[Output]) -> String {
    let id = out.iter().find_map(|o| if let Output::Accepted(_, id) = o { Some(id.clone()) } else { None });
    id.expect("accepted")
}

const OK: AttemptEnd = AttemptEnd::Answered(Ending::Ok, 0);

#[test]
fn a_served_call_and_a_second_answer_to_it() {
    let mut bed = Bed::new(3);
    let (client, out) = bed.ask(call("check"));
    let attempt = runs(&out)[0].number;
    let out = bed.give(Input::AttemptEnded(attempt, OK, b"out".to_vec(), None));
    assert_eq!(answers(&out), [(client.number, Status::Served, "")]);
    let again = bed.give(Input::AttemptEnded(attempt, OK, b"out".to_vec(), None));
    let unknown = bed.give(Input::AttemptEnded(999, OK, Vec::new(), None));
    assert!(answers(&again).is_empty() && answers(&unknown).is_empty());
    bed.give(Input::AttemptEnded(attempt, AttemptEnd::NotWritten, Vec::new(), None));
    assert_eq!(bed.engine.counters().late_answers, 2, "what is taken back is no answer");
    assert_eq!((bed.engine.open_calls(), bed.engine.open_attempts()), (0, 0));
}

#[test]
fn a_post_whose_connection_broke_runs_no_second_time_and_fails_in_time() {
    let mut bed = Bed::new(3);
    let (client, out) = bed.ask(call("post"));
    let start = bed.now;
    let out = bed.give(Input::AttemptEnded(runs(&out)[0].number, AttemptEnd::Broken, Vec::new(), None));
    assert!(runs(&out).is_empty());
    let out = [out, bed.pass(6 * S)].concat();
    assert_eq!(answers(&out), [(client.number, Status::Failed, "broken")]);
    assert!(runs(&out).is_empty());
    assert!(bed.now > start);
}

#[test]
fn a_post_that_this_side_cut_off_runs_no_second_time_and_fails_in_time() {
    let mut bed = Bed::new(3);
    let (client, out) = bed.ask(call("post"));
    let out = bed.give(Input::AttemptEnded(runs(&out)[0].number, AttemptEnd::CutOff, Vec::new(), None));
    let out = [out, bed.pass(6 * S)].concat();
    assert!(runs(&out).is_empty());
    assert_eq!(answers(&out), [(client.number, Status::Failed, "cut-off")]);
}

#[test]
fn a_post_that_never_left_goes_elsewhere() {
    for end in [AttemptEnd::NotConnected, AttemptEnd::NotWritten, AttemptEnd::Answered(Ending::Full, 0)] {
        let mut bed = Bed::new(3);
        let (_, out) = bed.ask(call("post"));
        let first = runs(&out)[0].clone();
        let out = bed.give(Input::AttemptEnded(first.number, end, Vec::new(), None));
        let second = runs(&out)[0];
        assert_ne!(second.worker, first.worker, "{end:?}");
        assert_eq!((second.before, &second.id), (1, &first.id));
    }
}

#[test]
fn silence_ends_every_call_before_its_clients_deadline() {
    for class in ["check", "post", "keyed"] {
        let mut bed = Bed::new(2);
        let (client, _) = bed.ask(Call { time_left: 700 * MS, ..call(class) });
        let out = bed.pass(700 * MS - 1);
        let last = answers(&out);
        assert_eq!(last.len(), 1, "{class}");
        let harmless = class == "check";
        assert_eq!(last[0].1, if harmless { Status::Refused } else { Status::Failed }, "{class}");
        assert_eq!(last[0].0, client.number);
        assert!(answers(&bed.pass(20 * S)).is_empty());
        assert_eq!((bed.engine.open_calls(), bed.engine.open_attempts()), (0, 0));
    }
}

#[test]
fn answer_and_time_out_in_the_same_tick_give_one_answer() {
    for answer_first in [true, false] {
        let mut bed = Bed::new(2);
        let (client, out) = bed.ask(Call { time_left: 600 * MS, ..call("post") });
        let attempt = runs(&out)[0].number;
        bed.now += 590 * MS;
        let mut out = Vec::new();
        if answer_first {
            out.extend(bed.give(Input::AttemptEnded(attempt, OK, Vec::new(), None)));
            out.extend(bed.give(Input::Wake));
        } else {
            out.extend(bed.give(Input::Wake));
            out.extend(bed.give(Input::AttemptEnded(attempt, OK, Vec::new(), None)));
        }
        let want = if answer_first { Status::Served } else { Status::Failed };
        let got = answers(&[out, bed.pass(S)].concat());
        assert_eq!(got.iter().map(|a| (a.0, a.1)).collect::<Vec<_>>(), [(client.number, want)]);
    }
}

#[test]
fn connections_that_stood_and_broke_before_a_byte_left_are_not_held_against_the_worker() {
    for (end, stays) in [(AttemptEnd::NotWritten, true), (AttemptEnd::NotConnected, false)] {
        let mut bed = Bed::new(3);
        let (_, out) = bed.ask(call("check"));
        let first = runs(&out)[0].clone();
        let out = bed.give(Input::AttemptEnded(first.number, end, Vec::new(), None));
        bed.give(Input::AttemptEnded(runs(&out)[0].number, OK, Vec::new(), None));
        let others = (0..12).map(|n| Call { function: format!("f{n}"), ..call("check") });
        let homes: Vec<_> = others.map(|other| runs(&bed.ask(other).1)[0].worker.clone()).collect();
        assert_eq!(homes.contains(&first.worker), stays, "{end:?}");
    }
}

#[test]
fn connections_that_this_side_cut_off_are_not_held_against_the_worker() {
    for (end, stays) in [(AttemptEnd::CutOff, true), (AttemptEnd::Broken, false)] {
        let mut bed = Bed::new(3);
        let attempts: Vec<Attempt> = (0..12)
            .map(|n| runs(&bed.ask(Call { function: format!("f{n}"), ..call("post") }).1)[0].clone())
            .collect();
        let worker = attempts[0].worker.clone();
        for attempt in attempts.iter().filter(|attempt| attempt.worker == worker) {
            bed.give(Input::AttemptEnded(attempt.number, end, Vec::new(), None));
        }
        let others = (0..12).map(|n| Call { function: format!("g{n}"), ..call("post") });
        let homes: Vec<_> = others.map(|other| runs(&bed.ask(other).1)[0].worker.clone()).collect();
        assert_eq!(homes.contains(&worker), stays, "{end:?}");
    }
}

#[test]
fn a_client_that_leaves_gets_nothing_and_its_unsent_attempt_is_taken_back() {
    let mut bed = Bed::new(2);
    let (_, out) = bed.ask(call("post"));
    let attempt = runs(&out)[0].number;
    let out = bed.give(Input::Left(1));
    assert!(out.iter().any(|o| matches!(o, Output::Withdraw(_, a) if *a == attempt)));
    let out = bed.give(Input::AttemptEnded(attempt, AttemptEnd::NotWritten, Vec::new(), None));
    assert!(runs(&out).is_empty() && answers(&out).is_empty());
    assert!(answers(&bed.pass(20 * S)).is_empty());
    assert_eq!(bed.engine.counters().abandoned, 1);
}

#[test]
fn a_deferred_call_outlives_its_connection_and_its_result_expires() {
    let mut bed = Bed::new(2);
    let (_, out) = bed.ask(Call { deferred: true, ..call("post") });
    let id = accepted(&out);
    let attempt = runs(&out)[0].number;
    bed.give(Input::Left(1));
    let ask = |n| Client { connection: 2, number: n };
    assert_eq!(answers(&bed.give(Input::Await(ask(1), id.clone(), 0)))[0].1, Status::Pending);
    assert!(answers(&bed.give(Input::Await(ask(2), id.clone(), S))).is_empty());
    assert_eq!(answers(&bed.pass(2 * S)), [(2, Status::Pending, "pending")]);
    bed.give(Input::Await(ask(3), id.clone(), 10 * S));
    let out = bed.give(Input::AttemptEnded(attempt, OK, b"out".to_vec(), None));
    assert_eq!(answers(&out), [(3, Status::Served, "")]);
    assert_eq!(answers(&bed.give(Input::Await(ask(4), id.clone(), 0)))[0].1, Status::Served);
    bed.pass(61 * S);
    assert_eq!(answers(&bed.give(Input::Await(ask(5), id, 0)))[0].1, Status::Expired);
    assert_eq!(answers(&bed.give(Input::Await(ask(6), "no".into(), 0)))[0].1, Status::Unknown);
}

#[test]
fn ids_and_keys_of_a_former_life_stand_for_nothing_in_the_next() {
    let lives = [7, 8].map(|life| {
        let mut bed = Bed::new(1);
        bed.engine = Engine::new(settings(), life).unwrap();
        let (_, out) = bed.ask(Call { deferred: true, key: "k".into(), ..call("check") });
        (bed, accepted(&out))
    });
    let [(_, former), (mut bed, present)] = lives;
    assert_ne!(former, present, "each begins with its first call");
    // The former life's id is unknown, not this life's first call; its key is free for another call.
    let await_former = Input::Await(Client { connection: 2, number: 1 }, former, 0);
    assert!(matches!(answers(&bed.give(await_former))[..], [(1, Status::Unknown, _)]));
    let mut next = Bed::new(1);
    let (_, out) = next.ask(Call { key: "k".into(), body: b"other".to_vec(), ..call("check") });
    assert_eq!(runs(&out).len(), 1);
}

#[test]
fn results_stay_within_their_memory_the_oldest_go() {
    let mut bed = Bed::new(2);
    let mut ids = Vec::new();
    for _ in 0..6 {
        let (_, out) = bed.ask(Call { deferred: true, ..call("check") });
        ids.push(accepted(&out));
        bed.give(Input::AttemptEnded(runs(&out)[0].number, OK, vec![0; 300], None));
        assert!(bed.engine.result_bytes() <= 3_000);
    }
    let mut status = |n: u64| {
        answers(&bed.give(Input::Await(Client { connection: 3, number: n }, ids[n as usize].clone(), 0)))[0].1
    };
    assert_eq!((status(0), status(5)), (Status::Expired, Status::Served));
}

#[test]
fn a_repeat_by_key_joins_the_first_try_and_later_gets_its_result() {
    let mut bed = Bed::new(2);
    let keyed = Call { key: "k".into(), ..call("post") };
    let (first, out) = bed.ask(keyed.clone());
    let attempt = runs(&out)[0].number;
    let (second, out) = bed.ask(keyed.clone());
    assert!(runs(&out).is_empty());
    let (hasty, out) = bed.ask(Call { time_left: 100 * MS, ..keyed.clone() });
    assert!(runs(&out).is_empty());
    assert_eq!(answers(&bed.pass(100 * MS)), [(hasty.number, Status::Failed, "still-running")]);
    let (other, out) = bed.ask(Call { body: b"else".to_vec(), ..keyed.clone() });
    assert_eq!(answers(&out), [(other.number, Status::Refused, "key-in-use")]);
    let out = bed.give(Input::AttemptEnded(attempt, OK, b"out".to_vec(), None));
    let both = [(first.number, Status::Served, ""), (second.number, Status::Served, "")];
    assert_eq!(answers(&out), both);
    let (late, out) = bed.ask(keyed);
    assert_eq!(answers(&out), [(late.number, Status::Served, "")]);
    assert!(runs(&out).is_empty());
}

#[test]
fn a_refused_key_is_free_again_and_a_failed_one_is_not() {
    let mut bed = Bed::new(0);
    let keyed = Call { key: "k".into(), time_left: 100 * MS, ..call("post") };
    bed.ask(keyed.clone());
    assert_eq!(answers(&bed.pass(100 * MS))[0].1, Status::Refused);
    let mut bed = Bed::new(1);
    let (_, out) = bed.ask(keyed.clone());
    assert_eq!(runs(&out).len(), 1);
    assert_eq!(answers(&bed.pass(100 * MS))[0].1, Status::Failed);
    let (_, out) = bed.ask(keyed);
    assert!(runs(&out).is_empty(), "it may have run");
    assert_eq!(answers(&out)[0].1, Status::Failed);
}

#[test]
fn each_bound_has_its_reason() {
    let mut bed = Bed::new(0);
    let mut why = |call: Call| answers(&bed.ask(call).1).first().map(|a| (a.1, a.2));
    assert_eq!(why(call("nonsense")), Some((Status::Refused, "unknown-class")));
    assert_eq!(
        why(Call { function: String::new(), ..call("check") }),
        Some((Status::Refused, "no-function"))
    );
    assert_eq!(why(Call { time_left: 5 * MS, ..call("check") }), Some((Status::Refused, "no-time")));
    assert_eq!(why(Call { body: vec![0; 1_001], ..call("check") }), Some((Status::Refused, "gateway-bytes")));
    for _ in 0..20 {
        assert_eq!(why(call("check")), None);
    }
    assert_eq!(why(call("check")), Some((Status::Refused, "connection-full")));
    let mut bed = Bed::new(0);
    for connection in 0..51 {
        let client = Client { connection, number: 1 };
        let out = bed.give(Input::Call(client, call("check")));
        let full = answers(&out).first().is_some_and(|a| a.2 == "gateway-full");
        assert_eq!(full, connection == 50);
    }
    let out = bed.give(Input::Call(Client { connection: 3, number: 1 }, call("check")));
    assert!(matches!(out[..], [Output::Close(3, _)]));
}

#[test]
fn a_stop_answers_all_by_the_rules_and_takes_nothing_new() {
    let mut bed = Bed::new(2);
    let (check, _) = bed.ask(call("check"));
    let (post, _) = bed.ask(call("post"));
    let mut lone = Bed::new(0);
    let (unsent, _) = lone.ask(call("post"));
    let mut got = answers(&bed.give(Input::Stop));
    got.sort();
    assert_eq!(got, [(check.number, Status::Refused, "stopping"), (post.number, Status::Failed, "stopping")]);
    assert_eq!(answers(&lone.give(Input::Stop)), [(unsent.number, Status::Refused, "stopping")]);
    assert_eq!(answers(&bed.ask(call("check")).1)[0].2, "stopping");
}

#[test]
fn an_attempt_that_was_taken_back_is_not_booked_on_its_worker() {
    let mut bed = Bed::new(5);
    let mut workers = Vec::new();
    for _ in 0..4 {
        let (_, out) = bed.ask(call("check"));
        let attempt = runs(&out)[0].clone();
        workers.push(attempt.worker.clone());
        bed.give(Input::Left(1));
        bed.give(Input::AttemptEnded(attempt.number, AttemptEnd::TakenBack, Vec::new(), None));
    }
    assert!(workers.iter().all(|worker| *worker == workers[0]), "{workers:?}");
}

#[test]
fn an_attempt_that_nothing_was_heard_of_is_overdue_and_says_how_long_it_may_take() {
    let mut bed = Bed::new(2);
    let (_, out) = bed.ask(Call { time_left: 700 * MS, ..call("post") });
    let attempt = runs(&out)[0].clone();
    assert_eq!(attempt.timeout, 690 * MS, "the rest of its time, short of the margin");
    let out = bed.pass(700 * MS - 1);
    assert!(out.iter().any(|o| matches!(o, Output::Overdue(_, number) if *number == attempt.number)));
    assert_eq!(answers(&out).len(), 1);
}

#[test]
fn an_order_that_was_cut_off_is_given_again_to_the_same_worker() {
    for (end, same) in [(OrderEnd::CutOff, true), (OrderEnd::NotConnected, false)] {
        let mut settings = settings();
        settings.module.when_absent = WhenAbsent::Miss;
        let mut bed = Bed::of(settings, 5);
        let holds = |out: &[Output]| -> Vec<(u64, String)> {
            let hold = |o: &Output| match o {
                Output::Hold { order, worker, .. } => Some((*order, worker.to_string())),
                _ => None,
            };
            out.iter().filter_map(hold).collect()
        };
        let (_, out) = bed.ask(call("check"));
        let first = holds(&out)[0].clone();
        let (mut next, mut to) = (first.0, Vec::new());
        for _ in 0..4 {
            let out = bed.give(Input::OrderEnded(next, end, 0));
            let Some(hold) = holds(&out).first().cloned() else { break };
            next = hold.0;
            to.push(hold.1);
        }
        assert!(!to.is_empty());
        assert_eq!(to.iter().all(|worker| *worker == first.1), same, "{end:?}: {} then {to:?}", first.1);
    }
}

#[test]
fn names_without_end_are_taken_as_long_as_old_ones_are_forgotten() {
    let mut bed = Bed::new(3);
    let limit = settings().admission.functions;
    for n in 0..5 * limit {
        let (client, out) = bed.ask(Call { function: format!("made-up-{n}"), ..call("check") });
        assert!(answers(&out).is_empty(), "{n}: {out:?}");
        let mut out = out;
        while let Some(attempt) = runs(&out).first().map(|attempt| attempt.number) {
            let end = AttemptEnd::Answered(Ending::Error, 0);
            out = bed.give(Input::AttemptEnded(attempt, end, Vec::new(), None));
        }
        assert_eq!(answers(&out), [(client.number, Status::Refused, "error")]);
        bed.pass(200 * MS);
    }
}
