//! The stored form of log segments, its size bound and invalid segments.

use super::*;
use crate::protocol::{decode, encode};

fn place(index: u32, machine: &str, attempt: u64) -> Placement {
    Placement { index, machine: machine.into(), attempt }
}

fn sample() -> BTreeMap<String, Facts> {
    let a = Facts {
        done: [0, 1, 2, 7].into(),
        gone: [(4, 2), (5, 2)].into(),
        starts: vec![place(9, "host-000001", 3), place(8, "host-000002", 3)],
    };
    let b = Facts { starts: vec![place(0, "host-000001", 1)], ..Facts::default() };
    [("run-a".to_string(), a), ("run-b".to_string(), b)].into()
}

/// Entries read back from a stored segment are those that were written.
#[test]
fn entries_survive_encoding() {
    let facts = sample();
    let rec: LogSegmentRecord = decode(&encode(&LogSegmentRecord::of(5, &facts))).unwrap();
    assert_eq!((rec.seq, rec.machines.len(), rec.done.len()), (5, 2, 2));
    let back = rec.facts(1000).unwrap();
    assert_eq!(back.into_iter().map(|(u, f)| (u.to_string(), f)).collect::<BTreeMap<_, _>>(), facts);
}

/// A segment over the value limit would be refused on every attempt, and with it
/// every later one.
#[test]
fn the_size_bound_holds_for_the_largest_numbers() {
    let many = 300u32;
    let mut f = Facts::default();
    let mut most = bytes::FRAME + bytes::name("run-000412");
    for i in 0..many {
        let name = format!("host-{i:06}");
        most += bytes::DONE + bytes::GONE + bytes::START + bytes::name(&name);
        f.done.insert(u32::MAX - 2 * i);
        f.gone.insert((u32::MAX - i, u64::MAX - 1));
        f.starts.push(place(u32::MAX - i, &name, u64::MAX));
    }
    let rec = LogSegmentRecord::of(u64::MAX, &[("run-000412".to_string(), f)].into());
    assert!(encode(&rec).len() <= most, "{} of {most}", encode(&rec).len());
}

/// A damaged segment must not stop the replica, nor make it expand an endless range.
#[test]
fn an_invalid_segment_is_an_error_and_no_panic() {
    let mut rec = LogSegmentRecord::of(3, &sample());
    rec.starts.push((0, 1, 99, 1));
    assert_eq!(rec.facts(10), Err(InvalidSegment(3)));
    let mut rec = LogSegmentRecord::of(4, &sample());
    rec.gone.push((7, 1, 1));
    assert_eq!(rec.facts(10), Err(InvalidSegment(4)));
    let mut rec = LogSegmentRecord::of(4, &sample());
    rec.done.push((0, 0, u32::MAX));
    assert_eq!(rec.facts(10).unwrap()["run-a"].done.len(), 11, "no endless range");
}
