//! The gateway and its event loop.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use calloop::signals::Signal;
use cresswheel::Effect;
use cresswheel_admission::{CallQueue, ConnectionSplit, DescriptorBudget, OfferResult};
use cresswheel_carriers::{CarrierLimits, DispatchError, Payload};
use cresswheel_clients::{ClientLimits, ClientRequest, Clients};
use cresswheel_engine::{Answer, Attempt, AttemptEnd, Call, Client, Engine, Input, OrderEnd, Output};
use cresswheel_protocol::{ListedWorker, Message, Micros, Origin, Role, Status};
use cresswheel_transport::{Connection, EventLoop, LoopEvent, Wire, listener};
use foldhash::HashMap;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

use crate::holders::{self, AcceptorCommand, AcceptorEvent, Acceptors, ConnectionKey};
use crate::metrics::{self, GatewayCounts};
use crate::saved_list::SavedList;
use crate::settings::GatewaySettings;
use crate::versions::{EXPECTATION_TTL, VersionController};
use crate::workers::Workers;

/// Reads the settings again, on SIGHUP.
pub type Reload = Box<dyn FnMut() -> Result<GatewaySettings, String>>;

/// The addresses where a gateway listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ready {
    /// The main protocol.
    pub main: SocketAddr,
    /// HTTP/1.1.
    pub http: Option<SocketAddr>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Running,
    /// Calls may finish until this time.
    Draining(Micros),
    /// All calls are answered. Until this time, buffered data may be sent and clients may close their
    /// connections.
    Flushing(Micros),
}

/// A gateway process.
pub struct Gateway {
    settings: GatewaySettings,
    reload: Reload,
    event_loop: EventLoop,
    engine: Engine,
    workers: Workers,
    ready: Ready,
    clients: Clients,
    acceptors: Acceptors,
    budget: DescriptorBudget,
    intake: CallQueue<QueuedCall>,
    /// Calls started in this loop iteration.
    started: usize,
    /// Calls that the intake rejected, by class.
    rejected: Vec<u64>,
    classes: HashMap<String, usize>,
    tenants: HashMap<String, usize>,
    list_connection: Option<Connection>,
    /// Position of the list service to try, in the settings.
    list_index: usize,
    list_retry_at: Option<Micros>,
    list_stale: bool,
    saved_list: Option<SavedList>,
    versions: VersionController,
    /// When idle connections to workers are looked for next.
    next_idle_check: Micros,
    inputs: VecDeque<Input>,
    outputs: Vec<Output>,
    phase: Phase,
}

/// How long buffered data may take to be sent after the time for answers has ended.
const FLUSH_TIMEOUT: Micros = 500_000;
/// How often that is checked.
const FLUSH_POLL_INTERVAL: Micros = 1_000;
/// File descriptors are reserved for at least this many workers, since the list may name them later.
const MIN_EXPECTED_WORKERS: usize = 64;
/// After a longer loop iteration, messages of list services and clients are read before anything is sent to
/// workers.
const LONG_ITERATION: Micros = 50_000;

/// How long the start waits for a port that is in use.
const BIND_TIMEOUT: Duration = Duration::from_secs(1);
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// A call that waits to be started.
struct QueuedCall {
    class: usize,
    client: Client,
    call: Call,
}

/// Raises the limit of file descriptors to its hard limit, and returns it.
fn raise_descriptor_limit() -> usize {
    let limit = getrlimit(Resource::Nofile);
    if limit.current < limit.maximum
        && setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, maximum: limit.maximum }).is_err()
    {
        tracing::warn!(?limit, "the limit of file descriptors can't be raised");
    }
    getrlimit(Resource::Nofile).current.map_or(usize::MAX >> 1, |limit| limit as usize)
}

/// The terms for each process that holds client connections: its part of the gateway's limits.
fn process_terms(terms: &ClientLimits, parts: ConnectionSplit) -> ClientLimits {
    let mut part = *terms;
    let n = parts.acceptors.max(1) as u64;
    part.door.connections = parts.each;
    part.door.accepts_per_s = terms.door.accepts_per_s.div_ceil(n);
    part.door.half_bytes = terms.door.half_bytes.div_ceil(n as usize);
    if terms.door.pings_per_s > 0 {
        part.door.pings_per_s = terms.door.pings_per_s.div_ceil(n);
    }
    part
}

impl Gateway {
    /// Binds the listeners and reads the saved list; calls are accepted in [`Gateway::run`]. `acceptor`
    /// builds the command of an acceptor process, if the settings ask for any.
    pub fn start(
        settings: GatewaySettings,
        reload: Reload,
        acceptor: AcceptorCommand,
    ) -> anyhow::Result<Self> {
        let mut event_loop = EventLoop::new(settings.limits.clients.hub()).context("event loop")?;
        event_loop.signals(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]).context("signals")?;
        event_loop.leave_within(LONG_ITERATION);
        let budget = DescriptorBudget {
            limit: raise_descriptor_limit(),
            workers: settings.workers.len().max(MIN_EXPECTED_WORKERS),
            per_worker: settings.limits.worker_connections,
        };
        let parts = divide_connections(&budget, &settings);
        let sockets = [Some(settings.listen), settings.http].into_iter().flatten();
        let sockets = sockets.map(|at| bind(at).with_context(|| format!("listen on {at}")));
        let sockets = sockets.collect::<anyhow::Result<Vec<_>>>()?;
        let mut at = sockets.iter().map(|s| s.local_addr().ok().and_then(|at| at.as_socket()));
        let ready = Ready { main: at.next().flatten().context("listen")?, http: at.next().flatten() };
        drop(at);
        let terms = process_terms(&settings.limits.clients, parts);
        let mut http_listener = None;
        if parts.acceptors == 0 {
            for (socket, wire) in sockets.iter().zip([Wire::Frames, Wire::Http]) {
                let number = event_loop.adopt_listener(socket.try_clone()?.into(), wire)?;
                http_listener = Some(number).filter(|_| wire == Wire::Http).or(http_listener);
            }
        }
        let clients = Clients::new(&mut event_loop, terms, http_listener);
        let acceptors = Acceptors::new(acceptor, sockets, terms, parts.acceptors);
        let module = &settings.engine.dispatcher;
        let classes = module.classes.iter().enumerate().map(|(at, c)| (c.name.clone(), at)).collect();
        let tenants = module.tenants.iter().enumerate().map(|(at, t)| (t.name.clone(), at)).collect();
        let intake = CallQueue::new(&settings.class_terms(), settings.limits.intake);
        let now = event_loop.clock().now();
        // The process id distinguishes gateways that start in the same microsecond.
        let incarnation = now.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(std::process::id());
        let engine = Engine::new(settings.engine.clone(), incarnation)?;
        let saved_list = settings.state_folder.as_deref().map(|folder| {
            SavedList::new(folder).with_context(|| format!("state folder {}", folder.display()))
        });
        let saved_list = saved_list.transpose()?;
        let orders = settings.versions.as_ref().map(|versions| versions.key.clone());
        let orders = orders.zip(settings.state_folder.as_deref());
        let versions = VersionController::open(orders, &settings.name, incarnation, module.gateways, now)
            .map_err(anyhow::Error::msg)?;
        let mut gateway = Self {
            ready,
            reload,
            event_loop,
            engine,
            workers: Workers::new(
                worker_limits(&settings),
                settings.limits.clients.largest_body(),
                hello(&settings),
            ),
            clients,
            acceptors,
            budget,
            intake,
            started: 0,
            rejected: vec![0; settings.engine.dispatcher.classes.len()],
            classes,
            tenants,
            list_connection: None,
            list_index: 0,
            list_retry_at: (!settings.list_services.is_empty()).then_some(now),
            list_stale: !settings.list_services.is_empty(),
            saved_list,
            versions,
            next_idle_check: now,
            inputs: VecDeque::new(),
            outputs: Vec::new(),
            phase: Phase::Running,
            settings,
        };
        gateway.load_initial_list();
        Ok(gateway)
    }

    /// The addresses where the gateway listens.
    pub fn ready(&self) -> Ready {
        self.ready
    }

    fn load_initial_list(&mut self) {
        let mut workers = self.settings.workers.clone();
        match self.saved_list.as_ref().map(SavedList::read) {
            Some(Ok(Some(saved))) => {
                tracing::info!(workers = saved.len(), "starting with the saved worker list");
                workers.extend(saved);
            }
            Some(Err(error)) => tracing::warn!(%error, "the saved worker list is ignored"),
            _ => {}
        }
        self.apply_list(true, workers);
    }

    /// Runs until a signal stops it and all calls are answered or out of time.
    pub fn run(&mut self) -> io::Result<()> {
        loop {
            let now = self.event_loop.clock().now();
            match self.phase {
                Phase::Draining(until) if until <= now || self.is_drained() => {
                    self.handle_input(Input::Stop);
                    self.acceptors.finish(&mut self.event_loop);
                    self.phase = Phase::Flushing(until + FLUSH_TIMEOUT);
                }
                Phase::Flushing(until) => {
                    let is_flushed =
                        self.clients.finish_all(&mut self.event_loop) && self.acceptors.alive() == 0;
                    if until <= now || is_flushed {
                        tracing::info!("stopped");
                        return Ok(());
                    }
                }
                _ => {}
            }
            self.event_loop.wait(Some(self.next_due()))?;
            while let Some(notice) = self.event_loop.next_event() {
                self.handle_notice(notice);
            }
            self.start_calls();
            let now = self.event_loop.clock().now();
            if self.engine.wake_at().is_some_and(|at| at <= now) {
                self.handle_input(Input::Wake);
            }
            self.clients.tick(&mut self.event_loop);
            self.acceptors.tick(&mut self.event_loop);
            self.acceptors.apply_backpressure(&mut self.event_loop, self.list_connection);
            self.run_timers(now);
        }
    }

    /// Whether all calls are answered and all clients were asked to disconnect.
    fn is_drained(&self) -> bool {
        let asking = self.clients.is_draining() || self.acceptors.counts().any(|counts| counts.asking);
        self.engine.open_calls() == 0 && self.intake.is_empty() && !asking
    }

    /// Starts queued calls in the order of their urgency, at most so many in one loop iteration, so that
    /// answers of workers are handled in between.
    fn start_calls(&mut self) {
        self.intake.begin_iteration(self.event_loop.clock().now());
        while self.started < self.intake.per_turn() {
            let Some((_, arrived_at, queued)) = self.intake.take_next_to_start() else { break };
            self.start_call(queued.client, arrived_at, queued.call);
        }
        self.started = 0;
        while let Some(refused) = self.intake.reject_overdue(self.event_loop.clock().now()) {
            self.refuse_busy(refused.call, refused.reason, refused.retry_after);
        }
        // Unread requests wait in kernel buffers, and their time keeps running.
        if self.intake.is_full() {
            self.event_loop.pause_inbound(true);
            self.acceptors.pause(&mut self.event_loop, true);
        } else if self.intake.may_resume_reading() {
            self.event_loop.pause_inbound(false);
            self.acceptors.pause(&mut self.event_loop, false);
        }
    }

    fn next_due(&self) -> Micros {
        let phase = match self.phase {
            Phase::Running => None,
            Phase::Draining(at) => Some(at),
            // Buffered data is still being sent.
            Phase::Flushing(at) => Some(at.min(self.event_loop.clock().now() + FLUSH_POLL_INTERVAL)),
        };
        let now = self.event_loop.clock().now();
        let waits = (!self.intake.is_empty()).then_some(now);
        let connections = [self.clients.next_due(now), self.acceptors.next_due(now)];
        let connections = connections.into_iter().flatten().min();
        let engine = self.engine.wake_at();
        let idle_check = Some(self.next_idle_check);
        let all =
            [phase, waits, connections, self.list_retry_at, engine, self.versions.next_due(), idle_check];
        all.into_iter().flatten().min().unwrap_or(self.next_idle_check)
    }

    fn handle_notice(&mut self, notice: LoopEvent) {
        let Some(notice) = self.clients.notice(&mut self.event_loop, notice) else {
            while let Some(ask) = self.clients.take_request() {
                self.handle_request(ask.connection, ask);
            }
            return;
        };
        match notice {
            LoopEvent::Message(connection, _) | LoopEvent::Closed { connection, .. }
                if self.acceptors.is_trunk(connection) =>
            {
                match self.acceptors.handle_notice(&mut self.event_loop, notice) {
                    Some(AcceptorEvent::Request(key, ask)) => self.handle_request(key, ask),
                    Some(AcceptorEvent::Exited(keys)) => {
                        keys.into_iter().for_each(|key| self.client_left(key))
                    }
                    None => {}
                }
            }
            LoopEvent::Connected(connection) if Some(connection) != self.list_connection => {
                self.workers.connected(&self.event_loop, connection)
            }
            LoopEvent::Message(connection, message) => self.handle_message(connection, message),
            LoopEvent::Closed { connection, never_stood, unsent, why, .. } => {
                self.handle_closed(connection, never_stood, &unsent, &why);
            }
            LoopEvent::Signal(Signal::SIGHUP) => self.reload_settings(),
            LoopEvent::Signal(signal) => self.stop(signal),
            // All others concern client connections, which `Clients` has handled.
            _ => {}
        }
    }

    fn stop(&mut self, signal: Signal) {
        if self.phase != Phase::Running {
            return;
        }
        tracing::info!(?signal, open = self.engine.open_calls(), "stopping");
        self.handle_input(Input::Drain);
        // The engine refuses queued calls now, like all new ones.
        while let Some((_, arrived_at, queued)) = self.intake.take_next_to_start() {
            self.start_call(queued.client, arrived_at, queued.call);
        }
        self.clients.drain(&mut self.event_loop);
        self.acceptors.drain(&mut self.event_loop);
        self.phase = Phase::Draining(self.event_loop.clock().now() + self.settings.limits.drain_timeout);
    }

    /// Settings with an error are rejected as a whole, and so are settings that change what needs a restart.
    fn reload_settings(&mut self) {
        match (self.reload)() {
            Err(error) => tracing::error!(%error, "the settings stay as they are"),
            Ok(new) => {
                let fixed = self.settings.fixed_differences(&new);
                if !fixed.is_empty() {
                    let fixed = fixed.join(", ");
                    return tracing::error!(%fixed, "the settings stay as they are: this needs a restart");
                }
                self.engine.update_limits(&new.engine);
                let mut parts = divide_connections(&self.budget, &new);
                if parts.acceptors != self.acceptors.count() {
                    // The number of processes is fixed until a restart; it limits the connections.
                    parts =
                        self.budget.split(new.limits.clients.door.connections, Some(self.acceptors.count()));
                    tracing::warn!(
                        holders = parts.acceptors,
                        short = parts.reduced_to,
                        "the number of acceptor processes stays as it is until a restart"
                    );
                }
                let terms = process_terms(&new.limits.clients, parts);
                self.clients.change(&mut self.event_loop, terms);
                self.acceptors.set_terms(&mut self.event_loop, terms);
                self.intake.change(&new.class_terms(), new.limits.intake);
                if self.settings.list_services != new.list_services {
                    self.list_connection
                        .take()
                        .into_iter()
                        .for_each(|list| self.event_loop.close(list, "the list service changed"));
                    // Connects to the new one at once.
                    self.list_index = 0;
                    self.list_retry_at =
                        (!new.list_services.is_empty()).then(|| self.event_loop.clock().now());
                    self.list_stale = !new.list_services.is_empty();
                }
                let largest_body = new.limits.clients.largest_body();
                self.workers.set_limits(worker_limits(&new), largest_body, hello(&new));
                self.settings = new;
                tracing::info!("new settings are in force");
            }
        }
    }

    fn handle_message(&mut self, connection: Connection, message: Message) {
        if Some(connection) == self.list_connection {
            return match message {
                Message::List { whole, version, workers } => {
                    tracing::info!(whole, version, workers = workers.len(), "worker list");
                    self.list_stale = false;
                    self.apply_list(whole, workers);
                    self.save_list();
                }
                Message::Bye { reason } => {
                    tracing::warn!(%reason, "the list service reported a protocol violation")
                }
                _ => {}
            };
        }
        if self.workers.is_worker_connection(connection)
            && let Some(input) = self.workers.receive(&self.event_loop, connection, message)
        {
            self.handle_input(input);
        }
    }

    /// Handles a client's request.
    fn handle_request(&mut self, key: ConnectionKey, ask: ClientRequest) {
        match ask.message {
            Message::Call {
                number,
                deferred,
                function,
                class,
                tenant,
                key: idempotency,
                trace,
                time_left,
                shape,
                body,
                account,
            } => {
                let call = Call {
                    deferred,
                    function,
                    class,
                    tenant,
                    key: idempotency,
                    trace,
                    timeout: time_left,
                    shape,
                    body,
                    account,
                    route: None,
                    workers_deduplicate: false,
                };
                self.handle_call(Client { connection: key, number }, ask.came, call);
            }
            Message::Await { number, id, wait } => {
                self.handle_input(Input::Await(Client { connection: key, number }, id, wait));
            }
            Message::Cancel { number } => {
                tracing::debug!(connection = key, number, "call canceled");
                if !self.intake.cancel((key, number)) {
                    self.handle_input(Input::Cancel(Client { connection: key, number }));
                }
            }
            Message::Versions { number, key: order_key, json } => {
                let json = self.versions.handle_request(self.event_loop.clock().now(), &order_key, &json);
                self.reply(key, &Message::Versioned { number, json });
                self.update_expected();
            }
            Message::Page { number, path } => {
                let (status, text) = self.page(&path);
                self.reply(key, &Message::Paged { number, status, body: text.into_bytes() });
            }
            // Any other message that `Clients` passes on ends the connection.
            _ => self.client_left(key),
        }
    }

    fn client_left(&mut self, key: ConnectionKey) {
        tracing::debug!(connection = key, "client left");
        self.intake.cancel_connection(key);
        self.handle_input(Input::Disconnected(key));
    }

    fn handle_call(&mut self, client: Client, arrived_at: Micros, call: Call) {
        // The engine refuses these at once, so they need not be queued, and take no place of those that are started.
        let Some(class) = self.classes.get(&call.class).copied() else {
            return self.handle_input(Input::Call(client, call));
        };
        if self.phase != Phase::Running {
            return self.start_call(client, arrived_at, call);
        }
        // The usual case: no call is queued.
        if self.intake.is_empty() && self.started < self.intake.per_turn() {
            return self.start_call(client, arrived_at, call);
        }
        let tenant = self.tenants.get(&call.tenant).copied();
        let (now, name) = (self.event_loop.clock().now(), (client.connection, client.number));
        match self.intake.offer(now, name, class, tenant, arrived_at, QueuedCall { class, client, call }) {
            OfferResult::Queued => {}
            OfferResult::Rejected(refused) => {
                self.refuse_busy(refused.call, refused.reason, refused.retry_after);
            }
            OfferResult::Duplicate(duplicate) => {
                self.close_client(duplicate.client.connection, "a number is used twice")
            }
        }
    }

    /// Passes a call to the engine. Its timeout runs from its arrival.
    fn start_call(&mut self, client: Client, arrived_at: Micros, mut call: Call) {
        self.started += 1;
        let engine = &self.settings.engine;
        let class = self.classes.get(&call.class).map(|class| &engine.dispatcher.classes[*class]);
        let default_timeout =
            if call.deferred { engine.deferred_time } else { class.map_or(0, |class| class.client_timeout) };
        let requested = if call.timeout == 0 { default_timeout } else { call.timeout };
        let now = self.event_loop.clock().now();
        let waited = now.saturating_sub(arrived_at);
        call.timeout = requested.min(engine.max_time).saturating_sub(waited).max(1);
        call.route = self.versions.choose_version(now, &call, client);
        let safe = class.is_some_and(|class| class.effect == Effect::Safe);
        // A shadow call must not delay clients' calls, so there is none while any are queued. It must not
        // earn prewarm orders either: the order budget is for clients' calls, and the decision module can't
        // tell them apart.
        let allowed = self.settings.engine.dispatcher.order_rate_limit.is_none() && self.intake.is_empty();
        let shadow = (safe && allowed).then(|| self.versions.shadow_call(now, &call, client)).flatten();
        self.handle_input(Input::Call(client, call));
        if let Some((client, call)) = shadow {
            self.handle_input(Input::Call(client, call));
        }
    }

    /// Answers a call that the intake rejected.
    fn refuse_busy(&mut self, queued: QueuedCall, reason: &str, retry_after: Micros) {
        self.rejected[queued.class] += 1;
        let (number, status, reason) = (queued.client.number, Status::Refused, reason.to_owned());
        let answer = Message::Answer { number, status, reason, retry_after, body: Vec::new(), origin: None };
        self.reply(queued.client.connection, &answer);
    }

    /// Sends a client the reason, and closes its connection.
    fn close_client(&mut self, key: ConnectionKey, reason: &str) {
        self.reply(key, &Message::Bye { reason: reason.into() });
        if holders::is_local(key) {
            // `Clients` reports no further event of this connection.
            self.client_left(key);
        }
    }

    /// Sends a message to a client, whichever process holds its connection.
    fn reply(&mut self, key: ConnectionKey, message: &Message) {
        if holders::is_local(key) {
            self.clients.reply(&mut self.event_loop, key, message);
        } else {
            self.acceptors.reply(&mut self.event_loop, key, message);
        }
    }

    fn page(&self, path: &str) -> (u32, String) {
        match path {
            "/readyz" => {
                let all_alive = self.acceptors.alive() == self.acceptors.count();
                let (status, words) = match (self.phase, self.engine.workers().next().is_some()) {
                    (Phase::Running, true) if all_alive => (200, "ready"),
                    (Phase::Running, true) => (503, "a holder of connections is missing"),
                    (Phase::Running, false) => (503, "no workers listed"),
                    _ => (503, "stopping"),
                };
                (status, words.into())
            }
            "/metrics" => (200, metrics::text(&self.engine, &self.counts()).trim_end().to_owned()),
            _ => (404, "no such page".into()),
        }
    }

    fn counts(&self) -> GatewayCounts {
        let own = self.clients.counts();
        GatewayCounts {
            client_counts: std::iter::once(own).chain(self.acceptors.counts().cloned()).collect(),
            acceptors: self.acceptors.alive(),
            acceptor_restarts: self.acceptors.restarts,
            acceptor_congestions: self.acceptors.congestions,
            rejected: self.rejected.clone(),
            waiting: self.intake.len(),
            intake_rate: self.intake.rate(),
            worker_connections: self.workers.connections(),
            accept_starved: self.event_loop.starved,
            list_stale: self.list_stale,
            versions: self.versions.status(self.event_loop.clock().now()),
        }
    }

    fn handle_closed(&mut self, connection: Connection, never_stood: bool, unsent: &[u64], why: &str) {
        if Some(connection) == self.list_connection {
            tracing::warn!(%why, "the list service can't be reached");
            self.list_connection = None;
            self.list_stale = true;
            self.list_index += 1;
            self.list_retry_at = Some(self.event_loop.clock().now() + self.settings.limits.list_retry_delay);
            return self.handle_input(Input::ListUnavailable);
        }
        let ended = self.workers.on_closed(connection, never_stood, unsent, why);
        ended.into_iter().for_each(|input| self.handle_input(input));
    }

    fn apply_list(&mut self, whole: bool, workers: Vec<ListedWorker>) {
        let ended = self.workers.apply_list(&mut self.event_loop, whole, &workers);
        self.handle_input(Input::List { whole, workers });
        ended.into_iter().for_each(|input| self.handle_input(input));
    }

    /// If saving fails, only the list for the next start is lost.
    fn save_list(&mut self) {
        let Some(saved) = &self.saved_list else { return };
        if let Err(error) = saved.write(self.engine.workers()) {
            tracing::warn!(%error, "the worker list can't be saved");
        }
    }

    /// Passes an input to the engine and executes the outputs, until no input is left.
    fn handle_input(&mut self, input: Input) {
        self.inputs.push_back(input);
        while let Some(input) = self.inputs.pop_front() {
            let mut outputs = std::mem::take(&mut self.outputs);
            self.engine.handle(self.event_loop.clock().now(), input, &mut outputs);
            for output in outputs.drain(..) {
                self.execute(output);
            }
            self.outputs = outputs;
        }
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Accepted(client, id) => {
                tracing::debug!(%id, "accepted");
                self.reply(client.connection, &Message::Accepted { number: client.number, id });
            }
            Output::Answer(client, answer) => {
                if !self.versions.record_answer(client, &answer) {
                    self.send_answer(client, answer);
                }
            }
            Output::Close(connection, reason) => self.close_client(connection, reason),
            Output::Run(attempt) => self.send_attempt(attempt),
            Output::CancelIfUnsent(_, attempt) | Output::AttemptTimedOut(_, attempt) => {
                if self.workers.cancel_unsent(&mut self.event_loop, attempt) {
                    let end = AttemptEnd::TakenBack;
                    self.inputs.push_back(Input::AttemptEnded(attempt, end, Vec::new(), None));
                }
            }
            Output::CancelAttempt(_, attempt) => {
                self.workers.cancel_attempt(&mut self.event_loop, attempt);
            }
            Output::Prewarm { worker, order, function, count, shape } => {
                tracing::debug!(%worker, %function, count, "hold");
                let message = Message::Hold { order, function: function.to_string(), count, shape };
                let payload = Payload::Order(order);
                if let Err(error) = self.workers.dispatch(&mut self.event_loop, &worker, payload, &message) {
                    let end = match error {
                        DispatchError::NoRoom => OrderEnd::NotSent,
                        DispatchError::ConnectFailed => OrderEnd::NotConnected,
                    };
                    self.inputs.push_back(Input::OrderEnded(order, end, 0));
                }
            }
            Output::OrderTimedOut(order) => self.workers.abandon_order(&mut self.event_loop, order),
            Output::Unload(worker, function) => {
                let message = Message::Drop { function: function.to_string() };
                self.workers.send_if_connected(&mut self.event_loop, &worker, &message);
            }
            Output::Probe(worker) => {
                let message = Message::Probe { number: 0 };
                self.workers.send_if_connected(&mut self.event_loop, &worker, &message);
            }
            // The gateway follows the list from the start, and again after each loss of the connection.
            Output::RequestList => {}
            Output::CallCompleted { call, status, late, had_error: erred } => {
                self.versions.record_end(&call, status, late, erred)
            }
            Output::VersionReported(call, origin, wrong) => {
                self.versions.record_run(&call, origin.as_ref(), wrong)
            }
            Output::PrewarmEnded(function, is_loaded) => self.versions.record_load(&function.0, is_loaded),
            Output::Log(text) => tracing::info!("{text}"),
        }
    }

    fn send_answer(&mut self, client: Client, answer: Answer) {
        let (status, reason) = (answer.status, answer.reason);
        tracing::debug!(connection = client.connection, number = client.number, %status, reason, "answer");
        let message = Message::Answer {
            number: client.number,
            status,
            reason: reason.into(),
            retry_after: answer.retry_after,
            body: answer.body.to_vec(),
            origin: answer.origin.map(|origin| Origin::clone(&origin)),
        };
        self.reply(client.connection, &message);
    }

    fn send_attempt(&mut self, attempt: Attempt) {
        let span = tracing::debug_span!("call", id = %attempt.id, trace = %attempt.call.trace);
        let _in = span.enter();
        tracing::debug!(worker = %attempt.worker, attempt = attempt.number, before = attempt.previous_attempts, "run");
        let message = attempt.message();
        let cargo = Payload::Attempt(attempt.number);
        if let Err(error) = self.workers.dispatch(&mut self.event_loop, &attempt.worker, cargo, &message) {
            let end = match error {
                DispatchError::NoRoom => AttemptEnd::TakenBack,
                DispatchError::ConnectFailed => AttemptEnd::NotConnected,
            };
            self.inputs.push_back(Input::AttemptEnded(attempt.number, end, Vec::new(), None));
        }
    }

    /// Tells the engine which functions to keep loaded, if that is due.
    fn update_expected(&mut self) {
        for expected in self.versions.check(self.event_loop.clock().now()) {
            let (function, like) = (expected.function.as_str().into(), expected.like.as_str().into());
            self.handle_input(Input::CallsExpected(function, like, EXPECTATION_TTL));
        }
    }

    /// Runs what is due: checks of versions, connecting to the list service, closing idle connections to
    /// workers.
    fn run_timers(&mut self, now: Micros) {
        self.update_expected();
        if self.list_retry_at.is_some_and(|at| at <= now) {
            self.list_retry_at = None;
            let at = self
                .settings
                .list_services
                .get(self.list_index % self.settings.list_services.len().max(1))
                .copied();
            if let (Some(at), Phase::Running) = (at, self.phase) {
                let list = self.event_loop.connect(
                    at,
                    Wire::Frames,
                    self.settings.engine.dispatcher.connect_timeout,
                );
                self.list_connection = Some(list);
                self.event_loop.send(list, &hello(&self.settings), None);
                self.event_loop.send(list, &Message::Follow {}, None);
            }
        }
        if self.next_idle_check <= now {
            self.workers.close_idle(&mut self.event_loop);
            self.next_idle_check = now + self.settings.limits.worker_idle.max(1_000) / 4;
        }
    }
}

fn worker_limits(settings: &GatewaySettings) -> CarrierLimits {
    let shell = &settings.limits;
    CarrierLimits {
        wire: Wire::Frames,
        connections: shell.worker_connections,
        streams: shell.max_in_flight_per_connection,
        spread: shell.max_in_flight_per_connection,
        connect_timeout: settings.engine.dispatcher.connect_timeout,
        idle: shell.worker_idle,
    }
}

fn hello(settings: &GatewaySettings) -> Message {
    let (name, zone) = (settings.name.clone(), settings.engine.dispatcher.zone.clone());
    Message::Hello { role: Role::Gateway, name, zone }
}

/// Listens on an address. Acceptor processes of a gateway that was just killed may still have the port open.
fn bind(at: SocketAddr) -> io::Result<socket2::Socket> {
    let began = std::time::Instant::now();
    loop {
        match listener(at) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && began.elapsed() < BIND_TIMEOUT => {
                std::thread::sleep(BIND_RETRY_INTERVAL);
            }
            other => return other,
        }
    }
}

/// Divides the client connections among the processes; logs a warning if there are too few file descriptors.
fn divide_connections(budget: &DescriptorBudget, settings: &GatewaySettings) -> ConnectionSplit {
    let asked = settings.limits.clients.door.connections;
    let parts = budget.split(asked, settings.acceptors);
    let (limit, holders, each) = (budget.limit, parts.acceptors, parts.each);
    if let Some(room) = parts.reduced_to {
        tracing::warn!(
            asked,
            room,
            limit,
            holders,
            "fewer client connections than configured: too few file descriptors"
        );
    } else if holders > 0 {
        tracing::info!(asked, limit, holders, each, "client connections are held by acceptor processes");
    }
    parts
}
