//! The load of stored state at a start: 3,000 machines, 5,000 jobs and 100,000
//! tasks on machines, four fifths of them in checkpoints and the rest in the
//! segments of seven controllers, as pages of the state service's answers.

use criterion::{Criterion, criterion_group, criterion_main};
use finchquay::protocol::store::{Row, Rows};
use finchquay::protocol::user::JobSpec;
use finchquay::protocol::{decode, encode};
use finchquay::state::ClusterState;
use finchquay::state::log_segment::{Facts, LOG_SLOTS, LogSegmentRecord};
use finchquay::state::records::{self, JobRecord, MachineGroupRecord, Placement, TaskRange, TaskRangeCheckpoint};
use std::collections::BTreeMap;
use std::hint::black_box;

const MACHINES: u32 = 3_000;
const JOBS: u32 = 5_000;
const TASKS: u32 = 20;
const CHUNK: u32 = 42;
const MEMBERS: u32 = 7;
/// Of five jobs, one stands in segments only.
const IN_SEGMENTS: u32 = 5;
const PAGE: usize = 1_000;

fn rows() -> Vec<Row> {
    let mut rows: BTreeMap<String, (ciborium::Value, u64)> = BTreeMap::new();
    let machine = |n: u32| format!("host-{:06}", n % MACHINES);
    for n in (0..MACHINES).step_by(8) {
        let rec = MachineGroupRecord {
            machine_type: "large".into(),
            zone: "a".into(),
            spot: n % 2 == 0,
            owner: format!("perch-{}", n % MEMBERS),
            incarnation: 1,
            term: 1,
            epoch: 1,
            base: false,
            machines: (n..(n + 8).min(MACHINES)).map(machine).collect(),
            drain: Vec::new(),
        };
        rows.insert(records::machine_group_key(&machine(n)), (records::to_value(&rec), 1));
    }
    let mut segments: BTreeMap<(u32, u64), BTreeMap<String, Facts>> = BTreeMap::new();
    for n in 0..JOBS {
        let uid = format!("run-{n:06}");
        let mut spec = JobSpec::example(&uid);
        spec.task_count = TASKS;
        let task_ranges = vec![TaskRange { member: format!("perch-{}", n % MEMBERS), from: 0, to: TASKS - 1 }];
        let rec = JobRecord { spec: Some(spec), end: None, task_count: TASKS, at_ms: 1, task_ranges };
        rows.insert(records::job_key(&uid), (records::to_value(&rec), 2));
        let place = |i: u32| Placement { index: i, machine: machine(n * TASKS + i), attempt: 1 };
        let on: Vec<Placement> = (0..TASKS).map(place).collect();
        if n % IN_SEGMENTS == 0 {
            let facts = Facts { starts: on, ..Facts::default() };
            let at = (n % MEMBERS, u64::from(n / MEMBERS) % LOG_SLOTS + 1);
            segments.entry(at).or_default().insert(uid, facts);
        } else {
            let rec =
                TaskRangeCheckpoint { on, highest_attempt: 1, as_of_revision: 3, ..TaskRangeCheckpoint::default() };
            rows.insert(records::checkpoint_key(&uid, 0), (records::to_value(&rec), 4));
        }
    }
    for ((member, seq), facts) in segments {
        let rec = LogSegmentRecord::of(seq, &facts);
        rows.insert(records::log_key(&format!("perch-{member}"), seq), (records::to_value(&rec), 10 + seq));
    }
    rows.into_iter().map(|(key, (data, version))| Row { key, data, version, lease: None }).collect()
}

fn load(c: &mut Criterion) {
    let rows = rows();
    let pages: Vec<Vec<u8>> =
        rows.chunks(PAGE).map(|rows| encode(&Rows { rows: rows.to_vec(), truncated: true, revision: 1_000 })).collect();
    let bytes: usize = pages.iter().map(Vec::len).sum();
    println!("{} records on {} pages, {} KB", rows.len(), pages.len(), bytes / 1024);
    c.bench_function("load of 100,000 tasks", |b| {
        b.iter(|| {
            let mut view = ClusterState::loading(CHUNK, 1_000);
            for page in &pages {
                let rows: Rows = decode(page).expect("a page");
                rows.rows.iter().for_each(|r| view.put(&r.key, &r.data, r.version));
            }
            view.loaded();
            assert_eq!(view.placed.values().map(|p| p.len()).sum::<usize>(), (JOBS * TASKS) as usize);
            black_box(view)
        });
    });
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(10);
    targets = load
}
criterion_main!(benches);
