//! Validation of the platform's and the operator's settings. Values with which the controller
//! could not keep its guarantees are refused. The checks run in a fixed order, and only the
//! first failure is reported.

#![warn(missing_docs)]

use super::{DeploymentSettings, Operator, Settings, SettingsError, Team, Workers};
use std::path::Path;

/// The minimum number of sockets with which a controller can work.
const MIN_CONNECTIONS: usize = 16;

impl Settings {
    /// Validates the settings of the platform's file.
    pub(super) fn validate(&self, file: &Path) -> Result<(), SettingsError> {
        let deployment = &self.deployment;
        require_positive(file, &positive_fields(deployment))?;
        require(file, "member", !self.member.is_empty(), "must not be empty")?;
        let zone_listed = deployment.zones.contains(&self.zone);
        require(file, "settings.zones", zone_listed, "must list this controller's zone")?;
        validate_cancel_time(file, &deployment.workers)?;
        let enough = deployment.machine_limits.max_connections >= MIN_CONNECTIONS;
        require(file, "settings.machine_limits.max_connections", enough, "must be at least 16")?;
        for team in &deployment.teams {
            validate_quota(file, team)?;
        }
        for other in &self.peers {
            require(file, "others.member", other.member != self.member, "names this controller itself")?;
        }
        Ok(())
    }
}

/// The fields of the platform's file that must be above 0, with their values.
fn positive_fields(deployment: &DeploymentSettings) -> [(&'static str, f64); 12] {
    [
        ("settings.workers.report_s", deployment.workers.heartbeat_interval_s),
        ("settings.workers.lease_s", deployment.workers.lease_s),
        ("settings.workers.gang_wait_s", deployment.workers.gang_wait_s),
        ("settings.workers.gang_peer_s", deployment.workers.gang_peer_s),
        ("settings.state.rps", deployment.state.rps),
        ("settings.state.write_rps", deployment.state.write_rps),
        ("settings.state.value_kb", deployment.state.value_kb),
        ("settings.state.txn_ops", deployment.state.txn_ops as f64),
        ("settings.cloud.rps", deployment.cloud.rps),
        ("settings.cloud.list_lag_s", deployment.cloud.list_lag_s),
        ("settings.machine_limits.core_share", deployment.machine_limits.core_share),
        ("settings.machine_limits.ram_mb", deployment.machine_limits.ram_mb),
    ]
}

/// Checks that the time for a cancellation exceeds the lease of a worker.
fn validate_cancel_time(file: &Path, workers: &Workers) -> Result<(), SettingsError> {
    let exceeds_lease =
        workers.cancel_s.is_finite() && workers.cancel_s > workers.lease_s + workers.heartbeat_interval_s;
    require(
        file,
        "settings.workers.cancel_s",
        exceeds_lease,
        "must be above lease_s and report_s together: a cancellation has to outlast a worker's lease",
    )
}

/// Checks that a team's quota has no negative amounts and guarantees no more than its limits.
fn validate_quota(file: &Path, team: &Team) -> Result<(), SettingsError> {
    let field = format!("settings.teams.{}", team.name);
    let amounts = [team.cpus, team.cpus_max, team.gpus, team.gpus_max];
    let valid = amounts.iter().all(|amount| amount.is_finite() && *amount >= 0.0);
    require(file, &field, valid, "must not be negative")?;
    let is_within = |guaranteed: f64, limit: f64| limit == 0.0 || guaranteed <= limit;
    let consistent = is_within(team.cpus, team.cpus_max) && is_within(team.gpus, team.gpus_max);
    require(file, &field, consistent, "guarantees more than its limit allows")
}

impl Operator {
    /// Validates all settings that do not depend on the platform's file.
    pub(super) fn validate(&self, file: &Path) -> Result<(), SettingsError> {
        let positive = [
            ("wait_limit_s", self.wait_limit_s),
            ("window", self.window as f64),
            ("step_mb", self.step_mb),
            ("idle_boots", self.idle_boots),
            ("late_boots", self.late_boots),
            ("silent_reports", self.silent_reports),
        ];
        require_positive(file, &positive)?;
        for (team, budget) in &self.budget {
            let field = format!("budget.{team}.share");
            require(file, &field, (0.0..=1.0).contains(&budget.max_away_share), "is a share, from 0 to 1")?;
        }
        for (name, campaign) in &self.campaign {
            require(file, "campaign", !name.is_empty(), "needs a name")?;
            let field = format!("campaign.{name}");
            let valid = campaign.first_wave_size > 0 && campaign.max_wave_size >= campaign.first_wave_size;
            require(file, &field, valid, "first must be above 0 and wave not below it")?;
        }
        let spare_valid = self.spare_share.is_finite() && self.spare_share >= 0.0;
        require(file, "spare_share", spare_valid, "must not be negative")
    }

    /// Checks that every budget belongs to a known team.
    pub(super) fn validate_teams(&self, file: &Path, teams: &[Team]) -> Result<(), SettingsError> {
        for name in self.budget.keys() {
            let known = teams.iter().any(|team| team.name == *name);
            require(file, &format!("budget.{name}"), known, "no such team")?;
        }
        Ok(())
    }
}

/// Checks that each of the fields is finite and above 0.
fn require_positive(file: &Path, fields: &[(&str, f64)]) -> Result<(), SettingsError> {
    for (field, value) in fields {
        require(file, field, value.is_finite() && *value > 0.0, "must be above 0")?;
    }
    Ok(())
}

/// Returns an error that names the file, the field and the rule, unless the field is valid.
fn require(file: &Path, field: &str, valid: bool, rule: &str) -> Result<(), SettingsError> {
    if valid {
        return Ok(());
    }
    Err(SettingsError::Field { file: file.into(), field: field.into(), rule: rule.into() })
}
