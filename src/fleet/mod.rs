//! Which machines to rent: pure functions over bookkeeping.

use crate::placement::{Room, zone_room};
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
    pub thrifty: bool,
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
        Demand { spec, tasks, thrifty: false, zones: BTreeMap::new(), of: tasks, spare: true }
    }

    fn room_in(&self, zones: &BTreeMap<String, u32>, site: &str) -> u32 {
        zone_room(self.spec, self.of, zones, site)
    }
}

/// A type, zone and kind of machine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offer {
    pub build: String,
    pub site: String,
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
pub fn given_up_after_s(limit_s: f64, image_s: f64, lease_s: f64) -> f64 {
    limit_s.max((image_s * RESTART_SHARE).min(lease_s))
}

/// Whether everything in demand fits in the rooms; takes them up.
pub fn fits(demand: &[Demand], rooms: &mut [Room]) -> bool {
    demand.iter().all(|d| absorb(d, rooms).0 == 0)
}

/// Takes up the room that those tasks will use which wait already.
pub fn take_up(demand: &[Demand], rooms: &mut [Room]) {
    for d in demand.iter().filter(|d| !d.spare) {
        absorb(d, rooms);
    }
}

/// First-fit of one demand; what is left over, and its tasks per zone then.
fn absorb(d: &Demand, rooms: &mut [Room]) -> (u32, BTreeMap<String, u32>) {
    let mut left = d.tasks;
    let mut zones = d.zones.clone();
    if d.spec.together && zones.is_empty() {
        // The zone that can hold most of it.
        let mut by_zone: BTreeMap<&str, u32> = BTreeMap::new();
        for r in rooms.iter() {
            *by_zone.entry(&r.site).or_default() += r.fits(d.spec).min(left);
        }
        if let Some((site, _)) = by_zone.iter().filter(|z| *z.1 > 0).max_by_key(|z| *z.1) {
            zones.insert(site.to_string(), 0);
        }
    }
    for room in rooms.iter_mut() {
        let n = room.fits(d.spec).min(left);
        if n == 0 || (d.spec.together && zones.keys().any(|z| *z != room.site)) {
            continue;
        }
        let n = n.min(d.room_in(&zones, &room.site));
        room.take(d.spec, n);
        *zones.entry(room.site.clone()).or_default() += n;
        left -= n;
        if left == 0 {
            break;
        }
    }
    (left, zones)
}

/// The cheapest rentals for what does not fit in `rooms`, which hold the free
/// room of machines that are up and all of those that boot.
pub fn wanted_rentals(
    demand: &[Demand],
    mut rooms: Vec<Room>,
    types: &[MachineType],
    refused: &BTreeSet<Offer>,
    most: u32,
) -> Vec<Rental> {
    let mut rentals: Vec<Rental> = Vec::new();
    let mut budget = most;
    let mut standing: BTreeMap<String, u32> = BTreeMap::new();
    for r in &rooms {
        *standing.entry(r.site.clone()).or_default() += 1;
    }
    for d in demand {
        let (mut left, mut zones) = absorb(d, &mut rooms);
        while left > 0 && budget > 0 {
            let Some((offer, t, each)) = cheapest(d, left, types, refused, &zones, &standing) else {
                break;
            };
            let here = left.min(d.room_in(&zones, &offer.site));
            let number = here.div_ceil(each).min(budget);
            budget -= number;
            for _ in 0..number {
                let mut room = Room::empty("", t, &offer.site, offer.spot);
                let n = room.fits(d.spec).min(left).min(d.room_in(&zones, &offer.site));
                room.take(d.spec, n);
                *zones.entry(offer.site.clone()).or_default() += n;
                left -= n;
                rooms.push(room);
            }
            *standing.entry(offer.site.clone()).or_default() += number;
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
        for site in &t.sites {
            let here = left.min(d.room_in(zones, site));
            if here == 0 || (d.spec.together && zones.keys().any(|z| z != site)) {
                continue;
            }
            for spot in [true, false] {
                let offer = Offer { build: t.label.clone(), site: site.clone(), spot };
                let each = Room::empty("", t, site, spot).fits(d.spec);
                if d.thrifty && d.spec.loaners && !spot {
                    continue;
                }
                if each == 0 || refused.contains(&offer) {
                    continue;
                }
                let price = if spot { t.spot_price } else { t.hourly };
                let cost = price * f64::from(here.div_ceil(each)) / f64::from(here);
                let order = (cost, standing.get(site).copied().unwrap_or(0));
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
            local_gb: 60.0,
            pull_gb_per_s: 1.0,
            hourly: 0.4,
            spot_price: 0.1,
            startup_s: 30.0,
            sites: vec!["a".into()],
        }]
    }

    fn rentals(d: Demand, rooms: Vec<Room>, refused: &[bool]) -> Vec<(bool, u32)> {
        let offer = |spot| Offer { build: "std".into(), site: "a".into(), spot };
        let refused = refused.iter().map(|s| offer(*s)).collect();
        wanted_rentals(&[d], rooms, &types(), &refused, 50).iter().map(|r| (r.offer.spot, r.number)).collect()
    }

    /// Room that boots must count, or each look rents the same machines again.
    #[test]
    fn only_what_does_not_fit_is_rented() {
        // Room to spare is asked for more tasks than the job at hand has.
        let s = JobSpec::example("run-1");
        let d = |tasks| Demand { tasks, ..Demand::spare(&s, tasks) };
        let boots = || vec![Room::empty("m", &types()[0], "a", true)];
        assert_eq!(rentals(d(4), boots(), &[]), vec![]);
        assert_eq!(rentals(d(9), boots(), &[]), vec![(true, 2)]);
        assert_eq!(rentals(d(9), boots(), &[true]), vec![(false, 2)]);
    }

    #[test]
    fn thrift_waits_where_spot_would_do_and_pays_where_it_may_not() {
        let (any, mut ordinary) = (JobSpec::example("run-1"), JobSpec::example("run-2"));
        ordinary.loaners = false;
        fn thrifty(spec: &JobSpec) -> Demand<'_> {
            Demand { thrifty: true, ..Demand::spare(spec, 2) }
        }
        assert_eq!(rentals(thrifty(&any), vec![], &[true]), vec![]);
        assert_eq!(rentals(thrifty(&ordinary), vec![], &[true]), vec![(false, 1)]);
    }

    /// Services whose replicas must be apart waited for ever, half of them up,
    /// while the one zone that looked cheapest had room for all: that room is
    /// none for them, and the next machines come from another zone.
    #[test]
    fn room_in_the_wrong_zone_is_none() {
        let mut types = types();
        types[0].sites = ["a", "b", "c"].map(String::from).to_vec();
        let room = |site: &str| Room::empty("m", &types[0], site, false);
        let mut s = JobSpec::example("run-1");
        s.cores = 2.0;
        s.parcels = 4;
        s.apart = true;
        let d = Demand { of: 4, zones: BTreeMap::from([("a".into(), 2)]), ..Demand::spare(&s, 2) };
        let sites = |d: Demand, rooms: Vec<Room>| -> Vec<(String, u32)> {
            let rentals = wanted_rentals(&[d], rooms, &types, &BTreeSet::new(), 50);
            rentals.into_iter().map(|r| (r.offer.site, r.number)).collect()
        };
        assert_eq!(sites(d, vec![room("a"), room("a"), room("b")]), []);
        let d = Demand { of: 4, zones: BTreeMap::from([("a".into(), 2)]), ..Demand::spare(&s, 2) };
        // Not where most machines are already.
        assert_eq!(sites(d, vec![room("a"), room("a")]), [("b".to_string(), 1)]);
        s.apart = false;
        s.together = true;
        s.cores = 4.0;
        let gang = || Demand::spare(&s, 2);
        assert_eq!(sites(gang(), vec![room("a"), room("b"), room("b")]), []);
        assert_eq!(sites(gang(), vec![room("a"), room("b")]).iter().map(|r| r.1).sum::<u32>(), 1);
    }

    /// Machines cut off for 20 s were given up after 15 s, and their tasks waited
    /// 40 s and more for images elsewhere; with small images that is still right.
    #[test]
    fn machines_are_given_up_later_where_images_take_long() {
        assert_eq!(given_up_after_s(5.0, 2.5, 18.0), 5.0);
        assert_eq!(given_up_after_s(15.0, 50.0, 28.0), 25.0);
        assert_eq!(given_up_after_s(15.0, 500.0, 28.0), 28.0);
        assert_eq!(given_up_after_s(30.0, 500.0, 28.0), 30.0);
    }

    /// Machines that boot for services were room for gangs as well, which
    /// therefore got none of their own until the services had taken it.
    #[test]
    fn room_that_services_will_take_is_none_for_others() {
        let s = JobSpec::example("run-1");
        let d = |spare| Demand { spare, ..Demand::spare(&s, 3) };
        let mut rooms = vec![Room::empty("m", &types()[0], "a", false)];
        take_up(&[d(true)], &mut rooms);
        assert_eq!(rooms[0].cores, 4.0);
        take_up(&[d(false)], &mut rooms);
        assert_eq!(rooms[0].cores, 1.0);
    }
}
