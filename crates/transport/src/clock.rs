//! The clock of the program.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cresswheel_protocol::Micros;
use rustix::time::{ClockId, clock_gettime};

/// Microseconds since 1970 that never go backwards: the wall clock at the start plus the monotonic time
/// since, so that setting the wall clock back can't delay a deadline. Processes of one machine that share a
/// [`Clock::base`] read the same time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: Micros,
}

fn monotonic() -> Micros {
    let time = clock_gettime(ClockId::Monotonic);
    time.tv_sec as Micros * 1_000_000 + time.tv_nsec as Micros / 1_000
}

impl Default for Clock {
    fn default() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Self { base: (since.as_micros() as Micros).saturating_sub(monotonic()) }
    }
}

impl Clock {
    /// The clock of another process on this machine.
    pub fn of(base: Micros) -> Self {
        Self { base }
    }

    /// The wall-clock time at the origin of the monotonic clock.
    pub fn base(&self) -> Micros {
        self.base
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        self.base.saturating_add(monotonic())
    }
}
