//! Numbers from users, agents, the cloud, the store and the settings at the ends of their types.
//! Each test guards against a controller that ends because it cannot convert such a number.

use super::store;
use crate::world::helpers::done;
use crate::world::{Job, SMALL, World, array, bytes, s};
use ciborium::{Value, cbor};
use finchquay::config::Settings;
use finchquay::controller::Controller;
use finchquay::effects::Event;
use finchquay::protocol::user::JobSpec;
use finchquay::state::records::{JobRecord, Placement, TaskRange, TaskRangeCheckpoint, job_key, to_value};
use std::path::Path;
use std::time::Duration;

/// Amounts that no `Duration` and no table can hold, and amounts of next to nothing.
const EXTREME_AMOUNTS: [f64; 5] = [1e30, f64::MAX, 1.9e19, f64::MIN_POSITIVE, 0.0];
/// The amounts of a job specification that a user chooses freely.
const AMOUNT_FIELDS: [&str; 8] =
    ["cores", "gpus", "mem_gb", "size_gb", "expected_s", "stamp_every_s", "stamp_s", "due_s"];

/// Runs an ordinary job to its end, with machines rented and returned, and asserts that the
/// controllers of the world still work.
fn assert_serves(w: &mut World, uid: &str) {
    let now = w.now.as_secs_f64();
    w.submit(uid, array(40, 4.0));
    w.run_until(now + 60.0);
    assert!(done(w, uid), "{uid} is not done");
}

/// Guards against a job with a huge image that ended every controller: a job that fits on no
/// machine, by its image as by anything else, is refused. A job that can run is accepted, however
/// large or small its other amounts are, and ends no controller.
#[test]
fn submissions_with_extreme_amounts_are_answered() {
    let mut w = World::sized(80, SMALL);
    w.cloud.most = 12;
    w.run_until(8.0);
    let mut number = 0;
    for field in AMOUNT_FIELDS {
        for amount in EXTREME_AMOUNTS {
            let needs_machine = ["cores", "gpus", "mem_gb", "size_gb"].contains(&field);
            let expected = if needs_machine && amount > 1.0 { 422 } else { 201 };
            let uid = format!("run-8{number:03}0");
            w.submit_fields(number % 3, &uid, array(1, 1.0), &[(field, Value::Float(amount))], expected);
            number += 1;
        }
        let now = w.now.as_secs_f64();
        w.run_until(now + 2.0);
    }
    assert!(w.counters.invalid_requests_refused >= 36, "{} of 40 answered", w.counters.invalid_requests_refused);
    assert_serves(&mut w, "run-001");
}

/// Guards against jobs that were accepted earlier and end every controller that reads them, and
/// against those that can never run and keep machines from being used or returned.
#[test]
fn stored_jobs_with_extreme_amounts_end_no_controller() {
    let mut w = World::sized(81, SMALL);
    w.cloud.most = 12;
    w.run_until(8.0);
    let fields: [fn(&mut JobSpec, f64); 8] = [
        |spec, amount| spec.image_gb = amount,
        |spec, amount| spec.cores = amount,
        |spec, amount| spec.gpus = amount,
        |spec, amount| spec.mem_gb = amount,
        |spec, amount| spec.estimated_run_s = amount,
        |spec, amount| spec.checkpoint_interval_s = amount,
        |spec, amount| spec.checkpoint_duration_s = amount,
        |spec, amount| spec.deadline_s = Some(amount),
    ];
    let mut uids = Vec::new();
    for (set, amount) in fields.iter().flat_map(|set| EXTREME_AMOUNTS.map(|amount| (set, amount))) {
        let uid = format!("run-7{:03}0", uids.len());
        let mut spec = JobSpec { team: "free".into(), task_count: 1, ..JobSpec::example(&uid) };
        set(&mut spec, amount);
        let record = JobRecord {
            task_count: 1,
            spec: Some(spec),
            final_status: None,
            submitted_ms: [0, u64::MAX][uids.len() % 2],
            task_ranges: vec![TaskRange { member: "perch-0".into(), from: 0, to: 0 }],
        };
        let (cores, gpus) = record.spec.as_ref().map(|spec| (spec.cores, spec.gpus)).unwrap_or_default();
        w.jobs.insert(uid.clone(), Job { submitted: true, cores, gpus, ..array(1, 1.0) });
        store(&mut w, &job_key(&uid), &to_value(&record));
        uids.push(uid);
    }
    // Restarted processes read the same jobs.
    w.run_until(20.0);
    (0..3).for_each(|node| w.crash(node));
    w.run_until(80.0);
    assert_serves(&mut w, "run-001");
    for uid in &uids {
        (0..3).for_each(|node| w.ask(uid, node));
    }
    let now = w.now.as_secs_f64();
    w.run_until(now + 2.0);
    for uid in &uids {
        (0..3).for_each(|node| assert_eq!(w.asked[&(uid.clone(), node)], 200, "{uid} at {node}"));
    }
    // The jobs that can never run keep no machine from being returned.
    w.run_until(now + 120.0);
    assert!(w.cloud.machines.len() <= SMALL.machines as usize + 2, "{} machines", w.cloud.machines.len());
}

/// Guards against records with task numbers beyond their job, which would make a controller
/// allocate or count without bound. They are ignored, and other jobs run on.
#[test]
fn stored_records_with_impossible_numbers_are_ignored() {
    let mut w = World::sized(82, SMALL);
    w.run_until(8.0);
    let range = |from, to| vec![TaskRange { member: "perch-0".into(), from, to }];
    let record = |spec: JobSpec, task_ranges| JobRecord {
        task_count: spec.task_count,
        spec: Some(spec),
        final_status: None,
        submitted_ms: 0,
        task_ranges,
    };
    let spec = |uid: &str, task_count| JobSpec { team: "free".into(), task_count, ..JobSpec::example(uid) };
    for (uid, tasks, ranges) in [
        ("run-7010", u32::MAX, range(0, u32::MAX)),
        ("run-7020", 2, range(0, u32::MAX)),
        ("run-7030", 2, range(1, 0)),
        ("run-7040", 0, range(0, 0)),
    ] {
        store(&mut w, &job_key(uid), &to_value(&record(spec(uid, tasks), ranges)));
    }
    let uid = "run-7050";
    w.jobs.insert(uid.into(), Job { submitted: true, ..array(2, 1.0) });
    store(&mut w, &job_key(uid), &to_value(&record(spec(uid, 2), range(0, 1))));
    let placements = vec![Placement { index: u32::MAX, machine: "host-000001".into(), attempt: 1 }];
    for (number, done, placements) in [
        (0, vec![(1, 0)], vec![]),
        (0, vec![(0, u32::MAX)], vec![]),
        (0, vec![], placements),
        (u32::MAX, vec![(u32::MAX, u32::MAX)], vec![]),
    ] {
        let checkpoint = TaskRangeCheckpoint { done, placements, ..TaskRangeCheckpoint::default() };
        store(&mut w, &format!("fq/t/{uid}/{number}"), &to_value(&checkpoint));
    }
    w.run_until(30.0);
    assert_serves(&mut w, "run-001");
    w.ask(uid, 0);
    w.run_until(100.0);
    assert_eq!(w.asked[&(uid.to_string(), 0)], 200);
}

/// Guards against a catalog whose numbers end the controllers: machine types with numbers that no
/// machine can have are left out, and those that can be are used.
#[test]
fn extreme_machine_types_end_no_controller() {
    let mut w = World::sized(83, SMALL);
    w.cloud.most = 12;
    let names = ["cores", "gpus", "mem_gb", "local_gb", "pull_gb_per_s", "hourly", "spot_price", "startup_s"];
    for (name, amount) in names
        .into_iter()
        .flat_map(|name| [f64::NAN, f64::INFINITY, -1.0, 0.0, 1e30, f64::MIN_POSITIVE].map(|amount| (name, amount)))
    {
        let mut machine_type = cbor!({"label" => format!("{name}-{amount:e}"), "cores" => 8.0, "gpus" => 4.0,
            "mem_gb" => 32.0, "local_gb" => 60.0, "pull_gb_per_s" => 1.0, "hourly" => 0.5, "spot_price" => 0.2,
            "startup_s" => 10.0, "sites" => ["elsewhere"]})
        .unwrap();
        let fields = machine_type.as_map_mut().unwrap().iter_mut();
        fields.filter(|(key, _)| key.as_text() == Some(name)).for_each(|field| field.1 = Value::Float(amount));
        w.cloud.more_types.push(machine_type);
    }
    w.run_until(30.0);
    assert_serves(&mut w, "run-001");
}

/// Guards against heartbeats whose counters, tokens or amounts are at the ends of their types.
#[test]
fn extreme_heartbeats_end_no_controller() {
    let mut w = World::sized(84, SMALL);
    w.run_until(8.0);
    w.submit("run-009", array(4, 1e6));
    w.run_until(14.0);
    for (n, notice) in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, f64::MAX, -1.0].into_iter().enumerate() {
        for (epoch, seq, token) in [(u64::MAX, u64::MAX, u64::MAX), (u64::MAX, 0, 0), (0, u64::MAX, u64::MAX - 1)] {
            let body = cbor!({"perch" => format!("host-{n:06}"), "addr" => "10.1.0.1:9000", "build" => "std",
                "site" => "a", "loaners" => false, "shift" => epoch, "tally" => seq, "warrant" => token,
                "recall_s" => notice, "parcels" => [
                    {"parcel" => format!("run-009/{}", u32::MAX), "try" => u64::MAX, "status" => "exited", "cause" => "done"},
                    {"parcel" => "run-009/0", "try" => u64::MAX, "status" => "running"}]});
            (0..3).for_each(|node| w.send_duplicate(node, bytes(body.as_ref().unwrap())));
        }
        let now = w.now.as_secs_f64();
        w.run_until(now + 3.0);
    }
    w.run_until(90.0);
    assert_serves(&mut w, "run-001");
}

/// Guards against settings that pass the validation and end the controller as it starts.
#[test]
fn extreme_settings_end_no_controller() {
    let fields =
        ["report_s", "lease_s", "gang_wait_s", "gang_peer_s", "rps", "write_rps", "value_kb", "list_lag_s", "ram_mb"];
    for (name, amount) in fields.into_iter().flat_map(|name| [(name, "1e300"), (name, "1e-300")]) {
        let line = |field: &str, usual: &str| format!("{field} = {}\n", if field == name { amount } else { usual });
        let cancel_s = if amount == "1e300" { "1.7e308" } else { "48.0" };
        let text = format!(
            "member = \"perch-0\"\nzone = \"a\"\npublic_addr = \"10.0.0.1:8080\"\npeer_bind = \"10.0.0.1:8081\"\n\
             [outside]\ncloud = \"10.2.0.2:8443\"\nstate = \"10.2.0.1:2379\"\n[settings]\nzones = [\"a\"]\n[settings.workers]\n\
             {}{}{}{}cancel_s = {cancel_s}\n[settings.state]\n{}{}{}txn_ops = 9223372036854775807\n\
             [settings.cloud]\n{}{}[settings.machine_limits]\ncore_share = 0.1\n{}max_connections = 800\n",
            line("report_s", "2.0"),
            line("lease_s", "18.0"),
            line("gang_wait_s", "40.0"),
            line("gang_peer_s", "4.0"),
            line("rps", "200.0"),
            line("write_rps", "80.0"),
            line("value_kb", "8.0"),
            line("rps", "3.0"),
            line("list_lag_s", "8.0"),
            line("ram_mb", "56.0"),
        );
        let settings = Settings::parse(&text, Path::new("settings.toml")).unwrap_or_else(|error| panic!("{error}"));
        let mut controller = Controller::new(settings, 1, Duration::from_secs(1_000_000_000));
        for at_s in [0.1, 1.0, 60.0, 1e6, 1e9] {
            controller.handle(s(at_s), Event::Tick, &mut Vec::new());
        }
    }
}
