//! Versions of functions: which call runs which version, and the stepwise rollout of a new version.
//!
//! The crate does no I/O and reads no clock; it tells the caller what to write, send or load.
//!
//! - [`choose`](Versions::choose): assigns each call a version when it arrives, by a keyed hash of its
//!   affinity key. All gateways choose alike without communication, and a greater share only moves callers
//!   from the old version to the new one.
//! - [`Record`]: an order and the complete state that results from it, under an epoch. Of two records the one
//!   with the greater [`Precedence`] holds at every gateway, in whatever order they arrive.
//! - [`Versions`]: the state of one gateway. It compares a record with its own, the caller writes it to disk,
//!   and only then the gateway acts on it.
//! - [`RegressionTest`]: compares the versions' answers as they arrive, with a bounded rate of false alarms.
//! - [`RolloutController`]: the operator's side, a rollout controller: sums up the gateways' reports, and widens,
//!   promotes or rolls back.
//!
//! `docs/VERSIONS.md` discusses the alternatives.

mod choice;
mod compare;
mod conductor;
mod evidence;
mod plan;
mod record;
mod rollout;
mod wire;

/// Durations and points in time in microseconds.
pub type Micros = u64;

pub use choice::{Affinity, CallerIdentity, Share, point};
pub use compare::{Compare, DifferenceTest};
pub use conductor::{Action, GatewayReport, RolloutController};
pub use evidence::{ALTERNATIVE_ODDS, OddsTest, Regression, RegressionTest, expected_calls_to_detection};
pub use plan::{Guard, MAX_STEPS, Plan, Side, Step};
pub use record::{OrderKind, Precedence, Record, Stage};
pub use rollout::{JUDGE_INTERVAL, PrewarmTarget, RecordOrder, ShareOverride, VersionChoice, Versions};
pub use wire::{End, Status, Tally, VersionReply, VersionRequest};
