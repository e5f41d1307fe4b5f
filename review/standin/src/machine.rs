//! A machine of the cloud with its worker, as PROTOCOL describes it (jobs without gangs; saved
//! progress is not counted).

use crate::cbor::Value;
use crate::http::{Answer, Request, call, serve};
use crate::map;
use crate::world::World;
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Kind {
    pub build: String,
    pub site: String,
    pub spot: bool,
    pub cores: f64,
    pub mem_gb: f64,
    pub pull_gb_per_s: f64,
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Fetching,
    Running(Instant),
    /// Saves until this time.
    Saving(Instant),
    Exited(&'static str),
}

struct Task {
    phase: Phase,
    image: String,
    cores: f64,
    mem_gb: f64,
    run_s: Option<f64>,
    /// How long the task needs to save when it is stopped; `None` if it does not save.
    save_s: Option<f64>,
    kept: bool,
}

impl Task {
    /// Whether the task is on the machine, in the sense of the aims.
    fn is_on(&self) -> bool {
        matches!(self.phase, Phase::Running(_) | Phase::Saving(_))
    }
}

struct Worker {
    shift: u64,
    tally: u64,
    warrant: u64,
    recall_at: Option<Instant>,
    tasks: BTreeMap<(String, u64), Task>,
    /// When each image is there.
    images: HashMap<String, Instant>,
    /// When the last answered report was sent, or when the session began.
    renewed_at: Instant,
    changed: bool,
}

/// Delays on the link between the controllers and this machine.
#[derive(Clone, Copy, Default)]
pub struct Link {
    /// Delay of the answer to a direct command.
    pub command_answer: Duration,
    /// Delay of the answer to a report.
    pub report_answer: Duration,
}

pub struct Machine {
    pub name: String,
    pub addr: SocketAddr,
    pub kind: Kind,
    pub rented_at: Instant,
    pub gone: AtomicBool,
    pub link: Mutex<Link>,
    /// While set, reports are written to the network but held back there.
    pub cut: AtomicBool,
    /// Reports that were answered.
    pub answered: AtomicU64,
    worker: Mutex<Worker>,
    world: Arc<World>,
    /// Called after direct commands have been executed, before they are answered.
    pub on_commands: Mutex<Option<Box<dyn Fn(&Machine, &[Value]) + Send>>>,
}

/// A worker drops an answer that comes later than this.
const ANSWER_LIMIT: Duration = Duration::from_secs(4);
const CHANGE_INTERVAL: Duration = Duration::from_millis(500);

impl Machine {
    pub fn start(name: &str, kind: Kind, images: &[&str], world: &Arc<World>) -> Arc<Machine> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let now = Instant::now();
        let machine = Arc::new(Machine {
            name: name.into(),
            addr: listener.local_addr().expect("an address"),
            kind,
            rented_at: now,
            gone: AtomicBool::new(false),
            link: Mutex::default(),
            cut: AtomicBool::new(false),
            answered: AtomicU64::new(0),
            worker: Mutex::new(Worker {
                shift: 1,
                tally: 0,
                warrant: 0,
                recall_at: None,
                tasks: BTreeMap::new(),
                images: images.iter().map(|image| (image.to_string(), now)).collect(),
                renewed_at: now,
                changed: false,
            }),
            world: world.clone(),
            on_commands: Mutex::default(),
        });
        world.note(format!(
            "machine {name} is up ({}, {}, spot {})",
            machine.kind.build, machine.kind.site, machine.kind.spot
        ));
        let served = machine.clone();
        serve(listener, move |request| served.handle(&request));
        let ticking = machine.clone();
        std::thread::spawn(move || {
            while !ticking.gone.load(Ordering::Relaxed) {
                ticking.tick();
                std::thread::sleep(Duration::from_millis(5));
            }
        });
        let reporting = machine.clone();
        std::thread::spawn(move || reporting.report_on());
        machine
    }

    /// The cloud takes the machine away, with all that is on it.
    pub fn remove(&self) {
        if self.gone.swap(true, Ordering::Relaxed) {
            return;
        }
        self.world.note(format!("machine {} is gone", self.name));
        self.end_tasks("machine gone");
    }

    /// The cloud announces that it will take the machine away.
    pub fn recall(&self, notice: Duration) {
        let mut worker = self.worker.lock().unwrap();
        worker.recall_at = Some(Instant::now() + notice);
        worker.changed = true;
        self.world.note(format!("machine {} has notice: {:.0} s", self.name, notice.as_secs_f64()));
    }

    fn end_tasks(&self, why: &str) {
        let tasks = std::mem::take(&mut self.worker.lock().unwrap().tasks);
        for ((task, attempt), it) in tasks {
            if it.is_on() {
                self.world.task_off(&task, attempt, &self.name, why);
            }
        }
    }

    /// Fetches end, tasks complete, the lease expires.
    fn tick(&self) {
        let now = Instant::now();
        let lease = Duration::from_secs_f64(self.world.workers.lease_s);
        let mut worker = self.worker.lock().unwrap();
        if now.duration_since(worker.renewed_at) > lease {
            worker.shift += 1;
            worker.tally = 0;
            worker.renewed_at = now;
            worker.changed = true;
            self.world.note(format!("machine {}: lease expired, session {} begins", self.name, worker.shift));
            drop(worker);
            return self.end_tasks("lease expired");
        }
        self.start_ready(&mut worker);
        let Worker { tasks, changed, .. } = &mut *worker;
        for ((task, attempt), it) in tasks.iter_mut() {
            match it.phase {
                Phase::Running(since)
                    if it.run_s.is_some_and(|run_s| now.duration_since(since).as_secs_f64() >= run_s) =>
                {
                    it.phase = Phase::Exited("done");
                    *changed = true;
                    self.world.done.lock().unwrap().insert(task.clone());
                    self.world.task_off(task, *attempt, &self.name, "done");
                }
                Phase::Saving(until) if until <= now => {
                    (it.phase, it.kept, *changed) = (Phase::Exited("stopped"), true, true);
                    self.world.task_off(task, *attempt, &self.name, "stopped, saved");
                }
                _ => {}
            }
        }
    }

    fn report(&self, worker: &mut Worker) -> Value {
        worker.tally += 1;
        let tasks: Vec<Value> = worker
            .tasks
            .iter()
            .map(|((task, attempt), it)| match it.phase {
                Phase::Fetching => map! {"parcel" => task.clone(), "try" => *attempt, "status" => "fetching"},
                Phase::Running(_) => map! {"parcel" => task.clone(), "try" => *attempt, "status" => "running"},
                Phase::Saving(_) => map! {"parcel" => task.clone(), "try" => *attempt, "status" => "saving"},
                Phase::Exited(cause) => {
                    map! {"parcel" => task.clone(), "try" => *attempt, "status" => "exited", "cause" => cause, "kept" => it.kept.then_some(true)}
                }
            })
            .collect();
        let recall_s = worker.recall_at.map(|at| at.saturating_duration_since(Instant::now()).as_secs_f64());
        map! {
            "perch" => self.name.clone(), "addr" => self.addr.to_string(), "build" => self.kind.build.clone(),
            "site" => self.kind.site.clone(), "loaners" => self.kind.spot, "shift" => worker.shift,
            "tally" => worker.tally, "warrant" => worker.warrant, "recall_s" => recall_s, "parcels" => tasks,
        }
    }

    fn execute(&self, worker: &mut Worker, orders: &[Value]) {
        for order in orders {
            let (task, attempt) = (order.get("parcel").text().to_string(), order.get("try").int());
            let key = (task.clone(), attempt);
            match order.get("verb").text() {
                "run" => self.run(worker, key),
                "kill" => {
                    if let Some(it) = worker.tasks.get_mut(&key).filter(|it| !matches!(it.phase, Phase::Exited(_))) {
                        let grace_s = order.get("wind_down_s").num();
                        match it.save_s {
                            Some(save_s) if matches!(it.phase, Phase::Running(_)) && grace_s >= save_s => {
                                it.phase = Phase::Saving(Instant::now() + Duration::from_secs_f64(save_s));
                            }
                            Some(_) if matches!(it.phase, Phase::Saving(_)) && grace_s > 0.0 => {}
                            _ => {
                                if it.is_on() {
                                    self.world.task_off(&task, attempt, &self.name, "stopped");
                                }
                                it.phase = Phase::Exited("stopped");
                            }
                        }
                        worker.changed = true;
                    }
                }
                "forget" => {
                    if worker.tasks.get(&key).is_some_and(|it| matches!(it.phase, Phase::Exited(_))) {
                        worker.tasks.remove(&key);
                        worker.changed = true;
                    }
                }
                _ => {}
            }
        }
    }

    fn run(&self, worker: &mut Worker, key: (String, u64)) {
        if worker.tasks.contains_key(&key) {
            return;
        }
        let job = key.0.split('/').next().unwrap_or("").to_string();
        let spec = self.world.jobs.lock().unwrap().get(&job).cloned().unwrap_or(Value::Null);
        let is_alive = |it: &Task| !matches!(it.phase, Phase::Exited(_));
        let alive = || worker.tasks.values().filter(|it| is_alive(it));
        let (cores, mem_gb) = (spec.get("cores").num(), spec.get("mem_gb").num());
        let fits = alive().map(|it| it.cores).sum::<f64>() + cores <= self.kind.cores + 1e-6
            && alive().map(|it| it.mem_gb).sum::<f64>() + mem_gb <= self.kind.mem_gb + 1e-6;
        let is_busy = worker.tasks.iter().any(|(other, it)| other.0 == key.0 && is_alive(it));
        let image = spec.get("bundle").text().to_string();
        let phase = match () {
            _ if spec.is_null() => Phase::Exited("no_such"),
            _ if is_busy => Phase::Exited("in_use"),
            _ if !fits => Phase::Exited("no_room"),
            _ => Phase::Fetching,
        };
        if phase == Phase::Fetching {
            let fetch = (spec.get("size_gb").num() / self.kind.pull_gb_per_s).min(1e6);
            worker.images.entry(image.clone()).or_insert(Instant::now() + Duration::from_secs_f64(fetch));
        }
        let run_s = self.world.run_s.lock().unwrap().get(&job).copied();
        let save_s = (spec.get("stamp_every_s").num() > 0.0).then(|| spec.get("stamp_s").num());
        worker.tasks.insert(key, Task { phase, image, cores, mem_gb, run_s, save_s, kept: false });
        worker.changed = true;
        self.start_ready(worker);
    }

    /// Starts the tasks whose image is there.
    fn start_ready(&self, worker: &mut Worker) {
        let now = Instant::now();
        let Worker { tasks, images, changed, .. } = worker;
        for ((task, attempt), it) in tasks.iter_mut() {
            if it.phase != Phase::Fetching || images.get(&it.image).is_none_or(|ready| *ready > now) {
                continue;
            }
            *changed = true;
            it.phase = Phase::Running(now);
            self.world.task_on(task, *attempt, &self.name);
            if self.world.done.lock().unwrap().contains(task) {
                it.phase = Phase::Exited("done");
                self.world.task_off(task, *attempt, &self.name, "done before");
            }
        }
    }

    /// Direct commands and questions of controllers.
    fn handle(&self, request: &Request) -> Answer {
        if self.gone.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_secs(600)); // without power: says nothing
        }
        if request.route() == "/show" {
            return (200, self.report(&mut self.worker.lock().unwrap()));
        }
        if request.route() != "/commands" {
            return (404, Value::Null);
        }
        let body = &request.body;
        if body.get("warrant").is_null() || body.get("shift").is_null() {
            return (400, Value::Null);
        }
        let answer = {
            let mut worker = self.worker.lock().unwrap();
            let warrant = body.get("warrant").int();
            if warrant < worker.warrant || body.get("shift").int() != worker.shift {
                (409, self.report(&mut worker))
            } else {
                worker.changed |= warrant > worker.warrant;
                worker.warrant = warrant;
                self.note_orders("command", body.get("orders").list());
                self.execute(&mut worker, body.get("orders").list());
                (200, self.report(&mut worker))
            }
        };
        if let Some(hook) = &*self.on_commands.lock().unwrap() {
            hook(self, body.get("orders").list());
        }
        let delay = self.link.lock().unwrap().command_answer;
        if !delay.is_zero() {
            std::thread::sleep(delay);
            self.world.note(format!(
                "machine {}: the answer to its command is delivered, {:.1} s late",
                self.name,
                delay.as_secs_f64()
            ));
        }
        answer
    }

    fn note_orders(&self, how: &str, orders: &[Value]) {
        for order in orders {
            let text = |key: &str| order.get(key).text();
            self.world.note(format!(
                "machine {} gets by {how}: {} {} attempt {}",
                self.name,
                text("verb"),
                text("parcel"),
                order.get("try").int()
            ));
        }
    }

    /// Sends reports, one at a time, to one controller.
    fn report_on(&self) {
        let (mut node, mut kept) = (self.name.len() + self.name.bytes().last().unwrap_or(0) as usize, None);
        let mut turn = 0u32;
        let mut sent_at: Option<Instant> = None;
        while !self.gone.load(Ordering::Relaxed) {
            // The interval varies by up to a quarter.
            let factor = 0.8 + 0.4 * f64::from(turn.wrapping_mul(2654435761) >> 16) / 65536.0;
            let interval = Duration::from_secs_f64(self.world.workers.report_s * factor);
            let since = sent_at.map_or(Duration::MAX, |at| at.elapsed());
            let (shift, body) = {
                let mut worker = self.worker.lock().unwrap();
                if since < interval && !(worker.changed && since >= CHANGE_INTERVAL) {
                    drop(worker);
                    std::thread::sleep(Duration::from_millis(5));
                    continue;
                }
                worker.changed = false;
                (worker.shift, self.report(&mut worker))
            };
            turn = turn.wrapping_add(1);
            let now = Instant::now();
            sent_at = Some(now);
            let count = self.world.nodes.len();
            let address = self.world.nodes[node % count].1;
            let result = call(&mut kept, address, "POST", "/checkin", Some(&body), ANSWER_LIMIT);
            let delay = self.link.lock().unwrap().report_answer;
            if !delay.is_zero() && matches!(result, Ok((200, _))) {
                std::thread::sleep(delay);
                self.world.note(format!(
                    "machine {}: the answer to its report is delivered, {:.1} s late",
                    self.name,
                    delay.as_secs_f64()
                ));
            }
            match result {
                Ok((200, answer)) if now.elapsed() < ANSWER_LIMIT => {
                    self.answered.fetch_add(1, Ordering::Relaxed);
                    let mut worker = self.worker.lock().unwrap();
                    let warrant = answer.get("warrant").int();
                    if worker.shift == shift && !answer.get("warrant").is_null() && warrant >= worker.warrant {
                        // A higher token counts as a change no more than once in half a lease; it is not
                        // reported early here.
                        worker.warrant = warrant;
                        worker.renewed_at = worker.renewed_at.max(now);
                        self.note_orders("answer", answer.get("orders").list());
                        self.execute(&mut worker, answer.get("orders").list());
                    }
                }
                Ok((421, answer)) => {
                    kept = None;
                    let harbor = answer.get("harbor").text();
                    let target =
                        self.world.nodes.iter().position(|(name, _)| name == harbor).filter(|to| *to != node % count);
                    match target {
                        Some(target) => node = target,
                        None => {
                            std::thread::sleep(Duration::from_secs(1));
                            node += 1;
                        }
                    }
                    sent_at = None;
                }
                _ => {
                    kept = None;
                    std::thread::sleep(Duration::from_secs(1));
                    node += 1;
                    sent_at = None;
                }
            }
        }
    }
}
