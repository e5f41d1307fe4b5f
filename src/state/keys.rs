//! The keys under which records are kept in the store. All of them share one prefix, so that
//! a single watch delivers every change.

#![warn(missing_docs)]

/// The prefix of all keys.
pub const PREFIX: &str = "fq/";
/// A key that is never written. Reading it returns the store's current revision.
pub const BARRIER_KEY: &str = "fq/none";
/// The key of `TermRecord`.
pub const TERM_KEY: &str = "fq/term";
/// The key of `LeaderRecord`.
pub const LEADER_KEY: &str = "fq/lead";
/// A key that changes together with every machine group of several machines. A write that
/// requires its version fails for a controller that has not seen the newest such group, so no
/// machine of the group is recorded a second time.
pub const MACHINE_GROUPS_KEY: &str = "fq/packs";
/// The key of `CatalogRecord`.
pub const CATALOG_KEY: &str = "fq/catalog";
/// The key of `MaintenanceRecord`.
pub const MAINTENANCE_KEY: &str = "fq/upkeep";
/// The prefix of the keys of `ShardGrantRecord`.
pub const SHARD_GRANTS_PREFIX: &str = "fq/b/";
/// The prefix of the keys of `TeamRecord`.
pub const TEAMS_PREFIX: &str = "fq/q/";

/// The number of slots of a controller's log, which is a ring buffer of segments. Once all
/// slots are used, the next segment overwrites the oldest one, whose contents must be in
/// checkpoints by then.
///
/// At two segments a second, an array job of the usual length ends before its segments are
/// overwritten, so most segments never need a checkpoint. In return, reading the store takes a
/// few more pages.
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

/// The key of the log slot to which the member's segment number `seq` is written.
pub fn log_key(member: &str, seq: u64) -> String {
    format!("fq/l/{member}/{}", seq % LOG_SLOTS)
}

/// The key of a job's `TaskRangeCheckpoint` with the number `chunk`.
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

/// A parsed key of the store.
#[derive(Debug, PartialEq, Eq)]
pub enum Key<'a> {
    /// `TERM_KEY`.
    Term,
    /// `LEADER_KEY`.
    Leader,
    /// `MACHINE_GROUPS_KEY`.
    MachineGroups,
    /// `CATALOG_KEY`.
    Catalog,
    /// `MAINTENANCE_KEY`.
    Maintenance,
    /// A `MemberRecord`: the member's name.
    Member(&'a str),
    /// A `ShardGrantRecord`: the member's name.
    ShardGrant(&'a str),
    /// A `JobRecord`: the job's uid.
    Job(&'a str),
    /// A `TaskRangeCheckpoint`: the job's uid and the checkpoint's number.
    TaskRangeCheckpoint(&'a str, u32),
    /// A log segment: the member's name and the slot.
    LogSegment(&'a str, u64),
    /// A `MachineGroupRecord`: the name of the group's first machine.
    MachineGroup(&'a str),
    /// A `TeamRecord`: the team's name.
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

/// Parses a key that contains the name of a record, `fq/KIND/NAME`.
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
            let (uid, number) = name.rsplit_once('/')?;
            Some(Key::TaskRangeCheckpoint(uid, number.parse().ok()?))
        }
        _ => None,
    }
}

/// Whether a key of this form is never deleted once it exists; false for unknown keys.
pub fn is_permanent(key: &str) -> bool {
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
