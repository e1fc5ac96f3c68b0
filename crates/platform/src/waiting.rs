//! Requests that were read but not begun, while the gateway only listens for clients that leave.

use std::collections::VecDeque;

use crate::front::Ask;

/// With so many bytes of bodies waiting, the gateway goes on to begin them.
const MOST_BYTES: usize = 2 << 20;

/// Requests in the order in which they came, without those whose clients have gone.
#[derive(Debug, Default)]
pub struct Waiting {
    requests: VecDeque<Ask>,
    bytes: usize,
}

impl Waiting {
    /// Keeps a request. What takes one back drops it here if it still waits, and is given back as it may concern one
    /// that was begun before.
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

    /// The first of them.
    pub fn take(&mut self) -> Option<Ask> {
        let ask = self.requests.pop_front()?;
        self.bytes -= body_bytes(&ask);
        Some(ask)
    }

    /// Nothing waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// As much waits as may.
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
