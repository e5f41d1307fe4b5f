//! Release of machines to the cloud, and removal of what was placed on them.

use super::Agents;
use crate::controller::transactions::TxnPurpose;
use crate::controller::{CallPurpose, Controller, MAX_CLOCK_RATE_RATIO};
use crate::coordination::machine::{AwaitedProof, Machine};
use crate::effects::{NoAnswer, Reply, Target};
use crate::protocol::cloud::{RELEASE_PATH, ReleaseRequest};
use crate::protocol::encode;
use crate::protocol::store::{Op, Txn};
use crate::state::records;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long the cloud's answer to a release is waited for, in heartbeat intervals.
const RELEASE_TIMEOUT_INTERVALS: f64 = 2.0;

/// When the lease of a machine has certainly expired, with a margin for clock drift.
#[derive(Debug, Clone, Copy)]
pub(super) struct LeaseExpiry {
    /// Time since the last answer of this controller.
    pub(super) lease: Duration,
    /// Time since a grant, before which earlier owners may have answered.
    pub(super) cancel: Duration,
}

impl Agents {
    /// Records whether the machine is being released.
    pub(super) fn set_releasing(&mut self, name: &str, releasing: bool) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.releasing = releasing;
        }
    }
}

impl Controller {
    /// Releases machines to the cloud.
    pub(in crate::controller) fn release_machines(&mut self, machines: Vec<String>) {
        self.cloud.charge_request(self.now);
        self.releases.begin(&machines);
        let body = encode(&ReleaseRequest { machines: machines.as_slice().into() });
        let timeout = self.heartbeat_intervals(RELEASE_TIMEOUT_INTERVALS);
        self.call(Target::Cloud, "POST", RELEASE_PATH.into(), Some(body), timeout, CallPurpose::Release { machines });
    }

    /// Processes the cloud's answer to a release, or the lack of one.
    pub(in crate::controller) fn handle_release_answer(
        &mut self,
        machines: Vec<String>,
        result: Result<Reply, NoAnswer>,
    ) {
        let is_released = result.is_ok_and(|reply| reply.status == 200);
        for name in machines {
            self.releases.finish(&name, is_released);
            if is_released {
                self.autoscaler.forget_rental(&name);
            } else {
                self.agents.set_releasing(&name, false);
            }
        }
    }

    /// Marks all placements on machines that are proved empty as gone. A machine that was released
    /// is removed from the store with the last of them.
    pub(super) fn clear_empty_machines(&mut self) {
        let expiry = self.lease_expiry();
        let is_empty = |(name, machine): &(&String, &Machine)| {
            self.releases.is_released(name) || machine.lease_expired(self.now, expiry.lease, expiry.cancel)
        };
        let empty: Vec<String> = self.agents.machines().filter(is_empty).map(|(name, _)| name.clone()).collect();
        let mut released = Vec::new();
        for name in empty {
            if !self.mark_placements_gone(&name) && self.releases.is_released(&name) {
                released.push(name);
            }
        }
        self.remove_machines(released);
    }

    /// When the lease of a machine has certainly expired.
    pub(super) fn lease_expiry(&self) -> LeaseExpiry {
        let workers = &self.config.deployment.workers;
        let with_margin = |seconds: f64| self.secs(seconds * MAX_CLOCK_RATE_RATIO + workers.heartbeat_interval_s / 2.0);
        LeaseExpiry { lease: with_margin(workers.lease_s), cancel: with_margin(workers.cancel_s) }
    }

    /// Whether anything is placed on the machine that is not proved gone.
    pub(super) fn has_live_placements(&self, name: &str) -> bool {
        let (Some(placed), Some(machine)) = (self.state.placed_tasks.get(name), self.agents.machine(name)) else {
            return false;
        };
        placed.iter().any(|((uid, index), attempt)| !machine.proven_ended.contains(&(uid.clone(), *index, *attempt)))
    }

    /// Marks all placements on a machine that is proved empty as gone, and returns whether there
    /// were any.
    pub(super) fn mark_placements_gone(&mut self, name: &str) -> bool {
        let (Some(placed), Some(machine)) = (self.state.placed_tasks.get(name), self.agents.machines.get_mut(name))
        else {
            return false;
        };
        for ((uid, index), attempt) in placed {
            // The agent may send a heartbeat before this is written. If the task were then
            // commanded again, it would run here after all.
            if machine.proven_ended.insert((uid.clone(), *index, *attempt)) {
                let silent = self.now.saturating_sub(machine.heard_at.unwrap_or(machine.owned_since));
                self.agents.summary.record_wait(AwaitedProof::Lease, silent);
                tracing::debug!(machine = %name, job = %uid, index, attempt, ?silent, "task proved gone with its machine");
            }
            self.journal.record_gone(uid, *index, *attempt, self.now);
        }
        true
    }

    /// Removes machines that are gone and have no placements from the store.
    pub(in crate::controller) fn remove_machines(&mut self, names: Vec<String>) {
        let mut names_by_group: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for name in names {
            if let Some(machine) = self.state.machines.get(&name) {
                names_by_group.entry(machine.rec.group.clone()).or_default().push(name);
            }
        }
        for (group, names) in names_by_group {
            self.remove_from_group(&group, &names);
        }
    }

    /// Removes machines from the record of their group, unless that is being written already.
    fn remove_from_group(&mut self, group: &str, names: &[String]) {
        let is_applied =
            self.state.machine_groups.get(group).is_some_and(|stored| stored.version <= self.state.revision);
        let Some(rewrite) = self.group_rewrite(group).filter(|_| is_applied && self.may_write(1.0)) else { return };
        let op = match rewrite.record.without_machines(names) {
            Some(remaining) => Op::Put { key: rewrite.key, data: records::to_value(&remaining), lease: None },
            None => Op::Delete { key: rewrite.key },
        };
        let conditions = rewrite.conditions.into();
        self.transact_locking_machines(Txn { conditions, ops: vec![op] }, TxnPurpose::Forget);
    }
}
