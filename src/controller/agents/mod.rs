//! The agents on the machines of this controller's shard: their heartbeats, the commands that
//! they are sent, and the release of machines that fell silent.

mod adoption;
mod commands;
mod grant_renewal;
mod heartbeats;
mod preemption;
mod reconciliation;
mod release;
mod summary;
mod suspicion;

use super::Controller;
use crate::connectivity::heartbeat_tracking::{Freshness, HeartbeatCounters, HeartbeatTracker};
use crate::coordination::machine::Machine;
use crate::effects::Instant;
use crate::protocol::store::Condition;
use crate::protocol::worker::Heartbeat;
use crate::state::records;
use crate::state::{ClusterState, Images};
use heartbeats::PendingHeartbeat;
pub(super) use preemption::Preemption;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;
use summary::AgentsSummary;

/// The machines of this controller's shard and their agents, and what is known of other machines.
#[derive(Debug, Default)]
pub(super) struct Agents {
    /// Heartbeats that wait until a grant is made or becomes known here.
    pending_heartbeats: Vec<PendingHeartbeat>,
    /// Machines that this controller owns, by name.
    machines: BTreeMap<String, Machine>,
    /// The version of the replica's machine records that `machines` reflects.
    applied_records_version: Option<u64>,
    /// The newest heartbeat of each machine.
    heartbeat_tracker: HeartbeatTracker,
    /// Images on machines of other shards.
    images_in_other_shards: HashMap<String, Images>,
    /// Silent machines that answered a probe of ours, and when.
    probe_answers: BTreeMap<String, Instant>,
    /// Machines for which starts were withheld after a suspension of this process.
    withheld_starts: BTreeSet<String>,
    /// What happened to commands and proofs since the last summary.
    summary: AgentsSummary,
    /// When the agents are next checked.
    next_check: Instant,
}

/// An agent waits 4 s for an answer, then up to 1.5 s before it has tried the next controller.
pub(super) const CONTROLLER_SWITCH_S: f64 = 4.0 + 1.0 + 0.5;
/// An agent that sent a heartbeat within this many intervals is not silent: heartbeats come at
/// an interval that varies by up to a quarter.
pub(super) const MAX_HEARTBEAT_GAP_INTERVALS: f64 = 1.5;
/// Machines that are cut off together with others are waited for this many leases.
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

    /// Whether a check of the agents is due now; if so, the next one is due after `pause`.
    pub(super) fn begin_check(&mut self, now: Instant, pause: Duration) -> bool {
        let due = now >= self.next_check;
        if due {
            self.next_check = now + pause;
        }
        due
    }

    /// Images on a machine of another shard.
    pub(super) fn images_in_other_shards(&self, name: &str) -> Option<&Images> {
        self.images_in_other_shards.get(name)
    }

    /// The images that are known to be on a machine of any shard.
    pub(super) fn known_images(&self, name: &str) -> Option<&Images> {
        self.machines.get(name).map(|machine| &machine.images).or_else(|| self.images_in_other_shards.get(name))
    }

    /// Records that a machine of any shard holds these images.
    pub(super) fn add_images<'a>(&mut self, name: &str, images: impl Iterator<Item = &'a String>) {
        let known = match self.machines.get_mut(name) {
            Some(machine) => &mut machine.images,
            None => self.images_in_other_shards.entry(name.to_string()).or_default(),
        };
        for image in images {
            if !known.contains(image) {
                std::rc::Rc::make_mut(known).insert(image.clone());
            }
        }
    }

    /// Forgets the images on machines that are no longer recorded in the store.
    pub(super) fn retain_images_of(&mut self, state: &ClusterState) {
        self.images_in_other_shards.retain(|name, _| state.machines.contains_key(name));
    }

    /// Records that the cloud no longer lists these machines.
    pub(super) fn mark_unlisted<'a>(&mut self, names: impl IntoIterator<Item = &'a String>) {
        for name in names {
            if let Some(machine) = self.machines.get_mut(name) {
                machine.unlisted = true;
            }
        }
    }

    /// Records that another controller received a message of the machine at `received_at`.
    pub(super) fn record_elsewhere(&mut self, name: &str, counters: HeartbeatCounters, received_at: Instant) {
        self.heartbeat_tracker.record_elsewhere(name, counters, received_at);
    }

    /// When the machine last sent a message to this controller, if it did recently.
    pub(super) fn last_heartbeat_at(&self, name: &str) -> Option<Instant> {
        self.heartbeat_tracker.alive_at(name)
    }

    /// All machines that recently sent a message to this controller, each with the time of the
    /// last message and the newest counters.
    pub(super) fn alive_machines(&self) -> impl Iterator<Item = (&str, Instant, HeartbeatCounters)> {
        self.heartbeat_tracker.alive_machines()
    }

    /// The counters of the newest known message of the machine.
    pub(super) fn newest_counters(&self, name: &str) -> HeartbeatCounters {
        self.heartbeat_tracker.newest_counters(name)
    }

    /// Whether a probe of the machine is due; if so, the next one is due after `pause`.
    pub(super) fn begin_probe(&mut self, name: &str, now: Instant, pause: Duration) -> bool {
        self.heartbeat_tracker.begin_probe(name, now, pause)
    }

    /// Forgets messages that are older than `keep`, and machines that neither have a record in the
    /// store nor sent a message or were probed since.
    pub(super) fn prune_heartbeats(&mut self, state: &ClusterState, now: Instant, keep: Duration) {
        self.heartbeat_tracker.prune(now, keep, |name| state.machines.contains_key(name));
    }

    /// When the machine last answered a probe of ours, if it did recently.
    pub(super) fn probe_answered_at(&self, name: &str) -> Option<Instant> {
        self.probe_answers.get(name).copied()
    }

    /// Silent machines that answered a probe of ours, and when.
    pub(super) fn probe_answers(&self) -> impl Iterator<Item = (&String, Instant)> {
        self.probe_answers.iter().map(|(name, at)| (name, *at))
    }

    /// Forgets probe answers that are older than `keep`.
    pub(super) fn prune_probe_answers(&mut self, now: Instant, keep: Duration) {
        self.probe_answers.retain(|_, at| now.saturating_sub(*at) < keep);
    }

    /// Records the answer to a probe that was sent when the newest counters of the machine were
    /// `known`. Returns whether it shows that the machine was restarted: its counters or its
    /// fencing token went back since.
    pub(super) fn record_probe_answer(&mut self, answer: &Heartbeat, known: HeartbeatCounters, now: Instant) -> bool {
        let name = &answer.machine;
        self.probe_answers.insert(name.clone(), now);
        let counters = (answer.agent_epoch, answer.heartbeat_seq);
        let contradicts_token = self
            .machines
            .get(name)
            .is_some_and(|machine| counters > machine.newest_report && machine.contradicts_token(answer.fencing_token));
        if counters >= known && !contradicts_token {
            return false;
        }
        tracing::info!(machine = %name, agent_epoch = counters.0, heartbeat_seq = counters.1, "agent restarted");
        self.heartbeat_tracker.record_restart(name, counters, now);
        let Some(machine) = self.machines.get_mut(name) else { return false };
        machine.restart_incarnation(answer);
        machine.heard_at = Some(now);
        true
    }

    /// Records the heartbeat as received here, and returns how new it is.
    fn classify(&mut self, heartbeat: &Heartbeat, now: Instant) -> Freshness {
        self.heartbeat_tracker.record_heartbeat(
            &heartbeat.machine,
            (heartbeat.agent_epoch, heartbeat.heartbeat_seq),
            now,
        )
    }
}

/// The condition that the shard of `member` has not been granted again. A write to one of its
/// machine groups carries the grant in force, or one above it, and would be late after another
/// grant.
pub(super) fn shard_condition(state: &ClusterState, member: &str) -> Condition {
    Condition { key: records::shard_grant_key(member), version: state.shard_grant_version(member) }
}

impl Controller {
    /// Does what is due for the agents.
    pub(super) fn check_agents(&mut self) {
        self.adopt_granted_machines();
        self.retry_pending_heartbeats();
        if !self.may_decide() {
            return;
        }
        self.give_up_exhausted_grants();
        self.push_unshown_tokens();
        self.drain_machines_on_notice();
        self.stop_permitted_replicas();
        self.release_due_machines();
        self.clear_empty_machines();
    }

    /// The condition that a member's shard has not been granted again.
    pub(super) fn shard_condition_of(&self, member: &str) -> Condition {
        shard_condition(&self.state, member)
    }

    /// Whether the machine has come up, as far as is known here: it runs a task, or some controller
    /// receives its heartbeats.
    pub(super) fn is_up(&self, name: &str) -> bool {
        self.state.machine_loads.contains_key(name) || self.reaches_any_controller(name)
    }

    /// Whether some controller receives heartbeats of the machine, or did recently.
    pub(super) fn reaches_any_controller(&self, name: &str) -> bool {
        self.agents.last_heartbeat_at(name).is_some()
            || self.agents.machine(name).is_some_and(|machine| machine.heard_at.is_some())
            || self.connectivity.peers().any_reports(name)
    }
}

#[cfg(test)]
mod tests;
