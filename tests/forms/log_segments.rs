//! Segments of the controllers' logs, and the view made from records of versions
//! before the logs.

use crate::fixture::{assert_cbor, bytes};
use ciborium::{Value, cbor};
use finchquay::protocol::{decode, encode};
use finchquay::state::ClusterState;
use finchquay::state::log_segment::{Facts, LogSegmentRecord};
use finchquay::state::records::{Placement, from_value, to_value};
use std::collections::BTreeMap;

/// More tasks than any job of the fixtures has.
const TASKS: u32 = 1000;

fn place(index: u32, machine: &str, attempt: u64) -> Placement {
    Placement { index, machine: machine.into(), attempt }
}

fn facts() -> BTreeMap<String, Facts> {
    let first = Facts {
        done: [0, 1, 2, 7].into(),
        gone: [(4, 20), (5, 21)].into(),
        starts: vec![place(9, "host-000231", 30), place(8, "host-000232", 31)],
    };
    let second = Facts { starts: vec![place(0, "host-000231", 40)], ..Facts::default() };
    [("run-000412".to_string(), first), ("run-000413".to_string(), second)].into()
}

fn stored_segment(name: &str, seq: u64, facts: &BTreeMap<String, Facts>) {
    assert_cbor(name, &encode(&to_value(&LogSegmentRecord::of(seq, facts))));
    let stored: Value = decode(&bytes(name)).unwrap();
    let segment: LogSegmentRecord = from_value(&stored).unwrap();
    assert_eq!(segment.seq, seq);
    let read = segment.facts(TASKS).unwrap();
    let read: BTreeMap<String, Facts> = read.into_iter().map(|(uid, facts)| (uid.to_string(), facts)).collect();
    assert_eq!(&read, facts, "{name}");
}

#[test]
fn segments_stay() {
    stored_segment("segment", 5, &facts());
    stored_segment("segment-empty", 6, &BTreeMap::new());
}

#[test]
fn segments_without_lists_are_read() {
    let segment: LogSegmentRecord = from_value(&cbor!({"n" => 6}).unwrap()).unwrap();
    assert_eq!(segment, LogSegmentRecord::of(6, &BTreeMap::new()));
    assert_eq!(from_value::<LogSegmentRecord>(&cbor!({"j" => []}).unwrap()), None);
}

/// A chunk that was stored before there were logs holds everything up to its own
/// revision: older segments must not be applied to it again, newer ones must.
#[test]
fn chunks_from_before_the_logs_hold_up_to_their_own_revision() {
    let mut view = ClusterState::loading(8, 20);
    let job: Value = decode(&bytes("record-job-living")).unwrap();
    view.put("fq/j/run-000412", &job, 1);
    let chunk = cbor!({"on" => [{"i" => 0, "m" => "host-000231", "a" => 1}], "tries" => 1}).unwrap();
    view.put("fq/t/run-000412/0", &chunk, 7);
    view.put("fq/term", &cbor!({"term" => 4}).unwrap(), 2);
    let gone = cbor!({"n" => 1, "j" => ["run-000412"], "g" => [[0, 0, 1]]}).unwrap();
    view.put("fq/l/perch-0/1", &gone, 5);
    view.loaded();
    assert_eq!((view.jobs["run-000412"].placed, view.format_version()), (1, 0));
    let gone = cbor!({"n" => 2, "j" => ["run-000412"], "g" => [[0, 0, 1]]}).unwrap();
    view.put("fq/l/perch-0/2", &gone, 21);
    assert_eq!(view.jobs["run-000412"].placed, 0);
}
