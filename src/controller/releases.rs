//! Releases of machines to the cloud, and the rate limit for releasing silent machines.

#![warn(missing_docs)]

use crate::effects::Instant;
use std::collections::BTreeSet;
use std::time::Duration;

/// Releases in flight and confirmed, and a token bucket for releases of silent machines.
#[derive(Debug)]
pub(super) struct Releases {
    /// Machines whose release was requested and not answered yet.
    in_flight: BTreeSet<String>,
    /// Machines whose release was confirmed, so that nothing runs there any more.
    released: BTreeSet<String>,
    /// Tokens in the bucket; the release of a silent machine takes one.
    tokens: f64,
    /// When the bucket was last refilled.
    refilled_at: Instant,
}

impl Releases {
    /// Creates the state before any release, with one token in the bucket.
    pub(super) fn new() -> Releases {
        Releases { in_flight: BTreeSet::new(), released: BTreeSet::new(), tokens: 1.0, refilled_at: Duration::ZERO }
    }

    /// Refills the bucket at a rate of `capacity` tokens in `period_s` seconds. It holds
    /// `capacity` tokens at most.
    pub(super) fn refill(&mut self, now: Instant, capacity: f64, period_s: f64) {
        let elapsed_s = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed_s * capacity / period_s).min(capacity);
        self.refilled_at = now;
    }

    /// Takes a token for the release of a silent machine. False if there is none.
    pub(super) fn try_acquire(&mut self) -> bool {
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }

    /// Records that the release of these machines was requested.
    pub(super) fn begin(&mut self, machines: &[String]) {
        self.in_flight.extend(machines.iter().cloned());
    }

    /// Records that the request to release this machine was answered or given up.
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

    /// Whether the machine's release was confirmed or is in flight.
    pub(super) fn is_released_or_in_flight(&self, machine: &str) -> bool {
        self.is_released(machine) || self.in_flight.contains(machine)
    }
}

#[cfg(test)]
mod tests;
