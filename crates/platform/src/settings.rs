//! Derives the settings of the lower crates from the platform's configuration. None of these values decides
//! about a call; they divide descriptors, memory and time.

use std::net::SocketAddr;

use cresswheel::{Class, Effect, Micros};
use cresswheel_admission::ConnectionLimits;
use cresswheel_carriers::CarrierLimits;
use cresswheel_engine::{AdmissionLimits, EngineSettings, ResultLimits};
use cresswheel_platform_wire::config::{Config, ConfigError};
use cresswheel_transport::{EventLoopLimits, Wire};
use rustix::process::{Resource, getrlimit};

use crate::front::{UnsafeRequests, WaitingLimits};
use crate::hosts::DuplicateWindows;

const SECOND: Micros = 1_000_000;
const MILLISECOND: Micros = 1_000;

/// Maximum open requests per connection (protocol).
pub const REQUESTS_PER_CONNECTION: usize = 32;
/// Idle timeout of host connections where the settings give none: assumed equal to that of clients.
const DEFAULT_HOST_IDLE: Micros = 4 * SECOND;
/// Descriptors for the event loop, listener, directory and logs, and one to refuse connections with.
const RESERVED_DESCRIPTORS: usize = 24;
/// Minimum number of hosts to reserve descriptors for; a list may name more.
const HOSTS_EXPECTED: usize = 16;
/// Approximate maximum memory of an open request, with its body and answer.
const REQUEST_BYTES: usize = 48 << 10;

/// Timeout of an incomplete message while nothing of it arrives.
const PARTIAL_SILENT: Micros = 5 * SECOND / 4;
/// Limits of the total timeout of an incomplete message, which is otherwise the longest client timeout.
const MIN_PARTIAL: Micros = 2 * PARTIAL_SILENT;
const MAX_PARTIAL: Micros = 10 * SECOND;

/// Approximate memory per function in the decision module and the engine.
const FUNCTION_BYTES: usize = 2 << 10;

/// Settings of a gateway on the platform.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Gateway name, for logs.
    pub name: String,
    /// Address for clients.
    pub listen: SocketAddr,
    /// Address of the directory.
    pub directory: SocketAddr,
    /// Seed of the random numbers.
    pub seed: u64,
    /// The engine and the decision module.
    pub engine: EngineSettings,
    /// Limits of client connections.
    pub connection_limits: ConnectionLimits,
    /// Limits of requests that are not started yet.
    pub waiting: WaitingLimits,
    /// Requests that must not run twice.
    pub unsafe_requests: UnsafeRequests,
    /// Limits of connections to hosts.
    pub carriers: CarrierLimits,
    /// Connection limit over all hosts.
    pub host_connections: usize,
    /// How long after an answer a duplicate of it may arrive.
    pub duplicate_windows: DuplicateWindows,
    /// Interval of the check for idle connections to hosts.
    pub idle_check: Micros,
    /// Limits of the event loop.
    pub event_loop: EventLoopLimits,
    /// How long requests are accepted after TERM.
    pub accept_after_term: Micros,
    /// Deadline for open requests after TERM.
    pub stop_timeout: Micros,
}

impl PlatformSettings {
    /// Derives the settings from a configuration.
    pub fn of(config: &Config) -> Result<Self, ConfigError> {
        let pairs = config.pairs();
        let mut module = config.module()?;
        let give_up = module.classes.iter().map(|class| class.client_timeout).max().unwrap_or(SECOND);
        let aim = module.classes.iter().map(|class| class.latency_objective).min().unwrap_or(SECOND);
        // A missing timeout is not zero: a connect that takes longer than the shortest latency objective is
        // of no use to a call, and no call waits longer for a load than for itself.
        let or_default = |span: Micros, default: Micros| if span > 0 { span } else { default };
        module.connect_timeout = or_default(module.connect_timeout, aim);
        module.order_timeout = or_default(module.order_timeout, give_up);
        let memory = (config.limits.memory_mb as usize) << 20;
        let (clients, host_connections) = split_descriptors(config.limits.sockets.min(descriptors_allowed()));
        let open_calls = pairs.or("limits.max_open", usize::MAX)?.min(memory / 4 / REQUEST_BYTES).max(64);
        let idle_close: Micros = pairs.or("limits.idle_close", DEFAULT_HOST_IDLE)?;
        let answer_margin = (2 * module.tick).max(10 * MILLISECOND);
        let connect_timeout = module.connect_timeout;
        let is_unsafe = |class: &&Class| matches!(class.effect, Effect::Unsafe);
        let unsafe_classes =
            module.classes.iter().filter(is_unsafe).map(|class| class.name.clone()).collect();
        Ok(Self {
            name: config.name.clone(),
            listen: config.listen,
            directory: config.names,
            seed: config.seed(),
            engine: EngineSettings {
                dispatcher: module,
                admission: AdmissionLimits {
                    open_calls,
                    open_bytes: memory / 4,
                    per_connection: REQUESTS_PER_CONNECTION,
                    functions: (memory / 8 / FUNCTION_BYTES).max(1_000),
                },
                results: ResultLimits { keep: 0, bytes: 0 },
                answer_margin,
                max_time: give_up.saturating_mul(10),
                deferred_time: give_up,
            },
            connection_limits: ConnectionLimits {
                connections: clients,
                accepts_per_s: 2_000,
                evict_after: 200 * MILLISECOND,
                unasked: 5 * SECOND / 4,
                idle: 30 * SECOND,
                half: give_up.clamp(MIN_PARTIAL, MAX_PARTIAL),
                half_silent: PARTIAL_SILENT,
                half_connections: (clients / 4).max(1),
                half_bytes: memory / 8,
                stall: 2 * SECOND,
                pings_per_s: 0,
                ..ConnectionLimits::default()
            },
            waiting: WaitingLimits { bytes: memory / 8, margin: answer_margin },
            unsafe_requests: UnsafeRequests { classes: unsafe_classes, id_retention: give_up },
            carriers: CarrierLimits {
                wire: Wire::Raw,
                connections: (host_connections / HOSTS_EXPECTED).clamp(1, 16),
                streams: pairs.or("limits.max_streams", REQUESTS_PER_CONNECTION)?,
                spread: 1,
                connect_timeout,
                idle: idle_close * 4 / 5,
            },
            host_connections,
            duplicate_windows: DuplicateWindows { unsafe_calls: give_up, others: aim },
            // Often enough that no connection is idle for as long as the host's timeout.
            idle_check: (idle_close / 10).clamp(20 * MILLISECOND, 500 * MILLISECOND),
            event_loop: EventLoopLimits {
                max_output: 1 << 20,
                accepted: usize::MAX,
                ..EventLoopLimits::default()
            },
            accept_after_term: 750 * MILLISECOND,
            stop_timeout: give_up.min(3 * SECOND) + 300 * MILLISECOND,
        })
    }
}

impl PlatformSettings {
    /// Whether these belong to the same gateway of the same customer: name, address and classes can't change
    /// while it runs.
    pub fn is_same_gateway(&self, other: &Self) -> bool {
        let classes = |settings: &Self| -> Vec<String> {
            settings.engine.dispatcher.classes.iter().map(|class| class.name.clone()).collect()
        };
        self.name == other.name && self.listen == other.listen && classes(self) == classes(other)
    }
}

/// The process's descriptor limit, whatever the configuration says: clients that used all descriptors would
/// leave none for hosts and the directory.
fn descriptors_allowed() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit.map_or(usize::MAX, |limit| usize::try_from(limit).unwrap_or(usize::MAX))
}

/// Divides descriptors between clients and hosts. Clients normally use at most a third of all; the rest of
/// their half absorbs bursts of hundreds of new connections.
fn split_descriptors(descriptors: usize) -> (usize, usize) {
    let free = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
    let clients = free / 2;
    (clients.max(1), (free - clients).max(1))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn descriptors_are_divided_within_the_limit() {
        for limit in [0, 30, 256, 1_024, 4_096] {
            let (clients, hosts) = split_descriptors(limit);
            assert!(clients + hosts + RESERVED_DESCRIPTORS <= limit.max(RESERVED_DESCRIPTORS + 2));
        }
        let (clients, hosts) = split_descriptors(256);
        assert!(clients >= 256 / 3 && hosts / HOSTS_EXPECTED >= 7);
    }
}
