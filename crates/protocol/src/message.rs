//! The messages of the main protocol. `docs/PROTOCOL.md` describes who sends each of them, and when.

use crate::Micros;
use crate::error::FrameError;
use crate::field::{Field, Reader};
use crate::values::{Ending, FunctionProfile, ListedWorker, Origin, Role, Status};

macro_rules! wire_messages {
    ($($(#[$doc:meta])* $code:literal $name:ident { $($(#[$fdoc:meta])* $field:ident: $type:ty,)* })*) => {
        /// A message; each frame holds one.
        #[derive(Clone, Debug, PartialEq, Eq)]
        pub enum Message {
            $($(#[$doc])* $name { $($(#[$fdoc])* $field: $type,)* },)*
        }
        impl Message {
            /// The code of the message's kind in the frame's header.
            pub fn code(&self) -> u8 {
                match self { $(Self::$name { .. } => $code),* }
            }
            /// The name of the message's kind.
            pub fn kind(&self) -> &'static str {
                match self { $(Self::$name { .. } => stringify!($name)),* }
            }
            pub(crate) fn encode(&self, out: &mut Vec<u8>) {
                match self { $(Self::$name { $($field),* } => { $($field.encode(out);)* }),* }
            }
            /// Decodes a payload; `None` if the kind is unknown. Bytes after the last known field are
            /// ignored.
            pub(crate) fn decode(code: u8, reader: &mut Reader) -> Result<Option<Self>, FrameError> {
                Ok(Some(match code {
                    $($code => Self::$name {
                        $($field: { reader.field = stringify!($field); Field::decode(reader)? }),*
                    },)*
                    _ => return Ok(None),
                }))
            }
        }
    };
}

wire_messages! {
    /// The first message on a connection, from the side that connected.
    1 Hello {
        /// The sender's role.
        role: Role,
        /// Its name, for logs and records.
        name: String,
        /// Its zone; empty if it has none.
        zone: String,
    }
    /// The receiver violated the protocol; the sender closes the connection after this message.
    2 Bye {
        /// Description of the violation.
        reason: String,
    }
    /// The sender will close the connection soon and accepts nothing new.
    3 GoingAway {
        /// The reason, as a short name.
        reason: String,
    }
    /// Liveness probe.
    4 Probe {
        /// Returned in the answer.
        number: u64,
    }
    /// The answer to a probe.
    5 Probed {
        /// From the probe.
        number: u64,
        /// Calls on the worker that have not ended.
        held: u32,
        /// How many of them wait to be run.
        queued: u32,
    }
    /// Client to gateway: run a function.
    10 Call {
        /// Chosen by the client; unique on its connection.
        number: u64,
        /// The answer is fetched later with `Await`.
        deferred: bool,
        /// The function.
        function: String,
        /// Its class.
        class: String,
        /// The tenant; empty: none.
        tenant: String,
        /// The idempotency key; empty: none.
        key: String,
        /// Trace id of the call at gateway and worker; empty: the gateway generates one.
        trace: String,
        /// The client's timeout; 0: that of the class.
        time_left: Micros,
        /// Known properties of the function.
        shape: FunctionProfile,
        /// The arguments.
        body: Vec<u8>,
        /// The account of the call; plans with session affinity by account use it.
        account: Option<String>,
    }
    /// Gateway to client: a deferred call was accepted.
    11 Accepted {
        /// From the call.
        number: u64,
        /// The call's id from now on.
        id: String,
    }
    /// Gateway to client: the final answer to a call, or the answer to an await.
    12 Answer {
        /// From the call or the await.
        number: u64,
        /// How it ended.
        status: Status,
        /// The reason, as a short name; empty if served.
        reason: String,
        /// How long the client should wait before it retries a refused call; 0: no advice.
        retry_after: Micros,
        /// The function's answer.
        body: Vec<u8>,
        /// The version that ran. If none is known to have run: the version chosen for the call, without a
        /// digest.
        origin: Option<Origin>,
    }
    /// Client to gateway: get the result of a deferred call, once it is available.
    13 Await {
        /// Chosen by the client; unique on its connection.
        number: u64,
        /// The call's id.
        id: String,
        /// Maximum wait; 0: answer at once.
        wait: Micros,
    }
    /// Client to gateway: cancel a call or an await, which then gets no answer.
    14 Cancel {
        /// From the call or the await.
        number: u64,
    }
    /// Gateway to worker: run a call.
    20 Run {
        /// Identifies the attempt on this connection.
        attempt: u64,
        /// The call's trace, the same in all its attempts.
        trace: String,
        /// Number of earlier attempts of the call.
        before: u32,
        /// The function.
        function: String,
        /// Its class.
        class: String,
        /// The idempotency key; empty: none.
        key: String,
        /// Time until the client's deadline.
        time_left: Micros,
        /// Known properties of the function.
        shape: FunctionProfile,
        /// The arguments.
        body: Vec<u8>,
    }
    /// Worker to gateway: how an attempt ended.
    21 Ran {
        /// From `Run`.
        attempt: u64,
        /// How it ended.
        ending: Ending,
        /// Calls of the same function in flight when this one arrived.
        crowd: u32,
        /// The function's answer.
        body: Vec<u8>,
        /// The version that ran.
        origin: Option<Origin>,
    }
    /// Gateway to worker: cancel this attempt.
    22 CancelRun {
        /// From `Run`.
        attempt: u64,
    }
    /// Worker to gateway: the attempt ended, but its answer is too long for a frame. A decoder also returns this
    /// in place of a `Ran` whose frame exceeds its limit.
    26 RanTooLong {
        /// From `Run`.
        attempt: u64,
    }
    /// Gateway to worker: keep at least this many instances loaded; with 0, only report how many are loaded.
    23 Hold {
        /// Identifies the order on this connection.
        order: u64,
        /// The function.
        function: String,
        /// Number of instances, 16 at most.
        count: u32,
        /// Known properties of the function.
        shape: FunctionProfile,
    }
    /// Worker to gateway: how an order ended.
    24 Held {
        /// From `Hold`.
        order: u64,
        /// How it ended.
        ending: Ending,
        /// Number of loaded instances.
        standing: u32,
    }
    /// Gateway to worker: unload the function's idle instances.
    25 Drop {
        /// The function.
        function: String,
    }
    /// Gateway to list service: send the whole list, then its changes.
    30 Follow {}
    /// List service to gateway: the list or a change of it.
    31 List {
        /// Whether `workers` holds all workers; otherwise those that changed.
        whole: bool,
        /// Increases with each change.
        version: u64,
        /// The workers.
        workers: Vec<ListedWorker>,
    }
    /// Worker to list service: add or update this worker.
    32 Register {
        /// The entry.
        workers: Vec<ListedWorker>,
    }
    /// To a simulated peer: inject this fault. Gateways reject it.
    40 Control {
        /// The fault, as text; see `docs/REHEARSAL.md`.
        words: String,
    }
    /// From a simulated peer: the fault is active, or why not.
    41 Controlled {
        /// The error; empty if there is none.
        wrong: String,
    }
    /// Worker to model store: send the image of a function.
    42 Fetch {
        /// Identifies the fetch on this connection.
        number: u64,
        /// The function.
        function: String,
        /// How long a fetch takes without contention, in microseconds.
        time: Micros,
    }
    /// Model store to worker: the image has arrived, or is unavailable now.
    43 Fetched {
        /// From `Fetch`.
        number: u64,
        /// Whether the image has arrived.
        there: bool,
    }
    /// Between a gateway and an acceptor process: the client connection that the next message belongs to.
    50 Of {
        /// The acceptor's number of the connection.
        connection: u64,
        /// The earliest time at which the message can have arrived, on the gateway's clock; 0 towards the
        /// acceptor.
        came: Micros,
    }
    /// Acceptor to gateway: a client requests a page.
    51 Page {
        /// Identifies the request on its connection.
        number: u64,
        /// The path of the page.
        path: String,
    }
    /// Gateway to acceptor: the page.
    52 Paged {
        /// From `Page`.
        number: u64,
        /// The status code.
        status: u32,
        /// The page's text.
        body: Vec<u8>,
    }
    /// Gateway to acceptor: the limits and settings for its connections.
    53 Terms {
        /// As JSON; both processes run the same build.
        json: Vec<u8>,
    }
    /// Acceptor to gateway: its counters.
    54 Counts {
        /// As JSON.
        json: Vec<u8>,
    }
    /// Gateway to acceptor: accept no more connections, and ask all clients to disconnect.
    55 Leave {}
    /// Operator's tool to gateway: an order or a query on a function's versions.
    60 Versions {
        /// Chosen by the sender; unique on its connection.
        number: u64,
        /// The gateway's order key; requests without it are rejected.
        key: String,
        /// As JSON; `docs/VERSIONS.md` describes the formats.
        json: Vec<u8>,
    }
    /// Gateway to operator's tool: the answer.
    61 Versioned {
        /// From `Versions`.
        number: u64,
        /// As JSON.
        json: Vec<u8>,
    }
}
