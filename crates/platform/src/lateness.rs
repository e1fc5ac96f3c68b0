//! How late the loop is, and the margin before a deadline that follows from it.
//!
//! A gateway has a part of a core, and others may use the same one: a wake-up comes late now and then, and a last
//! answer that is given on time by the module must still be with its client in time.

use cresswheel::Micros;

/// The worst of this span counts, and of the one before.
const SPAN: Micros = 5_000_000;
/// The margin never takes more than this from a request's time.
const MOST: Micros = 100_000;

/// The worst lateness of the last spans.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lateness {
    began: Micros,
    worst: Micros,
    before: Micros,
}

impl Lateness {
    /// Something that was due at `due` was seen to now.
    pub fn saw(&mut self, now: Micros, due: Micros) {
        if now.saturating_sub(self.began) >= SPAN {
            let stale = now.saturating_sub(self.began) >= 2 * SPAN;
            self.before = if stale { 0 } else { self.worst };
            (self.began, self.worst) = (now, 0);
        }
        self.worst = self.worst.max(now.saturating_sub(due));
    }

    /// The margin: twice the worst lateness, and what is wanted at the least.
    pub fn margin(&self, least: Micros) -> Micros {
        (least + 2 * self.worst.max(self.before)).min(MOST.max(least))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_margin_follows_the_worst_lateness_for_two_spans_and_has_a_bound() {
        let mut lateness = Lateness::default();
        assert_eq!(lateness.margin(10_000), 10_000);
        lateness.saw(SPAN, SPAN - 20_000);
        assert_eq!(lateness.margin(10_000), 50_000);
        lateness.saw(2 * SPAN, 2 * SPAN - 1_000);
        assert_eq!(lateness.margin(10_000), 50_000, "the span before still counts");
        lateness.saw(3 * SPAN, 3 * SPAN);
        assert_eq!(lateness.margin(10_000), 12_000);
        lateness.saw(9 * SPAN, 9 * SPAN);
        assert_eq!(lateness.margin(10_000), 10_000);
        lateness.saw(9 * SPAN, 8 * SPAN);
        assert_eq!(lateness.margin(10_000), MOST);
    }
}
