//! Comparison of the answers of two versions to the same call, which both of them run.

use serde::{Deserialize, Serialize};

use crate::evidence::mean;
use crate::{Share, point};

/// How answers are compared.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Compare {
    /// Share of the new version's safe calls that the old version runs as well.
    pub share: Share,
    /// Tolerated share of differing answers.
    pub differ: f64,
    /// Tolerated difference between numbers in the answers, relative to the greater one; 0: answers must be
    /// identical bytes.
    pub within: f64,
}

impl Compare {
    /// Whether both versions run the call with this id. The hash key is not the plan's, so that the compared
    /// calls are independent of the assignment of versions.
    pub fn takes(&self, salt: [u64; 2], call: &str) -> bool {
        self.share.includes(point([!salt[1], !salt[0]], call))
    }

    /// Whether two answers are equal within the tolerance.
    pub fn answers_match(&self, a: &[u8], b: &[u8]) -> bool {
        a == b || (self.within > 0.0 && equal_within(a, b, self.within))
    }
}

/// Parses the number at the start of a text; returns it and the rest.
fn parse_number(text: &[u8]) -> Option<(f64, &[u8])> {
    let sign = usize::from(matches!(text.first(), Some(b'-' | b'+')));
    let length =
        sign + text[sign..].iter().take_while(|byte| byte.is_ascii_digit() || **byte == b'.').count();
    let value = std::str::from_utf8(&text[..length]).ok()?.parse::<f64>().ok()?;
    Some((value, &text[length..]))
}

/// Whether the texts are equal except for numbers within the relative tolerance.
fn equal_within(mut a: &[u8], mut b: &[u8], within: f64) -> bool {
    while !a.is_empty() && !b.is_empty() {
        match (parse_number(a), parse_number(b)) {
            (Some((x, rest_a)), Some((y, rest_b))) => {
                if (x - y).abs() > within * x.abs().max(y.abs()) {
                    return false;
                }
                (a, b) = (rest_a, rest_b);
            }
            (None, None) if a[0] == b[0] => (a, b) = (&a[1..], &b[1..]),
            _ => return false,
        }
    }
    a.is_empty() && b.is_empty()
}

/// Alternatives that the test considers: multiples of the tolerated share of differing answers.
const MULTIPLES: [f64; 4] = [2.0, 5.0, 20.0, 100.0];
/// Highest share of an alternative: at 1, a single equal answer would refute it.
const MAX_SHARE: f64 = 0.95;

/// Evidence that more answers differ than tolerated: the mean of the likelihood ratios of several
/// alternatives. Its expectation is at most one while no more differ than tolerated.
#[derive(Clone, Copy, Debug)]
pub struct DifferenceTest {
    tolerated: f64,
    logs: [f64; MULTIPLES.len()],
}

impl DifferenceTest {
    /// No evidence yet, with this tolerated share of differing answers.
    pub fn new(tolerated: f64) -> Self {
        Self { tolerated, logs: [0.0; MULTIPLES.len()] }
    }

    /// Adds pairs of answers, of which `differ` differed.
    pub fn add(&mut self, pairs: u64, differ: u64) {
        let (differ, same) = (differ.min(pairs) as f64, pairs.saturating_sub(differ) as f64);
        for (log, times) in self.logs.iter_mut().zip(MULTIPLES) {
            let alternative = (self.tolerated * times).min(MAX_SHARE).max(self.tolerated);
            *log += differ * (alternative / self.tolerated).ln()
                + same * ((1.0 - alternative) / (1.0 - self.tolerated)).ln();
        }
    }

    /// The evidence so far; 1 at the start.
    pub fn evidence(&self) -> f64 {
        mean(&self.logs)
    }
}
