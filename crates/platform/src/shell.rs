//! The loop of a gateway on the platform.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use calloop::signals::Signal;
use cresswheel::Micros;
use cresswheel_engine::{Answer, Attempt, AttemptEnd, Call, Client, Engine, Input, Output};
use cresswheel_platform_wire::client::{Code, Request};
use cresswheel_platform_wire::config::Config;
use cresswheel_protocol::{Standing, Status};
use cresswheel_transport::{Connection, Hub, Notice, Wire, listener};

use crate::PlatformSettings;
use crate::departures::{Departures, Work};
use crate::directory::{self, Directory};
use crate::front::{Ask, Front};
use crate::hosts::{Hosts, Order};
use crate::lateness::Lateness;
use crate::waiting::Waiting;

/// Reads the configuration again, for HUP.
pub type Reload = Box<dyn FnMut() -> Result<Config, String>>;

/// How long a port that is in use is waited for at the start: a gateway that was killed a moment ago had it.
const BIND_WITHIN: Duration = Duration::from_secs(2);
const BIND_AGAIN: Duration = Duration::from_millis(20);
/// How often a line of counts is logged.
const TELL: Micros = 10_000_000;
/// After the last time for answers, how long they may take to leave.
const LEAVE_WITHIN: Micros = 250_000;
/// Meanwhile it is looked that often what has left.
const FLUSH_LOOK: Micros = 5_000;

/// A client that has gone is owed no further attempt 0.1 s later: what is begun leaves within half of that after the
/// last look at the clients.
const LONG_TURN: Micros = 50_000;
/// A standstill of the process shows by a sleep that ends late. One that is shorter than the sleep does not, and what
/// came meanwhile counts as later by as much: less than the 0.15 s by which a deadline passed to a host may be late.
const LONGEST_SLEEP: Micros = 100_000;
/// However much they say, so many looks are taken before the work goes on.
const HEAR_AT_MOST: u32 = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    Running,
    /// TERM came then. Requests are still taken for a while.
    Leaving(Micros),
    /// Nothing is taken any more, and what is open is answered; TERM came then.
    Stopping(Micros),
    /// All is answered. What waits to be written may leave until then, and clients may close their connections.
    Flushing(Micros),
}

/// A gateway process on the platform.
pub struct Platform {
    settings: PlatformSettings,
    reload: Reload,
    hub: Hub,
    engine: Engine,
    front: Front,
    hosts: Hosts,
    directory: Directory,
    departures: Departures,
    address: SocketAddr,
    look: Micros,
    tell: Micros,
    lateness: Lateness,
    /// Requests that were read while only those who leave were listened for.
    waiting: Waiting,
    inputs: VecDeque<Input>,
    outputs: Vec<Output>,
    life: Life,
}

impl Platform {
    /// Takes the signals, listens, and learns the list that the configuration holds.
    pub fn start(config: &Config, reload: Reload) -> anyhow::Result<Self> {
        let settings = PlatformSettings::of(config)?;
        tracing::info!(
            name = settings.name,
            clients = settings.door.connections,
            carriers = ?settings.carriers,
            open_calls = settings.engine.admission.open_calls,
            "starts"
        );
        let mut hub = Hub::new(settings.hub).context("event loop")?;
        // Before anybody can know of this process: a signal without its handler would end it.
        hub.signals(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]).context("signals")?;
        hub.leave_within(LONG_TURN);
        let now = hub.clock().now();
        let mut engine = Engine::new(settings.engine.clone(), settings.seed ^ now)?;
        let module = &settings.engine.module;
        let directory = Directory::new(
            now,
            settings.directory,
            config.known.listing(),
            settings.seed,
            module.drain_grace,
        );
        engine.hold_to_list_age(directory::terms(module.drain_grace, module.may_probe), directory.age());
        let mut gateway = Self {
            front: Front::new(now, settings.door),
            hosts: Hosts::new(settings.carriers, settings.host_connections, settings.late),
            directory,
            departures: Departures::default(),
            address: settings.listen,
            look: now + settings.look,
            tell: now + TELL,
            lateness: Lateness::default(),
            waiting: Waiting::default(),
            inputs: VecDeque::new(),
            outputs: Vec::new(),
            life: Life::Running,
            reload,
            hub,
            engine,
            settings,
        };
        gateway.take_list();
        let socket = bind(gateway.settings.listen)?;
        gateway.address = socket.local_addr()?.as_socket().context("listen")?;
        gateway.hub.adopt_listener(socket.into(), Wire::Raw)?;
        Ok(gateway)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Runs until a signal ends it, all requests answered.
    pub fn run(&mut self) -> io::Result<()> {
        loop {
            let now = self.hub.clock().now();
            if self.live(now) {
                return Ok(());
            }
            if self.directory.tick(&mut self.hub, now) {
                self.give(Input::ListAge(self.directory.age()));
            }
            self.clear_departures();
            let due = if self.waiting.is_empty() { self.next_due(now) } else { now };
            self.hub.wait(Some(due.min(now + LONGEST_SLEEP)))?;
            self.departures.wrote(self.hub.wrote(), &self.hub, &self.hosts, &mut self.engine);
            while let Some(ask) = self.waiting.take() {
                self.asked(ask);
            }
            while let Some(notice) = self.hub.take_notice() {
                self.notice(notice);
                while let Some(ask) = self.front.take_ask() {
                    self.asked(ask);
                }
            }
            self.hear_news()?;
            let now = self.hub.clock().now();
            if let Some(due) = self.engine.wake_at().filter(|at| *at <= now) {
                self.lateness.saw(now, due);
                self.give(Input::Wake);
            }
            self.front.tick(&mut self.hub);
            if self.look <= now {
                self.look = now + self.settings.look;
                self.hosts.tidy(&mut self.hub);
                let mut bounds = self.settings.engine.clone();
                bounds.answer_margin = self.lateness.margin(self.settings.engine.answer_margin);
                self.engine.change_bounds(&bounds);
            }
            if self.tell <= now {
                self.tell = now + TELL;
                self.tell_counts();
            }
        }
    }

    /// Right before the hub writes: what may no longer leave for its host is taken back. What the module sends instead
    /// is asked about as well, so this goes on until nothing is taken back; a call's attempts are counted.
    fn clear_departures(&mut self) {
        loop {
            let now = self.hub.clock().now();
            let ended = self.departures.clear(now, &mut self.hub, &mut self.hosts, &mut self.engine);
            if ended.is_empty() {
                return;
            }
            ended.into_iter().for_each(|input| self.give(input));
        }
    }

    /// What was begun in this turn leaves with the next one. A client that has gone by then must be known of, so after
    /// a long turn, or with more to read than one turn reads, the clients are listened to once more: who leaves or
    /// takes back is heard at once, and new requests wait. So is the directory: what it tells counts as told.
    fn hear_news(&mut self) -> io::Result<()> {
        for _ in 0..HEAR_AT_MOST {
            if !self.hub.is_behind(LONG_TURN) || self.waiting.is_full() {
                break;
            }
            self.hub.hear()?;
            while let Some(notice) = self.hub.take_notice() {
                self.notice(notice);
                while let Some(ask) = self.front.take_ask() {
                    if let Some(ask) = self.waiting.hear(ask) {
                        self.asked(ask);
                    }
                }
            }
        }
        Ok(())
    }

    /// What the way to the end asks for now; true: it is reached.
    fn live(&mut self, now: Micros) -> bool {
        match self.life {
            Life::Leaving(since) if since + self.settings.take_for <= now => {
                self.front.shut(&mut self.hub);
                self.give(Input::Drain);
                self.life = Life::Stopping(since);
            }
            Life::Stopping(since)
                if self.engine.open_calls() == 0 || since + self.settings.stop_within <= now =>
            {
                self.give(Input::Stop);
                self.life = Life::Flushing(since + self.settings.stop_within + LEAVE_WITHIN);
            }
            Life::Flushing(until)
                if until <= now || self.waiting.is_empty() && self.front.finish_all(&mut self.hub) =>
            {
                self.tell_counts();
                tracing::info!("stopped");
                return true;
            }
            _ => {}
        }
        false
    }

    fn next_due(&self, now: Micros) -> Micros {
        let life = match self.life {
            Life::Running => None,
            Life::Leaving(since) => Some(since + self.settings.take_for),
            Life::Stopping(since) => Some(since + self.settings.stop_within),
            Life::Flushing(until) => Some(until.min(now + FLUSH_LOOK)),
        };
        let (engine, front) = (self.engine.wake_at(), self.front.next_due(now));
        let dues = [life, engine, front, self.departures.next_due(now), Some(self.directory.next_due())];
        dues.into_iter().flatten().chain([self.look, self.tell]).min().unwrap_or(self.look)
    }

    /// A request could be served.
    fn is_ready(&self) -> bool {
        self.life == Life::Running && self.engine.workers().any(|worker| worker.standing == Standing::In)
    }

    fn notice(&mut self, notice: Notice) {
        let is_ready = self.is_ready();
        let Some(notice) = self.front.notice(&mut self.hub, is_ready, notice) else { return };
        match notice {
            Notice::Connected(connection) => self.hosts.stands(&self.hub, connection),
            Notice::Bytes(connection, bytes) if self.hosts.is_ours(connection) => {
                let ended = self.hosts.bytes(&mut self.hub, connection, &bytes);
                ended.into_iter().for_each(|input| self.give(input));
            }
            Notice::Closed { connection, guest: false, never_stood, unsent, why } => {
                let host = self.hosts.host(connection);
                let ended = self.hosts.closed(connection, never_stood, &unsent, &why);
                if !ended.is_empty() {
                    let host = host.map(tracing::field::display);
                    tracing::info!(host, connection, %why, never_stood, ended = ended.len(), "a host's connection ended");
                }
                ended.into_iter().for_each(|input| self.give(input));
            }
            Notice::Datagram(socket, bytes) if self.directory.is_ours(socket) => {
                let is_new = self.directory.answered(self.hub.clock().now(), &bytes);
                self.give(Input::ListAge(self.directory.age()));
                if is_new {
                    self.take_list();
                }
                self.give(Input::ListDisputed(self.directory.disputed()));
            }
            Notice::Signal(Signal::SIGHUP) => self.read_again(),
            Notice::Signal(signal) if self.life == Life::Running => {
                tracing::info!(?signal, open = self.engine.open_calls(), "stopping");
                self.front.leave(&mut self.hub);
                self.life = Life::Leaving(self.hub.clock().now());
            }
            _ => {}
        }
    }

    /// Only the directory's address may change; with a fault in the file, or another gateway's, all stays as it was.
    fn read_again(&mut self) {
        let ours = |config: Config| match PlatformSettings::of(&config) {
            Ok(settings) if settings.is_same_gateway(&self.settings) => Ok(settings.directory),
            Ok(settings) => {
                Err(format!("it is of another gateway, {} at {}", settings.name, settings.listen))
            }
            Err(error) => Err(error.to_string()),
        };
        match (self.reload)().and_then(ours) {
            Ok(address) => {
                let now = self.hub.clock().now();
                self.directory.move_to(&mut self.hub, now, address);
            }
            Err(error) => tracing::error!(%error, "the configuration stays as it was"),
        }
    }

    fn asked(&mut self, ask: Ask) {
        match ask {
            Ask::Request(connection, stream, came, request) => {
                self.request(connection, stream, came, request);
            }
            Ask::TakenBack(connection, stream) => {
                tracing::debug!(connection, stream, "taken back");
                self.give(Input::Cancel(Client { connection, number: u64::from(stream) }));
            }
            Ask::Left(connection) => {
                tracing::debug!(connection, "left");
                self.give(Input::Left(connection));
            }
        }
    }

    /// A request's time runs since it came.
    fn request(&mut self, connection: Connection, stream: u32, came: Micros, request: Request) {
        let waited = self.hub.clock().now().saturating_sub(came);
        let call = Call {
            deferred: false,
            function: request.function,
            class: request.class,
            tenant: request.tenant,
            // Hosts drop repeats; this gateway keeps nothing, and a call that its client leaves is over.
            key: request.once,
            is_key_for_workers: true,
            trace: request.id,
            time_left: (request.wait_ms * 1_000).saturating_sub(waited).max(1),
            shape: request.shape,
            body: request.body,
            account: None,
            route: None,
        };
        self.give(Input::Call(Client { connection, number: u64::from(stream) }, call));
    }

    /// The list in force is another one.
    fn take_list(&mut self) {
        let hosts = self.directory.list().workers().to_vec();
        tracing::info!(serial = self.directory.list().number, hosts = hosts.len(), "list");
        let ended = self.hosts.take_list(&mut self.hub, &hosts);
        self.give(Input::List { whole: true, workers: hosts });
        ended.into_iter().for_each(|input| self.give(input));
    }

    /// Gives the engine an input, carries out what it answers, and so on until nothing is left.
    fn give(&mut self, input: Input) {
        self.inputs.push_back(input);
        while let Some(input) = self.inputs.pop_front() {
            match &input {
                Input::AttemptEnded(attempt, end, ..) => tracing::debug!(attempt, ?end, "ended"),
                Input::OrderEnded(order, end, standing) => tracing::debug!(order, ?end, standing, "held"),
                _ => {}
            }
            let mut outputs = std::mem::take(&mut self.outputs);
            self.engine.handle(self.hub.clock().now(), input, &mut outputs);
            for output in outputs.drain(..) {
                self.carry_out(output);
            }
            self.outputs = outputs;
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Answer(client, answer) => self.answer(client, &answer),
            Output::Run(attempt) => self.run_attempt(attempt),
            Output::Withdraw(_, attempt) => {
                if self.departures.drop_parked(attempt) || self.hosts.withdraw(&mut self.hub, attempt) {
                    let end = AttemptEnd::TakenBack;
                    self.inputs.push_back(Input::AttemptEnded(attempt, end, Vec::new(), None));
                }
            }
            Output::Overdue(_, attempt) | Output::CancelRun(_, attempt) => {
                if !self.departures.drop_parked(attempt) {
                    self.hosts.give_up(&mut self.hub, attempt);
                }
            }
            Output::Hold { worker, order, function, count, .. } => {
                self.give_order(Order { worker, number: order, function, count });
            }
            Output::Drop(worker, function) => {
                tracing::debug!(%worker, %function, "unload");
                self.hosts.unload(&mut self.hub, &worker, &function);
            }
            Output::Probe(worker) => _ = self.hosts.probe(&mut self.hub, &worker),
            Output::Log(text) => tracing::info!("{text}"),
            // The front sees to streams that are used twice; the directory is followed from the start; versions and
            // deferred calls have no place in this protocol.
            Output::Close(..) | Output::Follow | Output::Accepted(..) => {}
            Output::Over { .. } | Output::Ran(..) | Output::Loaded(..) => {}
        }
    }

    fn run_attempt(&mut self, attempt: Attempt) {
        let call = &attempt.call;
        tracing::debug!(
            id = %call.trace,
            host = %attempt.worker,
            function = %call.function,
            class = %call.class,
            attempt = attempt.number,
            before = attempt.before,
            timeout = attempt.timeout,
            "run"
        );
        match self.hosts.run(&mut self.hub, &attempt) {
            Some(ended) => self.inputs.push_back(ended),
            None => {
                let now = self.hub.clock().now();
                self.departures.handed(now, attempt.number, Work::Attempt(attempt));
            }
        }
    }

    fn give_order(&mut self, order: Order) {
        tracing::debug!(
            worker = %order.worker,
            function = %order.function,
            order = order.number,
            count = order.count,
            "hold"
        );
        match self.hosts.hold(&mut self.hub, &order) {
            Some(ended) => self.inputs.push_back(ended),
            None => {
                let now = self.hub.clock().now();
                self.departures.handed(now, order.number, Work::Order(order));
            }
        }
    }

    fn answer(&mut self, client: Client, answer: &Answer) {
        let (code, body) = match answer.status {
            Status::Served => (Code::Served, &*answer.body),
            Status::Refused => (Code::Refused, &[][..]),
            _ => (Code::Failed, &[][..]),
        };
        let after = (code == Code::Refused && answer.retry_after > 0).then_some(answer.retry_after / 1_000);
        let (connection, stream) = (client.connection, client.number as u32);
        tracing::debug!(connection, stream, status = %answer.status, reason = answer.reason, "answer");
        self.front.answer(&mut self.hub, connection, stream, code, after, body);
    }

    fn tell_counts(&self) {
        let (door, hosts, counters) = (self.front.counts(), self.hosts.counts, self.engine.counters());
        let turned_away: Vec<_> = self.front.turned_away.iter().collect();
        tracing::info!(
            clients = door.connections,
            arrived = door.arrived,
            closed = ?door.closed,
            host_connections = self.hosts.connections(),
            spoilt = hosts.spoilt,
            unasked = hosts.unasked,
            open = self.engine.open_calls(),
            out = self.engine.open_attempts(),
            taken = ?counters.taken,
            attempts = ?counters.attempts,
            answers = ?counters.answers,
            orders = counters.orders,
            kept_back = ?counters.kept_back,
            violations = ?counters.violations,
            closed_owed = self.front.closed_owed,
            list_age = self.hub.clock().now().saturating_sub(self.directory.age().as_of),
            turned_away = ?(turned_away, &counters.turned_away),
            serial = self.directory.list().number,
            contradictions = ?self.directory.contradictions(),
            margin = self.lateness.margin(self.settings.engine.answer_margin),
            "counts"
        );
    }
}

fn bind(at: SocketAddr) -> anyhow::Result<socket2::Socket> {
    let began = std::time::Instant::now();
    loop {
        match listener(at) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && began.elapsed() < BIND_WITHIN => {
                std::thread::sleep(BIND_AGAIN);
            }
            other => return other.with_context(|| format!("listen on {at}")),
        }
    }
}
