//! Maintenance campaigns: machines that match a selection are drained and released, a few
//! at first and then in growing waves. A wave ends when its machines are gone and every
//! replica runs again.

#![warn(missing_docs)]

use super::budget::{DisruptionBudget, TeamReplicas};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Waves stop doubling after this many, so that the shift cannot overflow.
const MAX_DOUBLINGS: u32 = 16;

/// The operator's selection of the machines to drain, and the sizes of the waves. A machine
/// is selected if it matches every criterion that is given.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Campaign {
    /// The machine type of the machines.
    #[serde(rename = "build")]
    pub machine_type: Option<String>,
    /// The zone of the machines.
    #[serde(rename = "site")]
    pub zone: Option<String>,
    /// Whether the machines are spot machines.
    pub spot: Option<bool>,
    /// The names of the machines.
    pub machines: Option<Vec<String>>,
    /// The number of machines in the first wave. Each further wave has twice as many as the
    /// one before it, up to `max_wave_size`.
    #[serde(rename = "first")]
    pub first_wave_size: u32,
    /// The largest number of machines in a wave.
    #[serde(rename = "wave")]
    pub max_wave_size: u32,
}

impl Default for Campaign {
    fn default() -> Self {
        Campaign { machine_type: None, zone: None, spot: None, machines: None, first_wave_size: 1, max_wave_size: 8 }
    }
}

impl Campaign {
    /// Whether the campaign selects this machine.
    pub fn selects(&self, name: &str, machine_type: &str, zone: &str, spot: bool) -> bool {
        self.machine_type.as_ref().is_none_or(|wanted| wanted == machine_type)
            && self.zone.as_ref().is_none_or(|wanted| wanted == zone)
            && self.spot.is_none_or(|wanted| wanted == spot)
            && self.machines.as_ref().is_none_or(|names| names.iter().any(|wanted| wanted == name))
    }

    /// The number of machines in the next wave after `waves` finished ones.
    fn next_wave_size(&self, waves: u32) -> usize {
        let doubled = u64::from(self.first_wave_size) << waves.min(MAX_DOUBLINGS);
        doubled.min(u64::from(self.max_wave_size)) as usize
    }
}

/// A permit to stop one replica for a campaign. It counts against the team's disruption
/// budget from the moment it is written until the replica is proved gone from its machine
/// and runs elsewhere.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DisruptionPermit {
    /// The job of the replica.
    pub job: String,
    /// The index of the replica in its job.
    pub index: u32,
    /// The attempt that may be stopped.
    pub attempt: u64,
    /// The machine on which the attempt was placed.
    pub machine: String,
}

/// The progress of the current campaign, kept in one record that only the leader writes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MaintenanceRecord {
    /// The name of the current campaign; empty if there is none.
    pub name: String,
    /// The last machine that existed when the campaign began. Names are in order of creation,
    /// so machines with a later name do not belong to the campaign.
    #[serde(rename = "upto")]
    pub last_machine: String,
    /// The machines of the current wave, which are draining.
    pub wave: Vec<String>,
    /// The number of finished waves.
    #[serde(rename = "waves")]
    pub finished_waves: u32,
    /// The number of machines that are gone so far.
    #[serde(rename = "gone")]
    pub machines_gone: u32,
    /// The permits that have been issued and not returned to the budget yet.
    #[serde(rename = "tickets")]
    pub permits: Vec<DisruptionPermit>,
    /// The names of finished campaigns.
    #[serde(rename = "finished")]
    pub finished_campaigns: Vec<String>,
}

/// A machine that the campaign selects.
#[derive(Debug, Clone, Default)]
pub struct Candidate {
    /// The name of the machine.
    pub name: String,
    /// The service replicas placed on the machine, as permits, and the team of each.
    pub replicas: Vec<(DisruptionPermit, String)>,
    /// The number of cores that arrays use on the machine.
    pub array_cores: f64,
    /// Whether gang tasks run on the machine. Such a machine is not drained before they end.
    pub has_gang: bool,
    /// Whether some controller hears the machine.
    pub heard: bool,
}

/// Why a campaign does not advance at the moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WaitReason {
    /// The budget of this team is used up.
    BudgetUsedUp(String),
    /// The budget of this team never allows stopping a replica.
    BudgetForbids(String),
    /// This many machines of the wave still have tasks on them or are being released.
    WaveInProgress(usize),
    /// The machines of the wave are gone, but this many replicas with a permit do not run yet.
    ReplicasStarting(usize),
    /// All of the remaining machines, this many, run gang tasks or are not heard by any
    /// controller.
    NoDrainableMachine(usize),
}

/// The changes to the maintenance record that a step makes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Step {
    /// The machines of a new wave.
    pub wave: Vec<String>,
    /// The permits to issue.
    pub permits: Vec<DisruptionPermit>,
    /// Whether the campaign is finished.
    pub finished: bool,
    /// Why the campaign does not advance any further at the moment.
    pub wait: Option<WaitReason>,
}

/// The largest step that one write of the record can hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StepLimits {
    /// The number of machines in a wave.
    pub wave_machines: usize,
    /// The number of permits that are issued in the step.
    pub new_permits: usize,
    /// The number of permits in the record, those of earlier steps included.
    pub permits: usize,
}

/// The bytes that one name takes in the record beside itself: quotes and a comma.
const NAME_OVERHEAD_BYTES: usize = 3;
/// The bytes that one permit takes beside the name of its machine, with the longest job id and
/// numbers.
const PERMIT_BYTES: usize = 100;

impl StepLimits {
    /// The limits for a record of at most `value_bytes`, counted as JSON, and machine names of at
    /// most `name_bytes`: half of it for the wave, a quarter for permits, and the rest for the names
    /// of campaigns.
    pub fn for_record(value_bytes: usize, name_bytes: usize, new_permits: usize) -> StepLimits {
        StepLimits {
            wave_machines: (value_bytes / 2 / (name_bytes + NAME_OVERHEAD_BYTES)).max(1),
            new_permits,
            permits: (value_bytes / 4 / (name_bytes + PERMIT_BYTES)).max(1),
        }
    }
}

/// The next step of a campaign. `remaining` holds all existing machines that the campaign
/// selects, including those of the current wave.
pub fn next_step(
    rec: &MaintenanceRecord,
    campaign: &Campaign,
    remaining: &[Candidate],
    teams: &BTreeMap<String, TeamReplicas>,
    budget: impl Fn(&str) -> DisruptionBudget,
    limits: StepLimits,
) -> Step {
    let mut step = Step::default();
    if rec.wave.is_empty() {
        if !rec.permits.is_empty() {
            step.wait = Some(WaitReason::ReplicasStarting(rec.permits.len()));
            return step;
        }
        if remaining.is_empty() {
            step.finished = true;
            return step;
        }
        let used_up = teams.iter().find(|(team, replicas)| replicas.away > 0 && replicas.remaining(&budget(team)) == 0);
        if let Some((team, _)) = used_up {
            step.wait = Some(WaitReason::BudgetUsedUp(team.clone()));
            return step;
        }
        let mut drainable: Vec<&Candidate> = remaining.iter().filter(|c| c.heard && !c.has_gang).collect();
        drainable.sort_by(|a, b| {
            let by_replicas = a.replicas.len().cmp(&b.replicas.len());
            by_replicas.then(a.array_cores.total_cmp(&b.array_cores)).then_with(|| a.name.cmp(&b.name))
        });
        drainable.truncate(campaign.next_wave_size(rec.finished_waves).min(limits.wave_machines));
        if drainable.is_empty() {
            step.wait = Some(WaitReason::NoDrainableMachine(remaining.len()));
        }
        step.wave = drainable.into_iter().map(|c| c.name.clone()).collect();
        return step;
    }
    let max_permits = limits.new_permits.min(limits.permits.saturating_sub(rec.permits.len()));
    let mut issued: BTreeMap<&str, u32> = BTreeMap::new();
    let wave = || remaining.iter().filter(|c| rec.wave.contains(&c.name));
    for (permit, team) in wave().flat_map(|c| &c.replicas) {
        if rec.permits.contains(permit) {
            continue;
        }
        let replicas = teams.get(team).copied().unwrap_or_default();
        let budget = budget(team);
        let issued = issued.entry(team).or_default();
        if step.permits.len() < max_permits && *issued < replicas.remaining(&budget) {
            *issued += 1;
            step.permits.push(permit.clone());
        } else if budget.allowed_away(replicas.wanted) == 0 {
            step.wait = Some(WaitReason::BudgetForbids(team.clone()));
        } else if step.wait.is_none() {
            step.wait = Some(WaitReason::BudgetUsedUp(team.clone()));
        }
    }
    if step.wait.is_none() && step.permits.is_empty() {
        step.wait = Some(WaitReason::WaveInProgress(wave().count()));
    }
    step
}

#[cfg(test)]
mod tests;
