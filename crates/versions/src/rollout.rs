//! State of all rollouts at one gateway.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    CallerIdentity, Compare, End, Micros, Plan, Precedence, Record, RegressionTest, Share, Side, Stage,
    Status, Tally, point,
};

/// Maximum number of functions with a plan.
const MAX_FUNCTIONS: usize = 10_000;
/// Maximum number of digests that are counted per version.
const MAX_DIGESTS: usize = 16;
/// How often a gateway judges by its own counts.
pub const JUDGE_INTERVAL: Micros = 1_000_000;

/// The version that a call gets when it arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionChoice {
    /// Name under which the call is routed.
    pub routed: String,
    /// Digest that the worker must report; empty: not checked.
    pub digest: String,
    /// Which of the plan's versions it is.
    pub side: Side,
}

/// Why a gateway deviates from the share in its record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ShareOverride {
    /// The new version is being loaded; the previous share stays in force.
    Loading,
    /// All loads of the new version failed; the previous share stays in force.
    LoadsFail,
    /// Nothing was heard for longer than the lease; the old version gets all calls.
    Lapsed,
    /// The gateway's own counts show that the new version is worse, for the reason given; the old version
    /// gets all calls.
    Braked(String),
}

/// How an incoming record relates to the one in force.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordOrder {
    /// Newer: to be written to disk and then acted on.
    Newer,
    /// The one in force.
    Same,
    /// Superseded by the one in force.
    Older,
    /// Invalid, with the reason.
    Wrong(String),
}

/// A function to keep loaded although it gets few calls or none now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrewarmTarget {
    /// Routed name of the function.
    pub function: String,
    /// Routed name of the other version, whose calls it may have to take over.
    pub like: String,
}

/// State of one function.
#[derive(Debug)]
struct Rollout {
    record: Record,
    /// When the record came into force.
    applied_at: Micros,
    /// When the conductor was last heard of.
    conductor_heard: Micros,
    /// Share in force before the record.
    previous_share: Share,
    braked: Option<String>,
    /// Whether the new version has been loaded anywhere.
    loaded: bool,
    /// Whether loads of the new version have failed and none has succeeded.
    load_failed: bool,
    judge: RegressionTest,
    judged_at: Micros,
    judged_answers: BTreeMap<String, [Tally; 2]>,
    answers: BTreeMap<String, [Tally; 2]>,
    ran: BTreeMap<String, BTreeMap<String, u64>>,
    wrong: u64,
    compared: [u64; 2],
    judged_compared: [u64; 2],
}

impl Rollout {
    fn share(&self, now: Micros) -> (Share, Option<ShareOverride>) {
        let target = self.record.share();
        if self.record.has_ended() {
            return (target, None);
        }
        if let Some(why) = &self.braked {
            return (Share::NONE, Some(ShareOverride::Braked(why.clone())));
        }
        let lease = self.record.plan.lease;
        if lease > 0 && now > self.conductor_heard.saturating_add(lease) {
            return (Share::NONE, Some(ShareOverride::Lapsed));
        }
        let waited = now >= self.applied_at.saturating_add(self.record.plan.preload);
        if target <= self.previous_share || self.loaded || (waited && !self.load_failed) {
            return (target, None);
        }
        (
            self.previous_share,
            Some(if self.load_failed { ShareOverride::LoadsFail } else { ShareOverride::Loading }),
        )
    }
}

/// All functions with a plan at one gateway.
#[derive(Debug)]
pub struct Versions {
    gateway: String,
    life: u64,
    /// Number of gateways that judge by their own counts, including this one.
    gateways: u32,
    rollouts: BTreeMap<String, Rollout>,
    /// Functions by the routed names of their versions.
    routed: BTreeMap<String, BTreeSet<String>>,
}

impl Versions {
    /// Without any plan. `life` is unique to this process incarnation.
    pub fn new(gateway: &str, life: u64, gateways: u32) -> Self {
        Self { gateway: gateway.into(), life, gateways, rollouts: BTreeMap::new(), routed: BTreeMap::new() }
    }

    /// Whether no function has a plan, so that calls need no further lookup.
    pub fn is_empty(&self) -> bool {
        self.rollouts.is_empty()
    }

    /// Compares an incoming record with the one in force. The caller writes a [`RecordOrder::Newer`] record to
    /// disk before it passes it to [`Versions::act`].
    pub fn weigh(&self, record: &Record) -> RecordOrder {
        let faults = record.faults();
        if !faults.is_empty() {
            return RecordOrder::Wrong(faults.join("; "));
        }
        match self.rollouts.get(&record.plan.function) {
            None if self.rollouts.len() >= MAX_FUNCTIONS => {
                RecordOrder::Wrong(format!("{MAX_FUNCTIONS} functions have plans already"))
            }
            None => RecordOrder::Newer,
            Some(rollout) => match record.precedence().cmp(&rollout.record.precedence()) {
                std::cmp::Ordering::Greater => RecordOrder::Newer,
                std::cmp::Ordering::Equal => RecordOrder::Same,
                std::cmp::Ordering::Less => RecordOrder::Older,
            },
        }
    }

    /// Puts a record into force that was written to disk. Has no effect if the record is not newer.
    pub fn act(&mut self, now: Micros, record: Record) {
        self.restore(now, now, record, None);
    }

    /// Puts a record into force that was read from disk, with the time when its conductor was last heard of
    /// and the reason if this gateway had found the new version to be worse.
    pub fn restore(&mut self, now: Micros, heard: Micros, record: Record, braked: Option<String>) {
        if self.weigh(&record) != RecordOrder::Newer {
            return;
        }
        let function = record.plan.function.clone();
        let held = self.rollouts.remove(&function);
        let same_plan = held.filter(|held| held.record.plan.is_same_plan(&record.plan));
        for side in [Side::Old, Side::New] {
            self.routed.entry(record.plan.routed_name(side)).or_default().insert(function.clone());
        }
        let judge = || RegressionTest::new(&record.plan.guard, self.gateways);
        // If the clock was set back, the lease must not last longer for it.
        let heard = heard.min(now);
        let rollout = match same_plan {
            Some(same_plan) => {
                let previous_share = same_plan.share(now).0;
                // Counts and evidence stay valid through the steps of one plan.
                Rollout {
                    record,
                    applied_at: now,
                    conductor_heard: heard,
                    previous_share,
                    braked,
                    ..same_plan
                }
            }
            None => Rollout {
                judge: judge(),
                record,
                applied_at: now,
                conductor_heard: heard,
                previous_share: Share::NONE,
                braked,
                loaded: false,
                load_failed: false,
                judged_at: now,
                judged_answers: BTreeMap::new(),
                answers: BTreeMap::new(),
                ran: BTreeMap::new(),
                wrong: 0,
                compared: [0; 2],
                judged_compared: [0; 2],
            },
        };
        self.rollouts.insert(function, rollout);
    }

    /// Renews the lease of the record with this mark; returns whether that record is in force.
    pub fn renew(&mut self, now: Micros, function: &str, mark: Precedence) -> bool {
        let rollout = self.rollouts.get_mut(function).filter(|rollout| rollout.record.precedence() == mark);
        rollout.map(|rollout| rollout.conductor_heard = now).is_some()
    }

    /// The record of a function, when its conductor was last heard of, and why this gateway stopped the new
    /// version.
    pub fn heard(&self, function: &str) -> Option<(&Record, Micros, Option<&str>)> {
        self.rollouts
            .get(function)
            .map(|rollout| (&rollout.record, rollout.conductor_heard, rollout.braked.as_deref()))
    }

    /// Assigns a version to an arriving call. `None`: the function has no versions.
    pub fn choose(&self, now: Micros, function: &str, callers: &CallerIdentity) -> Option<VersionChoice> {
        let rollout = self.rollouts.get(function)?;
        let (plan, share) = (&rollout.record.plan, rollout.share(now).0);
        let gets_new = match plan.stick.key(callers) {
            Some(key) => share.includes(point(plan.salt, key)),
            None => share == Share::ALL,
        };
        let side = if gets_new { Side::New } else { Side::Old };
        Some(VersionChoice { routed: plan.routed_name(side), digest: plan.digest(side).into(), side })
    }

    /// Counts the final answer to a call with an assigned version; `erred`: an attempt of it ended in an
    /// error.
    pub fn count_answer(&mut self, function: &str, side: Side, class: &str, end: End, erred: bool) {
        let Some(rollout) = self.rollouts.get_mut(function) else { return };
        if !rollout.answers.contains_key(class) {
            rollout.answers.insert(class.into(), Default::default());
        }
        let Some(both) = rollout.answers.get_mut(class) else { return };
        let tally = &mut both[side as usize];
        tally.answered += 1;
        tally.errors += u64::from(end == End::NotServed);
        tally.late += u64::from(end == End::Late);
        tally.erred += u64::from(end == End::NotServed || erred);
        rollout.loaded |= end != End::NotServed && side == Side::New;
    }

    /// How answers of both versions are compared, with the plan that has the key for choosing the calls.
    pub fn comparison(&self, function: &str) -> Option<(&Plan, Compare)> {
        let plan = &self.rollouts.get(function)?.record.plan;
        plan.guard.compare.map(|compare| (plan, compare))
    }

    /// Counts a call that both versions answered.
    pub fn count_comparison(&mut self, function: &str, same: bool) {
        if let Some(rollout) = self.rollouts.get_mut(function) {
            rollout.compared[0] += 1;
            rollout.compared[1] += u64::from(!same);
        }
    }

    /// Counts an answer by what the worker reports to have run; `wrong`: it differs from what was requested.
    pub fn count_reported_version(&mut self, function: &str, routed: &str, digest: &str, wrong: bool) {
        let Some(rollout) = self.rollouts.get_mut(function) else { return };
        rollout.wrong += u64::from(wrong);
        let digests = rollout.ran.entry(routed.into()).or_default();
        if digests.len() < MAX_DIGESTS || digests.contains_key(digest) {
            *digests.entry(digest.into()).or_default() += 1;
        }
    }

    /// A prewarm order for a routed name was answered; `is_loaded`: an instance is loaded.
    pub fn load_ended(&mut self, routed: &str, is_loaded: bool) {
        for function in self.routed.get(routed).into_iter().flatten() {
            let Some(rollout) = self.rollouts.get_mut(function) else { continue };
            if rollout.record.plan.routed_name(Side::New) == routed {
                rollout.loaded |= is_loaded;
                rollout.load_failed = !is_loaded && !rollout.loaded;
            }
        }
    }

    /// Functions to keep loaded beyond the demand of their calls: the new version before its share grows, and
    /// the old one while a rollback is possible.
    pub fn prewarm_targets(&self, now: Micros) -> Vec<PrewarmTarget> {
        let mut expected = Vec::new();
        for rollout in self.rollouts.values() {
            let plan = &rollout.record.plan;
            let (old, new) = (plan.routed_name(Side::Old), plan.routed_name(Side::New));
            let recent = now < rollout.applied_at.saturating_add(plan.keep_old);
            let keep = |function: &String, like: &String| PrewarmTarget {
                function: function.clone(),
                like: like.clone(),
            };
            match rollout.record.stage {
                Stage::RolledBack => {}
                Stage::Promoted if recent => expected.push(keep(&old, &new)),
                Stage::Promoted => {}
                Stage::Step(_) => match rollout.share(now) {
                    (_, Some(ShareOverride::Lapsed | ShareOverride::Braked(_))) => {}
                    (Share::ALL, _) => expected.push(keep(&old, &new)),
                    _ => expected.push(keep(&new, &old)),
                },
            }
        }
        expected
    }

    /// Judges by this gateway's own counts if it is time to. A returned function gets the old version from
    /// now on; the caller writes that to disk.
    pub fn judge(&mut self, now: Micros) -> Vec<String> {
        let mut braked = Vec::new();
        for (function, rollout) in &mut self.rollouts {
            if rollout.record.has_ended()
                || rollout.braked.is_some()
                || now < rollout.judged_at + JUDGE_INTERVAL
            {
                continue;
            }
            rollout.judged_at = now;
            let settled = now >= rollout.applied_at.saturating_add(rollout.record.plan.guard.settle);
            for (class, [old, new]) in &rollout.answers {
                let [judged_old, judged_new] = rollout.judged_answers.get(class).copied().unwrap_or_default();
                if settled {
                    rollout.judge.add(class, &old.since(&judged_old), &new.since(&judged_new));
                }
            }
            rollout.judged_answers = rollout.answers.clone();
            let [pairs, differ] = rollout.compared;
            let [judged_pairs, judged_differ] =
                std::mem::replace(&mut rollout.judged_compared, rollout.compared);
            rollout.judge.compared(pairs - judged_pairs, differ - judged_differ);
            if let Some(worse) = rollout.judge.verdict() {
                rollout.braked = Some(worse.to_string());
                braked.push(function.clone());
            }
        }
        braked
    }

    /// The state of one function or of all.
    pub fn status(&self, now: Micros, function: Option<&str>) -> Vec<Status> {
        let wanted = |name: &&String| function.is_none_or(|function| function == *name);
        let rollouts = self.rollouts.iter().filter(|(name, _)| wanted(name)).map(|(_, rollout)| rollout);
        let status = |rollout: &Rollout| {
            let (share, hold) = rollout.share(now);
            Status {
                gateway: self.gateway.clone(),
                life: self.life,
                record: rollout.record.clone(),
                share,
                hold,
                unheard: now.saturating_sub(rollout.conductor_heard),
                answers: rollout.answers.clone(),
                ran: rollout.ran.clone(),
                wrong: rollout.wrong,
                compared: rollout.compared,
            }
        };
        rollouts.map(status).collect()
    }
}
