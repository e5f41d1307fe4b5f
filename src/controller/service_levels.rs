//! Service levels: how well jobs meet their objectives, and the periodic summary in the log.

#![warn(missing_docs)]

use super::*;
use crate::config::DeploymentSettings;
use crate::placement::MachineCapacity;
use crate::protocol::user::JobSpec;
use crate::state::Job;
use crate::state::service_levels::{HARDLY_SERVED_SHARE, ServiceLevelCounts, ServiceTally};

/// Completed jobs and missed objectives as observed by this process.
#[derive(Debug)]
pub(super) struct ServiceLevels {
    /// The objectives of the settings, and how well they have been met recently.
    pub(super) objectives: Objectives,
    /// Tallies of the jobs served, by class, by team and for the largest jobs.
    served: ServiceLevelCounts,
    /// When the first machine was seen to be up, in wall-clock time.
    fleet_since_ms: Option<u64>,
    /// Whether the first machine came up so late that the fleet must have started empty.
    fleet_started_empty: bool,
    /// Live jobs that have been counted as missing their objective.
    counted_missed: BTreeSet<String>,
    /// When the next summary is logged.
    next_summary_at: Instant,
}

/// A live job that has missed its objective.
#[derive(Debug)]
struct OverdueJob {
    uid: String,
    spec: JobSpec,
    submitted_ms: u64,
}

/// If a process sees its first machine later than this share of a boot time after its start,
/// the fleet started empty.
const EMPTY_FLEET_BOOTS: f64 = 0.5;

/// The part of the controller's memory that the counts by class may take.
const COUNTS_MEMORY_SHARE: f64 = 1.0 / 16.0;

impl ServiceLevels {
    /// Creates the state before any job has ended.
    pub(super) fn new(settings: &DeploymentSettings) -> ServiceLevels {
        let known_classes = settings.objectives.iter().filter_map(|objective| objective.class.as_deref());
        let max_bytes = settings.machine_limits.memory_share(COUNTS_MEMORY_SHARE);
        ServiceLevels {
            objectives: Objectives::new(settings.objectives.clone()),
            served: ServiceLevelCounts::with_limit(known_classes, max_bytes),
            fleet_since_ms: None,
            fleet_started_empty: false,
            counted_missed: BTreeSet::new(),
            next_summary_at: Duration::ZERO,
        }
    }

    /// Whether a summary should be logged now; the next is due after `interval`.
    pub(super) fn summary_due(&mut self, now: Instant, interval: Duration) -> bool {
        let due = now >= self.next_summary_at;
        if due {
            self.next_summary_at = now + interval;
        }
        due
    }

    /// Whether a machine was up at any time since this process started.
    pub(super) fn has_seen_machines(&self) -> bool {
        self.fleet_since_ms.is_some()
    }

    /// Records that the first machine is up. `now` is the time since this process started.
    pub(super) fn record_first_machine(&mut self, now: Instant, wall_ms: u64, startup_s: f64) {
        self.fleet_since_ms = Some(wall_ms);
        self.fleet_started_empty = now.as_secs_f64() > startup_s * EMPTY_FLEET_BOOTS;
    }

    /// Records a job that completed or missed its objective `took_s` seconds after it was
    /// submitted at `submitted_ms`. `startup_s` is the boot time of the slowest machine type.
    fn record_end(&mut self, spec: &JobSpec, submitted_ms: u64, took_s: f64, startup_s: f64) {
        if let Some(objective_s) = self.objectives.completion_limit_s(spec) {
            self.served.record(spec, took_s <= objective_s);
        }
        // Jobs submitted while the first machines were still booting do not show whether the
        // fleet is large enough.
        let boot_ms = if self.fleet_started_empty { (startup_s * 1000.0) as u64 } else { 0 };
        if self.fleet_since_ms.is_some_and(|since| submitted_ms >= since.saturating_add(boot_ms)) {
            self.objectives.record_completion(spec, took_s);
        }
    }

    /// Live jobs that have missed their objective and are not counted yet.
    fn newly_overdue(&self, jobs: &BTreeMap<String, Job>, now_ms: u64) -> Vec<OverdueJob> {
        let uncounted = jobs.iter().filter(|(uid, job)| !job.cancelled() && !self.counted_missed.contains(*uid));
        let overdue = uncounted.filter(|(_, job)| {
            let age_s = now_ms.saturating_sub(job.rec.rec.submitted_ms) as f64 / 1000.0;
            self.objectives.completion_limit_s(&job.spec).is_some_and(|objective_s| age_s > objective_s)
        });
        let overdue_job = |(uid, job): (&String, &Job)| OverdueJob {
            uid: uid.clone(),
            spec: job.spec.clone(),
            submitted_ms: job.rec.rec.submitted_ms,
        };
        overdue.map(overdue_job).collect()
    }
}

impl Controller {
    /// Logs a summary of store writes and failed calls and, on the leader, of the cluster.
    pub(super) fn log_summary(&mut self) {
        self.log_calls();
        if self.is_leader() {
            self.log_cluster();
            self.log_service_levels();
        }
    }

    /// Logs the store writes and the calls that failed since the last summary.
    fn log_calls(&mut self) {
        self.transactions.log_summary();
        self.agents.log_summary();
        self.api.log_summary();
        let failed = self.retry.take_counts();
        if !failed.is_empty() {
            tracing::debug!(?failed, "failed calls");
        }
    }

    /// Logs the waiting tasks and the machines of the whole cluster.
    fn log_cluster(&self) {
        let capacities = self.capacities(true);
        let sum = |cores_of: fn(&MachineCapacity) -> f64| capacities.iter().map(|(_, c)| cores_of(c)).sum::<f64>();
        let mut waiting: BTreeMap<&str, u32> = BTreeMap::new();
        for job in self.state.jobs.values() {
            let waiting_tasks = job.waiting_count();
            if waiting_tasks > 0 {
                *waiting.entry(&job.spec.class).or_default() += waiting_tasks;
            }
        }
        let booting = self.expected_capacities(CountedTasks::All).len() - capacities.len();
        tracing::debug!(
            jobs = self.state.jobs.len(),
            ?waiting,
            machines = capacities.len(),
            booting,
            cores = sum(|capacity| capacity.total_cores),
            free_cores = sum(MachineCapacity::free_cores),
            behind = self.service_levels.objectives.any_missed_recently(),
            "cluster summary"
        );
    }

    /// Logs how well each class, team and large job is served, with a warning for those that
    /// are hardly served.
    fn log_service_levels(&self) {
        for (who, tally) in self.service_levels.served.tallies(self.state.jobs.values(), self.wall_ms()) {
            let ServiceTally {
                judged,
                in_time,
                live,
                not_started: untouched,
                longest_wait_s: waits_s,
                replicas,
                placed,
            } = tally;
            tracing::debug!(?who, judged, in_time, live, untouched, waits_s, replicas, placed, "service level");
            if let Some(share) = tally.least_share().filter(|share| *share < HARDLY_SERVED_SHARE) {
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
                    "service level low"
                );
            }
        }
    }

    /// Records a job that completed, unless it has already been counted as missing its
    /// objective.
    pub(super) fn record_finished(&mut self, spec: &JobSpec, submitted_ms: u64) {
        if self.is_leader() {
            let took_s = self.seconds_since(submitted_ms);
            let objective_s = self.service_levels.objectives.completion_limit_s(spec);
            tracing::debug!(job = %spec.uid, class = %spec.class, took_s, aim_s = objective_s, "job finished");
        }
        if !self.service_levels.counted_missed.remove(&spec.uid) {
            self.record_end(spec, submitted_ms);
        }
    }

    /// Counts live jobs as misses as soon as their objective has passed. In an overload, late
    /// jobs wait longest, so that counting only completed jobs would see mostly those in time.
    pub(super) fn record_overdue(&mut self) {
        for job in self.service_levels.newly_overdue(&self.state.jobs, self.wall_ms()) {
            self.service_levels.counted_missed.insert(job.uid);
            self.record_end(&job.spec, job.submitted_ms);
        }
        self.service_levels.counted_missed.retain(|uid| self.state.jobs.contains_key(uid));
    }

    /// Records a job that has just completed or missed its objective.
    fn record_end(&mut self, spec: &JobSpec, submitted_ms: u64) {
        let took_s = self.seconds_since(submitted_ms);
        let startup_s = self.cloud.longest_startup_s();
        self.service_levels.record_end(spec, submitted_ms, took_s, startup_s);
    }

    /// Seconds that have passed since a wall-clock time in milliseconds.
    fn seconds_since(&self, wall_ms: u64) -> f64 {
        self.wall_ms().saturating_sub(wall_ms) as f64 / 1000.0
    }
}
