//! A token bucket with priorities, which limits the rate of one controller's writes.
//!
//! Every controller has its own share of the store's limit on changes per second, and one rate
//! limiter for all kinds of writes. A second one, without priorities, paces its requests to the
//! cloud.
//!
//! A change is charged when it is sent. If the store refuses it, the charge is refunded, because
//! the store neither carries out nor counts a refused change. A change that got no answer stays
//! charged.
//!
//! The higher its priority, the further a write may take the balance into debt, up to one
//! second's worth of changes. A priority that has waited for the time of several writes (see
//! `OVERDUE_WRITES`) may borrow as much as the highest one, and higher priorities leave room for
//! one write of it. So no priority starves.

#![warn(missing_docs)]

use crate::effects::Instant;
use crate::protocol::time::duration_from_secs;
use std::time::Duration;

/// The order in which writes are admitted when the rate does not allow all of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WritePriority {
    /// Cancellations, and changes on which all other writes depend.
    Critical,
    /// Acceptances of submissions, and the ends of jobs.
    Responses,
    /// Starts of services, and the last exits of a job. Waiting exits and starts of arrays are
    /// written in the same transaction.
    Services,
    /// Starts of arrays, and all other exits.
    Arrays,
}

impl WritePriority {
    /// All priorities, the highest first.
    const ALL: [WritePriority; 4] =
        [WritePriority::Critical, WritePriority::Responses, WritePriority::Services, WritePriority::Arrays];

    /// The balance that must remain after a write of this priority, as a fraction of one
    /// second's worth of changes. If it is negative, such writes may borrow.
    fn reserve(self) -> f64 {
        match self {
            WritePriority::Critical => -1.0,
            WritePriority::Responses => -0.75,
            WritePriority::Services => -0.5,
            WritePriority::Arrays => 0.25,
        }
    }

    /// Whether a write of this priority also includes the waiting changes of priority `other`:
    /// waiting changes of arrays join the transaction that starts services.
    fn includes(self, other: WritePriority) -> bool {
        self == WritePriority::Services && other == WritePriority::Arrays
    }
}

/// A priority is overdue once it has waited for the time of this many writes, and at least for
/// [`OVERDUE_MIN_S`]. Each of the three lower priorities then takes at most one of these writes,
/// and the highest priority gets the rest.
const OVERDUE_WRITES: f64 = 4.0;
/// The shortest wait after which a priority is overdue, in seconds.
const OVERDUE_MIN_S: f64 = 1.0;

/// A priority whose writes are not admitted and that keeps asking.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    since: Instant,
    last_asked: Instant,
}

/// The amount that a write took from the balance, refunded if the store refuses the write.
#[derive(Debug, Clone, Copy)]
pub struct Charge(f64);

/// The rate limiter of one controller's writes.
///
/// Invariants:
/// - The debt is never more than one second's worth of changes, so one second later a write of
///   the highest priority is admitted.
/// - After an outage of the store the balance is not positive, so that the simultaneous writes
///   of all controllers stay within the burst that the store allows.
#[derive(Debug)]
pub struct RateLimiter {
    /// The allowed rate, in changes per second.
    pub rate: f64,
    /// The number of changes that may be written without borrowing, as of `updated_at`; negative
    /// if in debt.
    balance: f64,
    updated_at: Instant,
    /// The waiting state of each priority.
    waiting: [Option<Waiting>; WritePriority::ALL.len()],
}

impl RateLimiter {
    /// A limiter that allows `rate` changes per second and starts with a full balance.
    pub fn new(rate: f64) -> RateLimiter {
        RateLimiter { rate, balance: rate, updated_at: Duration::ZERO, waiting: Default::default() }
    }

    /// The largest balance and the largest debt: one second's worth, but at least one change.
    fn capacity(&self) -> f64 {
        self.rate.max(1.0)
    }

    /// The number of changes that may be written now without borrowing; negative if in debt.
    pub fn balance_at(&self, now: Instant) -> f64 {
        let elapsed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        (self.balance + elapsed_s * self.rate).min(self.capacity())
    }

    /// Whether `changes` may be written now without borrowing, which is required of writes that
    /// can wait. A full balance suffices if there are more changes than it can ever cover.
    pub fn has_balance_for(&self, now: Instant, changes: f64) -> bool {
        self.balance_at(now) >= changes.min(self.capacity())
    }

    /// How long a priority must wait until it is overdue.
    fn overdue_after(&self) -> Duration {
        duration_from_secs(
            (OVERDUE_WRITES / self.rate.max(f64::MIN_POSITIVE)).clamp(OVERDUE_MIN_S, f64::from(u16::MAX)),
        )
    }

    /// Whether this priority has waited for too long and has asked again recently.
    fn is_overdue(&self, priority: WritePriority, now: Instant) -> bool {
        let overdue_after = self.overdue_after();
        self.waiting[priority as usize]
            .is_some_and(|waiting| now >= waiting.since + overdue_after && now <= waiting.last_asked + overdue_after)
    }

    /// Whether a write of this priority may be sent now. If not, the priority counts as waiting
    /// for as long as it keeps asking.
    pub fn admits(&mut self, priority: WritePriority, now: Instant) -> bool {
        let admitted = self.balance_at(now) >= self.required_balance(priority, now);
        self.update_waiting(priority, admitted, now);
        admitted
    }

    /// The balance that a write of this priority needs.
    fn required_balance(&self, priority: WritePriority, now: Instant) -> f64 {
        let overdue = WritePriority::ALL
            .into_iter()
            .filter(|other| *other == priority || priority.includes(*other))
            .any(|other| self.is_overdue(other, now));
        let reserve = if overdue { WritePriority::Critical } else { priority }.reserve();
        // Leaves room for one write of each lower priority that is overdue and not included.
        let overdue_below = WritePriority::ALL
            .into_iter()
            .filter(|other| *other > priority && !priority.includes(*other) && self.is_overdue(*other, now))
            .count();
        (1.0 + reserve * self.capacity()).min(self.capacity()) + overdue_below as f64
    }

    /// Records whether a write of this priority still waits, and since when.
    fn update_waiting(&mut self, priority: WritePriority, admitted: bool, now: Instant) {
        let overdue_after = self.overdue_after();
        let waiting = &mut self.waiting[priority as usize];
        let since = waiting.filter(|w| now <= w.last_asked + overdue_after).map_or(now, |w| w.since);
        *waiting = (!admitted).then_some(Waiting { since, last_asked: now });
        if admitted && priority == WritePriority::Services {
            self.waiting[WritePriority::Arrays as usize] = None;
        }
    }

    /// Charges `changes` that are sent now. Debt beyond one second's worth is forgiven and is not
    /// part of the returned charge.
    pub fn charge(&mut self, now: Instant, changes: f64) -> Charge {
        let before = self.balance_at(now);
        self.balance = (before - changes).max(-self.capacity()).min(before);
        self.updated_at = now;
        Charge(before - self.balance)
    }

    /// Refunds the charge of a write that the store refused and so did not carry out.
    pub fn refund(&mut self, now: Instant, charge: Charge) {
        self.balance = (self.balance_at(now) + charge.0).min(self.capacity());
        self.updated_at = now;
    }

    /// Records that the store is available again after an outage. All controllers write at the
    /// same moment, so none may start with a positive balance.
    pub fn reset_after_outage(&mut self, now: Instant) {
        self.balance = self.balance_at(now).min(0.0);
        self.updated_at = now;
    }
}

#[cfg(test)]
mod tests;
