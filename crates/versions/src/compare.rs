//! Whether two versions answer alike: the same call run by both, their answers held against each other.

use serde::{Deserialize, Serialize};

use crate::evidence::mean;
use crate::{Share, point};

/// How answers are compared.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Compare {
    /// Part of the new version's safe calls that the old version runs as well.
    pub share: Share,
    /// The part of the answers that may differ.
    pub differ: f64,
    /// Numbers in the answers may differ by this part of the greater; 0: answers must be the same bytes.
    pub within: f64,
}

impl Compare {
    /// Whether the call of this name is run twice. Other callers than those whom the plan's own hash chooses first.
    pub fn takes(&self, salt: [u64; 2], call: &str) -> bool {
        self.share.takes(point([!salt[1], !salt[0]], call))
    }

    /// Whether two answers are alike.
    pub fn same(&self, a: &[u8], b: &[u8]) -> bool {
        a == b || (self.within > 0.0 && alike(a, b, self.within))
    }
}

/// The number that a text begins with, and what follows it.
fn number(text: &[u8]) -> Option<(f64, &[u8])> {
    let sign = usize::from(matches!(text.first(), Some(b'-' | b'+')));
    let length =
        sign + text[sign..].iter().take_while(|byte| byte.is_ascii_digit() || **byte == b'.').count();
    let value = std::str::from_utf8(&text[..length]).ok()?.parse::<f64>().ok()?;
    Some((value, &text[length..]))
}

/// The same but for numbers, which may differ by a part of the greater.
fn alike(mut a: &[u8], mut b: &[u8], within: f64) -> bool {
    while !a.is_empty() && !b.is_empty() {
        match (number(a), number(b)) {
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

/// Times as many answers as may differ: those that the test looks for.
const TIMES: [f64; 4] = [2.0, 5.0, 20.0, 100.0];
/// No alternative is a certainty: one equal answer would end it.
const MOST: f64 = 0.95;

/// The evidence that more answers differ than may: a likelihood ratio for each alternative, averaged. Its mean is one
/// at most while no more differ.
#[derive(Clone, Copy, Debug)]
pub struct Differing {
    borne: f64,
    logs: [f64; TIMES.len()],
}

impl Differing {
    /// No evidence; this part may differ.
    pub fn new(borne: f64) -> Self {
        Self { borne, logs: [0.0; TIMES.len()] }
    }

    /// Takes in so many pairs, and those among them that differed.
    pub fn add(&mut self, pairs: u64, differ: u64) {
        let (differ, same) = (differ.min(pairs) as f64, pairs.saturating_sub(differ) as f64);
        for (log, times) in self.logs.iter_mut().zip(TIMES) {
            let more = (self.borne * times).min(MOST).max(self.borne);
            *log += differ * (more / self.borne).ln() + same * ((1.0 - more) / (1.0 - self.borne)).ln();
        }
    }

    /// One at the start.
    pub fn evidence(&self) -> f64 {
        mean(&self.logs)
    }
}
