//! Scenario files in HCL: the site, the load and the faults of a run. Every value is
//! checked when a scenario is read; the rest of the program sees only valid ones.

mod checks;
mod distribution;
mod fault;

pub use distribution::Distribution;
pub use fault::{Fault, FaultKind, RandomFaults};

use finchquay_hcl::{File, HclError};
use finchquay_protocol::user::Priority;
use rand::{Rng, RngExt};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

/// The base file of the scenarios of the suite.
const BASE_SITE: &str = include_str!("../scenarios/site.hcl");

/// A scenario file. Durations are in seconds.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario.
    pub name: String,
    /// A file in the same directory that gives all values which this one does not set.
    #[serde(default)]
    pub base: Option<String>,
    /// How long users submit jobs.
    pub duration_s: f64,
    /// How long all jobs then have to end.
    pub settle_s: f64,
    /// Seed of the load and the faults, unless the command line gives another.
    #[serde(default)]
    pub seed: u64,
    /// Zones of the site.
    pub zones: Vec<String>,
    /// The controllers.
    #[serde(default)]
    pub controllers: Controllers,
    /// Intervals of the machines' agents.
    #[serde(default)]
    pub workers: Workers,
    /// Limits of the state service.
    #[serde(default)]
    pub state: State,
    /// Limits of the cloud.
    #[serde(default)]
    pub cloud: Cloud,
    /// Machine types by label.
    pub machine_type: BTreeMap<String, MachineType>,
    /// Teams by name.
    pub team: BTreeMap<String, Team>,
    /// Classes of jobs by name.
    #[serde(default)]
    pub load: BTreeMap<String, JobClass>,
    /// Faults by name.
    #[serde(default)]
    pub fault: BTreeMap<String, Fault>,
    /// Faults that the seed chooses.
    #[serde(default)]
    #[serde(rename = "draw")]
    pub random_faults: Option<RandomFaults>,
}

/// How many controllers run, and the limits in their settings.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Controllers {
    /// Number of controllers.
    pub count: usize,
    /// Time until a controller that ended is started again.
    pub restart_s: f64,
    /// Share of one core that a controller may use.
    pub core_share: f64,
    /// Memory that a controller may use.
    pub ram_mb: f64,
    /// Most open connections of a controller.
    pub max_connections: usize,
}

impl Default for Controllers {
    fn default() -> Self {
        Controllers { count: 3, restart_s: 3.0, core_share: 0.25, ram_mb: 128.0, max_connections: 3000 }
    }
}

/// Intervals of the machines' agents, in seconds.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Workers {
    /// Time between two heartbeats.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Time without a controller after which an agent stops its tasks.
    pub lease_s: f64,
    /// Time that a ready task waits for the others of its gang.
    pub gang_wait_s: f64,
    /// Time after which a running gang notices the loss of a task.
    pub gang_peer_s: f64,
    /// Time within which all tasks of a cancelled job must have stopped.
    pub cancel_s: f64,
}

impl Default for Workers {
    fn default() -> Self {
        Workers { heartbeat_interval_s: 2.0, lease_s: 10.0, gang_wait_s: 20.0, gang_peer_s: 4.0, cancel_s: 20.0 }
    }
}

/// Limits of the emulated state service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct State {
    /// Requests a second.
    pub rps: f64,
    /// Changed keys a second.
    pub write_rps: f64,
    /// Largest encoded value, in KiB.
    pub value_kb: f64,
    /// Most operations in one transaction.
    pub txn_ops: usize,
    /// Whether every write is synced to disk.
    pub fsync: bool,
}

impl Default for State {
    fn default() -> Self {
        State { rps: 400.0, write_rps: 150.0, value_kb: 8.0, txn_ops: 32, fsync: false }
    }
}

/// Limits and delays of the emulated cloud.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Cloud {
    /// Requests a second.
    pub rps: f64,
    /// How far the list of machines lags behind.
    pub list_lag_s: f64,
    /// Time between the notice of a preemption and the preemption.
    pub notice_s: f64,
    /// Share of preemptions without notice.
    pub silent_share: f64,
}

impl Default for Cloud {
    fn default() -> Self {
        Cloud { rps: 5.0, list_lag_s: 3.0, notice_s: 8.0, silent_share: 0.2 }
    }
}

/// A machine type of the cloud, and how many machines of it exist.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineType {
    /// CPUs of one machine.
    pub cpus: f64,
    /// GPUs of one machine.
    #[serde(default)]
    pub gpus: f64,
    /// Memory of one machine.
    pub memory_gb: f64,
    /// Disk space for images.
    pub cache_gb: f64,
    /// Speed at which images are fetched.
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine for an hour.
    #[serde(rename = "hourly")]
    pub on_demand_price: f64,
    /// Price of a spot machine for an hour.
    #[serde(rename = "spot_hourly")]
    pub spot_price: f64,
    /// Time from the rental until a machine is up.
    pub boot_s: f64,
    /// On-demand machines that exist in each zone.
    #[serde(rename = "ordinary")]
    pub on_demand: u32,
    /// Spot machines that exist in each zone.
    #[serde(default)]
    pub spot: u32,
    /// On-demand machines in each zone that are up when the run begins.
    #[serde(default)]
    pub up: u32,
    /// Share of machines that never come up.
    #[serde(default)]
    #[serde(rename = "cold")]
    pub cold_share: f64,
}

/// Quota of a team.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Team {
    /// Guaranteed CPUs.
    pub cpus: f64,
    /// Most CPUs in use; 0: no limit.
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    pub gpus: f64,
    /// Most GPUs in use; 0: no limit.
    pub gpus_max: f64,
}

/// Kind of the jobs of a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LoadKind {
    /// Independent tasks.
    Array,
    /// Tasks that run only together.
    Gang,
    /// Tasks that run until the job is cancelled.
    Service,
}

/// One class of jobs that users submit.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobClass {
    /// Kind of the jobs.
    pub kind: LoadKind,
    /// Team that the jobs belong to.
    pub team: String,
    /// Priority of the jobs.
    #[serde(default = "normal_priority")]
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// Jobs submitted when the run begins.
    #[serde(default)]
    pub initial: u32,
    /// Mean number of jobs submitted per minute from then on.
    pub per_minute: f64,
    /// Number of tasks of a job.
    pub tasks: Distribution,
    /// Run time of a task; for a service, the time until it is cancelled.
    pub run_s: Distribution,
    /// CPUs of a task.
    pub cpus: f64,
    /// GPUs of a task.
    #[serde(default)]
    pub gpus: f64,
    /// Memory of a task.
    pub memory_gb: f64,
    /// Size of an image.
    pub image_gb: f64,
    /// Number of images, one of which each job picks at random.
    #[serde(default = "one_image")]
    pub images: u32,
    /// Whether tasks may run on spot machines.
    #[serde(default)]
    pub spot: bool,
    /// Whether all tasks of a job must run in one zone.
    #[serde(default)]
    #[serde(rename = "one_zone")]
    pub zone_affinity: bool,
    /// Whether the tasks of a job must be spread over zones.
    #[serde(default)]
    #[serde(rename = "spread")]
    pub zone_anti_affinity: bool,
    /// Time between two checkpoints of a task; 0: none.
    #[serde(default)]
    #[serde(rename = "checkpoint_s")]
    pub checkpoint_interval_s: f64,
    /// Time that it takes to save a checkpoint.
    #[serde(default)]
    #[serde(rename = "save_s")]
    pub checkpoint_duration_s: f64,
    /// Share of jobs that their users cancel before they end.
    #[serde(default)]
    #[serde(rename = "withdrawn")]
    pub cancelled_share: f64,
    /// Deadline of a job: this many times its estimated run time, plus 10 s.
    #[serde(default)]
    pub deadline_factor: Option<f64>,
    /// Objective in the controllers' settings: tasks start within this time.
    #[serde(default)]
    pub start_within_s: Option<f64>,
}

fn one_image() -> u32 {
    1
}

fn normal_priority() -> Priority {
    Priority::Normal
}

impl Scenario {
    /// Reads a scenario file and its base.
    ///
    /// # Errors
    /// A file cannot be read, or a value is invalid; the error names file, line and key.
    pub fn read(path: &Path) -> Result<Scenario, HclError> {
        let file = File::read(path)?;
        let base = match file.top_level_string("base") {
            Some(base) => Some(File::read(&path.with_file_name(base))?),
            None => None,
        };
        Scenario::checked(&match base {
            Some(base) => file.merged_over(base),
            None => file,
        })
    }

    /// Parses the text of a scenario that is compiled into the program. Errors name `name`
    /// as the file. Any base stands for `site.hcl`, which is compiled in as well.
    ///
    /// # Errors
    /// A value is invalid; the error names line and key.
    pub fn parse(name: &str, text: &str) -> Result<Scenario, HclError> {
        let file = File::parse(Path::new(name), text.into())?;
        Scenario::checked(&match file.top_level_string("base") {
            Some(base) => File::parse(Path::new(base), BASE_SITE.into()).map(|b| file.merged_over(b))?,
            None => file,
        })
    }

    /// Deserializes a scenario and checks its values.
    fn checked(file: &File) -> Result<Scenario, HclError> {
        let scenario: Scenario = file.deserialize()?;
        scenario.check(file)?;
        Ok(scenario)
    }

    /// Converts a number of seconds from a checked scenario, which is finite and not
    /// negative.
    pub fn seconds(seconds: f64) -> Duration {
        Duration::from_secs_f64(seconds)
    }

    /// All faults, given ones and random ones, in order of time.
    pub fn faults(&self, rng: &mut impl Rng) -> Vec<(String, Fault)> {
        let mut all: Vec<(String, Fault)> =
            self.fault.iter().map(|(name, fault)| (name.clone(), fault.clone())).collect();
        if let Some(random) = &self.random_faults {
            for i in 0..random.count {
                let kind = random.kinds[rng.random_range(0..random.kinds.len())];
                let at_s = rng.random_range(random.from_s..=random.to_s);
                let for_s = random.for_s.draw(rng);
                all.push((format!("drawn-{i}"), Fault::random(kind, at_s, for_s, self, rng)));
            }
        }
        all.sort_by(|a, b| a.1.at_s.total_cmp(&b.1.at_s));
        all
    }
}

#[cfg(test)]
mod tests;
