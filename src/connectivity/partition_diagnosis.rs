//! Diagnosis of network partitions: why machines do not reach their owner, the controller to
//! whose shard they belong.
//!
//! A worker that gets no response waits 4 s and tries the next controller 1 s later; a
//! controller that does not own its machine redirects it to the owner at once. So a machine
//! does not reach its owner if it sent a heartbeat to another controller and none to the owner
//! since. That is known from a heartbeat of the owner that was sent later than a redirect
//! takes. If more machines of a shard fail to reach the owner than still reach it, the owner
//! is cut off (`OwnerReachability::CutOff`); if fewer do, those machines are cut off from it.
//!
//! That a machine is silent proves nothing. A machine of which no controller receives
//! heartbeats is dead, or cut off from all controllers, or on its way from one controller to
//! the next. What else fell silent with it tells the causes apart; where that does not
//! suffice, the cause is undecided.

#![warn(missing_docs)]

use std::collections::BTreeMap;
use std::time::Duration;

/// The longest time that a redirect takes: a redirected worker contacts its owner at once or
/// after half a second.
const REDIRECT_TIME: Duration = Duration::from_secs(1);
/// Fewer unreached machines than this are no evidence against their owner, unless they are
/// its whole shard.
const MIN_UNREACHED_MACHINES: usize = 3;

/// What the controllers observe of one machine.
#[derive(Debug, Clone, Copy)]
pub struct MachineObservation {
    /// When its owner last received a heartbeat of it, according to the owner's newest heartbeat.
    pub owner_heard_at: Option<Duration>,
    /// When the owner's newest heartbeat was sent; `None` if there is no reliable one.
    pub owner_reported_at: Option<Duration>,
    /// When any other controller last received a heartbeat of it.
    pub other_heard_at: Option<Duration>,
    /// Since when it belongs to this owner, as far as is known here.
    pub owned_since: Duration,
}

impl MachineObservation {
    /// When the machine last reached another controller, if it was redirected to its owner then
    /// and still did not reach it; `None` otherwise.
    pub fn missed_owner_at(&self) -> Option<Duration> {
        let heard_at = self.other_heard_at.filter(|time| *time > self.owned_since + REDIRECT_TIME)?;
        let missed_owner = self.owner_heard_at.is_none_or(|time| time < heard_at);
        let owner_would_know = self.owner_reported_at.is_some_and(|sent_at| sent_at >= heard_at + REDIRECT_TIME);
        (missed_owner && owner_would_know).then_some(heard_at)
    }
}

/// How well a controller is reached by the machines of its shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerReachability {
    /// No machine is known not to reach it.
    Reachable,
    /// Some machines do not reach it, but most do: those machines are cut off.
    SomeMachinesCutOff,
    /// Fewer of its machines reach it than do not: the controller is cut off.
    CutOff,
}

/// Diagnoses the owner of a shard's machines.
pub fn diagnose_owner(shard: &[MachineObservation]) -> OwnerReachability {
    let missed_at: Vec<Duration> = shard.iter().filter_map(MachineObservation::missed_owner_at).collect();
    let Some(first) = missed_at.iter().min() else { return OwnerReachability::Reachable };
    // Only machines that reached the owner after the first failure are evidence for it.
    let reached_since = |machine: &&MachineObservation| machine.owner_heard_at.is_some_and(|time| time > *first);
    let reached = shard.iter().filter(|machine| machine.missed_owner_at().is_none()).filter(reached_since).count();
    let has_enough_evidence = missed_at.len() >= MIN_UNREACHED_MACHINES.min(shard.len());
    if has_enough_evidence && missed_at.len() > reached {
        OwnerReachability::CutOff
    } else {
        OwnerReachability::SomeMachinesCutOff
    }
}

/// The cause of a machine's silence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceCause {
    /// The machine is dead: it alone is silent, and every controller that could receive its
    /// heartbeats reports that it does not.
    Dead,
    /// A partition: most of the machine's zone fell silent too, or most of our own shard.
    Partition,
    /// Probably dead: as `Dead`, but some controller that could tell is not connected to us.
    /// During a rolling restart there always is one.
    ProbablyDead,
    /// Too few controllers are connected to us to tell.
    Undecided,
}

/// How many of a group of machines or controllers are live.
#[derive(Debug, Clone, Copy, Default)]
pub struct LivenessCount {
    /// Machines that sent a heartbeat recently, or controllers that are connected to us.
    pub live: usize,
    /// All members of the group.
    pub total: usize,
}

impl LivenessCount {
    /// Whether more than half of the group is silent. A group of one is no evidence.
    pub fn mostly_silent(self) -> bool {
        self.live * 2 < self.total && self.total > 1
    }
}

/// Diagnoses a machine of which no controller received a heartbeat. `shard` counts the
/// machines of the observer's shard and `zone` those of them in the machine's zone. `others`
/// counts the other live controllers, as live those that are connected in both directions.
pub fn diagnose_silence(shard: LivenessCount, zone: LivenessCount, others: LivenessCount) -> SilenceCause {
    if shard.mostly_silent() || zone.mostly_silent() {
        SilenceCause::Partition
    } else if others.live >= others.total {
        SilenceCause::Dead
    } else if others.live > 0 && others.live * 2 >= others.total {
        SilenceCause::ProbablyDead
    } else {
        SilenceCause::Undecided
    }
}

/// Controllers that were found to be cut off from their machines. Each is listed until a pause
/// after the last such diagnosis has passed.
#[derive(Debug, Default)]
pub struct CutOffControllers {
    /// When the pause of each controller ends.
    cut_off_until: BTreeMap<String, Duration>,
}

impl CutOffControllers {
    /// Records a diagnosis, and returns whether the controller is newly cut off. It is trusted
    /// again only after `pause`: otherwise a link that fails and recovers repeatedly would have
    /// shards reassigned back and forth.
    pub fn record(&mut self, member: &str, reachability: OwnerReachability, now: Duration, pause: Duration) -> bool {
        if reachability != OwnerReachability::CutOff {
            return false;
        }
        self.cut_off_until.insert(member.to_string(), now + pause).is_none_or(|until| until <= now)
    }

    /// Whether a controller counts as cut off.
    pub fn contains(&self, member: &str, now: Duration) -> bool {
        self.cut_off_until.get(member).is_some_and(|until| *until > now)
    }

    /// The names of all controllers that count as cut off.
    pub fn names(&self, now: Duration) -> impl Iterator<Item = &str> {
        self.cut_off_until.iter().filter(move |(_, until)| **until > now).map(|(member, _)| member.as_str())
    }
}

#[cfg(test)]
mod tests;
