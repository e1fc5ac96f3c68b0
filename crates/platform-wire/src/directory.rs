//! The directory of hosts: DNS answers over UDP, and the initial list in a configuration.

use std::collections::{HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddrV4};

use cresswheel_protocol::{ListedWorker, MemberState};
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::rdata::{A, SOA, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use serde::Deserialize;

/// DNS name of the list.
const SERVICE: &str = "_data._tcp.farm.lan.";
/// An answer with more hosts than this is rejected as malformed.
const MAX_HOSTS: usize = 10_000;

/// The complete list of hosts as of an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostList {
    /// Number of the last event.
    pub serial: u64,
    /// The hosts; one that is absent has left.
    pub hosts: Vec<ListedWorker>,
}

/// An answer without a usable list: the previous list stays in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DirectoryError {
    /// A message that can't be encoded or decoded as DNS.
    #[error("invalid DNS message: {0}")]
    InvalidMessage(String),
    /// Not an answer to this query.
    #[error("an answer to another query")]
    Unrelated,
    /// The directory reports a failure.
    #[error("the directory answers {0}")]
    Failed(String),
    /// The answer is truncated, or lacks a required record.
    #[error("incomplete answer: {0}")]
    Incomplete(&'static str),
    /// A record has an invalid value.
    #[error("invalid record: {0}")]
    InvalidRecord(&'static str),
}

/// The query for the complete list, with this message id.
pub fn encode_query(id: u16) -> Result<Vec<u8>, DirectoryError> {
    let mut message = Message::new(id, MessageType::Query, OpCode::Query);
    message.add_query(Query::query(service()?, RecordType::SRV));
    message.to_vec().map_err(invalid_message)
}

fn service() -> Result<Name, DirectoryError> {
    Name::from_ascii(SERVICE).map_err(invalid_message)
}

fn invalid_message(error: impl std::fmt::Display) -> DirectoryError {
    DirectoryError::InvalidMessage(error.to_string())
}

/// Encodes a list as a directory answers it, for stand-ins and measurements.
pub fn encode_host_list(id: u16, listing: &HostList) -> Result<Vec<u8>, DirectoryError> {
    let service = service()?;
    let name = |text: &str| Name::from_ascii(text).map_err(invalid_message);
    let mut message = Message::new(id, MessageType::Response, OpCode::Query);
    message.metadata.response_code = ResponseCode::NoError;
    message.add_query(Query::query(service.clone(), RecordType::SRV));
    for host in listing.hosts.iter().filter(|host| host.standing != MemberState::Removed) {
        let target = name(&format!("{}.{}.hosts.", host.id, host.zone))?;
        let address: SocketAddrV4 =
            host.address.parse().map_err(|_| DirectoryError::InvalidRecord("A or SRV address"))?;
        let srv =
            SRV::new(u16::from(host.standing == MemberState::Draining), 40, address.port(), target.clone());
        message.add_answer(Record::from_rdata(service.clone(), 1, RData::SRV(srv)));
        message.add_additional(Record::from_rdata(target.clone(), 1, RData::A(A(*address.ip()))));
        let kind = format!("kind={}", host.kind);
        let text = vec![kind, format!("cell={}", host.cell), format!("started={}", host.started / 1_000)];
        message.add_additional(Record::from_rdata(target, 1, RData::TXT(TXT::new(text))));
    }
    let serial = u32::try_from(listing.serial).map_err(|_| DirectoryError::InvalidRecord("SOA serial"))?;
    let soa = SOA::new(name("ns.farm.lan.")?, name("op.farm.lan.")?, serial, 1, 1, 1, 1);
    message.add_authority(Record::from_rdata(name("farm.lan.")?, 1, RData::SOA(soa)));
    message.to_vec().map_err(invalid_message)
}

/// Message id of an answer, which finds the matching query.
pub fn message_id(bytes: &[u8]) -> Option<u16> {
    bytes.first_chunk::<2>().map(|id| u16::from_be_bytes(*id))
}

/// Decodes an answer to [`encode_query`]; the caller checks its message id.
pub fn decode_answer(bytes: &[u8]) -> Result<HostList, DirectoryError> {
    let message = Message::from_vec(bytes).map_err(invalid_message)?;
    let service = service()?;
    let is_ours = |query: &Query| query.query_type() == RecordType::SRV && query.name() == &service;
    if message.metadata.message_type != MessageType::Response || !message.queries.iter().all(is_ours) {
        return Err(DirectoryError::Unrelated);
    }
    if message.metadata.response_code != ResponseCode::NoError {
        return Err(DirectoryError::Failed(message.metadata.response_code.to_string()));
    }
    if message.metadata.truncation {
        return Err(DirectoryError::Incomplete("truncated"));
    }
    let serials = message.authorities.iter().filter_map(|record| match &record.data {
        RData::SOA(soa) => Some(u64::from(soa.serial)),
        _ => None,
    });
    let serial = serials.max().ok_or(DirectoryError::Incomplete("no SOA record"))?;
    let mut addresses: HashMap<&Name, Ipv4Addr> = HashMap::new();
    let mut texts: HashMap<&Name, Vec<String>> = HashMap::new();
    for record in message.additionals.iter().chain(&message.answers) {
        match &record.data {
            RData::A(address) => _ = addresses.insert(&record.name, address.0),
            RData::TXT(text) => {
                let parts = text.txt_data.iter().map(|part| String::from_utf8_lossy(part).into_owned());
                texts.insert(&record.name, parts.collect());
            }
            _ => {}
        }
    }
    let mut hosts = Vec::new();
    for record in message.answers.iter().filter(|record| record.name == service) {
        let RData::SRV(srv) = &record.data else { continue };
        let address =
            addresses.get(&srv.target).ok_or(DirectoryError::Incomplete("a host without an A record"))?;
        let text = texts.get(&srv.target).ok_or(DirectoryError::Incomplete("a host without a TXT record"))?;
        let value = |name: &str| {
            text.iter().find_map(|part| part.split_once('=').filter(|(n, _)| *n == name)).map(|(_, v)| v)
        };
        let mut labels = srv.target.iter().map(|label| String::from_utf8_lossy(label).into_owned());
        let id =
            labels.next().filter(|id| !id.is_empty()).ok_or(DirectoryError::InvalidRecord("SRV target"))?;
        hosts.push(ListedWorker {
            id,
            address: format!("{address}:{}", srv.port),
            zone: labels.next().unwrap_or_default(),
            kind: value("kind").unwrap_or("").into(),
            cell: value("cell")
                .and_then(|v| v.parse().ok())
                .ok_or(DirectoryError::InvalidRecord("TXT cell"))?,
            standing: match srv.priority {
                0 => MemberState::Active,
                1 => MemberState::Draining,
                _ => return Err(DirectoryError::InvalidRecord("SRV priority")),
            },
            started: micros(match value("started") {
                None => 0,
                Some(text) => text.parse().map_err(|_| DirectoryError::InvalidRecord("TXT started"))?,
            }),
        });
        if hosts.len() > MAX_HOSTS {
            return Err(DirectoryError::InvalidRecord("too many hosts"));
        }
    }
    Ok(HostList { serial, hosts })
}

/// Converts milliseconds since 1970 to the program's microseconds; 0: long ago.
fn micros(ms: u64) -> u64 {
    ms.saturating_mul(1_000)
}

/// Directory events up to the start of a gateway, from its configuration.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Known {
    /// Number of the last event.
    pub pos: u64,
    /// The events.
    #[serde(default)]
    pub entries: Vec<KnownEvent>,
}

impl Known {
    /// The list as of the last event.
    pub fn listing(&self) -> HostList {
        let mut hosts: Vec<ListedWorker> = Vec::new();
        for event in &self.entries {
            if event.hosts.complete {
                hosts.clear();
            }
            let named: HashSet<&str> = event.hosts.members.iter().map(|member| member.id.as_str()).collect();
            hosts.retain(|host| !named.contains(host.id.as_str()));
            let listed = event.hosts.members.iter().map(Member::listed);
            hosts.extend(listed.filter(|host| host.standing != MemberState::Removed));
        }
        HostList { serial: self.pos, hosts }
    }
}

/// A directory event.
#[derive(Clone, Debug, Deserialize)]
pub struct KnownEvent {
    /// Number of the event.
    pub pos: u64,
    /// The changes, or the complete list.
    pub hosts: KnownHosts,
}

/// The hosts of an event.
#[derive(Clone, Debug, Deserialize)]
pub struct KnownHosts {
    /// The event has the complete list: hosts that are absent have left.
    #[serde(default)]
    pub complete: bool,
    /// The hosts.
    #[serde(default)]
    pub members: Vec<Member>,
}

/// A host in an event.
#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    id: String,
    host_port: String,
    #[serde(default)]
    locality: String,
    #[serde(default)]
    flavor: String,
    #[serde(default)]
    cell: u64,
    phase: String,
    #[serde(default)]
    up_since_ms: u64,
}

impl Member {
    /// Converts it to an entry of the worker list.
    pub fn listed(&self) -> ListedWorker {
        ListedWorker {
            id: self.id.clone(),
            address: self.host_port.clone(),
            zone: self.locality.clone(),
            kind: self.flavor.clone(),
            cell: self.cell,
            standing: match self.phase.as_str() {
                "Ready" => MemberState::Active,
                "Terminating" => MemberState::Draining,
                _ => MemberState::Removed,
            },
            started: micros(self.up_since_ms),
        }
    }
}
