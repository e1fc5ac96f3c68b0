//! Listeners and connections.

use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{Dispatcher, EventLoop, Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use cresswheel_protocol::{Decoder, Limits, Message, Micros, encode, http};
use slab::Slab;

use crate::Clock;
use crate::out::Out;

/// Names a connection; never used twice by one hub.
pub type Connection = u64;

/// Bounds of a hub.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HubLimits {
    /// Frames.
    pub frame: Limits,
    /// HTTP requests.
    pub http: http::Limits,
    /// Bytes that may wait to be written on one connection before it is closed.
    pub out: usize,
    /// Connections accepted that may stand at once; the next ones are closed at once.
    pub accepted: usize,
}

impl Default for HubLimits {
    fn default() -> Self {
        let (frame, http) = (Limits::default(), http::Limits::default());
        Self { frame, http, out: 64 << 20, accepted: 10_000 }
    }
}

/// What a connection speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wire {
    /// The main protocol.
    Frames,
    /// HTTP/1.1, as its server.
    Http,
    /// Bytes that are nobody's business here.
    Raw,
}

/// What happened.
#[derive(Debug)]
pub enum Notice {
    /// A listener (by the number that `listen` gave) took a connection.
    Opened(Connection, u32),
    /// A connection that this side opened stands.
    Connected(Connection),
    /// A message came.
    Message(Connection, Message),
    /// Bytes came.
    Bytes(Connection, Vec<u8>),
    /// A request came.
    Request(Connection, http::Request),
    /// Bytes came that are no request; answer and close.
    BadRequest(Connection, http::HttpError),
    /// A connection is gone, or one that this side opened never stood.
    Closed {
        /// The connection.
        connection: Connection,
        /// It never stood.
        never_stood: bool,
        /// Marks of the frames of which no byte left.
        unsent: Vec<u64>,
        /// Why, in words.
        why: String,
    },
    /// A signal came.
    Signal(Signal),
}

enum Decode {
    Frames(Decoder),
    Http(http::Decoder),
    Raw(Vec<u8>),
}

/// A socket in the loop. It is watched by level: a read that took all there was needs no second one to prove it.
type Watched = Dispatcher<'static, Generic<Rc<TcpStream>>, Woken>;

struct Conn {
    id: Connection,
    socket: Rc<TcpStream>,
    watched: Watched,
    token: Option<RegistrationToken>,
    /// What it is watched for now.
    interest: (bool, bool),
    decode: Decode,
    out: Out,
    accepted: bool,
    /// Until then it must stand; `None`: it does.
    connecting: Option<Micros>,
    /// All is written and its end said; until then the other side may still be writing, and is read, so that
    /// a reset does not take the last answer from it.
    lingering: Option<Micros>,
    readable: bool,
    writable: bool,
    paused: bool,
    close_when_flushed: bool,
    last_read: Micros,
}

impl Conn {
    /// Whether bytes that come are to be read.
    fn wants_to_read(&self) -> bool {
        let wanted = self.lingering.is_some() || (!self.paused && !self.close_when_flushed);
        self.connecting.is_none() && wanted
    }

    fn reads(&self) -> bool {
        self.readable && self.wants_to_read()
    }
}

struct Listener {
    socket: Rc<TcpListener>,
    wire: Wire,
    ready: bool,
    paused: bool,
}

/// Bytes read from one connection before the next has its turn.
const READ_AT_ONCE: usize = 64 << 10;
/// Connections accepted before others have their turn.
const ACCEPT_AT_ONCE: usize = 64;
/// How long a connection that is done with waits for the other side to close.
const LINGER: Micros = 500_000;
const FINISHED: &str = "finished";
/// How long accepting pauses when descriptors ran out.
const ACCEPT_PAUSE: Micros = 50_000;

#[derive(Default)]
struct Woken {
    connections: Vec<(Connection, Readiness)>,
    listeners: Vec<usize>,
    signals: Vec<Signal>,
}

/// Listeners, connections and the loop that drives them.
pub struct Hub {
    event_loop: RefCell<EventLoop<'static, Woken>>,
    handle: LoopHandle<'static, Woken>,
    limits: HubLimits,
    clock: Clock,
    conns: Slab<Conn>,
    serial: u64,
    accepted: usize,
    listeners: Vec<Listener>,
    accept_again: Option<Micros>,
    /// Connections with something to read or write in the next turn.
    turn: BTreeSet<Connection>,
    /// When connections must stand, or stop lingering.
    due: BTreeSet<(Micros, Connection)>,
    notices: VecDeque<Notice>,
    scratch: Vec<u8>,
    /// Times that accepting paused for lack of descriptors.
    pub starved: u64,
    /// Connections closed at once because too many stood.
    pub turned_away: u64,
}

impl Hub {
    /// A hub without connections.
    pub fn new(limits: HubLimits) -> io::Result<Self> {
        let event_loop = EventLoop::try_new().map_err(io::Error::other)?;
        Ok(Self {
            handle: event_loop.handle(),
            event_loop: RefCell::new(event_loop),
            limits,
            clock: Clock::default(),
            conns: Slab::new(),
            serial: 0,
            accepted: 0,
            listeners: Vec::new(),
            accept_again: None,
            turn: BTreeSet::new(),
            due: BTreeSet::new(),
            notices: VecDeque::new(),
            scratch: vec![0; READ_AT_ONCE],
            starved: 0,
            turned_away: 0,
        })
    }

    /// The hub's clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Changes the bounds; connections that stand keep those of their frames.
    pub fn set_limits(&mut self, limits: HubLimits) {
        self.limits = limits;
    }

    /// Turns signals into notices. Call it before other threads are started.
    pub fn signals(&mut self, signals: &[Signal]) -> io::Result<()> {
        let source = Signals::new(signals).map_err(io::Error::other)?;
        let seen = |event: calloop::signals::Event, (): &mut (), woken: &mut Woken| {
            woken.signals.push(event.signal());
        };
        self.handle.insert_source(source, seen).map_err(|e| io::Error::other(e.error))?;
        Ok(())
    }

    /// Listens; gives the listener's number and the address, with the port that was found for port 0.
    pub fn listen(&mut self, address: SocketAddr, wire: Wire) -> io::Result<(u32, SocketAddr)> {
        let domain = socket2::Domain::for_address(address);
        let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(4096)?;
        let socket = Rc::new(TcpListener::from(socket));
        let address = socket.local_addr()?;
        let number = self.listeners.len();
        let source = Generic::new(socket.clone(), Interest::READ, Mode::Edge);
        self.handle
            .insert_source(source, move |_, _, woken| {
                woken.listeners.push(number);
                Ok(PostAction::Continue)
            })
            .map_err(|e| io::Error::other(e.error))?;
        self.listeners.push(Listener { socket, wire, ready: true, paused: false });
        Ok((number as u32, address))
    }

    /// Stops or resumes taking connections on all listeners; those that come meanwhile wait in the kernel.
    pub fn pause_listening(&mut self, paused: bool) {
        self.listeners.iter_mut().for_each(|l| (l.paused, l.ready) = (paused, true));
    }

    /// Begins a connection. Frames may be sent at once; they leave when it stands. If it does not stand by
    /// `within`, it is closed.
    pub fn connect(&mut self, address: SocketAddr, wire: Wire, within: Micros) -> Connection {
        let due = self.clock.now().saturating_add(within);
        let begun = || -> io::Result<TcpStream> {
            let domain = socket2::Domain::for_address(address);
            let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
            socket.set_nonblocking(true)?;
            match socket.connect(&address.into()) {
                Err(e) if e.raw_os_error() == Some(115) || e.kind() == ErrorKind::WouldBlock => {}
                other => other?,
            }
            Ok(socket.into())
        };
        let begun = begun().and_then(|socket| self.add(socket, wire, Some(due)));
        match begun {
            Ok(id) => {
                self.due.insert((due, id));
                id
            }
            Err(error) => {
                self.serial += 1;
                let connection = self.serial << 32 | u64::from(u32::MAX);
                let (unsent, why) = (Vec::new(), error.to_string());
                self.notices.push_back(Notice::Closed { connection, never_stood: true, unsent, why });
                connection
            }
        }
    }

    fn add(&mut self, socket: TcpStream, wire: Wire, connecting: Option<Micros>) -> io::Result<Connection> {
        // Small frames should not wait for each other; without the option they only come later.
        let _ = socket.set_nodelay(true);
        let socket = Rc::new(socket);
        self.serial += 1;
        let entry = self.conns.vacant_entry();
        let id = self.serial << 32 | entry.key() as u64;
        let stands = connecting.is_none();
        let first = if stands { Interest::READ } else { Interest::WRITE };
        let source = Generic::new(socket.clone(), first, Mode::Level);
        let watched = Dispatcher::new(source, move |readiness, _, woken: &mut Woken| {
            woken.connections.push((id, readiness));
            Ok(PostAction::Continue)
        });
        let token = self.handle.register_dispatcher(watched.clone()).map_err(io::Error::other)?;
        let decode = match wire {
            Wire::Frames => Decode::Frames(Decoder::new(self.limits.frame)),
            Wire::Http => Decode::Http(http::Decoder::new(self.limits.http)),
            Wire::Raw => Decode::Raw(Vec::new()),
        };
        entry.insert(Conn {
            id,
            socket,
            watched,
            token: Some(token),
            interest: (stands, !stands),
            decode,
            out: Out::default(),
            accepted: stands,
            connecting,
            lingering: None,
            readable: false,
            writable: stands,
            paused: false,
            close_when_flushed: false,
            last_read: self.clock.now(),
        });
        Ok(id)
    }

    fn get(&mut self, id: Connection) -> Option<&mut Conn> {
        self.conns.get_mut(id as u32 as usize).filter(|c| c.id == id)
    }

    /// Whether a connection is still there.
    pub fn is_open(&self, id: Connection) -> bool {
        self.conns.get(id as u32 as usize).is_some_and(|c| c.id == id)
    }

    /// Connections that are there.
    pub fn connections(&self) -> usize {
        self.conns.len()
    }

    /// Bytes that wait to be written on a connection.
    pub fn backlog(&self, id: Connection) -> usize {
        self.conns.get(id as u32 as usize).filter(|c| c.id == id).map_or(0, |c| c.out.len())
    }

    /// Microseconds since bytes last came on a connection, and whether a frame or request is half there.
    pub fn idle(&self, id: Connection) -> Option<(Micros, bool)> {
        let conn = self.conns.get(id as u32 as usize).filter(|c| c.id == id)?;
        let midway = match &conn.decode {
            Decode::Frames(decoder) => decoder.held() > 0,
            Decode::Http(decoder) => decoder.midway(),
            Decode::Raw(_) => false,
        };
        Some((self.clock.now().saturating_sub(conn.last_read), midway))
    }

    /// Sends a message; with a mark it can be told later whether it left. False: the connection is gone.
    pub fn send(&mut self, id: Connection, message: &Message, mark: Option<u64>) -> bool {
        self.write(id, mark, |buffer| encode(message, buffer))
    }

    /// Sends bytes as they are.
    pub fn send_bytes(&mut self, id: Connection, bytes: &[u8]) -> bool {
        self.write(id, None, |buffer| buffer.extend_from_slice(bytes))
    }

    fn write(&mut self, id: Connection, mark: Option<u64>, write: impl FnOnce(&mut Vec<u8>)) -> bool {
        let most = self.limits.out;
        let Some(conn) = self.get(id).filter(|c| !c.close_when_flushed) else { return false };
        conn.out.push(mark, write);
        if conn.out.len() > most {
            self.close(id, "too much waits to be written");
            return false;
        }
        self.turn.insert(id);
        true
    }

    /// Takes a marked frame back if no byte of it has left.
    pub fn withdraw(&mut self, id: Connection, mark: u64) -> bool {
        self.get(id).is_some_and(|conn| conn.out.withdraw(mark))
    }

    /// Stops or resumes reading a connection: its sender then has to wait.
    pub fn pause(&mut self, id: Connection, paused: bool) {
        if let Some(conn) = self.get(id) {
            conn.paused = paused;
            self.turn.insert(id);
        }
    }

    /// Closes a connection once what waits is written. No more notices come for it but `Closed`.
    pub fn finish(&mut self, id: Connection) {
        if let Some(conn) = self.get(id) {
            conn.close_when_flushed = true;
            self.turn.insert(id);
        }
    }

    /// Closes a connection now.
    pub fn close(&mut self, id: Connection, why: &str) {
        let Some(conn) = self.get(id) else { return };
        let (token, unsent) = (conn.token.take(), conn.out.unsent());
        let (never_stood, accepted) = (conn.connecting.is_some(), conn.accepted);
        let due = conn.connecting.or(conn.lingering);
        due.into_iter().for_each(|due| _ = self.due.remove(&(due, id)));
        token.into_iter().for_each(|token| self.handle.remove(token));
        self.conns.remove(id as u32 as usize);
        self.accepted -= usize::from(accepted);
        self.turn.remove(&id);
        let why = why.to_owned();
        self.notices.push_back(Notice::Closed { connection: id, never_stood, unsent, why });
    }

    /// Writes what can be written, then waits for news, until `until` at the latest.
    pub fn wait(&mut self, until: Option<Micros>) -> io::Result<()> {
        self.turns();
        let timers = self.due.first().map(|(at, _)| *at).into_iter().chain(self.accept_again);
        let until = until.into_iter().chain(timers).min();
        let busy = !self.notices.is_empty() || !self.turn.is_empty() || self.accepting();
        let now = self.clock.now();
        let timeout = match until {
            _ if busy => Some(Duration::ZERO),
            Some(at) => Some(Duration::from_micros(at.saturating_sub(now))),
            None => None,
        };
        let mut woken = Woken::default();
        match self.event_loop.borrow_mut().dispatch(timeout, &mut woken) {
            Err(calloop::Error::IoError(e)) if e.kind() == ErrorKind::Interrupted => {}
            other => other.map_err(io::Error::other)?,
        }
        self.notices.extend(woken.signals.into_iter().map(Notice::Signal));
        for number in woken.listeners {
            self.listeners[number].ready = true;
        }
        for (id, readiness) in woken.connections {
            let Some(conn) = self.get(id) else { continue };
            if !conn.interest.0 && readiness.readable && conn.connecting.is_none() {
                // Not watched for bytes, so it is the end: both sides are closed, or it broke.
                self.close(id, "hung up");
                continue;
            }
            conn.readable |= readiness.readable || readiness.error;
            conn.writable |= readiness.writable || readiness.error;
            self.turn.insert(id);
        }
        let now = self.clock.now();
        while let Some((_, id)) = self.due.first().filter(|(at, _)| *at <= now).copied() {
            let lingered = self.get(id).is_some_and(|conn| conn.lingering.is_some());
            self.close(id, if lingered { FINISHED } else { "no connection in time" });
        }
        if self.accept_again.is_some_and(|at| at <= now) {
            self.accept_again = None;
        }
        if self.accept_again.is_none() {
            (0..self.listeners.len()).for_each(|number| self.accept(number));
        }
        self.turns();
        Ok(())
    }

    /// The next thing that happened.
    pub fn take_notice(&mut self) -> Option<Notice> {
        self.notices.pop_front()
    }

    fn accepting(&self) -> bool {
        self.accept_again.is_none() && self.listeners.iter().any(|l| l.ready && !l.paused)
    }

    fn accept(&mut self, number: usize) {
        if !self.listeners[number].ready || self.listeners[number].paused {
            return;
        }
        for _ in 0..ACCEPT_AT_ONCE {
            let accepted = self.listeners[number].socket.accept();
            match accepted {
                Ok((socket, _)) if self.accepted >= self.limits.accepted => {
                    drop(socket);
                    self.turned_away += 1;
                }
                Ok((socket, _)) => {
                    let wire = self.listeners[number].wire;
                    let added = socket.set_nonblocking(true).and_then(|()| self.add(socket, wire, None));
                    match added {
                        Ok(id) => {
                            self.accepted += 1;
                            self.notices.push_back(Notice::Opened(id, number as u32));
                        }
                        Err(error) => tracing::warn!(%error, "a connection could not be taken in"),
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.listeners[number].ready = false;
                    return;
                }
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                Err(error) => {
                    // Out of descriptors or memory: what stands goes on, the rest waits in the kernel.
                    self.starved += 1;
                    self.accept_again = Some(self.clock.now() + ACCEPT_PAUSE);
                    tracing::warn!(%error, "accepting pauses");
                    return;
                }
            }
        }
    }

    /// Reads and writes where there is something to read or write.
    fn turns(&mut self) {
        for id in std::mem::take(&mut self.turn) {
            self.write_out(id);
            self.read_in(id);
            self.watch(id);
        }
    }

    /// Watches a connection for what it waits for, and nothing else.
    fn watch(&mut self, id: Connection) {
        let handle = self.handle.clone();
        let Some(conn) = self.get(id) else { return };
        let wanted = (conn.wants_to_read(), !conn.writable);
        if conn.interest == wanted {
            return;
        }
        conn.interest = wanted;
        conn.watched.as_source_mut().interest = Interest { readable: wanted.0, writable: wanted.1 };
        if let Some(Err(error)) = conn.token.as_ref().map(|token| handle.update(token)) {
            self.close(id, &error.to_string());
        }
    }

    fn write_out(&mut self, id: Connection) {
        let now = self.clock.now();
        loop {
            let Some(conn) = self.get(id) else { return };
            if !conn.writable {
                return;
            }
            if conn.connecting.is_some() {
                match conn.socket.take_error() {
                    Ok(None) if conn.socket.peer_addr().is_ok() => {
                        let due = conn.connecting.take();
                        due.into_iter().for_each(|due| _ = self.due.remove(&(due, id)));
                        self.notices.push_back(Notice::Connected(id));
                        continue;
                    }
                    Ok(None) => conn.writable = false,
                    Ok(Some(error)) | Err(error) => self.close(id, &error.to_string()),
                }
                return;
            }
            if conn.out.len() == 0 {
                if conn.close_when_flushed && conn.lingering.is_none() {
                    // If the other side has left meanwhile, the next read says so.
                    let _ = conn.socket.shutdown(std::net::Shutdown::Write);
                    let due = now + LINGER;
                    (conn.lingering, conn.readable) = (Some(due), true);
                    self.due.insert((due, id));
                }
                return;
            }
            match (&*conn.socket).write(conn.out.rest()) {
                Ok(0) => return self.close(id, "nothing can be written"),
                Ok(count) => conn.out.took(count),
                Err(e) if e.kind() == ErrorKind::WouldBlock => conn.writable = false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(error) => return self.close(id, &error.to_string()),
            }
        }
    }

    fn read_in(&mut self, id: Connection) {
        let mut scratch = std::mem::take(&mut self.scratch);
        let now = self.clock.now();
        let Some(conn) = self.get(id) else {
            self.scratch = scratch;
            return;
        };
        let mut over = None;
        if conn.reads() {
            match (&*conn.socket).read(&mut scratch) {
                Ok(0) if conn.lingering.is_some() => over = Some(FINISHED.to_owned()),
                Ok(0) => over = Some("closed by the other side".to_owned()),
                Ok(_) if conn.lingering.is_some() => {}
                Ok(count) => {
                    conn.readable = count == scratch.len();
                    conn.last_read = now;
                    match &mut conn.decode {
                        Decode::Frames(decoder) => decoder.push(&scratch[..count]),
                        Decode::Http(decoder) => decoder.push(&scratch[..count]),
                        Decode::Raw(bytes) => bytes.extend_from_slice(&scratch[..count]),
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => conn.readable = false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(error) => over = Some(error.to_string()),
            }
        }
        self.scratch = scratch;
        self.decode(id);
        if let Some(why) = over {
            return self.close(id, &why);
        }
        if self.get(id).is_some_and(|conn| conn.reads()) {
            self.turn.insert(id);
        }
    }

    fn decode(&mut self, id: Connection) {
        loop {
            let Some(conn) = self.get(id).filter(|c| !c.paused && !c.close_when_flushed) else { return };
            let notice = match &mut conn.decode {
                Decode::Raw(bytes) if bytes.is_empty() => return,
                Decode::Raw(bytes) => Notice::Bytes(id, std::mem::take(bytes)),
                Decode::Frames(decoder) => match decoder.decode() {
                    Ok(None) => return,
                    Ok(Some(message)) => Notice::Message(id, message),
                    Err(error) => {
                        let reason = error.to_string();
                        tracing::info!(%reason, connection = id, "not a frame");
                        self.send(id, &Message::Bye { reason }, None);
                        return self.finish(id);
                    }
                },
                Decode::Http(decoder) => match decoder.decode() {
                    Ok(http::Step::More) => return,
                    Ok(http::Step::Continue) => {
                        self.send_bytes(id, http::CONTINUE);
                        continue;
                    }
                    Ok(http::Step::Request(request)) => Notice::Request(id, request),
                    Err(error) => {
                        conn.paused = true;
                        Notice::BadRequest(id, error)
                    }
                },
            };
            self.notices.push_back(notice);
        }
    }
}
