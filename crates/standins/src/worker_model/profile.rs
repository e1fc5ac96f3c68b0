//! What kind of worker is modelled.

/// Properties of a worker.
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
    /// How long an idle instance stays loaded, in microseconds.
    pub keep_alive: u64,
    /// A call of an absent function loads it and waits; otherwise it is answered 'miss'.
    pub load_on_call: bool,
    /// The share of its capacity that it begins with.
    pub cold_from: f64,
    /// Until it has all of it, in microseconds.
    pub warm_up: u64,
    /// While cold it collapses when it is sent more than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... over this time, in microseconds; 0: never.
    pub fall_window: u64,
    /// Part of a load that is the fetch from the store.
    pub fetch_share: f64,
    /// Seed of its random draws.
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
