//! Jobs leased to this controller: placing their waiting tasks, and writing
//! down starts and exits. A start is sent only once its place is in the store.

use super::quota::{FAR_FROM_LIMIT, affordable, limited};
use super::*;
use crate::bookkeeping::Job;
use crate::bookkeeping::records::{ChunkRec, Place, add_to_ranges, count_ranges, in_ranges};
use crate::coordination::parts::Limit;
use crate::placement::{Room, Rules, Start, Victim, Waiting, plan, preempt, zone_room};
use crate::protocol::store::{Cond, Op};
use crate::protocol::user::{Form, Status};

/// Estimates are often wrong by half: a job counts as late once its aim would
/// be missed by a run of this part of the estimate.
pub(super) const HOPE: f64 = 0.7;
/// Tasks wait for this part of the places that should come free where their
/// image is before it could be fetched elsewhere.
const STAYS: f64 = 0.5;
/// Bytes of one transaction that may go to chunk records, as a share of the limit.
const CHUNK_SHARE: f64 = 0.75;

impl Controller {
    pub(super) fn work_tick(&mut self) {
        if !self.changes.is_empty() {
            self.dirty = true;
        }
        let view = &self.view;
        self.patience.retain(|uid, _| view.jobs.contains_key(uid));
    }

    /// Writes exits down and starts what fits.
    pub(super) fn schedule(&mut self) {
        if !self.ses.following() || !self.entitled() {
            return;
        }
        self.adopt();
        let revision = self.view.revision;
        self.outdated.retain(|_, need| *need > revision);
        let starts = if self.fresh() { self.plan_starts() } else { Vec::new() };
        // Machines that are not heard yet may have the room that is missed.
        if self.fresh() && self.start.fleet_known() {
            self.make_room(&starts);
        }
        let mut by_job: BTreeMap<String, Vec<Start>> = BTreeMap::new();
        for s in starts {
            by_job.entry(s.uid.clone()).or_default().push(s);
        }
        for (uid, need) in self.write_order(&by_job) {
            if self.may_write(need) {
                let starts = by_job.remove(&uid).unwrap_or_default();
                self.write_job(&uid, &starts);
            }
        }
    }

    /// Jobs with something to write down, what matters most first, and what
    /// must be free of the write limit for each. Exits alone lose nothing by
    /// waiting, since workers report them until they are stored; the last ones
    /// of a job are waited for by its user.
    fn write_order(&self, by_job: &BTreeMap<String, Vec<Start>>) -> Vec<(String, f64)> {
        let (reserve, spare) = (self.writes.rate * ACCEPT_RESERVE, self.writes.rate * SPARE_WRITES);
        let uids: BTreeSet<&String> = by_job.keys().chain(self.changes.keys()).collect();
        let mut order: Vec<(u8, f64, &String, f64)> = Vec::new();
        for uid in uids {
            let Some(job) = self.view.jobs.get(uid) else {
                order.push((0, 0.0, uid, 0.0)); // over: its changes are dropped
                continue;
            };
            let starts = by_job.get(uid).map_or(0, Vec::len);
            let change = self.changes.get(uid);
            let exits = change.map_or(0, |c| c.done.len());
            let gone = change.map_or(0, |c| c.clear.len());
            let since = change.map_or(self.now, |c| c.since);
            let waited = self.patience.get(uid).and_then(|p| p.waited(self.now)).unwrap_or_default();
            let waited = waited.max(self.now.saturating_sub(since));
            let size = (starts + exits + gone) as f64;
            let weight = size * (waited + self.report_s(1.0)).as_secs_f64();
            let soon = self.aims.start_within(&job.spec).is_some();
            let last = job.withdrawn() || change.is_some_and(|c| self.ends_part(job, c));
            let (rank, need) = match () {
                // As submissions, these may borrow from what waits.
                _ if soon && starts > 0 => (1, -spare),
                _ if last => (2, 1.0),
                _ if starts + gone > 0 => (3, 2.0 + reserve),
                _ => (3, 1.0 + spare),
            };
            order.push((rank, -weight, uid, need));
        }
        order.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(b.2)));
        order.into_iter().map(|(_, _, uid, need)| (uid.clone(), need)).collect()
    }

    /// Whether nothing of the job is left on this controller's machines, nor
    /// waits: its user, or the controllers with the rest, wait for our part.
    fn ends_part(&self, job: &Job, change: &Change) -> bool {
        job.waiting_count() == 0
            && job.chunks.values().flat_map(|c| &c.rec.on).all(|p| {
                change.done.contains(&p.index)
                    || change.clear.contains(&(p.index, p.attempt))
                    || !self.machines.contains_key(&p.machine)
            })
    }

    /// One transaction for one job: exits seen and starts planned.
    fn write_job(&mut self, uid: &str, starts: &[Start]) {
        let Some(job) = self.view.jobs.get(uid) else {
            self.changes.remove(uid);
            return;
        };
        let key = records::job_key(uid);
        if self.busy.contains(&key) || self.outdated.contains_key(&key) {
            return;
        }
        let size = self.view.chunk_size;
        let change = self.changes.remove(uid).unwrap_or_default();
        let mut machines: BTreeSet<String> = BTreeSet::new();
        let mut chunks: BTreeMap<u32, ChunkRec> = BTreeMap::new();
        let mine =
            |m: &str| self.view.hosts.get(m).is_some_and(|h| self.owns(h) && h.rec.granted <= self.view.revision);
        for index in &change.done {
            if job.is_done(*index, size) || job.withdrawn() {
                continue;
            }
            let rec = draft(&mut chunks, job, index / size);
            add_to_ranges(&mut rec.done, *index);
            rec.on.retain(|p| p.index != *index);
        }
        for (index, attempt) in &change.clear {
            if machines.len() >= self.set.settings.state.txn_ops * 2 {
                break; // the rest is seen again in the next report
            }
            let Some(p) = job.place(*index, size).filter(|p| p.attempt == *attempt && mine(&p.machine)) else {
                continue;
            };
            machines.insert(p.machine.clone());
            let rec = draft(&mut chunks, job, index / size);
            rec.on.retain(|p| (p.index, p.attempt) != (*index, *attempt));
        }
        let tries = job.chunks.values().map(|c| c.rec.tries).max().unwrap_or(0);
        // A gang that lost a task before it started is completed under the
        // same attempt: its tasks find each other by that.
        let completes = job.spec.form == Form::Ensemble && job.placed > 0;
        let attempt = if completes { tries } else { tries + 1 };
        let mut started = BTreeSet::new();
        let mut started_tasks: u32 = 0;
        // The store takes four conditions for every change it allows: a job on
        // more machines than that starts in several transactions.
        let ops = self.set.settings.state.txn_ops;
        let chunk_conds = (job.chunk_count(size) as usize).min(ops);
        let most_machines = (ops * 4).saturating_sub(3 + chunk_conds).max(1);
        for s in starts {
            if machines.len() >= most_machines && !machines.contains(&s.machine) {
                if job.spec.form == Form::Ensemble {
                    return; // all or nothing, and all does not fit
                }
                continue;
            }
            if job.withdrawn() || !mine(&s.machine) || job.is_done(s.index, size) || job.place(s.index, size).is_some()
            {
                continue;
            }
            let rec = draft(&mut chunks, job, s.index / size);
            if in_ranges(&rec.done, s.index) {
                continue;
            }
            tracing::debug!(job = %uid, index = s.index, machine = %s.machine, attempt, "start");
            rec.on.push(Place { index: s.index, machine: s.machine.clone(), attempt });
            rec.tries = attempt;
            machines.insert(s.machine.clone());
            started.insert(s.machine.clone());
            started_tasks += 1;
        }
        if chunks.is_empty() {
            return;
        }
        let st = &self.set.settings.state;
        let most = (64.0 * 1024.0 * CHUNK_SHARE) as usize / records::chunk_bytes(size);
        let most = most.clamp(1, st.txn_ops.saturating_sub(2).max(1));
        if chunks.len() > most {
            if job.spec.form == Form::Ensemble {
                return; // all or nothing, and all does not fit
            }
            chunks = chunks.into_iter().take(most).collect();
        }
        let mut txn = Txn::default();
        txn.conds.push(Cond { key: key.clone(), entry_no: job.rec.version });
        let hosts = machines.iter().filter_map(|m| self.view.hosts.get(m));
        let packs: BTreeMap<&str, u64> = hosts.map(|h| (h.rec.pack.as_str(), h.version)).collect();
        txn.conds.extend(packs.iter().map(|(p, v)| Cond { key: records::pack_key(p), entry_no: *v }));
        // What an earlier incarnation sent late must not take back a place
        // that its successor relies on.
        txn.conds.push(self.block_cond());
        // Zones are counted over the whole job, so all of it must be as seen.
        let whole = job.spec.together || job.spec.apart;
        for (n, c) in &job.chunks {
            if whole && !chunks.contains_key(n) {
                txn.conds.push(Cond { key: records::chunk_key(uid, *n), entry_no: c.version });
            }
        }
        let mut part = None;
        let team = self.set.settings.teams.iter().find(|t| t.name == job.spec.desk && limited(t));
        if let Some(team) = team.filter(|_| started_tasks > 0) {
            let key = records::team_key(&team.name);
            let need = Amounts::of(&job.spec, f64::from(started_tasks));
            let (cpus, gpus) = self.used(team);
            let (n, age) = (self.set.controllers(), self.report_s(1.0));
            let parts = self.parts.entry(team.name.clone()).or_default();
            let rec = self.view.teams.get(&team.name);
            let (strict, version) = rec.map_or((false, 0), |r| (r.rec.strict, r.version));
            let near = !parts.allow(need, cpus, gpus, n, self.now, age);
            if near && !strict {
                // Nothing is started until all see that starts exclude each other now.
                return self.near_limit(key, version);
            } else if strict {
                // The view must show what was started before the record was.
                if self.busy.contains(&key) || self.view.revision < version {
                    return; // exits are seen again in the next report
                }
                let far = |l: Limit| l.max <= 0.0 || l.used <= l.max * FAR_FROM_LIMIT;
                let rec = records::TeamRec { strict: !(far(cpus) && far(gpus)), count: self.next_call };
                txn.ops.push(Op::Put { key: key.clone(), data: records::to_value(&rec), lease: None });
            } else {
                part = Some((team.name.clone(), need));
            }
            txn.conds.push(Cond { key, entry_no: version });
        }
        let others: u32 =
            job.chunks.iter().filter(|(n, _)| !chunks.contains_key(n)).map(|(_, c)| count_ranges(&c.rec.done)).sum();
        let done = others + chunks.values().map(|c| count_ranges(&c.done)).sum::<u32>();
        for (n, rec) in &chunks {
            let key = records::chunk_key(uid, *n);
            let version = job.chunks.get(n).map_or(0, |c| c.version);
            txn.conds.push(Cond { key: key.clone(), entry_no: version });
            if done < job.spec.parcels {
                txn.ops.push(Op::Put { key, data: records::to_value(rec), lease: None });
            }
        }
        if done >= job.spec.parcels {
            txn.ops.push(end_op(uid, Status::Done, job.spec.parcels));
            let keys = job.chunks.keys().map(|n| records::chunk_key(uid, *n));
            txn.ops.extend(keys.take(st.txn_ops - 1).map(|key| Op::Delete { key }));
        } else if job.withdrawn()
            && job.chunks.len() < st.txn_ops
            && job.chunks.iter().all(|(n, c)| chunks.get(n).unwrap_or(&c.rec).on.is_empty())
        {
            // The last task of a withdrawn job is gone, and with it all records.
            txn.ops.clear();
            txn.ops.push(end_op(uid, Status::Withdrawn, job.spec.parcels));
            for (n, c) in &job.chunks {
                let key = records::chunk_key(uid, *n);
                if !txn.conds.iter().any(|c| c.key == key) {
                    txn.conds.push(Cond { key: key.clone(), entry_no: c.version });
                }
                txn.ops.push(Op::Delete { key });
            }
        }
        if let Some((team, amounts)) = &part {
            self.parts.entry(team.clone()).or_default().sent(*amounts);
        }
        self.txn(txn, Why::Work { starts: started.into_iter().collect(), part });
    }

    fn plan_starts(&mut self) -> Vec<Start> {
        let now = self.now;
        let size = self.view.chunk_size;
        let mut allowances: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        for t in self.set.settings.teams.iter().filter(|t| limited(t)) {
            allowances.insert(&t.name, self.allowance(t));
        }
        let mut rooms: Vec<Room> = self.rooms(false).into_iter().map(|(_, r)| r).collect();
        // Tasks of arrays per image, which leave their places to the next.
        let mut turning: HashMap<&str, f64> = HashMap::new();
        for load in self.machines.keys().filter_map(|name| self.view.loads.get(name)) {
            for (image, b) in load.bundles.iter().filter(|b| b.1.arrays > 0) {
                *turning.entry(image).or_default() += f64::from(b.arrays);
            }
        }
        let pull = self.types.iter().map(|t| t.pull_gb_per_s).fold(f64::INFINITY, f64::min);
        let most = rooms.iter().filter(|r| r.free_share() > 0.0).map(|r| r.cores).fold(0.0, f64::max);
        let mut waiting: Vec<Waiting> = Vec::new();
        for (uid, job) in &self.view.jobs {
            if job.waiting_count() == 0 {
                if let Some(p) = self.patience.get_mut(uid) {
                    p.waiting_since = None;
                    p.before = Duration::ZERO;
                }
                continue;
            }
            let age_s = self.wall_ms().saturating_sub(job.rec.rec.at_ms) as f64 / 1000.0;
            let patience = self.patience.entry(uid.clone()).or_insert_with(|| {
                // Nothing of it has started: it has waited since it came.
                let age_s = if job.done + job.placed == 0 { age_s } else { 0.0 };
                Patience { before: Duration::from_secs_f64(age_s), ..Patience::default() }
            });
            patience.waiting_since.get_or_insert(now);
            let waited_s = patience.waited(now).unwrap_or_default().as_secs_f64();
            let key = records::job_key(uid);
            if patience.not_before > now || self.busy.contains(&key) || self.outdated.contains_key(&key) {
                continue;
            }
            // Most of the time under load nothing fits anywhere: be quick then.
            if job.spec.cores > most + 1e-6 && job.spec.form != Form::Ensemble {
                continue;
            }
            let shares = &job.rec.rec.shares;
            let ranges: Vec<(u32, u32)> =
                shares.iter().filter(|s| s.member == self.me).map(|s| (s.from, s.to)).collect();
            let mine = |i: u32| ranges.iter().any(|(from, to)| (*from..=*to).contains(&i));
            let all = job.waiting(size);
            let whole = all.len() as u32 == job.spec.parcels;
            if job.spec.form == Form::Ensemble && !whole && !self.gathers(job) {
                continue;
            }
            let mut tasks: Vec<u32> = all.into_iter().filter(|i| mine(*i)).collect();
            // Exits that are not written yet must not be started over.
            if let Some(c) = self.changes.get(uid) {
                tasks.retain(|i| !c.done.contains(i));
            }
            if let Some((cpus, gpus)) = allowances.get_mut(job.spec.desk.as_str()) {
                let n = affordable(&job.spec, *cpus, *gpus, tasks.len());
                if job.spec.form == Form::Ensemble && n < tasks.len() {
                    continue;
                }
                tasks.truncate(n);
                *cpus -= job.spec.cores * n as f64;
                *gpus -= job.spec.gpus * n as f64;
            }
            if tasks.is_empty() {
                continue;
            }
            let zones = self.view.zones_of(job);
            let aim_s = self.aims.end_from(&job.spec, age_s, job.spec.expected_s * HOPE);
            let slack_s = aim_s.map_or(f64::INFINITY, |a| a - age_s - job.spec.expected_s * HOPE);
            let left = f64::from(job.spec.parcels - job.done);
            let work = left * job.spec.cores * job.spec.expected_s;
            let start_within_s = self.aims.start_within(&job.spec);
            let mut stay = 0;
            if job.spec.form == Form::Batch
                && let Some(n) = turning.get_mut(job.spec.bundle.as_str())
            {
                let fetch_s = job.spec.size_gb / pull;
                let turns = fetch_s / job.spec.expected_s.max(f64::MIN_POSITIVE);
                // One that waited so long already was wrong to.
                if waited_s < fetch_s * STAYS {
                    stay = (*n * turns * STAYS).min(tasks.len() as f64) as u32;
                }
                *n = (*n - f64::from(stay) / turns.max(f64::MIN_POSITIVE)).max(0.0);
            }
            waiting.push(Waiting {
                spec: &job.spec,
                tasks,
                waited_s,
                zones,
                slack_s,
                work,
                start_within_s,
                hopeless: false,
                aim_s,
                stay,
            });
        }
        if waiting.is_empty() {
            return Vec::new();
        }
        // Spot machines first, so that ordinary ones stay free for tasks that
        // need them; then the fullest, so that others stay empty.
        rooms.sort_by(|a, b| {
            let spot = b.spot.cmp(&a.spot);
            spot.then(a.free_cores().total_cmp(&b.free_cores())).then_with(|| a.machine.cmp(&b.machine))
        });
        let op = &self.set.operator;
        let gangs = self.view.jobs.values().filter(|j| j.spec.form == Form::Ensemble && !j.spec.loaners);
        let keep = gangs.map(Job::waiting_count).sum::<u32>() as usize;
        let rules = Rules { window: op.window, step_gb: op.step_mb / 1024.0, wait_limit_s: op.wait_limit_s, keep };
        plan(&mut rooms, &mut waiting, &rules, &mut self.sack)
    }

    /// Whether a gang lost tasks before it started, and all others are seen on
    /// our machines, waiting for replacements.
    fn gathers(&self, job: &Job) -> bool {
        let recent = self.report_s(1.5);
        let here = |p: &Place| {
            self.machines.get(&p.machine).is_some_and(|m| {
                let heard = m.heard_at.is_some_and(|t| self.now.saturating_sub(t) < recent);
                heard && m.gathers(&job.spec.uid, p.index, p.attempt)
            })
        };
        job.done == 0 && job.placed > 0 && job.chunks.values().flat_map(|c| &c.rec.on).all(here)
    }

    /// Stops less urgent tasks for those that found no room and must start soon.
    fn make_room(&mut self, starts: &[Start]) {
        let now = self.now;
        let mut pressed: Vec<(&str, u32)> = Vec::new();
        for (uid, job) in &self.view.jobs {
            if job.waiting_count() == 0
                || self.aims.start_within(&job.spec).is_none()
                || job.spec.form == Form::Ensemble
            {
                continue;
            }
            let shares = job.rec.rec.shares.iter().filter(|s| s.member == self.me);
            let mine = shares
                .map(|s| (s.from..=s.to).filter(|i| job.place(*i, self.view.chunk_size).is_none()).count() as u32)
                .sum::<u32>();
            let found = starts.iter().filter(|s| s.uid == *uid).count() as u32;
            // One that was written down a moment ago may not be in the view.
            let known = self.patience.get(uid).is_some_and(|p| p.waiting_since.is_some() && p.not_before <= now);
            if mine > found && known && !self.busy.contains(&records::job_key(uid)) {
                pressed.push((uid, mine - found));
            }
        }
        if pressed.is_empty() {
            return;
        }
        let mut rooms = Vec::new();
        for (_, mut room) in self.rooms(false) {
            let name = room.machine.clone();
            for s in starts.iter().filter(|s| s.machine == name) {
                if let Some(j) = self.view.jobs.get(&s.uid) {
                    room.take(&j.spec, 1);
                }
            }
            let Some(m) = self.machines.get(&room.machine) else { continue };
            // Room that is being made already counts as free, once.
            let mut victims = Vec::new();
            for ((uid, index), attempt) in self.view.placed.get(&room.machine).into_iter().flatten() {
                let Some(j) = self.view.jobs.get(uid) else { continue };
                let key = (uid.clone(), *index, *attempt);
                if m.is_over(&key) {
                    continue;
                } else if m.preempted.contains_key(&key) {
                    room.put_back(&j.spec);
                } else if j.spec.form == Form::Batch && !j.withdrawn() {
                    let ran = m.since.get(&key).map_or(0.0, |t| now.saturating_sub(*t).as_secs_f64());
                    victims.push(Victim {
                        uid: uid.clone(),
                        index: *index,
                        attempt: *attempt,
                        spec: &j.spec,
                        cost: ran * j.spec.cores,
                    });
                }
            }
            rooms.push((room, victims));
        }
        let mut stops: Vec<(String, (String, u32, u64))> = Vec::new();
        for (uid, n) in pressed {
            let Some(job) = self.view.jobs.get(uid) else { continue };
            let mut within = self.aims.start_within(&job.spec).unwrap_or(f64::INFINITY);
            // Where no machine keeps the aim any more, or has room to make, a
            // late start is still better than none.
            let waited = self.patience.get(uid).and_then(|p| p.waited(now)).unwrap_or_default();
            let mut zones = self.view.zones_of(job);
            for s in starts.iter().filter(|s| s.uid == *uid) {
                if let Some(h) = self.view.hosts.get(&s.machine) {
                    *zones.entry(h.rec.site.clone()).or_default() += 1;
                }
            }
            let may = |zones: &BTreeMap<String, u32>, r: &Room| {
                r.allowed(&job.spec) && zone_room(&job.spec, job.spec.parcels, zones, &r.site) > 0
            };
            let hopeless = !rooms.iter().any(|(r, _)| may(&zones, r) && r.starts_within(&job.spec, within));
            if hopeless || waited.as_secs_f64() > within {
                within = f64::INFINITY;
            }
            for _ in 0..n {
                if let Some((room, _)) = rooms
                    .iter_mut()
                    .find(|(r, _)| r.fits(&job.spec) > 0 && may(&zones, r) && r.starts_within(&job.spec, within))
                {
                    room.take(&job.spec, 1);
                    *zones.entry(room.site.clone()).or_default() += 1;
                    continue;
                }
                let Some((at, chosen)) = preempt(&job.spec, within, &zones, &rooms) else { break };
                let (room, victims) = &mut rooms[at];
                *zones.entry(room.site.clone()).or_default() += 1;
                for v in chosen {
                    tracing::debug!(job = %v.uid, index = v.index, machine = %room.machine, for_job = %uid, "preempt");
                    room.put_back(v.spec);
                    victims.retain(|w| (&w.uid, w.index) != (&v.uid, v.index));
                    stops.push((room.machine.clone(), (v.uid, v.index, v.attempt)));
                }
                room.take(&job.spec, 1);
            }
        }
        let machines: BTreeSet<String> = stops.iter().map(|s| s.0.clone()).collect();
        for (machine, key) in stops {
            if let Some(m) = self.machines.get_mut(&machine) {
                let save_s = self.view.jobs.get(&key.0).and_then(|j| j.spec.saves_in()).unwrap_or(0.0);
                m.preempted.insert(key, save_s);
            }
        }
        for m in machines {
            self.push(&m);
        }
    }
}

/// Cores that the job's waiting tasks ask for, by the member they are leased
/// to; of a job in several parts, as if all had run equally far.
pub(super) fn queued(job: &Job) -> impl Iterator<Item = (&str, f64)> {
    let each = f64::from(job.waiting_count()) * job.spec.cores / f64::from(job.spec.parcels.max(1));
    job.rec.rec.shares.iter().map(move |s| (s.member.as_str(), f64::from(s.to + 1 - s.from) * each))
}

fn draft<'a>(chunks: &'a mut BTreeMap<u32, ChunkRec>, job: &Job, n: u32) -> &'a mut ChunkRec {
    chunks.entry(n).or_insert_with(|| job.chunks.get(&n).map(|c| c.rec.clone()).unwrap_or_default())
}

pub(super) fn end_op(uid: &str, status: Status, parcels: u32) -> Op {
    let rec = records::JobRec { spec: None, end: Some(status), parcels, at_ms: 0, shares: Vec::new() };
    Op::Put { key: records::job_key(uid), data: records::to_value(&rec), lease: None }
}
