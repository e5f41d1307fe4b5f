//! Reconciliation of a machine's newest heartbeat with the tasks recorded for it.

use super::commands::MachineTasks;
use crate::controller::Controller;
use crate::controller::journal::Journal;
use crate::controller::scheduler::Scheduler;
use crate::coordination::fault_attribution::Verdict;
use crate::coordination::machine::{Machine, ObservedTask};
use crate::effects::Instant;
use crate::protocol::user::JobKind;
use crate::protocol::worker::{Cause, TaskState};
use crate::reconciliation::difference::{Difference, ObservedState, RecordedState, compare};
use crate::state::{ClusterState, Job};
use std::rc::Rc;
use std::time::Duration;

/// A machine on which tasks failed that may be at fault themselves gets none for so many
/// heartbeat intervals: until then they are tried elsewhere.
const UNDECIDED_PAUSE: f64 = 2.0;

/// The comparison of one machine's heartbeat with what is recorded.
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
    /// Capacity came free.
    freed: bool,
    /// Tasks failed.
    failed: bool,
}

impl Reconciliation<'_> {
    fn run(&mut self) {
        // A machine that has just taken our token can take tasks now.
        let has_token = self.machine.fencing_token == self.machine.token();
        self.freed = has_token && !std::mem::replace(&mut self.machine.ready, true);
        let seen_tasks = std::mem::take(&mut self.machine.tasks);
        for seen in &seen_tasks {
            if let Some(job) = self.state.jobs.get(&seen.task.job) {
                self.record_progress(seen, job);
                self.record_exit(seen, job);
            }
        }
        self.machine.tasks = seen_tasks;
        self.forget_stored();
        if self.machine.confirmed() {
            self.record_vanished();
        }
        if self.failed {
            self.judge_failures();
        }
    }

    /// What the task's state says of its start and of the images on the machine.
    fn record_progress(&mut self, seen: &ObservedTask, job: &Job) {
        if seen.state == TaskState::Running {
            self.machine.since.entry(key_of(seen)).or_insert(self.now);
        }
        let image = &job.spec.image;
        if self.machine.images.contains(image) {
            return;
        }
        match seen.state {
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

    /// Records the task's exit, if it shows one that counts.
    fn record_exit(&mut self, seen: &ObservedTask, job: &Job) {
        let task = (seen.task.job.clone(), seen.task.index);
        let stored = RecordedState::of(&self.tasks.wanted, &self.tasks.kept, &task, seen.attempt);
        // A gang that is placed whole comes, whoever gave up waiting for it.
        let comes = job.spec.kind == JobKind::Gang && job.placed == job.spec.task_count && !job.cancelled();
        let is_gone = match compare(stored, ObservedState::of(seen.state, seen.cause), comes) {
            Difference::Finished => {
                self.record_finished(seen, job);
                job.cancelled() && stored == RecordedState::Ending
            }
            // A copy may show what was ordered again since.
            Difference::Failed => self.machine.sure,
            _ => false,
        };
        if is_gone {
            self.record_gone(seen);
        }
    }

    fn record_finished(&mut self, seen: &ObservedTask, job: &Job) {
        let (uid, index) = (&seen.task.job, seen.task.index);
        if index >= job.spec.task_count || job.is_done(index, self.state.checkpoint_size) || job.cancelled() {
            return;
        }
        // A gang completes together: the heartbeats of the others may be lost with
        // their machines.
        let is_gang = job.spec.kind == JobKind::Gang;
        let finished = if is_gang { 0..job.spec.task_count } else { index..index + 1 };
        for index in finished {
            self.freed |= self.journal.record_done(uid, index, self.now);
        }
        self.machine.failures.clear();
    }

    fn record_gone(&mut self, seen: &ObservedTask) {
        let uid = &seen.task.job;
        if !self.journal.record_gone(uid, seen.task.index, seen.attempt, self.now) {
            return;
        }
        self.freed = true;
        self.machine.gone.insert(key_of(seen));
        if seen.cause == Some(Cause::Error) {
            self.failed = true;
            self.machine.failures.note(uid);
            let interval = Duration::from_secs_f64(self.heartbeat_interval_s);
            self.scheduler.record_failure(uid, self.name, self.now, interval);
        }
        tracing::debug!(machine = %self.name, task = %seen.task, cause = ?seen.cause, "task_ended_without_result");
    }

    /// Forgets what concerns attempts that are no longer recorded here.
    fn forget_stored(&mut self) {
        let kept = &self.tasks.kept;
        let is_kept = |key: &(String, u32, u64)| kept.get(&(key.0.clone(), key.1)) == Some(&key.2);
        let is_live = |uid: &str| self.state.jobs.get(uid).is_some_and(|job| !job.cancelled());
        self.machine.since.retain(|key, _| is_kept(key));
        self.machine.preempted.retain(|key, _| is_kept(key) && is_live(&key.0));
        self.machine.gone.retain(is_kept);
    }

    /// Attempts that shall not run and are not there are gone: the heartbeat shows all
    /// there is.
    fn record_vanished(&mut self) {
        for ((uid, index), attempt) in &self.tasks.kept {
            let is_wanted = self.tasks.wanted.contains_key(&(uid.clone(), *index));
            if !is_wanted && self.machine.find(uid, *index, *attempt).is_none() {
                self.journal.record_gone(uid, *index, *attempt, self.now);
                self.machine.gone.insert((uid.clone(), *index, *attempt));
                self.freed = true;
            }
        }
    }

    /// Whether the machine is to blame for its failures: then it gets no tasks for a while.
    fn judge_failures(&mut self) {
        let done = |uid: &str| self.state.jobs.get(uid).map_or(0, |job| job.done);
        let fails_everywhere = |uid: &str| self.scheduler.fails_everywhere(uid, done(uid));
        match self.machine.failures.verdict(fails_everywhere, |uid| done(uid) > 0) {
            Verdict::Healthy => {}
            Verdict::Undecided => {
                let pause = Duration::from_secs_f64(self.heartbeat_interval_s * UNDECIDED_PAUSE);
                self.machine.cordoned_until = self.now + pause;
            }
            Verdict::Faulty => {
                tracing::info!(machine = %self.name, failures = ?self.machine.failures, "machine_quarantined");
                self.machine.cordoned_until = self.now + Duration::from_secs_f64(self.lease_s);
                self.machine.failures.served();
            }
        }
    }
}

fn key_of(seen: &ObservedTask) -> (String, u32, u64) {
    (seen.task.job.clone(), seen.task.index, seen.attempt)
}

impl Controller {
    /// Works out what the machine's newest heartbeat says of the tasks recorded for it.
    pub(super) fn reconcile(&mut self, name: &str) {
        let tasks = self.machine_tasks(name);
        let Some(machine) = self.agents.machines.get_mut(name) else { return };
        let workers = &self.config.settings.workers;
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
            freed: false,
            failed: false,
        };
        reconciliation.run();
        let freed = reconciliation.freed;
        self.scheduler.request_round_if(freed);
    }
}
