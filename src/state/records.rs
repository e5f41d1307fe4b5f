//! The records kept in the store, in their stored form. Their keys are in the module `keys`.

#![warn(missing_docs)]

pub use super::index_ranges::{add_to_ranges, count_ranges, in_ranges};
pub use super::keys::{
    BARRIER_KEY, CATALOG_KEY, Key, LEADER_KEY, MACHINE_GROUPS_KEY, MAINTENANCE_KEY, PREFIX, SHARD_GRANTS_PREFIX,
    TEAMS_PREFIX, TERM_KEY, checkpoint_key, is_permanent, job_key, log_key, machine_group_key, member_key, parse_key,
    shard_grant_key, team_key,
};
pub use super::sizing::{checkpoint_bytes, checkpoint_size, task_range_size};
pub use super::task_placement::Placement;
pub use super::versioned::{Versioned, Versions, from_value, to_value};

use crate::protocol::cloud::MachineType;
use crate::protocol::user::{JobSpec, Status};
use serde::{Deserialize, Serialize};
use std::ops::Range;

/// The format of the records that this version of the program writes. It also reads earlier
/// formats, and leaves state of a later format alone.
pub const FORMAT_VERSION: u32 = 1;

/// The incarnation in the grant of a machine group that its owner gave up: no process has it, so
/// the leader grants the owner's shard again.
pub const NO_INCARNATION: u64 = 0;

/// A live controller. Key: `member_key`, attached to the controller's lease. Written by the
/// controller itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The incarnation of the controller; each restart is a new one.
    pub incarnation: u64,
}

/// The current leader. Key: `LEADER_KEY`, attached to the leader's lease. Written by the
/// controller that wins the election.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The leader's name.
    pub member: String,
    /// The leader's incarnation.
    pub incarnation: u64,
    /// The term that began with the leader's election.
    pub term: u64,
}

/// The newest term of leadership. Key: `TERM_KEY`. Written by each new leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TermRecord {
    /// The number of the term; each election begins a higher one.
    pub term: u64,
    /// The format of all records. Absent in state without task logs, where it is read as 0.
    #[serde(rename = "form", default)]
    pub format_version: u32,
}

/// The catalog of the cloud's machine types as the leader last read it, for controllers that
/// start while the cloud does not respond. Key: `CATALOG_KEY`. Written by the leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CatalogRecord {
    /// The machine types that the cloud offers.
    pub types: Vec<MachineType>,
}

impl CatalogRecord {
    /// Whether the catalog consists of these types. Spot prices are not compared, since they
    /// change constantly.
    pub fn has_same_types(&self, types: &[MachineType]) -> bool {
        let without_price = |machine_type: &MachineType| MachineType { spot_price: 0.0, ..machine_type.clone() };
        self.types.len() == types.len()
            && self.types.iter().zip(types).all(|(known, other)| without_price(known) == without_price(other))
    }
}

/// A range of a job's tasks that one controller is assigned to start. Part of `JobRecord`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskRange {
    /// The controller's name.
    pub member: String,
    /// The index of the first task.
    pub from: u32,
    /// The index of the last task.
    pub to: u32,
}

/// A job: its full description while it is live, and only its result once it is over. Key:
/// `job_key`. Written by the controllers that accept the job, reassign its tasks, cancel it or
/// record its end.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job's specification. Present while the job is live.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
    /// The final status, `Done` or `Cancelled`. A cancelled job has it already while its last
    /// tasks are being stopped.
    #[serde(rename = "end", default, skip_serializing_if = "Option::is_none")]
    pub final_status: Option<Status>,
    /// The number of tasks of the job; `parcels` in the store.
    #[serde(rename = "parcels")]
    pub task_count: u32,
    /// The time of submission, in milliseconds since the Unix epoch.
    #[serde(rename = "at_ms", default)]
    pub submitted_ms: u64,
    /// The ranges of tasks that controllers are assigned to start; `shares` in the store.
    #[serde(default)]
    #[serde(rename = "shares")]
    pub task_ranges: Vec<TaskRange>,
}

impl JobRecord {
    /// Whether all numbers are within their limits: those of the specification, and the task
    /// ranges, which lie within the job's tasks.
    pub fn has_valid_numbers(&self) -> bool {
        self.spec.as_ref().is_none_or(|spec| {
            let is_valid = |range: &TaskRange| range.from <= range.to && range.to < spec.task_count;
            spec.has_valid_numbers() && self.task_ranges.iter().all(is_valid)
        })
    }
}

/// A checkpoint of the logs: the state of a fixed number of consecutive tasks of a job. Key:
/// `checkpoint_key`. Written by any controller whose log is about to overwrite a segment with
/// entries about these tasks.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskRangeCheckpoint {
    /// Completed tasks, as inclusive ranges of indexes.
    #[serde(default)]
    pub done: Vec<(u32, u32)>,
    /// The placements of started tasks that have not ended.
    #[serde(rename = "on", default)]
    pub placements: Vec<Placement>,
    /// The highest attempt number that any of the tasks has used; `tries` in the store.
    #[serde(default)]
    #[serde(rename = "tries")]
    pub highest_attempt: u64,
    /// The revision of the checkpoint: it contains the entries of all segments up to this
    /// revision, and none of later ones; `asof` in the store. Absent in state without task logs,
    /// where it is the revision of the record.
    #[serde(default, skip_serializing_if = "is_zero")]
    #[serde(rename = "asof")]
    pub as_of_revision: u64,
}

impl TaskRangeCheckpoint {
    /// Whether the checkpoint is only about tasks with these indexes.
    pub fn is_within(&self, indexes: &Range<u32>) -> bool {
        let is_valid = |(from, to): &(u32, u32)| from <= to && indexes.contains(from) && indexes.contains(to);
        self.done.iter().all(is_valid) && self.placements.iter().all(|placement| indexes.contains(&placement.index))
    }
}

fn is_zero(revision: &u64) -> bool {
    *revision == 0
}

/// A group of machines of one type in one zone, and the controller to whose shard they belong.
/// Key: `machine_group_key`. Written by the leader when it rents, reassigns, drains or releases
/// machines, and by the controller that registers a machine that is in no record.
///
/// The machines of a large rental share one record, which is written before they have started.
/// One record for each, written when it registers, would use up the store's write capacity.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineGroupRecord {
    /// The machine type of the machines; `build` in the store.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// The zone of the machines; `site` in the store.
    #[serde(rename = "site")]
    pub zone: String,
    /// Whether the machines are spot machines.
    pub spot: bool,
    /// The controller to whose shard the group belongs.
    pub owner: String,
    /// The incarnation of the owner to which the group is granted.
    pub incarnation: u64,
    /// The leader's term at the time of the grant, the first part of the fencing token.
    pub term: u64,
    /// The number of the grant within the term, the second part of the fencing token.
    pub epoch: u64,
    /// Whether the machines were running when the cluster was set up. They are the minimum size
    /// that the operators chose, below which the fleet is not scaled in.
    #[serde(rename = "base", default)]
    pub is_base: bool,
    /// The names of all machines of the group. The name of the first one is the group's name.
    pub machines: Vec<String>,
    /// The machines that are draining: they take no new tasks and are released once they are
    /// empty.
    #[serde(rename = "drain", default)]
    pub draining: Vec<String>,
}

impl MachineGroupRecord {
    /// The machine `name` of this group under a grant that was written at revision
    /// `grant_revision`.
    /// `group` is the name of the group.
    pub fn machine_record(
        &self,
        group: &str,
        name: &str,
        grant_revision: u64,
        grant: &ShardGrantRecord,
    ) -> MachineRecord {
        MachineRecord {
            grant_revision,
            group: group.to_string(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            owner: self.owner.clone(),
            incarnation: grant.incarnation,
            term: grant.term,
            epoch: grant.epoch,
            is_base: self.is_base,
            draining: self.draining.iter().any(|machine| machine == name),
        }
    }

    /// The record without the machines `names`; `None` if no machine remains.
    pub fn without_machines(&self, names: &[String]) -> Option<MachineGroupRecord> {
        let mut rec = self.clone();
        rec.machines.retain(|machine| !names.contains(machine));
        rec.draining.retain(|machine| !names.contains(machine));
        (!rec.machines.is_empty()).then_some(rec)
    }
}

/// A shard grant: grants all machine groups that a member owns at the time of writing to a
/// later incarnation of the member, so that one write restores its shard after a restart. Key:
/// `shard_grant_key`. Written by the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShardGrantRecord {
    /// The incarnation of the member to which the shard is granted.
    pub incarnation: u64,
    /// The leader's term at the time of the grant, the first part of the fencing token.
    pub term: u64,
    /// The number of the grant within the term, the second part of the fencing token.
    pub epoch: u64,
}

/// One machine of a group, under the grant that currently applies to the group. It is never
/// stored, but derived from `MachineGroupRecord` and `ShardGrantRecord`.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineRecord {
    /// The revision at which the grant was written.
    pub grant_revision: u64,
    /// The name of the machine's group.
    pub group: String,
    /// The machine type.
    pub machine_type: String,
    /// The machine's zone.
    pub zone: String,
    /// Whether the machine is a spot machine.
    pub spot: bool,
    /// The controller to whose shard the machine belongs.
    pub owner: String,
    /// The incarnation of the owner to which the machine is granted.
    pub incarnation: u64,
    /// The leader's term at the time of the grant, the first part of the fencing token.
    pub term: u64,
    /// The number of the grant within the term, the second part of the fencing token.
    pub epoch: u64,
    /// Whether the machine was running when the cluster was set up.
    pub is_base: bool,
    /// Whether the machine is draining.
    pub draining: bool,
}

/// Whether task starts of a team with a quota limit are serialized. Key: `team_key`; if the
/// record is absent, they are not. Written by every controller that starts tasks of the team.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamRecord {
    /// Whether the team's usage is near its limit. If so, every start changes this record, so
    /// that two controllers cannot both use the remaining quota.
    pub strict: bool,
    /// A counter that makes each change of the record differ from the one before.
    pub count: u64,
}
