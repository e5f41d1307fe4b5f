//! Scenarios: what the emulator plays, read from HCL. Everything is judged
//! here; the rest of the program sees only values that passed.

use finchquay_hcl::{File, HclError};
use finchquay_protocol::user::Priority;
use rand::{Rng, RngExt};
use rand_distr::{Distribution, Exp, LogNormal};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

/// The site that the suite's scenarios lie over.
const SITE: &str = include_str!("../scenarios/site.hcl");
/// z of the 95th percentile of the normal distribution.
const Z95: f64 = 1.6449;

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

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Team {
    pub cpus: f64,
    pub cpus_max: f64,
    pub gpus: f64,
    pub gpus_max: f64,
}

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
    pub tasks: Dist,
    /// Run time of a task; of services the time until they are cancelled.
    pub run_s: Dist,
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

/// A named distribution; negative draws count as 0.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Dist {
    Constant(f64),
    /// From, to.
    Uniform(f64, f64),
    /// One of these, each as likely.
    Values(Vec<f64>),
    /// Mean.
    Exponential(f64),
    Lognormal {
        median: f64,
        p95: f64,
        max: f64,
    },
}

impl Dist {
    pub fn draw(&self, rng: &mut impl Rng) -> f64 {
        let x = match self {
            Dist::Constant(x) => *x,
            Dist::Uniform(a, b) => rng.random_range(*a..=*b),
            Dist::Values(v) => v[rng.random_range(0..v.len())],
            Dist::Exponential(mean) => Exp::new(1.0 / mean).map_or(*mean, |d| d.sample(rng)),
            Dist::Lognormal { median, p95, max } => {
                let sigma = (p95 / median).ln() / Z95;
                LogNormal::new(median.ln(), sigma).map_or(*median, |d| d.sample(rng)).min(*max)
            }
        };
        x.max(0.0)
    }

    fn judge(&self) -> Result<(), &'static str> {
        let ok = |x: &f64| x.is_finite() && *x >= 0.0;
        match self {
            Dist::Constant(x) if !ok(x) => Err("must not be negative"),
            Dist::Uniform(a, b) if !(ok(a) && ok(b) && a <= b) => Err("needs two numbers, the smaller first"),
            Dist::Values(v) if v.is_empty() || !v.iter().all(ok) => Err("needs numbers that are not negative"),
            Dist::Exponential(m) if !(ok(m) && *m > 0.0) => Err("needs a mean above 0"),
            Dist::Lognormal { median, p95, max } if !(*median > 0.0 && p95 >= median && max >= median && ok(max)) => {
                Err("needs a median above 0, and p95 and max not below it")
            }
            _ => Ok(()),
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The state service answers nobody.
    StoreOutage,
    /// The state service refuses one controller.
    StoreRefuse,
    /// Nothing passes between one controller and the state service; what it wrote
    /// arrives when the cut is over.
    StoreCut,
    /// One controller's requests are carried out, and the answers are lost.
    StoreMute,
    /// The state service answers late.
    StoreSlow,
    /// The state service is killed, and started again from its log.
    StoreRestart,
    /// A write is acknowledged and lost.
    WriteLost,
    /// A write is carried out and never answered.
    WriteUnanswered,
    /// A write is never answered and carried out much later.
    WriteLate,
    /// The last transactions are lost, the ledger goes back.
    TailLost,
    CloudOutage,
    /// Machines boot late.
    BootsLate,
    /// Machines never come up.
    BootsCold,
    /// The cloud has fewer machines.
    Scarce,
    /// Spot machines are taken back.
    Recall,
    /// Machines stop with all that is on them.
    Die,
    MachinesCut,
    MachinesHang,
    /// Machines fail every task.
    MachinesSick,
    /// Machines run their tasks slower.
    MachinesSlow,
    ZoneCut,
    /// The machines of a zone and one controller do not reach each other.
    ZoneLinkCut,
    ControllerKill,
    /// A controller stands still while its clocks run on.
    ControllerFreeze,
    /// No machine reaches a controller.
    ControllerDeaf,
    /// Connections between controllers are refused.
    PeersRefused,
    /// All controllers are restarted one after the other.
    Rolling,
}

/// One fault. What a kind does not use must be left out.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: FaultKind,
    pub at_s: f64,
    #[serde(default)]
    pub for_s: Option<f64>,
    /// Controller by number from 0; all where absent.
    #[serde(default)]
    pub controller: Option<usize>,
    #[serde(default)]
    pub machine_type: Option<String>,
    #[serde(default)]
    pub zone: Option<String>,
    /// Machines, writes or transactions that it hits; times that a controller ends.
    #[serde(default)]
    pub count: Option<u32>,
    /// Times as long, as slow; or the share that is left.
    #[serde(default)]
    pub factor: Option<f64>,
    /// Keys that a hit write changes.
    #[serde(default)]
    pub prefix: Option<String>,
    /// Such writes that pass before.
    #[serde(default)]
    pub skip: Option<u32>,
    /// How late; the time from one end to the next.
    #[serde(default)]
    pub late_s: Option<f64>,
    /// After how long a process is back; as the controllers are set where absent.
    #[serde(default)]
    pub restart_s: Option<f64>,
}

/// Faults drawn by the seed.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Draw {
    pub count: u32,
    pub kinds: Vec<FaultKind>,
    pub from_s: f64,
    pub to_s: f64,
    pub for_s: Dist,
}

/// Fields that a kind of fault needs; all others must be left out.
fn needs(kind: FaultKind) -> (&'static [&'static str], &'static [&'static str]) {
    use FaultKind::*;
    match kind {
        StoreOutage | CloudOutage => (&["for_s"], &[]),
        StoreRestart => (&["for_s"], &[]),
        StoreRefuse | StoreCut | StoreMute | ControllerFreeze | ControllerDeaf => (&["for_s", "controller"], &[]),
        StoreSlow => (&["for_s", "late_s"], &[]),
        WriteLost | WriteUnanswered => (&["prefix"], &["skip", "count"]),
        WriteLate => (&["prefix", "late_s"], &["skip", "count"]),
        TailLost => (&["count"], &[]),
        BootsLate => (&["for_s", "factor"], &["machine_type"]),
        BootsCold => (&["for_s"], &["machine_type"]),
        Scarce => (&["for_s", "factor"], &[]),
        Recall | Die => (&["count"], &[]),
        MachinesCut | MachinesHang | MachinesSick => (&["for_s", "count"], &[]),
        MachinesSlow => (&["for_s", "count", "factor"], &[]),
        ZoneCut => (&["for_s", "zone"], &[]),
        ZoneLinkCut => (&["for_s", "zone", "controller"], &[]),
        ControllerKill => (&[], &["controller", "count", "late_s", "restart_s"]),
        PeersRefused => (&["for_s"], &["controller"]),
        Rolling => (&[], &["late_s", "restart_s"]),
    }
}

impl Fault {
    fn given(&self) -> Vec<&'static str> {
        let fields = [
            ("for_s", self.for_s.is_some()),
            ("controller", self.controller.is_some()),
            ("machine_type", self.machine_type.is_some()),
            ("zone", self.zone.is_some()),
            ("count", self.count.is_some()),
            ("factor", self.factor.is_some()),
            ("prefix", self.prefix.is_some()),
            ("skip", self.skip.is_some()),
            ("late_s", self.late_s.is_some()),
            ("restart_s", self.restart_s.is_some()),
        ];
        fields.into_iter().filter(|(_, given)| *given).map(|(name, _)| name).collect()
    }

    /// A fault of a kind as it is drawn by luck.
    pub fn drawn(kind: FaultKind, at_s: f64, for_s: f64, scenario: &Scenario, rng: &mut impl Rng) -> Fault {
        let (must, _) = needs(kind);
        let has = |f: &str| must.contains(&f);
        let prefixes = ["fq/j/", "fq/t/", "fq/h/", ""];
        Fault {
            kind,
            at_s,
            for_s: has("for_s").then_some(for_s),
            controller: has("controller").then(|| rng.random_range(0..scenario.controllers.count)),
            machine_type: None,
            zone: has("zone").then(|| scenario.zones[rng.random_range(0..scenario.zones.len())].clone()),
            count: has("count").then(|| rng.random_range(1..=3)),
            factor: has("factor").then(|| if kind == FaultKind::Scarce { 0.3 } else { 4.0 }),
            prefix: has("prefix").then(|| prefixes[rng.random_range(0..prefixes.len())].to_string()),
            skip: None,
            restart_s: None,
            late_s: has("late_s").then(|| if kind == FaultKind::StoreSlow { 0.4 } else { for_s }),
        }
    }
}

impl Scenario {
    pub fn read(path: &Path) -> Result<Scenario, HclError> {
        let file = File::read(path)?;
        let base = match file.top("base") {
            Some(base) => Some(File::read(&path.with_file_name(base))?),
            None => None,
        };
        Scenario::judged(&match base {
            Some(base) => file.over(base),
            None => file,
        })
    }

    /// A scenario whose text comes with the program; `name` stands for its
    /// file, and a base is the site that comes along.
    pub fn parse(name: &str, text: &str) -> Result<Scenario, HclError> {
        let file = File::parse(Path::new(name), text.into())?;
        Scenario::judged(&match file.top("base") {
            Some(base) => File::parse(Path::new(base), SITE.into()).map(|b| file.over(b))?,
            None => file,
        })
    }

    fn judged(file: &File) -> Result<Scenario, HclError> {
        let s: Scenario = file.typed()?;
        s.judge(file)?;
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

    fn judge(&self, file: &File) -> Result<(), HclError> {
        let positive: Vec<(Vec<&str>, f64)> = vec![
            (vec!["duration_s"], self.duration_s),
            (vec!["controllers", "count"], self.controllers.count as f64),
            (vec!["controllers", "core_share"], self.controllers.core_share),
            (vec!["controllers", "ram_mb"], self.controllers.ram_mb),
            (vec!["workers", "report_s"], self.workers.heartbeat_interval_s),
            (vec!["workers", "lease_s"], self.workers.lease_s),
            (vec!["workers", "gang_wait_s"], self.workers.gang_wait_s),
            (vec!["workers", "gang_peer_s"], self.workers.gang_peer_s),
            (vec!["workers", "cancel_s"], self.workers.cancel_s),
            (vec!["state", "rps"], self.state.rps),
            (vec!["state", "write_rps"], self.state.write_rps),
            (vec!["state", "value_kb"], self.state.value_kb),
            (vec!["state", "txn_ops"], self.state.txn_ops as f64),
            (vec!["cloud", "rps"], self.cloud.rps),
            (vec!["cloud", "list_lag_s"], self.cloud.list_lag_s),
        ];
        for (path, v) in positive {
            if !(v.is_finite() && v > 0.0) {
                return Err(file.refuse(&path, format!("must be above 0, is {v}")));
            }
        }
        let not_negative = [
            (vec!["settle_s"], self.settle_s),
            (vec!["controllers", "restart_s"], self.controllers.restart_s),
            (vec!["cloud", "notice_s"], self.cloud.notice_s),
        ];
        for (path, v) in not_negative {
            if !(v.is_finite() && v >= 0.0) {
                return Err(file.refuse(&path, format!("must not be negative, is {v}")));
            }
        }
        if self.workers.cancel_s <= self.workers.lease_s + self.workers.heartbeat_interval_s {
            return Err(file.refuse(&["workers", "cancel_s"], "must be above lease_s and report_s together"));
        }
        if self.zones.is_empty() {
            return Err(file.refuse(&["zones"], "needs at least one zone"));
        }
        if self.controllers.count > 100 {
            return Err(file.refuse(&["controllers", "count"], "must be at most 100"));
        }
        if !(0.0..=1.0).contains(&self.cloud.silent_share) {
            return Err(file.refuse(&["cloud", "silent_share"], "is a share, from 0 to 1"));
        }
        for (name, m) in &self.machine_type {
            let fields = [
                ("cpus", m.cpus, true),
                ("gpus", m.gpus, false),
                ("memory_gb", m.memory_gb, true),
                ("cache_gb", m.cache_gb, true),
                ("fetch_gb_per_s", m.fetch_gb_per_s, true),
                ("hourly", m.on_demand_price, true),
                ("spot_hourly", m.spot_hourly, true),
                ("boot_s", m.boot_s, false),
            ];
            for (key, v, above) in fields {
                if !(v.is_finite() && v >= 0.0 && (v > 0.0 || !above)) {
                    let least = if above { "above" } else { "at least" };
                    return Err(file.refuse(&["machine_type", name, key], format!("must be {least} 0, is {v}")));
                }
            }
            if !(0.0..=1.0).contains(&m.cold) {
                return Err(file.refuse(&["machine_type", name, "cold"], "is a share, from 0 to 1"));
            }
            if m.up > m.ordinary {
                return Err(file.refuse(&["machine_type", name, "up"], "is more than there are ordinary ones"));
            }
        }
        for (name, t) in &self.team {
            let within = |least: f64, most: f64| least >= 0.0 && most >= 0.0 && (most == 0.0 || least <= most);
            if !(within(t.cpus, t.cpus_max) && within(t.gpus, t.gpus_max)) {
                return Err(file.refuse(&["team", name], "guarantees more than its limit allows"));
            }
        }
        self.load.iter().try_for_each(|(name, l)| self.judge_load(file, name, l))?;
        self.fault.iter().try_for_each(|(name, f)| self.judge_fault(file, name, f))?;
        if let Some(d) = &self.draw {
            let ok = d.from_s >= 0.0 && d.to_s >= d.from_s && d.to_s.is_finite() && !d.kinds.is_empty();
            if !ok {
                return Err(file.refuse(&["draw"], "needs kinds, and from_s and to_s that is not before it"));
            }
            d.for_s.judge().map_err(|e| file.refuse(&["draw", "for_s"], e))?;
        }
        Ok(())
    }

    fn judge_load(&self, file: &File, name: &str, l: &Load) -> Result<(), HclError> {
        let at = |key: &'static str, what: String| file.refuse(&["load", name, key], what);
        if !self.team.contains_key(&l.team) {
            return Err(at("team", format!("no such team {:?}", l.team)));
        }
        l.tasks.judge().map_err(|e| at("tasks", e.into()))?;
        l.run_s.judge().map_err(|e| at("run_s", e.into()))?;
        let fields = [
            ("per_minute", l.per_minute),
            ("cpus", l.cpus),
            ("gpus", l.gpus),
            ("memory_gb", l.memory_gb),
            ("image_gb", l.image_gb),
            ("checkpoint_s", l.checkpoint_s),
            ("save_s", l.save_s),
            ("deadline_factor", l.deadline_factor.unwrap_or(0.0)),
            ("start_within_s", l.start_within_s.unwrap_or(1.0)),
        ];
        for (key, v) in fields {
            if !(v.is_finite() && v >= 0.0) {
                return Err(at(key, format!("must not be negative, is {v}")));
            }
        }
        if !(0.0..=1.0).contains(&l.cancelled) {
            return Err(at("withdrawn", "is a share, from 0 to 1".into()));
        }
        if l.images == 0 {
            return Err(at("images", "must be at least 1".into()));
        }
        let fits = |m: &MachineType| l.cpus <= m.cpus && l.gpus <= m.gpus && l.memory_gb <= m.memory_gb;
        if !self.machine_type.values().any(fits) {
            return Err(at("cpus", "a task fits no machine type".into()));
        }
        Ok(())
    }

    fn judge_fault(&self, file: &File, name: &str, f: &Fault) -> Result<(), HclError> {
        let at = |key: &str, what: String| file.refuse(&["fault", name, key], what);
        let (must, may) = needs(f.kind);
        let given = f.given();
        if let Some(missing) = must.iter().find(|m| !given.contains(m)) {
            return Err(at("kind", format!("this kind needs {missing}")));
        }
        if let Some(extra) = given.iter().find(|g| !must.contains(g) && !may.contains(g)) {
            return Err(at(extra, "this kind has no use for it".into()));
        }
        let or_none = |v: Option<f64>| v.unwrap_or(0.0);
        let times = [
            ("at_s", f.at_s),
            ("for_s", or_none(f.for_s)),
            ("late_s", or_none(f.late_s)),
            ("restart_s", or_none(f.restart_s)),
        ];
        for (key, v) in times {
            if !(v.is_finite() && v >= 0.0) {
                return Err(at(key, format!("must not be negative, is {v}")));
            }
        }
        if f.factor.is_some_and(|x| !(x.is_finite() && x > 0.0)) {
            return Err(at("factor", "must be above 0".into()));
        }
        if f.controller.is_some_and(|c| c >= self.controllers.count) {
            return Err(at("controller", format!("there are {}, numbered from 0", self.controllers.count)));
        }
        if f.zone.as_ref().is_some_and(|z| !self.zones.contains(z)) {
            return Err(at("zone", "no such zone".into()));
        }
        if f.machine_type.as_ref().is_some_and(|m| !self.machine_type.contains_key(m)) {
            return Err(at("machine_type", "no such machine type".into()));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;
    use rand::rngs::StdRng;

    const GOOD: &str = include_str!("../scenarios/filing-eve.hcl");

    fn refused(from: &str, to: &str) -> String {
        assert!(GOOD.contains(from), "{from}");
        let e = Scenario::parse("s.hcl", &GOOD.replacen(from, to, 1)).expect_err(to).to_string();
        assert!(!e.contains('\n'), "{e}");
        e
    }

    #[test]
    fn bad_scenarios_are_refused_with_line_and_key() {
        Scenario::parse("s.hcl", GOOD).unwrap();
        for (from, to, key) in [
            ("settle_s", "setle_s", "setle_s"),
            ("duration_s = ", "duration_s = -", "duration_s"),
            ("kind = \"store_slow\"", "kind = \"store_sloww\"", "fault.late-store.kind"),
            ("late_s = ", "late_s = -", "fault.late-store.late_s"),
            ("kind = \"store_slow\"", "kind = \"store_outage\"", "fault.late-store.late_s"),
            ("team = \"preparers\"", "team = \"nobody\"", "load.return-assembly.team"),
        ] {
            let line = refused(from, to);
            let at: usize = line.strip_prefix("s.hcl:").and_then(|l| l.split(':').next()).unwrap().parse().unwrap();
            assert!(line.contains(&format!(" {key}: ")), "{line}");
            let stands = key.rsplit('.').next().unwrap();
            assert!(GOOD.replacen(from, to, 1).lines().nth(at - 1).unwrap().contains(stands), "{line}");
        }
    }

    #[test]
    fn distributions_keep_their_figures() {
        let mut rng = StdRng::seed_from_u64(3);
        let d = Dist::Lognormal { median: 25.0, p95: 60.0, max: 100.0 };
        let mut x: Vec<f64> = (0..20_000).map(|_| d.draw(&mut rng)).collect();
        x.sort_by(f64::total_cmp);
        assert!((x[10_000] - 25.0).abs() < 1.0 && (x[19_000] - 60.0).abs() < 3.0 && x[19_999] <= 100.0);
        let mean = (0..20_000).map(|_| Dist::Exponential(4.0).draw(&mut rng)).sum::<f64>() / 20_000.0;
        assert!((mean - 4.0).abs() < 0.15, "{mean}");
    }

    /// The same seed plays the same faults.
    #[test]
    fn drawn_faults_follow_the_seed_and_pass_the_checks() {
        let text = GOOD.to_string()
            + "\ndraw {\n count = 40\n kinds = [\"store_outage\", \"die\", \"write_late\", \"zone_cut\", \"scarce\", \"controller_freeze\"]\n from_s = 1\n to_s = 9\n for_s = { constant = 3 }\n}\n";
        let s = Scenario::parse("s.hcl", &text).unwrap();
        let draw = |seed| format!("{:?}", s.faults(&mut StdRng::seed_from_u64(seed)));
        assert_eq!(draw(1), draw(1));
        assert_ne!(draw(1), draw(2));
        let file = File::parse(Path::new("s.hcl"), text.clone()).unwrap();
        for (name, f) in s.faults(&mut StdRng::seed_from_u64(5)) {
            s.judge_fault(&file, &name, &f).unwrap();
        }
    }
}
