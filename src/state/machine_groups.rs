//! Machine groups, and the grants under which their owners may command the machines.

#![warn(missing_docs)]

use super::cluster_state::ClusterState;
use super::records::{MachineGroupRecord, MachineRecord, ShardGrantRecord};
use super::versioned::{Versioned, remove_named, update_named};
use ciborium::Value;
use std::collections::BTreeSet;

/// The grant that applies to a machine group, in the form of a shard grant.
struct EffectiveGrant {
    /// The revision at which the grant was written.
    revision: u64,
    record: ShardGrantRecord,
}

impl ClusterState {
    /// Applies a put of a machine group.
    pub(super) fn put_machine_group(&mut self, name: &str, data: &Value, version: u64) {
        let previous = self.group_machines(name);
        update_named(&mut self.machine_groups, name, data, version);
        self.rebuild_group_machines(name, &previous);
    }

    /// Applies a deletion of a machine group.
    pub(super) fn delete_machine_group(&mut self, name: &str, version: u64) {
        let previous = self.group_machines(name);
        remove_named(&mut self.machine_groups, name, version);
        self.rebuild_group_machines(name, &previous);
    }

    /// Applies a put of a shard grant, which may change the grant of each of the member's
    /// machine groups.
    pub(super) fn put_shard_grant(&mut self, member: &str, data: &Value, version: u64) {
        update_named(&mut self.shard_grants, member, data, version);
        let groups = self.machine_groups.iter().filter(|(_, group)| group.rec.owner == member);
        let names: Vec<String> = groups.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.rebuild_group_machines(&name, &[]);
        }
    }

    /// The names of a group's machines; empty for an unknown group.
    fn group_machines(&self, name: &str) -> Vec<String> {
        self.machine_groups.get(name).map_or(Vec::new(), |group| group.rec.machines.clone())
    }

    /// Updates `machines` from a group that consisted of the machines `previous` before.
    fn rebuild_group_machines(&mut self, name: &str, previous: &[String]) {
        self.machine_changes += 1;
        let group = self.machine_groups.get(name);
        for machine in previous {
            if group.is_none_or(|group| !group.rec.machines.contains(machine)) {
                self.machines.remove(machine);
            }
        }
        let Some(group) = group else { return };
        let grant = self.effective_grant(group);
        for machine in &group.rec.machines {
            let rec = group.rec.machine_record(name, machine, grant.revision, &grant.record);
            self.machines.insert(machine.clone(), Versioned { rec, version: group.version });
        }
    }

    /// The grant that applies to a group: a later grant of its owner's whole shard, or else the
    /// one in the group's own record.
    ///
    /// A shard grant with a lower fencing token than the group's does not apply, even if it was
    /// written later: the machines have already seen the higher token.
    fn effective_grant(&self, group: &Versioned<MachineGroupRecord>) -> EffectiveGrant {
        let has_higher_token = |shard: &ShardGrantRecord| (shard.term, shard.epoch) > (group.rec.term, group.rec.epoch);
        let shard = self.shard_grants.get(&group.rec.owner);
        match shard.filter(|shard| shard.version > group.version && has_higher_token(&shard.rec)) {
            Some(shard) => EffectiveGrant { revision: shard.version, record: shard.rec.clone() },
            None => {
                let MachineGroupRecord { incarnation, term, epoch, .. } = group.rec;
                EffectiveGrant { revision: group.version, record: ShardGrantRecord { incarnation, term, epoch } }
            }
        }
    }

    /// The group's record with the grant that currently applies.
    ///
    /// A controller that rewrites a group for any other reason writes this form: the grant in
    /// the stored record may be superseded, and rewriting it would make it apply again.
    pub fn with_current_grant(&self, group: &Versioned<MachineGroupRecord>) -> MachineGroupRecord {
        let ShardGrantRecord { incarnation, term, epoch } = self.effective_grant(group).record;
        MachineGroupRecord { incarnation, term, epoch, ..group.rec.clone() }
    }

    /// Whether the group's owner is live, in the incarnation to which the group is granted.
    pub fn is_group_held(&self, group: &Versioned<MachineGroupRecord>) -> bool {
        self.is_live(&group.rec.owner, self.effective_grant(group).record.incarnation)
    }

    /// Live members that own groups which are granted to another incarnation of theirs, because
    /// they have restarted since. Sorted by name.
    pub fn restarted_members(&self) -> Vec<String> {
        let mut names = BTreeSet::new();
        for group in self.machine_groups.values() {
            if self.members.contains_key(&group.rec.owner) && !self.is_group_held(group) {
                names.insert(&group.rec.owner);
            }
        }
        names.into_iter().cloned().collect()
    }

    /// The version of a member's shard grant; 0 if there is none.
    pub fn shard_grant_version(&self, member: &str) -> u64 {
        self.shard_grants.get(member).map_or(0, |grant| grant.version)
    }

    /// Machines that were granted after revision `since`, each with the revision of its grant.
    pub fn machines_granted_since(&self, since: u64) -> impl Iterator<Item = (&String, u64)> {
        let machines = self.machines.iter().filter(move |(_, machine)| machine.rec.grant_revision > since);
        machines.map(|(name, machine)| (name, machine.rec.grant_revision))
    }

    /// Whether the member is live in this incarnation: its record, which is attached to its
    /// lease, exists.
    pub fn is_live(&self, member: &str, incarnation: u64) -> bool {
        self.members.get(member).is_some_and(|known| known.rec.incarnation == incarnation)
    }

    /// Whether the machine's owner is live, in the incarnation to which the machine is granted.
    pub fn is_machine_held(&self, machine: &MachineRecord) -> bool {
        self.is_live(&machine.owner, machine.incarnation)
    }
}

#[cfg(test)]
mod tests;
