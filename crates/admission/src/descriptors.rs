//! Budget of file descriptors: those for worker connections, listeners and logs are reserved before client
//! connections get any.

/// Inputs of the descriptor budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
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
pub struct Parts {
    /// Acceptor processes, which only hold client connections; 0: the gateway process holds them itself.
    pub holders: usize,
    /// Connection limit of each process.
    pub each: usize,
    /// The total connection limit, if it is less than was asked for.
    pub short: Option<usize>,
}

impl Budget {
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
    pub fn spread(&self, connections: usize, holders: Option<usize>) -> Parts {
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
        Parts { holders, each, short: (total < connections).then_some(total) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const BUDGET: Budget = Budget { limit: 20_000, workers: 64, per_worker: 4 };

    #[test]
    fn connections_stay_in_the_gateway_process_if_they_fit_and_else_use_the_fewest_acceptors() {
        assert_eq!(BUDGET.spread(10_000, None), Parts { holders: 0, each: 10_000, short: None });
        assert_eq!(BUDGET.spread(19_720, None).holders, 0);
        assert_eq!(BUDGET.spread(19_721, None).holders, 1);
        assert_eq!(BUDGET.spread(100_000, None), Parts { holders: 6, each: 16_667, short: None });
        assert_eq!(BUDGET.spread(100_000, Some(8)).each, 12_500);
        assert_eq!(BUDGET.spread(100_000, Some(2)).short, Some(39_952));
    }

    #[test]
    fn a_small_descriptor_limit_is_split_between_clients_and_workers() {
        let tiny = Budget { limit: 64, ..BUDGET };
        assert_eq!((tiny.reserved(), tiny.own_capacity()), (32, 32));
        assert_eq!(tiny.spread(10_000, None), Parts { holders: 0, each: 32, short: Some(32) });
        for limit in 0..200 {
            let budget = Budget { limit, ..BUDGET };
            assert!(budget.reserved() + budget.own_capacity() == limit);
        }
    }
}
