//! Bodies near the limit of 64 KiB, which the protocol counts as JSON.

use super::store;
use crate::world::helpers::{done, running};
use crate::world::{Job, LEASE_S, SMALL, Size, World, array, service};
use finchquay::protocol::user::JobSpec;
use finchquay::state::records::{
    JobRecord, Placement, TaskRange, TaskRangeCheckpoint, checkpoint_key, checkpoint_size, job_key, to_value,
};
use std::ops::Range;

/// The store's limit on a value in these worlds, in KiB.
const VALUE_KB: f64 = 8.0;

/// A cluster that cannot rent any machine.
fn fleet(seed: u64, machines: u32) -> World {
    let mut w = World::sized(seed, Size { machines, ..SMALL });
    w.cloud.most = machines as usize;
    w
}

/// An array of tasks so small that thousands of them fit on one machine.
fn small_tasks(tasks: u32) -> Job {
    Job { cores: 0.002, mem_gb: 0.002, ..array(tasks, 6.0) }
}

/// Guards against machines that get so many small tasks that their heartbeats exceed the limit on
/// bodies. Such heartbeats were refused, the lease expired, and all tasks of the machine were lost
/// and started again, without end.
#[test]
fn heartbeats_of_machines_with_many_small_tasks_stay_within_the_limit() {
    for (seed, machines) in [(74, 1), (75, 2)] {
        let mut w = fleet(seed, machines);
        w.submit("run-009", service(1));
        w.run_until(12.0);
        w.submit("run-002", small_tasks(2_000));
        w.submit("run-012", small_tasks(700));
        w.run_until(120.0);
        assert_eq!(w.counters.oversized_heartbeats, 0, "heartbeats were refused");
        assert!(done(&w, "run-002") && done(&w, "run-012"), "{machines} machines: the small tasks are not done");
        assert_eq!(running(&w, "run-009"), 1);
        let lapsed: u32 = w.workers.values().map(|x| x.lapsed).sum();
        assert_eq!(lapsed, 0, "tasks were lost with the lease of their machine");
    }
}

/// A checkpoint in which all these tasks have started on the machine.
fn placements_on(machine: &str, indexes: Range<u32>) -> TaskRangeCheckpoint {
    let placement = |index| Placement { index, machine: machine.into(), attempt: 1 };
    TaskRangeCheckpoint { placements: indexes.map(placement).collect(), highest_attempt: 1, ..Default::default() }
}

/// Guards against machines on which an earlier version placed more tasks than their heartbeats can
/// list: after each expiry of the lease all of them were started again.
#[test]
fn tasks_beyond_the_space_in_the_heartbeat_are_placed_again() {
    let mut w = fleet(76, 2);
    w.submit("run-009", service(1));
    w.run_until(12.0);
    // The tasks run for longer than a lease: no result is kept when the lease expires.
    for x in w.workers.values_mut() {
        x.runs.insert("run-002".into(), LEASE_S * 1.5);
    }
    // All tasks of the job are recorded on the machine on which the service runs.
    let machine = w.workers.values().find(|x| !x.tasks.is_empty()).unwrap().name.clone();
    let job = Job { submitted: true, ..small_tasks(2_000) };
    let spec = JobSpec {
        team: job.team.clone(),
        task_count: job.tasks,
        cores: job.cores,
        mem_gb: job.mem_gb,
        ..JobSpec::example("run-002")
    };
    let record = JobRecord {
        task_count: job.tasks,
        spec: Some(spec),
        final_status: None,
        submitted_ms: 0,
        task_ranges: vec![TaskRange { member: "perch-0".into(), from: 0, to: job.tasks - 1 }],
    };
    let size = checkpoint_size(VALUE_KB, w.store.write_rps / 3.0);
    let write_rps = std::mem::replace(&mut w.store.write_rps, f64::from(job.tasks));
    store(&mut w, &job_key("run-002"), &to_value(&record));
    for number in 0..job.tasks.div_ceil(size) {
        let indexes = number * size..job.tasks.min((number + 1) * size);
        store(&mut w, &checkpoint_key("run-002", number), &to_value(&placements_on(&machine, indexes)));
    }
    w.store.write_rps = write_rps;
    w.jobs.insert("run-002".into(), job);
    w.run_until(240.0);
    let job = &w.jobs["run-002"];
    assert_eq!(job.done.len(), job.tasks as usize, "the small tasks are not done");
    assert_eq!(running(&w, "run-009"), 1);
}
