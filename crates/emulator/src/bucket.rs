//! Token bucket that limits the request and write rates of the emulated services.

use std::time::Duration;

/// Token bucket: refills at a constant rate up to its capacity.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    /// Tokens added per second.
    rate: f64,
    capacity: f64,
    tokens: f64,
    updated_at: Duration,
}

impl TokenBucket {
    /// Creates a full bucket that refills with `rate` tokens per second and holds as many
    /// as it gains in `burst_s` seconds, but at least one.
    pub fn new(rate: f64, burst_s: f64) -> TokenBucket {
        let capacity = (rate * burst_s).max(1.0);
        TokenBucket { rate, capacity, tokens: capacity, updated_at: Duration::ZERO }
    }

    /// Removes `count` tokens and returns true, or returns false and removes none where
    /// the bucket holds fewer.
    pub fn try_take(&mut self, now: Duration, count: f64) -> bool {
        let elapsed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed_s * self.rate).min(self.capacity);
        self.updated_at = self.updated_at.max(now);
        let available = self.tokens >= count;
        if available {
            self.tokens -= count;
        }
        available
    }
}
