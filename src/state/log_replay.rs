//! Replay of the controllers' logs and of task-range checkpoints.
//!
//! A replica that follows the store's watch applies every segment when it arrives. One
//! that reads the whole store meets the segments in the order of their keys; it collects
//! them and replays them by revision once everything has been read.

use super::cluster_state::ClusterState;
use super::index_ranges::count_ranges;
use super::job::{Job, TaskRangeChanges};
use super::log_segment::{Facts, LogSegmentRecord};
use super::machine_load::{MachineLoad, PlacedTasks, add_placement, remove_placement};
use super::records::TaskRangeCheckpoint;
use super::versioned::Versioned;
use crate::protocol::user::TASKS_LIMIT;
use std::collections::{BTreeMap, HashMap};

/// A controller's log as far as its segments are known.
#[derive(Debug, Default)]
pub struct MemberLog {
    /// The number of its newest segment.
    pub seq: u64,
    pub slots: BTreeMap<u64, LogSlot>,
}

/// The segment in one slot of a log.
#[derive(Debug, Clone, Default)]
pub struct LogSlot {
    pub version: u64,
    pub seq: u64,
    /// The checkpoints that the segment has entries for: job and number.
    pub touched: Vec<(String, u32)>,
}

/// The segments met while the store is read.
#[derive(Debug)]
pub(super) struct SnapshotSegments {
    /// The store's revision when the read began. Later segments arrive with the watch.
    revision: u64,
    segments: Vec<UnreplayedSegment>,
}

#[derive(Debug)]
struct UnreplayedSegment {
    version: u64,
    member: String,
    slot: u64,
    record: LogSegmentRecord,
}

impl SnapshotSegments {
    pub(super) fn new(revision: u64) -> SnapshotSegments {
        SnapshotSegments { revision, segments: Vec::new() }
    }
}

impl ClusterState {
    /// Completes a read of the whole store. Segments up to the revision at which the read
    /// began are replayed in the order of their revisions; the watch delivers later ones.
    pub fn loaded(&mut self) {
        let Some(SnapshotSegments { revision, mut segments }) = self.snapshot.take() else { return };
        segments.sort_by_key(|segment| segment.version);
        for UnreplayedSegment { version, member, slot, record } in segments {
            self.put_segment(&member, slot, record, version);
        }
        self.reached(revision);
    }

    /// Applies a log segment, or keeps it for later while the store is being read.
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
        let entries = record.facts(TASKS_LIMIT).unwrap_or_else(|error| {
            tracing::error!(%member, slot, %error);
            BTreeMap::new()
        });
        log.seq = log.seq.max(record.seq);
        let touched = touched_checkpoints(&entries, self.checkpoint_size);
        log.slots.insert(slot, LogSlot { version, seq: record.seq, touched });
        for (uid, job_entries) in &entries {
            self.replay_job_entries(uid, job_entries, version);
        }
    }

    /// Replays entries about one job's tasks. A checkpoint that contains the segment is
    /// left as it is, and a job that is over needs no entries.
    fn replay_job_entries(&mut self, uid: &str, entries: &Facts, version: u64) {
        let size = self.checkpoint_size;
        let Some(job) = self.jobs.get_mut(uid) else { return };
        let task_count = job.spec.task_count;
        let range_count = job.checkpoint_count(size);
        for number in entries.chunks(size).into_iter().filter(|number| *number < range_count) {
            let range = job.chunks.entry(number).or_default();
            if version <= range.rec.as_of_revision {
                continue;
            }
            range.last = range.last.max(version);
            let indexes = number * size..((number + 1) * size).min(task_count);
            let changes = range.replay(entries, indexes);
            apply_changes(job, &mut self.placed, &mut self.loads, &changes);
        }
        self.queue_if_complete(uid);
    }

    /// Applies a checkpoint. It contains nothing that segments do not, so it matters only
    /// where not all of them are known here: while the store is being read, and for
    /// records written by versions without task logs.
    pub(super) fn put_checkpoint(&mut self, uid: &str, number: u32, record: TaskRangeCheckpoint, version: u64) {
        if self.ended.contains_key(uid) {
            return;
        }
        let Some(job) = self.jobs.get_mut(uid) else {
            let checkpoints = self.checkpoints_without_job.entry(uid.to_string()).or_default();
            checkpoints.insert(number, Versioned { rec: record, version });
            return;
        };
        let Some(replaced) = replace_checkpoint(job, number, record, version) else { return };
        let current = &job.chunks[&number].rec;
        job.done = job.done + count_ranges(&current.done) - count_ranges(&replaced.done);
        job.placed = job.placed + current.on.len() as u32 - replaced.on.len() as u32;
        for placement in &replaced.on {
            remove_placement(&mut self.placed, &mut self.loads, &job.spec, placement);
        }
        for placement in &current.on {
            add_placement(&mut self.placed, &mut self.loads, &job.spec, placement);
        }
        self.queue_if_complete(uid);
    }
}

/// Replaces a checkpoint of the job by a newer one and returns the old one; `None` if the
/// replica has all that the new one contains.
fn replace_checkpoint(
    job: &mut Job,
    number: u32,
    mut record: TaskRangeCheckpoint,
    version: u64,
) -> Option<TaskRangeCheckpoint> {
    let range = job.chunks.entry(number).or_default();
    if range.version >= version {
        return None;
    }
    range.version = version;
    if record.as_of_revision == 0 {
        record.as_of_revision = version;
    }
    if range.last > record.as_of_revision {
        range.rec.as_of_revision = record.as_of_revision;
        return None;
    }
    range.last = record.as_of_revision;
    Some(std::mem::replace(&mut range.rec, record))
}

/// Updates the job's counts and the machines' loads after a replay.
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

/// The checkpoints that a segment has entries for: job and number.
fn touched_checkpoints(entries: &BTreeMap<&str, Facts>, size: u32) -> Vec<(String, u32)> {
    let mut touched = Vec::new();
    for (uid, job_entries) in entries {
        touched.extend(job_entries.chunks(size).into_iter().map(|number| (uid.to_string(), number)));
    }
    touched
}

#[cfg(test)]
mod tests;
