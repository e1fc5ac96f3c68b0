//! Sleeps of the event loop, and whether the process stood still around one.

use cresswheel_protocol::Micros;

/// A step that takes this much longer than it should shows that the process stood still, not that it slept: what is
/// ready then may have arrived at any time since the poll before.
const PAUSE_THRESHOLD: Micros = 20_000;

/// A sleep that began after a poll which found nothing.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sleep {
    /// The time of that poll.
    pub polled: Micros,
    /// When the sleep began.
    pub began: Micros,
    /// When it should have ended at the latest; `None`: only with an event.
    pub until: Option<Micros>,
    /// When it ended.
    pub woke: Micros,
}

impl Sleep {
    /// Whether the process stood still between the poll and the end of the sleep, so that an event need not have
    /// ended it.
    pub fn was_interrupted(&self) -> bool {
        let began_late = self.polled.saturating_add(PAUSE_THRESHOLD) < self.began;
        let woke_late =
            self.until.is_some_and(|at| at.max(self.began).saturating_add(PAUSE_THRESHOLD) < self.woke);
        began_late || woke_late
    }
}

#[cfg(test)]
mod tests;
