//! The settings file that the platform hands over (TOML), and the operator's
//! own settings on top of it (HCL). This module owns reading and judging both;
//! the rest of the program sees only values that passed.

use crate::maintenance::budget::Budget;
use crate::maintenance::campaign::Campaign;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a settings file was refused: one line that names file and field.
#[derive(Debug, Error)]
pub enum SettingsError {
    #[error("{file}: cannot be read: {cause}")]
    Read { file: PathBuf, cause: std::io::Error },
    #[error("{file}: {what}")]
    Parse { file: PathBuf, what: String },
    #[error("{file}: {field}: {what}")]
    Field { file: PathBuf, field: String, what: String },
}

#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    pub member: String,
    pub zone: String,
    pub public_addr: SocketAddr,
    pub peer_bind: SocketAddr,
    #[serde(default)]
    pub others: Vec<Other>,
    pub outside: Outside,
    pub settings: Params,
    /// The operator's own settings; not part of the platform's file.
    #[serde(skip)]
    pub operator: Operator,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Other {
    pub member: String,
    pub zone: String,
    pub peer_addr: SocketAddr,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Outside {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Params {
    pub zones: Vec<String>,
    #[serde(default)]
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    pub machine_limits: MachineLimits,
}

/// Guarantee and limit of a team. A limit of 0 means none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

/// One aim; kinds and fields this program does not use are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    pub kind: String,
    pub class: Option<String>,
    pub within_s: Option<f64>,
    pub share: Option<f64>,
    pub times: Option<f64>,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct MachineLimits {
    pub core_share: f64,
    pub ram_mb: f64,
    pub max_connections: usize,
}

/// What an operator may set in HCL. Every default is a ratio to a figure of
/// the platform's file, so one file serves deployments of any size.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// Seconds a task may wait before it is placed first-fit.
    pub wait_limit_s: f64,
    /// Oldest waiting tasks that one knapsack considers.
    pub window: usize,
    /// Memory step of the knapsack, in MB.
    pub step_mb: f64,
    /// A machine without tasks is returned after this many boot times.
    pub idle_boots: f64,
    /// A machine that is not up after this many boot times is replaced.
    pub late_boots: f64,
    /// A silent machine is given up after this many report intervals.
    pub silent_reports: f64,
    /// Free room kept for services, as a share of what services use.
    pub spare_share: f64,
    /// What each team agreed to miss while machines are emptied on purpose.
    pub budget: BTreeMap<String, Budget>,
    /// Machines to be emptied and returned, one campaign after the other by name.
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

impl Settings {
    /// Reads and judges the platform's file and, where given, the operator's.
    pub fn load(config: &Path, operator: Option<&Path>) -> Result<Settings, SettingsError> {
        let mut s = Settings::parse(&read(config)?, config)?;
        if let Some(file) = operator {
            s.operator = Operator::load(file, &s.settings.teams)?;
        }
        Ok(s)
    }

    /// Reads and judges the text of the platform's file.
    pub fn parse(text: &str, file: &Path) -> Result<Settings, SettingsError> {
        let s: Settings = toml::from_str(text)
            .map_err(|e| SettingsError::Parse { file: file.into(), what: one_line(&e.to_string()) })?;
        s.judge(file)?;
        Ok(s)
    }

    fn judge(&self, file: &Path) -> Result<(), SettingsError> {
        let p = &self.settings;
        let positive = [
            ("settings.workers.report_s", p.workers.heartbeat_interval_s),
            ("settings.workers.lease_s", p.workers.lease_s),
            ("settings.workers.gang_wait_s", p.workers.gang_wait_s),
            ("settings.workers.gang_peer_s", p.workers.gang_peer_s),
            ("settings.state.rps", p.state.rps),
            ("settings.state.write_rps", p.state.write_rps),
            ("settings.state.value_kb", p.state.value_kb),
            ("settings.state.txn_ops", p.state.txn_ops as f64),
            ("settings.cloud.rps", p.cloud.rps),
            ("settings.cloud.list_lag_s", p.cloud.list_lag_s),
            ("settings.machine_limits.core_share", p.machine_limits.core_share),
            ("settings.machine_limits.ram_mb", p.machine_limits.ram_mb),
        ];
        for (field, v) in positive {
            check(file, field, v.is_finite() && v > 0.0, "must be above 0")?;
        }
        check(file, "member", !self.member.is_empty(), "must not be empty")?;
        check(file, "settings.zones", p.zones.contains(&self.zone), "must list this controller's zone")?;
        check(
            file,
            "settings.workers.cancel_s",
            p.workers.cancel_s.is_finite() && p.workers.cancel_s > p.workers.lease_s + p.workers.heartbeat_interval_s,
            "must be above lease_s and report_s together: a cancellation has to outlast a worker's lease",
        )?;
        check(
            file,
            "settings.machine_limits.max_connections",
            p.machine_limits.max_connections >= 16,
            "must be at least 16",
        )?;
        for t in &p.teams {
            let ok = [t.cpus, t.cpus_max, t.gpus, t.gpus_max].iter().all(|v| v.is_finite() && *v >= 0.0);
            let field = format!("settings.teams.{}", t.name);
            check(file, &field, ok, "must not be negative")?;
            let within = |guaranteed: f64, max: f64| max == 0.0 || guaranteed <= max;
            let ok = within(t.cpus, t.cpus_max) && within(t.gpus, t.gpus_max);
            check(file, &field, ok, "guarantees more than its limit allows")?;
        }
        for o in &self.others {
            check(file, "others.member", o.member != self.member, "names this controller itself")?;
        }
        Ok(())
    }

    /// Number of controllers, this one included.
    pub fn controllers(&self) -> usize {
        self.others.len() + 1
    }
}

impl Operator {
    /// Reads and judges an operator's file, for these teams.
    pub fn load(file: &Path, teams: &[Team]) -> Result<Operator, SettingsError> {
        let o: Operator = hcl::from_str(&read(file)?)
            .map_err(|e| SettingsError::Parse { file: file.into(), what: one_line(&e.to_string()) })?;
        o.judge(file)?;
        for team in o.budget.keys() {
            let known = teams.iter().any(|t| t.name == *team);
            check(file, &format!("budget.{team}"), known, "no such team")?;
        }
        Ok(o)
    }

    fn judge(&self, file: &Path) -> Result<(), SettingsError> {
        let positive = [
            ("wait_limit_s", self.wait_limit_s),
            ("window", self.window as f64),
            ("step_mb", self.step_mb),
            ("idle_boots", self.idle_boots),
            ("late_boots", self.late_boots),
            ("silent_reports", self.silent_reports),
        ];
        for (field, v) in positive {
            check(file, field, v.is_finite() && v > 0.0, "must be above 0")?;
        }
        for (team, b) in &self.budget {
            let field = format!("budget.{team}.share");
            check(file, &field, (0.0..=1.0).contains(&b.share), "is a share, from 0 to 1")?;
        }
        for (name, c) in &self.campaign {
            check(file, "campaign", !name.is_empty(), "needs a name")?;
            let field = format!("campaign.{name}");
            check(file, &field, c.first > 0 && c.wave >= c.first, "first must be above 0 and wave not below it")?;
        }
        check(file, "spare_share", self.spare_share.is_finite() && self.spare_share >= 0.0, "must not be negative")
    }
}

fn read(file: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(file).map_err(|cause| SettingsError::Read { file: file.into(), cause })
}

fn check(file: &Path, field: &str, ok: bool, what: &str) -> Result<(), SettingsError> {
    if ok {
        return Ok(());
    }
    Err(SettingsError::Field { file: file.into(), field: field.into(), what: what.into() })
}

fn one_line(text: &str) -> String {
    let parts: Vec<&str> = text.lines().map(str::trim).filter(|l| !l.is_empty()).collect();
    parts.join(" ")
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"
member = "perch-0"
zone = "z"
public_addr = "10.0.0.1:8080"
peer_bind = "10.0.0.1:8081"
unknown = 7
[outside]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[settings]
zones = ["z"]
[settings.workers]
report_s = 2.0
lease_s = 18.0
gang_wait_s = 40.0
gang_peer_s = 4.0
cancel_s = 48.0
[settings.state]
rps = 200.0
write_rps = 80.0
value_kb = 8.0
txn_ops = 32
[settings.cloud]
rps = 3.0
list_lag_s = 8.0
[settings.machine_limits]
core_share = 0.08
ram_mb = 56.0
max_connections = 800
"#;

    fn refused(from: &str, to: &str) -> String {
        assert!(GOOD.contains(from), "{from}");
        let text = GOOD.replace(from, to);
        Settings::parse(&text, Path::new("f.toml")).expect_err("must be refused").to_string()
    }

    /// A controller that starts on settings it cannot keep breaks rules later.
    #[test]
    fn impossible_settings_are_named_in_one_line() {
        assert!(Settings::parse(GOOD, Path::new("f.toml")).is_ok());
        for (from, to, field) in [
            ("report_s = 2.0", "", "report_s"),
            ("report_s = 2.0", "report_s = 0.0", "settings.workers.report_s"),
            ("cancel_s = 48.0", "cancel_s = 18.0", "settings.workers.cancel_s"),
            ("cancel_s = 48.0", "cancel_s = 20.0", "settings.workers.cancel_s"),
            (
                "zones = [\"z\"]",
                "zones = [\"z\"]\nteams = [{ name = \"t\", gpus = 9.0, gpus_max = 8.0 }]",
                "settings.teams.t",
            ),
            ("10.2.0.1:2379", "store", "state"),
            ("zones = [\"z\"]", "zones = []", "settings.zones"),
            ("rps = 3.0", "rps = nan", "settings.cloud.rps"),
            ("member = \"perch-0\"", "member = \"\"", "member"),
        ] {
            let line = refused(from, to);
            assert!(line.contains(field) && line.starts_with("f.toml") && !line.contains('\n'), "{line}");
        }
    }

    #[test]
    fn operator_files_are_judged_too() {
        let read = |t: &str| hcl::from_str::<Operator>(t).map_err(|e| e.to_string());
        assert_eq!(read("window = 100").unwrap().window, 100);
        assert!(read("windows = 100").unwrap_err().contains("windows"));
        let plan = "budget \"t\" { away = 2 }\ncampaign \"b\" { build = \"std\" }\ncampaign \"a\" { spot = true }";
        let plan = read(plan).unwrap();
        assert_eq!((plan.budget["t"].away, plan.campaign.len(), plan.campaign["b"].wave), (2, 2, 8));
        let refused = |t: &str| read(t).unwrap().judge(Path::new("o.hcl")).unwrap_err().to_string();
        assert!(refused("budget \"t\" { share = 1.5 }").contains("o.hcl: budget.t.share"));
        assert!(refused("campaign \"a\" { first = 9 }").contains("o.hcl: campaign.a"));
        assert!(read("campaign \"a\" { zone = \"x\" }").unwrap_err().contains("zone"));
        let bad = read("step_mb = -1").unwrap().judge(Path::new("o.hcl")).unwrap_err();
        assert!(bad.to_string().contains("o.hcl: step_mb"));
    }
}
