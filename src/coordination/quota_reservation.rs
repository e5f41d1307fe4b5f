//! Tracks the share of a team's quota that one controller may use without changing the team's
//! record.
//!
//! A start that changes the team's record conflicts with all other starts of that team. Such
//! exclusion is needed only near the limit; if every start changed the record, the starts of all
//! controllers would conflict with each other. Therefore, while at most half of the limit is in
//! use according to a fresh replica of the state, each of n controllers may take up to an n-th
//! of the other half by starts that only check the record's version.
//!
//! Starts that other controllers may not see yet count against that share: starts in flight, and
//! starts younger than twice the greatest age of a replica. So all controllers together stay
//! within the limit.
//!
//! If the share is not enough, the record is first made strict, so that every start has to change
//! it. That change makes all starts fail that checked the previous version, and a replica that
//! shows it also shows all starts that were carried out before it.

#![warn(missing_docs)]

use crate::effects::Instant;
use crate::state::Resources;
use std::collections::VecDeque;
use std::time::Duration;

/// The part of one team's quota that this controller has taken without changing the team's
/// record.
///
/// Invariant: every start that other controllers may not see yet is in one of the three amounts.
#[derive(Debug, Default)]
pub struct QuotaReservation {
    /// The resources of starts that were sent and neither answered nor given up.
    in_flight: Resources,
    /// The resources of starts that got no answer. They may be carried out at any time until the
    /// record changes.
    unresolved: Resources,
    /// The resources of starts that were carried out recently, with the time at which this became
    /// known, oldest first.
    recent: VecDeque<(Instant, Resources)>,
}

/// A team's limit on one resource, and how much of it is in use. A maximum of 0 means that there
/// is no limit.
#[derive(Debug, Clone, Copy)]
pub struct QuotaLimit {
    /// The amount in use, according to the replica.
    pub used: f64,
    /// The largest amount that may be in use.
    pub max: f64,
}

impl QuotaLimit {
    /// Whether a controller may have `reserved` in total without changing the record, where
    /// `controllers` is the number of all controllers.
    fn allows_share(self, reserved: f64, controllers: usize) -> bool {
        let half = self.max / 2.0;
        self.max <= 0.0 || (self.used <= half && reserved <= half / controllers.max(1) as f64)
    }
}

impl QuotaReservation {
    /// Whether a start that only checks the record's version may take `need` in addition to all
    /// reserved resources. `age` is the greatest possible age of the replica from which starts
    /// are planned.
    pub fn allows_start(
        &mut self,
        need: Resources,
        cpus: QuotaLimit,
        gpus: QuotaLimit,
        controllers: usize,
        now: Instant,
        age: Duration,
    ) -> bool {
        self.drop_visible(now, age * 2);
        let reserved = self.reserved();
        cpus.allows_share(reserved.cores + need.cores, controllers)
            && gpus.allows_share(reserved.gpus + need.gpus, controllers)
    }

    /// Drops recent starts that are older than `horizon`, because all controllers see them by now.
    fn drop_visible(&mut self, now: Instant, horizon: Duration) {
        while self.recent.front().is_some_and(|(at, _)| now.saturating_sub(*at) > horizon) {
            self.recent.pop_front();
        }
    }

    /// The resources of all starts that other controllers may not see yet.
    fn reserved(&self) -> Resources {
        let mut recent = Resources::default();
        for (_, amounts) in &self.recent {
            recent.add_scaled(*amounts, 1.0);
        }
        let mut sum = self.in_flight;
        sum.add_scaled(self.unresolved, 1.0);
        sum.add_scaled(recent, 1.0);
        sum
    }

    /// Records that a start that takes `amounts` is sent.
    pub fn record_sent(&mut self, amounts: Resources) {
        self.in_flight.add_scaled(amounts, 1.0);
    }

    /// Records the outcome of a start that takes `amounts`. `carried_out` is `None` if there was
    /// no answer.
    pub fn record_outcome(&mut self, amounts: Resources, carried_out: Option<bool>, now: Instant) {
        self.in_flight.add_scaled(amounts, -1.0);
        match carried_out {
            Some(true) => self.recent.push_back((now, amounts)),
            Some(false) => {}
            None => self.unresolved.add_scaled(amounts, 1.0),
        }
    }

    /// Records that the team's record was changed. Starts that were sent before are refused from
    /// now on.
    pub fn record_changed(&mut self) {
        self.unresolved = Resources::default();
    }
}

#[cfg(test)]
mod tests;
