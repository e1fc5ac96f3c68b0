//! One run: the event queue, and who does what at each event.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::path::Path;
use std::time::Instant;

use anyhow::Context;
use cresswheel::WorkerId;
use cresswheel_engine::{AttemptEnd, Client, Input, OrderEnd, Output};
use cresswheel_gateway::GatewaySettings;
use cresswheel_protocol::{Ending, Listed, Message, Micros, Role, Shape, Standing};
use cresswheel_settings::ScaleScenario;
use cresswheel_standins::Effect;
use foldhash::{HashMap, HashMapExt};
use hdrhistogram::Histogram;

use crate::clock::reading_nanos;
use crate::hollow::{HollowGateway, settings_of};
use crate::memory;
use crate::network::Network;
use crate::records::{ChangeLog, CostMeter, Kind, Messages};
use crate::report::{GatewayRecord, MemoryRecord, Report, SourceRecord, WorkerRecord};
use crate::size::{Estimate, call};
use crate::sources::Sources;
use crate::traffic::{Calls, function_name};
use crate::worker::{SimulatedWorker, Task, entry, profile};

/// Where simulated time begins, in microseconds since 1970.
const BEGIN: Micros = 1_700_000_000_000_000;
/// After the last call, how long its answer may take.
const DRAIN: Micros = 120_000_000;
/// Client connections of a gateway.
const CLIENT_CONNECTIONS: u64 = 16;
/// How often memory and the wall clock are looked at.
const LOOK_EVERY: u64 = 10_000;
/// Bytes of a worker's answer.
const ANSWER_BYTES: usize = 200;

/// What a run is given.
pub struct Inputs<'a> {
    /// The scenario.
    pub scenario: &'a ScaleScenario,
    /// The settings of all gateways.
    pub settings: &'a GatewaySettings,
    /// What [`crate::plan`] worked out.
    pub estimate: Estimate,
    /// The run ends early after so many seconds of wall time.
    pub most_wall_s: u64,
}

/// What goes to a worker.
enum ToWorker {
    Run { function: String, shape: Shape, time_left: Micros },
    Cancel,
    Hold { function: String, count: u32, shape: Shape },
    Drop(String),
    Probe,
}

enum Event {
    /// A client's call.
    Arrival,
    Wake(usize),
    AtWorker {
        worker: usize,
        task: Task,
        what: ToWorker,
        kind: &'static str,
        bytes: u64,
    },
    /// Something reaches a gateway; the bytes of the message, if it is one.
    AtGateway {
        gateway: usize,
        kind: Kind,
        input: Box<Input>,
        message: Option<(&'static str, u64)>,
    },
    /// Time passes for a worker.
    Pass(usize),
    Fetched {
        worker: usize,
        life: u32,
        function: String,
    },
    ListChange,
    SettingsChange,
    News {
        gateway: usize,
        version: u64,
        whole: bool,
        entries: std::rc::Rc<[Listed]>,
        bytes: u64,
    },
    Settings {
        gateway: usize,
        version: u64,
        bytes: u64,
    },
}

struct Timed {
    at: Micros,
    turn: u64,
    event: Event,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.turn) == (other.at, other.turn)
    }
}
impl Eq for Timed {}
impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.turn).cmp(&(other.at, other.turn))
    }
}

/// Events by their time; those of one time in the order in which they came.
#[derive(Default)]
struct Queue {
    heap: BinaryHeap<Reverse<Timed>>,
    turn: u64,
}

impl Queue {
    fn push(&mut self, at: Micros, event: Event) {
        self.turn += 1;
        self.heap.push(Reverse(Timed { at, turn: self.turn, event }));
    }
}

/// The fleet of a run.
struct World<'a> {
    scenario: &'a ScaleScenario,
    settings: &'a GatewaySettings,
    network: Network,
    queue: Queue,
    now: Micros,
    gateways: Vec<HollowGateway>,
    workers: Vec<SimulatedWorker>,
    worker_numbers: HashMap<WorkerId, usize>,
    sources: Sources,
    calls: Calls,
    /// No calls and changes from then on; `None`: the traffic has not begun.
    until: Option<Micros>,
    /// Calls without an answer: when each was made.
    open: HashMap<u64, Micros>,
    made: u64,
    answers: BTreeMap<String, u64>,
    stray_answers: u64,
    answer_times: Histogram<u64>,
    meters: BTreeMap<Kind, CostMeter>,
    gateway_sent: Messages,
    gateway_received: Messages,
    worker_sent: Messages,
    worker_received: Messages,
    list_log: ChangeLog,
    settings_log: ChangeLog,
    list_turn: usize,
    whole_lists: usize,
    stale_attempts: u64,
    falls: u64,
    settings_bytes: u64,
    outputs: Vec<Output>,
}

/// Runs a scenario in simulated time; ends by itself.
pub fn run(inputs: Inputs) -> anyhow::Result<Report> {
    let began = Instant::now();
    let scenario = inputs.scenario;
    let base = memory::resident()?;
    let mut world = World::new(scenario, inputs.settings)?;
    let with_workers = memory::resident()?;
    world.start_gateways()?;
    let mut stop = Stop { began, inputs: &inputs, ended: None };
    world.play(&mut stop, |world| world.whole_lists == world.gateways.len())?;
    let whole_list_us = world.now - BEGIN;
    let listed = memory::resident()?;
    let startup = world.sources_sent();
    world.begin_traffic();
    let start = world.now;
    let until = start + (scenario.seconds * 1e6) as Micros;
    world.play(&mut stop, |world| {
        world.now >= until && (world.open.is_empty() || world.now >= until + DRAIN)
    })?;
    let span = world.now - start;
    let at_end = memory::resident()?;
    let memory = MemoryRecord {
        base,
        workers: with_workers.saturating_sub(base),
        gateways_listed: listed.saturating_sub(with_workers),
        traffic: at_end.saturating_sub(listed),
        end: at_end,
        peak: memory::peak()?,
    };
    world.report(Ended {
        ended_early: stop.ended,
        start,
        span,
        whole_list_us,
        startup,
        memory,
        estimate: inputs.estimate.clone(),
        wall_s: began.elapsed().as_secs_f64(),
    })
}

/// What the end of a run adds to its report.
struct Ended {
    ended_early: Option<String>,
    start: Micros,
    span: Micros,
    whole_list_us: Micros,
    startup: SourceRecord,
    memory: MemoryRecord,
    estimate: Estimate,
    wall_s: f64,
}

/// Says when a run must end before its time.
struct Stop<'a> {
    began: Instant,
    inputs: &'a Inputs<'a>,
    ended: Option<String>,
}

impl Stop<'_> {
    fn look(&mut self) -> anyhow::Result<bool> {
        let resident = memory::resident()?;
        let (wall, most) = (self.began.elapsed().as_secs(), self.inputs.estimate.most);
        if wall >= self.inputs.most_wall_s {
            self.ended = Some(format!("{wall} s of wall time were over"));
        } else if resident > most {
            self.ended = Some(format!("{} MB were resident, {} MB may be", resident >> 20, most >> 20));
        }
        Ok(self.ended.is_some())
    }
}

impl<'a> World<'a> {
    fn new(scenario: &'a ScaleScenario, settings: &'a GatewaySettings) -> anyhow::Result<Self> {
        let network = Network::new(scenario);
        let worker = |number| {
            let zone = network.zone(number);
            let entry = entry(number, network.zone_name(zone));
            SimulatedWorker::new(entry, zone, profile(scenario, settings, number))
        };
        let workers: Vec<SimulatedWorker> = (0..scenario.workers).map(worker).collect();
        let names = workers.iter().enumerate();
        let worker_numbers = names.map(|(n, worker)| (WorkerId::from(worker.entry.id.as_str()), n)).collect();
        let sources =
            Sources::new(scenario.sources, scenario.source_bytes_per_s, scenario.gateways, &network);
        let bytes = std::fs::metadata(&scenario.settings);
        let bytes = bytes.with_context(|| scenario.settings.display().to_string())?.len();
        Ok(Self {
            scenario,
            settings,
            network,
            queue: Queue::default(),
            now: BEGIN,
            gateways: Vec::with_capacity(scenario.gateways),
            workers,
            worker_numbers,
            sources,
            calls: Calls::new(scenario),
            until: None,
            open: HashMap::new(),
            made: 0,
            answers: BTreeMap::new(),
            stray_answers: 0,
            answer_times: Histogram::new_with_bounds(1, DRAIN, 2)?,
            meters: Kind::ALL.into_iter().map(|kind| (kind, CostMeter::new())).collect(),
            gateway_sent: Messages::default(),
            gateway_received: Messages::default(),
            worker_sent: Messages::default(),
            worker_received: Messages::default(),
            list_log: ChangeLog::default(),
            settings_log: ChangeLog::default(),
            list_turn: 0,
            whole_lists: 0,
            stale_attempts: 0,
            falls: 0,
            settings_bytes: bytes,
            outputs: Vec::new(),
        })
    }

    /// All gateways start at once and ask for the list.
    fn start_gateways(&mut self) -> anyhow::Result<()> {
        let entries: std::rc::Rc<[Listed]> = self.workers.iter().map(|worker| worker.entry.clone()).collect();
        let list = Message::List { whole: true, version: 0, workers: entries.to_vec() };
        let bytes = Messages::default().count(&list);
        for number in 0..self.scenario.gateways {
            let zone = self.network.zone(number);
            let name = self.network.zone_name(zone);
            let settings = settings_of(self.settings, number, &name, self.scenario.gateways)?;
            let hello = Message::Hello { role: Role::Gateway, name: settings.name.clone(), zone: name };
            let life = self.scenario.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ number as u64;
            self.gateways.push(HollowGateway::new(settings, zone, life)?);
            let source = self.sources.of(number);
            source.received.count(&hello);
            source.received.count(&Message::Follow {});
            source.sent.add(list.kind(), bytes);
            let asked = self.now + self.network.latency(zone, source.zone);
            let at = self.sources.deliver(asked, number, zone, bytes, &self.network);
            let entries = entries.clone();
            self.queue.push(at, Event::News { gateway: number, version: 0, whole: true, entries, bytes });
        }
        Ok(())
    }

    /// What was sent before the traffic is reported apart.
    fn begin_traffic(&mut self) {
        let seconds = (self.scenario.seconds * 1e6) as Micros;
        self.until = Some(self.now + seconds);
        self.gateway_sent = Messages::default();
        self.gateway_received = Messages::default();
        self.sources.begin();
        let first = self.calls.gap();
        self.queue.push(self.now + first, Event::Arrival);
        let changes =
            [(self.scenario.list_changes_per_hour, false), (self.scenario.config_changes_per_hour, true)];
        for (rate, is_settings) in changes.into_iter().filter(|(rate, _)| *rate > 0.0) {
            let event = if is_settings { Event::SettingsChange } else { Event::ListChange };
            self.queue.push(self.now + every(rate) / 2, event);
        }
    }

    fn play(&mut self, stop: &mut Stop, done: impl Fn(&Self) -> bool) -> anyhow::Result<()> {
        let mut events = 0;
        while stop.ended.is_none() && !done(self) {
            let Some(Reverse(timed)) = self.queue.heap.pop() else { return Ok(()) };
            self.now = self.now.max(timed.at);
            self.happens(timed.event)?;
            events += 1;
            if events % LOOK_EVERY == 0 && stop.look()? {
                return Ok(());
            }
        }
        Ok(())
    }

    fn happens(&mut self, event: Event) -> anyhow::Result<()> {
        match event {
            Event::Arrival => self.arrival(),
            Event::Wake(gateway) => self.wake(gateway),
            Event::AtWorker { worker, task, what, kind, bytes } => {
                self.worker_received.add(kind, bytes);
                self.at_worker(worker, task, what);
            }
            Event::AtGateway { gateway, kind, input, message } => {
                message.into_iter().for_each(|(kind, bytes)| self.gateway_received.add(kind, bytes));
                self.give(gateway, kind, *input);
            }
            Event::Pass(worker) => {
                // Only what was scheduled last counts.
                if self.workers[worker].pass_scheduled == Some(self.now) {
                    self.workers[worker].pass_scheduled = None;
                    let effects = self.workers[worker].pass(self.now);
                    self.effects(worker, effects);
                }
            }
            Event::Fetched { worker, life, function } => {
                if self.workers[worker].life == life {
                    let effects = self.workers[worker].fetched(self.now, &function);
                    self.effects(worker, effects);
                }
            }
            Event::ListChange => self.list_change(),
            Event::SettingsChange => self.settings_change(),
            Event::News { gateway, version, whole, entries, bytes } => {
                self.gateway_received.add("List", bytes);
                self.news(gateway, version, whole, entries.to_vec());
            }
            Event::Settings { gateway, version, bytes } => {
                self.gateway_received.add("Settings", bytes);
                let file: &Path = &self.scenario.settings;
                let took = self.gateways[gateway].take_settings(file, version)?;
                self.meter(Kind::Settings, took);
                self.settings_log.in_force(version, self.now);
            }
        }
        Ok(())
    }

    fn goes_on(&self) -> bool {
        self.until.is_some_and(|until| self.now < until)
    }

    fn meter(&mut self, kind: Kind, nanos: u64) {
        self.meters.entry(kind).or_insert_with(CostMeter::new).add(nanos);
    }

    fn arrival(&mut self) {
        if !self.goes_on() {
            return;
        }
        let gap = self.calls.gap();
        self.queue.push(self.now + gap, Event::Arrival);
        let (gateway, function) = (self.calls.gateway(), self.calls.function());
        let classes = &self.settings.engine.module.classes;
        let class = &classes[self.made as usize % classes.len()].name;
        let call = call(function_name(function), class.clone(), self.scenario);
        self.made += 1;
        let number = self.made;
        let message = Message::Call {
            number,
            deferred: false,
            function: call.function.clone(),
            class: call.class.clone(),
            tenant: String::new(),
            key: String::new(),
            trace: String::new(),
            time_left: 0,
            shape: call.shape.clone(),
            body: call.body.clone(),
            account: None,
        };
        self.gateway_received.count(&message);
        self.open.insert(number, self.now);
        let client = Client { connection: number % CLIENT_CONNECTIONS, number };
        self.give(gateway, Kind::Call, Input::Call(client, call));
    }

    fn wake(&mut self, gateway: usize) {
        let hollow = &mut self.gateways[gateway];
        // Another wake-up was scheduled instead.
        if hollow.wake_scheduled != Some(self.now) {
            return;
        }
        hollow.wake_scheduled = None;
        if hollow.engine.wake_at().is_some_and(|at| at <= self.now) {
            self.give(gateway, Kind::WakeUp, Input::Wake);
        } else {
            self.schedule_wake(gateway);
        }
    }

    fn schedule_wake(&mut self, gateway: usize) {
        let hollow = &mut self.gateways[gateway];
        let Some(at) = hollow.engine.wake_at().map(|at| at.max(self.now + 1)) else { return };
        if hollow.wake_scheduled.is_none_or(|scheduled| at < scheduled) {
            hollow.wake_scheduled = Some(at);
            self.queue.push(at, Event::Wake(gateway));
        }
    }

    /// Gives a gateway an input and carries out what it answers.
    fn give(&mut self, gateway: usize, kind: Kind, input: Input) {
        let mut outputs = std::mem::take(&mut self.outputs);
        let took = self.gateways[gateway].give(self.now, kind, input, &mut outputs);
        self.meter(kind, took);
        for output in outputs.drain(..) {
            self.carry_out(gateway, output);
        }
        self.outputs = outputs;
        self.schedule_wake(gateway);
    }

    fn carry_out(&mut self, gateway: usize, output: Output) {
        match output {
            Output::Answer(client, answer) => {
                let message = Message::Answer {
                    number: client.number,
                    status: answer.status,
                    reason: answer.reason.into(),
                    retry_after: answer.retry_after,
                    body: answer.body.to_vec(),
                    origin: None,
                };
                self.gateway_sent.count(&message);
                let word = match answer.reason {
                    "" => answer.status.word().to_owned(),
                    reason => format!("{} {reason}", answer.status.word()),
                };
                *self.answers.entry(word).or_default() += 1;
                match self.open.remove(&client.number) {
                    Some(made) => self.answer_times.saturating_record((self.now - made).max(1)),
                    None => self.stray_answers += 1,
                }
            }
            Output::Run(attempt) => self.run_attempt(gateway, &attempt),
            Output::CancelRun(worker, number) | Output::Overdue(worker, number) => {
                let message = Message::CancelRun { attempt: number };
                self.send_to_worker(gateway, &worker, number, &message, ToWorker::Cancel);
            }
            Output::Hold { worker, order, function, count, shape } => {
                let function = function.to_string();
                let message =
                    Message::Hold { order, function: function.clone(), count, shape: shape.clone() };
                self.send_to_worker(
                    gateway,
                    &worker,
                    order,
                    &message,
                    ToWorker::Hold { function, count, shape },
                );
            }
            Output::Drop(worker, function) => {
                let message = Message::Drop { function: function.to_string() };
                self.send_to_worker(gateway, &worker, 0, &message, ToWorker::Drop(function.to_string()));
            }
            Output::Probe(worker) => {
                self.send_to_worker(gateway, &worker, 0, &Message::Probe { number: 0 }, ToWorker::Probe);
            }
            // What was sent has left at once here: nothing can be taken back.
            Output::Withdraw(..) => {}
            // The list is followed from the start; calls here have no versions and none is deferred.
            Output::Follow | Output::Loaded(..) | Output::Over { .. } | Output::Ran(..) | Output::Log(_) => {}
            Output::Accepted(..) | Output::Close(..) => {}
        }
    }

    fn run_attempt(&mut self, gateway: usize, attempt: &cresswheel_engine::Attempt) {
        let call = &attempt.call;
        let or_id = |text: &str| if text.is_empty() { attempt.id.clone() } else { text.to_owned() };
        let message = Message::Run {
            attempt: attempt.number,
            trace: or_id(&call.trace),
            before: attempt.before,
            function: call.routed().to_owned(),
            class: call.class.clone(),
            key: or_id(&call.key),
            time_left: attempt.time_left,
            shape: call.shape.clone(),
            body: call.body.clone(),
        };
        let what = ToWorker::Run {
            function: call.routed().to_owned(),
            shape: call.shape.clone(),
            time_left: attempt.time_left,
        };
        if let Some(worker) = self.worker_numbers.get(&attempt.worker) {
            let in_service = self.workers[*worker].entry.standing == Standing::In;
            self.stale_attempts += u64::from(!in_service);
        }
        self.send_to_worker(gateway, &attempt.worker, attempt.number, &message, what);
    }

    fn send_to_worker(
        &mut self,
        gateway: usize,
        worker: &WorkerId,
        number: u64,
        message: &Message,
        what: ToWorker,
    ) {
        let Some(worker) = self.worker_numbers.get(worker).copied() else { return };
        let way = self.network.latency(self.gateways[gateway].zone, self.workers[worker].zone);
        let mut at = self.now + way;
        if self.gateways[gateway].connect(self.now, worker) {
            // A connection takes a way there and back before its first message.
            at += 2 * way;
            let zone = self.network.zone_name(self.gateways[gateway].zone);
            let name = format!("gateway-{gateway}");
            self.gateway_sent.count(&Message::Hello { role: Role::Gateway, name, zone });
        }
        let bytes = self.gateway_sent.count(message);
        let task = Task { gateway, number };
        self.queue.push(at, Event::AtWorker { worker, task, what, kind: message.kind(), bytes });
    }

    fn at_worker(&mut self, worker: usize, task: Task, what: ToWorker) {
        if !self.workers[worker].is_up() {
            let input = match what {
                ToWorker::Run { .. } => (
                    Kind::AttemptEnd,
                    Input::AttemptEnded(task.number, AttemptEnd::NotConnected, Vec::new(), None),
                ),
                ToWorker::Hold { .. } => {
                    (Kind::OrderEnd, Input::OrderEnded(task.number, OrderEnd::NotConnected, 0))
                }
                _ => return,
            };
            self.gateways[task.gateway].disconnect(worker);
            return self.send_to_gateway(worker, task.gateway, input, None);
        }
        let target = &mut self.workers[worker];
        let effects = match what {
            ToWorker::Run { function, shape, time_left } => {
                target.run(self.now, task, function, shape, time_left)
            }
            ToWorker::Cancel => target.cancel(task),
            ToWorker::Hold { function, count, shape } => target.hold(self.now, task, &function, count, shape),
            ToWorker::Drop(function) => {
                target.drop_idle(&function);
                Vec::new()
            }
            ToWorker::Probe => {
                let message = Message::Probed { number: 0, held: 0, queued: 0 };
                let bytes = self.worker_sent.count(&message);
                let id = WorkerId::from(self.workers[worker].entry.id.as_str());
                let input = (Kind::Probed, Input::Probed(id));
                return self.send_to_gateway(worker, task.gateway, input, Some((message.kind(), bytes)));
            }
        };
        self.effects(worker, effects);
    }

    fn effects(&mut self, worker: usize, effects: Vec<Effect>) {
        for effect in effects {
            self.effect(worker, effect);
        }
        self.schedule_pass(worker);
    }

    fn schedule_pass(&mut self, worker: usize) {
        let target = &mut self.workers[worker];
        let Some(at) = target.next().map(|at| at.max(self.now + 1)) else { return };
        if target.pass_scheduled.is_none_or(|scheduled| at < scheduled) {
            target.pass_scheduled = Some(at);
            self.queue.push(at, Event::Pass(worker));
        }
    }

    fn effect(&mut self, worker: usize, effect: Effect) {
        match effect {
            Effect::Began(_) => {}
            Effect::Ended(code, ending, crowd) => {
                self.workers[worker].answered(code);
                let Task { gateway, number } = Task::of(code);
                let body = if ending == Ending::Ok { vec![0; ANSWER_BYTES] } else { Vec::new() };
                let message =
                    Message::Ran { attempt: number, ending, crowd, body: body.clone(), origin: None };
                let bytes = self.worker_sent.count(&message);
                let end = AttemptEnd::Answered(ending, crowd);
                let input = (Kind::AttemptEnd, Input::AttemptEnded(number, end, body, None));
                self.send_to_gateway(worker, gateway, input, Some((message.kind(), bytes)));
            }
            Effect::Held(code, ending, standing) => {
                self.workers[worker].answered(code);
                let Task { gateway, number } = Task::of(code);
                let message = Message::Held { order: number, ending, standing };
                let bytes = self.worker_sent.count(&message);
                let input = (Kind::OrderEnd, Input::OrderEnded(number, OrderEnd::Answered(ending), standing));
                self.send_to_gateway(worker, gateway, input, Some((message.kind(), bytes)));
            }
            Effect::Fetch(function, time) => {
                let life = self.workers[worker].life;
                self.queue.push(self.now + time, Event::Fetched { worker, life, function });
            }
            Effect::Fell(..) => self.falls += 1,
        }
    }

    fn send_to_gateway(
        &mut self,
        worker: usize,
        gateway: usize,
        (kind, input): (Kind, Input),
        message: Option<(&'static str, u64)>,
    ) {
        let way = self.network.latency(self.workers[worker].zone, self.gateways[gateway].zone);
        self.queue.push(self.now + way, Event::AtGateway { gateway, kind, input: Box::new(input), message });
    }

    /// One worker drains, the next change it is gone, the next it is back: a restart takes three changes.
    fn list_change(&mut self) {
        if !self.goes_on() {
            return;
        }
        self.queue.push(self.now + every(self.scenario.list_changes_per_hour), Event::ListChange);
        let worker = self.list_turn / 3 % self.workers.len();
        match self.list_turn % 3 {
            0 => self.workers[worker].entry.standing = Standing::Draining,
            1 => self.stop_worker(worker),
            _ => self.workers[worker].start(self.now),
        }
        self.list_turn += 1;
        let version = self.list_log.make(self.now);
        let entry = self.workers[worker].entry.clone();
        let message = Message::List { whole: false, version, workers: vec![entry.clone()] };
        let entries: std::rc::Rc<[Listed]> = [entry].into();
        for gateway in 0..self.gateways.len() {
            let bytes = self.sources.of(gateway).sent.count(&message);
            let zone = self.gateways[gateway].zone;
            let at = self.sources.deliver(self.now, gateway, zone, bytes, &self.network);
            let entries = entries.clone();
            self.queue.push(at, Event::News { gateway, version, whole: false, entries, bytes });
        }
    }

    fn stop_worker(&mut self, worker: usize) {
        let broken = self.workers[worker].stop();
        self.workers[worker].entry.standing = Standing::Out;
        for (task, is_order) in broken {
            self.gateways[task.gateway].disconnect(worker);
            let input = if is_order {
                (Kind::OrderEnd, Input::OrderEnded(task.number, OrderEnd::Broken, 0))
            } else {
                (Kind::AttemptEnd, Input::AttemptEnded(task.number, AttemptEnd::Broken, Vec::new(), None))
            };
            self.send_to_gateway(worker, task.gateway, input, None);
        }
    }

    fn news(&mut self, gateway: usize, version: u64, whole: bool, workers: Vec<Listed>) {
        let kind = if whole { Kind::WholeList } else { Kind::ListChange };
        self.give(gateway, kind, Input::List { whole, workers });
        self.gateways[gateway].list_version = version;
        if whole {
            self.whole_lists += 1;
        } else {
            self.list_log.in_force(version, self.now);
        }
    }

    fn settings_change(&mut self) {
        if !self.goes_on() {
            return;
        }
        self.queue.push(self.now + every(self.scenario.config_changes_per_hour), Event::SettingsChange);
        let version = self.settings_log.make(self.now);
        let bytes = self.settings_bytes;
        for gateway in 0..self.gateways.len() {
            self.sources.of(gateway).sent.add("Settings", bytes);
            let zone = self.gateways[gateway].zone;
            let at = self.sources.deliver(self.now, gateway, zone, bytes, &self.network);
            self.queue.push(at, Event::Settings { gateway, version, bytes });
        }
    }

    fn sources_sent(&self) -> SourceRecord {
        let all = self.sources.all();
        SourceRecord {
            sources: all.len(),
            sent: all.iter().map(|source| source.sent.report()).collect(),
            received: all.iter().map(|source| source.received.report()).collect(),
        }
    }

    fn report(&self, ended: Ended) -> anyhow::Result<Report> {
        let seconds = (ended.span as f64 / 1e6).max(1e-6);
        let gateways = &self.gateways;
        let counters = || gateways.iter().map(|gateway| gateway.engine.counters());
        let count = gateways.len().max(1) as f64;
        let share = |nanos: u64| nanos as f64 / 1e9 / seconds;
        let shares = || gateways.iter().map(|gateway| share(gateway.control_nanos));
        let connections: Vec<usize> = gateways.iter().map(|g| g.connections(self.now)).collect();
        let gateway = GatewayRecord {
            gateways: gateways.len(),
            sent: self.gateway_sent.report(),
            received: self.gateway_received.report(),
            control_core_share: shares().sum::<f64>() / count,
            worst_control_core_share: shares().fold(0.0, f64::max),
            service_core_share: gateways.iter().map(|g| share(g.service_nanos)).sum::<f64>() / count,
            costs: self.meters.iter().map(|(kind, meter)| (kind.word().into(), meter.report())).collect(),
            connections: connections.iter().sum::<usize>() as f64 / count,
            most_connections: connections.iter().copied().max().unwrap_or(0),
            connections_opened: gateways.iter().map(|gateway| gateway.opened).sum(),
            taken: counters().map(|counters| counters.taken.iter().sum::<u64>()).sum(),
            attempts_ended: counters().map(|counters| counters.attempts.values().sum::<u64>()).sum(),
            attempts_open: gateways.iter().map(|gateway| gateway.engine.open_attempts() as u64).sum(),
            orders: counters().map(|counters| counters.orders).sum(),
            list_behind: gateways.iter().filter(|g| g.list_version < self.list_log.newest()).count(),
            stale_attempts: self.stale_attempts,
        };
        let memory = u64::from(self.scenario.shape.memory_mb.max(1));
        let in_use: u64 = self.workers.iter().map(|worker| u64::from(worker.memory_mb())).sum();
        let workers = WorkerRecord {
            workers: self.workers.len(),
            sent: self.worker_sent.report(),
            received: self.worker_received.report(),
            instances: in_use / memory,
            falls: self.falls,
        };
        let mut changes = self.list_log.report("list", ended.start);
        changes.extend(self.settings_log.report("settings", ended.start));
        let time = |quantile| self.answer_times.value_at_quantile(quantile);
        Ok(Report {
            quantities: quantities(self.scenario),
            ended_early: ended.ended_early,
            simulated_s: seconds,
            wall_s: ended.wall_s,
            clock_reading_ns: reading_nanos(),
            calls: self.made,
            answers: self.answers.clone(),
            unanswered: self.open.len() as u64,
            stray_answers: self.stray_answers,
            answer_median_us: time(0.5),
            answer_p99_us: time(0.99),
            whole_list_last_us: ended.whole_list_us,
            startup: ended.startup,
            gateway,
            workers,
            sources: self.sources_sent(),
            changes,
            memory: ended.memory,
            estimate: ended.estimate,
            real: None,
        })
    }
}

/// The quantities of a scenario, by name.
fn quantities(scenario: &ScaleScenario) -> BTreeMap<String, f64> {
    let all = [
        ("gateways", scenario.gateways as f64),
        ("workers", scenario.workers as f64),
        ("functions", scenario.functions as f64),
        ("instances", scenario.instances as f64),
        ("rate", scenario.rate),
        ("rate_fraction", scenario.rate_fraction),
        ("hot_functions", scenario.hot_functions as f64),
        ("hot_share", scenario.hot_share),
        ("config_changes_per_hour", scenario.config_changes_per_hour),
        ("list_changes_per_hour", scenario.list_changes_per_hour),
        ("zones", scenario.zones as f64),
        ("regions", scenario.regions as f64),
        ("seed", scenario.seed as f64),
        ("seconds", scenario.seconds),
        ("real", scenario.real as f64),
    ];
    all.into_iter().map(|(name, value)| (name.to_owned(), value)).collect()
}

/// The time between things that happen so often an hour.
fn every(an_hour: f64) -> Micros {
    ((3_600e6 / an_hour) as Micros).max(1)
}
