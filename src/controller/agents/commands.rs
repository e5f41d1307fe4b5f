//! Commands for agents: which tasks shall run on a machine, and which commands it is sent at once.

use crate::config::Settings;
use crate::controller::scheduler::is_partly_placed;
use crate::controller::{CallPurpose, Controller};
use crate::coordination::machine::{Machine, ObservedTask};
use crate::effects::{CallId, NoAnswer, Reply, Target};
use crate::protocol::encode;
use crate::protocol::heartbeat_size::{TASKS_BYTES, task_bytes};
use crate::protocol::user::Priority;
use crate::protocol::worker::{Cause, Command, CommandRequest, Heartbeat, TaskId, TaskState};
use crate::state::{ClusterState, Job, PlacedTasks};
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Commands are pushed only to machines that sent a heartbeat within this many intervals.
const MAX_PUSH_SILENCE_INTERVALS: f64 = 2.0;
/// An agent that reports a new token at once does so within this time: its reports are at least
/// half a second apart.
const TOKEN_REPORT_S: f64 = 1.0;
/// Path under which agents accept commands.
const COMMANDS_PATH: &str = "/commands";

/// The tasks that are recorded for one machine.
#[derive(Debug)]
pub(super) struct MachineTasks {
    /// Tasks that shall run there.
    pub(super) wanted: PlacedTasks,
    /// Tasks whose exit is not stored, which the agent must not forget.
    pub(super) kept: PlacedTasks,
}

impl MachineTasks {
    /// The tasks of a machine, from the placements in the replica; `may_run` tells which jobs run.
    fn of(name: &str, machine: Option<&Machine>, state: &ClusterState, may_run: impl Fn(&Job) -> bool) -> MachineTasks {
        let placed = state.placed_tasks.get(name).cloned().unwrap_or_default();
        let mut wanted = placed.clone();
        wanted.retain(|(uid, index), attempt| {
            let key = (uid.clone(), *index, *attempt);
            let has_stopped =
                |machine: &Machine| machine.preempted.contains_key(&key) || machine.proven_ended.contains(&key);
            state.jobs.get(uid).is_some_and(&may_run) && !machine.is_some_and(has_stopped)
        });
        let is_overfull =
            || state.machine_loads.get(name).is_some_and(|load| load.total.heartbeat_bytes > TASKS_BYTES as f64);
        if let Some(machine) = machine.filter(|machine| machine.heard_at.is_some() && is_overfull()) {
            withdraw_unreportable(&mut wanted, machine, state);
        }
        let mut kept = placed;
        if let Some(machine) = machine {
            keep_unstored_results(&mut kept, machine, state);
        }
        MachineTasks { wanted, kept }
    }
}

/// Removes attempts that are not on the machine and that its heartbeat has no space for, lowest
/// priority first. Earlier versions placed such attempts: started again after each expiry of the
/// lease, they would exceed the limit each time.
fn withdraw_unreportable(wanted: &mut PlacedTasks, machine: &Machine, state: &ClusterState) {
    let reported_bytes =
        |observed: &ObservedTask| task_bytes(&observed.task.job, observed.task.index.saturating_add(1));
    let mut free_bytes = TASKS_BYTES.saturating_sub(machine.tasks.iter().map(reported_bytes).sum());
    let is_absent = |(uid, index): &(String, u32), attempt| machine.find(uid, *index, attempt).is_none();
    let mut absent: Vec<(Reverse<Priority>, String, u32)> = Vec::new();
    for ((uid, index), _) in wanted.iter().filter(|(task, attempt)| is_absent(task, **attempt)) {
        if let Some(job) = state.jobs.get(uid) {
            absent.push((Reverse(job.spec.priority), uid.clone(), *index));
        }
    }
    absent.sort();
    for (_, uid, index) in absent {
        let bytes = task_bytes(&uid, index.saturating_add(1));
        if bytes > free_bytes {
            wanted.remove(&(uid, index));
        }
        free_bytes = free_bytes.saturating_sub(bytes);
    }
}

/// Adds the results that are shown here but not stored. A task that finished while it reached
/// no controller counts on whichever machine its result is shown, and the agent keeps the
/// result until it is stored.
fn keep_unstored_results(kept: &mut PlacedTasks, machine: &Machine, state: &ClusterState) {
    for observed in &machine.tasks {
        if observed.cause != Some(Cause::Done) || observed.state != TaskState::Exited {
            continue;
        }
        let (uid, index) = (&observed.task.job, observed.task.index);
        let lacks_result =
            |job: &Job| !job.cancelled() && !job.is_done(index, state.checkpoint_size) && index < job.spec.task_count;
        if state.jobs.get(uid).is_some_and(lacks_result) {
            kept.entry((uid.clone(), index)).or_insert(observed.attempt);
        }
    }
}

/// Leaves out starts of tasks of a wide gang before the last of its placements is stored.
fn without_partly_placed(mut commands: Vec<Command>, state: &ClusterState, settings: &Settings) -> Vec<Command> {
    let must_wait = |uid: &str| state.jobs.get(uid).is_some_and(|job| is_partly_placed(job, settings));
    commands.retain(|command| match command {
        Command::Run { task, .. } => TaskId::parse(task).is_none_or(|id| !must_wait(&id.job)),
        Command::Kill { .. } | Command::Forget { .. } => true,
    });
    commands
}

impl Controller {
    /// The tasks that are recorded for a machine.
    pub(super) fn machine_tasks(&self, name: &str) -> MachineTasks {
        let may_run =
            |job: &Job| !job.cancelled() && !self.scheduler.gang_placement_expired(job, &self.config, self.now);
        MachineTasks::of(name, self.agents.machine(name), &self.state, may_run)
    }

    /// The commands that may be sent to the machine now, which has these tasks recorded.
    ///
    /// No task is started by what the replica said before a suspension of this process: meanwhile
    /// users may have been told that the job is cancelled. Such starts are withheld until the
    /// replica is confirmed again.
    pub(super) fn sendable_commands(&mut self, name: &str, tasks: &MachineTasks) -> Vec<Command> {
        let Some(machine) = self.agents.machine(name) else { return Vec::new() };
        let commands = machine.commands(&tasks.wanted, &tasks.kept);
        let mut commands = without_partly_placed(commands, &self.state, &self.config);
        let is_start = |command: &Command| matches!(command, Command::Run { .. });
        if !commands.iter().any(is_start) || self.is_replica_confirmed_since_resume() {
            return commands;
        }
        self.agents.withheld_starts.insert(name.to_string());
        commands.retain(|command| !is_start(command));
        commands
    }

    /// Pushes the starts that were withheld after a suspension, once the replica is confirmed.
    pub(in crate::controller) fn push_withheld_starts(&mut self) {
        if self.agents.withheld_starts.is_empty() || !self.is_replica_confirmed_since_resume() {
            return;
        }
        for name in std::mem::take(&mut self.agents.withheld_starts) {
            self.push_commands(&name);
        }
    }

    /// Pushes commands to the agent without waiting for its next heartbeat, where that is safe.
    pub(in crate::controller) fn push_commands(&mut self, name: &str) {
        let Some(addr) = self.push_address(name) else { return };
        let max_silence = self.heartbeat_intervals(MAX_PUSH_SILENCE_INTERVALS);
        let heard_at = self.agents.machine(name).and_then(|machine| machine.heard_at);
        if heard_at.is_none_or(|at| self.now.saturating_sub(at) > max_silence) {
            return;
        }
        let tasks = self.machine_tasks(name);
        let commands = self.sendable_commands(name, &tasks);
        let Some(machine) = self.agents.machines.get_mut(name) else { return };
        self.agents.summary.pushes_held_back += u64::from(!commands.is_empty() && !machine.confirmed());
        let commands = machine.select_pushes(commands);
        if !commands.is_empty() {
            self.push(name, addr, &commands);
        }
    }

    /// Pushes the token in force to agents that have not shown it in time. Their answers show it,
    /// and until then they take no tasks.
    pub(super) fn push_unshown_tokens(&mut self) {
        let patience = self.secs(TOKEN_REPORT_S);
        let is_due = |(_, machine): &(&String, &Machine)| machine.awaits_token(self.now, patience);
        let names: Vec<String> = self.agents.machines().filter(is_due).map(|(name, _)| name.clone()).collect();
        for name in names {
            self.push_token(&name);
        }
    }

    /// Pushes the token in force to an agent, without commands. A restarted agent carries out late
    /// copies of whatever was pushed before the restart until it has seen that token.
    pub(in crate::controller) fn push_token(&mut self, name: &str) {
        if let Some(addr) = self.push_address(name) {
            self.push(name, addr, &[]);
        }
    }

    /// The address of the agent, if this controller may command the machine now: its replica has
    /// reached the grant.
    fn push_address(&self, name: &str) -> Option<SocketAddr> {
        let record = &self.state.machines.get(name)?.rec;
        let may_command = self.may_act() && self.is_replica_fresh() && self.state.revision >= record.grant_revision;
        self.agents.machine(name).filter(|_| may_command)?.addr.parse().ok()
    }

    /// Sends commands to the agent under the token in force.
    fn push(&mut self, name: &str, addr: SocketAddr, commands: &[Command]) {
        let Some(machine) = self.agents.machine(name) else { return };
        let (fencing_token, agent_epoch) = (machine.token(), machine.newest_report.0);
        let revision = self.state.revision;
        tracing::debug!(machine = %name, token = fencing_token, revision, ?commands, "commands pushed");
        let request = encode(&CommandRequest { fencing_token, agent_epoch, commands: commands.into() });
        let purpose = CallPurpose::Commands { machine: name.to_string(), grant: machine.epoch };
        let timeout = self.heartbeat_intervals(1.0);
        let id = self.call(Target::Worker(addr), "POST", COMMANDS_PATH.into(), Some(request), timeout, purpose);
        self.agents.summary.pushes += 1;
        if let Some(machine) = self.agents.machines.get_mut(name) {
            machine.record_push(id, commands, self.now);
        }
    }

    /// Processes the answer to pushed commands, or the lack of one.
    pub(in crate::controller) fn handle_push_answer(
        &mut self,
        id: CallId,
        name: &str,
        grant: u64,
        result: Result<Reply, NoAnswer>,
    ) {
        let Some(machine) = self.agents.machines.get_mut(name) else { return };
        if machine.push_in_flight != Some(id) || machine.epoch != grant {
            return;
        }
        let answer = result.ok().filter(|reply| reply.status == 200 || reply.status == 409);
        let heartbeat = answer.and_then(|reply| crate::protocol::decode::<Heartbeat>(&reply.body).ok());
        let Some(heartbeat) = heartbeat.filter(|heartbeat| heartbeat.machine == name) else {
            tracing::debug!(machine = %name, "commands not answered");
            return machine.record_lost_push();
        };
        machine.push_in_flight = None;
        if machine.apply_report(&heartbeat) {
            machine.set_report_proven(true);
            self.agents.heartbeat_tracker.record_alive(name, machine.newest_report, self.now);
        }
        self.reconcile(name);
    }

    /// Commands the machines of this controller on which the job has tasks to end them. This does
    /// not depend on which controller wrote the cancellation: by the heartbeats alone the tasks
    /// would run on for a while.
    pub(in crate::controller) fn stop_job(&mut self, uid: &str) {
        let Some(job) = self.state.jobs.get(uid) else { return };
        let placements = job.task_states.values().flat_map(|chunk| &chunk.rec.placements);
        let own_machines =
            placements.map(|placement| &placement.machine).filter(|name| self.agents.machine(name).is_some());
        let own_machines: BTreeSet<String> = own_machines.cloned().collect();
        for name in own_machines {
            self.push_commands(&name);
        }
    }
}
