//! Questions to one gateway.

use std::net::SocketAddr;
use std::time::Duration;

use cresswheel_protocol::Message;
use cresswheel_rehearsal::Client;
use cresswheel_versions::{VersionReply, VersionRequest};

/// A gateway that is asked.
pub struct Gateway {
    pub address: SocketAddr,
    client: Option<Client>,
}

/// An answer takes no longer than this, or the gateway counts as out of reach.
const ANSWER_WITHIN: Duration = Duration::from_secs(2);

impl Gateway {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, client: None }
    }

    /// Its answer, or why there is none.
    pub fn ask(&mut self, key: &str, question: &VersionRequest) -> Result<VersionReply, String> {
        // A connection that broke since the last time says nothing of the gateway's present state.
        let had = self.client.is_some();
        match self.ask_once(key, question) {
            Err(_) if had => self.ask_once(key, question),
            other => other,
        }
    }

    fn ask_once(&mut self, key: &str, question: &VersionRequest) -> Result<VersionReply, String> {
        let mut client = match self.client.take() {
            Some(client) => client,
            None => Client::connect(self.address, "versions").map_err(|error| error.to_string())?,
        };
        let json = serde_json::to_vec(question).map_err(|error| error.to_string())?;
        let ask = Message::Versions { number: 1, key: key.into(), json };
        client.send(&ask).map_err(|error| error.to_string())?;
        loop {
            match client.receive_within(ANSWER_WITHIN).map_err(|error| error.to_string())? {
                Message::Versioned { json, .. } => {
                    self.client = Some(client);
                    return serde_json::from_slice(&json).map_err(|error| error.to_string());
                }
                Message::Answer { reason, .. } | Message::Bye { reason } => return Err(reason),
                _ => {}
            }
        }
    }
}
