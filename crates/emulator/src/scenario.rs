//! Scenarios: what the emulator runs, read from HCL. Everything is checked
//! here; the rest of the program sees only values that passed.

mod checks;
mod distribution;
mod fault;

pub use distribution::Distribution;
pub use fault::{Draw, Fault, FaultKind};

use finchquay_hcl::{File, HclError};
use finchquay_protocol::user::Priority;
use rand::{Rng, RngExt};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

/// The site that the suite's scenarios lie over.
const SITE: &str = include_str!("../scenarios/site.hcl");

/// A scenario file. Durations are in seconds.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    /// A file beside this one that it lies over: what it does not say holds from there.
    #[serde(default)]
    pub base: Option<String>,
    /// Users submit for so long.
    pub duration_s: f64,
    /// Afterwards everything has so long to come to its end.
    pub settle_s: f64,
    #[serde(default)]
    pub seed: u64,
    pub zones: Vec<String>,
    #[serde(default)]
    pub controllers: Controllers,
    #[serde(default)]
    pub workers: Workers,
    #[serde(default)]
    pub state: State,
    #[serde(default)]
    pub cloud: Cloud,
    pub machine_type: BTreeMap<String, MachineType>,
    pub team: BTreeMap<String, Team>,
    #[serde(default)]
    pub load: BTreeMap<String, Load>,
    #[serde(default)]
    pub fault: BTreeMap<String, Fault>,
    #[serde(default)]
    pub draw: Option<Draw>,
}

/// How many controllers run, and the resources that their settings promise them.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Controllers {
    pub count: usize,
    /// A controller that ended is started again after this.
    pub restart_s: f64,
    pub core_share: f64,
    pub ram_mb: f64,
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
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

impl Default for Workers {
    fn default() -> Self {
        Workers { heartbeat_interval_s: 2.0, lease_s: 10.0, gang_wait_s: 20.0, gang_peer_s: 4.0, cancel_s: 20.0 }
    }
}

/// Limits of the emulated state store.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct State {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    pub fsync: bool,
}

impl Default for State {
    fn default() -> Self {
        State { rps: 400.0, write_rps: 150.0, value_kb: 8.0, txn_ops: 32, fsync: false }
    }
}

/// Limits and habits of the emulated cloud.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Cloud {
    pub rps: f64,
    pub list_lag_s: f64,
    pub notice_s: f64,
    /// Share of recalls without notice.
    pub silent_share: f64,
}

impl Default for Cloud {
    fn default() -> Self {
        Cloud { rps: 5.0, list_lag_s: 3.0, notice_s: 8.0, silent_share: 0.2 }
    }
}

/// A type of machines that the cloud offers, and how many there are.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineType {
    pub cpus: f64,
    #[serde(default)]
    pub gpus: f64,
    pub memory_gb: f64,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    #[serde(rename = "hourly")]
    pub on_demand_price: f64,
    pub spot_hourly: f64,
    pub boot_s: f64,
    /// Machines that there are in each zone.
    pub ordinary: u32,
    #[serde(default)]
    pub spot: u32,
    /// Ordinary machines that are up in each zone when it begins.
    #[serde(default)]
    pub up: u32,
    /// Share of machines that never come up.
    #[serde(default)]
    pub cold: f64,
}

/// Quota of a team: guaranteed CPUs and GPUs, and limits (0: none).
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Team {
    pub cpus: f64,
    pub cpus_max: f64,
    pub gpus: f64,
    pub gpus_max: f64,
}

/// Kind of the jobs of a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    Array,
    Gang,
    Service,
}

/// One class of jobs that users submit.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    pub kind: Kind,
    pub team: String,
    #[serde(default = "standard")]
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// Jobs that are there at once when it begins.
    #[serde(default)]
    pub initial: u32,
    pub per_minute: f64,
    pub tasks: Distribution,
    /// Run time of a task; of services the time until they are cancelled.
    pub run_s: Distribution,
    pub cpus: f64,
    #[serde(default)]
    pub gpus: f64,
    pub memory_gb: f64,
    pub image_gb: f64,
    #[serde(default = "one")]
    pub images: u32,
    #[serde(default)]
    pub spot: bool,
    #[serde(default)]
    pub one_zone: bool,
    #[serde(default)]
    pub spread: bool,
    #[serde(default)]
    pub checkpoint_s: f64,
    #[serde(default)]
    pub save_s: f64,
    /// Share of jobs that their users cancel before the end.
    #[serde(default)]
    #[serde(rename = "withdrawn")]
    pub cancelled: f64,
    /// Deadline: this many times the estimate, and 10 s.
    #[serde(default)]
    pub deadline_factor: Option<f64>,
    /// Aim told to the controllers: starts within this time.
    #[serde(default)]
    pub start_within_s: Option<f64>,
}

fn one() -> u32 {
    1
}

fn standard() -> Priority {
    Priority::Normal
}

impl Scenario {
    /// Reads a scenario file and the one that it lies over.
    ///
    /// # Errors
    /// The file, line and key at fault.
    pub fn read(path: &Path) -> Result<Scenario, HclError> {
        let file = File::read(path)?;
        let base = match file.top("base") {
            Some(base) => Some(File::read(&path.with_file_name(base))?),
            None => None,
        };
        Scenario::checked(&match base {
            Some(base) => file.over(base),
            None => file,
        })
    }

    /// A scenario whose text comes with the program; `name` stands for its
    /// file, and a base is the site that comes along.
    pub fn parse(name: &str, text: &str) -> Result<Scenario, HclError> {
        let file = File::parse(Path::new(name), text.into())?;
        Scenario::checked(&match file.top("base") {
            Some(base) => File::parse(Path::new(base), SITE.into()).map(|b| file.over(b))?,
            None => file,
        })
    }

    fn checked(file: &File) -> Result<Scenario, HclError> {
        let s: Scenario = file.typed()?;
        s.check(file)?;
        Ok(s)
    }

    /// Duration of a number of seconds that passed the checks.
    pub fn seconds(s: f64) -> Duration {
        Duration::from_secs_f64(s)
    }

    /// All faults, those drawn by the seed among them, in order of time.
    pub fn faults(&self, rng: &mut impl Rng) -> Vec<(String, Fault)> {
        let mut all: Vec<(String, Fault)> = self.fault.iter().map(|(n, f)| (n.clone(), f.clone())).collect();
        if let Some(d) = &self.draw {
            for i in 0..d.count {
                let kind = d.kinds[rng.random_range(0..d.kinds.len())];
                let at = rng.random_range(d.from_s..=d.to_s);
                let length = d.for_s.draw(rng);
                all.push((format!("drawn-{i}"), Fault::drawn(kind, at, length, self, rng)));
            }
        }
        all.sort_by(|a, b| a.1.at_s.total_cmp(&b.1.at_s));
        all
    }
}

#[cfg(test)]
mod tests;
