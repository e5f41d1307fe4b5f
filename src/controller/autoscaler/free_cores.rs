//! A history of the fleet's free cores over a sliding time window.

#![warn(missing_docs)]

use crate::effects::Instant;
use std::collections::VecDeque;
use std::time::Duration;

/// The free cores of the fleet at each check, which tell how many stayed free over a while.
#[derive(Debug, Default)]
pub(super) struct FreeCoresHistory {
    /// Time and number of free cores of each sample, the oldest first.
    samples: VecDeque<(Instant, f64)>,
}

impl FreeCoresHistory {
    /// Records the number of cores that are free now.
    pub(super) fn record(&mut self, now: Instant, cores: f64) {
        self.samples.push_back((now, cores));
    }

    /// Drops the samples that are older than `window`.
    pub(super) fn drop_older_than(&mut self, now: Instant, window: Duration) {
        while self.samples.front().is_some_and(|(at, _)| now.saturating_sub(*at) > window) {
            self.samples.pop_front();
        }
    }

    /// The smallest number of free cores in `window`. It is zero until the samples cover
    /// the whole window, except for a part shorter than `tolerance` at its start.
    pub(super) fn least_over(&self, now: Instant, window: Duration, tolerance: Duration) -> f64 {
        let covered = self.samples.front().is_some_and(|(at, _)| now.saturating_sub(*at) + tolerance > window);
        if !covered {
            return 0.0;
        }
        let recent = self.samples.iter().rev().take_while(|(at, _)| now.saturating_sub(*at) <= window);
        recent.map(|(_, cores)| *cores).fold(f64::INFINITY, f64::min)
    }

    /// Subtracts free cores that leave the fleet from all samples, as if they had never
    /// been there.
    pub(super) fn remove_cores(&mut self, cores: f64) {
        for (_, free) in &mut self.samples {
            *free -= cores;
        }
    }
}

#[cfg(test)]
mod tests;
