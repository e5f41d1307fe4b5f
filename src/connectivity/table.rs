//! The link table: what each other controller said last, when it can have said
//! it, and so what is known to pass between it and us, each way.
//!
//! A beat may be held back by a cut and come minutes late. It carries the highest
//! of our beats that its sender had, so it was sent after that one: a beat whose
//! echo is old is old news, or comes over a link that works one way only, and is
//! treated as the worse of the two.

use super::arrivals::Arrivals;
use super::hearing::At;
use crate::protocol::peer::{Acknowledgement, PeerHeartbeat, Revocations};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// Above this a peer's silence counts: it would come by luck once in a thousand.
const SUSPECT: f64 = 3.0;
/// An echo may be this many beats old, and the news still counts as new.
const ECHO_BEATS: f64 = 2.5;
/// So many of our own beats are remembered, and so many earlier processes of a peer.
const REMEMBERED: usize = 64;

/// What one other controller said last.
#[derive(Debug)]
pub struct Peer {
    arrivals: Arrivals,
    /// When its last beat came.
    pub at: Duration,
    incarnation: u64,
    /// Processes of its name that ended before this one.
    past: VecDeque<u64>,
    seq: u64,
    /// How old its view of the store was.
    pub stale: Duration,
    /// Machines that had reported to it, how long before, and what they said.
    heard: HashMap<String, (Duration, At)>,
    /// Silent machines that answered its call, and how long before.
    reached: HashMap<String, Duration>,
    /// Machines of its own that it neither hears nor reaches.
    misses: BTreeSet<String>,
    /// It was sent after this: when we sent what it echoes.
    pub sent_after: Option<Duration>,
    /// Revision of its view; none while it has none.
    revision: Option<u64>,
    /// The newest change that it knew anything of.
    known_revision: u64,
    /// What of those after a revision matters to who has not seen them.
    revocations: Option<Revocations>,
    /// Live controllers in its view, if that was fresh.
    members: Vec<(String, u64)>,
}

impl Peer {
    /// Machines that had reported to it, how long before its beat, and what they said.
    pub fn heard(&self) -> impl Iterator<Item = (&str, Duration, At)> {
        self.heard.iter().map(|(m, (age, at))| (m.as_str(), *age, *at))
    }
}

#[derive(Debug)]
pub struct Links {
    me: String,
    incarnation: u64,
    every: Duration,
    seq: u64,
    /// Our last beats, and when they went.
    sent: VecDeque<(u64, Duration)>,
    peers: BTreeMap<String, Peer>,
}

impl Links {
    /// `every`: the interval of beats.
    pub fn new(me: &str, incarnation: u64, every: Duration) -> Links {
        Links { me: me.into(), incarnation, every, seq: 0, sent: VecDeque::new(), peers: BTreeMap::new() }
    }

    /// The number of a beat that goes now, and the echoes that it carries.
    pub fn send(&mut self, now: Duration) -> (u64, Vec<Acknowledgement>) {
        self.seq += 1;
        self.sent.push_back((self.seq, now));
        if self.sent.len() > REMEMBERED {
            self.sent.pop_front();
        }
        let acknowledgements =
            |(m, p): (&String, &Peer)| Acknowledgement { member: m.clone(), incarnation: p.incarnation, seq: p.seq };
        (self.seq, self.peers.iter().map(acknowledgements).collect())
    }

    /// Takes a beat in.
    pub fn receive(&mut self, member: &str, heartbeat: &PeerHeartbeat, now: Duration) {
        let mine = |e: &&Acknowledgement| e.member == self.me && e.incarnation == self.incarnation;
        let echoed = heartbeat.acknowledgements.iter().find(mine).map(|e| e.seq);
        let sent_after = echoed.and_then(|n| self.sent.iter().find(|(seq, _)| *seq == n)).map(|(_, at)| *at);
        let every = self.every;
        let p = self.peers.entry(member.to_string()).or_insert_with(|| Peer {
            arrivals: Arrivals::new(every),
            at: now,
            incarnation: heartbeat.incarnation,
            past: VecDeque::new(),
            seq: 0,
            stale: Duration::MAX,
            heard: HashMap::new(),
            reached: HashMap::new(),
            misses: BTreeSet::new(),
            sent_after: None,
            revision: None,
            known_revision: 0,
            revocations: None,
            members: Vec::new(),
        });
        if p.incarnation == heartbeat.incarnation && heartbeat.seq <= p.seq {
            return; // held back, and overtaken over a newer connection
        }
        if p.incarnation != heartbeat.incarnation {
            if p.past.contains(&heartbeat.incarnation) {
                return; // the last word of a process whose successor spoke already
            }
            p.past.push_back(p.incarnation);
            if p.past.len() > REMEMBERED {
                p.past.pop_front();
            }
        }
        p.arrivals.arrived(now);
        (p.at, p.incarnation, p.seq) = (now, heartbeat.incarnation, heartbeat.seq);
        p.stale = Duration::from_millis(heartbeat.stale_ms);
        let ago = Duration::from_millis;
        p.heard = heartbeat
            .recent_machines
            .iter()
            .map(|h| (h.machine.clone(), (ago(h.ago_ms), (h.agent_epoch, h.heartbeat_seq))))
            .collect();
        p.reached = heartbeat.probe_answers.iter().map(|(m, ms)| (m.clone(), ago(*ms))).collect();
        p.misses = heartbeat.unresponsive.iter().map(|a| a.0.clone()).filter(|m| !p.reached.contains_key(m)).collect();
        p.sent_after = sent_after;
        (p.revision, p.known_revision) = (heartbeat.revision, heartbeat.known_revision);
        p.revocations.clone_from(&heartbeat.revocations);
        p.members.clone_from(&heartbeat.members);
    }

    pub fn peers(&self) -> impl Iterator<Item = (&str, &Peer)> {
        self.peers.iter().map(|(m, p)| (m.as_str(), p))
    }

    /// Its last beat is as new as it seems, and it hears us.
    pub fn news(&self, member: &str) -> Option<&Peer> {
        let p = self.peers.get(member)?;
        let oldest = p.at.saturating_sub(self.every.mul_f64(ECHO_BEATS));
        p.sent_after.is_some_and(|t| t >= oldest).then_some(p)
    }

    /// Both ways work, as far as can be known now.
    pub fn both_ways(&self, member: &str, now: Duration) -> bool {
        self.news(member).is_some_and(|p| p.arrivals.suspicion(now) < SUSPECT)
    }

    /// When a machine last reported to a peer, by its newest news.
    pub fn heard_at(&self, member: &str, machine: &str) -> Option<Duration> {
        let p = self.news(member)?;
        Some(p.at.saturating_sub(p.heard.get(machine)?.0))
    }

    /// Whether any peer ever told of the machine in its last beat.
    pub fn knows(&self, machine: &str) -> bool {
        self.peers.values().any(|p| p.heard.contains_key(machine))
    }

    /// Whether a peer's view is known to have come to a revision. That stays true
    /// however old the word is; a later process of its name read at least as much.
    pub fn has_seen(&self, member: &str, revision: u64) -> bool {
        self.peers.get(member).and_then(|p| p.revision).is_some_and(|r| r >= revision)
    }

    /// Machines that a peer misses, by its news.
    pub fn misses(&self, member: &str) -> impl Iterator<Item = &str> {
        self.news(member).into_iter().flat_map(|p| &p.misses).map(String::as_str)
    }

    /// When a machine that was silent answered a peer's call, by its news.
    pub fn reached_at(&self, member: &str, machine: &str) -> Option<Duration> {
        let p = self.news(member)?;
        Some(p.at.saturating_sub(*p.reached.get(machine)?))
    }

    /// Whether some peer heard or reached the machine within `limit`, news or not:
    /// a doubt is enough to spare it. What it said there must be newer than `known`,
    /// or it was a copy.
    pub fn hears(&self, machine: &str, known: At, limit: Duration, now: Duration) -> bool {
        let late = |p: &Peer, age: &Duration| *age + now.saturating_sub(p.at) < limit;
        let heard = |p: &'_ Peer| p.heard.get(machine).filter(|h| h.1 > known).map(|h| h.0);
        let ages = |p: &'_ Peer| [heard(p), p.reached.get(machine).copied()];
        self.peers.values().any(|p| ages(p).iter().flatten().any(|age| late(p, age)))
    }

    /// A controller that reaches the store now, as far as its news tell.
    pub fn served(&self, now: Duration, stale: Duration) -> Option<&str> {
        let well = |m: &str, p: &Peer| p.stale < stale && self.both_ways(m, now);
        self.peers().find(|(m, p)| well(m, p)).map(|(m, _)| m)
    }

    /// A controller whose fresh view no longer has us among the living: what we
    /// held is others' by now, or soon will be.
    pub fn expelled_by(&self, now: Duration) -> Option<&str> {
        let out = |p: &Peer| {
            let us = |(m, i): &(String, u64)| *m == self.me && *i == self.incarnation;
            !p.members.is_empty() && !p.members.iter().any(us)
        };
        self.peers().find(|(m, p)| out(p) && self.both_ways(m, now)).map(|(m, _)| m)
    }

    /// The revision that all who spoke of late have come to, as far as they said.
    pub fn seen_by_all(&self, now: Duration, within: Duration) -> Option<u64> {
        self.peers.values().filter(|p| now.saturating_sub(p.at) < within).filter_map(|p| p.revision).min()
    }

    /// The time at which, by the word of all `others`, nobody knew of a change that
    /// matters and is not in a view at `revision`; none if one of them does not say so.
    /// `covers`: whether all that one is owed is heeded here already.
    ///
    /// Proof that such a view may be acted on as if it had been read then. Each of
    /// them said it after the beat of ours that it echoes, and the oldest of these
    /// counts, T. What a controller tells or acts on by T it has learned by T, so it is
    /// no newer than `known_revision`: in our view, or, where that is older, after `owed.since`.
    /// Of the latter only two things matter to who answers workers. A cancellation that
    /// was told: it is listed, and we have let the job go, or it is over, and each of
    /// its tasks was proved gone. A machine of ours that was granted: it is listed, and
    /// then we do not go on; whoever got it later holds it since T at the earliest, and
    /// waits `cancel_s` from then before it calls the machine lapsed. Both are what a
    /// read of the store at T gives. A change that is carried out and unknown to all,
    /// its answer still under way, is told and acted on after T. One that restarted has
    /// no view until it has read all that its predecessor can have acted on, and says
    /// nothing before.
    pub fn attested(
        &self,
        others: impl IntoIterator<Item = impl AsRef<str>>,
        revision: u64,
        covers: impl Fn(&Revocations) -> bool,
    ) -> Option<Duration> {
        let known = |p: &Peer| {
            let revocations = || p.revocations.as_ref().is_some_and(|o| o.since <= revision && covers(o));
            p.revision.is_some() && (p.known_revision <= revision || revocations())
        };
        let mut oldest = Some(Duration::MAX);
        for other in others {
            let attests = self.peers.get(other.as_ref()).filter(|p| known(p)).and_then(|p| p.sent_after);
            oldest = oldest.zip(attests).map(|(a, b)| a.min(b));
        }
        oldest.filter(|t| *t < Duration::MAX)
    }
}

#[cfg(test)]
mod tests;
