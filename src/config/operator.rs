//! The operator's file (HCL): tuning of the scheduler, disruption budgets and maintenance
//! campaigns.

#![warn(missing_docs)]

use super::{SettingsError, Team, read_file};
use crate::maintenance::budget::DisruptionBudget;
use crate::maintenance::campaign::Campaign;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;

/// Settings of the operator. Most of them are ratios to values that the platform sets, so that
/// one file suits deployments of any size.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// Time after which a waiting job is overdue and its tasks are placed first-fit, in seconds.
    pub wait_limit_s: f64,
    /// Number of tasks of each priority, the longest-waiting ones first, that a placement round
    /// considers.
    pub window: usize,
    /// Resolution of memory amounts in the knapsack, in MiB.
    pub step_mb: f64,
    /// Time after which an idle machine is released, as a multiple of the time that a
    /// replacement takes to boot and to pull an image.
    pub idle_boots: f64,
    /// Time after which a machine that is not up is replaced, as a multiple of its boot time.
    pub late_boots: f64,
    /// Time after which a silent machine is considered lost, as a multiple of the heartbeat
    /// interval.
    pub silent_reports: f64,
    /// Headroom for services, as a share of their replicas.
    pub spare_share: f64,
    /// Disruption budgets by team: how many replicas may be away while machines are drained.
    pub budget: BTreeMap<String, DisruptionBudget>,
    /// Maintenance campaigns by name: machines to be drained and released. Campaigns run in the
    /// order of their names.
    pub campaign: BTreeMap<String, Campaign>,
}

impl Default for Operator {
    fn default() -> Self {
        Operator {
            wait_limit_s: 30.0,
            window: 500,
            step_mb: 256.0,
            idle_boots: 1.5,
            late_boots: 3.0,
            silent_reports: 2.5,
            spare_share: 0.15,
            budget: BTreeMap::new(),
            campaign: BTreeMap::new(),
        }
    }
}

impl Operator {
    /// Reads and validates an operator's file. `teams` are the teams of the deployment, to which
    /// every budget must belong.
    pub fn load(file: &Path, teams: &[Team]) -> Result<Operator, SettingsError> {
        let text = read_file(file)?;
        let operator: Operator = hcl::from_str(&text).map_err(|error| SettingsError::parse(file, &error))?;
        operator.validate(file)?;
        operator.validate_teams(file, teams)?;
        Ok(operator)
    }
}
