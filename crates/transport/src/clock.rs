//! The program's one clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cresswheel_protocol::Micros;
use rustix::time::{ClockId, clock_gettime};

/// Microseconds since 1970 that only go forward: the wall clock at the start plus the machine's monotonic time
/// since, so that a clock set back can't make a deadline come late. Processes of one machine that share a
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
    /// The clock of another process of this machine.
    pub fn of(base: Micros) -> Self {
        Self { base }
    }

    /// What makes this clock: the wall clock's time when the machine's monotonic one began.
    pub fn base(&self) -> Micros {
        self.base
    }

    /// Now.
    pub fn now(&self) -> Micros {
        self.base.saturating_add(monotonic())
    }
}
