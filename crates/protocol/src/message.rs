//! The messages of the main protocol. `docs/PROTOCOL.md` tells who sends which, and when.

use crate::Micros;
use crate::error::FrameError;
use crate::field::{Field, Reader};
use crate::values::{Ending, Listed, Origin, Role, Shape, Status};

macro_rules! wire_messages {
    ($($(#[$doc:meta])* $code:literal $name:ident { $($(#[$fdoc:meta])* $field:ident: $type:ty,)* })*) => {
        /// A message, one to a frame.
        #[derive(Clone, Debug, PartialEq, Eq)]
        pub enum Message {
            $($(#[$doc])* $name { $($(#[$fdoc])* $field: $type,)* },)*
        }
        impl Message {
            /// The code of its kind in the frame's header.
            pub fn code(&self) -> u8 {
                match self { $(Self::$name { .. } => $code),* }
            }
            /// The name of its kind.
            pub fn kind(&self) -> &'static str {
                match self { $(Self::$name { .. } => stringify!($name)),* }
            }
            pub(crate) fn encode(&self, out: &mut Vec<u8>) {
                match self { $(Self::$name { $($field),* } => { $($field.encode(out);)* }),* }
            }
            /// `None`: a kind that this version does not know. Bytes after the last field are passed over.
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
    /// Opens a connection, from the side that connected.
    1 Hello {
        /// What the sender is.
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
        /// Why, in a word.
        reason: String,
    }
    /// Liveness probe.
    4 Probe {
        /// Given back in the answer.
        number: u64,
    }
    /// The answer to a probe.
    5 Probed {
        /// From the probe.
        number: u64,
        /// Calls held.
        held: u32,
        /// Calls among them that wait.
        queued: u32,
    }
    /// Client to gateway: run a function.
    10 Call {
        /// Chosen by the client, used once on its connection.
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
        /// Follows the call over gateway and worker; empty: the gateway makes one.
        trace: String,
        /// Time until the client gives up; 0: the class's own.
        time_left: Micros,
        /// What is known of the function.
        shape: Shape,
        /// The arguments.
        body: Vec<u8>,
        /// The account that the call is about, where versions stick to accounts.
        account: Option<String>,
    }
    /// Gateway to client: a deferred call was taken.
    11 Accepted {
        /// From the call.
        number: u64,
        /// Names the call from now on.
        id: String,
    }
    /// Gateway to client: the final answer to a call, or the answer to an await.
    12 Answer {
        /// From the call or the await.
        number: u64,
        /// How it ended.
        status: Status,
        /// Why, in a word; empty when served.
        reason: String,
        /// How long a refused client should stay away; 0: no advice.
        retry_after: Micros,
        /// The function's answer.
        body: Vec<u8>,
        /// What ran; where nothing is known to have run, what the call was given, without a digest.
        origin: Option<Origin>,
    }
    /// Client to gateway: the result of a deferred call, once it is there.
    13 Await {
        /// Chosen by the client, used once on its connection.
        number: u64,
        /// The call.
        id: String,
        /// Longest wait; 0: answer at once.
        wait: Micros,
    }
    /// Client to gateway: cancel a call or an await, which then gets no answer.
    14 Cancel {
        /// From the call or the await.
        number: u64,
    }
    /// Gateway to worker: run a call.
    20 Run {
        /// Names the attempt on this connection.
        attempt: u64,
        /// The call's trace, the same in all its attempts.
        trace: String,
        /// Attempts of the call before this one.
        before: u32,
        /// The function.
        function: String,
        /// Its class.
        class: String,
        /// The idempotency key; empty: none.
        key: String,
        /// Time until the client's deadline.
        time_left: Micros,
        /// What is known of the function.
        shape: Shape,
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
        /// What ran.
        origin: Option<Origin>,
    }
    /// Gateway to worker: cancel this attempt.
    22 CancelRun {
        /// From `Run`.
        attempt: u64,
    }
    /// Gateway to worker: hold at least so many instances; 0 only asks.
    23 Hold {
        /// Names the order on this connection.
        order: u64,
        /// The function.
        function: String,
        /// Instances wanted, 16 at most.
        count: u32,
        /// What is known of the function.
        shape: Shape,
    }
    /// Worker to gateway: how an order ended.
    24 Held {
        /// From `Hold`.
        order: u64,
        /// How it ended.
        ending: Ending,
        /// Instances that are loaded.
        standing: u32,
    }
    /// Gateway to worker: unload the function's idle instances.
    25 Drop {
        /// The function.
        function: String,
    }
    /// Gateway to worker list: the whole list, then its changes.
    30 Follow {}
    /// Worker list to gateway.
    31 List {
        /// All workers, or those that changed.
        whole: bool,
        /// Counts up with each change.
        version: u64,
        /// The workers.
        workers: Vec<Listed>,
    }
    /// Worker to worker list: put me on the list as this.
    32 Register {
        /// The entry.
        workers: Vec<Listed>,
    }
    /// To a stand-in: play this fault. Gateways refuse it.
    40 Control {
        /// In words; see `docs/REHEARSAL.md`.
        words: String,
    }
    /// From a stand-in: it does so now, or why not.
    41 Controlled {
        /// Empty, or what was wrong.
        wrong: String,
    }
    /// Worker to model store: send the image of a function.
    42 Fetch {
        /// Names the fetch on this connection.
        number: u64,
        /// The function.
        function: String,
        /// How long an uncrowded fetch takes, in microseconds.
        time: Micros,
    }
    /// Model store to worker: the image has arrived, or is unavailable now.
    43 Fetched {
        /// From `Fetch`.
        number: u64,
        /// It is there.
        there: bool,
    }
    /// Between a gateway and a holder of its connections: the next message is of this one.
    50 Of {
        /// The connection, by the holder's name for it.
        connection: u64,
        /// The earliest time at which it can have come, on the gateway's clock; 0 towards the holder.
        came: Micros,
    }
    /// Holder to gateway: a client asks for a page of the gateway.
    51 Page {
        /// Names the request on its connection.
        number: u64,
        /// Which.
        path: String,
    }
    /// Gateway to holder: the page.
    52 Paged {
        /// From `Page`.
        number: u64,
        /// The status code.
        status: u32,
        /// Its text.
        body: Vec<u8>,
    }
    /// Gateway to holder: hold connections on these terms.
    53 Terms {
        /// As JSON; both are one program of one build.
        json: Vec<u8>,
    }
    /// Holder to gateway: what it counted.
    54 Counts {
        /// As JSON.
        json: Vec<u8>,
    }
    /// Gateway to holder: take no more connections, and ask all to leave.
    55 Leave {}
    /// Operator's tool to gateway: an order on a function's versions, or a question about them.
    60 Versions {
        /// Chosen by the sender, used once on its connection.
        number: u64,
        /// The gateway's order key; it answers nobody who lacks it.
        key: String,
        /// As JSON; `docs/VERSIONS.md` has its forms.
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
