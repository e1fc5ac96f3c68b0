//! What one gateway knows of versions, and does about them.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    Callers, Compare, End, Judge, Mark, Micros, Plan, Record, Share, Side, Stage, Status, Tally, point,
};

/// Most functions that have a plan.
const MOST_FUNCTIONS: usize = 10_000;
/// Most different digests of a version that are told apart.
const MOST_DIGESTS: usize = 16;
/// How often own figures are judged.
pub const LOOK_EVERY: Micros = 1_000_000;

/// What a call is given when it arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chosen {
    /// The name under which it is routed.
    pub routed: String,
    /// What the worker must say that it ran; empty: not checked.
    pub digest: String,
    /// Which of the plan's versions.
    pub side: Side,
}

/// Why a gateway does not do as its record says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Hold {
    /// The new version is being loaded; the share is what it was before.
    Loading,
    /// All loads of the new version failed; the share is what it was before.
    LoadsFail,
    /// Nothing was heard for longer than the lease; the old version takes all calls.
    Lapsed,
    /// Own figures speak against the new version, in words; the old one takes all calls.
    Braked(String),
}

/// What a record is against the one that is held.
#[derive(Clone, Debug, PartialEq)]
pub enum Weight {
    /// To be written, and then acted on.
    Newer,
    /// Held already.
    Same,
    /// Overruled by what is held.
    Older,
    /// Not to be taken at all.
    Wrong(String),
}

/// A function that is to be kept loaded, though few or none call it now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expected {
    /// The function, as routed.
    pub function: String,
    /// Its twin, whose calls it would get.
    pub like: String,
}

/// One function.
#[derive(Debug)]
struct Rollout {
    record: Record,
    /// Since when the record is acted on.
    since: Micros,
    /// When the conductor was last heard.
    heard: Micros,
    /// The share in force when the record came.
    before: Share,
    braked: Option<String>,
    /// The new version was seen standing; a load of it failed.
    stood: bool,
    failed: bool,
    judge: Judge,
    judged: Micros,
    seen: BTreeMap<String, [Tally; 2]>,
    answers: BTreeMap<String, [Tally; 2]>,
    ran: BTreeMap<String, BTreeMap<String, u64>>,
    wrong: u64,
    compared: [u64; 2],
    compared_seen: [u64; 2],
}

impl Rollout {
    fn share(&self, now: Micros) -> (Share, Option<Hold>) {
        let goal = self.record.share();
        if self.record.is_over() {
            return (goal, None);
        }
        if let Some(why) = &self.braked {
            return (Share::NONE, Some(Hold::Braked(why.clone())));
        }
        let lease = self.record.plan.lease;
        if lease > 0 && now > self.heard.saturating_add(lease) {
            return (Share::NONE, Some(Hold::Lapsed));
        }
        let waited = now >= self.since.saturating_add(self.record.plan.preload);
        if goal <= self.before || self.stood || (waited && !self.failed) {
            return (goal, None);
        }
        (self.before, Some(if self.failed { Hold::LoadsFail } else { Hold::Loading }))
    }
}

/// All functions with a plan, at one gateway.
#[derive(Debug)]
pub struct Versions {
    gateway: String,
    life: u64,
    /// Gateways that judge by their own figures, this one included.
    gateways: u32,
    rollouts: BTreeMap<String, Rollout>,
    /// From a routed name to its function.
    routed: BTreeMap<String, BTreeSet<String>>,
}

impl Versions {
    /// Nothing is known. `life` tells this start from all others.
    pub fn new(gateway: &str, life: u64, gateways: u32) -> Self {
        Self { gateway: gateway.into(), life, gateways, rollouts: BTreeMap::new(), routed: BTreeMap::new() }
    }

    /// Whether no function has a plan: then nothing else need be asked.
    pub fn is_empty(&self) -> bool {
        self.rollouts.is_empty()
    }

    /// What a record that came is against what is held. One that is [`Weight::Newer`] is to be written before
    /// [`Versions::act`] gets it.
    pub fn weigh(&self, record: &Record) -> Weight {
        let faults = record.faults();
        if !faults.is_empty() {
            return Weight::Wrong(faults.join("; "));
        }
        match self.rollouts.get(&record.plan.function) {
            None if self.rollouts.len() >= MOST_FUNCTIONS => {
                Weight::Wrong(format!("{MOST_FUNCTIONS} functions have plans already"))
            }
            None => Weight::Newer,
            Some(rollout) => match record.mark().cmp(&rollout.record.mark()) {
                std::cmp::Ordering::Greater => Weight::Newer,
                std::cmp::Ordering::Equal => Weight::Same,
                std::cmp::Ordering::Less => Weight::Older,
            },
        }
    }

    /// Acts on a record that was written. One that is not newer changes nothing.
    pub fn act(&mut self, now: Micros, record: Record) {
        self.restore(now, now, record, None);
    }

    /// Acts on a record that was read back: when its conductor was last heard, and whether this gateway had braked.
    pub fn restore(&mut self, now: Micros, heard: Micros, record: Record, braked: Option<String>) {
        if self.weigh(&record) != Weight::Newer {
            return;
        }
        let function = record.plan.function.clone();
        let held = self.rollouts.remove(&function);
        let twin = held.filter(|held| held.record.plan.is_same(&record.plan));
        for side in [Side::Old, Side::New] {
            self.routed.entry(record.plan.routed(side)).or_default().insert(function.clone());
        }
        let judge = || Judge::new(&record.plan.guard, self.gateways);
        // A clock that was set back is no reason to hold on for longer.
        let heard = heard.min(now);
        let rollout = match twin {
            Some(twin) => {
                let before = twin.share(now).0;
                // What was learned of the versions stays true over the steps of one plan.
                Rollout { record, since: now, heard, before, braked, ..twin }
            }
            None => Rollout {
                judge: judge(),
                record,
                since: now,
                heard,
                before: Share::NONE,
                braked,
                stood: false,
                failed: false,
                judged: now,
                seen: BTreeMap::new(),
                answers: BTreeMap::new(),
                ran: BTreeMap::new(),
                wrong: 0,
                compared: [0; 2],
                compared_seen: [0; 2],
            },
        };
        self.rollouts.insert(function, rollout);
    }

    /// The conductor of this very record was heard; true if that is the one held.
    pub fn renew(&mut self, now: Micros, function: &str, mark: Mark) -> bool {
        let rollout = self.rollouts.get_mut(function).filter(|rollout| rollout.record.mark() == mark);
        rollout.map(|rollout| rollout.heard = now).is_some()
    }

    /// When the conductor of a function was last heard.
    pub fn heard(&self, function: &str) -> Option<(&Record, Micros, Option<&str>)> {
        self.rollouts.get(function).map(|rollout| (&rollout.record, rollout.heard, rollout.braked.as_deref()))
    }

    /// The one version that a call gets, as it arrives. `None`: the function has no versions.
    pub fn choose(&self, now: Micros, function: &str, callers: &Callers) -> Option<Chosen> {
        let rollout = self.rollouts.get(function)?;
        let (plan, share) = (&rollout.record.plan, rollout.share(now).0);
        let takes = match plan.stick.key(callers) {
            Some(key) => share.takes(point(plan.salt, key)),
            None => share == Share::ALL,
        };
        let side = if takes { Side::New } else { Side::Old };
        Some(Chosen { routed: plan.routed(side), digest: plan.digest(side).into(), side })
    }

    /// A call that was given a version has its final answer; `erred`: one of its attempts ended in an error.
    pub fn answered(&mut self, function: &str, side: Side, class: &str, end: End, erred: bool) {
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
        rollout.stood |= end != End::NotServed && side == Side::New;
    }

    /// How answers of a function's versions are compared, and where the choice of calls comes from.
    pub fn compare(&self, function: &str) -> Option<(&Plan, Compare)> {
        let plan = &self.rollouts.get(function)?.record.plan;
        plan.guard.compare.map(|compare| (plan, compare))
    }

    /// Both versions answered the same call.
    pub fn compared(&mut self, function: &str, same: bool) {
        if let Some(rollout) = self.rollouts.get_mut(function) {
            rollout.compared[0] += 1;
            rollout.compared[1] += u64::from(!same);
        }
    }

    /// A worker's word for what it ran, and whether that was what it was asked for.
    pub fn ran(&mut self, function: &str, routed: &str, digest: &str, wrong: bool) {
        let Some(rollout) = self.rollouts.get_mut(function) else { return };
        rollout.wrong += u64::from(wrong);
        let digests = rollout.ran.entry(routed.into()).or_default();
        if digests.len() < MOST_DIGESTS || digests.contains_key(digest) {
            *digests.entry(digest.into()).or_default() += 1;
        }
    }

    /// A load order for a function, as routed, was answered.
    pub fn loaded(&mut self, routed: &str, stands: bool) {
        for function in self.routed.get(routed).into_iter().flatten() {
            let Some(rollout) = self.rollouts.get_mut(function) else { continue };
            if rollout.record.plan.routed(Side::New) == routed {
                rollout.stood |= stands;
                rollout.failed = !stands && !rollout.stood;
            }
        }
    }

    /// Functions that are to be kept loaded beyond what their calls ask for: the new version before its share rises,
    /// the old one while a rollback may need it.
    pub fn expected(&self, now: Micros) -> Vec<Expected> {
        let mut expected = Vec::new();
        for rollout in self.rollouts.values() {
            let plan = &rollout.record.plan;
            let (old, new) = (plan.routed(Side::Old), plan.routed(Side::New));
            let young = now < rollout.since.saturating_add(plan.keep_old);
            let is = |function: &String, like: &String| Expected {
                function: function.clone(),
                like: like.clone(),
            };
            match rollout.record.stage {
                Stage::RolledBack => {}
                Stage::Promoted if young => expected.push(is(&old, &new)),
                Stage::Promoted => {}
                Stage::Step(_) => match rollout.share(now) {
                    (_, Some(Hold::Lapsed | Hold::Braked(_))) => {}
                    (Share::ALL, _) => expected.push(is(&old, &new)),
                    _ => expected.push(is(&new, &old)),
                },
            }
        }
        expected
    }

    /// Judges by own figures, if it is time to. A function that is told braked at once; the caller writes that down.
    pub fn look(&mut self, now: Micros) -> Vec<String> {
        let mut braked = Vec::new();
        for (function, rollout) in &mut self.rollouts {
            if rollout.record.is_over() || rollout.braked.is_some() || now < rollout.judged + LOOK_EVERY {
                continue;
            }
            rollout.judged = now;
            let settled = now >= rollout.since.saturating_add(rollout.record.plan.guard.settle);
            for (class, [old, new]) in &rollout.answers {
                let [seen_old, seen_new] = rollout.seen.get(class).copied().unwrap_or_default();
                if settled {
                    rollout.judge.add(class, &old.since(&seen_old), &new.since(&seen_new));
                }
            }
            rollout.seen = rollout.answers.clone();
            let [pairs, differ] = rollout.compared;
            let [pairs_seen, differ_seen] = std::mem::replace(&mut rollout.compared_seen, rollout.compared);
            rollout.judge.compared(pairs - pairs_seen, differ - differ_seen);
            if let Some(worse) = rollout.judge.verdict() {
                rollout.braked = Some(worse.to_string());
                braked.push(function.clone());
            }
        }
        braked
    }

    /// What holds for one function, or for all.
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
                unheard: now.saturating_sub(rollout.heard),
                answers: rollout.answers.clone(),
                ran: rollout.ran.clone(),
                wrong: rollout.wrong,
                compared: rollout.compared,
            }
        };
        rollouts.map(status).collect()
    }
}
