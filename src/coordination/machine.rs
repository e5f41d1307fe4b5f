//! The state of one machine in this controller's shard: what its agent last reported, which
//! commands it was sent, and what proves that its tasks have ended.
//!
//! The desired state is the placement of tasks in the store. The module `commands` derives the
//! commands that lead from the last report to that state. Two things have to be proved here: a
//! task is *absent* (its `run` command has not started it and never will), or a machine is
//! *empty* (no task runs on it). `docs/design.md` has both arguments.
//!
//! - `commands`: the commands to the agent, and which of them are pushed
//! - `outstanding`: which messages may still start tasks here
//! - `token_raises`: when the fencing token is raised, and which one the agent must have seen
//! - `proof_waits`: how long the proofs that attempts have ended are waited for
//! - `liveness`: what reports and answers prove about the agent and its lease

#![warn(missing_docs)]

mod commands;
mod liveness;
mod outstanding;
mod proof_waits;
mod token_raises;

use super::fault_attribution::MachineFailures;
use super::fencing_token::FencingToken;
use crate::effects::{CallId, Instant};
use crate::protocol::worker::{Cause, Heartbeat, TaskId, TaskState};
use crate::state::Images;
use commands::PushedCommand;
use outstanding::OutstandingStarts;
pub use proof_waits::{AwaitedProof, ProofWaits, WaitTotals};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
pub use token_raises::TokenRaise;

/// Identifies one attempt of a task: the job, the task's index, and the attempt's number.
pub type AttemptKey = (String, u32, u64);

/// One attempt as the agent last reported it.
#[derive(Debug, Clone, PartialEq)]
pub struct ObservedTask {
    /// The task.
    pub task: TaskId,
    /// The number of the attempt.
    pub attempt: u64,
    /// The state of the attempt on the machine.
    pub state: TaskState,
    /// Why it exited, if it did and the agent gave a cause.
    pub cause: Option<Cause>,
}

impl ObservedTask {
    /// The identifier of this attempt.
    fn key(&self) -> AttemptKey {
        (self.task.job.clone(), self.task.index, self.attempt)
    }

    /// Whether it is this attempt.
    fn is(&self, job: &str, index: u32, attempt: u64) -> bool {
        self.attempt == attempt && self.task.index == index && self.task.job == job
    }

    /// Whether it has released its resources. A gang's task that stopped waiting for its gang is
    /// started again, so its resources stay reserved.
    fn has_ended(&self) -> bool {
        self.state == TaskState::Exited && self.cause != Some(Cause::GangIncomplete)
    }
}

/// What this controller knows about a machine under one grant of its machine group.
///
/// Invariants:
/// - Reports are applied in the order of (`agent_epoch`, `heartbeat_seq`); older ones are
///   ignored.
/// - The fencing token only rises, and it rises whenever a push gets no answer. Therefore, while
///   the agent reports the required token and no push is in flight, every push either was
///   answered or can no longer be carried out.
/// - An answered push may arrive once more. The agent is told to forget an attempt only under a
///   token that is higher than that of every push that starts it.
/// - Within one incarnation of the agent, the reported token never falls.
#[derive(Debug)]
pub struct Machine {
    /// The version of the machine group's record from which this state was built.
    pub grant_version: u64,
    /// The leader's term of the grant, the highest part of the fencing token.
    pub term: u64,
    /// The epoch of the grant within that term, the middle part of the fencing token.
    pub epoch: u64,
    /// The lowest part of the fencing token, which the owner raises by itself.
    counter: u64,
    /// The lowest counter that the agent must have seen. `None` once the counter could not be
    /// raised to void a push.
    required_counter: Option<u64>,
    /// Whether the counter has reached the end of its range.
    counter_exhausted: bool,
    /// When this controller began to own the machine under this grant.
    pub owned_since: Instant,
    /// Agent epoch and heartbeat sequence number of the newest report.
    pub newest_report: (u64, u64),
    /// The highest fencing token that the agent has seen, according to the newest report.
    pub fencing_token: u64,
    /// The time in seconds that the newest report gives until the machine is preempted, if a
    /// preemption is announced.
    pub preemption_notice_s: Option<f64>,
    /// The address at which the agent accepts commands, according to its reports.
    pub addr: String,
    /// All attempts in the newest report.
    pub tasks: Vec<ObservedTask>,
    /// Those of `tasks` that have released their resources.
    ended: BTreeSet<AttemptKey>,
    /// When the last report arrived in a call that the agent itself made.
    pub heard_at: Option<Instant>,
    /// When the last answer that may have renewed the agent's lease was sent.
    pub answered_at: Option<Instant>,
    /// The fencing token of the newest answers.
    answered_token: u64,
    /// When the last answer before the first one with `answered_token` was sent.
    answered_before_token: Option<Instant>,
    /// The number of consecutive answers that did not reach the agent, as its reports show.
    missed_answers: u32,
    /// The number of consecutive reports that came late, up to the newest one.
    late_reports: u32,
    /// When a report last showed that an answer had reached the agent.
    pub answer_confirmed_at: Option<Instant>,
    /// Whether the newest report is proved to be sent by the agent's present incarnation. Only
    /// then does it prove an exit or a preemption notice.
    pub report_proven: bool,
    /// The fencing token in the newest report that was proved to be the agent's own (see `report_proven`).
    proven_token: u64,
    /// The pushed message that has not been answered yet.
    pub push_in_flight: Option<CallId>,
    /// When the last message was pushed. Whether or not it was answered, tasks that it started
    /// may run for a whole lease from then on, because it begins the lease of a new incarnation.
    pushed_at: Option<Instant>,
    /// The commands pushed to the present incarnation. They are not pushed again.
    pushed: BTreeSet<PushedCommand>,
    /// The messages that may still start tasks.
    outstanding: OutstandingStarts,
    /// The failures of tasks on this machine.
    pub failures: MachineFailures,
    /// The machine is cordoned until this time: no task is placed on it.
    pub cordoned_until: Instant,
    /// The images that the machine is known to hold.
    pub images: Images,
    /// The images that the machine is fetching, and since when this is known.
    pub fetches: BTreeMap<String, Instant>,
    /// Whether the machine is being returned to the cloud.
    pub releasing: bool,
    /// Whether any controller has found that the cloud no longer lists the machine.
    pub unlisted: bool,
    /// When each attempt was first seen to run.
    pub running_since: BTreeMap<AttemptKey, Instant>,
    /// Attempts that are stopped to make room for higher priorities, or because the cloud will
    /// take the machine away, with their grace periods in seconds.
    pub preempted: BTreeMap<AttemptKey, f64>,
    /// Attempts that are proved to have ended. They are never started again, although their
    /// placements stay in the store until their exits have been written.
    pub proven_ended: BTreeSet<AttemptKey>,
    /// Whether a report has shown the fencing token in force, since the grant or since the agent
    /// was last found to be restarted.
    pub token_confirmed: bool,
    /// The attempts whose proofs to have ended are awaited.
    pub proof_waits: ProofWaits,
    /// How often the token was raised since the last summary, by reason.
    raises: BTreeMap<TokenRaise, u64>,
}

impl Machine {
    /// The state of a machine under a new grant, before any report.
    pub fn new(grant: u64, term: u64, epoch: u64, now: Instant) -> Machine {
        Machine {
            grant_version: grant,
            term,
            epoch,
            counter: 0,
            required_counter: Some(0),
            counter_exhausted: false,
            owned_since: now,
            newest_report: (0, 0),
            fencing_token: 0,
            preemption_notice_s: None,
            addr: String::new(),
            tasks: Vec::new(),
            ended: BTreeSet::new(),
            heard_at: None,
            answered_at: None,
            answered_token: 0,
            answered_before_token: None,
            missed_answers: 0,
            late_reports: 0,
            answer_confirmed_at: None,
            report_proven: false,
            proven_token: 0,
            push_in_flight: None,
            pushed_at: None,
            pushed: BTreeSet::new(),
            outstanding: OutstandingStarts::default(),
            failures: MachineFailures::default(),
            cordoned_until: Duration::ZERO,
            images: Images::default(),
            fetches: BTreeMap::new(),
            releasing: false,
            unlisted: false,
            running_since: BTreeMap::new(),
            preempted: BTreeMap::new(),
            proven_ended: BTreeSet::new(),
            token_confirmed: false,
            proof_waits: ProofWaits::default(),
            raises: BTreeMap::new(),
        }
    }

    /// Whether this state belongs to the grant of this term and epoch.
    pub fn is_under(&self, term: u64, epoch: u64) -> bool {
        (self.term, self.epoch) == (term, epoch)
    }

    /// Whether the agent accepts commands from no other controller, and no push of this one lacks
    /// an answer and could still be carried out. Answered pushes and answers to heartbeats may
    /// still arrive: see [`is_absent`](Self::is_absent) and
    /// [`has_finally_exited`](Self::has_finally_exited).
    pub fn confirmed(&self) -> bool {
        self.has_shown_required_token() && self.push_in_flight.is_none()
    }

    /// Whether the attempt is not on the machine, and no message that was sent can still start it
    /// there.
    pub fn is_absent(&self, key: &AttemptKey) -> bool {
        let (job, index, attempt) = key;
        self.confirmed() && !self.outstanding.may_start(key) && self.find(job, *index, *attempt).is_none()
    }

    /// Whether the attempt, which the newest report shows as exited, can no longer run here. A
    /// gang's task that stopped waiting may have been commanded to run again by an answer that
    /// the agent had not received when it sent the report.
    pub fn has_finally_exited(&self, observed: &ObservedTask) -> bool {
        let may_restart =
            observed.cause == Some(Cause::GangIncomplete) && self.outstanding.answer_may_start(&observed.key());
        self.report_proven && !may_restart
    }

    /// Applies a report if it is newer than all reports so far. Returns whether it was applied.
    pub fn apply_report(&mut self, report: &Heartbeat) -> bool {
        let counters = (report.agent_epoch, report.heartbeat_seq);
        if counters <= self.newest_report {
            return false;
        }
        if report.agent_epoch != self.newest_report.0 {
            self.pushed.clear();
            if self.newest_report.0 > 0 {
                self.outstanding.settle_pushes();
            }
        }
        self.newest_report = counters;
        self.fencing_token = report.fencing_token;
        self.preemption_notice_s = report.preemption_notice_s;
        if self.addr != report.addr {
            self.addr.clone_from(&report.addr);
        }
        self.tasks = observed_tasks(report);
        self.ended = self.tasks.iter().filter(|t| t.has_ended()).map(ObservedTask::key).collect();
        true
    }

    /// Applies the report of a restarted agent, which came as the answer to this controller's
    /// call. Raises the token, so that nothing that was pushed to the earlier incarnation can be
    /// carried out any more.
    pub fn restart_incarnation(&mut self, report: &Heartbeat) {
        self.void_pushes(TokenRaise::AgentRestarted);
        self.newest_report = (0, 0);
        self.apply_report(report);
        self.set_report_proven(true);
        self.token_confirmed = false;
        self.running_since.clear();
        self.fetches.clear();
    }

    /// The attempts that no longer need resources here, even if the store still has them.
    pub fn ended_attempts(&self) -> impl Iterator<Item = &AttemptKey> {
        self.ended.union(&self.proven_ended)
    }

    /// Whether the attempt no longer needs resources here, even if the store still has it.
    pub fn has_ended(&self, key: &AttemptKey) -> bool {
        self.ended.contains(key) || self.proven_ended.contains(key)
    }

    /// Raises the counter until the token is at least as high as the one that the agent has
    /// seen, if that is possible within this grant. Returns whether it is.
    pub fn raise_token_above_agent(&mut self) -> bool {
        // A higher token of this grant can only come from a counter that this controller raised
        // itself. A token of a later grant must not be exceeded.
        let highest_of_grant = FencingToken::new(self.term, self.epoch, u64::MAX).0;
        while self.token() < self.fencing_token {
            let before = self.token();
            self.counter += 1;
            let exhausted = self.token() == before;
            if exhausted || highest_of_grant < self.fencing_token {
                return false;
            }
        }
        true
    }

    /// Whether a gang's task is on this machine and its gang has not started yet: the task
    /// fetches its image, waits for the others, or stopped waiting and is started again.
    pub fn is_waiting_for_gang(&self, job: &str, index: u32, attempt: u64) -> bool {
        self.confirmed()
            && self.find(job, index, attempt).is_some_and(|t| {
                matches!(t.state, TaskState::Fetching | TaskState::WaitingForGang)
                    || t.cause == Some(Cause::GangIncomplete)
            })
    }

    /// The attempt as the newest report lists it.
    pub fn find(&self, job: &str, index: u32, attempt: u64) -> Option<&ObservedTask> {
        self.tasks.iter().find(|t| t.is(job, index, attempt))
    }
}

/// The attempts in a report. Tasks with malformed names are left out.
fn observed_tasks(report: &Heartbeat) -> Vec<ObservedTask> {
    let tasks = report.tasks.iter().filter_map(|t| {
        let task = TaskId::parse(&t.task)?;
        Some(ObservedTask { task, attempt: t.attempt, state: t.status, cause: t.cause })
    });
    tasks.collect()
}

#[cfg(test)]
mod tests;
