//! Event-loop lag, and the safety margin before deadlines that follows from it.
//!
//! A gateway may share its core: wake-ups come late now and then, and an answer that the decision module
//! gives right before the deadline must still reach its client in time.

use cresswheel::Micros;

/// The maximum over the current and the previous span of this length counts.
const SPAN: Micros = 5_000_000;
/// Upper limit of the margin, which shortens the time of each request.
const MOST: Micros = 100_000;

/// The maximum event-loop lag of the last two spans.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lateness {
    began: Micros,
    worst: Micros,
    before: Micros,
}

impl Lateness {
    /// Records that work due at `due` was started now.
    pub fn saw(&mut self, now: Micros, due: Micros) {
        if now.saturating_sub(self.began) >= SPAN {
            let stale = now.saturating_sub(self.began) >= 2 * SPAN;
            self.before = if stale { 0 } else { self.worst };
            (self.began, self.worst) = (now, 0);
        }
        self.worst = self.worst.max(now.saturating_sub(due));
    }

    /// The margin: `least` plus twice the maximum lag, within the limit.
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
