//! Versions of functions: which call runs which, and how a new one takes over from an old one, step by step.
//!
//! Free of I/O and clock; what is to be written, sent or loaded is told to the caller.
//!
//! - [`choose`](Versions::choose): each call is given one version when it arrives, by a keyed hash of what it sticks
//!   to; all gateways agree without talk, and a wider share only moves callers from the old version to the new.
//! - [`Record`]: an order and all that it means, under an epoch. Of two records the one with the greater [`Mark`]
//!   holds, at every gateway, in whatever order they come.
//! - [`Versions`]: what one gateway knows. A record is weighed, written by the caller, and only then acted on.
//! - [`Judge`]: compares the versions' answers as they come, with a stated rate of false alarms.
//! - [`Conductor`]: the operator's side: sums what the gateways report, widens, promotes or rolls back.
//!
//! `docs/VERSIONS.md` weighs the ways that were not taken.

mod choice;
mod compare;
mod conductor;
mod evidence;
mod plan;
mod record;
mod rollout;
mod wire;

/// Spans and instants in microseconds.
pub type Micros = u64;

pub use choice::{Callers, Share, Stick, point};
pub use compare::{Compare, Differing};
pub use conductor::{Act, Conductor, Heard};
pub use evidence::{ALTERNATIVES, Comparison, Judge, Worse, promised_calls};
pub use plan::{Guard, MOST_STEPS, Plan, Side, Step};
pub use record::{Kind, Mark, Record, Stage};
pub use rollout::{Chosen, Expected, Hold, LOOK_EVERY, Versions, Weight};
pub use wire::{End, Question, Reply, Status, Tally};
