//! Scaling out: rents machines for the demand that does not fit in the machines that are
//! up or expected.

#![warn(missing_docs)]

use super::*;
use crate::placement::MachineCapacity;
use crate::protocol::cloud::{MACHINES_PATH, MAX_MACHINES_PER_RENT, Phase, RentRequest, RentResponse};
use crate::protocol::{decode, encode};
use crate::scaling::{Offer, Rental, plan_rentals, reserve_for_waiting};
use records::MachineGroupRecord;

/// Timeout of a rental request, in heartbeat intervals.
const RENT_TIMEOUT_INTERVALS: f64 = 2.0;

impl Controller {
    /// Free capacity of all machines that are up, booting or just rented, spot machines first.
    pub(in crate::controller) fn expected_capacities(&self, counted: CountedTasks) -> Vec<MachineCapacity> {
        let mut capacities: Vec<MachineCapacity> =
            self.capacities_counting(true, counted).into_iter().map(|(_, capacity)| capacity).collect();
        let expected = |name: &str| !self.is_up(name) && !self.releases.is_released(name) && !self.fell_silent(name);
        for (name, listed) in self.cloud.machines() {
            if matches!(listed.phase, Phase::Booting | Phase::Running)
                && expected(name)
                && let Some(machine_type) = self.machine_type(&listed.machine_type)
            {
                capacities.push(MachineCapacity::empty(name, machine_type, &listed.zone, listed.spot));
            }
        }
        for (name, rented) in &self.autoscaler.rented {
            let boot_limit = self.secs(self.boot_limit_s(&rented.offer.machine_type));
            let newly_rented = self.now.saturating_sub(rented.rented_at) < boot_limit;
            if newly_rented
                && expected(name)
                && !self.cloud.machines().contains_key(name)
                && let Some(machine_type) = self.machine_type(&rented.offer.machine_type)
            {
                let Offer { zone, spot, .. } = &rented.offer;
                capacities.push(MachineCapacity::empty(name, machine_type, zone, *spot));
            }
        }
        // Tasks that may use spot machines are assigned to those first.
        capacities.sort_by_key(|capacity| !capacity.spot);
        capacities
    }

    /// Rents machines for the demand that does not fit in the expected capacity.
    pub(super) fn rent_machines(&mut self) {
        if self.autoscaler.requests_in_flight > 0 || !self.may_call_cloud(RetryPurpose::Rent) {
            return;
        }
        for mut rental in self.wanted_rentals().into_iter().flat_map(split_into_requests) {
            rental.number -= self.cancel_drains(&rental);
            if rental.number == 0 {
                continue;
            }
            if !self.may_call_cloud(RetryPurpose::Rent) {
                return;
            }
            self.request_rental(rental);
        }
    }

    /// Rentals for all demand, up to what the cloud's rate limit allows now.
    fn wanted_rentals(&self) -> Vec<Rental> {
        let unavailable: BTreeSet<Offer> = self.autoscaler.unavailable.keys().cloned().collect();
        let mut for_others = self.expected_capacities(CountedTasks::All);
        let FleetDemand { services, others } = self.demand(&for_others);
        let max_machines =
            MAX_MACHINES_PER_RENT.saturating_mul((self.cloud.available_requests(self.now) as u32).max(1));
        let for_services = self.expected_capacities(CountedTasks::ExceptArrays);
        let types = self.cloud.catalog();
        let mut rentals = plan_rentals(&services, for_services, types, &unavailable, max_machines);
        // The free capacity for other jobs is known only once the fleet is.
        let others = if self.startup.fleet_known() { others } else { Vec::new() };
        let planned = rentals.iter().map(|rental| rental.number).sum::<u32>();
        let machines_left = max_machines - planned.min(max_machines);
        reserve_for_waiting(&services, &mut for_others);
        rentals.extend(plan_rentals(&others, for_others, types, &unavailable, machines_left));
        rentals
    }

    /// Cancels the drain of as many machines of the rental's offer as are wanted, since this
    /// is quicker than renting new ones. Returns for how many this was possible.
    fn cancel_drains(&mut self, rental: &Rental) -> u32 {
        let mut kept = 0;
        while kept < rental.number && self.may_write(1.0) {
            let Some((group, mut names)) = self.draining_machines(&rental.offer) else { break };
            names.truncate((rental.number - kept) as usize);
            if !self.set_drain(&group, &names, false) {
                break;
            }
            kept += names.len() as u32;
        }
        kept
    }

    /// Sends a rental request to the cloud.
    fn request_rental(&mut self, rental: Rental) {
        self.cloud.charge_request(self.now);
        self.autoscaler.requests_in_flight += 1;
        let request_id = format!("fq-{}-{}", self.term(), self.leadership.next_request());
        let body = encode(&RentRequest {
            request_id: request_id.as_str().into(),
            machine_type: rental.offer.machine_type.as_str().into(),
            zone: rental.offer.zone.as_str().into(),
            spot: rental.offer.spot,
            number: rental.number,
        });
        let timeout = self.heartbeat_intervals(RENT_TIMEOUT_INTERVALS);
        let purpose = CallPurpose::Rent { offer: rental.offer, number: rental.number, requested_at: self.now };
        self.call(Target::Cloud, "POST", MACHINES_PATH.into(), Some(body), timeout, purpose);
    }

    /// A machine group with draining machines of the offer that are not released yet, and
    /// these machines. Machines of a campaign's wave are left out.
    fn draining_machines(&self, offer: &Offer) -> Option<(String, Vec<String>)> {
        let in_campaign =
            |name: &String| self.state.maintenance.as_ref().is_some_and(|stored| stored.rec.wave.contains(name));
        let same_offer = |group: &MachineGroupRecord| {
            group.machine_type == offer.machine_type && group.zone == offer.zone && group.spot == offer.spot
        };
        let mut machine_groups = self.state.machine_groups.iter().filter(|(_, stored)| {
            !stored.rec.draining.is_empty() && same_offer(&stored.rec) && self.state.is_group_held(stored)
        });
        machine_groups.find_map(|(group, stored)| {
            let draining = stored.rec.draining.iter();
            let kept: Vec<String> = draining
                .filter(|name| self.state.placed_tasks.contains_key(*name) && !in_campaign(name))
                .cloned()
                .collect();
            let unlocked = !self.transactions.is_locked(&records::machine_group_key(group));
            (unlocked && !kept.is_empty()).then(|| (group.clone(), kept))
        })
    }

    /// Handles the cloud's answer to a rental request, or the lack of one. It tells what the cloud
    /// had when the request was sent: this process may have been suspended since.
    pub(in crate::controller) fn handle_rent_answer(
        &mut self,
        offer: Offer,
        number: u32,
        requested_at: Instant,
        result: Result<Reply, NoAnswer>,
    ) {
        self.autoscaler.requests_in_flight = self.autoscaler.requests_in_flight.saturating_sub(1);
        let Ok(reply) = result else { return };
        let unavailable_until = requested_at + self.secs(self.config.deployment.workers.lease_s);
        match reply.status {
            200 => {
                let names = decode::<RentResponse>(&reply.body).map(|body| body.machines).unwrap_or_default();
                if (names.len() as u32) < number {
                    // The request was filled only in part: the cloud has no more for now.
                    self.autoscaler.mark_unavailable(offer.clone(), unavailable_until);
                }
                self.add_rented(offer, names, requested_at);
            }
            503 => self.autoscaler.mark_unavailable(offer, unavailable_until),
            _ => {}
        }
    }

    /// Adds machines that the cloud has rented out to this controller, as of the time of the request.
    fn add_rented(&mut self, offer: Offer, names: Vec<String>, rented_at: Instant) {
        tracing::info!(machine_type = %offer.machine_type, zone = %offer.zone, spot = offer.spot, machines = names.len(), "machines rented");
        if names.len() as f64 >= self.transactions.write_rate() * GROUP_RECORD_MIN_FRACTION {
            self.autoscaler.unrecorded.push_back((offer.clone(), names.clone()));
            self.register_rented_machines();
        }
        if self.is_cluster_bootstrapping() {
            // The other controllers have to know of these machines before one of them is up.
            self.update_newly_provisioned(&names);
            self.connectivity.hasten_heartbeat(self.now);
        }
        for name in names {
            self.autoscaler.rented.insert(name, RentedMachine { offer: offer.clone(), rented_at });
        }
    }

    /// Forgets the rentals whose machines are up or have exceeded their boot limit. A rental
    /// is not forgotten when the cloud lists its machine, because a list that is read later
    /// may show an older state.
    pub(in crate::controller) fn forget_finished_rentals(&mut self) {
        let mut rented = std::mem::take(&mut self.autoscaler.rented);
        rented.retain(|name, rental| {
            let age_s = self.now.saturating_sub(rental.rented_at).as_secs_f64();
            !self.is_up(name) && age_s < self.boot_limit_s(&rental.offer.machine_type)
        });
        self.autoscaler.rented = rented;
    }
}

/// Splits a rental into requests of at most `MAX_MACHINES_PER_RENT` machines each.
fn split_into_requests(rental: Rental) -> impl Iterator<Item = Rental> {
    let requests = rental.number.div_ceil(MAX_MACHINES_PER_RENT);
    let number = rental.number;
    (0..requests).map(move |index| Rental {
        number: (number - index * MAX_MACHINES_PER_RENT).min(MAX_MACHINES_PER_RENT),
        ..rental.clone()
    })
}
