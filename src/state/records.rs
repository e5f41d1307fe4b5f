//! The records kept in the state service, and their keys. Everything the
//! program keeps lives under one prefix, so that one watch sees every change.

use super::log_segment::RING;
use crate::protocol::cloud::MachineType;
use crate::protocol::user::{JobSpec, Status};
use ciborium::Value;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::collections::BTreeMap;

pub const PREFIX: &str = "fq/";
/// Never written: reading it tells how far the ledger has come.
pub const BARRIER_KEY: &str = "fq/none";
pub const TERM_KEY: &str = "fq/term";
pub const LEADER_KEY: &str = "fq/lead";
/// Changed with every pack of several machines, so that none of them can be
/// recorded a second time by a controller that has not seen the pack.
pub const MACHINE_GROUPS_KEY: &str = "fq/packs";
/// The cloud's catalog as the leader last read it, for those that start while the
/// cloud does not answer. The leader alone writes it.
pub const CATALOG_KEY: &str = "fq/catalog";

/// How far a campaign has come (`upkeep::campaign`). The leader alone writes it.
pub const MAINTENANCE_KEY: &str = "fq/upkeep";

/// Where the grants of whole blocks lie.
pub const SHARD_GRANTS: &str = "fq/b/";

/// Where the records of teams lie.
pub const TEAMS: &str = "fq/q/";

/// A live controller; the key hangs on its lease. A restart is a new incarnation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    pub incarnation: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub member: String,
    pub incarnation: u64,
    pub term: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TermRecord {
    pub term: u64,
    /// The form of all records; absent before the logs.
    #[serde(rename = "form", default)]
    pub format_version: u32,
}

/// The machine types that the cloud has.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CatalogRecord {
    pub types: Vec<MachineType>,
}

impl CatalogRecord {
    /// Whether these are the same types; current prices move all the time.
    pub fn has(&self, types: &[MachineType]) -> bool {
        let steady = |t: &MachineType| MachineType { spot_price: 0.0, ..t.clone() };
        self.types.len() == types.len() && self.types.iter().zip(types).all(|(a, b)| steady(a) == steady(b))
    }
}

/// The form of records that this program writes and reads, with those before it.
/// State of a later form is not touched.
pub const FORMAT_VERSION: u32 = 1;

/// Part of a job's tasks, leased to one controller to place.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskRange {
    pub member: String,
    pub from: u32,
    pub to: u32,
}

/// A job: all of it while it lives, only its end once it is over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Present while the job lives.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
    /// The end, `done` or `cancelled`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<Status>,
    #[serde(rename = "parcels")]
    pub task_count: u32,
    /// Submission, in milliseconds of the time of day.
    #[serde(default)]
    pub at_ms: u64,
    #[serde(default)]
    #[serde(rename = "shares")]
    pub task_ranges: Vec<TaskRange>,
}

/// Where a started task is: nowhere else may it be started meanwhile.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    #[serde(rename = "i")]
    pub index: u32,
    #[serde(rename = "m")]
    pub machine: String,
    #[serde(rename = "a")]
    pub attempt: u64,
}

/// The state of a run of tasks of one job: a checkpoint of what the logs say.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskRangeCheckpoint {
    /// Finished tasks, as inclusive ranges.
    #[serde(default)]
    pub done: Vec<(u32, u32)>,
    /// Started and unfinished tasks.
    #[serde(default)]
    pub on: Vec<Placement>,
    /// The highest attempt number used.
    #[serde(default)]
    #[serde(rename = "tries")]
    pub highest_attempt: u64,
    /// It holds what all segments up to this revision say, and nothing of later
    /// ones. Absent in records of versions before the logs: their own revision.
    #[serde(default, skip_serializing_if = "none")]
    #[serde(rename = "asof")]
    pub as_of_revision: u64,
}

fn none(revision: &u64) -> bool {
    *revision == 0
}

/// Like machines of the fleet and the controller whose block they belong to.
/// Those of a large rental share a record, written before they are up: one
/// record each, written as they report, would take all of the store's writes.
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
    /// They were up when the cluster began: the operators' own choice of size,
    /// which is not undercut.
    #[serde(default)]
    pub base: bool,
    /// All of them; the first one's name is the record's.
    pub machines: Vec<String>,
    /// Those that take no new tasks and are returned once they are empty.
    #[serde(default)]
    pub drain: Vec<String>,
}

impl MachineGroupRecord {
    /// One machine as its pack's record, of that name, has it.
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
            drain: self.drain.iter().any(|m| m == name),
        }
    }

    /// The record without some machines; `None` if none is left.
    pub fn without(&self, names: &[String]) -> Option<MachineGroupRecord> {
        let mut rec = self.clone();
        rec.machines.retain(|m| !names.contains(m));
        rec.drain.retain(|m| !names.contains(m));
        (!rec.machines.is_empty()).then_some(rec)
    }
}

/// All packs that a member held when this was written, granted anew to a later
/// incarnation of it: one write brings its block back after a restart.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShardGrantRecord {
    pub incarnation: u64,
    pub term: u64,
    pub epoch: u64,
}

/// One machine of a pack, under the newest grant that holds for it.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineRecord {
    /// Revision of that grant.
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

pub fn member_key(name: &str) -> String {
    format!("fq/m/{name}")
}

pub fn shard_grant_key(member: &str) -> String {
    format!("{SHARD_GRANTS}{member}")
}

pub fn job_key(uid: &str) -> String {
    format!("fq/j/{uid}")
}

/// The slot of a controller's log that a segment goes to.
pub fn log_key(member: &str, seq: u64) -> String {
    format!("fq/l/{member}/{}", seq % RING)
}

pub fn chunk_key(uid: &str, chunk: u32) -> String {
    format!("fq/t/{uid}/{chunk}")
}

/// How starts of a team that has a limit are made; absent: not strictly.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamRecord {
    /// The limit is near: every start changes this record, so that two
    /// controllers cannot both use the last of it.
    pub strict: bool,
    /// Tells one change from another.
    pub count: u64,
}

pub fn team_key(name: &str) -> String {
    format!("{TEAMS}{name}")
}

pub fn machine_group_key(name: &str) -> String {
    format!("fq/h/{name}")
}

/// A key taken apart.
#[derive(Debug, PartialEq, Eq)]
pub enum Key<'a> {
    Term,
    Lead,
    MachineGroups,
    Catalog,
    Maintenance,
    Member(&'a str),
    Block(&'a str),
    Job(&'a str),
    Chunk(&'a str, u32),
    /// A controller's log and a slot of it.
    Log(&'a str, u64),
    Host(&'a str),
    Team(&'a str),
}

pub fn parse_key(key: &str) -> Option<Key<'_>> {
    match key {
        TERM_KEY => return Some(Key::Term),
        LEADER_KEY => return Some(Key::Lead),
        MACHINE_GROUPS_KEY => return Some(Key::MachineGroups),
        CATALOG_KEY => return Some(Key::Catalog),
        MAINTENANCE_KEY => return Some(Key::Maintenance),
        _ => {}
    }
    let (kind, rest) = key.strip_prefix(PREFIX)?.split_once('/')?;
    match kind {
        "m" => Some(Key::Member(rest)),
        "b" => Some(Key::Block(rest)),
        "j" => Some(Key::Job(rest)),
        "h" => Some(Key::Host(rest)),
        "q" => Some(Key::Team(rest)),
        "l" => {
            let (member, slot) = rest.rsplit_once('/')?;
            Some(Key::Log(member, slot.parse().ok()?))
        }
        "t" => {
            let (uid, chunk) = rest.rsplit_once('/')?;
            Some(Key::Chunk(uid, chunk.parse().ok()?))
        }
        _ => None,
    }
}

/// Whether the key, once there, is there for good.
pub fn lasts(key: &str) -> bool {
    match parse_key(key) {
        Some(Key::Lead | Key::Member(_) | Key::Host(_) | Key::Chunk(..)) | None => false,
        Some(
            Key::Term
            | Key::MachineGroups
            | Key::Catalog
            | Key::Maintenance
            | Key::Block(_)
            | Key::Job(_)
            | Key::Team(_)
            | Key::Log(..),
        ) => true,
    }
}

pub fn to_value<T: Serialize>(rec: &T) -> Value {
    Value::serialized(rec).expect("records are plain data")
}

pub fn from_value<T: DeserializeOwned>(value: &Value) -> Option<T> {
    value.deserialized().ok()
}

/// Tasks per chunk. Its record stays well below the store's value limit
/// whatever mix of its tasks is started or done; chunks are what a job is split
/// by among controllers, so that several can start it side by side: the more
/// writes a second each of them has, the finer.
pub fn chunk_size(value_kb: f64, writes_each: f64) -> u32 {
    let full = value_kb * 1024.0 / f64::from(PLACE_BYTES);
    let part = full * CHUNK_WRITES / writes_each.max(CHUNK_WRITES * 2.0);
    (part as u32).clamp(8, 512)
}

/// Tasks per lease of a job with so many: chunks are not split, and all leases
/// together stay within half of the job's record, its description has the rest. A
/// member's name takes at most `name` bytes.
pub fn lease_size(value_kb: f64, name: usize, chunk: u32, task_count: u32) -> u32 {
    let most = (value_kb * 1024.0 / 2.0) as usize / (SHARE_BYTES + name);
    chunk * task_count.div_ceil(chunk).div_ceil(most.max(1) as u32).max(1)
}

/// The most that the record of a chunk takes.
pub fn chunk_bytes(size: u32) -> usize {
    (size * PLACE_BYTES) as usize
}

/// A place takes at most 24 bytes and the machine's name.
const PLACE_BYTES: u32 = 48;
/// A lease takes at most this and the member's name.
const SHARE_BYTES: usize = 40;
/// Writes a second for which a chunk could take the whole value limit; it
/// takes half of it at most.
const CHUNK_WRITES: f64 = 1.75;

/// Marks `index` in a sorted list of inclusive ranges.
pub fn add_to_ranges(ranges: &mut Vec<(u32, u32)>, index: u32) {
    let at = ranges.partition_point(|r| r.1 < index);
    if ranges.get(at).is_some_and(|r| r.0 <= index) {
        return;
    }
    let joins_left = at > 0 && ranges[at - 1].1 + 1 == index;
    let joins_right = ranges.get(at).is_some_and(|r| r.0 == index + 1);
    match (joins_left, joins_right) {
        (true, true) => {
            ranges[at - 1].1 = ranges[at].1;
            ranges.remove(at);
        }
        (true, false) => ranges[at - 1].1 = index,
        (false, true) => ranges[at].0 = index,
        (false, false) => ranges.insert(at, (index, index)),
    }
}

pub fn in_ranges(ranges: &[(u32, u32)], index: u32) -> bool {
    let at = ranges.partition_point(|r| r.1 < index);
    ranges.get(at).is_some_and(|r| r.0 <= index)
}

pub fn count_ranges(ranges: &[(u32, u32)]) -> u32 {
    ranges.iter().map(|r| r.1 - r.0 + 1).sum()
}

/// A versioned record as the view holds it.
#[derive(Debug, Clone)]
pub struct Versioned<T> {
    pub rec: T,
    pub version: u64,
}

pub type Versions<T> = BTreeMap<String, Versioned<T>>;

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ranges_agree_with_a_set_whatever_the_order() {
        let order = [5u32, 3, 4, 9, 0, 8, 1, 7, 4, 2];
        let mut ranges = Vec::new();
        let mut set = std::collections::BTreeSet::new();
        for i in order {
            add_to_ranges(&mut ranges, i);
            set.insert(i);
            for probe in 0..11 {
                assert_eq!(in_ranges(&ranges, probe), set.contains(&probe));
            }
            assert_eq!(count_ranges(&ranges), set.len() as u32);
        }
        assert_eq!(ranges, vec![(0, 5), (7, 9)]);
    }

    /// A record over the store's limit could never be written, and its tasks
    /// would be started again and again.
    #[test]
    fn the_fullest_chunk_fits_the_store() {
        let size = chunk_size(8.0, 1.0);
        let place = |index| Placement { index, machine: "host-000231".into(), attempt: 100_000 };
        let full = TaskRangeCheckpoint {
            done: (0..size / 2).map(|i| (99_000 + i * 2, 99_000 + i * 2)).collect(),
            on: (0..size).map(|i| place(99_000 + i)).collect(),
            highest_attempt: 100_000,
            as_of_revision: u64::MAX,
        };
        let bytes = crate::protocol::encode(&full).len();
        assert!(bytes <= 8 * 1024, "{bytes}");
    }

    /// A job of 25,000 tasks went to seven controllers in 595 leases: its record was
    /// over the store's limit, and it was refused for as long as its user asked.
    #[test]
    fn the_leases_of_the_largest_job_fit_its_record() {
        // Limits are counted in the form of JSON.
        let each = r#"{"member":"perch-6","from":99999,"to":99999},"#.len();
        for (value_kb, writes, task_count) in [(8.0, 7.1, 25_000), (8.0, 100.0, 100_000), (4.0, 1.0, 100_000)] {
            let chunk = chunk_size(value_kb, writes);
            let size = lease_size(value_kb, "perch-6".len(), chunk, task_count);
            let bytes = task_count.div_ceil(size) as usize * each;
            assert!(bytes as f64 <= value_kb * 512.0, "{bytes} of {value_kb} KiB");
            assert_eq!(size % chunk, 0, "a chunk has one holder");
        }
        // What is not so large is leased as finely as ever.
        assert_eq!(lease_size(8.0, 7, 42, 400), 42);
    }
}
