//! What 'refused' promises: a client that repeats its call after each refusal, or with its key after a lost
//! connection, never causes a second effect.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use cresswheel::{Class, Effect, Group, MissPolicy, Settings};
use cresswheel_engine::*;
use cresswheel_protocol::{Ending, FunctionProfile, ListedWorker, MemberState, Status};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
const WORKERS: usize = 4;
const CLIENT_TIMEOUT: u64 = 5 * S;
const MAX_TRIES: usize = 4;
/// Longer than all tries together.
const END: u64 = 60 * S;

/// What becomes of an attempt at its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Answers(Ending),
    RunsAndIsSilent,
    RunsAndBreaks,
    IsNotConnected,
}

impl Fate {
    fn runs(self) -> bool {
        match self {
            Self::Answers(ending) => matches!(ending, Ending::Ok | Ending::Error),
            Self::RunsAndIsSilent | Self::RunsAndBreaks => true,
            Self::IsNotConnected => false,
        }
    }

    fn end(self) -> Option<AttemptEnd> {
        match self {
            Self::Answers(ending) => Some(AttemptEnd::Answered(ending, 0)),
            Self::RunsAndIsSilent => None,
            Self::RunsAndBreaks => Some(AttemptEnd::Broken),
            Self::IsNotConnected => Some(AttemptEnd::NotConnected),
        }
    }
}

/// What the client or the operator does while a try is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Interruption {
    Cancel,
    LostConnection,
    Term,
}

#[derive(Clone, Debug)]
struct Scenario {
    effect: Effect,
    has_key: bool,
    /// Each attempt's fate and the time until its end, in order; the last one is for all others too.
    fates: Vec<(Fate, u64)>,
    interruption: Option<(Interruption, u64)>,
    /// The client's wait before each further try.
    waits: Vec<u64>,
}

fn scenario() -> impl Strategy<Value = Scenario> {
    let group = prop::sample::select(vec![Group::All, Group::Zone, Group::Cell]);
    let effect = prop_oneof![
        Just(Effect::Unsafe),
        (group, 100 * MS..20 * S).prop_map(|(group, retention)| Effect::Keyed { group, retention }),
    ];
    let fate = prop::sample::select(vec![
        Fate::Answers(Ending::Ok),
        Fate::Answers(Ending::Error),
        Fate::Answers(Ending::Full),
        Fate::Answers(Ending::Miss),
        Fate::RunsAndIsSilent,
        Fate::RunsAndIsSilent,
        Fate::RunsAndBreaks,
        Fate::IsNotConnected,
    ]);
    let interruption =
        prop::sample::select(vec![Interruption::Cancel, Interruption::LostConnection, Interruption::Term]);
    (
        effect,
        any::<bool>(),
        prop::collection::vec((fate, 0..3 * S), 1..6),
        prop::option::of((interruption, 0..6 * S)),
        prop::collection::vec(0..8 * S, MAX_TRIES),
    )
        .prop_map(|(effect, has_key, fates, interruption, waits)| Scenario {
            effect,
            has_key,
            fates,
            interruption,
            waits,
        })
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Try,
    AttemptEnds(u64, usize),
    Interrupt,
}

struct Simulation {
    scenario: Scenario,
    engine: Engine,
    now: u64,
    events: BTreeSet<(u64, Event)>,
    attempts: usize,
    tries: usize,
    /// The open try, if there is one.
    client: Option<Client>,
    /// When each key was first run in each group of workers.
    memories: HashMap<(usize, String), u64>,
    effects: usize,
    fates_by_attempt: BTreeMap<u64, Fate>,
}

fn settings(effect: Effect) -> EngineSettings {
    let class = Class {
        name: "note".into(),
        latency_objective: 600 * MS,
        client_timeout: CLIENT_TIMEOUT,
        effect,
        streamed: false,
        worth: 1.0,
        late_worth: 0.3,
    };
    EngineSettings {
        dispatcher: Settings {
            classes: vec![class],
            keep_alive: 10 * S,
            miss_policy: MissPolicy::Load,
            may_cancel: true,
            max_attempts: 4,
            clients_retry_within_retention: false,
            ..Settings::default()
        },
        admission: AdmissionLimits { open_calls: 50, open_bytes: 1_000, per_connection: 20, functions: 100 },
        results: ResultLimits { keep: 2 * END, bytes: 3_000 },
        answer_margin: 10 * MS,
        max_time: 100 * S,
        deferred_time: 20 * S,
    }
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let engine = Engine::new(settings(scenario.effect), 7).unwrap();
        let now = 1_700_000_000 * S;
        let mut simulation = Self {
            engine,
            now,
            events: BTreeSet::from([(now, Event::Try)]),
            attempts: 0,
            tries: 0,
            client: None,
            memories: HashMap::new(),
            effects: 0,
            fates_by_attempt: BTreeMap::new(),
            scenario,
        };
        let workers = (0..WORKERS).map(|number| ListedWorker {
            id: format!("w{number}"),
            address: format!("127.0.0.1:{}", 9_000 + number),
            zone: ["a", "b"][number % 2].into(),
            kind: "std".into(),
            cell: number as u64 / 2,
            standing: MemberState::Active,
            started: 0,
        });
        let workers = workers.collect();
        simulation.handle(Input::List { whole: true, workers });
        simulation
    }

    /// The group of workers that share one memory of keys.
    fn group_of(&self, worker: usize) -> usize {
        match self.scenario.effect {
            Effect::Keyed { group: Group::Zone, .. } => worker % 2,
            Effect::Keyed { group: Group::Cell, .. } => worker / 2,
            _ => 0,
        }
    }

    fn handle(&mut self, input: Input) {
        let mut outputs = Vec::new();
        self.engine.handle(self.now, input, &mut outputs);
        for output in outputs {
            match output {
                Output::Run(attempt) => self.run(&attempt),
                Output::Answer(client, answer) if self.client == Some(client) => {
                    self.client = None;
                    if answer.status == Status::Refused {
                        self.try_again();
                    }
                }
                _ => {}
            }
        }
    }

    fn try_again(&mut self) {
        if self.tries < MAX_TRIES {
            let wait = self.scenario.waits[self.tries - 1];
            self.events.insert((self.now + wait, Event::Try));
        }
    }

    fn run(&mut self, attempt: &Attempt) {
        let (fate, until_end) = self.scenario.fates[self.attempts.min(self.scenario.fates.len() - 1)];
        self.attempts += 1;
        if fate.runs() {
            let worker: usize = attempt.worker.0[1..].parse().unwrap();
            let cresswheel_protocol::Message::Run { key, .. } = attempt.message() else { unreachable!() };
            self.take_effect(self.group_of(worker), key);
        }
        self.fates_by_attempt.insert(attempt.number, fate);
        self.events.insert((self.now + until_end, Event::AttemptEnds(attempt.number, self.attempts)));
    }

    fn take_effect(&mut self, group: usize, key: String) {
        if let Effect::Keyed { retention, .. } = self.scenario.effect {
            let first = self.memories.get(&(group, key.clone()));
            if first.is_some_and(|first| self.now - first < retention) {
                return;
            }
            self.memories.insert((group, key), self.now);
        }
        self.effects += 1;
    }

    fn start_try(&mut self) {
        self.tries += 1;
        let client = Client { connection: self.tries as u64, number: 1 };
        self.client = Some(client);
        if let (1, Some((_, after))) = (self.tries, self.scenario.interruption) {
            self.events.insert((self.now + after, Event::Interrupt));
        }
        let call = Call {
            deferred: false,
            function: "f".into(),
            class: "note".into(),
            tenant: String::new(),
            key: if self.scenario.has_key { "key".into() } else { String::new() },
            trace: String::new(),
            timeout: 0,
            shape: FunctionProfile { memory_mb: 100, lanes: 4, load_time: 0, work: 0 },
            body: b"receipt".to_vec(),
            account: None,
            route: None,
            workers_deduplicate: false,
        };
        self.handle(Input::Call(client, call));
    }

    fn interrupt(&mut self) {
        let Some((interruption, _)) = self.scenario.interruption else { return };
        if interruption == Interruption::Term {
            self.handle(Input::Drain);
            return self.handle(Input::Stop);
        }
        let Some(client) = self.client.take() else { return };
        match interruption {
            Interruption::Cancel => self.handle(Input::Cancel(client)),
            _ => self.handle(Input::Disconnected(client.connection)),
        }
        // Without a key nothing tells the gateway that a further try is the same call.
        if self.scenario.has_key {
            self.try_again();
        }
    }

    /// Plays the scenario and returns the number of effects.
    fn play(mut self) -> usize {
        let end = self.now + END;
        loop {
            let event = self.events.first().map_or(end, |(at, _)| *at);
            let wake = self.engine.wake_at().unwrap_or(end);
            self.now = self.now.max(event.min(wake));
            if self.now >= end {
                return self.effects;
            }
            if wake < event {
                self.handle(Input::Wake);
                continue;
            }
            let Some((_, event)) = self.events.pop_first() else { return self.effects };
            match event {
                Event::Try => self.start_try(),
                Event::Interrupt => self.interrupt(),
                Event::AttemptEnds(attempt, _) => {
                    if let Some(end) = self.fates_by_attempt[&attempt].end() {
                        self.handle(Input::AttemptEnded(attempt, end, Vec::new(), None));
                    }
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, rng_seed: RngSeed::Fixed(61), ..ProptestConfig::default() })]

    /// Guards against review case 2: a keyed call that may have run was refused at its deadline, its key was
    /// freed, and its repeat took effect a second time once the workers had forgotten the key.
    #[test]
    fn no_effect_happens_twice_however_often_a_client_repeats_after_a_refusal(scenario in scenario()) {
        let effects = Simulation::new(scenario).play();
        prop_assert!(effects <= 1, "{effects} effects");
    }
}
