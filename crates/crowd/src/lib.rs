//! Crowds of idle connections: what each costs a gateway, and what happens when many wake at once.
//!
//! [`Crowd`] is a process that opens connections, keeps them idle and makes calls on them on command; [`measure`] runs
//! several beside a gateway that is pinned to one core, reads its CPU and memory from the operating system, and has the
//! rehearsals' auditor judge every call from the records of clients and worker; [`plots`] draws the results.

mod crowd;
pub mod measure;
pub mod plots;

pub use crowd::{Crowd, CrowdSettings, Mix, Status};
