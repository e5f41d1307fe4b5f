//! A token bucket that paces the reads of one kind from the state service.
//!
//! On average, one read per interval is allowed. After a pause, several reads may be sent at
//! once, up to the burst. The implementation is the generic cell rate algorithm (virtual
//! scheduling): its only state is the time at which the next read would be due at an even pace.

#![warn(missing_docs)]

use crate::effects::Instant;
use crate::protocol::time::scale_duration;
use std::time::Duration;

/// Paces the reads of one kind.
///
/// Invariant: within any time span `t`, at most `burst + t / interval` reads are sent.
#[derive(Debug)]
pub struct TokenBucket {
    interval: Duration,
    /// How much earlier than at an even pace a read may be sent at most.
    tolerance: Duration,
    /// When the next read is due at an even pace.
    next_due: Instant,
}

impl TokenBucket {
    /// A bucket that allows a full burst at first. `interval` is the average time between two
    /// reads; `burst` is the number of reads that may be sent at once after a pause, and counts
    /// as at least one.
    pub fn new(interval: Duration, burst: f64) -> TokenBucket {
        let tolerance = scale_duration(interval, (burst - 1.0).max(0.0));
        TokenBucket { interval, tolerance, next_due: Duration::ZERO }
    }

    /// Whether a read may be sent now.
    pub fn allows(&self, now: Instant) -> bool {
        now + self.tolerance >= self.next_due
    }

    /// Counts a read that is sent now.
    pub fn consume(&mut self, now: Instant) {
        self.next_due = self.next_due.max(now) + self.interval;
    }
}

#[cfg(test)]
mod tests;
