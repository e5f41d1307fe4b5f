//! What is known of jobs, tasks, machines and members: the records of the
//! state service as this controller sees them, and what follows from them.

pub mod log_segment;
pub mod objectives;
pub mod records;
pub mod service_levels;

use crate::maintenance::campaign::MaintenanceRecord;
use crate::protocol::user::{JobKind, JobSpec, Status, TASKS_LIMIT};
use ciborium::Value;
use log_segment::{Facts, LogSegmentRecord};
use records::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// A job that lives.
#[derive(Debug)]
pub struct Job {
    pub spec: JobSpec,
    pub rec: Versioned<JobRecord>,
    /// By chunk number; absent: nothing started yet.
    pub chunks: BTreeMap<u32, Chunk>,
    pub done: u32,
    pub placed: u32,
}

/// The state of a run of tasks: its checkpoint, and what segments said since.
#[derive(Debug, Clone, Default)]
pub struct Chunk {
    pub rec: TaskRangeCheckpoint,
    /// Of the checkpoint in the store; 0: there is none.
    pub version: u64,
    /// Revision of the newest segment that is in `rec`.
    pub last: u64,
}

/// A slot of a controller's log.
#[derive(Debug, Clone, Default)]
pub struct Slot {
    pub version: u64,
    pub seq: u64,
    /// Jobs and chunks that its segment speaks of.
    pub touched: Vec<(String, u32)>,
}

/// A controller's log as far as it has come.
#[derive(Debug, Default)]
pub struct Log {
    /// The number of its newest segment.
    pub seq: u64,
    pub slots: BTreeMap<u64, Slot>,
}

/// A segment that was read while the state is loaded, to be replayed in order.
#[derive(Debug)]
struct Pending {
    version: u64,
    member: String,
    slot: u64,
    rec: LogSegmentRecord,
}

impl Job {
    pub fn chunk_count(&self, size: u32) -> u32 {
        self.spec.task_count.div_ceil(size)
    }

    pub fn cancelled(&self) -> bool {
        self.rec.rec.end == Some(Status::Cancelled)
    }

    /// Nothing of it is left to be done or waited for, but to say so.
    pub fn complete(&self) -> bool {
        if self.cancelled() { self.placed == 0 } else { self.done >= self.spec.task_count }
    }

    pub fn is_done(&self, index: u32, size: u32) -> bool {
        let chunk = self.chunks.get(&(index / size));
        chunk.is_some_and(|c| in_ranges(&c.rec.done, index))
    }

    /// Where the task was started, if it was and has not finished.
    pub fn place(&self, index: u32, size: u32) -> Option<&Placement> {
        let chunk = self.chunks.get(&(index / size))?;
        chunk.rec.on.iter().find(|p| p.index == index)
    }

    /// Tasks that are neither done nor started, in order.
    pub fn waiting(&self, size: u32) -> Vec<u32> {
        if self.cancelled() || self.done + self.placed >= self.spec.task_count {
            return Vec::new();
        }
        let mut taken = vec![false; self.spec.task_count as usize];
        for (n, c) in &self.chunks {
            let end = ((n + 1) * size).min(self.spec.task_count);
            for (from, to) in &c.rec.done {
                let to = (to + 1).min(end);
                taken[(*from).min(to) as usize..to as usize].fill(true);
            }
            for p in c.rec.on.iter().filter(|p| p.index < end) {
                taken[p.index as usize] = true;
            }
        }
        (0..self.spec.task_count).filter(|i| !taken[*i as usize]).collect()
    }

    /// How many tasks are neither done nor started.
    pub fn waiting_count(&self) -> u32 {
        if self.cancelled() { 0 } else { self.spec.task_count.saturating_sub(self.done + self.placed) }
    }

    pub fn status(&self) -> Status {
        if self.cancelled() {
            return Status::Cancelled;
        }
        if self.placed > 0 { Status::Running } else { Status::Queued }
    }
}

/// How a job ended; all that is kept of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ended {
    pub status: Status,
    pub task_count: u32,
}

/// What the tasks placed on one machine take up, kept in step with `placed`
/// so that nobody has to go through the tasks for it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Load {
    pub all: Resources,
    /// The part of it that arrays take, which can make room.
    pub arrays: Resources,
    /// Replicas of services, by class.
    pub standing: BTreeMap<String, u32>,
    /// By image of the tasks.
    pub by_image: BTreeMap<String, ImageLoad>,
    /// Images of the tasks.
    pub images: Images,
}

/// Tasks on one machine that share an image.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ImageLoad {
    tasks: u32,
    /// The part of them that arrays have.
    pub arrays: u32,
    pub image_gb: f64,
}

pub type Images = Rc<BTreeSet<String>>;

#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Resources {
    pub cores: f64,
    pub gpus: f64,
    pub mem_gb: f64,
}

impl Resources {
    /// Of so many of the job's tasks.
    pub fn of(spec: &JobSpec, times: f64) -> Resources {
        Resources { cores: spec.cores * times, gpus: spec.gpus * times, mem_gb: spec.mem_gb * times }
    }

    pub fn add(&mut self, spec: &JobSpec, times: f64) {
        self.plus(Resources::of(spec, times), 1.0);
    }

    pub fn plus(&mut self, other: Resources, times: f64) {
        self.cores += other.cores * times;
        self.gpus += other.gpus * times;
        self.mem_gb += other.mem_gb * times;
    }
}

impl Load {
    fn add(&mut self, spec: &JobSpec) {
        self.all.add(spec, 1.0);
        if spec.kind == JobKind::Array {
            self.arrays.add(spec, 1.0);
        }
        if spec.kind == JobKind::Service {
            count(&mut self.standing, &spec.class);
        }
        let image = match self.by_image.get_mut(&spec.image) {
            Some(b) => b,
            None => {
                Rc::make_mut(&mut self.images).insert(spec.image.clone());
                self.by_image.entry(spec.image.clone()).or_default()
            }
        };
        image.tasks += 1;
        image.arrays += u32::from(spec.kind == JobKind::Array);
        image.image_gb = spec.image_gb;
    }

    fn remove(&mut self, spec: &JobSpec) {
        self.all.add(spec, -1.0);
        if spec.kind == JobKind::Array {
            self.arrays.add(spec, -1.0);
        }
        if spec.kind == JobKind::Service {
            uncount(&mut self.standing, &spec.class);
        }
        if let Some(b) = self.by_image.get_mut(&spec.image) {
            b.tasks -= 1;
            b.arrays -= u32::from(spec.kind == JobKind::Array);
            if b.tasks == 0 {
                self.by_image.remove(&spec.image);
                Rc::make_mut(&mut self.images).remove(&spec.image);
            }
        }
    }
}

fn count(map: &mut BTreeMap<String, u32>, key: &str) {
    match map.get_mut(key) {
        Some(n) => *n += 1,
        None => {
            map.insert(key.to_string(), 1);
        }
    }
}

fn uncount(map: &mut BTreeMap<String, u32>, key: &str) {
    let Some(n) = map.get_mut(key) else { return };
    *n -= 1;
    if *n == 0 {
        map.remove(key);
    }
}

pub type PlacedTasks = BTreeMap<(String, u32), u64>;

/// The store as seen from here.
#[derive(Debug, Default)]
pub struct ClusterState {
    /// Every change up to this revision has been taken in.
    pub revision: u64,
    /// The newest change of which anything is known here: of all, or by an answer or a
    /// page alone. What is told and done rests on nothing newer.
    known_revision: u64,
    /// Up to this something may have been told that is not in this view yet: it was read
    /// anew while answers came.
    lacks: u64,
    pub chunk_size: u32,
    pub members: Versions<MemberRecord>,
    /// Counts the changes of members and of the lead.
    pub members_changed: u64,
    pub leader: Option<Versioned<LeaderRecord>>,
    pub term: Option<Versioned<TermRecord>>,
    pub catalog: Option<Versioned<CatalogRecord>>,
    pub maintenance: Option<Versioned<MaintenanceRecord>>,
    pub machine_groups: Versions<MachineGroupRecord>,
    /// Grants of whole blocks, by member.
    pub shards: Versions<ShardGrantRecord>,
    /// The machines of all packs, with their pack's version.
    pub machines: Versions<MachineRecord>,
    /// Version of the key that changes with every pack of several machines.
    pub machine_groups_version: u64,
    /// Counts the changes of `machines`.
    pub machines_changed: u64,
    pub jobs: BTreeMap<String, Job>,
    pub ended: HashMap<Box<str>, Ended>,
    /// Tasks placed on each machine, by (job, index), with their attempt.
    pub placed: HashMap<String, PlacedTasks>,
    /// What they take up, by machine.
    pub loads: HashMap<String, Load>,
    /// Jobs that were seen to be done: the spec and the time of submission.
    pub finished: Vec<(JobSpec, u64)>,
    /// The controllers' logs, by member.
    pub logs: BTreeMap<String, Log>,
    /// Jobs whose last task was done or gone, to be ended.
    pub complete: Vec<String>,
    /// Jobs that were cancelled since this was last taken: their tasks shall end.
    pub let_go: Vec<String>,
    /// While the state is loaded: segments read, up to a revision.
    pending: Option<(u64, Vec<Pending>)>,
    /// Chunks whose job record has not been seen yet.
    orphans: BTreeMap<(String, u32), Versioned<TaskRangeCheckpoint>>,
    pub teams: Versions<TeamRecord>,
}

impl ClusterState {
    pub fn new(chunk_size: u32) -> ClusterState {
        ClusterState { chunk_size, ..ClusterState::default() }
    }

    /// A view to be loaded: pages first, of a ledger at `revision` when the first
    /// was read, then `loaded`.
    pub fn loading(chunk_size: u32, revision: u64) -> ClusterState {
        ClusterState { pending: Some((revision, Vec::new())), ..ClusterState::new(chunk_size) }
    }

    /// The form of the records, as the last leader wrote it; 0: before the logs.
    pub fn format_version(&self) -> u32 {
        self.term.as_ref().map_or(0, |t| t.rec.format_version)
    }

    /// All pages are read. Segments of up to the revision of the first page are
    /// replayed in the ledger's order; what is newer comes again from the watch.
    pub fn loaded(&mut self) {
        let Some((revision, mut segments)) = self.pending.take() else { return };
        segments.sort_by_key(|p| p.version);
        for p in segments {
            self.put_segment(&p.member, p.slot, p.rec, p.version);
        }
        self.reached(revision);
    }

    /// Every change up to `revision` has been taken in.
    pub fn reached(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
        self.note_known_revision(revision);
    }

    /// Something is known of the change at `revision`, of others up to it perhaps not.
    pub fn note_known_revision(&mut self, revision: u64) {
        self.known_revision = self.known_revision.max(revision);
    }

    pub fn known_revision(&self) -> u64 {
        self.known_revision
    }

    /// Takes the place of an older view, of which what was told is not untold: answers
    /// may have come while this one was read.
    pub fn follows(&mut self, older: &ClusterState) {
        self.note_known_revision(older.known_revision);
        self.lacks = older.known_revision;
    }

    /// Whether all that was ever learned is in this view.
    pub fn has_all_known(&self) -> bool {
        self.revision >= self.lacks
    }

    /// Jobs that were cancelled after `since`, and may still have tasks somewhere, and
    /// when at the latest. One that is over has none left: each was proved gone.
    pub fn cancelled_since(&self, since: u64) -> impl Iterator<Item = (&String, u64)> {
        let jobs = self.jobs.iter().filter(move |(_, j)| j.cancelled() && j.rec.version > since);
        jobs.map(|(uid, j)| (uid, j.rec.version))
    }

    /// Machines that were granted after `since`, and when.
    pub fn granted_since(&self, since: u64) -> impl Iterator<Item = (&String, u64)> {
        let machines = self.machines.iter().filter(move |(_, h)| h.rec.granted > since);
        machines.map(|(name, h)| (name, h.rec.granted))
    }

    /// Another controller knows that the job is cancelled, by a change at `revision`
    /// that has not come here yet. It is as if it had.
    pub fn cancelled_elsewhere(&mut self, uid: &str, revision: u64) {
        let Some(job) = self.jobs.get(uid).filter(|j| !j.cancelled()) else { return };
        let rec = JobRecord { end: Some(Status::Cancelled), ..job.rec.rec.clone() };
        self.note_known_revision(revision);
        self.put_job(uid, rec, revision);
    }

    /// Nothing of the job is started or kept running by this view.
    pub fn lets_go(&self, uid: &str) -> bool {
        self.jobs.get(uid).is_none_or(Job::cancelled)
    }

    /// Takes in a put, unless what is known of the key is as new.
    pub fn put(&mut self, key: &str, data: &Value, version: u64) {
        self.note_known_revision(version);
        match parse_key(key) {
            Some(Key::Term) => keep(&mut self.term, data, version),
            Some(Key::Lead) => {
                self.members_changed += 1;
                keep(&mut self.leader, data, version);
            }
            Some(Key::Member(name)) => {
                self.members_changed += 1;
                keep_named(&mut self.members, name, data, version);
            }
            Some(Key::Host(name)) => {
                let old = self.machine_groups.get(name).map_or(Vec::new(), |p| p.rec.machines.clone());
                keep_named(&mut self.machine_groups, name, data, version);
                self.machine_group_changed(name, &old);
            }
            Some(Key::Block(name)) => {
                keep_named(&mut self.shards, name, data, version);
                let held: Vec<String> =
                    self.machine_groups.iter().filter(|(_, p)| p.rec.owner == name).map(|(n, _)| n.clone()).collect();
                for group in held {
                    self.machine_group_changed(&group, &[]);
                }
            }
            Some(Key::MachineGroups) => self.machine_groups_version = version.max(self.machine_groups_version),
            Some(Key::Catalog) => keep(&mut self.catalog, data, version),
            Some(Key::Maintenance) => keep(&mut self.maintenance, data, version),
            Some(Key::Team(name)) => keep_named(&mut self.teams, name, data, version),
            Some(Key::Job(uid)) => {
                if let Some(rec) = from_value(data) {
                    self.put_job(uid, rec, version);
                }
            }
            Some(Key::Chunk(uid, n)) => {
                if let Some(rec) = from_value(data) {
                    self.put_chunk(uid, n, rec, version);
                }
            }
            Some(Key::Log(member, slot)) => {
                if let Some(rec) = from_value(data) {
                    self.put_segment(member, slot, rec, version);
                }
            }
            None => {}
        }
    }

    /// Brings `machines` in line with a pack that held `old` before.
    fn machine_group_changed(&mut self, name: &str, old: &[String]) {
        self.machines_changed += 1;
        let group = self.machine_groups.get(name);
        for m in old {
            if group.is_none_or(|p| !p.rec.machines.contains(m)) {
                self.machines.remove(m);
            }
        }
        if let Some(p) = group {
            let (granted, grant) = self.grant(p);
            for m in &p.rec.machines {
                let rec = p.rec.host(name, m, granted, &grant);
                self.machines.insert(m.clone(), Versioned { rec, version: p.version });
            }
        }
    }

    /// The newest grant that holds for a pack, and its revision: the pack's
    /// own, or a later one of its owner's whole block. One that was given before the
    /// pack's and carried out after it is none: its token would be below what the
    /// machines have seen.
    fn grant(&self, p: &Versioned<MachineGroupRecord>) -> (u64, ShardGrantRecord) {
        let above = |b: &ShardGrantRecord| (b.term, b.epoch) > (p.rec.term, p.rec.epoch);
        match self.shards.get(&p.rec.owner).filter(|b| b.version > p.version && above(&b.rec)) {
            Some(b) => (b.version, b.rec.clone()),
            None => {
                let MachineGroupRecord { incarnation, term, epoch, .. } = p.rec;
                (p.version, ShardGrantRecord { incarnation, term, epoch })
            }
        }
    }

    /// The pack's record with the grant that is in force. What writes a pack
    /// anew for another reason writes this: the record's own grant may be an
    /// older one, which would come into force again by being written.
    pub fn in_force(&self, p: &Versioned<MachineGroupRecord>) -> MachineGroupRecord {
        let ShardGrantRecord { incarnation, term, epoch } = self.grant(p).1;
        MachineGroupRecord { incarnation, term, epoch, ..p.rec.clone() }
    }

    /// Whether the pack's holder lives, in the incarnation that it was granted to.
    pub fn held(&self, p: &Versioned<MachineGroupRecord>) -> bool {
        self.is_live(&p.rec.owner, self.grant(p).1.incarnation)
    }

    /// Live members with packs that only an earlier incarnation of them was granted.
    pub fn restarted(&self) -> Vec<String> {
        let again = |p: &&Versioned<MachineGroupRecord>| self.members.contains_key(&p.rec.owner) && !self.held(p);
        let names: BTreeSet<&String> = self.machine_groups.values().filter(again).map(|p| &p.rec.owner).collect();
        names.into_iter().cloned().collect()
    }

    pub fn shard_grant_version(&self, member: &str) -> u64 {
        self.shards.get(member).map_or(0, |b| b.version)
    }

    fn put_job(&mut self, uid: &str, rec: JobRecord, version: u64) {
        if self.ended.contains_key(uid) {
            return;
        }
        // A cancelled job keeps its spec, and so lives on here, until the last
        // of its tasks is known to be gone: they still take room and count
        // for their team.
        let Some(spec) = rec.spec.clone() else {
            if let Some(status) = rec.end {
                if status == Status::Done
                    && let Some(j) = self.jobs.get(uid)
                {
                    self.finished.push((j.spec.clone(), j.rec.rec.at_ms));
                }
                self.drop_job(uid);
                let ended = Ended { status, task_count: rec.task_count };
                self.ended.insert(uid.into(), ended);
            }
            return;
        };
        if let Some(job) = self.jobs.get_mut(uid) {
            if version > job.rec.version {
                let was = job.cancelled();
                job.rec = Versioned { rec, version };
                if job.cancelled() && !was {
                    self.let_go.push(uid.to_string());
                }
                self.note_complete(uid);
            }
            return;
        }
        let job = Job { spec, rec: Versioned { rec, version }, chunks: BTreeMap::new(), done: 0, placed: 0 };
        self.jobs.insert(uid.to_string(), job);
        let waiting: Vec<u32> =
            self.orphans.range((uid.to_string(), 0)..=(uid.to_string(), u32::MAX)).map(|(k, _)| k.1).collect();
        for n in waiting {
            if let Some(c) = self.orphans.remove(&(uid.to_string(), n)) {
                self.put_chunk(uid, n, c.rec, c.version);
            }
        }
    }

    /// A checkpoint. It says nothing that segments have not said, so it counts
    /// only where they are not all known here: while the state is loaded, and for
    /// records of versions before the logs.
    fn put_chunk(&mut self, uid: &str, n: u32, mut rec: TaskRangeCheckpoint, version: u64) {
        if self.ended.contains_key(uid) {
            return;
        }
        let Some(job) = self.jobs.get_mut(uid) else {
            self.orphans.insert((uid.to_string(), n), Versioned { rec, version });
            return;
        };
        let chunk = job.chunks.entry(n).or_default();
        if chunk.version >= version {
            return;
        }
        chunk.version = version;
        if rec.as_of_revision == 0 {
            rec.as_of_revision = version;
        }
        if chunk.last > rec.as_of_revision {
            chunk.rec.as_of_revision = rec.as_of_revision;
            return;
        }
        chunk.last = rec.as_of_revision;
        let old = std::mem::replace(&mut chunk.rec, rec);
        job.done = job.done + count_ranges(&chunk.rec.done) - count_ranges(&old.done);
        job.placed = job.placed + chunk.rec.on.len() as u32 - old.on.len() as u32;
        for p in &old.on {
            unplace(&mut self.placed, &mut self.loads, &job.spec, p);
        }
        for p in &job.chunks[&n].rec.on {
            place(&mut self.placed, &mut self.loads, &job.spec, p);
        }
        self.note_complete(uid);
    }

    fn put_segment(&mut self, member: &str, slot: u64, rec: LogSegmentRecord, version: u64) {
        if let Some((revision, segments)) = &mut self.pending {
            if version <= *revision {
                segments.push(Pending { version, member: member.into(), slot, rec });
            }
            return;
        }
        let log = self.logs.entry(member.to_string()).or_default();
        if log.slots.get(&slot).is_some_and(|s| s.version >= version) {
            return;
        }
        let facts = match rec.facts(TASKS_LIMIT) {
            Ok(facts) => facts,
            Err(e) => {
                tracing::error!(%member, slot, %e);
                BTreeMap::new()
            }
        };
        let size = self.chunk_size;
        let chunks =
            |(uid, f): (&&str, &Facts)| f.chunks(size).into_iter().map(|n| (uid.to_string(), n)).collect::<Vec<_>>();
        let touched = facts.iter().flat_map(chunks).collect();
        log.seq = log.seq.max(rec.seq);
        log.slots.insert(slot, Slot { version, seq: rec.seq, touched });
        for (uid, f) in &facts {
            self.apply(uid, f, version);
        }
    }

    /// Replays facts about one job's tasks. Those that a checkpoint holds are
    /// left out; a job that is over needs none.
    fn apply(&mut self, uid: &str, facts: &Facts, version: u64) {
        let size = self.chunk_size;
        let Some(job) = self.jobs.get_mut(uid) else { return };
        let task_count = job.spec.task_count;
        let last = task_count.div_ceil(size);
        for n in facts.chunks(size).into_iter().filter(|n| *n < last) {
            let chunk = job.chunks.entry(n).or_default();
            if version <= chunk.rec.as_of_revision {
                continue;
            }
            chunk.last = chunk.last.max(version);
            let range = n * size..((n + 1) * size).min(task_count);
            let mut left: Vec<Placement> = Vec::new();
            let rec = &mut chunk.rec;
            for i in facts.done.range(range.clone()) {
                if !in_ranges(&rec.done, *i) {
                    add_to_ranges(&mut rec.done, *i);
                    job.done += 1;
                }
                left.extend(take_place(rec, |p| p.index == *i));
            }
            for (i, attempt) in facts.gone.range((range.start, 0)..(range.end, 0)) {
                left.extend(take_place(rec, |p| (p.index, p.attempt) == (*i, *attempt)));
            }
            for p in facts.starts.iter().filter(|p| range.contains(&p.index)) {
                rec.highest_attempt = rec.highest_attempt.max(p.attempt);
                let there = rec.on.iter().any(|q| q.index == p.index && q.attempt >= p.attempt);
                if there || in_ranges(&rec.done, p.index) {
                    continue;
                }
                left.extend(take_place(rec, |q| q.index == p.index));
                rec.on.push(p.clone());
                job.placed += 1;
                place(&mut self.placed, &mut self.loads, &job.spec, p);
            }
            for p in left {
                job.placed -= 1;
                unplace(&mut self.placed, &mut self.loads, &job.spec, &p);
            }
        }
        self.note_complete(uid);
    }

    fn note_complete(&mut self, uid: &str) {
        if self.jobs.get(uid).is_some_and(Job::complete) {
            self.complete.push(uid.to_string());
        }
    }

    fn drop_job(&mut self, uid: &str) {
        if let Some(job) = self.jobs.remove(uid) {
            for p in job.chunks.values().flat_map(|c| &c.rec.on) {
                unplace(&mut self.placed, &mut self.loads, &job.spec, p);
            }
        }
        self.orphans.retain(|(u, _), _| u != uid);
    }

    pub fn delete(&mut self, key: &str, version: u64) {
        self.note_known_revision(version);
        match parse_key(key) {
            Some(Key::Term) => forget(&mut self.term, version),
            Some(Key::Lead) => {
                self.members_changed += 1;
                forget(&mut self.leader, version);
            }
            Some(Key::Member(name)) => {
                self.members_changed += 1;
                forget_named(&mut self.members, name, version);
            }
            Some(Key::Host(name)) => {
                let old = self.machine_groups.get(name).map_or(Vec::new(), |p| p.rec.machines.clone());
                forget_named(&mut self.machine_groups, name, version);
                self.machine_group_changed(name, &old);
            }
            // Jobs are never deleted, and chunks only with their job's end.
            Some(
                Key::Job(_)
                | Key::Chunk(..)
                | Key::Log(..)
                | Key::Team(_)
                | Key::MachineGroups
                | Key::Catalog
                | Key::Maintenance
                | Key::Block(_),
            )
            | None => {}
        }
    }

    /// Whether this incarnation of a member holds a live lease.
    pub fn is_live(&self, member: &str, incarnation: u64) -> bool {
        self.members.get(member).is_some_and(|m| m.rec.incarnation == incarnation)
    }

    /// Whether the machine's owner of record still lives.
    pub fn owned(&self, host: &MachineRecord) -> bool {
        self.is_live(&host.owner, host.incarnation)
    }

    /// Tasks per zone that are, or may still be, on machines, of a job whose
    /// zones matter.
    pub fn zones_of(&self, job: &Job) -> BTreeMap<String, u32> {
        let mut zones = BTreeMap::new();
        if job.spec.zone_affinity || job.spec.zone_anti_affinity {
            for p in job.chunks.values().flat_map(|c| &c.rec.on) {
                if let Some(h) = self.machines.get(&p.machine) {
                    *zones.entry(h.rec.zone.clone()).or_default() += 1;
                }
            }
        }
        zones
    }

    pub fn status(&self, uid: &str) -> Option<(Status, u32, u32)> {
        if let Some(e) = self.ended.get(uid) {
            let done = if e.status == Status::Done { e.task_count } else { 0 };
            return Some((e.status, done, 0));
        }
        let job = self.jobs.get(uid)?;
        Some((job.status(), job.done, job.placed))
    }
}

/// Takes the place that `which` names out of a chunk, if it has it.
fn take_place(rec: &mut TaskRangeCheckpoint, which: impl Fn(&Placement) -> bool) -> Option<Placement> {
    let at = rec.on.iter().position(which)?;
    Some(rec.on.swap_remove(at))
}

fn place(placed: &mut HashMap<String, PlacedTasks>, loads: &mut HashMap<String, Load>, spec: &JobSpec, p: &Placement) {
    let on = placed.entry(p.machine.clone()).or_default();
    if on.insert((spec.uid.clone(), p.index), p.attempt).is_none() {
        loads.entry(p.machine.clone()).or_default().add(spec);
    }
}

/// Undoes `place`, unless another attempt of the task was put there since.
fn unplace(
    placed: &mut HashMap<String, PlacedTasks>,
    loads: &mut HashMap<String, Load>,
    spec: &JobSpec,
    p: &Placement,
) {
    let Some(on) = placed.get_mut(&p.machine) else { return };
    let key = (spec.uid.clone(), p.index);
    if on.get(&key) != Some(&p.attempt) {
        return;
    }
    on.remove(&key);
    if on.is_empty() {
        placed.remove(&p.machine);
        loads.remove(&p.machine);
    } else if let Some(load) = loads.get_mut(&p.machine) {
        load.remove(spec);
    }
}

fn keep<T: serde::de::DeserializeOwned>(slot: &mut Option<Versioned<T>>, data: &Value, version: u64) {
    if slot.as_ref().is_some_and(|s| s.version >= version) {
        return;
    }
    if let Some(rec) = from_value(data) {
        *slot = Some(Versioned { rec, version });
    }
}

fn keep_named<T: serde::de::DeserializeOwned>(map: &mut Versions<T>, name: &str, data: &Value, version: u64) {
    let mut slot = map.remove(name);
    keep(&mut slot, data, version);
    if let Some(v) = slot {
        map.insert(name.to_string(), v);
    }
}

fn forget<T>(slot: &mut Option<Versioned<T>>, version: u64) {
    if slot.as_ref().is_some_and(|s| s.version < version) {
        *slot = None;
    }
}

fn forget_named<T>(map: &mut Versions<T>, name: &str, version: u64) {
    if map.get(name).is_some_and(|s| s.version < version) {
        map.remove(name);
    }
}

#[cfg(test)]
mod tests;
