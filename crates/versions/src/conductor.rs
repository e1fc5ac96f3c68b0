//! The operator's side of a rollout: sums up the reports of the gateways and decides the next order.

use std::collections::BTreeMap;

use crate::{
    Micros, OrderKind, Precedence, Record, RegressionTest, Share, ShareOverride, Side, Stage, Status, Tally,
};

/// Last report of a gateway.
#[derive(Clone, Debug, Default)]
pub struct GatewayReport {
    /// When the gateway last answered.
    pub at: Option<Micros>,
    /// Its last answer.
    pub status: Option<Status>,
    /// Error of the last request, if it failed.
    pub error: Option<String>,
}

/// A request to send.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the record to the gateways with these indexes, which don't have it yet.
    Order(Vec<usize>),
    /// Renew the lease of the record at the gateways with these indexes.
    Renew(Vec<usize>),
}

/// Answers of the old and the new version, by class.
type Answers = BTreeMap<String, [Tally; 2]>;

/// Conducts one plan at all its gateways. [`RolloutController::record_report`] takes their reports; [`RolloutController::evaluate`] then
/// evaluates all of them together.
#[derive(Debug)]
pub struct RolloutController {
    record: Record,
    started_at: Micros,
    gateways: Vec<GatewayReport>,
    judge: RegressionTest,
    /// Counts at the last turn, by gateway and process incarnation.
    counted: BTreeMap<(usize, u64), Answers>,
    /// Since when all reachable gateways apply the record, and the answers of the old and new version since
    /// then.
    applied_since: Option<Micros>,
    step_answers: [u64; 2],
    /// All answers so far.
    totals: Answers,
    /// Compared pairs of answers and differing ones at the last turn, by gateway and process incarnation.
    compared: BTreeMap<(usize, u64), [u64; 2]>,
    overruled: bool,
}

impl RolloutController {
    /// Conducts this record at this many gateways.
    pub fn new(record: Record, gateways: usize, now: Micros) -> Self {
        Self {
            judge: RegressionTest::new(&record.plan.guard, 1),
            started_at: now,
            record,
            gateways: vec![GatewayReport::default(); gateways],
            counted: BTreeMap::new(),
            applied_since: None,
            step_answers: [0; 2],
            totals: BTreeMap::new(),
            compared: BTreeMap::new(),
            overruled: false,
        }
    }

    /// The record in force.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// The last report of each gateway.
    pub fn gateways(&self) -> &[GatewayReport] {
        &self.gateways
    }

    /// All reported answers, by class and version.
    pub fn sums(&self) -> &BTreeMap<String, [Tally; 2]> {
        &self.totals
    }

    /// Whether an order by somebody else has overruled this conductor's.
    pub fn overruled(&self) -> bool {
        self.overruled
    }

    /// Gives the next order, on behalf of `by`.
    pub fn order(&mut self, kind: OrderKind, id: u64, at: Micros, by: &str, why: &str) -> Result<(), String> {
        self.record = self.record.next(kind, id, at, by, why)?;
        (self.applied_since, self.step_answers) = (None, [0; 2]);
        Ok(())
    }

    /// Takes a gateway's answer, or the error of a request to it.
    pub fn record_report(&mut self, gateway: usize, now: Micros, result: Result<Option<Status>, String>) {
        let Some(report) = self.gateways.get_mut(gateway) else { return };
        match result {
            Ok(status) => *report = GatewayReport { at: Some(now), status, error: None },
            Err(error) => report.error = Some(error),
        }
    }

    fn has_record(&self, gateway: usize, mark: Precedence) -> bool {
        let status = self.gateways[gateway].status.as_ref();
        status.is_some_and(|status| status.record.precedence() == mark)
    }

    /// Whether the gateway's lease has certainly expired, so that it gives all calls to the old version.
    fn lease_expired(&self, gateway: usize, now: Micros) -> bool {
        let (lease, at) = (self.record.plan.lease, self.gateways[gateway].at);
        // A gateway that never answered may have heard another conductor of this plan just before this one
        // started, so its lease counts from the start.
        lease > 0 && now > at.unwrap_or(self.started_at).saturating_add(lease)
    }

    /// Evaluates all reports since the last turn; `id` is the id of the order that this may give.
    pub fn evaluate(&mut self, now: Micros, id: u64) -> Vec<Action> {
        self.adopt_newer();
        self.count(now);
        if !self.record.has_ended() {
            self.decide(now, id);
        }
        let mark = self.record.precedence();
        let (present, missing): (Vec<usize>, Vec<usize>) =
            (0..self.gateways.len()).partition(|gateway| self.has_record(*gateway, mark));
        let mut acts = Vec::new();
        if !missing.is_empty() {
            acts.push(Action::Order(missing));
        }
        if !present.is_empty() && !self.record.has_ended() {
            acts.push(Action::Renew(present));
        }
        acts
    }

    /// Adopts an order of somebody else that takes precedence.
    fn adopt_newer(&mut self) {
        let statuses = self.gateways.iter().filter_map(|report| report.status.as_ref());
        let newest = statuses.map(|status| &status.record).max_by_key(|record| record.precedence());
        if let Some(newest) = newest.filter(|newest| newest.precedence() > self.record.precedence()) {
            self.record = newest.clone();
            self.overruled = true;
            (self.applied_since, self.step_answers) = (None, [0; 2]);
        }
    }

    fn count(&mut self, now: Micros) {
        let mut added = Answers::new();
        for (at, report) in self.gateways.iter().enumerate() {
            // The counts of a gateway that still has an earlier plan belong to that plan.
            let Some(status) = &report.status else { continue };
            if !status.record.plan.is_same_plan(&self.record.plan) {
                continue;
            }
            let counted = self.counted.entry((at, status.life)).or_default();
            for (class, both) in &status.answers {
                let before = counted.get(class).copied().unwrap_or_default();
                let sum = added.entry(class.clone()).or_default();
                for side in 0..2 {
                    sum[side] = sum[side].plus(&both[side].since(&before[side]));
                }
            }
            *counted = status.answers.clone();
            let [pairs, differ] = status.compared;
            let before = self.compared.insert((at, status.life), status.compared).unwrap_or_default();
            self.judge.compared(pairs.saturating_sub(before[0]), differ.saturating_sub(before[1]));
        }
        let settled =
            self.applied_since.is_some_and(|at| now >= at.saturating_add(self.record.plan.guard.settle));
        for (class, [old, new]) in &added {
            if settled {
                self.judge.add(class, old, new);
            }
            if self.applied_since.is_some() && self.record.plan.guard.classes.contains(class) {
                let [old_answers, new_answers] = self.step_answers;
                self.step_answers =
                    [old_answers.saturating_add(old.answered), new_answers.saturating_add(new.answered)];
            }
            let sum = self.totals.entry(class.clone()).or_default();
            *sum = [sum[0].plus(old), sum[1].plus(new)];
        }
    }

    fn regression(&self) -> Option<String> {
        self.judge.verdict().map(|worse| worse.to_string())
    }

    fn decide(&mut self, now: Micros, id: u64) {
        let braked = self.gateways.iter().find_map(|report| match &report.status.as_ref()?.hold {
            Some(ShareOverride::Braked(why)) => {
                Some(format!("{} braked: {why}", report.status.as_ref()?.gateway))
            }
            _ => None,
        });
        if let Some(why) = self.regression().or(braked) {
            // This can't fail: a plan that has not ended can always be rolled back.
            _ = self.order(OrderKind::RollBack, id, now, "guard", &why);
            return;
        }
        let (mark, share) = (self.record.precedence(), self.record.share());
        let in_force = |gateway: &usize| {
            let share_applied =
                self.gateways[*gateway].status.as_ref().is_some_and(|status| status.share == share);
            (self.has_record(*gateway, mark) && share_applied && self.gateways[*gateway].error.is_none())
                || self.lease_expired(*gateway, now)
        };
        let all = (0..self.gateways.len()).all(|gateway| in_force(&gateway));
        let some = (0..self.gateways.len()).any(|gateway| self.has_record(gateway, mark));
        if !all || !some {
            self.applied_since = self.applied_since.filter(|_| some);
            return;
        }
        let since = *self.applied_since.get_or_insert(now);
        let Stage::Step(at) = self.record.stage else { return };
        let step = self.record.plan.steps[at];
        // A step needs enough answers of both versions to compare; at a share of 100% the old one has none.
        let least = self.record.plan.guard.least;
        let [old, new] = self.step_answers;
        let enough = new >= least && (old >= least || share == Share::ALL);
        if self.record.paused || !enough || now < since.saturating_add(step.hold) {
            return;
        }
        let last = at + 1 == self.record.plan.steps.len();
        self.judge.close();
        if let Some(why) = self.regression() {
            _ = self.order(OrderKind::RollBack, id, now, "guard", &why);
            return;
        }
        // A last step below 100% stays in force until a person promotes the new version.
        if !last || share == Share::ALL {
            let kind = if last { OrderKind::Promote } else { OrderKind::Widen };
            let routed = self.record.plan.routed_name(Side::New);
            let why = format!("{new} answers of {routed} and nothing against it");
            _ = self.order(kind, id, now, "plan", &why);
        }
    }
}
