//! Crowds of idle connections: what each costs a gateway, and what happens when many wake at once.
//!
//! [`Crowd`] is a process that opens connections, keeps them idle and wakes them on command; [`measure`] runs
//! several beside a gateway that is held to one core, reads what the operating system says of it, and has the
//! rehearsals' auditor judge every call from records of clients and worker; [`plots`] draws what was found.

mod crowd;
pub mod measure;
pub mod plots;

pub use crowd::{Crowd, CrowdSettings, Mix, Status};
