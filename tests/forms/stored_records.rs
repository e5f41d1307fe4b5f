//! Records in the state service: the encoding of every record, and older encodings that are still
//! read.

use crate::fixture::{assert_cbor, bytes};
use ciborium::{Value, cbor};
use finchquay::maintenance::campaign::{DisruptionPermit, MaintenanceRecord};
use finchquay::protocol::cloud::MachineType;
use finchquay::protocol::user::{JobKind, JobSpec, Priority, Status};
use finchquay::protocol::{decode, encode};
use finchquay::state::records::{
    CatalogRecord, FORMAT_VERSION, JobRecord, LeaderRecord, MachineGroupRecord, MemberRecord, Placement,
    ShardGrantRecord, TaskRange, TaskRangeCheckpoint, TeamRecord, TermRecord, from_value, to_value,
};
use serde::{Serialize, de::DeserializeOwned};

/// Asserts that a record is stored as the fixture, and that the fixture is read back as the same
/// record.
fn assert_stored_form<T: Serialize + DeserializeOwned>(name: &str, record: &T) {
    assert_cbor(name, &encode(&to_value(record)));
    let stored: Value = decode(&bytes(name)).unwrap();
    let read: T = from_value(&stored).unwrap_or_else(|| panic!("{name}: the record cannot be read"));
    assert_cbor(name, &encode(&to_value(&read)));
}

/// Asserts that an encoding that is no longer written is read as this record.
fn assert_reads_older_form<T: DeserializeOwned + PartialEq + std::fmt::Debug>(
    encoding: Result<Value, ciborium::value::Error>,
    record: T,
) {
    assert_eq!(from_value(&encoding.unwrap()), Some(record));
}

/// Returns a job with a value in each field.
fn spec() -> JobSpec {
    JobSpec {
        uid: "run-000412".into(),
        class: "nightly".into(),
        team: "search".into(),
        kind: JobKind::Service,
        priority: Priority::Production,
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

/// Returns a range of tasks of a job.
fn task_range() -> TaskRange {
    TaskRange { member: "perch-0".into(), from: 42, to: 83 }
}

/// Returns the record of a job that is done.
fn ended_job() -> JobRecord {
    JobRecord {
        spec: None,
        final_status: Some(Status::Done),
        task_count: 70_000,
        submitted_ms: 0,
        task_ranges: Vec::new(),
    }
}

/// Returns a checkpoint with a value in each field.
fn full_checkpoint() -> TaskRangeCheckpoint {
    let placement = Placement { index: 9, machine: "host-000231".into(), attempt: 5_000_000_000 };
    TaskRangeCheckpoint {
        done: vec![(0, 3), (7, 7)],
        placements: vec![placement],
        highest_attempt: 5_000_000_001,
        as_of_revision: 17,
    }
}

/// Returns a machine group with a value in each field.
fn full_machine_group() -> MachineGroupRecord {
    MachineGroupRecord {
        machine_type: "std".into(),
        zone: "zone-a".into(),
        spot: true,
        owner: "perch-0".into(),
        incarnation: 7,
        term: 8,
        epoch: 9,
        is_base: true,
        machines: vec!["host-000231".into(), "host-000232".into()],
        draining: vec!["host-000232".into()],
    }
}

/// Returns a maintenance record with a value in each field.
fn full_maintenance() -> MaintenanceRecord {
    MaintenanceRecord {
        name: "2026-12-hall-a".into(),
        last_machine: "host-000900".into(),
        wave: vec!["host-000231".into()],
        finished_waves: 3,
        machines_gone: 7,
        permits: vec![DisruptionPermit {
            job: "run-000412".into(),
            index: 9,
            attempt: 5,
            machine: "host-000231".into(),
        }],
        finished_campaigns: vec!["2026-11-hall-b".into()],
    }
}

#[test]
fn records_of_controllers_are_unchanged() {
    assert_stored_form("record-member", &MemberRecord { incarnation: 7 });
    assert_stored_form("record-lead", &LeaderRecord { member: "perch-0".into(), incarnation: 7, term: 8 });
    assert_stored_form("record-term", &TermRecord { term: 8, format_version: FORMAT_VERSION });
    assert_eq!(FORMAT_VERSION, 1);
    assert_reads_older_form(cbor!({"term" => 8}), TermRecord { term: 8, format_version: 0 });
}

#[test]
fn records_of_jobs_are_unchanged() {
    let living = JobRecord {
        spec: Some(spec()),
        final_status: None,
        task_count: 70_000,
        submitted_ms: 1_700_000_000_000,
        task_ranges: vec![task_range()],
    };
    assert_stored_form("record-job-living", &living);
    let cancelled = JobRecord { final_status: Some(Status::Cancelled), ..living.clone() };
    assert_stored_form("record-job-withdrawn", &cancelled);
    assert_stored_form("record-job-ended", &ended_job());
    let sparse = JobSpec { machine_types: None, zone: None, deadline_s: None, ..spec() };
    assert_stored_form(
        "record-job-without-options",
        &JobRecord { spec: Some(sparse), task_ranges: Vec::new(), ..living },
    );
    assert_reads_older_form(cbor!({"end" => "done", "parcels" => 70_000}), ended_job());
    assert_stored_form("record-share", &task_range());
}

#[test]
fn records_of_checkpoints_are_unchanged() {
    assert_stored_form("record-chunk", &full_checkpoint());
    assert_stored_form("record-chunk-default", &TaskRangeCheckpoint::default());
    assert_reads_older_form(cbor!({}), TaskRangeCheckpoint::default());
    let before_logs = cbor!({
        "done" => [[0, 3], [7, 7]],
        "on" => [{"i" => 9, "m" => "host-000231", "a" => 5_000_000_000_u64}],
        "tries" => 5_000_000_001_u64,
    });
    assert_reads_older_form(before_logs, TaskRangeCheckpoint { as_of_revision: 0, ..full_checkpoint() });
}

#[test]
fn records_of_machines_are_unchanged() {
    assert_stored_form("record-pack", &full_machine_group());
    let plain = MachineGroupRecord { is_base: false, draining: Vec::new(), spot: false, ..full_machine_group() };
    assert_stored_form("record-pack-without-options", &plain);
    let older = cbor!({
        "build" => "std", "site" => "zone-a", "spot" => false, "owner" => "perch-0", "incarnation" => 7,
        "term" => 8, "epoch" => 9, "machines" => ["host-000231", "host-000232"],
    });
    assert_reads_older_form(older, plain);
    assert_stored_form("record-block", &ShardGrantRecord { incarnation: 7, term: 8, epoch: 9 });
    // The record at `fq/packs` is a plain number, which only has to differ after each change.
    assert_stored_form("record-packs", &12_u64);
}

#[test]
fn records_of_teams_and_the_catalog_are_unchanged() {
    assert_stored_form("record-team", &TeamRecord { strict: true, count: 12 });
    assert_stored_form("record-team-default", &TeamRecord::default());
    let machine_type = MachineType {
        name: "std".into(),
        cores: 16.0,
        gpus: 2.0,
        mem_gb: 64.5,
        disk_gb: 200.0,
        pull_gb_per_s: 0.25,
        on_demand_price: 1.75,
        spot_price: 0.6,
        startup_s: 45.0,
        zones: vec!["zone-a".into(), "zone-b".into()],
    };
    assert_stored_form("record-catalog", &CatalogRecord { types: vec![machine_type] });
}

#[test]
fn records_of_maintenance_are_unchanged() {
    assert_stored_form("record-upkeep", &full_maintenance());
    assert_stored_form("record-upkeep-default", &MaintenanceRecord::default());
}

/// Fields without a default are required. A record without one of them is not read.
#[test]
fn records_without_a_required_field_are_not_read() {
    assert_eq!(from_value::<MemberRecord>(&cbor!({}).unwrap()), None);
    assert_eq!(from_value::<JobRecord>(&cbor!({"end" => "done"}).unwrap()), None);
    assert_eq!(from_value::<ShardGrantRecord>(&cbor!({"incarnation" => 7, "term" => 8}).unwrap()), None);
    assert_eq!(from_value::<TeamRecord>(&cbor!({"strict" => true}).unwrap()), None);
    assert_eq!(from_value::<MaintenanceRecord>(&cbor!({"name" => "a"}).unwrap()), None);
}
