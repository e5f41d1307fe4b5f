//! What a scheduling round reads of the other components.

use super::age_s;
use crate::config::Settings;
use crate::controller::agents::Agents;
use crate::controller::capacity::{Counted, counted_for};
use crate::controller::journal::Journal;
use crate::controller::transactions::Transactions;
use crate::effects::Instant;
use crate::protocol::cloud::MachineType;
use crate::protocol::user::{JobKind, JobSpec};
use crate::state::objectives::Objectives;
use crate::state::{ClusterState, Job, records};
use std::time::Duration;

/// The inputs of one scheduling round, none of which it changes.
#[derive(Clone, Copy)]
pub(in crate::controller) struct SchedulingRound<'a> {
    pub(super) now: Instant,
    /// Time of day, in milliseconds.
    pub(super) wall_ms: u64,
    pub(super) settings: &'a Settings,
    /// This controller's name.
    pub(super) member: &'a str,
    pub(super) state: &'a ClusterState,
    pub(super) transactions: &'a Transactions,
    pub(super) journal: &'a Journal,
    pub(super) agents: &'a Agents,
    pub(super) objectives: &'a Objectives,
    pub(super) machine_types: &'a [MachineType],
}

impl<'a> SchedulingRound<'a> {
    /// A time span given in heartbeat intervals of the agents.
    pub(super) fn heartbeat_intervals(&self, times: f64) -> Duration {
        Duration::from_secs_f64((self.settings.settings.workers.heartbeat_interval_s * times).max(0.0))
    }

    /// Seconds since the job was submitted.
    pub(super) fn age_s(&self, job: &Job) -> f64 {
        age_s(job, self.wall_ms)
    }

    /// Whether a transaction under way changes or rests on the job's record.
    pub(super) fn is_locked(&self, uid: &str) -> bool {
        self.transactions.is_locked(&records::job_key(uid))
    }

    /// Whether the job's record is known to be newer in the store than in the replica.
    pub(super) fn is_outdated(&self, uid: &str) -> bool {
        self.transactions.is_outdated(&records::job_key(uid))
    }

    /// Whether the objectives ask for the job's tasks to start so soon that arrays are
    /// stopped for them.
    pub(super) fn starts_soon(&self, spec: &JobSpec) -> bool {
        counted_for(spec, self.objectives) == Counted::Lasting
    }

    /// The ranges of the job's tasks that this controller has to place.
    pub(super) fn own_task_ranges(&self, job: &'a Job) -> impl Iterator<Item = (u32, u32)> + use<'a> {
        let member = self.member;
        job.rec.rec.task_ranges.iter().filter(move |range| range.member == member).map(|range| (range.from, range.to))
    }

    /// Whether less urgent work is stopped for the job: for a service that must start
    /// soon, or an array that can still meet its objective. What teams without a
    /// guarantee borrowed for minutes would otherwise keep others waiting for as long.
    pub(super) fn may_preempt(&self, job: &Job) -> bool {
        let has_start_objective = self.objectives.start_within(&job.spec).is_some();
        match job.spec.kind {
            JobKind::Gang => false,
            JobKind::Service => has_start_objective,
            JobKind::Array => {
                let has_end_objective = self.objectives.end_within(&job.spec).is_some();
                has_end_objective && super::can_meet_deadline(job, self.objectives, self.wall_ms) || has_start_objective
            }
        }
    }

    /// Whether an array's task that ran for `ran_s` keeps its job's objective if it runs
    /// on, and would miss it if it waited once more and started again.
    pub(super) fn would_miss_deadline_if_restarted(&self, job: &Job, ran_s: f64) -> bool {
        let age_s = self.age_s(job);
        let needs_s = job.spec.estimated_run_s;
        let deadline_s = self.objectives.end_within(&job.spec);
        deadline_s.is_some_and(|d| d >= age_s + (needs_s - ran_s).max(0.0) && d < age_s + needs_s * 2.0)
    }
}
