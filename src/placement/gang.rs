//! Gangs: all tasks of one are placed together, or none.

use super::{MachineCapacity, Start, Waiting, able, start, zone_capacity};
use std::collections::{BTreeMap, BTreeSet};

/// Waiting gangs reserve at most this part of the machines.
const MAX_RESERVED: f64 = 0.25;

/// A machine on which tasks of the gang could be placed.
struct Candidate<'a> {
    /// Its index among all machines.
    machine: usize,
    zone: &'a str,
    /// Tasks that it has room for.
    tasks: u32,
    /// Seconds until it holds the gang's image.
    image_s: f64,
    free_cores: f64,
}

/// A placement of all tasks of the gang.
struct GangPlacement {
    /// Seconds until the last machine holds the image: the whole gang waits for it.
    image_s: f64,
    /// Index of each machine, and the number of tasks there.
    tasks_by_machine: Vec<(usize, u32)>,
}

/// Places all tasks of a gang, or none: first where the image is, as the whole gang waits for
/// the last fetch; else on the fullest machines.
pub(super) fn place_gang(
    capacities: &mut [MachineCapacity],
    gang: &mut Waiting,
    reserved: &BTreeSet<String>,
    starts: &mut Vec<Start>,
) {
    let best = best_placement(capacities, gang, reserved);
    for (machine, tasks) in best.map_or(Vec::new(), |placement| placement.tasks_by_machine) {
        start(&mut capacities[machine], gang, tasks, starts);
    }
}

/// The placement in which the gang starts first. A gang with zone affinity is tried in each
/// zone by itself; of equal ones the first zone by name counts.
fn best_placement(
    capacities: &[MachineCapacity],
    gang: &Waiting,
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
            && best.as_ref().is_none_or(|best| placement.image_s < best.image_s)
        {
            best = Some(placement);
        }
    }
    best
}

/// The machines with room for tasks of the gang, in the order in which they are used.
fn candidates<'a>(
    capacities: &'a [MachineCapacity],
    gang: &Waiting,
    reserved: &BTreeSet<String>,
) -> Vec<Candidate<'a>> {
    let unreserved = capacities.iter().enumerate().filter(|(_, capacity)| !reserved.contains(&capacity.machine));
    let mut candidates: Vec<Candidate> = unreserved
        .map(|(machine, capacity)| Candidate {
            machine,
            zone: &capacity.zone,
            tasks: able(capacity, gang),
            image_s: capacity.image_s(gang.spec),
            free_cores: capacity.free_cores(),
        })
        .filter(|candidate| candidate.tasks > 0)
        .collect();
    // A stable sort: equal machines stay in their order.
    candidates.sort_by(|a, b| a.image_s.total_cmp(&b.image_s).then(a.free_cores.total_cmp(&b.free_cores)));
    candidates
}

/// All tasks of the gang on these machines, in this order, or `None` if they do not fit.
fn place_on<'a>(candidates: impl Iterator<Item = &'a Candidate<'a>>, gang: &Waiting) -> Option<GangPlacement> {
    let mut left = gang.tasks.len() as u32;
    let mut zones = gang.zones.clone();
    let mut placement = GangPlacement { image_s: 0.0, tasks_by_machine: Vec::new() };
    for candidate in candidates {
        if left == 0 {
            break;
        }
        let in_zone = zone_capacity(gang.spec, gang.spec.task_count, &zones, candidate.zone);
        let tasks = candidate.tasks.min(left).min(in_zone);
        if tasks > 0 {
            *zones.entry(candidate.zone.to_string()).or_default() += tasks;
            left -= tasks;
            placement.image_s = placement.image_s.max(candidate.image_s);
            placement.tasks_by_machine.push((candidate.machine, tasks));
        }
    }
    (left == 0).then_some(placement)
}

/// Reserves the machines that a waiting gang found, in the zone where it found most, until
/// the others come free or up. Otherwise other tasks take them one by one, and the gang waits
/// for several machines to be free at the same moment. Only so many machines are reserved at a
/// time (see [`MAX_RESERVED`]), so that gangs do not leave a fleet idle.
pub(super) fn reserve_for_gang(capacities: &[MachineCapacity], gang: &Waiting, reserved: &mut BTreeSet<String>) {
    if gang.tasks.is_empty() {
        return;
    }
    let limit = ((capacities.len() as f64 * MAX_RESERVED) as usize).saturating_sub(reserved.len());
    let mut by_zone: BTreeMap<&str, Vec<&MachineCapacity>> = BTreeMap::new();
    for capacity in capacities.iter().filter(|c| able(c, gang) > 0 && !reserved.contains(&c.machine)) {
        let zone = if gang.spec.zone_affinity { capacity.zone.as_str() } else { "" };
        by_zone.entry(zone).or_default().push(capacity);
    }
    let found = by_zone.into_values().max_by_key(|found| found.len()).unwrap_or_default();
    let machines = found.iter().map(|capacity| capacity.machine.clone());
    reserved.extend(machines.take(limit.min(gang.tasks.len())));
}
