//! Wire format of the messages between controllers and the workers on machines.

use crate::message::{reads_as, wire_format};
use ciborium::{Value, cbor};
use finchquay_protocol::worker::{
    Cause, Command, CommandRequest, Heartbeat, HeartbeatResponse, Redirect, TaskId, TaskReport, TaskState,
};

fn exited_task() -> TaskReport {
    TaskReport {
        task: "run-000412/3".into(),
        attempt: 5_000_000_000,
        status: TaskState::Exited,
        cause: Some(Cause::Stopped),
        progress_saved: Some(true),
    }
}

fn running_task() -> TaskReport {
    TaskReport { status: TaskState::Running, cause: None, progress_saved: None, ..exited_task() }
}

fn full_heartbeat() -> Heartbeat {
    Heartbeat {
        machine: "host-000231".into(),
        addr: "10.1.0.7:7000".into(),
        machine_type: "std".into(),
        zone: "zone-a".into(),
        spot: true,
        agent_epoch: 12,
        heartbeat_seq: 345,
        fencing_token: 6789,
        preemption_notice_s: Some(30.0),
        tasks: vec![exited_task(), running_task()],
    }
}

fn all_commands() -> Vec<Command> {
    let task = || "run-000412/3".to_string();
    vec![
        Command::Run { task: task(), attempt: 7 },
        Command::Kill { task: task(), attempt: 8, grace_period_s: 4.5 },
        Command::Forget { task: task(), attempt: 9 },
    ]
}

/// Heartbeats of workers, with and without optional fields.
#[test]
fn heartbeats_keep_their_wire_format() {
    wire_format("worker-report-full", &full_heartbeat());
    let idle = Heartbeat { preemption_notice_s: None, tasks: Vec::new(), spot: false, ..full_heartbeat() };
    wire_format("worker-report-without-options", &idle);
    wire_format("worker-task-full", &exited_task());
    wire_format("worker-task-without-options", &running_task());
}

/// Encodings of a heartbeat that other encoders and versions send.
#[test]
fn heartbeats_are_read_in_every_accepted_encoding() {
    let idle = Heartbeat { preemption_notice_s: None, tasks: Vec::new(), ..full_heartbeat() };
    let without_optional_fields = cbor!({
        "perch" => "host-000231", "addr" => "10.1.0.7:7000", "build" => "std", "site" => "zone-a",
        "loaners" => true, "shift" => 12, "tally" => 345, "warrant" => 6789, "parcels" => [],
    });
    reads_as(&without_optional_fields.unwrap(), &idle);
    let with_integer = cbor!({
        "perch" => "host-000231", "addr" => "10.1.0.7:7000", "build" => "std", "site" => "zone-a",
        "loaners" => true, "shift" => 12, "tally" => 345, "warrant" => 6789, "recall_s" => 30, "parcels" => [],
    });
    reads_as(&with_integer.unwrap(), &Heartbeat { preemption_notice_s: Some(30.0), ..idle });
    let with_nulls = cbor!({
        "parcel" => "run-000412/3", "try" => 5_000_000_000_u64, "status" => "running",
        "cause" => null, "kept" => null,
    });
    reads_as(&with_nulls.unwrap(), &running_task());
}

/// Wire names of task states and causes.
#[test]
fn enumerations_keep_their_wire_format() {
    let states =
        vec![TaskState::Fetching, TaskState::WaitingForGang, TaskState::Running, TaskState::Saving, TaskState::Exited];
    wire_format("worker-task-states", &states);
    let causes = vec![
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
    wire_format("worker-causes", &causes);
    reads_as(&Value::Text("a cause of a later version".into()), &Cause::Other);
}

/// Commands to workers.
#[test]
fn commands_keep_their_wire_format() {
    for (name, command) in ["worker-order-run", "worker-order-kill", "worker-order-forget"].iter().zip(all_commands()) {
        wire_format(name, &command);
    }
}

/// Responses to heartbeats, requests that deliver commands, and redirects.
#[test]
fn responses_keep_their_wire_format() {
    wire_format("worker-answer", &HeartbeatResponse { fencing_token: 6789, commands: all_commands().into() });
    wire_format("worker-answer-empty", &HeartbeatResponse { fencing_token: 0, commands: Vec::new().into() });
    wire_format(
        "worker-push",
        &CommandRequest { fencing_token: 6789, agent_epoch: 12, commands: all_commands().into() },
    );
    wire_format("worker-redirect", &Redirect { controller: Some("10.0.0.2:8080".into()) });
    wire_format("worker-redirect-without-address", &Redirect { controller: None });
}

/// Task ids are written as text in the store and on the wire.
#[test]
fn task_ids_keep_their_text() {
    let task = TaskId { job: "run-000412".into(), index: 3 };
    assert_eq!(task.to_string(), "run-000412/3");
    assert_eq!(TaskId::parse("run-000412/3"), Some(task));
    assert_eq!(TaskId::parse("run-000412"), None);
    assert_eq!(TaskId::parse("run-000412/x"), None);
}
