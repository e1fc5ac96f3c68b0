//! Model of a worker without sockets or a clock: instances and their concurrency, queue, memory, loads,
//! keep-alive, and a cold start during which it can be overloaded.

mod calls;
mod cold_start;
mod function;
mod loads;
mod profile;
mod timers;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use cresswheel_protocol::{Ending, FunctionProfile};
use rand_pcg::Pcg32;

use crate::random::uniform;
use cold_start::ColdStart;
use function::{AcceptedJob, Function};
pub use profile::Profile;

/// A call at a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Unique number, chosen by the caller.
    pub number: u64,
    /// The function.
    pub function: String,
    /// Memory, concurrency, load time and work of the function.
    pub shape: FunctionProfile,
    /// The client's deadline.
    pub deadline: u64,
}

/// Something that the model did, for its caller to carry out or to answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A call started to run.
    Began(u64),
    /// A call ended. The last value is the calls of its function in flight when it arrived.
    Ended(u64, Ending, u32),
    /// A prewarm order ended. The last value is the loaded instances.
    Held(u64, Ending, u32),
    /// A load started: the caller fetches the function's image, which takes this long from an idle store.
    Fetch(String, u64),
    /// The worker collapsed under overload while cold: work sent within the window, and its limit.
    Fell(u64, u64),
}

/// Work of a call whose function has no known one.
const DEFAULT_WORK_US: u64 = 20_000;

/// The state of a simulated worker.
pub struct Model {
    profile: Profile,
    cold_start: ColdStart,
    rng: Pcg32,
    functions: BTreeMap<String, Function>,
    /// Running calls by the time when each ends.
    running: BTreeSet<(u64, u64)>,
    jobs: BTreeMap<u64, AcceptedJob>,
    /// Loads whose image was fetched, by the time when each ends.
    starts: BTreeSet<(u64, String)>,
    /// Functions of loads whose fetch has not started.
    loads_waiting: VecDeque<String>,
    /// Fetches in progress.
    fetching: usize,
    /// It collapsed under overload and rejects all calls and orders.
    pub collapsed: bool,
    /// New calls and orders are rejected.
    pub rejecting: bool,
    /// Factor by which calls and loads are slowed down.
    pub slowness: f64,
    /// This share of the calls fails immediately.
    pub fail: f64,
    /// This share of the loads fails.
    pub load_fail: f64,
}

impl Model {
    /// A worker without instances; how cold it is follows from the time when it `started`.
    pub fn new(profile: Profile, started: u64) -> Self {
        Self {
            rng: Pcg32::new(profile.seed, 0x1405),
            cold_start: ColdStart::new(&profile, started),
            profile,
            functions: BTreeMap::new(),
            running: BTreeSet::new(),
            jobs: BTreeMap::new(),
            starts: BTreeSet::new(),
            loads_waiting: VecDeque::new(),
            fetching: 0,
            collapsed: false,
            rejecting: false,
            slowness: 1.0,
            fail: 0.0,
            load_fail: 0.0,
        }
    }

    /// A uniform random number in [0, 1).
    fn uniform(&mut self) -> f64 {
        uniform(&mut self.rng)
    }

    /// The share of its warm capacity that it has at a time.
    pub fn capacity(&self, at: u64) -> f64 {
        self.cold_start.capacity(at)
    }

    /// Average time of a call of this shape on one standard core, in microseconds.
    pub fn work(shape: &FunctionProfile) -> u64 {
        if shape.work > 0 { shape.work } else { DEFAULT_WORK_US }
    }

    /// Calls in flight, and how many of them wait.
    pub fn in_flight(&self) -> (u32, u32) {
        let waiting: usize = self.functions.values().map(|f| f.waiting.len()).sum();
        ((self.running.len() + waiting) as u32, waiting as u32)
    }

    /// Memory in use, in MB.
    pub fn memory(&self) -> u32 {
        self.functions.values().map(|f| (f.loaded + f.loading) * f.memory()).sum()
    }

    /// When [`Model::pass`] has to be called next.
    pub fn next(&self) -> Option<u64> {
        let runs = self.running.first().map(|(at, _)| *at);
        let starts = self.starts.first().map(|(at, _)| *at);
        let idle = self.functions.values().filter(|function| function.has_idle());
        let idle = idle.map(|f| f.idle_since + self.profile.keep_alive).min();
        [runs, starts, idle].into_iter().flatten().min()
    }
}
