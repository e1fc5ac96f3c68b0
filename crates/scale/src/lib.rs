//! A fleet at its planned size on one machine: hundreds of simulated gateways in one process, each with the real
//! engine, decision module and settings code, over a simulated network with simulated workers.
//!
//! Everything is driven in simulated time from one event queue, so that the same scenario and seed give the same
//! messages. Processor time is read from the thread's own clock around each input of a gateway.
//!
//! - [`plan`] works out what a run will need and refuses what the machine can't bear;
//! - [`run()`] runs a scenario and gives its [`Report`];
//! - [`fit`] and [`Sweep`] put lines through the figures of several runs;
//! - [`real`] runs gateway processes beside.

mod clock;
pub mod fit;
mod hollow;
mod memory;
mod network;
mod quantity;
pub mod real;
mod records;
mod report;
mod run;
mod script;
mod size;
mod sources;
mod sweep;
mod traffic;
mod worker;

pub use quantity::{BadQuantity, set_all};
pub use records::{ChangeRecord, Cost, Kind, Traffic};
pub use report::{GatewayRecord, MemoryRecord, Report, SourceRecord, WorkerRecord};
pub use run::{Inputs, run};
pub use size::{Estimate, Refused, plan};
pub use sweep::{Sweep, SweepReport};
