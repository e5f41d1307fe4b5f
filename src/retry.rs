//! When failed calls are retried: one policy for every call to the state service and to the
//! cloud, and the times at which refused clients are told to come back.
//!
//! Callers name a purpose; pauses, jitter and the circuit breaker are decided here. How many
//! calls may be made at all is decided by the rate limits, not here.
//!
//! - After a failure a purpose pauses, with exponential backoff and full jitter, so that
//!   controllers that failed together come back at different times. A write that fails alone,
//!   between answers to others, delays no other write.
//! - Several failures in a row, of whatever purposes, open the circuit breaker of that
//!   service. While it is open only probes are sent, each purpose at its own pace. The first
//!   answer closes the breaker and ends every pause: what waited for the service waits no
//!   longer than for one probe.
//!
//! Invariant: a probe is never delayed for longer than its own longest pause, so a service
//! that answers again is always noticed.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

/// What a call is for, and so which service it goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// The grant of a lease at the state service.
    Lease,
    /// The renewal of the lease.
    Renew,
    /// A page of the initial scan.
    Scan,
    Watch,
    /// The read that proves the replica fresh.
    Barrier,
    Write,
    /// The cloud's machine types.
    Catalog,
    /// The cloud's list of machines.
    List,
    /// Provisioning of machines.
    Rent,
    /// Return of machines.
    Release,
}

/// A service that is called; each has a circuit breaker of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Side {
    Store,
    Cloud,
}

impl Purpose {
    /// The service that is called.
    pub fn side(self) -> Side {
        match self {
            Purpose::Lease | Purpose::Renew | Purpose::Scan | Purpose::Watch | Purpose::Barrier | Purpose::Write => {
                Side::Store
            }
            Purpose::Catalog | Purpose::List | Purpose::Rent | Purpose::Release => Side::Cloud,
        }
    }

    /// Whether such calls are sent while the breaker is open: they are cheap, and change
    /// nothing by themselves.
    fn is_probe(self) -> bool {
        matches!(
            self,
            Purpose::Lease | Purpose::Renew | Purpose::Scan | Purpose::Barrier | Purpose::Catalog | Purpose::List
        )
    }
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Any answer that is a decision, including a refusal of the request.
    Answered,
    /// Over a rate limit: this purpose pauses, but the service is available.
    Limited,
    /// Status 503, or no answer.
    Failed,
}

/// This many failures in a row open the breaker.
const FAILURES_TO_OPEN: u32 = 3;
/// The longest pause is the shortest one, doubled this many times.
const MAX_DOUBLINGS: u32 = 2;

/// The backoff of one purpose.
#[derive(Debug, Clone, Copy, Default)]
struct Backoff {
    /// Failures in a row.
    failures: u32,
    not_before: Duration,
    /// Failures since the last summary.
    failed: u32,
}

/// The retry policy of one controller, and the state of its circuit breakers.
#[derive(Debug)]
pub struct RetryPolicy {
    rng: SmallRng,
    /// The shortest pause by purpose.
    base_pauses: BTreeMap<Purpose, Duration>,
    purposes: BTreeMap<Purpose, Backoff>,
    /// Failures in a row, by service.
    failures: BTreeMap<Side, u32>,
}

impl RetryPolicy {
    /// `base` has the shortest pause of each purpose.
    pub fn new(seed: u64, base: impl IntoIterator<Item = (Purpose, Duration)>) -> RetryPolicy {
        RetryPolicy {
            rng: SmallRng::seed_from_u64(seed),
            base_pauses: base.into_iter().collect(),
            purposes: BTreeMap::new(),
            failures: BTreeMap::new(),
        }
    }

    /// Whether the service's circuit breaker is open: it counts as unavailable.
    pub fn is_open(&self, side: Side) -> bool {
        self.failures.get(&side).is_some_and(|failures| *failures >= FAILURES_TO_OPEN)
    }

    /// Whether a call for this purpose may be made now.
    pub fn may(&self, purpose: Purpose, now: Duration) -> bool {
        let due = self.purposes.get(&purpose).is_none_or(|backoff| now >= backoff.not_before);
        due && (purpose.is_probe() || !self.is_open(purpose.side()))
    }

    /// Records how a call ended.
    pub fn ended(&mut self, purpose: Purpose, outcome: Outcome, now: Duration) {
        self.update_breaker(purpose, outcome, now);
        self.update_backoff(purpose, outcome, now);
    }

    /// Counts failures of the service, and closes its breaker with the first answer.
    fn update_breaker(&mut self, purpose: Purpose, outcome: Outcome, now: Duration) {
        let side = purpose.side();
        if outcome == Outcome::Failed {
            let failures = self.failures.entry(side).or_default();
            *failures += 1;
            if *failures == FAILURES_TO_OPEN {
                tracing::info!(?side, ?purpose, "does not answer, only probes go");
            }
            return;
        }
        let was_open = self.failures.insert(side, 0).is_some_and(|failures| failures >= FAILURES_TO_OPEN);
        if was_open {
            tracing::info!(?side, "answers again");
            for (_, backoff) in self.purposes.iter_mut().filter(|(purpose, _)| purpose.side() == side) {
                backoff.failures = 0;
                backoff.not_before = now;
            }
        }
    }

    /// Pauses the purpose after a failure. Expects the failure in the breaker's count already.
    fn update_backoff(&mut self, purpose: Purpose, outcome: Outcome, now: Duration) {
        // Many writes are in flight at a time: where a single one gets no answer, others do.
        let failed_alone =
            purpose == Purpose::Write && outcome == Outcome::Failed && self.failures[&purpose.side()] == 1;
        let base = self.base_pauses.get(&purpose).copied().unwrap_or_default();
        let backoff = self.purposes.entry(purpose).or_default();
        if outcome == Outcome::Answered {
            backoff.failures = 0;
            return;
        }
        backoff.failed += 1;
        let longest = base * 2u32.pow(backoff.failures.min(MAX_DOUBLINGS));
        backoff.failures += 1;
        if failed_alone {
            return;
        }
        // Half of the shortest pause is certain, so that a loop of failures is never a flood.
        backoff.not_before = now + base / 2 + longest.mul_f64(self.rng.random_range(0.0..1.0));
    }

    /// The number of failures by purpose since the last call.
    pub fn take_counts(&mut self) -> Vec<(Purpose, u32)> {
        let counts = self.purposes.iter_mut().map(|(p, backoff)| (*p, std::mem::take(&mut backoff.failed)));
        counts.filter(|(_, failed)| *failed > 0).collect()
    }
}

/// The times at which refused clients are told to come back (`Retry-After`).
///
/// Every client gets a time slot of its own in what can be served, so that a crowd that comes
/// at once returns spread out.
#[derive(Debug, Default)]
pub struct RetryAfter {
    /// The last time slot that was given away.
    last: Duration,
}

/// Each time slot is given away this many times: clients are told when to come back, but no
/// slot is kept for them, and unused ones are lost. With each slot given away once, the last
/// of a crowd was accepted after 24 s instead of 10 s (simulated machines).
const OVERBOOKING: f64 = 4.0;
/// Clients wait no longer than this many seconds, whatever they are told (PROTOCOL).
const LONGEST_S: u64 = 30;

impl RetryAfter {
    /// Whole seconds, at least one, until the next free time slot, where `rate` requests per
    /// second can be served.
    pub fn after(&mut self, now: Duration, rate: f64) -> u32 {
        let soonest = now + Duration::from_secs(1);
        let longest = now + Duration::from_secs(LONGEST_S);
        let gap = Duration::from_secs_f64(1.0 / (rate * OVERBOOKING).max(1.0));
        self.last = (self.last.max(soonest) + gap).min(longest);
        self.last.saturating_sub(now).as_secs() as u32
    }
}

#[cfg(test)]
mod tests;
