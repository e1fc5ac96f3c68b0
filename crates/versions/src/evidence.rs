//! Sequential test of whether the new version is worse, evaluated as answers arrive.
//!
//! Take the calls of one class that ended within a window of time, by version and by good or bad outcome. If
//! both versions are equally good, chance alone distributes the bad outcomes over the versions: given their
//! total, the number that falls to the new version is hypergeometric, whatever the share, the load or the
//! rate of bad outcomes. Each window therefore yields a factor with mean one: the likelihood of the
//! observation under greater odds of the new version, divided by the likelihood under the greatest tolerated
//! odds. The product over the windows is a supermartingale. By Ville's inequality it ever exceeds 1/a with a
//! probability of at most a, so that the test may be evaluated after every answer and stopped at any time.
//!
//! Several alternatives of greater odds are averaged with equal weights, and so are all classes and kinds of
//! bad outcomes, which keeps the mean at one.

use std::collections::BTreeMap;

use crate::{DifferenceTest, Guard, Tally};

/// Alternatives that the test considers: multiples of the greatest tolerated odds ratio of a bad answer.
pub const ALTERNATIVE_ODDS: [f64; 5] = [1.5, 3.0, 10.0, 100.0, 1000.0];

/// Windows with more bad answers than this are ignored, for both versions: each bad answer costs time.
const MAX_BAD: u64 = 100_000;

/// Evidence that the new version's odds of a bad answer exceed the tolerated multiple of the old version's.
#[derive(Clone, Debug)]
pub struct OddsTest {
    /// Greatest tolerated odds ratio.
    tolerated: f64,
    /// Logarithms of the products of factors, one per alternative.
    logs: [f64; ALTERNATIVE_ODDS.len()],
}

/// Number of answers, and of bad ones among them.
type Counts = (u64, u64);

/// Logarithm of the normalization of the noncentral hypergeometric distribution with these odds, up to a term
/// that does not depend on the odds.
fn log_normalization(new: u64, old: u64, bad: u64, odds: f64) -> f64 {
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

impl OddsTest {
    /// No evidence yet. Odds up to `tolerated` times the old version's are accepted.
    pub fn new(tolerated: f64) -> Self {
        Self { tolerated, logs: [0.0; ALTERNATIVE_ODDS.len()] }
    }

    /// Adds a window: each version's answers, and the bad ones among them.
    pub fn add(&mut self, (new, new_bad): Counts, (old, old_bad): Counts) {
        let (new_bad, old_bad) = (new_bad.min(new), old_bad.min(old));
        let bad = new_bad.saturating_add(old_bad);
        if bad == 0 || new == 0 || old == 0 || bad > MAX_BAD {
            return;
        }
        let null = log_normalization(new, old, bad, self.tolerated);
        for (log, times) in self.logs.iter_mut().zip(ALTERNATIVE_ODDS) {
            *log +=
                new_bad as f64 * times.ln() + null - log_normalization(new, old, bad, self.tolerated * times);
        }
    }

    /// The evidence so far; 1 at the start. Its expectation is at most one while the odds ratio is tolerated.
    pub fn evidence(&self) -> f64 {
        mean(&self.logs)
    }
}

/// Mean of evidence from its logarithms, with equal weights for the alternatives.
pub fn mean(logs: &[f64]) -> f64 {
    logs.iter().map(|log| log.exp()).sum::<f64>() / logs.len() as f64
}

/// Why a version is considered worse.
#[derive(Clone, Debug, PartialEq)]
pub struct Regression {
    /// The class with the strongest evidence.
    pub class: String,
    /// `errors`, `late` or `differing answers`.
    pub metric: &'static str,
    /// Strength of the evidence: 1000 is reached by chance in at most one of a thousand cases.
    pub evidence: f64,
}

impl std::fmt::Display for Regression {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { class, metric, evidence } = self;
        write!(f, "{class}: more {metric} than the old version's, evidence {evidence:.0} to 1")
    }
}

/// All comparisons of a guard.
#[derive(Clone, Debug)]
pub struct RegressionTest {
    threshold: f64,
    /// By class: the tests of errors and of late answers.
    odds_tests: BTreeMap<String, [OddsTest; 2]>,
    /// By class, counts of the current window, of the old and the new version.
    windows: BTreeMap<String, [Tally; 2]>,
    differing: Option<DifferenceTest>,
}

/// A window ends once one version has this many answers and the other at least one: with only a few answers
/// of both versions there would be nothing to compare within it. The end of a window does not depend on the
/// outcomes of its answers.
const WINDOW_ANSWERS: u64 = 20;

const OUTCOMES: [&str; 2] = ["errors", "late"];

impl RegressionTest {
    /// Judges a version; the probability of a false alarm is at most the guard's over `judges` judges.
    pub fn new(guard: &Guard, judges: u32) -> Self {
        let odds_test = || OddsTest::new(guard.worse.max(1.0));
        let both = |class: &String| (class.clone(), [odds_test(), odds_test()]);
        Self {
            threshold: f64::from(judges.max(1)) / guard.false_alarm,
            odds_tests: guard.classes.iter().map(both).collect(),
            windows: BTreeMap::new(),
            differing: guard.compare.map(|compare| DifferenceTest::new(compare.differ)),
        }
    }

    /// Adds answers to calls of a class.
    pub fn add(&mut self, class: &str, old: &Tally, new: &Tally) {
        if !self.odds_tests.contains_key(class) {
            return;
        }
        let [window_old, window_new] = self.windows.get(class).copied().unwrap_or_default();
        let window = [window_old.plus(old), window_new.plus(new)];
        let counts = window.map(|tally| tally.answered);
        self.windows.insert(class.into(), window);
        if counts[0].min(counts[1]) > 0 && counts[0].max(counts[1]) >= WINDOW_ANSWERS {
            self.compare(class);
        }
    }

    /// Adds pairs of answers to the same calls, of which `differ` differed.
    pub fn compared(&mut self, pairs: u64, differ: u64) {
        self.differing.iter_mut().for_each(|differing| differing.add(pairs, differ));
    }

    /// Ends all windows, so that a decision includes the latest answers.
    pub fn close(&mut self) {
        for class in self.windows.keys().cloned().collect::<Vec<_>>() {
            self.compare(&class);
        }
    }

    fn compare(&mut self, class: &str) {
        let Some([old, new]) = self.windows.remove(class) else { return };
        let Some([errors, late]) = self.odds_tests.get_mut(class) else { return };
        // A further attempt hides an error from the client, but it still counts as an error of the version.
        errors.add((new.answered, new.erred), (old.answered, old.erred));
        // Calls that were not served count as errors, and neither as late nor as in time.
        let served = |tally: Tally| (tally.answered.saturating_sub(tally.errors), tally.late);
        late.add(served(new), served(old));
    }

    /// Why the new version is considered worse, or `None` if it is not.
    pub fn verdict(&self) -> Option<Regression> {
        let all = self.odds_tests.iter().flat_map(|(class, both)| {
            both.iter().zip(OUTCOMES).map(move |(one, metric)| (class.as_str(), metric, one.evidence()))
        });
        let differing = self.differing.map(|differing| ("all", "differing answers", differing.evidence()));
        let (mut sum, mut count) = (0.0, 0.0);
        let mut most = None::<(&str, &'static str, f64)>;
        for (class, metric, evidence) in all.chain(differing) {
            sum += evidence;
            count += 1.0;
            if most.is_none_or(|(.., highest)| evidence > highest) {
                most = Some((class, metric, evidence));
            }
        }
        let (class, metric, _) = most.filter(|_| sum / count >= self.threshold)?;
        Some(Regression { class: class.into(), metric, evidence: sum / count })
    }
}

/// Expected number of calls of a class that the new version answers until a judge finds it worse. By Wald's
/// argument this is the required evidence divided by the evidence per call. `bad` has the probabilities of a
/// bad answer of the old and the new version. The estimate assumes many calls per window; the last window
/// adds to it.
pub fn expected_calls_to_detection(guard: &Guard, judges: u32, share: f64, bad: (f64, f64)) -> f64 {
    let (old, new) = bad;
    let streams = 2 * guard.classes.len() + usize::from(guard.compare.is_some());
    let comparisons = (streams * ALTERNATIVE_ODDS.len()) as f64;
    let needed = (f64::from(judges.max(1)) * comparisons / guard.false_alarm).ln();
    // Probability that a bad answer falls to the new version; `under(r)` is the same under an odds ratio of
    // r.
    let rate = share * new + (1.0 - share) * old;
    let bad_on_new = share * new / rate;
    let under = |odds: f64| share * odds / (share * odds + 1.0 - share);
    let gain = |times: f64| {
        let (greater, tolerated) = (under(guard.worse * times), under(guard.worse));
        rate * (bad_on_new * (greater / tolerated).ln()
            + (1.0 - bad_on_new) * ((1.0 - greater) / (1.0 - tolerated)).ln())
    };
    let best = ALTERNATIVE_ODDS.into_iter().map(gain).fold(0.0, f64::max);
    share * needed / best
}
