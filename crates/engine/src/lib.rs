//! The gateway without sockets and clock.
//!
//! [`Engine::handle`] takes what happened ([`Input`]) with the time and appends what is to be done
//! ([`Output`]). Between the two stands the decision module (`cresswheel::Dispatcher`), which alone says which
//! worker gets an attempt, what is loaded, tried again or refused. The engine holds what the module does not
//! care for: who waits for which answer, bodies, time-outs of attempts and orders, results of deferred calls,
//! idempotency keys and the bounds on all of these.
//!
//! Invariants:
//! - a call that was taken gets one final answer, and each of its waiters one;
//! - each `Action::Send` of the module gets one `Event::Ended`, each `Hold` one `Event::Held`;
//! - whether an attempt provably never ran is said in [`AttemptEnd::outcome`] and nowhere else;
//! - whether what was decided may still leave is said in `departure` and nowhere else;
//! - which of the list service's answers are believed is said in [`ListEvidence`] and nowhere else;
//! - same inputs, same outputs.

mod admission;
mod counters;
mod departure;
mod ending;
mod engine;
mod interface;
mod keys;
mod list_evidence;
mod results;

pub use admission::AdmissionLimits;
pub use counters::Counters;
pub use departure::{Barred, Departure, ListAge, ListTerms, WaitFor};
pub use ending::{AttemptEnd, OrderEnd};
pub use engine::Engine;
pub use interface::*;
pub use list_evidence::{AGREEING, Contradictions, Exchange, ListEvidence, ListVersion, Weighed};
pub use results::ResultLimits;
