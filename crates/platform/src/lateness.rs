//! Event-loop lag, and the safety margin before deadlines that follows from it.
//!
//! A gateway may share its core: wake-ups come late now and then, and an answer that the decision module
//! gives right before the deadline must still reach its client in time.

use cresswheel::Micros;

/// The maximum over the current and the previous span of this length counts.
const SPAN: Micros = 5_000_000;
/// Upper limit of the margin, which shortens the time of each request.
const MAX_MARGIN: Micros = 100_000;

/// The maximum event-loop lag of the last two spans.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoopLag {
    span_start: Micros,
    current_max: Micros,
    previous_max: Micros,
}

impl LoopLag {
    /// Records that work due at `due` was started now.
    pub fn record(&mut self, now: Micros, due: Micros) {
        if now.saturating_sub(self.span_start) >= SPAN {
            let stale = now.saturating_sub(self.span_start) >= 2 * SPAN;
            self.previous_max = if stale { 0 } else { self.current_max };
            (self.span_start, self.current_max) = (now, 0);
        }
        self.current_max = self.current_max.max(now.saturating_sub(due));
    }

    /// The margin: `least` plus twice the maximum lag, within the limit.
    pub fn margin(&self, least: Micros) -> Micros {
        (least + 2 * self.current_max.max(self.previous_max)).min(MAX_MARGIN.max(least))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_margin_follows_the_maximum_lag_of_two_spans_and_is_bounded() {
        let mut loop_lag = LoopLag::default();
        assert_eq!(loop_lag.margin(10_000), 10_000);
        loop_lag.record(SPAN, SPAN - 20_000);
        assert_eq!(loop_lag.margin(10_000), 50_000);
        loop_lag.record(2 * SPAN, 2 * SPAN - 1_000);
        assert_eq!(loop_lag.margin(10_000), 50_000, "the span before still counts");
        loop_lag.record(3 * SPAN, 3 * SPAN);
        assert_eq!(loop_lag.margin(10_000), 12_000);
        loop_lag.record(9 * SPAN, 9 * SPAN);
        assert_eq!(loop_lag.margin(10_000), 10_000);
        loop_lag.record(9 * SPAN, 8 * SPAN);
        assert_eq!(loop_lag.margin(10_000), MAX_MARGIN);
    }
}
