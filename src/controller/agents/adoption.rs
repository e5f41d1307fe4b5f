//! Adoption of granted machines: keeps the machines in memory in line with this controller's shard.

use super::Agents;
use crate::controller::Controller;
use crate::controller::process::Process;
use crate::coordination::machine::Machine;
use crate::effects::Instant;
use crate::state::ClusterState;
use std::collections::BTreeMap;

impl Agents {
    /// Has the machines compared with the replica again, after that was read anew.
    pub(in crate::controller) fn invalidate_machines(&mut self) {
        self.applied_records_version = None;
    }

    /// Brings the machines in line with the grants in the replica.
    fn sync_with_grants(&mut self, state: &ClusterState, process: &Process, now: Instant) {
        if self.applied_records_version == Some(state.machine_changes) {
            return;
        }
        self.applied_records_version = Some(state.machine_changes);
        self.drop_not_owned(state, process);
        self.adopt_granted(state, process, now);
    }

    /// Drops machines that no longer belong to this controller, and keeps what is known of
    /// their images.
    fn drop_not_owned(&mut self, state: &ClusterState, process: &Process) {
        let is_not_owned = |name: &&String| !state.machines.get(*name).is_some_and(|record| process.owns(&record.rec));
        let not_owned: Vec<String> = self.machines.keys().filter(is_not_owned).cloned().collect();
        for name in not_owned {
            tracing::debug!(machine = %name, "machine left shard");
            if let Some(machine) = self.machines.remove(&name) {
                self.images_in_other_shards.insert(name, machine.images);
            }
        }
    }

    /// Adds machines under a new grant to this controller, with the images known to be on them.
    fn adopt_granted(&mut self, state: &ClusterState, process: &Process, now: Instant) {
        let mut adopted: BTreeMap<(u64, u64), usize> = BTreeMap::new();
        for (name, record) in state.machines.iter().filter(|(_, record)| process.owns(&record.rec)) {
            let (term, epoch) = (record.rec.term, record.rec.epoch);
            if let Some(machine) = self.machines.get_mut(name).filter(|machine| machine.is_under(term, epoch)) {
                // The same grant in a newer version of the record: the fencing token keeps its
                // counter.
                machine.grant_version = record.version;
                continue;
            }
            let mut machine = Machine::new(record.version, term, epoch, now);
            let images_of_tasks = state.machine_loads.get(name).map(|load| load.images.clone());
            machine.images = self.images_in_other_shards.remove(name).or(images_of_tasks).unwrap_or_default();
            self.machines.insert(name.clone(), machine);
            *adopted.entry((term, epoch)).or_default() += 1;
        }
        for ((term, epoch), machines) in adopted {
            tracing::info!(term, epoch, machines, revision = state.revision, "machines granted to this controller");
        }
    }
}

impl Controller {
    /// Brings the machines in memory in line with the grants in the replica.
    pub(in crate::controller) fn adopt_granted_machines(&mut self) {
        self.agents.sync_with_grants(&self.state, &self.process, self.now);
    }
}
