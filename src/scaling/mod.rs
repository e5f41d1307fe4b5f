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
mod tests {
    use super::*;

    fn types() -> Vec<MachineType> {
        vec![MachineType {
            name: "std".into(),
            cores: 4.0,
            gpus: 0.0,
            mem_gb: 16.0,
            disk_gb: 60.0,
            pull_gb_per_s: 1.0,
            on_demand_price: 0.4,
            spot_price: 0.1,
            startup_s: 30.0,
            zones: vec!["a".into()],
        }]
    }

    fn rentals(demand: Demand, capacities: Vec<MachineCapacity>, unavailable: &[bool]) -> Vec<(bool, u32)> {
        let offer = |spot| Offer { machine_type: "std".into(), zone: "a".into(), spot };
        let unavailable = unavailable.iter().map(|spot| offer(*spot)).collect();
        plan_rentals(&[demand], capacities, &types(), &unavailable, 50)
            .iter()
            .map(|r| (r.offer.spot, r.number))
            .collect()
    }

    /// Guards against renting the same machines again at every check, which happens if the
    /// capacity of booting machines does not count.
    #[test]
    fn machines_are_rented_only_for_demand_that_does_not_fit() {
        // Headroom may be for more tasks than the job has.
        let spec = JobSpec::example("run-1");
        let demand = |tasks| Demand { tasks, ..Demand::headroom(&spec, tasks) };
        let booting = || vec![MachineCapacity::empty("m", &types()[0], "a", true)];
        assert_eq!(rentals(demand(4), booting(), &[]), vec![]);
        assert_eq!(rentals(demand(9), booting(), &[]), vec![(true, 2)]);
        assert_eq!(rentals(demand(9), booting(), &[true]), vec![(false, 2)]);
    }

    #[test]
    fn spot_only_demand_gets_on_demand_machines_only_if_its_job_may_not_use_spot() {
        let (spot_allowed, mut on_demand) = (JobSpec::example("run-1"), JobSpec::example("run-2"));
        on_demand.spot_allowed = false;
        fn spot_only(spec: &JobSpec) -> Demand<'_> {
            Demand { spot_only: true, ..Demand::headroom(spec, 2) }
        }
        assert_eq!(rentals(spot_only(&spot_allowed), vec![], &[true]), vec![]);
        assert_eq!(rentals(spot_only(&on_demand), vec![], &[true]), vec![(false, 1)]);
    }

    /// Guards against a service with zone anti-affinity that waits for ever with half of its
    /// replicas up: the zone that looked cheapest had capacity for all of them, and this
    /// counted although they may not use it. Machines must come from another zone.
    #[test]
    fn capacity_in_the_wrong_zone_does_not_count() {
        let mut types = types();
        types[0].zones = ["a", "b", "c"].map(String::from).to_vec();
        let capacity = |zone: &str| MachineCapacity::empty("m", &types[0], zone, false);
        let mut spec = JobSpec::example("run-1");
        spec.cores = 2.0;
        spec.task_count = 4;
        spec.zone_anti_affinity = true;
        let demand = || Demand {
            zone_limit_tasks: 4,
            tasks_by_zone: BTreeMap::from([("a".into(), 2)]),
            ..Demand::headroom(&spec, 2)
        };
        let rented = |demand: Demand, capacities: Vec<MachineCapacity>| -> Vec<(String, u32)> {
            let rentals = plan_rentals(&[demand], capacities, &types, &BTreeSet::new(), 50);
            rentals.into_iter().map(|rental| (rental.offer.zone, rental.number)).collect()
        };
        assert_eq!(rented(demand(), vec![capacity("a"), capacity("a"), capacity("b")]), []);
        // Among zones of the same price, the one with the fewest machines is chosen.
        assert_eq!(rented(demand(), vec![capacity("a"), capacity("a")]), [("b".to_string(), 1)]);
        spec.zone_anti_affinity = false;
        spec.zone_affinity = true;
        spec.cores = 4.0;
        let gang = || Demand::headroom(&spec, 2);
        assert_eq!(rented(gang(), vec![capacity("a"), capacity("b"), capacity("b")]), []);
        let rentals = rented(gang(), vec![capacity("a"), capacity("b")]);
        assert_eq!(rentals.iter().map(|(_, number)| number).sum::<u32>(), 1);
    }

    /// Guards against declaring machines that are partitioned for 20 s lost after 15 s, upon
    /// which their tasks waited 40 s and more for their images elsewhere. With small images,
    /// 15 s is still right.
    #[test]
    fn machines_are_declared_lost_later_if_images_take_long_to_fetch() {
        assert_eq!(declared_lost_after_s(5.0, 2.5, 18.0), 5.0);
        assert_eq!(declared_lost_after_s(15.0, 50.0, 28.0), 25.0);
        assert_eq!(declared_lost_after_s(15.0, 500.0, 28.0), 28.0);
        assert_eq!(declared_lost_after_s(30.0, 500.0, 28.0), 30.0);
    }

    /// Guards against counting machines that boot for services as capacity for gangs as well:
    /// gangs then got no machines of their own until the services had started.
    #[test]
    fn capacity_reserved_for_services_does_not_count_for_others() {
        let spec = JobSpec::example("run-1");
        let demand = |is_headroom| Demand { is_headroom, ..Demand::headroom(&spec, 3) };
        let mut capacities = vec![MachineCapacity::empty("m", &types()[0], "a", false)];
        reserve_for_waiting(&[demand(true)], &mut capacities);
        assert_eq!(capacities[0].cores, 4.0);
        reserve_for_waiting(&[demand(false)], &mut capacities);
        assert_eq!(capacities[0].cores, 1.0);
    }
}
