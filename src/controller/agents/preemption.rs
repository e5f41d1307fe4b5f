//! Stopping tasks to place them again: for more urgent ones, or because their machine
//! will be taken away.

use super::{Agents, MAX_HEARTBEAT_GAP};
use crate::controller::Controller;
use crate::placement::MachineCapacity;
use crate::protocol::user::JobKind;
use crate::protocol::worker::TaskState;
use crate::state::Job;
use crate::state::records::Placement;
use std::collections::BTreeSet;

/// A task that is stopped on its machine, to be placed again.
#[derive(Debug)]
pub(in crate::controller) struct Preemption {
    pub(in crate::controller) machine: String,
    pub(in crate::controller) job: String,
    pub(in crate::controller) index: u32,
    pub(in crate::controller) attempt: u64,
    /// Time to save a checkpoint.
    pub(in crate::controller) grace_period_s: f64,
}

impl Preemption {
    /// The stop of an attempt of a job's task.
    pub(in crate::controller) fn of_task(machine: &str, key: (String, u32, u64), grace_period_s: f64) -> Preemption {
        let (job, index, attempt) = key;
        Preemption { machine: machine.to_string(), job, index, attempt, grace_period_s }
    }

    fn of_place(uid: &str, place: &Placement, grace_period_s: f64) -> Preemption {
        Preemption {
            machine: place.machine.clone(),
            job: uid.to_string(),
            index: place.index,
            attempt: place.attempt,
            grace_period_s,
        }
    }
}

impl Agents {
    /// The task is to be stopped; its machine is told with the next commands.
    pub(in crate::controller) fn mark_preempted(&mut self, preemption: Preemption) {
        if let Some(machine) = self.machines.get_mut(&preemption.machine) {
            let key = (preemption.job, preemption.index, preemption.attempt);
            machine.preempted.insert(key, preemption.grace_period_s);
        }
    }
}

impl Controller {
    /// Stops tasks on their machines, which are told at once where that is possible.
    pub(in crate::controller) fn preempt(&mut self, preemptions: Vec<Preemption>) {
        let machines: BTreeSet<String> = preemptions.iter().map(|preemption| preemption.machine.clone()).collect();
        for preemption in preemptions {
            self.agents.mark_preempted(preemption);
        }
        for machine in machines {
            self.push_commands(&machine);
        }
    }

    /// Machines that the cloud will take away: services move while they can
    /// start elsewhere at once, what saves checkpoints does so, and the rest runs on in
    /// the hope of an end before that.
    pub(super) fn drain_preempted(&mut self) {
        let mut preemptions: Vec<Preemption> = Vec::new();
        let mut capacities: Option<Vec<MachineCapacity>> = None;
        for (name, machine) in self.agents.machines() {
            let notice = machine.preemption_notice_s.filter(|_| machine.sure && machine.ready);
            let Some(left_s) = notice else { continue };
            for ((uid, index), attempt) in self.state.placed.get(name).into_iter().flatten() {
                let key = (uid.clone(), *index, *attempt);
                let Some(job) = self.state.jobs.get(uid).filter(|job| !job.cancelled()) else { continue };
                if machine.preempted.contains_key(&key) || machine.is_over(&key) {
                    continue;
                }
                let place = Placement { machine: name.clone(), index: *index, attempt: *attempt };
                preemptions.extend(self.preemptions_on_notice(uid, job, &place, left_s, &mut capacities));
            }
        }
        for preemption in &preemptions {
            tracing::debug!(
                job = %preemption.job,
                index = preemption.index,
                machine = %preemption.machine,
                grace_period_s = preemption.grace_period_s,
                "task_moved_on_preemption_notice"
            );
        }
        self.preempt(preemptions);
    }

    /// Which tasks are stopped for one whose machine is taken away in `left_s` seconds.
    /// Free capacities are looked up when first needed, and taken from.
    fn preemptions_on_notice(
        &self,
        uid: &str,
        job: &Job,
        place: &Placement,
        left_s: f64,
        capacities: &mut Option<Vec<MachineCapacity>>,
    ) -> Vec<Preemption> {
        let save_s = job.spec.saves_in().filter(|save_s| left_s >= *save_s);
        match (job.spec.kind, save_s) {
            (JobKind::Service, _) => {
                let capacities = capacities.get_or_insert_with(|| self.own_capacities());
                let moves = self.takes_elsewhere(capacities, &place.machine, job, true);
                if moves { vec![Preemption::of_place(uid, place, 0.0)] } else { Vec::new() }
            }
            (JobKind::Array, Some(save_s)) => vec![Preemption::of_place(uid, place, save_s)],
            // All save at once, or the checkpoint fails.
            (JobKind::Gang, Some(save_s)) if self.runs_everywhere(uid, job) => {
                let places = job.chunks.values().flat_map(|chunk| &chunk.rec.on);
                places.map(|place| Preemption::of_place(uid, place, save_s)).collect()
            }
            (JobKind::Array | JobKind::Gang, _) => Vec::new(),
        }
    }

    /// Whether all placed tasks of the job are seen to run on machines of ours.
    fn runs_everywhere(&self, uid: &str, job: &Job) -> bool {
        let recent = self.heartbeat_intervals(MAX_HEARTBEAT_GAP);
        let runs = |place: &Placement| {
            self.agents.machine(&place.machine).is_some_and(|machine| {
                let seen = machine.find(uid, place.index, place.attempt);
                machine.confirmed()
                    && machine.heard_at.is_some_and(|at| self.now.saturating_sub(at) < recent)
                    && seen.is_some_and(|seen| seen.state == TaskState::Running)
            })
        };
        job.chunks.values().flat_map(|chunk| &chunk.rec.on).all(runs)
    }
}
