//! The leader's reassignment of waiting tasks to other controllers.
//!
//! Tasks are reassigned if their controller is gone, if it has no machine that could ever run
//! them, or if it has no room for them while another controller has. Of the tasks that already
//! wait at a controller, only those count against its room that compete for it: not those of which
//! none fits there now or whose team is at its limit, and not those of stalled jobs.

#![warn(missing_docs)]

use super::capacity::CountedTasks;
use super::quota::{RemainingQuota, has_limit};
use super::scheduler::waiting_tasks_by_controller;
use super::task_ranges::AssignmentView;
use super::*;
use crate::coordination::shards::{
    JobProgress, ShardMachineKinds, ShardQueue, StalledJobs, fitting_tasks_by_member, queued_tasks,
};
use crate::placement::MachineCapacity;
use crate::protocol::store::{Condition, Op};
use crate::protocol::user::{JobKind, Priority};
use crate::state::Job;
use crate::state::records::{JobRecord, TaskRange};

/// Waiting time after which the leader considers assigning a job's tasks to a controller with
/// more room, in heartbeat intervals.
const MIN_WAIT_HEARTBEATS: f64 = 0.25;
/// A job that has waited beside room for this many heartbeat intervals without a start is stalled.
/// Tasks that may start do so within a fraction of one, unless writes are scarce.
const STALLED_HEARTBEATS: f64 = 4.0;

/// The queues of all controllers.
type Queues = BTreeMap<String, ShardQueue>;

/// A waiting job with what it needs and finds at each controller.
struct QueuedJob<'a> {
    uid: &'a str,
    job: &'a Job,
    counted: CountedTasks,
    /// How many of its tasks each controller's shard has room for, its queue left aside.
    room: BTreeMap<&'a str, u32>,
    /// What it adds to the queue of each controller.
    queues: Queues,
}

/// A reassignment of a job's tasks, and how urgent it is.
struct Reassignment {
    uid: String,
    task_ranges: Vec<TaskRange>,
    /// Whether others go before it while writes are scarce.
    can_wait: bool,
    misses_deadline: bool,
}

impl QueuedJob<'_> {
    /// Whether a controller to which its tasks are assigned has room for them.
    fn has_room(&self) -> bool {
        let needed = if self.job.spec.kind == JobKind::Gang { self.job.spec.task_count } else { 1 };
        let assigned = waiting_tasks_by_controller(self.job).filter(|(_, tasks)| *tasks > 0.0);
        assigned.map(|(member, _)| self.room_at(member)).any(|tasks| tasks >= needed)
    }

    /// How far the job has come.
    fn progress(&self) -> JobProgress {
        let Job { placed, done, .. } = *self.job;
        JobProgress { has_room: self.has_room(), starts: self.job.highest_attempt(), placed, done }
    }

    /// How many of its tasks the controller's shard has room for.
    fn room_at(&self, member: &str) -> u32 {
        self.room.get(member).copied().unwrap_or(0)
    }

    /// What its tasks add to the queues. `admitted` is how many of them its team's quota admits.
    fn queues_of_tasks(&self, admitted: f64) -> Queues {
        let mut queues = Queues::new();
        for (member, tasks) in waiting_tasks_by_controller(self.job) {
            let startable = if self.competes_at(member) { admitted } else { 0.0 };
            let queue = ShardQueue::of_tasks(tasks, startable, self.job.spec.cores);
            queues.entry(member.to_string()).or_default().add(queue);
        }
        queues
    }

    /// Whether its tasks compete for the room in the controller's shard: one of them could start
    /// there now. Machines are reserved for a gang that finds no room, so it always does.
    fn competes_at(&self, member: &str) -> bool {
        self.job.spec.kind == JobKind::Gang || self.room_at(member) > 0
    }
}

/// The number of the job's tasks, of those with these indices, that each controller has to start.
fn tasks_by_controller<'a>(task_ranges: &'a [TaskRange], waiting: &[u32]) -> BTreeMap<&'a str, u32> {
    let range_of = |index: &u32| task_ranges.iter().find(|range| (range.from..=range.to).contains(index));
    let mut tasks: BTreeMap<&str, u32> = BTreeMap::new();
    for range in waiting.iter().filter_map(range_of) {
        *tasks.entry(&range.member).or_default() += 1;
    }
    tasks
}

impl Controller {
    /// Reassigns waiting tasks if the controller that has them is gone, cannot run them, or has no
    /// room for them while another one has.
    pub(super) fn reassign_tasks(&mut self) {
        let mut stalled = std::mem::take(&mut self.sharding.stalled_jobs);
        let reassignments = self.plan_reassignments(&mut stalled);
        self.sharding.stalled_jobs = stalled;
        for reassignment in reassignments {
            // A part of the write rate stays reserved for accepting jobs and recording exits.
            let reserved = if reassignment.can_wait { self.transactions.write_rate() / 2.0 } else { 1.0 };
            if self.may_write(reserved) {
                self.write_task_ranges(&reassignment.uid, reassignment.task_ranges);
            }
        }
    }

    /// Writes new task ranges of a job.
    fn write_task_ranges(&mut self, uid: &str, task_ranges: Vec<TaskRange>) {
        let Some(job) = self.state.jobs.get(uid) else { return };
        let key = records::job_key(uid);
        let record = JobRecord { task_ranges, ..job.rec.rec.clone() };
        let txn = Txn {
            conditions: vec![self.leader_condition(), Condition { key: key.clone(), version: job.rec.version }],
            ops: vec![Op::Put { key, data: records::to_value(&record), lease: None }],
        };
        self.transact(txn, TxnPurpose::ReassignTasks);
    }

    /// The reassignments that are due, the most urgent first.
    fn plan_reassignments(&self, stalled: &mut StalledJobs) -> Vec<Reassignment> {
        let capacities_by_kind =
            [CountedTasks::All, CountedTasks::ExceptArrays].map(|counted| self.capacities_counting(true, counted));
        let capacities_of = |counted: CountedTasks| &capacities_by_kind[usize::from(counted != CountedTasks::All)];
        let kinds = ShardMachineKinds::of(&self.state);
        let waiting = self.state.jobs.iter().filter(|(_, job)| job.waiting_count() > 0);
        let mut queued: Vec<QueuedJob> = waiting.map(|(uid, job)| self.queued_job(uid, job, capacities_of)).collect();
        self.add_queues(&mut queued, stalled);
        let mut queues_by_priority: BTreeMap<(bool, Priority), Queues> = BTreeMap::new();
        let mut reassignments = Vec::new();
        for position in 0..queued.len() {
            let entry = &queued[position];
            let starts_soon = entry.counted == CountedTasks::ExceptArrays;
            let priority = entry.job.spec.priority;
            if !self.may_reassign(entry) {
                continue;
            }
            let all_queues = queues_by_priority
                .entry((starts_soon, priority))
                .or_insert_with(|| total_queues(&queued, entry.counted, priority));
            let mut other_queues = all_queues.clone();
            for (member, queue) in &entry.queues {
                other_queues.entry(member.clone()).or_default().remove(*queue);
            }
            let zones = self.state.tasks_by_zone(entry.job);
            let capacities = capacities_of(entry.counted);
            let view = AssignmentView { capacities, kinds: &kinds, queues: &other_queues, tasks_by_zone: &zones };
            let Some(task_ranges) = self.better_task_ranges(entry, &view) else { continue };
            // Later jobs in this round find these tasks in the queues of their new controllers.
            let moved = moved_queues(entry, &task_ranges);
            reassignments.push(Reassignment {
                uid: entry.uid.to_string(),
                task_ranges,
                can_wait: !starts_soon,
                misses_deadline: !self.can_meet_deadline(entry.job),
            });
            if !entry.queues.is_empty() {
                queued[position].queues = moved;
                queues_by_priority.retain(|(soon, _), _| *soon != starts_soon);
            }
        }
        reassignments.sort_by_key(|entry| (entry.can_wait, entry.misses_deadline));
        reassignments
    }

    /// The waiting job with the room for it at each controller.
    fn queued_job<'a, 'b: 'a>(
        &self,
        uid: &'a str,
        job: &'a Job,
        capacities_of: impl Fn(CountedTasks) -> &'b Vec<(String, MachineCapacity)>,
    ) -> QueuedJob<'a> {
        let counted = self.counted_tasks(&job.spec);
        let zones = self.state.tasks_by_zone(job);
        let room = fitting_tasks_by_member(capacities_of(counted), &job.spec, &zones);
        QueuedJob { uid, job, counted, room, queues: Queues::new() }
    }

    /// Fills in what the jobs add to the queues: nothing if they are stalled, or miss their
    /// objective, since others go before them then.
    fn add_queues(&self, queued: &mut [QueuedJob], stalled: &mut StalledJobs) {
        let limited = self.config.deployment.teams.iter().filter(|team| has_limit(team));
        let quota: BTreeMap<&str, RemainingQuota> =
            limited.map(|team| (team.name.as_str(), RemainingQuota::of(team, &self.state))).collect();
        let limit = self.heartbeat_intervals(STALLED_HEARTBEATS);
        for entry in queued {
            let job = entry.job;
            stalled.observe(entry.uid, entry.progress(), self.now);
            if stalled.is_stalled(entry.uid, self.now, limit) || !self.can_meet_deadline(job) {
                continue;
            }
            let waiting = job.waiting_count() as usize;
            let admitted = quota.get(job.spec.team.as_str()).map_or(waiting, |left| left.admits(&job.spec, waiting));
            entry.queues = entry.queues_of_tasks(admitted as f64);
        }
        stalled.retain(|uid| self.state.jobs.get(uid).is_some_and(|job| job.waiting_count() > 0));
    }

    /// Whether the job's tasks may be reassigned now: its record is not being written, and it has
    /// waited for a while or lost a controller.
    fn may_reassign(&self, entry: &QueuedJob) -> bool {
        if self.transactions.is_locked(&records::job_key(entry.uid)) {
            return false;
        }
        let min_wait = self.heartbeat_intervals(MIN_WAIT_HEARTBEATS);
        let has_waited = self.startup.fleet_known()
            && self.scheduler.waited(entry.uid, self.now).is_some_and(|waited| waited > min_wait);
        has_waited || self.has_lost_controller(entry.job)
    }

    /// Whether a controller to which tasks of the job are assigned is gone.
    fn has_lost_controller(&self, job: &Job) -> bool {
        let is_gone = |range: &TaskRange| !self.state.members.contains_key(&range.member);
        self.startup.members_known() && job.rec.rec.task_ranges.iter().any(is_gone)
    }

    /// New task ranges for the job, if there is a reason to reassign its tasks.
    fn better_task_ranges(&self, entry: &QueuedJob, view: &AssignmentView) -> Option<Vec<TaskRange>> {
        let job = entry.job;
        let task_ranges = &job.rec.rec.task_ranges;
        let waiting = job.waiting_tasks(self.state.checkpoint_size);
        let need = tasks_by_controller(task_ranges, &waiting);
        let assigned: u32 = need.values().sum();
        let has_unassigned = (assigned as usize) < waiting.len();
        let is_gone = |member: &&str| !self.state.members.contains_key(*member);
        let is_lost = self.has_lost_controller(job) && (has_unassigned || need.keys().any(is_gone));
        if !is_lost && !self.finds_room_elsewhere(entry, view, &need) && !self.runs_only_elsewhere(job, view, &need) {
            return None;
        }
        let new_ranges = self.task_ranges_for(&job.spec, &waiting, view);
        (new_ranges != *task_ranges).then_some(new_ranges)
    }

    /// Whether a controller has no room for the tasks that it `need`s to start, while another one
    /// has room for more than its own.
    fn finds_room_elsewhere(&self, entry: &QueuedJob, view: &AssignmentView, need: &BTreeMap<&str, u32>) -> bool {
        let fits = |member: &str| {
            let queue = view.queues.get(member).copied().unwrap_or_default();
            i64::from(entry.room_at(member)) - queued_tasks(&entry.job.spec, queue.competing_cores)
        };
        let need_at = |member: &str| i64::from(need.get(member).copied().unwrap_or(0));
        let is_short = need.keys().any(|member| fits(member) < need_at(member));
        is_short && self.state.members.keys().any(|member| fits(member) > need_at(member))
    }

    /// Whether a controller has no machine that could ever run its tasks of the job, while another
    /// one has.
    fn runs_only_elsewhere(&self, job: &Job, view: &AssignmentView, need: &BTreeMap<&str, u32>) -> bool {
        let hosts = self.members_that_can_host(&job.spec, view);
        !hosts.is_empty() && need.keys().any(|member| !hosts.contains(*member))
    }
}

/// The sum of what these jobs add to the queues, as far as they go before a job of this priority
/// for which these tasks count.
fn total_queues(queued: &[QueuedJob], counted: CountedTasks, priority: Priority) -> Queues {
    let mut queues = Queues::new();
    let goes_before = |entry: &&QueuedJob| entry.counted == counted && entry.job.spec.priority >= priority;
    for (member, queue) in queued.iter().filter(goes_before).flat_map(|entry| &entry.queues) {
        queues.entry(member.clone()).or_default().add(*queue);
    }
    queues
}

/// What the job adds to the queues once its waiting tasks are reassigned: they compete for the room
/// there.
fn moved_queues(entry: &QueuedJob, task_ranges: &[TaskRange]) -> Queues {
    let job = entry.job;
    let share = f64::from(job.waiting_count()) / f64::from(job.spec.task_count.max(1));
    let mut queues = Queues::new();
    for range in task_ranges {
        let tasks = f64::from(range.to - range.from + 1) * share;
        let startable = if entry.competes_at(&range.member) { tasks } else { 0.0 };
        let queue = ShardQueue::of_tasks(tasks, startable, job.spec.cores);
        queues.entry(range.member.clone()).or_default().add(queue);
    }
    queues
}
