//! What a gateway process is told at its start.

use std::net::SocketAddr;
use std::path::PathBuf;

use cresswheel_engine::EngineSettings;
use cresswheel_protocol::{Listed, Micros};
use cresswheel_transport::HubLimits;

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
    /// Bounds of the shell.
    pub shell: ShellLimits,
}

/// Bounds of the shell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShellLimits {
    /// Of sockets and bytes.
    pub hub: HubLimits,
    /// Connections to one worker.
    pub worker_connections: usize,
    /// Attempts and orders that one such connection carries at once.
    pub worker_streams: usize,
    /// A worker connection on which nothing is out is closed after this.
    pub worker_idle: Micros,
    /// A client connection on which nothing is open is closed after this.
    pub client_idle: Micros,
    /// A frame or request that is half there is waited for this long.
    pub half_request: Micros,
    /// Bytes waiting for a client from which on no more is read from it.
    pub client_backlog: usize,
    /// After TERM calls may finish for this long.
    pub stop_within: Micros,
    /// Wait before the list service is tried again.
    pub list_retry: Micros,
}

impl Default for ShellLimits {
    fn default() -> Self {
        const S: Micros = 1_000_000;
        Self {
            hub: HubLimits::default(),
            worker_connections: 4,
            worker_streams: 100,
            worker_idle: 15 * S,
            client_idle: 300 * S,
            half_request: 10 * S,
            client_backlog: 1 << 20,
            stop_within: 5 * S,
            list_retry: S / 2,
        }
    }
}

impl GatewaySettings {
    /// What differs between two settings and can't change in a running gateway.
    pub fn fixed_differences(&self, other: &Self) -> Vec<&'static str> {
        let same = [
            ("name", self.name == other.name),
            ("listen", self.listen == other.listen),
            ("http", self.http == other.http),
            ("state", self.state == other.state),
            ("worker(...)", self.workers == other.workers),
            ("the decision module's part", self.engine.module == other.engine.module),
        ];
        same.iter().filter(|(_, same)| !same).map(|(name, _)| *name).collect()
    }
}
