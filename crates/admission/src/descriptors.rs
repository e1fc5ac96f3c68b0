//! File descriptors: what connections to workers, listeners and logs need is set aside before clients get any.

/// What a process may open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Descriptors that a process may have.
    pub limit: usize,
    /// Workers that are known or to be expected.
    pub workers: usize,
    /// Connections that each of them may get.
    pub per_worker: usize,
}

/// Listeners, logs, loop, list, state, a reload, and what the standard library opens in passing.
const OWN: usize = 24;
/// More processes than this are a mistake in the settings.
const MOST_HOLDERS: usize = 64;

/// How the connections are spread over processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Parts {
    /// Processes that only hold connections; 0: the gateway holds them itself.
    pub holders: usize,
    /// Connections that each may hold.
    pub each: usize,
    /// All that they can hold together, if that is less than was asked for.
    pub short: Option<usize>,
}

impl Budget {
    /// What is set aside in the process that speaks with workers. On a small limit at most half of it, so that
    /// some clients get in whatever the list says.
    pub fn reserve(&self) -> usize {
        let all = OWN + self.workers.saturating_mul(self.per_worker);
        all.min((self.limit / 2).max(OWN)).min(self.limit)
    }

    /// Clients that the process which speaks with workers can hold itself.
    pub fn inside(&self) -> usize {
        self.limit - self.reserve()
    }

    /// Spreads so many connections. With `holders` given, over so many; else over none if they fit inside.
    pub fn spread(&self, connections: usize, holders: Option<usize>) -> Parts {
        let in_holder = self.limit.saturating_sub(OWN).max(1);
        let wanted = connections.div_ceil(in_holder);
        let holders = match holders {
            Some(given) => given,
            None if connections <= self.inside() => 0,
            // A limit so small that it would take a crowd of processes is taken as meant.
            None if wanted > MOST_HOLDERS => 0,
            None => wanted,
        };
        let (each, all) = match holders {
            0 => (connections.min(self.inside()), self.inside()),
            n => (connections.div_ceil(n).min(in_holder), in_holder.saturating_mul(n)),
        };
        Parts { holders, each, short: (all < connections).then_some(all) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const HERE: Budget = Budget { limit: 20_000, workers: 64, per_worker: 4 };

    #[test]
    fn what_fits_stays_inside_and_more_takes_as_few_processes_as_hold_it() {
        assert_eq!(HERE.spread(10_000, None), Parts { holders: 0, each: 10_000, short: None });
        assert_eq!(HERE.spread(19_720, None).holders, 0);
        assert_eq!(HERE.spread(19_721, None).holders, 1);
        assert_eq!(HERE.spread(100_000, None), Parts { holders: 6, each: 16_667, short: None });
        assert_eq!(HERE.spread(100_000, Some(8)).each, 12_500);
        assert_eq!(HERE.spread(100_000, Some(2)).short, Some(39_952));
    }

    #[test]
    fn a_tiny_limit_leaves_some_for_clients_and_some_for_workers() {
        let tiny = Budget { limit: 64, ..HERE };
        assert_eq!((tiny.reserve(), tiny.inside()), (32, 32));
        assert_eq!(tiny.spread(10_000, None), Parts { holders: 0, each: 32, short: Some(32) });
        for limit in 0..200 {
            let budget = Budget { limit, ..HERE };
            assert!(budget.reserve() + budget.inside() == limit);
        }
    }
}
