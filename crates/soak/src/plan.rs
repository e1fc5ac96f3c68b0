//! Which fault happens when, drawn by a seed.
//!
//! Faults of hosts, directories and processes overlap freely; only one fault at a time holds a single process, as a
//! process that is stopped can't be told to end.

use cresswheel_protocol::Micros;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;

use crate::flood::FloodKind;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;

/// What happens to a gateway's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessFault {
    /// It stands still for so long (SIGSTOP, SIGCONT).
    Freeze(Micros),
    /// It is killed, and started again so long after.
    Kill(Micros),
    /// It is told to end, and started again so long after its end.
    Terminate {
        /// From its end to the next start.
        after: Micros,
        /// SIGHUP right before SIGTERM, and both again after it, with a short stop between.
        in_series: bool,
    },
    /// Its configuration names the other directory, and it is told so (SIGHUP), so many times.
    Reload {
        /// How often.
        times: u32,
        /// From one to the next.
        pause: Micros,
    },
}

/// What happens to the answers of a gateway's directory for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectoryFault {
    /// None is sent.
    Silent,
    /// Each leaves so much later.
    Slow(Micros),
    /// So many of a hundred are lost on their way.
    Lossy(u32),
    /// Each holds the list of one event before.
    Older,
    /// Of a hundred, so many hold an old list, of this start of the gateway or of one before.
    Stale(u32),
    /// Each is cut in the middle.
    Cut,
    /// Each says that the directory failed.
    Failing,
}

/// What happens to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostFault {
    /// It drains, goes so long after, and another takes its place, at its address or at a new one.
    Replace {
        /// How long it drains.
        drains_for: Micros,
        /// The next one takes its address.
        same_address: bool,
    },
    /// It ends all its connections.
    EndConnections,
    /// It answers nothing for so long.
    Hang(Micros),
    /// It reads nothing for so long.
    Stall(Micros),
}

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Of the process of a gateway.
    Process(usize, ProcessFault),
    /// Of a gateway's directory, for so long.
    Directory(usize, DirectoryFault, Micros),
    /// Of the host at a place; it may be another one by then.
    Host(usize, HostFault),
}

/// A fault and its time, since the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Planned {
    /// Since the start.
    pub at: Micros,
    /// What happens.
    pub fault: Fault,
}

/// A flood before one gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFlood {
    /// Since the start.
    pub at: Micros,
    /// How long it goes on.
    pub lasts: Micros,
    /// The gateway.
    pub gateway: usize,
    /// What is sent.
    pub kind: FloodKind,
    /// From how many connections.
    pub connections: u32,
    /// The pause of each connection between two writes.
    pub pause: Micros,
}

/// How large and how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Gateways.
    pub gateways: usize,
    /// Places of hosts.
    pub hosts: usize,
    /// How long clients ask.
    pub lasts: Micros,
}

/// Before that nothing happens.
const QUIET_START: Micros = 1_500 * MS;

struct Draw(Pcg32);

impl Draw {
    fn below(&mut self, end: u64) -> u64 {
        u64::from(self.0.next_u32()) % end.max(1)
    }

    fn between(&mut self, from: Micros, to: Micros) -> Micros {
        from + self.below(to - from)
    }

    fn process(&mut self) -> ProcessFault {
        match self.below(10) {
            0..4 => ProcessFault::Freeze(self.between(50 * MS, 4 * S)),
            4..6 => ProcessFault::Kill(self.between(50 * MS, S)),
            6..8 => ProcessFault::Terminate {
                after: self.between(50 * MS, 500 * MS),
                in_series: self.below(2) == 0,
            },
            _ => ProcessFault::Reload {
                times: 1 + self.below(4) as u32,
                pause: self.between(10 * MS, 400 * MS),
            },
        }
    }

    /// Those that end all news end before an event's grace does, but for a silence, which the rules know.
    fn directory(&mut self) -> (DirectoryFault, Micros) {
        match self.below(10) {
            8.. => (DirectoryFault::Stale(40), self.between(500 * MS, 3 * S)),
            0..2 => (DirectoryFault::Silent, self.between(500 * MS, 9 * S)),
            2..4 => (DirectoryFault::Slow(self.between(100 * MS, 1_800 * MS)), self.between(S, 6 * S)),
            4 => (DirectoryFault::Lossy(30), self.between(S, 6 * S)),
            5 => (DirectoryFault::Older, self.between(100 * MS, 700 * MS)),
            6 => (DirectoryFault::Cut, self.between(100 * MS, 700 * MS)),
            _ => (DirectoryFault::Failing, self.between(100 * MS, 700 * MS)),
        }
    }

    fn host(&mut self) -> HostFault {
        match self.below(8) {
            0..4 => HostFault::Replace {
                drains_for: self.between(2 * S, 6 * S),
                same_address: self.below(2) == 0,
            },
            4..6 => HostFault::EndConnections,
            6 => HostFault::Hang(self.between(100 * MS, 2 * S)),
            _ => HostFault::Stall(self.between(100 * MS, 2 * S)),
        }
    }
}

/// How long a fault holds its process, its directory or its host.
fn holds(fault: &Fault) -> Micros {
    match *fault {
        Fault::Process(_, ProcessFault::Freeze(span)) => span + 200 * MS,
        Fault::Process(_, ProcessFault::Kill(span)) => span + 1_500 * MS,
        Fault::Process(_, ProcessFault::Terminate { after, .. }) => after + LONGEST_STOP + 1_500 * MS,
        Fault::Process(_, ProcessFault::Reload { times, pause }) => S + u64::from(times) * pause,
        Fault::Directory(_, _, span) => span,
        Fault::Host(_, HostFault::Replace { drains_for, .. }) => drains_for + S,
        Fault::Host(_, HostFault::Hang(span) | HostFault::Stall(span)) => span,
        Fault::Host(_, HostFault::EndConnections) => 0,
    }
}

/// A process has ended so long after SIGTERM, if it keeps to the rules.
const LONGEST_STOP: Micros = crate::LONGEST_WAIT + 700 * MS;

/// In one run of three, a crowd of connections that say nothing fills the gateways' places.
pub fn has_crowd(seed: u64) -> bool {
    seed.is_multiple_of(3)
}

/// The faults of a run, in their order.
pub fn draw(seed: u64, size: Size) -> Vec<Planned> {
    let mut draw = Draw(Pcg32::new(seed, 0x50a4));
    let mut planned = Vec::new();
    for gateway in 0..size.gateways {
        let process = |draw: &mut Draw| Fault::Process(gateway, draw.process());
        planned.extend(one_after_another(&mut draw, size.lasts, 3 * S, process));
        let directory = |draw: &mut Draw| {
            let (fault, span) = draw.directory();
            Fault::Directory(gateway, fault, span)
        };
        planned.extend(one_after_another(&mut draw, size.lasts, 3 * S, directory));
    }
    for host in 0..size.hosts {
        let fault = |draw: &mut Draw| Fault::Host(host, draw.host());
        planned.extend(one_after_another(&mut draw, size.lasts, 3 * S, fault));
    }
    planned.sort_by_key(|planned| planned.at);
    planned
}

/// The floods of a run, one at a time, so that their clients leave the machine to the others.
pub fn draw_floods(seed: u64, size: Size) -> Vec<PlannedFlood> {
    let mut draw = Draw(Pcg32::new(seed, 0xf100d));
    let mut floods = Vec::new();
    let mut at = QUIET_START + draw.below(S);
    while at < size.lasts {
        let lasts = draw.between(2 * S, 6 * S);
        let gateway = draw.below(size.gateways as u64) as usize;
        let kind = match draw.below(10) {
            0..3 => FloodKind::CanceledLater,
            3..6 => FloodKind::CanceledAtOnce,
            _ => FloodKind::ALL[draw.below(FloodKind::ALL.len() as u64) as usize],
        };
        let connections = [1, 8, 32][draw.below(3) as usize];
        let pause = [0, 0, 0, 5 * MS][draw.below(4) as usize];
        floods.push(PlannedFlood { at, lasts, gateway, kind, connections, pause });
        at += lasts + draw.between(200 * MS, 1_500 * MS);
    }
    floods
}

fn one_after_another(
    draw: &mut Draw,
    lasts: Micros,
    pause: Micros,
    mut fault: impl FnMut(&mut Draw) -> Fault,
) -> Vec<Planned> {
    let mut planned = Vec::new();
    let mut at = QUIET_START + draw.below(2 * pause);
    while at < lasts {
        let fault = fault(draw);
        planned.push(Planned { at, fault });
        at += holds(&fault) + draw.below(2 * pause);
    }
    planned
}
