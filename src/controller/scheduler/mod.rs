//! Scheduling rounds over the tasks assigned to this controller.
//!
//! A round decides which waiting tasks start on which of this controller's machines, which
//! running tasks are preempted for more urgent ones, and which starts and exits go into the
//! next log segment. Starts are ordered from the agents once their segment is stored (see
//! [`journal`](super::journal)).

#![warn(missing_docs)]

mod gangs;
mod preemption;
mod queue;
mod round;
mod starts;
mod write_order;

use super::Controller;
use crate::config::MachineLimits;
use crate::effects::Instant;
use crate::placement::Start;
use crate::placement::knapsack::Knapsack;
use crate::protocol::store::Op;
use crate::protocol::user::Status;
use crate::state::objectives::Objectives;
use crate::state::records::TaskRange;
use crate::state::{ClusterState, Job, records};
pub(super) use gangs::is_partly_placed;
use queue::JobQueue;
pub(super) use queue::age_s;
use round::SchedulingRound;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

/// The queue of jobs with tasks to place, and the time of the next round.
#[derive(Debug, Default)]
pub(super) struct Scheduler {
    queue: JobQueue,
    /// Knapsack solver, whose buffers are reused from one round to the next.
    knapsack: RefCell<Knapsack>,
    /// Whether something changed since the last round that a round may act on.
    round_requested: bool,
    /// Earliest time of the next round.
    next_round: Instant,
}

/// The part of the controller's memory that the knapsack's table may take.
const KNAPSACK_MEMORY_SHARE: f64 = 1.0 / 8.0;

/// A job counts as late only if it would miss its objective with a run of this share of its
/// estimated duration, since estimates are often wrong by half.
pub(super) const OPTIMISTIC_RUN_SHARE: f64 = 0.7;

impl Scheduler {
    /// An empty queue, and a knapsack solver that takes its share of the controller's memory.
    pub(super) fn new(limits: &MachineLimits) -> Scheduler {
        let knapsack = Knapsack::with_limit(limits.memory_share(KNAPSACK_MEMORY_SHARE));
        Scheduler { knapsack: RefCell::new(knapsack), ..Scheduler::default() }
    }

    /// Requests a round, because something changed that it may act on.
    pub(super) fn request_round(&mut self) {
        self.round_requested = true;
    }

    /// Requests a round if something `changed`.
    pub(super) fn request_round_if(&mut self, changed: bool) {
        self.round_requested |= changed;
    }

    /// Whether a round is due now. If so, the request counts as met, and the next round takes
    /// place after `pause` at the earliest.
    pub(super) fn begin_round(&mut self, now: Instant, pause: Duration) -> bool {
        let due = self.round_requested && now >= self.next_round;
        if due {
            self.round_requested = false;
            self.next_round = now + pause;
        }
        due
    }

    /// Drops the queue's entries for jobs that are no longer in the cluster state.
    pub(super) fn retain_known_jobs(&mut self, state: &ClusterState) {
        self.queue.retain_known(state);
    }

    /// How long the job has had waiting tasks; `None` if it has none.
    pub(super) fn waited(&self, uid: &str, now: Instant) -> Option<Duration> {
        self.queue.get(uid).and_then(|queued| queued.waited(now))
    }

    /// Records that a task of the job failed on the machine.
    pub(super) fn record_failure(&mut self, uid: &str, machine: &str, now: Instant, heartbeat_interval: Duration) {
        self.queue.record_failure(uid, machine, now, heartbeat_interval);
    }

    /// Whether the job's failures are taken to be its own fault: they occurred on several
    /// machines, and `done`, the number of its finished tasks, is 0.
    pub(super) fn fails_everywhere(&self, uid: &str, done: u32) -> bool {
        self.queue.get(uid).is_some_and(|queued| queued.fails_everywhere(done))
    }
}

impl Controller {
    /// Does the periodic work on jobs besides scheduling: requests a round for pending exits,
    /// ends complete jobs and frees log slots.
    pub(super) fn check_jobs(&mut self) {
        self.scheduler.request_round_if(self.journal.has_exits());
        self.scheduler.retain_known_jobs(&self.state);
        self.find_jobs_to_end();
        self.compact_ahead();
    }

    /// Runs a scheduling round: plans starts, and writes them and the pending exits to the log.
    pub(super) fn schedule(&mut self) {
        if !self.store.session.is_following() || !self.may_act() {
            return;
        }
        self.adopt_granted_machines();
        let revision = self.state.revision;
        self.transactions.forget_outdated(revision);
        let due = self.journal.is_due(self.now);
        if !self.can_write_segment() || !due && !self.has_urgent_tasks() {
            self.scheduler.request_round();
            return;
        }
        let mut starts: BTreeMap<String, Vec<Start>> = BTreeMap::new();
        for start in self.plan_starts() {
            starts.entry(start.uid.clone()).or_default().push(start);
        }
        // Facts that can wait go into the same segment as urgent ones, as far as there is room.
        let order = self.scheduler.write_order(&self.scheduling_round(), &starts);
        if order.jobs.is_empty() {
            return;
        }
        if !due && !order.urgent || !self.may_write_with_priority(order.priority) {
            self.scheduler.request_round(); // more entries accumulate until then
            return;
        }
        self.write_segment(&order.jobs, starts);
    }

    /// The inputs of a scheduling round at this moment.
    fn scheduling_round(&self) -> SchedulingRound<'_> {
        SchedulingRound {
            now: self.now,
            wall_ms: self.wall_ms(),
            settings: &self.config,
            member: &self.process.member,
            state: &self.state,
            transactions: &self.transactions,
            journal: &self.journal,
            agents: &self.agents,
            objectives: &self.service_levels.objectives,
            machine_types: self.cloud.catalog(),
        }
    }

    /// Whether tasks assigned to this controller wait that must start soon.
    fn has_urgent_tasks(&self) -> bool {
        let round = self.scheduling_round();
        let is_urgent = |job: &Job| {
            job.waiting_count() > 0 && round.own_task_ranges(job).next().is_some() && round.must_start_soon(&job.spec)
        };
        self.state.jobs.values().any(is_urgent)
    }

    /// Plans the starts of this round, and preempts tasks for urgent ones that found no room.
    fn plan_starts(&mut self) -> Vec<Start> {
        if !self.may_decide() {
            self.scheduler.request_round_if(self.is_replica_fresh());
            return Vec::new();
        }
        let wall_ms = self.wall_ms();
        self.scheduler.queue.update(&self.state, self.now, wall_ms);
        let starts = self.scheduler.plan_starts(&self.scheduling_round(), self.own_capacities());
        // Machines that have not been heard from yet may have the missing room.
        if self.startup.fleet_known() {
            self.preempt_for_unplaced(&starts);
        }
        starts
    }

    /// Preempts tasks of lower priority for tasks that found no room and must start soon.
    fn preempt_for_unplaced(&mut self, starts: &[Start]) {
        let round = self.scheduling_round();
        let unplaced = self.scheduler.unplaced_jobs(&round, starts);
        if unplaced.is_empty() {
            return;
        }
        let preemptions = self.scheduler.plan_preemptions(&round, &unplaced, self.own_capacities(), starts);
        self.preempt(preemptions);
    }
}

/// Whether the job would still meet its objective if its tasks started now; true for jobs
/// without one.
pub(super) fn can_meet_deadline(job: &Job, objectives: &Objectives, wall_ms: u64) -> bool {
    let age_s = age_s(job, wall_ms);
    let run_s = job.spec.estimated_run_s * OPTIMISTIC_RUN_SHARE;
    objectives.next_completion_limit_s(&job.spec, age_s, run_s).is_none_or(|deadline_s| deadline_s - age_s >= run_s)
}

/// The number of the job's waiting tasks by the controller that they are assigned to. Where they
/// are assigned to several controllers, all task ranges are taken to have the same share of
/// waiting tasks.
pub(super) fn waiting_tasks_by_controller(job: &Job) -> impl Iterator<Item = (&str, f64)> {
    let waiting_share = f64::from(job.waiting_count()) / f64::from(job.spec.task_count.max(1));
    let tasks = move |range: &TaskRange| f64::from(range.to + 1 - range.from) * waiting_share;
    job.rec.rec.task_ranges.iter().map(move |range| (range.member.as_str(), tasks(range)))
}

/// The change that ends a job: its record then has no specification and no task ranges, only
/// the final status.
pub(super) fn end_op(uid: &str, status: Status, task_count: u32) -> Op {
    let record = records::JobRecord {
        spec: None,
        final_status: Some(status),
        task_count,
        submitted_ms: 0,
        task_ranges: Vec::new(),
    };
    Op::Put { key: records::job_key(uid), data: records::to_value(&record), lease: None }
}

#[cfg(test)]
mod tests;
