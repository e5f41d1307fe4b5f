//! The platform's file (TOML): identity and addresses of this controller, and the
//! parameters of the deployment.

#![warn(missing_docs)]

use super::{Operator, SettingsError, read_file};
use crate::protocol::time::duration_from_secs;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Settings of one controller: those of the platform's file and those of the operator's.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Name of this controller, which is a member of the cluster.
    pub member: String,
    /// Zone of this controller.
    pub zone: String,
    /// Address at which the controller listens for users, workers and load balancers.
    pub public_addr: SocketAddr,
    /// Address at which the controller listens for other controllers.
    pub peer_bind: SocketAddr,
    /// The other controllers.
    #[serde(rename = "others", default)]
    pub peers: Vec<PeerSettings>,
    /// Addresses of the external services.
    #[serde(rename = "outside")]
    pub external: ExternalServices,
    /// Settings of the deployment, which are the same for all controllers.
    #[serde(rename = "settings")]
    pub deployment: DeploymentSettings,
    /// The operator's own settings, which are not part of the platform's file.
    #[serde(skip)]
    pub operator: Operator,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct PeerSettings {
    /// Name of the controller.
    pub member: String,
    /// Zone of the controller.
    pub zone: String,
    /// Address at which it listens for other controllers.
    pub peer_addr: SocketAddr,
}

/// Addresses of the external services that a controller calls.
#[derive(Debug, Clone, Deserialize)]
pub struct ExternalServices {
    /// Address of the cloud provider.
    pub cloud: SocketAddr,
    /// Address of the store that keeps the cluster's state.
    pub state: SocketAddr,
}

/// Settings of the deployment, which are the same for all controllers.
#[derive(Debug, Clone, Deserialize)]
pub struct DeploymentSettings {
    /// Names of all zones.
    pub zones: Vec<String>,
    /// Teams and their quotas.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Time limits of the workers.
    pub workers: Workers,
    /// Limits of the store.
    pub state: StateLimits,
    /// Limits of the cloud provider.
    pub cloud: CloudLimits,
    /// Limits of the machine that the controller runs on.
    pub machine_limits: MachineLimits,
}

/// Quota of a team: guaranteed resources and limits. A limit of 0 means that there is none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Number of CPU cores that the team is guaranteed.
    #[serde(default)]
    pub cpus: f64,
    /// Maximum number of CPU cores that the team may use.
    #[serde(default)]
    pub cpus_max: f64,
    /// Number of GPUs that the team is guaranteed.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum number of GPUs that the team may use.
    #[serde(default)]
    pub gpus_max: f64,
}

/// One service-level objective. Kinds and fields that this program does not use are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// What the objective is about: `wait` for the time until the start, `finished` for the time
    /// until completion, `deadline` for the job's deadline.
    pub kind: String,
    /// Class of the jobs to which the objective applies.
    pub class: Option<String>,
    /// Time limit from submission, in seconds.
    pub within_s: Option<f64>,
    /// Share of the jobs that must meet the limit, from 0 to 1.
    pub share: Option<f64>,
    /// Time limit from submission, as a multiple of the job's deadline.
    #[serde(rename = "times")]
    pub deadline_factor: Option<f64>,
}

/// Time limits of the workers, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Interval between heartbeats; `report_s` in the file.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Time without contact with a controller after which a worker stops its tasks.
    pub lease_s: f64,
    /// Time that a task of a gang waits, once it is ready, for the other tasks of the gang.
    pub gang_wait_s: f64,
    /// Time after which a running gang detects that it has lost one of its tasks.
    pub gang_peer_s: f64,
    /// Time within which all tasks of a cancelled job must have stopped.
    pub cancel_s: f64,
}

/// Number of ticks per heartbeat interval of the workers, as far as [`MIN_TICK_S`] and
/// [`MAX_TICK_S`] allow.
const TICKS_PER_HEARTBEAT: f64 = 100.0;
/// Minimum time between two ticks, in seconds.
const MIN_TICK_S: f64 = 0.01;
/// Maximum time between two ticks, in seconds.
const MAX_TICK_S: f64 = 0.05;

impl Workers {
    /// The time between two ticks of the controller.
    pub fn tick_interval(&self) -> Duration {
        let tick_s = self.heartbeat_interval_s / TICKS_PER_HEARTBEAT;
        duration_from_secs(tick_s.clamp(MIN_TICK_S, MAX_TICK_S))
    }
}

/// Limits of the store.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Requests per second.
    pub rps: f64,
    /// Transactions per second.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of operations in a transaction.
    pub txn_ops: usize,
}

/// Limits of the cloud provider.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// Maximum time by which the cloud's list of machines lags behind, in seconds.
    pub list_lag_s: f64,
}

/// Limits of the machine that the controller runs on.
#[derive(Debug, Clone, Deserialize)]
pub struct MachineLimits {
    /// Share of one CPU core that the controller may use.
    pub core_share: f64,
    /// Memory that the controller may use, in MiB.
    pub ram_mb: f64,
    /// Maximum number of open sockets.
    pub max_connections: usize,
}

/// Bytes per MiB.
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

impl MachineLimits {
    /// This share of the memory that the controller may use, in bytes.
    pub fn memory_share(&self, share: f64) -> usize {
        (self.ram_mb * BYTES_PER_MB * share) as usize
    }
}

impl Settings {
    /// Reads and validates the platform's file, `config`, and the operator's file if one is
    /// given.
    pub fn load(config: &Path, operator: Option<&Path>) -> Result<Settings, SettingsError> {
        let mut settings = Settings::parse(&read_file(config)?, config)?;
        if let Some(file) = operator {
            settings.operator = Operator::load(file, &settings.deployment.teams)?;
        }
        Ok(settings)
    }

    /// Parses and validates the text of the platform's file. Errors name `file`.
    pub fn parse(text: &str, file: &Path) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|error| SettingsError::parse(file, &error))?;
        settings.validate(file)?;
        Ok(settings)
    }

    /// Number of controllers of the cluster, including this one.
    pub fn controllers(&self) -> usize {
        self.peers.len() + 1
    }
}
