//! The state of one machine in this controller's shard: what its agent last reported, what
//! it was told, and what proves that its tasks have ended.
//!
//! The desired state is the placement of tasks in the store; `commands` derives the commands
//! that lead from the last report to it. Two proofs matter here: *absent* (a task that was
//! ordered never arrived, and never will) and *empty* (the whole machine is). Both are argued
//! in `docs/design.md`.
//!
//! - `commands`: commands to the agent, and which of them are pushed
//! - `liveness`: what reports and answers prove about the agent and its lease

mod commands;
mod liveness;

use super::fault_attribution::Failures;
use super::fencing_token::FencingToken;
use crate::effects::{CallId, Instant};
use crate::protocol::worker::{Cause, Heartbeat, TaskId, TaskState};
use crate::state::Images;
use commands::PushedCommand;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// One attempt of a task: job, index of the task, and number of the attempt.
pub type AttemptKey = (String, u32, u64);

/// One attempt as the agent last reported it.
#[derive(Debug, Clone, PartialEq)]
pub struct ObservedTask {
    pub task: TaskId,
    pub attempt: u64,
    pub state: TaskState,
    /// Why it exited.
    pub cause: Option<Cause>,
}

impl ObservedTask {
    fn key(&self) -> AttemptKey {
        (self.task.job.clone(), self.task.index, self.attempt)
    }

    /// Whether it needs no room any more. A gang's task that gave up waiting for its gang is
    /// started again, and keeps its room.
    fn has_ended(&self) -> bool {
        self.state == TaskState::Exited && self.cause != Some(Cause::GangIncomplete)
    }
}

/// A machine under one grant, as this controller knows it.
///
/// Invariants:
/// - Reports are taken in the order of (`agent_epoch`, `heartbeat_seq`); older ones change
///   nothing.
/// - The fencing token only rises, and it rises when a push gets no answer. So while it is
///   confirmed, no earlier command can still be carried out.
/// - Within one incarnation of the agent the reported token never falls.
#[derive(Debug)]
pub struct Machine {
    /// Version of the machine group's record under which this state was built.
    pub grant: u64,
    /// The leader's term and the epoch of the grant: the upper parts of the fencing token.
    pub term: u64,
    pub epoch: u64,
    /// The lowest part of the fencing token, which the owner raises by itself.
    counter: u64,
    pub owned_since: Instant,
    /// The newest report: agent epoch and heartbeat sequence number.
    pub at: (u64, u64),
    /// The highest fencing token that the agent has seen, by the newest report.
    pub fencing_token: u64,
    pub preemption_notice_s: Option<f64>,
    /// Where the agent takes commands, by its own report.
    pub addr: String,
    /// All attempts in the newest report.
    pub tasks: Vec<ObservedTask>,
    /// Those of `tasks` that need no room any more.
    ended: BTreeSet<AttemptKey>,
    /// When the last report came that was sent by the agent itself, by its own call.
    pub heard_at: Option<Instant>,
    /// When the last answer was sent that may have renewed the agent's lease.
    pub answered_at: Option<Instant>,
    /// The fencing token of the newest answers.
    answered_token: u64,
    /// The last answer before the first one with `answered_token`.
    answered_before: Option<Instant>,
    /// The number of answers in a row that did not reach the agent, as its reports show.
    missed_answers: u32,
    /// The number of latest reports that each came late.
    late_reports: u32,
    /// When a report last showed that an answer had reached the agent.
    pub reached_at: Option<Instant>,
    /// The newest report is proved to be the agent's own and of its present incarnation.
    /// Only then does it prove an exit or a preemption notice.
    pub sure: bool,
    /// The fencing token in the newest report that was `sure`.
    lowest_token: u64,
    /// A pushed message that is not answered yet.
    pub push: Option<CallId>,
    /// When the last message was pushed. What it started may run for a whole lease from then
    /// on, answered or not, because a new incarnation's lease begins with it.
    pushed_at: Option<Instant>,
    /// Commands pushed to this incarnation, which are not pushed again.
    pushed: BTreeSet<PushedCommand>,
    /// Tasks that failed here.
    pub failures: Failures,
    /// The machine is cordoned until then: nothing is placed on it.
    pub cordoned_until: Instant,
    /// Images that it is known to hold.
    pub images: Images,
    /// Images that it is fetching, and since when that is known.
    pub fetches: BTreeMap<String, Instant>,
    /// It is being returned to the cloud.
    pub releasing: bool,
    /// Some controller saw that the cloud does not list it any more.
    pub unlisted: bool,
    /// When each attempt was first seen to run.
    pub since: BTreeMap<AttemptKey, Instant>,
    /// Attempts that are stopped to make room for higher priorities, or because the machine
    /// will be taken away, with their grace periods in seconds.
    pub preempted: BTreeMap<AttemptKey, f64>,
    /// Attempts that are proved to have ended. They are never started again, although their
    /// placements may stay in the store until the write of the exit gets through.
    pub gone: BTreeSet<AttemptKey>,
    /// A report has shown our current grant's token.
    pub ready: bool,
}

impl Machine {
    /// The state under a new grant, before any report.
    pub fn new(grant: u64, term: u64, epoch: u64, now: Instant) -> Machine {
        Machine {
            grant,
            term,
            epoch,
            counter: 0,
            owned_since: now,
            at: (0, 0),
            fencing_token: 0,
            preemption_notice_s: None,
            addr: String::new(),
            tasks: Vec::new(),
            ended: BTreeSet::new(),
            heard_at: None,
            answered_at: None,
            answered_token: 0,
            answered_before: None,
            missed_answers: 0,
            late_reports: 0,
            reached_at: None,
            sure: false,
            lowest_token: 0,
            push: None,
            pushed_at: None,
            pushed: BTreeSet::new(),
            failures: Failures::default(),
            cordoned_until: Duration::ZERO,
            images: Images::default(),
            fetches: BTreeMap::new(),
            releasing: false,
            unlisted: false,
            since: BTreeMap::new(),
            preempted: BTreeMap::new(),
            gone: BTreeSet::new(),
            ready: false,
        }
    }

    /// Whether this state was built under the grant of that term and epoch.
    pub fn is_under(&self, term: u64, epoch: u64) -> bool {
        (self.term, self.epoch) == (term, epoch)
    }

    /// The fencing token in force for this machine.
    pub fn token(&self) -> u64 {
        FencingToken::new(self.term, self.epoch, self.counter).0
    }

    /// Whether the agent obeys nobody else, and no message of ours that was given up: then
    /// what it reports is all there is.
    pub fn confirmed(&self) -> bool {
        self.fencing_token == self.token() && self.push.is_none()
    }

    /// Applies a report unless a newer one is known. Returns whether it was applied.
    pub fn take(&mut self, report: &Heartbeat) -> bool {
        let at = (report.agent_epoch, report.heartbeat_seq);
        if at <= self.at {
            return false;
        }
        if report.agent_epoch != self.at.0 {
            self.pushed.clear();
        }
        self.at = at;
        self.fencing_token = report.fencing_token;
        self.preemption_notice_s = report.preemption_notice_s;
        if self.addr != report.addr {
            self.addr.clone_from(&report.addr);
        }
        self.tasks = observed_tasks(report);
        self.ended = self.tasks.iter().filter(|t| t.has_ended()).map(ObservedTask::key).collect();
        true
    }

    /// The agent was restarted, as its answer to our call shows: nothing that was pushed to
    /// its earlier incarnation may be carried out any more.
    pub fn restart_incarnation(&mut self, report: &Heartbeat) {
        self.push_lost();
        self.at = (0, 0);
        self.take(report);
        self.set_report_proven(true);
        self.ready = false;
        self.since.clear();
        self.fetches.clear();
    }

    /// Attempts that need no room here any more, whatever the store still says.
    pub fn over(&self) -> impl Iterator<Item = &AttemptKey> {
        self.ended.union(&self.gone)
    }

    /// Whether the attempt needs no room here any more, whatever the store still says.
    pub fn is_over(&self, key: &AttemptKey) -> bool {
        self.ended.contains(key) || self.gone.contains(key)
    }

    /// The agent has seen a token above ours: raises the counter past it where that is
    /// possible. Returns whether ours is now at least as high.
    pub fn raise_token_above_agent(&mut self) -> bool {
        // Within our grant only a counter that we raised ourselves can be ahead.
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

    /// Whether the gang's task is here and its gang has not started: it fetches its image,
    /// waits for the others, or gave up waiting and is started again.
    pub fn gathers(&self, job: &str, index: u32, attempt: u64) -> bool {
        self.confirmed()
            && self.find(job, index, attempt).is_some_and(|t| {
                matches!(t.state, TaskState::Fetching | TaskState::WaitingForGang)
                    || t.cause == Some(Cause::GangIncomplete)
            })
    }

    /// The attempt in the newest report.
    pub fn find(&self, job: &str, index: u32, attempt: u64) -> Option<&ObservedTask> {
        self.tasks.iter().find(|t| t.attempt == attempt && t.task.index == index && t.task.job == job)
    }
}

/// The attempts in a report whose names are well-formed.
fn observed_tasks(report: &Heartbeat) -> Vec<ObservedTask> {
    let tasks = report.tasks.iter().filter_map(|t| {
        let task = TaskId::parse(&t.task)?;
        Some(ObservedTask { task, attempt: t.attempt, state: t.status, cause: t.cause })
    });
    tasks.collect()
}

#[cfg(test)]
mod tests;
