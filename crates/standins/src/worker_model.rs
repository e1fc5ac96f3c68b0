//! What a worker does, without sockets and clock: instances, lanes, queue, memory, loads, keep-alive, a cold
//! start that can be pushed over.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use cresswheel_protocol::{Ending, Shape};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;

/// What a worker is.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// Cores.
    pub cores: u32,
    /// Speed of a core against the standard one.
    pub speed: f64,
    /// Memory, in MB.
    pub memory_mb: u32,
    /// Calls that may wait.
    pub queue: usize,
    /// Loads that run at a time; twice as many may wait.
    pub loads: usize,
    /// An idle instance stays for so long, in microseconds.
    pub keep_alive: u64,
    /// A call of a function that is not there loads it and waits; else it is answered 'miss'.
    pub load_on_call: bool,
    /// The share of its capacity that it begins with.
    pub cold_from: f64,
    /// Until it has all of it, in microseconds.
    pub warm_up: u64,
    /// Sent more than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... for so long, it falls over. 0: it never does.
    pub fall_window: u64,
    /// Part of a load that is the fetch from the store.
    pub fetch_share: f64,
    /// Of its random draws.
    pub seed: u64,
}

impl Default for Profile {
    /// A standard worker of 4 cores that takes orders.
    fn default() -> Self {
        Self {
            cores: 4,
            speed: 1.0,
            memory_mb: 16_000,
            queue: 32,
            loads: 4,
            keep_alive: 10_000_000,
            load_on_call: false,
            cold_from: 0.2,
            warm_up: 10_000_000,
            fall_multiple: 2.0,
            fall_window: 3_000_000,
            fetch_share: 0.6,
            seed: 1,
        }
    }
}

/// A call at a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Names it; chosen by the caller, used once.
    pub number: u64,
    /// The function.
    pub function: String,
    /// What is known of the function.
    pub shape: Shape,
    /// Nobody waits for it after this.
    pub deadline: u64,
}

/// What the model has done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A call began to run.
    Began(u64),
    /// A call ended, with the calls of its function held when it came.
    Ended(u64, Ending, u32),
    /// An order ended, with the instances that stand.
    Held(u64, Ending, u32),
    /// A load begins: fetch the function's image, for so long if nothing is in the way.
    Fetch(String, u64),
    /// It was sent too much while cold: work sent within the window, work that it could have borne.
    Fell(u64, u64),
}

#[derive(Debug, Default)]
struct Function {
    shape: Option<Shape>,
    standing: u32,
    /// Fetches and starts under way.
    loading: u32,
    running: u32,
    idle_since: u64,
    waiting: VecDeque<(Job, u32)>,
    orders: Vec<(u64, u32)>,
}

impl Function {
    fn lanes(&self) -> u32 {
        self.shape.as_ref().map_or(1, |s| s.lanes.max(1))
    }

    fn memory(&self) -> u32 {
        self.shape.as_ref().map_or(0, |s| s.memory_mb)
    }

    fn at_work(&self) -> u32 {
        self.running.div_ceil(self.lanes())
    }

    fn held(&self) -> u32 {
        self.running + self.waiting.len() as u32
    }
}

/// Most instances of a function that one order may name.
const MOST_INSTANCES: u32 = 64;
/// Work that a call does where nothing is told of it, in microseconds.
const USUAL_WORK: u64 = 20_000;
/// Time of a load where nothing is told of it, in microseconds.
const USUAL_LOAD: u64 = 500_000;

/// A worker, without sockets and clock.
pub struct Model {
    profile: Profile,
    started: u64,
    rng: Pcg32,
    functions: BTreeMap<String, Function>,
    /// Calls that run: when each ends.
    running: BTreeSet<(u64, u64)>,
    jobs: BTreeMap<u64, (Job, u32)>,
    starts: BTreeSet<(u64, String)>,
    loads_waiting: VecDeque<String>,
    fetching: usize,
    arrivals: VecDeque<(u64, u64)>,
    /// It fell over and does nothing more.
    pub fallen: bool,
    /// New calls and orders are turned away.
    pub refusing: bool,
    /// Everything takes so many times as long.
    pub slowness: f64,
    /// This share of the calls fails at once.
    pub fail: f64,
    /// This share of the loads fails.
    pub load_fail: f64,
}

impl Model {
    /// A worker that starts now: empty, and cold unless it `started` long ago.
    pub fn new(profile: Profile, started: u64) -> Self {
        Self {
            rng: Pcg32::new(profile.seed, 0x1405),
            profile,
            started,
            functions: BTreeMap::new(),
            running: BTreeSet::new(),
            jobs: BTreeMap::new(),
            starts: BTreeSet::new(),
            loads_waiting: VecDeque::new(),
            fetching: 0,
            arrivals: VecDeque::new(),
            fallen: false,
            refusing: false,
            slowness: 1.0,
            fail: 0.0,
            load_fail: 0.0,
        }
    }

    fn lot(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    /// The share of its capacity that it has at a time.
    pub fn capacity(&self, at: u64) -> f64 {
        let age = at.saturating_sub(self.started) as f64 / self.profile.warm_up.max(1) as f64;
        (self.profile.cold_from + (1.0 - self.profile.cold_from) * age).min(1.0)
    }

    /// What a call of this shape takes of one standard core, on average.
    pub fn work(shape: &Shape) -> u64 {
        if shape.work > 0 { shape.work } else { USUAL_WORK }
    }

    /// Calls held, and those among them that wait.
    pub fn held(&self) -> (u32, u32) {
        let waiting: usize = self.functions.values().map(|f| f.waiting.len()).sum();
        ((self.running.len() + waiting) as u32, waiting as u32)
    }

    /// Memory in use, in MB.
    pub fn memory(&self) -> u32 {
        self.functions.values().map(|f| (f.standing + f.loading) * f.memory()).sum()
    }

    /// When [`Model::pass`] is wanted next.
    pub fn next(&self) -> Option<u64> {
        let runs = self.running.first().map(|(at, _)| *at);
        let starts = self.starts.first().map(|(at, _)| *at);
        let idle = self.functions.values().filter(|f| f.standing > f.at_work());
        let idle = idle.map(|f| f.idle_since + self.profile.keep_alive).min();
        [runs, starts, idle].into_iter().flatten().min()
    }

    /// A call came.
    pub fn run(&mut self, now: u64, job: Job, out: &mut Vec<Effect>) {
        self.pass(now, out);
        self.press(now, Self::work(&job.shape), out);
        let function = self.functions.entry(job.function.clone()).or_default();
        function.shape = Some(job.shape.clone());
        let crowd = function.held();
        let there = function.standing + function.loading > 0;
        let end = |ending| Effect::Ended(job.number, ending, crowd);
        if self.refusing || self.fallen {
            return out.push(end(Ending::Full));
        }
        if self.fail > 0.0 && self.lot() < self.fail {
            return out.push(end(Ending::Error));
        }
        if !there && !self.profile.load_on_call {
            return out.push(end(Ending::Miss));
        }
        if !there && !self.begin_load(&job.function) {
            return out.push(end(Ending::Full));
        }
        if self.held().1 as usize >= self.profile.queue {
            return out.push(end(Ending::Full));
        }
        let name = job.function.clone();
        if let Some(function) = self.functions.get_mut(&name) {
            function.waiting.push_back((job, crowd));
        }
        self.fill(now, &name, out);
        self.fetch_next(out);
    }

    /// Nobody waits for a call any more; running ones go on.
    pub fn cancel(&mut self, number: u64, out: &mut Vec<Effect>) {
        for function in self.functions.values_mut() {
            if let Some(at) = function.waiting.iter().position(|(job, _)| job.number == number)
                && let Some((job, crowd)) = function.waiting.remove(at)
            {
                out.push(Effect::Ended(job.number, Ending::Cancelled, crowd));
            }
        }
    }

    /// An order to hold instances; 0 asks.
    pub fn hold(
        &mut self,
        now: u64,
        order: u64,
        name: &str,
        count: u32,
        shape: Shape,
        out: &mut Vec<Effect>,
    ) {
        self.pass(now, out);
        let function = self.functions.entry(name.into()).or_default();
        if shape.lanes > 0 || function.shape.is_none() {
            function.shape = Some(shape);
        }
        function.idle_since = now;
        let standing = function.standing;
        if count == 0 || standing >= count {
            return out.push(Effect::Held(order, Ending::Ok, standing));
        }
        if self.refusing || self.fallen || count > MOST_INSTANCES {
            return out.push(Effect::Held(order, Ending::Full, standing));
        }
        let missing = count - (standing + function.loading).min(count);
        for _ in 0..missing {
            if !self.begin_load(name) {
                return out.push(Effect::Held(order, Ending::Full, standing));
            }
        }
        if let Some(function) = self.functions.get_mut(name) {
            function.orders.push((order, count));
        }
        self.fetch_next(out);
    }

    /// Unloads the idle instances of a function.
    pub fn drop_idle(&mut self, name: &str) {
        if let Some(function) = self.functions.get_mut(name) {
            function.standing = function.standing.min(function.at_work());
        }
    }

    /// All functions are released anew: idle instances are void.
    pub fn flush(&mut self) {
        for function in self.functions.values_mut() {
            function.standing = function.standing.min(function.at_work());
        }
    }

    /// A fetch ended.
    pub fn fetched(&mut self, now: u64, name: &str, there: bool, out: &mut Vec<Effect>) {
        self.pass(now, out);
        self.fetching = self.fetching.saturating_sub(1);
        let load = self.functions.get(name).and_then(|f| f.shape.as_ref()).map_or(0, |s| s.load_time);
        let load = if load > 0 { load } else { USUAL_LOAD };
        let fails = self.load_fail > 0.0 && self.lot() < self.load_fail;
        if !there || fails {
            self.load_failed(name, out);
        } else {
            let start = load as f64 * (1.0 - self.profile.fetch_share) * self.slowness;
            self.starts.insert((now + start as u64, name.into()));
        }
        self.fetch_next(out);
    }

    /// Lets time pass.
    pub fn pass(&mut self, now: u64, out: &mut Vec<Effect>) {
        while let Some((at, number)) = self.running.first().filter(|(at, _)| *at <= now).copied() {
            self.running.pop_first();
            let Some((job, crowd)) = self.jobs.remove(&number) else { continue };
            out.push(Effect::Ended(number, Ending::Ok, crowd));
            if let Some(function) = self.functions.get_mut(&job.function) {
                function.running -= 1;
                function.idle_since = at;
            }
            self.fill(at, &job.function, out);
        }
        while let Some((at, name)) = self.starts.first().filter(|(at, _)| *at <= now).cloned() {
            self.starts.pop_first();
            if let Some(function) = self.functions.get_mut(&name) {
                function.loading -= 1;
                function.standing += 1;
                function.idle_since = at;
                let standing = function.standing;
                let ready = |order: &mut (u64, u32)| order.1 <= standing;
                let held = function.orders.extract_if(.., ready).collect::<Vec<_>>();
                out.extend(held.into_iter().map(|(order, _)| Effect::Held(order, Ending::Ok, standing)));
            }
            self.fill(at, &name, out);
        }
        let keep = self.profile.keep_alive;
        for function in self.functions.values_mut() {
            if function.standing > function.at_work() && function.idle_since + keep <= now {
                function.standing = function.at_work();
            }
        }
    }

    /// Starts waiting calls of a function while lanes are free.
    fn fill(&mut self, now: u64, name: &str, out: &mut Vec<Effect>) {
        loop {
            let Some(function) = self.functions.get_mut(name) else { return };
            if function.running >= function.standing * function.lanes() {
                return;
            }
            let Some((job, crowd)) = function.waiting.pop_front() else { return };
            if job.deadline <= now {
                // Nobody waits: answered as not run.
                out.push(Effect::Ended(job.number, Ending::Full, crowd));
                continue;
            }
            function.running += 1;
            // Exponential work, shared cores, what is left of the capacity.
            let drawn = -(1.0 - self.lot()).ln();
            let shared = ((self.running.len() + 1) as f64 / f64::from(self.profile.cores)).max(1.0);
            let pace = self.profile.speed * self.capacity(now) / self.slowness;
            let took = Self::work(&job.shape) as f64 * drawn * shared / pace.max(1e-3);
            self.running.insert((now + (took as u64).max(1), job.number));
            out.push(Effect::Began(job.number));
            self.jobs.insert(job.number, (job, crowd));
        }
    }

    /// Makes room and queues a load; false: there is no room.
    fn begin_load(&mut self, name: &str) -> bool {
        let waiting = self.loads_waiting.len();
        let wanted = self.functions.get(name).map_or(0, Function::memory);
        if waiting >= self.profile.loads * 2 || wanted > self.profile.memory_mb {
            return false;
        }
        while self.memory() + wanted > self.profile.memory_mb {
            let idle = self.functions.iter().filter(|(n, f)| *n != name && f.standing > f.at_work());
            let Some(oldest) = idle.min_by_key(|(_, f)| f.idle_since).map(|(n, _)| n.clone()) else {
                return false;
            };
            self.functions.entry(oldest).and_modify(|f| f.standing -= 1);
        }
        self.functions.entry(name.into()).or_default().loading += 1;
        self.loads_waiting.push_back(name.into());
        true
    }

    fn fetch_next(&mut self, out: &mut Vec<Effect>) {
        while self.fetching < self.profile.loads
            && let Some(name) = self.loads_waiting.pop_front()
        {
            self.fetching += 1;
            let load = self.functions.get(&name).and_then(|f| f.shape.as_ref()).map_or(0, |s| s.load_time);
            let load = if load > 0 { load } else { USUAL_LOAD };
            out.push(Effect::Fetch(name, (load as f64 * self.profile.fetch_share) as u64));
        }
    }

    fn load_failed(&mut self, name: &str, out: &mut Vec<Effect>) {
        let Some(function) = self.functions.get_mut(name) else { return };
        function.loading -= 1;
        let (standing, loading) = (function.standing, function.loading);
        // Orders that can't be met any more, and calls that nothing will serve.
        let lost = |order: &mut (u64, u32)| order.1 > standing + loading;
        let lost = function.orders.extract_if(.., lost).collect::<Vec<_>>();
        out.extend(lost.into_iter().map(|(order, _)| Effect::Held(order, Ending::LoadFailed, standing)));
        if standing + loading == 0 {
            let waiting = std::mem::take(&mut function.waiting);
            let ended = |(job, crowd): (Job, u32)| Effect::Ended(job.number, Ending::LoadFailed, crowd);
            out.extend(waiting.into_iter().map(ended));
        }
    }

    /// Books work against the cold start.
    fn press(&mut self, now: u64, work: u64, out: &mut Vec<Effect>) {
        let window = self.profile.fall_window;
        if window == 0 || self.fallen || self.capacity(now) >= 1.0 {
            return;
        }
        self.arrivals.push_back((now, work));
        while self.arrivals.front().is_some_and(|(at, _)| at + window < now) {
            self.arrivals.pop_front();
        }
        let sent: u64 = self.arrivals.iter().map(|(_, work)| work).sum();
        let power = f64::from(self.profile.cores) * self.profile.speed;
        let bearable = self.profile.fall_multiple * self.capacity(now) * window as f64 * power;
        if sent as f64 > bearable {
            self.fallen = true;
            out.push(Effect::Fell(sent, bearable as u64));
        }
    }
}
