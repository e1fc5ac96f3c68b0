//! What is taken at all: bounds on open calls, bytes and names, each with a reason that clients and counters see.

use foldhash::{HashSet, HashSetExt};

/// Bounds on what the gateway holds for its clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Calls without their final answer.
    pub open_calls: usize,
    /// Bytes of the bodies of those.
    pub open_bytes: usize,
    /// Calls and awaits of one connection without their answer.
    pub per_connection: usize,
    /// Different function names that the module remembers.
    pub functions: usize,
}

impl Default for AdmissionLimits {
    fn default() -> Self {
        Self { open_calls: 20_000, open_bytes: 256 << 20, per_connection: 1_000, functions: 100_000 }
    }
}

#[derive(Debug)]
pub struct Admission {
    pub limits: AdmissionLimits,
    pub calls: usize,
    pub bytes: usize,
    functions: HashSet<String>,
}

impl Admission {
    pub fn new(limits: AdmissionLimits) -> Self {
        Self { limits, calls: 0, bytes: 0, functions: HashSet::new() }
    }

    /// Takes a call in, or says why not.
    pub fn take(&mut self, function: &str, bytes: usize, on_connection: usize) -> Result<(), &'static str> {
        if on_connection >= self.limits.per_connection {
            return Err("connection-full");
        }
        if self.calls >= self.limits.open_calls {
            return Err("gateway-full");
        }
        if self.bytes + bytes > self.limits.open_bytes {
            return Err("gateway-bytes");
        }
        if !self.functions.contains(function) {
            if self.functions.len() >= self.limits.functions {
                return Err("too-many-functions");
            }
            self.functions.insert(function.into());
        }
        self.calls += 1;
        self.bytes += bytes;
        Ok(())
    }

    /// The module remembers this function no more.
    pub fn forget(&mut self, function: &str) {
        self.functions.remove(function);
    }

    pub fn release(&mut self, bytes: usize) {
        debug_assert!(self.calls > 0 && self.bytes >= bytes, "released more than was taken");
        self.calls -= 1;
        self.bytes -= bytes;
    }
}
