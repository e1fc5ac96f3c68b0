//! The gateway process: listeners, connections to the workers and the list service, signals. It performs the I/O for
//! the engine, which makes all decisions about calls.

mod acceptors;
mod gateway;
mod metrics;
mod saved_list;
mod settings;
mod version_store;
mod versions;
mod workers;

pub use acceptors::HolderCommand;
pub use gateway::{Gateway, Ready, Reload};
pub use settings::{GatewaySettings, ShellLimits, VersionSettings};
