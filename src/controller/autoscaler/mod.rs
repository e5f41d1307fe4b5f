//! The autoscaler, run by the leader: rents machines for what is wanted beyond those
//! that are there, and returns those that never came up or stood idle.

mod demand;
mod free_cores;
mod scale_in;
mod scale_out;

use super::registration::GROUP_FROM;
use super::*;
use crate::scaling::Offer;
use demand::FleetDemand;
use free_cores::FreeCoresHistory;

/// The fleet is looked at this often while the machine list grows old.
const FLEET_LAG_SHARE: f64 = 0.1;

/// Rentals, and what is remembered of the fleet between two looks at it.
#[derive(Debug, Default)]
pub(super) struct Autoscaler {
    /// Machines that were rented and are not known to be up.
    rented: BTreeMap<String, Rented>,
    /// Machines that were rented while the cluster began, by us or as the leader reports.
    newly_provisioned: BTreeSet<String>,
    /// Rentals whose machines shall be recorded together.
    unrecorded: VecDeque<(Offer, Vec<String>)>,
    /// Rental requests under way.
    requests_in_flight: u32,
    /// Offers that the cloud had none of, and until when they are not asked for.
    unavailable: BTreeMap<Offer, Instant>,
    /// When each recorded machine was last known to be up.
    up_at: HashMap<String, Instant>,
    /// Recorded machines that nobody hears, and since when.
    unseen_since: HashMap<String, Instant>,
    free_cores: FreeCoresHistory,
    /// When array tasks last waited.
    arrays_waited_at: Option<Instant>,
    check_next: Instant,
}

impl Autoscaler {
    /// Machines that were rented while the cluster began.
    pub(super) fn newly_provisioned(&self) -> &BTreeSet<String> {
        &self.newly_provisioned
    }

    /// These machines were rented while the cluster began.
    pub(super) fn add_newly_provisioned(&mut self, machines: &[String]) {
        self.newly_provisioned.extend(machines.iter().cloned());
    }

    /// The cluster has begun: what comes up from now on is recorded as rented anyway.
    pub(super) fn clear_newly_provisioned(&mut self) {
        self.newly_provisioned.clear();
    }

    /// Whether machines of a large rental wait to be recorded.
    pub(super) fn has_unrecorded(&self) -> bool {
        !self.unrecorded.is_empty()
    }

    /// The next large rental that is to be recorded.
    pub(super) fn pop_unrecorded(&mut self) -> Option<(Offer, Vec<String>)> {
        self.unrecorded.pop_front()
    }

    /// A rented machine was returned.
    pub(super) fn forget_rental(&mut self, machine: &str) {
        self.rented.remove(machine);
    }

    /// The cloud has no more machines of this offer until then.
    fn mark_unavailable(&mut self, offer: Offer, until: Instant) {
        self.unavailable.insert(offer, until);
    }
}

impl Controller {
    /// Looks at the fleet: returns what never came up, rents what is wanted, and marks
    /// idle machines for return.
    pub(super) fn scale_fleet(&mut self) {
        let now = self.now;
        if now < self.autoscaler.check_next {
            return;
        }
        let lag = self.secs(self.config.settings.cloud.list_lag_s * FLEET_LAG_SHARE);
        self.autoscaler.check_next = now + self.heartbeat_intervals(0.25).min(lag);
        self.read_machine_list();
        self.store_catalog();
        if !self.cloud.has_list() || self.cloud.catalog().is_empty() {
            return;
        }
        self.autoscaler.unavailable.retain(|_, until| *until > now);
        self.update_up_times();
        // A machine is known to have failed only once every worker had the time to come.
        if self.startup.all_came() {
            self.return_failed_machines();
        }
        self.rent();
        if self.startup.fleet_known() {
            self.return_idle();
        }
    }
}
