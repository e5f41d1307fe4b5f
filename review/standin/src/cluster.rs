//! The platform: starts the controllers as processes with the `run` command of the deploy file,
//! starts them again when they end, and ends them for memory.

use crate::world::{Workers, World};
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub struct Team {
    pub name: &'static str,
    pub cpus_max: f64,
}

/// The settings of a deployment.
pub struct Deployment {
    pub zones: &'static [&'static str],
    pub controllers: usize,
    pub teams: Vec<Team>,
    /// Lines of `[[settings.objectives]]`.
    pub objectives: &'static str,
    pub workers: Workers,
    pub state_rps: f64,
    pub write_rps: f64,
    pub value_kb: usize,
    pub txn_ops: usize,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub core_share: f64,
    pub ram_mb: f64,
    pub max_connections: usize,
    pub restart_s: f64,
}

struct Node {
    name: String,
    config: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    ended_at: Option<Instant>,
}

pub struct Cluster {
    nodes: Mutex<Vec<Node>>,
    run: Vec<String>,
    world: Arc<World>,
    stop: AtomicBool,
    restart: Duration,
    ram_mb: f64,
    /// Ends of processes that the case did not cause: by themselves, or for memory.
    pub ends: Mutex<Vec<(f64, String)>>,
    /// The most memory that each process held, in MiB.
    pub peak_mb: Mutex<Vec<f64>>,
}

/// Addresses of the controllers, on free ports: one for users and workers, one for peers. They are
/// below the ports that the system gives to outgoing connections, so that no connection has taken
/// one of them when a process that ended is started again.
pub fn free_addresses(count: usize) -> Vec<(SocketAddr, SocketAddr)> {
    let mut port = 20_000 + (std::process::id() * 31 % 9_000) as u16;
    let mut next = || {
        loop {
            port = if port >= 32_000 { 20_000 } else { port + 1 };
            if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
                return listener.local_addr().expect("an address");
            }
        }
    };
    (0..count).map(|_| (next(), next())).collect()
}

fn settings(
    deployment: &Deployment,
    at: usize,
    addresses: &[(SocketAddr, SocketAddr)],
    state: SocketAddr,
    cloud: SocketAddr,
) -> String {
    let zone = |at: usize| deployment.zones[at % deployment.zones.len()];
    let zones: Vec<String> = deployment.zones.iter().map(|zone| format!("\"{zone}\"")).collect();
    let mut text = format!(
        "member = \"perch-{at}\"\nzone = \"{}\"\npublic_addr = \"{}\"\npeer_bind = \"{}\"\n\n",
        zone(at),
        addresses[at].0,
        addresses[at].1
    );
    for other in (0..addresses.len()).filter(|other| *other != at) {
        text += &format!(
            "[[others]]\nmember = \"perch-{other}\"\nzone = \"{}\"\npeer_addr = \"{}\"\n\n",
            zone(other),
            addresses[other].1
        );
    }
    text += &format!(
        "[outside]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n\n[settings]\ninitial_size = {}\nzones = [{}]\ntime_bound_ms = 100.0\n\n",
        deployment.controllers,
        zones.join(", ")
    );
    for team in &deployment.teams {
        text += &format!(
            "[[settings.teams]]\nname = \"{}\"\ncpus = 0.0\ncpus_max = {:?}\ngpus = 0.0\ngpus_max = 0.0\n\n",
            team.name, team.cpus_max
        );
    }
    text += deployment.objectives;
    let Workers { report_s, lease_s, cancel_s } = deployment.workers;
    text += &format!(
        "\n[settings.workers]\nreport_s = {report_s:?}\nlease_s = {lease_s:?}\ngang_wait_s = 40.0\ngang_peer_s = 4.0\ncancel_s = {cancel_s:?}\n\n\
         [settings.state]\nrps = {:?}\nwrite_rps = {:?}\nvalue_kb = {}.0\ntxn_ops = {}\n\n\
         [settings.cloud]\nrps = {:?}\nlist_lag_s = {:?}\n\n\
         [settings.machine_limits]\ncore_share = {:?}\nram_mb = {:?}\nmax_connections = {}\n",
        deployment.state_rps,
        deployment.write_rps,
        deployment.value_kb,
        deployment.txn_ops,
        deployment.cloud_rps,
        deployment.list_lag_s,
        deployment.core_share,
        deployment.ram_mb,
        deployment.max_connections
    );
    text
}

impl Cluster {
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        deployment: &Deployment,
        run: &str,
        folder: &Path,
        addresses: &[(SocketAddr, SocketAddr)],
        state: SocketAddr,
        cloud: SocketAddr,
        world: &Arc<World>,
    ) -> Result<Arc<Cluster>, String> {
        let mut nodes = Vec::new();
        for at in 0..deployment.controllers {
            let config = folder.join(format!("perch-{at}.toml"));
            std::fs::write(&config, settings(deployment, at, addresses, state, cloud))
                .map_err(|error| error.to_string())?;
            let log = folder.join(format!("perch-{at}.log"));
            nodes.push(Node { name: format!("perch-{at}"), config, log, child: None, ended_at: None });
        }
        let cluster = Arc::new(Cluster {
            nodes: Mutex::new(nodes),
            run: run.split_whitespace().map(str::to_string).collect(),
            world: world.clone(),
            stop: AtomicBool::new(false),
            restart: Duration::from_secs_f64(deployment.restart_s),
            ram_mb: deployment.ram_mb,
            ends: Mutex::default(),
            peak_mb: Mutex::new(vec![0.0; deployment.controllers]),
        });
        for node in cluster.nodes.lock().unwrap().iter_mut() {
            cluster.spawn(node)?;
        }
        let supervised = cluster.clone();
        std::thread::spawn(move || {
            while !supervised.stop.load(Ordering::Relaxed) {
                supervised.supervise();
                std::thread::sleep(Duration::from_millis(10));
            }
        });
        Ok(cluster)
    }

    fn spawn(&self, node: &mut Node) -> Result<(), String> {
        let log = File::options().create(true).append(true).open(&node.log).map_err(|error| error.to_string())?;
        let child = Command::new(&self.run[0])
            .args(&self.run[1..])
            .arg(&node.config)
            .env("LOG_LEVEL", std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|error| format!("{}: {error}", self.run[0]))?;
        self.world.note(format!("controller {} is started", node.name));
        node.child = Some(child);
        node.ended_at = None;
        Ok(())
    }

    /// Looks after the processes once.
    fn supervise(&self) {
        let mut nodes = self.nodes.lock().unwrap();
        if self.stop.load(Ordering::Relaxed) {
            return;
        }
        for (at, node) in nodes.iter_mut().enumerate() {
            if let Some(child) = &mut node.child {
                let held = held_mb(child.id());
                let peak = &mut self.peak_mb.lock().unwrap()[at];
                *peak = peak.max(held);
                let status = child.try_wait().ok().flatten();
                let how = match status {
                    Some(status) => format!("controller {} ended by itself ({status})", node.name),
                    None if held > self.ram_mb => {
                        let _ = child.kill();
                        let _ = child.wait();
                        format!(
                            "controller {} held {held:.0} MB of {:.0} MB and was killed for memory",
                            node.name, self.ram_mb
                        )
                    }
                    None => continue,
                };
                self.world.note(&how);
                self.ends.lock().unwrap().push((self.world.now(), how));
                node.child = None;
                node.ended_at = Some(Instant::now());
            } else if node.ended_at.is_some_and(|at| at.elapsed() >= self.restart) {
                let _ = self.spawn(node);
            }
        }
    }

    /// An error if a process ended before this world time, when there was no disruption yet.
    pub fn check_whole_until(&self, time: f64) -> Result<(), String> {
        let ends = self.ends.lock().unwrap();
        ends.iter().find(|(at, _)| *at < time).map_or(Ok(()), |(at, how)| Err(format!("at {at:.1} s {how}")))
    }

    /// Ends all processes.
    pub fn end(&self) {
        self.stop.store(true, Ordering::Relaxed);
        for node in self.nodes.lock().unwrap().iter_mut() {
            if let Some(mut child) = node.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

/// What a process holds in memory by itself, in MiB: its pages that are not files'.
fn held_mb(id: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let anonymous = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    let kb = anonymous.and_then(|line| line.split_whitespace().next()).and_then(|kb| kb.parse::<f64>().ok());
    kb.unwrap_or(0.0) / 1024.0
}
