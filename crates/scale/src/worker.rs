//! A simulated worker: the stand-in worker's model, without its sockets.

use cresswheel::MissPolicy;
use cresswheel_gateway::GatewaySettings;
use cresswheel_protocol::{FunctionProfile, ListedWorker, MemberState, Micros};
use cresswheel_settings::ScaleScenario;
use cresswheel_standins::{Effect, Job, Model, Profile};
use foldhash::{HashMap, HashMapExt};

/// Which gateway's attempt or order; an engine uses no number twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Task {
    /// The gateway.
    pub gateway: usize,
    /// Its number for the attempt or the order.
    pub number: u64,
}

/// Bits of a task's number at the worker that are the gateway's own number.
const NUMBER_BITS: u32 = 48;

impl Task {
    fn code(self) -> u64 {
        (self.gateway as u64) << NUMBER_BITS | self.number
    }

    /// From the number at the worker.
    pub fn of(code: u64) -> Self {
        Self { gateway: (code >> NUMBER_BITS) as usize, number: code & ((1 << NUMBER_BITS) - 1) }
    }
}

/// One of them.
pub struct SimulatedWorker {
    /// Its entry on the list, as it is in truth.
    pub entry: ListedWorker,
    /// Its zone.
    pub zone: usize,
    /// Processes that it had before this one.
    pub life: u32,
    /// When time is to pass for it, if that stands in the queue.
    pub pass_scheduled: Option<Micros>,
    /// `None`: its process is gone.
    model: Option<Model>,
    profile: Profile,
    /// What it was given and has not answered; whether it is an order.
    held: HashMap<u64, bool>,
}

impl SimulatedWorker {
    /// A worker that started long ago.
    pub fn new(entry: ListedWorker, zone: usize, profile: Profile) -> Self {
        let model = Some(Model::new(profile.clone(), 0));
        Self { entry, zone, life: 0, pass_scheduled: None, model, profile, held: HashMap::new() }
    }

    /// Its process is there.
    pub fn is_up(&self) -> bool {
        self.model.is_some()
    }

    /// Memory in use, in MB.
    pub fn memory_mb(&self) -> u32 {
        self.model.as_ref().map_or(0, Model::memory)
    }

    /// When [`SimulatedWorker::pass`] is wanted next.
    pub fn next(&self) -> Option<Micros> {
        self.model.as_ref().and_then(Model::next)
    }

    /// A call came.
    pub fn run(
        &mut self,
        now: Micros,
        task: Task,
        function: String,
        shape: FunctionProfile,
        time_left: Micros,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        if let Some(model) = &mut self.model {
            self.held.insert(task.code(), false);
            let job = Job { number: task.code(), function, shape, deadline: now.saturating_add(time_left) };
            model.run(now, job, &mut effects);
        }
        effects
    }

    /// An order came.
    pub fn hold(
        &mut self,
        now: Micros,
        task: Task,
        function: &str,
        count: u32,
        shape: FunctionProfile,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        if let Some(model) = &mut self.model {
            self.held.insert(task.code(), true);
            model.hold(now, task.code(), function, count, shape, &mut effects);
        }
        effects
    }

    /// Nobody waits for a call any more.
    pub fn cancel(&mut self, task: Task) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.model.iter_mut().for_each(|model| model.cancel(task.code(), &mut effects));
        effects
    }

    /// Unloads a function's idle instances.
    pub fn drop_idle(&mut self, function: &str) {
        self.model.iter_mut().for_each(|model| model.drop_idle(function));
    }

    /// A fetch ended.
    pub fn fetched(&mut self, now: Micros, function: &str) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.model.iter_mut().for_each(|model| model.fetched(now, function, true, &mut effects));
        effects
    }

    /// Lets time pass.
    pub fn pass(&mut self, now: Micros) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.model.iter_mut().for_each(|model| model.pass(now, &mut effects));
        effects
    }

    /// An attempt or order was answered.
    pub fn answered(&mut self, code: u64) {
        self.held.remove(&code);
    }

    /// Its process ends; gives what it held, and whether each is an order, in the order of their numbers.
    pub fn stop(&mut self) -> Vec<(Task, bool)> {
        self.model = None;
        self.pass_scheduled = None;
        let mut held: Vec<_> = self.held.drain().collect();
        held.sort_unstable();
        held.into_iter().map(|(code, order)| (Task::of(code), order)).collect()
    }

    /// A new process starts, cold.
    pub fn start(&mut self, now: Micros) {
        self.life += 1;
        self.model = Some(Model::new(self.profile.clone(), now));
        self.entry.started = now;
        self.entry.standing = MemberState::Active;
    }
}

/// What the workers of a scenario are.
pub fn profile(scenario: &ScaleScenario, settings: &GatewaySettings, number: usize) -> Profile {
    let module = &settings.engine.dispatcher;
    let instances = scenario.instances.div_ceil(scenario.workers) as u32;
    Profile {
        memory_mb: instances.saturating_mul(scenario.shape.memory_mb),
        keep_alive: module.keep_alive,
        load_on_call: module.miss_policy == MissPolicy::Load,
        cold_from: module.cold_start.initial_share,
        warm_up: module.cold_start.warm_up,
        fall_multiple: module.cold_start.overload_multiple,
        fall_window: module.cold_start.overload_window,
        seed: scenario.seed.wrapping_mul(1_000_003).wrapping_add(number as u64),
        ..Profile::default()
    }
}

/// The entry of the n-th worker on the list.
pub fn entry(number: usize, zone: String) -> ListedWorker {
    let [_, a, b, c] = (number as u32).to_be_bytes();
    ListedWorker {
        id: format!("worker-{number}"),
        address: format!("10.{a}.{b}.{c}:9000"),
        zone,
        kind: "std".into(),
        cell: 0,
        standing: MemberState::Active,
        started: 0,
    }
}
