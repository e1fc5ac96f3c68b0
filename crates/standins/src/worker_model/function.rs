//! A function at a worker: its instances, calls and orders.

use std::collections::VecDeque;

use cresswheel_protocol::FunctionProfile;

use super::Job;

/// Load time of a function without a known one.
const DEFAULT_LOAD_US: u64 = 500_000;

/// An accepted call that has not ended.
#[derive(Debug)]
pub struct AcceptedJob {
    pub job: Job,
    /// Calls of its function that were in flight when it arrived.
    pub in_flight: u32,
}

/// A prewarm order that waits for instances to load.
#[derive(Debug)]
pub struct Order {
    pub number: u64,
    /// Instances wanted.
    pub count: u32,
}

/// A function's instances, calls and orders at the worker.
#[derive(Debug, Default)]
pub struct Function {
    pub shape: Option<FunctionProfile>,
    /// Loaded instances.
    pub loaded: u32,
    /// Instances that are being fetched or started.
    pub loading: u32,
    pub running: u32,
    /// When the last call ended, the last order arrived or the last load ended.
    pub idle_since: u64,
    pub waiting: VecDeque<AcceptedJob>,
    pub orders: Vec<Order>,
}

impl Function {
    /// Calls that one instance runs concurrently.
    pub fn concurrency(&self) -> u32 {
        self.shape.as_ref().map_or(1, |s| s.lanes.max(1))
    }

    /// Memory of one instance, in MB.
    pub fn memory(&self) -> u32 {
        self.shape.as_ref().map_or(0, |s| s.memory_mb)
    }

    /// Instances needed for the running calls.
    pub fn busy_instances(&self) -> u32 {
        self.running.div_ceil(self.concurrency())
    }

    /// Calls that run or wait.
    pub fn in_flight(&self) -> u32 {
        self.running + self.waiting.len() as u32
    }

    /// Expected load time, in microseconds.
    pub fn load_time(&self) -> u64 {
        let known = self.shape.as_ref().map_or(0, |shape| shape.load_time);
        if known > 0 { known } else { DEFAULT_LOAD_US }
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
