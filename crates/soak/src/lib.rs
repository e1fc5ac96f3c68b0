//! A soak: real gateway processes on the operators' platform, stand-ins for all they talk to, and faults drawn by a
//! seed that overlap. What passed on the sockets is recorded and judged; the gateways' own word counts only against
//! them.
//!
//! - `plan`: which fault happens when, drawn by a seed; no I/O;
//! - `records`: what passed, in types;
//! - `judge`: the rules on the records; no I/O;
//! - `roster`: the hosts there are and were, as the directory tells of them;
//! - `hosts`, `directory`, `clients`, `crowd`, `gateways`: the stand-ins and the processes;
//! - `flood`: clients that send at full speed;
//! - `ports`: addresses that no other program is given meanwhile;
//! - `run`: all of it together.
//!
//! docs/SOAK.md tells what is judged, and how to run it.

mod clients;
mod crowd;
mod directory;
pub mod flood;
mod gateways;
mod hosts;
pub mod judge;
pub mod plan;
mod ports;
pub mod records;
pub mod roster;
mod run;

pub use run::{Options, Report, run};

/// The grace of a drain in the configuration of the gateways.
pub const GRACE: u64 = 1_000_000;
/// Longest time of a client.
pub const LONGEST_WAIT: u64 = 2_500_000;
