//! The directory of hosts: DNS answers over UDP, and the list that a configuration begins with.

use std::collections::{HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddrV4};

use cresswheel_protocol::{Listed, Standing};
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::rdata::{A, SOA, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use serde::Deserialize;

/// Where the list is asked for.
const SERVICE: &str = "_data._tcp.farm.lan.";
/// More hosts than this are taken for a spoilt answer.
const MOST_HOSTS: usize = 10_000;

/// The whole list, as of an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The last event's number.
    pub serial: u64,
    /// The hosts; what is not named is gone.
    pub hosts: Vec<Listed>,
}

/// An answer that tells nothing: what is held stays in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DirectoryError {
    /// It can't be read as DNS.
    #[error("not readable: {0}")]
    Unreadable(String),
    /// It answers something else.
    #[error("an answer to something else")]
    Other,
    /// The directory says that it failed.
    #[error("the directory answers {0}")]
    Failed(String),
    /// It says itself that it is cut short, or a record that it needs is missing.
    #[error("cut short: {0}")]
    Short(&'static str),
    /// A record means nothing here.
    #[error("unusable: {0}")]
    Unusable(&'static str),
}

/// The query for the whole list, under an id.
pub fn query(id: u16) -> Result<Vec<u8>, DirectoryError> {
    let mut message = Message::new(id, MessageType::Query, OpCode::Query);
    message.add_query(Query::query(service()?, RecordType::SRV));
    message.to_vec().map_err(unreadable)
}

fn service() -> Result<Name, DirectoryError> {
    Name::from_ascii(SERVICE).map_err(unreadable)
}

fn unreadable(error: impl std::fmt::Display) -> DirectoryError {
    DirectoryError::Unreadable(error.to_string())
}

/// The answer that tells this list, as a directory gives it; for stand-ins and measurements.
pub fn encode_listing(id: u16, listing: &Listing) -> Result<Vec<u8>, DirectoryError> {
    let service = service()?;
    let name = |text: &str| Name::from_ascii(text).map_err(unreadable);
    let mut message = Message::new(id, MessageType::Response, OpCode::Query);
    message.metadata.response_code = ResponseCode::NoError;
    message.add_query(Query::query(service.clone(), RecordType::SRV));
    for host in listing.hosts.iter().filter(|host| host.standing != Standing::Out) {
        let target = name(&format!("{}.{}.hosts.", host.id, host.zone))?;
        let address: SocketAddrV4 =
            host.address.parse().map_err(|_| DirectoryError::Unusable("an address"))?;
        let srv =
            SRV::new(u16::from(host.standing == Standing::Draining), 40, address.port(), target.clone());
        message.add_answer(Record::from_rdata(service.clone(), 1, RData::SRV(srv)));
        message.add_additional(Record::from_rdata(target.clone(), 1, RData::A(A(*address.ip()))));
        let kind = format!("kind={}", host.kind);
        let text = vec![kind, format!("cell={}", host.cell), format!("started={}", host.started / 1_000)];
        message.add_additional(Record::from_rdata(target, 1, RData::TXT(TXT::new(text))));
    }
    let serial = u32::try_from(listing.serial).map_err(|_| DirectoryError::Unusable("a serial"))?;
    let soa = SOA::new(name("ns.farm.lan.")?, name("op.farm.lan.")?, serial, 1, 1, 1, 1);
    message.add_authority(Record::from_rdata(name("farm.lan.")?, 1, RData::SOA(soa)));
    message.to_vec().map_err(unreadable)
}

/// The id of an answer, for finding what it answers.
pub fn answer_id(bytes: &[u8]) -> Option<u16> {
    bytes.first_chunk::<2>().map(|id| u16::from_be_bytes(*id))
}

/// Reads an answer to [`query`]; whether its id is right is for the caller to see.
pub fn answer(bytes: &[u8]) -> Result<Listing, DirectoryError> {
    let message = Message::from_vec(bytes).map_err(unreadable)?;
    let service = service()?;
    let asked = |query: &Query| query.query_type() == RecordType::SRV && query.name() == &service;
    if message.metadata.message_type != MessageType::Response || !message.queries.iter().all(asked) {
        return Err(DirectoryError::Other);
    }
    if message.metadata.response_code != ResponseCode::NoError {
        return Err(DirectoryError::Failed(message.metadata.response_code.to_string()));
    }
    if message.metadata.truncation {
        return Err(DirectoryError::Short("the answer says so"));
    }
    let serials = message.authorities.iter().filter_map(|record| match &record.data {
        RData::SOA(soa) => Some(u64::from(soa.serial)),
        _ => None,
    });
    let serial = serials.max().ok_or(DirectoryError::Short("no SOA"))?;
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
        let address = addresses.get(&srv.target).ok_or(DirectoryError::Short("no address of a host"))?;
        let text = texts.get(&srv.target).ok_or(DirectoryError::Short("no text of a host"))?;
        let value = |name: &str| {
            text.iter().find_map(|part| part.split_once('=').filter(|(n, _)| *n == name)).map(|(_, v)| v)
        };
        let mut labels = srv.target.iter().map(|label| String::from_utf8_lossy(label).into_owned());
        let id = labels.next().filter(|id| !id.is_empty()).ok_or(DirectoryError::Unusable("a target"))?;
        hosts.push(Listed {
            id,
            address: format!("{address}:{}", srv.port),
            zone: labels.next().unwrap_or_default(),
            kind: value("kind").unwrap_or("").into(),
            cell: value("cell").and_then(|v| v.parse().ok()).ok_or(DirectoryError::Unusable("a cell"))?,
            standing: match srv.priority {
                0 => Standing::In,
                1 => Standing::Draining,
                _ => return Err(DirectoryError::Unusable("a priority")),
            },
            started: started(value("started").and_then(|v| v.parse().ok()).unwrap_or(0)),
        });
        if hosts.len() > MOST_HOSTS {
            return Err(DirectoryError::Unusable("more hosts than can be"));
        }
    }
    Ok(Listing { serial, hosts })
}

/// Milliseconds since 1970 to the program's clock; 0: long ago.
fn started(ms: u64) -> u64 {
    ms.saturating_mul(1_000)
}

/// The events of the directory up to a gateway's start, as the configuration holds them.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Known {
    /// The last event's number.
    pub pos: u64,
    /// The events.
    #[serde(default)]
    pub entries: Vec<KnownEvent>,
}

impl Known {
    /// The list as of the last event.
    pub fn listing(&self) -> Listing {
        let mut hosts: Vec<Listed> = Vec::new();
        for event in &self.entries {
            if event.hosts.complete {
                hosts.clear();
            }
            let named: HashSet<&str> = event.hosts.members.iter().map(|member| member.id.as_str()).collect();
            hosts.retain(|host| !named.contains(host.id.as_str()));
            let listed = event.hosts.members.iter().map(Member::listed);
            hosts.extend(listed.filter(|host| host.standing != Standing::Out));
        }
        Listing { serial: self.pos, hosts }
    }
}

/// One event.
#[derive(Clone, Debug, Deserialize)]
pub struct KnownEvent {
    /// Its number.
    pub pos: u64,
    /// What has changed, or the whole list.
    pub hosts: KnownHosts,
}

/// What an event tells.
#[derive(Clone, Debug, Deserialize)]
pub struct KnownHosts {
    /// What is not named is gone.
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
    /// As the gateway lists it.
    pub fn listed(&self) -> Listed {
        Listed {
            id: self.id.clone(),
            address: self.host_port.clone(),
            zone: self.locality.clone(),
            kind: self.flavor.clone(),
            cell: self.cell,
            standing: match self.phase.as_str() {
                "Ready" => Standing::In,
                "Terminating" => Standing::Draining,
                _ => Standing::Out,
            },
            started: started(self.up_since_ms),
        }
    }
}
