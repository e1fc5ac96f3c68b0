//! The operator's side of a shift: sums what the gateways report and says what is ordered next.

use std::collections::BTreeMap;

use crate::{Hold, Judge, Kind, Mark, Micros, Record, Share, Side, Stage, Status, Tally};

/// What is known of a gateway.
#[derive(Clone, Debug, Default)]
pub struct Heard {
    /// When it last answered.
    pub at: Option<Micros>,
    /// What it said then.
    pub status: Option<Status>,
    /// Why it did not answer since.
    pub error: Option<String>,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Send the record to these gateways, by position; those not named have it.
    Order(Vec<usize>),
    /// Tell these gateways that the record is still conducted.
    Renew(Vec<usize>),
}

/// Answers of one version and the other, by class.
type Answers = BTreeMap<String, [Tally; 2]>;

/// Conducts one plan over its gateways. Reports go in with [`Conductor::heard`]; [`Conductor::turn`] then looks at all
/// of them together.
#[derive(Debug)]
pub struct Conductor {
    record: Record,
    began: Micros,
    gateways: Vec<Heard>,
    judge: Judge,
    /// By gateway and its life, what was counted at the last turn.
    counted: BTreeMap<(usize, u64), Answers>,
    /// Since when all gateways that were to be had are at the record, and answers since, of old and new.
    settled: Option<Micros>,
    answers: [u64; 2],
    /// All answers so far.
    sums: Answers,
    /// By gateway and its life, pairs of answers compared and those that differed, at the last turn.
    compared: BTreeMap<(usize, u64), [u64; 2]>,
    overruled: bool,
}

impl Conductor {
    /// Conducts this record over so many gateways.
    pub fn new(record: Record, gateways: usize, now: Micros) -> Self {
        Self {
            judge: Judge::new(&record.plan.guard, 1),
            began: now,
            record,
            gateways: vec![Heard::default(); gateways],
            counted: BTreeMap::new(),
            settled: None,
            answers: [0; 2],
            sums: BTreeMap::new(),
            compared: BTreeMap::new(),
            overruled: false,
        }
    }

    /// The record in force.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// What is known of each gateway.
    pub fn gateways(&self) -> &[Heard] {
        &self.gateways
    }

    /// All answers that were reported, by class and version.
    pub fn sums(&self) -> &BTreeMap<String, [Tally; 2]> {
        &self.sums
    }

    /// Somebody else ordered something that overrules what was conducted here.
    pub fn overruled(&self) -> bool {
        self.overruled
    }

    /// Orders the next thing, by whoever asks for it.
    pub fn order(&mut self, kind: Kind, id: u64, at: Micros, by: &str, why: &str) -> Result<(), String> {
        self.record = self.record.then(kind, id, at, by, why)?;
        (self.settled, self.answers) = (None, [0; 2]);
        Ok(())
    }

    /// A gateway answered, or could not be had.
    pub fn heard(&mut self, gateway: usize, now: Micros, said: Result<Option<Status>, String>) {
        let Some(heard) = self.gateways.get_mut(gateway) else { return };
        match said {
            Ok(status) => *heard = Heard { at: Some(now), status, error: None },
            Err(error) => heard.error = Some(error),
        }
    }

    fn has(&self, gateway: usize, mark: Mark) -> bool {
        let status = self.gateways[gateway].status.as_ref();
        status.is_some_and(|status| status.record.mark() == mark)
    }

    /// Whether a gateway can no longer hold anything but the old version, as far as its lease goes.
    fn lapsed(&self, gateway: usize, now: Micros) -> bool {
        let (lease, at) = (self.record.plan.lease, self.gateways[gateway].at);
        // One that was never had may have heard another conductor of this plan just before this one began.
        lease > 0 && now > at.unwrap_or(self.began).saturating_add(lease)
    }

    /// Looks at all reports since the last turn. `id` names an order that the guard gives.
    pub fn turn(&mut self, now: Micros, id: u64) -> Vec<Act> {
        self.adopt();
        self.count(now);
        if !self.record.is_over() {
            self.decide(now, id);
        }
        let mark = self.record.mark();
        let (have, lack): (Vec<usize>, Vec<usize>) =
            (0..self.gateways.len()).partition(|gateway| self.has(*gateway, mark));
        let mut acts = Vec::new();
        if !lack.is_empty() {
            acts.push(Act::Order(lack));
        }
        if !have.is_empty() && !self.record.is_over() {
            acts.push(Act::Renew(have));
        }
        acts
    }

    /// Takes over what somebody else ordered after us.
    fn adopt(&mut self) {
        let said = self.gateways.iter().filter_map(|heard| heard.status.as_ref());
        let newest = said.map(|status| &status.record).max_by_key(|record| record.mark());
        if let Some(newest) = newest.filter(|newest| newest.mark() > self.record.mark()) {
            self.record = newest.clone();
            self.overruled = true;
            (self.settled, self.answers) = (None, [0; 2]);
        }
    }

    fn count(&mut self, now: Micros) {
        let mut stretch = Answers::new();
        for (at, heard) in self.gateways.iter().enumerate() {
            // A gateway that still holds an earlier plan tells that one's answers.
            let Some(status) = &heard.status else { continue };
            if !status.record.plan.is_same(&self.record.plan) {
                continue;
            }
            let counted = self.counted.entry((at, status.life)).or_default();
            for (class, both) in &status.answers {
                let before = counted.get(class).copied().unwrap_or_default();
                let sum = stretch.entry(class.clone()).or_default();
                for side in 0..2 {
                    sum[side] = sum[side].plus(&both[side].since(&before[side]));
                }
            }
            *counted = status.answers.clone();
            let [pairs, differ] = status.compared;
            let before = self.compared.insert((at, status.life), status.compared).unwrap_or_default();
            self.judge.compared(pairs.saturating_sub(before[0]), differ.saturating_sub(before[1]));
        }
        let settled = self.settled.is_some_and(|at| now >= at.saturating_add(self.record.plan.guard.settle));
        for (class, [old, new]) in &stretch {
            if settled {
                self.judge.add(class, old, new);
            }
            if self.settled.is_some() && self.record.plan.guard.classes.contains(class) {
                let [of_old, of_new] = self.answers;
                self.answers = [of_old.saturating_add(old.answered), of_new.saturating_add(new.answered)];
            }
            let sum = self.sums.entry(class.clone()).or_default();
            *sum = [sum[0].plus(old), sum[1].plus(new)];
        }
    }

    fn worse(&self) -> Option<String> {
        self.judge.verdict().map(|worse| worse.to_string())
    }

    fn decide(&mut self, now: Micros, id: u64) {
        let braked = self.gateways.iter().find_map(|heard| match &heard.status.as_ref()?.hold {
            Some(Hold::Braked(why)) => Some(format!("{} braked: {why}", heard.status.as_ref()?.gateway)),
            _ => None,
        });
        if let Some(why) = self.worse().or(braked) {
            // A record that is not over can always be rolled back.
            _ = self.order(Kind::RollBack, id, now, "guard", &why);
            return;
        }
        let (mark, share) = (self.record.mark(), self.record.share());
        let in_force = |gateway: &usize| {
            let there = self.gateways[*gateway].status.as_ref().is_some_and(|status| status.share == share);
            (self.has(*gateway, mark) && there && self.gateways[*gateway].error.is_none())
                || self.lapsed(*gateway, now)
        };
        let all = (0..self.gateways.len()).all(|gateway| in_force(&gateway));
        let some = (0..self.gateways.len()).any(|gateway| self.has(gateway, mark));
        if !all || !some {
            self.settled = self.settled.filter(|_| some);
            return;
        }
        let since = *self.settled.get_or_insert(now);
        let Stage::Step(at) = self.record.stage else { return };
        let step = self.record.plan.steps[at];
        // A step that heard little of either version has compared nothing; at all calls there is no old one to hear.
        let least = self.record.plan.guard.least;
        let [old, new] = self.answers;
        let enough = new >= least && (old >= least || share == Share::ALL);
        if self.record.paused || !enough || now < since.saturating_add(step.hold) {
            return;
        }
        let last = at + 1 == self.record.plan.steps.len();
        self.judge.close();
        if let Some(why) = self.worse() {
            _ = self.order(Kind::RollBack, id, now, "guard", &why);
            return;
        }
        // The last step of a plan that ends below all calls is held: to promote is for a person to say.
        if !last || share == Share::ALL {
            let kind = if last { Kind::Promote } else { Kind::Widen };
            let routed = self.record.plan.routed(Side::New);
            let why = format!("{new} answers of {routed} and nothing against it");
            _ = self.order(kind, id, now, "plan", &why);
        }
    }
}
