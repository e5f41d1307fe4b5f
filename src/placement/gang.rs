//! Placement of gangs: either all tasks of a gang are placed, or none.

#![warn(missing_docs)]

use super::{MachineCapacity, Start, WaitingJob, placeable_tasks, start_tasks, zone_capacity};
use std::collections::BTreeSet;

/// A machine on which tasks of the gang could be placed.
struct Candidate<'a> {
    /// Index of the machine in the list of all capacities.
    machine: usize,
    /// Zone of the machine.
    zone: &'a str,
    /// Number of the gang's tasks that fit there.
    tasks: u32,
    /// Seconds until the machine holds the gang's image.
    seconds_until_image: f64,
    /// Free capacity of the machine, as a number of cores.
    free_cores: f64,
}

/// A placement of all tasks of the gang.
struct GangPlacement {
    /// Seconds until the last machine holds the image, which the whole gang waits for.
    seconds_until_image: f64,
    /// Machines, by index, with the number of tasks placed on each.
    tasks_by_machine: Vec<(usize, u32)>,
}

/// Places all tasks of a gang, or none. Machines that hold the image soonest come first, since
/// the whole gang waits for its last fetch; among equal ones, the fullest.
pub(super) fn place_gang(
    capacities: &mut [MachineCapacity],
    gang: &mut WaitingJob,
    reserved: &BTreeSet<String>,
    starts: &mut Vec<Start>,
) {
    let best = best_placement(capacities, gang, reserved);
    for (machine, tasks) in best.map_or(Vec::new(), |placement| placement.tasks_by_machine) {
        start_tasks(&mut capacities[machine], gang, tasks, starts);
    }
}

/// The placement that lets the gang start soonest. A gang with zone affinity is tried in each
/// zone separately; of equally good zones the first by name is chosen.
fn best_placement(
    capacities: &[MachineCapacity],
    gang: &WaitingJob,
    reserved: &BTreeSet<String>,
) -> Option<GangPlacement> {
    let candidates = candidates(capacities, gang, reserved);
    if !gang.spec.zone_affinity {
        return place_on(candidates.iter(), gang);
    }
    let zones: BTreeSet<&str> = capacities.iter().map(|capacity| capacity.zone.as_str()).collect();
    let mut best: Option<GangPlacement> = None;
    for zone in zones {
        if let Some(placement) = place_on(candidates.iter().filter(|c| c.zone == zone), gang)
            && best.as_ref().is_none_or(|best| placement.seconds_until_image < best.seconds_until_image)
        {
            best = Some(placement);
        }
    }
    best
}

/// The unreserved machines with room for tasks of the gang, in order of preference.
fn candidates<'a>(
    capacities: &'a [MachineCapacity],
    gang: &WaitingJob,
    reserved: &BTreeSet<String>,
) -> Vec<Candidate<'a>> {
    let unreserved = capacities.iter().enumerate().filter(|(_, capacity)| !reserved.contains(&capacity.machine));
    let mut candidates: Vec<Candidate> = unreserved
        .map(|(machine, capacity)| Candidate {
            machine,
            zone: &capacity.zone,
            tasks: placeable_tasks(capacity, gang),
            seconds_until_image: capacity.seconds_until_image(gang.spec),
            free_cores: capacity.free_cores(),
        })
        .filter(|candidate| candidate.tasks > 0)
        .collect();
    // The sort is stable: equal machines keep their order.
    candidates.sort_by(|a, b| {
        a.seconds_until_image.total_cmp(&b.seconds_until_image).then(a.free_cores.total_cmp(&b.free_cores))
    });
    candidates
}

/// Places all tasks of the gang on these machines, in this order. `None` if they do not all
/// fit.
fn place_on<'a>(candidates: impl Iterator<Item = &'a Candidate<'a>>, gang: &WaitingJob) -> Option<GangPlacement> {
    let mut left = gang.tasks.len() as u32;
    let mut zones = gang.tasks_by_zone.clone();
    let mut placement = GangPlacement { seconds_until_image: 0.0, tasks_by_machine: Vec::new() };
    for candidate in candidates {
        if left == 0 {
            break;
        }
        let in_zone = zone_capacity(gang.spec, gang.spec.task_count, &zones, candidate.zone);
        let tasks = candidate.tasks.min(left).min(in_zone);
        if tasks > 0 {
            *zones.entry(candidate.zone.to_string()).or_default() += tasks;
            left -= tasks;
            placement.seconds_until_image = placement.seconds_until_image.max(candidate.seconds_until_image);
            placement.tasks_by_machine.push((candidate.machine, tasks));
        }
    }
    (left == 0).then_some(placement)
}
