//! Cold start: a new worker process has less capacity than a warm one, and collapses when it is overloaded.

use std::collections::VecDeque;

use super::Profile;

/// Work that was sent to a cold worker.
#[derive(Clone, Copy)]
struct Arrival {
    at: u64,
    /// In core-microseconds.
    work: u64,
}

/// Work beyond the limit of a cold worker, in core-microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Overload {
    /// Sent within the window.
    pub sent: u64,
    /// Work that it could have handled in the window.
    pub limit: u64,
}

/// The capacity of a worker since its start.
pub struct ColdStart {
    started: u64,
    cold_from: f64,
    warm_up: u64,
    fall_multiple: f64,
    fall_window: u64,
    /// Capacity when warm, in cores of standard speed.
    power: f64,
    arrivals: VecDeque<Arrival>,
}

impl ColdStart {
    /// The capacity of a worker with this start time.
    pub fn new(profile: &Profile, started: u64) -> Self {
        Self {
            started,
            cold_from: profile.cold_from,
            warm_up: profile.warm_up,
            fall_multiple: profile.fall_multiple,
            fall_window: profile.fall_window,
            power: f64::from(profile.cores) * profile.speed,
            arrivals: VecDeque::new(),
        }
    }

    /// The share of its warm capacity that it has at a time.
    pub fn capacity(&self, at: u64) -> f64 {
        let warm_share = at.saturating_sub(self.started) as f64 / self.warm_up.max(1) as f64;
        (self.cold_from + (1.0 - self.cold_from) * warm_share).min(1.0)
    }

    /// Adds work that was sent now; returns the overload if the work exceeds the worker's limit.
    pub fn add(&mut self, now: u64, work: u64) -> Option<Overload> {
        let window = self.fall_window;
        let capacity = self.capacity(now);
        if window == 0 || capacity >= 1.0 {
            return None;
        }
        self.arrivals.push_back(Arrival { at: now, work });
        while self.arrivals.front().is_some_and(|arrival| arrival.at + window < now) {
            self.arrivals.pop_front();
        }
        let sent: u64 = self.arrivals.iter().map(|arrival| arrival.work).sum();
        let limit = self.fall_multiple * capacity * window as f64 * self.power;
        (sent as f64 > limit).then_some(Overload { sent, limit: limit as u64 })
    }
}
