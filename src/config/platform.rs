//! The platform's file (TOML): identity and addresses of this controller, and the
//! parameters of the deployment.

use super::{Operator, SettingsError, read_file};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// Settings of one controller: the platform's file, and the operator's on top of it.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Name of this controller.
    pub member: String,
    /// Zone of this controller.
    pub zone: String,
    /// Address to listen at for users, workers and load balancers.
    pub public_addr: SocketAddr,
    /// Address to listen at for other controllers.
    pub peer_bind: SocketAddr,
    /// The other controllers.
    #[serde(default)]
    pub others: Vec<Other>,
    /// Services outside of the cluster.
    pub outside: Outside,
    /// Parameters of the deployment, the same for all controllers.
    pub settings: Params,
    /// The operator's own settings; not part of the platform's file.
    #[serde(skip)]
    pub operator: Operator,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Other {
    /// Its name.
    pub member: String,
    /// Its zone.
    pub zone: String,
    /// Address at which it listens for other controllers.
    pub peer_addr: SocketAddr,
}

/// Addresses of the services that a controller calls.
#[derive(Debug, Clone, Deserialize)]
pub struct Outside {
    /// Address of the cloud.
    pub cloud: SocketAddr,
    /// Address of the store.
    pub state: SocketAddr,
}

/// Parameters of the deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Params {
    /// All zones.
    pub zones: Vec<String>,
    /// Teams and their quotas.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timing of the workers.
    pub workers: Workers,
    /// Limits of the store.
    pub state: StateLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Limits of the machine that the controller runs on.
    pub machine_limits: MachineLimits,
}

/// Quota of a team: guarantees and limits. A limit of 0 means none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Guaranteed CPU cores.
    #[serde(default)]
    pub cpus: f64,
    /// Limit of CPU cores.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Limit of GPUs.
    #[serde(default)]
    pub gpus_max: f64,
}

/// One service-level objective; kinds and fields this program does not use are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// What is measured.
    pub kind: String,
    /// Class of the jobs that it is for.
    pub class: Option<String>,
    /// Limit, in seconds.
    pub within_s: Option<f64>,
    /// Share of the jobs that must keep the limit, from 0 to 1.
    pub share: Option<f64>,
    /// Limit, as a multiple of the deadline.
    pub times: Option<f64>,
}

/// Timing of the workers, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Interval of heartbeats; `report_s` in the file.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Time without a controller after which a worker stops its tasks.
    pub lease_s: f64,
    /// Time that a ready task waits for the others of its gang.
    pub gang_wait_s: f64,
    /// Time after which a running gang notices the loss of a member.
    pub gang_peer_s: f64,
    /// Time within which all tasks of a cancelled job must have stopped.
    pub cancel_s: f64,
}

/// Limits of the store.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Requests per second.
    pub rps: f64,
    /// Transactions per second.
    pub write_rps: f64,
    /// Largest value, in kB.
    pub value_kb: f64,
    /// Most operations in a transaction.
    pub txn_ops: usize,
}

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// Time by which its list of machines may lag behind, in seconds.
    pub list_lag_s: f64,
}

/// Limits of the machine that the controller runs on.
#[derive(Debug, Clone, Deserialize)]
pub struct MachineLimits {
    /// Share of one CPU core.
    pub core_share: f64,
    /// Memory, in MB.
    pub ram_mb: f64,
    /// Most open sockets.
    pub max_connections: usize,
}

impl Settings {
    /// Reads and validates the platform's file and, where given, the operator's.
    pub fn load(config: &Path, operator: Option<&Path>) -> Result<Settings, SettingsError> {
        let mut settings = Settings::parse(&read_file(config)?, config)?;
        if let Some(file) = operator {
            settings.operator = Operator::load(file, &settings.settings.teams)?;
        }
        Ok(settings)
    }

    /// Parses and validates the text of the platform's file; `file` is named in errors.
    pub fn parse(text: &str, file: &Path) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|error| SettingsError::parse(file, &error))?;
        settings.validate(file)?;
        Ok(settings)
    }

    /// Number of controllers, this one included.
    pub fn controllers(&self) -> usize {
        self.others.len() + 1
    }
}
