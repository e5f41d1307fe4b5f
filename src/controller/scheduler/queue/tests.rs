//! Tests of waiting times and of the backoff after failures.

use super::*;

const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

fn at(seconds: u64) -> Instant {
    Duration::from_secs(seconds)
}

#[test]
fn a_job_that_never_waited_has_no_waiting_time() {
    assert_eq!(QueuedJob::default().waited(at(9)), None);
}

#[test]
fn waiting_time_continues_that_of_the_previous_process() {
    let queued = QueuedJob { waiting_since: Some(at(5)), waited_before: at(60), ..QueuedJob::default() };
    assert_eq!(queued.waited(at(8)), Some(at(63)));
}

#[test]
fn waiting_time_is_reset_when_a_job_stops_waiting() {
    let mut queued = QueuedJob { waiting_since: Some(at(5)), waited_before: at(60), ..QueuedJob::default() };
    queued.stop_waiting();
    assert_eq!(queued.waited(at(8)), None);
    assert_eq!(queued.waited_before, Duration::ZERO);
}

#[test]
fn backoff_doubles_with_every_few_failures_up_to_a_limit() {
    let mut queue = JobQueue::default();
    let mut backoff_ends = Vec::new();
    for _ in 0..40 {
        queue.record_failure("run-1", "host-1", at(0), HEARTBEAT_INTERVAL);
        backoff_ends.push(queue.get("run-1").expect("it failed").not_before);
    }
    assert_eq!(backoff_ends[2], at(0), "a few failures are retried at once");
    assert_eq!(backoff_ends[3], HEARTBEAT_INTERVAL);
    assert_eq!(backoff_ends[7], HEARTBEAT_INTERVAL * 3);
    assert_eq!(backoff_ends[39], HEARTBEAT_INTERVAL * 63, "the longest backoff");
    assert!(queue.get("run-1").expect("it failed").in_backoff(at(1)));
}

#[test]
fn a_job_fails_everywhere_only_while_none_of_its_tasks_is_done() {
    let mut queue = JobQueue::default();
    for machine in ["host-1", "host-2", "host-3"] {
        queue.record_failure("run-1", machine, at(0), HEARTBEAT_INTERVAL);
    }
    let queued = queue.get("run-1").expect("it failed");
    assert!(queued.fails_everywhere(0));
    assert!(!queued.fails_everywhere(1));
}
