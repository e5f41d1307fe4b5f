//! Segments of the controllers' logs, and the state loaded from records that versions without
//! logs stored.

use crate::fixture::{assert_cbor, bytes};
use ciborium::{Value, cbor};
use finchquay::protocol::{decode, encode};
use finchquay::state::ClusterState;
use finchquay::state::log_segment::{LogEntries, LogSegmentRecord};
use finchquay::state::records::{Placement, from_value, to_value};
use std::collections::BTreeMap;

/// A task count above that of every job in the fixtures.
const TASK_COUNT: u32 = 1000;

/// Returns the placement of a task.
fn placement(index: u32, machine: &str, attempt: u64) -> Placement {
    Placement { index, machine: machine.into(), attempt }
}

/// Returns entries about two jobs.
fn entries() -> BTreeMap<String, LogEntries> {
    let first = LogEntries {
        done: [0, 1, 2, 7].into(),
        gone: [(4, 20), (5, 21)].into(),
        starts: vec![placement(9, "host-000231", 30), placement(8, "host-000232", 31)],
    };
    let second = LogEntries { starts: vec![placement(0, "host-000231", 40)], ..LogEntries::default() };
    [("run-000412".to_string(), first), ("run-000413".to_string(), second)].into()
}

/// Asserts that a segment is stored as the fixture, and that the fixture is read back.
fn assert_stored_segment(name: &str, seq: u64, entries: &BTreeMap<String, LogEntries>) {
    assert_cbor(name, &encode(&to_value(&LogSegmentRecord::from_entries(seq, entries))));
    let stored: Value = decode(&bytes(name)).unwrap();
    let segment: LogSegmentRecord = from_value(&stored).unwrap();
    assert_eq!(segment.seq, seq);
    let read = segment.entries_by_job(TASK_COUNT).unwrap();
    let read: BTreeMap<String, LogEntries> =
        read.into_iter().map(|(uid, entries)| (uid.to_string(), entries)).collect();
    assert_eq!(&read, entries, "{name}");
}

#[test]
fn segments_are_unchanged() {
    assert_stored_segment("segment", 5, &entries());
    assert_stored_segment("segment-empty", 6, &BTreeMap::new());
}

#[test]
fn segments_without_lists_are_read() {
    let segment: LogSegmentRecord = from_value(&cbor!({"n" => 6}).unwrap()).unwrap();
    assert_eq!(segment, LogSegmentRecord::from_entries(6, &BTreeMap::new()));
    assert_eq!(from_value::<LogSegmentRecord>(&cbor!({"j" => []}).unwrap()), None);
}

/// A checkpoint stored by a version without logs holds everything up to its own revision. Older
/// segments must not be applied to it, newer ones must.
#[test]
fn segments_older_than_a_checkpoint_without_logs_are_not_applied() {
    let mut state = ClusterState::loading(8, 20);
    let job: Value = decode(&bytes("record-job-living")).unwrap();
    state.put("fq/j/run-000412", &job, 1);
    let checkpoint = cbor!({"on" => [{"i" => 0, "m" => "host-000231", "a" => 1}], "tries" => 1}).unwrap();
    state.put("fq/t/run-000412/0", &checkpoint, 7);
    state.put("fq/term", &cbor!({"term" => 4}).unwrap(), 2);
    let older = cbor!({"n" => 1, "j" => ["run-000412"], "g" => [[0, 0, 1]]}).unwrap();
    state.put("fq/l/perch-0/1", &older, 5);
    state.finish_loading();
    assert_eq!((state.jobs["run-000412"].placed, state.format_version()), (1, 0));
    let newer = cbor!({"n" => 2, "j" => ["run-000412"], "g" => [[0, 0, 1]]}).unwrap();
    state.put("fq/l/perch-0/2", &newer, 21);
    assert_eq!(state.jobs["run-000412"].placed, 0);
}
