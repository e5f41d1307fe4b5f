//! Assignment of jobs' task ranges to controllers, and the end of jobs.
//!
//! Each waiting task is assigned to one controller, which alone may start it. The choice depends
//! on the capacities and the queues of all controllers. The leader may reassign the tasks later
//! (see [`reassignment`](super::reassignment)). A job whose last task is done or gone is ended by
//! one controller.

#![warn(missing_docs)]

use super::scheduler::{can_meet_deadline, end_op, waiting_tasks_by_controller};
use super::*;
use crate::coordination::shards::{self, ShardMachineKinds, ShardQueue};
use crate::placement::MachineCapacity;
use crate::protocol::store::{Condition, Op};
use crate::protocol::user::{JobKind, JobSpec, Priority, Status};
use crate::state::Job;
use crate::state::records::TaskRange;

/// What the assignment of a job's tasks depends on, besides the job.
pub(super) struct AssignmentView<'a> {
    /// The free capacities of all machines, with the controllers that own them.
    pub(super) capacities: &'a [(String, MachineCapacity)],
    /// The kinds of machines that each controller owns.
    pub(super) kinds: &'a ShardMachineKinds<'a>,
    /// The tasks that wait at each controller, those of the job left aside.
    pub(super) queues: &'a BTreeMap<String, ShardQueue>,
    /// The job's tasks by zone that are, or may still be, on machines.
    pub(super) tasks_by_zone: &'a BTreeMap<String, u32>,
}

impl Controller {
    /// Whether this controller has to end the job: the one that has the first task range, or the
    /// leader if that one is gone. Only one does, so that controllers do not make each other's
    /// writes conflict.
    pub(super) fn has_to_end(&self, uid: &str) -> bool {
        let Some(job) = self.state.jobs.get(uid) else { return false };
        let first = job.rec.rec.task_ranges.first().map(|range| &range.member);
        match first.filter(|member| self.state.members.contains_key(*member)) {
            Some(member) => *member == self.process.member,
            None => self.is_leader(),
        }
    }

    /// Finds complete jobs that this controller has to end. A job may have been completed while
    /// that was the duty of another controller, which is gone now, or while this controller had
    /// no session lease.
    pub(super) fn find_jobs_to_end(&mut self) {
        let complete = self.state.jobs.iter().filter(|(_, job)| job.complete());
        let own: Vec<String> = complete.map(|(uid, _)| uid.clone()).filter(|uid| self.has_to_end(uid)).collect();
        self.journal.mark_jobs_to_end(own);
    }

    /// Ends the records of jobs whose last task is done or gone, as far as the write rate allows.
    pub(super) fn end_complete_jobs(&mut self) {
        for uid in self.journal.take_jobs_to_end() {
            let key = records::job_key(&uid);
            let Some(job) = self.state.jobs.get(&uid).filter(|job| job.complete()) else { continue };
            // The replica may not show yet what was started just before the job was cancelled.
            let is_known = job.rec.version <= self.state.revision;
            let is_ready = is_known && !self.transactions.is_locked(&key) && !self.transactions.is_outdated(&key);
            // The cancellation itself was answered before, so the end of a cancelled job can wait
            // until there are writes to spare.
            let cancelled = job.cancelled();
            let may_write = match () {
                _ if !is_ready => false,
                _ if cancelled => self.may_write(1.0 + self.transactions.write_rate() * SPARE_WRITES_FRACTION),
                _ => self.may_write_with_priority(WritePriority::Responses),
            };
            let Some(job) = self.state.jobs.get(&uid).filter(|_| may_write) else {
                self.journal.mark_jobs_to_end([uid]);
                continue;
            };
            let status = if job.cancelled() { Status::Cancelled } else { Status::Done };
            let mut txn = Txn {
                conditions: vec![Condition { key, version: job.rec.version }],
                ops: vec![end_op(&uid, status, job.spec.task_count)],
            };
            let stored = job.task_states.iter().filter(|(_, chunk)| chunk.version > 0);
            let max_deletes = self.config.deployment.state.txn_ops - 1;
            txn.ops.extend(
                stored.map(|(range, _)| Op::Delete { key: records::checkpoint_key(&uid, *range) }).take(max_deletes),
            );
            self.transact(txn, TxnPurpose::Close);
        }
    }

    /// Assigns the job's waiting tasks to controllers.
    pub(super) fn task_ranges_for(&self, spec: &JobSpec, waiting: &[u32], view: &AssignmentView) -> Vec<TaskRange> {
        let members = self.assignable_members(spec, view);
        let as_a_whole = spec.kind == JobKind::Gang || spec.zone_affinity || spec.zone_anti_affinity;
        let mut waiting_with_image = BTreeMap::new();
        let waits_with_same_image =
            |job: &&Job| job.spec.image == spec.image && job.spec.uid != spec.uid && job.waiting_count() > 0;
        for range in self.state.jobs.values().filter(waits_with_same_image).flat_map(|job| &job.rec.rec.task_ranges) {
            let waiting: &mut u32 = waiting_with_image.entry(range.member.clone()).or_default();
            *waiting = waiting.saturating_add(range.to - range.from).saturating_add(1);
        }
        let longest_name = members.iter().map(String::len).max().unwrap_or(0);
        let tasks_per_record = records::task_range_size(
            self.config.deployment.state.value_kb,
            longest_name,
            self.state.checkpoint_size,
            spec.task_count,
        );
        let inputs = shards::AssignmentInputs {
            members: &members,
            capacities: view.capacities,
            queues: view.queues,
            tasks_per_record,
            tasks_by_zone: view.tasks_by_zone,
            waiting_with_image: &waiting_with_image,
        };
        shards::assign_task_ranges(spec, waiting, &inputs, &self.process.member, as_a_whole)
    }

    /// The controllers to which tasks of the job may be assigned: those that reach their machines
    /// and have some that could run the tasks; without any such, those that meet one condition.
    fn assignable_members(&self, spec: &JobSpec, view: &AssignmentView) -> Vec<String> {
        let reaches_machines = |member: &&String| !self.connectivity.is_controller_cut_off(member, self.now);
        let mut members: Vec<String> = self.state.members.keys().filter(reaches_machines).cloned().collect();
        if members.is_empty() {
            members.extend(self.state.members.keys().cloned());
        }
        let hosts = self.members_that_can_host(spec, view);
        if members.iter().any(|member| hosts.contains(member.as_str())) {
            members.retain(|member| hosts.contains(member.as_str()));
        }
        members
    }

    /// The live controllers with machines that could run tasks of the job if they were empty.
    pub(super) fn members_that_can_host<'a>(&self, spec: &JobSpec, view: &AssignmentView<'a>) -> BTreeSet<&'a str> {
        let mut hosts = view.kinds.hosts(spec, self.cloud.catalog(), view.tasks_by_zone);
        hosts.retain(|member| self.state.members.contains_key(*member));
        hosts
    }

    /// Whether the job would still meet its objective if its tasks started now.
    pub(super) fn can_meet_deadline(&self, job: &Job) -> bool {
        can_meet_deadline(job, &self.service_levels.objectives, self.wall_ms())
    }

    /// The queues of all controllers for a new job: the waiting tasks of services that must start
    /// soon, or of all other jobs, as `counted` says. Jobs of lower priority and jobs that miss
    /// their objective do not count, since others go before them. All others count in full; the
    /// leader looks more closely when the job waits.
    pub(super) fn queues_by_controller(
        &self,
        counted: CountedTasks,
        priority: Priority,
    ) -> BTreeMap<String, ShardQueue> {
        let mut queues: BTreeMap<String, ShardQueue> = BTreeMap::new();
        let goes_before = |job: &&Job| job.waiting_count() > 0 && job.spec.priority >= priority;
        for job in self.state.jobs.values().filter(goes_before) {
            if self.counted_tasks(&job.spec) == counted && self.can_meet_deadline(job) {
                for (member, tasks) in waiting_tasks_by_controller(job) {
                    let queue = ShardQueue::competing(tasks * job.spec.cores);
                    queues.entry(member.to_string()).or_default().add(queue);
                }
            }
        }
        queues
    }
}
