//! Commands for agents: what shall run on a machine, and what is sent to it at once.

use crate::config::Settings;
use crate::controller::scheduler::is_partly_placed;
use crate::controller::{Controller, Purpose};
use crate::coordination::machine::Machine;
use crate::effects::{CallId, NoAnswer, Reply, Target};
use crate::protocol::encode;
use crate::protocol::worker::{Cause, Command, CommandRequest, Heartbeat, TaskId, TaskState};
use crate::state::{ClusterState, Job, PlacedTasks};
use std::collections::BTreeSet;

/// Commands are sent only to machines that were heard within so many heartbeat intervals.
const PUSH_SILENCE: f64 = 2.0;
const COMMANDS_PATH: &str = "/commands";

/// The tasks of one machine, as recorded.
#[derive(Debug)]
pub(super) struct MachineTasks {
    /// Those that shall run there.
    pub(super) wanted: PlacedTasks,
    /// All whose exit is not stored: the agent must not forget them.
    pub(super) kept: PlacedTasks,
}

impl MachineTasks {
    fn of(name: &str, machine: Option<&Machine>, state: &ClusterState, may_run: impl Fn(&Job) -> bool) -> MachineTasks {
        let placed = state.placed.get(name).cloned().unwrap_or_default();
        let mut wanted = placed.clone();
        wanted.retain(|(uid, index), attempt| {
            let key = (uid.clone(), *index, *attempt);
            let is_stopped = |machine: &Machine| machine.preempted.contains_key(&key) || machine.gone.contains(&key);
            state.jobs.get(uid).is_some_and(&may_run) && !machine.is_some_and(is_stopped)
        });
        let mut kept = placed;
        if let Some(machine) = machine {
            keep_unstored_results(&mut kept, machine, state);
        }
        MachineTasks { wanted, kept }
    }
}

/// A result that came while nobody listened counts wherever it is shown, and the agent
/// keeps it until it is stored.
fn keep_unstored_results(kept: &mut PlacedTasks, machine: &Machine, state: &ClusterState) {
    for seen in &machine.tasks {
        if seen.cause != Some(Cause::Done) || seen.state != TaskState::Exited {
            continue;
        }
        let (uid, index) = (&seen.task.job, seen.task.index);
        let lacks_result =
            |job: &Job| !job.cancelled() && !job.is_done(index, state.checkpoint_size) && index < job.spec.task_count;
        if state.jobs.get(uid).is_some_and(lacks_result) {
            kept.entry((uid.clone(), index)).or_insert(seen.attempt);
        }
    }
}

/// Of the commands for a machine those that may go now: nothing of a wide gang is started
/// before the last of its places is stored.
pub(super) fn without_partly_placed(
    mut commands: Vec<Command>,
    state: &ClusterState,
    settings: &Settings,
) -> Vec<Command> {
    let waits = |uid: &str| state.jobs.get(uid).is_some_and(|job| is_partly_placed(job, settings));
    commands.retain(|command| match command {
        Command::Run { task, .. } => TaskId::parse(task).is_none_or(|id| !waits(&id.job)),
        Command::Kill { .. } | Command::Forget { .. } => true,
    });
    commands
}

impl Controller {
    /// The tasks of a machine, as recorded.
    pub(super) fn machine_tasks(&self, name: &str) -> MachineTasks {
        let may_run =
            |job: &Job| !job.cancelled() && !self.scheduler.gang_placement_expired(job, &self.config, self.now);
        MachineTasks::of(name, self.agents.machine(name), &self.state, may_run)
    }

    /// Sends starts and kills straight to the agent, where that is safe.
    pub(in crate::controller) fn push_commands(&mut self, name: &str) {
        if !self.entitled() || !self.fresh() {
            return;
        }
        if self.state.machines.get(name).is_none_or(|machine| self.state.revision < machine.rec.granted) {
            return;
        }
        let limit = self.heartbeat_intervals(PUSH_SILENCE);
        let tasks = self.machine_tasks(name);
        let Some(machine) = self.agents.machines.get_mut(name) else { return };
        let Ok(addr) = machine.addr.parse() else { return };
        if machine.heard_at.is_none_or(|at| self.now.saturating_sub(at) > limit) {
            return;
        }
        let commands = machine.commands(&tasks.wanted, &tasks.kept);
        let commands = machine.to_push(without_partly_placed(commands, &self.state, &self.config));
        if commands.is_empty() {
            return;
        }
        let request =
            CommandRequest { fencing_token: machine.token(), agent_epoch: machine.at.0, commands: commands.into() };
        let purpose = Purpose::Push { machine: name.to_string(), grant: machine.epoch };
        let timeout = self.heartbeat_intervals(1.0);
        let id =
            self.call(Target::Worker(addr), "POST", COMMANDS_PATH.into(), Some(encode(&request)), timeout, purpose);
        if let Some(machine) = self.agents.machines.get_mut(name) {
            machine.pushes(id, self.now);
        }
    }

    /// Commands that were sent got an answer, or none.
    pub(in crate::controller) fn push_answer(
        &mut self,
        id: CallId,
        name: &str,
        grant: u64,
        result: Result<Reply, NoAnswer>,
    ) {
        let Some(machine) = self.agents.machines.get_mut(name) else { return };
        if machine.push != Some(id) || machine.epoch != grant {
            return;
        }
        let answer = result.ok().filter(|reply| reply.status == 200 || reply.status == 409);
        let heartbeat = answer.and_then(|reply| crate::protocol::decode::<Heartbeat>(&reply.body).ok());
        let Some(heartbeat) = heartbeat.filter(|heartbeat| heartbeat.machine == name) else {
            tracing::debug!(machine = %name, "commands_unanswered");
            return machine.push_lost();
        };
        machine.push = None;
        if machine.take(&heartbeat) {
            machine.set_report_proven(true);
            self.agents.hearing.proved(name, machine.at, self.now);
        }
        self.reconcile(name);
    }

    /// Tells the machines of ours on which the job has tasks to end them, whoever wrote
    /// that it is cancelled: by their own heartbeats they would run on for a while.
    pub(in crate::controller) fn stop_job(&mut self, uid: &str) {
        let Some(job) = self.state.jobs.get(uid) else { return };
        let places = job.chunks.values().flat_map(|chunk| &chunk.rec.on);
        let own = places.map(|place| &place.machine).filter(|name| self.agents.machine(name).is_some());
        let own: BTreeSet<String> = own.cloned().collect();
        for name in own {
            self.push_commands(&name);
        }
    }
}
