//! The clients of one gateway.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use cresswheel_platform_wire::client::{
    FromGateway, decode_from_gateway, encode_request, encode_without_fields,
};
use cresswheel_protocol::Micros;
use cresswheel_transport::{Connection, EventLoop, EventLoopLimits, LoopEvent, Sent, Wire};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;

use crate::records::{End, Request, RequestId};
use crate::run::World;

const MS: Micros = 1_000;
const CONNECTIONS: usize = 3;
const OPEN_AT_MOST: usize = 20;
/// Functions that each gateway is asked for.
const FUNCTIONS: u32 = 24;
/// Of a hundred requests, so many are taken back, and so many are left with their connection.
const TAKEN_BACK: u32 = 6;
const LEFT: u32 = 1;
const UNSAFE: u32 = 25;

struct Line {
    held: Vec<u8>,
    open: HashMap<u32, RequestId>,
    answered: HashMap<u32, RequestId>,
    next: u32,
    /// The gateway asked for no new request here.
    retired: bool,
}

/// What a client does of itself.
enum Going {
    TakeBack(Connection, u32),
    Close(Connection),
}

/// A request of which not every byte is with the kernel yet.
struct Leaving {
    connection: Connection,
    mark: u64,
    id: RequestId,
}

/// All clients of a gateway, on one loop.
pub struct Clients {
    world: Arc<World>,
    gateway: usize,
    hub: EventLoop,
    life: usize,
    number: u32,
    lines: BTreeMap<Connection, Line>,
    goings: Vec<(Micros, Going)>,
    leaving: Vec<Leaving>,
    draw: Pcg32,
    /// They use open connections on after the gateway asked for no new request there.
    insists: bool,
}

impl Clients {
    /// Clients of a gateway.
    pub fn new(world: Arc<World>, gateway: usize) -> anyhow::Result<Self> {
        let mut hub = EventLoop::new(EventLoopLimits::default())?;
        hub.set_clock(world.clock);
        let mut draw = Pcg32::new(world.options.seed, 9_000 + gateway as u64);
        let (lines, goings, leaving) = (BTreeMap::new(), Vec::new(), Vec::new());
        let insists = draw.next_u32().is_multiple_of(2);
        Ok(Self { world, gateway, hub, life: 0, number: 0, lines, goings, leaving, draw, insists })
    }

    /// Asks until the time is over, and then waits for what is open.
    pub fn play(mut self) -> anyhow::Result<()> {
        let mut next = self.world.start;
        while !self.world.is_over() {
            let now = self.world.clock.now();
            let gateway = self.world.gateway(self.gateway);
            if gateway.life != self.life {
                self.begin_anew(gateway.life);
            }
            if next <= now {
                next = now + u64::from(self.draw.next_u32()) % (2 * self.world.options.pause);
                if gateway.is_up && now < self.world.end {
                    self.ask(now, gateway.takes);
                }
            }
            self.go(now);
            self.hub.wait(Some(next.min(now + 4 * MS)))?;
            self.stamp();
            while let Some(notice) = self.hub.next_event() {
                self.notice(notice);
            }
        }
        Ok(())
    }

    /// Another process is there: connections to the one before end of themselves.
    fn begin_anew(&mut self, life: usize) {
        self.life = life;
        self.lines.values_mut().for_each(|line| line.retired = true);
    }

    /// Asks on an open connection, or on a new one where the gateway takes those.
    fn ask(&mut self, now: Micros, takes: Option<std::net::SocketAddr>) {
        let usable = |line: &Line| !line.retired && line.open.len() < OPEN_AT_MOST;
        let fresh = self.lines.values().filter(|line| !line.retired).count();
        let connection = match self
            .lines
            .iter()
            .filter(|(_, line)| usable(line))
            .min_by_key(|(_, line)| line.open.len())
        {
            Some((connection, line)) if fresh >= CONNECTIONS || line.open.is_empty() => *connection,
            Some((connection, _)) if takes.is_none() => *connection,
            None if fresh >= CONNECTIONS => return,
            _ => {
                let Some(address) = takes else { return };
                let connection = self.hub.connect(address, Wire::Raw, 1_000 * MS);
                let line = Line {
                    held: Vec::new(),
                    open: HashMap::new(),
                    answered: HashMap::new(),
                    next: 0,
                    retired: false,
                };
                self.lines.insert(connection, line);
                connection
            }
        };
        self.number += 1;
        let id = RequestId { gateway: self.gateway, life: self.life, number: self.number };
        let wait = 300 * MS + u64::from(self.draw.next_u32()) % (crate::LONGEST_WAIT - 300 * MS);
        let is_unsafe = self.draw.next_u32() % 100 < UNSAFE;
        let function = format!("{:04x}{:012x}", self.gateway, self.draw.next_u32() % FUNCTIONS);
        let class = if is_unsafe { "post" } else { "check" };
        let Some(line) = self.lines.get_mut(&connection) else { return };
        line.next += 1;
        let stream = line.next;
        line.open.insert(stream, id);
        let text = id.text();
        let wait_ms = (wait / MS).to_string();
        let fields = [
            ("class", class),
            ("id", &text),
            ("wait", &wait_ms),
            ("key", &function),
            ("spec", "memory_mb:512;lanes:4;load_ms:20"),
        ];
        let mark = u64::from(id.number);
        self.hub.write(connection, Some(mark), |out| encode_request(out, stream, &fields, b"body"));
        self.leaving.push(Leaving { connection, mark, id });
        let request = Request { is_unsafe, sent: now, wait, end: None, further_answers: 0 };
        self.world.book.write(|records| records.requests.insert(id, request));
        let drawn = self.draw.next_u32() % 100;
        let when = now + u64::from(self.draw.next_u32()) % (wait / 2);
        if drawn < TAKEN_BACK {
            self.goings.push((when, Going::TakeBack(connection, stream)));
        } else if drawn < TAKEN_BACK + LEFT {
            self.goings.push((when, Going::Close(connection)));
        }
    }

    fn go(&mut self, now: Micros) {
        let (due, later) = std::mem::take(&mut self.goings).into_iter().partition(|(at, _)| *at <= now);
        self.goings = later;
        let due: Vec<(Micros, Going)> = due;
        for (_, going) in due {
            match going {
                Going::TakeBack(connection, stream) => {
                    let open = self.lines.get_mut(&connection).and_then(|line| line.open.remove(&stream));
                    if let Some(id) = open {
                        self.hub.write(connection, None, |out| encode_without_fields(out, false, stream));
                        self.ended(id, now, End::Left);
                    }
                }
                Going::Close(connection) => {
                    let open = self.lines.remove(&connection).map(|line| line.open).unwrap_or_default();
                    open.into_values().for_each(|id| self.ended(id, now, End::Left));
                    self.hub.close(connection, "the client's end");
                }
            }
        }
    }

    /// A request is sent once its last byte is with the kernel: a thread of a busy machine writes it later than it made
    /// it.
    fn stamp(&mut self) {
        let (hub, wrote) = (&self.hub, self.hub.wrote());
        let has_left = |leaving: &mut Leaving| hub.sent(leaving.connection, leaving.mark) == Sent::Whole;
        let sent: Vec<Leaving> = self.leaving.extract_if(.., has_left).collect();
        if sent.is_empty() {
            return;
        }
        self.world.book.write(|records| {
            for Leaving { id, .. } in sent {
                if let Some(request) = records.requests.get_mut(&id) {
                    let late = wrote.saturating_sub(request.sent);
                    request.sent = request.sent.max(wrote);
                    records.wrote_late = records.wrote_late.max(late);
                }
            }
        });
    }

    fn ended(&self, id: RequestId, at: Micros, end: End) {
        self.world.book.write(|records| {
            if let Some(request) = records.requests.get_mut(&id) {
                request.end.get_or_insert((at, end));
            }
        });
    }

    fn notice(&mut self, notice: LoopEvent) {
        let now = self.world.clock.now();
        match notice {
            LoopEvent::Closed { connection, never_stood, unsent, .. } => {
                self.leaving.retain(|leaving| leaving.connection != connection);
                let Some(line) = self.lines.remove(&connection) else { return };
                for id in line.open.into_values() {
                    match never_stood || unsent.contains(&u64::from(id.number)) {
                        // It was handed to no gateway.
                        true => self.world.book.write(|records| _ = records.requests.remove(&id)),
                        false => self.ended(id, now, End::Closed),
                    }
                }
            }
            LoopEvent::Bytes(connection, bytes) => self.bytes(connection, &bytes),
            _ => {}
        }
    }

    fn bytes(&mut self, connection: Connection, bytes: &[u8]) {
        let came = self.hub.arrived_at();
        let Some(line) = self.lines.get_mut(&connection) else { return };
        line.held.extend_from_slice(bytes);
        let (mut ended, mut further) = (Vec::new(), Vec::new());
        loop {
            match decode_from_gateway(&mut line.held) {
                Ok(None) => break,
                Ok(Some(FromGateway::Answer(stream, code, ..))) => match line.open.remove(&stream) {
                    Some(id) => {
                        line.answered.insert(stream, id);
                        ended.push((id, code));
                    }
                    None => further.extend(line.answered.get(&stream)),
                },
                Ok(Some(FromGateway::Leaving)) => line.retired = !self.insists,
                Ok(Some(FromGateway::Ready(..))) => {}
                Err(error) => {
                    let what = format!("gateway {}: bytes that can't be read: {error}", self.gateway);
                    self.world.book.write(|records| records.faults.push(what));
                    break;
                }
            }
        }
        ended.into_iter().for_each(|(id, code)| self.ended(id, came, End::Answered(code)));
        self.world.book.write(|records| {
            for id in further {
                records.requests.entry(id).and_modify(|request| request.further_answers += 1);
            }
        });
    }
}
