//! Team quotas: what teams use of their limits, and which starts must change a team's record so
//! that they exclude other starts (see [`crate::coordination::quota_reservation`]).

#![warn(missing_docs)]

use super::Controller;
use super::transactions::TxnPurpose;
use crate::config::Team;
use crate::coordination::quota_reservation::{QuotaLimit, QuotaReservation};
use crate::coordination::rate_limiter::WritePriority;
use crate::effects::Instant;
use crate::protocol::store::{Condition, Op, Txn};
use crate::protocol::user::JobSpec;
use crate::state::{ClusterState, Resources, records};
use std::collections::BTreeMap;
use std::time::Duration;

/// The quota that this controller has taken of each team's limit without changing the team's
/// record.
#[derive(Debug, Default)]
pub(super) struct QuotaReservations {
    by_team: BTreeMap<String, QuotaReservation>,
}

/// The part of a team's quota that the starts of one log segment take.
#[derive(Debug, Clone)]
pub(super) struct Reservation {
    /// Name of the team.
    pub(super) team: String,
    /// Resources that the starts take.
    pub(super) amounts: Resources,
}

/// What a team uses of its limits. A placement counts until it is proved that the task is gone,
/// also on unreachable machines.
#[derive(Debug, Clone, Copy)]
pub(super) struct QuotaUse {
    /// CPUs in use, and their limit.
    pub(super) cpus: QuotaLimit,
    /// GPUs in use, and their limit.
    pub(super) gpus: QuotaLimit,
}

/// What is left of a team's limits; infinite for a resource without a limit.
#[derive(Debug, Clone, Copy)]
pub(super) struct RemainingQuota {
    cpus: f64,
    gpus: f64,
}

/// While a team uses at most this share of its limit, its starts need not exclude each other.
const FAR_FROM_LIMIT_SHARE: f64 = 0.25;
/// Tolerance for rounding errors when amounts are compared.
const ROUNDING_TOLERANCE: f64 = 1e-9;

impl QuotaReservations {
    /// Whether a start that does not change the team's record may take `need`. `quota` is what
    /// the team uses, and `max_age` the greatest age of a replica from which starts are planned.
    pub(super) fn admits(
        &mut self,
        team: &str,
        need: Resources,
        quota: QuotaUse,
        controllers: usize,
        now: Instant,
        max_age: Duration,
    ) -> bool {
        let reserved = self.by_team.entry(team.to_string()).or_default();
        reserved.allows_start(need, quota.cpus, quota.gpus, controllers, now, max_age)
    }

    /// Records that the starts that take this reservation were sent to the store.
    pub(super) fn reserve(&mut self, reservation: &Reservation) {
        self.by_team.entry(reservation.team.clone()).or_default().record_sent(reservation.amounts);
    }

    /// Records that the starts that take this reservation were carried out, or are known never to
    /// be.
    pub(super) fn settle(&mut self, reservation: Reservation, carried_out: bool, now: Instant) {
        let reserved = self.by_team.entry(reservation.team).or_default();
        reserved.record_outcome(reservation.amounts, Some(carried_out), now);
    }

    /// Handles the records of teams that a transaction changed: starts without an answer that
    /// checked their earlier versions are refused from now on.
    pub(super) fn records_changed(&mut self, txn: &Txn) {
        for op in &txn.ops {
            if let Op::Put { key, .. } = op
                && let Some(team) = key.strip_prefix(records::TEAMS_PREFIX)
                && let Some(reserved) = self.by_team.get_mut(team)
            {
                reserved.record_changed();
            }
        }
    }
}

impl QuotaUse {
    /// What the team uses according to the cluster state.
    pub(super) fn of(team: &Team, state: &ClusterState) -> QuotaUse {
        let mut used = Resources::default();
        for job in state.jobs.values().filter(|job| job.spec.team == team.name) {
            used.add(&job.spec, f64::from(job.placed));
        }
        QuotaUse {
            cpus: QuotaLimit { used: used.cores, max: team.cpus_max },
            gpus: QuotaLimit { used: used.gpus, max: team.gpus_max },
        }
    }

    /// Whether the team is so far from each of its limits that its starts need not exclude each
    /// other.
    pub(super) fn is_far_from_limits(self) -> bool {
        let is_far = |limit: QuotaLimit| limit.max <= 0.0 || limit.used <= limit.max * FAR_FROM_LIMIT_SHARE;
        is_far(self.cpus) && is_far(self.gpus)
    }
}

impl RemainingQuota {
    /// What is left to the team according to the cluster state.
    pub(super) fn of(team: &Team, state: &ClusterState) -> RemainingQuota {
        let left = |limit: QuotaLimit| if limit.max > 0.0 { limit.max - limit.used } else { f64::INFINITY };
        let quota = QuotaUse::of(team, state);
        RemainingQuota { cpus: left(quota.cpus), gpus: left(quota.gpus) }
    }

    /// The number of the job's `tasks` tasks that the remaining quota admits.
    pub(super) fn admits(&self, spec: &JobSpec, tasks: usize) -> usize {
        let quotient = |left: f64, per_task: f64| {
            if per_task > 0.0 { ((left + ROUNDING_TOLERANCE) / per_task).floor().max(0.0) } else { f64::INFINITY }
        };
        (quotient(self.cpus, spec.cores).min(quotient(self.gpus, spec.gpus)) as usize).min(tasks)
    }

    /// Takes the resources of `tasks` tasks of the job from the remaining quota.
    pub(super) fn take(&mut self, spec: &JobSpec, tasks: usize) {
        self.cpus -= spec.cores * tasks as f64;
        self.gpus -= spec.gpus * tasks as f64;
    }
}

/// Whether the team has a limit on CPUs or GPUs.
pub(super) fn has_limit(team: &Team) -> bool {
    team.cpus_max > 0.0 || team.gpus_max > 0.0
}

impl Controller {
    /// Makes the team's record strict: from then on every start of the team changes the record. A
    /// replica that shows this change also shows all starts that did not change the record.
    pub(super) fn make_quota_strict(&mut self, condition: Condition) {
        if self.transactions.is_locked(&condition.key) || !self.may_write_with_priority(WritePriority::Critical) {
            return;
        }
        let record = records::TeamRecord { strict: true, count: self.outbox.next_call_id() };
        let ops = vec![Op::Put { key: condition.key.clone(), data: records::to_value(&record), lease: None }];
        self.transact(Txn { conditions: vec![condition], ops }, TxnPurpose::Limit);
    }
}

#[cfg(test)]
mod tests;
