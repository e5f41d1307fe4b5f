//! Tests of the bounds on the size of heartbeats, compared with heartbeats as JSON.

use super::*;
use crate::worker::{Cause, Heartbeat, TaskReport, TaskState};

const STATES: [TaskState; 5] =
    [TaskState::Fetching, TaskState::WaitingForGang, TaskState::Running, TaskState::Saving, TaskState::Exited];
const CAUSES: [Cause; 9] = [
    Cause::Done,
    Cause::Stopped,
    Cause::GangMemberLost,
    Cause::GangIncomplete,
    Cause::Error,
    Cause::NoCapacity,
    Cause::AlreadyPresent,
    Cause::UnknownTask,
    Cause::Other,
];

/// A heartbeat with the longest names and numbers.
fn heartbeat(tasks: Vec<TaskReport>) -> Heartbeat {
    Heartbeat {
        machine: "m".repeat(200),
        addr: "[1234:5678:1234:5678:1234:5678:1234:5678]:65535".into(),
        machine_type: "t".repeat(128),
        zone: "z".repeat(128),
        spot: false,
        agent_epoch: u64::MAX,
        heartbeat_seq: u64::MAX,
        fencing_token: u64::MAX,
        preemption_notice_s: Some(-f64::MIN_POSITIVE),
        tasks,
    }
}

fn json_bytes(heartbeat: &Heartbeat) -> usize {
    serde_json::to_vec(heartbeat).unwrap().len()
}

/// Guards against heartbeats above the limit: a machine gets tasks up to these bounds.
#[test]
fn a_heartbeat_with_as_many_tasks_as_counted_stays_within_the_limit() {
    for (job, task_count) in [("run-1", 1), ("run-000412", 2_000), ("run-123456789012345678", 100_000)] {
        let tasks = TASKS_BYTES / task_bytes(job, task_count);
        for (status, cause) in STATES.iter().flat_map(|state| CAUSES.map(|cause| (*state, cause))) {
            let report = |_| TaskReport {
                task: format!("{job}/{}", task_count - 1),
                attempt: 9_999_999_999,
                status,
                cause: (status == TaskState::Exited).then_some(cause),
                progress_saved: (status == TaskState::Exited).then_some(false),
            };
            let bytes = json_bytes(&heartbeat((0..tasks).map(report).collect()));
            assert!(bytes <= MAX_BODY_BYTES, "{job}, {status:?}, {cause:?}: {bytes} bytes with {tasks} tasks");
        }
    }
}
