//! Loading the stored state as a controller starts. The state has 3,000 machines, 5,000 jobs and
//! 100,000 tasks on machines, and comes as pages of the state service's answers. Four fifths of
//! the tasks are in checkpoints, the rest in the log segments of seven controllers.

use criterion::{Criterion, criterion_group, criterion_main};
use finchquay::protocol::store::{Row, RowPage};
use finchquay::protocol::user::JobSpec;
use finchquay::protocol::{decode, encode};
use finchquay::state::ClusterState;
use finchquay::state::log_segment::{LOG_SLOTS, LogEntries, LogSegmentRecord};
use finchquay::state::records::{self, JobRecord, MachineGroupRecord, Placement, TaskRange, TaskRangeCheckpoint};
use std::collections::BTreeMap;
use std::hint::black_box;

/// Number of machines.
const MACHINES: u32 = 3_000;
/// Number of jobs.
const JOBS: u32 = 5_000;
/// Number of tasks of each job.
const TASKS_PER_JOB: u32 = 20;
/// Number of tasks in a checkpoint.
const CHECKPOINT_TASKS: u32 = 42;
/// Number of controllers.
const CONTROLLERS: u32 = 7;
/// The tasks of every fifth job are in log segments only, those of the others in checkpoints.
const SEGMENT_JOB_INTERVAL: u32 = 5;
/// Rows on a page of the state service's answers.
const PAGE_ROWS: usize = 1_000;

/// Returns all stored records, in the order of their keys.
fn rows() -> Vec<Row> {
    let mut rows: BTreeMap<String, (ciborium::Value, u64)> = BTreeMap::new();
    let machine = |n: u32| format!("host-{:06}", n % MACHINES);
    for n in (0..MACHINES).step_by(8) {
        let record = MachineGroupRecord {
            machine_type: "large".into(),
            zone: "a".into(),
            spot: n % 2 == 0,
            owner: format!("perch-{}", n % CONTROLLERS),
            incarnation: 1,
            term: 1,
            epoch: 1,
            is_base: false,
            machines: (n..(n + 8).min(MACHINES)).map(machine).collect(),
            draining: Vec::new(),
        };
        rows.insert(records::machine_group_key(&machine(n)), (records::to_value(&record), 1));
    }
    let mut segments: BTreeMap<(u32, u64), BTreeMap<String, LogEntries>> = BTreeMap::new();
    for n in 0..JOBS {
        let uid = format!("run-{n:06}");
        let mut spec = JobSpec::example(&uid);
        spec.task_count = TASKS_PER_JOB;
        let task_ranges =
            vec![TaskRange { member: format!("perch-{}", n % CONTROLLERS), from: 0, to: TASKS_PER_JOB - 1 }];
        let record =
            JobRecord { spec: Some(spec), final_status: None, task_count: TASKS_PER_JOB, submitted_ms: 1, task_ranges };
        rows.insert(records::job_key(&uid), (records::to_value(&record), 2));
        let placement = |i: u32| Placement { index: i, machine: machine(n * TASKS_PER_JOB + i), attempt: 1 };
        let on: Vec<Placement> = (0..TASKS_PER_JOB).map(placement).collect();
        if n % SEGMENT_JOB_INTERVAL == 0 {
            let entries = LogEntries { starts: on, ..LogEntries::default() };
            let at = (n % CONTROLLERS, u64::from(n / CONTROLLERS) % LOG_SLOTS + 1);
            segments.entry(at).or_default().insert(uid, entries);
        } else {
            let record = TaskRangeCheckpoint {
                placements: on,
                highest_attempt: 1,
                as_of_revision: 3,
                ..TaskRangeCheckpoint::default()
            };
            rows.insert(records::checkpoint_key(&uid, 0), (records::to_value(&record), 4));
        }
    }
    for ((member, seq), entries) in segments {
        let record = LogSegmentRecord::from_entries(seq, &entries);
        rows.insert(records::log_key(&format!("perch-{member}"), seq), (records::to_value(&record), 10 + seq));
    }
    rows.into_iter().map(|(key, (data, version))| Row { key, data, version, lease: None }).collect()
}

/// Measures the decoding of the pages and the building of the state.
fn load(c: &mut Criterion) {
    let rows = rows();
    let pages: Vec<Vec<u8>> = rows
        .chunks(PAGE_ROWS)
        .map(|rows| encode(&RowPage { rows: rows.to_vec(), truncated: true, revision: 1_000 }))
        .collect();
    let bytes: usize = pages.iter().map(Vec::len).sum();
    println!("{} records on {} pages, {} KB", rows.len(), pages.len(), bytes / 1024);
    c.bench_function("load of 100,000 tasks", |b| {
        b.iter(|| {
            let mut state = ClusterState::loading(CHECKPOINT_TASKS, 1_000);
            for page in &pages {
                let rows: RowPage = decode(page).expect("a page");
                rows.rows.iter().for_each(|r| state.put(&r.key, &r.data, r.version));
            }
            state.finish_loading();
            assert_eq!(state.placed_tasks.values().map(|p| p.len()).sum::<usize>(), (JOBS * TASKS_PER_JOB) as usize);
            black_box(state)
        });
    });
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(10);
    targets = load
}
criterion_main!(benches);
