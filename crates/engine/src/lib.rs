//! The gateway without sockets and clock: calls, attempts, deferred results, admission.
