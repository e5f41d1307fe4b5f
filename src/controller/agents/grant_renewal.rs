//! New grants for machines whose fencing tokens can rise no further within their present one.

use crate::controller::Controller;
use crate::controller::transactions::TxnPurpose;
use crate::protocol::store::{Op, Txn};
use crate::state::records::{self, MachineGroupRecord};
use std::collections::BTreeSet;

impl Controller {
    /// Gives up the grants of machines whose counters are exhausted. The leader then grants this
    /// controller's shard again, as after a restart, under an epoch in which the counters begin
    /// anew.
    pub(super) fn give_up_exhausted_grants(&mut self) {
        let exhausted = self.agents.machines().filter(|(_, machine)| machine.needs_new_grant());
        let records = exhausted.filter_map(|(name, _)| self.state.machines.get(name));
        let groups: BTreeSet<String> = records.map(|record| record.rec.group.clone()).collect();
        for group in groups {
            self.give_up_grant(&group);
        }
    }

    /// Gives up the grant of one machine group, unless its record is being written.
    fn give_up_grant(&mut self, group: &str) {
        let Some(rewrite) = self.group_rewrite(group).filter(|_| self.may_write(1.0)) else { return };
        let given_up = MachineGroupRecord { incarnation: records::NO_INCARNATION, ..rewrite.record };
        let conditions = rewrite.conditions.into();
        let ops = vec![Op::Put { key: rewrite.key, data: records::to_value(&given_up), lease: None }];
        tracing::info!(%group, term = given_up.term, epoch = given_up.epoch, "fencing token exhausted, grant given up");
        self.transact_locking_machines(Txn { conditions, ops }, TxnPurpose::GiveUpGrant);
    }
}
