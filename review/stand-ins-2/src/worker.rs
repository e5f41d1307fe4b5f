//! A worker after PROTOCOL: reports, commands, tokens, the lease, image fetches, tasks and gangs.

use crate::record::Record;
use crate::wire::{Client, Handler, decode, encode, float, get, get_int, get_list, get_text, int, map, serve, text};
use ciborium::Value;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What a user uploaded of a job, and how its tasks behave.
#[derive(Clone)]
pub struct JobInfo {
    pub form: String,
    pub parcels: u64,
    pub cores: f64,
    pub mem_gb: f64,
    pub bundle: String,
    pub size_gb: f64,
    /// How long a task runs.
    pub run_s: f64,
    /// Submitted with a mistake: every task fails on every machine.
    pub broken: bool,
}

/// The times in the settings that workers keep.
#[derive(Clone, Copy)]
pub struct Times {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
}

/// A gang's attempt.
#[derive(Default)]
struct Gang {
    ready: HashMap<String, Instant>,
    started: Option<Instant>,
    lost: Option<Instant>,
}

/// What all workers share.
pub struct World {
    pub times: Times,
    pub controllers: Vec<(String, SocketAddr)>,
    pub jobs: Mutex<HashMap<String, JobInfo>>,
    gangs: Mutex<HashMap<(String, u64), Gang>>,
    pub record: Record,
    /// Starts of tasks by job: a task starts when it begins to run.
    pub starts: Mutex<BTreeMap<String, u64>>,
    /// Completions by job.
    pub completions: Mutex<BTreeMap<String, u64>>,
}

impl World {
    pub fn new(times: Times, controllers: Vec<(String, SocketAddr)>, record: Record) -> Arc<World> {
        Arc::new(World {
            times,
            controllers,
            jobs: Mutex::default(),
            gangs: Mutex::default(),
            record,
            starts: Mutex::default(),
            completions: Mutex::default(),
        })
    }

    fn count(&self, counts: &Mutex<BTreeMap<String, u64>>, job: &str) -> u64 {
        let mut counts = counts.lock().unwrap();
        let count = counts.entry(job.to_string()).or_default();
        *count += 1;
        *count
    }

    pub fn started(&self, job: &str) -> u64 {
        self.starts.lock().unwrap().get(job).copied().unwrap_or(0)
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Fetching,
    Gathering,
    Running,
    Exited(&'static str),
}

struct Task {
    phase: Phase,
    since: Instant,
}

struct Inner {
    shift: u64,
    tally: u64,
    warrant: u64,
    tasks: BTreeMap<(String, u64), Task>,
    images: HashSet<String>,
    fetches: HashMap<String, Instant>,
    lease_from: Instant,
    changed: bool,
    token_changed: Option<Instant>,
    answers: BTreeMap<String, u64>,
    largest_report: usize,
}

/// The kind and the place of a machine.
#[derive(Clone)]
pub struct Machine {
    pub name: String,
    pub build: String,
    pub site: String,
    pub loaners: bool,
    pub cores: f64,
    pub mem_gb: f64,
    pub pull_gb_per_s: f64,
    /// The controller that it reports to first.
    pub first: usize,
}

pub struct Worker {
    pub machine: Machine,
    pub addr: SocketAddr,
    world: Arc<World>,
    inner: Mutex<Inner>,
    up: AtomicBool,
    at: Mutex<String>,
}

impl Worker {
    pub fn start(world: &Arc<World>, machine: Machine) -> Arc<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("it is bound");
        let inner = Inner {
            shift: 1,
            tally: 0,
            warrant: 0,
            tasks: BTreeMap::new(),
            images: HashSet::new(),
            fetches: HashMap::new(),
            lease_from: Instant::now(),
            changed: true,
            token_changed: None,
            answers: BTreeMap::new(),
            largest_report: 0,
        };
        let worker = Arc::new(Worker {
            machine,
            addr,
            world: world.clone(),
            inner: Mutex::new(inner),
            up: AtomicBool::new(true),
            at: Mutex::default(),
        });
        let (server, alive) = (worker.clone(), worker.clone());
        let handler: Handler = Arc::new(move |method, path, body| server.handle(method, path, body));
        serve(listener, handler, Arc::new(move || alive.is_up()));
        let (reporting, ticking) = (worker.clone(), worker.clone());
        std::thread::spawn(move || reporting.report_loop());
        std::thread::spawn(move || {
            while ticking.is_up() {
                ticking.tick();
                std::thread::sleep(Duration::from_millis(40));
            }
        });
        worker
    }

    pub fn is_up(&self) -> bool {
        self.up.load(Ordering::SeqCst)
    }

    /// The machine stops, with all that is on it.
    pub fn stop(&self) {
        self.up.store(false, Ordering::SeqCst);
        let mut inner = self.inner.lock().unwrap();
        self.kill_all(&mut inner);
    }

    /// The controller that last answered a report with status 200.
    pub fn owner(&self) -> String {
        self.at.lock().unwrap().clone()
    }

    /// The session, the answers to reports by status, and the size of the largest report (in the form of JSON).
    pub fn summary(&self) -> (u64, BTreeMap<String, u64>, usize) {
        let inner = self.inner.lock().unwrap();
        (inner.shift, inner.answers.clone(), inner.largest_report)
    }

    fn report(&self, inner: &mut Inner) -> Value {
        inner.tally += 1;
        let parcels = inner.tasks.iter().map(|((parcel, attempt), task)| {
            let (status, cause) = match task.phase {
                Phase::Fetching => ("fetching", None),
                Phase::Gathering => ("gathering", None),
                Phase::Running => ("running", None),
                Phase::Exited(cause) => ("exited", Some(cause)),
            };
            let mut entry = vec![("parcel", text(parcel)), ("try", int(*attempt)), ("status", text(status))];
            entry.extend(cause.map(|cause| ("cause", text(cause))));
            map(entry)
        });
        let parcels = Value::Array(parcels.collect());
        map(vec![
            ("perch", text(&self.machine.name)),
            ("addr", text(&self.addr.to_string())),
            ("build", text(&self.machine.build)),
            ("site", text(&self.machine.site)),
            ("loaners", Value::Bool(self.machine.loaners)),
            ("shift", int(inner.shift)),
            ("tally", int(inner.tally)),
            ("warrant", int(inner.warrant)),
            ("recall_s", Value::Null),
            ("parcels", parcels),
        ])
    }

    fn see_token(&self, inner: &mut Inner, token: u64) {
        if token > inner.warrant {
            inner.warrant = token;
            let half_lease = Duration::from_secs_f64(self.world.times.lease_s / 2.0);
            if inner.token_changed.is_none_or(|at| at.elapsed() >= half_lease) {
                inner.token_changed = Some(Instant::now());
                inner.changed = true;
            }
        }
    }

    fn handle(&self, method: &str, path: &str, body: &[u8]) -> Option<(u16, Option<Value>)> {
        let mut inner = self.inner.lock().unwrap();
        match (method, path) {
            ("GET", "/show") => Some((200, Some(self.report(&mut inner)))),
            ("POST", "/commands") => {
                let request = decode(body)?;
                let (Some(token), Some(shift)) = (get_int(&request, "warrant"), get_int(&request, "shift")) else {
                    return Some((400, None));
                };
                let accepted = token >= inner.warrant && shift == inner.shift;
                if accepted {
                    self.see_token(&mut inner, token);
                    self.execute(&mut inner, get_list(&request, "orders"));
                }
                Some((if accepted { 200 } else { 409 }, Some(self.report(&mut inner))))
            }
            _ => Some((404, None)),
        }
    }

    fn execute(&self, inner: &mut Inner, orders: &[Value]) {
        for order in orders {
            let key = (get_text(order, "parcel"), get_int(order, "try").unwrap_or(0));
            match get_text(order, "verb").as_str() {
                "run" if !inner.tasks.contains_key(&key) => {
                    let phase = self.admit(inner, &key);
                    inner.tasks.insert(key, Task { phase, since: Instant::now() });
                    inner.changed = true;
                }
                "kill" => {
                    if inner.tasks.get(&key).is_some_and(|task| !matches!(task.phase, Phase::Exited(_))) {
                        self.exit(inner, &key, "stopped");
                    }
                }
                "forget" => {
                    if inner.tasks.get(&key).is_some_and(|task| matches!(task.phase, Phase::Exited(_))) {
                        inner.tasks.remove(&key);
                        inner.changed = true;
                    }
                }
                _ => {}
            }
        }
    }

    /// The first phase of a task that is ordered to run.
    fn admit(&self, inner: &mut Inner, key: &(String, u64)) -> Phase {
        let jobs = self.world.jobs.lock().unwrap();
        let Some(job) = key.0.rsplit_once('/').and_then(|(job, _)| jobs.get(job)) else {
            return Phase::Exited("no_such");
        };
        let live = inner.tasks.iter().filter(|(_, task)| !matches!(task.phase, Phase::Exited(_)));
        let (mut cores, mut mem_gb, mut in_use) = (job.cores, job.mem_gb, false);
        for ((parcel, _), _) in live {
            in_use |= *parcel == key.0;
            if let Some(other) = parcel.rsplit_once('/').and_then(|(job, _)| jobs.get(job)) {
                cores += other.cores;
                mem_gb += other.mem_gb;
            }
        }
        if in_use {
            return Phase::Exited("in_use");
        }
        if cores > self.machine.cores + 1e-6 || mem_gb > self.machine.mem_gb + 1e-6 {
            return Phase::Exited("no_room");
        }
        if !inner.images.contains(&job.bundle) {
            let fetched_at = Instant::now() + Duration::from_secs_f64(job.size_gb / self.machine.pull_gb_per_s);
            inner.fetches.entry(job.bundle.clone()).or_insert(fetched_at);
        }
        Phase::Fetching
    }

    fn exit(&self, inner: &mut Inner, key: &(String, u64), cause: &'static str) {
        let Some(task) = inner.tasks.get_mut(key) else { return };
        let was = task.phase;
        *task = Task { phase: Phase::Exited(cause), since: Instant::now() };
        inner.changed = true;
        self.left(key, was, cause == "done");
    }

    /// Tells the task's gang that the task is gone.
    fn left(&self, key: &(String, u64), was: Phase, done: bool) {
        let job = key.0.rsplit_once('/').map_or("", |(job, _)| job).to_string();
        let mut gangs = self.world.gangs.lock().unwrap();
        let Some(gang) = gangs.get_mut(&(job, key.1)) else { return };
        match was {
            Phase::Gathering => _ = gang.ready.remove(&key.0),
            Phase::Running if !done => _ = gang.lost.get_or_insert(Instant::now()),
            _ => {}
        }
    }

    fn kill_all(&self, inner: &mut Inner) {
        for (key, task) in std::mem::take(&mut inner.tasks) {
            self.left(&key, task.phase, false);
        }
    }

    fn tick(&self) {
        let mut inner = self.inner.lock().unwrap();
        let now = Instant::now();
        if inner.lease_from.elapsed().as_secs_f64() > self.world.times.lease_s {
            let lost = inner.tasks.len();
            self.kill_all(&mut inner);
            inner.shift += 1;
            inner.lease_from = now;
            inner.changed = true;
            let shift = inner.shift;
            self.world.record.line(&format!("{}: lease over, {lost} tasks killed, session {shift}", self.machine.name));
        }
        let fetched: Vec<String> =
            inner.fetches.iter().filter(|(_, at)| **at <= now).map(|(image, _)| image.clone()).collect();
        for image in fetched {
            inner.fetches.remove(&image);
            inner.images.insert(image);
        }
        let keys: Vec<(String, u64)> = inner.tasks.keys().cloned().collect();
        for key in keys {
            self.advance(&mut inner, &key, now);
        }
    }

    fn advance(&self, inner: &mut Inner, key: &(String, u64), now: Instant) {
        let Some((phase, since)) = inner.tasks.get(key).map(|task| (task.phase, task.since)) else { return };
        let uid = key.0.rsplit_once('/').map_or("", |(job, _)| job).to_string();
        let Some(job) = self.world.jobs.lock().unwrap().get(&uid).cloned() else { return };
        let times = self.world.times;
        let elapsed_s = (now - since).as_secs_f64();
        match phase {
            Phase::Fetching if inner.images.contains(&job.bundle) => {
                if job.form == "ensemble" {
                    let mut gangs = self.world.gangs.lock().unwrap();
                    gangs.entry((uid, key.1)).or_default().ready.insert(key.0.clone(), now);
                    inner.tasks.insert(key.clone(), Task { phase: Phase::Gathering, since: now });
                } else {
                    self.run(inner, key, &uid, now);
                }
                inner.changed = true;
            }
            Phase::Gathering => {
                let started = {
                    let mut gangs = self.world.gangs.lock().unwrap();
                    let gang = gangs.entry((uid.clone(), key.1)).or_default();
                    if gang.started.is_none() && gang.ready.len() as u64 == job.parcels {
                        gang.started = Some(now);
                    }
                    gang.started.is_some()
                };
                if started {
                    self.run(inner, key, &uid, now);
                    inner.changed = true;
                } else if elapsed_s > times.gang_wait_s {
                    self.exit(inner, key, "alone");
                }
            }
            Phase::Running => {
                let gang_lost = {
                    let gangs = self.world.gangs.lock().unwrap();
                    gangs.get(&(uid.clone(), key.1)).and_then(|gang| gang.lost)
                };
                if gang_lost.is_some_and(|at| (now - at).as_secs_f64() > times.gang_peer_s / 2.0) {
                    self.exit(inner, key, "peers");
                } else if job.broken && elapsed_s > 0.2 {
                    self.exit(inner, key, "error");
                    self.world.record.line(&format!("{}: {} try {} failed", self.machine.name, key.0, key.1));
                } else if job.form != "standing" && gang_lost.is_none() && elapsed_s > job.run_s {
                    self.exit(inner, key, "done");
                    let count = self.world.count(&self.world.completions, &uid);
                    if job.parcels <= 20 || count.is_multiple_of(500) {
                        let line = format!("{}: {} try {} done ({count} of the job)", self.machine.name, key.0, key.1);
                        self.world.record.line(&line);
                    }
                }
            }
            _ => {}
        }
    }

    fn run(&self, inner: &mut Inner, key: &(String, u64), uid: &str, now: Instant) {
        inner.tasks.insert(key.clone(), Task { phase: Phase::Running, since: now });
        let parcels = self.world.jobs.lock().unwrap().get(uid).map_or(0, |job| job.parcels);
        let count = self.world.count(&self.world.starts, uid);
        if parcels <= 20 || count.is_multiple_of(500) {
            let line = format!("{}: {} try {} runs ({count} starts of the job)", self.machine.name, key.0, key.1);
            self.world.record.line(&line);
        }
    }

    fn report_loop(&self) {
        let times = self.world.times;
        let mut client = Client::default();
        let mut node = self.machine.first % self.world.controllers.len();
        let mut jitter: u64 = self.machine.name.bytes().map(u64::from).sum();
        while self.is_up() {
            let (body, sent, shift) = {
                let mut inner = self.inner.lock().unwrap();
                inner.changed = false;
                let report = self.report(&mut inner);
                inner.largest_report = inner.largest_report.max(crate::wire::json_len(&report));
                (encode(&report), Instant::now(), inner.shift)
            };
            let answer = client.send(self.world.controllers[node].1, "POST", "/checkin", &body, Duration::from_secs(4));
            if !self.is_up() {
                return;
            }
            let status = answer.as_ref().map_or("none".to_string(), |answer| answer.status.to_string());
            *self.inner.lock().unwrap().answers.entry(status).or_default() += 1;
            match answer {
                Some(answer) if answer.status == 200 => {
                    *self.at.lock().unwrap() = self.world.controllers[node].0.clone();
                    let mut inner = self.inner.lock().unwrap();
                    let token = get_int(&answer.body, "warrant");
                    if let Some(token) = token.filter(|token| *token >= inner.warrant && shift == inner.shift) {
                        self.see_token(&mut inner, token);
                        inner.lease_from = sent;
                        self.execute(&mut inner, get_list(&answer.body, "orders"));
                    }
                }
                Some(answer) if answer.status == 421 => {
                    let harbor = get(&answer.body, "harbor").and_then(Value::as_text).map(str::to_string);
                    let named = harbor.and_then(|name| self.world.controllers.iter().position(|c| c.0 == name));
                    client = Client::default();
                    match named.filter(|named| *named != node) {
                        Some(named) => {
                            node = named;
                            std::thread::sleep(Duration::from_millis(250));
                        }
                        None => {
                            node = (node + 1) % self.world.controllers.len();
                            std::thread::sleep(Duration::from_secs(1));
                        }
                    }
                    continue;
                }
                _ => {
                    client = Client::default();
                    node = (node + 1) % self.world.controllers.len();
                    std::thread::sleep(Duration::from_secs(1));
                    continue;
                }
            }
            jitter = jitter.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let factor = 0.75 + 0.5 * ((jitter >> 40) as f64 / (1u64 << 24) as f64);
            let due = Duration::from_secs_f64(times.report_s * factor);
            while self.is_up() && sent.elapsed() < due {
                if self.inner.lock().unwrap().changed && sent.elapsed() >= Duration::from_millis(500) {
                    break;
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        }
    }
}

/// A job as users submit it.
pub fn submission(uid: &str, class: &str, team: &str, info: &JobInfo, more: Vec<(&str, Value)>) -> Value {
    let mut body = vec![
        ("uid", text(uid)),
        ("docket", text(class)),
        ("desk", text(team)),
        ("form", text(&info.form)),
        ("urgency", text("standard")),
        ("parcels", int(info.parcels)),
        ("cores", float(info.cores)),
        ("gpus", float(0.0)),
        ("mem_gb", float(info.mem_gb)),
        ("bundle", text(&info.bundle)),
        ("size_gb", float(info.size_gb)),
        ("builds", Value::Null),
        ("site", Value::Null),
        ("together", Value::Bool(false)),
        ("apart", Value::Bool(false)),
        ("loaners", Value::Bool(false)),
        ("expected_s", float(if info.form == "standing" { 0.0 } else { info.run_s })),
        ("stamp_every_s", float(0.0)),
        ("stamp_s", float(0.0)),
        ("due_s", Value::Null),
    ];
    for (key, value) in more {
        match body.iter_mut().find(|(name, _)| *name == key) {
            Some(entry) => entry.1 = value,
            None => body.push((key, value)),
        }
    }
    map(body)
}
