//! A crowd: connections that say nothing, or half a message, and come again when they are ended.

use std::collections::HashSet;
use std::sync::Arc;

use cresswheel_protocol::Micros;
use cresswheel_transport::{Connection, EventLoop, EventLoopLimits, LoopEvent, Wire};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;

use crate::run::World;

const MS: Micros = 1_000;
/// More than a gateway of the soak has places for clients.
const CONNECTIONS: usize = 130;
/// One that was ended comes again after this, and up to twice as long.
const COMES_AGAIN: Micros = 500 * MS;
/// The head of a message of which the rest never comes.
const HALF: [u8; 5] = [40, 0, 0, 0, 100];

/// The crowd before one gateway.
pub struct Crowd {
    world: Arc<World>,
    gateway: usize,
    hub: EventLoop,
    open: HashSet<Connection>,
    /// When those come that are not there.
    comes: Vec<Micros>,
    draw: Pcg32,
}

impl Crowd {
    /// One that comes as soon as its gateway takes connections.
    pub fn new(world: Arc<World>, gateway: usize) -> anyhow::Result<Self> {
        let mut hub = EventLoop::new(EventLoopLimits::default())?;
        hub.set_clock(world.clock);
        let mut draw = Pcg32::new(world.options.seed, 13_000 + gateway as u64);
        let start = world.start;
        let comes = (0..CONNECTIONS).map(|_| start + u64::from(draw.next_u32()) % (4 * COMES_AGAIN));
        let comes = comes.collect();
        Ok(Self { world, gateway, hub, open: HashSet::new(), comes, draw })
    }

    /// Comes again and again until clients ask no more.
    pub fn play(mut self) -> anyhow::Result<()> {
        while self.world.clock.now() < self.world.end && !self.world.is_over() {
            let now = self.world.clock.now();
            if let Some(address) = self.world.gateway(self.gateway).takes {
                let due = self.comes.extract_if(.., |at| *at <= now).count();
                (0..due).for_each(|_| self.come(address));
            }
            self.hub.wait(Some(now + 10 * MS))?;
            while let Some(notice) = self.hub.next_event() {
                if let LoopEvent::Closed { connection, .. } = notice
                    && self.open.remove(&connection)
                {
                    let again = COMES_AGAIN + u64::from(self.draw.next_u32()) % COMES_AGAIN;
                    self.comes.push(self.world.clock.now() + again);
                }
            }
        }
        Ok(())
    }

    fn come(&mut self, address: std::net::SocketAddr) {
        let connection = self.hub.connect(address, Wire::Raw, 1_000 * MS);
        self.open.insert(connection);
        if self.draw.next_u32().is_multiple_of(2) {
            self.hub.send_bytes(connection, &HALF);
        }
    }
}
