//! What a worker does, without sockets and clock: instances, lanes, queue, memory, loads, keep-alive, a cold
//! start that can be overloaded.

mod calls;
mod cold_start;
mod function;
mod loads;
mod profile;
mod timers;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use cresswheel_protocol::{Ending, Shape};
use rand_pcg::Pcg32;

use crate::random::uniform;
use cold_start::ColdStart;
use function::{AcceptedJob, Function};
pub use profile::Profile;

/// A call at a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Names it; chosen by the caller, used once.
    pub number: u64,
    /// The function.
    pub function: String,
    /// What is known of the function.
    pub shape: Shape,
    /// The client's deadline.
    pub deadline: u64,
}

/// Something that the model did, for its caller to carry out or to answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A call began to run.
    Began(u64),
    /// A call ended, with the calls of its function in flight when it came.
    Ended(u64, Ending, u32),
    /// An order ended, with the instances that are loaded.
    Held(u64, Ending, u32),
    /// A load begins: fetch the function's image, which takes this long on an idle store.
    Fetch(String, u64),
    /// It was overloaded while cold: work sent within the window, and the capacity of that time.
    Fell(u64, u64),
}

/// Default work of a call, in microseconds.
const USUAL_WORK: u64 = 20_000;

/// A worker, without sockets and clock.
pub struct Model {
    profile: Profile,
    cold_start: ColdStart,
    rng: Pcg32,
    functions: BTreeMap<String, Function>,
    /// Calls that run: when each ends.
    running: BTreeSet<(u64, u64)>,
    jobs: BTreeMap<u64, AcceptedJob>,
    /// Loads whose image is there: when each ends.
    starts: BTreeSet<(u64, String)>,
    /// Functions whose image is still to be fetched.
    loads_waiting: VecDeque<String>,
    /// Fetches under way.
    fetching: usize,
    /// It collapsed under overload and does nothing more.
    pub fallen: bool,
    /// New calls and orders are rejected.
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
            cold_start: ColdStart::new(&profile, started),
            profile,
            functions: BTreeMap::new(),
            running: BTreeSet::new(),
            jobs: BTreeMap::new(),
            starts: BTreeSet::new(),
            loads_waiting: VecDeque::new(),
            fetching: 0,
            fallen: false,
            refusing: false,
            slowness: 1.0,
            fail: 0.0,
            load_fail: 0.0,
        }
    }

    /// A random number from 0 up to 1.
    fn uniform(&mut self) -> f64 {
        uniform(&mut self.rng)
    }

    /// The share of its capacity that it has at a time.
    pub fn capacity(&self, at: u64) -> f64 {
        self.cold_start.capacity(at)
    }

    /// What a call of this shape takes of one standard core, on average.
    pub fn work(shape: &Shape) -> u64 {
        if shape.work > 0 { shape.work } else { USUAL_WORK }
    }

    /// Calls in flight, and those among them that wait.
    pub fn in_flight(&self) -> (u32, u32) {
        let waiting: usize = self.functions.values().map(|f| f.waiting.len()).sum();
        ((self.running.len() + waiting) as u32, waiting as u32)
    }

    /// Memory in use, in MB.
    pub fn memory(&self) -> u32 {
        self.functions.values().map(|f| (f.loaded + f.loading) * f.memory()).sum()
    }

    /// When [`Model::pass`] is wanted next.
    pub fn next(&self) -> Option<u64> {
        let runs = self.running.first().map(|(at, _)| *at);
        let starts = self.starts.first().map(|(at, _)| *at);
        let idle = self.functions.values().filter(|function| function.has_idle());
        let idle = idle.map(|f| f.idle_since + self.profile.keep_alive).min();
        [runs, starts, idle].into_iter().flatten().min()
    }
}
