//! The jobs that the users of a world submit, what the users know of them, and builders for
//! the usual kinds.

#![warn(missing_docs)]

use std::collections::BTreeSet;
use std::time::Duration;

/// A job: what its user asks for, and what users have learned of it so far.
#[derive(Debug, Clone, Default)]
pub struct Job {
    /// Whether it is a service, whose tasks run until it is cancelled.
    pub standing: bool,
    /// Whether it is a gang, whose tasks run at the same time or not at all.
    pub gang: bool,
    /// Whether all its tasks must be in one zone.
    pub zone_affinity: bool,
    /// Whether no zone may have more than half of its tasks.
    pub zone_anti_affinity: bool,
    /// Whether it has the priority below all others.
    pub idle: bool,
    /// Whether its class has the objective that jobs end within 40 s.
    pub aimed: bool,
    /// GPUs of each task.
    pub gpus: f64,
    /// Number of its tasks.
    pub tasks: u32,
    /// CPUs of each task.
    pub cores: f64,
    /// Memory of each task, in GB.
    pub mem_gb: f64,
    /// The run time of a task that its user estimates, in seconds.
    pub run_s: f64,
    /// The team that it belongs to.
    pub team: String,
    /// The only zone in which its tasks may start.
    pub zone: Option<&'static str>,
    /// Whether its user has sent a submission.
    pub submitted: bool,
    /// Whether a controller has confirmed the submission.
    pub accepted: bool,
    /// Whether its user wants it cancelled.
    pub cancel_asked: bool,
    /// When its cancellation was confirmed.
    pub cancelled_at: Option<Duration>,
    /// The only controller that its user can reach, if there are not several.
    pub via: Option<usize>,
    /// Tasks that completed.
    pub done: BTreeSet<u32>,
    /// Whether a controller has told its user that it is done.
    pub confirmed_done: bool,
    /// How many of its tasks run, by the last answer.
    pub running: u32,
    /// Since when a task of it waits while a machine has free capacity, see `check_capacity`.
    pub waiting_since: Option<Duration>,
}

/// Returns an array of independent tasks with two CPUs each.
pub fn array(tasks: u32, run_s: f64) -> Job {
    Job { tasks, cores: 2.0, mem_gb: 1.0, run_s, team: "free".into(), ..Job::default() }
}

/// Returns a gang in one zone, whose tasks take half a machine each.
pub fn gang(tasks: u32) -> Job {
    Job {
        tasks,
        cores: 4.0,
        mem_gb: 1.0,
        gpus: 2.0,
        gang: true,
        zone_affinity: true,
        team: "free".into(),
        ..Job::default()
    }
}

/// Returns a service of tasks with one CPU each.
pub fn service(tasks: u32) -> Job {
    Job { tasks, cores: 1.0, mem_gb: 1.0, run_s: 1e9, standing: true, team: "free".into(), ..Job::default() }
}
