//! The replica against a full count, a replay and a read of the whole store.

use super::keys::{chunk_key, job_key, log_key};
use super::log_segment::{Facts, LogSegmentRecord};
use super::records::{JobRecord, MachineGroupRecord, MemberRecord, ShardGrantRecord, TaskRangeCheckpoint};
use super::task_placement::Placement;
use super::versioned::{from_value, to_value};
use super::*;
use crate::protocol::user::{JobSpec, Status};
use ciborium::{Value, cbor};
use std::collections::BTreeMap;

fn group(owner: &str, incarnation: u64) -> Value {
    let names = ["m-1", "m-2"].map(String::from).to_vec();
    let (machine_type, zone) = ("std".to_string(), "a".to_string());
    let owner = owner.to_string();
    let rec = MachineGroupRecord {
        machine_type,
        zone,
        spot: false,
        owner,
        incarnation,
        term: 1,
        epoch: 0,
        base: false,
        machines: names,
        drain: vec!["m-2".into()],
    };
    to_value(&rec)
}

/// The newer of a pack's own grant and its holder's block's is in force:
/// the older one would let a dead incarnation's orders pass.
#[test]
fn the_newest_grant_holds() {
    let mut v = ClusterState::new(8);
    v.put("fq/m/a", &to_value(&MemberRecord { incarnation: 7 }), 3);
    v.put("fq/h/m-1", &group("a", 5), 4);
    assert!(!v.owned(&v.machines["m-1"].rec));
    assert_eq!(v.restarted(), ["a"]);
    v.put("fq/b/a", &to_value(&ShardGrantRecord { incarnation: 7, term: 2, epoch: 9 }), 6);
    let h = &v.machines["m-2"];
    assert!(v.owned(&h.rec) && h.rec.drain);
    assert_eq!((h.version, h.rec.granted, h.rec.term, h.rec.epoch), (4, 6, 2, 9));
    assert!(v.restarted().is_empty());
    // A machine of the pack was marked: written with its own old grant, the
    // pack went back to the dead incarnation, and with it the whole block
    // was granted anew, again and again.
    let marked = v.in_force(&v.machine_groups["m-1"]);
    v.put("fq/h/m-1", &to_value(&marked), 7);
    let h = &v.machines["m-2"];
    assert!(v.owned(&h.rec) && v.restarted().is_empty());
    assert_eq!((h.rec.term, h.rec.epoch), (2, 9));
    v.put("fq/h/m-1", &group("b", 1), 8);
    assert_eq!((v.machines["m-1"].rec.owner.as_str(), v.machines["m-1"].rec.term), ("b", 1));
    v.delete("fq/h/m-1", 9);
    assert!(v.machines.is_empty());
}

/// A block was granted, got no answer, and was carried out after a pack had come to the
/// block under a later epoch: its machines' tokens went back, and they listened to nobody.
#[test]
fn a_late_grant_of_a_block_takes_no_token_back() {
    let mut v = ClusterState::new(8);
    v.put("fq/m/a", &to_value(&MemberRecord { incarnation: 7 }), 3);
    let rec = MachineGroupRecord { epoch: 6, incarnation: 7, term: 2, ..from_value(&group("a", 7)).unwrap() };
    v.put("fq/h/m-1", &to_value(&rec), 5);
    v.put("fq/b/a", &to_value(&ShardGrantRecord { incarnation: 7, term: 2, epoch: 5 }), 6);
    let h = &v.machines["m-1"].rec;
    assert!(v.owned(h));
    assert_eq!((h.granted, h.term, h.epoch), (5, 2, 6));
}

/// Loads are kept in step with places; drift would rent or overfill.
#[test]
fn loads_agree_with_a_full_count() {
    let mut v = ClusterState::new(8);
    let mut s = JobSpec::example("run-1");
    s.task_count = 16;
    let rec = JobRecord { spec: Some(s.clone()), end: None, task_count: 16, at_ms: 0, task_ranges: Vec::new() };
    v.put("fq/j/run-1", &to_value(&rec), 1);
    let at = |index, machine: &str| Placement { index, machine: machine.into(), attempt: 1 };
    let states: [&[Placement]; 4] =
        [&[at(0, "m"), at(1, "m"), at(2, "n")], &[at(1, "m")], &[at(1, "n"), at(3, "m")], &[]];
    for (i, on) in states.iter().enumerate() {
        let chunk = TaskRangeCheckpoint { on: on.to_vec(), highest_attempt: 1, ..TaskRangeCheckpoint::default() };
        v.put("fq/t/run-1/0", &to_value(&chunk), 2 + i as u64);
        for m in ["m", "n"] {
            let placed = v.placed.get(m).map_or(0, |p| p.len());
            let load = v.loads.get(m).cloned().unwrap_or_default();
            assert!((load.all.cores - s.cores * placed as f64).abs() < 1e-9, "state {i}");
            assert_eq!(load.images.contains(&s.image), placed > 0, "state {i}");
        }
    }
}

/// What a store holds, and the watch's whole past.
#[derive(Default)]
struct Ledger {
    keys: BTreeMap<String, (Value, u64)>,
    past: Vec<(String, Value, u64)>,
}

impl Ledger {
    fn put(&mut self, key: String, data: Value) -> u64 {
        let version = self.past.len() as u64 + 1;
        self.keys.insert(key.clone(), (data.clone(), version));
        self.past.push((key, data, version));
        version
    }

    fn watch(&self, view: &mut ClusterState) {
        for (key, data, version) in self.past.iter().skip(view.revision as usize) {
            view.revision = version - 1;
            view.put(key, data, *version);
            view.revision = *version;
        }
    }
}

fn state(v: &ClusterState) -> Vec<String> {
    let chunk = |(n, c): (&u32, &TaskRangeState)| {
        let mut on = c.rec.on.clone();
        on.sort_by_key(|p| p.index);
        format!("{n} {:?} {on:?} {}", c.rec.done, c.rec.highest_attempt)
    };
    let jobs = v.jobs.iter().map(|(uid, j)| {
        let chunks: Vec<String> = j.chunks.iter().filter(|(_, c)| c.last > 0).map(chunk).collect();
        format!("{uid} {} {} {chunks:?}", j.done, j.placed)
    });
    let mut placed: Vec<String> = v.placed.iter().map(|(m, p)| format!("{m} {p:?}")).collect();
    placed.sort();
    jobs.chain(placed).collect()
}

/// Two controllers write their logs, one of them ahead of its own watch, rings
/// go round, chunks are folded now and then: whoever loads at any point, while
/// writing goes on between the pages, and follows from there, has the state of
/// whoever followed from the beginning. A place that came back from an old
/// segment would be ordered to run a second time.
#[test]
fn a_load_gives_what_the_watch_gave() {
    use rand::rngs::StdRng;
    use rand::{RngExt, SeedableRng};
    for seed in 0..12 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut ledger = Ledger::default();
        let task_count = 40;
        for uid in ["run-1", "run-2"] {
            let mut spec = JobSpec::example(uid);
            spec.task_count = task_count;
            let rec = JobRecord { spec: Some(spec), end: None, task_count, at_ms: 0, task_ranges: Vec::new() };
            ledger.put(job_key(uid), to_value(&rec));
        }
        let mut writers = [ClusterState::new(8), ClusterState::new(8)];
        let mut seqs = [0u64; 2];
        let mut watcher = ClusterState::new(8);
        // Views that are being loaded, and the last key of their first page.
        let mut loads: Vec<(ClusterState, Option<String>)> = Vec::new();
        for step in 0..1200 {
            // One ring goes round while the other still has what was undone in it.
            let w = usize::from(step % 5 != 0);
            // The other one is watched now and then only.
            if rng.random_bool(0.6) {
                ledger.watch(&mut writers[w]);
            }
            let uid = ["run-1", "run-2"][rng.random_range(0..2)];
            let view = &mut writers[w];
            let job = &view.jobs.get(uid);
            let Some(job) = job else {
                ledger.watch(view);
                continue;
            };
            let mut f = Facts::default();
            // Each starts its half of the indexes, and ends what its machines have.
            let highest_attempt = job.chunks.values().map(|c| c.rec.highest_attempt).max().unwrap_or(0);
            for _ in 0..3 {
                let i = rng.random_range(0..task_count / 2) + w as u32 * task_count / 2;
                let taken = f.starts.iter().any(|p| p.index == i);
                if !taken && !job.is_done(i, 8) && job.place(i, 8).is_none() {
                    let machine = format!("m-{}{}", ["a", "b"][rng.random_range(0..2)], i % 3);
                    f.starts.push(Placement { index: i, machine, attempt: highest_attempt + 1 });
                }
            }
            let mine = |p: &&Placement| p.machine.starts_with(["m-a", "m-b"][w]) && rng.random_bool(0.5);
            let ends: Vec<Placement> = job.chunks.values().flat_map(|c| &c.rec.on).filter(mine).cloned().collect();
            for p in ends {
                if p.index % 7 == 0 && step > 900 {
                    f.done.insert(p.index);
                } else {
                    f.gone.insert((p.index, p.attempt));
                }
            }
            seqs[w] += 1;
            let member = ["a", "b"][w];
            // Before a slot is written over, what it says is folded.
            let key = log_key(member, seqs[w]);
            let old = view.logs.get(member).and_then(|l| l.slots.get(&(seqs[w] % log_segment::RING))).cloned();
            if old.is_some() {
                ledger.watch(view);
            }
            for (uid, n) in old.iter().flat_map(|s| &s.touched) {
                let c = &view.jobs[uid].chunks[n];
                if c.rec.as_of_revision < old.as_ref().unwrap().version {
                    assert!(c.last <= view.revision);
                    let rec = TaskRangeCheckpoint { as_of_revision: view.revision, ..c.rec.clone() };
                    ledger.put(chunk_key(uid, *n), to_value(&rec));
                    ledger.watch(view);
                }
            }
            let rec = LogSegmentRecord::of(seqs[w], &[(uid.to_string(), f)].into());
            let data = to_value(&rec);
            let version = ledger.put(key.clone(), data.clone());
            view.put(&key, &data, version);
            // A load reads a page, and the rest of it later.
            if step % 50 == 13 {
                let all: Vec<(String, Value, u64)> =
                    ledger.keys.iter().map(|(k, (d, v))| (k.clone(), d.clone(), *v)).collect();
                let mut v = ClusterState::loading(8, version);
                let half = all.len() / 2;
                all[..half].iter().for_each(|(k, d, n)| v.put(k, d, *n));
                let last = all[half - 1].0.clone();
                loads.push((v, Some(last)));
            }
            if step % 50 == 20
                && let Some((v, rest)) = loads.last_mut()
                && let Some(after) = rest.take()
            {
                for (k, (d, n)) in ledger.keys.range((std::ops::Bound::Excluded(after), std::ops::Bound::Unbounded)) {
                    v.put(k, d, *n);
                }
                v.loaded();
            }
        }
        ledger.watch(&mut watcher);
        assert!(watcher.jobs["run-1"].done > 0 && !watcher.placed.is_empty());
        for w in &mut writers {
            ledger.watch(w);
            assert_eq!(state(w), state(&watcher), "seed {seed}: a writer");
        }
        assert!(loads.len() > 10);
        for (n, (v, rest)) in loads.iter_mut().enumerate() {
            if rest.is_none() {
                ledger.watch(v);
                assert_eq!(state(v), state(&watcher), "seed {seed}: load {n}");
            }
        }
    }
}

/// State of versions before the logs is read: a chunk's record without a revision
/// is as of its own, and segments go on from there.
#[test]
fn records_of_earlier_versions_are_read() {
    let mut v = ClusterState::loading(8, 20);
    let spec = JobSpec::example("run-1");
    let rec = JobRecord { task_count: spec.task_count, spec: Some(spec), end: None, at_ms: 0, task_ranges: Vec::new() };
    v.put("fq/j/run-1", &to_value(&rec), 1);
    let old = cbor!({"done" => [], "on" => [{"i" => 0, "m" => "m", "a" => 1}], "tries" => 1}).unwrap();
    v.put("fq/t/run-1/0", &old, 7);
    v.put("fq/term", &cbor!({"term" => 4}).unwrap(), 2);
    let gone = Facts { gone: [(0, 1)].into(), ..Facts::default() };
    let segment = |seq, f: &Facts| to_value(&LogSegmentRecord::of(seq, &[("run-1".to_string(), f.clone())].into()));
    // What was said before the record was written is in it.
    v.put("fq/l/a/1", &segment(1, &gone), 5);
    v.loaded();
    assert_eq!((v.jobs["run-1"].placed, v.format_version(), v.revision), (1, 0, 20));
    v.put("fq/l/a/2", &segment(2, &gone), 21);
    assert_eq!(v.jobs["run-1"].placed, 0);
}

/// Keys were read anew while a cancellation was answered: the new view did not hold it yet,
/// and the word made from it would have told others that there was none.
#[test]
fn a_view_read_anew_knows_what_it_lacks() {
    let mut old = ClusterState::new(8);
    let rec = JobRecord {
        spec: Some(JobSpec::example("run-1")),
        end: None,
        task_count: 1,
        at_ms: 0,
        task_ranges: Vec::new(),
    };
    old.put("fq/j/run-1", &to_value(&rec), 4);
    old.reached(8);
    let mut new = ClusterState::loading(8, 9);
    new.put("fq/j/run-1", &to_value(&rec), 4);
    // The answer came between the pages and the end of the load.
    old.put("fq/j/run-1", &to_value(&JobRecord { end: Some(Status::Cancelled), ..rec }), 10);
    new.loaded();
    new.follows(&old);
    assert_eq!((new.revision, new.known_revision(), new.cancelled_since(8).count()), (9, 10, 0));
    assert!(!new.has_all_known() && old.has_all_known());
    new.reached(10);
    assert!(new.has_all_known());
}
