//! The inputs and outputs of the engine.

use std::collections::BTreeSet;
use std::sync::Arc;

use cresswheel::{FunctionId, Micros, WorkerId};
use cresswheel_protocol::{FunctionProfile, ListedWorker, Message, Origin, Status};

use crate::{AdmissionLimits, AttemptEnd, ListAge, OrderEnd, ResultLimits};

/// Settings of the engine, those of the dispatcher included.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Settings of the dispatcher.
    pub dispatcher: cresswheel::Settings,
    /// Admission control.
    pub admission: AdmissionLimits,
    /// Retention of the results of deferred calls and of calls with an idempotency key.
    pub results: ResultLimits,
    /// The dispatcher gets a deadline this much earlier than the client's, so that even the last possible
    /// answer reaches the client in time.
    pub answer_margin: Micros,
    /// The longest deadline that a client may request.
    pub max_time: Micros,
    /// The deadline of a deferred call whose client requests none.
    pub deferred_time: Micros,
}

/// Identifies a pending answer: a client connection (its id is assigned by the driver and never reused) and
/// the client's number on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Client {
    /// The client connection.
    pub connection: u64,
    /// The number that the client chose for the call or the await.
    pub number: u64,
}

/// A call as requested by a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The client fetches the result later, with an await.
    pub deferred: bool,
    /// The name of the function.
    pub function: String,
    /// The name of its class.
    pub class: String,
    /// The name of the tenant; empty: none.
    pub tenant: String,
    /// The idempotency key; empty: none.
    pub key: String,
    /// Only the workers deduplicate by the key; the engine just passes it on.
    pub workers_deduplicate: bool,
    /// The trace id that is passed along with the call; empty: the id of the call is used.
    pub trace: String,
    /// The client timeout; 0: the default of the class.
    pub timeout: Micros,
    /// Resource needs of the function, as far as known.
    pub shape: FunctionProfile,
    /// The arguments of the call.
    pub body: Vec<u8>,
    /// The account that the call concerns, if the client names one.
    pub account: Option<String>,
    /// The version that the call is routed to, if the function has versions; `None`: the function under its
    /// own name.
    pub route: Option<VersionRoute>,
}

/// The version that a call is routed to, the same for all its attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionRoute {
    /// The name under which this version is routed and loaded.
    pub function: String,
    /// The digest that the worker must report to have run; empty: any.
    pub digest: String,
    /// Whether this is the new one of two versions.
    pub is_new_version: bool,
    /// A shadow call: runs in addition to a client's call, only to compare the answers.
    pub is_shadow: bool,
}

impl Call {
    /// Whether the engine deduplicates the call by its key.
    pub fn deduplicates_here(&self) -> bool {
        !self.key.is_empty() && !self.workers_deduplicate
    }

    /// The name under which the call is routed.
    pub fn routed_function(&self) -> &str {
        self.route.as_ref().map_or(&self.function, |route| &route.function)
    }
}

/// An event that the engine handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// A client sent a call.
    Call(Client, Call),
    /// A client requests the result of the call with this id, and waits for it at most this long.
    Await(Client, String, Micros),
    /// A client no longer waits for this answer.
    Cancel(Client),
    /// A client connection was closed.
    Disconnected(u64),
    /// An attempt ended, with the answer of the worker if there is one, and what the worker reported to have
    /// run.
    AttemptEnded(u64, AttemptEnd, Vec<u8>, Option<Origin>),
    /// An order ended, with the number of loaded instances.
    OrderEnded(u64, OrderEnd, u32),
    /// Calls of the first function are expected, as they follow from calls of the second one: it should stay
    /// loaded for this long.
    CallsExpected(FunctionId, FunctionId, Micros),
    /// A worker answered a probe.
    ProbeAnswered(WorkerId),
    /// A worker reported whether it serves or is leaving.
    WorkerReported {
        /// The worker.
        worker: WorkerId,
        /// Whether it accepts new work.
        serves: bool,
        /// When the probe was sent.
        probed_at: Micros,
    },
    /// The age of the worker list changed.
    ListAge(ListAge),
    /// The complete set of workers about which responses of the list service contradict each other.
    WorkersDisputed(BTreeSet<WorkerId>),
    /// The whole worker list, or changes of it.
    List {
        /// Whether this is the whole list: workers that are not listed are gone.
        whole: bool,
        /// The entries.
        workers: Vec<ListedWorker>,
    },
    /// The list service can't be reached; the last known list stays in use.
    ListUnavailable,
    /// Reject new calls from now on.
    Drain,
    /// Answer all open calls now.
    Stop,
    /// The time of [`crate::Engine::wake_at`] has come.
    Wake,
}

/// A final answer, or the answer to an await.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// How the call ended.
    pub status: Status,
    /// The name of the reason; empty when served.
    pub reason: &'static str,
    /// How long a client should wait before it retries a refused call; 0: no advice.
    pub retry_after: Micros,
    /// The result of the function.
    pub body: Arc<[u8]>,
    /// What the worker reported to have run; otherwise the version that the call was routed to, without a
    /// digest.
    pub origin: Option<Arc<Origin>>,
}

impl Answer {
    pub(crate) fn without_body(status: Status, reason: &'static str) -> Self {
        Self { status, reason, retry_after: 0, body: Arc::from([]), origin: None }
    }
}

/// An attempt to be sent to its worker.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Identifies the attempt; never reused.
    pub number: u64,
    /// The worker.
    pub worker: WorkerId,
    /// The id of the call.
    pub id: String,
    /// Number of earlier attempts of the call.
    pub previous_attempts: u32,
    /// The time until the call's deadline.
    pub time_left: Micros,
    /// The timeout of the attempt itself.
    pub timeout: Micros,
    /// Whether calls of its class may run more than once.
    pub is_repeatable: bool,
    /// The call.
    pub call: Arc<Call>,
}

impl Attempt {
    /// The message for the worker. The id of the call replaces a missing trace id or key.
    pub fn message(&self) -> Message {
        let call = &self.call;
        let or_id = |text: &str| if text.is_empty() { self.id.clone() } else { text.to_owned() };
        Message::Run {
            attempt: self.number,
            trace: or_id(&call.trace),
            before: self.previous_attempts,
            function: call.routed_function().to_owned(),
            class: call.class.clone(),
            key: or_id(&call.key),
            time_left: self.time_left,
            shape: call.shape.clone(),
            body: call.body.clone(),
        }
    }
}

/// An action for the driver, to be executed in order.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send the client the id of its accepted deferred call.
    Accepted(Client, String),
    /// Send the client its answer, the last output for this [`Client`].
    Answer(Client, Answer),
    /// The client violated the protocol: send the reason and close the connection.
    Close(u64, &'static str),
    /// Send an attempt to its worker.
    Run(Attempt),
    /// The attempt is no longer needed, or must no longer start: cancel it if no byte of it has been sent.
    CancelIfUnsent(WorkerId, u64),
    /// The attempt timed out: cancel it as with `CancelIfUnsent`, or at the worker if bytes of it have been
    /// sent.
    AttemptTimedOut(WorkerId, u64),
    /// Send the worker the cancellation of an attempt.
    CancelAttempt(WorkerId, u64),
    /// Send a prewarm order to a worker.
    Prewarm {
        /// The worker.
        worker: WorkerId,
        /// Identifies the order; never reused.
        order: u64,
        /// The function.
        function: FunctionId,
        /// The requested number of loaded instances.
        count: u32,
        /// Resource needs of the function, as far as known.
        shape: FunctionProfile,
    },
    /// An order got no answer in time: nothing waits for it any more. It stays in effect if the worker has it.
    OrderTimedOut(u64),
    /// Have the worker unload idle instances of the function.
    Unload(WorkerId, FunctionId),
    /// Probe a worker.
    Probe(WorkerId),
    /// Request the worker list.
    RequestList,
    /// A call that was routed to a version is over.
    CallCompleted {
        /// The call.
        call: Arc<Call>,
        /// How the call ended.
        status: Status,
        /// Whether it missed the latency objective of its class.
        late: bool,
        /// Whether one of its attempts ended in an error or ran the wrong version.
        had_error: bool,
    },
    /// What a worker reported to have run for a call with a version, and whether that was the wrong one.
    VersionReported(Arc<Call>, Option<Origin>, bool),
    /// A prewarm order for this function ended; whether an instance is loaded.
    PrewarmEnded(FunctionId, bool),
    /// Write a line to the log.
    Log(String),
}
