//! Diagnosis of partitions: which machines do not reach their owner, and which
//! controllers do not hear their machines.

use super::{Connectivity, Ownership};
use crate::connectivity::partition_diagnosis::{Account, MachineObservation, diagnose_owner};
use crate::controller::Controller;
use crate::effects::Instant;
use crate::state::ClusterState;
use std::collections::{BTreeMap, BTreeSet};

/// A single machine goes to a controller that hears it after so many heartbeat
/// intervals without its owner.
const UNREACHED_INTERVALS: f64 = 1.0;
/// A controller hears a machine if it did within so many heartbeat intervals.
const HEARD_INTERVALS: f64 = 2.0;

/// What is known of a controller by the machines of its shard.
struct OwnerDiagnosis {
    owner: String,
    account: Account,
    unreached: Vec<String>,
}

impl Connectivity {
    /// Follows since when each machine belongs to its owner.
    fn follow_owners(&mut self, state: &ClusterState, now: Instant) {
        if self.followed_records == Some(state.machines_changed) {
            return;
        }
        self.followed_records = Some(state.machines_changed);
        self.ownership.retain(|name, _| state.machines.contains_key(name));
        for (name, machine) in &state.machines {
            let (grant, owner) = (machine.rec.granted, machine.rec.owner.clone());
            match self.ownership.get_mut(name) {
                Some(known) if known.grant == grant => {}
                Some(known) => {
                    let previous_owner = Some(std::mem::take(&mut known.owner));
                    *known = Ownership { grant, since: now, owner, previous_owner };
                }
                None => {
                    let known = Ownership { grant, since: now, owner, previous_owner: None };
                    self.ownership.insert(name.clone(), known);
                }
            }
        }
    }

    /// Since when the machine belongs to its owner, as far as is known here.
    fn owned_since(&self, machine: &str) -> Option<Instant> {
        self.ownership.get(machine).map(|known| known.since)
    }

    /// These are all machines that do not reach their owner.
    pub(super) fn record_unreached(&mut self, machines: impl Iterator<Item = String>, now: Instant) {
        let known = std::mem::take(&mut self.unreached_since);
        self.unreached_since = machines
            .map(|name| {
                let since = known.get(&name).copied().unwrap_or(now);
                (name, since)
            })
            .collect();
    }
}

impl Controller {
    /// Finds out what machines reach their owners; the leader of all controllers, others
    /// of their own machines.
    pub(in crate::controller) fn diagnose_partitions(&mut self) {
        let now = self.now;
        self.connectivity.follow_owners(&self.state, now);
        self.sharding.avoid.retain(|_, until| *until > now);
        if !self.connectivity.begin_diagnosis(now, self.full_retry_round()) {
            return;
        }
        let diagnoses = self.diagnose_owners();
        let unreached = diagnoses.iter().flat_map(|diagnosis| &diagnosis.unreached).cloned();
        self.connectivity.record_unreached(unreached, now);
        let pause = self.secs(self.config.settings.workers.lease_s);
        for OwnerDiagnosis { owner, account, unreached } in diagnoses {
            if self.connectivity.record_account(&owner, account, now, pause) {
                tracing::info!(member = %owner, machines = unreached.len(), "controller_not_hearing_machines");
                // Whoever can act on it hears of it at once.
                self.leadership.check_at_next_tick(now);
            }
        }
    }

    /// Of owners that some of their machines do not reach, what that says of them.
    fn diagnose_owners(&self) -> Vec<OwnerDiagnosis> {
        let elsewhere = self.heard_by_others();
        let mut unreached: BTreeMap<&String, Vec<String>> = BTreeMap::new();
        for (name, heard_at) in &elsewhere {
            let Some(owner) = self.owner_of(name) else { continue };
            if self.observe_machine(name, owner, Some(*heard_at)).unreached().is_some() {
                unreached.entry(owner).or_default().push(name.to_string());
            }
        }
        let diagnose = |(owner, unreached): (&String, Vec<String>)| {
            let shard = self.state.machines.iter().filter(|(_, machine)| machine.rec.owner == *owner);
            let sights: Vec<MachineObservation> = shard
                .map(|(name, _)| self.observe_machine(name, owner, elsewhere.get(name.as_str()).copied()))
                .collect();
            OwnerDiagnosis { owner: owner.clone(), account: diagnose_owner(&sights), unreached }
        };
        unreached.into_iter().map(diagnose).collect()
    }

    /// Machines that reported to somebody else than their owner, and when last: all that
    /// the leader knows of, others of their own.
    fn heard_by_others(&self) -> BTreeMap<&str, Instant> {
        let leads = self.am_leader();
        let mut elsewhere: BTreeMap<&str, Instant> = BTreeMap::new();
        let mut record = |machine: &str, member: &str, at: Instant| {
            let Some((name, machine)) = self.state.machines.get_key_value(machine) else { return };
            let is_own = machine.rec.owner == self.process.member;
            if machine.rec.owner != member && (leads || is_own) && self.state.owned(&machine.rec) {
                let last = elsewhere.entry(name).or_default();
                *last = (*last).max(at);
            }
        };
        for (machine, at, _) in self.agents.heard() {
            record(machine, &self.process.member, at);
        }
        for (member, peer) in self.connectivity.peers.peers() {
            if self.connectivity.peers.news(member).is_some() {
                peer.heard().for_each(|(machine, age, _)| record(machine, member, peer.at.saturating_sub(age)));
            }
        }
        elsewhere
    }

    /// Whether a machine that never reported to us may still be answered by its
    /// owner before us, which is not known to have seen that it is ours.
    pub(in crate::controller) fn may_be_answered_by_previous_owner(&self, machine: &str) -> bool {
        let Some(known) = self.connectivity.ownership.get(machine) else { return false };
        known.previous_owner.as_ref().is_some_and(|previous| {
            *previous != self.process.member && !self.connectivity.peers.has_seen(previous, known.grant)
        })
    }

    fn observe_machine(&self, machine: &str, owner: &str, by_other: Option<Instant>) -> MachineObservation {
        let (by_owner, owner_says_at) = if owner == self.process.member {
            (self.agents.heard_at(machine), Some(self.now))
        } else {
            let peers = &self.connectivity.peers;
            (peers.heard_at(owner, machine), peers.news(owner).map(|peer| peer.at))
        };
        let owned_since = self.connectivity.owned_since(machine).unwrap_or(self.now);
        MachineObservation { by_owner, owner_says_at, by_other, owned_since }
    }

    /// Machines that reach another controller, but not their owner, and which:
    /// they came there and not back to it, or they fell silent to it, do not
    /// answer its call, and answer somebody else's.
    pub(in crate::controller) fn unreached_machines(&self) -> Vec<(String, String)> {
        let own = self.silent_machines();
        let mut names = self.unreached_names();
        let unanswered = own.iter().map(|(name, _)| name.as_str()).filter(|name| self.agents.probed_at(name).is_none());
        names.extend(unanswered);
        let moved: BTreeSet<&str> = self.sharding.avoid.keys().map(|(machine, _)| machine.as_str()).collect();
        let with_hearer = |name: &str| {
            let owner = self.owner_of(name)?;
            let may_move = !moved.contains(name) || self.misses_new_owner(name, owner);
            let member = self.hearing_member(name, owner).filter(|_| may_move)?;
            Some((name.to_string(), member.clone()))
        };
        names.into_iter().filter_map(with_hearer).collect()
    }

    /// Machines that do not reach their owner, by what was diagnosed or said by it.
    fn unreached_names(&self) -> BTreeSet<&str> {
        let lasting = self.heartbeat_intervals(UNREACHED_INTERVALS);
        let is_lasting = |since: &Instant| self.now.saturating_sub(*since) >= lasting;
        let diagnosed = self.connectivity.unreached_since.iter().filter(|(_, since)| is_lasting(since));
        let mut names: BTreeSet<&str> = diagnosed.map(|(name, _)| name.as_str()).collect();
        for member in self.state.members.keys() {
            let missed = self.connectivity.peers.misses(member);
            names.extend(missed.filter(|name| self.owner_of(name) == Some(member)));
        }
        names
    }

    /// Whether a machine that was moved does not come to its new owner either. One that
    /// hears nothing comes round to all in turn.
    fn misses_new_owner(&self, name: &str, owner: &str) -> bool {
        let since = self.connectivity.owned_since(name).unwrap_or(self.now);
        let has_had_time = self.now.saturating_sub(since) > self.full_retry_round();
        has_had_time && self.last_contact(name, owner).is_none_or(|at| at < since)
    }

    /// The controller that heard the machine last, of those that hear their machines.
    fn hearing_member(&self, name: &str, owner: &String) -> Option<&String> {
        let is_able = |member: &&String| *member != owner && !self.connectivity.is_unhearing(member, self.now);
        let able = self.state.members.keys().filter(is_able);
        let (at, member) = able.filter_map(|member| Some((self.last_contact(name, member)?, member))).max()?;
        (self.now.saturating_sub(at) < self.heartbeat_intervals(HEARD_INTERVALS)).then_some(member)
    }

    /// When the controller last heard the machine, or got an answer from it.
    fn last_contact(&self, name: &str, member: &str) -> Option<Instant> {
        if member == self.process.member {
            return self.agents.heard_at(name).max(self.agents.probed_at(name));
        }
        let peers = &self.connectivity.peers;
        peers.heard_at(member, name).max(peers.reached_at(member, name))
    }

    /// The machine's owner.
    pub(super) fn owner_of(&self, machine: &str) -> Option<&String> {
        self.state.machines.get(machine).map(|known| &known.rec.owner)
    }

    /// Whether a machine reaches a controller, as far as is known.
    pub(in crate::controller) fn reaches(&self, machine: &str, member: &str) -> bool {
        let key = (machine.to_string(), member.to_string());
        self.sharding.avoid.get(&key).is_none_or(|until| *until <= self.now)
    }
}
