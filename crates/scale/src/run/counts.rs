//! What a run counts while it goes on.

use std::collections::BTreeMap;

use cresswheel_protocol::Micros;
use foldhash::{HashMap, HashMapExt};
use hdrhistogram::Histogram;

use crate::records::{ChangeLog, CostMeter, Kind, Messages};

/// The counts of a run.
pub struct Counts {
    /// Calls that were made.
    pub calls: u64,
    /// Calls without an answer: when each was made.
    pub open_calls: HashMap<u64, Micros>,
    /// Answers by status and reason.
    pub answers: BTreeMap<String, u64>,
    /// Answers to calls that were not open.
    pub stray_answers: u64,
    /// Times from call to answer, in microseconds.
    pub answer_times: Histogram<u64>,
    /// Processor time by kind of input.
    pub costs: BTreeMap<Kind, CostMeter>,
    /// Messages that gateways sent.
    pub gateway_sent: Messages,
    /// Messages that gateways received.
    pub gateway_received: Messages,
    /// Messages that workers sent.
    pub worker_sent: Messages,
    /// Messages that workers received.
    pub worker_received: Messages,
    /// Changes of the worker list.
    pub list_log: ChangeLog,
    /// Changes of the settings.
    pub settings_log: ChangeLog,
    /// Gateways that have received the whole list.
    pub whole_lists: usize,
    /// Attempts sent to a worker that was not in service.
    pub stale_attempts: u64,
    /// Workers that fell under load.
    pub falls: u64,
}

impl Counts {
    /// Nothing yet; answer times are kept up to `longest_answer`.
    pub fn new(longest_answer: Micros) -> anyhow::Result<Self> {
        Ok(Self {
            calls: 0,
            open_calls: HashMap::new(),
            answers: BTreeMap::new(),
            stray_answers: 0,
            answer_times: Histogram::new_with_bounds(1, longest_answer, 2)?,
            costs: Kind::ALL.into_iter().map(|kind| (kind, CostMeter::new())).collect(),
            gateway_sent: Messages::default(),
            gateway_received: Messages::default(),
            worker_sent: Messages::default(),
            worker_received: Messages::default(),
            list_log: ChangeLog::default(),
            settings_log: ChangeLog::default(),
            whole_lists: 0,
            stale_attempts: 0,
            falls: 0,
        })
    }

    /// Records the processor time of one input.
    pub fn add_cost(&mut self, kind: Kind, nanos: u64) {
        self.costs.entry(kind).or_insert_with(CostMeter::new).add(nanos);
    }

    /// Records a client's answer.
    pub fn add_answer(&mut self, now: Micros, call: u64, description: String) {
        *self.answers.entry(description).or_default() += 1;
        match self.open_calls.remove(&call) {
            Some(made) => self.answer_times.saturating_record((now - made).max(1)),
            None => self.stray_answers += 1,
        }
    }

    /// Forgets the gateways' messages of the start, which are reported apart.
    pub fn reset_gateway_messages(&mut self) {
        self.gateway_sent = Messages::default();
        self.gateway_received = Messages::default();
    }
}
