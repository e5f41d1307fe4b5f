//! Which waiting tasks start on which machines: pure functions of the free capacities and the
//! queue.
//!
//! Ordinarily a knapsack is solved per machine (`knapsack`). Beside it there are first-fit
//! for tasks that waited too long, reservations, gangs (`gang`) and preemption (`preemption`).

mod capacity;
mod gang;
pub mod knapsack;
mod preemption;

pub use capacity::MachineCapacity;
pub use preemption::{Victim, preempt};

use crate::protocol::user::{JobKind, JobSpec, Priority};
use gang::{place_gang, reserve_for_gang};
use knapsack::{CPU_STEPS, GPU_STEPS, Group, Knapsack, value};
use std::collections::{BTreeMap, BTreeSet};

/// Weight of the order among tasks of equal value; too small to outweigh value.
const TIE: f32 = 1e-3;
/// A job with an objective counts as overdue only after this many times its objective.
const AIMS_WAITED: f64 = 4.0;
/// Rounding allowed when amounts are summed and compared.
const SLACK: f64 = 1e-6;

/// A job's tasks that wait here.
#[derive(Debug)]
pub struct Waiting<'a> {
    pub spec: &'a JobSpec,
    /// In order; no longer than the window.
    pub tasks: Vec<u32>,
    pub waited_s: f64,
    /// Tasks of the job per zone that are, or may still be, on machines.
    pub zones: BTreeMap<String, u32>,
    /// The time left until the deadline after a run of the expected length, in seconds.
    /// Negative if the deadline is missed already; infinite for jobs without one.
    pub slack_s: f64,
    /// Work left, in CPU seconds.
    pub work: f64,
    /// The objective for the start, in seconds after the submission.
    pub start_within_s: Option<f64>,
    /// No machine of the shard would start it soon enough.
    pub hopeless: bool,
    /// The objective for the end, in seconds after the submission.
    pub aim_s: Option<f64>,
    /// The number of its tasks that find room where the image is before it could be fetched
    /// elsewhere.
    pub stay: u32,
}

impl Waiting<'_> {
    fn late(&self) -> bool {
        self.slack_s < 0.0
    }

    fn starts_soon(&self, capacity: &MachineCapacity) -> bool {
        self.start_within_s.is_none_or(|s| capacity.starts_within(self.spec, s))
    }

    /// The objective for the start is missed, or there is none, or nothing can meet it.
    fn start_objective_missed(&self) -> bool {
        self.hopeless || self.start_within_s.is_none_or(|limit_s| self.waited_s > limit_s)
    }

    fn zone_capacity(&self, zone: &str) -> u32 {
        zone_capacity(self.spec, self.spec.task_count, &self.zones, zone)
    }
}

/// How many more tasks a job of `tasks` may have in this zone, given those
/// that are, or may still be, on machines in each.
pub fn zone_capacity(spec: &JobSpec, task_count: u32, zones: &BTreeMap<String, u32>, zone: &str) -> u32 {
    let here = zones.get(zone).copied().unwrap_or(0);
    if spec.zone_affinity && zones.iter().any(|(z, n)| z != zone && *n > 0) {
        return 0;
    }
    if spec.zone_anti_affinity {
        return task_count.div_ceil(2).saturating_sub(here);
    }
    u32::MAX
}

/// Settings of a round.
#[derive(Debug, Clone)]
pub struct Rules {
    pub window: usize,
    pub step_gb: f64,
    pub wait_limit_s: f64,
    /// The number of empty ordinary machines that are kept from jobs that may use spot ones,
    /// because gangs that may not use those wait in some shard.
    pub keep: usize,
}

/// One task to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    pub uid: String,
    pub index: u32,
    pub machine: String,
}

/// Plans one round: which waiting tasks start on which machines of this controller's shard.
/// Jobs of higher priority come first; within a priority gangs and jobs that waited too long.
pub fn plan(
    capacities: &mut [MachineCapacity],
    waiting: &mut [Waiting],
    rules: &Rules,
    knapsack: &mut Knapsack,
) -> Vec<Start> {
    waiting.sort_by(|a, b| b.spec.priority.cmp(&a.spec.priority).then(b.waited_s.total_cmp(&a.waited_s)));
    mark_hopeless(waiting, capacities);
    let least_cores = waiting.iter().map(|w| w.spec.cores).fold(f64::INFINITY, f64::min);
    let mut round = Round {
        capacities,
        rules,
        knapsack,
        least_cores,
        reserved: BTreeSet::new(),
        kept: BTreeSet::new(),
        starts: Vec::new(),
    };
    for priority in [Priority::Production, Priority::High, Priority::Normal, Priority::Low] {
        let mut jobs: Vec<&mut Waiting> = waiting.iter_mut().filter(|w| w.spec.priority == priority).collect();
        limit_to_window(&mut jobs, rules.window);
        round.place_gangs_and_overdue(&mut jobs);
        round.fill_machines(&mut jobs);
    }
    round.starts
}

/// Marks jobs that no machine of the shard would start soon enough: to wait pays only for
/// capacity that is free, or that arrays can be preempted for.
fn mark_hopeless(waiting: &mut [Waiting], capacities: &[MachineCapacity]) {
    for w in waiting {
        w.hopeless = !capacities.iter().any(|capacity| {
            w.starts_soon(capacity)
                && w.zone_capacity(&capacity.zone) > 0
                && capacity.fits_beside(w.spec, &capacity.arrays) > 0
        });
    }
}

/// Limits what is looked at to the oldest tasks, and to the oldest tasks of jobs that can
/// still meet their deadline: a backlog of late jobs would hide those. Gangs stay whole.
fn limit_to_window(jobs: &mut [&mut Waiting], window: usize) {
    let (mut left, mut left_in_time) = (window, window);
    for w in jobs.iter_mut().filter(|w| w.spec.kind != JobKind::Gang) {
        w.tasks.truncate(if w.late() { left } else { left.max(left_in_time) });
        left = left.saturating_sub(w.tasks.len());
        if !w.late() {
            left_in_time = left_in_time.saturating_sub(w.tasks.len());
        }
    }
}

/// One round of placement, and what it has decided so far.
struct Round<'a> {
    capacities: &'a mut [MachineCapacity],
    rules: &'a Rules,
    knapsack: &'a mut Knapsack,
    /// The fewest cores that any waiting task needs.
    least_cores: f64,
    /// Machines that are kept free for waiting gangs and for jobs that waited too long.
    reserved: BTreeSet<String>,
    /// Machines that are kept from jobs that may use spot machines.
    kept: BTreeSet<String>,
    starts: Vec<Start>,
}

impl Round<'_> {
    /// Places gangs, and jobs that waited too long; reserves machines for those that do not fit.
    fn place_gangs_and_overdue(&mut self, jobs: &mut [&mut Waiting]) {
        for w in jobs {
            let overdue = w.waited_s >= self.rules.wait_limit(w);
            if w.spec.kind == JobKind::Gang {
                place_gang(self.capacities, w, &self.reserved, &mut self.starts);
                reserve_for_gang(self.capacities, w, &mut self.reserved);
            } else if overdue {
                first_fit(self.capacities, w, &self.reserved, &mut self.starts);
            }
            if overdue && !w.tasks.is_empty() {
                reserve(self.capacities, w, &mut self.reserved);
            }
        }
    }

    /// Solves the knapsacks of all machines that are not reserved. Jobs that can still meet
    /// their deadline go first, and for each of these two groups machines that hold the image.
    fn fill_machines(&mut self, jobs: &mut [&mut Waiting]) {
        self.kept = keep(self.capacities, self.rules.keep);
        // Among equals the job with the least work left goes first: that way most jobs meet
        // their deadline when there is not room for all.
        jobs.sort_by(|a, b| a.work.total_cmp(&b.work));
        for tier in Tier::all() {
            for machine in 0..self.capacities.len() {
                let capacity = &self.capacities[machine];
                if capacity.cores + SLACK >= self.least_cores && !self.reserved.contains(&capacity.machine) {
                    self.fill_machine(machine, jobs, tier);
                }
            }
        }
    }

    /// Solves the knapsack of one machine, and starts what it chose.
    fn fill_machine(&mut self, machine: usize, jobs: &mut [&mut Waiting], tier: Tier) {
        let groups = self.knapsack_groups(&self.capacities[machine], jobs, tier);
        if groups.is_empty() {
            return;
        }
        let capacity = &mut self.capacities[machine];
        let steps = |amount: f64, per_one: f64| ((amount + SLACK) * per_one).floor().max(0.0) as u32;
        let free = [
            steps(capacity.mem_gb, 1.0 / self.rules.step_gb),
            steps(capacity.cores, CPU_STEPS),
            steps(capacity.gpus, GPU_STEPS),
        ];
        for (id, count) in self.knapsack.fill(&groups, free) {
            start(capacity, jobs[id], count, &mut self.starts);
        }
    }

    /// What each job offers the machine's knapsack in this tier.
    fn knapsack_groups(&self, capacity: &MachineCapacity, jobs: &[&mut Waiting], tier: Tier) -> Vec<Group> {
        let steps = |amount: f64, per_one: f64| ((amount - SLACK) * per_one).ceil().max(0.0) as u32;
        let kept = self.kept.contains(&capacity.machine);
        let mut groups = Vec::new();
        let mut only_image: Option<&str> = None;
        for (id, w) in jobs.iter().enumerate() {
            let excluded = w.spec.kind == JobKind::Gang || kept && w.spec.spot_allowed;
            if excluded || w.tasks.is_empty() || w.late() != tier.late || !tier.pass.admits(w, capacity, only_image) {
                continue;
            }
            let waiting_for_image = if tier.pass.finds_image() { 0 } else { w.stay };
            let count = able(capacity, w).min((w.tasks.len() as u32).saturating_sub(waiting_for_image));
            if count == 0 {
                continue;
            }
            if tier.pass == Pass::Alone {
                only_image = Some(&w.spec.image);
            }
            let tie_breaker = TIE * (1.0 - id as f32 / jobs.len() as f32);
            groups.push(Group {
                id,
                count,
                mem: steps(w.spec.mem_gb, 1.0 / self.rules.step_gb),
                cpu: steps(w.spec.cores, CPU_STEPS),
                gpu: steps(w.spec.gpus, GPU_STEPS),
                value: value(w.spec.cores, capacity.total_cores) + tie_breaker,
            });
        }
        groups
    }
}

impl Rules {
    fn wait_limit(&self, w: &Waiting) -> f64 {
        let aim = w.spec.deadline_s.or(w.aim_s).unwrap_or(0.0);
        self.wait_limit_s.max(aim * AIMS_WAITED)
    }
}

/// The passes over all machines, in order: each is less strict about the image than the one
/// before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pass {
    /// The machine holds the image.
    Held,
    /// The machine fetches the image already.
    Coming,
    /// The machine fetches nothing, and takes tasks of one image only: images that are fetched
    /// at the same time are delayed by each other.
    Alone,
    /// The image is fetched soon enough for the objective.
    Soon,
    /// The objective is missed, or no machine of the shard could meet it.
    Any,
}

impl Pass {
    const ALL: [Pass; 5] = [Pass::Held, Pass::Coming, Pass::Alone, Pass::Soon, Pass::Any];

    /// Whether tasks of the job may start on the machine in this pass. `only_image` is the
    /// image that the machine takes in it, once there is one.
    fn admits(self, w: &Waiting, capacity: &MachineCapacity, only_image: Option<&str>) -> bool {
        match self {
            Pass::Held => capacity.images[1].contains(&w.spec.image),
            Pass::Coming => capacity.has_image(w.spec),
            Pass::Alone => {
                capacity.fetching_gb <= 0.0
                    && only_image.is_none_or(|image| image == w.spec.image)
                    && (w.starts_soon(capacity) || w.start_objective_missed())
            }
            Pass::Soon => w.starts_soon(capacity),
            Pass::Any => w.start_objective_missed(),
        }
    }

    /// Whether tasks that are placed in this pass find their image, or a fetch of it.
    fn finds_image(self) -> bool {
        matches!(self, Pass::Held | Pass::Coming)
    }
}

/// One pass for the jobs that are late, or for those that are not.
#[derive(Debug, Clone, Copy)]
struct Tier {
    late: bool,
    pass: Pass,
}

impl Tier {
    fn all() -> impl Iterator<Item = Tier> {
        [false, true].into_iter().flat_map(|late| Pass::ALL.map(|pass| Tier { late, pass }))
    }
}

/// Starts the next `n` tasks of the job on the machine.
fn start(capacity: &mut MachineCapacity, w: &mut Waiting, n: u32, starts: &mut Vec<Start>) {
    capacity.take(w.spec, n);
    if !capacity.has_image(w.spec) {
        std::rc::Rc::make_mut(&mut capacity.images[0]).insert(w.spec.image.clone());
        capacity.fetching_gb += w.spec.image_gb;
    }
    *w.zones.entry(capacity.zone.clone()).or_default() += n;
    for index in w.tasks.drain(..n as usize) {
        starts.push(Start { uid: w.spec.uid.clone(), index, machine: capacity.machine.clone() });
    }
}

/// How many of the tasks may start on the machine.
fn able(capacity: &MachineCapacity, w: &Waiting) -> u32 {
    capacity.fits(w.spec).min(w.zone_capacity(&capacity.zone)).min(w.tasks.len() as u32)
}

/// Starts as many of the tasks as fit on each machine in turn, whatever the image.
fn first_fit(
    capacities: &mut [MachineCapacity],
    w: &mut Waiting,
    reserved: &BTreeSet<String>,
    starts: &mut Vec<Start>,
) {
    for capacity in capacities.iter_mut().filter(|r| !reserved.contains(&r.machine)) {
        let n = able(capacity, w);
        if n > 0 {
            start(capacity, w, n, starts);
        }
    }
}

/// Empty ordinary machines, so many at most.
fn keep(capacities: &[MachineCapacity], most: usize) -> BTreeSet<String> {
    let empty = capacities.iter().filter(|r| !r.spot && r.free_share() > 1.0 - SLACK);
    empty.take(most).map(|r| r.machine.clone()).collect()
}

/// Keeps the emptiest machines that could ever hold the job's next task free.
fn reserve(capacities: &[MachineCapacity], w: &Waiting, reserved: &mut BTreeSet<String>) {
    let need = if w.spec.kind == JobKind::Gang { w.tasks.len() } else { 1 };
    let mut able: Vec<&MachineCapacity> = capacities
        .iter()
        .filter(|r| r.allowed(w.spec) && r.total_cores + SLACK >= w.spec.cores && !reserved.contains(&r.machine))
        .collect();
    able.sort_by(|a, b| b.cores.total_cmp(&a.cores).then(a.machine.cmp(&b.machine)));
    reserved.extend(able.iter().take(need).map(|r| r.machine.clone()));
}

#[cfg(test)]
pub(crate) mod tests;
