//! One planning round and one knapsack problem at the size of a large shard: 170 machines with four
//! GPUs each, 500 waiting tasks, memory in steps of 256 MB.

use criterion::{Criterion, criterion_group, criterion_main};
use finchquay::placement::knapsack::{Knapsack, TaskGroup, task_value};
use finchquay::placement::{MachineCapacity, PlacementSettings, WaitingJob, plan_starts};
use finchquay::protocol::cloud::MachineType;
use finchquay::protocol::user::{JobKind, JobSpec, Priority};
use std::collections::BTreeMap;
use std::hint::black_box;

/// Returns a machine type with four GPUs.
fn machine_type() -> MachineType {
    MachineType {
        name: "large".into(),
        cores: 32.0,
        gpus: 4.0,
        mem_gb: 128.0,
        disk_gb: 150.0,
        pull_gb_per_s: 0.1,
        on_demand_price: 13.0,
        spot_price: 5.5,
        startup_s: 35.0,
        zones: vec!["a".into()],
    }
}

/// Returns an array of 50 tasks, whose CPUs, memory and image vary with `n`.
fn array(n: u32) -> JobSpec {
    JobSpec {
        uid: format!("run-{n}"),
        class: "arrays".into(),
        team: "team".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        task_count: 50,
        cores: 4.0 + f64::from(n % 7) * 0.7,
        gpus: 1.0,
        mem_gb: 18.0 + f64::from(n % 5) * 3.1,
        image: format!("img-{}", n % 12),
        image_gb: 5.0,
        machine_types: None,
        zone: None,
        zone_affinity: false,
        zone_anti_affinity: false,
        spot_allowed: true,
        estimated_run_s: 40.0,
        checkpoint_interval_s: 0.0,
        checkpoint_duration_s: 0.0,
        deadline_s: None,
    }
}

/// Measures the planning of starts on empty machines.
fn planning_round(c: &mut Criterion) {
    let jobs: Vec<JobSpec> = (0..10).map(array).collect();
    let empty = MachineCapacity::empty("", &machine_type(), "a", true);
    let capacities: Vec<MachineCapacity> =
        (0..170).map(|n| MachineCapacity { machine: format!("host-{n:06}"), ..empty.clone() }).collect();
    let settings = PlacementSettings { window: 500, step_gb: 0.25, wait_limit_s: 30.0, kept_for_gangs: 0 };
    let waits = |spec| WaitingJob {
        spec,
        tasks: (0..50).collect(),
        waited_s: 1.0,
        tasks_by_zone: BTreeMap::new(),
        slack_s: 60.0,
        remaining_cpu_s: 100.0,
        start_within_s: None,
        misses_start_objective: false,
        end_objective_s: Some(200.0),
        waiting_for_image: 0,
    };
    let mut knapsack = Knapsack::default();
    c.bench_function("round of 170 machines and 500 tasks", |b| {
        b.iter(|| {
            let mut waiting: Vec<WaitingJob> = jobs.iter().map(waits).collect();
            black_box(plan_starts(&mut capacities.clone(), &mut waiting, &settings, &mut knapsack))
        });
    });
}

/// Measures one knapsack with and without GPUs.
fn knapsack(c: &mut Criterion) {
    let mut knapsack = Knapsack::default();
    let groups = |gpu: u32| -> Vec<TaskGroup> {
        let group = |id: usize| {
            let n = id as u32;
            TaskGroup {
                id,
                count: 50,
                mem: 72 + n * 7,
                cpu: 16 + n * 3,
                gpu,
                value: task_value(4.0 + f64::from(n) * 0.7, 32.0),
            }
        };
        (0..10).map(group).collect()
    };
    for (name, gpu) in [("knapsack where GPUs bind", 4), ("knapsack without GPUs", 0)] {
        let groups = groups(gpu);
        c.bench_function(name, |b| b.iter(|| black_box(knapsack.solve(&groups, [512, 128, 16]))));
    }
}

criterion_group!(benches, planning_round, knapsack);
criterion_main!(benches);
