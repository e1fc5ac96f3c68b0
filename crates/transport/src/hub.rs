//! Connections and the loop that drives them; how connections come about, back-pressure, listeners and datagram
//! sockets have their own modules.

use std::collections::{BTreeSet, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop as PollLoop, Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use cresswheel_protocol::{Decoder, Limits, Message, Micros, encode, http};
use slab::Slab;
use socket2::Socket;

mod backpressure;
mod connecting;
mod datagrams;
mod listeners;
mod sleep;

pub use backpressure::PEER_STALL;
pub use listeners::listener;
use listeners::{ACCEPT_AT_ONCE, Listener};
use sleep::Sleep;

use crate::Clock;
use crate::out::{OutputBuffer, Sent};
use crate::watch::{MAX_EVENTS, PollEvent, PollInterest, Poller, Readiness};

/// Identifies a connection by its slot (20 bits) and a serial number (28 bits), so that an id is not reused
/// before 268 million others. The upper 16 bits are 0, for programs that combine several hubs.
pub type Connection = u64;

const SLOT_BITS: u32 = 20;
const SERIAL_COUNT: u32 = 1 << 28;

/// The slot of a connection: a small, dense, reused index for tables beside the hub's.
pub fn slot(connection: Connection) -> usize {
    (connection & ((1 << SLOT_BITS) - 1)) as usize
}

fn connection_id(serial: u32, slot: usize) -> Connection {
    u64::from(serial) << SLOT_BITS | slot as u64
}

/// Limits of a hub.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventLoopLimits {
    /// Limits of frames on accepted connections; see [`Limits::for_peers`] for all others.
    pub frame: Limits,
    /// Limits of HTTP requests.
    pub http: http::Limits,
    /// Maximum output backlog of a connection, in bytes. Beyond it an accepted connection is closed, and one that
    /// this side opened is closed if its peer has taken nothing for [`PEER_STALL`]. It does not apply to adopted
    /// ones.
    pub max_output: usize,
    /// Maximum number of accepted connections; further ones are closed at once.
    pub accepted: usize,
}

impl Default for EventLoopLimits {
    fn default() -> Self {
        let (frame, http) = (Limits::default(), http::Limits::default());
        Self { frame, http, max_output: 64 << 20, accepted: 10_000 }
    }
}

/// The protocol of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wire {
    /// The main protocol.
    Frames,
    /// HTTP/1.1, server side.
    Http,
    /// Bytes that the hub doesn't interpret.
    Raw,
}

/// An event.
#[derive(Debug)]
pub enum LoopEvent {
    /// A listener (by the number that `listen` returned) accepted a connection.
    Opened(Connection, u32),
    /// A connection opened by this side is established.
    Connected(Connection),
    /// A message was received.
    Message(Connection, Message),
    /// Bytes were received.
    Bytes(Connection, Vec<u8>),
    /// A request was received.
    Request(Connection, http::Request),
    /// Malformed bytes were received; answer and close.
    BadRequest(Connection, http::HttpError),
    /// Bytes were received, and this many are buffered of an incomplete frame or request. Reported only for
    /// accepted connections, and only if enabled with [`EventLoop::report_partial_messages`].
    PartialMessage(Connection, usize),
    /// The output backlog of a paused connection, or of one marked by [`EventLoop::report_flushed`], is written.
    Flushed(Connection),
    /// A connection ended, or could not be established.
    Closed {
        /// The connection.
        connection: Connection,
        /// Whether it was accepted by a listener.
        is_inbound: bool,
        /// Whether it was never established.
        never_stood: bool,
        /// Marks of the frames of which no byte was sent.
        unsent: Vec<u64>,
        /// The reason, as text.
        why: String,
    },
    /// A datagram was received on this socket ([`EventLoop::datagrams`]).
    Datagram(usize, Vec<u8>),
    /// A signal was received.
    Signal(Signal),
}

/// How a connection came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// Accepted by a listener.
    Accepted,
    /// Opened by this side.
    Connected,
    /// Adopted: the other end is a process of the same program.
    Adopted,
}

enum Decode {
    Frames(Decoder),
    Http(http::Decoder),
    Raw(Vec<u8>),
}

/// State of an active connection; an idle one has none.
struct ActiveState {
    decode: Decode,
    out: OutputBuffer,
    /// Deadline for the connection to be established, or for the peer to close it.
    deadline: Option<Micros>,
    /// When the kernel last took output, or when output first waited since.
    last_progress: Micros,
}

impl ActiveState {
    fn is_idle(&self) -> bool {
        let decoded = match &self.decode {
            Decode::Frames(decoder) => decoder.is_idle(),
            Decode::Http(decoder) => decoder.is_idle(),
            Decode::Raw(bytes) => bytes.is_empty(),
        };
        decoded && self.out.is_empty() && self.deadline.is_none()
    }
}

/// A connection. Kept small, as most are idle.
struct Conn {
    socket: Socket,
    serial: u32,
    wire: Wire,
    origin: Origin,
    /// The connection is not established yet.
    connecting: bool,
    /// All output is written and the write side is shut down. The peer may still be writing and is read, so
    /// that a reset doesn't destroy the last answer.
    lingering: bool,
    readable: bool,
    writable: bool,
    paused: bool,
    /// It has input that is left unread until [`EventLoop::hold_peers`] or [`EventLoop::hold`] ends.
    held: bool,
    notify_flushed: bool,
    close_when_flushed: bool,
    /// Queued for the next iteration.
    queued: bool,
    /// The events that it is polled for.
    interest: PollInterest,
    /// The earliest time at which the next bytes read can have arrived.
    earliest_arrival: Micros,
    /// The peer closed it or it failed: the end follows the bytes that can still be read.
    ended: bool,
    /// All received bytes were read and it is polled for more: the next bytes arrived after the last poll.
    drained: bool,
    /// All received bytes were read at this time; 0: never. Not set by a large read, as more may follow it at once.
    read_to_end_at: Micros,
    /// When it was last read.
    last_read: Micros,
    /// Messages that were received are left to decode, in a later iteration.
    undecoded: bool,
    active: Option<Box<ActiveState>>,
}

impl Conn {
    fn is_accepted(&self) -> bool {
        self.origin == Origin::Accepted
    }

    /// Whether received bytes are to be read.
    fn wants_input(&self) -> bool {
        let wanted = self.lingering || (!self.paused && !self.held && !self.close_when_flushed);
        !self.connecting && wanted
    }

    fn can_read(&self) -> bool {
        self.readable && self.wants_input()
    }

    /// The events to poll for. The end of a paused connection is reported: its client no longer waits for its
    /// answers.
    fn poll_interest(&self) -> PollInterest {
        let end = self.paused && !self.connecting && !self.close_when_flushed;
        PollInterest { read: self.wants_input(), write: !self.writable, end }
    }

    fn active(&mut self, limits: &EventLoopLimits) -> &mut ActiveState {
        self.active.get_or_insert_with(|| {
            let decode = match self.wire {
                Wire::Frames if self.origin == Origin::Accepted => Decode::Frames(Decoder::new(limits.frame)),
                Wire::Frames => Decode::Frames(Decoder::new(limits.frame.for_peers())),
                Wire::Http => Decode::Http(http::Decoder::new(limits.http)),
                Wire::Raw => Decode::Raw(Vec::new()),
            };
            Box::new(ActiveState { decode, out: OutputBuffer::default(), deadline: None, last_progress: 0 })
        })
    }

    /// Whether output is left for a later iteration, given whether own connections may be written.
    fn has_output_left(&self, write: bool) -> bool {
        let ends = self.close_when_flushed && !self.lingering;
        let writes = self.writable && !self.connecting && (self.unsent() > 0 || ends);
        !self.is_accepted() && writes && !write
    }

    fn unsent(&self) -> usize {
        self.active.as_ref().map_or(0, |active| active.out.len())
    }

    fn deadline(&self) -> Option<Micros> {
        self.active.as_ref().and_then(|active| active.deadline)
    }
}

/// Which connections are written in an iteration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteScope {
    /// Accepted connections, and the program's own until this time.
    Until(Micros),
    /// Accepted connections only.
    AcceptedOnly,
}

impl WriteScope {
    fn allows_own(self, now: Micros) -> bool {
        matches!(self, Self::Until(end) if now <= end)
    }

    /// The latest time at which a byte can have been sent on own connections, in an iteration that ended at
    /// `over`.
    fn latest(self, over: Micros) -> Micros {
        match self {
            Self::Until(end) => end.min(over),
            Self::AcceptedOnly => over,
        }
    }
}

/// Bytes read from one connection at once.
const READ_CHUNK: usize = 64 << 10;
/// After a read of this size more may follow at once: the sender's window was full and opens with the read.
const LARGE_READ: usize = READ_CHUNK / 2;
/// Maximum reads at once of a connection that the peer has closed.
const MAX_FINAL_READS: u32 = 4;
/// How long a finished connection waits for the peer to close.
const LINGER: Micros = 500_000;
const FINISHED: &str = "finished";
/// What a connection sent is read up to the last poll, or to this long before it where a poll did not find all.
const MAX_INPUT_AGE: Micros = 50_000;
/// Messages of an accepted connection that are delivered in one iteration, so that a connection with many leaves the
/// others their turn.
const MESSAGES_PER_TURN: usize = 32;
const OUTPUT_LIMIT: &str = "too much waits to be written";
/// Close reason of a connection that the peer ended in good order.
pub const ENDED: &str = "closed by the other side";
/// Maximum interval between checks for signals, however busy the sockets are.
const MAX_LOOP_INTERVAL: Micros = 5_000;

#[derive(Default)]
struct ReceivedSignals {
    signals: Vec<Signal>,
}

/// Listeners, connections and the loop that drives them.
pub struct EventLoop {
    event_loop: PollLoop<'static, ReceivedSignals>,
    handle: LoopHandle<'static, ReceivedSignals>,
    limits: EventLoopLimits,
    clock: Clock,
    conns: Slab<Conn>,
    serial: u32,
    accepted: usize,
    listeners: Vec<Listener>,
    datagrams: Slab<UdpSocket>,
    /// Accepted sockets and listeners.
    accepted_poller: Poller,
    accepted_source: RegistrationToken,
    /// Sockets that this side opened or adopted.
    own_poller: Poller,
    /// Accepted connections are left waiting in the kernel.
    accepted_paused: bool,
    /// While [`EventLoop::hold_peers`] is in force: the connections that have unread input.
    held_peers: Option<Vec<Connection>>,
    /// A connection that is read all the same.
    hold_exempt: Option<Connection>,
    report_incomplete: bool,
    accept_at_once: usize,
    last_event_loop: Micros,
    accept_resume_at: Option<Micros>,
    /// Connections to read or write in the next iteration.
    ready_queue: Vec<Connection>,
    /// When accepted connections were polled last, and when a poll last found all that had input.
    last_polled: Micros,
    last_complete_poll: Micros,
    /// A poll of accepted connections goes on until it has found all that have input.
    polls_to_end: bool,
    /// Maximum age of the last poll at which output is sent on own connections.
    write_window: Option<Micros>,
    /// The last call of `wait` sent nothing on own connections, as the last poll was too old.
    write_skipped: bool,
    /// When own connections were written last.
    last_write: Micros,
    /// Deadlines of connecting and lingering connections.
    deadlines: BTreeSet<(Micros, Connection)>,
    notices: VecDeque<(Micros, LoopEvent)>,
    notice_arrival: Micros,
    poll_events: Vec<(Micros, PollEvent)>,
    scratch: Vec<u8>,
    /// How often accepting paused for lack of descriptors.
    pub starved: u64,
    /// Connections closed at once because of the connection limit.
    pub turned_away: u64,
}

fn source(handle: &LoopHandle<'static, ReceivedSignals>, poller: &Poller) -> io::Result<RegistrationToken> {
    let source = Generic::new(poller.fd()?, Interest::READ, Mode::Level);
    handle.insert_source(source, |_, _, _| Ok(PostAction::Continue)).map_err(|e| io::Error::other(e.error))
}

impl EventLoop {
    /// Creates a hub without connections.
    pub fn new(limits: EventLoopLimits) -> io::Result<Self> {
        Self::with_clock(limits, Clock::default())
    }

    fn with_clock(limits: EventLoopLimits, clock: Clock) -> io::Result<Self> {
        let event_loop = PollLoop::try_new().map_err(io::Error::other)?;
        let handle = event_loop.handle();
        let now = clock.now();
        let (accepted_poller, own_poller) = (Poller::new(now)?, Poller::new(now)?);
        let accepted_source = source(&handle, &accepted_poller)?;
        source(&handle, &own_poller)?;
        Ok(Self {
            event_loop,
            handle,
            limits,
            clock,
            conns: Slab::new(),
            serial: 0,
            accepted: 0,
            listeners: Vec::new(),
            datagrams: Slab::new(),
            accepted_poller,
            accepted_source,
            own_poller,
            accepted_paused: false,
            held_peers: None,
            hold_exempt: None,
            report_incomplete: false,
            accept_at_once: ACCEPT_AT_ONCE,
            last_event_loop: 0,
            accept_resume_at: None,
            ready_queue: Vec::new(),
            last_polled: now,
            last_complete_poll: 0,
            polls_to_end: false,
            write_window: None,
            write_skipped: false,
            last_write: now,
            deadlines: BTreeSet::new(),
            notices: VecDeque::new(),
            notice_arrival: now,
            poll_events: Vec::new(),
            scratch: vec![0; READ_CHUNK],
            starved: 0,
            turned_away: 0,
        })
    }

    /// The hub's clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Uses another process's clock from now on.
    pub fn set_clock(&mut self, clock: Clock) {
        let now = clock.now();
        self.clock = clock;
        self.last_event_loop = 0;
        (self.own_poller.drained, self.accepted_poller.drained) = (now, now);
    }

    /// Changes the limits; partly read frames keep the old ones.
    pub fn set_limits(&mut self, limits: EventLoopLimits) {
        self.limits = limits;
    }

    /// Reports signals as notices. Must be called before other threads start.
    pub fn signals(&mut self, signals: &[Signal]) -> io::Result<()> {
        let source = Signals::new(signals).map_err(io::Error::other)?;
        let events = |event: calloop::signals::Event, (): &mut (), received_signals: &mut ReceivedSignals| {
            received_signals.signals.push(event.signal());
        };
        self.handle.insert_source(source, events).map_err(|e| io::Error::other(e.error))?;
        Ok(())
    }

    /// Limits output on own connections to `span` after the last poll of the sockets: after a longer
    /// iteration, or a pause of the process, the program first receives what happened meanwhile. At most one
    /// call of [`EventLoop::wait`] in a row holds output back, so a program whose iterations are all longer makes
    /// progress.
    pub fn leave_within(&mut self, span: Micros) {
        self.write_window = Some(span);
    }

    /// Enables [`LoopEvent::PartialMessage`].
    pub fn report_partial_messages(&mut self) {
        self.report_incomplete = true;
    }

    /// Leaves all accepted and new connections waiting in the kernel, or resumes them. Output to them waits
    /// too, unless it can be written at once.
    pub fn pause_inbound(&mut self, paused: bool) {
        if self.accepted_paused == paused {
            return;
        }
        self.accepted_paused = paused;
        let done = match paused {
            true => self.handle.disable(&self.accepted_source),
            false => self.handle.enable(&self.accepted_source),
        };
        if let Err(error) = done {
            tracing::error!(%error, "cannot pause or resume accepted connections");
        }
    }

    fn get_mut(&mut self, id: Connection) -> Option<&mut Conn> {
        self.conns.get_mut(slot(id)).filter(|c| connection_id(c.serial, slot(id)) == id)
    }

    fn get_ref(&self, id: Connection) -> Option<&Conn> {
        self.conns.get(slot(id)).filter(|c| connection_id(c.serial, slot(id)) == id)
    }

    fn notify(&mut self, notice: LoopEvent) {
        self.notify_since(self.clock.now(), notice);
    }

    fn notify_since(&mut self, since: Micros, notice: LoopEvent) {
        self.notices.push_back((since, notice));
    }

    /// Queues a connection for the next iteration.
    fn enqueue(&mut self, id: Connection) {
        if let Some(conn) = self.get_mut(id)
            && !std::mem::replace(&mut conn.queued, true)
        {
            self.ready_queue.push(id);
        }
    }

    /// Whether a connection is still open.
    pub fn is_open(&self, id: Connection) -> bool {
        self.get_ref(id).is_some()
    }

    /// The number of open connections.
    pub fn connections(&self) -> usize {
        self.conns.len()
    }

    /// The address of the peer.
    pub fn peer(&self, id: Connection) -> Option<SocketAddr> {
        self.get_ref(id)?.socket.peer_addr().ok()?.as_socket()
    }

    /// The output backlog of a connection, in bytes.
    pub fn backlog(&self, id: Connection) -> usize {
        self.get_ref(id).map_or(0, Conn::unsent)
    }

    /// Whether a frame or request is partly received.
    pub fn has_partial_message(&self, id: Connection) -> bool {
        self.buffered_bytes(id) > 0
    }

    /// Bytes buffered of an incomplete frame or request; at least one if there is one.
    fn buffered_bytes(&self, id: Connection) -> usize {
        match self.get_ref(id).and_then(|conn| conn.active.as_ref()).map(|active| &active.decode) {
            Some(Decode::Frames(decoder)) => decoder.buffered_len(),
            Some(Decode::Http(decoder)) => {
                decoder.buffered_len().max(usize::from(decoder.has_partial_request()))
            }
            Some(Decode::Raw(_)) | None => 0,
        }
    }

    /// Sends a message; [`EventLoop::sent`] tells by the mark whether it was sent. False if the connection is
    /// closed.
    pub fn send(&mut self, id: Connection, message: &Message, mark: Option<u64>) -> bool {
        self.write(id, mark, |buffer| encode(message, buffer))
    }

    /// Sends raw bytes.
    pub fn send_bytes(&mut self, id: Connection, bytes: &[u8]) -> bool {
        self.write(id, None, |buffer| buffer.extend_from_slice(bytes))
    }

    /// Sends the output of `write` as one frame; [`EventLoop::sent`] tells by the mark whether it was sent.
    pub fn write(&mut self, id: Connection, mark: Option<u64>, write: impl FnOnce(&mut Vec<u8>)) -> bool {
        let (now, limits) = (self.clock.now(), self.limits);
        let Some(conn) = self.get_mut(id).filter(|c| !c.close_when_flushed) else { return false };
        let active = conn.active(&limits);
        if active.out.is_empty() {
            active.last_progress = now;
        }
        let out = &mut active.out;
        out.push(mark, write);
        if out.len() > limits.max_output && self.is_over_limit(id) {
            self.close(id, OUTPUT_LIMIT);
            return false;
        }
        self.enqueue(id);
        true
    }

    /// Withdraws a marked frame if no byte of it was sent.
    pub fn cancel_unsent(&mut self, id: Connection, mark: u64) -> bool {
        self.get_mut(id).and_then(|conn| conn.active.as_mut()).is_some_and(|active| active.out.withdraw(mark))
    }

    /// How much of a marked frame was sent.
    pub fn sent(&self, id: Connection, mark: u64) -> Sent {
        let active = self.get_ref(id).and_then(|conn| conn.active.as_ref());
        active.map_or(Sent::Whole, |active| active.out.sent(mark))
    }

    /// Pauses or resumes reading a connection, which makes its sender wait.
    pub fn pause(&mut self, id: Connection, paused: bool) {
        let polled = [self.own_poller.drained, self.accepted_poller.drained];
        if let Some(conn) = self.get_mut(id) {
            conn.paused = paused;
            conn.readable |= !paused;
            // More may have arrived since the last poll, for however long the process stood still.
            if std::mem::take(&mut conn.drained) {
                conn.earliest_arrival = polled[usize::from(conn.is_accepted())];
            }
            self.enqueue(id);
        }
    }

    /// Requests [`LoopEvent::Flushed`] once the output backlog of a connection is written, whether it is paused
    /// or not.
    pub fn report_flushed(&mut self, id: Connection) {
        self.get_mut(id).into_iter().for_each(|conn| conn.notify_flushed = true);
    }

    /// Reads a connection. True if nothing was received and no notice of it is pending, so that closing it
    /// loses nothing that the peer sent. Closing with unread bytes would lose them and reset the connection.
    pub fn is_quiet(&mut self, id: Connection) -> bool {
        self.get_mut(id).into_iter().for_each(|conn| conn.readable = true);
        self.read_available(id);
        let concerns = |notice: &LoopEvent| match notice {
            LoopEvent::Message(of, _) | LoopEvent::Bytes(of, _) | LoopEvent::Request(of, _) => *of == id,
            LoopEvent::BadRequest(of, _) | LoopEvent::Closed { connection: of, .. } => *of == id,
            LoopEvent::Opened(..)
            | LoopEvent::Connected(_)
            | LoopEvent::PartialMessage(..)
            | LoopEvent::Flushed(_) => false,
            LoopEvent::Datagram(..) | LoopEvent::Signal(_) => false,
        };
        let is_decoded = self.get_ref(id).is_none_or(|conn| !conn.undecoded);
        is_decoded && !self.notices.iter().any(|(_, notice)| concerns(notice))
    }

    /// Closes a connection once its output is written. Its only further notice is `Closed`.
    pub fn finish(&mut self, id: Connection) {
        if let Some(conn) = self.get_mut(id) {
            conn.close_when_flushed = true;
            self.enqueue(id);
        }
    }

    /// Closes a connection at once.
    pub fn close(&mut self, id: Connection, why: &str) {
        if self.get_mut(id).is_none() {
            return;
        }
        let conn = self.conns.remove(slot(id));
        conn.deadline().into_iter().for_each(|due| _ = self.deadlines.remove(&(due, id)));
        if conn.is_accepted() {
            self.accepted -= 1;
            self.accepted_poller.remove(&conn.socket);
        } else {
            self.own_poller.remove(&conn.socket);
        }
        let (guest, never_stood, why) = (conn.is_accepted(), conn.connecting, why.to_owned());
        let unsent = conn.active.map_or_else(Vec::new, |active| active.out.unsent());
        self.notify(LoopEvent::Closed { connection: id, is_inbound: guest, never_stood, unsent, why });
    }

    /// Writes pending output, then waits for events, until `until` at the latest.
    ///
    /// Output that becomes possible on own connections meanwhile is written by the next call: before that,
    /// the program sees what its clients sent and may withdraw unsent frames. See [`EventLoop::leave_within`].
    pub fn wait(&mut self, until: Option<Micros>) -> io::Result<()> {
        let scope = self.write_scope();
        self.process_ready(scope);
        self.last_write = scope.latest(self.clock.now());
        // What is ready before any sleep became so since the last poll; what ends the sleep arrived then.
        let mut found = self.poll()?;
        let now = self.clock.now();
        if found == 0 || now.saturating_sub(self.last_event_loop) > MAX_LOOP_INTERVAL {
            let timers = self.deadlines.first().map(|(at, _)| *at).into_iter().chain(self.accept_resume_at);
            let until = until.into_iter().chain(timers).min();
            let busy =
                found > 0 || !self.notices.is_empty() || !self.ready_queue.is_empty() || self.accepting();
            let timeout = match until {
                _ if busy => Some(Duration::ZERO),
                Some(at) => Some(Duration::from_micros(at.saturating_sub(now))),
                None => None,
            };
            let mut received_signals = ReceivedSignals::default();
            match self.event_loop.dispatch(timeout, &mut received_signals) {
                Err(calloop::Error::IoError(e)) if e.kind() == ErrorKind::Interrupted => {}
                other => other.map_err(io::Error::other)?,
            }
            let woke = self.clock.now();
            self.last_event_loop = woke;
            received_signals.signals.into_iter().for_each(|signal| self.notify(LoopEvent::Signal(signal)));
            let sleep = Sleep { polled: self.last_polled, began: now, until, woke };
            if found == 0 && !busy && !sleep.was_interrupted() {
                self.own_poller.idle_until(woke);
                if !self.accepted_paused {
                    self.accepted_poller.idle_until(woke);
                    self.listeners
                        .iter_mut()
                        .filter(|l| !l.paused && !l.ready)
                        .for_each(|l| l.idle_until(woke));
                }
            }
            if found == 0 {
                found = self.poll()?;
            }
        }
        let mut events = std::mem::take(&mut self.poll_events);
        if found > 0 {
            events.drain(..).for_each(|(since, what)| self.handle_event(since, what));
        }
        self.poll_events = events;
        let now = self.clock.now();
        if self.accept_resume_at.is_some_and(|at| at <= now) {
            self.pause_accepting(None);
        }
        if self.accept_resume_at.is_none() && !self.accepted_paused {
            (0..self.listeners.len()).for_each(|number| self.accept(number));
        }
        self.process_ready(WriteScope::AcceptedOnly);
        // Only after polling: a connection established in time is not closed because of a late check.
        while let Some((_, id)) = self.deadlines.first().filter(|(at, _)| *at <= now).copied() {
            let lingered = self.get_mut(id).is_some_and(|conn| conn.lingering);
            self.close(id, if lingered { FINISHED } else { "no connection in time" });
        }
        Ok(())
    }

    /// The latest time at which [`EventLoop::wait`] can have written to own connections. With
    /// [`EventLoop::leave_within`], a process that is paused within an iteration writes nothing to them afterwards.
    pub fn wrote(&self) -> Micros {
        self.last_write
    }

    /// Until when own connections may be written in this iteration.
    fn write_scope(&mut self) -> WriteScope {
        let Some(span) = self.write_window else { return WriteScope::Until(Micros::MAX) };
        let end = self.last_polled.saturating_add(span);
        self.write_skipped = !self.write_skipped && end < self.clock.now();
        match (self.write_skipped, end < self.clock.now()) {
            (true, _) => WriteScope::AcceptedOnly,
            (false, true) => WriteScope::Until(Micros::MAX),
            (false, false) => WriteScope::Until(end),
        }
    }

    /// Has every poll find all accepted connections with input, however many, so that
    /// [`EventLoop::is_read_to_end`] soon holds for one on which nothing has come.
    pub fn poll_to_end(&mut self) {
        self.polls_to_end = true;
    }

    /// Whether all that a connection had sent by the last poll of the sockets was read and is delivered by
    /// [`EventLoop::next_event`], its end included.
    pub fn is_read_to_end(&self, id: Connection) -> bool {
        let Some(conn) = self.get_ref(id) else { return false };
        let has_input = conn.readable || conn.ended || conn.paused || conn.held || conn.undecoded;
        // After a large read more may have come at once; only a later poll tells.
        let is_known = conn.read_to_end_at >= conn.last_read || self.last_complete_poll > conn.last_read;
        let read_up_to = conn.read_to_end_at.max(self.last_complete_poll);
        !has_input && is_known && read_up_to.saturating_add(MAX_INPUT_AGE) >= self.last_polled
    }

    fn poll_accepted(&mut self, now: Micros, events: &mut Vec<(Micros, PollEvent)>) -> io::Result<usize> {
        if self.accepted_paused {
            return Ok(0);
        }
        self.last_polled = now;
        let mut found = 0;
        // Each poll returns other sockets than the one before, as long as there are others.
        let polls = if self.polls_to_end { self.accepted / MAX_EVENTS + 2 } else { 1 };
        for poll in 1..=polls {
            let count = self.accepted_poller.poll(now, events)?;
            found += count;
            if count < MAX_EVENTS || self.polls_to_end && poll == polls {
                self.last_complete_poll = now;
            }
            if count < MAX_EVENTS {
                break;
            }
        }
        Ok(found)
    }

    /// Polls the sockets without blocking, the program's own first.
    fn poll(&mut self) -> io::Result<usize> {
        let now = self.clock.now();
        let mut events = std::mem::take(&mut self.poll_events);
        let own = self.own_poller.poll(now, &mut events);
        // The end of a connection is reported even while accepted connections are paused: its client no
        // longer waits for its answers.
        let accepted = match self.accepted_paused {
            true => {
                self.last_polled = now;
                self.accepted_poller.poll_hangups(now, &mut events)
            }
            false => self.poll_accepted(now, &mut events),
        };
        self.poll_events = events;
        Ok(own? + accepted?)
    }

    fn handle_event(&mut self, since: Micros, what: PollEvent) {
        let (id, Readiness { readable, writable, ended, broken }) = match what {
            PollEvent::Connection(id, ready) => (id, ready),
            PollEvent::Listener(number) => {
                self.listeners.get_mut(number).into_iter().for_each(|listener| listener.ready = true);
                return;
            }
            PollEvent::Datagrams(number) => return self.read_datagrams(number),
        };
        let Some(conn) = self.get_mut(id) else { return };
        // What it sent before it ended is read now.
        if broken && std::mem::take(&mut conn.held) {
            conn.ended = true;
            return self.enqueue(id);
        }
        if !conn.interest.read && (broken || conn.interest.end && ended) && !conn.connecting {
            // Not polled for input, so this is the end: the peer closed the connection or it failed.
            return self.close(id, "hung up");
        }
        if std::mem::take(&mut conn.drained) {
            conn.earliest_arrival = since;
        }
        conn.readable |= readable;
        conn.writable |= writable;
        conn.ended |= ended;
        self.enqueue(id);
    }

    /// The next event.
    pub fn next_event(&mut self) -> Option<LoopEvent> {
        let (since, notice) = self.notices.pop_front()?;
        self.notice_arrival = since;
        Some(notice)
    }

    /// The earliest time at which the bytes behind the last taken notice can have arrived at this machine: a
    /// busy program, or one that pauses accepted connections, reads them later.
    pub fn arrived_at(&self) -> Micros {
        self.notice_arrival
    }

    /// Reads and writes all queued connections.
    fn process_ready(&mut self, write: WriteScope) {
        for id in std::mem::take(&mut self.ready_queue) {
            let Some(conn) = self.get_mut(id) else { continue };
            conn.queued = false;
            // Evaluated for each connection: the process may be paused between two.
            let own = write.allows_own(self.clock.now());
            self.write_pending(id, own);
            self.hold_if_peer(id);
            self.read_available(id);
            if self.get_ref(id).is_some_and(|conn| conn.has_output_left(own)) {
                self.enqueue(id);
            }
            self.update_interest(id);
        }
    }

    /// Updates the polled events of a connection, and frees the state of an idle one.
    fn update_interest(&mut self, id: Connection) {
        let Some(conn) = self.conns.get_mut(slot(id)).filter(|c| connection_id(c.serial, slot(id)) == id)
        else {
            return;
        };
        if conn.active.as_ref().is_some_and(|active| active.is_idle()) {
            conn.active = None;
        }
        let wanted = conn.poll_interest();
        if conn.interest == wanted {
            return;
        }
        conn.interest = wanted;
        let poller = if conn.is_accepted() { &self.accepted_poller } else { &self.own_poller };
        if let Err(error) = poller.change(&conn.socket, id, wanted) {
            self.close(id, &error.to_string());
        }
    }

    fn write_pending(&mut self, id: Connection, own: bool) {
        let (now, limits) = (self.clock.now(), self.limits);
        loop {
            let Some(conn) = self.get_mut(id) else { return };
            if !conn.writable {
                return;
            }
            if conn.connecting {
                match conn.socket.take_error() {
                    Ok(None) if conn.socket.peer_addr().is_ok() => {
                        conn.connecting = false;
                        let due = conn.active.as_mut().and_then(|active| active.deadline.take());
                        due.into_iter().for_each(|due| _ = self.deadlines.remove(&(due, id)));
                        self.notify(LoopEvent::Connected(id));
                        continue;
                    }
                    Ok(None) => conn.writable = false,
                    Ok(Some(error)) | Err(error) => {
                        // A refused connection was never established; one that is reset was, however briefly,
                        // and the peer is there.
                        conn.connecting = error.kind() != io::ErrorKind::ConnectionReset;
                        self.close(id, &error.to_string());
                    }
                }
                return;
            }
            if conn.has_output_left(own) {
                return;
            }
            if conn.unsent() == 0 {
                if conn.close_when_flushed && !conn.lingering {
                    // If the peer has closed meanwhile, the next read reports it.
                    let _ = conn.socket.shutdown(std::net::Shutdown::Write);
                    let due = now + LINGER;
                    (conn.lingering, conn.readable) = (true, true);
                    conn.active(&limits).deadline = Some(due);
                    self.deadlines.insert((due, id));
                }
                return;
            }
            let Some(active) = conn.active.as_mut() else { return };
            match (&conn.socket).write(active.out.rest()) {
                Ok(0) => return self.close(id, "nothing can be written"),
                Ok(count) => {
                    active.out.advance(count);
                    active.last_progress = now;
                    if conn.unsent() == 0 && (std::mem::take(&mut conn.notify_flushed) || conn.paused) {
                        self.notify(LoopEvent::Flushed(id));
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => conn.writable = false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(error) => return self.close(id, &error.to_string()),
            }
        }
    }

    fn read_available(&mut self, id: Connection) {
        let mut scratch = std::mem::take(&mut self.scratch);
        let (now, limits) = (self.clock.now(), self.limits);
        let Some(conn) = self.get_mut(id) else {
            self.scratch = scratch;
            return;
        };
        let (mut over, mut came) = (None, false);
        // The end of the connection is to be known before earlier input of the peer is acted on.
        let mut reads = if conn.ended { MAX_FINAL_READS } else { 1 };
        let was_undecoded = std::mem::take(&mut conn.undecoded);
        if was_undecoded {
            reads = 0;
        }
        while conn.can_read() && reads > 0 {
            reads -= 1;
            match (&conn.socket).read(&mut scratch) {
                Ok(0) if conn.lingering => over = Some(FINISHED.to_owned()),
                Ok(0) => over = Some(ENDED.to_owned()),
                Ok(_) if conn.lingering => {}
                Ok(count) => {
                    came = true;
                    conn.last_read = now;
                    conn.readable = count == scratch.len();
                    conn.drained = !conn.readable;
                    if count < LARGE_READ {
                        conn.read_to_end_at = now;
                    }
                    match &mut conn.active(&limits).decode {
                        Decode::Frames(decoder) => decoder.push(&scratch[..count]),
                        Decode::Http(decoder) => decoder.push(&scratch[..count]),
                        Decode::Raw(bytes) => bytes.extend_from_slice(&scratch[..count]),
                    }
                    if conn.drained && reads > 0 {
                        conn.readable = true;
                        continue;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    (conn.readable, conn.drained, conn.read_to_end_at) = (false, true, now);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(error) => over = Some(error.to_string()),
            }
            break;
        }
        self.scratch = scratch;
        let is_limited =
            over.is_none() && self.get_ref(id).is_some_and(|conn| conn.is_accepted() && !conn.ended);
        let undecoded = self.decode(id, if is_limited { MESSAGES_PER_TURN } else { usize::MAX });
        if let Some(why) = over {
            return self.close(id, &why);
        }
        if undecoded {
            self.get_mut(id).into_iter().for_each(|conn| conn.undecoded = true);
            return self.enqueue(id);
        }
        // Decoding stops where the program pauses a connection, and goes on before more is read.
        let is_paused = self.get_ref(id).is_some_and(|conn| conn.paused);
        if is_paused && self.buffered_bytes(id) > 0 {
            return self.get_mut(id).into_iter().for_each(|conn| conn.undecoded = true);
        }
        if (came || was_undecoded)
            && self.report_incomplete
            && self.get_ref(id).is_some_and(|conn| conn.is_accepted())
        {
            match self.buffered_bytes(id) {
                0 => {}
                held => self.notify(LoopEvent::PartialMessage(id, held)),
            }
        }
        if self.get_mut(id).is_some_and(|conn| conn.can_read()) {
            self.enqueue(id);
        }
    }

    /// Delivers at most so many received messages; true if more may follow.
    fn decode(&mut self, id: Connection, most: usize) -> bool {
        for _ in 0..most {
            let Some(conn) = self.get_mut(id).filter(|c| !c.paused && !c.close_when_flushed) else {
                return false;
            };
            let since = conn.earliest_arrival;
            let Some(active) = conn.active.as_mut() else { return false };
            let notice = match &mut active.decode {
                Decode::Raw(bytes) if bytes.is_empty() => return false,
                Decode::Raw(bytes) => LoopEvent::Bytes(id, std::mem::take(bytes)),
                Decode::Frames(decoder) => match decoder.decode() {
                    Ok(None) => return false,
                    Ok(Some(message)) => LoopEvent::Message(id, message),
                    Err(error) => {
                        let reason = error.to_string();
                        tracing::info!(%reason, connection = id, "malformed frame");
                        self.send(id, &Message::Bye { reason }, None);
                        self.finish(id);
                        return false;
                    }
                },
                Decode::Http(decoder) => match decoder.decode() {
                    Ok(http::Step::More) => return false,
                    Ok(http::Step::Continue) => {
                        self.send_bytes(id, http::CONTINUE);
                        continue;
                    }
                    Ok(http::Step::Request(request)) => LoopEvent::Request(id, request),
                    Err(error) => {
                        conn.paused = true;
                        LoopEvent::BadRequest(id, error)
                    }
                },
            };
            self.notify_since(since, notice);
        }
        true
    }
}
