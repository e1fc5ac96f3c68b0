//! The event loop of a gateway on the platform.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use calloop::signals::Signal;
use cresswheel::Micros;
use cresswheel_engine::{Answer, Attempt, AttemptEnd, Call, Client, Engine, Input, Output};
use cresswheel_platform_wire::client::Code;
use cresswheel_platform_wire::config::Config;
use cresswheel_protocol::{MemberState, Status};
use cresswheel_transport::{EventLoop, LoopEvent, Wire, listener};

use crate::PlatformSettings;
use crate::departures::{Item, UnsentItems};
use crate::directory::{self, Directory};
use crate::front::{ClientConnections, ClientEvent, StartedRequest};
use crate::hosts::{Hosts, Order};
use crate::lateness::LoopLag;
use crate::loop_times::{LongIteration, LoopTimes, Stage};

/// Rereads the configuration on HUP.
pub type Reload = Box<dyn FnMut() -> Result<Config, String>>;

/// How long startup retries to bind a port that is in use, as by a gateway that was killed a moment ago.
const BIND_TIMEOUT: Duration = Duration::from_secs(2);
const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval between log lines with counts.
const COUNTS_INTERVAL: Micros = 10_000_000;
/// How long answers may take to leave after the deadline for answers.
const FLUSH_TIMEOUT: Micros = 250_000;
/// Interval at which flushing is checked.
const FLUSH_POLL_INTERVAL: Micros = 5_000;

/// No attempt may start later than 0.1 s after its client left: attempts are written within half of that
/// after client sockets were last polled, and an iteration may not take longer.
const LONG_ITERATION: Micros = 50_000;
/// A pause of the process is detected by a sleep that ends late. A pause shorter than the sleep goes
/// unnoticed and makes input received meanwhile look newer by as much: less than the 0.15 s by which a
/// deadline passed to a host may be late.
const MAX_SLEEP: Micros = 100_000;
/// How long an iteration decodes input of clients, takes answers of hosts, and starts requests; what is left
/// goes to the next one.
const STAGE_BUDGET: Micros = 5_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Running,
    /// TERM was received at this time. Requests are still accepted for a while.
    Draining(Micros),
    /// TERM was received at this time. No new requests are accepted; open ones are completed.
    Stopping(Micros),
    /// Every request is answered. Until this time, pending output may be written and clients may close.
    Flushing(Micros),
}

/// A gateway process on the platform.
pub struct Platform {
    settings: PlatformSettings,
    reload: Reload,
    hub: EventLoop,
    engine: Engine,
    clients: ClientConnections,
    hosts: Hosts,
    directory: Directory,
    unsent_items: UnsentItems,
    address: SocketAddr,
    next_idle_check: Micros,
    next_counts: Micros,
    loop_lag: LoopLag,
    loop_times: LoopTimes,
    inputs: VecDeque<Input>,
    outputs: Vec<Output>,
    phase: Phase,
}

impl Platform {
    /// Installs signal handlers, listens, and applies the host list in the configuration.
    pub fn start(config: &Config, reload: Reload) -> anyhow::Result<Self> {
        let settings = PlatformSettings::of(config)?;
        tracing::info!(
            name = settings.name,
            clients = settings.connection_limits.connections,
            carriers = ?settings.carriers,
            open_calls = settings.engine.admission.open_calls,
            "starts"
        );
        let mut hub = EventLoop::new(settings.event_loop).context("event loop")?;
        // Before the process becomes reachable: a signal without its handler would end it.
        hub.signals(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]).context("signals")?;
        hub.leave_within(LONG_ITERATION);
        hub.poll_to_end();
        let now = hub.clock().now();
        let mut engine = Engine::new(settings.engine.clone(), settings.seed ^ now)?;
        let module = &settings.engine.dispatcher;
        let directory = Directory::new(
            now,
            settings.directory,
            config.known.listing(),
            settings.seed,
            module.drain_grace,
        );
        engine.limit_list_age(directory::terms(module.drain_grace, module.may_probe), directory.age());
        let mut gateway = Self {
            clients: ClientConnections::new(
                now,
                settings.connection_limits,
                settings.waiting,
                settings.unsafe_requests.clone(),
            ),
            hosts: Hosts::new(settings.carriers, settings.host_connections, settings.duplicate_windows),
            directory,
            unsent_items: UnsentItems::default(),
            address: settings.listen,
            next_idle_check: now + settings.idle_check,
            next_counts: now + COUNTS_INTERVAL,
            loop_lag: LoopLag::default(),
            loop_times: LoopTimes::default(),
            inputs: VecDeque::new(),
            outputs: Vec::new(),
            phase: Phase::Running,
            reload,
            hub,
            engine,
            settings,
        };
        gateway.apply_list();
        let socket = bind_listener(gateway.settings.listen)?;
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
            if self.advance_shutdown(now) {
                return Ok(());
            }
            if self.directory.tick(&mut self.hub, now) {
                self.feed_engine(Input::ListAge(self.directory.age()));
            }
            self.recheck_unsent_items();
            let due = if self.has_work() { now } else { self.next_due(now) };
            self.hub.wait(Some(due.min(now + MAX_SLEEP)))?;
            self.loop_times.begin(self.hub.clock().now());
            self.unsent_items.after_write(self.hub.wrote(), &self.hub, &self.hosts, &mut self.engine);
            while let Some(notice) = self.hub.next_event() {
                self.handle_notice(notice);
                self.handle_client_events();
            }
            self.end_stage(Stage::Notices);
            self.take_host_answers();
            self.decode_client_input();
            self.end_stage(Stage::Input);
            self.start_requests();
            self.end_stage(Stage::Start);
            let now = self.hub.clock().now();
            if let Some(due) = self.engine.wake_at().filter(|at| *at <= now) {
                self.loop_lag.record(now, due);
                self.feed_engine(Input::Wake);
            }
            self.clients.tick(&mut self.hub);
            if self.next_idle_check <= now {
                self.next_idle_check = now + self.settings.idle_check;
                self.hosts.expire(&mut self.hub);
                let mut bounds = self.settings.engine.clone();
                bounds.answer_margin = self.loop_lag.margin(self.settings.engine.answer_margin);
                self.engine.update_limits(&bounds);
            }
            if self.next_counts <= now {
                self.next_counts = now + COUNTS_INTERVAL;
                self.log_counts();
            }
            self.end_iteration();
        }
    }

    fn end_stage(&mut self, stage: Stage) {
        self.loop_times.end_stage(self.hub.clock().now(), stage);
    }

    /// Ends the times of an iteration, and tells of a long one.
    fn end_iteration(&mut self) {
        self.end_stage(Stage::Timers);
        let long = self.loop_times.finish(self.hub.clock().now(), LONG_ITERATION);
        if let Some(LongIteration { length, stage, stage_length }) = long {
            let (open, attempts) = (self.engine.open_calls(), self.engine.open_attempts());
            tracing::warn!(
                length,
                ?stage,
                stage_length,
                open,
                attempts,
                "a long iteration of the event loop"
            );
        }
    }

    /// Right before the hub writes, cancels whatever may no longer be sent to its host. Replacement attempts
    /// of the decision module are checked too, so this repeats until nothing is canceled; attempts per call
    /// are limited, and after an order that was not sent its host gets no other one at once, so it ends.
    fn recheck_unsent_items(&mut self) {
        loop {
            let now = self.hub.clock().now();
            let clients = &self.clients;
            let is_read = |hub: &EventLoop, connection| clients.is_read_to_end(hub, connection);
            let ended =
                self.unsent_items.recheck(now, &mut self.hub, &mut self.hosts, &mut self.engine, &is_read);
            if ended.is_empty() {
                return;
            }
            ended.into_iter().for_each(|input| self.feed_engine(input));
        }
    }

    /// Whether something is left to do that needs no event.
    fn has_work(&self) -> bool {
        self.clients.has_input() || self.clients.has_waiting() || self.hosts.has_input()
    }

    /// Decodes input of clients in turns, for a limited time.
    fn decode_client_input(&mut self) {
        let is_ready = self.is_ready();
        let end = self.hub.clock().now() + STAGE_BUDGET;
        while self.clients.has_input() && self.hub.clock().now() < end {
            self.clients.decode_turn(&mut self.hub, is_ready);
            self.handle_client_events();
        }
        self.clients.pause_undecoded(&mut self.hub);
    }

    /// Starts requests of clients of which all that they sent is decoded, in turns and for a limited time.
    fn start_requests(&mut self) {
        let end = self.hub.clock().now() + STAGE_BUDGET;
        while self.hub.clock().now() < end
            && let Some(request) = self.clients.take_request(&self.hub)
        {
            self.request(request);
        }
    }

    /// Takes answers of hosts in turns, for a limited time.
    fn take_host_answers(&mut self) {
        let end = self.hub.clock().now() + STAGE_BUDGET;
        while self.hosts.has_input() && self.hub.clock().now() < end {
            let ended = self.hosts.decode_turn(&mut self.hub);
            ended.into_iter().for_each(|input| self.feed_engine(input));
        }
        self.hosts.hold_undecoded(&mut self.hub);
    }

    /// Advances the shutdown; true once it is complete.
    fn advance_shutdown(&mut self, now: Micros) -> bool {
        match self.phase {
            Phase::Draining(since) if since + self.settings.accept_after_term <= now => {
                self.clients.stop_accepting(&mut self.hub);
                self.feed_engine(Input::Drain);
                self.phase = Phase::Stopping(since);
            }
            Phase::Stopping(since)
                if self.engine.open_calls() == 0 || since + self.settings.stop_timeout <= now =>
            {
                self.feed_engine(Input::Stop);
                self.phase = Phase::Flushing(since + self.settings.stop_timeout + FLUSH_TIMEOUT);
            }
            Phase::Flushing(until)
                if until <= now || !self.has_work() && self.clients.close_idle(&mut self.hub) =>
            {
                self.log_counts();
                tracing::info!("stopped");
                return true;
            }
            _ => {}
        }
        false
    }

    fn next_due(&self, now: Micros) -> Micros {
        let phase = match self.phase {
            Phase::Running => None,
            Phase::Draining(since) => Some(since + self.settings.accept_after_term),
            Phase::Stopping(since) => Some(since + self.settings.stop_timeout),
            Phase::Flushing(until) => Some(until.min(now + FLUSH_POLL_INTERVAL)),
        };
        let (engine, clients) = (self.engine.wake_at(), self.clients.next_due(now));
        let dues = [phase, engine, clients, self.unsent_items.next_due(now), Some(self.directory.next_due())];
        dues.into_iter()
            .flatten()
            .chain([self.next_idle_check, self.next_counts])
            .min()
            .unwrap_or(self.next_idle_check)
    }

    /// Whether a request could be served.
    fn is_ready(&self) -> bool {
        self.phase == Phase::Running
            && self.engine.workers().any(|worker| worker.standing == MemberState::Active)
    }

    fn handle_notice(&mut self, notice: LoopEvent) {
        let Some(notice) = self.clients.notice(&mut self.hub, notice) else { return };
        match notice {
            LoopEvent::Connected(connection) => self.hosts.connected(&self.hub, connection),
            LoopEvent::Bytes(connection, bytes) if self.hosts.is_host_connection(connection) => {
                self.hosts.receive(&self.hub, connection, &bytes);
            }
            LoopEvent::Closed { connection, is_inbound: false, never_stood, unsent, why } => {
                let host = self.hosts.host(connection);
                let answered = self.hosts.decode_rest(&mut self.hub, connection);
                answered.into_iter().for_each(|input| self.feed_engine(input));
                let ended = self.hosts.closed(connection, never_stood, &unsent, &why);
                if !ended.is_empty() {
                    let host = host.map(tracing::field::display);
                    tracing::info!(host, connection, %why, never_stood, ended = ended.len(), "connection to a host ended");
                }
                ended.into_iter().for_each(|input| self.feed_engine(input));
            }
            LoopEvent::Datagram(socket, bytes) if self.directory.is_ours(socket) => {
                let is_new = self.directory.answered(self.hub.clock().now(), &bytes);
                self.feed_engine(Input::ListAge(self.directory.age()));
                if is_new {
                    self.apply_list();
                }
                self.feed_engine(Input::WorkersDisputed(self.directory.disputed()));
            }
            LoopEvent::Signal(Signal::SIGHUP) => self.reload_configuration(),
            LoopEvent::Signal(signal) if self.phase == Phase::Running => {
                tracing::info!(?signal, open = self.engine.open_calls(), "stopping");
                self.clients.drain(&mut self.hub);
                self.phase = Phase::Draining(self.hub.clock().now());
            }
            _ => {}
        }
    }

    /// Applies a new directory address. If the file is invalid or belongs to another gateway, nothing
    /// changes.
    fn reload_configuration(&mut self) {
        let check = |config: Config| match PlatformSettings::of(&config) {
            Ok(settings) if settings.is_same_gateway(&self.settings) => Ok(settings.directory),
            Ok(settings) => {
                Err(format!("it belongs to another gateway, {} at {}", settings.name, settings.listen))
            }
            Err(error) => Err(error.to_string()),
        };
        match (self.reload)().and_then(check) {
            Ok(address) => {
                let now = self.hub.clock().now();
                self.directory.set_address(&mut self.hub, now, address);
            }
            Err(error) => tracing::error!(%error, "the configuration stays as it was"),
        }
    }

    fn handle_client_events(&mut self) {
        while let Some(event) = self.clients.take_event() {
            match event {
                ClientEvent::Canceled(connection, stream) => {
                    tracing::debug!(connection, stream, "taken back");
                    self.feed_engine(Input::Cancel(Client { connection, number: u64::from(stream) }));
                }
                ClientEvent::Left(connection) => {
                    tracing::debug!(connection, "left");
                    self.feed_engine(Input::Disconnected(connection));
                }
            }
        }
    }

    /// Starts a call. Its time limit counts from when the request was received.
    fn request(&mut self, request: StartedRequest) {
        let StartedRequest { connection, stream, received, request } = request;
        let elapsed = self.hub.clock().now().saturating_sub(received);
        let call = Call {
            deferred: false,
            function: request.function,
            class: request.class,
            tenant: request.tenant,
            // Hosts deduplicate; this gateway stores no results, and a call ends when its client leaves.
            key: request.once,
            workers_deduplicate: true,
            trace: request.id,
            timeout: (request.wait_ms * 1_000).saturating_sub(elapsed).max(1),
            shape: request.shape,
            body: request.body,
            account: None,
            route: None,
        };
        self.feed_engine(Input::Call(Client { connection, number: u64::from(stream) }, call));
    }

    /// Applies a new host list.
    fn apply_list(&mut self) {
        let hosts = self.directory.list().workers().to_vec();
        tracing::info!(serial = self.directory.list().number, hosts = hosts.len(), "list");
        let ended = self.hosts.apply_list(&mut self.hub, &hosts);
        self.feed_engine(Input::List { whole: true, workers: hosts });
        ended.into_iter().for_each(|input| self.feed_engine(input));
    }

    /// Passes an input to the engine and applies its outputs, until no inputs are left.
    fn feed_engine(&mut self, input: Input) {
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
                self.apply(output);
            }
            self.outputs = outputs;
        }
    }

    fn apply(&mut self, output: Output) {
        match output {
            Output::Answer(client, answer) => self.answer(client, &answer),
            Output::Run(attempt) => self.run_attempt(attempt),
            Output::CancelIfUnsent(_, attempt) => {
                if self.unsent_items.forget_parked(attempt) || self.hosts.withdraw(&mut self.hub, attempt) {
                    let end = AttemptEnd::TakenBack;
                    self.inputs.push_back(Input::AttemptEnded(attempt, end, Vec::new(), None));
                }
            }
            Output::AttemptTimedOut(_, attempt) | Output::CancelAttempt(_, attempt) => {
                if !self.unsent_items.forget_parked(attempt) {
                    self.hosts.cancel(&mut self.hub, attempt);
                }
            }
            Output::Prewarm { worker, order, function, count, .. } => {
                self.prewarm(Order { worker, number: order, function, count });
            }
            Output::OrderTimedOut(order) => {
                if !self.unsent_items.forget_parked(order) {
                    self.hosts.abandon_order(&mut self.hub, order);
                }
            }
            Output::Unload(worker, function) => {
                tracing::debug!(%worker, %function, "unload");
                self.hosts.unload(&mut self.hub, &worker, &function);
            }
            Output::Probe(worker) => _ = self.hosts.probe(&mut self.hub, &worker),
            Output::Log(text) => tracing::info!("{text}"),
            // Reused streams are handled by the client connections, the directory is followed from the start,
            // and this protocol has no versions or deferred calls.
            Output::Close(..) | Output::RequestList | Output::Accepted(..) => {}
            Output::CallCompleted { .. } | Output::VersionReported(..) | Output::PrewarmEnded(..) => {}
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
            before = attempt.previous_attempts,
            timeout = attempt.timeout,
            "run"
        );
        match self.hosts.run(&mut self.hub, &attempt) {
            Some(ended) => self.inputs.push_back(ended),
            None => {
                let now = self.hub.clock().now();
                self.unsent_items.queued(now, attempt.number, Item::Attempt(attempt));
            }
        }
    }

    fn prewarm(&mut self, order: Order) {
        tracing::debug!(
            worker = %order.worker,
            function = %order.function,
            order = order.number,
            count = order.count,
            "hold"
        );
        match self.hosts.prewarm(&mut self.hub, &order) {
            Some(ended) => self.inputs.push_back(ended),
            None => {
                let now = self.hub.clock().now();
                self.unsent_items.queued(now, order.number, Item::Order(order));
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
        self.clients.answer(&mut self.hub, connection, stream, code, after, body);
    }

    fn log_counts(&mut self) {
        let (iterations, longest_iteration) = self.loop_times.take();
        let late = self.clients.take_late_answers();
        let (door, hosts, counters) = (self.clients.counts(), self.hosts.counts, self.engine.counters());
        let rejected: Vec<_> = self.clients.rejected.iter().collect();
        tracing::info!(
            clients = door.connections,
            arrived = door.arrived,
            closed = ?door.closed,
            host_connections = self.hosts.connections(),
            spoilt = hosts.malformed,
            unasked = hosts.unexpected,
            open = self.engine.open_calls(),
            out = self.engine.open_attempts(),
            taken = ?counters.accepted,
            attempts = ?counters.attempts,
            answers = ?counters.answers,
            orders = counters.prewarm_orders,
            kept_back = ?counters.unsent,
            violations = ?counters.violations,
            closed_owed = self.clients.closed_unanswered,
            late_answers = late.count,
            latest_answer = late.longest,
            iterations,
            longest_iteration,
            list_age = self.hub.clock().now().saturating_sub(self.directory.age().as_of),
            turned_away = ?(rejected, &counters.rejected),
            serial = self.directory.list().number,
            contradictions = ?self.directory.contradictions(),
            margin = self.loop_lag.margin(self.settings.engine.answer_margin),
            "counts"
        );
    }
}

fn bind_listener(at: SocketAddr) -> anyhow::Result<socket2::Socket> {
    let began = std::time::Instant::now();
    loop {
        match listener(at) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && began.elapsed() < BIND_TIMEOUT => {
                std::thread::sleep(BIND_RETRY_DELAY);
            }
            other => return other.with_context(|| format!("listen on {at}")),
        }
    }
}
