//! Selects running tasks to preempt so that a task of a higher priority can start.

#![warn(missing_docs)]

use super::{MachineCapacity, zone_capacity};
use crate::protocol::user::{JobKind, JobSpec};
use std::collections::BTreeMap;

/// A running task that is a candidate for preemption.
#[derive(Debug, Clone)]
pub struct Victim<'a> {
    /// Identifier of the task's job.
    pub uid: String,
    /// Index of the task in its job.
    pub index: u32,
    /// Number of the attempt that is running.
    pub attempt: u64,
    /// Specification of the task's job.
    pub spec: &'a JobSpec,
    /// Work that is lost if the task is preempted, in CPU seconds.
    pub cost: f64,
    /// Whether the job meets its objective if the task runs on, and misses it otherwise.
    pub would_miss_objective: bool,
}

/// The most work that may be lost to make room for an array's task, as a share of the work of
/// that task.
const MAX_LOST_WORK_SHARE: f64 = 0.5;

impl Victim<'_> {
    /// Whether the task may be preempted for a task of `spec`. Only tasks of a lower priority
    /// may. For an array, besides, the task's job must not miss its objective by it, and the lost
    /// work must not exceed half of the work of the task that gets the room.
    fn may_be_preempted_for(&self, spec: &JobSpec) -> bool {
        let is_cheap = || self.cost <= spec.cores * spec.estimated_run_s * MAX_LOST_WORK_SHARE;
        self.spec.priority < spec.priority
            && (spec.kind == JobKind::Service || !self.would_miss_objective && is_cheap())
    }
}

/// Tasks to preempt on one machine.
struct VictimSet<'a> {
    /// Lost work and, where the new task's image must be fetched, the cores that wait for it,
    /// in CPU seconds.
    cost: f64,
    victims: Vec<Victim<'a>>,
}

/// Selects the tasks to preempt so that a task of `spec` fits on a machine that holds its image
/// within `within_s` seconds, in a zone where the job may have one more task. Of all machines
/// the one where the preemption costs least is chosen. Only tasks of a lower priority are
/// preempted, and only for a service may another job miss its objective by it. `zones` are the
/// job's tasks by zone. Returns the index of the machine and the tasks to preempt there.
pub fn preempt<'a>(
    spec: &JobSpec,
    within_s: f64,
    zones: &BTreeMap<String, u32>,
    capacities: &[(MachineCapacity, Vec<Victim<'a>>)],
) -> Option<(usize, Vec<Victim<'a>>)> {
    let mut best: Option<(usize, VictimSet)> = None;
    for (index, (capacity, victims)) in capacities.iter().enumerate() {
        let allowed = capacity.allowed(spec) && zone_capacity(spec, spec.task_count, zones, &capacity.zone) > 0;
        if !allowed || !capacity.starts_within(spec, within_s) {
            continue;
        }
        if let Some(set) = cheapest_victims(spec, capacity, victims)
            && best.as_ref().is_none_or(|(_, best)| set.cost < best.cost)
        {
            best = Some((index, set));
        }
    }
    best.map(|(index, set)| (index, set.victims))
}

/// Selects tasks to preempt on this machine, lowest priority first and then lowest cost, until
/// a task of `spec` fits. `None` if it does not fit even then, or fits without any preemption.
fn cheapest_victims<'a>(spec: &JobSpec, capacity: &MachineCapacity, victims: &[Victim<'a>]) -> Option<VictimSet<'a>> {
    let mut candidates: Vec<&Victim> = victims.iter().filter(|victim| victim.may_be_preempted_for(spec)).collect();
    candidates.sort_by(|a, b| a.spec.priority.cmp(&b.spec.priority).then(a.cost.total_cmp(&b.cost)));
    // Cores that are taken while the image is fetched do no work: that counts as a cost, too.
    let fetch_cost = capacity.seconds_until_image(spec) * spec.cores;
    let mut capacity = capacity.clone();
    let mut victims: Vec<Victim> = Vec::new();
    for victim in candidates {
        if capacity.fitting_tasks(spec) > 0 {
            break;
        }
        capacity.release(victim.spec);
        victims.push(victim.clone());
    }
    if capacity.fitting_tasks(spec) == 0 || victims.is_empty() {
        return None;
    }
    let cost = victims.iter().map(|victim| victim.cost).sum::<f64>() + fetch_cost;
    Some(VictimSet { cost, victims })
}
