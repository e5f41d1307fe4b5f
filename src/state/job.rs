//! Jobs in the replica, and the state of their tasks.

#![warn(missing_docs)]

use super::index_ranges::{add_to_ranges, in_ranges};
use super::log_segment::LogEntries;
use super::records::{JobRecord, TaskRangeCheckpoint};
use super::task_placement::Placement;
use super::versioned::Versioned;
use crate::protocol::user::{JobSpec, Status};
use std::collections::BTreeMap;
use std::ops::Range;

/// A job that is not over, or is cancelled and may still have tasks on machines.
#[derive(Debug)]
pub struct Job {
    /// The job's specification.
    pub spec: JobSpec,
    /// The job's record.
    pub rec: Versioned<JobRecord>,
    /// The state of the job's tasks, by checkpoint number. A checkpoint has no entry as long as
    /// none of its tasks has started.
    pub task_states: BTreeMap<u32, TaskRangeState>,
    /// The number of completed tasks.
    pub done: u32,
    /// The number of tasks that have a placement.
    pub placed: u32,
}

/// The result of a job that is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedJob {
    /// The final status, `Done` or `Cancelled`.
    pub status: Status,
    /// The number of tasks of the job.
    pub task_count: u32,
}

/// The state of the tasks that share one checkpoint: the stored checkpoint with the log
/// entries since then applied to it.
#[derive(Debug, Clone, Default)]
pub struct TaskRangeState {
    /// The current state, in the form of a checkpoint.
    pub rec: TaskRangeCheckpoint,
    /// The version of the checkpoint in the store; 0 if there is none.
    pub version: u64,
    /// The revision of the newest segment or checkpoint that `rec` contains.
    pub last_revision: u64,
}

/// The changes that the entries of a segment made to the tasks of one checkpoint.
#[derive(Debug, Default)]
pub(super) struct TaskRangeChanges {
    /// The number of tasks that completed.
    pub(super) completed: u32,
    /// The placements that were added.
    pub(super) started: Vec<Placement>,
    /// The placements that were removed.
    pub(super) removed: Vec<Placement>,
}

impl Job {
    /// Creates a job none of whose tasks has started.
    pub(super) fn new(spec: JobSpec, rec: Versioned<JobRecord>) -> Job {
        Job { spec, rec, task_states: BTreeMap::new(), done: 0, placed: 0 }
    }

    /// The number of checkpoints, of `size` tasks each, that cover the job's tasks.
    pub fn checkpoint_count(&self, size: u32) -> u32 {
        self.spec.task_count.div_ceil(size)
    }

    /// The indexes of the tasks of a checkpoint; empty if the job has no such checkpoint.
    /// Checkpoints have `size` tasks each.
    pub(super) fn checkpoint_indexes(&self, number: u32, size: u32) -> Range<u32> {
        let from = number.saturating_mul(size).min(self.spec.task_count);
        from..from.saturating_add(size).min(self.spec.task_count)
    }

    /// Whether the job has been cancelled.
    pub fn cancelled(&self) -> bool {
        self.rec.rec.final_status == Some(Status::Cancelled)
    }

    /// Whether no task is left to start or to wait for, so that the job's end can be
    /// recorded.
    pub fn complete(&self) -> bool {
        if self.cancelled() { self.placed == 0 } else { self.done >= self.spec.task_count }
    }

    /// Whether the task has completed. Checkpoints have `size` tasks each.
    pub fn is_done(&self, index: u32, size: u32) -> bool {
        let range = self.task_states.get(&(index / size));
        range.is_some_and(|range| in_ranges(&range.rec.done, index))
    }

    /// The placement of the task, if it was started and has not ended. Checkpoints have `size`
    /// tasks each.
    pub fn placement(&self, index: u32, size: u32) -> Option<&Placement> {
        let range = self.task_states.get(&(index / size))?;
        range.rec.placements.iter().find(|placement| placement.index == index)
    }

    /// The indexes of the tasks that are neither completed nor started, in ascending order.
    /// Empty if the job is cancelled. Checkpoints have `size` tasks each.
    pub fn waiting_tasks(&self, size: u32) -> Vec<u32> {
        if self.cancelled() || self.done + self.placed >= self.spec.task_count {
            return Vec::new();
        }
        let mut taken = vec![false; self.spec.task_count as usize];
        for (number, range) in &self.task_states {
            let end = self.checkpoint_indexes(*number, size).end;
            for (from, to) in &range.rec.done {
                let to = (to + 1).min(end);
                taken[(*from).min(to) as usize..to as usize].fill(true);
            }
            for placement in range.rec.placements.iter().filter(|placement| placement.index < end) {
                taken[placement.index as usize] = true;
            }
        }
        (0..self.spec.task_count).filter(|index| !taken[*index as usize]).collect()
    }

    /// The number of tasks that are neither completed nor started; 0 if the job is cancelled.
    pub fn waiting_count(&self) -> u32 {
        if self.cancelled() { 0 } else { self.spec.task_count.saturating_sub(self.done + self.placed) }
    }

    /// The highest attempt number that any of the job's tasks has used. It rises with each start.
    pub fn highest_attempt(&self) -> u64 {
        self.task_states.values().map(|range| range.rec.highest_attempt).max().unwrap_or(0)
    }

    /// The status of the job as users see it.
    pub fn status(&self) -> Status {
        if self.cancelled() {
            return Status::Cancelled;
        }
        if self.placed > 0 { Status::Running } else { Status::Queued }
    }

    /// All placements of the job's tasks, in the order of checkpoints.
    pub(super) fn placements(&self) -> impl Iterator<Item = &Placement> {
        self.task_states.values().flat_map(|range| &range.rec.placements)
    }
}

impl TaskRangeState {
    /// Applies the log entries about the tasks with these indexes, and returns the changes that
    /// they made.
    pub(super) fn replay(&mut self, entries: &LogEntries, indexes: Range<u32>) -> TaskRangeChanges {
        let mut changes = TaskRangeChanges::default();
        self.replay_completions(entries, indexes.clone(), &mut changes);
        self.replay_removals(entries, indexes.clone(), &mut changes);
        self.replay_starts(entries, indexes, &mut changes);
        changes
    }

    fn replay_completions(&mut self, entries: &LogEntries, indexes: Range<u32>, changes: &mut TaskRangeChanges) {
        for index in entries.done.range(indexes) {
            if !in_ranges(&self.rec.done, *index) {
                add_to_ranges(&mut self.rec.done, *index);
                changes.completed += 1;
            }
            changes.removed.extend(self.remove_placement(|placement| placement.index == *index));
        }
    }

    fn replay_removals(&mut self, entries: &LogEntries, indexes: Range<u32>, changes: &mut TaskRangeChanges) {
        for (index, attempt) in entries.gone.range((indexes.start, 0)..(indexes.end, 0)) {
            let is_attempt = |placement: &Placement| (placement.index, placement.attempt) == (*index, *attempt);
            changes.removed.extend(self.remove_placement(is_attempt));
        }
    }

    fn replay_starts(&mut self, entries: &LogEntries, indexes: Range<u32>, changes: &mut TaskRangeChanges) {
        for start in entries.starts.iter().filter(|start| indexes.contains(&start.index)) {
            self.rec.highest_attempt = self.rec.highest_attempt.max(start.attempt);
            let is_known = |placement: &Placement| placement.index == start.index && placement.attempt >= start.attempt;
            if self.rec.placements.iter().any(is_known) || in_ranges(&self.rec.done, start.index) {
                continue;
            }
            changes.removed.extend(self.remove_placement(|placement| placement.index == start.index));
            self.rec.placements.push(start.clone());
            changes.started.push(start.clone());
        }
    }

    /// Removes and returns the first placement that matches.
    fn remove_placement(&mut self, matches: impl Fn(&Placement) -> bool) -> Option<Placement> {
        let at = self.rec.placements.iter().position(matches)?;
        Some(self.rec.placements.swap_remove(at))
    }
}
