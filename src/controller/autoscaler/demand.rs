//! What jobs want of the fleet beyond what runs: the tasks that wait, in the order in
//! which machines are rented for them, and headroom for services.

use super::*;
use crate::controller::scheduler::OPTIMISTIC_RUN_SHARE;
use crate::placement::MachineCapacity;
use crate::protocol::user::{JobKind, JobSpec};
use crate::scaling::Demand;
use crate::state::Job;
use std::cmp::Ordering;

/// A job that will be late gets machines for one in this many of its tasks.
const LATE_SHARE: u32 = 4;
/// On-demand machines for arrays that may use spot ones are not rented while
/// more than this part of what is up is booting.
const BOOTING_SHARE: f64 = 0.5;
/// Beyond so many times the cores of the operators' own machines, rentals are most of the cost.
const COST_SAVING_FROM: f64 = 2.0;

/// What all jobs want together.
#[derive(Debug)]
pub(super) struct FleetDemand<'a> {
    /// Services that must start soon, and headroom for them. They may count on room that
    /// arrays use, since those can be preempted.
    pub(super) services: Vec<Demand<'a>>,
    /// All other jobs, the most urgent first.
    pub(super) arrays: Vec<Demand<'a>>,
}

/// What is paid for late jobs at present.
#[derive(Debug, Clone, Copy)]
struct CostPolicy {
    /// More is rented than the operators keep by their own choice.
    saves_cost: bool,
    /// So much boots already that more on-demand machines are not rented for arrays.
    awaits_boots: bool,
    /// Late jobs get machines for all their tasks.
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
    /// By priority and then slack; jobs that are late take what the others leave.
    fn urgency(&self, other: &Self) -> Ordering {
        let late = |waiting: &Self| waiting.slack_s < 0.0;
        let by_priority = other.demand.spec.priority.cmp(&self.demand.spec.priority);
        by_priority.then(late(self).cmp(&late(other))).then(self.slack_s.total_cmp(&other.slack_s))
    }
}

impl Controller {
    /// Whether more is rented than stands there by the operators' own choice.
    /// Up to that, machines for late work are a small part of the cost and are
    /// rented freely; beyond it they are most of it.
    pub(super) fn saves_cost(&self, capacities: &[MachineCapacity]) -> bool {
        let base = |r: &MachineCapacity| self.state.machines.get(&r.machine).is_some_and(|h| h.rec.base);
        let base_cores: f64 = capacities.iter().filter(|r| base(r)).map(|r| r.total_cores).sum();
        capacities.iter().map(|r| r.total_cores).sum::<f64>() > base_cores * COST_SAVING_FROM
    }

    /// So much boots already that what arrays need beyond it is not known yet:
    /// a fleet that begins with nothing would rent on-demand machines for all
    /// that gathered while the first ones boot.
    fn awaits_boots(&self, capacities: &[MachineCapacity]) -> bool {
        let (mut up, mut booting) = (0.0, 0.0);
        for capacity in capacities {
            let sum = if self.is_up(&capacity.machine) { &mut up } else { &mut booting };
            *sum += capacity.total_cores;
        }
        booting > up * BOOTING_SHARE
    }

    fn cost_policy(&self, capacities: &[MachineCapacity]) -> CostPolicy {
        let saves_cost = self.saves_cost(capacities);
        CostPolicy {
            saves_cost,
            awaits_boots: saves_cost && self.awaits_boots(capacities),
            serves_late_jobs: !saves_cost && self.service_levels.objectives.behind(),
        }
    }

    /// Waiting tasks: first those of services that must start soon, with headroom for
    /// them, then all others.
    pub(super) fn demand(&self, capacities: &[MachineCapacity]) -> FleetDemand<'_> {
        let policy = self.cost_policy(capacities);
        let leaving = self.leaving();
        let (mut services, mut others) = (Vec::new(), Vec::new());
        for job in self.uncancelled_jobs() {
            let leaving = leaving.get(job.spec.uid.as_str()).copied().unwrap_or(0);
            let Some(waiting) = self.waiting_tasks(job, leaving, policy) else { continue };
            if self.has_start_objective(&job.spec) {
                services.push(waiting.demand);
            } else {
                others.push(waiting);
            }
        }
        services.extend(self.headroom());
        others.sort_by(WaitingTasks::urgency);
        let cores = capacities.iter().map(|r| r.total_cores).sum();
        let arrays = split_by_freed_capacity(others, policy.saves_cost, self.freed_cores_per_s(cores));
        FleetDemand { services, arrays }
    }

    fn uncancelled_jobs(&self) -> impl Iterator<Item = &Job> {
        self.state.jobs.values().filter(|job| !job.cancelled())
    }

    /// A service with an objective for its start.
    fn has_start_objective(&self, spec: &JobSpec) -> bool {
        spec.kind == JobKind::Service && self.service_levels.objectives.start_within(spec).is_some()
    }

    /// The job's tasks that wait, and of a service the replicas that are `leaving` their
    /// machines for maintenance.
    ///
    /// A machine rented now does not save a job that will be late all the same: it makes
    /// do with less, unless objectives are missed and machines are cheap beside what
    /// stands there.
    fn waiting_tasks<'a>(&self, job: &'a Job, leaving: u32, policy: CostPolicy) -> Option<WaitingTasks<'a>> {
        let spec = &job.spec;
        let mut tasks = job.waiting_count();
        if spec.kind == JobKind::Service {
            tasks += leaving;
        }
        let boot_s = self.cloud.shortest_startup_s();
        let age_s = self.wall_ms().saturating_sub(job.rec.rec.at_ms) as f64 / 1000.0;
        let needs_s = boot_s + spec.estimated_run_s * OPTIMISTIC_RUN_SHARE;
        let objective_s = self.service_levels.objectives.end_from(spec, age_s, needs_s);
        let late = objective_s.is_some_and(|a| a - age_s < needs_s) && !policy.serves_late_jobs;
        if late {
            tasks = tasks.div_ceil(LATE_SHARE);
        }
        if tasks == 0 {
            return None;
        }
        let demand = Demand {
            spec,
            tasks,
            spot_only: late || policy.awaits_boots,
            zones: self.state.tasks_by_zone(job),
            of: spec.task_count,
            spare: false,
        };
        let slack_s = objective_s.map_or(0.0, |a| a - age_s - boot_s - spec.estimated_run_s * OPTIMISTIC_RUN_SHARE);
        Some(WaitingTasks { slack_s, demand })
    }

    /// Room for more replicas of each class of services: a share of those that there are,
    /// and at least the services of any one machine, which must find room elsewhere at once.
    fn headroom(&self) -> Vec<Demand<'_>> {
        let mut classes: BTreeMap<&str, (&JobSpec, u32)> = BTreeMap::new();
        for job in self.uncancelled_jobs().filter(|job| self.has_start_objective(&job.spec)) {
            let (_, tasks) = classes.entry(&job.spec.class).or_insert((&job.spec, 0));
            *tasks += job.spec.task_count;
        }
        let mut most_on_one_machine: BTreeMap<&str, u32> = BTreeMap::new();
        for (class, tasks) in self.state.loads.values().flat_map(|load| &load.standing) {
            let most = most_on_one_machine.entry(class).or_default();
            *most = (*tasks).max(*most);
        }
        let mut headroom = Vec::new();
        for (class, (spec, tasks)) in classes {
            let share = (f64::from(tasks) * self.config.operator.spare_share).ceil() as u32 + 1;
            let tasks = share.max(most_on_one_machine.get(class).copied().unwrap_or(0));
            headroom.push(Demand::spare(spec, tasks));
        }
        headroom
    }

    /// Cores that running tasks of arrays leave in a second, if arrays use all `cores`.
    fn freed_cores_per_s(&self, cores: f64) -> f64 {
        let (mut run_s, mut tasks) = (0.0, 0.0);
        for job in self.uncancelled_jobs().filter(|job| job.spec.kind == JobKind::Array) {
            run_s += f64::from(job.spec.task_count) * job.spec.estimated_run_s;
            tasks += f64::from(job.spec.task_count);
        }
        if run_s > 0.0 { cores * tasks / run_s } else { 0.0 }
    }
}

/// Room that running tasks leave soon enough serves jobs that can wait for it: only the
/// rest is worth an on-demand machine.
fn split_by_freed_capacity(jobs: Vec<WaitingTasks>, saves_cost: bool, freed_cores_per_s: f64) -> Vec<Demand> {
    let mut reserved_cores = 0.0;
    let mut split = Vec::new();
    for WaitingTasks { slack_s, demand } in jobs {
        let freed_cores = (freed_cores_per_s * slack_s.max(0.0) - reserved_cores).max(0.0);
        let fitting = freed_cores / demand.spec.cores.max(f64::MIN_POSITIVE);
        let waits = if demand.spot_only {
            demand.tasks
        } else if !saves_cost {
            0
        } else {
            fitting.min(f64::from(demand.tasks)) as u32
        };
        reserved_cores += f64::from(waits) * demand.spec.cores;
        let part = |tasks, spot_only| Demand { tasks, spot_only, zones: demand.zones.clone(), ..demand };
        let parts = [part(demand.tasks - waits, false), part(waits, true)];
        split.extend(parts.into_iter().filter(|part| part.tasks > 0));
    }
    split
}
