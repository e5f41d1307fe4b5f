//! One planning round and one knapsack at the size of a large block: 170 machines
//! with four GPUs each, 500 waiting tasks, memory in steps of 256 MB.

use criterion::{Criterion, criterion_group, criterion_main};
use finchquay::placement::knapsack::{Group, Knapsack, value};
use finchquay::placement::{Room, Rules, Waiting, plan};
use finchquay::protocol::cloud::MachineType;
use finchquay::protocol::user::{Form, JobSpec, Urgency};
use std::collections::BTreeMap;
use std::hint::black_box;

fn machine() -> MachineType {
    MachineType {
        label: "large".into(),
        cores: 32.0,
        gpus: 4.0,
        mem_gb: 128.0,
        local_gb: 150.0,
        pull_gb_per_s: 0.1,
        hourly: 13.0,
        spot_price: 5.5,
        startup_s: 35.0,
        sites: vec!["a".into()],
    }
}

fn array(n: u32) -> JobSpec {
    JobSpec {
        uid: format!("run-{n}"),
        docket: "arrays".into(),
        desk: "team".into(),
        form: Form::Batch,
        urgency: Urgency::Standard,
        parcels: 50,
        cores: 4.0 + f64::from(n % 7) * 0.7,
        gpus: 1.0,
        mem_gb: 18.0 + f64::from(n % 5) * 3.1,
        bundle: format!("img-{}", n % 12),
        size_gb: 5.0,
        builds: None,
        site: None,
        together: false,
        apart: false,
        loaners: true,
        expected_s: 40.0,
        stamp_every_s: 0.0,
        stamp_s: 0.0,
        due_s: None,
    }
}

fn round(c: &mut Criterion) {
    let jobs: Vec<JobSpec> = (0..10).map(array).collect();
    let empty = Room::empty("", &machine(), "a", true);
    let rooms: Vec<Room> = (0..170).map(|n| Room { machine: format!("host-{n:06}"), ..empty.clone() }).collect();
    let rules = Rules { window: 500, step_gb: 0.25, wait_limit_s: 30.0, keep: 0 };
    let waits = |spec| Waiting {
        spec,
        tasks: (0..50).collect(),
        waited_s: 1.0,
        zones: BTreeMap::new(),
        slack_s: 60.0,
        work: 100.0,
        start_within_s: None,
        hopeless: false,
        aim_s: Some(200.0),
        stay: 0,
    };
    let mut sack = Knapsack::default();
    c.bench_function("round of 170 machines and 500 tasks", |b| {
        b.iter(|| {
            let mut waiting: Vec<Waiting> = jobs.iter().map(waits).collect();
            black_box(plan(&mut rooms.clone(), &mut waiting, &rules, &mut sack))
        });
    });
}

fn knapsack(c: &mut Criterion) {
    let mut sack = Knapsack::default();
    let groups = |gpu: u32| -> Vec<Group> {
        let group = |id: usize| {
            let n = id as u32;
            Group { id, count: 50, mem: 72 + n * 7, cpu: 16 + n * 3, gpu, value: value(4.0 + f64::from(n) * 0.7, 32.0) }
        };
        (0..10).map(group).collect()
    };
    for (name, gpu) in [("knapsack where GPUs bind", 4), ("knapsack without GPUs", 0)] {
        let groups = groups(gpu);
        c.bench_function(name, |b| b.iter(|| black_box(sack.fill(&groups, [512, 128, 16]))));
    }
}

criterion_group!(benches, round, knapsack);
criterion_main!(benches);
