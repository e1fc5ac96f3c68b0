//! The gateway's loop.

use std::collections::{BTreeSet, VecDeque};
use std::io;
use std::net::SocketAddr;

use anyhow::Context;
use calloop::signals::Signal;
use cresswheel::WorkerId;
use cresswheel_engine::{Answer, Attempt, AttemptEnd, Call, Client, Engine, Input, OrderEnd, Output};
use cresswheel_protocol::{Listed, Message, Micros, Role, http::Request};
use cresswheel_transport::{Connection, Hub, Notice, Wire};
use foldhash::{HashMap, HashMapExt};

use crate::http::{self, Asked};
use crate::metrics::{self, ShellCounts};
use crate::pool::{self, Pool, PoolLimits};
use crate::saved_list::SavedList;
use crate::settings::GatewaySettings;

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

/// A client's connection.
struct ClientConnection {
    http: Option<HttpState>,
    greeted: bool,
    paused: bool,
    /// Messages so far, those so far at the last look, and whether one was half there then.
    messages: u64,
    looked: (u64, bool),
    /// When it is looked at next.
    look: Micros,
    /// Calls and awaits without their answer.
    open: usize,
}

/// Responses leave in the order of their requests.
#[derive(Default)]
struct HttpState {
    next: u64,
    slots: VecDeque<Slot>,
}

struct Slot {
    number: u64,
    fetched: bool,
    keep_alive: bool,
    response: Option<Vec<u8>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    Running,
    /// Calls may finish until then.
    Stopping(Micros),
    /// All is answered; what waits to be written may leave until then.
    Leaving(Micros),
}

/// A gateway process.
pub struct Gateway {
    settings: GatewaySettings,
    reload: Reload,
    hub: Hub,
    engine: Engine,
    pool: Pool,
    ready: Ready,
    http_listener: Option<u32>,
    clients: HashMap<Connection, ClientConnection>,
    /// When to look at a client's connection again: one entry each, moved only when it is due.
    looks: BTreeSet<(Micros, Connection)>,
    addresses: HashMap<WorkerId, SocketAddr>,
    list: Option<Connection>,
    list_turn: usize,
    list_retry: Option<Micros>,
    list_stale: bool,
    saved: Option<SavedList>,
    pool_look: Micros,
    inputs: VecDeque<Input>,
    outputs: Vec<Output>,
    life: Life,
}

/// After the last answer, how long it may take to leave.
const LEAVE_WITHIN: Micros = 500_000;
/// How often a client that is not read, since it does not read, is looked at.
const LOOK_AT_PAUSED: Micros = 10_000;

impl Gateway {
    /// Binds the listeners and reads the saved list; takes its first call in [`Gateway::run`].
    pub fn start(settings: GatewaySettings, reload: Reload) -> anyhow::Result<Self> {
        let mut hub = Hub::new(settings.shell.hub).context("event loop")?;
        hub.signals(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]).context("signals")?;
        let listen =
            |hub: &mut Hub, at, wire| hub.listen(at, wire).with_context(|| format!("listen on {at}"));
        let (_, main) = listen(&mut hub, settings.listen, Wire::Frames)?;
        let http = settings.http.map(|at| listen(&mut hub, at, Wire::Http)).transpose()?;
        let now = hub.clock().now();
        // The process id tells apart what starts in the same microsecond.
        let life = now.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(std::process::id());
        let engine = Engine::new(settings.engine.clone(), life)?;
        let saved = settings.state.as_deref().map(|folder| {
            SavedList::new(folder).with_context(|| format!("state folder {}", folder.display()))
        });
        let saved = saved.transpose()?;
        let mut gateway = Self {
            ready: Ready { main, http: http.map(|(_, at)| at) },
            http_listener: http.map(|(number, _)| number),
            reload,
            hub,
            engine,
            pool: Pool::default(),
            clients: HashMap::new(),
            looks: BTreeSet::new(),
            addresses: HashMap::new(),
            list: None,
            list_turn: 0,
            list_retry: (!settings.list.is_empty()).then_some(now),
            list_stale: !settings.list.is_empty(),
            saved,
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
                Life::Stopping(until) if until <= now || self.engine.open_calls() == 0 => {
                    self.give(Input::Stop);
                    self.life = Life::Leaving(now + LEAVE_WITHIN);
                }
                Life::Leaving(until) => {
                    let waiting = self.clients.keys().any(|c| self.hub.backlog(*c) > 0);
                    if until <= now || !waiting {
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
            let now = self.hub.clock().now();
            if self.engine.wake_at().is_some_and(|at| at <= now) {
                self.give(Input::Wake);
            }
            self.look(now);
        }
    }

    fn next_due(&self) -> Micros {
        let life = match self.life {
            Life::Running => None,
            Life::Stopping(at) => Some(at),
            // What is left is on its way out.
            Life::Leaving(at) => Some(at.min(self.hub.clock().now() + 1_000)),
        };
        let look = self.looks.first().map(|(at, _)| *at);
        let all = [life, look, self.list_retry, self.engine.wake_at(), Some(self.pool_look)];
        all.into_iter().flatten().min().unwrap_or(self.pool_look)
    }

    fn notice(&mut self, notice: Notice) {
        match notice {
            Notice::Opened(connection, listener) => {
                let http = (Some(listener) == self.http_listener).then(HttpState::default);
                let look = self.hub.clock().now() + self.settings.shell.half_request;
                let (greeted, paused, messages, looked, open) = (false, false, 0, (0, false), 0);
                let client = ClientConnection { http, greeted, paused, messages, looked, look, open };
                self.clients.insert(connection, client);
                self.looks.insert((look, connection));
            }
            Notice::Connected(connection) => {
                if Some(connection) != self.list {
                    self.pool.stands(connection);
                }
            }
            Notice::Message(connection, message) => self.message(connection, message),
            Notice::Request(connection, request) => self.request(connection, request),
            Notice::BadRequest(connection, error) => {
                let response = http::words(error.status, error.reason, false);
                self.respond_now(connection, response, false);
            }
            Notice::Closed { connection, never_stood, unsent, why } => {
                self.closed(connection, never_stood, &unsent, &why);
            }
            // No listener and no connection of a gateway is raw.
            Notice::Bytes(connection, _) => self.hub.close(connection, "raw bytes"),
            Notice::Signal(Signal::SIGHUP) => self.read_settings_again(),
            Notice::Signal(signal) => self.stop(signal),
        }
    }

    fn stop(&mut self, signal: Signal) {
        if self.life != Life::Running {
            return;
        }
        tracing::info!(?signal, open = self.engine.open_calls(), "stopping");
        self.hub.pause_listening(true);
        self.give(Input::Drain);
        let leaving = Message::GoingAway { reason: "stopping".into() };
        let framed = self.clients.iter().filter(|(_, c)| c.http.is_none()).map(|(id, _)| *id);
        for connection in framed.collect::<Vec<_>>() {
            self.hub.send(connection, &leaving, None);
        }
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
                self.hub.set_limits(new.shell.hub);
                if self.settings.list != new.list {
                    self.list.take().into_iter().for_each(|list| self.hub.close(list, "another list"));
                }
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
        if self.pool.is_ours(connection) {
            return self.worker_message(connection, message);
        }
        self.client_message(connection, message);
    }

    fn worker_message(&mut self, connection: Connection, message: Message) {
        match message {
            Message::Ran { attempt, ending, crowd, body } => {
                // An answer on another connection than the attempt's is an answer to nothing.
                let number = if self.pool.carries(connection, attempt) { attempt } else { 0 };
                self.pool.done(&self.hub, number);
                self.give(Input::AttemptEnded(number, AttemptEnd::Answered(ending, crowd), body));
            }
            Message::Held { order, ending, standing } => {
                let number = if self.pool.carries(connection, order) { order } else { 0 };
                self.pool.done(&self.hub, number);
                self.give(Input::OrderEnded(number, OrderEnd::Answered(ending), standing));
            }
            Message::Probed { .. } => {
                if let Some(worker) = self.pool.worker(connection) {
                    self.give(Input::Probed(worker));
                }
            }
            Message::GoingAway { .. } => self.pool.leaving(connection),
            Message::Bye { reason } => tracing::warn!(%reason, "a worker refuses"),
            _ => {}
        }
    }

    fn client_message(&mut self, connection: Connection, message: Message) {
        let Some(client) = self.clients.get_mut(&connection) else { return };
        client.messages += 1;
        let greeted = std::mem::replace(&mut client.greeted, true);
        match message {
            Message::Hello { role: Role::Client, .. } if !greeted => {}
            _ if !greeted => self.refuse(connection, "a connection begins with Hello as a client"),
            Message::Call {
                number,
                deferred,
                function,
                class,
                tenant,
                key,
                trace,
                time_left,
                shape,
                body,
            } => {
                let call = Call { deferred, function, class, tenant, key, trace, time_left, shape, body };
                client.open += 1;
                self.give(Input::Call(Client { connection, number }, call));
            }
            Message::Await { number, id, wait } => {
                client.open += 1;
                self.give(Input::Await(Client { connection, number }, id, wait));
            }
            Message::Cancel { number } => {
                client.open = client.open.saturating_sub(1);
                self.give(Input::Cancel(Client { connection, number }));
            }
            Message::Probe { number } => {
                let held = self.engine.open_calls() as u32;
                self.hub.send(connection, &Message::Probed { number, held, queued: 0 }, None);
            }
            Message::GoingAway { .. } | Message::Probed { .. } => {}
            Message::Bye { .. } => self.hub.close(connection, "the client said bye"),
            other => self.refuse(connection, &format!("{} is not for a gateway's clients", other.kind())),
        }
    }

    fn refuse(&mut self, connection: Connection, reason: &str) {
        self.hub.send(connection, &Message::Bye { reason: reason.into() }, None);
        self.hub.finish(connection);
        self.give(Input::Left(connection));
    }

    fn request(&mut self, connection: Connection, request: Request) {
        let keep_alive = request.keep_alive && self.life == Life::Running;
        let asked = http::asked(request);
        let Some(client) = self.clients.get_mut(&connection) else { return };
        client.messages += 1;
        let Some(state) = &mut client.http else { return };
        let number = state.next;
        let fetched = matches!(asked, Asked::Result(..));
        let to_engine = fetched || matches!(asked, Asked::Call(_));
        let client_number = Client { connection, number };
        if to_engine {
            state.next += 1;
            state.slots.push_back(Slot { number, fetched, keep_alive, response: None });
            client.open += 1;
        }
        match asked {
            Asked::Call(call) => self.give(Input::Call(client_number, call)),
            Asked::Result(id, wait) => self.give(Input::Await(client_number, id, wait)),
            Asked::Health => self.respond_now(connection, http::words(200, "alive", keep_alive), keep_alive),
            Asked::Ready => {
                let words = match (self.life, self.engine.workers().next().is_some()) {
                    (Life::Running, true) => Ok("ready"),
                    (Life::Running, false) => Err("no workers listed"),
                    _ => Err("stopping"),
                };
                let (status, words) = words.map_or_else(|w| (503, w), |w| (200, w));
                self.respond_now(connection, http::words(status, words, keep_alive), keep_alive);
            }
            Asked::Metrics => {
                let counts = ShellCounts {
                    connections: self.hub.connections(),
                    worker_connections: self.pool.connections(),
                    accept_starved: self.hub.starved,
                    connections_turned_away: self.hub.turned_away,
                    list_stale: self.list_stale,
                    paused_clients: self.clients.values().filter(|client| client.paused).count(),
                };
                let text = metrics::text(&self.engine, &counts);
                self.respond_now(connection, http::words(200, text.trim_end(), keep_alive), keep_alive);
            }
            Asked::Wrong(status, why) => {
                self.respond_now(connection, http::words(status, &why, keep_alive), keep_alive);
            }
        }
    }

    /// A response that needs no call; it still waits for its turn.
    fn respond_now(&mut self, connection: Connection, response: Vec<u8>, keep_alive: bool) {
        let Some(state) = self.clients.get_mut(&connection).and_then(|c| c.http.as_mut()) else { return };
        let number = state.next;
        state.next += 1;
        state.slots.push_back(Slot { number, fetched: false, keep_alive, response: Some(response) });
        self.send_responses(connection);
    }

    /// Fills a slot; the response leaves when those before it have left.
    fn respond(&mut self, client: Client, response: impl Fn(&Slot) -> Vec<u8>) {
        let state = self.clients.get_mut(&client.connection).and_then(|c| c.http.as_mut());
        let slot = state.and_then(|s| s.slots.iter_mut().find(|slot| slot.number == client.number));
        let Some(slot) = slot else { return };
        slot.response = Some(response(slot));
        self.send_responses(client.connection);
    }

    fn send_responses(&mut self, connection: Connection) {
        loop {
            let state = self.clients.get_mut(&connection).and_then(|c| c.http.as_mut());
            let Some(state) = state else { return };
            if state.slots.front().is_none_or(|slot| slot.response.is_none()) {
                return;
            }
            let Some(slot) = state.slots.pop_front() else { return };
            self.hub.send_bytes(connection, &slot.response.unwrap_or_default());
            if !slot.keep_alive {
                return self.hub.finish(connection);
            }
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
        if let Some(client) = self.clients.remove(&connection) {
            self.looks.remove(&(client.look, connection));
            return self.give(Input::Left(connection));
        }
        let ended = self.pool.closed(connection, never_stood, unsent);
        if !ended.is_empty() {
            tracing::info!(%why, never_stood, ended = ended.len(), "a worker connection ended");
        }
        ended.into_iter().for_each(|input| self.give(input));
    }

    fn take_list(&mut self, whole: bool, workers: Vec<Listed>) {
        if whole {
            self.addresses.clear();
        }
        for worker in &workers {
            let id = WorkerId::from(worker.id.as_str());
            match worker.address.parse() {
                Ok(address) => {
                    self.addresses.insert(id, address);
                }
                Err(_) => {
                    tracing::warn!(worker = %id, address = %worker.address, "the list gives no usable address");
                    self.addresses.remove(&id);
                }
            }
        }
        self.give(Input::List { whole, workers });
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
                if self.settle(client) {
                    self.respond(client, |slot| http::accepted(&id, slot.keep_alive));
                } else {
                    let message = Message::Accepted { number: client.number, id };
                    self.hub.send(client.connection, &message, None);
                }
            }
            Output::Answer(client, answer) => self.answer(client, answer),
            Output::Close(connection, reason) => self.refuse(connection, reason),
            Output::Run(attempt) => self.run_attempt(attempt),
            Output::Withdraw(_, attempt) => {
                if self.pool.withdraw(&mut self.hub, attempt) {
                    let end = AttemptEnd::NotWritten;
                    self.inputs.push_back(Input::AttemptEnded(attempt, end, Vec::new()));
                }
            }
            Output::CancelRun(_, attempt) => self.pool.call_off(&mut self.hub, attempt),
            Output::Hold { worker, order, function, count, shape } => {
                tracing::debug!(%worker, %function, count, "hold");
                let message = Message::Hold { order, function: function.to_string(), count, shape };
                if !self.hand_to(&worker, (order, true), &message) {
                    self.inputs.push_back(Input::OrderEnded(order, OrderEnd::NotConnected, 0));
                }
            }
            Output::Drop(worker, function) => {
                let message = Message::Drop { function: function.to_string() };
                self.pool.tell(&mut self.hub, &worker, &message);
            }
            Output::Probe(worker) => {
                self.pool.tell(&mut self.hub, &worker, &Message::Probe { number: 0 });
            }
            // The list is followed from the start, and again whenever its connection was lost.
            Output::Follow => {}
            Output::Log(text) => tracing::info!("{text}"),
        }
    }

    /// One answer less is owed on this connection; true: it speaks HTTP.
    fn settle(&mut self, client: Client) -> bool {
        let Some(connection) = self.clients.get_mut(&client.connection) else { return false };
        connection.open = connection.open.saturating_sub(1);
        connection.http.is_some()
    }

    fn answer(&mut self, client: Client, answer: Answer) {
        let (status, reason) = (answer.status, answer.reason);
        tracing::debug!(connection = client.connection, number = client.number, %status, reason, "answer");
        if self.settle(client) {
            return self.respond(client, |slot| http::answer(&answer, slot.fetched, slot.keep_alive));
        }
        let message = Message::Answer {
            number: client.number,
            status,
            reason: reason.into(),
            retry_after: answer.retry_after,
            body: answer.body.to_vec(),
        };
        self.hub.send(client.connection, &message, None);
        let backlog = self.hub.backlog(client.connection);
        if backlog > self.settings.shell.client_backlog
            && let Some(connection) = self.clients.get_mut(&client.connection)
        {
            connection.paused = true;
            self.hub.pause(client.connection, true);
            // Look again soon: it may read on, or be gone.
            self.look_again(client.connection, self.hub.clock().now() + LOOK_AT_PAUSED);
        }
    }

    fn run_attempt(&mut self, attempt: Attempt) {
        let span = tracing::debug_span!("call", id = %attempt.id, trace = %attempt.call.trace);
        let _in = span.enter();
        tracing::debug!(worker = %attempt.worker, attempt = attempt.number, before = attempt.before, "run");
        let call = &attempt.call;
        let or_id = |text: &String| if text.is_empty() { attempt.id.clone() } else { text.clone() };
        let message = Message::Run {
            attempt: attempt.number,
            trace: or_id(&call.trace),
            before: attempt.before,
            function: call.function.clone(),
            class: call.class.clone(),
            key: or_id(&call.key),
            time_left: attempt.time_left,
            shape: call.shape.clone(),
            body: call.body.clone(),
        };
        if !self.hand_to(&attempt.worker, (attempt.number, false), &message) {
            let end = AttemptEnd::NotConnected;
            self.inputs.push_back(Input::AttemptEnded(attempt.number, end, Vec::new()));
        }
    }

    fn hand_to(&mut self, worker: &WorkerId, number: (u64, bool), message: &Message) -> bool {
        let Some(address) = self.addresses.get(worker).copied() else { return false };
        let limits = PoolLimits {
            connections: self.settings.shell.worker_connections,
            streams: self.settings.shell.worker_streams,
            connect_timeout: self.settings.engine.module.connect_timeout,
        };
        let hello = || pool::hello(&self.settings.name, &self.settings.engine.module.zone);
        self.pool.give(&mut self.hub, &limits, hello, (worker, address), number, message)
    }

    /// Looks at what has a time: the list service, idle and half-sent connections.
    fn look(&mut self, now: Micros) {
        if self.list_retry.is_some_and(|at| at <= now) {
            self.list_retry = None;
            let at = self.settings.list.get(self.list_turn % self.settings.list.len().max(1)).copied();
            if let (Some(at), Life::Running) = (at, self.life) {
                let list = self.hub.connect(at, Wire::Frames, self.settings.engine.module.connect_timeout);
                self.list = Some(list);
                self.hub.send(
                    list,
                    &pool::hello(&self.settings.name, &self.settings.engine.module.zone),
                    None,
                );
                self.hub.send(list, &Message::Follow {}, None);
            }
        }
        if self.pool_look <= now {
            let idle = self.settings.shell.worker_idle;
            self.pool.close_idle(&mut self.hub, idle);
            self.pool_look = now + idle.max(1_000) / 4;
        }
        while let Some((_, connection)) = self.looks.first().filter(|(at, _)| *at <= now).copied() {
            self.look_at(now, connection);
        }
    }

    fn look_at(&mut self, now: Micros, connection: Connection) {
        let limits = &self.settings.shell;
        let backlog = self.hub.backlog(connection);
        let (Some(client), Some((idle, midway))) =
            (self.clients.get_mut(&connection), self.hub.idle(connection))
        else {
            self.looks.retain(|(_, other)| *other != connection);
            return;
        };
        let mut next = now + limits.half_request;
        if client.paused {
            if backlog <= limits.client_backlog / 2 {
                client.paused = false;
                self.hub.pause(connection, false);
            } else {
                next = now + LOOK_AT_PAUSED;
            }
        }
        // The same message half there at two looks, however slowly its bytes drip.
        let stuck = midway && client.looked == (client.messages, true) && !client.paused;
        client.looked = (client.messages, midway);
        let idle = idle >= limits.client_idle && client.open == 0;
        self.look_again(connection, next);
        if stuck {
            self.hub.close(connection, "a message stays half sent");
        } else if idle {
            self.hub.close(connection, "idle");
        }
    }

    fn look_again(&mut self, connection: Connection, at: Micros) {
        let Some(client) = self.clients.get_mut(&connection) else { return };
        let before = std::mem::replace(&mut client.look, at);
        self.looks.remove(&(before, connection));
        self.looks.insert((at, connection));
    }
}
