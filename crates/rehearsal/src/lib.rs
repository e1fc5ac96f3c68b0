//! Rehearsals: a small fleet of real processes, a scripted bad day, clients, and an auditor that judges the five
//! rules from what passed on the sockets of clients and stand-ins, never from the gateways' own word.
//!
//! - [`Scene`] says what is there and what happens when; [`scene`] gives the ready ones, [`day`] makes one
//!   from a bench day's file;
//! - [`rehearse`] starts the fleet, plays the scene and leaves the records in a folder;
//! - [`audit`] judges a folder of records.

mod audit;
mod catalogue;
mod client;
pub mod day;
mod fleet;
mod load;
pub mod process_usage;
mod run;
mod scene;
mod split;
mod traffic;

pub use audit::{AuditLimits, ClassTable, InstanceCost, RULES, RuleVerdict, Verdict, audit, read_records};
pub use catalogue::{SCENES, scene};
pub use client::Client;
pub use fleet::{Fleet, Process};
pub use load::{LoadSettings, load};
pub use run::{Outcome, rehearse};
pub use scene::{ClassSpec, Event, GatewaySpec, Scene, Timed, WorkerSpec};
