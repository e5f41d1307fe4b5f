//! Keys of the stored records: their text, how they are parsed, and which keys are never deleted
//! once they exist.

use finchquay::state::log_segment::LOG_SLOTS;
use finchquay::state::records::{
    self, Key, checkpoint_key, is_permanent, job_key, log_key, machine_group_key, member_key, parse_key,
    shard_grant_key, team_key,
};

#[test]
fn constant_keys_are_unchanged() {
    assert_eq!(records::PREFIX, "fq/");
    assert_eq!(records::BARRIER_KEY, "fq/none");
    assert_eq!(records::TERM_KEY, "fq/term");
    assert_eq!(records::LEADER_KEY, "fq/lead");
    assert_eq!(records::MACHINE_GROUPS_KEY, "fq/packs");
    assert_eq!(records::CATALOG_KEY, "fq/catalog");
    assert_eq!(records::MAINTENANCE_KEY, "fq/upkeep");
    assert_eq!(records::SHARD_GRANTS_PREFIX, "fq/b/");
    assert_eq!(records::TEAMS_PREFIX, "fq/q/");
}

#[test]
fn keys_of_named_records_are_unchanged() {
    assert_eq!(member_key("perch-0"), "fq/m/perch-0");
    assert_eq!(shard_grant_key("perch-0"), "fq/b/perch-0");
    assert_eq!(job_key("run-000412"), "fq/j/run-000412");
    assert_eq!(checkpoint_key("run-000412", 3), "fq/t/run-000412/3");
    assert_eq!(team_key("search"), "fq/q/search");
    assert_eq!(machine_group_key("host-000231"), "fq/h/host-000231");
}

/// A log is a ring buffer: the slot of a segment is its sequence number modulo the number of
/// slots.
#[test]
fn keys_of_log_slots_are_unchanged() {
    assert_eq!(LOG_SLOTS, 256);
    assert_eq!(log_key("perch-0", 0), "fq/l/perch-0/0");
    assert_eq!(log_key("perch-0", 255), "fq/l/perch-0/255");
    assert_eq!(log_key("perch-0", 256), "fq/l/perch-0/0");
    assert_eq!(log_key("perch-0", 1000), "fq/l/perch-0/232");
}

#[test]
fn every_kind_of_key_is_parsed() {
    for (key, expected, permanent) in [
        ("fq/term", Key::Term, true),
        ("fq/lead", Key::Leader, false),
        ("fq/packs", Key::MachineGroups, true),
        ("fq/catalog", Key::Catalog, true),
        ("fq/upkeep", Key::Maintenance, true),
        ("fq/m/perch-0", Key::Member("perch-0"), false),
        ("fq/b/perch-0", Key::ShardGrant("perch-0"), true),
        ("fq/j/run-000412", Key::Job("run-000412"), true),
        ("fq/t/run-000412/3", Key::TaskRangeCheckpoint("run-000412", 3), false),
        ("fq/l/perch-0/255", Key::LogSegment("perch-0", 255), true),
        ("fq/l/a/b/7", Key::LogSegment("a/b", 7), true),
        ("fq/h/host-000231", Key::MachineGroup("host-000231"), false),
        ("fq/q/search", Key::Team("search"), true),
    ] {
        assert_eq!(parse_key(key), Some(expected), "{key}");
        assert_eq!(is_permanent(key), permanent, "{key}");
    }
}

#[test]
fn other_keys_are_not_parsed() {
    for key in ["fq/none", "fq/", "fq/x/a", "fq/t/run-000412", "fq/t/run-000412/x", "fq/l/perch-0", "other/m/a", ""] {
        assert_eq!(parse_key(key), None, "{key}");
        assert!(!is_permanent(key), "{key}");
    }
}
