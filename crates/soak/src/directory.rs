//! The directory as a gateway sees it: two addresses, of which one answers.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use cresswheel_platform_wire::directory::{HostList, encode_host_list, message_id};
use cresswheel_protocol::Micros;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;

use crate::plan::{DirectoryFault, Planned};
use crate::records::{Span, Told};
use crate::run::{GatewayNow, World};

/// Of a hundred answers, so many hold an old list; more so soon after a gateway's start.
const STALE: u32 = 3;
const STALE_WHILE_YOUNG: u32 = 25;
/// A start was that short a while ago.
const YOUNG: Micros = 1_500_000;
/// No more old lists than these come in a row.
const STALE_IN_A_ROW: u32 = 2;

/// How long a thread waits for a question at most.
const LOOK: Duration = Duration::from_millis(5);

/// An answer that waits for its time.
struct Waiting {
    due: Micros,
    to: SocketAddr,
    bytes: Vec<u8>,
    told: Option<Told>,
}

/// One of a gateway's two directories.
pub struct Directory {
    world: Arc<World>,
    gateway: usize,
    /// Which of the two.
    side: usize,
    socket: UdpSocket,
    waiting: Vec<Waiting>,
    draw: Pcg32,
}

impl Directory {
    /// One that has a socket; gives its address.
    pub fn new(world: Arc<World>, gateway: usize, side: usize, socket: UdpSocket) -> anyhow::Result<Self> {
        socket.set_read_timeout(Some(LOOK))?;
        let draw = Pcg32::new(world.options.seed, 5_000 + 2 * gateway as u64 + side as u64);
        Ok(Self { world, gateway, side, socket, waiting: Vec::new(), draw })
    }

    /// Answers until the run is over.
    pub fn play(mut self, plan: &[(Planned, DirectoryFault, Micros)]) {
        let mut bytes = [0; 512];
        while !self.world.is_over() {
            if let Ok((count, from)) = self.socket.recv_from(&mut bytes)
                && let Some(id) = message_id(&bytes[..count])
            {
                self.asked(id, from, plan);
            }
            self.send_due();
        }
    }

    fn asked(&mut self, id: u16, from: SocketAddr, plan: &[(Planned, DirectoryFault, Micros)]) {
        let now = self.world.clock.now();
        let gateway = self.world.gateway(self.gateway);
        if gateway.side != self.side {
            return;
        }
        let since = |planned: &Planned| self.world.start + planned.at;
        let holds = |entry: &&(Planned, DirectoryFault, Micros)| {
            since(&entry.0) <= now && now < since(&entry.0) + entry.2
        };
        let fault = plan.iter().find(holds).map(|(_, fault, _)| *fault);
        if fault == Some(DirectoryFault::Silent) {
            return;
        }
        let events = self.world.roster.events();
        let mut event = events.last_by(now).max(gateway.knows);
        if fault == Some(DirectoryFault::Older) {
            event = event.saturating_sub(1).max(gateway.knows);
        }
        let serial = 1 + event - gateway.knows;
        let stale = self.stale(now, &gateway, event, fault);
        let (serial, listed) = stale.unwrap_or((serial, event));
        let listing = HostList { serial: serial as u64, hosts: events.list(listed) };
        let mut bytes = match encode_host_list(id, &listing) {
            Ok(bytes) => bytes,
            Err(error) => {
                let what = format!("no answer of the directory: {error}");
                return self.world.book.write(|records| records.faults.push(what));
            }
        };
        let told = Told { gateway: self.gateway, life: gateway.life, at: now, event };
        let mut told = Some(told).filter(|_| stale.is_none());
        let mut due = now;
        match fault {
            Some(DirectoryFault::Slow(delay)) => due += delay,
            Some(DirectoryFault::Cut) => {
                bytes.truncate(bytes.len() / 2);
                told = None;
            }
            Some(DirectoryFault::Failing) => {
                // The code for 'server failure' in the fourth byte of the header.
                bytes[3] = bytes[3] & 0xf0 | 2;
                told = None;
            }
            Some(DirectoryFault::Lossy(percent)) if self.draw.next_u32() % 100 < percent => bytes.clear(),
            _ => {}
        }
        self.waiting.push(Waiting { due, to: from, bytes, told });
    }

    /// Now and then, and often right after a start, an old list takes the place of the current one: the number and the
    /// event of it. Twice in a row at most.
    fn stale(
        &mut self,
        now: Micros,
        gateway: &GatewayNow,
        event: usize,
        fault: Option<DirectoryFault>,
    ) -> Option<(usize, usize)> {
        let lives: Vec<(Micros, usize)> = self.world.book.write(|records| {
            records.lives[self.gateway].iter().map(|life| (life.started, life.knows)).collect()
        });
        let is_young = lives.last().is_some_and(|(started, _)| now < started + YOUNG);
        let percent = match fault {
            Some(DirectoryFault::Stale(percent)) => percent,
            _ if is_young => STALE_WHILE_YOUNG,
            _ => STALE,
        };
        let given = gateway.stale_in_a_row < STALE_IN_A_ROW && self.draw.next_u32() % 100 < percent;
        let in_a_row = if given { gateway.stale_in_a_row + 1 } else { 0 };
        self.world.change(self.gateway, |gateway| gateway.stale_in_a_row = in_a_row);
        if !given {
            return None;
        }
        let life = self.draw.next_u32() as usize % lives.len();
        let (first, last) = (lives[life].1, lives.get(life + 1).map_or(event, |(_, knows)| *knows));
        let number = 1 + event - gateway.knows;
        let of_life = |number: usize| first + number.saturating_sub(1);
        let wanted = match self.draw.next_u32() % 3 {
            0 => of_life(number),
            1 => of_life(number + 1),
            _ => first + self.draw.next_u32() as usize % (1 + last.saturating_sub(first)),
        };
        let listed = wanted.min(last);
        Some((1 + listed - first, listed))
    }

    fn send_due(&mut self) {
        let now = self.world.clock.now();
        let (due, later) =
            std::mem::take(&mut self.waiting).into_iter().partition(|waiting| waiting.due <= now);
        self.waiting = later;
        let due: Vec<Waiting> = due;
        for Waiting { to, bytes, told, .. } in due {
            // What was told counts as told also if it is lost.
            let told = told.map(|told| Told { at: self.world.clock.now(), ..told });
            self.world.book.write(|records| records.told.extend(told));
            if !bytes.is_empty() {
                // Whoever asked may have ended.
                let _ = self.socket.send_to(&bytes, to);
            }
        }
    }
}

/// The spans in which a gateway's directory is silent.
pub fn silences(start: Micros, plan: &[(Planned, DirectoryFault, Micros)]) -> Vec<Span> {
    let silent = plan.iter().filter(|(_, fault, _)| *fault == DirectoryFault::Silent);
    silent
        .map(|(planned, _, span)| Span { from: start + planned.at, to: start + planned.at + span })
        .collect()
}
