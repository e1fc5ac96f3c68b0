//! Requests that were read but not started, while the gateway only processes cancellations and disconnects.

use std::collections::VecDeque;

use crate::front::Ask;

/// With this many bytes of bodies deferred, the gateway goes on to start requests.
const MOST_BYTES: usize = 2 << 20;

/// Deferred requests in order of arrival, without those of clients that left.
#[derive(Debug, Default)]
pub struct Waiting {
    requests: VecDeque<Ask>,
    bytes: usize,
}

impl Waiting {
    /// Defers a request. A cancellation or disconnect drops deferred requests and is returned, as it may also
    /// concern requests that were started before.
    pub fn hear(&mut self, ask: Ask) -> Option<Ask> {
        match ask {
            Ask::Request(..) => {
                self.bytes += body_bytes(&ask);
                self.requests.push_back(ask);
                return None;
            }
            Ask::TakenBack(connection, stream) => self.drop_all(|of, on| (of, on) == (connection, stream)),
            Ask::Left(connection) => self.drop_all(|of, _| of == connection),
        }
        Some(ask)
    }

    fn drop_all(&mut self, gone: impl Fn(u64, u32) -> bool) {
        let stays = |ask: &Ask| !matches!(ask, Ask::Request(of, on, ..) if gone(*of, *on));
        self.requests.retain(stays);
        self.bytes = self.requests.iter().map(body_bytes).sum();
    }

    /// Takes the oldest request.
    pub fn take(&mut self) -> Option<Ask> {
        let ask = self.requests.pop_front()?;
        self.bytes -= body_bytes(&ask);
        Some(ask)
    }

    /// Whether no request is deferred.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Whether the limit is reached.
    pub fn is_full(&self) -> bool {
        self.bytes >= MOST_BYTES
    }
}

fn body_bytes(ask: &Ask) -> usize {
    match ask {
        Ask::Request(.., request) => request.body.len(),
        Ask::TakenBack(..) | Ask::Left(_) => 0,
    }
}

#[cfg(test)]
mod tests;
