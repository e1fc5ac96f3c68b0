//! The gateway's part in versions: receives, stores and applies version orders. `cresswheel_versions`
//! decides.

use std::collections::HashMap;
use std::path::Path;

use cresswheel_engine::{Answer, Call, Client, VersionRoute};
use cresswheel_protocol::{Micros, Origin, Status};
use cresswheel_versions::{
    CallerIdentity, Compare, End, JUDGE_INTERVAL, PrewarmTarget, RecordOrder, Side, Status as VersionStatus,
    VersionReply, VersionRequest, Versions,
};

use crate::version_store::{FunctionState, VersionStore};

/// How long the engine expects calls of a function after each check; more than the interval, since a check
/// may be late.
pub const EXPECTATION_TTL: Micros = 3 * JUDGE_INTERVAL;

/// The versions of one gateway.
pub struct VersionController {
    versions: Versions,
    /// Without a store, version orders are rejected.
    store: Option<VersionStore>,
    /// The key that orders must carry; empty: none is required.
    order_key: String,
    incarnation: u64,
    next_check: Micros,
    /// Calls that both versions run, by a number of their own.
    comparisons: HashMap<u64, ShadowComparison>,
    /// The comparisons that wait for the answer to the client's call.
    comparison_of_client: HashMap<Client, u64>,
    last_comparison: u64,
}

/// The connection number of shadow calls, which no client connection has.
pub const SHADOW_CONNECTION: u64 = u64::MAX;
/// Maximum number of open comparisons.
const MAX_COMPARISONS: usize = 500;
/// A comparison that still lacks an answer is dropped after this.
const COMPARISON_TIMEOUT: Micros = 60_000_000;

/// The answers of the new and the old version to one call.
struct ShadowComparison {
    function: String,
    criteria: Compare,
    started_at: Micros,
    answers: [Option<Answer>; 2],
}

/// Compares two keys in a time that doesn't reveal how many bytes match.
fn constant_time_eq(a: &str, b: &str) -> bool {
    let differ = a.bytes().zip(b.bytes()).fold(0, |differ, (a, b)| differ | (a ^ b));
    a.len() == b.len() && differ == 0
}

impl VersionController {
    /// Restores the stored orders. `orders`: the key that orders must carry, and the folder that stores them.
    pub fn open(
        orders: Option<(String, &Path)>,
        name: &str,
        incarnation: u64,
        gateways: u32,
        now: Micros,
    ) -> Result<Self, String> {
        let mut versions = Versions::new(name, incarnation, gateways);
        let (key, folder) = orders.unzip();
        let store = folder.map(VersionStore::open).transpose()?;
        for FunctionState { record, heard, braked } in
            store.iter().map(VersionStore::load).collect::<Result<Vec<_>, _>>()?.concat()
        {
            let (function, epoch, stage) = (&record.plan.function, record.epoch, record.stage);
            tracing::info!(%function, epoch, ?stage, "version orders restored");
            versions.restore(now, heard, record, braked);
        }
        Ok(Self {
            versions,
            store,
            order_key: key.unwrap_or_default(),
            incarnation,
            next_check: now,
            comparisons: HashMap::new(),
            comparison_of_client: HashMap::new(),
            last_comparison: 0,
        })
    }

    /// A unique id of a call: incarnation of this process, connection, and number on the connection.
    fn call_id(&self, client: Client) -> String {
        format!("{:x}-{:x}-{:x}", self.incarnation, client.connection, client.number)
    }

    /// Chooses the version for a call that arrives.
    pub fn choose_version(&self, now: Micros, call: &Call, client: Client) -> Option<VersionRoute> {
        // Most functions have no plan, and their calls need no id.
        self.versions.heard(&call.function)?;
        let call_id = self.call_id(client);
        let callers = CallerIdentity {
            tenant: &call.tenant,
            account: call.account.as_deref().unwrap_or_default(),
            key: &call.key,
            trace: &call.trace,
            call: &call_id,
        };
        let chosen = self.versions.choose(now, &call.function, &callers)?;
        Some(VersionRoute {
            function: chosen.routed,
            digest: chosen.digest,
            is_new_version: chosen.side == Side::New,
            is_shadow: false,
        })
    }

    /// Records how a call that was routed to a version ended.
    pub fn record_end(&mut self, call: &Call, status: Status, late: bool, erred: bool) {
        let Some(route) = call.route.as_ref().filter(|route| !route.is_shadow) else { return };
        let side = if route.is_new_version { Side::New } else { Side::Old };
        let end = match (status, late) {
            (Status::Served, false) => End::InTime,
            (Status::Served, true) => End::Late,
            _ => End::NotServed,
        };
        self.versions.count_answer(&call.function, side, &call.class, end, erred);
    }

    /// The shadow call to the old version, if the answers of both versions are to be compared. The call must
    /// be safe to run twice; deferred calls get none. A shadow call has no idempotency key, so that no retry
    /// of the client matches it.
    pub fn shadow_call(&mut self, now: Micros, call: &Call, client: Client) -> Option<(Client, Call)> {
        let route = call.route.as_ref().filter(|route| route.is_new_version && !call.deferred)?;
        let (plan, compare) = self.versions.comparison(&call.function)?;
        if self.comparisons.len() >= MAX_COMPARISONS || !compare.takes(plan.salt, &self.call_id(client)) {
            return None;
        }
        let (function, digest) = (plan.routed_name(Side::Old), plan.digest(Side::Old).to_owned());
        let route = VersionRoute { function, digest, is_shadow: true, is_new_version: !route.is_new_version };
        let trace = if call.trace.is_empty() { String::new() } else { format!("{}~twin", call.trace) };
        self.last_comparison += 1;
        let comparison = ShadowComparison {
            function: call.function.clone(),
            criteria: compare,
            started_at: now,
            answers: [None, None],
        };
        self.comparisons.insert(self.last_comparison, comparison);
        self.comparison_of_client.insert(client, self.last_comparison);
        let shadow = Call { key: String::new(), trace, route: Some(route), ..call.clone() };
        Some((Client { connection: SHADOW_CONNECTION, number: self.last_comparison }, shadow))
    }

    /// Records the answer to a client's call or to a shadow call; true for a shadow call, whose answer goes
    /// to no client.
    pub fn record_answer(&mut self, client: Client, answer: &Answer) -> bool {
        let is_shadow = client.connection == SHADOW_CONNECTION;
        let number = if is_shadow { Some(client.number) } else { self.comparison_of_client.remove(&client) };
        let Some(number) = number else { return is_shadow };
        let Some(comparison) = self.comparisons.get_mut(&number) else { return is_shadow };
        comparison.answers[usize::from(is_shadow)] = Some(answer.clone());
        if let [Some(a), Some(b)] = &comparison.answers {
            // Only served answers are compared; errors are evaluated separately.
            if a.status == Status::Served && b.status == Status::Served {
                let is_same = comparison.criteria.answers_match(&a.body, &b.body);
                self.versions.count_comparison(&comparison.function, is_same);
            }
            self.comparisons.remove(&number);
        }
        is_shadow
    }

    /// Records which version a worker ran.
    pub fn record_run(&mut self, call: &Call, origin: Option<&Origin>, wrong: bool) {
        let Some(route) = &call.route else { return };
        let digest = origin.map_or("untold", |origin| &origin.digest);
        self.versions.count_reported_version(&call.function, &route.function, digest, wrong);
        if wrong {
            let (asked, told) = (&route.function, origin.map(|o| format!("{} {}", o.function, o.digest)));
            tracing::warn!(%asked, wanted = %route.digest, ?told, "worker ran a version other than the one requested");
        }
    }

    /// Records the answer to a prewarm order.
    pub fn record_load(&mut self, routed: &str, is_loaded: bool) {
        if !self.versions.is_empty() {
            self.versions.load_ended(routed, is_loaded);
        }
    }

    /// Handles a request about versions and returns the reply as JSON.
    pub fn handle_request(&mut self, now: Micros, key: &str, json: &[u8]) -> Vec<u8> {
        let reply = self.execute(now, key, json).unwrap_or_else(VersionReply::Refused);
        serde_json::to_vec(&reply).unwrap_or_default()
    }

    fn execute(&mut self, now: Micros, key: &str, json: &[u8]) -> Result<VersionReply, String> {
        let Some(store) = &self.store else {
            return Err(
                "this gateway takes no version orders: there is no versions(...) in its settings".into()
            );
        };
        if !constant_time_eq(key, &self.order_key) {
            return Err("the order key is not this gateway's".into());
        }
        let question = serde_json::from_slice(json).map_err(|error| format!("not understood: {error}"))?;
        let status = |versions: &Versions, function: &str| {
            Ok(VersionReply::Status(versions.status(now, Some(function))))
        };
        match question {
            VersionRequest::Status(function) => {
                Ok(VersionReply::Status(self.versions.status(now, function.as_deref())))
            }
            VersionRequest::History(function) => store.history(&function).map(VersionReply::History),
            VersionRequest::Renew(function, mark) => {
                let before = self.versions.heard(&function).map(|(_, heard, _)| heard);
                if self.versions.renew(now, &function, mark)
                    && let Some((record, heard, braked)) = self.versions.heard(&function)
                {
                    // Stored only every quarter of a lease: after a restart the lease may end a little
                    // earlier.
                    let lease = record.plan.lease;
                    if before.is_some_and(|before| before / (lease / 4).max(1) != heard / (lease / 4).max(1))
                    {
                        store.put(&FunctionState {
                            record: record.clone(),
                            heard,
                            braked: braked.map(str::to_owned),
                        })?;
                    }
                }
                status(&self.versions, &function)
            }
            VersionRequest::Order(record) => {
                let function = record.plan.function.clone();
                match self.versions.weigh(&record) {
                    RecordOrder::Wrong(why) => return Err(why),
                    // A repeat of the current order or of a superseded one: the status tells which.
                    RecordOrder::Same | RecordOrder::Older => {}
                    RecordOrder::Newer => {
                        store.put(&FunctionState { record: (*record).clone(), heard: now, braked: None })?;
                        let (epoch, kind, by, why) =
                            (record.epoch, record.kind.as_str(), &record.by, &record.why);
                        tracing::info!(%function, epoch, kind, stage = ?record.stage, %by, %why, "version order");
                        self.versions.act(now, *record);
                        self.next_check = now;
                    }
                }
                status(&self.versions, &function)
            }
        }
    }

    /// When [`VersionController::check`] is due next.
    pub fn next_due(&self) -> Option<Micros> {
        (!self.versions.is_empty()).then_some(self.next_check)
    }

    /// Evaluates this gateway's own counts; returns the functions that are to be kept loaded.
    pub fn check(&mut self, now: Micros) -> Vec<PrewarmTarget> {
        if self.versions.is_empty() || now < self.next_check {
            return Vec::new();
        }
        self.next_check = now + JUDGE_INTERVAL;
        // A call whose client disconnected gets no answer.
        self.comparisons
            .retain(|_, comparison| now < comparison.started_at.saturating_add(COMPARISON_TIMEOUT));
        let comparisons = &self.comparisons;
        self.comparison_of_client.retain(|_, number| comparisons.contains_key(number));
        for function in self.versions.judge(now) {
            let Some((record, heard, Some(why))) = self.versions.heard(&function) else { continue };
            tracing::error!(%function, %why, "the new version was judged worse: this gateway routes all calls to the old one");
            let state = FunctionState { record: record.clone(), heard, braked: Some(why.to_owned()) };
            if let Some(Err(error)) = self.store.as_ref().map(|store| store.put(&state)) {
                tracing::error!(%error, "the local rollback could not be stored: a restart would undo it");
            }
        }
        self.versions.prewarm_targets(now)
    }

    /// The status of all functions.
    pub fn status(&self, now: Micros) -> Vec<VersionStatus> {
        self.versions.status(now, None)
    }
}
