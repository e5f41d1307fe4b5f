//! A whole small deployment on a fake clock: a few controllers (the real
//! logic), and stand-ins for the state service, the cloud, workers and users.
//! Every step checks the rules; a broken one panics with the seed.

mod capacity;
pub mod cloud;
pub mod digest;
pub mod store;
mod users;
pub mod worker;

use ciborium::Value;
use cloud::Cloud;
use digest::{Origin, Recorder, Request};
use finchquay::controller::Controller;
use finchquay::effects::{Action, Event, NoAnswer, Reply, Target};
use finchquay::protocol::peer;
use finchquay::settings::{Operator, Settings};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::time::Duration;
use store::Store;
use users::Asked;
pub use users::CloseLooks;
use worker::{TaskState, Worker};

pub const REPORT_S: f64 = 2.0;
pub const LEASE_S: f64 = 18.0;
pub const CANCEL_S: f64 = 48.0;
pub const GANG_WAIT_S: f64 = 6.0;
pub const GANG_PEER_S: f64 = 4.0;
/// Reports that are kept for the next leader at most.
const MOST_KEPT: usize = 200;

pub fn bytes(v: &Value) -> Vec<u8> {
    let mut out = Vec::new();
    ciborium::into_writer(v, &mut out).unwrap();
    out
}

pub fn value(b: &[u8]) -> Value {
    ciborium::from_reader(b).unwrap_or(Value::Null)
}

pub fn get<'a>(v: &'a Value, name: &str) -> Option<&'a Value> {
    v.as_map()?.iter().find(|(k, _)| k.as_text() == Some(name)).map(|(_, v)| v)
}

pub fn text(v: &Value, name: &str) -> String {
    get(v, name).and_then(Value::as_text).unwrap_or("").to_string()
}

pub fn number(v: &Value, name: &str) -> u64 {
    get(v, name).and_then(Value::as_integer).map_or(0, |n| u64::try_from(i128::from(n)).unwrap_or(0))
}

/// What is known to users of one job.
#[derive(Debug, Clone, Default)]
pub struct Job {
    pub standing: bool,
    pub gang: bool,
    pub zone_affinity: bool,
    pub zone_anti_affinity: bool,
    /// Less urgent than all others.
    pub idle: bool,
    /// Of a class that shall be over within 40 s.
    pub aimed: bool,
    pub gpus: f64,
    pub tasks: u32,
    pub cores: f64,
    pub run_s: f64,
    pub team: String,
    /// The only zone in which its tasks may start.
    pub zone: Option<&'static str>,
    pub submitted: bool,
    pub accepted: bool,
    pub cancel_asked: bool,
    pub cancelled_at: Option<Duration>,
    /// Its user reaches this node alone.
    pub via: Option<usize>,
    pub done: BTreeSet<u32>,
    pub confirmed_done: bool,
    pub running: u32,
    /// Since when a task of it waits though there is room, by `capacity`.
    pub waits_since: Option<Duration>,
}

enum Source {
    Worker(String, u64),
    User(Asked),
    /// A report that was sent before; nobody waits for the answer.
    Copy,
}

enum Ev {
    Nature,
    Tick(usize, u64),
    Answer(usize, u64, Result<Reply, NoAnswer>),
    Call(usize, u64, Box<Action>),
    Request(usize, u64),
    Copy(usize, Vec<u8>),
    /// A transaction is carried out that nobody waits for any more.
    Write(Value),
    /// Direct commands that were held up come to a worker.
    Push(String, Value),
    Reply(u64, u16, Vec<u8>),
    Timeout(u64),
    PeerHeartbeat(usize, String, finchquay::protocol::peer::Frame),
    Restart(usize),
    Crash(usize, u64),
    User(String),
    Do(Box<dyn FnOnce(&mut World)>),
}

pub struct Node {
    pub logic: Option<Controller>,
    pub life: u64,
    /// The state service refuses this node, or nothing reaches it.
    pub refused: bool,
    /// Nothing passes between this node and the workers.
    pub deaf: bool,
    /// Nothing passes between it and the state service; what it writes is held.
    pub store_cut: bool,
    /// What it asks of the state service is done, and the answers are lost.
    pub answers_lost: bool,
    /// Workers' reports that it answered.
    pub served: u32,
    held: Vec<Value>,
    /// It stands still: what came meanwhile waits, its clock runs on.
    waits: Option<Vec<Event>>,
}

struct Pending {
    source: Source,
    node: usize,
    life: u64,
    request: (String, String, Vec<u8>),
    /// What had been told of the job when this was sent.
    floor: users::Told,
}

pub struct World {
    size: Size,
    pub now: Duration,
    pub rng: StdRng,
    pub seed: u64,
    /// What the controllers emit, where it is compared with what they emitted before.
    recorder: Recorder,
    queue: BTreeMap<(Duration, u64), Ev>,
    order: u64,
    pub nodes: Vec<Node>,
    pub store: Store,
    pub cloud: Cloud,
    pub workers: BTreeMap<String, Worker>,
    pub jobs: BTreeMap<String, Job>,
    pending: BTreeMap<u64, Pending>,
    next_conn: u64,
    starts: BTreeMap<usize, Duration>,
    /// The operator's file, read by each process as it starts.
    pub operator: Operator,
    pub restart_s: f64,
    /// Where set, restarts take a time drawn from this, in seconds, instead.
    pub restart_between: Option<(f64, f64)>,
    /// Until then a process may end in the middle of an exchange with the state
    /// service: after a transaction, a load, a watch or a barrier went out and before
    /// or after its answer came.
    pub frail_until: Duration,
    /// Crashes of that kind so far.
    pub broke: u32,
    /// No beat passes from the first to the second.
    pub peers_cut: BTreeSet<(usize, usize)>,
    /// Such a part of reports comes once more, to any node, between so many seconds
    /// later.
    pub copies: Option<(f64, (f64, f64))>,
    /// Such a part of transactions gets no answer, and is carried out so many seconds
    /// later, after newer ones.
    pub late_writes: Option<(f64, (f64, f64))>,
    /// Such a part of direct commands is held up for so many seconds, and then carried
    /// out; their answers are lost.
    pub late_pushes: Option<(f64, (f64, f64))>,
    /// Of those that came late, the ones that were carried out and that were refused.
    pub came_pushed: (u32, u32),
    /// Such a part of transactions is carried out at once, and its answer comes so many
    /// seconds late; after the controller's time-out, not at all.
    pub late_answers: Option<(f64, (f64, f64))>,
    /// Such a part of what watches show is on its way for so many seconds more, and then
    /// says how things stood when it was sent.
    pub slow_watches: Option<(f64, (f64, f64))>,
    /// All messages take so many seconds more.
    pub slow_links: Option<(f64, f64)>,
    /// So many seconds transactions are on their way to the state service.
    pub slow_writes: f64,
    /// When each node told a user that its submission is accepted.
    pub accepted: Vec<(Duration, usize)>,
    /// Requests of users that got no answer within their time.
    pub unanswered: u32,
    /// Such a part of reports is kept, and comes to every controller once more as soon as
    /// another leader begins.
    pub copies_for_next: Option<f64>,
    kept: Vec<Vec<u8>>,
    /// The next report of each of these machines is held back, its own call and no copy,
    /// until another leader has begun and up to so many seconds more.
    pub hold_for_next: BTreeMap<String, f64>,
    held_calls: Vec<(u64, usize, Vec<u8>, f64)>,
    /// Of those that came, the ones that their machine still waited for, and the rest.
    pub came_held: (u32, u32),
    /// The term that the last kept reports were handed over in.
    kept_until: u64,
    /// Reports that came once more to a leader's beginning.
    pub came_for_next: u32,
    /// What users ask of all nodes at once right after they were told something.
    pub close_looks: Option<CloseLooks>,
    /// Answers to these that were held against what had been told before.
    pub looked: u32,
    /// Such a part of jobs is called off at the moment at which its last task ends.
    pub cancel_at_end: Option<f64>,
    /// So many odd requests come each second.
    pub odd_requests: f64,
    /// Odd requests that were refused for good, as they must be.
    pub odd_refused: u32,
    /// Starts of tasks whose job had been confirmed as cancelled.
    pub started_cancelled: u32,
    /// The longest time from a confirmation to an order to start one, as it was sent: a
    /// command may be held up, but nobody may order more once the watch has told it.
    pub ordered_late: Duration,
    /// Since when no trouble is left: then no job waits beside room.
    pub calm_since: Option<Duration>,
    /// Late transactions that were carried out and that were refused, by the kind of
    /// the first key that they put.
    pub came_late: BTreeMap<String, (u32, u32)>,
    /// Starts of tasks that had completed before.
    pub run_again: u32,
    /// Such a part of beats comes so many seconds late, after newer ones.
    pub late_heartbeats: Option<(f64, (f64, f64))>,
    /// What came back last to questions of the test's own, by job and node.
    pub asked: BTreeMap<(String, usize), u16>,
    /// Requests that controllers sent: to whom, method and path.
    pub requests_sent: BTreeSet<(&'static str, &'static str, String)>,
    /// Tasks that ran on machines which were returned though some controller
    /// could have heard them.
    pub lost_alive: usize,
}

/// Whom a controller calls, by a name that does not depend on the code's.
fn target_name(target: &Target) -> String {
    match target {
        Target::State => "state".to_string(),
        Target::Cloud => "cloud".to_string(),
        Target::Worker(address) => address.to_string(),
    }
}

pub fn s(x: f64) -> Duration {
    Duration::from_secs_f64(x)
}

fn settings(node: usize, size: Size) -> Settings {
    let mut t = format!(
        "member = \"perch-{node}\"\nzone = \"a\"\npublic_addr = \"10.0.0.{0}:8080\"\npeer_bind = \"10.0.0.{0}:8081\"\n",
        node + 1
    );
    for o in (0..size.controllers).filter(|o| *o != node) {
        t += &format!("[[others]]\nmember = \"perch-{o}\"\nzone = \"a\"\npeer_addr = \"10.0.0.{}:8081\"\n", o + 1);
    }
    t += "[outside]\ncloud = \"10.2.0.2:8443\"\nstate = \"10.2.0.1:2379\"\n[settings]\nzones = [\"a\", \"b\"]\n";
    t += &format!(
        "[[settings.teams]]\nname = \"free\"\ncpus_max = {:.1}\n[[settings.teams]]\nname = \"capped\"\ncpus_max = {:.1}\n",
        size.free_max, size.team_max
    );
    t += "[[settings.objectives]]\nkind = \"wait\"\nclass = \"web\"\nwithin_s = 6.0\nshare = 0.9\n";
    t += "[[settings.objectives]]\nkind = \"finished\"\nclass = \"report\"\nwithin_s = 40.0\nshare = 0.9\n";
    t += &format!(
        "[settings.workers]\nreport_s = {REPORT_S}\nlease_s = {LEASE_S}\ngang_wait_s = {GANG_WAIT_S:.1}\ngang_peer_s = {GANG_PEER_S:.1}\ncancel_s = {CANCEL_S}\n"
    );
    t += &format!(
        "[settings.state]\nrps = 200.0\nwrite_rps = {:.1}\nvalue_kb = 8.0\ntxn_ops = {}\n",
        size.write_rps, size.txn_ops
    );
    t += "[settings.cloud]\nrps = 3.0\nlist_lag_s = 8.0\n";
    t += "[settings.machine_limits]\ncore_share = 0.08\nram_mb = 56.0\nmax_connections = 800\n";
    Settings::parse(&t, Path::new("world")).unwrap()
}

/// What most worlds have.
pub const SMALL: Size = Size {
    controllers: 3,
    machines: 4,
    write_rps: 80.0,
    txn_ops: 32,
    free_max: 0.0,
    team_max: 8.0,
    zones: &["a"],
    fetch_s: 0.5,
};

/// How large a world is, and what the store allows.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub controllers: usize,
    pub machines: u32,
    pub write_rps: f64,
    pub txn_ops: usize,
    /// CPUs that the team `free` may use; 0 is no limit.
    pub free_max: f64,
    /// CPUs that the team `capped` may use.
    pub team_max: f64,
    pub zones: &'static [&'static str],
    /// Images take up to this long, differently on each machine.
    pub fetch_s: f64,
}

impl World {
    /// Three controllers and `machines` machines that are up.
    pub fn new(seed: u64, machines: u32) -> World {
        World::sized(seed, Size { controllers: 3, machines, write_rps: 80.0, txn_ops: 32, team_max: 8.0, ..SMALL })
    }

    pub fn sized(seed: u64, size: Size) -> World {
        let mut w = World {
            size,
            now: Duration::ZERO,
            rng: StdRng::seed_from_u64(seed),
            seed,
            recorder: Recorder::new(seed),
            queue: BTreeMap::new(),
            order: 0,
            nodes: Vec::new(),
            store: Store::new(size.write_rps, size.txn_ops),
            cloud: Cloud::default(),
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            pending: BTreeMap::new(),
            next_conn: 1,
            starts: BTreeMap::new(),
            operator: Operator::default(),
            restart_s: 3.0,
            restart_between: None,
            frail_until: Duration::ZERO,
            broke: 0,
            peers_cut: BTreeSet::new(),
            copies: None,
            late_writes: None,
            late_pushes: None,
            came_pushed: (0, 0),
            late_answers: None,
            slow_watches: None,
            slow_links: None,
            slow_writes: 0.0,
            accepted: Vec::new(),
            unanswered: 0,
            copies_for_next: None,
            kept: Vec::new(),
            hold_for_next: BTreeMap::new(),
            held_calls: Vec::new(),
            came_held: (0, 0),
            kept_until: 0,
            came_for_next: 0,
            close_looks: None,
            looked: 0,
            cancel_at_end: None,
            odd_requests: 0.0,
            odd_refused: 0,
            started_cancelled: 0,
            ordered_late: Duration::ZERO,
            calm_since: None,
            came_late: BTreeMap::new(),
            run_again: 0,
            late_heartbeats: None,
            asked: BTreeMap::new(),
            requests_sent: BTreeSet::new(),
            lost_alive: 0,
        };
        for i in 0..size.controllers {
            w.nodes.push(Node {
                logic: None,
                life: 0,
                refused: false,
                deaf: false,
                store_cut: false,
                answers_lost: false,
                served: 0,
                held: Vec::new(),
                waits: None,
            });
            w.boot(i);
        }
        w.cloud.zones = size.zones.to_vec();
        w.at(0.0, Ev::Nature);
        for i in 0..size.machines {
            let zone = size.zones[i as usize % size.zones.len()];
            let name = w.cloud.create(Duration::ZERO, "std", zone, false);
            w.add_worker(&name);
        }
        w
    }

    fn boot(&mut self, i: usize) {
        let incarnation = self.rng.random();
        self.nodes[i].life += 1;
        let set = Settings { operator: self.operator.clone(), ..settings(i, self.size) };
        let c = Controller::new(set, incarnation, self.now + s(1e9));
        self.nodes[i].logic = Some(c);
        // The controller's clock starts with the process.
        self.starts.insert(i, self.now);
        let life = self.nodes[i].life;
        self.at(0.01, Ev::Tick(i, life));
    }

    /// Whoever leads ends, or the first where nobody does.
    pub fn crash_leader(&mut self) {
        let leader = self.store.leader().unwrap_or(0);
        self.crash(leader);
    }

    pub fn crash(&mut self, i: usize) {
        self.nodes[i].logic = None;
        self.nodes[i].waits = None;
        self.nodes[i].life += 1;
        let after = match self.restart_between {
            Some((from, to)) => self.rng.random_range(from..to),
            None => self.restart_s,
        };
        self.at(after, Ev::Restart(i));
    }

    /// Whether the node ends soon after this call went out: writes are rarer than reads
    /// and matter more.
    fn breaks(&mut self, i: usize, action: &Action) {
        if self.now >= self.frail_until {
            return;
        }
        let Action::Call { target: Target::State, path, .. } = action else { return };
        let part = if path == "/multi" { 0.02 } else { 0.002 };
        if self.rng.random_bool(part) {
            let after = self.rng.random_range(0.0..0.015);
            let life = self.nodes[i].life;
            self.at(after, Ev::Crash(i, life));
        }
    }

    fn at(&mut self, delay_s: f64, ev: Ev) {
        self.order += 1;
        self.queue.insert((self.now + s(delay_s), self.order), ev);
    }

    pub fn later(&mut self, at_s: f64, f: impl FnOnce(&mut World) + 'static) {
        let delay = (s(at_s).saturating_sub(self.now)).as_secs_f64();
        self.at(delay, Ev::Do(Box::new(f)));
    }

    /// By how much something is late, where it is.
    fn late(&mut self, part: Option<(f64, (f64, f64))>) -> Option<f64> {
        let (part, (from, to)) = part?;
        self.rng.random_bool(part).then(|| self.rng.random_range(from..to))
    }

    fn lag(&mut self) -> f64 {
        let slow = self.slow_links.map_or(0.0, |(from, to)| self.rng.random_range(from..to));
        slow + self.rng.random_range(0.001..0.006)
    }

    pub fn add_worker(&mut self, name: &str) {
        let m = &self.cloud.machines[name];
        let nodes = self.nodes.len();
        let first = self.rng.random_range(0..nodes);
        let mut w = Worker::new(name, &m.zone, m.spot, first, nodes, self.now);
        w.fetch_s = self.rng.random_range(0.5..=self.size.fetch_s);
        self.workers.insert(name.to_string(), w);
    }

    pub fn submit(&mut self, uid: &str, job: Job) {
        self.jobs.insert(uid.to_string(), job);
        self.at(0.0, Ev::User(uid.to_string()));
    }

    pub fn run_until(&mut self, end_s: f64) {
        while let Some((&(t, n), _)) = self.queue.first_key_value() {
            if t > s(end_s) {
                break;
            }
            let ev = self.queue.remove(&(t, n)).unwrap();
            self.now = t;
            self.step(ev);
        }
        self.now = s(end_s);
    }

    fn step(&mut self, ev: Ev) {
        match ev {
            Ev::Nature => {
                self.nature();
                self.at(0.02, Ev::Nature);
            }
            Ev::Tick(i, life) => {
                if self.nodes[i].life == life {
                    self.give(i, Event::Tick);
                    self.at(0.02, Ev::Tick(i, life));
                }
            }
            Ev::Restart(i) => self.boot(i),
            Ev::Crash(i, life) => {
                if self.nodes[i].life == life {
                    self.broke += 1;
                    self.crash(i);
                }
            }
            Ev::Answer(i, life_id, result) => {
                let (life, id) = (life_id >> 32, life_id & 0xffff_ffff);
                if self.nodes[i].life & 0xffff == life & 0xffff {
                    self.give(i, Event::Answer { id, result });
                }
            }
            Ev::Call(i, life, action) => self.carry_out(i, life, *action),
            Ev::Request(i, conn) => {
                let Some(p) = self.pending.get(&conn) else { return };
                let (method, path, body) = p.request.clone();
                let lost = matches!(&p.source, Source::Worker(name, _) if !self.calls(name, i));
                if p.life != self.nodes[i].life || lost {
                    return;
                }
                self.give(i, Event::Request { conn, method, path, body });
            }
            Ev::Copy(i, body) => {
                self.request(i, Source::Copy, "POST", "/checkin", body, false);
            }
            Ev::Write(body) if self.store.down => self.at(1.0, Ev::Write(body)),
            Ev::Write(body) => {
                let first = get(&body, "then").and_then(Value::as_array).and_then(|ops| ops.first());
                let key = first.map(|op| text(op, "put")).unwrap_or_default();
                let kind = key.split('/').take(2).collect::<Vec<_>>().join("/");
                let done = self.store.apply(self.now, &body);
                let n = self.came_late.entry(kind).or_default();
                *(if done { &mut n.0 } else { &mut n.1 }) += 1;
            }
            Ev::Push(name, body) => {
                let now = self.now;
                let Some(w) = self.workers.get_mut(&name).filter(|w| !w.cut) else { return };
                if w.hangs.is_some() {
                    return w.held.push(body);
                }
                let (status, _, started) = w.pushed(&body, now);
                *(if status == 200 { &mut self.came_pushed.0 } else { &mut self.came_pushed.1 }) += 1;
                self.starting(&name, started);
            }
            Ev::Reply(conn, status, body) => {
                if let Some(p) = self.pending.remove(&conn) {
                    self.replied(p, status, &body);
                }
            }
            Ev::Timeout(conn) => {
                if let Some(p) = self.pending.remove(&conn) {
                    self.unanswered += u32::from(matches!(p.source, Source::User(_)));
                    self.replied(p, 0, &[]);
                }
            }
            Ev::PeerHeartbeat(i, member, frame) => self.give(i, Event::Peer { member, frame }),
            Ev::User(uid) => self.user(&uid),
            Ev::Do(f) => f(self),
        }
    }

    /// Orders go to a worker.
    fn ordering(&mut self, body: &[u8]) {
        for order in get(&value(body), "orders").and_then(Value::as_array).into_iter().flatten() {
            let task = text(order, "parcel");
            let job = task.split('/').next().and_then(|uid| self.jobs.get(uid));
            if let Some(told) = job.and_then(|j| j.cancelled_at).filter(|_| text(order, "verb") == "run") {
                self.ordered_late = self.ordered_late.max(self.now.saturating_sub(told));
            }
        }
    }

    /// A process stands still, or goes on: its timers first, then all that waited.
    pub fn stand_still(&mut self, i: usize, still: bool) {
        if still {
            self.nodes[i].waits = Some(Vec::new());
            return;
        }
        let waits = self.nodes[i].waits.take().unwrap_or_default();
        self.give(i, Event::Tick);
        for event in waits {
            // Its own time-outs are over before it reads what came.
            let event = match event {
                Event::Answer { id, .. } => Event::Answer { id, result: Err(NoAnswer) },
                other => other,
            };
            self.give(i, event);
        }
    }

    fn give(&mut self, i: usize, event: Event) {
        if let Some(waits) = self.nodes[i].waits.as_mut() {
            if !matches!(event, Event::Tick) {
                waits.push(event);
            }
            return;
        }
        let start = self.starts.get(&i).copied().unwrap_or_default();
        let now = self.now - start;
        let mut actions = Vec::new();
        if let Some(c) = self.nodes[i].logic.as_mut() {
            c.handle(now, event, &mut actions);
        }
        self.record(i, &actions);
        for a in actions {
            match a {
                Action::Respond { conn, status, body, .. } => {
                    let lag = self.lag();
                    let lost = |p: &Pending| matches!(&p.source, Source::Worker(name, _) if !self.tells(name, p.node));
                    let cut = self.pending.get(&conn).is_some_and(lost);
                    let worker = |p: &Pending| matches!(p.source, Source::Worker(..));
                    if self.pending.get(&conn).is_some_and(worker) {
                        self.nodes[i].served += u32::from(status == 200);
                        self.ordering(&body);
                    }
                    if !cut {
                        self.at(lag, Ev::Reply(conn, status, body));
                    }
                }
                Action::Send { member, frame } => {
                    let to: usize = member.trim_start_matches("perch-").parse().unwrap();
                    let lag = self.lag() + self.late(self.late_heartbeats).unwrap_or_default();
                    if !self.peers_cut.contains(&(i, to)) {
                        self.at(lag, Ev::PeerHeartbeat(to, format!("perch-{i}"), frame));
                    }
                }
                call => {
                    self.breaks(i, &call);
                    let writes = matches!(&call, Action::Call { path, .. } if path == "/multi");
                    let lag = self.lag() + if writes { self.slow_writes } else { 0.0 };
                    if let Action::Call { target: Target::Worker(_), body: Some(body), .. } = &call {
                        self.ordering(body);
                    }
                    let life = self.nodes[i].life;
                    self.at(lag, Ev::Call(i, life, Box::new(call)));
                }
            }
        }
    }

    /// Notes what a controller emitted, as it goes over the wire.
    fn record(&mut self, node: usize, actions: &[Action]) {
        let origin = Origin { at: self.now, node };
        for action in actions {
            match action {
                Action::Respond { conn, status, body, retry_after } => {
                    self.recorder.respond(origin, *conn, *status, *retry_after, body);
                }
                Action::Call { target, method, path, body, timeout, .. } => {
                    let request = Request { method, path, body: body.as_deref(), timeout: *timeout };
                    self.recorder.call(origin, &target_name(target), request);
                }
                Action::Send { member, frame } => {
                    self.recorder.send(origin, member, || peer::encode(frame));
                }
            }
        }
    }

    /// Things that happen by themselves: leases, watches, workers, boots.
    fn nature(&mut self) {
        self.store.expire(self.now);
        for (node, id, status, body) in self.store.due_watches(self.now) {
            let lag = self.lag() + self.late(self.slow_watches).unwrap_or_default();
            let n = &self.nodes[node];
            if n.store_cut || n.answers_lost {
                self.at(REPORT_S * 4.0, Ev::Answer(node, id, Err(NoAnswer)));
            } else {
                self.at(lag, Ev::Answer(node, id, Ok(Reply { status, body })));
            }
        }
        let due = |w: &Worker| w.preempted_at.is_some_and(|t| t <= self.now);
        for name in self.workers.values().filter(|w| due(w)).map(|w| w.name.clone()).collect::<Vec<_>>() {
            self.cloud.machines.remove(&name);
            self.workers.remove(&name);
        }
        for name in self.cloud.booted(self.now) {
            self.add_worker(&name);
        }
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            self.work(&name);
        }
        self.gangs();
        self.next_leader();
        self.odd();
        self.check();
        self.check_capacity();
    }

    /// Another leader begins: what was kept for it comes to every controller, and a part
    /// is kept on for those after it.
    fn next_leader(&mut self) {
        let term = self.store.term();
        if term <= self.kept_until {
            return;
        }
        self.kept_until = term;
        for (conn, node, body, within) in std::mem::take(&mut self.held_calls) {
            let after = self.rng.random_range(0.0..within);
            self.at(after, Ev::Do(Box::new(move |w| w.come_held(conn, node, body))));
        }
        for body in std::mem::take(&mut self.kept) {
            self.came_for_next += 1;
            for node in 0..self.nodes.len() {
                let lag = self.lag();
                self.at(lag, Ev::Copy(node, body.clone()));
            }
            if self.rng.random_bool(0.3) {
                self.kept.push(body);
            }
        }
    }

    /// A call that was held back comes, to a machine that still waits for its answer or
    /// gave it up.
    fn come_held(&mut self, conn: u64, node: usize, body: Vec<u8>) {
        if self.pending.contains_key(&conn) {
            self.came_held.0 += 1;
            self.at(0.0, Ev::Request(node, conn));
        } else {
            self.came_held.1 += 1;
            self.copy_to(node, body);
        }
    }

    /// Gangs start once complete, and notice when they are not any more.
    fn gangs(&mut self) {
        let now = self.now;
        for (uid, j) in self.jobs.iter().filter(|(_, j)| j.gang && j.submitted) {
            let mut attempts: BTreeMap<u64, (u32, u32)> = BTreeMap::new();
            for w in self.workers.values_mut() {
                if !w.gangs.contains(uid) {
                    w.gangs.insert(uid.clone());
                }
                let hangs = w.hangs.is_some();
                for ((_, attempt), t) in w.tasks.iter().filter(|(_, t)| t.job == *uid && !hangs) {
                    let n = attempts.entry(*attempt).or_default();
                    n.0 += u32::from(t.state == TaskState::WaitingForGang);
                    n.1 += u32::from(t.state == TaskState::Running);
                }
            }
            for (attempt, (gathering, runs)) in attempts {
                if runs == j.tasks {
                    // It is as fast as its slowest, and one that hung for a moment is that.
                    let ends = self.workers.values_mut().flat_map(|w| w.gang_ends(uid, attempt));
                    let last = ends.map(|end| *end).max().unwrap_or(now);
                    self.workers.values_mut().flat_map(|w| w.gang_ends(uid, attempt)).for_each(|end| *end = last);
                }
                for w in self.workers.values_mut().filter(|w| w.hangs.is_none()) {
                    if gathering == j.tasks {
                        w.gang_starts(uid, attempt, now);
                    } else if runs > 0 && runs < j.tasks && j.done.is_empty() {
                        w.gang_misses(uid, attempt, now);
                    }
                }
            }
        }
    }

    fn work(&mut self, name: &str) {
        let now = self.now;
        let w = self.workers.get_mut(name).unwrap();
        for (job, index) in w.advance(now) {
            let Some(j) = self.jobs.get_mut(&job) else { continue };
            j.done.insert(index);
            let last = j.done.len() as u32 == j.tasks;
            if last && self.cancel_at_end.is_some_and(|part| self.rng.random_bool(part)) {
                self.call_off(&job);
            }
        }
        let w = self.workers.get_mut(name).unwrap();
        let Some(body) = w.report_due(now) else { return };
        let (node, heartbeat_seq, cut) = (w.node, w.heartbeat_seq, w.cut);
        let jitter = self.rng.random_range(0.75..1.25);
        if let Some(after) = self.late(self.copies) {
            let node = self.rng.random_range(0..self.nodes.len());
            self.at(after, Ev::Copy(node, body.clone()));
        }
        if self.copies_for_next.is_some_and(|part| self.rng.random_bool(part)) && self.kept.len() < MOST_KEPT {
            self.kept.push(body.clone());
        }
        self.workers.get_mut(name).unwrap().next_report = now + s(REPORT_S * jitter);
        let held = self.hold_for_next.remove(name).map(|after| (after, body.clone()));
        let lost = cut || held.is_some();
        let conn = self.request(node, Source::Worker(name.to_string(), heartbeat_seq), "POST", "/checkin", body, lost);
        if let Some((after, body)) = held {
            self.held_calls.push((conn, node, body, after));
        }
        self.at(4.0, Ev::Timeout(conn));
    }

    fn request(&mut self, node: usize, source: Source, method: &str, path: &str, body: Vec<u8>, lost: bool) -> u64 {
        let conn = self.next_conn;
        self.next_conn += 1;
        let life = self.nodes[node].life;
        let request = (method.to_string(), path.to_string(), body);
        let floor = match &source {
            Source::User(asked) => self.told(asked.uid()),
            _ => users::Told::Nothing,
        };
        self.pending.insert(conn, Pending { source, node, life, request, floor });
        if !lost {
            let lag = self.lag();
            self.at(lag, Ev::Request(node, conn));
        }
        conn
    }

    /// Checks that hold at the moment a task starts.
    fn starting(&mut self, name: &str, started: Vec<(String, u32)>) {
        for (job, index) in started {
            let cancelled = self.jobs.get(&job).is_some_and(|j| j.cancelled_at.is_some());
            self.started_cancelled += u32::from(cancelled);
            self.run_again += u32::from(self.jobs.get(&job).is_some_and(|j| j.done.contains(&index)));
            for (other, w) in &self.workers {
                let there = w.tasks.values().any(|t| t.job == job && t.index == index && t.state != TaskState::Exited);
                assert!(
                    other == name || !there,
                    "seed {}, {:?}: {job}/{index} starts on {name} while on {other}",
                    self.seed,
                    self.now
                );
            }
            let Some(j) = self.jobs.get(&job) else {
                panic!("seed {}: {job} starts and was never submitted", self.seed);
            };
            let zone = &self.workers[name].zone;
            let wrong = j.zone.is_some_and(|only| only != zone);
            assert!(!wrong, "seed {}, {:?}: {job}/{index} starts in zone {zone}", self.seed, self.now);
            let mut here = 0;
            for w in self.workers.values() {
                let n = w.tasks.values().filter(|t| t.job == job && t.state != TaskState::Exited).count() as u32;
                let there = w.zone != *zone && n > 0;
                assert!(!j.zone_affinity || !there, "seed {}: {job}/{index} starts in another zone", self.seed);
                here += if w.zone == *zone { n } else { 0 };
            }
            assert!(
                !j.zone_anti_affinity || here <= j.tasks.div_ceil(2),
                "seed {}: {job}/{index} starts in a full zone",
                self.seed
            );
        }
    }

    /// Checks that hold at any moment.
    fn check(&self) {
        for (name, w) in &self.workers {
            let (mut cores, mut gpus) = (0.0, 0.0);
            for t in w.tasks.values().filter(|t| t.state != TaskState::Exited) {
                let j = &self.jobs[&t.job];
                cores += j.cores;
                gpus += j.gpus;
                if let Some(at) = j.cancelled_at {
                    let late = self.now > at + s(CANCEL_S);
                    assert!(!late, "seed {}: {}/{} runs long after its withdrawal", self.seed, t.job, t.index);
                }
            }
            assert!(cores <= 8.0 && gpus <= 4.0, "seed {}: {name} is overfull", self.seed);
        }
        for (team, used) in self.used() {
            let max = self.limit(team);
            assert!(used <= max + 1e-9, "seed {}: the team uses {used} of {max}", self.seed);
        }
    }

    /// CPUs that the team's tasks may use.
    pub(super) fn limit(&self, team: &str) -> f64 {
        let max = if team == "capped" { self.size.team_max } else { self.size.free_max };
        if max > 0.0 { max } else { f64::INFINITY }
    }

    /// CPUs that each team's tasks use.
    pub fn used(&self) -> BTreeMap<&str, f64> {
        let mut used = BTreeMap::new();
        for t in self.workers.values().flat_map(|w| w.tasks.values()).filter(|t| t.state != TaskState::Exited) {
            let j = &self.jobs[&t.job];
            *used.entry(j.team.as_str()).or_default() += j.cores;
        }
        used
    }

    fn carry_out(&mut self, i: usize, life: u64, action: Action) {
        let Action::Call { id, target, method, path, body, timeout } = action else { return };
        let receiver = match target {
            Target::State => "state",
            Target::Cloud => "cloud",
            Target::Worker(_) => "worker",
        };
        self.requests_sent.insert((receiver, method, path.clone()));
        let id = (life & 0xffff) << 32 | id;
        let body = body.map(|b| value(&b)).unwrap_or(Value::Null);
        let lag = self.lag();
        let late = match target {
            Target::State => self.late(self.late_writes),
            Target::Worker(_) => self.late(self.late_pushes),
            Target::Cloud => None,
        };
        let answer = match target {
            Target::State if self.nodes[i].store_cut => {
                if path == "/multi" {
                    self.nodes[i].held.push(body);
                }
                return self.at(timeout.as_secs_f64(), Ev::Answer(i, id, Err(NoAnswer)));
            }
            Target::State if self.nodes[i].refused || self.store.down => Some((503, vec![])),
            Target::State if path == "/multi" && late.is_some() => {
                self.at(late.unwrap_or_default(), Ev::Write(body));
                return self.at(timeout.as_secs_f64(), Ev::Answer(i, id, Err(NoAnswer)));
            }
            Target::State => {
                let answer = self.store.serve(self.now, i, id, method, &path, &body);
                if self.nodes[i].answers_lost && answer.is_some() {
                    return self.at(timeout.as_secs_f64(), Ev::Answer(i, id, Err(NoAnswer)));
                }
                let late = self.late(self.late_answers).filter(|_| path == "/multi");
                if let (Some(after), Some((status, body))) = (late, &answer) {
                    let given_up = after > timeout.as_secs_f64();
                    let reply = Reply { status: *status, body: body.clone() };
                    let ev = Ev::Answer(i, id, if given_up { Err(NoAnswer) } else { Ok(reply) });
                    return self.at(after.min(timeout.as_secs_f64()), ev);
                }
                answer
            }
            Target::Cloud => {
                let a = self.cloud.serve(self.now, method, &path, &body);
                let gone: Vec<String> =
                    self.workers.keys().filter(|n| !self.cloud.machines.contains_key(*n)).cloned().collect();
                for n in gone {
                    let heard = (0..self.nodes.len()).any(|i| self.nodes[i].logic.is_some() && self.calls(&n, i));
                    let w = self.workers.remove(&n).unwrap();
                    // One that was cut off from all comes back after a time-out and a pause.
                    let heard = heard && w.back_at.is_none_or(|t| self.now > t + s(6.0));
                    let running = w.tasks.values().filter(|t| t.state == TaskState::Running).count();
                    self.lost_alive += if heard { running } else { 0 };
                }
                Some(a)
            }
            Target::Worker(addr) => {
                let name = self.workers.values().find(|w| w.addr == addr.to_string()).map(|w| w.name.clone());
                match name {
                    Some(n) if self.tells(&n, i) && path == "/show" => {
                        Some((200, self.workers.get_mut(&n).unwrap().report(self.now)))
                    }
                    Some(n) if self.tells(&n, i) && late.is_some() => {
                        self.at(late.unwrap_or_default(), Ev::Push(n, body));
                        None
                    }
                    Some(n) if self.tells(&n, i) => {
                        let now = self.now;
                        let w = self.workers.get_mut(&n).unwrap();
                        let (status, report, started) = w.pushed(&body, now);
                        self.starting(&n, started);
                        Some((status, report))
                    }
                    Some(n) if !self.nodes[i].deaf && path != "/show" => {
                        // Held back: carried out once the cut is over.
                        self.workers.get_mut(&n).unwrap().held.push(body);
                        None
                    }
                    _ => None,
                }
            }
        };
        match answer {
            Some((status, body)) => self.at(lag, Ev::Answer(i, id, Ok(Reply { status, body }))),
            None if path.starts_with("/follow") => {}
            None => self.at(timeout.as_secs_f64(), Ev::Answer(i, id, Err(NoAnswer))),
        }
    }

    /// The operator's file changes, and each process reads it again.
    pub fn operate(&mut self, operator: Operator) {
        self.operator = operator;
        for i in 0..self.nodes.len() {
            self.give(i, Event::Operator(Box::new(self.operator.clone())));
        }
    }

    /// What the load balancer is told by a node.
    pub fn healthy(&mut self, i: usize) -> bool {
        let now = self.now - self.starts.get(&i).copied().unwrap_or_default();
        let Some(c) = self.nodes[i].logic.as_mut() else { return false };
        let mut actions = Vec::new();
        let (method, path) = ("GET".to_string(), "/healthz".to_string());
        c.handle(now, Event::Request { conn: 0, method, path, body: Vec::new() }, &mut actions);
        self.record(i, &actions);
        actions.iter().any(|a| matches!(a, Action::Respond { conn: 0, status: 200, .. }))
    }

    /// Whether anything passes between a worker and a node.
    fn reaches(&self, worker: &str, node: usize) -> bool {
        let w = &self.workers.get(worker);
        !self.nodes[node].deaf && w.is_some_and(|w| !w.cut && w.hangs.is_none() && !w.unreached.contains(&node))
    }

    /// Whether a worker's own calls come to a node.
    fn calls(&self, worker: &str, node: usize) -> bool {
        self.reaches(worker, node) && self.workers.get(worker).is_some_and(|w| !w.mute)
    }

    /// Whether anything that a node says reaches a worker.
    fn tells(&self, worker: &str, node: usize) -> bool {
        self.reaches(worker, node) && self.workers.get(worker).is_some_and(|w| !w.deaf)
    }

    /// A report of long ago comes to a node.
    pub fn copy_to(&mut self, node: usize, body: Vec<u8>) {
        self.at(0.0, Ev::Copy(node, body));
    }

    /// The controller loses the state service and the other controllers, or has them
    /// back.
    pub fn lone(&mut self, node: usize, alone: bool) {
        for other in (0..self.nodes.len()).filter(|o| *o != node) {
            for link in [(node, other), (other, node)] {
                if alone {
                    self.peers_cut.insert(link);
                } else {
                    self.peers_cut.remove(&link);
                }
            }
        }
        if alone {
            self.nodes[node].store_cut = true;
        } else {
            self.join_store(node);
        }
    }

    /// Ends a cut between a node and the state service: what it wrote comes late.
    pub fn join_store(&mut self, node: usize) {
        self.nodes[node].store_cut = false;
        for body in std::mem::take(&mut self.nodes[node].held) {
            self.store.apply(self.now, &body);
        }
    }

    /// Cuts a worker off, or ends the cut and delivers what was held back.
    pub fn cut_worker(&mut self, name: &str, cut: bool) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(name) else { return };
        w.cut = cut;
        if !cut {
            w.back_at = Some(now);
            self.deliver(name);
        }
    }

    /// The machine executes nothing and holds what it is told, or goes on: its lease ran
    /// out meanwhile or did not, its tasks are where they were.
    pub fn hang(&mut self, name: &str, hangs: bool) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(name) else { return };
        if hangs {
            w.hangs = w.hangs.or(Some(now));
            return;
        }
        let Some(since) = w.hangs.take() else { return };
        w.goes_on(now.saturating_sub(since));
        w.advance(now);
        w.back_at = Some(now);
        self.deliver(name);
    }

    /// What was held back comes to the worker.
    fn deliver(&mut self, name: &str) {
        let now = self.now;
        let held = self.workers.get_mut(name).map(|w| std::mem::take(&mut w.held)).unwrap_or_default();
        for body in held {
            let w = self.workers.get_mut(name).unwrap();
            let (_, _, started) = w.pushed(&body, now);
            self.starting(name, started);
        }
    }
}

pub fn array(tasks: u32, run_s: f64) -> Job {
    Job { tasks, cores: 2.0, run_s, team: "free".into(), ..Job::default() }
}

/// A gang whose tasks take half a machine each, in one zone.
pub fn gang(tasks: u32) -> Job {
    Job { tasks, cores: 4.0, gpus: 2.0, gang: true, zone_affinity: true, team: "free".into(), ..Job::default() }
}

pub fn service(tasks: u32) -> Job {
    Job { tasks, cores: 1.0, run_s: 1e9, standing: true, team: "free".into(), ..Job::default() }
}
