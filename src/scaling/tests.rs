//! Tests of the planning of rentals.

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
    plan_rentals(&[demand], capacities, &types(), &unavailable, 50).iter().map(|r| (r.offer.spot, r.number)).collect()
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
