//! Giving machines back to the cloud, and what was placed on them.

use super::Agents;
use crate::controller::transactions::Why;
use crate::controller::{Controller, DRIFT, Purpose};
use crate::coordination::machine::Machine;
use crate::effects::{NoAnswer, Reply, Target};
use crate::protocol::cloud::{RELEASE, ReleaseRequest};
use crate::protocol::encode;
use crate::protocol::store::{Condition, Op, Txn};
use crate::state::records;
use std::collections::BTreeMap;
use std::time::Duration;

/// The cloud's answer to a release is waited for so long, in heartbeat intervals.
const RELEASE_TIMEOUT: f64 = 2.0;

/// When the lease of a machine has surely expired, by drifting clocks.
#[derive(Debug, Clone, Copy)]
pub(super) struct LeaseExpiry {
    /// Since an answer of ours.
    pub(super) lease: Duration,
    /// Since a grant, before which others may have answered.
    pub(super) cancel: Duration,
}

impl Agents {
    /// Whether the machine is being given back.
    pub(super) fn set_releasing(&mut self, name: &str, releasing: bool) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.releasing = releasing;
        }
    }
}

impl Controller {
    /// Gives machines back to the cloud.
    pub(in crate::controller) fn release(&mut self, machines: Vec<String>) {
        self.cloud.charge_request(self.now);
        self.releases.begin(&machines);
        let body = encode(&ReleaseRequest { machines: machines.as_slice().into() });
        let timeout = self.heartbeat_intervals(RELEASE_TIMEOUT);
        self.call(Target::Cloud, "POST", RELEASE.into(), Some(body), timeout, Purpose::Release { machines });
    }

    /// The cloud answered a release, or did not.
    pub(in crate::controller) fn release_answer(&mut self, machines: Vec<String>, result: Result<Reply, NoAnswer>) {
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

    /// Places on machines that are proved empty are given up; a machine that
    /// was released leaves the fleet with the last of them.
    pub(super) fn clear_empty(&mut self) {
        let expiry = self.lease_expiry();
        let is_empty = |(name, machine): &(&String, &Machine)| {
            self.releases.is_released(name) || machine.lapsed(self.now, expiry.lease, expiry.cancel)
        };
        let empty: Vec<String> = self.agents.machines().filter(is_empty).map(|(name, _)| name.clone()).collect();
        let mut released = Vec::new();
        for name in empty {
            if !self.give_up_places(&name) && self.releases.is_released(&name) {
                released.push(name);
            }
        }
        self.forget_machines(released);
    }

    /// When the lease of a machine has surely expired.
    pub(super) fn lease_expiry(&self) -> LeaseExpiry {
        let workers = &self.config.settings.workers;
        let with_margin = |seconds: f64| self.secs(seconds * DRIFT + workers.heartbeat_interval_s / 2.0);
        LeaseExpiry { lease: with_margin(workers.lease_s), cancel: with_margin(workers.cancel_s) }
    }

    /// Whether anything is placed there that is not proved gone.
    pub(super) fn holds_places(&self, name: &str) -> bool {
        let (Some(placed), Some(machine)) = (self.state.placed.get(name), self.agents.machine(name)) else {
            return false;
        };
        placed.iter().any(|((uid, index), attempt)| !machine.gone.contains(&(uid.clone(), *index, *attempt)))
    }

    /// All that is placed on a machine that is proved empty is given up; whether
    /// there was any.
    pub(super) fn give_up_places(&mut self, name: &str) -> bool {
        let (Some(placed), Some(machine)) = (self.state.placed.get(name), self.agents.machines.get_mut(name)) else {
            return false;
        };
        for ((uid, index), attempt) in placed {
            // The agent may report again before this is written: ordered again,
            // the task would run here after all.
            machine.gone.insert((uid.clone(), *index, *attempt));
            self.journal.record_gone(uid, *index, *attempt, self.now);
        }
        true
    }

    /// Machines that are gone, and hold no places, leave the records.
    pub(in crate::controller) fn forget_machines(&mut self, names: Vec<String>) {
        let mut by_group: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for name in names {
            if let Some(machine) = self.state.machines.get(&name) {
                by_group.entry(machine.rec.group.clone()).or_default().push(name);
            }
        }
        for (group, names) in by_group {
            self.remove_from_group(&group, &names);
        }
    }

    fn remove_from_group(&mut self, group: &str, names: &[String]) {
        let key = records::machine_group_key(group);
        let Some(record) = self.state.machine_groups.get(group) else { return };
        if record.version > self.state.revision || self.transactions.is_locked(&key) || !self.may_write(1.0) {
            return;
        }
        let op = match self.state.with_current_grant(record).without(names) {
            Some(rest) => Op::Put { key: key.clone(), data: records::to_value(&rest), lease: None },
            None => Op::Delete { key: key.clone() },
        };
        let unchanged = Condition { key, version: record.version };
        let conditions = vec![unchanged, self.shard_condition_of(&record.rec.owner)];
        self.txn_keyed(Txn { conditions, ops: vec![op] }, Why::Forget);
    }
}
