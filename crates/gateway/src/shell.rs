//! The gateway's loop.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use calloop::signals::Signal;
use cresswheel::Effect;
use cresswheel_admission::{Budget, Intake, Parts, Verdict};
use cresswheel_carriers::{Cargo, CarrierLimits};
use cresswheel_clients::{Ask, ClientTerms, Clients};
use cresswheel_engine::{Answer, Attempt, AttemptEnd, Call, Client, Engine, Input, OrderEnd, Output};
use cresswheel_protocol::{Listed, Message, Micros, Origin, Role, Status};
use cresswheel_transport::{Connection, Hub, Notice, Wire, listener};
use foldhash::HashMap;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

use crate::holders::{self, FromHolder, HolderCommand, Holders, Key};
use crate::metrics::{self, ShellCounts};
use crate::saved_list::SavedList;
use crate::settings::GatewaySettings;
use crate::versions::{Desk, EXPECTED_FOR};
use crate::workers::Workers;

/// Reads the settings again, for HUP.
pub type Reload = Box<dyn FnMut() -> Result<GatewaySettings, String>>;

/// Where a gateway listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ready {
    /// The main protocol.
    pub main: SocketAddr,
    /// HTTP/1.1.
    pub http: Option<SocketAddr>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    Running,
    /// Calls may finish until then.
    Stopping(Micros),
    /// All is answered; what waits to be written may leave until then, and clients may close their connections.
    Leaving(Micros),
}

/// A gateway process.
pub struct Gateway {
    settings: GatewaySettings,
    reload: Reload,
    hub: Hub,
    engine: Engine,
    workers: Workers,
    ready: Ready,
    clients: Clients,
    holders: Holders,
    budget: Budget,
    intake: Intake<Asked>,
    /// Calls started in this turn.
    begun: usize,
    /// Calls that the intake refused, by class.
    busy: Vec<u64>,
    classes: HashMap<String, usize>,
    tenants: HashMap<String, usize>,
    list: Option<Connection>,
    list_turn: usize,
    list_retry: Option<Micros>,
    list_stale: bool,
    saved: Option<SavedList>,
    desk: Desk,
    pool_look: Micros,
    inputs: VecDeque<Input>,
    outputs: Vec<Output>,
    life: Life,
}

/// After the last time for answers, how long they may take to leave.
const LEAVE_WITHIN: Micros = 500_000;
/// Meanwhile it is looked that often what has left.
const FLUSH_LOOK: Micros = 1_000;
/// Descriptors are set aside for so many workers at least, since a list may name them later.
const WORKERS_EXPECTED: usize = 64;
/// After a longer turn the lists and the clients are listened to before anything leaves for workers.
const LONG_TURN: Micros = 50_000;

/// How long a port that is in use is waited for at the start.
const BIND_WITHIN: Duration = Duration::from_secs(1);
const BIND_AGAIN: Duration = Duration::from_millis(20);

/// A call that waits to be started.
struct Asked {
    class: usize,
    client: Client,
    call: Call,
}

/// Descriptors that this process may have, raised to what the system allows it.
fn descriptors() -> usize {
    let limit = getrlimit(Resource::Nofile);
    if limit.current < limit.maximum
        && setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, maximum: limit.maximum }).is_err()
    {
        tracing::warn!(?limit, "the limit of descriptors can't be raised");
    }
    getrlimit(Resource::Nofile).current.map_or(usize::MAX >> 1, |limit| limit as usize)
}

/// What each process that holds connections is told: its part of the whole.
fn part(terms: &ClientTerms, parts: Parts) -> ClientTerms {
    let mut part = *terms;
    let n = parts.holders.max(1) as u64;
    part.door.connections = parts.each;
    part.door.accepts_per_s = terms.door.accepts_per_s.div_ceil(n);
    part.door.half_bytes = terms.door.half_bytes.div_ceil(n as usize);
    if terms.door.pings_per_s > 0 {
        part.door.pings_per_s = terms.door.pings_per_s.div_ceil(n);
    }
    part
}

impl Gateway {
    /// Binds the listeners and reads the saved list; takes its first call in [`Gateway::run`]. `holder` gives the
    /// command of a process that holds connections, if there are to be any.
    pub fn start(settings: GatewaySettings, reload: Reload, holder: HolderCommand) -> anyhow::Result<Self> {
        let mut hub = Hub::new(settings.shell.clients.hub()).context("event loop")?;
        hub.signals(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]).context("signals")?;
        hub.leave_within(LONG_TURN);
        let budget = Budget {
            limit: descriptors(),
            workers: settings.workers.len().max(WORKERS_EXPECTED),
            per_worker: settings.shell.worker_connections,
        };
        let parts = spread(&budget, &settings);
        let sockets = [Some(settings.listen), settings.http].into_iter().flatten();
        let sockets = sockets.map(|at| bind(at).with_context(|| format!("listen on {at}")));
        let sockets = sockets.collect::<anyhow::Result<Vec<_>>>()?;
        let mut at = sockets.iter().map(|s| s.local_addr().ok().and_then(|at| at.as_socket()));
        let ready = Ready { main: at.next().flatten().context("listen")?, http: at.next().flatten() };
        drop(at);
        let terms = part(&settings.shell.clients, parts);
        let mut http_listener = None;
        if parts.holders == 0 {
            for (socket, wire) in sockets.iter().zip([Wire::Frames, Wire::Http]) {
                let number = hub.adopt_listener(socket.try_clone()?.into(), wire)?;
                http_listener = Some(number).filter(|_| wire == Wire::Http).or(http_listener);
            }
        }
        let clients = Clients::new(&mut hub, terms, http_listener);
        let holders = Holders::new(holder, sockets, terms, parts.holders);
        let module = &settings.engine.module;
        let classes = module.classes.iter().enumerate().map(|(at, c)| (c.name.clone(), at)).collect();
        let tenants = module.tenants.iter().enumerate().map(|(at, t)| (t.name.clone(), at)).collect();
        let intake = Intake::new(&settings.class_terms(), settings.shell.intake);
        let now = hub.clock().now();
        // The process id tells apart what starts in the same microsecond.
        let life = now.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(std::process::id());
        let engine = Engine::new(settings.engine.clone(), life)?;
        let saved = settings.state.as_deref().map(|folder| {
            SavedList::new(folder).with_context(|| format!("state folder {}", folder.display()))
        });
        let saved = saved.transpose()?;
        let orders = settings.versions.as_ref().map(|versions| versions.key.clone());
        let orders = orders.zip(settings.state.as_deref());
        let desk =
            Desk::open(orders, &settings.name, life, module.gateways, now).map_err(anyhow::Error::msg)?;
        let mut gateway = Self {
            ready,
            reload,
            hub,
            engine,
            workers: Workers::new(worker_limits(&settings), hello(&settings)),
            clients,
            holders,
            budget,
            intake,
            begun: 0,
            busy: vec![0; settings.engine.module.classes.len()],
            classes,
            tenants,
            list: None,
            list_turn: 0,
            list_retry: (!settings.list.is_empty()).then_some(now),
            list_stale: !settings.list.is_empty(),
            saved,
            desk,
            pool_look: now,
            inputs: VecDeque::new(),
            outputs: Vec::new(),
            life: Life::Running,
            settings,
        };
        gateway.first_list();
        Ok(gateway)
    }

    /// Where it listens.
    pub fn ready(&self) -> Ready {
        self.ready
    }

    fn first_list(&mut self) {
        let mut workers = self.settings.workers.clone();
        match self.saved.as_ref().map(SavedList::read) {
            Some(Ok(Some(saved))) => {
                tracing::info!(workers = saved.len(), "begins with the list of its last life");
                workers.extend(saved);
            }
            Some(Err(error)) => tracing::warn!(%error, "the saved list is passed over"),
            _ => {}
        }
        self.take_list(true, workers);
    }

    /// Runs until a signal ends it, all calls answered.
    pub fn run(&mut self) -> io::Result<()> {
        loop {
            let now = self.hub.clock().now();
            match self.life {
                Life::Stopping(until) if until <= now || self.is_done() => {
                    self.give(Input::Stop);
                    self.holders.finish(&mut self.hub);
                    self.life = Life::Leaving(until + LEAVE_WITHIN);
                }
                Life::Leaving(until) => {
                    let have_left = self.clients.finish_all(&mut self.hub) && self.holders.alive() == 0;
                    if until <= now || have_left {
                        tracing::info!("stopped");
                        return Ok(());
                    }
                }
                _ => {}
            }
            self.hub.wait(Some(self.next_due()))?;
            while let Some(notice) = self.hub.take_notice() {
                self.notice(notice);
            }
            self.start_calls();
            let now = self.hub.clock().now();
            if self.engine.wake_at().is_some_and(|at| at <= now) {
                self.give(Input::Wake);
            }
            self.clients.tick(&mut self.hub);
            self.holders.tick(&mut self.hub);
            self.look(now);
        }
    }

    /// All calls are answered, and all clients were asked to leave.
    fn is_done(&self) -> bool {
        let asking = self.clients.is_asking() || self.holders.counts().any(|counts| counts.asking);
        self.engine.open_calls() == 0 && self.intake.is_empty() && !asking
    }

    /// Calls enter the engine in the order of their urgency, so many a turn: what workers answer has its turn
    /// between them.
    fn start_calls(&mut self) {
        self.intake.turn(self.hub.clock().now());
        while self.begun < self.intake.per_turn() {
            let Some((_, came, asked)) = self.intake.take() else { break };
            self.begin(asked.client, came, asked.call);
        }
        self.begun = 0;
        while let Some(refused) = self.intake.take_over(self.hub.clock().now()) {
            self.refuse_busy(refused.call, refused.reason, refused.retry_after);
        }
        // What is left waits in the kernel, and its time runs there.
        if self.intake.is_full() {
            self.hub.hold_guests(true);
            self.holders.pause(&mut self.hub, true);
        } else if self.intake.has_room() {
            self.hub.hold_guests(false);
            self.holders.pause(&mut self.hub, false);
        }
    }

    fn next_due(&self) -> Micros {
        let life = match self.life {
            Life::Running => None,
            Life::Stopping(at) => Some(at),
            // What is left is on its way out.
            Life::Leaving(at) => Some(at.min(self.hub.clock().now() + FLUSH_LOOK)),
        };
        let now = self.hub.clock().now();
        let waits = (!self.intake.is_empty()).then_some(now);
        let doors = [self.clients.next_due(now), self.holders.next_due(now)];
        let doors = doors.into_iter().flatten().min();
        let engine = self.engine.wake_at();
        let look = Some(self.pool_look);
        let all = [life, waits, doors, self.list_retry, engine, self.desk.next_due(), look];
        all.into_iter().flatten().min().unwrap_or(self.pool_look)
    }

    fn notice(&mut self, notice: Notice) {
        let Some(notice) = self.clients.notice(&mut self.hub, notice) else {
            while let Some(ask) = self.clients.take_ask() {
                self.asked(ask.connection, ask);
            }
            return;
        };
        match notice {
            Notice::Message(connection, _) | Notice::Closed { connection, .. }
                if self.holders.is_trunk(connection) =>
            {
                match self.holders.notice(&mut self.hub, notice) {
                    Some(FromHolder::Ask(key, ask)) => self.asked(key, ask),
                    Some(FromHolder::Gone(keys)) => keys.into_iter().for_each(|key| self.left(key)),
                    None => {}
                }
            }
            Notice::Connected(connection) if Some(connection) != self.list => {
                self.workers.stands(&self.hub, connection)
            }
            Notice::Message(connection, message) => self.message(connection, message),
            Notice::Closed { connection, never_stood, unsent, why, .. } => {
                self.closed(connection, never_stood, &unsent, &why);
            }
            Notice::Signal(Signal::SIGHUP) => self.read_settings_again(),
            Notice::Signal(signal) => self.stop(signal),
            // All else is of guests, and the clients' side takes those.
            _ => {}
        }
    }

    fn stop(&mut self, signal: Signal) {
        if self.life != Life::Running {
            return;
        }
        tracing::info!(?signal, open = self.engine.open_calls(), "stopping");
        self.give(Input::Drain);
        // Those that wait to be started are refused as those that come from now on.
        while let Some((_, came, asked)) = self.intake.take() {
            self.begin(asked.client, came, asked.call);
        }
        self.clients.leave(&mut self.hub);
        self.holders.leave(&mut self.hub);
        self.life = Life::Stopping(self.hub.clock().now() + self.settings.shell.stop_within);
    }

    /// A file with a fault is refused whole; so is one that changes what can't change here.
    fn read_settings_again(&mut self) {
        match (self.reload)() {
            Err(error) => tracing::error!(%error, "the settings stay as they are"),
            Ok(new) => {
                let fixed = self.settings.fixed_differences(&new);
                if !fixed.is_empty() {
                    let fixed = fixed.join(", ");
                    return tracing::error!(%fixed, "the settings stay as they are: this needs a restart");
                }
                self.engine.change_bounds(&new.engine);
                let mut parts = spread(&self.budget, &new);
                if parts.holders != self.holders.count() {
                    // The processes stay as they are: what they can't hold waits for a restart.
                    parts =
                        self.budget.spread(new.shell.clients.door.connections, Some(self.holders.count()));
                    tracing::warn!(
                        holders = parts.holders,
                        short = parts.short,
                        "the number of holders stays"
                    );
                }
                let terms = part(&new.shell.clients, parts);
                self.clients.change(&mut self.hub, terms);
                self.holders.change(&mut self.hub, terms);
                self.intake.change(&new.class_terms(), new.shell.intake);
                if self.settings.list != new.list {
                    self.list.take().into_iter().for_each(|list| self.hub.close(list, "another list"));
                    // The new one is asked at once.
                    self.list_turn = 0;
                    self.list_retry = (!new.list.is_empty()).then(|| self.hub.clock().now());
                    self.list_stale = !new.list.is_empty();
                }
                self.workers.change(worker_limits(&new), hello(&new));
                self.settings = new;
                tracing::info!("new settings are in force");
            }
        }
    }

    fn message(&mut self, connection: Connection, message: Message) {
        if Some(connection) == self.list {
            return match message {
                Message::List { whole, version, workers } => {
                    tracing::info!(whole, version, workers = workers.len(), "worker list");
                    self.list_stale = false;
                    self.take_list(whole, workers);
                    self.save_list();
                }
                Message::Bye { reason } => tracing::warn!(%reason, "the list service refuses"),
                _ => {}
            };
        }
        if self.workers.is_ours(connection)
            && let Some(input) = self.workers.message(&self.hub, connection, message)
        {
            self.give(input);
        }
    }

    /// A client asks something.
    fn asked(&mut self, key: Key, ask: Ask) {
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
                    time_left,
                    shape,
                    body,
                    account,
                    route: None,
                    is_key_for_workers: false,
                };
                self.call(Client { connection: key, number }, ask.came, call);
            }
            Message::Await { number, id, wait } => {
                self.give(Input::Await(Client { connection: key, number }, id, wait));
            }
            Message::Cancel { number } => {
                tracing::debug!(connection = key, number, "call canceled");
                if !self.intake.call_off((key, number)) {
                    self.give(Input::Cancel(Client { connection: key, number }));
                }
            }
            Message::Versions { number, key: order_key, json } => {
                let json = self.desk.answer(self.hub.clock().now(), &order_key, &json);
                self.reply(key, &Message::Versioned { number, json });
                self.expect();
            }
            Message::Page { number, path } => {
                let (status, text) = self.page(&path);
                self.reply(key, &Message::Paged { number, status, body: text.into_bytes() });
            }
            // What else the clients' side lets through is the end.
            _ => self.left(key),
        }
    }

    fn left(&mut self, key: Key) {
        tracing::debug!(connection = key, "client left");
        self.intake.left(key);
        self.give(Input::Left(key));
    }

    fn call(&mut self, client: Client, came: Micros, call: Call) {
        let class = self.classes.get(&call.class).copied();
        // What is refused anyway need not wait for it.
        let Some(class) = class.filter(|_| self.life == Life::Running) else {
            return self.begin(client, came, call);
        };
        // On most days nothing waits, and nobody has to.
        if self.intake.is_empty() && self.begun < self.intake.per_turn() {
            return self.begin(client, came, call);
        }
        let tenant = self.tenants.get(&call.tenant).copied();
        let (now, name) = (self.hub.clock().now(), (client.connection, client.number));
        match self.intake.offer(now, name, class, tenant, came, Asked { class, client, call }) {
            Verdict::Waits => {}
            Verdict::Refused(refused) => {
                self.refuse_busy(refused.call, refused.reason, refused.retry_after);
            }
            Verdict::Twice(asked) => self.end(asked.client.connection, "a number is used twice"),
        }
    }

    /// A call's turn has come. Its time runs since it came.
    fn begin(&mut self, client: Client, came: Micros, mut call: Call) {
        self.begun += 1;
        let engine = &self.settings.engine;
        let class = self.classes.get(&call.class).map(|class| &engine.module.classes[*class]);
        let usual = if call.deferred { engine.deferred_time } else { class.map_or(0, |class| class.give_up) };
        let asked = if call.time_left == 0 { usual } else { call.time_left };
        let now = self.hub.clock().now();
        let waited = now.saturating_sub(came);
        call.time_left = asked.min(engine.most_time).saturating_sub(waited).max(1);
        call.route = self.desk.choose(now, &call, client);
        let safe = class.is_some_and(|class| class.effect == Effect::Safe);
        // Only where nothing waits: a twin is worth no client's time. Nor may it earn load orders: the ration counts
        // clients' calls, and the module can't tell them apart.
        let free = self.settings.engine.module.ration.is_none() && self.intake.is_empty();
        let twin = (safe && free).then(|| self.desk.twin(now, &call, client)).flatten();
        self.give(Input::Call(client, call));
        if let Some((client, twin)) = twin {
            self.give(Input::Call(client, twin));
        }
    }

    fn refuse_busy(&mut self, asked: Asked, reason: &str, retry_after: Micros) {
        self.busy[asked.class] += 1;
        let (number, status, reason) = (asked.client.number, Status::Refused, reason.to_owned());
        let answer = Message::Answer { number, status, reason, retry_after, body: Vec::new(), origin: None };
        self.reply(asked.client.connection, &answer);
    }

    /// Tells a client why, and closes.
    fn end(&mut self, key: Key, reason: &str) {
        self.reply(key, &Message::Bye { reason: reason.into() });
        if holders::is_ours(key) {
            // What the clients' side says of it is said; it asks nothing more.
            self.left(key);
        }
    }

    /// A message for a client, by whatever process holds it.
    fn reply(&mut self, key: Key, message: &Message) {
        if holders::is_ours(key) {
            self.clients.reply(&mut self.hub, key, message);
        } else {
            self.holders.reply(&mut self.hub, key, message);
        }
    }

    fn page(&self, path: &str) -> (u32, String) {
        match path {
            "/readyz" => {
                let holders = self.holders.alive() == self.holders.count();
                let (status, words) = match (self.life, self.engine.workers().next().is_some()) {
                    (Life::Running, true) if holders => (200, "ready"),
                    (Life::Running, true) => (503, "a holder of connections is missing"),
                    (Life::Running, false) => (503, "no workers listed"),
                    _ => (503, "stopping"),
                };
                (status, words.into())
            }
            "/metrics" => (200, metrics::text(&self.engine, &self.counts()).trim_end().to_owned()),
            _ => (404, "no such page".into()),
        }
    }

    fn counts(&self) -> ShellCounts {
        let own = self.clients.counts();
        ShellCounts {
            doors: std::iter::once(own).chain(self.holders.counts().cloned()).collect(),
            holders: self.holders.alive(),
            holder_restarts: self.holders.restarts,
            busy: self.busy.clone(),
            waiting: self.intake.len(),
            intake_rate: self.intake.rate(),
            worker_connections: self.workers.connections(),
            accept_starved: self.hub.starved,
            list_stale: self.list_stale,
            versions: self.desk.status(self.hub.clock().now()),
        }
    }

    fn closed(&mut self, connection: Connection, never_stood: bool, unsent: &[u64], why: &str) {
        if Some(connection) == self.list {
            tracing::warn!(%why, "the list service can't be reached");
            self.list = None;
            self.list_stale = true;
            self.list_turn += 1;
            self.list_retry = Some(self.hub.clock().now() + self.settings.shell.list_retry);
            return self.give(Input::ListLost);
        }
        let ended = self.workers.closed(connection, never_stood, unsent, why);
        ended.into_iter().for_each(|input| self.give(input));
    }

    fn take_list(&mut self, whole: bool, workers: Vec<Listed>) {
        let ended = self.workers.take_list(&mut self.hub, whole, &workers);
        self.give(Input::List { whole, workers });
        ended.into_iter().for_each(|input| self.give(input));
    }

    /// A disk that is full or gone costs the list at the next start, nothing else.
    fn save_list(&mut self) {
        let Some(saved) = &self.saved else { return };
        if let Err(error) = saved.write(self.engine.workers()) {
            tracing::warn!(%error, "the worker list can't be saved");
        }
    }

    /// Gives the engine an input, carries out what it answers, and so on until nothing is left.
    fn give(&mut self, input: Input) {
        self.inputs.push_back(input);
        while let Some(input) = self.inputs.pop_front() {
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
            Output::Accepted(client, id) => {
                tracing::debug!(%id, "accepted");
                self.reply(client.connection, &Message::Accepted { number: client.number, id });
            }
            Output::Answer(client, answer) => {
                if !self.desk.compare(client, &answer) {
                    self.answer(client, answer);
                }
            }
            Output::Close(connection, reason) => self.end(connection, reason),
            Output::Run(attempt) => self.run_attempt(attempt),
            Output::Withdraw(_, attempt) | Output::Overdue(_, attempt) => {
                if self.workers.withdraw(&mut self.hub, attempt) {
                    let end = AttemptEnd::TakenBack;
                    self.inputs.push_back(Input::AttemptEnded(attempt, end, Vec::new(), None));
                }
            }
            Output::CancelRun(_, attempt) => {
                self.workers.call_off(&mut self.hub, attempt);
            }
            Output::Hold { worker, order, function, count, shape } => {
                tracing::debug!(%worker, %function, count, "hold");
                let message = Message::Hold { order, function: function.to_string(), count, shape };
                if !self.workers.hand(&mut self.hub, &worker, Cargo::Order(order), &message) {
                    self.inputs.push_back(Input::OrderEnded(order, OrderEnd::NotConnected, 0));
                }
            }
            Output::Drop(worker, function) => {
                let message = Message::Drop { function: function.to_string() };
                self.workers.tell(&mut self.hub, &worker, &message);
            }
            Output::Probe(worker) => {
                let message = Message::Probe { number: 0 };
                self.workers.tell(&mut self.hub, &worker, &message);
            }
            // The list is followed from the start, and again whenever its connection was lost.
            Output::Follow => {}
            Output::Over { call, status, late, erred } => self.desk.over(&call, status, late, erred),
            Output::Ran(call, origin, wrong) => self.desk.ran(&call, origin.as_ref(), wrong),
            Output::Loaded(function, stands) => self.desk.loaded(&function.0, stands),
            Output::Log(text) => tracing::info!("{text}"),
        }
    }

    fn answer(&mut self, client: Client, answer: Answer) {
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

    fn run_attempt(&mut self, attempt: Attempt) {
        let span = tracing::debug_span!("call", id = %attempt.id, trace = %attempt.call.trace);
        let _in = span.enter();
        tracing::debug!(worker = %attempt.worker, attempt = attempt.number, before = attempt.before, "run");
        let message = attempt.message();
        let cargo = Cargo::Attempt(attempt.number);
        if !self.workers.hand(&mut self.hub, &attempt.worker, cargo, &message) {
            let end = AttemptEnd::NotConnected;
            self.inputs.push_back(Input::AttemptEnded(attempt.number, end, Vec::new(), None));
        }
    }

    /// Tells the engine which functions are to be kept loaded, when it is time to.
    fn expect(&mut self) {
        for expected in self.desk.look(self.hub.clock().now()) {
            let (function, like) = (expected.function.as_str().into(), expected.like.as_str().into());
            self.give(Input::Expected(function, like, EXPECTED_FOR));
        }
    }

    /// Looks at what has a time: versions, the list service, idle connections to workers.
    fn look(&mut self, now: Micros) {
        self.expect();
        if self.list_retry.is_some_and(|at| at <= now) {
            self.list_retry = None;
            let at = self.settings.list.get(self.list_turn % self.settings.list.len().max(1)).copied();
            if let (Some(at), Life::Running) = (at, self.life) {
                let list = self.hub.connect(at, Wire::Frames, self.settings.engine.module.connect_timeout);
                self.list = Some(list);
                self.hub.send(list, &hello(&self.settings), None);
                self.hub.send(list, &Message::Follow {}, None);
            }
        }
        if self.pool_look <= now {
            self.workers.close_idle(&mut self.hub);
            self.pool_look = now + self.settings.shell.worker_idle.max(1_000) / 4;
        }
    }
}

fn worker_limits(settings: &GatewaySettings) -> CarrierLimits {
    let shell = &settings.shell;
    CarrierLimits {
        wire: Wire::Frames,
        connections: shell.worker_connections,
        streams: shell.worker_streams,
        spread: shell.worker_streams,
        connect_timeout: settings.engine.module.connect_timeout,
        idle: shell.worker_idle,
    }
}

fn hello(settings: &GatewaySettings) -> Message {
    let (name, zone) = (settings.name.clone(), settings.engine.module.zone.clone());
    Message::Hello { role: Role::Gateway, name, zone }
}

/// Listens. Holders of a gateway that was killed a moment ago may still have the port.
fn bind(at: SocketAddr) -> io::Result<socket2::Socket> {
    let began = std::time::Instant::now();
    loop {
        match listener(at) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && began.elapsed() < BIND_WITHIN => {
                std::thread::sleep(BIND_AGAIN);
            }
            other => return other,
        }
    }
}

/// How the connections are spread, with a word where they do not fit.
fn spread(budget: &Budget, settings: &GatewaySettings) -> Parts {
    let asked = settings.shell.clients.door.connections;
    let parts = budget.spread(asked, settings.holders);
    let (limit, holders, each) = (budget.limit, parts.holders, parts.each);
    if let Some(room) = parts.short {
        tracing::warn!(
            asked,
            room,
            limit,
            holders,
            "fewer connections than asked for: descriptors are short"
        );
    } else if holders > 0 {
        tracing::info!(asked, limit, holders, each, "connections are held by processes of their own");
    }
    parts
}
