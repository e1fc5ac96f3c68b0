//! What a gateway process is told at its start.

use std::net::SocketAddr;
use std::path::PathBuf;

use cresswheel_admission::{IntakeLimits, Terms};
use cresswheel_clients::ClientTerms;
use cresswheel_engine::EngineSettings;
use cresswheel_protocol::{Listed, Micros};

/// Everything a gateway process needs.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Its name in logs, in records and towards its peers.
    pub name: String,
    /// The engine and the decision module.
    pub engine: EngineSettings,
    /// Where clients come with the main protocol.
    pub listen: SocketAddr,
    /// Where clients come with HTTP/1.1.
    pub http: Option<SocketAddr>,
    /// Where the worker list is to be had; tried in turn.
    pub list: Vec<SocketAddr>,
    /// Workers that are on no list service.
    pub workers: Vec<Listed>,
    /// Where the last list is kept; none: nowhere.
    pub state: Option<PathBuf>,
    /// Processes that hold the clients' connections; none given: as many as the descriptors ask for, often 0.
    pub holders: Option<usize>,
    /// Orders on versions; none: they are refused.
    pub versions: Option<VersionSettings>,
    /// Bounds of the shell.
    pub shell: ShellLimits,
}

/// Who may order versions.
#[derive(Clone, PartialEq, Eq)]
pub struct VersionSettings {
    /// What orders must carry; empty: nothing, whoever reaches the gateway may order.
    pub key: String,
}

impl std::fmt::Debug for VersionSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(if self.key.is_empty() { "VersionSettings(open)" } else { "VersionSettings(with a key)" })
    }
}

/// Bounds of the shell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShellLimits {
    /// Of clients and of sockets; the connections are those of all processes together.
    pub clients: ClientTerms,
    /// Of calls that wait to be started.
    pub intake: IntakeLimits,
    /// Connections to one worker.
    pub worker_connections: usize,
    /// Attempts and orders that one such connection carries at once.
    pub worker_streams: usize,
    /// A worker connection on which nothing is out is closed after this.
    pub worker_idle: Micros,
    /// After TERM calls may finish for this long.
    pub stop_within: Micros,
    /// Wait before the list service is tried again.
    pub list_retry: Micros,
}

impl Default for ShellLimits {
    fn default() -> Self {
        const S: Micros = 1_000_000;
        Self {
            clients: ClientTerms::default(),
            intake: IntakeLimits::default(),
            worker_connections: 4,
            worker_streams: 100,
            worker_idle: 15 * S,
            stop_within: 5 * S,
            list_retry: S / 2,
        }
    }
}

impl GatewaySettings {
    /// What the classes say of themselves, for the intake.
    pub fn class_terms(&self) -> Vec<Terms> {
        let classes = self.engine.module.classes.iter();
        classes.map(|class| Terms { aim: class.aim, worth: class.worth }).collect()
    }

    /// What differs between two settings and can't change in a running gateway.
    pub fn fixed_differences(&self, other: &Self) -> Vec<&'static str> {
        let same = [
            ("name", self.name == other.name),
            ("listen", self.listen == other.listen),
            ("http", self.http == other.http),
            ("state", self.state == other.state),
            ("holders", self.holders == other.holders),
            ("versions(...)", self.versions == other.versions),
            ("worker(...)", self.workers == other.workers),
            ("the decision module's part", self.engine.module == other.engine.module),
        ];
        same.iter().filter(|(_, same)| !same).map(|(name, _)| *name).collect()
    }
}
