//! Jobs of the tests: what users know of one, and builders for the usual kinds.

use std::collections::BTreeSet;
use std::time::Duration;

/// What is known to users of one job.
#[derive(Debug, Clone, Default)]
pub struct Job {
    pub standing: bool,
    pub gang: bool,
    pub zone_affinity: bool,
    pub zone_anti_affinity: bool,
    /// Less urgent than all others.
    pub idle: bool,
    /// Of a class that shall be over within 40 s.
    pub aimed: bool,
    pub gpus: f64,
    pub tasks: u32,
    pub cores: f64,
    pub run_s: f64,
    pub team: String,
    /// The only zone in which its tasks may start.
    pub zone: Option<&'static str>,
    pub submitted: bool,
    pub accepted: bool,
    pub cancel_asked: bool,
    pub cancelled_at: Option<Duration>,
    /// Its user reaches this controller alone.
    pub via: Option<usize>,
    pub done: BTreeSet<u32>,
    pub confirmed_done: bool,
    pub running: u32,
    /// Since when a task of it waits though there is room, by `capacity`.
    pub waits_since: Option<Duration>,
}

pub fn array(tasks: u32, run_s: f64) -> Job {
    Job { tasks, cores: 2.0, run_s, team: "free".into(), ..Job::default() }
}

/// A gang whose tasks take half a machine each, in one zone.
pub fn gang(tasks: u32) -> Job {
    Job { tasks, cores: 4.0, gpus: 2.0, gang: true, zone_affinity: true, team: "free".into(), ..Job::default() }
}

pub fn service(tasks: u32) -> Job {
    Job { tasks, cores: 1.0, run_s: 1e9, standing: true, team: "free".into(), ..Job::default() }
}
