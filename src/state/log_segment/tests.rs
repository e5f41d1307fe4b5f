//! Tests of the stored form of log segments, of the bounds of their size and of invalid
//! segments.

use super::*;
use crate::protocol::{decode, encode};

fn placement(index: u32, machine: &str, attempt: u64) -> Placement {
    Placement { index, machine: machine.into(), attempt }
}

fn sample() -> BTreeMap<String, LogEntries> {
    let a = LogEntries {
        done: [0, 1, 2, 7].into(),
        gone: [(4, 2), (5, 2)].into(),
        starts: vec![placement(9, "host-000001", 3), placement(8, "host-000002", 3)],
    };
    let b = LogEntries { starts: vec![placement(0, "host-000001", 1)], ..LogEntries::default() };
    [("run-a".to_string(), a), ("run-b".to_string(), b)].into()
}

/// Entries that are read back from a stored segment equal those that were written.
#[test]
fn decoding_returns_the_encoded_entries() {
    let facts = sample();
    let rec: LogSegmentRecord = decode(&encode(&LogSegmentRecord::from_entries(5, &facts))).unwrap();
    assert_eq!((rec.seq, rec.machines.len(), rec.done.len()), (5, 2, 2));
    let back = rec.entries_by_job(1000).unwrap();
    assert_eq!(back.into_iter().map(|(u, f)| (u.to_string(), f)).collect::<BTreeMap<_, _>>(), facts);
}

/// The store would refuse a segment over its value limit on every attempt, which would block
/// all later segments of the log.
#[test]
fn the_size_bound_holds_for_the_largest_numbers() {
    let entry_count = 300u32;
    let mut entries = LogEntries::default();
    let mut max_bytes = max_bytes::OVERHEAD + max_bytes::name("run-000412");
    for i in 0..entry_count {
        let name = format!("host-{i:06}");
        max_bytes += max_bytes::COMPLETION + max_bytes::REMOVAL + max_bytes::START + max_bytes::name(&name);
        entries.done.insert(u32::MAX - 2 * i);
        entries.gone.insert((u32::MAX - i, u64::MAX - 1));
        entries.starts.push(placement(u32::MAX - i, &name, u64::MAX));
    }
    let rec = LogSegmentRecord::from_entries(u64::MAX, &[("run-000412".to_string(), entries)].into());
    assert!(encode(&rec).len() <= max_bytes, "{} of {max_bytes}", encode(&rec).len());
}

/// A damaged segment must not make the replica panic or expand an unbounded range.
#[test]
fn an_invalid_segment_gives_an_error() {
    let mut rec = LogSegmentRecord::from_entries(3, &sample());
    rec.starts.push((0, 1, 99, 1));
    assert_eq!(rec.entries_by_job(10), Err(InvalidSegment(3)));
    let mut rec = LogSegmentRecord::from_entries(4, &sample());
    rec.gone.push((7, 1, 1));
    assert_eq!(rec.entries_by_job(10), Err(InvalidSegment(4)));
    let mut rec = LogSegmentRecord::from_entries(4, &sample());
    rec.done.push((0, 0, u32::MAX));
    assert_eq!(rec.entries_by_job(10).unwrap()["run-a"].done.len(), 11, "the range is cut off");
}
