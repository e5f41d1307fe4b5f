//! The records kept in the store. Their keys are in the module `keys`.

pub use super::index_ranges::{add_to_ranges, count_ranges, in_ranges};
pub use super::keys::{
    BARRIER_KEY, CATALOG_KEY, Key, LEADER_KEY, MACHINE_GROUPS_KEY, MAINTENANCE_KEY, PREFIX, SHARD_GRANTS_PREFIX,
    TEAMS_PREFIX, TERM_KEY, checkpoint_key, job_key, lasts, log_key, machine_group_key, member_key, parse_key,
    shard_grant_key, team_key,
};
pub use super::sizing::{checkpoint_bytes, checkpoint_size, task_range_size};
pub use super::task_placement::Placement;
pub use super::versioned::{Versioned, Versions, from_value, to_value};

use crate::protocol::cloud::MachineType;
use crate::protocol::user::{JobSpec, Status};
use serde::{Deserialize, Serialize};

/// The format of records that this program writes; it also reads those before it. State
/// of a later format is left alone.
pub const FORMAT_VERSION: u32 = 1;

/// A live controller. Key: `member_key`, attached to the controller's lease. Written by
/// the controller itself; a restart is a new incarnation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    pub incarnation: u64,
}

/// The current leader. Key: `LEADER_KEY`, attached to the leader's lease. Written by the
/// controller that wins the election.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub member: String,
    pub incarnation: u64,
    pub term: u64,
}

/// The newest term. Key: `TERM_KEY`. Written by each new leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TermRecord {
    pub term: u64,
    /// The format of all records. Absent, read as 0, in state without task logs.
    #[serde(rename = "form", default)]
    pub format_version: u32,
}

/// The cloud's machine types as the leader last read them, for controllers that start
/// while the cloud does not answer. Key: `CATALOG_KEY`. Written by the leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CatalogRecord {
    pub types: Vec<MachineType>,
}

impl CatalogRecord {
    /// Whether these are the same types, apart from spot prices, which change constantly.
    pub fn has(&self, types: &[MachineType]) -> bool {
        let without_price = |machine_type: &MachineType| MachineType { spot_price: 0.0, ..machine_type.clone() };
        self.types.len() == types.len()
            && self.types.iter().zip(types).all(|(known, other)| without_price(known) == without_price(other))
    }
}

/// A range of a job's tasks, assigned to one controller to start. Part of `JobRecord`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskRange {
    pub member: String,
    pub from: u32,
    pub to: u32,
}

/// A job: everything while it is live, only its result afterwards. Key: `job_key`.
/// Written by the controllers that accept the job, reassign its tasks, cancel it or
/// record its end.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Present while the job is live.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
    /// The final status, `done` or `cancelled`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<Status>,
    #[serde(rename = "parcels")]
    pub task_count: u32,
    /// The time of submission, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub at_ms: u64,
    #[serde(default)]
    #[serde(rename = "shares")]
    pub task_ranges: Vec<TaskRange>,
}

/// The state of a fixed number of consecutive tasks of a job, as the logs have it. Key:
/// `checkpoint_key`. Written by any controller whose log is about to overwrite a segment with
/// entries on these tasks.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskRangeCheckpoint {
    /// Completed tasks, as inclusive ranges of indexes.
    #[serde(default)]
    pub done: Vec<(u32, u32)>,
    /// Started tasks that have not completed.
    #[serde(default)]
    pub on: Vec<Placement>,
    /// The highest attempt number used.
    #[serde(default)]
    #[serde(rename = "tries")]
    pub highest_attempt: u64,
    /// The checkpoint contains all segments up to this revision and nothing of later
    /// ones. Absent in state without task logs, where it is the revision of the record.
    #[serde(default, skip_serializing_if = "is_zero")]
    #[serde(rename = "asof")]
    pub as_of_revision: u64,
}

fn is_zero(revision: &u64) -> bool {
    *revision == 0
}

/// Machines of one type and zone, and the controller to whose shard they belong. Key:
/// `machine_group_key`. Written by the leader when it rents, reassigns, drains or returns
/// machines, and by the controller that registers a machine which no record has.
///
/// The machines of a large rental share a record, written before they have started: one
/// record each, written as they register, would take all of the store's write capacity.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineGroupRecord {
    #[serde(rename = "build")]
    pub machine_type: String,
    #[serde(rename = "site")]
    pub zone: String,
    pub spot: bool,
    pub owner: String,
    pub incarnation: u64,
    pub term: u64,
    pub epoch: u64,
    /// The machines were running when the cluster was set up: the operators' choice of a
    /// minimum size, below which the fleet is not scaled in.
    #[serde(default)]
    pub base: bool,
    /// All machines of the group; the name of the first one is the name of the group.
    pub machines: Vec<String>,
    /// The machines that take no new tasks and are returned once they are empty.
    #[serde(default)]
    pub drain: Vec<String>,
}

impl MachineGroupRecord {
    /// The machine `name` of this group, which is called `group`, under the grant given
    /// at revision `granted`.
    pub fn host(&self, group: &str, name: &str, granted: u64, grant: &ShardGrantRecord) -> MachineRecord {
        MachineRecord {
            granted,
            group: group.to_string(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            owner: self.owner.clone(),
            incarnation: grant.incarnation,
            term: grant.term,
            epoch: grant.epoch,
            base: self.base,
            drain: self.drain.iter().any(|machine| machine == name),
        }
    }

    /// The record without some machines; `None` if none remains.
    pub fn without(&self, names: &[String]) -> Option<MachineGroupRecord> {
        let mut rec = self.clone();
        rec.machines.retain(|machine| !names.contains(machine));
        rec.drain.retain(|machine| !names.contains(machine));
        (!rec.machines.is_empty()).then_some(rec)
    }
}

/// Grants all machine groups that a member owns at the time of writing to a later
/// incarnation of it, so that one write restores its shard after a restart. Key:
/// `shard_grant_key`. Written by the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShardGrantRecord {
    pub incarnation: u64,
    pub term: u64,
    pub epoch: u64,
}

/// One machine of a group under the newest grant that applies to it. Never stored:
/// derived from `MachineGroupRecord` and `ShardGrantRecord`.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineRecord {
    /// The revision of the grant.
    pub granted: u64,
    pub group: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub owner: String,
    pub incarnation: u64,
    pub term: u64,
    pub epoch: u64,
    pub base: bool,
    pub drain: bool,
}

/// Whether the starts of a team with a quota limit are serialized. Key: `team_key`; absent
/// means they are not. Written by every controller that starts tasks of the team.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamRecord {
    /// Usage is near the limit: every start changes this record, so that two controllers
    /// cannot both use what is left of it.
    pub strict: bool,
    /// Distinguishes one change from the next.
    pub count: u64,
}
