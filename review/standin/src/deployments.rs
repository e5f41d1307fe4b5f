//! Settings like those of the small deployments.

use crate::cbor::Value;
use crate::cluster::{Deployment, Team};
use crate::machine::Kind;
use crate::map;
use crate::world::Workers;

const RETURNS_OBJECTIVES: &str = r#"[[settings.objectives]]
kind = "wait"
class = "intake-portal"
within_s = 6.0
share = 0.9

[[settings.objectives]]
kind = "finished"
class = "return-assembly"
within_s = 120.0
share = 0.88
"#;

/// `rustaveli-returns`. The limit of the team `preparers` is in CPUs; 0 means none.
pub fn rustaveli_returns(preparers_cpus_max: f64) -> Deployment {
    let team = |name, cpus_max| Team { name, cpus_max };
    Deployment {
        zones: &["tbilisi-dc"],
        controllers: 3,
        teams: vec![
            team("intake-desk", 0.0),
            team("preparers", preparers_cpus_max),
            team("payroll-unit", 0.0),
            team("review-cell", 0.0),
        ],
        objectives: RETURNS_OBJECTIVES,
        workers: Workers { report_s: 2.0, lease_s: 18.0, cancel_s: 48.0 },
        state_rps: 200.0,
        write_rps: 80.0,
        value_kb: 8,
        txn_ops: 32,
        cloud_rps: 3.0,
        list_lag_s: 8.0,
        core_share: 0.08,
        ram_mb: 56.0,
        max_connections: 800,
        restart_s: 8.0,
    }
}

/// The catalog entry of `batumi-std`.
pub fn batumi_std() -> Value {
    map! {
        "label" => "batumi-std", "cores" => 8.0, "gpus" => 0.0, "mem_gb" => 64.0, "local_gb" => 60.0,
        "pull_gb_per_s" => 0.25, "hourly" => 0.37, "spot_price" => 0.14, "startup_s" => 40.0,
        "sites" => vec![Value::from("tbilisi-dc")],
    }
}

/// A machine of the type `batumi-std`.
pub fn batumi(spot: bool) -> Kind {
    Kind { build: "batumi-std".into(), site: "tbilisi-dc".into(), spot, cores: 8.0, mem_gb: 64.0, pull_gb_per_s: 0.25 }
}

/// The catalog entry of `kutaisi-small`.
pub fn kutaisi_small() -> Value {
    map! {
        "label" => "kutaisi-small", "cores" => 4.0, "gpus" => 0.0, "mem_gb" => 16.0, "local_gb" => 60.0,
        "pull_gb_per_s" => 1.0, "hourly" => 0.15, "spot_price" => 0.05, "startup_s" => 25.0,
        "sites" => vec![Value::from("tbilisi-dc")],
    }
}

const OPS_OBJECTIVES: &str = r#"[[settings.objectives]]
kind = "wait"
class = "transfer-switch"
within_s = 1.0
share = 0.95

[[settings.objectives]]
kind = "deadline"
class = "fraud-score"
share = 0.97
times = 1.0

[[settings.objectives]]
kind = "finished"
class = "quick-tabs"
within_s = 400.0
share = 0.997
"#;

/// `coopago-ops`, on a day on which the guest team `member-research` comes with `quick-tabs`.
pub fn coopago_ops() -> Deployment {
    let team = |name| Team { name, cpus_max: 0.0 };
    Deployment {
        zones: &["montevideo-a", "paysandu-b"],
        controllers: 3,
        teams: vec![team("switch-team"), team("treasury"), team("risk-desk"), team("member-research")],
        objectives: OPS_OBJECTIVES,
        workers: Workers { report_s: 3.0, lease_s: 36.0, cancel_s: 56.0 },
        state_rps: 200.0,
        write_rps: 50.0,
        value_kb: 8,
        txn_ops: 24,
        cloud_rps: 8.0,
        list_lag_s: 5.0,
        core_share: 0.24,
        ram_mb: 104.0,
        max_connections: 3500,
        restart_s: 3.0,
    }
}

/// The catalog entry of `rambla-64`.
pub fn rambla_64() -> Value {
    map! {
        "label" => "rambla-64", "cores" => 64.0, "gpus" => 0.0, "mem_gb" => 512.0, "local_gb" => 50.0,
        "pull_gb_per_s" => 0.2, "hourly" => 4.2, "spot_price" => 1.7, "startup_s" => 25.0,
        "sites" => vec![Value::from("montevideo-a")],
    }
}

/// A machine of the type `rambla-64`.
pub fn rambla(spot: bool) -> Kind {
    Kind {
        build: "rambla-64".into(),
        site: "montevideo-a".into(),
        spot,
        cores: 64.0,
        mem_gb: 512.0,
        pull_gb_per_s: 0.2,
    }
}

/// The catalog entry of `cerro-16`.
pub fn cerro_16() -> Value {
    map! {
        "label" => "cerro-16", "cores" => 16.0, "gpus" => 0.0, "mem_gb" => 128.0, "local_gb" => 80.0,
        "pull_gb_per_s" => 0.3, "hourly" => 1.05, "spot_price" => 0.43, "startup_s" => 30.0,
        "sites" => vec![Value::from("montevideo-a"), Value::from("paysandu-b")],
    }
}

/// A machine of the type `cerro-16`.
pub fn cerro(site: &str, spot: bool) -> Kind {
    Kind { build: "cerro-16".into(), site: site.into(), spot, cores: 16.0, mem_gb: 128.0, pull_gb_per_s: 0.3 }
}
