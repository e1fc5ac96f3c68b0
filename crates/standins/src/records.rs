//! Records of what passed on the sockets of clients and stand-ins, one JSON object a line: the auditor's only input.

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

/// An event on a socket, or something done to the system under test.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RecordedEvent {
    /// A worker process began.
    Started {
        /// When, as the list tells it.
        started: u64,
        /// Its zone.
        zone: String,
        /// Its cell.
        cell: u64,
        /// Work that it can do when warm, in cores of standard speed.
        power: f64,
        /// Cold: sent more than this multiple of its capacity ...
        fall_multiple: f64,
        /// ... for so long, it falls over; 0: never.
        fall_window: u64,
        /// Cold: the share of its capacity that it begins with.
        cold_from: f64,
        /// Until it has all of it.
        warm_up: u64,
    },
    /// A worker read an attempt.
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
        /// What the call would take of one core, in microseconds.
        work: u64,
    },
    /// A worker began to run a call: its effect happens.
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
        /// The answer was not sent, on purpose.
        lost: bool,
        /// Whose bytes ran.
        #[serde(default)]
        image: String,
    },
    /// A worker read a hold order.
    Hold {
        /// The gateway.
        gateway: String,
        /// The function.
        function: String,
        /// Instances wanted.
        count: u32,
    },
    /// Memory that a worker's instances hold from now on.
    Memory {
        /// In MB, those that load included.
        mb: u32,
    },
    /// A cold worker collapsed under overload.
    Fell {
        /// Work sent to it within the window, in core-microseconds.
        sent: u64,
        /// What it could have borne.
        bearable: u64,
    },
    /// The list sent a gateway workers.
    Told {
        /// The gateway.
        gateway: String,
        /// Workers that are not named are gone.
        whole: bool,
        /// Each worker and what was said of it.
        workers: Vec<(String, String)>,
    },
    /// A client asked for a call.
    Asked {
        /// The call's trace.
        trace: String,
        /// The gateway asked.
        gateway: String,
        /// The class.
        class: String,
        /// Its answer is fetched later.
        deferred: bool,
        /// When the client gives up, on its clock.
        deadline: u64,
    },
    /// A client was told that its deferred call was accepted.
    Accepted {
        /// The call's trace.
        trace: String,
    },
    /// A client got a final answer.
    Answered {
        /// The call's trace.
        trace: String,
        /// How it ended.
        status: String,
        /// Why.
        reason: String,
        /// What ran, as the client was told.
        #[serde(default)]
        function: String,
        /// Its digest, as the client was told.
        #[serde(default)]
        digest: String,
    },
    /// A client stopped waiting of its own accord.
    GaveUp {
        /// The call's trace.
        trace: String,
    },
    /// A client's gateway was killed, or could not be reached: the call is the client's to repeat.
    GatewayGone {
        /// The call's trace.
        trace: String,
        /// No connection was established, so the call was never sent.
        unreached: bool,
    },
    /// Something done to the system under test.
    Scene {
        /// In words.
        words: String,
    },
}

impl RecordedEvent {
    /// A client got a final answer, which names what ran.
    pub fn answered(trace: String, status: String, reason: String, origin: Option<Origin>) -> Self {
        let (function, digest) = origin.map(|o| (o.function, o.digest)).unwrap_or_default();
        Self::Answered { trace, status, reason, function, digest }
    }
}

/// Writes records to a file, each line whole.
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
            // Without its records a run can't be judged: the auditor misses them and says so.
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
