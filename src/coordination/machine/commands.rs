//! Commands to a machine's agent: what leads from its last report to the desired state, and
//! which of these commands are pushed instead of waiting for the next report.

use super::{AttemptKey, Machine, ObservedTask};
use crate::effects::{CallId, Instant};
use crate::protocol::worker::{Command, TaskId};
use crate::reconciliation::difference::{ObservedState, RecordedState, Remedy, compare};
use crate::state::PlacedTasks;

/// The most commands in one message, which keeps it below the limit of the body's size.
const COMMANDS_LIMIT: usize = 400;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum PushedKind {
    Start,
    Kill,
}

/// A command that was pushed to the present incarnation of the agent.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PushedCommand {
    attempt: AttemptKey,
    kind: PushedKind,
}

impl PushedCommand {
    /// `None` for commands that are never pushed, and for malformed names of tasks.
    fn of(command: &Command) -> Option<PushedCommand> {
        let (task, attempt, kind) = match command {
            Command::Run { task, attempt } => (task, *attempt, PushedKind::Start),
            Command::Kill { task, attempt, .. } => (task, *attempt, PushedKind::Kill),
            Command::Forget { .. } => return None,
        };
        let id = TaskId::parse(task)?;
        Some(PushedCommand { attempt: (id.job, id.index, attempt), kind })
    }
}

impl Machine {
    /// The commands that lead from the last report to the desired state. `wanted` are the
    /// attempts that shall run here; `kept` are those whose exit is not in the store yet,
    /// and which the agent must therefore not forget.
    pub fn commands(&self, wanted: &PlacedTasks, kept: &PlacedTasks) -> Vec<Command> {
        let confirmed = self.confirmed();
        let mut commands = Vec::new();
        for observed in &self.tasks {
            let key = (observed.task.job.clone(), observed.task.index);
            let stored = RecordedState::of(wanted, kept, &key, observed.attempt);
            // A gang's task that gave up waiting and is still wanted has a gang that comes.
            let difference = compare(stored, ObservedState::of(observed.state, observed.cause), true);
            self.add_commands(&mut commands, observed, difference.act(confirmed));
        }
        for ((job, index), attempt) in wanted {
            if self.find(job, *index, *attempt).is_none() {
                commands.push(Command::Run { task: format!("{job}/{index}"), attempt: *attempt });
            }
        }
        commands.truncate(COMMANDS_LIMIT);
        commands
    }

    /// Adds the commands by which the agent carries out `act` on a reported attempt.
    fn add_commands(&self, commands: &mut Vec<Command>, observed: &ObservedTask, act: Remedy) {
        let (task, attempt) = (observed.task.to_string(), observed.attempt);
        match act {
            Remedy::Kill => {
                let grace_period_s = self.preempted.get(&observed.key()).copied().unwrap_or(0.0);
                commands.push(Command::Kill { task, attempt, grace_period_s });
            }
            Remedy::Forget => commands.push(Command::Forget { task, attempt }),
            Remedy::Restart => {
                // The same attempt waits for its gang again, with its image there by now.
                commands.push(Command::Forget { task: task.clone(), attempt });
                commands.push(Command::Run { task, attempt });
            }
            Remedy::Nothing | Remedy::Run | Remedy::StoreResult | Remedy::StoreGone => {}
        }
    }

    /// A message is pushed.
    pub fn pushes(&mut self, id: CallId, now: Instant) {
        self.push = Some(id);
        self.pushed_at = Some(now);
    }

    /// A push got no answer. It may be carried out at any later time, so the token is raised:
    /// once the agent has the new one, it refuses that push.
    pub fn push_lost(&mut self) {
        self.push = None;
        self.counter += 1;
        self.pushed.clear();
    }

    /// Of `commands`, those that are pushed now: starts and kills that were not pushed before.
    pub fn to_push(&mut self, commands: Vec<Command>) -> Vec<Command> {
        if self.push.is_some() || !self.confirmed() {
            return Vec::new();
        }
        let mut is_new =
            |command: &Command| PushedCommand::of(command).is_some_and(|pushed| self.pushed.insert(pushed));
        commands.into_iter().filter(|command| is_new(command)).collect()
    }
}
