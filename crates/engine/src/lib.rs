//! The state machine of a gateway, without sockets and clock.
//!
//! [`Engine::handle`] takes an event ([`Input`]) with the time and appends actions for the driver
//! ([`Output`]). The dispatcher (`cresswheel::Dispatcher`, also called the decision module) alone decides
//! which worker gets an attempt, and what is loaded, retried or refused. The engine keeps everything else:
//! the clients waiting for answers, bodies, timeouts of attempts and orders, results of deferred calls,
//! idempotency keys, and the limits on all of these.
//!
//! Invariants:
//! - an accepted call gets one final answer, and so does each of its waiters;
//! - each `Action::Send` of the dispatcher gets one `Event::Ended`, each `Hold` one `Event::Held`;
//! - only [`AttemptEnd::outcome`] decides whether an attempt provably never ran;
//! - only `departure` decides whether an attempt or order may still be sent;
//! - only [`ListValidator`] decides which responses of the list service are accepted;
//! - the same inputs give the same outputs.

mod admission;
mod counters;
mod departure;
mod ending;
mod engine;
mod functions;
mod interface;
mod keys;
mod list_evidence;
mod results;

pub use admission::AdmissionLimits;
pub use counters::Counters;
pub use departure::{DenyReason, ListAge, ListValidity, MissingEvidence, SendDecision};
pub use ending::{AttemptEnd, OrderEnd};
pub use engine::Engine;
pub use interface::*;
pub use list_evidence::{
    Contradictions, ListEvaluation, ListValidator, ListVersion, PollTimes, REQUIRED_CONFIRMATIONS,
};
pub use results::ResultLimits;
