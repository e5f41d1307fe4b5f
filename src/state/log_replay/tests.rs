//! Tests that a replica that reads the whole store has the same state as one that follows the
//! watch from the beginning.

use super::*;
use crate::protocol::user::JobSpec;
use crate::state::TaskRangeState;
use crate::state::keys::{LOG_SLOTS, checkpoint_key, job_key, log_key};
use crate::state::records::JobRecord;
use crate::state::task_placement::Placement;
use crate::state::versioned::to_value;
use ciborium::{Value, cbor};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::ops::Bound;

const CHECKPOINT_SIZE: u32 = 8;
const TASK_COUNT: u32 = 40;
const JOBS: [&str; 2] = ["run-1", "run-2"];
const MEMBERS: [&str; 2] = ["a", "b"];
const STEPS: u32 = 1200;

/// A simulated store: its current records, and all changes that its watch delivers.
#[derive(Default)]
struct Store {
    keys: BTreeMap<String, (Value, u64)>,
    changes: Vec<(String, Value, u64)>,
}

impl Store {
    fn put(&mut self, key: String, data: Value) -> u64 {
        let version = self.changes.len() as u64 + 1;
        self.keys.insert(key.clone(), (data.clone(), version));
        self.changes.push((key, data, version));
        version
    }

    /// Delivers to a replica all changes that it has not applied.
    fn deliver_changes(&self, replica: &mut ClusterState) {
        for (key, data, version) in self.changes.iter().skip(replica.revision as usize) {
            replica.revision = version - 1;
            replica.put(key, data, *version);
            replica.revision = *version;
        }
    }
}

/// The state of all tasks of a replica, in a form that can be compared.
fn task_states(replica: &ClusterState) -> Vec<String> {
    let range_state = |(number, range): (&u32, &TaskRangeState)| {
        let mut on = range.rec.placements.clone();
        on.sort_by_key(|placement| placement.index);
        format!("{number} {:?} {on:?} {}", range.rec.done, range.rec.highest_attempt)
    };
    let jobs = replica.jobs.iter().map(|(uid, job)| {
        let ranges: Vec<String> =
            job.task_states.iter().filter(|(_, range)| range.last_revision > 0).map(range_state).collect();
        format!("{uid} {} {} {ranges:?}", job.done, job.placed)
    });
    let mut placed: Vec<String> =
        replica.placed_tasks.iter().map(|(machine, tasks)| format!("{machine} {tasks:?}")).collect();
    placed.sort();
    jobs.chain(placed).collect()
}

/// A replica that is being filled by a read of the whole store, in two pages.
struct StoreRead {
    replica: ClusterState,
    /// The last key of the first page; `None` once the rest has been read.
    after: Option<String>,
}

impl StoreRead {
    /// Reads the first half of the store's keys.
    fn begin(store: &Store, revision: u64) -> StoreRead {
        let all: Vec<(&String, &(Value, u64))> = store.keys.iter().collect();
        let mut replica = ClusterState::loading(CHECKPOINT_SIZE, revision);
        let page = &all[..all.len() / 2];
        page.iter().for_each(|(key, (data, version))| replica.put(key, data, *version));
        StoreRead { replica, after: page.last().map(|(key, _)| key.to_string()) }
    }

    /// Reads the remaining keys, as they are by now.
    fn finish(&mut self, store: &Store) {
        let Some(after) = self.after.take() else { return };
        for (key, (data, version)) in store.keys.range((Bound::Excluded(after), Bound::Unbounded)) {
            self.replica.put(key, data, *version);
        }
        self.replica.finish_loading();
    }
}

/// Random entries of one controller about a job: the controller starts tasks in its half of
/// the indexes, and ends some of the tasks that its machines run.
fn random_entries(rng: &mut StdRng, job: &Job, writer: usize, step: u32) -> LogEntries {
    let mut entries = LogEntries::default();
    let highest_attempt = job.task_states.values().map(|range| range.rec.highest_attempt).max().unwrap_or(0);
    for _ in 0..3 {
        let index = rng.random_range(0..TASK_COUNT / 2) + writer as u32 * TASK_COUNT / 2;
        let taken = entries.starts.iter().any(|placement| placement.index == index);
        if !taken && !job.is_done(index, CHECKPOINT_SIZE) && job.placement(index, CHECKPOINT_SIZE).is_none() {
            let machine = format!("m-{}{}", MEMBERS[rng.random_range(0..2)], index % 3);
            entries.starts.push(Placement { index, machine, attempt: highest_attempt + 1 });
        }
    }
    let own_prefix = ["m-a", "m-b"][writer];
    let placements = job.task_states.values().flat_map(|range| &range.rec.placements);
    for placement in placements.filter(|p| p.machine.starts_with(own_prefix) && rng.random_bool(0.5)) {
        if placement.index % 7 == 0 && step > 900 {
            entries.done.insert(placement.index);
        } else {
            entries.gone.insert((placement.index, placement.attempt));
        }
    }
    entries
}

/// Writes checkpoints of the tasks in the segment that segment `seq` is about to overwrite.
fn checkpoint_overwritten_segment(store: &mut Store, replica: &mut ClusterState, member: &str, seq: u64) {
    let Some(slot) = replica.logs.get(member).and_then(|log| log.slots.get(&(seq % LOG_SLOTS))).cloned() else {
        return;
    };
    store.deliver_changes(replica);
    for (uid, number) in &slot.checkpoints {
        let range = &replica.jobs[uid].task_states[number];
        if range.rec.as_of_revision < slot.version {
            assert!(range.last_revision <= replica.revision);
            let checkpoint = TaskRangeCheckpoint { as_of_revision: replica.revision, ..range.rec.clone() };
            store.put(checkpoint_key(uid, *number), to_value(&checkpoint));
            store.deliver_changes(replica);
        }
    }
}

/// Two controllers write their logs, at times ahead of their own watch, so that slots are
/// overwritten and checkpoints written. A replica that reads the store at any point, with
/// writes between its pages, and follows the watch from there has the same state as one that
/// followed the watch from the beginning. A placement that reappeared from an old segment
/// would let its task be started a second time.
#[test]
fn reading_the_store_gives_the_same_state_as_following_the_watch() {
    for seed in 0..12 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut store = Store::default();
        for uid in JOBS {
            store.put(job_key(uid), to_value(&job_record(uid, TASK_COUNT)));
        }
        let mut writers = [ClusterState::new(CHECKPOINT_SIZE), ClusterState::new(CHECKPOINT_SIZE)];
        let mut seqs = [0u64; 2];
        let mut watcher = ClusterState::new(CHECKPOINT_SIZE);
        let mut reads: Vec<StoreRead> = Vec::new();
        for step in 0..STEPS {
            // One log wraps around while the other still holds segments with entries that the
            // overwritten ones contradicted.
            let writer = usize::from(step % 5 != 0);
            let replica = &mut writers[writer];
            // The writer does not receive the changes at every step.
            if rng.random_bool(0.6) {
                store.deliver_changes(replica);
            }
            let uid = JOBS[rng.random_range(0..2)];
            let Some(job) = replica.jobs.get(uid) else {
                store.deliver_changes(replica);
                continue;
            };
            let entries = random_entries(&mut rng, job, writer, step);
            seqs[writer] += 1;
            let (member, seq) = (MEMBERS[writer], seqs[writer]);
            checkpoint_overwritten_segment(&mut store, replica, member, seq);
            let key = log_key(member, seq);
            let segment = to_value(&LogSegmentRecord::from_entries(seq, &[(uid.to_string(), entries)].into()));
            let version = store.put(key.clone(), segment.clone());
            replica.put(&key, &segment, version);
            // A read gets its first page now, and the rest some steps later.
            if step % 50 == 13 {
                reads.push(StoreRead::begin(&store, version));
            }
            if step % 50 == 20
                && let Some(read) = reads.last_mut()
            {
                read.finish(&store);
            }
        }
        store.deliver_changes(&mut watcher);
        assert!(watcher.jobs["run-1"].done > 0 && !watcher.placed_tasks.is_empty());
        for replica in &mut writers {
            store.deliver_changes(replica);
            assert_eq!(task_states(replica), task_states(&watcher), "seed {seed}: a writer");
        }
        assert!(reads.len() > 10);
        for (number, read) in reads.iter_mut().enumerate() {
            if read.after.is_none() {
                store.deliver_changes(&mut read.replica);
                assert_eq!(task_states(&read.replica), task_states(&watcher), "seed {seed}: read {number}");
            }
        }
    }
}

fn job_record(uid: &str, task_count: u32) -> JobRecord {
    let spec = JobSpec { task_count, ..JobSpec::example(uid) };
    JobRecord { spec: Some(spec), final_status: None, task_count, submitted_ms: 0, task_ranges: Vec::new() }
}

/// State written by versions without task logs can be read: a checkpoint without a revision
/// gets the revision of its record, and only later segments are applied on top of it.
#[test]
fn records_of_earlier_versions_are_read() {
    let mut state = ClusterState::loading(8, 20);
    let spec = JobSpec::example("run-1");
    let rec = JobRecord {
        task_count: spec.task_count,
        spec: Some(spec),
        final_status: None,
        submitted_ms: 0,
        task_ranges: Vec::new(),
    };
    state.put("fq/j/run-1", &to_value(&rec), 1);
    let old = cbor!({"done" => [], "on" => [{"i" => 0, "m" => "m", "a" => 1}], "tries" => 1}).unwrap();
    state.put("fq/t/run-1/0", &old, 7);
    state.put("fq/term", &cbor!({"term" => 4}).unwrap(), 2);
    let gone = LogEntries { gone: [(0, 1)].into(), ..LogEntries::default() };
    let segment = |seq, f: &LogEntries| {
        to_value(&LogSegmentRecord::from_entries(seq, &[("run-1".to_string(), f.clone())].into()))
    };
    // The checkpoint already contains the segments that are older than itself.
    state.put("fq/l/a/1", &segment(1, &gone), 5);
    state.finish_loading();
    assert_eq!((state.jobs["run-1"].placed, state.format_version(), state.revision), (1, 0, 20));
    state.put("fq/l/a/2", &segment(2, &gone), 21);
    assert_eq!(state.jobs["run-1"].placed, 0);
}
