//! Records as they are kept in the state service: bytes of every record, and older
//! forms that are still read.

use crate::fixture::{assert_cbor, bytes};
use ciborium::{Value, cbor};
use finchquay::bookkeeping::records::{
    BlockRec, CatalogRec, ChunkRec, FORM, JobRec, LeadRec, MemberRec, PackRec, Place, Share, TeamRec, TermRec,
    from_value, to_value,
};
use finchquay::protocol::cloud::MachineType;
use finchquay::protocol::user::{Form, JobSpec, Status, Urgency};
use finchquay::protocol::{decode, encode};
use finchquay::upkeep::campaign::{Ticket, UpkeepRec};
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
    form: Result<Value, ciborium::value::Error>,
    record: T,
) {
    assert_eq!(from_value(&form.unwrap()), Some(record));
}

fn spec() -> JobSpec {
    JobSpec {
        uid: "run-000412".into(),
        docket: "nightly".into(),
        desk: "search".into(),
        form: Form::Standing,
        urgency: Urgency::Production,
        parcels: 70_000,
        cores: 2.5,
        gpus: 1.0,
        mem_gb: 12.25,
        bundle: "image-7".into(),
        size_gb: 3.1,
        builds: Some(vec!["std".into(), "big".into()]),
        site: Some("zone-a".into()),
        together: true,
        apart: false,
        loaners: true,
        expected_s: 600.5,
        stamp_every_s: 60.0,
        stamp_s: 4.0,
        due_s: Some(7200.0),
    }
}

fn share() -> Share {
    Share { member: "perch-0".into(), from: 42, to: 83 }
}

fn ended_job() -> JobRec {
    JobRec { spec: None, end: Some(Status::Done), parcels: 70_000, at_ms: 0, shares: Vec::new() }
}

fn full_chunk() -> ChunkRec {
    let place = Place { index: 9, machine: "host-000231".into(), attempt: 5_000_000_000 };
    ChunkRec { done: vec![(0, 3), (7, 7)], on: vec![place], tries: 5_000_000_001, asof: 17 }
}

fn full_pack() -> PackRec {
    PackRec {
        build: "std".into(),
        site: "zone-a".into(),
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

fn full_upkeep() -> UpkeepRec {
    UpkeepRec {
        name: "2026-12-hall-a".into(),
        upto: "host-000900".into(),
        wave: vec!["host-000231".into()],
        waves: 3,
        gone: 7,
        tickets: vec![Ticket { job: "run-000412".into(), index: 9, attempt: 5, machine: "host-000231".into() }],
        finished: vec!["2026-11-hall-b".into()],
    }
}

#[test]
fn records_of_controllers_stay() {
    stored_form("record-member", &MemberRec { incarnation: 7 });
    stored_form("record-lead", &LeadRec { member: "perch-0".into(), incarnation: 7, term: 8 });
    stored_form("record-term", &TermRec { term: 8, form: FORM });
    assert_eq!(FORM, 1);
    older_form(cbor!({"term" => 8}), TermRec { term: 8, form: 0 });
}

#[test]
fn records_of_jobs_stay() {
    let living =
        JobRec { spec: Some(spec()), end: None, parcels: 70_000, at_ms: 1_700_000_000_000, shares: vec![share()] };
    stored_form("record-job-living", &living);
    let withdrawn = JobRec { end: Some(Status::Withdrawn), ..living.clone() };
    stored_form("record-job-withdrawn", &withdrawn);
    stored_form("record-job-ended", &ended_job());
    let sparse = JobSpec { builds: None, site: None, due_s: None, ..spec() };
    stored_form("record-job-without-options", &JobRec { spec: Some(sparse), shares: Vec::new(), ..living });
    older_form(cbor!({"end" => "done", "parcels" => 70_000}), ended_job());
    stored_form("record-share", &share());
}

#[test]
fn records_of_chunks_stay() {
    stored_form("record-chunk", &full_chunk());
    stored_form("record-chunk-default", &ChunkRec::default());
    older_form(cbor!({}), ChunkRec::default());
    let before_logs = cbor!({
        "done" => [[0, 3], [7, 7]],
        "on" => [{"i" => 9, "m" => "host-000231", "a" => 5_000_000_000_u64}],
        "tries" => 5_000_000_001_u64,
    });
    older_form(before_logs, ChunkRec { asof: 0, ..full_chunk() });
}

#[test]
fn records_of_machines_stay() {
    stored_form("record-pack", &full_pack());
    let plain = PackRec { base: false, drain: Vec::new(), spot: false, ..full_pack() };
    stored_form("record-pack-without-options", &plain);
    let older = cbor!({
        "build" => "std", "site" => "zone-a", "spot" => false, "owner" => "perch-0", "incarnation" => 7,
        "term" => 8, "epoch" => 9, "machines" => ["host-000231", "host-000232"],
    });
    older_form(older, plain);
    stored_form("record-block", &BlockRec { incarnation: 7, term: 8, epoch: 9 });
    // The record behind `fq/packs` is a bare number that only has to change.
    stored_form("record-packs", &12_u64);
}

#[test]
fn records_of_teams_and_the_catalog_stay() {
    stored_form("record-team", &TeamRec { strict: true, count: 12 });
    stored_form("record-team-default", &TeamRec::default());
    let machine_type = MachineType {
        label: "std".into(),
        cores: 16.0,
        gpus: 2.0,
        mem_gb: 64.5,
        local_gb: 200.0,
        pull_gb_per_s: 0.25,
        hourly: 1.75,
        spot_price: 0.6,
        startup_s: 45.0,
        sites: vec!["zone-a".into(), "zone-b".into()],
    };
    stored_form("record-catalog", &CatalogRec { types: vec![machine_type] });
}

#[test]
fn records_of_maintenance_stay() {
    stored_form("record-upkeep", &full_upkeep());
    stored_form("record-upkeep-default", &UpkeepRec::default());
}

/// Fields without a default are required: a record without one is not read at all.
#[test]
fn records_without_a_required_field_are_not_read() {
    assert_eq!(from_value::<MemberRec>(&cbor!({}).unwrap()), None);
    assert_eq!(from_value::<JobRec>(&cbor!({"end" => "done"}).unwrap()), None);
    assert_eq!(from_value::<BlockRec>(&cbor!({"incarnation" => 7, "term" => 8}).unwrap()), None);
    assert_eq!(from_value::<TeamRec>(&cbor!({"strict" => true}).unwrap()), None);
    assert_eq!(from_value::<UpkeepRec>(&cbor!({"name" => "a"}).unwrap()), None);
}
