//! The machines of this controller's block: their reports, the orders they
//! get, and giving up those that fell silent.

use super::*;
use crate::connectivity::account::{Group, Silence, of_silence};
use crate::coordination::fault_attribution::Verdict;
use crate::placement::MachineCapacity;
use crate::protocol::cloud::{RELEASE, RELEASE_LIMIT, ReleaseRequest};
use crate::protocol::encode;
use crate::protocol::user::JobKind;
use crate::protocol::worker::{Cause, Command, CommandRequest, HeartbeatResponse, Redirect, TaskId, TaskState};
use crate::reconciliation::difference::{Case, Shown, Stored, case};
use crate::scaling::given_up_after_s;
use crate::state::records::Placement;
use crate::state::{Job, PlacedTasks};

/// The agents on the machines of this controller's shard, and what is known of others.
#[derive(Debug, Default)]
pub(super) struct Agents {
    /// Heartbeats that wait for a grant to be made or seen.
    pub(super) held: Vec<HeldHeartbeat>,
    /// Machines that this controller owns.
    pub(super) machines: BTreeMap<String, Machine>,
    /// The state of the replica's machine records that `machines` follows.
    pub(super) adopted: Option<u64>,
    /// The newest heartbeat of each machine.
    pub(super) hearing: Hearing,
    /// Images on machines of other shards.
    pub(super) images: HashMap<String, Images>,
    /// Silent machines that answered a call of ours, and when.
    pub(super) probed: BTreeMap<String, Instant>,
    /// When machines are next checked for silence.
    pub(super) check_next: Instant,
}

/// A worker waits this long for an answer, then a little to try the next node.
pub(super) const WORKER_MOVES_S: f64 = 4.0 + 1.0 + 0.5;
/// Reports come at an interval, give or take a quarter: whoever was heard within
/// this many of them is heard.
pub(super) const HEARD_REPORTS: f64 = 1.5;
/// So long must a machine be silent that the cloud lists no more: it may have
/// reported after the list was made.
const UNLISTED_REPORTS: f64 = 1.25;
/// Machines that are cut off with others are waited for this many leases.
pub(super) const CUT_LEASES: f64 = 2.0;

impl Controller {
    /// A worker's call.
    pub(super) fn report(&mut self, conn: ConnId, report: Heartbeat) {
        if self.agents.machines.get(&report.machine).is_some_and(|m| m.belies(report.fencing_token)) {
            // A copy from before its end, or it ended since.
            self.call_back(&report);
            return self.refuse(conn, 503, "an older report");
        }
        let news = self.agents.hearing.report(&report.machine, (report.agent_epoch, report.heartbeat_seq), self.now);
        self.take_report(conn, report, news, None);
    }

    /// A report; `until` is set when it waited for a grant already.
    fn take_report(&mut self, conn: ConnId, report: Heartbeat, news: News, until: Option<Instant>) {
        if let Some(peer) = self.better_off() {
            return self.redirect(conn, Some(&peer));
        }
        if !self.entitled() {
            return self.refuse(conn, 503, "not in touch with the state service");
        }
        let leader = self.leader_name();
        let Some(host) = self.state.machines.get(&report.machine) else {
            self.enrol(&report);
            return self.hold(conn, report, news, until);
        };
        if !self.owns(host) {
            if self.state.owned(&host.rec) {
                let owner = host.rec.owner.clone();
                if news == News::New {
                    self.note_stray(&report.machine);
                }
                return self.redirect(conn, Some(&owner));
            }
            if leader.as_deref() == Some(self.process.member.as_str()) {
                return self.hold(conn, report, news, until);
            }
            return self.redirect(conn, leader.as_deref());
        }
        // Our view must hold all that earlier owners stored about the machine.
        if self.state.revision < host.rec.granted {
            return self.hold(conn, report, news, until);
        }
        if news == News::Old {
            // A copy, or a machine that ended and is back.
            self.call_back(&report);
            return self.refuse(conn, 503, "an older report");
        }
        self.adopt();
        let name = report.machine.clone();
        let (now, [lease, cancel]) = (self.now, self.lapse_s());
        let Some(m) = self.agents.machines.get_mut(&name) else {
            return self.refuse(conn, 503, "not granted yet");
        };
        let new_session = m.at.0 > 0 && report.agent_epoch > m.at.0;
        if !m.take(&report) {
            return self.refuse(conn, 503, "an older report");
        }
        if !m.outrank() {
            return self.refuse(conn, 503, "the worker listens to somebody else");
        }
        m.note_reply(news == News::New, now);
        let heartbeat_interval_s = self.config.settings.workers.heartbeat_interval_s;
        let silent = m.heard_at.map(|t| now.saturating_sub(t).as_secs_f64() / heartbeat_interval_s);
        self.scheduler.dirty |= silent.is_none_or(|reports| reports > 1.0) || m.answered_at.is_none();
        if news == News::New || m.sure {
            m.heard_at = Some(now);
            m.unlisted = false;
            self.agents.hearing.proved(&name, m.at, now);
        }
        m.note_pace(silent.is_some_and(|reports| reports > HEARD_REPORTS), new_session);
        if m.lapsed(now, lease, cancel) {
            // Before it is answered again: what ran under the answers that came has
            // ended, and the next one starts nothing of it.
            self.give_places_up(&name);
        }
        self.look(&name);
        if self.agents.machines.get(&name).is_some_and(|m| m.waits_out(now, lease, cancel)) && self.holds_places(&name)
        {
            return self.refuse(conn, 503, "hears nothing");
        }
        let (wanted, kept) = self.wanted(&name);
        self.count_differences(&name, &wanted, &kept);
        let Some(m) = self.agents.machines.get(&name) else { return };
        let commands = self.in_time(m.commands(&wanted, &kept));
        let Some(m) = self.agents.machines.get_mut(&name) else { return };
        let body = encode(&HeartbeatResponse { fencing_token: m.answer(now), commands: commands.into() });
        self.respond(conn, 200, body);
    }

    pub(super) fn leader_name(&self) -> Option<String> {
        let leader = self.state.leader.as_ref()?;
        self.state.is_live(&leader.rec.member, leader.rec.incarnation).then(|| leader.rec.member.clone())
    }

    fn hold(&mut self, conn: ConnId, report: Heartbeat, news: News, until: Option<Instant>) {
        let until = until.unwrap_or(self.now + self.heartbeat_intervals(0.75));
        self.agents.held.push(HeldHeartbeat { conn, report, news, until });
    }

    pub(super) fn retry_held(&mut self) {
        for h in std::mem::take(&mut self.agents.held) {
            if h.until <= self.now {
                self.refuse(h.conn, 503, "no owner yet");
            } else {
                self.take_report(h.conn, h.report, h.news, Some(h.until));
            }
        }
    }

    fn redirect(&mut self, conn: ConnId, to: Option<&str>) {
        let controller = to.filter(|t| *t != self.process.member);
        self.respond(conn, 421, encode(&Redirect { controller: controller.map(Into::into) }));
    }

    /// Brings the machines in memory in line with the grants in the view.
    pub(super) fn adopt(&mut self) {
        if self.agents.adopted == Some(self.state.machines_changed) {
            return;
        }
        self.agents.adopted = Some(self.state.machines_changed);
        let mut lost = Vec::new();
        for name in self.agents.machines.keys() {
            if !self.state.machines.get(name).is_some_and(|h| self.owns(h)) {
                lost.push(name.clone());
            }
        }
        for name in lost {
            tracing::debug!(machine = %name, "machine left the block");
            if let Some(m) = self.agents.machines.remove(&name) {
                self.agents.images.insert(name, m.images);
            }
        }
        let now = self.now;
        for (name, h) in &self.state.machines {
            if h.rec.owner != self.process.member || h.rec.incarnation != self.process.incarnation {
                continue;
            }
            match self.agents.machines.get_mut(name) {
                // The same grant with another mark on it keeps its counter.
                Some(m) if m.is_under(h.rec.term, h.rec.epoch) => m.grant = h.version,
                _ => {
                    let mut m = Machine::new(h.version, h.rec.term, h.rec.epoch, now);
                    let placed = self.state.loads.get(name).map(|l| &l.images);
                    m.images = self.agents.images.remove(name).or(placed.cloned()).unwrap_or_default();
                    self.agents.machines.insert(name.clone(), m);
                }
            }
        }
    }

    /// What shall run on the machine, and all that is placed there.
    fn wanted(&self, name: &str) -> (PlacedTasks, PlacedTasks) {
        let mut kept = self.state.placed.get(name).cloned().unwrap_or_default();
        let live = |job: &str| self.state.jobs.get(job).is_some_and(|j| !j.cancelled() && !self.taken_back(j));
        let mut wanted = kept.clone();
        let m = self.agents.machines.get(name);
        wanted.retain(|(job, index), attempt| {
            let key = (job.clone(), *index, *attempt);
            live(job) && m.is_none_or(|m| !m.preempted.contains_key(&key) && !m.gone.contains(&key))
        });
        // A result that came while nobody listened counts wherever it is shown,
        // and the worker keeps it until it is stored.
        let size = self.state.chunk_size;
        for s in m.iter().flat_map(|m| &m.tasks).filter(|s| s.cause == Some(Cause::Done)) {
            let lacks = |j: &Job| !j.cancelled() && !j.is_done(s.task.index, size) && s.task.index < j.spec.task_count;
            if s.state == TaskState::Exited && self.state.jobs.get(&s.task.job).is_some_and(lacks) {
                kept.entry((s.task.job.clone(), s.task.index)).or_insert(s.attempt);
            }
        }
        (wanted, kept)
    }

    /// Of the orders for a machine those that may go now: nothing of a wide gang is
    /// started before the last of its places is stored.
    fn in_time(&self, mut commands: Vec<Command>) -> Vec<Command> {
        let parts = |job: &str| self.state.jobs.get(job).is_some_and(|j| self.in_parts(j));
        commands.retain(|o| match o {
            Command::Run { task, .. } => TaskId::parse(task).is_none_or(|t| !parts(&t.job)),
            Command::Kill { .. } | Command::Forget { .. } => true,
        });
        commands
    }

    /// Works out what the newest report says of the tasks placed there.
    fn look(&mut self, name: &str) {
        let now = self.now;
        let size = self.state.chunk_size;
        let (wanted, kept) = self.wanted(name);
        let Some(m) = self.agents.machines.get_mut(name) else { return };
        let mut failed = false;
        // A machine that has just taken our token can take tasks now.
        let mut freed = m.fencing_token == m.token() && !std::mem::replace(&mut m.ready, true);
        for s in &m.tasks {
            let (job, index) = (&s.task.job, s.task.index);
            let key = (job.clone(), index);
            let Some(j) = self.state.jobs.get(job) else { continue };
            if s.state == TaskState::Running {
                m.since.entry((job.clone(), index, s.attempt)).or_insert(now);
            }
            let there = matches!(s.state, TaskState::Running | TaskState::WaitingForGang | TaskState::Saving);
            if there && !m.images.contains(&j.spec.image) {
                std::rc::Rc::make_mut(&mut m.images).insert(j.spec.image.clone());
                m.fetches.remove(&j.spec.image);
            }
            if s.state == TaskState::Fetching && !m.images.contains(&j.spec.image) {
                m.fetches.entry(j.spec.image.clone()).or_insert(now);
            }
            let stored = Stored::of(&wanted, &kept, &key, s.attempt);
            // A gang that is placed whole comes, whoever gave up waiting for it.
            let comes = j.spec.kind == JobKind::Gang && j.placed == j.spec.task_count && !j.cancelled();
            let gone = match case(stored, Shown::of(s.state, s.cause), comes) {
                Case::Finished => {
                    if index < j.spec.task_count && !j.is_done(index, size) && !j.cancelled() {
                        // A gang completes together: the reports of the others may
                        // be lost with their machines.
                        let all = j.spec.kind == JobKind::Gang;
                        let (from, to) = if all { (0, j.spec.task_count) } else { (index, index + 1) };
                        let change = self.journal.exits.entry(job.clone()).or_insert_with(|| Change::new(now));
                        for i in from..to {
                            freed |= change.done.insert(i);
                        }
                        m.failures.clear();
                    }
                    j.cancelled() && stored == Stored::Ending
                }
                // A copy may show what was ordered again since.
                Case::Failed => m.sure,
                _ => false,
            };
            if !gone {
                continue;
            }
            let change = self.journal.exits.entry(job.clone()).or_insert_with(|| Change::new(now));
            if change.clear.insert((index, s.attempt)) {
                freed = true;
                m.gone.insert((job.clone(), index, s.attempt));
                if s.cause == Some(Cause::Error) {
                    m.failures.note(job);
                    failed = true;
                    let p = self.scheduler.queue.entry(job.clone()).or_default();
                    p.failures += 1;
                    p.tried.failed_on(name);
                    let pause = (p.failures / 4).min(6);
                    p.not_before = now
                        + Duration::from_secs_f64(self.config.settings.workers.heartbeat_interval_s)
                            * ((1 << pause) - 1);
                }
                tracing::debug!(machine = %name, task = %s.task, cause = ?s.cause, "task ended without a result");
            }
        }
        let there = |k: &(String, u32, u64)| kept.get(&(k.0.clone(), k.1)) == Some(&k.2);
        m.since.retain(|k, _| there(k));
        m.preempted.retain(|k, _| there(k) && self.state.jobs.get(&k.0).is_some_and(|j| !j.cancelled()));
        m.gone.retain(there);
        if m.confirmed() {
            for ((job, index), attempt) in &kept {
                let unwanted = !wanted.contains_key(&(job.clone(), *index));
                if unwanted && m.find(job, *index, *attempt).is_none() {
                    let change = self.journal.exits.entry(job.clone()).or_insert_with(|| Change::new(now));
                    change.clear.insert((*index, *attempt));
                    m.gone.insert((job.clone(), *index, *attempt));
                    freed = true;
                }
            }
        }
        if failed {
            let done = |job: &str| self.state.jobs.get(job).map_or(0, |j| j.done);
            let bad = |job: &str| self.scheduler.queue.get(job).is_some_and(|p| p.fails_everywhere(done(job)));
            let w = &self.config.settings.workers;
            match m.failures.verdict(bad, |job| done(job) > 0) {
                Verdict::Well => {}
                // So long that the job is tried elsewhere.
                Verdict::Open => m.shut_until = now + Duration::from_secs_f64(w.heartbeat_interval_s * 2.0),
                Verdict::Faulty => {
                    tracing::info!(machine = %name, failures = ?m.failures, "machine is quarantined");
                    m.shut_until = now + Duration::from_secs_f64(w.lease_s);
                    m.failures.served();
                }
            }
        }
        self.scheduler.dirty |= freed;
    }

    /// Sends starts and kills straight to the worker, where that is safe.
    pub(super) fn push(&mut self, name: &str) {
        if !self.entitled() || !self.fresh() {
            return;
        }
        let (wanted, kept) = self.wanted(name);
        let silent = self.heartbeat_intervals(2.0);
        if self.state.machines.get(name).is_none_or(|h| self.state.revision < h.rec.granted) {
            return;
        }
        let Some(m) = self.agents.machines.get(name) else { return };
        let Ok(addr) = m.addr.parse() else { return };
        if m.heard_at.is_none_or(|t| self.now.saturating_sub(t) > silent) {
            return;
        }
        let commands = self.in_time(m.commands(&wanted, &kept));
        let Some(m) = self.agents.machines.get_mut(name) else { return };
        let commands = m.to_push(commands);
        if commands.is_empty() {
            return;
        }
        let body = encode(&CommandRequest { fencing_token: m.token(), agent_epoch: m.at.0, commands: commands.into() });
        let grant = m.epoch;
        let timeout = self.heartbeat_intervals(1.0);
        let purpose = Purpose::Push { machine: name.to_string(), grant };
        let id = self.call(Target::Worker(addr), "POST", "/commands".into(), Some(body), timeout, purpose);
        if let Some(m) = self.agents.machines.get_mut(name) {
            m.pushes(id, self.now);
        }
    }

    /// Tells the machines of ours on which the job has tasks to end them, whoever wrote
    /// that it is cancelled: by their own reports they would run on for a while.
    pub(super) fn stop(&mut self, uid: &str) {
        let places = self.state.jobs.get(uid).into_iter().flat_map(|j| j.chunks.values().flat_map(|c| &c.rec.on));
        let ours = places.map(|p| &p.machine).filter(|m| self.agents.machines.contains_key(*m));
        let ours: BTreeSet<String> = ours.cloned().collect();
        for m in ours {
            self.push(&m);
        }
    }

    pub(super) fn push_answer(&mut self, id: CallId, name: &str, grant: u64, result: Result<Reply, NoAnswer>) {
        let Some(m) = self.agents.machines.get_mut(name) else { return };
        if m.push != Some(id) || m.epoch != grant {
            return;
        }
        let report = match result {
            Ok(r) if r.status == 200 || r.status == 409 => crate::protocol::decode::<Heartbeat>(&r.body).ok(),
            _ => None,
        };
        match report {
            Some(report) if report.machine == name => {
                m.push = None;
                if m.take(&report) {
                    m.note_sure(true);
                    self.agents.hearing.proved(name, m.at, self.now);
                }
                self.look(name);
            }
            _ => {
                tracing::debug!(machine = %name, "pushed orders got no answer");
                m.push_lost();
            }
        }
    }

    pub(super) fn check_agents(&mut self) {
        self.adopt();
        self.retry_held();
        if !self.fresh() {
            return;
        }
        self.drain_preempted();
        self.move_ticketed();
        self.release_silent();
        self.clear_empty();
    }

    /// Machines that the cloud will take away: services move while they can
    /// start elsewhere at once, what can save does so, and the rest runs on in
    /// the hope of an end before that.
    fn drain_preempted(&mut self) {
        let mut stops: Vec<(String, (String, u32, u64), f64)> = Vec::new();
        let mut capacities: Option<Vec<MachineCapacity>> = None;
        let recent = self.heartbeat_intervals(1.5);
        for (name, m) in &self.agents.machines {
            let Some(left_s) = m.preemption_notice_s.filter(|_| m.sure && m.ready) else { continue };
            for ((uid, index), attempt) in self.state.placed.get(name).into_iter().flatten() {
                let key = (uid.clone(), *index, *attempt);
                let Some(j) = self.state.jobs.get(uid).filter(|j| !j.cancelled()) else { continue };
                if m.preempted.contains_key(&key) || m.is_over(&key) {
                    continue;
                }
                match (j.spec.kind, j.spec.saves_in()) {
                    (JobKind::Service, _) => {
                        let capacities =
                            capacities.get_or_insert_with(|| self.capacities(false).into_iter().map(|r| r.1).collect());
                        if self.takes_elsewhere(capacities, name, j, true) {
                            stops.push((name.clone(), key, 0.0));
                        }
                    }
                    (JobKind::Array, Some(save_s)) if left_s >= save_s => stops.push((name.clone(), key, save_s)),
                    (JobKind::Gang, Some(save_s)) if left_s >= save_s => {
                        // All are told at once, or the save fails.
                        let places = || j.chunks.values().flat_map(|c| &c.rec.on);
                        let ready = |p: &Placement| {
                            self.agents.machines.get(&p.machine).is_some_and(|m| {
                                let seen = m.find(uid, p.index, p.attempt);
                                m.confirmed()
                                    && m.heard_at.is_some_and(|t| self.now.saturating_sub(t) < recent)
                                    && seen.is_some_and(|s| s.state == TaskState::Running)
                            })
                        };
                        if places().all(ready) {
                            let each = |p: &Placement| (p.machine.clone(), (uid.clone(), p.index, p.attempt), save_s);
                            stops.extend(places().map(each));
                        }
                    }
                    _ => {}
                }
            }
        }
        let machines: BTreeSet<String> = stops.iter().map(|s| s.0.clone()).collect();
        for (machine, key, save_s) in stops {
            tracing::debug!(job = %key.0, index = key.1, %machine, save_s, "moved on notice");
            if let Some(m) = self.agents.machines.get_mut(&machine) {
                m.preempted.insert(key, save_s);
            }
        }
        for m in machines {
            self.push(&m);
        }
    }

    /// A machine that does not report is released: that alone proves at once
    /// that its tasks are gone. It destroys what lives if it is we who are cut
    /// off, or the machine with others: so only where death is the best account
    /// of its silence, and only a share of the block per lease time. Elsewhere
    /// its lease is waited for, which ends its tasks all the same.
    fn release_silent(&mut self) {
        let now = self.now;
        let w = &self.config.settings.workers;
        // Whoever reaches it has to have had the time to say so.
        let told = self.heartbeat_intervals(HEARD_REPORTS)
            + Self::heartbeat_interval(self.heartbeat_intervals(1.0)).mul_f64(2.5);
        let limit = self.heartbeat_intervals(self.config.operator.silent_reports).max(told);
        // After a grant the worker may still be waiting for its old controller, and
        // for others that do not hear it; nobody here knows its address yet.
        let first = (limit + self.secs(WORKER_MOVES_S)).max(self.round_of_all());
        let (lapse, long) = (self.secs(w.lease_s * DRIFT + w.heartbeat_interval_s), self.secs(w.lease_s * CUT_LEASES));
        let cancel = self.secs(w.cancel_s * DRIFT + w.heartbeat_interval_s);
        let shard = self.agents.machines.len() as f64;
        let cap = (shard / 4.0).max(1.0);
        let dt = now.saturating_sub(self.releases.refilled_at).as_secs_f64();
        self.releases.tokens = (self.releases.tokens + dt * cap / w.lease_s).min(cap);
        self.releases.refilled_at = now;
        let known = self.startup.fleet_known() && !self.connectivity.deaf.is(&self.process.member, now);
        // One that hears nothing is as good as silent, though its reports come.
        let last = |m: &Machine| if m.hears_nothing() { m.reached_at } else { m.heard_at };
        let silent_for = |m: &Machine| now.saturating_sub(last(m).unwrap_or(m.owned_since));
        let zone = |name: &str| self.state.machines.get(name).map_or("", |h| h.rec.zone.as_str());
        let recent = self.heartbeat_intervals(HEARD_REPORTS);
        let mut zones: BTreeMap<&str, Group> = BTreeMap::new();
        for (name, m) in self.agents.machines.iter().filter(|(_, m)| m.heard_at.is_some()) {
            let group = zones.entry(zone(name)).or_default();
            group.all += 1;
            group.heard += usize::from(silent_for(m) < recent);
        }
        // What was cut off comes back one by one: those that are last are not dead.
        let back = now + first;
        let sum = |f: fn(&Group) -> usize| zones.values().map(f).sum();
        let shard = Group { heard: sum(|g| g.heard), all: sum(|g| g.all) };
        for (zone, group) in &zones {
            if group.silent() || shard.silent() {
                self.connectivity.cut_until.insert(zone.to_string(), back);
            }
        }
        let speaking = self.speaking();
        let account = |zone: &str| {
            let cut = self.connectivity.cut_until.get(zone).is_some_and(|t| *t > now);
            if cut { Silence::Cut } else { of_silence(shard, zones.get(zone).copied().unwrap_or_default(), speaking) }
        };
        let mut out: Vec<(String, &str, bool)> = Vec::new();
        for (name, m) in self.agents.machines.iter().filter(|(_, m)| !m.releasing) {
            let silent = silent_for(m);
            let placed = self.state.placed.contains_key(name);
            let drained = self.state.machines.get(name).is_some_and(|h| h.rec.drain) && m.confirmed();
            if drained && m.tasks.is_empty() && !placed {
                out.push((name.clone(), "drained", false));
                continue;
            }
            if m.unlisted && silent > self.heartbeat_intervals(UNLISTED_REPORTS) {
                out.push((name.clone(), "unlisted", false));
                continue;
            }
            let limit = self.given_up_after(name, if m.heard_at.is_some() { limit } else { first });
            // What runs on a machine that hears nothing may run on to its lease's end.
            let limit = if m.hears_nothing() { limit.max(lapse) } else { limit };
            if !known || silent <= limit || !m.hears_nothing() && self.peers_hear(name) {
                continue;
            }
            if m.heard_at.is_none() && !placed {
                continue; // it was rented and may be booting: the leader waits for it
            }
            if m.heard_at.is_none() && self.may_be_answered(name) && !m.lapsed(now, lapse, cancel) {
                continue;
            }
            let wait = match account(zone(name)) {
                Silence::Dead => limit,
                Silence::Likely => limit.max(lapse.min(limit * 2)),
                Silence::Undecided => limit.max(lapse),
                Silence::Cut => limit.max(long),
            };
            if silent > wait {
                let why = if m.hears_nothing() { "hears nothing" } else { "silent" };
                out.push((name.clone(), why, true));
            }
        }
        if !self.may_ask(Retry::Release) {
            return;
        }
        let mut names = Vec::new();
        for (name, reason, limited) in out {
            if names.len() == RELEASE_LIMIT {
                break;
            }
            if limited {
                if self.releases.tokens < 1.0 {
                    continue;
                }
                self.releases.tokens -= 1.0;
            }
            tracing::info!(machine = %name, reason, "machine is returned");
            if let Some(m) = self.agents.machines.get_mut(&name) {
                m.releasing = true;
            }
            names.push(name);
        }
        if !names.is_empty() {
            self.release(names);
        }
    }

    /// After how long silence this machine is given up; `limit` at least.
    fn given_up_after(&self, name: &str, limit: Duration) -> Duration {
        let (Some(load), Some(h)) = (self.state.loads.get(name), self.state.machines.get(name)) else {
            return limit;
        };
        let pull = self.machine_type(&h.rec.machine_type).map_or(f64::INFINITY, |t| t.pull_gb_per_s);
        let largest = load.by_image.values().map(|b| b.image_gb).fold(0.0, f64::max);
        let lease_s = self.config.settings.workers.lease_s;
        self.secs(given_up_after_s(limit.as_secs_f64(), largest / pull, lease_s))
    }

    fn peers_hear(&self, machine: &str) -> bool {
        let limit = self.round_of_all();
        let reached = self.agents.probed.get(machine).is_some_and(|t| self.now.saturating_sub(*t) < limit);
        reached || self.reported_newer_elsewhere(machine, limit)
    }

    /// Whether a peer heard it within `limit` say more than the last that came here.
    pub(super) fn reported_newer_elsewhere(&self, machine: &str, limit: Duration) -> bool {
        let known = self.agents.machines.get(machine).map_or((0, 0), |m| m.at);
        self.connectivity.peers.hears(machine, known, limit, self.now)
    }

    pub(super) fn release(&mut self, machines: Vec<String>) {
        self.cloud.rate.charge(self.now, 1.0);
        self.releases.in_flight.extend(machines.iter().cloned());
        let body = encode(&ReleaseRequest { machines: machines.as_slice().into() });
        let timeout = self.heartbeat_intervals(2.0);
        self.call(Target::Cloud, "POST", RELEASE.into(), Some(body), timeout, Purpose::Release { machines });
    }

    pub(super) fn release_answer(&mut self, machines: Vec<String>, result: Result<Reply, NoAnswer>) {
        let gone = result.is_ok_and(|r| r.status == 200);
        for name in machines {
            self.releases.in_flight.remove(&name);
            if gone {
                self.autoscaler.rented.remove(&name);
                self.releases.gone.insert(name);
            } else if let Some(m) = self.agents.machines.get_mut(&name) {
                m.releasing = false;
            }
        }
    }

    /// Places on machines that are proved empty are given up; a machine that
    /// was released leaves the fleet with the last of them.
    fn clear_empty(&mut self) {
        let (now, [lease, cancel]) = (self.now, self.lapse_s());
        let empty =
            |(name, m): &(&String, &Machine)| self.releases.gone.contains(*name) || m.lapsed(now, lease, cancel);
        let empty: Vec<String> = self.agents.machines.iter().filter(empty).map(|(name, _)| name.clone()).collect();
        let mut bare = Vec::new();
        for name in empty {
            if !self.give_places_up(&name) && self.releases.gone.contains(&name) {
                bare.push(name);
            }
        }
        self.forget_machines(bare);
    }

    /// After how long a lease has lapsed, by drifting clocks: since an answer, and
    /// since a grant, before which others may have answered.
    fn lapse_s(&self) -> [Duration; 2] {
        let w = &self.config.settings.workers;
        [w.lease_s, w.cancel_s].map(|s| self.secs(s * DRIFT + w.heartbeat_interval_s / 2.0))
    }

    /// Whether anything is placed there that is not proved gone.
    fn holds_places(&self, name: &str) -> bool {
        let (Some(placed), Some(m)) = (self.state.placed.get(name), self.agents.machines.get(name)) else {
            return false;
        };
        placed.iter().any(|((job, index), attempt)| !m.gone.contains(&(job.clone(), *index, *attempt)))
    }

    /// All that is placed on a machine that is proved empty is given up; whether
    /// there was any.
    fn give_places_up(&mut self, name: &str) -> bool {
        let now = self.now;
        let (Some(placed), Some(m)) = (self.state.placed.get(name), self.agents.machines.get_mut(name)) else {
            return false;
        };
        for ((job, index), attempt) in placed {
            // The worker may report again before this is written: ordered again,
            // the task would run here after all.
            m.gone.insert((job.clone(), *index, *attempt));
            let change = self.journal.exits.entry(job.clone()).or_insert_with(|| Change::new(now));
            change.clear.insert((*index, *attempt));
        }
        true
    }

    /// Machines that are gone, and hold no places, leave the records.
    pub(super) fn forget_machines(&mut self, names: Vec<String>) {
        let mut by_group: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for name in names {
            if let Some(h) = self.state.machines.get(&name) {
                by_group.entry(h.rec.group.clone()).or_default().push(name);
            }
        }
        for (group, names) in by_group {
            let key = records::machine_group_key(&group);
            let Some(p) = self.state.machine_groups.get(&group) else { continue };
            if p.version > self.state.revision || self.transactions.is_locked(&key) || !self.may_write(1.0) {
                continue;
            }
            let op = match self.state.in_force(p).without(&names) {
                Some(rec) => store::Op::Put { key: key.clone(), data: records::to_value(&rec), lease: None },
                None => store::Op::Delete { key: key.clone() },
            };
            let conditions = vec![store::Condition { key, version: p.version }, self.shard_condition_of(&p.rec.owner)];
            let txn = Txn { conditions, ops: vec![op] };
            self.txn_keyed(txn, Why::Forget);
        }
    }

    /// Holds while this incarnation's block is not granted to a later one.
    pub(super) fn shard_condition(&self) -> store::Condition {
        self.shard_condition_of(&self.process.member)
    }

    /// Holds while a member's block is not granted anew: what writes a pack of its
    /// carries the grant in force, or one above it, and would come late after that.
    pub(super) fn shard_condition_of(&self, member: &str) -> store::Condition {
        store::Condition { key: records::shard_grant_key(member), version: self.state.shard_grant_version(member) }
    }

    /// Whether the machine has come up, as far as is known here: it runs
    /// something, or some controller hears it.
    pub(super) fn is_up(&self, name: &str) -> bool {
        self.state.loads.contains_key(name) || self.heard_by_any(name)
    }

    /// Whether some controller hears it, or did of late.
    pub(super) fn heard_by_any(&self, name: &str) -> bool {
        self.agents.hearing.heard(name).is_some()
            || self.agents.machines.get(name).is_some_and(|m| m.heard_at.is_some())
            || self.connectivity.peers.knows(name)
    }
}
