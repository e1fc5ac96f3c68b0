//! Requests that were read but not started, while the gateway only processes cancellations and disconnects.

use std::collections::VecDeque;

use crate::front::ClientEvent;

/// With this many bytes of bodies deferred, the gateway goes on to start requests.
const MAX_BYTES: usize = 2 << 20;

/// Deferred requests in order of arrival, without those of clients that left.
#[derive(Debug, Default)]
pub struct DeferredRequests {
    requests: VecDeque<ClientEvent>,
    bytes: usize,
}

impl DeferredRequests {
    /// Defers a request. A cancellation or disconnect drops deferred requests and is returned, as it may also
    /// concern requests that were started before.
    pub fn push(&mut self, event: ClientEvent) -> Option<ClientEvent> {
        match event {
            ClientEvent::Request(..) => {
                self.bytes += body_bytes(&event);
                self.requests.push_back(event);
                return None;
            }
            ClientEvent::Canceled(connection, stream) => {
                self.drop_matching(|queued_connection, queued_stream| {
                    (queued_connection, queued_stream) == (connection, stream)
                })
            }
            ClientEvent::Left(connection) => {
                self.drop_matching(|queued_connection, _| queued_connection == connection)
            }
        }
        Some(event)
    }

    fn drop_matching(&mut self, is_canceled: impl Fn(u64, u32) -> bool) {
        let stays = |event: &ClientEvent| !matches!(event, ClientEvent::Request(queued, stream, ..) if is_canceled(*queued, *stream));
        self.requests.retain(stays);
        self.bytes = self.requests.iter().map(body_bytes).sum();
    }

    /// Takes the oldest request.
    pub fn take(&mut self) -> Option<ClientEvent> {
        let event = self.requests.pop_front()?;
        self.bytes -= body_bytes(&event);
        Some(event)
    }

    /// Whether no request is deferred.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Whether the limit is reached.
    pub fn is_full(&self) -> bool {
        self.bytes >= MAX_BYTES
    }
}

fn body_bytes(event: &ClientEvent) -> usize {
    match event {
        ClientEvent::Request(.., request) => request.body.len(),
        ClientEvent::Canceled(..) | ClientEvent::Left(_) => 0,
    }
}

#[cfg(test)]
mod tests;
