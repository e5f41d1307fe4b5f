//! Replay of the controllers' logs and of task-range checkpoints.
//!
//! A replica that follows the store's watch applies every segment when it arrives. A replica
//! that reads the whole store gets the segments in the order of their keys, so it collects
//! them and replays them in the order of their revisions once everything has been read.

#![warn(missing_docs)]

use super::cluster_state::ClusterState;
use super::index_ranges::count_ranges;
use super::job::{Job, TaskRangeChanges};
use super::log_segment::{LogEntries, LogSegmentRecord};
use super::machine_load::{MachineLoad, PlacedTasks, add_placement, remove_placement};
use super::records::TaskRangeCheckpoint;
use super::versioned::Versioned;
use crate::protocol::user::MAX_TASKS_PER_JOB;
use std::collections::{BTreeMap, HashMap};

/// What a replica knows of a controller's log.
#[derive(Debug, Default)]
pub struct MemberLog {
    /// The number of the newest segment.
    pub seq: u64,
    /// The slots that have been written, by number.
    pub slots: BTreeMap<u64, LogSlot>,
}

/// The segment in one slot of a log.
#[derive(Debug, Clone, Default)]
pub struct LogSlot {
    /// The revision at which the segment was written.
    pub version: u64,
    /// The number of the segment in its log.
    pub seq: u64,
    /// The checkpoints on whose tasks the segment has entries: the job's uid and the
    /// checkpoint's number.
    pub checkpoints: Vec<(String, u32)>,
}

/// The segments collected while the whole store is being read.
#[derive(Debug)]
pub(super) struct SnapshotSegments {
    /// The store's revision when the read began. The watch delivers later segments.
    revision: u64,
    segments: Vec<UnreplayedSegment>,
}

/// A segment that has been read but not replayed yet.
#[derive(Debug)]
struct UnreplayedSegment {
    version: u64,
    member: String,
    slot: u64,
    record: LogSegmentRecord,
}

impl SnapshotSegments {
    /// No segments yet, of a read that began at `revision`.
    pub(super) fn new(revision: u64) -> SnapshotSegments {
        SnapshotSegments { revision, segments: Vec::new() }
    }
}

impl ClusterState {
    /// Completes a read of the whole store. Segments up to the revision at which the read
    /// began are replayed in the order of their revisions; the watch delivers later ones.
    pub fn finish_loading(&mut self) {
        let Some(SnapshotSegments { revision, mut segments }) = self.snapshot.take() else { return };
        segments.sort_by_key(|segment| segment.version);
        for UnreplayedSegment { version, member, slot, record } in segments {
            self.put_segment(&member, slot, record, version);
        }
        self.advance_to(revision);
    }

    /// Applies a log segment. While the whole store is being read, the segment is collected
    /// instead, to be replayed at the end of the read.
    pub(super) fn put_segment(&mut self, member: &str, slot: u64, record: LogSegmentRecord, version: u64) {
        if let Some(snapshot) = &mut self.snapshot {
            if version <= snapshot.revision {
                snapshot.segments.push(UnreplayedSegment { version, member: member.into(), slot, record });
            }
            return;
        }
        let log = self.logs.entry(member.to_string()).or_default();
        if log.slots.get(&slot).is_some_and(|known| known.version >= version) {
            return;
        }
        let entries = record.entries_by_job(MAX_TASKS_PER_JOB).unwrap_or_else(|error| {
            tracing::error!(%member, slot, %error, "invalid log segment");
            BTreeMap::new()
        });
        log.seq = log.seq.max(record.seq);
        let checkpoints = touched_checkpoints(&entries, self.checkpoint_size);
        log.slots.insert(slot, LogSlot { version, seq: record.seq, checkpoints });
        for (uid, job_entries) in &entries {
            self.replay_job_entries(uid, job_entries, version);
        }
    }

    /// Replays the entries of a segment about one job's tasks. Entries are skipped where the
    /// checkpoint already contains the segment, and for a job that is over.
    fn replay_job_entries(&mut self, uid: &str, entries: &LogEntries, version: u64) {
        let size = self.checkpoint_size;
        let Some(job) = self.jobs.get_mut(uid) else { return };
        let range_count = job.checkpoint_count(size);
        for number in entries.checkpoint_numbers(size).into_iter().filter(|number| *number < range_count) {
            let indexes = job.checkpoint_indexes(number, size);
            let range = job.task_states.entry(number).or_default();
            if version <= range.rec.as_of_revision {
                continue;
            }
            range.last_revision = range.last_revision.max(version);
            let changes = range.replay(entries, indexes);
            apply_changes(job, &mut self.placed_tasks, &mut self.machine_loads, &changes);
        }
        self.queue_if_complete(uid);
    }

    /// Applies a checkpoint. It contains nothing that the segments before it did not, so it
    /// matters only to a replica that lacks some of them: while the store is being read, and
    /// for records written by versions without task logs.
    pub(super) fn put_checkpoint(&mut self, uid: &str, number: u32, record: TaskRangeCheckpoint, version: u64) {
        if self.ended_jobs.contains_key(uid) {
            return;
        }
        let Some(job) = self.jobs.get_mut(uid) else {
            let checkpoints = self.checkpoints_without_job.entry(uid.to_string()).or_default();
            checkpoints.insert(number, Versioned { rec: record, version });
            return;
        };
        if !record.is_within(&job.checkpoint_indexes(number, self.checkpoint_size)) {
            tracing::error!(job = %uid, number, "invalid task-range checkpoint");
            return;
        }
        let Some(replaced) = replace_checkpoint(job, number, record, version) else { return };
        let current = &job.task_states[&number].rec;
        job.done = job.done + count_ranges(&current.done) - count_ranges(&replaced.done);
        job.placed = job.placed + current.placements.len() as u32 - replaced.placements.len() as u32;
        for placement in &replaced.placements {
            remove_placement(&mut self.placed_tasks, &mut self.machine_loads, &job.spec, placement);
        }
        for placement in &current.placements {
            add_placement(&mut self.placed_tasks, &mut self.machine_loads, &job.spec, placement);
        }
        self.queue_if_complete(uid);
    }
}

/// Replaces the state of the tasks of one checkpoint by a newer checkpoint, and returns the
/// old state. `None` if the replica already has all that the newer checkpoint contains.
fn replace_checkpoint(
    job: &mut Job,
    number: u32,
    mut record: TaskRangeCheckpoint,
    version: u64,
) -> Option<TaskRangeCheckpoint> {
    let range = job.task_states.entry(number).or_default();
    if range.version >= version {
        return None;
    }
    range.version = version;
    if record.as_of_revision == 0 {
        record.as_of_revision = version;
    }
    if range.last_revision > record.as_of_revision {
        range.rec.as_of_revision = record.as_of_revision;
        return None;
    }
    range.last_revision = record.as_of_revision;
    Some(std::mem::replace(&mut range.rec, record))
}

/// Updates the job's counts and the machines' loads by the changes that a replay made.
fn apply_changes(
    job: &mut Job,
    placed: &mut HashMap<String, PlacedTasks>,
    loads: &mut HashMap<String, MachineLoad>,
    changes: &TaskRangeChanges,
) {
    job.done += changes.completed;
    job.placed += changes.started.len() as u32;
    job.placed -= changes.removed.len() as u32;
    for placement in &changes.started {
        add_placement(placed, loads, &job.spec, placement);
    }
    for placement in &changes.removed {
        remove_placement(placed, loads, &job.spec, placement);
    }
}

/// The checkpoints, of `size` tasks each, on whose tasks a segment has entries: the job's uid
/// and the checkpoint's number.
fn touched_checkpoints(entries: &BTreeMap<&str, LogEntries>, size: u32) -> Vec<(String, u32)> {
    let mut checkpoints = Vec::new();
    for (uid, job_entries) in entries {
        checkpoints.extend(job_entries.checkpoint_numbers(size).into_iter().map(|number| (uid.to_string(), number)));
    }
    checkpoints
}

#[cfg(test)]
mod tests;
