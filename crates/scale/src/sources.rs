//! The machines that give the worker list and the settings to the gateways.
//!
//! They stand in for a way that is not built: settings reach a gateway as a file, and the list service is a
//! stand-in. A change is made at the first source; the others hear of it over the network, and each sends it to the
//! gateways in its care, one after the other on its line.

use cresswheel_protocol::Micros;

use crate::network::{Line, Network};
use crate::records::Messages;

/// One of those machines.
pub struct Source {
    /// Its zone.
    pub zone: usize,
    line: Line,
    /// What it sent.
    pub sent: Messages,
    /// What it was sent.
    pub received: Messages,
}

/// All of them.
pub struct Sources {
    all: Vec<Source>,
    /// The source in whose care each gateway is.
    care: Vec<usize>,
}

impl Sources {
    /// So many sources, spread over the zones; a gateway is in the care of one in its zone or region, if there is any.
    pub fn new(count: usize, bytes_per_s: usize, gateways: usize, network: &Network) -> Self {
        let source = |number| Source {
            zone: network.zone(number),
            line: Line::new(bytes_per_s),
            sent: Messages::default(),
            received: Messages::default(),
        };
        let all: Vec<Source> = (0..count).map(source).collect();
        let mut load = vec![0usize; count];
        let care = (0..gateways).map(|gateway| {
            let zone = network.zone(gateway);
            let near = |n: usize| network.region(all[n].zone) == network.region(zone);
            let any_near = (0..count).any(near);
            let choice = (0..count).filter(|n| !any_near || near(*n)).min_by_key(|n| load[*n]).unwrap_or(0);
            load[choice] += 1;
            choice
        });
        let care = care.collect();
        Self { all, care }
    }

    /// The source in whose care a gateway is.
    pub fn of(&mut self, gateway: usize) -> &mut Source {
        &mut self.all[self.care[gateway]]
    }

    /// What was sent until now is reported; counts begin anew.
    pub fn begin(&mut self) {
        for source in &mut self.all {
            (source.sent, source.received) = Default::default();
        }
    }

    /// All sources.
    pub fn all(&self) -> &[Source] {
        &self.all
    }

    /// Sends so many bytes to a gateway; gives when they are there.
    pub fn deliver(
        &mut self,
        now: Micros,
        gateway: usize,
        zone: usize,
        bytes: u64,
        network: &Network,
    ) -> Micros {
        let first = self.all[0].zone;
        let source = &mut self.all[self.care[gateway]];
        let hears = if self.care[gateway] == 0 { now } else { now + network.latency(first, source.zone) };
        source.line.send(hears, bytes) + network.latency(source.zone, zone)
    }
}
