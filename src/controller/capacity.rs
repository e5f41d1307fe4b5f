//! Free capacity of this controller's machines and of the other controllers' machines.

#![warn(missing_docs)]

use super::Controller;
use crate::coordination::machine::Machine;
use crate::placement::MachineCapacity;
use crate::protocol::heartbeat_size::task_bytes;
use crate::protocol::user::{JobKind, JobSpec};
use crate::protocol::worker::TaskState;
use crate::state::objectives::Objectives;
use crate::state::records::{MachineRecord, Versioned};
use crate::state::{Images, MachineLoad};

/// Which of the tasks placed on a machine count as using its capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CountedTasks {
    /// All tasks.
    All,
    /// All tasks but those of arrays, which are preempted for services with a start objective.
    ExceptArrays,
}

/// Share of an image that counts as still to be fetched even if the fetch should be complete
/// by now, since fetch rates vary by a third.
const MIN_MISSING_SHARE: f64 = 0.2;
/// An agent that has been silent for this many heartbeat intervals gets no tasks.
const SILENCE_LIMIT_INTERVALS: f64 = 2.5;

/// Which tasks count when capacity for the job is sought. A service with a start objective
/// is placed where its image is, even if arrays have to be preempted there.
pub(super) fn counted_tasks_for(spec: &JobSpec, objectives: &Objectives) -> CountedTasks {
    let starts_soon = spec.kind == JobKind::Service && objectives.start_limit_s(spec).is_some();
    if starts_soon { CountedTasks::ExceptArrays } else { CountedTasks::All }
}

impl Controller {
    /// Free capacity of this controller's machines.
    pub(super) fn own_capacities(&self) -> Vec<MachineCapacity> {
        self.capacities(false).into_iter().map(|(_, capacity)| capacity).collect()
    }

    /// Free capacity, with its owner, of this controller's machines or of the machines of all
    /// controllers.
    pub(super) fn capacities(&self, all_owners: bool) -> Vec<(String, MachineCapacity)> {
        self.capacities_counting(all_owners, CountedTasks::All)
    }

    /// Free capacity as from [`Self::capacities`], where only the `counted` tasks use capacity.
    pub(super) fn capacities_counting(
        &self,
        all_owners: bool,
        counted: CountedTasks,
    ) -> Vec<(String, MachineCapacity)> {
        let with_owner = |(name, machine): (&String, &Versioned<MachineRecord>)| {
            let capacity = self.capacity_of(name, machine, all_owners, counted)?;
            Some((machine.rec.owner.clone(), capacity))
        };
        self.state.machines.iter().filter_map(with_owner).collect()
    }

    /// Which tasks count when capacity for the job is sought.
    pub(super) fn counted_tasks(&self, spec: &JobSpec) -> CountedTasks {
        counted_tasks_for(spec, &self.service_levels.objectives)
    }

    /// The machine's free capacity; none if it may not take tasks.
    fn capacity_of(
        &self,
        name: &str,
        machine: &Versioned<MachineRecord>,
        all_owners: bool,
        counted: CountedTasks,
    ) -> Option<MachineCapacity> {
        let record = &machine.rec;
        let is_own = self.owns(machine);
        let machine_type = self.machine_type(&record.machine_type)?;
        if record.draining || !is_own && !all_owners || !self.state.is_machine_held(record) || !self.is_up(name) {
            return None;
        }
        let mut capacity = MachineCapacity::empty(name, machine_type, &record.zone, record.spot);
        if !is_own {
            self.subtract_placed_tasks(&mut capacity, counted);
            if let Some(images) = self.agents.images_in_other_shards(name) {
                capacity.images[1] = images.clone();
            }
            return Some(capacity);
        }
        let agent = self.agents.machine(name)?;
        if !self.may_take_tasks(agent, all_owners) {
            return None;
        }
        self.subtract_unplaced_tasks(&mut capacity, agent);
        self.subtract_placed_tasks(&mut capacity, counted);
        capacity.images[1] = agent.images.clone();
        if let Some(load) = self.state.machine_loads.get(name) {
            capacity.fetching_gb = self.still_to_fetch_gb(agent, load, machine_type.pull_gb_per_s);
        }
        self.add_ended_tasks(&mut capacity, agent, counted);
        Some(capacity)
    }

    /// Whether one of this controller's agents may get tasks. An agent that has just joined
    /// cannot take any yet, but its machine counts in the capacity of all controllers, since
    /// otherwise the autoscaler would rent another one in its place.
    fn may_take_tasks(&self, agent: &Machine, all_owners: bool) -> bool {
        let silence_limit = self.heartbeat_intervals(SILENCE_LIMIT_INTERVALS);
        let silent = self.now.saturating_sub(agent.heard_at.unwrap_or(agent.owned_since));
        let is_ready = agent.heard_at.is_some() && silent < silence_limit && agent.has_shown_required_token();
        let is_there = if all_owners { silent < silence_limit * 2 } else { is_ready };
        let is_leaving = agent.preemption_notice_s.is_some() || agent.releasing;
        is_there && !is_leaving && agent.cordoned_until <= self.now
    }

    /// Subtracts what the machine reports without its being placed there: the resources of tasks
    /// that run, and the space of all attempts in the heartbeat. If the job of a task that runs is
    /// unknown, no cores count as free.
    fn subtract_unplaced_tasks(&self, capacity: &mut MachineCapacity, agent: &Machine) {
        let placed = self.state.placed_tasks.get(&capacity.machine);
        for reported in &agent.tasks {
            let key = (reported.task.job.clone(), reported.task.index);
            let placed_attempt = placed.and_then(|placed| placed.get(&key));
            if placed_attempt == Some(&reported.attempt) {
                continue;
            }
            let job = self.state.jobs.get(&reported.task.job);
            if reported.state == TaskState::Exited || placed_attempt.is_some() {
                capacity.heartbeat_bytes -=
                    task_bytes(&reported.task.job, reported.task.index.saturating_add(1)) as f64;
                continue;
            }
            match job {
                Some(job) => capacity.take(&job.spec, 1),
                None => capacity.cores = 0.0,
            }
        }
    }

    /// Subtracts what the `counted` tasks placed on the machine use.
    fn subtract_placed_tasks(&self, capacity: &mut MachineCapacity, counted: CountedTasks) {
        let Some(load) = self.state.machine_loads.get(&capacity.machine) else { return };
        let mut used = load.total;
        if counted == CountedTasks::ExceptArrays {
            used.add_scaled(load.array_tasks, -1.0);
        }
        capacity.used_by_arrays = load.array_tasks;
        capacity.subtract(&used);
        capacity.images[0] = Images::clone(&load.images);
    }

    /// Estimates how many gigabytes the machine still has to fetch of its tasks' images.
    fn still_to_fetch_gb(&self, agent: &Machine, load: &MachineLoad, pull_gb_per_s: f64) -> f64 {
        let missing = load.by_image.iter().filter(|(image, _)| !agent.images.contains(*image));
        let to_fetch = missing.map(|(image, tasks)| {
            let since = agent.fetches.get(image).map_or(self.now, |since| *since);
            let fetched_gb = self.now.saturating_sub(since).as_secs_f64() * pull_gb_per_s;
            (tasks.image_gb - fetched_gb).max(tasks.image_gb * MIN_MISSING_SHARE)
        });
        to_fetch.sum()
    }

    /// Adds back the capacity of tasks that have ended on the machine, so that it counts as
    /// free at once and not only when the exit is stored. Their space in the heartbeat comes free
    /// only once the agent may forget them.
    fn add_ended_tasks(&self, capacity: &mut MachineCapacity, agent: &Machine, counted: CountedTasks) {
        let Some(placed) = self.state.placed_tasks.get(&capacity.machine) else { return };
        for (uid, index, attempt) in agent.ended_attempts() {
            let Some(job) = self.state.jobs.get(uid) else { continue };
            let is_placed = placed.get(&(uid.clone(), *index)) == Some(attempt);
            if is_placed && (counted == CountedTasks::All || job.spec.kind != JobKind::Array) {
                capacity.release_ended(&job.spec);
            }
        }
    }
}
