//! One simulated machine and its worker: tasks, fencing token, lease and agent epoch.
//! Without I/O: the caller passes the time. Gangs span several machines, so [`fleet`] starts
//! and ends them; a worker tells it of their tasks by [`TaskEvent`].
//!
//! [`fleet`]: super::fleet

use super::images::ImageCache;
use finchquay_protocol::user::{JobKind, JobSpec};
use finchquay_protocol::worker::{Cause, Command, CommandRequest, Heartbeat, TaskId, TaskReport, TaskState};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// Time after which a task fails on a faulty machine.
const TASK_FAILURE_DELAY: Duration = Duration::from_millis(300);

/// A job as its user uploaded it, and how its tasks really behave.
#[derive(Debug, Clone)]
pub struct JobDescription {
    /// Specification of the job.
    pub spec: JobSpec,
    /// True run time of each task on a machine of ordinary speed, in seconds. In a gang,
    /// the first entry counts for all tasks.
    pub run_s: Vec<f32>,
    /// Whether the job was submitted with a mistake, so that its tasks fail on every machine.
    pub always_fails: bool,
}

impl JobDescription {
    /// Work of a task, in seconds at ordinary speed.
    fn total_s(&self, task_index: u32) -> f64 {
        let index = if self.spec.kind == JobKind::Gang { 0 } else { task_index as usize };
        self.run_s.get(index).map_or(f64::INFINITY, |run_s| f64::from(*run_s))
    }
}

/// Data that outlives machines: descriptions, results and checkpoints.
#[derive(Debug, Default)]
pub struct JobData {
    /// Uploaded jobs by id.
    pub descriptions: HashMap<String, Arc<JobDescription>>,
    /// Tasks that completed: their results are kept.
    pub finished: HashSet<TaskId>,
    /// Saved progress in seconds, of each task; that of a gang is under index 0.
    pub saved_s: HashMap<TaskId, f64>,
}

impl JobData {
    fn save(&mut self, id: &TaskId, progress_s: f64) {
        let saved_s = self.saved_s.entry(id.clone()).or_default();
        *saved_s = saved_s.max(progress_s);
    }
}

/// Event of a task on a machine. Starts and stops go into the history, the others are for
/// gangs.
#[derive(Debug, Clone, PartialEq)]
pub enum TaskEvent {
    /// The image of the task has been fetched: the task occupies the machine from now on.
    Start {
        /// Id of the task.
        task: TaskId,
        /// Attempt of the task.
        attempt: u64,
    },
    /// The task no longer occupies the machine.
    Stop {
        /// Id of the task.
        task: TaskId,
        /// Attempt of the task.
        attempt: u64,
        /// A cause as in heartbeats, or `lapsed` or `vanished`.
        cause: &'static str,
    },
    /// A task of a gang is ready and waits for the others.
    GangReady {
        /// Id of the task.
        task: TaskId,
        /// Attempt of the task.
        attempt: u64,
    },
    /// A running task of a gang was told to stop and has enough time to save its progress.
    GangSaving {
        /// Id of the task.
        task: TaskId,
        /// Attempt of the task.
        attempt: u64,
    },
    /// A task of a gang is gone, other than by the end of the gang itself.
    GangTaskLost {
        /// Id of the task.
        task: TaskId,
        /// Attempt of the task.
        attempt: u64,
    },
}

#[derive(Debug)]
struct Task {
    id: TaskId,
    description: Arc<JobDescription>,
    state: TaskState,
    cause: Option<Cause>,
    /// Whether its progress was saved as it was stopped.
    kept: Option<bool>,
    /// Whether it has started: its image was fetched.
    started: bool,
    /// Work that was left at `remaining_at`, in seconds at ordinary speed.
    remaining_s: f64,
    /// Time that `remaining_s` refers to.
    remaining_at: Duration,
    /// Speed of the machine when the task began to run.
    speed: f64,
    /// When it leaves its state by itself.
    state_ends_at: Option<Duration>,
}

impl Task {
    fn is_gang(&self) -> bool {
        self.description.spec.kind == JobKind::Gang
    }
}

/// Properties and behaviour of a machine.
#[derive(Debug, Clone)]
pub struct MachineTraits {
    /// Id of the machine.
    pub name: String,
    /// Address at which the worker listens.
    pub addr: String,
    /// Machine type.
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// CPU cores.
    pub cores: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory, in GB.
    pub mem_gb: f64,
    /// Disk space for images, in GB.
    pub cache_gb: f64,
    /// Rate at which it fetches images, in GB per second.
    pub gb_per_s: f64,
    /// Factor on the speed of tasks; 1 is ordinary.
    pub speed: f64,
    /// Time after which a lease lapses that no controller renews.
    pub lease: Duration,
    /// Longest time that a task of a gang waits for the others.
    pub gang_wait: Duration,
}

/// A simulated machine and its worker.
pub struct Worker {
    /// Properties and behaviour of the machine.
    pub traits: MachineTraits,
    agent_epoch: u64,
    heartbeat_seq: u64,
    /// Highest fencing token that was accepted.
    fencing_token: u64,
    lease_renewed_at: Duration,
    /// Tasks by id and attempt, including those that have exited but are not forgotten.
    tasks: BTreeMap<(TaskId, u64), Task>,
    images: ImageCache,
    /// When the machine will be preempted, once notice has been given.
    pub preempt_at: Option<Duration>,
    /// Whether the machine is faulty, so that every task fails on it.
    pub faulty: bool,
    hung_since: Option<Duration>,
    /// When a raised fencing token was last reported at once.
    token_announced_at: Duration,
    /// Events since they were last taken.
    events: Vec<TaskEvent>,
    /// Whether there is a change to report since this was last taken.
    changed: bool,
}

impl Worker {
    /// Creates a machine that has just booted.
    pub fn new(traits: MachineTraits, now: Duration) -> Worker {
        Worker {
            images: ImageCache::new(traits.gb_per_s, traits.cache_gb, now),
            traits,
            agent_epoch: 1,
            heartbeat_seq: 0,
            fencing_token: 0,
            lease_renewed_at: now,
            tasks: BTreeMap::new(),
            preempt_at: None,
            faulty: false,
            hung_since: None,
            token_announced_at: now,
            events: Vec::new(),
            changed: true,
        }
    }

    /// Multiplies the speed of the machine by `factor`, for tasks that start from now on.
    pub fn scale_speed(&mut self, factor: f64) {
        self.traits.speed *= factor;
    }

    /// Whether the machine hangs.
    pub fn is_hung(&self) -> bool {
        self.hung_since.is_some()
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<TaskEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns whether a change since the last call has to be reported.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Number of tasks that run.
    pub fn running_tasks(&self) -> usize {
        self.tasks.values().filter(|t| t.state == TaskState::Running).count()
    }

    /// Suspends (`on`) or resumes the machine. Its lease runs on meanwhile: by the protocol
    /// a hung machine may resume within its lease; after that, no task is left to resume.
    pub fn set_hung(&mut self, now: Duration, on: bool, job_data: &mut JobData) {
        match (self.hung_since, on) {
            (None, true) => {
                self.advance(now, job_data);
                self.hung_since = Some(now);
                let gang_tasks = self.tasks.iter().filter(|(_, t)| t.is_gang() && t.state == TaskState::Running);
                let gang_tasks: Vec<_> = gang_tasks.map(|((id, attempt), _)| (id.clone(), *attempt)).collect();
                self.events
                    .extend(gang_tasks.into_iter().map(|(task, attempt)| TaskEvent::GangTaskLost { task, attempt }));
            }
            (Some(since), false) => {
                self.hung_since = None;
                let paused = now.saturating_sub(since);
                self.images.advance(now, true);
                for task in self.tasks.values_mut() {
                    task.remaining_at += paused;
                    task.state_ends_at = task.state_ends_at.map(|at| at + paused);
                }
                self.advance(now, job_data);
            }
            _ => {}
        }
    }

    /// When the state of the machine next changes by itself.
    pub fn next_change(&self) -> Option<Duration> {
        let lease_lapse = self.lease_renewed_at + self.traits.lease + Duration::from_millis(1);
        if self.is_hung() {
            return Some(lease_lapse);
        }
        let task_changes = self.tasks.values().filter_map(|t| t.state_ends_at);
        task_changes.chain(self.images.next_completion()).chain([lease_lapse]).min()
    }

    /// Advances the clock: a lease that was not renewed lapses, fetches progress, and tasks
    /// leave their states.
    pub fn advance(&mut self, now: Duration, job_data: &mut JobData) {
        if now > self.lease_renewed_at + self.traits.lease {
            self.drop_all_tasks(now, "lapsed", job_data);
            self.agent_epoch += 1;
            self.lease_renewed_at = now;
            self.changed = true;
        }
        if self.is_hung() {
            return;
        }
        self.images.advance(now, false);
        let due: Vec<(TaskId, u64)> = self
            .tasks
            .iter()
            .filter(|(_, t)| t.state == TaskState::Fetching || t.state_ends_at.is_some_and(|at| at <= now))
            .map(|(key, _)| key.clone())
            .collect();
        for key in due {
            self.advance_task(now, &key, job_data);
        }
    }

    /// Moves a task on to its next state, if its present one is over.
    fn advance_task(&mut self, now: Duration, key: &(TaskId, u64), job_data: &mut JobData) {
        let (faulty, speed, gang_wait) = (self.faulty, self.traits.speed, self.traits.gang_wait);
        let Some(task) = self.tasks.get_mut(key) else { return };
        match task.state {
            TaskState::Fetching => {
                if !self.images.touch(&task.description.spec.image) {
                    return;
                }
                self.changed = true;
                task.started = true;
                task.remaining_at = now;
                self.events.push(TaskEvent::Start { task: key.0.clone(), attempt: key.1 });
                if job_data.finished.contains(&key.0) {
                    self.exit(now, key, Cause::Done, None, job_data);
                } else if faulty || task.description.always_fails {
                    task.state = TaskState::Running;
                    (task.remaining_s, task.state_ends_at) = (f64::INFINITY, Some(now + TASK_FAILURE_DELAY));
                } else if task.is_gang() {
                    task.state = TaskState::WaitingForGang;
                    task.state_ends_at = Some(now + gang_wait);
                    self.events.push(TaskEvent::GangReady { task: key.0.clone(), attempt: key.1 });
                } else {
                    task.state = TaskState::Running;
                    let saved_s = job_data.saved_s.get(&key.0).copied().unwrap_or(0.0);
                    task.remaining_s = (task.description.total_s(key.0.index) - saved_s).max(0.0);
                    task.speed = speed;
                    let run_s = task.remaining_s / speed;
                    task.state_ends_at = (run_s.is_finite()).then(|| now + Duration::from_secs_f64(run_s));
                }
            }
            TaskState::WaitingForGang => {
                self.events.push(TaskEvent::GangTaskLost { task: key.0.clone(), attempt: key.1 });
                self.exit(now, key, Cause::GangIncomplete, None, job_data);
            }
            TaskState::Running if task.remaining_s.is_infinite() => self.exit(now, key, Cause::Error, None, job_data),
            TaskState::Running => self.exit(now, key, Cause::Done, None, job_data),
            TaskState::Saving => {
                let progress_s = task.description.total_s(key.0.index) - task.remaining_s;
                job_data.save(&key.0, progress_s);
                self.exit(now, key, Cause::Stopped, Some(true), job_data);
            }
            TaskState::Exited => {}
        }
    }

    /// Ends a task. It stays in the heartbeats until a command to forget it.
    pub fn exit(
        &mut self,
        now: Duration,
        key: &(TaskId, u64),
        cause: Cause,
        kept: Option<bool>,
        job_data: &mut JobData,
    ) {
        let Some(task) = self.tasks.get_mut(key).filter(|task| task.state != TaskState::Exited) else { return };
        if cause == Cause::Done {
            job_data.finished.insert(key.0.clone());
        } else if kept.is_none() && task.state == TaskState::Running && !task.is_gang() {
            save_last_checkpoint(task, now, job_data);
        }
        let cause_text = cause_name(cause);
        (task.state, task.cause, task.kept, task.state_ends_at) = (TaskState::Exited, Some(cause), kept, None);
        if task.started {
            self.events.push(TaskEvent::Stop { task: key.0.clone(), attempt: key.1, cause: cause_text });
        }
        self.changed = true;
        self.cancel_unneeded_fetches();
    }

    fn cancel_unneeded_fetches(&mut self) {
        let tasks = &self.tasks;
        self.images.retain_fetches(|image| {
            tasks.values().any(|t| t.state == TaskState::Fetching && t.description.spec.image == image)
        });
    }

    /// Drops every task without reporting it, as the lease has lapsed or the machine is gone.
    /// `cause` goes into the history.
    pub fn drop_all_tasks(&mut self, now: Duration, cause: &'static str, job_data: &mut JobData) {
        for ((id, attempt), task) in std::mem::take(&mut self.tasks) {
            if task.state == TaskState::Running && !task.is_gang() && !self.is_hung() {
                save_last_checkpoint(&task, now, job_data);
            }
            if task.is_gang()
                && matches!(task.state, TaskState::WaitingForGang | TaskState::Running | TaskState::Saving)
            {
                self.events.push(TaskEvent::GangTaskLost { task: id.clone(), attempt });
            }
            if task.started && task.state != TaskState::Exited {
                self.events.push(TaskEvent::Stop { task: id, attempt, cause });
            }
        }
        self.cancel_unneeded_fetches();
    }

    /// Sets a task to running, as its gang is complete.
    pub fn set_running(&mut self, now: Duration, key: &(TaskId, u64)) {
        if let Some(task) = self.tasks.get_mut(key) {
            (task.state, task.remaining_at, task.state_ends_at) = (TaskState::Running, now, None);
            self.changed = true;
        }
    }

    /// Builds the next heartbeat.
    pub fn heartbeat(&mut self, now: Duration) -> Heartbeat {
        self.heartbeat_seq += 1;
        let report = |((id, attempt), task): (&(TaskId, u64), &Task)| TaskReport {
            task: id.to_string(),
            attempt: *attempt,
            status: task.state,
            cause: task.cause,
            progress_saved: task.kept,
        };
        let traits = &self.traits;
        Heartbeat {
            machine: traits.name.clone(),
            addr: traits.addr.clone(),
            machine_type: traits.machine_type.clone(),
            zone: traits.zone.clone(),
            spot: traits.spot,
            agent_epoch: self.agent_epoch,
            heartbeat_seq: self.heartbeat_seq,
            fencing_token: self.fencing_token,
            preemption_notice_s: self.preempt_at.map(|at| at.saturating_sub(now).as_secs_f64()),
            tasks: self.tasks.iter().map(report).collect(),
        }
    }

    /// Epoch of the agent. It grows when the lease lapses.
    pub fn agent_epoch(&self) -> u64 {
        self.agent_epoch
    }

    /// Handles a response with status 200 to the heartbeat that was sent at `sent` in the
    /// epoch `agent_epoch`. Returns false if the response had to be ignored: its fencing
    /// token is missing or too low, or the epoch has changed, or the machine hangs.
    pub fn handle_response(
        &mut self,
        now: Duration,
        sent: Duration,
        agent_epoch: u64,
        fencing_token: Option<u64>,
        commands: &[Command],
        job_data: &mut JobData,
    ) -> bool {
        let Some(fencing_token) = fencing_token
            .filter(|token| *token >= self.fencing_token && agent_epoch == self.agent_epoch && !self.is_hung())
        else {
            return false;
        };
        self.accept_token(now, fencing_token);
        self.lease_renewed_at = self.lease_renewed_at.max(sent);
        self.execute(now, commands, job_data);
        true
    }

    /// Raises the highest accepted token. The raise is reported at once if the last such
    /// report is more than half a lease ago.
    fn accept_token(&mut self, now: Duration, fencing_token: u64) {
        if fencing_token > self.fencing_token {
            self.fencing_token = fencing_token;
            if now > self.token_announced_at + self.traits.lease / 2 {
                self.token_announced_at = now;
                self.changed = true;
            }
        }
    }

    /// Handles commands that a controller sent to the worker. Returns the HTTP status of the
    /// response, whose body is a heartbeat.
    pub fn handle_commands(&mut self, now: Duration, request: &CommandRequest, job_data: &mut JobData) -> u16 {
        self.advance(now, job_data);
        if request.fencing_token < self.fencing_token || request.agent_epoch != self.agent_epoch {
            return 409;
        }
        self.accept_token(now, request.fencing_token);
        self.execute(now, &request.commands, job_data);
        200
    }

    fn execute(&mut self, now: Duration, commands: &[Command], job_data: &mut JobData) {
        for command in commands {
            match command {
                Command::Run { task, attempt } => self.start_task(now, task, *attempt, job_data),
                Command::Kill { task, attempt, grace_period_s } => {
                    self.stop_task(now, task, *attempt, *grace_period_s, job_data)
                }
                Command::Forget { task, attempt } => {
                    if let Some(id) = TaskId::parse(task) {
                        let key = (id, *attempt);
                        if self.tasks.get(&key).is_some_and(|t| t.state == TaskState::Exited) {
                            self.tasks.remove(&key);
                        }
                    }
                }
            }
        }
    }

    fn start_task(&mut self, now: Duration, task_id: &str, attempt: u64, job_data: &mut JobData) {
        let Some(id) = TaskId::parse(task_id) else { return };
        let key = (id.clone(), attempt);
        if self.tasks.contains_key(&key) {
            return;
        }
        self.changed = true;
        let description = job_data.descriptions.get(&id.job).filter(|d| id.index < d.spec.task_count).cloned();
        let active = || self.tasks.values().filter(|t| t.state != TaskState::Exited);
        let refusal = match &description {
            None => Some(Cause::UnknownTask),
            Some(_) if active().any(|t| t.id == id) => Some(Cause::AlreadyPresent),
            Some(added) => {
                let needed = |amount: fn(&JobSpec) -> f64| {
                    active().map(|t| amount(&t.description.spec)).sum::<f64>() + amount(&added.spec)
                };
                let capacity = &self.traits;
                let fits = needed(|spec| spec.cores) <= capacity.cores + 1e-6
                    && needed(|spec| spec.gpus) <= capacity.gpus + 1e-6
                    && needed(|spec| spec.mem_gb) <= capacity.mem_gb + 1e-6;
                (!fits).then_some(Cause::NoCapacity)
            }
        };
        let description = description.unwrap_or_else(|| {
            Arc::new(JobDescription { spec: JobSpec::example(&id.job), run_s: Vec::new(), always_fails: true })
        });
        if refusal.is_none() {
            self.images.fetch(&description.spec.image, description.spec.image_gb);
        }
        let state = if refusal.is_some() { TaskState::Exited } else { TaskState::Fetching };
        let task = Task {
            id,
            description,
            state,
            cause: refusal,
            kept: None,
            started: false,
            remaining_s: 0.0,
            remaining_at: now,
            speed: 1.0,
            state_ends_at: None,
        };
        self.tasks.insert(key.clone(), task);
        if refusal.is_none() {
            self.advance_task(now, &key, job_data);
        }
    }

    fn stop_task(&mut self, now: Duration, task_id: &str, attempt: u64, grace_period_s: f64, job_data: &mut JobData) {
        let Some(id) = TaskId::parse(task_id) else { return };
        let key = (id, attempt);
        let Some(task) = self.tasks.get_mut(&key).filter(|task| task.state != TaskState::Exited) else { return };
        let saves = task.description.spec.checkpoint_on_stop_s().is_some_and(|save_s| grace_period_s >= save_s);
        match task.state {
            TaskState::Running if saves && !self.faulty => {
                task.remaining_s -= now.saturating_sub(task.remaining_at).as_secs_f64() * task.speed;
                task.remaining_at = now;
                task.state = TaskState::Saving;
                self.changed = true;
                if task.is_gang() {
                    task.state_ends_at = None;
                    self.events.push(TaskEvent::GangSaving { task: key.0.clone(), attempt });
                } else {
                    task.state_ends_at =
                        Some(now + Duration::from_secs_f64(task.description.spec.checkpoint_duration_s));
                }
            }
            TaskState::Saving if grace_period_s > 0.0 => {}
            state => {
                let kept = (state == TaskState::Saving).then_some(false);
                if task.is_gang() && state != TaskState::Fetching {
                    self.events.push(TaskEvent::GangTaskLost { task: key.0.clone(), attempt });
                }
                self.exit(now, &key, Cause::Stopped, kept, job_data);
            }
        }
    }
}

/// Saves the progress of the last periodic checkpoint of a task.
fn save_last_checkpoint(task: &Task, now: Duration, job_data: &mut JobData) {
    let interval_s = task.description.spec.checkpoint_interval_s;
    let total_s = task.description.total_s(task.id.index);
    if interval_s > 0.0 && total_s.is_finite() && task.remaining_s.is_finite() {
        let progress_s = total_s - task.remaining_s + now.saturating_sub(task.remaining_at).as_secs_f64() * task.speed;
        job_data.save(&task.id, (progress_s / interval_s).floor() * interval_s);
    }
}

/// Name of a cause in the history, as in the heartbeats.
fn cause_name(cause: Cause) -> &'static str {
    match cause {
        Cause::Done => "done",
        Cause::Stopped => "stopped",
        Cause::GangMemberLost => "peers",
        Cause::GangIncomplete => "alone",
        Cause::Error => "error",
        Cause::NoCapacity => "no_room",
        Cause::AlreadyPresent => "in_use",
        Cause::UnknownTask => "no_such",
        Cause::Other => "other",
    }
}
