//! The types that cross the border of the decision module: [`Settings`], [`Event`], [`Action`].
//!
//! Nothing here decides anything. Spans and instants are microseconds on the host's clock.

use std::collections::BTreeMap;
use std::sync::Arc;

/// A span or an instant in microseconds.
pub type Micros = u64;

macro_rules! id {
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
id!(
    /// Names a worker; the same at every gateway, and kept when its process restarts.
    WorkerId
);
id!(
    /// Names a function (a model).
    FunctionId
);
id!(
    /// Names one request; never used twice.
    RequestId
);

/// What a repeat of a request of this class may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May run any number of times.
    Safe,
    /// Repeats are dropped by the workers of one group for a time.
    Keyed {
        /// The workers that share what they remember.
        group: Group,
        /// How long they remember, from the first sending that may have run.
        memory: Micros,
    },
    /// Must never run twice.
    Unsafe,
}

/// The workers among which a keyed request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All workers.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// An answer within this time earns the full worth.
    pub aim: Micros,
    /// How long a client waits in all.
    pub give_up: Micros,
    /// What a repeat may do.
    pub effect: Effect,
    /// Whether the answer is a stream.
    pub streamed: bool,
    /// Worth of a request answered within its aim.
    pub worth: f64,
    /// Share of the worth that a later answer earns.
    pub late_worth: f64,
}

/// A customer with a share of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Requests a second, over all gateways, that count as within its share.
    pub quota_per_s: f64,
}

/// What a worker does with a call of a function that it lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenAbsent {
    /// It loads the function while the call waits.
    Load,
    /// It answers [`Outcome::Miss`]; only a hold order loads.
    Miss,
}

/// The ration of load orders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrderRation {
    /// The window over which orders are counted.
    pub window: Micros,
    /// Orders allowed whatever the traffic.
    pub free: f64,
    /// Further orders allowed for each request taken in the window.
    pub per_request: f64,
}

/// How a worker that has just started must be treated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// It begins with at least this share of its capacity.
    pub from: f64,
    /// It has its full capacity after this time at the latest.
    pub warm_up: Micros,
    /// Work beyond this multiple of its present capacity ...
    pub multiple: f64,
    /// ... for this long makes it fall over.
    pub window: Micros,
}

/// What the gateway is told at its start. See [`Settings::default`] for the values of absent keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Gateways sharing the workers, this one included.
    pub gateways: u32,
    /// The zone of this gateway.
    pub zone: String,
    /// The host hands over events no more often than this.
    pub tick: Micros,
    /// The classes; requests name them by position.
    pub classes: Vec<Class>,
    /// The tenants; requests name them by position.
    pub tenants: Vec<Tenant>,
    /// Share of the worth left for requests beyond a tenant's quota.
    pub over_quota_worth: f64,
    /// The worker list must be subscribed to.
    pub must_follow: bool,
    /// Without a subscription the list must be asked for at least this often.
    pub ask_within: Micros,
    /// An idle instance stays loaded for at least this long.
    pub keep_alive: Micros,
    /// What a worker does without the function.
    pub when_absent: WhenAbsent,
    /// Hold and drop orders are allowed.
    pub may_order: bool,
    /// Answers tell how many requests for the same function the worker held.
    pub tells_crowd: bool,
    /// The ration of hold orders, where there is one.
    pub ration: Option<OrderRation>,
    /// Most instances that one hold order may name.
    pub most_instances: usize,
    /// A hold order unanswered for this long is answered as timed out.
    pub order_timeout: Micros,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Workers may be probed.
    pub may_probe: bool,
    /// A request may have two attempts outstanding.
    pub may_duplicate: bool,
    /// Most attempts of one request.
    pub max_attempts: usize,
    /// Refused clients can be told when to return.
    pub retry_after: bool,
    /// The longest return time that clients honour.
    pub max_retry_after: Micros,
    /// A connection not established within this time has failed.
    pub connect_timeout: Micros,
    /// How new work to a draining or gone worker may still go out; the module uses none of it.
    pub drain_grace: Micros,
    /// Care for workers that have just started.
    pub cold: ColdStart,
    /// Memory of each kind of worker, in MB, where known.
    pub kind_memory_mb: BTreeMap<String, f64>,
}

impl Default for Settings {
    /// One gateway, no classes, everything optional forbidden.
    fn default() -> Self {
        Self {
            gateways: 1,
            zone: String::new(),
            tick: 1_000,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_quota_worth: 1.0,
            must_follow: false,
            ask_within: 0,
            keep_alive: 0,
            when_absent: WhenAbsent::Load,
            may_order: false,
            tells_crowd: false,
            ration: None,
            most_instances: 16,
            order_timeout: 0,
            may_cancel: false,
            may_probe: false,
            may_duplicate: false,
            max_attempts: 1,
            retry_after: false,
            max_retry_after: 0,
            connect_timeout: 0,
            drain_grace: 0,
            cold: ColdStart { from: 1.0, warm_up: 0, multiple: 1.0, window: 0 },
            kind_memory_mb: BTreeMap::new(),
        }
    }
}

impl Settings {
    /// Whether the settings make sense.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        let above = |ok: bool, name| if ok { Ok(()) } else { Err(SettingsError::NotPositive(name)) };
        above(self.tick > 0, "tick")?;
        above(self.gateways > 0, "gateways")?;
        above(self.max_attempts > 0, "max_attempts")?;
        above(self.classes.iter().all(|c| c.aim > 0), "aim")?;
        above(self.cold.multiple > 0.0 && self.cold.from > 0.0, "cold")
    }
}

/// Settings that make no sense.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// There is no class of requests.
    #[error("settings: no classes")]
    NoClasses,
    /// A figure that must be above zero is not, or is not a number.
    #[error("settings: {0} must be above zero")]
    NotPositive(&'static str),
}

/// A request of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Position of its class in [`Settings::classes`]; one out of range is treated as unsafe.
    pub class: usize,
    /// Position of its tenant in [`Settings::tenants`], if it has one.
    pub tenant: Option<usize>,
    /// The function that it calls.
    pub function: FunctionId,
    /// Time until the client gives up on this try.
    pub time_left: Micros,
    /// Memory of one instance of the function, in MB.
    pub memory_mb: Option<f64>,
    /// Requests that one instance runs at a time.
    pub lanes: Option<u32>,
    /// Usual time of a load.
    pub load_time: Option<Micros>,
}

/// How an attempt, an order or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served; or: the instances stand; or: the probe was answered.
    Ok,
    /// The worker answered with an error; it may have run.
    Error,
    /// Turned away unseen; it never ran.
    Full,
    /// Nothing heard in time; it may have run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Not sent at all; it never ran.
    Moot,
    /// The function is not loaded there; it never ran.
    Miss,
}

impl Outcome {
    /// Whether an attempt that ended so provably never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::Moot | Self::Miss)
    }
}

/// One entry of the worker list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerEntry {
    /// The worker.
    pub id: WorkerId,
    /// Its zone.
    pub zone: String,
    /// Its kind of machine.
    pub kind: String,
    /// Its cell.
    pub cell: u64,
    /// Whether it may be given work.
    pub state: WorkerState,
    /// When its process last started; `None`: long ago.
    pub started: Option<Micros>,
}

/// Whether a listed worker may be given work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerState {
    /// In service.
    In,
    /// Finishing what it has.
    Draining,
    /// Withdrawn, or not listed.
    #[default]
    Out,
}

/// News of the worker list.
#[derive(Clone, Debug, PartialEq)]
pub enum ListNews {
    /// The complete list; what is missing is gone.
    Whole(Vec<WorkerEntry>),
    /// Changed entries only.
    Changes(Vec<WorkerEntry>),
    /// A call for the list failed or the subscription broke; the list held stays in force.
    Lost,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client's request arrived.
    Arrived(Request),
    /// An attempt ended.
    Ended {
        /// The request.
        request: RequestId,
        /// The attempt, numbered from 0 in the order of sending.
        attempt: usize,
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: Micros,
        /// The request has its final answer.
        answered: bool,
        /// Requests for the same function that the worker held when this one came, if told.
        crowd: Option<u32>,
        /// It ended because a load failed there.
        load_failed: bool,
    },
    /// A streamed answer has begun.
    Begun {
        /// The request.
        request: RequestId,
        /// The attempt that streams.
        attempt: usize,
    },
    /// The client has left; the request is over.
    Gone(RequestId),
    /// News of the worker list.
    List(ListNews),
    /// A hold order was answered.
    Held {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the order.
        elapsed: Micros,
        /// Instances that stand there.
        standing: u32,
    },
    /// A probe was answered.
    Probed {
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
    },
    /// Calls of a function are coming, from those of another: it is to stand loaded until then, called or not.
    Expected {
        /// The function.
        function: FunctionId,
        /// The one whose calls it would get, and whose needs it is held to have.
        like: FunctionId,
        /// From now.
        within: Micros,
    },
    /// A wake-up that was asked for is due.
    Wake,
}

/// What the host is to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Begin an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
        /// Time-out of the attempt.
        timeout: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: usize,
    },
    /// Final answer: declined, a further try does no harm.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should stay away.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed, nothing promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Have a worker hold so many instances of a function.
    Hold {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// The instances wanted.
        count: u32,
    },
    /// Have a worker unload its idle instances of a function.
    Drop {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
    },
    /// Nothing is kept of this function any more; a call of it would be the first.
    Forget(FunctionId),
    /// Probe a worker.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// Subscribe to changes of the worker list.
    Follow,
    /// Hand over [`Event::Wake`] after this span.
    WakeAfter(Micros),
    /// A line for the operators.
    Log(String),
}
