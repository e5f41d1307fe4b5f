//! Plans which running tasks are preempted for more urgent ones that found no room and must
//! start soon.

#![warn(missing_docs)]

use super::Scheduler;
use super::round::SchedulingRound;
use crate::controller::agents::Preemption;
use crate::placement::{MachineCapacity, Start, Victim, preempt, zone_capacity};
use crate::protocol::user::JobKind;
use crate::state::Job;
use std::collections::BTreeMap;

/// The number of array tasks that other tasks are preempted for in one round.
const MAX_ARRAY_TASKS_PER_ROUND: u32 = 8;

/// The free capacity of one machine, and its tasks that may be preempted.
type Candidate<'a> = (MachineCapacity, Vec<Victim<'a>>);

/// A job with tasks that found no room in this round.
#[derive(Debug)]
pub(super) struct UnplacedJob<'a> {
    uid: &'a str,
    job: &'a Job,
    /// Number of tasks without room.
    tasks: u32,
}

impl Scheduler {
    /// The jobs that got too few starts in this round and that other tasks may be preempted
    /// for: services first, then arrays, oldest first and with a limited number of tasks.
    pub(super) fn unplaced_jobs<'a>(&self, round: &SchedulingRound<'a>, starts: &[Start]) -> Vec<UnplacedJob<'a>> {
        let running = round.state.jobs.values().filter(|job| job.placed > 0 && !job.cancelled());
        let Some(lowest_priority) = running.map(|job| job.spec.priority).min() else { return Vec::new() };
        let mut unplaced: Vec<UnplacedJob> = Vec::new();
        for (uid, job) in &round.state.jobs {
            if job.waiting_count() == 0 || job.spec.priority <= lowest_priority || !round.may_preempt(job) {
                continue;
            }
            let tasks = own_tasks_without_placement(round, job);
            let started = starts.iter().filter(|start| start.uid == *uid).count() as u32;
            if tasks > started && self.waits_without_backoff(round, uid) && !round.is_locked(uid) {
                unplaced.push(UnplacedJob { uid, job, tasks: tasks - started });
            }
        }
        unplaced.sort_by_key(|entry| entry.array().map(|job| job.rec.rec.submitted_ms));
        limit_array_tasks(&mut unplaced);
        unplaced
    }

    /// Whether the queue lists the job as waiting and not in backoff after failures. A job that
    /// was recorded a moment ago may not be in the replica yet, and so not in the queue.
    fn waits_without_backoff(&self, round: &SchedulingRound, uid: &str) -> bool {
        self.queue.get(uid).is_some_and(|queued| queued.waited(round.now).is_some() && !queued.in_backoff(round.now))
    }

    /// Chooses the tasks to preempt so that the unplaced ones fit.
    pub(super) fn plan_preemptions(
        &self,
        round: &SchedulingRound,
        unplaced: &[UnplacedJob],
        capacities: Vec<MachineCapacity>,
        starts: &[Start],
    ) -> Vec<Preemption> {
        let mut candidates: Vec<Candidate> =
            capacities.into_iter().filter_map(|capacity| candidate(round, capacity, starts)).collect();
        let mut preemptions = Vec::new();
        for entry in unplaced {
            self.preempt_for(round, entry, starts, &mut candidates, &mut preemptions);
        }
        preemptions
    }

    /// Adds the preemptions for the tasks of one job, and counts in `candidates` the room that
    /// the tasks will take.
    fn preempt_for(
        &self,
        round: &SchedulingRound,
        entry: &UnplacedJob,
        starts: &[Start],
        candidates: &mut [Candidate],
        preemptions: &mut Vec<Preemption>,
    ) {
        let spec = &entry.job.spec;
        let mut zones = zones_with_starts(round, entry, starts);
        let within_s = self.start_limit_s(round, entry, &zones, candidates);
        for _ in 0..entry.tasks {
            let has_room = |(capacity, _): &&mut Candidate| {
                capacity.fitting_tasks(spec) > 0
                    && may_run_on(entry.job, &zones, capacity)
                    && capacity.starts_within(spec, within_s)
            };
            if let Some((capacity, _)) = candidates.iter_mut().find(has_room) {
                capacity.take(spec, 1);
                *zones.entry(capacity.zone.clone()).or_default() += 1;
                continue;
            }
            let Some((index, chosen)) = preempt(spec, within_s, &zones, candidates) else { break };
            let (capacity, victims) = &mut candidates[index];
            *zones.entry(capacity.zone.clone()).or_default() += 1;
            for victim in chosen {
                tracing::debug!(
                    job = %victim.uid,
                    index = victim.index,
                    machine = %capacity.machine,
                    for_job = %entry.uid,
                    "task preempted"
                );
                capacity.release(victim.spec);
                victims.retain(|other| (&other.uid, other.index) != (&victim.uid, victim.index));
                preemptions.push(Preemption {
                    machine: capacity.machine.clone(),
                    job: victim.uid,
                    index: victim.index,
                    attempt: victim.attempt,
                    grace_period_s: victim.spec.checkpoint_on_stop_s().unwrap_or(0.0),
                });
            }
            capacity.take(spec, 1);
        }
    }

    /// The number of seconds within which the job's tasks have to start. It is infinite once the
    /// objective is missed, or if no machine could meet it: a late start is better than none.
    fn start_limit_s(
        &self,
        round: &SchedulingRound,
        entry: &UnplacedJob,
        zones: &BTreeMap<String, u32>,
        candidates: &[Candidate],
    ) -> f64 {
        let spec = &entry.job.spec;
        let within_s = round.objectives.start_limit_s(spec).unwrap_or(f64::INFINITY);
        let waited = self.queue.get(entry.uid).and_then(|queued| queued.waited(round.now)).unwrap_or_default();
        let can_be_met = candidates
            .iter()
            .any(|(capacity, _)| may_run_on(entry.job, zones, capacity) && capacity.starts_within(spec, within_s));
        if !can_be_met || waited.as_secs_f64() > within_s { f64::INFINITY } else { within_s }
    }
}

impl<'a> UnplacedJob<'a> {
    /// The job, if it is an array.
    fn array(&self) -> Option<&'a Job> {
        Some(self.job).filter(|job| job.spec.kind == JobKind::Array)
    }
}

/// The number of the job's tasks that are assigned to this controller and have no placement,
/// finished ones included.
fn own_tasks_without_placement(round: &SchedulingRound, job: &Job) -> u32 {
    let is_not_placed = |index: &u32| job.placement(*index, round.state.checkpoint_size).is_none();
    let own_ranges = job.rec.rec.task_ranges.iter().filter(|range| range.member == round.member);
    own_ranges.map(|range| (range.from..=range.to).filter(is_not_placed).count() as u32).sum()
}

/// Limits the array tasks in the list to those that other tasks are preempted for in one round.
fn limit_array_tasks(unplaced: &mut [UnplacedJob]) {
    let mut left = MAX_ARRAY_TASKS_PER_ROUND;
    for entry in unplaced.iter_mut().filter(|entry| entry.array().is_some()) {
        entry.tasks = left.min(entry.tasks);
        left -= entry.tasks;
    }
}

/// The machine's capacity after this round's starts, and its tasks that may be preempted.
fn candidate<'a>(
    round: &SchedulingRound<'a>,
    mut capacity: MachineCapacity,
    starts: &[Start],
) -> Option<Candidate<'a>> {
    let name = capacity.machine.clone();
    for start in starts.iter().filter(|start| start.machine == name) {
        if let Some(job) = round.state.jobs.get(&start.uid) {
            capacity.take(&job.spec, 1);
        }
    }
    let machine = round.agents.machine(&name)?;
    let mut victims = Vec::new();
    for ((uid, index), attempt) in round.state.placed_tasks.get(&name).into_iter().flatten() {
        let Some(job) = round.state.jobs.get(uid) else { continue };
        let key = (uid.clone(), *index, *attempt);
        if machine.has_ended(&key) {
            continue;
        }
        // The room of a task that is being preempted already counts as free. The task is not a
        // candidate again, so that its room counts only once.
        if machine.preempted.contains_key(&key) {
            capacity.release(&job.spec);
        } else if job.spec.kind == JobKind::Array && !job.cancelled() {
            let ran_s =
                machine.running_since.get(&key).map_or(0.0, |since| round.now.saturating_sub(*since).as_secs_f64());
            // Tasks that save checkpoints get the time to save one before they are stopped.
            let lost_s = if job.spec.checkpoint_on_stop_s().is_some() { 0.0 } else { ran_s };
            victims.push(Victim {
                uid: uid.clone(),
                index: *index,
                attempt: *attempt,
                spec: &job.spec,
                cost: lost_s * job.spec.cores,
                would_miss_objective: round.would_miss_deadline_if_restarted(job, ran_s),
            });
        }
    }
    Some((capacity, victims))
}

/// The number of the job's tasks by zone, including those that start in this round.
fn zones_with_starts(round: &SchedulingRound, entry: &UnplacedJob, starts: &[Start]) -> BTreeMap<String, u32> {
    let mut zones = round.state.tasks_by_zone(entry.job);
    for start in starts.iter().filter(|start| start.uid == *entry.uid) {
        if let Some(machine) = round.state.machines.get(&start.machine) {
            *zones.entry(machine.rec.zone.clone()).or_default() += 1;
        }
    }
    zones
}

/// Whether one more task of the job may run on a machine of this type in this zone, whatever its
/// free capacity.
fn may_run_on(job: &Job, zones: &BTreeMap<String, u32>, capacity: &MachineCapacity) -> bool {
    capacity.allowed(&job.spec) && zone_capacity(&job.spec, job.spec.task_count, zones, &capacity.zone) > 0
}
