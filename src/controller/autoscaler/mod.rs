//! The autoscaler, which runs on the leader. It rents machines for demand that the fleet
//! cannot hold, and releases machines that never came up or have been idle for long.

#![warn(missing_docs)]

mod demand;
mod free_cores;
mod scale_in;
mod scale_out;

use super::registration::GROUP_RECORD_MIN_FRACTION;
use super::*;
use crate::scaling::Offer;
use demand::FleetDemand;
use free_cores::FreeCoresHistory;

/// Longest interval between two checks of the fleet, in lags of the cloud's machine list.
const CHECK_INTERVAL_LAGS: f64 = 0.1;
/// Longest interval between two checks of the fleet, in heartbeat intervals.
const CHECK_INTERVAL_HEARTBEATS: f64 = 0.25;

/// State of the autoscaler: rentals, and observations of the fleet kept between two checks.
#[derive(Debug, Default)]
pub(super) struct Autoscaler {
    /// Rented machines that are not known to be up yet, by name.
    rented: BTreeMap<String, RentedMachine>,
    /// Machines rented while the cluster was starting for the first time, either by this
    /// controller or, as the leader reports, by the leader.
    newly_provisioned: BTreeSet<String>,
    /// Large rentals whose machines are still to be recorded, each rental as a whole.
    unrecorded: VecDeque<(Offer, Vec<String>)>,
    /// Number of rental requests that the cloud has not answered yet.
    requests_in_flight: u32,
    /// Offers of which the cloud had no machine left, and until when they are not requested again.
    unavailable: BTreeMap<Offer, Instant>,
    /// When each recorded machine was last known to be up.
    last_up_at: HashMap<String, Instant>,
    /// Recorded machines that are not up, and since when this has been so.
    unseen_since: HashMap<String, Instant>,
    /// Free cores of the fleet at each check.
    free_cores: FreeCoresHistory,
    /// When tasks of arrays or gangs were last seen waiting.
    batch_waited_at: Option<Instant>,
    /// When the next check of the fleet is due.
    next_check_at: Instant,
}

impl Autoscaler {
    /// Machines rented while the cluster was starting for the first time.
    pub(super) fn newly_provisioned(&self) -> &BTreeSet<String> {
        &self.newly_provisioned
    }

    /// Adds machines rented while the cluster is starting for the first time.
    pub(super) fn add_newly_provisioned(&mut self, machines: &[String]) {
        self.newly_provisioned.extend(machines.iter().cloned());
    }

    /// Forgets the newly provisioned machines once the cluster has started: a machine that
    /// comes up from then on is recorded as rented anyway.
    pub(super) fn clear_newly_provisioned(&mut self) {
        self.newly_provisioned.clear();
    }

    /// Whether a large rental is still to be recorded.
    pub(super) fn has_unrecorded_rentals(&self) -> bool {
        !self.unrecorded.is_empty()
    }

    /// Takes the next large rental to record from the queue.
    pub(super) fn pop_unrecorded_rental(&mut self) -> Option<(Offer, Vec<String>)> {
        self.unrecorded.pop_front()
    }

    /// Removes a machine that was released from the rentals.
    pub(super) fn forget_rental(&mut self, machine: &str) {
        self.rented.remove(machine);
    }

    /// Marks an offer as unavailable: no machine of it is requested before `until`.
    fn mark_unavailable(&mut self, offer: Offer, until: Instant) {
        self.unavailable.insert(offer, until);
    }
}

impl Controller {
    /// Checks the fleet when this is due: releases machines that never came up, rents
    /// machines for the demand that does not fit, and marks idle machines as draining.
    pub(super) fn scale_fleet(&mut self) {
        let now = self.now;
        if now < self.autoscaler.next_check_at {
            return;
        }
        let lag = self.secs(self.config.deployment.cloud.list_lag_s * CHECK_INTERVAL_LAGS);
        self.autoscaler.next_check_at = now + self.heartbeat_intervals(CHECK_INTERVAL_HEARTBEATS).min(lag);
        self.read_machine_list();
        self.store_catalog();
        if !self.cloud.has_list() || self.cloud.catalog().is_empty() {
            return;
        }
        self.autoscaler.unavailable.retain(|_, until| *until > now);
        self.update_up_times();
        // A machine counts as failed only once every worker has had time to report.
        if self.startup.all_agents_had_time() {
            self.release_failed_machines();
        }
        self.rent_machines();
        if self.startup.fleet_known() {
            self.drain_idle_machines();
        }
    }
}
