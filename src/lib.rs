//! The decisions of a dispatcher for many small models on a shared fleet of workers: which worker gets each
//! request, and when a model is loaded or unloaded.
//!
//! The crate is sans-I/O: the caller passes [`Event`]s with the current time to a [`Dispatcher`] and executes
//! the [`Action`]s that it returns. The crate has no clock, thread, socket or global state of its own.
//!
//! ```
//! use cresswheel::{Action, Class, Dispatcher, Effect, Event, Request, Settings};
//! use cresswheel::{WorkerEntry, WorkerListUpdate, WorkerState};
//!
//! let class = Class {
//!     name: "check".into(),
//!     latency_objective: 600_000,
//!     client_timeout: 5_000_000,
//!     effect: Effect::Safe,
//!     streamed: false,
//!     worth: 1.0,
//!     late_worth: 0.3,
//! };
//! let settings = Settings { classes: vec![class], keep_alive: 10_000_000, ..Settings::default() };
//! let mut gateway = Dispatcher::new(settings, 7)?;
//! let mut actions = Vec::new();
//! let worker = WorkerEntry {
//!     id: "10.0.0.1:9000".into(),
//!     zone: "a".into(),
//!     kind: "std".into(),
//!     cell: 0,
//!     state: WorkerState::InService,
//!     started: None,
//! };
//! gateway.handle(0, Event::List(WorkerListUpdate::Complete(vec![worker])), &mut actions);
//! let request = Request {
//!     id: "r1".into(),
//!     class: 0,
//!     tenant: None,
//!     function: "model-a".into(),
//!     time_left: 5_000_000,
//!     memory_mb: None,
//!     concurrency: Some(4),
//!     load_time: None,
//! };
//! gateway.handle(1_000, Event::Arrived(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { .. })));
//! # Ok::<(), cresswheel::SettingsError>(())
//! ```

#[doc = include_str!("../README.md")]
#[cfg(doctest)]
struct Readme;

mod idle;
mod interface;
mod order_slots;
mod pairs;
mod ring;
mod rules;
mod state;
mod tally;
mod wanted;

pub use interface::*;
pub use pairs::{SettingPairError, SettingPairs};
pub use rules::Dispatcher;
pub use tally::DispatcherStats;
