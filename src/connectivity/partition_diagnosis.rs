//! Diagnosis of network partitions: why machines do not reach their controller.
//!
//! A worker that gets no response tries the next controller after `4 s + 1 s`
//! (PROTOCOL), and is redirected to its owner at once. So a machine that sent a
//! heartbeat to another controller, and none to its owner since, by a heartbeat of the
//! owner that was sent later than a redirect takes, does not reach its owner. Where more
//! machines of a shard do not reach the owner than still do, the owner is cut off
//! (`Deaf`); where fewer do not, it is those machines that are cut off from it.
//!
//! That a machine is silent proves nothing: machines that no controller receives heartbeats from
//! are dead, or cut off from all, or on their way between controllers. The causes are
//! told apart by what else fell silent with them; where that does not suffice, the cause
//! is undecided.

use std::collections::BTreeMap;
use std::time::Duration;

/// Longest that a redirect takes: a redirected worker calls its owner at once or after
/// half a second.
const REDIRECT_TIME: Duration = Duration::from_secs(1);
/// Fewer unreached machines than this are no evidence against their owner, unless they
/// are its whole shard.
const MIN_EVIDENCE: usize = 3;

/// What the controllers observe of one machine.
#[derive(Debug, Clone, Copy)]
pub struct MachineObservation {
    /// When its owner last received a heartbeat of it, by the owner's newest heartbeat.
    pub by_owner: Option<Duration>,
    /// When the owner's newest heartbeat was sent; none where there is no reliable one.
    pub owner_says_at: Option<Duration>,
    /// When any other controller last received a heartbeat of it.
    pub by_other: Option<Duration>,
    /// Since when it belongs to this owner, as far as is known here.
    pub owned_since: Duration,
}

impl MachineObservation {
    /// When it reached another controller, if it was redirected to its owner then and did
    /// not reach it.
    pub fn unreached(&self) -> Option<Duration> {
        let other = self.by_other.filter(|time| *time > self.owned_since + REDIRECT_TIME)?;
        let missed = self.by_owner.is_none_or(|time| time < other);
        let owner_would_know = self.owner_says_at.is_some_and(|sent_at| sent_at >= other + REDIRECT_TIME);
        (missed && owner_would_know).then_some(other)
    }
}

/// Diagnosis of a controller by the machines of its shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Account {
    /// No machine fails to reach it.
    Well,
    /// Some machines do not reach it, but most do: the machines are cut off.
    SomeCutOff,
    /// Fewer of its machines reach it than do not: the controller is cut off.
    Deaf,
}

/// Diagnoses the owner of these machines.
pub fn diagnose_owner(shard: &[MachineObservation]) -> Account {
    let unreached: Vec<Duration> = shard.iter().filter_map(MachineObservation::unreached).collect();
    let Some(first) = unreached.iter().min() else { return Account::Well };
    // Only machines that reached it after the first one did not are evidence for it.
    let reached_since = |machine: &&MachineObservation| machine.by_owner.is_some_and(|time| time > *first);
    let reached = shard.iter().filter(|machine| machine.unreached().is_none()).filter(reached_since).count();
    let enough = unreached.len() >= MIN_EVIDENCE.min(shard.len());
    if enough && unreached.len() > reached { Account::Deaf } else { Account::SomeCutOff }
}

/// The cause of a machine's silence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceCause {
    /// The machine is dead: it alone is silent, and every controller that could receive
    /// its heartbeats says that it does not.
    Dead,
    /// A partition: most of its zone fell silent too, or most of our own shard.
    Cut,
    /// Probably dead: as `Dead`, but some controller that could tell is not connected to
    /// us. During a rolling restart there is always one.
    Likely,
    /// Too few controllers are connected to us to tell.
    Undecided,
}

/// How many of a group (machines, or controllers) sent a heartbeat recently.
#[derive(Debug, Clone, Copy, Default)]
pub struct Group {
    /// Those that sent a heartbeat recently.
    pub heard: usize,
    /// All of the group.
    pub all: usize,
}

impl Group {
    /// Whether more than half of the group is silent; a group of one is no evidence.
    pub fn silent(self) -> bool {
        self.heard * 2 < self.all && self.all > 1
    }
}

/// Diagnoses a machine that no controller received a heartbeat of: `shard` is the
/// observer's own, `zone` the part of it in the machine's zone, `others` the other live
/// controllers, of which those count as heard that are connected in both directions.
pub fn diagnose_silence(shard: Group, zone: Group, others: Group) -> SilenceCause {
    if shard.silent() || zone.silent() {
        SilenceCause::Cut
    } else if others.heard >= others.all {
        SilenceCause::Dead
    } else if others.heard > 0 && others.heard * 2 >= others.all {
        SilenceCause::Likely
    } else {
        SilenceCause::Undecided
    }
}

/// Controllers that were found to be cut off from their machines, each until a pause
/// after the last such diagnosis has passed.
#[derive(Debug, Default)]
pub struct Deaf {
    /// The end of the pause of each controller.
    until: BTreeMap<String, Duration>,
}

impl Deaf {
    /// Records a diagnosis, and tells whether the controller is newly cut off. It is
    /// trusted again only after `pause`: a flapping link would otherwise have shards
    /// reassigned back and forth.
    pub fn note(&mut self, member: &str, diagnosis: Account, now: Duration, pause: Duration) -> bool {
        if diagnosis != Account::Deaf {
            return false;
        }
        self.until.insert(member.to_string(), now + pause).is_none_or(|until| until <= now)
    }

    /// Whether a controller counts as cut off.
    pub fn is(&self, member: &str, now: Duration) -> bool {
        self.until.get(member).is_some_and(|until| *until > now)
    }

    /// All controllers that count as cut off.
    pub fn names(&self, now: Duration) -> impl Iterator<Item = &str> {
        self.until.iter().filter(move |(_, until)| **until > now).map(|(member, _)| member.as_str())
    }
}

#[cfg(test)]
mod tests;
