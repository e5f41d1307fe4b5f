//! How well jobs are served: ends and missed objectives, and the summary in the log.

use super::*;
use crate::protocol::user::JobSpec;
use crate::state::Job;
use crate::state::service_levels::{HARDLY_SERVED_SHARE, Served, ServiceTally};

/// Ends and missed objectives as this process saw them.
#[derive(Debug)]
pub(super) struct ServiceLevels {
    /// The objectives of the settings, and how well they are met of late.
    pub(super) objectives: Objectives,
    /// Shares served, by class, team and the largest jobs.
    served: Served,
    /// When the first machine was seen, by the time of day.
    fleet_since_ms: Option<u64>,
    /// It was seen only after a boot time: the fleet began with nothing.
    fleet_began_empty: bool,
    /// Live jobs whose objective has passed.
    missed: BTreeSet<String>,
    /// When the next summary is logged.
    summary_next: Instant,
}

/// A live job that has missed its objective.
#[derive(Debug)]
struct OverdueJob {
    uid: String,
    spec: JobSpec,
    submitted_ms: u64,
}

/// A process that sees its first machine after this part of a boot time began with none.
const EMPTY_FLEET_BOOTS: f64 = 0.5;

impl ServiceLevels {
    /// No job has ended yet.
    pub(super) fn new(objectives: Objectives) -> ServiceLevels {
        ServiceLevels {
            objectives,
            served: Served::default(),
            fleet_since_ms: None,
            fleet_began_empty: false,
            missed: BTreeSet::new(),
            summary_next: Duration::ZERO,
        }
    }

    /// Whether a summary should be logged now; the next is due after `interval`.
    pub(super) fn summary_due(&mut self, now: Instant, interval: Duration) -> bool {
        let due = now >= self.summary_next;
        if due {
            self.summary_next = now + interval;
        }
        due
    }

    /// Whether a machine was up at any time since this process started.
    pub(super) fn has_seen_machines(&self) -> bool {
        self.fleet_since_ms.is_some()
    }

    /// The first machine is up, so long after this process started.
    pub(super) fn record_first_machine(&mut self, now: Instant, wall_ms: u64, startup_s: f64) {
        self.fleet_since_ms = Some(wall_ms);
        self.fleet_began_empty = now.as_secs_f64() > startup_s * EMPTY_FLEET_BOOTS;
    }

    /// A job is over or has missed its objective, so long after it was submitted at
    /// `submitted_ms`. `startup_s`: the boot time of the slowest machines.
    fn record_end(&mut self, spec: &JobSpec, submitted_ms: u64, took_s: f64, startup_s: f64) {
        if let Some(objective_s) = self.objectives.end_within(spec) {
            self.served.note(spec, took_s <= objective_s);
        }
        // What came while the first machines were still to boot says nothing
        // of their number.
        let boot_ms = if self.fleet_began_empty { (startup_s * 1000.0) as u64 } else { 0 };
        if self.fleet_since_ms.is_some_and(|since| submitted_ms >= since + boot_ms) {
            self.objectives.note_end(spec, took_s);
        }
    }

    /// Live jobs whose objective has passed and that were not counted yet.
    fn newly_overdue(&self, jobs: &BTreeMap<String, Job>, now_ms: u64) -> Vec<OverdueJob> {
        let uncounted = jobs.iter().filter(|(uid, job)| !job.cancelled() && !self.missed.contains(*uid));
        let overdue = uncounted.filter(|(_, job)| {
            let age_s = now_ms.saturating_sub(job.rec.rec.at_ms) as f64 / 1000.0;
            self.objectives.end_within(&job.spec).is_some_and(|objective_s| age_s > objective_s)
        });
        let overdue_job = |(uid, job): (&String, &Job)| OverdueJob {
            uid: uid.clone(),
            spec: job.spec.clone(),
            submitted_ms: job.rec.rec.at_ms,
        };
        overdue.map(overdue_job).collect()
    }
}

impl Controller {
    /// Logs what was written, and from the leader the state of the whole cluster.
    pub(super) fn log_summary(&mut self) {
        self.log_calls();
        if self.am_leader() {
            self.log_cluster();
            self.log_service_levels();
        }
    }

    fn log_calls(&mut self) {
        self.transactions.log_summary();
        let failed = self.retry.take_counts();
        if !failed.is_empty() {
            tracing::debug!(?failed, "calls that failed");
        }
    }

    fn log_cluster(&self) {
        let capacities = self.capacities(true);
        let sum = |f: fn(&crate::placement::MachineCapacity) -> f64| capacities.iter().map(|(_, r)| f(r)).sum::<f64>();
        let mut waiting: BTreeMap<&str, u32> = BTreeMap::new();
        for j in self.state.jobs.values() {
            let n = j.waiting_count();
            if n > 0 {
                *waiting.entry(&j.spec.class).or_default() += n;
            }
        }
        let booting = self.expected_capacities(Counted::All).len() - capacities.len();
        tracing::debug!(
            jobs = self.state.jobs.len(),
            ?waiting,
            machines = capacities.len(),
            booting,
            cores = sum(|r| r.total_cores),
            free_cores = sum(crate::placement::MachineCapacity::free_cores),
            behind = self.service_levels.objectives.behind(),
            "cluster"
        );
    }

    fn log_service_levels(&self) {
        for (who, t) in self.service_levels.served.tallies(self.state.jobs.values(), self.wall_ms()) {
            let ServiceTally { judged, in_time, live, untouched, waits_s, replicas, placed } = t;
            tracing::debug!(?who, judged, in_time, live, untouched, waits_s, replicas, placed, "served");
            if let Some(share) = t.least_share().filter(|s| *s < HARDLY_SERVED_SHARE) {
                tracing::warn!(
                    ?who,
                    share,
                    judged,
                    in_time,
                    live,
                    untouched,
                    waits_s,
                    replicas,
                    placed,
                    "hardly served"
                );
            }
        }
    }

    /// Counts a job that was carried out, unless it was counted as a miss before.
    pub(super) fn record_finished(&mut self, spec: &JobSpec, submitted_ms: u64) {
        if self.am_leader() {
            let took_s = self.seconds_since(submitted_ms);
            let aim_s = self.service_levels.objectives.end_within(spec);
            tracing::debug!(job = %spec.uid, class = %spec.class, took_s, aim_s, "done");
        }
        if !self.service_levels.missed.remove(&spec.uid) {
            self.record_end(spec, submitted_ms);
        }
    }

    /// A job whose objective has passed is a miss now: in an overload the late ones
    /// wait longest, and counting ends alone would see only the good ones.
    pub(super) fn record_overdue(&mut self) {
        for job in self.service_levels.newly_overdue(&self.state.jobs, self.wall_ms()) {
            self.service_levels.missed.insert(job.uid);
            self.record_end(&job.spec, job.submitted_ms);
        }
        self.service_levels.missed.retain(|uid| self.state.jobs.contains_key(uid));
    }

    fn record_end(&mut self, spec: &JobSpec, submitted_ms: u64) {
        let took_s = self.seconds_since(submitted_ms);
        let startup_s = self.cloud.longest_startup_s();
        self.service_levels.record_end(spec, submitted_ms, took_s, startup_s);
    }

    fn seconds_since(&self, wall_ms: u64) -> f64 {
        self.wall_ms().saturating_sub(wall_ms) as f64 / 1000.0
    }
}
