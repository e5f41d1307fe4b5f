//! The demand for machines beyond what is running: waiting tasks, in the order in which
//! machines are rented for them, and headroom for services.

#![warn(missing_docs)]

use super::*;
use crate::controller::scheduler::OPTIMISTIC_RUN_SHARE;
use crate::placement::MachineCapacity;
use crate::protocol::user::{JobKind, JobSpec};
use crate::scaling::Demand;
use crate::state::Job;
use std::cmp::Ordering;

/// A job that will miss its objective anyway gets machines for one in this many of its
/// waiting tasks.
const LATE_TASKS_DIVISOR: u32 = 4;
/// While the cores of booting machines exceed this share of the cores that are up, no
/// on-demand machines are rented for arrays that may use spot machines.
const MAX_BOOTING_SHARE: f64 = 0.5;
/// Above this many times the cores of the base fleet, which operators keep themselves,
/// rentals make up most of the cost.
const COST_SAVING_BASE_MULTIPLE: f64 = 2.0;

/// The demand of all jobs.
#[derive(Debug)]
pub(super) struct FleetDemand<'a> {
    /// Services with a start objective, and headroom for them. Capacity used by arrays
    /// counts as free for these, since arrays can be preempted.
    pub(super) services: Vec<Demand<'a>>,
    /// All other jobs, the most urgent first.
    pub(super) others: Vec<Demand<'a>>,
}

/// How freely machines are rented at present, depending on the cost of the fleet.
#[derive(Debug, Clone, Copy)]
struct CostPolicy {
    /// Rentals make up most of the cost and are limited to save cost.
    saves_cost: bool,
    /// So many machines are booting that no more on-demand machines are rented for arrays.
    awaits_boots: bool,
    /// Late jobs get machines for all their waiting tasks.
    serves_late_jobs: bool,
}

/// A job's waiting tasks and how long they can wait.
#[derive(Debug)]
struct WaitingTasks<'a> {
    /// Time until the job must start to meet its objective.
    slack_s: f64,
    demand: Demand<'a>,
}

impl WaitingTasks<'_> {
    /// Orders jobs by priority and then by slack, with late jobs after all others of the
    /// same priority.
    fn compare_urgency(&self, other: &Self) -> Ordering {
        let late = |waiting: &Self| waiting.slack_s < 0.0;
        let by_priority = other.demand.spec.priority.cmp(&self.demand.spec.priority);
        by_priority.then(late(self).cmp(&late(other))).then(self.slack_s.total_cmp(&other.slack_s))
    }
}

impl Controller {
    /// Whether the fleet has grown so far beyond the base fleet, which operators keep
    /// themselves, that rentals make up most of the cost. Below that, machines for late
    /// jobs are a small part of the cost and are rented freely.
    pub(super) fn saves_cost(&self, capacities: &[MachineCapacity]) -> bool {
        let is_base = |capacity: &MachineCapacity| {
            self.state.machines.get(&capacity.machine).is_some_and(|machine| machine.rec.is_base)
        };
        let base_cores: f64 = capacities.iter().filter(|c| is_base(c)).map(|c| c.total_cores).sum();
        capacities.iter().map(|c| c.total_cores).sum::<f64>() > base_cores * COST_SAVING_BASE_MULTIPLE
    }

    /// Whether so many machines are booting that the demand of arrays beyond them is not
    /// known yet. Without this rule, a fleet that starts empty would rent on-demand machines
    /// for every job that is submitted while the first machines boot.
    fn awaits_boots(&self, capacities: &[MachineCapacity]) -> bool {
        let (mut up, mut booting) = (0.0, 0.0);
        for capacity in capacities {
            let sum = if self.is_up(&capacity.machine) { &mut up } else { &mut booting };
            *sum += capacity.total_cores;
        }
        booting > up * MAX_BOOTING_SHARE
    }

    /// The cost policy for a fleet with these capacities.
    fn cost_policy(&self, capacities: &[MachineCapacity]) -> CostPolicy {
        let saves_cost = self.saves_cost(capacities);
        CostPolicy {
            saves_cost,
            awaits_boots: saves_cost && self.awaits_boots(capacities),
            serves_late_jobs: !saves_cost && self.service_levels.objectives.any_missed_recently(),
        }
    }

    /// The demand of all jobs: services with a start objective together with their
    /// headroom, and all other jobs.
    pub(super) fn demand(&self, capacities: &[MachineCapacity]) -> FleetDemand<'_> {
        let policy = self.cost_policy(capacities);
        let replicas_leaving = self.replicas_leaving();
        let (mut services, mut others) = (Vec::new(), Vec::new());
        for job in self.runnable_jobs() {
            let leaving = replicas_leaving.get(job.spec.uid.as_str()).copied().unwrap_or(0);
            let Some(waiting) = self.waiting_tasks(job, leaving, policy) else { continue };
            if self.has_start_objective(&job.spec) {
                services.push(waiting.demand);
            } else {
                others.push(waiting);
            }
        }
        services.extend(self.headroom());
        others.sort_by(WaitingTasks::compare_urgency);
        let cores = capacities.iter().map(|c| c.total_cores).sum();
        let others = split_by_freed_capacity(others, policy.saves_cost, self.freed_cores_per_s(cores));
        FleetDemand { services, others }
    }

    /// The jobs that have not been cancelled and can run on some machine type. Others, whose
    /// type the cloud no longer offers or which an earlier version accepted, would be demand that
    /// no machine can ever meet.
    pub(super) fn runnable_jobs(&self) -> impl Iterator<Item = &Job> {
        self.state.jobs.values().filter(|job| !job.cancelled() && self.cloud.any_type_can_run(&job.spec))
    }

    /// Whether the job is a service with an objective for its start.
    fn has_start_objective(&self, spec: &JobSpec) -> bool {
        spec.kind == JobKind::Service && self.service_levels.objectives.start_limit_s(spec).is_some()
    }

    /// The job's waiting tasks and, for a service, its replicas that are `leaving` their
    /// machines for maintenance. None if there are no such tasks.
    ///
    /// Machines rented now cannot make a late job meet its objective, so only a part of its
    /// tasks counts. All of them count while objectives are being missed and rentals are
    /// cheap compared with the base fleet.
    fn waiting_tasks<'a>(&self, job: &'a Job, leaving: u32, policy: CostPolicy) -> Option<WaitingTasks<'a>> {
        let spec = &job.spec;
        let mut tasks = job.waiting_count();
        if spec.kind == JobKind::Service {
            tasks += leaving;
        }
        let boot_s = self.cloud.shortest_startup_s();
        let age_s = self.wall_ms().saturating_sub(job.rec.rec.submitted_ms) as f64 / 1000.0;
        let needed_s = boot_s + spec.estimated_run_s * OPTIMISTIC_RUN_SHARE;
        let objective_s = self.service_levels.objectives.next_completion_limit_s(spec, age_s, needed_s);
        let late = objective_s.is_some_and(|objective_s| objective_s - age_s < needed_s) && !policy.serves_late_jobs;
        if late {
            tasks = tasks.div_ceil(LATE_TASKS_DIVISOR);
        }
        if tasks == 0 {
            return None;
        }
        let demand = Demand {
            spec,
            tasks,
            spot_only: late || policy.awaits_boots,
            tasks_by_zone: self.state.tasks_by_zone(job),
            zone_limit_tasks: spec.task_count,
            is_headroom: false,
        };
        let slack_s = objective_s
            .map_or(0.0, |objective_s| objective_s - age_s - boot_s - spec.estimated_run_s * OPTIMISTIC_RUN_SHARE);
        Some(WaitingTasks { slack_s, demand })
    }

    /// Headroom for each class of services with a start objective: a share of its replicas
    /// plus one, and at least as many as run on any one machine, because these must find
    /// capacity elsewhere at once if that machine fails.
    fn headroom(&self) -> Vec<Demand<'_>> {
        let mut classes: BTreeMap<&str, (&JobSpec, u32)> = BTreeMap::new();
        for job in self.runnable_jobs().filter(|job| self.has_start_objective(&job.spec)) {
            let (_, tasks) = classes.entry(&job.spec.class).or_insert((&job.spec, 0));
            *tasks = tasks.saturating_add(job.spec.task_count);
        }
        let mut most_on_one_machine: BTreeMap<&str, u32> = BTreeMap::new();
        for (class, tasks) in self.state.machine_loads.values().flat_map(|load| &load.service_replicas) {
            let most = most_on_one_machine.entry(class).or_default();
            *most = (*tasks).max(*most);
        }
        let mut headroom = Vec::new();
        for (class, (spec, tasks)) in classes {
            let share = ((f64::from(tasks) * self.config.operator.spare_share).ceil() as u32).saturating_add(1);
            let tasks = share.max(most_on_one_machine.get(class).copied().unwrap_or(0));
            headroom.push(Demand::headroom(spec, tasks));
        }
        headroom
    }

    /// Cores per second that ending array tasks free, if arrays use all of `cores`.
    fn freed_cores_per_s(&self, cores: f64) -> f64 {
        let (mut run_s, mut tasks) = (0.0, 0.0);
        for job in self.runnable_jobs().filter(|job| job.spec.kind == JobKind::Array) {
            run_s += f64::from(job.spec.task_count) * job.spec.estimated_run_s;
            tasks += f64::from(job.spec.task_count);
        }
        if run_s > 0.0 { cores * tasks / run_s } else { 0.0 }
    }
}

/// Splits the demand of each job by the capacity that running tasks will free before the
/// job has to start. Tasks that can wait for this capacity are worth spot machines only;
/// the others are worth on-demand machines as well.
fn split_by_freed_capacity(jobs: Vec<WaitingTasks>, saves_cost: bool, freed_cores_per_s: f64) -> Vec<Demand> {
    let mut reserved_cores = 0.0;
    let mut split = Vec::new();
    for WaitingTasks { slack_s, demand } in jobs {
        let freed_cores = (freed_cores_per_s * slack_s.max(0.0) - reserved_cores).max(0.0);
        let fitting_tasks = freed_cores / demand.spec.cores.max(f64::MIN_POSITIVE);
        let can_wait = if demand.spot_only {
            demand.tasks
        } else if !saves_cost {
            0
        } else {
            fitting_tasks.min(f64::from(demand.tasks)) as u32
        };
        reserved_cores += f64::from(can_wait) * demand.spec.cores;
        let part =
            |tasks, spot_only| Demand { tasks, spot_only, tasks_by_zone: demand.tasks_by_zone.clone(), ..demand };
        let parts = [part(demand.tasks - can_wait, false), part(can_wait, true)];
        split.extend(parts.into_iter().filter(|part| part.tasks > 0));
    }
    split
}
