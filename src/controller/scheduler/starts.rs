//! Plans which waiting tasks start on which of this controller's machines.

#![warn(missing_docs)]

use super::queue::QueuedJob;
use super::round::SchedulingRound;
use super::{OPTIMISTIC_RUN_SHARE, Scheduler};
use crate::controller::quota::{RemainingQuota, has_limit};
use crate::placement::{MachineCapacity, PlacementSettings, Start, WaitingJob, plan_starts};
use crate::protocol::user::{JobKind, JobSpec};
use crate::state::Job;
use std::collections::{BTreeMap, HashMap};

/// Of the places that should come free on machines with an image before it could be fetched
/// elsewhere, the share that tasks are kept waiting for. A job waits for them no longer than
/// this share of the fetch time.
const IMAGE_WAIT_SHARE: f64 = 0.5;
/// Tolerance for rounding errors when cores are compared.
const ROUNDING_TOLERANCE: f64 = 1e-6;
const MEGABYTES_PER_GIGABYTE: f64 = 1024.0;

impl Scheduler {
    /// Plans the starts of one round on machines with the given free capacities.
    pub(super) fn plan_starts(&self, round: &SchedulingRound, mut capacities: Vec<MachineCapacity>) -> Vec<Start> {
        let mut waiting = self.waiting_jobs(round, &capacities);
        if waiting.is_empty() {
            return Vec::new();
        }
        sort_by_preference(&mut capacities);
        plan_starts(&mut capacities, &mut waiting, &placement_settings(round), &mut self.knapsack.borrow_mut())
    }

    /// The jobs with tasks that may start in this round.
    fn waiting_jobs<'a>(&self, round: &SchedulingRound<'a>, capacities: &[MachineCapacity]) -> Vec<WaitingJob<'a>> {
        let mut limits = RoundLimits::new(round, capacities);
        let jobs = round.state.jobs.iter().filter(|(_, job)| job.waiting_count() > 0);
        jobs.filter_map(|(uid, job)| self.waiting_job(round, &mut limits, uid, job)).collect()
    }

    /// The job with its tasks that may start in this round; `None` if there are none.
    fn waiting_job<'a>(
        &self,
        round: &SchedulingRound<'a>,
        limits: &mut RoundLimits<'a>,
        uid: &str,
        job: &'a Job,
    ) -> Option<WaitingJob<'a>> {
        let queued = self.queue.get(uid)?;
        let blocked = queued.in_backoff(round.now) || round.is_locked(uid) || round.is_outdated(uid);
        // Under load most jobs fit nowhere: this check skips them quickly.
        if blocked || limits.is_too_large(&job.spec) {
            return None;
        }
        let tasks = self.startable_tasks(round, uid, job, queued);
        let mut tasks = limits.admit_within_quota(&job.spec, tasks);
        if tasks.is_empty() {
            return None;
        }
        let spec = &job.spec;
        let age_s = round.age_s(job);
        let run_s = spec.estimated_run_s * OPTIMISTIC_RUN_SHARE;
        let deadline_s = round.objectives.next_completion_limit_s(spec, age_s, run_s);
        let waited_s = queued.waited(round.now).unwrap_or_default().as_secs_f64();
        let waiting_for_image = limits.images.tasks_to_keep_waiting(spec, tasks.len(), waited_s);
        truncate_waiting_tasks(&mut tasks, spec, round.settings.operator.window);
        Some(WaitingJob {
            spec,
            waited_s,
            tasks_by_zone: round.state.tasks_by_zone(job),
            slack_s: deadline_s.map_or(f64::INFINITY, |deadline_s| deadline_s - age_s - run_s),
            remaining_cpu_s: f64::from(spec.task_count - job.done) * spec.cores * spec.estimated_run_s,
            start_within_s: round.objectives.start_limit_s(spec),
            misses_start_objective: false,
            end_objective_s: deadline_s,
            waiting_for_image,
            tasks,
        })
    }

    /// The job's waiting tasks that this controller may start, regardless of quota.
    fn startable_tasks(&self, round: &SchedulingRound, uid: &str, job: &Job, queued: &QueuedJob) -> Vec<u32> {
        let waiting = job.waiting_tasks(round.state.checkpoint_size);
        let all_wait = waiting.len() as u32 == job.spec.task_count;
        if job.spec.kind == JobKind::Gang && !all_wait && !self.gang_is_assembling(round, job) {
            return Vec::new();
        }
        let ranges: Vec<(u32, u32)> = round.own_task_ranges(job).collect();
        let is_own = |index: &u32| ranges.iter().any(|(from, to)| (*from..=*to).contains(index));
        let mut tasks: Vec<u32> = waiting.into_iter().filter(is_own).collect();
        // For a job that fails everywhere, one task is enough to see whether it still does.
        if job.spec.kind == JobKind::Array && queued.fails_everywhere(job.done) {
            tasks.truncate(1);
        }
        // Finished tasks whose exit is not stored yet must not be started again.
        if let Some(exits) = round.journal.exits_of(uid) {
            tasks.retain(|index| !exits.done.contains(index));
        }
        tasks
    }
}

/// Drops the tasks beyond the window, of which no round considers more. The lists of all waiting
/// jobs are in memory at once, and a job has up to 100,000 tasks. Gangs stay whole.
pub(super) fn truncate_waiting_tasks(tasks: &mut Vec<u32>, spec: &JobSpec, window: usize) {
    if spec.kind != JobKind::Gang {
        tasks.truncate(window);
        tasks.shrink_to_fit();
    }
}

/// Sorts spot machines first, so that on-demand machines stay free for tasks that need them, and
/// then the fullest machines first, so that others stay empty.
fn sort_by_preference(capacities: &mut [MachineCapacity]) {
    capacities.sort_by(|a, b| {
        let spot_first = b.spot.cmp(&a.spot);
        spot_first.then(a.free_cores().total_cmp(&b.free_cores())).then_with(|| a.machine.cmp(&b.machine))
    });
}

/// The settings of the placement round.
fn placement_settings(round: &SchedulingRound) -> PlacementSettings {
    let operator = &round.settings.operator;
    let needs_on_demand_machines = |job: &&Job| job.spec.kind == JobKind::Gang && !job.spec.spot_allowed;
    let gangs = round.state.jobs.values().filter(needs_on_demand_machines);
    PlacementSettings {
        window: operator.window,
        step_gb: operator.step_mb / MEGABYTES_PER_GIGABYTE,
        wait_limit_s: operator.wait_limit_s,
        kept_for_gangs: gangs.map(|job| job.waiting_count() as usize).sum(),
    }
}

/// Limits that the jobs of one round share. Each job takes its part of them before the next one
/// is considered.
struct RoundLimits<'a> {
    /// Remaining quota by team, for teams that have a limit.
    quota: BTreeMap<&'a str, RemainingQuota>,
    /// Places that running tasks will leave, by image.
    images: ImageTurnover<'a>,
    /// The most cores that are free on a single machine.
    largest_free_cores: f64,
}

impl<'a> RoundLimits<'a> {
    fn new(round: &SchedulingRound<'a>, capacities: &[MachineCapacity]) -> RoundLimits<'a> {
        let limited = round.settings.deployment.teams.iter().filter(|team| has_limit(team));
        let usable = capacities.iter().filter(|capacity| capacity.free_share() > 0.0);
        RoundLimits {
            quota: limited.map(|team| (team.name.as_str(), RemainingQuota::of(team, round.state))).collect(),
            images: ImageTurnover::new(round),
            largest_free_cores: usable.map(|capacity| capacity.cores).fold(0.0, f64::max),
        }
    }

    /// Whether no machine has enough free cores for a task of the job. Never true of gangs, which
    /// are placed by rules of their own.
    fn is_too_large(&self, spec: &JobSpec) -> bool {
        spec.cores > self.largest_free_cores + ROUNDING_TOLERANCE && spec.kind != JobKind::Gang
    }

    /// The tasks that the team's remaining quota admits, which is reduced by them. Of a gang,
    /// all tasks are admitted or none.
    fn admit_within_quota(&mut self, spec: &JobSpec, mut tasks: Vec<u32>) -> Vec<u32> {
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

/// Running array tasks by image, whose places come free for other tasks with the same image.
struct ImageTurnover<'a> {
    /// Running tasks by image, less those whose places other jobs wait for already.
    running: HashMap<&'a str, f64>,
    /// The lowest fetch rate of any machine type, in GB per second.
    slowest_pull_gb_per_s: f64,
}

impl<'a> ImageTurnover<'a> {
    fn new(round: &SchedulingRound<'a>) -> ImageTurnover<'a> {
        let mut running: HashMap<&str, f64> = HashMap::new();
        for load in round.agents.machine_names().filter_map(|name| round.state.machine_loads.get(name)) {
            for (image, tasks) in load.by_image.iter().filter(|(_, tasks)| tasks.array_tasks > 0) {
                *running.entry(image).or_default() += f64::from(tasks.array_tasks);
            }
        }
        let rates = round.machine_types.iter().map(|machine_type| machine_type.pull_gb_per_s);
        ImageTurnover { running, slowest_pull_gb_per_s: rates.fold(f64::INFINITY, f64::min) }
    }

    /// The number of a job's tasks to keep waiting for places on machines with the image, because
    /// those should come free before the image could be fetched elsewhere. Other jobs do not get
    /// the same places.
    fn tasks_to_keep_waiting(&mut self, spec: &JobSpec, tasks: usize, waited_s: f64) -> u32 {
        if spec.kind != JobKind::Array {
            return 0;
        }
        let Some(running) = self.running.get_mut(spec.image.as_str()) else { return 0 };
        let fetch_s = spec.image_gb / self.slowest_pull_gb_per_s;
        let runs_per_fetch = fetch_s / spec.estimated_run_s.max(f64::MIN_POSITIVE);
        let mut waiting = 0;
        // A job that has waited longer did so in vain, and waits for such places no more.
        if waited_s < fetch_s * IMAGE_WAIT_SHARE {
            waiting = (*running * runs_per_fetch * IMAGE_WAIT_SHARE).min(tasks as f64) as u32;
        }
        *running = (*running - f64::from(waiting) / runs_per_fetch.max(f64::MIN_POSITIVE)).max(0.0);
        waiting
    }
}
