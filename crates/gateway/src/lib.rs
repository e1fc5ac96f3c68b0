//! The gateway as a process: listeners, connections to workers and list, signals. It carries out what the engine
//! says and decides nothing about calls.

mod holders;
mod metrics;
mod saved_list;
mod settings;
mod shell;
mod version_store;
mod versions;
mod workers;

pub use holders::HolderCommand;
pub use settings::{GatewaySettings, ShellLimits, VersionSettings};
pub use shell::{Gateway, Ready, Reload};
