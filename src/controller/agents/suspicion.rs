//! Detection of machines to release: those that fell silent, and those that are not needed any
//! more.

use super::{CONTROLLER_SWITCH_S, CUT_OFF_LEASES, MAX_HEARTBEAT_GAP_INTERVALS};
use crate::connectivity::partition_diagnosis::{LivenessCount, SilenceCause, diagnose_silence};
use crate::controller::{Controller, MAX_CLOCK_RATE_RATIO};
use crate::coordination::machine::Machine;
use crate::effects::Instant;
use crate::protocol::cloud::MAX_MACHINES_PER_RELEASE;
use crate::protocol::time::scale_duration;
use crate::retry::Purpose as RetryPurpose;
use crate::scaling::declared_lost_after_s;
use std::collections::BTreeMap;
use std::time::Duration;

/// A machine that the cloud no longer lists is released after this many heartbeat intervals of
/// silence: it may have sent a heartbeat after the list was made.
const UNLISTED_SILENCE_INTERVALS: f64 = 1.25;
/// A controller that reaches a silent machine reports this within this many of its heartbeat
/// intervals.
const PEER_REPORT_INTERVALS: f64 = 2.5;
/// The largest part of the shard that may be released within one lease.
const MAX_RELEASED_SHARE: f64 = 1.0 / 4.0;

/// Why a machine is released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReleaseReason {
    /// It is drained, and nothing is left on it.
    Drained,
    /// The cloud no longer lists it.
    Unlisted,
    /// Its heartbeats stopped.
    Silent,
    /// Its heartbeats arrive, but the answers do not reach it.
    AnswersLost,
}

impl ReleaseReason {
    /// The name of the reason in log events.
    fn name(self) -> &'static str {
        match self {
            ReleaseReason::Drained => "drained",
            ReleaseReason::Unlisted => "unlisted",
            ReleaseReason::Silent => "silent",
            ReleaseReason::AnswersLost => "hears_nothing",
        }
    }

    /// Whether the machine may still be alive, so that only a part of the shard is released.
    fn is_limited(self) -> bool {
        matches!(self, ReleaseReason::Silent | ReleaseReason::AnswersLost)
    }
}

/// How long a machine may be silent before it is released.
#[derive(Debug, Clone, Copy)]
struct SilenceLimits {
    /// At least this long, if it sent a heartbeat under the present grant.
    after_heartbeat: Duration,
    /// At least this long, if it sent none under the present grant. It may still be waiting for its
    /// old controller, and for others that it does not reach, and no controller here knows its
    /// address yet.
    without_heartbeat: Duration,
    /// Until its lease has expired.
    lease: Duration,
    /// If it is cut off together with others.
    cut_off: Duration,
    /// Time since a grant after which no answer of an earlier owner counts.
    cancel: Duration,
}

/// How much of the shard sent heartbeats recently.
struct ShardLiveness {
    /// The machines of the shard in each zone.
    zones: BTreeMap<String, LivenessCount>,
    /// All machines of the shard.
    shard: LivenessCount,
    /// The other live controllers, of which those are live that are connected to us.
    peers: LivenessCount,
}

impl ShardLiveness {
    /// Zones in which machines are cut off rather than dead.
    fn cut_off_zones(&self) -> impl Iterator<Item = &str> {
        self.zones
            .iter()
            .filter(|(_, group)| group.mostly_silent() || self.shard.mostly_silent())
            .map(|(zone, _)| zone.as_str())
    }
}

impl Controller {
    /// Releases machines that are silent, drained or no longer listed by the cloud.
    ///
    /// The release of a silent machine is the only immediate proof that its tasks are gone. But it
    /// destroys live tasks if this controller is cut off, or the machine together with others. So a
    /// machine is released only if its death best explains its silence, and only a part of the
    /// shard per lease. Otherwise its lease is waited for, at the end of which its tasks end too.
    pub(super) fn release_due_machines(&mut self) {
        let limits = self.silence_limits();
        self.refill_release_tokens();
        let liveness = self.shard_liveness();
        // Machines of a zone that was cut off come back one by one: the last of them are not dead.
        let until = self.now + limits.without_heartbeat;
        for zone in liveness.cut_off_zones() {
            self.connectivity.mark_zone_cut_off(zone, until);
        }
        let machines = self.agents.machines().filter(|(_, machine)| !machine.releasing);
        let due: Vec<(String, ReleaseReason)> = machines
            .filter_map(|(name, machine)| Some((name.clone(), self.release_reason(name, machine, &limits, &liveness)?)))
            .collect();
        if self.may_call_cloud(RetryPurpose::Release) {
            self.release_within_limits(due);
        }
    }

    /// How long machines may be silent, by the present settings.
    fn silence_limits(&self) -> SilenceLimits {
        let workers = &self.config.deployment.workers;
        // A controller that reaches the machine must have had the time to report it.
        let peer_report_time = self.heartbeat_intervals(MAX_HEARTBEAT_GAP_INTERVALS)
            + scale_duration(Self::peer_heartbeat_interval(self.heartbeat_intervals(1.0)), PEER_REPORT_INTERVALS);
        let after_heartbeat = self.heartbeat_intervals(self.config.operator.silent_reports).max(peer_report_time);
        SilenceLimits {
            after_heartbeat,
            without_heartbeat: (after_heartbeat + self.secs(CONTROLLER_SWITCH_S)).max(self.full_retry_round()),
            lease: self.secs(workers.lease_s * MAX_CLOCK_RATE_RATIO + workers.heartbeat_interval_s),
            cut_off: self.secs(workers.lease_s * CUT_OFF_LEASES),
            cancel: self.secs(workers.cancel_s * MAX_CLOCK_RATE_RATIO + workers.heartbeat_interval_s),
        }
    }

    /// Refills the tokens that limit how much of the shard is released per lease.
    fn refill_release_tokens(&mut self) {
        let max_tokens = (self.agents.machines.len() as f64 * MAX_RELEASED_SHARE).max(1.0);
        self.releases.refill(self.now, max_tokens, self.config.deployment.workers.lease_s);
    }

    /// How much of the shard, and of its part in each zone, sent heartbeats recently.
    fn shard_liveness(&self) -> ShardLiveness {
        let max_silence = self.heartbeat_intervals(MAX_HEARTBEAT_GAP_INTERVALS);
        let mut zones: BTreeMap<String, LivenessCount> = BTreeMap::new();
        for (name, machine) in self.agents.machines().filter(|(_, machine)| machine.heard_at.is_some()) {
            let group = zones.entry(self.zone_of(name).to_string()).or_default();
            group.total += 1;
            group.live += usize::from(silent_for(machine, self.now) < max_silence);
        }
        let sum = |count: fn(&LivenessCount) -> usize| zones.values().map(count).sum();
        let shard = LivenessCount { live: sum(|group| group.live), total: sum(|group| group.total) };
        ShardLiveness { zones, shard, peers: self.reachable_peers() }
    }

    /// The zone of the machine; empty if it has no record.
    fn zone_of(&self, name: &str) -> &str {
        self.state.machines.get(name).map_or("", |machine| machine.rec.zone.as_str())
    }

    /// Why the machine is to be released now; `None` if it is not.
    fn release_reason(
        &self,
        name: &str,
        machine: &Machine,
        limits: &SilenceLimits,
        liveness: &ShardLiveness,
    ) -> Option<ReleaseReason> {
        let silent = silent_for(machine, self.now);
        let is_placed = self.state.placed_tasks.contains_key(name);
        let is_drained = self.state.machines.get(name).is_some_and(|record| record.rec.draining) && machine.confirmed();
        if is_drained && machine.tasks.is_empty() && !is_placed {
            return Some(ReleaseReason::Drained);
        }
        if machine.unlisted && silent > self.heartbeat_intervals(UNLISTED_SILENCE_INTERVALS) {
            return Some(ReleaseReason::Unlisted);
        }
        let limit = self.silence_limit(name, machine, limits);
        if silent <= limit || !self.may_be_dead(name, machine, limits, is_placed) {
            return None;
        }
        let min_silence = match self.silence_cause(self.zone_of(name), liveness) {
            SilenceCause::Dead => limit,
            SilenceCause::ProbablyDead => limit.max(limits.lease.min(limit * 2)),
            SilenceCause::Undecided => limit.max(limits.lease),
            SilenceCause::Partition => limit.max(limits.cut_off),
        };
        let reason = if machine.answers_are_lost() { ReleaseReason::AnswersLost } else { ReleaseReason::Silent };
        (silent > min_silence).then_some(reason)
    }

    /// After how long a silence the machine is released, if it alone is silent.
    fn silence_limit(&self, name: &str, machine: &Machine, limits: &SilenceLimits) -> Duration {
        let limit = if machine.heard_at.is_some() { limits.after_heartbeat } else { limits.without_heartbeat };
        let limit = self.silence_limit_with_image_pull(name, limit);
        // Tasks on a machine that gets no answers may run on until its lease expires.
        if machine.answers_are_lost() { limit.max(limits.lease) } else { limit }
    }

    /// Whether a silent machine may be taken for dead.
    fn may_be_dead(&self, name: &str, machine: &Machine, limits: &SilenceLimits, is_placed: bool) -> bool {
        if !self.startup.fleet_known() || self.connectivity.is_controller_cut_off(&self.process.member, self.now) {
            return false;
        }
        if !machine.answers_are_lost() && self.any_controller_reaches(name) {
            return false;
        }
        if machine.heard_at.is_some() {
            return true;
        }
        // Without placements it was just provisioned and may be booting: the leader waits for it.
        is_placed
            && (!self.may_be_answered_by_previous_owner(name)
                || machine.lease_expired(self.now, limits.lease, limits.cancel))
    }

    /// The most likely cause of the silence of a machine in the zone.
    fn silence_cause(&self, zone: &str, liveness: &ShardLiveness) -> SilenceCause {
        if self.connectivity.is_zone_cut_off(zone, self.now) {
            return SilenceCause::Partition;
        }
        diagnose_silence(liveness.shard, liveness.zones.get(zone).copied().unwrap_or_default(), liveness.peers)
    }

    /// Releases machines, as many at once as is allowed.
    fn release_within_limits(&mut self, due: Vec<(String, ReleaseReason)>) {
        let mut names = Vec::new();
        for (name, reason) in due {
            if names.len() == MAX_MACHINES_PER_RELEASE {
                break;
            }
            if reason.is_limited() && !self.releases.try_acquire() {
                continue;
            }
            tracing::info!(machine = %name, reason = reason.name(), "machine released");
            self.agents.set_releasing(&name, true);
            names.push(name);
        }
        if !names.is_empty() {
            self.release_machines(names);
        }
    }

    /// After how long a silence this machine is released, with regard to the time that its tasks
    /// would need to pull their images elsewhere; at least `limit`.
    fn silence_limit_with_image_pull(&self, name: &str, limit: Duration) -> Duration {
        let (Some(load), Some(machine)) = (self.state.machine_loads.get(name), self.state.machines.get(name)) else {
            return limit;
        };
        let machine_type = self.machine_type(&machine.rec.machine_type);
        let pull_gb_per_s = machine_type.map_or(f64::INFINITY, |machine_type| machine_type.pull_gb_per_s);
        let largest_gb = load.by_image.values().map(|tasks| tasks.image_gb).fold(0.0, f64::max);
        let lease_s = self.config.deployment.workers.lease_s;
        self.secs(declared_lost_after_s(limit.as_secs_f64(), largest_gb / pull_gb_per_s, lease_s))
    }

    /// Whether some controller recently got a heartbeat or a probe answer of a silent machine.
    fn any_controller_reaches(&self, name: &str) -> bool {
        let limit = self.full_retry_round();
        let answered_probe = self.agents.probe_answered_at(name).is_some_and(|at| self.now.saturating_sub(at) < limit);
        answered_probe || self.peer_has_newer_heartbeat(name, limit)
    }

    /// Whether a peer received, within `limit`, a heartbeat of the machine that is newer than the
    /// last one received here.
    pub(in crate::controller) fn peer_has_newer_heartbeat(&self, name: &str, limit: Duration) -> bool {
        let known = self.agents.machine(name).map_or((0, 0), |machine| machine.newest_report);
        self.connectivity.peers().any_reaches(name, known, limit, self.now)
    }
}

/// How long the machine has been silent. One that gets no answers counts as silent from the
/// last answer that reached it, although its heartbeats arrive.
fn silent_for(machine: &Machine, now: Instant) -> Duration {
    let last = if machine.answers_are_lost() { machine.answer_confirmed_at } else { machine.heard_at };
    now.saturating_sub(last.unwrap_or(machine.owned_since))
}
