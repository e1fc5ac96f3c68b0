//! Budget of file descriptors: those for worker connections, listeners and logs are reserved before client
//! connections get any.

/// Inputs of the descriptor budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Descriptors that a process may open.
    pub limit: usize,
    /// Workers that are known or expected.
    pub workers: usize,
    /// Connections to each worker.
    pub per_worker: usize,
}

/// Listeners, logs, event loop, worker list, stored state, a reload of the settings, and descriptors that the
/// standard library opens for a short time.
const OWN_DESCRIPTORS: usize = 24;
/// Most acceptor processes that are chosen automatically; a need for more means a mistake in the settings.
const MAX_ACCEPTORS: usize = 64;

/// How client connections are split between processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionSplit {
    /// Acceptor processes, which only hold client connections; 0: the gateway process holds them itself.
    pub acceptors: usize,
    /// Connection limit of each process.
    pub each: usize,
    /// The total connection limit, if it is less than was asked for.
    pub reduced_to: Option<usize>,
}

impl DescriptorBudget {
    /// Descriptors reserved in the process that connects to workers. With a small limit at most half of it,
    /// so that some clients can connect however long the worker list is.
    pub fn reserved(&self) -> usize {
        let needed = OWN_DESCRIPTORS + self.workers.saturating_mul(self.per_worker);
        needed.min((self.limit / 2).max(OWN_DESCRIPTORS)).min(self.limit)
    }

    /// Client connections that the process which connects to workers can hold itself.
    pub fn own_capacity(&self) -> usize {
        self.limit - self.reserved()
    }

    /// Splits the connections over `holders` acceptor processes. With `None`, over as few as can hold them,
    /// and over none if the gateway process can hold all.
    pub fn split(&self, connections: usize, holders: Option<usize>) -> ConnectionSplit {
        let per_acceptor = self.limit.saturating_sub(OWN_DESCRIPTORS).max(1);
        let needed = connections.div_ceil(per_acceptor);
        let holders = match holders {
            Some(given) => given,
            None if connections <= self.own_capacity() => 0,
            // So low a descriptor limit is taken as intended: the gateway process holds what it can.
            None if needed > MAX_ACCEPTORS => 0,
            None => needed,
        };
        let (each, total) = match holders {
            0 => (connections.min(self.own_capacity()), self.own_capacity()),
            n => (connections.div_ceil(n).min(per_acceptor), per_acceptor.saturating_mul(n)),
        };
        ConnectionSplit { acceptors: holders, each, reduced_to: (total < connections).then_some(total) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const BUDGET: DescriptorBudget = DescriptorBudget { limit: 20_000, workers: 64, per_worker: 4 };

    #[test]
    fn connections_stay_in_the_gateway_process_if_they_fit_and_else_use_the_fewest_acceptors() {
        assert_eq!(
            BUDGET.split(10_000, None),
            ConnectionSplit { acceptors: 0, each: 10_000, reduced_to: None }
        );
        assert_eq!(BUDGET.split(19_720, None).acceptors, 0);
        assert_eq!(BUDGET.split(19_721, None).acceptors, 1);
        assert_eq!(
            BUDGET.split(100_000, None),
            ConnectionSplit { acceptors: 6, each: 16_667, reduced_to: None }
        );
        assert_eq!(BUDGET.split(100_000, Some(8)).each, 12_500);
        assert_eq!(BUDGET.split(100_000, Some(2)).reduced_to, Some(39_952));
    }

    #[test]
    fn a_small_descriptor_limit_is_split_between_clients_and_workers() {
        let tiny = DescriptorBudget { limit: 64, ..BUDGET };
        assert_eq!((tiny.reserved(), tiny.own_capacity()), (32, 32));
        assert_eq!(
            tiny.split(10_000, None),
            ConnectionSplit { acceptors: 0, each: 32, reduced_to: Some(32) }
        );
        for limit in 0..200 {
            let budget = DescriptorBudget { limit, ..BUDGET };
            assert!(budget.reserved() + budget.own_capacity() == limit);
        }
    }
}
