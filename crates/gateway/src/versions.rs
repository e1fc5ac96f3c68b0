//! The gateway's part in versions: takes orders, writes them down, acts on them; `cresswheel_versions` decides.

use std::collections::HashMap;
use std::path::Path;

use cresswheel_engine::{Answer, Call, Client, Route};
use cresswheel_protocol::{Micros, Origin, Status};
use cresswheel_versions::{
    Callers, Compare, End, Expected, LOOK_EVERY, Question, Reply, Side, Status as VersionStatus, Versions,
    Weight,
};

use crate::version_store::{Kept, VersionStore};

/// For how long a function is told to be expected: a look may come late.
pub const EXPECTED_FOR: Micros = 3 * LOOK_EVERY;

/// Versions at one gateway.
pub struct Desk {
    versions: Versions,
    /// Without one no orders are taken.
    store: Option<VersionStore>,
    /// What orders must carry; empty: nothing.
    key: String,
    life: u64,
    look_at: Micros,
    /// Calls that both versions run, by a number of their own; who waits for the new version's answer.
    pairs: HashMap<u64, Pair>,
    waits: HashMap<Client, u64>,
    pair: u64,
}

/// The connection of twins: clients' numbers come nowhere near it.
pub const TWIN: u64 = u64::MAX;
/// Most pairs whose answers are waited for, and for how long.
const MOST_PAIRS: usize = 500;
const PAIR_FOR: Micros = 60_000_000;

/// The answers to one call, of the new version and of the old.
struct Pair {
    function: String,
    compare: Compare,
    since: Micros,
    answers: [Option<Answer>; 2],
}

/// Whether two keys are the same, without telling by the time it takes how much of them is.
fn same(a: &str, b: &str) -> bool {
    let differ = a.bytes().zip(b.bytes()).fold(0, |differ, (a, b)| differ | (a ^ b));
    a.len() == b.len() && differ == 0
}

impl Desk {
    /// Reads back what was ordered. `orders`: the key that orders must carry, and where they are written.
    pub fn open(
        orders: Option<(String, &Path)>,
        name: &str,
        life: u64,
        gateways: u32,
        now: Micros,
    ) -> Result<Self, String> {
        let mut versions = Versions::new(name, life, gateways);
        let (key, folder) = orders.unzip();
        let store = folder.map(VersionStore::open).transpose()?;
        for Kept { record, heard, braked } in
            store.iter().map(VersionStore::held).collect::<Result<Vec<_>, _>>()?.concat()
        {
            let (function, epoch, stage) = (&record.plan.function, record.epoch, record.stage);
            tracing::info!(%function, epoch, ?stage, "goes on with the version orders of its last life");
            versions.restore(now, heard, record, braked);
        }
        Ok(Self {
            versions,
            store,
            key: key.unwrap_or_default(),
            life,
            look_at: now,
            pairs: HashMap::new(),
            waits: HashMap::new(),
            pair: 0,
        })
    }

    /// Names a call, here and nowhere else: two calls of one connection differ in their number.
    fn name(&self, client: Client) -> String {
        format!("{:x}-{:x}-{:x}", self.life, client.connection, client.number)
    }

    /// The version that a call gets, as it arrives.
    pub fn choose(&self, now: Micros, call: &Call, client: Client) -> Option<Route> {
        // Most functions have no plan, and their calls need no name.
        self.versions.heard(&call.function)?;
        let own = self.name(client);
        let callers = Callers {
            tenant: &call.tenant,
            account: call.account.as_deref().unwrap_or_default(),
            key: &call.key,
            trace: &call.trace,
            call: &own,
        };
        let chosen = self.versions.choose(now, &call.function, &callers)?;
        Some(Route {
            function: chosen.routed,
            digest: chosen.digest,
            new: chosen.side == Side::New,
            twin: false,
        })
    }

    /// A call that was given a version is over.
    pub fn over(&mut self, call: &Call, status: Status, late: bool, erred: bool) {
        let Some(route) = call.route.as_ref().filter(|route| !route.twin) else { return };
        let side = if route.new { Side::New } else { Side::Old };
        let end = match (status, late) {
            (Status::Served, false) => End::InTime,
            (Status::Served, true) => End::Late,
            _ => End::NotServed,
        };
        self.versions.answered(&call.function, side, &call.class, end, erred);
    }

    /// The same call for the old version, if its answer is to be compared with that of the new one: a safe call
    /// that nobody fetches later, and not the client's to repeat.
    pub fn twin(&mut self, now: Micros, call: &Call, client: Client) -> Option<(Client, Call)> {
        let route = call.route.as_ref().filter(|route| route.new && !call.deferred)?;
        let (plan, compare) = self.versions.compare(&call.function)?;
        if self.pairs.len() >= MOST_PAIRS || !compare.takes(plan.salt, &self.name(client)) {
            return None;
        }
        let (function, digest) = (plan.routed(Side::Old), plan.digest(Side::Old).to_owned());
        let route = Route { function, digest, twin: true, new: !route.new };
        let trace = if call.trace.is_empty() { String::new() } else { format!("{}~twin", call.trace) };
        self.pair += 1;
        let pair = Pair { function: call.function.clone(), compare, since: now, answers: [None, None] };
        self.pairs.insert(self.pair, pair);
        self.waits.insert(client, self.pair);
        let twin = Call { key: String::new(), trace, route: Some(route), ..call.clone() };
        Some((Client { connection: TWIN, number: self.pair }, twin))
    }

    /// An answer, to a client or to a twin; true for a twin's, which nobody else waits for.
    pub fn compare(&mut self, client: Client, answer: &Answer) -> bool {
        let twin = client.connection == TWIN;
        let pair = if twin { Some(client.number) } else { self.waits.remove(&client) };
        let Some(pair) = pair else { return twin };
        let Some(entry) = self.pairs.get_mut(&pair) else { return twin };
        entry.answers[usize::from(twin)] = Some(answer.clone());
        if let [Some(a), Some(b)] = &entry.answers {
            // One that was not served has nothing to compare; errors are judged by themselves.
            if a.status == Status::Served && b.status == Status::Served {
                let same = entry.compare.same(&a.body, &b.body);
                self.versions.compared(&entry.function, same);
            }
            self.pairs.remove(&pair);
        }
        twin
    }

    /// A worker said what it ran.
    pub fn ran(&mut self, call: &Call, origin: Option<&Origin>, wrong: bool) {
        let Some(route) = &call.route else { return };
        let digest = origin.map_or("untold", |origin| &origin.digest);
        self.versions.ran(&call.function, &route.function, digest, wrong);
        if wrong {
            let (asked, told) = (&route.function, origin.map(|o| format!("{} {}", o.function, o.digest)));
            tracing::warn!(%asked, wanted = %route.digest, ?told, "a worker ran another version than it was asked for");
        }
    }

    /// A load order was answered.
    pub fn loaded(&mut self, routed: &str, stands: bool) {
        if !self.versions.is_empty() {
            self.versions.loaded(routed, stands);
        }
    }

    /// The answer to a question, or what became of an order.
    pub fn answer(&mut self, now: Micros, key: &str, json: &[u8]) -> Vec<u8> {
        let reply = self.reply(now, key, json).unwrap_or_else(Reply::Refused);
        serde_json::to_vec(&reply).unwrap_or_default()
    }

    fn reply(&mut self, now: Micros, key: &str, json: &[u8]) -> Result<Reply, String> {
        let Some(store) = &self.store else {
            return Err(
                "this gateway takes no version orders: there is no versions(...) in its settings".into()
            );
        };
        if !same(key, &self.key) {
            return Err("the order key is not this gateway's".into());
        }
        let question = serde_json::from_slice(json).map_err(|error| format!("not understood: {error}"))?;
        let status =
            |versions: &Versions, function: &str| Ok(Reply::Status(versions.status(now, Some(function))));
        match question {
            Question::Status(function) => Ok(Reply::Status(self.versions.status(now, function.as_deref()))),
            Question::History(function) => store.history(&function).map(Reply::History),
            Question::Renew(function, mark) => {
                let before = self.versions.heard(&function).map(|(_, heard, _)| heard);
                if self.versions.renew(now, &function, mark)
                    && let Some((record, heard, braked)) = self.versions.heard(&function)
                {
                    // Written now and then: a restart may think it heard a little less than it did.
                    let lease = record.plan.lease;
                    if before.is_some_and(|before| before / (lease / 4).max(1) != heard / (lease / 4).max(1))
                    {
                        store.put(&Kept {
                            record: record.clone(),
                            heard,
                            braked: braked.map(str::to_owned),
                        })?;
                    }
                }
                status(&self.versions, &function)
            }
            Question::Order(record) => {
                let function = record.plan.function.clone();
                match self.versions.weigh(&record) {
                    Weight::Wrong(why) => return Err(why),
                    // A repeat of what holds, or of what was overruled: the status says which.
                    Weight::Same | Weight::Older => {}
                    Weight::Newer => {
                        store.put(&Kept { record: (*record).clone(), heard: now, braked: None })?;
                        let (epoch, kind, by, why) =
                            (record.epoch, record.kind.word(), &record.by, &record.why);
                        tracing::info!(%function, epoch, kind, stage = ?record.stage, %by, %why, "version order");
                        self.versions.act(now, *record);
                        self.look_at = now;
                    }
                }
                status(&self.versions, &function)
            }
        }
    }

    /// When [`Desk::look`] is wanted next.
    pub fn next_due(&self) -> Option<Micros> {
        (!self.versions.is_empty()).then_some(self.look_at)
    }

    /// Judges by own figures; tells which functions are to be kept loaded.
    pub fn look(&mut self, now: Micros) -> Vec<Expected> {
        if self.versions.is_empty() || now < self.look_at {
            return Vec::new();
        }
        self.look_at = now + LOOK_EVERY;
        // A client that left gets no answer.
        self.pairs.retain(|_, pair| now < pair.since.saturating_add(PAIR_FOR));
        let pairs = &self.pairs;
        self.waits.retain(|_, pair| pairs.contains_key(pair));
        for function in self.versions.look(now) {
            let Some((record, heard, Some(why))) = self.versions.heard(&function) else { continue };
            tracing::error!(%function, %why, "the new version is held to be worse: the old one takes all calls here");
            let kept = Kept { record: record.clone(), heard, braked: Some(why.to_owned()) };
            if let Some(Err(error)) = self.store.as_ref().map(|store| store.put(&kept)) {
                tracing::error!(%error, "the brake is not written down: a restart would forget it");
            }
        }
        self.versions.expected(now)
    }

    /// What holds for all functions.
    pub fn status(&self, now: Micros) -> Vec<VersionStatus> {
        self.versions.status(now, None)
    }
}
