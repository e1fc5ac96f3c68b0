//! Real gateway processes beside the simulated ones.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What the real processes took.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RealReport {
    /// One by one.
    pub gateways: Vec<RealGateway>,
}

/// One real gateway process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RealGateway {
    /// Its process id.
    pub process: u32,
}

impl fmt::Display for RealReport {
    fn fmt(&self, _f: &mut fmt::Formatter<'_>) -> fmt::Result {
        Ok(())
    }
}
