//! The settings of a world: the figures that the controllers are configured with, and its size.

use finchquay::config::Settings;
use std::path::Path;

pub const REPORT_S: f64 = 2.0;
pub const LEASE_S: f64 = 18.0;
pub const CANCEL_S: f64 = 48.0;
pub const GANG_WAIT_S: f64 = 6.0;
pub const GANG_PEER_S: f64 = 4.0;

/// What most worlds have.
pub const SMALL: Size = Size {
    controllers: 3,
    machines: 4,
    write_rps: 80.0,
    txn_ops: 32,
    free_max: 0.0,
    team_max: 8.0,
    zones: &["a"],
    fetch_s: 0.5,
};

/// How large a world is, and what the store allows.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub controllers: usize,
    pub machines: u32,
    pub write_rps: f64,
    pub txn_ops: usize,
    /// CPUs that the team `free` may use; 0 is no limit.
    pub free_max: f64,
    /// CPUs that the team `capped` may use.
    pub team_max: f64,
    pub zones: &'static [&'static str],
    /// Images take up to this long, differently on each machine.
    pub fetch_s: f64,
}

/// The platform file of one controller.
pub(super) fn settings(node: usize, size: Size) -> Settings {
    let mut t = format!(
        "member = \"perch-{node}\"\nzone = \"a\"\npublic_addr = \"10.0.0.{0}:8080\"\npeer_bind = \"10.0.0.{0}:8081\"\n",
        node + 1
    );
    for o in (0..size.controllers).filter(|o| *o != node) {
        t += &format!("[[others]]\nmember = \"perch-{o}\"\nzone = \"a\"\npeer_addr = \"10.0.0.{}:8081\"\n", o + 1);
    }
    t += "[outside]\ncloud = \"10.2.0.2:8443\"\nstate = \"10.2.0.1:2379\"\n[settings]\nzones = [\"a\", \"b\"]\n";
    t += &format!(
        "[[settings.teams]]\nname = \"free\"\ncpus_max = {:.1}\n[[settings.teams]]\nname = \"capped\"\ncpus_max = {:.1}\n",
        size.free_max, size.team_max
    );
    t += "[[settings.objectives]]\nkind = \"wait\"\nclass = \"web\"\nwithin_s = 6.0\nshare = 0.9\n";
    t += "[[settings.objectives]]\nkind = \"finished\"\nclass = \"report\"\nwithin_s = 40.0\nshare = 0.9\n";
    t += &format!(
        "[settings.workers]\nreport_s = {REPORT_S}\nlease_s = {LEASE_S}\ngang_wait_s = {GANG_WAIT_S:.1}\ngang_peer_s = {GANG_PEER_S:.1}\ncancel_s = {CANCEL_S}\n"
    );
    t += &format!(
        "[settings.state]\nrps = 200.0\nwrite_rps = {:.1}\nvalue_kb = 8.0\ntxn_ops = {}\n",
        size.write_rps, size.txn_ops
    );
    t += "[settings.cloud]\nrps = 3.0\nlist_lag_s = 8.0\n";
    t += "[settings.machine_limits]\ncore_share = 0.08\nram_mb = 56.0\nmax_connections = 800\n";
    Settings::parse(&t, Path::new("world")).unwrap()
}
