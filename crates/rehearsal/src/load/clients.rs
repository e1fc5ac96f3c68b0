//! Clients that call as fast as answers come, or at times drawn ahead.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use cresswheel_protocol::{Ending, FunctionProfile, Message, Micros, Role, Status};
use cresswheel_transport::{Connection, EventLoop, EventLoopLimits, LoopEvent, Wire};
use hdrhistogram::Histogram;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;

use super::LoadSettings;

/// Functions that are called in turn.
const FUNCTIONS: u64 = 16;
const CONNECT_WITHIN: Micros = 2_000_000;
/// Time that each call has.
const CALL_TIME: Micros = 10_000_000;
/// Calls that are open this long after the end count as never answered.
const ANSWER_WITHIN: Micros = 20_000_000;
/// How often the end is looked for, if nothing else is due.
const POLL: Micros = 100_000;
/// The longest time that the histogram distinguishes.
const LONGEST: u64 = 60_000_000;

/// Whom the clients call.
#[derive(Clone, Copy)]
pub enum Target {
    /// A gateway or a relay.
    Gateway(SocketAddr),
    /// A worker.
    Worker(SocketAddr),
}

/// When calls are sent.
pub enum Arrivals {
    /// A call for each answer, so many out at once on each connection.
    ClosedLoop { window: usize },
    /// So many a second, at Poisson times, whatever the answers do.
    OpenLoop { rate: f64 },
}

/// The calls of a time.
pub struct Measurement {
    /// Calls answered within it.
    pub answered: u64,
    /// Those among them that were served.
    pub served: u64,
    took: Micros,
    /// Times from when a call was due until its answer, in microseconds.
    pub times: Histogram<u64>,
}

impl Measurement {
    /// Answers a second.
    pub fn rate(&self) -> f64 {
        self.answered as f64 / (self.took as f64 / 1e6)
    }

    /// The time within which this part of the calls was answered, in microseconds.
    pub fn quantile(&self, part: f64) -> f64 {
        self.times.value_at_quantile(part) as f64
    }
}

/// The answer to a call.
struct Answered {
    number: u64,
    served: bool,
}

/// Clients on connections to one target.
pub struct Clients {
    hub: EventLoop,
    connections: Vec<Connection>,
    calls_worker: bool,
    /// By number of each open call: when it was due.
    open: HashMap<u64, Micros>,
    next: u64,
    rng: Pcg32,
    body: Vec<u8>,
}

impl Clients {
    /// Connects.
    pub fn new(settings: &LoadSettings, target: Target) -> anyhow::Result<Self> {
        let mut hub = EventLoop::new(EventLoopLimits::default())?;
        let (at, role) = match target {
            Target::Gateway(at) => (at, Role::Client),
            Target::Worker(at) => (at, Role::Gateway),
        };
        let mut connections = Vec::new();
        for _ in 0..settings.connections {
            let connection = hub.connect(at, Wire::Frames, CONNECT_WITHIN);
            hub.send(connection, &Message::Hello { role, name: "load".into(), zone: String::new() }, None);
            connections.push(connection);
        }
        Ok(Self {
            hub,
            connections,
            calls_worker: role == Role::Gateway,
            open: HashMap::new(),
            next: 0,
            rng: Pcg32::new(7, 0x10ad),
            body: vec![b'x'; settings.body],
        })
    }

    /// Sends so many calls at once.
    pub fn send_calls(&mut self, count: usize) {
        (0..count).for_each(|_| self.send_call(0));
    }

    /// Lets time pass; what comes meanwhile counts for nothing.
    pub fn wait(&mut self, time: Duration) -> anyhow::Result<()> {
        let until = self.hub.clock().now() + time.as_micros() as Micros;
        while self.hub.clock().now() < until {
            self.hub.wait(Some(until))?;
            while self.hub.next_event().is_some() {}
        }
        Ok(())
    }

    fn send_call(&mut self, due: Micros) {
        self.next += 1;
        let number = self.next;
        let message = if self.calls_worker { self.attempt(number) } else { self.call(number) };
        self.open.insert(number, due);
        let connection = self.connections[number as usize % self.connections.len()];
        self.hub.send(connection, &message, None);
    }

    /// A call as a gateway gets it.
    fn call(&self, number: u64) -> Message {
        Message::Call {
            number,
            deferred: false,
            function: function(number),
            class: "check".into(),
            tenant: String::new(),
            key: String::new(),
            trace: String::new(),
            time_left: CALL_TIME,
            shape: shape(),
            body: self.body.clone(),
            account: None,
        }
    }

    /// The same as a worker gets it.
    fn attempt(&self, number: u64) -> Message {
        Message::Run {
            attempt: number,
            trace: String::new(),
            before: 0,
            function: function(number),
            class: "check".into(),
            key: String::new(),
            time_left: CALL_TIME,
            shape: shape(),
            body: self.body.clone(),
        }
    }

    /// Calls for so many seconds and waits for what is open.
    pub fn measure(&mut self, arrivals: &Arrivals, seconds: f64) -> anyhow::Result<Measurement> {
        let start = self.hub.clock().now();
        let end = start + (seconds * 1e6) as Micros;
        let times = Histogram::new_with_bounds(1, LONGEST, 3)?;
        let mut measured = Measurement { answered: 0, served: 0, took: end - start, times };
        let mut arrival = start;
        if let Arrivals::ClosedLoop { window } = arrivals {
            (0..window * self.connections.len()).for_each(|_| self.send_call(start));
        }
        loop {
            let now = self.hub.clock().now();
            if let Arrivals::OpenLoop { rate } = arrivals {
                while arrival <= now && arrival < end {
                    self.send_call(arrival);
                    arrival += self.draw_gap(*rate);
                }
            }
            if now >= end && self.open.is_empty() {
                return Ok(measured);
            }
            anyhow::ensure!(now < end + ANSWER_WITHIN, "{} calls were never answered", self.open.len());
            let next_call = matches!(arrivals, Arrivals::OpenLoop { .. }) && arrival < end;
            self.hub.wait(Some(if next_call { arrival } else { now + POLL }))?;
            self.take_answers(arrivals, end, &mut measured)?;
        }
    }

    /// Time until the next call of a Poisson process.
    fn draw_gap(&mut self, rate: f64) -> Micros {
        let drawn = (f64::from(self.rng.next_u32()) + 1.0) / (f64::from(u32::MAX) + 2.0);
        (-drawn.ln() / rate * 1e6) as Micros
    }

    fn take_answers(
        &mut self,
        arrivals: &Arrivals,
        end: Micros,
        measured: &mut Measurement,
    ) -> anyhow::Result<()> {
        while let Some(notice) = self.hub.next_event() {
            let Some(Answered { number, served }) = answer(notice)? else { continue };
            let Some(due) = self.open.remove(&number) else { continue };
            let now = self.hub.clock().now();
            measured.times.record(now.saturating_sub(due).max(1))?;
            if now >= end {
                continue;
            }
            measured.answered += 1;
            measured.served += u64::from(served);
            if matches!(arrivals, Arrivals::ClosedLoop { .. }) {
                self.send_call(now);
            }
        }
        Ok(())
    }
}

/// The answer in a notice, if it is one. No connection may end.
fn answer(notice: LoopEvent) -> anyhow::Result<Option<Answered>> {
    match notice {
        LoopEvent::Message(_, Message::Answer { number, status, .. }) => {
            Ok(Some(Answered { number, served: status == Status::Served }))
        }
        LoopEvent::Message(_, Message::Ran { attempt, ending, .. }) => {
            Ok(Some(Answered { number: attempt, served: ending == Ending::Ok }))
        }
        LoopEvent::Closed { why, .. } => anyhow::bail!("a connection ended: {why}"),
        _ => Ok(None),
    }
}

fn function(number: u64) -> String {
    format!("f{}", number % FUNCTIONS)
}

fn shape() -> FunctionProfile {
    FunctionProfile { memory_mb: 10, lanes: 100_000, load_time: 0, work: 0 }
}
