//! What may be written of a limit in changes a second, and by whom first: one account
//! for all kinds of writes, where every controller has its own part of the limit.
//!
//! A change is charged as it is sent. One that was refused is given back: the store did
//! not carry it out, and counts nothing. One without an answer stays charged.
//!
//! What comes first may borrow from what comes after it, by steps, up to one second's
//! worth. Whoever has waited for some writes' time may borrow as far as the first, and
//! what comes before it leaves room for one write of it: nothing starves.
//!
//! Invariants: the debt is never more than one second's worth, so that a second later
//! anything goes; after the store was away the account holds nothing, so that what all
//! controllers write at once is within the burst that the store allows.

use crate::effects::Instant;
use std::time::Duration;

/// What goes first where not all can go.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WritePriority {
    /// Cancellations, and changes that everything else waits for.
    First,
    /// Acceptances, and ends of jobs.
    Answers,
    /// Starts of services, and the last exits of a job; what arrays have goes along.
    Services,
    /// Starts of arrays, and all other exits.
    Arrays,
}

impl WritePriority {
    const ALL: [WritePriority; 4] =
        [WritePriority::First, WritePriority::Answers, WritePriority::Services, WritePriority::Arrays];

    /// What has to be left after it, in parts of a second's worth.
    fn leaves(self) -> f64 {
        match self {
            WritePriority::First => -1.0,
            WritePriority::Answers => -0.75,
            WritePriority::Services => -0.5,
            WritePriority::Arrays => 0.25,
        }
    }
}

/// Whoever has waited for so many writes' time, and a second at least, is overdue: each
/// of the three that come later takes one write of these at most, the first have the rest.
const PATIENCE_WRITES: f64 = 4.0;
const PATIENCE_S: f64 = 1.0;

/// Somebody who was refused, and still asks.
#[derive(Debug, Clone, Copy)]
struct Wait {
    since: Instant,
    asked: Instant,
}

/// What a write took; given back if it was refused.
#[derive(Debug, Clone, Copy)]
pub struct Charge(f64);

#[derive(Debug)]
pub struct Account {
    /// Changes a second.
    pub rate: f64,
    level: f64,
    at: Instant,
    waits: [Option<Wait>; WritePriority::ALL.len()],
}

impl Account {
    pub fn new(rate: f64) -> Account {
        Account { rate, level: rate, at: Duration::ZERO, waits: Default::default() }
    }

    /// One second's worth, one change at least.
    fn worth(&self) -> f64 {
        self.rate.max(1.0)
    }

    /// What may be written without borrowing.
    pub fn level(&self, now: Instant) -> f64 {
        let dt = now.saturating_sub(self.at).as_secs_f64();
        (self.level + dt * self.rate).min(self.worth())
    }

    /// Whether `n` changes may go that can also wait; a full account will do for more
    /// than it holds.
    pub fn has(&self, now: Instant, n: f64) -> bool {
        self.level(now) >= n.min(self.worth())
    }

    fn patience(&self) -> Duration {
        Duration::from_secs_f64(
            (PATIENCE_WRITES / self.rate.max(f64::MIN_POSITIVE)).clamp(PATIENCE_S, f64::from(u16::MAX)),
        )
    }

    fn overdue(&self, order: WritePriority, now: Instant) -> bool {
        let patience = self.patience();
        self.waits[order as usize].is_some_and(|w| now >= w.since + patience && now <= w.asked + patience)
    }

    /// Whether a write in this order goes now; one that may not is remembered as
    /// waiting for as long as it is asked for again.
    pub fn admits(&mut self, order: WritePriority, now: Instant) -> bool {
        // What arrays have goes along with starts of services, in one transaction.
        let along = |o: WritePriority| order == WritePriority::Services && o == WritePriority::Arrays;
        let overdue = WritePriority::ALL.into_iter().any(|o| (o == order || along(o)) && self.overdue(o, now));
        let leaves = if overdue { WritePriority::First } else { order }.leaves();
        let revocations =
            WritePriority::ALL.into_iter().filter(|o| *o > order && !along(*o) && self.overdue(*o, now)).count();
        let need = (1.0 + leaves * self.worth()).min(self.worth()) + revocations as f64;
        let goes = self.level(now) >= need;
        let patience = self.patience();
        let wait = &mut self.waits[order as usize];
        let since = wait.filter(|w| now <= w.asked + patience).map_or(now, |w| w.since);
        *wait = (!goes).then_some(Wait { since, asked: now });
        if goes && order == WritePriority::Services {
            self.waits[WritePriority::Arrays as usize] = None;
        }
        goes
    }

    /// `n` changes are sent.
    pub fn charge(&mut self, now: Instant, n: f64) -> Charge {
        let before = self.level(now);
        self.level = (before - n).max(-self.worth()).min(before);
        self.at = now;
        Charge(before - self.level)
    }

    /// They were refused, and not carried out.
    pub fn give_back(&mut self, now: Instant, charge: Charge) {
        self.level = (self.level(now) + charge.0).min(self.worth());
        self.at = now;
    }

    /// The store was away, for others too: all write at once now.
    pub fn store_is_back(&mut self, now: Instant) {
        self.level = self.level(now).min(0.0);
        self.at = now;
    }
}

#[cfg(test)]
mod tests;
