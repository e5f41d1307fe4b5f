//! Wire format of the messages and request paths between users and controllers.

use crate::message::{reads_as, refuses, wire_format};
use ciborium::{Value, cbor};
use finchquay_protocol::user::{ErrorBody, JobKind, JobSpec, JobState, Priority, Route, Status, route};

fn full_spec() -> JobSpec {
    JobSpec {
        uid: "run-000412".into(),
        class: "nightly".into(),
        team: "search".into(),
        kind: JobKind::Gang,
        priority: Priority::High,
        task_count: 70_000,
        cores: 2.5,
        gpus: 1.0,
        mem_gb: 12.25,
        image: "image-7".into(),
        image_gb: 3.1,
        machine_types: Some(vec!["std".into(), "big".into()]),
        zone: Some("zone-a".into()),
        zone_affinity: true,
        zone_anti_affinity: false,
        spot_allowed: true,
        estimated_run_s: 600.5,
        checkpoint_interval_s: 60.0,
        checkpoint_duration_s: 4.0,
        deadline_s: Some(7200.0),
    }
}

fn spec_without_options() -> JobSpec {
    JobSpec {
        machine_types: None,
        zone: None,
        deadline_s: None,
        zone_anti_affinity: true,
        zone_affinity: false,
        spot_allowed: false,
        ..full_spec()
    }
}

/// Job specifications in submissions and in the job records of the store.
#[test]
fn job_specifications_keep_their_wire_format() {
    wire_format("user-job-spec-full", &full_spec());
    wire_format("user-job-spec-without-options", &spec_without_options());
    wire_format("user-job-spec-empty-lists", &JobSpec { machine_types: Some(Vec::new()), ..full_spec() });
}

/// Users may leave out optional fields, send numbers as integers, and add unknown fields.
#[test]
fn job_specifications_are_read_in_every_accepted_encoding() {
    let without_optional_fields = cbor!({
        "uid" => "run-000412", "docket" => "nightly", "desk" => "search", "form" => "ensemble",
        "urgency" => "urgent", "parcels" => 70_000, "cores" => 2.5, "gpus" => 1, "mem_gb" => 12.25,
        "bundle" => "image-7", "size_gb" => 3.1, "together" => false, "apart" => true, "loaners" => false,
        "expected_s" => 600.5, "stamp_every_s" => 60, "stamp_s" => 4, "unknown" => "ignored",
    });
    reads_as(&without_optional_fields.unwrap(), &spec_without_options());
}

/// Some encoders shorten 4.0 to 4, so every number must be read in both encodings.
#[test]
fn numbers_of_a_job_may_be_integers() {
    let with_integers = cbor!({
        "uid" => "run-000412", "docket" => "nightly", "desk" => "search", "form" => "ensemble",
        "urgency" => "urgent", "parcels" => 70_000, "cores" => 1, "gpus" => 2, "mem_gb" => 3,
        "bundle" => "image-7", "size_gb" => 4, "builds" => ["std", "big"], "site" => "zone-a", "together" => true,
        "apart" => false, "loaners" => true, "expected_s" => 5, "stamp_every_s" => 6, "stamp_s" => 7, "due_s" => 8,
    });
    let expected = JobSpec {
        cores: 1.0,
        gpus: 2.0,
        mem_gb: 3.0,
        image_gb: 4.0,
        estimated_run_s: 5.0,
        checkpoint_interval_s: 6.0,
        checkpoint_duration_s: 7.0,
        deadline_s: Some(8.0),
        ..full_spec()
    };
    reads_as(&with_integers.unwrap(), &expected);
}

/// Wire names of job kinds, priorities and statuses.
#[test]
fn enumerations_keep_their_wire_format() {
    wire_format("user-forms", &vec![JobKind::Array, JobKind::Gang, JobKind::Service]);
    let priorities = vec![Priority::Low, Priority::Normal, Priority::High, Priority::Production];
    wire_format("user-urgencies", &priorities);
    wire_format("user-statuses", &vec![Status::Queued, Status::Running, Status::Done, Status::Cancelled]);
    refuses::<JobKind>(&Value::Text("Batch".into()));
    refuses::<Priority>(&Value::Text("other".into()));
    refuses::<Status>(&Value::Text("failed".into()));
}

/// The scheduler compares priorities by the order of the variants.
#[test]
fn priorities_are_ordered_from_low_to_production() {
    let ascending = [Priority::Low, Priority::Normal, Priority::High, Priority::Production];
    assert!(ascending.is_sorted());
}

/// Job states and errors, which users read.
#[test]
fn responses_keep_their_wire_format() {
    let state = JobState { uid: "run-000412".into(), status: Status::Running, done: 300, running: 25 };
    wire_format("user-job-state", &state);
    wire_format("user-error", &ErrorBody { error: "no such job".into() });
    let queued = JobState { uid: "run-000412".into(), status: Status::Queued, done: 0, running: 0 };
    reads_as(&cbor!({"uid" => "run-000412", "status" => "pending"}).unwrap(), &queued);
}

/// Paths that users, workers and load balancers request.
#[test]
fn request_paths_of_users_and_workers_are_stable() {
    assert_eq!(route("POST", "/work"), Route::Submit);
    assert_eq!(route("GET", "/work/run-000412"), Route::JobStatus("run-000412"));
    assert_eq!(route("POST", "/work/run-000412/withdraw"), Route::Cancel("run-000412"));
    assert_eq!(route("GET", "/healthz"), Route::Health);
    assert_eq!(route("POST", "/checkin"), Route::Heartbeat);
}

/// A wrong method is answered with 405 and an unknown path with 404.
#[test]
fn wrong_methods_and_unknown_paths_are_distinguished() {
    for (method, path) in [
        ("GET", "/work"),
        ("POST", "/work/run-000412"),
        ("DELETE", "/work/run-000412"),
        ("GET", "/work/run-000412/withdraw"),
        ("POST", "/healthz"),
        ("GET", "/checkin"),
    ] {
        assert_eq!(route(method, path), Route::WrongMethod, "{method} {path}");
    }
    for path in ["/", "/work/", "/jobs", "/health", "/report", "/work/run-000412/cancel"] {
        assert_eq!(route("POST", path), Route::Unknown, "{path}");
    }
}
