//! A controller's replica of the store: all records, and what follows from them.

use super::job::{EndedJob, Job};
use super::keys::{Key, parse_key};
use super::log_replay::{MemberLog, SnapshotSegments};
use super::machine_load::{MachineLoad, PlacedTasks};
use super::records::{
    CatalogRecord, LeaderRecord, MachineGroupRecord, MachineRecord, MemberRecord, ShardGrantRecord,
    TaskRangeCheckpoint, TeamRecord, TermRecord,
};
use super::versioned::{Versioned, Versions, from_value, remove, remove_named, update, update_named};
use crate::maintenance::campaign::MaintenanceRecord;
use crate::protocol::user::JobSpec;
use ciborium::Value;
use std::collections::{BTreeMap, HashMap};

/// A replica of the store.
#[derive(Debug, Default)]
pub struct ClusterState {
    /// The applied revision: every change up to it has been applied.
    pub revision: u64,
    /// The newest revision of which any change is known here, be it by the watch, by a
    /// response or by a page of a read. No answer or action depends on a newer one.
    known_revision: u64,
    /// Changes up to this revision may have been acted on before this replica was read.
    /// Until it has applied them all, it must not be taken for complete.
    inherited_revision: u64,
    /// The number of tasks of a checkpoint.
    pub checkpoint_size: u32,
    pub members: Versions<MemberRecord>,
    /// Counts the changes of members and of the leader.
    pub members_changed: u64,
    pub leader: Option<Versioned<LeaderRecord>>,
    pub term: Option<Versioned<TermRecord>>,
    pub catalog: Option<Versioned<CatalogRecord>>,
    pub maintenance: Option<Versioned<MaintenanceRecord>>,
    pub machine_groups: Versions<MachineGroupRecord>,
    /// Grants of whole shards, by member.
    pub shards: Versions<ShardGrantRecord>,
    /// The machines of all groups, with the version of their group.
    pub machines: Versions<MachineRecord>,
    /// The version of the key that changes with every group of several machines.
    pub machine_groups_version: u64,
    /// Counts the changes of `machines`.
    pub machines_changed: u64,
    pub jobs: BTreeMap<String, Job>,
    pub ended: HashMap<Box<str>, EndedJob>,
    /// The tasks placed on each machine.
    pub placed: HashMap<String, PlacedTasks>,
    /// What they take up, by machine.
    pub loads: HashMap<String, MachineLoad>,
    /// Jobs that were recorded as done: the specification and the time of submission in
    /// milliseconds. The controller empties the list.
    pub finished: Vec<(JobSpec, u64)>,
    /// The controllers' logs, by member.
    pub logs: BTreeMap<String, MemberLog>,
    /// Jobs without tasks left, whose end is to be recorded. The controller empties the
    /// list.
    pub complete: Vec<String>,
    /// Jobs that have been cancelled, whose tasks are to be stopped. The controller
    /// empties the list.
    pub let_go: Vec<String>,
    pub teams: Versions<TeamRecord>,
    /// Present while the whole store is being read.
    pub(super) snapshot: Option<SnapshotSegments>,
    /// Checkpoints that were read before the record of their job, by job and number.
    pub(super) checkpoints_without_job: BTreeMap<String, BTreeMap<u32, Versioned<TaskRangeCheckpoint>>>,
}

impl ClusterState {
    /// An empty replica with checkpoints of `checkpoint_size` tasks.
    pub fn new(checkpoint_size: u32) -> ClusterState {
        ClusterState { checkpoint_size, ..ClusterState::default() }
    }

    /// A replica to be filled by reading the whole store page by page, the first page at
    /// `revision`. Ends with `loaded`.
    pub fn loading(checkpoint_size: u32, revision: u64) -> ClusterState {
        ClusterState { snapshot: Some(SnapshotSegments::new(revision)), ..ClusterState::new(checkpoint_size) }
    }

    /// The format of the records according to the last leader; 0 before there were logs.
    pub fn format_version(&self) -> u32 {
        self.term.as_ref().map_or(0, |term| term.rec.format_version)
    }

    /// Notes that every change up to `revision` has been applied.
    pub fn reached(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
        self.observe_revision(revision);
    }

    /// Notes that a change at `revision` is known, though perhaps not all those before it.
    pub fn observe_revision(&mut self, revision: u64) {
        self.known_revision = self.known_revision.max(revision);
    }

    /// The newest revision of which any change is known.
    pub fn known_revision(&self) -> u64 {
        self.known_revision
    }

    /// Makes this replica the successor of an older one. Responses may have arrived while
    /// this one was read, and what was answered because of them remains answered.
    pub fn follows(&mut self, older: &ClusterState) {
        self.observe_revision(older.known_revision);
        self.inherited_revision = older.known_revision;
    }

    /// Whether this replica contains every change that its predecessor knew.
    pub fn has_applied_all_known(&self) -> bool {
        self.revision >= self.inherited_revision
    }

    /// Applies a put, unless the known record is as new. A key or a value of unknown form
    /// is ignored.
    pub fn put(&mut self, key: &str, data: &Value, version: u64) {
        self.observe_revision(version);
        let Some(key) = parse_key(key) else { return };
        match key {
            Key::Term => update(&mut self.term, data, version),
            Key::Leader => {
                self.members_changed += 1;
                update(&mut self.leader, data, version);
            }
            Key::Member(name) => {
                self.members_changed += 1;
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
                if let Some(record) = from_value(data) {
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

    /// Applies a deletion, unless the known record is newer.
    pub fn delete(&mut self, key: &str, version: u64) {
        self.observe_revision(version);
        let Some(key) = parse_key(key) else { return };
        match key {
            Key::Term => remove(&mut self.term, version),
            Key::Leader => {
                self.members_changed += 1;
                remove(&mut self.leader, version);
            }
            Key::Member(name) => {
                self.members_changed += 1;
                remove_named(&mut self.members, name, version);
            }
            Key::MachineGroup(name) => self.delete_machine_group(name, version),
            // Jobs are never deleted, and checkpoints only with the end of their job.
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
