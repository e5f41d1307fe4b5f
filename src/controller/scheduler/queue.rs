//! The queue of jobs with tasks to place: how long each has waited, and how often its tasks
//! have failed.

#![warn(missing_docs)]

use crate::coordination::fault_attribution::JobFailures;
use crate::effects::Instant;
use crate::protocol::time::duration_from_secs;
use crate::protocol::user::JobKind;
use crate::state::{ClusterState, Job};
use std::collections::HashMap;
use std::time::Duration;

/// Number of failures after which the backoff of a job doubles.
const FAILURES_PER_DOUBLING: u32 = 4;
/// The most times that the backoff doubles.
const MAX_DOUBLINGS: u32 = 6;

/// The waiting times and failures of all jobs, as far as this controller knows them.
#[derive(Debug, Default)]
pub(super) struct JobQueue {
    jobs: HashMap<String, QueuedJob>,
}

/// The waiting time and the failures of one job.
#[derive(Debug, Default)]
pub(super) struct QueuedJob {
    /// When this process first saw the job wait, if it waits now.
    waiting_since: Option<Instant>,
    /// How long the job had waited before this process first saw it, so that its waiting time
    /// continues after a restart of the controller.
    waited_before: Duration,
    /// Number of failed attempts.
    failures: u32,
    /// The machines on which attempts failed.
    failed_on: JobFailures,
    /// No task of the job is started before this time.
    not_before: Instant,
    /// Since when only some of the job's tasks are placed, if it is a gang.
    partly_placed_since: Option<Instant>,
}

impl JobQueue {
    /// The job's entry, if it has waited or failed since this process started.
    pub(super) fn get(&self, uid: &str) -> Option<&QueuedJob> {
        self.jobs.get(uid)
    }

    /// Drops the entries of jobs that are no longer in the cluster state.
    pub(super) fn retain_known(&mut self, state: &ClusterState) {
        self.jobs.retain(|uid, _| state.jobs.contains_key(uid));
    }

    /// Updates which jobs wait, and since when.
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

    /// Records that a task of the job failed on the machine, and defers the job's next starts.
    /// The backoff grows with the number of failures.
    pub(super) fn record_failure(&mut self, uid: &str, machine: &str, now: Instant, heartbeat_interval: Duration) {
        let queued = self.jobs.entry(uid.to_string()).or_default();
        queued.failures += 1;
        queued.failed_on.record_failure_on(machine);
        let doublings = (queued.failures / FAILURES_PER_DOUBLING).min(MAX_DOUBLINGS);
        queued.not_before = now + heartbeat_interval * ((1 << doublings) - 1);
    }
}

impl QueuedJob {
    /// The entry of a job that this process sees for the first time.
    fn first_seen(job: &Job, wall_ms: u64) -> QueuedJob {
        // A job without any started task has waited since it was submitted.
        let waited_before_s = if job.done + job.placed == 0 { age_s(job, wall_ms) } else { 0.0 };
        QueuedJob { waited_before: duration_from_secs(waited_before_s), ..QueuedJob::default() }
    }

    /// Records that the job has waiting tasks now.
    fn wait(&mut self, job: &Job, now: Instant) {
        self.waiting_since.get_or_insert(now);
        if job.placed == 0 {
            self.partly_placed_since = None;
        } else if job.spec.kind == JobKind::Gang {
            self.partly_placed_since.get_or_insert(now);
        }
    }

    /// Records that the job has no waiting tasks any more.
    fn stop_waiting(&mut self) {
        self.waiting_since = None;
        self.waited_before = Duration::ZERO;
        self.partly_placed_since = None;
    }

    /// How long the job has waited; `None` if it does not wait.
    pub(super) fn waited(&self, now: Instant) -> Option<Duration> {
        self.waiting_since.map(|since| now.saturating_sub(since) + self.waited_before)
    }

    /// Whether the job's next starts are deferred because earlier attempts failed.
    pub(super) fn in_backoff(&self, now: Instant) -> bool {
        self.not_before > now
    }

    /// Whether the job's failures are taken to be its own fault: they occurred on several
    /// machines, and `done`, the number of its finished tasks, is 0.
    pub(super) fn fails_everywhere(&self, done: u32) -> bool {
        done == 0 && self.failed_on.fails_everywhere()
    }

    /// Since when only some of the job's tasks are placed, if it is a gang.
    pub(super) fn partly_placed_since(&self) -> Option<Instant> {
        self.partly_placed_since
    }
}

/// Seconds since the job was submitted; `wall_ms` is the time of day.
pub(in crate::controller) fn age_s(job: &Job, wall_ms: u64) -> f64 {
    wall_ms.saturating_sub(job.rec.rec.submitted_ms) as f64 / 1000.0
}

#[cfg(test)]
mod tests;
