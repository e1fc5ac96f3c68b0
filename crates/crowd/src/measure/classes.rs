//! The classes of the calls that connections make when they wake.

use crate::Mix;

/// A class as the gateway's settings, the clients and the auditor need it.
pub struct Class {
    pub name: &'static str,
    /// Part of the calls.
    pub share: f64,
    pub aim_ms: u64,
    pub effect: &'static str,
    pub worth: f64,
}

/// All classes.
pub const CLASSES: [Class; 3] = [
    Class { name: "balance-check", share: 0.62, aim_ms: 600, effect: "safe", worth: 2.0 },
    Class { name: "charge-estimate", share: 0.23, aim_ms: 1_200, effect: "safe", worth: 3.0 },
    Class { name: "payment-post", share: 0.15, aim_ms: 600, effect: "unsafe", worth: 3.0 },
];
/// How long clients wait.
pub const GIVE_UP_MS: u64 = 5_000;

/// The classes as clients draw them.
pub fn mix() -> Vec<Mix> {
    let mix = |class: &Class| Mix { class: class.name.into(), share: class.share, give_up_ms: GIVE_UP_MS };
    CLASSES.iter().map(mix).collect()
}
