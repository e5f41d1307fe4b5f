//! Registration of machines: of those that send heartbeats and have no record, and of those
//! that were provisioned.

use super::*;
use crate::coordination::shards::{self};
use crate::protocol::store::{Condition, Op};
use records::MachineGroupRecord;

/// The machines of a provisioning request are recorded together if recording them one by one
/// would take at least this part of one second of the leader's writes.
pub(super) const GROUP_RECORD_MIN_FRACTION: f64 = 0.5;

impl Controller {
    /// Records a machine that sends heartbeats and has no record. The machine joins the shard
    /// of the controller that received the heartbeat, under the leader's term and epoch 0.
    /// That is below any later grant, and no earlier owner can exist. The leader rebalances
    /// the shards afterwards.
    ///
    /// The machine must have answered a probe first. Otherwise a delayed copy of an old
    /// heartbeat would bring back a machine that was released, and tasks placed on it would
    /// never reach a machine.
    pub(super) fn register_machine(&mut self, heartbeat: &Heartbeat) {
        if self.agents.probe_answered_at(&heartbeat.machine).is_none() {
            return self.probe_sender(heartbeat);
        }
        let key = records::machine_group_key(&heartbeat.machine);
        let has_leader =
            self.leader_name().is_some() && self.state.is_live(&self.process.member, self.process.incarnation);
        // Starts on machines that are already recorded go first.
        let required_writes = 1.0 + self.transactions.write_rate() * SUBMISSION_RESERVE_FRACTION;
        if !has_leader
            || self.transactions.is_locked(&key)
            || self.releases.is_released(&heartbeat.machine)
            || !self.may_write(required_writes)
        {
            return;
        }
        let record = MachineGroupRecord {
            machine_type: heartbeat.machine_type.clone(),
            zone: heartbeat.zone.clone(),
            spot: heartbeat.spot,
            owner: self.process.member.clone(),
            incarnation: self.process.incarnation,
            term: self.term(),
            epoch: 0,
            is_base: self.is_cluster_bootstrapping()
                && !self.autoscaler.newly_provisioned().contains(&heartbeat.machine),
            machines: vec![heartbeat.machine.clone()],
            draining: Vec::new(),
        };
        let txn = Txn {
            conditions: vec![
                self.leader_condition(),
                self.machine_groups_condition(),
                Condition { key: key.clone(), version: 0 },
            ],
            ops: vec![Op::Put { key, data: records::to_value(&record), lease: None }],
        };
        self.transact_locking_machines(txn, TxnPurpose::RegisterMachines);
    }

    /// The condition that the replica shows every group of several machines that has been
    /// recorded.
    fn machine_groups_condition(&self) -> Condition {
        Condition { key: records::MACHINE_GROUPS_KEY.into(), version: self.state.machine_groups_version }
    }

    /// Records the machines of a large provisioning request before they are up, in groups for
    /// the smallest shards. The machines of a small request are recorded when they send
    /// heartbeats, by the controllers that receive them.
    ///
    /// No machine may be in two groups. So this write is conditional on none of the machines
    /// having a record of its own, and the record of a single machine is conditional on no
    /// larger group having been written meanwhile.
    pub(super) fn register_rented_machines(&mut self) {
        if self.transactions.is_locked(records::MACHINE_GROUPS_KEY)
            || !self.is_leader()
            || !self.autoscaler.has_unrecorded_rentals()
        {
            return;
        }
        if !self.may_write_with_priority(WritePriority::Critical) {
            return;
        }
        let Some((offer, mut names)) = self.autoscaler.pop_unrecorded_rental() else { return };
        let limits = &self.config.deployment.state;
        let members = self.state.members.len().max(1);
        // The numbers of records and of conditions in one transaction are limited.
        names.truncate((limits.txn_ops * 4).saturating_sub(2));
        names.retain(|name| !self.state.machines.contains_key(name));
        if names.is_empty() {
            return;
        }
        let group_size = names.len().div_ceil(members.min(limits.txn_ops.saturating_sub(1).max(1)));
        let cut_off = self.connectivity.cut_off_controllers(self.now).collect();
        let owners =
            shards::owners_for_new_machines(&self.state, &cut_off, &offer.machine_type, names.len(), group_size);
        let mut txn =
            Txn { conditions: vec![self.leader_condition(), self.machine_groups_condition()], ops: Vec::new() };
        txn.conditions.extend(names.iter().map(|name| Condition { key: records::machine_group_key(name), version: 0 }));
        let request_count = records::to_value(&self.leadership.request_count());
        txn.ops.push(Op::Put { key: records::MACHINE_GROUPS_KEY.into(), data: request_count, lease: None });
        for (machines, owner) in names.chunks(group_size).zip(owners) {
            let Some(member) = self.state.members.get(owner) else { continue };
            let record = MachineGroupRecord {
                machine_type: offer.machine_type.clone(),
                zone: offer.zone.clone(),
                spot: offer.spot,
                owner: owner.to_string(),
                incarnation: member.rec.incarnation,
                term: self.term(),
                epoch: 0,
                is_base: false,
                machines: machines.to_vec(),
                draining: Vec::new(),
            };
            let key = records::machine_group_key(&machines[0]);
            txn.ops.push(Op::Put { key, data: records::to_value(&record), lease: None });
        }
        self.transact_locking_machines(txn, TxnPurpose::RegisterMachines);
    }

    /// Notes machines that were provisioned while the cluster is being set up. They may send
    /// heartbeats before the setup has ended, and do not belong to the machines that were
    /// running before.
    pub(super) fn update_newly_provisioned(&mut self, names: &[String]) {
        if self.is_cluster_bootstrapping() {
            self.autoscaler.add_newly_provisioned(names);
        } else {
            self.autoscaler.clear_newly_provisioned();
        }
    }

    /// Whether the cluster is being set up: less than 1.5 heartbeat intervals of its first term
    /// have passed. A machine that sends heartbeats then, and was not provisioned by the
    /// controllers, was running before.
    pub(super) fn is_cluster_bootstrapping(&self) -> bool {
        let since = self.leadership.since_first_leader(self.now);
        self.term() == 1 && since.is_some_and(|since| since < self.heartbeat_intervals(1.5))
    }
}
