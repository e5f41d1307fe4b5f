//! Free capacity on this controller's machines and on those of the others.

use super::Controller;
use crate::coordination::machine::Machine;
use crate::placement::MachineCapacity;
use crate::protocol::user::{JobKind, JobSpec};
use crate::protocol::worker::TaskState;
use crate::state::objectives::Objectives;
use crate::state::records::{MachineRecord, Versioned};
use crate::state::{Images, MachineLoad};

/// Which of the tasks placed on a machine take up its capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Counted {
    All,
    /// Not arrays: those make room for services that must start soon.
    Lasting,
}

/// Of an image that should have come, this part is taken to be still missing:
/// rates vary by a third.
const MIN_MISSING_SHARE: f64 = 0.2;
/// An agent that was silent for longer gets no tasks, in heartbeat intervals.
const SILENCE_LIMIT: f64 = 2.5;

/// Which tasks count when capacity for the job is sought: a service goes where its image
/// is, even if arrays must make room there.
pub(super) fn counted_for(spec: &JobSpec, objectives: &Objectives) -> Counted {
    let starts_soon = spec.kind == JobKind::Service && objectives.start_within(spec).is_some();
    if starts_soon { Counted::Lasting } else { Counted::All }
}

impl Controller {
    /// Free capacity of this controller's machines.
    pub(super) fn own_capacities(&self) -> Vec<MachineCapacity> {
        self.capacities(false).into_iter().map(|(_, capacity)| capacity).collect()
    }

    /// Free capacity, with its owner, of this controller's machines or of everyone's.
    pub(super) fn capacities(&self, everyone: bool) -> Vec<(String, MachineCapacity)> {
        self.capacities_counting(everyone, Counted::All)
    }

    /// The same, counting only some of the tasks.
    pub(super) fn capacities_counting(&self, everyone: bool, counted: Counted) -> Vec<(String, MachineCapacity)> {
        let with_owner = |(name, machine): (&String, &Versioned<MachineRecord>)| {
            let capacity = self.capacity_of(name, machine, everyone, counted)?;
            Some((machine.rec.owner.clone(), capacity))
        };
        self.state.machines.iter().filter_map(with_owner).collect()
    }

    /// Which tasks count when capacity for the job is sought.
    pub(super) fn counted(&self, spec: &JobSpec) -> Counted {
        counted_for(spec, &self.service_levels.objectives)
    }

    /// The machine's free capacity, if it may take tasks.
    fn capacity_of(
        &self,
        name: &str,
        machine: &Versioned<MachineRecord>,
        everyone: bool,
        counted: Counted,
    ) -> Option<MachineCapacity> {
        let record = &machine.rec;
        let is_own = self.owns(machine);
        let machine_type = self.machine_type(&record.machine_type)?;
        if record.drain || !is_own && !everyone || !self.state.owned(record) || !self.is_up(name) {
            return None;
        }
        let mut capacity = MachineCapacity::empty(name, machine_type, &record.zone, record.spot);
        if !is_own {
            self.subtract_placed_tasks(&mut capacity, counted);
            if let Some(images) = self.agents.images_elsewhere(name) {
                capacity.images[1] = images.clone();
            }
            return Some(capacity);
        }
        let agent = self.agents.machine(name)?;
        if !self.may_take_tasks(agent, everyone) {
            return None;
        }
        self.subtract_unplaced_tasks(&mut capacity, agent);
        self.subtract_placed_tasks(&mut capacity, counted);
        capacity.images[1] = agent.images.clone();
        if let Some(load) = self.state.loads.get(name) {
            capacity.fetching_gb = self.still_to_fetch_gb(agent, load, machine_type.pull_gb_per_s);
        }
        self.add_ended_tasks(&mut capacity, agent, counted);
        Some(capacity)
    }

    /// Whether an agent of ours may get tasks. One that has just joined cannot take any
    /// yet, but it is there: not counted among everyone's it would be rented again.
    fn may_take_tasks(&self, agent: &Machine, everyone: bool) -> bool {
        let limit = self.heartbeat_intervals(SILENCE_LIMIT);
        let silent = self.now.saturating_sub(agent.heard_at.unwrap_or(agent.owned_since));
        let is_ready = agent.heard_at.is_some() && silent < limit && agent.fencing_token == agent.token();
        let is_there = if everyone { silent < limit * 2 } else { is_ready };
        let is_leaving = agent.preemption_notice_s.is_some() || agent.releasing;
        is_there && !is_leaving && agent.cordoned_until <= self.now
    }

    /// What runs there though it should not takes room as well.
    fn subtract_unplaced_tasks(&self, capacity: &mut MachineCapacity, agent: &Machine) {
        let placed = self.state.placed.get(&capacity.machine);
        for seen in agent.tasks.iter().filter(|seen| seen.state != TaskState::Exited) {
            let key = (seen.task.job.clone(), seen.task.index);
            if placed.is_some_and(|placed| placed.contains_key(&key)) {
                continue;
            }
            match self.state.jobs.get(&seen.task.job) {
                Some(job) => capacity.take(&job.spec, 1),
                None => capacity.cores = 0.0,
            }
        }
    }

    fn subtract_placed_tasks(&self, capacity: &mut MachineCapacity, counted: Counted) {
        let Some(load) = self.state.loads.get(&capacity.machine) else { return };
        let mut used = load.all;
        if counted == Counted::Lasting {
            used.cores -= load.arrays.cores;
            used.gpus -= load.arrays.gpus;
            used.mem_gb -= load.arrays.mem_gb;
        }
        capacity.arrays = load.arrays;
        capacity.cores -= used.cores;
        capacity.gpus -= used.gpus;
        capacity.mem_gb -= used.mem_gb;
        capacity.images[0] = Images::clone(&load.images);
    }

    /// What is still to come of the images that the machine fetches.
    fn still_to_fetch_gb(&self, agent: &Machine, load: &MachineLoad, pull_gb_per_s: f64) -> f64 {
        let missing = load.by_image.iter().filter(|(image, _)| !agent.images.contains(*image));
        let to_fetch = missing.map(|(image, tasks)| {
            let since = agent.fetches.get(image).map_or(self.now, |since| *since);
            let fetched_gb = self.now.saturating_sub(since).as_secs_f64() * pull_gb_per_s;
            (tasks.image_gb - fetched_gb).max(tasks.image_gb * MIN_MISSING_SHARE)
        });
        to_fetch.sum()
    }

    /// Freed capacity counts at once, not only when the exit is stored.
    fn add_ended_tasks(&self, capacity: &mut MachineCapacity, agent: &Machine, counted: Counted) {
        let Some(placed) = self.state.placed.get(&capacity.machine) else { return };
        for (uid, index, attempt) in agent.over() {
            let Some(job) = self.state.jobs.get(uid) else { continue };
            let is_placed = placed.get(&(uid.clone(), *index)) == Some(attempt);
            if is_placed && (counted == Counted::All || job.spec.kind != JobKind::Array) {
                capacity.put_back(&job.spec);
            }
        }
    }
}
