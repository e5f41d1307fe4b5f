//! How many cores stayed free of late.

use crate::effects::Instant;
use std::collections::VecDeque;
use std::time::Duration;

/// Free cores of the fleet at each look, for the least that stayed free over a while.
#[derive(Debug, Default)]
pub(super) struct FreeCoresHistory {
    samples: VecDeque<(Instant, f64)>,
}

impl FreeCoresHistory {
    /// So many cores are free now.
    pub(super) fn record(&mut self, now: Instant, cores: f64) {
        self.samples.push_back((now, cores));
    }

    /// Drops what is older than `window`.
    pub(super) fn drop_older_than(&mut self, now: Instant, window: Duration) {
        while self.samples.front().is_some_and(|(at, _)| now.saturating_sub(*at) > window) {
            self.samples.pop_front();
        }
    }

    /// The least that was free over the whole of `window`; nothing before there are samples
    /// of all of it but `tolerance`.
    pub(super) fn least_over(&self, now: Instant, window: Duration, tolerance: Duration) -> f64 {
        let covered = self.samples.front().is_some_and(|(at, _)| now.saturating_sub(*at) + tolerance > window);
        if !covered {
            return 0.0;
        }
        let recent = self.samples.iter().rev().take_while(|(at, _)| now.saturating_sub(*at) <= window);
        recent.map(|(_, cores)| *cores).fold(f64::INFINITY, f64::min)
    }

    /// These free cores leave the fleet: they do not count as having been there.
    pub(super) fn remove_cores(&mut self, cores: f64) {
        for (_, free) in &mut self.samples {
            *free -= cores;
        }
    }
}

#[cfg(test)]
mod tests;
