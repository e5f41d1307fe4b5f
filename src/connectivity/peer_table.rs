//! The peer table: the last heartbeat of each other controller, the earliest time at
//! which it can have been sent, and so which directions of the connection are known to
//! work.
//!
//! A partition may delay a heartbeat by minutes. Each one acknowledges the highest of our
//! heartbeats that its sender had received, so it was sent after that one. A heartbeat
//! whose acknowledgement is old either is old itself or comes over a connection that works
//! in one direction only; it is treated as the worse of the two.

use super::failure_detector::FailureDetector;
use super::heartbeat_tracking::At;
use crate::protocol::peer::{Acknowledgement, PeerHeartbeat, Revocations};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// Suspicion above which a peer counts as failed: chance exceeds it once in a thousand.
const SUSPICION_LIMIT: f64 = 3.0;
/// A heartbeat is recent while what it acknowledges is no older than this many intervals.
const ACKNOWLEDGEMENT_INTERVALS: f64 = 2.5;
/// How many of our own heartbeats are remembered, and how many earlier incarnations of a
/// peer.
const HISTORY: usize = 64;

/// The last heartbeat of one other controller.
#[derive(Debug)]
pub struct Peer {
    detector: FailureDetector,
    /// When the heartbeat was received.
    pub at: Duration,
    incarnation: u64,
    /// Its earlier incarnations.
    earlier_incarnations: VecDeque<u64>,
    seq: u64,
    /// How old its replica of the store was.
    pub stale: Duration,
    /// Machines that had sent it a heartbeat: how long before, and the counters.
    heard: HashMap<String, (Duration, At)>,
    /// Machines that had answered its probe, and how long before.
    probe_answers: HashMap<String, Duration>,
    /// Machines of its own shard that neither send heartbeats nor answer its probe.
    misses: BTreeSet<String>,
    /// The heartbeat was sent after this: when we sent the one that it acknowledges.
    pub sent_after: Option<Duration>,
    /// Revision of its replica; none while it has none.
    revision: Option<u64>,
    /// The newest revision that it knew of.
    known_revision: u64,
    /// Which changes after a revision matter to a controller that has not applied them.
    revocations: Option<Revocations>,
    /// Live controllers in its replica, if that was fresh.
    members: Vec<(String, u64)>,
}

impl Peer {
    /// A peer of which this is the first heartbeat, which is not recorded yet.
    fn new(heartbeat: &PeerHeartbeat, interval: Duration, now: Duration) -> Peer {
        Peer {
            detector: FailureDetector::new(interval),
            at: now,
            incarnation: heartbeat.incarnation,
            earlier_incarnations: VecDeque::new(),
            seq: 0,
            stale: Duration::MAX,
            heard: HashMap::new(),
            probe_answers: HashMap::new(),
            misses: BTreeSet::new(),
            sent_after: None,
            revision: None,
            known_revision: 0,
            revocations: None,
            members: Vec::new(),
        }
    }

    /// Whether a heartbeat was sent after the last one that was recorded: not one that was
    /// delayed and overtaken over a newer connection, nor the last one of a process whose
    /// successor was heard already.
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
            if self.earlier_incarnations.len() > HISTORY {
                self.earlier_incarnations.pop_front();
            }
        }
        self.detector.heartbeat(now);
        (self.at, self.incarnation, self.seq) = (now, heartbeat.incarnation, heartbeat.seq);
        self.stale = Duration::from_millis(heartbeat.stale_ms);
        self.sent_after = sent_after;
        (self.revision, self.known_revision) = (heartbeat.revision, heartbeat.known_revision);
        self.revocations.clone_from(&heartbeat.revocations);
        self.members.clone_from(&heartbeat.members);
        self.update_machines(heartbeat);
    }

    fn update_machines(&mut self, heartbeat: &PeerHeartbeat) {
        let ago = Duration::from_millis;
        let recent = heartbeat.recent_machines.iter();
        self.heard = recent
            .map(|recent| (recent.machine.clone(), (ago(recent.ago_ms), (recent.agent_epoch, recent.heartbeat_seq))))
            .collect();
        self.probe_answers = heartbeat.probe_answers.iter().map(|(machine, ms)| (machine.clone(), ago(*ms))).collect();
        let unresponsive = heartbeat.unresponsive.iter().map(|(machine, _)| machine);
        self.misses = unresponsive.filter(|machine| !self.probe_answers.contains_key(*machine)).cloned().collect();
    }

    /// Machines that had sent it a heartbeat: how long before its own, and the counters.
    pub fn heard(&self) -> impl Iterator<Item = (&str, Duration, At)> {
        self.heard.iter().map(|(machine, (age, at))| (machine.as_str(), *age, *at))
    }
}

/// The last heartbeats of all other controllers, and when we sent our own.
#[derive(Debug)]
pub struct PeerTable {
    /// Name of this controller.
    me: String,
    incarnation: u64,
    /// Interval of heartbeats.
    interval: Duration,
    /// Sequence number of our last heartbeat.
    seq: u64,
    /// Our last heartbeats, and when each was sent.
    sent: VecDeque<(u64, Duration)>,
    peers: BTreeMap<String, Peer>,
}

impl PeerTable {
    /// No heartbeats yet; `interval` is that between those of one controller.
    pub fn new(me: &str, incarnation: u64, interval: Duration) -> PeerTable {
        PeerTable { me: me.into(), incarnation, interval, seq: 0, sent: VecDeque::new(), peers: BTreeMap::new() }
    }

    /// The sequence number of a heartbeat that is sent now, and its acknowledgements.
    pub fn send(&mut self, now: Duration) -> (u64, Vec<Acknowledgement>) {
        self.seq += 1;
        self.sent.push_back((self.seq, now));
        if self.sent.len() > HISTORY {
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

    /// When we sent the heartbeat that this one acknowledges; none where it acknowledges
    /// none of this incarnation, or one that is too old to be remembered.
    fn acknowledged_at(&self, heartbeat: &PeerHeartbeat) -> Option<Duration> {
        let ours = |ack: &&Acknowledgement| ack.member == self.me && ack.incarnation == self.incarnation;
        let acknowledged = heartbeat.acknowledgements.iter().find(ours)?.seq;
        self.sent.iter().find(|(seq, _)| *seq == acknowledged).map(|(_, sent_at)| *sent_at)
    }

    /// All peers that a heartbeat was received from.
    pub fn peers(&self) -> impl Iterator<Item = (&str, &Peer)> {
        self.peers.iter().map(|(member, peer)| (member.as_str(), peer))
    }

    /// A peer whose last heartbeat is known to be recent, and which receives ours.
    pub fn news(&self, member: &str) -> Option<&Peer> {
        let peer = self.peers.get(member)?;
        let oldest = peer.at.saturating_sub(self.interval.mul_f64(ACKNOWLEDGEMENT_INTERVALS));
        peer.sent_after.is_some_and(|sent_after| sent_after >= oldest).then_some(peer)
    }

    /// Whether the connection works in both directions, as far as can be known now.
    pub fn both_ways(&self, member: &str, now: Duration) -> bool {
        self.news(member).is_some_and(|peer| peer.detector.suspicion(now) < SUSPICION_LIMIT)
    }

    /// When a machine last sent a heartbeat to a peer, by the peer's recent heartbeat.
    pub fn heard_at(&self, member: &str, machine: &str) -> Option<Duration> {
        let peer = self.news(member)?;
        Some(peer.at.saturating_sub(peer.heard.get(machine)?.0))
    }

    /// Whether any peer reported the machine in its last heartbeat, recent or not.
    pub fn knows(&self, machine: &str) -> bool {
        self.peers.values().any(|peer| peer.heard.contains_key(machine))
    }

    /// Whether a peer's replica is known to have reached a revision. That stays true
    /// however old the heartbeat is; a later process of its name read at least as much.
    pub fn has_seen(&self, member: &str, revision: u64) -> bool {
        self.peers.get(member).and_then(|peer| peer.revision).is_some_and(|applied| applied >= revision)
    }

    /// Machines that a peer misses, by its recent heartbeat.
    pub fn misses(&self, member: &str) -> impl Iterator<Item = &str> {
        self.news(member).into_iter().flat_map(|peer| &peer.misses).map(String::as_str)
    }

    /// When an unresponsive machine answered a peer's probe, by the peer's recent heartbeat.
    pub fn reached_at(&self, member: &str, machine: &str) -> Option<Duration> {
        let peer = self.news(member)?;
        Some(peer.at.saturating_sub(*peer.probe_answers.get(machine)?))
    }

    /// Whether some peer received a heartbeat or a probe answer of the machine within
    /// `limit`, by a heartbeat that is recent or not: a doubt is enough to spare the
    /// machine. Its heartbeat must be newer than `known`, or it was a delayed copy.
    pub fn hears(&self, machine: &str, known: At, limit: Duration, now: Duration) -> bool {
        self.peers.values().any(|peer| {
            let heard = peer.heard.get(machine).filter(|(_, at)| *at > known).map(|(age, _)| *age);
            let probed = peer.probe_answers.get(machine).copied();
            let elapsed = now.saturating_sub(peer.at);
            [heard, probed].iter().flatten().any(|age| *age + elapsed < limit)
        })
    }

    /// A controller that reaches the store now, as far as its heartbeats tell.
    pub fn served(&self, now: Duration, stale: Duration) -> Option<&str> {
        let reaches_store = |member: &str, peer: &Peer| peer.stale < stale && self.both_ways(member, now);
        self.peers().find(|(member, peer)| reaches_store(member, peer)).map(|(member, _)| member)
    }

    /// A controller in whose fresh replica we are not among the live controllers: our
    /// machines belong to others by now, or soon will.
    pub fn removed_by(&self, now: Duration) -> Option<&str> {
        let is_us = |(member, incarnation): &(String, u64)| *member == self.me && *incarnation == self.incarnation;
        let expelled = |peer: &Peer| !peer.members.is_empty() && !peer.members.iter().any(is_us);
        self.peers().find(|(member, peer)| expelled(peer) && self.both_ways(member, now)).map(|(member, _)| member)
    }

    /// The revision that the replicas of all peers that sent a heartbeat `within` this
    /// time have reached, as far as they said.
    pub fn min_applied_revision(&self, now: Duration, within: Duration) -> Option<u64> {
        let recent = self.peers.values().filter(|peer| now.saturating_sub(peer.at) < within);
        recent.filter_map(|peer| peer.revision).min()
    }

    /// The time at which, by the heartbeats of all `others`, nobody knew of a change that
    /// matters and is not in a replica at `revision`: the read index of that replica. None
    /// if one of them does not say so. `covers`: whether all of these revocations are
    /// applied here already.
    ///
    /// Proof that such a replica may be acted on as if it had been read at that time. Each
    /// of the others sent its heartbeat after the one of ours that it acknowledges, and the
    /// oldest of these was sent at T. What a controller tells or acts on by T it has learned
    /// by T, so it is no newer than `known_revision`: it is in our replica, or, where that
    /// is older, after `revocations.since`. Of the latter only two things matter to a
    /// controller that answers workers:
    ///
    /// - A cancellation that a user was told of: it is listed, and we have stopped the job,
    ///   or it is over, and each of its tasks was proved gone.
    /// - A machine of ours that was granted: it is listed, and then we do not act for it;
    ///   whoever was granted it later holds it since T at the earliest, and waits `cancel_s`
    ///   from then before the machine's lease counts as expired.
    ///
    /// Both are what a read of the store at T gives. A change that is committed and unknown
    /// to all, its response still on the way, is told and acted on after T. A controller
    /// that restarted has no replica until it has read all that its predecessor can have
    /// acted on, and attests nothing before.
    pub fn attested(
        &self,
        others: impl IntoIterator<Item = impl AsRef<str>>,
        revision: u64,
        covers: impl Fn(&Revocations) -> bool,
    ) -> Option<Duration> {
        let attests = |peer: &Peer| {
            let is_applied = |revocations: &Revocations| revocations.since <= revision && covers(revocations);
            let applied = || peer.revocations.as_ref().is_some_and(is_applied);
            peer.revision.is_some() && (peer.known_revision <= revision || applied())
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
