//! Turns of connections: each that has something to do gets one after the other, none twice before all others.

use std::collections::VecDeque;

use cresswheel_transport::Connection;
use foldhash::HashSet;

/// A queue in which each connection stands at most once.
#[derive(Debug, Default)]
pub struct Turns {
    queue: VecDeque<Connection>,
    queued: HashSet<Connection>,
}

impl Turns {
    /// Queues a connection as the last, unless it is queued.
    pub fn push(&mut self, connection: Connection) {
        if self.queued.insert(connection) {
            self.queue.push_back(connection);
        }
    }

    /// The connection whose turn it is.
    pub fn next(&mut self) -> Option<Connection> {
        let connection = self.queue.pop_front()?;
        self.queued.remove(&connection);
        Some(connection)
    }

    /// The number of connections that are queued.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether none is queued.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// The queued connections in order.
    pub fn iter(&self) -> impl Iterator<Item = Connection> + '_ {
        self.queue.iter().copied()
    }
}

#[cfg(test)]
mod tests;
