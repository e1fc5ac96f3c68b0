//! The gateway process: listeners, connections to the workers and the list service, signals. It performs the
//! I/O for the engine, which makes all decisions about calls.

mod gateway;
mod holders;
mod metrics;
mod saved_list;
mod settings;
mod version_store;
mod versions;
mod workers;

pub use gateway::{Gateway, Ready, Reload};
pub use holders::AcceptorCommand;
pub use settings::{GatewayLimits, GatewaySettings, VersionSettings};
