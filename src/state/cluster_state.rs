//! A controller's replica of the store: all records, and the state derived from them.

#![warn(missing_docs)]

use super::job::{EndedJob, Job};
use super::keys::{Key, parse_key};
use super::log_replay::{MemberLog, SnapshotSegments};
use super::machine_load::{MachineLoad, PlacedTasks};
use super::records::{
    CatalogRecord, JobRecord, LeaderRecord, MachineGroupRecord, MachineRecord, MemberRecord, ShardGrantRecord,
    TaskRangeCheckpoint, TeamRecord, TermRecord,
};
use super::versioned::{Versioned, Versions, from_value, remove, remove_named, update, update_named};
use crate::maintenance::campaign::MaintenanceRecord;
use crate::protocol::user::JobSpec;
use ciborium::Value;
use std::collections::{BTreeMap, HashMap};

/// A replica of the store, updated by the changes that the store's watch delivers.
#[derive(Debug, Default)]
pub struct ClusterState {
    /// The revision of the replica: every change up to it has been applied.
    pub revision: u64,
    /// The newest revision at which the controller knows of a change, from the watch, from a
    /// response of the store or from a page of a read. No answer or action depends on a newer
    /// one.
    known_revision: u64,
    /// The newest revision known to the replica that this one succeeds. The controller may
    /// have acted on changes up to it, so this replica is incomplete until it has applied
    /// them all.
    predecessor_revision: u64,
    /// The number of tasks of a checkpoint.
    pub checkpoint_size: u32,
    /// The live controllers, by name.
    pub members: Versions<MemberRecord>,
    /// The number of changes of members and of the leader that this replica has applied.
    pub member_changes: u64,
    /// The current leader.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// The newest term, and the format of all records.
    pub term: Option<Versioned<TermRecord>>,
    /// The machine types that the cloud offers.
    pub catalog: Option<Versioned<CatalogRecord>>,
    /// The progress of the maintenance campaigns.
    pub maintenance: Option<Versioned<MaintenanceRecord>>,
    /// The machine groups, by the name of their first machine.
    pub machine_groups: Versions<MachineGroupRecord>,
    /// The shard grants, by member.
    pub shard_grants: Versions<ShardGrantRecord>,
    /// The machines of all groups, by name, with the version of their group.
    pub machines: Versions<MachineRecord>,
    /// The version of `MACHINE_GROUPS_KEY`, which changes with every group of several
    /// machines.
    pub machine_groups_version: u64,
    /// The number of changes of `machines` that this replica has applied.
    pub machine_changes: u64,
    /// The jobs that are not over, and cancelled ones that may still have tasks on machines,
    /// by uid.
    pub jobs: BTreeMap<String, Job>,
    /// The results of the jobs that are over, by uid.
    pub ended_jobs: HashMap<Box<str>, EndedJob>,
    /// The tasks placed on each machine.
    pub placed_tasks: HashMap<String, PlacedTasks>,
    /// The total load of the placed tasks, by machine.
    pub machine_loads: HashMap<String, MachineLoad>,
    /// Jobs that were recorded as done: the specification, and the time of submission in
    /// milliseconds since the Unix epoch. The controller drains this queue.
    pub newly_done: Vec<(JobSpec, u64)>,
    /// The controllers' logs, by member.
    pub logs: BTreeMap<String, MemberLog>,
    /// The uids of jobs that are complete and whose end is to be recorded. The controller
    /// drains this queue.
    pub newly_complete: Vec<String>,
    /// The uids of newly cancelled jobs, whose tasks are to be stopped. The controller drains
    /// this queue.
    pub newly_cancelled: Vec<String>,
    /// Whether the task starts of teams with a quota limit are serialized, by team.
    pub teams: Versions<TeamRecord>,
    /// The segments collected so far, while the whole store is being read; `None` otherwise.
    pub(super) snapshot: Option<SnapshotSegments>,
    /// Checkpoints that arrived before the record of their job, by job and number.
    pub(super) checkpoints_without_job: BTreeMap<String, BTreeMap<u32, Versioned<TaskRangeCheckpoint>>>,
}

impl ClusterState {
    /// Creates an empty replica with checkpoints of `checkpoint_size` tasks.
    pub fn new(checkpoint_size: u32) -> ClusterState {
        ClusterState { checkpoint_size, ..ClusterState::default() }
    }

    /// Creates a replica to be filled by reading the whole store page by page, the first page
    /// at `revision`. `finish_loading` completes the read.
    pub fn loading(checkpoint_size: u32, revision: u64) -> ClusterState {
        ClusterState { snapshot: Some(SnapshotSegments::new(revision)), ..ClusterState::new(checkpoint_size) }
    }

    /// The format of the records as recorded by the last leader; 0 for state without task
    /// logs.
    pub fn format_version(&self) -> u32 {
        self.term.as_ref().map_or(0, |term| term.rec.format_version)
    }

    /// Records that every change up to `revision` has been applied.
    pub fn advance_to(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
        self.observe_revision(revision);
    }

    /// Records that a change at `revision` is known, though perhaps not all earlier ones.
    pub fn observe_revision(&mut self, revision: u64) {
        self.known_revision = self.known_revision.max(revision);
    }

    /// The newest revision at which a change is known.
    pub fn known_revision(&self) -> u64 {
        self.known_revision
    }

    /// Makes this replica the successor of an older one. Responses of the store may have
    /// arrived while this one was read, and what the controller answered because of them
    /// cannot be taken back.
    pub fn succeed(&mut self, older: &ClusterState) {
        self.observe_revision(older.known_revision);
        self.predecessor_revision = older.known_revision;
    }

    /// Whether this replica has applied every change that its predecessor knew of.
    pub fn has_applied_all_known(&self) -> bool {
        self.revision >= self.predecessor_revision
    }

    /// Applies a put, unless the replica already has this version of the record or a later
    /// one. Unknown keys and unreadable values are ignored.
    pub fn put(&mut self, key: &str, data: &Value, version: u64) {
        self.observe_revision(version);
        let Some(key) = parse_key(key) else { return };
        match key {
            Key::Term => update(&mut self.term, data, version),
            Key::Leader => {
                self.member_changes += 1;
                update(&mut self.leader, data, version);
            }
            Key::Member(name) => {
                self.member_changes += 1;
                update_named(&mut self.members, name, data, version);
            }
            Key::MachineGroup(name) => self.put_machine_group(name, data, version),
            Key::ShardGrant(member) => self.put_shard_grant(member, data, version),
            Key::MachineGroups => self.machine_groups_version = version.max(self.machine_groups_version),
            Key::Catalog => update(&mut self.catalog, data, version),
            Key::Maintenance => update(&mut self.maintenance, data, version),
            Key::Team(name) => update_named(&mut self.teams, name, data, version),
            Key::Job(_) | Key::TaskRangeCheckpoint(..) | Key::LogSegment(..) => self.put_job_data(key, data, version),
        }
    }

    /// Applies a put of a job, a checkpoint or a log segment.
    fn put_job_data(&mut self, key: Key, data: &Value, version: u64) {
        match key {
            Key::Job(uid) => {
                if let Some(record) = from_value::<JobRecord>(data) {
                    self.put_job(uid, record, version);
                }
            }
            Key::TaskRangeCheckpoint(uid, number) => {
                if let Some(record) = from_value(data) {
                    self.put_checkpoint(uid, number, record, version);
                }
            }
            Key::LogSegment(member, slot) => {
                if let Some(record) = from_value(data) {
                    self.put_segment(member, slot, record, version);
                }
            }
            _ => {}
        }
    }

    /// Applies a deletion, unless the replica already has a later version of the record.
    pub fn delete(&mut self, key: &str, version: u64) {
        self.observe_revision(version);
        let Some(key) = parse_key(key) else { return };
        match key {
            Key::Term => remove(&mut self.term, version),
            Key::Leader => {
                self.member_changes += 1;
                remove(&mut self.leader, version);
            }
            Key::Member(name) => {
                self.member_changes += 1;
                remove_named(&mut self.members, name, version);
            }
            Key::MachineGroup(name) => self.delete_machine_group(name, version),
            // Jobs are never deleted. Checkpoints are deleted only once their job is over, and the
            // replica drops them with the job.
            Key::Job(_)
            | Key::TaskRangeCheckpoint(..)
            | Key::LogSegment(..)
            | Key::Team(_)
            | Key::MachineGroups
            | Key::Catalog
            | Key::Maintenance
            | Key::ShardGrant(_) => {}
        }
    }
}

#[cfg(test)]
mod tests;
