//! The agents on the machines of this controller's shard: their heartbeats, the
//! commands they get, and the release of those that fell silent.

mod adoption;
mod commands;
mod heartbeats;
mod preemption;
mod reconciliation;
mod release;
mod suspicion;

use super::Controller;
use crate::connectivity::heartbeat_tracking::{At, Freshness, HeartbeatTracker};
use crate::coordination::machine::Machine;
use crate::effects::Instant;
use crate::protocol::store::Condition;
use crate::protocol::worker::Heartbeat;
use crate::state::records;
use crate::state::{ClusterState, Images};
use heartbeats::PendingHeartbeat;
pub(super) use preemption::Preemption;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// The agents on the machines of this controller's shard, and what is known of others.
#[derive(Debug, Default)]
pub(super) struct Agents {
    /// Heartbeats that wait for a grant to be made or seen.
    pending: Vec<PendingHeartbeat>,
    /// Machines that this controller owns.
    machines: BTreeMap<String, Machine>,
    /// The state of the replica's machine records that `machines` follows.
    followed_records: Option<u64>,
    /// The newest heartbeat of each machine.
    hearing: HeartbeatTracker,
    /// Images on machines of other shards.
    images_elsewhere: HashMap<String, Images>,
    /// Silent machines that answered a call of ours, and when.
    probed: BTreeMap<String, Instant>,
    /// When machines are next checked for silence.
    next_check: Instant,
}

/// An agent waits this long for an answer, then a little to try the next controller.
pub(super) const CONTROLLER_SWITCH_S: f64 = 4.0 + 1.0 + 0.5;
/// Heartbeats come at an interval, give or take a quarter: an agent that was heard within
/// this many intervals is not silent.
pub(super) const MAX_HEARTBEAT_GAP: f64 = 1.5;
/// Machines that are cut off with others are waited for this many leases.
pub(super) const CUT_OFF_LEASES: f64 = 2.0;

impl Agents {
    /// The machine, if this controller owns it.
    pub(super) fn machine(&self, name: &str) -> Option<&Machine> {
        self.machines.get(name)
    }

    /// The machines that this controller owns.
    pub(super) fn machines(&self) -> impl Iterator<Item = (&String, &Machine)> {
        self.machines.iter()
    }

    /// Names of the machines that this controller owns.
    pub(super) fn machine_names(&self) -> impl Iterator<Item = &String> {
        self.machines.keys()
    }

    /// Whether a check of the agents is due now; the next one follows after `pause`.
    pub(super) fn begin_check(&mut self, now: Instant, pause: Duration) -> bool {
        let due = now >= self.next_check;
        if due {
            self.next_check = now + pause;
        }
        due
    }

    /// Images on a machine of another shard.
    pub(super) fn images_elsewhere(&self, name: &str) -> Option<&Images> {
        self.images_elsewhere.get(name)
    }

    /// The images that a machine of any shard is known to hold.
    pub(super) fn known_images(&self, name: &str) -> Option<&Images> {
        self.machines.get(name).map(|machine| &machine.images).or_else(|| self.images_elsewhere.get(name))
    }

    /// A machine of any shard holds these images.
    pub(super) fn add_images<'a>(&mut self, name: &str, images: impl Iterator<Item = &'a String>) {
        let known = match self.machines.get_mut(name) {
            Some(machine) => &mut machine.images,
            None => self.images_elsewhere.entry(name.to_string()).or_default(),
        };
        for image in images {
            if !known.contains(image) {
                std::rc::Rc::make_mut(known).insert(image.clone());
            }
        }
    }

    /// Forgets images on machines that are no longer recorded.
    pub(super) fn retain_images_of(&mut self, state: &ClusterState) {
        self.images_elsewhere.retain(|name, _| state.machines.contains_key(name));
    }

    /// The cloud no longer lists these machines.
    pub(super) fn mark_unlisted<'a>(&mut self, names: impl IntoIterator<Item = &'a String>) {
        for name in names {
            if let Some(machine) = self.machines.get_mut(name) {
                machine.unlisted = true;
            }
        }
    }

    /// Another controller heard the machine say this at `when`.
    pub(super) fn heard_elsewhere(&mut self, name: &str, at: At, when: Instant) {
        self.hearing.heard_elsewhere(name, at, when);
    }

    /// When the machine last spoke to this controller, of late.
    pub(super) fn heard_at(&self, name: &str) -> Option<Instant> {
        self.hearing.heard(name)
    }

    /// All machines that spoke to this controller of late: when, and at what counters.
    pub(super) fn heard(&self) -> impl Iterator<Item = (&str, Instant, At)> {
        self.hearing.all()
    }

    /// The newest counters that are known of the machine.
    pub(super) fn newest_counters(&self, name: &str) -> At {
        self.hearing.newest(name)
    }

    /// Whether the machine may be called now; it is then not called again for `pause`.
    pub(super) fn may_call_back(&mut self, name: &str, now: Instant, pause: Duration) -> bool {
        self.hearing.may_call(name, now, pause)
    }

    /// Forgets what was heard longer ago than `keep`, and machines that are neither
    /// recorded nor heard.
    pub(super) fn prune_heard(&mut self, state: &ClusterState, now: Instant, keep: Duration) {
        self.hearing.prune(now, keep, |name| state.machines.contains_key(name));
    }

    /// When the machine last answered a call of ours, of late.
    pub(super) fn probed_at(&self, name: &str) -> Option<Instant> {
        self.probed.get(name).copied()
    }

    /// Silent machines that answered a call of ours, and when.
    pub(super) fn probed(&self) -> impl Iterator<Item = (&String, Instant)> {
        self.probed.iter().map(|(name, at)| (name, *at))
    }

    /// Forgets answers to calls that came longer ago than `keep`.
    pub(super) fn prune_probed(&mut self, now: Instant, keep: Duration) {
        self.probed.retain(|_, at| now.saturating_sub(*at) < keep);
    }

    /// The machine answered a call that was made when it was `known` to be at these
    /// counters. True if that shows that it was restarted: its counters or its token
    /// went back since.
    pub(super) fn record_probe(&mut self, answer: &Heartbeat, known: At, now: Instant) -> bool {
        let name = &answer.machine;
        self.probed.insert(name.clone(), now);
        let at = (answer.agent_epoch, answer.heartbeat_seq);
        let is_belied = self
            .machines
            .get(name)
            .is_some_and(|machine| at > machine.at && machine.contradicts_token(answer.fencing_token));
        if at >= known && !is_belied {
            return false;
        }
        tracing::info!(machine = %name, agent_epoch = at.0, heartbeat_seq = at.1, "agent_restarted");
        self.hearing.agent_restarted(name, at, now);
        let Some(machine) = self.machines.get_mut(name) else { return false };
        machine.restart_incarnation(answer);
        machine.heard_at = Some(now);
        true
    }

    /// Whether the heartbeat is news, as of what is known of its machine.
    fn classify(&mut self, heartbeat: &Heartbeat, now: Instant) -> Freshness {
        self.hearing.report(&heartbeat.machine, (heartbeat.agent_epoch, heartbeat.heartbeat_seq), now)
    }
}

/// The condition that a member's shard is not granted again: what writes a machine group
/// of its carries the grant in force, or one above it, and would come late after that.
pub(super) fn shard_condition(state: &ClusterState, member: &str) -> Condition {
    Condition { key: records::shard_grant_key(member), version: state.shard_grant_version(member) }
}

impl Controller {
    /// What is due for the agents.
    pub(super) fn check_agents(&mut self) {
        self.adopt_granted_machines();
        self.retry_pending_heartbeats();
        if !self.fresh() {
            return;
        }
        self.drain_preempted();
        self.move_ticketed();
        self.release_silent();
        self.clear_empty();
    }

    /// Holds while a member's shard is not granted again.
    pub(super) fn shard_condition_of(&self, member: &str) -> Condition {
        shard_condition(&self.state, member)
    }

    /// Whether the machine has come up, as far as is known here: it runs
    /// something, or some controller hears it.
    pub(super) fn is_up(&self, name: &str) -> bool {
        self.state.loads.contains_key(name) || self.heard_by_any(name)
    }

    /// Whether some controller hears it, or did of late.
    pub(super) fn heard_by_any(&self, name: &str) -> bool {
        self.agents.heard_at(name).is_some()
            || self.agents.machine(name).is_some_and(|machine| machine.heard_at.is_some())
            || self.connectivity.peers().knows(name)
    }
}

#[cfg(test)]
mod tests;
