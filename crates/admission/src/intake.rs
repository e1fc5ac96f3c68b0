//! The intake: calls that came faster than they can be started.
//!
//! When ten thousand connections wake together, their calls are here within a few milliseconds and the engine needs
//! some hundred for them. Who waits, and who is refused, is decided here, by what classes say of themselves:
//!
//! - the class with the shorter aim goes first, at equal aims the one of higher worth; within a class tenants take
//!   turns;
//! - a call waits for `share` of its class's aim at most, and is refused then, before anything has happened to it;
//!   one that can't get its turn by then, even at twice the rate at which calls have been started lately, is
//!   refused when it comes;
//! - when there is more to do than fits into that time, clients are read no further: work is put into calls that
//!   can be in time before it is put into refusals, which have until the deadlines;
//! - each refused call is told a time of its own to come back, so that all together they come no faster than
//!   `share` of that rate.
//!
//! Invariant: each call that is offered comes out exactly once, taken or refused, unless it was called off.

use std::collections::{BTreeMap, VecDeque};

use cresswheel_protocol::Micros;

/// Bounds of the intake.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IntakeLimits {
    /// Calls that may wait.
    pub calls: usize,
    /// Calls started in one turn of the loop, before answers have their turn again.
    pub per_turn: usize,
    /// Part of a class's aim that may pass before its call is started.
    pub share: f64,
    /// Clients are left unread for so long at most.
    pub hold: Micros,
    /// Refused calls are told to come back after this at the earliest...
    pub return_after: Micros,
    /// ... and after this at the latest.
    pub most_return: Micros,
}

impl Default for IntakeLimits {
    fn default() -> Self {
        Self {
            calls: 20_000,
            per_turn: 64,
            share: 0.5,
            hold: 1_000_000,
            return_after: 1_000_000,
            most_return: 30_000_000,
        }
    }
}

/// What a class says of itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Full worth within it.
    pub aim: Micros,
    /// Worth of an answer.
    pub worth: f64,
}

/// A call that is not taken; it provably never ran.
#[derive(Clone, Debug, PartialEq)]
pub struct Refused<T> {
    /// What was offered.
    pub call: T,
    /// Why, in a word.
    pub reason: &'static str,
    /// When it may come back.
    pub retry_after: Micros,
}

/// What becomes of a call that is offered.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict<T> {
    /// It waits for its turn.
    Waits,
    /// It, or one of less worth in its stead, is refused.
    Refused(Refused<T>),
    /// Its name is one that waits already.
    Twice(T),
}

/// Who expects the answer: a connection and a number on it.
pub type Name = (u64, u64);

struct Waiting<T> {
    name: Name,
    /// Tells it from another of the same name, if this one was called off.
    serial: u64,
    came: Micros,
    call: T,
}

/// A class's calls; tenants take turns.
struct Lane<T> {
    class: usize,
    limit: Micros,
    len: usize,
    by_tenant: BTreeMap<Option<usize>, VecDeque<Waiting<T>>>,
    turns: VecDeque<Option<usize>>,
}

impl<T> Lane<T> {
    fn push(&mut self, tenant: Option<usize>, waiting: Waiting<T>) {
        let queue = self.by_tenant.entry(tenant).or_default();
        if queue.is_empty() {
            self.turns.push_back(tenant);
        }
        queue.push_back(waiting);
        self.len += 1;
    }

    fn pop(&mut self) -> Option<Waiting<T>> {
        let tenant = self.turns.pop_front()?;
        let queue = self.by_tenant.get_mut(&tenant)?;
        let waiting = queue.pop_front();
        if queue.is_empty() {
            self.by_tenant.remove(&tenant);
        } else {
            self.turns.push_back(tenant);
        }
        self.len -= 1;
        waiting
    }

    /// The newest call of the tenant with the most of them.
    fn pop_newest(&mut self) -> Option<Waiting<T>> {
        let tenant = *self.by_tenant.iter().max_by_key(|(_, queue)| queue.len())?.0;
        self.pop_of(tenant, VecDeque::pop_back)
    }

    fn pop_over(&mut self, now: Micros) -> Option<Waiting<T>> {
        let over = |queue: &VecDeque<Waiting<T>>| queue.front().is_some_and(|w| w.came + self.limit < now);
        let tenant = *self.by_tenant.iter().find(|(_, queue)| over(queue))?.0;
        self.pop_of(tenant, VecDeque::pop_front)
    }

    /// A call of this tenant, out of its turn.
    fn pop_of(
        &mut self,
        tenant: Option<usize>,
        pop: impl Fn(&mut VecDeque<Waiting<T>>) -> Option<Waiting<T>>,
    ) -> Option<Waiting<T>> {
        let queue = self.by_tenant.get_mut(&tenant)?;
        let waiting = pop(queue)?;
        if queue.is_empty() {
            self.by_tenant.remove(&tenant);
            self.turns.retain(|other| *other != tenant);
        }
        self.len -= 1;
        Some(waiting)
    }
}

/// Calls started a second is taken from stretches of this many at least.
const MEASURE: f64 = 64.0;
/// Before anything was measured: a modest machine's rate. Nothing is refused on its word.
const FIRST_RATE: f64 = 5_000.0;
/// Calls that come are read and refused from the same core: when they stop, the rest goes faster. So a refusal
/// before its time wants better evidence than a forecast.
const DOUBT: f64 = 2.0;
/// How fast what was measured is forgotten: at each call that was started.
const FORGET: f64 = 1.0 - 1.0 / 2_000.0;

/// Calls that wait for their turn.
pub struct Intake<T> {
    limits: IntakeLimits,
    /// By urgency; `order` has the lane of each class.
    lanes: Vec<Lane<T>>,
    order: Vec<usize>,
    waiting: BTreeMap<Name, u64>,
    serial: u64,
    len: usize,
    /// Calls started while others waited, and the time it took.
    started: f64,
    took: f64,
    looked: Option<Micros>,
    /// How long the call that was offered last had been on this machine.
    lag: Micros,
    returns: Micros,
}

impl<T> Intake<T> {
    /// An empty intake for these classes.
    pub fn new(classes: &[Terms], limits: IntakeLimits) -> Self {
        let mut by_urgency: Vec<usize> = (0..classes.len()).collect();
        by_urgency.sort_by(|a, b| {
            let (a, b) = (&classes[*a], &classes[*b]);
            a.aim.cmp(&b.aim).then(b.worth.total_cmp(&a.worth))
        });
        let mut order = vec![0; classes.len()];
        by_urgency.iter().enumerate().for_each(|(lane, class)| order[*class] = lane);
        let lane = |class: &usize| Lane {
            class: *class,
            limit: (classes[*class].aim as f64 * limits.share) as Micros,
            len: 0,
            by_tenant: BTreeMap::new(),
            turns: VecDeque::new(),
        };
        Self {
            lanes: by_urgency.iter().map(lane).collect(),
            order,
            limits,
            waiting: BTreeMap::new(),
            serial: 0,
            len: 0,
            started: 0.0,
            took: 0.0,
            looked: None,
            lag: 0,
            returns: 0,
        }
    }

    /// Changes the bounds; calls that wait keep the time they were given.
    pub fn change(&mut self, classes: &[Terms], limits: IntakeLimits) {
        self.limits = limits;
        for lane in &mut self.lanes {
            lane.limit = (classes[lane.class].aim as f64 * limits.share) as Micros;
        }
    }

    /// Calls that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether no more should be read from clients for now: as many wait as can be started in time. Calls that
    /// were left unread for long are read whatever waits, so that they are answered while their clients wait.
    pub fn is_full(&self) -> bool {
        self.len >= self.limits.calls || (self.lag < self.limits.hold && self.len > self.fitting())
    }

    /// Whether clients may be read again after it was full.
    pub fn has_room(&self) -> bool {
        self.len <= self.limits.calls / 2 && (self.lag >= self.limits.hold || self.len <= self.fitting() / 2)
    }

    /// Calls that can be started within the shortest wait.
    fn fitting(&self) -> usize {
        if !self.is_measured() {
            return self.limits.calls;
        }
        let shortest = self.lanes.first().map_or(0, |lane| lane.limit);
        ((self.rate() * shortest as f64 / 1e6) as usize).max(self.limits.per_turn * 2)
    }

    fn is_measured(&self) -> bool {
        self.started >= MEASURE && self.took > 0.0
    }

    /// Calls a second that can be started, as far as is known.
    pub fn rate(&self) -> f64 {
        if !self.is_measured() {
            return FIRST_RATE;
        }
        (self.started / self.took * 1e6).max(1.0)
    }

    /// A call of this class and tenant came to the machine at `came`, or not before.
    pub fn offer(
        &mut self,
        now: Micros,
        name: Name,
        class: usize,
        tenant: Option<usize>,
        came: Micros,
        call: T,
    ) -> Verdict<T> {
        if self.waiting.contains_key(&name) {
            return Verdict::Twice(call);
        }
        let lane = self.order[class];
        let ahead: usize = self.lanes[..=lane].iter().map(|lane| lane.len).sum();
        let wait = match self.is_measured() {
            true => (ahead as f64 / (self.rate() * DOUBT) * 1e6) as Micros,
            false => 0,
        };
        let has_waited = now.saturating_sub(came);
        self.lag = has_waited;
        if has_waited + wait > self.lanes[lane].limit && ahead >= self.limits.per_turn {
            return Verdict::Refused(self.refuse(now, call));
        }
        if self.len >= self.limits.calls {
            // One of the least urgent class gives way, unless that is its own.
            let last = self.lanes.iter().rposition(|lane| lane.len > 0);
            let victim = last.filter(|last| *last > lane).and_then(|last| self.lanes[last].pop_newest());
            let Some(victim) = victim else { return Verdict::Refused(self.refuse(now, call)) };
            self.len -= 1;
            self.put(lane, name, tenant, came, call);
            if self.is_wanted(&victim) {
                return Verdict::Refused(self.refuse(now, victim.call));
            }
            return Verdict::Waits;
        }
        self.put(lane, name, tenant, came, call);
        Verdict::Waits
    }

    fn put(&mut self, lane: usize, name: Name, tenant: Option<usize>, came: Micros, call: T) {
        self.serial += 1;
        self.lanes[lane].push(tenant, Waiting { name, serial: self.serial, came, call });
        self.waiting.insert(name, self.serial);
        self.len += 1;
    }

    /// Takes the name of what leaves its lane off the list; false: it was called off.
    fn is_wanted(&mut self, leaving: &Waiting<T>) -> bool {
        let wanted = self.waiting.get(&leaving.name) == Some(&leaving.serial);
        if wanted {
            self.waiting.remove(&leaving.name);
        }
        wanted
    }

    /// A turn begins: how long the calls that wait have taken so far is known only here.
    pub fn turn(&mut self, now: Micros) {
        if let Some(before) = self.looked {
            self.took += now.saturating_sub(before) as f64;
        }
        self.looked = (self.len > 0).then_some(now);
    }

    /// The next call to start, with the time at which it came. The caller takes `per_turn` at most in a turn.
    pub fn take(&mut self) -> Option<(Name, Micros, T)> {
        loop {
            let lane = self.lanes.iter_mut().find(|lane| lane.len > 0)?;
            let Some(next) = lane.pop() else { continue };
            self.len -= 1;
            if self.is_wanted(&next) {
                (self.started, self.took) = (self.started * FORGET + 1.0, self.took * FORGET);
                return Some((next.name, next.came, next.call));
            }
        }
    }

    /// Calls started in one turn.
    pub fn per_turn(&self) -> usize {
        self.limits.per_turn
    }

    /// A call that has waited for longer than its class allows.
    pub fn take_over(&mut self, now: Micros) -> Option<Refused<T>> {
        for lane in 0..self.lanes.len() {
            while let Some(over) = self.lanes[lane].pop_over(now) {
                self.len -= 1;
                if self.is_wanted(&over) {
                    return Some(self.refuse(now, over.call));
                }
            }
        }
        None
    }

    /// A client no longer wants its call. True: it waited here, and will not come out.
    pub fn call_off(&mut self, name: Name) -> bool {
        self.waiting.remove(&name).is_some()
    }

    /// A connection is gone with all its calls.
    pub fn left(&mut self, connection: u64) {
        let of_it = self.waiting.range((connection, 0)..=(connection, u64::MAX));
        let names: Vec<Name> = of_it.map(|(name, _)| *name).collect();
        names.iter().for_each(|name| _ = self.waiting.remove(name));
    }

    fn refuse(&mut self, now: Micros, call: T) -> Refused<T> {
        Refused { call, reason: "busy", retry_after: self.return_time(now) }
    }

    /// A place in the line of those that come back, so that they do not come together.
    fn return_time(&mut self, now: Micros) -> Micros {
        let (least, most) = (now + self.limits.return_after, now + self.limits.most_return);
        let step = (1e6 / (self.rate() * self.limits.share).max(1.0)).ceil() as Micros;
        // At the end of the line it begins again: places of long ago have emptied, or all come too late anyway.
        self.returns = if self.returns < least || self.returns > most { least } else { self.returns + step };
        self.returns.min(most) - now
    }
}
