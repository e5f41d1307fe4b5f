//! Who reaches whom: beats out and in, and from them which controllers are deaf to
//! their machines and which machines are cut off from their owner. Hints only; no
//! rule rests on them, but for the attestation, whose proof is in `links::table`.

use super::*;
use crate::connectivity::account::{Account, Group, Sight, of_owner};
use crate::connectivity::fit::{self, Turns};
use crate::protocol::peer::{FRAME_LIMIT, Heard, Revocations};

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
        let view = &self.view;
        self.hearing.prune(now, keep, |m| view.machines.contains_key(m));
        if self.ses.following() {
            self.images.retain(|m, _| view.machines.contains_key(m));
        }
        let millis = |d: Duration| d.as_millis() as u64;
        let (seq, acknowledgements) = self.links.send(now);
        self.probed.retain(|_, t| now.saturating_sub(*t) < keep);
        let silent = self.silent_machines();
        self.probe(&silent);
        let mut heartbeat = PeerHeartbeat {
            silent,
            reached: self.probed.iter().map(|(m, t)| (m.clone(), millis(now.saturating_sub(*t)))).collect(),
            incarnation: self.incarnation,
            seq,
            acknowledgements,
            members: if self.ses.following() && self.fresh() { self.live_members() } else { Vec::new() },
            revision: self.ses.following().then_some(self.view.revision),
            known_revision: self.view.known_revision(),
            revocations: self.revocations(),
            rented: if self.am_leader() { self.young.iter().cloned().collect() } else { Vec::new() },
            unlisted: if self.am_leader() { self.unlisted.iter().cloned().collect() } else { Vec::new() },
            held: Vec::new(),
            images: Vec::new(),
            stale_ms: self.ses.staleness(now).map_or(u64::MAX, millis),
            heard: self
                .hearing
                .all()
                .map(|(m, t, (agent_epoch, heartbeat_seq))| {
                    let ago_ms = millis(now.saturating_sub(t));
                    Heard { machine: m.to_string(), ago_ms, agent_epoch, heartbeat_seq }
                })
                .collect(),
        };
        self.heartbeats = self.heartbeats.wrapping_add(1);
        for (n, name) in self.view.machines.keys().enumerate() {
            if (n + self.heartbeats).is_multiple_of(BEATS_PER_ROUND)
                && let Some(images) = self.held_images(name).filter(|i| !i.is_empty())
            {
                heartbeat.note_images(name, images.iter());
            }
        }
        let turns = Turns { heartbeats: self.heartbeats, held: self.heartbeats / BEATS_PER_ROUND };
        fit::fit(&mut heartbeat, turns, |machine| self.told_first(machine));
        for other in &self.set.others {
            let frame = Frame::PeerHeartbeat(Box::new(heartbeat.clone()));
            self.out.push(Action::Send { member: other.member.clone(), frame });
        }
    }

    /// Whether a beat that leaves hearing out must have this machine's: another controller
    /// owns or hears it, or it has no task by which the others know that it is up.
    fn told_first(&self, machine: &str) -> bool {
        let ours = self.owner_of(machine).is_some_and(|owner| *owner == self.me);
        !ours || self.links.knows(machine) || !self.view.loads.contains_key(machine)
    }

    /// What others must know of that they have not seen, as far as they said.
    fn revocations(&self) -> Option<Revocations> {
        if !self.ses.following() || !self.view.has_all_known() {
            return None;
        }
        let spoke = self.secs(self.set.settings.workers.lease_s);
        let since = self.links.seen_by_all(self.now, spoke).unwrap_or(self.view.revision);
        let named = |(name, at): (&String, u64)| (name.clone(), at);
        let cancelled: Vec<(String, u64)> = self.view.cancelled_since(since).map(named).collect();
        let granted: Vec<(String, u64)> = self.view.granted_since(since).map(named).collect();
        let bytes = |list: &[(String, u64)]| -> usize {
            list.iter().map(|(name, _)| name.len() + size_of::<(u32, u64)>()).sum()
        };
        let size = bytes(&cancelled) + bytes(&granted);
        (size < FRAME_LIMIT / OWED_PART).then_some(Revocations { since, cancelled, granted })
    }

    /// Lets go of jobs that another controller knows to be cancelled.
    pub(super) fn apply_revocations(&mut self, revocations: &Revocations) {
        if !self.ses.following() {
            return;
        }
        let revision = self.view.revision;
        let (mut let_go, mut newest) = (0, 0);
        for (uid, at) in revocations.cancelled.iter().filter(|(_, at)| *at > revision) {
            if !self.view.lets_go(uid) {
                self.view.cancelled_elsewhere(uid, *at);
                (let_go, newest) = (let_go + 1, (*at).max(newest));
            }
        }
        if let_go > 0 {
            self.dirty = true;
            tracing::info!(jobs = let_go, revision, newest, "withdrawn by word of another controller");
        }
    }

    /// Whether all that is owed is heeded: the jobs are let go, and no machine of ours
    /// was granted since.
    fn has_applied(&self, revocations: &Revocations) -> bool {
        let revision = self.view.revision;
        let ours = |m: &str, at: u64| self.view.machines.get(m).is_some_and(|h| self.owns(h) && h.rec.granted < at);
        revocations.cancelled.iter().all(|(uid, at)| *at <= revision || self.view.lets_go(uid))
            && !revocations.granted.iter().any(|(m, at)| *at > revision && ours(m, *at))
    }

    /// The images that a machine of any block is known to hold.
    pub(super) fn held_images(&self, machine: &str) -> Option<&Images> {
        self.machines.get(machine).map(|m| &m.images).or_else(|| self.images.get(machine))
    }

    /// Takes in what another controller knows of images: of its machines, and
    /// of ours from before we started.
    pub(super) fn note_images(&mut self, heartbeat: &PeerHeartbeat) {
        for (machine, images) in heartbeat.images() {
            if !self.view.machines.contains_key(machine) {
                continue;
            }
            let known = match self.machines.get_mut(machine) {
                Some(m) => &mut m.images,
                None => self.images.entry(machine.to_string()).or_default(),
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
        let mut out: Vec<(&String, &Machine)> = self.machines.iter().filter(|(_, m)| fell(m)).collect();
        out.sort_by_key(|(_, m)| silent(m));
        out.into_iter().take(ASKS).map(|(name, m)| (name.clone(), m.addr.clone())).collect()
    }

    /// Calls machines that fell silent to their owner; reading what they report
    /// changes nothing and renews no lease.
    pub(super) fn probe(&mut self, silent: &[(String, String)]) {
        for (machine, addr) in silent.iter().take(ASKS) {
            let Ok(addr) = addr.parse() else { continue };
            let purpose = Purpose::Probe { machine: machine.clone(), known: self.hearing.newest(machine) };
            self.call(Target::Worker(addr), "GET", "/show".into(), None, self.heartbeat_intervals(1.0), purpose);
        }
    }

    /// Calls a machine whose report may be a copy: of one that nobody knows, or that
    /// says less than is known.
    pub(super) fn call_back(&mut self, report: &Heartbeat) {
        if self.hearing.may_call(&report.machine, self.now, self.heartbeat_intervals(1.0)) {
            self.probe(&[(report.machine.clone(), report.addr.clone())]);
        }
    }

    pub(super) fn probe_answer(&mut self, machine: String, known: At, result: Result<Reply, NoAnswer>) {
        let report = result.ok().filter(|r| r.status == 200);
        let report = report.and_then(|r| crate::protocol::decode::<Heartbeat>(&r.body).ok());
        let Some(report) = report.filter(|r| r.machine == machine) else { return };
        // Its owner may be about to return it.
        self.heartbeat_next = self.heartbeat_next.min(self.now + self.heartbeat_intervals(STRAY_BEAT));
        self.probed.insert(machine.clone(), self.now);
        let at = (report.agent_epoch, report.heartbeat_seq);
        let belied = self.machines.get(&machine).is_some_and(|m| at > m.at && m.belies(report.fencing_token));
        if at < known || belied {
            // It said this after we called, so its counters or its token went back: it ended.
            tracing::info!(%machine, agent_epoch = at.0, heartbeat_seq = at.1, "machine began anew");
            self.hearing.begins_anew(&machine, at, self.now);
            if let Some(m) = self.machines.get_mut(&machine) {
                m.begin_anew(&report);
                m.heard_at = Some(self.now);
                self.dirty = true;
            }
        }
        self.retry_held();
    }

    fn live_members(&self) -> Vec<(String, u64)> {
        self.view.members.iter().map(|(m, r)| (m.clone(), r.rec.incarnation)).collect()
    }

    /// Whom a worker should go to while we may not act or should not: somebody
    /// who reaches the store, if we do not.
    pub(super) fn better_off(&self) -> Option<String> {
        if self.fresh() {
            return None;
        }
        let expelled = self.links.expelled_by(self.now);
        let served = || self.links.served(self.now, self.heartbeat_intervals(1.0)).filter(|_| !self.entitled());
        expelled.or_else(served).map(Into::into)
    }

    /// How long a worker that can reach few of the controllers may take to come
    /// round to one of them.
    pub(super) fn round_of_all(&self) -> Duration {
        let w = &self.set.settings.workers;
        let round = agents::WORKER_MOVES_S * self.set.controllers() as f64;
        self.secs(round.min(w.lease_s)).max(self.heartbeat_intervals(3.0))
    }

    /// Beats go at this interval.
    pub(super) fn heartbeat_interval(report: Duration) -> Duration {
        report / 2
    }

    /// A worker that should have reported to its owner came here: the others
    /// hear of it sooner than by the next beat.
    pub(super) fn note_stray(&mut self, machine: &str) {
        let known =
            self.strays.get(machine).is_some_and(|t| self.now.saturating_sub(*t) < self.heartbeat_intervals(2.0));
        if !known {
            self.strays.insert(machine.to_string(), self.now);
            self.heartbeat_next = self.heartbeat_next.min(self.now + self.heartbeat_intervals(STRAY_BEAT));
        }
    }

    /// Looks at what machines reach their owners; the leader at all, everybody
    /// else at its own.
    pub(super) fn links_tick(&mut self) {
        let now = self.now;
        self.note_owners();
        let strays_since = self.round_of_all();
        self.avoid.retain(|_, t| *t > now);
        self.strays.retain(|_, t| now.saturating_sub(*t) < strays_since);
        if !std::mem::take(&mut self.links_dirty) && self.strays.is_empty() {
            return;
        }
        let leads = self.am_leader();
        // Machines that reported to somebody else than their owner, and when.
        let mut others: HashMap<&str, Instant> = HashMap::new();
        let mut note = |machine: &'_ str, by: &str, at: Instant| {
            let Some((name, h)) = self.view.machines.get_key_value(machine) else { return };
            let ours = h.rec.owner == self.me;
            if h.rec.owner != by && (leads || ours) && self.view.owned(&h.rec) {
                let last = others.entry(name).or_default();
                *last = (*last).max(at);
            }
        };
        for (machine, at, _) in self.hearing.all() {
            note(machine, &self.me, at);
        }
        for (member, p) in self.links.peers() {
            if self.links.news(member).is_some() {
                p.heard().for_each(|(machine, age, _)| note(machine, member, p.at.saturating_sub(age)));
            }
        }
        let mut unreached: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for (name, at) in &others {
            let Some(h) = self.view.machines.get(*name) else { continue };
            if self.sight(name, &h.rec.owner, Some(*at)).unreached().is_some() {
                unreached.entry(&h.rec.owner).or_default().push(name);
            }
        }
        let mut found: Vec<(String, Account, usize)> = Vec::new();
        for (owner, machines) in &unreached {
            let shard = self.view.machines.iter().filter(|(_, h)| h.rec.owner == **owner);
            let sights: Vec<Sight> =
                shard.map(|(name, _)| self.sight(name, owner, others.get(name.as_str()).copied())).collect();
            found.push((owner.to_string(), of_owner(&sights), machines.len()));
        }
        let mut unreached_since = HashMap::new();
        for name in unreached.values().flatten() {
            let since = self.unreached_since.get(*name).copied().unwrap_or(now);
            unreached_since.insert(name.to_string(), since);
        }
        self.unreached_since = unreached_since;
        let pause = self.secs(self.set.settings.workers.lease_s);
        for (owner, account, machines) in found {
            if self.deaf.note(&owner, account, now, pause) {
                tracing::info!(member = %owner, machines, "does not hear its machines, others do");
                // Whoever can act on it hears of it at once.
                self.lead_next = now;
            }
        }
    }

    /// Since when each machine belongs to its owner, as far as is known here.
    fn note_owners(&mut self) {
        if self.owners_seen == Some(self.view.machines_changed) {
            return;
        }
        self.owners_seen = Some(self.view.machines_changed);
        let (now, view) = (self.now, &self.view);
        self.owned.retain(|name, _| view.machines.contains_key(name));
        for (name, h) in &view.machines {
            let (grant, owner) = (h.rec.granted, &h.rec.owner);
            match self.owned.get_mut(name) {
                Some(known) if known.grant == grant => {}
                Some(known) => {
                    (known.grant, known.since) = (grant, now);
                    known.from = Some(std::mem::replace(&mut known.owner, owner.clone()));
                }
                None => {
                    let owned = Owned { grant, since: now, owner: owner.clone(), from: None };
                    self.owned.insert(name.clone(), owned);
                }
            }
        }
    }

    /// Whether a machine that never reported to us may still be answered by its
    /// owner before us, which is not known to have seen that it is ours.
    pub(super) fn may_be_answered(&self, machine: &str) -> bool {
        self.owned
            .get(machine)
            .is_some_and(|o| o.from.as_ref().is_some_and(|m| *m != self.me && !self.links.has_seen(m, o.grant)))
    }

    fn sight(&self, machine: &str, owner: &str, by_other: Option<Instant>) -> Sight {
        let (by_owner, owner_says_at) = if owner == self.me {
            (self.hearing.heard(machine), Some(self.now))
        } else {
            (self.links.heard_at(owner, machine), self.links.news(owner).map(|p| p.at))
        };
        let owned_since = self.owned.get(machine).map_or(self.now, |o| o.since);
        Sight { by_owner, owner_says_at, by_other, owned_since }
    }

    /// Machines that reach another controller, but not their owner, and which:
    /// they came there and not back to it, or they fell silent to it, do not
    /// answer its call, and answer somebody else's.
    pub(super) fn unreached_machines(&self) -> Vec<(String, String)> {
        let lasting = self.heartbeat_intervals(UNREACHED_REPORTS);
        let long = |t: &Instant| self.now.saturating_sub(*t) >= lasting;
        let mut names: BTreeSet<&str> =
            self.unreached_since.iter().filter(|(_, t)| long(t)).map(|(name, _)| name.as_str()).collect();
        for member in self.view.members.keys() {
            names.extend(self.links.misses(member).filter(|name| self.owner_of(name) == Some(member)));
        }
        let own = self.silent_machines();
        names.extend(own.iter().map(|(name, _)| name.as_str()).filter(|name| !self.probed.contains_key(*name)));
        let known = |name: &str, member: &str| {
            if member == self.me {
                return self.hearing.heard(name).max(self.probed.get(name).copied());
            }
            self.links.heard_at(member, name).max(self.links.reached_at(member, name))
        };
        let near = self.heartbeat_intervals(2.0);
        // One that hears nothing comes round to all in turn. Moved once, it is moved
        // again only if it does not come to its new owner either.
        let (now, round) = (self.now, self.round_of_all());
        let moved: BTreeSet<&str> = self.avoid.keys().map(|(machine, _)| machine.as_str()).collect();
        let settled = |name: &str, owner: &str| {
            let since = self.owned.get(name).map_or(now, |o| o.since);
            !moved.contains(name) || now.saturating_sub(since) > round && known(name, owner).is_none_or(|t| t < since)
        };
        let by_whom = |name: &str| {
            let owner = self.owner_of(name).filter(|owner| settled(name, owner))?;
            let able = self.view.members.keys().filter(|m| *m != owner && !self.deaf.is(m, self.now));
            let hears = able.filter_map(|m| Some((known(name, m)?, m))).max()?;
            (self.now.saturating_sub(hears.0) < near).then(|| (name.to_string(), hears.1.clone()))
        };
        names.into_iter().filter_map(by_whom).collect()
    }

    fn owner_of(&self, machine: &str) -> Option<&String> {
        self.view.machines.get(machine).map(|h| &h.rec.owner)
    }

    /// Whether a machine reaches a controller, as far as is known.
    pub(super) fn reaches(&self, machine: &str, member: &str) -> bool {
        self.avoid.get(&(machine.to_string(), member.to_string())).is_none_or(|t| *t <= self.now)
    }

    /// The other live controllers, and how many of them are heard both ways.
    pub(super) fn speaking(&self) -> Group {
        let others = || self.view.members.keys().filter(|m| **m != self.me);
        Group { heard: others().filter(|m| self.links.both_ways(m, self.now)).count(), all: others().count() }
    }

    /// When this controller's view was last known to be the newest there is: by
    /// its own read of the store, or by the word of all others.
    pub(super) fn surely_fresh_at(&self) -> Option<Instant> {
        let others = self.set.others.iter().map(|o| &o.member);
        self.ses
            .fresh_at
            .max(self.links.attested(others, self.view.revision, |revocations| self.has_applied(revocations)))
    }
}
