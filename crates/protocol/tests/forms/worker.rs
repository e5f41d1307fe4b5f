//! Messages between controllers and the workers on machines.

use crate::message::{reads_as, wire_format};
use ciborium::{Value, cbor};
use finchquay_protocol::worker::{
    Cause, Command, CommandRequest, Heartbeat, HeartbeatResponse, Redirect, TaskId, TaskReport, TaskState,
};

fn full_task() -> TaskReport {
    TaskReport {
        task: "run-000412/3".into(),
        attempt: 5_000_000_000,
        status: TaskState::Exited,
        cause: Some(Cause::Stopped),
        kept: Some(true),
    }
}

fn running_task() -> TaskReport {
    TaskReport { status: TaskState::Running, cause: None, kept: None, ..full_task() }
}

fn full_report() -> Heartbeat {
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
        tasks: vec![full_task(), running_task()],
    }
}

fn all_orders() -> Vec<Command> {
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
    wire_format("worker-report-full", &full_report());
    let idle = Heartbeat { preemption_notice_s: None, tasks: Vec::new(), spot: false, ..full_report() };
    wire_format("worker-report-without-options", &idle);
    wire_format("worker-task-full", &full_task());
    wire_format("worker-task-without-options", &running_task());
}

/// Forms of a heartbeat that other encoders and versions send.
#[test]
fn heartbeats_are_read_in_every_accepted_form() {
    let idle = Heartbeat { preemption_notice_s: None, tasks: Vec::new(), ..full_report() };
    let sparse = cbor!({
        "perch" => "host-000231", "addr" => "10.1.0.7:7000", "build" => "std", "site" => "zone-a",
        "loaners" => true, "shift" => 12, "tally" => 345, "warrant" => 6789, "parcels" => [],
    });
    reads_as(&sparse.unwrap(), &idle);
    let whole = cbor!({
        "perch" => "host-000231", "addr" => "10.1.0.7:7000", "build" => "std", "site" => "zone-a",
        "loaners" => true, "shift" => 12, "tally" => 345, "warrant" => 6789, "recall_s" => 30, "parcels" => [],
    });
    reads_as(&whole.unwrap(), &Heartbeat { preemption_notice_s: Some(30.0), ..idle });
    let null = cbor!({
        "parcel" => "run-000412/3", "try" => 5_000_000_000_u64, "status" => "running",
        "cause" => null, "kept" => null,
    });
    reads_as(&null.unwrap(), &running_task());
}

/// Task states and causes by their wire names.
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
    for (name, order) in ["worker-order-run", "worker-order-kill", "worker-order-forget"].iter().zip(all_orders()) {
        wire_format(name, &order);
    }
}

/// Responses to heartbeats, commands sent by a call, and redirects.
#[test]
fn answers_keep_their_wire_format() {
    wire_format("worker-answer", &HeartbeatResponse { fencing_token: 6789, commands: all_orders().into() });
    wire_format("worker-answer-empty", &HeartbeatResponse { fencing_token: 0, commands: Vec::new().into() });
    wire_format("worker-push", &CommandRequest { fencing_token: 6789, agent_epoch: 12, commands: all_orders().into() });
    wire_format("worker-redirect", &Redirect { controller: Some("10.0.0.2:8080".into()) });
    wire_format("worker-redirect-without-address", &Redirect { controller: None });
}

/// Task ids are keys in the store and names on the wire.
#[test]
fn task_ids_keep_their_text() {
    let task = TaskId { job: "run-000412".into(), index: 3 };
    assert_eq!(task.to_string(), "run-000412/3");
    assert_eq!(TaskId::parse("run-000412/3"), Some(task));
    assert_eq!(TaskId::parse("run-000412"), None);
    assert_eq!(TaskId::parse("run-000412/x"), None);
}
