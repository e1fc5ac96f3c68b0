//! What goes into the engine and what comes out of it.

use std::collections::BTreeSet;
use std::sync::Arc;

use cresswheel::{FunctionId, Micros, WorkerId};
use cresswheel_protocol::{Listed, Message, Origin, Shape, Status};

use crate::{AdmissionLimits, AttemptEnd, ListAge, OrderEnd, ResultLimits};

/// Settings of the engine; those of the decision module are among them.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// For the decision module.
    pub module: cresswheel::Settings,
    /// What is taken at all.
    pub admission: AdmissionLimits,
    /// What is kept of deferred calls and of calls with a key.
    pub results: ResultLimits,
    /// The module is told a deadline this much earlier than the client's, so that the last answer of all is
    /// with the client in time.
    pub answer_margin: Micros,
    /// Longest time that a client may ask for.
    pub most_time: Micros,
    /// Time that a deferred call has when its client names none.
    pub deferred_time: Micros,
}

/// One expected answer: a connection (named by the shell, never twice) and the client's number on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Client {
    /// The connection.
    pub connection: u64,
    /// The client's own number for the call or the await.
    pub number: u64,
}

/// A call as a client asked for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The answer is fetched later.
    pub deferred: bool,
    /// The function.
    pub function: String,
    /// Its class, by name.
    pub class: String,
    /// The tenant, by name; empty: none.
    pub tenant: String,
    /// The idempotency key; empty: none.
    pub key: String,
    /// The workers alone drop repeats by the key; here nothing is kept of it.
    pub is_key_for_workers: bool,
    /// Follows the call everywhere; empty: the call's id serves.
    pub trace: String,
    /// Time until the client gives up; 0: the class's own.
    pub time_left: Micros,
    /// What is known of the function.
    pub shape: Shape,
    /// The arguments.
    pub body: Vec<u8>,
    /// The account that it is about, where the client tells it.
    pub account: Option<String>,
    /// What it runs, if the function has versions; `None`: the function under its own name.
    pub route: Option<Route>,
}

/// The one version of its function that a call was given, for all its attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The name under which it is routed and loaded.
    pub function: String,
    /// What the worker must say that it ran; empty: anything.
    pub digest: String,
    /// The newer of two versions.
    pub new: bool,
    /// Run beside the call of a client, only to compare its answer.
    pub twin: bool,
}

impl Call {
    /// Whether its client's repeats are matched here.
    pub fn has_own_key(&self) -> bool {
        !self.key.is_empty() && !self.is_key_for_workers
    }

    /// The name under which it is routed.
    pub fn routed(&self) -> &str {
        self.route.as_ref().map_or(&self.function, |route| &route.function)
    }
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// A client asks for a call.
    Call(Client, Call),
    /// A client asks for the result of a call, and would wait so long for it.
    Await(Client, String, Micros),
    /// A client no longer waits for this answer.
    Cancel(Client),
    /// A client's connection is gone.
    Left(u64),
    /// An attempt ended, with the worker's answer if there is one, and its word for what ran.
    AttemptEnded(u64, AttemptEnd, Vec<u8>, Option<Origin>),
    /// An order ended, with the instances that stand.
    OrderEnded(u64, OrderEnd, u32),
    /// Calls of the first function are coming, from those of the second: it is to stand loaded for so long.
    Expected(FunctionId, FunctionId, Micros),
    /// A worker answered a probe.
    Probed(WorkerId),
    /// A worker said, to a question of that time, whether it serves or leaves.
    WorkerSaid {
        /// The worker.
        worker: WorkerId,
        /// It takes new work.
        serves: bool,
        /// When it was asked.
        asked: Micros,
    },
    /// How current the worker list is, from now on.
    ListAge(ListAge),
    /// Answers of the list service contradict each other about these workers, and about no others.
    ListDisputed(BTreeSet<WorkerId>),
    /// The worker list: all of it, or changes.
    List {
        /// What is not named is gone.
        whole: bool,
        /// The entries.
        workers: Vec<Listed>,
    },
    /// The worker list can't be reached; what is held stays in force.
    ListLost,
    /// Take nothing new from now on.
    Drain,
    /// Answer all that is still open, now.
    Stop,
    /// Time has passed; [`crate::Engine::wake_at`] is due.
    Wake,
}

/// A final answer, or the answer to an await.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// How it ended.
    pub status: Status,
    /// Why, in a word; empty when served.
    pub reason: &'static str,
    /// How long a refused client should stay away; 0: no advice.
    pub retry_after: Micros,
    /// The function's answer.
    pub body: Arc<[u8]>,
    /// What ran by the worker's word; else, without a digest, the version that the call was given.
    pub origin: Option<Arc<Origin>>,
}

impl Answer {
    pub(crate) fn bare(status: Status, reason: &'static str) -> Self {
        Self { status, reason, retry_after: 0, body: Arc::from([]), origin: None }
    }
}

/// What an attempt carries to the worker.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Names the attempt; never used twice.
    pub number: u64,
    /// The worker.
    pub worker: WorkerId,
    /// The call's id.
    pub id: String,
    /// Attempts of the call before this one.
    pub before: u32,
    /// Time until nobody waits any more.
    pub time_left: Micros,
    /// The attempt itself is given up after this.
    pub timeout: Micros,
    /// Its class may be run more than once.
    pub is_repeatable: bool,
    /// The call.
    pub call: Arc<Call>,
}

impl Attempt {
    /// What the worker is sent. A call without a trace or a key of its own goes by the attempt's id.
    pub fn message(&self) -> Message {
        let call = &self.call;
        let or_id = |text: &str| if text.is_empty() { self.id.clone() } else { text.to_owned() };
        Message::Run {
            attempt: self.number,
            trace: or_id(&call.trace),
            before: self.before,
            function: call.routed().to_owned(),
            class: call.class.clone(),
            key: or_id(&call.key),
            time_left: self.time_left,
            shape: call.shape.clone(),
            body: call.body.clone(),
        }
    }
}

/// What is to be done, in order.
#[derive(Clone, Debug)]
pub enum Output {
    /// Tell the client that its deferred call was taken, under this id.
    Accepted(Client, String),
    /// Give the client its answer. Nothing more follows for it.
    Answer(Client, Answer),
    /// The client broke the protocol: tell it why and close.
    Close(u64, &'static str),
    /// Carry an attempt to its worker.
    Run(Attempt),
    /// Nobody waits for this attempt any more, or it may no longer begin: take it back if no byte of it has left.
    Withdraw(WorkerId, u64),
    /// Nothing was heard of this attempt in time: take it back as with `Withdraw`, or else give it up at the worker.
    Overdue(WorkerId, u64),
    /// Tell the worker that an attempt is called off.
    CancelRun(WorkerId, u64),
    /// Carry a hold order.
    Hold {
        /// The worker.
        worker: WorkerId,
        /// Names the order; never used twice.
        order: u64,
        /// The function.
        function: FunctionId,
        /// Instances wanted.
        count: u32,
        /// What is known of the function.
        shape: Shape,
    },
    /// Have idle instances unloaded.
    Drop(WorkerId, FunctionId),
    /// Probe a worker.
    Probe(WorkerId),
    /// Ask for the worker list.
    Follow,
    /// A call that was given a version is over.
    Over {
        /// The call.
        call: Arc<Call>,
        /// How it ended.
        status: Status,
        /// Beyond its class's aim.
        late: bool,
        /// One of its attempts ended in an error, or ran something else.
        erred: bool,
    },
    /// A worker said what it ran for a call with a version, and whether that was something else.
    Ran(Arc<Call>, Option<Origin>, bool),
    /// A load order was answered: an instance stands there, or not.
    Loaded(FunctionId, bool),
    /// A line for the operators.
    Log(String),
}
