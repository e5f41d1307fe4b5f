//! Preemption: stops tasks to place them again, for tasks of higher priority or because the
//! cloud will take their machine away.

use super::{Agents, MAX_HEARTBEAT_GAP_INTERVALS};
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
    /// The machine on which the task runs.
    pub(in crate::controller) machine: String,
    /// The job of the task.
    pub(in crate::controller) job: String,
    /// Index of the task within the job.
    pub(in crate::controller) index: u32,
    /// Number of the attempt that is stopped.
    pub(in crate::controller) attempt: u64,
    /// Time that the task gets to save a checkpoint, in seconds.
    pub(in crate::controller) grace_period_s: f64,
}

impl Preemption {
    /// The preemption of an attempt of a job's task.
    pub(in crate::controller) fn of_task(machine: &str, key: (String, u32, u64), grace_period_s: f64) -> Preemption {
        let (job, index, attempt) = key;
        Preemption { machine: machine.to_string(), job, index, attempt, grace_period_s }
    }

    /// The preemption of a placed task of a job.
    fn of_placement(uid: &str, placement: &Placement, grace_period_s: f64) -> Preemption {
        Preemption {
            machine: placement.machine.clone(),
            job: uid.to_string(),
            index: placement.index,
            attempt: placement.attempt,
            grace_period_s,
        }
    }
}

impl Agents {
    /// Marks the task as preempted: the next commands to its machine stop it.
    pub(in crate::controller) fn mark_preempted(&mut self, preemption: Preemption) {
        if let Some(machine) = self.machines.get_mut(&preemption.machine) {
            let key = (preemption.job, preemption.index, preemption.attempt);
            machine.preempted.insert(key, preemption.grace_period_s);
        }
    }
}

impl Controller {
    /// Preempts tasks, and commands their machines at once to stop them where that is possible.
    pub(in crate::controller) fn preempt(&mut self, preemptions: Vec<Preemption>) {
        let machines: BTreeSet<String> = preemptions.iter().map(|preemption| preemption.machine.clone()).collect();
        for preemption in preemptions {
            self.agents.mark_preempted(preemption);
        }
        for machine in machines {
            self.push_commands(&machine);
        }
    }

    /// Stops tasks on machines that the cloud will take away. Services move as long as they can
    /// start elsewhere at once, and tasks that save checkpoints do so. All others run on, as they
    /// may end before the machine is taken.
    pub(super) fn drain_machines_on_notice(&mut self) {
        let mut preemptions: Vec<Preemption> = Vec::new();
        let mut capacities: Option<Vec<MachineCapacity>> = None;
        for (name, machine) in self.agents.machines() {
            let notice = machine.preemption_notice_s.filter(|_| machine.report_proven && machine.token_confirmed);
            let Some(left_s) = notice else { continue };
            for ((uid, index), attempt) in self.state.placed_tasks.get(name).into_iter().flatten() {
                let key = (uid.clone(), *index, *attempt);
                let Some(job) = self.state.jobs.get(uid).filter(|job| !job.cancelled()) else { continue };
                if machine.preempted.contains_key(&key) || machine.has_ended(&key) {
                    continue;
                }
                let placement = Placement { machine: name.clone(), index: *index, attempt: *attempt };
                preemptions.extend(self.preemptions_on_notice(uid, job, &placement, left_s, &mut capacities));
            }
        }
        for preemption in &preemptions {
            tracing::debug!(
                job = %preemption.job,
                index = preemption.index,
                machine = %preemption.machine,
                grace_period_s = preemption.grace_period_s,
                "task moved on preemption notice"
            );
        }
        self.preempt(preemptions);
    }

    /// The preemptions that follow from one placement on a machine that the cloud takes away in
    /// `left_s` seconds. Free capacities are computed when first needed, and reduced by what moves.
    fn preemptions_on_notice(
        &self,
        uid: &str,
        job: &Job,
        placement: &Placement,
        left_s: f64,
        capacities: &mut Option<Vec<MachineCapacity>>,
    ) -> Vec<Preemption> {
        let save_s = job.spec.checkpoint_on_stop_s().filter(|save_s| left_s >= *save_s);
        match (job.spec.kind, save_s) {
            (JobKind::Service, _) => {
                let capacities = capacities.get_or_insert_with(|| self.own_capacities());
                let fits_elsewhere = self.reserve_elsewhere(capacities, &placement.machine, job, true);
                if fits_elsewhere { vec![Preemption::of_placement(uid, placement, 0.0)] } else { Vec::new() }
            }
            (JobKind::Array, Some(save_s)) => vec![Preemption::of_placement(uid, placement, save_s)],
            // All tasks of a gang must save at once, or the checkpoint fails.
            (JobKind::Gang, Some(save_s)) if self.all_tasks_run(uid, job) => {
                let placements = job.task_states.values().flat_map(|chunk| &chunk.rec.placements);
                placements.map(|placement| Preemption::of_placement(uid, placement, save_s)).collect()
            }
            (JobKind::Array | JobKind::Gang, _) => Vec::new(),
        }
    }

    /// Whether all placed tasks of the job are observed to run on machines of this controller.
    fn all_tasks_run(&self, uid: &str, job: &Job) -> bool {
        let max_silence = self.heartbeat_intervals(MAX_HEARTBEAT_GAP_INTERVALS);
        let is_running = |placement: &Placement| {
            self.agents.machine(&placement.machine).is_some_and(|machine| {
                let observed = machine.find(uid, placement.index, placement.attempt);
                machine.confirmed()
                    && machine.heard_at.is_some_and(|at| self.now.saturating_sub(at) < max_silence)
                    && observed.is_some_and(|task| task.state == TaskState::Running)
            })
        };
        job.task_states.values().flat_map(|chunk| &chunk.rec.placements).all(is_running)
    }
}
