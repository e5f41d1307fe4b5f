//! The largest records against the store's value limit.

use super::*;
use crate::state::records::TaskRangeCheckpoint;
use crate::state::task_placement::Placement;

/// A record over the store's limit could never be written, and its tasks would be
/// started again and again.
#[test]
fn the_largest_checkpoint_fits_the_value_limit() {
    let size = checkpoint_size(8.0, 1.0);
    let place = |index| Placement { index, machine: "host-000231".into(), attempt: 100_000 };
    let full = TaskRangeCheckpoint {
        done: (0..size / 2).map(|i| (99_000 + i * 2, 99_000 + i * 2)).collect(),
        on: (0..size).map(|i| place(99_000 + i)).collect(),
        highest_attempt: 100_000,
        as_of_revision: u64::MAX,
    };
    let bytes = crate::protocol::encode(&full).len();
    assert!(bytes <= 8 * 1024, "{bytes}");
}

/// A job of 25,000 tasks was split between seven controllers into 595 ranges: its record
/// exceeded the store's limit, and it was refused for as long as its user asked.
#[test]
fn the_task_ranges_of_the_largest_job_fit_its_record() {
    // Limits are counted in the form of JSON.
    let each = r#"{"member":"perch-6","from":99999,"to":99999},"#.len();
    for (value_kb, writes, task_count) in [(8.0, 7.1, 25_000), (8.0, 100.0, 100_000), (4.0, 1.0, 100_000)] {
        let chunk = checkpoint_size(value_kb, writes);
        let size = task_range_size(value_kb, "perch-6".len(), chunk, task_count);
        let bytes = task_count.div_ceil(size) as usize * each;
        assert!(bytes as f64 <= value_kb * 512.0, "{bytes} of {value_kb} KiB");
        assert_eq!(size % chunk, 0, "a checkpoint belongs to one range");
    }
    // A job that is not so large is split as finely as ever.
    assert_eq!(task_range_size(8.0, 7, 42, 400), 42);
}
