//! Placement: decides which waiting tasks start on which machines. All functions depend only on
//! their arguments, chiefly the free capacities and the waiting jobs.
//!
//! Most tasks are placed by solving one knapsack per machine ([`knapsack`]). Jobs that have
//! waited too long are placed first-fit, and machines are reserved for those that still do not
//! fit. Gangs are placed as a whole (`gang`). For urgent tasks without room, running tasks of
//! lower priority are preempted (`preemption`).

#![warn(missing_docs)]

mod capacity;
mod gang;
pub mod knapsack;
mod preemption;
mod reservation;

pub use capacity::MachineCapacity;
pub use preemption::{Victim, preempt};

use crate::protocol::user::{JobKind, JobSpec, Priority};
use gang::place_gang;
use knapsack::{CPU_STEPS, GPU_STEPS, Knapsack, TaskGroup, task_value};
use reservation::{reserve_emptiest, reserve_for_gang};
use std::collections::{BTreeMap, BTreeSet};

/// Weight of a job's position in the order of service, which decides among tasks of equal value;
/// too small to outweigh a difference in value.
const TIE_BREAKER_WEIGHT: f32 = 1e-3;
/// A job with an objective for its end counts as overdue only after it has waited this many
/// times that objective.
const OBJECTIVES_UNTIL_OVERDUE: f64 = 4.0;
/// Tolerance for rounding errors when resource amounts are summed and compared.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// A job with waiting tasks that this controller may start.
#[derive(Debug)]
pub struct WaitingJob<'a> {
    /// Specification of the job.
    pub spec: &'a JobSpec,
    /// Indices of the waiting tasks, in the order in which they are started. [`plan_starts`] cuts them
    /// to the window.
    pub tasks: Vec<u32>,
    /// How long the job has waited, in seconds.
    pub waited_s: f64,
    /// Number of the job's tasks by zone that are, or may still be, on machines.
    pub tasks_by_zone: BTreeMap<String, u32>,
    /// Seconds that would be left before the deadline if the tasks started now and ran as long
    /// as expected. Negative if they would miss the deadline; infinite for jobs without one.
    pub slack_s: f64,
    /// Work that is left, in CPU seconds.
    pub remaining_cpu_s: f64,
    /// Objective for the start, in seconds after the submission.
    pub start_within_s: Option<f64>,
    /// Whether no machine of the shard could start a task within the objective. Set by
    /// [`plan_starts`].
    pub misses_start_objective: bool,
    /// Objective for the end, in seconds after the submission.
    pub end_objective_s: Option<f64>,
    /// Number of tasks that are kept waiting for machines that hold their image, since those
    /// should have room for them before the image could be fetched elsewhere.
    pub waiting_for_image: u32,
}

impl WaitingJob<'_> {
    /// Whether the job would miss its deadline even if its tasks started now.
    fn misses_deadline(&self) -> bool {
        self.slack_s < 0.0
    }

    /// Whether a task started on the machine would meet the objective for the start, if there
    /// is one.
    fn starts_in_time_on(&self, capacity: &MachineCapacity) -> bool {
        self.start_within_s.is_none_or(|limit_s| capacity.starts_within(self.spec, limit_s))
    }

    /// Whether the job has no objective for its start that can still be met: it has none at all,
    /// it has missed it already, or no machine can meet it.
    fn has_no_reachable_start_objective(&self) -> bool {
        self.misses_start_objective || self.start_within_s.is_none_or(|limit_s| self.waited_s > limit_s)
    }

    /// The number of tasks that the job may still get in this zone.
    fn zone_capacity(&self, zone: &str) -> u32 {
        zone_capacity(self.spec, self.spec.task_count, &self.tasks_by_zone, zone)
    }
}

/// The number of tasks that a job of `task_count` tasks may still get in `zone`. `zones` counts
/// its tasks by zone that are, or may still be, on machines. A job with zone affinity may have
/// tasks in one zone only; one with zone anti-affinity at most half of them, rounded up, in any
/// zone.
pub fn zone_capacity(spec: &JobSpec, task_count: u32, zones: &BTreeMap<String, u32>, zone: &str) -> u32 {
    let in_zone = zones.get(zone).copied().unwrap_or(0);
    if spec.zone_affinity && zones.iter().any(|(other, tasks)| other != zone && *tasks > 0) {
        return 0;
    }
    if spec.zone_anti_affinity {
        return task_count.div_ceil(2).saturating_sub(in_zone);
    }
    u32::MAX
}

/// Settings of a placement round.
#[derive(Debug, Clone)]
pub struct PlacementSettings {
    /// Number of tasks of each priority that a round considers (see [`plan_starts`]).
    pub window: usize,
    /// Resolution of memory amounts in the knapsack, in GB.
    pub step_gb: f64,
    /// Seconds after which a waiting job is overdue and placed first-fit. Jobs with an
    /// objective for their end may wait longer.
    pub wait_limit_s: f64,
    /// Number of empty on-demand machines that are kept free of jobs that may run on spot
    /// machines, because gangs that may not use spot machines wait in some shard.
    pub kept_for_gangs: usize,
}

/// A task to start, and the machine that it starts on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// Identifier of the task's job.
    pub uid: String,
    /// Index of the task in its job.
    pub index: u32,
    /// Name of the machine.
    pub machine: String,
}

/// Plans one round: which waiting tasks start on which machines of this controller's shard.
/// Priorities are served from the highest to the lowest. Within a priority, gangs and overdue
/// jobs come before all others. Except for gangs, only a window of a priority's tasks is
/// considered: the longest-waiting ones, and the longest-waiting ones of jobs that can still meet
/// their deadline. The jobs' tasks that start are removed from `waiting`.
pub fn plan_starts(
    capacities: &mut [MachineCapacity],
    waiting: &mut [WaitingJob],
    settings: &PlacementSettings,
    knapsack: &mut Knapsack,
) -> Vec<Start> {
    waiting.sort_by(|a, b| b.spec.priority.cmp(&a.spec.priority).then(b.waited_s.total_cmp(&a.waited_s)));
    mark_missed_start_objectives(waiting, capacities);
    let least_cores = waiting.iter().map(|job| job.spec.cores).fold(f64::INFINITY, f64::min);
    let mut round = Round {
        capacities,
        settings,
        knapsack,
        least_cores,
        reserved: BTreeSet::new(),
        kept_for_gangs: BTreeSet::new(),
        starts: Vec::new(),
    };
    for priority in [Priority::Production, Priority::High, Priority::Normal, Priority::Low] {
        let mut jobs: Vec<&mut WaitingJob> = waiting.iter_mut().filter(|job| job.spec.priority == priority).collect();
        limit_to_window(&mut jobs, settings.window);
        round.place_gangs_and_overdue(&mut jobs);
        round.fill_machines(&mut jobs);
    }
    round.starts
}

/// Marks jobs of which no machine of the shard could start a task within the objective. Waiting
/// for a better machine pays only where capacity is free or arrays can be preempted for it.
fn mark_missed_start_objectives(waiting: &mut [WaitingJob], capacities: &[MachineCapacity]) {
    for job in waiting {
        job.misses_start_objective = !capacities.iter().any(|capacity| {
            job.starts_in_time_on(capacity)
                && job.zone_capacity(&capacity.zone) > 0
                && capacity.fits_beside(job.spec, &capacity.used_by_arrays) > 0
        });
    }
}

/// Limits the tasks considered to the longest-waiting ones, and to the longest-waiting ones of
/// jobs that can still meet their deadline: otherwise a backlog of jobs that miss theirs would
/// fill the window. Gangs stay whole.
fn limit_to_window(jobs: &mut [&mut WaitingJob], window: usize) {
    let (mut left, mut left_in_time) = (window, window);
    for job in jobs.iter_mut().filter(|job| job.spec.kind != JobKind::Gang) {
        job.tasks.truncate(if job.misses_deadline() { left } else { left.max(left_in_time) });
        left = left.saturating_sub(job.tasks.len());
        if !job.misses_deadline() {
            left_in_time = left_in_time.saturating_sub(job.tasks.len());
        }
    }
}

/// A placement round with the decisions made so far.
struct Round<'a> {
    capacities: &'a mut [MachineCapacity],
    settings: &'a PlacementSettings,
    knapsack: &'a mut Knapsack,
    /// The fewest cores that any waiting task needs.
    least_cores: f64,
    /// Machines reserved for waiting gangs and overdue jobs, which get no other tasks.
    reserved: BTreeSet<String>,
    /// On-demand machines that take no tasks of jobs that may run on spot machines.
    kept_for_gangs: BTreeSet<String>,
    starts: Vec<Start>,
}

impl Round<'_> {
    /// Places gangs and overdue jobs, and reserves machines for those that do not fit.
    fn place_gangs_and_overdue(&mut self, jobs: &mut [&mut WaitingJob]) {
        for job in jobs {
            let is_overdue = job.waited_s >= self.settings.wait_limit_of(job);
            if job.spec.kind == JobKind::Gang {
                place_gang(self.capacities, job, &self.reserved, &mut self.starts);
                reserve_for_gang(self.capacities, job, &mut self.reserved);
            } else if is_overdue {
                place_first_fit(self.capacities, job, &self.reserved, &mut self.starts);
            }
            if is_overdue && !job.tasks.is_empty() {
                reserve_emptiest(self.capacities, job, &mut self.reserved);
            }
        }
    }

    /// Solves the knapsacks of all machines that are not reserved, tier by tier: jobs that can
    /// still meet their deadline come first, and for each of these two groups machines that
    /// hold the image.
    fn fill_machines(&mut self, jobs: &mut [&mut WaitingJob]) {
        self.kept_for_gangs = empty_on_demand_machines(self.capacities, self.settings.kept_for_gangs);
        // The job with the least work left comes first: that way the most jobs meet their
        // deadline when there is not room for all.
        jobs.sort_by(|a, b| a.remaining_cpu_s.total_cmp(&b.remaining_cpu_s));
        for tier in Tier::all() {
            for machine in 0..self.capacities.len() {
                let capacity = &self.capacities[machine];
                if capacity.cores + ROUNDING_TOLERANCE >= self.least_cores && !self.reserved.contains(&capacity.machine)
                {
                    self.fill_machine(machine, jobs, tier);
                }
            }
        }
    }

    /// Solves the knapsack of one machine for a tier, and starts the chosen tasks.
    fn fill_machine(&mut self, machine: usize, jobs: &mut [&mut WaitingJob], tier: Tier) {
        let groups = self.knapsack_groups(&self.capacities[machine], jobs, tier);
        if groups.is_empty() {
            return;
        }
        let capacity = &mut self.capacities[machine];
        let steps =
            |amount: f64, steps_per_unit: f64| ((amount + ROUNDING_TOLERANCE) * steps_per_unit).floor().max(0.0) as u32;
        let free = [
            steps(capacity.mem_gb, 1.0 / self.settings.step_gb),
            steps(capacity.cores, CPU_STEPS),
            steps(capacity.gpus, GPU_STEPS),
        ];
        for (id, count) in self.knapsack.solve(&groups, free) {
            // The knapsack does not know how much space its tasks take in the heartbeat together.
            let count = count.min(placeable_tasks(capacity, jobs[id]));
            if count > 0 {
                start_tasks(capacity, jobs[id], count, &mut self.starts);
            }
        }
    }

    /// The tasks of each job that may enter the machine's knapsack in this tier.
    fn knapsack_groups(&self, capacity: &MachineCapacity, jobs: &[&mut WaitingJob], tier: Tier) -> Vec<TaskGroup> {
        let steps =
            |amount: f64, steps_per_unit: f64| ((amount - ROUNDING_TOLERANCE) * steps_per_unit).ceil().max(0.0) as u32;
        let kept_for_gangs = self.kept_for_gangs.contains(&capacity.machine);
        let mut groups = Vec::new();
        let mut only_image: Option<&str> = None;
        for (id, job) in jobs.iter().enumerate() {
            let excluded = job.spec.kind == JobKind::Gang || kept_for_gangs && job.spec.spot_allowed;
            let in_tier = job.misses_deadline() == tier.misses_deadline;
            if excluded || job.tasks.is_empty() || !in_tier || !tier.pass.admits(job, capacity, only_image) {
                continue;
            }
            let waiting_for_image = if tier.pass.finds_image() { 0 } else { job.waiting_for_image };
            let count = placeable_tasks(capacity, job).min((job.tasks.len() as u32).saturating_sub(waiting_for_image));
            if count == 0 {
                continue;
            }
            if tier.pass == Pass::SingleImage {
                only_image = Some(&job.spec.image);
            }
            let tie_breaker = TIE_BREAKER_WEIGHT * (1.0 - id as f32 / jobs.len() as f32);
            groups.push(TaskGroup {
                id,
                count,
                mem: steps(job.spec.mem_gb, 1.0 / self.settings.step_gb),
                cpu: steps(job.spec.cores, CPU_STEPS),
                gpu: steps(job.spec.gpus, GPU_STEPS),
                value: task_value(job.spec.cores, capacity.total_cores) + tie_breaker,
            });
        }
        groups
    }
}

impl PlacementSettings {
    /// Seconds after which the job is overdue.
    fn wait_limit_of(&self, job: &WaitingJob) -> f64 {
        let objective_s = job.spec.deadline_s.or(job.end_objective_s).unwrap_or(0.0);
        self.wait_limit_s.max(objective_s * OBJECTIVES_UNTIL_OVERDUE)
    }
}

/// A pass over all machines, named by its condition on the job's image. The passes run in this
/// order, from the best placements to the least wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pass {
    /// The machine holds the image.
    Held,
    /// The machine holds the image or is fetching it.
    Fetching,
    /// The machine fetches nothing yet, and takes tasks of one image only, since concurrent
    /// fetches delay each other.
    SingleImage,
    /// The image can be fetched in time for the objective.
    InTime,
    /// The objective is missed, or no machine of the shard could meet it.
    Any,
}

impl Pass {
    const ALL: [Pass; 5] = [Pass::Held, Pass::Fetching, Pass::SingleImage, Pass::InTime, Pass::Any];

    /// Whether tasks of the job may start on the machine in this pass. `only_image` is the one
    /// image that the machine takes in the pass `SingleImage`, once a job has determined it.
    fn admits(self, job: &WaitingJob, capacity: &MachineCapacity, only_image: Option<&str>) -> bool {
        match self {
            Pass::Held => capacity.images[1].contains(&job.spec.image),
            Pass::Fetching => capacity.has_image(job.spec),
            Pass::SingleImage => {
                capacity.fetching_gb <= 0.0
                    && only_image.is_none_or(|image| image == job.spec.image)
                    && (job.starts_in_time_on(capacity) || job.has_no_reachable_start_objective())
            }
            Pass::InTime => job.starts_in_time_on(capacity),
            Pass::Any => job.has_no_reachable_start_objective(),
        }
    }

    /// Whether tasks placed in this pass find their image held or being fetched.
    fn finds_image(self) -> bool {
        matches!(self, Pass::Held | Pass::Fetching)
    }
}

/// A pass, either for the jobs that can meet their deadline or for those that miss it.
#[derive(Debug, Clone, Copy)]
struct Tier {
    misses_deadline: bool,
    pass: Pass,
}

impl Tier {
    /// All tiers in order: first every pass for jobs that can meet their deadline.
    fn all() -> impl Iterator<Item = Tier> {
        let passes = |misses_deadline| Pass::ALL.map(|pass| Tier { misses_deadline, pass });
        [false, true].into_iter().flat_map(passes)
    }
}

/// Starts the next `count` tasks of the job on the machine.
fn start_tasks(capacity: &mut MachineCapacity, job: &mut WaitingJob, count: u32, starts: &mut Vec<Start>) {
    capacity.take(job.spec, count);
    if !capacity.has_image(job.spec) {
        std::rc::Rc::make_mut(&mut capacity.images[0]).insert(job.spec.image.clone());
        capacity.fetching_gb += job.spec.image_gb;
    }
    *job.tasks_by_zone.entry(capacity.zone.clone()).or_default() += count;
    for index in job.tasks.drain(..count as usize) {
        starts.push(Start { uid: job.spec.uid.clone(), index, machine: capacity.machine.clone() });
    }
}

/// The number of the job's waiting tasks that may start on the machine.
fn placeable_tasks(capacity: &MachineCapacity, job: &WaitingJob) -> u32 {
    capacity.fitting_tasks(job.spec).min(job.zone_capacity(&capacity.zone)).min(job.tasks.len() as u32)
}

/// Starts as many of the job's tasks as fit on each unreserved machine in turn, whether or not
/// the machine holds the image.
fn place_first_fit(
    capacities: &mut [MachineCapacity],
    job: &mut WaitingJob,
    reserved: &BTreeSet<String>,
    starts: &mut Vec<Start>,
) {
    for capacity in capacities.iter_mut().filter(|capacity| !reserved.contains(&capacity.machine)) {
        let count = placeable_tasks(capacity, job);
        if count > 0 {
            start_tasks(capacity, job, count, starts);
        }
    }
}

/// The first empty on-demand machines, at most `limit`.
fn empty_on_demand_machines(capacities: &[MachineCapacity], limit: usize) -> BTreeSet<String> {
    let is_empty = |capacity: &&MachineCapacity| !capacity.spot && capacity.free_share() > 1.0 - ROUNDING_TOLERANCE;
    capacities.iter().filter(is_empty).take(limit).map(|capacity| capacity.machine.clone()).collect()
}

#[cfg(test)]
pub(crate) mod tests;
