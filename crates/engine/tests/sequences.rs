//! Arbitrary sequences of inputs, among them duplicate, late and invalid ones: each waiter gets one answer in
//! time, a post has at most one attempt that may have run, and no call or attempt stays open.

use std::collections::{BTreeMap, BTreeSet};

use cresswheel::{Class, ColdStart, Effect, Group, MissPolicy, Settings};
use cresswheel_engine::*;
use cresswheel_protocol::{Ending, FunctionProfile, ListedWorker, MemberState, Status};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
const CLASSES: [&str; 3] = ["check", "post", "keyed"];

/// One random input, or a span of time.
#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Call { connection: u64, class: usize, deferred: bool, key: u8, time: u64 },
    AttemptEnd { pick: usize, end: u8 },
    UnknownAttemptEnd(u64, u8),
    OrderEnd { pick: usize, end: u8 },
    Disconnect(u64),
    Cancel { connection: u64, back: u64 },
    Await { connection: u64, pick: usize, wait: u64 },
    List { whole: bool, workers: Vec<(u8, u8, bool)> },
    ListLost,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u64..400).prop_map(|ms| Step::Advance(ms * MS)),
        6 => (0u64..3, 0usize..3, any::<bool>(), 0u8..8, 0u64..3_000).prop_map(
            |(connection, class, deferred, key, ms)| Step::Call { connection, class, deferred, key, time: ms * MS }
        ),
        6 => (any::<usize>(), 0u8..12).prop_map(|(pick, end)| Step::AttemptEnd { pick, end }),
        1 => (0u64..50, 0u8..12).prop_map(|(number, end)| Step::UnknownAttemptEnd(number, end)),
        2 => (any::<usize>(), 0u8..5).prop_map(|(pick, end)| Step::OrderEnd { pick, end }),
        1 => (0u64..3).prop_map(Step::Disconnect),
        1 => (0u64..3, 0u64..5).prop_map(|(connection, back)| Step::Cancel { connection, back }),
        1 => (0u64..3, any::<usize>(), 0u64..2_000).prop_map(|(connection, pick, ms)| Step::Await { connection, pick, wait: ms * MS }),
        1 => (any::<bool>(), prop::collection::vec((0u8..6, 0u8..3, any::<bool>()), 0..6))
            .prop_map(|(whole, workers)| Step::List { whole, workers }),
        1 => Just(Step::ListLost),
    ]
}

fn end(code: u8) -> AttemptEnd {
    match code {
        0 => AttemptEnd::NotConnected,
        1 => AttemptEnd::NotWritten,
        2 => AttemptEnd::Broken,
        3 | 4 => AttemptEnd::Answered(Ending::Ok, 2),
        5 => AttemptEnd::Answered(Ending::Error, 0),
        6 => AttemptEnd::Answered(Ending::Full, 9),
        7 => AttemptEnd::Answered(Ending::Miss, 0),
        8 => AttemptEnd::Answered(Ending::LoadFailed, 0),
        9 => AttemptEnd::Answered(Ending::Cancelled, 0),
        10 => AttemptEnd::TakenBack,
        _ => AttemptEnd::Silent,
    }
}

/// The attempts of a call by number, each with how it ended.
type AttemptEnds = Vec<(u64, Option<AttemptEnd>)>;

/// The expected answers and the attempts and orders in flight, to check the outputs against.
#[derive(Default)]
struct Checker {
    deadlines: BTreeMap<Client, u64>,
    calls: BTreeMap<String, (usize, AttemptEnds)>,
    in_flight: BTreeMap<u64, String>,
    orders: BTreeSet<u64>,
    deferred: Vec<String>,
}

impl Checker {
    fn outputs(&mut self, now: u64, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Answer(client, _) => {
                    let deadline = self.deadlines.remove(&client).expect("one answer for each waiter");
                    assert!(now <= deadline, "answered {} us late", now - deadline);
                }
                Output::Accepted(client, id) => {
                    assert!(self.deadlines.remove(&client).is_some());
                    self.deferred.push(id);
                }
                Output::Run(attempt) => {
                    let class = CLASSES.iter().position(|c| *c == attempt.call.class).unwrap();
                    let (_, attempts) = self.calls.entry(attempt.id.clone()).or_insert((class, Vec::new()));
                    assert_eq!(attempt.previous_attempts as usize, attempts.len());
                    assert!(attempts.iter().all(|(_, end)| end.is_some()), "two attempts in flight");
                    if class == 1 {
                        let never_ran = |(_, end): &(u64, Option<AttemptEnd>)| {
                            end.is_some_and(|e| e.outcome().never_ran())
                        };
                        assert!(attempts.iter().all(never_ran), "a post is retried after {attempts:?}");
                    }
                    attempts.push((attempt.number, None));
                    self.in_flight.insert(attempt.number, attempt.id);
                }
                // It timed out or its call is over: to the dispatcher it has ended.
                Output::CancelIfUnsent(_, attempt) | Output::AttemptTimedOut(_, attempt) => {
                    if let Some(id) = self.in_flight.get(&attempt) {
                        let attempts = &mut self.calls.get_mut(id).unwrap().1;
                        let set_silent =
                            |a: &mut (u64, Option<AttemptEnd>)| _ = a.1.get_or_insert(AttemptEnd::Silent);
                        attempts.iter_mut().filter(|a| a.0 == attempt).for_each(set_silent);
                    }
                }
                Output::Prewarm { order, .. } => {
                    self.orders.insert(order);
                }
                _ => {}
            }
        }
    }

    fn ended(&mut self, attempt: u64, how: AttemptEnd) {
        if let Some(id) = self.in_flight.remove(&attempt) {
            let attempts = &mut self.calls.get_mut(&id).unwrap().1;
            attempts.iter_mut().filter(|a| a.0 == attempt).for_each(|a| a.1 = Some(how));
        }
    }
}

fn settings() -> EngineSettings {
    let effects = [Effect::Safe, Effect::Unsafe, Effect::Keyed { group: Group::All, retention: S }];
    let class = |(name, effect): (&&str, Effect)| Class {
        name: (*name).into(),
        latency_objective: 600 * MS,
        client_timeout: 2 * S,
        effect,
        streamed: false,
        worth: 1.0,
        late_worth: 0.3,
    };
    EngineSettings {
        dispatcher: Settings {
            classes: CLASSES.iter().zip(effects).map(class).collect(),
            keep_alive: 2 * S,
            miss_policy: MissPolicy::Miss,
            may_prewarm: true,
            max_attempts: 4,
            order_timeout: S,
            cold_start: ColdStart {
                initial_share: 0.2,
                warm_up: 5 * S,
                overload_multiple: 2.0,
                overload_window: S,
            },
            ..Settings::default()
        },
        admission: AdmissionLimits { open_calls: 30, open_bytes: 200, per_connection: 12, functions: 4 },
        results: ResultLimits { keep: 3 * S, bytes: 4_000 },
        answer_margin: 5 * MS,
        max_time: 4 * S,
        deferred_time: 3 * S,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None, rng_seed: RngSeed::Fixed(12), ..ProptestConfig::with_cases(300)
    })]
    #[test]
    fn the_engine_keeps_its_invariants(steps in prop::collection::vec(step(), 1..250), incarnation: u64) {
        let mut engine = Engine::new(settings(), incarnation).unwrap();
        let mut second_engine = Engine::new(settings(), incarnation).unwrap();
        let mut checker = Checker::default();
        let mut now = 1_000 * S;
        let mut numbers = [0u64; 3];
        let mut handle = |checker: &mut Checker, now: u64, input: Input| {
            let (mut out, mut other) = (Vec::new(), Vec::new());
            engine.handle(now, input.clone(), &mut out);
            second_engine.handle(now, input, &mut other);
            assert_eq!(format!("{out:?}"), format!("{other:?}"), "same inputs, same outputs");
            checker.outputs(now, out);
            (engine.wake_at(), engine.open_calls(), engine.open_attempts())
        };
        let all = (0..4).map(|n| (n, 0, false)).collect();
        let mut steps = [vec![Step::List { whole: true, workers: all }], steps].concat();
        steps.push(Step::Advance(20 * S));
        // The next wake-up, and the numbers of open calls and attempts.
        let mut state = (None, 0, 0);
        for step in steps {
            match step {
                Step::Advance(span) => {
                    let until = now + span;
                    while let Some(at) = state.0.filter(|at| *at <= until) {
                        now = now.max(at);
                        state = handle(&mut checker, now, Input::Wake);
                    }
                    now = until;
                }
                Step::Call { connection, class, deferred, key, time } => {
                    numbers[connection as usize] += 1;
                    let client = Client { connection, number: numbers[connection as usize] };
                    let time_left = if time == 0 { 2 * S } else { time };
                    checker.deadlines.insert(client, now + time_left);
                    let call = Call {
                        deferred,
                        function: format!("f{}", class + usize::from(key) % 2),
                        class: CLASSES[class].into(),
                        tenant: String::new(),
                        key: if key < 3 { format!("k{key}") } else { String::new() },
                        trace: String::new(),
                        timeout: time,
                        shape: FunctionProfile { memory_mb: 1, lanes: 2, load_time: 0, work: 0 },
                        body: vec![key % 4; 10],
                        account: None,
                        route: None,
                        workers_deduplicate: false,
                    };
                    state = handle(&mut checker, now, Input::Call(client, call));
                }
                Step::AttemptEnd { pick, end: code } => {
                    if let Some(attempt) =
                        checker.in_flight.keys().nth(pick % checker.in_flight.len().max(1)).copied()
                    {
                        checker.ended(attempt, end(code));
                        state =
                            handle(&mut checker, now, Input::AttemptEnded(attempt, end(code), vec![1], None));
                    }
                }
                Step::UnknownAttemptEnd(number, code) => {
                    if !checker.in_flight.contains_key(&number) {
                        state =
                            handle(&mut checker, now, Input::AttemptEnded(number, end(code), vec![], None));
                    }
                }
                Step::OrderEnd { pick, end } => {
                    let count = checker.orders.len().max(1);
                    if let Some(order) = checker.orders.iter().nth(pick % count).copied() {
                        checker.orders.remove(&order);
                        let how = match end {
                            0 => OrderEnd::NotConnected,
                            1 => OrderEnd::Broken,
                            2 => OrderEnd::Answered(Ending::Full),
                            _ => OrderEnd::Answered(Ending::Ok),
                        };
                        state = handle(&mut checker, now, Input::OrderEnded(order, how, 1));
                    }
                }
                Step::Disconnect(connection) => {
                    checker.deadlines.retain(|client, _| client.connection != connection);
                    state = handle(&mut checker, now, Input::Disconnected(connection));
                }
                Step::Cancel { connection, back } => {
                    let number = numbers[connection as usize].saturating_sub(back);
                    let client = Client { connection, number };
                    checker.deadlines.remove(&client);
                    state = handle(&mut checker, now, Input::Cancel(client));
                }
                Step::Await { connection, pick, wait } => {
                    if let Some(id) = checker.deferred.get(pick % checker.deferred.len().max(1)).cloned() {
                        numbers[connection as usize] += 1;
                        let client = Client { connection, number: numbers[connection as usize] };
                        checker.deadlines.insert(client, now + wait);
                        state = handle(&mut checker, now, Input::Await(client, id, wait));
                    }
                }
                Step::List { whole, workers } => {
                    let entry = |(n, standing, cold): (u8, u8, bool)| ListedWorker {
                        id: if n == 5 { String::new() } else { format!("w{n}") },
                        address: "127.0.0.1:1".into(),
                        zone: "a".into(),
                        kind: "std".into(),
                        cell: 0,
                        standing: [MemberState::Active, MemberState::Draining, MemberState::Removed][usize::from(standing)],
                        started: if cold { now } else { 0 },
                    };
                    let workers = workers.into_iter().map(entry).collect();
                    state = handle(&mut checker, now, Input::List { whole, workers });
                }
                Step::ListLost => state = handle(&mut checker, now, Input::ListUnavailable),
            }
        }
        prop_assert!(checker.deadlines.is_empty(), "{:?} got no answer", checker.deadlines);
        prop_assert_eq!((state.1, state.2), (0, 0), "calls and attempts that never end");
    }
}

#[test]
fn statuses_convert_to_and_from_words() {
    assert!(Status::ALL.iter().all(|s| Status::from_name(s.as_str()) == Some(*s)));
}
