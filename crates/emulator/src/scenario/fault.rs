//! Faults of a scenario: their kinds, and the keys that each kind uses.

use super::{Distribution, Scenario};
use rand::{Rng, RngExt};
use serde::Deserialize;

/// What a fault does.
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
    pub for_s: Distribution,
}

/// Keys that a kind of fault uses; all others must be left out.
pub(super) struct Keys {
    /// Keys that must be given.
    pub(super) required: &'static [&'static str],
    /// Keys that may be given.
    pub(super) optional: &'static [&'static str],
}

/// The keys that a kind of fault uses.
pub(super) fn keys(kind: FaultKind) -> Keys {
    use FaultKind::*;
    let (required, optional): (&'static [&'static str], &'static [&'static str]) = match kind {
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
    };
    Keys { required, optional }
}

impl Fault {
    /// The keys that this fault gives, `kind` and `at_s` aside.
    pub(super) fn given(&self) -> Vec<&'static str> {
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

    /// A random fault of a kind.
    pub fn drawn(kind: FaultKind, at_s: f64, for_s: f64, scenario: &Scenario, rng: &mut impl Rng) -> Fault {
        let required = keys(kind).required;
        let has = |key: &str| required.contains(&key);
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
