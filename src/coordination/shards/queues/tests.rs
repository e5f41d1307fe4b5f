//! Tests of which waiting jobs count as stalled.

use super::*;

const LIMIT: Duration = Duration::from_secs(8);

fn at(s: u64) -> Instant {
    Duration::from_secs(s)
}

fn progress(has_room: bool, starts: u64, placed: u32, done: u32) -> JobProgress {
    JobProgress { has_room, starts, placed, done }
}

/// Guards against a queue of tasks that take no room and keep others from it: a job that waits
/// beside room is stalled, unless the room only just came or its tasks are being started.
#[test]
fn a_job_that_waits_beside_room_without_a_start_is_stalled() {
    let mut jobs = StalledJobs::default();
    let mut stalled = |s, seen| {
        jobs.observe("run-1", seen, at(s));
        jobs.is_stalled("run-1", at(s), LIMIT)
    };
    assert!(!stalled(0, progress(true, 3, 2, 0)));
    assert!(!stalled(8, progress(true, 3, 2, 0)));
    assert!(stalled(9, progress(true, 3, 2, 0)));
    // A start, or a moment without room, begins the wait again.
    assert!(!stalled(10, progress(true, 4, 3, 0)));
    assert!(stalled(19, progress(true, 4, 3, 0)));
    assert!(!stalled(20, progress(false, 4, 3, 0)));
    assert!(!stalled(40, progress(true, 4, 3, 0)));
}

/// Guards against a job that fails everywhere and counts as a queue again after each retry.
#[test]
fn a_job_whose_starts_come_to_nothing_is_stalled() {
    let mut jobs = StalledJobs::default();
    let mut stalled = |s, seen| {
        jobs.observe("run-1", seen, at(s));
        jobs.is_stalled("run-1", at(s), LIMIT)
    };
    assert!(!stalled(0, progress(true, 5, 0, 0)));
    assert!(!stalled(1, progress(true, 8, 0, 0)));
    assert!(stalled(2, progress(true, 9, 0, 0)));
    // While a retry runs it uses its room; tasks that complete show that the job can succeed.
    assert!(!stalled(3, progress(true, 10, 2, 0)));
    assert!(stalled(4, progress(false, 10, 0, 0)));
    assert!(!stalled(5, progress(true, 11, 0, 1)));
    assert!(!stalled(6, progress(true, 14, 0, 1)));
}

/// Waiting tasks count against the free room only as far as they could start there.
#[test]
fn only_tasks_that_could_start_compete_for_free_room() {
    let queue = ShardQueue::of_tasks(30.0, 4.0, 2.0);
    assert_eq!(queue, ShardQueue { competing_cores: 8.0, backlog_cores: 52.0 });
    assert_eq!(ShardQueue::of_tasks(3.0, 4.0, 2.0), ShardQueue::competing(6.0));
}
