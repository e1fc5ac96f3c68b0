//! The enums and structs that messages contain.

use crate::Micros;
use crate::error::FrameError;
use crate::field::{Field, Reader, decode_list, encode_list};
use crate::macros::{wire_enum, wire_struct};

wire_enum!(
    /// The role of the peer that opens a connection.
    Role {
        /// A client of a gateway.
        Client = 1 => "client",
        /// A gateway, connecting to a worker or a list service.
        Gateway = 2 => "gateway",
        /// A worker, connecting to a list service.
        Worker = 3 => "worker",
    }
);
wire_enum!(
    /// How a call ended for its client.
    Status {
        /// It ran; the body is the function's answer.
        Served = 0 => "served",
        /// It had no effect and is safe to retry.
        Refused = 1 => "refused",
        /// It failed; it may or may not have taken effect.
        Failed = 2 => "failed",
        /// Still in progress (in answers to an await).
        Pending = 3 => "pending",
        /// The gateway knows no such call (in answers to an await).
        Unknown = 4 => "unknown",
        /// The call has ended, but its result is no longer kept (in answers to an await).
        Expired = 5 => "expired",
    }
);
wire_enum!(
    /// How a worker ended an attempt or an order.
    Ending {
        /// Done.
        Ok = 0 => "ok",
        /// The function failed; it may have run.
        Error = 1 => "error",
        /// Rejected without being run.
        Full = 2 => "full",
        /// The function is not loaded here.
        Miss = 3 => "miss",
        /// The load that the call waited for failed; the call never ran.
        LoadFailed = 4 => "load-failed",
        /// Canceled before it ran.
        Cancelled = 5 => "cancelled",
    }
);
wire_enum!(
    /// Whether calls may be dispatched to a listed worker.
    MemberState {
        /// Active.
        Active = 0 => "in",
        /// Finishing its calls; accepts no new ones.
        Draining = 1 => "draining",
        /// Removed from service.
        Removed = 2 => "out",
    }
);

wire_struct!(
    /// An entry of the worker list.
    ListedWorker {
        /// Its name, kept when its process restarts.
        id: String,
        /// Where it listens, `host:port`.
        address: String,
        /// Its zone.
        zone: String,
        /// Its machine type.
        kind: String,
        /// Its cell: the workers of a cell share the record of idempotency keys that they have seen.
        cell: u64,
        /// Whether calls may be dispatched to it.
        standing: MemberState,
        /// When its process last started, in microseconds since 1970; 0: long ago.
        started: Micros,
    }
);
wire_struct!(
    /// Properties of a function, sent with its calls; 0: unknown.
    FunctionProfile {
        /// Memory of one instance, in MB.
        memory_mb: u32,
        /// Concurrency of one instance.
        lanes: u32,
        /// Typical duration of a load, in microseconds.
        load_time: Micros,
        /// Typical CPU time of a call on one core, in microseconds.
        work: Micros,
    }
);

wire_struct!(
    /// The version of a function that ran, as reported by the worker.
    Origin {
        /// The function as named in the request to the worker: with its version, if it has one.
        function: String,
        /// A digest of the function's code, such as `sha256:...`; empty: unknown.
        digest: String,
    }
);

impl Field for Vec<ListedWorker> {
    fn encode(&self, out: &mut Vec<u8>) {
        encode_list(self, out);
    }
    fn decode(reader: &mut Reader) -> Result<Self, FrameError> {
        decode_list(reader)
    }
}
