//! The peer table: the last heartbeat of each other controller (peer), the earliest time at
//! which it can have been sent, and so which directions of the connection are known to work.
//!
//! A partition may delay a heartbeat by minutes. Each heartbeat acknowledges the highest of
//! ours that its sender had received, so it was sent after that one. If the acknowledged
//! heartbeat is old, then either this one is old too, or the connection works in one direction
//! only; it is treated as the worse of the two.

#![warn(missing_docs)]

use super::failure_detector::FailureDetector;
use super::heartbeat_tracking::HeartbeatCounters;
use crate::protocol::peer::{Acknowledgement, PeerHeartbeat, Revocations};
use crate::protocol::time::scale_duration;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// A peer counts as failed from this suspicion level on, which a live peer exceeds by chance once
/// in a thousand.
const MAX_SUSPICION: f64 = 3.0;
/// A heartbeat is recent while the one that it acknowledges is at most this many intervals old.
const MAX_ACKNOWLEDGEMENT_AGE_INTERVALS: f64 = 2.5;
/// How many of our own heartbeats and of the earlier incarnations of each peer are remembered.
const HISTORY_LEN: usize = 64;

/// The last heartbeat of one other controller.
#[derive(Debug)]
pub struct Peer {
    /// Tells from the intervals between the peer's heartbeats whether the next one is overdue.
    detector: FailureDetector,
    /// When the heartbeat was received.
    pub received_at: Duration,
    /// Incarnation (process) that sent the heartbeat.
    incarnation: u64,
    /// Earlier incarnations of the peer, the latest of them last.
    earlier_incarnations: VecDeque<u64>,
    /// Sequence number of the heartbeat.
    seq: u64,
    /// How old the peer's replica of the store was.
    pub replica_age: Duration,
    /// Machines that had sent a heartbeat to the peer: how long before, and with which counters.
    recent_machines: HashMap<String, (Duration, HeartbeatCounters)>,
    /// Machines that had answered a probe of the peer, and how long before.
    probe_answers: HashMap<String, Duration>,
    /// Machines of the peer's own shard that neither send heartbeats nor answer its probe.
    missed_machines: BTreeSet<String>,
    /// When we sent the heartbeat that this one acknowledges: this one was sent after that.
    pub sent_after: Option<Duration>,
    /// Revision of the peer's replica; `None` while it has none.
    revision: Option<u64>,
    /// The newest revision that the peer knew of.
    known_revision: u64,
    /// Which changes after a revision matter to a controller that has not applied them.
    revocations: Option<Revocations>,
    /// Live controllers in the peer's replica; empty if that was not fresh.
    members: Vec<(String, u64)>,
}

impl Peer {
    /// A peer whose first heartbeat this is. The heartbeat itself is not recorded yet.
    fn new(heartbeat: &PeerHeartbeat, interval: Duration, now: Duration) -> Peer {
        Peer {
            detector: FailureDetector::new(interval),
            received_at: now,
            incarnation: heartbeat.incarnation,
            earlier_incarnations: VecDeque::new(),
            seq: 0,
            replica_age: Duration::MAX,
            recent_machines: HashMap::new(),
            probe_answers: HashMap::new(),
            missed_machines: BTreeSet::new(),
            sent_after: None,
            revision: None,
            known_revision: 0,
            revocations: None,
            members: Vec::new(),
        }
    }

    /// Whether a heartbeat was sent after the last recorded one. It was not if it was delayed and
    /// overtaken by one over a newer connection, or if it is the last one of a process whose
    /// successor sent a heartbeat already.
    fn precedes(&self, heartbeat: &PeerHeartbeat) -> bool {
        if self.incarnation == heartbeat.incarnation {
            heartbeat.seq > self.seq
        } else {
            !self.earlier_incarnations.contains(&heartbeat.incarnation)
        }
    }

    /// Records a heartbeat.
    fn update(&mut self, heartbeat: &PeerHeartbeat, sent_after: Option<Duration>, now: Duration) {
        if self.incarnation != heartbeat.incarnation {
            self.earlier_incarnations.push_back(self.incarnation);
            if self.earlier_incarnations.len() > HISTORY_LEN {
                self.earlier_incarnations.pop_front();
            }
        }
        self.detector.heartbeat(now);
        (self.received_at, self.incarnation, self.seq) = (now, heartbeat.incarnation, heartbeat.seq);
        self.replica_age = Duration::from_millis(heartbeat.stale_ms);
        self.sent_after = sent_after;
        (self.revision, self.known_revision) = (heartbeat.revision, heartbeat.known_revision);
        self.revocations.clone_from(&heartbeat.revocations);
        self.members.clone_from(&heartbeat.members);
        self.update_machines(heartbeat);
    }

    /// Replaces what the peer reported about machines by what this heartbeat reports.
    fn update_machines(&mut self, heartbeat: &PeerHeartbeat) {
        let ago = Duration::from_millis;
        let recent = heartbeat.recent_machines.iter();
        self.recent_machines = recent
            .map(|recent| (recent.machine.clone(), (ago(recent.ago_ms), (recent.agent_epoch, recent.heartbeat_seq))))
            .collect();
        self.probe_answers = heartbeat.probe_answers.iter().map(|(machine, ms)| (machine.clone(), ago(*ms))).collect();
        let unresponsive = heartbeat.unresponsive.iter().map(|(machine, _)| machine);
        self.missed_machines =
            unresponsive.filter(|machine| !self.probe_answers.contains_key(*machine)).cloned().collect();
    }

    /// Machines that had sent a heartbeat to the peer: each with the time from its last message
    /// to the peer's heartbeat, and the counters of that message.
    pub fn recent_machines(&self) -> impl Iterator<Item = (&str, Duration, HeartbeatCounters)> {
        self.recent_machines.iter().map(|(machine, (age, counters))| (machine.as_str(), *age, *counters))
    }
}

/// The last heartbeats of all other controllers, and when we sent our own.
#[derive(Debug)]
pub struct PeerTable {
    /// Name of this controller.
    member: String,
    /// Incarnation (process) of this controller.
    incarnation: u64,
    /// Interval between the heartbeats of one controller.
    interval: Duration,
    /// Sequence number of our last heartbeat.
    seq: u64,
    /// Our last heartbeats, and when each was sent.
    sent: VecDeque<(u64, Duration)>,
    /// The other controllers that a heartbeat was received from, by name.
    peers: BTreeMap<String, Peer>,
}

impl PeerTable {
    /// An empty table; `interval` is the one between the heartbeats of one controller.
    pub fn new(member: &str, incarnation: u64, interval: Duration) -> PeerTable {
        PeerTable {
            member: member.into(),
            incarnation,
            interval,
            seq: 0,
            sent: VecDeque::new(),
            peers: BTreeMap::new(),
        }
    }

    /// Numbers a heartbeat that is sent now, and returns what it acknowledges.
    pub fn send(&mut self, now: Duration) -> (u64, Vec<Acknowledgement>) {
        self.seq += 1;
        self.sent.push_back((self.seq, now));
        if self.sent.len() > HISTORY_LEN {
            self.sent.pop_front();
        }
        let acknowledge = |(member, peer): (&String, &Peer)| Acknowledgement {
            member: member.clone(),
            incarnation: peer.incarnation,
            seq: peer.seq,
        };
        (self.seq, self.peers.iter().map(acknowledge).collect())
    }

    /// Records a heartbeat, unless a newer one of its sender was received before.
    pub fn receive(&mut self, member: &str, heartbeat: &PeerHeartbeat, now: Duration) {
        let sent_after = self.acknowledged_at(heartbeat);
        let interval = self.interval;
        let peer = self.peers.entry(member.to_string()).or_insert_with(|| Peer::new(heartbeat, interval, now));
        if peer.precedes(heartbeat) {
            peer.update(heartbeat, sent_after, now);
        }
    }

    /// When we sent the heartbeat that this one acknowledges; `None` if it acknowledges none of
    /// this incarnation, or one that is too old to be remembered.
    fn acknowledged_at(&self, heartbeat: &PeerHeartbeat) -> Option<Duration> {
        let is_ours = |ack: &&Acknowledgement| ack.member == self.member && ack.incarnation == self.incarnation;
        let acknowledged = heartbeat.acknowledgements.iter().find(is_ours)?.seq;
        self.sent.iter().find(|(seq, _)| *seq == acknowledged).map(|(_, sent_at)| *sent_at)
    }

    /// All peers that a heartbeat was received from.
    pub fn peers(&self) -> impl Iterator<Item = (&str, &Peer)> {
        self.peers.iter().map(|(member, peer)| (member.as_str(), peer))
    }

    /// The peer, if its last heartbeat is known to be recent. Such a peer receives ours.
    pub fn recent_peer(&self, member: &str) -> Option<&Peer> {
        let peer = self.peers.get(member)?;
        let oldest_allowed =
            peer.received_at.saturating_sub(scale_duration(self.interval, MAX_ACKNOWLEDGEMENT_AGE_INTERVALS));
        peer.sent_after.is_some_and(|sent_after| sent_after >= oldest_allowed).then_some(peer)
    }

    /// Whether the connection works in both directions, as far as can be known now.
    pub fn is_connected(&self, member: &str, now: Duration) -> bool {
        self.recent_peer(member).is_some_and(|peer| peer.detector.suspicion(now) < MAX_SUSPICION)
    }

    /// When a machine last sent a heartbeat to a peer, according to the peer's recent heartbeat.
    pub fn heartbeat_received_at(&self, member: &str, machine: &str) -> Option<Duration> {
        let peer = self.recent_peer(member)?;
        Some(peer.received_at.saturating_sub(peer.recent_machines.get(machine)?.0))
    }

    /// Whether any peer reported the machine in its last heartbeat, recent or not.
    pub fn any_reports(&self, machine: &str) -> bool {
        self.peers.values().any(|peer| peer.recent_machines.contains_key(machine))
    }

    /// Whether a peer's replica is known to have reached a revision. That stays true however old
    /// the heartbeat is: a later process of the same name has read at least as much.
    pub fn has_applied(&self, member: &str, revision: u64) -> bool {
        self.peers.get(member).and_then(|peer| peer.revision).is_some_and(|applied| applied >= revision)
    }

    /// Machines that are silent to a peer, according to its recent heartbeat.
    pub fn missed_machines(&self, member: &str) -> impl Iterator<Item = &str> {
        self.recent_peer(member).into_iter().flat_map(|peer| &peer.missed_machines).map(String::as_str)
    }

    /// When a silent machine answered a peer's probe, according to the peer's recent heartbeat.
    pub fn probe_answered_at(&self, member: &str, machine: &str) -> Option<Duration> {
        let peer = self.recent_peer(member)?;
        Some(peer.received_at.saturating_sub(*peer.probe_answers.get(machine)?))
    }

    /// Whether some peer received a heartbeat or a probe answer of the machine within `limit`. The
    /// peer's own heartbeat need not be recent: a doubt is enough to spare the machine. The
    /// machine's heartbeat must be newer than `known`, or it was a delayed copy.
    pub fn any_reaches(&self, machine: &str, known: HeartbeatCounters, limit: Duration, now: Duration) -> bool {
        self.peers.values().any(|peer| {
            let heartbeat_age =
                peer.recent_machines.get(machine).filter(|(_, counters)| *counters > known).map(|(age, _)| *age);
            let probe_answer_age = peer.probe_answers.get(machine).copied();
            let elapsed = now.saturating_sub(peer.received_at);
            [heartbeat_age, probe_answer_age].iter().flatten().any(|age| *age + elapsed < limit)
        })
    }

    /// A peer that reaches the store now, as far as its heartbeats tell.
    pub fn find_with_store_access(&self, now: Duration, max_age: Duration) -> Option<&str> {
        let reaches_store = |member: &str, peer: &Peer| peer.replica_age < max_age && self.is_connected(member, now);
        self.peers().find(|(member, peer)| reaches_store(member, peer)).map(|(member, _)| member)
    }

    /// A peer in whose fresh replica we are not among the live controllers: our machines belong
    /// to others already, or soon will.
    pub fn find_that_removed_us(&self, now: Duration) -> Option<&str> {
        let is_us = |(member, incarnation): &(String, u64)| *member == self.member && *incarnation == self.incarnation;
        let removed_us = |peer: &Peer| !peer.members.is_empty() && !peer.members.iter().any(is_us);
        self.peers().find(|(member, peer)| removed_us(peer) && self.is_connected(member, now)).map(|(member, _)| member)
    }

    /// The revision that the replicas of all peers have reached, as far as they report it. Counts
    /// only peers that sent a heartbeat `within` this time.
    pub fn min_applied_revision(&self, now: Duration, within: Duration) -> Option<u64> {
        let recent = self.peers.values().filter(|peer| now.saturating_sub(peer.received_at) < within);
        recent.filter_map(|peer| peer.revision).min()
    }

    /// The read index of a replica at `revision`: the time at which, by the heartbeats of all
    /// `others`, no controller knew of a change that matters and is missing from the replica.
    /// `None` if one of the others does not attest this. `covers` tells whether all of the given
    /// revocations are applied here already.
    ///
    /// Proof that such a replica may be acted on as if it had been read at that time. Each of the
    /// others sent its heartbeat after the one of ours that it acknowledges. Let T be the time at
    /// which the oldest of these acknowledged heartbeats was sent. What a controller tells users
    /// or acts on by T it has learned by T, so it is no newer than its `known_revision`. Hence
    /// our replica contains it, or, where our replica is older, it is a change after
    /// `revocations.since`. Only two kinds of the latter matter to a controller that answers
    /// workers:
    ///
    /// - A cancellation that a user was told of. If it is listed, we have stopped the job; if it
    ///   is not, the job is over, and each of its tasks was proved gone.
    /// - A grant of a machine of ours. It is listed, and then we do not act for the machine.
    ///   A controller that is granted it later holds it since T at the earliest, and waits
    ///   `cancel_s` from then before the machine's lease counts as expired.
    ///
    /// A read of the store at T gives both. A change that is committed but unknown to all, because
    /// its response is still on the way, is told and acted on after T. A controller that restarted
    /// has no replica until it has read everything that its predecessor can have acted on, and
    /// attests nothing before.
    pub fn read_index_time(
        &self,
        others: impl IntoIterator<Item = impl AsRef<str>>,
        revision: u64,
        covers: impl Fn(&Revocations) -> bool,
    ) -> Option<Duration> {
        let attests = |peer: &Peer| {
            let covers_changes = |revocations: &Revocations| revocations.since <= revision && covers(revocations);
            let has_applied_changes = || peer.revocations.as_ref().is_some_and(covers_changes);
            peer.revision.is_some() && (peer.known_revision <= revision || has_applied_changes())
        };
        let mut oldest = Some(Duration::MAX);
        for other in others {
            let peer = self.peers.get(other.as_ref()).filter(|peer| attests(peer));
            let sent_after = peer.and_then(|peer| peer.sent_after);
            oldest = oldest.zip(sent_after).map(|(oldest, sent_after)| oldest.min(sent_after));
        }
        oldest.filter(|time| *time < Duration::MAX)
    }
}

#[cfg(test)]
mod tests;
