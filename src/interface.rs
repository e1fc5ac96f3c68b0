//! The public types of the decision module: its [`Settings`], the [`Event`]s that it takes and the
//! [`Action`]s that it returns.
//!
//! This file has data types only. Durations and points in time are in microseconds of the caller's clock.

use std::collections::BTreeMap;
use std::sync::Arc;

/// A duration or a point in time, in microseconds.
pub type Micros = u64;

macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub Arc<str>);
        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }
        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}
string_id!(
    /// Identifies a worker; the same at every gateway, and unchanged when the worker's process restarts.
    WorkerId
);
string_id!(
    /// Identifies a function (a model).
    FunctionId
);
string_id!(
    /// Identifies one request; never reused.
    RequestId
);

/// Whether a request of a class may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Idempotent: it may run any number of times.
    Safe,
    /// The workers of one group deduplicate repeats by the request's key for a limited time.
    Keyed {
        /// The workers that share the deduplication records.
        group: Group,
        /// How long a record is kept, from the first attempt that may have run.
        retention: Micros,
    },
    /// It must not run more than once.
    Unsafe,
}

/// The workers among which a keyed request may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All workers.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Latency objective: an answer within this time earns the full [`worth`](Self::worth).
    pub latency_objective: Micros,
    /// Client timeout: how long a client waits for the answer.
    pub client_timeout: Micros,
    /// Whether a request may be executed more than once.
    pub effect: Effect,
    /// Whether the answer is a stream.
    pub streamed: bool,
    /// Value of a request that is answered within the latency objective.
    pub worth: f64,
    /// Fraction of the value that a later answer earns.
    pub late_worth: f64,
}

/// A customer with a request quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Requests per second over all gateways that are within its quota.
    pub quota_per_s: f64,
}

/// What a worker does with a call of a function that is not loaded there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MissPolicy {
    /// It loads the function while the call waits.
    Load,
    /// It answers [`Outcome::Miss`]; only a prewarm order ([`Action::Hold`]) loads the function.
    Miss,
}

/// The rate limit on prewarm orders, over a sliding window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrderRateLimit {
    /// Length of the window.
    pub window: Micros,
    /// Orders allowed in a window regardless of the traffic.
    pub base_orders: f64,
    /// Further orders allowed for each request that was accepted in the window.
    pub per_request: f64,
}

/// The limits of slow start: how much work a worker that has just started can take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Fraction of its capacity that it has at least when it starts.
    pub initial_share: f64,
    /// Time after which it has its full capacity at the latest.
    pub warm_up: Micros,
    /// Work above this multiple of its current capacity ...
    pub overload_multiple: f64,
    /// ... for this long makes its process collapse.
    pub overload_window: Micros,
}

/// The configuration of a [`Dispatcher`](crate::Dispatcher). [`Settings::default`] has the values of absent
/// keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of gateways that share the workers, including this one.
    pub gateways: u32,
    /// The zone of this gateway.
    pub zone: String,
    /// The caller delivers events at most once in this time.
    pub tick: Micros,
    /// The request classes; a request refers to its class by index.
    pub classes: Vec<Class>,
    /// The tenants; a request refers to its tenant by index.
    pub tenants: Vec<Tenant>,
    /// Fraction of the value that requests above a tenant's quota keep.
    pub over_quota_worth: f64,
    /// Whether changes of the worker list must be subscribed to ([`Action::Follow`]).
    pub must_subscribe: bool,
    /// Longest time between two requests for the worker list where there is no subscription.
    pub list_poll_interval: Micros,
    /// How long an idle instance stays loaded at least.
    pub keep_alive: Micros,
    /// What a worker does with a call of a function that is not loaded there.
    pub miss_policy: MissPolicy,
    /// Whether prewarm and unload orders ([`Action::Hold`], [`Action::Drop`]) are allowed.
    pub may_prewarm: bool,
    /// Whether answers report how many requests for the same function the worker had in flight.
    pub reports_in_flight: bool,
    /// Rate limit on prewarm orders, if there is one.
    pub order_rate_limit: Option<OrderRateLimit>,
    /// Most instances that one prewarm order may request.
    pub max_instances_per_order: usize,
    /// A prewarm order without an answer for this long ends with [`Outcome::Timeout`].
    pub order_timeout: Micros,
    /// Whether attempts may be canceled.
    pub may_cancel: bool,
    /// Whether workers may be probed.
    pub may_probe: bool,
    /// Whether a request may have two attempts in flight.
    pub may_hedge: bool,
    /// Most attempts per request.
    pub max_attempts: usize,
    /// Whether clients retry a refused request with the same key, and only while the workers of the group
    /// keep its record. Otherwise a keyed request that may have run is never refused.
    pub clients_retry_within_retention: bool,
    /// Whether a refusal may state a retry delay.
    pub retry_after: bool,
    /// Longest retry delay that clients honor.
    pub max_retry_after: Micros,
    /// Timeout for establishing a connection.
    pub connect_timeout: Micros,
    /// How long new work may still be sent to a worker that drains or has left; the module sends none.
    pub drain_grace: Micros,
    /// Slow start of workers that have just started.
    pub cold_start: ColdStart,
    /// Memory of each kind of worker in MB, where known.
    pub kind_memory_mb: BTreeMap<String, f64>,
}

impl Default for Settings {
    /// One gateway, no classes, and every optional capability disabled.
    fn default() -> Self {
        Self {
            gateways: 1,
            zone: String::new(),
            tick: 1_000,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_quota_worth: 1.0,
            must_subscribe: false,
            list_poll_interval: 0,
            keep_alive: 0,
            miss_policy: MissPolicy::Load,
            may_prewarm: false,
            reports_in_flight: false,
            order_rate_limit: None,
            max_instances_per_order: 16,
            order_timeout: 0,
            may_cancel: false,
            may_probe: false,
            may_hedge: false,
            max_attempts: 1,
            clients_retry_within_retention: false,
            retry_after: false,
            max_retry_after: 0,
            connect_timeout: 0,
            drain_grace: 0,
            cold_start: ColdStart {
                initial_share: 1.0,
                warm_up: 0,
                overload_multiple: 1.0,
                overload_window: 0,
            },
            kind_memory_mb: BTreeMap::new(),
        }
    }
}

impl Settings {
    /// Checks that there is a class and that figures that must be positive are.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        let require = |ok: bool, name| if ok { Ok(()) } else { Err(SettingsError::NotPositive(name)) };
        require(self.tick > 0, "tick")?;
        require(self.gateways > 0, "gateways")?;
        require(self.max_attempts > 0, "max_attempts")?;
        require(self.classes.iter().all(|c| c.latency_objective > 0), "aim")?;
        require(self.cold_start.overload_multiple > 0.0 && self.cold_start.initial_share > 0.0, "cold")
    }
}

/// Invalid settings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// No request class is configured.
    #[error("settings: no classes")]
    NoClasses,
    /// A value that must be above zero is zero, negative or not a number.
    #[error("settings: {0} must be above zero")]
    NotPositive(&'static str),
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Index of its class in [`Settings::classes`]; out of range, it is treated as [`Effect::Unsafe`].
    pub class: usize,
    /// Index of its tenant in [`Settings::tenants`], if it has one.
    pub tenant: Option<usize>,
    /// The function that it calls.
    pub function: FunctionId,
    /// Time until the client's deadline.
    pub time_left: Micros,
    /// Memory of one instance of the function in MB, if known.
    pub memory_mb: Option<f64>,
    /// Concurrency of one instance: how many requests it runs at a time, if known.
    pub concurrency: Option<u32>,
    /// Typical load time of the function, if known.
    pub load_time: Option<Micros>,
}

/// How an attempt, a prewarm order or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The attempt was served, the ordered instances are loaded, or the probe was answered.
    Ok,
    /// The worker answered with an error; the request may have run.
    Error,
    /// The worker rejected it for lack of capacity; it never ran.
    Full,
    /// No answer within the timeout; it may have run.
    Timeout,
    /// No connection was established; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Canceled; it may have run.
    Cancelled,
    /// Not sent, for a reason unrelated to the worker: the request was over, no connection had room for it,
    /// or it was withdrawn. It never ran.
    NotSent,
    /// The function is not loaded at the worker; it never ran.
    Miss,
}

impl Outcome {
    /// Whether an attempt with this outcome certainly never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::NotSent | Self::Miss)
    }
}

/// One entry of the worker list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerEntry {
    /// The worker.
    pub id: WorkerId,
    /// Its zone.
    pub zone: String,
    /// Its machine type.
    pub kind: String,
    /// Its cell.
    pub cell: u64,
    /// Whether it takes new work.
    pub state: WorkerState,
    /// When its process last started; `None` if long ago.
    pub started: Option<Micros>,
}

/// Whether a worker takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerState {
    /// In service.
    InService,
    /// It finishes the work in flight and takes no more.
    Draining,
    /// Out of service, or not listed.
    #[default]
    OutOfService,
}

/// An update of the worker list.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerListUpdate {
    /// The complete list; workers that are not in it are out of service.
    Complete(Vec<WorkerEntry>),
    /// The changed entries only.
    Changes(Vec<WorkerEntry>),
    /// Fetching the list failed or the subscription broke; the last known list stays in use.
    Unavailable,
}

/// An input of the decision module.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client's request arrived.
    Arrived(Request),
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt, numbered from 0 in the order of sending.
        attempt: usize,
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the attempt was sent.
        elapsed: Micros,
        /// Whether the client has received its final answer.
        answered: bool,
        /// Requests for the same function that the worker had in flight when this one arrived, if reported.
        worker_in_flight: Option<u32>,
        /// Whether it ended because the worker failed to load the function.
        load_failed: bool,
    },
    /// A streamed answer has begun.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The attempt that streams.
        attempt: usize,
    },
    /// The client no longer waits for its answer; the request is over.
    ClientLeft(RequestId),
    /// The worker list was updated.
    List(WorkerListUpdate),
    /// A prewarm order ([`Action::Hold`]) ended.
    PrewarmEnded {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the order.
        elapsed: Micros,
        /// Instances of the function that are loaded there.
        loaded_instances: u32,
    },
    /// A probe ended.
    Probed {
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
    },
    /// Calls of another function will move to this one, which is to stay loaded until then.
    CallsExpected {
        /// The function.
        function: FunctionId,
        /// The function whose calls it will get; the same traffic and resources are assumed for it.
        similar_to: FunctionId,
        /// Time from now until when the calls may come.
        within: Micros,
    },
    /// The caller has no use for a function at present and is short of places for their names: it is forgotten
    /// ([`Action::Forget`]) if nothing refers to it.
    FunctionUnneeded(FunctionId),
    /// A timer set by [`Action::WakeAfter`] has expired.
    Wake,
}

/// What the caller has to do, in the order returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt to a worker.
    Send {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
        /// Timeout of the attempt.
        timeout: Micros,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: usize,
    },
    /// Final answer: refused; the client may safely retry.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it retries.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed; the request may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Prewarm order: have a worker load `count` instances of a function, or keep them loaded.
    Hold {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// The number of instances.
        count: u32,
    },
    /// Unload order: have a worker unload its idle instances of a function.
    Drop {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
    },
    /// The module has dropped all its state of a function; the next call counts as its first.
    Forget(FunctionId),
    /// Probe a worker.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// Subscribe to changes of the worker list.
    Follow,
    /// Set a timer: deliver [`Event::Wake`] after this duration.
    WakeAfter(Micros),
    /// Write a line to the log.
    Log(String),
}
