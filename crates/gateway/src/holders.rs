//! Processes that hold connections, where one can't have descriptors enough: started, watched, started again.
//!
//! All share the listening sockets, which stay open here as well: a holder that dies takes the connections that it
//! held and none that still wait to be accepted. Calls of its connections are called off as those of any client
//! that leaves.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::process::{Child, Command, Stdio};

use cresswheel_admission::DoorCounts;
use cresswheel_clients::{Ask, ClientTerms, answered_number, asked_number, trunk};
use cresswheel_protocol::{Message, Micros};
use cresswheel_transport::{Connection, Hub, Notice, Wire};

/// Gives the command that runs a holder, its standard input still to be set.
pub type HolderCommand = Box<dyn Fn() -> io::Result<Command>>;

/// A holder that lived this long died of something new.
const LIVED: Micros = 10_000_000;
const AGAIN_FIRST: Micros = 50_000;
const AGAIN_MOST: Micros = 5_000_000;

struct Holder {
    trunk: Connection,
    child: Child,
    since: Micros,
    /// The next message on the trunk is this connection's, and came then.
    of: Option<(Connection, Micros)>,
    /// Connections that are owed answers, and to which numbers.
    owed: BTreeMap<Connection, BTreeSet<u64>>,
    counts: DoorCounts,
    /// What it was told last.
    room_elsewhere: bool,
}

impl Holder {
    /// Nothing is owed for this number any more.
    fn settled(&mut self, connection: Connection, number: u64) {
        if let Some(owed) = self.owed.get_mut(&connection) {
            owed.remove(&number);
            if owed.is_empty() {
                self.owed.remove(&connection);
            }
        }
    }
}

enum Place {
    Taken(Box<Holder>),
    /// Started at that time, with this wait before it.
    Free(Micros, Micros),
}

/// A connection of a client, of whatever process: that of a holder has the holder's life in its upper bits.
pub type Key = u64;

const LIFE: u32 = 48;

/// What came from a holder.
#[expect(clippy::large_enum_variant, reason = "made and taken apart at once, never kept")]
pub enum FromHolder {
    /// A client asks.
    Ask(Key, Ask),
    /// Connections that are gone with their holder.
    Gone(Vec<Key>),
}

pub struct Holders {
    command: HolderCommand,
    listeners: Vec<socket2::Socket>,
    /// The second listener speaks HTTP.
    http: bool,
    terms: ClientTerms,
    places: Vec<Place>,
    /// Lives so far; each names its connections with its own.
    lives: u16,
    by_life: BTreeMap<u16, usize>,
    /// Ended, but not yet buried.
    ended: Vec<Child>,
    leaving: bool,
    /// All calls are answered.
    finishing: bool,
    paused: bool,
    /// Holders started after the first ones.
    pub restarts: u64,
}

fn life(key: Key) -> u16 {
    (key >> LIFE) as u16
}

/// A connection of this process.
pub fn is_ours(key: Key) -> bool {
    life(key) == 0
}

impl Holders {
    /// None yet; [`Holders::tick`] starts them.
    pub fn new(
        command: HolderCommand,
        listeners: Vec<socket2::Socket>,
        terms: ClientTerms,
        count: usize,
    ) -> Self {
        Self {
            command,
            http: listeners.len() > 1,
            listeners,
            terms,
            places: (0..count).map(|_| Place::Free(0, AGAIN_FIRST)).collect(),
            lives: 0,
            by_life: BTreeMap::new(),
            ended: Vec::new(),
            leaving: false,
            finishing: false,
            paused: false,
            restarts: 0,
        }
    }

    fn taken(&self) -> impl Iterator<Item = &Holder> {
        self.places.iter().filter_map(|place| match place {
            Place::Taken(holder) => Some(&**holder),
            Place::Free(..) => None,
        })
    }

    /// How many there should be.
    pub fn count(&self) -> usize {
        self.places.len()
    }

    /// How many there are.
    pub fn alive(&self) -> usize {
        self.taken().count()
    }

    /// What each counted, as far as it has told.
    pub fn counts(&self) -> impl Iterator<Item = &DoorCounts> {
        self.taken().map(|holder| &holder.counts)
    }

    fn told(&self, hub: &Hub, room_elsewhere: bool) -> Message {
        let (clock, http, finish) = (hub.clock().base(), self.http, self.finishing);
        let told = trunk::Told { clock, terms: self.terms, http, room_elsewhere, finish };
        Message::Terms { json: serde_json::to_vec(&told).unwrap_or_default() }
    }

    /// New terms, for all.
    pub fn change(&mut self, hub: &mut Hub, terms: ClientTerms) {
        self.terms = terms;
        self.tell_of_room(hub, true);
    }

    /// A full holder makes nobody give way while another has places; one that starts has them all.
    fn tell_of_room(&mut self, hub: &mut Hub, all: bool) {
        let most = self.terms.door.connections;
        let room = |place: &Place| match place {
            Place::Taken(holder) => holder.counts.connections < most,
            Place::Free(..) => true,
        };
        let rooms: Vec<bool> = self.places.iter().map(room).collect();
        for at in 0..self.places.len() {
            let elsewhere = rooms.iter().enumerate().any(|(other, room)| other != at && *room);
            let told = self.told(hub, elsewhere);
            let Place::Taken(holder) = &mut self.places[at] else { continue };
            if std::mem::replace(&mut holder.room_elsewhere, elsewhere) != elsewhere || all {
                hub.send(holder.trunk, &told, None);
            }
        }
    }

    fn tell_all(&self, hub: &mut Hub, message: &Message) {
        self.taken().for_each(|holder| _ = hub.send(holder.trunk, message, None));
    }

    /// No more connections after those that wait to be accepted; all are asked to leave.
    pub fn leave(&mut self, hub: &mut Hub) {
        self.leaving = true;
        // Whoever holds a listener last has taken all that waited there.
        self.listeners.clear();
        for place in &mut self.places {
            if let Place::Taken(holder) = place {
                holder.counts.asking = holder.counts.connections > 0;
            }
        }
        self.tell_all(hub, &Message::Leave {});
    }

    /// Stops or resumes reading what clients ask.
    pub fn pause(&mut self, hub: &mut Hub, paused: bool) {
        if std::mem::replace(&mut self.paused, paused) != paused {
            self.taken().for_each(|holder| hub.pause(holder.trunk, paused));
        }
    }

    /// All calls are answered: each holder ends once its connections have.
    pub fn finish(&mut self, hub: &mut Hub) {
        self.finishing = true;
        self.tell_of_room(hub, true);
    }

    /// Starts those that are due, and buries those that ended.
    pub fn tick(&mut self, hub: &mut Hub) {
        self.ended.retain_mut(|child| matches!(child.try_wait(), Ok(None)));
        let now = hub.clock().now();
        for place in 0..self.places.len() {
            let Place::Free(at, wait) = self.places[place] else { continue };
            if at > now || self.leaving {
                continue;
            }
            match self.start(hub, now) {
                Ok(holder) => {
                    self.by_life.insert(self.lives, place);
                    self.restarts += u64::from(at > 0);
                    tracing::info!(place, process = holder.child.id(), "a holder of connections starts");
                    self.places[place] = Place::Taken(Box::new(holder));
                }
                Err(error) => {
                    tracing::error!(%error, "a holder of connections can't be started");
                    self.places[place] = Place::Free(now + wait, (wait * 2).min(AGAIN_MOST));
                }
            }
        }
    }

    fn start(&mut self, hub: &mut Hub, now: Micros) -> io::Result<Holder> {
        let (ours, theirs) = UnixStream::pair()?;
        trunk::hand_over(&ours, &self.listeners)?;
        let mut command = (self.command)()?;
        command.stdin(Stdio::from(OwnedFd::from(theirs))).stdout(Stdio::null());
        let child = command.spawn()?;
        let trunk = hub.adopt(ours.into(), Wire::Frames)?;
        let room_elsewhere = self.places.len() > 1;
        let told = self.told(hub, room_elsewhere);
        hub.send(trunk, &told, None);
        hub.pause(trunk, self.paused);
        // A life's number comes again after 65,535 others; one that still lives keeps its own.
        loop {
            self.lives = self.lives.wrapping_add(1).max(1);
            if !self.by_life.contains_key(&self.lives) {
                break;
            }
        }
        let counts = DoorCounts::default();
        Ok(Holder { trunk, child, since: now, of: None, owed: BTreeMap::new(), counts, room_elsewhere })
    }

    /// When [`Holders::tick`] is wanted next.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        let starts = self.places.iter().filter_map(|place| match place {
            Place::Free(at, _) if !self.leaving => Some(*at),
            _ => None,
        });
        starts.chain((!self.ended.is_empty()).then_some(now + AGAIN_FIRST)).min()
    }

    fn place_of(&self, trunk: Connection) -> Option<(u16, usize)> {
        let is = |place: usize| matches!(&self.places[place], Place::Taken(h) if h.trunk == trunk);
        self.by_life.iter().map(|(life, place)| (*life, *place)).find(|(_, place)| is(*place))
    }

    /// Whether this is a holder's trunk.
    pub fn is_trunk(&self, connection: Connection) -> bool {
        self.place_of(connection).is_some()
    }

    /// A notice of a trunk.
    pub fn notice(&mut self, hub: &mut Hub, notice: Notice) -> Option<FromHolder> {
        match notice {
            Notice::Message(connection, message) => {
                let (life, place) = self.place_of(connection)?;
                let counts = matches!(message, Message::Counts { .. });
                let from = self.message(life, place, message);
                if counts {
                    self.tell_of_room(hub, false);
                }
                from
            }
            Notice::Closed { connection, why, .. } => {
                let (life, place) = self.place_of(connection)?;
                Some(self.died(hub, life, place, &why))
            }
            _ => None,
        }
    }

    fn message(&mut self, life: u16, place: usize, message: Message) -> Option<FromHolder> {
        let Place::Taken(holder) = &mut self.places[place] else { return None };
        match message {
            Message::Of { connection, came } => holder.of = Some((connection, came)),
            Message::Counts { json } => {
                holder.counts = serde_json::from_slice(&json).unwrap_or_default();
                // Counted before it heard that all are to leave.
                holder.counts.asking |=
                    self.leaving && holder.counts.asked == 0 && holder.counts.connections > 0;
            }
            message => {
                let (connection, came) = holder.of.take()?;
                match &message {
                    Message::Cancel { number } => holder.settled(connection, *number),
                    Message::Bye { .. } => _ = holder.owed.remove(&connection),
                    asked => {
                        if let Some(number) = asked_number(asked) {
                            holder.owed.entry(connection).or_default().insert(number);
                        }
                    }
                }
                let key = u64::from(life) << LIFE | connection;
                return Some(FromHolder::Ask(key, Ask { connection, came, message }));
            }
        }
        None
    }

    fn died(&mut self, hub: &Hub, life: u16, place: usize, why: &str) -> FromHolder {
        self.by_life.remove(&life);
        let now = hub.clock().now();
        let holder = std::mem::replace(&mut self.places[place], Place::Free(now, AGAIN_FIRST));
        let Place::Taken(mut holder) = holder else { return FromHolder::Gone(Vec::new()) };
        if !self.leaving {
            let (process, held) = (holder.child.id(), holder.counts.connections);
            tracing::warn!(process, held, %why, "a holder of connections is gone");
        }
        // It may only have lost its trunk; without one it is of no use.
        let _ = holder.child.kill();
        let soon = if holder.since + LIVED < now { 0 } else { AGAIN_FIRST };
        self.places[place] = Place::Free(now + soon, AGAIN_FIRST * 2);
        self.ended.push(holder.child);
        FromHolder::Gone(holder.owed.into_keys().map(|c| u64::from(life) << LIFE | c).collect())
    }

    /// Hands a message for a client to its holder.
    pub fn reply(&mut self, hub: &mut Hub, key: Key, message: &Message) {
        let Some(place) = self.by_life.get(&life(key)) else { return };
        let Place::Taken(holder) = &mut self.places[*place] else { return };
        let connection = key & ((1 << LIFE) - 1);
        answered_number(message).into_iter().for_each(|number| holder.settled(connection, number));
        hub.send(holder.trunk, &Message::Of { connection, came: 0 }, None);
        hub.send(holder.trunk, message, None);
    }
}
