//! Assignment of jobs' task ranges to controllers, and the end of jobs.
//!
//! Each waiting task is assigned to one controller, which alone may start it. The leader
//! reassigns tasks if that controller is gone, or if it has no room for them while another has.
//! The choice depends on the queues of all controllers. A job whose last task is done or gone is
//! ended by one controller.

#![warn(missing_docs)]

use super::scheduler::{can_meet_deadline, end_op, waiting_cores_by_controller};
use super::*;
use crate::coordination::shards;
use crate::placement::MachineCapacity;
use crate::protocol::store::{Condition, Op};
use crate::protocol::user::{JobKind, JobSpec, Priority, Status};
use crate::state::Job;
use crate::state::records::{JobRecord, TaskRange};

/// Waiting time after which the leader considers assigning a job's tasks to a controller with
/// more room, in heartbeat intervals.
const MIN_WAIT_HEARTBEATS: f64 = 0.25;

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

    /// Reassigns waiting tasks if the controller that has them is gone, or has no room for them
    /// while another one has.
    pub(super) fn reassign_tasks(&mut self) {
        let size = self.state.checkpoint_size;
        let capacities_by_kind =
            [CountedTasks::All, CountedTasks::ExceptArrays].map(|counted| self.capacities_counting(true, counted));
        let mut queues_by_priority: BTreeMap<(bool, Priority), BTreeMap<String, f64>> = BTreeMap::new();
        let members: Vec<String> = self.state.members.keys().cloned().collect();
        let min_wait = self.heartbeat_intervals(MIN_WAIT_HEARTBEATS);
        let mut txns = Vec::new();
        for (uid, job) in &self.state.jobs {
            if job.waiting_count() == 0 || self.transactions.is_locked(&records::job_key(uid)) {
                continue;
            }
            let task_ranges = &job.rec.rec.task_ranges;
            let range_of = |index: u32| task_ranges.iter().find(|range| (range.from..=range.to).contains(&index));
            let assignee = |index: u32| range_of(index).map(|range| range.member.as_str());
            let is_gone = |member: &str| !self.state.members.contains_key(member);
            let any_gone = self.startup.members_known() && task_ranges.iter().any(|range| is_gone(&range.member));
            let has_waited = self.startup.fleet_known()
                && self.scheduler.waited(uid, self.now).is_some_and(|waited| waited > min_wait);
            if !any_gone && !has_waited {
                continue;
            }
            let waiting = job.waiting_tasks(size);
            let is_lost = any_gone && waiting.iter().any(|index| assignee(*index).is_none_or(is_gone));
            let starts_soon = self.counted_tasks(&job.spec) == CountedTasks::ExceptArrays;
            let capacities = &capacities_by_kind[usize::from(starts_soon)];
            let queues = queues_by_priority.entry((starts_soon, job.spec.priority));
            // The queues of all other jobs.
            let mut other_queues = queues
                .or_insert_with(|| self.queued_cores_by_controller(self.counted_tasks(&job.spec), job.spec.priority))
                .clone();
            for (member, cores) in waiting_cores_by_controller(job) {
                if let Some(queue) = other_queues.get_mut(member) {
                    *queue = (*queue - cores).max(0.0);
                }
            }
            let zones = self.state.tasks_by_zone(job);
            let waiting_with_image = BTreeMap::new();
            let inputs = shards::AssignmentInputs {
                members: &members,
                capacities,
                queued_cores: &other_queues,
                tasks_per_record: 1,
                tasks_by_zone: &zones,
                waiting_with_image: &waiting_with_image,
            };
            let capacity = inputs.free_tasks_by_member(&job.spec);
            let fitting_tasks =
                |member: &str| capacity.iter().find(|entry| entry.0 == member).map_or(0, |entry| entry.1);
            let mut need: BTreeMap<&str, u32> = BTreeMap::new();
            for member in waiting.iter().filter_map(|index| assignee(*index)) {
                *need.entry(member).or_default() += 1;
            }
            let is_short = need.iter().any(|(member, tasks)| fitting_tasks(member) < i64::from(*tasks));
            let has_spare =
                capacity.iter().any(|(member, fits)| *fits > i64::from(need.get(member).copied().unwrap_or(0)));
            let helps = is_short && has_spare;
            if !is_lost && !helps {
                continue;
            }
            let new_ranges = self.task_ranges_for(&job.spec, &waiting, capacities, &other_queues, &zones);
            if new_ranges == *task_ranges {
                continue;
            }
            let key = records::job_key(uid);
            let record = JobRecord { task_ranges: new_ranges, ..job.rec.rec.clone() };
            let txn = Txn {
                conditions: vec![self.leader_condition(), Condition { key: key.clone(), version: job.rec.version }],
                ops: vec![Op::Put { key, data: records::to_value(&record), lease: None }],
            };
            txns.push((!starts_soon, !self.can_meet_deadline(job), txn));
        }
        txns.sort_by_key(|entry| (entry.0, entry.1));
        for (can_wait, _, txn) in txns {
            // A part of the write rate stays reserved for accepting jobs and recording exits.
            if self.may_write(if can_wait { self.transactions.write_rate() / 2.0 } else { 1.0 }) {
                self.transact(txn, TxnPurpose::ReassignTasks);
            }
        }
    }

    /// Assigns the job's waiting tasks to controllers, depending on the free capacities of all
    /// shards, the controllers' queues, and the job's tasks by zone.
    pub(super) fn task_ranges_for(
        &self,
        spec: &JobSpec,
        waiting: &[u32],
        capacities: &[(String, MachineCapacity)],
        queues: &BTreeMap<String, f64>,
        zones: &BTreeMap<String, u32>,
    ) -> Vec<TaskRange> {
        let reaches_machines = |member: &&String| !self.connectivity.is_controller_cut_off(member, self.now);
        let mut members: Vec<String> = self.state.members.keys().filter(reaches_machines).cloned().collect();
        if members.is_empty() {
            members.extend(self.state.members.keys().cloned());
        }
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
            capacities,
            queued_cores: queues,
            tasks_per_record,
            tasks_by_zone: zones,
            waiting_with_image: &waiting_with_image,
        };
        shards::assign_task_ranges(spec, waiting, &inputs, &self.process.member, as_a_whole)
    }

    /// Whether the job would still meet its objective if its tasks started now.
    pub(super) fn can_meet_deadline(&self, job: &Job) -> bool {
        can_meet_deadline(job, &self.service_levels.objectives, self.wall_ms())
    }

    /// The cores that waiting tasks assigned to each controller need: of services that must start
    /// soon, or of all other jobs, as `counted` says. Jobs of lower priority and jobs that miss
    /// their objective do not count, since others go before them.
    pub(super) fn queued_cores_by_controller(
        &self,
        counted: CountedTasks,
        priority: Priority,
    ) -> BTreeMap<String, f64> {
        let mut queues = BTreeMap::new();
        let goes_before = |job: &&Job| job.waiting_count() > 0 && job.spec.priority >= priority;
        for job in self.state.jobs.values().filter(goes_before) {
            if self.counted_tasks(&job.spec) == counted && self.can_meet_deadline(job) {
                for (member, cores) in waiting_cores_by_controller(job) {
                    *queues.entry(member.to_string()).or_default() += cores;
                }
            }
        }
        queues
    }
}
