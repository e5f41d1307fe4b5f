//! An accrual failure detector: estimates from the intervals between a sender's heartbeats so
//! far how unlikely it is that the next one is still to come. The estimate adapts to the
//! observed intervals, so that a sender is not suspected merely for being slow.

#![warn(missing_docs)]

use std::time::Duration;

/// Weight of the newest interval in the running mean and variance.
const SMOOTHING_FACTOR: f64 = 0.1;
/// Lower bound of the standard deviation, as a part of the mean: timers fire in steps, and a
/// sender under load is late by a good part of an interval.
const MIN_RELATIVE_DEVIATION: f64 = 0.25;

/// Upper bound of a recorded interval, in multiples of the mean.
const MAX_RELATIVE_INTERVAL: f64 = 4.0;
/// Lower bound of the mean interval, in seconds.
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
    /// A detector for a sender that is configured to send at the `expected` interval.
    pub fn new(expected: Duration) -> FailureDetector {
        let mean_s = expected.as_secs_f64().max(MIN_MEAN_S);
        FailureDetector { mean_s, variance_s2: (mean_s * MIN_RELATIVE_DEVIATION).powi(2), last: None }
    }

    /// Records a heartbeat that was received now.
    pub fn heartbeat(&mut self, now: Duration) {
        if let Some(last) = self.last.replace(now) {
            // One long silence must not raise the mean for the intervals after it.
            let limit_s = self.mean_s * MAX_RELATIVE_INTERVAL;
            let interval_s = now.saturating_sub(last).as_secs_f64().min(limit_s);
            let deviation = interval_s - self.mean_s;
            self.mean_s += SMOOTHING_FACTOR * deviation;
            self.variance_s2 += SMOOTHING_FACTOR * (deviation * deviation - self.variance_s2);
        }
    }

    /// The suspicion level (phi): the negative decimal logarithm of the probability that the
    /// next heartbeat of a live sender arrives later than now. Infinite before the first one.
    pub fn suspicion(&self, now: Duration) -> f64 {
        let Some(last) = self.last else { return f64::INFINITY };
        let deviation = self.variance_s2.sqrt().max(self.mean_s * MIN_RELATIVE_DEVIATION);
        let z = (now.saturating_sub(last).as_secs_f64() - self.mean_s) / deviation;
        // A logistic approximation of the tail of the normal distribution.
        let odds = (-z * (1.5976 + 0.070566 * z * z)).exp();
        let later_probability = if z > 0.0 { odds / (1.0 + odds) } else { 1.0 - 1.0 / (1.0 + odds) };
        if later_probability > 0.0 { -later_probability.log10() } else { f64::INFINITY }
    }
}

#[cfg(test)]
mod tests;
