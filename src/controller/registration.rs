//! Recording machines: those that report and those that were rented.

use super::*;
use crate::coordination::shards::{self};
use crate::protocol::store::{Condition, Op};
use records::MachineGroupRecord;

/// Rentals whose machines would take the leader's writes of this part of a
/// second, one by one, are recorded together.
pub(super) const GROUP_FROM: f64 = 0.5;

impl Controller {
    /// A machine that reports and is not known joins the block of whoever it
    /// reports to, under the leader's term and epoch 0, below any later grant:
    /// no earlier owner can exist. The leader levels the blocks afterwards.
    ///
    /// A copy of a report of long ago brought machines back that had been returned,
    /// and places on them that nobody heard of: so it must answer a call first.
    pub(super) fn enrol(&mut self, report: &Heartbeat) {
        if self.agents.probed_at(&report.machine).is_none() {
            return self.call_back(report);
        }
        let key = records::machine_group_key(&report.machine);
        let led = self.leader_name().is_some() && self.state.is_live(&self.process.member, self.process.incarnation);
        // What can be started on machines that are known already comes first.
        let need = 1.0 + self.transactions.write_rate() * ACCEPT_RESERVE;
        if !led
            || self.transactions.is_locked(&key)
            || self.releases.is_released(&report.machine)
            || !self.may_write(need)
        {
            return;
        }
        let rec = MachineGroupRecord {
            machine_type: report.machine_type.clone(),
            zone: report.zone.clone(),
            spot: report.spot,
            owner: self.process.member.clone(),
            incarnation: self.process.incarnation,
            term: self.term(),
            epoch: 0,
            base: self.beginning() && !self.autoscaler.newly_provisioned().contains(&report.machine),
            machines: vec![report.machine.clone()],
            drain: Vec::new(),
        };
        let txn = Txn {
            conditions: vec![
                self.leader_condition(),
                self.machine_groups_condition(),
                Condition { key: key.clone(), version: 0 },
            ],
            ops: vec![Op::Put { key, data: records::to_value(&rec), lease: None }],
        };
        self.txn_keyed(txn, Why::Enrol);
    }

    /// Holds while no pack was written that this view does not know.
    fn machine_groups_condition(&self) -> Condition {
        Condition { key: records::MACHINE_GROUPS_KEY.into(), version: self.state.machine_groups_version }
    }

    /// Records the machines of a large rental before they are up, in packs for
    /// the lightest blocks. Those of a small one are recorded as they report,
    /// by whoever they report to. No machine may be in two packs: this is
    /// conditional on none having a record of its own, and such records on no
    /// pack having been written meanwhile.
    pub(super) fn enrol_rentals(&mut self) {
        if self.transactions.is_locked(records::MACHINE_GROUPS_KEY)
            || !self.am_leader()
            || !self.autoscaler.has_unrecorded()
        {
            return;
        }
        if !self.may_write_as(WritePriority::Critical) {
            return;
        }
        let Some((offer, mut names)) = self.autoscaler.pop_unrecorded() else { return };
        let st = &self.config.settings.state;
        let members = self.state.members.len().max(1);
        // Records and conditions of one transaction are limited.
        names.truncate((st.txn_ops * 4).saturating_sub(2));
        names.retain(|n| !self.state.machines.contains_key(n));
        if names.is_empty() {
            return;
        }
        let size = names.len().div_ceil(members.min(st.txn_ops.saturating_sub(1).max(1)));
        let deaf = self.connectivity.unhearing_members(self.now).collect();
        let owners = shards::spread(&self.state, &deaf, &offer.machine_type, names.len(), size);
        let mut txn =
            Txn { conditions: vec![self.leader_condition(), self.machine_groups_condition()], ops: Vec::new() };
        txn.conditions.extend(names.iter().map(|n| Condition { key: records::machine_group_key(n), version: 0 }));
        let count = records::to_value(&self.leadership.request_count());
        txn.ops.push(Op::Put { key: records::MACHINE_GROUPS_KEY.into(), data: count, lease: None });
        for (machines, owner) in names.chunks(size).zip(owners) {
            let Some(to) = self.state.members.get(owner) else { continue };
            let rec = MachineGroupRecord {
                machine_type: offer.machine_type.clone(),
                zone: offer.zone.clone(),
                spot: offer.spot,
                owner: owner.to_string(),
                incarnation: to.rec.incarnation,
                term: self.term(),
                epoch: 0,
                base: false,
                machines: machines.to_vec(),
                drain: Vec::new(),
            };
            let key = records::machine_group_key(&machines[0]);
            txn.ops.push(Op::Put { key, data: records::to_value(&rec), lease: None });
        }
        self.txn_keyed(txn, Why::Enrol);
    }

    /// Machines that were rented while the cluster begins: they may be up before it has
    /// begun, and are not of those that stood there.
    pub(super) fn update_newly_provisioned(&mut self, names: &[String]) {
        if self.beginning() {
            self.autoscaler.add_newly_provisioned(names);
        } else {
            self.autoscaler.clear_newly_provisioned();
        }
    }

    /// Whether this is the first report interval of the cluster's first term: what
    /// reports and was not rented by us stood there before.
    pub(super) fn beginning(&self) -> bool {
        let since = self.leadership.since_first_leader(self.now);
        self.term() == 1 && since.is_some_and(|s| s < self.heartbeat_intervals(1.5))
    }
}
