//! Diagnosis of partitions: which machines do not reach their owner, and which controllers are
//! cut off from their machines.

use super::{Connectivity, Ownership};
use crate::connectivity::partition_diagnosis::{MachineObservation, OwnerReachability, diagnose_owner};
use crate::controller::Controller;
use crate::effects::Instant;
use crate::state::ClusterState;
use std::collections::{BTreeMap, BTreeSet};

/// A single machine is reassigned to a controller that it reaches after it has not reached its
/// owner for this many heartbeat intervals.
const MIN_UNREACHED_INTERVALS: f64 = 1.0;
/// A machine counts as reaching a controller if their last contact is less than this many
/// heartbeat intervals ago.
const MAX_CONTACT_AGE_INTERVALS: f64 = 2.0;

/// How well an owner is reached by the machines of its shard, and which of them do not reach it.
struct OwnerDiagnosis {
    /// Name of the owner.
    owner: String,
    /// How well the machines of the shard reach it.
    reachability: OwnerReachability,
    /// Machines that do not reach it.
    unreached: Vec<String>,
}

impl Connectivity {
    /// Updates the owners of all machines from the replica.
    fn update_ownership(&mut self, state: &ClusterState, now: Instant) {
        if self.applied_records_version == Some(state.machine_changes) {
            return;
        }
        self.applied_records_version = Some(state.machine_changes);
        self.ownership.retain(|name, _| state.machines.contains_key(name));
        for (name, machine) in &state.machines {
            let (granted_revision, owner) = (machine.rec.grant_revision, machine.rec.owner.clone());
            match self.ownership.get_mut(name) {
                Some(ownership) if ownership.granted_revision == granted_revision => {}
                Some(ownership) => {
                    let previous_owner = Some(std::mem::take(&mut ownership.owner));
                    *ownership = Ownership { granted_revision, known_since: now, owner, previous_owner };
                }
                None => {
                    let ownership = Ownership { granted_revision, known_since: now, owner, previous_owner: None };
                    self.ownership.insert(name.clone(), ownership);
                }
            }
        }
    }

    /// Since when the machine belongs to its owner, as far as is known here.
    fn owned_since(&self, machine: &str) -> Option<Instant> {
        self.ownership.get(machine).map(|ownership| ownership.known_since)
    }

    /// Replaces the machines that do not reach their owner by the given ones.
    pub(super) fn record_unreached(&mut self, machines: impl Iterator<Item = String>, now: Instant) {
        let previous = std::mem::take(&mut self.unreached_since);
        self.unreached_since = machines
            .map(|name| {
                let since = previous.get(&name).copied().unwrap_or(now);
                (name, since)
            })
            .collect();
    }
}

impl Controller {
    /// Finds out which machines do not reach their owners. The leader does so for all controllers,
    /// any other controller for its own machines.
    pub(in crate::controller) fn diagnose_partitions(&mut self) {
        let now = self.now;
        self.connectivity.update_ownership(&self.state, now);
        self.sharding.avoid_until.retain(|_, until| *until > now);
        if !self.connectivity.begin_diagnosis(now, self.full_retry_round()) {
            return;
        }
        let diagnoses = self.diagnose_owners();
        let unreached = diagnoses.iter().flat_map(|diagnosis| &diagnosis.unreached).cloned();
        self.connectivity.record_unreached(unreached, now);
        let pause = self.secs(self.config.deployment.workers.lease_s);
        for OwnerDiagnosis { owner, reachability, unreached } in diagnoses {
            if self.connectivity.record_reachability(&owner, reachability, now, pause) {
                tracing::info!(member = %owner, machines = unreached.len(), "controller cut off from its machines");
                // Leadership is checked at the next tick, so that whoever can act on this does so
                // at once.
                self.leadership.check_at_next_tick(now);
            }
        }
    }

    /// Diagnoses every owner that some of its machines do not reach.
    fn diagnose_owners(&self) -> Vec<OwnerDiagnosis> {
        let elsewhere = self.last_heard_by_others();
        let mut unreached: BTreeMap<&String, Vec<String>> = BTreeMap::new();
        for (name, heard_at) in &elsewhere {
            let Some(owner) = self.owner_of(name) else { continue };
            if self.observe_machine(name, owner, Some(*heard_at)).missed_owner_at().is_some() {
                unreached.entry(owner).or_default().push(name.to_string());
            }
        }
        let diagnose = |(owner, unreached): (&String, Vec<String>)| {
            let shard = self.state.machines.iter().filter(|(_, machine)| machine.rec.owner == *owner);
            let observations: Vec<MachineObservation> = shard
                .map(|(name, _)| self.observe_machine(name, owner, elsewhere.get(name.as_str()).copied()))
                .collect();
            OwnerDiagnosis { owner: owner.clone(), reachability: diagnose_owner(&observations), unreached }
        };
        unreached.into_iter().map(diagnose).collect()
    }

    /// Machines that sent heartbeats to another controller than their owner, and when last. The
    /// leader takes all that it knows of, any other controller its own machines.
    fn last_heard_by_others(&self) -> BTreeMap<&str, Instant> {
        let is_leader = self.is_leader();
        let mut elsewhere: BTreeMap<&str, Instant> = BTreeMap::new();
        let mut record = |machine: &str, member: &str, at: Instant| {
            let Some((name, machine)) = self.state.machines.get_key_value(machine) else { return };
            let is_own = machine.rec.owner == self.process.member;
            if machine.rec.owner != member && (is_leader || is_own) && self.state.is_machine_held(&machine.rec) {
                let last = elsewhere.entry(name).or_default();
                *last = (*last).max(at);
            }
        };
        for (machine, at, _) in self.agents.alive_machines() {
            record(machine, &self.process.member, at);
        }
        for (member, peer) in self.connectivity.peers.peers() {
            if self.connectivity.peers.recent_peer(member).is_some() {
                peer.recent_machines()
                    .for_each(|(machine, age, _)| record(machine, member, peer.received_at.saturating_sub(age)));
            }
        }
        elsewhere
    }

    /// Whether a machine that has not sent us a heartbeat may still be answered by its previous
    /// owner, which is not known to have learned that the machine is ours.
    pub(in crate::controller) fn may_be_answered_by_previous_owner(&self, machine: &str) -> bool {
        let Some(ownership) = self.connectivity.ownership.get(machine) else { return false };
        ownership.previous_owner.as_ref().is_some_and(|previous| {
            *previous != self.process.member
                && !self.connectivity.peers.has_applied(previous, ownership.granted_revision)
        })
    }

    /// What is known of the heartbeats of a machine to its owner and to other controllers.
    fn observe_machine(&self, machine: &str, owner: &str, other_heard_at: Option<Instant>) -> MachineObservation {
        let (owner_heard_at, owner_reported_at) = if owner == self.process.member {
            (self.agents.last_heartbeat_at(machine), Some(self.now))
        } else {
            let peers = &self.connectivity.peers;
            (peers.heartbeat_received_at(owner, machine), peers.recent_peer(owner).map(|peer| peer.received_at))
        };
        let owned_since = self.connectivity.owned_since(machine).unwrap_or(self.now);
        MachineObservation { owner_heard_at, owner_reported_at, other_heard_at, owned_since }
    }

    /// Machines that reach another controller but not their owner, each with that controller.
    /// Either they contacted it and did not get back to their owner, or they fell silent to the
    /// owner, do not answer its probe, and answer that of another controller.
    pub(in crate::controller) fn unreached_machines(&self) -> Vec<(String, String)> {
        let silent = self.silent_machines();
        let mut names = self.unreached_machine_names();
        let unanswered =
            silent.iter().map(|(name, _)| name.as_str()).filter(|name| self.agents.probe_answered_at(name).is_none());
        names.extend(unanswered);
        let moved: BTreeSet<&str> = self.sharding.avoid_until.keys().map(|(machine, _)| machine.as_str()).collect();
        let with_reached_member = |name: &str| {
            let owner = self.owner_of(name)?;
            let may_move = !moved.contains(name) || self.misses_new_owner(name, owner);
            let member = self.reached_member(name, owner).filter(|_| may_move)?;
            Some((name.to_string(), member.clone()))
        };
        names.into_iter().filter_map(with_reached_member).collect()
    }

    /// Machines that do not reach their owner, by a diagnosis or by what the owner reports.
    fn unreached_machine_names(&self) -> BTreeSet<&str> {
        let min_duration = self.heartbeat_intervals(MIN_UNREACHED_INTERVALS);
        let is_lasting = |since: &Instant| self.now.saturating_sub(*since) >= min_duration;
        let diagnosed = self.connectivity.unreached_since.iter().filter(|(_, since)| is_lasting(since));
        let mut names: BTreeSet<&str> = diagnosed.map(|(name, _)| name.as_str()).collect();
        for member in self.state.members.keys() {
            let missed = self.connectivity.peers.missed_machines(member);
            names.extend(missed.filter(|name| self.owner_of(name) == Some(member)));
        }
        names
    }

    /// Whether a machine that was moved does not reach its new owner either. One that receives no
    /// answers contacts all controllers in turn.
    fn misses_new_owner(&self, name: &str, owner: &str) -> bool {
        let since = self.connectivity.owned_since(name).unwrap_or(self.now);
        let had_time_to_retry = self.now.saturating_sub(since) > self.full_retry_round();
        had_time_to_retry && self.last_contact_at(name, owner).is_none_or(|at| at < since)
    }

    /// The controller with the last contact to the machine, of those that are not cut off.
    fn reached_member(&self, name: &str, owner: &String) -> Option<&String> {
        let can_reach_machines =
            |member: &&String| *member != owner && !self.connectivity.is_controller_cut_off(member, self.now);
        let candidates = self.state.members.keys().filter(can_reach_machines);
        let (at, member) = candidates.filter_map(|member| Some((self.last_contact_at(name, member)?, member))).max()?;
        (self.now.saturating_sub(at) < self.heartbeat_intervals(MAX_CONTACT_AGE_INTERVALS)).then_some(member)
    }

    /// When the controller last received a heartbeat or a probe answer of the machine.
    fn last_contact_at(&self, name: &str, member: &str) -> Option<Instant> {
        if member == self.process.member {
            return self.agents.last_heartbeat_at(name).max(self.agents.probe_answered_at(name));
        }
        let peers = &self.connectivity.peers;
        peers.heartbeat_received_at(member, name).max(peers.probe_answered_at(member, name))
    }

    /// The machine's owner.
    pub(super) fn owner_of(&self, machine: &str) -> Option<&String> {
        self.state.machines.get(machine).map(|record| &record.rec.owner)
    }

    /// Whether a machine reaches a controller, as far as is known here.
    pub(in crate::controller) fn reaches(&self, machine: &str, member: &str) -> bool {
        let key = (machine.to_string(), member.to_string());
        self.sharding.avoid_until.get(&key).is_none_or(|until| *until <= self.now)
    }
}
