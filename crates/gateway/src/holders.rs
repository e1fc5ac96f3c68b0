//! Starts, monitors and restarts acceptor processes, which hold the client connections where the file
//! descriptors of one process are too few.
//!
//! All of them share the listening sockets, which the gateway keeps open as well: when an acceptor exits, its
//! connections are lost, but none that are still in the accept queue. Calls of lost connections are canceled
//! like those of any client that disconnects.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::process::{Child, Command, Stdio};

use cresswheel_admission::ConnectionCounts;
use cresswheel_clients::{ClientLimits, ClientRequest, answer_number, request_number, trunk};
use cresswheel_protocol::{Message, Micros};
use cresswheel_transport::{Connection, EventLoop, LoopEvent, PEER_STALL, Wire};

/// Builds the command that runs an acceptor process; its standard input is set afterwards.
pub type AcceptorCommand = Box<dyn Fn() -> io::Result<Command>>;

/// An acceptor that ran for this long is restarted without a delay.
const STABLE_AFTER: Micros = 10_000_000;
/// Backlog of a trunk, in bytes, above which the gateway stops reading: one of the largest default frames.
const CONGESTED_ABOVE: usize = 4 << 20;
/// Backlog of a trunk, in bytes, below which it reads again.
const CONGESTED_UNTIL: usize = 1 << 20;
/// A process that takes nothing for this long does not make the rest of the gateway wait, until so many times the
/// limit of output waits for it.
const UNRESPONSIVE_AFTER: Micros = 50_000;
const UNRESPONSIVE_LIMITS: usize = 4;
/// How often a congested trunk is looked at while nothing happens.
const CONGESTION_CHECK: Micros = 5_000;
const MIN_RESTART_DELAY: Micros = 50_000;
const MAX_RESTART_DELAY: Micros = 5_000_000;

struct Acceptor {
    /// The socket between the gateway and the acceptor process.
    trunk: Connection,
    child: Child,
    started_at: Micros,
    /// So much waits to be sent to it that the gateway reads no more for it.
    congested: bool,
    /// Reading its requests is paused.
    paused: bool,
    /// Connection and arrival time of the next message on the trunk.
    next_message: Option<(Connection, Micros)>,
    /// The numbers of unanswered requests, by connection.
    unanswered: BTreeMap<Connection, BTreeSet<u64>>,
    counts: ConnectionCounts,
    /// Whether another acceptor process can take more connections: the value that this one was sent last.
    capacity_elsewhere: bool,
}

impl Acceptor {
    /// Updates whether the process is congested. True: workers are to wait for it with their answers. It is closed
    /// if it takes nothing for [`PEER_STALL`] while more than `max_output` waits for it.
    fn check_congestion(&mut self, event_loop: &mut EventLoop, max_output: usize) -> bool {
        let backlog = event_loop.backlog(self.trunk);
        let stalled = event_loop.stalled_for(self.trunk);
        self.congested = backlog > if self.congested { CONGESTED_UNTIL } else { CONGESTED_ABOVE };
        if backlog > max_output && stalled >= PEER_STALL {
            event_loop.close(self.trunk, "the acceptor process does not read");
            return false;
        }
        let is_full = backlog > max_output.saturating_mul(UNRESPONSIVE_LIMITS);
        self.congested && (stalled < UNRESPONSIVE_AFTER || is_full)
    }

    fn pause(&mut self, event_loop: &mut EventLoop, paused: bool) {
        if std::mem::replace(&mut self.paused, paused) != paused {
            event_loop.pause(self.trunk, paused);
        }
    }

    /// Removes a request that was answered or canceled.
    fn remove_unanswered(&mut self, connection: Connection, number: u64) {
        if let Some(unanswered) = self.unanswered.get_mut(&connection) {
            unanswered.remove(&number);
            if unanswered.is_empty() {
                self.unanswered.remove(&connection);
            }
        }
    }
}

/// Holds one acceptor process, or waits to start it.
enum Slot {
    Running(Box<Acceptor>),
    /// When to start the process, and the delay before the next try if that start fails.
    Vacant(Micros, Micros),
}

/// A client connection of any process. The upper bits hold the acceptor's incarnation; 0 is the gateway
/// itself.
pub type ConnectionKey = u64;

/// Position of the incarnation in a [`ConnectionKey`].
const INCARNATION_SHIFT: u32 = 48;

/// An event from an acceptor process.
#[expect(clippy::large_enum_variant, reason = "consumed at once, never stored")]
pub enum AcceptorEvent {
    /// A client's request.
    Request(ConnectionKey, ClientRequest),
    /// The process exited with these connections, which had unanswered requests.
    Exited(Vec<ConnectionKey>),
}

/// The acceptor processes of this gateway.
pub struct Acceptors {
    command: AcceptorCommand,
    listeners: Vec<socket2::Socket>,
    /// There is a second listener, which speaks HTTP; the first one speaks the main protocol, in frames.
    http: bool,
    /// The limits of client connections for each acceptor process: its part of the gateway's limits.
    terms: ClientLimits,
    slots: Vec<Slot>,
    /// The incarnation given to the process started last.
    last_incarnation: u16,
    slots_by_incarnation: BTreeMap<u16, usize>,
    /// Exited or killed, but not yet reaped.
    exited: Vec<Child>,
    draining: bool,
    /// All calls are answered.
    finishing: bool,
    paused: bool,
    /// Answers wait for a process, so that workers are not read.
    congested: bool,
    /// How often answers began to wait for a process.
    pub congestions: u64,
    /// Processes started after an earlier one in their slot had exited, or after a start there had failed.
    pub restarts: u64,
}

fn incarnation(key: ConnectionKey) -> u16 {
    (key >> INCARNATION_SHIFT) as u16
}

/// Whether the gateway process itself holds the connection, not an acceptor.
pub fn is_local(key: ConnectionKey) -> bool {
    incarnation(key) == 0
}

impl Acceptors {
    /// Starts no process yet; [`Acceptors::tick`] does.
    pub fn new(
        command: AcceptorCommand,
        listeners: Vec<socket2::Socket>,
        terms: ClientLimits,
        count: usize,
    ) -> Self {
        Self {
            command,
            http: listeners.len() > 1,
            listeners,
            terms,
            slots: (0..count).map(|_| Slot::Vacant(0, MIN_RESTART_DELAY)).collect(),
            last_incarnation: 0,
            slots_by_incarnation: BTreeMap::new(),
            exited: Vec::new(),
            draining: false,
            finishing: false,
            paused: false,
            congested: false,
            congestions: 0,
            restarts: 0,
        }
    }

    fn running(&self) -> impl Iterator<Item = &Acceptor> {
        self.slots.iter().filter_map(|slot| match slot {
            Slot::Running(acceptor) => Some(&**acceptor),
            Slot::Vacant(..) => None,
        })
    }

    /// The configured number of processes.
    pub fn count(&self) -> usize {
        self.slots.len()
    }

    /// The number of running processes.
    pub fn alive(&self) -> usize {
        self.running().count()
    }

    /// The last counters that each process reported.
    pub fn counts(&self) -> impl Iterator<Item = &ConnectionCounts> {
        self.running().map(|acceptor| &acceptor.counts)
    }

    fn terms_message(&self, event_loop: &EventLoop, capacity_elsewhere: bool) -> Message {
        let (clock, http, finish) = (event_loop.clock().base(), self.http, self.finishing);
        let terms = trunk::AcceptorConfig {
            clock,
            terms: self.terms,
            http,
            room_elsewhere: capacity_elsewhere,
            finish,
        };
        Message::Terms { json: serde_json::to_vec(&terms).unwrap_or_default() }
    }

    /// Sends new terms to all processes.
    pub fn set_terms(&mut self, event_loop: &mut EventLoop, terms: ClientLimits) {
        self.terms = terms;
        self.send_terms(event_loop, true);
    }

    /// Tells each process whether another one has capacity for connections, if that changed or if `all` is
    /// set. A full process closes no connection in favor of a new one while another has capacity; one that is
    /// about to start has its whole capacity.
    fn send_terms(&mut self, event_loop: &mut EventLoop, all: bool) {
        // The limit of one process.
        let max = self.terms.door.connections;
        let has_capacity = |slot: &Slot| match slot {
            Slot::Running(acceptor) => acceptor.counts.connections < max,
            Slot::Vacant(..) => true,
        };
        let has_capacity: Vec<bool> = self.slots.iter().map(has_capacity).collect();
        for at in 0..self.slots.len() {
            let elsewhere = has_capacity.iter().enumerate().any(|(other, has)| other != at && *has);
            let terms_message = self.terms_message(event_loop, elsewhere);
            let Slot::Running(acceptor) = &mut self.slots[at] else { continue };
            if std::mem::replace(&mut acceptor.capacity_elsewhere, elsewhere) != elsewhere || all {
                event_loop.send(acceptor.trunk, &terms_message, None);
            }
        }
    }

    fn broadcast(&self, event_loop: &mut EventLoop, message: &Message) {
        self.running().for_each(|acceptor| _ = event_loop.send(acceptor.trunk, message, None));
    }

    /// Accepts only the connections that are in the accept queue already, and asks all clients to disconnect.
    pub fn drain(&mut self, event_loop: &mut EventLoop) {
        self.draining = true;
        // A listening socket ends, with its accept queue, when the last process closes it. After this, only
        // the processes that accept on it keep it open. When told to drain, each of them accepts all that is
        // queued and then closes it, and so does the last one.
        self.listeners.clear();
        for slot in &mut self.slots {
            if let Slot::Running(acceptor) = slot {
                // Until its next counts: whether it still has connections to ask to leave.
                acceptor.counts.asking = acceptor.counts.connections > 0;
            }
        }
        self.broadcast(event_loop, &Message::Leave {});
    }

    /// Pauses or resumes reading requests. Requests of a congested process wait in any case, because each may
    /// bring another answer.
    pub fn pause(&mut self, event_loop: &mut EventLoop, paused: bool) {
        self.paused = paused;
        for slot in &mut self.slots {
            if let Slot::Running(acceptor) = slot {
                acceptor.pause(event_loop, paused || acceptor.congested);
            }
        }
    }

    /// Makes workers wait with their answers, and processes with their requests, while more waits for a process
    /// than it has taken. A trunk carries the answers of many clients, so it is not closed for its backlog.
    pub fn apply_backpressure(&mut self, event_loop: &mut EventLoop, list: Option<Connection>) {
        let max_output = self.terms.out;
        let mut congested = false;
        for slot in &mut self.slots {
            if let Slot::Running(acceptor) = slot {
                congested |= acceptor.check_congestion(event_loop, max_output);
                acceptor.pause(event_loop, self.paused || acceptor.congested);
            }
        }
        self.congestions += u64::from(congested && !self.congested);
        self.congested = congested;
        event_loop.hold_peers(congested, list);
    }

    /// Called once all calls are answered: each process exits when its connections have ended.
    pub fn finish(&mut self, event_loop: &mut EventLoop) {
        self.finishing = true;
        self.send_terms(event_loop, true);
    }

    /// Starts the processes that are due and reaps those that exited.
    pub fn tick(&mut self, event_loop: &mut EventLoop) {
        self.exited.retain_mut(|child| matches!(child.try_wait(), Ok(None)));
        let now = event_loop.clock().now();
        // `place` is the index of a slot.
        for place in 0..self.slots.len() {
            let Slot::Vacant(at, delay) = self.slots[place] else { continue };
            if at > now || self.draining {
                continue;
            }
            match self.start(event_loop, now) {
                Ok(acceptor) => {
                    self.slots_by_incarnation.insert(self.last_incarnation, place);
                    self.restarts += u64::from(at > 0);
                    tracing::info!(place, process = acceptor.child.id(), "acceptor process started");
                    self.slots[place] = Slot::Running(Box::new(acceptor));
                }
                Err(error) => {
                    tracing::error!(%error, "acceptor process could not be started");
                    self.slots[place] = Slot::Vacant(now + delay, (delay * 2).min(MAX_RESTART_DELAY));
                }
            }
        }
    }

    fn start(&mut self, event_loop: &mut EventLoop, now: Micros) -> io::Result<Acceptor> {
        let (ours, theirs) = UnixStream::pair()?;
        trunk::send_listeners(&ours, &self.listeners)?;
        let mut command = (self.command)()?;
        command.stdin(Stdio::from(OwnedFd::from(theirs))).stdout(Stdio::null());
        let child = command.spawn()?;
        let trunk = event_loop.adopt(ours.into(), Wire::Frames)?;
        let capacity_elsewhere = self.slots.len() > 1;
        let terms_message = self.terms_message(event_loop, capacity_elsewhere);
        event_loop.send(trunk, &terms_message, None);
        // Incarnations repeat after 65,535 starts; skip those of processes that still run.
        loop {
            self.last_incarnation = self.last_incarnation.wrapping_add(1).max(1);
            if !self.slots_by_incarnation.contains_key(&self.last_incarnation) {
                break;
            }
        }
        let counts = ConnectionCounts::default();
        Ok(Acceptor {
            trunk,
            child,
            started_at: now,
            congested: false,
            paused: false,
            next_message: None,
            unanswered: BTreeMap::new(),
            counts,
            capacity_elsewhere,
        })
    }

    /// When [`Acceptors::tick`] is due next.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        let starts = self.slots.iter().filter_map(|slot| match slot {
            Slot::Vacant(at, _) if !self.draining => Some(*at),
            _ => None,
        });
        let reaping = (!self.exited.is_empty()).then_some(now + MIN_RESTART_DELAY);
        // A process that takes nothing causes no event.
        let is_congested = self.running().any(|acceptor| acceptor.congested);
        let congestion = is_congested.then_some(now + CONGESTION_CHECK);
        starts.chain(reaping).chain(congestion).min()
    }

    fn slot_of(&self, trunk: Connection) -> Option<(u16, usize)> {
        let is_trunk = |slot: usize| matches!(&self.slots[slot], Slot::Running(a) if a.trunk == trunk);
        self.slots_by_incarnation
            .iter()
            .map(|(incarnation, slot)| (*incarnation, *slot))
            .find(|(_, slot)| is_trunk(*slot))
    }

    /// Whether this is the trunk of a running process.
    pub fn is_trunk(&self, connection: Connection) -> bool {
        self.slot_of(connection).is_some()
    }

    /// Handles a notice of a trunk.
    pub fn handle_notice(&mut self, event_loop: &mut EventLoop, notice: LoopEvent) -> Option<AcceptorEvent> {
        match notice {
            LoopEvent::Message(connection, message) => {
                let (incarnation, slot) = self.slot_of(connection)?;
                let counts = matches!(message, Message::Counts { .. });
                let from = self.handle_message(incarnation, slot, message);
                if counts {
                    self.send_terms(event_loop, false);
                }
                from
            }
            LoopEvent::Closed { connection, why, .. } => {
                let (incarnation, slot) = self.slot_of(connection)?;
                Some(self.handle_exit(event_loop, incarnation, slot, &why))
            }
            _ => None,
        }
    }

    fn handle_message(&mut self, incarnation: u16, slot: usize, message: Message) -> Option<AcceptorEvent> {
        let Slot::Running(acceptor) = &mut self.slots[slot] else { return None };
        match message {
            // Names the connection of the next message, and the earliest time at which it can have arrived.
            Message::Of { connection, came } => acceptor.next_message = Some((connection, came)),
            Message::Counts { json } => {
                acceptor.counts = serde_json::from_slice(&json).unwrap_or_default();
                // These may have been counted before the process received `Leave`: then it has asked no
                // connection to leave yet, and `asking` (some are still to be asked) is false by mistake.
                acceptor.counts.asking |=
                    self.draining && acceptor.counts.asked == 0 && acceptor.counts.connections > 0;
            }
            message => {
                let (connection, came) = acceptor.next_message.take()?;
                match &message {
                    Message::Cancel { number } => acceptor.remove_unanswered(connection, *number),
                    Message::Bye { .. } => _ = acceptor.unanswered.remove(&connection),
                    asked => {
                        if let Some(number) = request_number(asked) {
                            acceptor.unanswered.entry(connection).or_default().insert(number);
                        }
                    }
                }
                let key = u64::from(incarnation) << INCARNATION_SHIFT | connection;
                return Some(AcceptorEvent::Request(key, ClientRequest { connection, came, message }));
            }
        }
        None
    }

    fn handle_exit(
        &mut self,
        event_loop: &EventLoop,
        incarnation: u16,
        slot: usize,
        why: &str,
    ) -> AcceptorEvent {
        self.slots_by_incarnation.remove(&incarnation);
        let now = event_loop.clock().now();
        let acceptor = std::mem::replace(&mut self.slots[slot], Slot::Vacant(now, MIN_RESTART_DELAY));
        let Slot::Running(mut acceptor) = acceptor else { return AcceptorEvent::Exited(Vec::new()) };
        if !self.draining {
            // `held`: the connections that it reported last.
            let (process, held) = (acceptor.child.id(), acceptor.counts.connections);
            tracing::warn!(process, held, %why, "acceptor process exited");
        }
        // The gateway sees only that the trunk was closed. The process may still run, for example after an
        // error on the trunk, but without the trunk it is of no use.
        let _ = acceptor.child.kill();
        let delay = if acceptor.started_at + STABLE_AFTER < now { 0 } else { MIN_RESTART_DELAY };
        self.slots[slot] = Slot::Vacant(now + delay, MIN_RESTART_DELAY * 2);
        self.exited.push(acceptor.child);
        AcceptorEvent::Exited(
            acceptor
                .unanswered
                .into_keys()
                .map(|c| u64::from(incarnation) << INCARNATION_SHIFT | c)
                .collect(),
        )
    }

    /// Sends a message for a client to the process that holds its connection.
    pub fn reply(&mut self, event_loop: &mut EventLoop, key: ConnectionKey, message: &Message) {
        let Some(slot) = self.slots_by_incarnation.get(&incarnation(key)) else { return };
        let Slot::Running(acceptor) = &mut self.slots[*slot] else { return };
        let connection = key & ((1 << INCARNATION_SHIFT) - 1);
        answer_number(message).into_iter().for_each(|number| acceptor.remove_unanswered(connection, number));
        // The time of arrival has a meaning only in the other direction, so it is 0.
        event_loop.send(acceptor.trunk, &Message::Of { connection, came: 0 }, None);
        event_loop.send(acceptor.trunk, message, None);
    }
}
