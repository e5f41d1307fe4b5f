//! Controllers of a run: real processes, started with a settings file as in a deployment,
//! supervised, killed and frozen. Connections between them pass through relays that can
//! refuse them.

use crate::history::{Event, Recorder};
use crate::scenario::Scenario;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener as StdListener};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI32, Ordering};
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, JoinSet};

/// Why the controllers cannot be started.
#[derive(Debug, Error)]
pub enum ClusterError {
    /// The controller program does not exist.
    #[error("{}: no controller program there; build it with `cargo build --release` or name one with --controller", .0.display())]
    MissingProgram(PathBuf),
    /// A listener cannot be bound.
    #[error("{address}: {cause}")]
    Address {
        /// Address of the listener.
        address: SocketAddr,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// A settings file cannot be written.
    #[error("{}: {cause}", file.display())]
    File {
        /// Path of the file.
        file: PathBuf,
        /// Error of the file system.
        cause: std::io::Error,
    },
    /// The settings cannot be serialised.
    #[error("{0}")]
    Settings(toml::ser::Error),
}

/// Name, zone and addresses of one controller.
#[derive(Debug, Clone)]
pub struct ControllerAddresses {
    /// Name of the controller.
    pub name: String,
    /// Zone of the controller.
    pub zone: String,
    /// Address for users and workers.
    pub public: SocketAddr,
    /// Address at which it listens for other controllers.
    peers: SocketAddr,
    /// Address of its relay, to which other controllers connect.
    relay: SocketAddr,
    /// Address of the state service for this controller alone, so that faults can be
    /// injected for one controller.
    pub state: SocketAddr,
}

enum ProcessCommand {
    /// Kill the process and start it again after this time; after the restart time of the
    /// scenario where absent.
    Kill(Option<Duration>),
    /// Kill the process for good.
    Stop,
}

/// Handle of a supervised controller process.
struct Controller {
    commands: mpsc::UnboundedSender<ProcessCommand>,
    /// Process id; 0 while no process runs.
    pid: Arc<AtomicI32>,
    supervisor: JoinHandle<()>,
}

/// All controllers of a run.
pub struct Cluster {
    /// Addresses of the controllers, by their number.
    pub addresses: Vec<ControllerAddresses>,
    controllers: Vec<Controller>,
    /// Whether the relay of each controller refuses connections.
    refused: Vec<Arc<AtomicBool>>,
    _relays: JoinSet<()>,
}

/// Listeners of the emulated services, which the controllers connect to.
pub struct ServiceListeners {
    /// Listeners of the state service, one for each controller.
    pub state: Vec<TcpListener>,
    /// Listener of the cloud.
    pub cloud: TcpListener,
}

/// Binds a listener. The error names the address.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, ClusterError> {
    TcpListener::bind(address).await.map_err(|cause| ClusterError::Address { address, cause })
}

/// Returns an address with a port that is free: `requested`, or any port where that is 0.
/// Fails if the requested port is in use.
pub fn free_address(ip: Ipv4Addr, requested: u16) -> Result<SocketAddr, ClusterError> {
    let address = SocketAddr::from((ip, requested));
    let bound = StdListener::bind(address).and_then(|listener| listener.local_addr());
    bound.map_err(|cause| ClusterError::Address { address, cause })
}

impl Cluster {
    /// Chooses addresses, writes the settings files to `dir` and starts the controllers.
    /// Every controller uses `public_port` on an address of its own; 0 chooses free ports.
    pub async fn start(
        scenario: &Scenario,
        binary: &Path,
        dir: &Path,
        public_port: u16,
        recorder: &Recorder,
    ) -> Result<(Cluster, ServiceListeners), ClusterError> {
        if !binary.is_file() {
            return Err(ClusterError::MissingProgram(binary.into()));
        }
        let ip = |subnet: u8, i: usize| Ipv4Addr::new(127, 0, subnet, i as u8 + 1);
        let local_address = |listener: &TcpListener, address| {
            listener.local_addr().map_err(|cause| ClusterError::Address { address, cause })
        };
        let (mut addresses, mut state, mut relays) = (Vec::new(), Vec::new(), Vec::new());
        for i in 0..scenario.controllers.count {
            let any_port = SocketAddr::from((ip(2, i), 0));
            let (state_listener, relay) = (bind(any_port).await?, bind(SocketAddr::from((ip(4, i), 0))).await?);
            addresses.push(ControllerAddresses {
                name: format!("perch-{i}"),
                zone: scenario.zones[i % scenario.zones.len()].clone(),
                public: free_address(ip(1, i), public_port)?,
                peers: free_address(ip(1, i), 0)?,
                relay: local_address(&relay, any_port)?,
                state: local_address(&state_listener, any_port)?,
            });
            state.push(state_listener);
            relays.push(relay);
        }
        let any_port = SocketAddr::from((ip(3, 0), 0));
        let cloud = bind(any_port).await?;
        let cloud_address = local_address(&cloud, any_port)?;
        let (mut relay_tasks, mut refused) = (JoinSet::new(), Vec::new());
        for (own, relay) in addresses.iter().zip(relays) {
            let refuse = Arc::new(AtomicBool::new(false));
            relay_tasks.spawn(relay_loop(relay, own.peers, refuse.clone()));
            refused.push(refuse);
        }
        let mut controllers = Vec::new();
        for (i, own) in addresses.iter().enumerate() {
            let file = dir.join(format!("{}.toml", own.name));
            let text = settings(scenario, &addresses, i, cloud_address).map_err(ClusterError::Settings)?;
            std::fs::write(&file, text).map_err(|cause| ClusterError::File { file: file.clone(), cause })?;
            let log = dir.join(format!("{}.log", own.name));
            let (commands, inbox) = mpsc::unbounded_channel();
            let pid = Arc::new(AtomicI32::new(0));
            let supervisor = Supervisor {
                member: own.name.clone(),
                binary: binary.into(),
                settings: file,
                log,
                restart: Duration::from_secs_f64(scenario.controllers.restart_s),
                pid: pid.clone(),
                recorder: recorder.clone(),
            };
            let supervisor = tokio::spawn(supervisor.run(inbox));
            controllers.push(Controller { commands, pid, supervisor });
        }
        Ok((Cluster { addresses, controllers, refused, _relays: relay_tasks }, ServiceListeners { state, cloud }))
    }

    /// Kills controller `i` with SIGKILL. It is started again after `restart`, or after the
    /// restart time of the scenario where that is absent. Has no effect while the process is
    /// not running.
    pub fn kill(&self, i: usize, restart: Option<Duration>) {
        if let Some(controller) = self.controllers.get(i) {
            let _ = controller.commands.send(ProcessCommand::Kill(restart));
        }
    }

    /// Suspends (`on`) or resumes the process of controller `i`. Its clocks run on.
    pub fn freeze(&self, i: usize, on: bool) {
        let pid = self.controllers.get(i).and_then(|c| Pid::from_raw(c.pid.load(Ordering::SeqCst)));
        if let Some(pid) = pid {
            let _ = kill_process(pid, if on { Signal::STOP } else { Signal::CONT });
        }
    }

    /// While `on`, refuses connections of other controllers to controller `i` and closes
    /// those that are open.
    pub fn refuse_peers(&self, i: usize, on: bool) {
        if let Some(refused) = self.refused.get(i) {
            refused.store(on, Ordering::SeqCst);
        }
    }

    /// Memory in MB and CPU time in seconds of each controller that runs.
    pub fn usage(&self) -> BTreeMap<String, (f64, f64)> {
        let mut usage = BTreeMap::new();
        for (addresses, controller) in self.addresses.iter().zip(&self.controllers) {
            let pid = controller.pid.load(Ordering::SeqCst);
            let stat = (pid > 0).then(|| procfs::process::Process::new(pid).and_then(|p| p.stat()).ok()).flatten();
            if let Some(stat) = stat {
                let memory_mb = stat.rss as f64 * procfs::page_size() as f64 / 1_048_576.0;
                let cpu_s = (stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64;
                usage.insert(addresses.name.clone(), (memory_mb, cpu_s));
            }
        }
        usage
    }

    /// Kills every controller for good, and waits until all have exited.
    pub async fn stop(self) {
        for controller in &self.controllers {
            let _ = controller.commands.send(ProcessCommand::Stop);
        }
        for controller in self.controllers {
            let _ = controller.supervisor.await;
        }
    }
}

/// Runs the process of one controller and starts it again whenever it exits.
struct Supervisor {
    member: String,
    binary: PathBuf,
    settings: PathBuf,
    /// File to which the standard error of the process is appended.
    log: PathBuf,
    /// Time until a restart, unless the kill gives another one.
    restart: Duration,
    /// Process id; 0 while no process runs.
    pid: Arc<AtomicI32>,
    recorder: Recorder,
}

impl Supervisor {
    fn spawn(&self) -> std::io::Result<Child> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        Command::new(&self.binary)
            .arg("--config")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            // A process group of its own: Ctrl-C in the terminal must reach only the emulator,
            // which then ends its children.
            .process_group(0)
            .kill_on_drop(true)
            .spawn()
    }

    fn record(&self, what: &str) {
        self.recorder.record(Event::Controller { controller: self.member.clone(), what: what.into() });
    }

    /// Runs the process until a command to stop, and records its starts and ends.
    async fn run(self, mut commands: mpsc::UnboundedReceiver<ProcessCommand>) {
        loop {
            let mut child = match self.spawn() {
                Ok(child) => child,
                Err(e) => {
                    eprintln!("finchquay-emulator: {}: {e}", self.binary.display());
                    self.record("not started");
                    return;
                }
            };
            self.pid.store(child.id().map_or(0, |p| p as i32), Ordering::SeqCst);
            self.record("started");
            let command = tokio::select! {
                _ = child.wait() => None,
                command = commands.recv() => Some(command),
            };
            self.pid.store(0, Ordering::SeqCst);
            let _ = child.kill().await;
            let restart = match command {
                None => {
                    self.record("ended");
                    None
                }
                Some(Some(ProcessCommand::Kill(restart))) => {
                    self.record("killed");
                    restart
                }
                Some(Some(ProcessCommand::Stop) | None) => return,
            };
            let pause = tokio::time::sleep(restart.unwrap_or(self.restart));
            tokio::pin!(pause);
            loop {
                tokio::select! {
                    () = &mut pause => break,
                    command = commands.recv() => if matches!(command, Some(ProcessCommand::Stop) | None) { return },
                }
            }
        }
    }
}

/// Forwards connections to the peer port of a controller, unless they are refused.
async fn relay_loop(listener: TcpListener, to: SocketAddr, refused: Arc<AtomicBool>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((mut inbound, _)) = accepted else { continue };
                if refused.load(Ordering::SeqCst) {
                    continue;
                }
                let _ = inbound.set_nodelay(true);
                connections.spawn(async move {
                    if let Ok(mut outbound) = TcpStream::connect(to).await {
                        let _ = outbound.set_nodelay(true);
                        let _ = tokio::io::copy_bidirectional(&mut inbound, &mut outbound).await;
                    }
                });
            }
            Some(_) = connections.join_next() => {}
            () = tokio::time::sleep(Duration::from_millis(100)) => {
                if refused.load(Ordering::SeqCst) {
                    connections.abort_all();
                }
            }
        }
    }
}

/// Builds the settings file of controller `i`, as a deployment platform would provide it.
fn settings(
    scenario: &Scenario,
    controllers: &[ControllerAddresses],
    i: usize,
    cloud: SocketAddr,
) -> Result<String, toml::ser::Error> {
    let own = &controllers[i];
    let others: Vec<_> = controllers
        .iter()
        .filter(|other| other.name != own.name)
        .map(|other| json!({"member": other.name, "zone": other.zone, "peer_addr": other.relay}))
        .collect();
    let teams: Vec<_> = scenario
        .team
        .iter()
        .map(|(name, team)| {
            json!({
                "name": name, "cpus": team.cpus, "cpus_max": team.cpus_max, "gpus": team.gpus,
                "gpus_max": team.gpus_max,
            })
        })
        .collect();
    let mut objectives = Vec::new();
    for (class, load) in &scenario.load {
        if let Some(within_s) = load.start_within_s {
            objectives.push(json!({"kind": "wait", "class": class, "within_s": within_s, "share": 0.9}));
        }
        if load.deadline_factor.is_some() {
            objectives.push(json!({"kind": "deadline", "class": class, "times": 1.0, "share": 0.9}));
        }
    }
    let workers = &scenario.workers;
    toml::to_string(&json!({
        "member": own.name,
        "zone": own.zone,
        "public_addr": own.public,
        "peer_bind": own.peers,
        "others": others,
        "outside": {"cloud": cloud, "state": own.state},
        "settings": {
            "initial_size": controllers.len(),
            "zones": scenario.zones,
            "time_bound_ms": 100.0,
            "teams": teams,
            "objectives": objectives,
            "workers": {
                "report_s": workers.heartbeat_interval_s, "lease_s": workers.lease_s,
                "gang_wait_s": workers.gang_wait_s, "gang_peer_s": workers.gang_peer_s, "cancel_s": workers.cancel_s,
            },
            "state": {
                "rps": scenario.state.rps, "write_rps": scenario.state.write_rps, "value_kb": scenario.state.value_kb,
                "txn_ops": scenario.state.txn_ops,
            },
            "cloud": {"rps": scenario.cloud.rps, "list_lag_s": scenario.cloud.list_lag_s},
            "machine_limits": {
                "core_share": scenario.controllers.core_share, "ram_mb": scenario.controllers.ram_mb,
                "max_connections": scenario.controllers.max_connections,
            },
        },
    }))
}

#[cfg(test)]
mod tests;
