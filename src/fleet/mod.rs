//! Which machines to rent: pure functions over bookkeeping.

use crate::placement::Room;
use crate::protocol::cloud::MachineType;
use crate::protocol::user::JobSpec;
use std::collections::BTreeSet;

/// Tasks that have, or may soon have, nowhere to run.
#[derive(Debug)]
pub struct Demand<'a> {
    pub spec: &'a JobSpec,
    pub tasks: u32,
    /// Rather wait than pay for ordinary machines where spot ones would do.
    pub thrifty: bool,
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

/// Whether everything in demand fits in the rooms; takes them up.
pub fn fits(demand: &[Demand], rooms: &mut [Room]) -> bool {
    demand.iter().all(|d| absorb(d, rooms) == 0)
}

/// First-fit of one demand; what is left over.
fn absorb(d: &Demand, rooms: &mut [Room]) -> u32 {
    let mut left = d.tasks;
    for room in rooms.iter_mut() {
        let n = room.fits(d.spec).min(left);
        room.take(d.spec, n);
        left -= n;
        if left == 0 {
            break;
        }
    }
    left
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
    for d in demand {
        let mut left = absorb(d, &mut rooms);
        while left > 0 && budget > 0 {
            let Some((offer, t, each)) = cheapest(d, left, types, refused) else {
                break;
            };
            let number = left.div_ceil(each).min(budget);
            budget -= number;
            for _ in 0..number {
                let mut room = Room::empty("", t, &offer.site, offer.spot);
                let n = room.fits(d.spec).min(left);
                room.take(d.spec, n);
                left -= n;
                rooms.push(room);
            }
            match rentals.iter_mut().find(|r| r.offer == offer) {
                Some(r) => r.number += number,
                None => rentals.push(Rental { offer, number }),
            }
        }
    }
    rentals
}

/// The offer with the lowest price for the tasks it would really hold.
fn cheapest<'a>(
    d: &Demand,
    left: u32,
    types: &'a [MachineType],
    refused: &BTreeSet<Offer>,
) -> Option<(Offer, &'a MachineType, u32)> {
    let mut best: Option<(f64, Offer, &MachineType, u32)> = None;
    for t in types {
        for site in &t.sites {
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
                let cost = price * f64::from(left.div_ceil(each));
                if best.as_ref().is_none_or(|b| cost < b.0) {
                    best = Some((cost, offer, t, each));
                }
            }
        }
    }
    best.map(|(_, offer, t, each)| (offer, t, each))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::protocol::user::tests::spec;

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
        let s = spec("run-1");
        let d = |tasks| Demand { spec: &s, tasks, thrifty: false };
        let boots = || vec![Room::empty("m", &types()[0], "a", true)];
        assert_eq!(rentals(d(4), boots(), &[]), vec![]);
        assert_eq!(rentals(d(9), boots(), &[]), vec![(true, 2)]);
        assert_eq!(rentals(d(9), boots(), &[true]), vec![(false, 2)]);
    }

    #[test]
    fn thrift_waits_where_spot_would_do_and_pays_where_it_may_not() {
        let (any, mut ordinary) = (spec("run-1"), spec("run-2"));
        ordinary.loaners = false;
        fn thrifty(spec: &JobSpec) -> Demand<'_> {
            Demand { spec, tasks: 2, thrifty: true }
        }
        assert_eq!(rentals(thrifty(&any), vec![], &[true]), vec![]);
        assert_eq!(rentals(thrifty(&ordinary), vec![], &[true]), vec![(false, 1)]);
    }
}
