//! Plays a scenario from start to end: brings up the emulated services, the machines and
//! the controllers, submits the load, injects the faults and checks the history.

use crate::checker::{self, Verdict};
use crate::cloud::provider::{Cloud, CloudConfig, CloudEvent, CloudFault, Offer};
use crate::cloud::service;
use crate::cluster::{Cluster, ClusterError, bind, free_address};
use crate::front::FrontEnd;
use crate::history::{self, ClusterFacts, Event, HistoryError, HistoryLine, LineCallback, Recorder};
use crate::http;
use crate::load;
use crate::lock;
use crate::machine::driver::{Driver, ReportTarget};
use crate::machine::fleet::Fleet;
use crate::machine::worker::{JobDescription, MachineTraits};
use crate::scenario::{Fault, FaultKind, Scenario};
use crate::state::log::LogError;
use crate::state::machine::Limits;
use crate::state::service::{
    self as state, Fault as StoreFault, FaultEvent, FaultListener, WriteFault, WriteFaultRule,
};
use finchquay_client::ClientError;
use finchquay_protocol::MAX_BODY_BYTES;
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

/// How often the emulated cloud and machines advance.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// How often a sample of the cluster is recorded.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Machine numbers that a later run in the same directory leaves unused: machines that were
/// rented but never came up have higher numbers than those in the history.
const SKIPPED_MACHINE_NUMBERS: u32 = 1000;
/// Failed attempts, one per tick, after which the state service gives up on an address:
/// connections from before the stop may keep it in use for a moment.
const MAX_BIND_RETRIES: u32 = 50;

/// Why a run could not be played to its end.
#[derive(Debug, Error)]
pub enum RunError {
    /// The controllers could not be started.
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    /// The state service could not be started.
    #[error(transparent)]
    State(#[from] LogError),
    /// A history could not be read or written.
    #[error(transparent)]
    History(#[from] HistoryError),
    /// The client of the emulated users could not be created.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// A file or directory could not be created or written.
    #[error("{}: {cause}", file.display())]
    File {
        /// Path of the file or directory.
        file: PathBuf,
        /// Error of the operating system.
        cause: std::io::Error,
    },
}

/// What to run, and where.
pub struct Options {
    /// The scenario to play.
    pub scenario: Scenario,
    /// Seed of the load and the faults.
    pub seed: u64,
    /// Directory of the state, the controllers' settings and logs, and the histories.
    pub dir: PathBuf,
    /// Path of the controllers' program.
    pub controller: PathBuf,
    /// Port on which each controller serves users; 0 picks free ports.
    pub public_port: u16,
    /// Address of the entry point for users besides the load, if there is to be one.
    pub front: Option<SocketAddr>,
    /// Called with every line of the history.
    pub line_callback: Option<LineCallback>,
}

/// The result of a run.
pub struct Outcome {
    /// Path of the history.
    pub history: PathBuf,
    /// Lines of the history.
    pub lines: Vec<HistoryLine>,
    /// Verdict on this run and the earlier ones in the same directory.
    pub verdict: Verdict,
}

/// A running emulation: the controllers and everything around them.
struct Emulation {
    scenario: Scenario,
    recorder: Recorder,
    cloud: Mutex<Cloud>,
    driver: Driver,
    cluster: Cluster,
    state: Mutex<StateService>,
    rng: Mutex<StdRng>,
}

/// The state service with what it takes to stop it and start it again, as if it were a
/// process of its own.
struct StateService {
    config: state::Config,
    fault_listener: FaultListener,
    /// `None` while the service is stopped.
    handle: Option<state::Handle>,
    /// Tasks that serve the listeners, one for each controller.
    servers: Vec<JoinHandle<()>>,
    /// Name of each controller, and the address at which the service listens for it.
    endpoints: Vec<(String, SocketAddr)>,
}

/// Plays a scenario to its end, or until `stop` completes. In a directory that earlier runs
/// used, the run continues from their state.
///
/// # Errors
/// A file cannot be read or written, or the emulator or a controller cannot be started.
pub async fn play(options: Options, stop: impl Future<Output = ()>) -> Result<Outcome, RunError> {
    let dir = &options.dir;
    std::fs::create_dir_all(dir).map_err(|cause| RunError::File { file: dir.clone(), cause })?;
    let mut previous = PreviousRuns::read(dir)?;
    let previous_lines = std::mem::take(&mut previous.lines);
    let history = dir.join(format!("history-{}.jsonl", previous.run_number));
    let recorder = Recorder::create(&history, options.line_callback)?;
    let scenario = options.scenario;
    let front = match options.front {
        Some(address) => Some(bind(address).await?),
        None => None,
    };
    let (cluster, sockets) =
        Cluster::start(&scenario, &options.controller, dir, options.public_port, &recorder).await?;
    let endpoints: Vec<(String, SocketAddr)> = cluster.addresses.iter().map(|p| (p.name.clone(), p.public)).collect();
    recorder.record(Event::RunStarted {
        scenario: scenario.name.clone(),
        seed: options.seed,
        facts: site_facts(&scenario, &endpoints),
    });
    let mut state = state_service(&scenario, dir, &cluster, &recorder);
    state.start(sockets.state)?;
    let mut rng = StdRng::seed_from_u64(options.seed);
    let mut fleet = Fleet::new(Scenario::seconds(scenario.workers.gang_peer_s));
    previous.restore(&mut fleet);
    let report_targets = cluster.addresses.iter().map(|p| ReportTarget {
        name: p.name.clone(),
        zone: p.zone.clone(),
        address: p.public,
    });
    let heartbeat_interval = Scenario::seconds(scenario.workers.heartbeat_interval_s);
    let driver = Driver::new(fleet, report_targets.collect(), heartbeat_interval, recorder.clone());
    let worker_port = free_address(Ipv4Addr::new(127, 1, 0, 1), 0)?.port();
    let cloud = Cloud::new(cloud_config(&scenario, worker_port), rng.random(), previous.machines);
    let jobs = load::plan(&scenario, previous.run_number, &mut rng);
    let faults = scenario.faults(&mut rng);
    let user_seed = rng.random();
    let emulation = Arc::new(Emulation {
        recorder: recorder.clone(),
        cloud: Mutex::new(cloud),
        driver: driver.clone(),
        cluster,
        state: Mutex::new(state),
        rng: Mutex::new(rng),
        scenario,
    });
    let mut background = JoinSet::new();
    emulation.create_initial_machines().await;
    background.spawn(emulation.clone().serve_cloud(sockets.cloud));
    background.spawn(emulation.clone().run_ticks());
    background.spawn(emulation.clone().record_samples());
    for (name, fault) in faults {
        background.spawn(emulation.clone().play_fault(name, fault));
    }
    if let Some(listener) = front {
        background.spawn(FrontEnd::new(endpoints.clone(), driver.clone(), recorder.clone()).serve(listener));
    }
    let client = load::client(&endpoints, &recorder)?;
    let finished_jobs = load::FinishedJobs::default();
    let mut users = load::spawn_users(jobs, &client, &driver, &recorder, user_seed, &finished_jobs);
    background.spawn(load::query_jobs(client.clone(), finished_jobs));
    for (uid, cancel) in previous.open_jobs {
        users.spawn(load::follow_earlier_job(client.clone(), uid, cancel));
    }
    let time_limit = emulation.scenario.duration_s + emulation.scenario.settle_s;
    let users_ended = async { while users.join_next().await.is_some() {} };
    let run_ended = async {
        // The load may end before the last fault does; the run waits for both.
        tokio::time::sleep(Duration::from_secs_f64(emulation.scenario.duration_s)).await;
        let _ = tokio::time::timeout(Duration::from_secs_f64(time_limit - emulation.scenario.duration_s), users_ended)
            .await;
    };
    let settled = tokio::select! {
        () = run_ended => true,
        () = stop => false,
    };
    users.shutdown().await;
    recorder.record(Event::RunEnded { settled });
    background.shutdown().await;
    let machines: Vec<String> = lock(&emulation.cloud).alive().map(|(name, _)| name.clone()).collect();
    machines.iter().for_each(|name| emulation.driver.remove(name, "the run is over"));
    let handle = lock(&emulation.state).handle.take();
    if let Some(handle) = handle {
        handle.stop().await;
    }
    lock(&emulation.state).servers.iter().for_each(JoinHandle::abort);
    if let Ok(emulation) = Arc::try_unwrap(emulation).map_err(|_| ()) {
        emulation.cluster.stop().await;
    }
    recorder.flush().map_err(|cause| RunError::File { file: history.clone(), cause })?;
    let lines = history::read(&history)?;
    let verdict = checker::check(&history::join_runs(previous_lines, lines.clone()));
    Ok(Outcome { history, lines, verdict })
}

/// What the checker must know about the site.
fn site_facts(scenario: &Scenario, endpoints: &[(String, SocketAddr)]) -> ClusterFacts {
    ClusterFacts {
        limits: scenario.team.iter().map(|(name, team)| (name.clone(), (team.cpus_max, team.gpus_max))).collect(),
        cancel_s: scenario.workers.cancel_s,
        controllers: endpoints.iter().map(|(name, address)| (name.clone(), address.to_string())).collect(),
    }
}

/// The state service of a scenario, not started yet.
fn state_service(scenario: &Scenario, dir: &Path, cluster: &Cluster, recorder: &Recorder) -> StateService {
    let settings = &scenario.state;
    let limits = Limits {
        rps: settings.rps,
        write_rps: settings.write_rps,
        value_kb: settings.value_kb,
        txn_ops: settings.txn_ops,
    };
    let recorder = recorder.clone();
    let fault_listener: FaultListener = Arc::new(move |event| {
        recorder.record(match event {
            FaultEvent::WriteHit { fault, keys } => Event::StoreFault { what: fault.into(), keys },
            FaultEvent::TailLost { keys, .. } => Event::StoreFault { what: "tail".into(), keys },
        });
    });
    StateService {
        config: state::Config { path: dir.join("state.redb"), fsync: settings.fsync, limits },
        fault_listener,
        handle: None,
        servers: Vec::new(),
        endpoints: cluster.addresses.iter().map(|p| (p.name.clone(), p.state)).collect(),
    }
}

impl StateService {
    /// Starts the service on its log, and serves one listener for each controller.
    fn start(&mut self, listeners: Vec<TcpListener>) -> Result<(), LogError> {
        let handle = state::start(&self.config, self.fault_listener.clone())?;
        let served = self.endpoints.iter().zip(listeners);
        let serve = |((member, _), listener): (&(String, SocketAddr), TcpListener)| {
            tokio::spawn(handle.clone().serve(member.clone(), listener))
        };
        self.servers = served.map(serve).collect();
        self.handle = Some(handle);
        Ok(())
    }
}

/// The settings of the emulated cloud.
fn cloud_config(scenario: &Scenario, worker_port: u16) -> CloudConfig {
    let offer = |(label, m): (&String, &crate::scenario::MachineType)| Offer {
        machine_type: MachineType {
            name: label.clone(),
            cores: m.cpus,
            gpus: m.gpus,
            mem_gb: m.memory_gb,
            disk_gb: m.cache_gb,
            pull_gb_per_s: m.fetch_gb_per_s,
            on_demand_price: m.on_demand_price,
            spot_price: m.spot_price,
            startup_s: m.boot_s,
            zones: scenario.zones.clone(),
        },
        capacity: scenario.zones.iter().map(|zone| (zone.clone(), (m.on_demand, m.spot))).collect(),
        never_up_share: m.cold_share,
    };
    CloudConfig {
        offers: scenario.machine_type.iter().map(offer).collect(),
        rps: scenario.cloud.rps,
        list_lag: Scenario::seconds(scenario.cloud.list_lag_s),
        preemption_notice: Scenario::seconds(scenario.cloud.notice_s),
        no_notice_share: scenario.cloud.silent_share,
        worker_port,
    }
}

/// What earlier runs in the same directory left behind.
struct PreviousRuns {
    /// Number of the run that now begins, from 1.
    run_number: u32,
    /// Upper bound on the numbers of the machines that were rented; a name is never used again.
    machines: u32,
    /// All jobs that were submitted.
    descriptions: Vec<JobDescription>,
    /// Tasks that are done, by job and index.
    done: Vec<(String, u32)>,
    /// Accepted jobs that no user was told the end of, and whether the user is to cancel
    /// them, as is the case for services.
    open_jobs: Vec<(String, bool)>,
    /// Their histories, at times before 0: a rule may be broken across runs.
    lines: Vec<HistoryLine>,
}

impl PreviousRuns {
    /// Reads the histories in a directory, in their order.
    fn read(dir: &Path) -> Result<PreviousRuns, HistoryError> {
        let mut previous = PreviousRuns {
            run_number: 1,
            machines: 0,
            descriptions: Vec::new(),
            done: Vec::new(),
            open_jobs: Vec::new(),
            lines: Vec::new(),
        };
        // Whether each job was accepted, and whether it is a service.
        let mut jobs: BTreeMap<String, (bool, bool)> = BTreeMap::new();
        let mut ended: HashSet<String> = HashSet::new();
        loop {
            let file = dir.join(format!("history-{}.jsonl", previous.run_number));
            if !file.exists() {
                break;
            }
            previous.run_number += 1;
            let lines = history::read(&file)?;
            previous.lines = history::join_runs(std::mem::take(&mut previous.lines), lines.clone());
            for line in lines {
                match line.event {
                    Event::Job { spec } => {
                        let service = spec.kind == JobKind::Service;
                        let run = if service { f32::INFINITY } else { spec.estimated_run_s.max(0.05) as f32 };
                        jobs.entry(spec.uid.clone()).or_insert((false, service));
                        let run_s = vec![run; spec.task_count as usize];
                        previous.descriptions.push(JobDescription { spec, run_s, always_fails: false });
                    }
                    Event::UserRequest { uid, status: Some(200 | 201), state, .. } => {
                        if let Some((accepted, _)) = jobs.get_mut(&uid) {
                            *accepted = true;
                        }
                        if matches!(state, Some(Status::Done | Status::Cancelled)) {
                            ended.insert(uid);
                        }
                    }
                    Event::Stop { job, index, cause, .. } if cause == "done" => previous.done.push((job, index)),
                    Event::MachineUp { machine, .. } => {
                        let number: u32 = machine.trim_start_matches("host-").parse().unwrap_or(0);
                        previous.machines = previous.machines.max(number + SKIPPED_MACHINE_NUMBERS);
                    }
                    _ => {}
                }
            }
        }
        let open = jobs.into_iter().filter(|(uid, (accepted, _))| *accepted && !ended.contains(uid));
        previous.open_jobs = open.map(|(uid, (_, service))| (uid, service)).collect();
        Ok(previous)
    }

    /// Gives the fleet the descriptions of all jobs, and the tasks that are done.
    fn restore(&self, fleet: &mut Fleet) {
        self.descriptions.iter().for_each(|d| fleet.upload(d.clone()));
        self.done.iter().for_each(|(job, index)| fleet.mark_finished(job, *index));
    }
}

impl Emulation {
    fn now(&self) -> Duration {
        self.recorder.now()
    }

    /// Creates the machines that are up when the run begins.
    async fn create_initial_machines(&self) {
        for (label, machine_type) in &self.scenario.machine_type {
            for zone in &self.scenario.zones {
                for _ in 0..machine_type.up {
                    lock(&self.cloud).add_machine(self.now(), label, zone, false, true);
                }
            }
        }
        self.apply_cloud_events().await;
    }

    /// Carries out on the machines what the cloud decided: boots, preemption notices, ends.
    async fn apply_cloud_events(&self) {
        let events = lock(&self.cloud).advance(self.now());
        for event in events {
            match event {
                CloudEvent::Up { name } => {
                    let Some((traits, addr)) = self.machine_traits(&name) else { continue };
                    if let Err(e) = self.driver.boot(traits, addr).await {
                        eprintln!("finchquay-emulator: {addr}: {e}; machine {name} cannot listen and stays silent");
                    }
                }
                CloudEvent::PreemptionNotice { name, at } => {
                    self.driver.fleet().update(&name, self.now(), |worker, _| worker.preempt_at = Some(at));
                }
                CloudEvent::Gone { name, why } => self.driver.remove(&name, why),
            }
        }
    }

    /// The properties of a rented machine, with some random variation in its speed.
    fn machine_traits(&self, name: &str) -> Option<(MachineTraits, SocketAddr)> {
        let cloud = lock(&self.cloud);
        let mut rng = lock(&self.rng);
        let rental = cloud.rental(name)?;
        let machine_type = cloud.machine_type(&rental.machine_type)?;
        let traits = MachineTraits {
            name: name.into(),
            addr: rental.addr.to_string(),
            machine_type: rental.machine_type.clone(),
            zone: rental.zone.clone(),
            spot: rental.spot,
            cores: machine_type.cores,
            gpus: machine_type.gpus,
            mem_gb: machine_type.mem_gb,
            cache_gb: machine_type.disk_gb,
            gb_per_s: machine_type.pull_gb_per_s * rng.random_range(0.7..1.3),
            speed: rng.random_range(0.95..1.05),
            lease: Scenario::seconds(self.scenario.workers.lease_s),
            gang_wait: Scenario::seconds(self.scenario.workers.gang_wait_s),
        };
        Some((traits, rental.addr))
    }

    /// Serves the API of the emulated cloud until dropped.
    async fn serve_cloud(self: Arc<Self>, listener: TcpListener) {
        let emulation = self.clone();
        http::serve(listener, MAX_BODY_BYTES, move |request| {
            let emulation = emulation.clone();
            async move {
                let response = service::answer(&mut lock(&emulation.cloud), emulation.now(), &request);
                // Machines that this request released must be gone before the answer arrives.
                emulation.apply_cloud_events().await;
                response
            }
        })
        .await;
    }

    /// Advances the cloud and the machines until dropped.
    async fn run_ticks(self: Arc<Self>) {
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            self.apply_cloud_events().await;
            self.driver.advance();
        }
    }

    /// Records a sample of the cluster at each interval until dropped.
    async fn record_samples(self: Arc<Self>) {
        loop {
            let handle = lock(&self.state).handle.clone();
            let counts = match handle {
                Some(handle) => handle.counts().await,
                None => state::Counts::default(),
            };
            let (up, booting, spent) = {
                let cloud = lock(&self.cloud);
                let up = cloud.alive().filter(|(_, rental)| rental.up).count();
                (up as u32, (cloud.alive().count() - up) as u32, cloud.spent(self.now()))
            };
            let running = self.driver.fleet().workers().map(|worker| worker.running_tasks()).sum::<usize>();
            self.recorder.record(Event::Sample {
                machines_up: up,
                machines_booting: booting,
                tasks_running: running as u32,
                store_changes: counts.changes,
                store_requests: counts.requests,
                spent,
                controllers: self.cluster.usage(),
            });
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    }

    /// Plays one fault: waits for its time, begins it, and ends it after its duration.
    async fn play_fault(self: Arc<Self>, name: String, fault: Fault) {
        let at = Scenario::seconds(fault.at_s);
        tokio::time::sleep(at.saturating_sub(self.now())).await;
        self.recorder.record(Event::Fault { name: name.clone(), on: true });
        let machines = self.begin_fault(&fault).await;
        if let Some(for_s) = fault.for_s {
            tokio::time::sleep(Scenario::seconds(for_s)).await;
            self.end_fault(&fault, machines).await;
        }
        self.recorder.record(Event::Fault { name, on: false });
    }

    /// Injects a fault into the state service, unless it is stopped.
    fn inject_store_fault(&self, fault: StoreFault) {
        if let Some(handle) = &lock(&self.state).handle {
            handle.inject(fault);
        }
    }

    /// Name of a controller by its number; empty without a number.
    fn controller_name(&self, number: Option<usize>) -> String {
        number.and_then(|number| self.cluster.addresses.get(number)).map_or_else(String::new, |p| p.name.clone())
    }

    /// Numbers of the controllers that a fault hits: the one it names, or all.
    fn affected_controllers(&self, fault: &Fault) -> Vec<usize> {
        fault.controller.map_or_else(|| (0..self.cluster.addresses.len()).collect(), |i| vec![i])
    }

    /// Picks machines at random among those that are up.
    fn random_machines(&self, count: u32) -> Vec<String> {
        let mut names: Vec<String> =
            lock(&self.cloud).alive().filter(|(_, rental)| rental.up).map(|(name, _)| name.clone()).collect();
        let mut rng = lock(&self.rng);
        let mut picked = Vec::new();
        while picked.len() < count as usize && !names.is_empty() {
            picked.push(names.swap_remove(rng.random_range(0..names.len())));
        }
        picked
    }

    /// Begins a fault. Returns the machines that it hit, where it hits machines for a time.
    async fn begin_fault(&self, fault: &Fault) -> Vec<String> {
        use FaultKind as K;
        let (now, count, factor) = (self.now(), fault.count.unwrap_or(1), fault.factor.unwrap_or(1.0));
        let late = Scenario::seconds(fault.late_s.unwrap_or(0.0));
        let restart = fault.restart_s.map(Scenario::seconds);
        let inject_cloud_fault = |cloud_fault| lock(&self.cloud).inject(now, &cloud_fault);
        let machine_type = fault.machine_type.clone();
        let inject_write_fault = |write_fault| {
            let prefix = fault.prefix.clone().unwrap_or_default();
            let skip = fault.skip.unwrap_or(0);
            self.inject_store_fault(StoreFault::Write(WriteFaultRule { fault: write_fault, prefix, skip, count }));
        };
        match fault.kind {
            K::StoreOutage => self.inject_store_fault(StoreFault::Outage(true)),
            K::StoreRefuse => self.inject_store_fault(StoreFault::Refuse(self.controller_name(fault.controller), true)),
            K::StoreCut => self.inject_store_fault(StoreFault::Cut(self.controller_name(fault.controller), true)),
            K::StoreMute => self.inject_store_fault(StoreFault::Mute(self.controller_name(fault.controller), true)),
            K::StoreSlow => self.inject_store_fault(StoreFault::Slow(Some((late / 2, late)))),
            K::StoreRestart => self.kill_state_service().await,
            K::WriteLost => inject_write_fault(WriteFault::Lose),
            K::WriteUnanswered => inject_write_fault(WriteFault::Unanswered),
            K::WriteLate => inject_write_fault(WriteFault::Late(late)),
            K::TailLost => self.inject_store_fault(StoreFault::LoseTail(u64::from(count))),
            K::CloudOutage => inject_cloud_fault(CloudFault::Outage(true)),
            K::BootsLate => inject_cloud_fault(CloudFault::SlowBoot { machine_type, factor }),
            K::BootsCold => inject_cloud_fault(CloudFault::FailedBoot { machine_type, on: true }),
            K::Scarce => inject_cloud_fault(CloudFault::ReducedCapacity(factor)),
            K::Recall => inject_cloud_fault(CloudFault::Preempt { count }),
            K::Die => inject_cloud_fault(CloudFault::Fail { count }),
            K::MachinesCut | K::MachinesHang | K::MachinesSick | K::MachinesSlow => {
                let names = self.random_machines(count);
                self.set_machine_fault(fault, &names, true);
                return names;
            }
            K::CommandsAgain => self.driver.repeat_commands(Some(late)),
            K::ZoneCut => self.driver.change_partitions(|c| c.zones.extend(fault.zone.clone())),
            K::ZoneLinkCut => {
                let link = (fault.zone.clone().unwrap_or_default(), self.controller_name(fault.controller));
                self.driver.change_partitions(|c| c.links.extend([link]));
            }
            K::ControllerKill => {
                for n in 0..count {
                    if n > 0 {
                        tokio::time::sleep(late).await;
                    }
                    self.affected_controllers(fault).into_iter().for_each(|i| self.cluster.kill(i, restart));
                }
            }
            K::ControllerFreeze => {
                self.affected_controllers(fault).into_iter().for_each(|i| self.cluster.freeze(i, true))
            }
            K::ControllerDeaf => {
                let member = self.controller_name(fault.controller);
                self.driver.change_partitions(|c| c.controllers.extend([member]));
            }
            K::PeersRefused => {
                self.affected_controllers(fault).into_iter().for_each(|i| self.cluster.refuse_peers(i, true))
            }
            K::Rolling => {
                let restart_time = restart.unwrap_or(Scenario::seconds(self.scenario.controllers.restart_s));
                let pause = late.max(restart_time * 2);
                for i in 0..self.cluster.addresses.len() {
                    self.cluster.kill(i, restart);
                    tokio::time::sleep(pause).await;
                }
            }
        }
        Vec::new()
    }

    /// Ends a fault; `machines` are those that it hit. Faults without a duration end by
    /// themselves.
    async fn end_fault(&self, fault: &Fault, machines: Vec<String>) {
        use FaultKind as K;
        let now = self.now();
        let inject_cloud_fault = |cloud_fault| lock(&self.cloud).inject(now, &cloud_fault);
        let machine_type = fault.machine_type.clone();
        match fault.kind {
            K::StoreOutage => self.inject_store_fault(StoreFault::Outage(false)),
            K::StoreRefuse => {
                self.inject_store_fault(StoreFault::Refuse(self.controller_name(fault.controller), false))
            }
            K::StoreCut => self.inject_store_fault(StoreFault::Cut(self.controller_name(fault.controller), false)),
            K::StoreMute => self.inject_store_fault(StoreFault::Mute(self.controller_name(fault.controller), false)),
            K::StoreSlow => self.inject_store_fault(StoreFault::Slow(None)),
            K::StoreRestart => self.restart_state_service().await,
            K::CloudOutage => inject_cloud_fault(CloudFault::Outage(false)),
            K::BootsLate => inject_cloud_fault(CloudFault::SlowBoot { machine_type, factor: 1.0 }),
            K::BootsCold => inject_cloud_fault(CloudFault::FailedBoot { machine_type, on: false }),
            K::Scarce => inject_cloud_fault(CloudFault::ReducedCapacity(1.0)),
            K::MachinesCut | K::MachinesHang | K::MachinesSick | K::MachinesSlow => {
                self.set_machine_fault(fault, &machines, false)
            }
            K::CommandsAgain => self.driver.repeat_commands(None),
            K::ZoneCut => self.driver.change_partitions(|c| c.zones.retain(|z| Some(z) != fault.zone.as_ref())),
            K::ZoneLinkCut => {
                let link = (fault.zone.clone().unwrap_or_default(), self.controller_name(fault.controller));
                self.driver.change_partitions(|c| c.links.retain(|l| *l != link));
            }
            K::ControllerFreeze => {
                self.affected_controllers(fault).into_iter().for_each(|i| self.cluster.freeze(i, false))
            }
            K::ControllerDeaf => {
                let member = self.controller_name(fault.controller);
                self.driver.change_partitions(|c| c.controllers.retain(|m| *m != member));
            }
            K::PeersRefused => {
                self.affected_controllers(fault).into_iter().for_each(|i| self.cluster.refuse_peers(i, false))
            }
            K::WriteLost | K::WriteUnanswered | K::WriteLate | K::TailLost | K::Recall | K::Die => {}
            K::ControllerKill | K::Rolling => {}
        }
    }

    /// Begins or ends a fault on machines.
    fn set_machine_fault(&self, fault: &Fault, names: &[String], on: bool) {
        let now = self.now();
        if fault.kind == FaultKind::MachinesCut {
            return self.driver.change_partitions(|c| {
                if on {
                    c.machines.extend(names.iter().cloned());
                } else {
                    c.machines.retain(|m| !names.contains(m));
                }
            });
        }
        let factor = fault.factor.unwrap_or(1.0);
        for name in names {
            self.driver.fleet().update(name, now, |worker, shared| match fault.kind {
                FaultKind::MachinesHang => worker.set_hung(now, on, shared),
                FaultKind::MachinesSick => worker.faulty = on,
                _ => worker.scale_speed(if on { 1.0 / factor } else { factor }),
            });
        }
    }

    /// Ends the state service as a kill would: every connection breaks, and what is not in
    /// its log is lost.
    async fn kill_state_service(&self) {
        let (handle, servers) = {
            let mut state = lock(&self.state);
            (state.handle.take(), std::mem::take(&mut state.servers))
        };
        servers.iter().for_each(JoinHandle::abort);
        if let Some(handle) = handle {
            handle.stop().await;
        }
    }

    /// Starts the state service again from its log, at its old addresses.
    async fn restart_state_service(&self) {
        let endpoints = lock(&self.state).endpoints.clone();
        let mut listeners = Vec::new();
        for (_, address) in &endpoints {
            let mut retries = 0;
            let listener = loop {
                match bind(*address).await {
                    Ok(listener) => break Some(listener),
                    Err(e) if retries == MAX_BIND_RETRIES => {
                        eprintln!("finchquay-emulator: the state service cannot be started again: {e}");
                        break None;
                    }
                    Err(_) => retries += 1,
                }
                tokio::time::sleep(TICK_INTERVAL).await;
            };
            listeners.extend(listener);
        }
        if let Err(e) = lock(&self.state).start(listeners) {
            eprintln!("finchquay-emulator: the state service cannot be started again: {e}");
        }
    }
}
