//! Scaling out: what is wanted beyond the machines that are there, and its rentals.

use super::*;
use crate::placement::MachineCapacity;
use crate::protocol::cloud::{Phase, RENT, RENT_LIMIT, RentRequest, RentResponse};
use crate::protocol::{decode, encode};
use crate::scaling::{Offer, Rental, take_up, wanted_rentals};
use records::MachineGroupRecord;

/// A rental is waited for during so many heartbeat intervals.
const RENT_TIMEOUT_INTERVALS: f64 = 2.0;

impl Controller {
    /// Free room that is there or on its way.
    pub(in crate::controller) fn expected_capacities(&self, counted: Counted) -> Vec<MachineCapacity> {
        let mut capacities: Vec<MachineCapacity> =
            self.capacities_counting(true, counted).into_iter().map(|(_, r)| r).collect();
        let coming = |name: &str| !self.is_up(name) && !self.releases.is_released(name) && !self.fell_silent(name);
        for (name, l) in self.cloud.machines() {
            if matches!(l.phase, Phase::Booting | Phase::Running)
                && coming(name)
                && let Some(t) = self.machine_type(&l.machine_type)
            {
                capacities.push(MachineCapacity::empty(name, t, &l.zone, l.spot));
            }
        }
        for (name, r) in &self.autoscaler.rented {
            let newly_rented = self.now.saturating_sub(r.at) < self.secs(self.late_s(&r.offer.machine_type).min(1e6));
            if newly_rented
                && coming(name)
                && !self.cloud.machines().contains_key(name)
                && let Some(t) = self.machine_type(&r.offer.machine_type)
            {
                capacities.push(MachineCapacity::empty(name, t, &r.offer.zone, r.offer.spot));
            }
        }
        // What may use spot machines counts on those first.
        capacities.sort_by_key(|r| !r.spot);
        capacities
    }

    /// Rents machines for what does not fit in those that are there or on their way.
    pub(super) fn rent(&mut self) {
        if self.autoscaler.requests_in_flight > 0 || !self.may_call_cloud(Retry::Rent) {
            return;
        }
        for mut rental in self.wanted_rentals().into_iter().flat_map(split_into_requests) {
            rental.number -= self.keep_draining(&rental);
            if rental.number == 0 {
                continue;
            }
            if !self.may_call_cloud(Retry::Rent) {
                return;
            }
            self.request_rental(rental);
        }
    }

    /// Rentals for all demand, as many as the cloud's rate limit allows.
    fn wanted_rentals(&self) -> Vec<Rental> {
        let unavailable: BTreeSet<Offer> = self.autoscaler.unavailable.keys().cloned().collect();
        let mut for_arrays = self.expected_capacities(Counted::All);
        let FleetDemand { services, arrays } = self.demand(&for_arrays);
        let most = RENT_LIMIT * (self.cloud.available_requests(self.now) as u32).max(1);
        let for_services = self.expected_capacities(Counted::Lasting);
        let types = self.cloud.catalog();
        let mut rentals = wanted_rentals(&services, for_services, types, &unavailable, most);
        // What stands free for arrays is not known before the fleet is.
        let arrays = if self.startup.fleet_known() { arrays } else { Vec::new() };
        let left = most - rentals.iter().map(|r| r.number).sum::<u32>().min(most);
        take_up(&services, &mut for_arrays);
        rentals.extend(wanted_rentals(&arrays, for_arrays, types, &unavailable, left));
        rentals
    }

    /// Machines that are being drained are the quickest to have: takes back the mark of as
    /// many as are wanted. How many there were.
    fn keep_draining(&mut self, rental: &Rental) -> u32 {
        let mut kept = 0;
        while kept < rental.number && self.may_write(1.0) {
            let Some((group, mut names)) = self.draining(&rental.offer) else { break };
            names.truncate((rental.number - kept) as usize);
            if !self.mark_drain(&group, &names, false) {
                break;
            }
            kept += names.len() as u32;
        }
        kept
    }

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
        let purpose = Purpose::Rent { offer: rental.offer, number: rental.number };
        self.call(Target::Cloud, "POST", RENT.into(), Some(body), timeout, purpose);
    }

    /// Machines of a kind, in one machine group, that are being drained and not released yet.
    fn draining(&self, offer: &Offer) -> Option<(String, Vec<String>)> {
        let campaign = |m: &String| self.state.maintenance.as_ref().is_some_and(|u| u.rec.wave.contains(m));
        let same = |p: &MachineGroupRecord| {
            p.machine_type == offer.machine_type && p.zone == offer.zone && p.spot == offer.spot
        };
        let mut machine_groups = self
            .state
            .machine_groups
            .iter()
            .filter(|(_, p)| !p.rec.drain.is_empty() && same(&p.rec) && self.state.held(p));
        machine_groups.find_map(|(group, p)| {
            let kept: Vec<String> =
                p.rec.drain.iter().filter(|m| self.state.placed.contains_key(*m) && !campaign(m)).cloned().collect();
            let free = !self.transactions.is_locked(&records::machine_group_key(group));
            (free && !kept.is_empty()).then(|| (group.clone(), kept))
        })
    }

    /// The cloud's answer to a rental.
    pub(in crate::controller) fn rent_answer(&mut self, offer: Offer, number: u32, result: Result<Reply, NoAnswer>) {
        self.autoscaler.requests_in_flight = self.autoscaler.requests_in_flight.saturating_sub(1);
        let Ok(reply) = result else { return };
        let unavailable_until = self.now + self.secs(self.config.settings.workers.lease_s);
        match reply.status {
            200 => {
                let names = decode::<RentResponse>(&reply.body).map(|body| body.machines).unwrap_or_default();
                if (names.len() as u32) < number {
                    // Filled in part: there are no more for now.
                    self.autoscaler.mark_unavailable(offer.clone(), unavailable_until);
                }
                self.add_rented(offer, names);
            }
            503 => self.autoscaler.mark_unavailable(offer, unavailable_until),
            _ => {}
        }
    }

    fn add_rented(&mut self, offer: Offer, names: Vec<String>) {
        tracing::info!(machine_type = %offer.machine_type, zone = %offer.zone, spot = offer.spot, machines = names.len(), "machines rented");
        if names.len() as f64 >= self.transactions.write_rate() * GROUP_FROM {
            self.autoscaler.unrecorded.push_back((offer.clone(), names.clone()));
            self.enrol_rentals();
        }
        if self.beginning() {
            // The others hear of it before one of them is up.
            self.update_newly_provisioned(&names);
            self.connectivity.hasten_heartbeat(self.now);
        }
        for name in names {
            self.autoscaler.rented.insert(name, Rented { offer: offer.clone(), at: self.now });
        }
    }

    /// A later list may be an older one, so a rental is remembered until its machine
    /// reports or is given up.
    pub(in crate::controller) fn forget_rentals_that_came_up(&mut self) {
        let mut rented = std::mem::take(&mut self.autoscaler.rented);
        rented.retain(|name, rental| {
            let age_s = self.now.saturating_sub(rental.at).as_secs_f64();
            !self.is_up(name) && age_s < self.late_s(&rental.offer.machine_type)
        });
        self.autoscaler.rented = rented;
    }
}

/// One request asks for so many machines at most.
fn split_into_requests(rental: Rental) -> impl Iterator<Item = Rental> {
    let requests = rental.number.div_ceil(RENT_LIMIT);
    let number = rental.number;
    (0..requests).map(move |i| Rental { number: (number - i * RENT_LIMIT).min(RENT_LIMIT), ..rental.clone() })
}
