//! Planning which waiting tasks start on which of this controller's machines.

use super::queue::QueuedJob;
use super::round::SchedulingRound;
use super::{OPTIMISTIC_RUN_SHARE, Scheduler};
use crate::controller::quota::{RemainingQuota, has_limit};
use crate::placement::{MachineCapacity, Rules, Start, Waiting, plan};
use crate::protocol::user::{JobKind, JobSpec};
use crate::state::Job;
use std::collections::{BTreeMap, HashMap};

/// Tasks wait for this part of the places that should come free where their
/// image is before it could be fetched elsewhere.
const IMAGE_WAIT_SHARE: f64 = 0.5;
/// Rounding allowed when cores are compared.
const ROUNDING: f64 = 1e-6;
const MEGABYTES_PER_GIGABYTE: f64 = 1024.0;

impl Scheduler {
    /// Plans the starts of one round on machines with these free capacities.
    pub(super) fn plan_starts(&self, round: &SchedulingRound, mut capacities: Vec<MachineCapacity>) -> Vec<Start> {
        let mut waiting = self.waiting_jobs(round, &capacities);
        if waiting.is_empty() {
            return Vec::new();
        }
        sort_by_preference(&mut capacities);
        plan(&mut capacities, &mut waiting, &packing_rules(round), &mut self.knapsack.borrow_mut())
    }

    fn waiting_jobs<'a>(&self, round: &SchedulingRound<'a>, capacities: &[MachineCapacity]) -> Vec<Waiting<'a>> {
        let mut budget = RoundBudget::new(round, capacities);
        let jobs = round.state.jobs.iter().filter(|(_, job)| job.waiting_count() > 0);
        jobs.filter_map(|(uid, job)| self.waiting_job(round, &mut budget, uid, job)).collect()
    }

    /// The job with those of its tasks that may start in this round, if there are any.
    fn waiting_job<'a>(
        &self,
        round: &SchedulingRound<'a>,
        budget: &mut RoundBudget<'a>,
        uid: &str,
        job: &'a Job,
    ) -> Option<Waiting<'a>> {
        let queued = self.queue.get(uid)?;
        let blocked = queued.in_backoff(round.now) || round.is_locked(uid) || round.is_outdated(uid);
        // Most of the time under load nothing fits anywhere: be quick then.
        if blocked || budget.is_too_large(&job.spec) {
            return None;
        }
        let tasks = self.startable_tasks(round, uid, job, queued);
        let tasks = budget.within_quota(&job.spec, tasks);
        if tasks.is_empty() {
            return None;
        }
        let spec = &job.spec;
        let age_s = round.age_s(job);
        let run_s = spec.estimated_run_s * OPTIMISTIC_RUN_SHARE;
        let deadline_s = round.objectives.end_from(spec, age_s, run_s);
        let waited_s = queued.waited(round.now).unwrap_or_default().as_secs_f64();
        Some(Waiting {
            spec,
            waited_s,
            zones: round.state.tasks_by_zone(job),
            slack_s: deadline_s.map_or(f64::INFINITY, |d| d - age_s - run_s),
            work: f64::from(spec.task_count - job.done) * spec.cores * spec.estimated_run_s,
            start_within_s: round.objectives.start_within(spec),
            hopeless: false,
            aim_s: deadline_s,
            stay: budget.images.tasks_to_keep_waiting(spec, tasks.len(), waited_s),
            tasks,
        })
    }

    /// Tasks of the job that this controller may start, before quota.
    fn startable_tasks(&self, round: &SchedulingRound, uid: &str, job: &Job, queued: &QueuedJob) -> Vec<u32> {
        let waiting = job.waiting(round.state.checkpoint_size);
        let all_wait = waiting.len() as u32 == job.spec.task_count;
        if job.spec.kind == JobKind::Gang && !all_wait && !self.gang_is_assembling(round, job) {
            return Vec::new();
        }
        let ranges: Vec<(u32, u32)> = round.own_task_ranges(job).collect();
        let is_own = |index: &u32| ranges.iter().any(|(from, to)| (*from..=*to).contains(index));
        let mut tasks: Vec<u32> = waiting.into_iter().filter(is_own).collect();
        // One task is enough to see that a job keeps failing.
        if job.spec.kind == JobKind::Array && queued.fails_everywhere(job.done) {
            tasks.truncate(1);
        }
        // Tasks whose exit is not stored yet must not be started again.
        if let Some(exits) = round.journal.exits_of(uid) {
            tasks.retain(|index| !exits.done.contains(index));
        }
        tasks
    }
}

/// Spot machines first, so that ordinary ones stay free for tasks that need them;
/// then the fullest, so that others stay empty.
fn sort_by_preference(capacities: &mut [MachineCapacity]) {
    capacities.sort_by(|a, b| {
        let spot_first = b.spot.cmp(&a.spot);
        spot_first.then(a.free_cores().total_cmp(&b.free_cores())).then_with(|| a.machine.cmp(&b.machine))
    });
}

fn packing_rules(round: &SchedulingRound) -> Rules {
    let operator = &round.settings.operator;
    let needs_ordinary_machines = |job: &&Job| job.spec.kind == JobKind::Gang && !job.spec.spot_allowed;
    let gangs = round.state.jobs.values().filter(needs_ordinary_machines);
    Rules {
        window: operator.window,
        step_gb: operator.step_mb / MEGABYTES_PER_GIGABYTE,
        wait_limit_s: operator.wait_limit_s,
        keep: gangs.map(Job::waiting_count).sum::<u32>() as usize,
    }
}

/// What the jobs of one round share: each takes its part before the next is looked at.
struct RoundBudget<'a> {
    /// By team, of those that have a limit.
    quota: BTreeMap<&'a str, RemainingQuota>,
    images: ImageTurnover<'a>,
    largest_free_cores: f64,
}

impl<'a> RoundBudget<'a> {
    fn new(round: &SchedulingRound<'a>, capacities: &[MachineCapacity]) -> RoundBudget<'a> {
        let limited = round.settings.settings.teams.iter().filter(|team| has_limit(team));
        let usable = capacities.iter().filter(|capacity| capacity.free_share() > 0.0);
        RoundBudget {
            quota: limited.map(|team| (team.name.as_str(), RemainingQuota::of(team, round.state))).collect(),
            images: ImageTurnover::new(round),
            largest_free_cores: usable.map(|capacity| capacity.cores).fold(0.0, f64::max),
        }
    }

    /// Whether no machine has the cores for a task of the job; of gangs other rules decide.
    fn is_too_large(&self, spec: &JobSpec) -> bool {
        spec.cores > self.largest_free_cores + ROUNDING && spec.kind != JobKind::Gang
    }

    /// Takes the tasks that the team's quota still admits; a gang only as a whole.
    fn within_quota(&mut self, spec: &JobSpec, mut tasks: Vec<u32>) -> Vec<u32> {
        let Some(quota) = self.quota.get_mut(spec.team.as_str()) else { return tasks };
        let admitted = quota.admits(spec, tasks.len());
        if spec.kind == JobKind::Gang && admitted < tasks.len() {
            return Vec::new();
        }
        tasks.truncate(admitted);
        quota.take(spec, admitted);
        tasks
    }
}

/// Running tasks of arrays per image, which leave their places to the next ones.
struct ImageTurnover<'a> {
    running: HashMap<&'a str, f64>,
    slowest_pull_gb_per_s: f64,
}

impl<'a> ImageTurnover<'a> {
    fn new(round: &SchedulingRound<'a>) -> ImageTurnover<'a> {
        let mut running: HashMap<&str, f64> = HashMap::new();
        for load in round.agents.machine_names().filter_map(|name| round.state.loads.get(name)) {
            for (image, tasks) in load.by_image.iter().filter(|(_, tasks)| tasks.arrays > 0) {
                *running.entry(image).or_default() += f64::from(tasks.arrays);
            }
        }
        let rates = round.machine_types.iter().map(|machine_type| machine_type.pull_gb_per_s);
        ImageTurnover { running, slowest_pull_gb_per_s: rates.fold(f64::INFINITY, f64::min) }
    }

    /// How many of a job's tasks find a place where the image is before it could be
    /// fetched elsewhere. The places are then no longer there for other jobs.
    fn tasks_to_keep_waiting(&mut self, spec: &JobSpec, tasks: usize, waited_s: f64) -> u32 {
        if spec.kind != JobKind::Array {
            return 0;
        }
        let Some(running) = self.running.get_mut(spec.image.as_str()) else { return 0 };
        let fetch_s = spec.image_gb / self.slowest_pull_gb_per_s;
        let runs_per_fetch = fetch_s / spec.estimated_run_s.max(f64::MIN_POSITIVE);
        let mut waiting = 0;
        // A job that has waited for so long already did so in vain.
        if waited_s < fetch_s * IMAGE_WAIT_SHARE {
            waiting = (*running * runs_per_fetch * IMAGE_WAIT_SHARE).min(tasks as f64) as u32;
        }
        *running = (*running - f64::from(waiting) / runs_per_fetch.max(f64::MIN_POSITIVE)).max(0.0);
        waiting
    }
}
