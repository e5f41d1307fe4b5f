//! Tests of what fits into a segment and a transaction, and of when a segment is due.

use super::*;
use crate::protocol::encode;
use crate::state::log_segment::LogSegmentRecord;
use crate::state::records::Placement;

fn requirements(group: &str, machine: &str) -> FactRequirements {
    let conditions = vec![(group.to_string(), 7), ("fq/j/run-1".to_string(), 3)];
    FactRequirements { conditions, machine: Some(machine.into()), bytes: max_bytes::START }
}

/// The store refuses a transaction over a limit as malformed, at every attempt.
#[test]
fn a_segment_stays_within_both_limits() {
    let mut segment = SegmentBuilder::new(SegmentLimits { conditions: 10, bytes: 8192 });
    let taken = (0..40).filter(|i| segment.try_reserve("run-1", &[&requirements(&format!("fq/h/{i}"), "m")])).count();
    assert_eq!((taken, segment.conditions.len()), (9, 10), "the job's record is one of them");
    let mut segment = SegmentBuilder::new(SegmentLimits { conditions: 1000, bytes: 1024 });
    let mut taken = 0;
    while segment.try_reserve("run-1", &[&requirements("fq/h/p", &format!("host-{taken:06}"))]) {
        let place = Placement { index: u32::MAX, machine: format!("host-{taken:06}"), attempt: u64::MAX };
        segment.entries.get_mut("run-1").unwrap().starts.push(place);
        taken += 1;
    }
    let size = encode(&LogSegmentRecord::from_entries(u64::MAX, &segment.entries)).len();
    assert!(taken > 15 && size <= 1024, "{taken} starts in {size} bytes");
}

/// If a segment held only a part of a gang, that part would start without the rest.
#[test]
fn facts_of_a_gang_are_added_all_or_none() {
    let mut segment = SegmentBuilder::new(SegmentLimits { conditions: 4, bytes: 8192 });
    let tasks: Vec<FactRequirements> = (0..4).map(|i| requirements(&format!("fq/h/{i}"), "m")).collect();
    assert!(!segment.try_reserve("run-1", &tasks.iter().collect::<Vec<_>>()) && segment.is_empty());
    assert!(segment.try_reserve("run-1", &tasks[..3].iter().collect::<Vec<_>>()));
    assert_eq!(segment.conditions().count(), 4);
}

/// With values of 32 KiB, a segment and its checkpoints together exceeded the size of a
/// transaction, so the store would have refused every attempt as malformed.
#[test]
fn a_segment_and_its_checkpoints_fit_into_a_transaction() {
    for value in [1, 8, 32, 64, 512].map(|kb| kb * 1024) {
        let (segment, checkpoints) = byte_limits(value);
        assert!(segment <= value && segment + checkpoints <= 48 * 1024 && checkpoints >= 12 * 1024, "{value}");
    }
    assert_eq!(byte_limits(8 * 1024), (8 * 1024, 40 * 1024));
    assert_eq!(count_that_fit([16 * 1024; 8]), 3);
    assert_eq!((count_that_fit([2 * 1024; 8]), count_that_fit([60 * 1024; 2])), (8, 1));
}

/// Facts that can wait are sent at once in the first segment, but not again before the interval
/// has passed.
#[test]
fn facts_that_can_wait_are_sent_at_intervals() {
    let s = Duration::from_secs_f64;
    let mut writer = LogWriter::default();
    assert!(writer.due(s(0.0)));
    writer.record_sent(s(1.0), s(0.5));
    assert!(writer.segment_in_flight && !writer.due(s(1.4)) && writer.due(s(1.5)));
}
