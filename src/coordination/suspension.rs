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
//! tick. A process with too little processor time falls behind at every tick. If each of its gaps
//! were a suspension, no answer would ever prove anything, and users would get none. So gaps like
//! those at the last two ticks are the pace of the process.
//!
//! Four things remain, which no check of this process can exclude:
//! - a suspension shorter than two tick intervals;
//! - the third and later ones of suspensions that follow each other tick by tick, up to twice the
//!   shorter one of the two before them;
//! - a suspension between the check and the sending of what was decided;
//! - a suspension in which the clock stands still as well.

#![warn(missing_docs)]

use crate::effects::Instant;
use crate::protocol::time::scale_duration;
use std::time::Duration;

/// A process that handled no event for more than this many tick intervals was suspended, unless
/// its last two ticks were that late too.
const MAX_GAP_TICKS: f64 = 2.0;

/// Detects suspensions of this process.
#[derive(Debug)]
pub struct SuspensionDetector {
    /// The time between two ticks of a process that is not behind.
    tick_interval: Duration,
    /// The times from each of the last two ticks to the one before it.
    tick_gaps: [Duration; 2],
    /// When the last tick was handled.
    last_tick_at: Instant,
    /// When the last event was handled.
    last_event_at: Instant,
    /// When the process resumed after its last suspension; the start of the process if there was none.
    resumed_at: Instant,
}

impl SuspensionDetector {
    /// The detector of a process that has just started, and handles ticks at this interval.
    pub fn new(tick_interval: Duration) -> SuspensionDetector {
        SuspensionDetector {
            tick_interval,
            tick_gaps: [tick_interval; 2],
            last_tick_at: Duration::ZERO,
            last_event_at: Duration::ZERO,
            resumed_at: Duration::ZERO,
        }
    }

    /// Records that an event is handled now. If the process was suspended since the last event,
    /// returns for how long at most.
    pub fn observe_event(&mut self, now: Instant) -> Option<Duration> {
        let gap = now.saturating_sub(self.last_event_at);
        self.last_event_at = now;
        if gap <= self.max_gap() {
            return None;
        }
        self.resumed_at = now;
        Some(gap)
    }

    /// Records that the event that is handled now is a tick.
    pub fn observe_tick(&mut self, now: Instant) {
        let [_, previous_gap] = self.tick_gaps;
        self.tick_gaps = [previous_gap, now.saturating_sub(self.last_tick_at)];
        self.last_tick_at = now;
    }

    /// The longest time between two events of a running process.
    fn max_gap(&self) -> Duration {
        let [first, second] = self.tick_gaps;
        scale_duration(first.min(second).max(self.tick_interval), MAX_GAP_TICKS)
    }

    /// Whether the answer to a request that was sent at this time proves the present.
    pub fn proves_present(&self, sent_at: Instant) -> bool {
        sent_at >= self.resumed_at
    }
}

#[cfg(test)]
mod tests;
