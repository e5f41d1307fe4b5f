//! When a failed call is made again, and for how long. The one place that
//! decides retries; pure, the time comes in.

use std::time::Duration;

/// The rules for retries; the defaults are the published ones: after one
/// second or what the service asked for if that is longer, for a minute in all.
#[derive(Debug, Clone)]
pub struct Policy {
    /// Shortest pause before another try.
    pub pause: Duration,
    /// Longest pause that the service may ask for.
    pub longest_pause: Duration,
    /// Time for all tries, from the first; no try begins after it.
    pub total: Duration,
    /// A pause is lengthened by up to this share of itself, so that callers
    /// refused together do not come back together.
    pub jitter: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            pause: Duration::from_secs(1),
            longest_pause: Duration::from_secs(30),
            total: Duration::from_secs(60),
            jitter: 0.25,
        }
    }
}

/// What is left of one call's retries.
#[derive(Debug)]
pub struct Budget {
    policy: Policy,
    began: Duration,
    tries: u32,
}

impl Budget {
    /// A full budget for a call that begins at `now`.
    pub fn new(policy: Policy, now: Duration) -> Budget {
        Budget { policy, began: now, tries: 0 }
    }

    /// After a try that failed: the pause before the next one, or `None` where
    /// that would begin too late. `luck` is a random number from 0 to 1.
    pub fn next(&mut self, now: Duration, retry_after: Option<Duration>, luck: f64) -> Option<Duration> {
        self.tries += 1;
        let policy = &self.policy;
        let pause = retry_after.unwrap_or_default().min(policy.longest_pause).max(policy.pause);
        let pause = pause.mul_f64(1.0 + policy.jitter * luck.clamp(0.0, 1.0));
        let deadline = self.began + policy.total;
        (now + pause <= deadline).then_some(pause)
    }

    /// Number of tries that failed so far.
    pub fn tries(&self) -> u32 {
        self.tries
    }

    /// When the call began.
    pub fn began(&self) -> Duration {
        self.began
    }
}

#[cfg(test)]
mod tests;
