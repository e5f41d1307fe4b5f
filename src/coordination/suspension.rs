//! Detects suspensions of this process, and tells which answers prove the present.
//!
//! The answer to a request proves what was true at some time after the request was sent. While
//! the process runs, it handles an answer as soon as it arrives. A process that is suspended, for
//! example stopped or starved of processor time, finds the answers in its sockets when it resumes,
//! and its clock may be far beyond the time of which they tell: meanwhile other controllers have
//! answered users and acted. So an answer proves the present only if the process was not suspended
//! since it sent the request.
//!
//! Suspensions are detected by the clock: a running process handles an event at least at every
//! tick. Three things remain, which no check of this process can exclude:
//! - a suspension shorter than [`MAX_GAP_TICKS`] tick intervals;
//! - a suspension between the check and the sending of what was decided;
//! - a suspension in which the clock stands still as well.

#![warn(missing_docs)]

use crate::effects::Instant;
use crate::protocol::time::scale_duration;
use std::time::Duration;

/// A process that handled no event for more than this many tick intervals was suspended.
const MAX_GAP_TICKS: f64 = 2.0;

/// Detects suspensions of this process.
#[derive(Debug)]
pub struct SuspensionDetector {
    /// The longest time between two events of a running process.
    max_gap: Duration,
    /// When the last event was handled.
    last_event_at: Instant,
    /// When the process resumed after its last suspension; the start of the process if there was none.
    resumed_at: Instant,
}

impl SuspensionDetector {
    /// The detector of a process that has just started, and handles ticks at this interval.
    pub fn new(tick_interval: Duration) -> SuspensionDetector {
        let max_gap = scale_duration(tick_interval, MAX_GAP_TICKS);
        SuspensionDetector { max_gap, last_event_at: Duration::ZERO, resumed_at: Duration::ZERO }
    }

    /// Records that an event is handled now. If the process was suspended since the last event,
    /// returns for how long at most.
    pub fn observe_event(&mut self, now: Instant) -> Option<Duration> {
        let gap = now.saturating_sub(self.last_event_at);
        self.last_event_at = now;
        if gap <= self.max_gap {
            return None;
        }
        self.resumed_at = now;
        Some(gap)
    }

    /// Whether the answer to a request that was sent at this time proves the present.
    pub fn proves_present(&self, sent_at: Instant) -> bool {
        sent_at >= self.resumed_at
    }
}

#[cfg(test)]
mod tests;
