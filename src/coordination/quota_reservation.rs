//! Shares of a team's quota that one controller uses without changing the team's record.
//!
//! A start that changes the team's record excludes all other starts of that team. That is
//! needed only near the limit: if every start changed the record, the starts of all
//! controllers would conflict with each other. So while at most half of the limit is in use,
//! according to a fresh replica of the state, each of n controllers may take up to an n-th
//! of the other half by starts that only check the record's version.
//!
//! What other controllers may not see yet counts against that share: starts in flight, and
//! starts younger than two times the greatest age of a replica. So all controllers together
//! stay within the limit.
//!
//! Where a share is not enough, the record is first made strict. That change invalidates all
//! starts that checked the version before it, and a replica that shows it also shows all
//! starts that were carried out before it.

use crate::effects::Instant;
use crate::state::Resources;
use std::collections::VecDeque;
use std::time::Duration;

/// What this controller has taken of one team's quota without changing the team's record.
///
/// Invariant: what other controllers may not see yet is in one of the three amounts.
#[derive(Debug, Default)]
pub struct QuotaReservation {
    /// Starts that were sent and not answered.
    in_flight: Resources,
    /// Starts that got no answer: they may be carried out at any later time, until the
    /// record changes.
    unresolved: Resources,
    /// Starts that were carried out recently, and when that was known.
    recent: VecDeque<(Instant, Resources)>,
}

/// A team's limit of one resource, and how much of it is in use. A maximum of 0 means that
/// there is no limit.
#[derive(Debug, Clone, Copy)]
pub struct Limit {
    pub used: f64,
    pub max: f64,
}

impl Limit {
    /// Whether one of `controllers` may hold `reserved` in total without changing the record.
    fn allows_share(self, reserved: f64, controllers: usize) -> bool {
        let half = self.max / 2.0;
        self.max <= 0.0 || (self.used <= half && reserved <= half / controllers.max(1) as f64)
    }
}

impl QuotaReservation {
    /// Whether a start that only checks the record's version may take `need`. `age` is the
    /// greatest age of the replica from which starts are planned.
    pub fn allow(
        &mut self,
        need: Resources,
        cpus: Limit,
        gpus: Limit,
        controllers: usize,
        now: Instant,
        age: Duration,
    ) -> bool {
        self.drop_visible(now, age * 2);
        let reserved = self.reserved();
        cpus.allows_share(reserved.cores + need.cores, controllers)
            && gpus.allows_share(reserved.gpus + need.gpus, controllers)
    }

    /// Drops recent starts that are older than `horizon`: all controllers see them by now.
    fn drop_visible(&mut self, now: Instant, horizon: Duration) {
        while self.recent.front().is_some_and(|(at, _)| now.saturating_sub(*at) > horizon) {
            self.recent.pop_front();
        }
    }

    /// Everything that other controllers may not see yet.
    fn reserved(&self) -> Resources {
        let mut recent = Resources::default();
        for (_, amounts) in &self.recent {
            recent.plus(*amounts, 1.0);
        }
        let mut sum = self.in_flight;
        sum.plus(self.unresolved, 1.0);
        sum.plus(recent, 1.0);
        sum
    }

    /// A start that takes `amounts` is sent.
    pub fn sent(&mut self, amounts: Resources) {
        self.in_flight.plus(amounts, 1.0);
    }

    /// The outcome of a start; `carried_out` is `None` if there was no answer.
    pub fn answered(&mut self, amounts: Resources, carried_out: Option<bool>, now: Instant) {
        self.in_flight.plus(amounts, -1.0);
        match carried_out {
            Some(true) => self.recent.push_back((now, amounts)),
            Some(false) => {}
            None => self.unresolved.plus(amounts, 1.0),
        }
    }

    /// The record was changed: starts that were sent before it are refused from now on.
    pub fn record_changed(&mut self) {
        self.unresolved = Resources::default();
    }
}

#[cfg(test)]
mod tests;
