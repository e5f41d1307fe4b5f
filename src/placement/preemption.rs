//! Which running tasks are preempted so that a task of a higher priority can start.

use super::{MachineCapacity, zone_capacity};
use crate::protocol::user::{JobKind, JobSpec};
use std::collections::BTreeMap;

/// A running task that could be preempted.
#[derive(Debug, Clone)]
pub struct Victim<'a> {
    pub uid: String,
    pub index: u32,
    pub attempt: u64,
    pub spec: &'a JobSpec,
    /// Work that is lost with it, in CPU seconds.
    pub cost: f64,
    /// Its job meets its objective if the task runs on, and would miss it otherwise.
    pub keeps: bool,
}

/// The most work that may be lost for an array's task, as a part of that task's own work.
const MAX_LOSS_FOR_ARRAYS: f64 = 0.5;

impl Victim<'_> {
    /// Whether the task may be preempted for one of `spec`. Arrays must not cost a job its
    /// objective, nor more work than half of what they make room for.
    fn may_be_preempted_for(&self, spec: &JobSpec) -> bool {
        let cheap = || self.cost <= spec.cores * spec.estimated_run_s * MAX_LOSS_FOR_ARRAYS;
        self.spec.priority < spec.priority && (spec.kind == JobKind::Service || !self.keeps && cheap())
    }
}

/// Victims on one machine, and what their preemption costs in CPU seconds.
struct Choice<'a> {
    cost: f64,
    victims: Vec<Victim<'a>>,
}

/// Which tasks to preempt so that one of `spec` fits on a machine where it starts within
/// `within_s` seconds, in a zone where the job may have it: the set that loses the least work.
/// Only tasks of lower priority are preempted; one job's objective is not met at the cost of
/// another's, unless a service waits. Returns the index of the machine, and the tasks.
pub fn preempt<'a>(
    spec: &JobSpec,
    within_s: f64,
    zones: &BTreeMap<String, u32>,
    capacities: &[(MachineCapacity, Vec<Victim<'a>>)],
) -> Option<(usize, Vec<Victim<'a>>)> {
    let mut best: Option<(usize, Choice)> = None;
    for (at, (capacity, victims)) in capacities.iter().enumerate() {
        let allowed = capacity.allowed(spec) && zone_capacity(spec, spec.task_count, zones, &capacity.zone) > 0;
        if !allowed || !capacity.starts_within(spec, within_s) {
            continue;
        }
        if let Some(choice) = choose_victims(spec, capacity, victims)
            && best.as_ref().is_none_or(|(_, best)| choice.cost < best.cost)
        {
            best = Some((at, choice));
        }
    }
    best.map(|(at, choice)| (at, choice.victims))
}

/// The victims on this machine, lowest priority and lowest cost first, until the task fits.
/// `None` if it does not fit then, or fits already.
fn choose_victims<'a>(spec: &JobSpec, capacity: &MachineCapacity, victims: &[Victim<'a>]) -> Option<Choice<'a>> {
    let mut candidates: Vec<&Victim> = victims.iter().filter(|v| v.may_be_preempted_for(spec)).collect();
    candidates.sort_by(|a, b| a.spec.priority.cmp(&b.spec.priority).then(a.cost.total_cmp(&b.cost)));
    // An image on the machine is worth the work lost while it would be fetched.
    let fetch_cost = capacity.image_s(spec) * spec.cores;
    let mut capacity = capacity.clone();
    let mut victims: Vec<Victim> = Vec::new();
    for victim in candidates {
        if capacity.fits(spec) > 0 {
            break;
        }
        capacity.put_back(victim.spec);
        victims.push(victim.clone());
    }
    if capacity.fits(spec) == 0 || victims.is_empty() {
        return None;
    }
    let cost = victims.iter().map(|v| v.cost).sum::<f64>() + fetch_cost;
    Some(Choice { cost, victims })
}
