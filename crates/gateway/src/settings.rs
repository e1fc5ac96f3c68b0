//! The settings of a gateway process.

use std::net::SocketAddr;
use std::path::PathBuf;

use cresswheel_admission::{CallQueueLimits, ClassPriority};
use cresswheel_clients::ClientLimits;
use cresswheel_engine::EngineSettings;
use cresswheel_protocol::{ListedWorker, Micros};

/// Everything a gateway process needs.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Its name in logs and records and for its peers.
    pub name: String,
    /// The engine and the decision module.
    pub engine: EngineSettings,
    /// The listen address for clients that use the main protocol.
    pub listen: SocketAddr,
    /// The listen address for clients that use HTTP/1.1.
    pub http: Option<SocketAddr>,
    /// The addresses of the list services; tried in turn.
    pub list_services: Vec<SocketAddr>,
    /// Workers that no list service lists.
    pub workers: Vec<ListedWorker>,
    /// The folder for the last worker list and the version orders; without one the list is not saved and
    /// orders are rejected.
    pub state_folder: Option<PathBuf>,
    /// The number of acceptor processes; if not given, as many as the limit on file descriptors requires,
    /// often 0.
    pub acceptors: Option<usize>,
    /// Access to version orders; without it they are rejected.
    pub versions: Option<VersionSettings>,
    /// Limits and timeouts of the process's I/O.
    pub limits: GatewayLimits,
}

/// Access to version orders.
#[derive(Clone, PartialEq, Eq)]
pub struct VersionSettings {
    /// The key that orders must carry; if empty, anyone who can connect to the gateway may send orders.
    pub key: String,
}

impl std::fmt::Debug for VersionSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(if self.key.is_empty() { "VersionSettings(open)" } else { "VersionSettings(with a key)" })
    }
}

/// Limits and timeouts of the process's I/O.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GatewayLimits {
    /// Limits of clients and sockets; that of connections is for all processes together.
    pub clients: ClientLimits,
    /// Limits of calls that wait to be started.
    pub intake: CallQueueLimits,
    /// Maximum number of connections to one worker.
    pub worker_connections: usize,
    /// Maximum number of attempts and orders in flight on one such connection.
    pub max_in_flight_per_connection: usize,
    /// A worker connection with nothing in flight is closed after this.
    pub worker_idle: Micros,
    /// After SIGTERM calls may finish for this long.
    pub drain_timeout: Micros,
    /// Delay before the next attempt to connect to a list service.
    pub list_retry_delay: Micros,
}

impl Default for GatewayLimits {
    fn default() -> Self {
        const S: Micros = 1_000_000;
        Self {
            clients: ClientLimits::default(),
            intake: CallQueueLimits::default(),
            worker_connections: 4,
            max_in_flight_per_connection: 100,
            worker_idle: 15 * S,
            drain_timeout: 5 * S,
            list_retry_delay: S / 2,
        }
    }
}

impl GatewaySettings {
    /// The latency objective and value of each class, for the intake.
    pub fn class_terms(&self) -> Vec<ClassPriority> {
        let classes = self.engine.dispatcher.classes.iter();
        classes
            .map(|class| ClassPriority { latency_objective: class.latency_objective, worth: class.worth })
            .collect()
    }

    /// The settings that differ and can't change in a running gateway.
    pub fn fixed_differences(&self, other: &Self) -> Vec<&'static str> {
        let same = [
            ("name", self.name == other.name),
            ("listen", self.listen == other.listen),
            ("http", self.http == other.http),
            ("state", self.state_folder == other.state_folder),
            ("holders", self.acceptors == other.acceptors),
            ("versions(...)", self.versions == other.versions),
            ("worker(...)", self.workers == other.workers),
            ("the decision module's part", self.engine.dispatcher == other.engine.dispatcher),
        ];
        same.iter().filter(|(_, same)| !same).map(|(name, _)| *name).collect()
    }
}
