//! Which controllers and machines reach each other: heartbeats between controllers, and
//! from them which controllers do not hear their machines and which machines are cut off
//! from their owner. Hints only; no rule rests on them, but for the confirmation that a
//! replica is current, whose proof is in `connectivity::peer_table`.

mod heartbeats;
mod partitions;
mod probes;

use super::Controller;
use crate::connectivity::partition_diagnosis::{Account, Deaf, Group};
use crate::connectivity::peer_table::PeerTable;
use crate::effects::Instant;
use crate::protocol::peer::{Acknowledgement, PeerHeartbeat};
use std::collections::HashMap;
use std::time::Duration;

/// Which controllers and machines reach each other, as far as is known here.
#[derive(Debug)]
pub(super) struct Connectivity {
    /// The other controllers, by their heartbeats.
    peers: PeerTable,
    /// Heartbeats came since the last diagnosis.
    changed: bool,
    /// Controllers that do not hear their machines.
    unhearing: Deaf,
    /// Zones of which most of our machines were silent, until when they count as cut off.
    cut_off_until: HashMap<String, Instant>,
    /// Machines that came here though others own them, and when first.
    misdirected: HashMap<String, Instant>,
    /// The grant of each machine, as it became known here.
    ownership: HashMap<String, Ownership>,
    /// The state of the replica's machine records that `ownership` follows.
    followed_records: Option<u64>,
    /// Machines that do not reach their owner, and since when that is known.
    unreached_since: HashMap<String, Instant>,
    /// Heartbeats sent.
    heartbeats: usize,
    /// When the next heartbeat goes out.
    next_heartbeat: Instant,
}

/// A machine's grant, as this process came to know it.
#[derive(Debug)]
struct Ownership {
    /// Revision of the grant.
    grant: u64,
    since: Instant,
    owner: String,
    previous_owner: Option<String>,
}

impl Connectivity {
    /// Nothing is known of the other controllers yet.
    pub(super) fn new(peers: PeerTable) -> Connectivity {
        Connectivity {
            peers,
            changed: false,
            unhearing: Deaf::default(),
            cut_off_until: HashMap::new(),
            misdirected: HashMap::new(),
            ownership: HashMap::new(),
            followed_records: None,
            unreached_since: HashMap::new(),
            heartbeats: 0,
            next_heartbeat: Duration::ZERO,
        }
    }

    /// The other controllers, by their heartbeats.
    pub(super) fn peers(&self) -> &PeerTable {
        &self.peers
    }

    /// Another controller's heartbeat came.
    pub(super) fn receive(&mut self, member: &str, heartbeat: &PeerHeartbeat, now: Instant) {
        self.peers.receive(member, heartbeat, now);
        self.changed = true;
    }

    /// Whether a heartbeat is due now; the next one follows after `interval`.
    pub(super) fn begin_heartbeat(&mut self, now: Instant, interval: Duration) -> bool {
        let due = now >= self.next_heartbeat;
        if due {
            self.next_heartbeat = now + interval;
        }
        due
    }

    /// The next heartbeat goes out at this time at the latest.
    pub(super) fn hasten_heartbeat(&mut self, by: Instant) {
        self.next_heartbeat = self.next_heartbeat.min(by);
    }

    /// A heartbeat goes out: its number, and what it acknowledges.
    fn number_heartbeat(&mut self, now: Instant) -> (u64, Vec<Acknowledgement>) {
        self.peers.send(now)
    }

    /// Whether the controller was found not to hear its machines.
    pub(super) fn is_unhearing(&self, member: &str, now: Instant) -> bool {
        self.unhearing.is(member, now)
    }

    /// Controllers that were found not to hear their machines.
    pub(super) fn unhearing_members(&self, now: Instant) -> impl Iterator<Item = &str> {
        self.unhearing.names(now)
    }

    /// Takes in a diagnosis of a controller; whether it is news that it does not hear
    /// its machines.
    fn record_account(&mut self, member: &str, account: Account, now: Instant, pause: Duration) -> bool {
        self.unhearing.note(member, account, now, pause)
    }

    /// The zone counts as cut off until then.
    pub(super) fn mark_cut_off(&mut self, zone: &str, until: Instant) {
        self.cut_off_until.insert(zone.to_string(), until);
    }

    /// Whether most of our machines in the zone were silent of late.
    pub(super) fn is_cut_off(&self, zone: &str, now: Instant) -> bool {
        self.cut_off_until.get(zone).is_some_and(|until| *until > now)
    }

    /// A machine of another controller came here; whether that is news, given that it
    /// is forgotten after `keep`.
    fn record_misdirected(&mut self, machine: &str, now: Instant, keep: Duration) -> bool {
        if self.misdirected.get(machine).is_some_and(|at| now.saturating_sub(*at) < keep) {
            return false;
        }
        self.misdirected.insert(machine.to_string(), now);
        true
    }

    /// Whether there is anything new to diagnose; misdirected machines are forgotten
    /// after `keep`.
    fn begin_diagnosis(&mut self, now: Instant, keep: Duration) -> bool {
        self.misdirected.retain(|_, at| now.saturating_sub(*at) < keep);
        std::mem::take(&mut self.changed) || !self.misdirected.is_empty()
    }
}

impl Controller {
    /// Whom an agent should go to while we may not act or should not: somebody
    /// who reaches the store, if we do not.
    pub(super) fn better_connected_peer(&self) -> Option<String> {
        if self.fresh() {
            return None;
        }
        let peers = self.connectivity.peers();
        let is_served = || peers.served(self.now, self.heartbeat_intervals(1.0)).filter(|_| !self.entitled());
        peers.removed_by(self.now).or_else(is_served).map(Into::into)
    }

    /// How long an agent that can reach few of the controllers may take to come
    /// round to one of them.
    pub(super) fn full_retry_round(&self) -> Duration {
        let round_s = super::agents::CONTROLLER_SWITCH_S * self.config.controllers() as f64;
        self.secs(round_s.min(self.config.settings.workers.lease_s)).max(self.heartbeat_intervals(3.0))
    }

    /// The other live controllers, and how many of them are heard both ways.
    pub(super) fn reachable_peers(&self) -> Group {
        let others = || self.state.members.keys().filter(|member| **member != self.process.member);
        let is_heard = |member: &&String| self.connectivity.peers.both_ways(member, self.now);
        Group { heard: others().filter(is_heard).count(), all: others().count() }
    }

    /// When this controller's replica was last known to be the newest there is: by
    /// its own read of the store, or by the word of all others.
    pub(super) fn surely_fresh_at(&self) -> Option<Instant> {
        let others = self.config.others.iter().map(|other| &other.member);
        let has_applied = |revocations: &_| self.has_applied(revocations);
        let confirmed_at = self.connectivity.peers.attested(others, self.state.revision, has_applied);
        self.store.session.fresh_at.max(confirmed_at)
    }
}

#[cfg(test)]
mod tests;
