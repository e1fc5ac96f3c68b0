//! Drawn sequences of events, each played against a dispatcher by a stand-in for host and workers: what it
//! answers is a function of the seed alone, so that the digests of its actions compare two versions of the module.

use std::collections::{BTreeMap, BTreeSet};

use cresswheel::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;
use xxhash_rust::xxh3::Xxh3;

use super::{MS, S, class, settings};

const TICK: Micros = 2 * MS;
const LENGTH: Micros = 200 * S;
const WORKERS: u32 = 24;
const FUNCTIONS: u32 = 500;

/// How many of the drawn sequences there are.
pub const SEQUENCES: u64 = 10;

/// What came of one sequence.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Stream {
    /// Of all actions with their times.
    pub digest: u64,
    /// The same without those that only ask for a wake-up.
    pub digest_without_wakes: u64,
    /// How many actions of each kind there were.
    pub actions: BTreeMap<&'static str, usize>,
}

/// The settings of each sequence: orders on and off, with and without ration, peers and cold starts.
fn settings_of(sequence: u64) -> Settings {
    let ration = Some(OrderRation { window: 5 * S, free: 4.0, per_request: 0.1 });
    let base = Settings { keep_alive: 3 * S, ..settings() };
    let miss = Settings { when_absent: WhenAbsent::Miss, ..base.clone() };
    let gentle = ColdStart { from: 0.1, warm_up: 20 * S, multiple: 1.5, window: 3 * S };
    match sequence {
        0 => base,
        1 => Settings { gateways: 3, ..base },
        2 => miss,
        3 => Settings { gateways: 40, ration, ..miss },
        4 => Settings { may_order: false, ..base },
        5 => Settings { may_order: false, must_follow: true, gateways: 12, ..miss },
        6 => Settings { ration, cold: gentle, tells_crowd: true, ..base },
        7 => Settings { gateways: 200, cold: gentle, tells_crowd: true, ..miss },
        8 => Settings { keep_alive: 500 * MS, retry_after: true, max_retry_after: 2 * S, ..base },
        _ => Settings { classes: vec![class("short", Effect::Safe)], keep_alive: 9 * S, gateways: 2, ..base },
    }
}

enum Due {
    Wake,
    End { request: RequestId, attempt: usize, worker: WorkerId, outcome: Outcome, sent: Micros },
    Held { worker: WorkerId, function: FunctionId, outcome: Outcome, standing: u32, sent: Micros },
}

/// Host and workers of one sequence.
struct Player {
    settings: Settings,
    module: Dispatcher,
    rng: Pcg32,
    now: Micros,
    due: BTreeMap<(Micros, u64), Due>,
    made: u64,
    list: Vec<WorkerEntry>,
    named: u32,
    /// Until when an instance stands.
    stands: BTreeMap<(WorkerId, FunctionId), Micros>,
    attempts: BTreeMap<RequestId, usize>,
    open: BTreeSet<RequestId>,
    all: Xxh3,
    without_wakes: Xxh3,
    actions: BTreeMap<&'static str, usize>,
}

/// Plays one sequence to its end.
pub fn play(sequence: u64) -> Stream {
    let settings = settings_of(sequence);
    let mut player = Player {
        module: Dispatcher::new(settings.clone(), sequence).expect("sensible settings"),
        settings,
        rng: Pcg32::new(sequence, 7),
        now: 0,
        due: BTreeMap::new(),
        made: 0,
        list: Vec::new(),
        named: 0,
        stands: BTreeMap::new(),
        attempts: BTreeMap::new(),
        open: BTreeSet::new(),
        all: Xxh3::new(),
        without_wakes: Xxh3::new(),
        actions: BTreeMap::new(),
    };
    player.run();
    Stream {
        digest: player.all.digest(),
        digest_without_wakes: player.without_wakes.digest(),
        actions: player.actions,
    }
}

impl Player {
    fn below(&mut self, n: u32) -> u32 {
        self.rng.next_u32() % n
    }

    fn run(&mut self) {
        self.list = (0..WORKERS).map(|_| self.new_worker()).collect();
        self.give(Event::List(ListNews::Whole(self.list.clone())));
        while self.now < LENGTH {
            self.now += TICK;
            while let Some((_, due)) = self.next_due() {
                let event = self.event(due);
                event.into_iter().for_each(|event| self.give(event));
            }
            // Some 100 calls a second, with a quiet spell now and then.
            let quiet = (self.now / S) % 40 > 33;
            if self.below(if quiet { 60 } else { 5 }) == 0 {
                self.call();
            }
            if self.below(800) == 0 {
                self.list_news();
            }
            if self.below(1_500) == 0 {
                let (function, like) = (self.function(), self.function());
                let within = Micros::from(self.below(8_000)) * MS;
                self.give(Event::Expected { function, like, within });
            }
        }
    }

    /// Often one of a few, whose circle moves on, so that others are forgotten.
    fn function(&mut self) -> FunctionId {
        let circle = (self.now / (50 * S)) as u32 * 40;
        let many = [6, 6, 6, 40, 40, 40, 40, FUNCTIONS][self.below(8) as usize];
        let number = (circle + self.below(many)) % FUNCTIONS;
        FunctionId::from(format!("f{number}").as_str())
    }

    fn call(&mut self) {
        self.made += 1;
        let (id, function) = (RequestId::from(format!("r{}", self.made).as_str()), self.function());
        let number: u32 = function.0[1..].parse().expect("a number");
        let request = Request {
            id: id.clone(),
            class: self.below(self.settings.classes.len() as u32) as usize,
            tenant: None,
            function,
            time_left: Micros::from(200 + self.below(4_800)) * MS,
            memory_mb: Some(f64::from(300 + number % 7 * 100)),
            lanes: Some(1 + number % 4),
            load_time: number.is_multiple_of(5).then_some(900 * MS),
        };
        self.open.insert(id.clone());
        self.give(Event::Arrived(request));
        if self.below(60) == 0 && self.open.remove(&id) {
            self.give(Event::Gone(id));
        }
    }

    fn new_worker(&mut self) -> WorkerEntry {
        self.named += 1;
        WorkerEntry { started: (self.now > 0).then_some(self.now), ..super::worker(self.named as usize) }
    }

    /// Drains, departures, restarts, replacements under a new name, whole lists and lost ones.
    fn list_news(&mut self) {
        let at = self.below(WORKERS) as usize;
        match self.below(6) {
            0 => self.list[at].state = WorkerState::Draining,
            1 => self.list[at].state = WorkerState::Out,
            2 => self.list[at] = self.new_worker(),
            3 => self.list[at].started = Some(self.now),
            _ => {}
        }
        // Most that left come back.
        let back = self.below(WORKERS) as usize;
        self.list[back].state = WorkerState::In;
        let listed = self.list.iter().filter(|w| w.state == WorkerState::In).cloned().collect();
        let changes = vec![self.list[at].clone(), self.list[back].clone()];
        let news = match self.below(5) {
            0 | 1 => ListNews::Whole(listed),
            2 => ListNews::Lost,
            _ => ListNews::Changes(changes),
        };
        self.give(Event::List(news));
    }

    fn next_due(&mut self) -> Option<((Micros, u64), Due)> {
        let (at, _) = *self.due.first_key_value()?.0;
        if at <= self.now { self.due.pop_first() } else { None }
    }

    fn event(&mut self, due: Due) -> Option<Event> {
        Some(match due {
            Due::Wake => Event::Wake,
            Due::End { request, attempt, worker, outcome, sent } => {
                let answered = outcome == Outcome::Ok && self.open.remove(&request);
                let crowd = (attempt == 0).then(|| self.below(3));
                let elapsed = self.now - sent;
                let load_failed = outcome == Outcome::Error && crowd == Some(0);
                Event::Ended { request, attempt, worker, outcome, elapsed, answered, crowd, load_failed }
            }
            Due::Held { worker, function, outcome, standing, sent } => {
                Event::Held { worker, function, outcome, elapsed: self.now - sent, standing }
            }
        })
    }

    fn give(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.module.handle(self.now, event, &mut actions);
        for action in actions {
            self.record(&action);
            self.carry_out(action);
        }
    }

    fn record(&mut self, action: &Action) {
        let line = format!("{} {action:?}\n", self.now);
        self.all.update(line.as_bytes());
        let kind = match action {
            Action::Send { .. } => "send",
            Action::Refuse { .. } => "refuse",
            Action::Fail { .. } => "fail",
            Action::Hold { .. } => "hold",
            Action::Drop { .. } => "drop",
            Action::Forget(_) => "forget",
            Action::WakeAfter(_) => "wake",
            _ => "other",
        };
        *self.actions.entry(kind).or_default() += 1;
        if kind != "wake" {
            self.without_wakes.update(line.as_bytes());
        }
    }

    fn later(&mut self, span: Micros, due: Due) {
        self.made += 1;
        self.due.insert((self.now + span, self.made), due);
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::WakeAfter(span) => self.later(span, Due::Wake),
            Action::Send { request, worker, timeout } => {
                let attempt = self.attempts.entry(request.clone()).or_default();
                *attempt += 1;
                let attempt = *attempt - 1;
                let (outcome, takes) = self.serve(&worker, timeout);
                let sent = self.now;
                self.later(takes, Due::End { request, attempt, worker, outcome, sent });
            }
            Action::Hold { worker, function, .. } => self.order(worker, function),
            Action::Drop { worker, function } => {
                self.stands.remove(&(worker, function));
            }
            Action::Refuse { request, .. } | Action::Fail { request } => {
                self.open.remove(&request);
            }
            _ => {}
        }
    }

    fn serve(&mut self, worker: &WorkerId, timeout: Micros) -> (Outcome, Micros) {
        let short = Micros::from(1 + self.below(40)) * MS;
        let long = Micros::from(100 + self.below(900)) * MS;
        let miss = self.settings.when_absent == WhenAbsent::Miss;
        // Each worker has its own share of trouble.
        let troubled = worker.0.len().is_multiple_of(2);
        match self.below(if troubled { 60 } else { 200 }) {
            0 => (Outcome::Error, short),
            1 => (Outcome::Full, short),
            2 => (Outcome::Timeout, timeout),
            3 => (Outcome::ConnectFailed, short),
            4 => (Outcome::Reset, short),
            5 => (Outcome::Moot, 1),
            6..12 if miss => (Outcome::Miss, short),
            6..12 => (Outcome::Ok, long.min(timeout)),
            _ => (Outcome::Ok, short.min(timeout)),
        }
    }

    fn order(&mut self, worker: WorkerId, function: FunctionId) {
        let (now, keep) = (self.now, self.settings.keep_alive);
        let stood = self.stands.get(&(worker.clone(), function.clone())).is_some_and(|until| *until > now);
        let (outcome, standing, takes) = match self.below(12) {
            0 => (Outcome::Full, u32::from(stood), MS),
            1 => (Outcome::Error, 0, MS),
            2 if !stood => (Outcome::Timeout, 0, S),
            3 if !stood => (Outcome::ConnectFailed, 0, 30 * MS),
            _ if stood => (Outcome::Ok, 1, 3 * MS),
            _ => (Outcome::Ok, 1, Micros::from(300 + self.below(900)) * MS),
        };
        if outcome == Outcome::Ok {
            self.stands.insert((worker.clone(), function.clone()), now + takes + keep);
        }
        self.later(takes, Due::Held { worker, function, outcome, standing, sent: now });
    }
}
