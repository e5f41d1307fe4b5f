//! Messages between users and controllers (submissions, status queries and
//! cancellations), and the request paths that a controller serves to users, workers and
//! load balancers.

#![warn(missing_docs)]

use crate::{is_valid_amount, number, optional_number};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// Maximum length of a name (team, class, image, machine type, zone), in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Range of the number of digits in a job id.
const JOB_ID_DIGITS: std::ops::RangeInclusive<usize> = 1..=18;
/// Maximum number of machine types that a job may list.
const MAX_MACHINE_TYPES: usize = 32;
/// Maximum number of tasks of a job.
pub const MAX_TASKS_PER_JOB: u32 = 100_000;

/// How the tasks of a job run; `form` on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks, each of which runs to completion; `batch` on the wire.
    #[serde(rename = "batch")]
    Array,
    /// All tasks run at the same time, or none does; `ensemble` on the wire.
    #[serde(rename = "ensemble")]
    Gang,
    /// Replicas that run until the job is cancelled; `standing` on the wire.
    #[serde(rename = "standing")]
    Service,
}

/// Scheduling priority; `urgency` on the wire. The order of the variants is the order of
/// the priorities, from the lowest to the highest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Runs only on capacity that no other work needs; `idle` on the wire.
    #[serde(rename = "idle")]
    Low,
    /// The usual priority; `standard` on the wire.
    #[serde(rename = "standard")]
    Normal,
    /// Runs before work of normal priority; `urgent` on the wire.
    #[serde(rename = "urgent")]
    High,
    /// Runs before all other work.
    #[serde(rename = "production")]
    Production,
}

/// Specification of a job. It is the body of a submission, and the job record in the store
/// contains it while the job is live.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Id of the job, chosen by the user. It makes submissions idempotent.
    pub uid: String,
    /// Class of the job; `docket` on the wire.
    #[serde(rename = "docket")]
    pub class: String,
    /// Team whose quota the job uses; `desk` on the wire.
    #[serde(rename = "desk")]
    pub team: String,
    /// How the tasks run; `form` on the wire.
    #[serde(rename = "form")]
    pub kind: JobKind,
    /// Scheduling priority; `urgency` on the wire.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// Number of tasks; `parcels` on the wire.
    #[serde(rename = "parcels")]
    pub task_count: u32,
    /// CPU cores that each task needs.
    #[serde(deserialize_with = "number")]
    pub cores: f64,
    /// GPUs that each task needs.
    #[serde(deserialize_with = "number")]
    pub gpus: f64,
    /// Memory that each task needs, in GB.
    #[serde(deserialize_with = "number")]
    pub mem_gb: f64,
    /// Image that each task runs; `bundle` on the wire.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image, in GB; `size_gb` on the wire.
    #[serde(deserialize_with = "number")]
    #[serde(rename = "size_gb")]
    pub image_gb: f64,
    /// Machine types that tasks may run on; `None` for any. `builds` on the wire.
    #[serde(default)]
    #[serde(rename = "builds")]
    pub machine_types: Option<Vec<String>>,
    /// Zone that all tasks must run in; `None` for any. `site` on the wire.
    #[serde(default)]
    #[serde(rename = "site")]
    pub zone: Option<String>,
    /// Whether all tasks must run in the same zone; `together` on the wire.
    #[serde(rename = "together")]
    pub zone_affinity: bool,
    /// Whether the tasks must be spread over zones; `apart` on the wire.
    #[serde(rename = "apart")]
    pub zone_anti_affinity: bool,
    /// Whether tasks may run on spot instances; `loaners` on the wire.
    #[serde(rename = "loaners")]
    pub spot_allowed: bool,
    /// Estimated run time of a task, in seconds; `expected_s` on the wire.
    #[serde(deserialize_with = "number")]
    #[serde(rename = "expected_s")]
    pub estimated_run_s: f64,
    /// Seconds between the checkpoints of a task, 0 if tasks take none; `stamp_every_s` on
    /// the wire.
    #[serde(deserialize_with = "number")]
    #[serde(rename = "stamp_every_s")]
    pub checkpoint_interval_s: f64,
    /// Seconds that a checkpoint takes; `stamp_s` on the wire.
    #[serde(deserialize_with = "number")]
    #[serde(rename = "stamp_s")]
    pub checkpoint_duration_s: f64,
    /// Deadline for the whole job, in seconds after its submission; `due_s` on the wire.
    #[serde(default, deserialize_with = "optional_number")]
    #[serde(rename = "due_s")]
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// Returns a small array job that any machine can run, for examples and tests.
    pub fn example(uid: &str) -> JobSpec {
        JobSpec {
            uid: uid.into(),
            class: "c".into(),
            team: "d".into(),
            kind: JobKind::Array,
            priority: Priority::Normal,
            task_count: 2,
            cores: 1.0,
            gpus: 0.0,
            mem_gb: 1.0,
            image: "img".into(),
            image_gb: 1.0,
            machine_types: None,
            zone: None,
            zone_affinity: false,
            zone_anti_affinity: false,
            spot_allowed: true,
            estimated_run_s: 10.0,
            checkpoint_interval_s: 0.0,
            checkpoint_duration_s: 0.0,
            deadline_s: None,
        }
    }

    /// Seconds that a running task needs to write a checkpoint when it is stopped; `None`
    /// if the tasks take no checkpoints.
    pub fn checkpoint_on_stop_s(&self) -> Option<f64> {
        (self.checkpoint_interval_s > 0.0).then_some(self.checkpoint_duration_s)
    }

    /// Whether all numbers are within their limits: amounts are finite and not negative, and the
    /// number of tasks is allowed. An amount may still be as large as a float can be.
    pub fn has_valid_numbers(&self) -> bool {
        let amounts = [
            self.cores,
            self.gpus,
            self.mem_gb,
            self.image_gb,
            self.estimated_run_s,
            self.checkpoint_interval_s,
            self.checkpoint_duration_s,
            self.deadline_s.unwrap_or(0.0),
        ];
        (1..=MAX_TASKS_PER_JOB).contains(&self.task_count) && amounts.into_iter().all(is_valid_amount)
    }

    /// Whether all values are within their limits. It does not check that the machine types
    /// exist.
    pub fn is_well_formed(&self) -> bool {
        is_valid_job_id(&self.uid)
            && self.has_valid_numbers()
            && [&self.class, &self.team, &self.image].into_iter().all(|name| valid_name(name))
            && self.zone.as_deref().is_none_or(valid_name)
            && self.machine_types.as_deref().is_none_or(valid_machine_types)
    }
}

/// Whether a name (team, class, image, machine type, zone) is not empty and not longer than
/// [`MAX_NAME_BYTES`].
fn valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
}

/// Whether a list of machine types is not too long and all its names are valid.
fn valid_machine_types(names: &[String]) -> bool {
    names.len() <= MAX_MACHINE_TYPES && names.iter().all(|name| valid_name(name))
}

/// Whether this is a valid job id: `run-` and 1 to 18 digits, for example `run-000412`.
pub fn is_valid_job_id(uid: &str) -> bool {
    let digits = uid.strip_prefix("run-");
    digits
        .is_some_and(|digits| JOB_ID_DIGITS.contains(&digits.len()) && digits.bytes().all(|byte| byte.is_ascii_digit()))
}

/// Status of a job, as users see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// The job is not complete and none of its tasks runs; `pending` on the wire.
    #[serde(rename = "pending")]
    Queued,
    /// At least one task runs.
    Running,
    /// All tasks ran to completion.
    Done,
    /// The user cancelled the job; `withdrawn` on the wire.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// Response to a submission, a status query or a cancellation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobState<'a> {
    /// Id of the job.
    pub uid: Cow<'a, str>,
    /// Status of the job.
    pub status: Status,
    /// Number of tasks that ran to completion.
    #[serde(default)]
    pub done: u32,
    /// Number of tasks that are running.
    #[serde(default)]
    pub running: u32,
}

/// Body of a response to a refused request.
#[derive(Debug, Serialize, Deserialize)]
pub struct ErrorBody<'a> {
    /// Reason for the refusal, in plain text.
    pub error: Cow<'a, str>,
}

/// Operation that a request of a user, worker or load balancer selects by its method and
/// path.
#[derive(Debug, PartialEq, Eq)]
pub enum Route<'a> {
    /// Submit a job: `POST /work`.
    Submit,
    /// Read the status of the job with this id: `GET /work/<id>`.
    JobStatus(&'a str),
    /// Cancel the job with this id: `POST /work/<id>/withdraw`.
    Cancel(&'a str),
    /// Answer the health check of a load balancer: `GET /healthz`.
    Health,
    /// Process the heartbeat of a worker: `POST /checkin`.
    Heartbeat,
    /// The path is served, but not with this method.
    WrongMethod,
    /// The path is not served.
    Unknown,
}

/// Parses the method and path of a request.
pub fn route<'a>(method: &str, path: &'a str) -> Route<'a> {
    let require = |expected: &str, route: Route<'a>| if method == expected { route } else { Route::WrongMethod };
    match path {
        "/healthz" => require("GET", Route::Health),
        "/checkin" => require("POST", Route::Heartbeat),
        "/work" => require("POST", Route::Submit),
        _ => match path.strip_prefix("/work/") {
            Some(rest) => match rest.strip_suffix("/withdraw") {
                Some(uid) if !uid.contains('/') => require("POST", Route::Cancel(uid)),
                None if !rest.is_empty() && !rest.contains('/') => require("GET", Route::JobStatus(rest)),
                _ => Route::Unknown,
            },
            None => Route::Unknown,
        },
    }
}

#[cfg(test)]
mod tests;
