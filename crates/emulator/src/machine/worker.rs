//! One simulated machine and its worker: tasks, tokens, lease, sessions.
//! Pure: the time comes in. Gangs reach over machines, so `fleet` starts and
//! ends them; what concerns them is told by `Happening`.

use super::images::Images;
use finchquay_protocol::user::{JobKind, JobSpec};
use finchquay_protocol::worker::{Cause, Command, CommandRequest, Heartbeat, TaskId, TaskReport, TaskState};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// Time a faulty machine takes to fail a task.
const FAILS_AFTER: Duration = Duration::from_millis(300);

/// A job as its users uploaded it, and how its tasks really behave.
#[derive(Debug, Clone)]
pub struct Description {
    pub spec: JobSpec,
    /// True run time of each task on a machine of ordinary speed, in seconds;
    /// of a gang the first counts for all.
    pub run_s: Vec<f32>,
    /// Submitted with a mistake: fails on every machine.
    pub broken: bool,
}

impl Description {
    fn total_s(&self, index: u32) -> f64 {
        let at = if self.spec.kind == JobKind::Gang { 0 } else { index as usize };
        self.run_s.get(at).map_or(f64::INFINITY, |s| f64::from(*s))
    }
}

/// What outlives machines: descriptions, results and checkpoints.
#[derive(Debug, Default)]
pub struct Shared {
    pub jobs: HashMap<String, Arc<Description>>,
    pub done: HashSet<TaskId>,
    /// Progress saved, in seconds: of a task, or under index 0 of a gang.
    pub saved: HashMap<TaskId, f64>,
}

impl Shared {
    fn save(&mut self, id: &TaskId, progress_s: f64) {
        let saved = self.saved.entry(id.clone()).or_default();
        *saved = saved.max(progress_s);
    }
}

/// What happened on a machine, for the history and for gangs.
#[derive(Debug, Clone, PartialEq)]
pub enum Happening {
    /// The task has its image: it is on the machine from now on.
    Start { task: TaskId, attempt: u64 },
    /// It is gone. Causes are those of reports, and `lapsed` and `vanished`.
    Stop { task: TaskId, attempt: u64, cause: &'static str },
    /// A gang's task waits for the others.
    Gathers { task: TaskId, attempt: u64 },
    /// A gang's running task was told to stop and has the time to save.
    Winds { task: TaskId, attempt: u64 },
    /// A gang's task is gone, other than by the gang's own end.
    Leaves { task: TaskId, attempt: u64 },
}

#[derive(Debug)]
struct Task {
    id: TaskId,
    desc: Arc<Description>,
    state: TaskState,
    cause: Option<Cause>,
    kept: Option<bool>,
    /// On the machine: it has, or had, its image.
    on: bool,
    /// Work left at `since`, in seconds at ordinary speed.
    left_s: f64,
    /// Speed of the machine when it started to run.
    speed: f64,
    since: Duration,
    /// When it leaves its state by itself.
    until: Option<Duration>,
}

impl Task {
    fn gang(&self) -> bool {
        self.desc.spec.kind == JobKind::Gang
    }
}

/// What a machine is and how it behaves.
#[derive(Debug, Clone)]
pub struct Traits {
    pub name: String,
    pub addr: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub cores: f64,
    pub gpus: f64,
    pub mem_gb: f64,
    pub cache_gb: f64,
    pub gb_per_s: f64,
    /// 1 is ordinary.
    pub speed: f64,
    pub lease: Duration,
    pub gang_wait: Duration,
}

pub struct Worker {
    pub traits: Traits,
    agent_epoch: u64,
    heartbeat_seq: u64,
    fencing_token: u64,
    lease_from: Duration,
    tasks: BTreeMap<(TaskId, u64), Task>,
    images: Images,
    pub preempted_at: Option<Duration>,
    /// Every task fails here.
    pub sick: bool,
    hung_since: Option<Duration>,
    token_announced_at: Duration,
    out: Vec<Happening>,
    changed: bool,
}

impl Worker {
    pub fn new(traits: Traits, now: Duration) -> Worker {
        Worker {
            images: Images::new(traits.gb_per_s, traits.cache_gb, now),
            traits,
            agent_epoch: 1,
            heartbeat_seq: 0,
            fencing_token: 0,
            lease_from: now,
            tasks: BTreeMap::new(),
            preempted_at: None,
            sick: false,
            hung_since: None,
            token_announced_at: now,
            out: Vec::new(),
            changed: true,
        }
    }

    /// Tasks that start from now on run so many times as fast.
    pub fn slow_down(&mut self, factor: f64) {
        self.traits.speed *= factor;
    }

    pub fn hangs(&self) -> bool {
        self.hung_since.is_some()
    }

    /// What happened since this was last asked.
    pub fn take_happenings(&mut self) -> Vec<Happening> {
        std::mem::take(&mut self.out)
    }

    /// Whether a report is due for a change since this was last asked.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    pub fn running(&self) -> usize {
        self.tasks.values().filter(|t| t.state == TaskState::Running).count()
    }

    /// Stops or resumes execution. Leases run on: PROTOCOL lets a hanging machine
    /// resume within its lease, and after that there is nothing left to resume.
    pub fn hang(&mut self, now: Duration, on: bool, shared: &mut Shared) {
        match (self.hung_since, on) {
            (None, true) => {
                self.advance(now, shared);
                self.hung_since = Some(now);
                let gangs = self.tasks.iter().filter(|(_, t)| t.gang() && t.state == TaskState::Running);
                let gangs: Vec<_> = gangs.map(|((id, a), _)| (id.clone(), *a)).collect();
                self.out.extend(gangs.into_iter().map(|(task, attempt)| Happening::Leaves { task, attempt }));
            }
            (Some(since), false) => {
                self.hung_since = None;
                let paused = now.saturating_sub(since);
                self.images.advance(now, true);
                for t in self.tasks.values_mut() {
                    t.since += paused;
                    t.until = t.until.map(|u| u + paused);
                }
                self.advance(now, shared);
            }
            _ => {}
        }
    }

    /// When something happens here by itself next.
    pub fn next(&self) -> Option<Duration> {
        let lapse = self.lease_from + self.traits.lease + Duration::from_millis(1);
        if self.hangs() {
            return Some(lapse);
        }
        let tasks = self.tasks.values().filter_map(|t| t.until);
        tasks.chain(self.images.next()).chain([lapse]).min()
    }

    /// Lets time pass.
    pub fn advance(&mut self, now: Duration, shared: &mut Shared) {
        if now > self.lease_from + self.traits.lease {
            self.drop_all(now, "lapsed", shared);
            self.agent_epoch += 1;
            self.lease_from = now;
            self.changed = true;
        }
        if self.hangs() {
            return;
        }
        self.images.advance(now, false);
        let due: Vec<(TaskId, u64)> = self
            .tasks
            .iter()
            .filter(|(_, t)| t.state == TaskState::Fetching || t.until.is_some_and(|u| u <= now))
            .map(|(k, _)| k.clone())
            .collect();
        for key in due {
            self.turn(now, &key, shared);
        }
    }

    /// One task leaves its state, if it may.
    fn turn(&mut self, now: Duration, key: &(TaskId, u64), shared: &mut Shared) {
        let (sick, speed, gang_wait) = (self.sick, self.traits.speed, self.traits.gang_wait);
        let Some(t) = self.tasks.get_mut(key) else { return };
        match t.state {
            TaskState::Fetching => {
                if !self.images.has(&t.desc.spec.image) {
                    return;
                }
                self.changed = true;
                t.on = true;
                t.since = now;
                self.out.push(Happening::Start { task: key.0.clone(), attempt: key.1 });
                if shared.done.contains(&key.0) {
                    self.exit(now, key, Cause::Done, None, shared);
                } else if sick || t.desc.broken {
                    t.state = TaskState::Running;
                    (t.left_s, t.until) = (f64::INFINITY, Some(now + FAILS_AFTER));
                } else if t.gang() {
                    t.state = TaskState::WaitingForGang;
                    t.until = Some(now + gang_wait);
                    self.out.push(Happening::Gathers { task: key.0.clone(), attempt: key.1 });
                } else {
                    t.state = TaskState::Running;
                    let saved = shared.saved.get(&key.0).copied().unwrap_or(0.0);
                    t.left_s = (t.desc.total_s(key.0.index) - saved).max(0.0);
                    t.speed = speed;
                    let run = t.left_s / speed;
                    t.until = (run.is_finite()).then(|| now + Duration::from_secs_f64(run));
                }
            }
            TaskState::WaitingForGang => {
                self.out.push(Happening::Leaves { task: key.0.clone(), attempt: key.1 });
                self.exit(now, key, Cause::GangIncomplete, None, shared);
            }
            TaskState::Running if t.left_s.is_infinite() => self.exit(now, key, Cause::Error, None, shared),
            TaskState::Running => self.exit(now, key, Cause::Done, None, shared),
            TaskState::Saving => {
                let progress = t.desc.total_s(key.0.index) - t.left_s;
                shared.save(&key.0, progress);
                self.exit(now, key, Cause::Stopped, Some(true), shared);
            }
            TaskState::Exited => {}
        }
    }

    /// Ends a task; it stays in the reports until it is forgotten.
    pub fn exit(&mut self, now: Duration, key: &(TaskId, u64), cause: Cause, kept: Option<bool>, shared: &mut Shared) {
        let Some(t) = self.tasks.get_mut(key).filter(|t| t.state != TaskState::Exited) else { return };
        if cause == Cause::Done {
            shared.done.insert(key.0.clone());
        } else if kept.is_none() && t.state == TaskState::Running && !t.gang() {
            checkpoint(t, now, shared);
        }
        let name = name(cause);
        (t.state, t.cause, t.kept, t.until) = (TaskState::Exited, Some(cause), kept, None);
        if t.on {
            self.out.push(Happening::Stop { task: key.0.clone(), attempt: key.1, cause: name });
        }
        self.changed = true;
        self.keep_images();
    }

    fn keep_images(&mut self) {
        let tasks = &self.tasks;
        self.images.keep(|i| tasks.values().any(|t| t.state == TaskState::Fetching && t.desc.spec.image == i));
    }

    /// Every task is gone at once, unreported: the lease lapsed or the machine vanished.
    pub fn drop_all(&mut self, now: Duration, cause: &'static str, shared: &mut Shared) {
        for ((task, attempt), t) in std::mem::take(&mut self.tasks) {
            if t.state == TaskState::Running && !t.gang() && !self.hangs() {
                checkpoint(&t, now, shared);
            }
            if t.gang() && matches!(t.state, TaskState::WaitingForGang | TaskState::Running | TaskState::Saving) {
                self.out.push(Happening::Leaves { task: task.clone(), attempt });
            }
            if t.on && t.state != TaskState::Exited {
                self.out.push(Happening::Stop { task, attempt, cause });
            }
        }
        self.keep_images();
    }

    /// A gang's task begins to run, or a stop of its gang comes to its end.
    pub fn set_running(&mut self, now: Duration, key: &(TaskId, u64)) {
        if let Some(t) = self.tasks.get_mut(key) {
            (t.state, t.since, t.until) = (TaskState::Running, now, None);
            self.changed = true;
        }
    }

    /// The report that is sent now.
    pub fn report(&mut self, now: Duration) -> Heartbeat {
        self.heartbeat_seq += 1;
        let task = |((id, attempt), t): (&(TaskId, u64), &Task)| TaskReport {
            task: id.to_string(),
            attempt: *attempt,
            status: t.state,
            cause: t.cause,
            kept: t.kept,
        };
        let t = &self.traits;
        Heartbeat {
            machine: t.name.clone(),
            addr: t.addr.clone(),
            machine_type: t.machine_type.clone(),
            zone: t.zone.clone(),
            spot: t.spot,
            agent_epoch: self.agent_epoch,
            heartbeat_seq: self.heartbeat_seq,
            fencing_token: self.fencing_token,
            preemption_notice_s: self.preempted_at.map(|at| at.saturating_sub(now).as_secs_f64()),
            tasks: self.tasks.iter().map(task).collect(),
        }
    }

    pub fn agent_epoch(&self) -> u64 {
        self.agent_epoch
    }

    /// A report of session `agent_epoch`, sent at `sent`, was answered with 200.
    /// False: the answer had to be dropped.
    pub fn answered(
        &mut self,
        now: Duration,
        sent: Duration,
        agent_epoch: u64,
        fencing_token: Option<u64>,
        commands: &[Command],
        shared: &mut Shared,
    ) -> bool {
        let Some(fencing_token) =
            fencing_token.filter(|w| *w >= self.fencing_token && agent_epoch == self.agent_epoch && !self.hangs())
        else {
            return false;
        };
        self.see_token(now, fencing_token);
        self.lease_from = self.lease_from.max(sent);
        self.execute(now, commands, shared);
        true
    }

    fn see_token(&mut self, now: Duration, fencing_token: u64) {
        if fencing_token > self.fencing_token {
            self.fencing_token = fencing_token;
            if now > self.token_announced_at + self.traits.lease / 2 {
                self.token_announced_at = now;
                self.changed = true;
            }
        }
    }

    /// Orders sent straight to the worker: the status of the answer, whose
    /// body is the report.
    pub fn pushed(&mut self, now: Duration, push: &CommandRequest, shared: &mut Shared) -> u16 {
        self.advance(now, shared);
        if push.fencing_token < self.fencing_token || push.agent_epoch != self.agent_epoch {
            return 409;
        }
        self.see_token(now, push.fencing_token);
        self.execute(now, &push.commands, shared);
        200
    }

    fn execute(&mut self, now: Duration, commands: &[Command], shared: &mut Shared) {
        for order in commands {
            match order {
                Command::Run { task, attempt } => self.run(now, task, *attempt, shared),
                Command::Kill { task, attempt, grace_period_s } => {
                    self.kill(now, task, *attempt, *grace_period_s, shared)
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

    fn run(&mut self, now: Duration, task: &str, attempt: u64, shared: &mut Shared) {
        let Some(id) = TaskId::parse(task) else { return };
        let key = (id.clone(), attempt);
        if self.tasks.contains_key(&key) {
            return;
        }
        self.changed = true;
        let desc = shared.jobs.get(&id.job).filter(|d| id.index < d.spec.task_count).cloned();
        let live = || self.tasks.values().filter(|t| t.state != TaskState::Exited);
        let refused = match &desc {
            None => Some(Cause::UnknownTask),
            Some(_) if live().any(|t| t.id == id) => Some(Cause::AlreadyPresent),
            Some(d) => {
                let used = |f: fn(&JobSpec) -> f64| live().map(|t| f(&t.desc.spec)).sum::<f64>() + f(&d.spec);
                let m = &self.traits;
                let fits = used(|s| s.cores) <= m.cores + 1e-6
                    && used(|s| s.gpus) <= m.gpus + 1e-6
                    && used(|s| s.mem_gb) <= m.mem_gb + 1e-6;
                (!fits).then_some(Cause::NoCapacity)
            }
        };
        let desc = desc.unwrap_or_else(|| {
            Arc::new(Description { spec: JobSpec::example(&id.job), run_s: Vec::new(), broken: true })
        });
        if refused.is_none() {
            self.images.want(&desc.spec.image, desc.spec.image_gb);
        }
        let state = if refused.is_some() { TaskState::Exited } else { TaskState::Fetching };
        let task = Task {
            id,
            desc,
            state,
            cause: refused,
            kept: None,
            on: false,
            left_s: 0.0,
            speed: 1.0,
            since: now,
            until: None,
        };
        self.tasks.insert(key.clone(), task);
        if refused.is_none() {
            self.turn(now, &key, shared);
        }
    }

    fn kill(&mut self, now: Duration, task: &str, attempt: u64, grace_period_s: f64, shared: &mut Shared) {
        let Some(id) = TaskId::parse(task) else { return };
        let key = (id, attempt);
        let Some(t) = self.tasks.get_mut(&key).filter(|t| t.state != TaskState::Exited) else { return };
        let saves = t.desc.spec.saves_in().is_some_and(|s| grace_period_s >= s);
        match t.state {
            TaskState::Running if saves && !self.sick => {
                t.left_s -= now.saturating_sub(t.since).as_secs_f64() * t.speed;
                t.since = now;
                t.state = TaskState::Saving;
                self.changed = true;
                if t.gang() {
                    t.until = None;
                    self.out.push(Happening::Winds { task: key.0.clone(), attempt });
                } else {
                    t.until = Some(now + Duration::from_secs_f64(t.desc.spec.checkpoint_duration_s));
                }
            }
            TaskState::Saving if grace_period_s > 0.0 => {}
            state => {
                let kept = (state == TaskState::Saving).then_some(false);
                if t.gang() && state != TaskState::Fetching {
                    self.out.push(Happening::Leaves { task: key.0.clone(), attempt });
                }
                self.exit(now, &key, Cause::Stopped, kept, shared);
            }
        }
    }
}

/// Keeps the progress of the last checkpoint that the task made by itself.
fn checkpoint(t: &Task, now: Duration, shared: &mut Shared) {
    let every = t.desc.spec.checkpoint_interval_s;
    let total = t.desc.total_s(t.id.index);
    if every > 0.0 && total.is_finite() && t.left_s.is_finite() {
        let progress = total - t.left_s + now.saturating_sub(t.since).as_secs_f64() * t.speed;
        shared.save(&t.id, (progress / every).floor() * every);
    }
}

fn name(cause: Cause) -> &'static str {
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
