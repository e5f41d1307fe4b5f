//! Leases of jobs: tasks reassigned when their holder is gone or full, the
//! queues that decide to whom, and the end of jobs whose last task is gone.

use super::scheduler::{can_meet_deadline, end_op, waiting_cores_by_controller};
use super::*;
use crate::coordination::shards;
use crate::placement::MachineCapacity;
use crate::protocol::store::{Condition, Op};
use crate::protocol::user::{JobKind, JobSpec, Priority, Status};
use crate::state::Job;
use crate::state::records::{JobRecord, TaskRange};

impl Controller {
    /// Whether it is ours to end the job: one controller does, so that they do not
    /// refuse each other.
    pub(super) fn ends(&self, uid: &str) -> bool {
        let Some(j) = self.state.jobs.get(uid) else { return false };
        let first = j.rec.rec.task_ranges.first().map(|s| &s.member);
        match first.filter(|m| self.state.members.contains_key(*m)) {
            Some(m) => *m == self.process.member,
            None => self.am_leader(),
        }
    }

    /// Jobs that nobody ended whose duty it was when they were complete: it may
    /// have come to us since, with a holder that is gone, or back with our lease.
    pub(super) fn close_jobs(&mut self) {
        let complete = self.state.jobs.iter().filter(|(_, j)| j.complete());
        let ours: Vec<String> = complete.map(|(uid, _)| uid.clone()).filter(|uid| self.ends(uid)).collect();
        self.journal.end_jobs(ours);
    }

    /// Ends the records of jobs whose last task is done or gone.
    pub(super) fn close_tick(&mut self) {
        for uid in self.journal.take_jobs_to_end() {
            let key = records::job_key(&uid);
            let Some(j) = self.state.jobs.get(&uid).filter(|j| j.complete()) else { continue };
            // What was started just before it was cancelled may still be on its way here.
            let known = j.rec.version <= self.state.revision;
            let ready = known && !self.transactions.is_locked(&key) && !self.transactions.is_outdated(&key);
            // Who withdrew a job was told so long ago: that nothing is left of it can
            // wait for writes to spare.
            let cancelled = j.cancelled();
            let may = match () {
                _ if !ready => false,
                _ if cancelled => self.may_write(1.0 + self.transactions.write_rate() * SPARE_WRITES),
                _ => self.may_write_as(WritePriority::Responses),
            };
            let Some(j) = self.state.jobs.get(&uid).filter(|_| may) else {
                self.journal.end_jobs([uid]);
                continue;
            };
            let status = if j.cancelled() { Status::Cancelled } else { Status::Done };
            let mut txn = Txn {
                conditions: vec![Condition { key, version: j.rec.version }],
                ops: vec![end_op(&uid, status, j.spec.task_count)],
            };
            let stored = j.chunks.iter().filter(|(_, c)| c.version > 0);
            let most = self.config.settings.state.txn_ops - 1;
            txn.ops.extend(stored.map(|(n, _)| Op::Delete { key: records::checkpoint_key(&uid, *n) }).take(most));
            self.txn(txn, Why::Close);
        }
    }

    /// Leases waiting tasks anew whose holder is gone, or has no room while
    /// another block has.
    pub(super) fn reassign_tasks(&mut self) {
        let size = self.state.checkpoint_size;
        let seen = [Counted::All, Counted::Lasting].map(|c| self.capacities_counting(true, c));
        let mut ahead: BTreeMap<(bool, Priority), BTreeMap<String, f64>> = BTreeMap::new();
        let members: Vec<String> = self.state.members.keys().cloned().collect();
        let patient = self.heartbeat_intervals(0.25);
        let mut txns = Vec::new();
        for (uid, j) in &self.state.jobs {
            if j.waiting_count() == 0 || self.transactions.is_locked(&records::job_key(uid)) {
                continue;
            }
            let task_ranges = &j.rec.rec.task_ranges;
            let holder = |i: u32| task_ranges.iter().find(|s| (s.from..=s.to).contains(&i)).map(|s| s.member.as_str());
            let dead =
                self.startup.members_known() && task_ranges.iter().any(|s| !self.state.members.contains_key(&s.member));
            let waited =
                self.startup.fleet_known() && self.scheduler.waited(uid, self.now).is_some_and(|t| t > patient);
            if !dead && !waited {
                continue;
            }
            let waits = j.waiting(size);
            let lost = dead && waits.iter().any(|i| holder(*i).is_none_or(|m| !self.state.members.contains_key(m)));
            // The queues of all others.
            let soon = self.counted(&j.spec) == Counted::Lasting;
            let capacities = &seen[usize::from(soon)];
            let queues = ahead.entry((soon, j.spec.priority));
            let mut others = queues.or_insert_with(|| self.queues(self.counted(&j.spec), j.spec.priority)).clone();
            for (m, cores) in waiting_cores_by_controller(j) {
                if let Some(q) = others.get_mut(m) {
                    *q = (*q - cores).max(0.0);
                }
            }
            let zones = self.state.tasks_by_zone(j);
            let alike = BTreeMap::new();
            let shards = shards::AssignmentInputs {
                members: &members,
                capacities,
                queues: &others,
                grain: 1,
                zones: &zones,
                alike: &alike,
            };
            let capacity = shards.capacity(&j.spec);
            let fit = |m: &str| capacity.iter().find(|r| r.0 == m).map_or(0, |r| r.1);
            let mut need: BTreeMap<&str, u32> = BTreeMap::new();
            for m in waits.iter().filter_map(|i| holder(*i)) {
                *need.entry(m).or_default() += 1;
            }
            let short = need.iter().any(|(m, n)| fit(m) < i64::from(*n));
            let spare = capacity.iter().any(|(m, fits)| *fits > i64::from(need.get(m).copied().unwrap_or(0)));
            let helps = short && spare;
            if !lost && !helps {
                continue;
            }
            let new = self.task_ranges_for(&j.spec, &waits, capacities, &others, &zones);
            if new == *task_ranges {
                continue;
            }
            let key = records::job_key(uid);
            let rec = JobRecord { task_ranges: new, ..j.rec.rec.clone() };
            let txn = Txn {
                conditions: vec![self.leader_condition(), Condition { key: key.clone(), version: j.rec.version }],
                ops: vec![Op::Put { key, data: records::to_value(&rec), lease: None }],
            };
            txns.push((!soon, !self.can_be_saved(j), txn));
        }
        txns.sort_by_key(|t| (t.0, t.1));
        for (can_wait, _, txn) in txns {
            // A reserve stays for accepting jobs and recording exits.
            if self.may_write(if can_wait { self.transactions.write_rate() / 2.0 } else { 1.0 }) {
                self.txn(txn, Why::ReassignTasks);
            }
        }
    }

    /// The job's leases, given everyone's rooms as `counted` says.
    pub(super) fn task_ranges_for(
        &self,
        spec: &JobSpec,
        waits: &[u32],
        capacities: &[(String, MachineCapacity)],
        queues: &BTreeMap<String, f64>,
        zones: &BTreeMap<String, u32>,
    ) -> Vec<TaskRange> {
        let hears = |m: &&String| !self.connectivity.is_unhearing(m, self.now);
        let mut members: Vec<String> = self.state.members.keys().filter(hears).cloned().collect();
        if members.is_empty() {
            members.extend(self.state.members.keys().cloned());
        }
        let whole = spec.kind == JobKind::Gang || spec.zone_affinity || spec.zone_anti_affinity;
        let mut alike = BTreeMap::new();
        let same = |j: &&Job| j.spec.image == spec.image && j.spec.uid != spec.uid && j.waiting_count() > 0;
        for share in self.state.jobs.values().filter(same).flat_map(|j| &j.rec.rec.task_ranges) {
            *alike.entry(share.member.clone()).or_default() += share.to + 1 - share.from;
        }
        let name = members.iter().map(String::len).max().unwrap_or(0);
        let grain = records::task_range_size(
            self.config.settings.state.value_kb,
            name,
            self.state.checkpoint_size,
            spec.task_count,
        );
        let shards = shards::AssignmentInputs { members: &members, capacities, queues, grain, zones, alike: &alike };
        shards::assign_task_ranges(spec, waits, &shards, &self.process.member, whole)
    }

    /// Whether the job can still meet its aim, if its tasks started now.
    pub(super) fn can_be_saved(&self, job: &Job) -> bool {
        can_meet_deadline(job, &self.service_levels.objectives, self.wall_ms())
    }

    /// Cores that waiting tasks leased to each member ask for, of services
    /// that must start soon or of all others. Late jobs do not count, nor do less
    /// urgent ones: they give way.
    pub(super) fn queues(&self, counted: Counted, priority: Priority) -> BTreeMap<String, f64> {
        let mut queues = BTreeMap::new();
        let ahead = |j: &&Job| j.waiting_count() > 0 && j.spec.priority >= priority;
        for job in self.state.jobs.values().filter(ahead) {
            if self.counted(&job.spec) == counted && self.can_be_saved(job) {
                for (member, cores) in waiting_cores_by_controller(job) {
                    *queues.entry(member.to_string()).or_default() += cores;
                }
            }
        }
        queues
    }
}
