//! Properties of a simulated worker.

/// Properties of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// Cores.
    pub cores: u32,
    /// Speed of a core relative to a standard core.
    pub speed: f64,
    /// Memory, in MB.
    pub memory_mb: u32,
    /// Maximum number of waiting calls.
    pub queue: usize,
    /// Concurrent loads; twice as many may wait.
    pub loads: usize,
    /// How long an idle instance stays loaded, in microseconds.
    pub keep_alive: u64,
    /// A call of a function without an instance loads one and waits; otherwise it is answered with 'miss'.
    pub load_on_call: bool,
    /// The share of its warm capacity that it starts with.
    pub cold_from: f64,
    /// Time from its start until it has its full capacity, in microseconds.
    pub warm_up: u64,
    /// While cold it collapses when it is sent more than this multiple of its current capacity ...
    pub fall_multiple: f64,
    /// ... within this window, in microseconds; 0: never.
    pub fall_window: u64,
    /// The share of the load time that the fetch from the store takes.
    pub fetch_share: f64,
    /// Seed of its random draws.
    pub seed: u64,
}

impl Default for Profile {
    /// A standard worker with 4 cores that loads functions only on prewarm orders.
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
