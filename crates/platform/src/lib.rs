//! The gateway on the operators' platform: a second shell round the same engine and decision module.
//!
//! [`Platform`] carries clients' frames (`front`), commands to hosts (`hosts`) and the directory's answers
//! (`directory`) between sockets and the engine, and decides nothing. `docs/PLATFORM.md` tells how it is started,
//! what it bounds and what it says in its log.

mod departures;
mod directory;
mod front;
mod hosts;
mod lateness;
mod settings;
mod shell;
mod waiting;

pub use settings::PlatformSettings;
pub use shell::Platform;
