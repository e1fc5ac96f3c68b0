//! The event queue of a run, and its simulated clock.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::rc::Rc;

use cresswheel_engine::Input;
use cresswheel_protocol::{FunctionProfile, ListedWorker, Micros};

use crate::records::Kind;
use crate::worker::Task;

/// Where simulated time begins, in microseconds since 1970.
pub const START_TIME: Micros = 1_700_000_000_000_000;

/// A message as it is counted: its kind and its encoded bytes.
#[derive(Clone, Copy, Debug)]
pub struct MessageSize {
    /// The name of the message in the main protocol.
    pub kind: &'static str,
    /// Encoded bytes, header included.
    pub bytes: u64,
}

/// What a gateway asks of a worker.
#[derive(Debug)]
pub enum WorkerRequest {
    /// Runs a call.
    Run {
        /// The function to run.
        function: String,
        /// The resources that it needs.
        shape: FunctionProfile,
        /// Time left until the call's deadline.
        time_left: Micros,
    },
    /// Cancels a call.
    Cancel,
    /// Orders instances to be held.
    Hold {
        /// The function to load.
        function: String,
        /// The instances to hold.
        count: u32,
        /// The resources of each.
        shape: FunctionProfile,
    },
    /// Unloads a function's idle instances.
    Drop {
        /// The function to unload.
        function: String,
    },
    /// Asks whether the worker answers.
    Probe,
}

/// A message that reaches a worker.
#[derive(Debug)]
pub struct WorkerDelivery {
    /// The receiving worker.
    pub worker: usize,
    /// The sending gateway and its number for the attempt or order.
    pub task: Task,
    /// What is asked.
    pub request: WorkerRequest,
    /// The message that carries it.
    pub message: MessageSize,
}

/// An engine input, with the kind that its cost is recorded under.
#[derive(Debug)]
pub struct GatewayInput {
    /// The kind of the input.
    pub kind: Kind,
    /// The input itself.
    pub input: Input,
}

/// Something that reaches a gateway from a worker.
#[derive(Debug)]
pub struct GatewayDelivery {
    /// The receiving gateway.
    pub gateway: usize,
    /// What its engine is given.
    pub input: Box<GatewayInput>,
    /// The message that carries it; `None` for a connection failure.
    pub message: Option<MessageSize>,
}

/// The worker list, or changed entries of it, reaching a gateway.
#[derive(Debug)]
pub struct ListUpdate {
    /// The receiving gateway.
    pub gateway: usize,
    /// The version of the list.
    pub version: u64,
    /// Whether the entries are the whole list.
    pub whole: bool,
    /// The entries, shared by the updates of all gateways.
    pub entries: Rc<[ListedWorker]>,
    /// Encoded bytes of the message.
    pub bytes: u64,
}

/// Changed settings reaching a gateway.
#[derive(Debug)]
pub struct SettingsUpdate {
    /// The receiving gateway.
    pub gateway: usize,
    /// The version of the settings.
    pub version: u64,
    /// Bytes of the settings file.
    pub bytes: u64,
}

/// The end of a function's fetch at a worker.
#[derive(Debug)]
pub struct FetchEnd {
    /// The fetching worker.
    pub worker: usize,
    /// The worker process that began the fetch; a later one ignores it.
    pub life: u32,
    /// The fetched function.
    pub function: String,
}

/// Something that happens at a point of simulated time.
#[derive(Debug)]
pub enum Event {
    /// A client makes a call.
    CallArrival,
    /// A gateway's engine is due to be woken.
    GatewayWake(usize),
    /// A message reaches a worker.
    AtWorker(WorkerDelivery),
    /// A message or a connection failure reaches a gateway.
    AtGateway(GatewayDelivery),
    /// A worker's model is due to be advanced.
    WorkerTimer(usize),
    /// A worker has fetched a function.
    FetchEnd(FetchEnd),
    /// A worker's entry on the list changes.
    ListChange,
    /// The settings change.
    SettingsChange,
    /// The list or a part of it reaches a gateway.
    ListUpdate(ListUpdate),
    /// Changed settings reach a gateway.
    SettingsUpdate(SettingsUpdate),
}

/// An event in the queue; ordered by time, then by the order of insertion.
#[derive(Debug)]
struct ScheduledEvent {
    at: Micros,
    sequence: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Events by their time, and the simulated clock that they advance.
#[derive(Debug)]
pub struct EventQueue {
    heap: BinaryHeap<Reverse<ScheduledEvent>>,
    sequence: u64,
    now: Micros,
}

impl EventQueue {
    /// An empty queue at [`START_TIME`].
    pub fn new() -> Self {
        Self { heap: BinaryHeap::new(), sequence: 0, now: START_TIME }
    }

    /// The simulated time, in microseconds since 1970.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Schedules an event; those of one time happen in the order in which they were scheduled.
    pub fn push(&mut self, at: Micros, event: Event) {
        self.sequence += 1;
        self.heap.push(Reverse(ScheduledEvent { at, sequence: self.sequence, event }));
    }

    /// Takes the next event and advances the clock to it.
    pub fn pop(&mut self) -> Option<Event> {
        let Reverse(next) = self.heap.pop()?;
        self.now = self.now.max(next.at);
        Some(next.event)
    }
}
