//! The limits by which the rules are judged.

use std::collections::BTreeMap;

use crate::scene::{ClassSpec, Scene};

/// How long after the deadline an answer still counts: its time on the wire.
const ANSWER_SLACK: u64 = 8_000;
/// Longest time of a frame on the wire.
const TRANSIT: u64 = 100_000;

/// The limits by which the rules are judged. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct AuditLimits {
    /// Effects by class: `safe`, `unsafe`, `keyed GROUP MS`.
    pub effects: BTreeMap<String, String>,
    /// Aims by class.
    pub aims: BTreeMap<String, u64>,
    /// How long after the deadline an answer still counts: its time on the wire.
    pub answer_slack: u64,
    /// Nothing new later than this after a drain was told.
    pub drain_grace: u64,
    /// The ration's window (0: no ration), free orders, orders for each call.
    pub ration: (u64, f64, f64),
    /// Longest time of a frame on the wire.
    pub transit: u64,
}

impl AuditLimits {
    /// The limits that a scene sets.
    pub fn of(scene: &Scene) -> Self {
        let effect = |class: &ClassSpec| (class.name.clone(), class.effect.clone());
        let aim = |class: &ClassSpec| (class.name.clone(), class.aim_ms * 1_000);
        let (window_ms, free, per_call) = scene.terms.ration;
        Self {
            effects: scene.classes.iter().map(effect).collect(),
            aims: scene.classes.iter().map(aim).collect(),
            answer_slack: ANSWER_SLACK,
            drain_grace: scene.terms.drain_grace_ms * 1_000,
            ration: (window_ms * 1_000, free, per_call),
            transit: TRANSIT,
        }
    }
}
