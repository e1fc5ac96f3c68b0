//! What sockets saw of an attempt or an order, and the one table from there to the module's outcomes.

use cresswheel::Outcome;
use cresswheel_protocol::Ending;

/// How an attempt ended, as the sockets saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No connection to the worker was to be had in time.
    NotConnected,
    /// There was one, but it broke before a byte of the attempt was handed to the kernel: the worker is there.
    NotWritten,
    /// It was taken back, for a reason that is not the worker's, before a byte of it was handed to the kernel.
    TakenBack,
    /// The connection broke after the first byte was handed over.
    Broken,
    /// This side closed the connection after the first byte was handed over, for a reason that is not the worker's.
    CutOff,
    /// The worker answered; calls of the same function that it held when this one came.
    Answered(Ending, u32),
    /// The worker answered, but by its own word it ran something else than it was asked for.
    Wrong(u32),
    /// Nothing was heard in time.
    Silent,
    /// The module called it off.
    CalledOff,
    /// The call was over before the attempt began.
    NotSent,
}

impl AttemptEnd {
    /// The module's outcome. This is the one place that says whether an attempt provably never ran
    /// (`ConnectFailed`, `Moot`, `Full`, `Miss`; see [`Outcome::never_ran`]) or may have run (all else).
    ///
    /// A worker's word is trusted: 'full', 'miss' and 'load-failed' are promises that the function did not
    /// start. 'cancelled' is none: the worker may have begun before it was told.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::NotConnected => Outcome::ConnectFailed,
            // Says nothing against the worker: its next connection may be as good as any.
            Self::NotWritten | Self::TakenBack | Self::NotSent => Outcome::Moot,
            Self::Answered(Ending::Full, _) => Outcome::Full,
            Self::Answered(Ending::Miss | Ending::LoadFailed, _) => Outcome::Miss,
            Self::Answered(Ending::Ok, _) => Outcome::Ok,
            Self::Answered(Ending::Error, _) | Self::Wrong(_) => Outcome::Error,
            Self::Answered(Ending::Cancelled, _) | Self::CalledOff | Self::CutOff => Outcome::Cancelled,
            Self::Broken => Outcome::Reset,
            Self::Silent => Outcome::Timeout,
        }
    }

    /// In a word, for answers, counters and logs.
    pub fn word(self) -> &'static str {
        match self {
            Self::NotConnected => "not-connected",
            Self::NotWritten => "not-written",
            Self::TakenBack => "taken-back",
            Self::Broken => "broken",
            Self::CutOff => "cut-off",
            Self::Answered(ending, _) => ending.word(),
            Self::Wrong(_) => "wrong-version",
            Self::Silent => "timeout",
            Self::CalledOff => "called-off",
            Self::NotSent => "not-sent",
        }
    }
}

/// How an order ended, as the sockets saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderEnd {
    /// No connection to the worker was to be had in time.
    NotConnected,
    /// The connection broke.
    Broken,
    /// The connection ended before the worker answered, which tells nothing of the worker: the order stands, its
    /// answer is lost.
    CutOff,
    /// The worker answered.
    Answered(Ending),
    /// Nothing was heard in time.
    Silent,
}

impl OrderEnd {
    /// The module's outcome.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::NotConnected => Outcome::ConnectFailed,
            Self::Broken => Outcome::Reset,
            // Not the worker's failure: it did as it may with a connection that carries no request.
            Self::CutOff => Outcome::Cancelled,
            Self::Silent => Outcome::Timeout,
            Self::Answered(Ending::Ok) => Outcome::Ok,
            Self::Answered(Ending::Full | Ending::Miss) => Outcome::Full,
            Self::Answered(Ending::Error | Ending::LoadFailed | Ending::Cancelled) => Outcome::Error,
        }
    }
}
