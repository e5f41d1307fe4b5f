//! All simulated machines with what they share. Gangs are handled here, as their tasks are
//! on several machines: they start together, end together, and end at most `gang_peer`
//! after one of them is lost. Without I/O: the caller passes the time.

use super::worker::{JobData, JobDescription, MachineTraits, TaskEvent, Worker};
use finchquay_protocol::worker::{Cause, Command, CommandRequest, Heartbeat, TaskId};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// One attempt of a gang.
#[derive(Debug, Default)]
struct Gang {
    /// Machines of its tasks by task index, from the moment a task waits for the others.
    members: BTreeMap<u32, String>,
    /// When it began to run, and the work that was left then in seconds.
    started: Option<(Duration, f64)>,
    /// Speed of its slowest machine.
    speed: f64,
    /// First command to stop that left time to save: when it came, and the progress in
    /// seconds at that time.
    stop: Option<(Duration, f64)>,
    /// Tasks that were told to stop with time to save, by index.
    stopped: BTreeSet<u32>,
    /// When it lost a task while running.
    broken_at: Option<Duration>,
}

impl Gang {
    /// Progress at `now` of a gang whose whole work is `total_s`, in seconds.
    fn progress_s(&self, total_s: f64, now: Duration) -> f64 {
        let progress_s = self
            .started
            .map_or(0.0, |(at, remaining_s)| total_s - remaining_s + now.saturating_sub(at).as_secs_f64() * self.speed);
        progress_s.min(total_s)
    }
}

/// Name of a machine, and an event on it.
pub type MachineEvent = (String, TaskEvent);

/// All simulated machines.
pub struct Fleet {
    workers: HashMap<String, Worker>,
    job_data: JobData,
    /// Gangs by job id and attempt.
    gangs: BTreeMap<(String, u64), Gang>,
    /// Time until the tasks of a gang notice that one of them is lost.
    gang_peer: Duration,
    /// Next change of every machine, earliest first.
    schedule: BTreeSet<(Duration, String)>,
    /// Entry of each machine in the schedule.
    scheduled_at: HashMap<String, Duration>,
    /// Starts and stops since they were last taken.
    events: Vec<MachineEvent>,
    /// Machines with a change to report since they were last taken.
    changed: BTreeSet<String>,
}

impl Fleet {
    /// Creates a fleet without machines. The tasks of a gang end `gang_peer` after one of
    /// them is lost.
    pub fn new(gang_peer: Duration) -> Fleet {
        Fleet {
            workers: HashMap::new(),
            job_data: JobData::default(),
            gangs: BTreeMap::new(),
            gang_peer,
            schedule: BTreeSet::new(),
            scheduled_at: HashMap::new(),
            events: Vec::new(),
            changed: BTreeSet::new(),
        }
    }

    /// Stores the description of a job for all machines.
    pub fn upload(&mut self, description: JobDescription) {
        self.job_data.descriptions.insert(description.spec.uid.clone(), Arc::new(description));
    }

    /// Records that a task completed in an earlier run, so that its result is available.
    pub fn mark_finished(&mut self, job: &str, index: u32) {
        self.job_data.finished.insert(TaskId { job: job.into(), index });
    }

    /// Adds a machine that has just booted.
    pub fn boot(&mut self, traits: MachineTraits, now: Duration) {
        let name = traits.name.clone();
        self.workers.insert(name.clone(), Worker::new(traits, now));
        self.follow_up(&name, now);
    }

    /// Removes a machine with everything on it.
    pub fn remove(&mut self, name: &str, now: Duration) {
        self.update(name, now, |worker, job_data| worker.drop_all_tasks(now, "vanished", job_data));
        self.workers.remove(name);
        if let Some(at) = self.scheduled_at.remove(name) {
            self.schedule.remove(&(at, name.to_string()));
        }
    }

    /// Returns a machine by its name.
    pub fn worker(&self, name: &str) -> Option<&Worker> {
        self.workers.get(name)
    }

    /// Lists all machines.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// Changes one machine with `change`, and applies what follows for gangs. Returns `None`
    /// if there is no such machine.
    pub fn update<T>(
        &mut self,
        name: &str,
        now: Duration,
        change: impl FnOnce(&mut Worker, &mut JobData) -> T,
    ) -> Option<T> {
        let worker = self.workers.get_mut(name)?;
        let result = change(worker, &mut self.job_data);
        self.follow_up(name, now);
        Some(result)
    }

    /// Builds the next heartbeat of a machine.
    pub fn heartbeat(&mut self, name: &str, now: Duration) -> Option<Heartbeat> {
        self.update(name, now, |worker, job_data| {
            worker.advance(now, job_data);
            worker.heartbeat(now)
        })
    }

    /// Handles a response with status 200 to a heartbeat that was sent at `sent` in the epoch
    /// `agent_epoch`.
    pub fn handle_response(
        &mut self,
        name: &str,
        now: Duration,
        sent: Duration,
        agent_epoch: u64,
        fencing_token: Option<u64>,
        commands: &[Command],
    ) {
        self.update(name, now, |worker, job_data| {
            worker.advance(now, job_data);
            worker.handle_response(now, sent, agent_epoch, fencing_token, commands, job_data)
        });
    }

    /// Handles commands that a controller sent to a worker. Returns HTTP status and heartbeat
    /// for the response.
    pub fn handle_commands(&mut self, name: &str, now: Duration, request: &CommandRequest) -> Option<(u16, Heartbeat)> {
        self.update(name, now, |worker, job_data| {
            (worker.handle_commands(now, request, job_data), worker.heartbeat(now))
        })
    }

    /// Advances the clock of every machine and gang.
    pub fn advance(&mut self, now: Duration) {
        while let Some((at, name)) = self.schedule.first().cloned().filter(|(at, _)| *at <= now) {
            self.schedule.remove(&(at, name.clone()));
            self.scheduled_at.remove(&name);
            // Every change takes place at its scheduled time, however late this is called.
            self.update(&name, at, |worker, job_data| worker.advance(at, job_data));
        }
        self.end_gangs(now);
    }

    /// Returns the starts and stops since the last call, and the machines with a change to
    /// report.
    pub fn take_changes(&mut self) -> (Vec<MachineEvent>, BTreeSet<String>) {
        (std::mem::take(&mut self.events), std::mem::take(&mut self.changed))
    }

    /// After a change of one machine, updates its entry in the schedule and applies its
    /// events to its gangs, which may change further machines.
    fn follow_up(&mut self, name: &str, now: Duration) {
        let mut queue = vec![name.to_string()];
        while let Some(name) = queue.pop() {
            let Some(worker) = self.workers.get_mut(&name) else { continue };
            let events = worker.take_events();
            if worker.take_changed() {
                self.changed.insert(name.clone());
            }
            if let Some(old) = self.scheduled_at.remove(&name) {
                self.schedule.remove(&(old, name.clone()));
            }
            if let Some(next) = worker.next_change() {
                self.schedule.insert((next, name.clone()));
                self.scheduled_at.insert(name.clone(), next);
            }
            for event in events {
                queue.extend(self.apply_to_gang(&name, &event, now));
                if matches!(event, TaskEvent::Start { .. } | TaskEvent::Stop { .. }) {
                    self.events.push((name.clone(), event));
                }
            }
        }
    }

    /// Applies an event to the gang of its task. Returns the machines that change by it.
    fn apply_to_gang(&mut self, machine: &str, event: &TaskEvent, now: Duration) -> Vec<String> {
        match event {
            TaskEvent::GangReady { task, attempt } => {
                let gang = self.gangs.entry((task.job.clone(), *attempt)).or_default();
                gang.members.insert(task.index, machine.to_string());
                let Some(description) = self.job_data.descriptions.get(&task.job) else { return Vec::new() };
                if gang.members.len() < description.spec.task_count as usize || gang.started.is_some() {
                    return Vec::new();
                }
                let id = TaskId { job: task.job.clone(), index: 0 };
                let saved_s = self.job_data.saved_s.get(&id).copied().unwrap_or(0.0);
                let total_s = description.run_s.first().map_or(f64::INFINITY, |run_s| f64::from(*run_s));
                gang.started = Some((now, (total_s - saved_s).max(0.0)));
                let workers = gang.members.values().filter_map(|member| self.workers.get(member));
                let speeds = workers.map(|worker| worker.traits.speed);
                gang.speed = speeds.fold(f64::INFINITY, f64::min);
                let mut changed = Vec::new();
                for (index, member) in &gang.members {
                    if let Some(worker) = self.workers.get_mut(member) {
                        worker.set_running(now, &(TaskId { job: task.job.clone(), index: *index }, *attempt));
                        changed.push(member.clone());
                    }
                }
                changed
            }
            TaskEvent::GangSaving { task, attempt } => {
                let key = (task.job.clone(), *attempt);
                let total_s = self.total_s(&task.job);
                if let Some(gang) = self.gangs.get_mut(&key) {
                    let progress_s = gang.progress_s(total_s, now);
                    gang.stop.get_or_insert((now, progress_s));
                    gang.stopped.insert(task.index);
                }
                Vec::new()
            }
            TaskEvent::GangTaskLost { task, attempt } => {
                let key = (task.job.clone(), *attempt);
                if let Some(gang) = self.gangs.get_mut(&key) {
                    gang.members.remove(&task.index);
                    if gang.started.is_some() {
                        gang.broken_at.get_or_insert(now);
                    }
                    if gang.members.is_empty() {
                        self.gangs.remove(&key);
                    }
                }
                Vec::new()
            }
            TaskEvent::Start { .. } | TaskEvent::Stop { .. } => Vec::new(),
        }
    }

    /// Work of a gang, in seconds at ordinary speed.
    fn total_s(&self, job: &str) -> f64 {
        let run_s = self.job_data.descriptions.get(job).and_then(|description| description.run_s.first());
        run_s.map_or(f64::INFINITY, |run_s| f64::from(*run_s))
    }

    /// Ends the gangs that have completed, were stopped, or lost a task.
    fn end_gangs(&mut self, now: Duration) {
        let running: Vec<(String, u64)> =
            self.gangs.iter().filter(|(_, gang)| gang.started.is_some()).map(|(key, _)| key.clone()).collect();
        for key in running {
            let total_s = self.total_s(&key.0);
            let description = self.job_data.descriptions.get(&key.0).cloned();
            let (Some(gang), Some(description)) = (self.gangs.get(&key), description) else { continue };
            let spec = &description.spec;
            // The tasks notice that another one is lost, or was not told to stop, only after
            // this time.
            let noticed = |at: Duration| now >= at + self.gang_peer;
            // A gang that ends without saving falls back to its last periodic checkpoint.
            let ran_until = gang.broken_at.or(gang.stop.map(|(at, _)| at)).unwrap_or(now);
            let interval_s = spec.checkpoint_interval_s;
            let checkpoint_s = if interval_s > 0.0 {
                (gang.progress_s(total_s, ran_until) / interval_s).floor() * interval_s
            } else {
                0.0
            };
            let all_stopped = gang.stopped.len() == spec.task_count as usize && gang.broken_at.is_none();
            // Causes of the tasks that were told to stop and of the others, whether the
            // progress of the former was saved, and the progress that remains.
            let end: Option<(Cause, Cause, Option<bool>, f64)> = match (gang.stop, gang.broken_at) {
                (Some((at, progress_s)), None) if all_stopped => {
                    let saved = now >= at + Duration::from_secs_f64(spec.checkpoint_duration_s);
                    saved.then_some((Cause::Stopped, Cause::Stopped, Some(true), progress_s))
                }
                (Some((at, _)), _) if noticed(at) => {
                    Some((Cause::Stopped, Cause::GangMemberLost, Some(false), checkpoint_s))
                }
                (None, Some(at)) if noticed(at) => {
                    Some((Cause::GangMemberLost, Cause::GangMemberLost, None, checkpoint_s))
                }
                (None, None) if gang.progress_s(total_s, now) >= total_s => {
                    Some((Cause::Done, Cause::Done, None, total_s))
                }
                _ => None,
            };
            let Some((stopped_cause, other_cause, kept, progress_s)) = end else { continue };
            let Some(gang) = self.gangs.remove(&key) else { continue };
            let id = TaskId { job: key.0.clone(), index: 0 };
            let saved_s = self.job_data.saved_s.entry(id).or_default();
            *saved_s = saved_s.max(progress_s);
            for (index, machine) in gang.members {
                let was_stopped = gang.stopped.contains(&index);
                let cause = if was_stopped { stopped_cause } else { other_cause };
                let task = (TaskId { job: key.0.clone(), index }, key.1);
                self.update(&machine, now, |worker, job_data| {
                    worker.exit(now, &task, cause, kept.filter(|_| was_stopped), job_data)
                });
            }
        }
    }
}

#[cfg(test)]
mod tests;
