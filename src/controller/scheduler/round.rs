//! The inputs of a scheduling round, taken from the controller's other components.

#![warn(missing_docs)]

use super::age_s;
use crate::config::Settings;
use crate::controller::agents::Agents;
use crate::controller::capacity::{CountedTasks, counted_tasks_for};
use crate::controller::journal::Journal;
use crate::controller::transactions::Transactions;
use crate::effects::Instant;
use crate::protocol::cloud::MachineType;
use crate::protocol::time::duration_from_secs;
use crate::protocol::user::{JobKind, JobSpec};
use crate::state::objectives::Objectives;
use crate::state::{ClusterState, Job, records};
use std::time::Duration;

/// The inputs of one scheduling round, which only reads them.
#[derive(Clone, Copy)]
pub(in crate::controller) struct SchedulingRound<'a> {
    /// Time of the round on the controller's monotonic clock.
    pub(super) now: Instant,
    /// Time of day of the round, in milliseconds.
    pub(super) wall_ms: u64,
    /// Settings of the cluster and of this controller.
    pub(super) settings: &'a Settings,
    /// Name of this controller.
    pub(super) member: &'a str,
    /// This controller's replica of the cluster state.
    pub(super) state: &'a ClusterState,
    /// Transactions in flight, and records known to be newer than the replica.
    pub(super) transactions: &'a Transactions,
    /// Exits that are not stored yet.
    pub(super) journal: &'a Journal,
    /// What is known of the agents on this controller's machines.
    pub(super) agents: &'a Agents,
    /// Service level objectives of the jobs.
    pub(super) objectives: &'a Objectives,
    /// Machine types that the cloud offers.
    pub(super) machine_types: &'a [MachineType],
}

impl<'a> SchedulingRound<'a> {
    /// The duration of `count` heartbeat intervals of the agents.
    pub(super) fn heartbeat_intervals(&self, count: f64) -> Duration {
        duration_from_secs(self.settings.deployment.workers.heartbeat_interval_s * count)
    }

    /// Seconds since the job was submitted.
    pub(super) fn age_s(&self, job: &Job) -> f64 {
        age_s(job, self.wall_ms)
    }

    /// Whether a transaction in flight changes the job's record or depends on it.
    pub(super) fn is_locked(&self, uid: &str) -> bool {
        self.transactions.is_locked(&records::job_key(uid))
    }

    /// Whether the job's record is known to be newer in the store than in the replica.
    pub(super) fn is_outdated(&self, uid: &str) -> bool {
        self.transactions.is_outdated(&records::job_key(uid))
    }

    /// Whether the job's tasks must start so soon that arrays are preempted for them. That is so
    /// for services with an objective for their start.
    pub(super) fn must_start_soon(&self, spec: &JobSpec) -> bool {
        counted_tasks_for(spec, self.objectives) == CountedTasks::ExceptArrays
    }

    /// The job's task ranges that are assigned to this controller, as first and last index.
    pub(super) fn own_task_ranges(&self, job: &'a Job) -> impl Iterator<Item = (u32, u32)> + use<'a> {
        let member = self.member;
        job.rec.rec.task_ranges.iter().filter(move |range| range.member == member).map(|range| (range.from, range.to))
    }

    /// Whether tasks of lower priority may be preempted for the job: for a service with an
    /// objective for its start, or for an array that can still meet its objective. Otherwise
    /// tasks that run on borrowed capacity for minutes would keep the job waiting as long.
    pub(super) fn may_preempt(&self, job: &Job) -> bool {
        let has_start_objective = self.objectives.start_limit_s(&job.spec).is_some();
        match job.spec.kind {
            JobKind::Gang => false,
            JobKind::Service => has_start_objective,
            JobKind::Array => {
                let has_end_objective = self.objectives.completion_limit_s(&job.spec).is_some();
                has_end_objective && super::can_meet_deadline(job, self.objectives, self.wall_ms) || has_start_objective
            }
        }
    }

    /// Whether the job of an array task that has run for `ran_s` seconds meets its objective if
    /// the task runs on, and would miss it if the task had to wait and start again. Wait and new
    /// run together are taken to last twice the estimated duration.
    pub(super) fn would_miss_deadline_if_restarted(&self, job: &Job, ran_s: f64) -> bool {
        let age_s = self.age_s(job);
        let run_s = job.spec.estimated_run_s;
        let deadline_s = self.objectives.completion_limit_s(&job.spec);
        deadline_s.is_some_and(|deadline_s| {
            deadline_s >= age_s + (run_s - ran_s).max(0.0) && deadline_s < age_s + run_s * 2.0
        })
    }
}
