//! Which controllers and machines reach each other, as far as this controller knows.
//!
//! The controllers send each other heartbeats. From these follows which controllers are cut
//! off from their machines, and which machines are cut off from their owner. Such diagnoses are
//! hints, and no safety rule rests on them. The exception is the confirmation that a replica
//! is current, which is proved in `connectivity::peer_table`.

mod heartbeats;
mod partitions;
mod probes;

use super::Controller;
use crate::connectivity::partition_diagnosis::{CutOffControllers, LivenessCount, OwnerReachability};
use crate::connectivity::peer_table::PeerTable;
use crate::effects::Instant;
use crate::protocol::peer::{Acknowledgement, PeerHeartbeat};
use std::collections::HashMap;
use std::time::Duration;

/// Which controllers and machines reach each other, as far as is known here.
#[derive(Debug)]
pub(super) struct Connectivity {
    /// The last heartbeats of the other controllers.
    peers: PeerTable,
    /// Whether heartbeats were received since the last diagnosis.
    received_since_diagnosis: bool,
    /// Controllers that are cut off from their machines.
    cut_off_controllers: CutOffControllers,
    /// Zones in which most of our machines were silent, and until when they count as cut off.
    zones_cut_off_until: HashMap<String, Instant>,
    /// Machines that contacted this controller though others own them, and when they did first.
    misdirected: HashMap<String, Instant>,
    /// The owner of each machine, with the grant as it became known here.
    ownership: HashMap<String, Ownership>,
    /// The version of the replica's machine records that `ownership` reflects.
    applied_records_version: Option<u64>,
    /// Machines that do not reach their owner, and since when that is known.
    unreached_since: HashMap<String, Instant>,
    /// Number of heartbeats sent.
    heartbeats_sent: usize,
    /// When the next heartbeat is due.
    next_heartbeat: Instant,
}

/// The grant of a machine, as it became known to this process.
#[derive(Debug)]
struct Ownership {
    /// Revision of the grant.
    granted_revision: u64,
    /// When the grant became known here.
    known_since: Instant,
    /// The controller that owns the machine by this grant.
    owner: String,
    /// The owner by the grant that was known before, if one was.
    previous_owner: Option<String>,
}

impl Connectivity {
    /// The state before anything is known of the other controllers.
    pub(super) fn new(peers: PeerTable) -> Connectivity {
        Connectivity {
            peers,
            received_since_diagnosis: false,
            cut_off_controllers: CutOffControllers::default(),
            zones_cut_off_until: HashMap::new(),
            misdirected: HashMap::new(),
            ownership: HashMap::new(),
            applied_records_version: None,
            unreached_since: HashMap::new(),
            heartbeats_sent: 0,
            next_heartbeat: Duration::ZERO,
        }
    }

    /// The last heartbeats of the other controllers.
    pub(super) fn peers(&self) -> &PeerTable {
        &self.peers
    }

    /// Records a heartbeat of another controller.
    pub(super) fn receive(&mut self, member: &str, heartbeat: &PeerHeartbeat, now: Instant) {
        self.peers.receive(member, heartbeat, now);
        self.received_since_diagnosis = true;
    }

    /// Whether a heartbeat is due now; if so, the next one is due after `interval`.
    pub(super) fn begin_heartbeat(&mut self, now: Instant, interval: Duration) -> bool {
        let due = now >= self.next_heartbeat;
        if due {
            self.next_heartbeat = now + interval;
        }
        due
    }

    /// Makes the next heartbeat due at this time at the latest.
    pub(super) fn hasten_heartbeat(&mut self, by: Instant) {
        self.next_heartbeat = self.next_heartbeat.min(by);
    }

    /// Numbers a heartbeat that is sent now, and returns what it acknowledges.
    fn number_heartbeat(&mut self, now: Instant) -> (u64, Vec<Acknowledgement>) {
        self.peers.send(now)
    }

    /// Whether the controller counts as cut off from its machines.
    pub(super) fn is_controller_cut_off(&self, member: &str, now: Instant) -> bool {
        self.cut_off_controllers.contains(member, now)
    }

    /// The controllers that count as cut off from their machines.
    pub(super) fn cut_off_controllers(&self, now: Instant) -> impl Iterator<Item = &str> {
        self.cut_off_controllers.names(now)
    }

    /// Records the diagnosis of a controller, and returns whether it is newly cut off from its
    /// machines.
    fn record_reachability(
        &mut self,
        member: &str,
        reachability: OwnerReachability,
        now: Instant,
        pause: Duration,
    ) -> bool {
        self.cut_off_controllers.record(member, reachability, now, pause)
    }

    /// Lets the zone count as cut off until this time.
    pub(super) fn mark_zone_cut_off(&mut self, zone: &str, until: Instant) {
        self.zones_cut_off_until.insert(zone.to_string(), until);
    }

    /// Whether most of our machines in the zone were silent recently.
    pub(super) fn is_zone_cut_off(&self, zone: &str, now: Instant) -> bool {
        self.zones_cut_off_until.get(zone).is_some_and(|until| *until > now)
    }

    /// Records that a machine of another controller contacted this one, and returns whether that
    /// is news. It is forgotten after `keep`.
    fn record_misdirected(&mut self, machine: &str, now: Instant, keep: Duration) -> bool {
        if self.misdirected.get(machine).is_some_and(|at| now.saturating_sub(*at) < keep) {
            return false;
        }
        self.misdirected.insert(machine.to_string(), now);
        true
    }

    /// Whether there is anything new to diagnose. Misdirected machines are forgotten after `keep`.
    fn begin_diagnosis(&mut self, now: Instant, keep: Duration) -> bool {
        self.misdirected.retain(|_, at| now.saturating_sub(*at) < keep);
        std::mem::take(&mut self.received_since_diagnosis) || !self.misdirected.is_empty()
    }
}

impl Controller {
    /// The controller to which agents are redirected while this one may not act or should not: one
    /// that removed us from the live controllers, or one that reaches the store if we do not.
    pub(super) fn better_connected_peer(&self) -> Option<String> {
        if self.is_replica_fresh() {
            return None;
        }
        let peers = self.connectivity.peers();
        let with_store_access =
            || peers.find_with_store_access(self.now, self.heartbeat_intervals(1.0)).filter(|_| !self.may_act());
        peers.find_that_removed_us(self.now).or_else(with_store_access).map(Into::into)
    }

    /// How long an agent that reaches only few of the controllers may take until it has tried
    /// them all.
    pub(super) fn full_retry_round(&self) -> Duration {
        let round_s = super::agents::CONTROLLER_SWITCH_S * self.config.controllers() as f64;
        self.secs(round_s.min(self.config.deployment.workers.lease_s)).max(self.heartbeat_intervals(3.0))
    }

    /// How many other controllers are live, and how many of them are connected in both directions.
    pub(super) fn reachable_peers(&self) -> LivenessCount {
        let others = || self.state.members.keys().filter(|member| **member != self.process.member);
        let is_connected = |member: &&String| self.connectivity.peers.is_connected(member, self.now);
        LivenessCount { live: others().filter(is_connected).count(), total: others().count() }
    }

    /// When this controller's replica was last known to be the newest: by its own read of the
    /// store, or because all other controllers attested it.
    pub(super) fn confirmed_fresh_at(&self) -> Option<Instant> {
        let others = self.config.peers.iter().map(|other| &other.member);
        let has_applied = |revocations: &_| self.has_applied(revocations);
        let confirmed_at = self.connectivity.peers.read_index_time(others, self.state.revision, has_applied);
        self.store.session.fresh_at.max(confirmed_at)
    }

    /// Whether this controller's replica is known to have been the newest at some time since the
    /// process last resumed from a suspension.
    pub(super) fn is_replica_confirmed_since_resume(&self) -> bool {
        let is_since = |at: Instant| self.process.suspension.proves_present(at);
        self.store.session.fresh_at.is_some_and(is_since) || self.confirmed_fresh_at().is_some_and(is_since)
    }
}

#[cfg(test)]
mod tests;
