//! Single calls: which client gets which answer and when, and what the dispatcher is notified of.

use cresswheel::{Class, Effect, Group, MissPolicy, Settings};
use cresswheel_engine::*;
use cresswheel_protocol::{Ending, FunctionProfile, ListedWorker, MemberState, Status};

const MS: u64 = 1_000;
const S: u64 = 1_000_000;

fn settings() -> EngineSettings {
    let class = |name: &str, effect| Class {
        name: name.into(),
        latency_objective: 600 * MS,
        client_timeout: 5 * S,
        effect,
        streamed: false,
        worth: 1.0,
        late_worth: 0.3,
    };
    let keyed = Effect::Keyed { group: Group::Zone, retention: 2 * S };
    EngineSettings {
        dispatcher: Settings {
            classes: vec![class("check", Effect::Safe), class("post", Effect::Unsafe), class("keyed", keyed)],
            keep_alive: 10 * S,
            miss_policy: MissPolicy::Load,
            may_prewarm: true,
            may_cancel: true,
            max_attempts: 4,
            order_timeout: 10 * S,
            ..Settings::default()
        },
        admission: AdmissionLimits { open_calls: 50, open_bytes: 1_000, per_connection: 20, functions: 100 },
        results: ResultLimits { keep: 60 * S, bytes: 3_000 },
        answer_margin: 10 * MS,
        max_time: 100 * S,
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
        timeout: 0,
        shape: FunctionProfile { memory_mb: 100, lanes: 4, load_time: 0, work: 0 },
        body: b"in".to_vec(),
        account: None,
        route: None,
        workers_deduplicate: false,
    }
}

struct Harness {
    engine: Engine,
    now: u64,
    last_number: u64,
}

impl Harness {
    fn new(workers: usize) -> Self {
        Self::with_settings(settings(), workers)
    }

    fn with_settings(settings: EngineSettings, workers: usize) -> Self {
        let mut harness =
            Self { engine: Engine::new(settings, 7).unwrap(), now: 1_700_000_000 * S, last_number: 0 };
        let workers = (0..workers).map(|n| ListedWorker {
            id: format!("w{n}"),
            address: format!("127.0.0.1:{}", 9000 + n),
            zone: "a".into(),
            kind: "std".into(),
            cell: 0,
            standing: MemberState::Active,
            started: 0,
        });
        let workers = workers.collect();
        harness.handle(Input::List { whole: true, workers });
        harness
    }

    fn handle(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.engine.handle(self.now, input, &mut out);
        out
    }

    fn call(&mut self, call: Call) -> (Client, Vec<Output>) {
        self.last_number += 1;
        let client = Client { connection: 1, number: self.last_number };
        (client, self.handle(Input::Call(client, call)))
    }

    /// Advances the time, with all requested wake-ups.
    fn advance(&mut self, span: u64) -> Vec<Output> {
        let until = self.now + span;
        let mut out = Vec::new();
        while let Some(at) = self.engine.wake_at().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            out.extend(self.handle(Input::Wake));
        }
        self.now = until;
        out
    }
}

#[test]
fn an_unsent_keyed_retry_is_canceled_before_the_workers_forget_the_first_attempt() {
    let mut harness = Harness::new(2);
    let (_, out) = harness.call(call("keyed"));
    let first = sent_attempts(&out)[0].number;
    harness.advance(100 * MS);
    let out = harness.handle(Input::AttemptEnded(first, AttemptEnd::Broken, Vec::new(), None));
    let repeat = sent_attempts(&out)[0].number;
    // It may wait for a connection until the end of the two seconds for which workers remember the first
    // attempt.
    let is_canceled = |out: &[Output]| {
        out.iter().any(|o| matches!(o, Output::CancelIfUnsent(_, attempt) if *attempt == repeat))
    };
    assert!(!is_canceled(&harness.advance(1_890 * MS)), "the workers remember it still");
    assert!(is_canceled(&harness.advance(10 * MS)), "it must not start any more");
    // No byte of it was sent, so it never ran; the window is over, and no other attempt is started.
    let out = harness.handle(Input::AttemptEnded(repeat, AttemptEnd::TakenBack, Vec::new(), None));
    assert!(sent_attempts(&out).is_empty() && sent_attempts(&harness.advance(5 * S)).is_empty());
    assert_eq!(harness.engine.open_calls(), 0);
}

fn sent_attempts(out: &[Output]) -> Vec<&Attempt> {
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
fn a_second_answer_to_a_served_call_is_dropped() {
    let mut harness = Harness::new(3);
    let (client, out) = harness.call(call("check"));
    let attempt = sent_attempts(&out)[0].number;
    let out = harness.handle(Input::AttemptEnded(attempt, OK, b"out".to_vec(), None));
    assert_eq!(answers(&out), [(client.number, Status::Served, "")]);
    let again = harness.handle(Input::AttemptEnded(attempt, OK, b"out".to_vec(), None));
    let unknown = harness.handle(Input::AttemptEnded(999, OK, Vec::new(), None));
    assert!(answers(&again).is_empty() && answers(&unknown).is_empty());
    harness.handle(Input::AttemptEnded(attempt, AttemptEnd::NotWritten, Vec::new(), None));
    assert_eq!(harness.engine.counters().late_answers, 2, "a canceled send is no answer");
    assert_eq!((harness.engine.open_calls(), harness.engine.open_attempts()), (0, 0));
}

#[test]
fn a_post_whose_connection_broke_is_not_retried_and_fails_in_time() {
    let mut harness = Harness::new(3);
    let (client, out) = harness.call(call("post"));
    let start = harness.now;
    let out = harness.handle(Input::AttemptEnded(
        sent_attempts(&out)[0].number,
        AttemptEnd::Broken,
        Vec::new(),
        None,
    ));
    assert!(sent_attempts(&out).is_empty());
    let out = [out, harness.advance(6 * S)].concat();
    assert_eq!(answers(&out), [(client.number, Status::Failed, "broken")]);
    assert!(sent_attempts(&out).is_empty());
    assert!(harness.now > start);
}

#[test]
fn a_post_that_this_side_cut_off_is_not_retried_and_fails_in_time() {
    let mut harness = Harness::new(3);
    let (client, out) = harness.call(call("post"));
    let out = harness.handle(Input::AttemptEnded(
        sent_attempts(&out)[0].number,
        AttemptEnd::CutOff,
        Vec::new(),
        None,
    ));
    let out = [out, harness.advance(6 * S)].concat();
    assert!(sent_attempts(&out).is_empty());
    assert_eq!(answers(&out), [(client.number, Status::Failed, "cut-off")]);
}

#[test]
fn a_post_that_never_ran_is_retried_on_another_worker() {
    for end in [AttemptEnd::NotConnected, AttemptEnd::NotWritten, AttemptEnd::Answered(Ending::Full, 0)] {
        let mut harness = Harness::new(3);
        let (_, out) = harness.call(call("post"));
        let first = sent_attempts(&out)[0].clone();
        let out = harness.handle(Input::AttemptEnded(first.number, end, Vec::new(), None));
        let second = sent_attempts(&out)[0];
        assert_ne!(second.worker, first.worker, "{end:?}");
        assert_eq!((second.previous_attempts, &second.id), (1, &first.id));
    }
}

#[test]
fn an_unanswered_call_ends_before_its_clients_deadline() {
    for class in ["check", "post", "keyed"] {
        let mut harness = Harness::new(2);
        let (client, _) = harness.call(Call { timeout: 700 * MS, ..call(class) });
        let out = harness.advance(700 * MS - 1);
        let last = answers(&out);
        assert_eq!(last.len(), 1, "{class}");
        let is_safe_to_retry = class == "check";
        assert_eq!(last[0].1, if is_safe_to_retry { Status::Refused } else { Status::Failed }, "{class}");
        assert_eq!(last[0].0, client.number);
        assert!(answers(&harness.advance(20 * S)).is_empty());
        assert_eq!((harness.engine.open_calls(), harness.engine.open_attempts()), (0, 0));
    }
}

#[test]
fn an_answer_and_a_timeout_in_the_same_tick_give_one_answer() {
    for answer_first in [true, false] {
        let mut harness = Harness::new(2);
        let (client, out) = harness.call(Call { timeout: 600 * MS, ..call("post") });
        let attempt = sent_attempts(&out)[0].number;
        harness.now += 590 * MS;
        let mut out = Vec::new();
        if answer_first {
            out.extend(harness.handle(Input::AttemptEnded(attempt, OK, Vec::new(), None)));
            out.extend(harness.handle(Input::Wake));
        } else {
            out.extend(harness.handle(Input::Wake));
            out.extend(harness.handle(Input::AttemptEnded(attempt, OK, Vec::new(), None)));
        }
        let want = if answer_first { Status::Served } else { Status::Failed };
        let got = answers(&[out, harness.advance(S)].concat());
        assert_eq!(got.iter().map(|a| (a.0, a.1)).collect::<Vec<_>>(), [(client.number, want)]);
    }
}

#[test]
fn connections_that_broke_before_a_byte_was_sent_do_not_count_against_the_worker() {
    for (end, is_still_used) in [(AttemptEnd::NotWritten, true), (AttemptEnd::NotConnected, false)] {
        let mut harness = Harness::new(3);
        let (_, out) = harness.call(call("check"));
        let first = sent_attempts(&out)[0].clone();
        let out = harness.handle(Input::AttemptEnded(first.number, end, Vec::new(), None));
        harness.handle(Input::AttemptEnded(sent_attempts(&out)[0].number, OK, Vec::new(), None));
        let others = (0..12).map(|n| Call { function: format!("f{n}"), ..call("check") });
        let workers: Vec<_> =
            others.map(|other| sent_attempts(&harness.call(other).1)[0].worker.clone()).collect();
        assert_eq!(workers.contains(&first.worker), is_still_used, "{end:?}");
    }
}

#[test]
fn connections_that_this_side_cut_off_do_not_count_against_the_worker() {
    for (end, is_still_used) in [(AttemptEnd::CutOff, true), (AttemptEnd::Broken, false)] {
        let mut harness = Harness::new(3);
        let attempts: Vec<Attempt> = (0..12)
            .map(|n| {
                sent_attempts(&harness.call(Call { function: format!("f{n}"), ..call("post") }).1)[0].clone()
            })
            .collect();
        let worker = attempts[0].worker.clone();
        for attempt in attempts.iter().filter(|attempt| attempt.worker == worker) {
            harness.handle(Input::AttemptEnded(attempt.number, end, Vec::new(), None));
        }
        let others = (0..12).map(|n| Call { function: format!("g{n}"), ..call("post") });
        let workers: Vec<_> =
            others.map(|other| sent_attempts(&harness.call(other).1)[0].worker.clone()).collect();
        assert_eq!(workers.contains(&worker), is_still_used, "{end:?}");
    }
}

#[test]
fn a_disconnected_client_gets_nothing_and_its_unsent_attempt_is_canceled() {
    let mut harness = Harness::new(2);
    let (_, out) = harness.call(call("post"));
    let attempt = sent_attempts(&out)[0].number;
    let out = harness.handle(Input::Disconnected(1));
    assert!(out.iter().any(|o| matches!(o, Output::CancelIfUnsent(_, a) if *a == attempt)));
    let out = harness.handle(Input::AttemptEnded(attempt, AttemptEnd::NotWritten, Vec::new(), None));
    assert!(sent_attempts(&out).is_empty() && answers(&out).is_empty());
    assert!(answers(&harness.advance(20 * S)).is_empty());
    assert_eq!(harness.engine.counters().abandoned, 1);
}

#[test]
fn a_deferred_call_outlives_its_connection_and_its_result_expires() {
    let mut harness = Harness::new(2);
    let (_, out) = harness.call(Call { deferred: true, ..call("post") });
    let id = accepted(&out);
    let attempt = sent_attempts(&out)[0].number;
    harness.handle(Input::Disconnected(1));
    let client = |n| Client { connection: 2, number: n };
    assert_eq!(answers(&harness.handle(Input::Await(client(1), id.clone(), 0)))[0].1, Status::Pending);
    assert!(answers(&harness.handle(Input::Await(client(2), id.clone(), S))).is_empty());
    assert_eq!(answers(&harness.advance(2 * S)), [(2, Status::Pending, "pending")]);
    harness.handle(Input::Await(client(3), id.clone(), 10 * S));
    let out = harness.handle(Input::AttemptEnded(attempt, OK, b"out".to_vec(), None));
    assert_eq!(answers(&out), [(3, Status::Served, "")]);
    assert_eq!(answers(&harness.handle(Input::Await(client(4), id.clone(), 0)))[0].1, Status::Served);
    harness.advance(61 * S);
    assert_eq!(answers(&harness.handle(Input::Await(client(5), id, 0)))[0].1, Status::Expired);
    assert_eq!(answers(&harness.handle(Input::Await(client(6), "no".into(), 0)))[0].1, Status::Unknown);
}

#[test]
fn ids_and_keys_of_a_former_incarnation_are_invalid_in_the_next() {
    let incarnations = [7, 8].map(|incarnation| {
        let mut harness = Harness::new(1);
        harness.engine = Engine::new(settings(), incarnation).unwrap();
        let (_, out) = harness.call(Call { deferred: true, key: "k".into(), ..call("check") });
        (harness, accepted(&out))
    });
    let [(_, former), (mut harness, present)] = incarnations;
    assert_ne!(former, present, "both are the first call of their incarnation");
    // The former id is unknown and not the first call of this incarnation; the former key may be used again.
    let await_former = Input::Await(Client { connection: 2, number: 1 }, former, 0);
    assert!(matches!(answers(&harness.handle(await_former))[..], [(1, Status::Unknown, _)]));
    let mut next = Harness::new(1);
    let (_, out) = next.call(Call { key: "k".into(), body: b"other".to_vec(), ..call("check") });
    assert_eq!(sent_attempts(&out).len(), 1);
}

#[test]
fn results_stay_within_their_memory_limit_and_the_oldest_are_dropped() {
    let mut harness = Harness::new(2);
    let mut ids = Vec::new();
    for _ in 0..6 {
        let (_, out) = harness.call(Call { deferred: true, ..call("check") });
        ids.push(accepted(&out));
        harness.handle(Input::AttemptEnded(sent_attempts(&out)[0].number, OK, vec![0; 300], None));
        assert!(harness.engine.result_bytes() <= 3_000);
    }
    let mut status = |n: u64| {
        answers(&harness.handle(Input::Await(
            Client { connection: 3, number: n },
            ids[n as usize].clone(),
            0,
        )))[0]
            .1
    };
    assert_eq!((status(0), status(5)), (Status::Expired, Status::Served));
}

#[test]
fn a_repeat_by_key_waits_with_the_first_call_and_later_gets_its_result() {
    let mut harness = Harness::new(2);
    let keyed = Call { key: "k".into(), ..call("post") };
    let (first, out) = harness.call(keyed.clone());
    let attempt = sent_attempts(&out)[0].number;
    let (second, out) = harness.call(keyed.clone());
    assert!(sent_attempts(&out).is_empty());
    let (impatient, out) = harness.call(Call { timeout: 100 * MS, ..keyed.clone() });
    assert!(sent_attempts(&out).is_empty());
    assert_eq!(answers(&harness.advance(100 * MS)), [(impatient.number, Status::Failed, "still-running")]);
    let (other, out) = harness.call(Call { body: b"else".to_vec(), ..keyed.clone() });
    assert_eq!(answers(&out), [(other.number, Status::Refused, "key-in-use")]);
    let out = harness.handle(Input::AttemptEnded(attempt, OK, b"out".to_vec(), None));
    let both = [(first.number, Status::Served, ""), (second.number, Status::Served, "")];
    assert_eq!(answers(&out), both);
    let (late, out) = harness.call(keyed);
    assert_eq!(answers(&out), [(late.number, Status::Served, "")]);
    assert!(sent_attempts(&out).is_empty());
}

#[test]
fn the_key_of_a_refused_call_is_free_again_and_that_of_a_failed_one_is_not() {
    let mut harness = Harness::new(0);
    let keyed = Call { key: "k".into(), timeout: 100 * MS, ..call("post") };
    harness.call(keyed.clone());
    assert_eq!(answers(&harness.advance(100 * MS))[0].1, Status::Refused);
    let mut harness = Harness::new(1);
    let (_, out) = harness.call(keyed.clone());
    assert_eq!(sent_attempts(&out).len(), 1);
    assert_eq!(answers(&harness.advance(100 * MS))[0].1, Status::Failed);
    let (_, out) = harness.call(keyed);
    assert!(sent_attempts(&out).is_empty(), "it may have run");
    assert_eq!(answers(&out)[0].1, Status::Failed);
}

#[test]
fn each_admission_limit_has_its_own_reason() {
    let mut harness = Harness::new(0);
    let mut rejection = |call: Call| answers(&harness.call(call).1).first().map(|a| (a.1, a.2));
    assert_eq!(rejection(call("nonsense")), Some((Status::Refused, "unknown-class")));
    assert_eq!(
        rejection(Call { function: String::new(), ..call("check") }),
        Some((Status::Refused, "no-function"))
    );
    assert_eq!(rejection(Call { timeout: 5 * MS, ..call("check") }), Some((Status::Refused, "no-time")));
    assert_eq!(
        rejection(Call { body: vec![0; 1_001], ..call("check") }),
        Some((Status::Refused, "gateway-bytes"))
    );
    for _ in 0..20 {
        assert_eq!(rejection(call("check")), None);
    }
    assert_eq!(rejection(call("check")), Some((Status::Refused, "connection-full")));
    let mut harness = Harness::new(0);
    for connection in 0..51 {
        let client = Client { connection, number: 1 };
        let out = harness.handle(Input::Call(client, call("check")));
        let full = answers(&out).first().is_some_and(|a| a.2 == "gateway-full");
        assert_eq!(full, connection == 50);
    }
    let out = harness.handle(Input::Call(Client { connection: 3, number: 1 }, call("check")));
    assert!(matches!(out[..], [Output::Close(3, _)]));
}

#[test]
fn a_stop_answers_all_open_calls_and_rejects_new_ones() {
    let mut harness = Harness::new(2);
    let (check, _) = harness.call(call("check"));
    let (post, _) = harness.call(call("post"));
    let mut without_workers = Harness::new(0);
    let (unsent, _) = without_workers.call(call("post"));
    let mut got = answers(&harness.handle(Input::Stop));
    got.sort();
    assert_eq!(got, [(check.number, Status::Refused, "stopping"), (post.number, Status::Failed, "stopping")]);
    assert_eq!(answers(&without_workers.handle(Input::Stop)), [(unsent.number, Status::Refused, "stopping")]);
    assert_eq!(answers(&harness.call(call("check")).1)[0].2, "stopping");
}

#[test]
fn a_canceled_unsent_attempt_does_not_count_as_load_of_its_worker() {
    let mut harness = Harness::new(5);
    let mut workers = Vec::new();
    for _ in 0..4 {
        let (_, out) = harness.call(call("check"));
        let attempt = sent_attempts(&out)[0].clone();
        workers.push(attempt.worker.clone());
        harness.handle(Input::Disconnected(1));
        harness.handle(Input::AttemptEnded(attempt.number, AttemptEnd::TakenBack, Vec::new(), None));
    }
    assert!(workers.iter().all(|worker| *worker == workers[0]), "{workers:?}");
}

#[test]
fn an_attempt_carries_its_timeout_and_is_overdue_after_it() {
    let mut harness = Harness::new(2);
    let (_, out) = harness.call(Call { timeout: 700 * MS, ..call("post") });
    let attempt = sent_attempts(&out)[0].clone();
    assert_eq!(attempt.timeout, 690 * MS, "the remaining time minus the margin");
    let out = harness.advance(700 * MS - 1);
    assert!(out.iter().any(|o| matches!(o, Output::AttemptTimedOut(_, number) if *number == attempt.number)));
    assert_eq!(answers(&out).len(), 1);
}

#[test]
fn an_order_that_was_cut_off_is_sent_again_to_the_same_worker() {
    for (end, same) in [(OrderEnd::CutOff, true), (OrderEnd::NotConnected, false)] {
        let mut settings = settings();
        settings.dispatcher.miss_policy = MissPolicy::Miss;
        let mut harness = Harness::with_settings(settings, 5);
        let prewarm_orders = |out: &[Output]| -> Vec<(u64, String)> {
            let prewarm_order = |o: &Output| match o {
                Output::Prewarm { order, worker, .. } => Some((*order, worker.to_string())),
                _ => None,
            };
            out.iter().filter_map(prewarm_order).collect()
        };
        let (_, out) = harness.call(call("check"));
        let first = prewarm_orders(&out)[0].clone();
        let (mut next, mut to) = (first.0, Vec::new());
        for _ in 0..4 {
            let out = harness.handle(Input::OrderEnded(next, end, 0));
            let Some(prewarm_order) = prewarm_orders(&out).first().cloned() else { break };
            next = prewarm_order.0;
            to.push(prewarm_order.1);
        }
        assert!(!to.is_empty());
        assert_eq!(to.iter().all(|worker| *worker == first.1), same, "{end:?}: {} then {to:?}", first.1);
    }
}

#[test]
fn any_number_of_function_names_is_admitted_if_old_ones_are_forgotten() {
    let mut harness = Harness::new(3);
    let limit = settings().admission.functions;
    for n in 0..5 * limit {
        let (client, out) = harness.call(Call { function: format!("made-up-{n}"), ..call("check") });
        assert!(answers(&out).is_empty(), "{n}: {out:?}");
        let mut out = out;
        while let Some(attempt) = sent_attempts(&out).first().map(|attempt| attempt.number) {
            let end = AttemptEnd::Answered(Ending::Error, 0);
            out = harness.handle(Input::AttemptEnded(attempt, end, Vec::new(), None));
        }
        assert_eq!(answers(&out), [(client.number, Status::Refused, "error")]);
        harness.advance(200 * MS);
    }
}

#[test]
fn an_answer_that_is_too_long_fails_its_call_without_another_try() {
    let mut harness = Harness::new(5);
    let (client, out) = harness.call(call("check"));
    let attempt = sent_attempts(&out)[0].number;
    let out = harness.handle(Input::AttemptEnded(attempt, AttemptEnd::AnswerTooLong, Vec::new(), None));
    assert!(sent_attempts(&out).is_empty());
    assert_eq!(answers(&out), [(client.number, Status::Failed, "answer-too-long")]);
}
