//! Scheduling rounds over the jobs leased to this controller: which waiting tasks
//! start, which tasks are stopped for more urgent ones, and what is written down first.

mod gangs;
mod preemption;
mod queue;
mod round;
mod starts;
mod write_order;

use super::Controller;
use crate::effects::Instant;
use crate::placement::Start;
use crate::placement::knapsack::Knapsack;
use crate::protocol::store::Op;
use crate::protocol::user::Status;
use crate::state::objectives::Objectives;
use crate::state::{ClusterState, Job, records};
pub(super) use gangs::is_partly_placed;
use queue::JobQueue;
pub(super) use queue::age_s;
use round::SchedulingRound;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

/// The queue of jobs with tasks to place, and when the next round is due.
#[derive(Debug, Default)]
pub(super) struct Scheduler {
    queue: JobQueue,
    /// Buffers of the knapsack, kept between rounds.
    knapsack: RefCell<Knapsack>,
    /// Something changed since the last round.
    round_requested: bool,
    /// No round before this time.
    next_round: Instant,
}

/// Estimates are often wrong by half: a job counts as late once its objective would
/// be missed by a run of this part of the estimate.
pub(super) const OPTIMISTIC_RUN_SHARE: f64 = 0.7;

impl Scheduler {
    /// Something changed that a scheduling round may act on.
    pub(super) fn request_round(&mut self) {
        self.round_requested = true;
    }

    /// Requests a round if `changed`.
    pub(super) fn request_round_if(&mut self, changed: bool) {
        self.round_requested |= changed;
    }

    /// Whether a round is due now; the next one follows after `pause` at the earliest.
    pub(super) fn begin_round(&mut self, now: Instant, pause: Duration) -> bool {
        let due = self.round_requested && now >= self.next_round;
        if due {
            self.round_requested = false;
            self.next_round = now + pause;
        }
        due
    }

    /// Forgets jobs that are no longer in the cluster state.
    pub(super) fn retain_known_jobs(&mut self, state: &ClusterState) {
        self.queue.retain_known(state);
    }

    /// How long the job's tasks have waited, if some do.
    pub(super) fn waited(&self, uid: &str, now: Instant) -> Option<Duration> {
        self.queue.get(uid).and_then(|queued| queued.waited(now))
    }

    /// A task of the job failed on the machine.
    pub(super) fn record_failure(&mut self, uid: &str, machine: &str, now: Instant, heartbeat_interval: Duration) {
        self.queue.record_failure(uid, machine, now, heartbeat_interval);
    }

    /// Whether the job itself is at fault for its failures, by all that is known here.
    pub(super) fn fails_everywhere(&self, uid: &str, done: u32) -> bool {
        self.queue.get(uid).is_some_and(|queued| queued.fails_everywhere(done))
    }
}

impl Controller {
    /// What is due for the jobs between scheduling rounds.
    pub(super) fn check_jobs(&mut self) {
        self.scheduler.request_round_if(self.journal.has_exits());
        self.scheduler.retain_known_jobs(&self.state);
        self.close_jobs();
        self.compact_ahead();
    }

    /// One scheduling round: writes exits down and starts what fits.
    pub(super) fn schedule(&mut self) {
        if !self.store.session.following() || !self.entitled() {
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
        // What can wait goes along with what is written first.
        let order = self.scheduler.write_order(&self.scheduling_round(), &starts);
        if order.jobs.is_empty() {
            return;
        }
        if !due && !order.urgent || !self.may_write_as(order.priority) {
            self.scheduler.request_round(); // until then more facts gather
            return;
        }
        self.write_segment(&order.jobs, starts);
    }

    /// What a scheduling round reads.
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

    /// Whether tasks that must start soon wait here.
    fn has_urgent_tasks(&self) -> bool {
        let round = self.scheduling_round();
        let is_urgent = |job: &Job| {
            job.waiting_count() > 0 && round.own_task_ranges(job).next().is_some() && round.starts_soon(&job.spec)
        };
        self.state.jobs.values().any(is_urgent)
    }

    /// Plans the starts of this round, and makes room for tasks that found none.
    fn plan_starts(&mut self) -> Vec<Start> {
        if !self.fresh() {
            return Vec::new();
        }
        let wall_ms = self.wall_ms();
        self.scheduler.queue.update(&self.state, self.now, wall_ms);
        let starts = self.scheduler.plan_starts(&self.scheduling_round(), self.own_capacities());
        // Machines that were not heard yet may have the room that is missing.
        if self.startup.fleet_known() {
            self.preempt_for_unplaced(&starts);
        }
        starts
    }

    /// Stops less urgent tasks for those that found no room and must start soon.
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

/// Whether the job can still meet its objective, if its tasks started now.
pub(super) fn can_meet_deadline(job: &Job, objectives: &Objectives, wall_ms: u64) -> bool {
    let age_s = age_s(job, wall_ms);
    let run_s = job.spec.estimated_run_s * OPTIMISTIC_RUN_SHARE;
    objectives.end_from(&job.spec, age_s, run_s).is_none_or(|deadline_s| deadline_s - age_s >= run_s)
}

/// Cores that the job's waiting tasks ask for, by the member they are leased
/// to; of a job in several parts, as if all had run equally far.
pub(super) fn queued(job: &Job) -> impl Iterator<Item = (&str, f64)> {
    let each = f64::from(job.waiting_count()) * job.spec.cores / f64::from(job.spec.task_count.max(1));
    job.rec.rec.task_ranges.iter().map(move |s| (s.member.as_str(), f64::from(s.to + 1 - s.from) * each))
}

/// The change that ends a job's record.
pub(super) fn end_op(uid: &str, status: Status, task_count: u32) -> Op {
    let rec = records::JobRecord { spec: None, end: Some(status), task_count, at_ms: 0, task_ranges: Vec::new() };
    Op::Put { key: records::job_key(uid), data: records::to_value(&rec), lease: None }
}

#[cfg(test)]
mod tests;
