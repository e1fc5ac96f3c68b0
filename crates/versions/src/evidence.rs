//! Whether the new version is worse, judged while answers come.
//!
//! Within a stretch of time, take the calls of one class that ended, by version and by whether they ended badly.
//! If both versions are equally good, the bad ones are spread over the versions by chance alone: given how many there
//! were, the number that fell to the new version is hypergeometric, whatever the share, the load or the rate of bad
//! answers was. So each stretch gives a factor with mean one, the likelihood of what was seen if the new version's
//! odds were greater against the likelihood if they were the greatest that is borne, and the product over stretches is
//! a martingale at best. By Ville's inequality it passes 1/a at any time with a chance of at most a: one may look
//! after every answer, and stop whenever one likes.
//!
//! Several greater odds are weighed alike, and all classes and kinds of badness are weighed alike, which keeps the
//! mean at one.

use std::collections::BTreeMap;

use crate::{Differing, Guard, Tally};

/// How many times greater than borne the odds of a bad answer may be: those that the test looks for.
pub const ALTERNATIVES: [f64; 5] = [1.5, 3.0, 10.0, 100.0, 1000.0];

/// Most bad answers of one stretch that are weighed one by one; those beyond are left out, on both sides alike.
const MOST_BAD: u64 = 100_000;

/// The evidence that one version's odds of a bad answer are greater than another's.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// Odds ratio that is borne.
    borne: f64,
    /// Logarithm of the product of factors, by alternative.
    logs: [f64; ALTERNATIVES.len()],
}

/// Answers and the bad ones among them.
type Counts = (u64, u64);

/// Logarithm of the sum over all splits of `bad` of their weights under these odds, up to what all odds share.
fn log_sum(new: u64, old: u64, bad: u64, odds: f64) -> f64 {
    let (least, most) = (bad.saturating_sub(old), bad.min(new));
    let (mut log, mut highest) = (least as f64 * odds.ln(), f64::NEG_INFINITY);
    let mut logs = Vec::with_capacity((most - least + 1) as usize);
    for at in least..=most {
        logs.push(log);
        highest = highest.max(log);
        let up = (new - at) as f64 * (bad - at) as f64;
        let down = (at + 1) as f64 * (old.saturating_add(at + 1).saturating_sub(bad)) as f64;
        log += (up / down * odds).ln();
    }
    highest + logs.iter().map(|log| (log - highest).exp()).sum::<f64>().ln()
}

impl Comparison {
    /// No evidence. Odds up to `borne` times the old version's are no harm.
    pub fn new(borne: f64) -> Self {
        Self { borne, logs: [0.0; ALTERNATIVES.len()] }
    }

    /// Takes a stretch in: for each version its answers, and the bad ones among them.
    pub fn add(&mut self, (new, new_bad): Counts, (old, old_bad): Counts) {
        let (new_bad, old_bad) = (new_bad.min(new), old_bad.min(old));
        let bad = new_bad.saturating_add(old_bad);
        if bad == 0 || new == 0 || old == 0 || bad > MOST_BAD {
            return;
        }
        let null = log_sum(new, old, bad, self.borne);
        for (log, times) in self.logs.iter_mut().zip(ALTERNATIVES) {
            *log += new_bad as f64 * times.ln() + null - log_sum(new, old, bad, self.borne * times);
        }
    }

    /// One at the start; its mean stays at most one while the new version is no worse than borne.
    pub fn evidence(&self) -> f64 {
        mean(&self.logs)
    }
}

/// The mean of evidence that is kept in logarithms: alternatives are weighed alike.
pub fn mean(logs: &[f64]) -> f64 {
    logs.iter().map(|log| log.exp()).sum::<f64>() / logs.len() as f64
}

/// Why a version was held to be worse.
#[derive(Clone, Debug, PartialEq)]
pub struct Worse {
    /// The class with the most evidence.
    pub class: String,
    /// `errors`, `late` or `differing answers`.
    pub what: &'static str,
    /// By how much chance would have to be stretched: 1000 is one in a thousand.
    pub evidence: f64,
}

impl std::fmt::Display for Worse {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { class, what, evidence } = self;
        write!(f, "{class}: more {what} than the old version's, evidence {evidence:.0} to 1")
    }
}

/// All comparisons that a guard asks for.
#[derive(Clone, Debug)]
pub struct Judge {
    threshold: f64,
    /// By class: errors, late answers.
    comparisons: BTreeMap<String, [Comparison; 2]>,
    /// By class, the stretch that is not over: of the old version, of the new.
    open: BTreeMap<String, [Tally; 2]>,
    differing: Option<Differing>,
}

/// A stretch ends once one version has so many answers and the other has one: where both have a few, one by one,
/// there is nothing to compare within it. When it ends says nothing of how its answers ended.
const STRETCH: u64 = 20;

const WHAT: [&str; 2] = ["errors", "late"];

impl Judge {
    /// A judge who wrongly speaks against a version with a chance of at most the guard's, over `judges`.
    pub fn new(guard: &Guard, judges: u32) -> Self {
        let comparison = || Comparison::new(guard.worse.max(1.0));
        let both = |class: &String| (class.clone(), [comparison(), comparison()]);
        Self {
            threshold: f64::from(judges.max(1)) / guard.false_alarm,
            comparisons: guard.classes.iter().map(both).collect(),
            open: BTreeMap::new(),
            differing: guard.compare.map(|compare| Differing::new(compare.differ)),
        }
    }

    /// Takes in answers to calls of a class.
    pub fn add(&mut self, class: &str, old: &Tally, new: &Tally) {
        if !self.comparisons.contains_key(class) {
            return;
        }
        let [so_far_old, so_far_new] = self.open.get(class).copied().unwrap_or_default();
        let stretch = [so_far_old.plus(old), so_far_new.plus(new)];
        let counts = stretch.map(|tally| tally.answered);
        self.open.insert(class.into(), stretch);
        if counts[0].min(counts[1]) > 0 && counts[0].max(counts[1]) >= STRETCH {
            self.compare(class);
        }
    }

    /// Takes in pairs of answers to the same calls, and those among them that differed.
    pub fn compared(&mut self, pairs: u64, differ: u64) {
        self.differing.iter_mut().for_each(|differing| differing.add(pairs, differ));
    }

    /// Ends all stretches: what is to be decided now must not miss what came last.
    pub fn close(&mut self) {
        for class in self.open.keys().cloned().collect::<Vec<_>>() {
            self.compare(&class);
        }
    }

    fn compare(&mut self, class: &str) {
        let Some([old, new]) = self.open.remove(class) else { return };
        let Some([errors, late]) = self.comparisons.get_mut(class) else { return };
        // A further attempt hides an error from the client, not from the judge.
        errors.add((new.answered, new.erred), (old.answered, old.erred));
        // What was not served was no late answer, nor an early one.
        let served = |tally: Tally| (tally.answered.saturating_sub(tally.errors), tally.late);
        late.add(served(new), served(old));
    }

    /// Why the new version is held to be worse, if it is.
    pub fn verdict(&self) -> Option<Worse> {
        let all = self.comparisons.iter().flat_map(|(class, both)| {
            both.iter().zip(WHAT).map(move |(one, what)| (class.as_str(), what, one.evidence()))
        });
        let differing = self.differing.map(|differing| ("all", "differing answers", differing.evidence()));
        let (mut sum, mut count) = (0.0, 0.0);
        let mut most = None::<(&str, &'static str, f64)>;
        for (class, what, evidence) in all.chain(differing) {
            sum += evidence;
            count += 1.0;
            if most.is_none_or(|(.., highest)| evidence > highest) {
                most = Some((class, what, evidence));
            }
        }
        let (class, what, _) = most.filter(|_| sum / count >= self.threshold)?;
        Some(Worse { class: class.into(), what, evidence: sum / count })
    }
}

/// How many calls of a class the new version answers, on average, until a judge speaks: by Wald's argument, what
/// evidence is needed over what each call gives. `bad` is the chance of a bad answer of the old and of the new version.
/// It reckons with many calls in each stretch; the last stretch comes on top.
pub fn promised_calls(guard: &Guard, judges: u32, share: f64, bad: (f64, f64)) -> f64 {
    let (old, new) = bad;
    let streams = 2 * guard.classes.len() + usize::from(guard.compare.is_some());
    let comparisons = (streams * ALTERNATIVES.len()) as f64;
    let needed = (f64::from(judges.max(1)) * comparisons / guard.false_alarm).ln();
    // A bad answer falls to the new version with this chance; under an odds ratio r it would be with `under(r)`.
    let rate = share * new + (1.0 - share) * old;
    let falls = share * new / rate;
    let under = |odds: f64| share * odds / (share * odds + 1.0 - share);
    let gain = |times: f64| {
        let (greater, borne) = (under(guard.worse * times), under(guard.worse));
        rate * (falls * (greater / borne).ln() + (1.0 - falls) * ((1.0 - greater) / (1.0 - borne)).ln())
    };
    let best = ALTERNATIVES.into_iter().map(gain).fold(0.0, f64::max);
    share * needed / best
}
