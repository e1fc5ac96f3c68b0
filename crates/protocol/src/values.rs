//! The enums and structs that messages are made of.

use crate::Micros;
use crate::error::FrameError;
use crate::field::{Field, Reader, decode_list, encode_list};
use crate::macros::{wire_enum, wire_struct};

wire_enum!(
    /// What the peer that opens a connection is.
    Role {
        /// A client of a gateway.
        Client = 1 => "client",
        /// A gateway, towards a worker or the worker list.
        Gateway = 2 => "gateway",
        /// A worker, towards the worker list.
        Worker = 3 => "worker",
    }
);
wire_enum!(
    /// How a call ended for its client.
    Status {
        /// It ran; the body is the function's answer.
        Served = 0 => "served",
        /// It did not take effect and may be tried again without harm.
        Refused = 1 => "refused",
        /// It failed; whether it took effect is not promised.
        Failed = 2 => "failed",
        /// Still in progress (answer to an await).
        Pending = 3 => "pending",
        /// No such call is known here (answer to an await).
        Unknown = 4 => "unknown",
        /// The call is over, but its result is no longer kept (answer to an await).
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
        /// Cancelled before it ran.
        Cancelled = 5 => "cancelled",
    }
);
wire_enum!(
    /// Whether a listed worker may be given work.
    Standing {
        /// Active.
        In = 0 => "in",
        /// Finishing the calls that it has; takes no new ones.
        Draining = 1 => "draining",
        /// Removed from service.
        Out = 2 => "out",
    }
);

wire_struct!(
    /// One worker on the list.
    Listed {
        /// Its name, kept when its process restarts.
        id: String,
        /// Where it listens, `host:port`.
        address: String,
        /// Its zone.
        zone: String,
        /// Its kind of machine.
        kind: String,
        /// Its cell: workers that share what keys they have seen.
        cell: u64,
        /// Whether it may be given work.
        standing: Standing,
        /// When its process last started, in microseconds since 1970; 0: long ago.
        started: Micros,
    }
);
wire_struct!(
    /// Facts about a function that travel with its calls; 0: unknown.
    Shape {
        /// Memory of one instance, in MB.
        memory_mb: u32,
        /// Calls that one instance runs at a time.
        lanes: u32,
        /// Usual time of a load, in microseconds.
        load_time: Micros,
        /// Usual work of a call on one core, in microseconds.
        work: Micros,
    }
);

wire_struct!(
    /// Which version of a function ran, as the worker reports it.
    Origin {
        /// The function, as it was asked of the worker: with its version, if it has one.
        function: String,
        /// A digest of its bytes, such as `sha256:...`; empty: unknown.
        digest: String,
    }
);

impl Field for Vec<Listed> {
    fn encode(&self, out: &mut Vec<u8>) {
        encode_list(self, out);
    }
    fn decode(reader: &mut Reader) -> Result<Self, FrameError> {
        decode_list(reader)
    }
}
