//! An accrual failure detector: how unlikely it is, given the intervals between the
//! heartbeats of a sender so far, that the next one is still to come. The scale adapts to
//! the observed intervals, so that a slow sender is not suspected for being slow.

use std::time::Duration;

/// Weight of the newest interval in the running mean and variance.
const GAIN: f64 = 0.1;
/// The standard deviation is taken to be no less than this part of the mean: timers fire
/// in steps, and a sender under load is late by a good part of an interval.
const MIN_RELATIVE_DEVIATION: f64 = 0.25;

/// An interval counts as no more than this many times the mean.
const MAX_RELATIVE_INTERVAL: f64 = 4.0;
/// Shortest mean interval, in seconds.
const MIN_MEAN_S: f64 = 0.001;

/// Running mean and variance of the intervals between heartbeats of one sender.
#[derive(Debug, Clone)]
pub struct FailureDetector {
    mean_s: f64,
    variance_s2: f64,
    /// When the newest heartbeat was received.
    last: Option<Duration>,
}

impl FailureDetector {
    /// Starts with the interval at which the sender is configured to send.
    pub fn new(expected: Duration) -> FailureDetector {
        let mean_s = expected.as_secs_f64().max(MIN_MEAN_S);
        FailureDetector { mean_s, variance_s2: (mean_s * MIN_RELATIVE_DEVIATION).powi(2), last: None }
    }

    /// Records a heartbeat.
    pub fn heartbeat(&mut self, now: Duration) {
        if let Some(last) = self.last.replace(now) {
            // One long silence must not raise the mean for the intervals after it.
            let limit_s = self.mean_s * MAX_RELATIVE_INTERVAL;
            let interval_s = now.saturating_sub(last).as_secs_f64().min(limit_s);
            let deviation = interval_s - self.mean_s;
            self.mean_s += GAIN * deviation;
            self.variance_s2 += GAIN * (deviation * deviation - self.variance_s2);
        }
    }

    /// The suspicion level (phi): minus the decimal logarithm of the probability that a
    /// live sender's next heartbeat comes later than now. Infinite before the first one.
    pub fn suspicion(&self, now: Duration) -> f64 {
        let Some(last) = self.last else { return f64::INFINITY };
        let deviation = self.variance_s2.sqrt().max(self.mean_s * MIN_RELATIVE_DEVIATION);
        let y = (now.saturating_sub(last).as_secs_f64() - self.mean_s) / deviation;
        // The logistic approximation of the normal distribution's tail.
        let e = (-y * (1.5976 + 0.070566 * y * y)).exp();
        let later = if y > 0.0 { e / (1.0 + e) } else { 1.0 - 1.0 / (1.0 + e) };
        if later > 0.0 { -later.log10() } else { f64::INFINITY }
    }
}

#[cfg(test)]
mod tests;
