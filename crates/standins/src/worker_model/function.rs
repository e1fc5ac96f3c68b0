//! One function at a worker.

use std::collections::VecDeque;

use cresswheel_protocol::Shape;

use super::Job;

/// Default time of a load, in microseconds.
const USUAL_LOAD: u64 = 500_000;

/// A call that was accepted.
#[derive(Debug)]
pub struct AcceptedJob {
    pub job: Job,
    /// Calls of its function that were in flight when it came.
    pub in_flight: u32,
}

/// An order that waits for its instances.
#[derive(Debug)]
pub struct Order {
    pub number: u64,
    /// Instances wanted.
    pub count: u32,
}

/// A function's instances, calls and orders at the worker.
#[derive(Debug, Default)]
pub struct Function {
    pub shape: Option<Shape>,
    /// Instances that are loaded.
    pub loaded: u32,
    /// Fetches and starts under way.
    pub loading: u32,
    pub running: u32,
    /// When a call or an order was here last.
    pub idle_since: u64,
    pub waiting: VecDeque<AcceptedJob>,
    pub orders: Vec<Order>,
}

impl Function {
    /// Calls that one instance runs at a time.
    pub fn lanes(&self) -> u32 {
        self.shape.as_ref().map_or(1, |s| s.lanes.max(1))
    }

    /// Memory of one instance, in MB.
    pub fn memory(&self) -> u32 {
        self.shape.as_ref().map_or(0, |s| s.memory_mb)
    }

    /// Instances that run calls.
    pub fn busy_instances(&self) -> u32 {
        self.running.div_ceil(self.lanes())
    }

    /// Calls that run or wait.
    pub fn in_flight(&self) -> u32 {
        self.running + self.waiting.len() as u32
    }

    /// Usual time of a load, in microseconds.
    pub fn load_time(&self) -> u64 {
        let told = self.shape.as_ref().map_or(0, |shape| shape.load_time);
        if told > 0 { told } else { USUAL_LOAD }
    }

    /// Whether an instance could be unloaded.
    pub fn has_idle(&self) -> bool {
        self.loaded > self.busy_instances()
    }

    /// Unloads all idle instances.
    pub fn unload_idle(&mut self) {
        self.loaded = self.loaded.min(self.busy_instances());
    }
}
