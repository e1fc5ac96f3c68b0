//! Where a call's CPU goes inside a gateway: module, engine and codec, each run alone in this process.

use std::hint::black_box;
use std::time::Instant;

use cresswheel::{
    Action, Class, Dispatcher, Effect, Event, Outcome, Request, Settings, WorkerEntry, WorkerListUpdate,
    WorkerState,
};
use cresswheel_engine::{
    AdmissionLimits, AttemptEnd, Call, Client, Engine, EngineSettings, Input, Output, ResultLimits,
};
use cresswheel_protocol::{
    Decoder, Ending, FunctionProfile, Limits, ListedWorker, MemberState, Message, Status, encode,
};

/// Microseconds of a call.
pub struct Parts {
    pub module: f64,
    /// Without the module.
    pub engine: f64,
    pub codec: f64,
}

const CALLS: u64 = 200_000;
/// Calls out at once.
const OUT: usize = 64;
const WORKERS: usize = 4;
/// Time between two calls, in microseconds.
const GAP: u64 = 20;

fn settings() -> Settings {
    let class = Class {
        name: "check".into(),
        latency_objective: 600_000,
        client_timeout: 10_000_000,
        effect: Effect::Safe,
        streamed: false,
        worth: 1.0,
        late_worth: 0.0,
    };
    let (keep_alive, order_timeout) = (60_000_000, 10_000_000);
    Settings {
        classes: vec![class],
        may_prewarm: true,
        keep_alive,
        order_timeout,
        max_attempts: 4,
        ..Settings::default()
    }
}

pub fn measure(body: usize) -> Parts {
    let module = module();
    let engine = engine(body);
    Parts { module, engine: (engine - module).max(0.0), codec: codec(body) }
}

fn module() -> f64 {
    let Ok(mut module) = Dispatcher::new(settings(), 1) else { return f64::NAN };
    let mut actions = Vec::new();
    let entry = |n: usize| WorkerEntry {
        id: format!("w{n}").as_str().into(),
        state: WorkerState::InService,
        ..WorkerEntry::default()
    };
    module.handle(
        0,
        Event::List(WorkerListUpdate::Complete((0..WORKERS).map(entry).collect())),
        &mut actions,
    );
    let mut out = std::collections::VecDeque::new();
    let (mut now, mut wake) = (1, u64::MAX);
    let began = Instant::now();
    for n in 0..CALLS {
        now += GAP;
        let request = Request {
            id: n.to_string().as_str().into(),
            class: 0,
            tenant: None,
            function: format!("f{}", n % 16).as_str().into(),
            time_left: 10_000_000,
            memory_mb: Some(10.0),
            concurrency: Some(100_000),
            load_time: None,
        };
        module.handle(now, Event::Arrived(request), &mut actions);
        if out.len() >= OUT
            && let Some((request, worker, sent)) = out.pop_front()
        {
            let ended = Event::AttemptEnded {
                request,
                attempt: 0,
                worker,
                outcome: Outcome::Ok,
                elapsed: now - sent,
                answered: true,
                worker_in_flight: Some(0),
                load_failed: false,
            };
            module.handle(now, ended, &mut actions);
        }
        if wake <= now {
            wake = u64::MAX;
            module.handle(now, Event::Wake, &mut actions);
        }
        for action in actions.drain(..) {
            match action {
                Action::Send { request, worker, .. } => out.push_back((request, worker, now)),
                Action::WakeAfter(span) => wake = wake.min(now + span),
                other => _ = black_box(other),
            }
        }
    }
    began.elapsed().as_secs_f64() * 1e6 / CALLS as f64
}

fn engine(body: usize) -> f64 {
    let settings = EngineSettings {
        dispatcher: settings(),
        admission: AdmissionLimits { per_connection: 1_000_000, ..AdmissionLimits::default() },
        results: ResultLimits::default(),
        answer_margin: 10_000,
        max_time: 60_000_000,
        deferred_time: 60_000_000,
    };
    let Ok(mut engine) = Engine::new(settings, 1) else { return f64::NAN };
    let mut outputs = Vec::new();
    let entry = |n: usize| ListedWorker {
        id: format!("w{n}"),
        address: "127.0.0.1:1".into(),
        zone: String::new(),
        kind: String::new(),
        cell: 0,
        standing: MemberState::Active,
        started: 0,
    };
    engine.handle(0, Input::List { whole: true, workers: (0..WORKERS).map(entry).collect() }, &mut outputs);
    let mut out = std::collections::VecDeque::new();
    let mut now = 1;
    let answer = vec![b'x'; body];
    let began = Instant::now();
    for number in 0..CALLS {
        now += GAP;
        let call = Call {
            deferred: false,
            function: format!("f{}", number % 16),
            class: "check".into(),
            tenant: String::new(),
            key: String::new(),
            trace: String::new(),
            timeout: 10_000_000,
            shape: FunctionProfile { memory_mb: 10, lanes: 100_000, load_time: 0, work: 0 },
            body: answer.clone(),
            account: None,
            route: None,
            workers_deduplicate: false,
        };
        engine.handle(now, Input::Call(Client { connection: number % 8, number }, call), &mut outputs);
        if out.len() >= OUT
            && let Some(attempt) = out.pop_front()
        {
            let end = AttemptEnd::Answered(Ending::Ok, 0);
            engine.handle(now, Input::AttemptEnded(attempt, end, answer.clone(), None), &mut outputs);
        }
        if engine.wake_at().is_some_and(|at| at <= now) {
            engine.handle(now, Input::Wake, &mut outputs);
        }
        for output in outputs.drain(..) {
            match output {
                Output::Run(attempt) => out.push_back(attempt.number),
                other => _ = black_box(other),
            }
        }
    }
    began.elapsed().as_secs_f64() * 1e6 / CALLS as f64
}

/// What the gateway reads and writes of a call: the call and the worker's answer in, the attempt and the answer out.
fn codec(body: usize) -> f64 {
    let shape = FunctionProfile { memory_mb: 10, lanes: 100_000, load_time: 0, work: 0 };
    let (function, class, trace, key) = ("f1".to_owned(), "check".to_owned(), String::new(), String::new());
    let body = vec![b'x'; body];
    let call = Message::Call {
        number: 1,
        deferred: false,
        function: function.clone(),
        class: class.clone(),
        tenant: String::new(),
        key: key.clone(),
        trace: trace.clone(),
        time_left: 1,
        shape: shape.clone(),
        body: body.clone(),
        account: None,
    };
    let ran = Message::Ran { attempt: 1, ending: Ending::Ok, crowd: 0, body: body.clone(), origin: None };
    let run = Message::Run {
        attempt: 1,
        trace: "0123456789abcdef-1".into(),
        before: 0,
        function,
        class,
        key: "0123456789abcdef-1".into(),
        time_left: 1,
        shape,
        body: body.clone(),
    };
    let (reason, origin) = (String::new(), None);
    let answer = Message::Answer { number: 1, status: Status::Served, reason, retry_after: 0, body, origin };
    let (mut incoming, mut outgoing) = (Vec::new(), Vec::new());
    encode(&call, &mut incoming);
    encode(&ran, &mut incoming);
    let mut decoder = Decoder::new(Limits::default());
    let began = Instant::now();
    for _ in 0..CALLS {
        decoder.push(&incoming);
        while let Ok(Some(message)) = decoder.decode() {
            black_box(message);
        }
        outgoing.clear();
        encode(&run, &mut outgoing);
        encode(&answer, &mut outgoing);
        black_box(&outgoing);
    }
    began.elapsed().as_secs_f64() * 1e6 / CALLS as f64
}
