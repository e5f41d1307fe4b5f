//! Which machines of this controller's shard are given up: those that fell silent,
//! and those that nothing is needed of any more.

use super::{CONTROLLER_SWITCH_S, CUT_OFF_LEASES, MAX_HEARTBEAT_GAP};
use crate::connectivity::partition_diagnosis::{Group, SilenceCause, diagnose_silence};
use crate::controller::{Controller, DRIFT};
use crate::coordination::machine::Machine;
use crate::effects::Instant;
use crate::protocol::cloud::RELEASE_LIMIT;
use crate::retry::Purpose as Retry;
use crate::scaling::declared_lost_after_s;
use std::collections::BTreeMap;
use std::time::Duration;

/// So long must a machine be silent that the cloud no longer lists, in heartbeat
/// intervals: it may have reported after the list was made.
const UNLISTED_SILENCE: f64 = 1.25;
/// Whoever reaches a silent machine says so within so many heartbeats of controllers.
const PEER_HEARTBEATS: f64 = 2.5;
/// The part of the shard that may be released within a lease.
const RELEASED_SHARE: f64 = 1.0 / 4.0;

/// Why a machine is given back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReleaseReason {
    /// It is drained, and nothing is left there.
    Drained,
    /// The cloud no longer lists it.
    Unlisted,
    /// Its heartbeats stopped.
    Silent,
    /// Its heartbeats come, but it does not hear the answers.
    HearsNothing,
}

impl ReleaseReason {
    fn name(self) -> &'static str {
        match self {
            ReleaseReason::Drained => "drained",
            ReleaseReason::Unlisted => "unlisted",
            ReleaseReason::Silent => "silent",
            ReleaseReason::HearsNothing => "hears_nothing",
        }
    }

    /// Whether the machine may still live, so that only a share of the shard is released.
    fn is_limited(self) -> bool {
        matches!(self, ReleaseReason::Silent | ReleaseReason::HearsNothing)
    }
}

/// How long a machine may be silent.
#[derive(Debug, Clone, Copy)]
struct SilenceLimits {
    /// At least, of one that was heard before.
    heard: Duration,
    /// At least, of one that was not heard since its grant: it may still be waiting for
    /// its old controller, and for others that do not hear it; nobody here knows its
    /// address yet.
    never_heard: Duration,
    /// Until its lease has expired.
    lease: Duration,
    /// If it is cut off with others.
    cut_off: Duration,
    /// Since a grant, until no earlier owner's answer counts.
    cancel: Duration,
}

/// How much of the shard was heard of late.
struct ShardSilence {
    zones: BTreeMap<String, Group>,
    shard: Group,
    /// The other live controllers.
    peers: Group,
}

impl ShardSilence {
    /// Zones in which machines are cut off rather than dead.
    fn cut_off_zones(&self) -> impl Iterator<Item = &str> {
        self.zones.iter().filter(|(_, group)| group.silent() || self.shard.silent()).map(|(zone, _)| zone.as_str())
    }
}

impl Controller {
    /// A machine that does not report is released: that alone proves at once
    /// that its tasks are gone. It destroys what lives if it is we who are cut
    /// off, or the machine with others: so only where death is the best explanation
    /// of its silence, and only a share of the shard per lease time. Elsewhere
    /// its lease is waited for, which ends its tasks all the same.
    pub(super) fn release_silent(&mut self) {
        let limits = self.silence_limits();
        self.refill_release_tokens();
        let silence = self.shard_silence();
        // What was cut off comes back one by one: those that are last are not dead.
        let back_at = self.now + limits.never_heard;
        for zone in silence.cut_off_zones() {
            self.connectivity.mark_cut_off(zone, back_at);
        }
        let machines = self.agents.machines().filter(|(_, machine)| !machine.releasing);
        let due: Vec<(String, ReleaseReason)> = machines
            .filter_map(|(name, machine)| Some((name.clone(), self.release_reason(name, machine, &limits, &silence)?)))
            .collect();
        if self.may_call_cloud(Retry::Release) {
            self.release_due(due);
        }
    }

    fn silence_limits(&self) -> SilenceLimits {
        let workers = &self.config.settings.workers;
        // Whoever reaches it has to have had the time to say so.
        let peers_say = self.heartbeat_intervals(MAX_HEARTBEAT_GAP)
            + Self::heartbeat_interval(self.heartbeat_intervals(1.0)).mul_f64(PEER_HEARTBEATS);
        let heard = self.heartbeat_intervals(self.config.operator.silent_reports).max(peers_say);
        SilenceLimits {
            heard,
            never_heard: (heard + self.secs(CONTROLLER_SWITCH_S)).max(self.full_retry_round()),
            lease: self.secs(workers.lease_s * DRIFT + workers.heartbeat_interval_s),
            cut_off: self.secs(workers.lease_s * CUT_OFF_LEASES),
            cancel: self.secs(workers.cancel_s * DRIFT + workers.heartbeat_interval_s),
        }
    }

    fn refill_release_tokens(&mut self) {
        let most = (self.agents.machines.len() as f64 * RELEASED_SHARE).max(1.0);
        self.releases.refill(self.now, most, self.config.settings.workers.lease_s);
    }

    /// How much of the shard, and of its part in each zone, was heard of late.
    fn shard_silence(&self) -> ShardSilence {
        let recent = self.heartbeat_intervals(MAX_HEARTBEAT_GAP);
        let mut zones: BTreeMap<String, Group> = BTreeMap::new();
        for (name, machine) in self.agents.machines().filter(|(_, machine)| machine.heard_at.is_some()) {
            let group = zones.entry(self.zone_of(name).to_string()).or_default();
            group.all += 1;
            group.heard += usize::from(silent_for(machine, self.now) < recent);
        }
        let sum = |count: fn(&Group) -> usize| zones.values().map(count).sum();
        let shard = Group { heard: sum(|group| group.heard), all: sum(|group| group.all) };
        ShardSilence { zones, shard, peers: self.reachable_peers() }
    }

    fn zone_of(&self, name: &str) -> &str {
        self.state.machines.get(name).map_or("", |machine| machine.rec.zone.as_str())
    }

    /// Why the machine is to be given back now, if it is.
    fn release_reason(
        &self,
        name: &str,
        machine: &Machine,
        limits: &SilenceLimits,
        silence: &ShardSilence,
    ) -> Option<ReleaseReason> {
        let silent = silent_for(machine, self.now);
        let is_placed = self.state.placed.contains_key(name);
        let is_drained = self.state.machines.get(name).is_some_and(|record| record.rec.drain) && machine.confirmed();
        if is_drained && machine.tasks.is_empty() && !is_placed {
            return Some(ReleaseReason::Drained);
        }
        if machine.unlisted && silent > self.heartbeat_intervals(UNLISTED_SILENCE) {
            return Some(ReleaseReason::Unlisted);
        }
        let limit = self.silence_limit(name, machine, limits);
        if silent <= limit || !self.is_suspect(name, machine, limits, is_placed) {
            return None;
        }
        let wait = match self.explain_silence(self.zone_of(name), silence) {
            SilenceCause::Dead => limit,
            SilenceCause::Likely => limit.max(limits.lease.min(limit * 2)),
            SilenceCause::Undecided => limit.max(limits.lease),
            SilenceCause::Cut => limit.max(limits.cut_off),
        };
        let reason = if machine.answers_are_lost() { ReleaseReason::HearsNothing } else { ReleaseReason::Silent };
        (silent > wait).then_some(reason)
    }

    /// After how long silence the machine is given up, if it alone is silent.
    fn silence_limit(&self, name: &str, machine: &Machine, limits: &SilenceLimits) -> Duration {
        let limit = if machine.heard_at.is_some() { limits.heard } else { limits.never_heard };
        let limit = self.given_up_after(name, limit);
        // What runs on a machine that hears nothing may run on to its lease's end.
        if machine.answers_are_lost() { limit.max(limits.lease) } else { limit }
    }

    /// Whether a silent machine may be held to be dead.
    fn is_suspect(&self, name: &str, machine: &Machine, limits: &SilenceLimits, is_placed: bool) -> bool {
        if !self.startup.fleet_known() || self.connectivity.is_unhearing(&self.process.member, self.now) {
            return false;
        }
        if !machine.answers_are_lost() && self.peers_hear(name) {
            return false;
        }
        if machine.heard_at.is_some() {
            return true;
        }
        // Without places it was rented and may be booting: the leader waits for it.
        is_placed
            && (!self.may_be_answered_by_previous_owner(name) || machine.lapsed(self.now, limits.lease, limits.cancel))
    }

    fn explain_silence(&self, zone: &str, silence: &ShardSilence) -> SilenceCause {
        if self.connectivity.is_cut_off(zone, self.now) {
            return SilenceCause::Cut;
        }
        diagnose_silence(silence.shard, silence.zones.get(zone).copied().unwrap_or_default(), silence.peers)
    }

    /// Gives machines back, as many at once as is allowed.
    fn release_due(&mut self, due: Vec<(String, ReleaseReason)>) {
        let mut names = Vec::new();
        for (name, reason) in due {
            if names.len() == RELEASE_LIMIT {
                break;
            }
            if reason.is_limited() && !self.releases.try_acquire() {
                continue;
            }
            tracing::info!(machine = %name, reason = reason.name(), "machine_released");
            self.agents.set_releasing(&name, true);
            names.push(name);
        }
        if !names.is_empty() {
            self.release(names);
        }
    }

    /// After how long silence this machine is given up; `limit` at least.
    fn given_up_after(&self, name: &str, limit: Duration) -> Duration {
        let (Some(load), Some(machine)) = (self.state.loads.get(name), self.state.machines.get(name)) else {
            return limit;
        };
        let machine_type = self.machine_type(&machine.rec.machine_type);
        let pull_gb_per_s = machine_type.map_or(f64::INFINITY, |machine_type| machine_type.pull_gb_per_s);
        let largest_gb = load.by_image.values().map(|tasks| tasks.image_gb).fold(0.0, f64::max);
        let lease_s = self.config.settings.workers.lease_s;
        self.secs(declared_lost_after_s(limit.as_secs_f64(), largest_gb / pull_gb_per_s, lease_s))
    }

    fn peers_hear(&self, name: &str) -> bool {
        let limit = self.full_retry_round();
        let answered_us = self.agents.probed_at(name).is_some_and(|at| self.now.saturating_sub(at) < limit);
        answered_us || self.reported_newer_elsewhere(name, limit)
    }

    /// Whether a peer heard it within `limit` say more than the last that came here.
    pub(in crate::controller) fn reported_newer_elsewhere(&self, name: &str, limit: Duration) -> bool {
        let known = self.agents.machine(name).map_or((0, 0), |machine| machine.at);
        self.connectivity.peers().hears(name, known, limit, self.now)
    }
}

/// How long the machine has been silent. One that hears nothing is as good as silent,
/// though its heartbeats come.
fn silent_for(machine: &Machine, now: Instant) -> Duration {
    let last = if machine.answers_are_lost() { machine.reached_at } else { machine.heard_at };
    now.saturating_sub(last.unwrap_or(machine.owned_since))
}
