//! What is written down during a run: messages, costs, changes.

use std::collections::BTreeMap;

use cresswheel_protocol::{Message, Micros, encode};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Messages of one kind and their bytes, as the main protocol's encoder makes them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Messages.
    pub messages: u64,
    /// Their bytes, headers included.
    pub bytes: u64,
}

/// Messages by kind.
#[derive(Clone, Debug, Default)]
pub struct Messages {
    by_kind: BTreeMap<&'static str, Traffic>,
    scratch: Vec<u8>,
}

impl Messages {
    /// Counts a message; gives its bytes.
    pub fn count(&mut self, message: &Message) -> u64 {
        self.scratch.clear();
        encode(message, &mut self.scratch);
        let bytes = self.scratch.len() as u64;
        self.add(message.kind(), bytes);
        bytes
    }

    /// Counts a message whose bytes are known.
    pub fn add(&mut self, kind: &'static str, bytes: u64) {
        let traffic = self.by_kind.entry(kind).or_default();
        traffic.messages += 1;
        traffic.bytes += bytes;
    }

    /// The counts, for a report.
    pub fn report(&self) -> BTreeMap<String, Traffic> {
        self.by_kind.iter().map(|(kind, traffic)| ((*kind).to_owned(), *traffic)).collect()
    }
}

/// What a gateway was given, and what its cost is booked under.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A call of a client.
    Call,
    /// The end of an attempt.
    AttemptEnd,
    /// The end of a load order.
    OrderEnd,
    /// A wake-up that was asked for.
    WakeUp,
    /// Changed entries of the worker list.
    ListChange,
    /// The whole worker list.
    WholeList,
    /// Changed settings: read, checked, put in force.
    Settings,
    /// The answer to a probe.
    Probed,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 8] = [
        Self::Call,
        Self::AttemptEnd,
        Self::OrderEnd,
        Self::WakeUp,
        Self::ListChange,
        Self::WholeList,
        Self::Settings,
        Self::Probed,
    ];

    /// In words.
    pub fn word(self) -> &'static str {
        match self {
            Self::Call => "call",
            Self::AttemptEnd => "attempt end",
            Self::OrderEnd => "order end",
            Self::WakeUp => "wake-up",
            Self::ListChange => "list change",
            Self::WholeList => "whole list",
            Self::Settings => "settings",
            Self::Probed => "probed",
        }
    }

    /// Deciding calls is service; all else is control.
    pub fn is_control(self) -> bool {
        !matches!(self, Self::Call | Self::AttemptEnd)
    }
}

/// Processor time of one kind of event, in nanoseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Events.
    pub events: u64,
    /// Of all of them.
    pub total_ns: u64,
    /// In the mean.
    pub mean_ns: f64,
    /// Half took no longer.
    pub median_ns: u64,
    /// 99 of 100 took no longer.
    pub p99_ns: u64,
    /// The longest.
    pub worst_ns: u64,
    /// Events that took over 2 ms.
    pub over_2ms: u64,
}

/// Costs under way.
#[derive(Clone, Debug)]
pub struct CostMeter {
    spans: Histogram<u64>,
    total: u64,
    worst: u64,
    over: u64,
}

const LONG_NANOS: u64 = 2_000_000;
/// What took longer counts as this long in the quantiles.
const LONGEST_NANOS: u64 = 100_000_000_000;

impl CostMeter {
    /// Nothing yet.
    pub fn new() -> Self {
        let spans = Histogram::new_with_bounds(1, LONGEST_NANOS, 2);
        let spans = spans.unwrap_or_else(|_| unreachable!("these bounds are allowed"));
        Self { spans, total: 0, worst: 0, over: 0 }
    }

    /// Books an event.
    pub fn add(&mut self, nanos: u64) {
        self.spans.saturating_record(nanos.max(1));
        self.total += nanos;
        self.worst = self.worst.max(nanos);
        self.over += u64::from(nanos > LONG_NANOS);
    }

    /// For a report.
    pub fn report(&self) -> Cost {
        let events = self.spans.len();
        Cost {
            events,
            total_ns: self.total,
            mean_ns: self.total as f64 / events.max(1) as f64,
            median_ns: self.spans.value_at_quantile(0.5),
            p99_ns: self.spans.value_at_quantile(0.99),
            worst_ns: self.worst,
            over_2ms: self.over,
        }
    }
}

/// A change on its way to all gateways.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// `list` or `settings`.
    pub what: String,
    /// Its version.
    pub version: u64,
    /// When it was made, in microseconds from the start of the traffic.
    pub made_us: u64,
    /// Gateways that have it.
    pub gateways: u64,
    /// From then until the last of these had it, in microseconds.
    pub last_us: u64,
    /// In the mean over these, in microseconds.
    pub mean_us: f64,
}

/// Changes of one kind under way.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    changes: Vec<Change>,
}

#[derive(Clone, Debug)]
struct Change {
    made: Micros,
    gateways: u64,
    last: Micros,
    sum: Micros,
}

impl ChangeLog {
    /// A change is made; gives its version, from 1.
    pub fn make(&mut self, now: Micros) -> u64 {
        self.changes.push(Change { made: now, gateways: 0, last: now, sum: 0 });
        self.changes.len() as u64
    }

    /// A gateway has it in force.
    pub fn in_force(&mut self, version: u64, now: Micros) {
        let place = (version as usize).checked_sub(1);
        if let Some(change) = place.and_then(|place| self.changes.get_mut(place)) {
            change.gateways += 1;
            change.last = now;
            change.sum += now.saturating_sub(change.made);
        }
    }

    /// Changes made so far.
    pub fn newest(&self) -> u64 {
        self.changes.len() as u64
    }

    /// For a report; times count from `start`.
    pub fn report(&self, what: &str, start: Micros) -> Vec<ChangeRecord> {
        let record = |(at, change): (usize, &Change)| ChangeRecord {
            what: what.into(),
            version: at as u64 + 1,
            made_us: change.made.saturating_sub(start),
            gateways: change.gateways,
            last_us: change.last - change.made,
            mean_us: change.sum as f64 / change.gateways.max(1) as f64,
        };
        self.changes.iter().enumerate().map(record).collect()
    }
}
