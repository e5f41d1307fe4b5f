//! The commands to a machine's agent that lead from its last report to the desired state, and
//! the choice of those that are pushed instead of being sent with the next answer to a report.

#![warn(missing_docs)]

use super::{AttemptKey, Machine, ObservedTask, TokenRaise};
use crate::effects::{CallId, Instant};
use crate::protocol::worker::{Command, TaskId};
use crate::reconciliation::difference::{ObservedState, RecordedState, Remedy, compare};
use crate::state::PlacedTasks;

/// The largest number of commands in one message. It keeps the message below the limit on the
/// size of a request's body.
const MAX_COMMANDS_PER_MESSAGE: usize = 400;

/// The kinds of commands that are pushed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum PushedKind {
    Start,
    Kill,
}

/// Identifies a command that was pushed to the present incarnation of the agent.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PushedCommand {
    attempt: AttemptKey,
    kind: PushedKind,
}

/// The attempt of a task that a command names. `None` if the name of the task is malformed.
pub(super) fn named_attempt(task: &str, attempt: u64) -> Option<AttemptKey> {
    let id = TaskId::parse(task)?;
    Some((id.job, id.index, attempt))
}

impl PushedCommand {
    /// Identifies a command. Returns `None` for commands that are never pushed and for malformed
    /// task names.
    fn of(command: &Command) -> Option<PushedCommand> {
        let (task, attempt, kind) = match command {
            Command::Run { task, attempt } => (task, *attempt, PushedKind::Start),
            Command::Kill { task, attempt, .. } => (task, *attempt, PushedKind::Kill),
            Command::Forget { .. } => return None,
        };
        Some(PushedCommand { attempt: named_attempt(task, attempt)?, kind })
    }
}

impl Machine {
    /// The commands that lead from the last report to the desired state. `wanted` has the
    /// attempts that should run here. `kept` has all attempts placed here whose exits are not in
    /// the store yet, so that the agent must not forget them.
    pub fn commands(&self, wanted: &PlacedTasks, kept: &PlacedTasks) -> Vec<Command> {
        let confirmed = self.confirmed();
        let mut commands = Vec::new();
        for observed in &self.tasks {
            let key = (observed.task.job.clone(), observed.task.index);
            let recorded = RecordedState::of(wanted, kept, &key, observed.attempt);
            // If a gang's task stopped waiting and is still wanted, its gang is being started.
            let difference = compare(recorded, ObservedState::of(observed.state, observed.cause), true);
            self.add_commands(&mut commands, observed, difference.remedy(confirmed));
        }
        for ((job, index), attempt) in wanted {
            if self.find(job, *index, *attempt).is_none() {
                commands.push(Command::Run { task: format!("{job}/{index}"), attempt: *attempt });
            }
        }
        commands.truncate(MAX_COMMANDS_PER_MESSAGE);
        commands
    }

    /// Adds the commands that make the agent carry out the remedy for a reported attempt.
    fn add_commands(&self, commands: &mut Vec<Command>, observed: &ObservedTask, remedy: Remedy) {
        let (task, attempt) = (observed.task.to_string(), observed.attempt);
        match remedy {
            Remedy::Kill => {
                let grace_period_s = self.preempted.get(&observed.key()).copied().unwrap_or(0.0);
                commands.push(Command::Kill { task, attempt, grace_period_s });
            }
            Remedy::Forget => commands.push(Command::Forget { task, attempt }),
            Remedy::Restart => {
                // The same attempt waits for its gang again; its image has been fetched by now.
                commands.push(Command::Forget { task: task.clone(), attempt });
                commands.push(Command::Run { task, attempt });
            }
            Remedy::Nothing | Remedy::Run | Remedy::StoreResult | Remedy::StoreGone => {}
        }
    }

    /// Records that a message with these commands is pushed under the token in force.
    pub fn record_push(&mut self, id: CallId, commands: &[Command], now: Instant) {
        self.outstanding.record_push(commands, self.token());
        self.push_in_flight = Some(id);
        self.pushed_at = Some(now);
    }

    /// Records that a push got no answer. It may be carried out at any later time, so the token
    /// is raised: once the agent has seen the new token, it refuses that push.
    pub fn record_lost_push(&mut self) {
        self.void_pushes(TokenRaise::PushLost);
    }

    /// Raises the token, so that nothing pushed so far is carried out once the agent has seen it.
    pub(super) fn void_pushes(&mut self, reason: TokenRaise) {
        self.push_in_flight = None;
        self.raise_required_token(reason);
        self.pushed.clear();
    }

    /// Forgets the pushed commands about attempts that are neither in the newest report nor
    /// recorded here, as `is_recorded` tells. Such commands are not derived again.
    pub fn prune_pushed(&mut self, is_recorded: impl Fn(&AttemptKey) -> bool) {
        let tasks = &self.tasks;
        let is_observed = |(job, index, attempt): &AttemptKey| tasks.iter().any(|task| task.is(job, *index, *attempt));
        self.pushed.retain(|pushed| is_recorded(&pushed.attempt) || is_observed(&pushed.attempt));
    }

    /// Selects the commands to push now: starts and kills that were not pushed before. There are
    /// none while a push is in flight or the agent has not confirmed the current token.
    pub fn select_pushes(&mut self, commands: Vec<Command>) -> Vec<Command> {
        if self.push_in_flight.is_some() || !self.confirmed() {
            return Vec::new();
        }
        let mut is_new =
            |command: &Command| PushedCommand::of(command).is_some_and(|pushed| self.pushed.insert(pushed));
        commands.into_iter().filter(|command| is_new(command)).collect()
    }
}
