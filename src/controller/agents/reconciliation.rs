//! Reconciliation of a machine's newest heartbeat with the tasks that are recorded for it.

use super::commands::MachineTasks;
use super::summary::AgentsSummary;
use crate::controller::Controller;
use crate::controller::journal::Journal;
use crate::controller::scheduler::Scheduler;
use crate::coordination::fault_attribution::Verdict;
use crate::coordination::machine::{AttemptKey, Machine, ObservedTask};
use crate::effects::Instant;
use crate::protocol::time::duration_from_secs;
use crate::protocol::user::JobKind;
use crate::protocol::worker::{Cause, TaskState};
use crate::reconciliation::difference::{Difference, ObservedState, RecordedState, compare};
use crate::state::{ClusterState, Job};
use std::rc::Rc;

/// If tasks failed on a machine and either may be at fault, it gets no tasks for this many
/// heartbeat intervals: until then the tasks are tried elsewhere.
const UNDECIDED_CORDON_INTERVALS: f64 = 2.0;

/// One comparison of a machine's newest heartbeat with what is recorded.
struct Reconciliation<'a> {
    now: Instant,
    heartbeat_interval_s: f64,
    lease_s: f64,
    name: &'a str,
    state: &'a ClusterState,
    tasks: &'a MachineTasks,
    machine: &'a mut Machine,
    journal: &'a mut Journal,
    scheduler: &'a mut Scheduler,
    summary: &'a mut AgentsSummary,
    /// Whether capacity became free.
    capacity_freed: bool,
    /// Whether tasks failed.
    tasks_failed: bool,
}

impl Reconciliation<'_> {
    /// Processes all tasks in the heartbeat, and those that are missing from it.
    fn run(&mut self) {
        // A machine that has just accepted our token can take tasks from now on.
        let has_token = self.machine.has_shown_required_token();
        self.capacity_freed = has_token && !std::mem::replace(&mut self.machine.token_confirmed, true);
        let observed_tasks = std::mem::take(&mut self.machine.tasks);
        for observed in &observed_tasks {
            if let Some(job) = self.state.jobs.get(&observed.task.job) {
                self.record_progress(observed, job);
                self.record_exit(observed, job);
            }
        }
        self.machine.tasks = observed_tasks;
        self.prune_unrecorded_attempts();
        self.record_missing_attempts();
        if self.tasks_failed {
            self.evaluate_failures();
        }
    }

    /// Records what a task's state shows of its start and of the images on the machine.
    fn record_progress(&mut self, observed: &ObservedTask, job: &Job) {
        if observed.state == TaskState::Running {
            self.machine.running_since.entry(attempt_key(observed)).or_insert(self.now);
        }
        let image = &job.spec.image;
        if self.machine.images.contains(image) {
            return;
        }
        match observed.state {
            TaskState::Running | TaskState::WaitingForGang | TaskState::Saving => {
                Rc::make_mut(&mut self.machine.images).insert(image.clone());
                self.machine.fetches.remove(image);
            }
            TaskState::Fetching => {
                self.machine.fetches.entry(image.clone()).or_insert(self.now);
            }
            TaskState::Exited => {}
        }
    }

    /// Records a task's exit, if the heartbeat shows one that counts.
    fn record_exit(&mut self, observed: &ObservedTask, job: &Job) {
        let task = (observed.task.job.clone(), observed.task.index);
        let recorded = RecordedState::of(&self.tasks.wanted, &self.tasks.kept, &task, observed.attempt);
        // A gang that is placed completely is starting, even if one of its tasks gave up waiting.
        let gang_is_starting = job.spec.kind == JobKind::Gang && job.placed == job.spec.task_count && !job.cancelled();
        let is_gone = match compare(recorded, ObservedState::of(observed.state, observed.cause), gang_is_starting) {
            Difference::Finished => {
                self.record_finished(observed, job);
                job.cancelled() && recorded == RecordedState::Ending
            }
            Difference::Failed => {
                let is_final = self.machine.has_finally_exited(observed);
                if !is_final {
                    let awaited = self.machine.awaited_for_exit(observed);
                    self.machine.proof_waits.record(attempt_key(observed), awaited, self.now);
                }
                is_final
            }
            _ => false,
        };
        if is_gone {
            self.record_gone(observed);
        }
    }

    /// Records that the task finished, and with it its whole gang.
    fn record_finished(&mut self, observed: &ObservedTask, job: &Job) {
        let (uid, index) = (&observed.task.job, observed.task.index);
        if index >= job.spec.task_count || job.is_done(index, self.state.checkpoint_size) || job.cancelled() {
            return;
        }
        // A gang finishes as a whole: the heartbeats of its other tasks may be lost with their
        // machines.
        let is_gang = job.spec.kind == JobKind::Gang;
        let finished = if is_gang { 0..job.spec.task_count } else { index..index + 1 };
        for index in finished {
            self.capacity_freed |= self.journal.record_done(uid, index, self.now);
        }
        self.machine.failures.record_success();
    }

    /// Records that the attempt ended without a result, and whether it failed.
    fn record_gone(&mut self, observed: &ObservedTask) {
        let uid = &observed.task.job;
        if !self.journal.record_gone(uid, observed.task.index, observed.attempt, self.now) {
            return;
        }
        self.capacity_freed = true;
        self.record_proof(attempt_key(observed));
        if observed.cause == Some(Cause::Error) {
            self.tasks_failed = true;
            self.machine.failures.record_failure(uid);
            let interval = duration_from_secs(self.heartbeat_interval_s);
            self.scheduler.record_failure(uid, self.name, self.now, interval);
        }
        tracing::debug!(
            machine = %self.name,
            task = %observed.task,
            cause = ?observed.cause,
            "task ended without result"
        );
    }

    /// Forgets the state of attempts that are no longer recorded for the machine.
    fn prune_unrecorded_attempts(&mut self) {
        let kept = &self.tasks.kept;
        let is_kept = |key: &(String, u32, u64)| kept.get(&(key.0.clone(), key.1)) == Some(&key.2);
        let is_live = |uid: &str| self.state.jobs.get(uid).is_some_and(|job| !job.cancelled());
        self.machine.running_since.retain(|key, _| is_kept(key));
        self.machine.preempted.retain(|key, _| is_kept(key) && is_live(&key.0));
        self.machine.proven_ended.retain(is_kept);
        self.machine.proof_waits.retain(is_kept);
        self.machine.prune_pushed(is_kept);
    }

    /// Records that attempts are gone which shall not run here and are proved to be absent.
    fn record_missing_attempts(&mut self) {
        for ((uid, index), attempt) in &self.tasks.kept {
            let is_wanted = self.tasks.wanted.contains_key(&(uid.clone(), *index));
            let key = (uid.clone(), *index, *attempt);
            if is_wanted || self.machine.find(uid, *index, *attempt).is_some() {
                continue;
            }
            if !self.machine.is_absent(&key) {
                let awaited = self.machine.awaited_for_absence();
                self.machine.proof_waits.record(key, awaited, self.now);
                continue;
            }
            self.journal.record_gone(uid, *index, *attempt, self.now);
            if !self.machine.proven_ended.contains(&key) {
                let token = self.machine.token();
                tracing::debug!(machine = %self.name, job = %uid, index, attempt, token, "task proved absent");
            }
            self.record_proof(key);
            self.capacity_freed = true;
        }
    }

    /// Records that the attempt is proved to have ended, and how long the proof was awaited.
    fn record_proof(&mut self, key: AttemptKey) {
        if let Some((awaited, duration)) = self.machine.proof_waits.finish(&key, self.now) {
            self.summary.record_wait(awaited, duration);
        }
        self.machine.proven_ended.insert(key);
    }

    /// Determines whether the machine is at fault for failed tasks: if so, it gets no tasks for a
    /// while.
    fn evaluate_failures(&mut self) {
        let tasks_done = |uid: &str| self.state.jobs.get(uid).map_or(0, |job| job.done);
        let fails_everywhere = |uid: &str| self.scheduler.fails_everywhere(uid, tasks_done(uid));
        match self.machine.failures.verdict(fails_everywhere, |uid| tasks_done(uid) > 0) {
            Verdict::Healthy => {}
            Verdict::Undecided => {
                let pause = duration_from_secs(self.heartbeat_interval_s * UNDECIDED_CORDON_INTERVALS);
                self.machine.cordoned_until = self.now + pause;
            }
            Verdict::Faulty => {
                tracing::info!(machine = %self.name, failures = ?self.machine.failures, "machine cordoned");
                self.machine.cordoned_until = self.now + duration_from_secs(self.lease_s);
                self.machine.failures.record_cordon();
            }
        }
    }
}

/// The key of the attempt that the heartbeat shows.
fn attempt_key(observed: &ObservedTask) -> (String, u32, u64) {
    (observed.task.job.clone(), observed.task.index, observed.attempt)
}

impl Controller {
    /// Compares the machine's newest heartbeat with the tasks that are recorded for it.
    pub(super) fn reconcile(&mut self, name: &str) {
        let tasks = self.machine_tasks(name);
        let Some(machine) = self.agents.machines.get_mut(name) else { return };
        let workers = &self.config.deployment.workers;
        let mut reconciliation = Reconciliation {
            now: self.now,
            heartbeat_interval_s: workers.heartbeat_interval_s,
            lease_s: workers.lease_s,
            name,
            state: &self.state,
            tasks: &tasks,
            machine,
            journal: &mut self.journal,
            scheduler: &mut self.scheduler,
            summary: &mut self.agents.summary,
            capacity_freed: false,
            tasks_failed: false,
        };
        reconciliation.run();
        let capacity_freed = reconciliation.capacity_freed;
        self.scheduler.request_round_if(capacity_freed);
    }
}
