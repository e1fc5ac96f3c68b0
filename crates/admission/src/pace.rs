//! A rate limit with a burst.

use cresswheel_protocol::Micros;

/// A token bucket. The level is kept in millionths of a token, so that rounding loses no time.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens_per_s: u64,
    burst: u64,
    /// In millionths of a token.
    level: u64,
    updated_at: Micros,
}

/// One token, in the unit of `level`.
const TOKEN: u64 = 1_000_000;

impl TokenBucket {
    /// A full bucket. A rate of 0 gives no tokens after the burst.
    pub fn new(now: Micros, tokens_per_s: u64, burst: u64) -> Self {
        Self { tokens_per_s, burst, level: burst.saturating_mul(TOKEN), updated_at: now }
    }

    /// An empty bucket: the first token is due after `1 / tokens_per_s` seconds.
    pub fn empty(now: Micros, tokens_per_s: u64, burst: u64) -> Self {
        Self { level: 0, ..Self::new(now, tokens_per_s, burst) }
    }

    /// Changes rate and burst; tokens in the bucket stay, up to the new burst.
    pub fn set_rate(&mut self, now: Micros, tokens_per_s: u64, burst: u64) {
        self.refill(now);
        (self.tokens_per_s, self.burst) = (tokens_per_s, burst);
        self.level = self.level.min(burst.saturating_mul(TOKEN));
    }

    fn refill(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        let added = elapsed.saturating_mul(self.tokens_per_s);
        self.level = self.level.saturating_add(added).min(self.burst.saturating_mul(TOKEN));
    }

    /// Takes a token, if there is one.
    pub fn try_take(&mut self, now: Micros) -> bool {
        self.refill(now);
        let available = self.level >= TOKEN;
        self.level -= if available { TOKEN } else { 0 };
        available
    }

    /// Whether the bucket is full.
    pub fn is_full(&mut self, now: Micros) -> bool {
        self.refill(now);
        self.level >= self.burst.saturating_mul(TOKEN)
    }

    /// When the bucket will be full; `None`: never.
    pub fn full_at(&self, now: Micros) -> Option<Micros> {
        self.reaches_level_at(now, self.burst.saturating_mul(TOKEN))
    }

    /// When a token will be available; `None`: never.
    pub fn next_token_at(&self, now: Micros) -> Option<Micros> {
        self.reaches_level_at(now, TOKEN)
    }

    fn reaches_level_at(&self, now: Micros, level: u64) -> Option<Micros> {
        let mut refilled = self.clone();
        refilled.refill(now);
        match level.saturating_sub(refilled.level) {
            0 => Some(now),
            _ if self.tokens_per_s == 0 => None,
            missing => Some(now.saturating_add(missing.div_ceil(self.tokens_per_s))),
        }
    }
}
