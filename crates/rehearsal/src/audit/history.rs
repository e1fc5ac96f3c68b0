//! The history of each call, put together from the records of clients, workers and the scene.

use std::collections::BTreeMap;

use cresswheel_standins::{Record, RecordedEvent};

/// A call as its client saw it.
#[derive(Default)]
pub struct Call {
    pub gateway: String,
    pub class: String,
    pub asked: u64,
    pub deadline: u64,
    pub accepted: bool,
    pub answers: Vec<Answer>,
    /// The client stopped waiting by its own will.
    pub left: bool,
    /// The connection to the gateway was lost.
    pub lost: Option<LostGateway>,
}

/// A final answer that a client got.
pub struct Answer {
    pub at: u64,
    pub status: String,
    pub reason: String,
}

/// The end of a client's connection with a call on it.
#[derive(Clone, Copy)]
pub struct LostGateway {
    pub at: u64,
    /// No connection was established, so the call never got there.
    pub unreached: bool,
}

/// An attempt of a call, as its worker saw it.
pub struct Attempt {
    pub at: u64,
    pub worker: String,
    pub began: bool,
    pub ending: Option<AttemptEnding>,
}

/// How an attempt ended at its worker.
pub struct AttemptEnding {
    pub word: String,
    /// The answer to it was sent.
    pub sent: bool,
}

/// Endings that say that an attempt never ran.
const NEVER_RAN: [&str; 3] = ["full", "miss", "load-failed"];

impl Attempt {
    /// Whether the gateway was told that the attempt never ran.
    pub fn provably_never_ran(&self) -> bool {
        self.ending.as_ref().is_some_and(|ending| ending.sent && NEVER_RAN.contains(&ending.word.as_str()))
    }
}

/// All calls and attempts of a run.
#[derive(Default)]
pub struct History<'a> {
    /// By trace.
    pub calls: BTreeMap<&'a str, Call>,
    /// By trace, in the order of time.
    pub attempts: BTreeMap<&'a str, Vec<Attempt>>,
    /// When gateways were killed or stopped, as the scene says.
    pub gateway_ends: BTreeMap<&'a str, Vec<u64>>,
    /// Answers to calls that nobody made.
    pub stray_answers: Vec<String>,
}

impl<'a> History<'a> {
    /// Reads records, which must be in the order of time.
    pub fn of(records: &'a [Record]) -> Self {
        let mut history = Self::default();
        for record in records {
            history.add_client_record(record);
            history.add_worker_record(record);
            if let RecordedEvent::Scene { words } = &record.what {
                let ended = words.strip_prefix("kill ").or(words.strip_prefix("stop "));
                if let Some(gateway) = ended {
                    history.gateway_ends.entry(gateway).or_default().push(record.at);
                }
            }
        }
        history
    }

    fn add_client_record(&mut self, record: &'a Record) {
        let at = record.at;
        match &record.what {
            RecordedEvent::Asked { trace, gateway, class, deadline, .. } => {
                let call = self.calls.entry(trace).or_default();
                (call.gateway, call.class) = (gateway.clone(), class.clone());
                (call.asked, call.deadline) = (at, *deadline);
            }
            RecordedEvent::Accepted { trace } => self.calls.entry(trace).or_default().accepted = true,
            RecordedEvent::Answered { trace, status, reason, .. } => match self.calls.get_mut(trace.as_str())
            {
                Some(call) => {
                    call.answers.push(Answer { at, status: status.clone(), reason: reason.clone() });
                }
                None => {
                    let stray = format!("an answer to nothing that was asked: {trace}, {status}");
                    self.stray_answers.push(stray);
                }
            },
            RecordedEvent::GaveUp { trace } => self.calls.entry(trace).or_default().left = true,
            RecordedEvent::GatewayGone { trace, unreached } => {
                let lost = LostGateway { at, unreached: *unreached };
                self.calls.entry(trace).or_default().lost = Some(lost);
            }
            _ => {}
        }
    }

    fn add_worker_record(&mut self, record: &'a Record) {
        match &record.what {
            RecordedEvent::Run { trace, .. } => {
                let worker = record.by.clone();
                let attempt = Attempt { at: record.at, worker, began: false, ending: None };
                self.attempts.entry(trace).or_default().push(attempt);
            }
            RecordedEvent::Began { trace, .. } => {
                if let Some(attempt) = self.last_open(trace, &record.by) {
                    attempt.began = true;
                }
            }
            RecordedEvent::Ran { trace, ending, lost, .. } => {
                if let Some(attempt) = self.last_open(trace, &record.by) {
                    attempt.ending = Some(AttemptEnding { word: ending.clone(), sent: !lost });
                }
            }
            _ => {}
        }
    }

    /// The latest attempt of a call at a worker that has not ended.
    fn last_open(&mut self, trace: &str, worker: &str) -> Option<&mut Attempt> {
        let attempts = self.attempts.get_mut(trace)?;
        attempts.iter_mut().rev().find(|attempt| attempt.worker == worker && attempt.ending.is_none())
    }
}
