//! The keys under which records are kept in the store. All of them share one prefix, so
//! that one watch sees every change.

/// The prefix of all keys.
pub const PREFIX: &str = "fq/";
/// A key that is never written: reading it returns the store's current revision.
pub const BARRIER_KEY: &str = "fq/none";
/// The key of `TermRecord`.
pub const TERM_KEY: &str = "fq/term";
/// The key of `LeaderRecord`.
pub const LEADER_KEY: &str = "fq/lead";
/// Changed together with every machine group of several machines, so that a controller
/// that has not seen the group cannot record one of its machines a second time.
pub const MACHINE_GROUPS_KEY: &str = "fq/packs";
/// The key of `CatalogRecord`.
pub const CATALOG_KEY: &str = "fq/catalog";
/// The key of `MaintenanceRecord`.
pub const MAINTENANCE_KEY: &str = "fq/upkeep";
/// The prefix of the keys of `ShardGrantRecord`.
pub const SHARD_GRANTS_PREFIX: &str = "fq/b/";
/// The prefix of the keys of `TeamRecord`.
pub const TEAMS_PREFIX: &str = "fq/q/";

/// The slots of a controller's log, which is a ring buffer of segments. The next segment
/// overwrites the oldest one, whose contents must be in checkpoints by then.
///
/// At two segments a second an array job of the usual length ends before its segments
/// are overwritten, so that most of them never need a checkpoint; reading the store takes
/// a few more pages in return.
pub const LOG_SLOTS: u64 = 256;

/// The key of a member's `MemberRecord`.
pub fn member_key(name: &str) -> String {
    format!("fq/m/{name}")
}

/// The key of a member's `ShardGrantRecord`.
pub fn shard_grant_key(member: &str) -> String {
    format!("{SHARD_GRANTS_PREFIX}{member}")
}

/// The key of a job's `JobRecord`.
pub fn job_key(uid: &str) -> String {
    format!("fq/j/{uid}")
}

/// The key of the log slot that the member's segment `seq` is written to.
pub fn log_key(member: &str, seq: u64) -> String {
    format!("fq/l/{member}/{}", seq % LOG_SLOTS)
}

/// The key of the `TaskRangeCheckpoint` number `chunk` of a job.
pub fn checkpoint_key(uid: &str, chunk: u32) -> String {
    format!("fq/t/{uid}/{chunk}")
}

/// The key of a team's `TeamRecord`.
pub fn team_key(name: &str) -> String {
    format!("{TEAMS_PREFIX}{name}")
}

/// The key of a `MachineGroupRecord`; `name` is the name of the group's first machine.
pub fn machine_group_key(name: &str) -> String {
    format!("fq/h/{name}")
}

/// A parsed key.
#[derive(Debug, PartialEq, Eq)]
pub enum Key<'a> {
    Term,
    Leader,
    MachineGroups,
    Catalog,
    Maintenance,
    /// A member.
    Member(&'a str),
    /// A shard grant, by member.
    ShardGrant(&'a str),
    /// A job.
    Job(&'a str),
    /// A task-range checkpoint: job and number.
    TaskRangeCheckpoint(&'a str, u32),
    /// A log segment: member and slot.
    LogSegment(&'a str, u64),
    /// A machine group.
    MachineGroup(&'a str),
    /// A team.
    Team(&'a str),
}

/// Parses a key; `None` if no record has such a key.
pub fn parse_key(key: &str) -> Option<Key<'_>> {
    match key {
        TERM_KEY => Some(Key::Term),
        LEADER_KEY => Some(Key::Leader),
        MACHINE_GROUPS_KEY => Some(Key::MachineGroups),
        CATALOG_KEY => Some(Key::Catalog),
        MAINTENANCE_KEY => Some(Key::Maintenance),
        _ => parse_named_key(key),
    }
}

fn parse_named_key(key: &str) -> Option<Key<'_>> {
    let (kind, name) = key.strip_prefix(PREFIX)?.split_once('/')?;
    match kind {
        "m" => Some(Key::Member(name)),
        "b" => Some(Key::ShardGrant(name)),
        "j" => Some(Key::Job(name)),
        "h" => Some(Key::MachineGroup(name)),
        "q" => Some(Key::Team(name)),
        "l" => {
            let (member, slot) = name.rsplit_once('/')?;
            Some(Key::LogSegment(member, slot.parse().ok()?))
        }
        "t" => {
            let (uid, chunk) = name.rsplit_once('/')?;
            Some(Key::TaskRangeCheckpoint(uid, chunk.parse().ok()?))
        }
        _ => None,
    }
}

/// Whether the key is never deleted once it exists.
pub fn lasts(key: &str) -> bool {
    match parse_key(key) {
        Some(Key::Leader | Key::Member(_) | Key::MachineGroup(_) | Key::TaskRangeCheckpoint(..)) | None => false,
        Some(
            Key::Term
            | Key::MachineGroups
            | Key::Catalog
            | Key::Maintenance
            | Key::ShardGrant(_)
            | Key::Job(_)
            | Key::Team(_)
            | Key::LogSegment(..),
        ) => true,
    }
}
