//! Tests that the largest records fit the store's value limit.

use super::*;
use crate::state::records::TaskRangeCheckpoint;
use crate::state::task_placement::Placement;

/// A record over the store's value limit could never be written, and its tasks would be
/// started again and again.
#[test]
fn the_largest_checkpoint_fits_the_value_limit() {
    let size = checkpoint_size(8.0, 1.0);
    let placement = |index| Placement { index, machine: "host-000231".into(), attempt: 100_000 };
    let full = TaskRangeCheckpoint {
        done: (0..size / 2).map(|i| (99_000 + i * 2, 99_000 + i * 2)).collect(),
        placements: (0..size).map(|i| placement(99_000 + i)).collect(),
        highest_attempt: 100_000,
        as_of_revision: u64::MAX,
    };
    let bytes = crate::protocol::encode(&full).len();
    assert!(bytes <= 8 * 1024, "{bytes}");
}

/// A job that is split into too many ranges has a record that exceeds the store's value limit,
/// and could never be accepted. This happened with 25,000 tasks split between seven controllers
/// into 595 ranges.
#[test]
fn the_task_ranges_of_the_largest_job_fit_its_record() {
    // Sizes are counted in the JSON form of a record.
    let range_bytes = r#"{"member":"perch-6","from":99999,"to":99999},"#.len();
    for (value_kb, writes_per_s, task_count) in [(8.0, 7.1, 25_000), (8.0, 100.0, 100_000), (4.0, 1.0, 100_000)] {
        let checkpoint_size = checkpoint_size(value_kb, writes_per_s);
        let size = task_range_size(value_kb, "perch-6".len(), checkpoint_size, task_count);
        let bytes = task_count.div_ceil(size) as usize * range_bytes;
        assert!(bytes as f64 <= value_kb * 512.0, "{bytes} of {value_kb} KiB");
        assert_eq!(size % checkpoint_size, 0, "no checkpoint is split between two ranges");
    }
    // A smaller job is split into ranges of one checkpoint each.
    assert_eq!(task_range_size(8.0, 7, 42, 400), 42);
}
