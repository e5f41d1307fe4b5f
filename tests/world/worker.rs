//! Stand-in for an agent: reports, tokens, leases and tasks as PROTOCOL has them.

use super::{GANG_PEER_S, GANG_WAIT_S, LEASE_S, bytes, get, number, s, text};
use ciborium::{Value, cbor};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskState {
    Fetching,
    WaitingForGang,
    Running,
    Exited,
}

#[derive(Debug, Clone)]
pub struct Task {
    pub job: String,
    pub index: u32,
    pub state: TaskState,
    cause: &'static str,
    turn: Duration,
    /// Since when a running gang misses one of its tasks.
    misses_since: Option<Duration>,
}

pub struct Worker {
    pub name: String,
    pub addr: String,
    pub zone: String,
    spot: bool,
    pub node: usize,
    nodes: usize,
    agent_epoch: u64,
    pub heartbeat_seq: u64,
    fencing_token: u64,
    pub tasks: BTreeMap<(String, u64), Task>,
    results: BTreeSet<String>,
    /// When the report in flight was sent.
    flight: Option<Duration>,
    pub lease_from: Duration,
    pub next_report: Duration,
    pub cut: bool,
    /// Its reports arrive, but neither answers nor commands reach it.
    pub deaf: bool,
    /// It opens no connection to any controller; direct commands reach it.
    pub mute: bool,
    /// Since when it executes nothing.
    pub hangs: Option<Duration>,
    /// When the last cut ended: it takes a while to call again.
    pub back_at: Option<Duration>,
    /// Nodes that it can't reach, nor they it.
    pub unreached: BTreeSet<usize>,
    pub held: Vec<Value>,
    /// Every task fails here.
    pub sick: bool,
    /// Jobs whose tasks fail on every machine, and how many did here.
    pub broken: BTreeSet<String>,
    pub failed: u32,
    /// How long tasks run, by job or by task.
    pub runs: BTreeMap<String, f64>,
    /// Gangs that the users submitted: tasks of these wait for each other.
    pub gangs: BTreeSet<String>,
    /// The machine is taken away then.
    pub preempted_at: Option<Duration>,
    /// Kills of running tasks: when, of which job, with how much time to save.
    pub kills: Vec<(Duration, String, f64)>,
    /// Seconds that each image takes here, for the next tasks.
    pub fetch_s: f64,
    /// Orders that came, and those of them that changed nothing here.
    pub commands: (u32, u32),
    /// Tasks that a lapsed lease ended.
    pub lapsed: u32,
}

impl Worker {
    pub fn new(name: &str, zone: &str, spot: bool, node: usize, nodes: usize, now: Duration) -> Worker {
        let n: u64 = name.trim_start_matches("host-").parse().unwrap();
        Worker {
            name: name.into(),
            addr: format!("10.1.{}.{}:9000", n / 250, n % 250 + 1),
            zone: zone.into(),
            spot,
            node,
            nodes,
            agent_epoch: 1,
            heartbeat_seq: 0,
            fencing_token: 0,
            tasks: BTreeMap::new(),
            results: BTreeSet::new(),
            flight: None,
            lease_from: now,
            next_report: now,
            cut: false,
            deaf: false,
            mute: false,
            hangs: None,
            back_at: None,
            unreached: BTreeSet::new(),
            held: Vec::new(),
            sick: false,
            broken: BTreeSet::new(),
            failed: 0,
            runs: BTreeMap::new(),
            gangs: BTreeSet::new(),
            preempted_at: None,
            kills: Vec::new(),
            fetch_s: 0.5,
            commands: (0, 0),
            lapsed: 0,
        }
    }

    /// The machine ends and is back at once: all that was on it is gone, and its
    /// counters begin anew.
    pub fn restart_agent(&mut self, now: Duration) {
        self.tasks.clear();
        self.held.clear();
        (self.agent_epoch, self.heartbeat_seq, self.fencing_token) = (1, 0, 0);
        (self.flight, self.lease_from, self.next_report) = (None, now, now);
    }

    /// Lets time pass; names the tasks that completed.
    pub fn advance(&mut self, now: Duration) -> Vec<(String, u32)> {
        if now > self.lease_from + s(LEASE_S) {
            self.agent_epoch += 1;
            self.lapsed += self.tasks.values().filter(|t| t.state != TaskState::Exited).count() as u32;
            self.tasks.clear();
            self.lease_from = now;
            self.flight = None;
        }
        if self.hangs.is_some() {
            return Vec::new();
        }
        let mut done = Vec::new();
        for t in self.tasks.values_mut().filter(|t| t.turn <= now) {
            match t.state {
                TaskState::WaitingForGang => (t.state, t.cause) = (TaskState::Exited, "alone"),
                TaskState::Fetching if self.gangs.contains(&t.job) && !self.sick => {
                    (t.state, t.turn) = (TaskState::WaitingForGang, now + s(GANG_WAIT_S));
                    self.next_report = self.next_report.min(now + s(0.5));
                    continue;
                }
                TaskState::Fetching if self.sick || self.broken.contains(&t.job) => {
                    (t.state, t.cause) = (TaskState::Exited, "error");
                    self.failed += 1;
                }
                TaskState::Fetching => {
                    let name = format!("{}/{}", t.job, t.index);
                    let run = if self.results.contains(&name) {
                        0.0
                    } else {
                        let own = self.runs.get(&name).or_else(|| self.runs.get(&t.job));
                        own.copied().unwrap_or(run_s(&t.job))
                    };
                    (t.state, t.turn) = (TaskState::Running, now + s(run));
                    continue;
                }
                TaskState::Running => {
                    (t.state, t.cause) = (TaskState::Exited, "done");
                    self.results.insert(format!("{}/{}", t.job, t.index));
                    done.push((t.job.clone(), t.index));
                }
                TaskState::Exited => continue,
            }
            self.next_report = self.next_report.min(now + s(0.5));
        }
        done
    }

    /// It hung for so long: nothing made progress meanwhile, and its clock ran on.
    pub fn resume(&mut self, after: Duration) {
        self.tasks.values_mut().for_each(|t| t.turn += after);
        self.flight = None;
    }

    /// The gang is complete: its task runs from now on.
    pub fn gang_starts(&mut self, job: &str, attempt: u64, now: Duration) {
        for ((_, a), t) in &mut self.tasks {
            if t.job == job && *a == attempt && t.state == TaskState::WaitingForGang {
                (t.state, t.turn, t.misses_since) = (TaskState::Running, now + s(run_s(job)), None);
                self.next_report = self.next_report.min(now + s(0.5));
            }
        }
    }

    /// When the gang's tasks that run here end.
    pub fn gang_ends(&mut self, job: &str, attempt: u64) -> impl Iterator<Item = &mut Duration> {
        let here = move |(key, t): &(&(String, u64), &mut Task)| {
            t.job == job && key.1 == attempt && t.state == TaskState::Running
        };
        self.tasks.iter_mut().filter(here).map(|(_, t)| &mut t.turn)
    }

    /// One of the gang's tasks is gone: the others notice after a while.
    pub fn gang_misses(&mut self, job: &str, attempt: u64, now: Duration) {
        for ((_, a), t) in &mut self.tasks {
            if t.job == job && *a == attempt && t.state == TaskState::Running {
                let since = *t.misses_since.get_or_insert(now);
                if now > since + s(GANG_PEER_S) {
                    (t.state, t.cause) = (TaskState::Exited, "peers");
                    self.next_report = self.next_report.min(now + s(0.5));
                } else {
                    t.turn = t.turn.max(now + s(0.1)); // no progress meanwhile
                }
            }
        }
    }

    pub fn report(&mut self, now: Duration) -> Vec<u8> {
        self.heartbeat_seq += 1;
        let preemption_notice_s = self.preempted_at.map(|t| t.saturating_sub(now).as_secs_f64());
        let tasks: Vec<Value> = self
            .tasks
            .iter()
            .map(|((task, attempt), t)| {
                let status = match t.state {
                    TaskState::Fetching => "fetching",
                    TaskState::WaitingForGang => "gathering",
                    TaskState::Running => "running",
                    TaskState::Exited => "exited",
                };
                cbor!({"parcel" => task.clone(), "try" => *attempt, "status" => status, "cause" => t.cause}).unwrap()
            })
            .collect();
        bytes(
            &cbor!({"perch" => self.name.clone(), "addr" => self.addr.clone(), "build" => "std", "site" => self.zone.clone(),
                "loaners" => self.spot, "shift" => self.agent_epoch, "tally" => self.heartbeat_seq, "warrant" => self.fencing_token,
                "recall_s" => preemption_notice_s, "parcels" => tasks})
            .unwrap(),
        )
    }

    pub fn report_due(&mut self, now: Duration) -> Option<Vec<u8>> {
        if self.hangs.is_some() || self.flight.is_some() || now < self.next_report {
            return None;
        }
        self.flight = Some(now);
        Some(self.report(now))
    }

    /// Answer to report `heartbeat_seq`; status 0 is none. Names the tasks it starts.
    pub fn answered(&mut self, heartbeat_seq: u64, status: u16, body: &Value, now: Duration) -> Vec<(String, u32)> {
        let Some(sent) = self.flight.filter(|_| heartbeat_seq <= self.heartbeat_seq) else { return Vec::new() };
        self.flight = None;
        match status {
            200 => {
                let token = number(body, "warrant");
                if token < self.fencing_token {
                    return Vec::new();
                }
                self.fencing_token = token;
                self.lease_from = self.lease_from.max(sent);
                self.execute(body, now)
            }
            421 if !text(body, "harbor").is_empty() => {
                self.node = text(body, "harbor").trim_start_matches("perch-").parse().unwrap();
                self.next_report = now + s(0.2);
                Vec::new()
            }
            _ => {
                self.node = (self.node + 1) % self.nodes;
                self.next_report = now + s(1.0);
                Vec::new()
            }
        }
    }

    pub fn pushed(&mut self, body: &Value, now: Duration) -> (u16, Vec<u8>, Vec<(String, u32)>) {
        let token = number(body, "warrant");
        if token < self.fencing_token || number(body, "shift") != self.agent_epoch {
            return (409, self.report(now), Vec::new());
        }
        self.fencing_token = token;
        let started = self.execute(body, now);
        (200, self.report(now), started)
    }

    fn execute(&mut self, body: &Value, now: Duration) -> Vec<(String, u32)> {
        let mut started = Vec::new();
        for o in get(body, "orders").and_then(Value::as_array).cloned().unwrap_or_default() {
            let (task, attempt) = (text(&o, "parcel"), number(&o, "try"));
            let key = (task.clone(), attempt);
            let (job, index) = task.split_once('/').unwrap();
            self.next_report = self.next_report.min(now + s(0.5));
            self.commands.0 += 1;
            match text(&o, "verb").as_str() {
                "run" if self.tasks.contains_key(&key) => self.commands.1 += 1,
                "run" => {
                    let other = self.tasks.iter().any(|((p, _), t)| *p == task && t.state != TaskState::Exited);
                    let state = if other { TaskState::Exited } else { TaskState::Fetching };
                    let index = index.parse().unwrap();
                    let cause = if other { "in_use" } else { "" };
                    self.tasks.insert(
                        key,
                        Task { job: job.into(), index, state, cause, turn: now + s(self.fetch_s), misses_since: None },
                    );
                    if !other {
                        started.push((job.to_string(), index));
                    }
                }
                "kill" => {
                    if let Some(t) = self.tasks.get_mut(&key).filter(|t| t.state != TaskState::Exited) {
                        let grace_period_s = get(&o, "wind_down_s").and_then(Value::as_float).unwrap_or(0.0);
                        self.kills.push((now, t.job.clone(), grace_period_s));
                        (t.state, t.cause) = (TaskState::Exited, "stopped");
                    } else {
                        self.commands.1 += 1;
                    }
                }
                "forget" => {
                    if self.tasks.get(&key).is_some_and(|t| t.state == TaskState::Exited) {
                        self.tasks.remove(&key);
                    } else {
                        self.commands.1 += 1;
                    }
                }
                other => panic!("unknown verb {other}"),
            }
        }
        started
    }
}

/// Run time by the job's number: ids that end in 9 are services.
fn run_s(job: &str) -> f64 {
    match job.as_bytes().last() {
        Some(b'9') => 1e6,
        Some(d) => 2.0 + f64::from(d - b'0') * 2.0,
        None => 1.0,
    }
}
