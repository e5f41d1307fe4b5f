//! Following the grants: which machines belong to this controller's shard.

use super::Agents;
use crate::controller::Controller;
use crate::controller::process::Process;
use crate::coordination::machine::Machine;
use crate::effects::Instant;
use crate::state::ClusterState;

impl Agents {
    /// The replica was read anew: the machines are compared with it again.
    pub(in crate::controller) fn forget_followed_records(&mut self) {
        self.followed_records = None;
    }

    /// Brings the machines in line with the grants in the replica.
    fn follow_grants(&mut self, state: &ClusterState, process: &Process, now: Instant) {
        if self.followed_records == Some(state.machines_changed) {
            return;
        }
        self.followed_records = Some(state.machines_changed);
        self.drop_lost(state, process);
        self.adopt_granted(state, process, now);
    }

    fn drop_lost(&mut self, state: &ClusterState, process: &Process) {
        let is_lost = |name: &&String| !state.machines.get(*name).is_some_and(|record| process.owns(&record.rec));
        let lost: Vec<String> = self.machines.keys().filter(is_lost).cloned().collect();
        for name in lost {
            tracing::debug!(machine = %name, "machine_left_shard");
            if let Some(machine) = self.machines.remove(&name) {
                self.images_elsewhere.insert(name, machine.images);
            }
        }
    }

    fn adopt_granted(&mut self, state: &ClusterState, process: &Process, now: Instant) {
        for (name, record) in state.machines.iter().filter(|(_, record)| process.owns(&record.rec)) {
            let (term, epoch) = (record.rec.term, record.rec.epoch);
            if let Some(machine) = self.machines.get_mut(name).filter(|machine| machine.is_under(term, epoch)) {
                // The same grant with another mark on it keeps its counter.
                machine.grant = record.version;
                continue;
            }
            let mut machine = Machine::new(record.version, term, epoch, now);
            let images_of_tasks = state.loads.get(name).map(|load| load.images.clone());
            machine.images = self.images_elsewhere.remove(name).or(images_of_tasks).unwrap_or_default();
            self.machines.insert(name.clone(), machine);
        }
    }
}

impl Controller {
    /// Brings the machines in memory in line with the grants in the replica.
    pub(in crate::controller) fn adopt_granted_machines(&mut self) {
        self.agents.follow_grants(&self.state, &self.process, self.now);
    }
}
