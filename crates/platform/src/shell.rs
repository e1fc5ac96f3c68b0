//! The event loop of a gateway on the platform.

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

/// Rereads the configuration on HUP.
pub type Reload = Box<dyn FnMut() -> Result<Config, String>>;

/// How long startup retries to bind a port that is in use, as by a gateway that was killed a moment ago.
const BIND_WITHIN: Duration = Duration::from_secs(2);
const BIND_AGAIN: Duration = Duration::from_millis(20);
/// Interval between log lines with counts.
const TELL: Micros = 10_000_000;
/// How long answers may take to leave after the deadline for answers.
const LEAVE_WITHIN: Micros = 250_000;
/// Interval at which flushing is checked.
const FLUSH_LOOK: Micros = 5_000;

/// No attempt may start later than 0.1 s after its client left: attempts are written within half of that
/// after client sockets were last polled.
const LONG_TURN: Micros = 50_000;
/// A pause of the process is detected by a sleep that ends late. A pause shorter than the sleep goes
/// unnoticed and makes input received meanwhile look newer by as much: less than the 0.15 s by which a
/// deadline passed to a host may be late.
const LONGEST_SLEEP: Micros = 100_000;
/// Maximum number of extra reads before normal processing continues.
const HEAR_AT_MOST: u32 = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    Running,
    /// TERM was received at this time. Requests are still accepted for a while.
    Leaving(Micros),
    /// TERM was received at this time. No new requests are accepted; open ones are completed.
    Stopping(Micros),
    /// Every request is answered. Until this time, pending output may be written and clients may close.
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
    /// Requests read while only cancellations and disconnects were being processed.
    waiting: Waiting,
    inputs: VecDeque<Input>,
    outputs: Vec<Output>,
    life: Life,
}

impl Platform {
    /// Installs signal handlers, listens, and applies the host list in the configuration.
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
        // Before the process becomes reachable: a signal without its handler would end it.
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

    /// The listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Runs until a signal stops it and all requests are answered.
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

    /// Right before the hub writes, cancels whatever may no longer be sent to its host. Replacement attempts
    /// of the decision module are checked too, so this repeats until nothing is canceled; attempts per call
    /// are limited, so it ends.
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

    /// Output of this iteration is written in the next one, and a client that has left by then must be known.
    /// So after a long iteration, or with more input than one iteration reads, client sockets are read again:
    /// cancellations and disconnects take effect at once, new requests wait. The directory's socket is read
    /// too, as its answers count as notified.
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

    /// Advances the shutdown; true once it is complete.
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

    /// Whether a request could be served.
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

    /// Applies a new directory address. If the file is invalid or belongs to another gateway, nothing
    /// changes.
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

    /// Starts a call. Its time limit counts from when the request was received.
    fn request(&mut self, connection: Connection, stream: u32, came: Micros, request: Request) {
        let waited = self.hub.clock().now().saturating_sub(came);
        let call = Call {
            deferred: false,
            function: request.function,
            class: request.class,
            tenant: request.tenant,
            // Hosts deduplicate; this gateway stores no results, and a call ends when its client leaves.
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

    /// Applies a new host list.
    fn take_list(&mut self) {
        let hosts = self.directory.list().workers().to_vec();
        tracing::info!(serial = self.directory.list().number, hosts = hosts.len(), "list");
        let ended = self.hosts.take_list(&mut self.hub, &hosts);
        self.give(Input::List { whole: true, workers: hosts });
        ended.into_iter().for_each(|input| self.give(input));
    }

    /// Passes an input to the engine and applies its outputs, until no inputs are left.
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
            // Reused streams are handled by the client connections, the directory is followed from the start,
            // and this protocol has no versions or deferred calls.
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
