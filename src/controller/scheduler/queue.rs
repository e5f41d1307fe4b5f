//! The jobs with tasks to place: how long each has waited, and how its tasks have failed.

use crate::coordination::fault_attribution::AttemptHistory;
use crate::effects::Instant;
use crate::protocol::user::JobKind;
use crate::state::{ClusterState, Job};
use std::collections::HashMap;
use std::time::Duration;

/// The pause after a failure doubles after this many failures.
const FAILURES_PER_DOUBLING: u32 = 4;
/// The pause doubles this many times at most.
const MAX_DOUBLINGS: u32 = 6;

/// What this controller knows of the waiting and the failures of every job.
#[derive(Debug, Default)]
pub(super) struct JobQueue {
    jobs: HashMap<String, QueuedJob>,
}

/// Waiting and failures of one job.
#[derive(Debug, Default)]
pub(super) struct QueuedJob {
    waiting_since: Option<Instant>,
    /// How long the job had waited when this process first saw it: its waiting time
    /// continues where that of the previous process ended.
    waited_before: Duration,
    failures: u32,
    failed_on: AttemptHistory,
    /// No task is started before this time.
    not_before: Instant,
    /// Of a gang wider than a log segment: since when only some of its places are stored.
    partly_placed_since: Option<Instant>,
}

impl JobQueue {
    /// The job's entry, if it ever waited or failed here.
    pub(super) fn get(&self, uid: &str) -> Option<&QueuedJob> {
        self.jobs.get(uid)
    }

    /// Forgets jobs that are no longer in the cluster state.
    pub(super) fn retain_known(&mut self, state: &ClusterState) {
        self.jobs.retain(|uid, _| state.jobs.contains_key(uid));
    }

    /// Brings the waiting times of all jobs up to date.
    pub(super) fn update(&mut self, state: &ClusterState, now: Instant, wall_ms: u64) {
        for (uid, job) in &state.jobs {
            if job.waiting_count() > 0 {
                let queued = self.jobs.entry(uid.clone()).or_insert_with(|| QueuedJob::first_seen(job, wall_ms));
                queued.wait(job, now);
            } else if let Some(queued) = self.jobs.get_mut(uid) {
                queued.stop_waiting();
            }
        }
    }

    /// A task of the job failed on the machine: its next tasks wait the longer, the more failed.
    pub(super) fn record_failure(&mut self, uid: &str, machine: &str, now: Instant, heartbeat_interval: Duration) {
        let queued = self.jobs.entry(uid.to_string()).or_default();
        queued.failures += 1;
        queued.failed_on.failed_on(machine);
        let doublings = (queued.failures / FAILURES_PER_DOUBLING).min(MAX_DOUBLINGS);
        queued.not_before = now + heartbeat_interval * ((1 << doublings) - 1);
    }
}

impl QueuedJob {
    fn first_seen(job: &Job, wall_ms: u64) -> QueuedJob {
        // Of a job that has not started at all the whole age is waiting time.
        let waited_before_s = if job.done + job.placed == 0 { age_s(job, wall_ms) } else { 0.0 };
        QueuedJob { waited_before: Duration::from_secs_f64(waited_before_s), ..QueuedJob::default() }
    }

    fn wait(&mut self, job: &Job, now: Instant) {
        self.waiting_since.get_or_insert(now);
        if job.placed == 0 {
            self.partly_placed_since = None;
        } else if job.spec.kind == JobKind::Gang {
            self.partly_placed_since.get_or_insert(now);
        }
    }

    fn stop_waiting(&mut self) {
        self.waiting_since = None;
        self.waited_before = Duration::ZERO;
        self.partly_placed_since = None;
    }

    /// How long the job has waited, if it does.
    pub(super) fn waited(&self, now: Instant) -> Option<Duration> {
        self.waiting_since.map(|t| now.saturating_sub(t) + self.waited_before)
    }

    /// Whether its next tasks wait because earlier ones failed.
    pub(super) fn in_backoff(&self, now: Instant) -> bool {
        self.not_before > now
    }

    /// Whether, by all that is known here, the job itself is at fault for its failures;
    /// `done` is the number of its finished tasks.
    pub(super) fn fails_everywhere(&self, done: u32) -> bool {
        done == 0 && self.failed_on.everywhere()
    }

    /// Since when only some of its tasks are placed, if it is a gang.
    pub(super) fn partly_placed_since(&self) -> Option<Instant> {
        self.partly_placed_since
    }
}

/// Seconds since the job was submitted.
pub(in crate::controller) fn age_s(job: &Job, wall_ms: u64) -> f64 {
    wall_ms.saturating_sub(job.rec.rec.at_ms) as f64 / 1000.0
}

#[cfg(test)]
mod tests;
