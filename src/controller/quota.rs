//! What teams use of their limits, and which starts must change their records.

use super::Controller;
use super::transactions::Why;
use crate::config::Team;
use crate::coordination::quota_reservation::{Limit, QuotaReservation};
use crate::coordination::rate_limiter::WritePriority;
use crate::effects::Instant;
use crate::protocol::store::{Condition, Op, Txn};
use crate::protocol::user::JobSpec;
use crate::state::{ClusterState, Resources, records};
use std::collections::BTreeMap;
use std::time::Duration;

/// What this controller took of each team's limit without changing the team's record.
#[derive(Debug, Default)]
pub(super) struct QuotaReservations {
    by_team: BTreeMap<String, QuotaReservation>,
}

/// A part of a team's limit that the starts of one log segment take.
#[derive(Debug, Clone)]
pub(super) struct Reservation {
    pub(super) team: String,
    pub(super) amounts: Resources,
}

/// What a team uses of its limits. Places count until it is proved that the task is
/// gone, on unreachable machines too.
#[derive(Debug, Clone, Copy)]
pub(super) struct QuotaUse {
    pub(super) cpus: Limit,
    pub(super) gpus: Limit,
}

/// What is left of a team's limits; infinite where there is none.
#[derive(Debug, Clone, Copy)]
pub(super) struct RemainingQuota {
    cpus: f64,
    gpus: f64,
}

/// Below this part of its limit a team's starts need not exclude each other.
const FAR_FROM_LIMIT: f64 = 0.25;
/// Rounding allowed when amounts are compared.
const ROUNDING: f64 = 1e-9;

impl QuotaReservations {
    /// Whether a start that leaves the team's record as it is may take `need`.
    /// Replicas are at most `age` old when starts are planned.
    pub(super) fn admits(
        &mut self,
        team: &str,
        need: Resources,
        quota: QuotaUse,
        controllers: usize,
        now: Instant,
        age: Duration,
    ) -> bool {
        let reserved = self.by_team.entry(team.to_string()).or_default();
        reserved.allow(need, quota.cpus, quota.gpus, controllers, now, age)
    }

    /// The starts that take this were sent to the store.
    pub(super) fn reserve(&mut self, reservation: &Reservation) {
        self.by_team.entry(reservation.team.clone()).or_default().sent(reservation.amounts);
    }

    /// The starts that take this were carried out, or are known never to be.
    pub(super) fn settle(&mut self, reservation: Reservation, carried_out: bool, now: Instant) {
        let reserved = self.by_team.entry(reservation.team).or_default();
        reserved.answered(reservation.amounts, Some(carried_out), now);
    }

    /// A transaction that changed teams' records was carried out.
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
    /// What the team uses by the cluster state.
    pub(super) fn of(team: &Team, state: &ClusterState) -> QuotaUse {
        let mut used = Resources::default();
        for job in state.jobs.values().filter(|job| job.spec.team == team.name) {
            used.add(&job.spec, f64::from(job.placed));
        }
        QuotaUse {
            cpus: Limit { used: used.cores, max: team.cpus_max },
            gpus: Limit { used: used.gpus, max: team.gpus_max },
        }
    }

    /// Whether the team is so far from its limits that its starts need not exclude
    /// each other.
    pub(super) fn is_far_from_limits(self) -> bool {
        let is_far = |limit: Limit| limit.max <= 0.0 || limit.used <= limit.max * FAR_FROM_LIMIT;
        is_far(self.cpus) && is_far(self.gpus)
    }
}

impl RemainingQuota {
    /// What is left to the team by the cluster state.
    pub(super) fn of(team: &Team, state: &ClusterState) -> RemainingQuota {
        let left = |limit: Limit| if limit.max > 0.0 { limit.max - limit.used } else { f64::INFINITY };
        let quota = QuotaUse::of(team, state);
        RemainingQuota { cpus: left(quota.cpus), gpus: left(quota.gpus) }
    }

    /// How many of `tasks` tasks of the job fit into it.
    pub(super) fn admits(&self, spec: &JobSpec, tasks: usize) -> usize {
        let times = |left: f64, each: f64| {
            if each > 0.0 { ((left + ROUNDING) / each).floor().max(0.0) } else { f64::INFINITY }
        };
        (times(self.cpus, spec.cores).min(times(self.gpus, spec.gpus)) as usize).min(tasks)
    }

    /// Takes what `tasks` tasks of the job use.
    pub(super) fn take(&mut self, spec: &JobSpec, tasks: usize) {
        self.cpus -= spec.cores * tasks as f64;
        self.gpus -= spec.gpus * tasks as f64;
    }
}

/// Whether the team has a limit on anything.
pub(super) fn has_limit(team: &Team) -> bool {
    team.cpus_max > 0.0 || team.gpus_max > 0.0
}

impl Controller {
    /// From here on every start of the team changes its record. The replica that
    /// shows this change shows all starts that did not.
    pub(super) fn make_quota_strict(&mut self, condition: Condition) {
        if self.transactions.is_locked(&condition.key) || !self.may_write_as(WritePriority::Critical) {
            return;
        }
        let rec = records::TeamRecord { strict: true, count: self.outbox.next_call_id() };
        let ops = vec![Op::Put { key: condition.key.clone(), data: records::to_value(&rec), lease: None }];
        self.txn(Txn { conditions: vec![condition], ops }, Why::Limit);
    }
}

#[cfg(test)]
mod tests;
