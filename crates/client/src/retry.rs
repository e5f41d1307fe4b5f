//! Decides when a failed call is attempted again, and until when. All retries of the client
//! follow this module. The code is deterministic; the time and a random number are
//! arguments.

#![warn(missing_docs)]

use finchquay_protocol::time::scale_duration;
use std::time::Duration;

/// The retry policy. The defaults are the published rules: the next attempt follows after
/// one second, or after the time that the service asked for if that is longer, and all
/// attempts start within one minute.
#[derive(Debug, Clone)]
pub struct Policy {
    /// Minimum pause before the next attempt.
    pub min_pause: Duration,
    /// Maximum pause that the service can ask for; a longer one is shortened to this.
    pub max_retry_after: Duration,
    /// Time from the start of the call after which no attempt starts.
    pub time_limit: Duration,
    /// Maximum random extension of a pause, as a fraction of the pause. It spreads the
    /// retries of clients that were refused at the same time.
    pub jitter: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            min_pause: Duration::from_secs(1),
            max_retry_after: Duration::from_secs(30),
            time_limit: Duration::from_secs(60),
            jitter: 0.25,
        }
    }
}

/// The remaining retries of one call.
#[derive(Debug)]
pub struct Budget {
    policy: Policy,
    started_at: Duration,
    failed_attempts: u32,
}

impl Budget {
    /// Creates the budget of a call that starts at `now`.
    pub fn new(policy: Policy, now: Duration) -> Budget {
        Budget { policy, started_at: now, failed_attempts: 0 }
    }

    /// Counts a failed attempt and returns the pause before the next one, or `None` if that
    /// would start after the time limit. `retry_after` is the pause that the service asked
    /// for, and `random` is a random number from 0 to 1 for the jitter.
    pub fn next_pause(&mut self, now: Duration, retry_after: Option<Duration>, random: f64) -> Option<Duration> {
        self.failed_attempts += 1;
        let policy = &self.policy;
        let pause = retry_after.unwrap_or_default().min(policy.max_retry_after).max(policy.min_pause);
        let pause = scale_duration(pause, 1.0 + policy.jitter * random.clamp(0.0, 1.0));
        let deadline = self.started_at + policy.time_limit;
        (now + pause <= deadline).then_some(pause)
    }

    /// Number of attempts that have failed.
    pub fn failed_attempts(&self) -> u32 {
        self.failed_attempts
    }

    /// When the call started.
    pub fn started_at(&self) -> Duration {
        self.started_at
    }
}

#[cfg(test)]
mod tests;
