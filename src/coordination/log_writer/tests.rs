//! What fits into a segment and into a transaction, and when a segment is due.

use super::*;
use crate::protocol::encode;
use crate::state::log_segment::LogSegmentRecord;
use crate::state::records::Placement;

fn need(group: &str, machine: &str) -> FactRequirements {
    let conditions = vec![(group.to_string(), 7), ("fq/j/run-1".to_string(), 3)];
    FactRequirements { conditions, machine: Some(machine.into()), bytes: bytes::START }
}

/// A transaction over a limit is refused as malformed, again and again.
#[test]
fn a_segment_stays_within_both_limits() {
    let mut segment = SegmentBuilder::new(Limits { conditions: 10, bytes: 8192 });
    let taken = (0..40).filter(|i| segment.take("run-1", &[&need(&format!("fq/h/{i}"), "m")])).count();
    assert_eq!((taken, segment.conditions.len()), (9, 10), "the job's record is one of them");
    let mut segment = SegmentBuilder::new(Limits { conditions: 1000, bytes: 1024 });
    let mut taken = 0;
    while segment.take("run-1", &[&need("fq/h/p", &format!("host-{taken:06}"))]) {
        let place = Placement { index: u32::MAX, machine: format!("host-{taken:06}"), attempt: u64::MAX };
        segment.facts.get_mut("run-1").unwrap().starts.push(place);
        taken += 1;
    }
    let size = encode(&LogSegmentRecord::of(u64::MAX, &segment.facts)).len();
    assert!(taken > 15 && size <= 1024, "{taken} starts in {size} bytes");
}

/// Half a gang in a segment would start without the other half.
#[test]
fn facts_of_a_gang_are_added_all_or_none() {
    let mut segment = SegmentBuilder::new(Limits { conditions: 4, bytes: 8192 });
    let needs: Vec<FactRequirements> = (0..4).map(|i| need(&format!("fq/h/{i}"), "m")).collect();
    assert!(!segment.take("run-1", &needs.iter().collect::<Vec<_>>()) && segment.is_empty());
    assert!(segment.take("run-1", &needs[..3].iter().collect::<Vec<_>>()));
    assert_eq!(segment.conditions().count(), 4);
}

/// With values of 32 KiB a segment and the checkpoints beside it came to more
/// than a transaction holds: it would have been refused as malformed for ever.
#[test]
fn a_segment_and_its_checkpoints_fit_into_a_transaction() {
    for value in [1, 8, 32, 64, 512].map(|kb| kb * 1024) {
        let (segment, checkpoints) = byte_shares(value);
        assert!(segment <= value && segment + checkpoints <= 48 * 1024 && checkpoints >= 12 * 1024, "{value}");
    }
    assert_eq!(byte_shares(8 * 1024), (8 * 1024, 40 * 1024));
    assert_eq!(fitting([16 * 1024; 8]), 3);
    assert_eq!((fitting([2 * 1024; 8]), fitting([60 * 1024; 2])), (8, 1));
}

/// Facts that can wait must neither hold up the first segment nor follow at once.
#[test]
fn facts_that_can_wait_are_sent_at_intervals() {
    let s = Duration::from_secs_f64;
    let mut writer = LogWriter::default();
    assert!(writer.due(s(0.0)));
    writer.sent(s(1.0), s(0.5));
    assert!(writer.busy && !writer.due(s(1.4)) && writer.due(s(1.5)));
}
