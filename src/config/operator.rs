//! The operator's file (HCL): tuning, disruption budgets and rolling replacements.

use super::{SettingsError, Team, read_file};
use crate::maintenance::budget::DisruptionBudget;
use crate::maintenance::campaign::Campaign;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;

/// Settings of the operator. Most defaults are ratios to a figure of the platform's file,
/// so one file serves deployments of any size.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// Seconds that a task may be queued before it is placed first-fit.
    pub wait_limit_s: f64,
    /// Longest queued tasks that one knapsack considers.
    pub window: usize,
    /// Memory step of the knapsack, in MB.
    pub step_mb: f64,
    /// An idle machine is returned to the cloud after this many boot times.
    pub idle_boots: f64,
    /// A machine that is not up after this many boot times is replaced.
    pub late_boots: f64,
    /// A silent machine is given up after this many heartbeat intervals.
    pub silent_reports: f64,
    /// Headroom for services, as a share of what services use.
    pub spare_share: f64,
    /// Disruption budget of each team: what it may miss while machines are drained.
    pub budget: BTreeMap<String, DisruptionBudget>,
    /// Rolling replacements: machines to be drained and returned, in the order of names.
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
    /// Reads and validates an operator's file, for these teams.
    pub fn load(file: &Path, teams: &[Team]) -> Result<Operator, SettingsError> {
        let text = read_file(file)?;
        let operator: Operator = hcl::from_str(&text).map_err(|error| SettingsError::parse(file, &error))?;
        operator.validate(file)?;
        operator.validate_teams(file, teams)?;
        Ok(operator)
    }
}
