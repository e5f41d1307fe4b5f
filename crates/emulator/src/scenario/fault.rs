//! Faults of a scenario: their kinds, and the keys that each kind uses.

use super::{Distribution, Scenario};
use rand::{Rng, RngExt};
use serde::Deserialize;

/// Kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The state service refuses every request.
    StoreOutage,
    /// The state service refuses the requests of one controller.
    StoreRefuse,
    /// Nothing passes between one controller and the state service; transactions that it
    /// sent are carried out when the fault ends.
    StoreCut,
    /// The requests of one controller are carried out, but it gets no answers.
    StoreMute,
    /// The answers of the state service are delayed.
    StoreSlow,
    /// The state service is killed, and started again from its log after a while.
    StoreRestart,
    /// A transaction is acknowledged and lost.
    WriteLost,
    /// A transaction is carried out and never answered.
    WriteUnanswered,
    /// A transaction is never answered, and carried out later.
    WriteLate,
    /// The last transactions are lost, and the revision of the store goes back.
    TailLost,
    /// The cloud refuses every request.
    CloudOutage,
    /// Machines take longer to boot.
    BootsLate,
    /// Machines that are rented never come up.
    BootsCold,
    /// The cloud has fewer machines to rent.
    Scarce,
    /// Spot machines are preempted.
    Recall,
    /// Machines fail, together with everything that runs on them.
    Die,
    /// Machines and controllers do not reach each other.
    MachinesCut,
    /// Machines make no progress and do not answer.
    MachinesHang,
    /// Machines fail every task.
    MachinesSick,
    /// Machines run their tasks more slowly.
    MachinesSlow,
    /// Commands that machines carried out and answered arrive there once more.
    CommandsAgain,
    /// Machines and controllers do not reach each other across the border of one zone.
    ZoneCut,
    /// The machines of a zone and one controller do not reach each other.
    ZoneLinkCut,
    /// Controllers are killed, and started again after a while.
    ControllerKill,
    /// A controller is suspended while time goes on.
    ControllerFreeze,
    /// No machine reaches a controller.
    ControllerDeaf,
    /// Connections between controllers are refused.
    PeersRefused,
    /// All controllers are killed and started again, one after the other.
    Rolling,
}

/// One fault. Keys that its kind does not use must be left out.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Time in the run at which it begins.
    pub at_s: f64,
    /// How long it lasts.
    #[serde(default)]
    pub for_s: Option<f64>,
    /// Number of the controller that it hits, from 0; all controllers if absent.
    #[serde(default)]
    pub controller: Option<usize>,
    /// Machine type that it hits; all types if absent.
    #[serde(default)]
    pub machine_type: Option<String>,
    /// Zone that it hits.
    #[serde(default)]
    pub zone: Option<String>,
    /// Number of machines or transactions that it hits, or of times that controllers are
    /// killed.
    #[serde(default)]
    pub count: Option<u32>,
    /// How many times as long boots take or tasks run, or the share of the cloud's machines
    /// that is left.
    #[serde(default)]
    pub factor: Option<f64>,
    /// It hits transactions that change a key with this prefix.
    #[serde(default)]
    pub prefix: Option<String>,
    /// Number of such transactions that pass before the first one is hit.
    #[serde(default)]
    pub skip: Option<u32>,
    /// Delay of answers or late transactions, the longest delay of copies, or the time from one kill to the next.
    #[serde(default)]
    pub late_s: Option<f64>,
    /// Time until a killed controller is started again; that of the scenario if absent.
    #[serde(default)]
    pub restart_s: Option<f64>,
}

/// Faults that the seed chooses.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RandomFaults {
    /// Number of faults.
    pub count: u32,
    /// Kinds to choose from.
    pub kinds: Vec<FaultKind>,
    /// Earliest time at which a fault begins.
    pub from_s: f64,
    /// Latest time at which a fault begins.
    pub to_s: f64,
    /// How long a fault lasts.
    pub for_s: Distribution,
}

/// Keys that a kind of fault uses, besides `kind` and `at_s`; all others must be left out.
pub(super) struct FaultKeys {
    /// Keys that must be given.
    pub(super) required: &'static [&'static str],
    /// Keys that may be given.
    pub(super) optional: &'static [&'static str],
}

/// The keys that a kind of fault uses.
pub(super) fn fault_keys(kind: FaultKind) -> FaultKeys {
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
        CommandsAgain => (&["for_s", "late_s"], &[]),
        ZoneCut => (&["for_s", "zone"], &[]),
        ZoneLinkCut => (&["for_s", "zone", "controller"], &[]),
        ControllerKill => (&[], &["controller", "count", "late_s", "restart_s"]),
        PeersRefused => (&["for_s"], &["controller"]),
        Rolling => (&[], &["late_s", "restart_s"]),
    };
    FaultKeys { required, optional }
}

impl Fault {
    /// The keys that this fault gives, besides `kind` and `at_s`.
    pub(super) fn given_keys(&self) -> Vec<&'static str> {
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

    /// A fault of a kind with random values for the keys that the kind needs.
    pub fn random(kind: FaultKind, at_s: f64, for_s: f64, scenario: &Scenario, rng: &mut impl Rng) -> Fault {
        let required = fault_keys(kind).required;
        let needs = |key: &str| required.contains(&key);
        let prefixes = ["fq/j/", "fq/t/", "fq/h/", ""];
        Fault {
            kind,
            at_s,
            for_s: needs("for_s").then_some(for_s),
            controller: needs("controller").then(|| rng.random_range(0..scenario.controllers.count)),
            machine_type: None,
            zone: needs("zone").then(|| scenario.zones[rng.random_range(0..scenario.zones.len())].clone()),
            count: needs("count").then(|| rng.random_range(1..=3)),
            factor: needs("factor").then(|| if kind == FaultKind::Scarce { 0.3 } else { 4.0 }),
            prefix: needs("prefix").then(|| prefixes[rng.random_range(0..prefixes.len())].to_string()),
            skip: None,
            restart_s: None,
            late_s: needs("late_s").then(|| if kind == FaultKind::StoreSlow { 0.4 } else { for_s }),
        }
    }
}
