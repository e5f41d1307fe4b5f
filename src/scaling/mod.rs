//! Planning of rentals: which machines to rent for a given demand. The functions here are
//! pure; demand, free capacity and the cloud's offers are passed in.

#![warn(missing_docs)]

use crate::placement::{MachineCapacity, zone_capacity};
use crate::protocol::cloud::MachineType;
use crate::protocol::user::JobSpec;
use std::collections::{BTreeMap, BTreeSet};

/// A silent machine is not declared lost before this share of the time that fetching the
/// images of its tasks elsewhere would take.
const REFETCH_SHARE: f64 = 0.5;

/// Tasks of one job that have, or may soon have, no machine to run on.
#[derive(Debug)]
pub struct Demand<'a> {
    /// The job's specification.
    pub spec: &'a JobSpec,
    /// The number of tasks to find capacity for.
    pub tasks: u32,
    /// If the job may use spot machines, its tasks wait for one rather than get an on-demand
    /// machine.
    pub spot_only: bool,
    /// The number of the job's tasks that are, or may still be, on machines, by zone. If the
    /// job has zone affinity or anti-affinity, capacity in a wrong zone does not count.
    pub tasks_by_zone: BTreeMap<String, u32>,
    /// The total number of tasks from which the limits per zone follow: those of the job, or
    /// for headroom those of the headroom.
    pub zone_limit_tasks: u32,
    /// Whether this is headroom rather than waiting tasks.
    pub is_headroom: bool,
}

impl<'a> Demand<'a> {
    /// Headroom for this many tasks like the job's, spread over zones as if they were a job
    /// of their own.
    pub fn headroom(spec: &'a JobSpec, tasks: u32) -> Demand<'a> {
        Demand {
            spec,
            tasks,
            spot_only: false,
            tasks_by_zone: BTreeMap::new(),
            zone_limit_tasks: tasks,
            is_headroom: true,
        }
    }

    /// How many more tasks may be in this zone, given those in each zone.
    fn capacity_in(&self, tasks_by_zone: &BTreeMap<String, u32>, zone: &str) -> u32 {
        zone_capacity(self.spec, self.zone_limit_tasks, tasks_by_zone, zone)
    }
}

/// A kind of machine that the cloud rents out.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offer {
    /// The label of the machine type.
    pub machine_type: String,
    /// The zone of the machine.
    pub zone: String,
    /// Whether it is a spot machine, which the cloud may take back, rather than on-demand.
    pub spot: bool,
}

/// A number of machines to rent of one offer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rental {
    /// The kind of machine.
    pub offer: Offer,
    /// How many machines of it to rent.
    pub number: u32,
}

/// The time after which a silent machine is declared lost. A machine that was only
/// partitioned continues its tasks if it comes back within its lease. If it was declared
/// lost before, its tasks start elsewhere, where fetching their images takes `seconds_until_image`.
/// So if that is long, the machine is declared lost later than after the usual `limit_s`,
/// but at the end of its lease at the latest unless `limit_s` is longer.
pub fn declared_lost_after_s(limit_s: f64, seconds_until_image: f64, lease_s: f64) -> f64 {
    limit_s.max((seconds_until_image * REFETCH_SHARE).min(lease_s))
}

/// Whether all the demand fits in these capacities, which are reduced by what it uses. Stops
/// at the first demand that does not fit.
pub fn all_fit(demand: &[Demand], capacities: &mut [MachineCapacity]) -> bool {
    demand.iter().all(|one| assign_first_fit(one, capacities).0 == 0)
}

/// Reduces these capacities by what the waiting tasks in the demand will use. Headroom
/// reserves nothing.
pub fn reserve_for_waiting(demand: &[Demand], capacities: &mut [MachineCapacity]) {
    for waiting in demand.iter().filter(|one| !one.is_headroom) {
        assign_first_fit(waiting, capacities);
    }
}

/// Assigns the tasks of one demand to capacities by first fit. Returns the number of tasks
/// that did not fit, and the number of tasks by zone after the assignment.
fn assign_first_fit(demand: &Demand, capacities: &mut [MachineCapacity]) -> (u32, BTreeMap<String, u32>) {
    let spec = demand.spec;
    let mut left = demand.tasks;
    let mut tasks_by_zone = demand.tasks_by_zone.clone();
    if spec.zone_affinity && tasks_by_zone.is_empty() {
        // The zone that can hold most of the tasks is chosen.
        let mut fitting_by_zone: BTreeMap<&str, u32> = BTreeMap::new();
        for capacity in capacities.iter() {
            *fitting_by_zone.entry(&capacity.zone).or_default() += capacity.fitting_tasks(spec).min(left);
        }
        let fitting = fitting_by_zone.iter().filter(|(_, tasks)| **tasks > 0);
        if let Some((zone, _)) = fitting.max_by_key(|(_, tasks)| **tasks) {
            tasks_by_zone.insert(zone.to_string(), 0);
        }
    }
    for capacity in capacities.iter_mut() {
        let fitting = capacity.fitting_tasks(spec).min(left);
        if fitting == 0 || (spec.zone_affinity && tasks_by_zone.keys().any(|zone| *zone != capacity.zone)) {
            continue;
        }
        let assigned = fitting.min(demand.capacity_in(&tasks_by_zone, &capacity.zone));
        capacity.take(spec, assigned);
        *tasks_by_zone.entry(capacity.zone.clone()).or_default() += assigned;
        left -= assigned;
        if left == 0 {
            break;
        }
    }
    (left, tasks_by_zone)
}

/// Plans the cheapest rentals for the demand that does not fit in `capacities`, with at most
/// `max_machines` machines and none of the `unavailable` offers. `capacities` holds the free
/// capacity of machines that are up and the whole capacity of machines that are booting.
pub fn plan_rentals(
    demand: &[Demand],
    mut capacities: Vec<MachineCapacity>,
    types: &[MachineType],
    unavailable: &BTreeSet<Offer>,
    max_machines: u32,
) -> Vec<Rental> {
    let mut rentals: Vec<Rental> = Vec::new();
    let mut machines_left = max_machines;
    let mut machines_by_zone: BTreeMap<String, u32> = BTreeMap::new();
    for capacity in &capacities {
        *machines_by_zone.entry(capacity.zone.clone()).or_default() += 1;
    }
    for one in demand {
        let (mut left, mut tasks_by_zone) = assign_first_fit(one, &mut capacities);
        while left > 0 && machines_left > 0 {
            let Some((offer, machine_type, tasks_per_machine)) =
                cheapest_offer(one, left, types, unavailable, &tasks_by_zone, &machines_by_zone)
            else {
                break;
            };
            let tasks_in_zone = left.min(one.capacity_in(&tasks_by_zone, &offer.zone));
            let number = tasks_in_zone.div_ceil(tasks_per_machine).min(machines_left);
            machines_left -= number;
            for _ in 0..number {
                let mut capacity = MachineCapacity::empty("", machine_type, &offer.zone, offer.spot);
                let allowed = one.capacity_in(&tasks_by_zone, &offer.zone);
                let assigned = capacity.fitting_tasks(one.spec).min(left).min(allowed);
                capacity.take(one.spec, assigned);
                *tasks_by_zone.entry(offer.zone.clone()).or_default() += assigned;
                left -= assigned;
                capacities.push(capacity);
            }
            *machines_by_zone.entry(offer.zone.clone()).or_default() += number;
            match rentals.iter_mut().find(|rental| rental.offer == offer) {
                Some(rental) => rental.number += number,
                None => rentals.push(Rental { offer, number }),
            }
        }
    }
    rentals
}

/// The offer with the lowest price per task that it would really hold, with its machine type
/// and the number of tasks per machine. Among equals, the offer in the zone with the fewest
/// machines is taken, so that the failure of a zone affects no more than its share.
fn cheapest_offer<'a>(
    demand: &Demand,
    left: u32,
    types: &'a [MachineType],
    unavailable: &BTreeSet<Offer>,
    tasks_by_zone: &BTreeMap<String, u32>,
    machines_by_zone: &BTreeMap<String, u32>,
) -> Option<(Offer, &'a MachineType, u32)> {
    let spec = demand.spec;
    let mut best: Option<((f64, u32), Offer, &MachineType, u32)> = None;
    for machine_type in types {
        for zone in &machine_type.zones {
            let tasks_in_zone = left.min(demand.capacity_in(tasks_by_zone, zone));
            if tasks_in_zone == 0 || (spec.zone_affinity && tasks_by_zone.keys().any(|other| other != zone)) {
                continue;
            }
            for spot in [true, false] {
                let offer = Offer { machine_type: machine_type.name.clone(), zone: zone.clone(), spot };
                let tasks_per_machine = MachineCapacity::empty("", machine_type, zone, spot).fitting_tasks(spec);
                if demand.spot_only && spec.spot_allowed && !spot {
                    continue;
                }
                if tasks_per_machine == 0 || unavailable.contains(&offer) {
                    continue;
                }
                let price = if spot { machine_type.spot_price } else { machine_type.on_demand_price };
                let cost = price * f64::from(tasks_in_zone.div_ceil(tasks_per_machine)) / f64::from(tasks_in_zone);
                let order = (cost, machines_by_zone.get(zone).copied().unwrap_or(0));
                if best.as_ref().is_none_or(|(best_order, ..)| order < *best_order) {
                    best = Some((order, offer, machine_type, tasks_per_machine));
                }
            }
        }
    }
    best.map(|(_, offer, machine_type, tasks_per_machine)| (offer, machine_type, tasks_per_machine))
}

#[cfg(test)]
mod tests;
