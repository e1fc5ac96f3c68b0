//! Small peers for tests and rehearsals: a worker ([`Worker`]), the worker list ([`WorkerList`]), the model store
//! ([`Store`]) and a lossy link ([`Link`]). Each simulates faults on command and records what passed on its
//! sockets ([`Record`]) for the auditor. They are models, not products: a worker's function is an echo that takes
//! time.

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
