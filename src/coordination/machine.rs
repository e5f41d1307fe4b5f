//! One machine of this controller's block: what it last reported, what it was
//! told, and which orders lead from what is to what is wanted.
//!
//! What is wanted are the places in the store. Two proofs matter here:
//! *absent* (a task that was ordered never arrived, and never will) and
//! *empty* (the whole machine is). Both are argued in `docs/design.md`.

use super::fault_attribution::Failures;
use super::fencing_token::FencingToken;
use crate::effects::{CallId, Instant};
use crate::protocol::worker::{Cause, Command, Heartbeat, TaskId, TaskState};
use crate::reconciliation::difference::{Act, Shown, Stored, case};
use crate::state::{Images, PlacedTasks};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Most orders in one message, which keeps it below the body limit.
const ORDERS_LIMIT: usize = 400;
/// A machine hears nothing once so many answers in a row did not reach it.
const MISSED: u32 = 2;

#[derive(Debug, Clone, PartialEq)]
pub struct Seen {
    pub task: TaskId,
    pub attempt: u64,
    pub state: TaskState,
    pub cause: Option<Cause>,
}

#[derive(Debug)]
pub struct Machine {
    /// Version of the host record under which this state was built.
    pub grant: u64,
    pub term: u64,
    pub epoch: u64,
    counter: u64,
    pub owned_since: Instant,
    /// Newest report: session and sequence.
    pub at: (u64, u64),
    /// The highest token the worker says it has seen.
    pub fencing_token: u64,
    pub preemption_notice_s: Option<f64>,
    /// Where it takes orders, by its own report.
    pub addr: String,
    pub tasks: Vec<Seen>,
    /// Of those, the ones that have exited and take no room any more. A gang's
    /// task that gave up waiting is ordered again, and keeps its room.
    ended: BTreeSet<(String, u32, u64)>,
    /// The last report that came from the worker itself, by its own call.
    pub heard_at: Option<Instant>,
    /// The last answer that may have renewed its lease.
    pub answered_at: Option<Instant>,
    /// The token of the newest answers, and the last answer before it.
    told: u64,
    answered_before: Option<Instant>,
    /// So many answers in a row did not reach it, as its reports show.
    missed: u32,
    /// So many of its last reports came after it had been away.
    absences: u32,
    /// When it last showed that an answer had reached it.
    pub reached_at: Option<Instant>,
    /// The newest report is shown to be the worker's own, of its present life: only
    /// then does it prove an exit or a notice.
    pub sure: bool,
    /// The token that the worker had by the newest such report. In one life it never has
    /// a lower one.
    floor: u64,
    /// A pushed message that is not answered yet.
    pub push: Option<CallId>,
    /// When the last one went. What it started may run for a lease from then on, answered
    /// or not: a session's lease begins with it.
    pushed_at: Option<Instant>,
    /// Starts and kills pushed in this session, not to be pushed again.
    pushed: BTreeSet<(String, u32, u64, bool)>,
    pub failures: Failures,
    pub shut_until: Instant,
    /// Images it is known to hold.
    pub images: Images,
    /// Images it fetches, and since when that is known.
    pub fetches: BTreeMap<String, Instant>,
    pub releasing: bool,
    /// The cloud lists it no more, by somebody's word.
    pub unlisted: bool,
    /// When each task was first seen to run.
    pub since: BTreeMap<(String, u32, u64), Instant>,
    /// Tasks that are stopped to make room for more urgent ones, or because the
    /// machine will be taken away, and the time they get to save.
    pub preempted: BTreeMap<(String, u32, u64), f64>,
    /// Attempts that were proved gone. They are never ordered again, though
    /// their places may stay in the store until the write gets through.
    pub gone: BTreeSet<(String, u32, u64)>,
    /// It has been seen with our token.
    pub ready: bool,
}

impl Machine {
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
            told: 0,
            answered_before: None,
            missed: 0,
            absences: 0,
            reached_at: None,
            sure: false,
            floor: 0,
            push: None,
            pushed_at: None,
            pushed: BTreeSet::new(),
            failures: Failures::default(),
            shut_until: Duration::ZERO,
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

    /// Whether this is the machine's state under the grant of that term and epoch.
    pub fn is_under(&self, term: u64, epoch: u64) -> bool {
        (self.term, self.epoch) == (term, epoch)
    }

    /// The token in force for this machine.
    pub fn token(&self) -> u64 {
        FencingToken::new(self.term, self.epoch, self.counter).0
    }

    /// The worker listens to nobody else, and to no message of ours that was
    /// given up on: what it reports is all there is.
    pub fn confirmed(&self) -> bool {
        self.fencing_token == self.token() && self.push.is_none()
    }

    /// Takes a report in, unless a newer one is known.
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
        self.tasks = report
            .tasks
            .iter()
            .filter_map(|t| {
                Some(Seen { task: TaskId::parse(&t.task)?, attempt: t.attempt, state: t.status, cause: t.cause })
            })
            .collect();
        let over = |s: &&Seen| s.state == TaskState::Exited && s.cause != Some(Cause::GangIncomplete);
        let ended = self.tasks.iter().filter(over);
        self.ended = ended.map(|s| (s.task.job.clone(), s.task.index, s.attempt)).collect();
        true
    }

    /// A report by the worker's own call was taken in; `news` if it was above the newest
    /// known. It keeps one in flight, so no answer to an earlier one reaches it any more:
    /// what it does not show by now it never had, and its lease was not renewed by it.
    ///
    /// A copy from before its end may be above all that is known of a machine that is
    /// back, and show all that this one came with. It never shows our token; so until the
    /// worker has, what it does not show voids nothing, and is a reason to wait
    /// (`waits_out`).
    pub fn note_reply(&mut self, news: bool, now: Instant) {
        self.note_sure(self.confirmed() || news && self.ready);
        if self.told <= self.fencing_token {
            self.missed = 0;
            self.reached_at = Some(now);
        } else if self.sure || news {
            self.missed += 1;
            if self.sure {
                self.answered_at = self.answered_before;
            } else if self.told == self.token() {
                // Or it ended since, unnoticed: it shall get none that its earlier life may show.
                self.counter += 1;
            }
        }
    }

    /// Whether the newest report is surely its own, as an answer to our own call is.
    pub fn note_sure(&mut self, sure: bool) {
        self.sure = sure;
        if sure {
            self.floor = self.fencing_token;
        }
    }

    /// What shows this token is of a life that is over; or it is the token shown here
    /// whose life is.
    pub fn belies(&self, fencing_token: u64) -> bool {
        fencing_token < self.floor
    }

    /// Its report is answered; with what token.
    pub fn answer(&mut self, now: Instant) -> u64 {
        let token = self.token();
        if self.told != token {
            self.told = token;
            self.answered_before = self.answered_at;
        }
        self.answered_at = Some(now);
        token
    }

    /// It was away for longer than between two reports, or its lease `lapsed` though
    /// we answer it. One that was cut off comes at its pace from then on; where it does
    /// not, the token is raised, so that its reports tell whether answers come.
    pub fn note_pace(&mut self, away: bool, lapsed: bool) {
        self.absences = if away { self.absences + 1 } else { 0 };
        if (self.absences > 1 || lapsed) && self.confirmed() {
            self.counter += 1;
        }
    }

    /// Its reports come, and show that answers do not reach it. One lost answer is none.
    pub fn hears_nothing(&self) -> bool {
        self.missed >= MISSED
    }

    /// The machine came back from its end, as its answer to our call shows: nothing
    /// that was pushed to the one before may be carried out there.
    pub fn begin_anew(&mut self, report: &Heartbeat) {
        self.push_lost();
        self.at = (0, 0);
        self.take(report);
        self.note_sure(true);
        self.ready = false;
        self.since.clear();
        self.fetches.clear();
    }

    /// Attempts that take no room here any more, whatever the store still says.
    pub fn over(&self) -> impl Iterator<Item = &(String, u32, u64)> {
        self.ended.union(&self.gone)
    }

    /// The attempt takes no room here any more, whatever the store still says.
    pub fn is_over(&self, key: &(String, u32, u64)) -> bool {
        self.ended.contains(key) || self.gone.contains(key)
    }

    /// A push got no answer. It may be carried out at any later time, so the
    /// token is raised: once the worker has the new one, that push is void.
    pub fn push_lost(&mut self) {
        self.push = None;
        self.counter += 1;
        self.pushed.clear();
    }

    /// The worker has seen a token above ours: raise the counter past it where
    /// that is possible. True if ours is now the higher one.
    pub fn outrank(&mut self) -> bool {
        while self.token() < self.fencing_token {
            let before = self.token();
            self.counter += 1;
            if self.token() == before {
                return false;
            }
            // Only our own raised counter can be ahead within our grant.
            if FencingToken::new(self.term, self.epoch, u64::MAX).0 < self.fencing_token {
                return false;
            }
        }
        true
    }

    /// The gang's task is here and its gang has not started: it fetches, waits
    /// for the others, or gave up waiting and is ordered again.
    pub fn gathers(&self, job: &str, index: u32, attempt: u64) -> bool {
        self.confirmed()
            && self.find(job, index, attempt).is_some_and(|s| {
                matches!(s.state, TaskState::Fetching | TaskState::WaitingForGang)
                    || s.cause == Some(Cause::GangIncomplete)
            })
    }

    pub fn find(&self, job: &str, index: u32, attempt: u64) -> Option<&Seen> {
        self.tasks.iter().find(|s| s.attempt == attempt && s.task.index == index && s.task.job == job)
    }

    /// Orders that lead from the last report to what is wanted. `wanted` are
    /// the tasks that shall run here; `kept` are those whose exit is not in
    /// the store yet, and which the worker must therefore not forget.
    pub fn commands(&self, wanted: &PlacedTasks, kept: &PlacedTasks) -> Vec<Command> {
        let mut commands = Vec::new();
        let confirmed = self.confirmed();
        for s in &self.tasks {
            let key = (s.task.job.clone(), s.task.index);
            let stored = Stored::of(wanted, kept, &key, s.attempt);
            let (task, attempt) = (s.task.to_string(), s.attempt);
            // One that gave up waiting and is still wanted has a gang that comes.
            match case(stored, Shown::of(s.state, s.cause), true).act(confirmed) {
                Act::Kill => {
                    let key = (key.0, key.1, attempt);
                    let grace_period_s = self.preempted.get(&key).copied().unwrap_or(0.0);
                    commands.push(Command::Kill { task, attempt, grace_period_s });
                }
                Act::Forget => commands.push(Command::Forget { task, attempt }),
                Act::Again => {
                    // The same attempt waits on, with its image there by now.
                    commands.push(Command::Forget { task: task.clone(), attempt });
                    commands.push(Command::Run { task, attempt });
                }
                Act::Leave | Act::Run | Act::StoreResult | Act::StoreGone => {}
            }
        }
        for ((job, index), attempt) in wanted {
            if self.find(job, *index, *attempt).is_none() {
                commands.push(Command::Run { task: format!("{job}/{index}"), attempt: *attempt });
            }
        }
        commands.truncate(ORDERS_LIMIT);
        commands
    }

    /// A message is pushed.
    pub fn pushes(&mut self, id: CallId, now: Instant) {
        (self.push, self.pushed_at) = (Some(id), Some(now));
    }

    /// Of `commands`, those worth a push: starts and kills not pushed before.
    pub fn to_push(&mut self, commands: Vec<Command>) -> Vec<Command> {
        if self.push.is_some() || !self.confirmed() {
            return Vec::new();
        }
        let mut out = Vec::new();
        for o in commands {
            let key = match &o {
                Command::Run { task, attempt } => (task, *attempt, true),
                Command::Kill { task, attempt, .. } => (task, *attempt, false),
                Command::Forget { .. } => continue,
            };
            let Some(id) = TaskId::parse(key.0) else { continue };
            if self.pushed.insert((id.job, id.index, key.1, key.2)) {
                out.push(o);
            }
        }
        out
    }

    /// Whether everything on the machine has ended because its lease has.
    /// `lease` and `cancel` carry a margin for drift already. Before the grant
    /// another controller may have answered the worker, at the latest
    /// `cancel - lease` after it last saw the store.
    pub fn lapsed(&self, now: Instant, lease: Duration, cancel: Duration) -> bool {
        let ours = self.answered_at.max(self.pushed_at).map_or(Duration::ZERO, |t| t + lease);
        now > ours.max(self.owned_since + cancel)
    }

    /// It hears nothing, and never did under this grant or since it began anew: then its
    /// lease may be over, and nothing but the clock proves it. Once no earlier owner
    /// answers it any more we do not either, until what we said can't have kept it.
    pub fn waits_out(&self, now: Instant, lease: Duration, cancel: Duration) -> bool {
        let earlier = self.owned_since + cancel.saturating_sub(lease);
        self.hears_nothing() && !self.ready && now > earlier && !self.lapsed(now, lease, cancel)
    }
}

#[cfg(test)]
mod tests;
