//! Admission control: limits on open calls, bytes and function names. Each has a reason for clients and
//! counters.

use std::sync::Arc;

use crate::functions::FunctionTable;

/// Limits on what the gateway keeps for its clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Calls without a final answer.
    pub open_calls: usize,
    /// Bytes of the bodies of open calls.
    pub open_bytes: usize,
    /// Calls and awaits without an answer on one client connection.
    pub per_connection: usize,
    /// Different function names that the dispatcher remembers.
    pub functions: usize,
}

impl Default for AdmissionLimits {
    fn default() -> Self {
        Self { open_calls: 20_000, open_bytes: 256 << 20, per_connection: 1_000, functions: 100_000 }
    }
}

/// The last part, one in so many, of all open calls is for connections that have less than an equal share of all.
const SHARED_PART: usize = 4;

/// The connection of a call.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    pub connection: u64,
    /// Calls and awaits without an answer on it.
    pub pending: usize,
    /// Connections with calls or awaits without an answer.
    pub connections: usize,
}

/// The limits and their present use.
#[derive(Debug)]
pub struct Admission {
    pub limits: AdmissionLimits,
    pub calls: usize,
    pub bytes: usize,
    functions: FunctionTable,
}

impl Admission {
    pub fn new(limits: AdmissionLimits) -> Self {
        Self { limits, calls: 0, bytes: 0, functions: FunctionTable::default() }
    }

    /// Admits a call, or returns the reason for its rejection.
    pub fn admit(&mut self, function: &str, bytes: usize, caller: Caller) -> Result<(), &'static str> {
        let Caller { connection, pending, .. } = caller;
        if pending >= self.limits.per_connection {
            return Err("connection-full");
        }
        if self.calls >= self.limits.open_calls
            || self.calls >= self.unshared_calls() && !self.is_within_share(caller)
        {
            return Err("gateway-full");
        }
        if self.bytes + bytes > self.limits.open_bytes {
            return Err("gateway-bytes");
        }
        if !self.functions.begin_call(function, connection, self.limits.functions) {
            return Err("too-many-functions");
        }
        self.calls += 1;
        self.bytes += bytes;
        Ok(())
    }

    /// Open calls up to which every connection is admitted.
    fn unshared_calls(&self) -> usize {
        self.limits.open_calls - self.limits.open_calls / SHARED_PART
    }

    /// Whether a connection has less than its equal share of all open calls; one without an open call has.
    fn is_within_share(&self, caller: Caller) -> bool {
        let connections = caller.connections + usize::from(caller.pending == 0);
        caller.pending < (self.limits.open_calls / connections.max(1)).max(1)
    }

    /// The functions that the dispatcher may forget now, since names are short of places.
    pub fn functions_to_forget(&mut self) -> Vec<Arc<str>> {
        self.functions.offer(self.limits.functions)
    }

    /// The dispatcher no longer remembers this function.
    pub fn forget_function(&mut self, function: &str) {
        self.functions.forget(function);
    }

    /// A call ended; `served`: with its function's answer.
    pub fn release(&mut self, function: &str, bytes: usize, served: bool) {
        self.functions.end_call(function, served);
        debug_assert!(self.calls > 0 && self.bytes >= bytes, "released more than was admitted");
        self.calls -= 1;
        self.bytes -= bytes;
    }
}

#[cfg(test)]
mod tests;
