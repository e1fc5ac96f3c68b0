//! How attempts and orders ended on their connections, and the only mapping from there to the dispatcher's
//! outcomes.

use cresswheel::Outcome;
use cresswheel_protocol::Ending;

/// How an attempt ended, as seen on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No connection to the worker was established in time.
    NotConnected,
    /// An established connection broke before a byte of the attempt was passed to the kernel: the worker is
    /// reachable.
    NotWritten,
    /// It was canceled before a byte of it was passed to the kernel, for a reason unrelated to the worker.
    TakenBack,
    /// The connection broke after the first byte was passed to the kernel.
    Broken,
    /// This side closed the connection after the first byte was passed to the kernel, for a reason unrelated
    /// to the worker.
    CutOff,
    /// The worker answered; the number is how many calls of the same function it had when this one arrived.
    Answered(Ending, u32),
    /// The worker answered, but reported that it ran something else than the requested version. The number is
    /// that of [`Self::Answered`].
    Wrong(u32),
    /// The worker answered, but its answer is too long to be passed on. It ran, and another try would not help.
    AnswerTooLong,
    /// No answer arrived before the timeout.
    Silent,
    /// The dispatcher canceled it.
    CalledOff,
    /// The call was over before the attempt was started.
    NotSent,
}

impl AttemptEnd {
    /// The dispatcher's outcome. Only this mapping decides whether an attempt provably never ran
    /// (`ConnectFailed`, `NotSent`, `Full`, `Miss`; see [`Outcome::never_ran`]) or may have run (all others).
    ///
    /// Answers of workers are trusted: 'full', 'miss' and 'load-failed' guarantee that the function was not
    /// started. 'cancelled' does not: the worker may have started it before the cancellation arrived.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::NotConnected => Outcome::ConnectFailed,
            // No sign of a failing worker: its next connection may work.
            Self::NotWritten | Self::TakenBack | Self::NotSent => Outcome::NotSent,
            Self::Answered(Ending::Full, _) => Outcome::Full,
            Self::Answered(Ending::Miss | Ending::LoadFailed, _) => Outcome::Miss,
            // The worker did what it was asked to do.
            Self::Answered(Ending::Ok, _) | Self::AnswerTooLong => Outcome::Ok,
            Self::Answered(Ending::Error, _) | Self::Wrong(_) => Outcome::Error,
            Self::Answered(Ending::Cancelled, _) | Self::CalledOff | Self::CutOff => Outcome::Cancelled,
            Self::Broken => Outcome::Reset,
            Self::Silent => Outcome::Timeout,
        }
    }

    /// The name used in answers, counters and logs.
    pub fn word(self) -> &'static str {
        match self {
            Self::NotConnected => "not-connected",
            Self::NotWritten => "not-written",
            Self::TakenBack => "taken-back",
            Self::Broken => "broken",
            Self::CutOff => "cut-off",
            Self::Answered(ending, _) => ending.as_str(),
            Self::Wrong(_) => "wrong-version",
            Self::AnswerTooLong => "answer-too-long",
            Self::Silent => "timeout",
            Self::CalledOff => "called-off",
            Self::NotSent => "not-sent",
        }
    }
}

/// How an order ended, as seen on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderEnd {
    /// No connection to the worker was established in time.
    NotConnected,
    /// No connection to the worker had room for it, or it was withdrawn before a byte of it was passed to the
    /// kernel. No sign of a failing worker, and the order is not in effect.
    NotSent,
    /// The connection broke.
    Broken,
    /// The connection was closed before the worker answered, which is no sign of a failing worker. The order
    /// stays in effect, only its answer is lost.
    CutOff,
    /// The worker answered.
    Answered(Ending),
    /// No answer arrived before the timeout.
    Silent,
}

impl OrderEnd {
    /// The dispatcher's outcome.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::NotConnected => Outcome::ConnectFailed,
            Self::NotSent => Outcome::NotSent,
            Self::Broken => Outcome::Reset,
            // Not a failure: a worker may close a connection without a request in flight.
            Self::CutOff => Outcome::Cancelled,
            Self::Silent => Outcome::Timeout,
            Self::Answered(Ending::Ok) => Outcome::Ok,
            Self::Answered(Ending::Full | Ending::Miss) => Outcome::Full,
            Self::Answered(Ending::Error | Ending::LoadFailed | Ending::Cancelled) => Outcome::Error,
        }
    }
}
