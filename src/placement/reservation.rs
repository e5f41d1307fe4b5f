//! Reservation of machines for jobs that found no room: other tasks do not start on them, so that
//! enough of them come free at the same time.
//!
//! Machines in a zone where the job could not use them are not reserved for it: all of them may
//! come free, and the job would still wait.

#![warn(missing_docs)]

use super::{MachineCapacity, WaitingJob, placeable_tasks, zone_capacity};
use crate::protocol::user::JobKind;
use std::collections::{BTreeMap, BTreeSet};

/// The share of the machines that may be reserved for waiting gangs.
const MAX_RESERVED_SHARE: f64 = 0.25;

/// Reserves machines that have room for tasks of a gang that still waits, until enough others
/// come free or boot. For a gang with zone affinity they are those of the zone with the most
/// such machines. Without a reservation other tasks would take them one by one, and the gang
/// would need several machines to come free at the same moment. The reserved share of the
/// fleet is limited ([`MAX_RESERVED_SHARE`]), so that gangs do not leave it idle.
pub(super) fn reserve_for_gang(capacities: &[MachineCapacity], gang: &WaitingJob, reserved: &mut BTreeSet<String>) {
    if gang.tasks.is_empty() {
        return;
    }
    let limit = ((capacities.len() as f64 * MAX_RESERVED_SHARE) as usize).saturating_sub(reserved.len());
    let has_room = |c: &&MachineCapacity| placeable_tasks(c, gang) > 0 && !reserved.contains(&c.machine);
    let found: Vec<&MachineCapacity> = capacities.iter().filter(has_room).collect();
    let usable = usable_together(found, gang, gang.tasks.len());
    reserved.extend(usable.iter().take(limit).map(|capacity| capacity.machine.clone()));
}

/// Reserves the machines with the most free cores among those that could hold a task of the job
/// if they were empty: one per waiting task of a gang, else one.
pub(super) fn reserve_emptiest(capacities: &[MachineCapacity], job: &WaitingJob, reserved: &mut BTreeSet<String>) {
    let count = if job.spec.kind == JobKind::Gang { job.tasks.len() } else { 1 };
    let is_suitable = |c: &&MachineCapacity| {
        c.could_hold(job.spec) && job.zone_capacity(&c.zone) > 0 && !reserved.contains(&c.machine)
    };
    let mut suitable: Vec<&MachineCapacity> = capacities.iter().filter(is_suitable).collect();
    suitable.sort_by(|a, b| b.cores.total_cmp(&a.cores).then(a.machine.cmp(&b.machine)));
    let usable = usable_together(suitable, job, count);
    reserved.extend(usable.iter().map(|capacity| capacity.machine.clone()));
}

/// The first `count` of the machines, one for each task, that the job can use at the same time
/// under its rule on zones. With zone affinity they are those of the zone with the most machines.
fn usable_together<'a>(machines: Vec<&'a MachineCapacity>, job: &WaitingJob, count: usize) -> Vec<&'a MachineCapacity> {
    if job.spec.zone_affinity {
        let mut by_zone: BTreeMap<&str, Vec<&MachineCapacity>> = BTreeMap::new();
        for capacity in machines {
            by_zone.entry(&capacity.zone).or_default().push(capacity);
        }
        let mut largest = by_zone.into_values().max_by_key(Vec::len).unwrap_or_default();
        largest.truncate(count);
        return largest;
    }
    let mut tasks_by_zone = job.tasks_by_zone.clone();
    let mut usable = Vec::new();
    for capacity in machines {
        if usable.len() == count {
            break;
        }
        if zone_capacity(job.spec, job.spec.task_count, &tasks_by_zone, &capacity.zone) > 0 {
            *tasks_by_zone.entry(capacity.zone.clone()).or_default() += 1;
            usable.push(capacity);
        }
    }
    usable
}
