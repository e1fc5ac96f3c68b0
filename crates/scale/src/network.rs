//! The simulated network: where everything stands, and how long a message takes.

use cresswheel_protocol::Micros;
use cresswheel_settings::ScaleScenario;

/// Latencies between the zones of a fleet. Things are spread over the zones in turn, zones over the regions in turn.
#[derive(Clone, Debug)]
pub struct Network {
    zones: usize,
    regions: usize,
    within_zone: Micros,
    between_zones: Micros,
    between_regions: Micros,
}

impl Network {
    /// The network of a scenario.
    pub fn new(scenario: &ScaleScenario) -> Self {
        Self {
            zones: scenario.zones,
            regions: scenario.regions,
            within_zone: scenario.within_zone,
            between_zones: scenario.between_zones,
            between_regions: scenario.between_regions,
        }
    }

    /// The zone of the n-th gateway, worker or source.
    pub fn zone(&self, number: usize) -> usize {
        number % self.zones
    }

    /// The region of a zone.
    pub fn region(&self, zone: usize) -> usize {
        zone % self.regions
    }

    /// A zone's name.
    pub fn zone_name(&self, zone: usize) -> String {
        format!("region-{}-zone-{zone}", self.region(zone))
    }

    /// The way from one zone to another, one way.
    pub fn latency(&self, from: usize, to: usize) -> Micros {
        if from == to {
            self.within_zone
        } else if self.region(from) == self.region(to) {
            self.between_zones
        } else {
            self.between_regions
        }
    }
}

/// The line of a machine that sends to many: one message after the other.
#[derive(Clone, Debug)]
pub struct Line {
    bytes_per_s: u64,
    free_at: Micros,
}

impl Line {
    /// A line that is free.
    pub fn new(bytes_per_s: usize) -> Self {
        Self { bytes_per_s: bytes_per_s.max(1) as u64, free_at: 0 }
    }

    /// Sends so many bytes at `now` or when the line is free; gives when the last of them has left.
    pub fn send(&mut self, now: Micros, bytes: u64) -> Micros {
        self.free_at = self.free_at.max(now) + (bytes * 1_000_000).div_ceil(self.bytes_per_s);
        self.free_at
    }
}
