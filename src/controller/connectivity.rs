//! Who reaches whom: beats out and in, and from them which controllers are deaf to
//! their machines and which machines are cut off from their owner. Hints only; no
//! rule rests on them, but for the attestation, whose proof is in `links::table`.

use super::*;
use crate::connectivity::account::{Account, Group, Sight, of_owner};
use crate::connectivity::fit::{self, Turns};
use crate::protocol::peer::{FRAME_LIMIT, Heard, Revocations};

/// Which controllers and machines reach each other, as far as is known here.
#[derive(Debug)]
pub(super) struct Connectivity {
    /// The other controllers, by their heartbeats.
    pub(super) peers: Links,
    /// Heartbeats came since the connections were last looked at.
    pub(super) changed: bool,
    /// Controllers that do not hear their machines.
    pub(super) deaf: Deaf,
    /// Zones of which most of our machines were silent, until when they count as cut off.
    pub(super) cut_until: HashMap<String, Instant>,
    /// Machines that came here though others own them, and when first.
    pub(super) strays: HashMap<String, Instant>,
    /// The grant of each machine, as it became known here.
    pub(super) owned: HashMap<String, Owned>,
    /// The state of the replica's machine records that `owned` follows.
    pub(super) owners_seen: Option<u64>,
    /// Machines that do not reach their owner, and since when that is known.
    pub(super) unreached_since: HashMap<String, Instant>,
    /// Heartbeats sent.
    pub(super) heartbeats: usize,
    /// When the next heartbeat goes out.
    pub(super) heartbeat_next: Instant,
}

impl Connectivity {
    /// Nothing is known of the other controllers yet.
    pub(super) fn new(peers: Links) -> Connectivity {
        Connectivity {
            peers,
            changed: false,
            deaf: Deaf::default(),
            cut_until: HashMap::new(),
            strays: HashMap::new(),
            owned: HashMap::new(),
            owners_seen: None,
            unreached_since: HashMap::new(),
            heartbeats: 0,
            heartbeat_next: Duration::ZERO,
        }
    }
}

/// So many beats tell of the images of all machines.
const BEATS_PER_ROUND: usize = 4;
/// So many silent machines are asked after in one beat.
const ASKS: usize = 24;
/// A machine that came to the wrong controller is told of within this part of a
/// report interval.
const STRAY_BEAT: f64 = 1.0 / 8.0;
/// What others are owed takes no more than this part of a frame.
const OWED_PART: usize = 8;
/// A single machine goes to a controller that hears it after so many report
/// intervals without its owner.
const UNREACHED_REPORTS: f64 = 1.0;

impl Controller {
    /// Tells the other controllers what is seen from here.
    pub(super) fn heartbeat(&mut self) {
        let keep = self.round_of_all() + self.heartbeat_intervals(1.0);
        let now = self.now;
        let view = &self.state;
        self.agents.hearing.prune(now, keep, |m| view.machines.contains_key(m));
        if self.store.session.following() {
            self.agents.images.retain(|m, _| view.machines.contains_key(m));
        }
        let millis = |d: Duration| d.as_millis() as u64;
        let (seq, acknowledgements) = self.connectivity.peers.send(now);
        self.agents.probed.retain(|_, t| now.saturating_sub(*t) < keep);
        let silent = self.silent_machines();
        self.probe(&silent);
        let mut heartbeat = PeerHeartbeat {
            silent,
            reached: self.agents.probed.iter().map(|(m, t)| (m.clone(), millis(now.saturating_sub(*t)))).collect(),
            incarnation: self.process.incarnation,
            seq,
            acknowledgements,
            members: if self.store.session.following() && self.fresh() { self.live_members() } else { Vec::new() },
            revision: self.store.session.following().then_some(self.state.revision),
            known_revision: self.state.known_revision(),
            revocations: self.revocations(),
            rented: if self.am_leader() { self.autoscaler.young.iter().cloned().collect() } else { Vec::new() },
            unlisted: if self.am_leader() { self.cloud.unlisted.iter().cloned().collect() } else { Vec::new() },
            held: Vec::new(),
            images: Vec::new(),
            stale_ms: self.store.session.staleness(now).map_or(u64::MAX, millis),
            heard: self
                .agents
                .hearing
                .all()
                .map(|(m, t, (agent_epoch, heartbeat_seq))| {
                    let ago_ms = millis(now.saturating_sub(t));
                    Heard { machine: m.to_string(), ago_ms, agent_epoch, heartbeat_seq }
                })
                .collect(),
        };
        self.connectivity.heartbeats = self.connectivity.heartbeats.wrapping_add(1);
        for (n, name) in self.state.machines.keys().enumerate() {
            if (n + self.connectivity.heartbeats).is_multiple_of(BEATS_PER_ROUND)
                && let Some(images) = self.held_images(name).filter(|i| !i.is_empty())
            {
                heartbeat.note_images(name, images.iter());
            }
        }
        let turns =
            Turns { heartbeats: self.connectivity.heartbeats, held: self.connectivity.heartbeats / BEATS_PER_ROUND };
        fit::fit(&mut heartbeat, turns, |machine| self.told_first(machine));
        for other in &self.config.others {
            let frame = Frame::PeerHeartbeat(Box::new(heartbeat.clone()));
            self.outbox.push(Action::Send { member: other.member.clone(), frame });
        }
    }

    /// Whether a beat that leaves hearing out must have this machine's: another controller
    /// owns or hears it, or it has no task by which the others know that it is up.
    fn told_first(&self, machine: &str) -> bool {
        let ours = self.owner_of(machine).is_some_and(|owner| *owner == self.process.member);
        !ours || self.connectivity.peers.knows(machine) || !self.state.loads.contains_key(machine)
    }

    /// What others must know of that they have not seen, as far as they said.
    fn revocations(&self) -> Option<Revocations> {
        if !self.store.session.following() || !self.state.has_all_known() {
            return None;
        }
        let spoke = self.secs(self.config.settings.workers.lease_s);
        let since = self.connectivity.peers.seen_by_all(self.now, spoke).unwrap_or(self.state.revision);
        let named = |(name, at): (&String, u64)| (name.clone(), at);
        let cancelled: Vec<(String, u64)> = self.state.cancelled_since(since).map(named).collect();
        let granted: Vec<(String, u64)> = self.state.granted_since(since).map(named).collect();
        let bytes = |list: &[(String, u64)]| -> usize {
            list.iter().map(|(name, _)| name.len() + size_of::<(u32, u64)>()).sum()
        };
        let size = bytes(&cancelled) + bytes(&granted);
        (size < FRAME_LIMIT / OWED_PART).then_some(Revocations { since, cancelled, granted })
    }

    /// Lets go of jobs that another controller knows to be cancelled.
    pub(super) fn apply_revocations(&mut self, revocations: &Revocations) {
        if !self.store.session.following() {
            return;
        }
        let revision = self.state.revision;
        let (mut let_go, mut newest) = (0, 0);
        for (uid, at) in revocations.cancelled.iter().filter(|(_, at)| *at > revision) {
            if !self.state.lets_go(uid) {
                self.state.cancelled_elsewhere(uid, *at);
                (let_go, newest) = (let_go + 1, (*at).max(newest));
            }
        }
        if let_go > 0 {
            self.scheduler.dirty = true;
            tracing::info!(jobs = let_go, revision, newest, "withdrawn by word of another controller");
        }
    }

    /// Whether all that is owed is heeded: the jobs are let go, and no machine of ours
    /// was granted since.
    fn has_applied(&self, revocations: &Revocations) -> bool {
        let revision = self.state.revision;
        let ours = |m: &str, at: u64| self.state.machines.get(m).is_some_and(|h| self.owns(h) && h.rec.granted < at);
        revocations.cancelled.iter().all(|(uid, at)| *at <= revision || self.state.lets_go(uid))
            && !revocations.granted.iter().any(|(m, at)| *at > revision && ours(m, *at))
    }

    /// The images that a machine of any block is known to hold.
    pub(super) fn held_images(&self, machine: &str) -> Option<&Images> {
        self.agents.machines.get(machine).map(|m| &m.images).or_else(|| self.agents.images.get(machine))
    }

    /// Takes in what another controller knows of images: of its machines, and
    /// of ours from before we started.
    pub(super) fn note_images(&mut self, heartbeat: &PeerHeartbeat) {
        for (machine, images) in heartbeat.images() {
            if !self.state.machines.contains_key(machine) {
                continue;
            }
            let known = match self.agents.machines.get_mut(machine) {
                Some(m) => &mut m.images,
                None => self.agents.images.entry(machine.to_string()).or_default(),
            };
            for image in images {
                if !known.contains(image) {
                    std::rc::Rc::make_mut(known).insert(image.clone());
                }
            }
        }
    }

    /// Machines of ours that fell silent of late: whether anybody reaches them
    /// decides what becomes of them.
    fn silent_machines(&self) -> Vec<(String, String)> {
        let (from, to) =
            (self.heartbeat_intervals(agents::HEARD_REPORTS), self.round_of_all() + self.heartbeat_intervals(2.0));
        let silent = |m: &Machine| m.heard_at.map_or(Duration::MAX, |t| self.now.saturating_sub(t));
        let fell = |m: &Machine| !m.releasing && !m.addr.is_empty() && silent(m) >= from && silent(m) < to;
        let mut out: Vec<(&String, &Machine)> = self.agents.machines.iter().filter(|(_, m)| fell(m)).collect();
        out.sort_by_key(|(_, m)| silent(m));
        out.into_iter().take(ASKS).map(|(name, m)| (name.clone(), m.addr.clone())).collect()
    }

    /// Calls machines that fell silent to their owner; reading what they report
    /// changes nothing and renews no lease.
    pub(super) fn probe(&mut self, silent: &[(String, String)]) {
        for (machine, addr) in silent.iter().take(ASKS) {
            let Ok(addr) = addr.parse() else { continue };
            let purpose = Purpose::Probe { machine: machine.clone(), known: self.agents.hearing.newest(machine) };
            self.call(Target::Worker(addr), "GET", "/show".into(), None, self.heartbeat_intervals(1.0), purpose);
        }
    }

    /// Calls a machine whose report may be a copy: of one that nobody knows, or that
    /// says less than is known.
    pub(super) fn call_back(&mut self, report: &Heartbeat) {
        if self.agents.hearing.may_call(&report.machine, self.now, self.heartbeat_intervals(1.0)) {
            self.probe(&[(report.machine.clone(), report.addr.clone())]);
        }
    }

    pub(super) fn probe_answer(&mut self, machine: String, known: At, result: Result<Reply, NoAnswer>) {
        let report = result.ok().filter(|r| r.status == 200);
        let report = report.and_then(|r| crate::protocol::decode::<Heartbeat>(&r.body).ok());
        let Some(report) = report.filter(|r| r.machine == machine) else { return };
        // Its owner may be about to return it.
        self.connectivity.heartbeat_next =
            self.connectivity.heartbeat_next.min(self.now + self.heartbeat_intervals(STRAY_BEAT));
        self.agents.probed.insert(machine.clone(), self.now);
        let at = (report.agent_epoch, report.heartbeat_seq);
        let belied = self.agents.machines.get(&machine).is_some_and(|m| at > m.at && m.belies(report.fencing_token));
        if at < known || belied {
            // It said this after we called, so its counters or its token went back: it ended.
            tracing::info!(%machine, agent_epoch = at.0, heartbeat_seq = at.1, "machine began anew");
            self.agents.hearing.begins_anew(&machine, at, self.now);
            if let Some(m) = self.agents.machines.get_mut(&machine) {
                m.begin_anew(&report);
                m.heard_at = Some(self.now);
                self.scheduler.dirty = true;
            }
        }
        self.retry_held();
    }

    fn live_members(&self) -> Vec<(String, u64)> {
        self.state.members.iter().map(|(m, r)| (m.clone(), r.rec.incarnation)).collect()
    }

    /// Whom a worker should go to while we may not act or should not: somebody
    /// who reaches the store, if we do not.
    pub(super) fn better_off(&self) -> Option<String> {
        if self.fresh() {
            return None;
        }
        let expelled = self.connectivity.peers.expelled_by(self.now);
        let served =
            || self.connectivity.peers.served(self.now, self.heartbeat_intervals(1.0)).filter(|_| !self.entitled());
        expelled.or_else(served).map(Into::into)
    }

    /// How long a worker that can reach few of the controllers may take to come
    /// round to one of them.
    pub(super) fn round_of_all(&self) -> Duration {
        let w = &self.config.settings.workers;
        let round = agents::WORKER_MOVES_S * self.config.controllers() as f64;
        self.secs(round.min(w.lease_s)).max(self.heartbeat_intervals(3.0))
    }

    /// Beats go at this interval.
    pub(super) fn heartbeat_interval(report: Duration) -> Duration {
        report / 2
    }

    /// A worker that should have reported to its owner came here: the others
    /// hear of it sooner than by the next beat.
    pub(super) fn note_stray(&mut self, machine: &str) {
        let known = self
            .connectivity
            .strays
            .get(machine)
            .is_some_and(|t| self.now.saturating_sub(*t) < self.heartbeat_intervals(2.0));
        if !known {
            self.connectivity.strays.insert(machine.to_string(), self.now);
            self.connectivity.heartbeat_next =
                self.connectivity.heartbeat_next.min(self.now + self.heartbeat_intervals(STRAY_BEAT));
        }
    }

    /// Looks at what machines reach their owners; the leader at all, everybody
    /// else at its own.
    pub(super) fn links_tick(&mut self) {
        let now = self.now;
        self.note_owners();
        let strays_since = self.round_of_all();
        self.sharding.avoid.retain(|_, t| *t > now);
        self.connectivity.strays.retain(|_, t| now.saturating_sub(*t) < strays_since);
        if !std::mem::take(&mut self.connectivity.changed) && self.connectivity.strays.is_empty() {
            return;
        }
        let leads = self.am_leader();
        // Machines that reported to somebody else than their owner, and when.
        let mut others: HashMap<&str, Instant> = HashMap::new();
        let mut note = |machine: &'_ str, by: &str, at: Instant| {
            let Some((name, h)) = self.state.machines.get_key_value(machine) else { return };
            let ours = h.rec.owner == self.process.member;
            if h.rec.owner != by && (leads || ours) && self.state.owned(&h.rec) {
                let last = others.entry(name).or_default();
                *last = (*last).max(at);
            }
        };
        for (machine, at, _) in self.agents.hearing.all() {
            note(machine, &self.process.member, at);
        }
        for (member, p) in self.connectivity.peers.peers() {
            if self.connectivity.peers.news(member).is_some() {
                p.heard().for_each(|(machine, age, _)| note(machine, member, p.at.saturating_sub(age)));
            }
        }
        let mut unreached: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for (name, at) in &others {
            let Some(h) = self.state.machines.get(*name) else { continue };
            if self.sight(name, &h.rec.owner, Some(*at)).unreached().is_some() {
                unreached.entry(&h.rec.owner).or_default().push(name);
            }
        }
        let mut found: Vec<(String, Account, usize)> = Vec::new();
        for (owner, machines) in &unreached {
            let shard = self.state.machines.iter().filter(|(_, h)| h.rec.owner == **owner);
            let sights: Vec<Sight> =
                shard.map(|(name, _)| self.sight(name, owner, others.get(name.as_str()).copied())).collect();
            found.push((owner.to_string(), of_owner(&sights), machines.len()));
        }
        let mut unreached_since = HashMap::new();
        for name in unreached.values().flatten() {
            let since = self.connectivity.unreached_since.get(*name).copied().unwrap_or(now);
            unreached_since.insert(name.to_string(), since);
        }
        self.connectivity.unreached_since = unreached_since;
        let pause = self.secs(self.config.settings.workers.lease_s);
        for (owner, account, machines) in found {
            if self.connectivity.deaf.note(&owner, account, now, pause) {
                tracing::info!(member = %owner, machines, "does not hear its machines, others do");
                // Whoever can act on it hears of it at once.
                self.leadership.check_at_next_tick(now);
            }
        }
    }

    /// Since when each machine belongs to its owner, as far as is known here.
    fn note_owners(&mut self) {
        if self.connectivity.owners_seen == Some(self.state.machines_changed) {
            return;
        }
        self.connectivity.owners_seen = Some(self.state.machines_changed);
        let (now, view) = (self.now, &self.state);
        self.connectivity.owned.retain(|name, _| view.machines.contains_key(name));
        for (name, h) in &view.machines {
            let (grant, owner) = (h.rec.granted, &h.rec.owner);
            match self.connectivity.owned.get_mut(name) {
                Some(known) if known.grant == grant => {}
                Some(known) => {
                    (known.grant, known.since) = (grant, now);
                    known.from = Some(std::mem::replace(&mut known.owner, owner.clone()));
                }
                None => {
                    let owned = Owned { grant, since: now, owner: owner.clone(), from: None };
                    self.connectivity.owned.insert(name.clone(), owned);
                }
            }
        }
    }

    /// Whether a machine that never reported to us may still be answered by its
    /// owner before us, which is not known to have seen that it is ours.
    pub(super) fn may_be_answered(&self, machine: &str) -> bool {
        self.connectivity.owned.get(machine).is_some_and(|o| {
            o.from.as_ref().is_some_and(|m| *m != self.process.member && !self.connectivity.peers.has_seen(m, o.grant))
        })
    }

    fn sight(&self, machine: &str, owner: &str, by_other: Option<Instant>) -> Sight {
        let (by_owner, owner_says_at) = if owner == self.process.member {
            (self.agents.hearing.heard(machine), Some(self.now))
        } else {
            (self.connectivity.peers.heard_at(owner, machine), self.connectivity.peers.news(owner).map(|p| p.at))
        };
        let owned_since = self.connectivity.owned.get(machine).map_or(self.now, |o| o.since);
        Sight { by_owner, owner_says_at, by_other, owned_since }
    }

    /// Machines that reach another controller, but not their owner, and which:
    /// they came there and not back to it, or they fell silent to it, do not
    /// answer its call, and answer somebody else's.
    pub(super) fn unreached_machines(&self) -> Vec<(String, String)> {
        let lasting = self.heartbeat_intervals(UNREACHED_REPORTS);
        let long = |t: &Instant| self.now.saturating_sub(*t) >= lasting;
        let mut names: BTreeSet<&str> =
            self.connectivity.unreached_since.iter().filter(|(_, t)| long(t)).map(|(name, _)| name.as_str()).collect();
        for member in self.state.members.keys() {
            names.extend(self.connectivity.peers.misses(member).filter(|name| self.owner_of(name) == Some(member)));
        }
        let own = self.silent_machines();
        names.extend(own.iter().map(|(name, _)| name.as_str()).filter(|name| !self.agents.probed.contains_key(*name)));
        let known = |name: &str, member: &str| {
            if member == self.process.member {
                return self.agents.hearing.heard(name).max(self.agents.probed.get(name).copied());
            }
            self.connectivity.peers.heard_at(member, name).max(self.connectivity.peers.reached_at(member, name))
        };
        let near = self.heartbeat_intervals(2.0);
        // One that hears nothing comes round to all in turn. Moved once, it is moved
        // again only if it does not come to its new owner either.
        let (now, round) = (self.now, self.round_of_all());
        let moved: BTreeSet<&str> = self.sharding.avoid.keys().map(|(machine, _)| machine.as_str()).collect();
        let settled = |name: &str, owner: &str| {
            let since = self.connectivity.owned.get(name).map_or(now, |o| o.since);
            !moved.contains(name) || now.saturating_sub(since) > round && known(name, owner).is_none_or(|t| t < since)
        };
        let by_whom = |name: &str| {
            let owner = self.owner_of(name).filter(|owner| settled(name, owner))?;
            let able = self.state.members.keys().filter(|m| *m != owner && !self.connectivity.deaf.is(m, self.now));
            let hears = able.filter_map(|m| Some((known(name, m)?, m))).max()?;
            (self.now.saturating_sub(hears.0) < near).then(|| (name.to_string(), hears.1.clone()))
        };
        names.into_iter().filter_map(by_whom).collect()
    }

    fn owner_of(&self, machine: &str) -> Option<&String> {
        self.state.machines.get(machine).map(|h| &h.rec.owner)
    }

    /// Whether a machine reaches a controller, as far as is known.
    pub(super) fn reaches(&self, machine: &str, member: &str) -> bool {
        self.sharding.avoid.get(&(machine.to_string(), member.to_string())).is_none_or(|t| *t <= self.now)
    }

    /// The other live controllers, and how many of them are heard both ways.
    pub(super) fn speaking(&self) -> Group {
        let others = || self.state.members.keys().filter(|m| **m != self.process.member);
        Group {
            heard: others().filter(|m| self.connectivity.peers.both_ways(m, self.now)).count(),
            all: others().count(),
        }
    }

    /// When this controller's view was last known to be the newest there is: by
    /// its own read of the store, or by the word of all others.
    pub(super) fn surely_fresh_at(&self) -> Option<Instant> {
        let others = self.config.others.iter().map(|o| &o.member);
        self.store.session.fresh_at.max(
            self.connectivity.peers.attested(others, self.state.revision, |revocations| self.has_applied(revocations)),
        )
    }
}
