//! The gateway on the operators' platform: a second event loop around the same engine and decision module.
//!
//! [`Platform`] moves client frames (`front`), commands to hosts (`hosts`) and directory answers
//! (`directory`) between sockets and the engine, and makes no decisions. `docs/PLATFORM.md` describes how it
//! is started, its limits and its log messages.

mod departures;
mod directory;
mod front;
mod hosts;
mod lateness;
mod loop_times;
mod settings;
mod shell;
mod turns;

pub use settings::PlatformSettings;
pub use shell::Platform;
