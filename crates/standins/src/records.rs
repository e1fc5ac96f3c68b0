//! Records of messages at clients and stand-ins, as JSON lines. They are the auditor's only input.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;

use cresswheel_protocol::Origin;
use serde::{Deserialize, Serialize};

/// One recorded event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The time in microseconds since 1970, on the recorder's clock.
    pub at: u64,
    /// The recorder's name.
    pub by: String,
    /// The event.
    pub what: RecordedEvent,
}

/// A message on a socket, or a command to the system under test.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RecordedEvent {
    /// A worker process started.
    Started {
        /// Start time, as published by the worker list.
        started: u64,
        /// Its zone.
        zone: String,
        /// Its cell.
        cell: u64,
        /// Capacity when warm, in cores of standard speed.
        power: f64,
        /// While cold it collapses when it is sent more than this multiple of its capacity ...
        fall_multiple: f64,
        /// ... within this window, in microseconds; 0: never.
        fall_window: u64,
        /// The share of its warm capacity that it starts with.
        cold_from: f64,
        /// Time from its start until it has its full capacity, in microseconds.
        warm_up: u64,
    },
    /// A worker received an attempt.
    Run {
        /// The gateway.
        gateway: String,
        /// The call's trace.
        trace: String,
        /// The gateway's number for the attempt.
        attempt: u64,
        /// The class.
        class: String,
        /// The function.
        function: String,
        /// Expected time on one core, in microseconds.
        work: u64,
    },
    /// A worker started to run a call, so its effect happens.
    Began {
        /// The call's trace.
        trace: String,
        /// The class.
        class: String,
    },
    /// A worker answered an attempt.
    Ran {
        /// The call's trace.
        trace: String,
        /// How it ended.
        ending: String,
        /// A fault kept the answer from being sent.
        lost: bool,
        /// The function whose image ran.
        #[serde(default)]
        image: String,
    },
    /// A worker received a prewarm order.
    Hold {
        /// The gateway.
        gateway: String,
        /// The function.
        function: String,
        /// Instances wanted.
        count: u32,
    },
    /// The memory use of a worker's instances changed.
    Memory {
        /// New value in MB, including instances that are loading.
        mb: u32,
    },
    /// A cold worker collapsed under overload.
    Fell {
        /// Work sent to it within the window, in core-microseconds.
        sent: u64,
        /// Work that it could have handled in the window.
        bearable: u64,
    },
    /// The worker list service sent entries to a gateway.
    Told {
        /// The gateway.
        gateway: String,
        /// The entries are the complete list: workers without an entry are gone.
        whole: bool,
        /// Id and state of each worker.
        workers: Vec<(String, String)>,
    },
    /// A client sent a call.
    Asked {
        /// The call's trace.
        trace: String,
        /// The gateway that it was sent to.
        gateway: String,
        /// The class.
        class: String,
        /// The client fetches the answer later.
        deferred: bool,
        /// The client's deadline, on its own clock.
        deadline: u64,
    },
    /// A gateway accepted a client's deferred call.
    Accepted {
        /// The call's trace.
        trace: String,
    },
    /// A client got a final answer.
    Answered {
        /// The call's trace.
        trace: String,
        /// The final status.
        status: String,
        /// The reason for the status.
        reason: String,
        /// The function that ran, according to the answer.
        #[serde(default)]
        function: String,
        /// The digest of the function, according to the answer.
        #[serde(default)]
        digest: String,
    },
    /// A client stopped waiting for the answer.
    GaveUp {
        /// The call's trace.
        trace: String,
    },
    /// The connection to the gateway ended or could not be established; the client may repeat the call.
    GatewayGone {
        /// The call's trace.
        trace: String,
        /// No connection was established, so the call was never sent.
        unreached: bool,
    },
    /// A command of the scenario, such as an injected fault.
    Scene {
        /// The command.
        words: String,
    },
}

impl RecordedEvent {
    /// Builds [`Self::Answered`]; `origin` names the function that ran.
    pub fn answered(trace: String, status: String, reason: String, origin: Option<Origin>) -> Self {
        let (function, digest) = origin.map(|o| (o.function, o.digest)).unwrap_or_default();
        Self::Answered { trace, status, reason, function, digest }
    }
}

/// Writes records to a file, one per line.
pub struct Recorder {
    by: String,
    out: Option<BufWriter<File>>,
}

impl Recorder {
    /// Appends to `folder/NAME.jsonl`; without a folder it writes nothing.
    pub fn new(folder: Option<&Path>, name: &str) -> io::Result<Self> {
        let open = |folder: &Path| {
            std::fs::create_dir_all(folder)?;
            let safe = |c: char| if c.is_ascii_alphanumeric() || "-_.".contains(c) { c } else { '_' };
            let file: String = name.chars().map(safe).collect();
            File::options().create(true).append(true).open(folder.join(file + ".jsonl"))
        };
        let out = folder.map(open).transpose()?.map(BufWriter::new);
        Ok(Self { by: name.into(), out })
    }

    /// Writes a record.
    pub fn write(&mut self, at: u64, what: RecordedEvent) {
        let Some(out) = &mut self.out else { return };
        let record = Record { at, by: self.by.clone(), what };
        let written = serde_json::to_writer(&mut *out, &record).map_err(io::Error::from);
        if let Err(error) = written.and_then(|()| out.write_all(b"\n")) {
            // Logged only: the auditor reports the missing records, so that the run is not judged without them.
            tracing::error!(%error, "a record could not be written");
        }
    }

    /// Writes buffered records to the file, so that they survive the end of this process.
    pub fn flush(&mut self) {
        if let Some(Err(error)) = self.out.as_mut().map(Write::flush) {
            tracing::error!(%error, "records could not be written");
        }
    }
}
