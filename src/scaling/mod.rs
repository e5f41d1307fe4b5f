//! Which machines to rent: pure functions over bookkeeping.

use crate::placement::{MachineCapacity, zone_capacity};
use crate::protocol::cloud::MachineType;
use crate::protocol::user::JobSpec;
use std::collections::{BTreeMap, BTreeSet};

/// A silent machine is not given up before this part of the time that the
/// images of its tasks would take to come elsewhere.
const RESTART_SHARE: f64 = 0.5;

/// Tasks that have, or may soon have, nowhere to run.
#[derive(Debug)]
pub struct Demand<'a> {
    pub spec: &'a JobSpec,
    pub tasks: u32,
    /// Rather wait than pay for ordinary machines where spot ones would do.
    pub spot_only: bool,
    /// The job's tasks per zone that are, or may still be, on machines. Where
    /// its tasks must be apart or together, room in the wrong zone is none.
    pub zones: BTreeMap<String, u32>,
    /// Tasks that the limits per zone count: the job's, or those of the room
    /// to spare.
    pub of: u32,
    /// Room to spare, not tasks that wait.
    pub spare: bool,
}

impl<'a> Demand<'a> {
    /// Room to spare for some tasks like the job's, in the zones as if they
    /// were a job of their own.
    pub fn spare(spec: &'a JobSpec, tasks: u32) -> Demand<'a> {
        Demand { spec, tasks, spot_only: false, zones: BTreeMap::new(), of: tasks, spare: true }
    }

    fn capacity_in(&self, zones: &BTreeMap<String, u32>, zone: &str) -> u32 {
        zone_capacity(self.spec, self.of, zones, zone)
    }
}

/// A type, zone and kind of machine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offer {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rental {
    pub offer: Offer,
    pub number: u32,
}

/// After how long a silent machine is given up. One that was only cut off goes
/// on if it comes back within its lease; if it was given up, its tasks wait
/// elsewhere for their images, `image_s`. Where that is long, it is given up
/// later than at the ordinary `limit_s`, at the end of its lease at the latest.
pub fn declared_lost_after_s(limit_s: f64, image_s: f64, lease_s: f64) -> f64 {
    limit_s.max((image_s * RESTART_SHARE).min(lease_s))
}

/// Whether everything in demand fits in the rooms; takes them up.
pub fn fits(demand: &[Demand], capacities: &mut [MachineCapacity]) -> bool {
    demand.iter().all(|d| absorb(d, capacities).0 == 0)
}

/// Takes up the room that those tasks will use which wait already.
pub fn take_up(demand: &[Demand], capacities: &mut [MachineCapacity]) {
    for d in demand.iter().filter(|d| !d.spare) {
        absorb(d, capacities);
    }
}

/// First-fit of one demand; what is left over, and its tasks per zone then.
fn absorb(d: &Demand, capacities: &mut [MachineCapacity]) -> (u32, BTreeMap<String, u32>) {
    let mut left = d.tasks;
    let mut zones = d.zones.clone();
    if d.spec.zone_affinity && zones.is_empty() {
        // The zone that can hold most of it.
        let mut by_zone: BTreeMap<&str, u32> = BTreeMap::new();
        for r in capacities.iter() {
            *by_zone.entry(&r.zone).or_default() += r.fits(d.spec).min(left);
        }
        if let Some((zone, _)) = by_zone.iter().filter(|z| *z.1 > 0).max_by_key(|z| *z.1) {
            zones.insert(zone.to_string(), 0);
        }
    }
    for capacity in capacities.iter_mut() {
        let n = capacity.fits(d.spec).min(left);
        if n == 0 || (d.spec.zone_affinity && zones.keys().any(|z| *z != capacity.zone)) {
            continue;
        }
        let n = n.min(d.capacity_in(&zones, &capacity.zone));
        capacity.take(d.spec, n);
        *zones.entry(capacity.zone.clone()).or_default() += n;
        left -= n;
        if left == 0 {
            break;
        }
    }
    (left, zones)
}

/// The cheapest rentals for what does not fit in `capacities`, which hold the free
/// room of machines that are up and all of those that boot.
pub fn wanted_rentals(
    demand: &[Demand],
    mut capacities: Vec<MachineCapacity>,
    types: &[MachineType],
    refused: &BTreeSet<Offer>,
    most: u32,
) -> Vec<Rental> {
    let mut rentals: Vec<Rental> = Vec::new();
    let mut budget = most;
    let mut standing: BTreeMap<String, u32> = BTreeMap::new();
    for r in &capacities {
        *standing.entry(r.zone.clone()).or_default() += 1;
    }
    for d in demand {
        let (mut left, mut zones) = absorb(d, &mut capacities);
        while left > 0 && budget > 0 {
            let Some((offer, t, each)) = cheapest(d, left, types, refused, &zones, &standing) else {
                break;
            };
            let here = left.min(d.capacity_in(&zones, &offer.zone));
            let number = here.div_ceil(each).min(budget);
            budget -= number;
            for _ in 0..number {
                let mut capacity = MachineCapacity::empty("", t, &offer.zone, offer.spot);
                let n = capacity.fits(d.spec).min(left).min(d.capacity_in(&zones, &offer.zone));
                capacity.take(d.spec, n);
                *zones.entry(offer.zone.clone()).or_default() += n;
                left -= n;
                capacities.push(capacity);
            }
            *standing.entry(offer.zone.clone()).or_default() += number;
            match rentals.iter_mut().find(|r| r.offer == offer) {
                Some(r) => r.number += number,
                None => rentals.push(Rental { offer, number }),
            }
        }
    }
    rentals
}

/// The offer with the lowest price for the tasks it would really hold; among
/// equals the zone with the fewest machines, so that what fails in one zone
/// takes no more than its part.
fn cheapest<'a>(
    d: &Demand,
    left: u32,
    types: &'a [MachineType],
    refused: &BTreeSet<Offer>,
    zones: &BTreeMap<String, u32>,
    standing: &BTreeMap<String, u32>,
) -> Option<(Offer, &'a MachineType, u32)> {
    let mut best: Option<((f64, u32), Offer, &MachineType, u32)> = None;
    for t in types {
        for zone in &t.zones {
            let here = left.min(d.capacity_in(zones, zone));
            if here == 0 || (d.spec.zone_affinity && zones.keys().any(|z| z != zone)) {
                continue;
            }
            for spot in [true, false] {
                let offer = Offer { machine_type: t.label.clone(), zone: zone.clone(), spot };
                let each = MachineCapacity::empty("", t, zone, spot).fits(d.spec);
                if d.spot_only && d.spec.spot_allowed && !spot {
                    continue;
                }
                if each == 0 || refused.contains(&offer) {
                    continue;
                }
                let price = if spot { t.spot_price } else { t.on_demand_price };
                let cost = price * f64::from(here.div_ceil(each)) / f64::from(here);
                let order = (cost, standing.get(zone).copied().unwrap_or(0));
                if best.as_ref().is_none_or(|b| order < b.0) {
                    best = Some((order, offer, t, each));
                }
            }
        }
    }
    best.map(|(_, offer, t, each)| (offer, t, each))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn types() -> Vec<MachineType> {
        vec![MachineType {
            label: "std".into(),
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

    fn rentals(d: Demand, capacities: Vec<MachineCapacity>, refused: &[bool]) -> Vec<(bool, u32)> {
        let offer = |spot| Offer { machine_type: "std".into(), zone: "a".into(), spot };
        let refused = refused.iter().map(|s| offer(*s)).collect();
        wanted_rentals(&[d], capacities, &types(), &refused, 50).iter().map(|r| (r.offer.spot, r.number)).collect()
    }

    /// Room that boots must count, or each look rents the same machines again.
    #[test]
    fn only_what_does_not_fit_is_rented() {
        // Room to spare is asked for more tasks than the job at hand has.
        let s = JobSpec::example("run-1");
        let d = |tasks| Demand { tasks, ..Demand::spare(&s, tasks) };
        let boots = || vec![MachineCapacity::empty("m", &types()[0], "a", true)];
        assert_eq!(rentals(d(4), boots(), &[]), vec![]);
        assert_eq!(rentals(d(9), boots(), &[]), vec![(true, 2)]);
        assert_eq!(rentals(d(9), boots(), &[true]), vec![(false, 2)]);
    }

    #[test]
    fn cost_saving_waits_where_spot_would_do_and_pays_where_it_may_not() {
        let (any, mut ordinary) = (JobSpec::example("run-1"), JobSpec::example("run-2"));
        ordinary.spot_allowed = false;
        fn spot_only(spec: &JobSpec) -> Demand<'_> {
            Demand { spot_only: true, ..Demand::spare(spec, 2) }
        }
        assert_eq!(rentals(spot_only(&any), vec![], &[true]), vec![]);
        assert_eq!(rentals(spot_only(&ordinary), vec![], &[true]), vec![(false, 1)]);
    }

    /// Services whose replicas must be apart waited for ever, half of them up,
    /// while the one zone that looked cheapest had room for all: that room is
    /// none for them, and the next machines come from another zone.
    #[test]
    fn capacity_in_the_wrong_zone_does_not_count() {
        let mut types = types();
        types[0].zones = ["a", "b", "c"].map(String::from).to_vec();
        let capacity = |zone: &str| MachineCapacity::empty("m", &types[0], zone, false);
        let mut s = JobSpec::example("run-1");
        s.cores = 2.0;
        s.task_count = 4;
        s.zone_anti_affinity = true;
        let d = Demand { of: 4, zones: BTreeMap::from([("a".into(), 2)]), ..Demand::spare(&s, 2) };
        let zones = |d: Demand, capacities: Vec<MachineCapacity>| -> Vec<(String, u32)> {
            let rentals = wanted_rentals(&[d], capacities, &types, &BTreeSet::new(), 50);
            rentals.into_iter().map(|r| (r.offer.zone, r.number)).collect()
        };
        assert_eq!(zones(d, vec![capacity("a"), capacity("a"), capacity("b")]), []);
        let d = Demand { of: 4, zones: BTreeMap::from([("a".into(), 2)]), ..Demand::spare(&s, 2) };
        // Not where most machines are already.
        assert_eq!(zones(d, vec![capacity("a"), capacity("a")]), [("b".to_string(), 1)]);
        s.zone_anti_affinity = false;
        s.zone_affinity = true;
        s.cores = 4.0;
        let gang = || Demand::spare(&s, 2);
        assert_eq!(zones(gang(), vec![capacity("a"), capacity("b"), capacity("b")]), []);
        assert_eq!(zones(gang(), vec![capacity("a"), capacity("b")]).iter().map(|r| r.1).sum::<u32>(), 1);
    }

    /// Machines cut off for 20 s were given up after 15 s, and their tasks waited
    /// 40 s and more for images elsewhere; with small images that is still right.
    #[test]
    fn machines_are_given_up_later_where_images_take_long() {
        assert_eq!(declared_lost_after_s(5.0, 2.5, 18.0), 5.0);
        assert_eq!(declared_lost_after_s(15.0, 50.0, 28.0), 25.0);
        assert_eq!(declared_lost_after_s(15.0, 500.0, 28.0), 28.0);
        assert_eq!(declared_lost_after_s(30.0, 500.0, 28.0), 30.0);
    }

    /// Machines that boot for services were room for gangs as well, which
    /// therefore got none of their own until the services had taken it.
    #[test]
    fn capacity_that_services_will_take_does_not_count_for_others() {
        let s = JobSpec::example("run-1");
        let d = |spare| Demand { spare, ..Demand::spare(&s, 3) };
        let mut capacities = vec![MachineCapacity::empty("m", &types()[0], "a", false)];
        take_up(&[d(true)], &mut capacities);
        assert_eq!(capacities[0].cores, 4.0);
        take_up(&[d(false)], &mut capacities);
        assert_eq!(capacities[0].cores, 1.0);
    }
}
