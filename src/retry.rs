//! Decides when failed calls are retried, with one policy for all calls to the state service and
//! to the cloud, and when refused clients are told to retry.
//!
//! Callers name the purpose of a call; pauses, jitter and the circuit breaker are decided here.
//! The rate limits, which bound the number of calls, are separate.
//!
//! - After a failure a purpose pauses, with exponential backoff and full jitter, so that
//!   controllers whose calls failed together retry at different times. A single write that fails
//!   while others are answered does not delay other writes.
//! - Several consecutive failures, of any purposes, open the circuit breaker of the service.
//!   While it is open, only probes are sent, each purpose at its own pace. The first answer
//!   closes the breaker and ends all pauses, so waiting calls wait no longer than for one
//!   probe.
//!
//! Invariant: a probe is never delayed for longer than its own longest pause, so the recovery of
//! a service is always noticed.

#![warn(missing_docs)]

use crate::protocol::time::{duration_from_secs, scale_duration};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

/// The purpose of a call, which determines the service that it goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// The grant of a lease at the state service.
    Lease,
    /// The renewal of the lease.
    Renew,
    /// A page of the initial scan.
    Scan,
    /// A call of the watch that follows the scan.
    Watch,
    /// The read that proves the replica fresh.
    Barrier,
    /// A write to the state service.
    Write,
    /// The query of the cloud's machine types.
    Catalog,
    /// The query of the cloud's list of machines.
    List,
    /// The provisioning of machines.
    Rent,
    /// The return of machines to the cloud.
    Release,
}

/// A service that the controller calls. Each has its own circuit breaker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RemoteService {
    /// The state service.
    Store,
    /// The cloud's interface.
    Cloud,
}

impl Purpose {
    /// The service that calls for this purpose go to.
    pub fn service(self) -> RemoteService {
        match self {
            Purpose::Lease | Purpose::Renew | Purpose::Scan | Purpose::Watch | Purpose::Barrier | Purpose::Write => {
                RemoteService::Store
            }
            Purpose::Catalog | Purpose::List | Purpose::Rent | Purpose::Release => RemoteService::Cloud,
        }
    }

    /// Whether such calls are sent while the breaker is open. They are cheap, and change nothing
    /// by themselves.
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
    /// The service decided about the request, even if it refused it.
    Answered,
    /// A rate limit was exceeded. This purpose pauses, but the service is available.
    Limited,
    /// The answer had status 503, or there was none.
    Failed,
}

/// This many consecutive failures open the breaker.
const FAILURES_TO_OPEN: u32 = 3;
/// The range of the jitter doubles with each consecutive failure, up to this many times.
const MAX_DOUBLINGS: u32 = 2;

/// The backoff of one purpose.
#[derive(Debug, Clone, Copy, Default)]
struct Backoff {
    /// The number of consecutive failures.
    consecutive_failures: u32,
    /// No call is made before this time.
    not_before: Duration,
    /// The number of failures since `take_counts` was last called.
    uncounted_failures: u32,
}

/// The retry policy of one controller, and the state of its circuit breakers.
#[derive(Debug)]
pub struct RetryPolicy {
    rng: SmallRng,
    /// The shortest pause of each purpose.
    base_pauses: BTreeMap<Purpose, Duration>,
    purposes: BTreeMap<Purpose, Backoff>,
    /// The number of consecutive failures of each service.
    failures: BTreeMap<RemoteService, u32>,
}

impl RetryPolicy {
    /// A policy without failures. `base_pauses` has the shortest pause of each purpose; `seed`
    /// determines the jitter.
    pub fn new(seed: u64, base_pauses: impl IntoIterator<Item = (Purpose, Duration)>) -> RetryPolicy {
        RetryPolicy {
            rng: SmallRng::seed_from_u64(seed),
            base_pauses: base_pauses.into_iter().collect(),
            purposes: BTreeMap::new(),
            failures: BTreeMap::new(),
        }
    }

    /// Whether the service's circuit breaker is open, so that the service counts as unavailable.
    pub fn is_open(&self, service: RemoteService) -> bool {
        self.failures.get(&service).is_some_and(|failures| *failures >= FAILURES_TO_OPEN)
    }

    /// Whether a call for this purpose may be made now.
    pub fn allows(&self, purpose: Purpose, now: Duration) -> bool {
        let due = self.purposes.get(&purpose).is_none_or(|backoff| now >= backoff.not_before);
        due && (purpose.is_probe() || !self.is_open(purpose.service()))
    }

    /// Records how a call ended.
    pub fn record_outcome(&mut self, purpose: Purpose, outcome: Outcome, now: Duration) {
        self.update_breaker(purpose, outcome, now);
        self.update_backoff(purpose, outcome, now);
    }

    /// Counts consecutive failures of the service, and closes its breaker at the first answer.
    fn update_breaker(&mut self, purpose: Purpose, outcome: Outcome, now: Duration) {
        let service = purpose.service();
        if outcome == Outcome::Failed {
            let failures = self.failures.entry(service).or_default();
            *failures += 1;
            if *failures == FAILURES_TO_OPEN {
                tracing::info!(side = ?service, ?purpose, "service does not answer, sending only probes");
            }
            return;
        }
        let was_open = self.failures.insert(service, 0).is_some_and(|failures| failures >= FAILURES_TO_OPEN);
        if was_open {
            tracing::info!(side = ?service, "service answers again");
            for (_, backoff) in self.purposes.iter_mut().filter(|(purpose, _)| purpose.service() == service) {
                backoff.consecutive_failures = 0;
                backoff.not_before = now;
            }
        }
    }

    /// Pauses the purpose after a failure. `update_breaker` must have counted the failure before.
    fn update_backoff(&mut self, purpose: Purpose, outcome: Outcome, now: Duration) {
        // Many writes are in flight at a time: if a single one gets no answer, others do.
        let failed_alone =
            purpose == Purpose::Write && outcome == Outcome::Failed && self.failures[&purpose.service()] == 1;
        let base_pause = self.base_pauses.get(&purpose).copied().unwrap_or_default();
        let backoff = self.purposes.entry(purpose).or_default();
        if outcome == Outcome::Answered {
            backoff.consecutive_failures = 0;
            return;
        }
        backoff.uncounted_failures += 1;
        let max_jitter = base_pause * 2u32.pow(backoff.consecutive_failures.min(MAX_DOUBLINGS));
        backoff.consecutive_failures += 1;
        if failed_alone {
            return;
        }
        // The pause is at least half of the shortest one, so that repeated failures never cause a
        // flood of calls.
        backoff.not_before = now + base_pause / 2 + scale_duration(max_jitter, self.rng.random_range(0.0..1.0));
    }

    /// The number of failures of each purpose since this was last called. Purposes without
    /// failures are left out.
    pub fn take_counts(&mut self) -> Vec<(Purpose, u32)> {
        let counts = self.purposes.iter_mut().map(|(p, backoff)| (*p, std::mem::take(&mut backoff.uncounted_failures)));
        counts.filter(|(_, failed)| *failed > 0).collect()
    }
}

/// The times after which refused clients are told to retry (`Retry-After`).
///
/// The clients get successive time slots at the rate that can be served, so that clients that
/// came all at once retry spread out over time.
#[derive(Debug, Default)]
pub struct RetryAfter {
    /// The last time slot that was given to a client.
    last: Duration,
}

/// Each time slot is given to this many clients. Slots are not reserved, and unused ones are
/// lost. With one client per slot, the last of many simultaneous clients was accepted after 24 s
/// instead of 10 s (on simulated machines).
const CLIENTS_PER_SLOT: f64 = 4.0;
/// The longest time in seconds that clients wait, whatever they are told. The protocol fixes it.
const MAX_RETRY_AFTER_S: u64 = 30;

impl RetryAfter {
    /// The whole seconds, at least one, until the next time slot, if `rate` requests per second
    /// can be served.
    pub fn next_delay_s(&mut self, now: Duration, rate: f64) -> u32 {
        let soonest = now + Duration::from_secs(1);
        let longest = now + Duration::from_secs(MAX_RETRY_AFTER_S);
        let slot_length = duration_from_secs(1.0 / (rate * CLIENTS_PER_SLOT).max(1.0));
        self.last = (self.last.max(soonest) + slot_length).min(longest);
        self.last.saturating_sub(now).as_secs() as u32
    }
}

#[cfg(test)]
mod tests;
