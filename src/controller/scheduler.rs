//! Jobs leased to this controller: placing their waiting tasks, making room for
//! those that must start soon, and what is written down first.

use super::quota::{affordable, limited};
use super::*;
use crate::placement::{MachineCapacity, Rules, Start, Victim, Waiting, plan, preempt, zone_capacity};
use crate::protocol::store::Op;
use crate::protocol::user::{JobKind, Status};
use crate::state::Job;
use crate::state::records::Placement;

/// The queue of jobs with tasks to place, and when the next placement round is due.
#[derive(Debug, Default)]
pub(super) struct Scheduler {
    /// How long each job has waited, and how it failed.
    pub(super) queue: HashMap<String, Patience>,
    /// Tables of the knapsack, kept between rounds.
    pub(super) knapsack: Knapsack,
    /// Something changed since the last round.
    pub(super) dirty: bool,
    /// No round before this time.
    pub(super) next: Instant,
}

/// Estimates are often wrong by half: a job counts as late once its aim would
/// be missed by a run of this part of the estimate.
pub(super) const HOPE: f64 = 0.7;
/// Tasks wait for this part of the places that should come free where their
/// image is before it could be fetched elsewhere.
const STAYS: f64 = 0.5;
/// Room is made for so many tasks of arrays in one round.
const ARRAY_ROOMS: u32 = 8;

impl Controller {
    pub(super) fn work_tick(&mut self) {
        if !self.journal.exits.is_empty() {
            self.scheduler.dirty = true;
        }
        let view = &self.state;
        self.scheduler.queue.retain(|uid, _| view.jobs.contains_key(uid));
        self.close_jobs();
        self.fold_tick();
    }

    /// Writes exits down and starts what fits.
    pub(super) fn schedule(&mut self) {
        if !self.store.session.following() || !self.entitled() {
            return;
        }
        self.adopt();
        let revision = self.state.revision;
        self.transactions.forget_outdated(revision);
        let due = self.journal.writer.due(self.now);
        if !self.log_ready() || !due && !self.starts_soon() {
            self.scheduler.dirty = true;
            return;
        }
        let starts = if self.fresh() { self.plan_starts() } else { Vec::new() };
        // Machines that are not heard yet may have the room that is missed.
        if self.fresh() && self.startup.fleet_known() {
            self.make_capacity(&starts);
        }
        let mut by_job: BTreeMap<String, Vec<Start>> = BTreeMap::new();
        for s in starts {
            by_job.entry(s.uid.clone()).or_default().push(s);
        }
        // The rest goes along with what is written first.
        let (order, urgent, first) = self.write_order(&by_job);
        if order.is_empty() {
            return;
        }
        if !due && !urgent || !self.may_write_as(first) {
            self.scheduler.dirty = true; // what can wait gathers
            return;
        }
        self.write_segment(&order, by_job);
    }

    /// Whether tasks wait here that must start soon.
    fn starts_soon(&self) -> bool {
        let here = |j: &Job| j.rec.rec.task_ranges.iter().any(|s| s.member == self.process.member);
        let soon = |j: &&Job| j.waiting_count() > 0 && here(j) && self.counted(&j.spec) == Counted::Lasting;
        self.state.jobs.values().any(|j| soon(&j))
    }

    /// Jobs with something to write down, what matters most first, whether any of
    /// it must start soon, and in which order all of it goes. Exits alone lose little
    /// by waiting, since workers report them until they are stored; the last ones of
    /// a job are waited for by its user.
    fn write_order(&self, by_job: &BTreeMap<String, Vec<Start>>) -> (Vec<String>, bool, WritePriority) {
        let uids: BTreeSet<&String> = by_job.keys().chain(self.journal.exits.keys()).collect();
        let mut order: Vec<(u8, f64, &String)> = Vec::new();
        let mut urgent = false;
        for uid in uids {
            let Some(job) = self.state.jobs.get(uid) else {
                order.push((0, 0.0, uid)); // over: its changes are dropped
                continue;
            };
            let starts = by_job.get(uid).map_or(0, Vec::len);
            let change = self.journal.exits.get(uid);
            let exits = change.map_or(0, |c| c.done.len());
            let gone = change.map_or(0, |c| c.clear.len());
            let since = change.map_or(self.now, |c| c.since);
            let waited = self.scheduler.queue.get(uid).and_then(|p| p.waited(self.now)).unwrap_or_default();
            let waited = waited.max(self.now.saturating_sub(since));
            let size = (starts + exits + gone) as f64;
            let weight = size * (waited + self.heartbeat_intervals(1.0)).as_secs_f64();
            // Aims on the start of arrays are long: no reason for a batch of their own.
            let soon = starts > 0 && self.counted(&job.spec) == Counted::Lasting;
            let last = job.cancelled() || change.is_some_and(|c| self.ends_part(job, c));
            urgent |= soon;
            let rank = match () {
                _ if soon => 1,
                _ if last => 2,
                _ => 3,
            };
            order.push((rank, -weight, uid));
        }
        order.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(b.2)));
        let first =
            if order.iter().any(|o| matches!(o.0, 1 | 2)) { WritePriority::Services } else { WritePriority::Arrays };
        (order.into_iter().map(|o| o.2.clone()).collect(), urgent, first)
    }

    /// Whether nothing of the job is left on this controller's machines, nor
    /// waits: its user, or the controllers with the rest, wait for our part.
    fn ends_part(&self, job: &Job, change: &Change) -> bool {
        job.waiting_count() == 0
            && job.chunks.values().flat_map(|c| &c.rec.on).all(|p| {
                change.done.contains(&p.index)
                    || change.clear.contains(&(p.index, p.attempt))
                    || !self.agents.machines.contains_key(&p.machine)
            })
    }

    fn plan_starts(&mut self) -> Vec<Start> {
        let now = self.now;
        let size = self.state.chunk_size;
        let mut allowances: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        for t in self.config.settings.teams.iter().filter(|t| limited(t)) {
            allowances.insert(&t.name, self.allowance(t));
        }
        let mut capacities: Vec<MachineCapacity> = self.capacities(false).into_iter().map(|(_, r)| r).collect();
        // Tasks of arrays per image, which leave their places to the next.
        let mut turning: HashMap<&str, f64> = HashMap::new();
        for load in self.agents.machines.keys().filter_map(|name| self.state.loads.get(name)) {
            for (image, b) in load.by_image.iter().filter(|b| b.1.arrays > 0) {
                *turning.entry(image).or_default() += f64::from(b.arrays);
            }
        }
        let pull = self.cloud.types.iter().map(|t| t.pull_gb_per_s).fold(f64::INFINITY, f64::min);
        let most = capacities.iter().filter(|r| r.free_share() > 0.0).map(|r| r.cores).fold(0.0, f64::max);
        let mut waiting: Vec<Waiting> = Vec::new();
        for (uid, job) in &self.state.jobs {
            if job.waiting_count() == 0 {
                if let Some(p) = self.scheduler.queue.get_mut(uid) {
                    p.waiting_since = None;
                    p.before = Duration::ZERO;
                    p.parts_since = None;
                }
                continue;
            }
            let age_s = self.wall_ms().saturating_sub(job.rec.rec.at_ms) as f64 / 1000.0;
            let patience = self.scheduler.queue.entry(uid.clone()).or_insert_with(|| {
                // Nothing of it has started: it has waited since it came.
                let age_s = if job.done + job.placed == 0 { age_s } else { 0.0 };
                Patience { before: Duration::from_secs_f64(age_s), ..Patience::default() }
            });
            patience.waiting_since.get_or_insert(now);
            if job.placed == 0 {
                patience.parts_since = None;
            } else if job.spec.kind == JobKind::Gang {
                patience.parts_since.get_or_insert(now);
            }
            let waited_s = patience.waited(now).unwrap_or_default().as_secs_f64();
            let failing = patience.fails_everywhere(job.done);
            let key = records::job_key(uid);
            if patience.not_before > now || self.transactions.is_locked(&key) || self.transactions.is_outdated(&key) {
                continue;
            }
            // Most of the time under load nothing fits anywhere: be quick then.
            if job.spec.cores > most + 1e-6 && job.spec.kind != JobKind::Gang {
                continue;
            }
            let task_ranges = &job.rec.rec.task_ranges;
            let ranges: Vec<(u32, u32)> =
                task_ranges.iter().filter(|s| s.member == self.process.member).map(|s| (s.from, s.to)).collect();
            let mine = |i: u32| ranges.iter().any(|(from, to)| (*from..=*to).contains(&i));
            let all = job.waiting(size);
            let whole = all.len() as u32 == job.spec.task_count;
            if job.spec.kind == JobKind::Gang && !whole && !self.gathers(job) {
                continue;
            }
            let mut tasks: Vec<u32> = all.into_iter().filter(|i| mine(*i)).collect();
            // One task is enough to see that a job goes on failing.
            if job.spec.kind == JobKind::Array && failing {
                tasks.truncate(1);
            }
            // Exits that are not written yet must not be started over.
            if let Some(c) = self.journal.exits.get(uid) {
                tasks.retain(|i| !c.done.contains(i));
            }
            if let Some((cpus, gpus)) = allowances.get_mut(job.spec.team.as_str()) {
                let n = affordable(&job.spec, *cpus, *gpus, tasks.len());
                if job.spec.kind == JobKind::Gang && n < tasks.len() {
                    continue;
                }
                tasks.truncate(n);
                *cpus -= job.spec.cores * n as f64;
                *gpus -= job.spec.gpus * n as f64;
            }
            if tasks.is_empty() {
                continue;
            }
            let zones = self.state.zones_of(job);
            let aim_s = self.service_levels.objectives.end_from(&job.spec, age_s, job.spec.estimated_run_s * HOPE);
            let slack_s = aim_s.map_or(f64::INFINITY, |a| a - age_s - job.spec.estimated_run_s * HOPE);
            let left = f64::from(job.spec.task_count - job.done);
            let work = left * job.spec.cores * job.spec.estimated_run_s;
            let start_within_s = self.service_levels.objectives.start_within(&job.spec);
            let mut stay = 0;
            if job.spec.kind == JobKind::Array
                && let Some(n) = turning.get_mut(job.spec.image.as_str())
            {
                let fetch_s = job.spec.image_gb / pull;
                let turns = fetch_s / job.spec.estimated_run_s.max(f64::MIN_POSITIVE);
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
        capacities.sort_by(|a, b| {
            let spot = b.spot.cmp(&a.spot);
            spot.then(a.free_cores().total_cmp(&b.free_cores())).then_with(|| a.machine.cmp(&b.machine))
        });
        let op = &self.config.operator;
        let gangs = self.state.jobs.values().filter(|j| j.spec.kind == JobKind::Gang && !j.spec.spot_allowed);
        let keep = gangs.map(Job::waiting_count).sum::<u32>() as usize;
        let rules = Rules { window: op.window, step_gb: op.step_mb / 1024.0, wait_limit_s: op.wait_limit_s, keep };
        plan(&mut capacities, &mut waiting, &rules, &mut self.scheduler.knapsack)
    }

    /// Whether a gang lost tasks before it started, and all others are seen on
    /// our machines, waiting for replacements; or whether it is a wide one of which
    /// no task was ordered yet.
    fn gathers(&self, job: &Job) -> bool {
        let recent = self.heartbeat_intervals(1.5);
        let all = |fit: &dyn Fn(&Machine, &Placement) -> bool| {
            job.chunks.values().flat_map(|c| &c.rec.on).all(|p| {
                self.agents
                    .machines
                    .get(&p.machine)
                    .is_some_and(|m| m.heard_at.is_some_and(|t| self.now.saturating_sub(t) < recent) && fit(m, p))
            })
        };
        let uid = &job.spec.uid;
        let absent = |m: &Machine, p: &Placement| m.confirmed() && m.find(uid, p.index, p.attempt).is_none();
        let stored = || self.is_wide(&job.spec) && !self.taken_back(job) && all(&absent);
        job.done == 0 && job.placed > 0 && (all(&|m, p| m.gathers(uid, p.index, p.attempt)) || stored())
    }

    /// Of a wide gang only some places are stored: none of them is ordered.
    pub(super) fn in_parts(&self, job: &Job) -> bool {
        job.placed < job.spec.task_count && self.is_wide(&job.spec)
    }

    /// They have been for a lease: whoever should have stored the rest does not, or has
    /// no room any more. Each owner takes its own back, by proof, and it begins anew.
    pub(super) fn taken_back(&self, job: &Job) -> bool {
        let lease = self.secs(self.config.settings.workers.lease_s);
        let since = self.scheduler.queue.get(&job.spec.uid).and_then(|p| p.parts_since);
        self.in_parts(job) && since.is_some_and(|t| self.now.saturating_sub(t) > lease)
    }

    /// Whether less urgent work gives way to the job: a service that must start soon,
    /// or an array that can still meet its aim. What teams without a guarantee
    /// borrowed for minutes would hold others up for as long.
    fn presses(&self, job: &Job) -> bool {
        match job.spec.kind {
            JobKind::Gang => false,
            JobKind::Service => self.service_levels.objectives.start_within(&job.spec).is_some(),
            JobKind::Array => {
                let aimed = self.service_levels.objectives.end_within(&job.spec).is_some() && self.can_be_saved(job);
                aimed || self.service_levels.objectives.start_within(&job.spec).is_some()
            }
        }
    }

    /// Whether an array's task that ran so long keeps its job's aim if it runs on, and
    /// would miss it if it waited once more and began anew.
    fn would_miss(&self, job: &Job, ran_s: f64) -> bool {
        let age_s = self.wall_ms().saturating_sub(job.rec.rec.at_ms) as f64 / 1000.0;
        let needs_s = job.spec.estimated_run_s;
        let aim_s = self.service_levels.objectives.end_within(&job.spec);
        aim_s.is_some_and(|a| a >= age_s + (needs_s - ran_s).max(0.0) && a < age_s + needs_s * 2.0)
    }

    /// Stops less urgent tasks for those that found no room and must start soon.
    fn make_capacity(&mut self, starts: &[Start]) {
        let now = self.now;
        let mut pressed: Vec<(&str, u32)> = Vec::new();
        let running = self.state.jobs.values().filter(|j| j.placed > 0 && !j.cancelled());
        let Some(lowest) = running.map(|j| j.spec.priority).min() else { return };
        for (uid, job) in &self.state.jobs {
            if job.waiting_count() == 0 || job.spec.priority <= lowest || !self.presses(job) {
                continue;
            }
            let task_ranges = job.rec.rec.task_ranges.iter().filter(|s| s.member == self.process.member);
            let mine = task_ranges
                .map(|s| (s.from..=s.to).filter(|i| job.place(*i, self.state.chunk_size).is_none()).count() as u32)
                .sum::<u32>();
            let found = starts.iter().filter(|s| s.uid == *uid).count() as u32;
            // One that was written down a moment ago may not be in the view.
            let known = self.scheduler.queue.get(uid).is_some_and(|p| p.waiting_since.is_some() && p.not_before <= now);
            if mine > found && known && !self.transactions.is_locked(&records::job_key(uid)) {
                pressed.push((uid, mine - found));
            }
        }
        if pressed.is_empty() {
            return;
        }
        // Services first; of arrays the oldest, a few tasks a round.
        let array = |uid: &str| self.state.jobs.get(uid).filter(|j| j.spec.kind == JobKind::Array);
        pressed.sort_by_key(|(uid, _)| array(uid).map(|j| j.rec.rec.at_ms));
        let mut left = ARRAY_ROOMS;
        for (uid, n) in pressed.iter_mut() {
            if array(uid).is_none() {
                continue;
            }
            *n = left.min(*n);
            left -= *n;
        }
        let mut capacities = Vec::new();
        for (_, mut capacity) in self.capacities(false) {
            let name = capacity.machine.clone();
            for s in starts.iter().filter(|s| s.machine == name) {
                if let Some(j) = self.state.jobs.get(&s.uid) {
                    capacity.take(&j.spec, 1);
                }
            }
            let Some(m) = self.agents.machines.get(&capacity.machine) else { continue };
            // Room that is being made already counts as free, once.
            let mut victims = Vec::new();
            for ((uid, index), attempt) in self.state.placed.get(&capacity.machine).into_iter().flatten() {
                let Some(j) = self.state.jobs.get(uid) else { continue };
                let key = (uid.clone(), *index, *attempt);
                if m.is_over(&key) {
                    continue;
                } else if m.preempted.contains_key(&key) {
                    capacity.put_back(&j.spec);
                } else if j.spec.kind == JobKind::Array && !j.cancelled() {
                    let ran = m.since.get(&key).map_or(0.0, |t| now.saturating_sub(*t).as_secs_f64());
                    // What can save is stopped with the time to.
                    let lost = if j.spec.saves_in().is_some() { 0.0 } else { ran };
                    victims.push(Victim {
                        uid: uid.clone(),
                        index: *index,
                        attempt: *attempt,
                        spec: &j.spec,
                        cost: lost * j.spec.cores,
                        keeps: self.would_miss(j, ran),
                    });
                }
            }
            capacities.push((capacity, victims));
        }
        let mut stops: Vec<(String, (String, u32, u64))> = Vec::new();
        for (uid, n) in pressed {
            let Some(job) = self.state.jobs.get(uid) else { continue };
            let mut within = self.service_levels.objectives.start_within(&job.spec).unwrap_or(f64::INFINITY);
            // Where no machine keeps the aim any more, or has room to make, a
            // late start is still better than none.
            let waited = self.scheduler.queue.get(uid).and_then(|p| p.waited(now)).unwrap_or_default();
            let mut zones = self.state.zones_of(job);
            for s in starts.iter().filter(|s| s.uid == *uid) {
                if let Some(h) = self.state.machines.get(&s.machine) {
                    *zones.entry(h.rec.zone.clone()).or_default() += 1;
                }
            }
            let may = |zones: &BTreeMap<String, u32>, r: &MachineCapacity| {
                r.allowed(&job.spec) && zone_capacity(&job.spec, job.spec.task_count, zones, &r.zone) > 0
            };
            let hopeless = !capacities.iter().any(|(r, _)| may(&zones, r) && r.starts_within(&job.spec, within));
            if hopeless || waited.as_secs_f64() > within {
                within = f64::INFINITY;
            }
            for _ in 0..n {
                if let Some((capacity, _)) = capacities
                    .iter_mut()
                    .find(|(r, _)| r.fits(&job.spec) > 0 && may(&zones, r) && r.starts_within(&job.spec, within))
                {
                    capacity.take(&job.spec, 1);
                    *zones.entry(capacity.zone.clone()).or_default() += 1;
                    continue;
                }
                let Some((at, chosen)) = preempt(&job.spec, within, &zones, &capacities) else { break };
                let (capacity, victims) = &mut capacities[at];
                *zones.entry(capacity.zone.clone()).or_default() += 1;
                for v in chosen {
                    tracing::debug!(job = %v.uid, index = v.index, machine = %capacity.machine, for_job = %uid, "preempt");
                    capacity.put_back(v.spec);
                    victims.retain(|w| (&w.uid, w.index) != (&v.uid, v.index));
                    stops.push((capacity.machine.clone(), (v.uid, v.index, v.attempt)));
                }
                capacity.take(&job.spec, 1);
            }
        }
        let machines: BTreeSet<String> = stops.iter().map(|s| s.0.clone()).collect();
        for (machine, key) in stops {
            if let Some(m) = self.agents.machines.get_mut(&machine) {
                let save_s = self.state.jobs.get(&key.0).and_then(|j| j.spec.saves_in()).unwrap_or(0.0);
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
    let each = f64::from(job.waiting_count()) * job.spec.cores / f64::from(job.spec.task_count.max(1));
    job.rec.rec.task_ranges.iter().map(move |s| (s.member.as_str(), f64::from(s.to + 1 - s.from) * each))
}

pub(super) fn end_op(uid: &str, status: Status, task_count: u32) -> Op {
    let rec = records::JobRecord { spec: None, end: Some(status), task_count, at_ms: 0, task_ranges: Vec::new() };
    Op::Put { key: records::job_key(uid), data: records::to_value(&rec), lease: None }
}
