//! A rate limit as the emulated services keep it: bursts worth some seconds.

use std::time::Duration;

#[derive(Debug, Clone)]
pub struct Bucket {
    rate: f64,
    size: f64,
    level: f64,
    at: Duration,
}

impl Bucket {
    /// `rate` a second, with bursts worth `burst_s` seconds.
    pub fn new(rate: f64, burst_s: f64) -> Bucket {
        let size = (rate * burst_s).max(1.0);
        Bucket { rate, size, level: size, at: Duration::ZERO }
    }

    /// Takes `n` if there is that much.
    pub fn take(&mut self, now: Duration, n: f64) -> bool {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.level = (self.level + passed * self.rate).min(self.size);
        self.at = self.at.max(now);
        let has = self.level >= n;
        if has {
            self.level -= n;
        }
        has
    }
}
