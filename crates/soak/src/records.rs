//! What passed, in types; all times are of one clock.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use cresswheel_protocol::Micros;

/// Names a request: its gateway, which start of it, and a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId {
    /// The gateway.
    pub gateway: usize,
    /// Which start of it.
    pub life: usize,
    /// Counts the requests.
    pub number: u32,
}

impl RequestId {
    /// As it stands on the sockets.
    pub fn text(&self) -> String {
        format!("{:04x}{:04x}{:08x}", self.gateway, self.life, self.number)
    }

    /// Reads it back.
    pub fn read(text: &str) -> Option<Self> {
        let part = |from: usize, to: usize| u32::from_str_radix(text.get(from..to)?, 16).ok();
        Some(Self { gateway: part(0, 4)? as usize, life: part(4, 8)? as usize, number: part(8, 16)? })
    }
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// An answer came.
    Answered(u8),
    /// Its connection ended.
    Closed,
    /// The client took it back, or closed its connection.
    Left,
}

/// A request as its client saw it.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Its class may not run twice.
    pub is_unsafe: bool,
    /// When all of it was with the kernel, at the latest; until then, when it was made.
    pub sent: Micros,
    /// How long its client waits.
    pub wait: Micros,
    /// When it ended, and how.
    pub end: Option<(Micros, End)>,
    /// Answers beyond the first.
    pub further_answers: u32,
}

/// How a host dealt with an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dealt {
    /// It ran, or may have.
    Ran,
    /// It never ran, and the host says so.
    TurnedAway,
}

/// An attempt or an order as it came to a host.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Which request; `None`: an order, or a request of a flood.
    pub request: Option<RequestId>,
    /// Of which gateway.
    pub gateway: usize,
    /// The host's id.
    pub host: String,
    /// The earliest time at which its bytes can have come.
    pub at: Micros,
    /// How long the gateway waits, as it says.
    pub patience: Micros,
    /// What became of it.
    pub dealt: Dealt,
}

/// An answer of a directory that told, or would have told, the events up to a number.
#[derive(Clone, Copy, Debug)]
pub struct Told {
    /// To which gateway.
    pub gateway: usize,
    /// Which start of it.
    pub life: usize,
    /// When it was sent.
    pub at: Micros,
    /// The last event that it holds.
    pub event: usize,
}

/// A start of a gateway's process.
#[derive(Clone, Copy, Debug)]
pub struct Life {
    /// When it was started.
    pub started: Micros,
    /// When it answered that it is ready.
    pub ready: Option<Micros>,
    /// The last event in its configuration.
    pub knows: usize,
    /// SIGTERM came.
    pub terminated: Option<Micros>,
    /// It was killed by the plan.
    pub killed: Option<Micros>,
    /// It has ended, and whether well.
    pub ended: Option<(Micros, bool)>,
}

/// A span of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// Its start.
    pub from: Micros,
    /// Its end.
    pub to: Micros,
}

/// All that was recorded.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Requests.
    pub requests: BTreeMap<RequestId, Request>,
    /// Attempts and orders at hosts.
    pub arrivals: Vec<Arrival>,
    /// Answers of directories.
    pub told: Vec<Told>,
    /// Starts of gateways, by gateway.
    pub lives: Vec<Vec<Life>>,
    /// Spans in which a gateway's directory was silent.
    pub silences: Vec<Vec<Span>>,
    /// Spans in which a gateway's process was stopped.
    pub freezes: Vec<Vec<Span>>,
    /// How late the soak's own threads were, at their worst, in each tenth of a second.
    pub lateness: BTreeMap<u64, Micros>,
    /// How long a request waited at most between its making and its leaving: clients are late, too.
    pub wrote_late: Micros,
    /// Bytes that floods sent.
    pub flooded: u64,
    /// Lines of gateways' logs that tell of a broken rule.
    pub own_word: Vec<String>,
    /// What the stand-ins could not read, or could not do.
    pub faults: Vec<String>,
}

/// The records while they are made.
#[derive(Debug, Default)]
pub struct Book(Mutex<Records>);

impl Book {
    /// An empty one for so many gateways.
    pub fn new(gateways: usize) -> Self {
        let spans = vec![Vec::new(); gateways];
        let lives = vec![Vec::new(); gateways];
        let records = Records { lives, silences: spans.clone(), freezes: spans, ..Records::default() };
        Self(Mutex::new(records))
    }

    /// Writes to it.
    pub fn write<T>(&self, write: impl FnOnce(&mut Records) -> T) -> T {
        write(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
