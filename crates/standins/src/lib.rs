//! Simulated peers for tests and rehearsals: a worker ([`Worker`]), the worker list service ([`WorkerList`]),
//! the model store ([`Store`]) and a faulty network link ([`Link`]). They inject faults on command. Workers
//! and the list also record the messages on their sockets ([`Record`]) for the auditor. Functions of a worker
//! do no work: a call occupies an instance for a drawn time and is answered with the worker's id.

mod control;
mod echo;
mod link;
mod list;
mod random;
mod records;
mod store;
mod worker;
mod worker_model;

pub use control::{Fault, Faults};
pub use echo::{Echo, Relay};
pub use link::Link;
pub use list::WorkerList;
pub use random::uniform;
pub use records::{Record, RecordedEvent, Recorder};
pub use store::Store;
pub use worker::{Worker, WorkerSettings, digest};
pub use worker_model::{Effect, Job, Model, Profile};
