//! One emulator from start to end: emulator, controllers, users and faults.

use crate::checker::{self, Verdict};
use crate::cloud::machine::{Cloud, Config as CloudConfig, Fault as CloudFault, Happening, Offer};
use crate::cloud::service;
use crate::cluster::{Cluster, ClusterError, bind, port};
use crate::front::Front;
use crate::history::{self, Event, Facts, HistoryError, Line, Recorder, Watcher};
use crate::http;
use crate::load;
use crate::lock;
use crate::machine::driver::{Driver, Node};
use crate::machine::fleet::Fleet;
use crate::machine::worker::{Description, Traits};
use crate::scenario::{Fault, FaultKind, Scenario};
use crate::state::log::LogError;
use crate::state::machine::Limits;
use crate::state::service::{self as state, Fault as StoreFault, Noted, Pick, WriteFault};
use finchquay_client::ClientError;
use finchquay_protocol::BODY_LIMIT;
use finchquay_protocol::cloud::MachineType;
use finchquay_protocol::user::{JobKind, Status};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, JoinSet};

/// How often the emulated world moves on.
const STEP: Duration = Duration::from_millis(20);
/// How often it is measured.
const SAMPLE: Duration = Duration::from_secs(1);

#[derive(Debug, Error)]
pub enum RunError {
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    #[error(transparent)]
    State(#[from] LogError),
    #[error(transparent)]
    History(#[from] HistoryError),
    #[error(transparent)]
    Client(#[from] ClientError),
    #[error("{}: {cause}", file.display())]
    File { file: PathBuf, cause: std::io::Error },
}

pub struct Options {
    pub scenario: Scenario,
    pub seed: u64,
    /// Holds the state, the controllers' settings and logs, and the histories.
    pub dir: PathBuf,
    /// The controllers' program.
    pub controller: PathBuf,
    /// Port of the controllers for users; 0: free ones.
    pub public_port: u16,
    /// Where users beside the load come in, if they do.
    pub front: Option<SocketAddr>,
    pub watcher: Option<Watcher>,
}

/// What a run left.
pub struct Outcome {
    pub history: PathBuf,
    pub lines: Vec<Line>,
    pub verdict: Verdict,
}

struct World {
    scenario: Scenario,
    recorder: Recorder,
    cloud: Mutex<Cloud>,
    driver: Driver,
    cluster: Cluster,
    state: Mutex<StateService>,
    rng: Mutex<StdRng>,
}

/// The state service's process, so to speak: it can be ended and started again.
struct StateService {
    config: state::Config,
    notes: state::Notes,
    handle: Option<state::Handle>,
    serving: Vec<JoinHandle<()>>,
    places: Vec<(String, SocketAddr)>,
}

/// Plays a scenario to its end, or until `stop` comes.
pub async fn play(options: Options, stop: impl Future<Output = ()>) -> Result<Outcome, RunError> {
    let dir = &options.dir;
    std::fs::create_dir_all(dir).map_err(|cause| RunError::File { file: dir.clone(), cause })?;
    let mut earlier = Earlier::read(dir)?;
    let earlier_lines = std::mem::take(&mut earlier.lines);
    let history = dir.join(format!("history-{}.jsonl", earlier.session));
    let recorder = Recorder::create(&history, options.watcher)?;
    let scenario = options.scenario;
    let front = match options.front {
        Some(address) => Some(bind(address).await?),
        None => None,
    };
    let (cluster, sockets) =
        Cluster::start(&scenario, &options.controller, dir, options.public_port, &recorder).await?;
    let places: Vec<(String, SocketAddr)> = cluster.places.iter().map(|p| (p.member.clone(), p.public)).collect();
    recorder.record(Event::Began {
        scenario: scenario.name.clone(),
        seed: options.seed,
        facts: facts(&scenario, &places),
    });
    let mut state = state_service(&scenario, dir, &cluster, &recorder);
    state.start(sockets.state)?;
    let mut rng = StdRng::seed_from_u64(options.seed);
    let mut fleet = Fleet::new(Scenario::seconds(scenario.workers.gang_peer_s));
    earlier.upload(&mut fleet);
    let nodes =
        cluster.places.iter().map(|p| Node { member: p.member.clone(), zone: p.zone.clone(), address: p.public });
    let report = Scenario::seconds(scenario.workers.heartbeat_interval_s);
    let driver = Driver::new(fleet, nodes.collect(), report, recorder.clone());
    let worker_port = port(Ipv4Addr::new(127, 1, 0, 1), 0)?.port();
    let cloud = Cloud::new(cloud_config(&scenario, worker_port), rng.random(), earlier.machines);
    let jobs = load::plan(&scenario, earlier.session, &mut rng);
    let faults = scenario.faults(&mut rng);
    let user_seed = rng.random();
    let world = Arc::new(World {
        recorder: recorder.clone(),
        cloud: Mutex::new(cloud),
        driver: driver.clone(),
        cluster,
        state: Mutex::new(state),
        rng: Mutex::new(rng),
        scenario,
    });
    let mut background = JoinSet::new();
    world.first_machines().await;
    background.spawn(world.clone().serve_cloud(sockets.cloud));
    background.spawn(world.clone().tick());
    background.spawn(world.clone().sample());
    for (name, fault) in faults {
        background.spawn(world.clone().fault(name, fault));
    }
    if let Some(listener) = front {
        background.spawn(Front::new(places.clone(), driver.clone(), recorder.clone()).serve(listener));
    }
    let client = load::client(&places, &recorder)?;
    let over = load::Over::default();
    let mut users = load::play(jobs, &client, &driver, &recorder, user_seed, &over);
    background.spawn(load::curious(client.clone(), over));
    for (uid, cancel) in earlier.open {
        users.spawn(load::resume(client.clone(), uid, cancel));
    }
    let most = world.scenario.duration_s + world.scenario.settle_s;
    let all_ended = async { while users.join_next().await.is_some() {} };
    let ended = async {
        // The load may end before the last fault does; both have to.
        tokio::time::sleep(Duration::from_secs_f64(world.scenario.duration_s)).await;
        let _ = tokio::time::timeout(Duration::from_secs_f64(most - world.scenario.duration_s), all_ended).await;
    };
    let settled = tokio::select! {
        () = ended => true,
        () = stop => false,
    };
    users.shutdown().await;
    recorder.record(Event::Over { settled });
    background.shutdown().await;
    let names: Vec<String> = lock(&world.cloud).alive().map(|(n, _)| n.clone()).collect();
    names.iter().for_each(|n| world.driver.vanish(n, "the run is over"));
    let handle = lock(&world.state).handle.take();
    if let Some(h) = handle {
        h.stop().await;
    }
    lock(&world.state).serving.iter().for_each(JoinHandle::abort);
    if let Ok(world) = Arc::try_unwrap(world).map_err(|_| ()) {
        world.cluster.stop().await;
    }
    recorder.flush().map_err(|cause| RunError::File { file: history.clone(), cause })?;
    let lines = history::read(&history)?;
    let verdict = checker::check(&history::join(earlier_lines, lines.clone()));
    Ok(Outcome { history, lines, verdict })
}

fn facts(s: &Scenario, places: &[(String, SocketAddr)]) -> Facts {
    Facts {
        limits: s.team.iter().map(|(n, t)| (n.clone(), (t.cpus_max, t.gpus_max))).collect(),
        cancel_s: s.workers.cancel_s,
        controllers: places.iter().map(|(n, a)| (n.clone(), a.to_string())).collect(),
    }
}

fn state_service(s: &Scenario, dir: &Path, cluster: &Cluster, recorder: &Recorder) -> StateService {
    let limits =
        Limits { rps: s.state.rps, write_rps: s.state.write_rps, value_kb: s.state.value_kb, txn_ops: s.state.txn_ops };
    let recorder = recorder.clone();
    let notes: state::Notes = Arc::new(move |noted| {
        recorder.record(match noted {
            Noted::Hit { fault, keys } => Event::Store { what: fault.into(), keys },
            Noted::TailLost { keys, .. } => Event::Store { what: "tail".into(), keys },
        });
    });
    StateService {
        config: state::Config { path: dir.join("state.redb"), fsync: s.state.fsync, limits },
        notes,
        handle: None,
        serving: Vec::new(),
        places: cluster.places.iter().map(|p| (p.member.clone(), p.state)).collect(),
    }
}

impl StateService {
    fn start(&mut self, listeners: Vec<TcpListener>) -> Result<(), LogError> {
        let handle = state::start(&self.config, self.notes.clone())?;
        let served = self.places.iter().zip(listeners);
        self.serving = served.map(|((member, _), l)| tokio::spawn(handle.clone().serve(member.clone(), l))).collect();
        self.handle = Some(handle);
        Ok(())
    }
}

fn cloud_config(s: &Scenario, worker_port: u16) -> CloudConfig {
    let offer = |(label, m): (&String, &crate::scenario::MachineType)| Offer {
        kind: MachineType {
            label: label.clone(),
            cores: m.cpus,
            gpus: m.gpus,
            mem_gb: m.memory_gb,
            disk_gb: m.cache_gb,
            pull_gb_per_s: m.fetch_gb_per_s,
            on_demand_price: m.on_demand_price,
            spot_price: m.spot_hourly,
            startup_s: m.boot_s,
            zones: s.zones.clone(),
        },
        capacity: s.zones.iter().map(|z| (z.clone(), (m.ordinary, m.spot))).collect(),
        cold: m.cold,
    };
    CloudConfig {
        offers: s.machine_type.iter().map(offer).collect(),
        rps: s.cloud.rps,
        list_lag: Scenario::seconds(s.cloud.list_lag_s),
        notice: Scenario::seconds(s.cloud.notice_s),
        silent_share: s.cloud.silent_share,
        worker_port,
    }
}

/// What earlier runs on the same folder left.
struct Earlier {
    session: u32,
    /// Machines that were ever rented; their names are never used again.
    machines: u32,
    descriptions: Vec<Description>,
    done: Vec<(String, u32)>,
    /// Jobs without an end that their user knows, and whether it wants them gone.
    open: Vec<(String, bool)>,
    /// Their histories, at times before 0: a rule may be broken across runs.
    lines: Vec<Line>,
}

impl Earlier {
    fn read(dir: &Path) -> Result<Earlier, HistoryError> {
        let mut out = Earlier {
            session: 1,
            machines: 0,
            descriptions: Vec::new(),
            done: Vec::new(),
            open: Vec::new(),
            lines: Vec::new(),
        };
        let mut jobs: BTreeMap<String, (bool, bool)> = BTreeMap::new();
        let mut ended: HashSet<String> = HashSet::new();
        loop {
            let file = dir.join(format!("history-{}.jsonl", out.session));
            if !file.exists() {
                break;
            }
            out.session += 1;
            let lines = history::read(&file)?;
            out.lines = history::join(std::mem::take(&mut out.lines), lines.clone());
            for line in lines {
                match line.event {
                    Event::Job { spec } => {
                        let standing = spec.kind == JobKind::Service;
                        let run = if standing { f32::INFINITY } else { spec.estimated_run_s.max(0.05) as f32 };
                        jobs.entry(spec.uid.clone()).or_insert((false, standing));
                        let run_s = vec![run; spec.task_count as usize];
                        out.descriptions.push(Description { spec, run_s, broken: false });
                    }
                    Event::Call { uid, status: Some(200 | 201), state, .. } => {
                        if let Some(job) = jobs.get_mut(&uid) {
                            job.0 = true;
                        }
                        if matches!(state, Some(Status::Done | Status::Cancelled)) {
                            ended.insert(uid);
                        }
                    }
                    Event::Stop { job, index, cause, .. } if cause == "done" => out.done.push((job, index)),
                    Event::MachineUp { machine, .. } => {
                        let n: u32 = machine.trim_start_matches("host-").parse().unwrap_or(0);
                        // Those rented but never up have higher numbers.
                        out.machines = out.machines.max(n + 1000);
                    }
                    _ => {}
                }
            }
        }
        let open = jobs.into_iter().filter(|(uid, (accepted, _))| *accepted && !ended.contains(uid));
        out.open = open.map(|(uid, (_, standing))| (uid, standing)).collect();
        Ok(out)
    }

    fn upload(&self, fleet: &mut Fleet) {
        self.descriptions.iter().for_each(|d| fleet.upload(d.clone()));
        self.done.iter().for_each(|(job, index)| fleet.finished(job, *index));
    }
}

impl World {
    fn now(&self) -> Duration {
        self.recorder.now()
    }

    /// Machines that stand there when it begins.
    async fn first_machines(&self) {
        for (label, m) in &self.scenario.machine_type {
            for zone in &self.scenario.zones {
                for _ in 0..m.up {
                    lock(&self.cloud).create(self.now(), label, zone, false, true);
                }
            }
        }
        self.follow_cloud().await;
    }

    /// Carries out on the machines what the cloud decided.
    async fn follow_cloud(&self) {
        let happened = lock(&self.cloud).advance(self.now());
        for h in happened {
            match h {
                Happening::Up { name } => {
                    let Some((traits, addr)) = self.traits(&name) else { continue };
                    if let Err(e) = self.driver.boot(traits, addr).await {
                        eprintln!("finchquay-emulator: {addr}: {e}; this machine stays silent");
                    }
                }
                Happening::Notice { name, at } => {
                    self.driver.fleet().with(&name, self.now(), |w, _| w.preempted_at = Some(at));
                }
                Happening::Gone { name, why } => self.driver.vanish(&name, why),
            }
        }
    }

    fn traits(&self, name: &str) -> Option<(Traits, SocketAddr)> {
        let cloud = lock(&self.cloud);
        let mut rng = lock(&self.rng);
        let r = cloud.rental(name)?;
        let kind = cloud.kind(&r.machine_type)?;
        let traits = Traits {
            name: name.into(),
            addr: r.addr.to_string(),
            machine_type: r.machine_type.clone(),
            zone: r.zone.clone(),
            spot: r.spot,
            cores: kind.cores,
            gpus: kind.gpus,
            mem_gb: kind.mem_gb,
            cache_gb: kind.disk_gb,
            gb_per_s: kind.pull_gb_per_s * rng.random_range(0.7..1.3),
            speed: rng.random_range(0.95..1.05),
            lease: Scenario::seconds(self.scenario.workers.lease_s),
            gang_wait: Scenario::seconds(self.scenario.workers.gang_wait_s),
        };
        Some((traits, r.addr))
    }

    async fn serve_cloud(self: Arc<Self>, listener: TcpListener) {
        let world = self.clone();
        http::serve(listener, BODY_LIMIT, move |request| {
            let world = world.clone();
            async move {
                let reply = service::answer(&mut lock(&world.cloud), world.now(), &request);
                // Released machines are gone before the answer arrives.
                world.follow_cloud().await;
                reply
            }
        })
        .await;
    }

    async fn tick(self: Arc<Self>) {
        loop {
            tokio::time::sleep(STEP).await;
            self.follow_cloud().await;
            self.driver.advance();
        }
    }

    async fn sample(self: Arc<Self>) {
        loop {
            let handle = lock(&self.state).handle.clone();
            let counts = match handle {
                Some(h) => h.counts().await,
                None => state::Counts::default(),
            };
            let (up, booting, spent) = {
                let cloud = lock(&self.cloud);
                let up = cloud.alive().filter(|(_, r)| r.up).count();
                (up as u32, (cloud.alive().count() - up) as u32, cloud.spent(self.now()))
            };
            let running = self.driver.fleet().workers().map(|w| w.running()).sum::<usize>();
            self.recorder.record(Event::Sample {
                machines_up: up,
                machines_booting: booting,
                tasks_running: running as u32,
                store_changes: counts.changes,
                store_requests: counts.requests,
                spent,
                controllers: self.cluster.usage(),
            });
            tokio::time::sleep(SAMPLE).await;
        }
    }

    /// One fault, from its time to its end.
    async fn fault(self: Arc<Self>, name: String, f: Fault) {
        let at = Scenario::seconds(f.at_s);
        tokio::time::sleep(at.saturating_sub(self.now())).await;
        self.recorder.record(Event::Fault { name: name.clone(), on: true });
        let undo = self.begin(&f).await;
        if let Some(for_s) = f.for_s {
            tokio::time::sleep(Scenario::seconds(for_s)).await;
            self.end(&f, undo).await;
        }
        self.recorder.record(Event::Fault { name, on: false });
    }

    fn store(&self, fault: StoreFault) {
        if let Some(h) = &lock(&self.state).handle {
            h.fault(fault);
        }
    }

    fn member(&self, i: Option<usize>) -> String {
        i.and_then(|i| self.cluster.places.get(i)).map_or_else(String::new, |p| p.member.clone())
    }

    /// Controllers that a fault hits: one by number, or all.
    fn hit(&self, f: &Fault) -> Vec<usize> {
        f.controller.map_or_else(|| (0..self.cluster.places.len()).collect(), |i| vec![i])
    }

    /// Some machines that are up, by luck.
    fn some_machines(&self, count: u32) -> Vec<String> {
        let mut names: Vec<String> = lock(&self.cloud).alive().filter(|(_, r)| r.up).map(|(n, _)| n.clone()).collect();
        let mut rng = lock(&self.rng);
        let mut out = Vec::new();
        while out.len() < count as usize && !names.is_empty() {
            out.push(names.swap_remove(rng.random_range(0..names.len())));
        }
        out
    }

    /// Begins a fault; the machines named are those that it hit.
    async fn begin(&self, f: &Fault) -> Vec<String> {
        use FaultKind as K;
        let (now, count, factor) = (self.now(), f.count.unwrap_or(1), f.factor.unwrap_or(1.0));
        let late = Scenario::seconds(f.late_s.unwrap_or(0.0));
        let restart = f.restart_s.map(Scenario::seconds);
        let cloud = |fault| lock(&self.cloud).fault(now, &fault);
        let machine_type = f.machine_type.clone();
        let pick = |fault| {
            let prefix = f.prefix.clone().unwrap_or_default();
            self.store(StoreFault::Write(Pick { fault, prefix, skip: f.skip.unwrap_or(0), count }));
        };
        match f.kind {
            K::StoreOutage => self.store(StoreFault::Outage(true)),
            K::StoreRefuse => self.store(StoreFault::Refuse(self.member(f.controller), true)),
            K::StoreCut => self.store(StoreFault::Cut(self.member(f.controller), true)),
            K::StoreMute => self.store(StoreFault::Mute(self.member(f.controller), true)),
            K::StoreSlow => self.store(StoreFault::Slow(Some((late / 2, late)))),
            K::StoreRestart => self.kill_store().await,
            K::WriteLost => pick(WriteFault::Lose),
            K::WriteUnanswered => pick(WriteFault::Unanswered),
            K::WriteLate => pick(WriteFault::Late(late)),
            K::TailLost => self.store(StoreFault::LoseTail(u64::from(count))),
            K::CloudOutage => cloud(CloudFault::Outage(true)),
            K::BootsLate => cloud(CloudFault::Late { machine_type, factor }),
            K::BootsCold => cloud(CloudFault::Cold { machine_type, on: true }),
            K::Scarce => cloud(CloudFault::Scarce(factor)),
            K::Recall => cloud(CloudFault::Recall { count }),
            K::Die => cloud(CloudFault::Die { count }),
            K::MachinesCut | K::MachinesHang | K::MachinesSick | K::MachinesSlow => {
                let names = self.some_machines(count);
                self.machines(f, &names, true);
                return names;
            }
            K::ZoneCut => self.driver.cut(|c| c.zones.extend(f.zone.clone())),
            K::ZoneLinkCut => {
                let link = (f.zone.clone().unwrap_or_default(), self.member(f.controller));
                self.driver.cut(|c| c.links.extend([link]));
            }
            K::ControllerKill => {
                for n in 0..count {
                    if n > 0 {
                        tokio::time::sleep(late).await;
                    }
                    self.hit(f).into_iter().for_each(|i| self.cluster.kill(i, restart));
                }
            }
            K::ControllerFreeze => self.hit(f).into_iter().for_each(|i| self.cluster.freeze(i, true)),
            K::ControllerDeaf => {
                let member = self.member(f.controller);
                self.driver.cut(|c| c.controllers.extend([member]));
            }
            K::PeersRefused => self.hit(f).into_iter().for_each(|i| self.cluster.refuse_peers(i, true)),
            K::Rolling => {
                let each = restart.unwrap_or(Scenario::seconds(self.scenario.controllers.restart_s));
                let between = late.max(each * 2);
                for i in 0..self.cluster.places.len() {
                    self.cluster.kill(i, restart);
                    tokio::time::sleep(between).await;
                }
            }
        }
        Vec::new()
    }

    /// Ends a fault that had a beginning.
    async fn end(&self, f: &Fault, hit: Vec<String>) {
        use FaultKind as K;
        let now = self.now();
        let cloud = |fault| lock(&self.cloud).fault(now, &fault);
        let machine_type = f.machine_type.clone();
        match f.kind {
            K::StoreOutage => self.store(StoreFault::Outage(false)),
            K::StoreRefuse => self.store(StoreFault::Refuse(self.member(f.controller), false)),
            K::StoreCut => self.store(StoreFault::Cut(self.member(f.controller), false)),
            K::StoreMute => self.store(StoreFault::Mute(self.member(f.controller), false)),
            K::StoreSlow => self.store(StoreFault::Slow(None)),
            K::StoreRestart => self.restart_store().await,
            K::CloudOutage => cloud(CloudFault::Outage(false)),
            K::BootsLate => cloud(CloudFault::Late { machine_type, factor: 1.0 }),
            K::BootsCold => cloud(CloudFault::Cold { machine_type, on: false }),
            K::Scarce => cloud(CloudFault::Scarce(1.0)),
            K::MachinesCut | K::MachinesHang | K::MachinesSick | K::MachinesSlow => self.machines(f, &hit, false),
            K::ZoneCut => self.driver.cut(|c| c.zones.retain(|z| Some(z) != f.zone.as_ref())),
            K::ZoneLinkCut => {
                let link = (f.zone.clone().unwrap_or_default(), self.member(f.controller));
                self.driver.cut(|c| c.links.retain(|l| *l != link));
            }
            K::ControllerFreeze => self.hit(f).into_iter().for_each(|i| self.cluster.freeze(i, false)),
            K::ControllerDeaf => {
                let member = self.member(f.controller);
                self.driver.cut(|c| c.controllers.retain(|m| *m != member));
            }
            K::PeersRefused => self.hit(f).into_iter().for_each(|i| self.cluster.refuse_peers(i, false)),
            K::WriteLost | K::WriteUnanswered | K::WriteLate | K::TailLost | K::Recall | K::Die => {}
            K::ControllerKill | K::Rolling => {}
        }
    }

    fn machines(&self, f: &Fault, names: &[String], on: bool) {
        let now = self.now();
        if f.kind == FaultKind::MachinesCut {
            return self.driver.cut(|c| {
                if on {
                    c.machines.extend(names.iter().cloned());
                } else {
                    c.machines.retain(|m| !names.contains(m));
                }
            });
        }
        for name in names {
            self.driver.fleet().with(name, now, |w, shared| match f.kind {
                FaultKind::MachinesHang => w.hang(now, on, shared),
                FaultKind::MachinesSick => w.sick = on,
                _ => w.slow_down(if on { 1.0 / f.factor.unwrap_or(1.0) } else { f.factor.unwrap_or(1.0) }),
            });
        }
    }

    /// Ends the state service as a kill does: every connection breaks, and
    /// what was not on disk is gone.
    async fn kill_store(&self) {
        let (handle, serving) = {
            let mut s = lock(&self.state);
            (s.handle.take(), std::mem::take(&mut s.serving))
        };
        serving.iter().for_each(JoinHandle::abort);
        if let Some(h) = handle {
            h.stop().await;
        }
    }

    async fn restart_store(&self) {
        let places = lock(&self.state).places.clone();
        let mut listeners = Vec::new();
        for (_, address) in &places {
            // Connections from before may hold the address for a moment.
            let mut tries = 0;
            let listener = loop {
                match bind(*address).await {
                    Ok(l) => break Some(l),
                    Err(e) if tries == 50 => {
                        eprintln!("finchquay-emulator: the state service does not come back: {e}");
                        break None;
                    }
                    Err(_) => tries += 1,
                }
                tokio::time::sleep(STEP).await;
            };
            listeners.extend(listener);
        }
        if let Err(e) = lock(&self.state).start(listeners) {
            eprintln!("finchquay-emulator: the state service does not come back: {e}");
        }
    }
}
