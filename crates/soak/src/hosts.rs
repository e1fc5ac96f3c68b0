//! The hosts: a thread for each place, which holds one host after another.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use cresswheel_platform_wire::host::{decode_command, encode_answer};
use cresswheel_protocol::{ListedWorker, MemberState, Micros};
use cresswheel_transport::{Connection, EventLoop, EventLoopLimits, LoopEvent, Wire};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;

use crate::flood;
use crate::plan::{HostFault, Planned};
use crate::ports::ReservedPort;
use crate::records::{Arrival, Dealt, RequestId};
use crate::run::World;

const MS: Micros = 1_000;
/// How long a thread sleeps at most.
const LOOK: Micros = 4 * MS;
/// A request runs for so long at least, and for so much longer at most.
const WORK: Micros = 3 * MS;
const WORK_SPREAD: u64 = 80 * MS;

/// An answer that waits for its time.
struct Answer {
    due: Micros,
    connection: Connection,
    id: String,
    bytes: Vec<u8>,
}

/// A place, and the host that is there.
pub struct Place {
    world: Arc<World>,
    number: usize,
    generation: u32,
    port: ReservedPort,
    listed: ListedWorker,
    hub: EventLoop,
    held: HashMap<Connection, Vec<u8>>,
    answers: Vec<Answer>,
    draw: Pcg32,
    hangs_until: Micros,
    /// When the host that drains goes, and whether the next one takes its address.
    goes: Option<(Micros, bool)>,
}

impl Place {
    /// The first host at a place.
    pub fn new(world: Arc<World>, number: usize) -> anyhow::Result<Self> {
        let mut hub = EventLoop::new(EventLoopLimits::default())?;
        hub.set_clock(world.clock);
        let port = ReservedPort::any()?;
        hub.listen(port.address(), Wire::Raw)?;
        let listed = listed(number, 0, port.address(), 0);
        world.roster.add(world.clock.now(), listed.clone());
        Ok(Self {
            draw: Pcg32::new(world.options.seed, 1_000 + number as u64),
            world,
            number,
            generation: 0,
            port,
            listed,
            hub,
            held: HashMap::new(),
            answers: Vec::new(),
            hangs_until: 0,
            goes: None,
        })
    }

    /// Plays the host until the run is over.
    pub fn play(mut self, plan: &[(Planned, HostFault)]) -> anyhow::Result<()> {
        let mut plan = plan.iter();
        let mut next = plan.next();
        while !self.world.is_over() {
            let now = self.world.clock.now();
            while let Some((_, fault)) = next.filter(|(planned, _)| self.world.start + planned.at <= now) {
                self.fault(now, *fault);
                next = plan.next();
            }
            if let Some((_, same_address)) = self.goes.filter(|(at, _)| *at <= now) {
                self.replace(now, same_address)?;
            }
            self.answer(now);
            self.hub.wait(Some(now + LOOK))?;
            while let Some(notice) = self.hub.next_event() {
                self.notice(notice);
            }
        }
        Ok(())
    }

    fn fault(&mut self, now: Micros, fault: HostFault) {
        match fault {
            HostFault::Replace { .. } if self.goes.is_some() => {}
            HostFault::Replace { drains_for, same_address } => {
                self.listed.standing = MemberState::Draining;
                self.world.roster.add(now, self.listed.clone());
                self.goes = Some((now + drains_for, same_address));
            }
            HostFault::EndConnections => self.end_connections(),
            HostFault::Hang(span) => self.hangs_until = now + span,
            HostFault::Stall(span) => std::thread::sleep(std::time::Duration::from_micros(span)),
        }
    }

    fn end_connections(&mut self) {
        let connections: Vec<Connection> = self.held.keys().copied().collect();
        connections.into_iter().for_each(|connection| self.hub.close(connection, "the host's end"));
        self.held.clear();
        self.answers.clear();
    }

    /// The host goes, and another comes.
    fn replace(&mut self, now: Micros, same_address: bool) -> anyhow::Result<()> {
        self.goes = None;
        self.listed.standing = MemberState::Removed;
        self.world.roster.add(now, self.listed.clone());
        self.end_connections();
        self.hub.stop_listening();
        if !same_address {
            self.port = ReservedPort::any()?;
        }
        self.hub.listen(self.port.address(), Wire::Raw)?;
        self.generation += 1;
        self.listed = listed(self.number, self.generation, self.port.address(), now);
        self.world.roster.add(self.world.clock.now(), self.listed.clone());
        Ok(())
    }

    fn notice(&mut self, notice: LoopEvent) {
        match notice {
            LoopEvent::Opened(connection, _) => _ = self.held.insert(connection, Vec::new()),
            LoopEvent::Closed { connection, .. } => {
                self.held.remove(&connection);
                self.answers.retain(|answer| answer.connection != connection);
            }
            LoopEvent::Bytes(connection, bytes) => self.bytes(connection, &bytes),
            _ => {}
        }
    }

    fn bytes(&mut self, connection: Connection, bytes: &[u8]) {
        let came = self.hub.arrived_at();
        let Some(mut held) = self.held.remove(&connection) else { return };
        held.extend_from_slice(bytes);
        loop {
            match decode_command(&mut held) {
                Ok(None) => break,
                Ok(Some(command)) => self.command(connection, came, &command),
                Err(error) => {
                    let what = format!("{}: a command that can't be read: {error}", self.listed.id);
                    return self.world.book.write(|records| records.faults.push(what));
                }
            }
        }
        self.held.insert(connection, held);
    }

    fn command(&mut self, connection: Connection, came: Micros, command: &[Vec<u8>]) {
        let text = |part: usize| String::from_utf8_lossy(command.get(part).map_or(&[], |p| p)).into_owned();
        let (word, id, fields) = (text(0), text(1), text(2));
        match word.as_str() {
            "invoke" => self.invoke(connection, came, id, &fields, command.get(3).map_or(&[], |body| body)),
            "prewarm" => self.prewarm(connection, came, id, &fields),
            "alive" => {
                let word = if self.listed.standing == MemberState::Active { "UP" } else { "DOWN" };
                self.answer_later(0, connection, id, word, "-", b"");
            }
            "abort" => self.answers.retain(|answer| answer.connection != connection || answer.id != id),
            _ => {}
        }
    }

    fn invoke(&mut self, connection: Connection, came: Micros, id: String, fields: &str, body: &[u8]) {
        let of_flood = flood::gateway(&id);
        let request = RequestId::read(&id).filter(|_| of_flood.is_none());
        let Some(gateway) = of_flood.or(request.map(|request| request.gateway)) else {
            let what = format!("{}: a request of nobody: {id}", self.listed.id);
            return self.world.book.write(|records| records.faults.push(what));
        };
        let drawn = self.draw.next_u32() % 100;
        let (word, dealt) = match drawn {
            0..2 => ("BUSY", Dealt::TurnedAway),
            2..4 => ("MISS", Dealt::TurnedAway),
            4 => ("ERR", Dealt::Ran),
            _ => ("OK", Dealt::Ran),
        };
        let patience = field(fields, "patience").and_then(|ms| ms.parse::<Micros>().ok()).unwrap_or(0) * MS;
        let host = self.listed.id.clone();
        let arrival = Arrival { request, gateway, host, at: came, patience, dealt };
        self.world.book.write(|records| records.arrivals.push(arrival));
        let work = match dealt {
            Dealt::TurnedAway => 0,
            Dealt::Ran => WORK + u64::from(self.draw.next_u32()) % WORK_SPREAD,
        };
        self.answer_later(work, connection, id, word, "rivals=1", body);
    }

    fn prewarm(&mut self, connection: Connection, came: Micros, tag: String, fields: &str) {
        let instances = field(fields, "instances").and_then(|text| text.parse::<u32>().ok()).unwrap_or(0);
        // The function's name begins with its gateway's number.
        let gateway = field(fields, "asset").and_then(|key| usize::from_str_radix(key.get(..4)?, 16).ok());
        if let Some(gateway) = gateway.filter(|_| instances > 0) {
            let (host, dealt) = (self.listed.id.clone(), Dealt::Ran);
            let arrival = Arrival { request: None, gateway, host, at: came, patience: 0, dealt };
            self.world.book.write(|records| records.arrivals.push(arrival));
        }
        self.answer_later(20 * MS, connection, tag, "OK", "instances=1", b"");
    }

    fn answer_later(
        &mut self,
        after: Micros,
        connection: Connection,
        id: String,
        word: &str,
        fields: &str,
        body: &[u8],
    ) {
        let mut bytes = Vec::new();
        encode_answer(&mut bytes, &id, word, fields, body);
        self.answers.push(Answer { due: self.world.clock.now() + after, connection, id, bytes });
    }

    fn answer(&mut self, now: Micros) {
        if now < self.hangs_until {
            return;
        }
        let (due, later) =
            std::mem::take(&mut self.answers).into_iter().partition(|answer| answer.due <= now);
        self.answers = later;
        let due: Vec<Answer> = due;
        due.into_iter().for_each(|answer| _ = self.hub.send_bytes(answer.connection, &answer.bytes));
    }
}

fn field<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    fields
        .split(',')
        .find_map(|field| field.split_once('=').filter(|(n, _)| *n == name))
        .map(|(_, value)| value)
}

fn listed(place: usize, generation: u32, address: SocketAddr, started: Micros) -> ListedWorker {
    ListedWorker {
        id: format!("s-{place:02}-{generation:03}"),
        address: address.to_string(),
        zone: "east".into(),
        kind: "std".into(),
        cell: 1,
        standing: MemberState::Active,
        started: started / MS * MS,
    }
}
