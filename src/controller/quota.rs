//! What teams use of their limits, and which starts must change their records.

use super::*;
use crate::coordination::parts::Limit;
use crate::protocol::store::{Condition, Op};
use crate::protocol::user::JobSpec;
use crate::settings::Team;

/// What this controller took of each team's limit without changing the team's record.
#[derive(Debug, Default)]
pub(super) struct QuotaReservations {
    /// By team.
    pub(super) by_team: BTreeMap<String, Parts>,
}

/// Below this part of its limit a team's starts need not exclude each other.
pub(super) const FAR_FROM_LIMIT: f64 = 0.25;

impl Controller {
    /// What a team uses of its limits, in CPUs and GPUs. Places count until
    /// it is proved that the task is gone, on unreachable machines too.
    pub(super) fn used(&self, team: &Team) -> (Limit, Limit) {
        let mut used = Resources::default();
        for j in self.state.jobs.values().filter(|j| j.spec.team == team.name) {
            used.add(&j.spec, f64::from(j.placed));
        }
        (Limit { used: used.cores, max: team.cpus_max }, Limit { used: used.gpus, max: team.gpus_max })
    }

    /// What is left of them.
    pub(super) fn allowance(&self, team: &Team) -> (f64, f64) {
        let left = |l: Limit| if l.max > 0.0 { l.max - l.used } else { f64::INFINITY };
        let (cpus, gpus) = self.used(team);
        (left(cpus), left(gpus))
    }

    /// From here on every start of the team changes its record. The view that
    /// shows this change shows all starts that did not.
    pub(super) fn near_limit(&mut self, key: String, version: u64) {
        if self.transactions.is_locked(&key) || !self.may_write_as(WritePriority::First) {
            return;
        }
        let rec = records::TeamRecord { strict: true, count: self.outbox.next_call_id() };
        let txn = Txn {
            conditions: vec![Condition { key: key.clone(), version }],
            ops: vec![Op::Put { key, data: records::to_value(&rec), lease: None }],
        };
        self.txn(txn, Why::Limit);
    }

    /// A transaction that changed teams' records was carried out.
    pub(super) fn record_changed(&mut self, txn: &Txn) {
        for op in &txn.ops {
            if let Op::Put { key, .. } = op
                && let Some(team) = key.strip_prefix(records::TEAMS)
                && let Some(parts) = self.quota.by_team.get_mut(team)
            {
                parts.record_changed();
            }
        }
    }
}

pub(super) fn limited(t: &Team) -> bool {
    t.cpus_max > 0.0 || t.gpus_max > 0.0
}

pub(super) fn affordable(spec: &JobSpec, cpus: f64, gpus: f64, n: usize) -> usize {
    let times = |left: f64, each: f64| if each > 0.0 { ((left + 1e-9) / each).floor().max(0.0) } else { f64::INFINITY };
    (times(cpus, spec.cores).min(times(gpus, spec.gpus)) as usize).min(n)
}
