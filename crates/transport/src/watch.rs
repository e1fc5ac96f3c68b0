//! Which sockets have something to read or can be written: one epoll for the sockets of clients, one for the
//! program's own (workers, list, trunks), each a source in the calloop loop.
//!
//! Why not a calloop source a socket: that costs an allocation, a slot and a callback each, about 400 bytes; here
//! an idle socket costs nothing in the process beyond the file descriptor. Why two: the program can leave its
//! clients waiting in the kernel while it reads its own peers on.

use std::io;
use std::os::fd::{AsFd, OwnedFd};

use cresswheel_protocol::Micros;
use rustix::buffer::spare_capacity;
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};

/// Most sockets looked at in one turn on each side, so that a turn stays short.
pub const AT_ONCE: usize = 256;
/// How long the machine may take to wake this process once a socket is ready, as far as the loop can tell.
pub const WAKING: Micros = 1_000;
/// Keys with this bit are listeners, those with the next one sockets for datagrams.
const LISTENERS: u64 = 1 << 63;
const DATAGRAMS: u64 = 1 << 62;

/// What a socket is ready for.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    pub readable: bool,
    pub writable: bool,
    /// The other side has ended it; told with the bytes before that.
    pub ended: bool,
    pub broken: bool,
}

pub enum Seen {
    Connection(u64, Ready),
    Listener(usize),
    Datagrams(usize),
}

pub struct Watch {
    epoll: OwnedFd,
    events: Vec<epoll::Event>,
    /// All that was ready at that time has been seen: what is ready later became so after it.
    pub drained: Micros,
}

/// What a socket is watched for, beside its being broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wanted {
    pub read: bool,
    pub write: bool,
    /// That the other side ends it, though its bytes are not read.
    pub end: bool,
}

impl Wanted {
    fn flags(self) -> EventFlags {
        let mut flags = EventFlags::empty();
        flags.set(EventFlags::IN, self.read);
        flags.set(EventFlags::RDHUP, self.read || self.end);
        flags.set(EventFlags::OUT, self.write);
        flags
    }
}

impl Watch {
    pub fn new(now: Micros) -> io::Result<Self> {
        let epoll = epoll::create(CreateFlags::CLOEXEC)?;
        Ok(Self { epoll, events: Vec::with_capacity(AT_ONCE), drained: now })
    }

    /// For the loop that sleeps: readable when a socket here is ready.
    pub fn fd(&self) -> io::Result<OwnedFd> {
        self.epoll.try_clone()
    }

    pub fn add(&self, socket: impl AsFd, id: u64, interest: Wanted) -> io::Result<()> {
        Ok(epoll::add(&self.epoll, socket, EventData::new_u64(id), interest.flags())?)
    }

    pub fn change(&self, socket: impl AsFd, id: u64, interest: Wanted) -> io::Result<()> {
        Ok(epoll::modify(&self.epoll, socket, EventData::new_u64(id), interest.flags())?)
    }

    pub fn remove(&self, socket: impl AsFd) {
        // It closes next; then the kernel forgets it anyway.
        let _ = epoll::delete(&self.epoll, socket);
    }

    /// Processes that share a listener are not all woken for one connection.
    pub fn add_listener(&self, socket: impl AsFd, number: usize) -> io::Result<()> {
        let data = EventData::new_u64(LISTENERS | number as u64);
        Ok(epoll::add(&self.epoll, socket, data, EventFlags::IN | EventFlags::EXCLUSIVE)?)
    }

    pub fn add_datagrams(&self, socket: impl AsFd, number: usize) -> io::Result<()> {
        let data = EventData::new_u64(DATAGRAMS | number as u64);
        Ok(epoll::add(&self.epoll, socket, data, EventFlags::IN)?)
    }

    /// What is ready, without waiting, and the earliest time at which it can have become so.
    pub fn look(&mut self, now: Micros, seen: &mut Vec<(Micros, Seen)>) -> io::Result<usize> {
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
            let ready = Ready {
                readable: flags.contains(EventFlags::IN) || broken,
                writable: flags.contains(EventFlags::OUT) || broken,
                ended: flags.contains(EventFlags::RDHUP) || broken,
                broken,
            };
            let what = match id & (LISTENERS | DATAGRAMS) {
                0 => Seen::Connection(id, ready),
                LISTENERS => Seen::Listener((id & !LISTENERS) as usize),
                _ => Seen::Datagrams((id & !DATAGRAMS) as usize),
            };
            seen.push((self.drained, what));
        }
        if count < AT_ONCE {
            self.drained = now;
        }
        Ok(count)
    }

    /// Looks only for connections that the other side has ended; all else that is ready stays unseen.
    pub fn look_for_ends(&mut self, now: Micros, seen: &mut Vec<(Micros, Seen)>) -> io::Result<usize> {
        let (drained, before) = (self.drained, seen.len());
        self.look(now, seen)?;
        self.drained = drained;
        let ends = seen.split_off(before).into_iter();
        seen.extend(ends.filter(|(_, what)| matches!(what, Seen::Connection(_, ready) if ready.ended)));
        Ok(seen.len() - before)
    }

    /// The loop slept until now with nothing ready here: what ended the sleep came at its end.
    pub fn slept(&mut self, until: Micros) {
        self.drained = self.drained.max(until.saturating_sub(WAKING));
    }
}
