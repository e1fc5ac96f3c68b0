//! The program's one clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use cresswheel_protocol::Micros;

/// Microseconds since 1970 that only go forward: the wall clock at the start plus the time since, so that a
/// clock set back can't make a deadline come late.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    at_start: Micros,
}

impl Default for Clock {
    fn default() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Self { start: Instant::now(), at_start: since.as_micros() as Micros }
    }
}

impl Clock {
    /// Now.
    pub fn now(&self) -> Micros {
        self.at_start + self.start.elapsed().as_micros() as Micros
    }
}
