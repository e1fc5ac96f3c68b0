//! Socket readiness: one epoll instance for accepted connections, one for the program's own (workers, list,
//! trunks), each a source in the calloop loop.
//!
//! A calloop source per socket would cost an allocation, a slot and a callback each, about 400 bytes; here an
//! idle socket takes no memory in the process beyond its descriptor. With two instances the program can leave
//! clients waiting in the kernel while it keeps reading from its own peers.

use std::io;
use std::os::fd::{AsFd, OwnedFd};

use cresswheel_protocol::Micros;
use rustix::buffer::spare_capacity;
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};

/// Maximum events per poll on each side, to keep an iteration short.
pub const MAX_EVENTS: usize = 256;
/// Assumed maximum latency between a socket becoming ready and the process waking up.
pub const WAKE_LATENCY: Micros = 1_000;
/// Keys with the first bit are listeners, those with the second datagram sockets.
const LISTENER_BIT: u64 = 1 << 63;
const DATAGRAM_BIT: u64 = 1 << 62;

/// The readiness of a socket.
#[derive(Clone, Copy, Debug)]
pub struct Readiness {
    pub readable: bool,
    pub writable: bool,
    /// The peer has closed its side; reported together with the bytes before that.
    pub ended: bool,
    pub broken: bool,
}

pub enum PollEvent {
    Connection(u64, Readiness),
    Listener(usize),
    Datagrams(usize),
}

pub struct Poller {
    epoll: OwnedFd,
    events: Vec<epoll::Event>,
    /// Everything ready at this time was reported: other sockets became ready later.
    pub drained: Micros,
}

/// The events to poll a socket for, besides errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollInterest {
    pub read: bool,
    pub write: bool,
    /// Closing by the peer, even though its bytes are not read.
    pub end: bool,
}

impl PollInterest {
    fn flags(self) -> EventFlags {
        let mut flags = EventFlags::empty();
        flags.set(EventFlags::IN, self.read);
        flags.set(EventFlags::RDHUP, self.read || self.end);
        flags.set(EventFlags::OUT, self.write);
        flags
    }
}

impl Poller {
    pub fn new(now: Micros) -> io::Result<Self> {
        let epoll = epoll::create(CreateFlags::CLOEXEC)?;
        Ok(Self { epoll, events: Vec::with_capacity(MAX_EVENTS), drained: now })
    }

    /// A descriptor for the event loop: readable when a socket here is ready.
    pub fn fd(&self) -> io::Result<OwnedFd> {
        self.epoll.try_clone()
    }

    pub fn add(&self, socket: impl AsFd, id: u64, interest: PollInterest) -> io::Result<()> {
        Ok(epoll::add(&self.epoll, socket, EventData::new_u64(id), interest.flags())?)
    }

    pub fn change(&self, socket: impl AsFd, id: u64, interest: PollInterest) -> io::Result<()> {
        Ok(epoll::modify(&self.epoll, socket, EventData::new_u64(id), interest.flags())?)
    }

    pub fn remove(&self, socket: impl AsFd) {
        // The socket is closed next, which removes it anyway.
        let _ = epoll::delete(&self.epoll, socket);
    }

    /// Exclusive, so that one connection doesn't wake all processes that share a listener.
    pub fn add_listener(&self, socket: impl AsFd, number: usize) -> io::Result<()> {
        let data = EventData::new_u64(LISTENER_BIT | number as u64);
        Ok(epoll::add(&self.epoll, socket, data, EventFlags::IN | EventFlags::EXCLUSIVE)?)
    }

    pub fn add_datagrams(&self, socket: impl AsFd, number: usize) -> io::Result<()> {
        let data = EventData::new_u64(DATAGRAM_BIT | number as u64);
        Ok(epoll::add(&self.epoll, socket, data, EventFlags::IN)?)
    }

    /// Polls without blocking; gives the ready sockets and the earliest time at which each can have become
    /// ready.
    pub fn poll(&mut self, now: Micros, events_out: &mut Vec<(Micros, PollEvent)>) -> io::Result<usize> {
        let zero = rustix::event::Timespec { tv_sec: 0, tv_nsec: 0 };
        self.events.clear();
        match epoll::wait(&self.epoll, spare_capacity(&mut self.events), Some(&zero)) {
            Err(rustix::io::Errno::INTR) => return Ok(0),
            other => other?,
        };
        let count = self.events.len();
        for event in &self.events {
            let (id, flags) = (event.data.u64(), event.flags);
            let broken = flags.intersects(EventFlags::ERR | EventFlags::HUP);
            let ready = Readiness {
                readable: flags.contains(EventFlags::IN) || broken,
                writable: flags.contains(EventFlags::OUT) || broken,
                ended: flags.contains(EventFlags::RDHUP) || broken,
                broken,
            };
            let what = match id & (LISTENER_BIT | DATAGRAM_BIT) {
                0 => PollEvent::Connection(id, ready),
                LISTENER_BIT => PollEvent::Listener((id & !LISTENER_BIT) as usize),
                _ => PollEvent::Datagrams((id & !DATAGRAM_BIT) as usize),
            };
            events_out.push((self.drained, what));
        }
        if count < MAX_EVENTS {
            self.drained = now;
        }
        Ok(count)
    }

    /// Polls only for connections that the peer has closed; other events stay pending.
    pub fn poll_hangups(
        &mut self,
        now: Micros,
        events_out: &mut Vec<(Micros, PollEvent)>,
    ) -> io::Result<usize> {
        let (drained, before) = (self.drained, events_out.len());
        self.poll(now, events_out)?;
        self.drained = drained;
        let ends = events_out.split_off(before).into_iter();
        events_out
            .extend(ends.filter(|(_, what)| matches!(what, PollEvent::Connection(_, ready) if ready.ended)));
        Ok(events_out.len() - before)
    }

    /// The event loop was idle until now with nothing ready here: what ended the sleep became ready then.
    pub fn idle_until(&mut self, until: Micros) {
        self.drained = self.drained.max(until.saturating_sub(WAKE_LATENCY));
    }
}
