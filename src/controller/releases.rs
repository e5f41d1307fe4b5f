//! Machines that are returned to the cloud, and how many silent ones may be at a time.

use crate::effects::Instant;
use std::collections::BTreeSet;
use std::time::Duration;

/// Releases under way and done, and a token bucket for those of silent machines.
#[derive(Debug)]
pub(super) struct Releases {
    /// Releases without an answer.
    in_flight: BTreeSet<String>,
    /// Machines whose release was confirmed: nothing is left there.
    released: BTreeSet<String>,
    /// Releases of silent machines that may go now.
    tokens: f64,
    refilled_at: Instant,
}

impl Releases {
    /// Nothing was released yet, and one silent machine may be.
    pub(super) fn new() -> Releases {
        Releases { in_flight: BTreeSet::new(), released: BTreeSet::new(), tokens: 1.0, refilled_at: Duration::ZERO }
    }

    /// Refills the bucket: `capacity` tokens in `period_s`, and no more than that at once.
    pub(super) fn refill(&mut self, now: Instant, capacity: f64, period_s: f64) {
        let elapsed_s = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed_s * capacity / period_s).min(capacity);
        self.refilled_at = now;
    }

    /// Uses a token for the release of a silent machine; false where there is none.
    pub(super) fn try_acquire(&mut self) -> bool {
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }

    /// The release of these machines was requested.
    pub(super) fn begin(&mut self, machines: &[String]) {
        self.in_flight.extend(machines.iter().cloned());
    }

    /// The request for this machine's release was answered, or was given up.
    pub(super) fn finish(&mut self, machine: &str, confirmed: bool) {
        self.in_flight.remove(machine);
        if confirmed {
            self.released.insert(machine.to_string());
        }
    }

    /// Whether the machine's release was confirmed.
    pub(super) fn is_released(&self, machine: &str) -> bool {
        self.released.contains(machine)
    }

    /// Whether the machine's release was confirmed, or is under way.
    pub(super) fn is_released_or_in_flight(&self, machine: &str) -> bool {
        self.is_released(machine) || self.in_flight.contains(machine)
    }
}

#[cfg(test)]
mod tests;
