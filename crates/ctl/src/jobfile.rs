//! Reads job files and converts their jobs to submissions. A job file is HCL with the names
//! that users know.
//!
//! The JSON Schema of job files is generated from the same types, and their doc comments
//! are its descriptions. Plain comments on these types are not part of the schema.

#![warn(missing_docs)]

use finchquay_hcl::{File, HclError};
use finchquay_protocol::user::{JobKind, JobSpec, MAX_TASKS_PER_JOB, Priority, is_valid_job_id};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

/// A job file.
#[derive(Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct JobFile {
    /// Jobs by name. The name is only for the file and its messages.
    job: BTreeMap<String, Job>,
}

/// One job.
#[derive(Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct Job {
    /// The job's id: `run-` and 1 to 18 digits. Chosen anew and remembered where absent.
    #[serde(default)]
    id: Option<String>,
    /// Class of jobs that it belongs to.
    class: String,
    /// Team whose guarantee and limit apply.
    team: String,
    kind: Kind,
    #[serde(default)]
    #[serde(rename = "urgency")]
    priority: Level,
    /// Number of tasks.
    #[schemars(range(min = 1, max = 100_000))]
    #[serde(default = "default_task_count")]
    tasks: u32,
    /// CPUs that each task takes.
    #[schemars(range(min = 0.0))]
    cpus: f64,
    /// GPUs that each task takes.
    #[schemars(range(min = 0.0))]
    #[serde(default)]
    gpus: f64,
    /// Memory that each task takes, in GB.
    #[schemars(range(min = 0.0))]
    memory_gb: f64,
    image: Image,
    /// Machine types that it may run on; any where absent.
    #[serde(default)]
    machine_types: Option<Vec<String>>,
    /// The only zone that it may run in; any where absent.
    #[serde(default)]
    zone: Option<String>,
    /// All tasks in one zone.
    #[serde(default)]
    one_zone: bool,
    /// At most half of the tasks, rounded up, in one zone.
    #[serde(default)]
    spread: bool,
    /// Whether spot machines may be used.
    #[serde(default)]
    spot: bool,
    /// Estimated run time of a task, in seconds; 0 for services.
    #[schemars(range(min = 0.0))]
    #[serde(default)]
    #[serde(rename = "expected_s")]
    estimated_run_s: f64,
    /// How tasks save their progress; they can't where absent.
    #[serde(default)]
    checkpoint: Option<Checkpoint>,
    /// When the job should be complete, in seconds from its submission.
    #[schemars(range(min = 0.0))]
    #[serde(default)]
    deadline_s: Option<f64>,
}

// How the tasks of a job run.
#[derive(Debug, Clone, Copy, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
enum Kind {
    /// Independent tasks that run to completion.
    Array,
    /// All tasks run at the same time or none does.
    Gang,
    /// Replicas that run until the job is cancelled.
    Service,
}

// The priorities under their names in job files, from the lowest to the highest.
#[derive(Debug, Clone, Copy, Default, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
enum Level {
    Idle,
    #[default]
    Standard,
    Urgent,
    Production,
}

/// The image that a machine must have before a task can start.
#[derive(Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct Image {
    name: String,
    #[schemars(range(min = 0.0))]
    #[serde(rename = "size_gb")]
    image_gb: f64,
}

// How the tasks of a job save their progress.
#[derive(Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct Checkpoint {
    /// Interval of progress after which a task saves, in seconds.
    every_s: f64,
    /// Time that a task needs to save when it is stopped, in seconds.
    save_s: f64,
}

fn default_task_count() -> u32 {
    1
}

/// A job in a job file.
#[derive(Debug)]
pub struct NamedJob {
    /// Name of the job in the file.
    pub name: String,
    /// Specification of the job. Its `uid` is empty if the file gives no id.
    pub spec: JobSpec,
}

/// Reads and validates a job file.
///
/// # Errors
/// [`HclError`] with the line and key of the first fault.
pub fn read(path: &Path) -> Result<Vec<NamedJob>, HclError> {
    let file = File::read(path)?;
    let jobs: JobFile = file.deserialize()?;
    if jobs.job.is_empty() {
        return Err(file.error_at(&["job"], "the file contains no job"));
    }
    let mut named_jobs = Vec::new();
    let mut names_by_id = BTreeMap::new();
    for (name, job) in jobs.job {
        job.validate(&name, &file)?;
        if let Some(id) = &job.id
            && let Some(other) = names_by_id.insert(id.clone(), name.clone())
        {
            return Err(file.error_at(&["job", &name, "id"], format!("is the id of job {other:?} too")));
        }
        named_jobs.push(NamedJob { spec: job.to_spec(), name });
    }
    Ok(named_jobs)
}

/// Returns the JSON Schema of job files, as text.
pub fn schema() -> String {
    serde_json::to_string_pretty(&schemars::schema_for!(JobFile)).unwrap_or_default()
}

impl Job {
    /// Checks the values of the job. `name` is its name in the file.
    ///
    /// # Errors
    /// [`HclError`] with the line and key of the first invalid value.
    fn validate(&self, name: &str, file: &File) -> Result<(), HclError> {
        let amounts = [
            ("cpus", self.cpus),
            ("gpus", self.gpus),
            ("memory_gb", self.memory_gb),
            ("expected_s", self.estimated_run_s),
            ("deadline_s", self.deadline_s.unwrap_or(0.0)),
        ];
        for (key, amount) in amounts {
            if !amount.is_finite() || amount < 0.0 {
                return Err(file.error_at(&["job", name, key], format!("must be finite and not negative, is {amount}")));
            }
        }
        if !self.image.image_gb.is_finite() || self.image.image_gb < 0.0 {
            return Err(file.error_at(&["job", name, "image", "size_gb"], "must be finite and not negative"));
        }
        if let Some(Checkpoint { every_s, save_s }) = &self.checkpoint
            && !(every_s.is_finite() && *every_s > 0.0 && save_s.is_finite() && *save_s >= 0.0)
        {
            return Err(file.error_at(&["job", name, "checkpoint"], "every_s must be above 0 and save_s at least 0"));
        }
        let checks = [
            ("tasks", (1..=MAX_TASKS_PER_JOB).contains(&self.tasks), format!("must be from 1 to {MAX_TASKS_PER_JOB}")),
            (
                "cpus",
                self.cpus > 0.0 || self.memory_gb > 0.0,
                "must be above 0 unless memory_gb is: a task needs CPUs or memory".into(),
            ),
            ("id", self.id.as_deref().is_none_or(is_valid_job_id), "must be `run-` and 1 to 18 digits".into()),
            ("spread", !(self.spread && self.one_zone), "cannot be combined with one_zone".into()),
        ];
        for (key, is_valid, message) in checks {
            if !is_valid {
                return Err(file.error_at(&["job", name, key], message));
            }
        }
        // The remaining checks of the service. They need an id, so a missing one is replaced by
        // a placeholder, and they do not say which value is invalid, so the error names the job.
        let mut spec = self.to_spec();
        if spec.uid.is_empty() {
            spec.uid = "run-0".into();
        }
        if !spec.is_well_formed() {
            return Err(file.error_at(
                &["job", name],
                "has a name that is empty or longer than 128 bytes, or too many machine types",
            ));
        }
        Ok(())
    }

    /// Returns the submission of the job. Its `uid` is empty if the file gives no id.
    fn to_spec(&self) -> JobSpec {
        JobSpec {
            uid: self.id.clone().unwrap_or_default(),
            class: self.class.clone(),
            team: self.team.clone(),
            kind: match self.kind {
                Kind::Array => JobKind::Array,
                Kind::Gang => JobKind::Gang,
                Kind::Service => JobKind::Service,
            },
            priority: match self.priority {
                Level::Idle => Priority::Low,
                Level::Standard => Priority::Normal,
                Level::Urgent => Priority::High,
                Level::Production => Priority::Production,
            },
            task_count: self.tasks,
            cores: self.cpus,
            gpus: self.gpus,
            mem_gb: self.memory_gb,
            image: self.image.name.clone(),
            image_gb: self.image.image_gb,
            machine_types: self.machine_types.clone(),
            zone: self.zone.clone(),
            zone_affinity: self.one_zone,
            zone_anti_affinity: self.spread,
            spot_allowed: self.spot,
            estimated_run_s: self.estimated_run_s,
            checkpoint_interval_s: self.checkpoint.as_ref().map_or(0.0, |checkpoint| checkpoint.every_s),
            checkpoint_duration_s: self.checkpoint.as_ref().map_or(0.0, |checkpoint| checkpoint.save_s),
            deadline_s: self.deadline_s,
        }
    }
}

#[cfg(test)]
mod tests;
