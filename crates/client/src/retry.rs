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
        let s = Duration::from_secs;
        Policy { pause: s(1), longest_pause: s(30), total: s(60), jitter: 0.25 }
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
    pub fn new(policy: Policy, now: Duration) -> Budget {
        Budget { policy, began: now, tries: 0 }
    }

    /// After a try that failed: the pause before the next one, or `None` where
    /// that would begin too late. `luck` is from 0 to 1.
    pub fn next(&mut self, now: Duration, retry_after: Option<Duration>, luck: f64) -> Option<Duration> {
        self.tries += 1;
        let p = &self.policy;
        let pause = retry_after.unwrap_or_default().min(p.longest_pause).max(p.pause);
        let pause = pause.mul_f64(1.0 + p.jitter * luck.clamp(0.0, 1.0));
        (now + pause <= self.began + p.total).then_some(pause)
    }

    pub fn tries(&self) -> u32 {
        self.tries
    }

    pub fn began(&self) -> Duration {
        self.began
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A caller that comes back too early, or for ever, makes an overload last.
    #[test]
    fn pauses_keep_the_published_rules() {
        let s = Duration::from_secs_f64;
        let mut b = Budget::new(Policy::default(), s(10.0));
        assert_eq!(b.next(s(10.1), None, 0.0), Some(s(1.0)));
        assert_eq!(b.next(s(12.0), Some(s(0.0)), 0.0), Some(s(1.0)));
        assert_eq!(b.next(s(13.0), Some(s(7.0)), 0.0), Some(s(7.0)));
        assert_eq!(b.next(s(20.0), Some(s(900.0)), 0.0), Some(s(30.0)));
        assert_eq!(b.next(s(20.0), Some(s(8.0)), 1.0), Some(s(10.0)));
        assert_eq!(b.next(s(69.5), None, 0.0), None);
        assert_eq!(b.tries(), 6);
    }
}
