//! What a measurement found.

use serde::{Deserialize, Serialize};

/// What was found with one number of connections.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Found {
    /// Connections that were established.
    pub connections: usize,
    /// Processes that held them, the gateway included.
    pub processes: usize,
    /// Connections taken a second while all came at once.
    pub accepts_per_s: f64,
    /// CPU of the gateway's processes for each, in microseconds.
    pub accept_cpu_us: f64,
    /// Bytes of the gateway's processes for each connection.
    pub process_bytes: f64,
    /// Bytes of the kernel for each connection, both ends.
    pub kernel_bytes: f64,
    /// Part of a core while idle, without pings.
    pub idle_cpu: f64,
    /// Times a second that the gateway's processes woke while idle, without pings.
    pub idle_wakes: f64,
    /// Part of a core while each connection is pinged every ten minutes.
    pub pinged_cpu: f64,
    /// Pings a second meanwhile.
    pub pings_per_s: f64,
    /// The waves of a share.
    pub waves: Vec<Wave>,
    /// All at once.
    pub all: Wave,
    /// Bytes of the gateway's processes for each connection after all that.
    pub after_bytes: f64,
    /// The auditor's verdict.
    pub verdict: String,
    /// Whether all rules held.
    pub passed: bool,
}

/// What became of the calls of one wake.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Wave {
    /// Calls.
    pub asked: usize,
    /// By class.
    pub classes: Vec<ClassOutcome>,
}

/// What became of a class's calls in one wake.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ClassOutcome {
    /// The class's name.
    pub class: String,
    /// Calls.
    pub asked: usize,
    /// Served within the aim.
    pub in_time: usize,
    /// Served later.
    pub late: usize,
    /// Refused.
    pub refused: usize,
    /// Failed.
    pub failed: usize,
    /// Times until the answer of those served, in ms: p50, p90, p99, p99.9, all.
    pub quantiles_ms: [f64; 5],
    /// For the plot: times until the answer of those served, in ms, sorted and thinned.
    pub times_ms: Vec<f64>,
}

impl ClassOutcome {
    /// Percent of the calls that were served within the aim.
    pub fn in_time_percent(&self) -> f64 {
        self.in_time as f64 / self.asked.max(1) as f64 * 100.0
    }
}
