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

    /// Admits a call of a connection, or returns the reason for its rejection. `pending`: calls and awaits
    /// without an answer on its connection.
    pub fn admit(
        &mut self,
        function: &str,
        bytes: usize,
        connection: u64,
        pending: usize,
    ) -> Result<(), &'static str> {
        if pending >= self.limits.per_connection {
            return Err("connection-full");
        }
        if self.calls >= self.limits.open_calls {
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
