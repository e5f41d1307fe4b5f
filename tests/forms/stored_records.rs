//! Records as they are kept in the state service: bytes of every record, and older
//! forms that are still read.

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

/// Asserts that a record is stored as the fixture, and that the fixture is read as it.
fn stored_form<T: Serialize + DeserializeOwned>(name: &str, record: &T) {
    assert_cbor(name, &encode(&to_value(record)));
    let stored: Value = decode(&bytes(name)).unwrap();
    let read: T = from_value(&stored).unwrap_or_else(|| panic!("{name}: is not read"));
    assert_cbor(name, &encode(&to_value(&read)));
}

/// Asserts that a form that is no longer written is read as this record.
fn older_form<T: DeserializeOwned + PartialEq + std::fmt::Debug>(
    kind: Result<Value, ciborium::value::Error>,
    record: T,
) {
    assert_eq!(from_value(&kind.unwrap()), Some(record));
}

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

fn share() -> TaskRange {
    TaskRange { member: "perch-0".into(), from: 42, to: 83 }
}

fn ended_job() -> JobRecord {
    JobRecord { spec: None, end: Some(Status::Done), task_count: 70_000, at_ms: 0, task_ranges: Vec::new() }
}

fn full_chunk() -> TaskRangeCheckpoint {
    let place = Placement { index: 9, machine: "host-000231".into(), attempt: 5_000_000_000 };
    TaskRangeCheckpoint {
        done: vec![(0, 3), (7, 7)],
        on: vec![place],
        highest_attempt: 5_000_000_001,
        as_of_revision: 17,
    }
}

fn full_pack() -> MachineGroupRecord {
    MachineGroupRecord {
        machine_type: "std".into(),
        zone: "zone-a".into(),
        spot: true,
        owner: "perch-0".into(),
        incarnation: 7,
        term: 8,
        epoch: 9,
        base: true,
        machines: vec!["host-000231".into(), "host-000232".into()],
        drain: vec!["host-000232".into()],
    }
}

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
fn records_of_controllers_stay() {
    stored_form("record-member", &MemberRecord { incarnation: 7 });
    stored_form("record-lead", &LeaderRecord { member: "perch-0".into(), incarnation: 7, term: 8 });
    stored_form("record-term", &TermRecord { term: 8, format_version: FORMAT_VERSION });
    assert_eq!(FORMAT_VERSION, 1);
    older_form(cbor!({"term" => 8}), TermRecord { term: 8, format_version: 0 });
}

#[test]
fn records_of_jobs_stay() {
    let living = JobRecord {
        spec: Some(spec()),
        end: None,
        task_count: 70_000,
        at_ms: 1_700_000_000_000,
        task_ranges: vec![share()],
    };
    stored_form("record-job-living", &living);
    let cancelled = JobRecord { end: Some(Status::Cancelled), ..living.clone() };
    stored_form("record-job-withdrawn", &cancelled);
    stored_form("record-job-ended", &ended_job());
    let sparse = JobSpec { machine_types: None, zone: None, deadline_s: None, ..spec() };
    stored_form("record-job-without-options", &JobRecord { spec: Some(sparse), task_ranges: Vec::new(), ..living });
    older_form(cbor!({"end" => "done", "parcels" => 70_000}), ended_job());
    stored_form("record-share", &share());
}

#[test]
fn records_of_chunks_stay() {
    stored_form("record-chunk", &full_chunk());
    stored_form("record-chunk-default", &TaskRangeCheckpoint::default());
    older_form(cbor!({}), TaskRangeCheckpoint::default());
    let before_logs = cbor!({
        "done" => [[0, 3], [7, 7]],
        "on" => [{"i" => 9, "m" => "host-000231", "a" => 5_000_000_000_u64}],
        "tries" => 5_000_000_001_u64,
    });
    older_form(before_logs, TaskRangeCheckpoint { as_of_revision: 0, ..full_chunk() });
}

#[test]
fn records_of_machines_stay() {
    stored_form("record-pack", &full_pack());
    let plain = MachineGroupRecord { base: false, drain: Vec::new(), spot: false, ..full_pack() };
    stored_form("record-pack-without-options", &plain);
    let older = cbor!({
        "build" => "std", "site" => "zone-a", "spot" => false, "owner" => "perch-0", "incarnation" => 7,
        "term" => 8, "epoch" => 9, "machines" => ["host-000231", "host-000232"],
    });
    older_form(older, plain);
    stored_form("record-block", &ShardGrantRecord { incarnation: 7, term: 8, epoch: 9 });
    // The record behind `fq/packs` is a bare number that only has to change.
    stored_form("record-packs", &12_u64);
}

#[test]
fn records_of_teams_and_the_catalog_stay() {
    stored_form("record-team", &TeamRecord { strict: true, count: 12 });
    stored_form("record-team-default", &TeamRecord::default());
    let machine_type = MachineType {
        label: "std".into(),
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
    stored_form("record-catalog", &CatalogRecord { types: vec![machine_type] });
}

#[test]
fn records_of_maintenance_stay() {
    stored_form("record-upkeep", &full_maintenance());
    stored_form("record-upkeep-default", &MaintenanceRecord::default());
}

/// Fields without a default are required: a record without one is not read at all.
#[test]
fn records_without_a_required_field_are_not_read() {
    assert_eq!(from_value::<MemberRecord>(&cbor!({}).unwrap()), None);
    assert_eq!(from_value::<JobRecord>(&cbor!({"end" => "done"}).unwrap()), None);
    assert_eq!(from_value::<ShardGrantRecord>(&cbor!({"incarnation" => 7, "term" => 8}).unwrap()), None);
    assert_eq!(from_value::<TeamRecord>(&cbor!({"strict" => true}).unwrap()), None);
    assert_eq!(from_value::<MaintenanceRecord>(&cbor!({"name" => "a"}).unwrap()), None);
}
