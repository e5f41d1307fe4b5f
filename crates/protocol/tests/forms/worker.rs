//! Messages between controllers and the workers on machines.

use crate::message::{reads_as, wire_format};
use ciborium::{Value, cbor};
use finchquay_protocol::worker::{Answer, Cause, Order, Push, Redirect, Report, TaskId, TaskReport, TaskState};

fn full_task() -> TaskReport {
    TaskReport {
        parcel: "run-000412/3".into(),
        attempt: 5_000_000_000,
        status: TaskState::Exited,
        cause: Some(Cause::Stopped),
        kept: Some(true),
    }
}

fn running_task() -> TaskReport {
    TaskReport { status: TaskState::Running, cause: None, kept: None, ..full_task() }
}

fn full_report() -> Report {
    Report {
        machine: "host-000231".into(),
        addr: "10.1.0.7:7000".into(),
        build: "std".into(),
        site: "zone-a".into(),
        spot: true,
        shift: 12,
        tally: 345,
        warrant: 6789,
        recall_s: Some(30.0),
        tasks: vec![full_task(), running_task()],
    }
}

fn all_orders() -> Vec<Order> {
    let parcel = || "run-000412/3".to_string();
    vec![
        Order::Run { parcel: parcel(), attempt: 7 },
        Order::Kill { parcel: parcel(), attempt: 8, wind_down_s: 4.5 },
        Order::Forget { parcel: parcel(), attempt: 9 },
    ]
}

#[test]
fn reports_keep_their_wire_format() {
    wire_format("worker-report-full", &full_report());
    let idle = Report { recall_s: None, tasks: Vec::new(), spot: false, ..full_report() };
    wire_format("worker-report-without-options", &idle);
    wire_format("worker-task-full", &full_task());
    wire_format("worker-task-without-options", &running_task());
}

#[test]
fn reports_are_read_in_every_accepted_form() {
    let idle = Report { recall_s: None, tasks: Vec::new(), ..full_report() };
    let sparse = cbor!({
        "perch" => "host-000231", "addr" => "10.1.0.7:7000", "build" => "std", "site" => "zone-a",
        "loaners" => true, "shift" => 12, "tally" => 345, "warrant" => 6789, "parcels" => [],
    });
    reads_as(&sparse.unwrap(), &idle);
    let whole = cbor!({
        "perch" => "host-000231", "addr" => "10.1.0.7:7000", "build" => "std", "site" => "zone-a",
        "loaners" => true, "shift" => 12, "tally" => 345, "warrant" => 6789, "recall_s" => 30, "parcels" => [],
    });
    reads_as(&whole.unwrap(), &Report { recall_s: Some(30.0), ..idle });
    let null = cbor!({
        "parcel" => "run-000412/3", "try" => 5_000_000_000_u64, "status" => "running",
        "cause" => null, "kept" => null,
    });
    reads_as(&null.unwrap(), &running_task());
}

#[test]
fn enumerations_keep_their_wire_format() {
    let states =
        vec![TaskState::Fetching, TaskState::Gathering, TaskState::Running, TaskState::Saving, TaskState::Exited];
    wire_format("worker-task-states", &states);
    let causes = vec![
        Cause::Done,
        Cause::Stopped,
        Cause::Peers,
        Cause::Alone,
        Cause::Error,
        Cause::NoRoom,
        Cause::InUse,
        Cause::NoSuch,
        Cause::Other,
    ];
    wire_format("worker-causes", &causes);
    reads_as(&Value::Text("a cause of a later version".into()), &Cause::Other);
}

#[test]
fn orders_keep_their_wire_format() {
    for (name, order) in ["worker-order-run", "worker-order-kill", "worker-order-forget"].iter().zip(all_orders()) {
        wire_format(name, &order);
    }
}

#[test]
fn answers_keep_their_wire_format() {
    wire_format("worker-answer", &Answer { warrant: 6789, orders: all_orders().into() });
    wire_format("worker-answer-empty", &Answer { warrant: 0, orders: Vec::new().into() });
    wire_format("worker-push", &Push { warrant: 6789, shift: 12, orders: all_orders().into() });
    wire_format("worker-redirect", &Redirect { harbor: Some("10.0.0.2:8080".into()) });
    wire_format("worker-redirect-without-address", &Redirect { harbor: None });
}

#[test]
fn task_names_keep_their_text() {
    let task = TaskId { job: "run-000412".into(), index: 3 };
    assert_eq!(task.to_string(), "run-000412/3");
    assert_eq!(TaskId::parse("run-000412/3"), Some(task));
    assert_eq!(TaskId::parse("run-000412"), None);
    assert_eq!(TaskId::parse("run-000412/x"), None);
}
